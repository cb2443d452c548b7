//! Tests rate limits that replicas announce for all nodes together.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use azuremount::{
    decide::rate_limit::{
        Allocation, Bucket, Change, Observation, RateLimits, share,
    },
    node,
    wire::Sighting,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{Instant, interval, sleep, sleep_until},
};

use crate::{
    nodes::Site,
    world::{Replica, TestNode, apply_plan, ok, post, sighting, status},
};

/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two requests, over all callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// Time after the first announcement of a limit from which all nodes have to
/// comply with it.
const COMPLIANCE_DELAY: Duration = Duration::from_secs(3);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Tolerated excess in a window: a factor on what the limit allows, and a
/// number of additional requests.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// A replica that records when requests arrive.
struct Limited {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Rate that the replica currently announces.
    rate: Arc<Mutex<Option<f64>>>,
    _replica: Replica,
}

impl Limited {
    /// Spawns a replica that announces `rate` in each answer, if there is one.
    async fn spawn(rate: Option<f64>) -> Limited {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recorded = arrivals.clone();
        let rate = Arc::new(Mutex::new(rate));
        let current = rate.clone();
        let replica = Replica::spawn(move |_| {
            recorded.lock().unwrap().push(Instant::now());
            with_limit(ok("fine"), *current.lock().unwrap())
        })
        .await;
        let address = replica.address;
        Limited { address, arrivals, rate, _replica: replica }
    }

    /// Panics if more requests have arrived in some window than the limit and
    /// its tolerance allow.
    fn check(&self) {
        let Some(rate) = *self.rate.lock().unwrap() else { return };
        let arrivals = self.arrivals.lock().unwrap();
        let Some(&first) = arrivals.first() else { return };
        let counted =
            arrivals.iter().filter(|at| **at >= first + COMPLIANCE_DELAY);
        let moments: Vec<u64> =
            counted.map(|at| (*at - first).as_millis() as u64).collect();
        let most = max_in_window(&moments);
        assert!(
            most as f64 <= max_allowed(rate),
            "limit of {rate} a second: {most} requests within 4 s"
        );
    }

    /// Returns the number of requests that have arrived.
    fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }
}

fn with_limit(answer: Vec<String>, rate: Option<f64>) -> Vec<String> {
    let Some(rate) = rate else { return answer };
    let header = format!("Limit: {rate}\r\nContent-Length");
    let name = |piece: String| piece.replace("Content-Length", &header);
    answer.into_iter().map(name).collect()
}

