//! Answers that other nodes send in the place of the expected ones.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use azuremount::node;
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    departures::send_heartbeats,
    world::{
        TEST_TIMEOUT, TempFolder, apply_plan, ok, options, post, report_node,
        serve, status,
    },
};

const PORT: u16 = 7741;

/// Guards against an answer to another request that arrives through another
/// node: it has the id of that other request.
#[tokio::test]
async fn an_answer_of_another_node_counts_only_with_the_id() {
    let (link_ip, node_ip) =
        (Ipv4Addr::from(0x7f5e_0002), Ipv4Addr::from(0x7f5e_0003));
    let folder = TempFolder::new();
    let node = node::Options {
        folder: Some(folder.0.clone()),
        founds: true,
        is_first_start: true,
        ..options(node_ip, PORT, &[node_ip])
    };
    let node = node::spawn(node).await.unwrap();
    apply_plan(&node, 1).await;
    // No process listens at the replica's address.
    let gone = {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(send_heartbeats(node.clone(), vec![gone]));
    let link = SocketAddrV4::new(link_ip, PORT);
    tasks.spawn(report_node(link, node_ip, || 1));
    for port in [PORT, PORT + 1] {
        let listener = TcpListener::bind((link_ip, port)).await.unwrap();
        tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let (send, _heads) = mpsc::unbounded_channel();
                    serve(stream, &send, &|_| {
                        let body = "of another request";
                        let head = "HTTP/1.1 200 OK\r\nId: 77\r\n\
                                    Azuremount-Outcome: answer\r\n";
                        let whole = &ok(body)[0];
                        vec![whole.replacen("HTTP/1.1 200 OK\r\n", head, 1)]
                    })
                    .await;
                });
            }
        });
    }
    let front = node.front().unwrap();
    let forwarded = async {
        for id in 1000.. {
            let answer = post(front, "/once/x", id, "").await;
            assert!(!answer.contains("of another request"), "{answer}");
            if status(&answer) == "502" {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, forwarded).await.expect("nothing was forwarded");
}
