//! Requests that have ended well lately, in bounded memory.
//!
//! Two generations stand beside each other. The young one becomes the old one
//! when it is full or has lasted long enough, and what was old is forgotten: so
//! nothing is looked for by age, and no request costs more than a binary search.

use super::Success;
use crate::util::position;

/// Requests of one generation.
const MOST: usize = 4096;
/// How long a generation is young, in ms: longer than it takes to be certain
/// that a replica has ended.
const YOUNG_MS: i64 = 10_000;

/// Requests that have ended well, with the last time.
#[derive(Debug, Default)]
pub struct Sound {
    /// Sorted by fingerprint.
    young: Vec<(u64, i64)>,
    old: Vec<(u64, i64)>,
    /// When the young generation began.
    since: Option<i64>,
}

impl Sound {
    /// Notes a success.
    pub fn note(&mut self, success: Success) {
        let since = *self.since.get_or_insert(success.at);
        let is_full = self.young.len() >= MOST;
        if is_full || success.at >= since + YOUNG_MS {
            self.age(success.at);
        }
        let Success { fingerprint, at } = success;
        match position(&self.young, &fingerprint, |(one, _)| one) {
            Ok(found) => {
                let last = &mut self.young[found].1;
                *last = at.max(*last);
            }
            Err(found) => self.young.insert(found, (fingerprint, at)),
        }
    }

    /// When a request last ended well, if that is remembered.
    pub fn last(&self, fingerprint: u64) -> Option<i64> {
        let find = |of: &Vec<(u64, i64)>| {
            let found = position(of, &fingerprint, |(one, _)| one).ok()?;
            Some(of[found].1)
        };
        find(&self.young).max(find(&self.old))
    }

    /// Forgets what is long past.
    pub fn expire(&mut self, now: i64) {
        if self.since.is_some_and(|since| now >= since + YOUNG_MS) {
            self.age(now);
        }
    }

    /// Requests that are remembered; one in both generations counts twice.
    pub fn count(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Makes the young generation the old one, unless that is past as well.
    fn age(&mut self, now: i64) {
        let is_past = self.since.is_none_or(|at| now >= at + 2 * YOUNG_MS);
        self.old = std::mem::take(&mut self.young);
        if is_past {
            self.old.clear();
        }
        self.since = Some(now);
    }
}
