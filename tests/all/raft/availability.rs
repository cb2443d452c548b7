//! Time without a confirmed read after all members have stopped, with as many
//! disks lost as may be and one more member impaired.
//!
//! A cluster runs in virtual time with the timing of a dynamic member. Links
//! carry a few batches at a time, like those in `control::server`; a batch that
//! is not received in time is lost. Unlike there, no batch is sent twice, and
//! large ones don't hold up others. Reads go to the leader, so that no
//! client's search is part of the measurement.

use super::*;

use std::{collections::VecDeque, ops::Range};

const REAL_TIMING: Timing =
    Timing { heartbeat_ms: 150, election_timeout_ms: 1000 };
const STEP_MS: u64 = 5;
const TICK_MS: u64 = 50;
const JOIN_MS: u64 = 500;
/// Time that an operator waits for a read.
const READ_LIMIT_MS: u64 = 800;
const RETRY_MS: u64 = 50;
/// Time after which a batch that is not received is lost.
const BATCH_LIMIT_MS: u64 = 500;
const LINK_BYTES_PER_MS: u64 = 1250;
const ASSUMED_LINK_BYTES_PER_MS: u64 = 500;
const MAX_BATCHES_IN_FLIGHT: usize = 4;
const MAX_QUEUED: usize = 256;
const ENTRIES_PER_SNAPSHOT: usize = 100;
/// Time before the stop, in which the cluster elects its first leader.
const STOP_AT: u64 = 6000;
/// Time after the stop from which reads have to be confirmed.
const RECOVERY_MS: u64 = 12_000;
const END_AT: u64 = STOP_AT + 2 * RECOVERY_MS;
/// Longest time without a read after that: two election timeouts of the
/// longest length, one for an election that fails.
const MAX_GAP_MS: u64 = 4000;

/// What impairs one of the members that keep their disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Its thread runs only every 0.1 to 0.9 s.
    Late,
    /// Messages to and from it take up to 0.4 s each way.
    SlowLink,
    /// It stands still for 1 s of every 3 s.
    Paused,
    /// Each batch that it persists takes 50 to 400 ms.
    SlowSync,
    /// It lacks entries that all others have compacted.
    NeedsSnapshot,
    /// The same, and the snapshot takes longer than the election timeout.
    NeedsLargeSnapshot,
    /// Half of the batches to and from it are lost in the first 6 s.
    LostMessages,
    /// It lacks compacted entries, and half of the batches are lost.
    LostSnapshot,
}

impl Fault {
    const ALL: [Fault; 9] = [
        Fault::None,
        Fault::Late,
        Fault::SlowLink,
        Fault::Paused,
        Fault::SlowSync,
        Fault::NeedsSnapshot,
        Fault::NeedsLargeSnapshot,
        Fault::LostMessages,
        Fault::LostSnapshot,
    ];

    fn needs_snapshot(self) -> bool {
        matches!(
            self,
            Fault::NeedsSnapshot
                | Fault::NeedsLargeSnapshot
                | Fault::LostSnapshot
        )
    }

    fn loses_messages(self) -> bool {
        matches!(self, Fault::LostMessages | Fault::LostSnapshot)
    }
}

/// What becomes of the members that lose their disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// They do not come back; packets to them are dropped.
    Gone,
    /// They come back empty within 4 s.
    Emptied,
}

enum Input {
    Tick(u64),
    Deliver(Vec<Envelope>),
    Read(u64),
    Propose,
}

struct Batch {
    envelopes: Vec<Envelope>,
    arrives_at: Option<u64>,
    free_at: u64,
}

#[derive(Default)]
struct Link {
    queue: VecDeque<Envelope>,
    sending: Vec<Batch>,
}

#[derive(Default)]
struct Vm {
    node: Option<Node>,
    disk: Disk,
    starts_at: Option<u64>,
    now: u64,
    inbox: Vec<Input>,
    busy_until: u64,
    unsynced: Option<Output>,
    applied: u64,
    next_membership_at: u64,
}

struct Schedule {
    rng: StdRng,
    now: u64,
    fault: Fault,
    impaired: usize,
    phase_ms: u64,
    vms: Vec<Vm>,
    links: Vec<Link>,
    snapshot_bytes: usize,
    min_voters: usize,
    next_token: u64,
    /// The read in progress: token, target and deadline.
    read: Option<(u64, usize, u64)>,
    next_read_at: u64,
    /// Times of confirmed reads.
    confirmed: Vec<u64>,
    /// Terms in which a member led after the stop.
    terms: Vec<u64>,
}

