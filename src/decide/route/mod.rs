//! Routing: selects the replica that a request is sent to.
//!
//! A [`Pool`] holds the replicas of one service. [`Pool::pick`] computes a
//! cost in milliseconds for each of them: the predicted wait, the time to
//! recompute the part of the prompt that is not in the replica's cache, and
//! the weights of the VM's price and of the risk that it is reclaimed. The
//! replica with the lowest cost is selected; among replicas of practically
//! equal cost, one is drawn at random.
//!
//! # Outdated load reports
//!
//! Load reports arrive late. A pool corrects each report by the requests that
//! it has itself started and finished since. The reported number of the other
//! entries' requests decays towards the average as the report ages, as those
//! requests end and others start. How many requests the other entries have
//! since sent to one replica is unknown, but a pool can estimate the total:
//! its own rate, times the number of other entries, times the mean age of the
//! reports. It distributes that total over the replicas by water-filling,
//! least loaded replicas first. Below the resulting load floor, reported loads
//! carry no information, so the replicas below it count as equally loaded.
//! Without the floor, all entries would send to the one replica that was idle
//! in the last report.
//!
//! # Slow and stalled replicas
//!
//! A replica is charged for the age of its oldest request without progress.
//! The cost of a stalled replica so rises with every millisecond, without a
//! threshold to tune, and falls again with the first piece of an answer.

mod baseline;
mod capacity;
mod cost;
mod replica;
mod shortage;
mod speeds;
mod weights;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IteratorRandom};

pub use self::{capacity::Capacity, shortage::Shortage, weights::Weights};
use self::{replica::Replica, speeds::Speeds, weights::MIN_FETCH_TOKENS};
use super::{
    brittle::{Brittle, Budget},
    prefix::Index,
    rate_limit::{Allocation, Bucket},
};
use crate::util::{common, position};

common! {
    copy
    /// How a pool selects replicas.
    pub enum Policy {
        /// Lowest predicted cost: the default.
        Cost,
        /// A replica at random.
        Random,
        /// Each replica in turn.
        RoundRobin,
        /// Fewest of this entry's requests in flight.
        LeastOutstanding,
        /// The less loaded of two replicas drawn at random.
        PowerOfTwo,
    }
}

impl Policy {
    /// All policies, with their names in configurations.
    pub const ALL: [(&'static str, Policy); 5] = [
        ("cost", Policy::Cost),
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
        ("least-outstanding", Policy::LeastOutstanding),
        ("power-of-two", Policy::PowerOfTwo),
    ];

    /// Returns the policy with that name.
    pub fn parse(name: &str) -> Option<Policy> {
        let found = Policy::ALL.iter().find(|(known, _)| *known == name);
        found.map(|(_, policy)| *policy)
    }
}

common! {
    /// A replica's properties, as its endpoint announces them.
    pub struct Identity {
        /// The endpoint's id.
        pub id: String,
        /// The endpoint's incarnation.
        pub incarnation: u64,
        /// The data centre in which it runs.
        pub data_centre: String,
        /// Maximum number of requests that it runs at a time.
        pub slots: u32,
        /// Whether its VM may be reclaimed.
        pub reclaimable: bool,
        /// Price in thousandths of a cent an hour.
        pub price: u64,
        /// Whether it takes requests.
        pub availability: Availability,
        /// Hash of the version of its software; 0 if unknown.
        pub version: u64,
        /// Whether it is certain that it still runs that version.
        pub is_version_certain: bool,
    }
}

common! {
    copy
    /// The properties of a replica that may change while the list of replicas
    /// stays the same.
    pub struct Status {
        /// Whether it takes requests.
        pub availability: Availability,
        /// Maximum number of requests that it runs at a time.
        pub slots: u32,
        /// Whether its VM may be reclaimed.
        pub reclaimable: bool,
        /// Whether it is certain that it still runs its software version.
        pub is_version_certain: bool,
    }
}

/// The version of a replica that has not announced one.
pub const UNKNOWN_VERSION: u64 = 0;

common! {
    copy
    /// Whether a replica takes requests.
    pub enum Availability {
        /// It takes requests.
        Serving,
        /// It finishes its requests and is sent no new ones. Until it has
        /// departed, other replicas can fetch from its cache.
        Leaving,
        /// No recent heartbeat; it is sent no requests. Its cached blocks are
        /// kept in the prefix index: heartbeats are often only late, and
        /// computing all these prompts again is expensive.
        Silent,
    }
}

common! {
    copy
    /// Which software versions may run a request.
    pub enum VersionRule {
        /// Any version, also an unknown one.
        Any,
        /// Any version that is certain.
        Certain,
        /// The version with this hash, if it is certain.
        Only(u64),
        /// The version with this hash, also if it is not certain.
        Of(u64),
        /// Any version but the one with this hash, also an unknown one.
        Except(u64),
        /// Any version that is certain, but the one with this hash.
        CertainExcept(u64),
    }
}

common! {
    /// The properties of a request that routing uses.
    pub struct RouteRequest<'a> {
        /// Tokens in the prompt.
        pub tokens: u32,
        /// Block hashes of the prompt.
        pub blocks: &'a [u64],
        /// Cumulative tokens at the end of each block; empty if all blocks
        /// have the same size. The blocks of a prompt that comes in small
        /// parts are far from full.
        pub block_ends: &'a [u32],
        /// Endpoints that the request must not be sent to: id and incarnation.
        pub excluded: &'a [(String, u64)],
        /// Which software versions may run the request.
        pub version: VersionRule,
    }
}

