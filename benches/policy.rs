//! Compares routing policies in one system, on the users' workloads.
//!
//! ```text
//! cargo bench --bench policy -- echipaj|roddur|herd \
//!     [engines entries rate seconds]
//! ```
//!
//! Starts control, entries and stand-in engines as processes. Activates one
//! policy after the other and sends each the same requests at the same times,
//! with different texts, so that no cache helps the next policy. Counts at the
//! engines. Load reports are one second old, and a fifth of the cache events
//! is lost. "recomputed" is the number of computed prompt tokens beyond the
//! first computation of each block on any engine.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;
#[path = "../tests/all/relay.rs"]
#[allow(dead_code)]
mod relay;

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use azuremount::{
    decide::prefix::{BLOCK_TOKENS, hash_blocks},
    entry::dispatch::{Call, Dispatcher},
    wire::{apply_outcome, change, outcome},
};
use cluster::{Cluster, ClusterSpec, Role, TEST_TIMEOUT};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::BodyDataStream;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

const BASE: &str = r#"
[system]
name = "bench"
keep_entries_ms = 500
deadline_ms = 60000
[data_centres.a]
region = "r"
[data_centres.b]
region = "r"
[data_centres.c]
region = "r"
[data_centres.d]
region = "r"
[teams.long]
[teams.short]
[services.model]
kind = "model"
silence_ms = 20000
queue = 64
routing = "POLICY"
recompute_percent = PERCENT
"#;

#[derive(Clone)]
struct Request {
    at: Duration,
    prompt: String,
    tokens: u64,
    is_long: bool,
}

/// Returns a deterministic text of about `tokens` tokens.
fn text(name: &str, tokens: usize) -> String {
    let phrase = format!("{name} ");
    phrase.repeat((tokens * 4).div_ceil(phrase.len()))
}

/// Long contract packets with shared prefixes among short questions.
fn echipaj(policy: &str, rate: f64, seconds: u64) -> Vec<Request> {
    poisson(rate, seconds, |rng| {
        let packet = rng.random_range(0..24);
        if rng.random_range(0..100) < 35 {
            let packet = text(&format!("{policy} packet {packet}"), 4000);
            let question = format!("{packet} line {}", rng.random::<u32>());
            (question, 24, true)
        } else {
            let intro = text(&format!("{policy} intro"), 128);
            let question = format!("{intro} ask {}", rng.random::<u32>());
            (question, 24, false)
        }
    })
}

