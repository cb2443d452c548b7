//! Decides which parts of prompts are quarantined.
//!
//! A part of a prompt may crash each replica that begins to answer a request
//! with it, whatever else the request contains. No two of these requests need
//! be alike, so their fingerprints show nothing, and the crashes are recorded
//! against each part that other prompts may share. Sound requests share all
//! parts but one with those that crash replicas, and other requests are in
//! flight at the same replicas. Four rules tell the parts apart:
//!
//! - A success of a request clears all its parts of the crashes before it.
//! - A crash has one cause. Parts are judged in the order of the evidence
//!   against them, and what a quarantined part explains does not count against
//!   the parts after it.
//! - A part that succeeded shortly before its crashes is judged after those
//!   that did not, and its crashes within a second count once. Such a part is
//!   in use at many replicas, and in flight wherever some of them crash.
//! - As long as no request has succeeded since the last crash, the service may
//!   be down for another reason. Then a trial is granted soon.
//!
//! Two parts that have always been in flight together have the same evidence.
//! A request with only one of them is granted a trial at once, as its outcome
//! tells them apart.
//!
//! A part is quarantined after three crashes, but not for long: it is needed
//! by many callers, so a trial has to show soon whether the part is the cause.
//! From the fifth crash on it is quarantined for minutes and then for hours,
//! unless several of these crashes were at one time, as in an outage.

use super::{
    CRASH_RETENTION_MS, Crash, QUARANTINE_CRASHES, Quarantine,
    SUSPICION_TIMEOUT_MS, TRIAL_INTERVAL_MS,
    outage::{DETECTION_SPREAD_MS, OUTAGE_WINDOW_MS, SAME_REQUEST_WINDOW_MS},
    record::Record,
};
use crate::util::{common, position};

/// Number of crashes from which on a part is quarantined for long.
const CERTAIN_CRASHES: usize = 5;
/// Time from the third, the fourth and each further crash to a trial while it
/// is not certain that the part is the cause, in ms.
const EARLY_TRIAL_MS: [i64; 5] = [1000, 4000, 10_000, 30_000, 60_000];
/// The same for a part that has succeeded lately, in ms: many callers wait for
/// the end of an outage.
const USED_PART_TRIAL_MS: [i64; 2] = [1000, 4000];
/// Time from the fifth, the sixth and each further crash to a trial, in ms.
/// The last one is the time for which crashes are kept, so that a part costs
/// two replicas in that time.
const LATE_TRIAL_MS: [i64; 3] = [120_000, 1_200_000, CRASH_RETENTION_MS];
/// Interval between two such trials, in ms, at the same node or at the next
/// one: longer than a request waits at a busy replica before it begins.
const LATE_TRIAL_INTERVAL_MS: i64 = 30_000;
/// Time between a success and a crash within which the success counts as
/// shortly before the crash, in ms.
const RECENT_SUCCESS_MS: i64 = 30_000;
/// Time within which crashes of a part that has succeeded lately count once,
/// in ms: a part in use at all replicas succeeds again within this time unless
/// all of them are down.
const USED_PART_CRASH_INTERVAL_MS: i64 = 1000;
/// Retry delay sent to callers at least, in ms: by then a trial has shown its
/// outcome.
const MIN_RETRY_AFTER_MS: u64 = 1000;

common! {
    copy
    /// Why a request with a part of a prompt is quarantined.
    pub struct PartReason {
        /// Id of the part.
        pub part: u64,
        /// Number of crashes that count against the part.
        pub crashes: usize,
        /// Time since the last crash, in ms.
        pub age_ms: u64,
        /// Time at which a trial is due, in ms by this node's clock.
        pub trial_at: i64,
        /// Time until then, in ms; 0 from then on.
        pub wait_ms: u64,
        /// Whether a trial is not due soon.
        pub is_certain: bool,
        /// Number of parts that the same crashes count against and that the
        /// request does not contain.
        pub alternatives: usize,
    }
}

impl PartReason {
    /// Returns the time after which a retry is worthwhile, in ms.
    pub fn retry_after_ms(&self) -> u64 {
        self.wait_ms.max(MIN_RETRY_AFTER_MS)
    }
}

/// The evidence against one part.
#[derive(Debug)]
struct Suspect {
    part: u64,
    has_succeeded: bool,
    /// The crashes that the request can have been in flight at, by time.
    crashes: Vec<Crash>,
}

