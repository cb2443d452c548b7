//! Parts of prompts that crash replicas, on nodes before replicas that crash.

use std::{process::Command, sync::Arc, time::Duration};

use http::Method;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    cluster::{Cluster, ClusterSpec, Role},
    endings::{AfterCrash, CRASHING_PART, PLAIN, SLOW, Service},
    nodes::PORT as PEER_PORT,
    scenario::BASE,
    world::{TEST_TIMEOUT, post_prompt, status},
};

/// Number of replicas of the service.
const REPLICAS: usize = 12;
/// Crashes after which all nodes have to refuse a part.
const MAX_CRASHES: usize = 5;
/// Time within which connected nodes have to know of the fifth crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach replicas after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Ratio of sound requests that have to be served in the last third of the
/// time, more than twice the contact time after the third crash.
const MIN_SERVED_RATIO: f64 = 0.5;
/// Time for which callers send requests.
const PLAY_TIME: Duration = Duration::from_secs(20);
/// Interval between two requests with the part, and between two sound ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Parts that all prompts share.
const COMMON_PARTS: [u64; 2] = [1, 2];
/// Parts that some sound prompts share.
const SOUND_PARTS: u64 = 8;

/// Returns a prompt of the common parts, `part` at `place` among them, and a
/// part of its own.
fn prompt(place: usize, part: u64, id: usize) -> String {
    let mut parts = COMMON_PARTS.to_vec();
    parts.insert(place, part);
    parts.push(1_000_000 + id as u64);
    let parts: Vec<String> =
        parts.iter().map(|part| format!("{part}:150")).collect();
    parts.join(",")
}

/// Sends sound requests, and requests with a part that crashes replicas, no
/// two alike, to all nodes in turn. Fails if too many of the latter reach
/// replicas, or too few sound ones are served.
async fn assert_part_is_refused(
    place: usize,
    after_crash: AfterCrash,
    body: &'static str,
) {
    let service = Service::open_with_others(3, REPLICAS, after_crash).await;
    let began = Instant::now();
    let nodes = Arc::new(service.shared.nodes.clone());
    let send = |number: usize, part: u64, path: &'static str| {
        let nodes = nodes.clone();
        async move {
            let front = nodes[number % nodes.len()].front().unwrap();
            let parts = prompt(place, part, number);
            let body = format!("{body} {number}");
            let sent_at = Instant::now();
            let answer = post_prompt(front, path, number, &parts, &body);
            let answer = timeout(CALLER_TIMEOUT, answer).await;
            (sent_at, status(&answer.unwrap_or_default()) == "200")
        }
    };
    let mut sound = JoinSet::new();
    let mut crashing = JoinSet::new();
    let mut next_crashing = Instant::now();
    for number in 0.. {
        if began.elapsed() > PLAY_TIME {
            break;
        }
        let part = 10 + number as u64 % SOUND_PARTS;
        sound.spawn(send(number, part, "/resume/x"));
        if Instant::now() >= next_crashing {
            next_crashing += CRASHING_INTERVAL;
            let id = 500_000 + number;
            crashing.spawn(send(id, CRASHING_PART, "/stream/x"));
        }
        sleep(SOUND_INTERVAL).await;
    }
    crashing.join_all().await;
    let arrivals: Vec<Instant> = {
        let crashes = service.shared.crashes.lock().unwrap();
        crashes.iter().map(|(_, at)| *at).collect()
    };
    let fifth = arrivals.get(MAX_CRASHES - 1).or(arrivals.last());
    let fifth = fifth.copied().expect("no replica has crashed");
    let late = arrivals.iter().filter(|at| **at > fifth + CONTACT_TIME);
    let late = late.count();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} of {} requests arrived late",
        arrivals.len()
    );
    let answers = sound.join_all().await;
    let last = answers
        .iter()
        .filter(|(sent_at, _)| *sent_at > began + PLAY_TIME * 2 / 3);
    let last: Vec<bool> = last.map(|(_, served)| *served).collect();
    let served = last.iter().filter(|is_served| **is_served).count();
    let ratio = served as f64 / last.len().max(1) as f64;
    assert!(ratio >= MIN_SERVED_RATIO, "{ratio:.2} of sound requests served");
}

/// Guards against a part of prompts that crashes replica after replica, under
/// requests that are never the same twice.
#[tokio::test]
async fn a_part_that_crashes_replicas_is_refused_by_all_nodes() {
    assert_part_is_refused(2, AfterCrash::Returns, SLOW).await;
}

