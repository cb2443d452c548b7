//! The replicated state machine: configuration, claims, fleet, plan, usage.
//!
//! A [`Ledger`] is a deterministic function of the changes applied to it:
//! members that apply the same changes in the same order hold the same state.
//! It reads no clock. Retention uses the time that the leader writes into each
//! change.
//!
//! # Claims
//!
//! An entry claims a request that must not run twice before it sends the first
//! byte to an endpoint. A key goes through these states:
//!
//! ```text
//! free → claimed by an entry → settled with an answer
//!   ↑___________|  released: the request was never sent
//! ```
//!
//! A claim is granted once. A second claim by the same owner returns `HELD`,
//! not `GRANTED`: an owner whose first answer was lost may have sent the
//! request already, and neither the owner nor the ledger can know. A grant is
//! therefore for one *dispatch*: owners put a new dispatch id into `owner`.
//!
//! # Change ids
//!
//! Each configuration change carries an id that the operator chose. The ids of
//! all accepted changes are kept forever: a change that is sent again after
//! its answer was lost gets the first answer, regardless of the time passed.

use prost::Message;
use sha2::{Digest, Sha256};

use crate::{
    config,
    util::{common, position, upsert},
    wire::{
        Answer, AppliedRecord, ApplyConfig, ApplyOutcome, Change,
        ChangeRollout, Claim, ClaimOutcome, ClaimRecord, Depart, Endpoint,
        EndpointOutcome, EndpointRecord, IssueOrder, LedgerState, LogEntry,
        OrderOutcome, OrderRecord, Outcome, PlanOutcome, PutPlan, RecordUsage,
        RolloutOutcome, RolloutRecord, RolloutState, Settle, SourceFile,
        UsageOutcome, apply_outcome, change, claim_outcome, endpoint_outcome,
        outcome, rollout_outcome,
    },
};

/// Retention period of a claim and its answer, in ms.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Retention period of the record of a departed endpoint, in ms.
pub const DEPARTED_RETENTION_MS: u64 = 60 * 60 * 1000;
/// Maximum number of usage windows kept; a usage report is due within a few
/// windows.
pub const MAX_USAGE_WINDOWS: usize = 64;
/// Maximum length of a stored answer body, in bytes; longer bodies are
/// dropped.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Time after the end of a roll-out for which the same order counts as a
/// repeat whose answer was lost, in ms. Later it is a new order, so that an
/// operator can try a version again.
pub const ROLLOUT_REPEAT_MS: u64 = 10 * 60 * 1000;
/// Number of roll-outs that are kept for each service.
pub const MAX_ROLLOUTS_PER_SERVICE: usize = 8;

common! {
    /// A configuration as the operators wrote it, with its revision.
    pub struct Source {
        /// Number of accepted changes, from 1; 0 before the first.
        pub revision: u64,
        /// The base file.
        pub base: SourceFile,
        /// The overlay files, one for each site, sorted by name.
        pub overlays: Vec<SourceFile>,
    }
}

common! {
    copy
    /// What a [`ChangeRollout`] does; the numbers are those on the wire.
    pub enum RolloutAction {
        /// Starts a roll-out.
        Start,
        /// Raises the share of the new version.
        Step,
        /// Ends it: the new version has all traffic.
        Complete,
        /// Ends it: the old version has all traffic.
        Revert,
    }
}

impl RolloutAction {
    fn of(action: u32) -> Option<RolloutAction> {
        match action {
            0 => Some(RolloutAction::Start),
            1 => Some(RolloutAction::Step),
            2 => Some(RolloutAction::Complete),
            3 => Some(RolloutAction::Revert),
            _ => None,
        }
    }
}

/// The state that results from the applied part of the log.
#[derive(Debug, Default)]
pub struct Ledger {
    source: Option<Source>,
    applied: Vec<AppliedRecord>,
    claims: Vec<ClaimRecord>,
    endpoints: Vec<EndpointRecord>,
    fleet_version: u64,
    orders: Vec<OrderRecord>,
    order_sequence: u64,
    pruned_at: u64,
    plan: Option<PutPlan>,
    /// Usage records, sorted by window.
    usage: Vec<RecordUsage>,
    /// Roll-outs, sorted by service and order.
    rollouts: RolloutState,
}

