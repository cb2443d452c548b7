//! Nodes that are partitioned from all replicas, while callers and the other
//! nodes still reach them.
//!
//! Each node has links of its own to the replicas: it is told the address of a
//! relay for each of them.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

use azuremount::{node, wire::Sighting};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    nodes::Site,
    world::{
        Replica, WAIT, apply_plan, ended, events, full, is_whole, ok, post,
        read_answer, sighting, status,
    },
};

/// Number of replicas of the service.
const REPLICAS: usize = 6;
/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2400);
/// Time after the start of a partition from which on its nodes have to serve.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// Duration of the part of a partition in which first attempts are counted.
const JUDGED_TIME: Duration = Duration::from_millis(2600);
/// Callers of each node before the partition.
const CALLERS_BEFORE: usize = 2;
/// Callers of each node that come in addition when the partition begins.
const MORE_CALLERS: usize = 4;
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(30);
/// Smallest share of first attempts that partitioned nodes have to serve,
/// compared to the other nodes.
const MIN_SERVED_RATIO: f64 = 0.9;
/// Requests that the team of the test plan may send at once.
const QUOTA_BURST: usize = 3;
/// Pause between two new plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Path of each kind of request.
const PATHS: [&str; 4] = ["/again/x", "/once/x", "/stream/x", "/resume/x"];

/// What a partition does to connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// No partition.
    Pass,
    /// Connections stay open, and nothing passes.
    Silent,
    /// Open connections and new ones are reset.
    Reset,
    /// Open connections work, and new ones are reset.
    Live,
    /// Open connections are reset, and new ones are refused.
    Refused,
    /// Open connections work, and new ones are refused.
    NewRefused,
}

/// The path from one node to one replica.
pub struct Link {
    /// The address that leads to the replica.
    pub address: SocketAddr,
    pub mode: watch::Sender<Mode>,
}

impl Link {
    pub async fn spawn(replica: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = watch::Sender::new(Mode::Pass);
        tokio::spawn(run_link(listener, replica, mode.subscribe()));
        Link { address, mode }
    }
}

async fn run_link(
    mut listener: TcpListener,
    replica: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) {
    let address = listener.local_addr().unwrap();
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted.unwrap().0,
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
                let current = *mode.borrow_and_update();
                if matches!(current, Mode::Reset | Mode::Refused) {
                    connections.abort_all();
                }
                if matches!(current, Mode::Refused | Mode::NewRefused) {
                    drop(listener);
                    let _ = mode.wait_for(|mode| *mode != current).await;
                    listener = TcpListener::bind(address).await.unwrap();
                }
                continue;
            }
        };
        let current = *mode.borrow();
        if matches!(current, Mode::Reset | Mode::Live) {
            stream.set_zero_linger().unwrap();
            continue;
        }
        connections.spawn(pass(stream, replica, mode.clone()));
    }
}

/// Copies both directions of a connection, and pauses while the link is
/// silent.
async fn pass(
    mut stream: TcpStream,
    replica: SocketAddr,
    mut mode: watch::Receiver<Mode>,
) {
    stream.set_zero_linger().unwrap();
    let Ok(mut server) = TcpStream::connect(replica).await else { return };
    loop {
        let is_silent = |mode: &Mode| *mode == Mode::Silent;
        if mode.wait_for(|mode| !is_silent(mode)).await.is_err() {
            return;
        }
        tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut server) => return,
            silent = mode.wait_for(is_silent) => {
                if silent.is_err() {
                    return;
                }
            }
        }
    }
}

/// First attempt of a caller.
struct Attempt {
    node: usize,
    path: &'static str,
    sent_at: Instant,
    is_served: bool,
}

pub struct Shared {
    pub nodes: Vec<node::Handle>,
    /// Returns the software version of a replica.
    version_of: fn(usize) -> &'static str,
    /// Links by node and replica.
    links: Vec<Vec<Link>>,
    attempts: Mutex<Vec<Attempt>>,
}

