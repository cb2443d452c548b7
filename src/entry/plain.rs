//! Calls to plain services, including calls that must not run twice.
//!
//! A call that must not be repeated goes through these steps. A process may
//! crash between any two of them:
//!
//! ```text
//! admitted → claimed in the ledger → sent, once → answered → settled
//! ```
//!
//! | crashed after | state in the ledger | answer to the caller |
//! |---|---|---|
//! | admitted | none | key unknown |
//! | claimed | held by a crashed owner | may have run |
//! | sent | held by a crashed owner | may have run |
//! | settled | the answer | the answer |
//!
//! Only the owner of a claim may send the request again, and only if it knows
//! that the endpoint was not reached or answered that it did not run the
//! request.

use std::time::Duration;

use http::{HeaderMap, StatusCode, header};
use tokio::time::sleep;
use tracing::{info, warn};

use super::{
    admission,
    callers::Caller,
    claims::{
        claim_state, is_owner_live, propose_claim, read_claim, release,
        settle, settle_within, settlement,
    },
    dispatch::{Answer, Call, CallError, LOAD_HEADER},
    refusal::Refusal,
    state::Shared,
};
use crate::{
    backoff::Backoff,
    config::Service,
    decide::{
        quarantine::Identity,
        route::{Choice, RouteRequest, VersionRule},
    },
    fingerprint,
    http_server::{Request, Response},
    metrics::Labels,
    util::random_id,
    verdict::Verdict,
    wire::{self, Claim, ClaimOutcome, Endpoint, claim_outcome},
};

/// Time for which an answer waits for its settlement before it is sent to the
/// caller anyway.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two reads of a claim that another call holds.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of attempts for one request, each at a different endpoint.
const MAX_ATTEMPTS: u32 = 4;

/// Retry delay sent to callers when no endpoint could take a call, in ms.
const NO_ENDPOINT_RETRY_AFTER_MS: u64 = 500;

/// A validated call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The caller.
    pub caller: Caller,
    /// The service's configuration.
    pub service: Service,
    /// Path and query after the service's name.
    pub path: String,
    /// The request's method.
    pub method: http::Method,
    /// Headers to forward to the endpoint.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: bytes::Bytes,
}

/// Answers a call to a plain service.
///
/// # Errors
///
/// Returns a refusal with its verdict.
pub async fn serve(
    state: &Shared,
    caller: Caller,
    service: &Service,
    path: &str,
    request: Request,
) -> Result<Response, Refusal> {
    let path_only = path.split('?').next().unwrap_or(path);
    let repeatable = service.may_repeat(path_only);
    let service_call = ServiceCall {
        caller,
        service: service.clone(),
        path: path.to_owned(),
        method: request.method,
        headers: forwarded_headers(&request.headers),
        body: request.body,
    };
    let started_at = state.now();
    let labels = Labels {
        team: service_call.caller.team.clone(),
        service: service.name.clone(),
    };
    let result = if repeatable {
        call_repeatable(state, service_call).await.map(build_response)
    } else {
        if service_call.caller.key.is_none() {
            return Err(Refusal::invalid(
                StatusCode::BAD_REQUEST,
                "this call may not be repeated; it needs an Idempotency-Key",
            ));
        }
        // The call runs in its own task, so that a caller that disconnects
        // between claim and settlement does not leave it unfinished.
        let run = state.runtime.spawn(call_once(state.clone(), service_call));
        match run.await {
            Ok(result) => result,
            Err(_) => Err(Refusal::may_have_run("the entry failed")),
        }
    };
    let seconds = state.now().saturating_sub(started_at) as f64 / 1000.0;
    state.metrics.latency.get_or_create(&labels).observe(seconds);
    result
}

/// Returns the answer of a claimed request, for `GET /v1/requests/{key}`.
///
/// # Errors
///
/// Fails if the key is unknown, the request is still running, its owner is no
/// longer listed, its outcome is unknown, its answer was too large to keep, or
/// control does not answer.
pub async fn read_settled(
    state: &Shared,
    key: &str,
) -> Result<Response, Refusal> {
    let outcome = read_claim(state, key).await?;
    match claim_state(&outcome) {
        claim_outcome::State::Settled => read_answer(&outcome),
        claim_outcome::State::Held if is_owner_live(state, &outcome.owner) => {
            Err(Refusal {
                status: StatusCode::ACCEPTED,
                verdict: Verdict::MayHaveRun,
                text: "it is running".to_owned(),
                retry_after_ms: Some(200),
            })
        }
        claim_outcome::State::Held => Err(owner_lost()),
        _ => Err(Refusal {
            status: StatusCode::NOT_FOUND,
            verdict: Verdict::MayHaveRun,
            text: "nothing is known of this key (yet)".to_owned(),
            retry_after_ms: None,
        }),
    }
}

