//! The Raft protocol of the replicated log, without I/O.
//!
//! Implements Raft with pre-vote, check-quorum, learners, one-at-a-time member
//! changes and read-index. A [`Node`] has no clock, socket, disk or source of
//! randomness of its own. Its driver passes in the time, messages and a seed,
//! and processes what [`Node::take_output`] returns in this order:
//!
//! 1. write `hard_state`, `new_snapshot` and `entries` to disk (one sync for
//!    all);
//! 2. only then send `messages`;
//! 3. call [`Node::mark_persisted`], then apply what [`Node::take_committed`]
//!    returns.
//!
//! Sending before the sync is the classic way to lose an acknowledged change:
//! a follower acknowledges an entry, loses power and restarts without it.
//!
//! # Incarnations
//!
//! A member is identified by its id *and* its incarnation, a random number
//! drawn when its data folder is created. Every message is addressed to an
//! incarnation, and a process answers a message for any other incarnation with
//! "wrong incarnation" instead of processing it. So a VM that comes back with
//! an empty disk can't vote under its old incarnation, whose vote it has
//! forgotten. On such an answer the leader replaces the old voter by a learner
//! with the new incarnation, and makes the learner a voter when it has caught
//! up.

mod election;
mod follower;
mod leader;
mod log;
mod report;

use rand::{SeedableRng, rngs::StdRng};

use self::log::encode_membership;
pub use self::report::{Candidacy, MissingVoter, UnconfirmedReads};
use crate::{
    util::common,
    wire::{Envelope, HardState, LogEntry, Member, Snapshot, envelope::Body},
};

/// Maximum number of entries in one append.
const MAX_ENTRIES_PER_APPEND: usize = 128;
/// Maximum payload size of one append, in bytes.
///
/// The first entry is sent even if it is larger.
const MAX_BYTES_PER_APPEND: usize = 512 * 1024;
/// Throughput assumed for the transfer of a snapshot, in bytes per ms.
///
/// Nearly half of the narrowest link, 10 Mbit/s, which the snapshot shares. A
/// snapshot is sent again only once the first one should have arrived.
const SNAPSHOT_BYTES_PER_MS: u64 = 500;
/// A member has caught up when it lacks fewer committed entries than this.
///
/// Only such a learner is made a voter, and only such a voter is healthy.
const CAUGHT_UP_ENTRIES: u64 = 16;
/// Time without a reply after which a member may be removed, in ms.
///
/// Longer than a VM is usually unavailable when it freezes or restarts (a few
/// seconds), so that mostly VMs that are permanently lost are removed. A voter
/// is demoted earlier, see [`Node::due_membership`].
const REMOVAL_TIMEOUT_MS: u64 = 8000;

common! {
    copy
    /// Identifies a member: its id and the incarnation of its data folder.
    pub struct Identity {
        /// From the settings, or derived from the member's address.
        pub id: u64,
        /// A random number drawn when the data folder is created.
        pub incarnation: u64,
    }
}

impl From<&Member> for Identity {
    fn from(member: &Member) -> Identity {
        Identity { id: member.id, incarnation: member.incarnation }
    }
}

common! {
    copy
    /// Heartbeat interval and election timeout, in ms.
    pub struct Timing {
        /// Interval between two rounds of an idle leader, in ms.
        pub heartbeat_ms: u64,
        /// Minimum election timeout, in ms.
        ///
        /// Each timeout is drawn at random between this and twice this.
        pub election_timeout_ms: u64,
    }
}

/// The state that a node restores from disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct SavedState {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// What the driver has to do, in the order given in the module docs.
#[derive(Debug, Default)]
pub struct Output {
    /// Term, vote and commit index to write to disk.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the whole log.
    pub new_snapshot: Option<Snapshot>,
    /// Entries to write to disk.
    ///
    /// An entry whose index is already in the log replaces the log from that
    /// index on.
    pub entries: Vec<LogEntry>,
    /// Messages to send once the fields above are on disk.
    pub messages: Vec<Envelope>,
    /// Tokens of reads that may now be answered.
    pub confirmed_reads: Vec<u64>,
    /// Tokens of reads that failed because this node no longer leads.
    pub refused_reads: Vec<u64>,
}

