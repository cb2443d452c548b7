//! Bounds on retries, and the wait before a retry.
//!
//! Retries help with small failures and make large ones worse: when a data
//! centre is lost, all of its requests would be retried at once. A [`Budget`]
//! allows retries as a share of recent successes. When it is used up, an
//! accepted request is still retried, but only after a wait that doubles with
//! each attempt. Jitter keeps the waits of many requests from coinciding.
//!
//! # A bound over all entries
//!
//! A [`Bound`] limits the retries at one service in any window of time, summed
//! over all entries. Each entry keeps a [`Window`] of its own, and the sum
//! holds without communication between them, also while entries restart, are
//! partitioned, or have different numbers of requests.
//!
//! For every window, an entry keeps its retries within the following, where
//! `before` are its first attempts in the window before, and `during` those in
//! the window itself:
//!
//! ```text
//! share of the slack
//!     + ratio * (BURST_SHARE * before + (1 - BURST_SHARE) * during)
//! ```
//!
//! The first two terms may be used at any moment; the last one grows with the
//! entry's requests. The weights are the same for all entries, so their
//! retries add up to at most the larger of the bounds by all requests of the
//! two windows.
//!
//! A process that starts does not know what the one before has used. In its
//! first window it assumes that the first two terms have just been used, and
//! keeps within the last one. So the two processes together use no more than
//! one would have, however often an entry restarts.
//!
//! Where there are many entries, each has a part of one retry. The shares of
//! the slack, and what a process earns in its first window, are rounded to
//! whole retries at random, so that their sums hold on average; everything
//! else is rounded down.
//!
//! The slack is divided by the number of entries. An entry with an outdated,
//! smaller number would take too large a share, so the highest number of the
//! last minute counts ([`Peak`]).
//!
//! Alternatives rejected:
//!
//! - Counting what was used in the last window only: a process that starts
//!   may then use the whole allowance once more.
//! - A share of the bound in reserve: restarts of all entries within a window
//!   need a reserve of the whole.
//! - Saving the count: most entries have no disk, and a process that is killed
//!   does not save its last retries.

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

/// Weight of the first attempts of the window before. A larger weight covers
/// more requests that fail together; a smaller one leaves more to a process
/// that has just started.
const BURST_SHARE: f32 = 0.2;
/// Number of slices in a window. Attempts are counted by slice.
const SLICES_PER_WINDOW: i64 = 100;
/// Number of slices for which retries count beyond their window, as they take
/// a moment to arrive at a replica.
const LATE_SLICES: i64 = 2;
/// Number of slices that are kept: those that count, those of the window
/// before, and the one that has just begun.
const KEPT_SLICES: usize = (2 * SLICES_PER_WINDOW + LATE_SLICES + 1) as usize;
/// Time for which the highest number of entries counts, in ms: as long as
/// silent entries are assumed to serve behind a network partition.
const PEAK_RETENTION_MS: u64 = 60_000;
/// Number of periods of that time. The highest number is kept for each.
const PEAK_PERIODS: usize = 6;

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

/// What an entry has used of its retry budget for one service, in the span of
/// time that allows the fewest further retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Retries in the span.
    pub retries: u32,
    /// Retries that are allowed in the span.
    pub allowed: f32,
    /// First attempts in the span.
    pub first_attempts: u32,
    /// Length of the span until now, in ms.
    pub span_ms: u64,
    /// Number of entries that share the slack, if it is known.
    pub entries: Option<usize>,
}

impl Usage {
    /// Returns the number of further retries that are allowed.
    fn left(&self) -> f32 {
        self.allowed - self.retries as f32
    }
}

/// Reply to a request for one retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Whether the retry is allowed. It is counted then.
    pub is_granted: bool,
    /// The budget after that.
    pub usage: Usage,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    first_attempts: u32,
    retries: u32,
}

/// Retries of one service at one entry.
#[derive(Clone, Debug)]
pub struct Window {
    bound: Bound,
    /// When this process began to count, if another one may have counted
    /// before.
    began: Option<u64>,
    /// Part of a retry that is added before an allowance is rounded down.
    rounding: f32,
    /// By slice number.
    slices: [Slice; KEPT_SLICES],
    /// Number of the newest slice, counted from time 0.
    newest: i64,
}

impl Window {
    /// Creates a window without attempts.
    ///
    /// `began` is set to the present time if another process may have counted
    /// at this entry until now. `rounding`, from 0 to 1, should be drawn at
    /// random: many entries with a part of a retry each then use what they
    /// have together.
    pub fn open(bound: Bound, began: Option<u64>, rounding: f32) -> Window {
        let slices = [Slice::default(); KEPT_SLICES];
        let mut window = Window { bound, began, rounding, slices, newest: 0 };
        window.slide(began.unwrap_or(0));
        window
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: u64) {
        self.slide(now);
        self.slice_mut(self.newest).first_attempts += 1;
    }

