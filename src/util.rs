//! Small helper functions that several modules share.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::{SystemTime, UNIX_EPOCH},
};

/// Adds the derives that nearly all types have.
///
/// Types after `copy` are also `Copy`, ordered and hashable.
macro_rules! common {
    (copy $($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $($item)*
    };
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
}
pub(crate) use common;

/// Returns the wall time, in ms since 1970.
///
/// Leases use the timer's clock instead, which never jumps.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|time| time.as_millis() as u64).unwrap_or(0)
}

/// Returns a random nonzero number, for incarnations and request ids.
pub fn random_id() -> u64 {
    rand::random::<u64>() | 1
}

/// Returns the index of `key` in a vector sorted by `by`, or the index at
/// which it would be inserted.
pub fn position<T, K: Ord + ?Sized>(
    sorted: &[T],
    key: &K,
    by: impl Fn(&T) -> &K,
) -> Result<usize, usize> {
    sorted.binary_search_by(|item| by(item).cmp(key))
}

/// Inserts `item` into a vector sorted by `by`, or replaces the item with the
/// same key. Returns the replaced item.
pub fn upsert<T, K: Ord + ?Sized>(
    sorted: &mut Vec<T>,
    item: T,
    by: impl Fn(&T) -> &K,
) -> Option<T> {
    match position(sorted, by(&item), &by) {
        Ok(at) => Some(std::mem::replace(&mut sorted[at], item)),
        Err(at) => {
            sorted.insert(at, item);
            None
        }
    }
}

/// Returns a hash of a name, equal in all processes of one version.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub fn mix(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