common! {
    /// The selected replica, with predictions for the request.
    pub struct Choice {
        /// The endpoint's id.
        pub id: String,
        /// The endpoint's incarnation.
        pub incarnation: u64,
        /// Prompt tokens that the replica probably has cached.
        pub cached_tokens: u32,
        /// Another endpoint that probably holds much more of the prompt, from
        /// which the selected replica should fetch it.
        pub fetch_from: Option<String>,
        /// Predicted time to the first piece, in ms.
        pub predicted_ms: f32,
        /// Identifies the request in later calls to the pool.
        pub ticket: Ticket,
    }
}

common! {
    copy
    /// One request in flight at one replica.
    pub struct Ticket {
        number: u32,
        serial: u64,
        tokens: u32,
        begun_at: u64,
        /// Other requests of this entry that were in flight at the replica
        /// when it was sent.
        others_in_flight: u32,
        /// Prompt tokens that the replica had to compute before.
        pending: u32,
        /// Requests that ran there, in sixteenths.
        load_sixteenths: u32,
        /// Expected wait for a slot, in ms.
        queue_ms: u32,
        /// What the replica's figure foretold, as a log in 64ths.
        foretold_64ths: i16,
    }
}

impl Ticket {
    /// Returns the prompt tokens that the replica has to compute.
    pub fn tokens(&self) -> u32 {
        self.tokens
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
    last_in_turn: usize,
    peers: f32,
    /// Index into `replicas` by replica number; `None` once the replica is
    /// gone.
    positions: Vec<Option<usize>>,
    /// Replica numbers by the hash of the id; sorted.
    numbers_by_hash: Vec<(u64, u32)>,
    /// Indices of the replicas whose `matched_tokens` is not 0.
    matched_replicas: Vec<usize>,
    /// Indices of the replicas that the prefix index names as holders of the
    /// prompt's beginning, with the tokens that they probably hold.
    holders: Vec<(usize, u32)>,
    // Buffers that are kept between picks, so that no pick allocates.
    costs: Vec<f32>,
    ties: Vec<usize>,
    /// Load per slot below which reported loads carry no information; see the
    /// module documentation.
    load_floor: f32,
    load_floor_at: u64,
    /// Mean number of the other entries' requests per slot.
    mean_others_per_slot: f32,
    /// Mean number of prompt tokens that a replica has yet to compute for
    /// other entries.
    mean_others_pending_tokens: f32,
    /// Moving average of this entry's requests per ms.
    picks_per_ms: f32,
    picks_since_update: u32,
    /// Time that one replica would take to compute all prompts sent so far, in
    /// ms.
    work_ms: f64,
    /// Time to compute one prompt token on a replica without other work, in
    /// ms.
    unloaded_token_ms: f32,
    /// Rejections a second that a replica bears, as last announced by any; new
    /// replicas have not announced it yet.
    brittle: Option<f32>,
    /// Rejections that this entry may cause at the brittle replicas, from the
    /// first of them on.
    budget: Option<Budget>,
    /// When the last request was routed, in ms.
    picked_at: u64,
    /// When the last caller in the queue was told to return; see
    /// [`Pool::enqueue`].
    queue_end: u64,
    speeds: Speeds,
}

/// Minimum number of computed tokens for a prompt to count as a sample of the
/// time per token.
const MIN_SAMPLE_TOKENS: u32 = 256;
/// Minimum number of computed tokens at which the time to compute them
/// outweighs the fixed time of a request.
const MIN_UNLOADED_SAMPLE_TOKENS: u32 = 4096;
/// Factor by which the shortest time per token rises with every sample, so
/// that it follows when all replicas become slower.
const UNLOADED_DRIFT_FACTOR: f32 = 1.002;
/// Weight of a new sample in the moving average of the time that a request
/// holds its slot.
const HOLD_TIME_WEIGHT: f32 = 0.1;

impl Pool {
    /// Creates an empty pool. `seed` seeds the random draws.
    pub fn open(policy: Policy, weights: Weights, seed: u64) -> Pool {
        Pool {
            policy,
            weights,
            replicas: Vec::new(),
            index: Index::open(weights.max_blocks_per_replica),
            rng: StdRng::seed_from_u64(seed),
            next_number: 0,
            next_serial: 0,
            last_in_turn: 0,
            peers: 0.0,
            positions: Vec::new(),
            numbers_by_hash: Vec::new(),
            matched_replicas: Vec::new(),
            holders: Vec::new(),
            costs: Vec::new(),
            ties: Vec::new(),
            load_floor: 0.0,
            load_floor_at: 0,
            mean_others_per_slot: 0.0,
            mean_others_pending_tokens: 0.0,
            picks_per_ms: 0.0,
            picks_since_update: 0,
            work_ms: 0.0,
            unloaded_token_ms: weights.token_ms,
            brittle: None,
            budget: None,
            picked_at: 0,
            queue_end: 0,
            speeds: Speeds::open(weights.token_ms, weights.batch_ms),
        }
    }

