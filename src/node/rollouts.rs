//! Roll-outs at a node: orders, reads, and learning of a newer state.
//!
//! Members of the log receive the state from it. Every datagram names the
//! version of the state that its sender obeys, and a node that holds an older
//! one fetches the state from the sender.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use super::{Node, lock};
use crate::{
    control::{ledger::RolloutAction, seat, server::connect},
    mesh::table::State,
    util::common,
    wire::{
        Change, ChangeRollout, Empty, Query, RolloutOutcome, RolloutRecord,
        RolloutState, change, nodes_client::NodesClient, outcome, query,
        query_reply, rollout_outcome,
    },
};

/// Timeout of a change of a roll-out. Operators try another node after about a
/// second, and the answer is due within 5 s.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of a read through the quorum.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time for which the answer to an order waits until all live nodes
/// obey it. Nodes that do not know the order yet send requests to the new
/// version without limit.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time to wait until all live nodes know the state of the roll-outs,
/// before an order is refused. A node learns of it in a round of the mesh.
const SUPPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between two checks of the nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a fetch of the state, which is a few hundred bytes.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer after which another node is asked as well. Busy VMs
/// with an eighth of a core pause for up to a tenth of a second.
const FETCH_HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Maximum time for which a node that did not send a newer state is not asked
/// again, so that others that report it are.
const MAX_FETCH_BACKOFF: Duration = Duration::from_secs(10);
/// Time over which the fetches of a new state are spread, for each other node.
const FETCH_SPREAD_PER_NODE: Duration = Duration::from_millis(1);
/// Interval between two checks of this node's roll-outs.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after its start in which a node may not have heard of all replicas, in
/// ms.
const DISCOVERY_MS: u64 = 1500;

common! {
    /// An operator's order to move a service to a software version.
    pub struct RolloutOrder {
        /// The service.
        pub service: String,
        /// The software version.
        pub to: String,
        /// Time until the roll-out has to be decided, in ms.
        pub duration_ms: u64,
    }
}

impl RolloutOrder {
    fn is_order_of(&self, record: &RolloutRecord) -> bool {
        record.service == self.service
            && record.to == self.to
            && record.duration_ms == self.duration_ms
    }
}

/// The reason why an order or a read has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutError {
    /// The order is invalid. Sending it again fails in the same way.
    Invalid(String),
    /// Another roll-out of the service runs.
    Conflict(String),
    /// It is not known whether the order is accepted.
    NotConfirmed(String),
}

impl fmt::Display for RolloutError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RolloutError::Invalid(text)
            | RolloutError::Conflict(text)
            | RolloutError::NotConfirmed(text) => out.write_str(text),
        }
    }
}

impl std::error::Error for RolloutError {}

/// The nodes that were asked for a newer state since this node learnt one, and
/// when each of them is asked.
#[derive(Debug, Default)]
pub(super) struct Fetching(Mutex<Vec<(Ipv4Addr, Instant)>>);

impl Fetching {
    /// Returns whether a node may be asked after `delay`, and notes that it
    /// is.
    ///
    /// It is not asked again until the others that report the state have had
    /// their turn: the first datagram after a timeout may be its own.
    fn begin(&self, ip: Ipv4Addr, delay: Duration) -> bool {
        let mut asked = lock(&self.0);
        let now = Instant::now();
        asked.retain(|(_, at)| now < *at + MAX_FETCH_BACKOFF);
        let backoff = FETCH_TIMEOUT * asked.len() as u32;
        let is_due = asked.iter().all(|(known, at)| {
            now >= *at + FETCH_HEDGE_DELAY
                && (*known != ip || now >= *at + backoff)
        });
        if is_due {
            asked.retain(|(known, _)| *known != ip);
            asked.push((ip, now + delay));
        }
        is_due
    }

    fn end(&self) {
        lock(&self.0).clear();
    }
}