// ---- Calls that may be repeated --------------------------------------------

async fn call_repeatable(
    state: &Shared,
    service_call: ServiceCall,
) -> Result<Answer, Refusal> {
    let identity = identity_of(&service_call);
    state.check_quarantine(&identity, &service_call.service.name)?;
    let caller = &service_call.caller;
    let start_by = caller.deadline;
    let permit = admission::admit(
        state,
        &service_call.service,
        &caller.team,
        1.0,
        start_by,
    );
    let _permit = permit.await?;
    let mut excluded = Vec::new();
    let mut verdict = Verdict::NotRun;
    for attempt in 0..MAX_ATTEMPTS {
        let picked = pick(state, &service_call, &excluded);
        let Some((endpoint, choice)) = picked else { break };
        let call = call(&service_call, &endpoint)?;
        let silence = Duration::from_millis(service_call.service.silence_ms);
        let sent_at = state.now();
        let fresh = attempt > 0;
        let result =
            state.dispatcher.send_repeatable(call, silence, fresh).await;
        record_end(
            state,
            &service_call.service.name,
            &choice,
            sent_at,
            &result,
        );
        match result {
            Ok(answer) => {
                state.retries().record_success();
                if answer.status.is_success() {
                    state.record_success(&identity);
                }
                return Ok(answer);
            }
            Err(failed) => {
                info!(
                    target: "plain",
                    "Endpoint {} failed: {}.", endpoint.id, failed.text
                );
                verdict = verdict.and(failed.verdict);
                state.investigate_failure(&identity, &endpoint, &failed).await;
                excluded.push((endpoint.id, endpoint.incarnation));
                let service = &service_call.service.name;
                if state.quarantine_text(&identity, service).is_some() {
                    break;
                }
            }
        }
        let wait = state.retries().wait_ms(attempt + 1);
        if state.now() + wait >= service_call.caller.deadline {
            break;
        }
        sleep(Duration::from_millis(wait)).await;
    }
    Err(no_endpoint(state, &service_call.service.name, verdict))
}

fn no_endpoint(state: &Shared, service: &str, verdict: Verdict) -> Refusal {
    let now = state.now();
    let mut fleet = state.fleet();
    let queued = fleet.pool(service).and_then(|pool| pool.enqueue(now));
    let wait_ms = queued.map_or(NO_ENDPOINT_RETRY_AFTER_MS, |(_, wait)| wait);
    let mut refusal = Refusal::retryable("no endpoint could take it", wait_ms);
    refusal.verdict = verdict;
    refusal
}

// ---- Calls that must not be repeated ---------------------------------------

async fn call_once(
    state: Shared,
    service_call: ServiceCall,
) -> Result<Response, Refusal> {
    let identity = identity_of(&service_call);
    state.check_quarantine(&identity, &service_call.service.name)?;
    let key = service_call.caller.key.clone().unwrap_or_default();
    let caller = &service_call.caller;
    let permit = admission::admit(
        &state,
        &service_call.service,
        &caller.team,
        1.0,
        caller.deadline,
    );
    let permit = permit.await?;
    let owner = format!(
        "{}/{:x}/{:x}",
        state.info.id,
        state.info.incarnation,
        random_id()
    );
    let claim = Claim {
        key: key.clone(),
        digest: digest(&service_call),
        owner: owner.clone(),
        team: caller.team.clone(),
    };
    let outcome = match propose_claim(&state, claim).await {
        Ok(outcome) => outcome,
        Err(refusal) => {
            // The claim may still be committed. The request was not sent, so
            // the claim is released; otherwise the key would stay claimed
            // without a running request.
            let state = state.clone();
            state.runtime.clone().spawn(async move {
                settle(&state, release(&key, &owner)).await;
            });
            return Err(refusal);
        }
    };
    let granted = match claim_state(&outcome) {
        claim_outcome::State::Granted => true,
        // The reply to an earlier proposal of this same claim was lost.
        claim_outcome::State::Held => outcome.owner == owner,
        _ => false,
    };
    if !granted {
        drop(permit);
        return wait_for_holder(&state, &key, outcome, caller.deadline).await;
    }
    dispatch_claimed(&state, &service_call, &key, &owner).await
}

