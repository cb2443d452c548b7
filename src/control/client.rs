//! The client through which entries and operators reach the control members.
//!
//! A [`Client`] knows all members and finds the leader: it asks members in the
//! order of a [`Search`] until one executes the call. It sends calls first on
//! the connection that answered the last one, and replaces that connection
//! when a call fails: the other end may be gone without a sign.
//!
//! The errors state the effect of a change: [`Error::Refused`] means that no
//! member appended the change, [`Error::Unknown`] that a member may have
//! appended it.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use prost::Message;
use tokio::time::{sleep_until, timeout, timeout_at};
use tonic::{Code, Response, Status, transport::Channel};

use super::{
    attempt_log::{AttemptLog, Failure},
    search::{Connection, Search},
    server::{LEADER_HEADER, MAX_MESSAGE_BYTES, connect, transfer_time},
};
use crate::{
    util::{position, upsert},
    verdict::Verdict,
    wire::{
        Change, Outcome, Query, QueryReply, SyncReply, SyncRequest,
        control_client::ControlClient,
    },
};

/// Time after which an attempt to change something times out, plus
/// [`transfer_time`] for the bytes sent.
///
/// Longer than the leader holds a sync.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after which an attempt to read times out. A member that runs answers
/// within five seconds, if only that the read is not decided.
const READ_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(5500);
/// Time without an answer after which another member is asked to read as well.
/// A read takes a few ms, or some tenths of a second at a busy leader.
const READ_HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Time without an answer after which another member is sent a change as well,
/// plus [`transfer_time`] for its bytes. The leader answers once a majority
/// has synced the change to disk.
const CHANGE_HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Time since the last answer within which calls share a connection on which
/// they search for the leader. A connection that has lost its other end is left
/// after this time.
const MAX_SHARED_IDLE: Duration = READ_HEDGE_DELAY;

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

/// The connection on which calls are sent first.
#[derive(Clone, Debug)]
struct Current {
    address: SocketAddr,
    client: ControlClient<Channel>,
    opened_at: Instant,
    /// Time from `opened_at` to the last answer, in ms; 0 before the first.
    heard_after_ms: Arc<AtomicU64>,
}

impl Current {
    fn open(address: SocketAddr) -> Current {
        Current::new(address, open_client(address))
    }

    fn new(address: SocketAddr, client: ControlClient<Channel>) -> Current {
        Current {
            address,
            client,
            opened_at: Instant::now(),
            heard_after_ms: Arc::default(),
        }
    }

    fn record_answer(&self) {
        let after_ms = (self.opened_at.elapsed().as_millis() as u64).max(1);
        self.heard_after_ms.fetch_max(after_ms, Ordering::Relaxed);
    }

    /// Returns when the last answer arrived on this connection.
    fn heard_at(&self) -> Option<Instant> {
        let after_ms = self.heard_after_ms.load(Ordering::Relaxed);
        let after = Duration::from_millis(after_ms);
        (after_ms > 0).then(|| self.opened_at + after)
    }

    fn is_same(&self, other: &Current) -> bool {
        Arc::ptr_eq(&self.heard_after_ms, &other.heard_after_ms)
    }
}

/// How long a call searches for the leader, and what it may repeat.
#[derive(Clone, Copy)]
struct Policy {
    /// Time after which no member is asked any more.
    limit: Duration,
    hedge_delay: Duration,
    attempt_timeout: Duration,
    /// Whether the call may be executed more than once.
    is_idempotent: bool,
    /// Whether attempts that are open at the limit are waited for.
    awaits_attempts: bool,
}

/// A connection that concurrent calls share.
#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    client: ControlClient<Channel>,
    /// When it was opened, or when a member last answered on it.
    heard_at: Instant,
}

