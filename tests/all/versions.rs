//! Streams of replicas whose software versions differ, while callers and nodes
//! resume them.
//!
//! Each event names the version of the replica that made it.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use azuremount::{node, wire::Sighting};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    nodes::Site,
    partition::{Mode, Network},
    world::{
        CLOSE, Replica, TEST_TIMEOUT, TestNode, WAIT, apply_plan, sighting,
        status,
    },
};

/// Software versions of the replicas, two replicas each.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
/// Replicas of the service.
const REPLICAS: usize = 2 * VERSIONS.len();
/// Number of events in a whole stream.
pub const EVENTS: u64 = 6;
/// Events after which a caller or a replica breaks a stream off.
pub const BROKEN_AFTER: u64 = 2;
/// Streams that each test starts.
const STREAMS: usize = 18;
/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// What a replica does once it has sent [`BROKEN_AFTER`] events of a new
/// stream.
#[derive(Clone, Copy, PartialEq)]
pub enum Break {
    /// Pauses, so that the caller can leave.
    Pause,
    /// Closes the connection.
    Close,
}

fn number_in(head: &str, name: &str) -> Option<u64> {
    let mut lines = head.lines();
    let value = lines.find_map(|line| line.strip_prefix(name))?;
    value.trim().parse().ok()
}

/// Returns the pieces of a stream.
pub fn respond(head: &str, version: &str, how: Break) -> Vec<String> {
    let after = number_in(head, "last: ").unwrap_or(0);
    let mut pieces = vec![
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
    ];
    for id in after + 1..=EVENTS {
        if after == 0 && id == BROKEN_AFTER + 1 {
            pieces.push(WAIT.to_owned());
            if how == Break::Close {
                pieces.push(CLOSE.to_owned());
            }
        }
        let event = format!("id: {id}\ndata: {version}\n\n");
        pieces.push(format!("{:x}\r\n{event}\r\n", event.len()));
    }
    pieces.push("0\r\n\r\n".to_owned());
    pieces
}

/// Nodes before replicas of several versions.
struct Fleet {
    site: Site,
    _replicas: Vec<Replica>,
}

impl Fleet {
    async fn open(nodes: usize, how: Break) -> Fleet {
        let site = Site::open(3, nodes - 3).await;
        apply_plan(site.node(0), 1).await;
        site.wait_until_all_serve().await;
        let mut replicas = Vec::new();
        for number in 0..REPLICAS {
            let version = version_of(number);
            let replica =
                Replica::spawn(move |head| respond(head, version, how)).await;
            replicas.push(replica);
        }
        let nodes: Vec<node::Handle> = site.nodes().cloned().collect();
        let addresses = replicas.iter().map(|replica| replica.address);
        let heartbeats = send_heartbeats(nodes, addresses.collect());
        tokio::spawn(heartbeats);
        sleep(Duration::from_millis(1500)).await;
        Fleet { site, _replicas: replicas }
    }

    fn front(&self, node: usize) -> SocketAddr {
        self.site.node(node).front().unwrap()
    }
}

fn version_of(replica: usize) -> &'static str {
    VERSIONS[replica / 2 % VERSIONS.len()]
}

