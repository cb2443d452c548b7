//! Plans at one node: taken from operators, read back, fetched from others.

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
        server::{MESSAGE_LIMIT, connect},
    },
    gateway::plan::{Invalid, Plan},
    mesh::table,
    metrics::PlanRead,
    packing,
    verdict::Verdict,
    wire::{
        Change, Empty, PlanOutcome, PlanQuery, PutPlan, Query, change,
        nodes_client::NodesClient, outcome, query, query_reply,
    },
};

/// How long an operator's change may take. Operators go on to another node
/// after a second or so; by then the change is decided or will be soon.
const PUT_LIMIT: Duration = Duration::from_millis(2500);
/// How long a read through the quorum may take, for the same reason.
const READ_LIMIT: Duration = Duration::from_millis(800);
/// An operator is sent to another VM where a text would take longer over this
/// one's link, in ms. Operators wait for a second, and callers' answers need
/// the link as well.
const LONG_ANSWER_MS: u64 = 200;
/// So many times wider a link has to be to send an operator there.
const WIDER: u32 = 2;
/// How long fetching a plan from a peer may take at first; a packed plan of
/// 0.8 MB takes 60 ms over ten megabits.
const FETCH_LIMIT: Duration = Duration::from_millis(1000);
/// How often that is doubled, as a plan may take longer than the limit: eight
/// seconds at most, so that a silent peer is not waited for forever.
const FETCH_DOUBLINGS: u32 = 3;
/// For each other node, over how much time the fetches of a new plan are
/// spread. A node with 100 Mbit/s hands out a packed plan of 0.8 MB in 6 ms,
/// and several do.
const SPREAD: Duration = Duration::from_millis(2);
/// How often a node looks for somebody else than the leader to fetch from:
/// the other members hear of a commit with the leader's next heartbeat.
const LOOKS: u32 = 4;
/// Between two such looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Why a plan was not put in force, as far as known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutError {
    /// It is wrong, and will be whenever it is sent.
    Invalid(Invalid),
    /// Control did not take it, or did not say.
    Away(Verdict, String),
}

impl fmt::Display for PutError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PutError::Invalid(invalid) => invalid.fmt(out),
            PutError::Away(verdict, text) => {
                write!(out, "{}: {text}", verdict.as_str())
            }
        }
    }
}

impl std::error::Error for PutError {}

impl Node {
    pub(super) async fn read_plan(&self) -> Result<PutPlan, Error> {
        let held = lock(&self.source).clone().unwrap_or_default();
        let asked = PlanQuery { held: held.version };
        let query = Query { kind: Some(query::Kind::Plan(asked)) };
        let reply = self.control.read(query, READ_LIMIT).await?;
        let Some(query_reply::Kind::Plan(plan)) = reply.kind else {
            return Err(Error::Refused("unexpected reply".to_owned()));
        };
        // A version stands for one text, so what is held here is what the
        // leader left out.
        let same = plan.version == held.version && plan.source.is_empty();
        let kept = if same { &held.source } else { &plan.source };
        let source = packing::unpack(kept)
            .map_err(|error| Error::Refused(error.to_string()))?
            .into_owned();
        Ok(PutPlan { version: plan.version, source })
    }

    /// See [`super::Handle::faster_reader`]: the leader, which has just named
    /// the newest plan, if its link is wider by far.
    ///
    /// Symptom without it: a plan of a megabyte can be read at VMs with wide
    /// links only, and one in fifteen has one. It is held everywhere, but
    /// takes a second over ten megabits.
    pub(super) fn faster_reader(&self, bytes: usize) -> Option<Ipv4Addr> {
        let table = self.mesh.get()?.table();
        let own = table.own_peer();
        let bits = bytes as u64 * 8;
        let takes_ms = bits / (u64::from(own.link_mbps).max(1) * 1000);
        if own.link_mbps == 0 || takes_ms <= LONG_ANSWER_MS {
            return None;
        }
        let leader = u32::from(*seat::address_of(own.leader).ip());
        let wide = |node: &&table::Node| {
            node.peer.ip == leader
                && node.peer.link_mbps >= WIDER * own.link_mbps
        };
        let now = self.gateway.timer.now();
        table.live(now).find(wide).map(table::Node::ip)
    }

