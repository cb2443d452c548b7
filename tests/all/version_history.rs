//! The only software version that served within the lifetime of a stream, at a
//! node that has no record of the stream.

use std::{net::SocketAddr, ops::Range};

use azuremount::{
    mesh::table::{Table, incarnation_id},
    wire::{Gossip, Peer, Sighting},
};

use crate::world::sighting;

/// Interval between two datagrams of a node, in ms.
const ROUND_MS: u64 = 300;
/// Interval between two heartbeats of a replica, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 1200;
/// Time for which a stream may be resumed on a route with a short timeout, in
/// ms.
const SHORT_MS: u64 = 30_000;
/// The same on a route with a timeout of a minute, in ms.
const LONG_MS: u64 = 120_000;
/// State of a replica that has departed.
const DEPARTED: u32 = 2;

/// A node, and the others that it hears.
struct World {
    table: Table,
    /// Addresses and incarnations of the other nodes.
    nodes: Vec<(u32, u64)>,
}

impl World {
    fn open(nodes: &[u32]) -> World {
        let own = Peer { ip: 1, serving: true, ..Peer::default() };
        World {
            table: Table::open(own),
            nodes: nodes.iter().map(|ip| (*ip, 1)).collect(),
        }
    }

    /// Receives datagrams of the other nodes and heartbeats of a replica of
    /// each version.
    fn run(&mut self, times: Range<u64>, versions: &[&str]) {
        for now in times.step_by(ROUND_MS as usize) {
            for &(ip, incarnation) in &self.nodes {
                let beat = now + 1;
                let from = Peer {
                    ip,
                    incarnation,
                    beat,
                    serving: true,
                    ..Peer::default()
                };
                let gossip = Gossip { from: Some(from), ..Gossip::default() };
                self.table.receive(now, 0, gossip);
            }
            if now % HEARTBEAT_INTERVAL_MS == 0 {
                for version in versions {
                    let says = heartbeat(version, now);
                    self.table.apply_sighting(now, says, true);
                }
            }
            self.table.expire(now);
        }
    }

    fn only(&self, now: u64, history_ms: u64) -> Option<&str> {
        self.table.only_version_within(now, "app", history_ms)
    }
}

/// Returns a heartbeat of the replica that runs a version.
fn heartbeat(version: &str, now: u64) -> Sighting {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    Sighting {
        version: version.to_owned(),
        sequence: now / HEARTBEAT_INTERVAL_MS + 1,
        ..sighting(version, address, 0)
    }
}

/// Guards against an answer that nodes which have not run for as long as a
/// stream may live can't give.
#[test]
fn a_node_that_has_just_started_does_not_decide() {
    let mut world = World::open(&[2]);
    world.run(0..29_700, &["v2"]);
    assert_eq!(world.only(29_700, SHORT_MS), None);
    world.run(29_700..36_000, &["v2"]);
    assert_eq!(world.only(36_000, SHORT_MS), Some("v2"));
    assert_eq!(world.only(36_000, LONG_MS), None);
}

/// Guards against a stream that goes on at another version because its replica
/// has been silent since, and was forgotten before the stream was over.
#[test]
fn a_version_counts_for_a_lifetime_after_its_replica_was_last_used() {
    let mut world = World::open(&[2]);
    world.run(0..10_200, &["v1", "v2"]);
    world.run(10_200..42_000, &["v2"]);
    assert_eq!(world.only(42_000, SHORT_MS), None);
    world.run(42_000..75_000, &["v2"]);
    assert_eq!(world.only(75_000, SHORT_MS), Some("v2"));
}

/// Guards against a stream that goes on at another version because its own one
/// left more than a minute ago, on a route with a long timeout.
#[test]
fn a_version_that_has_left_counts_for_a_lifetime() {
    let mut world = World::open(&[2]);
    world.run(0..50_100, &["v2"]);
    world.table.apply_sighting(50_100, heartbeat("v1", 50_100), true);
    let departure = Sighting { state: DEPARTED, ..heartbeat("v1", 52_000) };
    world.table.apply_sighting(50_200, departure, true);
    world.run(50_400..169_200, &["v2"]);
    assert_eq!(world.only(169_200, LONG_MS), None);
    assert_eq!(world.only(169_200, SHORT_MS), Some("v2"));
    world.run(169_200..174_000, &["v2"]);
    assert_eq!(world.only(174_000, LONG_MS), Some("v2"));
}

