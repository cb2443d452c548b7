//! Admission under load, in virtual time, without processes or clocks.
//!
//! ```text
//! cargo bench --bench admit
//! ```
//!
//! One gate with 40 slots serves five teams of equal weight. A request holds
//! its slot for 800 to 1,200 ms and must start within 3 s. For comparison, a
//! plain first-in, first-out queue that refuses no request serves the same
//! arrivals.

use std::collections::{BTreeMap, VecDeque};

use azuremount::decide::admit::{Arrival, Gate, Room, Ticket};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 40;
const DURATION_MS: u64 = 120_000;
const START_WITHIN_MS: u64 = 3000;
const TEAMS: [&str; 5] = ["large", "small-1", "small-2", "small-3", "small-4"];

struct Request {
    at: u64,
    team: usize,
    hold_ms: u64,
}

/// Draws random arrivals at these rates, in requests a second for each team.
fn arrivals(rates: [f64; 5]) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut all = Vec::new();
    for (team, rate) in rates.into_iter().enumerate() {
        let mut at = 0.0;
        while rate > 0.0 && at < DURATION_MS as f64 {
            let draw: f64 = rng.random_range(1e-9..1.0);
            at -= draw.ln() * 1000.0 / rate;
            let hold_ms = rng.random_range(800..=1200);
            all.push(Request { at: at as u64, team, hold_ms });
        }
    }
    all.sort_by_key(|request| request.at);
    all
}

#[derive(Default)]
struct Outcome {
    /// Wait of each request that started, in ms, by team.
    waits: [Vec<u64>; 5],
    in_time: usize,
    refused: usize,
}

impl Outcome {
    fn p95(&self, team: usize) -> u64 {
        let mut waits = self.waits[team].clone();
        waits.sort_unstable();
        let at = waits.len() * 95 / 100;
        waits.get(at).copied().unwrap_or(0)
    }

    fn start(&mut self, now: u64, request: &Request) {
        let wait = now - request.at;
        self.waits[request.team].push(wait);
        self.in_time += usize::from(wait <= START_WITHIN_MS);
    }
}

fn run_gate(requests: &[Request]) -> Outcome {
    let mut gate = Gate::open(1000.0);
    gate.set_teams(TEAMS.into_iter().map(|team| (team, 1)), 10_000);
    let mut result = Outcome::default();
    let mut waiting: BTreeMap<Ticket, usize> = BTreeMap::new();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut next = 0;
    for now in 0..DURATION_MS {
        running.retain(|(until, at)| {
            if *until > now {
                return true;
            }
            let request = &requests[*at];
            gate.finish(TEAMS[request.team], request.hold_ms as f32);
            false
        });
        let room = |gate: &Gate| Room {
            slots: SLOTS,
            load: gate.running(),
            entries: 1,
        };
        for (ticket, _) in gate.remove_late(now, room(&gate)) {
            waiting.remove(&ticket);
            result.refused += 1;
        }
        while let Some(ticket) = gate.next(room(&gate)) {
            let Some(at) = waiting.remove(&ticket) else { continue };
            result.start(now, &requests[at]);
            running.push((now + requests[at].hold_ms, at));
        }
        while next < requests.len() && requests[next].at <= now {
            let request = &requests[next];
            let team = TEAMS[request.team];
            let start_by = now + START_WITHIN_MS;
            match gate.arrive(now, room(&gate), team, 1.0, start_by) {
                Arrival::Start => {
                    result.start(now, request);
                    running.push((now + request.hold_ms, next));
                }
                Arrival::Wait(ticket) => {
                    waiting.insert(ticket, next);
                }
                Arrival::Refuse(_) => result.refused += 1,
            }
            next += 1;
        }
    }
    result
}

fn run_fifo(requests: &[Request]) -> Outcome {
    let mut result = Outcome::default();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut running: Vec<u64> = Vec::new();
    let mut next = 0;
    for now in 0..DURATION_MS {
        running.retain(|until| *until > now);
        while next < requests.len() && requests[next].at <= now {
            queue.push_back(next);
            next += 1;
        }
        while running.len() < SLOTS as usize
            && let Some(at) = queue.pop_front()
        {
            result.start(now, &requests[at]);
            running.push(now + requests[at].hold_ms);
        }
    }
    result
}

fn main() {
    println!(
        "{:26} {:10} {:>9} {:>9} {:>11} {:>9} {:>8}",
        "load",
        "queue",
        "large p95",
        "small p95",
        "in time /s",
        "refused",
        "arrived"
    );
    // 40 slots that are held for 1 s each serve 40 requests a second, 8 for
    // each team.
    let small = [4.0; 4];
    let rates_of = |large: f64, small: [f64; 4]| {
        [large, small[0], small[1], small[2], small[3]]
    };
    for (name, rates) in [
        ("small teams only", rates_of(0.0, small)),
        ("large at 5 times its share", rates_of(40.0, small)),
        ("all at 0.9 of the slots", [7.2; 5]),
        ("all at the slots", [8.0; 5]),
        ("all at 3 times the slots", [24.0; 5]),
    ] {
        let requests = arrivals(rates);
        for (queue, result) in
            [("gate", run_gate(&requests)), ("fifo", run_fifo(&requests))]
        {
            let small_p95 = (1..5).map(|team| result.p95(team)).max();
            println!(
                "{name:26} {queue:10} {:9} {:9} {:11.1} {:9} {:8}",
                result.p95(0),
                small_p95.unwrap_or(0),
                result.in_time as f64 * 1000.0 / DURATION_MS as f64,
                result.refused,
                requests.len(),
            );
        }
    }
}
