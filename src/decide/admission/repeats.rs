//! Recognises requests that were refused before.

use crate::util::position;

/// Maximum number of refusals that are remembered: as many as a node gives in
/// the time that callers are told to wait, at a hundred refusals a second.
const MAX_REFUSALS: usize = 512;
/// Time after the announced return for which a refusal is remembered, in ms.
/// A caller that returns later counts as a new one.
const RETENTION_MS: u64 = 3000;
/// Time by which a caller may return early, in ms: the rounding of the header
/// and the jitter of the caller's timer.
const EARLY_TOLERANCE_MS: u64 = 20;

/// Whether a request was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It was not refused before.
    First,
    /// It returns after the time that was announced.
    Due,
    /// It returns before that time, which is this many ms away.
    Early(u64),
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    caller: u64,
    until: u64,
}

/// Refusals of one service that callers may return from.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    /// Sorted by caller.
    refused: Vec<Refused>,
}

impl Repeats {
    /// Returns whether `caller`, a hash of the team and of what is requested,
    /// was refused before.
    pub fn attempt(&self, now: u64, caller: u64) -> Attempt {
        match position(&self.refused, &caller, |refused| &refused.caller) {
            Err(_) => Attempt::First,
            Ok(at) => match self.refused[at].until {
                until if now + EARLY_TOLERANCE_MS < until => {
                    Attempt::Early(until - now)
                }
                until if now < until + RETENTION_MS => Attempt::Due,
                _ => Attempt::First,
            },
        }
    }

    /// Records that a caller was told to return at `until`.
    pub fn record(&mut self, now: u64, caller: u64, until: u64) {
        match position(&self.refused, &caller, |refused| &refused.caller) {
            Ok(at) => self.refused[at].until = until,
            Err(at) => self.refused.insert(at, Refused { caller, until }),
        }
        if self.refused.len() <= MAX_REFUSALS {
            return;
        }
        self.refused.retain(|refused| now < refused.until + RETENTION_MS);
        if self.refused.len() > MAX_REFUSALS {
            let oldest = self.refused.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, refused)| refused.until);
            if let Some((at, _)) = oldest {
                self.refused.remove(at);
            }
        }
    }

    /// Forgets a caller that was admitted.
    pub fn forget(&mut self, caller: u64) {
        let found = position(&self.refused, &caller, |known| &known.caller);
        if let Ok(at) = found {
            self.refused.remove(at);
        }
    }
}
