//! Tests of several nodes with and without disks, each on its own loopback
//! address.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use azuremount::{
    control::seat,
    decide::rollout,
    gateway,
    mesh::table::replica_hash,
    node::{self, PutError},
    timer::Timer,
    wire::{Gossip, Held, HeldWindow, Peer},
};
use prost::Message;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
    runtime::{Handle, Runtime},
    time::{sleep, timeout},
};

use crate::world::{
    REPORT_INTERVAL, Replica, TEST_TIMEOUT, TempFolder, TestNode, apply_plan,
    ok, options, read_answer, read_plan, sighting, status,
};

/// Time-out of each wait, far longer than any wait in a passing test.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// The port for traffic between nodes.
pub const PORT: u16 = 7701;

fn new_runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
}

impl Drop for Site {
    fn drop(&mut self) {
        // A runtime can't be dropped in an asynchronous context.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A cluster of nodes under test.
pub struct Site {
    /// Number of members that may lose their disks at the same time.
    survivable_disk_losses: usize,
    rollouts: Option<rollout::Bounds>,
    read_plan: node::ReadPlan,
    /// The runtime of the nodes if they can be killed together; otherwise it
    /// is the test's.
    runtime: Option<Runtime>,
    ips: Vec<Ipv4Addr>,
    folders: Vec<Option<TempFolder>>,
    nodes: Vec<Option<node::Handle>>,
}

impl Site {
    /// Starts `disks` nodes with a disk and `others` nodes without one.
    pub async fn open(disks: usize, others: usize) -> Site {
        Site::open_with_tolerance(disks, others, 1, None, read_plan).await
    }

    /// Starts nodes that read plans with `read_plan`.
    pub async fn open_with_plans(
        disks: usize,
        others: usize,
        read_plan: node::ReadPlan,
    ) -> Site {
        Site::open_with_tolerance(disks, others, 1, None, read_plan).await
    }

    /// Starts nodes that read plans with `read_plan`, of which two may lose
    /// their disks at the same time, and that can be killed together.
    pub async fn open_killable(
        disks: usize,
        others: usize,
        read_plan: node::ReadPlan,
    ) -> Site {
        let runtime = Some(new_runtime());
        Site::open_with(disks, others, 2, None, read_plan, runtime).await
    }

    /// Starts nodes that take part in roll-outs.
    pub async fn open_with_rollouts(
        disks: usize,
        others: usize,
        bounds: rollout::Bounds,
    ) -> Site {
        let rollouts = Some(bounds);
        Site::open_with_tolerance(disks, others, 1, rollouts, read_plan).await
    }

    async fn open_with_tolerance(
        disks: usize,
        others: usize,
        survivable_disk_losses: usize,
        rollouts: Option<rollout::Bounds>,
        read_plan: node::ReadPlan,
    ) -> Site {
        Site::open_with(
            disks,
            others,
            survivable_disk_losses,
            rollouts,
            read_plan,
            None,
        )
        .await
    }

    async fn open_with(
        disks: usize,
        others: usize,
        survivable_disk_losses: usize,
        rollouts: Option<rollout::Bounds>,
        read_plan: node::ReadPlan,
        runtime: Option<Runtime>,
    ) -> Site {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let site = NEXT.fetch_add(1, Ordering::Relaxed);
        // Other runs of these tests may use the same machine.
        let process = 212 + std::process::id() % 40;
        let net = 127 << 24 | process << 16 | site << 8;
        let count = disks + others;
        let mut site = Site {
            survivable_disk_losses,
            rollouts,
            read_plan,
            runtime,
            ips: (0..count as u32)
                .map(|at| Ipv4Addr::from(net + 1 + at))
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
        let defaults = options(self.ips[at], PORT, &self.ips[..3]);
        let options = node::Options {
            folder: folder.map(|folder| folder.0.clone()),
            founds: first && at == 0,
            is_first_start: first,
            survivable_disk_losses: self.survivable_disk_losses,
            read_plan: self.read_plan,
            gateway: gateway::Options {
                rollouts: self.rollouts,
                ..defaults.gateway.clone()
            },
            ..defaults
        };
        let runtime = match &self.runtime {
            Some(runtime) => runtime.handle().clone(),
            None => Handle::current(),
        };
        let mut failure = None;
        let started = async {
            loop {
                // The previous node may still hold the port.
                let spawned = node::spawn(options.clone());
                match runtime.spawn(spawned).await.unwrap() {
                    Ok(node) => return node,
                    Err(error) => failure = Some(error),
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let started = timeout(STEP_TIMEOUT, started).await;
        let node = started.unwrap_or_else(|_| {
            panic!("node {at} did not start: {failure:?}")
        });
        self.nodes[at] = Some(node);
    }

    pub async fn stop(&mut self, at: usize) {
        if let Some(node) = self.nodes[at].take() {
            node.shutdown(Duration::ZERO).await;
        }
    }

    /// Stops a node and starts it with an empty disk at the same address.
    pub async fn wipe(&mut self, at: usize) {
        self.stop(at).await;
        self.folders[at] = Some(TempFolder::new());
        self.start(at, false).await;
    }

    /// Returns a copy of a member's data folder as it is now, while the member
    /// may be writing.
    pub fn copy_disk(&self, at: usize) -> TempFolder {
        let copy = TempFolder::new();
        std::fs::create_dir_all(&copy.0).unwrap();
        let folder = &self.folders[at].as_ref().unwrap().0;
        // A member replaces its snapshot before its log, so the copy is a
        // state that the folder had at some time.
        for name in ["identity", "log", "snapshot", "memory"] {
            let _ = std::fs::copy(folder.join(name), copy.0.join(name));
        }
        copy
    }

    /// Kills all nodes at once, and starts them with the given disks; a member
    /// without one starts with an empty disk.
    pub async fn kill_all(&mut self, mut disks: Vec<Option<TempFolder>>) {
        self.nodes.fill(None);
        let killed = self.runtime.replace(new_runtime());
        killed.unwrap().shutdown_background();
        disks.resize_with(self.ips.len(), || None);
        for (at, disk) in disks.into_iter().enumerate() {
            if self.folders[at].is_some() {
                self.folders[at] = Some(disk.unwrap_or_else(TempFolder::new));
            }
            self.start(at, false).await;
        }
    }

    pub fn node(&self, at: usize) -> &node::Handle {
        self.nodes[at].as_ref().unwrap()
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &node::Handle> {
        self.nodes.iter().flatten()
    }

    /// Reads the plan's version through the quorum at a node, and retries
    /// until a majority answers.
    async fn read(&self, at: usize) -> u64 {
        let read = async {
            loop {
                match self.node(at).read_plan().await {
                    Ok(plan) if plan.version > 0 => return plan.version,
                    _ => sleep(Duration::from_millis(50)).await,
                }
            }
        };
        timeout(STEP_TIMEOUT, read).await.expect("no majority answers")
    }

    async fn wait_until_all_know_caches(&self, when: &str) {
        let known = async {
            while self
                .nodes
                .iter()
                .flatten()
                .any(|node| node.cached_parts() == 0)
            {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(STEP_TIMEOUT, known).await.expect(when);
    }

    pub async fn wait_until_all_serve(&self) {
        let serve = async {
            let running = || self.nodes.iter().flatten();
            while !running().all(|node| {
                node.is_ready()
                    && node.entries(None).len() == running().count()
            }) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(STEP_TIMEOUT, serve).await.is_err() {
            let running = self.nodes.iter().flatten();
            let states: Vec<_> = running
                .map(|node| (node.is_ready(), node.entries(None)))
                .collect();
            panic!("some nodes do not serve: {states:?}");
        }
    }
}

/// Four nodes with a disk and two without: a plan submitted at any node is in
/// force and can be read at all nodes. An invalid plan is refused.
#[tokio::test]
async fn a_plan_is_in_force_everywhere() {
    let site = Site::open(4, 2).await;
    apply_plan(site.node(5), 3).await;
    site.wait_until_all_serve().await;
    for at in 0..6 {
        assert_eq!(site.read(at).await, 3);
    }
    let refused = site.node(4).put_plan(b"nonsense").await;
    assert!(matches!(refused, Err(PutError::Invalid(_))), "{refused:?}");
    // An older plan is acknowledged without effect.
    assert_eq!(site.node(1).put_plan(b"2").await, Ok(3));
    assert_eq!(site.read(2).await, 3);
}

/// Guards against the loss of an acknowledged plan: one disk of four is lost,
/// the VM joins again, and right afterwards a second disk is lost.
#[tokio::test]
async fn a_second_disk_may_be_lost_once_the_first_is_back() {
    let mut site = Site::open(4, 0).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    for (round, lost) in [0, 1, 2].into_iter().enumerate() {
        let version = 10 + round as u64;
        apply_plan(site.node(3), version).await;
        site.wipe(lost).await;
        assert_eq!(site.read(lost).await, version);
        // The wiped node is a voter again before the next disk is lost. The
        // deployments' bound for this is four seconds.
        sleep(Duration::from_secs(4)).await;
    }
    assert_eq!(site.read(3).await, 12);
}

/// Guards against losing an acknowledged plan, or serving an older one, after
/// all nodes have been stopped at the same time and started again.
#[tokio::test]
async fn a_plan_survives_a_restart_of_all_nodes() {
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
    site.wait_until_all_serve().await;
}

/// Guards against a second cluster beside the first. The founder's disk is
/// lost before any other node has joined; because its folder was empty, the
/// founder founded another cluster.
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

/// Guards against a node that stops serving requests because its disk is full.
/// The data folder is unusable at first and usable later. The node serves all
/// the time, and votes once the folder is usable.
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
    site.wait_until_all_serve().await;
    apply_plan(site.node(3), 2).await;
    std::fs::remove_file(&path).unwrap();
    std::fs::rename(&aside, &path).unwrap();
    site.stop(0).await;
    // One of four members is stopped, so a majority needs this one.
    apply_plan(site.node(3), 3).await;
    assert_eq!(site.read(3).await, 3);
}

/// Guards against replicas that are overloaded after a restart of nodes
/// because they compute prompts again that are cached. One node restarts, then
/// all restart at once. The cache contents were only known in the nodes'
/// memory and were sent only once.
#[tokio::test]
async fn cached_parts_are_known_after_one_or_all_nodes_restart() {
    let mut site = Site::open(3, 1).await;
    apply_plan(site.node(3), 1).await;
    site.wait_until_all_serve().await;
    let replica = Replica::spawn(|_| ok("fine")).await;
    site.node(3).apply_heartbeat(sighting("r", replica.address, 0));
    let front = site.node(3).front().unwrap();
    let mut client = TcpStream::connect(front).await.unwrap();
    let request = "GET /again/x HTTP/1.1\r\nHost: here\r\n\
                   Tokens: 1500\r\nParts: 7:900,8:600\r\n\r\n";
    client.write_all(request.as_bytes()).await.unwrap();
    read_answer(&mut client).await;
    site.wait_until_all_know_caches("not all nodes know the cached parts")
        .await;
    site.stop(3).await;
    site.start(3, false).await;
    site.wait_until_all_know_caches("unknown after one node restarted").await;
    let saved = site.folders[0].as_ref().unwrap().0.join("memory");
    let written = async {
        // The file contains the replica's hash once it contains a cached part.
        let hash = replica_hash("r").to_le_bytes();
        let is_saved = || {
            let file: Vec<u8> = std::fs::read(&saved).unwrap_or_default();
            file.windows(8).any(|bytes| bytes == hash)
        };
        while !is_saved() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(STEP_TIMEOUT, written).await.expect("memory file not written");
    for at in 0..4 {
        site.stop(at).await;
    }
    for at in 0..4 {
        site.start(at, false).await;
    }
    site.wait_until_all_know_caches("unknown after all nodes restarted").await;
}

/// Guards against cutting a caller's stream in the middle at a planned stop.
/// Three seconds into a grace period of eight, the node accepted a request
/// whose replica had two seconds of other prompts to compute first. The node
/// accepted requests for as long as clients may keep its address, regardless
/// of the time left for the answers.
#[test]
fn a_stopping_node_leaves_most_of_its_time_for_answers() {
    for seconds in [1, 2, 4, 8, 30] {
        let grace = Duration::from_secs(seconds);
        let left = grace - node::accept_duration(grace);
        assert!(left >= grace.mul_f64(0.625), "{left:?} of {grace:?}");
    }
}

/// Guards against refusing requests for most of a second after a power loss at
/// all nodes although all replicas run. All nodes restart and no heartbeat has
/// arrived yet; the replicas were only known in the nodes' memory.
#[tokio::test]
async fn replicas_are_known_at_once_after_all_have_restarted() {
    let mut site = Site::open(3, 1).await;
    apply_plan(site.node(3), 1).await;
    site.wait_until_all_serve().await;
    let replica = Replica::spawn(|_| ok("fine")).await;
    site.node(3).apply_heartbeat(sighting("r", replica.address, 0));
    let saved: Vec<_> = site
        .folders
        .iter()
        .flatten()
        .map(|folder| folder.0.join("memory"))
        .collect();
    let written = async {
        // The file contains the service's name once it contains a replica.
        let is_saved = |path| {
            let file: Vec<u8> = std::fs::read(path).unwrap_or_default();
            file.windows(3).any(|bytes| bytes == b"app")
        };
        while !saved.iter().all(is_saved) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(STEP_TIMEOUT, written).await.expect("memory file not written");
    for at in 0..4 {
        site.stop(at).await;
    }
    for at in 0..4 {
        site.start(at, false).await;
    }
    // The node without a disk and one with a disk serve their first request.
    for at in [3, 0] {
        let front = site.node(at).front().unwrap();
        let mut client = TcpStream::connect(front).await.unwrap();
        let request = "GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
        client.write_all(request.as_bytes()).await.unwrap();
        let answer = read_answer(&mut client).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "node {at}: {answer}");
    }
}

/// Guards against paying for ordinary replicas three and a half seconds longer
/// than needed at the start of a deployment. The first leader of a cluster
/// waited for calls of a predecessor, although there was none. A leader that
/// restarts may have had a successor and has to wait.
#[tokio::test]
async fn only_the_first_leader_of_a_cluster_has_no_predecessor() {
    let folder = TempFolder::new();
    let ip = Ipv4Addr::new(127, 88, 250, 1);
    for first in [true, false] {
        let options = seat::Options {
            address: SocketAddrV4::new(ip, PORT),
            folder: folder.0.clone(),
            founds: true,
            min_voters: 1,
        };
        let seat = seat::spawn(options, Timer::spawn());
        let leads = async {
            loop {
                if let Some(leadership) = seat.leadership().await {
                    return leadership;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let leadership = timeout(STEP_TIMEOUT, leads)
            .await
            .expect("node did not become leader");
        assert_eq!(leadership.is_first, first);
        seat.stop().await;
    }
}

/// Guards against the loss of a plan that was just acknowledged. As many disks
/// are lost as the cluster tolerates, and all nodes stop at the same time,
/// including those without a disk. Each member in turn, and so the leader, is
/// among those that return with an empty disk.
#[tokio::test]
async fn acknowledged_plans_survive_disk_losses_during_a_power_loss() {
    let mut site = Site::open_with_tolerance(5, 2, 2, None, read_plan).await;
    apply_plan(site.node(6), 1).await;
    site.wait_until_all_serve().await;
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
        // The wiped nodes are voters again before the next disks are lost.
        // The deployments' bound for this is six seconds.
        if round < 2 {
            sleep(Duration::from_secs(6)).await;
        }
    }
}

/// Guards against a node that ends before another one has its last counts of
/// usage. The first datagrams with them are lost.
#[tokio::test]
async fn a_stopping_node_waits_until_its_last_counts_are_confirmed() {
    let replica = Replica::spawn(|_| ok("")).await;
    let test_node = TestNode::open(&[("a", replica.address)]).await;
    let SocketAddr::V4(front) = test_node.front else { panic!("IPv4 only") };
    let to = SocketAddrV4::new(*front.ip(), 7700);
    let other = Ipv4Addr::new(127, 99, 200, 1);
    let socket = UdpSocket::bind((other, 7700)).await.unwrap();
    let mut peer = Peer {
        ip: other.into(),
        incarnation: 1,
        has_disk: true,
        role: 2,
        ..Peer::default()
    };
    let request = "GET /team/ HTTP/1.1\r\nHost: here\r\nKey: sesame\r\n\r\n";
    assert_eq!(status(&test_node.exchange(request).await), "200");
    let node = test_node.node.clone();
    let stopping = tokio::spawn(node.shutdown(Duration::from_secs(4)));
    let confirm = async {
        let mut last_counts = 0;
        let mut buffer = vec![0; 16 * 1024];
        while last_counts < 4 {
            peer.beat += 1;
            let from = Some(peer.clone());
            let report = Gossip { from, ..Gossip::default() };
            socket.send_to(&report.encode_to_vec(), to).await.unwrap();
            let received = socket.recv_from(&mut buffer);
            let received = timeout(REPORT_INTERVAL, received).await;
            let Ok(Ok((length, _))) = received else { continue };
            let gossip = Gossip::decode(&buffer[..length]).unwrap();
            if gossip.counting != u64::MAX {
                continue;
            }
            last_counts += 1;
            assert!(!stopping.is_finished(), "the node has not waited");
            let window = gossip.usage.last().unwrap().window;
            let windows = vec![HeldWindow { window, total: 1 }];
            let node = gossip.from.unwrap().incarnation;
            let held = vec![Held { node, windows }];
            let receipt = Gossip { held, ..report };
            if last_counts == 4 {
                let bytes = receipt.encode_to_vec();
                socket.send_to(&bytes, to).await.unwrap();
            }
        }
        stopping.await.unwrap();
    };
    timeout(TEST_TIMEOUT, confirm).await.expect("no counts, or no end");
}
