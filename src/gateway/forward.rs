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
    accept::{accept, cost_of, remove_hop_by_hop_headers},
    admission::Admitted,
    bodies::Reservation,
    dialect::{AnswerInfo, AttemptInfo, RequestInfo},
    fleet::{Outcome, Target},
    flight::{Carrier, Flight},
    origins::Recording,
    parts::{block_ends, prompt_blocks},
    peer_call::{
        self, ForwardedGuard, accept_forwarded, mark_departure, mark_outcome,
        mark_version, remove_internal_headers,
    },
    plan::{RetryPolicy, Route, Team},
    refusal::{Refusal, Tried, id_text},
    relay,
    resume::Begun,
    rollouts::Guide,
    server::{Body, full},
    survival::Proof,
    upstream::{Connection, Error, Fault},
};
use crate::{
    decide::{
        quarantine::Identity,
        route::{RouteRequest, VersionRule},
    },
    fingerprint,
    mesh::table::record_key,
    metrics::{FailedAttempt, Labels, Running},
    util::name_hash,
    verdict::Verdict,
};

/// Maximum size of an answer that is read to its end before any of it is
/// forwarded, in bytes. If such an answer breaks off, the request can still be
/// retried at another replica.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 256 * 1024;
/// Silence of a replica after which a repeatable request is retried at another
/// replica, as a multiple of the route's target.
const MAX_SILENCE_TARGETS: u32 = 3;
/// Minimum silence that counts as a fault, in ms.
const MIN_SILENCE_MS: u64 = 400;
/// Maximum number of retries after replicas that did not run the request.
/// Replicas that may have run it are limited separately.
const MAX_NOT_RUN_RETRIES: u32 = 2;
/// Retry delay sent to callers while no replica can be reached, in ms: about
/// the time until all nodes know of a replica's failure or return.
const NO_REPLICA_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent to callers while all replicas are full, in ms. A replica's
/// queue holds at most a second's worth of requests.
const REPLICAS_FULL_RETRY_AFTER_MS: u64 = 400;
/// The highest urgency value, which is the least urgent one.
const MAX_URGENCY: u32 = 9;

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
    match accept(&gateway, request, request_info, began).await {
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
    let accepted =
        accept_forwarded(&gateway, request, request_info, began).await;
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

/// What follows while this node does not reach the replicas.
enum Next {
    /// An attempt at a replica, which may be only slow.
    Attempt(Target),
    /// The answer that came through another node.
    Reply(Reply),
    /// No answer, and no point in another attempt.
    Refused(Refusal),
    /// Another attempt, if the request may be retried.
    Retry(Refusal),
    /// No further attempt, as the retry budget is used up.
    Denied,
}

async fn run(
    mut accepted: AcceptedRequest,
) -> Result<Response<Body>, Refusal> {
    let gateway = accepted.gateway.clone();
    let id = accepted.request_info.id.clone();
    let route = accepted.route.name.clone();
    let began = accepted.began;
    let result = match accepted.run().await {
        Ok(reply) if reply.promises_not_run() => Err(Refusal::unproven()),
        Ok(Reply::Streaming(source, head)) if accepted.forwarded.is_some() => {
            // The other node is told the version in the head.
            let (version, begun) = (&source.version, source.begun);
            let settled = accepted.settle_version(version, begun).await;
            let settled = settled.map_err(Refusal::may_have_run);
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

    async fn run(&mut self) -> Result<Reply, Refusal> {
        let text = match self.version {
            StreamVersion::Any => "no replica is there",
            _ => "no replica of the stream's software version is there",
        };
        let mut last = Refusal::retryable(text, NO_REPLICA_RETRY_AFTER_MS);
        let mut answer = None;
        loop {
            if Instant::now() >= self.deadline {
                let verdict = last.verdict;
                return self
                    .answer_or_refuse(answer, Refusal::timed_out(verdict));
            }
            let tried = self.attempts.ran + self.attempts.not_run;
            let is_unreachable = self.gateway.is_unreachable(&self.service);
            let target = match (is_unreachable, tried) {
                (true, _) => self.pick_connected(),
                (false, 0) => self.gateway.wait_at_start(|| self.pick()).await,
                (false, _) => self.pick(),
            };
            let target = match target {
                Some(target) => target,
                None if is_unreachable => match self.forward().await {
                    Next::Attempt(target) => target,
                    Next::Reply(reply) => return Ok(reply),
                    Next::Refused(refusal) => {
                        return self.answer_or_refuse(answer, refusal);
                    }
                    Next::Retry(refusal) => {
                        last = refusal;
                        if !self.allows_retry() {
                            return self.answer_or_refuse(answer, last);
                        }
                        continue;
                    }
                    Next::Denied => {
                        return self.answer_or_refuse(answer, last);
                    }
                },
                None => {
                    let refusal = self.refuse_without_replica(last);
                    return self.answer_or_refuse(answer, refusal);
                }
            };
            let refusal = self.check_quarantine_again(tried);
            if let Some(refusal) =
                refusal.or_else(|| self.check_capacity(&target, tried))
            {
                self.release(&target);
                return self.answer_or_refuse(answer, refusal);
            }
            if !self.claim_arrival() {
                self.release(&target);
                let refusal = self.refuse_without_replica(last);
                return self.answer_or_refuse(answer, refusal);
            }
            self.count_first_attempt();
            self.gateway.fleet().record_sent_parts(
                self.now(),
                &self.service,
                &target,
                &self.request_info.parts,
            );
            self.chosen = Some(target.clone());
            self.record_origin(
                &StreamVersion::of(target.certain_version()),
                record_key(&target.replica),
                None,
            );
            match self.attempt(&target, self.request_info.last_event).await {
                Ok(Reply::Complete(failure)) if is_failure(&failure) => {
                    self.attempts.note(&target.replica, Verdict::Ran, true);
                    answer = Some(failure);
                }
                Ok(reply) => return Ok(reply),
                Err(failed) => {
                    self.log_failed_attempt(&target, &failed);
                    let Error { verdict, sent, .. } = failed;
                    self.attempts.note(&target.replica, verdict, sent);
                    if !sent {
                        self.return_claim();
                        self.return_exposure(&target);
                    }
                    last = match (failed.verdict, failed.sent) {
                        (Verdict::NotRun, true) => Refusal::retryable(
                            "the replicas are full",
                            REPLICAS_FULL_RETRY_AFTER_MS,
                        ),
                        (Verdict::NotRun, false) => Refusal::retryable(
                            "no replica can be reached",
                            NO_REPLICA_RETRY_AFTER_MS,
                        ),
                        _ => {
                            Refusal::may_have_run("the replica did not answer")
                        }
                    };
                    if self.attempts.ran > 0 {
                        last.verdict = Verdict::MayHaveRun;
                    }
                    if self.attempts.ran > 0
                        && failed.verdict == Verdict::NotRun
                    {
                        last = Refusal::may_have_run("no replica answered");
                    }
                    if Instant::now() >= self.deadline {
                        last = Refusal::timed_out(last.verdict);
                    }
                }
            }
            if !self.is_first_elsewhere() && !self.allows_retry() {
                let refusal = self.refuse_without_replica(last);
                return self.answer_or_refuse(answer, refusal);
            }
        }
    }

    /// Forwards the request through another node, as this one does not reach
    /// the replicas.
    async fn forward(&mut self) -> Next {
        match self.call_peers(self.request_info.last_event).await {
            peer_call::Outcome::Reply(reply) => return Next::Reply(reply),
            peer_call::Outcome::Refused(refusal) => {
                return Next::Refused(refusal);
            }
            peer_call::Outcome::Failed(failed) => {
                self.attempts.note("", failed.verdict, true);
                let text = "another node did not answer";
                return Next::Retry(Refusal::may_have_run(text));
            }
            peer_call::Outcome::Denied => return Next::Denied,
            peer_call::Outcome::NoPeer => {}
        }
        // Where no node reaches the replicas, they may be only too slow for
        // probes.
        let may_be_slow = !self.gateway.is_disconnected(&self.service);
        match may_be_slow.then(|| self.pick()).flatten() {
            Some(target) => Next::Attempt(target),
            None => Next::Refused(peer_call::unreachable()),
        }
    }

    /// Returns true if no replica may have run the request and the next
    /// attempt goes through another node.
    fn is_first_elsewhere(&self) -> bool {
        self.attempts.ran == 0
            && self.attempts.not_run <= MAX_NOT_RUN_RETRIES + 1
            && self.gateway.is_unreachable(&self.service)
    }

    /// Returns a replica's error answer if there is one, otherwise the
    /// refusal.
    fn answer_or_refuse(
        &self,
        answer: Option<Response<Bytes>>,
        refusal: Refusal,
    ) -> Result<Reply, Refusal> {
        answer.map(Reply::Complete).ok_or(refusal)
    }

    /// Refuses a request that became quarantined while it waited for its first
    /// attempt.
    fn check_quarantine_again(&self, tried: u32) -> Option<Refusal> {
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
            Guide::Free => self.pick_freely(),
            Guide::Wait => None,
            Guide::Avoid(to) => self.pick_without(to),
            Guide::Move(to) => self.pick_version(to),
            Guide::Try(to) => {
                if let Some(target) = self.pick_version(to) {
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
                self.pick_without(to)
            }
        }?;
        gateway.record_exposure(service, route, &target.version);
        Some(target)
    }

    fn pick_freely(&self) -> Option<Target> {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        match &self.version {
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
    fn pick_version(&self, to: u64) -> Option<Target> {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        match &self.version {
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
    fn pick_without(&self, to: u64) -> Option<Target> {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        match &self.version {
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
    fn pick_connected(&self) -> Option<Target> {
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

    fn release_slot(&self, target: &Target) {
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

    /// Sends the request to one replica and reads its answer.
    pub async fn attempt(
        &self,
        target: &Target,
        last_event: Option<u64>,
    ) -> Result<Reply, Error> {
        let mut flight = Flight::begin(self, target);
        let connections = &self.gateway.connections;
        let taken = connections
            .take(&target.replica, target.address, self.deadline)
            .await;
        let mut connection = taken.inspect_err(|_| {
            flight.end = Outcome::Failed;
            flight.is_judged = false;
            self.gateway
                .record_connection_failure(&self.service, &target.replica);
        })?;
        let request = self.request(target, last_event)?;
        let max_silence = self.max_silence(target);
        let may_repeat = self.may_repeat();
        let sent = tokio::select! {
            sent = connection.send(request, self.body.len(), max_silence) => {
                sent
            }
            () = self.gateway.wait_until_lost(&self.service), if may_repeat => {
                Err(Error::may_have_run("all paths to the replicas are lost"))
            }
        };
        let mut response = sent.inspect_err(|failed| {
            if !failed.sent {
                self.gateway
                    .record_connection_failure(&self.service, &target.replica);
            }
            flight.is_judged &= failed.sent;
            let due = Instant::now() < self.deadline;
            if due || failed.verdict != Verdict::MayHaveRun {
                flight.end = match failed.fault {
                    Fault::Broken => Outcome::Disconnected,
                    _ => Outcome::Failed,
                };
            }
        })?;
        self.gateway.fleet().record_heard(self.now(), &self.service);
        let answer_info = self.gateway.dialect.parse_answer(
            self.request_info.id.as_ref(),
            response.status(),
            response.headers(),
        );
        let proof = self.gateway.check_proof(
            &target.replica,
            response.status(),
            &answer_info,
        );
        if let Err(text) = proof {
            flight.end = Outcome::Failed;
            return Err(Error::unproven(text));
        }
        self.gateway.record_rate_limit(
            &target.replica,
            flight.began_at(),
            &answer_info,
        );
        let retry_after = response.headers().get(header::RETRY_AFTER);
        self.record_notices(&target.replica, &answer_info, retry_after);
        remove_internal_headers(response.headers_mut());
        if answer_info.is_leaving && self.forwarded.is_some() {
            mark_departure(response.headers_mut(), &target.replica);
        }
        if answer_info.not_run || answer_info.wrong_replica {
            flight.is_judged = false;
        }
        if answer_info.not_run {
            let mut fleet = self.gateway.fleet();
            fleet.record_rejected(self.now(), &self.service, target.ticket);
        }
        self.check_answer(&answer_info, &mut flight)?;
        let proof = match response.status().is_success() {
            true if is_framed(&response) => Proof::Complete,
            true => Proof::WhenHeard,
            false => Proof::None,
        };
        flight.began(&answer_info, proof);
        self.gateway.count_began(self.team.as_ref());
        let streams = self.route.retry_policy.is_stream();
        if streams && response.status().is_success() {
            let is_framed = is_framed(&response);
            let (head, body) = response.into_parts();
            let keep_ms = answer_info.keep_ms;
            let read = Bytes::new();
            let carrier = Carrier::Replica(flight);
            let version = StreamVersion::of(target.certain_version());
            let age = connection.opened_at().elapsed().as_millis() as u64;
            let begun = Some(Begun {
                replica: record_key(&target.replica),
                opened_at: self.now().saturating_sub(age),
            });
            let source = relay::Source {
                read,
                body,
                is_framed,
                connection,
                carrier,
                keep_ms,
                version,
                begun,
            };
            let head = answer_head(head, &Method::GET);
            return Ok(Reply::Streaming(Box::new(source), head));
        }
        let carrier = Carrier::Replica(flight);
        self.read_answer(response, connection, carrier, answer_info.keep_ms)
            .await
    }

    fn check_answer(
        &self,
        answer_info: &AnswerInfo,
        flight: &mut Flight,
    ) -> Result<(), Error> {
        let failed = |verdict, text: &str| {
            let text = text.to_owned();
            Err(Error { verdict, sent: true, fault: Fault::Other, text })
        };
        if answer_info.wrong_replica {
            flight.end = Outcome::Failed;
            return failed(Verdict::NotRun, "another replica has the address");
        }
        if answer_info.not_run {
            flight.end = match answer_info.backoff.replaces_penalty() {
                true => Outcome::BackedOff,
                false => Outcome::Failed,
            };
            return failed(Verdict::NotRun, "the replica rejected it");
        }
        Ok(())
    }

    /// Reads an answer to its end, or returns a long one to be streamed.
    pub async fn read_answer(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        mut carrier: Carrier,
        keep_ms: Option<u64>,
    ) -> Result<Reply, Error> {
        let is_framed = is_framed(&response);
        let (head, mut body) = response.into_parts();
        let failure = head.status.is_server_error();
        let mut read = BytesMut::new();
        loop {
            // The length of a chunked answer is not known in advance.
            let length = read.len() as u64 + body.size_hint().lower();
            if length > MAX_BUFFERED_ANSWER_BYTES {
                let read = read.freeze();
                let version = StreamVersion::Any;
                let source = relay::Source {
                    read,
                    body,
                    is_framed,
                    connection,
                    carrier,
                    keep_ms,
                    version,
                    begun: None,
                };
                let head = answer_head(head, &self.method);
                return Ok(Reply::Streaming(Box::new(source), head));
            }
            match timeout_at(self.deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        connection.grant(data.len());
                        read.extend_from_slice(&data);
                    }
                }
                Ok(None) => break,
                Ok(Some(Err(error))) => {
                    let fault = if connection.is_oversized() {
                        carrier.fail();
                        Fault::Oversized
                    } else {
                        carrier.disconnect();
                        Fault::Broken
                    };
                    return Err(Error {
                        verdict: Verdict::Ran,
                        sent: true,
                        fault,
                        text: format!("the answer broke off: {error}"),
                    });
                }
                Err(_) => {
                    return Err(Error {
                        verdict: Verdict::Ran,
                        sent: true,
                        fault: Fault::Other,
                        text: "the answer was not complete in time".to_owned(),
                    });
                }
            }
        }
        carrier.finish(failure);
        let pool = carrier.pool(&self.gateway);
        pool.put_back(connection, keep_ms.map(Duration::from_millis));
        let head = answer_head(head, &self.method);
        Ok(Reply::Complete(head.map(|()| read.freeze())))
    }

    fn request(
        &self,
        target: &Target,
        last_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut headers = self.headers.clone();
        let team = self.team.as_ref();
        // Doubling leaves a value between two priorities, for requests that go
        // first within one of them.
        let urgency = (2 * self.priority()).min(MAX_URGENCY) as u8;
        let attempt_info = AttemptInfo {
            replica: &target.replica,
            team: team.map(|team| team.name.as_str()),
            deadline_ms: left.as_millis() as u64,
            urgency: self.route.retry_policy.is_stream().then_some(urgency),
            fetch_from: target.fetch_from,
            last_event,
        };
        self.gateway.dialect.set_headers(&mut headers, &attempt_info);
        self.request_with(headers)
    }

    /// Returns the request with these headers.
    pub fn request_with(
        &self,
        headers: HeaderMap,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .map_err(Error::not_sent)?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Returns how long a replica may be silent before its answer begins.
    ///
    /// A replica that answers other requests is working. Another replica would
    /// only make the request wait again, and what the first one has read of
    /// the prompt would be wasted.
    fn max_silence(&self, target: &Target) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if !self.may_repeat() {
            return left;
        }
        let target_time = Duration::from_millis(self.route.target_ms);
        let min_silence = Duration::from_millis(MIN_SILENCE_MS);
        let short_silence =
            (target_time * MAX_SILENCE_TARGETS).max(min_silence);
        let fleet = self.gateway.fleet();
        match fleet.is_answering(self.now(), &self.service, &target.replica) {
            true => left.min(short_silence.max(left / 2)),
            false => left.min(short_silence),
        }
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

    /// Logs and counts an attempt that failed.
    pub fn log_failed_attempt(&self, target: &Target, failed: &Error) {
        info!(
            target: "gateway",
            request = id_text(self.request_info.id.as_ref()),
            fingerprint = fingerprint::shown(self.identity.fingerprint),
            parts = %self.request_info.shown_parts(),
            replica = target.replica,
            verdict = failed.verdict.as_str(),
            fault = failed.fault.as_str(),
            after_ms = self.began.elapsed().as_millis() as u64,
            "Attempt failed: {}.", failed.text
        );
        let fault = FailedAttempt { fault: failed.fault.as_str() };
        self.gateway.metrics.failed_attempts.get_or_create(&fault).inc();
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

/// Returns true for a server error, after which another replica may succeed.
fn is_failure(answer: &Response<Bytes>) -> bool {
    answer.status().is_server_error()
}

/// Returns true if the end of the answer can be told from a broken connection.
fn is_framed(answer: &Response<Incoming>) -> bool {
    let headers = answer.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the head of an answer for the caller.
pub(super) fn answer_head(
    head: http::response::Parts,
    method: &Method,
) -> Response<()> {
    let length = head.headers.get(header::CONTENT_LENGTH).cloned();
    let mut headers = remove_hop_by_hop_headers(head.headers);
    if let (Some(length), &Method::HEAD) = (length, method) {
        headers.insert(header::CONTENT_LENGTH, length);
    }
    let mut answer = Response::new(());
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers;
    answer
}
