//! Prefix index: which replicas probably have which prompt prefixes cached.
//!
//! A prompt is divided into blocks. The hash of a block covers all blocks
//! before it, so two prompts share a hash exactly when they share that whole
//! prefix. [`Index`] records which replicas were recently sent a block. The
//! record is approximate: engines evict blocks, and their cache events arrive
//! late and incompletely. A wrong entry costs recomputed tokens and never
//! leads to a wrong answer.
//!
//! The index consists of shards, each of which is a sorted vector. A single
//! large vector would spend most of its time moving the elements behind every
//! insertion.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = 64;
/// Bytes of prompt in a block, at about four bytes a token.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks recorded for one replica.
///
/// When a replica exceeds it, the older half of its blocks is evicted.
pub const MAX_BLOCKS_PER_REPLICA: u32 = 4096;

const SHARD_COUNT: usize = 256;

/// Returns the hashes of the complete blocks of a prompt. Each hash covers all
/// blocks up to its own.
pub fn hash_blocks(prompt: &[u8]) -> Vec<u64> {
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
    last_inserted: u32,
}

/// Blocks and the replicas that hold them.
#[derive(Debug)]
pub struct Index {
    shards: Vec<Vec<Holding>>,
    /// By replica number: the number of blocks held, and a counter of
    /// insertions, which serves as a clock.
    counts: Vec<(u32, u32)>,
    /// Maximum number of blocks recorded for one replica.
    max_blocks_per_replica: u32,
}

impl Default for Index {
    fn default() -> Index {
        Index::open(MAX_BLOCKS_PER_REPLICA)
    }
}

fn shard_of(block: u64) -> usize {
    (block >> 56) as usize
}

impl Index {
    /// Creates an empty index that records up to `limit` blocks for each
    /// replica.
    pub fn open(limit: u32) -> Index {
        Index {
            shards: vec![Vec::new(); SHARD_COUNT],
            counts: Vec::new(),
            max_blocks_per_replica: limit,
        }
    }

    /// Records that a replica was sent these blocks.
    pub fn insert(&mut self, replica: u32, blocks: &[u64]) {
        let at = replica as usize;
        if self.counts.len() <= at {
            self.counts.resize(at + 1, (0, 0));
        }
        self.counts[at].1 += 1;
        let last_inserted = self.counts[at].1;
        for &block in blocks {
            let shard = &mut self.shards[shard_of(block)];
            let found = shard
                .binary_search_by_key(&(block, replica), |holding| {
                    (holding.block, holding.replica)
                });
            match found {
                Ok(at) => shard[at].last_inserted = last_inserted,
                Err(insert_at) => {
                    shard.insert(
                        insert_at,
                        Holding { block, replica, last_inserted },
                    );
                    self.counts[at].0 += 1;
                }
            }
        }
        if self.counts[at].0 > self.max_blocks_per_replica {
            self.evict_older_half(replica);
        }
    }

    /// Records that a replica no longer holds these blocks.
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

    /// Removes all blocks of a replica, for example when it restarts.
    pub fn clear(&mut self, replica: u32) {
        self.retain(replica, |_| false);
    }

    /// Calls `found` with each holder of a prefix and the number of blocks
    /// that it holds.
    ///
    /// Starts at the longest prefix and stops after `limit` holders, so the
    /// holders that save the most computation come first.
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

    /// Returns the number of recorded blocks, summed over all replicas.
    pub fn len(&self) -> usize {
        self.shards.iter().map(Vec::len).sum()
    }

    /// Returns true if no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn evict_older_half(&mut self, replica: u32) {
        let mut insertions: Vec<u32> = self
            .shards
            .iter()
            .flatten()
            .filter(|holding| holding.replica == replica)
            .map(|holding| holding.last_inserted)
            .collect();
        insertions.sort_unstable();
        let median = insertions[insertions.len() / 2];
        self.retain(replica, |inserted| inserted > median);
    }

    fn retain(&mut self, replica: u32, keep: impl Fn(u32) -> bool) {
        let mut kept_count = 0;
        for shard in &mut self.shards {
            shard.retain(|holding| {
                if holding.replica != replica {
                    return true;
                }
                let kept = keep(holding.last_inserted);
                kept_count += u32::from(kept);
                kept
            });
        }
        if let Some(count) = self.counts.get_mut(replica as usize) {
            count.0 = kept_count;
        }
    }
}
