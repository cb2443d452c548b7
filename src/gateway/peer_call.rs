//! Forwards requests through another node while this node does not reach the
//! replicas of a service.
//!
//! The request goes to the other node over HTTP as the caller sent it. The
//! header `azuremount-forwarded` contains what the sender has resolved, as a
//! message of [`wire`](crate::wire) in hexadecimal: nodes apply a new plan at
//! different moments, and the other node may not have the sender's. The answer
//! has the header `azuremount-outcome`:
//!
//! | outcome | meaning |
//! |---|---|
//! | `answer` | a replica's answer |
//! | `refused` | a refusal by the other node |
//! | `elsewhere` | a refusal; a third node may accept the request |
//!
//! The answer to a stream that may be resumed also has the header
//! `azuremount-version`: the software version that began it, empty if that is
//! not certain. The header `azuremount-replica` identifies the incarnation that
//! began it, until that is confirmed. If the replica announces in its answer that it leaves, the
//! header `azuremount-leaving` has the id of its incarnation: the sender
//! passes the announcement on, so it has to keep to it as well. Callers get
//! none of these headers.
//!
//! A refusal has the header `azuremount-tried`: the number of attempts at
//! replicas, and how many of them may have arrived. The sender charges its
//! retry budget if the request may have arrived at a replica before it is sent
//! on, and the receiving node for its own retries.
//!
//! The receiving node does everything that concerns replicas: it chooses one,
//! keeps to what replicas announce, retries, and counts the usage. It does not
//! charge the team's quota again, and it never forwards the request to a third
//! node.
//!
//! A node that is silent for half of the time left may be gone, or its replica
//! may be slow. If the request may run twice, the sender then looks for another
//! way, through a third node or by itself, and the silent node keeps the
//! request until one of them answers. It does not ask a second replica in
//! silence from then on, as the sender does.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use prost::Message;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::{info, warn};

use super::{
    Gateway,
    accept::{Resolved, receive},
    attempt::{Answered, answer_head},
    dialect::RequestInfo,
    dispatch::{Exhausted, Obstacle},
    flight::Carrier,
    forward::{AcceptedRequest, Attempts, Reply, StreamVersion},
    plan::{RetryPolicy, Route, Team},
    refusal::{Refusal, Tried, id_text},
    relay,
    resume::Begun,
    server::Body,
    upstream::{Connection, Error},
};
use crate::{
    outgoing::is_final,
    util::{name_hash, position},
    verdict::Verdict,
    wire::Forwarded,
};

const FORWARDED: &str = "azuremount-forwarded";
const OUTCOME: &str = "azuremount-outcome";
const VERSION: &str = "azuremount-version";
const REPLICA: &str = "azuremount-replica";
const LEAVING: &str = "azuremount-leaving";
const TRIED: &str = "azuremount-tried";
const OUTCOME_ANSWER: &str = "answer";
const OUTCOME_REFUSED: &str = "refused";
const OUTCOME_ELSEWHERE: &str = "elsewhere";

/// Maximum number of nodes that one request is sent to.
const MAX_PEERS_PER_REQUEST: usize = 3;
/// Maximum number of other nodes' requests in flight at a node. It leaves most
/// of a node's connections and memory to its own callers.
const MAX_FORWARDED_IN_FLIGHT: usize = 256;
/// Retry delay sent to callers while no node that is known reaches the
/// replicas, in ms: about the time until a node finds that they can be
/// reached again.
const UNREACHABLE_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent to callers while the other nodes take no more requests, in
/// ms: about the duration of the requests that they have.
const PEERS_BUSY_RETRY_AFTER_MS: u64 = 500;

/// Requests in flight at other nodes, by the nodes' addresses.
#[derive(Debug, Default)]
pub(super) struct PeerCalls(Mutex<Vec<(u32, u32)>>);

impl PeerCalls {
    fn lock(&self) -> MutexGuard<'_, Vec<(u32, u32)>> {
        self.0.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn begin(&self, peer: u32) {
        let mut calls = self.lock();
        match position(&calls, &peer, |(ip, _)| ip) {
            Ok(at) => calls[at].1 += 1,
            Err(at) => calls.insert(at, (peer, 1)),
        }
    }

