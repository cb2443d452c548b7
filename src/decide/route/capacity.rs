//! What the replicas of a pool can take now.

use super::Pool;

/// Wait up to which a replica counts as idle, in ms: a short prompt's reading.
const NO_WAIT_MS: f32 = 20.0;

/// The replicas of one service and what they have to do, as one entry
/// sees them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Replicas that take requests now, each counted by its speed.
    pub replicas: f32,
    /// Their usable slots.
    pub slots: f32,
    /// Estimated requests that run or wait there.
    pub load: f32,
    /// Mean time for which a request without a prompt would wait, in ms.
    pub wait_ms: f32,
    /// Part of the replicas at which a request would wait.
    pub busy: f32,
    /// Time to compute one prompt token on a replica without other work,
    /// in ms.
    pub token_ms: f32,
}

impl Pool {
    /// Returns the capacity of the replicas that take requests at `now`.
    ///
    /// A replica that fails requests does not count until its penalty ends,
    /// so that a crash shows before heartbeats are missed.
    pub fn capacity(&self, now: u64) -> Capacity {
        let mut capacity = Capacity {
            replicas: 0.0,
            slots: 0.0,
            load: 0.0,
            wait_ms: 0.0,
            busy: 0.0,
            token_ms: self.unloaded_token_ms,
        };
        for replica in &self.replicas {
            if !replica.accepts(now) || now < replica.penalty_until {
                continue;
            }
            let slots = replica.usable_slots();
            let load = self.estimate(replica);
            let pending = replica.pending_tokens
                + self.expected_others_pending(now, replica);
            let excess = (load + 1.0 - slots).max(0.0);
            let wait_ms = pending * self.unloaded_token_ms / replica.speed()
                + excess / slots * self.weights.hold_ms;
            capacity.replicas += replica.speed();
            capacity.slots += slots;
            capacity.load += load;
            capacity.wait_ms += wait_ms * replica.speed();
            if wait_ms > NO_WAIT_MS {
                capacity.busy += replica.speed();
            }
        }
        let replicas = capacity.replicas.max(f32::EPSILON);
        capacity.wait_ms /= replicas;
        capacity.busy /= replicas;
        capacity
    }
}
