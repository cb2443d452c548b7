//! Reports on requests in flight at crashed replicas: what nodes send to each
//! other and store on disk.

use std::cmp::Reverse;

use super::{Crash, Quarantine, Subject, Success, record::Record};
use crate::util::common;

/// Time for which a new report is sent, in ms: four rounds of the mesh, as a
/// datagram may be lost.
const NEW_REPORT_MS: i64 = 1300;
/// Maximum number of new reports of each kind sent at a time, the newest ones:
/// as many as requests are in flight at one replica.
const MAX_NEW_REPORTS: usize = 64;
/// Interval at which a request with several crashes is reported again, in ms,
/// for nodes that missed it behind a network partition or have just started.
const REPEAT_INTERVAL_MS: i64 = 2000;
/// Maximum number of requests reported again at a time.
const MAX_REPEATED_REQUESTS: usize = 4;
/// Number of crashes from which a request is reported again, and stored on
/// disk.
const MIN_REPEATED_CRASHES: usize = 2;
/// Maximum number of such requests that are reported to a node that starts,
/// and stored on disk.
const MAX_STORED_REQUESTS: usize = 64;
/// Maximum number of crashes of one request that are reported again or stored,
/// the newest ones.
const MAX_REPEATED_CRASHES: usize = 8;
/// Time after which a newer success of a part that was in flight at a crash is
/// reported, in ms.
const SUCCESS_REPORT_INTERVAL_MS: i64 = 5000;

common! {
    /// Reports for other nodes.
    #[derive(Default)]
    pub struct Report {
        /// Confirmed crashes.
        pub crashes: Vec<Crash>,
        /// Suspected crashes.
        pub suspected: Vec<Crash>,
        /// Successes after crashes.
        pub successes: Vec<Success>,
    }
}

impl Quarantine {
    /// Returns the reports for the next datagrams: new ones, and at intervals
    /// the crashes of requests with several crashes.
    pub fn take_reports(&mut self, now: i64) -> Report {
        self.crash_reports.retain(|(at, _)| now < at + NEW_REPORT_MS);
        self.success_reports.retain(|(at, _)| now < at + NEW_REPORT_MS);
        self.suspicion_reports.retain(|(at, _)| now < at + NEW_REPORT_MS);
        let suspected = self.new_reports(&self.suspicion_reports);
        let mut crashes = self.new_reports(&self.crash_reports);
        let mut due: Vec<&mut Record> = self
            .records
            .iter_mut()
            .filter(|record| record.crashes.len() >= MIN_REPEATED_CRASHES)
            .filter(|record| {
                record
                    .repeated_at
                    .is_none_or(|at| now >= at + REPEAT_INTERVAL_MS)
            })
            .collect();
        // Requests take turns, the least recently reported first, however many
        // there are.
        due.sort_by_key(|record| record.repeated_at);
        for record in due.into_iter().take(MAX_REPEATED_REQUESTS) {
            record.repeated_at = Some(now);
            crashes.extend(newest_crashes(record));
        }
        let newest = self.success_reports.iter().rev().take(MAX_NEW_REPORTS);
        let successes = newest.map(|(_, success)| *success).collect();
        Report { crashes, suspected, successes }
    }

    /// Returns the newest crashes. Those of parts that are in use come last:
    /// when a replica crashes, many of them are in flight there.
    fn new_reports(&self, reports: &[(i64, Crash)]) -> Vec<Crash> {
        let newest = reports.iter().rev().map(|(_, crash)| *crash);
        let mut crashes: Vec<Crash> = newest.collect();
        if self.subject == Subject::Part {
            crashes.sort_by_key(|crash| self.has_succeeded(crash.fingerprint));
        }
        crashes.truncate(MAX_NEW_REPORTS);
        crashes
    }

    /// Returns what a node that starts needs to know, and what is stored on
    /// disk.
    pub fn snapshot(&self) -> Report {
        let records = self.records.iter();
        let mut several: Vec<&Record> = records
            .filter(|record| record.crashes.len() >= MIN_REPEATED_CRASHES)
            .collect();
        several.sort_by_key(|record| Reverse(record.crashes.len()));
        let crashes = several
            .into_iter()
            .take(MAX_STORED_REQUESTS)
            .flat_map(newest_crashes)
            .copied()
            .collect();
        Report { crashes, suspected: Vec::new(), successes: Vec::new() }
    }

    /// Schedules a report of a part's last success if the part has been in
    /// flight at a crash, as other nodes may not have had a request with it.
    pub(super) fn report_recent_success(&mut self, now: i64, at: usize) {
        if self.subject != Subject::Part {
            return;
        }
        let record = &mut self.records[at];
        let fingerprint = record.fingerprint;
        let recent = self.recent_successes.last_at(fingerprint);
        let Some(succeeded_at) = recent else { return };
        let is_reported = record
            .reported_success_at
            .is_some_and(|at| succeeded_at < at + SUCCESS_REPORT_INTERVAL_MS);
        if is_reported {
            return;
        }
        record.reported_success_at = Some(succeeded_at);
        self.report_success(now, Success { fingerprint, at: succeeded_at });
    }

    pub(super) fn report_success(&mut self, now: i64, success: Success) {
        let mut reports = self.success_reports.iter();
        if !reports.any(|(_, known)| known.fingerprint == success.fingerprint)
        {
            self.success_reports.push((now, success));
        }
    }
}

fn newest_crashes(record: &Record) -> &[Crash] {
    let from = record.crashes.len().saturating_sub(MAX_REPEATED_CRASHES);
    &record.crashes[from..]
}
