//! Streams answers to callers.
//!
//! If the route allows it, an event stream that breaks off is resumed at
//! another replica after the last event that was sent to the caller, within
//! the same answer. A stream that can't be resumed ends with an error. The
//! error closes the caller's connection within the body, so that the caller
//! can't take the partial answer for a complete one.
//!
//! A replica that is silent may be slow, gone, or well. Another replica is
//! asked for the rest of its stream, and both have the request until one of
//! them sends a whole event. The other one is left then, so that no two
//! replicas write the same stream.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};
use tracing::{info, warn};

use super::{
    dispatch::{Exhausted, Obstacle},
    events::Splitter,
    flight::Carrier,
    forward::{AcceptedRequest, Reply, StreamVersion},
    plan::RetryPolicy,
    resume::{Begun, Unsettled},
    server::{Body, BodyError},
    upstream::Connection,
};
use crate::{fingerprint, metrics::StreamMove, verdict::Verdict};

/// Silence after which another replica is asked for the rest of a resumable
/// stream. Callers disconnect after two seconds or more, and replicas under
/// load pause for some tenths of a second.
const MAX_STREAM_SILENCE: Duration = Duration::from_millis(1500);
/// Why another replica is asked for the rest of a stream.
const SILENT: &str = "the replica is silent";

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
    /// True when the attempt already counts as one that has run.
    pub is_noted: bool,
}

/// The next part of an answer from a replica, or why there is none.
enum Received {
    /// Data for the caller; of an event stream, whole events.
    Data(Bytes),
    End,
    Broken(&'static str),
}

/// Reads the answer of one replica.
struct Reader {
    source: Source,
    splitter: Splitter,
    /// True when the body is an event stream.
    is_event_stream: bool,
    /// When the replica last sent something.
    heard_at: Instant,
}

impl Reader {
    /// Reads what follows the event `last`, if any.
    fn open(
        source: Source,
        last: Option<u64>,
        is_event_stream: bool,
    ) -> Reader {
        let splitter = Splitter::open(last);
        let heard_at = Instant::now();
        Reader { source, splitter, is_event_stream, heard_at }
    }

    /// Waits for data or the end. Nothing is lost if the wait is given up.
    async fn next(&mut self) -> Received {
        loop {
            match self.next_part().await {
                Received::Data(bytes) if bytes.is_empty() => {}
                received => return received,
            }
        }
    }

    async fn next_part(&mut self) -> Received {
        let source = &mut self.source;
        if !source.read.is_empty() {
            return Received::Data(std::mem::take(&mut source.read));
        }
        let frame = match source.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(_)) if source.connection.is_oversized() => {
                source.carrier.fail();
                return Received::Broken("the answer exceeds its bound");
            }
            Some(Err(_)) => {
                source.carrier.disconnect();
                return Received::Broken("the replica's connection broke");
            }
            None if !self.is_event_stream => return Received::End,
            None if !self.splitter.is_between_events() => {
                source.carrier.disconnect();
                return Received::Broken("the answer ended within an event");
            }
            None if !source.is_framed && !self.splitter.has_events() => {
                source.carrier.disconnect();
                return Received::Broken("the answer ended without an event");
            }
            None => return Received::End,
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

    /// Waits for the first event of a replacement. Returns `None` if it breaks
    /// off, or if it is silent for long and another replica may be asked.
    async fn first(&mut self, accepted: &AcceptedRequest) -> Option<Received> {
        let silent_at = Instant::now() + MAX_STREAM_SILENCE;
        let received = match timeout_at(silent_at, self.next()).await {
            Ok(received) => received,
            Err(_) => {
                self.source.carrier.suspect();
                if accepted.may_repeat() {
                    return None;
                }
                self.next().await
            }
        };
        match received {
            Received::Broken(_) => None,
            received => Some(received),
        }
    }

