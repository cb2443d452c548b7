//! Acknowledged changes that outlive lost disks, late messages and replaced
//! VMs.

use super::*;

impl Cluster {
    /// Removes the messages in flight from one process to another.
    fn take_messages(&mut self, from: usize, to: usize) -> Vec<Envelope> {
        let (taken, left) =
            self.in_flight.drain(..).partition(|message: &Envelope| {
                message.from as usize == from + 1
                    && message.to as usize == to + 1
            });
        self.in_flight = left;
        taken
    }

    /// Delivers messages to a process, in order.
    fn receive_all(&mut self, to: usize, messages: Vec<Envelope>) {
        for message in messages {
            let node = self.processes[to].node.as_mut().expect("running");
            node.receive(self.now, message);
            self.process_output(to, false);
        }
    }

    fn propose_at(&mut self, slot: usize) {
        let payload = format!("v{}", self.next_value).into_bytes();
        self.next_value += 1;
        let node = self.processes[slot].node.as_mut().expect("running");
        let index = node.propose(self.now, payload.clone()).expect("leads");
        let term = node.term();
        self.proposals.push((payload, index, term, slot));
        self.process_output(slot, false);
    }

    fn compact_at(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        let node = process.node.as_mut().expect("running");
        let index = process.applied.len() as u64;
        let state = encode(&process.applied);
        let (snapshot, entries) = node.compact(index, state).expect("newer");
        process.disk.saved.snapshot = Some(snapshot);
        process.disk.saved.entries = entries.to_vec();
    }

    /// Runs without faults until a leader has acknowledged a change and all
    /// processes have applied it; returns the leader's slot.
    fn settle(&mut self) -> usize {
        for _ in 0..20_000 {
            self.step(false);
            let applied = self.history.len();
            let is_settled = !self.acknowledged.is_empty()
                && self.proposals.is_empty()
                && self.processes.iter().all(|process| {
                    let last = process.node.as_ref().map(Node::last_index);
                    process.applied.len() == applied
                        && last == Some(applied as u64)
                });
            let leader = self.processes.iter().position(|process| {
                process.node.as_ref().is_some_and(Node::is_leader)
            });
            if let (true, Some(leader)) = (is_settled, leader) {
                self.in_flight.clear();
                return leader;
            }
        }
        panic!("seed {}: not settled", self.seed);
    }

    fn wipe(&mut self, slot: usize) {
        self.crash_process(slot);
        self.next_incarnation += 1;
        self.processes[slot].disk =
            Disk { incarnation: self.next_incarnation, ..Disk::default() };
    }

    /// Whether a process's disk is listed as a voter's on a majority of the
    /// disks.
    fn is_recovered(&self, slot: usize) -> bool {
        let incarnation = self.processes[slot].disk.incarnation;
        let lists_voter = |process: &&Process| {
            let me = Identity { id: 1, incarnation: 1 };
            let saved = process.disk.saved.clone();
            let node = Node::open(me, TIMING, 1, 0, saved);
            node.members().iter().any(|member| {
                member.voter && member.incarnation == incarnation
            })
        };
        let listing = self.processes.iter().filter(lists_voter).count();
        listing > self.processes.len() / 2
    }
}

/// Guards against the loss of an acknowledged change whose copy a member
/// discards for a snapshot that arrives late.
///
/// The snapshot was sent before the member acknowledged the change, and covers
/// only the entries before it. The leader counted the member's copy, and two
/// of five disks are lost right after the acknowledgement, with the other two
/// copies.
#[test]
fn late_snapshot_does_not_discard_an_acknowledged_change() {
    let mut cluster = Cluster::new(5, 5);
    let leader = cluster.settle();
    let mut others = (0..5).filter(|slot| *slot != leader);
    let [late, second, third] =
        std::array::from_fn(|_| others.next().expect("five members"));

    // The late member misses the first change and is sent both changes in one
    // append, which is delayed.
    cluster.propose_at(leader);
    let for_second = cluster.take_messages(leader, second);
    let for_third = cluster.take_messages(leader, third);
    cluster.in_flight.clear();
    cluster.propose_at(leader);
    let append = cluster.take_messages(leader, late);
    let second_change = cluster.take_messages(leader, second);
    cluster.in_flight.clear();
    cluster.receive_all(late, append);
    let reply = cluster.take_messages(late, leader);
    cluster.receive_all(leader, reply);
    let delayed = cluster.take_messages(leader, late);
    cluster.now += TIMING.heartbeat_ms;
    let now = cluster.now;
    cluster.processes[leader].node.as_mut().expect("runs").tick(now);
    cluster.process_output(leader, false);
    let heartbeat = cluster.take_messages(leader, late);
    cluster.in_flight.clear();

    // The first change is committed without the late member and compacted.
    cluster.receive_all(second, for_second);
    cluster.receive_all(third, for_third);
    let replies =
        [second, third].map(|slot| cluster.take_messages(slot, leader));
    cluster.receive_all(leader, replies.concat());
    cluster.compact_at(leader);
    cluster.in_flight.clear();

    // The heartbeat overtakes the append, so a snapshot is sent.
    cluster.receive_all(late, heartbeat);
    let reply = cluster.take_messages(late, leader);
    cluster.receive_all(leader, reply);
    let snapshot = cluster.take_messages(leader, late);
    assert!(
        snapshot.iter().any(|message| {
            matches!(message.body, Some(Body::SnapshotRequest(_)))
        }),
        "no snapshot sent: {snapshot:?}"
    );

    // The append arrives, the second change is committed with the late
    // member's copy, and then the snapshot arrives.
    let acknowledged = cluster.acknowledged.len();
    cluster.receive_all(late, delayed);
    let reply = cluster.take_messages(late, leader);
    cluster.receive_all(leader, reply);
    cluster.receive_all(second, second_change);
    let reply = cluster.take_messages(second, leader);
    cluster.receive_all(leader, reply);
    assert_eq!(cluster.acknowledged.len(), acknowledged + 1);
    cluster.receive_all(late, snapshot);

    cluster.wipe(leader);
    cluster.wipe(second);
    cluster.in_flight.clear();
    cluster.heal();
}

