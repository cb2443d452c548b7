//! Requests that may have ended replicas: what this node sees of them, and
//! what nodes tell each other.
//!
//! What is decided by it stands in [`quarantine`](crate::decide::quarantine).
//! Word carries its age, as clocks differ and it goes from node to node.

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway, ending,
    refusal::{Cause, Refusal},
};
use crate::{
    decide::quarantine::{
        self, CRASHES, Quarantine, Reason, Source, Success, Word,
    },
    fingerprint,
    wire::{self, Crash},
};

/// What other nodes are told of requests that may have ended replicas.
pub(super) struct Suspects {
    pub crashes: Vec<Crash>,
    /// Those that are not certain.
    pub suspected: Vec<Crash>,
    pub successes: Vec<wire::Success>,
}

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

    /// A replica ended under requests of this node.
    pub(super) fn note_crashes(&self, crashes: &[quarantine::Crash]) {
        let mut most = 0;
        for crash in crashes {
            most = most.max(self.note_crash(*crash, Source::Own));
        }
        self.tell_soon(most);
    }

    /// A replica has probably ended under a request.
    pub(super) fn suspect(&self, crash: quarantine::Crash) {
        let crashes = self.note_suspected(crash, Source::Own);
        self.tell_soon(crashes);
    }

    /// How many crashes of its request are known or suspected now, 0 if this
    /// is no news.
    fn note_suspected(
        &self,
        crash: quarantine::Crash,
        source: Source,
    ) -> usize {
        let now = self.signed_now();
        let noted = self.quarantine().suspect(now, crash, source);
        let crashes = noted.unwrap_or(0);
        if crashes >= URGENT_FROM {
            let fingerprint = fingerprint::shown(crash.fingerprint);
            let age_ms = now - crash.at;
            info!(
                target: "gateway",
                fingerprint, crashes, age_ms, ?source,
                "Request was at replicas that probably ended."
            );
        }
        crashes
    }

    /// Tells all others at once if a request has so many crashes that the next
    /// one may be too many.
    fn tell_soon(&self, crashes: usize) {
        if crashes >= URGENT_FROM {
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
        let mut quarantine = self.quarantine();
        if quarantine.is_empty() {
            return None;
        }
        if quarantine.is_suspected(fingerprint)
            && let Some(mesh) = self.mesh.get()
        {
            let table = mesh.table();
            quarantine.withdraw(fingerprint, |replica, at| {
                table.has_spoken(replica, ending::heard_after(at))
            });
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
    pub(super) fn suspects(&self) -> Suspects {
        let now = self.signed_now();
        let word = self.quarantine().tell(now);
        self.worded(word)
    }

    /// What a node that starts has to know of requests, and what is kept on
    /// disks.
    pub fn several_crashes(&self) -> Vec<Crash> {
        let word = self.quarantine().several();
        self.worded(word).crashes
    }

    fn worded(&self, word: Word) -> Suspects {
        let now = self.signed_now();
        let age = |at: i64| (now - at).clamp(0, u32::MAX.into()) as u32;
        let aged = |crashes: Vec<quarantine::Crash>| {
            let aged = crashes.iter().map(|one| Crash {
                fingerprint: one.fingerprint,
                replica: one.replica,
                age_ms: age(one.at),
            });
            aged.collect()
        };
        let successes = word.successes.iter().map(|one| wire::Success {
            fingerprint: one.fingerprint,
            age_ms: age(one.at),
        });
        Suspects {
            crashes: aged(word.crashes),
            suspected: aged(word.suspected),
            successes: successes.collect(),
        }
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
            let crash = dated(now, one);
            most = most.max(self.note_crash(crash, source));
        }
        if most >= URGENT_FROM {
            self.has_suspects.notify_one();
        }
    }

    /// The same of crashes that are not certain.
    pub fn hear_suspected(&self, crashes: &[Crash], passes_on: bool) {
        let now = self.signed_now();
        let source = match passes_on {
            true => Source::Own,
            false => Source::Other,
        };
        for one in crashes {
            self.note_suspected(dated(now, one), source);
        }
    }
}

/// A crash by this node's clock.
fn dated(now: i64, crash: &Crash) -> quarantine::Crash {
    quarantine::Crash {
        fingerprint: crash.fingerprint,
        replica: crash.replica,
        at: now - i64::from(crash.age_ms),
    }
}
