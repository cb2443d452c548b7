//! A dynamic member: a control member whose peers are not in its settings.
//!
//! It uses the same [consensus algorithm](super::raft) and the same
//! [thread](super::member) as other members, but finds its peers differently.
//! Its id is derived from its address, so no list of ids is needed. It opens
//! links to the members in the log's member list. While no leader contacts
//! it, it asks to join the cluster.
//!
//! # Disk errors
//!
//! A failed write ends the member's thread, because continuing could
//! acknowledge data that is not on the disk. A full disk can persist for
//! minutes, and ending the process would abort the requests that the same
//! process serves. Only the member stops, and it restarts after half a second
//! from the data then on the disk.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tracing::{error, info};

use super::{
    Error,
    disk::Disk,
    member::{Command, DynamicMember, Leadership, Thread, View},
    raft::{Identity, Node, Timing},
    server::Link,
};
use crate::{
    timer::Timer,
    util::random_id,
    wire::{Envelope, Member},
};

/// Interval between the heartbeats of an idle leader, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 150;
/// Minimum time without a leader before a member starts an election, in ms.
///
/// More than six heartbeats: VMs with a quarter of a core stall for some
/// tenths of a second under load, and during each needless election changes
/// are refused for about a second.
const MIN_ELECTION_TIMEOUT_MS: u64 = 1000;
/// Number of log entries at which the log is compacted into a snapshot.
///
/// Low, as each entry can contain a whole plan.
const ENTRIES_PER_SNAPSHOT: usize = 100;
/// Delay before a failed data folder is opened again.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a member's answer on its leadership is discarded.
///
/// A member whose disk hangs handles the question late, as of the time when it
/// was asked. Together with the time for which a leader acts after a majority
/// confirmed it, this is less than [`MIN_ELECTION_TIMEOUT_MS`], so no other
/// leader has been elected yet.
const LEADERSHIP_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time to wait for a place in a full command queue before the thread is left
/// to the end of the process.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);
/// Capacity of the command queue of the member's thread.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// Interval between ticks of the thread; a third of a heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a dynamic member.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address at which members and nodes reach this member.
    pub address: SocketAddrV4,
    /// The data folder.
    pub folder: PathBuf,
    /// Whether the member starts a new cluster if its folder is empty.
    pub founds: bool,
    /// Number of voters below which a new cluster accepts no plan.
    pub min_voters: usize,
}

/// A running dynamic member; clones refer to the same member.
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

