//! Requests that may have ended replicas: what this node sees of them, and
//! what nodes tell each other.
//!
//! What is decided by it stands in [`quarantine`](crate::decide::quarantine).
//! Word carries its age, as clocks differ and it goes from node to node.

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway,
    refusal::{Cause, Refusal},
};
use crate::{
    decide::quarantine::{
        self, CRASHES, Quarantine, Reason, Source, Success, Word,
    },
    fingerprint,
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

    /// A replica ended under these requests, each with the moment at which it
    /// broke off.
    pub(super) fn note_crashes(&self, replica: &str, requests: &[(u64, u64)]) {
        let replica = table::replica_hash(replica);
        let mut most = 0;
        for &(fingerprint, at) in requests {
            let at = at as i64;
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

    /// Why a request is kept from the replicas of a service, if it is.
    pub(super) fn kept_away(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Option<Reason> {
        let quarantine = self.quarantine();
        if quarantine.is_empty() {
            return None;
        }
        let replicas = || self.fleet().load(service).0;
        quarantine.keeps(self.signed_now(), fingerprint, replicas)
    }

    /// Refuses a request that ends the replicas that run it, unless it is
    /// time to try it again here.
    pub(super) fn keep_away(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Result<(), Refusal> {
        let Some(reason) = self.kept_away(fingerprint, service) else {
            return Ok(());
        };
        let now = self.signed_now();
        let rank = match self.mesh.get() {
            Some(mesh) if reason.wait_ms == 0 => {
                mesh.table().rank(self.timer.now(), fingerprint)
            }
            _ => 0,
        };
        let mut quarantine = self.quarantine();
        let tries = quarantine.try_again(now, fingerprint, reason, rank);
        drop(quarantine);
        if tries {
            info!(
                target: "gateway",
                fingerprint = fingerprint::shown(fingerprint),
                crashes = reason.crashes,
                age_ms = reason.age_ms,
                rank,
                "Request is tried again."
            );
            return Ok(());
        }
        let text = "replicas ended under it";
        let cause = Cause::Crashes { fingerprint, reason };
        let cause = Some(Box::new(cause));
        let wait_ms = reason.retry_after_ms();
        Err(Refusal { cause, ..Refusal::later(text, wait_ms) })
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
