//! Faults that can be injected into a stand-in.

use std::sync::Mutex;

use azuremount::{http_server::Response, verdict::Verdict};
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;

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
    /// Answers that the request did not run, and requests a backoff of this
    /// many seconds.
    BackOff(u64),
    /// Sends each piece twice and out of order.
    Shuffle,
    /// Takes this many times as long to answer.
    Slow(u64),
}

impl Fault {
    /// Returns the answer to a request that this fault keeps from running.
    pub fn rejection(self) -> Option<Response> {
        let backoff_s = match self {
            Fault::Refuse => None,
            Fault::BackOff(seconds) => Some(seconds),
            _ => return None,
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut response = Response::json(status, &json!({}));
        response.set(Verdict::HEADER, Verdict::NotRun.as_str());
        if let Some(seconds) = backoff_s {
            response.set("retry-after", &seconds.to_string());
        }
        Some(response)
    }
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
