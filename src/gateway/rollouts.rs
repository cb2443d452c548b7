//! Roll-outs at a node: the state that the node obeys, what it sends to the
//! new version, and the evidence of all nodes.
//!
//! The state is in the replicated log. A node obeys the newest state that it
//! has learnt of, and knows since when no leader can have had a newer one:
//! the leader confirms the state by its leadership, and nodes pass on the age
//! of that confirmation. A node whose confirmation is too old sends nothing to
//! the new version.
//!
//! Nodes send each other their counts as totals since they learnt of the
//! order, by their incarnation, so that a total that arrives twice or late
//! counts once. Nodes with a disk keep the totals of all nodes and judge them,
//! as each may become the leader. Every node judges its own counts too.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tracing::info;

use super::{Gateway, plan::Plan};
use crate::{
    control::ledger::RolloutAction,
    decide::rollout::{
        self, Action, Bounds, LAST_STEP, Progress,
        evidence::{INTERVALS, Key, MAX_TALLIES, Sample, Tallies, Tally},
        exposure::Exposure,
        judge::{Sequential, Verdict},
    },
    metrics::Service,
    util::{name_hash, wall_ms},
    wire::{self, ChangeRollout, Evidence, Peer, RolloutRecord, RolloutState},
};

/// Time after a completed roll-out for which the old versions get no request,
/// in ms. Their replicas stop at once, and heartbeats end up to some seconds
/// later.
const COMPLETED_MOVE_MS: u64 = 15_000;
/// Maximum time after its start for which a node sends nothing to a service
/// with several software versions because it does not know the roll-outs, in
/// ms. A leader is elected by then.
const MAX_UNKNOWN_MS: u64 = 3000;
/// Time by which a process must be older than an order to have known the state
/// before it, in ms.
const MIN_AGE_AT_ORDER_MS: u64 = 500;
/// Maximum number of nodes whose totals are kept.
const MAX_NODES: usize = 1024;
/// Minimum time for which a leader leads before it completes a roll-out, in
/// ms: it has heard of all nodes by then.
const MIN_LEADING_MS: u64 = 1500;
/// Slots of the new version that are room enough, as a part of the slots of
/// the old one.
const MIN_SLOT_SHARE: f32 = 0.7;
/// Slots of the new version that are room enough, as a multiple of the
/// requests in flight.
const MIN_SLOTS_PER_REQUEST: f32 = 1.1;
/// Time after a roll-out for which no replicas are ordered, in ms: until those
/// that stop count no more.
const SCALING_PAUSE_MS: u64 = 10_000;
/// Interval between two log lines of a judgement that has not changed, in ms.
const JUDGEMENT_LOG_INTERVAL_MS: u64 = 1000;

/// The roll-outs at a node.
#[derive(Debug)]
pub(super) struct Rollouts {
    /// `None` where there are no roll-outs.
    bounds: Option<Bounds>,
    /// Version of the state plus one; 0 while the state is not known.
    known: AtomicU64,
    /// Whether there is any roll-out to obey.
    is_active: AtomicBool,
    /// Whether this node keeps the totals of all nodes.
    keeps_evidence: AtomicBool,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Arc<RolloutState>,
    /// When the state was last known to be the newest, in ms.
    fresh_at: Option<u64>,
    /// The newest roll-out of each service, while there is anything to obey.
    trials: Vec<Trial>,
}

/// A roll-out that this node obeys.
#[derive(Debug)]
struct Trial {
    record: RolloutRecord,
    /// Hash of the new version.
    to: u64,
    /// When this node learnt of the step or of the end, in ms.
    changed_at: u64,
    exposure: Exposure,
    own: Tallies,
    own_judge: Sequential,
    /// Whether the own counts show that the version is bad.
    holds_back: bool,
    /// Totals of the other nodes, by incarnation.
    nodes: Vec<NodeTotals>,
    judge: Sequential,
    verdict: Verdict,
    logged_at: u64,
}

