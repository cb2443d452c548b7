//! Replicas that announce a rate limit for a while. The nodes together must
//! not send such a replica more requests than the limit allows.

use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::sleep;

use crate::Shared;

/// Time within which all nodes have to comply with a rate limit.
const COMPLIANCE_TIME: Duration = Duration::from_secs(3);
/// Length of the window over which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Rate limit of one replica after the last fault, in requests per second.
const CHECKED_RATE_PER_S: f64 = 2.0;
/// Tolerated excess in a window: a factor on what the rate limit allows, and a
/// number of requests on top.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// The rate limit that one replica announces, and the requests it received
/// since.
#[derive(Debug, Default)]
pub struct Limit(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    per_s: Option<f64>,
    arrivals: Vec<Instant>,
}

impl Limit {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn set(&self, per_s: Option<f64>) {
        *self.state() = State { per_s, arrivals: Vec::new() };
    }

    /// Counts a request. Returns the rate limit to announce in its answer.
    pub fn record_arrival(&self) -> Option<f64> {
        let mut state = self.state();
        if state.per_s.is_some() {
            state.arrivals.push(Instant::now());
        }
        state.per_s
    }

    /// Returns the largest number of requests in one window from `since` on.
    fn max_requests_since(&self, since: Instant) -> usize {
        let state = self.state();
        let from = state.arrivals.partition_point(|at| *at < since);
        let counted = &state.arrivals[from..];
        let ends = counted.iter().enumerate().map(|(at, first)| {
            let end = *first + COUNT_WINDOW;
            counted[at..].partition_point(|one| *one < end)
        });
        ends.max().unwrap_or(0)
    }
}

/// The rate limits of all replicas.
#[derive(Debug, Default)]
pub struct Limits(Mutex<Vec<Weak<Limit>>>);

impl Limits {
    /// Adds a replica, which has no rate limit at first.
    pub fn open(&self) -> Arc<Limit> {
        let limit = Arc::default();
        let mut all = self.0.lock().unwrap_or_else(|held| held.into_inner());
        all.push(Arc::downgrade(&limit));
        limit
    }

    fn alive(&self) -> Vec<Arc<Limit>> {
        let all = self.0.lock().unwrap_or_else(|held| held.into_inner());
        all.iter().filter_map(Weak::upgrade).collect()
    }
}

/// Sets and clears rate limits of random replicas until the soak stops.
pub async fn vary_rate_limits(shared: Arc<Shared>) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0x11317);
    while shared.is_running() {
        let pause = rng.random_range(300..2500);
        sleep(Duration::from_millis(pause)).await;
        let named = rng.random_bool(0.5);
        let per_s = named.then(|| rng.random_range(0.5..8.0));
        let alive = shared.limits.alive();
        if let Some(limit) = alive.choose(&mut rng)
            && !shared.is_final_check()
        {
            limit.set(per_s);
        }
    }
}

/// Checks, after the last fault, that the nodes comply with the rate limit of
/// one replica.
pub async fn check_compliance(shared: &Shared) {
    let alive = shared.limits.alive();
    for limit in &alive {
        limit.set(None);
    }
    let Some(limit) = alive.first() else { return };
    sleep(COMPLIANCE_TIME).await;
    limit.set(Some(CHECKED_RATE_PER_S));
    let since = Instant::now() + COMPLIANCE_TIME;
    sleep(COMPLIANCE_TIME + COUNT_WINDOW + COUNT_WINDOW / 2).await;
    let most = limit.max_requests_since(since);
    let allowed =
        TOLERANCE.0 * CHECKED_RATE_PER_S * COUNT_WINDOW.as_secs_f64()
            + TOLERANCE.1;
    if most as f64 > allowed {
        let text = format!("{most} requests in 4 s, {allowed} allowed");
        shared.ledger.record_breach(format!("a limited replica got {text}"));
    }
}
