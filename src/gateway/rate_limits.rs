//! What replicas say of the rate of requests that they take.
//!
//! What is decided by it stands in
//! [`rate_limit`](crate::decide::rate_limit).

use std::sync::MutexGuard;

use tracing::{info, warn};

use super::{
    Gateway,
    dialect::{Answered, Limit},
};
use crate::{
    decide::rate_limit::{RateLimits, Statement},
    mesh::table,
};

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
        let hash = table::replica_hash(replica);
        let at = at as i64;
        let statement = Statement { replica: hash, rate, at };
        let mut limits = self.rate_limits();
        let Some(before) = limits.note(statement) else { return };
        self.metrics.limited_replicas.set(limits.len() as i64);
        drop(limits);
        info!(
            target: "gateway",
            replica,
            rate,
            before = before.and_then(|one| one.rate),
            held_ms = before.map(|one| at - one.at),
            "Replica takes another rate of requests."
        );
    }

    /// The rate that a replica takes, for the log; 0 for any.
    pub(super) fn named_rate(&self, replica: &str) -> f32 {
        let limits = self.rate_limits();
        match limits.is_empty() {
            true => 0.0,
            false => limits.rate(table::replica_hash(replica)).unwrap_or(0.0),
        }
    }
}