    /// Sets the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets the factor on the time to recompute prompt tokens.
    pub fn set_recompute_factor(&mut self, factor: f32) {
        self.weights.recompute_factor = factor;
    }

    /// Sets the number of other entries that route by the same policy.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers as f32;
    }

    /// Replaces the list of replicas.
    ///
    /// Replicas that were in the list before keep their state.
    pub fn set_replicas(
        &mut self,
        local_data_centre: &str,
        list: &[Identity],
    ) {
        // Resolved before any replica is taken out: the lookup needs the old
        // list complete and sorted.
        let old_positions: Vec<Option<usize>> = list
            .iter()
            .map(|identity| self.find(&identity.id, identity.incarnation))
            .collect();
        let old = std::mem::take(&mut self.replicas);
        let mut old: Vec<Option<Replica>> =
            old.into_iter().map(Some).collect();
        for (identity, old_position) in list.iter().zip(old_positions) {
            let kept = old_position.and_then(|at| old[at].take());
            let replica = match kept {
                Some(replica) => {
                    Replica { identity: identity.clone(), ..replica }
                }
                None => self.new_replica(local_data_centre, identity),
            };
            self.replicas.push(replica);
        }
        self.replicas
            .sort_by(|one, other| one.identity.id.cmp(&other.identity.id));
        for gone in old.into_iter().flatten() {
            self.index.clear(gone.number);
        }
        self.matched_replicas.clear();
        self.holders.clear();
        self.positions.clear();
        self.positions.resize(self.next_number as usize, None);
        for (at, replica) in self.replicas.iter_mut().enumerate() {
            replica.matched_tokens = 0;
            self.positions[replica.number as usize] = Some(at);
        }
        let numbers = self
            .replicas
            .iter()
            .map(|replica| (replica.id_hash, replica.number));
        self.numbers_by_hash = numbers.collect();
        self.numbers_by_hash.sort_unstable();
    }

