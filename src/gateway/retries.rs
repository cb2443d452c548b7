//! Claims retries from the retry budgets, with logs and metrics of their use.
//!
//! The decisions are in [`retry`](crate::decide::retry). Nodes tell each other
//! how many entries they know of, so that a node that has just started does
//! not take a share of the slack that is too large.

use std::sync::atomic::Ordering;

use tracing::info;

use super::{
    Gateway, fleet::Fleet, forward::AcceptedRequest, refusal::id_text,
};
use crate::{
    decide::retry::{Claim, Usage},
    mesh::{
        role::Role,
        table::{NODE_RETENTION_MS, Table},
    },
    metrics::{Retry, Service},
};

/// Minimum interval between two log lines about retries that were granted, in
/// ms.
const USE_LOG_INTERVAL_MS: u64 = 1000;
/// Time after its start in which a node may not have heard of all others, in
/// ms: three rounds of the mesh.
const DISCOVERY_MS: u64 = 1000;

impl AcceptedRequest {
    /// Returns true when the request may arrive at a replica now. If it may
    /// have arrived at one before, this charges the retry budget.
    pub fn claim_arrival(&mut self) -> bool {
        self.claimed_at = None;
        if self.attempts.arrived == 0 {
            return true;
        }
        let now = self.now();
        let request = id_text(self.request_info.id.as_ref());
        let is_granted = self.gateway.try_retry(now, &self.service, request);
        self.claimed_at = is_granted.then_some(now);
        is_granted
    }

    /// Takes back the last charge, as the request has not arrived.
    pub fn return_claim(&mut self) {
        if let Some(at) = self.claimed_at.take() {
            self.gateway.fleet().return_retry(at, &self.service);
            self.gateway.count_retry(&self.service, "returned");
        }
    }

    /// Counts the first attempt for the retry budget, unless a node has done
    /// so.
    pub fn count_first_attempt(&mut self) {
        if !self.is_counted {
            self.is_counted = true;
            let now = self.now();
            self.gateway.fleet().record_first_attempt(now, &self.service);
        }
    }
}

impl Gateway {
    /// Counts a retry and returns true if the retry budget allows one.
    fn try_retry(&self, now: u64, service: &str, request: &str) -> bool {
        let entries = match self.mesh.get() {
            Some(mesh) => self.retry_entries(now, &mesh.table()),
            None => Some(1),
        };
        let claim = self.fleet().try_retry(now, service, entries);
        let Some(Claim { is_granted, usage }) = claim else { return false };
        let outcome = if is_granted { "granted" } else { "denied" };
        self.count_retry(service, outcome);
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
            span_ms = usage.span_ms,
            entries = usage.entries,
            counted_ms = now,
            "{message}"
        );
        is_granted
    }

    fn count_retry(&self, service: &str, outcome: &'static str) {
        let retry = Retry { service: service.to_owned(), outcome };
        self.metrics.retries.get_or_create(&retry).inc();
    }

    /// Makes the retry budgets count as those of a process that has just
    /// started: another process may have used them until now.
    pub fn restart_retries(&self) {
        self.fleet().restart_retries(self.timer.now());
    }

    fn is_use_log_due(&self, now: u64) -> bool {
        let last = self.retry_use_logged_at.load(Ordering::Relaxed);
        let is_due = now >= last + USE_LOG_INTERVAL_MS;
        if is_due {
            self.retry_use_logged_at.store(now, Ordering::Relaxed);
        }
        is_due
    }

    /// Returns the number of entries that share the slack of the retry
    /// budgets, or `None` if this node has no share or can't know the number.
    pub(super) fn retry_entries(
        &self,
        now: u64,
        table: &Table,
    ) -> Option<usize> {
        // The successor of a process that drains has the share.
        let me = table.own_peer();
        if !me.serving || Role::of(me) == Role::Standby {
            return None;
        }
        let joins = self.joins.load(Ordering::Relaxed);
        let is_alone = table.nodes().is_empty();
        let is_unknown =
            now < DISCOVERY_MS || is_alone && now < NODE_RETENTION_MS;
        if joins && is_unknown {
            return None;
        }
        let (entries, _) = table.entry_counts(now);
        let highest = self.entry_peak().highest(now);
        Some(entries.max(highest).max(table.most_entries_reported()))
    }

    /// Records the present number of entries, to be reported to other nodes.
    pub(super) fn record_entries(&self, now: u64, table: &mut Table) {
        let (entries, _) = table.entry_counts(now);
        let mut peak = self.entry_peak();
        peak.record(now, entries);
        table.own_peer_mut().entries = peak.highest(now) as u32;
    }

    /// Updates the metrics of what has been used of the retry budgets.
    pub(super) fn observe_retry_usage(
        &self,
        now: u64,
        table: &Table,
        fleet: &mut Fleet,
    ) {
        let entries = self.retry_entries(now, table);
        let metrics = &self.metrics;
        for (service, usage) in fleet.retry_usage(now, entries) {
            let Usage { retries, allowed, .. } = usage;
            let label = Service { service: service.to_owned() };
            let used = metrics.retry_budget_used.get_or_create(&label);
            used.set(i64::from(retries));
            let total = metrics.retry_budget_allowed.get_or_create(&label);
            total.set(f64::from(allowed));
        }
        metrics.retry_budget_entries.set(entries.unwrap_or(0) as i64);
        metrics.retry_budget_age.set(now as f64 / 1000.0);
    }
}
