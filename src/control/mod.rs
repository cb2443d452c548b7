//! The control members: a replicated log on the few VMs that have a disk.
//!
//! | module | is |
//! |---|---|
//! | [`raft`] | the rules of the log, pure |
//! | [`disk`] | the data folder |
//! | [`ledger`] | the state that the log builds, pure |
//! | [`roster`] | what the leader knows besides, pure |
//! | [`member`] | the thread that drives these |
//! | [`server`] | the services and the links between members |
//! | [`seat`] | a member whose peers are not in its settings |
//! | [`client`] | how everybody else reaches them |
//!
//! # Starting a cluster
//!
//! A member with an empty data folder never votes of its own accord. It asks
//! all listed members; only when *all* answer and all are empty does the one
//! with the lowest id write the first member list, with the incarnation of
//! each. If any of them knows of a cluster already, the empty one waits to be
//! taken in as a learner. So a VM that lost its disk can't found a second
//! cluster beside the first.

pub mod client;
pub mod disk;
pub mod ledger;
pub mod member;
pub mod raft;
pub mod roster;
pub mod seat;
pub mod server;

use std::{fmt, io, net::SocketAddr, time::Duration};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
};
use tracing::{error, info};

use self::{
    disk::Disk,
    member::{Command, Thread},
    raft::{Identity, Node, Timing},
    server::{Link, Service},
};
use crate::{
    settings,
    timer::Timer,
    util::random_id,
    wire::{Envelope, Member},
};

/// Commands that may wait for the member's thread.
const COMMAND_QUEUE: usize = 4096;

/// Why a member can't run.
#[derive(Debug)]
pub enum Error {
    /// The data folder can't be used.
    Disk(disk::Error),
    /// The address can't be bound, or a thread can't be started.
    Io(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Disk(error) => write!(out, "data folder: {error}"),
            Error::Io(error) => write!(out, "can't start: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<disk::Error> for Error {
    fn from(error: disk::Error) -> Error {
        Error::Disk(error)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

/// A running control member.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    ended: oneshot::Receiver<Result<(), disk::Error>>,
    // Held so that the timer's task lives as long as the member.
    _timer: Timer,
}

/// Starts a member.
///
/// # Errors
///
/// When the data folder can't be used or the address can't be bound.
pub async fn spawn(settings: &settings::Control) -> Result<Handle, Error> {
    let (disk, saved) = Disk::open(&settings.data_folder)?;
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let timer = Timer::spawn();
    let me = Identity { id: settings.id, incarnation: disk.incarnation() };
    let timing = Timing {
        heartbeat_ms: settings.heartbeat_ms,
        election_timeout_ms: settings.election_ms,
    };
    let snapshot = saved.snapshot.clone();
    let node = Node::open(me, timing, random_id(), timer.now(), saved);
    info!(
        target: "control",
        "Member {} starts at {address} with {} log entries.",
        me.id,
        node.log_len()
    );
    let (commands, queue) = mpsc::channel(COMMAND_QUEUE);
    let thread = Thread::open(
        node,
        disk,
        snapshot.as_ref().map(|snapshot| snapshot.state.as_slice()),
        settings.snapshot_entries,
        open_links(settings),
    );
    let (end, ended) = oneshot::channel();
    std::thread::Builder::new().name("member".into()).spawn(move || {
        let result = thread.run(queue);
        if let Err(failure) = &result {
            error!(target: "control", "Stops: {failure}.");
        }
        let _ = end.send(result);
    })?;
    let ticks = commands.clone();
    // Fine enough for the shortest heartbeat that the settings allow.
    let period = Duration::from_millis((settings.heartbeat_ms / 4).max(5));
    timer.subscribe(period, move |now| {
        !matches!(
            ticks.try_send(Command::Tick(now)),
            Err(mpsc::error::TrySendError::Closed(_))
        )
    });
    tokio::spawn(found_cluster(settings.clone(), commands.clone()));
    let (stop, mut stopped) = watch::channel(false);
    let service = Service::new(commands.clone());
    let server = tokio::spawn(async move {
        let stop = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        if let Err(failure) = service.serve(listener, stop).await {
            error!(target: "control", "Server failed: {failure}.");
        }
    });
    Ok(Handle { address, commands, stop, server, ended, _timer: timer })
}

impl Handle {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Resolves when the member has ended by itself.
    ///
    /// # Errors
    ///
    /// When the disk failed.
    pub async fn ended(&mut self) -> Result<(), Error> {
        match (&mut self.ended).await {
            Ok(result) => result.map_err(Error::Disk),
            Err(_) => Err(Error::Io(io::Error::other("the thread broke"))),
        }
    }

    /// Answers what has begun, for at most two seconds, and ends.
    pub async fn shutdown(self) {
        let _ = self.stop.send(true);
        let grace = Duration::from_secs(2);
        let _ = tokio::time::timeout(grace, self.server).await;
        let _ = self.commands.send(Command::Stop).await;
        let _ = self.ended.await;
        info!(target: "control", "Stopped.");
    }
}

fn open_links(
    settings: &settings::Control,
) -> Box<dyn Fn(Vec<Envelope>) + Send> {
    let links: Vec<(u64, Link)> = settings
        .members
        .iter()
        .filter(|member| member.id != settings.id)
        .filter_map(|member| {
            let address = member.address.parse().ok()?;
            Some((member.id, Link::spawn(address)))
        })
        .collect();
    Box::new(move |messages| {
        for message in messages {
            let at = links.binary_search_by_key(&message.to, |(id, _)| *id);
            if let Ok(at) = at {
                links[at].1.send(message);
            }
        }
    })
}

/// Makes the first member list, if this is the member that has to.
async fn found_cluster(
    settings: settings::Control,
    commands: mpsc::Sender<Command>,
) {
    loop {
        let (answer, answered) = oneshot::channel();
        let _ = commands.send(Command::Probe(answer)).await;
        let Ok((me, empty)) = answered.await else { return };
        if !empty {
            return;
        }
        if let Some(members) = all_empty(&settings, me).await {
            let first = members.first().map(|member| member.id);
            if first == Some(me.id) {
                let _ = commands.send(Command::Bootstrap(members)).await;
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// The members with their incarnations, if all answer and all are empty.
async fn all_empty(
    settings: &settings::Control,
    me: Identity,
) -> Option<Vec<Member>> {
    let mut members = settings.members.clone();
    for member in &mut members {
        if member.id == me.id {
            member.incarnation = me.incarnation;
            continue;
        }
        let address = member.address.parse().ok()?;
        let reply = server::probe(address).await?;
        if !reply.empty || reply.id != member.id {
            return None;
        }
        member.incarnation = reply.incarnation;
    }
    Some(members)
}
