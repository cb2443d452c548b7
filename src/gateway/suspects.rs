//! Requests that may have crashed replicas: this node's observations, and the
//! reports exchanged between nodes.
//!
//! The decisions based on them are in
//! [`quarantine`](crate::decide::quarantine). Reports carry their age instead
//! of a time, as the nodes' clocks differ and reports are forwarded from node
//! to node.

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway, ending,
    refusal::{Cause, Refusal},
};
use crate::{
    decide::quarantine::{
        self, QUARANTINE_CRASHES, Quarantine, Reason, Report, Source, Success,
    },
    fingerprint,
    wire::{self, Crash},
};

/// Reports to other nodes about requests that may have crashed replicas.
pub(super) struct CrashReports {
    /// Confirmed crashes.
    pub crashes: Vec<Crash>,
    /// Suspected crashes.
    pub suspected: Vec<Crash>,
    /// Successes that clear earlier crashes.
    pub successes: Vec<wire::Success>,
}

/// Number of crashes of one request from which on other nodes are notified at
/// once: the next crash may be the third, whichever node the request reaches.
const MIN_URGENT_CRASHES: usize = 2;

impl Gateway {
    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn signed_now(&self) -> i64 {
        self.timer.now() as i64
    }

    /// Records that a replica crashed with requests of this node in flight.
    pub(super) fn record_crashes(&self, crashes: &[quarantine::Crash]) {
        let mut max_crashes = 0;
        for crash in crashes {
            max_crashes =
                max_crashes.max(self.record_crash(*crash, Source::Own));
        }
        self.report_if_urgent(max_crashes);
    }

    /// Records that a replica has probably crashed with a request in flight.
    pub(super) fn record_suspected_crash(&self, crash: quarantine::Crash) {
        let crashes = self.add_suspected_crash(crash, Source::Own);
        self.report_if_urgent(crashes);
    }

    /// Adds a suspected crash; returns how many crashes of its request are now
    /// confirmed or suspected, or 0 if this one was known already.
    fn add_suspected_crash(
        &self,
        crash: quarantine::Crash,
        source: Source,
    ) -> usize {
        let now = self.signed_now();
        let count =
            self.quarantine().record_suspected_crash(now, crash, source);
        let crashes = count.unwrap_or(0);
        if crashes >= MIN_URGENT_CRASHES {
            let fingerprint = fingerprint::shown(crash.fingerprint);
            let age_ms = now - crash.at;
            info!(
                target: "gateway",
                fingerprint, crashes, age_ms, ?source,
                "Request was in flight at replicas that probably crashed."
            );
        }
        crashes
    }

    /// Sends reports to the other nodes at once if a request has so many
    /// crashes that the next one may reach the limit.
    fn report_if_urgent(&self, crashes: usize) {
        if crashes >= MIN_URGENT_CRASHES {
            self.suspects_changed.notify_one();
            if let Some(mesh) = self.mesh.get() {
                mesh.request_urgent_round();
            }
        }
    }

    /// Records a confirmed crash; returns how many crashes of its request are
    /// known now, or 0 if this one was known already.
    fn record_crash(&self, crash: quarantine::Crash, source: Source) -> usize {
        let now = self.signed_now();
        let count = self.quarantine().record_crash(now, crash, source);
        let crashes = count.unwrap_or(0);
        if crashes >= MIN_URGENT_CRASHES {
            let fingerprint = fingerprint::shown(crash.fingerprint);
            let age_ms = now - crash.at;
            warn!(
                target: "gateway",
                fingerprint, crashes, age_ms, ?source,
                "Request was in flight at replicas that crashed."
            );
        }
        if crashes == QUARANTINE_CRASHES {
            self.metrics.suspects.inc();
        }
        crashes
    }

    /// Records that a request succeeded.
    pub(super) fn record_success(&self, fingerprint: u64) {
        let at = self.signed_now();
        self.clear(Success { fingerprint, at }, Source::Own);
    }

    fn clear(&self, success: Success, source: Source) {
        let now = self.signed_now();
        let cleared = self.quarantine().record_success(now, success, source);
        // A request with a single crash is nearly always a bystander.
        if cleared.is_some_and(|crashes| crashes >= MIN_URGENT_CRASHES) {
            let fingerprint = fingerprint::shown(success.fingerprint);
            info!(
                target: "gateway",
                fingerprint, crashes = cleared, ?source,
                "Request is no longer suspected: it succeeded."
            );
        }
    }

