//! How a node handles datagrams that are late, lost or duplicated, or that
//! carry a wrong clock.

use azuremount::{
    mesh::{
        round::Round,
        table::{
            LocalReport, State, Table, incarnation_id, replica_hash,
            replica_of,
        },
    },
    wire::{
        Crash, Gossip, Peer, RecordUsage, Sighting, Spent, TeamCount, Under,
    },
};

fn peer(ip: u32, beat: u64) -> Peer {
    Peer {
        ip,
        incarnation: u64::from(ip) * 1000 + 1,
        beat,
        serving: true,
        ..Peer::default()
    }
}

fn table() -> Table {
    Table::open(peer(1, 0))
}

fn sighting(id: &str, state: u32, sequence: u64) -> Sighting {
    Sighting {
        id: id.to_owned(),
        service: "app".to_owned(),
        state,
        sequence,
        ..Sighting::default()
    }
}

fn gossip(ip: u32, beat: u64) -> Gossip {
    Gossip { from: Some(peer(ip, beat)), ..Gossip::default() }
}

fn state(table: &Table, id: &str) -> Option<State> {
    let found =
        table.replicas().iter().find(|replica| replica.sighting.id == id);
    found.map(|replica| replica.state)
}

/// Guards against sending requests to a replica that is leaving. A node that
/// has not received the departure yet still reports the replica as ready, and
/// that report must not replace a later state.
#[test]
fn a_replica_never_comes_back_from_leaving() {
    let mut table = table();
    assert!(table.apply_sighting(0, sighting("a", 0, 1), true));
    assert!(table.apply_sighting(1, sighting("a", 1, 2), true));
    let late = Gossip { replicas: vec![sighting("a", 0, 1)], ..gossip(2, 1) };
    assert!(!table.receive(2, 0, late).replicas);
    let newer = Gossip { replicas: vec![sighting("a", 0, 9)], ..gossip(2, 2) };
    table.receive(3, 0, newer);
    assert_eq!(state(&table, "a"), Some(State::Leaving));
    table.apply_sighting(4, sighting("a", 2, 0), true);
    table.apply_sighting(5, sighting("a", 1, 10), true);
    assert_eq!(state(&table, "a"), Some(State::Departed));
}

/// Guards against using a departed replica whose departure notice arrives
/// before its first heartbeat.
#[test]
fn a_departure_before_the_first_heartbeat_counts() {
    let mut table = table();
    let departure = Sighting { service: String::new(), ..sighting("a", 2, 0) };
    table.apply_sighting(0, departure, true);
    table.apply_sighting(1, sighting("a", 0, 5), true);
    assert_eq!(state(&table, "a"), Some(State::Departed));
}

/// Guards against handing out a stopped node. It announces that it no longer
/// serves, and then a third node relays its previous report.
#[test]
fn an_old_relayed_report_of_a_node_is_ignored() {
    let mut table = table();
    let mut stopped = peer(2, 20);
    stopped.serving = false;
    let last = Gossip { from: Some(stopped), ..Gossip::default() };
    table.receive(0, 0, last);
    let relayed = Gossip { peers: vec![peer(2, 19)], ..gossip(3, 1) };
    table.receive(1, 0, relayed);
    let node = table.nodes().iter().find(|node| node.peer.ip == 2).unwrap();
    assert!(!node.peer.serving);
}

/// Guards against ignoring a restarted node whose clock has jumped back, for
/// as long as the jump was. Beats are wall-clock times.
#[test]
fn a_restarted_node_with_an_early_clock_is_accepted() {
    let mut table = table();
    table.receive(0, 0, gossip(2, 5000));
    let again = Peer { incarnation: 7, ..peer(2, 10) };
    table.receive(1, 0, Gossip { from: Some(again), ..Gossip::default() });
    let node = table.nodes().iter().find(|node| node.peer.ip == 2).unwrap();
    assert_eq!(node.peer.incarnation, 7);
}

