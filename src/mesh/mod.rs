//! Spreads information on nodes, replicas and usage between nodes by gossip.
//!
//! Nodes that take callers' requests send each other reports over UDP, a few
//! times a second. Where there are many nodes, the remaining ones are on
//! standby, and each regularly queries a node that takes requests. Datagrams
//! may be lost and are not sent again: each contains the current state rather
//! than changes, so the next datagram makes up for a lost one.
//!
//! Urgent information (a replica leaves, a node stops) is sent at once, and
//! again in the regular datagrams that follow.
//!
//! | module | does |
//! |---|---|
//! | [`table`] | holds what is known of the other nodes, and sums over them |
//! | [`role`] | decides which nodes take callers' requests |
//! | [`round`] | chooses recipients, and the nodes that callers connect to |
//! | `datagram` | reads and writes datagrams |
//! | [`lives`], `replica` | track the heartbeats of replicas, by incarnation |
//! | [`counts`] | counts requests that began, for usage reports |
//!
//! None of these modules does I/O; this one does.

pub mod counts;
mod datagram;
mod history;
pub mod lives;
mod replica;
pub mod role;
pub mod round;
pub mod table;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use prost::Message;
use tokio::{
    net::UdpSocket,
    sync::Notify,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval, sleep},
};
use tracing::{debug, info, warn};

use self::{
    role::Role,
    round::{Datagram, Round},
    table::{Changes, CountsQuery, LocalReport, Table},
};
use crate::{
    timer::Timer,
    util::wall_ms,
    wire::{
        Cached, Crash, CrashReport, Gossip, Origins, Peer, RateLimit,
        RolloutReport, Success,
    },
};

/// Interval between regular rounds.
///
/// With this interval, a quota that all nodes overdraw at once is noticed
/// within a third of a second, and each of ten nodes receives thirty datagrams
/// a second.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before an urgent round, so that several changes share one.
const URGENT_ROUND_DELAY: Duration = Duration::from_millis(10);
/// Rounds between two greetings of all silent nodes.
const GREETING_INTERVAL_ROUNDS: u64 = 4;
/// Nodes that receive a full datagram in one round. If there are more nodes,
/// they take turns.
const FANOUT: usize = 16;
/// Nodes that receive the requests in flight in one round. About forty nodes
/// are active with three hundred replicas; a datagram of 400 bytes to each of
/// them takes 0.4 of 10 Mbit/s and a hundredth of a core.
const LOAD_FANOUT: usize = 64;
/// Interval at which a stopping node sends its last counts. A datagram waits up
/// to 100 ms behind other traffic on a full link.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum length of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Returns the mean propagation delay of reports between this number of nodes,
/// in ms, for everything but requests in flight.
pub fn mean_propagation_delay_ms(nodes: usize) -> f64 {
    propagation_delay_ms(nodes, FANOUT)
}

/// Returns the mean propagation delay of requests in flight, in ms.
pub fn load_propagation_delay_ms(nodes: usize) -> f64 {
    propagation_delay_ms(nodes, LOAD_FANOUT)
}

fn propagation_delay_ms(nodes: usize, fanout: usize) -> f64 {
    let rounds = nodes.saturating_sub(1).div_ceil(fanout).max(1);
    rounds as f64 * ROUND_INTERVAL.as_millis() as f64 / 2.0
}

/// Configuration of the mesh.
#[derive(Clone, Debug)]
pub struct Options {
    /// This node.
    pub me: Peer,
    /// Address on which datagrams are received. All nodes use the same port.
    pub listen: SocketAddrV4,
    /// Nodes to contact first.
    pub seeds: Vec<Ipv4Addr>,
}

