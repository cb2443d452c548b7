//! A gateway: passes clients' requests on to replicas, unchanged.
//!
//! | module | does |
//! |---|---|
//! | [`server`] | connections with clients |
//! | [`plan`] | routes, services, teams and limits, checked |
//! | [`dialect`] | the headers that mean something here |
//! | `bodies` | memory for the bodies of all requests |
//! | `accept` | what is checked before any replica is asked |
//! | [`forward`] | one request at the replicas |
//! | `flight` | a request under way, as the router counts it |
//! | `relay` | answers that are passed on as they come |
//! | `ending` | whether a replica has ended, when a connection broke |
//! | [`events`] | streams cut where an event ends |
//! | `memory` | what replicas have been sent lately |
//! | `overload` | requests that replicas can't take now |
//! | `suspects` | requests that may have ended replicas |
//! | [`parts`] | prompts that come in parts |
//! | `quotas` | what teams may still use |
//! | `rate_limits` | what replicas say of the rate that they take |
//! | [`fleet`] | the replicas of each service, with a router for each |
//! | [`upstream`] | connections with replicas |
//! | [`refusal`] | answers of the gateway's own |
//!
//! What it decides by stands in [`crate::decide`].

mod accept;
mod bodies;
pub mod dialect;
mod ending;
pub mod events;
pub mod fleet;
mod flight;
pub mod forward;
mod memory;
mod overload;
pub mod parts;
pub mod plan;
mod quotas;
mod rate_limits;
pub mod refusal;
mod relay;
pub mod server;
mod suspects;
pub mod upstream;

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use rand::RngExt;
use tokio::{
    sync::{Notify, watch},
    time::{Duration, Instant, sleep, timeout_at},
};
use tracing::info;

use self::{
    bodies::Bodies,
    dialect::Dialect,
    ending::Endings,
    fleet::Fleet,
    plan::{Plan, Route, Team},
    quotas::Quotas,
    upstream::Lines,
};
use crate::{
    board::Cell,
    decide::{
        quarantine::Quarantine, quota::Tolerance, rate_limit::RateLimits,
        retry::Bound,
    },
    mesh::{self, table::Own},
    metrics::Metrics,
    timer::Timer,
    util::{common, wall_ms},
    wire::Cached,
};

/// Replicas that appear within this time are taken over together: with three
/// thousand that start, each node would else look at all of them for each.
const REFRESH_PAUSE: Duration = Duration::from_millis(50);

/// A node that was started so long ago knows all that it will.
const STARTING: Duration = Duration::from_millis(1000);
/// The longest that a request waits for what a node lacks at its start: twice
/// what others take to tell it.
const START_WAIT: Duration = Duration::from_millis(300);

common! {
    copy
    /// How usage is counted.
    pub struct Windows {
        /// The length of a window, in ms.
        pub length_ms: u64,
    }
}

/// How to run a gateway.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where this VM is.
    pub data_centre: String,
    /// What repeats are allowed over all entries.
    pub repeats: Bound,
    /// By how much quotas may be exceeded.
    pub tolerance: Tolerance,
    /// How usage is counted.
    pub windows: Windows,
    /// Memory for the bodies of all requests under way, in bytes.
    pub body_memory: usize,
}

/// The data path of one node.
pub struct Gateway {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) timer: Timer,
    /// Written by the node; versions only grow.
    pub(crate) plan: Arc<Cell<Option<Plan>>>,
    pub(crate) lines: Lines,
    pub(crate) metrics: Metrics,
    bodies: Bodies,
    endings: Endings,
    quarantine: Mutex<Quarantine>,
    rate_limits: Mutex<RateLimits>,
    /// A request with several crashes became known.
    pub(crate) has_suspects: Notify,
    mesh: std::sync::OnceLock<mesh::Handle>,
    fleet: Mutex<Fleet>,
    quotas: Mutex<Quotas>,
    /// This node has started among others.
    joins: AtomicBool,
    windows: Windows,
    tolerance: Tolerance,
    /// When the mesh was last looked at.
    refreshed_at: AtomicU64,
    /// When replicas were last taken over from the mesh.
    renewed_at: AtomicU64,
    /// They will be in a moment.
    is_due: AtomicBool,
    /// Plan or replicas may have changed.
    changed: watch::Sender<()>,
    opened: Instant,
    /// Callers' requests that were accepted.
    begun: AtomicU64,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.debug_struct("Gateway").finish_non_exhaustive()
    }
}

