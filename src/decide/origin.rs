//! Where streams began: the records that let them go on elsewhere.
//!
//! Replicas of several software versions may serve side by side, and what two
//! versions write doesn't fit together. A stream may therefore only be resumed
//! at the version that began it. A node records the service and the version of
//! each stream that may be resumed, at other nodes as well, as it may be
//! killed before the stream's caller returns.
//!
//! A replica may restart with other software before any node hears of it, so
//! a record only names the incarnation that is believed to answer. The record
//! counts once a heartbeat shows that this incarnation was still running after
//! the connection was opened.
//!
//! A record belongs to one request, and only the node that answers that
//! request writes it. If the version changes before the caller has seen an
//! event, the record with the higher sequence number replaces the earlier one.

use crate::{
    fingerprint,
    util::{common, mix, position},
};

/// Maximum number of records that a node keeps. The oldest ones are dropped
/// first.
const MAX_RECORDS: usize = 16_384;
/// Maximum time for which a record is kept, in ms.
pub const MAX_RETENTION_MS: u64 = 600_000;
/// Minimum time for which a record is kept, in ms: a caller may resume a
/// stream more than once.
const MIN_RETENTION_MS: u64 = 30_000;
/// Interval between two checks for records whose retention has passed, in ms.
const EXPIRY_INTERVAL_MS: u64 = 1000;

common! {
    /// The service and the software version at which a stream began.
    pub struct Origin {
        /// Name of the service.
        pub service: String,
        /// Software version; empty if it is not known for certain.
        pub version: String,
    }
}

common! {
    /// The record of one stream.
    pub struct Record {
        /// Identifies the stream; see [`stream_key`].
        pub stream: u64,
        /// Where it began.
        pub origin: Origin,
        /// Identifies the incarnation of the replica that was believed to
        /// answer; 0 if it is not known.
        pub replica: u32,
        /// Increases with each record that the writer makes of the stream.
        pub sequence: u32,
        /// When it was made, by this node's clock in ms.
        pub recorded_at: u64,
        /// Time for which it is kept, in ms.
        pub keep_ms: u64,
    }
}

/// Returns the key of the stream that the request `id` of a team began.
pub fn stream_key(team: &str, id: &[u8]) -> u64 {
    fingerprint::of(&[team.as_bytes(), id])
}

/// Returns the time for which the record of a stream is kept whose requests
/// take at most `timeout_ms`.
pub fn retention_ms(timeout_ms: u64) -> u64 {
    timeout_ms.saturating_mul(2).clamp(MIN_RETENTION_MS, MAX_RETENTION_MS)
}

/// Returns the position of a node in the order in which nodes keep the record
/// of a stream: the nodes with the highest values keep it. All nodes compute
/// the same values.
pub fn holder_rank(stream: u64, node: u32) -> u64 {
    mix(stream ^ mix(node.into()))
}

/// The records that one node keeps.
#[derive(Debug, Default)]
pub struct Store {
    /// Sorted by stream.
    records: Vec<Record>,
    /// When the records were last checked, in ms.
    expired_at: u64,
}

impl Store {
    /// Adds a record, unless a later one of the stream is known.
    ///
    /// Two records of one stream with the same sequence number come from two
    /// requests with the same id. If they differ, the version is unknown.
    pub fn insert(&mut self, record: Record) {
        match position(&self.records, &record.stream, |one| &one.stream) {
            Ok(at) => self.records[at].merge(record),
            Err(at) => {
                self.records.insert(at, record);
                if self.records.len() > MAX_RECORDS {
                    self.drop_oldest();
                }
            }
        }
    }

    /// Returns the record of a stream.
    pub fn get(&self, stream: u64) -> Option<&Record> {
        let at = position(&self.records, &stream, |one| &one.stream).ok()?;
        Some(&self.records[at])
    }

    /// Returns all records.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Drops the records whose retention has passed, about once a second.
    pub fn expire(&mut self, now: u64) {
        if now < self.expired_at + EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_at = now;
        self.records.retain(|one| {
            let keep_ms = one.keep_ms.min(MAX_RETENTION_MS);
            now < one.recorded_at.saturating_add(keep_ms)
        });
    }

    fn drop_oldest(&mut self) {
        let ages = self.records.iter().map(|one| one.recorded_at);
        let oldest = ages.enumerate().min_by_key(|(_, at)| *at);
        if let Some((at, _)) = oldest {
            self.records.remove(at);
        }
    }
}

impl Record {
    fn merge(&mut self, other: Record) {
        if other.sequence > self.sequence {
            *self = other;
        } else if other.sequence == self.sequence
            && other.origin != self.origin
        {
            self.origin.version.clear();
        } else if other.sequence == self.sequence
            && other.replica != self.replica
        {
            self.replica = 0;
        }
    }
}
