//! Weights of the parts of a replica's cost.

use crate::decide::prefix::{BLOCK_TOKENS, MAX_BLOCKS_PER_REPLICA};

/// Weights of the parts of a replica's cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Initial time to compute one prompt token, in ms.
    ///
    /// A pool adjusts it by the requests that it sends.
    pub token_ms: f32,
    /// Factor on the time to recompute prompt tokens that are not cached.
    pub recompute_factor: f32,
    /// Initial time that a request holds its slot, in ms; adjusted by the
    /// requests that a pool sends.
    ///
    /// All replicas of a pool share one value. With a value for each, a
    /// replica that happened to have had short requests would draw more than
    /// its share.
    pub hold_ms: f32,
    /// Time that each running request adds to the next one, in ms.
    pub batch_ms: f32,
    /// Extra cost of a replica on a reclaimable VM, in ms.
    pub reclaim_ms: f32,
    /// Cost of each thousandth of a cent an hour of price, in ms.
    pub price_ms: f32,
    /// Extra cost of a replica in another data centre, in ms.
    pub distance_ms: f32,
    /// Difference up to which costs count as equal, in ms.
    pub tolerance_ms: f32,
    /// Share of a prompt that its home replica is assumed to hold when no
    /// replica is known to hold at least half of it, from 0 to 1.
    pub home_share: f32,
    /// Prompt tokens in a block.
    pub block_tokens: u32,
    /// Maximum number of blocks that the prefix index remembers for one
    /// replica.
    pub max_blocks_per_replica: u32,
    /// Extra cost of a replica that fails all its requests, in ms.
    pub failure_ms: f32,
    /// Time to fetch one token of a cached prompt from another replica, in ms;
    /// `None` if replicas cannot fetch from each other.
    pub fetch_token_ms: Option<f32>,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            token_ms: 0.2,
            recompute_factor: 1.0,
            hold_ms: 2000.0,
            batch_ms: 10.0,
            reclaim_ms: 2.0,
            price_ms: 0.0,
            distance_ms: 1.0,
            tolerance_ms: 5.0,
            home_share: 0.5,
            block_tokens: BLOCK_TOKENS,
            max_blocks_per_replica: MAX_BLOCKS_PER_REPLICA,
            failure_ms: 3000.0,
            fetch_token_ms: None,
        }
    }
}

/// Minimum number of prompt tokens that are worth a fetch: each fetch takes
/// some milliseconds, whatever its size.
pub(super) const MIN_FETCH_TOKENS: u32 = 1024;
