//! Requests that a stopping node can't wait for any longer.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    partition::Network,
    peer_silence::isolate_and_tell,
    world::{
        HANG, Replica, TestNode, is_whole, ok, post, read_answer, status,
    },
};

/// Time that a stopping process has.
const GRACE: Duration = Duration::from_millis(2500);
/// Time in which callers read what the process sent before its end.
const READ_TIME: Duration = Duration::from_millis(200);
/// Time in which a request arrives at a replica.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

fn without_answer(head: &str) -> Vec<String> {
    match head.contains("/hang") {
        true => vec![HANG.to_owned()],
        false => ok("fine"),
    }
}

/// Sends requests of each kind that get no answer from a replica.
async fn send_all(front: SocketAddr) -> Vec<JoinHandle<String>> {
    let paths = ["/once/hang", "/again/hang", "/stream/hang", "/resume/hang"];
    let sent = paths.into_iter().enumerate();
    let sent = sent
        .map(|(id, path)| tokio::spawn(post(front, path, id, "x")))
        .collect();
    sleep(ARRIVAL_TIME).await;
    sent
}

/// Returns the answer to a request whose node has stopped.
///
/// A process ends then, and with it the connections that are still open.
async fn last_answer(sent: JoinHandle<String>) -> String {
    let answer = timeout(READ_TIME, sent).await;
    answer.expect("the process ends without an answer").unwrap()
}

async fn check_may_have_run(sent: Vec<JoinHandle<String>>) {
    for request in sent {
        let answer = last_answer(request).await;
        assert!(is_whole(&answer), "broken off: {answer:?}");
        assert!(["502", "504"].contains(&status(&answer)), "{answer}");
    }
}

/// Guards against connections that end without an answer when a node stops
/// while replicas have not answered.
#[tokio::test]
async fn requests_in_flight_are_answered_before_their_node_ends() {
    let mut replica = Replica::spawn(without_answer).await;
    let node = TestNode::open(&[("a", replica.address)]).await;
    let sent = send_all(node.front).await;
    assert_eq!(replica.seen().len(), sent.len());
    node.node.clone().shutdown(GRACE).await;
    check_may_have_run(sent).await;
}

/// Guards against a connection that ends without an answer when a node stops
/// before a request has arrived whole, and against a false "may have run".
#[tokio::test]
async fn a_request_that_has_not_arrived_is_refused_before_its_node_ends() {
    let mut replica = Replica::spawn(without_answer).await;
    let node = TestNode::open(&[("a", replica.address)]).await;
    let mut client = TcpStream::connect(node.front).await.unwrap();
    let head = "POST /once/hang HTTP/1.1\r\nHost: here\r\n\
                Content-Length: 5\r\n\r\nx";
    client.write_all(head.as_bytes()).await.unwrap();
    let answer = tokio::spawn(async move { read_answer(&mut client).await });
    sleep(ARRIVAL_TIME).await;
    node.node.clone().shutdown(GRACE).await;
    let answer = last_answer(answer).await;
    assert!(is_whole(&answer), "broken off: {answer:?}");
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(replica.seen().is_empty(), "it has arrived at the replica");
}

/// Guards against connections that end without an answer, and against a false
/// "not run", when a node stops that has forwarded requests to another node.
#[tokio::test]
async fn forwarded_requests_are_answered_before_their_node_ends() {
    let network = Network::open_with(3, without_answer).await;
    isolate_and_tell(&network, 1).await;
    let stopping = network.shared.nodes[0].clone();
    let sent = send_all(stopping.front().unwrap()).await;
    stopping.shutdown(GRACE).await;
    check_may_have_run(sent).await;
}

/// Guards against a false "not run", and connections that end without an
/// answer, when the node stops that requests were forwarded to.
#[tokio::test]
async fn forwarded_requests_are_answered_before_the_other_nodes_end() {
    let network = Network::open_with(3, without_answer).await;
    isolate_and_tell(&network, 1).await;
    let nodes = &network.shared.nodes;
    let sent = send_all(nodes[0].front().unwrap()).await;
    let stopping = nodes[1..].iter().cloned();
    join_all(stopping.map(|node| node.shutdown(GRACE))).await;
    check_may_have_run(sent).await;
}

/// Guards against a false "not run" when a node stops while a replica, or the
/// node that a request was forwarded to, is within its answer.
#[tokio::test]
async fn requests_whose_answers_have_begun_are_not_said_not_to_have_run() {
    let respond = |head: &str| match head.contains("/part") {
        true => {
            let part = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
            vec![part.to_owned(), HANG.to_owned()]
        }
        false => ok("fine"),
    };
    let network = Network::open_with(3, respond).await;
    isolate_and_tell(&network, 1).await;
    let mut sent = Vec::new();
    for node in &network.shared.nodes[..2] {
        let front = node.front().unwrap();
        for path in ["/once/part", "/again/part"] {
            sent.push(tokio::spawn(post(front, path, sent.len(), "x")));
        }
    }
    sleep(ARRIVAL_TIME).await;
    let stopping = network.shared.nodes[..2].iter().cloned();
    join_all(stopping.map(|node| node.shutdown(GRACE))).await;
    check_may_have_run(sent).await;
}
