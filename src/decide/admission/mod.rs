//! Admission by shared capacity: which requests the replicas of a service are
//! given while callers ask for more than these can answer in time.
//!
//! It answers bursts to twice the capacity, a loss of half of the replicas,
//! one team at several times its usual load, and callers that retry at once,
//! on up to a hundred nodes that learn of each other's requests 0.1 to 3 s
//! late. Each node decides alone, from the same totals.
//!
//! # Capacity
//!
//! The work of a request is the time for which it takes a whole replica: the
//! time to read the part of its prompt that is not cached, or its part of the
//! slots while the answer is written, whichever is longer. The capacity is the
//! number of serving replicas times the *yield*, the work that one replica
//! finishes in a ms. The yield is measured while requests wait, as the
//! replicas are busy then. A backlog that is longer than a part of the
//! tightest target lowers the capacity so that it is read within
//! `DRAIN_MS`; a shorter one raises it, so that the yield is found again
//! after it was too low.
//!
//! # Shares
//!
//! The capacity is divided between the teams by weight, max-min. The weight of
//! a team is the work that was admitted for it lately, over minutes: a team
//! that asks for several times its usual load has no claim on more, and gets
//! what the others leave. Each node admits the same fraction of a team's
//! requests. Fractions are independent of the size of a request and of the
//! number of requests at a node; a token bucket would have to hold the largest
//! prompt at each of them.
//!
//! # Bound
//!
//! A change of the demand at other nodes is unknown for the age of their
//! reports. What is admitted beyond the capacity is at most the sum of these
//! changes times the age and [`RATE_MS`]. The wait that the router predicts
//! bounds it further, without news from other nodes.

mod fair;
mod repeats;

pub use self::{
    fair::max_min,
    repeats::{Attempt, Repeats},
};
use super::route::Capacity;
use crate::util::{common, mix, position};

/// Time constant of the rates of demand and of finished work, in ms. A rate
/// must follow within half a second.
pub const RATE_MS: f32 = 300.0;
/// Time constant of the yield of a replica, in ms.
const YIELD_MS: f32 = 400.0;
/// Time in which a backlog above the reference is read, in ms. With news that
/// is 0.3 s old, a shorter one makes the backlog oscillate.
const DRAIN_MS: f32 = 1000.0;
/// Time constant of the weights of the teams, in ms. A burst lasts seconds.
const WEIGHT_MS: f32 = 120_000.0;
/// Part of the mean weight that a team without any history has.
const NEW_TEAM_WEIGHT: f32 = 0.2;
/// Backlog that is kept, as a part of the tightest target: replicas must not
/// run idle between reports, and prompts also wait for their own reading.
const BACKLOG_SHARE: f32 = 0.4;
/// Target that is assumed before any request, in ms.
const INITIAL_TARGET_MS: f32 = 500.0;
/// Wait below which nothing waits, in ms.
const NO_WAIT_MS: f32 = 20.0;
/// Part of the slots below which no request is refused.
const ROOM: f32 = 0.5;
/// Shortest time between two updates, in ms.
const UPDATE_MS: u64 = 50;
/// Time without an update after which this node was frozen, in ms.
const STALL_MS: u64 = 1000;
/// Age at which another node's report is not used any more, in ms.
const MAX_REPORT_AGE_MS: u64 = 3000;
/// Time after which another node's totals are dropped, in ms.
const RETENTION_MS: u64 = 60_000;
/// Part of a team's fraction that each of its kinds of requests keeps; the
/// rest goes by priority. A kind must get a quarter of the mean.
const KIND_FLOOR: f32 = 0.6;
/// Most requests of a kind that a node may save up.
const MAX_CREDIT: f32 = 2.0;
/// Time constant of the mix of kinds at this node, in requests.
const MIX_REQUESTS: f32 = 64.0;
/// Part of the fraction of first attempts with which a repeat is admitted.
const REPEAT_WEIGHT: f32 = 0.5;
/// Shortest and longest wait that is announced, in ms.
const RETRY_AFTER_MS: (f32, f32) = (200.0, 3000.0);
/// Weight of a sample in the averages of writing time and of lateness.
const SAMPLE_WEIGHT: f32 = 0.05;
/// Initial time to write an answer, in ms.
const INITIAL_WRITE_MS: f32 = 1000.0;
/// Yield that is assumed before requests wait. One that is too high lets the
/// first burst fill the queues; one that is too low is made up for while
/// nothing waits.
const INITIAL_YIELD: f32 = 0.75;
/// Part of the replicas at which requests must wait for a measurement of the
/// yield.
const MIN_BUSY: f32 = 0.5;
/// Bounds on the measured yield of a replica.
const YIELD_RANGE: (f32, f32) = (0.02, 4.0);
/// Longest predicted time to the first token that is admitted, as a multiple
/// of the target, for priorities 0, 1 and all others, without congestion.
const MAX_LATENCY_FACTORS: [f32; 3] = [2.5, 2.0, 1.5];

