//! One request, from its head to the answer.
//!
//! ```text
//! route, key → body → quota → replica → answer, or another replica
//! ```
//!
//! A request goes to a second replica only if the first is known not to have
//! run it, or if it may run twice; and only within the route's attempts, the
//! retry budget and the deadline. `Attempts` is that rule.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};
use tracing::info;

use super::{
    Gateway,
    accept::{accept, cost_of, passed_on},
    bodies::Share,
    dialect::{Answered, Asked, Sending},
    fleet::{End, Target},
    flight::Flight,
    parts::{blocks_of, ends_of},
    plan::{Repeat, Route, Team},
    refusal::{Refusal, shown},
    relay,
    server::{Body, full},
    upstream::{Failed, Fault, Line},
};
use crate::{
    decide::route::Ask,
    fingerprint,
    metrics::{Labels, Running},
    verdict::Verdict,
};

/// Answers up to this many bytes are read to the end before any of it goes
/// on, so that one that breaks off can still be asked for elsewhere.
const WHOLE_ANSWER: u64 = 256 * 1024;
/// A request that may be repeated is tried elsewhere when its replica has
/// been silent for this many times the route's target.
const SILENT_TARGETS: u32 = 3;
/// The shortest silence that is taken for a fault, in ms.
const LEAST_SILENCE_MS: u64 = 400;
/// Replicas that may turn one request away, beside those that may run it.
const TURNED_AWAY: u32 = 2;
/// When to come back while no replica can be reached, in ms: about what it
/// takes for a replica's failure or return to become known everywhere.
const NO_REPLICA_MS: u64 = 500;
/// Requests that stand in line are a second's worth at most.
const LATER_MS: u64 = 400;
/// The least urgent level there is.
const LEAST_URGENT: u32 = 9;

/// A request on its way.
pub(super) struct Work {
    pub gateway: Arc<Gateway>,
    pub route: Route,
    pub service: String,
    pub team: Option<Team>,
    pub asked: Asked,
    pub method: Method,
    /// Path and query, as they came.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Names what is asked for; see [`fingerprint`].
    pub fingerprint: u64,
    pub _room: Share,
    pub began: Instant,
    pub deadline: Instant,
    pub attempts: Attempts,
    /// The router's latest choice, for the log.
    pub chosen: Option<Target>,
    pub _running: Running,
}

/// Which replicas had a request, and whether it may go to one more.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    /// Those that may have run it.
    pub ran: u32,
    /// Those that turned it away.
    pub turned_away: u32,
    /// All of them, for the router.
    pub avoid: Vec<(String, u64)>,
}

impl Attempts {
    /// Notes a replica that has been tried without success.
    pub fn note(&mut self, replica: &str, verdict: Verdict) {
        match verdict {
            Verdict::NotRun => self.turned_away += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.ran += 1,
        }
        self.avoid.push((replica.to_owned(), 0));
    }

    /// True when one more replica may have it.
    pub fn may_go_on(&self, repeat: Repeat, most: u32) -> bool {
        let again = self.ran == 0 || repeat.is_repeatable();
        again && self.ran < most && self.turned_away <= TURNED_AWAY
    }
}

/// Answers one request.
pub async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<Body> {
    let began = Instant::now();
    let asked = gateway.dialect.read(request.headers());
    let id = asked.id.clone();
    match accept(&gateway, request, asked, began).await {
        Ok(work) => {
            gateway.begun.fetch_add(1, Ordering::Relaxed);
            run(work).await
        }
        Err(refusal) => {
            refusal.note(&gateway.metrics, id.as_ref(), began);
            refusal.into_response()
        }
    }
}

// ---- At the replicas ----------------------------------------------------------

/// What one replica made of a request.
pub(super) enum Reply {
    /// The head of an answer that is passed on as it comes.
    Streams(Box<relay::Source>, Response<()>),
    /// A whole answer.
    Whole(Response<Bytes>),
}

async fn run(mut work: Work) -> Response<Body> {
    let gateway = work.gateway.clone();
    let id = work.asked.id.clone();
    let route = work.route.name.clone();
    let began = work.began;
    let result = work.run().await;
    match result {
        Ok(Reply::Whole(answer)) => {
            work.log(answer.status(), "answered");
            work.note_first_token();
            work.note_end();
            answer.map(full)
        }
        Ok(Reply::Streams(source, head)) => {
            work.log(head.status(), "streams");
            work.note_first_token();
            relay::open(work, *source, head)
        }
        Err(refusal) => {
            if refusal.verdict == Verdict::NotRun {
                work.give_back();
            }
            let refusal = Refusal { route, ..refusal };
            refusal.note(&gateway.metrics, id.as_ref(), began);
            refusal.into_response()
        }
    }
}

