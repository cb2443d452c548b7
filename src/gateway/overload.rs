//! Requests that are refused as the replicas can't take them now.

use super::{
    fleet::Target,
    forward::Work,
    refusal::{Cause, Refusal},
};

/// Times a route's target that a first token may be foretold to take, for the
/// three highest ranks. Late answers are worth a tenth, so waiting for twice
/// the target pays only where nobody else is kept waiting.
const LATE_TARGETS: [f32; 3] = [2.5, 2.0, 1.5];

impl Work {
    /// Refuses a request while all replicas have had the rate they take.
    pub fn limited(&self) -> Option<Refusal> {
        let now = self.now();
        let queue = self.gateway.fleet().queue(now, &self.service)?;
        let text = "the replicas take no more for now";
        let refusal = Refusal::later(text, queue.wait_ms);
        let cause = Some(Box::new(Cause::Limit(queue)));
        Some(Refusal { cause, ..refusal })
    }

    /// Refuses a stream that would begin far too late at the best replica.
    ///
    /// When more comes than can be read, those that wait all wait longer
    /// still, until every answer is late and clients leave with their
    /// prompts half read. Refusing at once what would be late keeps the
    /// others on time; the more urgent a request, the longer it may wait,
    /// as replicas let it overtake.
    pub fn overload(&self, target: &Target, tried: u32) -> Option<Refusal> {
        if tried > 0 || !self.route.repeat.is_stream() {
            return None;
        }
        let target_ms = self.route.target_ms as f32;
        let patience = match self.priority() {
            0 => LATE_TARGETS[0],
            1 => LATE_TARGETS[1],
            _ => LATE_TARGETS[2],
        };
        let limit_ms = target_ms * patience;
        (target.predicted_ms > limit_ms).then(|| {
            let wait = (target.predicted_ms - target_ms / 2.0) as u64;
            let text = "the replicas have too much to read";
            let cause = Cause::Load {
                replica: target.replica.clone(),
                foretold_ms: target.predicted_ms as u64,
                limit_ms: limit_ms as u64,
            };
            let cause = Some(Box::new(cause));
            Refusal { cause, ..Refusal::later(text, wait) }
        })
    }
}
