//! How a node that starts learns which replicas there are, and what they
//! have cached.
//!
//! It asks another node. When all have started at the same time nobody can
//! tell; so nodes with a disk write what they know to it now and then, and
//! tell that. What is lost or out of date costs some reading or an attempt at
//! a replica that has gone, nothing else.
//!
//! Replicas come first, as requests wait for them. With a data centre's power
//! back, nodes serve 0.1 s after their start instead of 0.3 to 0.9 s, when
//! the heartbeats of all replicas have come in one by one.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use prost::Message;
use rand::seq::IteratorRandom;
use tokio::time::{error::Elapsed, sleep, timeout};
use tracing::{info, warn};

use super::{Node, plan};
use crate::{
    control::server::{MESSAGE_LIMIT, connect},
    util::wall_ms,
    wire::{
        Caches, Crash, Empty, Levels, Memory, Sighting, Sightings,
        nodes_client::NodesClient,
    },
};

/// Before each attempt to ask another node: a few are known by then.
const PAUSE: Duration = Duration::from_millis(250);
/// Before each attempt to ask for plan and replicas: a few datagrams' way. Requests are
/// refused for as long as none is known.
const SHORT_PAUSE: Duration = Duration::from_millis(40);
/// Attempts to ask for them; gossip and heartbeats bring both meanwhile.
const FIRST_ATTEMPTS: usize = 20;
/// How long one of them may take: some kB over ten megabits.
const FIRST_LIMIT: Duration = Duration::from_millis(300);
/// What was written longer ago is not believed, in ms: replicas live for
/// minutes, and clocks differ by some seconds after a loss of power.
const MEMORY_LIMIT_MS: u64 = 30_000;
/// Attempts, half of them at nodes with a disk.
const ATTEMPTS: usize = 8;
/// How long one attempt may take: some hundred kB over ten megabits, and a
/// dozen nodes that ask the same one.
const LIMIT: Duration = Duration::from_millis(1500);
/// Between two writes: what was sent to replicas in between is lost with all
/// nodes at once.
const SAVE: Duration = Duration::from_secs(2);

/// Learns what others know, and tells when this node knows as much.
pub(super) async fn learn(node: Arc<Node>, folder: Option<PathBuf>) {
    if let Some(folder) = folder {
        match read(&folder) {
            Ok(memory) => remember(&node, memory),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => {
                warn!(target: "node", "No memory from the disk: {error}.");
            }
        }
    }
    learn_first(&node).await;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            sleep(PAUSE).await;
        }
        let Some(from) = choose(&node, attempt % 2 == 0) else { continue };
        match timeout(LIMIT, ask(&node, from)).await {
            Ok(Ok(caches)) if caches.whole => {
                return take(&node, &caches, &from.to_string());
            }
            Ok(Ok(_)) => {}
            Ok(Err(status)) => {
                let text = status.message();
                warn!(target: "node", "No caches from {from}: {text}.");
            }
            Err(_) => {
                warn!(target: "node", "No caches from {from}: silent.");
            }
        }
    }
    // Nobody knows more than what all were told since.
    node.knows_caches.store(true, Ordering::Relaxed);
}

/// Takes what this node wrote before it started.
fn remember(node: &Node, memory: Memory) {
    remember_crashes(node, &memory);
    let levels = memory.levels.clone();
    let old_ms = wall_ms().abs_diff(memory.wall_ms);
    if old_ms > MEMORY_LIMIT_MS {
        info!(target: "node", old_ms, "What the disk remembers is too old.");
        return;
    }
    take_replicas(node, memory.replicas, "the disk", |says| Sighting {
        remembered: true,
        ..says
    });
    take(node, &memory.caches.unwrap_or_default(), "the disk");
    if let Some(levels) = levels {
        node.gateway.receive_quota_levels(levels, "the disk");
    }
}

/// Takes what this node knew of requests that may have ended replicas, however
/// long ago it was written: the quarantine itself knows how long it lasts.
fn remember_crashes(node: &Node, memory: &Memory) {
    // A clock that has jumped back makes it seem newer than it is.
    let old_ms = wall_ms().saturating_sub(memory.wall_ms);
    let old_ms = old_ms.min(u32::MAX.into()) as u32;
    let crashes: Vec<Crash> = memory
        .crashes
        .iter()
        .map(|one| Crash { age_ms: one.age_ms.saturating_add(old_ms), ..*one })
        .collect();
    node.gateway.receive_crash_reports(&crashes, &[], false);
}

/// Asks others for the plan, the replicas and what is left of quotas until all
/// are known.
///
/// Gossip brings the plan as well, but at the next round where a datagram is
/// lost or its sender knew none yet.
async fn learn_first(node: &Arc<Node>) {
    let mut knows_replicas = false;
    let mut knows_levels = false;
    for attempt in 0..FIRST_ATTEMPTS {
        let knows_plan = node.gateway.plan_version() > 0;
        if knows_replicas && knows_levels && knows_plan {
            return;
        }
        sleep(SHORT_PAUSE).await;
        let Some(from) = choose(node, attempt % 2 == 0) else { continue };
        if node.gateway.plan_version() == 0
            && !node.fetching.swap(true, Ordering::Relaxed)
        {
            tokio::spawn(plan::fetch(node.clone(), from));
        }
        if !knows_replicas {
            knows_replicas = learn_replicas(node, from).await;
        }
        if !knows_levels {
            knows_levels = learn_levels(node, from).await;
        }
    }
}

