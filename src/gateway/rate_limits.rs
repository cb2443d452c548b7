//! What replicas say of the rate of requests that they take, and what nodes
//! tell each other of it.
//!
//! What is decided by it stands in
//! [`rate_limit`](crate::decide::rate_limit). Word carries its age, as clocks
//! differ and it goes from node to node.

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway,
    dialect::{Answered, Limit},
    fleet::Fleet,
};
use crate::{
    decide::rate_limit::{Part, RateLimits, Statement, share},
    mesh::table::{self, Table},
    util::common,
    wire::RateLimit,
};

common! {
    copy
    /// Who says what a replica takes.
    enum Source {
        /// The replica, in an answer to this node.
        Answer,
        /// Another node.
        Node,
    }
}

impl Gateway {
    fn rate_limits(&self) -> MutexGuard<'_, RateLimits> {
        self.rate_limits.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Takes what an answer says of its replica's limit; the request was sent
    /// at `sent_at`.
    pub(super) fn note_limit(
        &self,
        replica: &str,
        sent_at: u64,
        answered: &Answered,
    ) {
        if !answered.matches || answered.wrong_replica {
            return;
        }
        let (rate, at) = match answered.limit {
            Limit::PerSecond(rate) => (Some(rate), self.timer.now()),
            // A replica that turns a request away may say no more than that.
            Limit::None if answered.not_run => return,
            Limit::None => (None, sent_at),
            Limit::Unreadable => {
                self.metrics.unreadable.inc();
                warn!(target: "gateway", replica, "Unreadable limit.");
                return;
            }
        };
        let replica = table::replica_hash(replica);
        let statement = Statement { replica, rate, at: at as i64 };
        if self.note_statement(statement, Source::Answer) {
            self.share_limits();
            if let Some(mesh) = self.mesh.get() {
                mesh.urge();
            }
        }
    }

    /// Takes a statement; true when it changes what was known.
    fn note_statement(&self, statement: Statement, source: Source) -> bool {
        let now = self.timer.now() as i64;
        let mut limits = self.rate_limits();
        let Some(change) = limits.note(now, statement) else { return false };
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
            "Replica takes another rate of requests."
        );
        true
    }

    /// Gives the router this node's shares of all limits, as it knows them.
    fn share_limits(&self) {
        let Some(mesh) = self.mesh.get() else { return };
        let mut fleet = self.fleet();
        self.share_limits_by(&mesh.table(), &mut fleet);
    }

    /// The same where the mesh and the fleet are at hand.
    pub(super) fn share_limits_by(&self, table: &Table, fleet: &mut Fleet) {
        let now = self.timer.now();
        let mut limits = self.rate_limits();
        limits.expire(now as i64, |replica| fleet.knows(replica));
        let parts: Vec<Part> = limits
            .limited()
            .map(|(replica, limit)| {
                let place = table.place(now, replica);
                let share = place
                    .map_or(0.0, |(rank, nodes)| share(limit, rank, nodes));
                Part { replica, limit, share }
            })
            .collect();
        drop(limits);
        fleet.set_limits(now, &parts);
    }

    /// The rate that a replica takes, for the log; 0 for any.
    pub(super) fn named_rate(&self, replica: &str) -> f32 {
        let limits = self.rate_limits();
        match limits.is_empty() {
            true => 0.0,
            false => limits.rate(table::replica_hash(replica)).unwrap_or(0.0),
        }
    }

    /// What is told to other nodes in the next datagrams.
    pub(super) fn tell_limits(&self) -> Vec<RateLimit> {
        let now = self.timer.now() as i64;
        let told = self.rate_limits().tell(now);
        told.into_iter().map(|one| worded(now, one)).collect()
    }

    /// What a node that starts has to know of limits.
    pub fn limits(&self) -> Vec<RateLimit> {
        let now = self.timer.now() as i64;
        let limits = self.rate_limits();
        limits.statements().map(|one| worded(now, one)).collect()
    }

    /// Takes what another node tells of limits.
    pub fn hear_limits(&self, limits: &[RateLimit]) {
        let now = self.timer.now() as i64;
        let mut is_news = false;
        for one in limits {
            let rate = one.per_s.filter(|rate| rate.is_finite());
            let statement = Statement {
                replica: one.replica,
                rate: rate.map(|rate| rate.max(0.0)),
                at: now - i64::from(one.age_ms),
            };
            is_news |= self.note_statement(statement, Source::Node);
        }
        if is_news {
            self.share_limits();
        }
    }
}

fn worded(now: i64, one: Statement) -> RateLimit {
    let age_ms = (now - one.at).clamp(0, u32::MAX.into()) as u32;
    RateLimit { replica: one.replica, per_s: one.rate, age_ms }
}
