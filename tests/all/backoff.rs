//! Tests backoffs that replicas request, and departures that they announce in
//! their answers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use azuremount::{
    backoff::{Backoffs, MAX_BACKOFF_MS, NEVER, Notice},
    mesh::table::incarnation_id,
    wire::Sighting,
};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{Instant, interval, sleep},
};

use crate::{
    nodes::Site,
    world::{
        CLOSE, Replica, TestNode, apply_plan, ended, events, ok, post,
        sighting, status,
    },
};

/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two requests, over all callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time after a rejection within which requests may still arrive.
const GRACE: Duration = Duration::from_millis(500);
/// Maximum number of requests between the end of [`GRACE`] and the end of a
/// backoff.
const MAX_REQUESTS: usize = 2;
/// Time after the first announcement of a departure within which requests may
/// still arrive.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// What a stand-in replica does with a request.
#[derive(Clone, Debug)]
enum Mode {
    /// Runs it.
    Serves,
    /// Rejects it with this `Retry-After`.
    Rejects(String),
    /// Breaks streams off after three events, and runs other requests.
    Breaks,
    /// Answers every third request with status 500.
    Fails,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    /// Whether each answer announces that the replica leaves.
    leaves: bool,
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
        let state = State {
            mode,
            leaves: false,
            arrivals: Vec::new(),
            backoffs: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let replica =
            Replica::spawn(move |head| shared.lock().unwrap().answer(head))
                .await;
        let address = replica.address;
        StandIn { id: id.to_owned(), address, state, _replica: replica }
    }

    fn set(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().unwrap().arrivals.clone()
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
    fn answer(&mut self, head: &str) -> Vec<String> {
        let now = Instant::now();
        self.arrivals.push(now);
        let pieces = match &self.mode {
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
            _ if !head.contains("/resume/") => ok("fine"),
            Mode::Serves => ended(events(next_event(head)..=12)),
            Mode::Breaks => {
                let from = next_event(head);
                let mut pieces = events(from..=from + 2);
                pieces.push(CLOSE.to_owned());
                pieces
            }
        };
        match self.leaves {
            true => with_header(pieces, "Leaving: 1"),
            false => pieces,
        }
    }
}

fn with_header(pieces: Vec<String>, line: &str) -> Vec<String> {
    let add = |piece: String| match piece.strip_prefix("HTTP/1.1 ") {
        Some(rest) => {
            let (status, rest) = rest.split_once("\r\n").unwrap();
            format!("HTTP/1.1 {status}\r\n{line}\r\n{rest}")
        }
        None => piece,
    };
    pieces.into_iter().map(add).collect()
}

/// Returns the event from which a stream starts or resumes.
fn next_event(head: &str) -> u64 {
    let last = head.to_lowercase();
    let last = last.split("\r\nlast: ").nth(1);
    let last = last.and_then(|rest| rest.lines().next()?.parse().ok());
    last.unwrap_or(0) + 1
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

/// Returns a heartbeat of the incarnation that started at `born`.
fn incarnation(replica: &StandIn, born: u64) -> Sighting {
    let id = incarnation_id(&replica.id, born);
    Sighting { born, ..sighting(&id, replica.address, 0) }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap().as_millis() as u64
}

/// An answer to a caller, and how long it took.
struct Answered {
    text: String,
    began: Instant,
    after: Duration,
}

/// Sends a request every [`REQUEST_INTERVAL`], whatever became of the earlier
/// ones, to each of the paths in turn.
async fn send_requests(
    world: &TestNode,
    length: Duration,
    paths: &[&'static str],
) -> Vec<Answered> {
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
            let began = Instant::now();
            let text = post(front, path, id, "").await;
            Answered { text, began, after: began.elapsed() }
        });
    }
    requests.join_all().await
}

fn count_served(answers: &[Answered]) -> usize {
    answers.iter().filter(|answer| status(&answer.text) == "200").count()
}

fn retry_after(answer: &Answered) -> Option<f64> {
    let text = answer.text.to_lowercase();
    let value = text.split("retry-after: ").nth(1)?;
    value.lines().next()?.trim().parse().ok()
}