    /// Counts the attempt as one that has run, once.
    fn note(&mut self, accepted: &mut AcceptedRequest) {
        if !self.source.is_noted {
            self.source.is_noted = true;
            let replica = self.source.carrier.name();
            accepted.pending = None;
            accepted.attempts.note(&replica, Verdict::Ran, true);
        }
    }
}

/// A replica that goes on with a stream, and what it has sent first.
struct Replacement {
    reader: Reader,
    first: Received,
}

struct Relay {
    accepted: AcceptedRequest,
    /// `None` after the replica has broken the stream off.
    reader: Option<Reader>,
    /// The last event that was received from any replica.
    last: Option<u64>,
    /// When the replica last sent something.
    heard_at: Instant,
    /// When another replica was last asked in vain.
    asked_at: Option<Instant>,
    /// True when the stream has ended, completely or with an error.
    has_ended: bool,
}

/// Returns an answer whose body forwards the source as the caller reads it.
pub(super) fn open(
    accepted: AcceptedRequest,
    source: Source,
    head: Response<()>,
) -> Response<Body> {
    let is_event_stream = accepted.route.retry_policy.is_stream();
    let last = accepted.request_info.last_event;
    let relay = Relay {
        reader: Some(Reader::open(source, last, is_event_stream)),
        last,
        heard_at: Instant::now(),
        asked_at: None,
        has_ended: false,
        accepted,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    head.map(|()| StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    /// Returns the next bytes for the caller, `None` after a complete answer.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.has_ended {
            return None;
        }
        let deadline = self.accepted.deadline;
        let mut received = match timeout_at(deadline, self.receive()).await {
            Ok(received) => received,
            Err(_) => Received::Broken("timed out"),
        };
        loop {
            match received {
                Received::Data(bytes) => match self.settle_version().await {
                    Ok(()) => {
                        self.note_received();
                        return Some(Ok(bytes));
                    }
                    Err(unsettled) => {
                        received =
                            self.replace_unsettled(unsettled, bytes).await;
                    }
                },
                Received::End => {
                    self.finish();
                    return None;
                }
                Received::Broken(reason) => {
                    return Some(Err(self.fail(reason)));
                }
            }
        }
    }

    fn note_received(&mut self) {
        if let Some(reader) = &self.reader {
            self.last = reader.splitter.last();
            self.heard_at = reader.heard_at;
        }
    }

    /// Finds a replica in place of one whose events can't be sent to the
    /// caller, which has seen no event of this answer. A heartbeat of the
    /// present replica may come first, or until the deadline if there is no
    /// other one. Returns what can be sent.
    async fn replace_unsettled(
        &mut self,
        unsettled: Unsettled,
        events: Bytes,
    ) -> Received {
        let reason = unsettled.as_str();
        let Some(reader) = &mut self.reader else {
            return Received::Broken(reason);
        };
        reader.note(&mut self.accepted);
        let begun = reader.source.begun;
        let gateway = self.accepted.gateway.clone();
        let version = self.accepted.version.certain().to_owned();
        let deadline = self.accepted.deadline;
        let is_confirmed = || async {
            match begun {
                Some(begun) if unsettled == Unsettled::Unconfirmed => {
                    gateway.confirm(begun, &version, deadline).await
                }
                _ => false,
            }
        };
        let last = self.accepted.request_info.last_event;
        let found = {
            let search = find_replacement(&mut self.accepted, last, reason);
            tokio::select! {
                biased;
                true = is_confirmed() => None,
                found = timeout_at(deadline, search) => Some(found),
            }
        };
        match found {
            None => {
                self.accepted.note_pending();
                return Received::Data(events);
            }
            Some(Ok(Ok(replacement))) => {
                return self.move_to(replacement, reason);
            }
            Some(Ok(Err(obstacle))) => self.log_obstacle(obstacle, reason),
            Some(Err(_)) => return Received::Broken("timed out"),
        }
        match is_confirmed().await {
            true => Received::Data(events),
            false => Received::Broken(reason),
        }
    }

    /// Settles the software version before the first event is sent.
    async fn settle_version(&mut self) -> Result<(), Unsettled> {
        match &self.reader {
            Some(Reader { source, .. }) => {
                let (version, begun) = (&source.version, source.begun);
                self.accepted.settle_version(version, begun).await
            }
            None => Ok(()),
        }
    }

    /// Receives from the replica, or from another one that goes on with the
    /// stream.
    async fn receive(&mut self) -> Received {
        let is_resumable =
            self.accepted.route.retry_policy == RetryPolicy::Resumable;
        loop {
            let Some(reader) = &mut self.reader else {
                return Received::Broken("there is no replica to read from");
            };
            if !is_resumable {
                return reader.next().await;
            }
            let heard_at = reader.heard_at;
            let since = self.asked_at.map_or(heard_at, |at| at.max(heard_at));
            let silent_at = since + MAX_STREAM_SILENCE;
            let received = match timeout_at(silent_at, reader.next()).await {
                Ok(received) => received,
                Err(_) => match self.ask_in_silence().await {
                    Some(received) => received,
                    None => continue,
                },
            };
            let Received::Broken(reason) = received else { return received };
            match self.replace_broken(reason).await {
                Some(received) => return received,
                None => return Received::Broken(reason),
            }
        }
    }

    /// Asks another replica while the present one is silent. Returns what
    /// either of them sends, or `None` if the other one does not serve.
    async fn ask_in_silence(&mut self) -> Option<Received> {
        self.asked_at = Some(Instant::now());
        let reader = self.reader.as_mut()?;
        reader.source.carrier.suspect();
        reader.note(&mut self.accepted);
        let last = reader.splitter.last();
        let mut reason = SILENT;
        let found = {
            let mut search =
                Box::pin(find_replacement(&mut self.accepted, last, reason));
            tokio::select! {
                biased;
                received = reader.next() => match received {
                    Received::Broken(broken) => {
                        reason = broken;
                        reader.source.carrier.fail();
                        self.reader = None;
                        search.await
                    }
                    received => {
                        drop(search);
                        self.accepted.note_pending();
                        self.log_return();
                        return Some(received);
                    }
                },
                found = &mut search => found,
            }
        };
        self.asked_at = Some(Instant::now());
        match found {
            Ok(replacement) => Some(self.move_to(replacement, reason)),
            Err(obstacle) => {
                self.log_obstacle(obstacle, reason);
                let is_gone = self.reader.is_none();
                is_gone.then_some(Received::Broken(reason))
            }
        }
    }

    fn log_return(&self) {
        self.count_move("went_on");
        info!(
            target: "gateway",
            request = self.request_id(),
            silent_ms = self.heard_at.elapsed().as_millis() as u64,
            "Silent replica goes on with the stream."
        );
    }

    /// Finds a replica that goes on with a stream that its replica has broken
    /// off. Returns what it sends, or `None` if there is none.
    async fn replace_broken(
        &mut self,
        reason: &'static str,
    ) -> Option<Received> {
        let mut reader = self.reader.take()?;
        reader.source.carrier.fail();
        reader.note(&mut self.accepted);
        self.last = reader.splitter.last();
        drop(reader);
        match find_replacement(&mut self.accepted, self.last, reason).await {
            Ok(replacement) => Some(self.move_to(replacement, reason)),
            Err(obstacle) => {
                self.log_obstacle(obstacle, reason);
                None
            }
        }
    }

    /// Leaves the replica of the stream, if there is still one, for another.
    fn move_to(
        &mut self,
        replacement: Replacement,
        reason: &'static str,
    ) -> Received {
        let Replacement { reader, first } = replacement;
        info!(
            target: "gateway",
            request = self.request_id(),
            parts = %self.accepted.request_info.shown_parts(),
            replica = reader.source.carrier.name(),
            version = reader.source.version.certain(),
            last_event = self.last.unwrap_or(0),
            silent_ms = self.heard_at.elapsed().as_millis() as u64,
            "Stream resumes at another replica: {reason}."
        );
        if let Some(mut former) = self.reader.replace(reader) {
            former.source.carrier.fail();
        }
        self.asked_at = None;
        self.accepted.gateway.metrics.moved.inc();
        self.count_move("moved");
        first
    }

    fn log_obstacle(&self, obstacle: Obstacle, reason: &'static str) {
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
            last_event = self.last.unwrap_or(0),
            silent_ms = self.heard_at.elapsed().as_millis() as u64,
            "Stream does not go on at another replica: {reason}."
        );
    }