/// Guards against billing requests to the wrong window when the clock jumps on
/// one node in three: the median of all clocks does not move.
#[test]
fn a_third_of_the_clocks_may_be_wrong() {
    let mut table = table();
    let now = 1000;
    for (ip, wall_ms) in [(2, 90_000), (3, 100_010), (4, 99_990), (5, 104_000)]
    {
        let heard = Gossip { wall_ms, ..gossip(ip, 1) };
        table.receive(now, 100_000, heard);
    }
    assert!(table.clock_offset(now).abs() <= 10);
    // This node's own clock is the wrong one.
    let mut own = table;
    for (ip, beat) in [(2, 2), (3, 2), (4, 2), (5, 2)] {
        let heard = Gossip { wall_ms: 100_000, ..gossip(ip, beat) };
        own.receive(now, 102_000, heard);
    }
    assert_eq!(own.clock_offset(now), -2000);
}

/// Guards against a usage report that lacks the requests of a node that
/// crashed after it had reported them, or that counts them twice when
/// datagrams are duplicated.
#[test]
fn usage_is_counted_once_however_often_it_is_reported() {
    let mut table = table();
    table.count_began(7, "blue");
    let counts = |count| {
        let team = "blue".to_owned();
        let counts = vec![TeamCount { team, count }];
        vec![RecordUsage { window: 7, counts }]
    };
    for (beat, count) in [(1, 2), (2, 5), (3, 5), (4, 3)] {
        let datagram = Gossip { usage: counts(count), ..gossip(2, beat) };
        table.receive(beat, 0, datagram);
    }
    let usage = table.usage(7);
    assert_eq!(usage.counts.len(), 1);
    assert_eq!(usage.counts[0].count, 6, "1 here and 5 there");
}

/// Guards against a usage report that lacks the last requests of a killed
/// node. The node sends its counts to one other node and stops; the leader has
/// just started and has never heard it.
#[test]
fn counts_of_a_dead_node_are_relayed() {
    let team = "blue".to_owned();
    let counts = vec![TeamCount { team, count: 5 }];
    let usage = vec![RecordUsage { window: 7, counts }];
    let mut witness = table();
    witness.receive(0, 0, Gossip { usage, ..gossip(2, 1) });
    let mut leader = Table::open(peer(3, 0));
    leader.receive(1, 0, witness.compose(1, 0, LocalReport::default()));
    assert!(
        leader.usage(7).counts.is_empty(),
        "the node may still report itself"
    );
    let later = 5000;
    leader.receive(
        later,
        0,
        witness.compose(later, 0, LocalReport::default()),
    );
    assert_eq!(leader.usage(7).counts[0].count, 5);
}

#[test]
fn sums_cover_the_nodes_that_are_heard() {
    let mut table = table();
    let under = |count| vec![Under { replica: 9, count, pending: 100 }];
    table.receive(0, 0, Gossip { under: under(3), ..gossip(2, 1) });
    table.receive(0, 0, Gossip { under: under(4), ..gossip(3, 1) });
    assert_eq!(table.loads(1).at(9), (7, 200));
    assert_eq!(table.entry_counts(1), (3, 0));
    // One node becomes silent: its requests no longer count, but it may be
    // serving.
    table.receive(2000, 0, Gossip { under: under(4), ..gossip(3, 2) });
    assert_eq!(table.loads(2000).at(9), (4, 100));
    assert_eq!(table.entry_counts(2000), (3, 1));
}

#[test]
fn spent_tokens_are_known_by_incarnation() {
    let mut table = table();
    let spent = vec![Spent { team: 5, tokens: 70 }];
    table.receive(0, 0, Gossip { spent, ..gossip(2, 1) });
    let known: Vec<(u64, &[Spent], bool)> = table.spent(1).collect();
    let spent = [Spent { team: 5, tokens: 70 }];
    assert_eq!(known, [(2001, &spent[..], true)]);
}

/// Guards against sending requests to a data centre that is being reclaimed.
/// Forty replicas leave at once, and a datagram has room for the full fields
/// of a dozen.
#[test]
fn one_datagram_reports_forty_departures() {
    let (mut from, mut to) = (table(), Table::open(peer(2, 0)));
    for number in 0..40 {
        let id = format!("r{number}");
        from.apply_sighting(0, sighting(&id, 0, 1), false);
        // One half is known at the receiver, the other half arrives there
        // later.
        if number % 2 == 0 {
            to.apply_sighting(0, sighting(&id, 0, 1), false);
        }
        from.apply_sighting(5, sighting(&id, 1, 2), true);
    }
    let changes = to.receive(6, 0, from.compose(6, 0, LocalReport::default()));
    assert!(changes.replicas);
    for number in 0..40 {
        to.apply_sighting(7, sighting(&format!("r{number}"), 0, 1), false);
    }
    let ready =
        to.replicas().iter().filter(|replica| replica.state == State::Ready);
    assert_eq!(ready.count(), 0);
}

