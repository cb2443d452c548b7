//! Calls to plain services, those that must not run twice among them.
//!
//! A call that must not be repeated goes through these steps, and a process
//! may die between any two of them:
//!
//! ```text
//! admitted → claimed in the ledger → sent, once → answered → settled
//! ```
//!
//! | died after | what the ledger says | what a caller is told |
//! |---|---|---|
//! | admitted | nothing | key unknown |
//! | claimed | held by a dead owner | may have run |
//! | sent | held by a dead owner | may have run |
//! | settled | the answer | the answer |
//!
//! Nobody ever sends a claimed request again but its owner, and the owner
//! does so only when it knows that the endpoint was not reached or said that
//! it did not run it.

use std::time::Duration;

use http::{HeaderMap, StatusCode, header};
use tokio::time::sleep;
use tracing::{info, warn};

use super::{
    admission,
    callers::Caller,
    claims::{
        claim_state, look_up, owner_lives, propose_claim, release, settle,
        settle_within, settlement,
    },
    dispatch::{Answer, Call, Failed, LOAD_HEADER},
    refusal::Refusal,
    state::Shared,
};
use crate::{
    config::Service,
    decide::route::{Choice, RouteRequest},
    fingerprint,
    http_server::{Request, Response},
    metrics::Labels,
    util::random_id,
    verdict::Verdict,
    wire::{self, Claim, ClaimOutcome, Endpoint, claim_outcome},
};

/// How long an answer waits for its settlement before it goes out anyway.
const SETTLE_WAIT: Duration = Duration::from_millis(500);
/// Pause between two looks at a claim that another entry holds.
const HELD_PAUSE: Duration = Duration::from_millis(100);
/// Attempts at different endpoints for one request.
const ATTEMPTS: u32 = 4;

/// A checked call to a plain service.
#[derive(Clone, Debug)]
pub struct Work {
    /// Who asks.
    pub caller: Caller,
    /// The service, as configured.
    pub service: Service,
    /// Path and query behind the service's name.
    pub path: String,
    /// The request's method.
    pub method: http::Method,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: bytes::Bytes,
}

/// Answers a call to a plain service.
///
/// # Errors
///
/// A refusal with its verdict.
pub async fn serve(
    state: &Shared,
    caller: Caller,
    service: &Service,
    path: &str,
    request: Request,
) -> Result<Response, Refusal> {
    let bare = path.split('?').next().unwrap_or(path);
    let repeatable = service.may_repeat(bare);
    let work = Work {
        caller,
        service: service.clone(),
        path: path.to_owned(),
        method: request.method,
        headers: passed_on(&request.headers),
        body: request.body,
    };
    let began = state.now();
    let labels = Labels {
        team: work.caller.team.clone(),
        service: service.name.clone(),
    };
    let result = if repeatable {
        call_repeatable(state, work).await.map(respond)
    } else {
        if work.caller.key.is_none() {
            return Err(Refusal::bad(
                StatusCode::BAD_REQUEST,
                "this call may not be repeated; it needs an Idempotency-Key",
            ));
        }
        // Apart from the caller's connection: whoever hangs up between claim
        // and settlement must not leave the request half done.
        let run = state.runtime.spawn(call_once(state.clone(), work));
        match run.await {
            Ok(result) => result,
            Err(_) => Err(Refusal::doubtful("the entry failed")),
        }
    };
    let seconds = state.now().saturating_sub(began) as f64 / 1000.0;
    state.metrics.latency.get_or_create(&labels).observe(seconds);
    result
}

/// The state of a claimed request, for `GET /v1/requests/{key}`.
///
/// # Errors
///
/// When the key is unknown, the request still runs, or control is away.
pub async fn reread(state: &Shared, key: &str) -> Result<Response, Refusal> {
    let outcome = look_up(state, key).await?;
    match claim_state(&outcome) {
        claim_outcome::State::Settled => settled(&outcome),
        claim_outcome::State::Held if owner_lives(state, &outcome.owner) => {
            Err(Refusal {
                status: StatusCode::ACCEPTED,
                verdict: Verdict::MayHaveRun,
                text: "it is running".to_owned(),
                retry_after_ms: Some(200),
            })
        }
        claim_outcome::State::Held => Err(lost()),
        _ => Err(Refusal {
            status: StatusCode::NOT_FOUND,
            verdict: Verdict::MayHaveRun,
            text: "nothing is known of this key (yet)".to_owned(),
            retry_after_ms: None,
        }),
    }
}

// ---- Calls that may be repeated ---------------------------------------------

