//! Detects replicas that crashed while requests were in flight there.
//!
//! A replica may close one connection, lose one response, be slow, be cut off
//! from this node, or crash. Only a crash is evidence against the requests
//! that were in flight. Connections alone do not show a crash: while a replica
//! is away, its port may refuse connections, a relay or a host that takes over
//! its address may accept and close them, or nothing may answer. The replica's
//! own heartbeats show more:
//!
//! | observation | meaning |
//! |---|---|
//! | a new connection is refused, and other replicas can be reached | crashed |
//! | a later incarnation or another replica there is heard | crashed |
//! | heartbeats of other replicas arrive at nodes, but none of it | crashed |
//! | it announced its departure | no crash: its requests end with it |
//! | it answers a request, or a later heartbeat of it arrives | alive |
//!
//! An investigation begins when a connection breaks, or when an attempt is
//! given up that the replica has long not answered. It lasts until one of
//! these observations is made. Meanwhile the crash counts as suspected for
//! attempts whose connection broke after they had probably reached the
//! replica.
//!
//! A crash has one time: when the first connection to the replica broke,
//! unless the replica sent something after that. A request sent later was not
//! in flight at the crash, whatever happened to its connection.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::sleep;
use tracing::info;

use super::{Gateway, fleet::Target};
use crate::{
    decide::quarantine::{Crash, Identity, Subject},
    mesh::{
        lives::Fate,
        table::{MAX_HEARTBEAT_AGE_ERROR_MS, replica_hash},
    },
};

/// Delay before a new connection is tried. By then a process that is stopping
/// has closed all its connections, and all attempts there have noticed.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Interval between two checks of what is known about the replica.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time without heartbeats since a broken connection or an unanswered attempt
/// after which a replica counts as crashed, in ms: two heartbeat intervals, as
/// one heartbeat may be late or lost between nodes.
const HEARTBEAT_TIMEOUT_MS: u64 = 2600;
/// Longest time by which a busy node notices a broken connection later than
/// the first broken connection to the same replica, in ms.
const MAX_DISCONNECT_DELAY_MS: u64 = 50;
/// Time after which an attempt whose connection broke had probably reached the
/// replica, in ms. A relay that has lost its replica closes at once.
const MIN_DELIVERED_ATTEMPT_MS: u64 = 20;
/// Time after a replica's last heartbeat, in ms, from which on a request that
/// is sent does not count as in flight at the crash, as the replica may
/// already have been away: one heartbeat interval and the delay of a
/// heartbeat.
const MAX_HEARTBEAT_GAP_MS: u64 = 1500;
/// Attempts kept in one investigation: about as many as one node has in flight
/// at one replica.
const MAX_ATTEMPTS_PER_INVESTIGATION: usize = 64;

/// Attempts that broke off or were given up, by replica, until it is known
/// whether the replica crashed.
#[derive(Debug, Default)]
pub(super) struct CrashDetector {
    investigations: Mutex<Vec<Investigation>>,
}

#[derive(Debug)]
struct Investigation {
    replica: String,
    attempts: Vec<Attempt>,
}

/// An attempt that broke off or was given up, as seen by this node.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Identifies the request.
    pub identity: Identity,
    /// Time at which the request was sent.
    pub sent_at: u64,
    /// Time at which the replica last sent something for this attempt, or at
    /// which the request was sent.
    pub heard_at: u64,
    /// Time at which the connection broke or the attempt was given up.
    pub ended_at: u64,
    /// What started the investigation.
    pub symptom: Symptom,
}

impl Attempt {
    /// Returns what is recorded against the request if the replica has crashed
    /// at `at`.
    fn in_flight(&self, replica: &str, at: u64) -> InFlight {
        InFlight {
            identity: self.identity.clone(),
            replica: replica_hash(replica),
            at: at as i64,
        }
    }

    /// Returns when the replica last sent something for this attempt, if it
    /// ever did.
    fn last_received(&self) -> Option<u64> {
        (self.heard_at > self.sent_at).then_some(self.heard_at)
    }

    /// Whether the request had probably reached the replica.
    fn has_arrived(&self) -> bool {
        self.last_received().is_some()
            || self.ended_at >= self.sent_at + MIN_DELIVERED_ATTEMPT_MS
    }
}