common! {
    copy
    /// Work of one team's requests since a node's start, in ms of a replica.
    pub struct Total {
        /// Hash of the team.
        pub team: u32,
        /// Work that callers asked for.
        pub demand: u64,
        /// Work that was admitted.
        pub admitted: u64,
        /// Work whose first token has arrived.
        pub finished: u64,
    }
}

common! {
    copy
    /// Why a request is refused.
    pub enum Reason {
        /// Its team has used up its share.
        Share,
        /// Its first token would come late.
        Late,
        /// It was told to return later.
        Early,
    }
}

common! {
    /// A refusal, with the figures that it follows from.
    pub struct Shortage {
        /// Why the request is refused.
        pub reason: Reason,
        /// Time after which it is worthwhile to return, in ms.
        pub wait_ms: u64,
        /// Replicas' worth of work that the team may have.
        pub share: f32,
        /// Replicas' worth of work that the team asks for.
        pub demand: f32,
        /// Replicas' worth of work that all teams ask for.
        pub total_demand: f32,
        /// Replicas' worth of work that may be admitted.
        pub capacity: f32,
        /// Age of the capacity and of the demand, in ms.
        pub age_ms: u64,
        /// Mean wait at the replicas, in ms.
        pub backlog_ms: f32,
        /// Predicted time to the first token, in ms.
        pub predicted_ms: f32,
    }
}

common! {
    copy
    /// Decision about a request.
    pub struct Work {
        /// Hash of the team.
        pub team: u32,
        /// Work in ms of a replica.
        pub ms: u32,
    }
}

common! {
    /// A request, as far as the decision needs it.
    pub struct Request {
        /// Hash of the team.
        pub team: u32,
        /// Hash of the route.
        pub kind: u64,
        /// Hash of the team and of what is requested.
        pub caller: u64,
        /// Priority; 0 is the most urgent.
        pub priority: u32,
        /// Time within which the first token counts, in ms.
        pub target_ms: f32,
        /// Time until the caller leaves, in ms.
        pub left_ms: f32,
        /// Prompt tokens to be read.
        pub tokens: u32,
        /// Predicted time to the first token, in ms.
        pub predicted_ms: f32,
    }
}

/// Totals of one team, and the rates that follow from them in replicas.
#[derive(Clone, Copy, Debug)]
struct Entry {
    total: Total,
    demand: f32,
    finished: f32,
}

#[derive(Clone, Debug)]
struct Peer {
    node: u64,
    /// When its last report arrived; 0 if that must not be used.
    at: u64,
    has_rates: bool,
    /// Sorted by team.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Team {
    hash: u32,
    own: Entry,
    /// Own totals at the last update.
    seen: Total,
    weight: f32,
    demand: f32,
    share: f32,
    /// Fraction of its work that is admitted.
    fraction: f32,
    /// Kinds of its requests, with the parts of a request that are saved up.
    credits: Vec<(u64, f32)>,
}