    /// Sets this entry's shares of the replicas' rate limits, sorted by
    /// replica. Replicas without a share have no rate limit.
    pub fn set_rate_limits(&mut self, now: u64, parts: &[Allocation]) {
        for replica in &mut self.replicas {
            let found =
                position(parts, &replica.id_hash, |part| &part.replica);
            let Ok(at) = found else {
                replica.bucket = None;
                continue;
            };
            match &mut replica.bucket {
                Some(bucket) => bucket.set(now, parts[at]),
                None => replica.bucket = Some(Bucket::open(now, parts[at])),
            }
        }
    }

    /// Sets the time until which a replica is sent nothing, 0 for none.
    pub fn set_backoff(&mut self, id: &str, incarnation: u64, until: u64) {
        if let Some(at) = self.find(id, incarnation) {
            self.replicas[at].backoff_until = until;
        }
    }

    /// Like [`Pool::set_backoff`], for the replica at index `at` in the order
    /// of ids.
    pub fn set_backoff_at(&mut self, at: usize, until: u64) {
        if let Some(replica) = self.replicas.get_mut(at) {
            replica.backoff_until = until;
        }
    }

    /// Sets how many rejections a second a replica bears from all entries;
    /// `None` if it bears any number. Returns true if that has changed.
    pub fn set_brittle(
        &mut self,
        id: &str,
        incarnation: u64,
        rejections_per_s: Option<f32>,
    ) -> bool {
        let Some(at) = self.find(id, incarnation) else { return false };
        self.brittle = rejections_per_s;
        if let Some(rate) = rejections_per_s {
            self.expect_brittle(rate);
        }
        let replica = &mut self.replicas[at];
        let was_announced = replica.has_announced && replica.brittle.is_some();
        replica.has_announced = true;
        match (&mut replica.brittle, rejections_per_s) {
            (Some(known), Some(rate)) => known.set(rate),
            (known, rate) => *known = rate.map(Brittle::open),
        }
        was_announced != rejections_per_s.is_some()
    }

    /// Takes the replicas as brittle that have not announced if they are, as
    /// another one is. Each of them would otherwise reject a request of each
    /// entry before the entry knew.
    fn expect_brittle(&mut self, rejections_per_s: f32) {
        let (now, rng) = (self.picked_at, &mut self.rng);
        self.budget.get_or_insert_with(|| Budget::open(now, rng.random()));
        let is_first = self.replicas.iter().all(|one| one.brittle.is_none());
        for replica in &mut self.replicas {
            replica.has_announced &= !is_first;
            if !replica.has_announced {
                replica
                    .brittle
                    .get_or_insert_with(|| Brittle::open(rejections_per_s));
            }
        }
    }

    /// Records that a replica rejected a request for want of room. A brittle
    /// replica has not failed by that, and the request has ended.
    pub fn record_rejected(&mut self, now: u64, ticket: Ticket) {
        let Some(at) = self.position_of(ticket) else { return };
        let replica = &mut self.replicas[at];
        let (Some(brittle), Some(budget)) =
            (&mut replica.brittle, &mut self.budget)
        else {
            return;
        };
        let others = ticket.others_in_flight;
        brittle.record_rejected(now, ticket.serial, others, budget);
        replica.remove_in_flight(now, ticket, false);
    }

    /// Updates the replicas, in the order of their ids.
    pub fn set_statuses(&mut self, statuses: &[Status]) {
        for (replica, status) in self.replicas.iter_mut().zip(statuses) {
            let identity = &mut replica.identity;
            identity.availability = status.availability;
            identity.slots = status.slots;
            identity.reclaimable = status.reclaimable;
            identity.is_version_certain = status.is_version_certain;
        }
    }