/// Supplies the mesh with the node's report, and receives updates from it.
pub trait Host: Send + Sync + 'static {
    /// Returns what the next datagram contains besides the table.
    fn local_report(&self) -> LocalReport;
    /// Called when another node reports parts of prompts that it has sent to
    /// replicas.
    fn on_cached(&self, cached: Vec<Cached>);
    /// Called with requests that were in flight at replicas that crashed, and
    /// with requests that succeeded after such crashes. `passes_on` is true if
    /// the reporting node sends them to no other node.
    fn on_crashes(
        &self,
        crashes: &[Crash],
        successes: &[Success],
        passes_on: bool,
    );
    /// Called with requests that were in flight at suspected crashes.
    /// `passes_on` is as for [`Host::on_crashes`].
    fn on_suspected_crashes(&self, crashes: &[Crash], passes_on: bool);
    /// Called with parts of prompts that were in flight at crashes.
    /// `passes_on` is as for [`Host::on_crashes`].
    fn on_part_crashes(&self, report: &CrashReport, passes_on: bool);
    /// Called with the rate limits of replicas that another node reports.
    fn on_rate_limits(&self, limits: &[RateLimit]);
    /// Called with a node's evidence about the speed of replicas.
    fn on_speeds(&self, from: &Peer, speeds: &[u64]);
    /// Called with another node's records of streams, or its requests for
    /// them. Returns the reply.
    fn on_origins(&self, from: Ipv4Addr, origins: Origins) -> Option<Origins>;
    /// Called with the node that sent a datagram, if it takes part in
    /// roll-outs, and with what it knows of those that run.
    fn on_rollouts(
        self: Arc<Self>,
        from: &Peer,
        report: Option<RolloutReport>,
    );
    /// Called after a change, and in each regular round.
    fn on_changes(self: Arc<Self>, changes: Changes);
}

/// Handle to a running mesh. Clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    tasks: Arc<Tasks>,
}

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    seeds: Mutex<Vec<Ipv4Addr>>,
    socket: UdpSocket,
    port: u16,
    urgent: Notify,
    timer: Timer,
}

#[derive(Debug)]
struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Joins the mesh.
///
/// Methods of `host` are called while the table is unlocked.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(
    options: Options,
    timer: Timer,
    host: Arc<dyn Host>,
) -> io::Result<Handle> {
    let socket = UdpSocket::bind(options.listen).await?;
    let port = options.listen.port();
    info!(target: "mesh", "Listening for datagrams on {}.", options.listen);
    let shared = Arc::new(Shared {
        table: Mutex::new(Table::open(options.me)),
        seeds: Mutex::new(options.seeds),
        socket,
        port,
        urgent: Notify::new(),
        timer,
    });
    let tasks = vec![
        tokio::spawn(receive_datagrams(shared.clone(), host.clone())),
        tokio::spawn(send_rounds(shared.clone(), host)),
    ];
    Ok(Handle { shared, tasks: Arc::new(Tasks(tasks)) })
}

