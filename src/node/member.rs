//! Connects a node to its own member of the replicated log, and lists the
//! members that the node can ask.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use tokio::time::sleep;

use super::Node;
use crate::{
    control::seat,
    mesh::table::{Node as Peer, Table},
};

/// Interval between a member's requests to join while it has no leader.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the addresses of the members that this node can ask, without
/// repeats.
///
/// The mesh may not have heard the leader lately although calls reach it, so
/// the leader that other nodes name is always among them. If no other member
/// is live, those that are remembered and the seeds are: a node with a disk
/// would otherwise ask its own member only.
pub(super) fn list(
    table: &Table,
    now: u64,
    port: u16,
    seeds: &[Ipv4Addr],
) -> Vec<SocketAddrV4> {
    let own = table.own_peer();
    let own_address = SocketAddrV4::new(own.ip.into(), port);
    let address = |ip| SocketAddrV4::new(ip, port);
    let has_disk = |node: &&Peer| node.peer.has_disk;
    let live = table.live(now).filter(has_disk).map(Peer::ip);
    let mut members: Vec<SocketAddrV4> = live.map(address).collect();
    if members.is_empty() {
        let known = table.nodes().iter().filter(has_disk).map(Peer::ip);
        members.extend(known.chain(seeds.iter().copied()).map(address));
    }
    if own.leader != 0 {
        members.push(seat::member_address(own.leader));
    }
    members.push(own_address);
    let mut listed = Vec::with_capacity(members.len());
    for member in members {
        let is_member = own.has_disk || member != own_address;
        if is_member && !listed.contains(&member) {
            listed.push(member);
        }
    }
    listed
}

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
/// member to the log, until a leader contacts it.
///
/// That leader may be gone, or may be this member before it lost its disk. So
/// the other members are asked as well, in turn; only a leader acts on it.
pub(super) async fn request_join(node: Arc<Node>, seat: seat::Handle) {
    let view = seat.view();
    let mut turn = 0;
    while !node.has_stopped() {
        sleep(JOIN_INTERVAL).await;
        let Some(mesh) = node.mesh.get() else { continue };
        if view.borrow().hears_leader {
            continue;
        }
        let now = node.gateway.timer.now();
        let seeds = mesh.seeds();
        let (own, leader, mut others) = {
            let table = mesh.table();
            let own =
                SocketAddrV4::new(table.own_peer().ip.into(), node.peer_port);
            let others = list(&table, now, node.peer_port, &seeds);
            (seat::member_id(own), table.own_peer().leader, others)
        };
        if leader != 0 {
            seat.join(leader);
        }
        others
            .retain(|other| ![own, leader].contains(&seat::member_id(*other)));
        if !others.is_empty() {
            seat.join(seat::member_id(others[turn % others.len()]));
            turn += 1;
        }
    }
}