/// A client of the control members; calls may run concurrently.
#[derive(Debug)]
pub struct Client {
    members: Mutex<Vec<SocketAddr>>,
    current: Mutex<Current>,
    /// Connections on which calls search for the leader, sorted by address.
    /// Without them, members that elect a leader would get a connection from
    /// each call.
    shared: Mutex<Vec<Shared>>,
    preferred: Mutex<Option<SocketAddr>>,
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
        Client {
            members: Mutex::new(members.to_vec()),
            current: Mutex::new(Current::open(members[0])),
            shared: Mutex::default(),
            preferred: Mutex::new(None),
        }
    }

    /// Replaces the list of members, for a cluster whose members change.
    ///
    /// Ignores an empty list, which would leave no member to call.
    pub fn set_members(&self, members: &[SocketAddr]) {
        if !members.is_empty() {
            *lock(&self.members) = members.to_vec();
        }
    }

    /// Switches to the member at `address`, which is reported to lead.
    ///
    /// Has no effect when `address` equals that of the previous call: after a
    /// member failed to answer, a repeated report of the same leader does not
    /// make the client return to it.
    pub fn prefer_once(&self, address: SocketAddr) {
        if lock(&self.preferred).replace(address) == Some(address) {
            return;
        }
        let mut current = lock(&self.current);
        if current.address != address {
            *current = Current::open(address);
        }
    }

    /// Proposes a change to the log and retries until `limit` has passed.
    ///
    /// When a member may have appended the change, the client sends it again
    /// only if `idempotent` is set. Claims, settlements and configurations
    /// are idempotent, because they carry an id; an order that is repeated
    /// replaces the first one.
    ///
    /// An attempt that is open when `limit` has passed is waited for until it
    /// times out.
    pub async fn propose(
        &self,
        change: Change,
        limit: Duration,
        idempotent: bool,
    ) -> Result<Outcome, Error> {
        let sending = transfer_time(change.encoded_len());
        let policy = Policy {
            limit,
            hedge_delay: CHANGE_HEDGE_DELAY + sending,
            attempt_timeout: ATTEMPT_TIMEOUT + sending,
            is_idempotent: idempotent,
            awaits_attempts: true,
        };
        self.call(policy, |mut client| {
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
        let policy = Policy {
            limit,
            hedge_delay: READ_HEDGE_DELAY,
            attempt_timeout: READ_ATTEMPT_TIMEOUT,
            is_idempotent: true,
            awaits_attempts: false,
        };
        self.call(policy, |mut client| {
            let query = query.clone();
            async move { client.read(query).await }
        })
        .await
    }

    /// Sends one sync to the current member, without retries.
    pub async fn sync(
        &self,
        request: SyncRequest,
    ) -> Result<SyncReply, Error> {
        let current = lock(&self.current).clone();
        let mut client = current.client.clone();
        let answer = timeout(ATTEMPT_TIMEOUT, client.sync(request)).await;
        let failure = match answer {
            Ok(Ok(reply)) => {
                current.record_answer();
                return Ok(reply.into_inner());
            }
            Ok(Err(status)) => classify_status(&status),
            Err(_) => Failure::timed_out(),
        };
        self.replace(&current, failure.leader);
        let text = format!("{}: {}", current.address, failure.text);
        Err(match failure.maybe_appended {
            true => Error::Unknown(text),
            false => Error::Refused(text),
        })
    }

    /// Asks members until one of them executes the call.
    async fn call<T, F>(
        &self,
        policy: Policy,
        run: impl Fn(ControlClient<Channel>) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let kept = lock(&self.current).clone();
        let mut attempts = Attempts::open(&kept, policy);
        let mut calls = FuturesUnordered::new();
        loop {
            attempts.search.add_members(&lock(&self.members));
            if let Some((address, connection)) = attempts.next(calls.len()) {
                let client = match attempts.client_to(address, connection) {
                    Some(client) => client,
                    None => self.share(address),
                };
                let answer =
                    timeout(policy.attempt_timeout, run(client.clone()));
                calls.push(async move {
                    (address, connection, client, answer.await)
                });
            }
            if attempts.are_over(calls.len()) {
                break;
            }
            let until = attempts.wait_until(calls.len());
            if calls.is_empty() {
                sleep_until(until.into()).await;
                continue;
            }
            let ended = timeout_at(until.into(), calls.next()).await;
            let Ok(Some((address, connection, client, answer))) = ended else {
                continue;
            };
            let failure = match answer {
                Ok(Ok(response)) => {
                    self.keep(&kept, address, connection, client);
                    return Ok(response.into_inner());
                }
                Ok(Err(status)) => classify_status(&status),
                Err(_) => Failure::timed_out(),
            };
            if connection == Connection::New {
                self.record_failure(address, client, &failure);
            }
            attempts.record(address, connection, failure);
        }
        self.replace(&kept, attempts.search.leader());
        Err(attempts.into_error(calls.len()))
    }

    /// Sends later calls on the connection that has answered.
    fn keep(
        &self,
        kept: &Current,
        address: SocketAddr,
        connection: Connection,
        client: ControlClient<Channel>,
    ) {
        let answered = match connection {
            Connection::Kept => kept.clone(),
            Connection::New => Current::new(address, client),
        };
        answered.record_answer();
        *lock(&self.current) = answered;
    }

    /// Returns a connection that concurrent calls share, or opens one.
    fn share(&self, address: SocketAddr) -> ControlClient<Channel> {
        let mut shared = lock(&self.shared);
        if let Ok(at) = position(&shared, &address, |shared| &shared.address)
            && shared[at].heard_at.elapsed() < MAX_SHARED_IDLE
        {
            return shared[at].client.clone();
        }
        let client = open_client(address);
        let heard_at = Instant::now();
        let opened = Shared { address, client: client.clone(), heard_at };
        upsert(&mut shared, opened, |shared| &shared.address);
        client
    }

    /// Records that an attempt on a shared connection has failed.
    fn record_failure(
        &self,
        address: SocketAddr,
        client: ControlClient<Channel>,
        failure: &Failure,
    ) {
        let mut shared = lock(&self.shared);
        if failure.is_answer {
            let heard_at = Instant::now();
            let answered = Shared { address, client, heard_at };
            upsert(&mut shared, answered, |shared| &shared.address);
        } else {
            shared.retain(|shared| shared.address != address);
        }
    }

    /// Replaces the connection `failed` by a new one: to `leader` if it is a
    /// known member, otherwise to the member after the one that failed.
    ///
    /// Has no effect if another call has replaced the connection meanwhile.
    fn replace(&self, failed: &Current, leader: Option<SocketAddr>) {
        let mut current = lock(&self.current);
        if !current.is_same(failed) {
            return;
        }
        let members = lock(&self.members);
        let at = members.iter().position(|member| *member == failed.address);
        let next = at.map_or(0, |at| (at + 1) % members.len());
        // Only addresses in this client's own list: the address under which a
        // member knows the leader may not be reachable from this process.
        let leader = leader.filter(|leader| members.contains(leader));
        *current = Current::open(leader.unwrap_or(members[next]));
    }
}

/// The attempts of one call.
struct Attempts<'a> {
    kept: &'a Current,
    policy: Policy,
    started_at: Instant,
    search: Search,
    log: AttemptLog,
    is_first: bool,
    maybe_appended: bool,
}