impl Schedule {
    fn new(seed: u64, size: usize, fault: Fault) -> Schedule {
        let mut rng = StdRng::seed_from_u64(seed);
        let members: Vec<Member> = (1..=size as u64)
            .map(|id| Member {
                id,
                incarnation: 100 + id,
                address: format!("member {id}"),
                voter: true,
            })
            .collect();
        let min_voters = if size > 4 { 5 } else { 3 };
        let mut vms = Vec::new();
        for member in &members {
            let me = Identity::from(member);
            let mut node = Node::open(
                me,
                REAL_TIMING,
                rng.random(),
                0,
                SavedState::default(),
            );
            node.set_min_healthy_voters(min_voters);
            node.bootstrap(members.clone());
            let mut disk =
                Disk { incarnation: me.incarnation, ..Disk::default() };
            disk.write(&node.take_output());
            node.mark_persisted(node.last_index());
            vms.push(Vm { node: Some(node), disk, ..Vm::default() });
        }
        let snapshot_bytes = match fault {
            Fault::NeedsLargeSnapshot => {
                rng.random_range(1_500_000..4_000_000)
            }
            _ => rng.random_range(10_000..400_000),
        };
        Schedule {
            now: 0,
            fault,
            impaired: rng.random_range(0..size),
            phase_ms: rng.random_range(0..3000),
            vms,
            links: (0..2 * size * size).map(|_| Link::default()).collect(),
            snapshot_bytes,
            min_voters,
            next_token: 1,
            read: None,
            next_read_at: 0,
            confirmed: Vec::new(),
            terms: Vec::new(),
            rng,
        }
    }

    fn has_stopped(&self) -> bool {
        self.now >= STOP_AT
    }

    fn is_impaired(&self, slot: usize) -> bool {
        self.has_stopped() && slot == self.impaired
    }

    fn is_paused(&self, slot: usize) -> bool {
        let is_paused_now = (self.now + self.phase_ms) % 3000 < 1000;
        self.is_impaired(slot) && self.fault == Fault::Paused && is_paused_now
    }

    /// Whether the impaired member is cut off so that it lacks entries.
    fn is_cut_off(&self, slot: usize) -> bool {
        self.fault.needs_snapshot()
            && slot == self.impaired
            && (STOP_AT - 2000..STOP_AT).contains(&self.now)
    }

    fn is_running(&self, slot: usize) -> bool {
        self.vms[slot].node.is_some() && !self.is_paused(slot)
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for slot in 0..self.vms.len() {
            if self.vms[slot].starts_at.is_some_and(|at| self.now >= at) {
                self.start(slot);
            }
        }
        for link in 0..self.links.len() {
            self.advance_link(link);
        }
        if self.now.is_multiple_of(TICK_MS) {
            for slot in 0..self.vms.len() {
                if self.is_running(slot) {
                    self.vms[slot].inbox.push(Input::Tick(self.now));
                }
            }
        }
        if self.now.is_multiple_of(JOIN_MS) {
            self.request_joins();
        }
        self.advance_client();
        for slot in 0..self.vms.len() {
            self.run_member(slot);
        }
    }

    fn start(&mut self, slot: usize) {
        let seed = self.rng.random();
        let vm = &mut self.vms[slot];
        vm.starts_at = None;
        let me =
            Identity { id: slot as u64 + 1, incarnation: vm.disk.incarnation };
        let saved = vm.disk.saved.clone();
        let mut node = Node::open(me, REAL_TIMING, seed, self.now, saved);
        node.set_min_healthy_voters(self.min_voters);
        vm.now = self.now;
        vm.applied = node.snapshot_index();
        vm.node = Some(node);
    }

    /// Stops all members, and starts all but those that are gone.
    fn stop_all(&mut self, losses: usize, loss: Loss) {
        for link in &mut self.links {
            *link = Link::default();
        }
        self.read = None;
        let mut lost = Vec::new();
        while lost.len() < losses {
            let slot = self.rng.random_range(0..self.vms.len());
            if slot != self.impaired && !lost.contains(&slot) {
                lost.push(slot);
            }
        }
        for slot in 0..self.vms.len() {
            let mut disk = std::mem::take(&mut self.vms[slot].disk);
            let mut starts_at =
                Some(self.now + self.rng.random_range(50..600));
            if lost.contains(&slot) {
                disk =
                    Disk { incarnation: self.rng.random(), ..Disk::default() };
                starts_at = (loss == Loss::Emptied)
                    .then(|| self.now + self.rng.random_range(50..4000));
            }
            self.vms[slot] = Vm { disk, starts_at, ..Vm::default() };
        }
    }

