//! Restores a starting node's knowledge of the replicas and of what they have
//! cached.
//!
//! The node asks another node. If all nodes have started at the same time, the
//! others don't know either. So nodes with a disk regularly save what they
//! know and answer from what they have saved. Lost or outdated knowledge costs
//! only some prompt computation, or an attempt at a replica that has stopped.
//!
//! Replicas are learned first, because requests wait for them. When the power
//! of a data centre returns, nodes serve 0.1 s after their start. Without this
//! module they would serve after 0.3 to 0.9 s, when the heartbeats of all
//! replicas have arrived one by one.

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

use super::{Node, plan_fetch};
use crate::{
    control::server::{MAX_MESSAGE_BYTES, connect},
    util::wall_ms,
    wire::{
        Caches, Crash, CrashReport, Empty, Levels, Memory, Sighting,
        Sightings, nodes_client::NodesClient,
    },
};

/// Delay before each further attempt to fetch the cache contents. By then a
/// few nodes are known.
const FETCH_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before each attempt to fetch the plan, the replicas and the quota
/// use: the travel time of a few datagrams. Requests are refused until a plan
/// and replicas are known.
const INITIAL_FETCH_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of attempts to fetch them. Gossip and heartbeats deliver
/// plan and replicas as well.
const MAX_INITIAL_FETCHES: usize = 20;
/// Maximum number of nodes that are asked for the plan in one attempt.
const MAX_INITIAL_PLAN_SOURCES: usize = 3;
/// Timeout of one of these calls: enough for some kB over ten megabits.
const INITIAL_FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum age of saved memory that is restored, in ms. Replicas run for
/// minutes, and clocks differ by some seconds after a power loss.
const MAX_MEMORY_AGE_MS: u64 = 30_000;
/// Maximum number of attempts to fetch the cache contents. Every second
/// attempt is restricted to nodes with a disk.
const MAX_CACHE_FETCHES: usize = 8;
/// Timeout of one such attempt: enough for some hundred kB over ten megabits,
/// while a dozen nodes ask the same node.
const CACHE_FETCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between writes of the memory file. If all nodes stop at once, the
/// knowledge of prompts sent to replicas since the last write is lost.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// Restores this node's knowledge from its disk and from other nodes, and
/// marks its cache contents as known when that is done.
pub(super) async fn learn(node: Arc<Node>, folder: Option<PathBuf>) {
    if let Some(folder) = folder {
        match read_memory(&folder) {
            Ok(memory) => apply_memory(&node, memory),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => {
                warn!(target: "node", "Saved memory not read: {error}.");
            }
        }
    }
    learn_initial_state(&node).await;
    for attempt in 0..MAX_CACHE_FETCHES {
        if attempt > 0 {
            sleep(FETCH_INTERVAL).await;
        }
        let Some(from) = pick_peer(&node, attempt % 2 == 0) else { continue };
        match timeout(CACHE_FETCH_TIMEOUT, fetch_caches(&node, from)).await {
            Ok(Ok(caches)) if caches.whole => {
                return apply_caches(&node, &caches, &from.to_string());
            }
            Ok(Ok(_)) => {}
            Ok(Err(status)) => {
                let text = status.message();
                warn!(
                    target: "node",
                    "Cache contents not fetched from {from}: {text}."
                );
            }
            Err(_) => {
                warn!(
                    target: "node",
                    "Cache contents not fetched from {from}: timed out."
                );
            }
        }
    }
    // No reachable node knows more than what this node has received since.
    node.knows_caches.store(true, Ordering::Relaxed);
}

/// Applies the memory that this node saved before it was restarted.
fn apply_memory(node: &Node, memory: Memory) {
    apply_saved_crashes(node, &memory);
    let levels = memory.levels.clone();
    let old_ms = wall_ms().abs_diff(memory.wall_ms);
    if old_ms > MAX_MEMORY_AGE_MS {
        info!(
            target: "node", old_ms,
            "Saved memory too old: only crashes restored."
        );
        return;
    }
    apply_replicas(node, memory.replicas, "the disk", |report| Sighting {
        remembered: true,
        ..report
    });
    apply_caches(node, &memory.caches.unwrap_or_default(), "the disk");
    if let Some(levels) = levels {
        node.gateway.receive_quota_levels(levels, "the disk");
    }
}

