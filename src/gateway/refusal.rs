//! Responses that the gateway makes itself: refusals and failures.
//!
//! Each is sent as soon as it is decided. A refusal that asks the caller to
//! retry also says when.

use http::{HeaderValue, Response, StatusCode, header};
use tokio::time::Instant;
use tracing::info;

use super::server::{Body, full};
use crate::{
    decide::{
        admission,
        quarantine::{PartReason, Reason},
        quota,
        route::Shortage,
    },
    fingerprint,
    metrics::{Metrics, Outcome},
    util::common,
    verdict::Verdict,
};

/// Shortest wait announced to a caller, in ms. A shorter one would mean an
/// immediate retry.
const MIN_RETRY_AFTER_MS: u64 = 50;

common! {
    /// Cause of a refusal, for the log.
    pub enum Cause {
        /// The team's quota is used up.
        Quota {
            /// Name of the team.
            team: String,
            /// Cost of the request.
            cost: u64,
            /// What the quota lacks for it.
            shortage: quota::Shortage,
            /// Average propagation delay of reports from other entries, in ms.
            word_ms: u64,
            /// Percentage of the entries that this node receives reports from.
            heard: u64,
            /// Whether this node has just started and does not know what other
            /// nodes use.
            joining: bool,
        },
        /// The replicas are overloaded.
        Load {
            /// Replica with the shortest prediction.
            replica: String,
            /// Predicted time to the first token, in ms.
            foretold_ms: u64,
            /// Longest predicted time that is admitted, in ms.
            limit_ms: u64,
        },
        /// The team has used up its share of the capacity, or the first token
        /// would come late.
        Admission {
            /// Name of the team; empty for a public route.
            team: String,
            /// Shares, demand and capacity.
            shortage: admission::Shortage,
        },
        /// The replicas back off or have used up their rate limits.
        Shortage(Shortage),
        /// The request is quarantined.
        Crashes {
            /// Fingerprint of the request.
            fingerprint: u64,
            /// Number of crashes, and how long the quarantine lasts.
            reason: Reason,
        },
        /// A part of the prompt is quarantined.
        Part(PartReason),
        /// The plan has no such route or key.
        Plan {
            /// Version of the plan.
            version: u64,
            /// The newest version that this node knows of.
            newest: u64,
        },
    }
}

/// Attempts at replicas that a request took before it was refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tried {
    /// Number of attempts.
    pub attempts: u32,
    /// Number of attempts that may have arrived at a replica.
    pub arrived: u32,
}

common! {
    /// Response to a request that no replica answered.
    pub struct Refusal {
        /// HTTP status.
        pub status: StatusCode,
        /// Whether the request may have run.
        pub verdict: Verdict,
        /// Reason, for the caller and the log.
        pub text: &'static str,
        /// Time after which a retry is worthwhile, in ms.
        pub retry_after_ms: Option<u64>,
        /// Whether the connection must be closed.
        pub close: bool,
        /// Details of the decision that the text leaves out.
        pub cause: Option<Box<Cause>>,
        /// Name of the route; empty until it is known.
        pub route: String,
        /// True when another node may accept the request now.
        pub elsewhere: bool,
        /// The attempts that were made.
        pub tried: Tried,
    }
}

impl Refusal {
    /// Refuses an invalid request, for which a retry is pointless.
    pub fn invalid(status: StatusCode, text: &'static str) -> Refusal {
        Refusal {
            status,
            verdict: Verdict::NotRun,
            text,
            retry_after_ms: None,
            close: false,
            cause: None,
            route: String::new(),
            elsewhere: false,
            tried: Tried::default(),
        }
    }

    /// Says that another node may accept the request now.
    pub fn try_elsewhere(self) -> Refusal {
        Refusal { elsewhere: true, ..self }
    }

    /// Returns the refusal of a request whose attempts have this verdict: one
    /// that may have run is never refused as "not run".
    pub fn after(self, attempts: Verdict) -> Refusal {
        match (self.verdict, attempts) {
            (Verdict::NotRun, Verdict::MayHaveRun | Verdict::Ran) => Refusal {
                cause: self.cause,
                route: self.route,
                elsewhere: self.elsewhere,
                ..Refusal::may_have_run("no replica answered")
            },
            _ => self,
        }
    }

