//! Callers: they ask where to connect, keep connections until these are
//! gone, and check every answer.

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
    http::{Failed, Sender, call, connect},
    promise::Kind,
    replica::{EVENTS, body, event, seal},
};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(6);
/// How long an answer of the directory is kept.
const KEPT: Duration = Duration::from_secs(2);

/// One caller, which asks one thing after the other.
pub struct Caller {
    shared: Arc<Shared>,
    rng: StdRng,
    number: u64,
    requests: u64,
    known: Vec<SocketAddrV4>,
    known_at: Option<Instant>,
    connection: Option<Sender>,
}

impl Caller {
    /// Starts with nothing known.
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
        }
    }

    /// Asks until the soak stops.
    pub async fn run(mut self) {
        while self.shared.is_running() {
            let pause = self.rng.random_range(20..600);
            sleep(Duration::from_millis(pause)).await;
            let kind = *Kind::ALL.choose(&mut self.rng).expect("four");
            self.requests += 1;
            let id = format!(
                "{:04x}{:06x}{:06x}",
                self.shared.seed & 0xffff,
                self.number,
                self.requests
            );
            let began = Instant::now();
            match timeout(PATIENCE, self.ask(kind, &id)).await {
                Ok(Ok(true)) => self.shared.ledger.served(began.elapsed()),
                Ok(Ok(false)) => self.shared.ledger.refused(kind, &id),
                Ok(Err(_)) | Err(_) => {
                    self.connection = None;
                    self.shared.ledger.failed();
                }
            }
        }
    }

    /// True when it was served, false when it did not run.
    async fn ask(&mut self, kind: Kind, id: &str) -> Result<bool, Failed> {
        let mut sender = match self.connection.take() {
            Some(kept) if kept.is_ready() => kept,
            _ => connect(self.entry().await?).await?,
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("{}x", kind.prefix()))
            .header("host", "here")
            .header("authorization", format!("Bearer {KEY}"))
            .header(wire::REQUEST_ID, id)
            .header(wire::DEADLINE, PATIENCE.as_millis().to_string())
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
            500..600 => return Err(Failed("failed".to_owned())),
            _ => {
                ledger.breach(format!("{id}: {status} for a proper request"));
                return Err(Failed("denied".to_owned()));
            }
        }
        if sealed.as_deref() != Some(&seal(id)) {
            ledger.breach(format!("{id}: success with the seal {sealed:?}"));
        }
        let whole = match kind {
            Kind::Again | Kind::Once => body(id),
            Kind::Stream | Kind::Resume => {
                (1..=EVENTS).map(|number| event(id, number)).collect()
            }
        };
        if text != whole {
            ledger.breach(format!("{kind:?} {id}: ended as whole: {text:?}"));
        }
        Ok(true)
    }

    /// An entry, by the directory.
    async fn entry(&mut self) -> Result<SocketAddrV4, Failed> {
        if self.known_at.is_none_or(|at| at.elapsed() > KEPT) {
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
        let nobody = || Failed("nobody says where to connect".to_owned());
        let entry = *entry.ok_or_else(nobody)?;
        Ok(self.shared.through_proxy(entry))
    }
}
