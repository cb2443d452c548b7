//! Tests of the bound on retries over all nodes: in virtual time, and with
//! real nodes whose replicas reject requests.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use azuremount::{
    decide::retry::{Bound, Peak, Window},
    wire::Sighting,
};
use futures_util::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    nodes::Site,
    partition::{Mode, Network},
    world::{
        Replica, TEST_TIMEOUT, TestNode, WAIT, apply_plan, full, ok, post,
        sighting, status,
    },
};

// ---- Virtual time ----------------------------------------------------------

const BOUND: Bound = Bound { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
/// Number of entries of a play, if nothing else is said.
const ENTRIES: usize = 10;
/// Duration of a play, in ms.
const PLAY_MS: u64 = 60_000;
/// Interval between two windows that are checked, in ms.
const CHECK_INTERVAL_MS: u64 = 20;
/// Requests a second at all entries together.
const REQUESTS_PER_S: f64 = 60.0;

/// Entries that retry as much as their budgets allow.
struct Play {
    rng: StdRng,
    windows: Vec<Window>,
    /// Number of entries that share the slack.
    entries: usize,
    first_attempts: Vec<u64>,
    retries: Vec<u64>,
}

impl Play {
    fn open(seed: u64, entries: usize) -> Play {
        let mut play = Play {
            rng: StdRng::seed_from_u64(seed),
            windows: Vec::new(),
            entries,
            first_attempts: Vec::new(),
            retries: Vec::new(),
        };
        play.windows = (0..entries).map(|_| play.open_window(None)).collect();
        play
    }

    fn open_window(&mut self, began: Option<u64>) -> Window {
        Window::open(BOUND, began, self.rng.random_range(0.0..1.0))
    }

    /// Begins a new life of an entry.
    fn restart(&mut self, now: u64, at: usize) {
        self.windows[at] = self.open_window(Some(now));
    }

    /// Sends first attempts at an average rate to random entries.
    fn send(&mut self, now: u64, entries: std::ops::Range<usize>, per_s: f64) {
        if self.rng.random_bool(per_s / 1000.0) {
            let at = self.rng.random_range(entries);
            self.windows[at].record_first_attempt(now);
            self.first_attempts.push(now);
        }
    }

    /// Asks each entry for as many retries as it allows, `most` at most.
    fn retry(&mut self, now: u64, most: usize) {
        for window in &mut self.windows {
            let granted = (0..most)
                .take_while(|_| {
                    window.try_retry(now, Some(self.entries)).is_granted
                })
                .count();
            self.retries.extend(std::iter::repeat_n(now, granted));
        }
    }

    /// Returns the most retries in one window, as a share of the bound.
    fn worst(&self) -> f64 {
        let window_ms = BOUND.window_ms as i64;
        let count = |times: &[u64], from: i64| {
            let at = |time: i64| {
                times.partition_point(|sent| (*sent as i64) < time)
            };
            (at(from + window_ms) - at(from)) as f64
        };
        let last = PLAY_MS as i64;
        (0..last)
            .step_by(CHECK_INTERVAL_MS as usize)
            .map(|from| {
                let requests = [0, window_ms / 2, window_ms]
                    .map(|before| count(&self.first_attempts, from - before))
                    .into_iter()
                    .fold(0.0, f64::max);
                let allowed =
                    f64::from(BOUND.ratio) * requests + f64::from(BOUND.slack);
                count(&self.retries, from) / allowed
            })
            .fold(0.0, f64::max)
    }

    fn check(&self, case: &str) {
        let worst = self.worst();
        assert!(worst <= 1.0, "{worst:.2} of the bound: {case}");
    }
}

/// Guards against an entry that starts again and has a whole budget, although
/// the retries of its former process still count.
#[test]
fn retries_stay_within_their_bound_when_entries_restart() {
    for seed in 0..10 {
        for (restarted, interval_ms) in
            [(1, 1000), (3, 3000), (10, 3000), (10, 9000), (10, 27_000)]
        {
            let mut play = Play::open(seed, ENTRIES);
            for now in 0..PLAY_MS {
                if now % interval_ms == interval_ms - 1 {
                    let first = play.rng.random_range(0..ENTRIES);
                    for at in first..first + restarted {
                        play.restart(now, at % ENTRIES);
                    }
                }
                play.send(now, 0..ENTRIES, REQUESTS_PER_S);
                play.retry(now, 1);
            }
            play.check(&format!(
                "{restarted} restart each {interval_ms} ms, seed {seed}"
            ));
        }
    }
}

/// Guards against a window that drops retries before it has passed, so that
/// two bursts at its ends may both use the whole budget.
#[test]
fn retries_stay_within_their_bound_in_bursts() {
    for seed in 0..10 {
        for interval_ms in [4900, 9100, 9900, 10_010, 14_900] {
            let mut play = Play::open(seed, ENTRIES);
            for now in 0..PLAY_MS {
                play.send(now, 0..ENTRIES, REQUESTS_PER_S);
                if now % interval_ms < 10 {
                    play.retry(now, 100);
                }
            }
            play.check(&format!("a burst each {interval_ms} ms, seed {seed}"));
        }
    }
}

/// Guards against two entries that both use the ratio of the same requests,
/// as these move from one to the other.
#[test]
fn retries_stay_within_their_bound_while_requests_move() {
    for seed in 0..10 {
        for interval_ms in [1000, 4000, 9000, 11_000] {
            let mut play = Play::open(seed, ENTRIES);
            for now in 0..PLAY_MS {
                let half = ENTRIES / 2;
                let busy = match now / interval_ms % 2 {
                    0 => 0..half,
                    _ => half..ENTRIES,
                };
                // Peaks come at either side of a window.
                let peak = if now % 7000 < 800 { 4.0 } else { 1.0 };
                play.send(now, busy, REQUESTS_PER_S * peak);
                if now % 2300 < 900 {
                    play.retry(now, 2);
                }
            }
            play.check(&format!("moved each {interval_ms} ms, seed {seed}"));
        }
    }
}

/// Guards against a process that drains and its successor that both use the
/// budget of their entry.
#[test]
fn retries_stay_within_their_bound_beside_draining_processes() {
    const DRAIN_MS: u64 = 8000;
    for seed in 0..10 {
        let mut play = Play::open(seed, ENTRIES);
        let mut draining: Vec<(u64, Window)> = Vec::new();
        for now in 0..PLAY_MS {
            if now % 1500 == 1499 {
                let at = (now / 1500) as usize % ENTRIES;
                let successor = play.open_window(Some(now));
                let former =
                    std::mem::replace(&mut play.windows[at], successor);
                draining.push((now + DRAIN_MS, former));
            }
            play.send(now, 0..ENTRIES, REQUESTS_PER_S);
            play.retry(now, 1);
            draining.retain(|(until, _)| now < *until);
            for (_, window) in &mut draining {
                // A node that drains has no share of the slack.
                if window.try_retry(now, None).is_granted {
                    play.retries.push(now);
                }
            }
        }
        play.check(&format!("seed {seed}"));
    }
}

/// Guards against shares of the slack that add up to more than the whole
/// while entries join, leave, or hear only a part of the others.
#[test]
fn retries_stay_within_their_bound_as_the_number_of_entries_changes() {
    /// Time after which entries know of a change, in ms.
    const DELAY_MS: u64 = 1000;
    for seed in 0..10 {
        let mut play = Play::open(seed, 0);
        let mut peaks: Vec<Peak> = Vec::new();
        let count_at = |now: u64| match now {
            0..12_000 => 5,
            12_000..25_000 => 20,
            25_000..38_000 => 4,
            _ => 10,
        };
        for now in 0..PLAY_MS {
            let count = count_at(now);
            let first = play.windows.len().min(count);
            for _ in first..count {
                let window = play.open_window((now > 0).then_some(now));
                play.windows.push(window);
                // Others report the number that they know of.
                let mut peak = Peak::default();
                peak.record(now, count_at(now.saturating_sub(DELAY_MS)));
                peaks.push(peak);
            }
            play.windows.truncate(count);
            peaks.truncate(count);
            // From 45 s on, each side hears one half.
            let known = match now < 45_000 {
                true => count_at(now.saturating_sub(DELAY_MS)),
                false => count / 2,
            };
            play.send(now, 0..count, REQUESTS_PER_S);
            for (window, peak) in play.windows.iter_mut().zip(&mut peaks) {
                if now % 300 == 0 {
                    peak.record(now, known);
                }
                let entries = Some(peak.highest(now));
                if window.try_retry(now, entries).is_granted {
                    play.retries.push(now);
                }
            }
        }
        play.check(&format!("seed {seed}"));
    }
}

/// Guards against a bound that is kept by denying retries that it allows.
#[test]
fn most_of_the_allowed_retries_are_granted() {
    for (entries, per_s) in [(1, 60.0), (10, 60.0), (32, 300.0), (64, 900.0)] {
        let mut play = Play::open(1, entries);
        for now in 0..PLAY_MS {
            play.send(now, 0..entries, per_s);
            play.retry(now, 1);
        }
        let requests = play.first_attempts.len() as f64;
        let windows = PLAY_MS as f64 / BOUND.window_ms as f64;
        let allowed = f64::from(BOUND.ratio) * requests
            + f64::from(BOUND.slack) * windows;
        let share = play.retries.len() as f64 / allowed;
        println!("{entries} entries, {per_s} a second: {share:.2} granted");
        assert!(share >= 0.8, "{entries} entries: {share:.2} granted");
        play.check(&format!("{entries} entries"));
    }
}

/// Guards against many entries that never earn a whole retry, as they have
/// few requests each and start again all the time.
#[test]
fn many_entries_that_restart_still_retry() {
    const MANY: usize = 70;
    for seed in 0..10 {
        let mut play = Play::open(seed, MANY);
        for now in 0..PLAY_MS {
            if now % 5000 == 4999 {
                (0..MANY).for_each(|at| play.restart(now, at));
            }
            play.send(now, 0..MANY, REQUESTS_PER_S);
            play.retry(now, 1);
        }
        let since = play.retries.iter().filter(|at| **at > 5000).count();
        let earned = f64::from(BOUND.ratio) * play.first_attempts.len() as f64;
        assert!(since as f64 > earned / 2.0, "{since} of {earned} retries");
        play.check(&format!("seed {seed}"));
    }
}

// ---- Real nodes ------------------------------------------------------------

/// Number of nodes.
const NODES: usize = 4;
/// Number of replicas.
const REPLICAS: usize = 4;
/// Interval between two requests of the test.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two restarts of all nodes.
const RESTART_INTERVAL: Duration = Duration::from_millis(2000);
/// Number of restarts of all nodes.
const RESTARTS: usize = 4;
/// The bound of the test nodes.
const RATIO: f64 = 0.2;
const SLACK: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Replicas that reject a part of all requests.
struct Rejecting {
    addresses: Vec<SocketAddr>,
    /// Times and ids of all requests that arrived.
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    heartbeats: u64,
    _replicas: Vec<Replica>,
}

impl Rejecting {
    async fn spawn(seed: u64, part: f64) -> Rejecting {
        let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
        let mut replicas = Vec::new();
        for _ in 0..REPLICAS {
            let (arrivals, rng) = (arrivals.clone(), rng.clone());
            let respond = move |head: &str| {
                let id =
                    head.lines().find_map(|line| line.strip_prefix("id: "));
                let id = id.unwrap_or("").to_owned();
                arrivals.lock().unwrap().push((Instant::now(), id));
                match rng.lock().unwrap().random_bool(part) {
                    true => full(),
                    false => ok("fine"),
                }
            };
            replicas.push(Replica::spawn(respond).await);
        }
        let addresses =
            replicas.iter().map(|replica| replica.address).collect();
        Rejecting { addresses, arrivals, heartbeats: 0, _replicas: replicas }
    }

    /// Sends a heartbeat of each replica to all nodes.
    fn send_heartbeats(&mut self, site: &Site) {
        self.heartbeats += 1;
        for (at, address) in self.addresses.iter().enumerate() {
            let says = Sighting {
                sequence: self.heartbeats,
                ..sighting(&format!("r{at}"), *address, 0)
            };
            site.nodes().for_each(|node| node.apply_heartbeat(says.clone()));
        }
    }

    /// Returns the number of arrivals beyond the first of each request in the
    /// window that begins with the first one.
    fn repeats(&self) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let end = arrivals[0].0 + WINDOW;
        let mut ids: Vec<&str> = arrivals
            .iter()
            .filter(|(at, _)| *at < end)
            .map(|(_, id)| id.as_str())
            .collect();
        let count = ids.len();
        ids.sort_unstable();
        ids.dedup();
        count - ids.len()
    }
}