/// Sends each replica's heartbeats to one node after the other.
async fn send_heartbeats(nodes: Vec<node::Handle>, replicas: Vec<SocketAddr>) {
    for sequence in 1.. {
        for (number, address) in replicas.iter().enumerate() {
            let says = sighting(&format!("r{number}"), *address, 0);
            let version = version_of(number).to_owned();
            nodes[(sequence as usize + number) % nodes.len()]
                .apply_heartbeat(Sighting { sequence, version, ..says });
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// A stream as its caller sees it, over all its attempts.
#[derive(Debug, Default)]
pub struct Stream {
    /// Id of the attempt that brought the first event.
    pub first: Option<usize>,
    pub last: u64,
    pub versions: BTreeSet<String>,
}

/// How an attempt ended.
#[derive(Debug, PartialEq)]
pub enum End {
    Whole,
    Broken,
    Left,
    Refused(String),
}

fn next_id() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

impl Stream {
    /// Sends one attempt to a node, and leaves after the event `until`.
    pub async fn attempt(&mut self, front: SocketAddr, until: u64) -> End {
        let resumes = match self.first {
            Some(id) => format!("Resumes: {id}\r\nLast: {}\r\n", self.last),
            None => String::new(),
        };
        let id = next_id();
        let read = self.read(front, id, &resumes, until);
        timeout(TEST_TIMEOUT, read).await.expect("the stream stands still")
    }

    async fn read(
        &mut self,
        front: SocketAddr,
        id: usize,
        headers: &str,
        until: u64,
    ) -> End {
        let request = format!(
            "POST /resume/x HTTP/1.1\r\nHost: here\r\nId: {id}\r\n{headers}\
             Content-Length: 1\r\n\r\nx"
        );
        let mut connection = TcpStream::connect(front).await.unwrap();
        connection.write_all(request.as_bytes()).await.unwrap();
        let mut text = String::new();
        let mut buffer = [0; 4096];
        loop {
            let count = connection.read(&mut buffer).await.unwrap_or(0);
            text.push_str(&String::from_utf8_lossy(&buffer[..count]));
            let has_head = text.contains("\r\n\r\n");
            if has_head && !text.starts_with("HTTP/1.1 200") {
                return End::Refused(text);
            }
            self.take_events(id, &text);
            if text.ends_with("0\r\n\r\n") {
                return End::Whole;
            }
            if count == 0 {
                return End::Broken;
            }
            if self.last >= until && until < EVENTS {
                return End::Left;
            }
        }
    }

    fn take_events(&mut self, attempt: usize, text: &str) {
        let events = text.split("id: ").skip(1);
        for event in events.filter(|event| event.contains("\n\n")) {
            let mut words = event.split_whitespace();
            let number: u64 = words.next().unwrap().parse().unwrap();
            if number <= self.last {
                continue;
            }
            assert_eq!(number, self.last + 1, "an event is missing: {text}");
            self.last = number;
            self.versions.insert(words.nth(1).unwrap().to_owned());
            self.first.get_or_insert(attempt);
        }
    }

    fn check(&self) {
        assert!(self.versions.len() <= 1, "events of two versions: {self:?}");
    }
}

/// Guards against a stream that a caller resumes at another node and that goes
/// on at a replica of another software version than the one that began it.
#[tokio::test]
async fn a_stream_that_its_caller_resumes_goes_on_at_its_version() {
    let fleet = Fleet::open(4, Break::Pause).await;
    for number in 0..STREAMS {
        let mut stream = Stream::default();
        let left = stream.attempt(fleet.front(number % 4), BROKEN_AFTER).await;
        assert_eq!(left, End::Left);
        let end = stream.attempt(fleet.front((number + 1) % 4), EVENTS).await;
        assert_eq!(end, End::Whole, "{stream:?}");
        stream.check();
    }
}

/// Guards against a stream whose replica breaks it off and that its node
/// resumes at a replica of another software version.
#[tokio::test]
async fn a_stream_that_its_node_resumes_goes_on_at_its_version() {
    let fleet = Fleet::open(3, Break::Close).await;
    let mut resumed = 0;
    for number in 0..STREAMS {
        let mut stream = Stream::default();
        let end = stream.attempt(fleet.front(number % 3), EVENTS).await;
        stream.check();
        resumed += usize::from(end == End::Whole);
    }
    assert!(resumed >= STREAMS * 9 / 10, "{resumed} of {STREAMS} went on");
}

/// Guards against a stream whose version only the node knew that began it:
/// after that node was killed, the stream goes on at another version or is
/// refused.
#[tokio::test]
async fn a_stream_goes_on_at_its_version_after_its_node_was_killed() {
    let mut fleet = Fleet::open(6, Break::Pause).await;
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut stream = Stream::default();
        stream.attempt(fleet.front(5), BROKEN_AFTER).await;
        streams.push(stream);
    }
    fleet.site.stop(5).await;
    let mut resumed = 0;
    for (number, mut stream) in streams.into_iter().enumerate() {
        let end = stream.attempt(fleet.front(number % 5), EVENTS).await;
        stream.check();
        resumed += usize::from(end == End::Whole);
    }
    assert!(resumed >= STREAMS * 9 / 10, "{resumed} of {STREAMS} went on");
}

/// Guards against a stream that changes its version on the way through another
/// node: nodes that can't reach the replicas forward it, before or after it is
/// resumed.
#[tokio::test]
async fn a_forwarded_stream_goes_on_at_its_version() {
    let respond =
        |head: &str, version: &str| respond(head, version, Break::Pause);
    let network = Network::open_with_versions(4, version_of, respond).await;
    network.partition(2, Mode::Reset);
    let front = |node: usize| network.shared.nodes[node].front().unwrap();
    // Finds that the paths of the first two nodes are lost.
    for node in 0..2 {
        Stream::default().attempt(front(node), EVENTS).await;
    }
    sleep(Duration::from_millis(500)).await;
    for number in 0..STREAMS {
        let mut stream = Stream::default();
        let left = stream.attempt(front(number % 4), BROKEN_AFTER).await;
        assert_eq!(left, End::Left, "at node {}", number % 4);
        let end = stream.attempt(front((number + 1) % 4), EVENTS).await;
        assert_eq!(end, End::Whole, "{stream:?}");
        stream.check();
    }
}

/// Guards against a stream that is resumed twice: its second part is known
/// under the id of the first attempt and under its own.
#[tokio::test]
async fn a_stream_that_breaks_again_goes_on_at_its_version() {
    let fleet = Fleet::open(4, Break::Pause).await;
    for number in 0..STREAMS {
        let mut stream = Stream::default();
        stream.attempt(fleet.front(number % 4), BROKEN_AFTER).await;
        let second = next_id();
        let first = stream.first.unwrap();
        let headers = format!("Resumes: {first}\r\nLast: {}\r\n", stream.last);
        let front = fleet.front((number + 1) % 4);
        stream.read(front, second, &headers, BROKEN_AFTER + 1).await;
        // Every other caller names the attempt that broke off last.
        stream.first = Some(if number % 2 == 0 { first } else { second });
        stream.attempt(fleet.front((number + 2) % 4), EVENTS).await;
        assert_eq!(stream.last, EVENTS);
        stream.check();
    }
}

/// Guards against a stream that goes on at another version because its caller
/// names an attempt that brought no event: one that was refused, or one that
/// the caller left at once.
#[tokio::test]
async fn an_attempt_without_events_names_no_other_version() {
    let fleet = Fleet::open(4, Break::Pause).await;
    for number in 0..STREAMS {
        let front = |step: usize| fleet.front((number + step) % 4);
        let mut stream = Stream::default();
        stream.attempt(front(0), BROKEN_AFTER).await;
        let (first, last) = (stream.first.unwrap(), stream.last);
        let refused = next_id();
        let unknown = format!("Resumes: none\r\nLast: {last}\r\n");
        let end = stream.read(front(1), refused, &unknown, EVENTS).await;
        assert!(matches!(end, End::Refused(_)), "{end:?}");
        let left = next_id();
        let known = format!("Resumes: {first}\r\nLast: {last}\r\n");
        let read = stream.read(front(1), left, &known, EVENTS);
        let _ = timeout(Duration::from_millis(5), read).await;
        for attempt in [refused, left] {
            let mut named = Stream {
                first: Some(attempt),
                last: stream.last,
                versions: stream.versions.clone(),
            };
            named.attempt(front(2), EVENTS).await;
            named.check();
        }
        stream.attempt(front(3), EVENTS).await;
        assert_eq!(stream.last, EVENTS);
        stream.check();
    }
}

/// Guards against harm by what callers say of the stream that they resume: an
/// unknown, empty, long or foreign id is refused at once and reaches no
/// replica.
#[tokio::test]
async fn an_unknown_stream_is_not_resumed() {
    let mut replica =
        Replica::spawn(|head| respond(head, "v1", Break::Pause)).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let long = "a".repeat(4000);
    for resumes in ["Resumes: 77\r\n", "Resumes:\r\n", "", &long] {
        let resumes = match resumes.len() > 100 {
            true => format!("Resumes: {resumes}\r\n"),
            false => resumes.to_owned(),
        };
        let request = format!(
            "POST /resume/x HTTP/1.1\r\nHost: here\r\nId: 78\r\n{resumes}\
             Last: 2\r\nContent-Length: 1\r\n\r\nx"
        );
        let answer = world.exchange(&request).await;
        assert_eq!(status(&answer), "503", "{resumes}: {answer}");
        let answer = answer.to_lowercase();
        assert!(answer.contains("retry-after: "), "{answer}");
        assert!(answer.contains("not run"), "{answer}");
    }
    assert_eq!(replica.seen(), Vec::<String>::new());
}

/// Guards against records that are lost while nodes stop one after the other,
/// as the last nodes to have them stop as well.
#[tokio::test]
async fn streams_go_on_after_most_nodes_have_stopped_in_turn() {
    let mut fleet = Fleet::open(4, Break::Pause).await;
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut stream = Stream::default();
        stream.attempt(fleet.front(3), BROKEN_AFTER).await;
        streams.push(stream);
    }
    for node in [3, 2, 1] {
        fleet.site.stop(node).await;
    }
    let mut resumed = 0;
    for mut stream in streams {
        let end = stream.attempt(fleet.front(0), EVENTS).await;
        stream.check();
        resumed += usize::from(end == End::Whole);
    }
    assert!(resumed >= STREAMS * 9 / 10, "{resumed} of {STREAMS} went on");
}