impl Ledger {
    /// Decodes the output of [`Ledger::encode`]; `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Ledger> {
        let state = LedgerState::decode(bytes).ok()?;
        let source = state.base.map(|base| Source {
            revision: state.revision,
            base,
            overlays: state.overlays,
        });
        Some(Ledger {
            source,
            applied: state.applied,
            claims: state.claims,
            endpoints: state.endpoints,
            fleet_version: state.fleet_version,
            orders: state.orders,
            order_sequence: state.order_sequence,
            pruned_at: state.pruned_at,
            plan: state.plan,
            usage: state.usage,
            rollouts: state.rollouts.unwrap_or_default(),
        })
    }

    /// Encodes the whole state, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let source = self.source.clone();
        let (base, overlays) = match source {
            Some(source) => (Some(source.base), source.overlays),
            None => (None, Vec::new()),
        };
        LedgerState {
            revision: self.revision(),
            base,
            overlays,
            applied: self.applied.clone(),
            claims: self.claims.clone(),
            endpoints: self.endpoints.clone(),
            fleet_version: self.fleet_version,
            orders: self.orders.clone(),
            order_sequence: self.order_sequence,
            pruned_at: self.pruned_at,
            plan: self.plan.clone(),
            usage: self.usage.clone(),
            rollouts: (self.rollouts.version > 0)
                .then(|| self.rollouts.clone()),
        }
        .encode_to_vec()
    }

    /// Returns the revision of the configuration, 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.source.as_ref().map_or(0, |source| source.revision)
    }

    /// Returns the configuration as the operators wrote it.
    pub fn source(&self) -> Option<&Source> {
        self.source.as_ref()
    }

    /// Returns a number that grows when an endpoint joins, changes or departs.
    pub fn fleet_version(&self) -> u64 {
        self.fleet_version
    }

    /// Returns all endpoints sorted by id, with the departed ones that are
    /// still retained.
    pub fn endpoints(&self) -> &[EndpointRecord] {
        &self.endpoints
    }

    /// Returns the endpoints that have not departed, sorted by id.
    pub fn live_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .iter()
            .filter(|record| !record.departed)
            .filter_map(|record| record.endpoint.as_ref())
    }

    /// Returns the newest order to each endpoint, sorted by endpoint.
    pub fn orders(&self) -> &[OrderRecord] {
        &self.orders
    }

    /// Returns the gateway plan with the highest version.
    pub fn plan(&self) -> Option<&PutPlan> {
        self.plan.as_ref()
    }

    /// Returns the version of the gateway plan, 0 before the first one.
    pub fn plan_version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// Returns the state of all roll-outs.
    pub fn rollouts(&self) -> &RolloutState {
        &self.rollouts
    }

    /// Returns the number of claims held.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the state of a claim.
    pub fn claim(&self, key: &str) -> ClaimOutcome {
        match self.find_claim(key) {
            Ok(at) => describe_claim(&self.claims[at]),
            Err(_) => ClaimOutcome {
                state: claim_outcome::State::Unknown as i32,
                ..ClaimOutcome::default()
            },
        }
    }

    /// Applies one entry; the outcome is the same on every member.
    pub fn apply(&mut self, entry: &LogEntry) -> Outcome {
        let kind = match Change::decode(entry.payload.as_slice()) {
            Ok(change) => {
                self.prune(change.at_ms);
                change
                    .kind
                    .map(|kind| self.apply_kind(entry, change.at_ms, kind))
            }
            Err(_) => None,
        };
        let kind = kind.unwrap_or(outcome::Kind::Done(true));
        Outcome { index: entry.index, kind: Some(kind) }
    }

    fn apply_kind(
        &mut self,
        entry: &LogEntry,
        at_ms: u64,
        kind: change::Kind,
    ) -> outcome::Kind {
        match kind {
            change::Kind::Apply(apply) => {
                outcome::Kind::Apply(self.apply_config(apply))
            }
            change::Kind::Claim(claim) => {
                outcome::Kind::Claim(self.apply_claim(at_ms, claim))
            }
            change::Kind::Settle(settle) => {
                outcome::Kind::Claim(self.settle(settle))
            }
            change::Kind::Announce(announce) => outcome::Kind::Endpoint(
                self.announce(at_ms, announce.endpoint.unwrap_or_default()),
            ),
            change::Kind::Depart(depart) => {
                outcome::Kind::Endpoint(self.depart(at_ms, depart))
            }
            change::Kind::Order(order) => {
                outcome::Kind::Order(self.issue_order(entry.term, order))
            }
            change::Kind::PutPlan(plan) => {
                outcome::Kind::Plan(self.put_plan(plan))
            }
            change::Kind::RecordUsage(usage) => {
                outcome::Kind::Usage(self.record_usage(usage))
            }
            change::Kind::Rollout(rollout) => {
                outcome::Kind::Rollout(self.change_rollout(rollout))
            }
            change::Kind::Membership(_) => outcome::Kind::Done(true),
        }
    }

    // ---- Configuration ----------------------------------------------------

    fn apply_config(&mut self, apply: ApplyConfig) -> ApplyOutcome {
        use apply_outcome::Result;
        let answer = |result: Result, revision, errors| ApplyOutcome {
            result: result as i32,
            revision,
            errors,
        };
        let digest = content_digest(&apply);
        let change_id = apply.change_id.clone();
        let known = position(&self.applied, change_id.as_str(), |record| {
            record.change_id.as_str()
        });
        let at = match known {
            // The id is checked before the revision: the answer to the first
            // proposal may have been lost, and its revision is stale by now.
            Ok(at) if self.applied[at].digest == digest => {
                let revision = self.applied[at].revision;
                return answer(Result::Accepted, revision, Vec::new());
            }
            Ok(at) => {
                let revision = self.applied[at].revision;
                return answer(Result::IdReused, revision, Vec::new());
            }
            Err(at) => at,
        };
        let revision = self.revision();
        if apply.from_revision != revision {
            return answer(Result::Stale, revision, Vec::new());
        }
        let base = apply.base.unwrap_or_default();
        let mut overlays = apply.overlays;
        overlays.sort_by(|left, right| left.name.cmp(&right.name));
        if let Err(errors) = config::check(&base, &overlays) {
            let errors = errors.iter().map(ToString::to_string).collect();
            return answer(Result::Invalid, revision, errors);
        }
        let revision = revision + 1;
        let record = AppliedRecord { change_id, digest, revision };
        self.applied.insert(at, record);
        self.source = Some(Source { revision, base, overlays });
        answer(Result::Accepted, revision, Vec::new())
    }

    /// Stores a plan if its version is higher than that of the current plan.
    ///
    /// A plan whose version is not higher has no effect, so a plan that is
    /// sent again or arrives after a newer one is harmless.
    fn put_plan(&mut self, plan: PutPlan) -> PlanOutcome {
        if plan.version > self.plan_version() {
            self.plan = Some(plan);
        }
        PlanOutcome { version: self.plan_version() }
    }

    /// Records the usage of a window.
    ///
    /// The first record of a window is kept; later records of the same window
    /// return the first one.
    fn record_usage(&mut self, usage: RecordUsage) -> UsageOutcome {
        let at = position(&self.usage, &usage.window, |record| &record.window);
        let recorded = match at {
            Ok(at) => self.usage[at].clone(),
            Err(at) => {
                self.usage.insert(at, usage.clone());
                let excess =
                    self.usage.len().saturating_sub(MAX_USAGE_WINDOWS);
                self.usage.drain(..excess);
                usage
            }
        };
        UsageOutcome { recorded: Some(recorded) }
    }

    // ---- Roll-outs --------------------------------------------------------

    fn change_rollout(&mut self, change: ChangeRollout) -> RolloutOutcome {
        use rollout_outcome::Result;
        let (result, record) = match RolloutAction::of(change.action) {
            Some(RolloutAction::Start) => self.start_rollout(&change),
            Some(action) => self.advance_rollout(action, &change),
            None => (Result::Outdated, None),
        };
        let version = self.rollouts.version;
        RolloutOutcome { result: result as i32, version, record }
    }

    /// Starts a roll-out, unless one of the service runs.
    ///
    /// The same order may arrive again as its answer was lost, also after its
    /// end and after later orders. It is then accepted without effect: a state
    /// never goes back from an end to running.
    fn start_rollout(
        &mut self,
        order: &ChangeRollout,
    ) -> (rollout_outcome::Result, Option<RolloutRecord>) {
        use rollout_outcome::Result;
        let known = || {
            let records = self.rollouts.records.iter();
            records.filter(|record| record.service == order.service)
        };
        let is_same = |record: &&RolloutRecord| {
            record.to == order.to && record.duration_ms == order.duration_ms
        };
        let is_repeat = |record: &&RolloutRecord| {
            let ended_ms = record.ended_ms.max(record.wall_ms);
            let is_late = order.wall_ms >= ended_ms + ROLLOUT_REPEAT_MS;
            is_same(record) && (record.is_running() || !is_late)
        };
        if let Some(record) = known().rev().find(is_repeat) {
            return (Result::Accepted, Some(record.clone()));
        }
        match known().next_back() {
            Some(last) if last.is_running() => {
                return (Result::Conflict, Some(last.clone()));
            }
            Some(last) if last.is_completed() && last.to == order.to => {
                return (Result::CompletedBefore, Some(last.clone()));
            }
            _ => {}
        }
        let excess =
            (known().count() + 1).saturating_sub(MAX_ROLLOUTS_PER_SERVICE);
        let state = &mut self.rollouts;
        state.last_order += 1;
        state.version += 1;
        let record = RolloutRecord {
            service: order.service.clone(),
            to: order.to.clone(),
            order: state.last_order,
            wall_ms: order.wall_ms,
            duration_ms: order.duration_ms,
            ..RolloutRecord::default()
        };
        let mut dropped = 0;
        state.records.retain(|record| {
            let is_old = record.service == order.service && dropped < excess;
            dropped += usize::from(is_old);
            !is_old
        });
        let at = state.records.partition_point(|known| {
            (&known.service, known.order) < (&record.service, record.order)
        });
        state.records.insert(at, record.clone());
        (Result::Accepted, Some(record))
    }

    /// Applies the next step or the end of a roll-out. A decision that arrives
    /// after another end changes nothing.
    fn advance_rollout(
        &mut self,
        action: RolloutAction,
        change: &ChangeRollout,
    ) -> (rollout_outcome::Result, Option<RolloutRecord>) {
        use rollout_outcome::Result;
        let state = &mut self.rollouts;
        let mut records = state.records.iter_mut();
        let Some(record) = records.find(|record| record.order == change.order)
        else {
            return (Result::Outdated, None);
        };
        let is_newer = match action {
            RolloutAction::Step => change.step > record.step,
            _ => true,
        };
        if !record.is_running() || !is_newer {
            return (Result::Outdated, Some(record.clone()));
        }
        match action {
            RolloutAction::Step | RolloutAction::Start => {
                record.step = change.step;
            }
            RolloutAction::Complete | RolloutAction::Revert => {
                record.state = action as u32 - 1;
                record.reason.clone_from(&change.reason);
                record.ended_ms = change.wall_ms.max(record.wall_ms);
            }
        }
        state.version += 1;
        (Result::Accepted, Some(record.clone()))
    }

    // ---- Claims -------------------------------------------------------------

    fn apply_claim(&mut self, at_ms: u64, claim: Claim) -> ClaimOutcome {
        match self.find_claim(&claim.key) {
            Ok(at) if self.claims[at].digest != claim.digest => ClaimOutcome {
                state: claim_outcome::State::Mismatch as i32,
                ..ClaimOutcome::default()
            },
            Ok(at) => describe_claim(&self.claims[at]),
            Err(at) => {
                let owner = claim.owner.clone();
                let record = ClaimRecord {
                    key: claim.key,
                    digest: claim.digest,
                    owner: claim.owner,
                    team: claim.team,
                    at_ms,
                    answer: None,
                };
                self.claims.insert(at, record);
                ClaimOutcome {
                    state: claim_outcome::State::Granted as i32,
                    owner,
                    answer: None,
                }
            }
        }
    }

    fn settle(&mut self, settle: Settle) -> ClaimOutcome {
        let at = match self.find_claim(&settle.key) {
            Ok(at) if self.claims[at].owner == settle.owner => at,
            _ => return self.claim(&settle.key),
        };
        let record = &mut self.claims[at];
        if settle.released {
            // A release after an answer is a late retransmission by the
            // owner; the answer is kept.
            if record.answer.is_none() {
                self.claims.remove(at);
            }
            return self.claim(&settle.key);
        }
        let known = record.answer.as_ref().map_or(0, |old| old.verdict);
        let new = settle.answer.map(truncate_answer);
        // A verdict only gets more certain: "ran" replaces "may have run",
        // which an owner records when an endpoint does not answer, and never
        // the reverse.
        if record.answer.is_none()
            || new.as_ref().is_some_and(|new| new.verdict > known)
        {
            record.answer = new;
        }
        self.claim(&settle.key)
    }

    fn find_claim(&self, key: &str) -> Result<usize, usize> {
        position(&self.claims, key, |record| record.key.as_str())
    }

    // ---- Fleet ----------------------------------------------------------------

    fn announce(&mut self, at_ms: u64, endpoint: Endpoint) -> EndpointOutcome {
        let known = self.find_endpoint(&endpoint.id);
        if let Ok(at) = known {
            let record = &self.endpoints[at];
            let old = record
                .endpoint
                .as_ref()
                .map_or(0, |endpoint| endpoint.incarnation);
            // A late heartbeat of an endpoint that announced its departure
            // must not re-register it: the endpoint would drop the requests
            // sent to it.
            if old == endpoint.incarnation && record.leaving {
                return endpoint_outcome(endpoint_outcome::Result::Departed);
            }
            if !record.departed && record.endpoint.as_ref() == Some(&endpoint)
            {
                return endpoint_outcome(endpoint_outcome::Result::Ok);
            }
        }
        self.fleet_version += 1;
        let record = EndpointRecord {
            endpoint: Some(endpoint),
            departed: false,
            leaving: false,
            at_ms,
            within_ms: 0,
        };
        upsert(&mut self.endpoints, record, endpoint_id);
        endpoint_outcome(endpoint_outcome::Result::Ok)
    }

    fn depart(&mut self, at_ms: u64, depart: Depart) -> EndpointOutcome {
        let Ok(at) = self.find_endpoint(&depart.id) else {
            return endpoint_outcome(endpoint_outcome::Result::Unknown);
        };
        let record = &mut self.endpoints[at];
        let same = record
            .endpoint
            .as_ref()
            .is_some_and(|known| known.incarnation == depart.incarnation);
        if !same {
            return endpoint_outcome(endpoint_outcome::Result::Unknown);
        }
        if !record.departed {
            self.fleet_version += 1;
        }
        record.departed = true;
        record.leaving |= depart.leaving;
        record.within_ms = depart.within_ms;
        record.at_ms = at_ms;
        endpoint_outcome(endpoint_outcome::Result::Ok)
    }

    fn issue_order(&mut self, term: u64, order: IssueOrder) -> OrderOutcome {
        self.order_sequence += 1;
        let sequence = self.order_sequence;
        let record = OrderRecord { sequence, term, order: Some(order) };
        upsert(&mut self.orders, record, |record| {
            record.order.as_ref().map_or("", |order| &order.endpoint)
        });
        OrderOutcome { sequence }
    }

    fn find_endpoint(&self, id: &str) -> Result<usize, usize> {
        position(&self.endpoints, id, endpoint_id)
    }

    // ---- Retention ------------------------------------------------------------

    /// Removes records past their retention period, at most once per minute
    /// of the time in the log.
    fn prune(&mut self, now: u64) {
        if now < self.pruned_at + 60_000 {
            return;
        }
        self.pruned_at = now;
        self.claims.retain(|record| now < record.at_ms + CLAIM_RETENTION_MS);
        self.endpoints.retain(|record| {
            !record.departed || now < record.at_ms + DEPARTED_RETENTION_MS
        });
    }
}