impl Work {
    /// Milliseconds by the timer's clock.
    pub fn now(&self) -> u64 {
        self.gateway.timer.now()
    }

    async fn run(&mut self) -> Result<Reply, Refusal> {
        let mut last = Refusal::later("no replica is there", NO_REPLICA_MS);
        let mut answer = None;
        loop {
            if Instant::now() >= self.deadline {
                let verdict = last.verdict;
                return self.settle(answer, Refusal::late(verdict));
            }
            let tried = self.attempts.ran + self.attempts.turned_away;
            let target = match tried {
                0 => self.gateway.wait_at_start(|| self.pick()).await,
                _ => self.pick(),
            };
            let Some(target) = target else {
                let refusal = match tried {
                    0 => self.limited().unwrap_or(last),
                    _ => last,
                };
                return self.settle(answer, refusal);
            };
            if let Some(refusal) = self.overload(&target, tried) {
                self.forget(&target);
                return self.settle(answer, refusal);
            }
            if tried == 0 {
                self.gateway.fleet().sent(self.now(), &self.service);
            }
            self.gateway.fleet().note_sent(
                self.now(),
                &self.service,
                &target,
                &self.asked.parts,
            );
            self.chosen = Some(target.clone());
            match self.attempt(&target, self.asked.last_event).await {
                Ok(Reply::Whole(failure)) if is_failure(&failure) => {
                    self.attempts.note(&target.replica, Verdict::Ran);
                    answer = Some(failure);
                }
                Ok(reply) => return Ok(reply),
                Err(failed) => {
                    info!(
                        target: "gateway",
                        request = shown(self.asked.id.as_ref()),
                        fingerprint = fingerprint::shown(self.fingerprint),
                        replica = target.replica,
                        verdict = failed.verdict.as_str(),
                        after_ms = self.began.elapsed().as_millis() as u64,
                        "Attempt failed: {}.", failed.text
                    );
                    self.attempts.note(&target.replica, failed.verdict);
                    last = match (failed.verdict, failed.sent) {
                        (Verdict::NotRun, true) => {
                            Refusal::later("the replicas are full", LATER_MS)
                        }
                        (Verdict::NotRun, false) => Refusal::later(
                            "no replica can be reached",
                            NO_REPLICA_MS,
                        ),
                        _ => Refusal::doubtful("the replica did not answer"),
                    };
                    if self.attempts.ran > 0 {
                        last.verdict = Verdict::MayHaveRun;
                    }
                    if self.attempts.ran > 0
                        && failed.verdict == Verdict::NotRun
                    {
                        last = Refusal::doubtful("no replica answered");
                    }
                    if Instant::now() >= self.deadline {
                        last = Refusal::late(last.verdict);
                    }
                }
            }
            if !self.may_repeat() {
                return self.settle(answer, last);
            }
        }
    }

    /// A replica's own failure is passed on before one of the gateway's.
    fn settle(
        &self,
        answer: Option<Response<Bytes>>,
        refusal: Refusal,
    ) -> Result<Reply, Refusal> {
        answer.map(Reply::Whole).ok_or(refusal)
    }

    /// Whether one more replica may be asked; counts it if so.
    pub fn may_repeat(&self) -> bool {
        let route = &self.route;
        if !self.attempts.may_go_on(route.repeat, route.attempts) {
            return false;
        }
        let kept = self.gateway.kept_away(self.fingerprint, &self.service);
        if kept.is_some() {
            return false;
        }
        let entries = self.gateway.entries();
        let now = self.now();
        self.gateway.fleet().repeat(now, &self.service, entries)
    }

    /// The router's choice among replicas that have not had the request.
    pub fn pick(&self) -> Option<Target> {
        let blocks = blocks_of(&self.asked.parts);
        let tokens = self.asked.tokens.map_or(0, |(prompt, _)| prompt);
        let ask = Ask {
            tokens: tokens as u32,
            blocks: &blocks,
            ends: &ends_of(&self.asked.parts),
            avoid: &self.attempts.avoid,
        };
        let now = self.now();
        let target = self.gateway.fleet().pick(now, &self.service, &ask)?;
        let had = self.attempts.avoid.iter();
        let had = had.filter(|(id, _)| *id == target.replica).count() > 0;
        if had {
            self.forget(&target);
            return None;
        }
        Some(target)
    }

