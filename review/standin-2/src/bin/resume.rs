//! A replica crashes for good less than a heartbeat interval after streams
//! have begun there. Callers take these streams up again. Do they go on?

use std::{
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
const STREAMS: usize = 72;
const NEW_STREAMS: usize = 24;
const EVENTS: u64 = 40;
const GAP_MS: u64 = 50;
/// The deadline of the route's requests.
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Time from the replica's last heartbeat to its crash.
const CRASH_AFTER_MS: u64 = 700;
/// Times that a caller takes its stream up again.
const MAX_RESUMPTIONS: usize = 4;

fn main() {
    run(case)
}

/// One stream: its first attempt, and the attempts that take it up again.
struct Stream {
    tries: Vec<Seen>,
}

impl Stream {
    /// Whether the stream began.
    fn has_begun(&self) -> bool {
        self.tries.first().is_some_and(|seen| !seen.events.is_empty())
    }

    fn was_taken_up(&self) -> bool {
        self.tries.len() > 1
    }

    /// Whether an attempt that took it up brought an event.
    fn went_on(&self) -> bool {
        self.tries.iter().skip(1).any(|seen| !seen.events.is_empty())
    }
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
    let attempts = 1;
    let routes = [RouteText {
        prefix: "/pufi791/",
        kind: "stream",
        timeout_ms: 12_000,
        target_ms: 1000,
        attempts,
        resumable: true,
    }];
    site.put(&config(7, &routes), Duration::from_secs(20))?;
    site.wait_ready(Duration::from_secs(10))?;
    let log = record.clone();
    let handler: Arc<Handler> = Arc::new(move |says, head, _, stream| {
        answer_stream(says, head, stream, EVENTS, GAP_MS, &log)
    });
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let start = |name: &str| {
        let identity = Identity {
            id: name.to_owned(),
            born: wall_ms(),
            version: "v1",
            zone: "salt-lake",
            slots: 64,
        };
        Replica::start(
            identity,
            any,
            site.controls(),
            Duration::ZERO,
            record.clone(),
            handler.clone(),
        )
    };
    let replicas = [
        start("i-7f3a91c2")?,
        start("i-10000001")?,
        start("i-10000002")?,
        start("i-10000003")?,
    ];
    sleep_ms(6000);
    let one = &replicas[0];
    let before = one.last_beat.load(Ordering::SeqCst);
    while one.last_beat.load(Ordering::SeqCst) == before {
        sleep_ms(1);
    }
    let beat_at = one.last_beat.load(Ordering::SeqCst);
    sleep_ms(50);
    let fronts: Vec<SocketAddrV4> =
        (0..NODES).map(|at| site.front(at)).collect();
    let call_for = |number: usize, kind: &'static str| {
        let fronts = fronts.clone();
        let record = record.clone();
        thread::spawn(move || take(&fronts, number, kind, &record))
    };
    let callers: Vec<_> =
        (0..STREAMS).map(|number| call_for(number, "a")).collect();
    let passed = record.ms() - beat_at;
    sleep_ms(CRASH_AFTER_MS.saturating_sub(passed));
    if has_trouble {
        record.log(format!(
            "replica i-7f3a91c2 crashes for good with {} requests",
            one.running.load(Ordering::SeqCst)
        ));
        one.kill();
    }
    sleep_ms(300);
    let others: Vec<_> =
        (0..NEW_STREAMS).map(|number| call_for(number, "b")).collect();
    let mut streams = Vec::new();
    for caller in callers.into_iter().chain(others) {
        let stream = caller
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
        streams.push(stream);
    }
    let begun = streams.iter().filter(|one| one.has_begun()).count();
    let taken = streams.iter().filter(|one| one.was_taken_up()).count();
    let on = streams.iter().filter(|one| one.went_on()).count();
    record.log(format!(
        "{begun} of {} new streams began; {on} of {taken} that were taken up again went on",
        streams.len()
    ));
    println!("{begun} of {} began, {on} of {taken} went on", streams.len());
    let begun_share = begun as f64 / streams.len() as f64;
    let on_share = on as f64 / taken.max(1) as f64;
    Ok(taken >= 12 && on_share < begun_share / 2.0)
}

/// Reads a stream, and takes it up again at another node when it breaks off.
fn take(
    fronts: &[SocketAddrV4],
    number: usize,
    kind: &str,
    record: &Record,
) -> Stream {
    let until = Instant::now() + DEADLINE;
    let mut stream = Stream { tries: Vec::new() };
    let mut last = 0;
    let first_id = format!("c0ffee{kind}{number:08x}0");
    for step in 0..=MAX_RESUMPTIONS {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(200) {
            break;
        }
        let id = format!("c0ffee{kind}{number:08x}{step}");
        let mut headers = Vec::new();
        if last > 0 {
            headers.push(("Last-Event-Id", last.to_string()));
            headers.push(("Resumes", first_id.clone()));
        }
        let front = fronts[(number + step) % fronts.len()];
        let seen = read_stream(front, "/pufi791/2f", &id, &headers, left);
        record.log(format!(
            "stream {id} at {front}: after event {last}, status {}, {} events, complete: {}, after {} ms {}",
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
        stream.tries.push(seen);
        if is_over {
            break;
        }
        thread::sleep(Duration::from_secs_f64(pause));
    }
    stream
}