/// Runs schedules that end with the loss of two disks right after an
/// acknowledgement, while all members stop.
fn run_final_faults(first_seed: u64, count: u64, size: u64, steps: u64) {
    let mut in_change = 0;
    let mut lost = 0;
    for seed in first_seed..first_seed + count {
        let mut cluster = Cluster::new(seed, size);
        for _ in 0..steps {
            cluster.step(true);
        }
        let acknowledged = cluster.acknowledged.len();
        for _ in 0..4000 {
            if cluster.acknowledged.len() > acknowledged {
                break;
            }
            cluster.step(true);
        }
        // A disk counts as lost until its member is a voter again.
        let mut wiped: Vec<usize> = (0..size as usize)
            .filter(|slot| !cluster.is_recovered(*slot))
            .collect();
        in_change += usize::from(!wiped.is_empty());
        while wiped.len() < 2 {
            let slot = cluster.random_slot();
            if !wiped.contains(&slot) {
                cluster.wipe(slot);
                wiped.push(slot);
                lost += 1;
            }
        }
        let is_power_loss = cluster.chance(50);
        for slot in 0..size as usize {
            cluster.crash_process(slot);
        }
        if is_power_loss {
            cluster.in_flight.clear();
        }
        cluster.heal();
    }
    assert!(lost as u64 > count, "only {lost} disks lost at the end");
    assert!(in_change > 0, "no fault during a member change");
}

/// Guards against the loss of an acknowledged change when two of five disks
/// are lost and all members stop right after the acknowledgement, during cuts,
/// freezes and member changes.
#[test]
fn five_members_keep_changes_when_two_disks_are_lost_at_the_end() {
    run_final_faults(200_000, 400, 5, 1500);
}

/// Guards against the loss of an acknowledged change when two of six disks
/// are lost and all members stop right after the acknowledgement, during cuts,
/// freezes and member changes.
#[test]
fn six_members_keep_changes_when_two_disks_are_lost_at_the_end() {
    run_final_faults(300_000, 400, 6, 1500);
}

/// Guards against a cluster that stops for good after two VMs of six were
/// replaced and two more lose their disks.
///
/// The replaced VMs still counted towards the quorum eight seconds after they
/// had gone. The deployments allow the next losses six seconds after the new
/// VMs have started.
#[test]
fn two_more_disks_may_be_lost_once_two_vms_are_replaced() {
    const RECOVERY_MS: u64 = 6000;
    let voter = |id| Member {
        id,
        incarnation: 100 + id,
        address: String::new(),
        voter: true,
    };
    let timing = Timing { heartbeat_ms: 150, election_timeout_ms: 1000 };
    let me = Identity { id: 1, incarnation: 101 };
    let mut node = Node::open(me, timing, 5, 0, SavedState::default());
    node.set_min_healthy_voters(5);
    node.bootstrap((1..=6).map(voter).collect());
    let mut now = 2 * timing.election_timeout_ms;
    node.tick(now);
    // Members 5 and 6 have gone, and 7 and 8 are new.
    let gone = [5, 6];
    let end = now + RECOVERY_MS;
    while now < end {
        for id in [7, 8] {
            node.receive(now, join_from(id, 100 + id));
        }
        loop {
            let output = node.take_output();
            node.mark_persisted(node.last_index());
            let running = output
                .messages
                .into_iter()
                .filter(|message| !gone.contains(&message.to));
            let replies: Vec<Envelope> =
                running.filter_map(|message| reply_to(&message)).collect();
            if replies.is_empty() {
                break;
            }
            for reply in replies {
                node.receive(now, reply);
            }
        }
        if let Some(members) = node.due_membership(now) {
            node.propose_members(now, members).expect("leads");
        }
        now += 50;
        node.tick(now);
    }
    assert!(node.is_leader());
    let voters = node.members().iter().filter(|member| member.voter);
    let ids: Vec<u64> = voters.map(|member| member.id).collect();
    let running = ids.iter().filter(|id| !gone.contains(id)).count();
    assert_eq!(running, 6, "not all are voters: {ids:?}");
    assert!(running - 2 > ids.len() / 2, "no quorum after two more: {ids:?}");
}

/// Returns the reply of a member that has all entries it is sent.
fn reply_to(message: &Envelope) -> Option<Envelope> {
    let body = match message.body.as_ref()? {
        Body::VoteRequest(request) => {
            Body::VoteReply(VoteReply { pre: request.pre, granted: true })
        }
        Body::AppendRequest(request) => Body::AppendReply(AppendReply {
            success: true,
            match_index: request.previous_index + request.entries.len() as u64,
            round: request.round,
            ..AppendReply::default()
        }),
        _ => return None,
    };
    Some(Envelope {
        from: message.to,
        from_incarnation: message.to_incarnation,
        to: message.from,
        to_incarnation: message.from_incarnation,
        term: message.term,
        body: Some(body),
    })
}
