//! Answers other than success: a verdict, when to come back, where to go.

use http::StatusCode;
use serde_json::json;

use super::state::State;
use crate::{http_server::Response, metrics::Outcome, verdict::Verdict};

/// A final answer that is not the one hoped for. Goes out at once.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// One sentence for people.
    pub text: String,
    /// When to come back, if that makes sense at all.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A request that is wrong in itself; it was not run.
    pub fn bad(status: StatusCode, text: impl Into<String>) -> Refusal {
        Refusal {
            status,
            verdict: Verdict::NotRun,
            text: text.into(),
            retry_after_ms: None,
        }
    }

    /// Not now: it was not run, and may be sent again.
    pub fn later(text: impl Into<String>, after_ms: u64) -> Refusal {
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            text: text.into(),
            retry_after_ms: Some(after_ms),
        }
    }

    /// It was sent, and what became of it is unknown.
    pub fn doubtful(text: impl Into<String>) -> Refusal {
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            verdict: Verdict::MayHaveRun,
            text: text.into(),
            retry_after_ms: None,
        }
    }

    /// The answer, with the addresses of other entries where they may help.
    pub fn respond(&self, state: &State) -> Response {
        let entries: Vec<String> = match self.retry_after_ms {
            Some(_) => other_entries(state),
            None => Vec::new(),
        };
        let outcome = Outcome {
            status: self.status.as_u16(),
            verdict: self.verdict.as_str(),
        };
        state.metrics.outcomes.get_or_create(&outcome).inc();
        let mut body = json!({
            "error": self.text,
            "verdict": self.verdict.as_str(),
        });
        if let Some(after) = self.retry_after_ms {
            body["retry_after_ms"] = json!(after);
            body["entries"] = json!(entries);
        }
        let mut response = Response::json(self.status, &body);
        response.set(Verdict::HEADER, self.verdict.as_str());
        if let Some(after) = self.retry_after_ms {
            // The header counts whole seconds; the body is exact.
            let seconds = after.div_ceil(1000);
            response.set("retry-after", &seconds.to_string());
        }
        response
    }
}

/// Addresses of other entries that take requests, near ones first.
pub fn other_entries(state: &State) -> Vec<String> {
    let entries = state.board.entries.read();
    let mut others: Vec<_> = entries
        .iter()
        .filter(|entry| entry.serving && entry.id != state.info.id)
        .collect();
    let near = &state.info.data_centre;
    others.sort_by_key(|entry| entry.data_centre != *near);
    others.iter().map(|entry| entry.address.clone()).collect()
}
