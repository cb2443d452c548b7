//! A control member whose peers are not in its settings.
//!
//! The [rules](super::raft) and the [thread](super::member) are those of every
//! member; what differs is how it meets the others. Its id is its address, so that ids
//! need no list; links are opened to whoever the log's member list names; and
//! it asks to be taken in while no leader talks to it.
//!
//! # Disks that fail
//!
//! A failed write ends the member's thread: going on could acknowledge what
//! is not on the disk. A full disk fails for minutes, and ending the process
//! each time would take the requests with it that the same process serves. So
//! only the member ends here, and is opened anew after half a second, from what
//! the disk then holds.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::sleep,
};
use tracing::{error, info};

use super::{
    Error,
    disk::Disk,
    member::{Command, Office, Seat, Thread, View},
    raft::{Identity, Node, Timing},
    server::Link,
};
use crate::{
    timer::Timer,
    util::random_id,
    wire::{Envelope, Member},
};

/// Between two rounds of an idle leader, in ms.
const HEARTBEAT_MS: u64 = 150;
/// The shortest silence before an election, in ms.
///
/// Over six heartbeats: VMs with a quarter of a core stall for some tenths of
/// a second under load, and each needless election costs a second of refused
/// changes.
const ELECTION_MS: u64 = 1000;
/// Log entries between two snapshots; a whole plan can be in each.
const SNAPSHOT_ENTRIES: usize = 100;
/// Before a folder that failed is opened again.
const REOPEN: Duration = Duration::from_millis(500);
/// Commands that may wait for the thread.
const COMMAND_QUEUE: usize = 1024;
/// How often the thread is told the time; a third of a heartbeat.
const TICK: Duration = Duration::from_millis(50);

/// How to run a seat.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where members and nodes reach this one.
    pub address: SocketAddrV4,
    /// The data folder.
    pub folder: PathBuf,
    /// Whether this process makes a new cluster if its folder is empty.
    pub founds: bool,
    /// Voters without which a new cluster accepts nothing.
    pub least_voters: usize,
}

/// A running member; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: Arc<Mutex<Option<mpsc::Sender<Command>>>>,
    view: watch::Receiver<View>,
    task: Arc<Task>,
}

#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A member's id, made of the address that it is reached at.
pub fn id_of(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

/// The address that an id was made of.
pub fn address_of(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new(((id >> 16) as u32).into(), id as u16)
}

/// Starts a member, and starts it again whenever its disk fails.
pub fn spawn(options: Options, timer: Timer) -> Handle {
    let commands: Arc<Mutex<Option<mpsc::Sender<Command>>>> = Arc::default();
    let (show, view) = watch::channel(View::default());
    let task = tokio::spawn(run(options, timer, commands.clone(), show));
    Handle { commands, view, task: Arc::new(Task(task)) }
}

impl Handle {
    /// Follows what the member knows.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.clone()
    }

    /// Where commands go; `None` while the disk is out of order.
    pub fn commands(&self) -> Option<mpsc::Sender<Command>> {
        self.commands.lock().unwrap_or_else(|held| held.into_inner()).clone()
    }

    /// Whether this member may act for the whole system now.
    pub async fn office(&self) -> Option<Office> {
        let (answer, answered) = oneshot::channel();
        self.commands()?.send(Command::Office(answer)).await.ok()?;
        answered.await.ok()?
    }

    /// Asks to be taken in, unless a leader talks to this member.
    pub fn join(&self, leader: u64) {
        if let Some(commands) = self.commands() {
            // A full queue has more urgent things in it; it is asked again.
            let _ = commands.try_send(Command::Join(leader));
        }
    }

    /// Ends the thread once it has done what waits.
    pub async fn stop(&self) {
        if let Some(commands) = self.commands() {
            let _ = commands.send(Command::Stop).await;
        }
        self.task.0.abort();
    }
}