/// Every replica that one node knows reaches another node within some
/// datagrams, although each datagram has room for a few only.
#[test]
fn all_replicas_reach_another_node_in_time() {
    let mut from = table();
    for number in 0..60 {
        from.apply_sighting(0, sighting(&format!("r{number}"), 0, 1), false);
    }
    let mut to = Table::open(peer(2, 0));
    for round in 0..20 {
        let gossip = from.compose(round, 0, LocalReport::default());
        assert!(gossip.replicas.len() <= 15, "too long for a datagram");
        to.receive(round, 0, gossip);
    }
    assert_eq!(to.replicas().len(), 60);
}

/// Guards against replicas that appear silent to some nodes although their
/// heartbeats arrive. Seventy nodes each send to sixteen others in a round. If
/// a node sends a heartbeat only once, the remaining nodes learn of it only
/// when the replica is repeated.
#[test]
fn heartbeats_reach_all_of_seventy_nodes_in_time() {
    const NODES: u32 = 70;
    const REPLICAS: u64 = 150;
    let mut tables: Vec<Table> =
        (1..=NODES).map(|ip| Table::open(peer(ip, 0))).collect();
    let mut worst = 0;
    for round in 0..60_u64 {
        let now = round * 300;
        for beat in 0..REPLICAS {
            // Every 1.2 s, at another node each time.
            if (round + beat) % 4 == 0 {
                let at = (beat * 31 + round * 17) as usize % tables.len();
                let heartbeat = sighting(&format!("i-{beat}"), 0, round + 1);
                tables[at].apply_sighting(now, heartbeat, true);
            }
        }
        for from in 0..tables.len() {
            let datagram =
                tables[from].compose(now, now as i64, LocalReport::default());
            for step in 0..16 {
                let to = (from + 1 + (round as usize * 16 + step) % 69) % 70;
                tables[to].receive(now, now as i64, datagram.clone());
            }
        }
        if round > 20 {
            let heard = tables.iter().flat_map(|table| table.replicas());
            let oldest = heard.map(|replica| now - replica.heard_at).max();
            worst = worst.max(oldest.unwrap_or(0));
        }
    }
    assert!(worst <= 3600, "{worst} ms old");
}

/// Guards against requests that reach replicas 2.5 s after these announced
/// that they leave. A hundred and fifty replicas leave at once, each notifies
/// one of seventy nodes, and a datagram lists sixty-four. If a datagram listed
/// the newest only, the departures that a node has received directly would
/// soon be older than those that other nodes report.
#[test]
fn departures_of_hundreds_reach_all_nodes_in_time() {
    const NODES: usize = 70;
    let mut tables: Vec<Table> =
        (1..=NODES as u32).map(|ip| Table::open(peer(ip, 0))).collect();
    for table in &mut tables {
        for at in 0..150 {
            table.apply_sighting(0, sighting(&format!("i-{at}"), 0, 1), false);
        }
    }
    for at in 0..150 {
        let leaves = sighting(&format!("i-{at}"), 1, 2);
        tables[at % NODES].apply_sighting(1000, leaves, true);
    }
    for round in 0..7_u64 {
        for from in 0..NODES {
            // Nodes send one after the other, not all at the same moment.
            let now = 1000 + round * 300 + from as u64 * 4;
            let datagram =
                tables[from].compose(now, now as i64, LocalReport::default());
            for step in 0..16 {
                let turn = (round as usize * 16 + step) % (NODES - 1);
                let to = (from + 1 + turn) % NODES;
                tables[to].receive(now, now as i64, datagram.clone());
            }
        }
    }
    let ready = tables.iter().flat_map(|table| table.replicas());
    let ready = ready.filter(|replica| replica.state == State::Ready).count();
    assert_eq!(ready, 0, "2.1 s later");
}

/// Returns a heartbeat of an incarnation of a replica.
fn heartbeat(id: &str, born: u64, state: u32, sequence: u64) -> Sighting {
    Sighting { born, ..sighting(&incarnation_id(id, born), state, sequence) }
}

