//! Admission under load, in virtual time: the same arrivals with each way to
//! decide, on nodes that learn of each other late.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use azuremount::decide::{
    admission::{Controller, Request, Total, Work},
    route::{
        Availability, Identity, Policy, Pool, RouteRequest, Ticket,
        VersionRule, Weights,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Age of what nodes know of each other, in ms.
const NEWS_MS: u64 = 300;
/// Time that an engine takes to read a token, in ms.
const TOKEN_MS: f32 = 0.02;
/// Time of a decode step of a request that runs alone, in ms.
const STEP_MS: f32 = 16.0;
const TEAMS: usize = 16;
const END_MS: u64 = 24_000;

/// Target in ms, priority, most tokens to read, tokens to write, and part of
/// the requests.
const KINDS: [(f32, u32, u32, u32, f32); 3] = [
    (800.0, 0, 3000, 40, 0.4),
    (1500.0, 1, 6000, 60, 0.4),
    (2000.0, 1, 17_000, 80, 0.2),
];

/// How requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By the wait at the best replica: the present rule.
    Present,
    /// By a limit on that wait, which lateness lowers.
    Limit,
    /// By shares of the capacity: [`Controller`].
    Shared,
    /// With full knowledge of all replicas, in one queue by team.
    Central,
}

/// What happens from 6 s to 12 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    Steady,
    Burst,
    HalfGone,
    OneTeam,
    RetryStorm,
    Largest,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    id: u64,
    at: u64,
    node: usize,
    team: usize,
    kind: usize,
    tokens: u32,
    leaves_at: u64,
    first_at: u64,
    tries: u32,
}

#[derive(Clone, Debug)]
struct Running {
    arrival: Arrival,
    ticket: Ticket,
    begun: Option<(Request, Work)>,
    left: f32,
    sent_at: u64,
    is_started: bool,
}

/// An engine: reads one prompt after the other in chunks between decode steps
/// of the requests that it runs.
#[derive(Clone, Debug, Default)]
struct Engine {
    queue: VecDeque<Running>,
    /// Requests that are being written, with the steps left.
    writing: Vec<Running>,
    is_gone: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Score {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests and those in time, by team and by kind and for the largest
    /// tenth of each kind.
    pub teams: Vec<(u32, u32)>,
    pub kinds: Vec<(u32, u32)>,
    pub largest: Vec<(u32, u32)>,
    /// Refusals while under half of the slots were taken and nothing waited.
    pub needless: u32,
    /// Requests in time by second.
    pub seconds: Vec<[u32; 3]>,
}

/// Time, totals, and requests in flight with their pending tokens by engine.
type Snapshot = (u64, Vec<Total>, Vec<(u32, u32)>);

struct Node {
    pool: Pool,
    controller: Controller,
    /// Multiple of the target that is admitted ([`Way::Limit`]).
    limit: f32,
    totals: VecDeque<Snapshot>,
}

pub struct World {
    way: Way,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    slots: usize,
    score: Score,
    retries: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: Vec<Arrival>,
    load: Load,
    rng: StdRng,
    /// Work admitted by team in the central queue.
    served: Vec<f32>,
    usual: Vec<f32>,
}

fn identities(engines: &[Engine], slots: usize) -> Vec<Identity> {
    engines
        .iter()
        .enumerate()
        .map(|(at, engine)| Identity {
            id: format!("{at:04}"),
            incarnation: 0,
            data_centre: String::new(),
            slots: slots as u32,
            reclaimable: false,
            price: 0,
            availability: match engine.is_gone {
                true => Availability::Leaving,
                false => Availability::Serving,
            },
            version: 1,
            is_version_certain: true,
        })
        .collect()
}

/// Returns the arrivals of one run: the same for each way.
fn arrivals(
    load: Load,
    nodes: usize,
    engines: usize,
    slots: usize,
) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(7);
    let mean = |of: fn(&(f32, u32, u32, u32, f32)) -> f32| -> f32 {
        KINDS.iter().map(|kind| kind.4 * of(kind)).sum()
    };
    let read_ms = mean(|kind| kind.2 as f32 * 0.4) * TOKEN_MS;
    let hold_ms = mean(|kind| kind.3 as f32) * STEP_MS * 1.8 + 2.0 * read_ms;
    // 0.85 of what the slots or the reading allow.
    let each = (slots as f32 / hold_ms).min(0.75 / read_ms);
    let rate = 0.85 * engines as f32 * each;
    let shares = team_shares();
    let mut all = Vec::new();
    let mut at = 0.0;
    while (at as u64) < END_MS {
        let is_on = (6000..12_000).contains(&(at as u64));
        let most = match load {
            Load::OneTeam if is_on => 1.0 + 5.0 * shares[1],
            Load::Burst | Load::RetryStorm if is_on => 1.7,
            _ => 1.0,
        };
        at -= (1.0 - rng.random::<f32>()).ln() / (rate * most);
        let draw: f32 = rng.random::<f32>() * most;
        let team = match draw {
            draw if load == Load::OneTeam && draw >= 1.0 => 1,
            _ => pick(&shares, rng.random()),
        };
        let kind = match load {
            Load::Largest if is_on && rng.random::<f32>() < 0.5 => 2,
            _ => pick(&KINDS.map(|kind| kind.4), rng.random()),
        };
        let part: f32 = match load {
            Load::Largest if is_on && kind == 2 => 1.0,
            _ => rng.random::<f32>().powi(3).mul_add(0.95, 0.05) * 1.4,
        };
        let tokens = KINDS[kind].2 as f32 * part.min(1.0);
        let now = at as u64;
        all.push(Arrival {
            id: all.len() as u64,
            at: now,
            node: rng.random_range(0..nodes),
            team,
            kind,
            tokens: tokens as u32,
            leaves_at: now + rng.random_range(6000..15_000),
            first_at: now,
            tries: 0,
        });
    }
    all
}

