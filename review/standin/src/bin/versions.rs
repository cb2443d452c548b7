//! A replica starts again under its id with another software version, and its
//! first heartbeat arrives late. The streams that begin there meanwhile go on
//! at replicas of the former version when it crashes again.

use std::{
    collections::BTreeSet,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Case, Verdict,
    client::{self, Event, HOST, KEY, TENANT},
    http::{Connection, Head, message},
    replica::{Handler, Identity, Replica},
    run,
    site::Site,
    unique_number,
};

const NODES: usize = 5;
/// Replicas of the former version besides the one that starts again.
const OTHERS: usize = 3;
/// Time between the end of the replica and its next start.
const RESTART_DURATION: Duration = Duration::from_millis(300);
/// Time until the first heartbeat of the replica's new incarnation arrives. Its
/// first call is on its way for seconds, so it calls the next node after one.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(1000);
/// Streams that clients begin after the replica has started again.
const STREAMS: usize = 48;
/// Interval at which they begin.
const STREAM_INTERVAL: Duration = Duration::from_millis(25);
/// Time from the start of the replica until it crashes again.
const TIME_TO_CRASH: Duration = Duration::from_millis(3500);
/// Events in a stream, and the time between two.
const EVENTS: u64 = 57;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// The client's deadline, as on the users' sheet.
const DEADLINE: Duration = Duration::from_secs(12);
/// Streams with events of two versions that ORDER allows.
const MAX_MIXED_STREAMS: usize = 2;

fn main() {
    run(test);
}

fn config() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-m82thhk","Host":"{HOST}",
"PathPrefix":"/pufi791/","Kind":"stream","TimeoutMs":12000,
"TargetLatencyMs":500,"Priority":0,"Service":"huvo11a","MaxAttempts":2,
"Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":500}}],
"Services":[{{"Name":"huvo11a","HealthPath":"/health","MaxConns":380,
"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"{TENANT}","ApiKeys":["{KEY}"],"Priority":1,
"RatePerS":0,"Burst":0}}]}}"#
    )
}

fn test(case: &Case) -> Verdict {
    let mut site = Site::open(case, NODES).expect("nodes start");
    let spawn = |number: usize, version: &str, address, delay| {
        let identity = Identity {
            id: format!("i-{number}"),
            service: "huvo11a".to_owned(),
            version: version.to_owned(),
            slots: 64,
        };
        let handler = handler(case, &identity);
        let (nodes, record) = (site.controls(), case.record.clone());
        Replica::spawn(identity, address, nodes, delay, record, handler)
            .expect("a replica starts")
    };
    let others: Vec<Replica> = (1..=OTHERS)
        .map(|number| spawn(number, "v1", None, Duration::ZERO))
        .collect();
    let replica = spawn(0, "v1", None, Duration::ZERO);
    site.put_config(&config()).expect("the configuration is taken");
    site.wait_until_ready().expect("all nodes are ready");
    thread::sleep(Duration::from_secs(6));
    if case.has_trouble {
        replica.crash();
        case.record.note("replica i-0 ends");
    }
    thread::sleep(RESTART_DURATION);
    let address = Some(replica.address);
    let again =
        case.has_trouble.then(|| spawn(0, "v2", address, HEARTBEAT_DELAY));
    let restarted_at = Instant::now();
    thread::sleep(Duration::from_millis(100));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(STREAM_INTERVAL);
            let front = site.front(number % NODES);
            let record = case.record.clone();
            thread::spawn(move || {
                let id = format!("{:016x}", unique_number());
                let request = client::request(
                    "/pufi791/2f",
                    &id,
                    DEADLINE,
                    &[],
                    b"a question",
                );
                record.note(format!("client sends {id} to {front}"));
                let until = Instant::now() + DEADLINE;
                let streamed = client::stream(front, &request, until);
                let versions: BTreeSet<&str> =
                    streamed.events.iter().map(version).collect();
                record.note(format!(
                    "client has {id}: status {}, {} events, complete {}, \
                     versions {versions:?}",
                    streamed.status,
                    streamed.events.len(),
                    streamed.is_complete,
                ));
                (versions.len() > 1, streamed.is_complete)
            })
        })
        .collect();
    thread::sleep(TIME_TO_CRASH.saturating_sub(restarted_at.elapsed()));
    if let Some(again) = &again {
        again.crash();
        case.record.note("replica i-0 crashes");
    }
    let ended: Vec<(bool, bool)> = clients
        .into_iter()
        .map(|client| client.join().expect("no client panics"))
        .collect();
    let mixed = ended.iter().filter(|(is_mixed, _)| *is_mixed).count();
    let complete = ended.iter().filter(|(_, complete)| *complete).count();
    let has_ended = (0..NODES).any(|at| site.has_ended(at));
    drop(others);
    case.record.note(format!(
        "{mixed} of {STREAMS} streams hold events of two versions (ORDER \
         allows {MAX_MIXED_STREAMS}), {complete} are complete"
    ));
    match (has_ended || complete < STREAMS / 2, mixed > MAX_MIXED_STREAMS) {
        (_, true) => Verdict::Broken,
        (true, false) => Verdict::NotRun,
        (false, false) => Verdict::Held,
    }
}

/// Returns the software version that made an event.
fn version(event: &Event) -> &str {
    event.data.split(' ').next().unwrap_or_default()
}

/// Returns how a replica answers: 421 if another one is meant, otherwise the
/// events after the last one that the client has.
fn handler(case: &Case, identity: &Identity) -> Handler {
    let (identity, record) = (identity.clone(), case.record.clone());
    Arc::new(move |connection: &mut Connection, head: &Head, _: &[u8]| {
        let Identity { id, version, .. } = &identity;
        if head.word(1) == "/health" {
            let headers = [("X-Instance-Id", id.clone())];
            let answer = message("HTTP/1.1 200 OK", &headers, b"");
            return connection.send(&answer);
        }
        let request = head.header("x-request-id").unwrap_or_default();
        let echo = ("X-Request-Id", request.to_owned());
        if head.header("x-expect-instance") != Some(id) {
            let headers = [echo, ("X-Not-Executed", "1".to_owned())];
            let line = "HTTP/1.1 421 Misdirected Request";
            return connection.send(&message(line, &headers, b""));
        }
        let last = head.header("last-event-id").unwrap_or("0");
        record.note(format!("{id} {version} runs {request} after {last}"));
        let from = last.parse::<u64>().unwrap_or(0) + 1;
        connection.send(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                 X-Request-Id: {request}\r\nX-Response-Seal: {id}.{request}\
                 \r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for number in from..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let event = format!(
                "id: {number}\ndata: {version} {request} {number}\n\n"
            );
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.send(chunk.as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")
    })
}