    /// Refuses a request that violates the protocol or its limits. What
    /// follows on the connection can't be trusted, so it is closed.
    pub fn protocol_error(status: StatusCode, text: &'static str) -> Refusal {
        Refusal { close: true, ..Refusal::invalid(status, text) }
    }

    /// Refuses a request that did not run and may be retried.
    pub fn retryable(text: &'static str, retry_after_ms: u64) -> Refusal {
        let retry_after_ms = Some(retry_after_ms.max(MIN_RETRY_AFTER_MS));
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal { retry_after_ms, ..Refusal::invalid(status, text) }
    }

    /// Refuses a request of a team whose quota is used up.
    pub fn quota_exhausted(retry_after_ms: u64, cause: Cause) -> Refusal {
        let text = "the team's quota is used up";
        let refusal = Refusal::retryable(text, retry_after_ms);
        let status = StatusCode::TOO_MANY_REQUESTS;
        let cause = Some(Box::new(cause));
        Refusal { status, cause, ..refusal }
    }

    /// Reports that a request may have run but has no complete response.
    pub fn may_have_run(text: &'static str) -> Refusal {
        Refusal {
            status: StatusCode::BAD_GATEWAY,
            verdict: Verdict::MayHaveRun,
            text,
            retry_after_ms: None,
            close: false,
            cause: None,
            route: String::new(),
            elsewhere: false,
            tried: Tried::default(),
        }
    }

    /// Replaces a replica's answer whose status would promise that the request
    /// did not run, although nothing proves it.
    pub fn unproven() -> Refusal {
        let text = "the replica's status does not prove that it did not run";
        Refusal::may_have_run(text)
    }

    /// Reports that a request timed out.
    pub fn timed_out(verdict: Verdict) -> Refusal {
        let text = "no answer in time";
        match verdict {
            Verdict::NotRun => Refusal::retryable(text, MIN_RETRY_AFTER_MS),
            _ => Refusal {
                status: StatusCode::GATEWAY_TIMEOUT,
                ..Refusal::may_have_run(text)
            },
        }
    }

    /// Reports that the node stops before the request has an answer. Another
    /// node may accept the request.
    pub fn stopping(verdict: Verdict) -> Refusal {
        let text = "the node stops before there is an answer";
        let refusal = match verdict {
            Verdict::NotRun => Refusal::retryable(text, MIN_RETRY_AFTER_MS),
            _ => Refusal {
                status: StatusCode::GATEWAY_TIMEOUT,
                ..Refusal::may_have_run(text)
            },
        };
        Refusal { close: true, ..refusal }.try_elsewhere()
    }

    /// Counts the refusal and logs it with its cause.
    pub(super) fn record(
        &self,
        metrics: &Metrics,
        id: Option<&HeaderValue>,
        began: Instant,
    ) {
        let status = self.status.as_u16();
        let verdict = self.verdict.as_str();
        let outcome = Outcome { status, verdict };
        metrics.outcomes.get_or_create(&outcome).inc();
        let request = id_text(id);
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
            Some(Cause::Admission { team, shortage }) => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                team,
                reason = ?shortage.reason,
                share = shortage.share,
                demand = shortage.demand,
                total_demand = shortage.total_demand,
                capacity = shortage.capacity,
                capacity_age_ms = shortage.age_ms,
                backlog_ms = shortage.backlog_ms as u64,
                foretold_ms = shortage.predicted_ms as u64,
                "Refused: {text}."
            ),
            Some(Cause::Shortage(shortage)) => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                replicas = shortage.limited,
                full = shortage.full,
                backing_off = shortage.backing_off,
                takes_per_s = shortage.rate,
                risk = shortage.risk,
                max_risk = shortage.max_risk,
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
            Some(Cause::Plan { version, newest }) => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                plan = version, newest_plan = newest,
                "Refused: {text}."
            ),
            Some(Cause::Part(reason)) => info!(
                target: "gateway",
                request, route, status, verdict, after_ms, retry_after_ms,
                part = format_args!("{:x}", reason.part),
                crashes = reason.crashes,
                age_ms = reason.age_ms,
                certain = reason.is_certain,
                alternatives = reason.alternatives,
                "Refused: {text}."
            ),
        }
    }

    /// Converts the refusal to an HTTP response.
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

/// Returns a request's id for the log, or `-` if it has none.
pub(super) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}
