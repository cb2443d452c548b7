//! Forwards one request to replicas and returns the answer.
//!
//! ```text
//! route, key → body → quota → replica → answer, or another replica
//! ```
//!
//! A request is sent to a second replica only if the first one is known not to
//! have run it, or if the request may run twice. The route's maximum number of
//! attempts, the retry budget and the deadline limit this further. `Attempts`
//! implements the rule.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use tracing::info;

use super::{
    Gateway,
    accept::{accept, cost_of},
    admission::Admitted,
    bodies::Reservation,
    dialect::RequestInfo,
    fleet::{Outcome, Target},
    origins::Recording,
    parts::{block_ends, prompt_blocks},
    peer_call::{
        ForwardedGuard, accept_forwarded, mark_outcome, mark_version,
    },
    plan::{RetryPolicy, Route, Team},
    refusal::{Refusal, Tried, id_text},
    relay,
    resume::Begun,
    rollouts::Guide,
    server::{Body, full},
};
use crate::{
    decide::{
        quarantine::Identity,
        route::{RouteRequest, VersionRule},
    },
    fingerprint,
    metrics::{Labels, Running},
    util::name_hash,
    verdict::Verdict,
};

/// Maximum number of retries after replicas that did not run the request.
/// Replicas that may have run it are limited separately.
pub(super) const MAX_NOT_RUN_RETRIES: u32 = 2;
/// An accepted request, and the state of its attempts.
pub(super) struct AcceptedRequest {
    pub gateway: Arc<Gateway>,
    pub route: Route,
    pub service: String,
    /// The software version that the stream's events come from.
    pub version: StreamVersion,
    /// The incarnation that sends the stream's events, as long as it is not
    /// confirmed; `None` for the events of a resumed stream.
    pub begun: Option<Begun>,
    /// The record of where the stream begins, until its first event is sent.
    pub recording: Option<Recording>,
    /// True from the stream's first event on.
    pub is_settled: bool,
    pub team: Option<Team>,
    pub request_info: RequestInfo,
    pub method: Method,
    /// Path and query, as received.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Identifies what is requested.
    pub identity: Identity,
    /// True if the request is a trial of what is quarantined.
    pub is_trial: bool,
    pub _reservation: Reservation,
    pub began: Instant,
    pub deadline: Instant,
    pub attempts: Attempts,
    /// The replica of the newest attempt, as long as `attempts` does not
    /// include it. The attempt may be dropped at any moment.
    pub pending: Option<String>,
    /// True when a node has counted the first attempt for its retry budget.
    pub is_counted: bool,
    /// When the latest attempt was charged to the retry budget, if it was.
    pub claimed_at: Option<u64>,
    /// Set if another node has forwarded the request to this one.
    pub forwarded: Option<ForwardedGuard>,
    /// Addresses of the nodes that the request was sent to.
    pub peers_tried: Vec<u32>,
    /// The work that was admitted, where nodes share the capacity.
    pub admitted: Option<Admitted>,
    /// The router's latest choice, used for logging.
    pub chosen: Option<Target>,
    pub _running: Running,
}

/// The software version that the events of a stream come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamVersion {
    /// No event has been sent, or the stream can't be resumed.
    Any,
    /// Only replicas of this version may send further events.
    Only(String),
    /// No replica may send further events, as the version is not certain.
    Unknown,
}

impl StreamVersion {
    /// Returns the version of a stream that a version began; it is empty if
    /// that is not certain.
    pub fn of(version: &str) -> StreamVersion {
        match version {
            "" => StreamVersion::Unknown,
            version => StreamVersion::Only(version.to_owned()),
        }
    }

    /// Returns the version, or an empty text if there is no certain one.
    pub fn certain(&self) -> &str {
        match self {
            StreamVersion::Only(version) => version,
            StreamVersion::Any | StreamVersion::Unknown => "",
        }
    }
}