    fn latency(&mut self, from: usize, to: usize) -> u64 {
        let is_slow = self.fault == Fault::SlowLink
            && (self.is_impaired(from) || self.is_impaired(to));
        let range = if is_slow { 50..400 } else { 1..20 };
        self.rng.random_range(range)
    }

    fn advance_link(&mut self, link: usize) {
        let size = self.vms.len();
        let (from, to) = (link / 2 / size, link / 2 % size);
        if !self.is_running(from) {
            return;
        }
        for mut batch in std::mem::take(&mut self.links[link].sending) {
            let arrives = batch.arrives_at.is_some_and(|at| self.now >= at);
            if arrives && self.is_running(to) {
                batch.arrives_at = None;
                let answered_at = self.now + self.latency(to, from);
                batch.free_at = batch.free_at.min(answered_at);
                let envelopes = std::mem::take(&mut batch.envelopes);
                self.vms[to].inbox.push(Input::Deliver(envelopes));
            }
            if self.now < batch.free_at {
                self.links[link].sending.push(batch);
            }
        }
        let is_for_snapshots = link % 2 == 1;
        let max_in_flight =
            if is_for_snapshots { 1 } else { MAX_BATCHES_IN_FLIGHT };
        if self.links[link].sending.len() >= max_in_flight {
            return;
        }
        let queue = &mut self.links[link].queue;
        let count = queue.len().min(64);
        if count == 0 {
            return;
        }
        let envelopes: Vec<Envelope> = queue.drain(..count).collect();
        let bytes: u64 = envelopes.iter().map(message_bytes).sum();
        let limit_ms = BATCH_LIMIT_MS + bytes / ASSUMED_LINK_BYTES_PER_MS;
        let is_lossy = self.fault.loses_messages()
            && (self.is_impaired(from) || self.is_impaired(to))
            && self.now < STOP_AT + 6000;
        let is_lost = is_lossy && self.rng.random_bool(0.5)
            || self.is_cut_off(from)
            || self.is_cut_off(to);
        let duration = self.latency(from, to) + bytes / LINK_BYTES_PER_MS;
        self.links[link].sending.push(Batch {
            envelopes,
            arrives_at: (!is_lost).then_some(self.now + duration),
            free_at: self.now + limit_ms,
        });
    }

    /// Lets members that hear no leader ask the newest one to be added.
    fn request_joins(&mut self) {
        let leader = self.newest_leader();
        let Some(leader) = leader else { return };
        for slot in 0..self.vms.len() {
            if !self.is_running(slot) || slot == leader {
                continue;
            }
            let now = self.vms[slot].now;
            let Some(node) = &mut self.vms[slot].node else { continue };
            if !node.hears_leader(now) {
                let address = format!("member {}", slot + 1);
                node.request_join(leader as u64 + 1, address);
            }
        }
    }

    fn newest_leader(&self) -> Option<usize> {
        (0..self.vms.len())
            .filter(|slot| self.is_running(*slot))
            .filter_map(|slot| {
                let node = self.vms[slot].node.as_ref()?;
                node.is_leader().then_some((node.term(), slot))
            })
            .max()
            .map(|(_, slot)| slot)
    }

    fn advance_client(&mut self) {
        if let Some((_, _, deadline)) = self.read
            && self.now >= deadline
        {
            self.read = None;
        }
        let Some(leader) = self.newest_leader() else { return };
        let is_writing = match self.is_cut_off(self.impaired) {
            true => self.now.is_multiple_of(10),
            false => self.now.is_multiple_of(500),
        };
        if is_writing {
            self.vms[leader].inbox.push(Input::Propose);
        }
        if self.read.is_none() && self.now >= self.next_read_at {
            let token = self.next_token;
            self.next_token += 1;
            self.read = Some((token, leader, self.now + READ_LIMIT_MS));
            self.vms[leader].inbox.push(Input::Read(token));
        }
    }

    fn end_read(&mut self, token: u64, is_confirmed: bool) {
        if self.read.is_some_and(|(current, ..)| current == token) {
            self.read = None;
            self.next_read_at = self.now + RETRY_MS;
            if is_confirmed {
                self.confirmed.push(self.now);
            }
        }
    }

