//! The cost of each replica, and what it goes by.

use rand::RngExt;

use super::{Ask, LEAST_FETCH, Pool, Replica, avoided};
use crate::util::mix;

/// How often the level is found anew, in ms.
const LEVEL_MS: u64 = 50;
/// The weight of one stretch of time in the average rate.
const RATE_SHARE: f32 = 0.05;
/// How long a prompt that waits to be read stays that, in ms: what was known
/// of the other entries' prompts says less and less over that time.
const PENDING_MS: f32 = 300.0;
/// Reports are never taken for older than this, in ms.
const OLDEST_MS: f32 = 5000.0;
/// The block whose hash decides where a prompt's home is: deep enough to
/// tell packets apart that begin alike.
const HOME_BLOCK: usize = 7;
/// How many holders of a prefix are looked at.
const HOLDERS: usize = 8;

impl Pool {
    pub(super) fn pick_by_cost(
        &mut self,
        now: u64,
        ask: &Ask<'_>,
    ) -> Option<usize> {
        self.picks += 1;
        if now >= self.level_at + LEVEL_MS {
            self.find_level(now);
        }
        self.match_prefix(ask);
        // Each cost is worked out once: at many replicas the scan is all the
        // time that a decision takes.
        let mut costs = std::mem::take(&mut self.costs);
        costs.clear();
        let all = self.replicas.iter();
        costs.extend(all.map(|replica| self.cost(now, replica, ask)));
        let best = costs.iter().copied().fold(f32::INFINITY, f32::min);
        let chosen = match best.is_finite() {
            true => self.draw_near(&costs, best + self.weights.tolerance_ms),
            false => None,
        };
        self.costs = costs;
        chosen
    }

    /// One of those whose cost is within the limit.
    ///
    /// What is known for sure tells equals apart: the fewest of this entry's
    /// own requests. Among those that are left it is drawn.
    pub(super) fn draw_near(
        &mut self,
        costs: &[f32],
        limit: f32,
    ) -> Option<usize> {
        self.ties.clear();
        let mut least = u32::MAX;
        for (at, cost) in costs.iter().enumerate() {
            let own = self.replicas[at].own;
            if *cost > limit || own > least {
                continue;
            }
            if own < least {
                least = own;
                self.ties.clear();
            }
            self.ties.push(at);
        }
        match self.ties.len() {
            0 => None,
            1 => Some(self.ties[0]),
            many => Some(self.ties[self.rng.random_range(0..many)]),
        }
    }

    /// Pours what the others must have begun over the replicas.
    pub(super) fn find_level(&mut self, now: u64) {
        let passed = (now - self.level_at).min(10 * LEVEL_MS) as f32;
        let rate = self.picks as f32 / passed.max(1.0);
        self.rate += (rate - self.rate) * RATE_SHARE;
        self.picks = 0;
        self.level_at = now;
        let mut age = 0.0;
        let mut others = 0.0;
        let mut pending = 0.0;
        for replica in &mut self.replicas {
            let old = now.saturating_sub(replica.measured_at) as f32;
            // Of the requests that a report counted, so many still run.
            replica.trust = (-old / self.weights.hold_ms).exp();
            age += old;
            others += replica.others();
            pending += replica.others_pending.0;
        }
        self.usual_pending = pending / self.replicas.len().max(1) as f32;
        age = (age / self.replicas.len().max(1) as f32).min(OLDEST_MS);
        self.usual_others = others / (self.slots().max(1) as f32);
        let mut slots: Vec<(f32, f32)> = Vec::new();
        // What a limited replica gets follows from its limit, not its load.
        let unlimited =
            self.replicas.iter().filter(|one| one.bucket.is_none());
        for replica in unlimited {
            let count = replica.identity.slots.max(1) as f32;
            slots.push((self.estimate(replica) / count, count));
        }
        let unseen = self.rate * self.peers * age;
        slots.sort_by(|one, other| one.0.total_cmp(&other.0));
        self.level = pour(unseen, &slots);
    }

    /// Notes at each replica how much of the prompt it probably holds.
    pub(super) fn match_prefix(&mut self, ask: &Ask<'_>) {
        for at in self.matched.drain(..) {
            self.replicas[at].matched = 0;
        }
        self.known.clear();
        let block = self.weights.block_tokens;
        let Pool { index, replicas, places, matched, known, .. } = self;
        index.holders(ask.blocks, HOLDERS, |number, count| {
            if let Some(&Some(at)) = places.get(number as usize) {
                let uniform = count * block;
                let end = ask.ends.get(count as usize - 1);
                let tokens = end.copied().unwrap_or(uniform);
                replicas[at].matched = tokens;
                matched.push(at);
                known.push((at, tokens));
            }
        });
        self.match_home(ask);
    }