#[derive(Clone, Copy, Debug)]
struct Kind {
    kind: u64,
    priority: u32,
    target_ms: f32,
    /// Part of this node's work.
    part: f32,
    mean_ms: f32,
    /// Fraction admitted for each unit of a team's fraction.
    bias: f32,
}

/// Admission of the requests of one service at one node.
#[derive(Clone, Debug)]
pub struct Controller {
    seed: u64,
    capacity: Option<Capacity>,
    updated_at: u64,
    yield_: f32,
    write_ms: f32,
    /// Real time to the first token by predicted time, by priority.
    lateness: [f32; 3],
    /// Replicas' worth of work that may be admitted, and that is asked for.
    room: f32,
    demand: f32,
    fraction: f32,
    /// Sorted by hash.
    teams: Vec<Team>,
    /// Sorted by node.
    peers: Vec<Peer>,
    /// Sorted by kind.
    kinds: Vec<Kind>,
    repeats: Repeats,
}

impl Controller {
    /// Creates a controller that knows nothing. `seed` differs between nodes.
    pub fn open(seed: u64) -> Controller {
        Controller {
            seed,
            capacity: None,
            updated_at: 0,
            yield_: INITIAL_YIELD,
            write_ms: INITIAL_WRITE_MS,
            lateness: [1.0; 3],
            room: f32::INFINITY,
            demand: 0.0,
            fraction: 1.0,
            teams: Vec::new(),
            peers: Vec::new(),
            kinds: Vec::new(),
            repeats: Repeats::default(),
        }
    }

    // ---- Reports -----------------------------------------------------------