fn usable(table: &Table, now: u64) -> Vec<String> {
    table.usable(now).into_iter().map(|replica| replica.id).collect()
}

/// Guards against a restarted replica that gets no requests for minutes. It
/// announces that it leaves, stops, and restarts under the same id with its
/// sequence numbers from the beginning; then a heartbeat of its former
/// incarnation arrives. The incarnations must be kept apart: the state of one
/// never goes back, and its heartbeat with the highest sequence number counts.
#[test]
fn a_replica_that_restarts_under_its_id_is_used() {
    let mut table = table();
    table.apply_sighting(0, heartbeat("a", 1000, 0, 50), true);
    table.apply_sighting(1, heartbeat("a", 1000, 1, 51), true);
    assert!(table.apply_sighting(5, heartbeat("a", 2000, 0, 1), true));
    assert_eq!(usable(&table, 5), ["a@2000"]);
    // Late heartbeats of the former incarnation, received directly and through
    // another node.
    table.apply_sighting(6, heartbeat("a", 1000, 1, 52), true);
    let late = Gossip {
        replicas: vec![
            heartbeat("a", 1000, 0, 49),
            heartbeat("a", 1000, 2, 53),
        ],
        left: vec![replica_hash("a@1000")],
        ..gossip(2, 1)
    };
    table.receive(7, 0, late);
    assert_eq!(usable(&table, 7), ["a@2000"]);
}

/// Guards against routing requests by the caches of a crashed replica to the
/// one that replaces it. The replica crashes and restarts; its former
/// incarnation must not stay usable until it has been silent for long.
#[test]
fn an_incarnation_ends_when_the_next_one_starts() {
    let mut table = table();
    table.apply_sighting(0, heartbeat("a", 1000, 0, 50), true);
    table.apply_sighting(0, heartbeat("b", 1000, 0, 50), true);
    table.apply_sighting(100, heartbeat("a", 2000, 0, 1), false);
    assert_eq!(usable(&table, 100), ["a@2000", "b@1000"]);
    assert_eq!(state(&table, "a@1000"), Some(State::Departed));
    // A remembered incarnation does not bring it back either.
    let remembered =
        Sighting { remembered: true, ..heartbeat("a", 500, 0, 9) };
    table.apply_sighting(101, remembered, false);
    assert_eq!(usable(&table, 101), ["a@2000", "b@1000"]);
}

/// Guards against never using a replica again after the clock of its VM has
/// jumped back while it was down. The start time of its new incarnation is
/// then earlier than that of its former one.
#[test]
fn a_clock_that_jumped_back_excludes_no_replica() {
    let mut table = table();
    table.apply_sighting(0, heartbeat("a", 5000, 0, 50), true);
    table.apply_sighting(1000, heartbeat("a", 4000, 0, 1), true);
    assert_eq!(usable(&table, 1000), ["a@5000"], "may be a late heartbeat");
    table.apply_sighting(11_000, heartbeat("a", 4000, 0, 9), true);
    assert_eq!(usable(&table, 11_000), ["a@4000"]);
    // A node that has not noticed yet does not end it.
    let late =
        Gossip { replicas: vec![heartbeat("a", 5000, 0, 50)], ..gossip(2, 1) };
    table.receive(11_001, 0, late);
    assert_eq!(usable(&table, 11_001), ["a@4000"]);
}

/// A departure notice without a start time applies to the current incarnation,
/// also at nodes that receive it as the hash of the replica's id only.
#[test]
fn a_departure_without_a_start_time_ends_the_current_incarnation() {
    let departure = Sighting { service: String::new(), ..sighting("a", 2, 0) };
    let (mut first, mut second) = (table(), Table::open(peer(2, 0)));
    first.apply_sighting(0, heartbeat("a", 1000, 0, 5), true);
    second.apply_sighting(0, heartbeat("a", 1000, 0, 5), true);
    first.apply_sighting(10, departure.clone(), true);
    assert!(usable(&first, 10).is_empty());
    let datagram = Gossip { left: vec![replica_hash("a")], ..gossip(1, 1) };
    second.receive(11, 0, datagram);
    assert_eq!(state(&second, "a@1000"), Some(State::Leaving));
    // The notice does not apply to its next incarnation.
    first.apply_sighting(5000, heartbeat("a", 4000, 0, 1), true);
    assert_eq!(usable(&first, 5000), ["a@4000"]);
}

