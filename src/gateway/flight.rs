//! An attempt in flight at a replica, as the router counts it.

use std::sync::Arc;

use super::{
    Gateway,
    dialect::AnswerInfo,
    ending::{Attempt, Symptom},
    fleet::{Outcome, Target},
    forward::AcceptedRequest,
    peer_call::PeerCall,
    survival::Proof,
    upstream::Pool,
};
use crate::{
    decide::{
        quarantine::Identity,
        rollout::evidence::{End, Sample},
    },
    util::name_hash,
};

/// Silence on an abandoned attempt after which its replica may have crashed,
/// in ms: longer than the pauses that an engine makes.
const CRASH_SUSPICION_SILENCE_MS: u64 = 1000;

/// Time from which an attempt that its caller left counts as one that took at
/// least so long, in ms. Callers leave sooner for reasons of their own.
const MIN_CENSORED_MS: u32 = 1000;
/// Pieces of an answer after which its beginning counts as right. Replicas
/// that fail fast send fewer.
const PROVING_PIECES: u32 = 4;
/// Pieces from which the time between them is measured.
const MIN_GAP_PIECES: u32 = 8;

/// What carries an attempt to a replica.
pub(super) enum Carrier {
    /// A connection of this node.
    Replica(Flight),
    /// Another node, which counts the attempt for the routers.
    Peer(PeerCall),
}

impl Carrier {
    /// Returns the id of the replica, or the address of the node.
    pub fn name(&self) -> String {
        match self {
            Carrier::Replica(flight) => flight.replica().to_owned(),
            Carrier::Peer(call) => call.ip().to_string(),
        }
    }

    /// Notes that data of the answer has arrived.
    pub fn progress(&mut self) {
        if let Carrier::Replica(flight) = self {
            flight.progress();
        }
    }

    /// Notes that the answer was read to its end.
    pub fn finish(&mut self, failure: bool) {
        if let Carrier::Replica(flight) = self {
            flight.finish(failure);
        }
    }

    /// Notes that the connection broke before the answer was complete.
    pub fn disconnect(&mut self) {
        if let Carrier::Replica(flight) = self {
            flight.end = Outcome::Disconnected;
        }
    }

    /// Notes that the attempt failed, unless it is known how.
    pub fn fail(&mut self) {
        if let Carrier::Replica(flight) = self
            && flight.end != Outcome::Disconnected
        {
            flight.end = Outcome::Failed;
        }
    }

    /// Notes that the replica has been silent for long.
    pub fn suspect(&mut self) {
        if let Carrier::Replica(flight) = self {
            flight.suspect();
        }
    }

    /// Returns the pool that the connection belongs to.
    pub fn pool<'a>(&self, gateway: &'a Gateway) -> &'a Pool {
        match self {
            Carrier::Replica(_) => &gateway.connections,
            Carrier::Peer(_) => &gateway.peer_connections,
        }
    }
}

/// An attempt in flight at a replica, counted until dropped.
pub(super) struct Flight {
    gateway: Arc<Gateway>,
    service: String,
    /// Boxed, as a flight is moved with its answer.
    target: Box<Target>,
    identity: Identity,
    began_at: u64,
    /// When data of the answer last arrived, or the attempt began, in ms.
    heard_at: u64,
    has_started: bool,
    /// True while the replica counts as failed because of its silence.
    is_suspected: bool,
    /// True when it was asked whether the replica has crashed.
    is_investigated: bool,
    /// When the answer began, in ms.
    started_at: u64,
    /// Pieces of the answer that have arrived since.
    pieces: u32,
    /// How long the answer took to begin, relative to the prediction, until
    /// the answer is known to be right.
    sample: Option<f32>,
    /// What a complete answer shows.
    proof: Proof,
    /// The outcome that is counted on drop.
    pub end: Outcome,
    /// False if a failure says nothing about the replica's software.
    pub is_judged: bool,
    /// The attempt as evidence of a roll-out, and the order; `None` if none of
    /// the service ran when it began.
    evidence: Option<Box<(u64, Sample)>>,
}

