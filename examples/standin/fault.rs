//! Faults that can be injected into a stand-in.

use std::sync::Mutex;

use serde::Deserialize;

/// A fault, which applies from the moment it is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault", content = "at")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Runs each request, then never answers.
    Silent,
    /// Stops sending at this piece of each answer; the connection stays open.
    SilentAt(u64),
    /// Closes the connection at this piece of each answer.
    CutAt(u64),
    /// Exits the process at this piece, or when running a plain call.
    DieAt(u64),
    /// Answers that the request did not run.
    Refuse,
    /// Sends each piece twice and out of order.
    Shuffle,
    /// Takes this many times as long to answer.
    Slow(u64),
}

/// The fault in force.
#[derive(Debug, Default)]
pub struct Faults(Mutex<Fault>);

impl Faults {
    /// Returns the fault in force.
    pub fn get(&self) -> Fault {
        *self.0.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Replaces the fault in force.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().unwrap_or_else(|held| held.into_inner()) = fault;
    }
}
