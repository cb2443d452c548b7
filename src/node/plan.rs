//! Plans at a node: submitting them to the log, reading them back, and
//! applying them.

use std::{fmt, net::Ipv4Addr, sync::Arc, time::Duration};

use tokio::time::Instant;
use tracing::{info, warn};

use super::{Node, lock};
use crate::{
    control::{client::Error, seat},
    gateway::plan::{Invalid, Plan},
    mesh::table,
    metrics::PlanRead,
    packing,
    verdict::Verdict,
    wire::{
        Change, PlanOutcome, PlanQuery, PutPlan, Query, change, outcome,
        query, query_reply,
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
