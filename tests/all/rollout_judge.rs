//! Judgement and exposure in virtual time, without a network.
//!
//! `cargo test --test all rollout_judge -- --nocapture` prints the table of
//! `docs/design/rollouts.md`.

use std::collections::BinaryHeap;

use azuremount::decide::rollout::{
    self, Action, LAST_STEP, Progress,
    evidence::{End, Sample, Tallies},
    exposure::Exposure,
    judge::{FixedWindow, Sequential, Verdict},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::rollouts::BOUNDS;

/// Time from the order to the deadline, in ms.
const DURATION_MS: u64 = 20_000;
/// Interval between two judgements, in ms.
const TICK_MS: u64 = 200;
/// Window of the method that is not in use, in ms.
const WINDOW_MS: u64 = 3000;
/// Runs of each case.
const RUNS: u64 = 20;
/// Numbers of nodes, and the requests a second of all of them.
const SITES: [(usize, f64); 3] = [(10, 60.0), (86, 150.0), (300, 300.0)];
/// Ordinary failures of each route, at any version.
const FAILURES: [f64; 4] = [0.0, 0.002, 0.14, 0.01];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Good,
    Crashes,
    Flapping,
    Burst,
    RetryStorm,
    PacketLoss,
    Failing,
    Slow,
    FailingLater,
    SlowUnderLoad,
    OneRoute,
}

impl Case {
    const ALL: [Case; 11] = [
        Case::Good,
        Case::Crashes,
        Case::Flapping,
        Case::Burst,
        Case::RetryStorm,
        Case::PacketLoss,
        Case::Failing,
        Case::Slow,
        Case::FailingLater,
        Case::SlowUnderLoad,
        Case::OneRoute,
    ];

    fn is_bad(self) -> bool {
        matches!(
            self,
            Case::Failing
                | Case::Slow
                | Case::FailingLater
                | Case::SlowUnderLoad
                | Case::OneRoute
        )
    }

    /// Returns the share of failures that a bad version adds.
    fn added_failures(self, at: u64, route: usize) -> f64 {
        match self {
            Case::Failing => 0.3,
            Case::FailingLater if at >= 6000 => 0.3,
            Case::OneRoute if route == 3 => 0.5,
            _ => 0.0,
        }
    }

    fn slowness(self, step: u32) -> f64 {
        match self {
            Case::Slow => 4.0,
            Case::SlowUnderLoad if step > 0 => 4.0,
            _ => 1.0,
        }
    }

    /// Returns how much more requests arrive, and how much longer they take.
    fn load(self, at: u64) -> (f64, f64) {
        match self {
            Case::Burst if (3000..7000).contains(&at) => (1.7, 2.0),
            Case::RetryStorm if (3000..9000).contains(&at) => (2.5, 3.0),
            _ => (1.0, 1.0),
        }
    }