/// Returns the id of the member at an address.
pub fn member_id(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

/// Returns the address of the member with an id.
pub fn member_address(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new(((id >> 16) as u32).into(), id as u16)
}

/// Starts a member, and restarts it after each disk error.
pub fn spawn(options: Options, timer: Timer) -> Handle {
    let commands: Arc<Mutex<Option<mpsc::Sender<Command>>>> = Arc::default();
    let (view_sender, view) = watch::channel(View::default());
    let task =
        tokio::spawn(run(options, timer, commands.clone(), view_sender));
    Handle { commands, view, task: Arc::new(Task(task)) }
}

impl Handle {
    /// Returns a receiver of the member's current view.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.clone()
    }

    /// Returns the sender of the command queue; `None` while the disk fails.
    pub fn commands(&self) -> Option<mpsc::Sender<Command>> {
        self.commands
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Returns the leadership if this member may act for the whole system now,
    /// or `None` if it does not say so at once.
    pub async fn leadership(&self) -> Option<Leadership> {
        let asked_at = Instant::now();
        let commands = self.commands()?;
        let (answer, answered) = oneshot::channel();
        let ask = async {
            commands.send(Command::Leadership(answer)).await.ok()?;
            answered.await.ok()?
        };
        let leadership = timeout(LEADERSHIP_ANSWER_TIMEOUT, ask).await.ok()?;
        // The timeout is checked after the answer, which may have arrived
        // while the process stood still.
        leadership.filter(|_| asked_at.elapsed() < LEADERSHIP_ANSWER_TIMEOUT)
    }

    /// Asks `leader` to add this member, unless a leader already contacts it.
    pub fn join(&self, leader: u64) {
        if let Some(commands) = self.commands() {
            // If the queue is full, its commands are more urgent; the caller
            // asks again.
            let _ = commands.try_send(Command::Join(leader));
        }
    }

    /// Announces to the leader that this process is stopping, so that the
    /// member stops counting towards the quorum where the others suffice.
    ///
    /// The member goes on until [`Handle::stop`].
    pub async fn announce_stop(&self) {
        if let Some(commands) = self.commands() {
            let announced = commands.send(Command::AnnounceStop);
            let _ = timeout(STOP_TIMEOUT, announced).await;
        }
    }

    /// Stops the thread after it has handled the queued commands.
    pub async fn stop(&self) {
        if let Some(commands) = self.commands() {
            let _ = timeout(STOP_TIMEOUT, commands.send(Command::Stop)).await;
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
        let (result_sender, result) = oneshot::channel();
        match start_member(&options, &timer, &view, result_sender) {
            Ok(sender) => {
                set_sender(&commands, Some(sender));
                match result.await {
                    Ok(Ok(())) => return,
                    Ok(Err(failure)) => {
                        error!(
                            target: "control",
                            "Member stopped by a disk error: {failure}."
                        );
                    }
                    Err(_) => {
                        error!(target: "control", "Member's thread panicked.");
                    }
                }
                set_sender(&commands, None);
            }
            Err(failure) => {
                error!(
                    target: "control",
                    "Failed to start member: {failure}."
                );
            }
        }
        sleep(REOPEN_INTERVAL).await;
    }
}

fn set_sender(
    commands: &Mutex<Option<mpsc::Sender<Command>>>,
    sender: Option<mpsc::Sender<Command>>,
) {
    *commands.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = sender;
}

fn start_member(
    options: &Options,
    timer: &Timer,
    view: &watch::Sender<View>,
    result_sender: oneshot::Sender<Result<(), super::disk::Error>>,
) -> Result<mpsc::Sender<Command>, Error> {
    let (disk, saved) = Disk::open(&options.folder)?;
    let me = Identity {
        id: member_id(options.address),
        incarnation: disk.incarnation(),
    };
    let timing = Timing {
        heartbeat_ms: HEARTBEAT_INTERVAL_MS,
        election_timeout_ms: MIN_ELECTION_TIMEOUT_MS,
    };
    let snapshot = saved.snapshot.clone();
    let mut node = Node::open(me, timing, random_id(), timer.now(), saved);
    info!(
        target: "control",
        "Starting member {} with {} log entries, term {}.",
        options.address,
        node.log_len(),
        node.term()
    );
    let founded = options.founds && node.is_empty();
    if founded {
        info!(target: "control", "Starting a new cluster.");
        node.bootstrap(vec![Member {
            id: me.id,
            incarnation: me.incarnation,
            address: options.address.to_string(),
            voter: true,
        }]);
    }
    let (commands, queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let state = snapshot.as_ref().map(|snapshot| snapshot.state.as_slice());
    let seat = DynamicMember {
        address: options.address.to_string(),
        min_voters: options.min_voters,
        founded,
        view: view.clone(),
    };
    let links = Links::open(tokio::runtime::Handle::current());
    let thread =
        Thread::open(node, disk, state, ENTRIES_PER_SNAPSHOT, links.sender())
            .with_dynamic_member(seat);
    std::thread::Builder::new().name("member".into()).spawn(move || {
        let _ = result_sender.send(thread.run(queue));
    })?;
    let ticks = commands.clone();
    timer.subscribe(TICK_INTERVAL, move |now| {
        !matches!(
            ticks.try_send(Command::Tick(now)),
            Err(mpsc::error::TrySendError::Closed(_))
        )
    });
    Ok(commands)
}

/// Links to members, opened on first use.
struct Links {
    runtime: tokio::runtime::Handle,
    /// The open links, sorted by id.
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
                links.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
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
                let _guard = self.runtime.enter();
                let link = Link::spawn(SocketAddr::V4(member_address(id)));
                self.open.insert(at, (id, link));
                at
            }
        };
        self.open[at].1.send(message);
    }
}
