//! HTTP server, based on `xitca-web`.
//!
//! A handler receives a [`Request`] with its complete body, whose size is
//! limited, and returns a [`Response`]. Requests with a body that is too large
//! or that stalls never reach a handler; they are answered with the verdict
//! "not run".
//!
//! The server runs on its own threads and does not use io_uring: `xitca-web`
//! links a crate for it, but the feature is disabled. `tests/product.rs`
//! checks that.

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

/// Maximum length of a request body, in bytes.
pub const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Time within which a client has to send the whole body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a request head, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body of at most [`BODY_LIMIT`] bytes.
    pub body: Bytes,
}

impl Request {
    /// Returns the text of a header; `None` if it is missing, repeated or not
    /// ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.get_all(name).iter();
        let first = all.next()?;
        if all.next().is_some() {
            return None;
        }
        first.to_str().ok()
    }

    /// Whether the request has several headers with this name.
    pub fn repeats(&self, name: &str) -> bool {
        self.headers.get_all(name).iter().count() > 1
    }

    /// Returns the value of a query parameter, without decoding it.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.uri.query()?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Headers in addition to those that the server sets.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Payload,
}

/// Body of a response.
#[derive(Debug)]
pub enum Payload {
    /// The complete body.
    Full(Bytes),
    /// Streamed in pieces. If the sender is dropped without [`Piece::End`], the
    /// connection is closed, so that a client can tell that the body is
    /// incomplete.
    Stream(mpsc::Receiver<Piece>),
}

/// A piece of a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
        let mut response = Response {
            status,
            headers: HeaderMap::new(),
            body: Payload::Full(Bytes::from(value.to_string())),
        };
        response.set("content-type", "application/json");
        response
    }

    /// Creates a response with a body of any type.
    pub fn bytes(status: StatusCode, kind: &str, body: Bytes) -> Response {
        let mut response = Response {
            status,
            headers: HeaderMap::new(),
            body: Payload::Full(body),
        };
        response.set("content-type", kind);
        response
    }

    /// Sets a header. Values that are not valid in a header are ignored.
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
/// Returns an error if the address can't be bound or the threads can't be
/// started.
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
    // The server blocks the thread that it runs on.
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
    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, waits for the requests in flight, and joins
    /// the threads.
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
