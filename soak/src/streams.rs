//! Streams that callers leave and resume, while replicas of several software
//! versions serve and restart with other versions.
//!
//! Each event names the version that made it. A stream must have no gap, no
//! event twice and, but for a few streams, events of one version only; resumed
//! streams must go on about as often as new ones begin.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use azuremount_platform::standin as wire;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::{
    KEY,
    caller::{Caller, REQUEST_TIMEOUT},
    http::{Failed, connect},
    promise::{Kind, Ledger},
    replica::{STREAM_EVENTS, body, seal},
};

/// Software versions of replicas, which each start takes in turn.
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// Share of streams that their callers leave and resume at another node.
const LEFT_SHARE: f64 = 0.3;
/// Maximum number of requests for one stream.
const MAX_ATTEMPTS: usize = 4;
/// Pause of a caller before it resumes a stream that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two events.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Streams with events of two versions that are allowed in a run.
const MAX_MIXED_STREAMS: usize = 2;
/// Number of serving replicas of a stream's version from which on it has to go
/// on.
const MIN_SERVING_REPLICAS: usize = 2;
/// Number of resumed streams from which on their share is checked.
const MIN_JUDGED_RESUMPTIONS: u64 = 12;
/// Smallest share of resumed streams that go on, compared to the share of new
/// ones that begin.
const MIN_RESUMED_RATIO: f64 = 0.5;

/// Streams that were to begin, or to go on.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    all: u64,
    streamed: u64,
}

impl Outcomes {
    fn record(&mut self, is_streamed: bool) {
        self.all += 1;
        self.streamed += u64::from(is_streamed);
    }

