//! Helpers for gateway tests: TCP callers, TCP replicas, and a test platform.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use azuremount::{
    decide::{quota::Tolerance, retry::Bound},
    duty::{self, Cloud, FencingToken, Order},
    gateway::{
        self, Admission, UsageWindow,
        dialect::{
            AnswerInfo, AttemptInfo, Backoff, Dialect, Limit, RequestInfo,
        },
        plan::{
            Draft, Invalid, Limits, Quota, RetryPolicy, Route, Service, Team,
        },
    },
    node,
    wire::{Gossip, Peer, RecordUsage, Sighting},
};
use http::{HeaderMap, HeaderValue, StatusCode};
use prost::Message;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
    time::{sleep, timeout},
};

/// Timeout of waits in tests, far longer than any wait of a passing test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two reports of a stand-in for a node.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Path at which replicas answer probes.
pub const PROBE_PATH: &str = "/health";

/// A dialect with test-only header names.
pub struct TestDialect;

impl Dialect for TestDialect {
    fn parse_request(&self, headers: &HeaderMap) -> RequestInfo {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        RequestInfo {
            id: headers.get("id").cloned(),
            deadline_ms: text("deadline").and_then(|ms| ms.parse().ok()),
            key: text("key").map(str::to_owned),
            tokens: text("tokens")
                .and_then(|count| Some((count.parse().ok()?, 0))),
            parts: text("parts").map(parse_parts).unwrap_or_default(),
            last_event: text("last").and_then(|id| id.parse().ok()),
            resumes: text("resumes").map(str::to_owned),
        }
    }

    fn set_headers(
        &self,
        headers: &mut HeaderMap,
        attempt_info: &AttemptInfo<'_>,
    ) {
        headers.remove("key");
        headers.remove("team");
        let mut set = |name, value: &str| {
            headers.insert(name, HeaderValue::from_str(value).unwrap());
        };
        set("replica", attempt_info.replica);
        if let Some(team) = attempt_info.team {
            set("team", team);
        }
        if let Some(last) = attempt_info.last_event {
            set("last", &last.to_string());
        }
    }

    fn parse_answer(
        &self,
        request_id: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerInfo {
        let echoed = headers.get("id");
        AnswerInfo {
            not_run: headers.contains_key("not-run"),
            wrong_replica: status == StatusCode::MISDIRECTED_REQUEST,
            matches: echoed.is_none() || echoed == request_id,
            is_sealed: headers.contains_key("seal"),
            load: None,
            work_time: headers
                .get("work-time")
                .and_then(|time| time.to_str().ok()?.parse().ok()),
            keep_ms: None,
            limit: match headers.get("limit") {
                Some(rate) => {
                    Limit::PerSecond(rate.to_str().unwrap().parse().unwrap())
                }
                None => Limit::None,
            },
            backoff: Backoff::parse(status, headers),
            is_leaving: headers.contains_key("leaving"),
            brittle: match headers.get("brittle") {
                Some(rate) => {
                    Limit::PerSecond(rate.to_str().unwrap().parse().unwrap())
                }
                None => Limit::None,
            },
        }
    }
}

/// Parses the parts of a prompt, such as "7:900,8:600" (id and tokens).
fn parse_parts(text: &str) -> Vec<(u64, u32)> {
    let pairs = text.split(',').filter_map(|part| part.split_once(':'));
    pairs.map(|(id, n)| (id.parse().unwrap(), n.parse().unwrap())).collect()
}

/// A platform that accepts every call.
pub struct NullCloud;

#[tonic::async_trait]
impl Cloud for NullCloud {
    async fn report(
        &self,
        _: &FencingToken,
        _: &RecordUsage,
    ) -> Result<(), duty::Error> {
        Ok(())
    }

