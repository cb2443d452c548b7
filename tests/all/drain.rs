//! Requests in flight, and callers' open connections, while nodes stop.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use azuremount::node;
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    departures::send_heartbeats,
    nodes::Site,
    partition::{Mode, Network},
    world::{
        Replica, TEST_TIMEOUT, WAIT, apply_plan, ended, events, ids, is_whole,
        ok, post, status,
    },
};

/// Time that a stopping process has.
const GRACE: Duration = Duration::from_secs(8);
/// Events of a long stream, 300 ms apart: 6 s.
const LONG_EVENTS: u64 = 20;
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(40);
/// Pause between two new plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);
/// Requests of a caller that a stopping node serves at least, before it and
/// while it still accepts them.
const MIN_SERVED: usize = 8;
/// Number of replicas.
const REPLICAS: usize = 6;

fn respond(head: &str) -> Vec<String> {
    if head.contains("/long") {
        let mut pieces = events(1..=1);
        pieces.truncate(1);
        for event in events(1..=LONG_EVENTS).split_off(1) {
            pieces.push(WAIT.to_owned());
            pieces.push(event);
        }
        return ended(pieces);
    }
    match head.contains("/resume/") || head.contains("/stream/") {
        true => {
            let mut pieces = ended(events(1..=3));
            pieces.insert(2, WAIT.to_owned());
            pieces
        }
        false => ok("fine"),
    }
}

/// What callers and replicas have seen.
#[derive(Default)]
struct Record {
    /// Ids of the requests that replicas got.
    arrived: Mutex<HashSet<String>>,
    /// Ids of the requests whose connection ended without an answer.
    unanswered: Mutex<Vec<String>>,
    /// Answers that broke off, with the ids of their requests.
    cut: Mutex<Vec<(String, String)>>,
    served: Mutex<usize>,
    /// Requests that were refused.
    refused: Mutex<Vec<String>>,
}

impl Record {
    fn note_arrival(&self, head: &str) {
        let mut lines = head.lines();
        if let Some(id) = lines.find_map(|line| line.strip_prefix("id: ")) {
            self.arrived.lock().unwrap().insert(id.to_owned());
        }
    }

    fn note(&self, id: String, answer: &str) {
        if answer.is_empty() {
            self.unanswered.lock().unwrap().push(id);
        } else if !is_whole(answer) {
            self.cut.lock().unwrap().push((id, answer.to_owned()));
        } else if status(answer) == "200" {
            *self.served.lock().unwrap() += 1;
        } else {
            self.refused.lock().unwrap().push(answer.to_owned());
        }
    }

    /// Checks that no request was lost: each one that arrived at a replica has
    /// a complete answer.
    fn check(&self, min_served: usize) {
        let cut = self.cut.lock().unwrap();
        assert!(cut.is_empty(), "answers broke off: {cut:?}");
        let arrived = self.arrived.lock().unwrap();
        let unanswered = self.unanswered.lock().unwrap();
        let lost: Vec<_> =
            unanswered.iter().filter(|id| arrived.contains(*id)).collect();
        assert!(lost.is_empty(), "without an answer: {lost:?}");
        let served = *self.served.lock().unwrap();
        let refused = self.refused.lock().unwrap();
        println!(
            "{served} served, {} refused, {} not read",
            refused.len(),
            unanswered.len()
        );
        assert!(served >= min_served, "{served} served, {refused:?}");
    }
}

/// Sends a request on an open connection and reads what follows.
async fn exchange(
    stream: &mut TcpStream,
    path: &str,
    id: &str,
) -> (String, bool) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: here\r\nId: {id}\r\n\
         Content-Length: {}\r\n\r\n{id}",
        id.len()
    );
    let mut read = Vec::new();
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (String::new(), false);
    }
    let mut buffer = [0; 4096];
    let reading = async {
        loop {
            let text = String::from_utf8_lossy(&read).into_owned();
            if is_whole(&text) {
                let head = text.to_ascii_lowercase();
                return (text, !head.contains("\r\nconnection: close\r\n"));
            }
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return (text, false),
                Ok(count) => read.extend_from_slice(&buffer[..count]),
            }
        }
    };
    timeout(TEST_TIMEOUT, reading).await.expect("no answer")
}

/// Sends requests to a node on open connections, one after the other, until
/// it accepts no more connections or `ends` is set.
async fn call(
    front: SocketAddr,
    paths: &'static [&'static str],
    name: String,
    record: Arc<Record>,
    ends: Arc<AtomicBool>,
) {
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(front).await else { return };
        let mut is_open = true;
        while is_open && !ends.load(Ordering::Relaxed) {
            let id = format!("{name}-{number}");
            let path = paths[number % paths.len()];
            number += 1;
            let answer;
            (answer, is_open) = exchange(&mut stream, path, &id).await;
            record.note(id, &answer);
            sleep(CALLER_PAUSE).await;
        }
    }
}

/// Applies new plans at a node until the task is aborted.
async fn change_plans(node: node::Handle) {
    for version in 2.. {
        apply_plan(&node, version).await;
        sleep(PLAN_INTERVAL).await;
    }
}

