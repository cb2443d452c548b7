//! What one entry may admit while word of the others comes too late.

use super::Allowance;

/// For so long after a refusal an entry paces itself, in ms: longer than the
/// bucket takes to recover from what a flood's first second overdraws it by.
pub(super) const PACED_MS: u64 = 5000;
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
pub(super) struct Pace {
    /// Until when it does.
    pub until: u64,
    /// Units that may be admitted now.
    saved: f64,
    /// Admitted here since the averages were last brought up to date.
    admitted: f64,
    /// What this entry and the others use on average, in units a ms.
    own_rate: f64,
    others_rate: f64,
    /// What others use is not known yet.
    pub is_joining: bool,
}

impl Pace {
    /// For an entry that knows nothing of the others' use.
    pub fn join(allowance: Allowance) -> Pace {
        let pace = Pace { is_joining: true, ..Pace::default() };
        Pace { saved: pace.rate(allowance) * PACE_SAVED_MS, ..pace }
    }

    /// What this entry has admitted on average, in units a ms.
    pub fn own_rate(&self) -> f64 {
        self.own_rate
    }

    /// Takes what others use, in units a ms, and until when all are paced.
    pub fn learn(&mut self, others_rate: f64, until: u64) {
        self.others_rate = others_rate;
        self.until = self.until.max(until);
        self.is_joining = false;
    }

    /// Brings the averages up to date after so many ms.
    pub fn pass(&mut self, passed_ms: f64, told: f64, allowance: Allowance) {
        let share = 1.0 - (-passed_ms / PART_MS).exp();
        let own = std::mem::take(&mut self.admitted) / passed_ms;
        self.own_rate += (own - self.own_rate) * share;
        let others = told / passed_ms;
        self.others_rate += (others - self.others_rate) * share;
        let pace = self.rate(allowance);
        let most = pace * PACE_SAVED_MS;
        self.saved = (self.saved + pace * passed_ms).min(most);
    }

    /// What this entry may admit, in units a ms.
    pub fn rate(&self, allowance: Allowance) -> f64 {
        let all = self.own_rate + self.others_rate;
        // One to which a team's requests have just moved has had no part yet.
        let least = 1.0 / allowance.entries.max(1) as f64;
        let part = match self.is_joining {
            true => 0.0,
            false if all > 0.0 => self.own_rate / all,
            false => 1.0,
        };
        part.max(least) * allowance.rate / 1000.0 * PACE
    }

    /// Checks a request that is `large` from 0 to 1, or says after how many
    /// ms it may come back.
    pub fn check(
        &self,
        now: u64,
        allowance: Allowance,
        cost: f64,
        large: f64,
    ) -> Result<(), u64> {
        if now >= self.until && !self.is_joining {
            return Ok(());
        }
        let pace = self.rate(allowance);
        let need = cost.min(pace * PACE_SAVED_MS) * large;
        if self.saved >= need {
            return Ok(());
        }
        let wait = (need - self.saved) / pace;
        Err((wait as u64).clamp(1, PACED_MS))
    }

    /// Notes what was admitted.
    pub fn take(&mut self, now: u64, cost: f64) {
        if now < self.until || self.is_joining {
            self.saved -= cost;
        }
        self.admitted += cost;
    }
}
