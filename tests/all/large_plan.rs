//! Plans that are large for the links and disks that they pass through.

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

/// The port between nodes.
const PORT: u16 = 7702;
/// The link's bytes a second: a tenth of what the plan has.
const LINK_BYTES_PER_S: usize = 400_000;
/// Bytes of a plan that takes ten seconds over such a link.
const PLAN_BYTES: usize = 4_000_000;

/// A plan of this version, of [`PLAN_BYTES`].
fn large_plan(version: u64) -> Vec<u8> {
    let digits = version.to_string();
    let zeros = "0".repeat(PLAN_BYTES - digits.len());
    (zeros + &digits).into_bytes()
}

/// A plan of this version and of so many bytes that can't be packed.
fn dense_plan(version: u64, bytes: usize) -> Vec<u8> {
    let mut noise = vec![0; bytes];
    StdRng::seed_from_u64(version).fill(&mut noise[..]);
    [format!("{version}\n").as_bytes(), &noise].concat()
}

/// Plans here are their version in digits, and may go on on a second line.
fn read_first_line(bytes: &[u8]) -> Result<Draft, Invalid> {
    let line = bytes.split(|byte| *byte == b'\n').next();
    read_plan(line.unwrap_or_default())
}

/// Options of a node that founds a cluster on a disk of its own.
fn founder(ip: Ipv4Addr, folder: &TempFolder) -> node::Options {
    node::Options {
        folder: Some(folder.0.clone()),
        founds: true,
        read_plan: read_first_line,
        ..options(ip, PORT, &[ip])
    }
}

/// A leader, a node without a disk, and a narrow link between the two.
///
/// The link has an address of its own, and the node takes it for the leader:
/// it knows nobody else.
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
        let leader = node::spawn(founder(leader_ip, &folder)).await.unwrap();
        let link = vec![
            tokio::spawn(pass_all(link_ip, leader_ip)),
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

async fn pass_all(at: Ipv4Addr, target: Ipv4Addr) {
    let listener = TcpListener::bind((at, PORT)).await.unwrap();
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect((target, PORT)).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(pass(near_read, far_write));
        tokio::spawn(pass(far_read, near_write));
    }
}

/// Passes bytes on as fast as the link takes them.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; LINK_BYTES_PER_S / 100];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let takes = count as f64 / LINK_BYTES_PER_S as f64;
        sleep(Duration::from_secs_f64(takes)).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Tells the relay that the link's address leads, and which plan is there.
async fn gossip(at: Ipv4Addr, relay: Ipv4Addr, leader: node::Handle) {
    let socket = UdpSocket::bind((at, PORT)).await.unwrap();
    let mut says = Peer {
        ip: at.into(),
        incarnation: 1,
        data_centre: "one".to_owned(),
        has_disk: true,
        leader: seat::id_of(SocketAddrV4::new(at, PORT)),
        leader_term: 1,
        ..Peer::default()
    };
    loop {
        says.beat += 1;
        if leader.is_ready() {
            let plan = leader.read_plan().await;
            says.plan_version = plan.map_or(0, |plan| plan.version);
        }
        let gossip = Gossip { from: Some(says.clone()), ..Gossip::default() };
        let _ = socket.send_to(&gossip.encode_to_vec(), (relay, PORT)).await;
        sleep(Duration::from_millis(200)).await;
    }
}

async fn put(node: &node::Handle, plan: &[u8]) {
    let put = async {
        while node.put_plan(plan).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, put).await.expect("nobody took the plan");
}

