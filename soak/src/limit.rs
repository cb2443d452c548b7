//! Replicas that name the rate of requests that they take for a while, and get
//! no more from all nodes together.

use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::sleep;

use crate::Shared;

/// How soon all nodes have to keep to a limit.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests are counted over so long.
const WINDOW: Duration = Duration::from_secs(4);
/// What one replica takes after the last fault, in requests a second.
const JUDGED_PER_S: f64 = 2.0;
/// Of what a limit allows in a window, so much is borne, and so many requests
/// besides.
const BORNE: (f64, f64) = (1.5, 5.0);

/// What one replica names, and what it got since.
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

    /// Counts a request; returns what its answer names.
    pub fn arrive(&self) -> Option<f64> {
        let mut state = self.state();
        if state.per_s.is_some() {
            state.arrivals.push(Instant::now());
        }
        state.per_s
    }

    /// The most requests in one window from `since` on.
    fn most_since(&self, since: Instant) -> usize {
        let state = self.state();
        let from = state.arrivals.partition_point(|at| *at < since);
        let counted = &state.arrivals[from..];
        let ends = counted.iter().enumerate().map(|(at, first)| {
            let end = *first + WINDOW;
            counted[at..].partition_point(|one| *one < end)
        });
        ends.max().unwrap_or(0)
    }
}

/// The limits of all replicas.
#[derive(Debug, Default)]
pub struct Limits(Mutex<Vec<Weak<Limit>>>);

impl Limits {
    /// A replica's limit, none at first.
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

/// Lets replicas name limits and take them back until the soak stops.
pub async fn vary(shared: Arc<Shared>) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0x11317);
    while shared.is_running() {
        let pause = rng.random_range(300..2500);
        sleep(Duration::from_millis(pause)).await;
        let named = rng.random_bool(0.5);
        let per_s = named.then(|| rng.random_range(0.5..8.0));
        let alive = shared.limits.alive();
        if let Some(limit) = alive.choose(&mut rng)
            && !shared.is_judged()
        {
            limit.set(per_s);
        }
    }
}

/// After the last fault: one replica names a limit, and the nodes keep to it.
pub async fn judge(shared: &Shared) {
    let alive = shared.limits.alive();
    for limit in &alive {
        limit.set(None);
    }
    let Some(limit) = alive.first() else { return };
    sleep(CONTACT).await;
    limit.set(Some(JUDGED_PER_S));
    let since = Instant::now() + CONTACT;
    sleep(CONTACT + WINDOW + WINDOW / 2).await;
    let most = limit.most_since(since);
    let allowed = BORNE.0 * JUDGED_PER_S * WINDOW.as_secs_f64() + BORNE.1;
    if most as f64 > allowed {
        let text = format!("{most} requests in 4 s, {allowed} allowed");
        shared.ledger.breach(format!("a limited replica got {text}"));
    }
}
