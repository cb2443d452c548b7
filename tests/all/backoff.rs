//! Tests backoffs that replicas request.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    task::{JoinHandle, JoinSet},
    time::{Instant, interval, sleep},
};

use crate::world::{Replica, TestNode, ok, post, sighting};

/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two requests, over all callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time after a rejection within which requests may still arrive.
const GRACE: Duration = Duration::from_millis(500);
/// Maximum number of requests between the end of [`GRACE`] and the end of a
/// backoff.
const MAX_REQUESTS: usize = 2;
/// What a stand-in replica does with a request.
#[derive(Clone, Debug)]
enum Mode {
    /// Rejects it with this `Retry-After`.
    Rejects(String),
    /// Answers every third request with status 500.
    Fails,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    arrivals: Vec<Instant>,
    /// When a backoff was requested, and its length.
    backoffs: Vec<(Instant, Duration)>,
}

/// A replica that records when requests arrive and backoffs are requested.
struct StandIn {
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _replica: Replica,
}

impl StandIn {
    async fn spawn(id: &str, mode: Mode) -> StandIn {
        let state = State { mode, arrivals: Vec::new(), backoffs: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let replica =
            Replica::spawn(move |_| shared.lock().unwrap().answer()).await;
        let address = replica.address;
        StandIn { id: id.to_owned(), address, state, _replica: replica }
    }

    /// Returns the largest number of requests that arrived during one backoff,
    /// and the number of backoffs.
    fn max_requests_in_backoff(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        let during = |(at, length): &(Instant, Duration)| {
            let (from, to) = (*at + GRACE, *at + *length);
            let arrivals = state.arrivals.iter();
            arrivals.filter(|time| (from..to).contains(time)).count()
        };
        let most = state.backoffs.iter().map(during).max();
        (most.unwrap_or(0), state.backoffs.len())
    }

    fn check(&self) {
        let (most, backoffs) = self.max_requests_in_backoff();
        assert!(backoffs > 0, "{} requested no backoff", self.id);
        assert!(
            most <= MAX_REQUESTS,
            "{most} requests during a backoff of {}, of {backoffs} backoffs",
            self.id
        );
    }
}

impl State {
    fn answer(&mut self) -> Vec<String> {
        let now = Instant::now();
        self.arrivals.push(now);
        match &self.mode {
            Mode::Fails if self.arrivals.len().is_multiple_of(3) => {
                let text = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
                vec![text.to_owned()]
            }
            Mode::Fails => ok("fine"),
            Mode::Rejects(value) => {
                let seconds = value.parse().unwrap_or_default();
                if let Ok(length) = Duration::try_from_secs_f64(seconds) {
                    self.backoffs.push((now, length));
                }
                let text = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\
                            Content-Length: 0\r\n\r\n";
                let retry = format!("Retry-After: {value}\r\nContent-Length");
                vec![text.replace("Content-Length", &retry)]
            }
        }
    }
}

/// Sends heartbeats that say `ready` until the task is aborted.
fn spawn_heartbeats(
    world: &TestNode,
    replicas: &[&StandIn],
) -> JoinHandle<()> {
    let node = world.node.clone();
    let sightings: Vec<_> = replicas
        .iter()
        .map(|replica| sighting(&replica.id, replica.address, 0))
        .collect();
    tokio::spawn(async move {
        for sequence in 1.. {
            for sighting in &sightings {
                let mut sighting = sighting.clone();
                sighting.sequence = sequence;
                node.apply_heartbeat(sighting);
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    })
}

/// Sends a request every [`REQUEST_INTERVAL`], whatever became of the earlier
/// ones, to each of the paths in turn.
async fn send_requests(
    world: &TestNode,
    length: Duration,
    paths: &[&'static str],
) {
    let mut requests = JoinSet::new();
    let end = Instant::now() + length;
    let mut ticks = interval(REQUEST_INTERVAL);
    let front = world.front;
    for id in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let path = paths[id % paths.len()];
        requests.spawn(async move {
            post(front, path, id, &id.to_string()).await;
        });
    }
    requests.join_all().await;
}

// ---- Backoffs --------------------------------------------------------------

/// Guards against requests to a replica during a backoff that lasts longer
/// than a replica is avoided that failed a request: other replicas fail
/// requests too.
#[tokio::test]
async fn a_backoff_holds_while_other_replicas_fail_requests() {
    let resting = StandIn::spawn("a", Mode::Rejects("3".to_owned())).await;
    let first = StandIn::spawn("b", Mode::Fails).await;
    let second = StandIn::spawn("c", Mode::Fails).await;
    let replicas = [&resting, &first, &second];
    let world = TestNode::open(&[]).await;
    let heartbeats = spawn_heartbeats(&world, &replicas);
    sleep(HEARTBEAT_INTERVAL).await;
    let paths = ["/again/x", "/once/x"];
    send_requests(&world, Duration::from_secs(8), &paths).await;
    heartbeats.abort();
    resting.check();
}
