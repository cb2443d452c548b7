//! Tests of roll-outs: the records in the log, and real nodes.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use azuremount::{
    control::ledger::{Ledger, ROLLOUT_REPEAT_MS, RolloutAction},
    decide::rollout::Bounds,
    node::{Handle, RolloutError, RolloutOrder},
    wire::{
        Change, ChangeRollout, LogEntry, RolloutOutcome, Sighting, change,
        outcome, rollout_outcome::Result as Outcome,
    },
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    nodes::Site,
    world::{Replica, TEST_TIMEOUT, WAIT, apply_plan, ok, post, sighting},
};

/// Bounds of the page.
pub const BOUNDS: Bounds =
    Bounds { share: 0.1, slack: 50.0, rollback_ms: 5000 };

#[derive(Default)]
struct Log {
    ledger: Ledger,
    index: u64,
}

impl Log {
    fn apply(&mut self, change: ChangeRollout) -> RolloutOutcome {
        self.index += 1;
        let change = Change::new(change::Kind::Rollout(change));
        let payload = change.encode_to_vec();
        let entry = LogEntry { index: self.index, term: 1, payload };
        match self.ledger.apply(&entry).kind {
            Some(outcome::Kind::Rollout(outcome)) => outcome,
            other => panic!("no outcome of a roll-out: {other:?}"),
        }
    }

    fn start(&mut self, to: &str, duration_ms: u64, wall_ms: u64) -> Outcome {
        let outcome = self.apply(ChangeRollout {
            service: "app".to_owned(),
            to: to.to_owned(),
            duration_ms,
            wall_ms,
            ..ChangeRollout::default()
        });
        Outcome::try_from(outcome.result).unwrap()
    }

    fn end(&mut self, order: u64, action: RolloutAction, at: u64) -> Outcome {
        let outcome = self.apply(ChangeRollout {
            action: action as u32,
            order,
            wall_ms: at,
            ..ChangeRollout::default()
        });
        Outcome::try_from(outcome.result).unwrap()
    }

    fn state(&self) -> &'static str {
        let newest = self.ledger.rollouts().newest("app");
        newest.map_or("none", |record| record.state_name())
    }

    /// Restores the ledger from its own snapshot, as a restart does.
    fn restart(&mut self) {
        let bytes = self.ledger.encode();
        self.ledger = Ledger::decode(&bytes).expect("own snapshot");
    }
}

/// Guards against an order whose answer was lost and that is refused when it
/// arrives again, or that starts the roll-out a second time after its end.
#[test]
fn a_repeated_order_is_accepted_without_effect() {
    let mut log = Log::default();
    assert_eq!(log.start("v2", 12_000, 1000), Outcome::Accepted);
    assert_eq!(log.start("v2", 12_000, 2000), Outcome::Accepted);
    assert_eq!(log.start("v3", 12_000, 2000), Outcome::Conflict);
    assert_eq!(log.start("v2", 13_000, 2000), Outcome::Conflict);
    let first = log.ledger.rollouts().records[0].order;
    log.end(first, RolloutAction::Complete, 9000);
    log.restart();
    assert_eq!(log.start("v2", 12_000, 10_000), Outcome::Accepted);
    assert_eq!(log.state(), "completed");
    assert_eq!(log.start("v2", 20_000, 10_000), Outcome::CompletedBefore);
    assert_eq!(log.start("v3", 12_000, 11_000), Outcome::Accepted);
    // The first order once more, while another roll-out runs.
    assert_eq!(log.start("v2", 12_000, 12_000), Outcome::Accepted);
    assert_eq!(log.ledger.rollouts().newest("app").unwrap().to, "v3");
    let second = log.ledger.rollouts().newest("app").unwrap().order;
    log.end(second, RolloutAction::Revert, 15_000);
    assert_eq!(log.start("v3", 12_000, 16_000), Outcome::Accepted);
    assert_eq!(log.state(), "reverted");
    // Long after its end, the order is a new one.
    let later = 15_000 + ROLLOUT_REPEAT_MS;
    assert_eq!(log.start("v3", 12_000, later), Outcome::Accepted);
    assert_eq!(log.state(), "running");
}

