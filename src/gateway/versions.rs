//! The versions that may have written a part of a stream, on one node.
//!
//! [`History`](crate::decide::versions::History) is the fact itself. This
//! module fills it from the replicas, and tells when it is complete and which
//! versions a kill of all nodes can't lose.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

use tracing::{info, warn};

use super::{Gateway, fleet::Target};
use crate::{
    decide::versions::{
        History, Seen, read_majority, version_key, write_majority,
    },
    mesh::table::{State, Table},
    wire::SeenVersion,
};

/// Time since the start after which a node has heard of all versions that may
/// have written a part of a stream, in ms, if it could read no history.
const MIN_HISTORY_MS: u64 = 30_000;
/// Time for which streams that may be resumed wait for a new version to be
/// stored, in ms. A disk may hang for longer; the version is used then.
const MAX_STORE_WAIT_MS: u64 = 2000;

/// The history, and since when each version waits to be stored.
#[derive(Debug, Default)]
pub(super) struct Versions(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    history: History,
    /// Versions that a majority of the disks may not have, by key, with the
    /// time at which this node first heard of them.
    unstored: BTreeMap<u64, u64>,
    /// Largest number of nodes with a disk that is known.
    disks: usize,
    /// True if no process has served before this one.
    is_first: bool,
    is_known: bool,
}

impl Versions {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(|held| held.into_inner())
    }
}

impl Gateway {
    /// Records that no process has served before this one.
    pub fn start_history(&self) {
        self.versions.lock().is_first = true;
    }

    /// Records the versions of all replicas in use.
    pub(super) fn record_versions(&self, now: u64, table: &Table) {
        let mut inner = self.versions.lock();
        let mut last = ("", "");
        for replica in table.replicas() {
            let says = &replica.sighting;
            let names = (says.service.as_str(), says.version.as_str());
            let is_used = replica.state != State::Departed;
            if !is_used || names.1.is_empty() || names == last {
                continue;
            }
            last = names;
            let is_new = inner.history.record(Seen {
                service: says.service.clone(),
                version: says.version.clone(),
                last_at: now as i64,
            });
            if is_new {
                let key = version_key(names.0, names.1);
                inner.unstored.insert(key, now);
                // The version is stored at once, before the next interval.
                self.suspects_changed.notify_one();
                info!(
                    target: "gateway",
                    service = names.0, version = names.1,
                    "First replica of a software version."
                );
            }
        }
        inner.history.expire(now);
        let (disks, _) = table.version_copies(now, 0);
        inner.disks = inner.disks.max(disks);
        let is_stored = |key: u64| {
            let (disks, copies) = table.version_copies(now, key);
            copies >= write_majority(disks)
        };
        inner.unstored.retain(|key, since| {
            let is_late = now >= *since + MAX_STORE_WAIT_MS;
            if is_late && !is_stored(*key) {
                self.metrics.unstored_versions.inc();
                warn!(
                    target: "gateway",
                    disks, after_ms = now - *since,
                    "Software version used without a majority of the disks."
                );
            }
            !is_late && !is_stored(*key)
        });
    }

    /// Returns true if streams that may be resumed can begin at a version: a
    /// kill of all nodes would not lose that it served.
    pub(super) fn is_version_stored(
        &self,
        service: &str,
        target: &Target,
    ) -> bool {
        let inner = self.versions.lock();
        let key = version_key(service, &target.version);
        target.version.is_empty() || !inner.unstored.contains_key(&key)
    }

    /// Returns the other versions of a service at which streams can begin.
    pub(super) fn stored_versions(&self, service: &str) -> Vec<String> {
        let inner = self.versions.lock();
        let known = inner.history.seen().iter();
        let known = known.filter(|known| known.service == service);
        known
            .map(|known| known.version.clone())
            .filter(|version| {
                !inner.unstored.contains_key(&version_key(service, version))
            })
            .collect()
    }

