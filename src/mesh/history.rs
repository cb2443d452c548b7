//! The software versions that have served, and how far back a node knows them.
//!
//! A stream whose record is lost may go on at the only version that served
//! within the lifetime of a stream. A node can say so only if it heard of all
//! replicas in that time. It did not while it was cut off from nodes that
//! served, or stood still.

use super::{
    datagram::REPLICA_RETENTION_MS,
    role::Role,
    table::{NODE_RETENTION_MS, NODE_TIMEOUT_MS, Node, Table},
};
use crate::{
    decide::origin::MAX_RETENTION_MS,
    util::{common, position},
    wire::{Peer, Sighting},
};

/// Time in which nodes repeat all replicas to each other, in ms. It is twelve
/// seconds with seventy nodes.
const REPEAT_PERIOD_MS: u64 = 12_000;

common! {
    /// A software version of a service.
    struct Version {
        service: String,
        name: String,
        /// When a replica with this version was last used, in ms.
        used_at: u64,
    }
}

/// What a node knows of the versions that have served.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Sorted by service and name.
    versions: Vec<Version>,
    /// Last time at which other nodes may have used a version that they will
    /// not report, in ms.
    gap_at: u64,
    /// When other nodes have repeated all replicas since the last silence, in
    /// ms.
    repeated_at: u64,
}

impl History {
    /// Records that other nodes may have used any version until `now`.
    pub fn record_gap(&mut self, now: u64) {
        self.gap_at = now;
    }

    fn record_use(&mut self, now: u64, service: &str, name: &str) {
        let key = (service, name);
        let key_of = |one: &Version| {
            (one.service.as_str(), one.name.as_str()).cmp(&key)
        };
        match self.versions.binary_search_by(key_of) {
            Ok(at) => self.versions[at].used_at = now,
            Err(at) => {
                let (service, name) = (service.to_owned(), name.to_owned());
                let version = Version { service, name, used_at: now };
                self.versions.insert(at, version);
            }
        }
    }

    /// Returns true if no other version of a service was used since a given
    /// time.
    fn has_only(&self, service: &str, name: &str, since: u64) -> bool {
        self.gap_at <= since
            && !self.versions.iter().any(|one| {
                one.service == service
                    && one.name != name
                    && one.used_at >= since
            })
    }
}

impl Table {
    /// Returns the software version of a service's replicas if no node can
    /// have used another one within the last `history_ms`.
    pub fn only_version_within(
        &self,
        now: u64,
        service: &str,
        history_ms: u64,
    ) -> Option<&str> {
        let since = now.checked_sub(history_ms)?;
        let version = self.only_version(now, service)?;
        // A node that hears no other one may be cut off from all.
        let hears_others = self.live(now).any(Node::is_active);
        let is_known = hears_others
            && now >= self.history.repeated_at
            && self.history.has_only(service, version, since);
        is_known.then_some(version)
    }

    /// Records that a replica is known to run a version.
    pub(super) fn record_version(&mut self, now: u64, sighting: &Sighting) {
        if !sighting.service.is_empty() {
            let (service, name) = (&sighting.service, &sighting.version);
            self.history.record_use(now, service, name);
        }
    }

    /// Records a datagram from a node, before it is applied.
    ///
    /// A node that was silent and has not restarted may have used versions
    /// that this node did not hear of. It repeats the replicas that it still
    /// remembers. One that was killed remembers nothing, and what it knew was
    /// told before, up to its last moments.
    pub(super) fn record_contact(&mut self, now: u64, from: &Peer) {
        let found = position(&self.nodes, &from.ip, |node| &node.peer.ip);
        let Ok(at) = found else { return };
        let node = &self.nodes[at];
        let heard_at = node.heard_directly_at.max(node.first_seen_at);
        let silent_ms = now.saturating_sub(heard_at);
        if silent_ms < NODE_TIMEOUT_MS
            || node.peer.incarnation != from.incarnation
            || !Role::is_member(&node.peer)
            || silent_ms < self.unheard_timeout_ms(now)
        {
            return;
        }
        if silent_ms < REPLICA_RETENTION_MS {
            self.history.repeated_at = now + REPEAT_PERIOD_MS;
        } else {
            self.history.gap_at = now;
        }
    }

    /// Records the versions that are used now, and whether nodes are lost or
    /// unknown. Called before nodes and replicas are dropped.
    pub(super) fn update_history(&mut self, now: u64) {
        for replica in &self.replicas {
            let says = &replica.sighting;
            if replica.is_usable(now) && !says.service.is_empty() {
                let (service, name) = (&says.service, &says.version);
                self.history.record_use(now, service, name);
            }
        }
        let is_lost = |node: &Node| {
            node.is_active() && now >= node.heard_at + NODE_RETENTION_MS
        };
        if !self.is_member() || self.nodes.iter().any(is_lost) {
            self.history.record_gap(now);
        }
        let versions = &mut self.history.versions;
        versions.retain(|one| now <= one.used_at + MAX_RETENTION_MS);
    }
}