impl Flight {
    /// Starts an attempt at `target`.
    pub fn begin(accepted: &AcceptedRequest, target: &Target) -> Flight {
        Flight {
            gateway: accepted.gateway.clone(),
            service: accepted.service.clone(),
            target: Box::new(target.clone()),
            identity: accepted.identity.clone(),
            began_at: accepted.now(),
            heard_at: accepted.now(),
            has_started: false,
            is_suspected: false,
            is_investigated: false,
            started_at: 0,
            pieces: 0,
            sample: None,
            proof: Proof::None,
            // The outcome when the caller disconnects and the attempt is
            // dropped.
            end: Outcome::Abandoned,
            is_judged: true,
            evidence: evidence_of(accepted, target),
        }
    }

    /// Notes that the answer has begun. `proof` is what its end will show.
    pub fn began(&mut self, answer_info: &AnswerInfo, proof: Proof) {
        self.has_started = true;
        self.is_suspected = false;
        self.is_investigated = false;
        self.proof = proof;
        let now = self.gateway.timer.now();
        self.heard_at = now;
        if let Some(evidence) = &mut self.evidence {
            let first_ms = now.saturating_sub(self.began_at) as u32;
            evidence.1.first_ms = Some(first_ms);
        }
        let mut fleet = self.gateway.fleet();
        fleet.record_start(now, &self.service, &self.target, answer_info.load);
        self.started_at = now;
        if let Some(percent) = answer_info.work_time {
            let replica = &self.target.replica;
            fleet.record_figure(now, &self.service, replica, percent);
        }
        if proof == Proof::None {
            return;
        }
        let ticket = self.target.ticket;
        self.sample = fleet.first_sample(now, &self.service, ticket);
        if let Some(log_time) = self.sample
            && log_time >= 0.0
        {
            fleet.record_sample(now, &self.service, ticket, log_time);
            self.sample = None;
        }
    }

    /// Records the sample that was kept until the answer proved right.
    fn record_kept_sample(&mut self, now: u64) {
        let Some(log_time) = self.sample.take() else { return };
        let ticket = self.target.ticket;
        let mut fleet = self.gateway.fleet();
        fleet.record_sample(now, &self.service, ticket, log_time);
    }

    fn record_gap(&self, now: u64) {
        let pieces = self.pieces;
        if pieces < MIN_GAP_PIECES {
            return;
        }
        let streamed_ms = self.heard_at.saturating_sub(self.started_at);
        let gap_ms = streamed_ms as f32 / pieces as f32;
        let ticket = self.target.ticket;
        let mut fleet = self.gateway.fleet();
        fleet.record_gap(now, &self.service, ticket, gap_ms);
    }

    /// Notes that the answer was read to its end.
    pub fn finish(&mut self, failure: bool) {
        let now = self.gateway.timer.now();
        let held_ms = now.saturating_sub(self.began_at) as u32;
        if !failure {
            self.record_kept_sample(now);
            self.record_gap(now);
        }
        match self.proof {
            Proof::Complete if !failure => {
                self.gateway.record_success(&self.identity, now);
            }
            Proof::WhenHeard if !failure => {
                self.gateway.record_unproven_answer(
                    &self.identity,
                    &self.service,
                    &self.target.replica,
                    now,
                );
            }
            _ => {}
        }
        self.end = match failure {
            true => Outcome::Failed,
            false => Outcome::Completed { held_ms },
        };
    }

    /// Notes that data of the answer has arrived.
    pub fn progress(&mut self) {
        let now = self.gateway.timer.now();
        self.heard_at = now;
        self.is_suspected = false;
        self.is_investigated = false;
        let ticket = self.target.ticket;
        self.gateway.fleet().record_progress(now, &self.service, ticket);
        self.pieces += 1;
        if self.pieces == PROVING_PIECES {
            self.record_kept_sample(now);
        }
    }