impl Shared {
    /// Sends each replica's heartbeats to all nodes, with the address that
    /// the node reaches the replica at.
    async fn send_heartbeats(self: Arc<Shared>) {
        for sequence in 1.. {
            for (node, links) in self.nodes.iter().zip(&self.links) {
                for (replica, link) in links.iter().enumerate() {
                    let id = format!("r{replica}");
                    let says = Sighting {
                        sequence,
                        version: (self.version_of)(replica).to_owned(),
                        ..sighting(&id, link.address, 0)
                    };
                    node.apply_heartbeat(says);
                }
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn call(self: Arc<Shared>, node: usize, caller: usize) {
        let front = self.nodes[node].front().unwrap();
        for number in 0.. {
            let path = PATHS[(number + caller) % PATHS.len()];
            let id = (node * 100 + caller) * 100_000 + number;
            let sent_at = Instant::now();
            let answer =
                timeout(CALLER_TIMEOUT, post(front, path, id, "x")).await;
            let is_served = answer.is_ok_and(|answer| {
                status(&answer) == "200" && is_whole(&answer)
            });
            let attempt = Attempt { node, path, sent_at, is_served };
            self.attempts.lock().unwrap().push(attempt);
            sleep(CALLER_PAUSE).await;
        }
    }
}

fn respond(head: &str) -> Vec<String> {
    match head.contains("/stream/") || head.contains("/resume/") {
        true => {
            let mut pieces = ended(events(1..=4));
            pieces.insert(2, WAIT.to_owned());
            pieces
        }
        false => ok("fine"),
    }
}

/// Several nodes with callers, and the links between nodes and replicas.
pub struct Network {
    _site: Site,
    replicas: Vec<Replica>,
    pub shared: Arc<Shared>,
    callers: JoinSet<()>,
}

impl Network {
    async fn open(nodes: usize) -> Network {
        let mut network = Network::open_with(nodes, respond).await;
        network.add_callers(0..CALLERS_BEFORE);
        network
    }

    /// Opens a network without callers, whose replicas answer by `respond`.
    pub async fn open_with(
        nodes: usize,
        respond: impl Fn(&str) -> Vec<String> + Clone + Send + Sync + 'static,
    ) -> Network {
        let respond = move |head: &str, _: &str| respond(head);
        Network::open_with_versions(nodes, |_| "v1", respond).await
    }

    /// Opens a network without callers, whose replicas have the software
    /// versions `version_of` and answer a request by it.
    pub async fn open_with_versions(
        nodes: usize,
        version_of: fn(usize) -> &'static str,
        respond: impl Fn(&str, &str) -> Vec<String> + Clone + Send + Sync + 'static,
    ) -> Network {
        let site = Site::open(3, nodes - 3).await;
        apply_plan(site.node(0), 1).await;
        site.wait_until_all_serve().await;
        let mut replicas = Vec::new();
        for replica in 0..REPLICAS {
            let (respond, version) = (respond.clone(), version_of(replica));
            let respond = move |head: &str| respond(head, version);
            replicas.push(Replica::spawn(respond).await);
        }
        let mut links = Vec::new();
        for _ in 0..nodes {
            let mut own = Vec::new();
            for replica in &replicas {
                own.push(Link::spawn(replica.address).await);
            }
            links.push(own);
        }
        let shared = Arc::new(Shared {
            nodes: site.nodes().cloned().collect(),
            version_of,
            links,
            attempts: Mutex::default(),
        });
        tokio::spawn(shared.clone().send_heartbeats());
        sleep(Duration::from_millis(700)).await;
        let callers = JoinSet::new();
        Network { _site: site, replicas, shared, callers }
    }

    /// Adds callers to each node.
    fn add_callers(&mut self, callers: Range<usize>) {
        for node in 0..self.shared.nodes.len() {
            for caller in callers.clone() {
                self.callers.spawn(self.shared.clone().call(node, caller));
            }
        }
    }

    pub fn partition(&self, nodes: usize, mode: Mode) {
        for link in self.shared.links[..nodes].iter().flatten() {
            link.mode.send_replace(mode);
        }
    }

    /// Returns the share of first attempts served, of those sent in a time
    /// to nodes for which `selects` is true.
    fn served_share(
        &self,
        from: Instant,
        to: Instant,
        selects: impl Fn(usize) -> bool,
    ) -> f64 {
        let attempts = self.shared.attempts.lock().unwrap();
        let counted: Vec<&Attempt> = attempts
            .iter()
            .filter(|attempt| attempt.sent_at >= from && attempt.sent_at < to)
            .filter(|attempt| selects(attempt.node))
            .collect();
        for path in PATHS {
            let of_path = counted.iter().filter(|one| one.path == path);
            let served = of_path.clone().filter(|one| one.is_served).count();
            println!("{path}: {served} of {}", of_path.count());
        }
        let served = counted.iter().filter(|one| one.is_served).count();
        assert!(!counted.is_empty(), "no caller has sent a request");
        served as f64 / counted.len() as f64
    }

    /// Returns the largest number of runs of one request that may run once.
    fn most_runs(&mut self) -> usize {
        let mut ids: Vec<String> = self
            .replicas
            .iter_mut()
            .flat_map(Replica::seen)
            .filter(|head| {
                head.starts_with("POST /once/")
                    || head.starts_with("POST /stream/")
            })
            .filter_map(|head| {
                let mut lines = head.lines();
                let id = lines.find(|line| line.starts_with("id: "));
                id.map(str::to_owned)
            })
            .collect();
        ids.sort_unstable();
        ids.chunk_by(|one, other| one == other).map(<[_]>::len).max().unwrap()
    }
}

/// Applies new plans at a node, one after the other.
async fn change_plans(node: node::Handle) {
    for version in 2.. {
        apply_plan(&node, version).await;
        sleep(PLAN_INTERVAL).await;
    }
}

/// Partitions some nodes for a while, and checks that callers of these nodes
/// are served about as often as the others.
async fn serves_behind_partition(nodes: usize, partitioned: usize, how: Mode) {
    check(Network::open(nodes).await, partitioned, how).await;
}

async fn check(mut network: Network, partitioned: usize, how: Mode) {
    sleep(Duration::from_millis(500)).await;
    network.partition(partitioned, how);
    network.add_callers(CALLERS_BEFORE..CALLERS_BEFORE + MORE_CALLERS);
    sleep(CONTACT_TIME).await;
    let from = Instant::now();
    sleep(JUDGED_TIME).await;
    let to = Instant::now();
    // Waits for the answers to the last requests.
    sleep(CALLER_TIMEOUT).await;
    network.partition(partitioned, Mode::Pass);
    network.callers.shutdown().await;
    println!("partitioned:");
    let cut = network.served_share(from, to, |node| node < partitioned);
    println!("others:");
    let others = network.served_share(from, to, |node| node >= partitioned);
    assert!(
        cut >= MIN_SERVED_RATIO * others,
        "{how:?}: partitioned nodes served {cut:.3}, the others {others:.3}"
    );
    assert!(network.most_runs() <= 1, "a request ran twice");
}

/// Guards against nodes that refuse all requests while their connections to
/// replicas are reset, although other nodes reach the replicas.
#[tokio::test]
async fn nodes_whose_connections_to_replicas_are_reset_still_serve() {
    serves_behind_partition(6, 3, Mode::Reset).await;
}

/// Guards against nodes whose requests wait for replicas that nothing reaches
/// any more, although other nodes reach them.
#[tokio::test]
async fn nodes_whose_connections_to_replicas_hang_still_serve() {
    serves_behind_partition(6, 3, Mode::Silent).await;
}

/// Guards against nodes that serve only as many requests as they have open
/// connections to replicas, while no new connection opens.
#[tokio::test]
async fn nodes_that_open_no_new_connections_to_replicas_still_serve() {
    serves_behind_partition(6, 3, Mode::Live).await;
}

/// Guards against nodes that refuse all requests where most nodes can't reach
/// the replicas.
#[tokio::test]
async fn few_connected_nodes_serve_the_callers_of_many_partitioned_ones() {
    serves_behind_partition(12, 9, Mode::Reset).await;
}

/// Guards against nodes that refuse forwarded requests while a new plan is not
/// yet in force at all nodes.
#[tokio::test]
async fn nodes_take_forwarded_requests_while_plans_change() {
    let mut network = Network::open(6).await;
    let node = network.shared.nodes[0].clone();
    network.callers.spawn(change_plans(node));
    check(network, 3, Mode::Reset).await;
}

/// Guards against requests that are quarantined because the connections of a
/// partitioned node broke and the replicas then refused new ones.
#[tokio::test]
async fn replicas_that_a_partitioned_node_cannot_reach_have_not_crashed() {
    let mut network = Network::open(3).await;
    network.callers.shutdown().await;
    let nodes = network.shared.nodes.clone();
    let front = nodes[0].front().unwrap();
    let mut in_flight = JoinSet::new();
    for id in 0..3 {
        in_flight.spawn(post(front, "/stream/x", id, "in flight"));
    }
    sleep(Duration::from_millis(150)).await;
    network.partition(1, Mode::Refused);
    in_flight.join_all().await;
    sleep(Duration::from_millis(500)).await;
    network.partition(1, Mode::Pass);
    sleep(Duration::from_millis(1000)).await;
    for (id, node) in nodes.iter().enumerate() {
        let front = node.front().unwrap();
        let answer = post(front, "/stream/x", 10 + id, "in flight").await;
        assert_eq!(status(&answer), "200", "node {id}: {answer}");
    }
}

/// What a replica does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reaction {
    Answers,
    Rejects,
    /// Closes the connection without an answer.
    Closes,
    /// Answers with a server error.
    Fails,
}

fn react(head: &str, reaction: Reaction) -> Vec<String> {
    match reaction {
        Reaction::Answers => respond(head),
        Reaction::Rejects => full(),
        Reaction::Closes => Vec::new(),
        Reaction::Fails => {
            vec!["HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_owned()]
        }
    }
}

/// Returns the id in the head of a request.
fn id_of(head: &str) -> Option<usize> {
    head.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()
}

/// Guards against requests that are refused as not run although a replica may
/// have run them, or that run twice, when they are forwarded by a partitioned
/// node. Compares the answers with what the replicas saw.
#[tokio::test]
async fn verdicts_are_exact_over_forwarded_requests() {
    let seen: Arc<Mutex<Vec<(usize, Reaction)>>> = Arc::default();
    let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(7)));
    let record = seen.clone();
    let network = Network::open_with(3, move |head| {
        let reaction = match rng.lock().unwrap().random_range(0..8) {
            0..4 => Reaction::Answers,
            4..6 => Reaction::Rejects,
            6 => Reaction::Closes,
            _ => Reaction::Fails,
        };
        let id = id_of(head).expect("a request without an id");
        record.lock().unwrap().push((id, reaction));
        react(head, reaction)
    })
    .await;
    network.partition(1, Mode::Reset);
    let front = network.shared.nodes[0].front().unwrap();
    let mut outcomes = Vec::new();
    for id in 0..160 {
        let path = PATHS[id % PATHS.len()];
        // Each request has a body of its own, so that none is quarantined.
        let answer = post(front, path, id, &id.to_string()).await;
        outcomes.push(status(&answer).to_owned());
        let reactions: Vec<Reaction> = seen
            .lock()
            .unwrap()
            .iter()
            .filter(|(seen, _)| *seen == id)
            .map(|(_, reaction)| *reaction)
            .collect();
        let runs = reactions.iter().filter(|one| **one != Reaction::Rejects);
        let runs = runs.count();
        let case = format!("{path} {id}: {reactions:?}, {answer}");
        if path.starts_with("/once/") || path.starts_with("/stream/") {
            assert!(runs <= 1, "{case}");
        }
        match status(&answer) {
            "200" => assert!(reactions.contains(&Reaction::Answers), "{case}"),
            "503" => assert_eq!(runs, 0, "{case}"),
            _ => assert!(runs > 0, "{case}"),
        }
    }
    for expected in ["200", "503", "502", "500"] {
        let count = outcomes.iter().filter(|one| *one == expected).count();
        assert!(count > 0, "no request was answered with {expected}");
    }
}

/// Guards against a quota that is charged by the node that receives a request
/// and again by the one that it is forwarded to.
#[tokio::test]
async fn a_forwarded_request_is_charged_once() {
    let network = Network::open_with(3, |_| ok("fine")).await;
    network.partition(1, Mode::Reset);
    let front = network.shared.nodes[0].front().unwrap();
    // The path is found to be lost by a request without a quota.
    assert_eq!(status(&post(front, "/again/x", 0, "x").await), "200");
    sleep(Duration::from_millis(500)).await;
    for id in 1..=QUOTA_BURST {
        let mut client = TcpStream::connect(front).await.unwrap();
        let request = format!(
            "POST /team/x HTTP/1.1\r\nHost: here\r\nKey: sesame\r\n\
             Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        client.write_all(request.as_bytes()).await.unwrap();
        let answer = read_answer(&mut client).await;
        assert_eq!(status(&answer), "200", "{id}: {answer}");
    }
    let runs = network.shared.nodes[0].metrics();
    let forwarded = "azuremount_forwarded_requests_total";
    let line = runs.lines().find(|line| line.starts_with(forwarded));
    let count: usize =
        line.unwrap().rsplit(' ').next().unwrap().parse().unwrap();
    assert!(count > QUOTA_BURST, "{count} requests were forwarded");
}
