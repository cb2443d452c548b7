//! Attempts of one request that are in flight at replicas.
//!
//! An [`Exchange`] is one attempt until its answer begins. Several of a request
//! may be [in flight](InFlight) at the same time: a replica that has been
//! silent for some time keeps the request while another one is asked, and the
//! first answer counts. The others are dropped then, which closes their
//! connections.

use std::{future::poll_fn, pin::Pin, task::Poll, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use super::{
    accept::remove_hop_by_hop_headers,
    dialect::{AnswerInfo, AttemptInfo},
    fleet::{Outcome, Target},
    flight::{Carrier, Flight},
    forward::{AcceptedRequest, Reply, StreamVersion},
    peer_call::{mark_departure, remove_internal_headers},
    relay,
    resume::Begun,
    survival::Proof,
    upstream::{Connection, Error, Fault},
};
use crate::{mesh::table::record_key, outgoing::is_final, verdict::Verdict};

/// Maximum size of an answer that is read to its end before any of it is
/// forwarded, in bytes. If such an answer breaks off, the request can still be
/// retried at another replica.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 256 * 1024;
/// Silence of a replica after which a repeatable request is sent to another
/// replica as well, as a multiple of the route's target.
const MAX_SILENCE_TARGETS: u32 = 3;
/// Minimum silence after which another replica is asked, in ms.
const MIN_SILENCE_MS: u64 = 400;
/// The highest urgency value, which is the least urgent one.
const MAX_URGENCY: u32 = 9;

/// The head of an answer, with the connection that its body arrives on.
pub(super) type Answered = Result<(Connection, Response<Incoming>), Error>;

/// An attempt at a replica whose answer has not begun.
pub(super) struct Exchange {
    target: Target,
    flight: Flight,
    answer: Pin<Box<dyn Future<Output = Answered> + Send>>,
    /// True when the attempt counts as one that may have run.
    is_noted: bool,
}

impl Exchange {
    /// Returns the replica.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns true when the attempt counts as one that may have run.
    pub fn is_noted(&self) -> bool {
        self.is_noted
    }

    /// Notes that the replica has been silent for long, and returns for how
    /// long, in ms.
    pub fn suspect(&mut self) -> u64 {
        self.is_noted = true;
        self.flight.suspect()
    }
}

/// An attempt whose answer has begun, or that has failed.
pub(super) struct Finished {
    pub exchange: Exchange,
    pub answered: Answered,
}

/// What happened to the attempts in flight.
pub(super) enum Event {
    /// A replica began to answer, or its attempt failed.
    Answered(Box<Finished>),
    /// The newest attempt has been silent for long.
    Silent,
    /// The deadline has passed.
    DeadlinePassed,
}

/// Attempts in flight, from the oldest to the newest.
#[derive(Default)]
pub(super) struct InFlight(Vec<Exchange>);

impl InFlight {
    pub fn push(&mut self, exchange: Exchange) {
        self.0.push(exchange);
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn newest(&self) -> Option<&Exchange> {
        self.0.last()
    }

    pub fn newest_mut(&mut self) -> Option<&mut Exchange> {
        self.0.last_mut()
    }

    /// Waits for the first answer, forever if no attempt is in flight.
    pub async fn next_answer(&mut self) -> Box<Finished> {
        let (at, answered) = poll_fn(|context| {
            for (at, exchange) in self.0.iter_mut().enumerate() {
                let answer = exchange.answer.as_mut();
                if let Poll::Ready(answered) = answer.poll(context) {
                    return Poll::Ready((at, answered));
                }
            }
            Poll::Pending
        })
        .await;
        Box::new(Finished { exchange: self.0.remove(at), answered })
    }

    /// Waits for the first answer until the deadline.
    pub async fn next_answer_until(&mut self, deadline: Instant) -> Event {
        match timeout_at(deadline, self.next_answer()).await {
            Ok(finished) => Event::Answered(finished),
            Err(_) => Event::DeadlinePassed,
        }
    }
}

impl AcceptedRequest {
    /// Begins to send the request to one replica.
    pub fn begin(&self, target: &Target, last_event: Option<u64>) -> Exchange {
        let flight = Flight::begin(self, target);
        let request = self.request(target, last_event);
        let gateway = self.gateway.clone();
        let (replica, address) = (target.replica.clone(), target.address);
        let (deadline, body_bytes) = (self.deadline, self.body.len());
        let answer = Box::pin(async move {
            let request = request?;
            let connections = &gateway.connections;
            let taken = connections.take(&replica, address, deadline).await;
            let mut connection = taken?;
            let response = connection.exchange(request, body_bytes).await?;
            Ok((connection, response))
        });
        Exchange { target: target.clone(), flight, answer, is_noted: false }
    }

    /// Reads the answer to an attempt, to its end if it is not a stream.
    pub async fn read(&self, finished: Finished) -> Result<Reply, Error> {
        let Finished { exchange, answered } = finished;
        let Exchange { target, mut flight, is_noted, .. } = exchange;
        let (connection, mut response) = answered.inspect_err(|failed| {
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
        if !is_final(response.status()) {
            flight.end = Outcome::Failed;
            return Err(Error::unproven("the answer's status is invalid"));
        }
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
                is_noted,
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
                    is_noted: false,
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

    /// Returns how long a replica may be silent before another one is asked as
    /// well.
    ///
    /// A replica that answers other requests is working. Another replica would
    /// only make the request wait again, and what the first one has read of
    /// the prompt would be wasted.
    pub fn max_silence(&self, target: &Target) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let target_time = Duration::from_millis(self.route.target_ms);
        let min_silence = Duration::from_millis(MIN_SILENCE_MS);
        let short_silence =
            (target_time * MAX_SILENCE_TARGETS).max(min_silence);
        let fleet = self.gateway.fleet();
        let silence = match fleet.is_answering(
            self.now(),
            &self.service,
            &target.replica,
        ) {
            true => left.min(short_silence.max(left / 2)),
            false => left.min(short_silence),
        };
        // The node that has forwarded the request asks elsewhere after half of
        // the time.
        let half = (self.deadline - self.began) / 2;
        match self.forwarded.is_some() && silence + half >= left {
            true => left,
            false => silence,
        }
    }
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
