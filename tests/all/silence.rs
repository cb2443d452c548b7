//! Replicas that are silent for a second or more, and then go on.
//!
//! Nothing arrives from a silent replica, no answer and no heartbeat, while its
//! connections stay open. It may be slow, gone, or well.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use azuremount::{
    gateway::plan::{Draft, Invalid},
    mesh::table::{Liveness, Table, incarnation_id, record_key},
    node,
    wire::{Peer, Sighting},
};
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::world::{
    CLOSE, HANG, Replica, TEST_TIMEOUT, TempFolder, WAIT, apply_plan, draft,
    ended, events, ids, ok, options, post, sighting, status,
};

/// Number of events in a whole stream.
pub const EVENTS: u64 = 6;
/// Events that a replica sends before it falls silent.
const BEFORE_SILENCE: u64 = 2;
/// A silence of 1.8 s, in pauses of the replicas' scripts.
const SILENCE: usize = 6;
/// Time in which a node is starting.
const START_PERIOD: Duration = Duration::from_millis(1100);
/// Interval between two heartbeats of a replica.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Latency target of the routes in these tests, in ms.
const TARGET_MS: u64 = 100;
/// Timeout of the route whose requests must not wait for long, in ms.
const SHORT_TIMEOUT_MS: u64 = 1000;
/// Time after its timeout within which a request has its final answer.
const FINAL_ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Attempts that the routes allow.
const MAX_ATTEMPTS: usize = 2;
/// Time in which a replica stops work that goes on at another one.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// The port for traffic between nodes.
pub const PORT: u16 = 7700;
/// Version of the plan that adds a route.
const ADDS_ROUTE: u64 = 2;
/// Version of the plan whose routes have a short timeout.
pub const SHORT_TIMEOUT: u64 = 10;

/// Parses a plan with a low latency target.
fn read_plan(bytes: &[u8]) -> Result<Draft, Invalid> {
    let text = std::str::from_utf8(bytes).map_err(Invalid::unreadable)?;
    let version = text.parse().map_err(Invalid::unreadable)?;
    let mut draft = draft(version);
    if version == ADDS_ROUTE {
        let mut added = draft.routes[0].clone();
        added.name = "/added/".to_owned();
        added.prefix = "/added/".to_owned();
        draft.routes.push(added);
    }
    for route in &mut draft.routes {
        route.target_ms = TARGET_MS;
        if version == SHORT_TIMEOUT {
            route.timeout_ms = SHORT_TIMEOUT_MS;
        }
    }
    Ok(draft)
}

/// A node before replicas that send one heartbeat each.
pub struct World {
    pub node: node::Handle,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    _folder: TempFolder,
}

impl World {
    pub async fn open(plan: u64, slack: f32, replicas: &[&Replica]) -> World {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::from(0x7f51_0000 + number);
        let folder = TempFolder::new();
        let mut options = node::Options {
            folder: Some(folder.0.clone()),
            founds: true,
            is_first_start: true,
            read_plan,
            ..options(ip, PORT, &[ip])
        };
        options.gateway.retry_bound.slack = slack;
        let node = node::spawn(options).await.unwrap();
        apply_plan(&node, plan).await;
        while !node.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
        // A node that has just started takes replicas for working ones.
        sleep(START_PERIOD).await;
        for (number, replica) in replicas.iter().enumerate() {
            let id = format!("r{number}");
            node.apply_heartbeat(sighting(&id, replica.address, 0));
        }
        let front = node.front().unwrap();
        World { node, ip, front, _folder: folder }
    }

