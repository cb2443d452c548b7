//! One control member: the thread that drives log, disk and ledger.
//!
//! Commands come in through a channel. Each round takes all that are waiting,
//! steps the [`raft::Node`](super::raft::Node), makes the result last with a
//! single sync (group commit), sends messages, applies what is committed, and
//! only then answers. The thread owns everything, so nothing is locked.
//!
//! # Pitfalls
//!
//! A failed write or sync ends the thread with an error, and the process with
//! it. Going on would mean to acknowledge what may not be on the disk: after
//! a failed sync the kernel may have thrown the pages away, and the next sync
//! succeeds without them.

use std::{collections::VecDeque, sync::Arc};

use prost::Message;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};

use super::{
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
        PutPlan, Query, QueryReply, SourceFile, StatusReply, SyncReply,
        SyncRequest, change, query, query_reply,
    },
};

/// How many commands one round takes at most.
const COMMANDS_PER_ROUND: usize = 1024;
/// How long a sync with nothing new is held back, in ms.
const SYNC_HOLD_MS: u64 = 500;
/// A leader answers syncs while a majority confirmed it this recently.
///
/// With [`ENTRY_LEASE_MS`] it bounds how long an entry can run on an old
/// configuration that a cut-off leader gave it.
const QUORUM_LEASE_MS: u64 = 1000;
/// A leader acts for the whole system while a majority confirmed it this
/// recently: well below the shortest election, so that it has stopped before
/// another one can lead.
const OFFICE_LEASE_MS: u64 = 500;
/// After a commit, how long until it is written down by itself, in ms: the
/// next entry, if one comes, carries it for free.
const COMMIT_NOTE_MS: u64 = 200;

/// Members that a leader has not heard for so long are named when it stops
/// leading, in ms: three heartbeats.
const UNHEARD_MS: u64 = 450;
/// A tick that comes so much later than the one before is worth a line, in
/// ms: half of the shortest election.
const LATE_TICK_MS: u64 = 500;

/// A log of so many bytes is replaced by a snapshot, however few its entries:
/// with its copy in memory a twentieth of the smallest VM, and with the files
/// that are written anew well below its disk of 64 MB.
const LOG_BYTES: u64 = 8_000_000;
/// Unless it is less than so many times what the last snapshot left: a state
/// of some megabytes would be written anew for each entry.
const LOG_GROWTH: u64 = 3;

/// How a proposal or a read failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was appended; the leader may be at this address.
    NotLeader(Option<String>),
    /// It was appended, but this member no longer leads: it may yet happen.
    Unknown,
}

type Answer<T> = oneshot::Sender<Result<T, Failure>>;

/// What others may know of a member without asking it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The current term.
    pub term: u64,
    /// The leader's id, as far as known.
    pub leader: Option<u64>,
    /// Whether this member leads.
    pub leads: bool,
    /// Whether a leader was heard lately.
    pub hears_leader: bool,
    /// The newest gateway plan that is known to be committed.
    pub plan: Option<Arc<PutPlan>>,
}

common! {
    copy
    /// A leader's right to act for the whole system, at one moment.
    pub struct Office {
        /// The leader's term: the fencing number.
        pub term: u64,
        /// For how long it has led, in ms.
        pub held_ms: u64,
        /// Nobody has led before it: it founded the cluster, and this is the
        /// first time that it leads.
        pub is_first: bool,
    }
}

/// How a member that finds the others by itself keeps its place.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Where the other members reach this one.
    pub address: String,
    /// Voters without which nothing is accepted in a new cluster.
    pub least_voters: usize,
    /// Whether this process made the cluster.
    pub founded: bool,
    /// Where the view is kept up to date.
    pub view: watch::Sender<View>,
}

/// What the thread can be asked to do.
#[derive(Debug)]
pub enum Command {
    /// Time has passed.
    Tick(u64),
    /// Messages from other members.
    Deliver(Vec<Envelope>),
    /// Put a change through the log.
    Propose(Box<Change>, Answer<Outcome>),
    /// Read through the quorum.
    Read(Query, Answer<QueryReply>),
    /// An entry's heartbeat.
    Sync(Box<SyncRequest>, Answer<SyncReply>),
    /// Who this is, and whether it knows of a cluster.
    Probe(oneshot::Sender<(Identity, bool)>),
    /// Make the first member list; only after all were probed.
    Bootstrap(Vec<Member>),
    /// Whether this member may act for the whole system now.
    Office(oneshot::Sender<Option<Office>>),
    /// Ask the member of this id to be taken in.
    Join(u64),
    /// End the thread.
    Stop,
}

struct Held {
    until: u64,
    request: SyncRequest,
    answer: Answer<SyncReply>,
}

struct PendingRead {
    token: u64,
    what: Pending,
}