async fn dispatch_claimed(
    state: &Shared,
    service_call: &ServiceCall,
    key: &str,
    owner: &str,
) -> Result<Response, Refusal> {
    let mut excluded = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        // The lease may have expired while the claim was in flight. Without a
        // lease, the fleet may list endpoints that have departed.
        let picked = match state.holds_lease() {
            true => pick(state, service_call, &excluded),
            false => None,
        };
        let Some((endpoint, choice)) = picked else { break };
        let Ok(call) = call(service_call, &endpoint) else { break };
        let silence = Duration::from_millis(service_call.service.silence_ms);
        let sent_at = state.now();
        let result = state.dispatcher.send_once(call, silence).await;
        record_end(
            state,
            &service_call.service.name,
            &choice,
            sent_at,
            &result,
        );
        match result {
            Ok(answer) => {
                return Ok(settle_answer(state, key, owner, answer).await);
            }
            Err(failed) if failed.verdict == Verdict::NotRun => {
                info!(
                    target: "plain",
                    "Endpoint {} did not run the request: {}.",
                    endpoint.id,
                    failed.text
                );
                excluded.push((endpoint.id, endpoint.incarnation));
            }
            Err(failed) => {
                warn!(
                    target: "plain",
                    "Endpoint {} may have run request {key}: {}.",
                    endpoint.id,
                    failed.text
                );
                let identity = identity_of(service_call);
                state.investigate_failure(&identity, &endpoint, &failed).await;
                return Err(settle_unknown(state, key, owner, failed));
            }
        }
    }
    // No endpoint ran the request, so the claim is released. The answer waits
    // at most `SETTLE_TIMEOUT` for this: a late release only delays a retry.
    let freed = release(key, owner);
    let freed = settle_within(state, freed, SETTLE_TIMEOUT).await;
    let service = &service_call.service.name;
    let mut refusal = no_endpoint(state, service, Verdict::NotRun);
    if !freed {
        refusal.retry_after_ms = refusal.retry_after_ms.max(Some(2000));
    }
    Err(refusal)
}

async fn settle_answer(
    state: &Shared,
    key: &str,
    owner: &str,
    answer: Answer,
) -> Response {
    let kind = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let record = wire::Answer {
        verdict: Verdict::Ran.as_u32(),
        status: u32::from(answer.status.as_u16()),
        content_type: kind.to_owned(),
        body: answer.body.to_vec(),
        truncated: false,
    };
    let settlement = settlement(key, owner, record);
    settle_within(state, settlement, SETTLE_TIMEOUT).await;
    state.retries().record_success();
    build_response(answer)
}

/// Settles a claim whose outcome is unknown in the background, and returns
/// the refusal for the caller.
fn settle_unknown(
    state: &Shared,
    key: &str,
    owner: &str,
    failed: CallError,
) -> Refusal {
    let record = wire::Answer {
        verdict: Verdict::MayHaveRun.as_u32(),
        status: 502,
        ..wire::Answer::default()
    };
    let settlement = settlement(key, owner, record);
    let background = state.clone();
    state.runtime.spawn(async move {
        settle(&background, settlement).await;
    });
    Refusal::may_have_run(failed.text)
}

/// Waits for the answer of the call that holds the claim on the same key.
async fn wait_for_holder(
    state: &Shared,
    key: &str,
    mut outcome: ClaimOutcome,
    deadline: u64,
) -> Result<Response, Refusal> {
    loop {
        match claim_state(&outcome) {
            claim_outcome::State::Settled => return read_answer(&outcome),
            claim_outcome::State::Mismatch => {
                return Err(Refusal::invalid(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the key was used for another request",
                ));
            }
            claim_outcome::State::Held => {
                if !is_owner_live(state, &outcome.owner) {
                    return Err(owner_lost());
                }
            }
            // The claim was released: the request was not run, so the caller
            // may retry.
            claim_outcome::State::Unknown | claim_outcome::State::Granted => {
                return Err(Refusal::retryable(
                    "it was not sent; repeat it",
                    1,
                ));
            }
        }
        if state.now() + CLAIM_POLL_INTERVAL.as_millis() as u64 >= deadline {
            return Err(Refusal {
                status: StatusCode::GATEWAY_TIMEOUT,
                verdict: Verdict::MayHaveRun,
                text: "it still runs; read the answer by its key".to_owned(),
                retry_after_ms: Some(500),
            });
        }
        sleep(CLAIM_POLL_INTERVAL).await;
        outcome = read_claim(state, key).await?;
    }
}