    /// Returns true while a version of a service waits to be stored.
    pub(super) fn is_storing_version(&self, service: &str) -> bool {
        let inner = self.versions.lock();
        !inner.unstored.is_empty()
            && inner.history.seen().iter().any(|known| {
                let key = version_key(service, &known.version);
                known.service == service && inner.unstored.contains_key(&key)
            })
    }

    /// Returns true if this node knows all versions that may have written a
    /// part of a stream.
    pub fn knows_versions(&self) -> bool {
        let is_first = self.versions.lock().is_first;
        is_first || self.knows_former_versions()
    }

    /// The same, but false on a node of a deployment that has just begun:
    /// there, a stream that no node knows has never begun.
    fn knows_former_versions(&self) -> bool {
        let now = self.timer.now();
        let mut inner = self.versions.lock();
        let sources = inner.history.sources().len();
        let needed = read_majority(inner.disks);
        let is_known = sources >= needed;
        if is_known && !inner.is_known {
            inner.is_known = true;
            info!(
                target: "gateway",
                sources, disks = inner.disks,
                versions = inner.history.seen().len(),
                "Software versions that served before are known."
            );
        }
        is_known || now >= MIN_HISTORY_MS
    }

    /// Returns the version at which a stream of a service began that no node
    /// knows, if it can only be one.
    pub(super) fn former_version(
        &self,
        service: &str,
        lifetime_ms: u64,
    ) -> Option<String> {
        let is_known = self.knows_former_versions();
        is_known.then(|| self.only_version(service, lifetime_ms)).flatten()
    }

    /// Returns the version of a service if no other one may have written
    /// anything within `lifetime_ms`.
    pub(super) fn only_version(
        &self,
        service: &str,
        lifetime_ms: u64,
    ) -> Option<String> {
        if !self.knows_versions() {
            return None;
        }
        let now = self.timer.now();
        let only = {
            let table = self.mesh.get()?.table();
            table.only_version(now, service)?.to_owned()
        };
        let inner = self.versions.lock();
        let version = inner.history.only(now, service, lifetime_ms)?;
        (version == only).then_some(only)
    }

    /// Returns the versions for the disk or for other nodes, and the number of
    /// nodes with a disk.
    pub fn version_history(&self) -> (Vec<SeenVersion>, Vec<u32>, u32) {
        let now = self.timer.now() as i64;
        let knows_versions = self.knows_versions();
        let own = self.mesh.get().map(|mesh| mesh.table().own_peer().ip);
        let inner = self.versions.lock();
        let seen = inner.history.seen().iter().map(|known| SeenVersion {
            service: known.service.clone(),
            version: known.version.clone(),
            age_ms: (now - known.last_at).max(0) as u64,
        });
        let mut sources = inner.history.sources().to_vec();
        sources.extend(own.filter(|_| knows_versions));
        (seen.collect(), sources, inner.disks as u32)
    }

    /// Adds the versions that other processes have seen.
    ///
    /// Ages don't grow while all nodes are down, as clocks may step: a version
    /// then counts for longer than it has to.
    pub fn receive_versions(
        &self,
        versions: &[SeenVersion],
        sources: &[u32],
        disks: u32,
    ) {
        let now = self.timer.now() as i64;
        let mut inner = self.versions.lock();
        for says in versions {
            inner.history.record(Seen {
                service: says.service.clone(),
                version: says.version.clone(),
                last_at: now.saturating_sub_unsigned(says.age_ms),
            });
        }
        for node in sources {
            inner.history.add_source(*node);
        }
        inner.disks = inner.disks.max(disks as usize);
    }

    /// Records that this node's disk has these versions, and reports it.
    pub fn record_stored_versions(&self, versions: &[SeenVersion]) {
        let Some(mesh) = self.mesh.get() else { return };
        let mut keys: Vec<u64> = versions
            .iter()
            .map(|one| version_key(&one.service, &one.version))
            .collect();
        keys.sort_unstable();
        let has_changed = mesh.table().set_stored_versions(&keys);
        if has_changed {
            mesh.request_urgent_round();
            self.refresh();
        }
    }
}