enum Pending {
    Query(Query, Answer<QueryReply>),
    Sync(Box<SyncRequest>, Answer<SyncReply>),
}

/// Everything that the thread owns.
pub struct Thread {
    node: Node,
    disk: Disk,
    ledger: Ledger,
    snapshot_entries: usize,
    send: Box<dyn Fn(Vec<Envelope>) + Send>,
    now: u64,
    applied: u64,
    roster: Option<Roster>,
    waiting: VecDeque<(u64, u64, Answer<Outcome>)>,
    reads: Vec<PendingRead>,
    next_token: u64,
    held: Vec<Held>,
    departing: Vec<Depart>,
    departing_at: u64,
    membership_at: u64,
    seat: Option<Seat>,
    /// When this member began to lead.
    leads_since: u64,
    /// Whom a leader has not heard lately, and for how long, in ms; the last
    /// it knew before it stopped leading says why it did.
    unheard: Vec<(String, u64)>,
    /// How often it has begun to lead since its process started.
    times_led: u32,
    /// The commit index on the disk.
    commit_noted: u64,
    /// The commit index, and since when it is that.
    commit_seen: (u64, u64),
}

impl Thread {
    /// Puts the parts together; the ledger starts from the snapshot.
    pub fn open(
        node: Node,
        disk: Disk,
        snapshot: Option<&[u8]>,
        snapshot_entries: usize,
        send: Box<dyn Fn(Vec<Envelope>) + Send>,
    ) -> Thread {
        let ledger = snapshot.and_then(Ledger::decode).unwrap_or_default();
        // The rest of what is committed is handed out in the first round.
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
            waiting: VecDeque::new(),
            reads: Vec::new(),
            next_token: 1,
            held: Vec::new(),
            departing: Vec::new(),
            departing_at: 0,
            membership_at: 0,
            seat: None,
            leads_since: 0,
            unheard: Vec::new(),
            times_led: 0,
            commit_noted: 0,
            commit_seen: (0, 0),
        }
    }

    /// Keeps a place in a cluster whose members find each other.
    pub fn with_seat(mut self, seat: Seat) -> Thread {
        self.node.set_min_healthy_voters(seat.least_voters);
        self.seat = Some(seat);
        self
    }

    /// Runs until told to stop, or until the disk fails.
    pub fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
    ) -> Result<(), disk::Error> {
        let mut round = Vec::with_capacity(COMMANDS_PER_ROUND);
        loop {
            let Some(first) = commands.blocking_recv() else {
                return Ok(());
            };
            round.push(first);
            while round.len() < COMMANDS_PER_ROUND
                && let Ok(more) = commands.try_recv()
            {
                round.push(more);
            }
            for command in round.drain(..) {
                if matches!(command, Command::Stop) {
                    return Ok(());
                }
                self.take(command);
            }
            self.settle_round()?;
        }
    }

    fn take(&mut self, command: Command) {
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
                self.read(Pending::Query(query, answer));
            }
            Command::Sync(request, answer) => self.sync(*request, answer),
            Command::Probe(answer) => {
                let empty = self.node.is_empty();
                let _ = answer.send((self.node.identity(), empty));
            }
            Command::Bootstrap(members) => {
                info!(target: "control", "Starts a new cluster.");
                self.node.bootstrap(members);
            }
            Command::Office(answer) => {
                let _ = answer.send(self.office());
            }
            Command::Join(leader) => self.join(leader),
            Command::Stop => {}
        }
    }

    fn office(&self) -> Option<Office> {
        if !self.node.holds_quorum(self.now, OFFICE_LEASE_MS) {
            return None;
        }
        let held_ms = self.now.saturating_sub(self.leads_since);
        let founded = self.seat.as_ref().is_some_and(|seat| seat.founded);
        let is_first = founded && self.times_led == 1;
        Some(Office { term: self.node.term(), held_ms, is_first })
    }

    fn join(&mut self, leader: u64) {
        let Some(seat) = &self.seat else { return };
        let heard = self.node.hears_leader(self.now);
        if !heard && leader != self.node.identity().id {
            self.node.request_join(leader, seat.address.clone());
        }
    }

    /// True while a new cluster has too few voters to accept anything.
    ///
    /// What one disk alone acknowledged is lost with that disk.
    fn is_too_young(&self) -> bool {
        let Some(seat) = &self.seat else { return false };
        let voters = self.node.members().iter().filter(|one| one.voter);
        self.ledger.plan_version() == 0 && voters.count() < seat.least_voters
    }

    fn propose(&mut self, mut change: Change, answer: Answer<Outcome>) {
        change.at_ms = wall_ms();
        if let Some(change::Kind::Announce(announce)) = &change.kind
            && let (Some(roster), Some(endpoint)) =
                (&mut self.roster, &announce.endpoint)
        {
            roster.renew(self.now, endpoint);
        }
        if let Some(change::Kind::PutPlan(plan)) = &mut change.kind {
            if self.is_too_young() {
                let _ = answer.send(Err(Failure::NotLeader(None)));
                return;
            }
            if plan.version <= self.ledger.plan_version() {
                // It changes nothing, and is sent again for hours; an entry
                // without the text proves as well that this member leads.
                plan.source.clear();
            }
        }
        let term = self.node.term();
        match self.node.propose(self.now, change.encode_to_vec()) {
            Ok(index) => self.waiting.push_back((index, term, answer)),
            Err(refusal) => {
                let _ = answer.send(Err(self.failure(refusal)));
            }
        }
    }

    fn read(&mut self, what: Pending) {
        let token = self.next_token;
        self.next_token += 1;
        match self.node.start_read(self.now, token) {
            Ok(()) => self.reads.push(PendingRead { token, what }),
            Err(refusal) => {
                let failure = self.failure(refusal);
                refuse_read(what, failure);
            }
        }
    }

    fn failure(&self, refusal: Refusal) -> Failure {
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
            let _ = answer.send(Err(self.failure(refusal)));
            return;
        }
        if let Some(roster) = &mut self.roster {
            roster.sync(self.now, &request);
        }
        if request.fresh {
            self.read(Pending::Sync(Box::new(request), answer));
            return;
        }
        if self.has_news(&request) {
            let _ = answer.send(Ok(self.sync_reply(&request)));
            return;
        }
        let until = self.now + SYNC_HOLD_MS;
        self.held.push(Held { until, request, answer });
    }

    fn has_news(&self, request: &SyncRequest) -> bool {
        let in_force =
            request.entry.as_ref().map_or(0, |entry| entry.in_force);
        let entries =
            self.roster.as_ref().map_or(0, |roster| roster.version());
        in_force != self.ledger.revision()
            || request.term != self.node.term()
            || request.fleet_version != self.ledger.fleet_version()
            || request.entries_version != entries
    }

    /// Answers the syncs that have waited long enough or have news.
    fn release_syncs(&mut self) {
        let sound = self.node.holds_quorum(self.now, QUORUM_LEASE_MS);
        for held in std::mem::take(&mut self.held) {
            if !sound {
                let leader = self.node.leader();
                let failure = self.failure(Refusal::NotLeader { leader });
                let _ = held.answer.send(Err(failure));
            } else if self.now >= held.until || self.has_news(&held.request) {
                let reply = self.sync_reply(&held.request);
                let _ = held.answer.send(Ok(reply));
            } else {
                self.held.push(held);
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
            reply.settling = roster.settling(self.now);
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
        if late_ms > LATE_TICK_MS && self.now > 0 {
            warn!(target: "control", late_ms, "Member was held up.");
        }
        self.now = now;
        if self.node.is_leader() {
            self.unheard = self.node.silent_members(now, UNHEARD_MS);
        }
        self.node.tick(now);
        if !self.node.is_leader() {
            return;
        }
        if now >= self.membership_at
            && let Some(members) = self.node.due_membership(now)
        {
            self.membership_at = now + 200;
            info!(target: "control", "Changes members: {members:?}.");
            let _ = self.node.propose_members(now, members);
        }
        self.expire(now);
    }

    /// Puts lapsed leases through the log, each at most once a second.
    fn expire(&mut self, now: u64) {
        let Some(roster) = &mut self.roster else { return };
        roster.expire(now);
        if now >= self.departing_at + 1000 {
            self.departing.clear();
            self.departing_at = now;
        }
        let lapsed = roster.lapsed(now, self.ledger.live_endpoints());
        for depart in lapsed {
            if self.departing.contains(&depart) {
                continue;
            }
            info!(
                target: "control",
                "Endpoint {} was silent for {ENDPOINT_LEASE_MS} ms.",
                depart.id
            );
            self.departing.push(depart.clone());
            let mut change = Change::new(change::Kind::Depart(depart));
            change.at_ms = wall_ms();
            let _ = self.node.propose(now, change.encode_to_vec());
        }
    }

    // ---- The end of a round -------------------------------------------------

    fn settle_round(&mut self) -> Result<(), disk::Error> {
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
        self.follow_role();
        self.drop_lost_proposals();
        self.release_syncs();
        self.show();
        self.note_commit()?;
        self.snapshot()
    }

    /// Brings the view up to date, and wakes others only if it changed.
    fn show(&self) {
        let Some(seat) = &self.seat else { return };
        let version = self.ledger.plan_version();
        let hears_leader = self.node.hears_leader(self.now);
        seat.view.send_if_modified(|view| {
            let shown = view.plan.as_ref().map_or(0, |plan| plan.version);
            let changed = view.term != self.node.term()
                || view.leader != self.node.leader()
                || view.leads != self.node.is_leader()
                || view.hears_leader != hears_leader
                || shown != version;
            view.term = self.node.term();
            view.leader = self.node.leader();
            view.leads = self.node.is_leader();
            view.hears_leader = hears_leader;
            if shown != version {
                view.plan = self.ledger.plan().cloned().map(Arc::new);
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
                "Took a snapshot up to {}.", snapshot.index
            );
            return Ok(());
        }
        if output.hard_state.is_some() || !output.entries.is_empty() {
            let hard = Some(self.node.hard_state());
            self.disk.append(hard, output.entries.clone())?;
            self.commit_noted = self.node.commit_index();
        }
        Ok(())
    }

    /// Writes down what is committed, once it has been at rest for a moment.
    ///
    /// After all members have lost power at once, each can then serve by what
    /// it knows to be committed, before anybody has been elected.
    fn note_commit(&mut self) -> Result<(), disk::Error> {
        let commit = self.node.commit_index();
        if commit != self.commit_seen.0 {
            self.commit_seen = (commit, self.now);
        }
        let rested = self.now >= self.commit_seen.1 + COMMIT_NOTE_MS;
        if self.seat.is_some() && rested && commit > self.commit_noted {
            self.disk.append(Some(self.node.hard_state()), Vec::new())?;
            self.commit_noted = commit;
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
        while let Some((index, term, _)) = self.waiting.front() {
            if *index > entry.index {
                return;
            }
            let same = *index == entry.index && *term == entry.term;
            let Some((_, _, answer)) = self.waiting.pop_front() else {
                return;
            };
            let result =
                if same { Ok(outcome.clone()) } else { Err(Failure::Unknown) };
            let _ = answer.send(result);
        }
    }

    fn answer_reads(&mut self, ready: Vec<u64>, refused: Vec<u64>) {
        for read in std::mem::take(&mut self.reads) {
            if ready.contains(&read.token) {
                match read.what {
                    Pending::Query(query, answer) => {
                        let _ = answer.send(Ok(self.query(&query)));
                    }
                    Pending::Sync(request, answer) => {
                        let reply = self.sync_reply(&request);
                        let _ = answer.send(Ok(reply));
                    }
                }
            } else if refused.contains(&read.token) {
                refuse_read(read.what, Failure::NotLeader(None));
            } else {
                self.reads.push(read);
            }
        }
    }

    /// Starts and drops what only a leader has.
    fn follow_role(&mut self) {
        match (self.node.is_leader(), &self.roster) {
            (true, None) => {
                info!(target: "control", "Leads term {}.", self.node.term());
                let seed = self.node.term();
                self.leads_since = self.now;
                self.times_led += 1;
                self.roster = Some(Roster::open(self.now, seed));
            }
            (false, Some(_)) => {
                warn!(
                    target: "control",
                    term = self.node.term(),
                    unheard = ?self.unheard,
                    "No longer leads."
                );
                self.roster = None;
            }
            _ => {}
        }
    }

    fn drop_lost_proposals(&mut self) {
        if self.node.is_leader() {
            return;
        }
        // They may yet be committed by the next leader: their callers must
        // be told "unknown", never "not run".
        for (_, _, answer) in self.waiting.drain(..) {
            let _ = answer.send(Err(Failure::Unknown));
        }
    }

    fn snapshot(&mut self) -> Result<(), disk::Error> {
        if !self.is_log_long() {
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

    /// True when the log has too many entries, or too many bytes.
    ///
    /// Entries alone don't tell: a hundred plans of a megabyte are more than
    /// the disk of a VM holds, and half of its memory.
    fn is_log_long(&self) -> bool {
        let least = LOG_BYTES.max(LOG_GROWTH * self.disk.snapshot_bytes());
        self.node.log_len() >= self.snapshot_entries
            || self.disk.log_bytes() >= least
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
            Some(query::Kind::Plan(asked)) => {
                Some(query_reply::Kind::Plan(self.plan_reply(asked.held)))
            }
            None => None,
        };
        QueryReply { kind }
    }

    /// The newest plan, without its text for one that holds it already.
    ///
    /// The asker needs to know which plan is the newest, and nodes hold it as
    /// a rule. With the text in each answer, reading a plan of 0.8 MB took a
    /// second over a link of ten megabits, longer than operators wait.
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
            claims: self.ledger.claims() as u64,
            log_entries: self.node.log_len() as u64,
        }
    }
}

fn refuse_read(what: Pending, failure: Failure) {
    match what {
        Pending::Query(_, answer) => {
            let _ = answer.send(Err(failure));
        }
        Pending::Sync(_, answer) => {
            let _ = answer.send(Err(failure));
        }
    }
}

// Entries must outlive a leader's claim to the quorum, not the reverse: an
// entry's lease is the longer one, so that a change of leader is no outage.
const _: () = assert!(QUORUM_LEASE_MS < ENTRY_LEASE_MS);