impl Suspect {
    /// Returns the value that is greatest for the strongest evidence.
    fn strength(&self) -> (bool, usize) {
        (!self.has_succeeded, self.count(&[]))
    }

    /// Returns the number of crashes, less those of the replicas in
    /// `explained`, which is sorted. Crashes at which the same request may
    /// have been in flight count once.
    fn count(&self, explained: &[u64]) -> usize {
        self.count_apart(explained, SAME_REQUEST_WINDOW_MS as i64)
    }

    /// Returns the number of times at which there were crashes, with those of
    /// an outage counted once.
    fn count_times(&self, explained: &[u64]) -> usize {
        self.count_apart(explained, OUTAGE_WINDOW_MS as i64)
    }

    fn count_apart(&self, explained: &[u64], interval_ms: i64) -> usize {
        let interval_ms = match self.has_succeeded {
            true => USED_PART_CRASH_INTERVAL_MS,
            false => interval_ms,
        };
        let mut counted_at = None;
        let mut count = 0;
        for crash in &self.crashes {
            let is_counted =
                counted_at.is_none_or(|at| crash.at >= at + interval_ms);
            let is_explained = explained.binary_search(&crash.replica).is_ok();
            if is_counted && !is_explained {
                counted_at = Some(crash.at);
                count += 1;
            }
        }
        count
    }

    fn replicas(&self) -> Vec<u64> {
        let replicas = self.crashes.iter().map(|crash| crash.replica);
        let mut replicas: Vec<u64> = replicas.collect();
        replicas.sort_unstable();
        replicas
    }
}

/// A part that is quarantined.
#[derive(Debug)]
struct Finding {
    suspect: Suspect,
    strength: (bool, usize),
    /// Number of crashes that no stronger suspect explains.
    crashes: usize,
    /// Number of times at which there were such crashes.
    times: usize,
}

impl Quarantine {
    /// Returns whether a part succeeded shortly before it was in flight at a
    /// crash.
    pub fn has_succeeded(&self, part: u64) -> bool {
        let found = self.find(&part);
        found.is_ok_and(|at| self.has_record_succeeded(&self.records[at]))
    }

    fn has_record_succeeded(&self, record: &Record) -> bool {
        let recent = self.recent_successes.last_at(record.fingerprint);
        let succeeded_at =
            recent.max(record.reported_success_at).max(record.succeeded_at);
        let first_at = record.all_crashes().map(|crash| crash.at).min();
        succeeded_at.is_some_and(|at| {
            first_at.is_none_or(|first| first < at + RECENT_SUCCESS_MS)
        })
    }

    /// Returns whether some of the parts may be quarantined, which costs a
    /// search for each.
    pub fn may_hold_parts(&self, parts: &[u64]) -> bool {
        parts.iter().any(|part| {
            self.find(part).is_ok_and(|at| {
                self.records[at].all_crashes().count() >= QUARANTINE_CRASHES
            })
        })
    }

    /// Returns why a request with these parts is quarantined, if it is.
    pub fn part_reason(&self, now: i64, parts: &[u64]) -> Option<PartReason> {
        if !self.may_hold_parts(parts) {
            return None;
        }
        let findings = self.findings(now);
        let of_request = findings
            .iter()
            .filter(|finding| parts.contains(&finding.suspect.part));
        let worst = of_request.max_by_key(|finding| finding.crashes)?;
        let alternatives = findings
            .iter()
            .filter(|other| other.strength == worst.strength)
            .filter(|other| !parts.contains(&other.suspect.part))
            .filter(|other| {
                let explained = other.suspect.replicas();
                worst.suspect.count(&explained) < QUARANTINE_CRASHES
            })
            .count();
        let last_at = worst.suspect.crashes.last()?.at;
        let has_worked = self.last_success_at.is_some_and(|at| at > last_at);
        let is_certain =
            worst.times >= CERTAIN_CRASHES && has_worked && alternatives == 0;
        let early = worst.times.saturating_sub(QUARANTINE_CRASHES);
        let trial_ms = match is_certain {
            _ if alternatives > 0 => 0,
            true => nth(&LATE_TRIAL_MS, worst.times - CERTAIN_CRASHES),
            false if worst.suspect.has_succeeded => {
                nth(&USED_PART_TRIAL_MS, early)
            }
            false => nth(&EARLY_TRIAL_MS, early),
        };
        let trial_at = last_at + trial_ms;
        Some(PartReason {
            part: worst.suspect.part,
            crashes: worst.crashes,
            age_ms: (now - last_at).max(0) as u64,
            trial_at,
            wait_ms: (trial_at - now).max(0) as u64,
            is_certain,
            alternatives,
        })
    }

