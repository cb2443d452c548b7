//! One control member: the thread that drives log, disk and ledger.
//!
//! Commands arrive through a channel. Each round takes a batch of waiting
//! commands, steps the [`raft::Node`](super::raft::Node), persists the output
//! with a single sync (group commit), sends messages, applies committed
//! entries, and then answers. The thread owns all of its state, so it needs no
//! locks.
//!
//! # Disk errors
//!
//! A failed write or sync ends the thread with an error. The process exits
//! too, unless the member is a [dynamic](super::seat) one, which restarts.
//! Continuing could acknowledge data that is not on the disk: after a failed
//! sync the kernel may have dropped the dirty pages, and the next sync
//! succeeds without them.

use std::{collections::VecDeque, sync::Arc};

use prost::Message;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};

use super::{
    availability::Monitor,
    disk::{self, Disk},
    ledger::{Ledger, Source},
    raft::{Identity, Node, Output, Refusal},
    roster::{ENDPOINT_LEASE_MS, ENTRY_LEASE_MS, Roster},
};
use crate::{
    config,
    util::{common, wall_ms},
    wire::{
        Change, ConfigReply, Depart, Envelope, LogEntry, Member, Outcome,
        PutPlan, Query, QueryReply, RolloutState, SourceFile, StatusReply,
        SyncReply, SyncRequest, change, query, query_reply,
    },
};

/// Maximum number of commands in one round.
const MAX_COMMANDS_PER_ROUND: usize = 1024;
/// Time that the leader holds a sync without changes before it answers, in
/// ms.
const MAX_SYNC_HOLD_MS: u64 = 500;
/// Time after a majority confirmed the leader during which it answers syncs,
/// in ms.
///
/// Together with [`ENTRY_LEASE_MS`] it bounds the time during which an entry
/// can use an old configuration that it got from a partitioned leader.
const QUORUM_LEASE_MS: u64 = 1000;
/// Time after a majority confirmed the leader during which it acts for the
/// whole system, in ms.
///
/// Well below the minimum election timeout, so that the leader stops before
/// another member can be elected.
const LEADERSHIP_LEASE_MS: u64 = 500;
/// Time after which an unchanged commit index is persisted on its own, in ms.
///
/// The next log entry, if one arrives earlier, persists it without an extra
/// write.
const COMMIT_PERSIST_DELAY_MS: u64 = 200;

/// Time without an answer after which a leader lists a member as unheard, in
/// ms.
///
/// Three heartbeat intervals. The list is logged when the leader loses its
/// leadership.
const UNHEARD_THRESHOLD_MS: u64 = 450;
/// Time between two ticks above which the delay is logged, in ms.
///
/// Half of the minimum election timeout.
const TICK_DELAY_WARNING_MS: u64 = 500;

/// Log size at which the log is compacted into a snapshot, in bytes,
/// regardless of the number of entries.
///
/// With its copy in memory, the log uses a twentieth of the smallest VM's
/// memory. With the files that compaction rewrites, it stays well below that
/// VM's disk of 64 MB.
const COMPACTION_LOG_BYTES: u64 = 8_000_000;
/// Minimum ratio of the log size to the size of the last snapshot at which the
/// log is compacted because of its size.
///
/// Without it, a state of some megabytes would be rewritten for each entry.
const COMPACTION_SNAPSHOT_FACTOR: u64 = 3;

/// An error of a proposal, a read or a sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was appended. The address is that of the leader, if known.
    NotLeader(Option<String>),
    /// The change was appended, but this member no longer leads; the change
    /// may still be committed.
    Unknown,
}

type Answer<T> = oneshot::Sender<Result<T, Failure>>;

/// The state that a member publishes to the rest of its process.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The current term.
    pub term: u64,
    /// The leader's id, if known.
    pub leader: Option<u64>,
    /// Whether this member leads.
    pub leads: bool,
    /// Whether a leader was heard within the last election timeout.
    pub hears_leader: bool,
    /// Number of reads that this process's member could not confirm in time
    /// while it led.
    pub late_reads: u64,
    /// The newest gateway plan that is known to be committed.
    pub plan: Option<Arc<PutPlan>>,
    /// The newest state of the roll-outs that is known to be committed.
    pub rollouts: Arc<RolloutState>,
}

