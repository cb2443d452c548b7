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
//! # Large requests and small ones
//!
//! A bucket that admits whatever its level covers favours small requests:
//! under a flood they keep the level low, and long prompts are hardly ever
//! covered. At two to six times the quota one central bucket refuses 84 in
//! 100 of the longest prompts, 61 of the others and 15 of the short tags that
//! are worth least for their tokens. So requests are admitted while there is
//! any level at all, and may start a debt; all but the smallest and the most
//! urgent are then refused alike, 59 to 60 in 100 of each. The smallest ones
//! hardly count, and the most urgent are mostly short questions: they are
//! admitted further into the debt, within `USABLE` of the tolerance by which
//! use may exceed the quota. Ten entries so refuse 38 in 100 of what the
//! requests are worth, where one bucket that knows everything refuses 39.
//!
//! # Word that comes too late
//!
//! When a flood begins nobody can know; all entries then overdraw the bucket
//! together, and refuse until it has filled up. If all admitted again from
//! that moment on, as much as comes, they would overdraw it again, and again.
//! Among ten entries that stays within the tolerance. Where it would not,
//! each entry paces itself for a while after a refusal: it admits no more
//! than the part of the rate that it has had lately. With 74 entries and ten
//! times the quota asked for, the most in any eight seconds falls from 11.1
//! to 9.1 seconds' worth, where nine are meant. Among ten it would only cost
//! the team: a request finds no room in one entry's part while the others
//! have some left.
//!
//! # Behind a cut
//!
//! Entries that are not heard may go on serving. For each of them an equal
//! part of the rate is left out, so that both sides of a cut together stay
//! within the quota, and neither is stranded without any of it. What was left
//! out is not taken again when the cut heals and the others tell what they
//! have admitted meanwhile: that would refuse everything for as long as the
//! cut was.
//!
//! # Entries that start
//!
//! An entry that starts knows nothing of what has been used. Were its bucket
//! full, each of those that start together would give out the quota anew. So it
//! [joins](Meter::join) with an empty bucket and asks an entry that knows for
//! the [`Level`] of its own. It takes the others to go on as it is told, until
//! each has had time to tell what it uses itself. As long as nobody has told
//! it anything it keeps to its part of the rate, which is all that there is to
//! go by when all have started together.

mod pace;

use self::pace::{PACED_MS, Pace};
use crate::util::{common, position};

/// For so long after the start, totals of others are taken for old, in ms: a
/// new entry can't know when they were used.
const SETTLE_MS: u64 = 1500;
/// The same in times that word takes on average, where that is longer: all
/// others have had their turn after two, and one datagram may be lost.
const SETTLE_LAGS: f64 = 2.6;

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
    /// What it tells next was used before this entry was told of it.
    is_stale: bool,
}

/// The part of the tolerance that a team may use. The rest is for what the
/// others admit within one round of word: with a tenth and a hundred and forty
/// thousand tokens, ten entries come to 0.94 of what is allowed at six times
/// the quota.
const USABLE: f64 = 0.8;
/// How late word is within one round on average, in ms.
const ROUND_MS: f64 = 150.0;
/// What all entries admit too much while word is late, in quotas: a flood of
/// six times the quota, from a standstill.
const FLOOD: f64 = 5.0;
/// Entries pace themselves where word that is late could exceed the tolerance
/// at a flood of so many times the quota; they can't tell how large it is.
const PACED_FLOOD: f64 = 8.0;
/// A request of so many times the average counts as large: from there on all
/// are refused alike, whatever their size. Higher, short requests take what
/// long prompts lack.
const LARGE: f64 = 0.15;
/// What the size of the most urgent requests counts for.
const URGENT: f64 = 0.1;
/// The weight of one more request in the average size.
const SIZE_SHARE: f64 = 0.03;