/// Why a proposal or read was refused. A refused proposal is in no log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This node is not the leader.
    NotLeader {
        /// The id of the leader, if known.
        leader: Option<u64>,
    },
    /// A member change is not committed yet, or the leader has not yet
    /// committed an entry of its own term.
    ChangePending,
}

#[derive(Debug)]
struct Progress {
    member: Identity,
    next_index: u64,
    matched_index: u64,
    /// The newest round that the member has acknowledged; 0 if none.
    acked_round: u64,
    /// Time at which that round was sent, by this node's clock.
    ///
    /// Until the first acknowledgement, the time at which this node began to
    /// track the member.
    confirmed_at: u64,
    /// Whether the member's process has announced that it is stopping.
    stopping: bool,
    /// Time at which a snapshot was sent that is not acknowledged yet.
    snapshot_sent_at: Option<u64>,
}

#[derive(Debug)]
struct PendingRead {
    token: u64,
    round: u64,
    started_at: u64,
}

#[derive(Debug)]
struct LeaderState {
    progress: Vec<Progress>,
    round: u64,
    /// The latest rounds with the time each was sent at, oldest first.
    sent_rounds: Vec<(u64, u64)>,
    heartbeat_due_at: u64,
    reads: Vec<PendingRead>,
    /// Index of the empty entry that this leader appended first.
    term_start_index: u64,
    /// Members that answered or asked to join under a new incarnation.
    new_incarnations: Vec<Identity>,
    /// Processes that asked to join and are in no member list.
    joining: Vec<Member>,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate {
        pre_vote: bool,
        votes: Vec<Identity>,
        /// Time at which votes were last requested.
        requested_at: u64,
    },
    Leader(Box<LeaderState>),
}

/// One member's protocol state and copy of the log.
#[derive(Debug)]
pub struct Node {
    me: Identity,
    timing: Timing,
    rng: StdRng,
    term: u64,
    voted_for: Option<Identity>,
    /// Index and term of the last entry that the snapshot covers.
    base: (u64, u64),
    entries: Vec<LogEntry>,
    /// Each member list in the log with its index, oldest first.
    memberships: Vec<(u64, Vec<Member>)>,
    commit_index: u64,
    /// Index of the last entry that [`Node::take_committed`] has returned or
    /// that the snapshot at the start or a received one covers.
    returned_index: u64,
    persisted_index: u64,
    role: Role,
    leader: Option<u64>,
    heard_leader_at: Option<u64>,
    election_due_at: u64,
    snapshot: Option<Snapshot>,
    output: Output,
    hard_state_changed: bool,
    /// See [`Node::set_min_healthy_voters`].
    min_healthy_voters: Option<usize>,
    /// See [`Node::announce_stop`].
    stopping: bool,
}