    /// Returns whether this node grants a trial to a request that is
    /// quarantined for `reason`, and records the trial. `rank` is as for
    /// [`Quarantine::grant_trial`].
    pub fn grant_part_trial(
        &mut self,
        now: i64,
        reason: PartReason,
        rank: usize,
    ) -> bool {
        let Ok(at) = self.find(&reason.part) else { return false };
        let interval_ms = match reason.is_certain {
            true => LATE_TRIAL_INTERVAL_MS,
            false => TRIAL_INTERVAL_MS,
        };
        let due = reason.trial_at;
        self.records[at].start_trial(now, due, rank, interval_ms)
    }

    /// Returns the parts that are quarantined, the strongest evidence first.
    fn findings(&self, now: i64) -> Vec<Finding> {
        let crash_times = self.crash_times(now);
        let suspects = self.records.iter();
        let suspects = suspects
            .map(|record| self.suspect(now, record, &crash_times))
            .filter(|suspect| suspect.crashes.len() >= QUARANTINE_CRASHES);
        let mut suspects: Vec<((bool, usize), Suspect)> = suspects
            .map(|suspect| (suspect.strength(), suspect))
            .filter(|((_, count), _)| *count >= QUARANTINE_CRASHES)
            .collect();
        suspects.sort_by(|(one, _), (other, _)| other.cmp(one));
        let mut findings: Vec<Finding> = Vec::new();
        let mut explained = Vec::new();
        for (strength, suspect) in suspects {
            let is_weaker = findings
                .last()
                .is_some_and(|finding| finding.strength != strength);
            if is_weaker {
                explained = replicas_of(&findings);
            }
            let crashes = suspect.count(&explained);
            if crashes >= QUARANTINE_CRASHES {
                let times = suspect.count_times(&explained);
                findings.push(Finding { suspect, strength, crashes, times });
            }
        }
        findings
    }

    fn suspect(
        &self,
        now: i64,
        record: &Record,
        crash_times: &[(u64, i64)],
    ) -> Suspect {
        let was_in_flight = |crash: &&Crash| {
            let found = position(crash_times, &crash.replica, |(key, _)| key);
            found.is_ok_and(|at| {
                crash.at <= crash_times[at].1 + DETECTION_SPREAD_MS
            })
        };
        let crashes = record.current_crashes(now).filter(was_in_flight);
        let mut crashes: Vec<Crash> = crashes.copied().collect();
        crashes.sort_by_key(|crash| crash.at);
        let has_succeeded = self.has_record_succeeded(record);
        Suspect { part: record.fingerprint, has_succeeded, crashes }
    }

    /// Returns the time at which each replica crashed, sorted by replica.
    fn crash_times(&self, now: i64) -> Vec<(u64, i64)> {
        let crashes = self.records.iter();
        let mut times: Vec<(u64, i64)> = crashes
            .flat_map(|record| record.current_crashes(now))
            .map(|crash| (crash.replica, crash.at))
            .collect();
        times.sort_unstable();
        // The earliest time of a replica comes first.
        times.dedup_by_key(|(replica, _)| *replica);
        times
    }
}

impl Record {
    /// Returns the confirmed crashes, and the suspected ones that still count.
    fn current_crashes(&self, now: i64) -> impl Iterator<Item = &Crash> {
        let suspected = self.suspected.iter();
        let suspected = suspected
            .filter(move |crash| now < crash.at + SUSPICION_TIMEOUT_MS);
        self.crashes.iter().chain(suspected)
    }
}

fn replicas_of(findings: &[Finding]) -> Vec<u64> {
    let mut replicas: Vec<u64> = findings
        .iter()
        .flat_map(|finding| finding.suspect.replicas())
        .collect();
    replicas.sort_unstable();
    replicas.dedup();
    replicas
}

/// Returns the value at `at`, or the last one.
fn nth(values: &[i64], at: usize) -> i64 {
    values[at.min(values.len() - 1)]
}