/// Guards against a decision that arrives late and undoes an end, a state that
/// differs after a snapshot, and records that grow without bound.
#[test]
fn an_end_is_final_in_random_histories() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut log = Log::default();
        let mut ended: Vec<(u64, u32)> = Vec::new();
        for step in 0..120 {
            let now = step * 30_000;
            let before = log.ledger.rollouts().clone();
            let order = rng.random_range(0..=before.last_order);
            match rng.random_range(0..8) {
                0..3 => {
                    let to = format!("v{}", rng.random_range(0..4));
                    log.start(&to, 12_000, now);
                }
                3 => drop(log.end(order, RolloutAction::Complete, now)),
                4 => drop(log.end(order, RolloutAction::Revert, now)),
                5 => log.restart(),
                _ => {
                    let action = RolloutAction::Step as u32;
                    let step = rng.random_range(0..4);
                    log.apply(ChangeRollout {
                        action,
                        order,
                        step,
                        ..ChangeRollout::default()
                    });
                }
            }
            let state = log.ledger.rollouts();
            let has_changed = state.records != before.records;
            assert_eq!(has_changed, state.version > before.version);
            for (order, end) in &ended {
                let mut records = state.records.iter();
                let known = records.find(|known| known.order == *order);
                assert!(known.is_none_or(|known| known.state == *end));
            }
            let ends = state.records.iter().filter(|one| !one.is_running());
            ended.extend(ends.map(|record| (record.order, record.state)));
            let running = state.records.iter().filter(|one| one.is_running());
            assert!(running.count() <= 1, "seed {seed}");
            assert!(state.records.len() <= 8, "seed {seed}");
        }
    }
}

fn order(to: &str) -> RolloutOrder {
    RolloutOrder {
        service: "app".to_owned(),
        to: to.to_owned(),
        duration_ms: 60_000,
    }
}

async fn start(site: &Site, at: usize, to: &str) {
    start_order(site, at, order(to)).await;
}

async fn start_order(site: &Site, at: usize, order: RolloutOrder) {
    let started = async {
        loop {
            match site.node(at).start_rollout(order.clone()).await {
                Ok(_) => return,
                Err(RolloutError::NotConfirmed(_)) => {
                    sleep(Duration::from_millis(50)).await;
                }
                Err(error) => panic!("order refused: {error}"),
            }
        }
    };
    timeout(TEST_TIMEOUT, started).await.expect("order not accepted");
}