#[derive(Debug)]
struct NodeTotals {
    incarnation: u64,
    ip: u32,
    /// Counter of the node's reports.
    beat: u64,
    heard_at: u64,
    evidence: Evidence,
    tallies: Vec<Tally>,
}

/// What a roll-out demands of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Guide {
    /// Nothing.
    Free,
    /// It is not known yet what to obey.
    Wait,
    /// No replica with this version.
    Avoid(u64),
    /// This version, for which the attempt has been counted, or another one if
    /// its replicas take no request.
    Try(u64),
    /// Only this version.
    Move(u64),
}

/// How the replicas of a service are counted for orders of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scaling {
    /// All of them.
    All,
    /// Those with other software versions than this one. None of either may be
    /// released.
    OnTrial(String),
    /// Those with other software versions than this one.
    Without(String),
    /// Not at all, as replicas stop or drain after a roll-out.
    Paused,
}

impl Rollouts {
    pub fn open(bounds: Option<Bounds>) -> Rollouts {
        Rollouts {
            bounds,
            known: AtomicU64::new(0),
            is_active: AtomicBool::new(false),
            keeps_evidence: AtomicBool::new(false),
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Inner {
    fn trial(&mut self, service: &str) -> Option<&mut Trial> {
        self.trials.iter_mut().find(|trial| trial.record.service == service)
    }

    fn is_fresh(&self, now: u64, bounds: &Bounds) -> bool {
        self.fresh_at.is_some_and(|at| now < at + bounds.hold_ms())
    }
}

impl Trial {
    fn open(
        record: &RolloutRecord,
        bounds: Bounds,
        entries: Option<usize>,
        now: u64,
    ) -> Trial {
        let rounding = rand::random_range(0.0..1.0);
        let mut exposure = Exposure::open(bounds, entries, rounding);
        exposure.set_step(record.step);
        Trial {
            record: record.clone(),
            to: name_hash(&record.to),
            changed_at: now,
            exposure,
            own: Tallies::default(),
            own_judge: Sequential::default(),
            holds_back: false,
            nodes: Vec::new(),
            judge: Sequential::default(),
            verdict: Verdict::Open,
            logged_at: 0,
        }
    }

    /// Returns true while there is anything to obey.
    fn matters(&self, now: u64) -> bool {
        !self.record.is_completed()
            || now < self.changed_at + COMPLETED_MOVE_MS
    }

    fn is_last_step(&self) -> bool {
        self.record.step >= LAST_STEP
    }

    /// Returns the sums over all nodes.
    fn sums(&self) -> Tallies {
        let mut sums = self.own.clone();
        for tally in self.nodes.iter().flat_map(|node| &node.tallies) {
            sums.add(tally);
        }
        sums
    }

    fn receive(&mut self, from: &Peer, now: u64, evidence: &Evidence) {
        let incarnation = from.incarnation;
        let known =
            self.nodes.iter().position(|node| node.incarnation == incarnation);
        match known {
            Some(at) if self.nodes[at].beat >= from.beat => return,
            Some(at) => drop(self.nodes.swap_remove(at)),
            None if self.nodes.len() >= MAX_NODES => return,
            None => {}
        }
        let tallies = evidence.tallies.iter().take(MAX_TALLIES);
        self.nodes.push(NodeTotals {
            incarnation,
            ip: from.ip,
            beat: from.beat,
            heard_at: now,
            tallies: tallies.map(from_wire).collect(),
            evidence: Evidence { tallies: Vec::new(), ..evidence.clone() },
        });
    }
}

impl Gateway {
    /// Returns true where there are roll-outs.
    pub fn has_rollouts(&self) -> bool {
        self.rollouts.bounds.is_some()
    }

    /// Makes this node keep the totals of all nodes.
    pub fn keep_rollout_evidence(&self) {
        self.rollouts.keeps_evidence.store(true, Ordering::Relaxed);
    }

    /// Returns the version of the state that this node obeys, plus one; 0
    /// while it does not know the state.
    pub fn known_rollouts(&self) -> u64 {
        self.rollouts.known.load(Ordering::Relaxed)
    }

    /// Returns the time of day by the median of the nodes' clocks, in ms.
    pub fn rollout_wall_ms(&self) -> u64 {
        match self.mesh.get() {
            Some(mesh) => self.corrected_wall_ms(&mesh.table()),
            None => wall_ms(),
        }
    }

    /// Returns the state that this node obeys.
    pub fn rollout_state(&self) -> Arc<RolloutState> {
        self.rollouts.lock().state.clone()
    }

    /// Obeys a state from now on, if it is newer. Returns true if it is.
    pub fn adopt_rollouts(&self, state: Arc<RolloutState>) -> bool {
        let Some(bounds) = self.rollouts.bounds else { return false };
        if state.version <= self.rollout_state().version {
            return false;
        }
        let now = self.timer.now();
        let wall = self.rollout_wall_ms();
        let entries = match self.mesh.get() {
            Some(mesh) => self.retry_entries(now, &mesh.table()),
            None => Some(1),
        };
        let mut inner = self.rollouts.lock();
        if state.version <= inner.state.version {
            return false;
        }
        for record in &state.records {
            if state.newest(&record.service) != Some(record) {
                continue;
            }
            if inner.state.newest(&record.service) != Some(record) {
                info!(
                    target: "rollout",
                    service = record.service,
                    to = record.to,
                    order = record.order,
                    state = record.state_name(),
                    step = record.step,
                    reason = record.reason,
                    version = state.version,
                    "State of a roll-out changed."
                );
            }
            let known = inner.trial(&record.service);
            match known {
                Some(trial) if trial.record == *record => {}
                Some(trial) if trial.record.order == record.order => {
                    trial.exposure.set_step(record.step);
                    trial.changed_at = now;
                    trial.record = record.clone();
                }
                _ => {
                    // A process that started after the order does not know
                    // what the one before has used of its part.
                    let age_at_order = now
                        .saturating_sub(wall.saturating_sub(record.wall_ms));
                    let was_there = age_at_order >= MIN_AGE_AT_ORDER_MS;
                    let entries = entries.filter(|_| was_there);
                    let trial = Trial::open(record, bounds, entries, now);
                    let service = &record.service;
                    inner.trials.retain(|old| old.record.service != *service);
                    inner.trials.push(trial);
                }
            }
            let label = Service { service: record.service.clone() };
            let metric = self.metrics.rollout_state.get_or_create(&label);
            metric.set(i64::from(record.state));
            let metric = self.metrics.rollout_step.get_or_create(&label);
            metric.set(i64::from(record.step));
        }
        inner.trials.retain(|trial| trial.matters(now));
        let is_active = !inner.trials.is_empty();
        inner.state = state;
        let known = inner.state.version + 1;
        self.rollouts.is_active.store(is_active, Ordering::Relaxed);
        if self.known_rollouts() > 0 {
            self.rollouts.known.store(known, Ordering::Relaxed);
        }
        true
    }

    /// Records that no leader had a newer state than `version` at `at`.
    /// Returns true if this node has not known the state until now.
    pub fn confirm_rollouts(&self, version: u64, at: u64) -> bool {
        let mut inner = self.rollouts.lock();
        if !self.has_rollouts() || inner.state.version != version {
            return false;
        }
        inner.fresh_at = inner.fresh_at.max(Some(at));
        let before = self.rollouts.known.swap(version + 1, Ordering::Relaxed);
        before == 0
    }

    /// Returns how the replicas of a service are counted for orders of
    /// replicas.
    pub fn rollout_scaling(&self, service: &str) -> Scaling {
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return Scaling::All;
        }
        let now = self.timer.now();
        let mut inner = self.rollouts.lock();
        let Some(trial) = inner.trial(service) else { return Scaling::All };
        match trial.record.is_running() {
            true => Scaling::OnTrial(trial.record.to.clone()),
            false if now < trial.changed_at + SCALING_PAUSE_MS => {
                Scaling::Paused
            }
            false if trial.record.is_completed() => Scaling::All,
            false => Scaling::Without(trial.record.to.clone()),
        }
    }

    // ---- Attempts -----------------------------------------------------------

    /// Returns what a roll-out demands of an attempt on a route. With
    /// [`Guide::Try`], the attempt has been counted as sent to the new
    /// version.
    pub(super) fn guide(
        &self,
        service: &str,
        route: &str,
        may_try: bool,
    ) -> Guide {
        let Some(bounds) = self.rollouts.bounds else { return Guide::Free };
        let is_active = self.rollouts.is_active.load(Ordering::Relaxed);
        let is_known = self.known_rollouts() > 0;
        if !is_active && is_known {
            return Guide::Free;
        }
        let now = self.timer.now();
        if !is_active {
            let waits = now < MAX_UNKNOWN_MS
                && self.fleet().has_several_versions(service);
            return if waits { Guide::Wait } else { Guide::Free };
        }
        let mut inner = self.rollouts.lock();
        let is_fresh = inner.is_fresh(now, &bounds);
        let Some(trial) = inner.trial(service) else { return Guide::Free };
        let to = trial.to;
        if !trial.record.is_running() {
            return match trial.record.is_completed() {
                true if trial.matters(now) => Guide::Move(to),
                true => Guide::Free,
                false => Guide::Avoid(to),
            };
        }
        if !is_fresh || trial.holds_back {
            return Guide::Avoid(to);
        }
        if trial.is_last_step() {
            return Guide::Move(to);
        }
        let route = name_hash(route);
        if may_try && trial.exposure.allows(route) {
            trial.exposure.record(route, true);
            return Guide::Try(to);
        }
        Guide::Avoid(to)
    }

    /// Counts an attempt that is about to be sent.
    pub(super) fn record_exposure(
        &self,
        service: &str,
        route: &str,
        version: &str,
    ) {
        self.change_exposure(service, |trial| {
            let is_new = trial.record.to == version;
            trial.exposure.record(name_hash(route), is_new);
        });
    }

    /// Takes back an attempt that was counted and not sent.
    pub(super) fn return_exposure(
        &self,
        service: &str,
        route: &str,
        version: &str,
    ) {
        self.change_exposure(service, |trial| {
            let is_new = trial.record.to == version;
            trial.exposure.take_back(name_hash(route), is_new);
        });
    }

    /// Takes back an attempt that was counted as sent to the new version.
    pub(super) fn return_try(&self, service: &str, route: &str) {
        self.change_exposure(service, |trial| {
            trial.exposure.take_back(name_hash(route), true);
        });
    }

    fn change_exposure(&self, service: &str, change: impl FnOnce(&mut Trial)) {
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return;
        }
        if let Some(trial) = self.rollouts.lock().trial(service) {
            change(trial);
        }
    }

    /// Returns whether a version is the new one of a roll-out that runs, and
    /// the order and its step; `None` if none of the service runs.
    pub(super) fn running_rollout(
        &self,
        service: &str,
        version: &str,
    ) -> Option<(u64, u32, bool)> {
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return None;
        }
        let mut inner = self.rollouts.lock();
        let record = &inner.trial(service)?.record;
        let is_new = record.to == version;
        record.is_running().then_some((record.order, record.step, is_new))
    }

