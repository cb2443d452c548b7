//! Connections to replicas, and the exchange of one request and its answer.
//!
//! Idle connections are pooled by replica, not by address: an address may be
//! reused by another replica, perhaps of another service. Dropping a
//! [`Connection`] before its answer was read to the end closes it, so the
//! replica can stop work on an answer that nobody reads.
//!
//! An error says as exactly as possible whether the request may have run. The
//! verdict is "not run" only when no byte of the request can have reached the
//! replica.

use std::{
    io,
    net::SocketAddrV4,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    bounded::{Allowance, Bounded, MAX_HEAD_BYTES},
    decide::reach::Probe,
    util::common,
    verdict::Verdict,
};

/// Time after which opening a connection fails. Links within a deployment take
/// a few milliseconds. After this time the replica is down or unreachable, and
/// most targets leave enough time to try another replica.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an idle connection is kept when the replica does not
/// announce its own.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(3000);
/// An idle connection is discarded this long before the replica would close
/// it. A request that is sent while the replica closes the connection can't be
/// told from one that ran.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum size of a body after which a connection may be reused, in bytes.
///
/// Such a body is sent in one write, before any answer can arrive. After a
/// longer body the connection is not reused: after an early answer the replica
/// may still be waiting for bytes of the body that are never sent.
const MAX_REUSE_BODY_BYTES: usize = 16 * 1024;
/// Time for the answer to a probe on an open connection. It covers a pause of
/// some tenths of a second that engines make under load.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the body of the answer to a probe that is read, in bytes.
const MAX_PROBE_BODY_BYTES: usize = 4096;
/// Maximum number of idle connections kept to one replica.
const MAX_IDLE_PER_REPLICA: usize = 32;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why an exchange failed, and whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Whether the replica may have run it.
    pub verdict: Verdict,
    /// Whether any byte was sent to the replica.
    pub sent: bool,
    /// What the connection showed about the replica.
    pub fault: Fault,
    /// Description of the failure, for the log.
    pub text: String,
}

common! {
    copy
    /// How the connection of a failed exchange failed.
    pub enum Fault {
        /// The connection was refused: no process listens at the address.
        Refused,
        /// No connection was open within the timeout.
        ConnectTimeout,
        /// The replica closed the connection before its answer was complete.
        Broken,
        /// The answer exceeds a bound in bytes.
        Oversized,
        /// The answer is not shown to be that to the request.
        Unproven,
        /// Any failure that says nothing about the state of the replica.
        Other,
    }
}

impl Fault {
    /// Returns the text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Refused => "refused",
            Fault::ConnectTimeout => "connect timeout",
            Fault::Broken => "broken",
            Fault::Oversized => "oversized",
            Fault::Unproven => "unproven",
            Fault::Other => "other",
        }
    }
}

impl Error {
    /// Returns an error of a request of which nothing was sent.
    pub(super) fn not_sent(text: impl ToString) -> Error {
        let text = text.to_string();
        let fault = Fault::Other;
        Error { verdict: Verdict::NotRun, sent: false, fault, text }
    }

    /// Returns an error of a request that may have run.
    pub(super) fn may_have_run(text: impl ToString) -> Error {
        let text = text.to_string();
        let fault = Fault::Other;
        Error { verdict: Verdict::MayHaveRun, sent: true, fault, text }
    }

    /// Returns an error of a request whose answer lacks its proof.
    pub(super) fn unproven(text: &str) -> Error {
        Error { fault: Fault::Unproven, ..Error::may_have_run(text) }
    }

    fn connection_broken(text: impl ToString) -> Error {
        Error { fault: Fault::Broken, ..Error::may_have_run(text) }
    }

    fn not_connected(error: &io::Error) -> Error {
        let fault = match error.kind() {
            io::ErrorKind::ConnectionRefused => Fault::Refused,
            _ => Fault::Other,
        };
        Error { fault, ..Error::not_sent(error) }
    }
}

/// A connection to a replica, in use by one request.
#[derive(Debug)]
pub struct Connection {
    replica: String,
    address: SocketAddrV4,
    sender: Sender,
    allowance: Arc<Allowance>,
    // Closes the connection when dropped.
    _task: Task,
    /// When it was open.
    opened_at: Instant,
    /// True when the connection was opened for this request.
    pub fresh: bool,
    had_long_body: bool,
}

#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Instant,
    until: Instant,
}