/// Sends heartbeats for the replicas to all nodes until the task is aborted.
fn spawn_heartbeats(
    nodes: Vec<node::Handle>,
    replicas: &[Limited],
) -> JoinHandle<()> {
    let sightings: Vec<Sighting> = replicas
        .iter()
        .enumerate()
        .map(|(at, replica)| sighting(&format!("r{at}"), replica.address, 0))
        .collect();
    tokio::spawn(async move {
        for sequence in 1.. {
            for sighting in &sightings {
                for node in &nodes {
                    node.apply_heartbeat(Sighting {
                        sequence,
                        ..sighting.clone()
                    });
                }
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    })
}

/// Sends requests to one node after the other. Returns the number of requests,
/// and how many were not answered with status 200.
async fn send_requests(nodes: &[node::Handle]) -> (usize, usize) {
    let addresses: Vec<SocketAddr> =
        nodes.iter().map(|node| node.front().unwrap()).collect();
    let mut requests = JoinSet::new();
    let end = Instant::now() + LOAD_DURATION;
    let mut ticks = interval(REQUEST_INTERVAL);
    for id in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let address = addresses[id % addresses.len()];
        requests.spawn(async move {
            let answer = post(address, "/once/x", id, "").await;
            status(&answer) == "200"
        });
    }
    let answers = requests.join_all().await;
    let failed = answers.iter().filter(|is_ok| !**is_ok).count();
    (answers.len(), failed)
}

/// Sends requests to replicas that announce these rates, and checks the
/// replicas.
async fn check_load(
    nodes: &[node::Handle],
    rates: &[Option<f64>],
) -> Vec<Limited> {
    let mut replicas = Vec::new();
    for rate in rates {
        replicas.push(Limited::spawn(*rate).await);
    }
    let heartbeats = spawn_heartbeats(nodes.to_vec(), &replicas);
    sleep_until(Instant::now() + HEARTBEAT_INTERVAL).await;
    let (asked, failed) = send_requests(nodes).await;
    heartbeats.abort();
    assert_eq!(
        failed, 0,
        "of {asked} requests failed although other replicas were free"
    );
    replicas.iter().for_each(Limited::check);
    replicas
}

/// Guards against one node that sends a replica more than the announced rate.
#[tokio::test]
async fn a_node_complies_with_the_rate_of_a_replica() {
    let world = TestNode::open(&[]).await;
    check_load(std::slice::from_ref(&world.node), &[Some(2.0), None]).await;
}

/// Guards against nodes that each comply with the announced rate, but together
/// send several times as much.
#[tokio::test]
async fn all_nodes_together_comply_with_the_rate_of_a_replica() {
    let site = Site::open(3, 3).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    let nodes: Vec<node::Handle> = site.nodes().cloned().collect();
    let rates = [Some(1.0), Some(1.0), Some(8.0), None, None, None];
    let replicas = check_load(&nodes, &rates).await;
    // The nodes make use of what the replicas accept.
    assert!(replicas[2].count() >= 30, "{}", replicas[2].count());
}

/// Guards against a replica that stays limited for good because no node learns
/// that the limit has ended.
#[tokio::test]
async fn a_limit_ends_when_answers_announce_none() {
    let site = Site::open(3, 0).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    let nodes: Vec<node::Handle> = site.nodes().cloned().collect();
    let limited = Limited::spawn(Some(1.0)).await;
    let rate = limited.rate.clone();
    let lifting = tokio::spawn(async move {
        sleep(LOAD_DURATION / 2).await;
        *rate.lock().unwrap() = None;
    });
    let free = Limited::spawn(None).await;
    let replicas = [limited, free];
    let heartbeats = spawn_heartbeats(nodes.clone(), &replicas);
    sleep(HEARTBEAT_INTERVAL).await;
    let (asked, failed) = send_requests(&nodes).await;
    heartbeats.abort();
    lifting.await.unwrap();
    assert_eq!(failed, 0, "of {asked} requests failed");
    // Half of the 250 requests that the replica would get, less those until
    // its next answer.
    let count = replicas[0].count();
    assert!(count >= 50, "{count} requests arrived");
}

// ---- Without a network ------------------------------------------------------

/// Returns the number of requests that a replica may get in any window.
fn max_allowed(rate: f64) -> f64 {
    TOLERANCE.0 * rate * WINDOW.as_secs_f64() + TOLERANCE.1
}

/// Returns the maximum number of the times, in ms, within one window.
fn max_in_window(moments: &[u64]) -> usize {
    let window = WINDOW.as_millis() as u64;
    let count = |(at, from): (usize, &u64)| {
        moments[at..].iter().take_while(|time| **time < from + window).count()
    };
    moments.iter().enumerate().map(count).max().unwrap_or(0)
}

fn observation(rate: Option<f32>, at: i64) -> Observation {
    Observation { replica: 7, rate, at }
}

/// Nodes that always have requests to send, and what each knows of the others.
struct Simulation {
    rng: StdRng,
    nodes: Vec<Bucket>,
    /// Whether each node runs, and the time in ms since when, unless from the
    /// start.
    runs: Vec<(bool, Option<u64>)>,
    limit: f32,
}

/// Maximum delay until a node learns that another one has started or stopped,
/// in ms.
const MAX_DETECTION_MS: u64 = 1800;
/// Time for which a node that starts knows only some of the other nodes, in
/// ms.
const STARTUP_MS: u64 = 600;

impl Simulation {
    fn open(nodes: usize, limit: f32, seed: u64) -> Simulation {
        let allocation = Allocation { replica: 7, limit, share: 0.0 };
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            nodes: vec![Bucket::open(0, allocation); nodes],
            runs: vec![(true, None); nodes],
            limit,
        }
    }

    /// Returns whether a node believes that another one runs.
    fn believes_running(&mut self, now: u64, at: usize, other: usize) -> bool {
        let starts = self.runs[at].1.is_some_and(|at| now < at + STARTUP_MS);
        if starts && self.rng.random_bool(0.5) {
            return false;
        }
        let (runs, since) = self.runs[other];
        let late = self.rng.random_range(0..MAX_DETECTION_MS);
        runs == since.is_none_or(|since| now >= since + late)
    }

    /// Sets the share of each node by what it knows of the others.
    fn share(&mut self, now: u64) {
        for at in 0..self.nodes.len() {
            let seen: Vec<usize> = (0..self.nodes.len())
                .filter(|&other| {
                    other == at || self.believes_running(now, at, other)
                })
                .collect();
            let rank = seen.iter().filter(|&&other| other < at).count();
            let share = match self.runs[at].0 {
                true => share(self.limit, rank, seen.len()),
                false => 0.0,
            };
            let allocation =
                Allocation { replica: 7, limit: self.limit, share };
            self.nodes[at].set(now, allocation);
        }
    }

    /// Returns the times at which requests arrive at the replica, in ms. With
    /// `restarts`, one node after the other stops for a second.
    fn run(&mut self, length_ms: u64, restarts: bool) -> Vec<u64> {
        let mut arrivals = Vec::new();
        for now in (0..length_ms).step_by(10) {
            if restarts && now % 3000 < 10 {
                let at = (now / 3000) as usize % self.nodes.len();
                self.runs[at] = (false, Some(now));
            }
            for (runs, since) in &mut self.runs {
                if !*runs && since.is_some_and(|since| now >= since + 1000) {
                    (*runs, *since) = (true, Some(now));
                }
            }
            if now % 300 == 0 {
                self.share(now);
            }
            for bucket in &mut self.nodes {
                while bucket.has_room(now) {
                    bucket.take(now);
                    arrivals.push(now);
                }
            }
        }
        arrivals
    }
}