common! {
    copy
    /// A leader's right to act for the whole system, at one point in time.
    pub struct Leadership {
        /// The leader's term, used as fencing token.
        pub term: u64,
        /// Time since the member became leader, in ms.
        pub leading_ms: u64,
        /// Whether the cluster has had no leader before: the member started
        /// the cluster and leads for the first time.
        pub is_first: bool,
    }
}

/// Settings of a dynamic member, whose peers are not in its settings file.
#[derive(Clone, Debug)]
pub struct DynamicMember {
    /// The address at which other members reach this member.
    pub address: String,
    /// Number of voters below which a new cluster accepts no plan.
    pub min_voters: usize,
    /// Whether this process started the cluster.
    pub founded: bool,
    /// The channel on which the member publishes its view.
    pub view: watch::Sender<View>,
}

/// A command to the member's thread.
#[derive(Debug)]
pub enum Command {
    /// Advance the clock to this time, in ms.
    Tick(u64),
    /// Receive messages from other members.
    Deliver(Vec<Envelope>),
    /// Propose a change to the log.
    Propose(Box<Change>, Answer<Outcome>),
    /// Answer a query with a linearizable read.
    Read(Query, Answer<QueryReply>),
    /// Answer the sync of an entry.
    Sync(Box<SyncRequest>, Answer<SyncReply>),
    /// Return the member's identity and whether its log is empty.
    Probe(oneshot::Sender<(Identity, bool)>),
    /// Write the first member list; only after all members were probed.
    Bootstrap(Vec<Member>),
    /// Return the leadership if this member may act for the whole system now.
    Leadership(oneshot::Sender<Option<Leadership>>),
    /// Ask the member with this id to add this member to the cluster.
    Join(u64),
    /// Announce to the leader that this process is stopping.
    AnnounceStop,
    /// Stop the thread.
    Stop,
}

struct HeldSync {
    until: u64,
    request: SyncRequest,
    answer: Answer<SyncReply>,
}

struct PendingRead {
    token: u64,
    request: ReadRequest,
}

enum ReadRequest {
    Query(Query, Answer<QueryReply>),
    Sync(Box<SyncRequest>, Answer<SyncReply>),
}

/// The state of a member's thread.
pub struct Thread {
    node: Node,
    disk: Disk,
    ledger: Ledger,
    snapshot_entries: usize,
    send: Box<dyn Fn(Vec<Envelope>) + Send>,
    now: u64,
    applied: u64,
    roster: Option<Roster>,
    pending_proposals: VecDeque<(u64, u64, Answer<Outcome>)>,
    pending_reads: Vec<PendingRead>,
    next_token: u64,
    held_syncs: Vec<HeldSync>,
    proposed_departures: Vec<Depart>,
    departures_cleared_at: u64,
    next_membership_at: u64,
    dynamic: Option<DynamicMember>,
    /// Time when this member became leader, in ms.
    leader_since: u64,
    /// Members that do not answer the leader, with the time since their last
    /// answer in ms. The last list before a loss of leadership shows its
    /// cause.
    unheard: Vec<(String, u64)>,
    monitor: Monitor,
    /// Number of times that this member became leader since its thread
    /// started.
    times_led: u32,
    /// The commit index on disk.
    persisted_commit: u64,
    /// The current commit index, and the time in ms when it was first seen.
    last_commit: (u64, u64),
}