/// Guards against the same where a replica changed its version in place.
#[test]
fn a_version_that_was_replaced_in_place_counts_for_a_lifetime() {
    let mut world = World::open(&[2]);
    let incarnation = |born: u64, version: &str| {
        let id = incarnation_id("r", born);
        Sighting { id, born, ..heartbeat(version, 0) }
    };
    world.run(0..1200, &["v2"]);
    world.table.apply_sighting(1200, incarnation(1, "v1"), true);
    world.table.apply_sighting(1300, incarnation(2, "v2"), true);
    world.run(1500..120_900, &["v2"]);
    assert_eq!(world.only(120_900, LONG_MS), None);
    world.run(120_900..123_000, &["v2"]);
    assert_eq!(world.only(123_000, LONG_MS), Some("v2"));
}

/// Guards against a stream that goes on at another version at a node that was
/// cut off while the stream's version served elsewhere.
#[test]
fn a_node_that_was_cut_off_does_not_decide() {
    for others in [&[2][..], &[2, 3]] {
        let mut world = World::open(others);
        world.run(0..10_200, &["v2"]);
        world.nodes.retain(|(ip, _)| *ip != 2);
        world.run(10_200..72_000, &["v2"]);
        assert_eq!(world.only(72_000, SHORT_MS), None, "after a minute");
        world.nodes.push((2, 1));
        world.run(72_000..90_000, &["v2"]);
        assert_eq!(world.only(90_000, SHORT_MS), None, "after the cut");
        world.run(90_000..105_000, &["v2"]);
        assert_eq!(world.only(105_000, SHORT_MS), Some("v2"));
    }
}

/// Guards against the same after a short cut: other nodes tell their replicas
/// in turn, so a version may still be unknown when they are heard again.
#[test]
fn a_node_does_not_decide_before_others_have_repeated_their_replicas() {
    let mut world = World::open(&[2]);
    world.run(0..40_200, &["v2"]);
    world.nodes.clear();
    world.run(40_200..50_100, &["v2"]);
    world.nodes.push((2, 1));
    world.run(50_100..51_000, &["v2"]);
    assert_eq!(world.only(51_000, SHORT_MS), None);
    world.run(51_000..63_000, &["v2"]);
    assert_eq!(world.only(63_000, SHORT_MS), Some("v2"));
}

/// Guards against the same at a node that was cut off when it started.
#[test]
fn a_node_that_started_cut_off_does_not_decide() {
    let mut world = World::open(&[]);
    world.run(0..35_100, &["v2"]);
    assert_eq!(world.only(35_100, SHORT_MS), None, "without other nodes");
    world.nodes.push((2, 1));
    world.run(35_100..48_000, &["v2"]);
    assert_eq!(world.only(48_000, SHORT_MS), None, "after the cut");
    world.run(48_000..66_000, &["v2"]);
    assert_eq!(world.only(66_000, SHORT_MS), Some("v2"));
}

/// Guards against the same at a node whose process stood still.
#[test]
fn a_node_that_stood_still_does_not_decide() {
    let mut world = World::open(&[2]);
    world.run(0..10_200, &["v1", "v2"]);
    world.run(90_000..104_100, &["v2"]);
    assert_eq!(world.only(104_100, SHORT_MS), None);
    world.run(104_100..123_000, &["v2"]);
    assert_eq!(world.only(123_000, SHORT_MS), Some("v2"));
}

/// Guards against streams that are refused at a node that went on while others
/// were killed and started again: it knows all versions.
#[test]
fn a_node_that_went_on_while_others_were_killed_decides() {
    let mut world = World::open(&[2, 3]);
    world.run(0..40_200, &["v2"]);
    world.nodes.clear();
    world.run(40_200..43_200, &["v2"]);
    world.nodes = vec![(2, 2), (3, 2)];
    world.run(43_200..43_800, &["v2"]);
    assert_eq!(world.only(43_800, SHORT_MS), Some("v2"));
}
