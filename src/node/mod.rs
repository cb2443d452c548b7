//! One node: gateway, mesh and, with a disk, a member of the log.
//!
//! Every VM runs one. [`spawn`] binds its own addresses; the interface towards
//! operators and replicas is the platform's, which calls the [`Handle`].
//!
//! # Configuration
//!
//! Plans are accepted by the log and spread by whoever has them: members see
//! them committed, all others hear of a higher version through the mesh and
//! fetch it from a peer. A version never goes down. While control is away the
//! node serves by the plan that it holds; only reading the plan back is
//! refused, as nobody can say then which is the newest.
//!
//! # Stopping
//!
//! [`Handle::shutdown`]: not ready and not handed out at once; answers ask
//! their clients to go elsewhere; requests that still come are served for a
//! while, as clients keep addresses for some seconds; all that runs is
//! finished.

mod member;
mod peers;
mod plan;
mod recall;

use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

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
        plan::{Draft, Invalid, Plan},
        server::{self, Server},
    },
    mesh::{
        self,
        table::{Changes, LocalReport},
    },
    timer::Timer,
    util::random_id,
    wire::{Cached, Crash, Peer, PutPlan, RateLimit, Sighting, Success},
};

pub use self::plan::PutError;

/// How long a stopping node goes on taking requests: clients keep an address
/// for twice the time they are told. The few that come later find nobody
/// listening and go elsewhere at once.
const LINGER: Duration = Duration::from_millis(2800);
/// The part of the grace period after which it takes none in any case.
const LINGER_PART: f64 = 0.35;
/// What is left of the grace period for ending the process itself.
const LAST_WORDS: Duration = Duration::from_millis(400);
/// How long each background task gets to end by itself.
const PEERS_END: Duration = Duration::from_millis(100);
/// Between two lines on statements that can't be read.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);
/// Characters of a name from outside that go into a line.
const NAMED: usize = 100;

/// Reads a plan in the operators' own format.
pub type ReadPlan = fn(&[u8]) -> Result<Draft, Invalid>;

/// How to run a node.
#[derive(Clone)]
pub struct Options {
    /// For callers.
    pub front: SocketAddrV4,
    /// For other nodes, over TCP and UDP; the port is the same on all VMs.
    pub peers: SocketAddrV4,
    /// Nodes to speak to first.
    pub seeds: Vec<Ipv4Addr>,
    /// Where this VM is.
    pub data_centre: String,
    /// The data folder of a member; without one this node only relays.
    pub folder: Option<PathBuf>,
    /// Whether this node makes the cluster if its folder is empty.
    pub founds: bool,
    /// Members that may lose their disks at once.
    pub tolerance: usize,
    /// This VM's link, in Mbit/s; 0 when not known.
    pub link_mbps: u32,
    /// The data path.
    pub gateway: gateway::Options,
    /// What the leader does for the whole system.
    pub duties: duty::Options,
    /// The headers of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// The plan's format.
    pub read_plan: ReadPlan,
    /// The platform's interface for duties.
    pub cloud: Arc<dyn Cloud>,
}

/// A running node; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    node: Arc<Node>,
}