/// A request that was in flight at a replica that crashed.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    identity: Identity,
    /// Hash that identifies the incarnation of the replica.
    replica: u64,
    /// Time of the crash, in ms.
    at: i64,
}

impl InFlight {
    /// Returns the crash as evidence against the request, and against the
    /// parts of its prompt.
    pub fn crashes(&self) -> impl Iterator<Item = (Subject, Crash)> {
        self.identity.subjects().map(|(subject, fingerprint)| {
            let crash =
                Crash { fingerprint, replica: self.replica, at: self.at };
            (subject, crash)
        })
    }
}

/// What starts an investigation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Symptom {
    /// The replica closed the connection before the response was complete.
    Broken,
    /// The replica sent nothing on the connection for long.
    Unresponsive,
}

/// Result of an investigation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// The replica crashed; holds the evidence.
    Crashed(&'static str),
    /// The replica is alive, has left as announced, or its state is unknown.
    NotCrashed,
}

impl CrashDetector {
    fn lock(&self) -> MutexGuard<'_, Vec<Investigation>> {
        self.investigations.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Adds an attempt; returns true for the first one at a replica.
    fn add(&self, replica: &str, attempt: Attempt) -> bool {
        let mut open = self.lock();
        let known = open.iter_mut().find(|known| known.replica == replica);
        if let Some(investigation) = known {
            if investigation.attempts.len() < MAX_ATTEMPTS_PER_INVESTIGATION {
                investigation.attempts.push(attempt);
            }
            return false;
        }
        open.push(Investigation {
            replica: replica.to_owned(),
            attempts: vec![attempt],
        });
        true
    }

    fn take(&self, replica: &str) -> Vec<Attempt> {
        let mut open = self.lock();
        let at = open.iter().position(|known| known.replica == replica);
        at.map(|at| open.swap_remove(at).attempts).unwrap_or_default()
    }

    /// Returns when a replica crashed, if it has: when the first connection
    /// broke after which the replica sent nothing.
    fn crashed_at(&self, replica: &str) -> Option<u64> {
        let open = self.lock();
        let known = open.iter().find(|known| known.replica == replica)?;
        crash_time(&known.attempts)
    }
}

/// Returns the time of the crash, from the attempts of one investigation.
fn crash_time(attempts: &[Attempt]) -> Option<u64> {
    let received = attempts.iter().filter_map(Attempt::last_received);
    let received_at = received.max().unwrap_or(0);
    let broken =
        attempts.iter().filter(|attempt| attempt.symptom == Symptom::Broken);
    let broken = broken.map(|attempt| attempt.ended_at);
    broken.filter(|at| *at >= received_at).min()
}

/// Returns the requests that were in flight when the replica crashed;
/// `last_heard` is the time of its last heartbeat.
fn requests_in_flight(
    replica: &str,
    attempts: &[Attempt],
    last_heard: Option<u64>,
) -> Vec<InFlight> {
    let crashed_at = crash_time(attempts);
    let was_in_flight = |attempt: &&Attempt| {
        crashed_at
            .is_none_or(|at| attempt.sent_at <= at + MAX_DISCONNECT_DELAY_MS)
            && last_heard
                .is_none_or(|at| attempt.sent_at <= at + MAX_HEARTBEAT_GAP_MS)
    };
    let to_crash = |attempt: &Attempt| match attempt.symptom {
        Symptom::Broken => attempt.in_flight(replica, attempt.ended_at),
        // It is only known that the replica crashed after it was last heard.
        Symptom::Unresponsive => {
            let heard_at = last_heard.unwrap_or(0).max(attempt.heard_at);
            attempt.in_flight(replica, heard_at.min(attempt.ended_at))
        }
    };
    attempts.iter().filter(was_in_flight).map(to_crash).collect()
}

/// Returns the time that a heartbeat must be newer than to show that its
/// replica was alive at `at`.
pub(super) fn heard_after(at: i64) -> u64 {
    at.max(0) as u64 + MAX_HEARTBEAT_AGE_ERROR_MS
}

