//! Several nodes with and without disks, on loopback addresses of their own.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use azuremount::{
    control::seat,
    mesh::table::replica_hash,
    node::{self, PutError},
    timer::Timer,
};
use tokio::time::{sleep, timeout};

use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::world::{
    Replica, TempFolder, apply_plan, ok, options, read_answer, sighting,
};

/// Long beyond anything that a passing test waits for.
const PATIENCE: Duration = Duration::from_secs(30);
/// The port between nodes.
const PORT: u16 = 7701;

pub struct Site {
    /// Members that may lose their disks at once.
    tolerance: usize,
    ips: Vec<Ipv4Addr>,
    folders: Vec<Option<TempFolder>>,
    nodes: Vec<Option<node::Handle>>,
}

impl Site {
    /// Starts `disks` nodes with a disk and `others` without.
    pub async fn open(disks: usize, others: usize) -> Site {
        Site::open_tolerant(disks, others, 1).await
    }

    async fn open_tolerant(
        disks: usize,
        others: usize,
        tolerance: usize,
    ) -> Site {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let net = NEXT.fetch_add(1, Ordering::Relaxed);
        let count = disks + others;
        let mut site = Site {
            tolerance,
            ips: (0..count as u32)
                .map(|at| Ipv4Addr::from(0x7f58_0001 + (net << 8) + at))
                .collect(),
            folders: (0..count)
                .map(|at| (at < disks).then(TempFolder::new))
                .collect(),
            nodes: vec![None; count],
        };
        for at in 0..count {
            site.start(at, true).await;
        }
        site
    }

