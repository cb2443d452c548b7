//! A name for what a request asks for, whatever id or key it comes with.
//!
//! A caller's retry has an id of its own and may come in at any node, so what
//! must be known of a request beyond one attempt can't go by its id. Two
//! requests have the same fingerprint where a replica is asked to do the same
//! for the same team: same method, host, path, query and body.
//!
//! Other headers are left out: deadlines, trace ids and the place where a
//! stream goes on differ from one attempt to the next. So is the key, as a
//! team has several and they are replaced.

use sha2::{Digest, Sha256};

/// A hash over all parts, for which nobody can make up others.
pub(crate) fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        // With its length, no part can run into the next.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// The fingerprint: the first 64 bits of it.
pub(crate) fn of(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    let first = digest.first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(first)
}

/// As it stands in the log.
pub(crate) fn shown(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
