//! Admission under load, in virtual time: no process, no clock.
//!
//! ```text
//! cargo bench --bench admit
//! ```
//!
//! One gate with 40 slots before five equal teams; a request holds its slot
//! for 800 to 1,200 ms and must start within 3 s. Beside it, on the same
//! arrivals, a plain queue: first come, first served, nobody refused.

use std::collections::{BTreeMap, VecDeque};

use azuremount::decide::admit::{Arrival, Gate, Room, Ticket};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SLOTS: u32 = 40;
const LENGTH_MS: u64 = 120_000;
const START_WITHIN_MS: u64 = 3000;
const TEAMS: [&str; 5] = ["large", "small-1", "small-2", "small-3", "small-4"];

struct Request {
    at: u64,
    team: usize,
    hold: u64,
}

/// Arrivals with these rates, in requests a second for each team.
fn arrivals(rates: [f64; 5]) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut all = Vec::new();
    for (team, rate) in rates.into_iter().enumerate() {
        let mut at = 0.0;
        while rate > 0.0 && at < LENGTH_MS as f64 {
            let draw: f64 = rng.random_range(1e-9..1.0);
            at -= draw.ln() * 1000.0 / rate;
            let hold = rng.random_range(800..=1200);
            all.push(Request { at: at as u64, team, hold });
        }
    }
    all.sort_by_key(|request| request.at);
    all
}

#[derive(Default)]
struct Result {
    /// Waits of the requests that started in time, by team.
    waits: [Vec<u64>; 5],
    in_time: usize,
    refused: usize,
}

impl Result {
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

fn with_gate(requests: &[Request]) -> Result {
    let mut gate = Gate::open(1000.0);
    gate.set_teams(TEAMS.into_iter().map(|team| (team, 1)), 10_000);
    let mut result = Result::default();
    let mut waiting: BTreeMap<Ticket, usize> = BTreeMap::new();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut next = 0;
    for now in 0..LENGTH_MS {
        running.retain(|(until, at)| {
            if *until > now {
                return true;
            }
            let request = &requests[*at];
            gate.done(TEAMS[request.team], request.hold as f32);
            false
        });
        let room = |gate: &Gate| Room {
            slots: SLOTS,
            load: gate.running(),
            entries: 1,
        };
        for (ticket, _) in gate.hopeless(now, room(&gate)) {
            waiting.remove(&ticket);
            result.refused += 1;
        }
        while let Some(ticket) = gate.next(room(&gate)) {
            let Some(at) = waiting.remove(&ticket) else { continue };
            result.start(now, &requests[at]);
            running.push((now + requests[at].hold, at));
        }
        while next < requests.len() && requests[next].at <= now {
            let request = &requests[next];
            let team = TEAMS[request.team];
            let by = now + START_WITHIN_MS;
            match gate.arrive(now, room(&gate), team, 1.0, by) {
                Arrival::Start => {
                    result.start(now, request);
                    running.push((now + request.hold, next));
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

fn first_come(requests: &[Request]) -> Result {
    let mut result = Result::default();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut running: Vec<u64> = Vec::new();
    let mut next = 0;
    for now in 0..LENGTH_MS {
        running.retain(|until| *until > now);
        while next < requests.len() && requests[next].at <= now {
            queue.push_back(next);
            next += 1;
        }
        while running.len() < SLOTS as usize
            && let Some(at) = queue.pop_front()
        {
            result.start(now, &requests[at]);
            running.push(now + requests[at].hold);
        }
    }
    result
}

fn main() {
    println!(
        "{:26} {:10} {:>9} {:>9} {:>11} {:>9} {:>8}",
        "load",
        "by",
        "large p95",
        "small p95",
        "in time /s",
        "refused",
        "arrived"
    );
    // 40 slots of a second each: 40 requests a second, 8 a team.
    let small = [4.0; 4];
    let with = |large: f64, small: [f64; 4]| {
        [large, small[0], small[1], small[2], small[3]]
    };
    for (name, rates) in [
        ("small teams alone", with(0.0, small)),
        ("large at 5 times its share", with(40.0, small)),
        ("all at 0.9 of the slots", [7.2; 5]),
        ("all at the slots", [8.0; 5]),
        ("all at 3 times the slots", [24.0; 5]),
    ] {
        let requests = arrivals(rates);
        for (by, result) in [
            ("gate", with_gate(&requests)),
            ("in order", first_come(&requests)),
        ] {
            let smalls = (1..5).map(|team| result.p95(team)).max();
            println!(
                "{name:26} {by:10} {:9} {:9} {:11.1} {:9} {:8}",
                result.p95(0),
                smalls.unwrap_or(0),
                result.in_time as f64 * 1000.0 / LENGTH_MS as f64,
                result.refused,
                requests.len(),
            );
        }
    }
}