    /// Counts a retry if the bound allows one. `entries` is the number of
    /// entries that share the slack; the entry has no share if it is unknown.
    pub fn try_retry(&mut self, now: u64, entries: Option<usize>) -> Claim {
        let mut usage = self.usage(now, entries);
        let is_granted = usage.left() >= 1.0;
        if is_granted {
            usage.retries += 1;
            self.slice_mut(self.newest).retries += 1;
        }
        Claim { is_granted, usage }
    }

    /// Takes back a retry that was counted at `at` and has not arrived at a
    /// replica.
    pub fn return_retry(&mut self, at: u64) {
        let number = self.slice_of(at);
        if number > self.newest - KEPT_SLICES as i64 {
            let slice = self.slice_mut(number);
            slice.retries = slice.retries.saturating_sub(1);
        }
    }

    /// Returns what has been used of the budget.
    pub fn usage(&mut self, now: u64, entries: Option<usize>) -> Usage {
        self.slide(now);
        let share = entries
            .map_or(0.0, |entries| self.bound.slack / entries.max(1) as f32);
        let share = (share + self.rounding).floor();
        let oldest = self.newest - SLICES_PER_WINDOW - LATE_SLICES;
        let began = self.began.map(|began| self.slice_of(began));
        let oldest = oldest.max(began.unwrap_or(oldest));
        let mut retries = 0;
        let mut during = 0;
        let mut before: u32 = (self.newest + 1 - SLICES_PER_WINDOW
            ..self.newest)
            .map(|number| self.slice(number).first_attempts)
            .sum();
        let mut tightest: Option<Usage> = None;
        for first in (oldest..=self.newest).rev() {
            let slice = self.slice(first);
            retries += slice.retries;
            // A span may begin at any moment of its first slice. All retries
            // of that slice count, and no first attempts.
            let allowed = match began == Some(first) {
                true => {
                    self.earned(during + slice.first_attempts) + self.rounding
                }
                false => share + self.saved(before) + self.earned(during),
            };
            if first > self.newest - SLICES_PER_WINDOW {
                during += slice.first_attempts;
            }
            let usage = Usage {
                retries,
                allowed,
                first_attempts: during,
                span_ms: (now as i64 - first * self.slice_ms()) as u64,
                entries,
            };
            if tightest.is_none_or(|found| usage.left() < found.left()) {
                tightest = Some(usage);
            }
            before += self.slice(first - SLICES_PER_WINDOW).first_attempts;
            before -= self.slice(first - 1).first_attempts;
        }
        tightest.expect("the newest slice begins a span")
    }

    /// Returns the retries that first attempts of the window before allow.
    fn saved(&self, first_attempts: u32) -> f32 {
        self.bound.ratio * BURST_SHARE * first_attempts as f32
    }

    /// Returns the retries that first attempts of the same window allow.
    fn earned(&self, first_attempts: u32) -> f32 {
        self.bound.ratio * (1.0 - BURST_SHARE) * first_attempts as f32
    }

    fn slice_ms(&self) -> i64 {
        (self.bound.window_ms as i64 / SLICES_PER_WINDOW).max(1)
    }

    fn slice_of(&self, time: u64) -> i64 {
        time as i64 / self.slice_ms()
    }

    /// Returns a slice that is kept.
    fn slice(&self, number: i64) -> Slice {
        self.slices[number.rem_euclid(KEPT_SLICES as i64) as usize]
    }

    fn slice_mut(&mut self, number: i64) -> &mut Slice {
        &mut self.slices[number.rem_euclid(KEPT_SLICES as i64) as usize]
    }

    /// Clears the slices that begin until now.
    fn slide(&mut self, now: u64) {
        let newest = self.slice_of(now);
        let cleared = (newest - self.newest).min(KEPT_SLICES as i64);
        for number in newest - cleared.max(0) + 1..=newest {
            *self.slice_mut(number) = Slice::default();
        }
        self.newest = self.newest.max(newest);
    }
}

/// Highest number of entries in the last minute.
#[derive(Clone, Debug, Default)]
pub struct Peak {
    /// Number and highest count of each period, by period number.
    periods: [(u64, usize); PEAK_PERIODS + 1],
}

impl Peak {
    /// Records the present number of entries.
    pub fn record(&mut self, now: u64, entries: usize) {
        let number = period_of(now);
        let at = (number % self.periods.len() as u64) as usize;
        let (period, highest) = &mut self.periods[at];
        if *period != number {
            (*period, *highest) = (number, 0);
        }
        *highest = entries.max(*highest);
    }

    /// Returns the highest number of the last minute, 0 if there is none.
    pub fn highest(&self, now: u64) -> usize {
        let newest = period_of(now);
        let recent = self
            .periods
            .iter()
            .filter(|(number, _)| number + PEAK_PERIODS as u64 >= newest);
        recent.map(|(_, highest)| *highest).max().unwrap_or(0)
    }
}

fn period_of(now: u64) -> u64 {
    now / (PEAK_RETENTION_MS / PEAK_PERIODS as u64)
}