/// A burst of morning digests on top of questions from classrooms.
fn roddur(policy: &str, rate: f64, seconds: u64) -> Vec<Request> {
    let mut requests = poisson(rate, seconds, |rng| {
        let intro = text(&format!("{policy} school"), 256);
        (format!("{intro} ask {}", rng.random::<u32>()), 24, false)
    });
    let burst = Duration::from_secs(seconds / 3);
    for school in 0..(rate * 4.0) as usize {
        let district = text(&format!("{policy} {}", school % 12), 1500);
        requests.push(Request {
            at: burst + Duration::from_millis(10 * school as u64),
            prompt: format!("{district} school {school}"),
            tokens: 24,
            is_long: true,
        });
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Long answers to short questions with nearly all slots taken: caches do not
/// help, and requests that herd to one engine cost the most.
fn herd(policy: &str, rate: f64, seconds: u64) -> Vec<Request> {
    poisson(rate, seconds, |rng| {
        (format!("{policy} ask {}", rng.random::<u32>()), 100, false)
    })
}

fn poisson(
    rate: f64,
    seconds: u64,
    mut draw_request: impl FnMut(&mut StdRng) -> (String, u64, bool),
) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(42);
    let mut at = 0.0;
    let mut requests = Vec::new();
    while at < seconds as f64 {
        let draw: f64 = rng.random_range(1e-9..1.0);
        at -= draw.ln() / rate;
        let (prompt, tokens, is_long) = draw_request(&mut rng);
        let at = Duration::from_secs_f64(at);
        requests.push(Request { at, prompt, tokens, is_long });
    }
    requests
}

#[derive(Default)]
struct Results {
    first: Vec<f64>,
    first_short: Vec<f64>,
    failed: usize,
}

fn percentile(values: &mut [f64], percent: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = values.len() * percent / 100;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

async fn send(
    request: Request,
    address: std::net::SocketAddr,
    dispatcher: Arc<Dispatcher>,
    results: Arc<Mutex<Results>>,
) {
    let body = json!({
        "model": "model", "stream": true, "max_tokens": request.tokens,
        "messages": [{ "role": "user", "content": request.prompt }],
    });
    let mut headers = HeaderMap::new();
    let team = if request.is_long { "long" } else { "short" };
    headers.insert("azuremount-team", HeaderValue::from_static(team));
    let call = Call {
        address,
        method: Method::POST,
        path: "/v1/chat/completions".to_owned(),
        headers,
        body: body.to_string().into(),
    };
    let started_at = Instant::now();
    let mut first = None;
    let mut is_complete = false;
    if let Ok(response) = dispatcher.open_raw(call, TEST_TIMEOUT).await {
        let mut events =
            BodyDataStream::new(response.into_body()).eventsource();
        while let Some(Ok(event)) = events.next().await {
            first.get_or_insert_with(|| {
                started_at.elapsed().as_secs_f64() * 1e3
            });
            is_complete |= event.data == "[DONE]";
        }
    }
    let mut results = results.lock().expect("results");
    match (first, is_complete) {
        (Some(first), true) => {
            results.first.push(first);
            if !request.is_long {
                results.first_short.push(first);
            }
        }
        _ => results.failed += 1,
    }
}

fn computed_tokens(cluster: &Cluster) -> u64 {
    let engines = cluster.names(Role::Model);
    let counts = engines.iter().map(|name| {
        let stats = cluster.get(name, "/standin/stats");
        stats["computed_tokens"].as_u64().unwrap_or(0)
    });
    counts.sum()
}

/// Returns the time that requests waited for admission, in seconds, summed
/// over all entries.
fn admission_wait_seconds(cluster: &Cluster) -> f64 {
    let mut sum = 0.0;
    for name in cluster.names(Role::Entry) {
        let answer = cluster.http(&name, Method::GET, "/metrics", &[], "");
        let body = answer.expect("metrics").body;
        let text = String::from_utf8_lossy(&body).into_owned();
        sum += text
            .lines()
            .filter(|line| {
                line.starts_with("azuremount_queue_wait_seconds_sum")
            })
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum::<f64>();
    }
    sum
}

fn main() {
    let arguments: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    let workload = arguments.first().map_or("echipaj", String::as_str);
    let parse_argument = |at: usize, default: f64| {
        arguments
            .get(at)
            .map_or(default, |argument| argument.parse().expect("a number"))
    };
    let (engines, entries) =
        (parse_argument(1, 20.0) as u8, parse_argument(2, 11.0) as u8);
    let (rate, seconds) =
        (parse_argument(3, 30.0), parse_argument(4, 20.0) as u64);
    let sites = ["a", "b", "c", "d"].map(str::to_owned).to_vec();
    let cluster = Cluster::open(ClusterSpec {
        controls: 3,
        entries,
        models: engines,
        plains: 0,
        base: base(workload, "cost"),
        sites,
        control_flags: Vec::new(),
        model_flags: [
            "--slots",
            "6",
            "--piece-ms",
            "20",
            "--prefill-us",
            "150",
            "--cache-blocks",
            "400",
            "--report-lag-ms",
            "1000",
        ]
        .map(str::to_owned)
        .to_vec(),
        plain_flags: Vec::new(),
        relay_endpoints: false,
    });
    println!(
        "{workload}: {engines} engines, {entries} entries, {rate} requests/s, \
         {seconds} s for each policy"
    );
    println!(
        "{:18} {:>6} {:>11} {:>8} {:>8} {:>9} {:>8} {:>7}",
        "policy",
        "sent",
        "recomputed",
        "p50 ms",
        "p95 ms",
        "short p95",
        "gate ms",
        "failed"
    );
    let policies: Vec<&str> = match arguments.get(5) {
        Some(list) => list.split(',').collect(),
        None => vec![
            "random",
            "round-robin",
            "least-outstanding",
            "power-of-two",
            "cost",
        ],
    };
    let mut cluster = cluster;
    for (number, policy) in policies.iter().enumerate() {
        run(&mut cluster, workload, policy, number as u64, rate, seconds);
    }
}

/// As in the samples: for Echipaj, recomputed tokens weigh more than the time
/// that they take.
fn base(workload: &str, policy: &str) -> String {
    let percent = if workload == "echipaj" { "300" } else { "100" };
    BASE.replace("POLICY", policy).replace("PERCENT", percent)
}

fn run(
    cluster: &mut Cluster,
    workload: &str,
    policy: &str,
    revision: u64,
    rate: f64,
    seconds: u64,
) {
    cluster.spec.base = base(workload, policy);
    let config = cluster.config(&format!("bench-{revision}"), revision, 8000);
    let applied = cluster.propose(change::Kind::Apply(config));
    let Some(outcome::Kind::Apply(applied)) = applied.expect("ok").kind else {
        panic!("no outcome of the configuration change");
    };
    let accepted = apply_outcome::Result::Accepted as i32;
    assert_eq!(applied.result, accepted, "{applied:?}");
    let engines = cluster.names(Role::Model).len();
    let entries = cluster.names(Role::Entry);
    cluster.wait("all", |cluster| {
        let status = cluster.status();
        status.endpoints.len() == engines
            && status.entries.len() == entries.len()
            && status
                .entries
                .iter()
                .all(|entry| entry.serving && entry.in_force > revision)
    });
    let salt = format!("{policy}{revision}");
    let requests = match workload {
        "roddur" => roddur(&salt, rate, seconds),
        "herd" => herd(&salt, rate, seconds),
        _ => echipaj(&salt, rate, seconds),
    };
    let mut computed_blocks = HashSet::new();
    let unique_tokens: u64 = requests
        .iter()
        .map(|request| {
            let prompt = format!("user\n{}\n", request.prompt);
            let all = hash_blocks(prompt.as_bytes());
            let repeated = all
                .iter()
                .filter(|block| !computed_blocks.insert(**block))
                .count();
            let tokens = prompt.len() as u64 / 4;
            tokens - repeated as u64 * u64::from(BLOCK_TOKENS)
        })
        .sum();
    let computed_before = computed_tokens(cluster);
    let waited_before = admission_wait_seconds(cluster);
    let addresses: Vec<_> =
        entries.iter().map(|name| cluster.address(name)).collect();
    let dispatcher = Arc::new(Dispatcher::open());
    let results = Arc::new(Mutex::new(Results::default()));
    let count = requests.len();
    cluster.runtime.block_on(async {
        let started_at = Instant::now();
        let mut tasks = Vec::new();
        for (number, request) in requests.into_iter().enumerate() {
            let wait = request.at.saturating_sub(started_at.elapsed());
            tokio::time::sleep(wait).await;
            let address = addresses[number % addresses.len()];
            let sent =
                send(request, address, dispatcher.clone(), results.clone());
            tasks.push(tokio::spawn(sent));
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    let recomputed = (computed_tokens(cluster) - computed_before)
        .saturating_sub(unique_tokens);
    let mean_wait_ms =
        (admission_wait_seconds(cluster) - waited_before) * 1e3 / count as f64;
    let mut results = results.lock().expect("results");
    let failed = results.failed;
    println!(
        "{policy:18} {count:6} {recomputed:11} {:8.0} {:8.0} {:9.0} \
         {mean_wait_ms:8.0} {failed:7}",
        percentile(&mut results.first, 50),
        percentile(&mut results.first, 95),
        percentile(&mut results.first_short, 95),
    );
}
