//! How many retries there may be, and how long to wait before one.
//!
//! Retries answer small troubles and make large ones worse: when a data
//! centre is lost, every request that it had would come back at once. A
//! [`Budget`] allows retries as a share of recent successes. While it is
//! used up, a request that was accepted still goes on, but only after a wait
//! that doubles, with jitter, so that the waits of many do not coincide.

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// The shortest wait when the budget is used up, in ms.
const WAIT_MS: u64 = 100;
/// The longest wait, in ms.
const LONGEST_WAIT_MS: u64 = 3200;
/// Retries that are saved up at most.
const SAVED: f32 = 10.0;

/// Retries as a share of successes.
#[derive(Debug)]
pub struct Budget {
    share: f32,
    saved: f32,
    rng: StdRng,
}

impl Budget {
    /// Allows `percent` retries for a hundred successes, and a few at start.
    pub fn open(percent: u64, seed: u64) -> Budget {
        Budget {
            share: percent as f32 / 100.0,
            saved: SAVED,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Changes the share.
    pub fn set_percent(&mut self, percent: u64) {
        self.share = percent as f32 / 100.0;
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED);
    }

    /// How long to wait before the retry number `attempt`, from 1, in ms.
    ///
    /// 0 while the budget lasts.
    pub fn wait_ms(&mut self, attempt: u32) -> u64 {
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return 0;
        }
        let doubled = WAIT_MS << attempt.saturating_sub(1).min(10);
        let wait = doubled.min(LONGEST_WAIT_MS);
        self.rng.random_range(wait / 2..=wait)
    }
}
