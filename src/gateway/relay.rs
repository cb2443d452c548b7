//! Streams answers to callers.
//!
//! If the route allows it, an event stream that breaks off is resumed at
//! another replica after the last event that was sent to the caller, within
//! the same answer. A stream that can't be resumed ends with an error. The
//! error closes the caller's connection within the body, so that the caller
//! can't take the partial answer for a complete one.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};
use tracing::{info, warn};

use super::{
    events::Splitter,
    flight::Carrier,
    forward::{AcceptedRequest, Reply, StreamVersion},
    peer_call::Outcome,
    plan::RetryPolicy,
    resume::Begun,
    server::{Body, BodyError},
    upstream::{Connection, Error},
};
use crate::{
    fingerprint, mesh::table::record_key, metrics::StreamMove,
    verdict::Verdict,
};

/// Silence after which a resumable stream moves to another replica. Callers
/// disconnect after two seconds or more, and replicas under load pause for
/// some tenths of a second.
const MAX_STREAM_SILENCE: Duration = Duration::from_millis(1500);

/// Why a stream does not go on at another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obstacle {
    /// It is not certain which software version began it.
    VersionUncertain,
    /// Its replica may have restarted with another version before it began.
    OriginUnconfirmed,
    /// The route allows no further attempt.
    AttemptsUsedUp,
    /// The request or a part of its prompt is quarantined.
    Quarantined,
    /// The router has no replica for it.
    NoReplica,
    /// The retry budget is used up.
    RetryDenied,
    /// Neither this node nor another one reaches the replicas.
    Unreachable,
    /// The deadline has passed.
    DeadlinePassed,
}

impl Obstacle {
    fn as_str(self) -> &'static str {
        match self {
            Obstacle::VersionUncertain => "version_uncertain",
            Obstacle::OriginUnconfirmed => "origin_unconfirmed",
            Obstacle::AttemptsUsedUp => "attempts_used_up",
            Obstacle::Quarantined => "quarantined",
            Obstacle::NoReplica => "no_replica",
            Obstacle::RetryDenied => "retry_denied",
            Obstacle::Unreachable => "unreachable",
            Obstacle::DeadlinePassed => "deadline_passed",
        }
    }
}

/// The replica's side of an answer that is being streamed.
pub(super) struct Source {
    /// The part of the body that has already been read.
    pub read: Bytes,
    pub body: Incoming,
    /// False when the answer ends with its connection.
    pub is_framed: bool,
    pub connection: Connection,
    pub carrier: Carrier,
    /// How long the replica keeps the idle connection open, in ms.
    pub keep_ms: Option<u64>,
    /// The software version that the events come from.
    pub version: StreamVersion,
    /// The incarnation that they come from; `None` if another node has
    /// confirmed it.
    pub begun: Option<Begun>,
}

struct Relay {
    accepted: AcceptedRequest,
    source: Option<Source>,
    splitter: Splitter,
    /// True when the body is an event stream.
    is_event_stream: bool,
    /// True when the stream has ended, completely or with an error.
    has_ended: bool,
    /// When the replica last sent something.
    heard_at: Instant,
}

