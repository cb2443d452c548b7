//! Refuses requests that the replicas have no capacity for.

use super::{
    fleet::Target,
    forward::{AcceptedRequest, StreamVersion},
    refusal::{Cause, Refusal},
};
use crate::verdict::Verdict;

/// Longest predicted time to the first token that is admitted, as a multiple
/// of the route's latency target, for priorities 0, 1 and all others. A late
/// response is worth a tenth, so waiting for twice the target pays only if it
/// delays no other request.
const MAX_LATENCY_FACTORS: [f32; 3] = [2.5, 2.0, 1.5];

impl AcceptedRequest {
    /// Returns the refusal of a request that has no replica to go to.
    ///
    /// If the request has not run and all replicas back off or have used up
    /// their rate limits, the caller is told when one will accept it.
    /// Otherwise returns `last`, the refusal by its last attempt.
    pub fn refuse_without_replica(&self, last: Refusal) -> Refusal {
        if last.verdict != Verdict::NotRun {
            return last;
        }
        let now = self.now();
        let queued = self.gateway.fleet().enqueue(now, &self.service);
        let Some((shortage, wait_ms)) = queued else { return last };
        let text = "the replicas take no more for now";
        let refusal = Refusal::retryable(text, wait_ms);
        let cause = Some(Box::new(Cause::Shortage(shortage)));
        Refusal { cause, ..refusal }
    }

    /// Refuses a stream that would begin far too late at the best replica.
    ///
    /// If prompts arrive faster than the replicas can read them, the queues
    /// grow until every response is late and callers leave while their prompts
    /// are being read. Refusing the requests that would be late keeps the rest
    /// on time. More urgent requests may be predicted to wait longer, as
    /// replicas let them overtake. A stream that is resumed has been accepted
    /// before, and only some of the replicas can go on with it.
    pub fn check_predicted_wait(
        &self,
        target: &Target,
        tried: u32,
    ) -> Option<Refusal> {
        let is_resumed = self.version != StreamVersion::Any;
        if tried > 0 || is_resumed || !self.route.retry_policy.is_stream() {
            return None;
        }
        let target_ms = self.route.target_ms as f32;
        let factor = match self.priority() {
            0 => MAX_LATENCY_FACTORS[0],
            1 => MAX_LATENCY_FACTORS[1],
            _ => MAX_LATENCY_FACTORS[2],
        };
        let limit_ms = target_ms * factor;
        (target.predicted_ms > limit_ms).then(|| {
            let wait_ms = (target.predicted_ms - target_ms / 2.0) as u64;
            let text = "the replicas have too much to read";
            let cause = Cause::Load {
                replica: target.replica.clone(),
                foretold_ms: target.predicted_ms as u64,
                limit_ms: limit_ms as u64,
            };
            let cause = Some(Box::new(cause));
            Refusal { cause, ..Refusal::retryable(text, wait_ms) }
        })
    }
}