impl Gateway {
    /// Finds out whether a replica has crashed, after an attempt there broke
    /// off or was given up unanswered.
    pub(super) fn investigate_crash(
        self: &Arc<Gateway>,
        service: &str,
        target: &Target,
        attempt: Attempt,
    ) {
        let is_first =
            self.crash_detector.add(&target.replica, attempt.clone());
        let gateway = self.clone();
        let (service, target) = (service.to_owned(), target.clone());
        tokio::spawn(async move {
            if attempt.symptom == Symptom::Broken && attempt.has_arrived() {
                sleep(RECONNECT_DELAY).await;
                gateway.suspect_crash(&target, &attempt);
            }
            if is_first {
                gateway.conclude(&service, &target, &attempt).await;
            }
        });
    }

    /// Records a suspected crash against a request that was in flight, unless
    /// the replica is known to be alive or leaving.
    fn suspect_crash(&self, target: &Target, attempt: &Attempt) {
        let crashed_at = self.crash_detector.crashed_at(&target.replica);
        let is_late = crashed_at
            .is_none_or(|at| attempt.sent_at > at + MAX_DISCONNECT_DELAY_MS);
        let since = heard_after(attempt.ended_at as i64);
        let is_alive =
            matches!(self.fate(target, since), Fate::Alive | Fate::Leaving);
        if !is_late && !is_alive {
            self.record_suspected_crash(
                &attempt.in_flight(&target.replica, attempt.ended_at),
            );
        }
    }

    /// Watches a replica until its investigation is over, and records the
    /// crashes.
    async fn conclude(&self, service: &str, target: &Target, first: &Attempt) {
        let since = first.ended_at;
        let finding = self.watch(service, target, first.symptom, since).await;
        let replica = &target.replica;
        let attempts = self.crash_detector.take(replica);
        let Finding::Crashed(evidence) = finding else { return };
        let table = self.mesh.get().map(|mesh| mesh.table());
        let last_heard = table.and_then(|table| table.last_heard(replica));
        let requests = requests_in_flight(replica, &attempts, last_heard);
        self.record_crashes(&requests);
        self.metrics.ended_replicas.inc();
        info!(
            target: "gateway",
            replica,
            requests = requests.len(),
            too_late = attempts.len() - requests.len(),
            evidence,
            after_ms = self.timer.now() - since,
            "Replica crashed with requests in flight."
        );
    }

    async fn watch(
        &self,
        service: &str,
        target: &Target,
        symptom: Symptom,
        since: u64,
    ) -> Finding {
        let mut refused = false;
        if symptom == Symptom::Broken {
            sleep(RECONNECT_DELAY).await;
            // Behind a network partition, every replica refuses connections.
            refused = !self.is_unreachable(service)
                && self.refuses_connections(target).await
                && self.reaches_others(service, target, since).await;
        }
        loop {
            let now = self.timer.now();
            let is_over = now >= since + HEARTBEAT_TIMEOUT_MS;
            match self.fate(target, heard_after(since as i64)) {
                // The replica stops with the requests that it still has. If
                // that counted as a crash, a long request would have one for
                // each replica that is replaced.
                Fate::Leaving => return Finding::NotCrashed,
                Fate::Superseded => return Finding::Crashed("another life"),
                _ if refused => return Finding::Crashed("refused"),
                Fate::Alive => return Finding::NotCrashed,
                Fate::Unknown if is_over => return Finding::NotCrashed,
                Fate::Silent if is_over => return Finding::Crashed("unheard"),
                Fate::Unknown | Fate::Silent => {}
            }
            if self.has_answered(service, &target.replica, since) {
                return Finding::NotCrashed;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn refuses_connections(&self, target: &Target) -> bool {
        let connections = &self.connections;
        connections.refuses_connections(&target.replica, target.address).await
    }

    fn fate(&self, target: &Target, since: u64) -> Fate {
        let Some(mesh) = self.mesh.get() else { return Fate::Unknown };
        mesh.table().fate(&target.replica, since)
    }

    fn has_answered(&self, service: &str, replica: &str, since: u64) -> bool {
        self.fleet().answered_at(service, replica) > since
    }
}