    /// Notes that the replica has been silent for long, and returns for how
    /// long, in ms. The router avoids the replica from now on, while the
    /// attempt is still in flight there.
    pub fn suspect(&mut self) -> u64 {
        let now = self.gateway.timer.now();
        if !self.is_suspected {
            self.is_suspected = true;
            let ticket = self.target.ticket;
            let mut fleet = self.gateway.fleet();
            fleet.record_silence(now, &self.service, ticket);
            drop(fleet);
            self.investigate_silence(now);
        }
        now.saturating_sub(self.heard_at)
    }

    /// Finds out whether the replica has crashed if it has long been silent.
    fn investigate_silence(&mut self, now: u64) {
        if now >= self.heard_at + CRASH_SUSPICION_SILENCE_MS {
            self.investigate(now, Symptom::Unresponsive);
        }
    }

    fn investigate(&mut self, now: u64, symptom: Symptom) {
        let version = &self.target.version;
        let is_known =
            self.is_investigated && symptom == Symptom::Unresponsive;
        if is_known || self.gateway.is_version_on_trial(&self.service, version)
        {
            return;
        }
        self.is_investigated = true;
        let attempt = Attempt {
            identity: self.identity.clone(),
            sent_at: self.began_at,
            heard_at: self.heard_at,
            ended_at: now,
            symptom,
        };
        self.gateway.investigate_crash(&self.service, &self.target, attempt);
    }

    /// Returns when the attempt began, in ms.
    pub fn began_at(&self) -> u64 {
        self.began_at
    }

    /// Returns the id of the replica.
    pub fn replica(&self) -> &str {
        &self.target.replica
    }
}

/// Returns the attempt as evidence of the roll-out that runs.
fn evidence_of(
    accepted: &AcceptedRequest,
    target: &Target,
) -> Option<Box<(u64, Sample)>> {
    let gateway = &accepted.gateway;
    let (order, step, is_new) =
        gateway.running_rollout(&accepted.service, &target.version)?;
    let (prompt, answer) = accepted.request_info.tokens.unwrap_or((0, 0));
    let sample = Sample {
        route: name_hash(&accepted.route.name),
        step,
        is_new,
        prompt: (prompt as u32).saturating_sub(target.cached_tokens),
        answer: answer as u32,
        first_ms: None,
        whole_ms: None,
        end: End::Left,
    };
    Some(Box::new((order, sample)))
}

impl Flight {
    /// Records the attempt as evidence of a roll-out.
    fn record_evidence(&mut self, now: u64) {
        let Some(evidence) = self.evidence.take() else { return };
        let (order, mut sample) = *evidence;
        let held_ms = now.saturating_sub(self.began_at) as u32;
        sample.end = match self.end {
            Outcome::Completed { .. } if self.proof == Proof::None => {
                End::Failed
            }
            Outcome::Completed { .. } => {
                sample.whole_ms = sample.first_ms.map(|_| held_ms);
                End::Good
            }
            Outcome::Failed if self.is_judged => End::Failed,
            Outcome::Disconnected if self.is_judged => End::Broken,
            Outcome::Abandoned if held_ms >= MIN_CENSORED_MS => {
                // The answer would have begun later still.
                sample.first_ms.get_or_insert(held_ms);
                End::Left
            }
            _ => return,
        };
        let service = &self.service;
        self.gateway.record_rollout_sample(service, order, &sample);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.gateway.timer.now();
        self.record_evidence(now);
        let ticket = self.target.ticket;
        let outcome = match self.end {
            // The failure has been counted.
            Outcome::Failed if self.is_suspected => Outcome::Abandoned,
            outcome => outcome,
        };
        let mut fleet = self.gateway.fleet();
        fleet.record_end(
            now,
            &self.service,
            ticket,
            self.has_started,
            outcome,
        );
        drop(fleet);
        match self.end {
            Outcome::Disconnected => {
                let replica = &self.target.replica;
                self.gateway.record_connection_failure(&self.service, replica);
                self.investigate(now, Symptom::Broken);
            }
            Outcome::Failed | Outcome::Abandoned => {
                self.investigate_silence(now);
            }
            _ => {}
        }
    }
}
