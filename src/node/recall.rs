//! How a node that starts learns what the replicas have cached.
//!
//! It asks another node. When all have started at the same time nobody can
//! tell; so nodes with a disk write what they know to it now and then, and
//! tell that. What is lost or out of date costs some reading, nothing else.

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
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::Node;
use crate::{
    control::server::{MESSAGE_LIMIT, connect},
    wire::{Caches, Empty, nodes_client::NodesClient},
};

/// Before each attempt to ask another node: a few are known by then.
const PAUSE: Duration = Duration::from_millis(250);
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
            Ok(caches) => take(&node, &caches, "the disk"),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => {
                warn!(target: "node", "No caches from the disk: {error}.");
            }
        }
    }
    for attempt in 0..ATTEMPTS {
        sleep(PAUSE).await;
        let Some(from) = choose(&node, attempt % 2 == 1) else { continue };
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

fn take(node: &Node, caches: &Caches, from: &str) {
    let parts = caches.cached.len();
    info!(target: "node", parts, "Knows caches from {from}.");
    node.gateway.note_cached(&caches.cached);
    node.knows_caches.store(true, Ordering::Relaxed);
}

fn choose(node: &Node, with_disk: bool) -> Option<Ipv4Addr> {
    let table = node.mesh.get()?.table();
    let live = table.live(node.gateway.timer.now());
    let able = live.filter(|one| one.says.has_disk || !with_disk);
    able.map(|one| one.ip()).choose(&mut rand::rng())
}

async fn ask(node: &Node, from: Ipv4Addr) -> Result<Caches, tonic::Status> {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address))
        .max_decoding_message_size(MESSAGE_LIMIT);
    Ok(client.recall(Empty {}).await?.into_inner())
}

/// Writes what this node knows to its folder, until it stops.
pub(super) async fn save(node: Arc<Node>, folder: PathBuf) {
    let mut fails = false;
    while !node.has_stopped() {
        sleep(SAVE).await;
        if !node.knows_caches.load(Ordering::Relaxed) {
            continue;
        }
        let caches = Caches { whole: true, cached: node.gateway.cached() };
        let folder = folder.clone();
        // Not on the thread that serves requests: a disk may hang for seconds.
        let written =
            tokio::task::spawn_blocking(move || write(&folder, &caches));
        let result = written.await.map_err(io::Error::other).flatten();
        if let (Err(error), false) = (&result, fails) {
            warn!(target: "node", "Caches not written: {error}.");
        }
        fails = result.is_err();
    }
}

fn write(folder: &Path, caches: &Caches) -> io::Result<()> {
    let bytes = caches.encode_to_vec();
    let new = folder.join("caches.new");
    let mut file = File::create(&new)?;
    file.write_all(&crc32fast::hash(&bytes).to_le_bytes())?;
    file.write_all(&bytes)?;
    file.sync_data()?;
    fs::rename(&new, folder.join("caches"))?;
    File::open(folder)?.sync_all()
}

fn read(folder: &Path) -> io::Result<Caches> {
    let bytes = fs::read(folder.join("caches"))?;
    let torn = || io::Error::new(io::ErrorKind::InvalidData, "torn file");
    let (sum, rest) = bytes.split_first_chunk().ok_or_else(torn)?;
    if crc32fast::hash(rest) != u32::from_le_bytes(*sum) {
        return Err(torn());
    }
    Caches::decode(rest).map_err(io::Error::other)
}
