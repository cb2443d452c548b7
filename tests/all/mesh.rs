//! What a node makes of datagrams that are late, lost, doubled or forged by a
//! wrong clock.

use azuremount::{
    mesh::{
        round::Round,
        table::{Own, State, Table, life_name, replica_hash, replica_of},
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

fn says(id: &str, state: u32, sequence: u64) -> Sighting {
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
    let found = table.replicas().iter().find(|one| one.says.id == id);
    found.map(|one| one.state)
}

/// Symptom: a replica that left is given work again. Sequence: it says that
/// it leaves; a datagram of a node that has not heard it yet still calls it
/// ready. Cause: the last one to arrive counts.
#[test]
fn a_replica_never_comes_back_from_leaving() {
    let mut table = table();
    assert!(table.sight(0, says("a", 0, 1), true));
    assert!(table.sight(1, says("a", 1, 2), true));
    let late = Gossip { replicas: vec![says("a", 0, 1)], ..gossip(2, 1) };
    assert!(!table.hear(2, 0, late).replicas);
    let newer = Gossip { replicas: vec![says("a", 0, 9)], ..gossip(2, 2) };
    table.hear(3, 0, newer);
    assert_eq!(state(&table, "a"), Some(State::Leaving));
    table.sight(4, says("a", 2, 0), true);
    table.sight(5, says("a", 1, 10), true);
    assert_eq!(state(&table, "a"), Some(State::Gone));
}

/// Symptom: a replica that has said goodbye is used. Sequence: the goodbye
/// reaches this node before any heartbeat does.
#[test]
fn a_goodbye_counts_also_before_the_first_heartbeat() {
    let mut table = table();
    let goodbye = Sighting { service: String::new(), ..says("a", 2, 0) };
    table.sight(0, goodbye, true);
    table.sight(1, says("a", 0, 5), true);
    assert_eq!(state(&table, "a"), Some(State::Gone));
}

/// Symptom: a stopped node is handed out again. Sequence: it says that it no
/// longer serves; a third node passes on what it said before.
#[test]
fn old_word_of_a_node_through_others_changes_nothing() {
    let mut table = table();
    let mut stopped = peer(2, 20);
    stopped.serving = false;
    let last = Gossip { from: Some(stopped), ..Gossip::default() };
    table.hear(0, 0, last);
    let relayed = Gossip { peers: vec![peer(2, 19)], ..gossip(3, 1) };
    table.hear(1, 0, relayed);
    let node = table.nodes().iter().find(|node| node.says.ip == 2).unwrap();
    assert!(!node.says.serving);
}

/// Symptom: a node that restarted while its clock jumped back is ignored for
/// as long as the jump was. Cause: beats are times of day.
#[test]
fn a_restarted_node_with_an_early_clock_is_heard() {
    let mut table = table();
    table.hear(0, 0, gossip(2, 5000));
    let again = Peer { incarnation: 7, ..peer(2, 10) };
    table.hear(1, 0, Gossip { from: Some(again), ..Gossip::default() });
    let node = table.nodes().iter().find(|node| node.says.ip == 2).unwrap();
    assert_eq!(node.says.incarnation, 7);
}

/// Symptom: requests are billed to the wrong window. Sequence: the time of
/// day jumps on one node in three. The median of all clocks stays.
#[test]
fn a_third_of_the_clocks_may_be_wrong() {
    let mut table = table();
    let now = 1000;
    for (ip, wall_ms) in [(2, 90_000), (3, 100_010), (4, 99_990), (5, 104_000)]
    {
        let heard = Gossip { wall_ms, ..gossip(ip, 1) };
        table.hear(now, 100_000, heard);
    }
    assert!(table.clock_offset(now).abs() <= 10);
    // This node's own clock is the wrong one.
    let mut own = table;
    for (ip, beat) in [(2, 2), (3, 2), (4, 2), (5, 2)] {
        let heard = Gossip { wall_ms: 100_000, ..gossip(ip, beat) };
        own.hear(now, 102_000, heard);
    }
    assert_eq!(own.clock_offset(now), -2000);
}

/// Symptom: a report lacks the requests of a node that died after it had told
/// others of them; or counts them twice when datagrams are doubled.
#[test]
fn usage_is_counted_once_however_often_it_is_told() {
    let mut table = table();
    table.count_began(7, "blue");
    let counts = |count| {
        let team = "blue".to_owned();
        let counts = vec![TeamCount { team, count }];
        vec![RecordUsage { window: 7, counts }]
    };
    for (beat, count) in [(1, 2), (2, 5), (3, 5), (4, 3)] {
        let told = Gossip { usage: counts(count), ..gossip(2, beat) };
        table.hear(beat, 0, told);
    }
    let usage = table.usage(7);
    assert_eq!(usage.counts.len(), 1);
    assert_eq!(usage.counts[0].count, 6, "1 here and 5 there");
}

/// Symptom: a report lacks what began at a node before it was killed.
/// Sequence: the node tells one other of it and dies; the leader has just
/// started and never heard it.
#[test]
fn counts_of_a_dead_node_are_passed_on() {
    let team = "blue".to_owned();
    let counts = vec![TeamCount { team, count: 5 }];
    let usage = vec![RecordUsage { window: 7, counts }];
    let mut witness = table();
    witness.hear(0, 0, Gossip { usage, ..gossip(2, 1) });
    let mut leader = Table::open(peer(3, 0));
    leader.hear(1, 0, witness.compose(1, 0, Own::default()));
    assert!(leader.usage(7).counts.is_empty(), "it may still speak itself");
    let later = 5000;
    leader.hear(later, 0, witness.compose(later, 0, Own::default()));
    assert_eq!(leader.usage(7).counts[0].count, 5);
}

#[test]
fn sums_cover_the_nodes_that_are_heard() {
    let mut table = table();
    let under = |count| vec![Under { replica: 9, count, pending: 100 }];
    table.hear(0, 0, Gossip { under: under(3), ..gossip(2, 1) });
    table.hear(0, 0, Gossip { under: under(4), ..gossip(3, 1) });
    assert_eq!(table.loads(1).at(9), (7, 200));
    assert_eq!(table.reach(1), (3, 0));
    // One falls silent: its requests no longer count, but it may well serve.
    table.hear(2000, 0, Gossip { under: under(4), ..gossip(3, 2) });
    assert_eq!(table.loads(2000).at(9), (4, 100));
    assert_eq!(table.reach(2000), (3, 1));
}

#[test]
fn what_a_node_has_spent_is_known_by_incarnation() {
    let mut table = table();
    let spent = vec![Spent { team: 5, tokens: 70 }];
    table.hear(0, 0, Gossip { spent, ..gossip(2, 1) });
    let known: Vec<(u64, &[Spent], bool)> = table.spent(1).collect();
    let spent = [Spent { team: 5, tokens: 70 }];
    assert_eq!(known, [(2001, &spent[..], true)]);
}

/// Symptom: when a data centre is reclaimed, some nodes go on sending work
/// there. Sequence: forty replicas leave at once, and a datagram has room for
/// a dozen. Cause: that they leave was told like everything else.
#[test]
fn one_datagram_says_of_forty_that_they_leave() {
    let (mut from, mut to) = (table(), Table::open(peer(2, 0)));
    for number in 0..40 {
        let id = format!("r{number}");
        from.sight(0, says(&id, 0, 1), false);
        // One half is known here already, the other is heard of later.
        if number % 2 == 0 {
            to.sight(0, says(&id, 0, 1), false);
        }
        from.sight(5, says(&id, 1, 2), true);
    }
    let news = to.hear(6, 0, from.compose(6, 0, Own::default()));
    assert!(news.replicas);
    for number in 0..40 {
        to.sight(7, says(&format!("r{number}"), 0, 1), false);
    }
    let ready = to.replicas().iter().filter(|one| one.state == State::Ready);
    assert_eq!(ready.count(), 0);
}

/// Every replica that one node knows reaches another within some datagrams,
/// although each has room for a few only.
#[test]
fn all_replicas_get_round_in_time() {
    let mut from = table();
    for number in 0..60 {
        from.sight(0, says(&format!("r{number}"), 0, 1), false);
    }
    let mut to = Table::open(peer(2, 0));
    for round in 0..20 {
        let gossip = from.compose(round, 0, Own::default());
        assert!(gossip.replicas.len() <= 15, "too long for a datagram");
        to.hear(round, 0, gossip);
    }
    assert_eq!(to.replicas().len(), 60);
}

/// Symptom: replicas seem silent to some nodes at any time, although their
/// heartbeats come in. Sequence: seventy nodes tell sixteen others a round; a
/// heartbeat that comes in at one node is told once, to those sixteen. Cause:
/// the other nodes learn of it only when the replica has its turn among all.
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
                let says = says(&format!("i-{beat}"), 0, round + 1);
                tables[at].sight(now, says, true);
            }
        }
        for from in 0..tables.len() {
            let told = tables[from].compose(now, now as i64, Own::default());
            for step in 0..16 {
                let to = (from + 1 + (round as usize * 16 + step) % 69) % 70;
                tables[to].hear(now, now as i64, told.clone());
            }
        }
        if round > 20 {
            let heard = tables.iter().flat_map(|table| table.replicas());
            let oldest = heard.map(|one| now - one.heard_at).max();
            worst = worst.max(oldest.unwrap_or(0));
        }
    }
    assert!(worst <= 3600, "{worst} ms old");
}

