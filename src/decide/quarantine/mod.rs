//! Quarantine of requests that crash the replicas that run them.
//!
//! A request may crash every replica that starts to run it, while its caller
//! sends it again and again, each time under another ID and to any node. Each
//! crash takes a replica away for seconds, along with all other requests in
//! flight there. So nodes record which requests were in flight at a replica
//! that crashed, identified by a fingerprint of what they ask for, and report
//! these records to each other. A request with three such crashes and no
//! success is quarantined.
//!
//! Every request in flight at a crash is recorded, because no node can tell
//! the cause of the crash from its bystanders. Three properties tell them
//! apart later:
//!
//! - Bystanders are in flight at one crash, not at three.
//! - Bystanders succeed elsewhere. A success clears every crash recorded
//!   before it, including crashes that are reported later.
//! - Many replicas that crash together have another cause, an outage. None of
//!   these crashes counts, unless other requests that crash replicas one after
//!   the other explain them.
//!
//! A crash has one time, the earliest at which any node noticed it. A request
//! whose connection broke later was sent to a replica that was already down,
//! for instance through a relay that accepts connections for it, so that crash
//! does not count against the request.
//!
//! A crash is confirmed only seconds after it happened. Until then it is
//! suspected, and the suspicion is withdrawn as soon as the replica is heard.
//! Suspected crashes count like confirmed ones for as long as a confirmation
//! takes. Otherwise a request could crash one replica after the other in the
//! meantime.
//!
//! A quarantined request can't succeed, and it may be a bystander after all: a
//! request that a team sends all the time is in flight at every crash of a
//! service that fails for another reason. So a quarantined request is granted
//! a trial after a while, at one node first. If the trial succeeds, the
//! quarantine ends; if not, it is extended.
//!
//! Requests that crash replicas may also have only a part of their prompts in
//! common. A second `Quarantine` holds the records of parts; `part` decides on
//! them by other rules, as parts are shared by many sound requests.
//!
//! Alternatives rejected:
//!
//! - Sending a suspected request to a replica that runs nothing else: under
//!   load no replica can be spared.
//! - Refusing a request after two crashes: a stream that was resumed elsewhere
//!   has two when a second replica crashes by chance.
//! - The log of the control plane: it costs a commit for each crash, and
//!   nothing can be committed behind a network partition.

mod identity;
mod outage;
mod part;
mod record;
mod sound;
mod word;

pub use self::{identity::Identity, part::PartReason, word::Report};
use self::{record::Record, sound::Successes};
use crate::util::{common, position};

/// Number of crashes after which a request is quarantined. A bystander may be
/// in flight at two crashes by chance, but hardly ever at three.
pub const QUARANTINE_CRASHES: usize = 3;
/// Duration of a quarantine after the third crash, in ms; each further crash
/// doubles it. Three trials then take fourteen minutes, and cost no more
/// replicas than it took to identify the request.
const QUARANTINE_MS: i64 = 120_000;
/// Maximum duration of a quarantine before the next trial, in ms.
const MAX_QUARANTINE_MS: i64 = 3_600_000;
/// Interval between two trials of one request, in ms, at the same node or at
/// the next one: longer than a trial takes to show its outcome and all nodes
/// take to learn of it.
const TRIAL_INTERVAL_MS: i64 = 5000;
/// Time for which crashes are kept after the last crash of a request, in ms:
/// longer than the longest quarantine, so that one more crash is enough after
/// it.
const CRASH_RETENTION_MS: i64 = 2 * MAX_QUARANTINE_MS;
/// Time for which a success is kept, in ms: longer than reports of an earlier
/// crash may circulate.
const SUCCESS_RETENTION_MS: i64 = 60_000;
/// Time after which a suspected crash no longer counts, in ms: by then it is
/// either confirmed or withdrawn.
const SUSPICION_TIMEOUT_MS: i64 = 3500;
/// Maximum number of recorded requests, in some 400 kB: those of sixty crashes
/// with thirty requests in flight at each.
const MAX_RECORDS: usize = 2048;
/// Maximum number of crashes recorded of one request: as many as it takes to
/// reach the longest quarantine.
const MAX_REQUEST_CRASHES: usize = 8;
/// Maximum number of crashes recorded of one part of prompts: more than occur
/// until all nodes refuse the part, so that they explain the crashes of the
/// parts beside it.
const MAX_PART_CRASHES: usize = 32;