impl Attempts<'_> {
    fn open(kept: &Current, policy: Policy) -> Attempts<'_> {
        let has_answered = kept.heard_at().is_some();
        let hedge_delay_ms = policy.hedge_delay.as_millis() as u64;
        Attempts {
            kept,
            policy,
            started_at: Instant::now(),
            search: Search::open(kept.address, has_answered, hedge_delay_ms),
            log: AttemptLog::open(kept.opened_at.elapsed()),
            is_first: true,
            maybe_appended: false,
        }
    }

    fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn is_past_limit(&self) -> bool {
        self.started_at.elapsed() >= self.policy.limit
    }

    fn may_repeat(&self) -> bool {
        self.policy.is_idempotent || !self.maybe_appended
    }

    fn may_ask(&self, open: usize) -> bool {
        let is_in_time = self.is_first || !self.is_past_limit();
        let is_alone = self.policy.is_idempotent || open == 0;
        is_in_time && is_alone && self.may_repeat()
    }

    /// Returns the member to ask now, if any, while `open` attempts are open.
    fn next(&mut self, open: usize) -> Option<(SocketAddr, Connection)> {
        if !self.may_ask(open) {
            return None;
        }
        if let Some(heard_at) = self.kept.heard_at() {
            let after = heard_at.saturating_duration_since(self.started_at);
            self.search.record_heard(after.as_millis() as u64);
        }
        let (address, connection) = self.search.ask(self.now())?;
        self.is_first = false;
        self.log.record_ask(address, connection);
        Some((address, connection))
    }

    /// Returns the connection kept from former calls if the member is to be
    /// asked on it.
    fn client_to(
        &self,
        address: SocketAddr,
        connection: Connection,
    ) -> Option<ControlClient<Channel>> {
        // The first attempt of a client that has had no answer yet.
        let is_unused = self.log.len() == 1
            && self.kept.heard_at().is_none()
            && address == self.kept.address;
        let is_kept = connection == Connection::Kept || is_unused;
        is_kept.then(|| self.kept.client.clone())
    }

    /// Returns true if the call fails unless an attempt has answered by now.
    fn are_over(&self, open: usize) -> bool {
        let is_past_limit = !self.is_first && self.is_past_limit();
        match open {
            0 => is_past_limit || !self.may_repeat(),
            _ => is_past_limit && !self.policy.awaits_attempts,
        }
    }

    /// Returns the time until which to wait for an answer.
    fn wait_until(&self, open: usize) -> Instant {
        if self.is_past_limit() {
            return Instant::now() + self.policy.attempt_timeout;
        }
        let limit = self.started_at + self.policy.limit;
        if !self.may_ask(open) {
            return limit;
        }
        let ask_at = Duration::from_millis(self.search.next_ask_at());
        limit.min(self.started_at + ask_at)
    }

    /// Records that an attempt has failed.
    fn record(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        failure: Failure,
    ) {
        if failure.is_answer && connection == Connection::Kept {
            self.kept.record_answer();
        }
        self.maybe_appended |= failure.maybe_appended;
        let now = self.now();
        self.search.record_end(now, address, connection, failure.leader);
        self.log.record_end(address, connection, failure);
    }

    fn into_error(self, open: usize) -> Error {
        let text = self.log.to_string();
        match self.maybe_appended || open > 0 {
            true => Error::Unknown(text),
            false => Error::Refused(text),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn open_client(address: SocketAddr) -> ControlClient<Channel> {
    ControlClient::new(connect(address))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn classify_status(status: &Status) -> Failure {
    let leader = status
        .metadata()
        .get(LEADER_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let maybe_appended = match status.code() {
        Code::FailedPrecondition => false,
        Code::Unavailable => !is_connection_refused(status),
        _ => true,
    };
    Failure {
        // Errors of the connection have a source, answers have none.
        is_answer: std::error::Error::source(status).is_none(),
        maybe_appended,
        text: status.message().to_owned(),
        leader,
    }
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
