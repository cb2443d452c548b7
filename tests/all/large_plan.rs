//! Tests of plans that are large for the links and disks involved.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use azuremount::{
    control::seat,
    gateway::plan::{Draft, Invalid},
    node,
    wire::{Gossip, Peer},
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::world::{TEST_TIMEOUT, TempFolder, options, read_plan};

/// The port for traffic between nodes.
const PORT: u16 = 7702;
/// The link's bandwidth in bytes a second: a tenth of the plan's size.
const LINK_BYTES_PER_S: usize = 400_000;
/// Size of a plan that takes ten seconds over such a link.
const PLAN_BYTES: usize = 4_000_000;

/// Returns a plan of this version with [`PLAN_BYTES`] bytes.
fn large_plan(version: u64) -> Vec<u8> {
    let digits = version.to_string();
    let zeros = "0".repeat(PLAN_BYTES - digits.len());
    (zeros + &digits).into_bytes()
}

/// Returns a plan of this version with `bytes` incompressible bytes.
fn dense_plan(version: u64, bytes: usize) -> Vec<u8> {
    let mut noise = vec![0; bytes];
    StdRng::seed_from_u64(version).fill(&mut noise[..]);
    [format!("{version}\n").as_bytes(), &noise].concat()
}

/// Parses a plan of these tests: its version in digits, optionally followed by
/// a second line that is ignored.
fn read_first_line(bytes: &[u8]) -> Result<Draft, Invalid> {
    let line = bytes.split(|byte| *byte == b'\n').next();
    read_plan(line.unwrap_or_default())
}

/// Returns the options of a node that founds a cluster on its own disk.
fn founder_options(ip: Ipv4Addr, folder: &TempFolder) -> node::Options {
    node::Options {
        folder: Some(folder.0.clone()),
        founds: true,
        read_plan: read_first_line,
        ..options(ip, PORT, &[ip])
    }
}

/// A leader, a node without a disk, and a slow link between the two.
///
/// The link has its own address. The node without a disk takes that address
/// for the leader, because it knows no other node.
struct Site {
    leader: node::Handle,
    relay: node::Handle,
    _folder: TempFolder,
    _link: Vec<JoinHandle<()>>,
}

impl Site {
    async fn open(net: u32) -> Site {
        let ip = |at| Ipv4Addr::from(0x7f59_0000 + (net << 8) + at);
        let (leader_ip, link_ip, relay_ip) = (ip(1), ip(2), ip(3));
        let folder = TempFolder::new();
        let leader =
            node::spawn(founder_options(leader_ip, &folder)).await.unwrap();
        let link = vec![
            tokio::spawn(forward_connections(link_ip, leader_ip)),
            tokio::spawn(gossip(link_ip, relay_ip, leader.clone())),
        ];
        let relay = node::Options {
            read_plan: read_first_line,
            ..options(relay_ip, PORT, &[link_ip])
        };
        let relay = node::spawn(relay).await.unwrap();
        Site { leader, relay, _folder: folder, _link: link }
    }
}

async fn forward_connections(at: Ipv4Addr, target: Ipv4Addr) {
    let listener = TcpListener::bind((at, PORT)).await.unwrap();
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect((target, PORT)).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(forward_bytes(near_read, far_write));
        tokio::spawn(forward_bytes(far_read, near_write));
    }
}

/// Forwards bytes at the link's bandwidth.
async fn forward_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; LINK_BYTES_PER_S / 100];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let transfer_s = count as f64 / LINK_BYTES_PER_S as f64;
        sleep(Duration::from_secs_f64(transfer_s)).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Reports to the relay that the link's address leads, and the version of the
/// leader's plan.
async fn gossip(at: Ipv4Addr, relay: Ipv4Addr, leader: node::Handle) {
    let socket = UdpSocket::bind((at, PORT)).await.unwrap();
    let mut report = Peer {
        ip: at.into(),
        incarnation: 1,
        data_centre: "one".to_owned(),
        has_disk: true,
        leader: seat::member_id(SocketAddrV4::new(at, PORT)),
        leader_term: 1,
        ..Peer::default()
    };
    loop {
        report.beat += 1;
        if leader.is_ready() {
            let plan = leader.read_plan().await;
            report.plan_version = plan.map_or(0, |plan| plan.version);
        }
        let gossip =
            Gossip { from: Some(report.clone()), ..Gossip::default() };
        let _ = socket.send_to(&gossip.encode_to_vec(), (relay, PORT)).await;
        sleep(Duration::from_millis(200)).await;
    }
}

async fn submit_plan(node: &node::Handle, plan: &[u8]) {
    let accepted = async {
        while node.put_plan(plan).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, accepted).await.expect("plan not accepted");
}

