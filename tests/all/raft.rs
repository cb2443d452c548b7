//! The replicated log under random schedules, checked against a plain list.
//!
//! Each schedule runs a cluster in memory. Messages are lost, duplicated,
//! delayed and reordered. Members crash before or after a sync, links are cut,
//! processes freeze, and a disk is lost. Seeds are fixed: each failure names
//! its seed, and running the seed again reproduces the failure.
//!
//! Checked throughout each schedule:
//!
//! - no two members lead in one term;
//! - every member applies the same entry at an index;
//! - an acknowledged change is applied exactly once and is never lost;
//! - changes and reads are linearizable: each sees every change that was
//!   acknowledged before it began.

use azuremount::{
    control::raft::{Identity, Node, Output, Refusal, SavedState, Timing},
    wire::{
        AppendReply, AppendRequest, Envelope, LogEntry, Member, VoteReply,
        VoteRequest, envelope::Body,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

mod availability;
mod leaders;
mod losses;
mod replacements;

const TIMING: Timing = Timing { heartbeat_ms: 50, election_timeout_ms: 250 };

/// The data that a process keeps across a crash.
#[derive(Clone, Default)]
struct Disk {
    incarnation: u64,
    saved: SavedState,
}

impl Disk {
    fn write(&mut self, output: &Output) {
        if let Some(snapshot) = &output.new_snapshot {
            self.saved.snapshot = Some(snapshot.clone());
            self.saved.entries.clear();
        }
        if let Some(hard) = output.hard_state {
            self.saved.hard_state = hard;
        }
        let base =
            self.saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        for entry in &output.entries {
            let position = (entry.index - base - 1) as usize;
            self.saved.entries.truncate(position);
            self.saved.entries.push(entry.clone());
        }
    }
}

struct Process {
    node: Option<Node>,
    disk: Disk,
    /// Applied payloads in the order of their indexes, from index 1.
    applied: Vec<Vec<u8>>,
    /// Unconfirmed reads: token, and number of changes that the read must see.
    reads: Vec<(u64, usize)>,
}

struct Cluster {
    seed: u64,
    rng: StdRng,
    now: u64,
    processes: Vec<Process>,
    in_flight: Vec<Envelope>,
    /// Processes that can neither send nor receive messages.
    partitioned: Vec<bool>,
    /// Frozen processes: get no ticks and no messages until they resume.
    frozen: Vec<bool>,
    /// The payload at each index, as the first process applied it.
    history: Vec<Vec<u8>>,
    /// Each term that had a leader, with the id of that leader.
    leaders: Vec<(u64, u64)>,
    /// Unanswered proposals: payload, index, term and proposing process.
    proposals: Vec<(Vec<u8>, u64, u64, usize)>,
    acknowledged: Vec<Vec<u8>>,
    next_value: u64,
    next_token: u64,
    next_incarnation: u64,
    lost_disks: usize,
}

impl Cluster {
    fn new(seed: u64, size: u64) -> Cluster {
        let mut rng = StdRng::seed_from_u64(seed);
        let members: Vec<Member> = (1..=size)
            .map(|id| Member {
                id,
                incarnation: 100 + id,
                address: String::new(),
                voter: true,
            })
            .collect();
        let processes = (1..=size)
            .map(|id| {
                let me = Identity { id, incarnation: 100 + id };
                let seed = rng.random();
                let mut node =
                    Node::open(me, TIMING, seed, 0, SavedState::default());
                // Every member starts with the same first list, as if it had
                // already been replicated.
                node.bootstrap(members.clone());
                let mut disk =
                    Disk { incarnation: 100 + id, ..Disk::default() };
                let output = node.take_output();
                disk.write(&output);
                node.mark_persisted(node.last_index());
                Process {
                    node: Some(node),
                    disk,
                    applied: Vec::new(),
                    reads: Vec::new(),
                }
            })
            .collect();
        Cluster {
            seed,
            rng,
            now: 0,
            processes,
            in_flight: Vec::new(),
            partitioned: vec![false; size as usize],
            frozen: vec![false; size as usize],
            history: Vec::new(),
            leaders: Vec::new(),
            proposals: Vec::new(),
            acknowledged: Vec::new(),
            next_value: 1,
            next_token: 1,
            next_incarnation: 1000,
            lost_disks: 0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn random_slot(&mut self) -> usize {
        self.rng.random_range(0..self.processes.len())
    }

    /// Performs one random step.
    fn step(&mut self, faults: bool) {
        match self.rng.random_range(0..200) {
            0..50 => self.pass_time(),
            50..150 => {
                // Delivers more messages while more are in flight, so that
                // they are not all outdated on delivery.
                for _ in 0..1 + self.in_flight.len() / 16 {
                    self.deliver(faults);
                }
            }
            150..170 => self.propose(),
            170..180 => self.read_from_random(),
            180..190 => self.restart(),
            190..192 if faults => self.crash_random(),
            192..194 if faults => self.toggle_partition(),
            194..196 if faults => self.toggle_freeze(),
            196..198 if faults => self.compact(),
            198 if faults => self.lose_disk(),
            _ => self.pass_time(),
        }
        self.check_leaders();
    }

    fn pass_time(&mut self) {
        self.now += self.rng.random_range(1..40);
        for slot in 0..self.processes.len() {
            if self.frozen[slot] {
                continue;
            }
            if let Some(node) = &mut self.processes[slot].node {
                node.tick(self.now);
                // The node never proposes a member change by itself.
                if let Some(members) = node.due_membership(self.now) {
                    let _ = node.propose_members(self.now, members);
                }
            }
            self.process_output(slot, false);
        }
    }

    fn deliver(&mut self, faults: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.in_flight.len());
        let message = self.in_flight.swap_remove(position);
        if faults && self.chance(5) {
            return;
        }
        if faults && self.chance(5) {
            self.in_flight.push(message.clone());
        }
        let from = message.from as usize - 1;
        let to = message.to as usize - 1;
        if self.partitioned[from] || self.partitioned[to] {
            return;
        }
        if self.frozen[to] {
            self.in_flight.push(message);
            return;
        }
        if let Some(node) = &mut self.processes[to].node {
            node.receive(self.now, message);
        }
        self.process_output(to, faults);
    }

    /// Freezes a process, or resumes it.
    ///
    /// A resumed process starts a read at once, before its next tick.
    fn toggle_freeze(&mut self) {
        let slot = self.random_slot();
        if self.frozen[slot] {
            self.frozen[slot] = false;
            self.read_from(slot);
        } else if self.can_fail_another() {
            self.frozen[slot] = true;
        }
    }

    /// Cuts a member's links, or restores them.
    fn toggle_partition(&mut self) {
        let slot = self.random_slot();
        self.partitioned[slot] =
            !self.partitioned[slot] && self.can_fail_another();
    }

    fn propose(&mut self) {
        let slot = self.random_slot();
        if self.frozen[slot] {
            return;
        }
        let payload = format!("v{}", self.next_value).into_bytes();
        let Some(node) = &mut self.processes[slot].node else { return };
        if let Ok(index) = node.propose(self.now, payload.clone()) {
            let term = node.term();
            self.next_value += 1;
            self.proposals.push((payload, index, term, slot));
        }
        self.process_output(slot, false);
    }

    fn read_from_random(&mut self) {
        let slot = self.random_slot();
        if !self.frozen[slot] {
            self.read_from(slot);
        }
    }

    fn read_from(&mut self, slot: usize) {
        let token = self.next_token;
        // The read must see every change that is acknowledged by now.
        let needed = self.acknowledged.len();
        let process = &mut self.processes[slot];
        let Some(node) = &mut process.node else { return };
        if node.start_read(self.now, token).is_ok() {
            self.next_token += 1;
            process.reads.push((token, needed));
        }
        self.process_output(slot, false);
    }

    fn crash_random(&mut self) {
        let slot = self.random_slot();
        if self.can_fail_another() {
            self.crash_process(slot);
        }
    }

    /// Whether one more process may become unavailable.
    ///
    /// Keeps a majority available, except that 5 percent of the calls allow
    /// any failure.
    fn can_fail_another(&mut self) -> bool {
        let unavailable = (0..self.processes.len()).filter(|&slot| {
            self.processes[slot].node.is_none()
                || self.partitioned[slot]
                || self.frozen[slot]
        });
        2 * unavailable.count() + 2 < self.processes.len() || self.chance(5)
    }

    fn crash_process(&mut self, slot: usize) {
        self.processes[slot].node = None;
        self.processes[slot].applied.clear();
        self.processes[slot].reads.clear();
        self.proposals.retain(|(_, _, _, proposer)| *proposer != slot);
    }

    fn restart(&mut self) {
        let slot = self.random_slot();
        if self.processes[slot].node.is_some() {
            return;
        }
        let disk = self.processes[slot].disk.clone();
        let me =
            Identity { id: slot as u64 + 1, incarnation: disk.incarnation };
        let seed = self.rng.random();
        let snapshot = disk.saved.snapshot.clone();
        let node = Node::open(me, TIMING, seed, self.now, disk.saved);
        self.processes[slot].applied = decode(snapshot.as_ref());
        self.processes[slot].node = Some(node);
    }

    /// Wipes a disk, if a leader reports that the cluster survives the loss.
    ///
    /// An operator reads the same report in `status`. No protocol survives the
    /// loss of a majority of the disks.
    fn lose_disk(&mut self) {
        let slot = self.random_slot();
        let has_spare_voter = self.processes.iter().any(|process| {
            process.node.as_ref().is_some_and(|node| {
                node.survivable_losses(self.now) > 0
                    && node.members().iter().all(|member| {
                        let process = &self.processes[member.id as usize - 1];
                        member.voter
                            && member.incarnation == process.disk.incarnation
                    })
            })
        });
        if !has_spare_voter {
            return;
        }
        self.crash_process(slot);
        self.next_incarnation += 1;
        self.processes[slot].disk =
            Disk { incarnation: self.next_incarnation, ..Disk::default() };
        self.lost_disks += 1;
    }

    fn compact(&mut self) {
        let slot = self.random_slot();
        let process = &mut self.processes[slot];
        let Some(node) = &mut process.node else { return };
        let index = process.applied.len() as u64;
        let state = encode(&process.applied);
        if let Some((snapshot, entries)) = node.compact(index, state) {
            process.disk.saved.snapshot = Some(snapshot);
            process.disk.saved.entries = entries.to_vec();
        }
    }

    /// Does what a member's driver does after each input.
    fn process_output(&mut self, slot: usize, faults: bool) {
        loop {
            let may_crash = faults && self.can_fail_another();
            let crash_before_sync = may_crash && self.chance(1);
            let crash_before_send = may_crash && self.chance(1);
            let process = &mut self.processes[slot];
            let Some(node) = &mut process.node else { return };
            let output = node.take_output();
            if crash_before_sync {
                self.crash_process(slot);
                return;
            }
            process.disk.write(&output);
            if let Some(snapshot) = &output.new_snapshot {
                process.applied = decode(Some(snapshot));
            }
            if crash_before_send {
                self.crash_process(slot);
                return;
            }
            self.in_flight.extend(output.messages);
            node.mark_persisted(node.last_index());
            let committed = node.take_committed();
            let has_committed = !committed.is_empty();
            for entry in committed {
                self.apply(slot, entry);
            }
            let process = &mut self.processes[slot];
            for token in output.confirmed_reads {
                let position =
                    process.reads.iter().position(|read| read.0 == token);
                if let Some(position) = position {
                    let (_, needed) = process.reads.remove(position);
                    let applied = &process.applied;
                    for value in &self.acknowledged[..needed] {
                        assert!(
                            applied.contains(value),
                            "seed {}: a read misses an acknowledged change",
                            self.seed
                        );
                    }
                }
            }
            if !has_committed {
                return;
            }
        }
    }

    fn apply(&mut self, slot: usize, entry: LogEntry) {
        let index = entry.index as usize;
        let process = &mut self.processes[slot];
        assert_eq!(
            process.applied.len() + 1,
            index,
            "seed {}: applied out of order",
            self.seed
        );
        process.applied.push(entry.payload.clone());
        if self.history.len() < index {
            self.history.push(entry.payload.clone());
        }
        assert_eq!(
            self.history[index - 1],
            entry.payload,
            "seed {}: two members differ at {index}",
            self.seed
        );
        let position = self.proposals.iter().position(
            |(_, proposed_index, term, proposer)| {
                *proposed_index == entry.index
                    && *term == entry.term
                    && *proposer == slot
            },
        );
        if let Some(position) = position {
            let (payload, ..) = self.proposals.remove(position);
            assert_eq!(payload, entry.payload, "seed {}", self.seed);
            self.acknowledged.push(payload);
        }
    }

    fn check_leaders(&mut self) {
        for process in &self.processes {
            let Some(node) = &process.node else { continue };
            if !node.is_leader() {
                continue;
            }
            let (term, id) = (node.term(), node.identity().id);
            match self.leaders.iter().find(|(known, _)| *known == term) {
                Some((_, known)) => assert_eq!(
                    *known, id,
                    "seed {}: two leaders in term {term}",
                    self.seed
                ),
                None => self.leaders.push((term, id)),
            }
        }
    }

    fn describe(&self) -> Vec<String> {
        let processes = self.processes.iter();
        let lines = processes.map(|process| match &process.node {
            Some(node) => format!(
                "{:?} term {} leads {} commit {} last {} members {:?}",
                node.identity(),
                node.term(),
                node.is_leader(),
                node.commit_index(),
                node.last_index(),
                node.members(),
            ),
            None => "down".to_owned(),
        });
        lines.collect()
    }

    fn restart_all(&mut self) {
        while self.processes.iter().any(|process| process.node.is_none()) {
            self.restart();
        }
    }

    /// Ends all faults, and checks that all members then agree and make
    /// progress.
    fn heal(&mut self) {
        self.partitioned.fill(false);
        self.frozen.fill(false);
        self.restart_all();
        let first_new_value = self.next_value;
        for _ in 0..20_000 {
            self.step(false);
            for _ in 0..3 {
                self.deliver(false);
            }
            let caught_up = self
                .processes
                .iter()
                .all(|process| process.applied.len() == self.history.len());
            let all_voters = self.processes.iter().all(|process| {
                process.node.as_ref().is_some_and(|node| {
                    node.members().iter().all(|member| member.voter)
                })
            });
            if caught_up && all_voters && self.next_value > first_new_value + 3
            {
                break;
            }
        }
        assert!(
            self.next_value > first_new_value + 3,
            "seed {}: no progress after healing: {:#?}",
            self.seed,
            self.describe()
        );
        for value in &self.acknowledged {
            let count = self
                .history
                .iter()
                .filter(|applied| *applied == value)
                .count();
            assert_eq!(count, 1, "seed {}: lost or duplicated", self.seed);
        }
    }
}

fn encode(applied: &[Vec<u8>]) -> Vec<u8> {
    let lines: Vec<String> =
        applied.iter().map(|payload| format!("{payload:?}")).collect();
    lines.join("\n").into_bytes()
}

fn decode(snapshot: Option<&azuremount::wire::Snapshot>) -> Vec<Vec<u8>> {
    let Some(snapshot) = snapshot else { return Vec::new() };
    let text = String::from_utf8(snapshot.state.clone()).expect("text");
    text.lines()
        .map(|line| {
            line.trim_matches(['[', ']'])
                .split(", ")
                .filter(|number| !number.is_empty())
                .map(|number| number.parse().expect("a byte"))
                .collect()
        })
        .collect()
}

fn run_schedules(first_seed: u64, count: u64, size: u64, steps: u64) {
    let mut acknowledged = 0;
    let mut lost_disks = 0;
    for seed in first_seed..first_seed + count {
        let mut cluster = Cluster::new(seed, size);
        for _ in 0..steps {
            cluster.step(true);
        }
        cluster.heal();
        acknowledged += cluster.acknowledged.len();
        lost_disks += cluster.lost_disks;
    }
    // Schedules without changes or lost disks would prove nothing.
    assert!(acknowledged as u64 > 15 * count, "only {acknowledged} changes");
    assert!(lost_disks as u64 > count / 20, "only {lost_disks} lost disks");
}

#[test]
fn three_members_stay_linearizable_under_1500_schedules() {
    run_schedules(1, 1500, 3, 1500);
}

#[test]
fn five_members_stay_linearizable_under_600_schedules() {
    run_schedules(100_000, 600, 5, 6300);
}

/// Guards against the loss of an acknowledged change.
///
/// Members 1 and 2 commit a change while member 3 is partitioned. Member 2
/// loses its disk and restarts empty, and member 1 crashes. Member 3 starts an
/// election. Member 2 has lost the change, so it must not vote for member 3
/// under the incarnation of the lost disk.
#[test]
fn wiped_member_does_not_vote_under_its_old_incarnation() {
    let mut cluster = Cluster::new(3, 3);
    cluster.partitioned[2] = true;
    while cluster.acknowledged.is_empty() {
        cluster.step(false);
    }
    cluster.crash_process(1);
    cluster.processes[1].disk = Disk { incarnation: 999, ..Disk::default() };
    cluster.crash_process(0);
    cluster.partitioned[2] = false;
    cluster.in_flight.clear();
    let me = Identity { id: 2, incarnation: 999 };
    let empty = SavedState::default();
    let node = Node::open(me, TIMING, 1, cluster.now, empty);
    cluster.processes[1].node = Some(node);
    for _ in 0..400 {
        // Only members 2 and 3 run. Neither may become leader.
        cluster.pass_time();
        for _ in 0..3 {
            cluster.deliver(false);
        }
        for process in &cluster.processes {
            let leads = process.node.as_ref().is_some_and(Node::is_leader);
            assert!(!leads, "a leader without the acknowledged change");
        }
    }
    // Once member 1 is back, the change still exists and member 2 rejoins.
    cluster.restart_all();
    cluster.heal();
}

/// Guards against a `status` that overstates the survivable losses, so that an
/// operator takes a VM down and loses the cluster.
///
/// A learner's promotion is appended but not committed when the losses are
/// counted, and the leader crashes with the only copy of the promotion. A
/// count by the newest list in the log alone is too high.
#[test]
fn survivable_losses_consider_the_committed_member_list() {
    let mut cluster = Cluster::new(11, 3);
    cluster.processes[2].node = None;
    cluster.processes[2].disk = Disk { incarnation: 999, ..Disk::default() };
    for _ in 0..20_000 {
        cluster.step(false);
        cluster.restart_all();
        for process in &cluster.processes {
            let Some(node) = &process.node else { continue };
            let promoted = node
                .members()
                .iter()
                .any(|member| member.incarnation == 999 && member.voter);
            let members = |process: &Process| {
                let node = process.node.as_ref().map(Node::members);
                node.unwrap_or_default().to_vec()
            };
            let holders = cluster
                .processes
                .iter()
                .filter(|other| members(other) == node.members())
                .count();
            if node.is_leader() && promoted && holders == 1 {
                assert_eq!(node.survivable_losses(cluster.now), 0);
                return;
            }
        }
    }
    panic!("the learner was never promoted");
}

fn three_members() -> Vec<Member> {
    let member = |id| Member {
        id,
        incarnation: 100 + id,
        address: String::new(),
        voter: true,
    };
    vec![member(1), member(2), member(3)]
}

/// Makes member 1 of three the leader, with an entry of an earlier term in its
/// log.
fn leader_with_entry_of_older_term() -> (Node, u64) {
    let me = Identity { id: 1, incarnation: 101 };
    let mut node = Node::open(me, TIMING, 5, 0, SavedState::default());
    node.bootstrap(three_members());
    let now = 2 * TIMING.election_timeout_ms;
    node.tick(now);
    for pre in [true, false] {
        let term = node.term() + u64::from(pre);
        node.receive(
            now,
            from_member_2(
                term,
                Body::VoteReply(VoteReply { pre, granted: true }),
            ),
        );
    }
    assert!(node.is_leader());
    node.take_output();
    node.mark_persisted(node.last_index());
    (node, now)
}

fn from_member_2(term: u64, body: Body) -> Envelope {
    Envelope {
        from: 2,
        from_incarnation: 102,
        to: 1,
        to_incarnation: 101,
        term,
        body: Some(body),
    }
}

fn append_success(index: u64) -> Body {
    let reply = AppendReply {
        success: true,
        match_index: index,
        round: 1,
        ..AppendReply::default()
    };
    Body::AppendReply(reply)
}

/// Guards against the replacement of a committed change by another.
///
/// An entry of an older term reaches a majority and counts as committed. The
/// leader crashes, and a member is elected that lacks the entry but has a
/// newer last term. A leader must therefore count the copies of entries of its
/// own term only.
#[test]
fn entry_of_older_term_commits_only_with_entry_of_current_term() {
    let (mut node, now) = leader_with_entry_of_older_term();
    let term = node.term();
    node.receive(now, from_member_2(term, append_success(1)));
    assert_eq!(node.commit_index(), 0);
    node.receive(now, from_member_2(term, append_success(2)));
    assert_eq!(node.commit_index(), 2);
}

/// Guards against two leaders that each have a quorum of their own member
/// list.
///
/// Two uncommitted changes of one voter each make this possible. So a leader
/// must refuse a change until the one before it, and the first entry of its
/// term, are committed.
#[test]
fn member_changes_are_made_one_at_a_time() {
    let (mut node, now) = leader_with_entry_of_older_term();
    let term = node.term();
    let mut two_members = three_members();
    two_members.pop();
    let refused = Err(Refusal::ChangePending);
    assert_eq!(node.propose_members(now, two_members.clone()), refused);
    node.receive(now, from_member_2(term, append_success(2)));
    assert_eq!(node.propose_members(now, two_members.clone()), Ok(3));
    assert_eq!(node.propose_members(now, three_members()), refused);
}

/// Guards against changes that a partitioned leader accepts and that are lost
/// when the partition ends.
///
/// The leader gets no messages from the other members, but operators and
/// entries on its side of the partition still reach it. A leader that hears no
/// other member must not stay leader.
#[test]
fn partitioned_leader_steps_down() {
    let (mut node, now) = leader_with_entry_of_older_term();
    node.receive(now, from_member_2(node.term(), append_success(2)));
    assert!(node.propose(now + 10, b"one".to_vec()).is_ok());
    node.tick(now + TIMING.election_timeout_ms + 1);
    assert!(!node.is_leader());
    let refused =
        node.propose(now + TIMING.election_timeout_ms + 1, b"two".to_vec());
    assert_eq!(refused, Err(Refusal::NotLeader { leader: None }));
}

/// Makes member 1 of three the leader, with an entry of its own term
/// committed, so that member changes are possible.
fn leader_with_committed_entry() -> (Node, u64) {
    let (mut node, now) = leader_with_entry_of_older_term();
    node.receive(now, from_member_2(node.term(), append_success(2)));
    (node, now)
}

fn join_from(id: u64, incarnation: u64) -> Envelope {
    Envelope {
        from: id,
        from_incarnation: incarnation,
        to: 1,
        to_incarnation: 0,
        term: 0,
        body: Some(Body::Join("there".to_owned())),
    }
}

/// A process that is in no member list asks to join, and is added as a learner
/// first.
#[test]
fn joining_process_becomes_a_learner() {
    let (mut node, now) = leader_with_committed_entry();
    node.receive(now, join_from(9, 77));
    let due = node.due_membership(now).unwrap();
    let new = due.iter().find(|member| member.id == 9).unwrap();
    assert!(!new.voter && new.incarnation == 77 && new.address == "there");
    assert_eq!(due.len(), 4);
    assert!(node.propose_members(now, due).is_ok());
    node.receive(now, join_from(9, 77));
    assert_eq!(node.due_membership(now), None, "already a member");
}

/// Guards against a member that lost its disk and votes under its old
/// incarnation.
///
/// The member asks to join under its old id with a new incarnation.
#[test]
fn wiped_member_rejoins_as_a_learner() {
    let (mut node, now) = leader_with_committed_entry();
    node.receive(now, join_from(3, 999));
    let due = node.due_membership(now).unwrap();
    let rejoined = due.iter().find(|member| member.id == 3).unwrap();
    assert!(!rejoined.voter && rejoined.incarnation == 999);
    assert_eq!(due.len(), 3);
}

/// Guards against a cluster that stops although most of its VMs run.
///
/// If two VMs that were replaced for good still counted towards the quorum,
/// the loss of one more would stop the cluster.
#[test]
fn silent_members_are_removed_while_enough_healthy_voters_remain() {
    let (mut node, mut now) = leader_with_committed_entry();
    for (min_healthy, is_removed) in [(3, false), (2, true)] {
        node.set_min_healthy_voters(min_healthy);
        // Member 2 always answers, member 3 never.
        for _ in 0..100 {
            now += 100;
            node.tick(now);
            let appended =
                node.take_output().messages.into_iter().find_map(|message| {
                    match (message.to, message.body) {
                        (2, Some(Body::AppendRequest(append))) => Some(append),
                        _ => None,
                    }
                });
            if let Some(append) = appended {
                let reply = AppendReply {
                    success: true,
                    match_index: 2,
                    round: append.round,
                    ..AppendReply::default()
                };
                let body = Body::AppendReply(reply);
                node.receive(now, from_member_2(node.term(), body));
            }
        }
        let due = node.due_membership(now);
        let removed = due.is_some_and(|members| members.len() == 2);
        assert_eq!(removed, is_removed, "with a minimum of {min_healthy}");
    }
}

#[test]
fn single_member_commits_alone() {
    let mut cluster = Cluster::new(7, 1);
    for _ in 0..200 {
        cluster.step(false);
    }
    assert!(!cluster.acknowledged.is_empty());
}