fn endpoint_id(record: &EndpointRecord) -> &str {
    record.endpoint.as_ref().map_or("", |endpoint| &endpoint.id)
}

fn endpoint_outcome(result: endpoint_outcome::Result) -> EndpointOutcome {
    EndpointOutcome { result: result as i32 }
}

fn describe_claim(record: &ClaimRecord) -> ClaimOutcome {
    let state = match record.answer {
        Some(_) => claim_outcome::State::Settled,
        None => claim_outcome::State::Held,
    };
    ClaimOutcome {
        state: state as i32,
        owner: record.owner.clone(),
        answer: record.answer.clone(),
    }
}

fn truncate_answer(mut answer: Answer) -> Answer {
    if answer.body.len() > MAX_ANSWER_BYTES {
        answer.body.clear();
        answer.truncated = true;
    }
    answer
}

/// Returns a digest of the files of a change, independent of their order.
fn content_digest(apply: &ApplyConfig) -> Vec<u8> {
    let mut overlays: Vec<&SourceFile> = apply.overlays.iter().collect();
    overlays.sort_by(|left, right| left.name.cmp(&right.name));
    let mut hasher = Sha256::new();
    for file in apply.base.iter().chain(overlays) {
        hasher.update((file.name.len() as u64).to_le_bytes());
        hasher.update(&file.name);
        hasher.update((file.text.len() as u64).to_le_bytes());
        hasher.update(&file.text);
    }
    hasher.finalize().to_vec()
}
