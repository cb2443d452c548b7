//! Replicas: they announce themselves, run requests, and fail at times.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex},
    time::Duration,
};

use azuremount_platform::standin as wire;
use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};

use crate::{
    SERVICE, Shared, TEAM,
    http::{Body, Failed, call, full, serve},
    promise::Kind,
    proxy::Proxy,
};

/// Events of a stream.
pub const EVENTS: u64 = 12;
/// Between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long one goes on serving after it has said that it leaves.
const DRAIN: Duration = Duration::from_millis(2500);
/// The parts of requests that are turned away, run without an answer, and
/// broken off.
const TURNED_AWAY: f64 = 0.03;
const LOST: f64 = 0.02;
const BROKEN: f64 = 0.03;

/// The body that a request is answered with.
pub fn body(id: &str) -> String {
    format!("{id}-").repeat(40)
}

/// The seal of its answer.
pub fn seal(id: &str) -> String {
    format!("seal-{id}")
}

/// The data of an event.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// One incarnation.
#[derive(Debug)]
pub struct Replica {
    /// Between it and the nodes.
    pub proxy: Proxy,
    tasks: Vec<JoinHandle<()>>,
    leaving: Arc<Mutex<bool>>,
}

impl Replica {
    /// Starts with an id and an address of its own.
    pub async fn spawn(
        shared: Arc<Shared>,
        number: u64,
    ) -> std::io::Result<Replica> {
        let id = format!("i-{number}");
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let listener = TcpListener::bind(any).await?;
        let port = listener.local_addr()?.port();
        let here = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let proxy = Proxy::spawn(here).await?;
        let rng = StdRng::seed_from_u64(shared.seed ^ (number << 20));
        let runner = Runner {
            id: id.clone(),
            shared: shared.clone(),
            rng: Arc::new(Mutex::new(rng)),
        };
        let handler = move |request| {
            let runner = runner.clone();
            async move { runner.run(request).await }
        };
        let leaving = Arc::new(Mutex::new(false));
        let beats = beat(shared, id, proxy.address, leaving.clone());
        let tasks = vec![serve(listener, handler), tokio::spawn(beats)];
        Ok(Replica { proxy, tasks, leaving })
    }

    /// Ends without a word.
    pub fn crash(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Says that it leaves, goes on for a while, and ends.
    pub fn leave(&self) {
        *lock(&self.leaving) = true;
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.crash();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|held| held.into_inner())
}

async fn beat(
    shared: Arc<Shared>,
    id: String,
    address: SocketAddrV4,
    leaving: Arc<Mutex<bool>>,
) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        let leaves = *lock(&leaving);
        let state = if leaves { "draining" } else { "ready" };
        say(&shared, &id, address, Some(state), sequence).await;
        if leaves {
            sleep(DRAIN).await;
            say(&shared, &id, address, None, sequence).await;
            return;
        }
        sleep(HEARTBEAT).await;
    }
}

/// Tells one node after the other until one has acknowledged it.
async fn say(
    shared: &Shared,
    id: &str,
    address: SocketAddrV4,
    state: Option<&str>,
    sequence: u64,
) {
    let (path, body) = wire::heartbeat(id, SERVICE, address, state, sequence);
    for _ in 0..4 {
        let node = shared.any_control();
        let said = call(node, Method::POST, &path, Some(&body)).await;
        if said.is_ok_and(|(status, _)| status.is_success()) {
            return;
        }
    }
}

#[derive(Clone)]
struct Runner {
    id: String,
    shared: Arc<Shared>,
    rng: Arc<Mutex<StdRng>>,
}

impl Runner {
    fn happens(&self, part: f64) -> bool {
        lock(&self.rng).random_bool(part)
    }

    async fn run(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failed> {
        let text = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let id = text(wire::REQUEST_ID).unwrap_or_default();
        let ledger = &self.shared.ledger;
        let turn_away = |status| {
            Response::builder()
                .status(status)
                .header(wire::REQUEST_ID, &id)
                .header(wire::NOT_RUN, "1")
                .body(full(""))
        };
        if text(wire::REPLICA).as_deref() != Some(&self.id) {
            return Ok(turn_away(StatusCode::MISDIRECTED_REQUEST)?);
        }
        if self.happens(TURNED_AWAY) {
            return Ok(turn_away(StatusCode::SERVICE_UNAVAILABLE)?);
        }
        if text("authorization").is_some() {
            ledger.breach(format!("{id}: a key was passed on"));
        }
        if text(wire::TEAM).as_deref() != Some(TEAM) {
            ledger.breach(format!("{id}: counted for another team"));
        }
        let path = request.uri().path();
        let kind = Kind::ALL.iter().find(|one| path.starts_with(one.prefix()));
        let kind = kind.copied().unwrap_or(Kind::Again);
        ledger.ran(kind, &id);
        if self.happens(LOST) {
            return Err(Failed("the answer is lost".to_owned()));
        }
        let answer = Response::builder()
            .header(wire::REQUEST_ID, &id)
            .header(wire::SEAL, seal(&id));
        if matches!(kind, Kind::Again | Kind::Once) {
            let work = lock(&self.rng).random_range(5..40);
            sleep(Duration::from_millis(work)).await;
            return Ok(answer.body(full(body(&id)))?);
        }
        let last = text(wire::LAST_EVENT).and_then(|one| one.parse().ok());
        let from = last.unwrap_or(0) + 1;
        let until = match self.happens(BROKEN) {
            true => lock(&self.rng).random_range(from..=EVENTS),
            false => EVENTS + 1,
        };
        Ok(answer.body(events(id.clone(), from, until))?)
    }
}

/// Events from `from` on; broken off before `until`.
fn events(id: String, from: u64, until: u64) -> Body {
    let frames = stream::unfold(from, move |number| {
        let id = id.clone();
        async move {
            if number > EVENTS {
                return None;
            }
            sleep(Duration::from_millis(20)).await;
            if number == until {
                let broken = std::io::Error::other("broken off");
                return Some((Err(broken), EVENTS + 1));
            }
            let bytes = Bytes::from(event(&id, number));
            Some((Ok(Frame::data(bytes)), number + 1))
        }
    });
    StreamBody::new(Box::pin(frames)).boxed()
}
