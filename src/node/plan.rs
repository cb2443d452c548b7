//! Plans at a node: submitting them to the log, reading them back, and
//! fetching them from other nodes.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::{Node, lock};
use crate::{
    control::{
        client::Error,
        seat,
        server::{MAX_MESSAGE_BYTES, connect},
    },
    gateway::plan::{Invalid, Plan},
    mesh::table,
    metrics::{PlanFetch, PlanRead},
    packing,
    verdict::Verdict,
    wire::{
        Change, Empty, PlanOutcome, PlanQuery, PutPlan, Query, change,
        nodes_client::NodesClient, outcome, query, query_reply,
    },
};

/// Timeout of an operator's change. Operators try another node after about a
/// second; by then the change is decided or soon will be.
const PUT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of a read through the quorum, for the same reason.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time to send a plan to an operator over this VM's link, in ms. For
/// a longer transfer the operator is redirected to another VM. Operators wait
/// for a second, and callers' answers need the link as well.
const MAX_ANSWER_TRANSFER_MS: u64 = 200;
/// Minimum ratio of another VM's bandwidth to this VM's for operators to be
/// redirected there.
const MIN_BANDWIDTH_RATIO: u32 = 2;
/// Initial timeout of a plan fetch from a peer. A packed plan of 0.8 MB takes
/// 60 ms over ten megabits.
const INITIAL_FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of times that the fetch timeout is doubled, because a plan
/// may take longer than the initial timeout. The timeout is eight seconds at
/// most, so that a node does not wait forever for a silent peer.
const MAX_FETCH_TIMEOUT_DOUBLINGS: u32 = 3;
/// Time over which the fetches of a new plan are spread, for each other node.
/// A node with 100 Mbit/s sends a packed plan of 0.8 MB in 6 ms, and several
/// nodes send it at the same time.
const FETCH_SPREAD_PER_NODE: Duration = Duration::from_millis(2);
/// Maximum number of checks for a peer other than the leader to fetch from.
/// The other members learn of a commit with the leader's next heartbeat.
const MAX_HOLDER_CHECKS: u32 = 4;
/// Interval between these checks.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The reason why a plan is not known to be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutError {
    /// The plan is invalid. Sending it again fails in the same way.
    Invalid(Invalid),
    /// Control rejected the plan or did not answer.
    NotConfirmed(Verdict, String),
}

impl fmt::Display for PutError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PutError::Invalid(invalid) => invalid.fmt(out),
            PutError::NotConfirmed(verdict, text) => {
                write!(out, "{}: {text}", verdict.as_str())
            }
        }
    }
}

impl std::error::Error for PutError {}

impl Node {
    pub(super) async fn read_plan(&self) -> Result<PutPlan, Error> {
        let held = lock(&self.plan_record).clone().unwrap_or_default();
        let plan_query = PlanQuery { held: held.version };
        let query = Query { kind: Some(query::Kind::Plan(plan_query)) };
        let reply = self.control.read(query, READ_TIMEOUT).await?;
        let Some(query_reply::Kind::Plan(plan)) = reply.kind else {
            return Err(Error::Refused("unexpected reply".to_owned()));
        };
        // A version identifies one text, so the text that the leader omitted
        // is the text that this node holds.
        let is_held = plan.version == held.version && plan.source.is_empty();
        let packed = if is_held { &held.source } else { &plan.source };
        let source = packing::unpack(packed)
            .map_err(|error| Error::Refused(error.to_string()))?
            .into_owned();
        Ok(PutPlan { version: plan.version, source })
    }

    /// See [`super::Handle::redirect_target`]. Returns the leader, which has
    /// just confirmed the newest plan, if its link is fast enough.
    ///
    /// Without the redirect, operators can read a plan of a megabyte only at
    /// VMs with fast links, which are one in fifteen. Every node holds the
    /// plan, but sending it takes a second over ten megabits.
    pub(super) fn redirect_target(&self, bytes: usize) -> Option<Ipv4Addr> {
        let table = self.mesh.get()?.table();
        let own = table.own_peer();
        let bits = bytes as u64 * 8;
        let transfer_ms = bits / (u64::from(own.link_mbps).max(1) * 1000);
        if own.link_mbps == 0 || transfer_ms <= MAX_ANSWER_TRANSFER_MS {
            return None;
        }
        let leader = u32::from(*seat::member_address(own.leader).ip());
        let is_faster_leader = |node: &&table::Node| {
            node.peer.ip == leader
                && node.peer.link_mbps >= MIN_BANDWIDTH_RATIO * own.link_mbps
        };
        let now = self.gateway.timer.now();
        table.live(now).find(is_faster_leader).map(table::Node::ip)
    }

    pub(super) fn record_read(
        &self,
        read: &Result<PutPlan, Error>,
        after: Duration,
    ) {
        let after_ms = after.as_millis() as u64;
        let outcome = match read {
            Ok(plan) => {
                let bytes = plan.source.len();
                info!(
                    target: "node",
                    plan = plan.version, bytes, after_ms, "Plan read."
                );
                "read"
            }
            Err(error) => {
                warn!(target: "node", after_ms, "Plan not read: {error}.");
                error.verdict().as_str()
            }
        };
        self.gateway
            .metrics
            .plan_reads
            .get_or_create(&PlanRead { outcome })
            .inc();
    }