    pub(super) fn note_read(
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
        let asked = Instant::now();
        let draft = (self.read_plan)(source).map_err(PutError::Invalid)?;
        let plan = Plan::check(draft).map_err(PutError::Invalid)?;
        let version = plan.version();
        let record = PutPlan { version, source: packing::pack(source) };
        let change = Change::new(change::Kind::PutPlan(record));
        let outcome = self.control.propose(change, PUT_LIMIT, true).await;
        let outcome = outcome.map_err(|error| {
            PutError::Away(error.verdict(), error.to_string())
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
                    after_ms = asked.elapsed().as_millis() as u64,
                    "Plan accepted."
                );
                Ok(held)
            }
            _ => {
                let text = "control gave no outcome".to_owned();
                Err(PutError::Away(Verdict::MayHaveRun, text))
            }
        }
    }

    /// Puts a committed plan in force, if it is newer.
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
                *lock(&self.source) = Some(record);
                self.gateway.set_plan(plan);
                self.say_serving();
            }
            // It was checked before it was committed, so this is a node of
            // another version. It goes on with the plan that it can read.
            Err(invalid) => warn!(
                target: "node",
                plan = record.version,
                "Can't read a committed plan: {invalid}."
            ),
        }
    }
}

/// Fetches a newer plan from one of those that name it, after a random pause.
///
/// The leader is the first to name it. Without the pause seventy nodes asked
/// it within milliseconds: its heartbeats waited behind the plans that it sent,
/// and the others elected another leader, which met the same.
pub(super) async fn fetch_newer(node: Arc<Node>) {
    sleep(spread(&node)).await;
    for look in 1..=LOOKS {
        let (others, leader) = holders(&node);
        // Any of them: the one with the newest may just be stopping.
        let from = others.choose(&mut rand::rng()).copied();
        let last = look == LOOKS || !has_other_members(&node);
        match from.or(leader.filter(|_| last)) {
            Some(from) => return fetch(node, from).await,
            // It has come in through this node's own member.
            None if leader.is_none() => break,
            None => sleep(LOOK_PAUSE).await,
        }
    }
    node.fetching.store(false, Ordering::Relaxed);
}

fn spread(node: &Node) -> Duration {
    let Some(mesh) = node.mesh.get() else { return Duration::ZERO };
    let now = node.gateway.timer.now();
    let others = mesh.table().live(now).count();
    (SPREAD * others as u32).mul_f64(rand::random())
}

/// Who names a newer plan: all but the leader, and the leader.
fn holders(node: &Node) -> (Vec<Ipv4Addr>, Option<Ipv4Addr>) {
    let Some(mesh) = node.mesh.get() else { return (Vec::new(), None) };
    let table = mesh.table();
    let held = node.gateway.plan_version();
    let leader = *seat::address_of(table.own_peer().leader).ip();
    let now = node.gateway.timer.now();
    let newer = table.live(now).filter(|one| one.peer.plan_version > held);
    let (leader, others): (Vec<_>, Vec<_>) =
        newer.map(table::Node::ip).partition(|ip| *ip == leader);
    (others, leader.first().copied())
}

fn has_other_members(node: &Node) -> bool {
    let Some(mesh) = node.mesh.get() else { return false };
    let table = mesh.table();
    let now = node.gateway.timer.now();
    table.live(now).filter(|one| one.peer.has_disk).count() > 1
}

/// Fetches a plan from a peer.
pub(super) async fn fetch(node: Arc<Node>, from: Ipv4Addr) {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address))
        .max_decoding_message_size(MESSAGE_LIMIT);
    let asked = Instant::now();
    // What takes too long once takes too long each time; a fixed limit would
    // keep a long plan from a node with a narrow link for good.
    let slow = node.slow_fetches.load(Ordering::Relaxed);
    let limit = FETCH_LIMIT * (1 << slow.min(FETCH_DOUBLINGS));
    match timeout(limit, client.fetch(Empty {})).await {
        Ok(Ok(reply)) => {
            node.slow_fetches.store(0, Ordering::Relaxed);
            let plan = reply.into_inner();
            info!(
                target: "node",
                plan = plan.version,
                bytes = plan.source.len(),
                after_ms = asked.elapsed().as_millis() as u64,
                "Plan from {from}."
            );
            node.adopt(Arc::new(plan));
        }
        Ok(Err(status)) => {
            let text = status.message();
            warn!(target: "node", "No plan from {from}: {text}.");
        }
        Err(_) => {
            node.slow_fetches.fetch_add(1, Ordering::Relaxed);
            let limit_ms = limit.as_millis() as u64;
            warn!(target: "node", limit_ms, "No plan from {from}: silent.");
        }
    }
    node.fetching.store(false, Ordering::Relaxed);
}
