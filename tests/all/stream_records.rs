//! Streams that begin or go on while the facts that show their version are
//! late: receipts of the records of where they began, or heartbeats.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use azuremount::{node, wire::Sighting};
use tokio::time::sleep;

use crate::{
    nodes::Site,
    silence::{
        EVENTS, HEARTBEAT_INTERVAL, PORT, SHORT_TIMEOUT, World, assert_whole,
    },
    versions::{BROKEN_AFTER, Break, End, Stream, respond},
    world::{
        CLOSE, HANG, Replica, WAIT, apply_plan, ended, events, ids, post,
        report_node, sighting, status,
    },
};

/// Nodes that may be asked to keep a record.
const HOLDERS: u32 = 4;
/// Distance of a holder's address from that of its node.
const HOLDER_OFFSET: u32 = 0x0001_0000;
/// Time in which a node hears of the holders.
const DISCOVERY_TIME: Duration = Duration::from_millis(700);

/// Starts nodes that serve and report to the node, but send no receipts.
async fn add_silent_holders(world: &World) {
    for number in 0..HOLDERS {
        let ip = u32::from(world.ip) + HOLDER_OFFSET * (number + 1);
        let at = SocketAddrV4::new(Ipv4Addr::from(ip), PORT);
        tokio::spawn(report_node(at, world.ip, || 1));
    }
    sleep(DISCOVERY_TIME).await;
}

/// Returns two replicas: the one that is asked first answers with the pieces
/// `first`, and both with the pieces `later` afterwards.
async fn replicas(first: Vec<String>, later: Vec<String>) -> [Replica; 2] {
    let asked = Arc::new(AtomicUsize::new(0));
    let respond = move |_: &str| match asked.fetch_add(1, Ordering::Relaxed) {
        0 => first.clone(),
        _ => later.clone(),
    };
    let respond = Arc::new(respond);
    let (one, two) = (respond.clone(), respond);
    [
        Replica::spawn(move |head| one(head)).await,
        Replica::spawn(move |head| two(head)).await,
    ]
}

fn whole_stream() -> Vec<String> {
    ended(events(1..=EVENTS))
}

/// Guards against a stream that is cut as its replica begins to answer while
/// another one of the same version is asked too, and no node confirms in time
/// that it has replaced its record.
#[tokio::test]
async fn a_stream_begins_although_no_node_replaces_its_record() {
    // Begins after 0.9 s.
    let mut late = vec![WAIT.to_owned(); 3];
    late.extend(whole_stream());
    let replicas = replicas(late, vec![HANG.to_owned()]).await;
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    world.send_heartbeats(&replicas);
    add_silent_holders(&world).await;
    assert_whole(&world.stream().await);
}

/// Guards against a stream that is cut as its first replica closes the
/// connection and no node confirms in time that it has replaced its record.
#[tokio::test]
async fn a_stream_begins_at_the_next_replica_without_receipts() {
    let first = vec![CLOSE.to_owned()];
    let replicas = replicas(first, whole_stream()).await;
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    world.send_heartbeats(&replicas);
    add_silent_holders(&world).await;
    assert_whole(&world.stream().await);
}