    /// Returns this node's totals, for the other nodes.
    pub fn totals(&self) -> impl Iterator<Item = Total> + '_ {
        self.teams.iter().map(|team| team.own.total)
    }

    /// Applies the totals of another node that arrived at `at`.
    pub fn record_report(&mut self, at: u64, node: u64, totals: &[Total]) {
        let found = position(&self.peers, &node, |peer| &peer.node);
        let index = found.unwrap_or_else(|index| {
            let peer =
                Peer { node, at: 0, has_rates: false, entries: Vec::new() };
            self.peers.insert(index, peer);
            index
        });
        if self.peers[index].at >= at {
            return;
        }
        let before = std::mem::replace(&mut self.peers[index].at, at);
        let elapsed_ms = at.saturating_sub(before) as f32;
        // After a gap, the difference of the totals says nothing of the
        // present rate.
        let is_gap = before == 0 || elapsed_ms > MAX_REPORT_AGE_MS as f32;
        let weight = 1.0 - (-elapsed_ms / RATE_MS).exp();
        let mut entries = std::mem::take(&mut self.peers[index].entries);
        for total in totals {
            let found =
                position(&entries, &total.team, |entry| &entry.total.team);
            if let Err(at) = found {
                let total = Total {
                    team: total.team,
                    demand: 0,
                    admitted: 0,
                    finished: 0,
                };
                entries
                    .insert(at, Entry { total, demand: 0.0, finished: 0.0 });
            }
        }
        for entry in &mut entries {
            let sent =
                totals.iter().find(|sent| sent.team == entry.total.team);
            let new = sent.copied().unwrap_or(entry.total);
            let admitted = new.admitted.saturating_sub(entry.total.admitted);
            let at = self.team(entry.total.team);
            self.teams[at].weight += admitted as f32;
            entry.advance(new, elapsed_ms, weight, is_gap);
        }
        let peer = &mut self.peers[index];
        peer.entries = entries;
        peer.has_rates = !is_gap;
    }

    /// Whether the capacity should be read again.
    pub fn is_due(&self, now: u64) -> bool {
        self.capacity.is_none() || now >= self.updated_at + UPDATE_MS
    }

    /// Applies the present capacity. `nodes` is the number of nodes that take
    /// callers' requests, including this one.
    pub fn update(&mut self, now: u64, capacity: Capacity, nodes: usize) {
        if !self.is_due(now) {
            return;
        }
        let is_first = self.capacity.replace(capacity).is_none();
        let elapsed = now.saturating_sub(self.updated_at);
        if !is_first && elapsed >= STALL_MS {
            // The reports that arrived before a freeze describe the time
            // before it.
            for peer in &mut self.peers {
                peer.has_rates &= now < peer.at + STALL_MS;
            }
        }
        self.updated_at = now;
        self.peers.retain(|peer| now < peer.at + RETENTION_MS);
        let elapsed_ms = if is_first { 0.0 } else { elapsed as f32 };
        let finished = self.update_rates(now, elapsed_ms, nodes);
        self.update_yield(elapsed_ms, finished, capacity);
        self.update_shares(capacity);
    }

    /// Updates the demand of all teams. Returns the work that is finished at
    /// all nodes, in replicas.
    fn update_rates(
        &mut self,
        now: u64,
        elapsed_ms: f32,
        nodes: usize,
    ) -> f32 {
        let weight = 1.0 - (-elapsed_ms / RATE_MS).exp();
        let decay = (-elapsed_ms / WEIGHT_MS).exp();
        for team in &mut self.teams {
            let new = team.own.total;
            team.own.total = team.seen;
            team.own.advance(new, elapsed_ms, weight, elapsed_ms == 0.0);
            let admitted = new.admitted.saturating_sub(team.seen.admitted);
            team.weight = team.weight * decay + admitted as f32;
            team.seen = new;
            team.demand = team.own.demand;
        }
        let mut finished: f32 =
            self.teams.iter().map(|team| team.own.finished).sum();
        let mut heard = 1;
        for peer in &self.peers {
            if !peer.has_rates || now >= peer.at + MAX_REPORT_AGE_MS {
                continue;
            }
            heard += 1;
            for entry in &peer.entries {
                finished += entry.finished;
                let team = position(&self.teams, &entry.total.team, |team| {
                    &team.hash
                });
                if let Ok(at) = team {
                    self.teams[at].demand += entry.demand;
                }
            }
        }
        // A node that has not reported is assumed to have what the others
        // have.
        let scale = nodes.max(heard) as f32 / heard as f32;
        for team in &mut self.teams {
            team.demand *= scale;
        }
        finished * scale
    }

    fn update_yield(
        &mut self,
        elapsed_ms: f32,
        finished: f32,
        capacity: Capacity,
    ) {
        if capacity.replicas <= 0.0 {
            return;
        }
        let shown = finished / capacity.replicas;
        let is_busy =
            capacity.wait_ms > self.reference_ms() && capacity.busy > MIN_BUSY;
        // While requests wait at some replicas only, the others finish less
        // than they could.
        let measured = if is_busy { shown / capacity.busy } else { shown };
        if measured > self.yield_ || is_busy {
            let weight = 1.0 - (-elapsed_ms / YIELD_MS).exp();
            self.yield_ += (measured - self.yield_) * weight;
            self.yield_ = self.yield_.clamp(YIELD_RANGE.0, YIELD_RANGE.1);
        }
    }

    fn update_shares(&mut self, capacity: Capacity) {
        let spare_ms = self.reference_ms() - capacity.wait_ms;
        let spare = spare_ms / DRAIN_MS;
        // A tenth of the yield is always given: some requests have to show
        // when it is higher again.
        let yield_ = (self.yield_ + spare).max(self.yield_ * 0.1);
        self.room = capacity.replicas * yield_;
        self.demand = self.teams.iter().map(|team| team.demand).sum();
        let weights: f32 = self.teams.iter().map(|team| team.weight).sum();
        let mean = weights / self.teams.len().max(1) as f32;
        let least = (mean * NEW_TEAM_WEIGHT).max(1.0);
        let claims: Vec<(f32, f32)> = self
            .teams
            .iter()
            .map(|team| (team.demand, team.weight.max(least)))
            .collect();
        let shares = max_min(self.room, &claims);
        for (team, share) in self.teams.iter_mut().zip(shares) {
            team.share = share;
            team.fraction = match team.demand > 0.0 {
                true => (share / team.demand).min(1.0),
                false => 1.0,
            };
        }
        self.fraction = match self.demand > 0.0 {
            true => (self.room / self.demand).min(1.0),
            false => 1.0,
        };
        self.update_kinds();
    }

    /// Divides a team's fraction between the kinds of requests: by priority,
    /// then the tighter target, then the smaller work.
    fn update_kinds(&mut self) {
        let fraction = self.fraction;
        let mut order: Vec<usize> = (0..self.kinds.len()).collect();
        let kinds = &mut self.kinds;
        order.sort_by(|&one, &other| {
            let (one, other) = (&kinds[one], &kinds[other]);
            one.priority
                .cmp(&other.priority)
                .then(one.target_ms.total_cmp(&other.target_ms))
                .then(one.mean_ms.total_cmp(&other.mean_ms))
        });
        let total: f32 = kinds.iter().map(|kind| kind.part).sum();
        let mut left = fraction * (1.0 - KIND_FLOOR) * total;
        for at in order {
            let kind = &mut kinds[at];
            let most = (1.0 - KIND_FLOOR * fraction) * kind.part;
            let more = most.min(left);
            left -= more;
            let part = kind.part.max(f32::EPSILON);
            let given = KIND_FLOOR * fraction + more / part;
            kind.bias = given / fraction.max(f32::EPSILON);
        }
    }

    /// Returns the wait up to which the replicas are not overloaded, in ms.
    fn reference_ms(&self) -> f32 {
        let targets = self.kinds.iter().map(|kind| kind.target_ms);
        let tightest = targets.fold(f32::INFINITY, f32::min);
        match tightest.is_finite() {
            true => tightest * BACKLOG_SHARE,
            false => INITIAL_TARGET_MS * BACKLOG_SHARE,
        }
    }

    /// Returns how far fractions are applied, from 0 to 1: in full from half
    /// of the reference wait on. Without it, random bursts would be refused
    /// while the replicas have room.
    fn pressure(&self) -> f32 {
        let wait_ms = self.capacity.map_or(0.0, |now| now.wait_ms);
        (wait_ms / (self.reference_ms() / 2.0)).min(1.0)
    }

    // ---- Requests ----------------------------------------------------------

    /// Admits or refuses a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused, and when it may return.
    pub fn admit(
        &mut self,
        now: u64,
        request: &Request,
    ) -> Result<Work, Shortage> {
        let work = self.work_of(request);
        let attempt = self.repeats.attempt(now, request.caller);
        let demand = match attempt {
            Attempt::First => work.ms,
            Attempt::Due => (work.ms as f32 * REPEAT_WEIGHT) as u32,
            Attempt::Early(_) => 0,
        };
        let at = self.team(request.team);
        self.teams[at].own.total.demand += u64::from(demand);
        if attempt == Attempt::First {
            self.record_kind(request, work);
        }
        let Some(capacity) = self.capacity else {
            return Ok(self.take(at, request, work));
        };
        let is_empty = capacity.wait_ms < NO_WAIT_MS
            && capacity.load < capacity.slots * ROOM;
        let class = class_of(request.priority);
        let expected_ms = request.predicted_ms * self.lateness[class];
        let most_ms = request.target_ms * MAX_LATENCY_FACTORS[class];
        if is_empty && request.predicted_ms <= most_ms {
            return Ok(self.take(at, request, work));
        }
        let is_congested = self.pressure() > 0.0
            && (self.teams[at].fraction < 1.0 || self.fraction < 1.0)
            || capacity.wait_ms > self.reference_ms();
        if !is_congested && request.predicted_ms <= most_ms {
            return Ok(self.take(at, request, work));
        }
        if let Attempt::Early(wait_ms) = attempt {
            return Err(self.refuse(now, at, request, Reason::Early, wait_ms));
        }
        let is_drawn = self.draw(at, request, attempt);
        if expected_ms > request.target_ms {
            if is_drawn {
                self.return_credit(at, request);
            }
            let over_ms = expected_ms - request.target_ms;
            let wait_ms = self.wait_ms(at, request, over_ms);
            return Err(self.refuse(now, at, request, Reason::Late, wait_ms));
        }
        if !is_drawn {
            let wait_ms = self.wait_ms(at, request, 0.0);
            return Err(self.refuse(now, at, request, Reason::Share, wait_ms));
        }
        Ok(self.take(at, request, work))
    }

    /// Counts a request that may not be refused: it has been accepted before.
    pub fn record_accepted(&mut self, request: &Request) -> Work {
        let work = self.work_of(request);
        let at = self.team(request.team);
        self.teams[at].own.total.demand += u64::from(work.ms);
        self.take(at, request, work)
    }

    /// Records that the first token of an admitted request arrived.
    pub fn record_first_token(
        &mut self,
        request: &Request,
        work: Work,
        after_ms: f32,
    ) {
        let at = self.team(work.team);
        self.teams[at].own.total.finished += u64::from(work.ms);
        // Shorter predictions consist of delays that don't grow with load.
        if request.predicted_ms > request.target_ms / 4.0 {
            let sample = (after_ms / request.predicted_ms).clamp(0.25, 2.0);
            let lateness = &mut self.lateness[class_of(request.priority)];
            *lateness += (sample - *lateness) * SAMPLE_WEIGHT;
        }
    }

    /// Records how long an answer took from its first token to its end.
    pub fn record_written(&mut self, write_ms: f32) {
        self.write_ms += (write_ms - self.write_ms) * SAMPLE_WEIGHT;
    }

    /// Returns the replicas' worth of work that may be admitted, and that all
    /// teams ask for.
    pub fn room_and_demand(&self) -> (f32, f32) {
        (self.room, self.demand)
    }

    /// Returns the work that one replica finishes in a ms, in ms.
    pub fn replica_yield(&self) -> f32 {
        self.yield_
    }

    fn work_of(&self, request: &Request) -> Work {
        let capacity = self.capacity;
        let token_ms = capacity.map_or(0.0, |capacity| capacity.token_ms);
        let slots = capacity.map_or(1.0, |capacity| {
            capacity.slots / capacity.replicas.max(f32::EPSILON)
        });
        let read_ms = request.tokens as f32 * token_ms;
        let write_ms = self.write_ms / slots.max(1.0);
        let ms = read_ms.max(write_ms).clamp(1.0, 60_000.0) as u32;
        Work { team: request.team, ms }
    }

    fn take(&mut self, at: usize, request: &Request, work: Work) -> Work {
        self.repeats.forget(request.caller);
        self.teams[at].own.total.admitted += u64::from(work.ms);
        work
    }

    /// Admits the team's fraction of the requests of each kind.
    fn draw(
        &mut self,
        at: usize,
        request: &Request,
        attempt: Attempt,
    ) -> bool {
        let kind = position(&self.kinds, &request.kind, |kind| &kind.kind);
        let bias = kind.map_or(1.0, |kind| self.kinds[kind].bias);
        let weight = match attempt {
            Attempt::First => 1.0,
            _ => REPEAT_WEIGHT,
        };
        let pressure = self.pressure();
        let team = &mut self.teams[at];
        let fraction = (team.fraction * bias * weight).min(1.0);
        let fraction = fraction + (1.0 - fraction) * (1.0 - pressure);
        let found = position(&team.credits, &request.kind, |(kind, _)| kind);
        let credit = found.unwrap_or_else(|at| {
            let seed = mix(self.seed ^ request.kind ^ u64::from(team.hash));
            let start = (seed % 1000) as f32 / 1000.0;
            team.credits.insert(at, (request.kind, start));
            at
        });
        let credit = &mut team.credits[credit].1;
        *credit += fraction;
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }

    /// Gives the place of a request that would be late to the next one of its
    /// kind, which may have a better prediction.
    fn return_credit(&mut self, at: usize, request: &Request) {
        let credits = &mut self.teams[at].credits;
        let found = position(credits, &request.kind, |(kind, _)| kind);
        if let Ok(at) = found {
            credits[at].1 = (credits[at].1 + 1.0).min(MAX_CREDIT);
        }
    }

    /// Returns the time after which a refused request would be admitted if
    /// the demand stays as it is, in ms.
    fn wait_ms(&self, at: usize, request: &Request, over_ms: f32) -> u64 {
        let backlog_ms = self.capacity.map_or(0.0, |capacity| {
            (capacity.wait_ms - self.reference_ms()).max(0.0)
        });
        let fraction = self.teams[at].fraction.clamp(0.1, 1.0);
        let excess_ms = (1.0 / fraction - 1.0) * 1000.0;
        let wait_ms = over_ms.max(backlog_ms) + excess_ms;
        // Callers honour up to a third of their time; those that were refused
        // together must not return together.
        let most_ms = (request.left_ms / 3.0).min(RETRY_AFTER_MS.1);
        let spread = mix(self.seed ^ request.caller) % 512;
        let factor = 0.75 + spread as f32 / 1024.0;
        let wait_ms = wait_ms.max(RETRY_AFTER_MS.0) * factor;
        wait_ms.min(most_ms.max(RETRY_AFTER_MS.0)) as u64
    }

    fn refuse(
        &mut self,
        now: u64,
        at: usize,
        request: &Request,
        reason: Reason,
        wait_ms: u64,
    ) -> Shortage {
        if reason != Reason::Early {
            self.repeats.record(now, request.caller, now + wait_ms);
        }
        let team = &self.teams[at];
        Shortage {
            reason,
            wait_ms,
            share: team.share,
            demand: team.demand,
            total_demand: self.demand,
            capacity: self.room,
            age_ms: now.saturating_sub(self.updated_at),
            backlog_ms: self.capacity.map_or(0.0, |now| now.wait_ms),
            predicted_ms: request.predicted_ms,
        }
    }

    fn record_kind(&mut self, request: &Request, work: Work) {
        let ms = work.ms as f32;
        for kind in &mut self.kinds {
            kind.part *= 1.0 - 1.0 / MIX_REQUESTS;
        }
        // Kinds that nobody asks for any more would keep their tight target.
        self.kinds.retain(|kind| kind.part > 1e-3);
        let found = position(&self.kinds, &request.kind, |kind| &kind.kind);
        let at = found.unwrap_or_else(|at| {
            let kind = Kind {
                kind: request.kind,
                priority: request.priority,
                target_ms: request.target_ms,
                part: 0.0,
                mean_ms: ms,
                bias: 1.0,
            };
            self.kinds.insert(at, kind);
            at
        });
        let kind = &mut self.kinds[at];
        kind.priority = request.priority;
        kind.target_ms = request.target_ms;
        kind.part += ms;
        kind.mean_ms += (ms - kind.mean_ms) * SAMPLE_WEIGHT;
    }

    fn team(&mut self, hash: u32) -> usize {
        let found = position(&self.teams, &hash, |team| &team.hash);
        found.unwrap_or_else(|at| {
            let total =
                Total { team: hash, demand: 0, admitted: 0, finished: 0 };
            let team = Team {
                hash,
                own: Entry { total, demand: 0.0, finished: 0.0 },
                seen: total,
                weight: 0.0,
                demand: 0.0,
                share: 0.0,
                fraction: self.fraction,
                credits: Vec::new(),
            };
            self.teams.insert(at, team);
            at
        })
    }
}

impl Entry {
    /// Updates the totals, and the rates by what was added in `elapsed_ms`.
    fn advance(
        &mut self,
        new: Total,
        elapsed_ms: f32,
        weight: f32,
        is_gap: bool,
    ) {
        if !is_gap && elapsed_ms > 0.0 {
            let rate = |new: u64, old: u64| {
                new.saturating_sub(old) as f32 / elapsed_ms
            };
            let demand = rate(new.demand, self.total.demand);
            let finished = rate(new.finished, self.total.finished);
            self.demand += (demand - self.demand) * weight;
            self.finished += (finished - self.finished) * weight;
        }
        self.total = new;
    }
}

fn class_of(priority: u32) -> usize {
    priority.min(2) as usize
}