/// Applies the saved reports of requests that may have crashed replicas,
/// regardless of their age, because the quarantine expires them itself.
fn apply_saved_crashes(node: &Node, memory: &Memory) {
    // If the wall clock has jumped back, the reports seem newer than they are.
    let old_ms = wall_ms().saturating_sub(memory.wall_ms);
    let old_ms = old_ms.min(u32::MAX.into()) as u32;
    let aged = |crashes: &[Crash]| -> Vec<Crash> {
        let crashes = crashes.iter().map(|crash| Crash {
            age_ms: crash.age_ms.saturating_add(old_ms),
            ..*crash
        });
        crashes.collect()
    };
    let crashes = aged(&memory.crashes);
    node.gateway.receive_crash_reports(&crashes, &[], false);
    if let Some(report) = &memory.parts {
        let crashes = aged(&report.crashes);
        let report = CrashReport { crashes, ..CrashReport::default() };
        node.gateway.receive_part_report(&report, false);
    }
}

/// Fetches the plan, the replicas and the quota use from other nodes until all
/// three are known.
///
/// Gossip also announces the plan, but only in the next round if a datagram is
/// lost or its sender had no plan yet.
async fn learn_initial_state(node: &Arc<Node>) {
    let mut knows_replicas = false;
    let mut knows_levels = false;
    for attempt in 0..MAX_INITIAL_FETCHES {
        let knows_plan = node.gateway.plan_version() > 0;
        if knows_replicas && knows_levels && knows_plan {
            return;
        }
        sleep(INITIAL_FETCH_INTERVAL).await;
        let Some(from) = pick_peer(node, attempt % 2 == 0) else { continue };
        if node.gateway.plan_version() == 0 && node.plan_fetch.begin() {
            let nodes = initial_plan_sources(node, from);
            tokio::spawn(plan_fetch::fetch_first(node.clone(), nodes));
        }
        if !knows_replicas {
            knows_replicas = learn_replicas(node, from).await;
        }
        if !knows_levels {
            knows_levels = learn_levels(node, from).await;
        }
    }
}

/// Fetches the quota use from another node. Returns true if that node knew it.
async fn learn_levels(node: &Node, from: Ipv4Addr) -> bool {
    let answer =
        timeout(INITIAL_FETCH_TIMEOUT, fetch_levels(node, from)).await;
    match log_err(answer, "quotas", from) {
        Some(known) if !known.levels.is_empty() => {
            node.gateway.receive_quota_levels(known, &from.to_string());
            true
        }
        _ => false,
    }
}

/// Fetches the replicas from another node, and its crash and rate limit
/// reports. Returns true if that node's knowledge was complete.
async fn learn_replicas(node: &Node, from: Ipv4Addr) -> bool {
    let answer =
        timeout(INITIAL_FETCH_TIMEOUT, fetch_replicas(node, from)).await;
    let Some(known) = log_err(answer, "replicas", from) else { return false };
    node.gateway.receive_crash_reports(&known.crashes, &[], false);
    if let Some(report) = &known.parts {
        node.gateway.receive_part_report(report, false);
    }
    node.gateway.receive_rate_limits(&known.limits);
    apply_replicas(node, known.replicas, &from.to_string(), |report| report);
    known.whole
}

/// Returns a node's answer, or logs why there is none.
fn log_err<T>(
    answer: Result<Result<T, tonic::Status>, Elapsed>,
    what: &str,
    from: Ipv4Addr,
) -> Option<T> {
    match answer {
        Ok(Ok(known)) => Some(known),
        Ok(Err(status)) => {
            let text = status.message();
            info!(target: "node", "No {what} received from {from}: {text}.");
            None
        }
        Err(_) => {
            info!(
                target: "node",
                "No {what} received from {from}: timed out."
            );
            None
        }
    }
}

fn apply_replicas(
    node: &Node,
    replicas: Vec<Sighting>,
    from: &str,
    change: impl Fn(Sighting) -> Sighting,
) {
    let Some(mesh) = node.mesh.get() else { return };
    info!(
        target: "node", replicas = replicas.len(),
        "Replicas received from {from}."
    );
    let now = node.gateway.timer.now();
    for sighting in replicas {
        mesh.table().apply_sighting(now, change(sighting), false);
    }
    node.gateway.refresh();
}