/// Guards against blame on a part that leads to the one that crashes replicas.
#[tokio::test]
async fn a_part_is_refused_whatever_stands_behind_it() {
    assert_part_is_refused(0, AfterCrash::Returns, SLOW).await;
}

/// Guards against the same fault behind relays that close connections while a
/// replica is down.
#[tokio::test]
async fn a_part_that_crashes_replicas_behind_relays_is_refused() {
    assert_part_is_refused(1, AfterCrash::Closes, SLOW).await;
}

/// Guards against blame on the parts that all requests share where answers end
/// with their connections, so that none of them proves a success at its end.
#[tokio::test]
async fn a_part_is_refused_where_answers_have_no_length() {
    assert_part_is_refused(2, AfterCrash::Returns, PLAIN).await;
}

/// Time within which all nodes learn of a release.
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// Guards against a part that stays refused for hours although its replicas
/// are mended: an operator releases it at one node, and all nodes send requests
/// with it again.
#[tokio::test]
async fn a_part_that_an_operator_releases_is_sent_again_by_all_nodes() {
    let service =
        Service::open_with_others(0, REPLICAS, AfterCrash::Returns).await;
    let nodes = &service.shared.nodes;
    let send = async |number: usize| {
        let front = nodes[number % nodes.len()].front().unwrap();
        let parts = format!("{CRASHING_PART}:150,{}:40", 1_000_000 + number);
        let body = format!("body {number}");
        let sent = post_prompt(front, "/stream/x", number, &parts, &body);
        let answer = timeout(CALLER_TIMEOUT, sent).await;
        status(&answer.unwrap_or_default()).to_owned()
    };
    let refused = async {
        let mut number = 0;
        let mut in_a_row = 0;
        while in_a_row < 2 * nodes.len() {
            number += 1;
            match send(number).await.as_str() {
                "503" => in_a_row += 1,
                _ => in_a_row = 0,
            }
            sleep(CRASHING_INTERVAL).await;
        }
    };
    timeout(TEST_TIMEOUT, refused).await.expect("the part is not refused");
    let ip = nodes[0].front().unwrap().ip();
    let released = tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_azuremount"))
            .args(["release", &format!("{CRASHING_PART:x}")])
            .args(["--node", &format!("{ip}:{PEER_PORT}")])
            .output()
    });
    let output = released.await.unwrap().unwrap();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{errors}");
    sleep(RELEASE_TIME).await;
    assert_ne!(send(1001).await, "503", "refused by another node");
}

/// Endpoints that run a model in the test of an entry, half of them in the
/// entry's data centre.
const ENDPOINTS: u8 = 14;
/// Piece of an answer at which each of them crashes.
const FATAL_PIECE: u64 = 3;
/// Chats with the same instructions that are sent to the entry.
const CHATS: usize = 4;

/// Guards against instructions that crash endpoint after endpoint under chats
/// that are never the same twice.
#[test]
fn instructions_that_crash_endpoints_are_refused_by_an_entry() {
    let mut cluster = Cluster::open(ClusterSpec {
        controls: 1,
        entries: 1,
        models: ENDPOINTS,
        plains: 0,
        base: BASE.to_owned(),
        sites: vec!["east".to_owned(), "west".to_owned()],
        control_flags: Vec::new(),
        model_flags: Vec::new(),
        plain_flags: Vec::new(),
        relay_endpoints: false,
    });
    cluster.apply_first();
    cluster.wait("endpoints", |cluster| {
        let status = cluster.status();
        status.endpoints.len() == usize::from(ENDPOINTS)
    });
    let models = cluster.names(Role::Model);
    for name in &models {
        cluster.fault(name, "die_at", Some(FATAL_PIECE));
    }
    let chat = |instructions: &str, number: usize| {
        let body = json!({
            "model": "model",
            "max_tokens": 20,
            "messages": [
                { "role": "system", "content": instructions },
                { "role": "user", "content": format!("question {number}") },
            ],
        });
        let path = "/v1/chat/completions";
        let headers = [("azuremount-team", "red")];
        cluster.http("e1", Method::POST, path, &headers, &body.to_string())
    };
    for number in 0..CHATS {
        let answer = chat("crash", number).expect("the entry answers");
        assert!(!answer.status.is_success(), "{:?}", answer.status);
    }
    let crashed = models.iter().filter(|name| !cluster.is_alive(name)).count();
    assert!(crashed <= MAX_CRASHES, "{crashed} endpoints have crashed");
}