const ALL_PATHS: [&str; 3] = ["/again/x", "/once/x", "/resume/x"];

// ---- Backoffs --------------------------------------------------------------

/// Guards against requests to a replica during a backoff that it requested,
/// because no other replica is left.
#[tokio::test]
async fn replicas_that_all_back_off_are_sent_nothing() {
    let mode = || Mode::Rejects("2".to_owned());
    let first = StandIn::spawn("a", mode()).await;
    let second = StandIn::spawn("b", mode()).await;
    let replicas = [&first, &second];
    let world = TestNode::open(&[]).await;
    let heartbeats = spawn_heartbeats(&world, &replicas);
    sleep(HEARTBEAT_INTERVAL).await;
    let answers =
        send_requests(&world, Duration::from_secs(5), &ALL_PATHS).await;
    heartbeats.abort();
    replicas.iter().for_each(|replica| replica.check());
    assert_eq!(count_served(&answers), 0);
    for answer in &answers {
        let wait = retry_after(answer).expect("no Retry-After");
        assert_eq!(status(&answer.text), "503", "{}", answer.text);
        assert!(wait <= 8.0, "{wait}");
    }
    // Those that are refused during a backoff are told of its end.
    let told = answers.iter().filter_map(retry_after);
    let longest = told.fold(0.0, f64::max);
    assert!(longest > 1.5, "longest Retry-After: {longest} s");
}

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

/// Guards against streams that resume at a replica during its backoff.
#[tokio::test]
async fn streams_do_not_resume_at_a_replica_that_backs_off() {
    let resting = StandIn::spawn("a", Mode::Rejects("2".to_owned())).await;
    let breaking = StandIn::spawn("b", Mode::Breaks).await;
    let replicas = [&resting, &breaking];
    let world = TestNode::open(&[]).await;
    let heartbeats = spawn_heartbeats(&world, &replicas);
    sleep(HEARTBEAT_INTERVAL).await;
    let length = Duration::from_secs(5);
    send_requests(&world, length, &["/resume/x"]).await;
    heartbeats.abort();
    resting.check();
}

/// Guards against a backoff that is forgotten when the list of replicas
/// changes.
#[tokio::test]
async fn a_backoff_outlasts_a_change_of_the_list_of_replicas() {
    let resting = StandIn::spawn("a", Mode::Rejects("5".to_owned())).await;
    let world = TestNode::open(&[]).await;
    let mut sequence = 1;
    let mut says = |replica: &StandIn, state| {
        let mut sighting = sighting(&replica.id, replica.address, state);
        sequence += 1;
        sighting.sequence = sequence;
        world.node.apply_heartbeat(sighting);
    };
    says(&resting, 0);
    sleep(HEARTBEAT_INTERVAL).await;
    let load = send_requests(&world, Duration::from_secs(5), &["/again/x"]);
    let changes = async {
        for at in 0..8 {
            sleep(Duration::from_millis(500)).await;
            let other = StandIn::spawn(&format!("b{at}"), Mode::Serves).await;
            says(&other, 0);
            sleep(Duration::from_millis(50)).await;
            says(&other, 2);
            says(&resting, 0);
        }
    };
    tokio::join!(load, changes);
    resting.check();
}

/// Guards against a backoff that is recorded against a replica's former
/// incarnation: the process that starts at its address rejects a request
/// before its first heartbeat arrives.
#[tokio::test]
async fn a_backoff_requested_before_the_first_heartbeat_holds() {
    let resting = StandIn::spawn("a", Mode::Rejects("3".to_owned())).await;
    let world = TestNode::open(&[]).await;
    let now = wall_ms();
    world.node.apply_heartbeat(incarnation(&resting, now - 60_000));
    sleep(HEARTBEAT_INTERVAL).await;
    let load = send_requests(&world, Duration::from_secs(3), &["/again/x"]);
    let restart = async {
        sleep(Duration::from_millis(200)).await;
        world.node.apply_heartbeat(incarnation(&resting, now));
    };
    tokio::join!(load, restart);
    resting.check();
}

