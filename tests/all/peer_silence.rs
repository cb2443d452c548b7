//! Requests that a node forwards through another node, which is silent for a
//! long time before it answers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    partition::{Mode, Network},
    world::{
        HANG, MORE_ATTEMPTS, TEST_TIMEOUT, WAIT, apply_plan, ended, events,
        full, ids, ok, post, read_answer, status,
    },
};

/// Time that callers give their requests.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Pauses of a replica before its answer, 2.1 s: longer than half of
/// `DEADLINE`.
const LATE: usize = 7;
/// Time given to the requests that find a partition.
const PROBE_DEADLINE: Duration = Duration::from_millis(300);
/// Time in which all nodes hear that one has lost its path to the replicas.
const REPORT_TIME: Duration = Duration::from_millis(700);
/// Streams that break off at the same time. Each chooses between two nodes, and
/// the retry budget of a node allows seven to go on.
const BROKEN_STREAMS: usize = 5;
/// Number of events in a whole stream.
const EVENTS: u64 = 6;
/// Attempts that the routes allow.
const MAX_ATTEMPTS: usize = 2;

/// Returns the pieces of an answer that begins late.
fn late(pieces: Vec<String>) -> Vec<String> {
    let mut all = vec![WAIT.to_owned(); LATE];
    all.extend(pieces);
    all
}

/// Cuts the first nodes off from all replicas, and waits until they forward
/// their requests.
async fn isolate(network: &Network, nodes: usize, mode: Mode) {
    network.partition(nodes, mode);
    for node in &network.shared.nodes[..nodes] {
        let front = node.front().unwrap();
        let is_known = "\nazuremount_unreachable_services 1\n";
        let known = async {
            // Only requests that fail show a partition.
            while !node.metrics().contains(is_known) {
                post_within(front, "/again/x", 0, PROBE_DEADLINE).await;
            }
        };
        timeout(TEST_TIMEOUT, known).await.expect("partition not noticed");
    }
}

/// Like [`isolate`], and waits until all nodes have heard of it.
pub async fn isolate_and_tell(network: &Network, nodes: usize) {
    isolate(network, nodes, Mode::Reset).await;
    sleep(REPORT_TIME).await;
}

/// Sends a request that has to be answered within `deadline`.
async fn post_within(
    front: SocketAddr,
    path: &str,
    id: usize,
    deadline: Duration,
) -> String {
    let mut client = TcpStream::connect(front).await.unwrap();
    let deadline = deadline.as_millis();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: here\r\nId: {id}\r\n\
         Deadline: {deadline}\r\nContent-Length: 0\r\n\r\n"
    );
    client.write_all(request.as_bytes()).await.unwrap();
    read_answer(&mut client).await
}

/// Sends a request for a stream with a body of its own.
async fn post_own(front: SocketAddr, id: usize) -> String {
    post(front, "/resume/x", id, &id.to_string()).await
}

/// Guards against a request that is refused as the other node has been silent
/// for half of the time left, while no other node could answer it.
#[tokio::test]
async fn a_late_answer_through_the_only_other_node_is_passed_on() {
    let network = Network::open_with(3, |head| match head.contains("/late") {
        true => late(ok("fine")),
        false => ok("fine"),
    })
    .await;
    isolate_and_tell(&network, 2).await;
    let front = network.shared.nodes[0].front().unwrap();
    let answer = post_within(front, "/again/late", 1, DEADLINE).await;
    assert_eq!(status(&answer), "200", "{answer}");
}

/// Guards against a request that is refused as a second node refuses it, while
/// the first one still works on it.
#[tokio::test]
async fn a_refusal_of_a_second_node_does_not_end_the_first_call() {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    let network = Network::open_with(3, move |head| {
        if !head.contains("/late") {
            return ok("fine");
        }
        match count.fetch_add(1, Ordering::Relaxed) {
            0 => late(ok("fine")),
            _ => full(),
        }
    })
    .await;
    isolate_and_tell(&network, 1).await;
    let front = network.shared.nodes[0].front().unwrap();
    let answer = post_within(front, "/again/late", 1, DEADLINE).await;
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(asked.load(Ordering::Relaxed) > 1, "no second node was asked");
}

/// Guards against a request that waits for a silent node until its deadline,
/// while a second node would answer it.
#[tokio::test]
async fn a_second_node_answers_while_the_first_one_is_silent() {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    let network = Network::open_with(3, move |head| {
        if !head.contains("/late") {
            return ok("fine");
        }
        match count.fetch_add(1, Ordering::Relaxed) {
            0 => late(late(ok("first"))),
            _ => ok("second"),
        }
    })
    .await;
    isolate_and_tell(&network, 1).await;
    let front = network.shared.nodes[0].front().unwrap();
    let answer = post_within(front, "/again/late", 1, DEADLINE).await;
    assert!(answer.ends_with("second"), "{answer}");
    assert_eq!(asked.load(Ordering::Relaxed), MAX_ATTEMPTS);
}

/// Guards against a request that fails as the second node's replica breaks
/// off, while the first node still works on it.
#[tokio::test]
async fn a_failure_at_a_second_node_does_not_end_the_first_call() {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    let network = Network::open_with(3, move |head| {
        if !head.contains("/late") {
            return ok("fine");
        }
        match count.fetch_add(1, Ordering::Relaxed) {
            0 => late(ok("fine")),
            _ => Vec::new(),
        }
    })
    .await;
    isolate_and_tell(&network, 1).await;
    let front = network.shared.nodes[0].front().unwrap();
    let answer = post_within(front, "/again/late", 1, DEADLINE).await;
    assert_eq!(status(&answer), "200", "{answer}");
    assert_eq!(asked.load(Ordering::Relaxed), MAX_ATTEMPTS);
}