    /// Counts a prompt that nobody is known to hold as held in part by its
    /// home: the replica that a hash of prompt and replica picks.
    ///
    /// All entries find the same home without a word between them, so the
    /// first requests of one packet, coming in at many entries at once, meet
    /// at one replica long before its cache events get round.
    pub(super) fn match_home(&mut self, ask: &Ask<'_>) {
        let Some(&key) = ask.blocks.get(HOME_BLOCK) else { return };
        let half = ask.tokens / 2;
        let mut held = self.matched.iter();
        if held.any(|&at| self.replicas[at].matched >= half) {
            return;
        }
        let home = self
            .replicas
            .iter_mut()
            .enumerate()
            .filter(|(_, replica)| {
                // One that takes few requests would keep other entries from
                // the prompt that it holds.
                !avoided(replica, ask)
                    && replica.is_serving()
                    && replica.bucket.is_none()
            })
            .max_by_key(|(_, replica)| mix(key ^ replica.hash));
        if let Some((at, home)) = home {
            let assumed = ask.tokens as f32 * self.weights.home;
            home.matched = home.matched.max(assumed as u32);
            self.matched.push(at);
        }
    }

    pub(super) fn cost(
        &self,
        now: u64,
        replica: &Replica,
        ask: &Ask<'_>,
    ) -> f32 {
        if avoided(replica, ask)
            || !replica.is_serving()
            || !replica.has_room(now)
        {
            return f32::INFINITY;
        }
        let weights = &self.weights;
        let identity = &replica.identity;
        let slots = identity.slots as f32;
        let load = self.estimate(replica).max(self.level * slots);
        // Whole requests: estimates are not good to a part of one, and a part
        // would tell replicas apart that are as good as equal.
        // By way of an integer: rounding a float is a call into the C library.
        let over = (load + 1.5 - slots).max(0.0) as u32 as f32;
        let queue = over / slots * self.weights.hold_ms;
        let batch = load.min(slots) * weights.batch_ms;
        let fresh = ask.tokens.saturating_sub(replica.matched);
        let fetched = self.fetched(replica, ask);
        let fetch =
            fetched as f32 * weights.fetch_ms.unwrap_or(weights.token_ms);
        let fresh = (fresh - fetched) as f32 * weights.recompute;
        let pending =
            replica.pending_tokens + self.others_pending(now, replica);
        let compute = (fresh + pending) * weights.token_ms + fetch;
        let stall = match replica.quiet.iter().map(|(_, at)| *at).min() {
            Some(at) => {
                let age = now.saturating_sub(at) as f32;
                let expected = compute
                    + queue
                    + replica.pending_tokens * weights.token_ms;
                (age - expected).max(0.0)
            }
            None => 0.0,
        };
        let failed = replica.failed_until.saturating_sub(now) as f32 * 10.0
            + replica.failing(now) * weights.failing_ms;
        let mut cost = queue + batch + compute + stall + failed;
        if identity.reclaimable {
            cost += weights.reclaim_ms;
        }
        if !replica.near {
            cost += weights.distance_ms;
        }
        cost + identity.price as f32 * weights.price_ms
    }

    /// Prompt tokens that a replica has yet to read for other entries: as
    /// reported, drawn towards the average by the age of the report.
    fn others_pending(&self, now: u64, replica: &Replica) -> f32 {
        let (tokens, at) = replica.others_pending;
        let age = now.saturating_sub(at) as f32;
        let trust = (-age / PENDING_MS).exp();
        self.usual_pending + (tokens - self.usual_pending) * trust
    }

    /// The time to a first token, as far as it can be foretold.
    ///
    /// Unlike the cost it weighs nothing: it is what a caller would wait.
    pub(super) fn first_token_ms(
        &self,
        now: u64,
        replica: &Replica,
        ask: &Ask<'_>,
    ) -> f32 {
        let weights = &self.weights;
        let fresh = ask.tokens.saturating_sub(replica.matched);
        let fetched = self.fetched(replica, ask);
        let pending =
            replica.pending_tokens + self.others_pending(now, replica);
        let read = ((fresh - fetched) as f32 + pending) * self.bare_token_ms;
        let fetch = fetched as f32 * weights.fetch_ms.unwrap_or(0.0);
        let slots = replica.identity.slots as f32;
        let load = self.estimate(replica);
        let over = (load + 1.0 - slots).max(0.0);
        read + fetch + over / slots * weights.hold_ms
    }

    /// Tokens of the prompt that a replica would fetch from another.
    fn fetched(&self, replica: &Replica, ask: &Ask<'_>) -> u32 {
        if self.weights.fetch_ms.is_none() {
            return 0;
        }
        let most = self.best_holder().map_or(0, |(_, count)| count);
        let more = most.saturating_sub(replica.matched);
        if more < LEAST_FETCH {
            return 0;
        }
        more.min(ask.tokens.saturating_sub(replica.matched))
    }

    /// Requests thought to be running or waiting at a replica now.
    ///
    /// Its own are known; those of the others are as reported, drawn towards
    /// the average by the age of the report.
    pub(super) fn estimate(&self, replica: &Replica) -> f32 {
        let slots = replica.identity.slots as f32;
        let usual = self.usual_others * slots;
        let differs = replica.others() - usual;
        replica.own as f32 + usual + differs * replica.trust
    }
}

/// The level to which `amount` fills vessels of (filled, width), sorted.
fn pour(amount: f32, vessels: &[(f32, f32)]) -> f32 {
    let mut left = amount;
    let mut width = 0.0;
    let mut level = vessels.first().map_or(0.0, |vessel| vessel.0);
    for &(filled, one) in vessels {
        let need = (filled - level) * width;
        if need > left {
            break;
        }
        left -= need;
        level = filled;
        width += one;
    }
    if width > 0.0 { level + left / width } else { level }
}
