//! Stand-in replicas, which send heartbeats, run requests and sometimes fail.

use std::{
    future::pending,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use azuremount_platform::standin as wire;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
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
    SERVICE, Shared, TEAM,
    fatal::Fatal,
    http::{Body, Failed, call, full, serve},
    limit::Limit,
    notice::{self, Notices, Reaction},
    promise::Kind,
    proxy::Proxy,
    silence, streams,
};

/// Number of events in a stream.
pub const STREAM_EVENTS: u64 = 12;
/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two heartbeats of a replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Time for which a replica keeps serving after it has announced its
/// departure.
const DRAIN_DURATION: Duration = Duration::from_millis(2500);
/// Shares of requests that a replica rejects, runs without answering, and
/// breaks off during the stream.
const REJECTED_SHARE: f64 = 0.03;
const LOST_ANSWER_SHARE: f64 = 0.02;
const BROKEN_STREAM_SHARE: f64 = 0.03;

/// Returns the body of the answer to a request.
pub fn body(id: &str) -> String {
    format!("{id}-").repeat(40)
}

/// Returns the seal of the answer to a request.
pub fn seal(id: &str) -> String {
    format!("seal-{id}")
}

/// Returns the text of one event of a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

/// One incarnation of a replica.
#[derive(Debug)]
pub struct Replica {
    /// The proxy between the replica and the nodes.
    pub proxy: Proxy,
    number: u64,
    born: u64,
    version: &'static str,
    is_serving: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
    leaving: Arc<Mutex<bool>>,
}