    async fn order(
        &self,
        _: &FencingToken,
        _: &Order,
    ) -> Result<(), duty::Error> {
        Ok(())
    }
}

/// Version of the plan whose routes allow three attempts, and not two.
pub const MORE_ATTEMPTS: u64 = 900;

/// Returns a plan with a route for each kind of request, all to one service.
pub fn draft(version: u64) -> Draft {
    let route = |prefix: &str, retry_policy| Route {
        name: prefix.to_owned(),
        host: "here".to_owned(),
        prefix: prefix.to_owned(),
        retry_policy,
        timeout_ms: 15_000,
        target_ms: 1000,
        priority: 0,
        split: vec![("app".to_owned(), 1)],
        max_attempts: if version == MORE_ATTEMPTS { 3 } else { 2 },
        public: prefix != "/team/",
    };
    Draft {
        version,
        routes: vec![
            route("/again/", RetryPolicy::Idempotent),
            route("/once/", RetryPolicy::Once),
            route("/stream/", RetryPolicy::Stream),
            route("/resume/", RetryPolicy::Resumable),
            route("/team/", RetryPolicy::Idempotent),
        ],
        services: vec![Service {
            name: "app".to_owned(),
            max_connections: 0,
            max_batch: None,
            cache_tokens: 0,
            tokens_per_event: 1,
            fetch_ms: None,
            probe_path: Some(PROBE_PATH.to_owned()),
            scaling: None,
        }],
        teams: vec![Team {
            name: "blue".to_owned(),
            keys: vec!["sesame".to_owned()],
            priority: None,
            quota: Some(Quota { rate: 1, burst: 3, default_tokens: None }),
        }],
        limits: Limits {
            max_head_bytes: 8192,
            max_body_bytes: 10_000,
            head_timeout_ms: 400,
            idle_timeout_ms: 1500,
        },
    }
}

/// Parses a plan, whose text in these tests is only its version number.
pub fn read_plan(bytes: &[u8]) -> Result<Draft, Invalid> {
    let text = std::str::from_utf8(bytes).map_err(Invalid::unreadable)?;
    text.parse().map(draft).map_err(Invalid::unreadable)
}

/// Returns the options of a node on the given loopback address.
pub fn options(ip: Ipv4Addr, port: u16, seeds: &[Ipv4Addr]) -> node::Options {
    node::Options {
        front: SocketAddrV4::new(ip, 0),
        peer_address: SocketAddrV4::new(ip, port),
        seeds: seeds.to_vec(),
        data_centre: "one".to_owned(),
        folder: None,
        founds: false,
        is_first_start: false,
        survivable_disk_losses: 0,
        link_mbps: 0,
        gateway: gateway::Options {
            data_centre: "one".to_owned(),
            retry_bound: Bound { ratio: 0.2, slack: 20.0, window_ms: 10_000 },
            tolerance: Tolerance {
                fraction: 0.0,
                units: 0.0,
                window_ms: 8000.0,
            },
            usage_window: UsageWindow { length_ms: 5000 },
            body_memory: 30 * 1024,
            rollouts: None,
            admission: Admission::Off,
            replica_speed: azuremount::decide::speed::Switch::Auto,
        },
        duties: duty::Options {
            holder: ip.to_string(),
            lease_ms: 1000,
            window_ms: 5000,
            reports_usage: false,
            orders_replicas: false,
        },
        dialect: Arc::new(TestDialect),
        read_plan,
        cloud: Arc::new(NullCloud),
    }
}

/// A temporary folder that is removed when dropped.
pub struct TempFolder(pub std::path::PathBuf);

impl TempFolder {
    pub fn new() -> TempFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("azuremount-{}-{number}", std::process::id());
        TempFolder(std::env::temp_dir().join(name))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A single node with a plan and the given replicas.
pub struct TestNode {
    pub node: node::Handle,
    pub front: SocketAddr,
    _folder: TempFolder,
}

impl TestNode {
    pub async fn open(replicas: &[(&str, SocketAddr)]) -> TestNode {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::from(0x7f4d_0000 + number);
        let folder = TempFolder::new();
        let options = node::Options {
            folder: Some(folder.0.clone()),
            founds: true,
            is_first_start: true,
            ..options(ip, 7700, &[ip])
        };
        let node = node::spawn(options).await.unwrap();
        apply_plan(&node, 1).await;
        while !node.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
        for (id, address) in replicas {
            node.apply_heartbeat(sighting(id, *address, 0));
        }
        let front = node.front().unwrap();
        TestNode { node, front, _folder: folder }
    }

    /// Sends bytes on a new connection and reads the answer, until it is
    /// complete or the server closes the connection.
    pub async fn exchange(&self, bytes: &str) -> String {
        let mut stream = TcpStream::connect(self.front).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        read_answer(&mut stream).await
    }

