//! What the leader knows without the log: who is there right now.
//!
//! Entries and endpoint leases come and go with every heartbeat, too often to
//! be written down. A [`Roster`] is built anew by each leader from what the
//! entries send; a new leader is [settling](Roster::settling) until all have
//! had the time to. Only what has consequences is put through the log: that
//! an endpoint joined, left, or lost its lease.

use crate::{
    util::{common, position, upsert},
    wire::{Depart, Endpoint, EntryInfo, Load, SyncRequest},
};

/// An entry that has not synced for this long serves nobody, in ms.
///
/// Entries stop by themselves after this time; see `entry::lease`.
pub const ENTRY_LEASE_MS: u64 = 2000;
/// A margin for the leader, which must not forget an entry too early.
const ENTRY_GRACE_MS: u64 = 500;
/// An endpoint that no entry heard from for this long is gone, in ms.
pub const ENDPOINT_LEASE_MS: u64 = 3000;
/// For this long a new leader waits for the entries to report, in ms.
const SETTLE_MS: u64 = 2500;

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

/// Entries, endpoint leases and loads, as one leader sees them.
#[derive(Debug)]
pub struct Roster {
    since: u64,
    entries: Vec<EntrySession>,
    version: u64,
    renewals: Vec<Renewal>,
}

impl Roster {
    /// Starts empty, for a leader elected at `now`.
    ///
    /// `seed` sets apart the versions of one leader from another's.
    pub fn open(now: u64, seed: u64) -> Roster {
        Roster {
            since: now,
            entries: Vec::new(),
            version: seed << 20 | 1,
            renewals: Vec::new(),
        }
    }

    /// True while entries may exist that this leader has not heard yet.
    pub fn settling(&self, now: u64) -> bool {
        now < self.since + SETTLE_MS
    }

    /// Changes whenever the list of entries does.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Notes what an entry sent.
    pub fn sync(&mut self, now: u64, request: &SyncRequest) {
        for load in &request.renewed {
            let renewal = Renewal {
                endpoint: load.endpoint.clone(),
                incarnation: load.incarnation,
                heard_at: now,
                load: load.clone(),
            };
            upsert(&mut self.renewals, renewal, |one| one.endpoint.as_str());
        }
        let Some(info) = &request.entry else { return };
        let session = EntrySession { info: info.clone(), heard_at: now };
        let old =
            upsert(&mut self.entries, session, |one| one.info.id.as_str());
        let same = old.is_some_and(|old| {
            // The revision in force does not change who is there.
            EntryInfo { in_force: info.in_force, ..old.info } == *info
        });
        if !same {
            self.version += 1;
        }
    }

    /// Forgets entries that have been silent for too long.
    pub fn expire(&mut self, now: u64) {
        let before = self.entries.len();
        self.entries.retain(|session| {
            now < session.heard_at + ENTRY_LEASE_MS + ENTRY_GRACE_MS
        });
        if self.entries.len() != before {
            self.version += 1;
        }
    }

    /// The entries, sorted by id.
    pub fn entries(&self) -> Vec<EntryInfo> {
        self.entries.iter().map(|session| session.info.clone()).collect()
    }

    /// The newest load that was reported for each endpoint.
    pub fn loads(&self, now: u64) -> Vec<Load> {
        let aged = self.renewals.iter().map(|renewal| {
            let held = now.saturating_sub(renewal.heard_at) as u32;
            let mut load = renewal.load.clone();
            load.age_ms = load.age_ms.saturating_add(held);
            load
        });
        aged.collect()
    }

    /// The endpoints among `live` whose lease has run out.
    pub fn lapsed<'a>(
        &self,
        now: u64,
        live: impl Iterator<Item = &'a Endpoint>,
    ) -> Vec<Depart> {
        // Leases that a former leader granted are not known here: each gets
        // the full time again, else a change of leader would drop them all.
        live.filter(|endpoint| {
            let at =
                position(&self.renewals, endpoint.id.as_str(), |renewal| {
                    renewal.endpoint.as_str()
                });
            let heard = match at {
                Ok(at)
                    if self.renewals[at].incarnation
                        == endpoint.incarnation =>
                {
                    self.renewals[at].heard_at
                }
                _ => self.since,
            };
            now >= heard.max(self.since) + ENDPOINT_LEASE_MS
        })
        .map(|endpoint| Depart {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            leaving: false,
            within_ms: 0,
        })
        .collect()
    }

    /// Notes that an endpoint has just announced itself.
    pub fn renew(&mut self, now: u64, endpoint: &Endpoint) {
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
        upsert(&mut self.renewals, renewal, |one| one.endpoint.as_str());
    }

    /// Drops what is known of endpoints that are gone.
    pub fn retain_endpoints(&mut self, keep: impl Fn(&str, u64) -> bool) {
        self.renewals
            .retain(|renewal| keep(&renewal.endpoint, renewal.incarnation));
    }
}