/// One team's bucket.
#[derive(Clone, Debug)]
pub struct Meter {
    level: f64,
    filled_at: u64,
    opened_at: u64,
    /// How late word is on average, as of the last request.
    lag_ms: f64,
    /// It does not know yet what was used before it was opened.
    is_joining: bool,
    /// What others used when it learned of them, in units a ms; they are taken
    /// to go on with that until it has been told by all.
    known_rate: Option<f64>,
    /// What other entries have told, sorted by entry.
    others: Vec<Other>,
    /// Admitted here since the start.
    own: u64,
    /// Left out for entries that were not heard, and until when it stands for
    /// what they tell.
    left_out: f64,
    left_out_until: u64,
    /// What the quota gave while this entry stood still, and until when it
    /// stands for what the others tell.
    stood: f64,
    stood_until: u64,
    /// Units each second, as of the last request.
    rate: f64,
    /// What the others have told since the bucket was last filled, and what
    /// they use on average, in units a ms.
    told: f64,
    others_rate: f64,
    /// Units of a request on average, as asked for.
    size: f64,
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
    /// Units by which use may exceed the quota.
    pub tolerance: f64,
}

impl Allowance {
    /// What word that is late lets all entries admit too much at a flood of
    /// so many times the quota.
    fn unknown(&self, flood: f64) -> f64 {
        let late_ms = (self.lag_ms - ROUND_MS).max(0.0);
        self.rate * late_ms / 1000.0 * flood
    }

    /// The debt that a team may start.
    fn debt(&self) -> f64 {
        let usable = self.tolerance * USABLE;
        (usable - self.unknown(FLOOD)).max(0.0)
    }

    /// True where each entry keeps to its part after a refusal.
    fn is_paced(&self) -> bool {
        self.tolerance * USABLE < self.unknown(PACED_FLOOD)
    }
}

/// By how much use may exceed a quota, as it is counted over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// As a part of what the quota allows in a window.
    pub part: f64,
    /// Units besides.
    pub units: f64,
    /// The length of the window, in ms.
    pub window_ms: f64,
}

impl Tolerance {
    /// In units, for a quota of so many units each second and so many that
    /// may be saved up.
    pub fn units(&self, rate: f64, burst: f64) -> f64 {
        let allowed = rate * self.window_ms / 1000.0 + burst;
        allowed * self.part + self.units
    }
}

common! {
    copy
    /// What an entry knows of a team's bucket.
    pub struct Level {
        /// Units in it; less than none is a debt.
        pub units: i64,
        /// Units each second that it and others have used lately.
        pub used: u64,
        /// Entries keep to their parts.
        pub is_paced: bool,
    }
}

common! {
    copy
    /// Why a request is not admitted, with what that was decided by.
    pub struct Shortage {
        /// When it may come back, in ms, if nobody else takes what it needs.
        pub wait_ms: u64,
        /// Units in the bucket; less than none is a debt.
        pub level: i64,
        /// Units that there would have to be.
        pub need: i64,
        /// Of these, what others are taken to have admitted since their last
        /// word.
        pub unseen: i64,
        /// The bucket has enough, but this entry has had its part.
        pub paced: bool,
    }
}

impl Meter {
    /// Starts full.
    pub fn open(now: u64, allowance: Allowance) -> Meter {
        Meter {
            level: allowance.burst,
            filled_at: now,
            opened_at: now,
            lag_ms: allowance.lag_ms,
            is_joining: false,
            known_rate: None,
            others: Vec::new(),
            own: 0,
            left_out: 0.0,
            left_out_until: 0,
            stood: 0.0,
            stood_until: 0,
            rate: allowance.rate,
            told: 0.0,
            others_rate: 0.0,
            size: 0.0,
            pace: Pace::default(),
        }
    }

    /// Starts empty, at an entry that does not know what was used.
    ///
    /// Until it [learns](Meter::learn) that, or has been told of all others'
    /// use for as long as it takes to matter, it admits its part of the rate.
    pub fn join(now: u64, allowance: Allowance) -> Meter {
        Meter {
            level: 0.0,
            is_joining: true,
            pace: Pace::join(allowance),
            ..Meter::open(now, allowance)
        }
    }

