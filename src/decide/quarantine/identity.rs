//! What crashes and successes of a request are recorded for.

use std::{iter, sync::Arc};

use super::Subject;

/// Identifies a request when a replica crashes under it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Fingerprint of what is requested.
    pub fingerprint: u64,
    /// Sorted ids of the parts of the prompt that other prompts may share.
    pub parts: Arc<[u64]>,
}

impl Identity {
    /// Creates the identity of a request from its fingerprint and the ids of
    /// the parts of its prompt that other prompts may share.
    pub fn new(fingerprint: u64, mut parts: Vec<u64>) -> Identity {
        parts.sort_unstable();
        parts.dedup();
        Identity { fingerprint, parts: parts.into() }
    }

    /// Returns what crashes and successes are recorded for.
    pub fn subjects(&self) -> impl Iterator<Item = (Subject, u64)> {
        let parts = self.parts.iter().map(|part| (Subject::Part, *part));
        iter::once((Subject::Request, self.fingerprint)).chain(parts)
    }
}
