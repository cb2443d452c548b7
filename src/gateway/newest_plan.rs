//! The newest plan that any node is known to hold.
//!
//! A node hears of a newer plan before it has fetched it. Until then it
//! answers by an older one.

use std::sync::{Mutex, MutexGuard};

use super::Gateway;

/// The newest version that other nodes have reported.
#[derive(Debug, Default)]
pub(super) struct NewestPlan(Mutex<Report>);

#[derive(Clone, Copy, Debug, Default)]
struct Report {
    version: u64,
    /// When this node first heard of it, in ms.
    heard_at: u64,
}

impl NewestPlan {
    fn lock(&self) -> MutexGuard<'_, Report> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Gateway {
    /// Records that another node holds a plan. Returns true if this node holds
    /// an older one and had not heard of this version.
    pub(crate) fn report_plan(&self, version: u64) -> bool {
        let mut newest = self.newest_plan.lock();
        if version <= newest.version.max(self.plan_version()) {
            return false;
        }
        *newest = Report { version, heard_at: self.timer.now() };
        true
    }

    /// Returns the newest version that this node knows of.
    pub(crate) fn newest_plan_version(&self) -> u64 {
        self.newest_plan.lock().version.max(self.plan_version())
    }

    /// Returns the time since this node first heard of the newest reported
    /// plan, in ms, if `version` is at least as new.
    pub(super) fn plan_delay_ms(&self, version: u64) -> Option<u64> {
        let newest = self.newest_plan.lock();
        let is_reported = newest.version > 0 && newest.version <= version;
        is_reported.then(|| self.timer.now().saturating_sub(newest.heard_at))
    }
}