/// Sends heartbeats of replicas, each of a software version of its own.
fn send_heartbeats_of_versions(node: &node::Handle, replicas: &[Replica]) {
    let node = node.clone();
    let addresses: Vec<_> = replicas.iter().map(|one| one.address).collect();
    tokio::spawn(async move {
        for sequence in 2.. {
            for (number, address) in addresses.iter().enumerate() {
                let says = sighting(&format!("r{number}"), *address, 0);
                let version = format!("v{number}");
                node.apply_heartbeat(Sighting { sequence, version, ..says });
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
}

/// Guards against a stream whose caller could resume it at another version, as
/// a node may still have a record that names the first replica's version.
#[tokio::test]
async fn another_version_is_not_asked_while_the_record_may_name_the_first() {
    let first = vec![HANG.to_owned()];
    let mut replicas = replicas(first, whole_stream()).await;
    let world = World::open(SHORT_TIMEOUT, 20.0, &[]).await;
    send_heartbeats_of_versions(&world.node, &replicas);
    add_silent_holders(&world).await;
    let answer = world.stream().await;
    assert_ne!(status(&answer), "200", "{answer}");
    assert_eq!(ids(&answer), [0; 0]);
    let seen: usize = replicas.iter_mut().map(|one| one.seen().len()).sum();
    assert_eq!(seen, 1, "replicas that were asked");
}

/// Guards against a stream that is cut although its only attempt answers, as
/// no node confirms that the record was withdrawn to ask another version.
#[tokio::test]
async fn an_attempt_begins_although_its_record_was_to_be_withdrawn() {
    let mut late = vec![WAIT.to_owned(); 3];
    late.extend(whole_stream());
    let replicas = replicas(late, whole_stream()).await;
    let world = World::open(1, 20.0, &[]).await;
    add_silent_holders(&world).await;
    for (number, replica) in replicas.iter().enumerate() {
        let says = sighting(&format!("r{number}"), replica.address, 0);
        let version = format!("v{number}");
        world.node.apply_heartbeat(Sighting { version, ..says });
    }
    assert_whole(&world.stream().await);
}

/// Guards against a request that fails although a replica of another version
/// is there, and nothing else is on record.
#[tokio::test]
async fn another_version_is_asked_where_no_node_has_a_record() {
    let first = vec![HANG.to_owned()];
    let replicas = replicas(first, whole_stream()).await;
    let world = World::open(1, 20.0, &[]).await;
    send_heartbeats_of_versions(&world.node, &replicas);
    sleep(DISCOVERY_TIME).await;
    assert_whole(&world.stream().await);
}

/// Guards against a request that fails although a replica of another version
/// is there, and the nodes that keep its record confirm that it is withdrawn.
#[tokio::test]
async fn another_version_is_asked_once_the_record_is_withdrawn() {
    let first = vec![CLOSE.to_owned()];
    let replicas = replicas(first, whole_stream()).await;
    let site = Site::open(3, 2).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    let node = site.node(4);
    send_heartbeats_of_versions(node, &replicas);
    sleep(DISCOVERY_TIME).await;
    assert_whole(&post(node.front().unwrap(), "/resume/x", 1, "x").await);
}

/// Time for which a replica's heartbeats are late. Nodes that may ask another
/// replica do so sooner.
const LATE_HEARTBEAT: Duration = Duration::from_millis(2600);
/// Time after which heartbeats show that a replica was not restarted before
/// it accepted a connection.
const PROOF_DELAY: Duration = Duration::from_millis(800);

/// Sends heartbeats of a replica, except while `is_late`.
fn send_heartbeats(
    world: &World,
    number: usize,
    replica: &Replica,
    is_late: Arc<AtomicBool>,
) {
    let (node, address) = (world.node.clone(), replica.address);
    tokio::spawn(async move {
        let mut sequence = 1;
        loop {
            if !is_late.load(Ordering::Relaxed) {
                sequence += 1;
                let says = sighting(&format!("r{number}"), address, 0);
                node.apply_heartbeat(Sighting { sequence, ..says });
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
}

/// Returns a stream on a connection that is closed after it.
fn closing_stream(head: &str) -> Vec<String> {
    let mut pieces = respond(head, "v1", Break::Pause);
    pieces.push(CLOSE.to_owned());
    pieces
}

/// Begins a stream whose caller leaves after some events.
async fn begin_stream(world: &World) -> Stream {
    let mut stream = Stream::default();
    let end = stream.attempt(world.front, BROKEN_AFTER).await;
    assert_eq!(end, End::Left);
    stream
}

/// Guards against an answer that is cut after its head, as the heartbeat that
/// shows the version of its replica is late and there is no other replica.
#[tokio::test]
async fn a_resumed_stream_waits_for_the_late_heartbeat_of_its_only_replica() {
    let replica = Replica::spawn(closing_stream).await;
    let world = World::open(1, 0.0, &[&replica]).await;
    let is_late = Arc::new(AtomicBool::new(false));
    send_heartbeats(&world, 0, &replica, is_late.clone());
    sleep(PROOF_DELAY).await;
    let mut stream = begin_stream(&world).await;
    sleep(PROOF_DELAY).await;
    is_late.store(true, Ordering::Relaxed);
    let late = async {
        sleep(LATE_HEARTBEAT).await;
        is_late.store(false, Ordering::Relaxed);
    };
    let resumed = stream.attempt(world.front, EVENTS);
    assert_eq!(tokio::join!(resumed, late), (End::Whole, ()));
}

/// Guards against an answer that is cut after its head, as the heartbeat that
/// shows the version of its replica does not come, although another replica of
/// the version is there.
#[tokio::test]
async fn a_resumed_stream_goes_on_at_another_replica_than_a_silent_one() {
    let replicas = [
        Replica::spawn(closing_stream).await,
        Replica::spawn(closing_stream).await,
    ];
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    let late: [Arc<AtomicBool>; 2] = Default::default();
    for (number, replica) in replicas.iter().enumerate() {
        send_heartbeats(&world, number, replica, late[number].clone());
    }
    sleep(PROOF_DELAY).await;
    let mut stream = begin_stream(&world).await;
    sleep(PROOF_DELAY).await;
    let closed = |one: &Replica| one.closed.load(Ordering::Relaxed);
    let before = replicas.each_ref().map(closed);
    for late in &late {
        late.store(true, Ordering::Relaxed);
    }
    let heartbeats = async {
        // The replica that is not asked first is heard.
        sleep(HEARTBEAT_INTERVAL).await;
        let other = usize::from(closed(&replicas[0]) > before[0]);
        late[other].store(false, Ordering::Relaxed);
    };
    let resumed = stream.attempt(world.front, EVENTS);
    assert_eq!(tokio::join!(resumed, heartbeats), (End::Whole, ()));
}
