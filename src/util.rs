//! Small helpers that several parts share.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::{SystemTime, UNIX_EPOCH},
};

/// Gives a type the derives that nearly every type here has.
///
/// With `copy` in front the type is `Copy` as well.
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

/// The wall clock, in milliseconds since 1970.
///
/// Only for retention and for logs; leases use the timer's clock, which never
/// jumps.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|time| time.as_millis() as u64).unwrap_or(0)
}

/// A random number that is not zero, for incarnations and request ids.
pub fn random_id() -> u64 {
    rand::random::<u64>() | 1
}

/// Where `key` stands in a vector sorted by `by`, or where it would go.
pub fn position<T, K: Ord + ?Sized>(
    sorted: &[T],
    key: &K,
    by: impl Fn(&T) -> &K,
) -> Result<usize, usize> {
    sorted.binary_search_by(|item| by(item).cmp(key))
}

/// Puts `item` into a vector sorted by `by`, in place of its equal.
///
/// Returns what it replaced.
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

/// A number for a name, the same in every process of one version.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Spreads the bits of a number over all of it (the last steps of SplitMix).
pub fn mix(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
