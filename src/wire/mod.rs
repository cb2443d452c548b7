//! The messages between azuremount's processes, and the records on disk.
//!
//! `cargo run -p xtask` generates the module [`generated`] from
//! `proto/azuremount.proto`; the output is committed. These types are for
//! input and output. Modules that make decisions convert them to their own
//! types, and use a generated type only to store it unchanged.

#[allow(missing_docs, clippy::all, rustdoc::all)]
#[rustfmt::skip]
pub mod generated;

pub use generated::*;

impl Change {
    /// Creates a change without a time; the leader sets the time when it
    /// appends the change.
    pub fn new(kind: change::Kind) -> Change {
        Change { at_ms: 0, kind: Some(kind) }
    }
}

impl Endpoint {
    /// Returns the id and the incarnation; the pair is never reused.
    pub fn identity(&self) -> (&str, u64) {
        (&self.id, self.incarnation)
    }
}

impl RolloutRecord {
    /// Returns true until the roll-out is completed or reverted.
    pub fn is_running(&self) -> bool {
        self.state == 0
    }

    /// Returns true once the new version has all traffic.
    pub fn is_completed(&self) -> bool {
        self.state == 1
    }

    /// Returns the state by its name in operators' calls.
    pub fn state_name(&self) -> &'static str {
        match self.state {
            0 => "running",
            1 => "completed",
            _ => "reverted",
        }
    }
}

impl RolloutState {
    /// Returns the newest roll-out of a service.
    pub fn newest(&self, service: &str) -> Option<&RolloutRecord> {
        let mut records = self.records.iter().rev();
        records.find(|record| record.service == service)
    }
}
