//! Tests of statuses that promise that a request did not run: 408, 421, 429
//! and 503. docs/design/refusals.md lists the places that send them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    partition::{Mode, Network},
    world::{CLOSE, Replica, TestNode, WAIT, events, full, ok, post, status},
};

/// Statuses that a caller takes for a promise that its request did not run.
const PROMISES: [&str; 4] = ["408", "421", "429", "503"];
/// Path of each kind of request.
const PATHS: [&str; 4] = ["/once/x", "/stream/x", "/again/x", "/resume/x"];

fn answer(status: &str) -> Vec<String> {
    vec![format!(
        "HTTP/1.1 {status} X\r\nSeal: 1\r\nContent-Length: 2\r\n\r\nno"
    )]
}

/// Guards against a caller that repeats a request that ran: a replica answers
/// with one of these statuses and does not say that it did not run the
/// request.
#[tokio::test]
async fn a_replica_status_that_proves_nothing_is_not_passed_on() {
    for code in ["408", "429", "503"] {
        let mut replica = Replica::spawn(move |_| answer(code)).await;
        let world = TestNode::open(&[("r", replica.address)]).await;
        for path in PATHS {
            let answer = world.get(path).await;
            let got = status(&answer);
            assert!(!PROMISES.contains(&got), "{path}: {answer}");
            // The seal vouches for the status that the replica sent.
            assert!(!answer.contains("eal: 1"), "{path}: {answer}");
            assert!(!replica.seen().is_empty(), "{path}");
        }
    }
}

/// Guards against the same status that comes through another node.
#[tokio::test]
async fn a_forwarded_status_that_proves_nothing_is_not_passed_on() {
    let network = Network::open_with(3, |_| answer("503")).await;
    network.partition(1, Mode::Reset);
    let front = network.shared.nodes[0].front().unwrap();
    // The first request finds that the path is lost.
    let _ = post(front, "/again/x", 0, "first").await;
    sleep(Duration::from_millis(500)).await;
    for (id, path) in PATHS.iter().enumerate() {
        let answer = post(front, path, 1 + id, path).await;
        let got = status(&answer);
        assert!(!PROMISES.contains(&got), "{path}: {answer}");
    }
}

/// Guards against a refusal after an attempt that may have run: the first
/// replica takes the request and closes, or answers too late, and the second
/// one proves that it did not run it.
#[tokio::test]
async fn a_rejection_after_a_lost_answer_is_no_promise() {
    for lost in [vec![CLOSE.to_owned()], vec![WAIT.to_owned(), CLOSE.into()]] {
        let arrived = Arc::new(AtomicUsize::new(0));
        let count = arrived.clone();
        let respond =
            move |_: &str| match count.fetch_add(1, Ordering::Relaxed) {
                0 => lost.clone(),
                _ => full(),
            };
        let respond = Arc::new(respond);
        let (first, second) = (respond.clone(), respond);
        let one = Replica::spawn(move |head| first(head)).await;
        let two = Replica::spawn(move |head| second(head)).await;
        let replicas = [("a", one.address), ("b", two.address)];
        for path in PATHS {
            arrived.store(0, Ordering::Relaxed);
            let world = TestNode::open(&replicas).await;
            let answer = world.get(path).await;
            let got = status(&answer);
            assert!(!PROMISES.contains(&got), "{path}: {answer}");
        }
    }
}

/// Guards against a promise about a stream that broke off after its first
/// event: no status can follow, and the connection must show the break.
#[tokio::test]
async fn a_stream_that_breaks_off_is_followed_by_no_promise() {
    let broken = |_: &str| {
        let mut pieces = events(1..=2);
        pieces.push(CLOSE.to_owned());
        pieces
    };
    let one = Replica::spawn(broken).await;
    let world = TestNode::open(&[("a", one.address)]).await;
    let answer = world.get("/stream/x").await;
    assert_eq!(status(&answer), "200", "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against a request that is refused and still sent: a caller's body
/// that stalls is refused with 408, and no replica may see the request.
#[tokio::test]
async fn a_request_whose_body_stalls_reaches_no_replica() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let answer = world
        .exchange(
            "POST /once/x HTTP/1.1\r\nHost: here\r\n\
             Content-Length: 100\r\n\r\nhalf",
        )
        .await;
    assert_eq!(status(&answer), "408", "{answer}");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(replica.seen(), Vec::<String>::new());
}

/// Guards against a refusal for the quota after which the request is sent.
#[tokio::test]
async fn a_request_beyond_the_quota_reaches_no_replica() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let mut refused = 0;
    for _ in 0..8 {
        let answer = world
            .exchange(
                "GET /team/x HTTP/1.1\r\nHost: here\r\nKey: sesame\r\n\r\n",
            )
            .await;
        refused += usize::from(status(&answer) == "429");
    }
    assert!(refused > 0, "no request was beyond the quota");
    assert_eq!(replica.seen().len(), 8 - refused);
}