/// Symptom: requests reach replicas 2.5 s after they said that they leave.
/// Sequence: a hundred and fifty are let go at once, each tells another one of
/// seventy nodes, and a datagram names sixty-four. Cause: the newest were
/// named; what a node had heard itself was soon older than what others told.
#[test]
fn all_nodes_know_in_time_of_hundreds_that_leave_at_once() {
    const NODES: usize = 70;
    let mut tables: Vec<Table> =
        (1..=NODES as u32).map(|ip| Table::open(peer(ip, 0))).collect();
    for table in &mut tables {
        for at in 0..150 {
            table.sight(0, says(&format!("i-{at}"), 0, 1), false);
        }
    }
    for at in 0..150 {
        let leaves = says(&format!("i-{at}"), 1, 2);
        tables[at % NODES].sight(1000, leaves, true);
    }
    for round in 0..7_u64 {
        for from in 0..NODES {
            // Not all in the same moment, but one after the other.
            let now = 1000 + round * 300 + from as u64 * 4;
            let told = tables[from].compose(now, now as i64, Own::default());
            for step in 0..16 {
                let turn = (round as usize * 16 + step) % (NODES - 1);
                let to = (from + 1 + turn) % NODES;
                tables[to].hear(now, now as i64, told.clone());
            }
        }
    }
    let unknown = tables.iter().flat_map(|table| table.replicas());
    let unknown = unknown.filter(|one| one.state == State::Ready).count();
    assert_eq!(unknown, 0, "2.1 s later");
}

