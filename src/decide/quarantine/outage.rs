//! Decides which crashes count against a request.
//!
//! A crash does not count if the request can't have been in flight when the
//! replica crashed. A crash in an outage does not count either: many replicas
//! crash together, and no other request that crashes replicas one after the
//! other explains it.

use super::{Crash, QUARANTINE_CRASHES, Quarantine, record::Record};

/// Replicas that crash within this time of each other crash together, in ms:
/// nodes notice such crashes one after the other.
pub(super) const OUTAGE_WINDOW_MS: u64 = 100;
/// Replicas at which the same request was in flight crash together if they
/// crash within this shorter time of each other, in ms: less than the request
/// takes to move on from a replica that it crashed to the next one.
pub(super) const SAME_REQUEST_WINDOW_MS: u64 = 20;
/// Time within which all nodes notice the crash of a replica, in ms.
pub(super) const DETECTION_SPREAD_MS: i64 = 300;
/// Minimum number of other replicas that have to crash together before a cause
/// other than the request is assumed. [`MIN_OUTAGE_FRACTION`] must be met as
/// well.
const MIN_OUTAGE_REPLICAS: usize = 3;
/// Minimum fraction of the replicas of the service that have to crash
/// together, in addition to [`MIN_OUTAGE_REPLICAS`].
const MIN_OUTAGE_FRACTION: f32 = 0.25;

impl Quarantine {
    /// Returns how many other replicas have to crash together for an outage,
    /// for a service with this many replicas.
    pub(super) fn min_outage_replicas(replicas: usize) -> usize {
        let fraction = (replicas as f32 * MIN_OUTAGE_FRACTION) as usize;
        fraction.max(MIN_OUTAGE_REPLICAS)
    }

    /// Returns whether a crash counts against the request of `record`: the
    /// request was in flight at the crash, which is not part of an outage of
    /// `outage_size` replicas.
    pub(super) fn counts_against(
        &self,
        record: &Record,
        crash: &Crash,
        outage_size: usize,
    ) -> bool {
        self.was_in_flight(crash)
            && !self.is_outage(record, crash, outage_size)
    }

    /// Returns whether the request can have been in flight when the replica
    /// crashed.
    fn was_in_flight(&self, crash: &Crash) -> bool {
        let same_replica =
            self.all_crashes().filter(|other| other.replica == crash.replica);
        let crashed_at = same_replica.map(|other| other.at).min();
        crashed_at.is_none_or(|crashed_at| {
            crash.at <= crashed_at + DETECTION_SPREAD_MS
        })
    }

    /// Returns whether at least `outage_size` other replicas crashed at the
    /// same time, so that the cause lies elsewhere. For example, a power
    /// failure in a data centre brings a request to three crashes that it did
    /// not cause.
    fn is_outage(
        &self,
        record: &Record,
        crash: &Crash,
        outage_size: usize,
    ) -> bool {
        let is_of_request = |replica| {
            record.all_crashes().any(|other: &Crash| other.replica == replica)
        };
        let mut others: Vec<u64> = self
            .all_crashes()
            .filter(|other| other.replica != crash.replica)
            .filter(|other| {
                let window_ms = match is_of_request(other.replica) {
                    true => SAME_REQUEST_WINDOW_MS,
                    false => OUTAGE_WINDOW_MS,
                };
                other.at.abs_diff(crash.at) <= window_ms
            })
            .map(|other| other.replica)
            .collect();
        others.sort_unstable();
        others.dedup();
        if others.len() < outage_size {
            return false;
        }
        // Several requests that crash replicas at the same time would
        // otherwise hide each other.
        let explained = self.crashed_by_others(record.fingerprint);
        others.retain(|replica| explained.binary_search(replica).is_err());
        others.len() >= outage_size
    }

    /// Returns the replicas, sorted, that requests other than this one have
    /// crashed: those of requests with crashes at several different times.
    fn crashed_by_others(&self, fingerprint: u64) -> Vec<u64> {
        let records = self.records.iter();
        let mut replicas: Vec<u64> = records
            .filter(|record| record.fingerprint != fingerprint)
            .filter(|record| record.count_crash_times() >= QUARANTINE_CRASHES)
            .flat_map(|record| record.all_crashes().map(|crash| crash.replica))
            .collect();
        replicas.sort_unstable();
        replicas
    }

    fn all_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.records.iter().flat_map(Record::all_crashes)
    }
}