    pub(super) async fn put_plan(
        &self,
        source: &[u8],
    ) -> Result<u64, PutError> {
        let started_at = Instant::now();
        let draft = (self.read_plan)(source).map_err(PutError::Invalid)?;
        let plan = Plan::check(draft).map_err(PutError::Invalid)?;
        let version = plan.version();
        let record = PutPlan { version, source: packing::pack(source) };
        let change = Change::new(change::Kind::PutPlan(record));
        let outcome = self.control.propose(change, PUT_TIMEOUT, true).await;
        let outcome = outcome.map_err(|error| {
            PutError::NotConfirmed(error.verdict(), error.to_string())
        })?;
        match outcome.kind {
            Some(outcome::Kind::Plan(PlanOutcome { version: held }))
                if held > 0 =>
            {
                info!(
                    target: "node",
                    plan = version,
                    held,
                    bytes = source.len(),
                    after_ms = started_at.elapsed().as_millis() as u64,
                    "Plan accepted."
                );
                Ok(held)
            }
            _ => {
                let text = "control gave no outcome".to_owned();
                Err(PutError::NotConfirmed(Verdict::MayHaveRun, text))
            }
        }
    }

    fn count_plan_fetch(&self, outcome: &'static str) {
        let fetches = &self.gateway.metrics.plan_fetches;
        fetches.get_or_create(&PlanFetch { outcome }).inc();
    }

    /// Puts a committed plan in force if it is newer than the plan in force.
    pub(super) fn adopt(&self, record: Arc<PutPlan>) {
        if record.version <= self.gateway.plan_version() {
            return;
        }
        let text = packing::unpack(&record.source);
        let read = text
            .map_err(Invalid::unreadable)
            .and_then(|text| (self.read_plan)(&text))
            .and_then(Plan::check);
        match read {
            Ok(plan) => {
                *lock(&self.plan_record) = Some(record);
                self.gateway.set_plan(plan);
                self.announce_serving();
            }
            // The plan was checked before it was committed, so this node runs
            // another version of the program. It keeps the plan that it has.
            Err(invalid) => warn!(
                target: "node",
                plan = record.version,
                "Committed plan not readable: {invalid}."
            ),
        }
    }
}

/// Fetches a newer plan from a peer that reports it, after a random delay.
///
/// The leader is the first to report a new plan. Without the delay, seventy
/// nodes fetched it from the leader within milliseconds. The leader's
/// heartbeats waited behind the plans that it sent, the other members elected
/// another leader, and that leader was overloaded in the same way.
pub(super) async fn fetch_newer(node: Arc<Node>) {
    sleep(random_fetch_delay(&node)).await;
    for check in 1..=MAX_HOLDER_CHECKS {
        let (others, leader) = find_plan_holders(&node);
        // A random peer, because the one with the newest plan may be stopping.
        let from = others.choose(&mut rand::rng()).copied();
        let use_leader =
            check == MAX_HOLDER_CHECKS || !has_several_members(&node);
        match from.or(leader.filter(|_| use_leader)) {
            Some(from) => return fetch(node, from).await,
            // This node's own member has committed the plan meanwhile.
            None if leader.is_none() => break,
            None => sleep(HOLDER_CHECK_INTERVAL).await,
        }
    }
    node.is_fetching_plan.store(false, Ordering::Relaxed);
}

fn random_fetch_delay(node: &Node) -> Duration {
    let Some(mesh) = node.mesh.get() else { return Duration::ZERO };
    let now = node.gateway.timer.now();
    let others = mesh.table().live(now).count();
    (FETCH_SPREAD_PER_NODE * others as u32).mul_f64(rand::random())
}

/// Returns the live peers that report a newer plan: first all but the leader,
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

/// Fetches a plan from a peer and puts it in force if it is newer.
pub(super) async fn fetch(node: Arc<Node>, from: Ipv4Addr) {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let started_at = Instant::now();
    // A transfer that exceeds a fixed timeout exceeds it each time, so a node
    // with a slow link would never get a large plan.
    let timeouts = node.fetch_timeouts.load(Ordering::Relaxed);
    let limit = INITIAL_FETCH_TIMEOUT
        * (1 << timeouts.min(MAX_FETCH_TIMEOUT_DOUBLINGS));
    match timeout(limit, client.fetch(Empty {})).await {
        Ok(Ok(reply)) => {
            node.fetch_timeouts.store(0, Ordering::Relaxed);
            node.count_plan_fetch("fetched");
            let plan = reply.into_inner();
            info!(
                target: "node",
                plan = plan.version,
                bytes = plan.source.len(),
                after_ms = started_at.elapsed().as_millis() as u64,
                "Plan fetched from {from}."
            );
            node.adopt(Arc::new(plan));
        }
        Ok(Err(status)) => {
            let text = status.message();
            node.count_plan_fetch("failed");
            warn!(target: "node", "Plan not fetched from {from}: {text}.");
        }
        Err(_) => {
            node.fetch_timeouts.fetch_add(1, Ordering::Relaxed);
            node.count_plan_fetch("timed out");
            let limit_ms = limit.as_millis() as u64;
            warn!(
                target: "node", limit_ms,
                "Plan not fetched from {from}: timed out."
            );
        }
    }
    node.is_fetching_plan.store(false, Ordering::Relaxed);
}
