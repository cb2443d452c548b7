//! Prompts that come in parts, as blocks of the router's index.
//!
//! A caller names the parts of its prompt in order, with their tokens. Requests
//! share parts; so what stands for a part covers all before it too.

use crate::wire::Cached;

/// Prompt tokens in a block of the router's index. Coarse: prompts here come
/// in parts of hundreds to thousands of tokens.
pub const BLOCK_TOKENS: u32 = 512;

/// The blocks of a prompt that comes in parts.
///
/// Each block's hash covers all parts up to its own, so two prompts share a
/// block exactly when they share everything before it too.
pub fn blocks_of(parts: &[(u64, u32)]) -> Vec<u64> {
    paths_of(parts)
        .flat_map(|(path, tokens)| {
            (0..blocks_in(tokens)).map(move |at| block(path, at))
        })
        .collect()
}

/// Tokens up to the end of each of the blocks that [`blocks_of`] gives.
pub fn ends_of(parts: &[(u64, u32)]) -> Vec<u32> {
    let mut ends = Vec::new();
    let mut before = 0;
    for &(_, tokens) in parts {
        let count = blocks_in(tokens);
        let within = (1..=count).map(|at| (at * BLOCK_TOKENS).min(tokens));
        ends.extend(within.map(|end| before + end));
        before += tokens;
        if let Some(last) = ends.last_mut() {
            *last = before;
        }
    }
    ends
}

pub(super) fn blocks_of_part(cached: &Cached) -> Vec<u64> {
    (0..cached.blocks).map(|at| block(cached.path, at)).collect()
}

/// What stands for each part and all before it, with the part's tokens.
pub(super) fn paths_of(
    parts: &[(u64, u32)],
) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(0u64, |path, &(part, tokens)| {
        let mixed = path.rotate_left(17) ^ part;
        *path = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Some((*path, tokens))
    })
}

pub(super) fn blocks_in(tokens: u32) -> u32 {
    ((tokens + BLOCK_TOKENS / 2) / BLOCK_TOKENS).max(1)
}

fn block(path: u64, at: u32) -> u64 {
    let mixed = (path ^ u64::from(at)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 29)
}
