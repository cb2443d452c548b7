//! Refusals: answers other than success. A refusal carries a verdict and, if a
//! retry is worthwhile, a delay and the addresses of other entries.

use http::StatusCode;
use serde_json::json;

use super::state::State;
use crate::{http_server::Response, metrics::Outcome, verdict::Verdict};

/// Final answer to a request that did not succeed. It is sent at once.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable sentence.
    pub text: String,
    /// Delay before a retry, in ms, or `None` if a retry is not worthwhile.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that is invalid in itself and was not run.
    pub fn invalid(status: StatusCode, text: impl Into<String>) -> Refusal {
        Refusal {
            status,
            verdict: Verdict::NotRun,
            text: text.into(),
            retry_after_ms: None,
        }
    }

    /// Refuses a request that was not run and may be retried after `after_ms`.
    pub fn retryable(text: impl Into<String>, after_ms: u64) -> Refusal {
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            text: text.into(),
            retry_after_ms: Some(after_ms),
        }
    }

    /// Refuses a request that was sent and whose result is unknown.
    pub fn may_have_run(text: impl Into<String>) -> Refusal {
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            verdict: Verdict::MayHaveRun,
            text: text.into(),
            retry_after_ms: None,
        }
    }

    /// Returns the HTTP response, and counts the outcome in the metrics.
    ///
    /// The response lists the addresses of other entries if a retry is
    /// worthwhile.
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
        if let Some(after_ms) = self.retry_after_ms {
            body["retry_after_ms"] = json!(after_ms);
            body["entries"] = json!(entries);
        }
        let mut response = Response::json(self.status, &body);
        response.set(Verdict::HEADER, self.verdict.as_str());
        if let Some(after_ms) = self.retry_after_ms {
            // The header is in whole seconds, the body in ms.
            let seconds = after_ms.div_ceil(1000);
            response.set("retry-after", &seconds.to_string());
        }
        response
    }
}

/// Returns the addresses of the other serving entries, those in the same data
/// centre first.
pub fn other_entries(state: &State) -> Vec<String> {
    let entries = state.board.entries.read();
    let mut others: Vec<_> = entries
        .iter()
        .filter(|entry| entry.serving && entry.id != state.info.id)
        .collect();
    let local_data_centre = &state.info.data_centre;
    others.sort_by_key(|entry| entry.data_centre != *local_data_centre);
    others.iter().map(|entry| entry.address.clone()).collect()
}
