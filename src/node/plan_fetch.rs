//! Fetches newer plans from other nodes.
//!
//! Each node that reports the plan can send it. Any of them may have stopped
//! since its last report, or may be behind a broken link. So nodes are asked
//! one after the other at short intervals, without giving up the earlier ones,
//! and the plan comes from the first one that begins to answer. Only then does
//! the timeout depend on the length of the plan.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout};
use tonic::{Status, Streaming};
use tracing::{info, warn};

use super::{Node, lock};
use crate::{
    control::{
        seat,
        server::{MAX_MESSAGE_BYTES, connect},
    },
    mesh::table,
    metrics::PlanFetch,
    util::position,
    wire::{Empty, PutPlan, nodes_client::NodesClient},
};

/// Time without the beginning of an answer after which another node is asked
/// as well. Busy VMs with an eighth of a core pause for up to a tenth of a
/// second.
const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Timeout of the beginning of an answer, if there is no other node to ask.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of nodes asked in one fetch.
const MAX_NODES_ASKED: usize = 16;
/// Number of nodes that are asked before the leader, which is busy with the
/// change.
const NODES_BEFORE_LEADER: usize = 3;
/// Time for which a node that did not begin to answer is asked last.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(10);
/// Initial timeout of the transfer. A packed plan of 0.8 MB takes 60 ms over
/// ten megabits.
const INITIAL_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of times that the transfer timeout is doubled, because a
/// plan may take longer than the initial timeout. The timeout is eight seconds
/// at most, so that a node does not wait forever for one that has stopped.
const MAX_TRANSFER_TIMEOUT_DOUBLINGS: u32 = 3;
/// Time over which the fetches of a new plan are spread, for each other node.
/// A node with 100 Mbit/s sends a packed plan of 0.8 MB in 6 ms, and several
/// nodes send it at the same time.
const FETCH_SPREAD_PER_NODE: Duration = Duration::from_millis(2);
/// Maximum number of checks for a node other than the leader to fetch from.
/// The other members learn of a commit with the leader's next heartbeat.
const MAX_HOLDER_CHECKS: u32 = 4;
/// Interval between these checks.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State of the fetches of a node.
#[derive(Debug, Default)]
pub(super) struct State {
    is_fetching: AtomicBool,
    /// Number of consecutive transfers that timed out.
    transfer_timeouts: AtomicU32,
    /// Nodes that did not begin to answer, and when that was noticed. Sorted
    /// by address.
    unresponsive: Mutex<Vec<(Ipv4Addr, Instant)>>,
}

impl State {
    /// Returns true if no fetch is running, and marks one as running.
    pub fn begin(&self) -> bool {
        !self.is_fetching.swap(true, Ordering::Relaxed)
    }

    fn end(&self) {
        self.is_fetching.store(false, Ordering::Relaxed);
    }

    fn mark_unresponsive(&self, ip: Ipv4Addr) {
        let mut nodes = lock(&self.unresponsive);
        let now = Instant::now();
        nodes.retain(|(_, since)| now < *since + UNRESPONSIVE_PERIOD);
        match position(&nodes, &ip, |(ip, _)| ip) {
            Ok(at) => nodes[at].1 = now,
            Err(at) => nodes.insert(at, (ip, now)),
        }
    }

    fn mark_responsive(&self, ip: Ipv4Addr) {
        lock(&self.unresponsive).retain(|(known, _)| *known != ip);
    }

    fn is_unresponsive(&self, ip: Ipv4Addr) -> bool {
        let nodes = lock(&self.unresponsive);
        position(&nodes, &ip, |(ip, _)| ip)
            .is_ok_and(|at| nodes[at].1.elapsed() < UNRESPONSIVE_PERIOD)
    }

    fn transfer_timeout(&self) -> Duration {
        let timeouts = self.transfer_timeouts.load(Ordering::Relaxed);
        INITIAL_TRANSFER_TIMEOUT
            * (1 << timeouts.min(MAX_TRANSFER_TIMEOUT_DOUBLINGS))
    }
}

