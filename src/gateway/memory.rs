//! Parts of prompts that any node has sent to replicas lately.
//!
//! The routers keep an index of what each replica has cached. The index is
//! built from this store, which outlives the routers: a node that starts
//! receives the parts from another node before it knows any replica, and sends
//! them on to nodes that start later. Without it, replicas would read cached
//! prompts again after each restart of a node; after a power loss of all
//! nodes, this overloaded the replicas for six seconds.

use crate::wire::Cached;

/// Time for which a part that was sent to a replica is kept, in ms: about as
/// long as it stays in the replica's cache under load.
const RETENTION_MS: u64 = 30_000;

/// Time within which a repeated report is about the same sending of a part, in
/// ms: nodes report each one for 1.3 s.
const REPORT_WINDOW_MS: u64 = 1500;

#[derive(Clone, Copy, Debug)]
struct Part {
    cached: Cached,
    recorded_at: u64,
}

impl Part {
    fn key(&self) -> (u64, u64) {
        (self.cached.replica, self.cached.path)
    }
}

/// Parts of prompts that replicas were sent lately, by replica.
#[derive(Debug, Default)]
pub struct Memory {
    /// Sorted by replica, then path.
    parts: Vec<Part>,
}

impl Memory {
    /// Records that a replica was sent a part; returns true unless this was
    /// already recorded within the report window.
    pub fn record(&mut self, now: u64, cached: Cached) -> bool {
        let part = Part { cached, recorded_at: now };
        match self.parts.binary_search_by_key(&part.key(), Part::key) {
            Ok(at) => {
                let before = std::mem::replace(&mut self.parts[at], part);
                now >= before.recorded_at + REPORT_WINDOW_MS
            }
            Err(at) => {
                self.parts.insert(at, part);
                true
            }
        }
    }

    /// Returns the parts that one replica was sent.
    pub fn parts_of(&self, replica: u64) -> impl Iterator<Item = &Cached> {
        let from =
            self.parts.partition_point(|part| part.cached.replica < replica);
        self.parts[from..]
            .iter()
            .map(|part| &part.cached)
            .take_while(move |cached| cached.replica == replica)
    }

    /// Returns all parts.
    pub fn all(&self) -> Vec<Cached> {
        self.parts.iter().map(|part| part.cached).collect()
    }

    /// Removes parts whose retention time is over.
    pub fn expire(&mut self, now: u64) {
        self.parts.retain(|part| now < part.recorded_at + RETENTION_MS);
    }
}
