//! One replica, as the pool of one entry sees it.

use super::{Identity, Standing};
use crate::{decide::rate_limit::Bucket, util::name_hash};

/// How long a replica that failed a request is passed over, in ms. Doubled
/// with each failure after it was let back in, up to eight times that: each
/// try costs a request its time.
const FAILED_MS: u64 = 1000;
/// Doublings of [`FAILED_MS`] at most.
const STRIKES: u32 = 3;
/// The weight of one more failure in the part that fails.
const FAILURE_SHARE: f32 = 0.3;
/// The weight of one more success. Lower, so that a replica that fails one
/// request in three keeps standing out among those that fail none.
const SUCCESS_SHARE: f32 = 0.1;
/// In so many ms half of what is held against a replica is forgotten: one
/// that gets no requests could not show otherwise that it has recovered.
const FORGIVE_MS: f32 = 3000.0;
/// How many beginnings and ends are remembered to correct a late report.
const RECENT: usize = 256;

#[derive(Clone, Debug)]
pub struct Replica {
    pub identity: Identity,
    /// Stands for it in the prefix index; never used twice.
    pub number: u32,
    pub near: bool,
    /// Running and waiting, as last reported.
    pub reported: f32,
    /// When that was measured.
    pub measured_at: u64,
    /// Of this entry's requests, those begun since that report, less those
    /// ended.
    pub change: f32,
    /// When this entry's latest requests began (+1) and ended (-1).
    pub recent: Vec<(u64, f32)>,
    pub own: u32,
    /// Prompt tokens sent that have not led to a first piece yet.
    pub pending_tokens: f32,
    /// The same of the other entries, and when it was so.
    pub others_pending: (f32, u64),
    /// When each request without progress began or last moved.
    pub quiet: Vec<(u64, u64)>,
    pub failed_until: u64,
    /// Times in a row that it failed after it had been let back in.
    pub strikes: u32,
    /// The part of its requests that failed lately, from 0 to 1.
    pub failing: f32,
    /// When `failing` last changed.
    pub failing_at: u64,
    /// How much of what the last report said still holds, from 0 to 1.
    pub trust: f32,
    pub matched: u32,
    /// Of its id; the same at every entry.
    pub hash: u64,
    /// What this entry may still send, where the replica takes a limited rate
    /// of requests.
    pub bucket: Option<Bucket>,
}

impl Replica {
    /// Nothing is known of it yet.
    pub fn new(number: u32, near: &str, identity: &Identity) -> Replica {
        Replica {
            identity: identity.clone(),
            number,
            near: identity.data_centre == near,
            reported: 0.0,
            measured_at: 0,
            change: 0.0,
            recent: Vec::new(),
            own: 0,
            pending_tokens: 0.0,
            others_pending: (0.0, 0),
            quiet: Vec::new(),
            failed_until: 0,
            strikes: 0,
            failing: 0.0,
            failing_at: 0,
            trust: 1.0,
            matched: 0,
            hash: name_hash(&identity.id),
            bucket: None,
        }
    }

    pub fn is_serving(&self) -> bool {
        self.identity.standing == Standing::Serving
    }

    /// False while it has had what it takes.
    pub fn has_room(&self, now: u64) -> bool {
        self.bucket.is_none_or(|bucket| bucket.has_room(now))
    }

    /// Requests of other entries, as the last report had them.
    pub fn others(&self) -> f32 {
        let own_then = self.own as f32 - self.change;
        (self.reported - own_then).max(0.0)
    }

    /// Notes how a request ended.
    pub fn judge(&mut self, now: u64, failed: bool) {
        self.failing = self.failing(now);
        self.failing_at = now;
        if !failed {
            self.failing -= self.failing * SUCCESS_SHARE;
            self.strikes = 0;
            return;
        }
        self.failing += (1.0 - self.failing) * FAILURE_SHARE;
        // Requests that were under way together fail together: one strike.
        if now >= self.failed_until {
            self.failed_until = now + (FAILED_MS << self.strikes);
            self.strikes = (self.strikes + 1).min(STRIKES);
        }
    }

    /// The part of its requests that fails, with time's forgiveness.
    pub fn failing(&self, now: u64) -> f32 {
        if self.failing == 0.0 {
            return 0.0;
        }
        let passed = now.saturating_sub(self.failing_at) as f32;
        self.failing * (-passed / FORGIVE_MS * std::f32::consts::LN_2).exp()
    }

    pub fn note(&mut self, now: u64, change: f32) {
        self.change += change;
        if self.recent.len() == RECENT {
            self.recent.remove(0);
        }
        self.recent.push((now, change));
    }
}
