//! The software versions that have served, and how far back a node knows them.
//!
//! A stream whose record is lost may go on at the only version that served
//! within the lifetime of a stream.

use super::table::Table;
use crate::{decide::origin::MAX_RETENTION_MS, util::common, wire::Sighting};

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
}

impl History {
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
        !self.versions.iter().any(|one| {
            one.service == service && one.name != name && one.used_at >= since
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
        self.history.has_only(service, version, since).then_some(version)
    }

    /// Records that a replica is known to run a version.
    pub(super) fn record_version(&mut self, now: u64, sighting: &Sighting) {
        if !sighting.service.is_empty() {
            let (service, name) = (&sighting.service, &sighting.version);
            self.history.record_use(now, service, name);
        }
    }

    /// Records the versions that are used now. Called before replicas are
    /// dropped.
    pub(super) fn update_history(&mut self, now: u64) {
        for replica in &self.replicas {
            let says = &replica.sighting;
            if replica.is_usable(now) && !says.service.is_empty() {
                let (service, name) = (&says.service, &says.version);
                self.history.record_use(now, service, name);
            }
        }
        let versions = &mut self.history.versions;
        versions.retain(|one| now <= one.used_at + MAX_RETENTION_MS);
    }
}