fn team_shares() -> Vec<f32> {
    let weights: Vec<f32> =
        (0..TEAMS).map(|team| 1.0 / (1.0 + team as f32)).collect();
    let total: f32 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / total).collect()
}

fn pick(parts: &[f32], mut draw: f32) -> usize {
    for (at, part) in parts.iter().enumerate() {
        if draw < *part {
            return at;
        }
        draw -= part;
    }
    parts.len() - 1
}

impl World {
    pub fn run(
        way: Way,
        load: Load,
        nodes: usize,
        engines: usize,
        slots: usize,
    ) -> Score {
        let arrivals = arrivals(load, nodes, engines, slots);
        let engines = vec![Engine::default(); engines];
        let list = identities(&engines, slots);
        let nodes = (0..nodes)
            .map(|at| {
                let weights = Weights {
                    token_ms: TOKEN_MS,
                    hold_ms: 1000.0,
                    batch_ms: 1.5,
                    reclaim_ms: 0.0,
                    ..Weights::default()
                };
                let mut pool = Pool::open(Policy::Cost, weights, at as u64);
                pool.set_replicas("", &list);
                pool.set_peers(nodes - 1);
                Node {
                    pool,
                    controller: Controller::open(at as u64 * 77),
                    limit: 1.5,
                    totals: VecDeque::new(),
                }
            })
            .collect();
        let score = Score {
            teams: vec![(0, 0); TEAMS],
            kinds: vec![(0, 0); KINDS.len()],
            largest: vec![(0, 0); KINDS.len()],
            seconds: vec![[0; 3]; END_MS as usize / 1000 + 20],
            ..Score::default()
        };
        let mut world = World {
            way,
            nodes,
            engines,
            slots,
            score,
            retries: BinaryHeap::new(),
            waiting: Vec::new(),
            load,
            rng: StdRng::seed_from_u64(3),
            served: vec![0.0; TEAMS],
            usual: team_shares(),
        };
        world.drive(&arrivals);
        world.score
    }