    fn run_member(&mut self, slot: usize) {
        if !self.is_running(slot) || self.now < self.vms[slot].busy_until {
            return;
        }
        if let Some(output) = self.vms[slot].unsynced.take()
            && self.finish(slot, output)
        {
            self.process_output_of(slot);
            return;
        }
        let inputs = std::mem::take(&mut self.vms[slot].inbox);
        for input in inputs {
            let vm = &mut self.vms[slot];
            let Some(node) = &mut vm.node else { return };
            match input {
                Input::Tick(now) => {
                    vm.now = now;
                    node.tick(now);
                    if now >= vm.next_membership_at
                        && let Some(members) = node.due_membership(now)
                    {
                        vm.next_membership_at = now + 200;
                        let _ = node.propose_members(now, members);
                    }
                }
                Input::Deliver(messages) => {
                    for message in messages {
                        node.receive(vm.now, message);
                    }
                }
                Input::Propose => {
                    let _ = node.propose(vm.now, vec![7; 100]);
                }
                Input::Read(token) => {
                    if node.start_read(vm.now, token).is_err() {
                        self.end_read(token, false);
                    }
                }
            }
        }
        if self.is_impaired(slot) && self.fault == Fault::Late {
            let pause = self.rng.random_range(100..900);
            self.vms[slot].busy_until = self.now + pause;
        }
        self.process_output_of(slot);
        if let Some(node) = &self.vms[slot].node
            && self.has_stopped()
            && node.is_leader()
            && !self.terms.contains(&node.term())
        {
            self.terms.push(node.term());
        }
    }

    fn process_output_of(&mut self, slot: usize) {
        loop {
            let Some(node) = &mut self.vms[slot].node else { return };
            let output = node.take_output();
            let is_written = output.hard_state.is_some()
                || output.new_snapshot.is_some()
                || !output.entries.is_empty();
            self.vms[slot].disk.write(&output);
            if is_written
                && self.fault == Fault::SlowSync
                && self.is_impaired(slot)
            {
                let duration = self.rng.random_range(50..400);
                self.vms[slot].busy_until = self.now + duration;
                self.vms[slot].unsynced = Some(output);
                return;
            }
            if !self.finish(slot, output) {
                return;
            }
        }
    }

    /// Does what follows a sync; returns whether entries were applied.
    fn finish(&mut self, slot: usize, output: Output) -> bool {
        let size = self.vms.len();
        for message in output.messages {
            let to = message.to as usize - 1;
            // Snapshots have a queue of their own, as in the product.
            let is_snapshot =
                matches!(message.body, Some(Body::SnapshotRequest(_)));
            let link = 2 * (slot * size + to) + usize::from(is_snapshot);
            let max_queued = if is_snapshot { 1 } else { MAX_QUEUED };
            let queue = &mut self.links[link].queue;
            if queue.len() < max_queued {
                queue.push_back(message);
            }
        }
        if let Some(snapshot) = &output.new_snapshot {
            self.vms[slot].applied = snapshot.index;
        }
        let vm = &mut self.vms[slot];
        let Some(node) = &mut vm.node else { return false };
        node.mark_persisted(node.last_index());
        let committed = node.take_committed();
        if let Some(last) = committed.last() {
            vm.applied = last.index;
        }
        if node.log_len() >= ENTRIES_PER_SNAPSHOT
            && let Some((snapshot, entries)) =
                node.compact(vm.applied, vec![0; self.snapshot_bytes])
        {
            vm.disk.saved.entries = entries.to_vec();
            vm.disk.saved.snapshot = Some(snapshot);
        }
        for token in output.confirmed_reads {
            self.end_read(token, true);
        }
        for token in output.refused_reads {
            self.end_read(token, false);
        }
        !committed.is_empty()
    }

    /// The longest time without a confirmed read within `span`.
    fn longest_gap(&self, span: Range<u64>) -> u64 {
        let mut last = span.start;
        let mut longest = 0;
        for at in self.confirmed.iter().copied().chain([span.end]) {
            if at > span.start {
                let at = at.min(span.end);
                longest = longest.max(at - last);
                last = at;
            }
        }
        longest
    }
}

fn message_bytes(message: &Envelope) -> u64 {
    let bytes = match &message.body {
        Some(Body::SnapshotRequest(request)) => request
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.state.len()),
        Some(Body::AppendRequest(request)) => {
            request.entries.iter().map(|entry| entry.payload.len()).sum()
        }
        _ => 0,
    };
    bytes as u64 + 60
}

/// The figures of one schedule, in ms.
#[derive(Clone, Copy, Debug)]
struct Measured {
    seed: u64,
    /// The longest time without a read after the stop.
    longest: u64,
    /// The same from [`RECOVERY_MS`] after the stop on.
    longest_recovered: u64,
    terms: usize,
}

