//! Sends a request to replicas until one of them answers.
//!
//! A replica that is silent may be slow, gone, or well. After some time another
//! replica is asked, and both have the request until one of them answers. An
//! attempt is never dropped because no other one can be made: it waits for its
//! answer until the deadline.

use bytes::Bytes;
use http::Response;
use tokio::time::Instant;
use tracing::info;

use super::{
    attempt::{Event, Exchange, Finished, InFlight},
    fleet::Target,
    forward::{AcceptedRequest, MAX_NOT_RUN_RETRIES, Reply, StreamVersion},
    origins::MAX_RECEIPT_WAIT,
    peer_call,
    refusal::{Refusal, id_text},
    upstream::Error,
};
use crate::{
    fingerprint, mesh::table::record_key, metrics::FailedAttempt,
    verdict::Verdict,
};

/// Retry delay sent to callers while no replica can be reached, in ms: about
/// the time until all nodes know of a replica's failure or return.
const NO_REPLICA_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent to callers while all replicas are full, in ms. A replica's
/// queue holds at most a second's worth of requests.
const REPLICAS_FULL_RETRY_AFTER_MS: u64 = 400;

/// Why no other replica is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Obstacle {
    /// It is not certain which software version began the stream.
    VersionUncertain,
    /// The stream's replica may have restarted with another version before it
    /// began.
    OriginUnconfirmed,
    /// The route allows no further attempt.
    AttemptsUsedUp,
    /// The request or a part of its prompt is quarantined.
    Quarantined,
    /// The router has no replica for it.
    NoReplica,
    /// The replicas have no capacity for it.
    Refused,
    /// The retry budget is used up.
    RetryDenied,
    /// Neither this node nor another one reaches the replicas.
    Unreachable,
    /// The deadline has passed.
    DeadlinePassed,
}

impl Obstacle {
    /// Returns the text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Obstacle::VersionUncertain => "version_uncertain",
            Obstacle::OriginUnconfirmed => "origin_unconfirmed",
            Obstacle::AttemptsUsedUp => "attempts_used_up",
            Obstacle::Quarantined => "quarantined",
            Obstacle::NoReplica => "no_replica",
            Obstacle::Refused => "refused",
            Obstacle::RetryDenied => "retry_denied",
            Obstacle::Unreachable => "unreachable",
            Obstacle::DeadlinePassed => "deadline_passed",
        }
    }

    fn with(self, refusal: Refusal) -> Next {
        Next::Exhausted(Exhausted { obstacle: self, refusal })
    }
}

/// The refusal of a request that no replica answers.
#[derive(Debug)]
pub(super) struct Exhausted {
    pub obstacle: Obstacle,
    pub refusal: Refusal,
}

/// What follows the attempts that were made so far.
enum Next {
    /// An attempt that has just begun.
    Attempt(Box<Exchange>),
    /// The end of an earlier attempt.
    Answered(Box<Finished>),
    /// The answer that came through another node.
    Reply(Reply),
    /// Another attempt, if the request may be retried.
    Retry(Refusal),
    /// No further attempt.
    Exhausted(Exhausted),
}

/// What follows while this node does not reach the replicas.
enum Forwarded {
    /// An attempt at a replica, which may be only slow.
    Attempt(Target),
    /// Anything else.
    Next(Next),
}