/// Guards against a backoff of a replica's former incarnation that keeps
/// requests from the current one.
#[tokio::test]
async fn a_backoff_ends_with_its_incarnation() {
    let longest = (MAX_BACKOFF_MS / 1000).to_string();
    let replica = StandIn::spawn("a", Mode::Rejects(longest)).await;
    let world = TestNode::open(&[]).await;
    world.node.apply_heartbeat(incarnation(&replica, wall_ms() - 60_000));
    sleep(HEARTBEAT_INTERVAL).await;
    assert_eq!(status(&world.get("/again/x").await), "503");
    sleep(HEARTBEAT_INTERVAL).await;
    replica.set(Mode::Serves);
    world.node.apply_heartbeat(incarnation(&replica, wall_ms()));
    sleep(HEARTBEAT_INTERVAL).await;
    assert_eq!(status(&world.get("/again/x").await), "200");
}

/// Guards against a backoff that outlasts its end: the replica's share of the
/// requests stays low because its rejections count as failures.
#[tokio::test]
async fn a_replica_has_its_share_again_after_a_backoff() {
    let resting = StandIn::spawn("a", Mode::Rejects("1.5".to_owned())).await;
    let serving = StandIn::spawn("b", Mode::Serves).await;
    let replicas = [&resting, &serving];
    let world = TestNode::open(&[]).await;
    let heartbeats = spawn_heartbeats(&world, &replicas);
    sleep(HEARTBEAT_INTERVAL).await;
    let paths = ["/again/x"];
    let answers =
        send_requests(&world, Duration::from_millis(1200), &paths).await;
    assert_eq!(count_served(&answers), answers.len());
    resting.set(Mode::Serves);
    // The end of the backoff, and one second.
    sleep(Duration::from_millis(1300)).await;
    let before = resting.arrivals().len();
    let answers = send_requests(&world, Duration::from_secs(1), &paths).await;
    heartbeats.abort();
    let got = resting.arrivals().len() - before;
    assert!(got * 3 >= answers.len(), "{got} of {}", answers.len());
}

/// Guards against a backoff or a departure that another replica said: the
/// answer belongs to another request, or its sender has taken over the
/// address.
#[tokio::test]
async fn answers_of_other_replicas_are_ignored() {
    let foreign = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: other\r\n\
                   Retry-After: 60\r\nLeaving: 1\r\n\
                   Content-Length: 0\r\n\r\n";
    let misdirected = foreign.replace("503 Full", "421 Misdirected");
    let misdirected = misdirected.replace("Id: other\r\n", "");
    for answer in [foreign.to_owned(), misdirected] {
        let mut replica = Replica::spawn(move |_| vec![answer.clone()]).await;
        let world = TestNode::open(&[("a", replica.address)]).await;
        for id in 0..2 {
            post(world.front, "/once/x", id, "").await;
        }
        assert_eq!(replica.seen().len(), 2);
    }
}

/// Guards against callers that are told to return in an hour because the only
/// replica backs off for that long.
#[tokio::test]
async fn callers_return_during_the_longest_backoff() {
    let longest = (MAX_BACKOFF_MS / 1000).to_string();
    let replica = StandIn::spawn("a", Mode::Rejects(longest)).await;
    let world = TestNode::open(&[("a", replica.address)]).await;
    for _ in 0..2 {
        let began = Instant::now();
        let text = world.get("/again/x").await;
        let after = began.elapsed();
        let wait = retry_after(&Answered { text, began, after });
        let wait = wait.expect("no Retry-After");
        assert!((30.0..=70.0).contains(&wait), "{wait}");
    }
    assert_eq!(replica.arrivals().len(), 1);
}