/// Returns an answer whose body forwards the source as the caller reads it.
pub(super) fn open(
    accepted: AcceptedRequest,
    source: Source,
    head: Response<()>,
) -> Response<Body> {
    let is_event_stream = accepted.route.retry_policy.is_stream();
    let relay = Relay {
        splitter: Splitter::open(accepted.request_info.last_event),
        source: Some(source),
        is_event_stream,
        has_ended: false,
        heard_at: Instant::now(),
        accepted,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    head.map(|()| StreamBody::new(frames).boxed_unsync())
}

/// The next part of an answer from a replica, or why there is none.
enum Received {
    Data(Bytes),
    End,
    Broken(&'static str),
    Timeout,
}

impl Relay {
    /// Returns the next bytes for the caller, `None` after a complete answer.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        while !self.has_ended {
            let reason = match self.receive().await {
                Received::Data(bytes) if bytes.is_empty() => continue,
                Received::Data(bytes) => {
                    return Some(match self.settle_version().await {
                        Ok(()) => Ok(bytes),
                        Err(reason) => Err(self.fail(reason)),
                    });
                }
                Received::End => {
                    self.finish();
                    return None;
                }
                Received::Timeout => return Some(Err(self.fail("timed out"))),
                Received::Broken(reason) => reason,
            };
            if !self.resume(reason).await {
                return Some(Err(self.fail(reason)));
            }
            self.heard_at = Instant::now();
        }
        None
    }

    /// Settles the software version before the first event is sent.
    async fn settle_version(&mut self) -> Result<(), &'static str> {
        match &self.source {
            Some(source) => {
                let (version, begun) = (&source.version, source.begun);
                self.accepted.settle_version(version, begun).await
            }
            None => Ok(()),
        }
    }

    async fn receive(&mut self) -> Received {
        let deadline = self.accepted.deadline;
        let resumable =
            self.accepted.route.retry_policy == RetryPolicy::Resumable;
        let Some(source) = &mut self.source else {
            return Received::Broken("there is no replica to read from");
        };
        if !source.read.is_empty() {
            return Received::Data(std::mem::take(&mut source.read));
        }
        let until = match resumable {
            true => deadline.min(Instant::now() + MAX_STREAM_SILENCE),
            false => deadline,
        };
        let frame = match timeout_at(until, source.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) if source.connection.is_oversized() => {
                source.carrier.fail();
                return Received::Broken("the answer exceeds its bound");
            }
            Ok(Some(Err(_))) => {
                source.carrier.disconnect();
                return Received::Broken("the replica's connection broke");
            }
            Ok(None) if !self.is_event_stream => return Received::End,
            Ok(None) if !self.splitter.is_between_events() => {
                source.carrier.disconnect();
                return Received::Broken("the answer ended within an event");
            }
            Ok(None) if !source.is_framed && !self.splitter.has_events() => {
                source.carrier.disconnect();
                return Received::Broken("the answer ended without an event");
            }
            Ok(None) => return Received::End,
            Err(_) if Instant::now() >= deadline => return Received::Timeout,
            Err(_) => return Received::Broken("the replica timed out"),
        };
        let Ok(data) = frame.into_data() else {
            return Received::Data(Bytes::new());
        };
        source.connection.grant(data.len());
        source.carrier.progress();
        self.heard_at = Instant::now();
        if !self.is_event_stream {
            return Received::Data(data);
        }
        match self.splitter.push(&data) {
            Ok(whole) => Received::Data(whole),
            Err(_) => Received::Broken("an event is too long or out of order"),
        }
    }

    fn finish(&mut self) {
        self.has_ended = true;
        self.accepted.observe_latency();
        info!(
            target: "gateway",
            request = self.request_id(),
            last_event = self.splitter.last().unwrap_or(0),
            after_ms = self.accepted.began.elapsed().as_millis() as u64,
            "Stream ended."
        );
        if let Some(mut source) = self.source.take() {
            source.carrier.finish(false);
            let keep = source.keep_ms.map(Duration::from_millis);
            let pool = source.carrier.pool(&self.accepted.gateway);
            pool.put_back(source.connection, keep);
        }
    }

    fn fail(&mut self, text: &'static str) -> BodyError {
        self.has_ended = true;
        self.source = None;
        warn!(
            target: "gateway",
            request = self.request_id(),
            fingerprint = fingerprint::shown(self.accepted.identity.fingerprint),
            parts = %self.accepted.request_info.shown_parts(),
            route = self.accepted.route.name,
            replica = self.replica(),
            last_event = self.splitter.last().unwrap_or(0),
            after_ms = self.accepted.began.elapsed().as_millis() as u64,
            "Stream failed: {text}."
        );
        BodyError { verdict: Verdict::Ran, text }
    }

    /// Returns the replica of the latest attempt.
    fn replica(&self) -> &str {
        self.accepted.chosen.as_ref().map_or("", |target| &target.replica)
    }

    fn request_id(&self) -> &str {
        let id = self.accepted.request_info.id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Resumes the stream at another replica. Returns false when that is not
    /// possible.
    async fn resume(&mut self, reason: &'static str) -> bool {
        if let Some(mut source) = self.source.take() {
            source.carrier.fail();
            let replica = source.carrier.name();
            self.accepted.attempts.note(&replica, Verdict::Ran, true);
        }
        if self.accepted.route.retry_policy != RetryPolicy::Resumable {
            return false;
        }
        let Err(obstacle) = self.find_replacement(reason).await else {
            self.count_move("moved");
            return true;
        };
        self.count_move(obstacle.as_str());
        let attempts = &self.accepted.attempts;
        info!(
            target: "gateway",
            request = self.request_id(),
            service = self.accepted.service,
            obstacle = obstacle.as_str(),
            ran = attempts.ran,
            max_attempts = self.accepted.route.max_attempts,
            tried = attempts.avoid.len(),
            last_event = self.splitter.last().unwrap_or(0),
            silent_ms = self.heard_at.elapsed().as_millis() as u64,
            "Stream does not go on at another replica: {reason}."
        );
        false
    }

    fn count_move(&self, outcome: &'static str) {
        let label = StreamMove { outcome };
        let moves = &self.accepted.gateway.metrics.stream_moves;
        moves.get_or_create(&label).inc();
    }

    async fn find_replacement(
        &mut self,
        reason: &'static str,
    ) -> Result<(), Obstacle> {
        if self.accepted.version == StreamVersion::Unknown {
            return Err(Obstacle::VersionUncertain);
        }
        if !self.accepted.is_origin_confirmed().await {
            return Err(Obstacle::OriginUnconfirmed);
        }
        while Instant::now() < self.accepted.deadline {
            if !self.accepted.allows_retry() {
                return Err(match self.accepted.is_quarantined() {
                    true => Obstacle::Quarantined,
                    false => Obstacle::AttemptsUsedUp,
                });
            }
            let last = self.splitter.last();
            let (gateway, service) =
                (&self.accepted.gateway, &self.accepted.service);
            if gateway.is_unreachable(service) {
                let is_disconnected = gateway.is_disconnected(service);
                match self.resume_at_peer(last, reason).await {
                    Some(true) => return Ok(()),
                    Some(false) => return Err(Obstacle::Unreachable),
                    None if is_disconnected => {
                        return Err(Obstacle::Unreachable);
                    }
                    None => {}
                }
            }
            let Some(target) = self.accepted.pick() else {
                return Err(Obstacle::NoReplica);
            };
            if !self.accepted.claim_arrival() {
                self.accepted.release(&target);
                return Err(Obstacle::RetryDenied);
            }
            self.accepted.chosen = Some(target.clone());
            let version = StreamVersion::of(target.certain_version());
            let replica = record_key(&target.replica);
            self.accepted.record_origin(&version, replica, None);
            info!(
                target: "gateway",
                request = self.request_id(),
                parts = %self.accepted.request_info.shown_parts(),
                replica = target.replica,
                version = target.version,
                last_event = last.unwrap_or(0),
                "Stream resumes at another replica: {reason}."
            );
            match self.accepted.attempt(&target, last).await {
                Ok(Reply::Streaming(source, _)) => {
                    if self.accepted.is_settled
                        && !self.accepted.is_confirmed(source.begun).await
                    {
                        let replica = &target.replica;
                        self.accepted.log_unconfirmed(replica);
                        let verdict = Verdict::Ran;
                        self.accepted.attempts.note(replica, verdict, true);
                        continue;
                    }
                    self.splitter = Splitter::open(last);
                    self.source = Some(*source);
                    self.accepted.gateway.metrics.moved.inc();
                    return Ok(());
                }
                Ok(Reply::Complete(_)) => {
                    let replica = &target.replica;
                    self.accepted.attempts.note(replica, Verdict::Ran, true);
                }
                Err(failed) => {
                    self.accepted.log_failed_attempt(&target, &failed);
                    let replica = &target.replica;
                    let Error { verdict, sent, .. } = failed;
                    self.accepted.attempts.note(replica, verdict, sent);
                    if !sent {
                        self.accepted.return_claim();
                        self.accepted.return_exposure(&target);
                    }
                }
            }
        }
        Err(Obstacle::DeadlinePassed)
    }

    /// Resumes the stream through another node. Returns `None` if there is no
    /// node that reaches the replicas.
    async fn resume_at_peer(
        &mut self,
        last: Option<u64>,
        reason: &'static str,
    ) -> Option<bool> {
        info!(
            target: "gateway",
            request = self.request_id(),
            last_event = last.unwrap_or(0),
            "Stream resumes through another node: {reason}."
        );
        match self.accepted.call_peers(last).await {
            Outcome::Reply(Reply::Streaming(source, _))
                if !self.accepted.is_settled
                    || source.version == self.accepted.version =>
            {
                self.splitter = Splitter::open(last);
                self.source = Some(*source);
                self.accepted.gateway.metrics.moved.inc();
                Some(true)
            }
            Outcome::NoPeer => None,
            _ => Some(false),
        }
    }
}