/// What a life of a replica says of itself.
fn life(id: &str, born: u64, state: u32, sequence: u64) -> Sighting {
    Sighting { born, ..says(&life_name(id, born), state, sequence) }
}

fn usable(table: &Table, now: u64) -> Vec<String> {
    table.usable(now).into_iter().map(|one| one.id).collect()
}

/// Symptom: a replica that was restarted gets no work for minutes. Sequence:
/// it says that it leaves, ends, and starts again under its id, with its count
/// of statements anew; a statement of its old life comes in after that. Cause:
/// both lives were one replica, whose state never goes back and whose newest
/// statement is the one with the highest count.
#[test]
fn a_replica_that_starts_again_under_its_id_is_used() {
    let mut table = table();
    table.sight(0, life("a", 1000, 0, 50), true);
    table.sight(1, life("a", 1000, 1, 51), true);
    assert!(table.sight(5, life("a", 2000, 0, 1), true));
    assert_eq!(usable(&table, 5), ["a@2000"]);
    // Late word of the old life: its own, and through another node.
    table.sight(6, life("a", 1000, 1, 52), true);
    let late = Gossip {
        replicas: vec![life("a", 1000, 0, 49), life("a", 1000, 2, 53)],
        left: vec![replica_hash("a@1000")],
        ..gossip(2, 1)
    };
    table.hear(7, 0, late);
    assert_eq!(usable(&table, 7), ["a@2000"]);
}

/// Symptom: requests are sent by what a crashed replica had, to the one that
/// took its place. Sequence: it crashes without a word and starts again. Cause:
/// its former life went on counting until it had been silent for long.
#[test]
fn a_life_ends_when_the_next_one_begins() {
    let mut table = table();
    table.sight(0, life("a", 1000, 0, 50), true);
    table.sight(0, life("b", 1000, 0, 50), true);
    table.sight(100, life("a", 2000, 0, 1), false);
    assert_eq!(usable(&table, 100), ["a@2000", "b@1000"]);
    assert_eq!(state(&table, "a@1000"), Some(State::Gone));
    // What is remembered of it does not bring it back either.
    let remembered = Sighting { remembered: true, ..life("a", 500, 0, 9) };
    table.sight(101, remembered, false);
    assert_eq!(usable(&table, 101), ["a@2000", "b@1000"]);
}

/// Symptom: a replica is out of use for good. Sequence: the clock of its VM
/// jumps back while it is down, so its new life began before its old one by
/// the numbers. Cause: the higher number counts, whoever speaks.
#[test]
fn a_clock_that_jumped_back_shuts_no_replica_out() {
    let mut table = table();
    table.sight(0, life("a", 5000, 0, 50), true);
    table.sight(1000, life("a", 4000, 0, 1), true);
    assert_eq!(usable(&table, 1000), ["a@5000"], "may be late word");
    table.sight(11_000, life("a", 4000, 0, 9), true);
    assert_eq!(usable(&table, 11_000), ["a@4000"]);
    // A node that has not noticed yet does not end it.
    let late =
        Gossip { replicas: vec![life("a", 5000, 0, 50)], ..gossip(2, 1) };
    table.hear(11_001, 0, late);
    assert_eq!(usable(&table, 11_001), ["a@4000"]);
}

