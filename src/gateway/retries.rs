//! Claims retries from the retry budgets, with logs and metrics of their use.
//!
//! The decisions are in [`retry`](crate::decide::retry).

use std::sync::atomic::Ordering;

use tracing::info;

use super::{Gateway, fleet::Fleet};
use crate::{
    decide::retry::{Claim, Usage},
    mesh::table::Table,
    metrics::{Retry, Service},
};

/// Minimum interval between two log lines about retries that were granted, in
/// ms.
const USE_LOG_INTERVAL_MS: u64 = 1000;

impl Gateway {
    /// Counts a retry and returns true if the retry budget allows one.
    pub(super) fn try_retry(&self, service: &str, request: &str) -> bool {
        let now = self.timer.now();
        let entries = self.mesh.get().map_or(1, |mesh| {
            let (entries, _) = mesh.table().entry_counts(now);
            entries
        });
        let claim = self.fleet().try_retry(now, service, entries);
        let Some(Claim { is_granted, usage }) = claim else { return false };
        let outcome = if is_granted { "granted" } else { "denied" };
        let retry = Retry { service: service.to_owned(), outcome };
        self.metrics.retries.get_or_create(&retry).inc();
        if is_granted && !self.is_use_log_due(now) {
            return true;
        }
        let message = match is_granted {
            true => "Retry budget in use.",
            false => "Retry denied: the retry budget is used up.",
        };
        info!(
            target: "gateway",
            request, service,
            retries = usage.retries,
            allowed = usage.allowed,
            first_attempts = usage.first_attempts,
            entries = usage.entries,
            counted_ms = now,
            "{message}"
        );
        is_granted
    }

    fn is_use_log_due(&self, now: u64) -> bool {
        let last = self.retry_use_logged_at.load(Ordering::Relaxed);
        let is_due = now >= last + USE_LOG_INTERVAL_MS;
        if is_due {
            self.retry_use_logged_at.store(now, Ordering::Relaxed);
        }
        is_due
    }

    /// Updates the metrics of what has been used of the retry budgets.
    pub(super) fn observe_retry_usage(
        &self,
        now: u64,
        table: &Table,
        fleet: &mut Fleet,
    ) {
        let (entries, _) = table.entry_counts(now);
        let metrics = &self.metrics;
        for (service, usage) in fleet.retry_usage(now, entries) {
            let Usage { retries, allowed, entries, .. } = usage;
            let label = Service { service: service.to_owned() };
            let used = metrics.retry_budget_used.get_or_create(&label);
            used.set(i64::from(retries));
            let total = metrics.retry_budget_allowed.get_or_create(&label);
            total.set(f64::from(allowed));
            metrics.retry_budget_entries.set(entries as i64);
        }
        metrics.retry_budget_age.set(now as f64 / 1000.0);
    }
}
