//! Streams while a replica restarts in place with another software version,
//! and while all nodes are killed.
//!
//! Each event names the version of the replica that made it. The heartbeats of
//! the new incarnation arrive late, or never.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use azuremount::{
    gateway::plan::{Draft, Invalid, Service},
    mesh::table::{Liveness, Table, incarnation_id, record_key},
    node,
    wire::{Peer, Sighting},
};
use tokio::time::sleep;

use crate::{
    nodes::Site,
    versions::{BROKEN_AFTER, Break, EVENTS, End, Stream, respond},
    world::{CLOSE, Replica, apply_plan, read_plan, sighting},
};

/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Streams that each test starts.
const STREAMS: usize = 48;
/// Interval at which they begin.
const STREAM_INTERVAL: Duration = Duration::from_millis(25);
/// Time in which the streams of a route with a long timeout end, in ms.
const LONG_TIMEOUT_MS: u64 = 60_000;
/// Time for which streams on other routes may be resumed.
const DEFAULT_RETENTION: Duration = Duration::from_secs(30);
/// Smallest share of streams that go on where one version serves.
const MIN_SHARE: f64 = 0.98;

/// What a replica reports of itself, and what it runs.
#[derive(Clone)]
struct Incarnation {
    service: &'static str,
    born: u64,
    version: &'static str,
    /// Whether its heartbeats reach the nodes.
    is_heard: bool,
}

/// Nodes before replicas, each of which may restart in place.
struct Fleet {
    site: Site,
    nodes: Arc<Mutex<Vec<node::Handle>>>,
    incarnations: Arc<Mutex<Vec<Incarnation>>>,
    _replicas: Vec<Replica>,
    sends_heartbeats: Arc<AtomicBool>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.sends_heartbeats.store(false, Ordering::Relaxed);
    }
}