impl Handle {
    /// Returns the locked table. The guard must not be held across an await.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.shared.table()
    }

    /// Starts an urgent round.
    pub fn request_urgent_round(&self) {
        self.shared.urgent.notify_one();
    }

    /// Sends a datagram at once. It may be lost.
    pub fn send(&self, to: &[Ipv4Addr], gossip: &Gossip) {
        let bytes = gossip.encode_to_vec();
        for ip in to {
            let to = SocketAddr::from((*ip, self.shared.port));
            if let Err(error) = self.shared.socket.try_send_to(&bytes, to) {
                debug!(target: "mesh", "Can't send datagram to {to}: {error}.");
            }
        }
    }

    /// Returns the seeds.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.shared.seeds()
    }

    /// Replaces the seeds, for example after a change of settings.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        *self
            .shared
            .seeds
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = seeds;
        self.request_urgent_round();
    }

    /// Sends the last counts of this node, which counts no more requests, until
    /// the nodes that make usage reports have confirmed them, or until `end`.
    pub async fn confirm_counts(&self, end: Instant) {
        loop {
            let now = self.shared.timer.now();
            let wall_ms = wall_ms() as i64;
            let last = self.table().last_counts(now, wall_ms);
            let Some((to, gossip)) = last else { return };
            self.send(&to, &gossip);
            if Instant::now() + CONFIRMATION_INTERVAL >= end {
                warn!(target: "mesh", ?to, "Last counts not confirmed.");
                return;
            }
            sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Stops sending and receiving.
    pub fn stop(&self) {
        for task in &self.tasks.0 {
            task.abort();
        }
    }
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Drops expired entries and updates the role of this node.
    fn update_role(&self, begun: u64) -> Changes {
        let now = self.timer.now();
        let mut table = self.table();
        table.expire(now);
        let Some(before) = table.update_role(now, begun) else {
            return Changes::default();
        };
        let role = Role::of(table.own_peer());
        let rate = table.own_peer().rate;
        let (entries, unheard) = table.entry_counts(now);
        drop(table);
        info!(
            target: "mesh",
            ?role, ?before, rate, entries, unheard,
            "Role changed."
        );
        self.urgent.notify_one();
        let became_active = role == Role::Active && before == Role::Standby;
        Changes { became_active, ..Changes::default() }
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        let seeds = self.seeds.lock();
        seeds.unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    async fn send(&self, datagram: &[u8], to: Ipv4Addr) {
        let to = SocketAddr::from((to, self.port));
        // A datagram that can't be sent is treated like one that is lost on
        // the network.
        if let Err(error) = self.socket.send_to(datagram, to).await {
            debug!(target: "mesh", "Can't send datagram to {to}: {error}.");
        }
    }
}

async fn receive_datagrams(shared: Arc<Shared>, host: Arc<dyn Host>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match shared.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A datagram of ours that was refused is reported here as an
                // error. The socket remains usable.
                debug!(target: "mesh", "Can't receive datagram: {error}.");
                sleep(URGENT_ROUND_DELAY).await;
                continue;
            }
        };
        let Ok(mut gossip) = Gossip::decode(&buffer[..length]) else {
            warn!(target: "mesh", "Can't decode datagram from {from}.");
            continue;
        };
        if let (Some(origins), SocketAddr::V4(from)) =
            (gossip.origins.take(), from)
            && let Some(origins) = host.on_origins(*from.ip(), origins)
        {
            let origins = Some(origins);
            let reply = Gossip { origins, ..Gossip::default() };
            shared.send(&reply.encode_to_vec(), *from.ip()).await;
        }
        let asker = gossip.from.clone().filter(|_| gossip.hello);
        let cached = std::mem::take(&mut gossip.cached);
        if !cached.is_empty() {
            host.on_cached(cached);
        }
        let from_node = gossip.from.as_ref();
        let is_from_standby =
            from_node.is_some_and(|node| !Role::is_member(node));
        if !gossip.suspected.is_empty() {
            host.on_suspected_crashes(&gossip.suspected, is_from_standby);
        }
        if !gossip.crashes.is_empty() || !gossip.successes.is_empty() {
            host.on_crashes(
                &gossip.crashes,
                &gossip.successes,
                is_from_standby,
            );
        }
        if let Some(report) = &gossip.parts {
            host.on_part_crashes(report, is_from_standby);
        }
        if !gossip.limits.is_empty() {
            host.on_rate_limits(&gossip.limits);
        }
        let peer = gossip.from.clone().filter(|peer| peer.rollouts > 0);
        let gossip_rollouts = gossip.rollouts.take();
        if let Some(from) = gossip.from.as_ref() {
            host.on_speeds(from, &gossip.speeds);
        }
        let now = shared.timer.now();
        let query = CountsQuery::of(&gossip);
        let (changes, departures, counts) = {
            let mut table = shared.table();
            let wall_ms = wall_ms() as i64;
            let changes = table.receive(now, wall_ms, gossip);
            let counts = query
                .map(|query| table.answer_counts(now, wall_ms, &query))
                .unwrap_or_default();
            (changes, table.take_reported_departures(), counts)
        };
        if let SocketAddr::V4(from) = from {
            for counts in counts {
                shared.send(&counts.encode_to_vec(), *from.ip()).await;
            }
        }
        for replica in departures {
            info!(
                target: "mesh",
                replica,
                "Departure of a replica reported by {}.", from.ip()
            );
        }
        if let Some(peer) = &peer {
            host.clone().on_rollouts(peer, gossip_rollouts);
        }
        if changes != Changes::default() {
            host.clone().on_changes(changes);
        }
        if let (Some(asker), SocketAddr::V4(from)) = (asker, from) {
            // Called before the table is locked, because the host takes other
            // locks.
            let own = host.local_report();
            let wall_ms = wall_ms() as i64;
            let answer = shared.table().answer(now, wall_ms, own, &asker);
            shared.send(&answer.encode_to_vec(), *from.ip()).await;
        }
    }
}

async fn send_rounds(shared: Arc<Shared>, host: Arc<dyn Host>) {
    let mut ticks = interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        let is_regular = tokio::select! {
            _ = ticks.tick() => true,
            () = shared.urgent.notified() => {
                sleep(URGENT_ROUND_DELAY).await;
                false
            }
        };
        // Called before the table is locked, because the host takes other
        // locks.
        let own = host.local_report();
        if is_regular {
            round += 1;
            let changes = shared.update_role(own.begun);
            host.clone().on_changes(changes);
        }
        let round = Round {
            now: shared.timer.now(),
            wall_ms: wall_ms() as i64,
            number: round,
            is_urgent: !is_regular,
        };
        let seeds = shared.seeds();
        let datagrams = shared.table().round(round, own, &seeds);
        for Datagram { to, gossip } in datagrams {
            let bytes = gossip.encode_to_vec();
            for to in to {
                shared.send(&bytes, to).await;
            }
        }
    }
}
