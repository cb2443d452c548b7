//! A node: gateway, mesh and, on a VM with a disk, a member of the replicated
//! log.
//!
//! Every VM runs one node. [`spawn`] binds the addresses for callers and for
//! other nodes. The platform serves operators and replicas itself and calls
//! the [`Handle`].
//!
//! # Configuration
//!
//! The log commits plans. Members of the log receive them from it; the other
//! nodes learn of a higher version through the mesh and fetch the plan from a
//! peer that has it. The version at a node never decreases. While control is
//! unavailable, the node serves by the plan that it holds. Only reading the
//! plan back is refused, because without a majority no node knows which plan
//! is the newest.
//!
//! # Stopping
//!
//! [`Handle::shutdown`] makes the node unready and withdraws its address from
//! callers at once. Answers then ask their clients to connect to another node.
//! Clients keep addresses for some seconds, so the node goes on accepting
//! requests for a limited time. Then it finishes the requests in flight. Those
//! that have no answer shortly before the end of the process are refused, or
//! answered with "may have run".

mod member;
mod peers;
mod plan;
mod plan_fetch;
mod recall;
mod rollouts;

use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tracing::{info, warn};

use crate::{
    control::{
        client::{Client, Error},
        seat,
    },
    duty::{self, Cloud},
    gateway::{
        self, Gateway,
        dialect::Dialect,
        forward,
        plan::{Draft, Invalid},
        probes,
        server::{self, Server},
    },
    mesh::{
        self,
        table::{Changes, LocalReport},
    },
    timer::Timer,
    util::random_id,
    wire::{
        Cached, Crash, CrashReport, Origins, Peer, PutPlan, RateLimit,
        RolloutRecord, RolloutReport, Sighting, Success,
    },
};

pub use self::{
    plan::PutError,
    rollouts::{RolloutError, RolloutOrder},
};

/// Maximum time for which a stopping node goes on accepting requests. Clients
/// keep an address for up to twice its announced lifetime. The few that come
/// later are refused the connection and use another node at once.
const MAX_ACCEPT_DURATION: Duration = Duration::from_millis(2800);
/// Maximum share of the grace period for which a stopping node accepts
/// requests.
const MAX_ACCEPT_SHARE: f64 = 0.35;
/// Part of the grace period that is reserved for the exit of the process.
pub const PROCESS_EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Share of the grace period in which callers are told that a stopping node
/// has no answer for them, before the process exits: half a second of eight,
/// in which such answers cross a slow link.
const LAST_ANSWERS_SHARE: f64 = 0.0625;
/// Time for each background task to end before it is aborted.
const TASK_STOP_TIMEOUT: Duration = Duration::from_millis(100);
/// Distance of the port for forwarded requests from the port for other nodes.
const FORWARD_PORT_OFFSET: u16 = 1;
/// Minimum interval between log lines about unreadable heartbeats.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of characters of a sender's name in a log line.
const MAX_LOGGED_NAME_CHARS: usize = 100;

/// Parses a plan in the operators' own format.
pub type ReadPlan = fn(&[u8]) -> Result<Draft, Invalid>;

/// Configuration of a node.
#[derive(Clone)]
pub struct Options {
    /// The address for callers.
    pub front: SocketAddrV4,
    /// The address for other nodes, over TCP and UDP. The port is the same on
    /// all VMs.
    pub peer_address: SocketAddrV4,
    /// Nodes to contact first.
    pub seeds: Vec<Ipv4Addr>,
    /// The data centre of this VM.
    pub data_centre: String,
    /// The data folder of a member of the log. Without a folder, the node is
    /// not a member.
    pub folder: Option<PathBuf>,
    /// Whether this node creates the cluster if its folder is empty.
    pub founds: bool,
    /// Whether the whole cluster starts for the first time, so that no process
    /// has served here before.
    pub is_first_start: bool,
    /// Number of members that may lose their disks at the same time.
    pub survivable_disk_losses: usize,
    /// Bandwidth of this VM's link in Mbit/s, or 0 if unknown.
    pub link_mbps: u32,
    /// Configuration of the gateway.
    pub gateway: gateway::Options,
    /// Configuration of the duties, which the leader performs for the whole
    /// system.
    pub duties: duty::Options,
    /// The platform's HTTP headers.
    pub dialect: Arc<dyn Dialect>,
    /// Parser for the operators' plan format.
    pub read_plan: ReadPlan,
    /// The platform's interface that duties call.
    pub cloud: Arc<dyn Cloud>,
}