    /// Sends heartbeats of all replicas for as long as the test runs.
    pub fn send_heartbeats(&self, replicas: &[Replica]) {
        let node = self.node.clone();
        let addresses = replicas.iter().map(|replica| replica.address);
        let addresses: Vec<SocketAddr> = addresses.collect();
        tokio::spawn(async move {
            for sequence in 2.. {
                for (number, address) in addresses.iter().enumerate() {
                    let says = sighting(&format!("r{number}"), *address, 0);
                    node.apply_heartbeat(Sighting { sequence, ..says });
                }
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    pub async fn stream(&self) -> String {
        post(self.front, "/resume/x", 1, "x").await
    }
}

/// Returns the pieces of a stream with a silence after its first events.
fn with_silence(head: &str) -> Vec<String> {
    let last = head.lines().find_map(|line| line.strip_prefix("last: "));
    let last: u64 = last.map_or(0, |last| last.trim().parse().unwrap());
    let mut pieces = ended(events(last + 1..=EVENTS));
    if last == 0 {
        let silence = std::iter::repeat_n(WAIT.to_owned(), SILENCE);
        let at = 1 + BEFORE_SILENCE as usize;
        pieces.splice(at..at, silence);
    }
    pieces
}

/// Returns the first events of a stream that never goes on.
fn then_nothing(_: &str) -> Vec<String> {
    let mut pieces = events(1..=BEFORE_SILENCE);
    pieces.push(HANG.to_owned());
    pieces
}

pub fn assert_whole(answer: &str) {
    assert!(answer.ends_with("0\r\n\r\n"), "broken off: {answer}");
    let all: Vec<u64> = (1..=EVENTS).collect();
    assert_eq!(ids(answer), all);
}

/// Guards against a stream that is ended as its replica is silent, while there
/// is no other replica that could go on with it.
#[tokio::test]
async fn a_stream_without_another_replica_outlasts_a_silence() {
    let replica = Replica::spawn(with_silence).await;
    let world = World::open(1, 20.0, &[&replica]).await;
    assert_whole(&world.stream().await);
}

/// Guards against a stream that is ended although its replica goes on, as the
/// other replica that was asked is silent as well.
#[tokio::test]
async fn a_stream_outlasts_a_silence_of_all_replicas() {
    let respond = |head: &str| match head.contains("last: ") {
        true => vec![HANG.to_owned()],
        false => with_silence(head),
    };
    let mut replicas =
        [Replica::spawn(respond).await, Replica::spawn(respond).await];
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    assert_whole(&world.stream().await);
    let began: usize = replicas
        .iter_mut()
        .map(|replica| {
            let seen = replica.seen();
            seen.iter().filter(|head| !head.contains("last: ")).count()
        })
        .sum();
    assert_eq!(began, 1, "the stream began more than once");
}

/// Guards against a stream that is ended in a silence as the retry budget
/// allows no other replica.
#[tokio::test]
async fn a_stream_outlasts_a_silence_without_a_retry_budget() {
    let replicas = [
        Replica::spawn(with_silence).await,
        Replica::spawn(with_silence).await,
    ];
    let world = World::open(1, 0.0, &[&replicas[0], &replicas[1]]).await;
    assert_whole(&world.stream().await);
}

/// Guards against a stream that is ended as the replica that took it over
/// closes the connection before its first event.
#[tokio::test]
async fn a_stream_outlasts_a_silence_if_the_other_replica_fails() {
    let respond = |head: &str| match head.contains("last: ") {
        true => Vec::new(),
        false => with_silence(head),
    };
    let replicas =
        [Replica::spawn(respond).await, Replica::spawn(respond).await];
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    assert_whole(&world.stream().await);
}

/// Guards against a stream that stays with a replica that is gone without a
/// word, and against two replicas that run it at the same time.
#[tokio::test]
async fn a_stream_moves_from_a_replica_that_is_gone() {
    let respond = |head: &str| match head.contains("last: ") {
        true => with_silence(head),
        false => then_nothing(head),
    };
    let replicas =
        [Replica::spawn(respond).await, Replica::spawn(respond).await];
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    world.send_heartbeats(&replicas);
    assert_whole(&world.stream().await);
    sleep(MAX_OVERLAP).await;
    let closed = replicas.iter().map(|one| one.closed.load(Ordering::Relaxed));
    assert!(closed.sum::<usize>() > 0, "the silent replica still runs it");
}

/// Guards against a replica that goes on with a stream after the silent one
/// has gone on with it.
#[tokio::test]
async fn the_other_replica_is_left_once_the_silent_one_goes_on() {
    let respond = |head: &str| match head.contains("last: ") {
        true => vec![HANG.to_owned()],
        false => with_silence(head),
    };
    let replicas =
        [Replica::spawn(respond).await, Replica::spawn(respond).await];
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    assert_whole(&world.stream().await);
    sleep(MAX_OVERLAP).await;
    let closed = replicas.iter().map(|one| one.closed.load(Ordering::Relaxed));
    assert!(closed.sum::<usize>() > 0, "the other replica still runs it");
}

/// Returns an answer after a silence of 1.2 s.
fn late(_: &str) -> Vec<String> {
    let mut pieces = vec![WAIT.to_owned(); 4];
    pieces.extend(ok("fine"));
    pieces
}

/// Guards against a request that is failed before its deadline as its replica
/// is silent and there is no other one.
#[tokio::test]
async fn a_request_without_another_replica_outlasts_a_silence() {
    let replica = Replica::spawn(late).await;
    let world = World::open(1, 20.0, &[&replica]).await;
    let answer = post(world.front, "/again/x", 1, "x").await;
    assert_eq!(status(&answer), "200", "{answer}");
}

/// Guards against a request that is failed before its deadline as its replica
/// is silent and the retry budget allows no other one.
#[tokio::test]
async fn a_request_outlasts_a_silence_without_a_retry_budget() {
    let replicas = [Replica::spawn(late).await, Replica::spawn(late).await];
    let world = World::open(1, 0.0, &[&replicas[0], &replicas[1]]).await;
    let answer = post(world.front, "/again/x", 1, "x").await;
    assert_eq!(status(&answer), "200", "{answer}");
}

/// Guards against a request that is failed as its replica is silent and the
/// other one crashes.
#[tokio::test]
async fn a_request_outlasts_a_silence_if_the_other_replica_fails() {
    let count = std::sync::Arc::new(AtomicU32::new(0));
    let respond = move |head: &str| match count.fetch_add(1, Ordering::Relaxed)
    {
        0 => late(head),
        _ => Vec::new(),
    };
    let respond = std::sync::Arc::new(respond);
    let (one, two) = (respond.clone(), respond);
    let replicas = [
        Replica::spawn(move |head| one(head)).await,
        Replica::spawn(move |head| two(head)).await,
    ];
    let world = World::open(1, 20.0, &[&replicas[0], &replicas[1]]).await;
    let answer = post(world.front, "/again/x", 1, "x").await;
    assert_eq!(status(&answer), "200", "{answer}");
}

/// Guards against a resumed stream that gets its final answer long after its
/// route's timeout, as its node waits for a heartbeat of a silent replica.
#[tokio::test]
async fn a_resumed_stream_is_answered_within_its_timeout() {
    let replica = Replica::spawn(|head| {
        let mut pieces = then_nothing(head);
        pieces.insert(0, WAIT.to_owned());
        pieces
    })
    .await;
    let world = World::open(SHORT_TIMEOUT, 20.0, &[&replica]).await;
    // The caller leaves after the first event.
    let mut caller = TcpStream::connect(world.front).await.unwrap();
    let request = "POST /resume/x HTTP/1.1\r\nHost: here\r\nId: 7\r\n\
                   Content-Length: 1\r\n\r\nx";
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut read = String::new();
    let mut buffer = [0; 1024];
    let first = timeout(TEST_TIMEOUT, async {
        while !read.contains("id: 1") {
            let count = caller.read(&mut buffer).await.unwrap();
            assert!(count > 0, "no first event: {read}");
            read.push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
    });
    first.await.expect("no first event");
    drop(caller);
    let began = Instant::now();
    let mut caller = TcpStream::connect(world.front).await.unwrap();
    let request = "POST /resume/x HTTP/1.1\r\nHost: here\r\nId: 8\r\n\
                   Resumes: 7\r\nLast: 1\r\nContent-Length: 1\r\n\r\nx";
    caller.write_all(request.as_bytes()).await.unwrap();
    let answer = crate::world::read_answer(&mut caller).await;
    let limit = Duration::from_millis(SHORT_TIMEOUT_MS) + FINAL_ANSWER_SLACK;
    let took = began.elapsed();
    assert!(took < limit, "answered after {took:?}: {answer}");
}

/// Requests that are sent on an added route.
const REQUESTS: usize = 20;
/// Smallest share of them that is served, relative to requests on routes that
/// have long been there and are all served.
const MIN_SERVED_SHARE: f64 = 0.25;

/// Guards against a route whose first requests all fail as its replicas are
/// silent when it is added.
#[tokio::test]
async fn a_route_that_is_added_in_a_silence_is_served() {
    let replicas = [Replica::spawn(late).await, Replica::spawn(late).await];
    let world = World::open(1, 0.0, &[&replicas[0], &replicas[1]]).await;
    let answer = post(world.front, "/added/x", 1, "x").await;
    assert_eq!(status(&answer), "404", "{answer}");
    apply_plan(&world.node, ADDS_ROUTE).await;
    let requests = (0..REQUESTS).map(|number| {
        let front = world.front;
        let body = number.to_string();
        async move { post(front, "/added/x", 100 + number, &body).await }
    });
    let answers = join_all(requests).await;
    let served = answers.iter().filter(|answer| status(answer) == "200");
    let share = served.count() as f64 / REQUESTS as f64;
    assert!(share >= MIN_SERVED_SHARE, "{share} were served: {answers:?}");
}

/// Interval between two heartbeats of a replica that waits for each to be
/// acknowledged, in ms.
const SPACING_MS: u64 = 1210;
/// Heartbeats that are on time between two silences.
const ON_TIME_BEATS: u64 = 4;

/// Guards against heartbeats that count as late for half a minute after each
/// silence of their replica, so that no stream can be resumed meanwhile.
#[test]
fn heartbeats_are_on_time_soon_after_a_silence() {
    let mut table = Table::open(Peer { ip: 1, ..Peer::default() });
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let id = incarnation_id("r", 1);
    let key = record_key(&id);
    let mut now = 10_000;
    let mut sequence = 0;
    let mut beat = |table: &mut Table, now: u64| {
        sequence += 1;
        let says = sighting(&id, address, 0);
        table.apply_sighting(
            now,
            Sighting { born: 1, sequence, ..says },
            true,
        );
    };
    beat(&mut table, now);
    for silence_ms in [800, 1300, 1800, 1700] {
        now += SPACING_MS + silence_ms;
        beat(&mut table, now);
        for _ in 0..ON_TIME_BEATS {
            now += SPACING_MS;
            beat(&mut table, now);
        }
        let opened_at = now - SPACING_MS / 2;
        assert_eq!(
            table.liveness(key, opened_at),
            Liveness::Confirmed,
            "after a silence of {silence_ms} ms"
        );
    }
}

/// Returns a stream that is silent for 1.8 s after its head, and breaks off.
fn silent_then_broken(_: &str) -> Vec<String> {
    let mut pieces = events(1..=1);
    pieces.truncate(1);
    pieces.extend(std::iter::repeat_n(WAIT.to_owned(), SILENCE));
    pieces.push(CLOSE.to_owned());
    pieces
}

/// Guards against a request that runs at more replicas than its route allows,
/// as its silent replica breaks off while another one has it.
#[tokio::test]
async fn a_silent_replica_that_breaks_off_is_replaced_once() {
    let mut replicas = Vec::new();
    for _ in 0..4 {
        replicas.push(Replica::spawn(silent_then_broken).await);
    }
    let all: Vec<&Replica> = replicas.iter().collect();
    let world = World::open(1, 20.0, &all).await;
    world.send_heartbeats(&replicas);
    world.stream().await;
    let ran: usize = replicas.iter_mut().map(|one| one.seen().len()).sum();
    assert_eq!(ran, MAX_ATTEMPTS, "replicas that ran the request");
}
