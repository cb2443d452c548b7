//! Answers of the gateway's own: refusals and failures.
//!
//! Each goes out at the moment of the decision. One that says that the
//! request did not run also says when it is worth coming back.

use http::{HeaderValue, Response, StatusCode, header};
use tokio::time::Instant;
use tracing::info;

use super::{
    fleet::Queue,
    server::{Body, full},
};
use crate::{
    decide::{quarantine::Reason, quota::Shortage},
    fingerprint,
    metrics::{Metrics, Outcome},
    util::common,
    verdict::Verdict,
};

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
            /// This node has started and does not know what others use.
            joining: bool,
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
        /// The rates that replicas take.
        Limit(Queue),
        /// Replicas that ended while such a request was there.
        Crashes {
            /// What it asks for.
            fingerprint: u64,
            /// How many, and how long it is kept away for them.
            reason: Reason,
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

    /// Counts the refusal of a request and logs it, with what decided it.
    pub(super) fn note(
        &self,
        metrics: &Metrics,
        id: Option<&HeaderValue>,
        began: Instant,
    ) {
        let status = self.status.as_u16();
        let verdict = self.verdict.as_str();
        let outcome = Outcome { status, verdict };
        metrics.outcomes.get_or_create(&outcome).inc();
        let request = shown(id);
        let after_ms = began.elapsed().as_millis() as u64;
        let retry_after_ms = self.retry_after_ms.unwrap_or(0);
        let text = self.text;
        let route = self.route.as_str();
        match self.cause.as_deref() {
            None => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                "Refused: {text}."
            ),
            Some(Cause::Quota {
                team,
                cost,
                shortage,
                word_ms,
                heard,
                joining,
            }) => {
                info!(
                    target: "gateway",
                    request, route, status, verdict, after_ms, retry_after_ms,
                    team, cost,
                    bucket = shortage.level,
                    need = shortage.need,
                    unseen = shortage.unseen,
                    paced = shortage.paced,
                    word_ms, heard_percent = heard, joining,
                    "Refused: {text}."
                )
            }
            Some(Cause::Load { replica, foretold_ms, limit_ms }) => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                replica, foretold_ms, limit_ms,
                "Refused: {text}."
            ),
            Some(Cause::Limit(queue)) => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                replicas = queue.replicas,
                takes_per_s = queue.rate,
                "Refused: {text}."
            ),
            Some(Cause::Crashes { fingerprint, reason }) => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                fingerprint = fingerprint::shown(*fingerprint),
                crashes = reason.crashes,
                age_ms = reason.age_ms,
                "Refused: {text}."
            ),
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

/// A request's id, for the log.
pub(super) fn shown(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}
