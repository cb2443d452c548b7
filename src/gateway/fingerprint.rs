//! A name for what a request asks for, whatever id it comes with.
//!
//! A caller's retry has an id of its own and may come in at any node, so what
//! must be known of a request beyond one attempt can't go by its id. Two
//! requests have the same fingerprint where a replica is asked to do the same
//! for the same team: same method, host, path, query and body.
//!
//! Other headers are left out: deadlines, trace ids and the place where a
//! stream goes on differ from one attempt to the next. So is the key, as a
//! team has several and they are replaced.

use http::Method;
use sha2::{Digest, Sha256};

/// What is asked for, and by whom.
pub(super) struct Content<'a> {
    pub method: &'a Method,
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Empty where the route asks for no key.
    pub team: &'a str,
    pub body: &'a [u8],
}

/// The fingerprint: 64 bits of a hash for which nobody can make up a second
/// request with the same one.
pub(super) fn of(content: &Content<'_>) -> u64 {
    let mut hash = Sha256::new();
    let method = content.method.as_str();
    for text in [method, content.host, content.path, content.team] {
        // With its length, no text can run into the next.
        hash.update((text.len() as u64).to_le_bytes());
        hash.update(text);
    }
    hash.update(content.body);
    let digest = hash.finalize();
    let first = digest.first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(first)
}

/// As it stands in the log.
pub(super) fn shown(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
