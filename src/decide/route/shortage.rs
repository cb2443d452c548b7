//! Times at which refused callers return while no replica accepts a request.

use super::Pool;

/// Longest wait announced to callers beyond the time from which replicas accept
/// requests again, in ms. Few callers wait longer.
const MAX_QUEUE_WAIT_MS: u64 = 5000;
/// Longest time announced to callers until the first backoff ends, in ms. Later
/// than that, other replicas may have started.
const MAX_BACKOFF_WAIT_MS: u64 = 60_000;

/// Why no serving replica accepts a request, and when one will.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shortage {
    /// Number of replicas whose rate limit is used up.
    pub limited: usize,
    /// Number of brittle replicas that may have no room.
    pub full: usize,
    /// Lowest risk that one of these rejects a request, from 0 to 1; 0 if there
    /// are none.
    pub risk: f32,
    /// Highest risk that this entry may take now; 0 if there are none.
    pub max_risk: f32,
    /// Number of replicas that back off.
    pub backing_off: usize,
    /// When the first replica may accept a request: when the first backoff
    /// ends if all replicas back off, or when this entry may risk another
    /// rejection. 0 if a rate limit is used up.
    pub ends_at: u64,
    /// Requests a second, from all entries together, that the first replicas
    /// to accept requests accept.
    pub rate: f32,
}

impl Pool {
    /// Queues a caller for whom the rate limits and backoffs of the replicas
    /// leave no room now. Returns why, and the time until the caller's turn in
    /// ms; `None` if a serving replica has neither.
    ///
    /// Callers are told to return one after the other, at the rate that the
    /// replicas accept, from the time at which they accept requests again.
    pub fn enqueue(&mut self, now: u64) -> Option<(Shortage, u64)> {
        self.update_risks(now);
        let shortage = self.shortage(now)?;
        let own = shortage.rate / (self.peers + 1.0);
        let step_ms = (1000.0 / own.max(f32::MIN_POSITIVE)) as u64;
        let start = shortage.ends_at.clamp(now, now + MAX_BACKOFF_WAIT_MS);
        let end = self.queue_end.max(start).saturating_add(step_ms);
        self.queue_end = end.min(start.saturating_add(MAX_QUEUE_WAIT_MS));
        Some((shortage, self.queue_end - now))
    }

    fn shortage(&self, now: u64) -> Option<Shortage> {
        let mut shortage = Shortage::default();
        let mut first_end: Option<(u64, f32)> = None;
        shortage.risk = 1.0;
        let serving =
            self.replicas.iter().filter(|replica| replica.is_serving());
        for replica in serving {
            if !replica.is_backing_off(now) {
                let is_full = !replica.fits();
                let hold_ms = self.weights.hold_ms.max(1.0);
                shortage.rate += match (&replica.bucket, &replica.brittle) {
                    (Some(bucket), _) => bucket.limit(),
                    (None, Some(brittle)) if is_full => {
                        shortage.risk = shortage.risk.min(brittle.risk());
                        // It runs at least the requests that are known.
                        let room = self.estimate(replica).max(1.0);
                        1000.0 * room / hold_ms
                    }
                    (None, _) => return None,
                };
                shortage.limited += usize::from(!is_full);
                shortage.full += usize::from(is_full);
                continue;
            }
            shortage.backing_off += 1;
            let end = replica.backoff_until;
            if first_end.is_none_or(|(first, _)| end < first) {
                let slots = replica.identity.slots.max(1) as f32;
                let rate = 1000.0 * slots / self.weights.hold_ms.max(1.0);
                first_end = Some((end, rate));
            }
        }
        if shortage.limited + shortage.full == 0 {
            (shortage.ends_at, shortage.rate) = first_end?;
        }
        match &self.budget {
            Some(budget) if shortage.full > 0 => {
                shortage.max_risk = budget.max_risk();
                if shortage.limited == 0 {
                    let wait_ms = budget.wait_ms(shortage.risk);
                    shortage.ends_at = now.saturating_add(wait_ms);
                }
            }
            _ => shortage.risk = 0.0,
        }
        Some(shortage)
    }
}