/// A handle to a running node. Clones refer to the same node.
#[derive(Clone, Debug)]
pub struct Handle {
    node: Arc<Node>,
}

/// State that a node's tasks share.
struct Node {
    gateway: Arc<Gateway>,
    mesh: OnceLock<mesh::Handle>,
    seat: Option<seat::Handle>,
    control: Arc<Client>,
    read_plan: ReadPlan,
    /// The plan in force as it was committed, packed. It is replaced together
    /// with the gateway's plan.
    plan_record: Mutex<Option<Arc<PutPlan>>>,
    plan_fetch: plan_fetch::State,
    rollout_fetch: rollouts::Fetching,
    /// Whether this node can tell other nodes what replicas have cached.
    knows_caches: AtomicBool,
    /// Time of the last log line about an unreadable heartbeat.
    unreadable_logged_at: Mutex<Option<Instant>>,
    stopping: AtomicBool,
    /// Set to true to stop the server for other nodes and close its
    /// connections.
    stop_peer_server: watch::Sender<bool>,
    front: SocketAddrV4,
    peer_port: u16,
    /// The server for callers, and the one for forwarded requests.
    servers: Mutex<Vec<Server>>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    duties: Mutex<Option<duty::Handle>>,
}

impl fmt::Debug for Node {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Node at {}", self.front)
    }
}

/// Starts a node.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn spawn(options: Options) -> io::Result<Handle> {
    let timer = Timer::spawn();
    let forward_port = options.peer_address.port() + FORWARD_PORT_OFFSET;
    let gateway = Arc::new(Gateway::open(
        &options.gateway,
        options.dialect.clone(),
        timer.clone(),
        forward_port,
    ));
    let seat = options.folder.clone().map(|folder| {
        let options = seat::Options {
            address: options.peer_address,
            folder,
            founds: options.founds,
            min_voters: 2 * options.survivable_disk_losses + 1,
        };
        seat::spawn(options, timer.clone())
    });
    // The node that creates the cluster is the first: nothing is used yet.
    if !options.founds {
        gateway.start_joining();
    }
    if !options.is_first_start {
        gateway.restart_retries();
    }
    let port = options.peer_address.port();
    let seeds: Vec<SocketAddr> =
        options.seeds.iter().map(|ip| (*ip, port).into()).collect();
    let first = seeds.first().copied().unwrap_or(options.peer_address.into());
    let control = Client::open(&[first]);
    control.set_members(&seeds);
    let node = Arc::new(Node {
        gateway: gateway.clone(),
        mesh: OnceLock::new(),
        seat: seat.clone(),
        control: Arc::new(control),
        read_plan: options.read_plan,
        plan_record: Mutex::new(None),
        plan_fetch: plan_fetch::State::default(),
        rollout_fetch: rollouts::Fetching::default(),
        knows_caches: AtomicBool::new(false),
        unreadable_logged_at: Mutex::new(None),
        stopping: AtomicBool::new(false),
        stop_peer_server: watch::Sender::new(false),
        front: options.front,
        peer_port: port,
        servers: Mutex::default(),
        tasks: Mutex::new(Vec::new()),
        duties: Mutex::new(None),
    });
    let listener =
        TcpListener::bind(SocketAddr::V4(options.peer_address)).await?;
    let mesh = mesh::bind(
        mesh::Options {
            me: Peer {
                ip: (*options.peer_address.ip()).into(),
                incarnation: random_id(),
                data_centre: options.data_centre.clone(),
                has_disk: seat.is_some(),
                link_mbps: options.link_mbps,
                keeps_origins: true,
                ..Peer::default()
            },
            listen: options.peer_address,
            seeds: options.seeds.clone(),
        },
        timer.clone(),
        node.clone(),
    )
    .await?;
    gateway.set_mesh(mesh.clone());
    let _ = node.mesh.set(mesh.clone());
    let front = TcpListener::bind(SocketAddr::V4(options.front)).await?;
    let forward_address =
        SocketAddrV4::new(*options.peer_address.ip(), forward_port);
    let forwarded = TcpListener::bind(SocketAddr::V4(forward_address)).await?;
    let limits = |gateway: &Arc<Gateway>| {
        let gateway = gateway.clone();
        move || gateway.limits()
    };
    let serving = gateway.clone();
    let for_callers =
        server::spawn(front, limits(&gateway), move |request| {
            forward::serve(serving.clone(), request)
        })?;
    let serving = gateway.clone();
    let for_nodes =
        server::spawn(forwarded, limits(&gateway), move |request| {
            forward::serve_forwarded(serving.clone(), request)
        })?;
    *lock(&node.servers) = vec![for_callers, for_nodes];
    let folder = options.folder;
    let mut tasks = vec![
        tokio::spawn(peers::serve(node.clone(), listener)),
        tokio::spawn(recall::learn(node.clone(), folder.clone())),
        tokio::spawn(probes::run(gateway.clone())),
    ];
    if gateway.has_rollouts() {
        if seat.is_some() {
            gateway.keep_rollout_evidence();
        }
        tasks.push(tokio::spawn(rollouts::run(node.clone(), seat.clone())));
    }
    if let Some(folder) = folder {
        tasks.push(tokio::spawn(recall::save(node.clone(), folder)));
    }
    if let Some(seat) = &seat {
        tasks.push(tokio::spawn(member::apply_updates(
            node.clone(),
            seat.clone(),
        )));
        tasks.push(tokio::spawn(member::request_join(
            node.clone(),
            seat.clone(),
        )));
        let context = duty::Context {
            seat: seat.clone(),
            control: node.control.clone(),
            mesh,
            plan: gateway.plan.clone(),
            gateway: gateway.clone(),
            cloud: options.cloud.clone(),
            timer,
        };
        *lock(&node.duties) = Some(duty::spawn(options.duties, context));
    }
    *lock(&node.tasks) = tasks;
    info!(
        target: "node",
        front = %node.front,
        data_centre = options.data_centre,
        has_disk = seat.is_some(),
        "Node starts."
    );
    Ok(Handle { node })
}