async fn state(site: &Site, at: usize) -> String {
    let read = async {
        loop {
            match site.node(at).read_rollout("app").await {
                Ok(record) => {
                    let name = |record| {
                        azuremount::wire::RolloutRecord::state_name(&record)
                    };
                    return record.map_or("none", name).to_owned();
                }
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    };
    timeout(TEST_TIMEOUT, read).await.expect("no state can be read")
}

/// Guards against an order that only some nodes know, and one that is lost
/// when all nodes are killed.
#[tokio::test]
async fn an_order_outlives_all_nodes_and_is_the_same_at_each() {
    let mut site = Site::open_with_rollouts(3, 3, BOUNDS).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    assert_eq!(state(&site, 4).await, "none");
    let unknown = RolloutOrder { service: "x".to_owned(), ..order("v2") };
    let refused = site.node(3).start_rollout(unknown).await;
    assert!(matches!(refused, Err(RolloutError::Invalid(_))), "{refused:?}");
    start(&site, 4, "v2").await;
    start(&site, 1, "v2").await;
    let other = site.node(5).start_rollout(order("v3")).await;
    assert!(matches!(other, Err(RolloutError::Conflict(_))), "{other:?}");
    for at in 0..6 {
        site.stop(at).await;
    }
    for at in 0..6 {
        site.start(at, false).await;
    }
    for at in 0..6 {
        assert_eq!(state(&site, at).await, "running");
    }
    start(&site, 3, "v2").await;
}

/// Replicas of each version.
const REPLICAS: usize = 2;
/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Nodes under load before replicas of two versions, the second of which the
/// test makes bad.
struct Trial {
    site: Site,
    /// The nodes that get heartbeats and requests.
    nodes: Arc<Mutex<Vec<Handle>>>,
    /// Requests at each version so far.
    counts: [Arc<AtomicUsize>; 2],
    is_stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    _replicas: Vec<Replica>,
}

impl Trial {
    /// Starts four nodes, and replicas whose new version fails `failures` of
    /// ten requests.
    async fn open(failures: usize) -> Trial {
        let site = Site::open_with_rollouts(3, 1, BOUNDS).await;
        apply_plan(site.node(0), 1).await;
        site.wait_until_all_serve().await;
        let nodes = Arc::new(Mutex::new(site.nodes().cloned().collect()));
        let counts: [Arc<AtomicUsize>; 2] = Default::default();
        let mut replicas = Vec::new();
        for number in 0..2 * REPLICAS {
            let count = counts[number / REPLICAS].clone();
            let is_new = number >= REPLICAS;
            let respond = move |_: &str| {
                let before = count.fetch_add(1, Ordering::Relaxed);
                match is_new && before % 10 < failures {
                    true => vec![
                        "HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n".into(),
                    ],
                    false => {
                        let mut pieces = vec![WAIT.to_owned()];
                        pieces.extend(ok("well"));
                        pieces
                    }
                }
            };
            replicas.push(Replica::spawn(respond).await);
        }
        let addresses: Vec<_> =
            replicas.iter().map(|replica| replica.address).collect();
        let mut trial = Trial {
            site,
            nodes,
            counts,
            is_stopped: Arc::default(),
            callers: Vec::new(),
            _replicas: replicas,
        };
        let nodes = trial.nodes.clone();
        trial.callers.push(tokio::spawn(async move {
            for sequence in 1.. {
                let nodes: Vec<Handle> = nodes.lock().unwrap().clone();
                for (number, address) in addresses.iter().enumerate() {
                    let says = sighting(&format!("r{number}"), *address, 0);
                    let version = format!("v{}", 1 + number / REPLICAS);
                    if !nodes.is_empty() {
                        nodes[(sequence as usize + number) % nodes.len()]
                            .apply_heartbeat(Sighting {
                                sequence,
                                version,
                                ..says
                            });
                    }
                }
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }));
        trial
    }

    /// Starts callers that send requests to all nodes, one after the other.
    fn call(&mut self) {
        for caller in 0..16 {
            let nodes = self.nodes.clone();
            let is_stopped = self.is_stopped.clone();
            self.callers.push(tokio::spawn(async move {
                for number in 0.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let nodes: Vec<Handle> = nodes.lock().unwrap().clone();
                    let at = (number + caller) % nodes.len().max(1);
                    let front = nodes.get(at).and_then(Handle::front);
                    if let Some(front) = front {
                        let id = caller * 1_000_000 + number;
                        let call = post(front, "/again/x", id, "body");
                        let _ = timeout(Duration::from_secs(3), call).await;
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            }));
        }
    }

    fn counts(&self) -> (usize, usize) {
        let [old, new] = &self.counts;
        (old.load(Ordering::Relaxed), new.load(Ordering::Relaxed))
    }

    /// Waits until a node reads an end state.
    async fn wait_for_end(&self) -> String {
        let end = async {
            loop {
                let state = state(&self.site, 3).await;
                if state != "running" {
                    return state;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, end).await.expect("no end of the roll-out")
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.callers.iter().for_each(JoinHandle::abort);
    }
}

/// Guards against a good version that is not completed before its deadline,
/// and against requests at old replicas once `completed` can be read, as they
/// stop then.
#[tokio::test]
async fn a_good_version_is_completed_and_the_old_one_gets_nothing() {
    let mut trial = Trial::open(0).await;
    let order = RolloutOrder { duration_ms: 12_000, ..order("v2") };
    let began = Instant::now();
    start_order(&trial.site, 3, order.clone()).await;
    trial.call();
    assert_eq!(trial.wait_for_end().await, "completed");
    assert!(began.elapsed() < Duration::from_secs(12));
    let (old, new) = trial.counts();
    sleep(Duration::from_millis(1500)).await;
    let (old_later, new_later) = trial.counts();
    assert_eq!(old, old_later, "requests at the old version");
    assert!(new_later > new, "no requests at the new version");
    start_order(&trial.site, 1, order).await;
    assert_eq!(state(&trial.site, 0).await, "completed");
}

/// Guards against a bad version that gets more than its share, or requests
/// after it was reverted.
#[tokio::test]
async fn a_bad_version_is_reverted_within_its_share() {
    let mut trial = Trial::open(4).await;
    let order = RolloutOrder { duration_ms: 12_000, ..order("v2") };
    start_order(&trial.site, 3, order).await;
    trial.call();
    assert_eq!(trial.wait_for_end().await, "reverted");
    // Nodes learn of the end within a round or two.
    sleep(Duration::from_millis(1500)).await;
    let (_, new) = trial.counts();
    sleep(Duration::from_millis(1500)).await;
    let (old_later, new_later) = trial.counts();
    assert_eq!(new, new_later, "requests at the reverted version");
    let allowed = 0.1 * (old_later + new_later) as f64 + BOUNDS.slack;
    assert!(new_later as f64 <= allowed, "{new_later} of {old_later}");
    assert!(new_later > 0, "the version got no request");
}

/// Guards against a roll-out that is forgotten, or a bad version that gets
/// requests without limit, after all nodes were killed in the middle.
#[tokio::test]
async fn a_kill_of_all_nodes_midway_keeps_the_share() {
    let mut trial = Trial::open(4).await;
    let order = RolloutOrder { duration_ms: 9000, ..order("v2") };
    start_order(&trial.site, 3, order).await;
    trial.nodes.lock().unwrap().clear();
    for at in 0..4 {
        trial.site.stop(at).await;
    }
    for at in 0..4 {
        trial.site.start(at, false).await;
    }
    *trial.nodes.lock().unwrap() = trial.site.nodes().cloned().collect();
    trial.call();
    assert_eq!(trial.wait_for_end().await, "reverted");
    let (old, new) = trial.counts();
    let allowed = 0.1 * (old + new) as f64 + BOUNDS.slack;
    assert!(new as f64 <= allowed, "{new} of {old}");
}
