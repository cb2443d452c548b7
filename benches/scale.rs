//! What a node's knowledge of the replicas costs it, by their number.
//!
//! ```text
//! cargo bench --bench scale
//! ```
//!
//! Each row is one thing that a node does, in microseconds, and how often an
//! active node does it each second: heartbeats come in from the nodes that the
//! replicas call, and all that is known is looked at once a round and at each
//! piece of news.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use azuremount::{
    decide::{retry::Bound, route::Ask},
    gateway::fleet::Fleet,
    mesh::table::{Own, Table, replica_hash},
    wire::{Beat, Cached, Gossip, Peer, Sighting},
};

/// Replicas' heartbeats told in one datagram.
const BEATS: u64 = 32;
/// Parts of prompts told in one datagram.
const PARTS: u64 = 64;

/// Microseconds for one run.
fn time(mut act: impl FnMut(u64)) -> f64 {
    let mut count = 0;
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(400) {
        act(count);
        count += 1;
    }
    began.elapsed().as_micros() as f64 / count as f64
}

fn sighting(number: u64, sequence: u64) -> Sighting {
    Sighting {
        id: format!("i-{:010x}", replica_hash(&number.to_string()) >> 24),
        service: "llm".to_owned(),
        ip: 0x0a80_0000 + number as u32,
        port: 8080,
        data_centre: format!("dc-{}", number % 4),
        slots: 64,
        sequence,
        ..Sighting::default()
    }
}

fn peer(ip: u32) -> Peer {
    Peer { ip, incarnation: u64::from(ip), serving: true, ..Peer::default() }
}

fn main() {
    println!("replicas | beats | sighting | caches | refresh | pick | round");
    for replicas in [300, 1000, 3000] {
        let mut table = Table::open(peer(1));
        let first: Vec<Sighting> =
            (0..replicas).map(|at| sighting(at, 1)).collect();
        for says in &first {
            table.sight(0, says.clone(), false);
        }
        let hashes: Vec<u64> =
            first.iter().map(|one| replica_hash(&one.id)).collect();
        let bound = Bound { ratio: 0.2, slack: 100.0, window_ms: 10_000 };
        let mut fleet = Fleet::open("dc-1", bound);
        fleet.refresh(10, &table, None);
        let datagram = |turn: u64| Gossip {
            from: Some(Peer { beat: turn + 1, ..peer(2) }),
            beats: (0..BEATS)
                .map(|step| Beat {
                    replica: hashes
                        [((turn * BEATS + step) % replicas) as usize],
                    sequence: 2 + turn,
                    age_ms: 100,
                })
                .collect(),
            ..Gossip::default()
        };
        let beats = time(|turn| {
            black_box(table.hear(20, 20, datagram(turn)));
        });
        let mut sequence = 1 << 40;
        let told = time(|turn| {
            sequence += 1;
            let says = sighting(turn % replicas, sequence);
            black_box(table.sight(20, says, true));
        });
        let service = replica_hash("llm");
        let caches = time(|turn| {
            let parts: Vec<Cached> = (0..PARTS)
                .map(|step| Cached {
                    service,
                    replica: hashes[((turn * 7 + step) % replicas) as usize],
                    path: (turn * PARTS + step) % 4096,
                    blocks: 8,
                })
                .collect();
            fleet.note_cached(20 + turn * 2000, &parts);
        });
        let refresh = time(|turn| {
            fleet.refresh(20 + turn % 1000, &table, None);
        });
        let blocks: Vec<u64> = (0..30).collect();
        let pick = time(|turn| {
            let ask =
                Ask { tokens: 15_000, blocks: &blocks, ends: &[], avoid: &[] };
            black_box(fleet.pick(20 + turn, "llm", &ask));
        });
        let round = time(|turn| {
            black_box(table.compose(20, turn as i64, Own::default()));
        });
        println!(
            "{replicas:8} | {beats:5.1} | {told:8.1} | {caches:6.1} | \
             {refresh:7.0} | {pick:4.1} | {round:5.1}"
        );
    }
}