    fn drive(&mut self, arrivals: &[Arrival]) {
        let mut next = 0;
        let mut retried: Vec<Arrival> = Vec::new();
        for now in 1..END_MS + 16_000 {
            self.change_engines(now);
            if now % 50 == 0 {
                self.exchange(now);
            }
            while next < arrivals.len() && arrivals[next].at <= now {
                let arrival = arrivals[next];
                self.score.asked += 1;
                let (asked, _) = &mut self.score.teams[arrival.team];
                *asked += 1;
                self.score.kinds[arrival.kind].0 += 1;
                if is_largest(&arrival) {
                    self.score.largest[arrival.kind].0 += 1;
                }
                self.arrive(now, arrival, &mut retried);
                next += 1;
            }
            while let Some(&Reverse((at, index))) = self.retries.peek()
                && at <= now
            {
                self.retries.pop();
                let arrival = retried[index as usize];
                self.arrive(now, arrival, &mut retried);
            }
            if self.way == Way::Central {
                self.serve_central(now, &mut retried);
            }
            for at in 0..self.engines.len() {
                self.step(now, at);
            }
        }
    }

    /// Takes half of the replicas away and returns them.
    fn change_engines(&mut self, now: u64) {
        if self.load != Load::HalfGone || !matches!(now, 6000 | 6400 | 12_000)
        {
            return;
        }
        // At 6 s they crash; at 6.4 s the nodes know; at 12 s they are back.
        let half = self.engines.len() / 2;
        let mut lost = Vec::new();
        for engine in &mut self.engines[..half] {
            engine.is_gone = now < 12_000;
            lost.extend(engine.queue.drain(..));
            lost.append(&mut engine.writing);
        }
        for running in lost {
            let node = &mut self.nodes[running.arrival.node];
            node.pool.record_end(now, running.ticket, false, None);
            if running.is_started {
                continue;
            }
            self.score.late += 1;
            self.score.seconds[running.arrival.first_at as usize / 1000][1] +=
                1;
        }
        if now >= 6400 {
            let list = identities(&self.engines, self.slots);
            for node in &mut self.nodes {
                node.pool.set_replicas("", &list);
            }
        }
    }

    /// Lets every node learn what the others had `NEWS_MS` ago.
    fn exchange(&mut self, now: u64) {
        let count = self.nodes.len();
        for node in &mut self.nodes {
            let totals = node.controller.totals().collect();
            let loads = node.pool.own_loads();
            let loads = loads.map(|(_, load, pending)| (load, pending));
            let loads = loads.collect();
            node.totals.push_back((now, totals, loads));
            if node.totals.len() as u64 > NEWS_MS / 50 {
                node.totals.pop_front();
            }
        }
        // Each node reports every 300 ms, not all in the same moment.
        let mut sums = vec![(0, 0); self.engines.len()];
        for node in &self.nodes {
            for (sum, load) in sums.iter_mut().zip(&node.totals[0].2) {
                *sum = (sum.0 + load.0, sum.1 + load.1);
            }
        }
        for to in 0..count {
            if self.way == Way::Shared {
                for from in 0..count {
                    let is_turn = (now / 50 + from as u64).is_multiple_of(6);
                    if from == to || !is_turn {
                        continue;
                    }
                    let totals = self.nodes[from].totals[0].1.clone();
                    let node = &mut self.nodes[to];
                    node.controller.record_report(now, from as u64, &totals);
                }
            }
            let own = self.nodes[to].totals[0].2.clone();
            let node = &mut self.nodes[to];
            if (now / 50 + to as u64).is_multiple_of(6) {
                for (at, (sum, own)) in sums.iter().zip(own).enumerate() {
                    let others = (sum.0 - own.0, sum.1 - own.1);
                    node.pool.record_others_load_at(
                        now, at, others.0, others.1, NEWS_MS,
                    );
                }
            }
            if self.way == Way::Shared {
                let capacity = node.pool.capacity(now);
                node.controller.update(now, capacity, count);
            }
        }
    }

