//! What is known of one request.

use super::{Crash, outage::AT_ONCE_MS};
use crate::util::common;

common! {
    pub(super) struct Record {
        pub(super) fingerprint: u64,
        /// Sorted by time.
        pub(super) crashes: Vec<Crash>,
        /// Ends that are not certain.
        pub(super) suspected: Vec<Crash>,
        /// The last success; what was noted before it is gone.
        pub(super) succeeded_at: Option<i64>,
        /// When it was last told again.
        pub(super) told_at: Option<i64>,
        /// When this node last tried it again.
        pub(super) tried_at: Option<i64>,
    }
}

impl Record {
    /// The crash at a replica, if there is one.
    pub(super) fn of(&mut self, replica: u64) -> Option<&mut Crash> {
        self.crashes.iter_mut().find(|one| one.replica == replica)
    }

    /// At how many different moments replicas ended under it.
    pub(super) fn moments(&self) -> usize {
        let mut at: Vec<i64> = self.ends().map(|one| one.at).collect();
        at.sort_unstable();
        at.dedup_by(|one, before| one.abs_diff(*before) <= AT_ONCE_MS);
        at.len()
    }

    /// The certain ones and those that are not.
    pub(super) fn ends(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().chain(&self.suspected)
    }
}
