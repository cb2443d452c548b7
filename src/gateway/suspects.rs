//! Requests and parts of prompts that may have crashed replicas: this node's
//! observations, and the reports exchanged between nodes.
//!
//! The decisions based on them are in
//! [`quarantine`](crate::decide::quarantine). Reports carry their age instead
//! of a time, as the nodes' clocks differ and reports are forwarded from node
//! to node.

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway, ending,
    ending::InFlight,
    refusal::{Cause, Refusal},
};
use crate::{
    decide::quarantine::{
        self, Identity, PartReason, QUARANTINE_CRASHES, Quarantine, Reason,
        Report, Source, Subject, Success,
    },
    fingerprint,
    wire::{self, Crash, CrashReport},
};

/// Number of crashes of one request from which on other nodes are notified at
/// once: the next crash may be the third, whichever node the request reaches.
const MIN_URGENT_CRASHES: usize = 2;

impl Gateway {
    fn quarantine(&self, subject: Subject) -> MutexGuard<'_, Quarantine> {
        let quarantine = match subject {
            Subject::Request => &self.quarantine,
            Subject::Part => &self.part_quarantine,
        };
        quarantine.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn signed_now(&self) -> i64 {
        self.timer.now() as i64
    }

    /// Records that a replica crashed with requests of this node in flight.
    pub(super) fn record_crashes(&self, requests: &[InFlight]) {
        let mut max_crashes = 0;
        for request in requests {
            for (subject, crash) in request.crashes() {
                let crashes = self.record_crash(subject, crash, Source::Own);
                max_crashes = max_crashes.max(crashes);
            }
        }
        self.report_if_urgent(max_crashes);
    }

    /// Records that a replica has probably crashed with a request in flight.
    pub(super) fn record_suspected_crash(&self, request: &InFlight) {
        let mut max_crashes = 0;
        for (subject, crash) in request.crashes() {
            let crashes =
                self.add_suspected_crash(subject, crash, Source::Own);
            max_crashes = max_crashes.max(crashes);
        }
        self.report_if_urgent(max_crashes);
    }