common! {
    copy
    /// A replica crashed while a request was in flight there.
    pub struct Crash {
        /// Fingerprint of what the request asks for.
        pub fingerprint: u64,
        /// Hash that identifies one incarnation of the replica.
        pub replica: u64,
        /// Time of the crash, in ms by this node's clock; negative before the
        /// node's start.
        pub at: i64,
    }
}

common! {
    copy
    /// A request succeeded.
    pub struct Success {
        /// Fingerprint of what the request asks for.
        pub fingerprint: u64,
        /// Time of the success, in the same unit as for a crash.
        pub at: i64,
    }
}

common! {
    copy
    /// What the records of a [`Quarantine`] are about.
    #[derive(Default)]
    pub enum Subject {
        /// Requests, by fingerprint.
        #[default]
        Request,
        /// Parts of prompts that requests share, by id.
        Part,
    }
}

impl Subject {
    fn max_record_crashes(self) -> usize {
        match self {
            Subject::Request => MAX_REQUEST_CRASHES,
            Subject::Part => MAX_PART_CRASHES,
        }
    }
}

common! {
    copy
    /// Why a request is quarantined.
    pub struct Reason {
        /// Number of replicas that crashed while the request was in flight
        /// there.
        pub crashes: usize,
        /// Time since the last crash, in ms.
        pub age_ms: u64,
        /// Time until the request may be sent again, in ms; 0 from then on.
        pub wait_ms: u64,
        /// Whether all of the crashes are confirmed.
        pub is_confirmed: bool,
    }
}

impl Reason {
    /// Returns the time after which a retry is worthwhile, in ms.
    pub fn retry_after_ms(&self) -> u64 {
        match self.is_confirmed {
            true => self.wait_ms.max(TRIAL_INTERVAL_MS as u64),
            false => self.wait_ms,
        }
    }
}

common! {
    copy
    /// Where a report comes from.
    pub enum Source {
        /// This node made the observation, or is the only one that received
        /// the report, so it has to forward it.
        Own,
        /// Another node, which reports to all other nodes itself.
        Other,
    }
}