/// Returns the time for which a stopping node accepts requests, given its
/// grace period.
///
/// Most of the grace period has to remain for the answers. A stream that was
/// accepted three seconds into a grace period of eight, and waited two seconds
/// for its replica, was cut off in the middle when the process had to exit.
pub fn accept_duration(grace: Duration) -> Duration {
    MAX_ACCEPT_DURATION.min(grace.mul_f64(MAX_ACCEPT_SHARE))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|held| held.into_inner())
}

impl Handle {
    /// Returns true while callers should connect to this node.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Returns the address at which this node serves callers, or `None` once
    /// it is stopping.
    pub fn front(&self) -> Option<SocketAddr> {
        lock(&self.node.servers).first().map(Server::address)
    }

    /// Returns the addresses that callers in a data centre may connect to: the
    /// entries there, or entries of all data centres if there are few or the
    /// data centre is not known.
    pub fn entries(&self, near: Option<&str>) -> Vec<SocketAddrV4> {
        let node = &self.node;
        let now = node.gateway.timer.now();
        let port = node.front.port();
        let Some(mesh) = node.mesh.get() else { return Vec::new() };
        let addresses = mesh.table().caller_addresses(now, near);
        addresses.into_iter().map(|ip| SocketAddrV4::new(ip, port)).collect()
    }

    /// Submits a plan in the operators' format. Returns the version in force
    /// once it is committed.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan is invalid, or if control rejected it or
    /// did not answer.
    pub async fn put_plan(&self, source: &[u8]) -> Result<u64, PutError> {
        self.node.put_plan(source).await
    }

    /// Returns the newest plan, read through the quorum. It is empty before
    /// the first plan is committed.
    ///
    /// # Errors
    ///
    /// Returns an error if no majority answers.
    pub async fn read_plan(&self) -> Result<PutPlan, Error> {
        let started_at = Instant::now();
        let read = self.node.read_plan().await;
        self.node.record_read(&read, started_at.elapsed());
        read
    }

    /// Returns true where operators can start roll-outs.
    pub fn has_rollouts(&self) -> bool {
        self.node.gateway.has_rollouts()
    }

    /// Starts a roll-out. Returns its state once the order is committed; an
    /// order that was accepted before is accepted again without effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the order is invalid, if another roll-out of the
    /// service runs, or if control did not confirm it.
    pub async fn start_rollout(
        &self,
        order: RolloutOrder,
    ) -> Result<RolloutRecord, RolloutError> {
        self.node.start_rollout(order).await
    }

    /// Returns the newest roll-out of a service, read through the quorum.
    ///
    /// # Errors
    ///
    /// Returns an error if no majority answers.
    pub async fn read_rollout(
        &self,
        service: &str,
    ) -> Result<Option<RolloutRecord>, RolloutError> {
        let state = self.node.read_rollouts().await?;
        Ok(state.newest(service).cloned())
    }

