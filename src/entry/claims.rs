//! Claims in control's ledger. Only the ledger decides whether an entry may
//! send a call that must not run twice.

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

/// Time limit for a claim or for reading one.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for committing a settlement in the background.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Claims a key for one dispatch.
///
/// # Errors
///
/// Returns a refusal if control does not answer. The request has not been sent
/// in that case.
pub async fn propose_claim(
    state: &Shared,
    claim: Claim,
) -> Result<ClaimOutcome, Refusal> {
    let change = Change::new(change::Kind::Claim(claim));
    match state.control.propose(change, CLAIM_TIMEOUT, true).await {
        Ok(outcome) => match outcome.kind {
            Some(outcome::Kind::Claim(claim)) => Ok(claim),
            _ => Err(Refusal::retryable("control gave no answer", 500)),
        },
        // The claim may have been committed, but the request was not sent.
        Err(failure) => Err(Refusal::retryable(failure.to_string(), 500)),
    }
}

/// Reads the claim on a key through the quorum.
///
/// # Errors
///
/// Returns a refusal if control does not answer.
pub async fn read_claim(
    state: &Shared,
    key: &str,
) -> Result<ClaimOutcome, Refusal> {
    let query = Query { kind: Some(query::Kind::Claim(key.to_owned())) };
    let reply = state.control.read(query, CLAIM_TIMEOUT).await;
    match reply.map(|reply| reply.kind) {
        Ok(Some(query_reply::Kind::Claim(outcome))) => Ok(outcome),
        _ => {
            let mut refusal =
                Refusal::retryable("control did not answer", 500);
            refusal.verdict = Verdict::MayHaveRun;
            Err(refusal)
        }
    }
}

/// Returns a settlement that frees the key of a request that was never sent.
pub fn release(key: &str, owner: &str) -> Settle {
    Settle {
        key: key.to_owned(),
        owner: owner.to_owned(),
        released: true,
        answer: None,
    }
}

/// Returns a settlement that records the answer to a request.
pub fn settlement(key: &str, owner: &str, answer: wire::Answer) -> Settle {
    Settle {
        key: key.to_owned(),
        owner: owner.to_owned(),
        released: false,
        answer: Some(answer),
    }
}

/// Commits a settlement through control's log. Retries for 60 s while control
/// is unavailable.
pub async fn settle(state: &Shared, settle: Settle) {
    let change = Change::new(change::Kind::Settle(settle));
    let settled = state.control.propose(change, SETTLE_TIMEOUT, true).await;
    if let Err(failure) = settled {
        warn!(target: "plain", "Settlement not committed: {failure}.");
    }
}

/// Commits a settlement and waits for it for at most `limit`, then goes on in
/// the background. Returns whether settling has ended by then.
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

/// Returns the state in an outcome. A state that this version does not know
/// counts as `Unknown`.
pub fn claim_state(outcome: &ClaimOutcome) -> claim_outcome::State {
    claim_outcome::State::try_from(outcome.state)
        .unwrap_or(claim_outcome::State::Unknown)
}

/// Whether control still lists the incarnation of the entry that owns a claim.
pub fn is_owner_live(state: &Shared, owner: &str) -> bool {
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
