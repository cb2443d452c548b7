//! Which software versions of a service may have written a part of a stream.
//!
//! After a kill of all nodes no record says where a stream began. If only one
//! version may have written anything within the lifetime of a stream, the
//! stream began there. Nodes with a disk keep this history, and a version
//! counts as usable for streams that may be resumed only once a majority of
//! them has stored it: a kill right after its first heartbeat loses nothing.
//!
//! A node that starts reads the history from its disk or from other nodes. It
//! decides only when the disks that it has read overlap each majority that may
//! have stored a version.

use crate::util::{common, name_hash};

/// Maximum number of versions that are kept. The oldest ones are dropped
/// first, and no version counts as the only one then.
const MAX_VERSIONS: usize = 64;
/// Maximum time for which a version is kept after it was last seen, in ms: the
/// longest retention of a stream's record.
const MAX_RETENTION_MS: u64 = 600_000;

common! {
    /// A version of a service's replicas.
    pub struct Seen {
        /// Name of the service.
        pub service: String,
        /// Software version.
        pub version: String,
        /// When a replica of this version was last used, in ms. Negative if
        /// that was before this node started.
        pub last_at: i64,
    }
}

/// Returns the hash of a service's version, for other nodes.
pub fn version_key(service: &str, version: &str) -> u64 {
    name_hash(&format!("{service}\n{version}"))
}

/// The versions that have served lately.
#[derive(Debug, Default)]
pub struct History {
    seen: Vec<Seen>,
    /// Nodes whose disks this history includes.
    sources: Vec<u32>,
    has_overflowed: bool,
}

impl History {
    /// Records that a version was in use. Returns true if it is new.
    pub fn record(&mut self, seen: Seen) -> bool {
        let known = self.seen.iter_mut().find(|known| {
            known.service == seen.service && known.version == seen.version
        });
        if let Some(known) = known {
            known.last_at = known.last_at.max(seen.last_at);
            return false;
        }
        self.seen.push(seen);
        if self.seen.len() > MAX_VERSIONS {
            self.has_overflowed = true;
            self.seen.sort_by_key(|known| known.last_at);
            self.seen.remove(0);
        }
        true
    }

    /// Drops the versions that can't have written a part of any stream.
    pub fn expire(&mut self, now: u64) {
        let since = now as i64 - MAX_RETENTION_MS as i64;
        self.seen.retain(|known| known.last_at >= since);
    }

    /// Returns all versions.
    pub fn seen(&self) -> &[Seen] {
        &self.seen
    }

    /// Returns the version of a service if only one may have written anything
    /// within the last `lifetime_ms`.
    pub fn only(
        &self,
        now: u64,
        service: &str,
        lifetime_ms: u64,
    ) -> Option<&str> {
        let since = now as i64 - lifetime_ms as i64;
        let mut found = self.seen.iter().filter(|known| {
            known.service == service && known.last_at >= since
        });
        match (found.next(), found.next()) {
            (Some(only), None) if !self.has_overflowed => Some(&only.version),
            _ => None,
        }
    }

    /// Records that this history includes that of a node's disk.
    pub fn add_source(&mut self, node: u32) {
        if let Err(at) = self.sources.binary_search(&node) {
            self.sources.insert(at, node);
        }
    }

    /// Returns the nodes whose disks this history includes.
    pub fn sources(&self) -> &[u32] {
        &self.sources
    }
}

/// Returns the number of disks that have to store a version, of `disks`.
pub fn write_majority(disks: usize) -> usize {
    match disks {
        0 => 0,
        _ => disks / 2 + 1,
    }
}

/// Returns the number of disks that a node has to read, of `disks`, so that
/// one of them has stored each version that a majority has.
pub fn read_majority(disks: usize) -> usize {
    disks.div_ceil(2).max(1)
}
