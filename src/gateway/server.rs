//! The HTTP server for callers.
//!
//! It uses hyper directly rather than `xitca-web` because hyper drops the
//! handler of a request when the caller closes the connection. The handler
//! owns the connection to the replica, so the replica notices the close within
//! milliseconds. With a server that notices a close only on its next write,
//! replicas would go on computing answers that nobody reads.
//!
//! # Slow and idle callers
//!
//! `Guard` wraps each connection and closes it when a request head takes too
//! long or when no request arrives within the idle timeout. The timeout that
//! hyper has for heads starts at the end of the previous answer, so it would
//! also close idle connections.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore, watch},
    task::JoinHandle,
    time::{Instant, Sleep, sleep},
};
use tracing::{debug, warn};

use super::plan::Limits;
use crate::verdict::Verdict;

/// Maximum number of callers' connections open at a time: half of the file
/// descriptors of the smallest VMs. The other half is for connections to
/// replicas and nodes.
const MAX_CONNECTIONS: usize = 2000;
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of the buffer for heads that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Error of an answer body that ended before it was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Description of the failure.
    pub text: &'static str,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(self.text)
    }
}

impl std::error::Error for BodyError {}

/// The body of an answer. An error closes the connection, so that the caller
/// can't take a partial answer for a complete one.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Arc<Shutdown>,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct Shutdown {
    /// Set when answers ask callers to close the connection.
    closing: AtomicBool,
    /// Set when idle connections are closed.
    close_idle: watch::Sender<bool>,
    open: AtomicUsize,
    connection_closed: Notify,
}

/// Serves the connections of `listener` with `handler`.
///
/// `limits` is called for each new connection and applies to that connection.
pub fn spawn<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits + Send + Sync + 'static,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let address = listener.local_addr()?;
    let stop = Arc::new(Shutdown {
        closing: AtomicBool::new(false),
        close_idle: watch::Sender::new(false),
        open: AtomicUsize::new(0),
        connection_closed: Notify::new(),
    });
    let accepting = tokio::spawn(accept(
        listener,
        limits,
        Arc::new(handler),
        stop.clone(),
    ));
    Ok(Server { address, stop, accepting })
}

impl Server {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all further answers ask their callers to close the connection.
    pub fn close_after_answers(&self) {
        self.stop.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting connections, closes idle ones, and waits until all are
    /// closed or `limit` has passed.
    pub async fn shutdown(self, limit: Duration) {
        self.accepting.abort();
        self.close_after_answers();
        let _ = self.stop.close_idle.send_replace(true);
        let all_closed = async {
            while self.stop.open.load(Ordering::Relaxed) > 0 {
                self.stop.connection_closed.notified().await;
            }
        };
        if tokio::time::timeout(limit, all_closed).await.is_err() {
            warn!(
                target: "gateway",
                "Shutdown timed out with {} connections open.",
                self.stop.open.load(Ordering::Relaxed)
            );
        }
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits + Send + Sync + 'static,
    handler: Arc<H>,
    stop: Arc<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let limits = limits();
                let serving =
                    serve(stream, limits, handler.clone(), stop.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(
                    target: "gateway",
                    "Can't accept a connection: {error}."
                );
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection(Arc<Shutdown>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.connection_closed.notify_one();
    }
}

async fn serve<H, F>(
    stream: TcpStream,
    limits: Limits,
    handler: Arc<H>,
    stop: Arc<Shutdown>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    stop.open.fetch_add(1, Ordering::Relaxed);
    let open = OpenConnection(stop.clone());
    let _ = stream.set_nodelay(true);
    let phase = Arc::new(Phase::default());
    let guard = Guard::new(stream, limits, phase.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        phase.set(Phase::BUSY);
        let (handler, phase) = (handler.clone(), phase.clone());
        let stop = stop.clone();
        async move {
            let mut answer = handler(request).await;
            if stop.closing.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            let answer = answer.map(|body| TrackedBody { body, phase });
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size((limits.max_head_bytes + 1024).max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(guard), service);
    let mut connection = std::pin::pin!(connection);
    let mut close_idle = open.0.close_idle.subscribe();
    let stopping = async move {
        // `open` keeps the sender alive for as long as the connection.
        let _ = close_idle.wait_for(|close_idle| *close_idle).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(target: "gateway", "Connection failed: {error}.");
    }
}

/// An answer body that marks its connection idle when hyper drops it.
struct TrackedBody {
    body: Body,
    phase: Arc<Phase>,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.phase.set(Phase::IDLE);
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The state of a connection: idle, reading a request head, or busy with a
/// request.
#[derive(Debug, Default)]
struct Phase {
    now: AtomicU8,
    /// Woken when the connection becomes idle. The reader was last polled
    /// before that, and nothing else would poll it to start the idle timeout.
    reader: AtomicWaker,
}

impl Phase {
    const IDLE: u8 = 0;
    const HEAD: u8 = 1;
    const BUSY: u8 = 2;

    fn set(&self, phase: u8) {
        self.now.store(phase, Ordering::Relaxed);
        if phase == Phase::IDLE {
            self.reader.wake();
        }
    }

    fn get(&self) -> u8 {
        self.now.load(Ordering::Relaxed)
    }
}

/// A connection that ends when its caller is too slow.
///
/// Without it, callers that send a byte now and then hold their connections
/// forever, and the number of open connections grows until no more are
/// accepted.
struct Guard {
    stream: TcpStream,
    limits: Limits,
    phase: Arc<Phase>,
    /// The phase that `until` was set for, `None` while busy.
    timed_phase: Option<u8>,
    until: Pin<Box<Sleep>>,
}

impl Guard {
    fn new(stream: TcpStream, limits: Limits, phase: Arc<Phase>) -> Guard {
        Guard {
            stream,
            limits,
            phase,
            timed_phase: None,
            until: Box::pin(sleep(Duration::ZERO)),
        }
    }

    /// Returns true once the timeout of the current phase has passed.
    fn is_timed_out(&mut self, context: &mut Context<'_>) -> bool {
        let phase = self.phase.get();
        let limit = match phase {
            Phase::IDLE => self.limits.idle_timeout_ms,
            Phase::HEAD => self.limits.head_timeout_ms,
            _ => {
                self.timed_phase = None;
                self.phase.reader.register(context.waker());
                return false;
            }
        };
        if self.timed_phase != Some(phase) {
            self.timed_phase = Some(phase);
            let until = Instant::now() + Duration::from_millis(limit);
            self.until.as_mut().reset(until);
        }
        self.until.as_mut().poll(context).is_ready()
    }
}

impl AsyncRead for Guard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(result) => {
                let has_received = buffer.filled().len() > before;
                if has_received && self.phase.get() == Phase::IDLE {
                    self.phase.set(Phase::HEAD);
                }
                Poll::Ready(result)
            }
            // Ready without bytes or an error means the end of the stream.
            Poll::Pending if self.is_timed_out(context) => Poll::Ready(Ok(())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Guard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
