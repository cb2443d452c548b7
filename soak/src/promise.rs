//! The guarantees of the nodes, checked against what callers, replicas and the
//! platform's API observe.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::Value;

use crate::fatal::Fatal;

/// Lease of a duty. Within it, two holders must not alternate.
const LEASE_DURATION: Duration = Duration::from_millis(3000);
/// Time after a thaw or a healed link in which calls that were sent before may
/// still arrive.
const LATE_CALL_GRACE: Duration = Duration::from_millis(500);

/// The kinds of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Again,
    /// May run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that another replica may resume.
    Resume,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] =
        [Kind::Again, Kind::Once, Kind::Stream, Kind::Resume];

    /// Returns the prefix of the request's path.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Again => "/again/",
            Kind::Once => "/once/",
            Kind::Stream => "/stream/",
            Kind::Resume => "/resume/",
        }
    }

    /// Returns true if a second run is a breach.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Once | Kind::Stream)
    }
}

#[derive(Debug)]
struct Call {
    holder: String,
    fence: u64,
    at: Instant,
    content: Value,
}

#[derive(Debug, Default)]
struct State {
    breaches: Vec<String>,
    /// Number of runs of each request that may run once.
    runs: BTreeMap<String, u32>,
    /// Requests whose callers were told that they did not run.
    not_run: BTreeSet<String>,
    /// Accepted calls by duty and subject.
    calls: BTreeMap<String, Vec<Call>>,
    excused_until: Option<Instant>,
    /// What crashed a replica, for each crash under a fatal request.
    fatal_crashes: Vec<Fatal>,
    counts: Counts,
    /// Newest configuration version sent, and when each was acknowledged.
    sent: u64,
    acknowledged: Vec<(u64, Instant)>,
}

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests with a complete answer of a replica.
    pub served: u64,
    /// Requests whose callers were told that they did not run.
    pub refused: u64,
    /// All other requests.
    pub failed: u64,
}

/// Everything observed in one run.
#[derive(Debug)]
pub struct Ledger {
    state: Mutex<State>,
    latency: Mutex<Histogram<u64>>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn open() -> Ledger {
        let latency = Histogram::new_with_max(60_000, 2);
        let latency = latency.expect("the bounds are constants");
        Ledger { state: Mutex::default(), latency: Mutex::new(latency) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Records and prints the breach of a guarantee.
    pub fn record_breach(&self, text: String) {
        eprintln!("BREACH {text}");
        self.state().breaches.push(text);
    }

    /// Records that a replica starts to run a request.
    pub fn record_run(&self, kind: Kind, id: &str) {
        if !kind.runs_once() {
            return;
        }
        let runs = *self
            .state()
            .runs
            .entry(id.to_owned())
            .and_modify(|runs| *runs += 1)
            .or_insert(1);
        if runs > 1 {
            self.record_breach(format!("{kind:?} {id} ran {runs} times"));
        }
    }

    /// Records that a fatal request crashes a replica.
    pub fn record_fatal_crash(&self, fatal: Fatal) {
        self.state().fatal_crashes.push(fatal);
    }

    /// Returns the number of replicas that fatal requests have crashed.
    pub fn fatal_crashes(&self, fatal: Fatal) -> u32 {
        let state = self.state();
        let crashes = state.fatal_crashes.iter();
        crashes.filter(|one| **one == fatal).count() as u32
    }

    /// Records that a caller received its answer after `took`.
    pub fn record_served(&self, took: Duration) {
        self.state().counts.served += 1;
        let mut latency =
            self.latency.lock().unwrap_or_else(|held| held.into_inner());
        latency.saturating_record(took.as_millis() as u64);
    }

    /// Records that a caller was told that its request did not run.
    pub fn record_refused(&self, kind: Kind, id: &str) {
        let mut state = self.state();
        state.counts.refused += 1;
        if kind.runs_once() {
            state.not_run.insert(id.to_owned());
        }
    }

    /// Records that a caller received no answer.
    pub fn record_failed(&self) {
        self.state().counts.failed += 1;
    }

    /// Permits late calls for a short time, because a link has healed or a
    /// process was thawed.
    pub fn permit_late_calls(&self) {
        self.state().excused_until = Some(Instant::now() + LATE_CALL_GRACE);
    }

    /// Checks and records a call that the platform's API accepts.
    pub fn check_duty_call(
        &self,
        subject: &str,
        holder: &str,
        fence: u64,
        content: Value,
    ) {
        let at = Instant::now();
        let mut state = self.state();
        let excused = state.excused_until.is_some_and(|until| at < until);
        let calls = state.calls.entry(subject.to_owned()).or_default();
        let mut wrong = Vec::new();
        for call in calls.iter() {
            if call.fence == fence && call.holder != holder {
                wrong.push(format!(
                    "{} also holds fencing token {fence}",
                    call.holder
                ));
            }
            if call.fence > fence && !excused {
                wrong.push(format!(
                    "fencing token {fence} after {}",
                    call.fence
                ));
            }
            if content != Value::Null && call.content != content {
                wrong.push(format!("{content} after {}", call.content));
            }
        }
        let since = calls.iter().filter(|call| at < call.at + LEASE_DURATION);
        let mut others = since.skip_while(|call| call.holder != holder);
        if others.any(|call| call.holder != holder) && !excused {
            wrong.push("holders alternate within a lease".to_owned());
        }
        calls.push(Call { holder: holder.to_owned(), fence, at, content });
        drop(state);
        wrong.dedup();
        for wrong in wrong {
            self.record_breach(format!("{subject}, {holder}: {wrong}"));
        }
    }

    /// Records that an operator sends a configuration.
    pub fn record_sent(&self, version: u64) {
        let mut state = self.state();
        state.sent = state.sent.max(version);
    }

    /// Records that a configuration was acknowledged.
    pub fn record_acknowledged(&self, version: u64) {
        self.state().acknowledged.push((version, Instant::now()));
    }

    /// Returns the newest version acknowledged at least `limit` ago, or 0.
    pub fn newest_acknowledged(&self, limit: Duration) -> u64 {
        let state = self.state();
        let old =
            state.acknowledged.iter().filter(|(_, at)| at.elapsed() >= limit);
        old.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// Returns the newest version that was sent.
    pub fn newest_sent(&self) -> u64 {
        self.state().sent
    }

    /// Runs the checks that need the whole run. Returns all breaches.
    pub fn close(&self) -> Vec<String> {
        let state = self.state();
        let contradictions: Vec<String> = state
            .not_run
            .iter()
            .filter(|id| state.runs.contains_key(*id))
            .map(|id| format!("{id} ran although it was reported as not run"))
            .collect();
        drop(state);
        for contradiction in contradictions {
            self.record_breach(contradiction);
        }
        self.state().breaches.clone()
    }

    /// Returns the numbers of requests by outcome, and the median and 99th
    /// percentile of the latency in ms.
    pub fn summary(&self) -> (Counts, u64, u64) {
        let latency =
            self.latency.lock().unwrap_or_else(|held| held.into_inner());
        let at = |part| latency.value_at_quantile(part);
        (self.state().counts, at(0.5), at(0.99))
    }
}