/// Guards against shares that add up to more than the limit, and against
/// limits of which a part is never used.
#[test]
fn shares_of_a_limit_add_up_to_it() {
    for limit in [0.1, 0.5, 1.0, 2.5, 8.0, 30.0] {
        for nodes in [1, 6, 11, 40] {
            let arrivals =
                Simulation::open(nodes, limit, 1).run(60_000, false);
            let most = max_in_window(&arrivals) as f64;
            let case = format!("{limit} a second, {nodes} nodes");
            assert!(
                most <= max_allowed(limit.into()),
                "{case}: {most} in 4 s"
            );
            let used = arrivals.len() as f32 / 60.0 / limit;
            assert!((0.8..=1.1).contains(&used), "{case}: used {used}");
        }
    }
}

/// Guards against a limit that is exceeded while nodes restart in turn,
/// because each node learns late that another one has left or is back.
#[test]
fn a_limit_holds_while_nodes_restart_in_turn() {
    for limit in [0.1, 1.0, 2.5, 8.0, 30.0] {
        for nodes in [6, 11, 40] {
            for seed in 1..=10 {
                let mut simulation = Simulation::open(nodes, limit, seed);
                let most = max_in_window(&simulation.run(60_000, true)) as f64;
                let case = format!("{limit}, {nodes} nodes, seed {seed}");
                assert!(most <= max_allowed(limit.into()), "{case}: {most}");
            }
        }
    }
}

/// Guards against lifting a limit because of an answer that the replica wrote
/// before announcing the limit, and that arrives after it.
#[test]
fn answers_that_overtake_each_other_do_not_lift_a_limit() {
    let mut limits = RateLimits::default();
    let announced = limits.record(100, observation(Some(2.0), 100));
    assert_eq!(announced, Some(Change { before: None }));
    // The request was sent before the limit was announced, and answered after
    // it without a limit.
    assert_eq!(limits.record(110, observation(None, 90)), None);
    assert_eq!(limits.rate(7), Some(2.0));
    // An outdated report from another node.
    assert_eq!(limits.record(120, observation(Some(9.0), 80)), None);
    assert_eq!(limits.rate(7), Some(2.0));
    let ended = limits.record(200, observation(None, 150));
    assert_eq!(ended, Some(Change { before: Some(2.0) }));
    assert_eq!(limits.rate(7), None);
    // Reports of the earlier limit circulate a while longer.
    assert_eq!(limits.record(210, observation(Some(2.0), 140)), None);
    assert!(limits.is_empty());
}

/// Guards against a limit that expires while its replica still has it, and
/// against memory that grows with replicas that are gone.
#[test]
fn limits_are_kept_as_long_as_their_replicas() {
    let mut limits = RateLimits::default();
    limits.record(0, observation(Some(0.1), 0));
    limits.expire(3_600_000, |_| true);
    assert_eq!(limits.rate(7), Some(0.1));
    limits.expire(3_600_000, |_| false);
    assert!(limits.is_empty() && limits.observations().next().is_none());
}

/// Guards against a replica that accepts no requests, so that its nodes never
/// learn that it accepts more again.
#[test]
fn a_limit_of_zero_is_probed_from_time_to_time() {
    let arrivals = Simulation::open(11, 0.0, 1).run(60_000, false);
    assert!((4..=7).contains(&arrivals.len()), "{}", arrivals.len());
}

/// Guards against limits that are never reported because those of many other
/// replicas fill the datagrams.
#[test]
fn all_limits_are_reported_in_turn() {
    let mut limits = RateLimits::default();
    for replica in 0..100 {
        let observation = Observation { replica, rate: Some(1.0), at: 0 };
        limits.record(0, observation);
    }
    let mut reported: Vec<u64> = (0..4)
        .flat_map(|_| limits.take_reports(10_000))
        .map(|observation| observation.replica)
        .collect();
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), 100);
}