#[test]
fn an_incarnation_id_contains_the_replica_id() {
    for (id, born) in [("a", 0), ("a", 7), ("a@b", 0), ("a@3", 0), ("@", 9)] {
        assert_eq!(replica_of(&incarnation_id(id, born)), id);
    }
    assert_eq!(incarnation_id("a", 0), "a");
}

/// Guards against not using a replica for a minute after a network partition.
/// It is silent for more than ten seconds; a heartbeat of its former
/// incarnation, delayed by the same partition, arrives at a node that did not
/// know that incarnation; then the replica is heard again. The late heartbeat
/// marks the current incarnation as departed, as after a clock that has jumped
/// back, and that must be undone.
#[test]
fn a_late_heartbeat_after_a_long_silence_costs_seconds_only() {
    let mut table = table();
    table.apply_sighting(1000, heartbeat("a", 5000, 0, 1), true);
    table.apply_sighting(12_000, heartbeat("a", 4000, 0, 51), true);
    table.apply_sighting(23_000, heartbeat("a", 5000, 0, 9), true);
    assert_eq!(usable(&table, 23_000), ["a@5000"]);
    // A heartbeat that is old when it is relayed proves nothing either way.
    let relayed = Sighting { age_ms: 22_000, ..heartbeat("a", 4000, 0, 50) };
    let late = Gossip { replicas: vec![relayed], ..gossip(2, 1) };
    table.receive(35_000, 0, late);
    assert_eq!(usable(&table, 35_000), ["a@5000"]);
}

/// Guards against rate limits that two nodes divide by different orders, and
/// against shares for nodes that have no callers.
#[test]
fn nodes_that_hear_each_other_find_the_same_order() {
    let mut tables: Vec<Table> =
        (1..=5).map(|ip| Table::open(peer(ip, 1))).collect();
    for table in &mut tables {
        for ip in 1..=5 {
            table.receive(10, 0, gossip(ip, 1));
        }
    }
    for subject in 0..20 {
        let mut ranks: Vec<usize> = tables
            .iter()
            .map(|table| table.active_rank(20, subject).unwrap())
            .map(|(rank, nodes)| {
                assert_eq!(nodes, 5);
                rank
            })
            .collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2, 3, 4], "subject {subject}");
    }
    tables[0].own_peer_mut().serving = false;
    assert_eq!(tables[0].active_rank(20, 1), None);
}

/// Returns a report of a request in flight at two replicas that crashed.
fn crash_report() -> LocalReport {
    let crash = |replica| Crash { fingerprint: 7, replica, age_ms: 30 };
    LocalReport { crashes: vec![crash(1), crash(2)], ..LocalReport::default() }
}

/// Guards against a request that crashes six more replicas on a deployment of
/// hundreds of nodes before all nodes quarantine it. It arrives at one node
/// after the other, every 0.2 s, and a node sends regular datagrams to sixteen
/// of forty others in a round. Urgent datagrams go at once to all nodes that
/// take requests.
#[test]
fn all_of_forty_nodes_are_notified_at_once_of_a_request_that_crashes_replicas()
{
    let mut table = table();
    for ip in 2..42 {
        table.receive(10, 0, gossip(ip, 1));
    }
    let round = Round { now: 20, wall_ms: 0, number: 1, is_urgent: true };
    let datagrams = table.round(round, crash_report(), &[]);
    let mut notified: Vec<u32> = datagrams
        .iter()
        .filter(|datagram| datagram.gossip.crashes.len() == 2)
        .flat_map(|datagram| &datagram.to)
        .map(|ip| u32::from(*ip))
        .collect();
    notified.sort_unstable();
    notified.dedup();
    assert_eq!(notified, (2..42).collect::<Vec<u32>>());
}

/// Guards against a standby node that crashes replicas when its first callers
/// arrive, because it was never notified of the requests that do so: it hears
/// only the answers to its own requests.
#[test]
fn a_standby_node_is_notified_of_requests_that_crash_replicas() {
    let mut table = table();
    let standby = Peer { role: 2, ..peer(9, 1) };
    let answer = table.answer(20, 0, crash_report(), &standby);
    assert_eq!(answer.crashes, crash_report().crashes);
}
