//! The client through which entries and operators reach the control members.
//!
//! A [`Client`] knows all members and finds the leader. It follows the leader
//! hint in a refusal, and switches to the next member when a member does not
//! answer. Its errors state the effect of a change: [`Error::Refused`] means
//! that no member appended the change, [`Error::Unknown`] that a member may
//! have appended it.

use std::{
    fmt,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use prost::Message;
use tokio::time::{sleep, timeout, timeout_at};
use tonic::{Code, Response, Status, transport::Channel};

use super::{
    server::{LEADER_HEADER, MAX_MESSAGE_BYTES, connect, transfer_time},
    trail::Trail,
};
use crate::{
    verdict::Verdict,
    wire::{
        Change, Outcome, Query, QueryReply, SyncReply, SyncRequest,
        control_client::ControlClient,
    },
};

/// Time after which a call to one member times out, plus [`transfer_time`]
/// for the bytes sent.
///
/// Longer than the leader holds a sync.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time without an answer after which another member is asked to read as well.
/// A read takes a few ms, or some tenths of a second at a busy leader.
const READ_HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Delay before the next call when no leader is known.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A call to the control members that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No member appended the change.
    Refused(String),
    /// A member may have appended the change.
    Unknown(String),
}

impl Error {
    /// Returns whether the change may have been appended, as a verdict.
    pub fn verdict(&self) -> Verdict {
        match self {
            Error::Refused(_) => Verdict::NotRun,
            Error::Unknown(_) => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(text) => {
                write!(out, "control refused (not run): {text}")
            }
            Error::Unknown(text) => {
                write!(out, "control did not answer (may have run): {text}")
            }
        }
    }
}

impl std::error::Error for Error {}

#[derive(Debug)]
struct Current {
    address: SocketAddr,
    client: ControlClient<Channel>,
    opened_at: Instant,
}

impl Current {
    fn open(address: SocketAddr) -> Current {
        let client = open_client(address);
        Current { address, client, opened_at: Instant::now() }
    }
}

/// A client of the control members; calls may run concurrently.
#[derive(Debug)]
pub struct Client {
    members: Mutex<Vec<SocketAddr>>,
    current: Mutex<Current>,
    preferred: Mutex<Option<SocketAddr>>,
}

#[derive(Clone, Copy)]
enum Effect {
    /// No member appended the change.
    NotAppended,
    /// A member may have appended the change.
    MaybeAppended,
}

impl Client {
    /// Creates a client that uses the first of `members` first.
    ///
    /// It connects on the first call.
    ///
    /// # Panics
    ///
    /// Panics when `members` is empty, or outside of a tokio runtime.
    pub fn open(members: &[SocketAddr]) -> Client {
        let address = members[0];
        Client {
            members: Mutex::new(members.to_vec()),
            current: Mutex::new(Current::open(address)),
            preferred: Mutex::new(None),
        }
    }

    /// Replaces the list of members, for a cluster whose members change.
    ///
    /// Ignores an empty list, which would leave no member to call.
    pub fn set_members(&self, members: &[SocketAddr]) {
        if !members.is_empty() {
            *self.members() = members.to_vec();
        }
    }

    /// Switches to the member at `address`, which is reported to lead.
    ///
    /// Has no effect when `address` equals that of the previous call: after a
    /// member failed to answer, a repeated report of the same leader does not
    /// make the client return to it.
    pub fn prefer_once(&self, address: SocketAddr) {
        let mut preferred = self
            .preferred
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if preferred.replace(address) == Some(address) {
            return;
        }
        let mut current = self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if current.address != address {
            *current = Current::open(address);
        }
    }

