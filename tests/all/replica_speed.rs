//! Replicas of one service that differ in speed, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use azuremount::decide::{
    route::{
        Availability, Identity, Policy, Pool, RouteRequest, Ticket,
        VersionRule, Weights,
    },
    speed::{Report, Sender, Switch, readable_figure},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const FORMER_CHOICES: u64 = 5;

fn identities(count: usize, slots: u32) -> Vec<Identity> {
    (0..count)
        .map(|number| Identity {
            id: format!("r{number:03}"),
            incarnation: 0,
            data_centre: "a".to_owned(),
            slots,
            reclaimable: false,
            price: 0,
            availability: Availability::Serving,
            version: 1,
            is_version_certain: true,
        })
        .collect()
}

fn request(tokens: u32) -> RouteRequest<'static> {
    RouteRequest {
        tokens,
        blocks: &[],
        block_ends: &[],
        excluded: &[],
        version: VersionRule::Any,
    }
}

/// Ways to choose a replica that are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The pool without speeds.
    Present,
    /// The pool with speeds.
    Speed,
    /// The better of two replicas by load and the mean latency seen there.
    TwoChoices,
    /// The replica with the lowest share of a limit that follows the
    /// gradient of its latency.
    Gradient,
}

const WAYS: [Way; 4] =
    [Way::Present, Way::Speed, Way::TwoChoices, Way::Gradient];