/// The failed attempts of a request, which decide whether there may be
/// another.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    /// Number of replicas that may have run the request.
    pub ran: u32,
    /// Number of replicas that did not run it.
    pub not_run: u32,
    /// Number of times that the request may have arrived at a replica. Each
    /// one after the first is a retry.
    pub arrived: u32,
    /// All of these replicas, which the router avoids.
    pub avoid: Vec<(String, u64)>,
}

impl Attempts {
    /// Creates the attempts of a request that `ran` replicas may have run.
    pub fn after(ran: u32) -> Attempts {
        Attempts { ran, ..Attempts::default() }
    }

    /// Returns the verdict over all attempts.
    pub fn verdict(&self) -> Verdict {
        match self.ran {
            0 => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Records a failed attempt. `is_sent` is true if any of the request may
    /// have arrived at the replica.
    pub fn note(&mut self, replica: &str, verdict: Verdict, is_sent: bool) {
        self.arrived += u32::from(is_sent);
        match verdict {
            Verdict::NotRun => self.not_run += 1,
            Verdict::MayHaveRun | Verdict::Ran => self.ran += 1,
        }
        self.avoid.push((replica.to_owned(), 0));
    }

    /// Returns true when the request may be sent to one more replica.
    pub fn allows_another(
        &self,
        retry_policy: RetryPolicy,
        max_attempts: u32,
    ) -> bool {
        let may_rerun = self.ran == 0 || retry_policy.is_repeatable();
        may_rerun
            && self.ran < max_attempts
            && self.not_run <= MAX_NOT_RUN_RETRIES
    }
}

/// Serves one request of a caller.
pub async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<Body> {
    let began = Instant::now();
    let request_info = gateway.dialect.parse_request(request.headers());
    let id = request_info.id.clone();
    let accepted = tokio::select! {
        biased;
        () = gateway.stop.wait() => Err(Refusal::stopping(Verdict::NotRun)),
        accepted = accept(&gateway, request, request_info, began) => accepted,
    };
    match accepted {
        Ok(accepted) => {
            gateway.accepted_count.fetch_add(1, Ordering::Relaxed);
            run(accepted).await.unwrap_or_else(Refusal::into_response)
        }
        Err(refusal) => {
            refusal.record(&gateway.metrics, id.as_ref(), began);
            refusal.into_response()
        }
    }
}

/// Serves a request that another node forwards.
pub async fn serve_forwarded(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<Body> {
    let began = Instant::now();
    let request_info = gateway.dialect.parse_request(request.headers());
    let id = request_info.id.clone();
    let accepting = accept_forwarded(&gateway, request, request_info, began);
    let accepted = tokio::select! {
        biased;
        () = gateway.stop.wait() => Err(Refusal::stopping(Verdict::NotRun)),
        accepted = accepting => accepted,
    };
    let result = match accepted {
        Ok(accepted) => run(accepted).await,
        Err(refusal) => {
            refusal.record(&gateway.metrics, id.as_ref(), began);
            Err(refusal)
        }
    };
    mark_outcome(result)
}

// ---- Attempts at replicas --------------------------------------------------

/// The answer of one replica.
pub(super) enum Reply {
    /// The head of an answer whose body is streamed to the caller.
    Streaming(Box<relay::Source>, Response<()>),
    /// An answer that was read to its end.
    Complete(Response<Bytes>),
}

impl Reply {
    /// Returns true if callers take the status for a promise that the request
    /// did not run and never will. An answer that proves it is never returned
    /// as a reply, so this one may have run.
    fn promises_not_run(&self) -> bool {
        let status = match self {
            Reply::Streaming(_, head) => head.status(),
            Reply::Complete(answer) => answer.status(),
        };
        matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        )
    }
}

async fn run(
    mut accepted: AcceptedRequest,
) -> Result<Response<Body>, Refusal> {
    let gateway = accepted.gateway.clone();
    let id = accepted.request_info.id.clone();
    let route = accepted.route.name.clone();
    let began = accepted.began;
    let last_event = accepted.request_info.last_event;
    let result = tokio::select! {
        biased;
        result = accepted.ask(last_event) => {
            result.map_err(|exhausted| exhausted.refusal)
        }
        () = gateway.stop.wait() => {
            // The attempts in flight end here.
            accepted.note_pending();
            Err(Refusal::stopping(accepted.attempts.verdict()))
        }
    };
    let result = match result {
        Ok(reply) if reply.promises_not_run() => Err(Refusal::unproven()),
        Ok(Reply::Streaming(source, head)) if accepted.forwarded.is_some() => {
            // The other node is told the version in the head.
            let (version, begun) = (&source.version, source.begun);
            let settled = accepted.settle_version(version, begun).await;
            let settled = settled.map_err(|unsettled| {
                Refusal::may_have_run(unsettled.as_str())
            });
            settled.map(|()| Reply::Streaming(source, head))
        }
        result => result,
    };
    match result {
        Ok(Reply::Complete(answer)) => {
            accepted.log(answer.status(), "answered");
            accepted.observe_first_token();
            accepted.observe_latency();
            Ok(answer.map(full))
        }
        Ok(Reply::Streaming(source, head)) => {
            accepted.log(head.status(), "streams");
            accepted.observe_first_token();
            let head = match accepted.forwarded {
                Some(_) => {
                    mark_version(head, &accepted.version, accepted.begun)
                }
                None => head,
            };
            Ok(relay::open(accepted, *source, head))
        }
        Err(refusal) => {
            let refusal = refusal.after(accepted.attempts.verdict());
            if refusal.verdict == Verdict::NotRun {
                accepted.refund_quota();
            }
            accepted.record_unserved_resumption();
            let Attempts { ran, not_run, arrived, .. } = accepted.attempts;
            let tried = Tried { attempts: ran + not_run, arrived };
            let refusal = Refusal { route, tried, ..refusal };
            refusal.record(&gateway.metrics, id.as_ref(), began);
            Err(refusal)
        }
    }
}

impl AcceptedRequest {
    /// Returns the time by the timer's clock, in ms.
    pub fn now(&self) -> u64 {
        self.gateway.timer.now()
    }

    /// Refuses a request that became quarantined while it waited for its first
    /// attempt.
    pub fn check_quarantine_again(&self, tried: u32) -> Option<Refusal> {
        if tried > 0 || self.is_trial {
            return None;
        }
        let checked =
            self.gateway.check_quarantine(&self.identity, &self.service);
        checked.err()
    }

    /// Returns true when the request may be sent to one more replica, within
    /// its retry budget.
    pub fn allows_retry(&self) -> bool {
        let route = &self.route;
        self.attempts.allows_another(route.retry_policy, route.max_attempts)
            && !self.is_quarantined()
    }

    /// Returns true when the request or a part of its prompt is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.gateway.is_quarantined(&self.identity, &self.service)
    }

    /// Returns the router's choice among the replicas that have not been
    /// tried.
    ///
    /// While a roll-out of the service runs, a share of the attempts goes to
    /// the new version; the choice is counted as an attempt.
    pub fn pick(&self) -> Option<Target> {
        self.pick_for(&self.attempt_version())
    }

    /// Returns the router's choice for a stream whose events may come from
    /// this version.
    fn pick_for(&self, limit: &StreamVersion) -> Option<Target> {
        let (gateway, service) = (&self.gateway, &self.service);
        let route = &self.route.name;
        let may_try = match &self.version {
            StreamVersion::Any => self.attempts.arrived == 0,
            StreamVersion::Only(version) => {
                gateway.is_version_on_trial(service, version)
            }
            StreamVersion::Unknown => false,
        };
        let guide = gateway.guide(service, route, may_try);
        let target = match guide {
            Guide::Free => self.pick_freely(limit),
            Guide::Wait => None,
            Guide::Avoid(to) => self.pick_without(limit, to),
            Guide::Move(to) => self.pick_version(limit, to),
            Guide::Try(to) => {
                if let Some(target) = self.pick_version(limit, to) {
                    // An attempt at a new version that would begin late says
                    // nothing about the version.
                    let is_late =
                        target.predicted_ms > self.route.target_ms as f32;
                    if !is_late || self.version != StreamVersion::Any {
                        return Some(target);
                    }
                    self.release_slot(&target);
                }
                gateway.return_try(service, route);
                self.pick_without(limit, to)
            }
        }?;
        gateway.record_exposure(service, route, &target.version);
        Some(target)
    }

    fn pick_freely(&self, limit: &StreamVersion) -> Option<Target> {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        match limit {
            // A stream that begins at a replica whose version is not certain
            // can't be resumed.
            StreamVersion::Any if is_resumable => self
                .pick_by(VersionRule::Certain)
                .or_else(|| self.pick_by(VersionRule::Any)),
            StreamVersion::Any => self.pick_by(VersionRule::Any),
            StreamVersion::Only(version) => {
                self.pick_by(VersionRule::Only(name_hash(version)))
            }
            StreamVersion::Unknown => None,
        }
    }

    /// Like [`AcceptedRequest::pick_freely`], with one version only.
    fn pick_version(&self, limit: &StreamVersion, to: u64) -> Option<Target> {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        match limit {
            StreamVersion::Any if is_resumable => self
                .pick_by(VersionRule::Only(to))
                .or_else(|| self.pick_by(VersionRule::Of(to))),
            StreamVersion::Any => self.pick_by(VersionRule::Of(to)),
            StreamVersion::Only(version) if name_hash(version) == to => {
                self.pick_by(VersionRule::Only(to))
            }
            StreamVersion::Only(_) | StreamVersion::Unknown => None,
        }
    }

    /// Like [`AcceptedRequest::pick_freely`], without one version.
    fn pick_without(&self, limit: &StreamVersion, to: u64) -> Option<Target> {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        match limit {
            StreamVersion::Any if is_resumable => self
                .pick_by(VersionRule::CertainExcept(to))
                .or_else(|| self.pick_by(VersionRule::Except(to))),
            StreamVersion::Any => self.pick_by(VersionRule::Except(to)),
            StreamVersion::Only(version) if name_hash(version) != to => {
                self.pick_by(VersionRule::Only(name_hash(version)))
            }
            StreamVersion::Only(_) | StreamVersion::Unknown => None,
        }
    }

    /// Whether a replica that is considered slow may be tried again with this
    /// request: a first attempt that is not among the most urgent ones.
    fn may_test_slow_replica(&self) -> bool {
        self.priority() > 0
            && self.attempts.avoid.is_empty()
            && self.version == StreamVersion::Any
    }

    /// Returns a replica of another version than the one that other nodes may
    /// have on record, once they have confirmed that they no longer have it.
    ///
    /// The replica that is looked up first is not reserved meanwhile.
    pub async fn pick_other_version(&mut self) -> Option<Target> {
        if self.attempt_version() == self.version {
            return None;
        }
        let target = self.pick_for(&StreamVersion::Any)?;
        self.release(&target);
        let until = self.gateway.latest_wait();
        match self.lift_version_limit(until).await {
            true => self.pick(),
            false => None,
        }
    }

    fn pick_by(&self, version: VersionRule) -> Option<Target> {
        let blocks = prompt_blocks(&self.request_info.parts);
        let tokens = self.request_info.tokens.map_or(0, |(prompt, _)| prompt);
        let ask = RouteRequest {
            tokens: tokens as u32,
            blocks: &blocks,
            block_ends: &block_ends(&self.request_info.parts),
            excluded: &self.attempts.avoid,
            version,
        };
        let now = self.now();
        let mut fleet = self.gateway.fleet();
        let target = match self.may_test_slow_replica() {
            true => fleet.pick_or_retry_slow(now, &self.service, &ask),
            false => fleet.pick(now, &self.service, &ask),
        }?;
        drop(fleet);
        let tried_before = self.attempts.avoid.iter();
        let tried_before =
            tried_before.filter(|(id, _)| *id == target.replica).count() > 0;
        if tried_before {
            self.release_slot(&target);
            return None;
        }
        Some(target)
    }

    /// Returns a replica to which an open connection works, while no new one
    /// opens to any replica of the service.
    pub fn pick_connected(&self) -> Option<Target> {
        let since = self.gateway.open_connections_work_since(&self.service)?;
        let target = self.pick()?;
        if self.gateway.connections.has_idle_since(&target.replica, since) {
            return Some(target);
        }
        self.release(&target);
        None
    }

    /// Returns true when the request may be sent again after an attempt that
    /// may have run it.
    pub fn may_repeat(&self) -> bool {
        let mut next = self.attempts.clone();
        next.ran += 1;
        next.allows_another(self.route.retry_policy, self.route.max_attempts)
    }

    /// Counts the newest attempt, which was dropped, as one that may have run.
    pub fn note_pending(&mut self) {
        if let Some(replica) = self.pending.take() {
            self.attempts.note(&replica, Verdict::MayHaveRun, true);
        }
    }

    /// Releases a chosen replica without sending the request to it.
    pub fn release(&self, target: &Target) {
        self.return_exposure(target);
        self.release_slot(target);
    }

    /// Takes back the count of an attempt that did not arrive at a replica.
    pub fn return_exposure(&self, target: &Target) {
        let (service, route) = (&self.service, &self.route.name);
        self.gateway.return_exposure(service, route, &target.version);
    }

    pub fn release_slot(&self, target: &Target) {
        let now = self.now();
        let mut fleet = self.gateway.fleet();
        fleet.record_end(
            now,
            &self.service,
            target.ticket,
            false,
            Outcome::NotSent,
        );
    }

    /// Returns the team's priority, or the route's if the team has none.
    pub fn priority(&self) -> u32 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }

    fn refund_quota(&self) {
        if let Some(team) = &self.team
            && let Some(quota) = team.quota
        {
            let cost = cost_of(&self.request_info, quota.default_tokens);
            self.gateway.refund_quota(&team.name, cost);
        }
    }

    /// Records the time until the answer began.
    fn observe_first_token(&mut self) {
        self.record_first_token();
        let metrics = &self.gateway.metrics;
        let first = metrics.first_token.get_or_create(&self.labels());
        first.observe(self.began.elapsed().as_secs_f64());
    }

    /// Records the time until the complete answer ended.
    pub fn observe_latency(&self) {
        self.record_written();
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

    /// Returns the id of the request for the log.
    pub fn request_id(&self) -> &str {
        id_text(self.request_info.id.as_ref())
    }

    /// Logs the routing decision and its outcome in one line.
    fn log(&self, status: StatusCode, how: &'static str) {
        let chosen = self.chosen.as_ref();
        info!(
            target: "gateway",
            request = id_text(self.request_info.id.as_ref()),
            fingerprint = fingerprint::shown(self.identity.fingerprint),
            team = self.team.as_ref().map_or("", |team| &team.name),
            route = self.route.name,
            plan = self.gateway.plan_version(),
            replica = chosen.map_or("", |target| &target.replica),
            version = chosen.map_or("", |target| &target.version),
            last_event = self.request_info.last_event,
            resumes = self.request_info.resumes.as_deref(),
            prompt_tokens = self
                .request_info
                .tokens
                .map_or(0, |(prompt, _)| prompt),
            prefix = self.request_info.prefix(),
            parts = %self.request_info.shown_parts(),
            foretold_ms = chosen
                .map_or(0, |target| target.predicted_ms as u64),
            cached = chosen.map_or(0, |target| target.cached_tokens),
            fetches = chosen.is_some_and(|target| target.fetch_from.is_some()),
            takes_per_s = chosen.map_or(0.0, |target| {
                self.gateway.announced_rate(&target.replica)
            }),
            ran = self.attempts.ran,
            turned_away = self.attempts.not_run,
            status = status.as_u16(),
            after_ms = self.began.elapsed().as_millis() as u64,
            "Request {how}."
        );
    }
}