/// Guards against a replica that is left out for good because its backoff
/// can't be read.
#[tokio::test]
async fn an_unreadable_backoff_is_a_rejection_without_one() {
    for value in ["-1", "soon", "1e300", "", "3601", "99999999999999999999"] {
        let odd = StandIn::spawn("a", Mode::Rejects(value.to_owned())).await;
        let world = TestNode::open(&[("a", odd.address)]).await;
        let answer = world.get("/again/x").await;
        assert_eq!(status(&answer), "503", "{value:?}");
        odd.set(Mode::Serves);
        let answer = world.get("/again/x").await;
        assert_eq!(status(&answer), "200", "{value:?}");
    }
}

/// Guards against a caller that waits until its deadline although it is known
/// that all replicas back off for longer.
#[tokio::test]
async fn a_request_that_no_replica_takes_in_time_is_refused_at_once() {
    let resting = StandIn::spawn("a", Mode::Rejects("30".to_owned())).await;
    let world = TestNode::open(&[("a", resting.address)]).await;
    assert_eq!(status(&world.get("/again/x").await), "503");
    let answers =
        send_requests(&world, Duration::from_millis(500), &ALL_PATHS).await;
    for answer in &answers {
        assert_eq!(status(&answer.text), "503");
        // Far below the deadline of the route.
        assert!(answer.after < Duration::from_secs(5));
        let wait = retry_after(answer).expect("no Retry-After");
        assert!((20.0..=45.0).contains(&wait), "{wait}: {}", answer.text);
    }
    // The callers don't all return at the same moment.
    let returns = answers.iter().filter_map(|answer| {
        let wait = Duration::from_secs_f64(retry_after(answer)?);
        Some(answer.began + answer.after + wait)
    });
    let (first, last) = (returns.clone().min(), returns.max());
    let spread = last.unwrap() - first.unwrap();
    assert!(spread > Duration::from_millis(200), "{spread:?}");
}

// ---- Departures ------------------------------------------------------------

/// Guards against requests to a replica whose answers say that it leaves,
/// while its heartbeats, of which some are lost or late, say that it is ready.
#[tokio::test]
async fn a_replica_that_leaves_by_its_answers_is_sent_nothing() {
    let leaving = StandIn::spawn("a", Mode::Serves).await;
    let serving = StandIn::spawn("b", Mode::Serves).await;
    let replicas = [&leaving, &serving];
    let world = TestNode::open(&[]).await;
    let heartbeats = spawn_heartbeats(&world, &replicas);
    sleep(HEARTBEAT_INTERVAL).await;
    leaving.state.lock().unwrap().leaves = true;
    let began = Instant::now();
    let answers =
        send_requests(&world, Duration::from_secs(6), &ALL_PATHS).await;
    heartbeats.abort();
    assert_eq!(count_served(&answers), answers.len());
    let arrivals = leaving.arrivals();
    assert!(!arrivals.is_empty(), "the replica got no request");
    let late = arrivals.iter().filter(|at| **at > began + DRAIN_TIME).count();
    assert_eq!(late, 0, "requests that came too late");
}

/// Guards against an announcement that counts only in a complete success: it
/// comes with a rejection, or in the head of a stream that breaks off.
#[tokio::test]
async fn any_answer_may_announce_a_departure() {
    let modes = [Mode::Rejects("0".to_owned()), Mode::Breaks];
    for (mode, path) in modes.into_iter().zip(["/once/x", "/resume/x"]) {
        let leaving = StandIn::spawn("a", mode.clone()).await;
        leaving.state.lock().unwrap().leaves = true;
        let world = TestNode::open(&[]).await;
        let heartbeats = spawn_heartbeats(&world, &[&leaving]);
        sleep(HEARTBEAT_INTERVAL).await;
        post(world.front, path, 1, "").await;
        let first = leaving.arrivals().len();
        assert!(first > 0, "{mode:?}");
        leaving.set(Mode::Serves);
        let length = Duration::from_secs(3);
        send_requests(&world, length, &ALL_PATHS).await;
        heartbeats.abort();
        assert_eq!(leaving.arrivals().len(), first, "{mode:?}");
    }
}

