//! Roll-outs: moves the traffic of a service to another software version.
//!
//! An operator orders a roll-out. Until the new version is judged good, all
//! nodes together send it a small share of the service's requests. Then the
//! share rises in steps to all requests, and the roll-out is completed once no
//! request is in flight at another version. A version that is judged bad, or
//! that can't be judged in time, is reverted.
//!
//! | module | does |
//! |---|---|
//! | [`exposure`] | keeps a node's part of the share |
//! | [`evidence`] | counts answers, failures and times by version |
//! | [`judge`] | judges a version by these counts |
//!
//! None of these modules reads a clock or sends anything. The load that they
//! answer is one sample for each attempt, and one judgement of the sums of all
//! nodes a few times a second.

pub mod evidence;
pub mod exposure;
pub mod judge;

use self::judge::Verdict;
use crate::util::common;

/// Shares of the steps after the first one, whose share is
/// [`Bounds::share`].
const STEP_SHARES: [f64; 3] = [0.25, 0.5, 1.0];
/// The last step: the other versions get no request.
pub const LAST_STEP: u32 = STEP_SHARES.len() as u32;
/// Part of the duration before which the share is not raised. Some versions
/// turn bad only after a while, and what a bad version gets before its verdict
/// grows with the share.
const MIN_TRIAL: f64 = 0.4;
/// Part of the duration that a step lasts.
const STEP_DURATION: f64 = 0.05;
/// Shortest duration of a step, in ms: evidence of a step takes about half of
/// it to arrive from all nodes.
const MIN_STEP_MS: u64 = 800;
/// Time before the deadline at which a roll-out is decided, in ms: a commit in
/// the log takes some tenths of a second where a majority is stable.
const DECISION_MARGIN_MS: u64 = 1500;
/// Longest time after the deadline for which a version that was judged good
/// waits for requests at the old one, in ms: the longest lifetime of a stream.
const MAX_STREAM_MS: u64 = 15_000;

/// Bounds on what a version gets before it is judged good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Largest share of the service's requests between the order and its
    /// deadline, over all nodes.
    pub share: f64,
    /// Requests that it may get in addition, over all nodes.
    pub slack: f64,
    /// Time from the 50th bad answer after which it gets no request, in ms.
    pub rollback_ms: u64,
}

impl Bounds {
    /// Returns the share of the new version in a step.
    pub fn share_of(&self, step: u32) -> f64 {
        match step.checked_sub(1) {
            None => self.share,
            Some(at) => {
                let at = (at as usize).min(STEP_SHARES.len() - 1);
                STEP_SHARES[at].max(self.share)
            }
        }
    }

    /// Returns the time without news of the state after which a node sends
    /// nothing to the new version, in ms. It leaves time for requests that
    /// are on their way.
    pub fn hold_ms(&self) -> u64 {
        self.rollback_ms * 3 / 5
    }
}

common! {
    /// What a leader knows of a roll-out that runs.
    pub struct Progress {
        /// Time since the order, in ms.
        pub elapsed_ms: u64,
        /// Time from the order to its deadline, in ms.
        pub duration_ms: u64,
        /// The present step, and for how long it has been known, in ms.
        pub step: u32,
        /// For how long the step has been known, in ms.
        pub step_ms: u64,
        /// The judgement.
        pub verdict: Verdict,
        /// Whether the new version's replicas have room for all requests.
        pub has_room: bool,
        /// Whether no node has a request at another version, or sends one.
        pub is_moved: bool,
    }
}

common! {
    /// What a leader does next.
    pub enum Action {
        /// Raises the share.
        Step(u32),
        /// Ends the roll-out: the new version has all requests.
        Complete,
        /// Ends the roll-out, for this reason.
        Revert(String),
    }
}

/// Returns what to do next with a roll-out that runs.
pub fn next(progress: &Progress) -> Option<Action> {
    let duration_ms = progress.duration_ms;
    let margin_ms = DECISION_MARGIN_MS.min(duration_ms / 4);
    let decides_at = duration_ms.saturating_sub(margin_ms);
    let step_ms = (duration_ms as f64 * STEP_DURATION) as u64;
    let is_step_over = progress.step_ms >= step_ms.max(MIN_STEP_MS);
    let trial_ms = (duration_ms as f64 * MIN_TRIAL) as u64;
    let revert = |reason: &str| Some(Action::Revert(reason.to_owned()));
    if let Verdict::Bad(finding) = &progress.verdict {
        return Some(Action::Revert(finding.to_string()));
    }
    if progress.step >= LAST_STEP {
        return match progress.is_moved {
            true => Some(Action::Complete),
            false if progress.elapsed_ms >= duration_ms + MAX_STREAM_MS => {
                revert("requests at the old version did not end")
            }
            false => None,
        };
    }
    let is_last = progress.step + 1 == LAST_STEP;
    if progress.elapsed_ms >= decides_at {
        return match (&progress.verdict, is_last && !progress.has_room) {
            (Verdict::Good, true) => revert("its replicas have no room"),
            (Verdict::Good, false) => revert("no time left for its steps"),
            _ => revert("it could not be judged in time"),
        };
    }
    let may_rise = progress.verdict == Verdict::Good
        && progress.elapsed_ms >= trial_ms
        && is_step_over
        && (progress.has_room || !is_last);
    may_rise.then_some(Action::Step(progress.step + 1))
}