    /// Takes back a choice that is not made use of.
    fn forget(&self, target: &Target) {
        let now = self.now();
        let mut fleet = self.gateway.fleet();
        fleet.end(now, &self.service, target.ticket, false, End::Unsent);
    }

    /// The team's rank before the route's.
    pub fn priority(&self) -> u32 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }

    /// Asks one replica.
    pub async fn attempt(
        &self,
        target: &Target,
        last_event: Option<u64>,
    ) -> Result<Reply, Failed> {
        let mut flight = Flight::begin(self, target);
        let lines = &self.gateway.lines;
        let taken =
            lines.take(&target.replica, target.address, self.deadline).await;
        let mut line = taken.inspect_err(|_| flight.end = End::Failed)?;
        let request = self.request(target, last_event)?;
        let silence = self.silence(target);
        let sent = line.send(request, self.body.len(), silence).await;
        let response = sent.inspect_err(|failed| {
            let due = Instant::now() < self.deadline;
            if due || failed.verdict != Verdict::MayHaveRun {
                flight.end = match failed.fault {
                    Fault::Broken => End::Broken,
                    _ => End::Failed,
                };
            }
        })?;
        let answered = self.gateway.dialect.judge(
            self.asked.id.as_ref(),
            response.status(),
            response.headers(),
        );
        self.gateway.note_limit(&target.replica, flight.began_at(), &answered);
        self.check(&answered, &mut flight)?;
        let proves = response.status().is_success() && is_framed(&response);
        flight.began(&answered, proves);
        self.gateway.count_began(self.team.as_ref());
        let streams = self.route.repeat.is_stream();
        if streams && response.status().is_success() {
            let (head, body) = response.into_parts();
            let keep = answered.keep_ms;
            let read = Bytes::new();
            let source = relay::Source { read, body, line, flight, keep };
            let head = answer_head(head, &Method::GET);
            return Ok(Reply::Streams(Box::new(source), head));
        }
        self.read_whole(response, line, flight, answered.keep_ms).await
    }

    fn check(
        &self,
        answered: &Answered,
        flight: &mut Flight,
    ) -> Result<(), Failed> {
        let failed = |verdict, text: &str| {
            let text = text.to_owned();
            Err(Failed { verdict, sent: true, fault: Fault::Other, text })
        };
        if !answered.matches {
            flight.end = End::Failed;
            return failed(Verdict::MayHaveRun, "answer to another request");
        }
        if answered.wrong_replica {
            flight.end = End::Failed;
            return failed(Verdict::NotRun, "another replica is there");
        }
        if answered.not_run {
            flight.end = End::Failed;
            return failed(Verdict::NotRun, "the replica refused it");
        }
        Ok(())
    }

    /// Reads an answer to its end, or hands on a long one as it comes.
    async fn read_whole(
        &self,
        response: Response<Incoming>,
        line: Line,
        mut flight: Flight,
        keep: Option<u64>,
    ) -> Result<Reply, Failed> {
        let (head, mut body) = response.into_parts();
        let failure = head.status.is_server_error();
        let mut read = BytesMut::new();
        loop {
            // One that comes in chunks shows its length only as it comes.
            let length = read.len() as u64 + body.size_hint().lower();
            if length > WHOLE_ANSWER {
                let read = read.freeze();
                let source = relay::Source { read, body, line, flight, keep };
                let head = answer_head(head, &self.method);
                return Ok(Reply::Streams(Box::new(source), head));
            }
            match timeout_at(self.deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        read.extend_from_slice(&data);
                    }
                }
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    flight.end = End::Broken;
                    return Err(Failed {
                        verdict: Verdict::Ran,
                        sent: true,
                        fault: Fault::Broken,
                        text: format!("the answer broke off: {error}"),
                    });
                }
                Err(_) => {
                    return Err(Failed {
                        verdict: Verdict::Ran,
                        sent: true,
                        fault: Fault::Other,
                        text: "the answer did not end in time".to_owned(),
                    });
                }
            }
        }
        flight.finish(failure);
        self.gateway.lines.put_back(line, keep.map(Duration::from_millis));
        let head = answer_head(head, &self.method);
        Ok(Reply::Whole(head.map(|()| read.freeze())))
    }

    fn request(
        &self,
        target: &Target,
        last_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, Failed> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut headers = self.headers.clone();
        let team = self.team.as_ref();
        // Room is left between two ranks for what is served first within one.
        let urgency = (2 * self.priority()).min(LEAST_URGENT) as u8;
        let sending = Sending {
            replica: &target.replica,
            team: team.map(|team| team.name.as_str()),
            deadline_ms: left.as_millis() as u64,
            urgency: self.route.repeat.is_stream().then_some(urgency),
            fetch_from: target.fetch_from,
            last_event,
        };
        self.gateway.dialect.write(&mut headers, &sending);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .map_err(|error| Failed {
                verdict: Verdict::NotRun,
                sent: false,
                fault: Fault::Other,
                text: error.to_string(),
            })?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// How long a replica may be silent before its answer begins.
    ///
    /// One that answers others is at work: leaving it would only begin the
    /// same wait elsewhere, and its reading would be in vain.
    fn silence(&self, target: &Target) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut next = self.attempts.clone();
        next.ran += 1;
        if !next.may_go_on(self.route.repeat, self.route.attempts) {
            return left;
        }
        let aim = Duration::from_millis(self.route.target_ms);
        let least = Duration::from_millis(LEAST_SILENCE_MS);
        let short = (aim * SILENT_TARGETS).max(least);
        let fleet = self.gateway.fleet();
        match fleet.is_answering(self.now(), &self.service, &target.replica) {
            true => left.min(short.max(left / 2)),
            false => left.min(short),
        }
    }

    fn give_back(&self) {
        if let Some(team) = &self.team
            && let Some(quota) = team.quota
        {
            let cost = cost_of(&self.asked, quota.plain_tokens);
            self.gateway.give_back(&team.name, cost);
        }
    }

    /// Counts the time until the answer began.
    fn note_first_token(&self) {
        let metrics = &self.gateway.metrics;
        let first = metrics.first_token.get_or_create(&self.labels());
        first.observe(self.began.elapsed().as_secs_f64());
    }

    /// Counts the time until the answer ended, whole.
    pub fn note_end(&self) {
        let metrics = &self.gateway.metrics;
        let latency = metrics.latency.get_or_create(&self.labels());
        latency.observe(self.began.elapsed().as_secs_f64());
    }

    fn labels(&self) -> Labels {
        let team = self.team.as_ref();
        Labels {
            team: team.map_or_else(String::new, |team| team.name.clone()),
            service: self.service.clone(),
        }
    }

    /// One line for the decision and what came of it.
    fn log(&self, status: StatusCode, how: &'static str) {
        let chosen = self.chosen.as_ref();
        info!(
            target: "gateway",
            request = shown(self.asked.id.as_ref()),
            fingerprint = fingerprint::shown(self.fingerprint),
            team = self.team.as_ref().map_or("", |team| &team.name),
            route = self.route.name,
            plan = self.gateway.plan_version(),
            replica = chosen.map_or("", |target| &target.replica),
            prompt_tokens = self.asked.tokens.map_or(0, |(prompt, _)| prompt),
            prefix = self.asked.prefix(),
            foretold_ms = chosen.map_or(0, |one| one.predicted_ms as u64),
            cached = chosen.map_or(0, |target| target.cached_tokens),
            fetches = chosen.is_some_and(|one| one.fetch_from.is_some()),
            takes_per_s = chosen
                .map_or(0.0, |one| self.gateway.named_rate(&one.replica)),
            ran = self.attempts.ran,
            turned_away = self.attempts.turned_away,
            status = status.as_u16(),
            after_ms = self.began.elapsed().as_millis() as u64,
            "Request {how}."
        );
    }
}

/// True for an answer after which another replica may do better.
fn is_failure(answer: &Response<Bytes>) -> bool {
    answer.status().is_server_error()
}

/// True where the end of an answer can be told from a connection that broke.
fn is_framed(answer: &Response<Incoming>) -> bool {
    let headers = answer.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// The head of an answer, for the client.
fn answer_head(head: http::response::Parts, method: &Method) -> Response<()> {
    let length = head.headers.get(header::CONTENT_LENGTH).cloned();
    let mut headers = passed_on(head.headers);
    if let (Some(length), &Method::HEAD) = (length, method) {
        headers.insert(header::CONTENT_LENGTH, length);
    }
    let mut answer = Response::new(());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers;
    answer
}