    fn arrive(
        &mut self,
        now: u64,
        arrival: Arrival,
        retried: &mut Vec<Arrival>,
    ) {
        if self.way == Way::Central {
            self.waiting.push(arrival);
            return;
        }
        let ask = RouteRequest {
            tokens: arrival.tokens,
            blocks: &[],
            block_ends: &[],
            excluded: &[],
            version: VersionRule::Any,
        };
        let node = &mut self.nodes[arrival.node];
        let Some(choice) = node.pool.pick(now, &ask) else {
            return self.refuse(now, arrival, 300, retried);
        };
        let (target, priority, ..) = KINDS[arrival.kind];
        let factor = [2.5, 2.0][priority as usize];
        let mut begun = None;
        let refused = match self.way {
            Way::Present => (choice.predicted_ms > target * factor)
                .then_some((choice.predicted_ms - target / 2.0) as u64),
            Way::Limit => (choice.predicted_ms > target * node.limit)
                .then_some((choice.predicted_ms - target / 2.0) as u64),
            _ => {
                let request = Request {
                    team: arrival.team as u32 + 1,
                    kind: arrival.kind as u64,
                    caller: arrival.id,
                    priority,
                    target_ms: target,
                    left_ms: (arrival.leaves_at - now) as f32,
                    tokens: arrival.tokens,
                    predicted_ms: choice.predicted_ms,
                };
                match node.controller.admit(now, &request) {
                    Ok(work) => {
                        begun = Some((request, work));
                        None
                    }
                    Err(shortage) => Some(shortage.wait_ms),
                }
            }
        };
        if let Some(wait_ms) = refused {
            node.pool.cancel_unsent(choice.ticket, now);
            return self.refuse(now, arrival, wait_ms, retried);
        }
        let at: usize = choice.id.parse().unwrap();
        if self.engines[at].is_gone {
            let node = &mut self.nodes[arrival.node];
            node.pool.record_end(now, choice.ticket, false, None);
            return self.refuse(now, arrival, 300, retried);
        }
        self.send(now, at, arrival, choice.ticket, begun);
    }

    fn send(
        &mut self,
        now: u64,
        at: usize,
        arrival: Arrival,
        ticket: Ticket,
        begun: Option<(Request, Work)>,
    ) {
        let running = Running {
            arrival,
            ticket,
            begun,
            left: arrival.tokens as f32 * TOKEN_MS,
            sent_at: now,
            is_started: false,
        };
        // More urgent prompts overtake others that wait.
        let queue = &mut self.engines[at].queue;
        let priority = KINDS[arrival.kind].1;
        let place = queue
            .iter()
            .skip(1)
            .position(|other| KINDS[other.arrival.kind].1 > priority);
        match place {
            Some(place) => queue.insert(place + 1, running),
            None => queue.push_back(running),
        }
    }

    fn refuse(
        &mut self,
        now: u64,
        arrival: Arrival,
        wait_ms: u64,
        retried: &mut Vec<Arrival>,
    ) {
        let taken: usize =
            self.engines.iter().map(|engine| engine.writing.len()).sum();
        let queued: usize =
            self.engines.iter().map(|engine| engine.queue.len()).sum();
        let there =
            self.engines.iter().filter(|engine| !engine.is_gone).count();
        if taken * 2 < there * self.slots && queued * 4 < there {
            self.score.needless += 1;
        }
        let left = arrival.leaves_at.saturating_sub(now);
        let is_hasty =
            self.load == Load::RetryStorm && self.rng.random::<f32>() < 0.5;
        let wait_ms = if is_hasty { 30 } else { wait_ms.max(50) };
        // Elsewhere nobody returns, so that the central queue is a limit.
        let returns = self.load == Load::RetryStorm;
        if returns && arrival.tries < 6 && wait_ms * 3 < left {
            let tries = arrival.tries + 1;
            let index = retried.len() as u64;
            // The target counts from each attempt.
            retried.push(Arrival { at: now + wait_ms, tries, ..arrival });
            self.retries.push(Reverse((now + wait_ms, index)));
            return;
        }
        self.score.refused += 1;
        self.score.seconds[arrival.first_at as usize / 1000][2] += 1;
    }

