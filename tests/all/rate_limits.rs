//! Replicas that name the rate of requests that they take from all nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use azuremount::{node, wire::Sighting};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{Instant, interval, sleep, sleep_until},
};

use crate::{
    nodes::Site,
    world::{Replica, World, ask, ok, put, sighting, status},
};

/// Between two heartbeats of a replica.
const BEAT: Duration = Duration::from_millis(300);
/// Between two requests of all callers.
const PAUSE: Duration = Duration::from_millis(20);
/// How long callers ask.
const ASKING: Duration = Duration::from_secs(10);
/// How soon all nodes have to keep to a limit after it was first named.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests are counted over so long.
const WINDOW: Duration = Duration::from_secs(4);
/// Of what a limit allows in a window, so much is borne, and so many requests
/// besides.
const BORNE: (f64, f64) = (1.5, 5.0);

/// A replica that notes when requests arrive.
struct Limited {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    rate: Option<f64>,
    _replica: Replica,
}

impl Limited {
    /// Names `rate` in each answer if there is one.
    async fn spawn(rate: Option<f64>) -> Limited {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let noted = arrivals.clone();
        let replica = Replica::spawn(move |_| {
            noted.lock().unwrap().push(Instant::now());
            named(ok("fine"), rate)
        })
        .await;
        let address = replica.address;
        Limited { address, arrivals, rate, _replica: replica }
    }

    /// Panics if more have arrived in some window than the limit bears.
    fn check(&self) {
        let Some(rate) = self.rate else { return };
        let allowed = BORNE.0 * rate * WINDOW.as_secs_f64() + BORNE.1;
        let arrivals = self.arrivals.lock().unwrap();
        let Some(&first) = arrivals.first() else { return };
        let counted: Vec<Instant> = arrivals
            .iter()
            .copied()
            .filter(|at| *at >= first + CONTACT)
            .collect();
        for (number, from) in counted.iter().enumerate() {
            let later = counted[number..].iter();
            let within = later.take_while(|at| **at < *from + WINDOW);
            let count = within.count();
            assert!(
                count as f64 <= allowed,
                "takes {rate} a second: {count} came within 4 s"
            );
        }
    }

    /// Requests that have arrived.
    fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }
}

fn named(answer: Vec<String>, rate: Option<f64>) -> Vec<String> {
    let Some(rate) = rate else { return answer };
    let header = format!("Limit: {rate}\r\nContent-Length");
    let name = |piece: String| piece.replace("Content-Length", &header);
    answer.into_iter().map(name).collect()
}

/// Speaks for the replicas to all nodes, until it is aborted.
fn beat(nodes: Vec<node::Handle>, replicas: &[Limited]) -> JoinHandle<()> {
    let says: Vec<Sighting> = replicas
        .iter()
        .enumerate()
        .map(|(at, one)| sighting(&format!("r{at}"), one.address, 0))
        .collect();
    tokio::spawn(async move {
        for sequence in 1.. {
            for says in &says {
                for node in &nodes {
                    node.sight(Sighting { sequence, ..says.clone() });
                }
            }
            sleep(BEAT).await;
        }
    })
}

/// Callers ask one node after the other; how many were not answered with 200.
async fn ask_all(nodes: &[node::Handle]) -> (usize, usize) {
    let fronts: Vec<SocketAddr> =
        nodes.iter().map(|node| node.front().unwrap()).collect();
    let mut asked = JoinSet::new();
    let end = Instant::now() + ASKING;
    let mut pause = interval(PAUSE);
    for id in 0.. {
        pause.tick().await;
        if Instant::now() >= end {
            break;
        }
        let front = fronts[id % fronts.len()];
        asked.spawn(async move {
            let answer = ask(front, "/once/x", id, "").await;
            status(&answer) == "200"
        });
    }
    let answers = asked.join_all().await;
    let failed = answers.iter().filter(|is_well| !**is_well).count();
    (answers.len(), failed)
}

/// Plays callers against replicas that name these rates, and checks them.
async fn play(nodes: &[node::Handle], rates: &[Option<f64>]) -> Vec<Limited> {
    let mut replicas = Vec::new();
    for rate in rates {
        replicas.push(Limited::spawn(*rate).await);
    }
    let beating = beat(nodes.to_vec(), &replicas);
    sleep_until(Instant::now() + BEAT).await;
    let (asked, failed) = ask_all(nodes).await;
    beating.abort();
    assert_eq!(failed, 0, "of {asked} requests, as others were free");
    replicas.iter().for_each(Limited::check);
    replicas
}

/// Guards against one node that sends a replica more than the rate it names.
#[tokio::test]
async fn a_node_keeps_to_the_rate_that_a_replica_names() {
    let world = World::open(&[]).await;
    play(std::slice::from_ref(&world.node), &[Some(2.0), None]).await;
}

/// Guards against nodes that each keep to the rate that a replica names, and
/// so send it several times as much together.
#[tokio::test]
async fn all_nodes_together_keep_to_the_rate_that_a_replica_names() {
    let site = Site::open(3, 3).await;
    put(site.node(0), 1).await;
    site.all_serve().await;
    let nodes: Vec<node::Handle> = site.nodes().cloned().collect();
    let rates = [Some(1.0), Some(1.0), Some(8.0), None, None, None];
    let replicas = play(&nodes, &rates).await;
    // What they take is made use of.
    assert!(replicas[2].count() >= 30, "{}", replicas[2].count());
}
