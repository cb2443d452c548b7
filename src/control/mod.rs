//! The control members: a replicated log on the few VMs that have a disk.
//!
//! | module | content |
//! |---|---|
//! | [`raft`] | the consensus algorithm, without I/O |
//! | [`disk`] | the data folder |
//! | [`ledger`] | the replicated state machine, without I/O |
//! | [`roster`] | the leader's state that is not replicated, without I/O |
//! | `availability` | log lines on reads that are not confirmed and on a missing leader |
//! | [`member`] | the thread that drives these modules |
//! | [`server`] | the gRPC services and the links between members |
//! | [`seat`] | a dynamic member, whose peers are not in its settings |
//! | [`client`] | the client that entries and operators use |
//! | [`search`] | the order in which a call asks the members, without I/O |
//! | `attempt_log` | the outcomes of a call's attempts, for its error |
//!
//! # Starting a cluster
//!
//! A member with an empty data folder never starts an election. It probes
//! all members in its settings. Only when *all* of them answer and all are
//! empty does the member with the lowest id write the first member list, with
//! the incarnation of each member. If any member belongs to a cluster
//! already, the empty member waits until the leader adds it as a learner. A
//! VM that lost its disk can therefore not start a second cluster.

mod attempt_log;
mod availability;
pub mod client;
pub mod disk;
pub mod ledger;
pub mod member;
pub mod raft;
pub mod roster;
pub mod search;
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

/// Capacity of the command queue of the member's thread.
const MAX_QUEUED_COMMANDS: usize = 4096;

/// An error that prevents a member from running.
#[derive(Debug)]
pub enum Error {
    /// The data folder is unusable.
    Disk(disk::Error),
    /// The listen address can't be bound, or the thread can't be started.
    Io(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Disk(error) => write!(out, "data folder: {error}"),
            Error::Io(error) => write!(out, "can't start member: {error}"),
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
    // Keeps the timer's task running while the handle exists.
    _timer: Timer,
}

/// Starts a control member with the peers from its settings.
///
/// # Errors
///
/// Returns an error when the data folder is unusable, the address can't be
/// bound or the thread can't be started.
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
        "Starting member {} at {address} with {} log entries.",
        me.id,
        node.log_len()
    );
    let (commands, queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let thread = Thread::open(
        node,
        disk,
        snapshot.as_ref().map(|snapshot| snapshot.state.as_slice()),
        settings.snapshot_entries,
        spawn_links(settings),
    );
    let (result_sender, ended) = oneshot::channel();
    std::thread::Builder::new().name("member".into()).spawn(move || {
        let result = thread.run(queue);
        if let Err(failure) = &result {
            error!(
                target: "control",
                "Member stopped by a disk error: {failure}."
            );
        }
        let _ = result_sender.send(result);
    })?;
    let ticks = commands.clone();
    // Short enough for the smallest heartbeat interval that the settings
    // allow.
    let period = Duration::from_millis((settings.heartbeat_ms / 4).max(5));
    timer.subscribe(period, move |now| {
        !matches!(
            ticks.try_send(Command::Tick(now)),
            Err(mpsc::error::TrySendError::Closed(_))
        )
    });
    tokio::spawn(bootstrap_cluster(settings.clone(), commands.clone()));
    let (stop, mut stopped) = watch::channel(false);
    let service = Service::new(commands.clone());
    let server = tokio::spawn(async move {
        let stop = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        if let Err(failure) = service.serve(listener, stop).await {
            error!(target: "control", "gRPC server failed: {failure}.");
        }
    });
    Ok(Handle { address, commands, stop, server, ended, _timer: timer })
}

impl Handle {
    /// Returns the address that the member listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the member's thread ends.
    ///
    /// # Errors
    ///
    /// Returns an error when the disk failed or the thread panicked.
    pub async fn ended(&mut self) -> Result<(), Error> {
        match (&mut self.ended).await {
            Ok(result) => result.map_err(Error::Disk),
            Err(_) => Err(Error::Io(io::Error::other(
                "the member's thread panicked",
            ))),
        }
    }

    /// Stops the member.
    ///
    /// Waits at most two seconds for calls in flight.
    pub async fn shutdown(self) {
        let _ = self.stop.send(true);
        let grace = Duration::from_secs(2);
        let _ = tokio::time::timeout(grace, self.server).await;
        let _ = self.commands.send(Command::Stop).await;
        let _ = self.ended.await;
        info!(target: "control", "Stopped.");
    }
}

fn spawn_links(
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

/// Writes the first member list if all members are empty and this member has
/// the lowest id.
async fn bootstrap_cluster(
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
        if let Some(members) = probe_empty_members(&settings, me).await {
            let first = members.first().map(|member| member.id);
            if first == Some(me.id) {
                let _ = commands.send(Command::Bootstrap(members)).await;
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the members with their incarnations if all answer and all are
/// empty.
async fn probe_empty_members(
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