async fn call_repeatable(
    state: &Shared,
    work: Work,
) -> Result<Answer, Refusal> {
    let fingerprint = fingerprint::of(&parts_of(&work));
    state.keep_away(fingerprint, &work.service.name)?;
    let caller = &work.caller;
    let start_by = caller.deadline;
    let permit =
        admission::admit(state, &work.service, &caller.team, 1.0, start_by);
    let _permit = permit.await?;
    let mut avoid = Vec::new();
    let mut verdict = Verdict::NotRun;
    for attempt in 0..ATTEMPTS {
        let picked = pick(state, &work, &avoid);
        let Some((endpoint, choice)) = picked else { break };
        let call = call(&work, &endpoint)?;
        let silence = Duration::from_millis(work.service.silence_ms);
        let sent_at = state.now();
        let fresh = attempt > 0;
        let result = state.dispatcher.repeatable(call, silence, fresh).await;
        note_end(state, &work.service.name, &choice, sent_at, &result);
        match result {
            Ok(answer) => {
                state.retries().record_success();
                if answer.status.is_success() {
                    state.note_success(fingerprint);
                }
                return Ok(answer);
            }
            Err(failed) => {
                info!(
                    target: "plain",
                    "{} failed: {}.", endpoint.id, failed.text
                );
                verdict = verdict.and(failed.verdict);
                state.note_failure(fingerprint, &endpoint, &failed).await;
                avoid.push((endpoint.id, endpoint.incarnation));
                let service = &work.service.name;
                if state.kept_away(fingerprint, service).is_some() {
                    break;
                }
            }
        }
        let wait = state.retries().wait_ms(attempt + 1);
        if state.now() + wait >= work.caller.deadline {
            break;
        }
        sleep(Duration::from_millis(wait)).await;
    }
    Err(nobody(verdict))
}

fn nobody(verdict: Verdict) -> Refusal {
    let mut refusal = Refusal::later("no endpoint could take it", 500);
    refusal.verdict = verdict;
    refusal
}

// ---- Calls that may not -----------------------------------------------------

async fn call_once(state: Shared, work: Work) -> Result<Response, Refusal> {
    let fingerprint = fingerprint::of(&parts_of(&work));
    state.keep_away(fingerprint, &work.service.name)?;
    let key = work.caller.key.clone().unwrap_or_default();
    let caller = &work.caller;
    let permit = admission::admit(
        &state,
        &work.service,
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
        digest: digest(&work),
        owner: owner.clone(),
        team: caller.team.clone(),
    };
    let outcome = match propose_claim(&state, claim).await {
        Ok(outcome) => outcome,
        Err(refusal) => {
            // The claim may still be committed. Nothing was sent, so it is
            // given back; else the key would stay taken by nobody.
            let state = state.clone();
            state.runtime.clone().spawn(async move {
                settle(&state, release(&key, &owner)).await;
            });
            return Err(refusal);
        }
    };
    let granted = match claim_state(&outcome) {
        claim_outcome::State::Granted => true,
        // An answer to an earlier sending of this very claim was lost.
        claim_outcome::State::Held => outcome.owner == owner,
        _ => false,
    };
    if !granted {
        drop(permit);
        return follow(&state, &key, outcome, caller.deadline).await;
    }
    dispatch_claimed(&state, &work, &key, &owner).await
}