    /// Returns true if a version is on trial, or was reverted. Crashes of its
    /// replicas are no sign of a bad request.
    pub(super) fn is_version_on_trial(
        &self,
        service: &str,
        version: &str,
    ) -> bool {
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return false;
        }
        let mut inner = self.rollouts.lock();
        inner.trial(service).is_some_and(|trial| {
            trial.record.to == version && !trial.record.is_completed()
        })
    }

    /// Counts the end of an attempt that began under an order.
    pub(super) fn record_rollout_sample(
        &self,
        service: &str,
        order: u64,
        sample: &Sample,
    ) {
        self.change_exposure(service, |trial| {
            if trial.record.order == order && trial.record.is_running() {
                trial.own.record(sample);
            }
        });
    }

    /// Replaces the hashes of routes in a text for operators by their names.
    fn name_routes(&self, text: String) -> String {
        let plan = self.plan.read();
        let routes = plan.as_ref().as_ref().map_or(&[][..], Plan::routes);
        routes.iter().fold(text, |text, route| {
            let hash = format!("{:016x}", name_hash(&route.name));
            text.replace(&hash, &route.name)
        })
    }

    // ---- Evidence -----------------------------------------------------------

    /// Returns this node's report for the other nodes while a roll-out runs.
    pub(super) fn rollout_report(&self) -> Option<wire::RolloutReport> {
        let bounds = self.rollouts.bounds?;
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return None;
        }
        let now = self.timer.now();
        let in_flight = self.old_in_flight();
        let inner = self.rollouts.lock();
        let is_fresh = inner.is_fresh(now, &bounds);
        let running =
            inner.trials.iter().filter(|trial| trial.record.is_running());
        let evidence: Vec<Evidence> = running
            .map(|trial| {
                let (sent, exposed) = trial.exposure.totals();
                let order = trial.record.order;
                let found =
                    in_flight.iter().find(|(known, _)| *known == order);
                Evidence {
                    order,
                    step: trial.record.step,
                    holds_back: trial.holds_back || !is_fresh,
                    old_in_flight: found.map_or(u32::MAX, |(_, count)| *count),
                    tallies: trial.own.iter().map(to_wire).collect(),
                    sent,
                    exposed,
                }
            })
            .collect();
        if evidence.is_empty() {
            return None;
        }
        let age_ms = match inner.fresh_at {
            Some(at) => now.saturating_sub(at) as u32,
            None => u32::MAX,
        };
        let version = inner.state.version + 1;
        Some(wire::RolloutReport { version, age_ms, evidence })
    }

    /// Returns this node's requests in flight at other versions, by order.
    fn old_in_flight(&self) -> Vec<(u64, u32)> {
        let running: Vec<(u64, String, u64)> = {
            let inner = self.rollouts.lock();
            let trials = inner.trials.iter();
            let running = trials.filter(|trial| trial.record.is_running());
            let key = |trial: &Trial| {
                let service = trial.record.service.clone();
                (trial.record.order, service, trial.to)
            };
            running.map(key).collect()
        };
        let mut fleet = self.fleet();
        running
            .into_iter()
            .map(|(order, service, to)| {
                (order, fleet.in_flight_except(&service, to))
            })
            .collect()
    }

    /// Receives another node's report.
    pub fn receive_rollout_report(
        &self,
        from: &Peer,
        report: &wire::RolloutReport,
    ) {
        let now = self.timer.now();
        if report.age_ms != u32::MAX {
            let at = now.saturating_sub(report.age_ms.into());
            self.confirm_rollouts(report.version.saturating_sub(1), at);
        }
        if !self.rollouts.keeps_evidence.load(Ordering::Relaxed) {
            return;
        }
        let mut inner = self.rollouts.lock();
        for evidence in &report.evidence {
            let mut trials = inner.trials.iter_mut();
            let trial =
                trials.find(|trial| trial.record.order == evidence.order);
            if let Some(trial) = trial {
                trial.receive(from, now, evidence);
            }
        }
    }

    /// Judges the versions on trial.
    pub fn judge_rollouts(&self) {
        let now = self.timer.now();
        let keeps_evidence =
            self.rollouts.keeps_evidence.load(Ordering::Relaxed);
        let mut inner = self.rollouts.lock();
        let Inner { trials, fresh_at, .. } = &mut *inner;
        let state_age_ms = fresh_at.map(|at| now.saturating_sub(at));
        trials.retain(|trial| trial.matters(now));
        let is_active = !trials.is_empty();
        self.rollouts.is_active.store(is_active, Ordering::Relaxed);
        let running =
            trials.iter_mut().filter(|trial| trial.record.is_running());
        for trial in running {
            let (sent, exposed) = trial.exposure.totals();
            let label = Service { service: trial.record.service.clone() };
            let metrics = &self.metrics;
            let metric = metrics.rollout_sent.get_or_create(&label);
            metric.set(sent as i64);
            let metric = metrics.rollout_exposed.get_or_create(&label);
            metric.set(exposed as i64);
            let own = trial.own_judge.judge(&trial.own);
            if let (Verdict::Bad(finding), false) = (&own, trial.holds_back) {
                trial.holds_back = true;
                let finding = self.name_routes(finding.to_string());
                info!(
                    target: "rollout",
                    service = trial.record.service,
                    to = trial.record.to,
                    order = trial.record.order,
                    state_age_ms,
                    "Node holds the version back by its own evidence: \
                     {finding}."
                );
            }
            if !keeps_evidence {
                continue;
            }
            let verdict = trial.judge.judge(&trial.sums());
            let has_changed = verdict != trial.verdict;
            let is_due = now >= trial.logged_at + JUDGEMENT_LOG_INTERVAL_MS;
            trial.verdict = verdict;
            if has_changed || is_due {
                trial.logged_at = now;
                log_judgement(trial, now, state_age_ms);
            }
        }
    }

    /// Returns what a leader does next with the roll-outs that run.
    pub fn rollout_actions(&self, leading_ms: u64) -> Vec<ChangeRollout> {
        let Some(bounds) = self.rollouts.bounds else { return Vec::new() };
        if !self.rollouts.is_active.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let now = self.timer.now();
        let wall = self.rollout_wall_ms();
        let in_flight = self.old_in_flight();
        let peers = self.peers_to_move(now, &bounds);
        let mut changes = Vec::new();
        let rooms = self.rooms();
        let inner = self.rollouts.lock();
        let is_fresh = inner.is_fresh(now, &bounds);
        let running =
            inner.trials.iter().filter(|trial| trial.record.is_running());
        for trial in running {
            let record = &trial.record;
            let own =
                in_flight.iter().find(|(order, _)| *order == record.order);
            let is_moved = trial.is_last_step()
                && leading_ms >= MIN_LEADING_MS
                && is_fresh
                && !trial.holds_back
                && own.is_some_and(|(_, count)| *count == 0)
                && peers
                    .iter()
                    .all(|peer| trial.has_moved(peer, now, &bounds));
            let has_room = rooms
                .iter()
                .any(|(order, has_room)| *order == record.order && *has_room);
            let progress = Progress {
                elapsed_ms: wall.saturating_sub(record.wall_ms),
                duration_ms: record.duration_ms,
                step: record.step,
                step_ms: now.saturating_sub(trial.changed_at),
                verdict: trial.verdict.clone(),
                has_room,
                is_moved,
            };
            let (action, step, reason) = match rollout::next(&progress) {
                Some(Action::Step(step)) => {
                    (RolloutAction::Step, step, String::new())
                }
                Some(Action::Complete) => {
                    (RolloutAction::Complete, record.step, String::new())
                }
                Some(Action::Revert(reason)) => {
                    let reason = self.name_routes(reason);
                    (RolloutAction::Revert, record.step, reason)
                }
                None => continue,
            };
            log_judgement(
                trial,
                now,
                inner.fresh_at.map(|at| now - at.min(now)),
            );
            changes.push(ChangeRollout {
                service: record.service.clone(),
                action: action as u32,
                to: record.to.clone(),
                order: record.order,
                step,
                reason,
                ..ChangeRollout::default()
            });
        }
        changes
    }

    /// Returns the nodes that may send requests: address, incarnation, and
    /// when they were last heard. A node that was silent for the time in which
    /// nodes stop sending to a new version is not in contact.
    fn peers_to_move(&self, now: u64, bounds: &Bounds) -> Vec<Peer> {
        let Some(mesh) = self.mesh.get() else { return Vec::new() };
        let table = mesh.table();
        let nodes = table.nodes().iter();
        let heard =
            nodes.filter(|node| now < node.heard_at + bounds.rollback_ms);
        heard.map(|node| node.peer.clone()).collect()
    }

    /// Returns whether the new version of each order has room for all
    /// requests.
    fn rooms(&self) -> Vec<(u64, bool)> {
        let orders: Vec<(u64, String, u64)> = {
            let inner = self.rollouts.lock();
            let key = |trial: &Trial| {
                let service = trial.record.service.clone();
                (trial.record.order, service, trial.to)
            };
            inner.trials.iter().map(key).collect()
        };
        let mut fleet = self.fleet();
        let mut rooms = Vec::new();
        for (order, service, to) in orders {
            let (new, old, load) = fleet.slots_by_version(&service, to);
            let new = new as f32;
            let has_room = new > 0.0
                && (new >= MIN_SLOT_SHARE * old as f32
                    || new >= MIN_SLOTS_PER_REQUEST * load);
            rooms.push((order, has_room));
        }
        rooms
    }
}