    fn end(&self, peer: u32) {
        let mut calls = self.lock();
        if let Ok(at) = position(&calls, &peer, |(ip, _)| ip) {
            calls[at].1 -= 1;
            if calls[at].1 == 0 {
                calls.remove(at);
            }
        }
    }

    fn count(&self, peer: u32) -> u32 {
        let calls = self.lock();
        position(&calls, &peer, |(ip, _)| ip).map_or(0, |at| calls[at].1)
    }
}

/// A request in flight at another node, counted until dropped.
#[derive(Debug)]
pub(super) struct PeerCall {
    gateway: Arc<Gateway>,
    peer: u32,
}

impl PeerCall {
    fn begin(gateway: &Arc<Gateway>, peer: u32) -> PeerCall {
        gateway.peer_calls.begin(peer);
        PeerCall { gateway: gateway.clone(), peer }
    }

    /// Returns the node's address.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::from(self.peer)
    }
}

impl Drop for PeerCall {
    fn drop(&mut self) {
        self.gateway.peer_calls.end(self.peer);
    }
}

/// A request of another node in flight here, counted until dropped.
#[derive(Debug)]
pub(super) struct ForwardedGuard(Arc<std::sync::atomic::AtomicUsize>);

impl Drop for ForwardedGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads a request that another node forwards.
///
/// The sender has resolved the route and the team, by a plan that may be newer
/// or older than the one here, and has charged the quota.
pub(super) async fn accept_forwarded(
    gateway: &Arc<Gateway>,
    mut request: Request<Incoming>,
    mut request_info: RequestInfo,
    began: Instant,
) -> Result<AcceptedRequest, Refusal> {
    let value = request.headers_mut().remove(FORWARDED);
    let says = value.as_ref().and_then(|value| value.to_str().ok());
    let Some(says) = says.and_then(decode) else {
        let text = "not forwarded by a node";
        let status = StatusCode::BAD_REQUEST;
        return Err(Refusal::protocol_error(status, text));
    };
    let guard = gateway.admit_forwarded()?;
    request_info.last_event = says.last_event.or(request_info.last_event);
    let attempts = Attempts::after(says.ran);
    // Nodes of an earlier version name only the replicas that ran it.
    let is_counted = says.is_counted || says.ran > 0;
    let resolved = Resolved {
        service: says.service,
        version: match says.version {
            Some(version) => StreamVersion::Only(version),
            None => StreamVersion::Any,
        },
        deadline: began + Duration::from_millis(says.deadline_ms),
        route: Route {
            name: says.route,
            host: String::new(),
            prefix: String::new(),
            retry_policy: RetryPolicy::from_u32(says.retry_policy),
            timeout_ms: says.deadline_ms,
            target_ms: says.target_ms,
            priority: says.priority,
            split: Vec::new(),
            max_attempts: says.max_attempts,
            public: says.team.is_none(),
        },
        team: says.team.map(|name| Team {
            name,
            keys: Vec::new(),
            priority: None,
            quota: None,
        }),
    };
    let accepted =
        receive(gateway, request, request_info, began, resolved).await?;
    let forwarded = Some(guard);
    Ok(AcceptedRequest { attempts, is_counted, forwarded, ..accepted })
}

