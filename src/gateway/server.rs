//! The HTTP server that faces clients.
//!
//! It is hyper's own rather than `xitca-web`'s, for one reason: hyper drops
//! the handler of a request when the client closes the connection. The
//! handler owns the connection to the replica, so the replica learns of it
//! within milliseconds. A server that only notices when it next writes would
//! leave replicas at work for nobody.
//!
//! # Slow and idle clients
//!
//! `Guard` wraps each connection and ends it when a head takes too long or
//! no request comes for too long. hyper's own limit for heads starts with the
//! end of the last answer, and so would close connections that are just idle.

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

/// Connections served at a time. Half of the descriptors that the smallest
/// VMs have: the others are for replicas and nodes.
const CONNECTIONS: usize = 2000;
/// After a failed accept, as when there are no descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest buffer for heads that hyper takes, in bytes.
const LEAST_BUFFER: usize = 8192;

/// An answer that ended before it was whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What happened.
    pub text: &'static str,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(self.text)
    }
}

impl std::error::Error for Broken {}

/// The body of an answer. An error closes the connection, so that what was
/// sent can't be taken for whole.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// A body that is there already.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Arc<Stop>,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct Stop {
    /// Answers ask clients to close.
    closing: AtomicBool,
    /// Idle connections are closed.
    last: watch::Sender<bool>,
    open: AtomicUsize,
    ended: Notify,
}

/// Serves `listener` with `handler`, by the limits that hold when each
/// connection begins.
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
    let stop = Arc::new(Stop {
        closing: AtomicBool::new(false),
        last: watch::Sender::new(false),
        open: AtomicUsize::new(0),
        ended: Notify::new(),
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
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on answers ask their clients to close the connection.
    pub fn close_after_answers(&self) {
        self.stop.closing.store(true, Ordering::Relaxed);
    }

    /// Takes no new connections, closes idle ones, and waits until all have
    /// ended or `limit` has passed.
    pub async fn shutdown(self, limit: Duration) {
        self.accepting.abort();
        self.close_after_answers();
        let _ = self.stop.last.send_replace(true);
        let all_ended = async {
            while self.stop.open.load(Ordering::Relaxed) > 0 {
                self.stop.ended.notified().await;
            }
        };
        if tokio::time::timeout(limit, all_ended).await.is_err() {
            warn!(
                target: "gateway",
                "{} connections are cut off at the end.",
                self.stop.open.load(Ordering::Relaxed)
            );
        }
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits + Send + Sync + 'static,
    handler: Arc<H>,
    stop: Arc<Stop>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let limits = limits();
                let serving =
                    serve(stream, limits, handler.clone(), stop.clone());
                tokio::spawn(async move {
                    serving.await;
                    drop(place);
                });
            }
            Err(error) => {
                warn!(target: "gateway", "Can't accept: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a connection while it is open.
struct Open(Arc<Stop>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.ended.notify_one();
    }
}

async fn serve<H, F>(
    stream: TcpStream,
    limits: Limits,
    handler: Arc<H>,
    stop: Arc<Stop>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    stop.open.fetch_add(1, Ordering::Relaxed);
    let open = Open(stop.clone());
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
            let answer = answer.map(|body| Last { body, phase });
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size((limits.head_bytes + 1024).max(LEAST_BUFFER))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(guard), service);
    let mut connection = std::pin::pin!(connection);
    let mut last = open.0.last.subscribe();
    let stopping = async move {
        // The sender lives as long as the connection is counted.
        let _ = last.wait_for(|last| *last).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(target: "gateway", "Connection ended: {error}.");
    }
}

/// Marks the connection idle again once the answer has been handed over.
struct Last {
    body: Body,
    phase: Arc<Phase>,
}

impl Drop for Last {
    fn drop(&mut self) {
        self.phase.set(Phase::IDLE);
    }
}

impl hyper::body::Body for Last {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What a connection is waiting for.
#[derive(Debug, Default)]
struct Phase {
    now: AtomicU8,
    /// Woken when the connection becomes idle: its reader has looked before,
    /// and nothing else would start the time limit.
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

/// A connection that ends when its client is too slow.
///
/// Without it, clients that send a byte now and then hold their connections
/// for ever; one would see the number of open connections grow until none is
/// accepted any more.
struct Guard {
    stream: TcpStream,
    limits: Limits,
    phase: Arc<Phase>,
    /// The phase that `until` was set for.
    timed: Option<u8>,
    until: Pin<Box<Sleep>>,
}

impl Guard {
    fn new(stream: TcpStream, limits: Limits, phase: Arc<Phase>) -> Guard {
        Guard {
            stream,
            limits,
            phase,
            timed: None,
            until: Box::pin(sleep(Duration::ZERO)),
        }
    }

    /// True once the client has used up its time.
    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let phase = self.phase.get();
        let limit = match phase {
            Phase::IDLE => self.limits.idle_ms,
            Phase::HEAD => self.limits.head_ms,
            _ => {
                self.timed = None;
                self.phase.reader.register(context.waker());
                return false;
            }
        };
        if self.timed != Some(phase) {
            self.timed = Some(phase);
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
                let came = buffer.filled().len() > before;
                if came && self.phase.get() == Phase::IDLE {
                    self.phase.set(Phase::HEAD);
                }
                Poll::Ready(result)
            }
            // Nothing read and no error: the end of the stream.
            Poll::Pending if self.is_late(context) => Poll::Ready(Ok(())),
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
