//! How entries and operators reach the control members.
//!
//! A [`Client`] knows all members and finds the leader: it follows the hint
//! in a refusal, and goes on to the next member when one does not answer. It
//! says honestly what became of a change: [`Error::Refused`] means that no
//! member appended it; [`Error::Unknown`] that one may have.

use std::{
    fmt,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use prost::Message;
use tokio::time::{sleep, timeout};
use tonic::{Code, Response, Status, transport::Channel};

use super::server::{LEADER_HEADER, MESSAGE_LIMIT, allowance, connect};
use crate::{
    verdict::Verdict,
    wire::{
        Change, Outcome, Query, QueryReply, SyncReply, SyncRequest,
        control_client::ControlClient,
    },
};

/// How long one member gets to answer, besides what the bytes that it is sent
/// may take; longer than a sync is held.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause before asking again when nobody leads.
const PAUSE: Duration = Duration::from_millis(50);

/// Why control gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No member appended the change.
    Refused(String),
    /// A member may have appended it.
    Unknown(String),
}

impl Error {
    /// Whether the change may have been made.
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
}

/// A handle on the control members; calls may run side by side.
#[derive(Debug)]
pub struct Client {
    members: Mutex<Vec<SocketAddr>>,
    current: Mutex<Current>,
    preferred: Mutex<Option<SocketAddr>>,
}

#[derive(Clone, Copy)]
enum Attempt {
    /// Nothing can have been appended.
    Harmless,
    /// Something may have been.
    Doubtful,
}

impl Client {
    /// Starts with the first of `members`; connects when first used.
    ///
    /// # Panics
    ///
    /// When `members` is empty, or outside of a tokio runtime.
    pub fn open(members: &[SocketAddr]) -> Client {
        let address = members[0];
        Client {
            members: Mutex::new(members.to_vec()),
            current: Mutex::new(Current {
                address,
                client: open_client(address),
            }),
            preferred: Mutex::new(None),
        }
    }

    /// Takes a new list of members, for a cluster whose members change.
    ///
    /// An empty list changes nothing: there would be nobody to ask.
    pub fn set_members(&self, members: &[SocketAddr]) {
        if !members.is_empty() {
            *self.members() = members.to_vec();
        }
    }

    /// Asks this member next, as one that is known to lead.
    ///
    /// Only once for each leader: one that turns out not to answer is not
    /// gone back to on hearsay.
    pub fn prefer_once(&self, address: SocketAddr) {
        let mut preferred =
            self.preferred.lock().unwrap_or_else(|held| held.into_inner());
        if preferred.replace(address) == Some(address) {
            return;
        }
        let mut current =
            self.current.lock().unwrap_or_else(|held| held.into_inner());
        if current.address != address {
            *current = Current { address, client: open_client(address) };
        }
    }

    fn members(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.members.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Puts a change through the log, within `limit`.
    ///
    /// A change is sent again after a doubtful attempt only if `repeat` says
    /// that doing so is harmless, as it is for claims, settlements and
    /// configurations, which all carry an id.
    pub async fn propose(
        &self,
        change: Change,
        limit: Duration,
        repeat: bool,
    ) -> Result<Outcome, Error> {
        let bytes = change.encoded_len();
        self.call(limit, bytes, repeat, |mut client| {
            let change = change.clone();
            async move { client.propose(change).await }
        })
        .await
    }

    /// Reads through the quorum, within `limit`.
    pub async fn read(
        &self,
        query: Query,
        limit: Duration,
    ) -> Result<QueryReply, Error> {
        self.call(limit, 0, true, |mut client| {
            let query = query.clone();
            async move { client.read(query).await }
        })
        .await
    }

    /// One sync, tried once at one member.
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
        repeat: bool,
        run: impl Fn(ControlClient<Channel>) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let give_up = Instant::now() + limit;
        let mut doubtful = false;
        loop {
            let (address, client) = self.current();
            let patience = ATTEMPT_TIMEOUT + allowance(bytes);
            let result = timeout(patience, run(client)).await;
            let (attempt, text, hint) = match result {
                Ok(Ok(response)) => return Ok(response.into_inner()),
                Ok(Err(status)) => judge(&status),
                Err(_) => {
                    let text = format!("{address} was silent");
                    (Attempt::Doubtful, text, None)
                }
            };
            // Only members of the settings: how a member names another may
            // not be how this process reaches it.
            let hint = hint.filter(|hint| self.members().contains(hint));
            self.move_on(address, hint);
            doubtful |= matches!(attempt, Attempt::Doubtful);
            let out_of_time = Instant::now() + PAUSE >= give_up;
            if out_of_time || (doubtful && !repeat) {
                return Err(match doubtful {
                    true => Error::Unknown(text),
                    false => Error::Refused(text),
                });
            }
            if hint.is_none() {
                sleep(PAUSE).await;
            }
        }
    }

    fn current(&self) -> (SocketAddr, ControlClient<Channel>) {
        let current =
            self.current.lock().unwrap_or_else(|held| held.into_inner());
        (current.address, current.client.clone())
    }

    /// Leaves a member that did not answer; always a new connection, as the
    /// old one may be silent for good.
    fn move_on(&self, from: SocketAddr, hint: Option<SocketAddr>) {
        let mut current =
            self.current.lock().unwrap_or_else(|held| held.into_inner());
        if current.address != from && hint.is_none() {
            return;
        }
        let members = self.members();
        let at = members.iter().position(|member| *member == from);
        let next = at.map_or(0, |at| (at + 1) % members.len());
        let address = hint.unwrap_or(members[next]);
        *current = Current { address, client: open_client(address) };
    }
}

fn open_client(address: SocketAddr) -> ControlClient<Channel> {
    ControlClient::new(connect(address))
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT)
}

fn judge(status: &Status) -> (Attempt, String, Option<SocketAddr>) {
    let hint = status
        .metadata()
        .get(LEADER_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let attempt = match status.code() {
        Code::FailedPrecondition => Attempt::Harmless,
        Code::Unavailable if never_connected(status) => Attempt::Harmless,
        _ => Attempt::Doubtful,
    };
    (attempt, status.message().to_owned(), hint)
}

/// True when the connection itself could not be made.
fn never_connected(status: &Status) -> bool {
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