fn encode(says: &Forwarded) -> String {
    let bytes = says.encode_to_vec();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode(text: &str) -> Option<Forwarded> {
    let bytes: Option<Vec<u8>> = text
        .as_bytes()
        .chunks(2)
        .map(|pair| {
            let pair = std::str::from_utf8(pair).ok()?;
            u8::from_str_radix(pair, 16).ok()
        })
        .collect();
    Forwarded::decode(bytes?.as_slice()).ok()
}

impl Gateway {
    /// Counts a request that another node forwards, unless there are too
    /// many.
    pub(super) fn admit_forwarded(&self) -> Result<ForwardedGuard, Refusal> {
        let in_flight = &self.forwarded_in_flight;
        let before = in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = ForwardedGuard(in_flight.clone());
        if before >= MAX_FORWARDED_IN_FLIGHT {
            let text = "too many requests of other nodes";
            let refusal = Refusal::retryable(text, PEERS_BUSY_RETRY_AFTER_MS);
            return Err(refusal.try_elsewhere());
        }
        self.metrics.taken_for_others.inc();
        Ok(guard)
    }

    /// Returns the address of a node that reaches a service's replicas, and
    /// the age of its last report in ms.
    ///
    /// Of two nodes drawn at random, it is the one with fewer requests of this
    /// node, so that no single node gets the requests of all nodes that need
    /// another one. A node in this data centre is preferred among equals.
    ///
    /// A stream that goes on at one software version needs a node that keeps
    /// to it.
    fn pick_peer(
        &self,
        service: &str,
        version: &StreamVersion,
        tried: &[u32],
    ) -> Option<(u32, u64)> {
        let now = self.timer.now();
        let table = self.mesh.get()?.table();
        let near = table.own_peer().data_centre.as_str();
        let nodes: Vec<(u32, bool, u64)> = table
            .nodes_reaching(now, name_hash(service))
            .filter(|node| !tried.contains(&node.peer.ip))
            .filter(|node| {
                *version == StreamVersion::Any || node.peer.keeps_origins
            })
            .map(|node| {
                let is_far = node.peer.data_centre != near;
                (node.peer.ip, is_far, now.saturating_sub(node.heard_at))
            })
            .collect();
        let drawn = nodes.sample(&mut rand::rng(), 2);
        let best = drawn.min_by_key(|(ip, is_far, _)| {
            (self.peer_calls.count(*ip), *is_far)
        });
        best.map(|(ip, _, age_ms)| (*ip, *age_ms))
    }
}

/// Result of forwarding a request through other nodes.
pub(super) enum Outcome {
    /// No node is known that reaches the replicas.
    NoPeer,
    /// A replica's answer.
    Reply(Reply),
    /// No replica answered, and there is no point in another attempt.
    Refused(Refusal),
    /// The answer broke off or did not come.
    Failed(Error),
    /// The retry budget is used up.
    Denied,
}

/// What one other node answered.
enum PeerAnswer {
    Reply(Reply),
    Refused(Refusal),
    Elsewhere(Refusal),
}

/// A request at another node whose answer has not begun.
struct Call {
    peer: PeerCall,
    answer: Pin<Box<dyn Future<Output = Answered> + Send>>,
}

type Search<'a> =
    Pin<Box<dyn Future<Output = Result<Reply, Exhausted>> + Send + 'a>>;

/// What comes first while another node is silent.
enum First {
    /// The answer of the silent node.
    Answered(Call, Answered),
    /// The result of the search for another way.
    Found(Result<Reply, Exhausted>),
}

/// Returns true for an answer of a replica that is no server error.
fn is_sound(answered: &Answered) -> bool {
    let Ok((_, response)) = answered else { return false };
    let outcome = response.headers().get(OUTCOME);
    let is_answer = outcome.is_some_and(|value| value == OUTCOME_ANSWER);
    is_answer && !response.status().is_server_error()
}

/// Returns true for a server error, after which the silent node may succeed.
fn is_failure(reply: &Reply) -> bool {
    match reply {
        Reply::Streaming(_, head) => head.status().is_server_error(),
        Reply::Complete(answer) => answer.status().is_server_error(),
    }
}

impl AcceptedRequest {
    /// Forwards the request through another node that reaches the replicas,
    /// and through a third one if that node does not take it.
    pub async fn call_peers(&mut self, last_event: Option<u64>) -> Outcome {
        let mut last = unreachable();
        if self.forwarded.is_some() {
            return Outcome::Refused(last.try_elsewhere());
        }
        while self.peers_tried.len() < MAX_PEERS_PER_REQUEST
            && Instant::now() < self.deadline
        {
            let picked = self.gateway.pick_peer(
                &self.service,
                &self.attempt_version(),
                &self.peers_tried,
            );
            let Some((peer, report_age_ms)) = picked else {
                if self.peers_tried.is_empty() {
                    return Outcome::NoPeer;
                }
                break;
            };
            if !self.claim_arrival() {
                return Outcome::Denied;
            }
            self.peers_tried.push(peer);
            self.gateway.metrics.forwarded.inc();
            let ip = Ipv4Addr::from(peer);
            let request = id_text(self.request_info.id.as_ref());
            info!(
                target: "gateway",
                request, %ip, report_age_ms,
                service = self.service,
                "Forwarding to another node."
            );
            let mut call = self.begin_call(peer, last_event);
            // Replicas may have run it there if this wait is given up.
            self.pending = Some(String::new());
            let Some(answered) = self.wait_for_call(&mut call).await else {
                self.pending = None;
                return self.ask_beside(call, last_event).await;
            };
            let answer = self.read_call(call.peer, answered).await;
            self.pending = None;
            match answer {
                Ok(PeerAnswer::Reply(reply)) => return Outcome::Reply(reply),
                Ok(PeerAnswer::Refused(refusal)) => {
                    self.note_tried(refusal.tried);
                    return Outcome::Refused(refusal);
                }
                Ok(PeerAnswer::Elsewhere(refusal)) => {
                    self.note_tried(refusal.tried);
                    if refusal.verdict != Verdict::NotRun {
                        // Replicas may have run it there.
                        self.attempts.ran += refusal.tried.arrived;
                    }
                    let has_run = self.attempts.ran > 0;
                    if has_run && !self.allows_retry() {
                        return Outcome::Refused(refusal);
                    }
                    last = refusal;
                }
                Err(error) => {
                    self.log_failed_call(ip, &error);
                    if error.verdict == Verdict::NotRun {
                        self.return_claim();
                    } else {
                        self.is_counted = true;
                        return Outcome::Failed(error);
                    }
                }
            }
        }
        Outcome::Refused(last)
    }

    /// Records what another node has tried before it refused the request.
    fn note_tried(&mut self, tried: Tried) {
        self.attempts.arrived += tried.arrived;
        self.is_counted |= tried.attempts > 0;
        if tried.arrived == 0 {
            self.return_claim();
        }
    }

    /// Begins to send the request to another node.
    fn begin_call(&self, peer: u32, last_event: Option<u64>) -> Call {
        let peer = PeerCall::begin(&self.gateway, peer);
        let request = self.request_for_peer(last_event);
        let gateway = self.gateway.clone();
        let address = SocketAddrV4::new(peer.ip(), gateway.forward_port);
        let name = peer.ip().to_string();
        let (deadline, body_bytes) = (self.deadline, self.body.len());
        let answer = Box::pin(async move {
            let request = request?;
            let connections = &gateway.peer_connections;
            let taken = connections.take(&name, address, deadline).await;
            let mut connection = taken?;
            let response = connection.exchange(request, body_bytes).await?;
            Ok((connection, response))
        });
        Call { peer, answer }
    }

    /// Waits for the answer to a call. Returns `None` if the node has been
    /// silent for long and the request may also be sent elsewhere.
    async fn wait_for_call(&self, call: &mut Call) -> Option<Answered> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let may_repeat = self.may_repeat();
        // The other node retries by itself; half of the time is left for
        // another way.
        let max_silence = if may_repeat { left / 2 } else { left };
        match timeout(max_silence, call.answer.as_mut()).await {
            Ok(answered) => Some(answered),
            Err(_) if may_repeat => None,
            Err(_) => {
                let text = "the other node did not answer in time";
                Some(Err(Error::may_have_run(text)))
            }
        }
    }

    /// Looks for another way to the replicas while a node that has the request
    /// is silent. The first one that answers counts; if there is no other one,
    /// the silent node may answer until the deadline.
    async fn ask_beside(
        &mut self,
        call: Call,
        last_event: Option<u64>,
    ) -> Outcome {
        let ip = call.peer.ip();
        self.is_counted = true;
        self.attempts.note("", Verdict::MayHaveRun, true);
        self.gateway.metrics.silent_attempts.inc();
        info!(
            target: "gateway",
            request = self.request_id(), %ip,
            after_ms = self.began.elapsed().as_millis() as u64,
            "Another node is silent; looking for another way as well."
        );
        let mut silent = Some(call);
        loop {
            let found = match self.search(&mut silent, last_event).await {
                First::Found(found) => found,
                First::Answered(call, answered) => {
                    // The attempts of the search end here.
                    self.note_pending();
                    match self.read_late(call, answered).await {
                        Some(reply) => return Outcome::Reply(reply),
                        None => continue,
                    }
                }
            };
            let is_served = found.as_ref().is_ok_and(|one| !is_failure(one));
            let waiting = silent.take().filter(|_| !is_served);
            let Some(mut call) = waiting else {
                return match found {
                    Ok(reply) => Outcome::Reply(reply),
                    Err(exhausted) => Outcome::Refused(exhausted.refusal),
                };
            };
            let obstacle = found.as_ref().err().map(|none| none.obstacle);
            info!(
                target: "gateway",
                request = self.request_id(), %ip,
                obstacle = obstacle.map_or("failed", Obstacle::as_str),
                "No other way was found; waiting for the silent node."
            );
            let answer = call.answer.as_mut();
            let answered = timeout_at(self.deadline, answer).await;
            match (answered, found) {
                (Ok(answered), _) => {
                    if let Some(reply) = self.read_late(call, answered).await {
                        return Outcome::Reply(reply);
                    }
                }
                (Err(_), Ok(reply)) => return Outcome::Reply(reply),
                (Err(_), Err(_)) => {
                    let verdict = self.attempts.verdict();
                    return Outcome::Refused(Refusal::timed_out(verdict));
                }
            }
        }
    }

    /// Asks replicas and third nodes until one of them answers, or until the
    /// silent node does. Without an answer, that node's call ends, and the
    /// search goes on.
    async fn search(
        &mut self,
        silent: &mut Option<Call>,
        last_event: Option<u64>,
    ) -> First {
        let mut failed = None;
        let found = {
            let mut search = self.ask_boxed(last_event);
            loop {
                let Some(call) = silent else { break search.await };
                tokio::select! {
                    biased;
                    answered = call.answer.as_mut() => {
                        let Some(call) = silent.take() else { continue };
                        if is_sound(&answered) {
                            return First::Answered(call, answered);
                        }
                        failed = Some((call, answered));
                    }
                    found = search.as_mut() => break found,
                }
            }
        };
        if let Some((call, answered)) = failed {
            self.read_late(call, answered).await;
        }
        First::Found(found)
    }

    /// Calls [`AcceptedRequest::ask`], which may forward the request again.
    fn ask_boxed(&mut self, last_event: Option<u64>) -> Search<'_> {
        Box::pin(self.ask(last_event))
    }

    /// Reads the answer of a node that was silent for long. Returns `None` if
    /// the node did not serve the request.
    async fn read_late(
        &self,
        call: Call,
        answered: Answered,
    ) -> Option<Reply> {
        let ip = call.peer.ip();
        match self.read_call(call.peer, answered).await {
            Ok(PeerAnswer::Reply(reply)) => Some(reply),
            Ok(PeerAnswer::Refused(refusal))
            | Ok(PeerAnswer::Elsewhere(refusal)) => {
                info!(
                    target: "gateway",
                    request = self.request_id(), %ip,
                    status = refusal.status.as_u16(),
                    after_ms = self.began.elapsed().as_millis() as u64,
                    "Silent node refuses the request."
                );
                None
            }
            Err(error) => {
                self.log_failed_call(ip, &error);
                None
            }
        }
    }

    async fn read_call(
        &self,
        call: PeerCall,
        answered: Answered,
    ) -> Result<PeerAnswer, Error> {
        let (connection, response) = answered?;
        self.read_peer_answer(response, connection, call).await
    }

    fn log_failed_call(&self, ip: Ipv4Addr, error: &Error) {
        info!(
            target: "gateway",
            request = self.request_id(), %ip,
            verdict = error.verdict.as_str(),
            after_ms = self.began.elapsed().as_millis() as u64,
            "Another node did not answer: {}.", error.text
        );
    }

    fn request_for_peer(
        &self,
        last_event: Option<u64>,
    ) -> Result<Request<Full<bytes::Bytes>>, Error> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let says = Forwarded {
            service: self.service.clone(),
            route: self.route.name.clone(),
            retry_policy: self.route.retry_policy.as_u32(),
            deadline_ms: left.as_millis() as u64,
            target_ms: self.route.target_ms,
            priority: self.priority(),
            max_attempts: self.route.max_attempts,
            team: self.team.as_ref().map(|team| team.name.clone()),
            ran: self.attempts.ran,
            last_event,
            version: match self.attempt_version() {
                StreamVersion::Only(version) => Some(version),
                StreamVersion::Any | StreamVersion::Unknown => None,
            },
            is_counted: self.is_counted,
        };
        let says =
            HeaderValue::try_from(encode(&says)).map_err(Error::not_sent)?;
        let mut request = self.request_with(self.headers.clone())?;
        request.headers_mut().insert(FORWARDED, says);
        Ok(request)
    }

    /// Records that a replica leaves, as announced in an answer that came
    /// through another node.
    fn record_forwarded_departure(&self, replica: &HeaderValue, ip: Ipv4Addr) {
        let request = id_text(self.request_info.id.as_ref());
        let Ok(replica) = replica.to_str() else {
            warn!(
                target: "gateway",
                request, %ip, ?replica,
                "Can't read which replica leaves."
            );
            return;
        };
        info!(
            target: "gateway",
            request, %ip, replica,
            "Forwarded answer announces that its replica leaves."
        );
        self.gateway.metrics.leaving_answers.inc();
        self.record_departure(replica, request);
    }

    async fn read_peer_answer(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        call: PeerCall,
    ) -> Result<PeerAnswer, Error> {
        let (mut head, body) = response.into_parts();
        let outcome = head.headers.remove(OUTCOME);
        let outcome = outcome.as_ref().and_then(|value| value.to_str().ok());
        match outcome {
            Some(OUTCOME_ANSWER) => {}
            Some(OUTCOME_REFUSED) => {
                return Ok(PeerAnswer::Refused(refusal_of(&head)));
            }
            Some(OUTCOME_ELSEWHERE) => {
                return Ok(PeerAnswer::Elsewhere(refusal_of(&head)));
            }
            _ => {
                let text = "the other node's answer has no outcome";
                return Err(Error::may_have_run(text));
            }
        }
        if !is_final(head.status) {
            let text = "the answer's status is invalid";
            return Err(Error::unproven(text));
        }
        // The other node has checked the replica's answer. An answer to
        // another request is told from this one's by its id here as well.
        let answer_info = self.gateway.dialect.parse_answer(
            self.request_info.id.as_ref(),
            head.status,
            &head.headers,
        );
        if !answer_info.matches {
            let text = "the answer does not have the id of the request";
            return Err(Error::unproven(text));
        }
        let version = head.headers.remove(VERSION);
        let version = version.as_ref().and_then(|value| value.to_str().ok());
        let version = StreamVersion::of(version.unwrap_or_default());
        let begun = head.headers.remove(REPLICA);
        let begun = begun.as_ref().and_then(|value| value.to_str().ok());
        // The other node opened its connection before it answered.
        let opened_at = self.now();
        let begun = begun.and_then(|text| text.parse().ok());
        let begun = begun.map(|replica| Begun { replica, opened_at });
        if let Some(replica) = head.headers.remove(LEAVING) {
            self.record_forwarded_departure(&replica, call.ip());
        }
        let carrier = Carrier::Peer(call);
        if self.route.retry_policy.is_stream() && head.status.is_success() {
            let source = relay::Source {
                read: bytes::Bytes::new(),
                body,
                // Nodes send each other streams in chunks.
                is_framed: true,
                connection,
                carrier,
                keep_ms: None,
                version,
                begun,
                is_noted: false,
            };
            let head = answer_head(head, &self.method);
            let reply = Reply::Streaming(Box::new(source), head);
            return Ok(PeerAnswer::Reply(reply));
        }
        let response = Response::from_parts(head, body);
        let reply = self.read_answer(response, connection, carrier, None);
        reply.await.map(PeerAnswer::Reply)
    }
}

