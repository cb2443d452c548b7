//! One replica, as one entry's pool sees it.

use super::{Availability, Identity, Ticket};
use crate::{
    decide::{brittle::Brittle, rate_limit::Bucket, speed::Speed},
    util::{name_hash, position},
};

/// Time for which a replica that failed a request costs more, in ms. It
/// doubles with each failure after that time has passed, up to eight times the
/// initial value, because each attempt at a failing replica costs a request
/// its time.
const FAILURE_PENALTY_MS: u64 = 1000;
/// Maximum number of doublings of [`FAILURE_PENALTY_MS`].
const MAX_PENALTY_DOUBLINGS: u32 = 3;
/// Weight of a failure in the moving average of the failure rate.
const FAILURE_WEIGHT: f32 = 0.3;
/// Weight of a success in that average. It is lower than the weight of a
/// failure, so that a replica that fails one request in three remains
/// distinguishable from replicas that fail none.
const SUCCESS_WEIGHT: f32 = 0.1;
/// Time in which the failure rate halves, in ms: a replica that gets no
/// requests could not show otherwise that it has recovered.
const FAILURE_RATE_HALF_LIFE_MS: f32 = 3000.0;
/// Maximum number of request starts and ends that are kept to correct a load
/// report that arrives late.
const MAX_RECENT_CHANGES: usize = 256;

#[derive(Clone, Debug)]
pub struct Replica {
    pub identity: Identity,
    /// Identifies the replica in the prefix index; never reused.
    pub number: u32,
    pub is_local: bool,
    /// Requests that run or wait, as last reported.
    pub reported_load: f32,
    /// When the reported load was measured, in ms.
    pub measured_at: u64,
    /// This entry's requests that have started since that measurement, minus
    /// those that have ended.
    pub own_change: f32,
    /// Times at which this entry's latest requests started (+1) and ended
    /// (-1).
    pub recent_changes: Vec<(u64, f32)>,
    pub own_in_flight: u32,
    /// Prompt tokens of this entry's requests that have not had a first piece
    /// yet.
    pub pending_tokens: f32,
    /// Pending prompt tokens of the other entries' requests, and when they
    /// were measured, in ms.
    pub others_pending: (f32, u64),
    /// Requests in flight by serial number, and when each of them started or
    /// last made progress, in ms.
    pub last_progress: Vec<(u64, u64)>,
    pub penalty_until: u64,
    /// Doublings of the next penalty: the failures in a row that each came
    /// after the penalty for the one before had passed.
    pub penalty_doublings: u32,
    /// Moving average of the share of requests that fail, from 0 to 1.
    pub failure_rate: f32,
    /// When `failure_rate` last changed, in ms.
    pub failure_rate_updated_at: u64,
    /// Weight of the last report's load of other entries against the average,
    /// from 0 to 1.
    pub report_weight: f32,
    pub matched_tokens: u32,
    /// Hash of its id, which is the same at every entry.
    pub id_hash: u64,
    /// This entry's share of the replica's rate limit; `None` if the replica
    /// has no rate limit.
    pub bucket: Option<Bucket>,
    /// Time until which it is sent nothing, as it requested; 0 for none.
    pub backoff_until: u64,
    /// Set while the replica announces that rejections make it fall over, or
    /// has not announced if they do and other replicas announce it.
    pub brittle: Option<Brittle>,
    /// Whether an answer has said if the replica is brittle, since the first
    /// one of the service was.
    pub has_announced: bool,
    /// Evidence about its speed.
    pub pace: Speed,
    /// Time that work takes here relative to the pool; 1 if unknown.
    pub slowness: f32,
    /// The part of that factor that counts in its cost; 1 if unknown.
    pub cost_factor: f32,
    /// Useful number of running requests; infinite if unknown.
    pub knee: f32,
}