/// Guards against nodes that have a whole retry budget after each restart.
#[tokio::test]
async fn restarted_nodes_keep_the_bound_on_retries_together() {
    let mut replicas = Rejecting::spawn(5, 0.6).await;
    let mut site = Site::open(3, NODES - 3).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    replicas.send_heartbeats(&site);
    let began = Instant::now();
    let mut id = 0;
    for restart in 0..=RESTARTS as u32 {
        if restart > 0 {
            for at in 0..NODES {
                site.stop(at).await;
            }
            for at in 0..NODES {
                site.start(at, false).await;
            }
            site.wait_until_all_serve().await;
        }
        while began.elapsed() < RESTART_INTERVAL * restart {
            replicas.send_heartbeats(&site);
            let front = site.node(id % NODES).front().unwrap();
            tokio::spawn(async move {
                post(front, "/again/x", id, &id.to_string()).await
            });
            id += 1;
            sleep(REQUEST_INTERVAL).await;
        }
    }
    let repeats = replicas.repeats();
    let allowed = RATIO * id as f64 + SLACK;
    assert!(
        repeats as f64 <= allowed,
        "{repeats} retries for {id} requests, {allowed} allowed"
    );
}

/// Returns the number of retries that are charged to a node.
fn charged(metrics: &str) -> usize {
    let count = |outcome: &str| -> usize {
        let label = format!("outcome=\"{outcome}\"");
        metrics
            .lines()
            .filter(|line| line.starts_with("azuremount_retries_total"))
            .filter(|line| line.contains(&label))
            .map(|line| line.rsplit(' ').next().unwrap())
            .map(|count| count.parse::<usize>().unwrap())
            .sum()
    };
    count("granted") - count("returned")
}

