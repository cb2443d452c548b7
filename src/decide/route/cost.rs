//! The cost policy: each replica's cost in ms, and the estimates behind it.

use rand::RngExt;

use super::{
    MIN_FETCH_TOKENS, Pool, Replica, RouteRequest, is_eligible, is_excluded,
};
use crate::{decide::speed::Features, util::mix};

/// Interval at which the load floor is recomputed, in ms.
const LOAD_FLOOR_INTERVAL_MS: u64 = 50;
/// Weight of one interval in the moving average of the pick rate.
const PICK_RATE_WEIGHT: f32 = 0.05;
/// Time constant, in ms, with which the reported prompt tokens that a replica
/// has yet to compute for other entries decay towards the average: a report
/// says less about a replica's pending prompts as it ages.
const PENDING_DECAY_MS: f32 = 300.0;
/// Upper bound on the mean age of load reports, in ms.
const MAX_MEAN_REPORT_AGE_MS: f32 = 5000.0;
/// Index of the block whose hash selects a prompt's home replica. It is deep
/// enough to distinguish long prompts that begin alike.
const HOME_BLOCK_INDEX: usize = 7;
/// Maximum number of prefix holders that are considered.
const MAX_HOLDERS: usize = 8;
/// Cost of a rejection by a brittle replica, in ms.
const REJECTION_COST_MS: f32 = 300.0;

/// Replicas that are considered for a request where speeds count, on average,
/// and the least share of all, in 256ths.
const CANDIDATES: u64 = 4;
const MIN_CANDIDATE_SHARE: u64 = 26;
/// Nodes up to which the speed of replicas counts fully in their costs.
const FEW_NODES: f32 = 10.0;
/// Cost of each request beyond the knee, as a multiple of what any running
/// request costs. With the time of a wait for a slot instead, replicas with
/// free slots are avoided for slow ones.
const CROWD_FACTOR: f32 = 4.0;
/// Least number of replicas that are considered.
const MIN_CANDIDATES: usize = 2;

impl Pool {
    pub(super) fn pick_by_cost(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        self.picks_since_update += 1;
        if now >= self.load_floor_at + LOAD_FLOOR_INTERVAL_MS {
            self.update_load_floor(now);
        }
        self.update_factors(now);
        self.match_prefix(now, request);
        // Each cost is computed once: with many replicas the scan takes nearly
        // all the time of a decision.
        let mut costs = std::mem::take(&mut self.costs);
        costs.clear();
        let all = self.replicas.iter();
        costs.extend(all.map(|replica| self.cost(now, replica, request)));
        if self.speeds.is_on() && self.peers > 0.0 {
            self.draw_candidates(&mut costs);
        }
        let lowest = costs.iter().copied().fold(f32::INFINITY, f32::min);
        let chosen = match lowest.is_finite() {
            true => {
                self.draw_within(&costs, lowest + self.weights.tolerance_ms)
            }
            false => None,
        };
        self.costs = costs;
        chosen
    }

    /// Raises the costs of replicas that are left out of this choice: a random
    /// part of those that are not known to hold the prompt.
    ///
    /// Nodes learn of figures and of each other's requests some hundred ms
    /// late, all at about the same time. If each considered all replicas, all
    /// would send to those that have just become fast.
    fn draw_candidates(&mut self, costs: &mut [f32]) {
        let seed = self.rng.random::<u64>();
        let count = self.replicas.len().max(1) as u64;
        let share = MIN_CANDIDATE_SHARE.max(256 * CANDIDATES / count);
        let draws = |at: usize| {
            let drawn = mix(seed ^ at as u64) & 0xff;
            let replica = &self.replicas[at];
            // The rest of the factor thins out its requests instead.
            let thinned = replica.cost_factor / replica.slowness;
            (drawn as f32) < share as f32 * thinned
        };
        let usable =
            |at: usize| draws(at) || self.replicas[at].matched_tokens > 0;
        let found = costs.iter().enumerate();
        let mut left =
            found.filter(|(at, cost)| cost.is_finite() && usable(*at));
        if left.nth(MIN_CANDIDATES - 1).is_none() {
            return;
        }
        for (at, cost) in costs.iter_mut().enumerate() {
            if !usable(at) {
                *cost = f32::INFINITY;
            }
        }
    }

