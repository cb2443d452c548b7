//! Answers that are passed on as they come.
//!
//! A stream of events that breaks off goes on at another replica, if its
//! route allows that: behind the last event that went to the client, in the
//! same answer. One that can't go on ends with an error, which closes the
//! client's connection in the middle of the body, so that nobody takes it
//! for whole.

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
    fleet::End,
    flight::Flight,
    forward::{Reply, Work},
    plan::Repeat,
    server::{Body, Broken},
    upstream::Line,
};
use crate::{fingerprint, verdict::Verdict};

/// A stream that can go on elsewhere does so after this silence. Clients
/// leave after two seconds or more; replicas under load pause for some tenths
/// of a second.
const SILENCE: Duration = Duration::from_millis(1500);

/// Where an answer comes from.
pub(super) struct Source {
    /// What has been read of it already.
    pub read: Bytes,
    pub body: Incoming,
    pub line: Line,
    pub flight: Flight,
    /// How long the replica keeps the connection afterwards, in ms.
    pub keep: Option<u64>,
}

struct Relay {
    work: Work,
    source: Option<Source>,
    splitter: Splitter,
    /// Whether the body is made of events.
    events: bool,
    /// The stream has ended, well or not.
    over: bool,
}

/// The answer to a client, which lives on as long as the client reads it.
pub(super) fn open(
    work: Work,
    source: Source,
    head: Response<()>,
) -> Response<Body> {
    let events = work.route.repeat.is_stream();
    let relay = Relay {
        splitter: Splitter::open(work.asked.last_event),
        source: Some(source),
        events,
        over: false,
        work,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    head.map(|()| StreamBody::new(frames).boxed_unsync())
}

/// What came from a replica.
enum Piece {
    Data(Bytes),
    End,
    Broken(&'static str),
    OutOfTime,
}

impl Relay {
    /// The next bytes for the client; `None` at the end of a whole answer.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        while !self.over {
            let why = match self.piece().await {
                Piece::Data(bytes) if bytes.is_empty() => continue,
                Piece::Data(bytes) => return Some(Ok(bytes)),
                Piece::End => {
                    self.finish();
                    return None;
                }
                Piece::OutOfTime => return Some(Err(self.fail("time is up"))),
                Piece::Broken(why) => why,
            };
            if !self.go_on(why).await {
                return Some(Err(self.fail(why)));
            }
        }
        None
    }

    async fn piece(&mut self) -> Piece {
        let deadline = self.work.deadline;
        let resumable = self.work.route.repeat == Repeat::Resumable;
        let Some(source) = &mut self.source else {
            return Piece::Broken("no replica");
        };
        if !source.read.is_empty() {
            return Piece::Data(std::mem::take(&mut source.read));
        }
        let until = match resumable {
            true => deadline.min(Instant::now() + SILENCE),
            false => deadline,
        };
        let frame = match timeout_at(until, source.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                source.flight.end = End::Broken;
                return Piece::Broken("it broke off");
            }
            Ok(None) if !self.events => return Piece::End,
            Ok(None) if self.splitter.is_between_events() => {
                return Piece::End;
            }
            Ok(None) => {
                source.flight.end = End::Broken;
                return Piece::Broken("it ended within an event");
            }
            Err(_) if Instant::now() >= deadline => return Piece::OutOfTime,
            Err(_) => return Piece::Broken("it fell silent"),
        };
        let Ok(data) = frame.into_data() else {
            return Piece::Data(Bytes::new());
        };
        source.flight.progress();
        if !self.events {
            return Piece::Data(data);
        }
        match self.splitter.push(&data) {
            Ok(whole) => Piece::Data(whole),
            Err(_) => Piece::Broken("its events are out of order"),
        }
    }

    fn finish(&mut self) {
        self.over = true;
        self.work.note_end();
        info!(
            target: "gateway",
            request = self.shown(),
            last_event = self.splitter.last().unwrap_or(0),
            after_ms = self.work.began.elapsed().as_millis() as u64,
            "Stream ended."
        );
        if let Some(mut source) = self.source.take() {
            source.flight.finish(false);
            let keep = source.keep.map(Duration::from_millis);
            self.work.gateway.lines.put_back(source.line, keep);
        }
    }

    fn fail(&mut self, text: &'static str) -> Broken {
        self.over = true;
        self.source = None;
        warn!(
            target: "gateway",
            request = self.shown(),
            fingerprint = fingerprint::shown(self.work.fingerprint),
            route = self.work.route.name,
            replica = self.replica(),
            last_event = self.splitter.last().unwrap_or(0),
            after_ms = self.work.began.elapsed().as_millis() as u64,
            "Stream ends early: {text}."
        );
        Broken { verdict: Verdict::Ran, text }
    }

    /// The replica that it was asked of last.
    fn replica(&self) -> &str {
        self.work.chosen.as_ref().map_or("", |target| &target.replica)
    }

    fn shown(&self) -> &str {
        let id = self.work.asked.id.as_ref();
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Goes on at another replica; false when that is not possible.
    async fn go_on(&mut self, why: &'static str) -> bool {
        if let Some(mut source) = self.source.take() {
            if source.flight.end != End::Broken {
                source.flight.end = End::Failed;
            }
            let replica = source.flight.replica().to_owned();
            self.work.attempts.note(&replica, Verdict::Ran);
        }
        if self.work.route.repeat != Repeat::Resumable {
            return false;
        }
        while Instant::now() < self.work.deadline && self.work.may_repeat() {
            let Some(target) = self.work.pick() else { return false };
            let last = self.splitter.last();
            self.work.chosen = Some(target.clone());
            info!(
                target: "gateway",
                request = self.shown(),
                replica = target.replica,
                last_event = last.unwrap_or(0),
                "Stream goes on elsewhere, as {why}."
            );
            match self.work.attempt(&target, last).await {
                Ok(Reply::Streams(source, _)) => {
                    self.splitter = Splitter::open(last);
                    self.source = Some(*source);
                    self.work.gateway.metrics.moved.inc();
                    return true;
                }
                Ok(Reply::Whole(_)) => {
                    let replica = &target.replica;
                    self.work.attempts.note(replica, Verdict::Ran);
                }
                Err(failed) => {
                    let replica = &target.replica;
                    self.work.attempts.note(replica, failed.verdict);
                }
            }
        }
        false
    }
}