async fn dispatch_claimed(
    state: &Shared,
    work: &Work,
    key: &str,
    owner: &str,
) -> Result<Response, Refusal> {
    let mut avoid = Vec::new();
    for _ in 0..ATTEMPTS {
        // The lease may have run out while the claim was under way, and the
        // endpoint chosen now may have left without this entry knowing.
        let picked = match state.holds_lease() {
            true => pick(state, work, &avoid),
            false => None,
        };
        let Some((endpoint, choice)) = picked else { break };
        let Ok(call) = call(work, &endpoint) else { break };
        let silence = Duration::from_millis(work.service.silence_ms);
        let sent_at = state.now();
        let result = state.dispatcher.once(call, silence).await;
        note_end(state, &work.service.name, &choice, sent_at, &result);
        match result {
            Ok(answer) => {
                return Ok(settle_answer(state, key, owner, answer).await);
            }
            Err(failed) if failed.verdict == Verdict::NotRun => {
                info!(
                    target: "plain",
                    "{} was not reached: {}.", endpoint.id, failed.text
                );
                avoid.push((endpoint.id, endpoint.incarnation));
            }
            Err(failed) => {
                warn!(
                    target: "plain",
                    "{} may have run {key}: {}.", endpoint.id, failed.text
                );
                let fingerprint = fingerprint::of(&parts_of(work));
                state.note_failure(fingerprint, &endpoint, &failed).await;
                return Err(settle_doubt(state, key, owner, failed));
            }
        }
    }
    // Nothing was sent anywhere: the key is free again, and this is said at
    // once; a settlement that is late only makes a repeat wait.
    let freed = release(key, owner);
    let freed = settle_within(state, freed, SETTLE_WAIT).await;
    let mut refusal = nobody(Verdict::NotRun);
    if !freed {
        refusal.retry_after_ms = Some(2000);
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
    settle_within(state, settlement, SETTLE_WAIT).await;
    state.retries().record_success();
    respond(answer)
}

/// Records that nobody knows, and says so to the caller at once.
fn settle_doubt(
    state: &Shared,
    key: &str,
    owner: &str,
    failed: Failed,
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
    Refusal::doubtful(failed.text)
}

/// Waits for another's run of the same request.
async fn follow(
    state: &Shared,
    key: &str,
    mut outcome: ClaimOutcome,
    deadline: u64,
) -> Result<Response, Refusal> {
    loop {
        match claim_state(&outcome) {
            claim_outcome::State::Settled => return settled(&outcome),
            claim_outcome::State::Mismatch => {
                return Err(Refusal::bad(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the key was used for another request",
                ));
            }
            claim_outcome::State::Held => {
                if !owner_lives(state, &outcome.owner) {
                    return Err(lost());
                }
            }
            // It was given back: never sent. This caller may try again.
            claim_outcome::State::Unknown | claim_outcome::State::Granted => {
                return Err(Refusal::later("it was not sent; repeat it", 1));
            }
        }
        if state.now() + HELD_PAUSE.as_millis() as u64 >= deadline {
            return Err(Refusal {
                status: StatusCode::GATEWAY_TIMEOUT,
                verdict: Verdict::MayHaveRun,
                text: "it still runs; read the answer by its key".to_owned(),
                retry_after_ms: Some(500),
            });
        }
        sleep(HELD_PAUSE).await;
        outcome = look_up(state, key).await?;
    }
}

fn lost() -> Refusal {
    let text = "the entry that ran it is gone; it will not be sent again";
    Refusal::doubtful(text)
}

fn settled(outcome: &ClaimOutcome) -> Result<Response, Refusal> {
    let answer = outcome.answer.clone().unwrap_or_default();
    if Verdict::from_u32(answer.verdict) != Verdict::Ran {
        return Err(Refusal::doubtful("its endpoint did not answer"));
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

// ---- Endpoints and headers ---------------------------------------------------

/// What makes two requests the same one.
fn digest(work: &Work) -> Vec<u8> {
    fingerprint::digest(&parts_of(work)).to_vec()
}

fn parts_of(work: &Work) -> [&[u8]; 5] {
    [
        work.caller.team.as_bytes(),
        work.service.name.as_bytes(),
        work.method.as_str().as_bytes(),
        work.path.as_bytes(),
        &work.body,
    ]
}

fn pick(
    state: &Shared,
    work: &Work,
    avoid: &[(String, u64)],
) -> Option<(Endpoint, Choice)> {
    let ask = RouteRequest {
        tokens: 0,
        blocks: &[],
        block_ends: &[],
        excluded: avoid,
    };
    state.fleet().pick(state.now(), &work.service.name, &ask)
}

fn call(work: &Work, endpoint: &Endpoint) -> Result<Call, Refusal> {
    let address = endpoint.address.parse().map_err(|_| {
        Refusal::later("an endpoint has no usable address", 500)
    })?;
    Ok(Call {
        address,
        method: work.method.clone(),
        path: work.path.clone(),
        headers: work.headers.clone(),
        body: work.body.clone(),
    })
}

fn note_end(
    state: &Shared,
    service: &str,
    choice: &Choice,
    sent_at: u64,
    result: &Result<Answer, Failed>,
) {
    let now = state.now();
    let mut fleet = state.fleet();
    let Some(pool) = fleet.pool(service) else { return };
    match result {
        Ok(answer) => {
            let held = now.saturating_sub(sent_at) as f32;
            pool.record_end(now, choice.ticket, true, Some(held));
            let load = load_of(&answer.headers);
            if let Some(load) = load {
                let (id, incarnation) = (&choice.id, choice.incarnation);
                pool.record_load(now, id, incarnation, load, 0);
            }
        }
        Err(_) => pool.record_end(now, choice.ticket, false, None),
    }
}

/// The load that an endpoint put into its answer.
pub fn load_of(headers: &HeaderMap) -> Option<u32> {
    headers.get(LOAD_HEADER)?.to_str().ok()?.parse().ok()
}

fn respond(answer: Answer) -> Response {
    let kind = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    let mut response = Response::bytes(answer.status, kind, answer.body);
    response.set(Verdict::HEADER, Verdict::Ran.as_str());
    response
}

/// The headers that go on to an endpoint: not those of this connection.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    const KEPT_BACK: [&str; 8] = [
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let mut passed = headers.clone();
    for name in KEPT_BACK {
        passed.remove(name);
    }
    passed
}