/// Asks another node what is left of quotas; true when it knew.
async fn learn_levels(node: &Node, from: Ipv4Addr) -> bool {
    let answer = timeout(FIRST_LIMIT, ask_levels(node, from)).await;
    match answered(answer, "quotas", from) {
        Some(known) if !known.levels.is_empty() => {
            node.gateway.receive_quota_levels(known, &from.to_string());
            true
        }
        _ => false,
    }
}

/// Asks another node for the replicas; true when it knew.
async fn learn_replicas(node: &Node, from: Ipv4Addr) -> bool {
    let answer = timeout(FIRST_LIMIT, ask_replicas(node, from)).await;
    let Some(known) = answered(answer, "replicas", from) else { return false };
    node.gateway.receive_crash_reports(&known.crashes, &[], false);
    node.gateway.receive_rate_limits(&known.limits);
    take_replicas(node, known.replicas, &from.to_string(), |says| says);
    known.whole
}

/// What a node answered; logs why it did not.
fn answered<T>(
    answer: Result<Result<T, tonic::Status>, Elapsed>,
    what: &str,
    from: Ipv4Addr,
) -> Option<T> {
    match answer {
        Ok(Ok(known)) => Some(known),
        Ok(Err(status)) => {
            let text = status.message();
            info!(target: "node", "No {what} from {from}: {text}.");
            None
        }
        Err(_) => {
            info!(target: "node", "No {what} from {from}: silent.");
            None
        }
    }
}

fn take_replicas(
    node: &Node,
    replicas: Vec<Sighting>,
    from: &str,
    change: impl Fn(Sighting) -> Sighting,
) {
    let Some(mesh) = node.mesh.get() else { return };
    info!(target: "node", replicas = replicas.len(), "Replicas from {from}.");
    let now = node.gateway.timer.now();
    for says in replicas {
        mesh.table().apply_sighting(now, change(says), false);
    }
    node.gateway.refresh();
}

fn take(node: &Node, caches: &Caches, from: &str) {
    let parts = caches.cached.len();
    info!(target: "node", parts, "Knows caches from {from}.");
    node.gateway.record_cached_reports(&caches.cached);
    node.knows_caches.store(true, Ordering::Relaxed);
}

fn choose(node: &Node, with_disk: bool) -> Option<Ipv4Addr> {
    let table = node.mesh.get()?.table();
    // Whoever stands by knows no more.
    let live = table.members(node.gateway.timer.now());
    let able = live.filter(|one| one.peer.has_disk || !with_disk);
    able.map(|one| one.ip()).choose(&mut rand::rng())
}

async fn ask(node: &Node, from: Ipv4Addr) -> Result<Caches, tonic::Status> {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address))
        .max_decoding_message_size(MESSAGE_LIMIT);
    Ok(client.recall(Empty {}).await?.into_inner())
}

async fn ask_levels(
    node: &Node,
    from: Ipv4Addr,
) -> Result<Levels, tonic::Status> {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address));
    Ok(client.quotas(Empty {}).await?.into_inner())
}

async fn ask_replicas(
    node: &Node,
    from: Ipv4Addr,
) -> Result<Sightings, tonic::Status> {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address));
    Ok(client.sighted(Empty {}).await?.into_inner())
}

/// Writes what this node knows to its folder, until it stops.
pub(super) async fn save(node: Arc<Node>, folder: PathBuf) {
    let mut fails = false;
    while !node.has_stopped() {
        // What a request has done has to outlast a loss of power right after.
        let suspects = node.gateway.suspects_changed.notified();
        let _ = timeout(SAVE, suspects).await;
        if !node.knows_caches.load(Ordering::Relaxed) {
            continue;
        }
        let memory = memory_of(&node);
        let folder = folder.clone();
        // Not on the thread that serves requests: a disk may hang for seconds.
        let written =
            tokio::task::spawn_blocking(move || write(&folder, &memory));
        let result = written.await.map_err(io::Error::other).flatten();
        if let (Err(error), false) = (&result, fails) {
            warn!(target: "node", "Memory not written: {error}.");
        }
        fails = result.is_err();
    }
}

fn memory_of(node: &Node) -> Memory {
    let now = node.gateway.timer.now();
    let mesh = node.mesh.get();
    Memory {
        caches: Some(Caches { whole: true, cached: node.gateway.cached() }),
        replicas: mesh.map_or(Vec::new(), |mesh| mesh.table().usable(now)),
        wall_ms: wall_ms(),
        crashes: node.gateway.repeated_crashes(),
        levels: Some(node.gateway.quota_levels()),
    }
}

fn write(folder: &Path, memory: &Memory) -> io::Result<()> {
    let bytes = memory.encode_to_vec();
    let new = folder.join("memory.new");
    let mut file = File::create(&new)?;
    file.write_all(&crc32fast::hash(&bytes).to_le_bytes())?;
    file.write_all(&bytes)?;
    file.sync_data()?;
    fs::rename(&new, folder.join("memory"))?;
    File::open(folder)?.sync_all()
}

fn read(folder: &Path) -> io::Result<Memory> {
    let bytes = fs::read(folder.join("memory"))?;
    let torn = || io::Error::new(io::ErrorKind::InvalidData, "torn file");
    let (sum, rest) = bytes.split_first_chunk().ok_or_else(torn)?;
    if crc32fast::hash(rest) != u32::from_le_bytes(*sum) {
        return Err(torn());
    }
    Memory::decode(rest).map_err(io::Error::other)
}
