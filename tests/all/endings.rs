//! Detection of replicas that crash with requests in flight: which
//! observations show a crash, and which do not.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use azuremount::{
    mesh::table::{incarnation_id, replica_of},
    node,
    wire::Sighting,
};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    nodes::Site,
    world::{
        CLOSE, HANG, WAIT, apply_plan, ended, events, ok, post, serve,
        sighting, status,
    },
};

/// A replica crashes when it begins to run a request that contains this.
const FATAL: &str = "fatal";
/// A replica also crashes under a request with this part in its prompt.
pub const CRASHING_PART: u64 = 70_707;
/// A replica closes the connection of a request that contains this, without a
/// crash.
const BREAKS: &str = "breaks";
/// A replica takes a while to answer a request that contains this.
pub const SLOW: &str = "slow";
/// A replica answers a request that contains this without a length, so that
/// the answer ends with its connection.
pub const PLAIN: &str = "plain";
/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a replica is down after a crash.
const DOWNTIME: Duration = Duration::from_millis(2000);
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time within which connected nodes have to know of a third crash.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(3);
/// Replicas that a request may crash before all nodes have to quarantine it,
/// and attempts that may reach replicas after that.
const MAX_CRASHES: usize = 3;
/// Time within which a request has to crash three replicas.
const CRASH_TIMEOUT: Duration = Duration::from_secs(60);

/// What happens to connections to a replica that has crashed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterCrash {
    /// A relay accepts it and closes it without a byte.
    Closes,
    /// A relay resets it.
    Resets,
    /// Nothing answers and nothing is closed, as when the VM has lost power.
    Silent,
    /// Connections are closed until the replica is back under its id, as a
    /// later incarnation.
    Returns,
    /// The same behind a relay that accepts a connection, reads a request and
    /// then closes the connection.
    ReturnsBehindRelay,
}

pub struct Shared {
    after_crash: AfterCrash,
    pub nodes: Vec<node::Handle>,
    /// Running replicas, with the sequence number of their last heartbeat.
    live: Mutex<Vec<(Sighting, u64)>>,
    started: AtomicUsize,
    crash_count: AtomicUsize,
    /// Paths of the requests that crashed replicas, with the times.
    pub crashes: Mutex<Vec<(String, Instant)>>,
    /// Crashes every second replica at once.
    pub outage: Notify,
}

