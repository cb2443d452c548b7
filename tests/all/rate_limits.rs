//! Replicas that name the rate of requests that they take from all nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use azuremount::{
    decide::rate_limit::{Bucket, Change, Part, RateLimits, Statement, share},
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
    /// What it names, now.
    rate: Arc<Mutex<Option<f64>>>,
    _replica: Replica,
}

impl Limited {
    /// Names `rate` in each answer if there is one.
    async fn spawn(rate: Option<f64>) -> Limited {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let noted = arrivals.clone();
        let rate = Arc::new(Mutex::new(rate));
        let now = rate.clone();
        let replica = Replica::spawn(move |_| {
            noted.lock().unwrap().push(Instant::now());
            named(ok("fine"), *now.lock().unwrap())
        })
        .await;
        let address = replica.address;
        Limited { address, arrivals, rate, _replica: replica }
    }

    /// Panics if more have arrived in some window than the limit bears.
    fn check(&self) {
        let Some(rate) = *self.rate.lock().unwrap() else { return };
        let arrivals = self.arrivals.lock().unwrap();
        let Some(&first) = arrivals.first() else { return };
        let counted = arrivals.iter().filter(|at| **at >= first + CONTACT);
        let moments: Vec<u64> =
            counted.map(|at| (*at - first).as_millis() as u64).collect();
        let most = most_in_window(&moments);
        assert!(
            most as f64 <= allowed(rate),
            "takes {rate} a second: {most} came within 4 s"
        );
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

/// Guards against a replica that is spared for good, as nobody hears that it
/// takes any rate again.
#[tokio::test]
async fn a_limit_ends_when_answers_name_none() {
    let site = Site::open(3, 0).await;
    put(site.node(0), 1).await;
    site.all_serve().await;
    let nodes: Vec<node::Handle> = site.nodes().cloned().collect();
    let limited = Limited::spawn(Some(1.0)).await;
    let rate = limited.rate.clone();
    let ending = tokio::spawn(async move {
        sleep(ASKING / 2).await;
        *rate.lock().unwrap() = None;
    });
    let free = Limited::spawn(None).await;
    let replicas = [limited, free];
    let beating = beat(nodes.clone(), &replicas);
    sleep(BEAT).await;
    let (asked, failed) = ask_all(&nodes).await;
    beating.abort();
    ending.await.unwrap();
    assert_eq!(failed, 0, "of {asked} requests");
    // Half of two hundred and fifty, less those until its next answer.
    let count = replicas[0].count();
    assert!(count >= 50, "{count} came to it");
}

// ---- Without a network ------------------------------------------------------

/// What a replica may get in any window.
fn allowed(rate: f64) -> f64 {
    BORNE.0 * rate * WINDOW.as_secs_f64() + BORNE.1
}

/// The most moments, in ms, within one window.
fn most_in_window(moments: &[u64]) -> usize {
    let window = WINDOW.as_millis() as u64;
    let within = |(at, from): (usize, &u64)| {
        moments[at..].iter().take_while(|one| **one < from + window).count()
    };
    moments.iter().enumerate().map(within).max().unwrap_or(0)
}

fn statement(rate: Option<f32>, at: i64) -> Statement {
    Statement { replica: 7, rate, at }
}

/// Nodes with requests at any time, as each sees the others.
struct Play {
    rng: StdRng,
    nodes: Vec<Bucket>,
    /// Which nodes run, and since when that is so, if it is not from the start.
    runs: Vec<(bool, Option<u64>)>,
    limit: f32,
}

/// How late a node may see that another one starts or has ended, in ms.
const SEEN_MS: u64 = 1800;
/// How long a node that starts knows only some of the others, in ms.
const STARTS_MS: u64 = 600;

impl Play {
    fn open(nodes: usize, limit: f32, seed: u64) -> Play {
        let part = Part { replica: 7, limit, share: 0.0 };
        Play {
            rng: StdRng::seed_from_u64(seed),
            nodes: vec![Bucket::open(0, part); nodes],
            runs: vec![(true, None); nodes],
            limit,
        }
    }

    /// Whether a node takes another one to run.
    fn sees(&mut self, now: u64, at: usize, other: usize) -> bool {
        let starts = self.runs[at].1.is_some_and(|at| now < at + STARTS_MS);
        if starts && self.rng.random_bool(0.5) {
            return false;
        }
        let (runs, since) = self.runs[other];
        let late = self.rng.random_range(0..SEEN_MS);
        runs == since.is_none_or(|since| now >= since + late)
    }

    /// Each node finds its share by what it sees of the others.
    fn share(&mut self, now: u64) {
        for at in 0..self.nodes.len() {
            let seen: Vec<usize> = (0..self.nodes.len())
                .filter(|&other| other == at || self.sees(now, at, other))
                .collect();
            let rank = seen.iter().filter(|&&other| other < at).count();
            let share = match self.runs[at].0 {
                true => share(self.limit, rank, seen.len()),
                false => 0.0,
            };
            let part = Part { replica: 7, limit: self.limit, share };
            self.nodes[at].set(now, part);
        }
    }

    /// When requests arrive at the replica, in ms; `restarts` stops one node
    /// after the other, for a second each.
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

/// Guards against nodes whose shares add up to more than the limit, and
/// against limits of which a part is never used.
#[test]
fn shares_of_a_limit_add_up_to_it() {
    for limit in [0.1, 0.5, 1.0, 2.5, 8.0, 30.0] {
        for nodes in [1, 6, 11, 40] {
            let arrivals = Play::open(nodes, limit, 1).run(60_000, false);
            let most = most_in_window(&arrivals) as f64;
            let named = format!("{limit} a second, {nodes} nodes");
            assert!(most <= allowed(limit.into()), "{named}: {most} in 4 s");
            let used = arrivals.len() as f32 / 60.0 / limit;
            assert!((0.8..=1.1).contains(&used), "{named}: used {used}");
        }
    }
}

/// Guards against a limit that is exceeded while nodes restart in turn, as
/// each learns late that another one has left or is back.
#[test]
fn a_limit_holds_while_nodes_restart_in_turn() {
    for limit in [0.1, 1.0, 2.5, 8.0, 30.0] {
        for nodes in [6, 11, 40] {
            for seed in 1..=10 {
                let mut play = Play::open(nodes, limit, seed);
                let most = most_in_window(&play.run(60_000, true)) as f64;
                let named = format!("{limit}, {nodes} nodes, seed {seed}");
                assert!(most <= allowed(limit.into()), "{named}: {most}");
            }
        }
    }
}

/// Guards against an answer that was written before a replica named its limit,
/// comes after it, and is taken to end it.
#[test]
fn answers_that_overtake_each_other_end_no_limit() {
    let mut limits = RateLimits::default();
    let named = limits.note(100, statement(Some(2.0), 100));
    assert_eq!(named, Some(Change { before: None }));
    // Sent before the limit was named, answered after it without one.
    assert_eq!(limits.note(110, statement(None, 90)), None);
    assert_eq!(limits.rate(7), Some(2.0));
    // Old word from another node.
    assert_eq!(limits.note(120, statement(Some(9.0), 80)), None);
    assert_eq!(limits.rate(7), Some(2.0));
    let ended = limits.note(200, statement(None, 150));
    assert_eq!(ended, Some(Change { before: Some(2.0) }));
    assert_eq!(limits.rate(7), None);
    // Word of the limit from before goes round a while longer.
    assert_eq!(limits.note(210, statement(Some(2.0), 140)), None);
    assert!(limits.is_empty());
}

/// Guards against a limit that is forgotten while its replica still has it, and
/// against memory that grows with replicas that are gone.
#[test]
fn limits_are_kept_as_long_as_their_replicas() {
    let mut limits = RateLimits::default();
    limits.note(0, statement(Some(0.1), 0));
    limits.expire(3_600_000, |_| true);
    assert_eq!(limits.rate(7), Some(0.1));
    limits.expire(3_600_000, |_| false);
    assert!(limits.is_empty() && limits.statements().next().is_none());
}

/// Guards against a replica that takes nothing, and whose nodes so never hear
/// that it takes more again.
#[test]
fn a_limit_of_nothing_is_tried_now_and_then() {
    let arrivals = Play::open(11, 0.0, 1).run(60_000, false);
    assert!((4..=7).contains(&arrivals.len()), "{}", arrivals.len());
}

/// Guards against word of limits that many replicas crowd out of datagrams.
#[test]
fn all_limits_are_told_in_turn() {
    let mut limits = RateLimits::default();
    for replica in 0..100 {
        let one = Statement { replica, rate: Some(1.0), at: 0 };
        limits.note(0, one);
    }
    let mut told: Vec<u64> = (0..4)
        .flat_map(|_| limits.tell(10_000))
        .map(|one| one.replica)
        .collect();
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 100);
}