/// What a node's parts share.
struct Node {
    gateway: Arc<Gateway>,
    mesh: OnceLock<mesh::Handle>,
    seat: Option<seat::Handle>,
    control: Arc<Client>,
    read_plan: ReadPlan,
    /// As the operator sent it; written with the gateway's plan.
    source: Mutex<Option<Arc<PutPlan>>>,
    fetching: AtomicBool,
    /// Fetches in a row that took too long.
    slow_fetches: AtomicU32,
    /// It can tell others what replicas have cached.
    knows_caches: AtomicBool,
    /// When a line last told of an unreadable statement.
    unreadable_told: Mutex<Option<Instant>>,
    stopping: AtomicBool,
    /// Ends the server for other nodes, its open connections too.
    last: watch::Sender<bool>,
    front: SocketAddrV4,
    peer_port: u16,
    server: Mutex<Option<Server>>,
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
/// When an address can't be bound.
pub async fn spawn(options: Options) -> io::Result<Handle> {
    let timer = Timer::spawn();
    let gateway = Arc::new(Gateway::open(
        &options.gateway,
        options.dialect.clone(),
        timer.clone(),
    ));
    let seat = options.folder.clone().map(|folder| {
        let options = seat::Options {
            address: options.peers,
            folder,
            founds: options.founds,
            least_voters: 2 * options.tolerance + 1,
        };
        seat::spawn(options, timer.clone())
    });
    // Whoever founds the whole system is first: nothing has been used.
    if !options.founds {
        gateway.start_joining_quotas();
    }
    let port = options.peers.port();
    let seeds: Vec<SocketAddr> =
        options.seeds.iter().map(|ip| (*ip, port).into()).collect();
    let first = seeds.first().copied().unwrap_or(options.peers.into());
    let control = Client::open(&[first]);
    control.set_members(&seeds);
    let node = Arc::new(Node {
        gateway: gateway.clone(),
        mesh: OnceLock::new(),
        seat: seat.clone(),
        control: Arc::new(control),
        read_plan: options.read_plan,
        source: Mutex::new(None),
        fetching: AtomicBool::new(false),
        slow_fetches: AtomicU32::new(0),
        knows_caches: AtomicBool::new(false),
        unreadable_told: Mutex::new(None),
        stopping: AtomicBool::new(false),
        last: watch::Sender::new(false),
        front: options.front,
        peer_port: port,
        server: Mutex::new(None),
        tasks: Mutex::new(Vec::new()),
        duties: Mutex::new(None),
    });
    let listener = TcpListener::bind(SocketAddr::V4(options.peers)).await?;
    let mesh = mesh::bind(
        mesh::Options {
            me: Peer {
                ip: (*options.peers.ip()).into(),
                incarnation: random_id(),
                data_centre: options.data_centre.clone(),
                has_disk: seat.is_some(),
                link_mbps: options.link_mbps,
                ..Peer::default()
            },
            listen: options.peers,
            seeds: options.seeds.clone(),
        },
        timer.clone(),
        node.clone(),
    )
    .await?;
    gateway.set_mesh(mesh.clone());
    let _ = node.mesh.set(mesh.clone());
    let front = TcpListener::bind(SocketAddr::V4(options.front)).await?;
    let serving = gateway.clone();
    let limits = move || {
        let plan = serving.plan.read();
        plan.as_ref().as_ref().map(Plan::limits).unwrap_or_default()
    };
    let serving = gateway.clone();
    let server = server::spawn(front, limits, move |request| {
        forward::serve(serving.clone(), request)
    })?;
    *lock(&node.server) = Some(server);
    let folder = options.folder;
    let mut tasks = vec![
        tokio::spawn(peers::serve(node.clone(), listener)),
        tokio::spawn(recall::learn(node.clone(), folder.clone())),
    ];
    if let Some(folder) = folder {
        tasks.push(tokio::spawn(recall::save(node.clone(), folder)));
    }
    if let Some(seat) = &seat {
        tasks.push(tokio::spawn(member::follow(node.clone(), seat.clone())));
        tasks.push(tokio::spawn(member::ask_to_join(
            node.clone(),
            seat.clone(),
        )));
        let tools = duty::Tools {
            seat: seat.clone(),
            control: node.control.clone(),
            mesh,
            plan: gateway.plan.clone(),
            cloud: options.cloud.clone(),
            timer,
        };
        *lock(&node.duties) = Some(duty::spawn(options.duties, tools));
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

/// How long a node with so much time to stop goes on taking requests.
///
/// Most of the grace period has to be left for their answers: a stream that
/// was taken after three of eight seconds, and waited two for its replica, was
/// cut off in the middle when the process had to end.
pub fn linger(grace: Duration) -> Duration {
    LINGER.min(grace.mul_f64(LINGER_PART))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|held| held.into_inner())
}

impl Handle {
    /// True while callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Where this node serves callers, until it stops.
    pub fn front(&self) -> Option<SocketAddr> {
        lock(&self.node.server).as_ref().map(Server::address)
    }

    /// Where callers in a data centre may connect: entries there, or any of
    /// them where there are few or it isn't known.
    pub fn entries(&self, near: Option<&str>) -> Vec<SocketAddrV4> {
        let node = &self.node;
        let now = node.gateway.timer.now();
        let port = node.front.port();
        let Some(mesh) = node.mesh.get() else { return Vec::new() };
        let handed = mesh.table().caller_addresses(now, near);
        handed.into_iter().map(|ip| SocketAddrV4::new(ip, port)).collect()
    }

    /// Takes a plan in the operators' format; returns once it is committed.
    ///
    /// # Errors
    ///
    /// When it is invalid, or control did not take it or did not say.
    pub async fn put_plan(&self, source: &[u8]) -> Result<u64, PutError> {
        self.node.put_plan(source).await
    }

    /// The newest plan, read through the quorum; empty before the first.
    ///
    /// # Errors
    ///
    /// When no majority answers.
    pub async fn read_plan(&self) -> Result<PutPlan, Error> {
        let asked = Instant::now();
        let read = self.node.read_plan().await;
        self.node.note_read(&read, asked.elapsed());
        read
    }

    /// A VM that hands a text of so many bytes to an operator sooner than
    /// this one, if there is one and it matters.
    pub fn faster_reader(&self, bytes: usize) -> Option<Ipv4Addr> {
        self.node.faster_reader(bytes)
    }

    /// Takes what a replica says of itself.
    pub fn sight(&self, says: Sighting) {
        let node = &self.node;
        let Some(mesh) = node.mesh.get() else { return };
        let now = node.gateway.timer.now();
        let id = says.id.clone();
        let (state, leaves_ms) = (says.state, says.leaves_ms);
        let mut table = mesh.table();
        let former = table.former_incarnation(&says);
        let changed = table.apply_sighting(now, says, true);
        drop(table);
        if changed {
            info!(
                target: "node",
                replica = id, state, leaves_ms, former,
                "Replica changed."
            );
            // Refreshed before the replica has its answer: from then on it
            // counts on getting no new work if it said that it leaves.
            node.gateway.refresh();
            mesh.request_urgent_round();
        }
    }

    /// Notes a statement that names no replica to use: whose, and why.
    ///
    /// At most a line a second: another writer may send any number.
    pub fn note_unreadable(&self, whose: &str, why: &dyn fmt::Display) {
        let node = &self.node;
        let unreadable = node.gateway.metrics.unreadable.inc() + 1;
        let now = Instant::now();
        let mut told = lock(&node.unreadable_told);
        if told.is_some_and(|at| now < at + UNREADABLE_PAUSE) {
            return;
        }
        *told = Some(now);
        let whose: String = whose.chars().take(NAMED).collect();
        warn!(target: "node", whose, unreadable, "Unreadable: {why}.");
    }

    /// Takes new seeds.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        if let Some(mesh) = self.node.mesh.get() {
            info!(target: "node", "New seeds: {seeds:?}.");
            mesh.set_seeds(seeds);
        }
    }