impl Node {
    /// Restores a node from `saved`. `seed` randomizes the election timeouts.
    pub fn open(
        me: Identity,
        timing: Timing,
        seed: u64,
        now: u64,
        saved: SavedState,
    ) -> Node {
        let base = match &saved.snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term),
            None => (0, 0),
        };
        let vote = Identity {
            id: saved.hard_state.vote,
            incarnation: saved.hard_state.vote_incarnation,
        };
        let mut node = Node {
            me,
            timing,
            rng: StdRng::seed_from_u64(seed),
            term: saved.hard_state.term,
            voted_for: (vote.id != 0).then_some(vote),
            base,
            entries: saved.entries,
            memberships: Vec::new(),
            commit_index: base.0,
            returned_index: base.0,
            persisted_index: 0,
            role: Role::Follower,
            leader: None,
            heard_leader_at: None,
            election_due_at: 0,
            snapshot: saved.snapshot,
            output: Output::default(),
            hard_state_changed: false,
            min_healthy_voters: None,
            stopping: false,
        };
        node.persisted_index = node.last_index();
        // Entries known to be committed can be applied before a leader is
        // elected.
        let known_commit = saved.hard_state.commit.min(node.last_index());
        node.commit_index = node.commit_index.max(known_commit);
        node.rebuild_memberships();
        node.reset_election_timer(now);
        node
    }

    /// Appends the first member list of a new cluster, as its first entry.
    ///
    /// Does nothing if the log is not empty. Call it only once every listed
    /// member has been asked and has an empty log too.
    pub fn bootstrap(&mut self, members: Vec<Member>) {
        if !self.is_empty() {
            return;
        }
        self.term = 1;
        self.hard_state_changed = true;
        if members.len() == 1 {
            // No other member can start an election, so a wait would only
            // delay the start.
            self.election_due_at = 0;
        }
        self.append_entry(1, encode_membership(members));
    }

    /// Lets the leader demote voters that stop or are silent, and remove
    /// members that have long been silent.
    ///
    /// A voter is demoted or removed only while there are at least
    /// `min_voters` other healthy voters, so that each change is on enough
    /// disks. Without this, a permanently lost VM counts towards the quorum
    /// for ever: after two VMs were replaced one after the other, the loss of
    /// one more stops the cluster although most of its VMs run.
    pub fn set_min_healthy_voters(&mut self, min_voters: usize) {
        self.min_healthy_voters = Some(min_voters);
    }

    /// Announces to the leader that this process is stopping.
    ///
    /// The leader demotes it if the other voters suffice without it. It may be
    /// gone for good or back in a second, and is promoted again if it returns.
    pub fn announce_stop(&mut self) {
        self.stopping = true;
    }

    /// Asks the leader to add this process, under `address`, as a member.
    ///
    /// For a process that hears no leader because it was never a member or
    /// was removed while it was unreachable.
    pub fn request_join(&mut self, leader: u64, address: String) {
        let to = Identity { id: leader, incarnation: 0 };
        self.send(to, self.term, Body::Join(address));
    }

    // ---- Views ----------------------------------------------------------

    /// Whether this node leads or has heard a leader within the election
    /// timeout.
    pub fn hears_leader(&self, now: u64) -> bool {
        self.is_leader()
            || self
                .heard_leader_at
                .is_some_and(|at| now < at + self.timing.election_timeout_ms)
    }

    /// Whether the log and the snapshot are empty.
    ///
    /// Such a node knows of no cluster.
    pub fn is_empty(&self) -> bool {
        self.last_index() == 0
    }

    /// The identity of this member.
    pub fn identity(&self) -> Identity {
        self.me
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The last index that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.base.0
    }

    /// The highest index in the log.
    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// The number of entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.entries.len()
    }

    /// Whether this node is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The id of the leader, if known.
    pub fn leader(&self) -> Option<u64> {
        if self.is_leader() { Some(self.me.id) } else { self.leader }
    }

    /// The newest member list, committed or not.
    pub fn members(&self) -> &[Member] {
        match self.memberships.last() {
            Some((_, members)) => members,
            None => &[],
        }
    }

    /// Whether a majority confirmed this leader within the last `lease_ms` ms.
    ///
    /// The time counts from when the confirmed round was sent, not from when
    /// the reply arrived, so a slow link can't extend the lease.
    ///
    /// False until the leader has committed an entry of its own term.
    pub fn holds_quorum(&self, now: u64, lease_ms: u64) -> bool {
        let Role::Leader(leader_state) = &self.role else { return false };
        if self.commit_index < leader_state.term_start_index {
            return false;
        }
        self.is_quorum(|member| {
            member == self.me
                || leader_state.progress.iter().any(|progress| {
                    progress.member == member
                        && progress.acked_round > 0
                        && now < progress.confirmed_at + lease_ms
                })
        })
    }

    /// The number of voters that can be lost now without losing the quorum.
    ///
    /// Counts only voters that answer and lack at most a few entries. Until a
    /// member change is committed, returns the lower of the counts for the old
    /// and the new list. Reporting a voter as repaired before its promotion is
    /// committed would let an operator take down a VM that the promotion still
    /// depends on.
    pub fn survivable_losses(&self, now: u64) -> usize {
        let Role::Leader(leader_state) = &self.role else { return 0 };
        let recent = self.memberships.iter().rev();
        let uncommitted =
            recent.clone().take_while(|(index, _)| *index > self.commit_index);
        let committed = recent.skip(uncommitted.clone().count()).take(1);
        uncommitted
            .chain(committed)
            .map(|(_, members)| {
                let voters = members.iter().filter(|member| member.voter);
                let healthy = voters.clone().filter(|voter| {
                    self.is_healthy(now, leader_state, Identity::from(*voter))
                });
                healthy.count().saturating_sub(voters.count() / 2 + 1)
            })
            .min()
            .unwrap_or(0)
    }

    /// The members that this leader has not heard for `min_silence_ms`.
    ///
    /// Returns each member's address and its silence in ms; nothing if this
    /// node is not the leader.
    pub fn silent_members(
        &self,
        now: u64,
        min_silence_ms: u64,
    ) -> Vec<(String, u64)> {
        let Role::Leader(leader_state) = &self.role else { return Vec::new() };
        let silent = self.members().iter().filter_map(|member| {
            let identity = Identity::from(member);
            let progress = leader_state
                .progress
                .iter()
                .find(|progress| progress.member == identity)?;
            let silence = now.saturating_sub(progress.confirmed_at);
            (silence >= min_silence_ms)
                .then(|| (member.address.clone(), silence))
        });
        silent.collect()
    }

    fn is_healthy(
        &self,
        now: u64,
        leader_state: &LeaderState,
        voter: Identity,
    ) -> bool {
        voter == self.me
            || leader_state.progress.iter().any(|progress| {
                progress.member == voter
                    && progress.acked_round > 0
                    && now
                        < progress.confirmed_at
                            + 2 * self.timing.election_timeout_ms
                    && progress.matched_index + CAUGHT_UP_ENTRIES
                        > self.commit_index
            })
    }

    /// Returns the member list to propose next, if a change is due.
    ///
    /// At most one change is made at a time. In this order: a member that
    /// came back with an empty disk is replaced by a learner, a process that
    /// asked to join is added as a learner, a member that has long been silent
    /// is removed, a voter that stops or is silent is demoted, and a learner
    /// that has caught up becomes a voter.
    pub fn due_membership(&self, now: u64) -> Option<Vec<Member>> {
        let Role::Leader(leader_state) = &self.role else { return None };
        if !self.can_change_members() {
            return None;
        }
        let members = self.members();
        for new in &leader_state.new_incarnations {
            let position = members.iter().position(|old| {
                old.id == new.id && old.incarnation != new.incarnation
            });
            if let Some(position) = position {
                let mut changed = members.to_vec();
                changed[position].incarnation = new.incarnation;
                changed[position].voter = false;
                return Some(changed);
            }
        }
        if let Some(new) = leader_state
            .joining
            .iter()
            .find(|new| members.iter().all(|known| known.id != new.id))
        {
            let mut changed = members.to_vec();
            changed.push(Member { voter: false, ..new.clone() });
            return Some(changed);
        }
        if let Some(changed) = self.without_silent_member(now, leader_state) {
            return Some(changed);
        }
        if let Some(changed) = self.with_demoted_voter(now, leader_state) {
            return Some(changed);
        }
        let position = members.iter().position(|member| {
            !member.voter
                && leader_state.progress.iter().any(|progress| {
                    progress.member == Identity::from(member)
                        && progress.acked_round > 0
                        && !progress.stopping
                        && now
                            < progress.confirmed_at
                                + self.timing.election_timeout_ms
                        && progress.matched_index + CAUGHT_UP_ENTRIES
                            > self.commit_index
                })
        })?;
        let mut changed = members.to_vec();
        changed[position].voter = true;
        Some(changed)
    }

    /// Returns the number of healthy voters apart from `member`.
    fn count_other_healthy(
        &self,
        now: u64,
        leader_state: &LeaderState,
        member: Identity,
    ) -> usize {
        self.voters()
            .filter(|voter| {
                *voter != member && self.is_healthy(now, leader_state, *voter)
            })
            .count()
    }

    /// Whether a member is stopping or has been silent for twice the election
    /// timeout.
    fn is_departing(
        &self,
        now: u64,
        leader_state: &LeaderState,
        member: Identity,
    ) -> bool {
        let silence_ms = 2 * self.timing.election_timeout_ms;
        let mut progress = leader_state.progress.iter();
        match progress.find(|progress| progress.member == member) {
            Some(progress) => {
                progress.stopping || now >= progress.confirmed_at + silence_ms
            }
            None => member == self.me && self.stopping,
        }
    }

    /// Returns the member list in which the first departing voter that is not
    /// needed is a learner.
    ///
    /// A voter is demoted only if there are enough other healthy voters to
    /// tolerate the permitted losses, but the quorum is too large for those
    /// that stay. So the quorum no longer counts on a VM that was replaced by
    /// the time the next losses are permitted. Demotion is easily undone: a
    /// learner that answers again is promoted.
    fn with_demoted_voter(
        &self,
        now: u64,
        leader_state: &LeaderState,
    ) -> Option<Vec<Member>> {
        let min_voters = self.min_healthy_voters?;
        let tolerated_losses = min_voters / 2;
        let quorum = self.voters().count() / 2 + 1;
        let staying = self.voters().filter(|voter| {
            self.is_healthy(now, leader_state, *voter)
                && !self.is_departing(now, leader_state, *voter)
        });
        if staying.count() >= quorum + tolerated_losses {
            return None;
        }
        let members = self.members();
        let position = members.iter().position(|member| {
            let identity = Identity::from(member);
            member.voter
                && self.is_departing(now, leader_state, identity)
                && self.count_other_healthy(now, leader_state, identity)
                    >= min_voters
        })?;
        let mut changed = members.to_vec();
        changed[position].voter = false;
        Some(changed)
    }

    /// Returns the member list without the first member that has been silent
    /// for [`REMOVAL_TIMEOUT_MS`].
    ///
    /// Returns `None` if no member has, or if it may not be removed.
    fn without_silent_member(
        &self,
        now: u64,
        leader_state: &LeaderState,
    ) -> Option<Vec<Member>> {
        let min_voters = self.min_healthy_voters?;
        let members = self.members();
        let silent = members.iter().position(|member| {
            let identity = Identity::from(member);
            leader_state.progress.iter().any(|progress| {
                progress.member == identity
                    && now >= progress.confirmed_at + REMOVAL_TIMEOUT_MS
            })
        })?;
        let identity = Identity::from(&members[silent]);
        let others = self.count_other_healthy(now, leader_state, identity);
        if members[silent].voter && others < min_voters {
            return None;
        }
        let mut changed = members.to_vec();
        changed.remove(silent);
        Some(changed)
    }

    // ---- Inputs ---------------------------------------------------------

    /// Advances time: starts elections, sends heartbeats, and steps down as
    /// leader without a quorum.
    pub fn tick(&mut self, now: u64) {
        match &self.role {
            Role::Leader(leader_state) => {
                let due = now >= leader_state.heartbeat_due_at;
                // Otherwise a partitioned leader would still act as leader
                // and answer callers from outdated state. After stepping
                // down it refuses them.
                if !self.has_recent_quorum(now) {
                    self.become_follower(now, self.term, None);
                    // Its followers would otherwise refuse their votes for an
                    // election timeout after its last message.
                    self.start_election(now, true);
                } else if due {
                    self.broadcast(now);
                }
            }
            Role::Follower => {
                if now >= self.election_due_at {
                    self.start_election(now, true);
                }
            }
            Role::Candidate { requested_at, .. } => {
                let again_at = requested_at + self.timing.heartbeat_ms;
                if now >= self.election_due_at {
                    self.start_election(now, true);
                } else if now >= again_at {
                    self.request_votes(now);
                }
            }
        }
    }

    /// Appends a change, if this node leads; returns its index.
    pub fn propose(
        &mut self,
        now: u64,
        payload: Vec<u8>,
    ) -> Result<u64, Refusal> {
        if !self.is_leader() {
            return Err(Refusal::NotLeader { leader: self.leader });
        }
        let index = self.append_entry(self.term, payload);
        self.broadcast(now);
        Ok(index)
    }

    /// Appends a member list, if this node leads; returns its index.
    pub fn propose_members(
        &mut self,
        now: u64,
        members: Vec<Member>,
    ) -> Result<u64, Refusal> {
        if !self.is_leader() {
            return Err(Refusal::NotLeader { leader: self.leader });
        }
        if !self.can_change_members() {
            return Err(Refusal::ChangePending);
        }
        let index = self.append_entry(self.term, encode_membership(members));
        self.track_members(now);
        self.broadcast(now);
        Ok(index)
    }

    /// Starts a read that sees every change acknowledged before it.
    ///
    /// [`Output::confirmed_reads`] returns the token once a majority has
    /// confirmed that this node still leads, and [`Output::refused_reads`] if
    /// it steps down before that.
    pub fn start_read(&mut self, now: u64, token: u64) -> Result<(), Refusal> {
        let commit = self.commit_index;
        let Role::Leader(leader_state) = &mut self.role else {
            return Err(Refusal::NotLeader { leader: self.leader });
        };
        if commit < leader_state.term_start_index {
            // Entries of earlier terms may be committed without this node
            // knowing that yet.
            return Err(Refusal::ChangePending);
        }
        let round = leader_state.round + 1;
        leader_state.reads.push(PendingRead { token, round, started_at: now });
        self.broadcast(now);
        self.confirm_reads();
        Ok(())
    }

    /// Processes a message from another member or a process that wants to
    /// join.
    pub fn receive(&mut self, now: u64, message: Envelope) {
        let from = Identity {
            id: message.from,
            incarnation: message.from_incarnation,
        };
        if message.to != self.me.id {
            return;
        }
        if let Some(Body::Join(address)) = message.body {
            self.on_join(from, address);
            return;
        }
        if message.to_incarnation != self.me.incarnation {
            self.send(from, self.term, Body::WrongIncarnation(true));
            return;
        }
        let Some(body) = message.body else { return };
        let term = message.term;
        match body {
            Body::WrongIncarnation(_) => self.on_wrong_incarnation(from),
            Body::Join(address) => self.on_join(from, address),
            Body::VoteRequest(request) => {
                self.on_vote_request(now, from, term, request);
            }
            Body::VoteReply(reply) => {
                self.on_vote_reply(now, from, term, reply);
            }
            Body::AppendRequest(request) => {
                self.on_append(now, from, term, request);
            }
            Body::AppendReply(reply) => {
                self.on_append_reply(now, from, term, reply);
            }
            Body::SnapshotRequest(request) => {
                self.on_snapshot(now, from, term, request);
            }
        }
    }

    /// Records that the entries up to `index` have been synced to disk.
    pub fn mark_persisted(&mut self, index: u64) {
        self.persisted_index = index.min(self.last_index());
        self.advance_commit();
    }

    /// Takes the output that has accumulated since the last call.
    pub fn take_output(&mut self) -> Output {
        let mut output = std::mem::take(&mut self.output);
        if std::mem::take(&mut self.hard_state_changed) {
            output.hard_state = Some(self.hard_state());
        }
        output
    }

    /// Takes the entries that have become ready to apply since the last call.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let from = self.returned_index.max(self.base.0);
        // An entry must also be on this node's disk before it is applied
        // here.
        let to = self.commit_index.min(self.persisted_index);
        if to <= from {
            return Vec::new();
        }
        self.returned_index = to;
        let start = (from - self.base.0) as usize;
        let end = (to - self.base.0) as usize;
        self.entries[start..end].to_vec()
    }

    /// Makes a snapshot of `state`, to which the log up to `index` is applied.
    ///
    /// Returns the snapshot and the entries that remain in the log after it,
    /// to be written to disk. A member that lacks entries up to `index` is
    /// sent the snapshot.
    pub fn compact(
        &mut self,
        index: u64,
        state: Vec<u8>,
    ) -> Option<(Snapshot, &[LogEntry])> {
        if index <= self.base.0 || index > self.commit_index {
            return None;
        }
        let members = self
            .memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, members)| members.clone())
            .unwrap_or_default();
        let snapshot = Snapshot {
            index,
            term: self.term_at(index)?,
            membership: Some(crate::wire::Membership { members }),
            state,
        };
        self.entries.drain(..(index - self.base.0) as usize);
        self.base = (index, snapshot.term);
        self.snapshot = Some(snapshot.clone());
        self.rebuild_memberships();
        Some((snapshot, &self.entries))
    }

    /// Term, vote and commit index, as written to disk.
    pub fn hard_state(&self) -> HardState {
        let vote =
            self.voted_for.unwrap_or(Identity { id: 0, incarnation: 0 });
        HardState {
            term: self.term,
            vote: vote.id,
            vote_incarnation: vote.incarnation,
            commit: self.commit_index,
        }
    }
}
