//! The log, the member lists in it, and the quorum rule.

use prost::Message;

use super::{Identity, Node, Role};
use crate::wire::{
    Change, Envelope, LogEntry, Member, Membership, change, envelope::Body,
};

impl Node {
    pub(super) fn append_entry(&mut self, term: u64, payload: Vec<u8>) -> u64 {
        let index = self.last_index() + 1;
        self.push_entry(LogEntry { index, term, payload });
        index
    }

    pub(super) fn push_entry(&mut self, entry: LogEntry) {
        if let Some(members) = decode_membership(&entry.payload) {
            self.memberships.push((entry.index, members));
        }
        self.output.entries.push(entry.clone());
        self.entries.push(entry);
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        let position = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(position as usize).map(|entry| entry.term)
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base.1, |entry| entry.term)
    }

    /// Collects the member lists in the snapshot and the log anew.
    pub(super) fn rebuild_memberships(&mut self) {
        self.memberships.clear();
        if let Some(snapshot) = &self.snapshot
            && let Some(membership) = &snapshot.membership
        {
            let members = membership.members.clone();
            self.memberships.push((snapshot.index, members));
        }
        for entry in &self.entries {
            if let Some(members) = decode_membership(&entry.payload) {
                self.memberships.push((entry.index, members));
            }
        }
    }

    pub(super) fn can_change_members(&self) -> bool {
        let Role::Leader(leader_state) = &self.role else { return false };
        let last_change =
            self.memberships.last().map_or(0, |(index, _)| *index);
        // Until an entry of its own term is committed, a leader may not know
        // of a member change that its predecessor committed. Two such
        // changes, of one voter each, can have quorums that don't overlap.
        self.commit_index >= leader_state.term_start_index
            && self.commit_index >= last_change
    }

    pub(super) fn voters(&self) -> impl Iterator<Item = Identity> + '_ {
        let voters = self.members().iter().filter(|member| member.voter);
        voters.map(Identity::from)
    }

    /// Whether `predicate` holds for a majority of the voters.
    pub(super) fn is_quorum(
        &self,
        predicate: impl Fn(Identity) -> bool,
    ) -> bool {
        let total = self.voters().count();
        let matching = self.voters().filter(|&voter| predicate(voter)).count();
        total > 0 && matching > total / 2
    }

    pub(super) fn send(&mut self, to: Identity, term: u64, body: Body) {
        self.output.messages.push(Envelope {
            from: self.me.id,
            from_incarnation: self.me.incarnation,
            to: to.id,
            to_incarnation: to.incarnation,
            term,
            body: Some(body),
        });
    }
}

pub(super) fn encode_membership(members: Vec<Member>) -> Vec<u8> {
    let kind = change::Kind::Membership(Membership { members });
    Change::new(kind).encode_to_vec()
}

fn decode_membership(payload: &[u8]) -> Option<Vec<Member>> {
    let change = Change::decode(payload).ok()?;
    match change.kind? {
        change::Kind::Membership(list) => Some(list.members),
        _ => None,
    }
}