fn run(seed: u64, size: usize, fault: Fault, loss: Loss) -> Measured {
    let mut schedule = Schedule::new(seed, size, fault);
    while schedule.now < STOP_AT {
        schedule.step();
    }
    assert!(
        schedule.confirmed.len() > 10,
        "seed {seed}, {size} members, {fault:?}: no reads before the stop"
    );
    let losses = if size > 4 { 2 } else { 1 };
    schedule.stop_all(losses, loss);
    while schedule.now < END_AT {
        schedule.step();
    }
    Measured {
        seed,
        longest: schedule.longest_gap(STOP_AT..END_AT),
        longest_recovered: schedule.longest_gap(STOP_AT + RECOVERY_MS..END_AT),
        terms: schedule.terms.len(),
    }
}

fn measure(
    seeds: Range<u64>,
    size: usize,
    fault: Fault,
    loss: Loss,
) -> Vec<Measured> {
    let mut all: Vec<Measured> =
        seeds.map(|seed| run(seed, size, fault, loss)).collect();
    let middle = all.len() / 2;
    all.sort_by_key(|one| one.terms);
    let terms = (all[middle].terms, all[all.len() - 1].terms);
    all.sort_by_key(|one| one.longest_recovered);
    let recovered = all[all.len() - 1];
    let recovered_median = all[middle].longest_recovered;
    all.sort_by_key(|one| one.longest);
    let worst = all[all.len() - 1];
    println!(
        "{size} {loss:?} {fault:?}: longest p50 {} p90 {} p99 {} max {} \
         (seed {}); after {RECOVERY_MS} ms p50 {recovered_median} max {} \
         (seed {}); terms p50 {} max {}",
        all[middle].longest,
        all[all.len() * 9 / 10].longest,
        all[all.len() * 99 / 100].longest,
        worst.longest,
        worst.seed,
        recovered.longest_recovered,
        recovered.seed,
        terms.0,
        terms.1,
    );
    all
}

/// Prints the times without a read for each fault; run it with `--ignored
/// --nocapture`.
#[test]
#[ignore = "prints a table of measurements"]
fn print_times_without_reads() {
    for size in [4, 5, 6] {
        for loss in [Loss::Gone, Loss::Emptied] {
            for fault in Fault::ALL {
                measure(1..301, size, fault, loss);
            }
        }
    }
}

/// Checks that reads are confirmed from [`RECOVERY_MS`] after the stop on.
fn check(fault: Fault) {
    for size in [4, 5, 6] {
        for loss in [Loss::Gone, Loss::Emptied] {
            let all = measure(1..41, size, fault, loss);
            let failed: Vec<&Measured> = all
                .iter()
                .filter(|one| one.longest_recovered > MAX_GAP_MS)
                .collect();
            assert!(
                failed.is_empty(),
                "{size} members, {loss:?}, {fault:?}: {failed:?}"
            );
        }
    }
}

/// Guards against a cluster that does not recover from the loss of as many
/// disks as may be.
#[test]
fn reads_come_back_when_disks_are_lost() {
    check(Fault::None);
}

/// Guards against elections that fail in turn, as a voter that is needed
/// answers late.
#[test]
fn reads_come_back_beside_a_late_member() {
    check(Fault::Late);
}

/// Guards against a needed voter whose answers queue up behind each other.
#[test]
fn reads_come_back_beside_a_slow_link() {
    check(Fault::SlowLink);
}

/// Guards against elections that fail in turn, as a voter that is needed
/// stands still again and again.
#[test]
fn reads_come_back_beside_a_member_that_pauses() {
    check(Fault::Paused);
}

/// Guards against a needed voter whose slow disk stops the others.
#[test]
fn reads_come_back_beside_slow_syncs() {
    check(Fault::SlowSync);
}

/// Guards against a leader that is deposed while a snapshot is on its way.
#[test]
fn reads_come_back_while_a_snapshot_is_sent() {
    check(Fault::NeedsSnapshot);
}

/// Guards against leaders that are deposed in turn, as the transfer of a
/// snapshot takes longer than the election timeout and holds up heartbeats.
#[test]
fn reads_come_back_while_a_large_snapshot_is_sent() {
    check(Fault::NeedsLargeSnapshot);
}

/// Guards against votes and heartbeats that are sent once only.
#[test]
fn reads_come_back_after_messages_were_lost() {
    check(Fault::LostMessages);
}

/// Guards against a leader that waits for a snapshot that was lost.
#[test]
fn reads_come_back_after_a_snapshot_was_lost() {
    check(Fault::LostSnapshot);
}