    /// Parts of prompts that replicas are known to have cached.
    pub fn cached_parts(&self) -> usize {
        self.node.gateway.cached().len()
    }

    /// What the node has counted, for Prometheus.
    pub fn metrics(&self) -> String {
        self.node.gateway.metrics.encode()
    }

    /// Stops in order, within `grace`; see the module head.
    pub async fn shutdown(self, grace: Duration) {
        let node = &self.node;
        let end = Instant::now() + grace.saturating_sub(LAST_WORDS);
        info!(target: "node", "Stops: no longer handed out.");
        node.stopping.store(true, Ordering::Relaxed);
        node.say_serving();
        let server = lock(&node.server).take();
        if let Some(server) = &server {
            server.close_after_answers();
        }
        // Duties first: a successor waits for this node's lease to run out.
        *lock(&node.duties) = None;
        sleep(linger(grace)).await;
        if let Some(server) = server {
            let left = end.saturating_duration_since(Instant::now());
            server.shutdown(left).await;
        }
        if let Some(seat) = &node.seat {
            seat.stop().await;
        }
        let _ = node.last.send_replace(true);
        let tasks: Vec<JoinHandle<()>> = lock(&node.tasks).drain(..).collect();
        for mut task in tasks {
            if timeout(PEERS_END, &mut task).await.is_err() {
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
        *self.last.borrow()
    }

    /// Tells the others whether this node serves.
    fn say_serving(&self) {
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

    /// Takes over what the mesh says of leader, members and plans.
    fn follow_mesh(self: &Arc<Node>) {
        let Some(mesh) = self.mesh.get() else { return };
        let now = self.gateway.timer.now();
        let mut members = Vec::new();
        let mut newer = false;
        let leader = {
            let mut table = mesh.table();
            let mut best =
                (table.own_peer().leader_term, table.own_peer().leader);
            for node in table.live(now) {
                let says = &node.peer;
                if says.has_disk {
                    members.push((node.ip(), self.peer_port).into());
                }
                if says.leader != 0 {
                    best = best.max((says.leader_term, says.leader));
                }
                newer |= says.plan_version > self.gateway.plan_version();
            }
            if table.own_peer().has_disk {
                let ip = Ipv4Addr::from(table.own_peer().ip);
                members.push((ip, self.peer_port).into());
            }
            (table.own_peer_mut().leader_term, table.own_peer_mut().leader) =
                best;
            best.1
        };
        self.control.set_members(&members);
        if leader != 0 {
            self.control.prefer_once(seat::address_of(leader).into());
        }
        if newer && !self.fetching.swap(true, Ordering::Relaxed) {
            tokio::spawn(plan::fetch_newer(self.clone()));
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

    fn on_rate_limits(&self, limits: &[RateLimit]) {
        self.gateway.receive_rate_limits(limits);
    }

    fn on_changes(self: Arc<Self>, changes: Changes) {
        // Who leaves must get nothing more from now on. Replicas that appear
        // can wait a moment for others: a thousand of them may start at once.
        let appears = changes.replicas || changes.nodes;
        match appears && !changes.departures {
            true => self.gateway.refresh_soon(),
            false => self.gateway.refresh(),
        }
        self.follow_mesh();
        if changes.became_active {
            // It was told little while it stood by.
            self.gateway.settle_quota_use();
            tokio::spawn(recall::learn(self, None));
        }
    }
}