    /// Adds a suspected crash; returns how many crashes of its request or part
    /// are now confirmed or suspected, or 0 if this one was known already.
    fn add_suspected_crash(
        &self,
        subject: Subject,
        crash: quarantine::Crash,
        source: Source,
    ) -> usize {
        let now = self.signed_now();
        let mut quarantine = self.quarantine(subject);
        let count = quarantine.record_suspected_crash(now, crash, source);
        let crashes = count.unwrap_or(0);
        if crashes < MIN_URGENT_CRASHES {
            return crashes;
        }
        let age_ms = now - crash.at;
        match subject {
            Subject::Request => info!(
                target: "gateway",
                fingerprint = fingerprint::shown(crash.fingerprint),
                crashes, age_ms, ?source,
                "Request was in flight at replicas that probably crashed."
            ),
            // Parts that are in use are in flight at nearly all crashes.
            Subject::Part if quarantine.has_succeeded(crash.fingerprint) => {
                return 0;
            }
            Subject::Part => info!(
                target: "gateway",
                part = format_args!("{:x}", crash.fingerprint),
                crashes, age_ms, ?source,
                "Part of prompts was in flight at replicas that probably \
                 crashed."
            ),
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

    /// Records a confirmed crash; returns how many crashes of its request or
    /// part are known now, or 0 if this one was known already.
    fn record_crash(
        &self,
        subject: Subject,
        crash: quarantine::Crash,
        source: Source,
    ) -> usize {
        let now = self.signed_now();
        let mut quarantine = self.quarantine(subject);
        let count = quarantine.record_crash(now, crash, source);
        let crashes = count.unwrap_or(0);
        if crashes < MIN_URGENT_CRASHES {
            return crashes;
        }
        let age_ms = now - crash.at;
        match subject {
            Subject::Request => warn!(
                target: "gateway",
                fingerprint = fingerprint::shown(crash.fingerprint),
                crashes, age_ms, ?source,
                "Request was in flight at replicas that crashed."
            ),
            // Parts that are in use are in flight at nearly all crashes.
            Subject::Part if quarantine.has_succeeded(crash.fingerprint) => {
                return 0;
            }
            Subject::Part => warn!(
                target: "gateway",
                part = format_args!("{:x}", crash.fingerprint),
                crashes, age_ms, ?source,
                "Part of prompts was in flight at replicas that crashed."
            ),
        }
        if crashes == QUARANTINE_CRASHES {
            let suspects = match subject {
                Subject::Request => &self.metrics.suspects,
                Subject::Part => &self.metrics.suspect_parts,
            };
            suspects.inc();
        }
        crashes
    }

    /// Records that a request succeeded at `at`, in ms.
    pub(super) fn record_success(&self, identity: &Identity, at: u64) {
        for (subject, fingerprint) in identity.subjects() {
            let success = Success { fingerprint, at: at as i64 };
            self.clear(subject, success, Source::Own);
        }
    }

    fn clear(&self, subject: Subject, success: Success, source: Source) {
        let now = self.signed_now();
        let mut quarantine = self.quarantine(subject);
        let is_in_use = quarantine.has_succeeded(success.fingerprint);
        let cleared = quarantine.record_success(now, success, source);
        // A request with a single crash is nearly always a bystander.
        let Some(crashes) = cleared.filter(|it| *it >= MIN_URGENT_CRASHES)
        else {
            return;
        };
        match subject {
            Subject::Request => info!(
                target: "gateway",
                fingerprint = fingerprint::shown(success.fingerprint),
                crashes, ?source,
                "Request is no longer suspected: it succeeded."
            ),
            Subject::Part if is_in_use => {}
            Subject::Part => info!(
                target: "gateway",
                part = format_args!("{:x}", success.fingerprint),
                crashes, ?source,
                "Part of prompts is no longer suspected: a request with it \
                 succeeded."
            ),
        }
    }

    /// Removes expired records.
    pub(super) fn expire_quarantine(&self) {
        let now = self.signed_now();
        self.quarantine(Subject::Request).expire(now);
        self.quarantine(Subject::Part).expire(now);
    }

    /// Returns why a request to `service` is quarantined, if it is.
    pub(super) fn quarantine_reason(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Option<Reason> {
        let mut quarantine = self.quarantine(Subject::Request);
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

    /// Returns why requests with these parts are quarantined, if they are.
    fn part_reason(&self, parts: &[u64]) -> Option<PartReason> {
        let mut quarantine = self.quarantine(Subject::Part);
        if !quarantine.may_hold_parts(parts) {
            return None;
        }
        if let Some(mesh) = self.mesh.get() {
            let table = mesh.table();
            quarantine.withdraw_all(|replica, at| {
                table.was_heard_or_is_leaving(replica, ending::heard_after(at))
            });
        }
        quarantine.part_reason(self.signed_now(), parts)
    }

    /// Returns whether a request, or a part of its prompt, is quarantined.
    pub(super) fn is_quarantined(
        &self,
        identity: &Identity,
        service: &str,
    ) -> bool {
        self.part_reason(&identity.parts).is_some()
            || self.quarantine_reason(identity.fingerprint, service).is_some()
    }

    /// Refuses a request if it or a part of its prompt is quarantined, unless
    /// this node grants it a trial now. Returns whether the request is a
    /// trial.
    pub(super) fn check_quarantine(
        &self,
        identity: &Identity,
        service: &str,
    ) -> Result<bool, Refusal> {
        let is_part_trial = self.check_parts(&identity.parts)?;
        let fingerprint = identity.fingerprint;
        let is_trial = self.check_request(fingerprint, service)?;
        Ok(is_part_trial || is_trial)
    }

    fn check_parts(&self, parts: &[u64]) -> Result<bool, Refusal> {
        let Some(reason) = self.part_reason(parts) else { return Ok(false) };
        let rank = self.trial_rank(reason.part, reason.wait_ms);
        let now = self.signed_now();
        let mut quarantine = self.quarantine(Subject::Part);
        let is_trial = quarantine.grant_part_trial(now, reason, rank);
        drop(quarantine);
        if is_trial {
            info!(
                target: "gateway",
                part = format_args!("{:x}", reason.part),
                crashes = reason.crashes,
                age_ms = reason.age_ms,
                alternatives = reason.alternatives,
                rank,
                "Trial of a quarantined part of prompts."
            );
            return Ok(true);
        }
        self.metrics.refused_for_parts.inc();
        let text = "replicas crashed under a part of the prompt";
        let cause = Some(Box::new(Cause::Part(reason)));
        let wait_ms = reason.retry_after_ms();
        Err(Refusal { cause, ..Refusal::retryable(text, wait_ms) })
    }

    /// Returns the number of nodes that come before this one with a trial that
    /// is due.
    fn trial_rank(&self, subject: u64, wait_ms: u64) -> usize {
        match self.mesh.get() {
            Some(mesh) if wait_ms == 0 => {
                mesh.table().entry_rank(self.timer.now(), subject)
            }
            _ => 0,
        }
    }

    fn check_request(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Result<bool, Refusal> {
        let Some(reason) = self.quarantine_reason(fingerprint, service) else {
            return Ok(false);
        };
        let now = self.signed_now();
        let rank = self.trial_rank(fingerprint, reason.wait_ms);
        let mut quarantine = self.quarantine(Subject::Request);
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
            return Ok(true);
        }
        let text = "replicas ended under it";
        let cause = Cause::Crashes { fingerprint, reason };
        let cause = Some(Box::new(cause));
        let wait_ms = reason.retry_after_ms();
        Err(Refusal { cause, ..Refusal::retryable(text, wait_ms) })
    }

    /// Clears a part of prompts of all crashes up to now, at all nodes. Returns
    /// false if none is recorded.
    pub fn release_part(&self, part: u64) -> bool {
        let now = self.signed_now();
        let success = Success { fingerprint: part, at: now };
        let mut quarantine = self.quarantine(Subject::Part);
        let cleared = quarantine.record_success(now, success, Source::Own);
        drop(quarantine);
        let Some(crashes) = cleared else { return false };
        info!(
            target: "gateway",
            part = format_args!("{part:x}"),
            crashes,
            "Part of prompts released by an operator."
        );
        self.suspects_changed.notify_one();
        if let Some(mesh) = self.mesh.get() {
            mesh.request_urgent_round();
        }
        true
    }

    /// Returns the reports for the next datagrams to other nodes.
    pub(super) fn crash_reports(&self, subject: Subject) -> CrashReport {
        let now = self.signed_now();
        let report = self.quarantine(subject).take_reports(now);
        to_wire(now, report)
    }

    /// Returns the crashes of requests with several crashes, for a node that
    /// starts and for the disk.
    pub fn repeated_crashes(&self) -> Vec<Crash> {
        let report = self.quarantine(Subject::Request).snapshot();
        to_wire(self.signed_now(), report).crashes
    }

    /// Returns the same for parts of prompts.
    pub fn repeated_part_crashes(&self) -> CrashReport {
        let report = self.quarantine(Subject::Part).snapshot();
        to_wire(self.signed_now(), report)
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
        let subject = Subject::Request;
        self.receive_crashes(subject, crashes, successes, passes_on);
    }

    /// Receives reports of suspected crashes; `passes_on` is as for
    /// [`Gateway::receive_crash_reports`].
    pub fn receive_suspected_crashes(
        &self,
        crashes: &[Crash],
        passes_on: bool,
    ) {
        self.receive_suspected(Subject::Request, crashes, passes_on);
    }

    /// Receives reports about parts of prompts; `passes_on` is as for
    /// [`Gateway::receive_crash_reports`].
    pub fn receive_part_report(&self, report: &CrashReport, passes_on: bool) {
        let CrashReport { crashes, suspected, successes } = report;
        let subject = Subject::Part;
        self.receive_suspected(subject, suspected, passes_on);
        self.receive_crashes(subject, crashes, successes, passes_on);
    }

    fn receive_crashes(
        &self,
        subject: Subject,
        crashes: &[Crash],
        successes: &[wire::Success],
        passes_on: bool,
    ) {
        let now = self.signed_now();
        let source = source_of(passes_on);
        // Successes come first, as they may clear crashes among these.
        for success in successes {
            let at = now - i64::from(success.age_ms);
            let fingerprint = success.fingerprint;
            self.clear(subject, Success { fingerprint, at }, source);
        }
        let mut max_crashes = 0;
        for crash in crashes {
            let crash = from_wire(now, crash);
            let crashes = self.record_crash(subject, crash, source);
            max_crashes = max_crashes.max(crashes);
        }
        if max_crashes >= MIN_URGENT_CRASHES {
            self.suspects_changed.notify_one();
        }
    }

    fn receive_suspected(
        &self,
        subject: Subject,
        crashes: &[Crash],
        passes_on: bool,
    ) {
        let now = self.signed_now();
        let source = source_of(passes_on);
        for crash in crashes {
            let crash = from_wire(now, crash);
            self.add_suspected_crash(subject, crash, source);
        }
    }
}

fn source_of(passes_on: bool) -> Source {
    match passes_on {
        true => Source::Own,
        false => Source::Other,
    }
}

fn to_wire(now: i64, report: Report) -> CrashReport {
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
    CrashReport {
        crashes: with_ages(report.crashes),
        suspected: with_ages(report.suspected),
        successes: successes.collect(),
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
