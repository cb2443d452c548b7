//! Connects a node to its own member of the replicated log.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::Node;
use crate::control::seat;

/// Interval between a member's requests to join while it has no leader.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Applies the term, leader and committed plan that this node's member reports
/// to the gateway, the mesh table and the metrics.
pub(super) async fn apply_updates(node: Arc<Node>, seat: seat::Handle) {
    let mut updates = seat.view();
    while updates.changed().await.is_ok() {
        if node.has_stopped() {
            return;
        }
        let current = updates.borrow_and_update().clone();
        let metrics = &node.gateway.metrics;
        metrics.term.set(current.term as i64);
        metrics.leads.set(current.leads.into());
        metrics.hears_leader.set(current.hears_leader.into());
        let counted = metrics.late_reads.get();
        metrics.late_reads.inc_by(current.late_reads.saturating_sub(counted));
        if let (Some(mesh), Some(leader)) = (node.mesh.get(), current.leader) {
            let mut table = mesh.table();
            let me = table.own_peer_mut();
            if current.hears_leader
                && (current.term, leader) > (me.leader_term, me.leader)
            {
                (me.leader_term, me.leader) = (current.term, leader);
            }
        }
        node.adopt_rollouts(current.rollouts);
        if let Some(plan) = current.plan {
            node.adopt(plan);
        }
    }
}

/// Asks the leader that the mesh reports, at regular intervals, to add this
/// member to the log. The member drops the request while a leader contacts it.
pub(super) async fn request_join(node: Arc<Node>, seat: seat::Handle) {
    while !node.has_stopped() {
        sleep(JOIN_INTERVAL).await;
        let leader = match node.mesh.get() {
            Some(mesh) => mesh.table().own_peer().leader,
            None => 0,
        };
        if leader != 0 {
            seat.join(leader);
        }
    }
}
