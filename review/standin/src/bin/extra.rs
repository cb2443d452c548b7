//! Some replicas send a part of their answers a second time, late. One of
//! these may be the answer to a health check, on a connection that then takes
//! a client's request.

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    Case, Verdict,
    client::{self, HOST, KEY, TENANT},
    http::{Connection, Head, message},
    mix,
    replica::{Handler, Identity, Replica},
    run,
    site::Site,
    unique_number,
};

const NODES: usize = 11;
const SERVICES: [&str; 2] = ["huvo11a", "wuno96b"];
const REPLICAS_PER_SERVICE: usize = 2;
/// Clients, each of which uses one node and one service.
const CLIENTS: usize = 4 * NODES;
/// Share of the replicas that send answers twice, and of their answers, as in
/// the users' site files.
const FAULTY_SHARE: f64 = 0.6;
const EXTRA_SHARE: f64 = 0.03;
/// Duration of each disruption, as in the site files, and the pause after it.
const TROUBLE_DURATION: Duration = Duration::from_secs(5);
const TROUBLE_PAUSE: Duration = Duration::from_millis(500);
const TROUBLES: usize = 17;
/// Time that a replica works on a request.
const WORK_DURATION: Duration = Duration::from_millis(2000);
/// Mean pause of a client between two requests.
const CLIENT_PAUSE_MS: u64 = 900;
/// The client's deadline, as on the users' sheet.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time between the arrival of a request and a late answer to the one before.
const EXTRA_DELAY: Duration = Duration::from_millis(2);

fn main() {
    run(test);
}

fn config() -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"{prefix}",
"Kind":"non_idempotent","TimeoutMs":5000,"TargetLatencyMs":2500,
"Priority":2,"Service":"{service}","MaxAttempts":1,"Public":false}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":120,
"Protocol":"h1","Tls":false}}"#
        )
    };
    format!(
        r#"{{"Version":7,"Routes":[{},{}],"Services":[{},{}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{{"Name":"{TENANT}","ApiKeys":["{KEY}"],"Priority":1,
"RatePerS":0,"Burst":0}}]}}"#,
        route("r-0", "/lohu930/", SERVICES[0]),
        route("r-1", "/puxa403/", SERVICES[1]),
        service(SERVICES[0]),
        service(SERVICES[1]),
    )
}

/// What the replicas and the clients have seen.
#[derive(Debug, Default)]
struct Seen {
    is_faulty: AtomicBool,
    /// Runs of each request.
    runs: Mutex<BTreeMap<String, u32>>,
    /// Numbers of health checks, extra answers and extra answers to health
    /// checks.
    counts: Mutex<[u32; 3]>,
    answered: Mutex<u32>,
    mixed: Mutex<u32>,
}

fn test(case: &Case) -> Verdict {
    let mut site = Site::open(case, NODES).expect("nodes start");
    let seen = Arc::new(Seen::default());
    let mut replicas = Vec::new();
    let count = SERVICES.len() * REPLICAS_PER_SERVICE;
    let faulty = (count as f64 * FAULTY_SHARE) as usize;
    for number in 0..count {
        let identity = Identity {
            id: format!("i-{number}"),
            service: SERVICES[number % SERVICES.len()].to_owned(),
            version: "v1".to_owned(),
            slots: 32,
        };
        let handler = handler(case, &identity, &seen, number < faulty);
        let (nodes, record) = (site.controls(), case.record.clone());
        let delay = Duration::ZERO;
        let replica =
            Replica::spawn(identity, None, nodes, delay, record, handler);
        replicas.push(replica.expect("a replica starts"));
    }
    site.put_config(&config()).expect("the configuration is taken");
    site.wait_until_ready().expect("all nodes are ready");
    thread::sleep(Duration::from_secs(3));
    let is_running = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = site.front(number % NODES);
            let path = ["/lohu930/2f", "/puxa403/2f"][number / NODES % 2];
            let (record, seen) = (case.record.clone(), seen.clone());
            let is_running = is_running.clone();
            thread::spawn(move || {
                let mut kept = None;
                while is_running.load(Ordering::Relaxed) {
                    let pause = unique_number() % (2 * CLIENT_PAUSE_MS);
                    thread::sleep(Duration::from_millis(pause));
                    let id = format!("{:016x}", unique_number());
                    let asked = ask(&mut kept, front, path, &id);
                    let Ok((head, body)) = asked else {
                        kept = None;
                        record.note(format!("client {id}: no answer"));
                        continue;
                    };
                    *seen.answered.lock().expect("no panic") += 1;
                    let status = head.status();
                    let seal = head.header("x-response-seal");
                    let is_own = seal == Some(&format!("seal.{id}"))
                        && body == id.as_bytes();
                    let is_mixed = (200..300).contains(&status) && !is_own;
                    if is_mixed {
                        *seen.mixed.lock().expect("no panic") += 1;
                    }
                    if is_mixed || status != 200 {
                        record.note(format!(
                            "client {id} from {front}: status {status}, \
                             headers {:?}, body {:?}",
                            head.headers,
                            String::from_utf8_lossy(&body),
                        ));
                    }
                }
            })
        })
        .collect();
    for _ in 0..TROUBLES {
        seen.is_faulty.store(case.has_trouble, Ordering::Relaxed);
        thread::sleep(TROUBLE_DURATION);
        seen.is_faulty.store(false, Ordering::Relaxed);
        thread::sleep(TROUBLE_PAUSE);
    }
    is_running.store(false, Ordering::Relaxed);
    for client in clients {
        client.join().expect("no client panics");
    }
    let has_ended = (0..NODES).any(|at| site.has_ended(at));
    drop(replicas);
    let [checks, extras, extra_checks] =
        *seen.counts.lock().expect("no panic");
    let answered = *seen.answered.lock().expect("no panic");
    let mixed = *seen.mixed.lock().expect("no panic");
    let runs = seen.runs.lock().expect("no panic");
    let twice = runs.values().filter(|runs| **runs > 1).count();
    case.record.note(format!(
        "{answered} answers, {mixed} successes that are no answer of a \
         replica to this request; {twice} of {} requests ran more than once; \
         replicas answered {checks} health checks, and sent {extras} extra \
         answers, {extra_checks} of them to health checks",
        runs.len()
    ));
    match (has_ended || answered == 0, mixed > 0) {
        (_, true) => Verdict::Broken,
        (true, false) => Verdict::NotRun,
        (false, false) => Verdict::Held,
    }
}