    /// Serves the request that is due first of the team with the least work
    /// for its weight, where a replica can start it in time.
    fn serve_central(&mut self, now: u64, retried: &mut Vec<Arrival>) {
        let is_due = |one: &Arrival| {
            now + read_ms(one) as u64 <= one.at + KINDS[one.kind].0 as u64
        };
        let waiting = std::mem::take(&mut self.waiting);
        let (waiting, missed) = waiting.into_iter().partition(is_due);
        self.waiting = waiting;
        for one in missed {
            self.refuse(now, one, 500, retried);
        }
        let mut free: Vec<usize> = (0..self.engines.len())
            .filter(|&at| {
                let engine = &self.engines[at];
                !engine.is_gone
                    && engine.queue.is_empty()
                    && engine.writing.len() < self.slots
            })
            .collect();
        while let Some(at) = free.pop() {
            let (served, usual) = (&self.served, &self.usual);
            let best = (0..self.waiting.len()).min_by(|&one, &other| {
                let key = |at: usize| {
                    let one = &self.waiting[at];
                    let due = one.at as f32 + KINDS[one.kind].0 - read_ms(one);
                    (served[one.team] / usual[one.team] / 2000.0, due)
                };
                let (one, other) = (key(one), key(other));
                one.0
                    .floor()
                    .total_cmp(&other.0.floor())
                    .then(one.1.total_cmp(&other.1))
            });
            let Some(best) = best else { return };
            let arrival = self.waiting.swap_remove(best);
            self.served[arrival.team] +=
                arrival.tokens as f32 * TOKEN_MS / self.engines.len() as f32;
            let ask = RouteRequest {
                tokens: arrival.tokens,
                blocks: &[],
                block_ends: &[],
                excluded: &[],
                version: VersionRule::Any,
            };
            let choice = self.nodes[0].pool.pick(now, &ask).unwrap();
            let arrival = Arrival { node: 0, ..arrival };
            self.send(now, at, arrival, choice.ticket, None);
        }
        let least = self.served.iter().zip(&self.usual);
        let most = least.map(|(a, b)| a / b).fold(0.0, f32::max);
        // A team that was idle does not catch up.
        for (served, usual) in self.served.iter_mut().zip(&self.usual) {
            *served = served.max((most - 4000.0) * usual);
        }
    }

    /// Runs one ms of an engine.
    fn step(&mut self, now: u64, at: usize) {
        let slots = self.slots;
        let engine = &mut self.engines[at];
        if engine.is_gone {
            return;
        }
        // Decode steps of a full batch take a quarter of the time.
        let batch = engine.writing.len() as f32 / slots as f32;
        let mut budget = 1.0 - 0.25 * batch;
        let mut started = Vec::new();
        while budget > 0.0 {
            while let Some(front) = engine.queue.front()
                && front.arrival.leaves_at < now
            {
                let gone = engine.queue.pop_front().unwrap();
                let node = &mut self.nodes[gone.arrival.node];
                node.pool.abandon(gone.ticket, now, false);
                self.score.late += 1;
                self.score.seconds[gone.arrival.first_at as usize / 1000]
                    [1] += 1;
            }
            if engine.writing.len() >= slots {
                break;
            }
            let Some(front) = engine.queue.front_mut() else { break };
            let used = front.left.min(budget);
            front.left -= used;
            budget -= used;
            if front.left <= 0.0 {
                let mut done = engine.queue.pop_front().unwrap();
                done.is_started = true;
                done.left = KINDS[done.arrival.kind].3 as f32 * STEP_MS;
                started.push(done.clone());
                engine.writing.push(done);
            }
        }
        let pace = 1.0 / (1.0 + batch);
        let mut ended = Vec::new();
        engine.writing.retain_mut(|one| {
            one.left -= pace;
            if one.left <= 0.0 {
                ended.push(one.clone());
            }
            one.left > 0.0
        });
        for one in started {
            self.record_first(now, &one);
        }
        for one in ended {
            let held_ms = (now - one.sent_at) as f32;
            let node = &mut self.nodes[one.arrival.node];
            node.pool.record_end(now, one.ticket, true, Some(held_ms));
            node.controller
                .record_written(KINDS[one.arrival.kind].3 as f32 * 20.0);
        }
    }

    fn record_first(&mut self, now: u64, one: &Running) {
        let arrival = &one.arrival;
        let target = KINDS[arrival.kind].0;
        let after_ms = (now - arrival.at) as f32;
        let node = &mut self.nodes[arrival.node];
        node.pool.record_progress(now, one.ticket, true);
        if let Some((request, work)) = &one.begun {
            node.controller.record_first_token(request, *work, after_ms);
        }
        let is_late = after_ms > target;
        // A limit rises by a hundredth and falls by a tenth.
        node.limit = match is_late {
            true => (node.limit * 0.9).max(0.1),
            false => (node.limit + 0.01).min(1.5),
        };
        let second = arrival.first_at as usize / 1000;
        self.score.seconds[second][usize::from(is_late)] += 1;
        if is_late {
            self.score.late += 1;
            return;
        }
        self.score.in_time += 1;
        self.score.teams[arrival.team].1 += 1;
        self.score.kinds[arrival.kind].1 += 1;
        if is_largest(arrival) {
            self.score.largest[arrival.kind].1 += 1;
        }
    }
}