impl Thread {
    /// Creates the state of a thread; the ledger starts from the snapshot.
    pub fn open(
        node: Node,
        disk: Disk,
        snapshot: Option<&[u8]>,
        snapshot_entries: usize,
        send: Box<dyn Fn(Vec<Envelope>) + Send>,
    ) -> Thread {
        let ledger = snapshot.and_then(Ledger::decode).unwrap_or_default();
        // The first round applies the other committed entries.
        let applied = node.snapshot_index();
        Thread {
            node,
            disk,
            ledger,
            snapshot_entries,
            send,
            now: 0,
            applied,
            roster: None,
            pending_proposals: VecDeque::new(),
            pending_reads: Vec::new(),
            next_token: 1,
            held_syncs: Vec::new(),
            proposed_departures: Vec::new(),
            departures_cleared_at: 0,
            next_membership_at: 0,
            dynamic: None,
            leader_since: 0,
            unheard: Vec::new(),
            monitor: Monitor::default(),
            times_led: 0,
            persisted_commit: 0,
            last_commit: (0, 0),
        }
    }

    /// Makes this member a dynamic one.
    pub fn with_dynamic_member(mut self, dynamic: DynamicMember) -> Thread {
        self.node.set_min_healthy_voters(dynamic.min_voters);
        self.dynamic = Some(dynamic);
        self
    }

