//! The rate limits that replicas announce, and the reports of them that nodes
//! exchange.
//!
//! The decisions based on them are in
//! [`rate_limit`](crate::decide::rate_limit). Reports carry their age instead
//! of a time, as the nodes' clocks differ and reports are forwarded from node
//! to node.

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway,
    dialect::{AnswerInfo, Limit},
    fleet::Fleet,
};
use crate::{
    decide::rate_limit::{Allocation, Observation, RateLimits, share},
    mesh::table::{self, Table},
    util::common,
    wire::RateLimit,
};

common! {
    copy
    /// Where a statement about a rate limit comes from.
    enum Source {
        /// A response of the replica to this node.
        Answer,
        /// A report from another node.
        Node,
    }
}

impl Gateway {
    fn rate_limits(&self) -> MutexGuard<'_, RateLimits> {
        self.rate_limits.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Records what a response says about its replica's rate limit; `sent_at`
    /// is when the request was sent.
    pub(super) fn record_rate_limit(
        &self,
        replica: &str,
        sent_at: u64,
        answered: &AnswerInfo,
    ) {
        if !answered.matches || answered.wrong_replica {
            return;
        }
        let (rate, at) = match answered.limit {
            Limit::PerSecond(rate) => (Some(rate), self.timer.now()),
            // A rejection may leave out the rate limit.
            Limit::None if answered.not_run => return,
            Limit::None => (None, sent_at),
            Limit::Unreadable => {
                self.metrics.unreadable.inc();
                warn!(
                    target: "gateway",
                    replica,
                    "Can't read the rate limit in a response."
                );
                return;
            }
        };
        let replica = table::replica_hash(replica);
        let statement = Observation { replica, rate, at: at as i64 };
        if self.record_statement(statement, Source::Answer) {
            self.update_rate_limit_shares();
            if let Some(mesh) = self.mesh.get() {
                mesh.request_urgent_round();
            }
        }
    }

    /// Records a statement; returns true if it changes the known rate limit.
    fn record_statement(
        &self,
        statement: Observation,
        source: Source,
    ) -> bool {
        let now = self.timer.now() as i64;
        let mut limits = self.rate_limits();
        let Some(change) = limits.record(now, statement) else { return false };
        let limited = limits.limited().count();
        drop(limits);
        self.metrics.limited_replicas.set(limited as i64);
        let hash = statement.replica;
        let known = self.fleet().name_of(hash).map(str::to_owned);
        let replica = known.unwrap_or_else(|| format!("{hash:016x}"));
        info!(
            target: "gateway",
            replica,
            rate = statement.rate,
            before = change.before,
            age_ms = now - statement.at,
            ?source,
            "Rate limit of a replica changed."
        );
        true
    }

    /// Updates the router with this node's shares of all known rate limits.
    fn update_rate_limit_shares(&self) {
        let Some(mesh) = self.mesh.get() else { return };
        let mut fleet = self.fleet();
        self.update_rate_limit_shares_in(&mesh.table(), &mut fleet);
    }

    /// Does the same with a mesh table and a fleet that are already locked.
    pub(super) fn update_rate_limit_shares_in(
        &self,
        table: &Table,
        fleet: &mut Fleet,
    ) {
        let now = self.timer.now();
        let mut limits = self.rate_limits();
        limits.expire(now as i64, |replica| fleet.knows(replica));
        let parts: Vec<Allocation> = limits
            .limited()
            .map(|(replica, limit)| {
                let position = table.active_rank(now, replica);
                let share = position
                    .map_or(0.0, |(rank, nodes)| share(limit, rank, nodes));
                Allocation { replica, limit, share }
            })
            .collect();
        drop(limits);
        fleet.set_rate_limits(now, &parts);
    }

    /// Returns the rate limit that a replica announced, in requests a second;
    /// 0 without a limit. For the log.
    pub(super) fn announced_rate(&self, replica: &str) -> f32 {
        let limits = self.rate_limits();
        match limits.is_empty() {
            true => 0.0,
            false => limits.rate(table::replica_hash(replica)).unwrap_or(0.0),
        }
    }

    /// Returns the statements for the next datagrams to other nodes.
    pub(super) fn next_rate_limit_reports(&self) -> Vec<RateLimit> {
        let now = self.timer.now() as i64;
        let statements = self.rate_limits().take_reports(now);
        statements
            .into_iter()
            .map(|statement| to_wire(now, statement))
            .collect()
    }

    /// Returns all statements, for a node that starts.
    pub fn rate_limit_reports(&self) -> Vec<RateLimit> {
        let now = self.timer.now() as i64;
        let limits = self.rate_limits();
        limits
            .observations()
            .map(|statement| to_wire(now, statement))
            .collect()
    }

    /// Receives statements about rate limits from another node.
    pub fn receive_rate_limits(&self, limits: &[RateLimit]) {
        let now = self.timer.now() as i64;
        let mut has_changed = false;
        for limit in limits {
            let rate = limit.per_s.filter(|rate| rate.is_finite());
            let statement = Observation {
                replica: limit.replica,
                rate: rate.map(|rate| rate.max(0.0)),
                at: now - i64::from(limit.age_ms),
            };
            has_changed |= self.record_statement(statement, Source::Node);
        }
        if has_changed {
            self.update_rate_limit_shares();
        }
    }
}

fn to_wire(now: i64, statement: Observation) -> RateLimit {
    let age_ms = (now - statement.at).clamp(0, u32::MAX.into()) as u32;
    RateLimit { replica: statement.replica, per_s: statement.rate, age_ms }
}