/// Symptom: the plan in force can't be read at nodes without a disk, although
/// they serve by it and a leader with a majority answers. Sequence: the plan
/// grows until it takes longer over such a node's link than a read may. Cause:
/// for each read the leader sent the whole plan, to a node that held it. Proved
/// by the time of reads, which grew with the plan's bytes over the link (20 ms
/// for 13 kB, 250 for 284, 700 and more for 828) while the leader confirmed each
/// within a few ms.
#[tokio::test]
async fn a_large_plan_is_read_through_a_narrow_link() {
    let site = Site::open(1).await;
    put(&site.leader, &large_plan(7)).await;
    let read = async {
        loop {
            match site.relay.read_plan().await {
                Ok(plan) if plan.version == 7 => return plan,
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    };
    let plan = timeout(TEST_TIMEOUT, read).await.expect("never read");
    assert_eq!(plan.source, large_plan(7));
}

/// Symptom: a change of a few bytes to a large plan is acknowledged seconds
/// late, and in the end never. Sequence: an operator sends it to a node
/// without a disk, which passes it on to the leader over a narrow link. Cause:
/// all of the text goes there as it is, within a time that does not depend on
/// its length, and from the start again when that has run out.
#[tokio::test]
async fn a_large_plan_is_put_through_a_narrow_link() {
    let site = Site::open(2).await;
    put(&site.leader, &large_plan(7)).await;
    put(&site.relay, &large_plan(8)).await;
    assert_eq!(site.leader.read_plan().await.unwrap().version, 8);
}

/// Symptom: members lose their disks' space and half of their memory to old
/// plans. Sequence: a large plan is changed a few dozen times. Cause: the log
/// was replaced by a snapshot after a number of entries, however long they
/// are; a hundred plans of a megabyte are more than the disk has.
#[tokio::test]
async fn changes_of_a_large_plan_do_not_fill_a_disk() {
    const DISK_BYTES: u64 = 64_000_000;
    let ip = Ipv4Addr::from(0x7f59_0301);
    let folder = TempFolder::new();
    let node = node::spawn(founder(ip, &folder)).await.unwrap();
    for version in 1..=24 {
        put(&node, &large_plan(version)).await;
        let bytes = folder_bytes(&folder);
        assert!(bytes < DISK_BYTES, "{bytes} bytes after {version} plans");
    }
}

/// Symptom: a plan that all nodes hold can be read at VMs with a disk only.
/// Sequence: an operator asks the others, too; the plan is sent from there, in
/// more time than operators wait. Cause: nobody minded how wide a VM's link is.
#[tokio::test]
async fn an_operator_is_sent_to_a_wider_link_for_a_large_plan() {
    let ip = |at: u32| Ipv4Addr::from(0x7f59_0400 + at);
    let folder = TempFolder::new();
    let leader = node::Options { link_mbps: 100, ..founder(ip(1), &folder) };
    let leader = node::spawn(leader).await.unwrap();
    let narrow =
        node::Options { link_mbps: 10, ..options(ip(2), PORT, &[ip(1)]) };
    let narrow = node::spawn(narrow).await.unwrap();
    let wide =
        node::Options { link_mbps: 1000, ..options(ip(3), PORT, &[ip(1)]) };
    let wide = node::spawn(wide).await.unwrap();
    put(&narrow, b"5").await;
    let sent = async {
        while narrow.faster_reader(PLAN_BYTES) != Some(ip(1)) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, sent).await.expect("never sent on");
    assert_eq!(narrow.faster_reader(10_000), None, "a short text");
    assert_eq!(leader.faster_reader(PLAN_BYTES), None, "to itself");
    assert_eq!(wide.faster_reader(PLAN_BYTES), None, "to a narrower link");
}

/// As [`changes_of_a_large_plan_do_not_fill_a_disk`], where packing does not
/// help.
#[tokio::test]
async fn changes_of_a_dense_plan_do_not_fill_a_disk() {
    const PLAN_BYTES: usize = 2_000_000;
    let folder = TempFolder::new();
    let ip = Ipv4Addr::from(0x7f59_0501);
    let node = node::spawn(founder(ip, &folder)).await.unwrap();
    for version in 1..=16 {
        put(&node, &dense_plan(version, PLAN_BYTES)).await;
        let bytes = folder_bytes(&folder);
        assert!(bytes < 16_000_000, "{bytes} bytes after {version} plans");
    }
}

fn folder_bytes(folder: &TempFolder) -> u64 {
    let files = std::fs::read_dir(&folder.0).unwrap();
    // One may be renamed meanwhile.
    let length = |file: std::io::Result<std::fs::DirEntry>| {
        file.and_then(|file| file.metadata()).map_or(0, |file| file.len())
    };
    files.map(length).sum()
}

/// Symptom: a plan is never in force at a node without a disk. Sequence: it
/// is fetched over a narrow link, in more than a second. Cause: each fetch was
/// given up after a second, and the next one began at the start.
#[tokio::test]
async fn a_plan_that_takes_seconds_over_a_link_comes_in_force() {
    let site = Site::open(6).await;
    put(&site.leader, &dense_plan(7, 2 * LINK_BYTES_PER_S)).await;
    let in_force = async {
        while !site.relay.is_ready() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, in_force).await.expect("never in force");
}
