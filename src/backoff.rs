//! Backoffs that replicas request, and departures that they announce.
//!
//! A replica that rejects a request may ask the node that sent it for a
//! backoff: a time in which the node sends it nothing. An answer may also
//! announce that the replica leaves, which is a backoff without an end. Either
//! concerns one incarnation of the replica.
//!
//! An answer doesn't name the incarnation that sent it. A replica that has
//! just restarted answers before its first heartbeat arrives, and the node
//! then takes the answer for one of the former incarnation. [`Backoffs`]
//! therefore keeps the wall time of each request for a backoff. An incarnation
//! is held to those that were made after its start, and, as the node's clock
//! may have jumped, to those in answers to requests that were sent to it.

use http::{HeaderMap, StatusCode, header};

use crate::util::{common, position};

/// End of a backoff that lasts as long as the replica's incarnation.
pub const NEVER: u64 = u64::MAX;
/// Shortest requested backoff that takes the place of the router's own penalty
/// for a rejection, in ms. With a shorter one, a replica that rejects every
/// request would be tried more often than one that requests none.
const MIN_BACKOFF_MS: u64 = 1000;
/// Longest backoff that a replica can request, in ms. A replica that wants no
/// requests for longer leaves, and a larger number is a fault of the replica
/// that would take it out of use for good.
pub const MAX_BACKOFF_MS: u64 = 3_600_000;
/// Largest difference between the clocks of a replica and a node, in ms.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 100;
/// Time for which the backoffs of a replica are kept that this node doesn't
/// know, in ms. It may only have been silent.
const UNKNOWN_REPLICA_RETENTION_MS: u64 = 60_000;
/// Maximum number of notices that are kept of one replica.
const MAX_NOTICES: usize = 8;

common! {
    copy
    /// The backoff that an answer requests.
    pub enum Backoff {
        /// The answer requests none.
        None,
        /// Length in ms, at most [`MAX_BACKOFF_MS`].
        Ms(u64),
        /// The header can't be parsed, or the length exceeds the maximum.
        Unreadable,
    }
}

impl Backoff {
    /// Parses `Retry-After` of an answer with status 503: seconds in decimal
    /// digits, with an optional fraction.
    ///
    /// With other statuses the header concerns the request or its team, not
    /// the replica. A date is not supported, as the clocks of replicas and
    /// nodes differ.
    pub fn parse(status: StatusCode, headers: &HeaderMap) -> Backoff {
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return Backoff::None;
        }
        let Some(value) = headers.get(header::RETRY_AFTER) else {
            return Backoff::None;
        };
        let text = value.to_str().unwrap_or_default().trim();
        let is_decimal =
            text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let seconds = text.parse::<f64>().ok().filter(|_| is_decimal);
        // The conversion saturates.
        let length_ms =
            seconds.map(|seconds| (seconds * 1000.0).ceil() as u64);
        match length_ms.filter(|length| *length <= MAX_BACKOFF_MS) {
            Some(length) => Backoff::Ms(length),
            None => Backoff::Unreadable,
        }
    }

    /// Whether a rejection that requests this backoff says nothing about the
    /// replica beyond it. Otherwise the rejection is a failure.
    pub fn replaces_penalty(self) -> bool {
        matches!(self, Backoff::Ms(length) if length >= MIN_BACKOFF_MS)
    }
}

common! {
    copy
    /// The end of a backoff, and when the replica requested it.
    pub struct Notice {
        /// End by the timer's clock, in ms.
        pub until: u64,
        /// Wall time of the request for the backoff, in ms.
        pub wall_ms: u64,
        /// Start of the incarnation that the node had sent the request to, as
        /// wall time in ms; 0 if it is not known.
        pub born: u64,
    }
}

#[derive(Debug)]
struct Record {
    replica: u64,
    /// Notices in the order of arrival. Each ends before the ones that arrived
    /// earlier, which may be of a former incarnation.
    notices: Vec<Notice>,
    /// When the last notice arrived, by the timer's clock, in ms.
    arrived_at: u64,
}

/// The backoffs in force, of the replicas that this node sends requests to.
#[derive(Debug, Default)]
pub struct Backoffs {
    /// Sorted by replica.
    records: Vec<Record>,
}

impl Backoffs {
    /// Records a notice of `replica`, a hash of its id.
    pub fn record(&mut self, now: u64, replica: u64, notice: Notice) {
        let found =
            position(&self.records, &replica, |record| &record.replica);
        let at = found.unwrap_or_else(|at| {
            let notices = Vec::new();
            let record = Record { replica, notices, arrived_at: now };
            self.records.insert(at, record);
            at
        });
        let record = &mut self.records[at];
        record.arrived_at = now;
        let notices = &mut record.notices;
        notices.retain(|known| known.until > notice.until.max(now));
        if notices.len() == MAX_NOTICES {
            notices.remove(0);
        }
        notices.push(notice);
    }

    /// Returns the time until which the incarnation of `replica` that started
    /// at the wall time `born` is sent nothing, or 0. `born` is 0 if it is not
    /// known.
    pub fn until(&self, replica: u64, born: u64) -> u64 {
        let found =
            position(&self.records, &replica, |record| &record.replica);
        let Ok(at) = found else { return 0 };
        let applies = |notice: &&Notice| {
            notice.born == born
                || notice.wall_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS)
                    >= born
        };
        let notices = self.records[at].notices.iter().filter(applies);
        notices.map(|notice| notice.until).max().unwrap_or(0)
    }

    /// Returns true if no replica has requested a backoff.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of replicas with a backoff in force.
    pub fn count(&self, now: u64) -> usize {
        self.records.iter().filter(|record| record.is_in_force(now)).count()
    }

    /// Removes backoffs that have ended, and those of unknown replicas.
    pub fn expire(&mut self, now: u64, is_known: impl Fn(u64) -> bool) {
        self.records.retain(|record| {
            let is_recent =
                now < record.arrived_at + UNKNOWN_REPLICA_RETENTION_MS;
            record.is_in_force(now) && (is_recent || is_known(record.replica))
        });
    }
}

impl Record {
    fn is_in_force(&self, now: u64) -> bool {
        self.notices.iter().any(|notice| now < notice.until)
    }
}
