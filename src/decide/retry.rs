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

/// How far a limit on repeats is used: the rest is for repeats that other
/// entries count a moment later, and for callers' requests that never arrive.
const WINDOW_PART: f32 = 0.8;
/// Parts of a window that slide out one after the other.
const SLICES: usize = 10;

/// What repeats are allowed in any window of time, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each first sending.
    pub ratio: f32,
    /// Repeats besides, for all entries together.
    pub slack: f32,
    /// The length of the window, in ms.
    pub window_ms: u64,
}

/// Repeats of one service at one entry, counted over a sliding window.
///
/// Each entry allows itself the ratio of its own first sendings and an equal
/// part of the slack. So the sum stays within the bound without a word
/// between the entries, also while they are cut off from each other.
#[derive(Clone, Debug)]
pub struct Window {
    bound: Bound,
    /// First sendings and repeats in each slice of the window.
    slices: [(u32, u32); SLICES],
    /// The number of the newest slice.
    newest: u64,
}

impl Window {
    /// Starts with nothing sent.
    pub fn open(bound: Bound) -> Window {
        Window { bound, slices: [(0, 0); SLICES], newest: 0 }
    }

    /// Counts a first sending.
    pub fn sent(&mut self, now: u64) {
        self.slide(now);
        self.slices[(self.newest % SLICES as u64) as usize].0 += 1;
    }

    /// Counts a repeat if there may be one, with `entries` that serve.
    pub fn repeat(&mut self, now: u64, entries: usize) -> bool {
        self.slide(now);
        let firsts: u32 = self.slices.iter().map(|slice| slice.0).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.1).sum();
        let slack = self.bound.slack / entries.max(1) as f32;
        let most = (self.bound.ratio * firsts as f32 + slack) * WINDOW_PART;
        if repeats as f32 + 1.0 > most {
            return false;
        }
        self.slices[(self.newest % SLICES as u64) as usize].1 += 1;
        true
    }

    fn slide(&mut self, now: u64) {
        let length = (self.bound.window_ms / SLICES as u64).max(1);
        let newest = now / length;
        let passed = newest.saturating_sub(self.newest).min(SLICES as u64);
        for step in 1..=passed {
            let at = (self.newest + step) % SLICES as u64;
            self.slices[at as usize] = (0, 0);
        }
        // After a long pause the slices are all empty, whatever their number.
        if passed == SLICES as u64 {
            self.slices = [(0, 0); SLICES];
        }
        self.newest = self.newest.max(newest);
    }
}
