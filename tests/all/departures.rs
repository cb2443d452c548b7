//! Departures that replicas announce in answers that come through another
//! node.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use azuremount::{node, wire::Sighting};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    partition::{Link, Mode},
    world::{
        Replica, TEST_TIMEOUT, TempFolder, apply_plan, ended, events, ok,
        options, post, report_node, sighting, status,
    },
};

/// The port for traffic between nodes.
const PORT: u16 = 7705;
/// Time after an answer that announces a departure within which requests may
/// still arrive.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Number of requests that are sent after it.
const LATE_REQUESTS: usize = 50;
/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A node whose links to the replicas can be cut, and one that it forwards
/// requests through. It hears of the latter, and never from it: all reports of
/// departures are lost.
struct Site {
    /// The node whose links can be cut.
    node: node::Handle,
    links: Vec<Link>,
    replicas: Vec<Replica>,
    _folder: TempFolder,
    _tasks: JoinSet<()>,
}

impl Site {
    /// Starts the nodes, and a replica for each of `respond`.
    async fn open(net: u32, respond: &[fn(&str) -> Vec<String>]) -> Site {
        let ip = |at| Ipv4Addr::from(0x7f5b_0000 + (net << 8) + at);
        let (peer_ip, link_ip, node_ip) = (ip(1), ip(2), ip(3));
        let folder = TempFolder::new();
        let peer = node::Options {
            folder: Some(folder.0.clone()),
            founds: true,
            ..options(peer_ip, PORT, &[peer_ip])
        };
        let peer = node::spawn(peer).await.unwrap();
        apply_plan(&peer, 1).await;
        let mut tasks = JoinSet::new();
        for port in [PORT, PORT + 1] {
            let listener = TcpListener::bind((link_ip, port)).await.unwrap();
            tasks.spawn(forward(listener, (peer_ip, port).into()));
        }
        let link = SocketAddrV4::new(link_ip, PORT);
        tasks.spawn(report_node(link, node_ip, || 1));
        let node = node::spawn(options(node_ip, PORT, &[link_ip]));
        let node = node.await.unwrap();
        let mut replicas = Vec::new();
        let mut links = Vec::new();
        for respond in respond {
            let replica = Replica::spawn(*respond).await;
            links.push(Link::spawn(replica.address).await);
            replicas.push(replica);
        }
        let linked = links.iter().map(|link| link.address).collect();
        let direct = replicas.iter().map(|one| one.address).collect();
        tasks.spawn(send_heartbeats(node.clone(), linked));
        tasks.spawn(send_heartbeats(peer, direct));
        let serves = async {
            while !node.is_ready() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, serves).await.expect("node does not serve");
        sleep(2 * HEARTBEAT_INTERVAL).await;
        Site { node, links, replicas, _folder: folder, _tasks: tasks }
    }

    fn set_links(&self, mode: Mode) {
        for link in &self.links {
            link.mode.send_replace(mode);
        }
    }

    /// Sends requests to `path` until `is_enough` is true of an answer.
    async fn call_until(&self, path: &str, is_enough: fn(&str) -> bool) {
        let front = self.node.front().unwrap();
        let calls = async {
            for id in 0.. {
                let answer = post(front, path, id, "").await;
                if is_enough(&answer) {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, calls).await.expect("no such answer");
    }

    /// Restores the links once the time to drain is over, and returns the
    /// number of requests that the first replica gets from then on.
    async fn count_late(&mut self, path: &str) -> usize {
        sleep(DRAIN_TIME).await;
        self.replicas[0].seen();
        self.set_links(Mode::Pass);
        let reached = async {
            while !self.reaches_replicas() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, reached).await.expect("links not restored");
        let front = self.node.front().unwrap();
        for id in 10_000..10_000 + LATE_REQUESTS {
            post(front, path, id, "").await;
        }
        self.replicas[0].seen().len()
    }

    fn reaches_replicas(&self) -> bool {
        let metrics = self.node.metrics();
        metrics.contains("\nazuremount_unreachable_services 0\n")
    }
}

/// Forwards connections to `target`.
async fn forward(listener: TcpListener, target: SocketAddr) {
    let mut connections = JoinSet::new();
    while let Ok((mut near, _)) = listener.accept().await {
        connections.spawn(async move {
            let Ok(mut far) = TcpStream::connect(target).await else {
                return;
            };
            let _ = copy_bidirectional(&mut near, &mut far).await;
        });
    }
}

/// Sends heartbeats that say `ready` for replicas at these addresses.
pub async fn send_heartbeats(node: node::Handle, replicas: Vec<SocketAddr>) {
    for sequence in 1.. {
        for (at, address) in replicas.iter().enumerate() {
            let id = format!("r{at}");
            let says = sighting(&id, *address, 0);
            node.apply_heartbeat(Sighting { sequence, ..says });
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn leaving(pieces: Vec<String>) -> Vec<String> {
    let mut pieces = pieces;
    pieces[0] = pieces[0].replacen("\r\n", "\r\nLeaving: 1\r\n", 1);
    pieces
}

fn is_leaving(answer: &str) -> bool {
    answer.to_lowercase().contains("\r\nleaving: 1\r\n")
}

/// Guards against requests to a replica whose departure a node has passed on
/// in an answer that came through another node.
#[tokio::test]
async fn a_departure_in_a_forwarded_answer_is_recorded() {
    let mut site = Site::open(1, &[|_| leaving(ok("bye"))]).await;
    site.set_links(Mode::Refused);
    site.call_until("/again/x", is_leaving).await;
    assert_eq!(site.count_late("/again/x").await, 0);
}

/// Like [`a_departure_in_a_forwarded_answer_is_recorded`], for streams.
#[tokio::test]
async fn a_departure_in_a_forwarded_stream_is_recorded() {
    let respond = |_: &str| leaving(ended(events(1..=3)));
    let mut site = Site::open(2, &[respond]).await;
    site.set_links(Mode::Refused);
    site.call_until("/resume/x", is_leaving).await;
    assert_eq!(site.count_late("/resume/x").await, 0);
}

/// Guards against internal headers that reach callers, or that a replica sets.
#[tokio::test]
async fn callers_get_no_headers_that_nodes_send_each_other() {
    fn respond(_: &str) -> Vec<String> {
        let mut pieces = ok("fine");
        let line = "\r\nazuremount-leaving: r1\r\n";
        pieces[0] = pieces[0].replacen("\r\n", line, 1);
        pieces
    }
    let mut site = Site::open(3, &[respond, |_| ok("fine")]).await;
    site.set_links(Mode::Refused);
    let front = site.node.front().unwrap();
    site.call_until("/again/x", |answer| status(answer) == "200").await;
    for id in 100..120 {
        let answer = post(front, "/again/x", id, "").await;
        assert!(!answer.to_lowercase().contains("azuremount-"), "{answer}");
    }
    // The header of a replica does not take another one out of use.
    site.set_links(Mode::Pass);
    site.call_until("/again/x", |answer| status(answer) == "200").await;
    site.replicas[1].seen();
    for id in 200..240 {
        post(front, "/again/x", id, "").await;
    }
    assert!(!site.replicas[1].seen().is_empty(), "r1 is out of use");
}
