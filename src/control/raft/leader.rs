//! The leader's side of replication: what goes out, what is committed.

use super::{
    BYTES_PER_APPEND, ENTRIES_PER_APPEND, Identity, Node, Progress, Role,
};
use crate::wire::{
    AppendReply, AppendRequest, LogEntry, Member, SnapshotRequest,
    envelope::Body,
};

impl Node {
    pub(super) fn follow_members(&mut self, now: u64) {
        let members: Vec<Identity> =
            self.members().iter().map(Identity::from).collect();
        let next = self.last_index() + 1;
        let me = self.me;
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.progress.retain(|old| members.contains(&old.member));
        leadership.replaced.retain(|new| !members.contains(new));
        leadership
            .joining
            .retain(|new| !members.contains(&Identity::from(new)));
        for member in members {
            let known =
                leadership.progress.iter().any(|old| old.member == member);
            if member == me || known {
                continue;
            }
            leadership.progress.push(Progress {
                member,
                next,
                matched: 0,
                round: 0,
                // Gives a new leader one election's time to be heard.
                confirmed_at: now,
                snapshot_at: None,
            });
        }
    }

    pub(super) fn broadcast(&mut self, now: u64) {
        let heartbeat = self.timing.heartbeat;
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.round += 1;
        leadership.heartbeat_at = now + heartbeat;
        let round = leadership.round;
        leadership.sent.push((round, now));
        if leadership.sent.len() > 1024 {
            leadership.sent.drain(..512);
        }
        for at in 0..leadership.progress.len() {
            self.replicate(now, at);
        }
    }

    pub(super) fn replicate(&mut self, now: u64, at: usize) {
        let last = self.last_index();
        let base = self.base;
        let commit = self.commit;
        let election = self.timing.election;
        let Role::Leader(leadership) = &mut self.role else { return };
        let round = leadership.round;
        let progress = &mut leadership.progress[at];
        let member = progress.member;
        if progress.next <= base.0 {
            let waiting = progress
                .snapshot_at
                .is_some_and(|sent| now < sent + 2 * election);
            if waiting {
                return;
            }
            progress.snapshot_at = Some(now);
            let request =
                SnapshotRequest { snapshot: self.snapshot.clone(), round };
            self.send(member, self.term, Body::SnapshotRequest(request));
            return;
        }
        let previous = progress.next - 1;
        let low = (previous - base.0) as usize;
        let mut bytes = 0;
        let entries: Vec<LogEntry> = self.entries[low..]
            .iter()
            .take(ENTRIES_PER_APPEND)
            .take_while(|entry| {
                let first = bytes == 0;
                bytes += entry.payload.len() + 1;
                first || bytes < BYTES_PER_APPEND
            })
            .cloned()
            .collect();
        progress.next = (previous + entries.len() as u64 + 1).min(last + 1);
        let request = AppendRequest {
            previous_index: previous,
            previous_term: self.term_at(previous).unwrap_or(0),
            commit,
            round,
            entries,
        };
        self.send(member, self.term, Body::AppendRequest(request));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: u64,
        from: Identity,
        term: u64,
        reply: AppendReply,
    ) {
        if term > self.term {
            self.become_follower(now, term, None);
            return;
        }
        let last = self.last_index();
        let Role::Leader(leadership) = &mut self.role else { return };
        let at = leadership
            .progress
            .iter()
            .position(|progress| progress.member == from);
        let (Some(at), true) = (at, term == self.term) else { return };
        let sent = leadership
            .sent
            .binary_search_by_key(&reply.round, |(round, _)| *round)
            .ok()
            .map(|found| leadership.sent[found].1);
        let progress = &mut leadership.progress[at];
        if let Some(sent) = sent
            && reply.round > progress.round
        {
            progress.round = reply.round;
            progress.confirmed_at = sent;
        }
        if reply.success {
            progress.matched = progress.matched.max(reply.match_index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot_at = None;
        } else {
            // A late refusal of an append that was since repeated must not
            // take `next` below what is known to match.
            let hint = reply.match_index.max(progress.matched);
            progress.next = progress.next.min(hint + 1).max(1);
        }
        let more = progress.next <= last && progress.snapshot_at.is_none();
        self.advance_commit();
        self.answer_reads();
        if more {
            self.replicate(now, at);
        }
    }

    pub(super) fn on_replaced(&mut self, from: Identity) {
        let known =
            self.members().iter().any(|member| Identity::from(member) == from);
        let Role::Leader(leadership) = &mut self.role else { return };
        if !known && !leadership.replaced.contains(&from) {
            // Only the newest incarnation of a member counts.
            leadership.replaced.retain(|other| other.id != from.id);
            leadership.replaced.push(from);
        }
    }

    /// Remembers who asked to be taken in; see [`Node::due_membership`].
    pub(super) fn on_join(&mut self, from: Identity, address: String) {
        let members = self.members();
        let known = members.iter().any(|one| Identity::from(one) == from);
        let renewed = members.iter().any(|one| one.id == from.id);
        let Role::Leader(leadership) = &mut self.role else { return };
        if known {
            return;
        }
        if renewed {
            // Its disk was lost: the old incarnation has to go first.
            leadership.replaced.retain(|other| other.id != from.id);
            leadership.replaced.push(from);
            return;
        }
        leadership.joining.retain(|other| other.id != from.id);
        leadership.joining.push(Member {
            id: from.id,
            incarnation: from.incarnation,
            address,
            voter: false,
        });
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let mut candidate = self.last_index();
        while candidate > self.commit {
            if self.term_at(candidate) != Some(self.term) {
                return;
            }
            let held = self.quorum_of(|member| {
                if member == self.me {
                    return self.persisted >= candidate;
                }
                leadership.progress.iter().any(|progress| {
                    progress.member == member && progress.matched >= candidate
                })
            });
            if held {
                self.commit = candidate;
                return;
            }
            candidate -= 1;
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let confirmed: Vec<u64> = leadership
            .reads
            .iter()
            .filter(|read| {
                self.quorum_of(|member| {
                    member == self.me
                        || leadership.progress.iter().any(|progress| {
                            progress.member == member
                                && progress.round >= read.round
                        })
                })
            })
            .map(|read| read.token)
            .collect();
        if confirmed.is_empty() {
            return;
        }
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.reads.retain(|read| !confirmed.contains(&read.token));
        self.output.reads.extend(confirmed);
    }
}
