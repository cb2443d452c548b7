//! Pacing: limits what one node admits while reports from other nodes arrive
//! too late.

use super::Allowance;

/// Time after a refusal for which a node paces itself, in ms: longer than the
/// bucket takes to recover from the overdraft of the first second of a flood.
pub(super) const PACING_MS: u64 = 5000;
/// Period over which a node's share of a team's use is averaged, in ms: long
/// enough for some requests at each of seventy nodes.
const SHARE_AVERAGING_MS: f64 = 5000.0;
/// Factor by which a paced node may exceed its share: the bucket itself bounds
/// the sum, and shares move between nodes.
const PACING_FACTOR: f64 = 1.25;
/// Maximum of unused units, in ms at the paced rate.
const PACING_BURST_MS: f64 = 300.0;

/// Pacing state of one node for one team.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Time until which the node paces itself, in ms.
    pub until: u64,
    /// Units that may be admitted now.
    available: f64,
    /// Units admitted by this node since the last update of the averages.
    admitted: f64,
    /// Mean rates of use by this node and by the other nodes, in units per ms.
    own_rate: f64,
    peers_rate: f64,
    /// Whether the use by other nodes is still unknown.
    pub is_joining: bool,
}

impl Pace {
    /// Creates the state for a node that does not know the use by other nodes.
    pub fn join(allowance: Allowance) -> Pace {
        let pace = Pace { is_joining: true, ..Pace::default() };
        Pace { available: pace.rate(allowance) * PACING_BURST_MS, ..pace }
    }

    /// Returns the mean rate that this node has admitted, in units per ms.
    pub fn own_rate(&self) -> f64 {
        self.own_rate
    }

    /// Sets the rate of use by other nodes, in units per ms, and the time in
    /// ms until which all nodes are paced.
    pub fn learn(&mut self, peers_rate: f64, until: u64) {
        self.peers_rate = peers_rate;
        self.until = self.until.max(until);
        self.is_joining = false;
    }

    /// Updates the averages and the available units after `elapsed_ms`, in
    /// which other nodes used `peers_used` units.
    pub fn advance(
        &mut self,
        elapsed_ms: f64,
        peers_used: f64,
        allowance: Allowance,
    ) {
        let weight = 1.0 - (-elapsed_ms / SHARE_AVERAGING_MS).exp();
        let own_rate = std::mem::take(&mut self.admitted) / elapsed_ms;
        self.own_rate += (own_rate - self.own_rate) * weight;
        let peers_rate = peers_used / elapsed_ms;
        self.peers_rate += (peers_rate - self.peers_rate) * weight;
        let rate = self.rate(allowance);
        let capacity = rate * PACING_BURST_MS;
        self.available = (self.available + rate * elapsed_ms).min(capacity);
    }

    /// Returns the rate that this node may admit, in units per ms.
    pub fn rate(&self, allowance: Allowance) -> f64 {
        let total_rate = self.own_rate + self.peers_rate;
        // A node to which the requests of a team have just moved has no recent
        // share yet.
        let min_share = 1.0 / allowance.nodes.max(1) as f64;
        let share = match self.is_joining {
            true => 0.0,
            false if total_rate > 0.0 => self.own_rate / total_rate,
            false => 1.0,
        };
        share.max(min_share) * allowance.rate / 1000.0 * PACING_FACTOR
    }

    /// Checks a request of relative `size` 0 to 1, or returns the time in ms
    /// after which it can be retried.
    pub fn check(
        &self,
        now: u64,
        allowance: Allowance,
        units: f64,
        size: f64,
    ) -> Result<(), u64> {
        if now >= self.until && !self.is_joining {
            return Ok(());
        }
        let rate = self.rate(allowance);
        let need = units.min(rate * PACING_BURST_MS) * size;
        if self.available >= need {
            return Ok(());
        }
        let wait_ms = (need - self.available) / rate;
        Err((wait_ms as u64).clamp(1, PACING_MS))
    }

    /// Records an admitted request.
    pub fn take(&mut self, now: u64, units: f64) {
        if now < self.until || self.is_joining {
            self.available -= units;
        }
        self.admitted += units;
    }
}
