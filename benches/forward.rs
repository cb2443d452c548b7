//! Benchmarks forwarding by an entry against a pass-through proxy and direct
//! calls.
//!
//! ```text
//! cargo bench --bench forward [seconds]
//! ```
//!
//! The pass-through is a minimal proxy made of the same libraries: `xitca-web`
//! as the server and a pooled `hyper-util` client, without any routing. It
//! runs in its own process, with as many threads as the entry. Small answers
//! come from a plain service, and streams of 500 pieces from an engine without
//! delay.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;
#[path = "../tests/all/relay.rs"]
#[allow(dead_code)]
mod relay;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use azuremount::http_server::{self, Payload, Piece, Response};
use bytes::Bytes;
use cluster::{Cluster, ClusterSpec};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;

const BASE: &str = r#"
[system]
name = "bench"
[data_centres.a]
region = "r"
[teams.red]
[services.model]
kind = "model"
slots = 1000
queue = 1000
[services.alerts]
kind = "plain"
repeatable = true
slots = 1000
queue = 1000
"#;

type Pool = Client<HttpConnector, Full<Bytes>>;

fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(1024)
        .build(connector)
}

/// Runs the pass-through's process.
async fn pass_through(target: SocketAddr) {
    let client = pool();
    let server = http_server::spawn(
        SocketAddr::from(([127, 0, 0, 1], 0)),
        2,
        move |request| {
            let client = client.clone();
            async move { proxy(&client, target, request).await }
        },
    );
    let server = server.expect("the pass-through can't listen");
    println!("listening {}", server.address());
    std::future::pending::<()>().await;
}

async fn proxy(
    client: &Pool,
    target: SocketAddr,
    request: http_server::Request,
) -> Response {
    let uri = format!("http://{target}{}", request.uri.path());
    let mut out = Request::builder()
        .method(request.method)
        .uri(uri)
        .body(Full::new(request.body))
        .expect("a request");
    *out.headers_mut() = request.headers;
    out.headers_mut().remove("content-length");
    out.headers_mut().remove("host");
    let answer = client.request(out).await.expect("an answer");
    let status = answer.status();
    let streams = answer
        .headers()
        .get("content-type")
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    let mut body = answer.into_body();
    if !streams {
        let whole = body.collect().await.expect("a body").to_bytes();
        return Response::bytes(status, "application/json", whole);
    }
    let (send, pieces) = tokio::sync::mpsc::channel(64);
    tokio::spawn(async move {
        while let Some(Ok(frame)) = body.frame().await {
            if let Ok(data) = frame.into_data()
                && send.send(Piece::Data(data)).await.is_err()
            {
                return;
            }
        }
        let _ = send.send(Piece::End).await;
    });
    let mut response =
        Response::bytes(status, "text/event-stream", Bytes::new());
    response.body = Payload::Stream(pieces);
    response
}

struct PassThrough(Child);

impl Drop for PassThrough {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_pass_through(target: SocketAddr) -> (PassThrough, SocketAddr) {
    let program =
        std::env::current_exe().expect("the path of this program is unknown");
    let mut child = Command::new(program)
        .args(["pass-through", &target.to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the pass-through can't start");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("output");
    BufReader::new(stdout).read_line(&mut line).expect("a line");
    let address = line.trim().trim_start_matches("listening ").parse();
    (PassThrough(child), address.expect("an address"))
}

#[derive(Clone)]
struct Target {
    address: SocketAddr,
    path: &'static str,
    body: String,
}

async fn measure(
    target: &Target,
    connections: usize,
    duration: Duration,
) -> (f64, f64, f64) {
    let client = pool();
    let stop = Arc::new(AtomicBool::new(false));
    let all_latencies_ms = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let tasks: Vec<_> = (0..connections)
        .map(|_| {
            let (client, target) = (client.clone(), target.clone());
            let (stop, all_latencies_ms) =
                (stop.clone(), all_latencies_ms.clone());
            tokio::spawn(async move {
                let mut latencies_ms = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let began = Instant::now();
                    call(&client, &target).await;
                    latencies_ms.push(began.elapsed().as_secs_f64() * 1e3);
                }
                all_latencies_ms.lock().expect("times").extend(latencies_ms);
            })
        })
        .collect();
    tokio::time::sleep(duration).await;
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        let _ = task.await;
    }
    let elapsed_s = began.elapsed().as_secs_f64();
    let mut all_latencies_ms = all_latencies_ms.lock().expect("times");
    all_latencies_ms.sort_by(f64::total_cmp);
    let percentile = |percent: usize| {
        all_latencies_ms
            .get(all_latencies_ms.len() * percent / 100)
            .copied()
            .unwrap_or(0.0)
    };
    (all_latencies_ms.len() as f64 / elapsed_s, percentile(50), percentile(99))
}

async fn call(client: &Pool, target: &Target) {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{}", target.address, target.path))
        .header("azuremount-team", "red")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(target.body.clone())))
        .expect("a request");
    let answer = client.request(request).await.expect("an answer");
    assert!(answer.status().is_success(), "{}", answer.status());
    answer.into_body().collect().await.expect("a whole answer");
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().map(String::as_str) == Some("pass-through") {
        let target = arguments[1].parse().expect("an address");
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(pass_through(target));
        return;
    }
    let seconds = arguments
        .iter()
        .find_map(|argument| argument.parse().ok())
        .unwrap_or(5);
    let duration = Duration::from_secs(seconds);
    let flags = ["--slots", "1000", "--piece-ms", "0", "--prefill-us", "0"]
        .map(str::to_owned)
        .to_vec();
    let mut cluster = Cluster::open(ClusterSpec {
        controls: 1,
        entries: 1,
        models: 1,
        plains: 1,
        base: BASE.to_owned(),
        sites: vec!["a".to_owned()],
        control_flags: Vec::new(),
        model_flags: flags.clone(),
        plain_flags: flags,
        relay_endpoints: false,
    });
    cluster.apply_first();
    cluster.wait("endpoints", |cluster| {
        let status = cluster.status();
        status.endpoints.len() == 2 && status.entries.len() == 1
    });
    let stream = json!({
        "model": "model", "stream": true, "max_tokens": 500,
        "messages": [{ "role": "user", "content": "x" }],
    })
    .to_string();
    println!(
        "{:8} {:>5} {:12} {:>10} {:>9} {:>9}",
        "answers", "conns", "through", "requests/s", "p50 ms", "p99 ms"
    );
    for (kind, endpoint, direct, through, body) in [
        ("small", "p1", "/send", "/v1/services/alerts/send", "x".to_owned()),
        (
            "stream",
            "m1",
            "/v1/chat/completions",
            "/v1/chat/completions",
            stream,
        ),
    ] {
        let target = cluster.address(endpoint);
        let (_pass_through, pass_through_address) = start_pass_through(target);
        for connections in [8, 256] {
            for (name, address, path) in [
                ("direct", target, direct),
                ("pass-through", pass_through_address, direct),
                ("entry", cluster.address("e1"), through),
            ] {
                let target = Target { address, path, body: body.clone() };
                let (rate, p50, p99) = cluster.runtime.block_on(measure(
                    &target,
                    connections,
                    duration,
                ));
                println!(
                    "{kind:8} {connections:5} {name:12} {rate:10.0} \
                     {p50:9.2} {p99:9.2}"
                );
            }
        }
    }
}