fn owner_lost() -> Refusal {
    let text = "the entry that ran it is gone; it will not be sent again";
    Refusal::may_have_run(text)
}

fn read_answer(outcome: &ClaimOutcome) -> Result<Response, Refusal> {
    let answer = outcome.answer.clone().unwrap_or_default();
    if Verdict::from_u32(answer.verdict) != Verdict::Ran {
        return Err(Refusal::may_have_run("its endpoint did not answer"));
    }
    let status = u16::try_from(answer.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok())
        .unwrap_or(StatusCode::OK);
    if answer.truncated {
        return Err(Refusal {
            status: StatusCode::GONE,
            verdict: Verdict::Ran,
            text: format!(
                "it ran ({status}); the answer was too large to keep"
            ),
            retry_after_ms: None,
        });
    }
    let mut response =
        Response::bytes(status, &answer.content_type, answer.body.into());
    response.set(Verdict::HEADER, Verdict::Ran.as_str());
    Ok(response)
}

// ---- Endpoints and headers -------------------------------------------------

/// Returns the digest that two requests share if they are the same request.
fn digest(service_call: &ServiceCall) -> Vec<u8> {
    fingerprint::digest(&digest_parts(service_call)).to_vec()
}

fn identity_of(service_call: &ServiceCall) -> Identity {
    let fingerprint = fingerprint::of(&digest_parts(service_call));
    Identity::new(fingerprint, Vec::new())
}

fn digest_parts(service_call: &ServiceCall) -> [&[u8]; 5] {
    [
        service_call.caller.team.as_bytes(),
        service_call.service.name.as_bytes(),
        service_call.method.as_str().as_bytes(),
        service_call.path.as_bytes(),
        &service_call.body,
    ]
}

fn pick(
    state: &Shared,
    service_call: &ServiceCall,
    excluded: &[(String, u64)],
) -> Option<(Endpoint, Choice)> {
    let request = RouteRequest {
        tokens: 0,
        blocks: &[],
        block_ends: &[],
        excluded,
        version: VersionRule::Any,
    };
    state.fleet().pick(state.now(), &service_call.service.name, &request)
}

fn call(
    service_call: &ServiceCall,
    endpoint: &Endpoint,
) -> Result<Call, Refusal> {
    let address = endpoint.address.parse().map_err(|_| {
        Refusal::retryable("an endpoint has no usable address", 500)
    })?;
    Ok(Call {
        address,
        method: service_call.method.clone(),
        path: service_call.path.clone(),
        headers: service_call.headers.clone(),
        body: service_call.body.clone(),
    })
}

fn record_end(
    state: &Shared,
    service: &str,
    choice: &Choice,
    sent_at: u64,
    result: &Result<Answer, CallError>,
) {
    let now = state.now();
    let backoff = match result {
        Ok(answer) => Backoff::parse(answer.status, &answer.headers),
        Err(failed) => failed.backoff,
    };
    state.record_backoff(service, choice, backoff);
    let mut fleet = state.fleet();
    let Some(pool) = fleet.pool(service) else { return };
    match result {
        Err(_) if backoff.replaces_penalty() => {
            pool.abandon(choice.ticket, now, false);
        }
        Ok(answer) => {
            let duration_ms = now.saturating_sub(sent_at) as f32;
            pool.record_end(now, choice.ticket, true, Some(duration_ms));
            let load = parse_load(&answer.headers);
            if let Some(load) = load {
                let (id, incarnation) = (&choice.id, choice.incarnation);
                pool.record_load(now, id, incarnation, load, 0);
            }
        }
        Err(_) => pool.record_end(now, choice.ticket, false, None),
    }
}

/// Returns the load that an endpoint reported in its answer.
pub fn parse_load(headers: &HeaderMap) -> Option<u32> {
    headers.get(LOAD_HEADER)?.to_str().ok()?.parse().ok()
}

fn build_response(answer: Answer) -> Response {
    let kind = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let mut response = Response::bytes(answer.status, kind, answer.body);
    response.set(Verdict::HEADER, Verdict::Ran.as_str());
    response
}

/// Returns the headers to forward to an endpoint, without those that apply
/// to the caller's connection only.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const CONNECTION_HEADERS: [&str; 8] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let mut forwarded = headers.clone();
    for name in CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