    /// Draws one of the replicas whose cost is at most `limit`.
    ///
    /// Prefers the replicas with the fewest requests of this entry in flight,
    /// as that number is known exactly, and draws at random among those that
    /// tie.
    pub(super) fn draw_within(
        &mut self,
        costs: &[f32],
        limit: f32,
    ) -> Option<usize> {
        self.ties.clear();
        let mut least = u32::MAX;
        for (at, cost) in costs.iter().enumerate() {
            let own = self.replicas[at].own_in_flight;
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
            count => Some(self.ties[self.rng.random_range(0..count)]),
        }
    }

    /// Recomputes the load floor, by water-filling.
    ///
    /// Estimates how many requests the other entries have sent since the
    /// replicas' last reports, and fills up the least loaded replicas with
    /// them.
    pub(super) fn update_load_floor(&mut self, now: u64) {
        let elapsed_ms =
            (now - self.load_floor_at).min(10 * LOAD_FLOOR_INTERVAL_MS) as f32;
        let rate = self.picks_since_update as f32 / elapsed_ms.max(1.0);
        self.picks_per_ms += (rate - self.picks_per_ms) * PICK_RATE_WEIGHT;
        self.picks_since_update = 0;
        self.load_floor_at = now;
        let mut age = 0.0;
        let mut fresh = 0.0;
        let mut others = 0.0;
        let mut pending = 0.0;
        for replica in &mut self.replicas {
            let report_age = now.saturating_sub(replica.measured_at) as f32;
            // The share of a report's requests that is assumed to be still
            // running.
            replica.report_weight = (-report_age / self.weights.hold_ms).exp();
            age += report_age;
            fresh += replica.report_weight;
            others += replica.others_load();
            pending += replica.others_pending.0;
        }
        fresh /= self.replicas.len().max(1) as f32;
        // A node that sends a small part of the requests also knows a small
        // part of their times.
        let known = (FEW_NODES / (self.peers + 1.0)).min(1.0);
        self.speeds.fresh = match self.peers > 0.0 {
            true => fresh * known,
            false => 1.0,
        };
        self.mean_others_pending_tokens =
            pending / self.replicas.len().max(1) as f32;
        age = (age / self.replicas.len().max(1) as f32)
            .min(MAX_MEAN_REPORT_AGE_MS);
        self.mean_others_per_slot = others / (self.slots().max(1) as f32);
        let mut slots: Vec<(f32, f32)> = Vec::new();
        // The number of requests sent to a rate-limited replica follows from
        // its rate limit, not from its load. One that backs off gets none.
        let unlimited = self.replicas.iter().filter(|replica| {
            replica.bucket.is_none() && !replica.is_backing_off(now)
        });
        for replica in unlimited {
            let count = self.comparable_slots(replica).max(1.0);
            slots.push((self.estimate(replica) / count, count));
        }
        let unreported = self.picks_per_ms * self.peers * age;
        slots.sort_by(|one, other| one.0.total_cmp(&other.0));
        self.load_floor = water_fill(unreported, &slots);
    }

    /// Sets how many tokens of the prompt each replica probably has cached.
    pub(super) fn match_prefix(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) {
        for at in self.matched_replicas.drain(..) {
            self.replicas[at].matched_tokens = 0;
        }
        self.holders.clear();
        let block = self.weights.block_tokens;
        let Pool {
            index, replicas, positions, matched_replicas, holders, ..
        } = self;
        index.holders(request.blocks, MAX_HOLDERS, |number, count| {
            if let Some(&Some(at)) = positions.get(number as usize) {
                let uniform = count * block;
                let end = request.block_ends.get(count as usize - 1);
                let tokens = end.copied().unwrap_or(uniform);
                replicas[at].matched_tokens = tokens;
                matched_replicas.push(at);
                holders.push((at, tokens));
            }
        });
        self.match_home_replica(now, request);
    }

