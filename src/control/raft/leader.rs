//! The leader's side of replication: sending entries and snapshots,
//! advancing the commit index and confirming reads.

use super::{
    Identity, MAX_BYTES_PER_APPEND, MAX_ENTRIES_PER_APPEND, Node, Progress,
    Role, SNAPSHOT_BYTES_PER_MS,
};
use crate::wire::{
    AppendReply, AppendRequest, LogEntry, Member, SnapshotRequest,
    envelope::Body,
};

impl Node {
    /// Tracks the progress of exactly the members in the newest list.
    pub(super) fn track_members(&mut self, now: u64) {
        let members: Vec<Identity> =
            self.members().iter().map(Identity::from).collect();
        let next_index = self.last_index() + 1;
        let me = self.me;
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.progress.retain(|old| members.contains(&old.member));
        leader_state.new_incarnations.retain(|new| !members.contains(new));
        leader_state
            .joining
            .retain(|new| !members.contains(&Identity::from(new)));
        for member in members {
            let known =
                leader_state.progress.iter().any(|old| old.member == member);
            if member == me || known {
                continue;
            }
            leader_state.progress.push(Progress {
                member,
                next_index,
                matched_index: 0,
                acked_round: 0,
                // Gives the member one election timeout to answer before it
                // counts against the leader's quorum.
                confirmed_at: now,
                stopping: false,
                snapshot_sent_at: None,
            });
        }
    }

    pub(super) fn broadcast(&mut self, now: u64) {
        let heartbeat_ms = self.timing.heartbeat_ms;
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.round += 1;
        leader_state.heartbeat_due_at = now + heartbeat_ms;
        let round = leader_state.round;
        leader_state.sent_rounds.push((round, now));
        if leader_state.sent_rounds.len() > 1024 {
            leader_state.sent_rounds.drain(..512);
        }
        for pos in 0..leader_state.progress.len() {
            self.replicate(now, pos);
        }
    }