fn ask(
    kept: &mut Option<Connection>,
    front: std::net::SocketAddrV4,
    path: &str,
    id: &str,
) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => client::connect(front, DEADLINE)?,
    };
    let request = client::request(path, id, DEADLINE, &[], b"an order");
    connection.send(&request)?;
    let answer = client::read_answer(&mut connection)?;
    let closes = answer.0.header("connection") == Some("close");
    *kept = (!closes).then_some(connection);
    Ok(answer)
}

/// Returns how a replica answers. Faulty ones send some answers a second time,
/// when the next request on the connection has arrived.
fn handler(
    case: &Case,
    identity: &Identity,
    seen: &Arc<Seen>,
    is_faulty: bool,
) -> Handler {
    let (identity, record) = (identity.clone(), case.record.clone());
    let seen = seen.clone();
    // Answers that are due a second time, by the port of the connection.
    let late: Mutex<BTreeMap<u16, Vec<u8>>> = Mutex::default();
    Arc::new(move |connection: &mut Connection, head: &Head, _: &[u8]| {
        let began = Instant::now();
        let id = &identity.id;
        let port = connection.stream().peer_addr()?.port();
        if let Some(extra) = late.lock().expect("no panic").remove(&port) {
            thread::sleep(EXTRA_DELAY);
            record.note(format!("{id} sends an answer again, late"));
            connection.send(&extra)?;
        }
        let is_check = head.word(1) == "/health";
        let answer = if is_check {
            let headers = [("X-Instance-Id", id.clone())];
            message("HTTP/1.1 200 OK", &headers, b"")
        } else {
            let request = head.header("x-request-id").unwrap_or_default();
            let echo = ("X-Request-Id", request.to_owned());
            if head.header("x-expect-instance") != Some(id) {
                let headers = [echo, ("X-Not-Executed", "1".to_owned())];
                let line = "HTTP/1.1 421 Misdirected Request";
                return connection.send(&message(line, &headers, b""));
            }
            record.note(format!("{id} runs {request}"));
            *seen
                .runs
                .lock()
                .expect("no panic")
                .entry(request.to_owned())
                .or_default() += 1;
            thread::sleep(WORK_DURATION.saturating_sub(began.elapsed()));
            let headers =
                [echo, ("X-Response-Seal", format!("seal.{request}"))];
            message("HTTP/1.1 200 OK", &headers, request.as_bytes())
        };
        connection.send(&answer)?;
        let draw = mix(unique_number()) as f64 / u64::MAX as f64;
        let repeats = is_faulty
            && seen.is_faulty.load(Ordering::Relaxed)
            && draw < EXTRA_SHARE;
        let mut counts = seen.counts.lock().expect("no panic");
        counts[0] += u32::from(is_check);
        counts[1] += u32::from(repeats);
        counts[2] += u32::from(repeats && is_check);
        if repeats {
            late.lock().expect("no panic").insert(port, answer);
        }
        Ok(())
    })
}