    /// Records that a replica may have restarted with other software, until
    /// its status is set again.
    pub fn doubt_version(&mut self, id: &str, incarnation: u64) {
        if let Some(at) = self.find(id, incarnation) {
            self.replicas[at].identity.is_version_certain = false;
        }
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns true if there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the number of slots of all replicas.
    pub fn slots(&self) -> u32 {
        self.replicas.iter().map(|replica| replica.identity.slots).sum()
    }

    /// Returns the slots of the serving replicas with a software version, and
    /// of the other serving replicas.
    pub fn slots_by_version(&self, version: u64) -> (u32, u32) {
        let serving = self.replicas.iter().filter(|one| one.is_serving());
        serving.fold((0, 0), |(of, others), replica| {
            let slots = replica.identity.slots;
            match replica.identity.version == version {
                true => (of + slots, others),
                false => (of, others + slots),
            }
        })
    }

    /// Returns the number of this entry's requests in flight at replicas with
    /// other software versions than this one.
    pub fn in_flight_except(&self, version: u64) -> u32 {
        let others = self
            .replicas
            .iter()
            .filter(|replica| replica.identity.version != version);
        others.map(|replica| replica.own_in_flight).sum()
    }

    /// Returns true if the replicas have several software versions.
    pub fn has_several_versions(&self) -> bool {
        let mut versions =
            self.replicas.iter().map(|replica| replica.identity.version);
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Returns the estimated number of requests that run or wait at all
    /// replicas.
    pub fn load(&self) -> f32 {
        self.replicas.iter().map(|replica| self.estimate(replica)).sum()
    }

    /// Records a load that was measured `age_ms` ago.
    ///
    /// An age of 0 is for the load that comes with an answer.
    pub fn record_load(
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
        replica.reported_load = load as f32;
        replica.recent_changes.retain(|(at, _)| *at >= measured_at);
        replica.own_change =
            replica.recent_changes.iter().map(|(_, change)| change).sum();
    }

    /// Records the other entries' requests at a replica: their number, and the
    /// prompt tokens that the replica has yet to compute for them.
    ///
    /// `age_ms` is the mean age of these reports. If they counted as current,
    /// all entries would send to whichever replica was nearly idle a moment
    /// ago, and to each new replica at once: of the requests of seventy
    /// entries, a fifth met six or more others on their replica within 0.3 s,
    /// where one in a hundred would by chance.
    pub fn record_others_load(
        &mut self,
        now: u64,
        id: &str,
        load: u32,
        pending: u32,
        age_ms: u64,
    ) {
        if let Some(at) = self.find(id, 0) {
            self.record_others_load_at(now, at, load, pending, age_ms);
        }
    }

    /// Like [`Pool::record_others_load`], for the replica at index `at` in the
    /// order of ids.
    pub fn record_others_load_at(
        &mut self,
        now: u64,
        at: usize,
        load: u32,
        pending: u32,
        age_ms: u64,
    ) {
        let Some(replica) = self.replicas.get_mut(at) else { return };
        let measured_at = now.saturating_sub(age_ms);
        replica.others_pending = (pending as f32, measured_at);
        if measured_at < replica.measured_at {
            return;
        }
        replica.measured_at = measured_at;
        replica.recent_changes.retain(|(at, _)| *at >= measured_at);
        replica.own_change =
            replica.recent_changes.iter().map(|(_, change)| change).sum();
        let own_at_report = replica.own_in_flight as f32 - replica.own_change;
        replica.reported_load = load as f32 + own_at_report;
    }

    /// Handles a cache event: a replica has evicted blocks.
    pub fn record_evicted(
        &mut self,
        id: &str,
        incarnation: u64,
        blocks: &[u64],
    ) {
        if let Some(at) = self.find(id, incarnation) {
            self.index.remove(self.replicas[at].number, blocks);
        }
    }

    /// Handles a cache event: a replica has cached blocks.
    pub fn record_cached(
        &mut self,
        id: &str,
        incarnation: u64,
        blocks: &[u64],
    ) {
        if let Some(at) = self.find(id, incarnation) {
            self.index.insert(self.replicas[at].number, blocks);
        }
    }

    /// Records blocks that other entries have sent to a replica.
    pub fn record_sent_by_others(&mut self, id_hash: u64, blocks: &[u64]) {
        let found =
            position(&self.numbers_by_hash, &id_hash, |(hash, _)| hash);
        if let Ok(at) = found {
            self.index.insert(self.numbers_by_hash[at].1, blocks);
        }
    }

    /// Selects a replica and counts the request as in flight there.
    pub fn pick(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) -> Option<Choice> {
        self.picked_at = now;
        self.update_risks(now);
        let at = match self.policy {
            Policy::Cost => self.pick_by_cost(now, request),
            Policy::Random => self.draw_where(now, request, |_, _| true),
            Policy::RoundRobin => self.pick_next_in_turn(now, request),
            Policy::LeastOutstanding => {
                self.pick_least_outstanding(now, request)
            }
            Policy::PowerOfTwo => self.pick_less_loaded_of_two(now, request),
        }?;
        Some(self.assign(now, at, request))
    }

    /// Returns up to `most` replicas at random that may be sent requests, so
    /// that `count` of them can be probed.
    ///
    /// Returns none if what these show says too little about the other serving
    /// replicas: if there are no more than `count`, or less than half of all.
    pub fn sample(
        &mut self,
        now: u64,
        count: usize,
        most: usize,
    ) -> Vec<String> {
        self.update_risks(now);
        let serving =
            self.replicas.iter().filter(|replica| replica.is_serving());
        let accepting = serving.clone().filter(|one| one.accepts(now));
        let serving = serving.count();
        let accepted = accepting.clone().count();
        let is_all = accepted == serving;
        if !is_all && (accepted <= count || 2 * accepted < serving) {
            return Vec::new();
        }
        let ids = accepting.map(|replica| &replica.identity.id);
        let most = most.min(accepted);
        ids.sample(&mut self.rng, most).into_iter().cloned().collect()
    }

    /// Records a piece of the answer to a request.
    pub fn record_progress(&mut self, now: u64, ticket: Ticket, first: bool) {
        let Some(at) = self.position_of(ticket) else { return };
        let replica = &mut self.replicas[at];
        let found = replica
            .last_progress
            .binary_search_by_key(&ticket.serial, |(serial, _)| *serial);
        if let Ok(at) = found {
            replica.last_progress[at].1 = now;
        }
        if first {
            replica.pending_tokens =
                (replica.pending_tokens - ticket.tokens as f32).max(0.0);
            if let Some(brittle) = &mut replica.brittle {
                let others = ticket.others_in_flight;
                brittle.record_accepted(now, ticket.serial, others);
            }
            self.learn_token_ms(now, ticket);
        }
    }

    /// Updates the time per prompt token from the time to a first piece.
    ///
    /// Waiting makes most samples too long, and nothing makes a sample too
    /// short. The average therefore follows short samples quickly and long
    /// samples slowly.
    fn learn_token_ms(&mut self, now: u64, ticket: Ticket) {
        if ticket.tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let elapsed_ms = now.saturating_sub(ticket.begun_at) as f32;
        let sample = (elapsed_ms / ticket.tokens as f32).clamp(0.005, 5.0);
        if ticket.tokens >= MIN_UNLOADED_SAMPLE_TOKENS {
            self.unloaded_token_ms =
                sample.min(self.unloaded_token_ms * UNLOADED_DRIFT_FACTOR);
        }
        let average = &mut self.weights.token_ms;
        let weight = if sample < *average { 0.3 } else { 0.02 };
        *average += (sample - *average) * weight;
    }

    /// Records that a request has ended; `held_ms` is the time that it held
    /// its slot, or `None` if it failed.
    pub fn record_end(
        &mut self,
        now: u64,
        ticket: Ticket,
        started: bool,
        held_ms: Option<f32>,
    ) {
        let Some(at) = self.position_of(ticket) else { return };
        let replica = &mut self.replicas[at];
        if !replica.is_in_flight(ticket) {
            return;
        }
        replica.remove_in_flight(now, ticket, started);
        match held_ms {
            Some(hold_ms) => {
                replica.record_outcome(now, false);
                let average = &mut self.weights.hold_ms;
                *average += (hold_ms - *average) * HOLD_TIME_WEIGHT;
            }
            None => {
                replica.record_outcome(now, true);
                if let Some(brittle) = &mut replica.brittle {
                    brittle.record_failed(now);
                }
            }
        }
    }

    /// Records that a replica has long sent nothing for a request that is
    /// still in flight there. That counts as a failure of the replica.
    pub fn record_silence(&mut self, now: u64, ticket: Ticket) {
        let Some(at) = self.position_of(ticket) else { return };
        let replica = &mut self.replicas[at];
        if !replica.is_in_flight(ticket) {
            return;
        }
        replica.record_outcome(now, true);
        if let Some(brittle) = &mut replica.brittle {
            brittle.record_failed(now);
        }
    }

    /// Records that a request has ended for a reason that says nothing about
    /// the replica.
    pub fn abandon(&mut self, ticket: Ticket, now: u64, started: bool) {
        let Some(at) = self.position_of(ticket) else { return };
        let replica = &mut self.replicas[at];
        if replica.is_in_flight(ticket) {
            replica.remove_in_flight(now, ticket, started);
        }
    }

    /// Records that a request was not sent after all.
    pub fn cancel_unsent(&mut self, ticket: Ticket, now: u64) {
        self.abandon(ticket, now, false);
        let Some(at) = self.position_of(ticket) else { return };
        if let Some(bucket) = &mut self.replicas[at].bucket {
            bucket.give_back();
        }
    }

    /// Returns the time that one replica would take to compute all prompts
    /// sent so far, in ms.
    pub fn work_ms(&self) -> u64 {
        self.work_ms as u64
    }

    /// Returns, for each replica, its id, the number of this entry's requests
    /// in flight there, and the prompt tokens that it has yet to compute for
    /// them.
    pub fn own_loads(&self) -> impl Iterator<Item = (&str, u32, u32)> {
        self.replicas.iter().map(|replica| {
            let pending = replica.pending_tokens as u32;
            (replica.identity.id.as_str(), replica.own_in_flight, pending)
        })
    }

    /// Returns the cost of one replica as [`Pool::pick`] computes it.
    ///
    /// For tests that compare with a naive implementation.
    pub fn cost_of(
        &mut self,
        now: u64,
        id: &str,
        request: &RouteRequest<'_>,
    ) -> Option<f32> {
        self.match_prefix(now, request);
        self.replicas
            .iter()
            .find(|replica| replica.identity.id == id)
            .map(|replica| self.cost(now, replica, request))
    }

    // ---- Bookkeeping -------------------------------------------------------

    fn assign(
        &mut self,
        now: u64,
        at: usize,
        request: &RouteRequest<'_>,
    ) -> Choice {
        if self.policy != Policy::Cost {
            self.match_prefix(now, request);
        }
        let chosen = &self.replicas[at];
        let features = self.features(now, chosen, request);
        let predicted_ms = self.predicted_ms(now, chosen, request, &features);
        let foretold_64ths = (chosen.pace.foretold(now) * 64.0) as i16;
        let cached = self.replicas[at].matched_tokens.min(request.tokens);
        let serial = self.next_serial;
        self.next_serial += 1;
        let source = self.fetch_source(at, cached);
        let fetched = source.map_or(0, |from| {
            self.replicas[from].matched_tokens.min(request.tokens) - cached
        });
        let fetch_from =
            source.map(|from| self.replicas[from].identity.id.clone());
        let tokens = request.tokens - cached - fetched;
        self.work_ms += f64::from(tokens as f32 * self.unloaded_token_ms);
        let replica = &mut self.replicas[at];
        if let Some(brittle) = &mut replica.brittle {
            brittle.record_sent(now, serial, replica.own_in_flight);
        }
        let others_in_flight = replica.own_in_flight;
        replica.own_in_flight += 1;
        if let Some(bucket) = &mut replica.bucket {
            bucket.take(now);
        }
        replica.record_change(now, 1.0);
        replica.pending_tokens += tokens as f32;
        replica.last_progress.push((serial, now));
        let number = replica.number;
        let choice = Choice {
            id: replica.identity.id.clone(),
            incarnation: replica.identity.incarnation,
            cached_tokens: cached,
            fetch_from,
            predicted_ms,
            ticket: Ticket {
                number,
                serial,
                tokens,
                begun_at: now,
                others_in_flight,
                pending: features.pending as u32,
                load_sixteenths: (features.load * 16.0) as u32,
                queue_ms: features.queue_ms as u32,
                foretold_64ths,
            },
        };
        self.index.insert(number, request.blocks);
        choice
    }

    /// Returns the index of the replica that holds most of the prompt, if
    /// fetching from it is worthwhile.
    fn fetch_source(&self, chosen: usize, cached: u32) -> Option<usize> {
        self.weights.fetch_token_ms?;
        let version = self.replicas[chosen].identity.version;
        let (at, held_tokens) = self.best_holder(version)?;
        (at != chosen && held_tokens >= cached + MIN_FETCH_TOKENS)
            .then_some(at)
    }

    /// Returns the index of the replica that holds most of the prompt and can
    /// be fetched from by a replica with this software version, with the
    /// tokens that it holds.
    ///
    /// A version may not be able to read what another one has cached.
    pub(super) fn best_holder(&self, version: u64) -> Option<(usize, u32)> {
        let sources = self.holders.iter().copied().filter(|(at, _)| {
            let identity = &self.replicas[*at].identity;
            identity.availability != Availability::Silent
                && version != UNKNOWN_VERSION
                && identity.version == version
        });
        sources.max_by_key(|(_, count)| *count)
    }

    fn new_replica(
        &mut self,
        local_data_centre: &str,
        identity: &Identity,
    ) -> Replica {
        let number = self.next_number;
        self.next_number += 1;
        let mut replica = Replica::new(number, local_data_centre, identity);
        replica.brittle = self.brittle.map(Brittle::open);
        replica
    }

    fn find(&self, id: &str, incarnation: u64) -> Option<usize> {
        let at = position(&self.replicas, id, |replica| {
            replica.identity.id.as_str()
        });
        at.ok().filter(|&at| {
            self.replicas[at].identity.incarnation == incarnation
        })
    }

    /// Returns the index of the replica that a request was sent to.
    fn position_of(&self, ticket: Ticket) -> Option<usize> {
        self.positions.get(ticket.number as usize).copied().flatten()
    }

    /// Computes the risks of the brittle replicas, and refills the budget.
    fn update_risks(&mut self, now: u64) {
        let Some(budget) = &mut self.budget else { return };
        let brittle = self.replicas.iter().filter_map(|one| one.brittle);
        let rate = brittle.map(|one| one.rejections_per_s()).sum();
        budget.refill(now, rate, self.peers + 1.0);
        let hold_ms = self.weights.hold_ms;
        for replica in &mut self.replicas {
            let in_flight = replica.own_in_flight;
            if let Some(brittle) = &mut replica.brittle {
                brittle.update(now, in_flight, hold_ms, budget);
            }
        }
    }
}

/// Whether a request may be sent to a replica now. All policies select among
/// the eligible replicas only.
fn is_eligible(
    now: u64,
    replica: &Replica,
    request: &RouteRequest<'_>,
) -> bool {
    !is_excluded(replica, request) && replica.accepts(now)
}

fn is_excluded(replica: &Replica, request: &RouteRequest<'_>) -> bool {
    let identity = &replica.identity;
    let is_certain = identity.is_version_certain;
    let may_run = match request.version {
        VersionRule::Any => true,
        VersionRule::Certain => is_certain,
        VersionRule::Only(version) => {
            is_certain && identity.version == version
        }
        VersionRule::Of(version) => identity.version == version,
        VersionRule::Except(version) => identity.version != version,
        VersionRule::CertainExcept(version) => {
            is_certain && identity.version != version
        }
    };
    !may_run
        || request.excluded.iter().any(|(id, incarnation)| {
            *id == identity.id && *incarnation == identity.incarnation
        })
}
