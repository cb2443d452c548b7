//! Whether a stream moves away from an endpoint that is leaving.
//!
//! Moving costs: the new endpoint computes the prompt and the answer so far
//! again, unless the old one's KV cache can be imported in time. Staying is
//! free, if the stream ends before the endpoint does.

use crate::util::common;

/// What must be left over when a stream stays, as a factor.
const MARGIN: f32 = 1.5;
/// Time kept for opening a stream elsewhere with the cache imported, in ms.
const MOVE_MS: u64 = 500;

common! {
    copy
    /// How far a stream has come.
    pub struct Stream {
        /// Pieces that it has given.
        pub pieces: u64,
        /// Pieces that it may give at most.
        pub most: u64,
        /// Since its first piece, in ms.
        pub streaming_ms: u64,
    }
}

/// True when the stream should move now.
///
/// `left_ms` is how long the endpoint goes on.
pub fn should_move(stream: Stream, left_ms: u64) -> bool {
    if left_ms <= MOVE_MS || stream.pieces == 0 {
        // Nothing has been computed that would be lost, or no time is left
        // to find out.
        return true;
    }
    let each = stream.streaming_ms as f32 / stream.pieces as f32;
    let to_come = stream.most.saturating_sub(stream.pieces) as f32;
    to_come * each * MARGIN > (left_ms - MOVE_MS) as f32
}
