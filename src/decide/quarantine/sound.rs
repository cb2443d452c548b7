//! Recent successes, in bounded memory.
//!
//! Successes are kept in two generations. When the young generation is full or
//! old enough, it becomes the old one, and the previous old generation is
//! dropped. So nothing is searched by age, and a request costs no more than a
//! binary search.

use super::Success;
use crate::util::position;

/// Maximum number of requests in one generation.
const MAX_GENERATION_REQUESTS: usize = 4096;
/// Time after which a generation is no longer young, in ms: longer than it
/// takes to confirm a crash.
const GENERATION_MS: i64 = 10_000;

/// Requests that succeeded recently, with the time of the last success.
#[derive(Debug, Default)]
pub struct Successes {
    /// Fingerprints and times in ms, sorted by fingerprint.
    young: Vec<(u64, i64)>,
    old: Vec<(u64, i64)>,
    /// Time at which the young generation began, in ms.
    young_since: Option<i64>,
}

impl Successes {
    /// Records a success.
    pub fn insert(&mut self, success: Success) {
        let since = *self.young_since.get_or_insert(success.at);
        let is_full = self.young.len() >= MAX_GENERATION_REQUESTS;
        if is_full || success.at >= since + GENERATION_MS {
            self.rotate(success.at);
        }
        let Success { fingerprint, at } = success;
        match position(&self.young, &fingerprint, |(key, _)| key) {
            Ok(index) => {
                let last_at = &mut self.young[index].1;
                *last_at = at.max(*last_at);
            }
            Err(index) => self.young.insert(index, (fingerprint, at)),
        }
    }

    /// Returns the time of the last success of a request, in ms, if it is
    /// remembered.
    pub fn last_at(&self, fingerprint: u64) -> Option<i64> {
        let find = |generation: &Vec<(u64, i64)>| {
            let index =
                position(generation, &fingerprint, |(key, _)| key).ok()?;
            Some(generation[index].1)
        };
        find(&self.young).max(find(&self.old))
    }

    /// Ages the generations if the young one is old enough.
    pub fn expire(&mut self, now: i64) {
        if self.young_since.is_some_and(|since| now >= since + GENERATION_MS) {
            self.rotate(now);
        }
    }

    /// Returns the number of remembered successes. A request in both
    /// generations counts twice.
    pub fn count(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Turns the young generation into the old one, or drops it if it is too
    /// old for that as well.
    fn rotate(&mut self, now: i64) {
        let is_outdated =
            self.young_since.is_none_or(|at| now >= at + 2 * GENERATION_MS);
        self.old = std::mem::take(&mut self.young);
        if is_outdated {
            self.old.clear();
        }
        self.young_since = Some(now);
    }
}
