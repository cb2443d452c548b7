//! Elections: pre-votes, votes, taking over and giving up leadership.

use rand::RngExt;

use super::{Identity, LeaderState, Node, Role};
use crate::wire::{VoteReply, VoteRequest, envelope::Body};

impl Node {
    /// Starts a pre-vote round, or an election in a new term, if this member
    /// is a voter.
    pub(super) fn start_election(&mut self, now: u64, pre_vote: bool) {
        self.reset_election_timer(now);
        if !self.voters().any(|voter| voter == self.me) {
            return;
        }
        self.leader = None;
        if !pre_vote {
            self.term += 1;
            self.voted_for = Some(self.me);
            self.hard_state_changed = true;
        }
        let votes = vec![self.me];
        self.role = Role::Candidate { pre_vote, votes, requested_at: now };
        self.request_votes(now);
        self.count_votes(now);
    }

    /// Requests the votes that this candidate lacks.
    ///
    /// A request or its answer may be lost, and a voter that has refused may
    /// grant its vote once it no longer hears a leader.
    pub(super) fn request_votes(&mut self, now: u64) {
        let last_index = self.last_index();
        let last_term = self.last_term();
        let all: Vec<Identity> = self.voters().collect();
        let Role::Candidate { pre_vote, votes, requested_at } = &mut self.role
        else {
            return;
        };
        *requested_at = now;
        let pre = *pre_vote;
        let missing: Vec<Identity> =
            all.into_iter().filter(|voter| !votes.contains(voter)).collect();
        let term = self.term + u64::from(pre);
        let request = VoteRequest { pre, last_index, last_term };
        for voter in missing {
            self.send(voter, term, Body::VoteRequest(request));
        }
    }

    pub(super) fn count_votes(&mut self, now: u64) {
        let Role::Candidate { pre_vote, votes, .. } = &self.role else {
            return;
        };
        let pre_vote = *pre_vote;
        if !self.is_quorum(|member| votes.contains(&member)) {
            return;
        }
        if pre_vote {
            self.start_election(now, false);
        } else {
            self.become_leader(now);
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: u64,
        from: Identity,
        term: u64,
        request: VoteRequest,
    ) {
        if term > self.term && self.leader == Some(from.id) {
            // Only a leader that has stepped down requests votes for a later
            // term.
            self.leader = None;
        }
        // Without this check, a member that returns from a network partition
        // with a higher term would depose a leader that the other members
        // still hear.
        let hears_leader = self.is_leader()
            || self.heard_leader_at.is_some_and(|at| {
                now < at + self.timing.election_timeout_ms
                    && self.leader.is_some()
            });
        if hears_leader {
            if request.pre || term > self.term {
                let reply = VoteReply { pre: request.pre, granted: false };
                self.send(from, self.term, Body::VoteReply(reply));
            }
            return;
        }
        let is_up_to_date = (request.last_term, request.last_index)
            >= (self.last_term(), self.last_index());
        if request.pre {
            let granted = term > self.term && is_up_to_date;
            if granted {
                self.yield_pre_vote(now, from, request);
            }
            let reply = VoteReply { pre: true, granted };
            let reply_term = if granted { term } else { self.term };
            self.send(from, reply_term, Body::VoteReply(reply));
            return;
        }
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let vote_available = self.voted_for.is_none_or(|vote| vote == from);
        let granted = term == self.term && is_up_to_date && vote_available;
        if granted {
            self.voted_for = Some(from);
            self.hard_state_changed = true;
            self.reset_election_timer(now);
        }
        let reply = VoteReply { pre: false, granted };
        self.send(from, self.term, Body::VoteReply(reply));
    }

    /// Gives up this member's pre-vote round for that of a candidate with a
    /// newer log or, if the logs are equally new, a higher id.
    ///
    /// A voter grants its pre-vote to every candidate. If each voter is
    /// needed, two candidates at the same time would both go on to an
    /// election in which each votes for itself, and both would fail.
    fn yield_pre_vote(
        &mut self,
        now: u64,
        from: Identity,
        request: VoteRequest,
    ) {
        let other = (request.last_term, request.last_index, from.id);
        let own = (self.last_term(), self.last_index(), self.me.id);
        let is_pre_candidate =
            matches!(self.role, Role::Candidate { pre_vote: true, .. });
        if is_pre_candidate && other > own {
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: u64,
        from: Identity,
        term: u64,
        reply: VoteReply,
    ) {
        if !reply.granted {
            if term > self.term {
                self.become_follower(now, term, None);
            }
            return;
        }
        let expected_term = match &self.role {
            Role::Candidate { pre_vote: true, .. } => self.term + 1,
            Role::Candidate { pre_vote: false, .. } => self.term,
            Role::Follower | Role::Leader(_) => return,
        };
        if let Role::Candidate { pre_vote, votes, .. } = &mut self.role
            && term == expected_term
            && reply.pre == *pre_vote
            && !votes.contains(&from)
        {
            votes.push(from);
            self.count_votes(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: u64) {
        self.leader = Some(self.me.id);
        self.role = Role::Leader(Box::new(LeaderState {
            progress: Vec::new(),
            round: 0,
            sent_rounds: Vec::new(),
            heartbeat_due_at: now,
            reads: Vec::new(),
            term_start_index: self.last_index() + 1,
            new_incarnations: Vec::new(),
            joining: Vec::new(),
        }));
        self.track_members(now);
        // Entries of earlier terms are committed only together with a later
        // entry of the current term.
        self.append_entry(self.term, Vec::new());
        self.broadcast(now);
    }

    pub(super) fn become_follower(
        &mut self,
        now: u64,
        term: u64,
        leader: Option<u64>,
    ) {
        if let Role::Leader(leader_state) = &mut self.role {
            let reads = leader_state.reads.drain(..).map(|read| read.token);
            self.output.refused_reads.extend(reads);
        }
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.hard_state_changed = true;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    pub(super) fn reset_election_timer(&mut self, now: u64) {
        let min_wait = self.timing.election_timeout_ms;
        self.election_due_at =
            now + self.rng.random_range(min_wait..2 * min_wait);
    }

    /// Whether a majority answered a round sent within the last election
    /// timeout.
    ///
    /// A member that this leader has just started to track counts as having
    /// answered.
    pub(super) fn has_recent_quorum(&self, now: u64) -> bool {
        let Role::Leader(leader_state) = &self.role else { return false };
        self.is_quorum(|member| {
            member == self.me
                || leader_state.progress.iter().any(|progress| {
                    progress.member == member
                        && now
                            < progress.confirmed_at
                                + self.timing.election_timeout_ms
                })
        })
    }
}
