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

mod baseline;
mod cost;
mod replica;
mod weights;

use rand::{SeedableRng, rngs::StdRng};

pub use self::weights::Weights;
use self::{replica::Replica, weights::LEAST_FETCH};
use super::{
    prefix::Index,
    rate_limit::{Bucket, Part},
};
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
        /// What it is good for.
        pub standing: Standing,
    }
}

common! {
    copy
    /// What a replica is good for.
    pub enum Standing {
        /// It takes requests.
        Serving,
        /// It finishes what it has and gets nothing new; until it is gone,
        /// others can fetch from its cache.
        Leaving,
        /// It was not heard lately, and gets nothing. What it has cached is
        /// remembered: heartbeats are often just late, and reading all that
        /// again is dear.
        Silent,
    }
}

common! {
    /// A request, as far as routing goes.
    pub struct Ask<'a> {
        /// Tokens in the prompt.
        pub tokens: u32,
        /// The prompt's block hashes.
        pub blocks: &'a [u64],
        /// Tokens up to the end of each block; empty when all blocks are of
        /// the same size. A prompt that comes in small parts has blocks that
        /// are far from full.
        pub ends: &'a [u32],
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
        /// Another endpoint that probably has much more of the prompt: the
        /// chosen one should fetch it there.
        pub fetch_from: Option<String>,
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
    /// The number of each replica by the hash of its id; sorted.
    hashes: Vec<(u64, u32)>,
    /// Replicas whose `matched` is not 0.
    matched: Vec<usize>,
    /// Of these, those that were sent the prompt's beginning: with the
    /// tokens that they probably hold.
    known: Vec<(usize, u32)>,
    // Kept between decisions so that none has to allocate.
    costs: Vec<f32>,
    ties: Vec<usize>,
    /// Load for each slot below which reports say nothing; see the head.
    level: f32,
    level_at: u64,
    /// Requests of other entries for each slot, on average.
    usual_others: f32,
    /// Prompt tokens that a replica has yet to read for other entries, on
    /// average.
    usual_pending: f32,
    /// Requests of this entry in a millisecond, on average.
    rate: f32,
    picks: u32,
    /// Time that all prompts sent so far take to read, in ms.
    work_ms: f64,
    /// Milliseconds to read one token when nothing else is in the way.
    bare_token_ms: f32,
}

/// Prompts with fewer fresh tokens say nothing about the speed.
const LEARN_TOKENS: u32 = 256;
/// From so many fresh tokens on the time to read them outweighs what every
/// request takes anyhow.
const BARE_TOKENS: u32 = 4096;
/// The shortest time for a token is raised by this with every sample, so that
/// it follows when all replicas have turned slower.
const BARE_DRIFT: f32 = 1.002;
/// The weight of one new holding time in the average.
const HOLD_SHARE: f32 = 0.1;

