//! Tests of roll-outs: the records in the log, and real nodes.

use std::time::Duration;

use azuremount::{
    control::ledger::{Ledger, ROLLOUT_REPEAT_MS, RolloutAction},
    decide::rollout::Bounds,
    node::{RolloutError, RolloutOrder},
    wire::{
        Change, ChangeRollout, LogEntry, RolloutOutcome, change, outcome,
        rollout_outcome::Result as Outcome,
    },
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{sleep, timeout};

use crate::{
    nodes::Site,
    world::{TEST_TIMEOUT, apply_plan},
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
    let started = async {
        loop {
            match site.node(at).start_rollout(order(to)).await {
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
