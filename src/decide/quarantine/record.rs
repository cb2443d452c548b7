//! The record of one request.

use super::{Crash, outage::SAME_REQUEST_WINDOW_MS};
use crate::util::common;

common! {
    pub(super) struct Record {
        pub(super) fingerprint: u64,
        /// Confirmed crashes, sorted by time.
        pub(super) crashes: Vec<Crash>,
        /// Suspected crashes.
        pub(super) suspected: Vec<Crash>,
        /// Time of the last success. Crashes before it have been removed.
        pub(super) succeeded_at: Option<i64>,
        /// Time of the last success that all nodes have been told of.
        pub(super) reported_success_at: Option<i64>,
        /// Time at which the crashes were last repeated to other nodes.
        pub(super) repeated_at: Option<i64>,
        /// Time at which this node last granted the request a trial.
        pub(super) trial_at: Option<i64>,
    }
}

impl Record {
    /// Returns the confirmed crash of a replica, if there is one.
    pub(super) fn crash_of(&mut self, replica: u64) -> Option<&mut Crash> {
        self.crashes.iter_mut().find(|crash| crash.replica == replica)
    }

    /// Returns the number of different times at which replicas crashed under
    /// the request.
    pub(super) fn count_crash_times(&self) -> usize {
        let mut times: Vec<i64> =
            self.all_crashes().map(|crash| crash.at).collect();
        times.sort_unstable();
        times.dedup_by(|time, before| {
            time.abs_diff(*before) <= SAME_REQUEST_WINDOW_MS
        });
        times.len()
    }

    /// Starts a trial at this node if it is due, each node `interval_ms` after
    /// the one before it. Returns whether it does.
    pub(super) fn start_trial(
        &mut self,
        now: i64,
        due: i64,
        rank: usize,
        interval_ms: i64,
    ) -> bool {
        let due = due + interval_ms * rank as i64;
        let is_resting =
            self.trial_at.is_some_and(|at| now < at + interval_ms);
        let is_trial = now >= due && !is_resting;
        if is_trial {
            self.trial_at = Some(now);
        }
        is_trial
    }

    /// Returns the confirmed and the suspected crashes.
    pub(super) fn all_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().chain(&self.suspected)
    }
}
