//! How much a team may still use, when many entries admit for it at once.
//!
//! Every entry keeps a [`Meter`] for each team: a token bucket of the whole
//! quota. What this entry admits is taken out at once; what the others have
//! admitted is taken out when they tell of it, by running totals, so that a
//! lost message is made up for by the next. Between two messages all entries
//! together can admit more than the quota; the bucket then goes below zero
//! and all of them refuse until it has filled up again.
//!
//! What the others admit just now is not known yet. It is taken to be what
//! they admitted a moment ago, for as long as their word takes to arrive; so
//! much of the bucket is not given away. Without that, a flood at seventy
//! entries overdraws it by a second's worth in all.
//!
//! # Behind a cut
//!
//! Entries that are not heard may go on serving. For each of them an equal
//! part of the rate is left out, so that both sides of a cut together stay
//! within the quota, and neither is stranded without any of it. What was left
//! out is not taken again when the cut heals and the others tell what they
//! have admitted meanwhile: that would refuse everything for as long as the
//! cut was.

use crate::util::position;

/// For so long after the start, totals of others are taken for old, in ms: a
/// new entry can't know when they were used.
const SETTLE_MS: u64 = 1500;

/// For so long after a cut has healed, what was left out still stands for
/// what those behind it tell, in ms: the first datagram from each.
const HEAL_MS: u64 = 1500;

/// What another entry has told.
#[derive(Clone, Debug)]
struct Other {
    /// Its incarnation.
    entry: u64,
    /// Its running total that has been taken out.
    taken: u64,
    /// It has not been heard for a while.
    silent: bool,
}

/// One team's bucket.
#[derive(Clone, Debug)]
pub struct Meter {
    level: f64,
    filled_at: u64,
    opened_at: u64,
    /// What other entries have told, sorted by entry.
    others: Vec<Other>,
    /// Admitted here since the start.
    own: u64,
    /// Left out for entries that were not heard, and until when it stands for
    /// what they tell.
    left_out: f64,
    left_out_until: u64,
    /// What the others have told since the bucket was last filled, and what
    /// they use on average, in units a ms.
    told: f64,
    others_rate: f64,
}

/// Over which the others' use is averaged, in ms: two rounds of all others,
/// where there are many.
const RATE_MS: f64 = 3000.0;

/// What a team may use now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Units each second, for all entries.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
    /// The part of the entries that this one hears or is, from 0 to 1.
    pub heard: f64,
    /// How long it takes on average until another entry's use is known, in
    /// ms.
    pub lag_ms: f64,
}

impl Meter {
    /// Starts full.
    pub fn open(now: u64, allowance: Allowance) -> Meter {
        Meter {
            level: allowance.burst,
            filled_at: now,
            opened_at: now,
            others: Vec::new(),
            own: 0,
            left_out: 0.0,
            left_out_until: 0,
            told: 0.0,
            others_rate: 0.0,
        }
    }

    /// Admitted here since the start, to be told to the others.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Takes the running total of another entry, and whether it is heard at
    /// the moment.
    pub fn note(&mut self, now: u64, entry: u64, total: u64, heard: bool) {
        let found = position(&self.others, &entry, |one| &one.entry);
        let Ok(at) = found else {
            let at = found.unwrap_or_else(|at| at);
            let other = Other { entry, taken: total, silent: !heard };
            self.others.insert(at, other);
            if now >= self.opened_at + SETTLE_MS {
                self.level -= total as f64;
            }
            return;
        };
        let other = &mut self.others[at];
        if !heard {
            other.silent = true;
            return;
        }
        let units = total.saturating_sub(other.taken) as f64;
        other.taken = other.taken.max(total);
        let known = match std::mem::take(&mut other.silent) {
            true if now < self.left_out_until => units.min(self.left_out),
            _ => 0.0,
        };
        self.left_out -= known;
        self.level -= units - known;
        self.told += units - known;
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
        let unseen = self.others_rate * allowance.lag_ms;
        let need = (cost as f64 + unseen).min(allowance.burst);
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
        if passed > 0.0 {
            let passed_ms = passed * 1000.0;
            let share = 1.0 - (-passed_ms / RATE_MS).exp();
            let rate = std::mem::take(&mut self.told) / passed_ms;
            self.others_rate += (rate - self.others_rate) * share;
        }
        if now >= self.left_out_until {
            self.left_out = 0.0;
        }
        if allowance.heard < 1.0 {
            let missing = allowance.rate * (1.0 - allowance.heard);
            self.left_out += missing * passed;
            self.left_out_until = now + HEAL_MS;
        }
        let rate = allowance.rate * allowance.heard;
        self.level = (self.level + rate * passed).min(allowance.burst);
    }
}