/// Stops `stopping` of `nodes` nodes at the same time, while plans change and
/// callers use open connections, and checks that no request is lost. Each of
/// them has a long stream, which takes most of the grace period.
async fn stop_at_once(nodes: usize, stopping: usize) {
    let site = Site::open(3, nodes - 3).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    let record = Arc::new(Record::default());
    let mut replicas = Vec::new();
    for _ in 0..REPLICAS {
        let record = record.clone();
        let replica = Replica::spawn(move |head| {
            record.note_arrival(head);
            respond(head)
        });
        replicas.push(replica.await);
    }
    let addresses: Vec<_> = replicas.iter().map(|one| one.address).collect();
    let mut tasks = JoinSet::new();
    for node in site.nodes() {
        tasks.spawn(send_heartbeats(node.clone(), addresses.clone()));
    }
    sleep(Duration::from_millis(700)).await;
    tasks.spawn(change_plans(site.node(0).clone()));
    let last: Vec<node::Handle> =
        site.nodes().skip(nodes - stopping).cloned().collect();
    let ends = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for (at, node) in last.iter().enumerate() {
        let front = node.front().unwrap();
        let paths = &["/again/x", "/once/x", "/resume/x", "/stream/x"];
        let name = format!("short-{at}");
        let (record, ends) = (record.clone(), ends.clone());
        callers.spawn(call(front, paths, name, record, ends));
    }
    sleep(Duration::from_millis(500)).await;
    let mut streams = JoinSet::new();
    for (at, node) in last.iter().enumerate() {
        let front = node.front().unwrap();
        for path in ["/resume/long", "/stream/long"] {
            streams.spawn(post(front, path, at, "x"));
        }
    }
    sleep(Duration::from_millis(200)).await;
    let began = Instant::now();
    join_all(last.into_iter().map(|node| node.shutdown(GRACE))).await;
    let duration = began.elapsed();
    assert!(duration < GRACE, "stopped after {duration:?}");
    // A process ends here, and with it the connections that are still open.
    let all: Vec<u64> = (1..=LONG_EVENTS).collect();
    while let Some(answer) = streams.try_join_next() {
        let answer = answer.unwrap();
        assert!(is_whole(&answer), "broken off: {answer}");
        assert_eq!(ids(&answer), all);
    }
    assert_eq!(streams.len(), 0, "streams that have not ended");
    ends.store(true, Ordering::Relaxed);
    callers.join_all().await;
    record.check(MIN_SERVED * stopping);
}

/// Guards against long streams that are cut, and requests on open connections
/// that get no answer, when half of the nodes stop while plans change.
#[tokio::test]
async fn requests_outlast_the_stop_of_half_of_the_nodes() {
    stop_at_once(6, 3).await;
}

/// Like [`requests_outlast_the_stop_of_half_of_the_nodes`], with as many nodes
/// as stop at the same time on a large site.
#[tokio::test]
async fn requests_outlast_the_stop_of_fifteen_nodes() {
    stop_at_once(30, 15).await;
}

/// Guards against requests and streams that a node forwards and that are lost
/// when the node stops that they go through.
#[tokio::test]
async fn forwarded_requests_outlast_the_stop_of_the_other_node() {
    let record = Arc::new(Record::default());
    let seen = record.clone();
    let network = Network::open_with(4, move |head| {
        seen.note_arrival(head);
        respond(head)
    })
    .await;
    network.partition(1, Mode::Reset);
    let nodes = &network.shared.nodes;
    let front = nodes[0].front().unwrap();
    let forwards = async {
        while status(&post(front, "/again/x", 0, "x").await) != "200" {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, forwards).await.expect("nothing is forwarded");
    sleep(Duration::from_millis(500)).await;
    let ends = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..4 {
        let paths = &["/again/x", "/once/x", "/resume/x", "/stream/x"];
        let name = format!("short-{caller}");
        let (record, ends) = (record.clone(), ends.clone());
        callers.spawn(call(front, paths, name, record, ends));
    }
    let mut streams = JoinSet::new();
    for id in 0..6 {
        let path = ["/resume/long", "/stream/long"][id % 2];
        streams.spawn(post(front, path, id, "x"));
    }
    sleep(Duration::from_millis(300)).await;
    let began = Instant::now();
    let stopping = nodes[2..].iter().cloned();
    let stopping = stopping.map(|node| node.shutdown(GRACE));
    join_all(stopping).await;
    let duration = began.elapsed();
    assert!(duration < GRACE, "stopped after {duration:?}");
    let all: Vec<u64> = (1..=LONG_EVENTS).collect();
    while let Some(answer) = streams.try_join_next() {
        let answer = answer.unwrap();
        assert!(is_whole(&answer), "broken off: {answer}");
        assert_eq!(ids(&answer), all);
    }
    assert_eq!(streams.len(), 0, "streams that have not ended");
    ends.store(true, Ordering::Relaxed);
    callers.join_all().await;
    record.check(100);
    assert!(record.refused.lock().unwrap().is_empty(), "requests refused");
}
