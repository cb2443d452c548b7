//! Bounds on retries, and the wait before a retry.
//!
//! Retries help with small failures and make large ones worse: when a data
//! centre is lost, all of its requests would be retried at once. A [`Budget`]
//! allows retries as a share of recent successes. When it is used up, an
//! accepted request is still retried, but only after a wait that doubles with
//! each attempt. Jitter keeps the waits of many requests from coinciding.

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Wait before the first retry when the budget is used up, in ms, before
/// jitter.
const BASE_WAIT_MS: u64 = 100;
/// Maximum wait before a retry, in ms.
const MAX_WAIT_MS: u64 = 3200;
/// Maximum number of retries that the budget accumulates.
const MAX_SAVED_RETRIES: f32 = 10.0;

/// A budget of retries as a share of successes.
#[derive(Debug)]
pub struct Budget {
    retries_per_success: f32,
    saved_retries: f32,
    rng: StdRng,
}

impl Budget {
    /// Creates a budget that allows `percent` retries for every hundred
    /// successes, and a few retries at the start.
    pub fn open(percent: u64, seed: u64) -> Budget {
        Budget {
            retries_per_success: percent as f32 / 100.0,
            saved_retries: MAX_SAVED_RETRIES,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the number of retries for every hundred successes.
    pub fn set_percent(&mut self, percent: u64) {
        self.retries_per_success = percent as f32 / 100.0;
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.saved_retries = (self.saved_retries + self.retries_per_success)
            .min(MAX_SAVED_RETRIES);
    }

    /// Returns the wait before retry number `attempt`, counted from 1, in ms.
    ///
    /// Returns 0 while the budget lasts.
    pub fn wait_ms(&mut self, attempt: u32) -> u64 {
        if self.saved_retries >= 1.0 {
            self.saved_retries -= 1.0;
            return 0;
        }
        let doubled = BASE_WAIT_MS << attempt.saturating_sub(1).min(10);
        let wait = doubled.min(MAX_WAIT_MS);
        self.rng.random_range(wait / 2..=wait)
    }
}

/// Share of the bound on retries that entries use. The rest allows for retries
/// that other entries count a moment later, and for callers' requests that
/// never arrive.
const USED_BOUND_SHARE: f32 = 0.8;
/// Number of slices in a window. The window slides on by one slice at a time.
const SLICE_COUNT: usize = 10;

/// Bound on the retries in any window of time, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries for each first attempt.
    pub ratio: f32,
    /// Retries allowed in addition, for all entries together.
    pub slack: f32,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

/// What an entry has used of its retry budget for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Retries in the window.
    pub retries: u32,
    /// Retries that are allowed in the window.
    pub allowed: f32,
    /// First attempts in the window.
    pub first_attempts: u32,
    /// Number of entries that share the slack.
    pub entries: usize,
}

/// Reply to a request for one retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Whether the retry is allowed. It is counted then.
    pub is_granted: bool,
    /// The budget after that.
    pub usage: Usage,
}

/// Retries of one service at one entry, counted over a sliding window.
///
/// Each entry allows itself the ratio of its own first attempts and an equal
/// share of the slack. The sum therefore stays within the bound without
/// communication between the entries, also during a network partition.
#[derive(Clone, Debug)]
pub struct Window {
    bound: Bound,
    /// Number of first attempts and of retries in each slice of the window.
    slices: [(u32, u32); SLICE_COUNT],
    /// Number of the newest slice, counted from time 0.
    newest: u64,
}

impl Window {
    /// Creates a window without attempts.
    pub fn open(bound: Bound) -> Window {
        Window { bound, slices: [(0, 0); SLICE_COUNT], newest: 0 }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: u64) {
        self.slide(now);
        self.slices[(self.newest % SLICE_COUNT as u64) as usize].0 += 1;
    }

    /// Counts a retry if the bound allows one. `entries` is the number of
    /// serving entries.
    pub fn try_retry(&mut self, now: u64, entries: usize) -> Claim {
        let mut usage = self.usage(now, entries);
        let is_granted = usage.retries as f32 + 1.0 <= usage.allowed;
        if is_granted {
            usage.retries += 1;
            self.slices[(self.newest % SLICE_COUNT as u64) as usize].1 += 1;
        }
        Claim { is_granted, usage }
    }

    /// Returns what has been used of the budget.
    pub fn usage(&mut self, now: u64, entries: usize) -> Usage {
        self.slide(now);
        let first_attempts: u32 =
            self.slices.iter().map(|slice| slice.0).sum();
        let slack = self.bound.slack / entries.max(1) as f32;
        let allowed = (self.bound.ratio * first_attempts as f32 + slack)
            * USED_BOUND_SHARE;
        let retries = self.slices.iter().map(|slice| slice.1).sum();
        Usage { retries, allowed, first_attempts, entries }
    }

    fn slide(&mut self, now: u64) {
        let slice_ms = (self.bound.window_ms / SLICE_COUNT as u64).max(1);
        let newest = now / slice_ms;
        let elapsed_slices =
            newest.saturating_sub(self.newest).min(SLICE_COUNT as u64);
        for step in 1..=elapsed_slices {
            let at = (self.newest + step) % SLICE_COUNT as u64;
            self.slices[at as usize] = (0, 0);
        }
        // After a pause of a whole window or longer, all slices are empty.
        if elapsed_slices == SLICE_COUNT as u64 {
            self.slices = [(0, 0); SLICE_COUNT];
        }
        self.newest = self.newest.max(newest);
    }
}
