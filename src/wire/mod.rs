//! The messages between azuremount's processes, and the records on disk.
//!
//! Everything in [`generated`] comes from `proto/azuremount.proto` by
//! `cargo run -p xtask` and is committed. These types stay at the
//! border: the parts behind it convert to their own where they decide
//! anything, and keep a generated type only where they store it unchanged.

#[allow(missing_docs, clippy::all, rustdoc::all)]
#[rustfmt::skip]
pub mod generated;

pub use generated::*;

impl Change {
    /// A change without a time; the leader sets that when it appends it.
    pub fn new(kind: change::Kind) -> Change {
        Change { at_ms: 0, kind: Some(kind) }
    }
}

impl Endpoint {
    /// Name and incarnation, which together are never used twice.
    pub fn identity(&self) -> (&str, u64) {
        (&self.id, self.incarnation)
    }
}
