//! Claims in control's ledger: the only word on whether a call may be sent.

use std::time::Duration;

use tracing::warn;

use super::{refusal::Refusal, state::Shared};
use crate::{
    verdict::Verdict,
    wire::{
        self, Change, Claim, ClaimOutcome, Query, Settle, change,
        claim_outcome, outcome, query, query_reply,
    },
};

/// How long a claim may take.
const CLAIM_LIMIT: Duration = Duration::from_millis(1500);
/// How long settling is tried in the background.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Takes a key for one dispatch.
///
/// # Errors
///
/// When control did not answer; the request was not sent all the same.
pub async fn propose_claim(
    state: &Shared,
    claim: Claim,
) -> Result<ClaimOutcome, Refusal> {
    let change = Change::new(change::Kind::Claim(claim));
    match state.control.propose(change, CLAIM_LIMIT, true).await {
        Ok(outcome) => match outcome.kind {
            Some(outcome::Kind::Claim(claim)) => Ok(claim),
            _ => Err(Refusal::later("control gave no answer", 500)),
        },
        // Whatever became of the claim: the request itself was not sent.
        Err(failure) => Err(Refusal::later(failure.to_string(), 500)),
    }
}

/// Reads through the quorum what is known of a key.
///
/// # Errors
///
/// When control did not answer.
pub async fn look_up(
    state: &Shared,
    key: &str,
) -> Result<ClaimOutcome, Refusal> {
    let query = Query { kind: Some(query::Kind::Claim(key.to_owned())) };
    let reply = state.control.read(query, CLAIM_LIMIT).await;
    match reply.map(|reply| reply.kind) {
        Ok(Some(query_reply::Kind::Claim(outcome))) => Ok(outcome),
        _ => {
            let mut refusal = Refusal::later("control did not answer", 500);
            refusal.verdict = Verdict::MayHaveRun;
            Err(refusal)
        }
    }
}

/// Gives a key back: the request was never sent.
pub fn release(key: &str, owner: &str) -> Settle {
    Settle {
        key: key.to_owned(),
        owner: owner.to_owned(),
        released: true,
        answer: None,
    }
}

/// Records what became of a request.
pub fn settlement(key: &str, owner: &str, answer: wire::Answer) -> Settle {
    Settle {
        key: key.to_owned(),
        owner: owner.to_owned(),
        released: false,
        answer: Some(answer),
    }
}

/// Puts a settlement through the log, however long control is away.
pub async fn settle(state: &Shared, settle: Settle) {
    let change = Change::new(change::Kind::Settle(settle));
    let settled = state.control.propose(change, SETTLE_LIMIT, true).await;
    if let Err(failure) = settled {
        warn!(target: "plain", "Not settled: {failure}.");
    }
}

/// Settles, in the background once `limit` is over; true if done by then.
pub async fn settle_within(
    state: &Shared,
    settlement: Settle,
    limit: Duration,
) -> bool {
    let background = state.clone();
    let task = state.runtime.spawn(async move {
        settle(&background, settlement).await;
    });
    tokio::time::timeout(limit, task).await.is_ok()
}

/// The state in an outcome; what is unknown to this version counts as that.
pub fn claim_state(outcome: &ClaimOutcome) -> claim_outcome::State {
    claim_outcome::State::try_from(outcome.state)
        .unwrap_or(claim_outcome::State::Unknown)
}

/// True while the entry that holds a claim is listed by control.
pub fn owner_lives(state: &Shared, owner: &str) -> bool {
    let mut parts = owner.split('/');
    let (id, incarnation) = (parts.next(), parts.next());
    if id == Some(state.info.id.as_str()) {
        return incarnation == Some(&format!("{:x}", state.info.incarnation));
    }
    state.board.entries.read().iter().any(|entry| {
        Some(entry.id.as_str()) == id
            && Some(format!("{:x}", entry.incarnation).as_str()) == incarnation
    })
}
