//! A follower's side of replication: storing entries and snapshots, and
//! acknowledging them to the leader.

use super::{Identity, Node};
use crate::wire::{
    AppendReply, AppendRequest, LogEntry, SnapshotRequest, envelope::Body,
};

impl Node {
    /// Recognizes the sender as leader unless its term is outdated.
    ///
    /// If the term is outdated, sends a failure reply and returns false.
    pub(super) fn accept_leader(
        &mut self,
        now: u64,
        from: Identity,
        term: u64,
    ) -> bool {
        if term < self.term {
            let reply = AppendReply {
                success: false,
                match_index: self.last_index(),
                round: 0,
                stopping: self.stopping,
            };
            self.send(from, self.term, Body::AppendReply(reply));
            return false;
        }
        self.become_follower(now, term, Some(from.id));
        self.heard_leader_at = Some(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        now: u64,
        from: Identity,
        term: u64,
        request: AppendRequest,
    ) {
        if !self.accept_leader(now, from, term) {
            return;
        }
        let previous = request.previous_index;
        let log_matches = previous < self.base.0
            || self.term_at(previous) == Some(request.previous_term);
        if !log_matches {
            let reply = AppendReply {
                success: false,
                match_index: self.last_possible_match(previous),
                round: request.round,
                stopping: self.stopping,
            };
            self.send(from, self.term, Body::AppendReply(reply));
            return;
        }
        let matched_index = previous + request.entries.len() as u64;
        for entry in request.entries {
            self.store_entry(entry);
        }
        self.commit_index =
            self.commit_index.max(request.commit.min(matched_index));
        let reply = AppendReply {
            success: true,
            match_index: matched_index,
            round: request.round,
            stopping: self.stopping,
        };
        self.send(from, self.term, Body::AppendReply(reply));
    }

    /// Returns the last index below `previous` at which the log may match that
    /// of a leader whose entry at `previous` differs.
    ///
    /// Skips the entries of the conflicting term. By one entry a round trip, a
    /// leader whose predecessor had many uncommitted entries would commit
    /// nothing for seconds.
    fn last_possible_match(&self, previous: u64) -> u64 {
        let last = previous.saturating_sub(1).min(self.last_index());
        let Some(conflicting) = self.term_at(previous) else { return last };
        // Committed entries match those of any leader.
        let first = self.commit_index.min(last);
        (first + 1..=last)
            .rev()
            .find(|index| self.term_at(*index) != Some(conflicting))
            .unwrap_or(first)
    }

    pub(super) fn store_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.base.0 {
            return;
        }
        match self.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_from(entry.index),
            None => {}
        }
        if entry.index == self.last_index() + 1 {
            self.push_entry(entry);
        }
    }

    pub(super) fn truncate_from(&mut self, from: u64) {
        self.entries.truncate((from - 1 - self.base.0) as usize);
        self.output.entries.retain(|entry| entry.index < from);
        self.persisted_index = self.persisted_index.min(from - 1);
        self.memberships.retain(|(index, _)| *index < from);
    }

    pub(super) fn on_snapshot(
        &mut self,
        now: u64,
        from: Identity,
        term: u64,
        request: SnapshotRequest,
    ) {
        if !self.accept_leader(now, from, term) {
            return;
        }
        let Some(snapshot) = request.snapshot else { return };
        let index = snapshot.index;
        if self.term_at(index) == Some(snapshot.term) {
            // The log already has what the snapshot covers. The entries after
            // it may be acknowledged, and the leader counts them.
            self.commit_index = self.commit_index.max(index);
        } else if index > self.commit_index {
            self.base = (index, snapshot.term);
            self.entries.clear();
            self.output.entries.clear();
            self.commit_index = index;
            self.returned_index = index;
            self.persisted_index = index;
            self.snapshot = Some(snapshot.clone());
            self.rebuild_memberships();
            self.output.new_snapshot = Some(snapshot);
        }
        let reply = AppendReply {
            success: true,
            match_index: index,
            round: request.round,
            stopping: self.stopping,
        };
        self.send(from, self.term, Body::AppendReply(reply));
    }
}
