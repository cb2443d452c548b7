//! Answers of the gateway's own: refusals and failures.
//!
//! Each goes out at the moment of the decision. One that says that the
//! request did not run also says when it is worth coming back.

use http::{HeaderValue, Response, StatusCode, header};

use super::server::{Body, full};
use crate::{decide::quota::Shortage, util::common, verdict::Verdict};

/// The shortest wait that a client is told, in ms; less would be at once.
const LEAST_WAIT_MS: u64 = 50;

common! {
    /// What a refusal was decided by, for the log.
    pub enum Cause {
        /// A quota that is used up.
        Quota {
            /// Whose.
            team: String,
            /// What the request counts for.
            cost: u64,
            /// What is missing.
            shortage: Shortage,
            /// How old word of other entries is on average, in ms.
            word_ms: u64,
            /// The part of the entries that is heard, in hundredths.
            heard: u64,
        },
        /// Replicas that have too much to do.
        Load {
            /// The best of them.
            replica: String,
            /// When it would begin to answer, in ms.
            foretold_ms: u64,
            /// When it would have to, in ms.
            limit_ms: u64,
        },
    }
}

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
        /// What decided it, where the text does not say it all.
        pub cause: Option<Box<Cause>>,
        /// The route, once it is known.
        pub route: String,
    }
}

impl Refusal {
    /// A request that is wrong whenever it comes.
    pub fn wrong(status: StatusCode, text: &'static str) -> Refusal {
        Refusal {
            status,
            verdict: Verdict::NotRun,
            text,
            retry_after_ms: None,
            close: false,
            cause: None,
            route: String::new(),
        }
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
    pub fn quota(retry_after_ms: u64, cause: Cause) -> Refusal {
        let text = "the team's quota is used up";
        let refusal = Refusal::later(text, retry_after_ms);
        let status = StatusCode::TOO_MANY_REQUESTS;
        let cause = Some(Box::new(cause));
        Refusal { status, cause, ..refusal }
    }

    /// A request that may have run without a whole answer.
    pub fn doubtful(text: &'static str) -> Refusal {
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            verdict: Verdict::MayHaveRun,
            text,
            retry_after_ms: None,
            close: false,
            cause: None,
            route: String::new(),
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