/// Fetches a newer plan from the nodes that report it, after a random delay.
///
/// The leader is the first to report a new plan. Without the delay, seventy
/// nodes fetched it from the leader within milliseconds. The leader's
/// heartbeats waited behind the plans that it sent, the other members elected
/// another leader, and that leader was overloaded in the same way.
pub(super) async fn fetch_newer(node: Arc<Node>) {
    sleep(random_fetch_delay(&node)).await;
    for check in 1..=MAX_HOLDER_CHECKS {
        let (others, leader) = find_plan_holders(&node);
        let use_leader = !others.is_empty()
            || check == MAX_HOLDER_CHECKS
            || !has_several_members(&node);
        match leader {
            // This node's own member has committed the plan meanwhile.
            None if others.is_empty() => break,
            Some(_) if !use_leader => sleep(HOLDER_CHECK_INTERVAL).await,
            _ => {
                fetch_from(&node, next_holder).await;
                break;
            }
        }
    }
    node.plan_fetch.end();
}

/// Fetches a plan from one of these nodes, at the start of this node.
pub(super) async fn fetch_first(node: Arc<Node>, nodes: Vec<Ipv4Addr>) {
    let next = |_: &Node, asked: &[Ipv4Addr]| {
        nodes.iter().find(|ip| !asked.contains(ip)).copied()
    };
    fetch_from(&node, next).await;
    node.plan_fetch.end();
}

fn random_fetch_delay(node: &Node) -> Duration {
    let Some(mesh) = node.mesh.get() else { return Duration::ZERO };
    let now = node.gateway.timer.now();
    let others = mesh.table().live(now).count();
    (FETCH_SPREAD_PER_NODE * others as u32).mul_f64(rand::random())
}

/// Returns the live nodes that report a newer plan: first all but the leader,
/// then the leader if it is among them.
fn find_plan_holders(node: &Node) -> (Vec<Ipv4Addr>, Option<Ipv4Addr>) {
    let Some(mesh) = node.mesh.get() else { return (Vec::new(), None) };
    let table = mesh.table();
    let held = node.gateway.plan_version();
    let leader = *seat::member_address(table.own_peer().leader).ip();
    let now = node.gateway.timer.now();
    let newer = table.live(now).filter(|other| other.peer.plan_version > held);
    let (leader, others): (Vec<_>, Vec<_>) =
        newer.map(table::Node::ip).partition(|ip| *ip == leader);
    (others, leader.first().copied())
}

fn has_several_members(node: &Node) -> bool {
    let Some(mesh) = node.mesh.get() else { return false };
    let table = mesh.table();
    let now = node.gateway.timer.now();
    table.live(now).filter(|other| other.peer.has_disk).count() > 1
}

/// Returns the next node to ask for a newer plan.
///
/// It is drawn at random, so that the nodes that need the plan ask different
/// ones. Nodes that did not answer lately come last.
fn next_holder(node: &Node, asked: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    let (mut others, leader) = find_plan_holders(node);
    others.retain(|ip| !asked.contains(ip));
    let leader = leader.filter(|ip| !asked.contains(ip));
    let state = &node.plan_fetch;
    let (unresponsive, others): (Vec<_>, Vec<_>) =
        others.into_iter().partition(|ip| state.is_unresponsive(*ip));
    if asked.len() >= NODES_BEFORE_LEADER || others.is_empty() {
        return leader
            .or_else(|| draw(&others))
            .or_else(|| draw(&unresponsive));
    }
    draw(&others)
}

fn draw(nodes: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    nodes.choose(&mut rand::rng()).copied()
}