    /// Removes expired records.
    pub(super) fn expire_quarantine(&self) {
        let now = self.signed_now();
        self.quarantine().expire(now);
    }

    /// Returns why a request to `service` is quarantined, if it is.
    pub(super) fn quarantine_reason(
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
                table.was_heard_or_is_leaving(replica, ending::heard_after(at))
            });
        }
        let replicas = || self.fleet().load(service).0;
        quarantine.quarantine_reason(self.signed_now(), fingerprint, replicas)
    }

    /// Refuses a quarantined request, unless this node grants it a trial now.
    pub(super) fn check_quarantine(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Result<(), Refusal> {
        let Some(reason) = self.quarantine_reason(fingerprint, service) else {
            return Ok(());
        };
        let now = self.signed_now();
        let rank = match self.mesh.get() {
            Some(mesh) if reason.wait_ms == 0 => {
                mesh.table().entry_rank(self.timer.now(), fingerprint)
            }
            _ => 0,
        };
        let mut quarantine = self.quarantine();
        let is_trial = quarantine.grant_trial(now, fingerprint, reason, rank);
        drop(quarantine);
        if is_trial {
            info!(
                target: "gateway",
                fingerprint = fingerprint::shown(fingerprint),
                crashes = reason.crashes,
                age_ms = reason.age_ms,
                rank,
                "Trial of a quarantined request."
            );
            return Ok(());
        }
        let text = "replicas ended under it";
        let cause = Cause::Crashes { fingerprint, reason };
        let cause = Some(Box::new(cause));
        let wait_ms = reason.retry_after_ms();
        Err(Refusal { cause, ..Refusal::retryable(text, wait_ms) })
    }

    /// Returns the reports for the next datagrams to other nodes.
    pub(super) fn crash_reports(&self) -> CrashReports {
        let now = self.signed_now();
        let report = self.quarantine().take_reports(now);
        self.to_wire(report)
    }

    /// Returns the crashes of requests with several crashes, for a node that
    /// starts and for the disk.
    pub fn repeated_crashes(&self) -> Vec<Crash> {
        let report = self.quarantine().snapshot();
        self.to_wire(report).crashes
    }

    fn to_wire(&self, report: Report) -> CrashReports {
        let now = self.signed_now();
        let age_ms = |at: i64| (now - at).clamp(0, u32::MAX.into()) as u32;
        let with_ages = |crashes: Vec<quarantine::Crash>| {
            let crashes = crashes.iter().map(|crash| Crash {
                fingerprint: crash.fingerprint,
                replica: crash.replica,
                age_ms: age_ms(crash.at),
            });
            crashes.collect()
        };
        let successes = report.successes.iter().map(|success| wire::Success {
            fingerprint: success.fingerprint,
            age_ms: age_ms(success.at),
        });
        CrashReports {
            crashes: with_ages(report.crashes),
            suspected: with_ages(report.suspected),
            successes: successes.collect(),
        }
    }

    /// Receives reports from another node or from the disk.
    ///
    /// `passes_on` is set if the sender reports to no other node; this node
    /// then forwards the reports.
    pub fn receive_crash_reports(
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
        // Successes come first, as they may clear crashes among these.
        for success in successes {
            let at = now - i64::from(success.age_ms);
            let fingerprint = success.fingerprint;
            self.clear(Success { fingerprint, at }, source);
        }
        let mut max_crashes = 0;
        for crash in crashes {
            let crash = from_wire(now, crash);
            max_crashes = max_crashes.max(self.record_crash(crash, source));
        }
        if max_crashes >= MIN_URGENT_CRASHES {
            self.suspects_changed.notify_one();
        }
    }

    /// Receives reports of suspected crashes; `passes_on` is as for
    /// [`Gateway::receive_crash_reports`].
    pub fn receive_suspected_crashes(
        &self,
        crashes: &[Crash],
        passes_on: bool,
    ) {
        let now = self.signed_now();
        let source = match passes_on {
            true => Source::Own,
            false => Source::Other,
        };
        for crash in crashes {
            self.add_suspected_crash(from_wire(now, crash), source);
        }
    }
}

/// Converts a reported crash, with its time by this node's clock.
fn from_wire(now: i64, crash: &Crash) -> quarantine::Crash {
    quarantine::Crash {
        fingerprint: crash.fingerprint,
        replica: crash.replica,
        at: now - i64::from(crash.age_ms),
    }
}
