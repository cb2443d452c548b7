//! All node processes are killed at the same moment and are back within a
//! second. Clients take up the streams that broke off once all machines are in
//! touch again, while other clients begin new streams.

use std::{
    io,
    net::Shutdown,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Case, Verdict,
    client::{self, HOST, KEY, Streamed, TENANT},
    http::{Connection, Head, message},
    replica::{Handler, Identity, Replica},
    run,
    site::Site,
    unique_number,
};

const NODES: usize = 5;
const REPLICAS: u32 = 4;
/// Streams that are under way when the processes are killed, and streams that
/// begin later.
const STREAMS: usize = 24;
/// Time from the start of the streams until the processes are killed.
const TIME_TO_KILL: Duration = Duration::from_millis(1500);
/// Time for which the processes are down.
const DOWN_DURATION: Duration = Duration::from_millis(800);
/// Time from the start of the processes until all machines are in touch: twice
/// `ContactMs`, as most of the core was down, and the time of an election.
const TIME_TO_TOUCH: Duration = Duration::from_millis(8000);
/// Pause of a client between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(2000);
/// Events in a stream, and the time between two.
const EVENTS: u64 = 57;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// The client's deadline, as on the users' sheet.
const DEADLINE: Duration = Duration::from_secs(15);
/// Streams from which on LOST judges their share.
const MIN_JUDGED_STREAMS: usize = 12;
const PATH: &str = "/pufi791/2f";

fn main() {
    run(test);
}

fn config(version: u64) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-m82thhk","Host":"{HOST}",
"PathPrefix":"/pufi791/","Kind":"stream","TimeoutMs":15000,
"TargetLatencyMs":600,"Priority":0,"Service":"huvo11a","MaxAttempts":2,
"Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":300}}],
"Services":[{{"Name":"huvo11a","HealthPath":"/health","MaxConns":380,
"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"{TENANT}","ApiKeys":["{KEY}"],"Priority":1,
"RatePerS":0,"Burst":0}}]}}"#
    )
}

/// How often streams went on, or began, at machines in touch.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    all: usize,
    served: usize,
}