/// Guards against a node that goes on sending to a replica that has announced
/// its departure in an answer to another node only.
#[tokio::test]
async fn nodes_tell_each_other_of_a_departure_in_an_answer() {
    let leaving = StandIn::spawn("a", Mode::Serves).await;
    leaving.state.lock().unwrap().leaves = true;
    let site = Site::open(3, 0).await;
    apply_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    for node in site.nodes() {
        node.apply_heartbeat(sighting("a", leaving.address, 0));
    }
    let front = |at: usize| site.node(at).front().unwrap();
    let answer = post(front(0), "/again/x", 1, "").await;
    assert_eq!(status(&answer), "200");
    // Several rounds of the mesh.
    sleep(Duration::from_secs(2)).await;
    for at in [1, 2] {
        let answer = post(front(at), "/again/x", 1 + at, "").await;
        assert_eq!(status(&answer), "503", "node {at}");
    }
    assert_eq!(leaving.arrivals().len(), 1);
}

/// Guards against a departure that keeps requests from the replica's next
/// incarnation.
#[tokio::test]
async fn a_departure_ends_with_its_incarnation() {
    let replica = StandIn::spawn("a", Mode::Serves).await;
    replica.state.lock().unwrap().leaves = true;
    let world = TestNode::open(&[]).await;
    world.node.apply_heartbeat(incarnation(&replica, wall_ms() - 60_000));
    sleep(HEARTBEAT_INTERVAL).await;
    assert_eq!(status(&world.get("/again/x").await), "200");
    sleep(HEARTBEAT_INTERVAL).await;
    assert_eq!(status(&world.get("/again/x").await), "503");
    replica.state.lock().unwrap().leaves = false;
    world.node.apply_heartbeat(incarnation(&replica, wall_ms()));
    sleep(HEARTBEAT_INTERVAL).await;
    assert_eq!(status(&world.get("/again/x").await), "200");
}

// ---- Without a network ------------------------------------------------------

/// Guards against notices of two incarnations that are confused: the endless
/// one of the former incarnation holds for the next one, or hides its own.
#[test]
fn each_incarnation_is_held_to_its_own_notices() {
    let mut backoffs = Backoffs::default();
    let mut record = |now, until, wall_ms| {
        let notice = Notice { until, wall_ms, born: 40_000 };
        backoffs.record(now, 7, notice);
    };
    record(1000, NEVER, 51_000);
    // The next incarnation starts at the wall time 52,000.
    record(3000, 6000, 53_000);
    // A request that was in flight.
    record(3100, 4100, 53_100);
    assert_eq!(backoffs.until(7, 1), NEVER);
    assert_eq!(backoffs.until(7, 52_000), 6000);
    assert_eq!(backoffs.until(7, 60_000), 0);
    assert_eq!(backoffs.until(8, 1), 0);
}

/// Guards against a backoff that is dropped because the node's clock has jumped
/// back to before the start of the replica.
#[test]
fn a_backoff_holds_although_the_clock_has_jumped_back() {
    let mut backoffs = Backoffs::default();
    let notice = Notice { until: 6000, wall_ms: 42_000, born: 52_000 };
    backoffs.record(3000, 7, notice);
    assert_eq!(backoffs.until(7, 52_000), 6000);
    assert_eq!(backoffs.until(7, 60_000), 0);
}

/// Guards against memory that grows with replicas that are gone, and against
/// backoffs that end early because their replica is silent.
#[test]
fn backoffs_are_kept_as_long_as_their_replicas() {
    let mut backoffs = Backoffs::default();
    for replica in 0..100 {
        backoffs.record(
            0,
            replica,
            Notice { until: NEVER, wall_ms: 0, born: 0 },
        );
    }
    backoffs.record(0, 100, Notice { until: 500, wall_ms: 0, born: 0 });
    assert_eq!((backoffs.count(0), backoffs.count(500)), (101, 100));
    backoffs.expire(1000, |_| false);
    assert_eq!(backoffs.count(0), 100);
    backoffs.expire(100_000, |replica| replica == 3);
    assert_eq!(backoffs.count(0), 1);
    assert_eq!(backoffs.until(3, 0), NEVER);
    backoffs.expire(100_000, |_| false);
    assert!(backoffs.is_empty());
}