/// A deployment and its load.
#[derive(Clone, Copy)]
struct Case {
    nodes: usize,
    replicas: usize,
    slots: u32,
    /// Requests a second at all nodes.
    rate: f64,
    tokens: (u32, u32),
    pieces: (u32, u32),
    /// Time for a prompt token, of a step, and for each request in it, in ms.
    token_ms: f64,
    step_ms: f64,
    each_ms: f64,
    /// Spread of the times of requests, as a log.
    noise: f64,
    target_ms: f64,
    /// Share of the replicas that are slow, how much, and from when to when.
    slow: (f64, f64, u64, u64),
    /// Share of the time in which a replica takes 2.5 times as long, for 600
    /// ms each time.
    bursts: f64,
    figures: Figures,
    seconds: u64,
    seed: u64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Figures {
    None,
    True,
    /// 100 at all times.
    Usual,
    /// Any number up to 1000.
    Random,
}

const ENGINES: Case = Case {
    nodes: 10,
    replicas: 20,
    slots: 16,
    rate: 60.0,
    tokens: (500, 4000),
    pieces: (40, 160),
    token_ms: 0.02,
    step_ms: 8.0,
    each_ms: 0.3,
    noise: 0.2,
    target_ms: 350.0,
    slow: (0.0, 1.0, 0, u64::MAX),
    bursts: 0.15,
    figures: Figures::True,
    seconds: 30,
    seed: 1,
};

const PLAIN: Case = Case {
    replicas: 4,
    slots: 6,
    rate: 350.0,
    tokens: (0, 1),
    pieces: (0, 1),
    step_ms: 20.0,
    each_ms: 2.0,
    target_ms: 120.0,
    ..ENGINES
};

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    in_time: f64,
    p99: f64,
    /// Share of the requests that went to slow replicas in the second half.
    slow_share: f64,
    /// Replicas declared slow that were not.
    false_alarms: usize,
    /// Time until the first slow replica was declared slow, and until the
    /// last was declared well, in ms after the change.
    noticed: Option<u64>,
    recovered: Option<u64>,
    /// Highest less lowest share of a replica in windows of a second.
    swing: f64,
    /// Mean log of actual to predicted time, by fast and slow replicas.
    calibration: [f64; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    First(usize),
    End(usize),
    Round,
}

struct Flight {
    node: usize,
    replica: usize,
    ticket: Option<Ticket>,
    sent: u64,
    first: u64,
    end: u64,
    pieces: u32,
    predicted: f32,
    sample: Option<f32>,
}

/// The state of the ways that are not in the product, of one node.
#[derive(Clone)]
struct Rival {
    in_flight: Vec<f64>,
    others: Vec<f64>,
    latency: Vec<f64>,
    least: Vec<f64>,
    limit: Vec<f64>,
}

fn run(case: Case, way: Way) -> Outcome {
    let mut rng = StdRng::seed_from_u64(case.seed);
    let mut world = StdRng::seed_from_u64(case.seed + 1);
    let is_plain = case.tokens.1 <= 1;
    let weights = Weights {
        token_ms: 0.02,
        hold_ms: if is_plain { 50.0 } else { 1000.0 },
        batch_ms: if is_plain { 10.0 } else { 1.5 },
        reclaim_ms: 0.0,
        tolerance_ms: if is_plain { 1.0 } else { 5.0 },
        ..Weights::default()
    };
    let list = identities(case.replicas, case.slots);
    let mut pools: Vec<Pool> = (0..case.nodes)
        .map(|node| {
            let mut pool = Pool::open(Policy::Cost, weights, node as u64);
            pool.set_speed_switch(match way {
                Way::Speed => Switch::Auto,
                _ => Switch::Off,
            });
            pool.set_replicas("a", &list);
            pool.set_peers(case.nodes - 1);
            pool
        })
        .collect();
    let rival = Rival {
        in_flight: vec![0.0; case.replicas],
        others: vec![0.0; case.replicas],
        latency: vec![0.0; case.replicas],
        least: vec![f64::MAX; case.replicas],
        limit: vec![f64::from(case.slots); case.replicas],
    };
    let mut rivals = vec![rival; case.nodes];
    let slow_count = (case.replicas as f64 * case.slow.0).round() as usize;
    let bursts: Vec<Vec<bool>> = (0..case.replicas)
        .map(|_| {
            let count = case.seconds as usize * 1000 / 600 + 20;
            (0..count).map(|_| world.random_bool(case.bursts)).collect()
        })
        .collect();
    let lasting = |replica: usize, now: u64| {
        let is_slow =
            replica < slow_count && now >= case.slow.2 && now < case.slow.3;
        if is_slow { case.slow.1 } else { 1.0 }
    };
    let burst = |replica: usize, now: u64| {
        let at = (now + 37 * replica as u64) / 600;
        if bursts[replica].get(at as usize) == Some(&true) { 2.5 } else { 1.0 }
    };
    let mut running = vec![0_u32; case.replicas];
    let mut prefill_until = vec![0_u64; case.replicas];
    let mut slot_ends: Vec<Vec<u64>> =
        vec![vec![0; case.slots as usize]; case.replicas];
    let mut flights: Vec<Flight> = Vec::new();
    let mut events = BinaryHeap::new();
    events.push(Reverse((0_u64, Event::Arrive)));
    events.push(Reverse((300, Event::Round)));
    // What each node said a round ago.
    let mut said: Vec<Vec<(u32, u32)>> = Vec::new();
    let mut words: Vec<Vec<Report>> = Vec::new();
    let mut latencies: Vec<f64> = Vec::new();
    let mut outcome = Outcome::default();
    let mut served = 0_u64;
    let mut late_half = (0_u64, 0_u64);
    let mut window = vec![0_u64; case.replicas];
    let mut swing = 0.0_f64;
    let mut logs = [(0.0, 0.0); 2];
    let mut slow_now = vec![false; case.replicas];
    let end = case.seconds * 1000;
    while let Some(Reverse((now, event))) = events.pop() {
        match event {
            Event::Arrive => {
                if now >= end {
                    continue;
                }
                let gap = -(1.0 - world.random::<f64>()).ln() / case.rate;
                let next = now + (gap * 1000.0).round() as u64;
                events.push(Reverse((next, Event::Arrive)));
                let node = world.random_range(0..case.nodes);
                let tokens = world.random_range(case.tokens.0..case.tokens.1);
                let pieces = world.random_range(case.pieces.0..case.pieces.1);
                let noise: f64 =
                    (0..3).map(|_| world.random_range(-1.0..1.0)).sum::<f64>()
                        * case.noise;
                let mut predicted = 0.0;
                let (replica, ticket) = match way {
                    Way::Present | Way::Speed => {
                        let pool = &mut pools[node];
                        let ask = request(tokens);
                        let choice = pool
                            .pick_retrial(now, &ask)
                            .or_else(|| pool.pick(now, &ask))
                            .unwrap();
                        predicted = choice.predicted_ms;
                        let at = choice.id[1..].parse().unwrap();
                        (at, Some(choice.ticket))
                    }
                    Way::TwoChoices => {
                        let one = rng.random_range(0..case.replicas);
                        let two = rng.random_range(0..case.replicas);
                        let cost = |at: usize| {
                            let rival = &rivals[node];
                            let load = rival.in_flight[at] + rival.others[at];
                            (load + 1.0) * rival.latency[at].max(1.0)
                        };
                        (if cost(two) < cost(one) { two } else { one }, None)
                    }
                    Way::Gradient => {
                        let rival = &rivals[node];
                        let share = |at: usize| {
                            (rival.in_flight[at] + rival.others[at])
                                / rival.limit[at]
                        };
                        let least = (0..case.replicas)
                            .map(share)
                            .fold(f64::MAX, f64::min);
                        let ties: Vec<usize> = (0..case.replicas)
                            .filter(|at| share(*at) <= least + 0.03)
                            .collect();
                        (ties[rng.random_range(0..ties.len())], None)
                    }
                };
                rivals[node].in_flight[replica] += 1.0;
                let slowness = lasting(replica, now) * burst(replica, now);
                let others = f64::from(running[replica].min(case.slots));
                running[replica] += 1;
                let step = (case.step_ms + case.each_ms * others) * slowness;
                let slots = &mut slot_ends[replica];
                let slot = (0..slots.len()).min_by_key(|at| slots[*at]);
                let slot = slot.unwrap();
                let start = now.max(slots[slot]).max(match is_plain {
                    true => 0,
                    false => prefill_until[replica],
                });
                let prefill = f64::from(tokens) * case.token_ms * slowness;
                let first = start as f64
                    + (prefill + step * if is_plain { 1.0 } else { 4.0 })
                        * noise.exp();
                prefill_until[replica] = start + prefill as u64;
                let done = first + step * f64::from(pieces);
                slots[slot] = done as u64;
                let first = (first as u64).max(now + 1);
                window[replica] += 1;
                if now > case.slow.2.max(end / 2) && now < case.slow.3 {
                    late_half.1 += 1;
                    late_half.0 += u64::from(replica < slow_count);
                }
                flights.push(Flight {
                    node,
                    replica,
                    ticket,
                    sent: now,
                    first,
                    end: (done as u64).max(first),
                    pieces,
                    predicted,
                    sample: None,
                });
                let number = flights.len() - 1;
                events.push(Reverse((first, Event::First(number))));
            }
            Event::First(number) => {
                let flight = &mut flights[number];
                let at = flight.replica;
                events.push(Reverse((flight.end, Event::End(number))));
                let ms = (now - flight.sent) as f64;
                latencies.push(ms);
                served += u64::from(ms <= case.target_ms);
                if now > end / 3 && flight.predicted > 0.0 {
                    let group = usize::from(lasting(at, now) > 1.0);
                    logs[group].0 += (ms / f64::from(flight.predicted)).ln();
                    logs[group].1 += 1.0;
                }
                let rival = &mut rivals[flight.node];
                let weight = if rival.latency[at] == 0.0 { 1.0 } else { 0.2 };
                rival.latency[at] += (ms - rival.latency[at]) * weight;
                rival.least[at] = rival.least[at].min(ms) * 1.001;
                let gradient = (rival.least[at] * 2.0
                    / rival.latency[at].max(1.0))
                .clamp(0.5, 1.0);
                let limit = rival.limit[at] * gradient + 1.0;
                rival.limit[at] += (limit - rival.limit[at]) * 0.2;
                rival.limit[at] =
                    rival.limit[at].clamp(1.0, f64::from(case.slots));
                let Some(ticket) = flight.ticket else { continue };
                let pool = &mut pools[flight.node];
                pool.record_progress(now, ticket, true);
                if way == Way::Speed {
                    let id = &list[at].id;
                    match case.figures {
                        Figures::None => {}
                        Figures::True => {
                            let percent = burst(at, now) as f32 * 100.0;
                            pool.record_figure(now, id, 0, percent);
                        }
                        Figures::Usual => {
                            pool.record_figure(now, id, 0, 100.0);
                        }
                        Figures::Random => {
                            let percent = rng.random_range(10.0..1000.0);
                            pool.record_figure(now, id, 0, percent);
                        }
                    }
                    if case.figures == Figures::None {
                        pool.set_speed_switch(Switch::On);
                    }
                    flight.sample = pool.first_sample(now, ticket);
                    if let Some(sample) = flight.sample {
                        pool.record_sample(now, ticket, sample);
                    }
                }
            }
            Event::End(number) => {
                let flight = &flights[number];
                running[flight.replica] -= 1;
                rivals[flight.node].in_flight[flight.replica] -= 1.0;
                let Some(ticket) = flight.ticket else { continue };
                let pool = &mut pools[flight.node];
                if flight.pieces >= 8 {
                    let gap = (now - flight.first) as f32;
                    pool.record_gap(now, ticket, gap / flight.pieces as f32);
                }
                let held = (now - flight.sent) as f32;
                pool.record_end(now, ticket, true, Some(held));
            }
            Event::Round => {
                if now < end {
                    events.push(Reverse((now + 300, Event::Round)));
                }
                if (now / 300).is_multiple_of(3) {
                    let sum: u64 = window.iter().sum();
                    if now > 5000 && sum > 50 {
                        for count in &window {
                            let share = *count as f64 / sum as f64;
                            swing = swing.max(share);
                        }
                    }
                    window.fill(0);
                }
                // Word of a round ago arrives.
                let sums: Vec<(u32, u32)> = (0..case.replicas)
                    .map(|at| {
                        let all = said.iter().map(|one| one[at]);
                        all.fold((0, 0), |sum, one| {
                            (sum.0 + one.0, sum.1 + one.1)
                        })
                    })
                    .collect();
                for (node, pool) in pools.iter_mut().enumerate() {
                    for at in 0..case.replicas {
                        let own = said.get(node).map_or((0, 0), |one| one[at]);
                        let load = sums[at].0 - own.0;
                        let pending = sums[at].1 - own.1;
                        rivals[node].others[at] = f64::from(load);
                        pool.record_others_load_at(
                            now, at, load, pending, 300,
                        );
                    }
                    for (from, reports) in words.iter().enumerate() {
                        if from != node {
                            let sender =
                                Sender { ip: from as u32, incarnation: 1 };
                            let aged: Vec<Report> = reports
                                .iter()
                                .map(|report| Report {
                                    figure: report
                                        .figure
                                        .map(|(log, age)| (log, age + 300)),
                                    ..*report
                                })
                                .collect();
                            pool.record_reports(now, sender, &aged);
                        }
                    }
                }
                said = match way {
                    Way::Present | Way::Speed => pools
                        .iter()
                        .map(|pool| {
                            let loads = pool.own_loads();
                            loads
                                .map(|(_, count, left)| (count, left))
                                .collect()
                        })
                        .collect(),
                    _ => rivals
                        .iter()
                        .map(|rival| {
                            let all = rival.in_flight.iter();
                            all.map(|count| (*count as u32, 0)).collect()
                        })
                        .collect(),
                };
                // Seventy-four nodes may send one report each round.
                let most = if case.nodes > 40 { 1 } else { 8 };
                words = pools
                    .iter_mut()
                    .map(|pool| {
                        let reports = pool.take_reports(now, most);
                        reports
                            .iter()
                            .map(|one| Report::unpack(one.pack()))
                            .collect()
                    })
                    .collect();
                for (id, turn, _) in pools[0].take_speed_turns() {
                    let at: usize = id[1..].parse().unwrap();
                    use azuremount::decide::speed::Turn;
                    slow_now[at] = turn == Turn::Slow;
                    let is_slow = lasting(at, now) > 1.0;
                    if turn == Turn::Slow && !is_slow && now < case.slow.3 {
                        outcome.false_alarms += 1;
                    }
                    if turn == Turn::Slow && is_slow {
                        let after = now - case.slow.2;
                        outcome.noticed.get_or_insert(after);
                    }
                    if turn == Turn::Well
                        && at < slow_count
                        && now >= case.slow.3
                    {
                        outcome.recovered = Some(now - case.slow.3);
                    }
                }
            }
        }
    }
    latencies.sort_by(f64::total_cmp);
    outcome.in_time = served as f64 / latencies.len() as f64;
    outcome.p99 = latencies[latencies.len() * 99 / 100];
    outcome.slow_share = late_half.0 as f64 / late_half.1.max(1) as f64;
    outcome.swing = swing;
    outcome.calibration =
        logs.map(|(sum, count): (f64, f64)| (sum / count.max(1.0)).exp());
    outcome
}

/// Prints the comparison of docs/design/replica-speed.md.
#[test]
fn speeds_are_compared_with_other_ways_on_the_same_arrivals() {
    let third = (1.0 / 3.0, 2.0, 0, u64::MAX);
    let cases = [
        ("engines, bursts", ENGINES),
        ("third half as fast", Case { slow: third, ..ENGINES }),
        (
            "third, noise x2",
            Case { slow: third, noise: 0.4, bursts: 0.3, ..ENGINES },
        ),
        (
            "step x4 for each",
            Case { each_ms: 1.2, target_ms: 500.0, ..ENGINES },
        ),
        ("all alike, no bursts", Case { bursts: 0.0, ..ENGINES }),
        (
            "all half as fast",
            Case { slow: (1.0, 2.0, 0, u64::MAX), ..ENGINES },
        ),
        (
            "x0.4 from 10 to 20 s",
            Case { slow: (0.1, 2.5, 10_000, 20_000), ..ENGINES },
        ),
        ("figures are random", Case { figures: Figures::Random, ..ENGINES }),
        (
            "figures 100, third slow",
            Case { figures: Figures::Usual, slow: third, ..ENGINES },
        ),
        ("plain, bursts", PLAIN),
        (
            "plain, one half as fast",
            Case { slow: (0.25, 2.0, 0, u64::MAX), ..PLAIN },
        ),
        ("plain, random", Case { figures: Figures::Random, ..PLAIN }),
    ];
    for nodes in [1, 10, 74] {
        for (name, case) in cases {
            let scale = if nodes > 40 { 4 } else { 1 };
            let case = Case {
                nodes,
                replicas: case.replicas * scale,
                rate: case.rate * scale as f64,
                ..case
            };
            for way in WAYS {
                let seen = run(case, way);
                println!(
                    "{nodes:2} {name:24} {way:10?} in time {:.3} p99 {:5.0} \
                     slow {:.3} top {:.3} false {} noticed {:?} well {:?} \
                     real/predicted {:.2} {:.2}",
                    seen.in_time,
                    seen.p99,
                    seen.slow_share,
                    seen.swing,
                    seen.false_alarms,
                    seen.noticed,
                    seen.recovered,
                    seen.calibration[0],
                    seen.calibration[1],
                );
            }
        }
    }
}

/// A deployment whose replicas report no fourth figure is served as before:
/// the same seeds give the same choices whether speeds may count or not.
#[test]
fn without_figures_choices_are_the_same() {
    for seed in 0..FORMER_CHOICES {
        let case = Case { figures: Figures::None, seed, ..ENGINES };
        let picks = |switch: Switch| {
            let mut pool = Pool::open(Policy::Cost, Weights::default(), seed);
            pool.set_speed_switch(switch);
            pool.set_replicas("a", &identities(case.replicas, case.slots));
            pool.set_peers(3);
            let mut rng = StdRng::seed_from_u64(seed);
            let mut open: Vec<Ticket> = Vec::new();
            let mut ids = Vec::new();
            for step in 0..2000_u64 {
                let now = step * 7;
                let ask = request(rng.random_range(0..4000));
                let choice = pool
                    .pick_retrial(now, &ask)
                    .or_else(|| pool.pick(now, &ask))
                    .unwrap();
                ids.push((choice.id, choice.predicted_ms.to_bits()));
                open.push(choice.ticket);
                if rng.random_bool(0.7) {
                    let ticket = open.swap_remove(0);
                    pool.record_progress(now, ticket, true);
                    assert_eq!(pool.first_sample(now, ticket), None);
                    pool.record_gap(now, ticket, 9.0);
                    pool.record_end(now, ticket, true, Some(200.0));
                }
            }
            ids
        };
        assert_eq!(picks(Switch::Auto), picks(Switch::Off));
    }
}

/// Figures that are random, or that say 100 while a third of the replicas is
/// half as fast, cost no more than a hundredth of the requests in time.
#[test]
fn false_figures_do_no_harm() {
    let third = (1.0 / 3.0, 2.0, 0, u64::MAX);
    let random = Figures::Random;
    let usual = Figures::Usual;
    for case in [
        Case { figures: random, ..ENGINES },
        Case { figures: random, ..PLAIN },
        Case { figures: usual, slow: third, ..ENGINES },
    ] {
        let before = run(case, Way::Present).in_time;
        let now = run(case, Way::Speed).in_time;
        assert!(now > before - 0.01, "{now} instead of {before}");
    }
}

/// A third of the replicas is half as fast: without speeds, they get as many
/// requests as the others, and more of these are late.
#[test]
fn slow_replicas_get_fewer_requests() {
    for nodes in [1, 10] {
        let slow = (1.0 / 3.0, 2.0, 0, u64::MAX);
        let case = Case { nodes, slow, ..ENGINES };
        let before = run(case, Way::Present);
        let now = run(case, Way::Speed);
        assert!(now.in_time > before.in_time, "{now:?} {before:?}");
        assert!(now.slow_share < 0.2, "{now:?}");
    }
}

/// A figure that can't be true is not used: absent, negative, not a number or
/// huge.
#[test]
fn absurd_figures_are_ignored() {
    for percent in [0.0, -250.0, f32::NAN, f32::INFINITY, 1e9] {
        assert_eq!(readable_figure(percent), None, "{percent}");
    }
    let low = readable_figure(10.0).unwrap();
    let high = readable_figure(90_000.0).unwrap();
    assert!(low > -1.0 && high < 1.7);
}