impl Replica {
    /// Starts a replica whose id is made of `number`, on its own address.
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
        let version = shared.streams.next_version();
        let is_serving = shared.streams.add_replica(version);
        let leaving = Arc::new(Mutex::new(false));
        let runner = Runner {
            id: id.clone(),
            number,
            version,
            shared: shared.clone(),
            rng: Arc::new(Mutex::new(rng)),
            end: Arc::new(Notify::new()),
            limit: shared.limits.open(),
            notices: shared.notices.open(),
            leaving: leaving.clone(),
        };
        let end = runner.end.clone();
        let handler = move |request| {
            let runner = runner.clone();
            async move { runner.answer(request).await }
        };
        let born = now_ms();
        let address = proxy.address;
        let incarnation = Incarnation { id, number, born, address, version };
        let heartbeats = send_heartbeats(shared, incarnation, leaving.clone());
        let mut tasks =
            vec![serve(listener, handler), tokio::spawn(heartbeats)];
        let others: Vec<AbortHandle> =
            tasks.iter().map(JoinHandle::abort_handle).collect();
        let link = proxy.clone();
        let serves = is_serving.clone();
        tasks.push(tokio::spawn(async move {
            end.notified().await;
            serves.store(false, Ordering::Relaxed);
            for task in others {
                task.abort();
            }
            link.close();
        }));
        Ok(Replica {
            proxy,
            number,
            born,
            version,
            is_serving,
            tasks,
            leaving,
        })
    }

    /// Crashes the replica and starts it again under the same id, while late
    /// heartbeats of the former incarnation still arrive.
    pub async fn restart(
        &mut self,
        shared: Arc<Shared>,
    ) -> std::io::Result<()> {
        self.crash();
        let former = Incarnation {
            id: format!("i-{}", self.number),
            number: self.number,
            born: self.born,
            address: self.proxy.address,
            version: self.version,
        };
        *self = Replica::spawn(shared.clone(), self.number).await?;
        tokio::spawn(async move {
            for pause in [300, 900, 2000] {
                sleep(Duration::from_millis(pause)).await;
                send_heartbeat(&shared, &former, Some("draining"), 1_000_000)
                    .await;
            }
        });
        Ok(())
    }

    /// Stops the replica without notice.
    pub fn crash(&self) {
        self.is_serving.store(false, Ordering::Relaxed);
        for task in &self.tasks {
            task.abort();
        }
        self.proxy.close();
    }

    /// Returns true when the replica no longer serves requests.
    pub fn has_ended(&self) -> bool {
        self.tasks[0].is_finished()
    }

    /// Makes the replica announce its departure, drain and stop.
    pub fn leave(&self) {
        self.is_serving.store(false, Ordering::Relaxed);
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

/// The incarnation on whose behalf a heartbeat is sent.
struct Incarnation {
    id: String,
    number: u64,
    born: u64,
    address: SocketAddrV4,
    version: &'static str,
}

async fn send_heartbeats(
    shared: Arc<Shared>,
    incarnation: Incarnation,
    leaving: Arc<Mutex<bool>>,
) {
    let mut sequence = 0;
    loop {
        shared.silences.wait(incarnation.number).await;
        sequence += 1;
        let leaves = *lock(&leaving);
        let state = if leaves { "draining" } else { "ready" };
        send_heartbeat(&shared, &incarnation, Some(state), sequence).await;
        if leaves {
            sleep(DRAIN_DURATION).await;
            send_heartbeat(&shared, &incarnation, None, sequence).await;
            return;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a heartbeat to random nodes until one acknowledges it, at most four
/// times.
async fn send_heartbeat(
    shared: &Shared,
    incarnation: &Incarnation,
    state: Option<&str>,
    sequence: u64,
) {
    let Incarnation { id, born, address, version, .. } = incarnation;
    let (path, mut body) =
        wire::heartbeat(id, *born, SERVICE, *address, state, sequence);
    if state.is_some() {
        body["Version"] = json!(version);
    }
    for _ in 0..4 {
        let node = shared.any_control();
        let answer = call(node, Method::POST, &path, Some(&body)).await;
        if answer.is_ok_and(|(status, _)| status.is_success()) {
            return;
        }
    }
}

/// Sends a heartbeat with a field of the wrong type, as from a foreign writer.
/// No node may acknowledge it.
pub async fn send_malformed_heartbeat(shared: &Shared, rng: &mut StdRng) {
    let here = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    let (path, mut body) =
        wire::heartbeat("i-nobody", now_ms(), SERVICE, here, Some("ready"), 1);
    let fields = ["Slots", "State", "Seq", "born", "Address"];
    let field = fields[rng.random_range(0..fields.len())];
    body[field] = json!(["another writer"]);
    let node = shared.any_control();
    let answer = call(node, Method::POST, &path, Some(&body)).await;
    if answer.is_ok_and(|(status, _)| status.is_success()) {
        shared.ledger.record_breach(format!(
            "a heartbeat with a malformed {field} was acknowledged"
        ));
    }
}

#[derive(Clone)]
struct Runner {
    id: String,
    number: u64,
    version: &'static str,
    shared: Arc<Shared>,
    rng: Arc<Mutex<StdRng>>,
    end: Arc<Notify>,
    limit: Arc<Limit>,
    notices: Arc<Notices>,
    leaving: Arc<Mutex<bool>>,
}

impl Runner {
    fn happens(&self, part: f64) -> bool {
        lock(&self.rng).random_bool(part)
    }

    /// Runs a request. Announces the rate limit and the departure, if any, in
    /// the answer.
    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failed> {
        self.shared.silences.wait(self.number).await;
        let per_s = self.limit.record_arrival();
        let reaction = self.react(&request);
        let mut leaves = *lock(&self.leaving);
        let mut response = match reaction {
            Reaction::Reject(seconds) => {
                let id = request.headers().get(wire::REQUEST_ID);
                let mut rejection = Response::builder()
                    .status(StatusCode::SERVICE_UNAVAILABLE)
                    .header(wire::NOT_RUN, "1")
                    .header(header::RETRY_AFTER, seconds.to_string());
                if let Some(id) = id {
                    rejection = rejection.header(wire::REQUEST_ID, id);
                }
                rejection.body(full(""))?
            }
            Reaction::Run => self.run(request).await?,
            Reaction::RunAndLeave => {
                leaves = true;
                self.run(request).await?
            }
        };
        if leaves {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(wire::LEAVING, value);
        }
        if let Some(per_s) = per_s {
            let value = HeaderValue::from_str(&format!("{per_s:.2}"))?;
            response.headers_mut().insert(wire::LIMIT, value);
        }
        Ok(response)
    }

    /// Records a request of a caller that says when it sent it and to which
    /// node.
    fn react(&self, request: &Request<Incoming>) -> Reaction {
        let number = |name: &str| -> Option<u64> {
            request.headers().get(name)?.to_str().ok()?.parse().ok()
        };
        let (Some(node), Some(sent_ms)) =
            (number(notice::NODE), number(notice::SENT))
        else {
            return Reaction::Run;
        };
        let sent = self.shared.started + Duration::from_millis(sent_ms);
        let mut rng = lock(&self.rng);
        self.notices.record_arrival(node as usize, sent, &mut rng)
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
        let reject = |status| {
            Response::builder()
                .status(status)
                .header(wire::REQUEST_ID, &id)
                .header(wire::NOT_RUN, "1")
                .body(full(""))
        };
        if text(wire::REPLICA).as_deref() != Some(&self.id) {
            return Ok(reject(StatusCode::MISDIRECTED_REQUEST)?);
        }
        let gap = text(silence::GAP).and_then(|ms| ms.parse().ok());
        // Requests of the check of silences meet no other fault.
        let is_sound = gap.is_some();
        if !is_sound && self.happens(REJECTED_SHARE) {
            return Ok(reject(StatusCode::SERVICE_UNAVAILABLE)?);
        }
        if text("authorization").is_some() {
            ledger.record_breach(format!(
                "{id}: the API key was forwarded to a replica"
            ));
        }
        if text(wire::TEAM).as_deref() != Some(TEAM) {
            ledger.record_breach(format!("{id}: attributed to another team"));
        }
        let path = request.uri().path();
        let parts = text(wire::PARTS).unwrap_or_default();
        if let Some(fatal) = Fatal::find(path, &parts) {
            ledger.record_fatal_crash(fatal);
            self.end.notify_one();
            // Waits until the connection is closed.
            return pending().await;
        }
        let kind = Kind::ALL.iter().find(|one| path.starts_with(one.prefix()));
        let kind = kind.copied().unwrap_or(Kind::Again);
        ledger.record_run(kind, &id);
        if !is_sound && self.happens(LOST_ANSWER_SHARE) {
            return Err(Failed("answer dropped on purpose".to_owned()));
        }
        let answer = Response::builder()
            .header(wire::REQUEST_ID, &id)
            .header(wire::SEAL, seal(&id));
        if matches!(kind, Kind::Again | Kind::Once) {
            let work = lock(&self.rng).random_range(5..40);
            sleep(Duration::from_millis(work)).await;
            self.shared.silences.wait(self.number).await;
            return Ok(answer.body(full(body(&id)))?);
        }
        let last = text(wire::LAST_EVENT).and_then(|one| one.parse().ok());
        let from = last.unwrap_or(0) + 1;
        let is_broken = !is_sound && self.happens(BROKEN_STREAM_SHARE);
        let until = match is_broken {
            true => lock(&self.rng).random_range(from..=STREAM_EVENTS),
            false => STREAM_EVENTS + 1,
        };
        let version = self.version;
        let event = move |number| match kind {
            Kind::Resume => streams::event(number, version),
            _ => event(&id, number),
        };
        let gap = gap.map_or(EVENT_INTERVAL, Duration::from_millis);
        let (shared, replica) = (self.shared.clone(), self.number);
        let pause = move || {
            let shared = shared.clone();
            async move {
                sleep(gap).await;
                shared.silences.wait(replica).await;
            }
        };
        Ok(answer.body(events(event, pause, from, until))?)
    }
}

/// Returns the events from `from` on, each after a pause. The stream breaks off
/// before `until`.
fn events<P: Future<Output = ()> + Send + Sync + 'static>(
    event: impl Fn(u64) -> String + Clone + Send + Sync + 'static,
    pause: impl Fn() -> P + Clone + Send + Sync + 'static,
    from: u64,
    until: u64,
) -> Body {
    let frames = stream::unfold(from, move |number| {
        let (event, pause) = (event.clone(), pause.clone());
        async move {
            if number > STREAM_EVENTS {
                return None;
            }
            pause().await;
            if number == until {
                let broken =
                    std::io::Error::other("stream broken off on purpose");
                return Some((Err(broken), STREAM_EVENTS + 1));
            }
            let bytes = Bytes::from(event(number));
            Some((Ok(Frame::data(bytes)), number + 1))
        }
    });
    StreamBody::new(Box::pin(frames)).boxed()
}
