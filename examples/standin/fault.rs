//! Faults that a stand-in can be told to have.

use std::sync::Mutex;

use serde::Deserialize;

/// What goes wrong, from the moment it is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault", content = "at")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Runs each request, then says nothing more.
    Silent,
    /// Goes silent at this piece of each answer, connection open.
    SilentAt(u64),
    /// Breaks the connection at this piece of each answer.
    CutAt(u64),
    /// Ends the process at this piece, or on running a plain call.
    DieAt(u64),
    /// Says that it did not run the request.
    Refuse,
    /// Sends pieces doubled and out of order.
    Shuffle,
    /// Takes this many times as long.
    Slow(u64),
}

/// The fault in force.
#[derive(Debug, Default)]
pub struct Faults(Mutex<Fault>);

impl Faults {
    /// The fault in force.
    pub fn get(&self) -> Fault {
        *self.0.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Puts another one in force.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().unwrap_or_else(|held| held.into_inner()) = fault;
    }
}