impl Fleet {
    async fn open(versions: &[&'static str], how: Break) -> Fleet {
        Fleet::open_with_plans(versions, how, read_plan).await
    }

    async fn open_with_plans(
        versions: &[&'static str],
        how: Break,
        read_plan: node::ReadPlan,
    ) -> Fleet {
        let site = Site::open_with_plans(3, 1, read_plan).await;
        apply_plan(site.node(0), 1).await;
        site.wait_until_all_serve().await;
        let incarnations = versions.iter().map(|version| Incarnation {
            service: "app",
            born: 1,
            version,
            is_heard: true,
        });
        let incarnations: Vec<Incarnation> = incarnations.collect();
        let incarnations = Arc::new(Mutex::new(incarnations));
        let mut replicas = Vec::new();
        for number in 0..versions.len() {
            let incarnations = incarnations.clone();
            let replica = Replica::spawn(move |head| {
                let version = incarnations.lock().unwrap()[number].version;
                // No connection stays idle, so none breaks at a restart.
                let mut pieces = respond(head, version, how);
                pieces.push(CLOSE.to_owned());
                pieces
            })
            .await;
            replicas.push(replica);
        }
        let fleet = Fleet {
            nodes: Arc::new(Mutex::new(site.nodes().cloned().collect())),
            site,
            incarnations,
            sends_heartbeats: Arc::new(AtomicBool::new(true)),
            _replicas: replicas,
        };
        let addresses = fleet._replicas.iter().map(|one| one.address);
        tokio::spawn(send_heartbeats(
            fleet.nodes.clone(),
            fleet.incarnations.clone(),
            addresses.collect(),
            fleet.sends_heartbeats.clone(),
        ));
        sleep(Duration::from_millis(1500)).await;
        fleet
    }

    /// Restarts a replica in place. Its heartbeats reach no node.
    fn restart(&self, number: usize, version: &'static str) {
        let mut incarnations = self.incarnations.lock().unwrap();
        let Incarnation { service, born, .. } = incarnations[number];
        let born = born + 1;
        incarnations[number] =
            Incarnation { service, born, version, is_heard: false };
    }

    fn let_be_heard(&self, number: usize) {
        self.incarnations.lock().unwrap()[number].is_heard = true;
    }

    fn front(&self, node: usize) -> SocketAddr {
        self.site.node(node % 4).front().unwrap()
    }

    /// Kills all nodes and starts them again with their disks.
    async fn restart_nodes(&mut self) {
        self.nodes.lock().unwrap().clear();
        for node in 0..4 {
            self.site.stop(node).await;
        }
        for node in 0..4 {
            self.site.start(node, false).await;
        }
        *self.nodes.lock().unwrap() = self.site.nodes().cloned().collect();
        self.site.wait_until_all_serve().await;
    }
}

/// Sends each replica's heartbeats to one node after the other.
async fn send_heartbeats(
    nodes: Arc<Mutex<Vec<node::Handle>>>,
    incarnations: Arc<Mutex<Vec<Incarnation>>>,
    addresses: Vec<SocketAddr>,
    goes_on: Arc<AtomicBool>,
) {
    for sequence in 1.. {
        if !goes_on.load(Ordering::Relaxed) {
            return;
        }
        let incarnations = incarnations.lock().unwrap().clone();
        let nodes = nodes.lock().unwrap().clone();
        let replicas = incarnations.iter().zip(&addresses).enumerate();
        for (number, (incarnation, address)) in replicas {
            let Incarnation { service, born, version, is_heard } =
                incarnation.clone();
            let replica = format!("r{number}");
            let id = incarnation_id(&replica, born);
            let says = Sighting {
                service: service.to_owned(),
                born,
                version: version.to_owned(),
                sequence,
                ..sighting(&id, *address, 0)
            };
            if let (true, false) = (is_heard, nodes.is_empty()) {
                nodes[(sequence as usize + number) % nodes.len()]
                    .apply_heartbeat(says);
            }
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Begins a stream each [`STREAM_INTERVAL`] whose caller leaves after some
/// events and resumes it at another node.
async fn resume_streams(fleet: &Fleet, count: usize) -> Vec<Stream> {
    let mut callers = Vec::new();
    for number in 0..count {
        let (first, next) = (fleet.front(number), fleet.front(number + 1));
        callers.push(tokio::spawn(async move {
            let mut stream = Stream::default();
            let left = stream.attempt(first, BROKEN_AFTER).await;
            if left == End::Left {
                stream.attempt(next, EVENTS).await;
            }
            stream
        }));
        sleep(STREAM_INTERVAL).await;
    }
    let mut streams = Vec::new();
    for caller in callers {
        streams.push(caller.await.unwrap());
    }
    streams
}

fn mixed(streams: &[Stream]) -> usize {
    streams.iter().filter(|stream| stream.versions.len() > 1).count()
}

/// Returns the share of the streams that began and went on to their end.
fn share(streams: &[Stream]) -> f64 {
    let began = streams.iter().filter(|stream| stream.last > 0).count();
    let whole = streams.iter().filter(|stream| stream.last == EVENTS).count();
    assert!(began > 0, "no stream began");
    whole as f64 / began as f64
}

/// Guards against a stream that goes on at another version because its
/// replica had restarted in place and its first heartbeat arrived late.
#[tokio::test]
async fn callers_resume_at_one_version_after_a_late_first_heartbeat() {
    let fleet = Fleet::open(&["v1"; 3], Break::Pause).await;
    fleet.restart(0, "v2");
    let first = resume_streams(&fleet, STREAMS / 2).await;
    fleet.let_be_heard(0);
    let second = resume_streams(&fleet, STREAMS / 2).await;
    assert_eq!((mixed(&first), mixed(&second)), (0, 0));
}

/// Guards against a stream that its node resumes at another version because
/// one of the replicas had restarted in place and is never heard again.
#[tokio::test]
async fn nodes_resume_at_one_version_without_a_first_heartbeat() {
    let fleet = Fleet::open(&["v1"; 3], Break::Close).await;
    fleet.restart(0, "v2");
    let streams = resume_streams(&fleet, STREAMS).await;
    assert_eq!(mixed(&streams), 0);
}

/// Guards against streams that are refused although all replicas have one
/// version, after a restart in place with the same version.
#[tokio::test]
async fn streams_go_on_where_one_version_serves() {
    for how in [Break::Pause, Break::Close] {
        let fleet = Fleet::open(&["v1"; 3], how).await;
        fleet.restart(0, "v1");
        fleet.let_be_heard(0);
        let streams = resume_streams(&fleet, STREAMS).await;
        assert!(share(&streams) >= MIN_SHARE, "{streams:?}");
    }
}

/// Begins streams whose callers leave after some events.
async fn begin_streams(fleet: &Fleet, count: usize) -> Vec<Stream> {
    let mut streams = Vec::new();
    for number in 0..count {
        let mut stream = Stream::default();
        stream.attempt(fleet.front(number), BROKEN_AFTER).await;
        streams.push(stream);
    }
    streams
}

/// Resumes all streams at the same time, once each.
async fn resume_all(fleet: &Fleet, streams: Vec<Stream>) -> Vec<Stream> {
    let mut callers = Vec::new();
    for (number, mut stream) in streams.into_iter().enumerate() {
        let front = fleet.front(number + 1);
        callers.push(tokio::spawn(async move {
            stream.attempt(front, EVENTS).await;
            stream
        }));
    }
    let mut streams = Vec::new();
    for caller in callers {
        streams.push(caller.await.unwrap());
    }
    streams
}

/// Guards against streams that are refused after a kill of all nodes, as the
/// records of where they began are lost, although one version serves.
#[tokio::test]
async fn streams_go_on_after_all_nodes_were_killed() {
    let mut fleet = Fleet::open(&["v1"; 3], Break::Pause).await;
    let streams = begin_streams(&fleet, STREAMS / 2).await;
    fleet.restart_nodes().await;
    // Bound: the streams go on within 2 s of readiness.
    sleep(Duration::from_secs(2)).await;
    let streams = resume_all(&fleet, streams).await;
    assert_eq!(mixed(&streams), 0);
    assert!(share(&streams) >= MIN_SHARE, "{streams:?}");
}

/// Guards against streams that go on at another version after a kill of all
/// nodes: the version that began them was first heard just before the kill,
/// and its replica is not heard after it.
#[tokio::test]
async fn a_kill_right_after_a_new_version_mixes_no_stream() {
    let mut fleet = Fleet::open(&["v1"; 3], Break::Pause).await;
    fleet.restart(0, "v2");
    fleet.let_be_heard(0);
    sleep(2 * HEARTBEAT_INTERVAL).await;
    let streams = begin_streams(&fleet, STREAMS / 2).await;
    fleet.incarnations.lock().unwrap()[0].is_heard = false;
    fleet.restart_nodes().await;
    let streams = resume_all(&fleet, streams).await;
    sleep(Duration::from_secs(2)).await;
    let streams = resume_all(&fleet, streams).await;
    assert_eq!(mixed(&streams), 0);
}

/// Parses a plan whose routes have a long timeout.
fn read_plan_with_long_timeouts(bytes: &[u8]) -> Result<Draft, Invalid> {
    let mut draft = read_plan(bytes)?;
    for route in &mut draft.routes {
        route.timeout_ms = LONG_TIMEOUT_MS;
    }
    Ok(draft)
}

/// Guards against streams that go on at another version after a kill of all
/// nodes: their version left while the nodes were down, and their route's
/// timeout is longer than the nodes have run.
#[tokio::test]
async fn a_long_timeout_after_a_kill_mixes_no_stream() {
    let plans = read_plan_with_long_timeouts;
    let versions = ["v1"; 3];
    let mut fleet =
        Fleet::open_with_plans(&versions, Break::Pause, plans).await;
    let streams = begin_streams(&fleet, STREAMS / 2).await;
    for number in 0..versions.len() {
        fleet.restart(number, "v2");
        fleet.let_be_heard(number);
    }
    fleet.restart_nodes().await;
    sleep(DEFAULT_RETENTION + Duration::from_secs(1)).await;
    let streams = resume_all(&fleet, streams).await;
    assert_eq!(mixed(&streams), 0);
}

/// Parses a plan whose second version moves all routes to another service.
fn read_plan_that_moves_routes(bytes: &[u8]) -> Result<Draft, Invalid> {
    let mut draft = read_plan(bytes)?;
    let other =
        Service { name: "other".to_owned(), ..draft.services[0].clone() };
    draft.services.push(other);
    if draft.version > 1 {
        for route in &mut draft.routes {
            route.split = vec![("other".to_owned(), 1)];
        }
    }
    Ok(draft)
}

/// Guards against streams that are refused although only one version served
/// within their lifetime: their records are lost.
#[tokio::test]
async fn streams_without_a_record_go_on_where_one_version_served() {
    let fleet = Fleet::open(&["v1"; 3], Break::Pause).await;
    sleep(DEFAULT_RETENTION).await;
    let mut streams = begin_streams(&fleet, STREAMS / 2).await;
    for stream in &mut streams {
        stream.first = Some(usize::MAX);
    }
    let streams = resume_all(&fleet, streams).await;
    assert_eq!(mixed(&streams), 0);
    assert!(share(&streams) >= MIN_SHARE, "{streams:?}");
}

/// Guards against a stream that goes on at another service: its record is
/// lost, and its route has just been moved to that service.
#[tokio::test]
async fn a_route_that_has_just_moved_mixes_no_stream() {
    let plans = read_plan_that_moves_routes;
    let fleet =
        Fleet::open_with_plans(&["v1", "v1", "v2"], Break::Pause, plans).await;
    fleet.incarnations.lock().unwrap()[2].service = "other";
    sleep(DEFAULT_RETENTION).await;
    let mut streams = begin_streams(&fleet, STREAMS / 2).await;
    apply_plan(fleet.site.node(0), 2).await;
    sleep(Duration::from_secs(1)).await;
    for stream in &mut streams {
        stream.first = Some(usize::MAX);
    }
    let streams = resume_all(&fleet, streams).await;
    assert_eq!(mixed(&streams), 0);
}

/// Returns a heartbeat of an incarnation of a replica.
fn heartbeat(born: u64, sequence: u64, version: &str) -> Sighting {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    Sighting {
        born,
        sequence,
        version: version.to_owned(),
        ..sighting(&incarnation_id("r", born), address, 0)
    }
}

/// Guards against a heartbeat that was sent before a restart in place, arrives
/// after it, and confirms a connection to the new incarnation.
#[test]
fn a_late_heartbeat_counts_from_when_it_was_due() {
    let mut table = Table::open(Peer { ip: 1, ..Peer::default() });
    let key = record_key(&incarnation_id("r", 1));
    table.apply_sighting(10_000, heartbeat(1, 1, "v1"), true);
    // Due at 11,200, and 2 s late. The next one is as late.
    table.apply_sighting(13_200, heartbeat(1, 2, "v1"), true);
    table.apply_sighting(14_400, heartbeat(1, 3, "v1"), true);
    assert_eq!(table.liveness(key, 12_500), Liveness::Open);
    assert_eq!(table.liveness(key, 9000), Liveness::Confirmed);
    let superseded = Liveness::Superseded("v2".to_owned());
    table.apply_sighting(14_500, heartbeat(2, 1, "v2"), true);
    assert_eq!(table.liveness(key, 12_500), superseded);
    assert_eq!(table.liveness(key, 9000), Liveness::Confirmed);
    assert_eq!(table.liveness(key + 1, 9000), Liveness::Unknown);
}

/// Guards against a later incarnation whose clock had stepped back, so that it
/// seems to be the earlier one: it confirms nothing.
#[test]
fn an_incarnation_with_an_earlier_start_confirms_nothing() {
    let mut table = Table::open(Peer { ip: 1, ..Peer::default() });
    let key = record_key(&incarnation_id("r", 9));
    table.apply_sighting(10_000, heartbeat(9, 1, "v1"), true);
    table.apply_sighting(11_000, heartbeat(5, 1, "v2"), true);
    table.apply_sighting(25_000, heartbeat(5, 2, "v2"), true);
    assert_ne!(table.liveness(key, 10_500), Liveness::Confirmed);
}