/// Refuses a request because no node reaches the replicas.
pub(super) fn unreachable() -> Refusal {
    let text = "no node reaches the replicas";
    Refusal::retryable(text, UNREACHABLE_RETRY_AFTER_MS)
}

/// Returns the refusal of another node.
///
/// A refusal whose verdict can't be read counts as "may have run".
fn refusal_of(head: &http::response::Parts) -> Refusal {
    let text = |name: &str| head.headers.get(name)?.to_str().ok();
    let verdict = text(Verdict::HEADER).and_then(Verdict::parse);
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    let retry_after = text(header::RETRY_AFTER.as_str());
    let seconds = retry_after.and_then(|text| text.parse::<f64>().ok());
    let wait = seconds
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .map(|wait| wait.as_millis() as u64);
    // A node of an earlier version does not say what it has tried.
    let tried = text(TRIED).and_then(parse_tried);
    Refusal {
        status: head.status,
        verdict,
        retry_after_ms: wait,
        tried: tried.unwrap_or(Tried { attempts: 1, arrived: 1 }),
        ..Refusal::invalid(StatusCode::BAD_GATEWAY, "refused by another node")
    }
}

fn parse_tried(text: &str) -> Option<Tried> {
    let (attempts, arrived) = text.split_once(' ')?;
    let (attempts, arrived) = (attempts.parse().ok()?, arrived.parse().ok()?);
    Some(Tried { attempts, arrived })
}