    fn members(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.members.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Proposes a change to the log and retries until `limit` has passed.
    ///
    /// When a member may have appended the change, the client sends it again
    /// only if `idempotent` is set. Claims, settlements and configurations
    /// are idempotent, because they carry an id.
    pub async fn propose(
        &self,
        change: Change,
        limit: Duration,
        idempotent: bool,
    ) -> Result<Outcome, Error> {
        let bytes = change.encoded_len();
        self.call(limit, bytes, idempotent, |mut client| {
            let change = change.clone();
            async move { client.propose(change).await }
        })
        .await
    }

    /// Sends a linearizable read and retries until `limit` has passed.
    ///
    /// Reads change nothing, so another member is asked while one does not
    /// answer.
    pub async fn read(
        &self,
        query: Query,
        limit: Duration,
    ) -> Result<QueryReply, Error> {
        let deadline = Instant::now() + limit;
        let mut asked = Vec::new();
        let mut calls = FuturesUnordered::new();
        let mut next = Some(self.current());
        let mut trail = Trail::open(self.connected_for());
        let mut all_refused = true;
        loop {
            if let Some((address, client)) = next.take() {
                asked.push(address);
                trail.record_ask(address);
                let query = query.clone();
                calls.push(async move {
                    let reply = client.clone().read(query).await;
                    (address, client, reply)
                });
            }
            let until = deadline.min(Instant::now() + READ_HEDGE_DELAY);
            match timeout_at(until.into(), calls.next()).await {
                Ok(Some((address, client, Ok(reply)))) => {
                    self.keep(address, client);
                    return Ok(reply.into_inner());
                }
                Ok(Some((address, _, Err(status)))) => {
                    let (effect, text, hint) = classify_status(&status);
                    trail.record_failure(address, text, hint);
                    all_refused &= matches!(effect, Effect::NotAppended);
                    let hint = hint.filter(|hint| {
                        self.members().contains(hint) && !asked.contains(hint)
                    });
                    if hint.is_none() {
                        sleep(RETRY_INTERVAL).await;
                    }
                    next = hint
                        .map(|hint| (hint, open_client(hint)))
                        .or_else(|| self.other_member(&asked));
                }
                // All members have refused. There may be a leader soon.
                Ok(None) => {
                    asked.clear();
                    next = self.other_member(&[]);
                }
                Err(_) => {
                    all_refused = false;
                    next = self.other_member(&asked);
                }
            }
            if Instant::now() >= deadline {
                return Err(match all_refused {
                    true => Error::Refused(trail.to_string()),
                    false => Error::Unknown(trail.to_string()),
                });
            }
        }
    }

    /// Returns the first member after the current one that was not asked.
    fn other_member(
        &self,
        asked: &[SocketAddr],
    ) -> Option<(SocketAddr, ControlClient<Channel>)> {
        let (current, _) = self.current();
        let members = self.members();
        let at = members.iter().position(|member| *member == current);
        let from = at.map_or(0, |at| at + 1);
        let mut others = members.iter().cycle().skip(from).take(members.len());
        let address = others.find(|member| !asked.contains(member))?;
        Some((*address, open_client(*address)))
    }

    /// Sends later calls to the member that has answered.
    fn keep(&self, address: SocketAddr, client: ControlClient<Channel>) {
        let mut current = self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if current.address == address {
            current.client = client;
        } else {
            let opened_at = Instant::now();
            *current = Current { address, client, opened_at };
        }
    }

    /// Returns the current member and how long its connection has been used.
    fn connected_for(&self) -> (SocketAddr, Duration) {
        let current = self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        (current.address, current.opened_at.elapsed())
    }

    /// Sends one sync to the current member, without retries.
    pub async fn sync(
        &self,
        request: SyncRequest,
    ) -> Result<SyncReply, Error> {
        self.call(Duration::ZERO, 0, true, |mut client| {
            let request = request.clone();
            async move { client.sync(request).await }
        })
        .await
    }

    async fn call<T, F>(
        &self,
        limit: Duration,
        bytes: usize,
        idempotent: bool,
        run: impl Fn(ControlClient<Channel>) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let deadline = Instant::now() + limit;
        let mut trail = Trail::open(self.connected_for());
        let mut maybe_appended = false;
        loop {
            let (address, client) = self.current();
            trail.record_ask(address);
            let attempt_timeout = ATTEMPT_TIMEOUT + transfer_time(bytes);
            let result = timeout(attempt_timeout, run(client)).await;
            let (effect, text, hint) = match result {
                Ok(Ok(response)) => return Ok(response.into_inner()),
                Ok(Err(status)) => classify_status(&status),
                Err(_) => {
                    let text = "timed out".to_owned();
                    (Effect::MaybeAppended, text, None)
                }
            };
            trail.record_failure(address, text, hint);
            // Only addresses in this client's own list: the address under
            // which a member knows the leader may not be reachable from this
            // process.
            let hint = hint.filter(|hint| self.members().contains(hint));
            self.switch_member(address, hint);
            maybe_appended |= matches!(effect, Effect::MaybeAppended);
            let out_of_time = Instant::now() + RETRY_INTERVAL >= deadline;
            if out_of_time || (maybe_appended && !idempotent) {
                return Err(match maybe_appended {
                    true => Error::Unknown(trail.to_string()),
                    false => Error::Refused(trail.to_string()),
                });
            }
            if hint.is_none() {
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    fn current(&self) -> (SocketAddr, ControlClient<Channel>) {
        let current = self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        (current.address, current.client.clone())
    }

    /// Switches to another member after a failed call.
    ///
    /// Always opens a new connection, as the old one may stay silent for
    /// good.
    fn switch_member(&self, from: SocketAddr, hint: Option<SocketAddr>) {
        let mut current = self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if current.address != from && hint.is_none() {
            return;
        }
        let members = self.members();
        let at = members.iter().position(|member| *member == from);
        let next = at.map_or(0, |at| (at + 1) % members.len());
        let address = hint.unwrap_or(members[next]);
        *current = Current::open(address);
    }
}

fn open_client(address: SocketAddr) -> ControlClient<Channel> {
    ControlClient::new(connect(address))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn classify_status(status: &Status) -> (Effect, String, Option<SocketAddr>) {
    let hint = status
        .metadata()
        .get(LEADER_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let effect = match status.code() {
        Code::FailedPrecondition => Effect::NotAppended,
        Code::Unavailable if is_connection_refused(status) => {
            Effect::NotAppended
        }
        _ => Effect::MaybeAppended,
    };
    (effect, status.message().to_owned(), hint)
}

/// Returns true when the connection was refused, so nothing was sent.
fn is_connection_refused(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        let refused =
            error.downcast_ref::<std::io::Error>().map(std::io::Error::kind)
                == Some(std::io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
        source = error.source();
    }
    false
}
