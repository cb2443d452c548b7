//! A gateway that forwards callers' requests to replicas unchanged.
//!
//! | module | does |
//! |---|---|
//! | [`server`] | serves HTTP connections from callers |
//! | [`plan`] | validates routes, services, teams and limits |
//! | `newest_plan` | knows the newest plan that any node holds |
//! | [`dialect`] | reads and writes the headers that the gateway interprets |
//! | `admission` | shares the capacity of the replicas between teams |
//! | `bodies` | limits the memory that request bodies take together |
//! | `accept` | checks a request before it is sent to a replica |
//! | [`forward`] | serves one request from its head to its answer |
//! | `dispatch` | sends a request to replicas until one answers |
//! | `attempt` | attempts of one request in flight at several replicas |
//! | `flight` | tracks an attempt in flight for the router |
//! | `relay` | streams answers to callers |
//! | `ending` | tells crashed replicas from broken connections |
//! | [`events`] | splits streams at event boundaries |
//! | `memory` | remembers which prompt parts replicas were sent recently |
//! | `notices` | records what replicas say about further requests |
//! | `peer_call` | forwards requests through another node |
//! | `probes` | finds out whether the replicas can be reached |
//! | `origins` | keeps records of where streams began, at other nodes as well |
//! | `route_changes` | knows the routes whose services have changed lately |
//! | `resume` | decides where a stream goes on that a caller resumes |
//! | `retries` | claims retries from the retry budgets |
//! | [`rollouts`] | sends a new software version its share of the requests |
//! | `overload` | refuses requests that replicas can't start in time |
//! | `suspects` | tracks requests that may have crashed replicas |
//! | `stop` | ends requests that a stopping node can no longer answer |
//! | `speeds` | exchanges evidence about the speed of replicas, and logs it |
//! | `survival` | tells whether replicas survived what they answered |
//! | [`parts`] | maps the parts of a prompt to cache blocks |
//! | `quotas` | enforces the teams' quotas |
//! | `rate_limits` | tracks the rate limits that replicas announce |
//! | [`fleet`] | the replicas of each service, with a router for each |
//! | [`upstream`] | connections to replicas |
//! | [`refusal`] | error answers that the gateway itself sends |
//!
//! The decision algorithms are in [`crate::decide`].

mod accept;
mod admission;
mod attempt;
mod bodies;
pub mod dialect;
mod dispatch;
mod ending;
pub mod events;
pub mod fleet;
mod flight;
pub mod forward;
mod memory;
mod newest_plan;
mod notices;
mod origins;
mod overload;
pub mod parts;
mod peer_call;
pub mod plan;
pub(crate) mod probes;
mod proof;
mod quotas;
mod rate_limits;
pub mod refusal;
mod relay;
mod resume;
mod retries;
pub mod rollouts;
mod route_changes;
pub mod server;
mod speeds;
mod stop;
mod survival;
mod suspects;
pub mod upstream;

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use rand::RngExt;
use tokio::{
    sync::{Notify, watch},
    time::{Duration, Instant, sleep, timeout_at},
};
use tracing::info;

pub use self::admission::Admission;
use self::{
    admission::Controllers,
    bodies::Budget,
    dialect::Dialect,
    ending::CrashDetector,
    fleet::Fleet,
    newest_plan::NewestPlan,
    origins::Origins,
    peer_call::PeerCalls,
    plan::{Limits, Plan, Route, Team},
    probes::PathCheck,
    proof::Seals,
    quotas::Quotas,
    rollouts::Rollouts,
    route_changes::RouteChanges,
    stop::Stop,
    survival::UnprovenAnswers,
    upstream::Pool,
};
use crate::{
    board::Cell,
    decide::{
        quarantine::{Quarantine, Subject},
        quota::Tolerance,
        rate_limit::RateLimits,
        retry::{Bound, Peak},
        rollout,
        speed::Switch,
    },
    mesh::{self, table::LocalReport},
    metrics::Metrics,
    timer::Timer,
    util::common,
    wire::{Cached, CrashReport},
};

/// Minimum time between two refreshes of the fleet from the mesh.
///
/// Replicas that appear within it are added together. When three thousand
/// replicas start, each node would otherwise scan all of them once for each.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a node's start in which requests may wait for its initial state.
/// After it the node has all the state that other nodes send it at the start.
const START_PERIOD: Duration = Duration::from_millis(1000);
/// Maximum time that a request waits for a starting node's initial state:
/// twice the time in which other nodes send it.
const MAX_START_WAIT: Duration = Duration::from_millis(300);

