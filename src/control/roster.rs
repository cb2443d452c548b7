//! The leader's state outside the log: live entries, endpoint leases, loads.
//!
//! This state changes with every heartbeat, too often to be replicated. Each
//! leader builds a new [`Roster`] from the syncs of the entries. A new leader
//! is [settling](Roster::is_settling) until every entry has had time to sync.
//! The log records only that an endpoint joined, left or lost its lease.

use crate::{
    util::{common, position, upsert},
    wire::{Depart, Endpoint, EntryInfo, Load, SyncRequest},
};

/// Time without a sync after which an entry stops serving, in ms.
///
/// Entries enforce it themselves; see `entry::lease`.
pub const ENTRY_LEASE_MS: u64 = 2000;
/// Time that the leader waits beyond [`ENTRY_LEASE_MS`], in ms, so that it
/// does not remove an entry that still serves.
const ENTRY_GRACE_MS: u64 = 500;
/// Time without a heartbeat at any entry after which an endpoint's lease
/// expires, in ms.
pub const ENDPOINT_LEASE_MS: u64 = 3000;
/// Time that a new leader gives the entries to sync, in ms.
const SETTLING_MS: u64 = 2500;

common! {
    struct EntrySession {
        info: EntryInfo,
        heard_at: u64,
    }
}

common! {
    struct Renewal {
        endpoint: String,
        incarnation: u64,
        heard_at: u64,
        load: Load,
    }
}

/// Entries, endpoint leases and loads, as known to one leader.
#[derive(Debug)]
pub struct Roster {
    elected_at: u64,
    entries: Vec<EntrySession>,
    version: u64,
    renewals: Vec<Renewal>,
}

impl Roster {
    /// Creates an empty roster for a leader elected at `now`.
    ///
    /// `seed` keeps the versions of different leaders distinct.
    pub fn open(now: u64, seed: u64) -> Roster {
        Roster {
            elected_at: now,
            entries: Vec::new(),
            version: seed << 20 | 1,
            renewals: Vec::new(),
        }
    }

    /// Returns true while entries may exist that have not yet synced with this
    /// leader.
    pub fn is_settling(&self, now: u64) -> bool {
        now < self.elected_at + SETTLING_MS
    }

    /// Returns a number that changes whenever the list of entries changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a sync of an entry.
    pub fn record_sync(&mut self, now: u64, request: &SyncRequest) {
        for load in &request.renewed {
            let renewal = Renewal {
                endpoint: load.endpoint.clone(),
                incarnation: load.incarnation,
                heard_at: now,
                load: load.clone(),
            };
            upsert(&mut self.renewals, renewal, |renewal| {
                renewal.endpoint.as_str()
            });
        }
        let Some(info) = &request.entry else { return };
        let session = EntrySession { info: info.clone(), heard_at: now };
        let old = upsert(&mut self.entries, session, |session| {
            session.info.id.as_str()
        });
        let same = old.is_some_and(|old| {
            // A change of only the revision in force is not a change of the
            // entry list.
            EntryInfo { in_force: info.in_force, ..old.info } == *info
        });
        if !same {
            self.version += 1;
        }
    }

    /// Removes entries whose lease and grace period have expired.
    pub fn expire(&mut self, now: u64) {
        let before = self.entries.len();
        self.entries.retain(|session| {
            now < session.heard_at + ENTRY_LEASE_MS + ENTRY_GRACE_MS
        });
        if self.entries.len() != before {
            self.version += 1;
        }
    }

    /// Returns the entries, sorted by id.
    pub fn entries(&self) -> Vec<EntryInfo> {
        self.entries.iter().map(|session| session.info.clone()).collect()
    }

    /// Returns the newest load reported for each endpoint, with its age at
    /// `now`.
    pub fn loads(&self, now: u64) -> Vec<Load> {
        let aged = self.renewals.iter().map(|renewal| {
            let held_ms = now.saturating_sub(renewal.heard_at) as u32;
            let mut load = renewal.load.clone();
            load.age_ms = load.age_ms.saturating_add(held_ms);
            load
        });
        aged.collect()
    }

    /// Returns the departures of those endpoints in `live` whose lease has
    /// expired.
    pub fn expired_endpoints<'a>(
        &self,
        now: u64,
        live: impl Iterator<Item = &'a Endpoint>,
    ) -> Vec<Depart> {
        // This leader does not know the leases of the former leader. Each
        // endpoint gets a full lease from the election on; otherwise a change
        // of leader would expire all endpoints.
        live.filter(|endpoint| {
            let at =
                position(&self.renewals, endpoint.id.as_str(), |renewal| {
                    renewal.endpoint.as_str()
                });
            let heard_at = match at {
                Ok(at)
                    if self.renewals[at].incarnation
                        == endpoint.incarnation =>
                {
                    self.renewals[at].heard_at
                }
                _ => self.elected_at,
            };
            now >= heard_at.max(self.elected_at) + ENDPOINT_LEASE_MS
        })
        .map(|endpoint| Depart {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            leaving: false,
            within_ms: 0,
        })
        .collect()
    }

    /// Renews the lease of an endpoint that has just announced itself.
    pub fn renew_lease(&mut self, now: u64, endpoint: &Endpoint) {
        let load = Load {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            ..Load::default()
        };
        let renewal = Renewal {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            heard_at: now,
            load,
        };
        upsert(&mut self.renewals, renewal, |renewal| {
            renewal.endpoint.as_str()
        });
    }

    /// Removes the leases of the endpoints for which `keep` returns false.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&str, u64) -> bool) {
        self.renewals
            .retain(|renewal| keep(&renewal.endpoint, renewal.incarnation));
    }
}