    /// What this entry knows of the bucket, if it does.
    pub fn level(&mut self, now: u64, allowance: Allowance) -> Option<Level> {
        self.fill(now, allowance);
        let knows = now >= self.settled_at() || self.known_rate.is_some();
        let unseen = self.others_rate * allowance.lag_ms;
        knows.then_some(Level {
            units: self.level as i64,
            used: ((self.others_rate + self.pace.own_rate()) * 1000.0) as u64,
            is_paced: now < self.pace.until || self.level < unseen,
        })
    }

    /// Takes what another entry knows, unless this one does by now.
    pub fn learn(&mut self, now: u64, known: Level) {
        if now >= self.settled_at() {
            return;
        }
        let units = known.units as f64 - self.own as f64;
        self.level = match std::mem::take(&mut self.is_joining) {
            true => units,
            false => self.level.min(units),
        };
        // What is refused shows that all of the quota is used, whatever has
        // been heard of that yet.
        let least = if known.is_paced { self.rate } else { 0.0 };
        self.others_rate = least.max(known.used as f64) / 1000.0;
        self.known_rate = Some(self.others_rate);
        let until = if known.is_paced { now + PACED_MS } else { 0 };
        self.pace.learn(self.others_rate, until);
    }

    /// True while it admits its part only, for want of knowledge.
    pub fn is_joining(&self) -> bool {
        self.is_joining
    }

    fn settled_at(&self) -> u64 {
        let lags_ms = (self.lag_ms * SETTLE_LAGS) as u64;
        self.opened_at + SETTLE_MS.max(lags_ms)
    }

    /// Admitted here since the start, to be told to the others.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Takes the next total of each entry for old.
    ///
    /// An entry that stood by has not been told what the others have used.
    /// Taken out of its bucket at once, the totals of minutes would leave a
    /// debt in which it refuses everything for as long.
    pub fn settle(&mut self, now: u64) {
        self.opened_at = now;
        for other in &mut self.others {
            other.is_stale = true;
        }
    }

    /// Takes the running total of another entry, and whether it is heard at
    /// the moment.
    pub fn note(&mut self, now: u64, entry: u64, total: u64, heard: bool) {
        let settled_at = self.settled_at();
        let found = position(&self.others, &entry, |one| &one.entry);
        let Ok(at) = found else {
            let at = found.unwrap_or_else(|at| at);
            let other =
                Other { entry, taken: total, silent: !heard, is_stale: false };
            self.others.insert(at, other);
            if now >= settled_at {
                self.level -= total as f64;
            }
            return;
        };
        let other = &mut self.others[at];
        if !heard {
            other.silent = true;
            return;
        }
        if std::mem::take(&mut other.is_stale) {
            other.taken = other.taken.max(total);
            return;
        }
        let units = total.saturating_sub(other.taken) as f64;
        other.taken = other.taken.max(total);
        if self.known_rate.is_some() && now < settled_at {
            return;
        }
        let known = match std::mem::take(&mut other.silent) {
            true if now < self.left_out_until => units.min(self.left_out),
            _ => 0.0,
        };
        self.left_out -= known;
        let units = units - known;
        let stood = if now < self.stood_until { self.stood } else { 0.0 };
        let meanwhile = units.min(stood);
        self.stood = stood - meanwhile;
        let units = units - meanwhile;
        self.level -= units;
        self.told += units;
    }

    /// This entry has stood still for so long, as on a VM that is frozen.
    ///
    /// What the others have admitted meanwhile comes in all at once. Taken out
    /// of a bucket that was cut off at its brim, it would leave seconds of
    /// debt, and this entry would refuse nearly everything while the others
    /// admit. Filled up to the brim before they are heard, this entry alone
    /// would admit a burst that the others have used. So what the quota gave
    /// meanwhile is set against what they tell; what is left of it after that
    /// is filled in.
    pub fn stood_still(&mut self, now: u64, for_ms: u64) {
        self.filled_at = now;
        self.stood = self.rate * for_ms as f64 / 1000.0;
        self.stood_until = now + HEAL_MS;
    }