impl AcceptedRequest {
    /// Asks replicas until one of them answers, for what follows the event
    /// `last_event` of a stream.
    ///
    /// A replica that is silent may be slow, gone, or well. It keeps the
    /// request while another one is asked, and also if no other one can be.
    pub async fn ask(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Reply, Exhausted> {
        let text = match self.version {
            StreamVersion::Any => "no replica is there",
            _ => "no replica of the stream's software version is there",
        };
        let mut last = Refusal::retryable(text, NO_REPLICA_RETRY_AFTER_MS);
        let mut answer = None;
        let mut in_flight = InFlight::default();
        loop {
            let next = tokio::select! {
                biased;
                finished = in_flight.next_answer() => Next::Answered(finished),
                next = self.next(last_event, &last) => next,
            };
            let event = match next {
                Next::Attempt(exchange) => {
                    in_flight.push(*exchange);
                    self.wait(&mut in_flight).await
                }
                Next::Answered(finished) => Event::Answered(finished),
                Next::Reply(reply) => return Ok(reply),
                Next::Retry(refusal) => {
                    last = refusal;
                    continue;
                }
                Next::Exhausted(exhausted) if in_flight.is_empty() => {
                    return answer_or_refuse(answer, exhausted);
                }
                Next::Exhausted(exhausted) => {
                    self.log_kept(exhausted.obstacle, &in_flight);
                    in_flight.next_answer_until(self.deadline).await
                }
            };
            match event {
                Event::Answered(finished) => {
                    let is_noted = finished.exchange.is_noted();
                    let target = finished.exchange.target().clone();
                    self.chosen = Some(target.clone());
                    let reply = self.read(*finished).await;
                    // Until here the attempt may be dropped, and has run.
                    if !is_noted {
                        self.pending = None;
                    }
                    match reply {
                        Ok(Reply::Complete(failure))
                            if is_failure(&failure) =>
                        {
                            if !is_noted {
                                let replica = &target.replica;
                                let verdict = Verdict::Ran;
                                self.attempts.note(replica, verdict, true);
                            }
                            answer = Some(failure);
                        }
                        Ok(reply) => {
                            // The attempts that are still in flight end here.
                            self.note_pending();
                            return Ok(reply);
                        }
                        Err(failed) => {
                            self.log_failed_attempt(&target, &failed);
                            if !is_noted {
                                self.note_failed_attempt(&target, &failed);
                            }
                            last = self.refusal_after(&failed);
                        }
                    }
                }
                Event::Silent => {
                    self.suspect_newest(&mut in_flight);
                    let text = "the replica did not answer";
                    last = Refusal::may_have_run(text);
                }
                Event::DeadlinePassed => {
                    self.note_pending();
                    let refusal = Refusal::timed_out(self.attempts.verdict());
                    let obstacle = Obstacle::DeadlinePassed;
                    let exhausted = Exhausted { obstacle, refusal };
                    return answer_or_refuse(answer, exhausted);
                }
            }
        }
    }

    /// Begins an attempt at the router's next choice, or returns why there is
    /// none. `last` is the refusal by the attempts so far.
    async fn next(&mut self, last_event: Option<u64>, last: &Refusal) -> Next {
        if Instant::now() >= self.deadline {
            let refusal = Refusal::timed_out(last.verdict);
            return Obstacle::DeadlinePassed.with(refusal);
        }
        let tried = self.attempts.ran + self.attempts.not_run;
        if tried > 0 && !self.is_first_elsewhere() && !self.allows_retry() {
            let obstacle = match self.is_quarantined() {
                true => Obstacle::Quarantined,
                false => Obstacle::AttemptsUsedUp,
            };
            return obstacle.with(self.refuse_without_replica(last.clone()));
        }
        let is_unreachable = self.gateway.is_unreachable(&self.service);
        let target = match (is_unreachable, tried) {
            (true, _) => self.pick_connected(),
            (false, 0) => self.gateway.wait_at_start(|| self.pick()).await,
            (false, _) => self.pick(),
        };
        let target = match target {
            None if !is_unreachable => self.pick_other_version().await,
            target => target,
        };
        let target = match target {
            Some(target) => target,
            None if is_unreachable => {
                match self.forward(last_event, last).await {
                    Forwarded::Attempt(target) => target,
                    Forwarded::Next(next) => return next,
                }
            }
            None => {
                let refusal = self.refuse_without_replica(last.clone());
                return Obstacle::NoReplica.with(refusal);
            }
        };
        let refusal = self.check_quarantine_again(tried);
        if let Some(refusal) =
            refusal.or_else(|| self.check_capacity(&target, tried))
        {
            self.release(&target);
            return Obstacle::Refused.with(refusal);
        }
        if !self.claim_arrival() {
            self.release(&target);
            let refusal = self.refuse_without_replica(last.clone());
            return Obstacle::RetryDenied.with(refusal);
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
        self.pending = Some(target.replica.clone());
        Next::Attempt(Box::new(self.begin(&target, last_event)))
    }

    /// Waits for an answer, or until the newest attempt has been silent for
    /// long and another replica may be asked.
    async fn wait(&self, in_flight: &mut InFlight) -> Event {
        let max_silence = match in_flight.newest() {
            Some(newest) if self.may_repeat() => {
                Some(self.max_silence(newest.target()))
            }
            _ => None,
        };
        let silence = tokio::time::sleep(max_silence.unwrap_or_default());
        let may_ask = max_silence.is_some();
        let deadline = self.deadline;
        tokio::select! {
            biased;
            event = in_flight.next_answer_until(deadline) => event,
            () = silence, if may_ask => Event::Silent,
            () = self.gateway.wait_until_lost(&self.service), if may_ask => {
                Event::Silent
            }
        }
    }

    /// Counts the newest attempt as one that may have run, and lets the router
    /// avoid its replica.
    fn suspect_newest(&mut self, in_flight: &mut InFlight) {
        let Some(newest) = in_flight.newest_mut() else { return };
        let silent_ms = newest.suspect();
        let replica = &newest.target().replica;
        self.note_pending();
        self.gateway.metrics.silent_attempts.inc();
        info!(
            target: "gateway",
            request = id_text(self.request_info.id.as_ref()),
            fingerprint = fingerprint::shown(self.identity.fingerprint),
            replica, silent_ms,
            "Replica is silent; looking for another one as well."
        );
    }

    fn log_kept(&self, obstacle: Obstacle, in_flight: &InFlight) {
        info!(
            target: "gateway",
            request = id_text(self.request_info.id.as_ref()),
            obstacle = obstacle.as_str(),
            ran = self.attempts.ran,
            max_attempts = self.route.max_attempts,
            waits_for = in_flight.len(),
            "No other replica is asked; waiting for silent ones."
        );
    }

    fn note_failed_attempt(&mut self, target: &Target, failed: &Error) {
        let Error { verdict, sent, .. } = *failed;
        self.attempts.note(&target.replica, verdict, sent);
        if !sent {
            self.return_claim();
            self.return_exposure(target);
        }
    }

    /// Returns the refusal of a request whose last attempt has failed.
    fn refusal_after(&self, failed: &Error) -> Refusal {
        let mut refusal = match (failed.verdict, failed.sent) {
            (Verdict::NotRun, true) => Refusal::retryable(
                "the replicas are full",
                REPLICAS_FULL_RETRY_AFTER_MS,
            ),
            (Verdict::NotRun, false) => Refusal::retryable(
                "no replica can be reached",
                NO_REPLICA_RETRY_AFTER_MS,
            ),
            _ => Refusal::may_have_run("the replica did not answer"),
        };
        if self.attempts.ran > 0 {
            refusal.verdict = Verdict::MayHaveRun;
        }
        if self.attempts.ran > 0 && failed.verdict == Verdict::NotRun {
            refusal = Refusal::may_have_run("no replica answered");
        }
        if Instant::now() >= self.deadline {
            refusal = Refusal::timed_out(refusal.verdict);
        }
        refusal
    }

    /// Forwards the request through another node, as this one does not reach
    /// the replicas.
    async fn forward(
        &mut self,
        last_event: Option<u64>,
        last: &Refusal,
    ) -> Forwarded {
        // Without the limit, the other node need not wait for the heartbeat
        // that shows the replica's version.
        let until = Instant::now() + MAX_RECEIPT_WAIT;
        self.lift_version_limit(until).await;
        let next = match self.call_peers(last_event).await {
            peer_call::Outcome::Reply(reply) => Next::Reply(reply),
            peer_call::Outcome::Refused(refusal) => {
                Obstacle::Unreachable.with(refusal)
            }
            peer_call::Outcome::Failed(failed) => {
                self.attempts.note("", failed.verdict, true);
                let text = "another node did not answer";
                Next::Retry(Refusal::may_have_run(text))
            }
            peer_call::Outcome::Denied => {
                Obstacle::RetryDenied.with(last.clone())
            }
            peer_call::Outcome::NoPeer => {
                // Where no node reaches the replicas, they may be only too
                // slow for probes.
                let may_be_slow = !self.gateway.is_disconnected(&self.service);
                match may_be_slow.then(|| self.pick()).flatten() {
                    Some(target) => return Forwarded::Attempt(target),
                    None => {
                        Obstacle::Unreachable.with(peer_call::unreachable())
                    }
                }
            }
        };
        Forwarded::Next(next)
    }

    /// Returns true if no replica may have run the request and the next
    /// attempt goes through another node.
    fn is_first_elsewhere(&self) -> bool {
        self.attempts.ran == 0
            && self.attempts.not_run <= MAX_NOT_RUN_RETRIES + 1
            && self.gateway.is_unreachable(&self.service)
    }

    /// Logs and counts an attempt that failed.
    fn log_failed_attempt(&self, target: &Target, failed: &Error) {
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
}

/// Returns true for a server error, after which another replica may succeed.
fn is_failure(answer: &Response<Bytes>) -> bool {
    answer.status().is_server_error()
}

/// Returns a replica's error answer if there is one, otherwise the refusal.
fn answer_or_refuse(
    answer: Option<Response<Bytes>>,
    exhausted: Exhausted,
) -> Result<Reply, Exhausted> {
    answer.map(Reply::Complete).ok_or(exhausted)
}