/// A goodbye that does not tell which life says it is the present one's, also
/// at nodes that hear of it by the replica's number only.
#[test]
fn a_goodbye_without_a_life_ends_the_present_one() {
    let goodbye = Sighting { service: String::new(), ..says("a", 2, 0) };
    let (mut one, mut other) = (table(), Table::open(peer(2, 0)));
    one.sight(0, life("a", 1000, 0, 5), true);
    other.sight(0, life("a", 1000, 0, 5), true);
    one.sight(10, goodbye.clone(), true);
    assert!(usable(&one, 10).is_empty());
    let told = Gossip { left: vec![replica_hash("a")], ..gossip(1, 1) };
    other.hear(11, 0, told);
    assert_eq!(state(&other, "a@1000"), Some(State::Leaving));
    // Its next life is another matter.
    one.sight(5000, life("a", 4000, 0, 1), true);
    assert_eq!(usable(&one, 5000), ["a@4000"]);
}

#[test]
fn a_life_is_named_after_its_replica() {
    for (id, born) in [("a", 0), ("a", 7), ("a@b", 0), ("a@3", 0), ("@", 9)] {
        assert_eq!(replica_of(&life_name(id, born)), id);
    }
    assert_eq!(life_name("a", 0), "a");
}

/// Symptom: a replica that was behind a cut is out of use for a minute.
/// Sequence: it is silent for more than ten seconds; a heartbeat of its former
/// life, held up by the same cut, comes in at a node that did not know that
/// one; then it is heard again. Cause: the
/// late word ended it, as if the clock had jumped back, and one that has ended
/// never came back.
#[test]
fn late_word_after_a_long_silence_costs_seconds_only() {
    let mut table = table();
    table.sight(1000, life("a", 5000, 0, 1), true);
    table.sight(12_000, life("a", 4000, 0, 51), true);
    table.sight(23_000, life("a", 5000, 0, 9), true);
    assert_eq!(usable(&table, 23_000), ["a@5000"]);
    // Word that is old when it is passed on proves nothing either way.
    let told = Sighting { age_ms: 22_000, ..life("a", 4000, 0, 50) };
    let late = Gossip { replicas: vec![told], ..gossip(2, 1) };
    table.hear(35_000, 0, late);
    assert_eq!(usable(&table, 35_000), ["a@5000"]);
}

/// What a node has to tell of a request at two replicas that ended.
/// Guards against limits that two nodes divide by different orders, and against
/// shares of nodes that have no callers.
#[test]
fn nodes_that_hear_each_other_find_the_same_order() {
    let mut tables: Vec<Table> =
        (1..=5).map(|ip| Table::open(peer(ip, 1))).collect();
    for table in &mut tables {
        for ip in 1..=5 {
            table.hear(10, 0, gossip(ip, 1));
        }
    }
    for subject in 0..20 {
        let mut ranks: Vec<usize> = tables
            .iter()
            .map(|table| table.place(20, subject).unwrap())
            .map(|(rank, nodes)| {
                assert_eq!(nodes, 5);
                rank
            })
            .collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2, 3, 4], "subject {subject}");
    }
    tables[0].me().serving = false;
    assert_eq!(tables[0].place(20, 1), None);
}

fn suspects() -> Own {
    let crash = |replica| Crash { fingerprint: 7, replica, age_ms: 30 };
    Own { crashes: vec![crash(1), crash(2)], ..Own::default() }
}

/// Symptom: on a deployment of hundreds of nodes a request ends six replicas
/// more before all keep it away. Sequence: it comes in at one node after the
/// other, each 0.2 s; a node tells sixteen of forty others a round. So it is
/// told at once to all that take requests.
#[test]
fn all_of_forty_nodes_are_told_at_once_of_a_request_that_ends_replicas() {
    let mut table = table();
    for ip in 2..42 {
        table.hear(10, 0, gossip(ip, 1));
    }
    let round = Round { now: 20, wall_ms: 0, number: 1, is_urgent: true };
    let sendings = table.round(round, suspects(), &[]);
    let mut told: Vec<u32> = sendings
        .iter()
        .filter(|sending| sending.gossip.crashes.len() == 2)
        .flat_map(|sending| &sending.to)
        .map(|ip| u32::from(*ip))
        .collect();
    told.sort_unstable();
    told.dedup();
    assert_eq!(told, (2..42).collect::<Vec<u32>>());
}

/// Symptom: a node that stands by ends replicas when its first callers come.
/// Cause: nobody tells it of requests that do; it hears only what it asks for.
#[test]
fn a_node_that_stands_by_is_told_of_requests_that_end_replicas() {
    let mut table = table();
    let standby = Peer { role: 2, ..peer(9, 1) };
    let answer = table.answer(20, 0, suspects(), &standby);
    assert_eq!(answer.crashes, suspects().crashes);
}