/// Guards against a request that waits for a silent node until its deadline
/// although its own node reaches the replicas again.
#[tokio::test]
async fn a_healed_node_answers_by_itself_while_the_other_one_is_silent() {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    let network = Network::open_with(3, move |head| {
        if !head.contains("/late") {
            return ok("fine");
        }
        match count.fetch_add(1, Ordering::Relaxed) {
            0 => late(late(ok("first"))),
            _ => ok("second"),
        }
    })
    .await;
    isolate_and_tell(&network, 2).await;
    let front = network.shared.nodes[0].front().unwrap();
    let request = tokio::spawn(post_within(front, "/again/late", 1, DEADLINE));
    sleep(Duration::from_millis(200)).await;
    network.partition(2, Mode::Pass);
    let answer = request.await.unwrap();
    assert!(answer.ends_with("second"), "{answer}");
}

/// Guards against a stream that is cut as the node through which it goes on
/// has been silent for half of the time left, while no other node could go on
/// with it.
#[tokio::test]
async fn a_stream_goes_on_late_through_the_only_other_node() {
    const STREAM_DEADLINE: Duration = Duration::from_millis(7000);
    let network = Network::open_with(3, |head| {
        if head.contains("/again/") {
            return ok("fine");
        }
        let last = head.lines().find_map(|line| line.strip_prefix("last: "));
        match last {
            Some(last) => {
                let last: u64 = last.trim().parse().unwrap();
                let pieces = ended(events(last + 1..=EVENTS));
                late(late(pieces))
            }
            None => {
                let mut pieces = events(1..=2);
                pieces.push(HANG.to_owned());
                pieces
            }
        }
    })
    .await;
    let node = &network.shared.nodes[0];
    apply_plan(node, MORE_ATTEMPTS).await;
    let front = node.front().unwrap();
    let stream =
        tokio::spawn(post_within(front, "/resume/x", 1, STREAM_DEADLINE));
    sleep(Duration::from_millis(200)).await;
    // The stream's connection works until the partition is known.
    isolate(&network, 2, Mode::Live).await;
    sleep(REPORT_TIME).await;
    network.partition(2, Mode::Reset);
    let answer = stream.await.unwrap();
    assert!(answer.ends_with("0\r\n\r\n"), "broken off: {answer}");
    let all: Vec<u64> = (1..=EVENTS).collect();
    assert_eq!(ids(&answer), all);
}

/// Guards against a request that ends after its deadline as it waits for a
/// node that never answers.
#[tokio::test]
async fn a_call_that_is_never_answered_ends_at_the_deadline() {
    let network = Network::open_with(3, |head| match head.contains("/late") {
        true => late(late(late(ok("too late")))),
        false => ok("fine"),
    })
    .await;
    isolate_and_tell(&network, 2).await;
    let front = network.shared.nodes[0].front().unwrap();
    let began = Instant::now();
    let answer = post_within(front, "/again/late", 1, DEADLINE).await;
    let duration = began.elapsed();
    assert!(["502", "504"].contains(&status(&answer)), "{answer}");
    let slack = Duration::from_millis(500);
    assert!(duration < DEADLINE + slack, "answered after {duration:?}");
}

/// Guards against a stream that is cut as the node that it goes on through has
/// just lost its path to the replicas as well, while a third one reaches them.
#[tokio::test]
async fn streams_go_on_although_a_second_node_has_just_lost_its_path() {
    let network = Network::open_with(3, |head| {
        if head.contains("/again/") {
            return ok("fine");
        }
        match head.contains("last: ") {
            true => ended(events(3..=EVENTS)),
            false => {
                let mut pieces = events(1..=2);
                pieces.push(HANG.to_owned());
                pieces
            }
        }
    })
    .await;
    let front = network.shared.nodes[0].front().unwrap();
    let streams: Vec<_> = (0..BROKEN_STREAMS)
        .map(|id| tokio::spawn(post_own(front, id)))
        .collect();
    sleep(Duration::from_millis(200)).await;
    isolate(&network, 2, Mode::Live).await;
    network.partition(2, Mode::Reset);
    let all: Vec<u64> = (1..=EVENTS).collect();
    for stream in streams {
        let answer = stream.await.unwrap();
        assert!(answer.ends_with("0\r\n\r\n"), "broken off: {answer}");
        assert_eq!(ids(&answer), all);
    }
}

/// Guards against a forwarded request that is dropped as an earlier attempt at
/// a replica of this node fails, while the other node still works on it.
#[tokio::test]
async fn a_broken_earlier_attempt_does_not_end_a_forwarded_call() {
    const LONG_DEADLINE: Duration = Duration::from_millis(8000);
    let network = Network::open_with(3, |head| match head.contains("/late") {
        true => late(ok("fine")),
        false => ok("fine"),
    })
    .await;
    isolate_and_tell(&network, 2).await;
    network.partition(1, Mode::Pass);
    let node = &network.shared.nodes[0];
    let front = node.front().unwrap();
    let is_known = "\nazuremount_unreachable_services 0\n";
    let known = async {
        while !node.metrics().contains(is_known) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TEST_TIMEOUT, known).await.expect("the path is not back");
    network.partition(1, Mode::Silent);
    let request =
        tokio::spawn(post_within(front, "/again/late", 1, LONG_DEADLINE));
    let forwarded = async {
        let lost = "\nazuremount_unreachable_services 1\n";
        while !node.metrics().contains(lost) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TEST_TIMEOUT, forwarded).await.expect("the path is not lost");
    sleep(Duration::from_millis(300)).await;
    network.partition(1, Mode::Reset);
    let answer = request.await.unwrap();
    assert_eq!(status(&answer), "200", "{answer}");
}