/// Asks the nodes that `next` returns, given those already asked, until one of
/// them has sent a newer plan. Nodes that report the plan meanwhile are asked
/// as well.
async fn fetch_from(
    node: &Node,
    next: impl Fn(&Node, &[Ipv4Addr]) -> Option<Ipv4Addr>,
) {
    let state = &node.plan_fetch;
    let mut asked = Vec::new();
    let mut silent: Vec<(Ipv4Addr, Instant)> = Vec::new();
    let mut calls = FuturesUnordered::new();
    let mut give_up_at = Instant::now() + ANSWER_TIMEOUT;
    loop {
        let may_ask = asked.len() < MAX_NODES_ASKED;
        match may_ask.then(|| next(node, &asked)).flatten() {
            Some(ip) => {
                asked.push(ip);
                silent.push((ip, Instant::now()));
                calls.push(ask(node.peer_port, ip));
                give_up_at = Instant::now() + ANSWER_TIMEOUT;
            }
            None if calls.is_empty() => break,
            None => {}
        }
        match timeout(HEDGE_DELAY, calls.next()).await {
            Ok(Some((ip, Ok(answer)))) => {
                state.mark_responsive(ip);
                silent.retain(|(asked, _)| *asked != ip);
                if node.receive_plan(ip, answer).await {
                    break;
                }
            }
            Ok(Some((ip, Err(status)))) => {
                silent.retain(|(asked, _)| *asked != ip);
                let text = status.message();
                node.count_plan_fetch("failed");
                warn!(target: "node", "Plan not fetched from {ip}: {text}.");
            }
            Err(_) if Instant::now() >= give_up_at => break,
            Ok(None) | Err(_) => {}
        }
    }
    for (ip, since) in silent {
        let after = since.elapsed();
        if after < HEDGE_DELAY {
            continue;
        }
        state.mark_unresponsive(ip);
        node.count_plan_fetch("timed out");
        let after_ms = after.as_millis() as u64;
        warn!(
            target: "node", after_ms,
            "Plan not fetched from {ip}: no answer yet."
        );
    }
}

/// Asks a node for its plan. Returns when the answer begins.
async fn ask(
    port: u16,
    ip: Ipv4Addr,
) -> (Ipv4Addr, Result<Streaming<PutPlan>, Status>) {
    let address = SocketAddr::from((ip, port));
    let mut client = NodesClient::new(connect(address))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let answer = client.fetch(Empty {}).await;
    (ip, answer.map(tonic::Response::into_inner))
}

impl Node {
    /// Receives a plan and puts it in force. Returns true if it is newer than
    /// the plan in force.
    async fn receive_plan(
        &self,
        from: Ipv4Addr,
        mut answer: Streaming<PutPlan>,
    ) -> bool {
        let state = &self.plan_fetch;
        let started_at = Instant::now();
        // A transfer that exceeds a fixed timeout exceeds it each time, so a
        // node with a slow link would never get a large plan.
        let limit = state.transfer_timeout();
        let text = match timeout(limit, answer.message()).await {
            Ok(Ok(Some(plan))) => {
                state.transfer_timeouts.store(0, Ordering::Relaxed);
                self.count_plan_fetch("fetched");
                info!(
                    target: "node",
                    plan = plan.version,
                    bytes = plan.source.len(),
                    after_ms = started_at.elapsed().as_millis() as u64,
                    "Plan fetched from {from}."
                );
                let is_newer = plan.version > self.gateway.plan_version();
                self.adopt(Arc::new(plan));
                return is_newer;
            }
            Ok(Ok(None)) => "empty answer".to_owned(),
            Ok(Err(status)) => status.message().to_owned(),
            Err(_) => {
                state.transfer_timeouts.fetch_add(1, Ordering::Relaxed);
                "transfer timed out".to_owned()
            }
        };
        self.count_plan_fetch("failed");
        let limit_ms = limit.as_millis() as u64;
        warn!(
            target: "node", limit_ms,
            "Plan not fetched from {from}: {text}."
        );
        false
    }

    fn count_plan_fetch(&self, outcome: &'static str) {
        let fetches = &self.gateway.metrics.plan_fetches;
        fetches.get_or_create(&PlanFetch { outcome }).inc();
    }
}
