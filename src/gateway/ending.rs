//! Whether a replica has ended, when a connection to it broke.
//!
//! A replica may close one connection, lose one answer, or end with all that
//! it had. Only the last says something about the requests that were there,
//! and waiting for its heartbeats to stop takes seconds. So a new connection
//! is tried: where nobody listens any more, the replica has ended.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::sleep;
use tracing::info;

use super::{Gateway, fleet::Target};
use crate::mesh::table::State;

/// Before a new connection is tried, so that a process that ends has closed
/// all that it had open, and all requests there have noticed.
const PAUSE: Duration = Duration::from_millis(20);

/// Requests whose connections broke, by replica, until it is known why.
#[derive(Debug, Default)]
pub(super) struct Endings {
    open: Mutex<Vec<Broken>>,
}

#[derive(Debug)]
struct Broken {
    replica: String,
    /// What the requests asked for.
    fingerprints: Vec<u64>,
}

impl Endings {
    fn open(&self) -> MutexGuard<'_, Vec<Broken>> {
        self.open.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Notes a request; true for the first one at a replica.
    fn add(&self, replica: &str, fingerprint: u64) -> bool {
        let mut open = self.open();
        let known = open.iter_mut().find(|one| one.replica == replica);
        if let Some(broken) = known {
            broken.fingerprints.push(fingerprint);
            return false;
        }
        open.push(Broken {
            replica: replica.to_owned(),
            fingerprints: vec![fingerprint],
        });
        true
    }

    fn take(&self, replica: &str) -> Vec<u64> {
        let mut open = self.open();
        let at = open.iter().position(|one| one.replica == replica);
        at.map(|at| open.swap_remove(at).fingerprints).unwrap_or_default()
    }
}

impl Gateway {
    /// True for a replica that has said that it leaves.
    fn has_left(&self, replica: &str) -> bool {
        let Some(mesh) = self.mesh.get() else { return false };
        let table = mesh.table();
        let mut replicas = table.replicas().iter();
        let known = replicas.find(|one| one.says.id == replica);
        known.is_some_and(|one| one.state != State::Ready)
    }

    /// A replica closed a connection before its answer was whole: finds out
    /// whether it has crashed.
    pub(super) fn examine(
        self: &Arc<Gateway>,
        target: &Target,
        fingerprint: u64,
    ) {
        if !self.endings.add(&target.replica, fingerprint) {
            return;
        }
        let (gateway, target) = (self.clone(), target.clone());
        tokio::spawn(async move {
            sleep(PAUSE).await;
            let (replica, address) = (&target.replica, target.address);
            let ended = gateway.lines.has_ended(replica, address).await;
            let fingerprints = gateway.endings.take(replica);
            // One that said that it leaves ends with what it still has: a long
            // request would be at the ends of all replicas that are replaced.
            if ended && !gateway.has_left(replica) {
                gateway.note_crashes(replica, &fingerprints);
                gateway.metrics.ended_replicas.inc();
                info!(
                    target: "gateway",
                    replica,
                    requests = fingerprints.len(),
                    "Replica ended under requests."
                );
            }
        });
    }
}
