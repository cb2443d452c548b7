//! How nodes know of each other, of the replicas, and of what all have used.
//!
//! Nodes that take callers' requests tell each other of themselves over UDP, a
//! few times a second; where there are many nodes, the others stand by and ask
//! one of these now and then. Datagrams get lost, and nothing is sent twice for
//! it: each says how things are, not what has changed, so the next one makes up
//! for the last.
//!
//! What is urgent (a replica leaves, a node stops) goes out at once, and in
//! the regular datagrams after that.
//!
//! | module | does |
//! |---|---|
//! | [`table`] | what is known of the other nodes, and sums over them |
//! | [`role`] | which nodes take callers' requests |
//! | [`round`] | who is told what, and where callers may connect |
//! | `datagram` | how datagrams are read and written |
//! | [`lives`], `replica` | what replicas say, one life after the other |
//! | [`counts`] | requests that began, for usage reports |
//!
//! None of these does I/O; this module does.

pub mod counts;
mod datagram;
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
    time::{MissedTickBehavior, interval, sleep},
};
use tracing::{debug, info, warn};

use self::{
    role::Role,
    round::{Round, Sending},
    table::{News, Own, Table},
};
use crate::{
    timer::Timer,
    util::wall_ms,
    wire::{Cached, Crash, Gossip, Peer, RateLimit, Success},
};

/// Between two datagrams to the same node.
///
/// Short enough that a quota overdrawn by all nodes at once is noticed within
/// a third of a second; ten nodes then get thirty datagrams a second each.
const PERIOD: Duration = Duration::from_millis(300);
/// Between two urgent rounds, so that many changes share one.
const URGENT_PAUSE: Duration = Duration::from_millis(10);
/// Every so many rounds, nodes that are silent are told too.
const SILENT_ROUNDS: u64 = 4;
/// Nodes told everything in one round; at more than that, the rest follow in
/// turn.
const FANOUT: usize = 16;
/// Nodes told of requests under way in one round. Some forty are active before
/// three hundred replicas; a datagram of 400 bytes to each takes 0.4 of 10
/// Mbit/s and a hundredth of a core.
const LOAD_FANOUT: usize = 64;
/// The longest datagram that is read, in bytes.
const LONGEST: usize = 16 * 1024;

/// How long it takes on average until one of so many nodes knows what
/// another has just said of anything but its requests under way, in ms.
pub fn mean_lag_ms(nodes: usize) -> f64 {
    lag_ms(nodes, FANOUT)
}

/// The same for requests under way.
pub fn load_lag_ms(nodes: usize) -> f64 {
    lag_ms(nodes, LOAD_FANOUT)
}

fn lag_ms(nodes: usize, told: usize) -> f64 {
    let rounds = nodes.saturating_sub(1).div_ceil(told).max(1);
    rounds as f64 * PERIOD.as_millis() as f64 / 2.0
}

/// How to join the mesh.
#[derive(Clone, Debug)]
pub struct Options {
    /// This node.
    pub me: Peer,
    /// Where datagrams come in; the port is the same at every node.
    pub listen: SocketAddrV4,
    /// Nodes to speak to first.
    pub seeds: Vec<Ipv4Addr>,
}

/// What the mesh needs from the node, and tells it.
pub trait Host: Send + Sync + 'static {
    /// What goes into the next datagram besides the table.
    fn own(&self) -> Own;
    /// Another node has sent parts of prompts to replicas.
    fn cached(&self, cached: Vec<Cached>);
    /// Requests were at replicas that ended, or ended well after that;
    /// `passes_on` where the node that says so tells nobody else.
    fn suspects(
        &self,
        crashes: &[Crash],
        successes: &[Success],
        passes_on: bool,
    );
    /// Requests were at replicas that have probably ended; `passes_on` as
    /// for [`Host::suspects`].
    fn suspected(&self, crashes: &[Crash], passes_on: bool);
    /// Another node tells the rates of requests that replicas take.
    fn limits(&self, limits: &[RateLimit]);
    /// Something has changed, or a period has passed.
    fn news(self: Arc<Self>, news: News);
}

/// A running mesh; clones share it.
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
/// `host` is called with the handle's table unlocked.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(
    options: Options,
    timer: Timer,
    host: Arc<dyn Host>,
) -> io::Result<Handle> {
    let socket = UdpSocket::bind(options.listen).await?;
    let port = options.listen.port();
    info!(target: "mesh", "Listens on {}.", options.listen);
    let shared = Arc::new(Shared {
        table: Mutex::new(Table::open(options.me)),
        seeds: Mutex::new(options.seeds),
        socket,
        port,
        urgent: Notify::new(),
        timer,
    });
    let tasks = vec![
        tokio::spawn(receive(shared.clone(), host.clone())),
        tokio::spawn(tell(shared.clone(), host)),
    ];
    Ok(Handle { shared, tasks: Arc::new(Tasks(tasks)) })
}

