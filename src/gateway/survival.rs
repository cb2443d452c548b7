//! Tells whether a replica survived a request that it has answered.
//!
//! A complete answer shows that its replica did not crash, which clears the
//! request and the parts of its prompt of earlier crashes. An answer that ends
//! with its connection looks complete when its replica crashes, so it shows
//! that only once the replica is heard again. Without these answers, a service
//! that sends no others would have no success, and parts that all its requests
//! share would be blamed for crashes.

use std::sync::{Mutex, MutexGuard};

use super::{Gateway, ending};
use crate::{decide::quarantine::Identity, mesh::lives::Fate};

/// Time after an answer within which its replica has to be heard, in ms: four
/// heartbeat intervals.
const PROOF_TIMEOUT_MS: u64 = 5000;
/// Maximum number of answers that wait for their replicas to be heard. Further
/// ones prove nothing.
const MAX_UNPROVEN_ANSWERS: usize = 1024;

/// What the end of an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Proof {
    /// Nothing, as an error answer may be sent before the request runs.
    None,
    /// That the replica survived if it is heard later.
    WhenHeard,
    /// That the replica survived.
    Complete,
}

/// A complete answer without a length, whose replica has not been heard since.
#[derive(Debug)]
struct Answer {
    identity: Identity,
    service: String,
    replica: String,
    ended_at: u64,
}

/// Answers that prove nothing yet, the oldest first.
#[derive(Debug, Default)]
pub(super) struct UnprovenAnswers(Mutex<Vec<Answer>>);

impl UnprovenAnswers {
    fn lock(&self) -> MutexGuard<'_, Vec<Answer>> {
        self.0.lock().unwrap_or_else(|held| held.into_inner())
    }
}

impl Gateway {
    /// Records the end of an answer without a length at `now`, in ms.
    pub(super) fn record_unproven_answer(
        &self,
        identity: &Identity,
        service: &str,
        replica: &str,
        now: u64,
    ) {
        let mut answers = self.unproven_answers.lock();
        if answers.len() < MAX_UNPROVEN_ANSWERS {
            answers.push(Answer {
                identity: identity.clone(),
                service: service.to_owned(),
                replica: replica.to_owned(),
                ended_at: now,
            });
        }
    }

    /// Records the successes of answers whose replicas have been heard since.
    pub(super) fn record_proven_answers(&self) {
        let answers = std::mem::take(&mut *self.unproven_answers.lock());
        let now = self.timer.now();
        let mut unproven = Vec::new();
        for answer in answers {
            match self.was_heard_since(&answer) {
                true => {
                    self.record_success(&answer.identity, answer.ended_at);
                }
                false if now < answer.ended_at + PROOF_TIMEOUT_MS => {
                    unproven.push(answer);
                }
                false => {}
            }
        }
        let mut answers = self.unproven_answers.lock();
        // Answers that have ended in the meantime are newer.
        unproven.append(&mut answers);
        *answers = unproven;
    }

    fn was_heard_since(&self, answer: &Answer) -> bool {
        let since = ending::heard_after(answer.ended_at as i64);
        let Answer { service, replica, .. } = answer;
        if self.fleet().answered_at(service, replica) > since {
            return true;
        }
        let table = self.mesh.get().map(|mesh| mesh.table());
        table.is_some_and(|table| table.fate(replica, since) == Fate::Alive)
    }
}
