//! Which replica a request goes to.
//!
//! A [`Pool`] holds the replicas of one service. [`Pool::pick`] gives each a
//! cost in milliseconds: the wait that it predicts, plus the time to
//! recompute the part of the prompt that is not in the replica's cache, plus
//! what the VM's price and the risk of its reclaim are worth. The cheapest
//! wins; among those that are as good as equal, one is drawn at random.
//!
//! # Load that is out of date
//!
//! Reports come late. A pool corrects each with what it knows itself: the
//! requests that it has begun and ended since. What a report says of the other
//! entries' requests is drawn towards the average as it ages, as those
//! requests end and others begin. How many the others have begun since it
//! can't know for each replica, but it can tell how many there must be: about
//! its own rate, times their number, times the age of the reports. Poured
//! over the replicas, emptiest first, so many requests fill them up to a
//! level; and below that level reported loads say nothing any more. So they
//! count as equal. Without that, all entries send to the one replica that
//! looked idle in the last report.
//!
//! # Replicas that went slow or silent
//!
//! A replica is charged for the age of its oldest request that has shown no
//! progress. One that has stalled so grows dearer by the millisecond, without
//! a threshold to tune, and is cheap again with its first piece of answer.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::prefix::{BLOCK_TOKENS, Index};
use crate::util::{common, position};

common! {
    copy
    /// How a pool decides.
    pub enum Policy {
        /// By predicted cost: the one in use.
        Cost,
        /// Any replica.
        Random,
        /// One after the other.
        RoundRobin,
        /// Fewest requests of this entry under way.
        LeastOutstanding,
        /// The less loaded of two drawn at random.
        PowerOfTwo,
    }
}

impl Policy {
    /// All of them, with their names in configurations.
    pub const ALL: [(&'static str, Policy); 5] = [
        ("cost", Policy::Cost),
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
        ("least-outstanding", Policy::LeastOutstanding),
        ("power-of-two", Policy::PowerOfTwo),
    ];

    /// The policy of that name.
    pub fn parse(name: &str) -> Option<Policy> {
        let found = Policy::ALL.iter().find(|(known, _)| *known == name);
        found.map(|(_, policy)| *policy)
    }
}

/// What the parts of the cost are worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Milliseconds to compute one token of a prompt, at first.
    ///
    /// A pool learns it from the requests that it sends.
    pub token_ms: f32,
    /// What recomputing is worth beyond the time that it takes, as a factor.
    pub recompute: f32,
    /// Milliseconds that a request holds its slot, at first; learned.
    ///
    /// One for the whole pool: a replica that happens to have had short
    /// requests would else draw more than its part.
    pub hold_ms: f32,
    /// Milliseconds that each running request adds to the next one's.
    pub batch_ms: f32,
    /// Milliseconds that a reclaimable VM costs more.
    pub reclaim_ms: f32,
    /// Milliseconds for each thousandth of a cent an hour.
    pub price_ms: f32,
    /// Milliseconds for another data centre.
    pub distance_ms: f32,
    /// Costs that differ by less count as equal.
    pub tolerance_ms: f32,
    /// How much of a prompt that nobody is known to hold its home is assumed
    /// to hold, from 0 to 1.
    pub home: f32,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            token_ms: 0.2,
            recompute: 1.0,
            hold_ms: 2000.0,
            batch_ms: 10.0,
            reclaim_ms: 2.0,
            price_ms: 0.0,
            distance_ms: 1.0,
            tolerance_ms: 5.0,
            home: 0.5,
        }
    }
}

common! {
    /// What stays the same while a replica lives.
    pub struct Identity {
        /// Its endpoint's id.
        pub id: String,
        /// Its endpoint's incarnation.
        pub incarnation: u64,
        /// Where it is.
        pub data_centre: String,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// Whether its VM may be reclaimed.
        pub reclaimable: bool,
        /// Thousandths of a cent an hour.
        pub price: u64,
    }
}