    /// Assumes that the prompt's home replica holds a part of it when no
    /// replica is known to hold at least half. The home replica is selected by
    /// a hash of the prompt and the replica.
    ///
    /// All entries select the same home replica without communicating. The
    /// first requests that share a long prefix, arriving at many entries at
    /// once, so reach one replica long before its cache events propagate.
    pub(super) fn match_home_replica(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) {
        let Some(&key) = request.blocks.get(HOME_BLOCK_INDEX) else { return };
        let half = request.tokens / 2;
        let mut matched = self.matched_replicas.iter();
        if matched.any(|&at| self.replicas[at].matched_tokens >= half) {
            return;
        }
        let home = self
            .replicas
            .iter_mut()
            .enumerate()
            .filter(|(_, replica)| {
                // A rate-limited replica as the home would keep other entries
                // away from the prompt that it holds.
                !is_excluded(replica, request)
                    && replica.accepts(now)
                    && replica.bucket.is_none()
            })
            .max_by_key(|(_, replica)| mix(key ^ replica.id_hash));
        if let Some((at, home)) = home {
            let assumed = request.tokens as f32 * self.weights.home_share;
            home.matched_tokens = home.matched_tokens.max(assumed as u32);
            self.matched_replicas.push(at);
        }
    }

    pub(super) fn cost(
        &self,
        now: u64,
        replica: &Replica,
        request: &RouteRequest<'_>,
    ) -> f32 {
        if !is_eligible(now, replica, request) {
            return f32::INFINITY;
        }
        let weights = &self.weights;
        let identity = &replica.identity;
        // Both are those of the pool while speeds don't count.
        let time = replica.cost_factor;
        let slots = identity.slots as f32;
        let floor = self.load_floor * self.comparable_slots(replica);
        let load = self.estimate(replica).max(floor);
        // Only whole requests above the slots count: the estimates are less
        // precise than one request, and a fraction would distinguish replicas
        // that are practically equal. The cast goes through an integer because
        // rounding a float is a call into the C library.
        let excess = (load + 1.5 - slots).max(0.0) as u32 as f32;
        let queue = excess / slots * self.weights.hold_ms * time;
        let batch = load.min(slots) * weights.batch_ms * time;
        let uncached = request.tokens.saturating_sub(replica.matched_tokens);
        let fetched = self.fetchable_tokens(replica, request);
        let fetch = fetched as f32
            * weights.fetch_token_ms.unwrap_or(weights.token_ms);
        let uncached = (uncached - fetched) as f32 * weights.recompute_factor;
        let pending = replica.pending_tokens
            + self.expected_others_pending(now, replica);
        let compute = (uncached + pending) * weights.token_ms * time + fetch;
        let stall_ms =
            match replica.last_progress.iter().map(|(_, at)| *at).min() {
                Some(at) => {
                    let age = now.saturating_sub(at) as f32;
                    let expected = compute
                        + queue
                        + replica.pending_tokens * weights.token_ms * time;
                    (age - expected).max(0.0)
                }
                None => 0.0,
            };
        let failed = replica.penalty_until.saturating_sub(now) as f32 * 10.0
            + replica.decayed_failure_rate(now) * weights.failure_ms;
        let risk = replica.brittle.map_or(0.0, |brittle| brittle.risk());
        let rejected = risk * REJECTION_COST_MS;
        let mut cost = queue + batch + compute + stall_ms + failed + rejected;
        // An infinite knee costs nothing.
        let crowd = (load.min(slots) - replica.knee).max(0.0);
        cost += crowd * weights.batch_ms * CROWD_FACTOR * time;
        if time != 1.0 {
            let fixed = self.speeds.model.fixed_ms().min(weights.hold_ms);
            cost += fixed * (time - 1.0);
        }
        if identity.reclaimable {
            cost += weights.reclaim_ms;
        }
        if !replica.is_local {
            cost += weights.distance_ms;
        }
        cost + identity.price as f32 * weights.price_ms
    }

    /// Returns the estimated prompt tokens that a replica has yet to compute
    /// for other entries: the reported number, which decays towards the
    /// average as the report ages.
    pub(super) fn expected_others_pending(
        &self,
        now: u64,
        replica: &Replica,
    ) -> f32 {
        let (tokens, at) = replica.others_pending;
        let age = now.saturating_sub(at) as f32;
        let weight = (-age / PENDING_DECAY_MS).exp();
        self.mean_others_pending_tokens
            + (tokens - self.mean_others_pending_tokens) * weight
    }

