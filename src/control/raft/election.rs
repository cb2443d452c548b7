//! Standing, voting, leading, stepping down.

use rand::RngExt;

use super::{Identity, Leadership, Node, Role};
use crate::wire::{VoteReply, VoteRequest, envelope::Body};

impl Node {
    pub(super) fn stand(&mut self, now: u64, pre: bool) {
        self.draw_election(now);
        if !self.voters().any(|voter| voter == self.me) {
            return;
        }
        self.leader = None;
        let term = if pre {
            self.term + 1
        } else {
            self.term += 1;
            self.vote = Some(self.me);
            self.hard_changed = true;
            self.term
        };
        self.role = Role::Candidate { pre, votes: vec![self.me] };
        let request = VoteRequest {
            pre,
            last_index: self.last_index(),
            last_term: self.last_term(),
        };
        let voters: Vec<Identity> = self.voters().collect();
        for voter in voters {
            if voter != self.me {
                self.send(voter, term, Body::VoteRequest(request));
            }
        }
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: u64) {
        let Role::Candidate { pre, votes } = &self.role else { return };
        let pre = *pre;
        if !self.quorum_of(|member| votes.contains(&member)) {
            return;
        }
        if pre {
            self.stand(now, false);
        } else {
            self.lead(now);
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: u64,
        from: Identity,
        term: u64,
        request: VoteRequest,
    ) {
        // A member that a cut kept away would otherwise come back with a
        // higher term and depose a leader that everybody else hears.
        let hears_leader = self.is_leader()
            || self.heard_leader_at.is_some_and(|at| {
                now < at + self.timing.election && self.leader.is_some()
            });
        if hears_leader {
            if request.pre || term > self.term {
                let reply = VoteReply { pre: request.pre, granted: false };
                self.send(from, self.term, Body::VoteReply(reply));
            }
            return;
        }
        let current = (request.last_term, request.last_index)
            >= (self.last_term(), self.last_index());
        if request.pre {
            let granted = term > self.term && current;
            let reply = VoteReply { pre: true, granted };
            let echoed = if granted { term } else { self.term };
            self.send(from, echoed, Body::VoteReply(reply));
            return;
        }
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let free = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term && current && free;
        if granted {
            self.vote = Some(from);
            self.hard_changed = true;
            self.draw_election(now);
        }
        let reply = VoteReply { pre: false, granted };
        self.send(from, self.term, Body::VoteReply(reply));
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
        let wanted = match &self.role {
            Role::Candidate { pre: true, .. } => self.term + 1,
            Role::Candidate { pre: false, .. } => self.term,
            Role::Follower | Role::Leader(_) => return,
        };
        if let Role::Candidate { pre, votes } = &mut self.role
            && term == wanted
            && reply.pre == *pre
            && !votes.contains(&from)
        {
            votes.push(from);
            self.count_votes(now);
        }
    }

    pub(super) fn lead(&mut self, now: u64) {
        self.leader = Some(self.me.id);
        self.role = Role::Leader(Box::new(Leadership {
            progress: Vec::new(),
            round: 0,
            sent: Vec::new(),
            heartbeat_at: now,
            reads: Vec::new(),
            opening: self.last_index() + 1,
            replaced: Vec::new(),
            joining: Vec::new(),
        }));
        self.follow_members(now);
        // Entries of earlier terms commit only below one of this term.
        self.append_entry(self.term, Vec::new());
        self.broadcast(now);
    }

    pub(super) fn become_follower(
        &mut self,
        now: u64,
        term: u64,
        leader: Option<u64>,
    ) {
        if let Role::Leader(leadership) = &mut self.role {
            let reads = leadership.reads.drain(..).map(|read| read.token);
            self.output.refused_reads.extend(reads);
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.hard_changed = true;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.draw_election(now);
    }

    pub(super) fn draw_election(&mut self, now: u64) {
        let wait = self.timing.election;
        self.election_at = now + self.rng.random_range(wait..2 * wait);
    }

    pub(super) fn holds_quorum_or_is_opening(&self, now: u64) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        self.quorum_of(|member| {
            member == self.me
                || leadership.progress.iter().any(|progress| {
                    progress.member == member
                        && now < progress.confirmed_at + self.timing.election
                })
        })
    }
}