    /// Admits a request of `cost` units, or says when it may come back.
    ///
    /// A request that costs more than can be saved up is admitted once the
    /// bucket is full.
    ///
    /// # Errors
    ///
    /// What is missing, and when it will be there.
    pub fn admit(
        &mut self,
        now: u64,
        allowance: Allowance,
        cost: u64,
        urgent: bool,
    ) -> Result<(), Shortage> {
        self.fill(now, allowance);
        let units = cost as f64;
        let weight = if urgent { URGENT } else { 1.0 };
        let large = (self.largeness(units) * weight).min(1.0);
        // Into debt by as much as the request is small, and by no request
        // further than the debt may be.
        let debt = allowance.debt();
        let floor = (-debt * (1.0 - large)).max(units - debt);
        let unseen = self.others_rate * allowance.lag_ms;
        let need = (floor + unseen).min(allowance.burst);
        let shortage = |wait_ms: u64, paced| Shortage {
            wait_ms,
            level: self.level as i64,
            need: need as i64,
            unseen: unseen as i64,
            paced,
        };
        if self.level < need {
            let rate = (allowance.rate * allowance.heard).max(1.0);
            let wait = (need - self.level) / rate * 1000.0;
            let short = shortage((wait as u64).clamp(1, 60_000), false);
            self.pace.until = now + PACED_MS;
            return Err(short);
        }
        if (allowance.is_paced() || self.is_joining)
            && let Err(wait) = self.pace.check(now, allowance, units, large)
        {
            let short = shortage(wait, true);
            self.pace.until = now + PACED_MS;
            return Err(short);
        }
        self.pace.take(now, units);
        self.level -= units;
        self.own += cost;
        Ok(())
    }

    /// How large a request is among this team's; at 1 it is large.
    fn largeness(&mut self, units: f64) -> f64 {
        if self.size == 0.0 {
            self.size = units;
        }
        self.size += (units - self.size) * SIZE_SHARE;
        units / (self.size * LARGE).max(1.0)
    }

    /// Gives back what a request did not use because it did not run.
    pub fn give_back(&mut self, cost: u64) {
        self.level += cost as f64;
        self.own = self.own.saturating_sub(cost);
    }

    fn fill(&mut self, now: u64, allowance: Allowance) {
        self.rate = allowance.rate;
        self.lag_ms = allowance.lag_ms;
        if now >= self.settled_at() {
            self.is_joining = false;
            self.known_rate = None;
        }
        self.pace.is_joining = self.is_joining;
        let passed = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        self.filled_at = now;
        if passed > 0.0 {
            let passed_ms = passed * 1000.0;
            let share = 1.0 - (-passed_ms / RATE_MS).exp();
            let told = std::mem::take(&mut self.told);
            let told = match self.known_rate {
                Some(rate) => rate * passed_ms,
                None => told,
            };
            if self.known_rate.is_some() {
                self.level -= told;
            }
            self.others_rate += (told / passed_ms - self.others_rate) * share;
            self.pace.pass(passed_ms, told, allowance);
        }
        if now >= self.left_out_until {
            self.left_out = 0.0;
        }
        if now >= self.stood_until {
            self.level += std::mem::take(&mut self.stood);
        }
        if allowance.heard < 1.0 {
            let missing = allowance.rate * (1.0 - allowance.heard);
            self.left_out += missing * passed;
            self.left_out_until = now + HEAL_MS;
        }
        let rate = match self.is_joining {
            true => self.pace.rate(allowance) * 1000.0,
            false => allowance.rate * allowance.heard,
        };
        self.level = (self.level + rate * passed).min(allowance.burst);
    }
}