    pub async fn start(&mut self, at: usize, first: bool) {
        let folder = self.folders[at].as_ref();
        let options = node::Options {
            folder: folder.map(|folder| folder.0.clone()),
            founds: first && at == 0,
            tolerance: self.tolerance,
            ..options(self.ips[at], PORT, &self.ips[..3])
        };
        let started = async {
            loop {
                // The port may still be held by the node before.
                match node::spawn(options.clone()).await {
                    Ok(node) => return node,
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
            }
        };
        let node = timeout(PATIENCE, started).await.expect("can't start");
        self.nodes[at] = Some(node);
    }

    pub async fn stop(&mut self, at: usize) {
        if let Some(node) = self.nodes[at].take() {
            node.shutdown(Duration::ZERO).await;
        }
    }

    /// Ends a node and starts it with an empty disk at its old address.
    async fn wipe(&mut self, at: usize) {
        self.stop(at).await;
        self.folders[at] = Some(TempFolder::new());
        self.start(at, false).await;
    }

    pub fn node(&self, at: usize) -> &node::Handle {
        self.nodes[at].as_ref().unwrap()
    }

    /// Those that run.
    pub fn nodes(&self) -> impl Iterator<Item = &node::Handle> {
        self.nodes.iter().flatten()
    }

    /// The version that a node reads through the quorum, once it can.
    async fn read(&self, at: usize) -> u64 {
        let read = async {
            loop {
                match self.node(at).read_plan().await {
                    Ok(plan) if plan.version > 0 => return plan.version,
                    _ => sleep(Duration::from_millis(50)).await,
                }
            }
        };
        timeout(PATIENCE, read).await.expect("no majority answers")
    }

    async fn all_know_caches(&self, when: &str) {
        let known = async {
            while self
                .nodes
                .iter()
                .flatten()
                .any(|one| one.cached_parts() == 0)
            {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PATIENCE, known).await.expect(when);
    }

    pub async fn all_serve(&self) {
        let serve = async {
            let running = || self.nodes.iter().flatten();
            while !running().all(|node| {
                node.is_ready()
                    && node.entries(None).len() == running().count()
            }) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PATIENCE, serve).await.expect("some do not serve");
    }
}

/// Four disks and two nodes without: a plan put at any of them is read at all
/// of them and in force at all of them, and an invalid one at none.
#[tokio::test]
async fn a_plan_is_in_force_everywhere() {
    let site = Site::open(4, 2).await;
    apply_plan(site.node(5), 3).await;
    site.all_serve().await;
    for at in 0..6 {
        assert_eq!(site.read(at).await, 3);
    }
    let refused = site.node(4).put_plan(b"nonsense").await;
    assert!(matches!(refused, Err(PutError::Invalid(_))), "{refused:?}");
    // An older one is acknowledged, and changes nothing.
    assert_eq!(site.node(1).put_plan(b"2").await, Ok(3));
    assert_eq!(site.read(2).await, 3);
}

/// Symptom: an acknowledged configuration is gone. Sequence: one disk of four
/// is lost, the VM is taken in again, and right then a second disk is lost.
#[tokio::test]
async fn a_second_disk_may_be_lost_once_the_first_is_back() {
    let mut site = Site::open(4, 0).await;
    apply_plan(site.node(0), 1).await;
    site.all_serve().await;
    for (round, lost) in [0, 1, 2].into_iter().enumerate() {
        let version = 10 + round as u64;
        apply_plan(site.node(3), version).await;
        site.wipe(lost).await;
        assert_eq!(site.read(lost).await, version);
        // A wiped one is a voter again before the next is lost: the bound of
        // the deployments is four seconds.
        sleep(Duration::from_secs(4)).await;
    }
    assert_eq!(site.read(3).await, 12);
}

/// Symptom: a configuration is lost, or an old one served, after all
/// processes were killed at once. Sequence: one is acknowledged, and all are
/// ended and started again.
#[tokio::test]
async fn all_may_stop_at_once() {
    let mut site = Site::open(3, 1).await;
    apply_plan(site.node(3), 5).await;
    for at in 0..4 {
        site.stop(at).await;
    }
    for at in 0..4 {
        site.start(at, false).await;
    }
    for at in 0..4 {
        assert_eq!(site.read(at).await, 5);
    }
    site.all_serve().await;
}

/// Symptom: a cluster of its own beside the others. Sequence: the founder's
/// disk is lost before anybody joined. Cause: an empty folder founds again.
#[tokio::test]
async fn an_empty_folder_never_founds_later() {
    let mut site = Site::open(4, 0).await;
    apply_plan(site.node(1), 1).await;
    site.wipe(0).await;
    apply_plan(site.node(0), 2).await;
    for at in 0..4 {
        assert_eq!(site.read(at).await, 2);
    }
}

/// Symptom: a full disk takes the requests of its VM with it. Sequence: the
/// data folder can't be used; later it can. The node serves all the while,
/// and votes once its folder works.
#[tokio::test]
async fn a_node_serves_without_its_disk() {
    let mut site = Site::open(4, 0).await;
    apply_plan(site.node(1), 1).await;
    site.stop(3).await;
    let path = site.folders[3].as_ref().unwrap().0.clone();
    let aside = path.with_extension("aside");
    std::fs::rename(&path, &aside).unwrap();
    std::fs::write(&path, "not a folder").unwrap();
    site.start(3, false).await;
    site.all_serve().await;
    apply_plan(site.node(3), 2).await;
    std::fs::remove_file(&path).unwrap();
    std::fs::rename(&aside, &path).unwrap();
    site.stop(0).await;
    // With one of four gone for now, a majority needs this one.
    apply_plan(site.node(3), 3).await;
    assert_eq!(site.read(3).await, 3);
}

/// Symptom: after a restart prompts are read again that replicas have cached,
/// and the replicas are overloaded by it. Sequence: one node restarts; then
/// all do at once. Cause: what has been cached where was known only in the
/// memory of the nodes, and told once.
#[tokio::test]
async fn what_is_cached_is_known_after_one_or_all_have_restarted() {
    let mut site = Site::open(3, 1).await;
    apply_plan(site.node(3), 1).await;
    site.all_serve().await;
    let replica = Replica::spawn(|_| ok("fine")).await;
    site.node(3).sight(sighting("r", replica.address, 0));
    let front = site.node(3).front().unwrap();
    let mut client = TcpStream::connect(front).await.unwrap();
    let request = "GET /again/x HTTP/1.1\r\nHost: here\r\n\
                   Tokens: 1500\r\nParts: 7:900,8:600\r\n\r\n";
    client.write_all(request.as_bytes()).await.unwrap();
    read_answer(&mut client).await;
    site.all_know_caches("told").await;
    site.stop(3).await;
    site.start(3, false).await;
    site.all_know_caches("one restarted").await;
    let saved = site.folders[0].as_ref().unwrap().0.join("memory");
    let written = async {
        // With a part in it, the file has the number of the part's replica.
        let number = replica_hash("r").to_le_bytes();
        let named = || {
            let file: Vec<u8> = std::fs::read(&saved).unwrap_or_default();
            file.windows(8).any(|bytes| bytes == number)
        };
        while !named() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, written).await.expect("never written");
    for at in 0..4 {
        site.stop(at).await;
    }
    for at in 0..4 {
        site.start(at, false).await;
    }
    site.all_know_caches("all restarted").await;
}

/// Symptom: a caller's stream is cut in the middle by a planned stop. Sequence:
/// the node is told to stop; three of its eight seconds later it takes a
/// request whose replica has two seconds of others' prompts to read. Cause: it
/// took requests for as long as clients may keep its address, whatever time
/// was left for the answers.
#[test]
fn a_stopping_node_leaves_most_of_its_time_for_answers() {
    for seconds in [1, 2, 4, 8, 30] {
        let grace = Duration::from_secs(seconds);
        let left = grace - node::linger(grace);
        assert!(left >= grace.mul_f64(0.625), "{left:?} of {grace:?}");
    }
}

/// Symptom: after a loss of power at all nodes, requests are refused for most
/// of a second although all replicas run. Sequence: all nodes are stopped and
/// started again; no heartbeat has come in yet. Cause: replicas were known to
/// memory alone.
#[tokio::test]
async fn replicas_are_known_at_once_after_all_have_restarted() {
    let mut site = Site::open(3, 1).await;
    apply_plan(site.node(3), 1).await;
    site.all_serve().await;
    let replica = Replica::spawn(|_| ok("fine")).await;
    site.node(3).sight(sighting("r", replica.address, 0));
    let saved: Vec<_> = site
        .folders
        .iter()
        .flatten()
        .map(|folder| folder.0.join("memory"))
        .collect();
    let written = async {
        // With a replica in it, the file names its service.
        let named = |path| {
            let file: Vec<u8> = std::fs::read(path).unwrap_or_default();
            file.windows(3).any(|bytes| bytes == b"app")
        };
        while !saved.iter().all(named) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, written).await.expect("never written");
    for at in 0..4 {
        site.stop(at).await;
    }
    for at in 0..4 {
        site.start(at, false).await;
    }
    // Nodes with a disk and the one without: each serves its first request.
    for at in [3, 0] {
        let front = site.node(at).front().unwrap();
        let mut client = TcpStream::connect(front).await.unwrap();
        let request = "GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
        client.write_all(request.as_bytes()).await.unwrap();
        let answer = read_answer(&mut client).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "node {at}: {answer}");
    }
}

/// Symptom: ordinary replicas are paid for three and a half seconds longer
/// than needed at the start of a deployment. Cause: the first leader of all
/// waits for a predecessor's calls to be over, though there was none. One that
/// starts again, and so may have had a successor, has to wait.
#[tokio::test]
async fn only_the_first_leader_of_all_has_no_predecessor() {
    let folder = TempFolder::new();
    let ip = Ipv4Addr::new(127, 88, 250, 1);
    for first in [true, false] {
        let options = seat::Options {
            address: SocketAddrV4::new(ip, PORT),
            folder: folder.0.clone(),
            founds: true,
            least_voters: 1,
        };
        let seat = seat::spawn(options, Timer::spawn());
        let leads = async {
            loop {
                if let Some(office) = seat.office().await {
                    return office;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let office = timeout(PATIENCE, leads).await.expect("never leads");
        assert_eq!(office.is_first, first);
        seat.stop().await;
    }
}

/// Symptom that it guards against: a configuration that was just confirmed can't
/// be read any more. Sequence: as many disks as may be lost are lost, and all
/// other nodes, those without a disk too, end at the same moment; each member in
/// turn is among those that come back empty, the leader as well.
#[tokio::test]
async fn what_was_confirmed_outlasts_lost_disks_beside_lost_power() {
    let mut site = Site::open_tolerant(5, 2, 2).await;
    apply_plan(site.node(6), 1).await;
    site.all_serve().await;
    for (round, lost) in [[0, 1], [2, 3], [4, 0]].into_iter().enumerate() {
        let version = 10 + round as u64;
        apply_plan(site.node(5), version).await;
        for at in 0..7 {
            site.stop(at).await;
        }
        for at in lost {
            site.folders[at] = Some(TempFolder::new());
        }
        for at in 0..7 {
            site.start(at, false).await;
        }
        for at in 0..7 {
            assert_eq!(site.read(at).await, version, "round {round}");
        }
        // The emptied ones are voters again before the next are lost: the
        // bound of the deployments is six seconds.
        if round < 2 {
            sleep(Duration::from_secs(6)).await;
        }
    }
}
