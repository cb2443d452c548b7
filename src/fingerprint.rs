//! Fingerprints: hashes that identify equal requests across retries.
//!
//! A caller's retry has its own id and may reach any node, so ids can't link
//! the attempts of one request. Two requests have the same fingerprint if they
//! have the same method, host, path, query, team and body.
//!
//! Headers are not part of the fingerprint: deadlines, trace ids and the event
//! after which a stream resumes differ between attempts. API keys are not
//! either, because a team has several and rotates them.

use sha2::{Digest, Sha256};

/// Returns a collision-resistant hash of all parts.
pub(crate) fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        // The length keeps parts apart: "ab", "c" differs from "a", "bc".
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// Returns the fingerprint: the first 64 bits of the digest.
pub(crate) fn of(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    let first = digest.first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(first)
}

/// Formats a fingerprint for the log.
pub(crate) fn shown(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