/// The idle connections of one gateway.
#[derive(Debug, Default)]
pub struct Pool {
    /// In the order in which they became idle.
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns a connection to a replica: the most recently used idle one, or
    /// a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when a new connection fails, or is not open before
    /// `deadline` or within `CONNECT_TIMEOUT`. Nothing was sent then.
    pub async fn take(
        &self,
        replica: &str,
        address: SocketAddrV4,
        deadline: Instant,
    ) -> Result<Connection, Error> {
        if let Some(connection) = self.take_idle(replica) {
            return Ok(connection);
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        match timeout_at(until, connect(replica, address)).await {
            Ok(made) => made,
            Err(_) => Err(Error {
                fault: Fault::ConnectTimeout,
                ..Error::not_sent("connection timed out")
            }),
        }
    }

    /// Returns true when a replica refuses a new connection, which shows that
    /// it has crashed.
    ///
    /// Also returns false when the connection times out: a VM without power
    /// and a VM behind a network partition can't be told apart.
    pub async fn refuses_connections(
        &self,
        replica: &str,
        address: SocketAddrV4,
    ) -> bool {
        match timeout(CONNECT_TIMEOUT, connect(replica, address)).await {
            Ok(Err(error)) => error.fault == Fault::Refused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Returns true if there is an idle connection to a replica that was last
    /// used after `since`.
    pub fn has_idle_since(&self, replica: &str, since: Instant) -> bool {
        let now = Instant::now();
        self.idle().iter().any(|pooled| {
            pooled.connection.replica == replica
                && pooled.idle_since > since
                && now < pooled.until
                && pooled.connection.sender.is_ready()
        })
    }

    /// Opens a connection to a replica and requests `path` on it, or only
    /// opens it if there is no path.
    ///
    /// The connection carries no requests: its answers have no id, so a late
    /// second one could not be told from the answer to a request.
    pub async fn probe(
        &self,
        replica: &str,
        address: SocketAddrV4,
        path: Option<&str>,
    ) -> Probe {
        let opened = timeout(CONNECT_TIMEOUT, connect(replica, address)).await;
        let Ok(Ok(mut connection)) = opened else { return Probe::Failed };
        let Some(path) = path else { return Probe::Answered };
        let request = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else { return Probe::Answered };
        let sent = connection.send(request, 0, PROBE_TIMEOUT).await;
        match sent {
            Ok(response) => {
                // The head shows that the replica answers. The body is read
                // so that the replica does not see a reset connection.
                let body = Limited::new(response, MAX_PROBE_BODY_BYTES);
                let _ = timeout(PROBE_TIMEOUT, body.collect()).await;
                Probe::Answered
            }
            Err(error) => match error.fault {
                Fault::Broken | Fault::Oversized => Probe::Failed,
                _ if !error.sent => Probe::Failed,
                _ => Probe::Silent,
            },
        }
    }

    fn take_idle(&self, replica: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle();
        idle.retain(|pooled| {
            now < pooled.until && !pooled.connection.sender.is_closed()
        });
        let at = idle.iter().rposition(|pooled| {
            pooled.connection.replica == replica
                && pooled.connection.sender.is_ready()
        })?;
        let mut connection = idle.remove(at).connection;
        connection.fresh = false;
        Some(connection)
    }

    /// Returns a connection to the pool after its answer was read to the end.
    ///
    /// `keep` is how long the replica keeps the idle connection open, if it
    /// announced that.
    pub fn put_back(&self, connection: Connection, keep: Option<Duration>) {
        let keep = keep
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if connection.had_long_body
            || keep.is_zero()
            || connection.sender.is_closed()
        {
            return;
        }
        let mut idle = self.idle();
        let same = idle
            .iter()
            .filter(|pooled| pooled.connection.replica == connection.replica);
        if same.count() < MAX_IDLE_PER_REPLICA {
            let idle_since = Instant::now();
            let until = idle_since + keep;
            idle.push(Idle { connection, idle_since, until });
        }
    }

    /// Closes the idle connections to replicas for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle().retain(|pooled| {
            now < pooled.until
                && !pooled.connection.sender.is_closed()
                && keep(&pooled.connection.replica)
        });
    }
}

impl Connection {
    /// Sends a request and waits up to `max_silence` for the head of its
    /// answer.
    ///
    /// # Errors
    ///
    /// The verdict is "not run" when the connection was closed before any byte
    /// was sent, otherwise "may have run".
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body_bytes: usize,
        max_silence: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let exchange = self.exchange(request, body_bytes);
        let Ok(response) = timeout(max_silence, exchange).await else {
            let text = "the replica did not answer in time";
            return Err(Error::may_have_run(text));
        };
        response
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Those of [`Connection::send`], without its timeout.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        body_bytes: usize,
    ) -> Result<Response<Incoming>, Error> {
        self.allowance.reset();
        self.had_long_body = body_bytes > MAX_REUSE_BODY_BYTES;
        let mut failed = match self.sender.try_send_request(request).await {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        if failed.take_message().is_some() {
            return Err(Error::not_sent(failed.error()));
        }
        if self.is_oversized() || failed.error().is_parse_too_large() {
            let fault = Fault::Oversized;
            let failed = Error::may_have_run("the answer exceeds its bound");
            return Err(Error { fault, ..failed });
        }
        Err(Error::connection_broken(failed.error()))
    }

    /// Allows the answer more bytes after `count` bytes of its data were read.
    pub(super) fn grant(&self, count: usize) {
        self.allowance.grant(count);
    }

    /// Returns true if the connection failed as its answer exceeds its bound.
    pub(super) fn is_oversized(&self) -> bool {
        self.allowance.is_exceeded()
    }

    /// Returns the id of the replica.
    pub fn replica(&self) -> &str {
        &self.replica
    }

    /// Returns when the connection was open.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns the address of the replica.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

async fn connect(
    replica: &str,
    address: SocketAddrV4,
) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| Error::not_connected(&error))?;
    let opened_at = Instant::now();
    let _ = stream.set_nodelay(true);
    let (stream, allowance) = Bounded::new(stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(Error::not_sent)?;
    let task = tokio::spawn(async move {
        // The request in flight receives the connection's error.
        let _ = connection.await;
    });
    Ok(Connection {
        replica: replica.to_owned(),
        address,
        sender,
        allowance,
        _task: Task(task),
        opened_at,
        fresh: true,
        had_long_body: false,
    })
}
