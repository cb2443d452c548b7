//! Answers of the gateway's own: refusals and failures.
//!
//! Each goes out at the moment of the decision. One that says that the
//! request did not run also says when it is worth coming back.

use http::{HeaderValue, Response, StatusCode, header};

use super::server::{Body, full};
use crate::{util::common, verdict::Verdict};

/// The shortest wait that a client is told, in ms; less would be at once.
const LEAST_WAIT_MS: u64 = 50;

common! {
    /// A request that is not answered by a replica.
    pub struct Refusal {
        /// The HTTP status.
        pub status: StatusCode,
        /// Whether it may have run.
        pub verdict: Verdict,
        /// Why, for the client and the log.
        pub text: &'static str,
        /// When to come back, in ms.
        pub retry_after_ms: Option<u64>,
        /// The connection can't be used any more.
        pub close: bool,
    }
}

impl Refusal {
    /// A request that is wrong whenever it comes.
    pub fn wrong(status: StatusCode, text: &'static str) -> Refusal {
        let verdict = Verdict::NotRun;
        Refusal { status, verdict, text, retry_after_ms: None, close: false }
    }

    /// A request that breaks the rules of the protocol or its limits, after
    /// which the connection's bytes can't be trusted.
    pub fn broken(status: StatusCode, text: &'static str) -> Refusal {
        Refusal { close: true, ..Refusal::wrong(status, text) }
    }

    /// A request that did not run and may come back.
    pub fn later(text: &'static str, retry_after_ms: u64) -> Refusal {
        let retry_after_ms = Some(retry_after_ms.max(LEAST_WAIT_MS));
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal { retry_after_ms, ..Refusal::wrong(status, text) }
    }

    /// A team that has used up what it may.
    pub fn quota(retry_after_ms: u64) -> Refusal {
        let refusal = Refusal::later("the team's quota is used up", 0);
        Refusal {
            status: StatusCode::TOO_MANY_REQUESTS,
            retry_after_ms: Some(retry_after_ms.max(LEAST_WAIT_MS)),
            ..refusal
        }
    }

    /// A request that may have run without a whole answer.
    pub fn doubtful(text: &'static str) -> Refusal {
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            verdict: Verdict::MayHaveRun,
            text,
            retry_after_ms: None,
            close: false,
        }
    }

    /// A request whose time is up.
    pub fn late(verdict: Verdict) -> Refusal {
        let text = "no answer in time";
        match verdict {
            Verdict::NotRun => Refusal::later(text, LEAST_WAIT_MS),
            _ => Refusal {
                status: StatusCode::GATEWAY_TIMEOUT,
                ..Refusal::doubtful(text)
            },
        }
    }

    /// The HTTP answer.
    pub fn into_response(self) -> Response<Body> {
        let text = format!("{}: {}\n", self.verdict.as_str(), self.text);
        let mut response = Response::new(full(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        headers.insert(Verdict::HEADER, verdict);
        if let Some(wait) = self.retry_after_ms {
            let seconds = format!("{:.2}", wait as f64 / 1000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if self.close {
            let close = HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        response
    }
}
