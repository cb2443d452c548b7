//! What replicas have been sent lately, by whichever node.
//!
//! The routers keep an index of what each replica has cached. This is where
//! that comes from, and it outlives them: a node that starts is told of
//! caches by another one before it has heard of the replicas, and passes its
//! own memory on to the next. Without it every restart of a node would begin
//! with reading prompts again that are cached somewhere; after a loss of
//! power to all nodes, the replicas were overloaded for six seconds by it.

use crate::wire::Cached;

/// For so long a part is remembered that was sent to a replica, in ms: about
/// what a replica's cache holds under load.
const REMEMBER_MS: u64 = 30_000;

/// What is told again within this time is the same sending, in ms: each is
/// told for 1.3 s.
const REPEAT_MS: u64 = 1500;

#[derive(Clone, Copy, Debug)]
struct Part {
    cached: Cached,
    noted_at: u64,
}

impl Part {
    fn key(&self) -> (u64, u64) {
        (self.cached.replica, self.cached.path)
    }
}

/// Parts of prompts, by replica.
#[derive(Debug, Default)]
pub struct Memory {
    /// Sorted by replica, then path.
    parts: Vec<Part>,
}

impl Memory {
    /// Notes that a replica was sent a part; true when that was not told a
    /// moment ago already.
    pub fn note(&mut self, now: u64, cached: Cached) -> bool {
        let part = Part { cached, noted_at: now };
        match self.parts.binary_search_by_key(&part.key(), Part::key) {
            Ok(at) => {
                let before = std::mem::replace(&mut self.parts[at], part);
                now >= before.noted_at + REPEAT_MS
            }
            Err(at) => {
                self.parts.insert(at, part);
                true
            }
        }
    }

    /// What one replica was sent.
    pub fn of(&self, replica: u64) -> impl Iterator<Item = &Cached> {
        let from =
            self.parts.partition_point(|part| part.cached.replica < replica);
        self.parts[from..]
            .iter()
            .map(|part| &part.cached)
            .take_while(move |cached| cached.replica == replica)
    }

    /// All that is remembered.
    pub fn all(&self) -> Vec<Cached> {
        self.parts.iter().map(|part| part.cached).collect()
    }

    /// Drops what is past its time.
    pub fn expire(&mut self, now: u64) {
        self.parts.retain(|part| now < part.noted_at + REMEMBER_MS);
    }
}
