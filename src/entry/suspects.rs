//! Requests that may have ended endpoints, as this entry knows them.
//!
//! What is decided by it stands in [`quarantine`](crate::decide::quarantine).
//! Entries don't tell each other: each lets a request end three endpoints.

use std::time::Duration;

use tokio::time::sleep;
use tracing::warn;

use super::{
    dispatch::Failed, endpoints::has_left, refusal::Refusal, state::State,
};
use crate::{
    decide::quarantine::{Crash, Reason, Source, Success},
    fingerprint,
    util::{mix, name_hash},
    verdict::Verdict,
    wire::Endpoint,
};

/// Before an endpoint is tried once more, so that a process that ends has
/// closed all that it had open.
const PAUSE: Duration = Duration::from_millis(20);

impl State {
    /// Finds out whether an endpoint that failed a request has ended, and
    /// notes the request if so.
    pub async fn note_failure(
        &self,
        fingerprint: u64,
        endpoint: &Endpoint,
        failed: &Failed,
    ) {
        // One that was not reached has not run it.
        if failed.verdict == Verdict::NotRun {
            return;
        }
        sleep(PAUSE).await;
        let Ok(address) = endpoint.address.parse() else { return };
        if !self.dispatcher.has_ended(address).await {
            return;
        }
        // One that said that it leaves ends with what it still has.
        if has_left(self, &endpoint.id, endpoint.incarnation) {
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
            "Endpoint ended under a request."
        );
    }

    /// Notes that a request has ended well.
    pub fn note_success(&self, fingerprint: u64) {
        let now = self.now() as i64;
        let success = Success { fingerprint, at: now };
        self.quarantine().record_success(now, success, Source::Other);
    }

    /// Refuses a request that ends the endpoints that run it, unless it is time
    /// to try it again.
    pub fn keep_away(
        &self,
        fingerprint: u64,
        service: &str,
    ) -> Result<(), Refusal> {
        let Some(reason) = self.kept_away(fingerprint, service) else {
            return Ok(());
        };
        let now = self.now() as i64;
        let mut quarantine = self.quarantine();
        // Nobody else tries it: entries don't tell each other.
        if quarantine.grant_trial(now, fingerprint, reason, 0) {
            return Ok(());
        }
        Err(Refusal::later(told(reason), reason.retry_after_ms()))
    }

    /// Why a request may not go to an endpoint now.
    pub fn kept_away(
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

/// The reason, for callers.
pub fn told(reason: Reason) -> String {
    format!("{} endpoints ended under it", reason.crashes)
}