#[derive(Clone, Debug)]
struct Replica {
    identity: Identity,
    /// Stands for it in the prefix index; never used twice.
    number: u32,
    near: bool,
    /// Running and waiting, as last reported.
    reported: f32,
    /// When that was measured.
    measured_at: u64,
    /// Of this entry's requests, those begun since that report, less those
    /// ended.
    change: f32,
    /// When this entry's latest requests began (+1) and ended (-1).
    recent: Vec<(u64, f32)>,
    own: u32,
    /// Prompt tokens sent that have not led to a first piece yet.
    pending_tokens: f32,
    /// When each request without progress began or last moved.
    quiet: Vec<(u64, u64)>,
    failed_until: u64,
    /// How much of what the last report said still holds, from 0 to 1.
    trust: f32,
    matched: u32,
    /// Of its id; the same at every entry.
    hash: u64,
}

common! {
    /// A request, as far as routing goes.
    pub struct Ask<'a> {
        /// Tokens in the prompt.
        pub tokens: u32,
        /// The prompt's block hashes.
        pub blocks: &'a [u64],
        /// Endpoints that it must not go to: id and incarnation.
        pub avoid: &'a [(String, u64)],
    }
}

common! {
    /// Where a request goes, and what is expected of it there.
    pub struct Choice {
        /// The endpoint's id.
        pub id: String,
        /// The endpoint's incarnation.
        pub incarnation: u64,
        /// Prompt tokens that are probably cached there.
        pub cached_tokens: u32,
        /// Expected time to the first piece, in ms.
        pub predicted_ms: f32,
        /// To be handed back with progress and end.
        pub ticket: Ticket,
    }
}

common! {
    copy
    /// One request under way at one replica.
    pub struct Ticket {
        number: u32,
        serial: u64,
        tokens: u32,
        begun_at: u64,
    }
}

/// The replicas of one service, as one entry sees them.
#[derive(Debug)]
pub struct Pool {
    policy: Policy,
    weights: Weights,
    replicas: Vec<Replica>,
    index: Index,
    rng: StdRng,
    next_number: u32,
    next_serial: u64,
    turn: usize,
    peers: f32,
    /// Where the replica of each number stands, if it is still there.
    places: Vec<Option<usize>>,
    /// Replicas whose `matched` is not 0.
    matched: Vec<usize>,
    // Kept between decisions so that none has to allocate.
    costs: Vec<f32>,
    ties: Vec<usize>,
    /// Load for each slot below which reports say nothing; see the head.
    level: f32,
    level_at: u64,
    /// Requests of other entries for each slot, on average.
    usual_others: f32,
    /// Requests of this entry in a millisecond, on average.
    rate: f32,
    picks: u32,
}

/// How long a replica that failed a request is passed over, in ms.
const FAILED_MS: u64 = 1000;
/// How many beginnings and ends are remembered to correct a late report.
const RECENT: usize = 256;
/// Prompts with fewer fresh tokens say nothing about the speed.
const LEARN_TOKENS: u32 = 256;
/// How often the level is found anew, in ms.
const LEVEL_MS: u64 = 50;
/// The weight of one stretch of time in the average rate.
const RATE_SHARE: f32 = 0.05;
/// Reports are never taken for older than this, in ms.
const OLDEST_MS: f32 = 5000.0;
/// The block whose hash decides where a prompt's home is: deep enough to
/// tell packets apart that begin alike.
const HOME_BLOCK: usize = 7;
/// How many holders of a prefix are looked at.
const HOLDERS: usize = 8;
/// The weight of one new holding time in the average.
const HOLD_SHARE: f32 = 0.1;

impl Pool {
    /// Starts empty. `seed` feeds the draws among equals.
    pub fn open(policy: Policy, weights: Weights, seed: u64) -> Pool {
        Pool {
            policy,
            weights,
            replicas: Vec::new(),
            index: Index::default(),
            rng: StdRng::seed_from_u64(seed),
            next_number: 0,
            next_serial: 0,
            turn: 0,
            peers: 0.0,
            places: Vec::new(),
            matched: Vec::new(),
            costs: Vec::new(),
            ties: Vec::new(),
            level: 0.0,
            level_at: 0,
            usual_others: 0.0,
            rate: 0.0,
            picks: 0,
        }
    }

    /// Decides in another way from now on.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// What recomputing is worth beyond its time, as a factor.
    pub fn set_recompute(&mut self, factor: f32) {
        self.weights.recompute = factor;
    }

