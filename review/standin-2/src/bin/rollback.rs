//! A replica restarts under its id with other software, crashes before its
//! first heartbeat has arrived, and restarts with the earlier software. Do
//! callers whose streams broke off get the rest from the earlier version?

use std::{
    collections::BTreeSet,
    io,
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use standin_2::{
    Handler, Identity, Record, Replica, RouteText, Seen, Site, answer_stream,
    config, read_stream, run, sleep_ms, wall_ms,
};

const NODES: usize = 4;
const STREAMS: usize = 32;
const EVENTS: u64 = 40;
const GAP_MS: u64 = 50;
const DEADLINE: Duration = Duration::from_millis(12_000);
/// How late the heartbeats of the second start arrive.
const LATE: Duration = Duration::from_secs(2);
/// Time for which the second start runs.
const SECOND_START_MS: u64 = 900;
/// Times that a caller takes its stream up again.
const MAX_RESUMPTIONS: usize = 3;

fn main() {
    run(case)
}

fn case(
    program: &Path,
    folder: &Path,
    record: Record,
    has_trouble: bool,
) -> io::Result<bool> {
    let mut site = Site::open(program, folder, NODES, NODES)?;
    for at in 0..NODES {
        site.start(at, true)?;
    }
    let routes = [RouteText {
        prefix: "/pufi791/",
        kind: "stream",
        timeout_ms: 12_000,
        target_ms: 1000,
        attempts: 1,
        resumable: true,
    }];
    site.put(&config(7, &routes), Duration::from_secs(20))?;
    site.wait_ready(Duration::from_secs(10))?;
    let log = record.clone();
    let handler: Arc<Handler> = Arc::new(move |says, head, _, stream| {
        answer_stream(says, head, stream, EVENTS, GAP_MS, &log)
    });
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let start = |name: &str, version, address, late| {
        let identity = Identity {
            id: name.to_owned(),
            born: wall_ms(),
            version,
            zone: "salt-lake",
            slots: 64,
        };
        Replica::start(
            identity,
            address,
            site.controls(),
            late,
            record.clone(),
            handler.clone(),
        )
    };
    let replicas = [
        start("i-7f3a91c2", "v1", any, Duration::ZERO)?,
        start("i-10000001", "v1", any, Duration::ZERO)?,
        start("i-10000002", "v1", any, Duration::ZERO)?,
        start("i-10000003", "v1", any, Duration::ZERO)?,
    ];
    sleep_ms(6000);
    let one = &replicas[0];
    // Right after a heartbeat, with no request in flight.
    let before = one.last_beat.load(Ordering::SeqCst);
    while one.last_beat.load(Ordering::SeqCst) == before {
        sleep_ms(1);
    }
    let address = one.server.address;
    let mut second = None;
    if has_trouble {
        sleep_ms(30);
        one.kill();
        sleep_ms(20);
        second = Some(start("i-7f3a91c2", "v2", address, LATE)?);
        record.log("replica i-7f3a91c2 crashed, and is back with v2");
    }
    sleep_ms(50);
    let fronts: Vec<SocketAddrV4> =
        (0..NODES).map(|at| site.front(at)).collect();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let fronts = fronts.clone();
            let record = record.clone();
            thread::spawn(move || take(&fronts, number, &record))
        })
        .collect();
    let mut third = None;
    if let Some(second) = &second {
        sleep_ms(SECOND_START_MS);
        record.log(format!(
            "replica i-7f3a91c2 (v2) crashes with {} requests",
            second.running.load(Ordering::SeqCst)
        ));
        second.kill();
        sleep_ms(20);
        third = Some(start("i-7f3a91c2", "v1", address, Duration::ZERO)?);
        record.log("replica i-7f3a91c2 is back with v1");
    }
    let mut mixed = 0;
    let mut taken = 0;
    for caller in callers {
        let tries = caller
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
        let events = tries.iter().flat_map(|seen| &seen.events);
        let versions: BTreeSet<&str> =
            events.filter_map(|(_, data)| data.split(' ').next()).collect();
        mixed += usize::from(versions.len() > 1);
        taken += usize::from(tries.len() > 1);
        let id = tries.first().map_or("", |seen| &seen.id);
        record.log(format!("stream {id}: versions {versions:?}"));
    }
    drop(third);
    record.log(format!(
        "{STREAMS} streams, {taken} taken up again, {mixed} with events of two versions; the rule allows two"
    ));
    println!("{taken} of {STREAMS} taken up again, {mixed} mixed");
    Ok(mixed > 2)
}

/// Reads a stream, and takes it up again at another node when it breaks off.
fn take(fronts: &[SocketAddrV4], number: usize, record: &Record) -> Vec<Seen> {
    let until = Instant::now() + DEADLINE;
    let mut tries: Vec<Seen> = Vec::new();
    let mut last = 0;
    let first_id = format!("c0ffee{number:09x}0");
    for step in 0..=MAX_RESUMPTIONS {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(200) {
            break;
        }
        let id = format!("c0ffee{number:09x}{step}");
        let mut headers = Vec::new();
        if last > 0 {
            headers.push(("Last-Event-Id", last.to_string()));
            headers.push(("Resumes", first_id.clone()));
        }
        let front = fronts[(number + step) % fronts.len()];
        let seen = read_stream(front, "/pufi791/2f", &id, &headers, left);
        let first = seen.events.first().map_or("", |(_, data)| data);
        record.log(format!(
            "stream {id} at {front}: after event {last}, status {}, {} events, the first from {first}, complete: {}, after {} ms {}",
            seen.status,
            seen.events.len(),
            seen.is_complete,
            seen.after_ms,
            seen.error
        ));
        if let Some((event, _)) = seen.events.last() {
            last = *event;
        }
        let is_over = seen.is_complete || last == 0;
        let pause = seen.retry_after.unwrap_or(0.05);
        tries.push(seen);
        if is_over {
            break;
        }
        thread::sleep(Duration::from_secs_f64(pause));
    }
    tries
}