    pub(super) fn replicate(&mut self, now: u64, pos: usize) {
        let last_index = self.last_index();
        let base = self.base;
        let commit = self.commit_index;
        let election_timeout_ms = self.timing.election_timeout_ms;
        let Role::Leader(leader_state) = &mut self.role else { return };
        let round = leader_state.round;
        let progress = &mut leader_state.progress[pos];
        let member = progress.member;
        if progress.next_index <= base.0 {
            let bytes = self
                .snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.state.len());
            let timeout_ms =
                2 * election_timeout_ms + bytes as u64 / SNAPSHOT_BYTES_PER_MS;
            let snapshot_in_flight = progress
                .snapshot_sent_at
                .is_some_and(|sent_at| now < sent_at + timeout_ms);
            if snapshot_in_flight {
                // Without the round, the member would confirm nothing until
                // the snapshot is installed: the leader could confirm no read
                // that needs this member, and would step down.
                let request = AppendRequest {
                    previous_index: base.0,
                    previous_term: base.1,
                    commit,
                    round,
                    entries: Vec::new(),
                };
                self.send(member, self.term, Body::AppendRequest(request));
                return;
            }
            progress.snapshot_sent_at = Some(now);
            let request =
                SnapshotRequest { snapshot: self.snapshot.clone(), round };
            self.send(member, self.term, Body::SnapshotRequest(request));
            return;
        }
        let previous = progress.next_index - 1;
        let start = (previous - base.0) as usize;
        let mut bytes = 0;
        let entries: Vec<LogEntry> = self.entries[start..]
            .iter()
            .take(MAX_ENTRIES_PER_APPEND)
            .take_while(|entry| {
                let first = bytes == 0;
                bytes += entry.payload.len() + 1;
                first || bytes < MAX_BYTES_PER_APPEND
            })
            .cloned()
            .collect();
        progress.next_index =
            (previous + entries.len() as u64 + 1).min(last_index + 1);
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
        let last_index = self.last_index();
        let Role::Leader(leader_state) = &mut self.role else { return };
        let pos = leader_state
            .progress
            .iter()
            .position(|progress| progress.member == from);
        let (Some(pos), true) = (pos, term == self.term) else { return };
        let sent_at = leader_state
            .sent_rounds
            .binary_search_by_key(&reply.round, |(round, _)| *round)
            .ok()
            .map(|found| leader_state.sent_rounds[found].1);
        let progress = &mut leader_state.progress[pos];
        if let Some(sent_at) = sent_at
            && reply.round > progress.acked_round
        {
            progress.acked_round = reply.round;
            progress.confirmed_at = sent_at;
            progress.stopping = reply.stopping;
        }
        if reply.success {
            progress.matched_index =
                progress.matched_index.max(reply.match_index);
            progress.next_index =
                progress.next_index.max(progress.matched_index + 1);
            progress.snapshot_sent_at = None;
        } else {
            // A delayed failure reply to an append that has since been
            // retried must not move `next_index` below the entries that are
            // known to match.
            let hint = reply.match_index.max(progress.matched_index);
            progress.next_index = progress.next_index.min(hint + 1).max(1);
        }
        let has_more = progress.next_index <= last_index
            && progress.snapshot_sent_at.is_none();
        self.advance_commit();
        self.confirm_reads();
        if has_more {
            self.replicate(now, pos);
        }
    }

    pub(super) fn on_wrong_incarnation(&mut self, from: Identity) {
        let known =
            self.members().iter().any(|member| Identity::from(member) == from);
        let Role::Leader(leader_state) = &mut self.role else { return };
        if !known && !leader_state.new_incarnations.contains(&from) {
            // Only the newest incarnation of a member is kept.
            leader_state.new_incarnations.retain(|other| other.id != from.id);
            leader_state.new_incarnations.push(from);
        }
    }

    /// Records a process that asks to join; see [`Node::due_membership`].
    pub(super) fn on_join(&mut self, from: Identity, address: String) {
        let members = self.members();
        let known =
            members.iter().any(|member| Identity::from(member) == from);
        let has_new_incarnation =
            members.iter().any(|member| member.id == from.id);
        let Role::Leader(leader_state) = &mut self.role else { return };
        if known {
            return;
        }
        if has_new_incarnation {
            // The member lost its disk, so its old incarnation has to be
            // replaced first.
            leader_state.new_incarnations.retain(|other| other.id != from.id);
            leader_state.new_incarnations.push(from);
            return;
        }
        leader_state.joining.retain(|other| other.id != from.id);
        leader_state.joining.push(Member {
            id: from.id,
            incarnation: from.incarnation,
            address,
            voter: false,
        });
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader_state) = &self.role else { return };
        let mut candidate = self.last_index();
        while candidate > self.commit_index {
            if self.term_at(candidate) != Some(self.term) {
                return;
            }
            let replicated = self.is_quorum(|member| {
                if member == self.me {
                    return self.persisted_index >= candidate;
                }
                leader_state.progress.iter().any(|progress| {
                    progress.member == member
                        && progress.matched_index >= candidate
                })
            });
            if replicated {
                self.commit_index = candidate;
                return;
            }
            candidate -= 1;
        }
    }

    pub(super) fn confirm_reads(&mut self) {
        let Role::Leader(leader_state) = &self.role else { return };
        let confirmed: Vec<u64> = leader_state
            .reads
            .iter()
            .filter(|read| {
                self.is_quorum(|member| {
                    member == self.me
                        || leader_state.progress.iter().any(|progress| {
                            progress.member == member
                                && progress.acked_round >= read.round
                        })
                })
            })
            .map(|read| read.token)
            .collect();
        if confirmed.is_empty() {
            return;
        }
        let Role::Leader(leader_state) = &mut self.role else { return };
        leader_state.reads.retain(|read| !confirmed.contains(&read.token));
        self.output.confirmed_reads.extend(confirmed);
    }
}
