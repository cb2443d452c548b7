//! Stand-in callers, which look up entries in the directory, reuse connections
//! until they close, and check every answer.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use azuremount_platform::standin as wire;
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::{sleep, timeout};

use crate::{
    KEY, Shared,
    fatal::sound_prompt,
    http::{Failed, Sender, call, connect},
    notice,
    promise::Kind,
    replica::{STREAM_EVENTS, body, event, seal},
};

/// Time for which a caller waits for an answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a caller caches an answer of the directory.
const DIRECTORY_CACHE_TTL: Duration = Duration::from_secs(2);

/// One caller, which sends one request at a time.
pub struct Caller {
    pub shared: Arc<Shared>,
    pub rng: StdRng,
    number: u64,
    requests: u64,
    known: Vec<SocketAddrV4>,
    known_at: Option<Instant>,
    connection: Option<Sender>,
    /// Number of the node that the connection leads to.
    node: usize,
}

impl Caller {
    /// Creates a caller that knows no entries yet.
    pub fn new(shared: Arc<Shared>, number: u64) -> Caller {
        let rng = StdRng::seed_from_u64(shared.seed ^ (number << 32));
        Caller {
            shared,
            rng,
            number,
            requests: 0,
            known: Vec::new(),
            known_at: None,
            connection: None,
            node: 0,
        }
    }

    /// Sends requests until the soak stops.
    pub async fn run(mut self) {
        while self.shared.is_running() {
            let pause = self.rng.random_range(20..600);
            sleep(Duration::from_millis(pause)).await;
            let kind = *Kind::ALL.choose(&mut self.rng).expect("four");
            let id = self.next_id();
            let began = Instant::now();
            let asked = match kind {
                Kind::Resume => Ok(self.follow(&id).await),
                _ => timeout(REQUEST_TIMEOUT, self.ask(kind, &id)).await,
            };
            match asked {
                Ok(Ok(true)) => {
                    self.shared.ledger.record_served(began.elapsed())
                }
                Ok(Ok(false)) => self.shared.ledger.record_refused(kind, &id),
                Ok(Err(_)) | Err(_) => {
                    self.connection = None;
                    self.shared.ledger.record_failed();
                }
            }
        }
    }

    /// Returns a new request id.
    pub fn next_id(&mut self) -> String {
        self.requests += 1;
        let seed = self.shared.seed & 0xffff;
        format!("{seed:04x}{:06x}{:06x}", self.number, self.requests)
    }

    /// Sends a request. Returns true if it was served and false if it did not
    /// run.
    async fn ask(&mut self, kind: Kind, id: &str) -> Result<bool, Failed> {
        let mut sender = match self.connection.take() {
            Some(kept) if kept.is_ready() => kept,
            _ => {
                let (node, address) = self.entry().await?;
                self.node = node;
                connect(address).await?
            }
        };
        let sent_ms = self.shared.started.elapsed().as_millis();
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("{}x", kind.prefix()))
            .header("host", "here")
            .header("authorization", format!("Bearer {KEY}"))
            .header(wire::REQUEST_ID, id)
            .header(wire::PARTS, sound_prompt(self.requests as usize))
            .header(notice::NODE, self.node.to_string())
            .header(notice::SENT, sent_ms.to_string())
            .header(wire::DEADLINE, REQUEST_TIMEOUT.as_millis().to_string())
            .body(Full::new(Bytes::from(body(id))))?;
        let answer = sender.send_request(request).await?;
        let served = self.check(kind, id, answer).await?;
        self.connection = Some(sender);
        Ok(served)
    }

    async fn check(
        &self,
        kind: Kind,
        id: &str,
        answer: Response<Incoming>,
    ) -> Result<bool, Failed> {
        let ledger = &self.shared.ledger;
        let status = answer.status().as_u16();
        let sealed = answer.headers().get(wire::SEAL).cloned();
        let sealed =
            sealed.and_then(|one| Some(one.to_str().ok()?.to_owned()));
        let read = answer.into_body().collect().await?.to_bytes();
        let text = String::from_utf8_lossy(&read);
        match status {
            200..300 => {}
            408 | 421 | 429 | 503 => return Ok(false),
            500..600 => return Err(Failed("server error".to_owned())),
            _ => {
                ledger.record_breach(format!(
                    "{id}: status {status} for a valid request"
                ));
                return Err(Failed("unexpected status".to_owned()));
            }
        }
        if sealed.as_deref() != Some(&seal(id)) {
            ledger.record_breach(format!(
                "{id}: success with the wrong seal {sealed:?}"
            ));
        }
        let whole = match kind {
            Kind::Again | Kind::Once => body(id),
            Kind::Stream | Kind::Resume => {
                (1..=STREAM_EVENTS).map(|number| event(id, number)).collect()
            }
        };
        if text != whole {
            ledger.record_breach(format!(
                "{kind:?} {id}: wrong or incomplete body: {text:?}"
            ));
        }
        Ok(true)
    }

    /// Returns the node and the proxy address of a random entry from the
    /// directory.
    pub async fn entry(&mut self) -> Result<(usize, SocketAddrV4), Failed> {
        if self.known_at.is_none_or(|at| at.elapsed() > DIRECTORY_CACHE_TTL) {
            let directory = self.shared.any_directory();
            let asked = call(directory, Method::GET, wire::LOOKUP, None).await;
            if let Ok((status, answer)) = asked
                && status.is_success()
            {
                self.known = wire::entries(&answer);
                self.known_at = Some(Instant::now());
            }
        }
        let entry = self.known.choose(&mut self.rng);
        let no_entry =
            || Failed("the directory has returned no entries".to_owned());
        let entry = *entry.ok_or_else(no_entry)?;
        Ok(self.shared.through_proxy(entry))
    }
}
