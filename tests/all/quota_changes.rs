//! Quotas of a team that the nodes learn of at different moments, or while
//! some of them stall.

use azuremount::decide::quota::{Allowance, Meter, Tolerance};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Interval between two rounds of reports, in ms.
const ROUND_MS: u64 = 300;
/// Nodes that one node reports to in a round.
const FANOUT: usize = 16;
/// Size of a request, in tokens.
const COST: u64 = 3000;
/// Length of the window in which use is bounded, in ms.
const WINDOW_MS: u64 = 8000;
/// Length of a play, in ms.
const PLAY_MS: u64 = 20_000;

/// A flood of one team.
#[derive(Clone, Copy, Debug)]
struct Flood {
    nodes: usize,
    /// Quota in tokens a second; the burst is as many tokens.
    rate: f64,
    /// Load as a multiple of the quota.
    times: f64,
    /// When the flood begins, in ms.
    floods_from_ms: u64,
    /// Longest time after the first node in which a node learns of the team,
    /// in ms.
    max_delay_ms: u64,
    /// Interval at which each node stalls, in ms; 0 for never.
    stall_interval_ms: u64,
    /// Duration of a stall, in ms.
    stall_ms: u64,
}

impl Flood {
    fn tolerance(&self) -> f64 {
        let units = 190_000.0;
        let window_ms = WINDOW_MS as f64;
        let stated = Tolerance { fraction: 0.1, units, window_ms };
        stated.units(self.rate, self.rate)
    }

    fn allowance(&self) -> Allowance {
        Allowance {
            rate: self.rate,
            burst: self.rate,
            heard: 1.0,
            propagation_delay_ms: (self.rounds() * ROUND_MS) as f64 / 2.0,
            nodes: self.nodes,
            tolerance: self.tolerance(),
        }
    }

    /// Returns the number of rounds until a node has reported to all others.
    fn rounds(&self) -> u64 {
        (self.nodes - 1).div_ceil(FANOUT).max(1) as u64
    }

    fn is_stalled(&self, now: u64, node: usize) -> bool {
        if self.stall_interval_ms == 0 {
            return false;
        }
        let phase = now + node as u64 * 997;
        phase % self.stall_interval_ms < self.stall_ms
    }

    /// Returns the largest number of tokens admitted in any window.
    fn max_in_window(&self, seed: u64) -> u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let allowance = self.allowance();
        let opens: Vec<u64> = (0..self.nodes)
            .map(|_| rng.random_range(0..=self.max_delay_ms))
            .collect();
        let mut meters: Vec<Option<Meter>> = vec![None; self.nodes];
        let mut was_stalled = vec![false; self.nodes];
        let mut reported: Vec<Vec<u64>> =
            vec![vec![0; self.nodes]; self.nodes];
        let mut admitted: Vec<(u64, u64)> = Vec::new();
        for now in 0..PLAY_MS {
            for node in 0..self.nodes {
                let is_stalled = self.is_stalled(now, node);
                if was_stalled[node]
                    && !is_stalled
                    && let Some(meter) = &mut meters[node]
                {
                    meter.record_stall(now, self.stall_ms);
                }
                was_stalled[node] = is_stalled;
                if meters[node].is_none() && now >= opens[node] {
                    let mut meter = Meter::open(now, allowance);
                    let totals = reported[node].iter().enumerate();
                    let totals = totals.filter(|(_, total)| **total > 0);
                    meter.deduct_first_totals(
                        totals.map(|(from, total)| (from as u64, *total)),
                    );
                    meters[node] = Some(meter);
                }
            }
            if now % ROUND_MS == 0 {
                self.report(now, &mut meters, &mut reported);
            }
            let times = match now < self.floods_from_ms {
                true => 0.5,
                false => self.times,
            };
            let mut left = self.rate * times / COST as f64 / 1000.0;
            while left > 0.0 {
                if rng.random_bool(left.min(1.0)) {
                    let node = rng.random_range(0..self.nodes);
                    if !self.is_stalled(now, node)
                        && let Some(meter) = &mut meters[node]
                        && meter.admit(now, allowance, COST, false).is_ok()
                    {
                        admitted.push((now, COST));
                    }
                }
                left -= 1.0;
            }
        }
        let (mut from, mut sum, mut most) = (0, 0, 0);
        for (at, cost) in &admitted {
            sum += cost;
            while admitted[from].0 + WINDOW_MS <= *at {
                sum -= admitted[from].1;
                from += 1;
            }
            most = most.max(sum);
        }
        most
    }

    fn report(
        &self,
        now: u64,
        meters: &mut [Option<Meter>],
        reported: &mut [Vec<u64>],
    ) {
        let round = now / ROUND_MS;
        for from in 0..meters.len() {
            let total = meters[from].as_ref().map(Meter::admitted_total);
            let Some(total) = total.filter(|total| *total > 0) else {
                continue;
            };
            for to in 0..meters.len() {
                let turn = (to + from) as u64 % self.rounds();
                let is_reported = turn == round % self.rounds();
                let is_stalled =
                    self.is_stalled(now, from) || self.is_stalled(now, to);
                if to == from || !is_reported || is_stalled {
                    continue;
                }
                reported[to][from] = total;
                if let Some(meter) = &mut meters[to] {
                    meter.record_total(now, from as u64, total, true);
                }
            }
        }
    }

    fn over(&self) -> Vec<String> {
        let bound = self.rate * 9.0 + self.tolerance();
        let runs = (0..3).map(|seed| (seed, self.max_in_window(seed)));
        let over = runs.filter(|(_, most)| *most as f64 > bound);
        over.map(|(seed, most)| {
            let share = most as f64 / bound;
            format!("seed {seed}: {share:.2} of the bound, {self:?}")
        })
        .collect()
    }
}

const NONE: Flood = Flood {
    nodes: 10,
    rate: 400_000.0,
    times: 6.0,
    floods_from_ms: 0,
    max_delay_ms: 0,
    stall_interval_ms: 0,
    stall_ms: 0,
};

/// Guards against a window beyond the quota of a team that was just added: the
/// nodes learn of it one after the other, each with a full bucket, and what
/// the others admitted before their first reports is not deducted.
#[test]
fn a_team_that_is_added_in_a_flood_keeps_to_its_quota() {
    let mut over = Vec::new();
    for nodes in [6, 10, 40, 86] {
        for max_delay_ms in [0, 300, 1000, 2000] {
            for rate in [31_000.0, 400_000.0] {
                for times in [2.0, 6.0] {
                    let flood =
                        Flood { nodes, rate, times, max_delay_ms, ..NONE };
                    over.extend(flood.over());
                }
            }
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}

/// Guards against a window beyond the quota because nodes that stall for a
/// second each add what the quota granted meanwhile.
#[test]
fn nodes_that_stall_in_a_flood_keep_to_the_quota() {
    let mut over = Vec::new();
    for nodes in [10, 86] {
        for stall_ms in [1000, 1500] {
            for stall_interval_ms in [3000, 6000] {
                for times in [2.0, 6.0] {
                    let flood = Flood {
                        nodes,
                        times,
                        floods_from_ms: 5000,
                        stall_interval_ms,
                        stall_ms,
                        ..NONE
                    };
                    over.extend(flood.over());
                }
            }
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}