    /// Runs until it receives [`Command::Stop`], the channel closes or the
    /// disk fails.
    pub fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
    ) -> Result<(), disk::Error> {
        let mut batch = Vec::with_capacity(MAX_COMMANDS_PER_ROUND);
        loop {
            let Some(first) = commands.blocking_recv() else {
                return Ok(());
            };
            batch.push(first);
            while batch.len() < MAX_COMMANDS_PER_ROUND
                && let Ok(more) = commands.try_recv()
            {
                batch.push(more);
            }
            for command in batch.drain(..) {
                if matches!(command, Command::Stop) {
                    return Ok(());
                }
                self.handle(command);
            }
            self.finish_round()?;
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Tick(now) => self.tick(now),
            Command::Deliver(messages) => {
                for message in messages {
                    self.node.receive(self.now, message);
                }
            }
            Command::Propose(change, answer) => {
                self.propose(*change, answer);
            }
            Command::Read(query, answer) => {
                self.read(ReadRequest::Query(query, answer));
            }
            Command::Sync(request, answer) => self.sync(*request, answer),
            Command::Probe(answer) => {
                let empty = self.node.is_empty();
                let _ = answer.send((self.node.identity(), empty));
            }
            Command::Bootstrap(members) => {
                info!(target: "control", "Starting a new cluster.");
                self.node.bootstrap(members);
            }
            Command::Leadership(answer) => {
                let _ = answer.send(self.leadership());
            }
            Command::Join(leader) => self.join(leader),
            Command::AnnounceStop => self.node.announce_stop(),
            Command::Stop => {}
        }
    }

    fn leadership(&self) -> Option<Leadership> {
        if !self.node.holds_quorum(self.now, LEADERSHIP_LEASE_MS) {
            return None;
        }
        let leading_ms = self.now.saturating_sub(self.leader_since);
        let founded =
            self.dynamic.as_ref().is_some_and(|dynamic| dynamic.founded);
        let is_first = founded && self.times_led == 1;
        Some(Leadership { term: self.node.term(), leading_ms, is_first })
    }

    fn join(&mut self, leader: u64) {
        let Some(dynamic) = &self.dynamic else { return };
        let hears_leader = self.node.hears_leader(self.now);
        if !hears_leader && leader != self.node.identity().id {
            self.node.request_join(leader, dynamic.address.clone());
        }
    }

    /// Returns true while a new cluster has too few voters to accept a plan.
    ///
    /// A plan acknowledged by one disk alone is lost with that disk.
    fn lacks_voters(&self) -> bool {
        let Some(dynamic) = &self.dynamic else { return false };
        let voters = self.node.members().iter().filter(|member| member.voter);
        self.ledger.plan_version() == 0 && voters.count() < dynamic.min_voters
    }

    fn propose(&mut self, mut change: Change, answer: Answer<Outcome>) {
        change.at_ms = wall_ms();
        if let Some(change::Kind::Announce(announce)) = &change.kind
            && let (Some(roster), Some(endpoint)) =
                (&mut self.roster, &announce.endpoint)
        {
            roster.renew_lease(self.now, endpoint);
        }
        if let Some(change::Kind::PutPlan(plan)) = &mut change.kind {
            if self.lacks_voters() {
                let _ = answer.send(Err(Failure::NotLeader(None)));
                return;
            }
            if plan.version <= self.ledger.plan_version() {
                // The plan has no effect, and callers resend it for hours. An
                // entry without the text proves this member's leadership as
                // well.
                plan.source.clear();
            }
        }
        let term = self.node.term();
        match self.node.propose(self.now, change.encode_to_vec()) {
            Ok(index) => {
                self.pending_proposals.push_back((index, term, answer))
            }
            Err(refusal) => {
                let _ = answer.send(Err(self.to_failure(refusal)));
            }
        }
    }

    fn read(&mut self, request: ReadRequest) {
        let token = self.next_token;
        self.next_token += 1;
        match self.node.start_read(self.now, token) {
            Ok(()) => self.pending_reads.push(PendingRead { token, request }),
            Err(refusal) => {
                let failure = self.to_failure(refusal);
                refuse_read(request, failure);
            }
        }
    }

    fn to_failure(&self, refusal: Refusal) -> Failure {
        match refusal {
            Refusal::NotLeader { leader } => {
                let address = leader
                    .filter(|id| *id != self.node.identity().id)
                    .and_then(|id| {
                        let mut members = self.node.members().iter();
                        members.find(|member| member.id == id)
                    })
                    .map(|member| member.address.clone());
                Failure::NotLeader(address)
            }
            Refusal::ChangePending => Failure::NotLeader(None),
        }
    }

    // ---- Syncs ------------------------------------------------------------

    fn sync(&mut self, request: SyncRequest, answer: Answer<SyncReply>) {
        if !self.node.holds_quorum(self.now, QUORUM_LEASE_MS) {
            let refusal = Refusal::NotLeader { leader: self.node.leader() };
            let _ = answer.send(Err(self.to_failure(refusal)));
            return;
        }
        if let Some(roster) = &mut self.roster {
            roster.record_sync(self.now, &request);
        }
        if request.fresh {
            self.read(ReadRequest::Sync(Box::new(request), answer));
            return;
        }
        if self.has_changes(&request) {
            let _ = answer.send(Ok(self.sync_reply(&request)));
            return;
        }
        let until = self.now + MAX_SYNC_HOLD_MS;
        self.held_syncs.push(HeldSync { until, request, answer });
    }

    fn has_changes(&self, request: &SyncRequest) -> bool {
        let in_force =
            request.entry.as_ref().map_or(0, |entry| entry.in_force);
        let entries =
            self.roster.as_ref().map_or(0, |roster| roster.version());
        in_force != self.ledger.revision()
            || request.term != self.node.term()
            || request.fleet_version != self.ledger.fleet_version()
            || request.entries_version != entries
    }

    /// Answers the held syncs that are due or that have changes to report.
    fn answer_due_syncs(&mut self) {
        let holds_quorum = self.node.holds_quorum(self.now, QUORUM_LEASE_MS);
        for held in std::mem::take(&mut self.held_syncs) {
            if !holds_quorum {
                let leader = self.node.leader();
                let failure = self.to_failure(Refusal::NotLeader { leader });
                let _ = held.answer.send(Err(failure));
            } else if self.now >= held.until || self.has_changes(&held.request)
            {
                let reply = self.sync_reply(&held.request);
                let _ = held.answer.send(Ok(reply));
            } else {
                self.held_syncs.push(held);
            }
        }
    }

    fn sync_reply(&self, request: &SyncRequest) -> SyncReply {
        let mut reply = SyncReply {
            term: self.node.term(),
            revision: self.ledger.revision(),
            fleet_version: self.ledger.fleet_version(),
            orders: self.ledger.orders().to_vec(),
            ..SyncReply::default()
        };
        let entry = request.entry.clone().unwrap_or_default();
        if let Some(source) = self.ledger.source()
            && entry.in_force < source.revision
        {
            reply.base = Some(source.base.clone());
            reply.overlay =
                config::overlay_for(&source.overlays, &entry.data_centre)
                    .cloned();
        }
        if request.fleet_version != reply.fleet_version {
            reply.endpoints = self.ledger.live_endpoints().cloned().collect();
            reply.departed = self
                .ledger
                .endpoints()
                .iter()
                .filter(|record| record.departed)
                .cloned()
                .collect();
        }
        if let Some(roster) = &self.roster {
            reply.settling = roster.is_settling(self.now);
            reply.entries_version = roster.version();
            reply.loads = roster.loads(self.now);
            if request.entries_version != reply.entries_version {
                reply.entries = roster.entries();
            }
        }
        reply
    }

    // ---- Time -------------------------------------------------------------

    fn tick(&mut self, now: u64) {
        let late_ms = now.saturating_sub(self.now);
        if late_ms > TICK_DELAY_WARNING_MS && self.now > 0 {
            warn!(
                target: "control",
                late_ms,
                "Tick of the member's thread was delayed."
            );
        }
        self.now = now;
        if self.node.is_leader() {
            self.unheard = self.node.silent_members(now, UNHEARD_THRESHOLD_MS);
        }
        self.node.tick(now);
        self.monitor.check(now, &self.node);
        if !self.node.is_leader() {
            return;
        }
        if now >= self.next_membership_at
            && let Some(members) = self.node.due_membership(now)
        {
            self.next_membership_at = now + 200;
            info!(target: "control", "Proposing members: {members:?}.");
            let _ = self.node.propose_members(now, members);
        }
        self.expire(now);
    }

    /// Proposes departures for expired leases, each at most once a second.
    fn expire(&mut self, now: u64) {
        let Some(roster) = &mut self.roster else { return };
        roster.expire(now);
        if now >= self.departures_cleared_at + 1000 {
            self.proposed_departures.clear();
            self.departures_cleared_at = now;
        }
        let expired =
            roster.expired_endpoints(now, self.ledger.live_endpoints());
        for depart in expired {
            if self.proposed_departures.contains(&depart) {
                continue;
            }
            info!(
                target: "control",
                "Lease of endpoint {} expired after {ENDPOINT_LEASE_MS} ms.",
                depart.id
            );
            self.proposed_departures.push(depart.clone());
            let mut change = Change::new(change::Kind::Depart(depart));
            change.at_ms = wall_ms();
            let _ = self.node.propose(now, change.encode_to_vec());
        }
    }

    // ---- End of a round ----------------------------------------------------

    fn finish_round(&mut self) -> Result<(), disk::Error> {
        loop {
            let output = self.node.take_output();
            self.persist(&output)?;
            if !output.messages.is_empty() {
                (self.send)(output.messages);
            }
            self.node.mark_persisted(self.node.last_index());
            let applied = self.apply_committed();
            self.answer_reads(output.confirmed_reads, output.refused_reads);
            if !applied {
                break;
            }
        }
        self.update_role();
        self.fail_lost_proposals();
        self.answer_due_syncs();
        self.publish_view();
        self.persist_commit_index()?;
        self.compact_log()
    }

    /// Updates the view, and notifies its receivers only if it changed.
    fn publish_view(&mut self) {
        let Some(dynamic) = &self.dynamic else { return };
        let version = self.ledger.plan_version();
        let hears_leader = self.node.hears_leader(self.now);
        let late_reads = self.monitor.take_late_reads();
        dynamic.view.send_if_modified(|view| {
            let published_version =
                view.plan.as_ref().map_or(0, |plan| plan.version);
            let changed = view.term != self.node.term()
                || view.leader != self.node.leader()
                || view.leads != self.node.is_leader()
                || view.hears_leader != hears_leader
                || late_reads > 0
                || published_version != version
                || view.rollouts.version != self.ledger.rollouts().version;
            view.term = self.node.term();
            view.leader = self.node.leader();
            view.leads = self.node.is_leader();
            view.hears_leader = hears_leader;
            view.late_reads += late_reads;
            if published_version != version {
                view.plan = self.ledger.plan().cloned().map(Arc::new);
            }
            if view.rollouts.version != self.ledger.rollouts().version {
                view.rollouts = Arc::new(self.ledger.rollouts().clone());
            }
            changed
        });
    }

    fn persist(&mut self, output: &Output) -> Result<(), disk::Error> {
        if let Some(snapshot) = &output.new_snapshot {
            let hard = self.node.hard_state();
            self.disk.install(snapshot, hard, &output.entries)?;
            let state = Ledger::decode(&snapshot.state);
            self.ledger = state.unwrap_or_default();
            self.applied = snapshot.index;
            info!(
                target: "control",
                "Installed a snapshot up to index {}.", snapshot.index
            );
            return Ok(());
        }
        if output.hard_state.is_some() || !output.entries.is_empty() {
            let hard = Some(self.node.hard_state());
            self.disk.append(hard, output.entries.clone())?;
            self.persisted_commit = self.node.commit_index();
        }
        Ok(())
    }

    /// Persists the commit index once it is unchanged for
    /// [`COMMIT_PERSIST_DELAY_MS`].
    ///
    /// After a power failure of all members, each member can then serve from
    /// its committed state before a leader is elected.
    fn persist_commit_index(&mut self) -> Result<(), disk::Error> {
        let commit = self.node.commit_index();
        if commit != self.last_commit.0 {
            self.last_commit = (commit, self.now);
        }
        let is_stable =
            self.now >= self.last_commit.1 + COMMIT_PERSIST_DELAY_MS;
        if self.dynamic.is_some()
            && is_stable
            && commit > self.persisted_commit
        {
            self.disk.append(Some(self.node.hard_state()), Vec::new())?;
            self.persisted_commit = commit;
        }
        Ok(())
    }

    fn apply_committed(&mut self) -> bool {
        let committed = self.node.take_committed();
        for entry in &committed {
            let outcome = self.ledger.apply(entry);
            self.applied = entry.index;
            self.answer_proposal(entry, outcome);
        }
        if !committed.is_empty()
            && let Some(roster) = &mut self.roster
        {
            let ledger = &self.ledger;
            roster.retain_endpoints(|id, incarnation| {
                ledger
                    .live_endpoints()
                    .any(|live| live.identity() == (id, incarnation))
            });
        }
        !committed.is_empty()
    }

    fn answer_proposal(&mut self, entry: &LogEntry, outcome: Outcome) {
        while let Some((index, term, _)) = self.pending_proposals.front() {
            if *index > entry.index {
                return;
            }
            let is_same_entry = *index == entry.index && *term == entry.term;
            let Some((_, _, answer)) = self.pending_proposals.pop_front()
            else {
                return;
            };
            let result = if is_same_entry {
                Ok(outcome.clone())
            } else {
                Err(Failure::Unknown)
            };
            let _ = answer.send(result);
        }
    }

    fn answer_reads(&mut self, ready: Vec<u64>, refused: Vec<u64>) {
        for read in std::mem::take(&mut self.pending_reads) {
            if ready.contains(&read.token) {
                match read.request {
                    ReadRequest::Query(query, answer) => {
                        let _ = answer.send(Ok(self.query(&query)));
                    }
                    ReadRequest::Sync(request, answer) => {
                        let reply = self.sync_reply(&request);
                        let _ = answer.send(Ok(reply));
                    }
                }
            } else if refused.contains(&read.token) {
                refuse_read(read.request, Failure::NotLeader(None));
            } else {
                self.pending_reads.push(read);
            }
        }
    }

    /// Creates the roster when this member becomes leader, and drops it when
    /// the member loses leadership.
    fn update_role(&mut self) {
        match (self.node.is_leader(), &self.roster) {
            (true, None) => {
                info!(
                    target: "control",
                    "Became leader of term {}.",
                    self.node.term()
                );
                let seed = self.node.term();
                self.leader_since = self.now;
                self.times_led += 1;
                self.roster = Some(Roster::open(self.now, seed));
            }
            (false, Some(_)) => {
                warn!(
                    target: "control",
                    term = self.node.term(),
                    unheard = ?self.unheard,
                    "Lost leadership."
                );
                self.roster = None;
            }
            _ => {}
        }
    }

    fn fail_lost_proposals(&mut self) {
        if self.node.is_leader() {
            return;
        }
        // The next leader may still commit these proposals, so the answer is
        // "unknown", never "not run".
        for (_, _, answer) in self.pending_proposals.drain(..) {
            let _ = answer.send(Err(Failure::Unknown));
        }
    }

    fn compact_log(&mut self) -> Result<(), disk::Error> {
        if !self.should_compact_log() {
            return Ok(());
        }
        let hard = self.node.hard_state();
        let state = self.ledger.encode();
        let Some((snapshot, entries)) = self.node.compact(self.applied, state)
        else {
            return Ok(());
        };
        self.disk.install(&snapshot, hard, entries)
    }

    /// Returns true when the log has too many entries or too many bytes.
    ///
    /// The number of entries is not enough: a hundred plans of a megabyte
    /// exceed the disk of a VM and use half of its memory.
    fn should_compact_log(&self) -> bool {
        let min_bytes = COMPACTION_LOG_BYTES
            .max(COMPACTION_SNAPSHOT_FACTOR * self.disk.snapshot_bytes());
        self.node.log_len() >= self.snapshot_entries
            || self.disk.log_bytes() >= min_bytes
    }

    // ---- Queries --------------------------------------------------------------

    fn query(&self, query: &Query) -> QueryReply {
        let kind = match &query.kind {
            Some(query::Kind::Claim(key)) => {
                Some(query_reply::Kind::Claim(self.ledger.claim(key)))
            }
            Some(query::Kind::Config(_)) => {
                Some(query_reply::Kind::Config(self.config_reply()))
            }
            Some(query::Kind::Status(_)) => {
                Some(query_reply::Kind::Status(self.status()))
            }
            Some(query::Kind::Plan(plan_query)) => {
                Some(query_reply::Kind::Plan(self.plan_reply(plan_query.held)))
            }
            Some(query::Kind::Rollouts(_)) => {
                let state = self.ledger.rollouts().clone();
                Some(query_reply::Kind::Rollouts(state))
            }
            None => None,
        };
        QueryReply { kind }
    }

    /// Returns the newest plan, without its text if its version is `held`.
    ///
    /// A node that reads the plan needs to know the newest version, and
    /// usually holds its text already. With the text in each answer, reading a
    /// plan of 0.8 MB took a second over a link of 10 Mbit/s, longer than
    /// operators wait.
    fn plan_reply(&self, held: u64) -> PutPlan {
        match self.ledger.plan() {
            Some(plan) if plan.version == held => {
                PutPlan { version: held, source: Vec::new() }
            }
            Some(plan) => plan.clone(),
            None => PutPlan::default(),
        }
    }

    fn config_reply(&self) -> ConfigReply {
        let (base, overlays): (Option<SourceFile>, Vec<SourceFile>) =
            match self.ledger.source() {
                Some(Source { base, overlays, .. }) => {
                    (Some(base.clone()), overlays.clone())
                }
                None => (None, Vec::new()),
            };
        ConfigReply { revision: self.ledger.revision(), base, overlays }
    }

    fn status(&self) -> StatusReply {
        let entries = match &self.roster {
            Some(roster) => roster.entries(),
            None => Vec::new(),
        };
        StatusReply {
            leader: self.node.leader().unwrap_or(0),
            term: self.node.term(),
            committed: self.node.commit_index(),
            revision: self.ledger.revision(),
            members: self.node.members().to_vec(),
            entries,
            endpoints: self.ledger.endpoints().to_vec(),
            survivable_losses: self.node.survivable_losses(self.now) as u32,
            claims: self.ledger.claim_count() as u64,
            log_entries: self.node.log_len() as u64,
        }
    }
}

fn refuse_read(request: ReadRequest, failure: Failure) {
    match request {
        ReadRequest::Query(_, answer) => {
            let _ = answer.send(Err(failure));
        }
        ReadRequest::Sync(_, answer) => {
            let _ = answer.send(Err(failure));
        }
    }
}

// An entry's lease must be longer than the leader's quorum lease, so that a
// change of leader causes no outage.
const _: () = assert!(QUORUM_LEASE_MS < ENTRY_LEASE_MS);