/// Names the replica that announces in this answer that it leaves, for the
/// node that has forwarded the request.
pub(super) fn mark_departure(headers: &mut HeaderMap, replica: &str) {
    // A replica id that is no header value can't have been sent to the replica
    // either.
    if let Ok(value) = HeaderValue::from_str(replica) {
        headers.insert(LEAVING, value);
    }
}

/// Removes the headers that nodes send each other from a replica's answer.
pub(super) fn remove_internal_headers(headers: &mut HeaderMap) {
    for name in [OUTCOME, VERSION, REPLICA, LEAVING, TRIED] {
        headers.remove(name);
    }
}

/// Names the software version that began a stream, for the node that has
/// forwarded its request.
pub(super) fn mark_version(
    mut head: Response<()>,
    version: &StreamVersion,
    begun: Option<Begun>,
) -> Response<()> {
    if let Some(begun) = begun {
        head.headers_mut().insert(REPLICA, begun.replica.into());
    }
    // Versions are plain text, as heartbeats are checked for it.
    if let Ok(value) = HeaderValue::from_str(version.certain()) {
        head.headers_mut().insert(VERSION, value);
    }
    head
}

/// Marks the answer to a request that another node has forwarded.
pub(super) fn mark_outcome(
    result: Result<Response<Body>, Refusal>,
) -> Response<Body> {
    let (mut response, outcome) = match result {
        Ok(response) => (response, OUTCOME_ANSWER),
        Err(refusal) => {
            let outcome = match refusal.elsewhere {
                true => OUTCOME_ELSEWHERE,
                false => OUTCOME_REFUSED,
            };
            let Tried { attempts, arrived } = refusal.tried;
            let mut response = refusal.into_response();
            let tried = format!("{attempts} {arrived}");
            if let Ok(tried) = HeaderValue::try_from(tried) {
                response.headers_mut().insert(TRIED, tried);
            }
            (response, outcome)
        }
    };
    let outcome = HeaderValue::from_static(outcome);
    response.headers_mut().insert(OUTCOME, outcome);
    response
}