    fn count_move(&self, outcome: &'static str) {
        let label = StreamMove { outcome };
        let moves = &self.accepted.gateway.metrics.stream_moves;
        moves.get_or_create(&label).inc();
    }

    fn finish(&mut self) {
        self.has_ended = true;
        self.accepted.observe_latency();
        info!(
            target: "gateway",
            request = self.request_id(),
            last_event = self.last.unwrap_or(0),
            after_ms = self.accepted.began.elapsed().as_millis() as u64,
            "Stream ended."
        );
        if let Some(Reader { mut source, .. }) = self.reader.take() {
            source.carrier.finish(false);
            let keep = source.keep_ms.map(Duration::from_millis);
            let pool = source.carrier.pool(&self.accepted.gateway);
            pool.put_back(source.connection, keep);
        }
    }

    fn fail(&mut self, text: &'static str) -> BodyError {
        self.has_ended = true;
        let reader = self.reader.take();
        let replica = reader.map(|reader| reader.source.carrier.name());
        warn!(
            target: "gateway",
            request = self.request_id(),
            fingerprint = fingerprint::shown(self.accepted.identity.fingerprint),
            parts = %self.accepted.request_info.shown_parts(),
            route = self.accepted.route.name,
            replica = replica.as_deref().unwrap_or(self.replica()),
            last_event = self.last.unwrap_or(0),
            silent_ms = self.heard_at.elapsed().as_millis() as u64,
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
        self.accepted.request_id()
    }
}

/// Finds a replica that goes on with a stream after the event `last`, and
/// waits until it has sent a whole event.
async fn find_replacement(
    accepted: &mut AcceptedRequest,
    last: Option<u64>,
    reason: &'static str,
) -> Result<Replacement, Obstacle> {
    if accepted.route.retry_policy != RetryPolicy::Resumable {
        return Err(Obstacle::AttemptsUsedUp);
    }
    if accepted.version == StreamVersion::Unknown {
        return Err(Obstacle::VersionUncertain);
    }
    if !accepted.is_origin_confirmed().await {
        return Err(Obstacle::OriginUnconfirmed);
    }
    loop {
        info!(
            target: "gateway",
            request = accepted.request_id(),
            last_event = last.unwrap_or(0),
            "Asking another replica for the rest of the stream: {reason}."
        );
        let source = match accepted.ask(last).await {
            Ok(Reply::Streaming(source, _)) => *source,
            // The replica has answered with something else than a stream.
            Ok(Reply::Complete(_)) => {
                let replica = accepted.chosen.as_ref();
                let replica = replica.map_or("", |target| &target.replica);
                let replica = replica.to_owned();
                accepted.attempts.note(&replica, Verdict::Ran, true);
                return Err(Obstacle::Refused);
            }
            Err(Exhausted { obstacle, .. }) => return Err(obstacle),
        };
        let mut reader = Reader::open(source, last, true);
        if !reader.source.is_noted {
            accepted.pending = Some(reader.source.carrier.name());
        }
        let (version, begun) = (&reader.source.version, reader.source.begun);
        let is_same = !accepted.is_settled || *version == accepted.version;
        let is_confirmed = is_same
            && (!accepted.is_settled || accepted.is_confirmed(begun).await);
        if !is_confirmed {
            accepted.log_unconfirmed(&reader.source.carrier.name());
            reader.note(accepted);
            continue;
        }
        match reader.first(accepted).await {
            Some(first) => {
                accepted.pending = None;
                return Ok(Replacement { reader, first });
            }
            None => reader.source.carrier.fail(),
        }
        reader.note(accepted);
    }
}