fn apply_caches(node: &Node, caches: &Caches, from: &str) {
    let parts = caches.cached.len();
    info!(target: "node", parts, "Cache contents received from {from}.");
    node.gateway.record_cached_reports(&caches.cached);
    node.knows_caches.store(true, Ordering::Relaxed);
}

fn pick_peer(node: &Node, with_disk: bool) -> Option<Ipv4Addr> {
    let table = node.mesh.get()?.table();
    // Nodes on standby know no more than this node.
    let live = table.members(node.gateway.timer.now());
    let eligible = live.filter(|other| other.peer.has_disk || !with_disk);
    eligible.map(|other| other.ip()).choose(&mut rand::rng())
}

/// Returns the nodes that a starting node asks for the plan.
fn initial_plan_sources(node: &Node, first: Ipv4Addr) -> Vec<Ipv4Addr> {
    let mut sources = vec![first];
    if let Some(mesh) = node.mesh.get() {
        let table = mesh.table();
        let members = table.members(node.gateway.timer.now());
        let others = members.map(|other| other.ip());
        let others = others.filter(|ip| *ip != first);
        let count = MAX_INITIAL_PLAN_SOURCES - 1;
        sources.extend(others.sample(&mut rand::rng(), count));
    }
    sources
}

async fn fetch_caches(
    node: &Node,
    from: Ipv4Addr,
) -> Result<Caches, tonic::Status> {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    Ok(client.recall(Empty {}).await?.into_inner())
}

async fn fetch_levels(
    node: &Node,
    from: Ipv4Addr,
) -> Result<Levels, tonic::Status> {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address));
    Ok(client.quotas(Empty {}).await?.into_inner())
}

async fn fetch_replicas(
    node: &Node,
    from: Ipv4Addr,
) -> Result<Sightings, tonic::Status> {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address));
    Ok(client.sighted(Empty {}).await?.into_inner())
}

/// Saves this node's knowledge to its folder at intervals until the node
/// stops.
pub(super) async fn save(node: Arc<Node>, folder: PathBuf) {
    let mut has_failed = false;
    while !node.has_stopped() {
        // A new crash report is saved at once, so that it survives a power
        // loss right after the crash.
        let suspects = node.gateway.suspects_changed.notified();
        let _ = timeout(SAVE_INTERVAL, suspects).await;
        if !node.knows_caches.load(Ordering::Relaxed) {
            continue;
        }
        let memory = collect_memory(&node);
        let folder = folder.clone();
        // Written on another thread than requests are served on, because a
        // disk may hang for seconds.
        let written = tokio::task::spawn_blocking(move || {
            write_memory(&folder, &memory)
        });
        let result = written.await.map_err(io::Error::other).flatten();
        if let (Err(error), false) = (&result, has_failed) {
            warn!(target: "node", "Memory file not written: {error}.");
        }
        has_failed = result.is_err();
    }
}

fn collect_memory(node: &Node) -> Memory {
    let now = node.gateway.timer.now();
    let mesh = node.mesh.get();
    Memory {
        caches: Some(Caches { whole: true, cached: node.gateway.cached() }),
        replicas: mesh.map_or(Vec::new(), |mesh| mesh.table().usable(now)),
        wall_ms: wall_ms(),
        crashes: node.gateway.repeated_crashes(),
        levels: Some(node.gateway.quota_levels()),
        parts: Some(node.gateway.repeated_part_crashes()),
    }
}

fn write_memory(folder: &Path, memory: &Memory) -> io::Result<()> {
    let bytes = memory.encode_to_vec();
    let new = folder.join("memory.new");
    let mut file = File::create(&new)?;
    file.write_all(&crc32fast::hash(&bytes).to_le_bytes())?;
    file.write_all(&bytes)?;
    file.sync_data()?;
    fs::rename(&new, folder.join("memory"))?;
    File::open(folder)?.sync_all()
}

fn read_memory(folder: &Path) -> io::Result<Memory> {
    let bytes = fs::read(folder.join("memory"))?;
    let corrupt = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            "memory file truncated or corrupt",
        )
    };
    let (checksum, encoded) = bytes.split_first_chunk().ok_or_else(corrupt)?;
    if crc32fast::hash(encoded) != u32::from_le_bytes(*checksum) {
        return Err(corrupt());
    }
    Memory::decode(encoded).map_err(io::Error::other)
}