/// Guards against a retry that is charged although there is no replica to
/// send it to.
#[tokio::test]
async fn a_retry_without_a_replica_is_not_charged() {
    let replica = Replica::spawn(|_| full()).await;
    let node = TestNode::open(&[("r0", replica.address)]).await;
    for id in 0..5 {
        let answer = post(node.front, "/again/x", id, "x").await;
        assert_eq!(status(&answer), "503", "{answer}");
    }
    assert_eq!(charged(&node.node.metrics()), 0);
}

/// Guards against a first arrival that is charged as a retry, as the node did
/// not reach the replica that it chose first.
#[tokio::test]
async fn attempts_that_reach_no_replica_are_not_charged() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let closed: Vec<SocketAddr> = {
        let bind = || std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners = [bind(), bind()];
        listeners.map(|listener| listener.local_addr().unwrap()).into()
    };
    let node = TestNode::open(&[
        ("r0", closed[0]),
        ("r1", closed[1]),
        ("r2", replica.address),
    ])
    .await;
    for id in 0..20 {
        let answer = post(node.front, "/again/x", id, &id.to_string()).await;
        assert_eq!(status(&answer), "200", "{answer}");
    }
    assert_eq!(charged(&node.node.metrics()), 0);
}

/// Guards against a retry that is charged to no node or to two, where requests
/// go through another node.
#[tokio::test]
async fn each_retry_through_another_node_is_charged_once() {
    let arrivals: Arc<Mutex<Vec<String>>> = Arc::default();
    let rejects = Arc::new(AtomicBool::new(false));
    let (record, is_rejecting) = (arrivals.clone(), rejects.clone());
    let network = Network::open_with_versions(
        3,
        |_| "v1",
        move |head, _| {
            let id = head.lines().find_map(|line| line.strip_prefix("id: "));
            record.lock().unwrap().push(id.unwrap_or("").to_owned());
            match is_rejecting.load(Ordering::Relaxed) {
                true => full(),
                false => [vec![WAIT.to_owned()], ok("fine")].concat(),
            }
        },
    )
    .await;
    let nodes = &network.shared.nodes;
    let front = nodes[0].front().unwrap();
    let send = |id: usize| async move {
        post(front, "/again/x", id, &id.to_string()).await
    };
    // Idle connections are left, which work while no new ones do.
    join_all((0..12).map(send)).await;
    network.partition(1, Mode::NewRefused);
    join_all((12..52).map(send)).await;
    rejects.store(true, Ordering::Relaxed);
    for id in 52..72 {
        send(id).await;
    }
    let charged: usize =
        nodes.iter().map(|node| charged(&node.metrics())).sum();
    let mut ids = arrivals.lock().unwrap().clone();
    let count = ids.len();
    ids.sort_unstable();
    ids.dedup();
    let repeats = count - ids.len();
    assert!(repeats > 0, "no request was retried");
    assert_eq!(charged, repeats, "retries that were charged, and all");
}

/// Returns the number of entries by which a node divides the slack.
fn entries_known(metrics: &str) -> usize {
    let name = "azuremount_retry_budget_entries ";
    let line = metrics.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().parse().unwrap()
}

/// Guards against a node that starts while it hears few others, and takes too
/// large a share of the slack.
#[tokio::test]
async fn a_node_that_starts_learns_of_entries_that_it_does_not_hear() {
    let mut site = Site::open(3, 3).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    let knows_all = |site: &Site| {
        site.nodes().all(|node| entries_known(&node.metrics()) == 6)
    };
    let known = timeout(TEST_TIMEOUT, async {
        while !knows_all(&site) {
            sleep(Duration::from_millis(50)).await;
        }
    });
    known.await.expect("the nodes do not know of each other");
    for silent in 3..6 {
        site.stop(silent).await;
    }
    site.stop(0).await;
    site.start(0, false).await;
    let node = site.node(0).clone();
    let known = timeout(TEST_TIMEOUT, async {
        while entries_known(&node.metrics()) == 0 {
            sleep(Duration::from_millis(50)).await;
        }
    });
    known.await.expect("the node takes no share");
    assert_eq!(entries_known(&node.metrics()), 6);
}
