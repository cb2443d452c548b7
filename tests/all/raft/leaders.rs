//! What single members send and answer while there is no leader, or while the
//! leader lacks confirmations.

use super::*;

/// A leader of three whose log begins with a snapshot, with member 2 up to
/// date and member 3 without any entry.
fn leader_that_sends_a_snapshot() -> (Node, u64) {
    let (mut node, now) = leader_with_committed_entry();
    node.take_committed();
    node.compact(2, vec![0; 100]).expect("committed");
    let reply = AppendReply {
        success: false,
        match_index: 0,
        round: 1,
        ..AppendReply::default()
    };
    let message = Envelope {
        from: 3,
        from_incarnation: 103,
        ..from_member_2(node.term(), Body::AppendReply(reply))
    };
    node.take_output();
    node.receive(now, message);
    (node, now)
}

/// Guards against a leader that steps down for want of a member to which it
/// sends a snapshot, and against reads that it can't confirm meanwhile.
#[test]
fn rounds_reach_a_member_whose_snapshot_is_in_flight() {
    let (mut node, now) = leader_that_sends_a_snapshot();
    let sent = node.take_output().messages;
    assert!(sent.iter().any(|message| {
        message.to == 3
            && matches!(message.body, Some(Body::SnapshotRequest(_)))
    }));
    node.start_read(now + 10, 1).expect("leads");
    let sent = node.take_output().messages;
    let heartbeat = sent.iter().find(|message| message.to == 3);
    let Some(Body::AppendRequest(append)) =
        heartbeat.and_then(|message| message.body.as_ref())
    else {
        panic!("no round sent: {sent:?}");
    };
    assert!(append.entries.is_empty());
    let reply = AppendReply {
        success: false,
        match_index: 0,
        round: append.round,
        ..AppendReply::default()
    };
    let message = Envelope {
        from: 3,
        from_incarnation: 103,
        ..from_member_2(node.term(), Body::AppendReply(reply))
    };
    node.receive(now + 20, message);
    let output = node.take_output();
    assert_eq!(output.confirmed_reads, [1]);
    assert!(
        !output.messages.iter().any(|message| {
            matches!(message.body, Some(Body::SnapshotRequest(_)))
        }),
        "the snapshot was sent twice"
    );
}

/// Guards against a leader that commits nothing for seconds, as it finds the
/// last entry that a member shares with it one entry a round trip.
#[test]
fn conflicting_entries_are_skipped_by_term() {
    let entry = |index, term| LogEntry { index, term, payload: Vec::new() };
    let me = Identity { id: 1, incarnation: 101 };
    let entries = (1..=5)
        .map(|index| entry(index, 1))
        .chain((6..=100).map(|index| entry(index, 2)))
        .collect();
    let saved = SavedState { entries, ..SavedState::default() };
    let mut node = Node::open(me, TIMING, 5, 0, saved);
    let request = AppendRequest {
        previous_index: 90,
        previous_term: 3,
        commit: 0,
        round: 1,
        entries: Vec::new(),
    };
    node.receive(0, from_member_2(3, Body::AppendRequest(request)));
    let replies = node.take_output().messages;
    let Some(Body::AppendReply(reply)) = &replies[0].body else {
        panic!("no reply: {replies:?}");
    };
    assert!(!reply.success);
    assert_eq!(reply.match_index, 5);
}

/// Guards against an election that a voter delays for the rest of an election
/// timeout, as it still hears of the leader that has stepped down and asks for
/// its vote.
#[test]
fn a_leader_that_stepped_down_gets_the_votes_of_its_followers() {
    let me = Identity { id: 1, incarnation: 101 };
    let mut node = Node::open(me, TIMING, 5, 0, SavedState::default());
    node.bootstrap(three_members());
    let request = AppendRequest {
        previous_index: 0,
        previous_term: 0,
        commit: 0,
        round: 1,
        entries: Vec::new(),
    };
    node.receive(0, from_member_2(2, Body::AppendRequest(request)));
    node.take_output();
    let pre_vote = VoteRequest { pre: true, last_index: 1, last_term: 1 };
    let from_3 = Envelope {
        from: 3,
        from_incarnation: 103,
        ..from_member_2(3, Body::VoteRequest(pre_vote))
    };
    for (message, expected) in [
        (from_3.clone(), false),
        (from_member_2(3, Body::VoteRequest(pre_vote)), true),
        // Member 2 no longer leads, so others may as well.
        (from_3, true),
    ] {
        node.receive(10, message);
        let replies = node.take_output().messages;
        let Some(Body::VoteReply(reply)) = &replies[0].body else {
            panic!("no reply: {replies:?}");
        };
        assert_eq!(reply.granted, expected, "{replies:?}");
    }
}

/// Guards against an election that waits for another timeout, as the request
/// for a vote or its answer was lost.
#[test]
fn votes_are_requested_again_from_voters_that_do_not_answer() {
    let me = Identity { id: 1, incarnation: 101 };
    let mut node = Node::open(me, TIMING, 5, 0, SavedState::default());
    node.bootstrap(three_members());
    let now = 2 * TIMING.election_timeout_ms;
    node.tick(now);
    assert_eq!(node.take_output().messages.len(), 2);
    let granted = VoteReply { pre: true, granted: true };
    for again in 1..4 {
        node.tick(now + again * TIMING.heartbeat_ms);
        let requests = node.take_output().messages;
        let asked: Vec<u64> = requests
            .iter()
            .filter(|message| {
                matches!(message.body, Some(Body::VoteRequest(_)))
            })
            .map(|message| message.to)
            .collect();
        assert_eq!(asked, [2, 3]);
    }
    node.receive(now + 200, from_member_2(1, Body::VoteReply(granted)));
    assert_eq!(node.candidacy().map(|own| own.pre_vote), Some(true));
}

/// Guards against logs that do not name the member for want of which a leader
/// can't confirm reads.
#[test]
fn unconfirmed_reads_name_the_voters_that_are_missing() {
    let (mut node, now) = leader_that_sends_a_snapshot();
    node.start_read(now, 1).expect("leads");
    assert_eq!(node.unconfirmed_reads(now + 299, 300), None);
    let reads = node.unconfirmed_reads(now + 320, 300).expect("late");
    assert_eq!(reads.ages_ms, [320]);
    let missing: Vec<(u64, u64, Option<u64>)> = reads
        .missing
        .iter()
        .map(|voter| (voter.silent_ms, voter.lacks, voter.snapshot_ms))
        .collect();
    assert_eq!(missing, [(320, 0, None), (320, 2, Some(320))]);
}
