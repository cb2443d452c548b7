//! Routing policies side by side, in one system, on the users' shapes.
//!
//! ```text
//! cargo bench --bench policy -- echipaj|roddur|herd [engines entries rate seconds]
//! ```
//!
//! Starts control, entries and stand-in engines as processes, puts one policy
//! after the other in force, sends each the same requests at the same times
//! (with texts of its own, so that no cache helps the next policy), and counts
//! at the engines. Load reports are a second old, a fifth of cache events is
//! lost. "recomputed" is every computed prompt token beyond the first time
//! that its block was computed anywhere.

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
    decide::prefix::{BLOCK_TOKENS, blocks},
    entry::dispatch::{Call, Dispatcher},
    wire::{apply_outcome, change, outcome},
};
use cluster::{Cluster, LONG, Role, Shape};
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
struct Plan {
    at: Duration,
    prompt: String,
    tokens: u64,
    long: bool,
}

/// Text that is the same for the same words, of about `tokens` tokens.
fn text(name: &str, tokens: usize) -> String {
    let word = format!("{name} ");
    word.repeat((tokens * 4).div_ceil(word.len()))
}

/// Long contract packets with shared prefixes among short questions.
fn echipaj(policy: &str, rate: f64, seconds: u64) -> Vec<Plan> {
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

/// The morning digest in a burst, over questions from classrooms.
fn roddur(policy: &str, rate: f64, seconds: u64) -> Vec<Plan> {
    let mut plans = poisson(rate, seconds, |rng| {
        let intro = text(&format!("{policy} school"), 256);
        (format!("{intro} ask {}", rng.random::<u32>()), 24, false)
    });
    let burst = Duration::from_secs(seconds / 3);
    for school in 0..(rate * 4.0) as usize {
        let district = text(&format!("{policy} {}", school % 12), 1500);
        plans.push(Plan {
            at: burst + Duration::from_millis(10 * school as u64),
            prompt: format!("{district} school {school}"),
            tokens: 24,
            long: true,
        });
    }
    plans.sort_by_key(|plan| plan.at);
    plans
}

/// Long answers to short questions, near all slots taken: nothing to gain
/// from caches, everything to lose from herding.
fn herd(policy: &str, rate: f64, seconds: u64) -> Vec<Plan> {
    poisson(rate, seconds, |rng| {
        (format!("{policy} ask {}", rng.random::<u32>()), 100, false)
    })
}

fn poisson(
    rate: f64,
    seconds: u64,
    mut make: impl FnMut(&mut StdRng) -> (String, u64, bool),
) -> Vec<Plan> {
    let mut rng = StdRng::seed_from_u64(42);
    let mut at = 0.0;
    let mut plans = Vec::new();
    while at < seconds as f64 {
        let draw: f64 = rng.random_range(1e-9..1.0);
        at -= draw.ln() / rate;
        let (prompt, tokens, long) = make(&mut rng);
        let at = Duration::from_secs_f64(at);
        plans.push(Plan { at, prompt, tokens, long });
    }
    plans
}

#[derive(Default)]
struct Seen {
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
    plan: Plan,
    address: std::net::SocketAddr,
    dispatcher: Arc<Dispatcher>,
    seen: Arc<Mutex<Seen>>,
) {
    let body = json!({
        "model": "model", "stream": true, "max_tokens": plan.tokens,
        "messages": [{ "role": "user", "content": plan.prompt }],
    });
    let mut headers = HeaderMap::new();
    let team = if plan.long { "long" } else { "short" };
    headers.insert("azuremount-team", HeaderValue::from_static(team));
    let call = Call {
        address,
        method: Method::POST,
        path: "/v1/chat/completions".to_owned(),
        headers,
        body: body.to_string().into(),
    };
    let began = Instant::now();
    let mut first = None;
    let mut whole = false;
    if let Ok(response) = dispatcher.open_raw(call, LONG).await {
        let mut events =
            BodyDataStream::new(response.into_body()).eventsource();
        while let Some(Ok(event)) = events.next().await {
            first.get_or_insert_with(|| began.elapsed().as_secs_f64() * 1e3);
            whole |= event.data == "[DONE]";
        }
    }
    let mut seen = seen.lock().expect("seen");
    match (first, whole) {
        (Some(first), true) => {
            seen.first.push(first);
            if !plan.long {
                seen.first_short.push(first);
            }
        }
        _ => seen.failed += 1,
    }
}

fn computed(cluster: &Cluster) -> u64 {
    let engines = cluster.names(Role::Model);
    let counts = engines.iter().map(|name| {
        let stats = cluster.get(name, "/standin/stats");
        stats["computed_tokens"].as_u64().unwrap_or(0)
    });
    counts.sum()
}

/// Seconds that requests waited for admission, summed over all entries.
fn gate_seconds(cluster: &Cluster) -> f64 {
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
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| !word.starts_with("--"))
        .collect();
    let shape = words.first().map_or("echipaj", String::as_str);
    let number = |at: usize, default: f64| {
        words.get(at).map_or(default, |word| word.parse().expect("a number"))
    };
    let (engines, entries) = (number(1, 20.0) as u8, number(2, 11.0) as u8);
    let (rate, seconds) = (number(3, 30.0), number(4, 20.0) as u64);
    let sites = ["a", "b", "c", "d"].map(str::to_owned).to_vec();
    let cluster = Cluster::open(Shape {
        controls: 3,
        entries,
        models: engines,
        plains: 0,
        base: base(shape, "cost"),
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
        "{shape}: {engines} engines, {entries} entries, {rate} requests/s, \
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
    let chosen: Vec<&str> = match words.get(5) {
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
    for (number, policy) in chosen.iter().enumerate() {
        run(&mut cluster, shape, policy, number as u64, rate, seconds);
    }
}

/// As in the samples: Echipaj weighs recomputed tokens more than their time.
fn base(shape: &str, policy: &str) -> String {
    let percent = if shape == "echipaj" { "300" } else { "100" };
    BASE.replace("POLICY", policy).replace("PERCENT", percent)
}

fn run(
    cluster: &mut Cluster,
    shape: &str,
    policy: &str,
    revision: u64,
    rate: f64,
    seconds: u64,
) {
    cluster.shape.base = base(shape, policy);
    let config = cluster.config(&format!("bench-{revision}"), revision, 8000);
    let applied = cluster.propose(change::Kind::Apply(config));
    let Some(outcome::Kind::Apply(applied)) = applied.expect("ok").kind else {
        panic!("no outcome");
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
    let plans = match shape {
        "roddur" => roddur(&salt, rate, seconds),
        "herd" => herd(&salt, rate, seconds),
        _ => echipaj(&salt, rate, seconds),
    };
    let mut known = HashSet::new();
    let unique: u64 = plans
        .iter()
        .map(|plan| {
            let prompt = format!("user\n{}\n", plan.prompt);
            let all = blocks(prompt.as_bytes());
            let old =
                all.iter().filter(|block| !known.insert(**block)).count();
            let tokens = prompt.len() as u64 / 4;
            tokens - old as u64 * u64::from(BLOCK_TOKENS)
        })
        .sum();
    let before = computed(cluster);
    let waited = gate_seconds(cluster);
    let addresses: Vec<_> =
        entries.iter().map(|name| cluster.address(name)).collect();
    let dispatcher = Arc::new(Dispatcher::open());
    let seen = Arc::new(Mutex::new(Seen::default()));
    let count = plans.len();
    cluster.runtime.block_on(async {
        let began = Instant::now();
        let mut tasks = Vec::new();
        for (number, plan) in plans.into_iter().enumerate() {
            let wait = plan.at.saturating_sub(began.elapsed());
            tokio::time::sleep(wait).await;
            let address = addresses[number % addresses.len()];
            let sent = send(plan, address, dispatcher.clone(), seen.clone());
            tasks.push(tokio::spawn(sent));
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    let recomputed = (computed(cluster) - before).saturating_sub(unique);
    let waited = (gate_seconds(cluster) - waited) * 1e3 / count as f64;
    let mut seen = seen.lock().expect("seen");
    let failed = seen.failed;
    println!(
        "{policy:18} {count:6} {recomputed:11} {:8.0} {:8.0} {:9.0} \
         {waited:8.0} {failed:7}",
        percentile(&mut seen.first, 50),
        percentile(&mut seen.first, 95),
        percentile(&mut seen.first_short, 95),
    );
}
