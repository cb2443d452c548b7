//! Which replicas probably hold which prompt prefixes in their cache.
//!
//! A prompt is cut into blocks; each block's hash covers everything before it
//! too, so that two prompts share a hash exactly when they share that whole
//! prefix. [`Index`] remembers which replicas were sent a block lately. It is
//! a guess: engines evict, and their cache events come late and with gaps.
//! A wrong guess costs some recomputed tokens, never a wrong answer.
//!
//! The index is a row of shards, each a sorted vector; one big vector would
//! spend its time moving the tail at every insertion.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = 64;
/// Bytes of prompt in a block: about four a token.
pub const BLOCK_BYTES: usize = 256;
/// Blocks remembered for one replica.
///
/// Half of them are forgotten when it is full, the oldest ones.
pub const BLOCKS_PER_REPLICA: u32 = 4096;

const SHARDS: usize = 256;

/// The hashes of a prompt's whole blocks, each covering all before it.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Holding {
    block: u64,
    replica: u32,
    used: u32,
}

/// Blocks and their holders.
#[derive(Debug)]
pub struct Index {
    shards: Vec<Vec<Holding>>,
    /// By replica number: blocks held, and a clock of uses.
    counts: Vec<(u32, u32)>,
    /// Blocks remembered for one replica.
    limit: u32,
}

impl Default for Index {
    fn default() -> Index {
        Index::open(BLOCKS_PER_REPLICA)
    }
}

fn shard_of(block: u64) -> usize {
    (block >> 56) as usize
}

impl Index {
    /// Starts empty; remembers up to `limit` blocks for each replica.
    pub fn open(limit: u32) -> Index {
        Index { shards: vec![Vec::new(); SHARDS], counts: Vec::new(), limit }
    }

    /// Notes that a replica was sent these blocks.
    pub fn insert(&mut self, replica: u32, blocks: &[u64]) {
        let at = replica as usize;
        if self.counts.len() <= at {
            self.counts.resize(at + 1, (0, 0));
        }
        self.counts[at].1 += 1;
        let used = self.counts[at].1;
        for &block in blocks {
            let shard = &mut self.shards[shard_of(block)];
            let found = shard
                .binary_search_by_key(&(block, replica), |holding| {
                    (holding.block, holding.replica)
                });
            match found {
                Ok(at) => shard[at].used = used,
                Err(place) => {
                    shard.insert(place, Holding { block, replica, used });
                    self.counts[at].0 += 1;
                }
            }
        }
        if self.counts[at].0 > self.limit {
            self.forget_older_half(replica);
        }
    }

    /// Notes that a replica no longer holds these blocks.
    pub fn remove(&mut self, replica: u32, blocks: &[u64]) {
        for &block in blocks {
            let shard = &mut self.shards[shard_of(block)];
            let found = shard
                .binary_search_by_key(&(block, replica), |holding| {
                    (holding.block, holding.replica)
                });
            if let Ok(at) = found {
                shard.remove(at);
                self.counts[replica as usize].0 -= 1;
            }
        }
    }

    /// Forgets all that a replica held, as when it restarts.
    pub fn clear(&mut self, replica: u32) {
        self.retain(replica, |_| false);
    }

    /// Calls `found` with each holder and how many blocks it has.
    ///
    /// Walks from the longest prefix down and stops after `limit` holders:
    /// the first ones are those that save most.
    pub fn holders(
        &self,
        blocks: &[u64],
        limit: usize,
        mut found: impl FnMut(u32, u32),
    ) {
        let mut seen = [u32::MAX; 16];
        let limit = limit.min(seen.len());
        let mut count = 0;
        for (at, &block) in blocks.iter().enumerate().rev() {
            let shard = &self.shards[shard_of(block)];
            let start = shard.partition_point(|holding| holding.block < block);
            for holding in &shard[start..] {
                if holding.block != block || count == limit {
                    break;
                }
                if seen[..count].contains(&holding.replica) {
                    continue;
                }
                seen[count] = holding.replica;
                count += 1;
                found(holding.replica, at as u32 + 1);
            }
            if count == limit {
                return;
            }
        }
    }

    /// How many blocks are remembered in all.
    pub fn len(&self) -> usize {
        self.shards.iter().map(Vec::len).sum()
    }

    /// True when nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn forget_older_half(&mut self, replica: u32) {
        let mut uses: Vec<u32> = self
            .shards
            .iter()
            .flatten()
            .filter(|holding| holding.replica == replica)
            .map(|holding| holding.used)
            .collect();
        uses.sort_unstable();
        let middle = uses[uses.len() / 2];
        self.retain(replica, |used| used > middle);
    }

    fn retain(&mut self, replica: u32, keep: impl Fn(u32) -> bool) {
        let mut left = 0;
        for shard in &mut self.shards {
            shard.retain(|holding| {
                if holding.replica != replica {
                    return true;
                }
                let kept = keep(holding.used);
                left += u32::from(kept);
                kept
            });
        }
        if let Some(count) = self.counts.get_mut(replica as usize) {
            count.0 = left;
        }
    }
}
