//! What the nodes promise, checked by what callers, replicas and the
//! platform's API see.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::Value;

/// For so long two holders of a duty may not take turns.
const LEASE: Duration = Duration::from_millis(3000);
/// After a thaw or a healed link, calls may still arrive that were sent
/// before.
const SLACK: Duration = Duration::from_millis(500);

/// The kinds of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Again,
    /// May run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that may go on elsewhere.
    Resume,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 4] =
        [Kind::Again, Kind::Once, Kind::Stream, Kind::Resume];

    /// The first part of its path.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Again => "/again/",
            Kind::Once => "/once/",
            Kind::Stream => "/stream/",
            Kind::Resume => "/resume/",
        }
    }

    /// True when two runs are a breach.
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
    /// Runs of requests that may run once.
    runs: BTreeMap<String, u32>,
    /// Requests that were said not to have run.
    not_run: BTreeSet<String>,
    /// Accepted calls for each duty and subject.
    calls: BTreeMap<String, Vec<Call>>,
    excused_until: Option<Instant>,
    /// Replicas that the fatal request has ended.
    ends: u32,
    counts: Counts,
    /// Configurations: sent, and when acknowledged.
    sent: u64,
    acknowledged: Vec<(u64, Instant)>,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// With a whole answer of a replica.
    pub served: u64,
    /// With word that they did not run.
    pub refused: u64,
    /// Otherwise.
    pub failed: u64,
}

/// Everything seen in one run.
#[derive(Debug)]
pub struct Ledger {
    state: Mutex<State>,
    latency: Mutex<Histogram<u64>>,
}

impl Ledger {
    /// Starts with nothing seen.
    pub fn open() -> Ledger {
        let latency = Histogram::new_with_max(60_000, 2);
        let latency = latency.expect("the bounds are constants");
        Ledger { state: Mutex::default(), latency: Mutex::new(latency) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Notes a promise that was not kept.
    pub fn breach(&self, text: String) {
        eprintln!("BREACH {text}");
        self.state().breaches.push(text);
    }

    /// A replica begins to run a request.
    pub fn ran(&self, kind: Kind, id: &str) {
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
            self.breach(format!("{kind:?} {id} ran {runs} times"));
        }
    }

    /// A replica ends, as it has to run the fatal request.
    pub fn ends_under_fatal(&self) {
        self.state().ends += 1;
    }

    /// Replicas that have ended so.
    pub fn ends(&self) -> u32 {
        self.state().ends
    }

    /// A caller has its answer.
    pub fn served(&self, took: Duration) {
        self.state().counts.served += 1;
        let mut latency =
            self.latency.lock().unwrap_or_else(|held| held.into_inner());
        latency.saturating_record(took.as_millis() as u64);
    }

    /// A caller was told that its request did not run.
    pub fn refused(&self, kind: Kind, id: &str) {
        let mut state = self.state();
        state.counts.refused += 1;
        if kind.runs_once() {
            state.not_run.insert(id.to_owned());
        }
    }

    /// A caller has no answer.
    pub fn failed(&self) {
        self.state().counts.failed += 1;
    }

    /// Calls may come late for a moment: a link has healed, or a process was
    /// thawed.
    pub fn excuse(&self) {
        self.state().excused_until = Some(Instant::now() + SLACK);
    }

    /// The platform's API takes a call.
    pub fn duty(
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
                wrong.push(format!("{} has fence {fence} too", call.holder));
            }
            if call.fence > fence && !excused {
                wrong.push(format!("fence {fence} after {}", call.fence));
            }
            if content != Value::Null && call.content != content {
                wrong.push(format!("{content} after {}", call.content));
            }
        }
        let since = calls.iter().filter(|call| at < call.at + LEASE);
        let mut others = since.skip_while(|call| call.holder != holder);
        if others.any(|call| call.holder != holder) && !excused {
            wrong.push("holders take turns within a lease".to_owned());
        }
        calls.push(Call { holder: holder.to_owned(), fence, at, content });
        drop(state);
        wrong.dedup();
        for wrong in wrong {
            self.breach(format!("{subject}, {holder}: {wrong}"));
        }
    }

    /// An operator sends a configuration.
    pub fn sends(&self, version: u64) {
        let mut state = self.state();
        state.sent = state.sent.max(version);
    }

    /// It was acknowledged.
    pub fn acknowledged(&self, version: u64) {
        self.state().acknowledged.push((version, Instant::now()));
    }

    /// The newest version that was acknowledged before `limit` ago.
    pub fn newest(&self, limit: Duration) -> u64 {
        let state = self.state();
        let old =
            state.acknowledged.iter().filter(|(_, at)| at.elapsed() >= limit);
        old.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// The newest version that was sent.
    pub fn newest_sent(&self) -> u64 {
        self.state().sent
    }

    /// Looks at what can only be judged at the end; gives all breaches.
    pub fn close(&self) -> Vec<String> {
        let state = self.state();
        let lies: Vec<String> = state
            .not_run
            .iter()
            .filter(|id| state.runs.contains_key(*id))
            .map(|id| format!("{id} was said not to have run, and ran"))
            .collect();
        drop(state);
        for lie in lies {
            self.breach(lie);
        }
        self.state().breaches.clone()
    }

    /// How requests ended, and the median and 99th percentile in ms.
    pub fn sums(&self) -> (Counts, u64, u64) {
        let latency =
            self.latency.lock().unwrap_or_else(|held| held.into_inner());
        let at = |part| latency.value_at_quantile(part);
        (self.state().counts, at(0.5), at(0.99))
    }
}
