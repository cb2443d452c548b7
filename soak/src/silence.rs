//! Sound replicas, all or some of them, that are silent for a moment and then
//! go on: they send no answers and no heartbeats, and their connections stay
//! open. No request may end for that.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use azuremount_platform::standin as wire;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{sleep, sleep_until, timeout};

use crate::{
    KEY, Shared,
    http::{Failed, connect},
    operator,
    promise::Kind,
    replica::body,
};

/// Header with the pause between two events of a stream, in ms. Its requests
/// meet no fault but silence.
pub const GAP: &str = "soak-gap-ms";
/// Length of a silence, in ms.
const SILENCE_MS: std::ops::RangeInclusive<u64> = 800..=1800;
/// Pause between two silences, in ms.
const PAUSE_MS: std::ops::Range<u64> = 1500..5000;
/// Longest pause between two events of a stream, in ms.
const MAX_GAP_MS: u64 = 400;
/// Silences in the check after the last fault.
const CHECKED_SILENCES: usize = 2;
/// Requests that meet each of them, and the time in which they are sent.
const REQUESTS: u64 = 24;
const SENDING_MS: u64 = 2000;
/// Time after the first request at which the silence begins.
const SILENT_AFTER: Duration = Duration::from_millis(1000);
/// Time in which nodes hear of the replicas again.
const RECOVERY: Duration = Duration::from_millis(2000);
/// Time for which a caller waits for an answer: that of the routes. The longest
/// stream takes 4.8 s and one silence.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Which replicas are silent, and until when.
#[derive(Debug, Default)]
pub struct Silences {
    silent: Mutex<Option<(u64, Instant)>>,
    /// True once only the check silences replicas. Streams that meet more than
    /// one silence may reach the timeout of their route.
    is_checked: AtomicBool,
}

impl Silences {
    /// Waits until the replica with this number is no longer silent.
    pub async fn wait(&self, number: u64) {
        while let Some(until) = self.until(number) {
            sleep_until(until.into()).await;
        }
    }

    fn until(&self, number: u64) -> Option<Instant> {
        let silent = *self.lock();
        let (modulus, until) = silent?;
        let is_silent =
            number.is_multiple_of(modulus) && Instant::now() < until;
        is_silent.then_some(until)
    }

    /// Returns true once silences are checked, and nothing else may end a
    /// request.
    pub fn is_checked(&self) -> bool {
        self.is_checked.load(Ordering::Relaxed)
    }

    /// Silences all replicas, or only those with an even number.
    fn begin(&self, all: bool, ms: u64) {
        let modulus = if all { 1 } else { 2 };
        let until = Instant::now() + Duration::from_millis(ms);
        *self.lock() = Some((modulus, until));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<(u64, Instant)>> {
        self.silent.lock().unwrap_or_else(|held| held.into_inner())
    }
}

/// Silences replicas now and then until the last fault.
pub async fn vary(shared: Arc<Shared>) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0x51_1e4ce);
    while shared.is_running() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let (all, ms) = (rng.random_bool(0.5), rng.random_range(SILENCE_MS));
        if !shared.silences.is_checked() {
            shared.silences.begin(all, ms);
        }
    }
}

/// Checks, after the last fault, that no request ends without a complete
/// answer because its replica is silent while the configuration changes.
pub async fn check(shared: &Arc<Shared>) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0xc4ec4);
    shared.silences.is_checked.store(true, Ordering::Relaxed);
    for round in 0..CHECKED_SILENCES {
        // A silence that began before the check is over, too.
        sleep(RECOVERY).await;
        let mut requests = Vec::new();
        for number in 0..REQUESTS {
            let pause = rng.random_range(0..SENDING_MS);
            let gap_ms = rng.random_range(1..=MAX_GAP_MS);
            let id = format!(
                "{:04x}51{round:02x}{number:08x}",
                shared.seed & 0xffff
            );
            let request = send(shared.clone(), id, number, pause, gap_ms);
            requests.push(tokio::spawn(request));
        }
        sleep(SILENT_AFTER).await;
        let ms = rng.random_range(SILENCE_MS);
        shared.silences.begin(round == 0, ms);
        let version = (shared.ledger.newest_sent() / 2 + 1) * 2;
        operator::put(shared, version).await;
        for request in requests {
            let Ok((kind, id, Err(Failed(how)))) = request.await else {
                continue;
            };
            shared.ledger.record_breach(format!(
                "{kind:?} {id} was lost in a silence of {ms} ms: {how}"
            ));
        }
    }
}

/// Sends a request to a node. Returns an error unless it is answered in full,
/// or refused.
async fn send(
    shared: Arc<Shared>,
    id: String,
    number: u64,
    pause_ms: u64,
    gap_ms: u64,
) -> (Kind, String, Result<(), Failed>) {
    sleep(Duration::from_millis(pause_ms)).await;
    let kind = Kind::ALL[number as usize % Kind::ALL.len()];
    let fronts = shared.fronts();
    let front = fronts[number as usize % fronts.len()].address;
    let asked = timeout(REQUEST_TIMEOUT, ask(front, kind, &id, gap_ms)).await;
    let result = match asked {
        Ok(result) => result,
        Err(_) => Err(Failed("no answer in time".to_owned())),
    };
    (kind, id, result)
}

async fn ask(
    front: std::net::SocketAddrV4,
    kind: Kind,
    id: &str,
    gap_ms: u64,
) -> Result<(), Failed> {
    let mut sender = connect(front).await?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("{}x", kind.prefix()))
        .header("host", "here")
        .header("authorization", format!("Bearer {KEY}"))
        .header(wire::REQUEST_ID, id)
        .header(wire::DEADLINE, REQUEST_TIMEOUT.as_millis().to_string())
        .header(GAP, gap_ms.to_string())
        .body(Full::new(Bytes::from(body(id))))?;
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    answer.into_body().collect().await?;
    match status.as_u16() {
        200..300 | 429 | 503 => Ok(()),
        status => Err(Failed(format!("status {status}"))),
    }
}
