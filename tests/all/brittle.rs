//! Replicas that fall over when they reject too many requests in a second.

use azuremount::decide::route::{
    Availability, Identity, Policy, Pool, RouteRequest, Ticket, VersionRule,
    Weights,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const REPLICAS: usize = 12;
/// Requests that a replica runs at a time; it announces eight slots.
const ROOM: usize = 1;
/// Rejections a second that a replica bears.
const BORNE: usize = 3;
/// Time for which a request runs, in ms.
const HOLD_MS: u64 = 100;
/// Time for which a replica is down after it fell over, in ms.
const DOWNTIME_MS: u64 = 2500;
/// Time after the first announcement from which on falls are counted, in ms.
const CONTACT_MS: u64 = 3000;
/// Replicas that one request is sent to until one accepts it.
const MAX_ATTEMPTS: usize = 3;
/// Duration of the simulation, in ms.
const DURATION_MS: u64 = 25_000;

#[derive(Default)]
struct Replica {
    incarnation: u64,
    running: usize,
    down_until: u64,
    /// Times of the latest rejections.
    rejections: Vec<u64>,
}

struct Run {
    ends_at: u64,
    node: usize,
    replica: usize,
    incarnation: u64,
    ticket: Ticket,
}

fn identities(replicas: &[Replica]) -> Vec<Identity> {
    let identity = |(at, replica): (usize, &Replica)| Identity {
        id: format!("r{at:02}"),
        incarnation: replica.incarnation,
        data_centre: "one".to_owned(),
        slots: 8,
        reclaimable: false,
        price: 0,
        availability: Availability::Serving,
        version: 1,
        is_version_certain: true,
    };
    replicas.iter().enumerate().map(identity).collect()
}

/// Simulates nodes that together receive about `requests_per_s`; returns the
/// number of counted falls and of served requests.
fn falls(
    nodes: usize,
    requests_per_s: f64,
    announces: bool,
    seed: u64,
) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut replicas: Vec<Replica> =
        (0..REPLICAS).map(|_| Replica::default()).collect();
    let mut pools: Vec<Pool> = (0..nodes as u64)
        .map(|node| {
            let weights = Weights { hold_ms: 100.0, ..Weights::default() };
            let mut pool = Pool::open(Policy::Cost, weights, seed + node);
            pool.set_peers(nodes - 1);
            pool.set_replicas("one", &identities(&replicas));
            pool
        })
        .collect();
    let mut runs: Vec<Run> = Vec::new();
    let (mut falls, mut served) = (0, 0);
    let ask = RouteRequest {
        tokens: 0,
        blocks: &[],
        block_ends: &[],
        excluded: &[],
        version: VersionRule::Any,
    };
    for now in 0..DURATION_MS {
        let (ended, rest) =
            runs.into_iter().partition(|run| run.ends_at <= now);
        runs = rest;
        for run in ended {
            let Run { node, replica, incarnation, ticket, .. } = run;
            let is_whole = replicas[replica].incarnation == incarnation;
            let held_ms = is_whole.then_some(HOLD_MS as f32);
            served += usize::from(is_whole);
            replicas[replica].running -= usize::from(is_whole);
            pools[node].record_end(now, ticket, true, held_ms);
        }
        if !rng.random_bool(requests_per_s / 1000.0) {
            continue;
        }
        let node = rng.random_range(0..nodes);
        for _ in 0..MAX_ATTEMPTS {
            let pool = &mut pools[node];
            let Some(choice) = pool.pick(now, &ask) else { break };
            let at: usize = choice.id[1..].parse().unwrap();
            let replica = &mut replicas[at];
            if now < replica.down_until {
                pool.record_end(now, choice.ticket, false, None);
                continue;
            }
            let announced = announces.then_some(BORNE as f32);
            pool.set_brittle(&choice.id, choice.incarnation, announced);
            if replica.running < ROOM {
                replica.running += 1;
                pool.record_progress(now, choice.ticket, true);
                runs.push(Run {
                    ends_at: now + HOLD_MS,
                    node,
                    replica: at,
                    incarnation: replica.incarnation,
                    ticket: choice.ticket,
                });
                break;
            }
            pool.record_rejected(now, choice.ticket);
            pool.record_end(now, choice.ticket, false, None);
            replica.rejections.retain(|rejected| now < rejected + 1000);
            replica.rejections.push(now);
            if now >= CONTACT_MS && replica.rejections.len() > BORNE {
                falls += 1;
                replica.running = 0;
                replica.rejections.clear();
                replica.incarnation += 1;
                replica.down_until = now + DOWNTIME_MS;
                for pool in &mut pools {
                    pool.set_replicas("one", &identities(&replicas));
                }
            }
        }
    }
    (falls, served)
}

/// Checks that few enough replicas fall under more requests than
/// they have room for.
fn check_falls(nodes: usize, seed: u64) {
    let allowed = 2 + REPLICAS / 10;
    let (unannounced, _) = falls(nodes, 150.0, false, seed);
    let (fallen, served) = falls(nodes, 150.0, true, seed);
    println!("{nodes} nodes: {unannounced}, {fallen} falls, {served} served");
    assert!(unannounced > allowed, "the simulation is too easy");
    assert!(fallen <= allowed, "{nodes} nodes: {fallen} falls");
}

/// Guards against a few nodes that together make brittle replicas fall over by
/// requests that these have no room for.
#[test]
fn brittle_replicas_stay_up_before_a_few_nodes() {
    check_falls(6, 1);
}

/// Guards against many nodes that make brittle replicas fall over, or that
/// hardly use those that have room.
#[test]
fn brittle_replicas_stay_up_and_serve_before_many_nodes() {
    for (nodes, seed) in [(6, 1), (12, 2)] {
        let (fallen, served) = falls(nodes, 30.0, true, seed);
        let sent = 30.0 * DURATION_MS as f64 / 1000.0;
        println!("{nodes} nodes: {fallen} falls, {served} of about {sent}");
        assert!(served as f64 >= 0.9 * sent, "{nodes} nodes: {served} served");
    }
    check_falls(12, 2);
    check_falls(70, 3);
}
