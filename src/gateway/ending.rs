//! Whether a replica has ended while requests were under way there.
//!
//! A replica may close one connection, lose one answer, be slow, be cut off
//! from this node, or end with all that it had. Only the last says something
//! about the requests that were there. Connections alone don't tell: while a
//! replica is away, its port may refuse them, a relay or a host that takes over
//! its address may accept and close them, or nothing may answer. What the
//! replica says of itself does:
//!
//! | seen | means |
//! |---|---|
//! | a new connection is refused | it has ended |
//! | another life of it speaks, or another replica at its address | it has ended |
//! | no heartbeat of it reaches any node, others' do | it has ended |
//! | it said that it leaves | nothing: it ends with what it has |
//! | it answers, or a heartbeat said later arrives | it lives |
//!
//! So a case is opened when a connection breaks or a replica has been silent
//! to a request for long, and watched until one of these is seen.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::sleep;
use tracing::info;

use super::{Gateway, fleet::Target};
use crate::mesh::lives::Fate;

/// Before a new connection is tried, so that a process that ends has closed
/// all that it had open, and all requests there have noticed.
const PAUSE: Duration = Duration::from_millis(20);
/// Between two looks at what is known of the replica.
const LOOK: Duration = Duration::from_millis(200);
/// A replica that has said nothing for so long after a connection to it broke
/// has ended, in ms: two heartbeats, one of which may be late or lost on its
/// way between nodes.
const UNHEARD_MS: u64 = 2600;
/// Requests remembered of one case: what runs at one replica for one node.
const MOST: usize = 64;

/// Requests that broke off or were left, by replica, until it is known why.
#[derive(Debug, Default)]
pub(super) struct Endings {
    open: Mutex<Vec<Case>>,
}

#[derive(Debug)]
struct Case {
    replica: String,
    /// What the requests asked for.
    fingerprints: Vec<u64>,
}

/// What opens a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    /// The replica closed a connection before its answer was whole.
    Broken,
    /// It said nothing on one for long.
    Silent,
}

/// What became of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Ended(&'static str),
    /// It lives, has left as it said, or nobody can tell.
    Nothing,
}

impl Endings {
    fn open(&self) -> MutexGuard<'_, Vec<Case>> {
        self.open.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Notes a request; true for the first one at a replica.
    fn add(&self, replica: &str, fingerprint: u64) -> bool {
        let mut open = self.open();
        let known = open.iter_mut().find(|one| one.replica == replica);
        if let Some(case) = known {
            if case.fingerprints.len() < MOST {
                case.fingerprints.push(fingerprint);
            }
            return false;
        }
        open.push(Case {
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
    /// A request broke off at a replica, or was left there unanswered: finds
    /// out whether the replica has ended.
    pub(super) fn examine(
        self: &Arc<Gateway>,
        service: &str,
        target: &Target,
        fingerprint: u64,
        sign: Sign,
    ) {
        if !self.endings.add(&target.replica, fingerprint) {
            return;
        }
        let gateway = self.clone();
        let (service, target) = (service.to_owned(), target.clone());
        tokio::spawn(async move {
            let since = gateway.timer.now();
            let verdict = gateway.watch(&service, &target, sign, since).await;
            let replica = &target.replica;
            let fingerprints = gateway.endings.take(replica);
            if let Verdict::Ended(evidence) = verdict {
                gateway.note_crashes(replica, &fingerprints, since);
                gateway.metrics.ended_replicas.inc();
                info!(
                    target: "gateway",
                    replica,
                    requests = fingerprints.len(),
                    evidence,
                    after_ms = gateway.timer.now() - since,
                    "Replica ended under requests."
                );
            }
        });
    }

    async fn watch(
        &self,
        service: &str,
        target: &Target,
        sign: Sign,
        since: u64,
    ) -> Verdict {
        let mut refused = false;
        if sign == Sign::Broken {
            sleep(PAUSE).await;
            let lines = &self.lines;
            refused = lines.has_ended(&target.replica, target.address).await;
        }
        loop {
            let now = self.timer.now();
            let is_over = now >= since + UNHEARD_MS;
            match self.fate(target, since) {
                // It ends with what it still has: a long request would be at
                // the ends of all replicas that are replaced.
                Fate::Leaves => return Verdict::Nothing,
                Fate::Followed => return Verdict::Ended("another life"),
                _ if refused => return Verdict::Ended("refused"),
                Fate::Lives => return Verdict::Nothing,
                Fate::Unknown if is_over => return Verdict::Nothing,
                Fate::Silent if is_over => return Verdict::Ended("unheard"),
                Fate::Unknown | Fate::Silent => {}
            }
            if self.has_answered(service, &target.replica, since) {
                return Verdict::Nothing;
            }
            sleep(LOOK).await;
        }
    }

    fn fate(&self, target: &Target, since: u64) -> Fate {
        let Some(mesh) = self.mesh.get() else { return Fate::Unknown };
        mesh.table().fate(&target.replica, since)
    }

    fn has_answered(&self, service: &str, replica: &str, since: u64) -> bool {
        self.fleet().answered_at(service, replica) > since
    }
}
