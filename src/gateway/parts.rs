//! Maps prompts that are made of parts to blocks of the router's index.
//!
//! A caller lists the parts of its prompt in order, with the tokens of each.
//! Requests may share leading parts, so the hash of a part also covers all
//! parts before it.

use crate::wire::Cached;

/// Prompt tokens in a block of the router's index. Blocks are coarse because
/// the parts of prompts have hundreds to thousands of tokens.
pub const BLOCK_TOKENS: u32 = 512;

/// Returns the blocks of a prompt that is made of parts.
///
/// Each block's hash covers all parts up to its own, so two prompts share a
/// block exactly when they also share everything before it.
pub fn prompt_blocks(parts: &[(u64, u32)]) -> Vec<u64> {
    path_hashes(parts)
        .flat_map(|(path, tokens)| {
            (0..block_count(tokens)).map(move |at| block(path, at))
        })
        .collect()
}

/// Returns the number of tokens up to the end of each block of
/// [`prompt_blocks`].
pub fn block_ends(parts: &[(u64, u32)]) -> Vec<u32> {
    let mut ends = Vec::new();
    let mut before = 0;
    for &(_, tokens) in parts {
        let count = block_count(tokens);
        let within = (1..=count).map(|at| (at * BLOCK_TOKENS).min(tokens));
        ends.extend(within.map(|end| before + end));
        before += tokens;
        if let Some(last) = ends.last_mut() {
            *last = before;
        }
    }
    ends
}

pub(super) fn cached_blocks(cached: &Cached) -> Vec<u64> {
    (0..cached.blocks).map(|at| block(cached.path, at)).collect()
}

/// Returns for each part a hash of it and all parts before it, with the part's
/// tokens.
pub(super) fn path_hashes(
    parts: &[(u64, u32)],
) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(0u64, |path, &(part, tokens)| {
        let mixed = path.rotate_left(17) ^ part;
        *path = mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Some((*path, tokens))
    })
}

pub(super) fn block_count(tokens: u32) -> u32 {
    ((tokens + BLOCK_TOKENS / 2) / BLOCK_TOKENS).max(1)
}

fn block(path: u64, at: u32) -> u64 {
    let mixed = (path ^ u64::from(at)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 29)
}
