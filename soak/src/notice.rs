//! Replicas that request backoffs of single nodes, or announce only in their
//! answers that they leave. Each node must keep to both by itself.

use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::sleep;

use crate::Shared;

/// Header with the number of the node that a caller sent a request to.
pub const NODE: &str = "soak-node";
/// Header with the time since the start of the soak at which a caller sent a
/// request, in ms.
pub const SENT: &str = "soak-sent-ms";
/// Share of requests that a replica rejects while it may request backoffs.
const REJECTED_SHARE: f64 = 0.3;
/// Lengths of the requested backoffs, in s.
const BACKOFFS_S: std::ops::Range<u64> = 1..4;
/// Time after a rejection within which requests in flight may still arrive.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of requests of one node between the end of that time and the
/// end of a backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Time for which callers' requests may still be sent to a replica after a
/// node has received an answer that announces its departure.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Length of the check after the last fault.
const CHECK_DURATION: Duration = Duration::from_secs(8);

/// What a replica says in its answers about further requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    #[default]
    Nothing,
    /// Rejects some requests and requests backoffs.
    BacksOff,
    /// Announces that it leaves.
    Leaves,
}

/// The time at which something happened that concerns one node.
type Event = (usize, Instant);

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    arrivals: Vec<Event>,
    /// Requested backoffs, with their lengths.
    backoffs: Vec<(Event, Duration)>,
    /// The first answer to each node that announced the departure.
    announced: Vec<Event>,
    /// Number of requests that were sent too long after that.
    late: usize,
}

/// What a replica does with a request.
pub enum Reaction {
    /// Runs it.
    Run,
    /// Runs it, and announces in the answer that it leaves.
    RunAndLeave,
    /// Rejects it, and requests a backoff of this many seconds.
    Reject(u64),
}

/// The notices of one replica, and the requests that it received.
#[derive(Debug, Default)]
pub struct Notices(Mutex<State>);

impl Notices {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn set(&self, mode: Mode) {
        *self.state() = State { mode, ..State::default() };
    }

    /// Records a request that a caller sent to `node` at `sent`, and returns
    /// what to do with it.
    pub fn record_arrival(
        &self,
        node: usize,
        sent: Instant,
        rng: &mut StdRng,
    ) -> Reaction {
        let mut state = self.state();
        let now = Instant::now();
        match state.mode {
            Mode::Nothing => Reaction::Run,
            Mode::Leaves => {
                let mut known = state.announced.iter();
                match known.find(|(one, _)| *one == node) {
                    Some((_, at)) if sent > *at + DRAIN_TIME => {
                        state.late += 1;
                    }
                    Some(_) => {}
                    None => state.announced.push((node, now)),
                }
                Reaction::RunAndLeave
            }
            Mode::BacksOff => {
                state.arrivals.push((node, now));
                let in_force = |((one, at), length): &(Event, Duration)| {
                    *one == node && now < *at + *length
                };
                let is_backing_off = state.backoffs.iter().any(in_force);
                if !is_backing_off && !rng.random_bool(REJECTED_SHARE) {
                    return Reaction::Run;
                }
                let seconds = rng.random_range(BACKOFFS_S);
                let length = Duration::from_secs(seconds);
                state.backoffs.push(((node, now), length));
                Reaction::Reject(seconds)
            }
        }
    }

    /// Returns the largest number of requests of one node during one backoff.
    fn max_requests_in_backoff(&self) -> usize {
        let state = self.state();
        let during = |((node, at), length): &(Event, Duration)| {
            let period = (*at + BACKOFF_GRACE)..(*at + *length);
            let of_node = state
                .arrivals
                .iter()
                .filter(|(one, time)| one == node && period.contains(time));
            of_node.count()
        };
        state.backoffs.iter().map(during).max().unwrap_or(0)
    }
}

/// The notices of all replicas.
#[derive(Debug, Default)]
pub struct AllNotices(Mutex<Vec<Weak<Notices>>>);

impl AllNotices {
    /// Adds a replica, which says nothing at first.
    pub fn open(&self) -> Arc<Notices> {
        let notices = Arc::default();
        let mut all = self.0.lock().unwrap_or_else(|held| held.into_inner());
        all.push(Arc::downgrade(&notices));
        notices
    }

    fn alive(&self) -> Vec<Arc<Notices>> {
        let all = self.0.lock().unwrap_or_else(|held| held.into_inner());
        all.iter().filter_map(Weak::upgrade).collect()
    }
}

/// Lets random replicas request backoffs for a while, until the soak stops.
pub async fn vary(shared: Arc<Shared>) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0xbac0ff);
    while shared.is_running() {
        sleep(Duration::from_millis(rng.random_range(300..2500))).await;
        let backs_off = rng.random_bool(0.5);
        let alive = shared.notices.alive();
        if let Some(notices) = alive.choose(&mut rng)
            && !shared.is_final_check()
        {
            notices.set(match backs_off {
                true => Mode::BacksOff,
                false => Mode::Nothing,
            });
        }
    }
}

/// Checks, after the last fault, that nodes keep to the backoffs of one
/// replica and to the departure of another one.
pub async fn check(shared: &Shared) {
    let alive = shared.notices.alive();
    for notices in &alive {
        notices.set(Mode::Nothing);
    }
    // The first replica is that of the check of rate limits.
    let [_, backing_off, leaving, ..] = alive.as_slice() else { return };
    backing_off.set(Mode::BacksOff);
    leaving.set(Mode::Leaves);
    sleep(CHECK_DURATION).await;
    let most = backing_off.max_requests_in_backoff();
    if most > MAX_REQUESTS_IN_BACKOFF {
        shared.ledger.record_breach(format!(
            "{most} requests of one node during a backoff, \
             {MAX_REQUESTS_IN_BACKOFF} allowed"
        ));
    }
    let late = leaving.state().late;
    if late > 0 {
        shared.ledger.record_breach(format!(
            "{late} requests were sent over 2 s after a node had passed on \
             that the replica leaves"
        ));
    }
}
