//! Replicas: they announce themselves, run requests, and fail at times.

use std::{
    future::pending,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use azuremount_platform::standin as wire;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::{AbortHandle, JoinHandle},
    time::sleep,
};

use crate::{
    SERVICE, Shared, TEAM, fatal,
    http::{Body, Failed, call, full, serve},
    limit::Limit,
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

/// One life of a replica.
#[derive(Debug)]
pub struct Replica {
    /// Between it and the nodes.
    pub proxy: Proxy,
    number: u64,
    born: u64,
    tasks: Vec<JoinHandle<()>>,
    leaving: Arc<Mutex<bool>>,
}

impl Replica {
    /// Starts with an id, made of `number`, and an address of its own.
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
            end: Arc::new(Notify::new()),
            limit: shared.limits.open(),
        };
        let end = runner.end.clone();
        let handler = move |request| {
            let runner = runner.clone();
            async move { runner.answer(request).await }
        };
        let leaving = Arc::new(Mutex::new(false));
        let born = now_ms();
        let life = Life { id, born, address: proxy.address };
        let beats = beat(shared, life, leaving.clone());
        let mut tasks = vec![serve(listener, handler), tokio::spawn(beats)];
        let others: Vec<AbortHandle> =
            tasks.iter().map(JoinHandle::abort_handle).collect();
        let link = proxy.clone();
        tasks.push(tokio::spawn(async move {
            end.notified().await;
            for task in others {
                task.abort();
            }
            link.close();
        }));
        Ok(Replica { proxy, number, born, tasks, leaving })
    }

    /// Crashes and starts again under its id, while a last word of the life
    /// before is still on its way.
    pub async fn start_again(
        &mut self,
        shared: Arc<Shared>,
    ) -> std::io::Result<()> {
        self.crash();
        let former = Life {
            id: format!("i-{}", self.number),
            born: self.born,
            address: self.proxy.address,
        };
        *self = Replica::spawn(shared.clone(), self.number).await?;
        tokio::spawn(async move {
            for pause in [300, 900, 2000] {
                sleep(Duration::from_millis(pause)).await;
                say(&shared, &former, Some("draining"), 1_000_000).await;
            }
        });
        Ok(())
    }

    /// Ends without a word.
    pub fn crash(&self) {
        for task in &self.tasks {
            task.abort();
        }
        self.proxy.close();
    }

    /// True where it serves nobody any more.
    pub fn has_ended(&self) -> bool {
        self.tasks[0].is_finished()
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

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |time| time.as_millis() as u64)
}

/// As which life a replica speaks.
struct Life {
    id: String,
    born: u64,
    address: SocketAddrV4,
}

async fn beat(shared: Arc<Shared>, life: Life, leaving: Arc<Mutex<bool>>) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        let leaves = *lock(&leaving);
        let state = if leaves { "draining" } else { "ready" };
        say(&shared, &life, Some(state), sequence).await;
        if leaves {
            sleep(DRAIN).await;
            say(&shared, &life, None, sequence).await;
            return;
        }
        sleep(HEARTBEAT).await;
    }
}

/// Tells one node after the other until one has acknowledged it.
async fn say(
    shared: &Shared,
    life: &Life,
    state: Option<&str>,
    sequence: u64,
) {
    let Life { id, born, address } = life;
    let (path, body) =
        wire::heartbeat(id, *born, SERVICE, *address, state, sequence);
    for _ in 0..4 {
        let node = shared.any_control();
        let said = call(node, Method::POST, &path, Some(&body)).await;
        if said.is_ok_and(|(status, _)| status.is_success()) {
            return;
        }
    }
}

/// Something that is no replica says something like a heartbeat.
pub async fn speak_nonsense(shared: &Shared, rng: &mut StdRng) {
    let here = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    let (path, mut body) =
        wire::heartbeat("i-nobody", now_ms(), SERVICE, here, Some("ready"), 1);
    let fields = ["Slots", "State", "Seq", "born", "Address"];
    let field = fields[rng.random_range(0..fields.len())];
    body[field] = json!(["another writer"]);
    let node = shared.any_control();
    let said = call(node, Method::POST, &path, Some(&body)).await;
    if said.is_ok_and(|(status, _)| status.is_success()) {
        shared.ledger.breach(format!("a spoilt {field} was acknowledged"));
    }
}

#[derive(Clone)]
struct Runner {
    id: String,
    shared: Arc<Shared>,
    rng: Arc<Mutex<StdRng>>,
    end: Arc<Notify>,
    limit: Arc<Limit>,
}

impl Runner {
    fn happens(&self, part: f64) -> bool {
        lock(&self.rng).random_bool(part)
    }

    /// Runs a request, and names the limit in its answer if there is one.
    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failed> {
        let per_s = self.limit.arrive();
        let mut response = self.run(request).await?;
        if let Some(per_s) = per_s {
            let value = HeaderValue::from_str(&format!("{per_s:.2}"))?;
            response.headers_mut().insert(wire::LIMIT, value);
        }
        Ok(response)
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
        if path == fatal::PATH {
            ledger.ends_under_fatal();
            self.end.notify_one();
            // Until its connection is gone.
            return pending().await;
        }
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