/// Returns the time to read a prompt at an engine with a full batch.
fn read_ms(arrival: &Arrival) -> f32 {
    arrival.tokens as f32 * TOKEN_MS / 0.74 + 3.0
}

/// Whether the prompt belongs to the largest tenth of its kind.
fn is_largest(arrival: &Arrival) -> bool {
    arrival.tokens as f32 > KINDS[arrival.kind].2 as f32 * 0.93
}

/// Guards against queues that fill until every answer is late, and against
/// starved kinds and sizes.
#[test]
fn burst_is_refused_and_admitted_requests_are_in_time() {
    let run = |way| World::run(way, Load::Burst, 10, 24, 16);
    let (shared, present) = (run(Way::Shared), run(Way::Present));
    let limit = run(Way::Central).in_time as f32;
    assert!(shared.in_time as f32 >= 0.93 * limit, "{limit} {shared:?}");
    assert!(shared.in_time > present.in_time, "{shared:?} {present:?}");
    assert!(shared.late * 5 <= shared.refused, "{shared:?}");
    let share = |(asked, served): (u32, u32)| served as f32 / asked as f32;
    let mean = share((shared.asked, shared.in_time));
    for (kind, largest) in shared.kinds.iter().zip(&shared.largest) {
        assert!(share(*kind) >= mean / 4.0, "{shared:?}");
        assert!(share(*largest) >= share(*kind) / 2.0, "{shared:?}");
    }
}

/// Guards against refusals of the other teams while one team floods.
#[test]
fn flood_of_one_team_is_refused_to_that_team() {
    let score = World::run(Way::Shared, Load::OneTeam, 10, 24, 16);
    let share =
        |team: usize| score.teams[team].1 as f32 / score.teams[team].0 as f32;
    let others = (0..TEAMS).filter(|team| *team != 1).map(share);
    let least = others.fold(1.0, f32::min);
    assert!(least >= 0.85 && share(1) < least, "{score:?}");
}

/// Prints the table in `docs/design/admission.md`.
pub fn print_table() {
    let sizes = [(10, 24, 16), (74, 140, 16), (42, 90, 64)];
    for (nodes, engines, slots) in sizes {
        for load in [
            Load::Steady,
            Load::Burst,
            Load::HalfGone,
            Load::OneTeam,
            Load::RetryStorm,
            Load::Largest,
        ] {
            let wanted = std::env::var("LOAD").unwrap_or_default();
            if !format!("{nodes} {load:?}").contains(&wanted) {
                continue;
            }
            for way in [Way::Present, Way::Limit, Way::Shared, Way::Central] {
                let score = World::run(way, load, nodes, engines, slots);
                let share = |(asked, in_time): &(u32, u32)| {
                    *in_time as f32 / (*asked).max(1) as f32
                };
                let quiet = score.teams.iter().enumerate();
                let quiet = quiet.filter(|(team, _)| *team != 1);
                let quiet = quiet.map(|(_, team)| share(team));
                let quiet = quiet.fold(1.0, f32::min);
                println!(
                    "{nodes:3} {load:?} {way:?}: in time {:.3} late {:.3} \
                     refused {:.3} least other team {:.2} flooding {:.2} kinds \
                     {:.2?} largest {:.2?} needless {}",
                    score.in_time as f32 / score.asked as f32,
                    score.late as f32 / score.asked as f32,
                    score.refused as f32 / score.asked as f32,
                    quiet,
                    share(&score.teams[1]),
                    score.kinds.iter().map(share).collect::<Vec<_>>(),
                    score.largest.iter().map(share).collect::<Vec<_>>(),
                    score.needless,
                );
                if std::env::var_os("SECONDS").is_some() {
                    println!("    {:?}", &score.seconds[4..16]);
                }
            }
        }
    }
}
