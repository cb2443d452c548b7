//! What the parts of a replica's cost are worth.

use crate::decide::prefix::{BLOCK_TOKENS, BLOCKS_PER_REPLICA};

/// What the parts of the cost are worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Milliseconds to compute one token of a prompt, at first.
    ///
    /// A pool learns it from the requests that it sends.
    pub token_ms: f32,
    /// What recomputing is worth beyond the time that it takes, as a factor.
    pub recompute: f32,
    /// Milliseconds that a request holds its slot, at first; learned.
    ///
    /// One for the whole pool: a replica that happens to have had short
    /// requests would else draw more than its part.
    pub hold_ms: f32,
    /// Milliseconds that each running request adds to the next one's.
    pub batch_ms: f32,
    /// Milliseconds that a reclaimable VM costs more.
    pub reclaim_ms: f32,
    /// Milliseconds for each thousandth of a cent an hour.
    pub price_ms: f32,
    /// Milliseconds for another data centre.
    pub distance_ms: f32,
    /// Costs that differ by less count as equal.
    pub tolerance_ms: f32,
    /// How much of a prompt that nobody is known to hold its home is assumed
    /// to hold, from 0 to 1.
    pub home: f32,
    /// Tokens of prompt in a block.
    pub block_tokens: u32,
    /// Blocks remembered for one replica.
    pub blocks: u32,
    /// Milliseconds that a replica costs more that fails all its requests.
    pub failing_ms: f32,
    /// Milliseconds to fetch one token of a cached prompt from another
    /// replica; `None` where replicas can't.
    pub fetch_ms: Option<f32>,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            token_ms: 0.2,
            recompute: 1.0,
            hold_ms: 2000.0,
            batch_ms: 10.0,
            reclaim_ms: 2.0,
            price_ms: 0.0,
            distance_ms: 1.0,
            tolerance_ms: 5.0,
            home: 0.5,
            block_tokens: BLOCK_TOKENS,
            blocks: BLOCKS_PER_REPLICA,
            failing_ms: 3000.0,
            fetch_ms: None,
        }
    }
}

/// Tokens that are not worth a fetch: it takes some milliseconds by itself.
pub(super) const LEAST_FETCH: u32 = 1024;