impl Pool {
    /// Starts empty. `seed` feeds the draws among equals.
    pub fn open(policy: Policy, weights: Weights, seed: u64) -> Pool {
        Pool {
            policy,
            weights,
            replicas: Vec::new(),
            index: Index::open(weights.blocks),
            rng: StdRng::seed_from_u64(seed),
            next_number: 0,
            next_serial: 0,
            turn: 0,
            peers: 0.0,
            places: Vec::new(),
            hashes: Vec::new(),
            matched: Vec::new(),
            known: Vec::new(),
            costs: Vec::new(),
            ties: Vec::new(),
            level: 0.0,
            level_at: 0,
            usual_others: 0.0,
            usual_pending: 0.0,
            rate: 0.0,
            picks: 0,
            work_ms: 0.0,
            bare_token_ms: weights.token_ms,
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
        // Looked up before any is taken out: the old ones are sorted.
        let known: Vec<Option<usize>> = list
            .iter()
            .map(|one| self.find(&one.id, one.incarnation))
            .collect();
        let old = std::mem::take(&mut self.replicas);
        let mut old: Vec<Option<Replica>> =
            old.into_iter().map(Some).collect();
        for (identity, known) in list.iter().zip(known) {
            let known = known.and_then(|at| old[at].take());
            let replica = match known {
                Some(replica) => {
                    Replica { identity: identity.clone(), ..replica }
                }
                None => self.new_replica(near, identity),
            };
            self.replicas.push(replica);
        }
        self.replicas
            .sort_by(|one, other| one.identity.id.cmp(&other.identity.id));
        for gone in old.into_iter().flatten() {
            self.index.clear(gone.number);
        }
        self.matched.clear();
        self.known.clear();
        self.places.clear();
        self.places.resize(self.next_number as usize, None);
        for (at, replica) in self.replicas.iter_mut().enumerate() {
            replica.matched = 0;
            self.places[replica.number as usize] = Some(at);
        }
        let hashes = self.replicas.iter().map(|one| (one.hash, one.number));
        self.hashes = hashes.collect();
        self.hashes.sort_unstable();
    }

    /// Takes this entry's parts of the replicas' limits, sorted by replica;
    /// replicas without one take any rate of requests.
    pub fn set_limits(&mut self, now: u64, parts: &[Part]) {
        for replica in &mut self.replicas {
            let found = position(parts, &replica.hash, |one| &one.replica);
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

    /// How many replicas that serve have named the rate that they take, and
    /// that of all of them; `None` where none has.
    pub fn limited(&self) -> Option<(usize, f32)> {
        let serving = self.replicas.iter().filter(|one| one.is_serving());
        let limits = serving.filter_map(|one| Some(one.bucket?.limit()));
        let (mut count, mut sum) = (0, 0.0);
        for limit in limits {
            count += 1;
            sum += limit;
        }
        (count > 0).then_some((count, sum))
    }

    /// How many other entries decide as this one does.
    pub fn peers(&self) -> f32 {
        self.peers
    }

    /// Takes what may change while the replicas are the same: what each is
    /// good for, in the order of their ids.
    pub fn set_standings(&mut self, standings: &[(Standing, u32, bool)]) {
        for (replica, standing) in self.replicas.iter_mut().zip(standings) {
            let identity = &mut replica.identity;
            (identity.standing, identity.slots, identity.reclaimable) =
                *standing;
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

    /// Takes what the other entries have told of their own requests at a
    /// replica: how many there are, and the prompt tokens that it has yet to
    /// read for them.
    ///
    /// `age_ms` is how old their word is on average. Taken for fresh, it
    /// sends all entries to whichever replica had little to do a moment ago,
    /// and to each new one at once: of seventy entries' requests, a fifth met
    /// six others or more on their replica within 0.3 s where one in a
    /// hundred would by chance.
    pub fn report_others(
        &mut self,
        now: u64,
        id: &str,
        load: u32,
        pending: u32,
        age_ms: u64,
    ) {
        if let Some(at) = self.find(id, 0) {
            self.report_others_at(now, at, load, pending, age_ms);
        }
    }

    /// The same of the replica that stands at this place by its id.
    pub fn report_others_at(
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
        replica.recent.retain(|(at, _)| *at >= measured_at);
        replica.change = replica.recent.iter().map(|(_, one)| one).sum();
        let own_then = replica.own as f32 - replica.change;
        replica.reported = load as f32 + own_then;
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

    /// Notes blocks that other entries have sent to a replica.
    pub fn sent_elsewhere(&mut self, id_hash: u64, blocks: &[u64]) {
        let found = position(&self.hashes, &id_hash, |(hash, _)| hash);
        if let Ok(at) = found {
            self.index.insert(self.hashes[at].1, blocks);
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
        if ticket.tokens >= BARE_TOKENS {
            self.bare_token_ms = sample.min(self.bare_token_ms * BARE_DRIFT);
        }
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
                replica.judge(now, false);
                let known = &mut self.weights.hold_ms;
                *known += (held - *known) * HOLD_SHARE;
            }
            None => replica.judge(now, true),
        }
    }

    /// The request ended for a reason that says nothing about the replica.
    pub fn abandon(&mut self, ticket: Ticket, now: u64, started: bool) {
        let Some(replica) = self.by_number(ticket.number) else { return };
        replica.own = replica.own.saturating_sub(1);
        replica.note(now, -1.0);
        replica.quiet.retain(|(serial, _)| *serial != ticket.serial);
        if !started {
            replica.pending_tokens =
                (replica.pending_tokens - ticket.tokens as f32).max(0.0);
        }
    }

    /// The request was not sent after all.
    pub fn take_back(&mut self, ticket: Ticket, now: u64) {
        self.abandon(ticket, now, false);
        let replica = self.by_number(ticket.number);
        if let Some(bucket) = replica.and_then(|one| one.bucket.as_mut()) {
            bucket.give_back();
        }
    }

    /// Time that all prompts sent so far take one replica to read, in ms.
    pub fn work_ms(&self) -> u64 {
        self.work_ms as u64
    }

    /// This entry's requests under way at each replica, and the prompt tokens
    /// that it has yet to read for them.
    pub fn own(&self) -> impl Iterator<Item = (&str, u32, u32)> {
        self.replicas.iter().map(|replica| {
            let pending = replica.pending_tokens as u32;
            (replica.identity.id.as_str(), replica.own, pending)
        })
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

    // ---- Bookkeeping ------------------------------------------------------------

    fn begin(&mut self, now: u64, at: usize, ask: &Ask<'_>) -> Choice {
        if self.policy != Policy::Cost {
            self.match_prefix(ask);
        }
        let predicted_ms = self.first_token_ms(now, &self.replicas[at], ask);
        let cached = self.replicas[at].matched.min(ask.tokens);
        let serial = self.next_serial;
        self.next_serial += 1;
        let source = self.source(at, cached);
        let fetched = source.map_or(0, |from| {
            self.replicas[from].matched.min(ask.tokens) - cached
        });
        let fetch_from =
            source.map(|from| self.replicas[from].identity.id.clone());
        let tokens = ask.tokens - cached - fetched;
        self.work_ms += f64::from(tokens as f32 * self.bare_token_ms);
        let replica = &mut self.replicas[at];
        replica.own += 1;
        if let Some(bucket) = &mut replica.bucket {
            bucket.take(now);
        }
        replica.note(now, 1.0);
        replica.pending_tokens += tokens as f32;
        replica.quiet.push((serial, now));
        let number = replica.number;
        let choice = Choice {
            id: replica.identity.id.clone(),
            incarnation: replica.identity.incarnation,
            cached_tokens: cached,
            fetch_from,
            predicted_ms,
            ticket: Ticket { number, serial, tokens, begun_at: now },
        };
        self.index.insert(number, ask.blocks);
        choice
    }

    /// The replica that holds most of the prompt, if it is worth a fetch.
    fn source(&self, chosen: usize, cached: u32) -> Option<usize> {
        self.weights.fetch_ms?;
        let (at, most) = self.best_holder()?;
        (at != chosen && most >= cached + LEAST_FETCH).then_some(at)
    }

    /// Who holds most of the prompt and can be fetched from, and how much.
    pub(super) fn best_holder(&self) -> Option<(usize, u32)> {
        let sources = self.known.iter().copied().filter(|(at, _)| {
            self.replicas[*at].identity.standing != Standing::Silent
        });
        sources.max_by_key(|(_, count)| *count)
    }

    fn new_replica(&mut self, near: &str, identity: &Identity) -> Replica {
        let number = self.next_number;
        self.next_number += 1;
        Replica::new(number, near, identity)
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

fn avoided(replica: &Replica, ask: &Ask<'_>) -> bool {
    let identity = &replica.identity;
    ask.avoid.iter().any(|(id, incarnation)| {
        *id == identity.id && *incarnation == identity.incarnation
    })
}
