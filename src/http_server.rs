//! The HTTP edge: an `xitca-web` server behind one plain function.
//!
//! A handler gets a [`Request`] whose body has been read in full, within
//! bounds, and returns a [`Response`]. What the server refuses by itself (too
//! large a body, a body that stalls) never reaches a handler, and is answered
//! with the verdict "not run".
//!
//! The server runs on threads of its own, and uses no io_uring: `xitca-web`
//! links a crate for it, but the feature that turns it on is off.
//! `tests/product.rs` keeps watch over that.

use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use tokio::sync::mpsc;
use xitca_web::{
    App, WebContext,
    body::{Body, BodyExt, Frame, RequestBody, ResponseBody, SizeHint},
    handler::handler_service,
    http::WebResponse,
};

use crate::verdict::Verdict;

/// The largest request body, in bytes.
pub const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// How long a sender may take for the whole body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest request head, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// GET, POST and so on.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// As they came in.
    pub headers: HeaderMap,
    /// At most [`BODY_LIMIT`] bytes.
    pub body: Bytes,
}

impl Request {
    /// A header's text; `None` when missing, doubled or not ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.get_all(name).iter();
        let first = all.next()?;
        if all.next().is_some() {
            return None;
        }
        first.to_str().ok()
    }

    /// True when a header stands there more than once.
    pub fn repeats(&self, name: &str) -> bool {
        self.headers.get_all(name).iter().count() > 1
    }

    /// The value of a query parameter, undecoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.uri.query()?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// What goes back to the client.
#[derive(Debug)]
pub struct Response {
    /// The status line's number.
    pub status: StatusCode,
    /// Besides those that the server writes itself.
    pub headers: HeaderMap,
    /// The answer.
    pub body: Payload,
}

/// An answer's body.
#[derive(Debug)]
pub enum Payload {
    /// Known at once.
    Full(Bytes),
    /// In pieces. When the sender goes away without [`Piece::End`], the
    /// connection is cut, so that a client can tell a part from the whole.
    Stream(mpsc::Receiver<Piece>),
}

/// A part of a streamed answer.
#[derive(Debug)]
pub enum Piece {
    /// More bytes.
    Data(Bytes),
    /// The answer is whole.
    End,
}

impl Response {
    /// A JSON answer.
    pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
        let mut response = Response {
            status,
            headers: HeaderMap::new(),
            body: Payload::Full(Bytes::from(value.to_string())),
        };
        response.set("content-type", "application/json");
        response
    }

    /// An answer of any type.
    pub fn bytes(status: StatusCode, kind: &str, body: Bytes) -> Response {
        let mut response = Response {
            status,
            headers: HeaderMap::new(),
            body: Payload::Full(body),
        };
        response.set("content-type", kind);
        response
    }

    /// Sets a header; a value that no header can hold is left out.
    pub fn set(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
    }
}

/// A running server.
pub struct Server {
    address: SocketAddr,
    handle: xitca_server::ServerHandle,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Starts a server on `listen` with `threads` threads.
///
/// The handler's futures run on those threads, one runtime each.
///
/// # Errors
///
/// When the address can't be bound or the threads can't be started.
pub fn spawn<H, F>(
    listen: SocketAddr,
    threads: usize,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + 'static,
{
    let listener = TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let (ready, started) = std::sync::mpsc::channel();
    // The library takes a thread of its own to run on.
    let thread =
        std::thread::Builder::new().name("http".into()).spawn(move || {
            let app = App::new()
                .with_state(Shared(handler))
                .at("/", handler_service(serve::<H, F>))
                .at("/{*rest}", handler_service(serve::<H, F>));
            let bound = app
                .serve()
                .worker_threads(threads)
                .disable_signal()
                .request_head_timeout(Duration::from_secs(5))
                .keep_alive_timeout(Duration::from_secs(60))
                .max_read_buf_size::<HEAD_LIMIT>()
                .listen(listener);
            let mut server = match bound {
                Ok(bound) => bound.run(),
                Err(error) => {
                    let _ = ready.send(Err(error));
                    return;
                }
            };
            let _ = ready.send(server.handle());
            let _ = server.wait();
        })?;
    let handle = started
        .recv()
        .unwrap_or_else(|_| Err(io::Error::other("server did not start")))?;
    Ok(Server { address, handle, thread: Some(thread) })
}

impl Server {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking connections, lets requests finish, and joins the threads.
    pub fn shutdown(mut self) {
        self.handle.stop(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl std::fmt::Debug for Server {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "server at {}", self.address)
    }
}

struct Shared<H>(Arc<H>);

impl<H> Clone for Shared<H> {
    fn clone(&self) -> Shared<H> {
        Shared(self.0.clone())
    }
}

async fn serve<H, F>(context: &WebContext<'_, Shared<H>>) -> WebResponse
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + 'static,
{
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let read = tokio::time::timeout(BODY_TIMEOUT, read_body(body)).await;
    let response = match read {
        Ok(Ok(body)) => {
            let head = context.req();
            let request = Request {
                method: head.method().clone(),
                uri: head.uri().clone(),
                headers: head.headers().clone(),
                body,
            };
            (context.state().0)(request).await
        }
        Ok(Err(refusal)) => refusal,
        Err(_) => refuse(
            StatusCode::REQUEST_TIMEOUT,
            "the body took longer than 10 s to come in",
        ),
    };
    encode(response)
}

async fn read_body(body: RequestBody) -> Result<Bytes, Response> {
    let mut body = pin!(body);
    let mut whole = Vec::new();
    if let SizeHint::Exact(size) = body.size_hint()
        && size <= BODY_LIMIT as u64
    {
        whole.reserve_exact(size as usize);
    }
    while let Some(frame) = body.as_mut().frame().await {
        let Ok(frame) = frame else {
            let text = "the body broke off";
            return Err(refuse(StatusCode::BAD_REQUEST, text));
        };
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > BODY_LIMIT {
            let text = "the body is larger than 4 MiB";
            return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        whole.extend_from_slice(&data);
    }
    Ok(Bytes::from(whole))
}

fn refuse(status: StatusCode, text: &str) -> Response {
    let verdict = Verdict::NotRun.as_str();
    let value = serde_json::json!({ "error": text, "verdict": verdict });
    let mut response = Response::json(status, &value);
    response.set(Verdict::HEADER, verdict);
    response.set("connection", "close");
    response
}

fn encode(response: Response) -> WebResponse {
    let body = match response.body {
        Payload::Full(bytes) => ResponseBody::bytes(bytes),
        Payload::Stream(pieces) => {
            ResponseBody::boxed(Pieces { pieces, ended: false })
        }
    };
    let mut encoded = WebResponse::new(body);
    *encoded.status_mut() = response.status;
    *encoded.headers_mut() = response.headers;
    encoded
}

struct Pieces {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.pieces.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Piece::Data(bytes))) => {
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            Poll::Ready(Some(Piece::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.ended = true;
                let text = "the answer broke off";
                Poll::Ready(Some(Err(io::Error::other(text))))
            }
        }
    }
}