impl Trial {
    /// Returns true if a node has said that it sends nothing to other versions
    /// and has no request there.
    fn has_moved(&self, peer: &Peer, now: u64, bounds: &Bounds) -> bool {
        let mut nodes = self.nodes.iter();
        let totals = nodes.find(|node| node.incarnation == peer.incarnation);
        totals.is_some_and(|node| {
            node.ip == peer.ip
                && now < node.heard_at + bounds.rollback_ms
                && node.evidence.step >= LAST_STEP
                && !node.evidence.holds_back
                && node.evidence.old_in_flight == 0
        })
    }
}

fn log_judgement(trial: &Trial, now: u64, state_age_ms: Option<u64>) {
    let [failures, breaks, late, long] = trial.judge.findings();
    let ages = trial.nodes.iter().map(|node| now - node.heard_at.min(now));
    let oldest = trial.nodes.iter().max_by_key(|node| now - node.heard_at);
    let holding =
        trial.nodes.iter().filter(|node| node.evidence.holds_back).count();
    let sent: u64 = trial.nodes.iter().map(|node| node.evidence.sent).sum();
    let exposed: u64 =
        trial.nodes.iter().map(|node| node.evidence.exposed).sum();
    let own = trial.exposure.totals();
    info!(
        target: "rollout",
        service = trial.record.service,
        to = trial.record.to,
        order = trial.record.order,
        step = trial.record.step,
        verdict = trial.verdict.as_str(),
        score = trial.judge.highest(),
        %failures, %breaks, %late, %long,
        sent = sent + own.0,
        exposed = exposed + own.1,
        nodes = trial.nodes.len() + 1,
        holding,
        oldest_ms = ages.max(),
        oldest = ?oldest.map(|node| Ipv4Addr::from(node.ip)),
        state_age_ms,
        "Judged a version."
    );
}

fn to_wire(tally: &Tally) -> wire::Tally {
    let times = &tally.times;
    let first = times.iter().position(|count| *count > 0).unwrap_or(0);
    let end =
        times.iter().rposition(|count| *count > 0).map_or(0, |at| at + 1);
    wire::Tally {
        route: tally.key.route,
        step: tally.key.step,
        is_new: tally.key.is_new,
        class: tally.key.class,
        answers: tally.answers,
        failures: tally.failures,
        breaks: tally.breaks,
        first: first as u32,
        times: times[first.min(end)..end].to_vec(),
    }
}

fn from_wire(says: &wire::Tally) -> Tally {
    let mut times = [0; INTERVALS];
    let first = says.first as usize;
    for (time, count) in times.iter_mut().skip(first).zip(&says.times) {
        *time = *count;
    }
    Tally {
        key: Key {
            route: says.route,
            is_new: says.is_new,
            class: says.class,
            step: says.step,
        },
        answers: says.answers,
        failures: says.failures,
        breaks: says.breaks,
        times,
    }
}
