//! Decides whether a stream moves away from an endpoint that is leaving.
//!
//! Moving a stream costs time: the new endpoint recomputes the prompt and the
//! answer so far, unless it can import the KV cache of the old endpoint in
//! time. Staying costs nothing if the stream ends before the endpoint stops.

use crate::util::common;

/// Factor by which the predicted rest of a stream that stays must fit into the
/// time left.
const STAY_MARGIN: f32 = 1.5;
/// Time reserved for opening the stream at another endpoint with the KV cache
/// imported, in ms.
const MOVE_RESERVE_MS: u64 = 500;

common! {
    copy
    /// Progress of a stream.
    pub struct Stream {
        /// Pieces that the stream has delivered.
        pub pieces: u64,
        /// Maximum number of pieces that the stream may deliver.
        pub max_pieces: u64,
        /// Time since the first piece, in ms.
        pub streaming_ms: u64,
    }
}

/// Returns true if the stream should move now.
///
/// `left_ms` is the time until the endpoint stops, in ms.
pub fn should_move(stream: Stream, left_ms: u64) -> bool {
    if left_ms <= MOVE_RESERVE_MS || stream.pieces == 0 {
        // Either no computed result would be lost, or too little time is left
        // to wait for the end of the stream.
        return true;
    }
    let piece_ms = stream.streaming_ms as f32 / stream.pieces as f32;
    let remaining_pieces =
        stream.max_pieces.saturating_sub(stream.pieces) as f32;
    remaining_pieces * piece_ms * STAY_MARGIN
        > (left_ms - MOVE_RESERVE_MS) as f32
}
