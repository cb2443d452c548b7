//! How much a team may still use, when many entries admit for it at once.
//!
//! Every entry keeps a [`Meter`] for each team: a token bucket of the whole
//! quota. What this entry admits is taken out at once; what the others have
//! admitted is taken out when they tell of it, by running totals, so that a
//! lost message is made up for by the next. Between two messages all entries
//! together can admit more than the quota; the bucket then goes below zero
//! and all of them refuse until it has filled up again.
//!
//! # Behind a cut
//!
//! Entries that are not heard may go on serving. For each of them an equal
//! part of the rate is left out, so that both sides of a cut together stay
//! within the quota, and neither is stranded without any of it.

use crate::util::position;

/// For so long after the start, totals of others are taken for old, in ms: a
/// new entry can't know when they were used.
const SETTLE_MS: u64 = 1500;

/// One team's bucket.
#[derive(Clone, Debug)]
pub struct Meter {
    level: f64,
    filled_at: u64,
    opened_at: u64,
    /// Totals of other entries that have been taken out, by incarnation.
    taken: Vec<(u64, u64)>,
    /// Admitted here since the start.
    own: u64,
}

/// What a team may use now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Units each second, for all entries.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// The part of the entries that this one hears or is, from 0 to 1.
    pub heard: f64,
}

impl Meter {
    /// Starts full.
    pub fn open(now: u64, allowance: Allowance) -> Meter {
        Meter {
            level: allowance.burst,
            filled_at: now,
            opened_at: now,
            taken: Vec::new(),
            own: 0,
        }
    }

    /// Admitted here since the start, to be told to the others.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Takes the running total of another entry.
    pub fn note(&mut self, now: u64, entry: u64, total: u64) {
        match position(&self.taken, &entry, |(entry, _)| entry) {
            Ok(at) => {
                let new = total.saturating_sub(self.taken[at].1);
                self.taken[at].1 = self.taken[at].1.max(total);
                self.level -= new as f64;
            }
            Err(at) => {
                self.taken.insert(at, (entry, total));
                if now >= self.opened_at + SETTLE_MS {
                    self.level -= total as f64;
                }
            }
        }
    }

    /// Admits a request of `cost` units, or says after how many ms it may
    /// come back.
    ///
    /// A request that costs more than can be saved up is admitted once the
    /// bucket is full.
    ///
    /// # Errors
    ///
    /// The wait, in ms, until there will be enough if nobody else takes it.
    pub fn admit(
        &mut self,
        now: u64,
        allowance: Allowance,
        cost: u64,
    ) -> Result<(), u64> {
        self.fill(now, allowance);
        let need = (cost as f64).min(allowance.burst);
        if self.level < need {
            let rate = (allowance.rate * allowance.heard).max(1.0);
            let wait = (need - self.level) / rate * 1000.0;
            return Err((wait as u64).clamp(1, 60_000));
        }
        self.level -= cost as f64;
        self.own += cost;
        Ok(())
    }

    /// Gives back what a request did not use because it did not run.
    pub fn give_back(&mut self, cost: u64) {
        self.level += cost as f64;
        self.own = self.own.saturating_sub(cost);
    }

    fn fill(&mut self, now: u64, allowance: Allowance) {
        let passed = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        self.filled_at = now;
        let rate = allowance.rate * allowance.heard;
        self.level = (self.level + rate * passed).min(allowance.burst);
    }
}
