//! Quarantine of requests, and of parts of prompts, that may have crashed
//! endpoints.
//!
//! The rules are in [`quarantine`](crate::decide::quarantine). Entries do not
//! exchange crash reports, so each entry lets a request or a part crash three
//! endpoints before it quarantines it.

use std::time::Duration;

use tokio::time::sleep;
use tracing::warn;

use super::{
    dispatch::CallError, endpoints::has_announced_departure, refusal::Refusal,
    state::State,
};
use crate::{
    decide::quarantine::{
        Crash, Identity, PartReason, Reason, Source, Subject, Success,
    },
    fingerprint,
    util::{mix, name_hash},
    verdict::Verdict,
    wire::Endpoint,
};

/// Delay between a failed request and the check whether the endpoint still
/// accepts connections. A process that is exiting needs this time to close
/// its sockets.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(20);

impl State {
    /// Checks whether an endpoint that failed a request has crashed, and
    /// records the crash against the request if so.
    pub async fn investigate_failure(
        &self,
        identity: &Identity,
        endpoint: &Endpoint,
        failed: &CallError,
    ) {
        // An endpoint that was not reached did not run the request.
        if failed.verdict == Verdict::NotRun {
            return;
        }
        sleep(CRASH_CHECK_DELAY).await;
        let Ok(address) = endpoint.address.parse() else { return };
        if !self.dispatcher.refuses_connections(address).await {
            return;
        }
        // An endpoint that announced its departure exits with requests in
        // flight; its exit is not a crash.
        if has_announced_departure(self, &endpoint.id, endpoint.incarnation) {
            return;
        }
        let now = self.now() as i64;
        let replica = mix(name_hash(&endpoint.id) ^ endpoint.incarnation);
        for (subject, fingerprint) in identity.subjects() {
            let crash = Crash { fingerprint, replica, at: now };
            let mut quarantine = self.quarantine(subject);
            let crashes = quarantine.record_crash(now, crash, Source::Other);
            quarantine.expire(now);
            warn!(
                target: "entry",
                ?subject,
                fingerprint = fingerprint::shown(fingerprint),
                endpoint = endpoint.id,
                crashes,
                "Endpoint crashed while it ran a request."
            );
        }
    }

    /// Records that a request has succeeded.
    pub fn record_success(&self, identity: &Identity) {
        let now = self.now() as i64;
        for (subject, fingerprint) in identity.subjects() {
            let success = Success { fingerprint, at: now };
            let mut quarantine = self.quarantine(subject);
            quarantine.record_success(now, success, Source::Other);
        }
    }

    /// Refuses a request if it or a part of its prompt is quarantined, unless
    /// a trial is due.
    pub fn check_quarantine(
        &self,
        identity: &Identity,
        service: &str,
    ) -> Result<(), Refusal> {
        let now = self.now() as i64;
        // The rank is 0 because entries do not share trials.
        if let Some(reason) = self.part_reason(identity) {
            let mut quarantine = self.quarantine(Subject::Part);
            if !quarantine.grant_part_trial(now, reason, 0) {
                return Err(Refusal::retryable(
                    part_text(reason),
                    reason.retry_after_ms(),
                ));
            }
        }
        let fingerprint = identity.fingerprint;
        if let Some(reason) = self.request_reason(fingerprint, service) {
            let mut quarantine = self.quarantine(Subject::Request);
            if !quarantine.grant_trial(now, fingerprint, reason, 0) {
                return Err(Refusal::retryable(
                    request_text(reason),
                    reason.retry_after_ms(),
                ));
            }
        }
        Ok(())
    }

    /// Returns why a request may not be sent to endpoints now.
    pub fn quarantine_text(
        &self,
        identity: &Identity,
        service: &str,
    ) -> Option<String> {
        let request = self.request_reason(identity.fingerprint, service);
        let request = request.map(request_text);
        request.or_else(|| self.part_reason(identity).map(part_text))
    }

    fn request_reason(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Option<Reason> {
        let now = self.now() as i64;
        let endpoints = || {
            let mut fleet = self.fleet();
            fleet.pool(service).map_or(0, |pool| pool.len())
        };
        let quarantine = self.quarantine(Subject::Request);
        quarantine.quarantine_reason(now, fingerprint, endpoints)
    }

    fn part_reason(&self, identity: &Identity) -> Option<PartReason> {
        let now = self.now() as i64;
        let quarantine = self.quarantine(Subject::Part);
        quarantine.part_reason(now, &identity.parts)
    }
}

/// Formats the reason of a quarantine for callers.
fn request_text(reason: Reason) -> String {
    format!("{} endpoints ended under it", reason.crashes)
}

fn part_text(reason: PartReason) -> String {
    format!("{} endpoints ended under a part of its prompt", reason.crashes)
}
