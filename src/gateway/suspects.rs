//! Requests that may have ended replicas: what this node sees of them, and
//! what nodes tell each other.
//!
//! What is decided by it stands in [`quarantine`](crate::decide::quarantine).
//! Word carries its age, as clocks differ and it goes from node to node.

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway, fingerprint,
    refusal::{Cause, Refusal},
};
use crate::{
    decide::quarantine::{self, CRASHES, Quarantine, Source, Success, Word},
    mesh::table,
    wire::{self, Crash},
};

/// Crashes of one request from which on others are told at once: the next one
/// may be the third, wherever it comes in.
const URGENT_FROM: usize = 2;

impl Gateway {
    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn signed_now(&self) -> i64 {
        self.timer.now() as i64
    }

    /// A replica ended under these requests.
    pub(super) fn note_crashes(&self, replica: &str, requests: &[u64]) {
        let at = self.signed_now();
        let replica = table::replica_hash(replica);
        let mut most = 0;
        for &fingerprint in requests {
            let crash = quarantine::Crash { fingerprint, replica, at };
            most = most.max(self.note_crash(crash, Source::Own));
        }
        if most >= URGENT_FROM {
            self.has_suspects.notify_one();
            if let Some(mesh) = self.mesh.get() {
                mesh.urge();
            }
        }
    }

    /// How many crashes of its request are known now, 0 if this is no news.
    fn note_crash(&self, crash: quarantine::Crash, source: Source) -> usize {
        let now = self.signed_now();
        let noted = self.quarantine().crash(now, crash, source);
        let crashes = noted.unwrap_or(0);
        if crashes >= URGENT_FROM {
            let fingerprint = fingerprint::shown(crash.fingerprint);
            let age_ms = now - crash.at;
            warn!(
                target: "gateway",
                fingerprint, crashes, age_ms, ?source,
                "Request was at replicas that ended."
            );
        }
        if crashes == CRASHES {
            self.metrics.suspects.inc();
        }
        crashes
    }

    /// A request has ended well.
    pub(super) fn note_success(&self, fingerprint: u64) {
        let at = self.signed_now();
        self.clear(Success { fingerprint, at }, Source::Own);
    }

    fn clear(&self, success: Success, source: Source) {
        let now = self.signed_now();
        let cleared = self.quarantine().succeed(now, success, source);
        // A single crash is a bystander's, nearly always.
        if cleared.is_some_and(|crashes| crashes >= URGENT_FROM) {
            let fingerprint = fingerprint::shown(success.fingerprint);
            info!(
                target: "gateway",
                fingerprint, crashes = cleared, ?source,
                "Request is no longer suspected: it ended well."
            );
        }
    }

    /// Forgets what is past its time.
    pub(super) fn expire_suspects(&self) {
        let now = self.signed_now();
        self.quarantine().expire(now);
    }

    /// Refuses a request that ends the replicas that run it.
    pub(super) fn keep_away(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Result<(), Refusal> {
        let quarantine = self.quarantine();
        if quarantine.is_empty() {
            return Ok(());
        }
        let replicas = || self.fleet().load(service).0;
        let now = self.signed_now();
        let Some(reason) = quarantine.keeps(now, fingerprint, replicas) else {
            return Ok(());
        };
        let text = "replicas ended under it";
        let cause = Cause::Crashes { fingerprint, reason };
        let cause = Some(Box::new(cause));
        Err(Refusal { cause, ..Refusal::later(text, reason.wait_ms) })
    }

    /// What is told to other nodes in the next datagrams.
    pub(super) fn suspects(&self) -> (Vec<Crash>, Vec<wire::Success>) {
        let now = self.signed_now();
        let word = self.quarantine().tell(now);
        self.worded(word)
    }

    /// What a node that starts has to know of requests, and what is kept on
    /// disks.
    pub fn several_crashes(&self) -> Vec<Crash> {
        let word = self.quarantine().several();
        self.worded(word).0
    }

    fn worded(&self, word: Word) -> (Vec<Crash>, Vec<wire::Success>) {
        let now = self.signed_now();
        let age = |at: i64| (now - at).clamp(0, u32::MAX.into()) as u32;
        let crashes = word.crashes.iter().map(|one| Crash {
            fingerprint: one.fingerprint,
            replica: one.replica,
            age_ms: age(one.at),
        });
        let successes = word.successes.iter().map(|one| wire::Success {
            fingerprint: one.fingerprint,
            age_ms: age(one.at),
        });
        (crashes.collect(), successes.collect())
    }

    /// Takes what another node tells of requests, or a disk.
    ///
    /// `passes_on` is set where it has told nobody else.
    pub fn hear_suspects(
        &self,
        crashes: &[Crash],
        successes: &[wire::Success],
        passes_on: bool,
    ) {
        let now = self.signed_now();
        let source = match passes_on {
            true => Source::Own,
            false => Source::Other,
        };
        // Successes first: they may be what a crash has to be compared to.
        for one in successes {
            let at = now - i64::from(one.age_ms);
            let fingerprint = one.fingerprint;
            self.clear(Success { fingerprint, at }, source);
        }
        let mut most = 0;
        for one in crashes {
            let crash = quarantine::Crash {
                fingerprint: one.fingerprint,
                replica: one.replica,
                at: now - i64::from(one.age_ms),
            };
            most = most.max(self.note_crash(crash, source));
        }
        if most >= URGENT_FROM {
            self.has_suspects.notify_one();
        }
    }
}