    pub async fn get(&self, path: &str) -> String {
        self.exchange(&format!("GET {path} HTTP/1.1\r\nHost: here\r\n\r\n"))
            .await
    }
}

/// Sends reports of a node that serves at `at` to another node, and nothing
/// else, until the task is aborted. `plan_version` returns the version of its
/// plan.
pub async fn report_node(
    at: SocketAddrV4,
    to: Ipv4Addr,
    plan_version: impl Fn() -> u64,
) {
    let socket = UdpSocket::bind(at).await.unwrap();
    let mut peer = Peer {
        ip: (*at.ip()).into(),
        incarnation: 1,
        data_centre: "one".to_owned(),
        serving: true,
        keeps_origins: true,
        ..Peer::default()
    };
    loop {
        peer.beat += 1;
        peer.plan_version = plan_version();
        let gossip = Gossip { from: Some(peer.clone()), ..Gossip::default() };
        let to = (to, at.port());
        let _ = socket.send_to(&gossip.encode_to_vec(), to).await;
        sleep(REPORT_INTERVAL).await;
    }
}

/// Sends a request with the given id to a node, on a new connection.
pub async fn post(
    front: SocketAddr,
    path: &str,
    id: usize,
    body: &str,
) -> String {
    post_prompt(front, path, id, "", body).await
}

/// Sends a request whose prompt is made of these parts, such as "7:900,8:600".
pub async fn post_prompt(
    front: SocketAddr,
    path: &str,
    id: usize,
    parts: &str,
    body: &str,
) -> String {
    let mut client = TcpStream::connect(front).await.unwrap();
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: here\r\nId: {id}\r\n\
         Parts: {parts}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    client.write_all(request.as_bytes()).await.unwrap();
    read_answer(&mut client).await
}

/// Applies a plan, retrying until the first leader is elected.
pub async fn apply_plan(node: &node::Handle, version: u64) {
    let put = async {
        while node.put_plan(version.to_string().as_bytes()).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, put).await.expect("no node accepted the plan");
}

pub fn sighting(id: &str, address: SocketAddr, state: u32) -> Sighting {
    let SocketAddr::V4(address) = address else { panic!("IPv4 only") };
    Sighting {
        id: id.to_owned(),
        service: "app".to_owned(),
        ip: (*address.ip()).into(),
        port: address.port().into(),
        data_centre: "one".to_owned(),
        slots: 8,
        state,
        sequence: 1,
        version: "v1".to_owned(),
        ..Sighting::default()
    }
}

/// Reads an answer until its length or last chunk shows that it is complete,
/// or until the connection closes.
pub async fn read_answer(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    let done = async {
        loop {
            let text = String::from_utf8_lossy(&read).into_owned();
            if is_whole(&text) {
                return text;
            }
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return text,
                Ok(count) => read.extend_from_slice(&buffer[..count]),
            }
        }
    };
    timeout(TEST_TIMEOUT, done)
        .await
        .expect("no complete answer, and the connection is still open")
}

pub fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

/// A replica that passes each request to the test and answers with the pieces
/// that `respond` returns for it. No pieces close the connection.
pub struct Replica {
    pub address: SocketAddr,
    heads: mpsc::UnboundedReceiver<String>,
    /// Number of closed connections.
    pub closed: Arc<AtomicUsize>,
}

impl Replica {
    pub async fn spawn(
        respond: impl Fn(&str) -> Vec<String> + Send + Sync + 'static,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (send, heads) = mpsc::unbounded_channel();
        let closed = Arc::new(AtomicUsize::new(0));
        let respond = Arc::new(respond);
        let count = closed.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (send, respond) = (send.clone(), respond.clone());
                let count = count.clone();
                tokio::spawn(async move {
                    serve(stream, &send, &*respond).await;
                    count.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        Replica { address, heads, closed }
    }

    /// Returns the requests received since the last call.
    pub fn seen(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.heads.try_recv().ok()).collect()
    }

    pub async fn next(&mut self) -> String {
        let next = timeout(TEST_TIMEOUT, self.heads.recv()).await;
        next.expect("no request arrived").unwrap()
    }
}

pub async fn serve(
    mut stream: TcpStream,
    send: &mpsc::UnboundedSender<String>,
    respond: &(dyn Fn(&str) -> Vec<String> + Send + Sync),
) {
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        while !is_request(&read) {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => read.extend_from_slice(&buffer[..count]),
            }
        }
        let text = String::from_utf8_lossy(&read).into_owned();
        read.clear();
        if text.starts_with(&format!("GET {PROBE_PATH} ")) {
            if stream.write_all(ok("")[0].as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let _ = send.send(text.clone());
        let pieces = respond(&text);
        if pieces.is_empty() {
            return;
        }
        for piece in pieces {
            match piece.as_str() {
                CLOSE => return,
                WAIT => sleep(Duration::from_millis(300)).await,
                // Sends nothing until the other end closes the connection.
                HANG => {
                    let _ = stream.read(&mut buffer).await;
                    return;
                }
                _ => {
                    if stream.write_all(piece.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

pub const CLOSE: &str = "(close)";
pub const HANG: &str = "(hang)";
pub const WAIT: &str = "(wait)";

pub fn is_request(read: &[u8]) -> bool {
    let text = String::from_utf8_lossy(read);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
    body.len() >= length.unwrap_or(0)
}

pub fn ok(body: &str) -> Vec<String> {
    let length = body.len();
    vec![format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")]
}

pub fn full() -> Vec<String> {
    vec!["HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n".into()]
}

/// Returns a chunked stream of the events `ids`, without the last chunk.
pub fn events(ids: std::ops::RangeInclusive<u64>) -> Vec<String> {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut pieces = vec![head.to_owned()];
    pieces.extend(ids.map(|id| {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    }));
    pieces
}

pub fn ended(mut pieces: Vec<String>) -> Vec<String> {
    pieces.push("0\r\n\r\n".to_owned());
    pieces
}

pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("no answer")
}

/// Returns the ids of the events in an answer, in order.
pub fn ids(answer: &str) -> Vec<u64> {
    let lines = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}