    /// Returns a VM that can send `bytes` bytes to an operator much faster
    /// than this VM, if the transfer would take long here and such a VM is
    /// known.
    pub fn redirect_target(&self, bytes: usize) -> Option<Ipv4Addr> {
        self.node.redirect_target(bytes)
    }

    /// Applies a replica's heartbeat.
    pub fn apply_heartbeat(&self, says: Sighting) {
        let node = &self.node;
        let Some(mesh) = node.mesh.get() else { return };
        let now = node.gateway.timer.now();
        let id = says.id.clone();
        let (state, leaves_ms) = (says.state, says.leaves_ms);
        let version = says.version.clone();
        let mut table = mesh.table();
        let former = table.former_incarnation(&says);
        let changed = table.apply_sighting(now, says, true);
        drop(table);
        if changed {
            info!(
                target: "node",
                replica = id, version, state, leaves_ms, former,
                "Replica changed."
            );
            // The fleet is refreshed before the replica gets its answer: a
            // replica that announced its departure relies on receiving no new
            // requests from then on.
            node.gateway.refresh();
            mesh.request_urgent_round();
        }
    }

    /// Counts and logs a heartbeat that does not describe a usable replica:
    /// who sent it and why it is unreadable.
    ///
    /// Logs at most one line a second, because a faulty sender may send any
    /// number of them.
    pub fn record_unreadable_heartbeat(
        &self,
        whose: &str,
        why: &dyn fmt::Display,
    ) {
        let node = &self.node;
        let unreadable = node.gateway.metrics.unreadable.inc() + 1;
        let now = Instant::now();
        let mut logged_at = lock(&node.unreadable_logged_at);
        if logged_at.is_some_and(|at| now < at + UNREADABLE_LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        let whose: String =
            whose.chars().take(MAX_LOGGED_NAME_CHARS).collect();
        warn!(
            target: "node", whose, unreadable,
            "Unreadable heartbeat: {why}."
        );
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        if let Some(mesh) = self.node.mesh.get() {
            info!(target: "node", "New seeds: {seeds:?}.");
            mesh.set_seeds(seeds);
        }
    }

    /// Returns the number of prompt parts that replicas are known to have
    /// cached.
    pub fn cached_parts(&self) -> usize {
        self.node.gateway.cached().len()
    }

    /// Returns the node's metrics in Prometheus' text format.
    pub fn metrics(&self) -> String {
        self.node.gateway.metrics.encode()
    }

    /// Waits until requests without an answer have to end because the node
    /// stops; forever if it isn't stopping.
    pub async fn wait_for_last_answers(&self) {
        self.node.gateway.wait_for_stop().await;
    }

    /// Shuts the node down within `grace`, as described at the head of the
    /// module.
    pub async fn shutdown(self, grace: Duration) {
        let node = &self.node;
        let end = Instant::now() + grace.saturating_sub(PROCESS_EXIT_RESERVE);
        let last_answers = grace.mul_f64(LAST_ANSWERS_SHARE);
        let ends_at = end.checked_sub(last_answers).unwrap_or(end);
        node.gateway.end_requests_at(ends_at);
        info!(target: "node", "Stopping: address withdrawn from callers.");
        node.stopping.store(true, Ordering::Relaxed);
        node.announce_serving();
        let servers = std::mem::take(&mut *lock(&node.servers));
        for server in &servers {
            server.close_after_answers();
        }
        // Duties stop first, because a successor only waits until this node's
        // lease has expired.
        *lock(&node.duties) = None;
        if let Some(seat) = &node.seat {
            seat.announce_stop().await;
        }
        sleep(accept_duration(grace)).await;
        let left = end.saturating_duration_since(Instant::now());
        let stopping = servers.into_iter().map(|server| server.shutdown(left));
        join_all(stopping).await;
        node.gateway.hand_over_origins();
        if let Some(seat) = &node.seat {
            seat.stop().await;
        }
        if let Some(mesh) = node.mesh.get() {
            mesh.confirm_counts(end).await;
        }
        let _ = node.stop_peer_server.send_replace(true);
        let tasks: Vec<JoinHandle<()>> = lock(&node.tasks).drain(..).collect();
        for mut task in tasks {
            if timeout(TASK_STOP_TIMEOUT, &mut task).await.is_err() {
                task.abort();
            }
        }
        if let Some(mesh) = node.mesh.get() {
            mesh.stop();
        }
        info!(target: "node", "Stopped.");
    }
}

impl Node {
    fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed)
            && self.gateway.plan_version() > 0
    }

    fn has_stopped(&self) -> bool {
        *self.stop_peer_server.borrow()
    }

    /// Announces to the other nodes whether this node serves, and the version
    /// of its plan.
    fn announce_serving(&self) {
        let ready = self.is_ready();
        let version = self.gateway.plan_version();
        if let Some(mesh) = self.mesh.get() {
            let mut table = mesh.table();
            table.own_peer_mut().serving = ready;
            table.own_peer_mut().plan_version = version;
            drop(table);
            mesh.request_urgent_round();
        }
    }

    /// Applies what the mesh reports of the leader, the members and newer
    /// plans.
    fn apply_mesh_reports(self: &Arc<Node>) {
        let Some(mesh) = self.mesh.get() else { return };
        let now = self.gateway.timer.now();
        let seeds = mesh.seeds();
        let mut newest = (0, Ipv4Addr::UNSPECIFIED);
        let (leader, members) = {
            let mut table = mesh.table();
            let mut leadership =
                (table.own_peer().leader_term, table.own_peer().leader);
            for node in table.live(now) {
                let says = &node.peer;
                if says.leader != 0 {
                    leadership =
                        leadership.max((says.leader_term, says.leader));
                }
                newest = newest.max((says.plan_version, node.ip()));
            }
            (table.own_peer_mut().leader_term, table.own_peer_mut().leader) =
                leadership;
            let members = member::list(&table, now, self.peer_port, &seeds);
            (leadership.1, members)
        };
        let members: Vec<SocketAddr> =
            members.into_iter().map(SocketAddr::V4).collect();
        self.control.set_members(&members);
        if leader != 0 {
            self.control.prefer_once(seat::member_address(leader).into());
        }
        let (version, from) = newest;
        if self.gateway.report_plan(version) {
            let held = self.gateway.plan_version();
            info!(
                target: "node",
                plan = version, held,
                "Newer plan reported by {from}."
            );
        }
        let is_newer = version > self.gateway.plan_version();
        if is_newer && self.plan_fetch.begin() {
            tokio::spawn(plan_fetch::fetch_newer(self.clone()));
        }
    }
}