impl Gateway {
    /// Starts without a plan; every request is refused until there is one.
    pub fn open(
        options: &Options,
        dialect: Arc<dyn Dialect>,
        timer: Timer,
    ) -> Gateway {
        Gateway {
            dialect,
            timer,
            plan: Arc::new(Cell::new(None)),
            lines: Lines::default(),
            metrics: Metrics::open(),
            bodies: Bodies::open(options.body_memory),
            endings: Endings::default(),
            quarantine: Mutex::default(),
            rate_limits: Mutex::default(),
            has_suspects: Notify::new(),
            mesh: std::sync::OnceLock::new(),
            fleet: Mutex::new(Fleet::open(
                &options.data_centre,
                options.repeats,
            )),
            quotas: Mutex::default(),
            joins: AtomicBool::new(false),
            windows: options.windows,
            tolerance: options.tolerance,
            refreshed_at: AtomicU64::new(0),
            renewed_at: AtomicU64::new(0),
            is_due: AtomicBool::new(false),
            changed: watch::Sender::new(()),
            opened: Instant::now(),
            begun: AtomicU64::new(0),
        }
    }

    /// Joins the mesh, which also needs the gateway; once.
    pub fn set_mesh(&self, mesh: mesh::Handle) {
        let _ = self.mesh.set(mesh);
    }

    /// Puts a plan in force, if it is newer than the one that is.
    pub fn set_plan(&self, plan: Plan) {
        let version = plan.version();
        if version <= self.plan_version() {
            return;
        }
        info!(
            target: "gateway",
            plan = version,
            before = self.plan_version(),
            routes = plan.routes().len(),
            "New plan in force."
        );
        self.metrics.revision.set(version as i64);
        self.plan.write(Some(plan));
        self.refresh();
        self.changed.send_replace(());
    }

    /// The version in force, 0 before the first.
    pub fn plan_version(&self) -> u64 {
        self.plan.read().as_ref().as_ref().map_or(0, Plan::version)
    }

    /// Takes over what the mesh knows of replicas and of quotas.
    pub fn refresh(&self) {
        let Some(mesh) = self.mesh.get() else { return };
        let now = self.timer.now();
        self.renewed_at.store(now, Ordering::Relaxed);
        let plan = self.plan.read();
        self.expire_suspects();
        let mut fleet = self.fleet();
        let table = mesh.table();
        fleet.refresh(now, &table, plan.as_ref().as_ref());
        self.share_limits_by(&table, &mut fleet);
        self.lines.retain(|replica| fleet.has(replica));
        self.refresh_quotas(now, &table, plan.as_ref().as_ref());
        drop(table);
        self.changed.send_replace(());
    }

    /// Waits until `look` finds what a node that has just started lacks, as
    /// long as that is worth it.
    ///
    /// A node asks the others at its start and knows plan and replicas a tenth
    /// of a second later. A request refused meanwhile comes back after a third
    /// of a second or more, which is beyond the target of most routes.
    pub(crate) async fn wait_at_start<T>(
        &self,
        mut look: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        let until = (self.opened + STARTING).min(Instant::now() + START_WAIT);
        let mut changes = self.changed.subscribe();
        loop {
            if let Some(found) = look() {
                return Some(found);
            }
            let changed = timeout_at(until, changes.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return None;
            }
        }
    }

    /// The same, at once or, where it was done a moment ago, once for all that
    /// changes within the next one.
    pub fn refresh_soon(self: &Arc<Gateway>) {
        let pause_ms = REFRESH_PAUSE.as_millis() as u64;
        let last = self.renewed_at.load(Ordering::Relaxed);
        if self.timer.now() >= last + pause_ms {
            return self.refresh();
        }
        if self.is_due.swap(true, Ordering::Relaxed) {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            sleep(REFRESH_PAUSE).await;
            gateway.is_due.store(false, Ordering::Relaxed);
            gateway.refresh();
        });
    }

    /// What other nodes are told of this one's requests.
    pub fn own(&self) -> Own {
        let spent = self.spent();
        let suspects = self.suspects();
        let limits = self.tell_limits();
        let mut fleet = self.fleet();
        let cached = fleet.take_cached(self.timer.now());
        Own {
            under: fleet.under(),
            spent,
            work: fleet.work(),
            cached,
            crashes: suspects.crashes,
            suspected: suspects.suspected,
            successes: suspects.successes,
            limits,
            begun: self.begun.load(Ordering::Relaxed),
        }
    }

    /// Takes note of what other nodes have sent to replicas.
    pub fn note_cached(&self, cached: &[Cached]) {
        self.fleet().note_cached(self.timer.now(), cached);
    }

    /// What replicas have been sent lately, as far as known here.
    pub fn cached(&self) -> Vec<Cached> {
        self.fleet().cached()
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Entries that serve, this one too.
    fn entries(&self) -> usize {
        let now = self.timer.now();
        let Some(mesh) = self.mesh.get() else { return 1 };
        mesh.table().reach(now).0
    }

    /// One of a route's services, by weight.
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

    /// Counts a request that a replica began to run.
    fn count_began(&self, team: Option<&Team>) {
        let (Some(team), Some(mesh)) = (team, self.mesh.get()) else {
            return;
        };
        let now = self.timer.now();
        let mut table = mesh.table();
        let wall = wall_ms() as i64 + table.clock_offset(now);
        let window = wall.max(0) as u64 / self.windows.length_ms.max(1);
        table.count_began(window, &team.name);
    }
}