impl Replica {
    /// Creates a replica with no load and no history.
    pub fn new(
        number: u32,
        local_data_centre: &str,
        identity: &Identity,
    ) -> Replica {
        Replica {
            identity: identity.clone(),
            number,
            is_local: identity.data_centre == local_data_centre,
            reported_load: 0.0,
            measured_at: 0,
            own_change: 0.0,
            recent_changes: Vec::new(),
            own_in_flight: 0,
            pending_tokens: 0.0,
            others_pending: (0.0, 0),
            last_progress: Vec::new(),
            penalty_until: 0,
            penalty_doublings: 0,
            failure_rate: 0.0,
            failure_rate_updated_at: 0,
            report_weight: 1.0,
            matched_tokens: 0,
            id_hash: name_hash(&identity.id),
            bucket: None,
            backoff_until: 0,
            brittle: None,
            has_announced: false,
            pace: Speed::default(),
            slowness: 1.0,
            cost_factor: 1.0,
            knee: f32::INFINITY,
        }
    }

    pub fn is_serving(&self) -> bool {
        self.identity.availability == Availability::Serving
    }

    /// Whether the replica has requested a backoff that is not over.
    pub fn is_backing_off(&self, now: u64) -> bool {
        now < self.backoff_until
    }

    /// Whether this entry may send the replica a request now: it serves, has
    /// requested no backoff, this entry's share of its rate limit is not used
    /// up, and it bears the risk of another rejection.
    pub fn accepts(&self, now: u64) -> bool {
        self.is_serving()
            && !self.is_backing_off(now)
            && self.bucket.is_none_or(|bucket| bucket.has_room(now))
            && self.fits()
    }

    /// Whether a brittle replica may be sent a request, as of the last update
    /// of its risk.
    pub fn fits(&self) -> bool {
        self.brittle.is_none_or(|brittle| brittle.is_allowed())
    }

    /// Whether a request is in flight at the replica.
    pub fn is_in_flight(&self, ticket: Ticket) -> bool {
        position(&self.last_progress, &ticket.serial, |(serial, _)| serial)
            .is_ok()
    }

    /// Returns the number of the other entries' requests in the last report.
    pub fn others_load(&self) -> f32 {
        let own_at_report = self.own_in_flight as f32 - self.own_change;
        (self.reported_load - own_at_report).max(0.0)
    }

    /// Removes a request that has ended.
    pub fn remove_in_flight(
        &mut self,
        now: u64,
        ticket: Ticket,
        started: bool,
    ) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.record_change(now, -1.0);
        self.last_progress.retain(|(serial, _)| *serial != ticket.serial);
        if !started {
            self.pending_tokens =
                (self.pending_tokens - ticket.tokens as f32).max(0.0);
        }
        if let Some(brittle) = &mut self.brittle {
            brittle.record_end(now, ticket.serial, started);
        }
    }

    /// Records whether a request failed.
    pub fn record_outcome(&mut self, now: u64, failed: bool) {
        self.failure_rate = self.decayed_failure_rate(now);
        self.failure_rate_updated_at = now;
        if !failed {
            self.failure_rate -= self.failure_rate * SUCCESS_WEIGHT;
            self.penalty_doublings = 0;
            return;
        }
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        // Requests that were in flight together fail together: one penalty.
        if now >= self.penalty_until {
            self.penalty_until =
                now + (FAILURE_PENALTY_MS << self.penalty_doublings);
            self.penalty_doublings =
                (self.penalty_doublings + 1).min(MAX_PENALTY_DOUBLINGS);
        }
    }

    /// Returns the failure rate, decayed by the time since its last change.
    pub fn decayed_failure_rate(&self, now: u64) -> f32 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let elapsed_ms =
            now.saturating_sub(self.failure_rate_updated_at) as f32;
        self.failure_rate
            * (-elapsed_ms / FAILURE_RATE_HALF_LIFE_MS
                * std::f32::consts::LN_2)
                .exp()
    }

    pub fn record_change(&mut self, now: u64, change: f32) {
        self.own_change += change;
        if self.recent_changes.len() == MAX_RECENT_CHANGES {
            self.recent_changes.remove(0);
        }
        self.recent_changes.push((now, change));
    }
}
