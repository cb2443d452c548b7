//! Quarantine of requests that may have crashed endpoints.
//!
//! The rules are in [`quarantine`](crate::decide::quarantine). Entries do not
//! exchange crash reports, so each entry lets a request crash three endpoints
//! before it quarantines the request.

use std::time::Duration;

use tokio::time::sleep;
use tracing::warn;

use super::{
    dispatch::CallError, endpoints::has_announced_departure, refusal::Refusal,
    state::State,
};
use crate::{
    decide::quarantine::{Crash, Reason, Source, Success},
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
        fingerprint: u64,
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
        let crash = Crash { fingerprint, replica, at: now };
        let mut quarantine = self.quarantine();
        let crashes = quarantine.record_crash(now, crash, Source::Other);
        quarantine.expire(now);
        warn!(
            target: "entry",
            fingerprint = fingerprint::shown(fingerprint),
            endpoint = endpoint.id,
            crashes,
            "Endpoint crashed while it ran a request."
        );
    }

    /// Records that a request has succeeded.
    pub fn record_success(&self, fingerprint: u64) {
        let now = self.now() as i64;
        let success = Success { fingerprint, at: now };
        self.quarantine().record_success(now, success, Source::Other);
    }

    /// Refuses a quarantined request, unless a trial is due.
    pub fn check_quarantine(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Result<(), Refusal> {
        let Some(reason) = self.quarantine_reason(fingerprint, service) else {
            return Ok(());
        };
        let now = self.now() as i64;
        let mut quarantine = self.quarantine();
        // The rank is 0 because entries do not share trials.
        if quarantine.grant_trial(now, fingerprint, reason, 0) {
            return Ok(());
        }
        Err(Refusal::retryable(
            quarantine_text(reason),
            reason.retry_after_ms(),
        ))
    }

    /// Returns why a request may not be sent to endpoints now.
    pub fn quarantine_reason(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Option<Reason> {
        let now = self.now() as i64;
        let endpoints = || {
            let mut fleet = self.fleet();
            fleet.pool(service).map_or(0, |pool| pool.len())
        };
        self.quarantine().quarantine_reason(now, fingerprint, endpoints)
    }
}

/// Formats the reason of a quarantine for callers.
pub fn quarantine_text(reason: Reason) -> String {
    format!("{} endpoints ended under it", reason.crashes)
}