common! {
    copy
    /// The windows of time in which usage is counted.
    pub struct UsageWindow {
        /// Length of a window, in ms.
        pub length_ms: u64,
    }
}

/// Options of a [`Gateway`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Data centre of this VM.
    pub data_centre: String,
    /// Bound on retries, over all entries together.
    pub retry_bound: Bound,
    /// Amount by which quotas may be exceeded.
    pub tolerance: Tolerance,
    /// The windows in which usage is counted.
    pub usage_window: UsageWindow,
    /// Memory for the bodies of all requests in flight together, in bytes.
    pub body_memory: usize,
    /// Bounds on roll-outs; without them there are no roll-outs.
    pub rollouts: Option<rollout::Bounds>,
    /// How requests are refused while replicas are overloaded.
    pub admission: Admission,
    /// Whether the speed of each replica counts in routing.
    pub replica_speed: Switch,
}

/// The data path of one node.
pub struct Gateway {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) timer: Timer,
    /// Written by the node. Versions only increase.
    pub(crate) plan: Arc<Cell<Option<Plan>>>,
    newest_plan: NewestPlan,
    pub(crate) connections: Pool,
    /// Connections to other nodes.
    peer_connections: Pool,
    /// This node's requests in flight at other nodes.
    peer_calls: PeerCalls,
    /// Requests of other nodes in flight at this node.
    forwarded_in_flight: Arc<AtomicUsize>,
    /// Port on which other nodes take forwarded requests.
    forward_port: u16,
    /// Notified when a connection to a replica has failed.
    pub(crate) connection_failed: Notify,
    /// Recent checks of whether replicas can be reached. The lock is held
    /// during a check.
    path_checks: tokio::sync::Mutex<Vec<PathCheck>>,
    /// Notified when a service has become reachable or unreachable.
    reach_changed: watch::Sender<()>,
    pub(crate) metrics: Metrics,
    bodies: Budget,
    crash_detector: CrashDetector,
    seals: Seals,
    unproven_answers: UnprovenAnswers,
    origins: Origins,
    route_changes: RouteChanges,
    /// Requests that may have crashed replicas.
    quarantine: Mutex<Quarantine>,
    /// Parts of prompts that may have crashed replicas.
    part_quarantine: Mutex<Quarantine>,
    rate_limits: Mutex<RateLimits>,
    /// Notified when this node learns of a request with several crashes.
    pub(crate) suspects_changed: Notify,
    mesh: std::sync::OnceLock<mesh::Handle>,
    fleet: Mutex<Fleet>,
    quotas: Mutex<Quotas>,
    rollouts: Rollouts,
    /// Set if the nodes share the capacity of the replicas.
    controllers: Option<Mutex<Controllers>>,
    /// True when other nodes may already have been serving when this node
    /// started.
    joins: AtomicBool,
    usage_window: UsageWindow,
    tolerance: Tolerance,
    /// When the quotas were last refreshed from the mesh, in ms.
    quotas_refreshed_at: AtomicU64,
    /// When the fleet was last refreshed from the mesh, in ms.
    fleet_refreshed_at: AtomicU64,
    /// Number of entries that share the slack of the retry budgets.
    entry_peak: Mutex<Peak>,
    /// When the use of retry budgets was last logged, in ms.
    retry_use_logged_at: AtomicU64,
    /// True while a delayed refresh is scheduled.
    is_refresh_scheduled: AtomicBool,
    /// Notified when the plan or the replicas may have changed.
    changed: watch::Sender<()>,
    opened: Instant,
    /// Number of callers' requests accepted since the start.
    accepted_count: AtomicU64,
    stop: Stop,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Gateway").finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates a gateway without a plan. It refuses every request until a plan
    /// is set. All nodes take forwarded requests on `forward_port`.
    pub fn open(
        options: &Options,
        dialect: Arc<dyn Dialect>,
        timer: Timer,
        forward_port: u16,
    ) -> Gateway {
        Gateway {
            dialect,
            timer,
            plan: Arc::new(Cell::new(None)),
            newest_plan: NewestPlan::default(),
            connections: Pool::default(),
            peer_connections: Pool::default(),
            peer_calls: PeerCalls::default(),
            forwarded_in_flight: Arc::default(),
            forward_port,
            connection_failed: Notify::new(),
            path_checks: tokio::sync::Mutex::default(),
            reach_changed: watch::Sender::new(()),
            metrics: Metrics::open(),
            bodies: Budget::open(options.body_memory),
            crash_detector: CrashDetector::default(),
            seals: Seals::default(),
            unproven_answers: UnprovenAnswers::default(),
            origins: Origins::default(),
            route_changes: RouteChanges::default(),
            quarantine: Mutex::default(),
            part_quarantine: Mutex::new(Quarantine::of(Subject::Part)),
            rate_limits: Mutex::default(),
            suspects_changed: Notify::new(),
            mesh: std::sync::OnceLock::new(),
            fleet: Mutex::new(
                Fleet::open(&options.data_centre, options.retry_bound)
                    .with_speed_switch(options.replica_speed),
            ),
            quotas: Mutex::default(),
            rollouts: Rollouts::open(options.rollouts),
            controllers: Controllers::open(options.admission),
            joins: AtomicBool::new(false),
            usage_window: options.usage_window,
            tolerance: options.tolerance,
            quotas_refreshed_at: AtomicU64::new(0),
            fleet_refreshed_at: AtomicU64::new(0),
            entry_peak: Mutex::default(),
            retry_use_logged_at: AtomicU64::new(0),
            is_refresh_scheduled: AtomicBool::new(false),
            changed: watch::Sender::new(()),
            opened: Instant::now(),
            accepted_count: AtomicU64::new(0),
            stop: Stop::default(),
        }
    }

    /// Sets the mesh handle. Calls after the first have no effect.
    ///
    /// The mesh itself needs the gateway, so the handle is set after `open`.
    pub fn set_mesh(&self, mesh: mesh::Handle) {
        let _ = self.mesh.set(mesh);
    }

    /// Ends all requests without an answer at a time, those in flight too.
    ///
    /// Their callers are told whether they may have run. Answers that have
    /// begun go on.
    pub fn end_requests_at(&self, ends_at: Instant) {
        self.stop.set(ends_at);
    }

    /// Waits until the time that [`Gateway::end_requests_at`] has set.
    pub async fn wait_for_stop(&self) {
        self.stop.wait().await;
    }

    /// Applies a plan if it is newer than the current one.
    pub fn set_plan(&self, plan: Plan) {
        let version = plan.version();
        if version <= self.plan_version() {
            return;
        }
        let delay_ms = self.plan_delay_ms(version);
        if let Some(delay_ms) = delay_ms {
            let delay_s = delay_ms as f64 / 1000.0;
            self.metrics.plan_delay.observe(delay_s);
        }
        info!(
            target: "gateway",
            plan = version,
            before = self.plan_version(),
            routes = plan.routes().len(),
            delay_ms,
            "Applied a new plan."
        );
        self.metrics.revision.set(version as i64);
        if let Some(before) = self.plan.read().as_ref() {
            let now = self.timer.now();
            self.route_changes.record(now, before, &plan);
        }
        self.plan.write(Some(plan));
        self.refresh();
        self.changed.send_replace(());
    }

    /// Returns the version of the current plan, 0 before the first.
    pub fn plan_version(&self) -> u64 {
        self.plan.read().as_ref().as_ref().map_or(0, Plan::version)
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> Limits {
        let plan = self.plan.read();
        plan.as_ref().as_ref().map(Plan::limits).unwrap_or_default()
    }

    /// Updates replicas, rate limits and quotas from the mesh.
    pub fn refresh(&self) {
        let Some(mesh) = self.mesh.get() else { return };
        let now = self.timer.now();
        self.fleet_refreshed_at.store(now, Ordering::Relaxed);
        let plan = self.plan.read();
        self.record_proven_answers();
        self.expire_quarantine();
        self.origins.expire(now);
        let mut fleet = self.fleet();
        let mut table = mesh.table();
        self.record_entries(now, &mut table);
        fleet.refresh(now, &table, plan.as_ref().as_ref());
        let backing_off = fleet.backing_off(now) as i64;
        self.metrics.backing_off_replicas.set(backing_off);
        self.observe_speeds(now, &mut fleet);
        self.observe_retry_usage(now, &table, &mut fleet);
        self.update_rate_limit_shares_in(&table, &mut fleet);
        self.connections.retain(|replica| fleet.has_replica(replica));
        self.seals.retain(|replica| fleet.knows(replica));
        self.refresh_quotas(now, &table, plan.as_ref().as_ref());
        self.refresh_admission(now, &table, &mut fleet);
        drop(table);
        self.changed.send_replace(());
    }

    /// Waits on a node that has just started until `lookup` returns a value.
    ///
    /// Returns `None` when the value is still missing after `MAX_START_WAIT`
    /// or after the end of the start period.
    ///
    /// At its start a node requests the state of other nodes and has plan and
    /// replicas a tenth of a second later. A request refused before that is
    /// retried by its caller after a third of a second or more, which is
    /// beyond the target of most routes.
    pub(crate) async fn wait_at_start<T>(
        &self,
        mut lookup: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        let until =
            (self.opened + START_PERIOD).min(Instant::now() + MAX_START_WAIT);
        let mut changes = self.changed.subscribe();
        loop {
            if let Some(found) = lookup() {
                return Some(found);
            }
            let changed = timeout_at(until, changes.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return None;
            }
        }
    }

    /// Refreshes at once, or after `REFRESH_INTERVAL` if the last refresh
    /// was more recent than that. The delayed refresh covers all changes until
    /// then.
    pub fn refresh_soon(self: &Arc<Gateway>) {
        let interval_ms = REFRESH_INTERVAL.as_millis() as u64;
        let last = self.fleet_refreshed_at.load(Ordering::Relaxed);
        if self.timer.now() >= last + interval_ms {
            return self.refresh();
        }
        if self.is_refresh_scheduled.swap(true, Ordering::Relaxed) {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            sleep(REFRESH_INTERVAL).await;
            gateway.is_refresh_scheduled.store(false, Ordering::Relaxed);
            gateway.refresh();
        });
    }

    /// Returns the report on this node's requests for the other nodes.
    pub fn local_report(&self) -> LocalReport {
        let spent = self.spent();
        let suspects = self.crash_reports(Subject::Request);
        let parts = self.crash_reports(Subject::Part);
        let has_parts = parts != CrashReport::default();
        let limits = self.next_rate_limit_reports();
        let rollouts = self.rollout_report();
        let team_work = self.team_work();
        let window = self.mesh.get().map_or(0, |mesh| {
            let wall_ms = self.corrected_wall_ms(&mesh.table());
            wall_ms / self.usage_window.length_ms.max(1)
        });
        let mut fleet = self.fleet();
        let now = self.timer.now();
        let cached = fleet.next_cached_reports(now);
        LocalReport {
            under: fleet.in_flight(),
            spent,
            work: fleet.work(),
            team_work,
            cached,
            crashes: suspects.crashes,
            suspected: suspects.suspected,
            successes: suspects.successes,
            parts: has_parts.then_some(parts),
            limits,
            rollouts,
            speeds: fleet.next_speed_reports(now),
            begun: self.accepted_count.load(Ordering::Relaxed),
            window,
        }
    }

    /// Records the prompt parts that other nodes have sent to replicas.
    pub fn record_cached_reports(&self, cached: &[Cached]) {
        self.fleet().record_cached_reports(self.timer.now(), cached);
    }

    /// Returns the prompt parts that replicas were sent recently, by this node
    /// or by nodes that reported them.
    pub fn cached(&self) -> Vec<Cached> {
        self.fleet().cached()
    }

    fn entry_peak(&self) -> MutexGuard<'_, Peak> {
        self.entry_peak.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Picks one of the route's services at random, by weight.
    fn draw_service(&self, route: &Route) -> String {
        let total: u64 = route.split.iter().map(|(_, weight)| weight).sum();
        let mut drawn = rand::rng().random_range(0..total.max(1));
        for (service, weight) in &route.split {
            if drawn < *weight {
                return service.clone();
            }
            drawn -= weight;
        }
        String::new()
    }

    /// Counts a request that a replica has begun to answer towards its team's
    /// usage in the current window.
    fn count_began(&self, team: Option<&Team>) {
        let (Some(team), Some(mesh)) = (team, self.mesh.get()) else {
            return;
        };
        let mut table = mesh.table();
        let wall = self.corrected_wall_ms(&table);
        let window = wall / self.usage_window.length_ms.max(1);
        table.count_began(window, &team.name);
    }
}
