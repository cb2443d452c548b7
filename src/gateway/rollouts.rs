//! Roll-outs at a node: the state that the node obeys.
//!
//! The state is in the replicated log. A node obeys the newest state that it
//! has learnt of, and knows since when no leader can have had a newer one.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use tracing::info;

use super::Gateway;
use crate::{decide::rollout::Bounds, util::wall_ms, wire::RolloutState};

/// The roll-outs at a node.
#[derive(Debug)]
pub(super) struct Rollouts {
    /// `None` where there are no roll-outs.
    bounds: Option<Bounds>,
    /// Version of the state plus one; 0 while the state is not known.
    known: AtomicU64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Arc<RolloutState>,
    /// When the state was last known to be the newest, in ms.
    fresh_at: Option<u64>,
}

impl Rollouts {
    pub fn open(bounds: Option<Bounds>) -> Rollouts {
        let inner = Mutex::default();
        Rollouts { bounds, known: AtomicU64::new(0), inner }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Gateway {
    /// Returns true where there are roll-outs.
    pub fn has_rollouts(&self) -> bool {
        self.rollouts.bounds.is_some()
    }

    /// Returns the version of the state that this node obeys, plus one; 0
    /// while it does not know the state.
    pub fn known_rollouts(&self) -> u64 {
        self.rollouts.known.load(Ordering::Relaxed)
    }

    /// Returns the time of day by the median of the nodes' clocks, in ms.
    pub fn rollout_wall_ms(&self) -> u64 {
        match self.mesh.get() {
            Some(mesh) => self.corrected_wall_ms(&mesh.table()),
            None => wall_ms(),
        }
    }

    /// Returns the state that this node obeys.
    pub fn rollout_state(&self) -> Arc<RolloutState> {
        self.rollouts.lock().state.clone()
    }

    /// Obeys a state from now on, if it is newer. Returns true if it is.
    pub fn adopt_rollouts(&self, state: Arc<RolloutState>) -> bool {
        let mut inner = self.rollouts.lock();
        if !self.has_rollouts() || state.version <= inner.state.version {
            return false;
        }
        for record in &state.records {
            let before = inner.state.newest(&record.service);
            if before == Some(record)
                || state.newest(&record.service) != Some(record)
            {
                continue;
            }
            info!(
                target: "rollout",
                service = record.service,
                to = record.to,
                order = record.order,
                state = record.state_name(),
                step = record.step,
                reason = record.reason,
                version = state.version,
                "State of a roll-out changed."
            );
        }
        inner.state = state;
        if self.known_rollouts() > 0 {
            let known = inner.state.version + 1;
            self.rollouts.known.store(known, Ordering::Relaxed);
        }
        true
    }

    /// Records that no leader had a newer state than `version` at `at`.
    /// Returns true if this node has not known the state until now.
    pub fn confirm_rollouts(&self, version: u64, at: u64) -> bool {
        let mut inner = self.rollouts.lock();
        if !self.has_rollouts() || inner.state.version != version {
            return false;
        }
        inner.fresh_at = inner.fresh_at.max(Some(at));
        let before = self.rollouts.known.swap(version + 1, Ordering::Relaxed);
        before == 0
    }
}