/// Guards against reads of the plan in force that time out at nodes without a
/// disk, although a leader with a majority answers. For each read the leader
/// sent the whole plan to a node that already held it, so reads took longer
/// with the plan's size (20 ms for 13 kB, 250 ms for 284 kB, 700 ms and more
/// for 828 kB) although the leader confirmed each within a few ms.
#[tokio::test]
async fn a_large_plan_is_read_over_a_slow_link() {
    let site = Site::open(1).await;
    submit_plan(&site.leader, &large_plan(7)).await;
    let read = async {
        loop {
            match site.relay.read_plan().await {
                Ok(plan) if plan.version == 7 => return plan,
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    };
    let plan = timeout(TEST_TIMEOUT, read).await.expect("plan not read");
    assert_eq!(plan.source, large_plan(7));
}

/// Guards against changes of a large plan that are acknowledged seconds late
/// or never. An operator sends the change to a node without a disk, which
/// forwards it to the leader over a slow link. The whole text was sent
/// uncompressed with a time-out that did not depend on its length, and from
/// the start again after each time-out.
#[tokio::test]
async fn a_large_plan_is_submitted_over_a_slow_link() {
    let site = Site::open(2).await;
    submit_plan(&site.leader, &large_plan(7)).await;
    submit_plan(&site.relay, &large_plan(8)).await;
    assert_eq!(site.leader.read_plan().await.unwrap().version, 8);
}

/// Guards against old plans that fill the members' disks and half of their
/// memory after a few dozen changes of a large plan. The log was replaced by a
/// snapshot after a number of entries, regardless of their size; a hundred
/// plans of a megabyte exceed the disk.
#[tokio::test]
async fn changes_of_a_large_plan_do_not_fill_a_disk() {
    const DISK_BYTES: u64 = 64_000_000;
    let ip = Ipv4Addr::from(0x7f59_0301);
    let folder = TempFolder::new();
    let node = node::spawn(founder_options(ip, &folder)).await.unwrap();
    for version in 1..=24 {
        submit_plan(&node, &large_plan(version)).await;
        let bytes = folder_bytes(&folder);
        assert!(bytes < DISK_BYTES, "{bytes} bytes after {version} plans");
    }
}

/// Guards against large plans that operators can read only at VMs with a disk.
/// Operators also ask the other VMs. These sent the plan without regard to the
/// bandwidth of their links, which took longer than operators wait.
#[tokio::test]
async fn an_operator_is_redirected_to_a_faster_link_for_a_large_plan() {
    let ip = |at: u32| Ipv4Addr::from(0x7f59_0400 + at);
    let folder = TempFolder::new();
    let leader =
        node::Options { link_mbps: 100, ..founder_options(ip(1), &folder) };
    let leader = node::spawn(leader).await.unwrap();
    let narrow =
        node::Options { link_mbps: 10, ..options(ip(2), PORT, &[ip(1)]) };
    let narrow = node::spawn(narrow).await.unwrap();
    let wide =
        node::Options { link_mbps: 1000, ..options(ip(3), PORT, &[ip(1)]) };
    let wide = node::spawn(wide).await.unwrap();
    submit_plan(&narrow, b"5").await;
    let redirected = async {
        while narrow.redirect_target(PLAN_BYTES) != Some(ip(1)) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, redirected).await.expect("operator not redirected");
    assert_eq!(narrow.redirect_target(10_000), None, "a short text");
    assert_eq!(leader.redirect_target(PLAN_BYTES), None, "to itself");
    assert_eq!(wide.redirect_target(PLAN_BYTES), None, "to a narrower link");
}

/// Like [`changes_of_a_large_plan_do_not_fill_a_disk`], with plans that can't
/// be compressed.
#[tokio::test]
async fn changes_of_a_dense_plan_do_not_fill_a_disk() {
    const PLAN_BYTES: usize = 2_000_000;
    let folder = TempFolder::new();
    let ip = Ipv4Addr::from(0x7f59_0501);
    let node = node::spawn(founder_options(ip, &folder)).await.unwrap();
    for version in 1..=16 {
        submit_plan(&node, &dense_plan(version, PLAN_BYTES)).await;
        let bytes = folder_bytes(&folder);
        assert!(bytes < 16_000_000, "{bytes} bytes after {version} plans");
    }
}

fn folder_bytes(folder: &TempFolder) -> u64 {
    let files = std::fs::read_dir(&folder.0).unwrap();
    // A file may be renamed between listing it and reading its metadata.
    let length = |file: std::io::Result<std::fs::DirEntry>| {
        file.and_then(|file| file.metadata()).map_or(0, |file| file.len())
    };
    files.map(length).sum()
}

/// Guards against a plan that never comes into force at a node without a disk,
/// because fetching it over a slow link takes more than a second. Each fetch
/// timed out after a second, and the next one began at the start.
#[tokio::test]
async fn a_plan_that_takes_seconds_to_fetch_comes_into_force() {
    let site = Site::open(6).await;
    submit_plan(&site.leader, &dense_plan(7, 2 * LINK_BYTES_PER_S)).await;
    let in_force = async {
        while !site.relay.is_ready() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, in_force).await.expect("plan not in force");
}
