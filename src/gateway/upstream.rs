//! Connections to replicas, and one exchange over one of them.
//!
//! Connections are kept by replica, not by address: an address is used again
//! by another replica, of another service perhaps. A [`Line`] that is dropped
//! before its answer was read to the end closes its connection, and the
//! replica stops working on what nobody waits for any more.
//!
//! What a failure says about the request is as exact as it can be: "not run"
//! only when no byte of it can have reached the replica.

use std::{
    io,
    net::SocketAddrV4,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout, timeout_at},
};

use crate::{util::common, verdict::Verdict};

/// How long a new connection may take. Links of a deployment take a few
/// milliseconds; beyond this the replica is down or cut off, and there is
/// time to ask another one within most targets.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// How long an idle connection is kept when the replica does not say.
const KEEP: Duration = Duration::from_millis(3000);
/// A connection is given up this long before the replica would close it: a
/// request that crosses the close can't be told from one that ran.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Bodies up to this many bytes leave in one write, before any answer can
/// come. Behind a longer one a connection is not used again: an early answer
/// may leave the replica waiting for bytes that never come.
const SHORT_BODY: usize = 16 * 1024;
/// Idle connections kept to one replica.
const IDLE_PER_REPLICA: usize = 32;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why an exchange failed, and whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Whether the replica may have run it.
    pub verdict: Verdict,
    /// Whether any byte was sent to the replica.
    pub sent: bool,
    /// What became of the connection.
    pub fault: Fault,
    /// What happened, for the log.
    pub text: String,
}

common! {
    copy
    /// What became of the connection on which an exchange failed.
    pub enum Fault {
        /// Nobody listens at the replica's address.
        Refused,
        /// The replica closed it before its answer was whole.
        Broken,
        /// Nothing that says how the replica is.
        Other,
    }
}

impl Failed {
    fn unsent(text: impl ToString) -> Failed {
        let text = text.to_string();
        let fault = Fault::Other;
        Failed { verdict: Verdict::NotRun, sent: false, fault, text }
    }

    fn doubtful(text: impl ToString) -> Failed {
        let text = text.to_string();
        let fault = Fault::Other;
        Failed { verdict: Verdict::MayHaveRun, sent: true, fault, text }
    }

    fn broken(text: impl ToString) -> Failed {
        Failed { fault: Fault::Broken, ..Failed::doubtful(text) }
    }

    fn unconnected(error: &io::Error) -> Failed {
        let fault = match error.kind() {
            io::ErrorKind::ConnectionRefused => Fault::Refused,
            _ => Fault::Other,
        };
        Failed { fault, ..Failed::unsent(error) }
    }
}

/// One connection, in use by one request.
#[derive(Debug)]
pub struct Line {
    replica: String,
    address: SocketAddrV4,
    sender: Sender,
    // Ends the connection when the line is dropped.
    _task: Task,
    /// It was made for this request.
    pub fresh: bool,
    long_body: bool,
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
    line: Line,
    until: Instant,
}

/// All idle connections of one gateway.
#[derive(Debug, Default)]
pub struct Lines {
    /// The newest last.
    idle: Mutex<Vec<Idle>>,
}

impl Lines {
    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// A connection to a replica: the one used last, or a new one.
    ///
    /// # Errors
    ///
    /// When no connection can be made before `deadline`; nothing was sent.
    pub async fn take(
        &self,
        replica: &str,
        address: SocketAddrV4,
        deadline: Instant,
    ) -> Result<Line, Failed> {
        if let Some(line) = self.take_idle(replica) {
            return Ok(line);
        }
        let until = deadline.min(Instant::now() + CONNECT_LIMIT);
        match timeout_at(until, connect(replica, address)).await {
            Ok(made) => made,
            Err(_) => Err(Failed::unsent("connecting timed out")),
        }
    }

    /// Whether a replica has ended, by a new connection to it, which is kept.
    ///
    /// False as well where that can't be told: a machine without power and
    /// one behind a cut are both silent.
    pub async fn has_ended(
        &self,
        replica: &str,
        address: SocketAddrV4,
    ) -> bool {
        match timeout(CONNECT_LIMIT, connect(replica, address)).await {
            Ok(Ok(line)) => {
                self.put_back(line, None);
                false
            }
            Ok(Err(failed)) => failed.fault == Fault::Refused,
            Err(_) => false,
        }
    }

    fn take_idle(&self, replica: &str) -> Option<Line> {
        let now = Instant::now();
        let mut idle = self.idle();
        idle.retain(|one| now < one.until && !one.line.sender.is_closed());
        let at = idle.iter().rposition(|one| {
            one.line.replica == replica && one.line.sender.is_ready()
        })?;
        let mut line = idle.remove(at).line;
        line.fresh = false;
        Some(line)
    }

    /// Keeps a connection whose answer was read to the end.
    ///
    /// `keep` is how long the replica keeps it, if it said so.
    pub fn put_back(&self, line: Line, keep: Option<Duration>) {
        let keep = keep.unwrap_or(KEEP).saturating_sub(KEEP_MARGIN);
        if line.long_body || keep.is_zero() || line.sender.is_closed() {
            return;
        }
        let mut idle = self.idle();
        let same = idle.iter().filter(|one| one.line.replica == line.replica);
        if same.count() < IDLE_PER_REPLICA {
            idle.push(Idle { line, until: Instant::now() + keep });
        }
    }

    /// Closes the idle connections to replicas that `keep` refuses.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle().retain(|one| {
            now < one.until
                && !one.line.sender.is_closed()
                && keep(&one.line.replica)
        });
    }
}

impl Line {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// "Not run" when the connection was closed before anything was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body_bytes: usize,
        silence: Duration,
    ) -> Result<Response<Incoming>, Failed> {
        self.long_body = body_bytes > SHORT_BODY;
        let sent = self.sender.try_send_request(request);
        match timeout(silence, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut failed)) => match failed.take_message() {
                Some(_) => Err(Failed::unsent(failed.error())),
                None => Err(Failed::broken(failed.error())),
            },
            Err(_) => Err(Failed::doubtful("no answer in time")),
        }
    }

    /// The replica it leads to.
    pub fn replica(&self) -> &str {
        &self.replica
    }

    /// Where that is.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

async fn connect(
    replica: &str,
    address: SocketAddrV4,
) -> Result<Line, Failed> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| Failed::unconnected(&error))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Failed::unsent)?;
    let task = tokio::spawn(async move {
        // Its error reaches the request that is under way.
        let _ = connection.await;
    });
    Ok(Line {
        replica: replica.to_owned(),
        address,
        sender,
        _task: Task(task),
        fresh: true,
        long_body: false,
    })
}