/// Records of requests, or of parts of prompts, that were in flight at
/// replicas that crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    subject: Subject,
    /// Sorted by fingerprint.
    records: Vec<Record>,
    /// Requests that succeeded recently.
    recent_successes: Successes,
    /// Time of the last success of any request.
    last_success_at: Option<i64>,
    /// Crashes to report, with the time at which this node learned of them.
    crash_reports: Vec<(i64, Crash)>,
    /// Suspected crashes to report, likewise.
    suspicion_reports: Vec<(i64, Crash)>,
    /// Successes to report, likewise.
    success_reports: Vec<(i64, Success)>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn of(subject: Subject) -> Quarantine {
        Quarantine { subject, ..Quarantine::default() }
    }

    /// Records a crash. Returns the number of confirmed crashes of its
    /// request, or `None` if the crash is not new.
    pub fn record_crash(
        &mut self,
        now: i64,
        crash: Crash,
        source: Source,
    ) -> Option<usize> {
        if self.is_cleared_by_success(now, crash) {
            return None;
        }
        let at = self.find_or_insert(crash.fingerprint);
        let record = &mut self.records[at];
        record.suspected.retain(|other| other.replica != crash.replica);
        if let Some(known) = record.crash_of(crash.replica) {
            // The earliest reported time is the time of the crash.
            known.at = known.at.min(crash.at);
            record.crashes.sort_by_key(|other| other.at);
            return None;
        }
        let index =
            record.crashes.partition_point(|other| other.at <= crash.at);
        record.crashes.insert(index, crash);
        if record.crashes.len() > self.subject.max_record_crashes() {
            record.crashes.remove(0);
        }
        let count = record.crashes.len();
        if source == Source::Own {
            self.crash_reports.push((now, crash));
        }
        self.report_recent_success(now, at);
        self.evict_excess(crash.fingerprint);
        Some(count)
    }

    /// Records a suspected crash. Returns the number of confirmed and
    /// suspected crashes of its request, or `None` if the crash is not new.
    pub fn record_suspected_crash(
        &mut self,
        now: i64,
        crash: Crash,
        source: Source,
    ) -> Option<usize> {
        if now >= crash.at + SUSPICION_TIMEOUT_MS
            || self.is_cleared_by_success(now, crash)
        {
            return None;
        }
        let at = self.find_or_insert(crash.fingerprint);
        let record = &mut self.records[at];
        let mut suspected = record.suspected.iter();
        let is_known = suspected.any(|other| other.replica == crash.replica);
        if is_known || record.crash_of(crash.replica).is_some() {
            return None;
        }
        record.suspected.retain(|other| now < other.at + SUSPICION_TIMEOUT_MS);
        if record.suspected.len() < self.subject.max_record_crashes() {
            record.suspected.push(crash);
        }
        let count = record.crashes.len() + record.suspected.len();
        if source == Source::Own {
            self.suspicion_reports.push((now, crash));
        }
        self.report_recent_success(now, at);
        self.evict_excess(crash.fingerprint);
        Some(count)
    }

    /// Returns whether a replica is suspected to have crashed while this
    /// request was in flight there.
    pub fn is_suspected(&self, fingerprint: u64) -> bool {
        let found = self.find(&fingerprint);
        found.is_ok_and(|at| !self.records[at].suspected.is_empty())
    }

    /// Withdraws the suspected crashes of replicas that were heard afterwards.
    /// `is_heard` decides this from the replica and the time of its suspected
    /// crash.
    pub fn withdraw(
        &mut self,
        fingerprint: u64,
        is_heard: impl Fn(u64, i64) -> bool,
    ) {
        let Ok(at) = self.find(&fingerprint) else { return };
        let record = &mut self.records[at];
        record.suspected.retain(|crash| !is_heard(crash.replica, crash.at));
    }

    /// Withdraws suspected crashes of all requests likewise.
    pub fn withdraw_all(&mut self, is_heard: impl Fn(u64, i64) -> bool) {
        for record in &mut self.records {
            record
                .suspected
                .retain(|crash| !is_heard(crash.replica, crash.at));
        }
    }

    /// Returns whether the request succeeded after the crash, in which case
    /// the crash does not count against it. Schedules a report of the success,
    /// so that the node that reported the crash learns of it.
    fn is_cleared_by_success(&mut self, now: i64, crash: Crash) -> bool {
        let fingerprint = crash.fingerprint;
        let found = self.find(&fingerprint).ok();
        let recorded = found.and_then(|at| self.records[at].succeeded_at);
        let last = recorded.max(self.recent_successes.last_at(fingerprint));
        let Some(at) = last.filter(|at| crash.at <= *at) else {
            return false;
        };
        self.report_success(now, Success { fingerprint, at });
        true
    }

    /// Records a success. Returns the number of crashes that it clears, if
    /// any.
    pub fn record_success(
        &mut self,
        now: i64,
        success: Success,
        source: Source,
    ) -> Option<usize> {
        self.recent_successes.insert(success);
        self.last_success_at = self.last_success_at.max(Some(success.at));
        let is_reported = source == Source::Other;
        // Nearly all requests have never been in flight at a crash.
        let at = match self.find(&success.fingerprint) {
            Ok(at) => at,
            // The crash that the report is about may arrive later.
            Err(_) if is_reported && self.subject == Subject::Part => {
                self.find_or_insert(success.fingerprint);
                self.evict_excess(success.fingerprint);
                self.find(&success.fingerprint).ok()?
            }
            Err(_) => return None,
        };
        let record = &mut self.records[at];
        if is_reported {
            record.reported_success_at =
                record.reported_success_at.max(Some(success.at));
        }
        let before = record.all_crashes().count();
        record.suspected.retain(|crash| crash.at > success.at);
        record.crashes.retain(|crash| crash.at > success.at);
        let cleared = before - record.all_crashes().count();
        if cleared == 0 {
            return None;
        }
        record.succeeded_at = record.succeeded_at.max(Some(success.at));
        let is_earlier = |crash: &Crash| {
            crash.fingerprint == success.fingerprint && crash.at <= success.at
        };
        self.crash_reports.retain(|(_, crash)| !is_earlier(crash));
        self.suspicion_reports.retain(|(_, crash)| !is_earlier(crash));
        if source == Source::Own {
            self.report_success(now, success);
        }
        Some(cleared)
    }

    /// Returns why a request is quarantined, if it is. `replicas` returns the
    /// number of replicas of its service.
    pub fn quarantine_reason(
        &self,
        now: i64,
        fingerprint: u64,
        replicas: impl FnOnce() -> usize,
    ) -> Option<Reason> {
        let at = self.find(&fingerprint).ok()?;
        let record = &self.records[at];
        let suspected = record.suspected.iter();
        let suspected: Vec<&Crash> = suspected
            .filter(|crash| now < crash.at + SUSPICION_TIMEOUT_MS)
            .collect();
        if record.crashes.len() + suspected.len() < QUARANTINE_CRASHES {
            return None;
        }
        let outage_size = Quarantine::min_outage_replicas(replicas());
        let counts =
            |crash: &Crash| self.counts_against(record, crash, outage_size);
        let confirmed =
            record.crashes.iter().filter(|crash| counts(crash)).count();
        let age_ms = |at: i64| (now - at).max(0) as u64;
        if confirmed >= QUARANTINE_CRASHES {
            let last = record.crashes.last()?;
            let wait_ms =
                (last.at + quarantine_ms(confirmed) - now).max(0) as u64;
            return Some(Reason {
                crashes: confirmed,
                age_ms: age_ms(last.at),
                wait_ms,
                is_confirmed: true,
            });
        }
        let mut suspected: Vec<i64> = suspected
            .into_iter()
            .filter(|crash| counts(crash))
            .map(|crash| crash.at)
            .collect();
        suspected.sort_unstable();
        // The request is released once enough suspicions have timed out to
        // leave fewer crashes than the threshold.
        let excess =
            (confirmed + suspected.len()).checked_sub(QUARANTINE_CRASHES)?;
        let until = suspected[excess] + SUSPICION_TIMEOUT_MS;
        Some(Reason {
            crashes: confirmed + suspected.len(),
            age_ms: age_ms(*suspected.last()?),
            wait_ms: (until - now).max(0) as u64,
            is_confirmed: false,
        })
    }

    /// Returns whether this node grants a trial to a request that is
    /// quarantined for `reason`, and records the trial.
    ///
    /// `rank` is the number of nodes that come before this one. Each node
    /// waits for the one before it, so that a request that still crashes
    /// replicas crashes one replica in total, not one for each node.
    pub fn grant_trial(
        &mut self,
        now: i64,
        fingerprint: u64,
        reason: Reason,
        rank: usize,
    ) -> bool {
        if !reason.is_confirmed {
            return false;
        }
        let Ok(at) = self.find(&fingerprint) else { return false };
        let record = &mut self.records[at];
        let Some(last) = record.crashes.last() else { return false };
        let due = last.at + quarantine_ms(reason.crashes);
        record.start_trial(now, due, rank, TRIAL_INTERVAL_MS)
    }

    /// Removes records whose retention time has passed.
    pub fn expire(&mut self, now: i64) {
        self.recent_successes.expire(now);
        self.records.retain(|record| {
            let last = record.crashes.last();
            let mut suspected = record.suspected.iter();
            last.is_some_and(|crash| now < crash.at + CRASH_RETENTION_MS)
                || suspected.any(|crash| now < crash.at + SUSPICION_TIMEOUT_MS)
                || record
                    .succeeded_at
                    .max(record.reported_success_at)
                    .is_some_and(|at| now < at + SUCCESS_RETENTION_MS)
        });
    }

    /// Returns the number of remembered successes.
    pub fn count_successes(&self) -> usize {
        self.recent_successes.count()
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn find(&self, fingerprint: &u64) -> Result<usize, usize> {
        position(&self.records, fingerprint, |record| &record.fingerprint)
    }

    fn find_or_insert(&mut self, fingerprint: u64) -> usize {
        self.find(&fingerprint).unwrap_or_else(|at| {
            let record = Record {
                fingerprint,
                crashes: Vec::new(),
                suspected: Vec::new(),
                succeeded_at: None,
                reported_success_at: None,
                repeated_at: None,
                trial_at: None,
            };
            self.records.insert(at, record);
            at
        })
    }

    /// Removes the request with the fewest crashes if there are too many
    /// records; of several, the one whose last crash is the oldest. Never
    /// removes the request that was just recorded.
    fn evict_excess(&mut self, newest: u64) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let evicted = self
            .records
            .iter()
            .enumerate()
            .filter(|(_, record)| record.fingerprint != newest)
            .min_by_key(|(_, record)| {
                (
                    record.crashes.len(),
                    record.crashes.last().map(|last| last.at),
                )
            });
        if let Some((at, _)) = evicted {
            self.records.remove(at);
        }
    }
}

/// Returns how long a request with this many crashes is quarantined, in ms.
fn quarantine_ms(crashes: usize) -> i64 {
    let excess = crashes.saturating_sub(QUARANTINE_CRASHES);
    (QUARANTINE_MS << excess).min(MAX_QUARANTINE_MS)
}