impl Handle {
    /// The table, locked; never held across an await.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        self.shared.table()
    }

    /// Tells all others at once.
    pub fn urge(&self) {
        self.shared.urgent.notify_one();
    }

    /// Takes new seeds, as when the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        *self.shared.seeds.lock().unwrap_or_else(|held| held.into_inner()) =
            seeds;
        self.urge();
    }

    /// Says nothing more and hears nothing more.
    pub fn stop(&self) {
        for task in &self.tasks.0 {
            task.abort();
        }
    }
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Drops what is old and decides anew which role this node has.
    fn review(&self, begun: u64) -> News {
        let now = self.timer.now();
        let mut table = self.table();
        table.expire(now);
        let Some(before) = table.review(now, begun) else {
            return News::default();
        };
        let role = Role::of(table.own());
        let rate = table.own().rate;
        let (entries, unheard) = table.reach(now);
        drop(table);
        info!(
            target: "mesh",
            ?role, ?before, rate, entries, unheard,
            "Another role."
        );
        self.urgent.notify_one();
        let steps_in = role == Role::Active && before == Role::Standby;
        News { steps_in, ..News::default() }
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        let held = self.seeds.lock();
        held.unwrap_or_else(|held| held.into_inner()).clone()
    }

    async fn send(&self, datagram: &[u8], to: Ipv4Addr) {
        let to = SocketAddr::from((to, self.port));
        // A datagram that can't be sent is as good as one lost on its way.
        if let Err(error) = self.socket.send_to(datagram, to).await {
            debug!(target: "mesh", "Can't send to {to}: {error}.");
        }
    }
}

async fn receive(shared: Arc<Shared>, host: Arc<dyn Host>) {
    let mut buffer = vec![0; LONGEST];
    loop {
        let (length, from) = match shared.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A refused datagram of ours shows up here; the socket lives.
                debug!(target: "mesh", "Can't receive: {error}.");
                sleep(URGENT_PAUSE).await;
                continue;
            }
        };
        let Ok(mut gossip) = Gossip::decode(&buffer[..length]) else {
            warn!(target: "mesh", "Unreadable datagram from {from}.");
            continue;
        };
        let asked = gossip.from.clone().filter(|_| gossip.hello);
        let cached = std::mem::take(&mut gossip.cached);
        if !cached.is_empty() {
            host.cached(cached);
        }
        let from_node = gossip.from.as_ref();
        let stands_by = from_node.is_some_and(|node| !Role::is_member(node));
        if !gossip.suspected.is_empty() {
            host.suspected(&gossip.suspected, stands_by);
        }
        if !gossip.crashes.is_empty() || !gossip.successes.is_empty() {
            host.suspects(&gossip.crashes, &gossip.successes, stands_by);
        }
        if !gossip.limits.is_empty() {
            host.limits(&gossip.limits);
        }
        let now = shared.timer.now();
        let news = shared.table().hear(now, wall_ms() as i64, gossip);
        if news != News::default() {
            host.clone().news(news);
        }
        if let (Some(asked), SocketAddr::V4(from)) = (asked, from) {
            // Before the table is locked: the host locks things of its own.
            let own = host.own();
            let wall_ms = wall_ms() as i64;
            let answer = shared.table().answer(now, wall_ms, own, &asked);
            shared.send(&answer.encode_to_vec(), *from.ip()).await;
        }
    }
}

async fn tell(shared: Arc<Shared>, host: Arc<dyn Host>) {
    let mut period = interval(PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        let regular = tokio::select! {
            _ = period.tick() => true,
            () = shared.urgent.notified() => {
                sleep(URGENT_PAUSE).await;
                false
            }
        };
        // Before the table is locked: the host locks things of its own.
        let own = host.own();
        if regular {
            round += 1;
            let news = shared.review(own.begun);
            host.clone().news(news);
        }
        let round = Round {
            now: shared.timer.now(),
            wall_ms: wall_ms() as i64,
            number: round,
            is_urgent: !regular,
        };
        let seeds = shared.seeds();
        let sendings = shared.table().round(round, own, &seeds);
        for Sending { to, gossip } in sendings {
            let bytes = gossip.encode_to_vec();
            for to in to {
                shared.send(&bytes, to).await;
            }
        }
    }
}