impl Node {
    pub(super) async fn start_rollout(
        &self,
        order: RolloutOrder,
    ) -> Result<RolloutRecord, RolloutError> {
        if let Err(refusal) = self.check_rollout(&order).await {
            // The order may have been accepted before, when it was valid.
            let state = self.read_rollouts().await?;
            let mut known = state.records.into_iter().rev();
            return known
                .find(|record| order.is_order_of(record))
                .ok_or(refusal);
        }
        let change = ChangeRollout {
            service: order.service.clone(),
            action: RolloutAction::Start as u32,
            to: order.to.clone(),
            duration_ms: order.duration_ms,
            ..ChangeRollout::default()
        };
        let outcome = self.change_rollout(change).await?;
        let record = outcome.record.unwrap_or_default();
        use rollout_outcome::Result as Started;
        match Started::try_from(outcome.result) {
            Ok(Started::Accepted) => {}
            Ok(Started::Conflict) => {
                let text = format!(
                    "a roll-out of {} to {} is running",
                    record.service, record.to
                );
                return Err(RolloutError::Conflict(text));
            }
            Ok(Started::CompletedBefore) => {
                let text = format!(
                    "{} has completed a roll-out of {}",
                    record.service, record.to
                );
                return Err(RolloutError::Invalid(text));
            }
            Ok(Started::Outdated) | Err(_) => {
                let text = "control gave an unknown outcome".to_owned();
                return Err(RolloutError::NotConfirmed(text));
            }
        }
        info!(
            target: "rollout",
            service = record.service,
            to = record.to,
            order = record.order,
            state = record.state_name(),
            duration_ms = record.duration_ms,
            "Order accepted."
        );
        self.wait_until_obeyed(outcome.version + 1).await;
        Ok(record)
    }

    /// Proposes a change of a roll-out, at the present time of day.
    pub(super) async fn change_rollout(
        &self,
        change: ChangeRollout,
    ) -> Result<RolloutOutcome, RolloutError> {
        let wall_ms = self.gateway.rollout_wall_ms();
        let change = ChangeRollout { wall_ms, ..change };
        let change = Change::new(change::Kind::Rollout(change));
        let outcome = self.control.propose(change, CHANGE_TIMEOUT, true).await;
        let outcome = outcome.map_err(not_confirmed)?;
        match outcome.kind {
            Some(outcome::Kind::Rollout(outcome)) => Ok(outcome),
            // A leader of an earlier version ignores the change.
            _ => {
                let text = "the leader does not know roll-outs".to_owned();
                Err(RolloutError::NotConfirmed(text))
            }
        }
    }

    /// Returns the newest state, read through the quorum.
    pub(super) async fn read_rollouts(
        &self,
    ) -> Result<RolloutState, RolloutError> {
        let query = Query { kind: Some(query::Kind::Rollouts(Empty {})) };
        let reply = self.control.read(query, READ_TIMEOUT).await;
        match reply.map_err(not_confirmed)?.kind {
            Some(query_reply::Kind::Rollouts(state)) => Ok(state),
            _ => {
                let text = "the leader does not know roll-outs".to_owned();
                Err(RolloutError::NotConfirmed(text))
            }
        }
    }