async fn run(
    options: Options,
    timer: Timer,
    commands: Arc<Mutex<Option<mpsc::Sender<Command>>>>,
    view: watch::Sender<View>,
) {
    loop {
        let (ended, end) = oneshot::channel();
        match open(&options, &timer, &view, ended) {
            Ok(sender) => {
                set(&commands, Some(sender));
                match end.await {
                    Ok(Ok(())) => return,
                    Ok(Err(failure)) => {
                        error!(target: "control", "Member ends: {failure}.");
                    }
                    Err(_) => {
                        error!(target: "control", "Member's thread broke.");
                    }
                }
                set(&commands, None);
            }
            Err(failure) => {
                error!(target: "control", "Member can't start: {failure}.");
            }
        }
        sleep(REOPEN).await;
    }
}

fn set(
    commands: &Mutex<Option<mpsc::Sender<Command>>>,
    sender: Option<mpsc::Sender<Command>>,
) {
    *commands.lock().unwrap_or_else(|held| held.into_inner()) = sender;
}

fn open(
    options: &Options,
    timer: &Timer,
    view: &watch::Sender<View>,
    ended: oneshot::Sender<Result<(), super::disk::Error>>,
) -> Result<mpsc::Sender<Command>, Error> {
    let (disk, saved) = Disk::open(&options.folder)?;
    let me = Identity {
        id: id_of(options.address),
        incarnation: disk.incarnation(),
    };
    let timing = Timing {
        heartbeat_ms: HEARTBEAT_MS,
        election_timeout_ms: ELECTION_MS,
    };
    let snapshot = saved.snapshot.clone();
    let mut node = Node::open(me, timing, random_id(), timer.now(), saved);
    info!(
        target: "control",
        "Member {} starts with {} log entries, term {}.",
        options.address,
        node.log_len(),
        node.term()
    );
    let founded = options.founds && node.is_empty();
    if founded {
        info!(target: "control", "Founds a cluster of its own.");
        node.bootstrap(vec![Member {
            id: me.id,
            incarnation: me.incarnation,
            address: options.address.to_string(),
            voter: true,
        }]);
    }
    let (commands, queue) = mpsc::channel(COMMAND_QUEUE);
    let state = snapshot.as_ref().map(|snapshot| snapshot.state.as_slice());
    let seat = Seat {
        address: options.address.to_string(),
        least_voters: options.least_voters,
        founded,
        view: view.clone(),
    };
    let links = Links::open(tokio::runtime::Handle::current());
    let thread =
        Thread::open(node, disk, state, SNAPSHOT_ENTRIES, links.sender())
            .with_seat(seat);
    std::thread::Builder::new().name("member".into()).spawn(move || {
        let _ = ended.send(thread.run(queue));
    })?;
    let ticks = commands.clone();
    timer.subscribe(TICK, move |now| {
        !matches!(
            ticks.try_send(Command::Tick(now)),
            Err(mpsc::error::TrySendError::Closed(_))
        )
    });
    Ok(commands)
}

/// Links to members, opened when first needed.
struct Links {
    runtime: tokio::runtime::Handle,
    /// Sorted by id.
    open: Vec<(u64, Link)>,
}

impl Links {
    fn open(runtime: tokio::runtime::Handle) -> Links {
        Links { runtime, open: Vec::new() }
    }

    fn sender(self) -> Box<dyn Fn(Vec<Envelope>) + Send> {
        let links = Mutex::new(self);
        Box::new(move |messages| {
            let mut links =
                links.lock().unwrap_or_else(|held| held.into_inner());
            for message in messages {
                links.send(message);
            }
        })
    }

    fn send(&mut self, message: Envelope) {
        let id = message.to;
        let at = match self.open.binary_search_by_key(&id, |(id, _)| *id) {
            Ok(at) => at,
            Err(at) => {
                let _inside = self.runtime.enter();
                let link = Link::spawn(SocketAddr::V4(address_of(id)));
                self.open.insert(at, (id, link));
                at
            }
        };
        self.open[at].1.send(message);
    }
}