    /// How many other entries decide as this one does.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers as f32;
    }

    /// Takes the list of replicas that may be given work.
    ///
    /// Those that stay keep what is known of them.
    pub fn set_replicas(&mut self, near: &str, list: &[Identity]) {
        let mut old = std::mem::take(&mut self.replicas);
        for identity in list {
            let known = old.iter().position(|replica| {
                replica.identity.id == identity.id
                    && replica.identity.incarnation == identity.incarnation
            });
            let replica = match known {
                Some(at) => {
                    let mut replica = old.swap_remove(at);
                    replica.identity = identity.clone();
                    replica
                }
                None => self.new_replica(near, identity),
            };
            self.replicas.push(replica);
        }
        self.replicas
            .sort_by(|one, other| one.identity.id.cmp(&other.identity.id));
        for gone in old {
            self.index.clear(gone.number);
        }
        self.matched.clear();
        self.places.clear();
        self.places.resize(self.next_number as usize, None);
        for (at, replica) in self.replicas.iter_mut().enumerate() {
            replica.matched = 0;
            self.places[replica.number as usize] = Some(at);
        }
    }

    /// How many replicas there are.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// True when there are none.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Slots of all replicas together.
    pub fn slots(&self) -> u32 {
        self.replicas.iter().map(|replica| replica.identity.slots).sum()
    }

    /// Requests thought to be running or waiting at all replicas.
    pub fn load(&self) -> f32 {
        self.replicas.iter().map(|replica| self.estimate(replica)).sum()
    }

    /// Takes a load that was measured `age_ms` ago.
    ///
    /// An age of 0 is for the load that comes with an answer.
    pub fn report(
        &mut self,
        now: u64,
        id: &str,
        incarnation: u64,
        load: u32,
        age_ms: u64,
    ) {
        let Some(at) = self.find(id, incarnation) else { return };
        let replica = &mut self.replicas[at];
        let measured_at = now.saturating_sub(age_ms);
        if measured_at < replica.measured_at {
            return;
        }
        replica.measured_at = measured_at;
        replica.reported = load as f32;
        replica.recent.retain(|(at, _)| *at >= measured_at);
        replica.change = replica.recent.iter().map(|(_, one)| one).sum();
    }

    /// Takes a cache event: blocks that a replica no longer has.
    pub fn evicted(&mut self, id: &str, incarnation: u64, blocks: &[u64]) {
        if let Some(at) = self.find(id, incarnation) {
            self.index.remove(self.replicas[at].number, blocks);
        }
    }

    /// Takes a cache event: blocks that a replica has.
    pub fn cached(&mut self, id: &str, incarnation: u64, blocks: &[u64]) {
        if let Some(at) = self.find(id, incarnation) {
            self.index.insert(self.replicas[at].number, blocks);
        }
    }

    /// Chooses a replica and notes that the request goes there.
    pub fn pick(&mut self, now: u64, ask: &Ask<'_>) -> Option<Choice> {
        let at = match self.policy {
            Policy::Cost => self.pick_by_cost(now, ask),
            Policy::Random => self.draw(ask, |_, _| true),
            Policy::RoundRobin => self.next_in_turn(ask),
            Policy::LeastOutstanding => self.least_outstanding(ask),
            Policy::PowerOfTwo => self.power_of_two(ask),
        }?;
        Some(self.begin(now, at, ask))
    }

    /// The request moved: a piece of its answer came.
    pub fn progress(&mut self, now: u64, ticket: Ticket, first: bool) {
        let Some(replica) = self.by_number(ticket.number) else { return };
        let quiet = replica
            .quiet
            .binary_search_by_key(&ticket.serial, |(serial, _)| *serial);
        if let Ok(at) = quiet {
            replica.quiet[at].1 = now;
        }
        if first {
            replica.pending_tokens =
                (replica.pending_tokens - ticket.tokens as f32).max(0.0);
            self.learn_token_ms(now, ticket);
        }
    }

    /// Learns how fast prompts are computed from a first piece.
    ///
    /// Waits make most samples too long, and nothing makes one too short; so
    /// the average follows short samples fast and long ones slowly.
    fn learn_token_ms(&mut self, now: u64, ticket: Ticket) {
        if ticket.tokens < LEARN_TOKENS {
            return;
        }
        let took = now.saturating_sub(ticket.begun_at) as f32;
        let sample = (took / ticket.tokens as f32).clamp(0.005, 5.0);
        let known = &mut self.weights.token_ms;
        let share = if sample < *known { 0.3 } else { 0.02 };
        *known += (sample - *known) * share;
    }

    /// The request ended; `held_ms` is given when it ended well.
    pub fn end(
        &mut self,
        now: u64,
        ticket: Ticket,
        started: bool,
        held_ms: Option<f32>,
    ) {
        let Some(replica) = self.by_number(ticket.number) else { return };
        replica.own = replica.own.saturating_sub(1);
        replica.note(now, -1.0);
        replica.quiet.retain(|(serial, _)| *serial != ticket.serial);
        if !started {
            replica.pending_tokens =
                (replica.pending_tokens - ticket.tokens as f32).max(0.0);
        }
        match held_ms {
            Some(held) => {
                let known = &mut self.weights.hold_ms;
                *known += (held - *known) * HOLD_SHARE;
            }
            None => replica.failed_until = now + FAILED_MS,
        }
    }

    /// The cost of one replica, as [`Pool::pick`] sees it.
    ///
    /// For `explain` and for tests against the naive version.
    pub fn cost_of(
        &mut self,
        now: u64,
        id: &str,
        ask: &Ask<'_>,
    ) -> Option<f32> {
        self.match_prefix(ask);
        self.replicas
            .iter()
            .find(|replica| replica.identity.id == id)
            .map(|replica| self.cost(now, replica, ask))
    }

    // ---- By cost ------------------------------------------------------------

    fn pick_by_cost(&mut self, now: u64, ask: &Ask<'_>) -> Option<usize> {
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
    fn draw_near(&mut self, costs: &[f32], limit: f32) -> Option<usize> {
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
    fn find_level(&mut self, now: u64) {
        let passed = (now - self.level_at).min(10 * LEVEL_MS) as f32;
        let rate = self.picks as f32 / passed.max(1.0);
        self.rate += (rate - self.rate) * RATE_SHARE;
        self.picks = 0;
        self.level_at = now;
        let mut age = 0.0;
        let mut others = 0.0;
        for replica in &mut self.replicas {
            let old = now.saturating_sub(replica.measured_at) as f32;
            // Of the requests that a report counted, so many still run.
            replica.trust = (-old / self.weights.hold_ms).exp();
            age += old;
            others += replica.others();
        }
        age = (age / self.replicas.len().max(1) as f32).min(OLDEST_MS);
        self.usual_others = others / (self.slots().max(1) as f32);
        let mut slots: Vec<(f32, f32)> = Vec::new();
        for replica in &self.replicas {
            let count = replica.identity.slots.max(1) as f32;
            slots.push((self.estimate(replica) / count, count));
        }
        let unseen = self.rate * self.peers * age;
        slots.sort_by(|one, other| one.0.total_cmp(&other.0));
        self.level = pour(unseen, &slots);
    }

    /// Notes at each replica how much of the prompt it probably holds.
    fn match_prefix(&mut self, ask: &Ask<'_>) {
        for at in self.matched.drain(..) {
            self.replicas[at].matched = 0;
        }
        let Pool { index, replicas, places, matched, .. } = self;
        index.holders(ask.blocks, HOLDERS, |number, count| {
            if let Some(&Some(at)) = places.get(number as usize) {
                replicas[at].matched = count * BLOCK_TOKENS;
                matched.push(at);
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
    fn match_home(&mut self, ask: &Ask<'_>) {
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
            .filter(|(_, replica)| !avoided(replica, ask))
            .max_by_key(|(_, replica)| mix(key ^ replica.hash));
        if let Some((at, home)) = home {
            let assumed = ask.tokens as f32 * self.weights.home;
            home.matched = home.matched.max(assumed as u32);
            self.matched.push(at);
        }
    }

    fn cost(&self, now: u64, replica: &Replica, ask: &Ask<'_>) -> f32 {
        if avoided(replica, ask) {
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
        let fresh = ask.tokens.saturating_sub(replica.matched) as f32;
        let fresh = fresh * weights.recompute;
        let compute = (fresh + replica.pending_tokens) * weights.token_ms;
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
        let failed = replica.failed_until.saturating_sub(now) as f32 * 10.0;
        let mut cost = queue + batch + compute + stall + failed;
        if identity.reclaimable {
            cost += weights.reclaim_ms;
        }
        if !replica.near {
            cost += weights.distance_ms;
        }
        cost + identity.price as f32 * weights.price_ms
    }

    /// Requests thought to be running or waiting at a replica now.
    ///
    /// Its own are known; those of the others are as reported, drawn towards
    /// the average by the age of the report.
    fn estimate(&self, replica: &Replica) -> f32 {
        let slots = replica.identity.slots as f32;
        let usual = self.usual_others * slots;
        let differs = replica.others() - usual;
        replica.own as f32 + usual + differs * replica.trust
    }

    // ---- Baselines ------------------------------------------------------------

    fn draw(
        &mut self,
        ask: &Ask<'_>,
        fits: impl Fn(usize, &Replica) -> bool,
    ) -> Option<usize> {
        let open: Vec<usize> = (0..self.replicas.len())
            .filter(|&at| {
                let replica = &self.replicas[at];
                !avoided(replica, ask) && fits(at, replica)
            })
            .collect();
        if open.is_empty() {
            return None;
        }
        Some(open[self.rng.random_range(0..open.len())])
    }

    fn next_in_turn(&mut self, ask: &Ask<'_>) -> Option<usize> {
        for _ in 0..self.replicas.len() {
            self.turn = (self.turn + 1) % self.replicas.len();
            if !avoided(&self.replicas[self.turn], ask) {
                return Some(self.turn);
            }
        }
        None
    }

    fn least_outstanding(&mut self, ask: &Ask<'_>) -> Option<usize> {
        let least = self
            .replicas
            .iter()
            .filter(|replica| !avoided(replica, ask))
            .map(|replica| replica.own)
            .min()?;
        self.draw(ask, |_, replica| replica.own == least)
    }

    fn power_of_two(&mut self, ask: &Ask<'_>) -> Option<usize> {
        let first = self.draw(ask, |_, _| true)?;
        let second = self.draw(ask, |at, _| at != first).unwrap_or(first);
        let load = |at: usize| {
            let replica = &self.replicas[at];
            (replica.reported + replica.change).max(replica.own as f32)
        };
        Some(if load(second) < load(first) { second } else { first })
    }

    // ---- Bookkeeping ------------------------------------------------------------

    fn begin(&mut self, now: u64, at: usize, ask: &Ask<'_>) -> Choice {
        if self.policy != Policy::Cost {
            self.match_prefix(ask);
        }
        let predicted_ms = self.cost(now, &self.replicas[at], ask);
        let cached = self.replicas[at].matched.min(ask.tokens);
        let serial = self.next_serial;
        self.next_serial += 1;
        let tokens = ask.tokens - cached;
        let replica = &mut self.replicas[at];
        replica.own += 1;
        replica.note(now, 1.0);
        replica.pending_tokens += tokens as f32;
        replica.quiet.push((serial, now));
        let number = replica.number;
        let choice = Choice {
            id: replica.identity.id.clone(),
            incarnation: replica.identity.incarnation,
            cached_tokens: cached,
            predicted_ms,
            ticket: Ticket { number, serial, tokens, begun_at: now },
        };
        self.index.insert(number, ask.blocks);
        choice
    }

    fn new_replica(&mut self, near: &str, identity: &Identity) -> Replica {
        let number = self.next_number;
        self.next_number += 1;
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
            quiet: Vec::new(),
            failed_until: 0,
            trust: 1.0,
            matched: 0,
            hash: hash_of(&identity.id),
        }
    }

    fn find(&self, id: &str, incarnation: u64) -> Option<usize> {
        let at = position(&self.replicas, id, |replica| {
            replica.identity.id.as_str()
        });
        at.ok().filter(|&at| {
            self.replicas[at].identity.incarnation == incarnation
        })
    }

    fn by_number(&mut self, number: u32) -> Option<&mut Replica> {
        let at = self.places.get(number as usize).copied().flatten()?;
        self.replicas.get_mut(at)
    }
}

impl Replica {
    /// Requests of other entries, as the last report had them.
    fn others(&self) -> f32 {
        let own_then = self.own as f32 - self.change;
        (self.reported - own_then).max(0.0)
    }

    fn note(&mut self, now: u64, change: f32) {
        self.change += change;
        if self.recent.len() == RECENT {
            self.recent.remove(0);
        }
        self.recent.push((now, change));
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

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Spreads the bits of a number over all of it (the last steps of SplitMix).
fn mix(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn avoided(replica: &Replica, ask: &Ask<'_>) -> bool {
    let identity = &replica.identity;
    ask.avoid.iter().any(|(id, incarnation)| {
        *id == identity.id && *incarnation == identity.incarnation
    })
}