    /// Checks an order against the plan, the replicas and the other nodes.
    async fn check_rollout(
        &self,
        order: &RolloutOrder,
    ) -> Result<(), RolloutError> {
        self.check_service(&order.service)?;
        if self.has_only_version(&order.service, &order.to) {
            if self.gateway.timer.now() < DISCOVERY_MS {
                let text = "not all replicas are known yet".to_owned();
                return Err(RolloutError::NotConfirmed(text));
            }
            let text = format!(
                "all replicas of {} have version {}",
                order.service, order.to
            );
            return Err(RolloutError::Invalid(text));
        }
        let deadline = Instant::now() + SUPPORT_TIMEOUT;
        while let Some(ip) = self.node_without(1) {
            if Instant::now() >= deadline {
                let text = format!("node {ip} does not know the roll-outs");
                return Err(RolloutError::NotConfirmed(text));
            }
            sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    fn check_service(&self, service: &str) -> Result<(), RolloutError> {
        let plan = self.gateway.plan.read();
        let Some(plan) = plan.as_ref() else {
            let text = "no configuration is known yet".to_owned();
            return Err(RolloutError::NotConfirmed(text));
        };
        if plan.service(service).is_some() {
            return Ok(());
        }
        let text = format!("unknown service {service:?}");
        match self.gateway.newest_plan_version() > plan.version() {
            true => Err(RolloutError::NotConfirmed(text)),
            false => Err(RolloutError::Invalid(text)),
        }
    }

    fn has_only_version(&self, service: &str, version: &str) -> bool {
        let Some(mesh) = self.mesh.get() else { return false };
        let table = mesh.table();
        let mut replicas = table
            .replicas()
            .iter()
            .filter(|replica| replica.sighting.service == service)
            .filter(|replica| replica.state == State::Ready)
            .peekable();
        replicas.peek().is_some()
            && replicas.all(|replica| replica.sighting.version == version)
    }

    /// Returns a live node that obeys an older state than `known`.
    fn node_without(&self, known: u64) -> Option<Ipv4Addr> {
        let table = self.mesh.get()?.table();
        let now = self.gateway.timer.now();
        let me = Ipv4Addr::from(table.own_peer().ip);
        if self.gateway.known_rollouts() < known {
            return Some(me);
        }
        let mut live = table.live(now);
        let found = live.find(|node| node.peer.rollouts < known);
        found.map(|node| node.ip())
    }

    async fn wait_until_obeyed(&self, known: u64) {
        let deadline = Instant::now() + SPREAD_TIMEOUT;
        while let Some(ip) = self.node_without(known) {
            if Instant::now() >= deadline {
                info!(
                    target: "rollout",
                    %ip, known,
                    "Node does not obey the newest roll-outs yet."
                );
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Obeys a state, and tells other nodes if it is newer.
    pub(super) fn adopt_rollouts(&self, state: Arc<RolloutState>) {
        if self.gateway.adopt_rollouts(state) {
            self.announce_rollouts();
        }
    }

    /// Records that no leader had a newer state than `version` at `at`.
    pub(super) fn confirm_rollouts(&self, version: u64, at: u64) {
        if self.gateway.confirm_rollouts(version, at) {
            self.announce_rollouts();
        }
    }

    fn announce_rollouts(&self) {
        let Some(mesh) = self.mesh.get() else { return };
        let known = self.gateway.known_rollouts();
        mesh.table().own_peer_mut().rollouts = known;
        mesh.request_urgent_round();
    }

    /// Handles the version of the state that another node obeys.
    pub(super) fn receive_known_rollouts(
        self: &Arc<Node>,
        from: Ipv4Addr,
        known: u64,
    ) {
        let held = self.gateway.rollout_state().version + 1;
        if known == held && self.gateway.known_rollouts() == 0 {
            let now = self.gateway.timer.now();
            self.confirm_rollouts(held - 1, now);
        }
        if known <= held {
            return;
        }
        let delay = self.random_rollout_delay();
        if self.rollout_fetch.begin(from, delay) {
            let node = self.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                node.fetch_rollouts(from).await;
            });
        }
    }

    fn random_rollout_delay(&self) -> Duration {
        let Some(mesh) = self.mesh.get() else { return Duration::ZERO };
        let now = self.gateway.timer.now();
        let others = mesh.table().live(now).count() as u32;
        (FETCH_SPREAD_PER_NODE * others).mul_f64(rand::random())
    }

    async fn fetch_rollouts(&self, from: Ipv4Addr) {
        let address = SocketAddr::from((from, self.peer_port));
        let mut client = NodesClient::new(connect(address));
        match timeout(FETCH_TIMEOUT, client.rollouts(Empty {})).await {
            Ok(Ok(state)) => {
                let state = Arc::new(state.into_inner());
                let is_newer =
                    state.version > self.gateway.rollout_state().version;
                self.adopt_rollouts(state);
                if is_newer {
                    self.rollout_fetch.end();
                }
            }
            Ok(Err(status)) => warn!(
                target: "rollout",
                "State not fetched from {from}: {}.", status.message()
            ),
            Err(_) => warn!(
                target: "rollout",
                "State not fetched from {from}: timed out."
            ),
        }
    }
}

fn not_confirmed(error: impl fmt::Display) -> RolloutError {
    RolloutError::NotConfirmed(error.to_string())
}

/// Judges the versions on trial until the node stops, and moves the roll-outs
/// on while it leads.
pub(super) async fn run(node: Arc<Node>, seat: Option<seat::Handle>) {
    while !node.has_stopped() {
        sleep(TICK_INTERVAL).await;
        node.gateway.judge_rollouts();
        let Some(seat) = &seat else { continue };
        let at = node.gateway.timer.now();
        let Some(leadership) = seat.leadership().await else { continue };
        // Read after the leadership: a newer state can't have been committed
        // elsewhere before `at`.
        let state = seat.view().borrow().rollouts.clone();
        let version = state.version;
        node.adopt_rollouts(state);
        node.confirm_rollouts(version, at);
        for change in node.gateway.rollout_actions(leadership.leading_ms) {
            node.decide_rollout(change).await;
        }
    }
}

impl Node {
    async fn decide_rollout(&self, change: ChangeRollout) {
        let (service, order) = (change.service.clone(), change.order);
        let (action, step) = (change.action, change.step);
        let reason = change.reason.clone();
        match self.change_rollout(change).await {
            Ok(outcome) => info!(
                target: "rollout",
                service, order, action, step, reason,
                result = outcome.result,
                version = outcome.version,
                "Decided on a roll-out."
            ),
            Err(error) => warn!(
                target: "rollout",
                service, order, action, step, reason,
                "Decision on a roll-out not confirmed: {error}."
            ),
        }
    }
}
