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

    /// Returns the confirmed and the suspected crashes.
    pub(super) fn all_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().chain(&self.suspected)
    }
}