    /// Returns the slots by which loads of replicas are compared: a replica
    /// that is half as fast has half as many.
    fn comparable_slots(&self, replica: &Replica) -> f32 {
        match self.speeds.is_on() {
            true => replica.identity.slots as f32 / replica.cost_factor,
            false => replica.identity.slots as f32,
        }
    }

    /// Returns what the prediction for a request at a replica depends on.
    pub(super) fn features(
        &self,
        now: u64,
        replica: &Replica,
        request: &RouteRequest<'_>,
    ) -> Features {
        let uncached = request.tokens.saturating_sub(replica.matched_tokens);
        let fetched = self.fetchable_tokens(replica, request);
        let load = self.estimate(replica).max(0.0);
        let slots = replica.identity.slots as f32;
        let excess = (load + 1.0 - slots).max(0.0);
        Features {
            tokens: (uncached - fetched) as f32,
            pending: replica.pending_tokens
                + self.expected_others_pending(now, replica),
            load: load.min(slots),
            queue_ms: excess / slots * self.weights.hold_ms,
        }
    }

    /// Returns the predicted time to the first token, in ms: that of the
    /// pool's model at this replica's speed, once there is one.
    pub(super) fn predicted_ms(
        &self,
        now: u64,
        replica: &Replica,
        request: &RouteRequest<'_>,
        features: &Features,
    ) -> f32 {
        let speeds = &self.speeds;
        match speeds.is_on() && speeds.model.is_ready() {
            true => speeds.model.predict(features) * replica.slowness,
            false => self.first_token_ms(now, replica, request),
        }
    }

    /// Returns the predicted time to the first token, in ms.
    ///
    /// Unlike the cost, it contains no weights for price, distance or risk: it
    /// is the time that a caller would wait.
    pub(super) fn first_token_ms(
        &self,
        now: u64,
        replica: &Replica,
        request: &RouteRequest<'_>,
    ) -> f32 {
        let weights = &self.weights;
        let uncached = request.tokens.saturating_sub(replica.matched_tokens);
        let fetched = self.fetchable_tokens(replica, request);
        let pending = replica.pending_tokens
            + self.expected_others_pending(now, replica);
        let compute =
            ((uncached - fetched) as f32 + pending) * self.unloaded_token_ms;
        let fetch = fetched as f32 * weights.fetch_token_ms.unwrap_or(0.0);
        let slots = replica.identity.slots as f32;
        let load = self.estimate(replica);
        let excess = (load + 1.0 - slots).max(0.0);
        compute + fetch + excess / slots * weights.hold_ms
    }

    /// Returns how many tokens of the prompt a replica would fetch from
    /// another replica.
    fn fetchable_tokens(
        &self,
        replica: &Replica,
        request: &RouteRequest<'_>,
    ) -> u32 {
        if self.weights.fetch_token_ms.is_none() {
            return 0;
        }
        let longest = self
            .best_holder(replica.identity.version)
            .map_or(0, |(_, count)| count);
        let missing = longest.saturating_sub(replica.matched_tokens);
        if missing < MIN_FETCH_TOKENS {
            return 0;
        }
        missing.min(request.tokens.saturating_sub(replica.matched_tokens))
    }

    /// Returns the estimated number of requests that run or wait at a replica.
    ///
    /// This entry's own requests are known. The number of the other entries'
    /// requests is the reported one, which decays towards the average as the
    /// report ages.
    pub(super) fn estimate(&self, replica: &Replica) -> f32 {
        let slots = replica.identity.slots as f32;
        let mean = self.mean_others_per_slot * slots;
        let deviation = replica.others_load() - mean;
        replica.own_in_flight as f32 + mean + deviation * replica.report_weight
    }
}

/// Returns the level that `amount` reaches when it fills `vessels` of (filled
/// level, width), which are sorted by filled level.
fn water_fill(amount: f32, vessels: &[(f32, f32)]) -> f32 {
    let mut left = amount;
    let mut width = 0.0;
    let mut level = vessels.first().map_or(0.0, |vessel| vessel.0);
    for &(filled, vessel_width) in vessels {
        let need = (filled - level) * width;
        if need > left {
            break;
        }
        left -= need;
        level = filled;
        width += vessel_width;
    }
    if width > 0.0 { level + left / width } else { level }
}