impl Shared {
    /// Sends the heartbeats of all running replicas, to the nodes in turn.
    async fn send_heartbeats(self: Arc<Shared>) {
        for at in 0.. {
            let next_heartbeat = |(says, sequence): &mut (Sighting, u64)| {
                *sequence += 1;
                let sequence = *sequence;
                Sighting { sequence, ..says.clone() }
            };
            let says: Vec<Sighting> = self
                .live
                .lock()
                .unwrap()
                .iter_mut()
                .map(next_heartbeat)
                .collect();
            for (number, says) in says.into_iter().enumerate() {
                self.nodes[(at + number) % self.nodes.len()]
                    .apply_heartbeat(says);
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Starts one replica, which restarts after each crash.
    fn start_replica(self: &Arc<Shared>) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        tokio::spawn(self.clone().run(listener));
    }

    /// Starts an incarnation at this address, and returns its id. It belongs
    /// to the replica of the incarnation `before` if there is one.
    fn start_incarnation(
        &self,
        address: SocketAddr,
        before: Option<&str>,
    ) -> String {
        let number = self.started.fetch_add(1, Ordering::Relaxed) as u64;
        let replica = before.map(replica_of).map(str::to_owned);
        let replica = replica.unwrap_or_else(|| format!("r{number}"));
        let born = match self.after_crash {
            AfterCrash::Returns | AfterCrash::ReturnsBehindRelay => {
                1_000 + number
            }
            _ => 0,
        };
        let id = incarnation_id(&replica, born);
        let says = Sighting { born, ..sighting(&id, address, 0) };
        self.live.lock().unwrap().push((says, 0));
        id
    }

    fn record_crash(&self, head: &str) {
        let path = head.split_whitespace().nth(1).unwrap_or_default();
        let crash = (path.to_owned(), Instant::now());
        self.crashes.lock().unwrap().push(crash);
    }

    /// Crashes a replica.
    fn crash(
        &self,
        id: &str,
        is_down: &AtomicBool,
        connections: &mut JoinSet<()>,
    ) {
        self.crash_count.fetch_add(1, Ordering::Relaxed);
        is_down.store(true, Ordering::Relaxed);
        let mut live = self.live.lock().unwrap();
        live.retain(|(says, _)| says.id != id);
        if self.after_crash != AfterCrash::Silent {
            connections.abort_all();
        }
    }

    async fn run(self: Arc<Shared>, listener: TcpListener) {
        let address = listener.local_addr().unwrap();
        let mut id = self.start_incarnation(address, None);
        let (send, mut heads) = mpsc::unbounded_channel();
        let mut connections = JoinSet::new();
        let mut silent = Vec::new();
        let mut relayed = JoinSet::new();
        let is_down = AtomicBool::new(false);
        let mut restart_at: Option<Instant> = None;
        let is_in_outage =
            self.started.load(Ordering::Relaxed).is_multiple_of(2);
        loop {
            let outage = async {
                match is_in_outage {
                    true => self.outage.notified().await,
                    false => std::future::pending().await,
                }
            };
            let restart = async {
                match restart_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                Ok((stream, _)) = listener.accept() => {
                    match (is_down.load(Ordering::Relaxed), self.after_crash) {
                        (true, AfterCrash::Silent) => silent.push(stream),
                        (true, AfterCrash::ReturnsBehindRelay) => {
                            relayed.spawn(read_and_close(stream));
                        }
                        (true, AfterCrash::Resets) => {
                            stream.set_zero_linger().unwrap();
                        }
                        (true, _) => drop(stream),
                        (false, _) => {
                            let send = send.clone();
                            connections.spawn(async move {
                                serve(stream, &send, &respond).await;
                            });
                        }
                    }
                }
                Some(head) = heads.recv() => {
                    if !is_fatal(&head) {
                        continue;
                    }
                    self.record_crash(&head);
                    // By now the head of the response has been sent.
                    sleep(Duration::from_millis(20)).await;
                    self.crash(&id, &is_down, &mut connections);
                    restart_at = Some(Instant::now() + DOWNTIME);
                }
                () = outage => {
                    self.crash(&id, &is_down, &mut connections);
                    restart_at = Some(Instant::now() + DOWNTIME);
                }
                () = restart => {
                    restart_at = None;
                    connections.abort_all();
                    relayed.abort_all();
                    silent.clear();
                    is_down.store(false, Ordering::Relaxed);
                    let keeps_id = matches!(
                        self.after_crash,
                        AfterCrash::Returns | AfterCrash::ReturnsBehindRelay
                    );
                    let before = keeps_id.then(|| id.clone());
                    id = self.start_incarnation(address, before.as_deref());
                }
            }
        }
    }
}

/// Reads a request and closes the connection.
async fn read_and_close(mut stream: TcpStream) {
    let mut read = [0; 4096];
    let _ = stream.read(&mut read).await;
}

fn is_fatal(head: &str) -> bool {
    head.contains(FATAL) || head.contains(&format!("{CRASHING_PART}:"))
}

fn respond(head: &str) -> Vec<String> {
    let plain = |events: &str| {
        let head = "HTTP/1.1 200 OK\r\n\r\n".to_owned();
        vec![head, events.to_owned(), WAIT.to_owned()]
    };
    if is_fatal(head) && head.contains(PLAIN) {
        let mut pieces = plain("id: 1\nda");
        pieces.push(HANG.to_owned());
        return pieces;
    }
    if is_fatal(head) {
        // Only the head of a stream is sent.
        let mut pieces = events(1..=1);
        pieces.truncate(1);
        pieces.push(HANG.to_owned());
        return pieces;
    }
    if head.contains(PLAIN) {
        let mut pieces = plain("id: 1\ndata: piece 1\n\n");
        pieces.push("id: 2\ndata: piece 2\n\n".to_owned());
        pieces.push(CLOSE.to_owned());
        return pieces;
    }
    if head.contains(SLOW) {
        let mut pieces = ended(events(1..=3));
        pieces.insert(2, WAIT.to_owned());
        return pieces;
    }
    if head.contains(BREAKS) {
        return vec![CLOSE.to_owned()];
    }
    ok("fine")
}

/// Several nodes, and a service whose replicas crash.
pub struct Service {
    _site: Site,
    pub shared: Arc<Shared>,
}

impl Service {
    async fn open(replicas: usize, after_crash: AfterCrash) -> Service {
        Service::open_with_others(0, replicas, after_crash).await
    }

    /// Opens a service with `others` nodes besides the three that have a disk.
    pub async fn open_with_others(
        others: usize,
        replicas: usize,
        after_crash: AfterCrash,
    ) -> Service {
        let site = Site::open(3, others).await;
        apply_plan(site.node(0), 1).await;
        site.wait_until_all_serve().await;
        let shared = Arc::new(Shared {
            after_crash,
            nodes: site.nodes().cloned().collect(),
            live: Mutex::default(),
            started: AtomicUsize::new(0),
            crash_count: AtomicUsize::new(0),
            crashes: Mutex::default(),
            outage: Notify::new(),
        });
        for _ in 0..replicas {
            shared.start_replica();
        }
        tokio::spawn(shared.clone().send_heartbeats());
        sleep(Duration::from_millis(700)).await;
        Service { _site: site, shared }
    }

    /// Sends a request with this id to a node; returns an empty response if
    /// the caller gives up.
    async fn send(&self, at: usize, id: usize, body: &str) -> String {
        self.send_to("/resume/x", at, id, body).await
    }

    async fn send_to(
        &self,
        path: &str,
        at: usize,
        id: usize,
        body: &str,
    ) -> String {
        let nodes = &self.shared.nodes;
        let front = nodes[at % nodes.len()].front().unwrap();
        let answer =
            timeout(CALLER_TIMEOUT, post(front, path, id, body)).await;
        answer.unwrap_or_default()
    }

    fn crash_count(&self) -> usize {
        self.shared.crash_count.load(Ordering::Relaxed)
    }

    /// Sends a request to the nodes in turn until it has crashed three
    /// replicas, and for some more rounds after the propagation delay; returns
    /// how many replicas crash in these.
    async fn crashes_after_limit(&self, body: &str) -> usize {
        let crash = async {
            for id in 0.. {
                if self.crash_count() >= MAX_CRASHES {
                    return;
                }
                self.send(id, id, body).await;
            }
        };
        timeout(CRASH_TIMEOUT, crash)
            .await
            .expect("fewer than three replicas have crashed");
        sleep(MAX_PROPAGATION_DELAY).await;
        let before = self.crash_count();
        for id in 100..109 {
            self.send(id, id, body).await;
        }
        self.crash_count() - before
    }
}

async fn assert_crashes_are_detected(after_crash: AfterCrash) {
    let service = Service::open(8, after_crash).await;
    let further = service.crashes_after_limit(FATAL).await;
    assert!(
        further <= MAX_CRASHES,
        "{after_crash:?}: {further} more replicas have crashed"
    );
    let answer = service.send(0, 200, FATAL).await;
    assert_eq!(status(&answer), "503", "{after_crash:?}: {answer}");
    // Other requests are served.
    let answer = service.send(1, 201, "harmless").await;
    assert_eq!(status(&answer), "200", "{after_crash:?}: {answer}");
}

/// Guards against crashes that are not detected because a relay in front of
/// the replicas, or a host that takes over their port, accepts connections
/// while they are down and closes them. A crash was recorded only if a new
/// connection was refused. A request that crashes each replica that runs it
/// then crashed one after the other for as long as it was sent, and half as
/// many harmless requests were served.
#[tokio::test]
async fn crashes_behind_a_relay_that_closes_connections_are_detected() {
    assert_crashes_are_detected(AfterCrash::Closes).await;
}

/// Guards against the same fault behind a relay that resets connections.
#[tokio::test]
async fn crashes_behind_a_relay_that_resets_connections_are_detected() {
    assert_crashes_are_detected(AfterCrash::Resets).await;
}

/// Guards against the same fault when VMs lose power together with their
/// replicas. No connection breaks, and a replica that sends nothing was taken
/// to be working.
#[tokio::test]
async fn replicas_that_go_dark_are_seen_to_end() {
    assert_crashes_are_detected(AfterCrash::Silent).await;
}

/// Guards against the same fault when replicas return under their ids. The
/// heartbeats of the new incarnation were not taken as evidence that the
/// former one had crashed.
#[tokio::test]
async fn crashes_of_replicas_that_return_under_their_ids_are_detected() {
    assert_crashes_are_detected(AfterCrash::Returns).await;
}

/// Guards against the quarantine of a request because live replicas lose some
/// of their responses. Each of many replicas closes the connection while it
/// runs the same request, and resets new connections as it has too many. A
/// broken connection together with a failed new one was taken for a crash,
/// even if the replica's heartbeats went on.
#[tokio::test]
async fn replicas_that_still_send_heartbeats_have_not_crashed() {
    let service = Service::open(8, AfterCrash::Closes).await;
    for id in 0..12 {
        service.send(id, id, BREAKS).await;
        sleep(Duration::from_millis(400)).await;
    }
    sleep(MAX_PROPAGATION_DELAY).await;
    let answer = service.send(0, 300, BREAKS).await;
    assert_ne!(status(&answer), "503", "{answer}");
}

/// Number of callers, which all send the same request.
const CALLERS: usize = 16;
/// Time for which callers send requests before half of the replicas crash.
const TIME_BEFORE_OUTAGE: Duration = Duration::from_millis(2000);
/// Time for which they send requests after that.
const TIME_AFTER_OUTAGE: Duration = Duration::from_millis(7000);
/// Ratio of requests in the last half of that time that have to be served.
const MIN_SERVED_RATIO: f64 = 0.98;

/// The request that all callers send, and the pause of each between requests.
#[derive(Clone, Copy)]
struct Load {
    path: &'static str,
    body: &'static str,
    pause: Duration,
}

/// Streams that take a while, sent without a pause.
const STREAMS: Load =
    Load { path: "/resume/x", body: SLOW, pause: Duration::ZERO };
/// Requests that are answered at once, so that hardly any is in flight.
const SHORT: Load =
    Load { path: "/again/x", body: "x", pause: Duration::from_millis(250) };

/// Crashes half of all replicas at once while all callers send the same
/// request; returns the ratio of requests served once the replicas are back.
async fn served_ratio_after_outage(
    after_crash: AfterCrash,
    load: Load,
) -> f64 {
    let service =
        Arc::new(Service::open_with_others(3, 12, after_crash).await);
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let service = service.clone();
        callers.spawn(async move {
            let mut answers = Vec::new();
            for turn in 0.. {
                if began.elapsed() > TIME_BEFORE_OUTAGE + TIME_AFTER_OUTAGE {
                    break;
                }
                let id = caller * 10_000 + turn;
                let answer =
                    service.send_to(load.path, id, id, load.body).await;
                answers.push((began.elapsed(), status(&answer) == "200"));
                if status(&answer) != "200" {
                    sleep(Duration::from_millis(100)).await;
                }
                sleep(load.pause).await;
            }
            answers
        });
    }
    sleep(TIME_BEFORE_OUTAGE).await;
    service.shared.outage.notify_waiters();
    let answers: Vec<(Duration, bool)> =
        callers.join_all().await.into_iter().flatten().collect();
    let last = answers.iter().filter(|answer| {
        answer.0 > TIME_BEFORE_OUTAGE + TIME_AFTER_OUTAGE / 2
    });
    let last: Vec<bool> = last.map(|answer| answer.1).collect();
    let served = last.iter().filter(|is_served| **is_served).count();
    served as f64 / last.len() as f64
}

/// Guards against harmless requests that are refused after an outage of half
/// of the replicas, behind relays that close connections while replicas are
/// down.
#[tokio::test]
async fn an_outage_behind_relays_quarantines_no_request() {
    let served = served_ratio_after_outage(AfterCrash::Closes, STREAMS).await;
    assert!(served >= MIN_SERVED_RATIO, "{served}");
}

/// Guards against the same fault when replicas return under their ids.
#[tokio::test]
async fn an_outage_of_replicas_that_return_quarantines_no_request() {
    let served = served_ratio_after_outage(AfterCrash::Returns, STREAMS).await;
    assert!(served >= MIN_SERVED_RATIO, "{served}");
}

/// Guards against the same fault when VMs lose power.
#[tokio::test]
async fn an_outage_of_vms_that_lose_power_quarantines_no_request() {
    let served = served_ratio_after_outage(AfterCrash::Silent, STREAMS).await;
    assert!(served >= MIN_SERVED_RATIO, "{served}");
}

/// Guards against short requests that are refused after an outage because each
/// attempt at a replica that was already down counted as in flight at its
/// crash.
#[tokio::test]
async fn an_outage_behind_relays_that_read_requests_quarantines_none() {
    let served =
        served_ratio_after_outage(AfterCrash::ReturnsBehindRelay, SHORT).await;
    assert!(served >= MIN_SERVED_RATIO, "{served}");
}

/// Guards against requests that crash replicas concurrently and are
/// quarantined late, because the crashes by one made those by another look
/// like an outage.
#[tokio::test]
async fn requests_that_crash_replicas_concurrently_are_quarantined_in_time() {
    let paths =
        ["/resume/fatal", "/stream/fatal", "/once/fatal", "/again/fatal"];
    let service = Arc::new(
        Service::open_with_others(3, 12, AfterCrash::ReturnsBehindRelay).await,
    );
    let mut callers = JoinSet::new();
    let until = Instant::now() + Duration::from_secs(9);
    for (caller, path) in paths.into_iter().enumerate() {
        let service = service.clone();
        callers.spawn(async move {
            for id in (1000 * caller).. {
                if Instant::now() > until {
                    break;
                }
                service.send_to(path, id, id, "x").await;
                sleep(Duration::from_millis(250)).await;
            }
        });
    }
    callers.join_all().await;
    let crashes = service.shared.crashes.lock().unwrap();
    for path in paths {
        let own = crashes.iter().filter(|crash| crash.0 == path);
        let own: Vec<Instant> = own.map(|crash| crash.1).collect();
        // A request that was also in flight at another one's crash is
        // quarantined sooner.
        let known_at = own
            .get(MAX_CRASHES - 1)
            .map(|third| *third + MAX_PROPAGATION_DELAY);
        let is_late =
            |at: &&Instant| known_at.is_some_and(|known| **at > known);
        let late = own.iter().filter(is_late).count();
        assert!(late <= MAX_CRASHES, "{path}: {late} of {}", own.len());
    }
}