    fn share(self) -> f64 {
        self.streamed as f64 / self.all.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct State {
    new: Outcomes,
    resumed: Outcomes,
    mixed: Vec<String>,
    /// Versions of all replicas, and whether each of them serves.
    replicas: Vec<(&'static str, Arc<AtomicBool>)>,
}

/// What callers saw of their streams.
#[derive(Debug, Default)]
pub struct Streams {
    started_replicas: AtomicU64,
    state: Mutex<State>,
}

impl Streams {
    /// Returns the software version of a replica that starts now.
    pub fn next_version(&self) -> &'static str {
        let started = self.started_replicas.fetch_add(1, Ordering::Relaxed);
        // Pairs, so that two replicas of each version serve at the start.
        VERSIONS[started as usize / 2 % VERSIONS.len()]
    }

    /// Adds a replica. The flag is cleared when the replica stops serving.
    pub fn add_replica(&self, version: &'static str) -> Arc<AtomicBool> {
        let is_serving = Arc::new(AtomicBool::new(true));
        self.state().replicas.push((version, is_serving.clone()));
        is_serving
    }

    fn can_go_on(&self, stream: &Stream) -> bool {
        let state = self.state();
        let serving = state.replicas.iter().filter(|(version, is_serving)| {
            stream.versions.contains(*version)
                && is_serving.load(Ordering::Relaxed)
        });
        serving.count() >= MIN_SERVING_REPLICAS
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Checks the streams of the whole run.
    pub fn check(&self, ledger: &Ledger) {
        let state = self.state();
        let (new, resumed) = (state.new, state.resumed);
        println!(
            "streams: {} of {} resumed, {} of {} new, {} mixed",
            resumed.streamed,
            resumed.all,
            new.streamed,
            new.all,
            state.mixed.len()
        );
        if state.mixed.len() > MAX_MIXED_STREAMS {
            ledger.record_breach(format!(
                "streams with events of two versions: {:?}",
                state.mixed
            ));
        }
        let is_judged = resumed.all >= MIN_JUDGED_RESUMPTIONS;
        if is_judged && resumed.share() < MIN_RESUMED_RATIO * new.share() {
            ledger.record_breach(format!(
                "resumed streams go on less often than new ones begin: \
                 {resumed:?}, {new:?}"
            ));
        }
    }
}

/// Returns the text of one event of a stream that can be resumed.
pub fn event(number: u64, version: &str) -> String {
    format!("id: {number}\ndata: {version}\n\n")
}

/// One stream, over all requests for it.
#[derive(Debug, Default)]
struct Stream {
    /// Id of the request that brought the first event.
    first: Option<String>,
    last: u64,
    versions: BTreeSet<String>,
    /// Whether a request that resumed it had an event; `None` before the first
    /// such request.
    went_on: Option<bool>,
    /// True if fewer replicas of its version served at any such request than
    /// the check asks for.
    is_excused: bool,
}

/// How a request for a stream ended.
enum End {
    Whole,
    Broken,
    Refused,
}

impl Caller {
    /// Reads a stream to its end, and resumes it where it breaks off. Returns
    /// true if it is whole and false if it did not run.
    pub async fn follow(&mut self, id: &str) -> Result<bool, Failed> {
        let mut stream = Stream::default();
        let until = match self.rng.random_bool(LEFT_SHARE) {
            true => self.rng.random_range(1..STREAM_EVENTS),
            false => STREAM_EVENTS,
        };
        let result = self.read_stream(id, &mut stream, until).await;
        if let (Some(went_on), false) = (stream.went_on, stream.is_excused) {
            self.shared.streams.state().resumed.record(went_on);
        }
        if stream.versions.len() > 1 {
            let text = format!("{:?} {:?}", stream.first, stream.versions);
            self.shared.streams.state().mixed.push(text);
        }
        result
    }

    async fn read_stream(
        &mut self,
        id: &str,
        stream: &mut Stream,
        until: u64,
    ) -> Result<bool, Failed> {
        let mut until = until;
        let mut id = id.to_owned();
        for _ in 0..MAX_ATTEMPTS {
            let reading = self.read_part(&id, stream, until);
            let end = timeout(REQUEST_TIMEOUT, reading).await;
            match end {
                Ok(Ok(End::Whole)) => return Ok(true),
                Ok(Ok(End::Refused)) if stream.first.is_none() => {
                    return Ok(false);
                }
                Ok(Ok(End::Refused)) => sleep(RETRY_PAUSE).await,
                Ok(Ok(End::Broken)) | Ok(Err(_)) | Err(_) => {}
            }
            until = STREAM_EVENTS;
            id = self.next_id();
        }
        Err(Failed("the stream did not come to its end".to_owned()))
    }

    async fn read_part(
        &mut self,
        id: &str,
        stream: &mut Stream,
        until: u64,
    ) -> Result<End, Failed> {
        let (_, address) = self.entry().await?;
        let mut sender = connect(address).await?;
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("{}x", Kind::Resume.prefix()))
            .header("host", "here")
            .header("authorization", format!("Bearer {KEY}"))
            .header(wire::REQUEST_ID, id)
            .header(wire::DEADLINE, REQUEST_TIMEOUT.as_millis().to_string());
        let is_resumed = stream.first.is_some();
        if let Some(first) = &stream.first {
            request = request
                .header(wire::RESUMES, first)
                .header(wire::LAST_EVENT, stream.last.to_string());
        }
        let first = stream.first.clone().unwrap_or_else(|| id.to_owned());
        let request = request.body(Full::new(Bytes::from(body(&first))))?;
        let streams = &self.shared.streams;
        if is_resumed {
            stream.went_on.get_or_insert(false);
            stream.is_excused |= !streams.can_go_on(stream);
        }
        let answer = sender.send_request(request).await?;
        let is_streamed = answer.status().is_success();
        match is_resumed {
            true => stream.is_excused |= !streams.can_go_on(stream),
            false => streams.state().new.record(is_streamed),
        }
        if !is_streamed {
            return match answer.status().as_u16() {
                429 | 503 => Ok(End::Refused),
                status => Err(Failed(format!("status {status}"))),
            };
        }
        let ledger = &self.shared.ledger;
        let sealed = answer.headers().get(wire::SEAL);
        if sealed.is_none_or(|value| *value != seal(id).as_str()) {
            ledger.record_breach(format!("{id}: success with a wrong seal"));
        }
        let mut body = answer.into_body();
        let mut text = String::new();
        loop {
            let frame = match timeout(EVENT_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if stream.last == STREAM_EVENTS => {
                    return Ok(End::Whole);
                }
                Ok(None) => {
                    let last = stream.last;
                    ledger.record_breach(format!("{id}: ends after {last}"));
                    return Ok(End::Broken);
                }
                Ok(Some(Err(_))) | Err(_) => return Ok(End::Broken),
            };
            let data = frame.into_data().unwrap_or_default();
            text.push_str(&String::from_utf8_lossy(&data));
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                if let Err(error) = stream.take(id, &event) {
                    ledger.record_breach(format!("{id}: {error}"));
                }
            }
            if stream.last >= until && until < STREAM_EVENTS {
                return Ok(End::Broken);
            }
        }
    }
}

impl Stream {
    fn take(&mut self, id: &str, event: &str) -> Result<(), String> {
        let mut words = event.split_whitespace();
        let number = words.nth(1).and_then(|word| word.parse().ok());
        let version = words.nth(1).unwrap_or_default();
        if number != Some(self.last + 1) {
            return Err(format!("event {event:?} after {}", self.last));
        }
        self.last += 1;
        if let Some(went_on) = &mut self.went_on {
            *went_on = true;
        }
        self.versions.insert(version.to_owned());
        self.first.get_or_insert_with(|| id.to_owned());
        Ok(())
    }
}