impl Share {
    fn ratio(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

fn test(case: &Case) -> Verdict {
    let mut site = Site::open(case, NODES).expect("nodes start");
    let replicas: Vec<Replica> = (0..REPLICAS)
        .map(|number| {
            let identity = Identity {
                id: format!("i-{number}"),
                service: "huvo11a".to_owned(),
                version: "v1".to_owned(),
                slots: 64,
            };
            let handler = handler(case, &identity);
            let (nodes, record) = (site.controls(), case.record.clone());
            let delay = Duration::ZERO;
            Replica::spawn(identity, None, nodes, delay, record, handler)
                .expect("a replica starts")
        })
        .collect();
    site.put_config(&config(7)).expect("the configuration is taken");
    site.wait_until_ready().expect("all nodes are ready");
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = (0..NODES).map(|at| site.front(at)).collect();
    let broken = Arc::new(AtomicBool::new(false));
    let in_touch = Arc::new(AtomicBool::new(false));
    let has_trouble = case.has_trouble;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), case.record.clone());
            let (broken, in_touch) = (broken.clone(), in_touch.clone());
            thread::spawn(move || {
                let until = Instant::now() + DEADLINE;
                let id = format!("{:016x}", unique_number());
                let request =
                    client::request(PATH, &id, DEADLINE, &[], b"a question");
                let front = fronts[number % NODES];
                // Without the disruption, the client's own link breaks.
                let first_until = match has_trouble {
                    true => until,
                    false => Instant::now() + TIME_TO_KILL,
                };
                let first = client::stream(front, &request, first_until);
                record.note(format!(
                    "client has {id} from {front}: {}",
                    shown(&first)
                ));
                let last = first.events.last()?;
                let last = last.number;
                while !broken.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(10));
                }
                let mut judged = None;
                for step in 1.. {
                    thread::sleep(RETRY_PAUSE);
                    let now = Instant::now();
                    let is_judged = in_touch.load(Ordering::Relaxed);
                    if now + RETRY_PAUSE / 2 >= until {
                        break;
                    }
                    let again = format!("{:016x}", unique_number());
                    let more = [
                        ("Last-Event-Id", last.to_string()),
                        ("Resumes", id.clone()),
                    ];
                    let left = until - now;
                    let request = client::request(
                        PATH,
                        &again,
                        left,
                        &more,
                        b"a question",
                    );
                    let front = fronts[(number + step) % NODES];
                    let taken = client::stream(front, &request, until);
                    record.note(format!(
                        "client takes up {id} as {again} at {front} (in \
                         touch: {is_judged}): {}",
                        shown(&taken)
                    ));
                    let goes_on = !taken.events.is_empty();
                    if is_judged {
                        judged = Some(goes_on);
                    }
                    if goes_on {
                        judged = Some(true);
                        break;
                    }
                }
                judged
            })
        })
        .collect();
    thread::sleep(TIME_TO_KILL);
    // The final fault comes right after an acknowledgement.
    site.put_config(&config(8)).expect("a change is taken");
    if has_trouble {
        for at in 0..NODES {
            site.kill(at);
        }
    }
    broken.store(true, Ordering::Relaxed);
    thread::sleep(DOWN_DURATION);
    if has_trouble {
        for at in 0..NODES {
            site.start(at, false).expect("nodes start again");
        }
        site.wait_until_ready().expect("all nodes are ready again");
    }
    thread::sleep(TIME_TO_TOUCH);
    in_touch.store(true, Ordering::Relaxed);
    case.record.note("all machines are in touch");
    let mut new = Share::default();
    for number in 0..STREAMS {
        let id = format!("{:016x}", unique_number());
        let request = client::request(PATH, &id, DEADLINE, &[], b"another");
        let until = Instant::now() + Duration::from_millis(150);
        let streamed = client::stream(fronts[number % NODES], &request, until);
        new.all += 1;
        new.served += usize::from(!streamed.events.is_empty());
        case.record.note(format!("client begins {id}: {}", shown(&streamed)));
    }
    let mut resumed = Share::default();
    for client in clients {
        if let Some(goes_on) = client.join().expect("no client panics") {
            resumed.all += 1;
            resumed.served += usize::from(goes_on);
        }
    }
    let has_ended = (0..NODES).any(|at| site.has_ended(at));
    drop(replicas);
    case.record.note(format!(
        "of {} streams that clients took up at machines in touch, {} went on; \
         of {} new ones, {} began",
        resumed.all, resumed.served, new.all, new.served
    ));
    let can_judge = resumed.all >= MIN_JUDGED_STREAMS
        && new.served * 2 > new.all
        && !has_ended;
    match (can_judge, resumed.ratio() < new.ratio() / 2.0) {
        (false, _) => Verdict::NotRun,
        (true, true) => Verdict::Broken,
        (true, false) => Verdict::Held,
    }
}

fn shown(streamed: &Streamed) -> String {
    let Streamed { status, retry_after, events, is_complete } = streamed;
    let first = events.first().map_or(0, |event| event.number);
    let last = events.last().map_or(0, |event| event.number);
    format!(
        "status {status}, events {first} to {last}, complete {is_complete}, \
         retry after {retry_after:?}"
    )
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
            let event = format!(
                "id: {number}\ndata: {version} {request} {number}\n\n"
            );
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.send(chunk.as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
            // A client that has left is noticed by its closed connection.
            let mut byte = [0; 1];
            let socket = connection.stream();
            socket.set_nonblocking(true)?;
            let seen = socket.peek(&mut byte);
            socket.set_nonblocking(false)?;
            let is_open = match seen {
                Ok(count) => count > 0,
                Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            };
            if !is_open {
                let _ = socket.shutdown(Shutdown::Both);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        connection.send(b"0\r\n\r\n")
    })
}
