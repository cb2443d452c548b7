//! Probes the replicas of services that may be unreachable from this node.
//!
//! [`Reach`](crate::decide::reach::Reach) decides when to probe and what the
//! results mean. The other nodes are told which services this node does not
//! reach: they send it no requests of theirs, and callers are sent to nodes
//! that reach all services.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::{
    Gateway,
    fleet::{ProbeRound, Target},
};
use crate::{
    decide::reach::{Change, Probe},
    util::common,
};

/// Interval at which the node checks whether replicas are to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of other replicas that are probed after one refused a connection.
const PROBES_AFTER_REFUSAL: usize = 3;

/// Time for which the result of a check is kept, in ms: longer than the
/// investigations of crashes at the same moment are apart.
const CHECK_RETENTION_MS: u64 = 2000;

/// Starts rounds of probes as long as the task runs.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = gateway.connection_failed.notified() => {}
        }
        let now = gateway.timer.now();
        let rounds = gateway.fleet().begin_probes(now);
        for round in rounds {
            let gateway = gateway.clone();
            tokio::spawn(async move { gateway.probe(round).await });
        }
    }
}

common! {
    /// Whether replicas of a service could be reached.
    pub(super) struct PathCheck {
        service: String,
        began_at: u64,
        reached: bool,
    }
}

impl Gateway {
    async fn probe(&self, round: ProbeRound) {
        let path = self.probe_path(&round.service);
        let probes = round.replicas.iter().map(|(replica, address)| {
            self.connections.probe(replica, *address, path.as_deref())
        });
        let probes = join_all(probes).await;
        let now = self.timer.now();
        let mut fleet = self.fleet();
        let change = fleet.end_probes(now, &round, &probes);
        let unreachable = fleet.unreachable();
        drop(fleet);
        let Some(change) = change else { return };
        let failed =
            probes.iter().filter(|probe| **probe != Probe::Answered).count();
        let service = round.service;
        match change {
            Change::Lost => warn!(
                target: "gateway",
                service, probes = probes.len(), failed,
                "Lost all paths to the replicas; forwarding to other nodes."
            ),
            Change::Restored { after_ms } => info!(
                target: "gateway",
                service, probes = probes.len(), failed, after_ms,
                "Replicas can be reached again."
            ),
        }
        self.metrics.unreachable_services.set(unreachable.len() as i64);
        if let Some(mesh) = self.mesh.get() {
            mesh.table().own_peer_mut().unreachable = unreachable;
            mesh.request_urgent_round();
        }
        self.reach_changed.send_replace(());
    }

    fn probe_path(&self, service: &str) -> Option<String> {
        let plan = self.plan.read();
        let service = plan.as_ref().as_ref()?.service(service)?;
        service.probe_path.clone()
    }

    /// Returns true if no connection opens to the replicas of a service.
    pub(super) fn is_disconnected(&self, service: &str) -> bool {
        let fleet = self.fleet();
        fleet.reach(service).is_some_and(|reach| reach.is_disconnected())
    }

    /// Returns true if other replicas of the service can be reached after one
    /// refused a connection. `since` is when its connections broke.
    ///
    /// In a partition, connections to many replicas break at the same time.
    /// They share one check.
    pub(super) async fn reaches_others(
        &self,
        service: &str,
        refused: &Target,
        since: u64,
    ) -> bool {
        let mut checks = self.path_checks.lock().await;
        let now = self.timer.now();
        checks.retain(|check| now < check.began_at + CHECK_RETENTION_MS);
        let known = checks
            .iter()
            .find(|check| check.service == service && check.began_at >= since);
        if let Some(check) = known {
            return check.reached;
        }
        let reached = self.probe_others(service, &refused.replica).await;
        let service = service.to_owned();
        checks.push(PathCheck { service, began_at: now, reached });
        reached
    }

    async fn probe_others(&self, service: &str, refused: &str) -> bool {
        let now = self.timer.now();
        let mut others = self.fleet().latest_to_answer(
            now,
            service,
            PROBES_AFTER_REFUSAL + 1,
        );
        others.retain(|(replica, _)| replica != refused);
        others.truncate(PROBES_AFTER_REFUSAL);
        // A service with one replica has no other one to compare with.
        if others.is_empty() {
            return true;
        }
        let path = self.probe_path(service);
        let probes = others.iter().map(|(replica, address)| {
            self.connections.probe(replica, *address, path.as_deref())
        });
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(probe) = probes.next().await {
            if probe == Probe::Answered {
                return true;
            }
        }
        false
    }

    /// Records that a connection to a replica failed.
    pub(super) fn record_connection_failure(
        &self,
        service: &str,
        replica: &str,
    ) {
        let now = self.timer.now();
        self.fleet().record_connection_failure(now, service, replica);
        self.connection_failed.notify_one();
    }

    /// Returns true if this node does not reach the replicas of a service.
    pub(super) fn is_unreachable(&self, service: &str) -> bool {
        let fleet = self.fleet();
        fleet.reach(service).is_some_and(|reach| reach.is_unreachable())
    }

    fn is_quiet(&self, now: u64, service: &str) -> bool {
        let fleet = self.fleet();
        fleet.reach(service).is_some_and(|reach| reach.is_quiet(now))
    }

    /// Returns since when connections that are open prove to work, while no
    /// new ones open to a service.
    pub(super) fn open_connections_work_since(
        &self,
        service: &str,
    ) -> Option<Instant> {
        let now = self.timer.now();
        let since = self.fleet().reach(service)?.works_since(now)?;
        let age = Duration::from_millis(now.saturating_sub(since));
        Instant::now().checked_sub(age)
    }

    /// Waits until a service is unreachable and nothing arrives from its
    /// replicas any more.
    pub(super) async fn wait_until_lost(&self, service: &str) {
        let mut changes = self.reach_changed.subscribe();
        loop {
            let now = self.timer.now();
            let is_unreachable = self.is_unreachable(service);
            if is_unreachable && self.is_quiet(now, service) {
                return;
            }
            // Never closed: `self` owns the sender.
            let change = changes.changed();
            match is_unreachable {
                true => drop(timeout(CHECK_INTERVAL, change).await),
                false => drop(change.await),
            }
        }
    }
}
