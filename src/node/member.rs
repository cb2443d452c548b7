//! What a node does with its own member of the log.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::Node;
use crate::control::seat;

/// How often a member asks to be taken in while nobody leads it.
const JOIN: Duration = Duration::from_millis(500);

/// Takes over what this node's own member sees.
pub(super) async fn follow(node: Arc<Node>, seat: seat::Handle) {
    let mut view = seat.view();
    while view.changed().await.is_ok() {
        if node.has_stopped() {
            return;
        }
        let seen = view.borrow_and_update().clone();
        let metrics = &node.gateway.metrics;
        metrics.term.set(seen.term as i64);
        metrics.leads.set(seen.leads.into());
        if let (Some(mesh), Some(leader)) = (node.mesh.get(), seen.leader) {
            let mut table = mesh.table();
            let me = table.own_peer_mut();
            if seen.hears_leader
                && (seen.term, leader) > (me.leader_term, me.leader)
            {
                (me.leader_term, me.leader) = (seen.term, leader);
            }
        }
        if let Some(plan) = seen.plan {
            node.adopt(plan);
        }
    }
}

/// Asks the leader that others name to be taken in, as long as none leads
/// this member.
pub(super) async fn ask_to_join(node: Arc<Node>, seat: seat::Handle) {
    while !node.has_stopped() {
        sleep(JOIN).await;
        let leader = match node.mesh.get() {
            Some(mesh) => mesh.table().own_peer().leader,
            None => 0,
        };
        if leader != 0 {
            seat.join(leader);
        }
    }
}
