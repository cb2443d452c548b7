//! The rules of the replicated log, apart from any I/O.
//!
//! These are Raft's rules with pre-vote, check-quorum, learners, one-at-a-time
//! member changes and read-index. A [`Node`] has no clock, socket, disk or
//! randomness of its own: its driver passes in the time, messages and a seed,
//! and carries out what [`Node::output`] hands back, in this order:
//!
//! 1. make `hard`, `install` and `entries` last (one sync for all of them);
//! 2. only then send `messages`;
//! 3. call [`Node::persisted`], then apply what [`Node::committed`] returns.
//!
//! Sending before the sync is the classic way to lose an acknowledged change:
//! a follower acknowledges, loses power, and comes back without the entry.
//!
//! # Incarnations
//!
//! A member is named by id *and* incarnation; the incarnation is drawn at
//! random when a data folder is first made. Every message is addressed to an
//! incarnation, and a process refuses what is meant for another one. So a VM
//! that comes back with an empty disk can't vote in the name of the one that
//! has forgotten its vote. It answers "wrong incarnation"; the leader then
//! replaces the old voter with the new one as a learner, and makes that a
//! voter when it has caught up.

mod election;
mod follower;
mod leader;
mod log;

use rand::{SeedableRng, rngs::StdRng};

use self::log::membership_payload;
use crate::{
    util::common,
    wire::{Envelope, HardState, LogEntry, Member, Snapshot, envelope::Body},
};

/// How many entries one append carries at most.
const ENTRIES_PER_APPEND: usize = 128;
/// How many payload bytes one append carries at most, past its first entry.
const BYTES_PER_APPEND: usize = 512 * 1024;
/// A learner is made a voter when it lacks fewer entries than this.
const CAUGHT_UP_ENTRIES: u64 = 16;
/// A member that was silent for this long may be removed, in ms.
///
/// Longer than a VM that freezes or restarts stays away as a rule (a few
/// seconds), so that a removal mostly means a VM that is gone for good.
const RETIRE_MS: u64 = 8000;

common! {
    copy
    /// Who a member is: its id and the incarnation of its data folder.
    pub struct Identity {
        /// From the settings.
        pub id: u64,
        /// Random, made with the data folder.
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
    /// The times that the rules go by, in milliseconds.
    pub struct Timing {
        /// Between two rounds of an idle leader.
        pub heartbeat: u64,
        /// The shortest silence after which a member stands for election.
        ///
        /// Each wait is drawn from this to twice this.
        pub election: u64,
    }
}

/// What a node remembers when it starts.
#[derive(Clone, Debug, Default)]
pub struct Saved {
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind the snapshot.
    pub entries: Vec<LogEntry>,
}

/// What the driver has to carry out, in the order the module head gives.
#[derive(Debug, Default)]
pub struct Output {
    /// Term and vote to make last.
    pub hard: Option<HardState>,
    /// A snapshot to put in place of the whole log.
    pub install: Option<Snapshot>,
    /// Entries to make last; one whose index is taken replaces the tail.
    pub entries: Vec<LogEntry>,
    /// Messages to send once the above has lasted.
    pub messages: Vec<Envelope>,
    /// Reads that may now be answered: their tokens.
    pub reads: Vec<u64>,
    /// Reads that no longer can be: their tokens.
    pub refused_reads: Vec<u64>,
}

/// Why a proposal was not taken. It has not been appended anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another member leads, or none does.
    NotLeader {
        /// The id of the leader, as far as known.
        leader: Option<u64>,
    },
    /// A member change is under way, or the term has committed nothing yet.
    ChangePending,
}

#[derive(Debug)]
struct Progress {
    member: Identity,
    next: u64,
    matched: u64,
    /// The newest round that it echoed.
    round: u64,
    /// When that round was sent, by this node's clock.
    confirmed_at: u64,
    /// When a snapshot was last sent to it.
    snapshot_at: Option<u64>,
}

#[derive(Debug)]
struct Read {
    token: u64,
    round: u64,
}

#[derive(Debug)]
struct Leadership {
    progress: Vec<Progress>,
    round: u64,
    /// When each of the last rounds went out, oldest first.
    sent: Vec<(u64, u64)>,
    heartbeat_at: u64,
    reads: Vec<Read>,
    /// The index of the empty entry that opened the term.
    opening: u64,
    /// Members that answered under a new incarnation.
    replaced: Vec<Identity>,
    /// Processes that asked to be taken in.
    joining: Vec<Member>,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre: bool, votes: Vec<Identity> },
    Leader(Box<Leadership>),
}