impl mesh::Host for Node {
    fn local_report(&self) -> LocalReport {
        self.gateway.local_report()
    }

    fn on_cached(&self, cached: Vec<Cached>) {
        self.gateway.record_cached_reports(&cached);
    }

    fn on_crashes(
        &self,
        crashes: &[Crash],
        successes: &[Success],
        passes_on: bool,
    ) {
        self.gateway.receive_crash_reports(crashes, successes, passes_on);
    }

    fn on_suspected_crashes(&self, crashes: &[Crash], passes_on: bool) {
        self.gateway.receive_suspected_crashes(crashes, passes_on);
    }

    fn on_part_crashes(&self, report: &CrashReport, passes_on: bool) {
        self.gateway.receive_part_report(report, passes_on);
    }

    fn on_rate_limits(&self, limits: &[RateLimit]) {
        self.gateway.receive_rate_limits(limits);
    }

    fn on_speeds(&self, from: &Peer, speeds: &[u64]) {
        self.gateway.receive_speeds(from, speeds);
    }

    fn on_origins(&self, from: Ipv4Addr, origins: Origins) -> Option<Origins> {
        self.gateway.receive_origins(from, origins)
    }

    fn on_rollouts(
        self: Arc<Self>,
        from: &Peer,
        report: Option<RolloutReport>,
    ) {
        if !self.gateway.has_rollouts() {
            return;
        }
        self.receive_known_rollouts(from.ip.into(), from.rollouts);
        if let Some(report) = report {
            self.gateway.receive_rollout_report(from, &report);
        }
    }

    fn on_changes(self: Arc<Self>, changes: Changes) {
        // A leaving replica must not get requests from now on, so the fleet is
        // refreshed at once. New replicas can wait until several have
        // appeared: a thousand of them may start at the same time.
        let has_new = changes.replicas || changes.nodes;
        match has_new && !changes.departures {
            true => self.gateway.refresh_soon(),
            false => self.gateway.refresh(),
        }
        self.apply_mesh_reports();
        if changes.became_active {
            // A node on standby receives few reports.
            self.gateway.settle_quota_use();
            // The other nodes may have used this node's share until now.
            self.gateway.restart_retries();
            tokio::spawn(recall::learn(self, None));
        }
    }
}