    /// Returns the share of answers of either version that break off.
    fn breaks(self, at: u64, replica: u64) -> f64 {
        match self {
            // A sixth of the replicas ends, with what runs there.
            Case::Crashes if (4000..4300).contains(&at) => {
                f64::from(u8::from(replica.is_multiple_of(6)))
            }
            Case::Flapping => 0.03,
            _ => 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Method {
    Window,
    Sequential,
}

enum Judge {
    Window(FixedWindow),
    Sequential(Box<Sequential>),
}

#[derive(Debug, Default)]
struct Run {
    is_reverted: bool,
    is_completed: bool,
    /// Answers of the new version that its badness made bad.
    bad_answers: u64,
    exposed: u64,
    ended_at: u64,
    exceeds_bound: bool,
}

/// Answers on their way to the leader, the next one first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Arriving(std::cmp::Reverse<u64>, usize);

fn run(case: Case, method: Method, site: (usize, f64), seed: u64) -> Run {
    let mut rng = StdRng::seed_from_u64(seed);
    let (count, rate) = site;
    let mut nodes: Vec<Exposure> = (0..count)
        .map(|_| Exposure::open(BOUNDS, Some(count), rng.random()))
        .collect();
    let mut judge = match method {
        Method::Window => Judge::Window(FixedWindow::open(0, WINDOW_MS)),
        Method::Sequential => Judge::Sequential(Box::default()),
    };
    let mut samples: Vec<Sample> = Vec::new();
    let mut arriving = BinaryHeap::new();
    let mut sums = Tallies::default();
    let (mut step, mut step_at, mut sent) = (0, 0, 0u64);
    let mut run = Run::default();
    for now in 0..DURATION_MS + 5000 {
        let (more, longer) = case.load(now);
        if rng.random_bool((rate * more / 1000.0).min(1.0)) {
            let route = rng.random_range(0..FAILURES.len());
            let node = &mut nodes[rng.random_range(0..count)];
            let is_new = step >= LAST_STEP || node.allows(route as u64);
            node.record(route as u64, is_new);
            sent += 1;
            run.exposed += u64::from(is_new);
            let allowed = BOUNDS.share * sent as f64 + BOUNDS.slack;
            run.exceeds_bound |= step == 0 && run.exposed as f64 > allowed;
            // The new version's caches are cold at first.
            let warmth = now as f64 / 8000.0;
            let is_cached = rng.random_bool(match is_new {
                true => warmth.min(0.8),
                false => 0.8,
            });
            let prompt = if is_cached { 300 } else { 6000 };
            let work = 20.0 + 0.02 * f64::from(prompt);
            let noise = (rng.random::<f64>() * 2.0 - 1.0)
                + (rng.random::<f64>() * 2.0 - 1.0);
            let slowness = match is_new {
                true => case.slowness(step),
                false => 1.0,
            };
            let ms = work * longer * slowness * (0.5 * noise).exp();
            let added = match is_new {
                true => case.added_failures(now, route),
                false => 0.0,
            };
            let is_bad = rng.random_bool(added);
            run.bad_answers += u64::from(is_bad || slowness > 1.0);
            let replica = rng.random();
            let end = match case.breaks(now, replica) {
                breaks if rng.random_bool(breaks) => End::Broken,
                _ if is_bad || rng.random_bool(FAILURES[route]) => End::Failed,
                _ => End::Good,
            };
            samples.push(Sample {
                route: route as u64,
                step,
                is_new,
                prompt,
                answer: 0,
                first_ms: Some(ms as u32),
                whole_ms: None,
                end,
            });
            // Totals are sent every 300 ms; a lost one is made up for later.
            let mut at = now + ms as u64 + rng.random_range(0..400);
            let loss = if case == Case::PacketLoss { 0.4 } else { 0.02 };
            while rng.random_bool(loss) {
                at += 300;
            }
            let at = std::cmp::Reverse(at);
            arriving.push(Arriving(at, samples.len() - 1));
        }
        while let Some(Arriving(at, _)) = arriving.peek()
            && at.0 <= now
        {
            let Some(Arriving(_, sample)) = arriving.pop() else { break };
            sums.record(&samples[sample]);
        }
        if now % TICK_MS != 0 {
            continue;
        }
        let verdict = match &mut judge {
            Judge::Window(judge) if step == 0 => judge.judge(now, &sums),
            // A window is too long for a step.
            Judge::Window(judge) => match judge.judge(now, &sums) {
                Verdict::Bad(finding) => Verdict::Bad(finding),
                _ => Verdict::Good,
            },
            Judge::Sequential(judge) => judge.judge(&sums),
        };
        let progress = Progress {
            elapsed_ms: now,
            duration_ms: DURATION_MS,
            step,
            step_ms: now - step_at,
            verdict,
            has_room: true,
            is_moved: now >= step_at + 1500,
        };
        match rollout::next(&progress) {
            Some(Action::Step(next)) => {
                (step, step_at) = (next, now);
                nodes.iter_mut().for_each(|node| node.set_step(next));
            }
            Some(action) => {
                run.is_reverted = matches!(action, Action::Revert(_));
                run.is_completed = !run.is_reverted;
                run.ended_at = now;
                return run;
            }
            None => {}
        }
    }
    run
}

/// Guards against a good version that is reverted because of ordinary
/// failures, cold caches, crashes or load, a bad version that is completed, and
/// a share beyond its bound. Prints how the two methods compare.
#[test]
fn good_versions_complete_and_bad_ones_are_reverted() {
    println!(
        "| method | nodes | case | reverted | completed | bad answers | \
         exposed | end, s |\n|---|---|---|---|---|---|---|---|"
    );
    for method in [Method::Window, Method::Sequential] {
        for site in SITES {
            for case in Case::ALL {
                let runs: Vec<Run> = (0..RUNS)
                    .map(|seed| run(case, method, site, seed))
                    .collect();
                let count = |of: fn(&Run) -> bool| {
                    runs.iter().filter(|run| of(run)).count()
                };
                let mean = |of: fn(&Run) -> u64| {
                    let sum: u64 = runs.iter().map(of).sum();
                    sum as f64 / runs.len() as f64
                };
                let reverted = count(|run| run.is_reverted);
                let completed = count(|run| run.is_completed);
                println!(
                    "| {method:?} | {} | {case:?} | {reverted} | {completed} \
                     | {:.0} | {:.0} | {:.1} |",
                    site.0,
                    mean(|run| run.bad_answers),
                    mean(|run| run.exposed),
                    mean(|run| run.ended_at) / 1000.0,
                );
                assert_eq!(count(|run| run.exceeds_bound), 0, "{case:?}");
                if method == Method::Window {
                    continue;
                }
                match case.is_bad() {
                    true => assert_eq!(completed, 0, "{case:?} at {site:?}"),
                    false => assert!(
                        reverted <= 1,
                        "{case:?} at {site:?}: {reverted} of {RUNS} reverted"
                    ),
                }
            }
        }
    }
}

/// Guards against parts of the share that add up to more than the bound: many
/// nodes with few requests each, unequal ones, and nodes that restart.
#[test]
fn the_parts_of_all_nodes_stay_within_the_bound() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = [3, 10, 74, 300][seed as usize % 4];
        let mut nodes: Vec<Exposure> = (0..count)
            .map(|_| Exposure::open(BOUNDS, Some(count), rng.random()))
            .collect();
        let (mut sent, mut exposed) = (0u64, 0u64);
        for _ in 0..6000 {
            // The first node has half of the requests.
            let at = match rng.random_bool(0.5) {
                true => 0,
                false => rng.random_range(0..count),
            };
            if rng.random_bool(0.01) {
                nodes[at] = Exposure::open(BOUNDS, None, 0.0);
            }
            let route = rng.random_range(0..5);
            let is_new = nodes[at].allows(route);
            nodes[at].record(route, is_new);
            sent += 1;
            exposed += u64::from(is_new);
            let allowed = BOUNDS.share * sent as f64 + BOUNDS.slack;
            assert!(exposed as f64 <= allowed, "{exposed} of {sent}");
        }
        assert!(exposed as f64 >= 0.05 * sent as f64, "{exposed} of {sent}");
    }
}