/// One member's view of the replicated log.
#[derive(Debug)]
pub struct Node {
    me: Identity,
    timing: Timing,
    rng: StdRng,
    term: u64,
    vote: Option<Identity>,
    /// Index and term of the last entry that the snapshot covers.
    base: (u64, u64),
    entries: Vec<LogEntry>,
    /// Each member list in the log with its index, oldest first.
    memberships: Vec<(u64, Vec<Member>)>,
    commit: u64,
    handed_out: u64,
    persisted: u64,
    role: Role,
    leader: Option<u64>,
    heard_leader_at: Option<u64>,
    election_at: u64,
    snapshot: Option<Snapshot>,
    output: Output,
    hard_changed: bool,
    /// See [`Node::set_retire_floor`].
    retire_floor: Option<usize>,
}

impl Node {
    /// Starts from what was saved. `seed` feeds the election waits.
    pub fn open(
        me: Identity,
        timing: Timing,
        seed: u64,
        now: u64,
        saved: Saved,
    ) -> Node {
        let base = match &saved.snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term),
            None => (0, 0),
        };
        let vote = Identity {
            id: saved.hard.vote,
            incarnation: saved.hard.vote_incarnation,
        };
        let mut node = Node {
            me,
            timing,
            rng: StdRng::seed_from_u64(seed),
            term: saved.hard.term,
            vote: (vote.id != 0).then_some(vote),
            base,
            entries: saved.entries,
            memberships: Vec::new(),
            commit: base.0,
            handed_out: base.0,
            persisted: 0,
            role: Role::Follower,
            leader: None,
            heard_leader_at: None,
            election_at: 0,
            snapshot: saved.snapshot,
            output: Output::default(),
            hard_changed: false,
            retire_floor: None,
        };
        node.persisted = node.last_index();
        // What was known to be committed can be applied before anybody leads.
        let known = saved.hard.commit.min(node.last_index());
        node.commit = node.commit.max(known);
        node.find_memberships();
        node.draw_election(now);
        node
    }

    /// Makes the first member list of a new cluster, as its first entry.
    ///
    /// Only for a node with an empty log, and only when every listed member
    /// was asked and is empty too.
    pub fn bootstrap(&mut self, members: Vec<Member>) {
        if !self.is_empty() {
            return;
        }
        self.term = 1;
        self.hard_changed = true;
        if members.len() == 1 {
            // Nobody else could stand; waiting only delays the start.
            self.election_at = 0;
        }
        self.append_entry(1, membership_payload(members));
    }

    /// Lets a leader remove members that have long been silent, as long as
    /// at least `floor` sound voters remain.
    ///
    /// A VM that is gone for good otherwise counts towards the quorum for
    /// ever: after two replacements in turn, one more loss stops the cluster
    /// although most of its VMs run.
    pub fn set_retire_floor(&mut self, floor: usize) {
        self.retire_floor = Some(floor);
    }

    /// Asks the leader to take this process in, under `address`.
    ///
    /// For one that no leader talks to: it was never a member, or it was
    /// removed while it was away.
    pub fn ask_to_join(&mut self, leader: u64, address: String) {
        let to = Identity { id: leader, incarnation: 0 };
        self.send(to, self.term, Body::Join(address));
    }

    // ---- Views ----------------------------------------------------------

    /// True when a leader was heard within the last election time.
    pub fn hears_leader(&self, now: u64) -> bool {
        self.is_leader()
            || self
                .heard_leader_at
                .is_some_and(|at| now < at + self.timing.election)
    }

    /// True for a node that knows of no cluster.
    pub fn is_empty(&self) -> bool {
        self.last_index() == 0
    }

    /// This member.
    pub fn identity(&self) -> Identity {
        self.me
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// The last index that the snapshot covers; 0 without one.
    pub fn snapshot_index(&self) -> u64 {
        self.base.0
    }

    /// The highest index in the log.
    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// How many entries stand behind the snapshot.
    pub fn log_len(&self) -> usize {
        self.entries.len()
    }

    /// True while this node leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The id of the leader, as far as known.
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

    /// True for a leader that a majority confirmed within `lease` ms.
    ///
    /// Counted from when the confirmed round was sent, not from when the
    /// answer came in, so a slow link can't stretch it.
    pub fn holds_quorum(&self, now: u64, lease: u64) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        if self.commit < leadership.opening {
            return false;
        }
        self.quorum_of(|member| {
            member == self.me
                || leadership.progress.iter().any(|progress| {
                    progress.member == member
                        && progress.round > 0
                        && now < progress.confirmed_at + lease
                })
        })
    }

    /// How many voters could be lost now without losing the quorum.
    ///
    /// Counts only voters that answer and have all but a few entries. While
    /// a member change is under way it is the lower count of the old list and
    /// the new: reporting a voter as repaired before its promotion has been
    /// committed would let an operator take down the one that it depends on.
    pub fn survivable_losses(&self, now: u64) -> usize {
        let Role::Leader(leadership) = &self.role else { return 0 };
        let recent = self.memberships.iter().rev();
        let uncommitted =
            recent.clone().take_while(|(index, _)| *index > self.commit);
        let committed = recent.skip(uncommitted.clone().count()).take(1);
        uncommitted
            .chain(committed)
            .map(|(_, members)| {
                let voters = members.iter().filter(|member| member.voter);
                let sound = voters.clone().filter(|voter| {
                    self.is_sound(now, leadership, Identity::from(*voter))
                });
                sound.count().saturating_sub(voters.count() / 2 + 1)
            })
            .min()
            .unwrap_or(0)
    }

    /// Members that this leader has not heard for `least` ms, by address, and
    /// for how long, in ms; empty at others.
    pub fn unheard(&self, now: u64, least: u64) -> Vec<(String, u64)> {
        let Role::Leader(leadership) = &self.role else { return Vec::new() };
        let silent = self.members().iter().filter_map(|member| {
            let identity = Identity::from(member);
            let progress = leadership
                .progress
                .iter()
                .find(|progress| progress.member == identity)?;
            let silence = now.saturating_sub(progress.confirmed_at);
            (silence >= least).then(|| (member.address.clone(), silence))
        });
        silent.collect()
    }

    fn is_sound(
        &self,
        now: u64,
        leadership: &Leadership,
        voter: Identity,
    ) -> bool {
        voter == self.me
            || leadership.progress.iter().any(|progress| {
                progress.member == voter
                    && progress.round > 0
                    && now < progress.confirmed_at + 2 * self.timing.election
                    && progress.matched + CAUGHT_UP_ENTRIES > self.commit
            })
    }

    /// The member change that is due, if any: at most one at a time.
    ///
    /// Replaces a voter that came back with an empty disk by a learner, and
    /// makes a learner that has caught up a voter.
    pub fn due_membership(&self, now: u64) -> Option<Vec<Member>> {
        let Role::Leader(leadership) = &self.role else { return None };
        if !self.may_change_members() {
            return None;
        }
        let members = self.members();
        for new in &leadership.replaced {
            let at = members.iter().position(|old| {
                old.id == new.id && old.incarnation != new.incarnation
            });
            if let Some(at) = at {
                let mut changed = members.to_vec();
                changed[at].incarnation = new.incarnation;
                changed[at].voter = false;
                return Some(changed);
            }
        }
        if let Some(new) = leadership
            .joining
            .iter()
            .find(|new| members.iter().all(|known| known.id != new.id))
        {
            let mut changed = members.to_vec();
            changed.push(Member { voter: false, ..new.clone() });
            return Some(changed);
        }
        if let Some(changed) = self.without_silent(now, leadership) {
            return Some(changed);
        }
        let at = members.iter().position(|member| {
            !member.voter
                && leadership.progress.iter().any(|progress| {
                    progress.member == Identity::from(member)
                        && progress.round > 0
                        && now < progress.confirmed_at + self.timing.election
                        && progress.matched + CAUGHT_UP_ENTRIES > self.commit
                })
        })?;
        let mut changed = members.to_vec();
        changed[at].voter = true;
        Some(changed)
    }

    /// The member list without one that has long been silent.
    fn without_silent(
        &self,
        now: u64,
        leadership: &Leadership,
    ) -> Option<Vec<Member>> {
        let floor = self.retire_floor?;
        let members = self.members();
        let sound = members
            .iter()
            .filter(|member| member.voter)
            .filter(|voter| {
                self.is_sound(now, leadership, Identity::from(*voter))
            })
            .count();
        let silent = members.iter().position(|member| {
            let identity = Identity::from(member);
            leadership.progress.iter().any(|progress| {
                progress.member == identity
                    && now >= progress.confirmed_at + RETIRE_MS
            })
        })?;
        if members[silent].voter && sound < floor {
            return None;
        }
        let mut changed = members.to_vec();
        changed.remove(silent);
        Some(changed)
    }

    // ---- Inputs ---------------------------------------------------------

    /// Lets time pass: elections, heartbeats, a leader's stepping down.
    pub fn tick(&mut self, now: u64) {
        match &self.role {
            Role::Leader(leadership) => {
                let due = now >= leadership.heartbeat_at;
                // A leader that is cut off would go on believing in itself
                // and answer from what it has. Callers would see old state;
                // stepping down makes it refuse instead.
                if !self.holds_quorum_or_is_opening(now) {
                    self.become_follower(now, self.term, None);
                } else if due {
                    self.broadcast(now);
                }
            }
            Role::Follower | Role::Candidate { .. } => {
                if now >= self.election_at {
                    self.stand(now, true);
                }
            }
        }
    }

    /// Appends a change, as the leader; returns its index.
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

    /// Appends a member list, as the leader; returns its index.
    pub fn propose_members(
        &mut self,
        now: u64,
        members: Vec<Member>,
    ) -> Result<u64, Refusal> {
        if !self.is_leader() {
            return Err(Refusal::NotLeader { leader: self.leader });
        }
        if !self.may_change_members() {
            return Err(Refusal::ChangePending);
        }
        let index = self.append_entry(self.term, membership_payload(members));
        self.follow_members(now);
        self.broadcast(now);
        Ok(index)
    }

    /// Asks for a read that sees everything acknowledged before it.
    ///
    /// The token comes back in [`Output::reads`] once a majority confirmed
    /// that this node still leads.
    pub fn read(&mut self, now: u64, token: u64) -> Result<(), Refusal> {
        let commit = self.commit;
        let Role::Leader(leadership) = &mut self.role else {
            return Err(Refusal::NotLeader { leader: self.leader });
        };
        if commit < leadership.opening {
            // Entries of earlier terms may be committed without this node
            // knowing it yet.
            return Err(Refusal::ChangePending);
        }
        let round = leadership.round + 1;
        leadership.reads.push(Read { token, round });
        self.broadcast(now);
        self.answer_reads();
        Ok(())
    }

    /// Takes a message from another member.
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
            Body::WrongIncarnation(_) => self.on_replaced(from),
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

    /// Tells the node that the entries up to `index` have been synced.
    pub fn persisted(&mut self, index: u64) {
        self.persisted = index.min(self.last_index());
        self.advance_commit();
    }

    /// What there is to carry out; empties it.
    pub fn output(&mut self) -> Output {
        let mut output = std::mem::take(&mut self.output);
        if std::mem::take(&mut self.hard_changed) {
            output.hard = Some(self.hard());
        }
        output
    }

    /// The entries that have become committed since the last call.
    pub fn committed(&mut self) -> Vec<LogEntry> {
        let from = self.handed_out.max(self.base.0);
        // An entry must be on this disk too before it is applied here.
        let to = self.commit.min(self.persisted);
        if to <= from {
            return Vec::new();
        }
        self.handed_out = to;
        let low = (from - self.base.0) as usize;
        let high = (to - self.base.0) as usize;
        self.entries[low..high].to_vec()
    }

    /// Makes a snapshot of `state`, which has applied up to `index`.
    ///
    /// Returns it together with the entries that stay behind it, for the
    /// disk. A member that lacks entries before `index` gets the snapshot.
    pub fn compact(
        &mut self,
        index: u64,
        state: Vec<u8>,
    ) -> Option<(Snapshot, &[LogEntry])> {
        if index <= self.base.0 || index > self.commit {
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
        self.find_memberships();
        Some((snapshot, &self.entries))
    }

    /// Term and vote, as they have to last, and what is committed.
    pub fn hard(&self) -> HardState {
        let vote = self.vote.unwrap_or(Identity { id: 0, incarnation: 0 });
        HardState {
            term: self.term,
            vote: vote.id,
            vote_incarnation: vote.incarnation,
            commit: self.commit,
        }
    }
}
