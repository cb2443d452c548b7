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
//! When a flood begins nobody can know; all entries then overdraw the bucket
//! together, and refuse until it has filled up. If all admitted again from
//! that moment on, as much as comes, they would overdraw it again, and again.
//! So after a refusal each entry paces itself for a while: it admits no more
//! than the part of the rate that it has had lately. With 74 entries and ten
//! times the quota asked for, the most in any eight seconds falls from 11.1
//! to 9.1 seconds' worth, where nine are meant.
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

/// For so long after a refusal an entry paces itself, in ms: longer than the
/// bucket takes to recover from what a flood's first second overdraws it by.
const PACED_MS: u64 = 5000;
/// Over which an entry's part of a team's use is averaged, in ms: long enough
/// for some requests at each of seventy entries.
const PART_MS: f64 = 5000.0;
/// How much more than its part an entry may admit when paced: the bucket
/// itself sees to the sum, and parts move between entries.
const PACE: f64 = 1.25;
/// What may be saved up when paced, in ms of the pace.
const PACE_SAVED_MS: f64 = 300.0;

/// How an entry paces itself.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    /// Until when it does.
    until: u64,
    /// Units that may be admitted now.
    saved: f64,
    /// Admitted here since the averages were last brought up to date.
    admitted: f64,
    /// What this entry and the others use on average, in units a ms.
    own_rate: f64,
    others_rate: f64,
}

impl Pace {
    /// Brings the averages up to date after so many ms.
    fn pass(&mut self, passed_ms: f64, told: f64, allowance: Allowance) {
        let share = 1.0 - (-passed_ms / PART_MS).exp();
        let own = std::mem::take(&mut self.admitted) / passed_ms;
        self.own_rate += (own - self.own_rate) * share;
        let others = told / passed_ms;
        self.others_rate += (others - self.others_rate) * share;
        let pace = self.pace(allowance);
        let most = pace * PACE_SAVED_MS;
        self.saved = (self.saved + pace * passed_ms).min(most);
    }

    /// What this entry may admit, in units a ms.
    fn pace(&self, allowance: Allowance) -> f64 {
        let all = self.own_rate + self.others_rate;
        // One to which a team's requests have just moved has had no part yet.
        let least = 1.0 / allowance.entries.max(1) as f64;
        let part = if all > 0.0 { self.own_rate / all } else { 1.0 };
        part.max(least) * allowance.rate / 1000.0 * PACE
    }

    /// Admits a request, or says after how many ms it may.
    fn admit(
        &mut self,
        now: u64,
        allowance: Allowance,
        cost: f64,
    ) -> Result<(), u64> {
        if now < self.until {
            let pace = self.pace(allowance);
            let need = cost.min(pace * PACE_SAVED_MS);
            if self.saved < need {
                let wait = (need - self.saved) / pace;
                return Err((wait as u64).clamp(1, PACED_MS));
            }
            self.saved -= cost;
        }
        self.admitted += cost;
        Ok(())
    }
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
    pace: Pace,
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
    /// Entries that serve.
    pub entries: usize,
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
            pace: Pace::default(),
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
            self.pace.until = now + PACED_MS;
            let rate = (allowance.rate * allowance.heard).max(1.0);
            let wait = (need - self.level) / rate * 1000.0;
            return Err((wait as u64).clamp(1, 60_000));
        }
        let paced = self.pace.admit(now, allowance, cost as f64);
        if paced.is_err() {
            self.pace.until = now + PACED_MS;
        }
        paced?;
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
            let told = std::mem::take(&mut self.told);
            self.others_rate += (told / passed_ms - self.others_rate) * share;
            self.pace.pass(passed_ms, told, allowance);
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
