//! Whether a node reaches the replicas of a service.
//!
//! A node may lose its links to all replicas of a service while callers and
//! other nodes still reach it. A connection that fails, and attempts that get
//! no byte for some time, are only a suspicion: a replica may have crashed or
//! may be busy. Probes of several replicas decide. If all of them fail, the
//! service is unreachable from this node until probes succeed again.
//!
//! Connections that were open before may still work while no new one opens.
//! [`Reach::works_since`] tells these two cases apart.

use crate::util::common;

/// Time without a byte from any replica of a service, while attempts wait for
/// one, after which its replicas are probed, in ms. Engines under load pause
/// for some tenths of a second.
const MAX_QUIET_MS: u64 = 600;
/// Minimum time between the beginnings of two rounds of probes, in ms.
const PROBE_INTERVAL_MS: u64 = 250;
/// Time from the end of a round of probes to the next one while the service is
/// unreachable, in ms. Replicas that answer late, as they or the links are
/// overloaded, must not be kept busy by the probes of all nodes.
const UNREACHABLE_PROBE_PAUSE_MS: u64 = 400;
/// Number of replicas that are probed after a failure.
const PROBES_AFTER_FAILURE: usize = 3;
/// Number of replicas that are probed at a time while the service is
/// unreachable.
const PROBES_WHILE_UNREACHABLE: usize = 1;
/// Number of replicas that are probed after silence. Another round follows if
/// the probe fails.
const PROBES_AFTER_SILENCE: usize = 1;

common! {
    copy
    /// Result of probing one replica.
    pub enum Probe {
        /// The replica answered.
        Answered,
        /// No connection opened, or it was closed before any byte.
        Failed,
        /// The replica accepted the connection and sent nothing in time.
        Silent,
    }
}

common! {
    copy
    /// A change of whether a service is reachable.
    pub enum Change {
        /// All probes failed.
        Lost,
        /// Probes succeed again.
        Restored {
            /// How long the service was unreachable, in ms.
            after_ms: u64,
        },
    }
}

/// What a node knows of its connections to the replicas of one service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Number of attempts in flight.
    in_flight: u32,
    /// When the oldest attempt may have begun to wait, in ms.
    waiting_since: u64,
    /// When a byte from any replica last arrived, in ms.
    heard_at: u64,
    /// True when a connection has failed since the last round of probes.
    is_suspected: bool,
    is_probing: bool,
    /// When the last round of probes began, in ms.
    probed_at: Option<u64>,
    /// When the last round of probes ended, in ms.
    probes_ended_at: u64,
    unreachable_since: Option<u64>,
    /// True when the last probes failed without a connection.
    is_disconnected: bool,
}

impl Reach {
    /// Records that an attempt begins.
    pub fn record_begin(&mut self, now: u64) {
        if self.in_flight == 0 {
            self.waiting_since = now;
        }
        self.in_flight += 1;
    }

    /// Records that a replica sent something.
    pub fn record_heard(&mut self, now: u64) {
        self.heard_at = now;
    }

    /// Records that an attempt ended.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a connection failed.
    pub fn record_failure(&mut self) {
        self.is_suspected = true;
    }

    /// Returns true if the service can't be reached by new connections.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Returns true if no connection opens. Otherwise an unreachable service
    /// may be only too slow to answer probes.
    pub fn is_disconnected(&self) -> bool {
        self.is_unreachable() && self.is_disconnected
    }

    /// Returns true if attempts wait and no replica has sent anything for
    /// some time.
    pub fn is_quiet(&self, now: u64) -> bool {
        let since = self.heard_at.max(self.waiting_since);
        self.in_flight > 0 && now >= since + MAX_QUIET_MS
    }

    /// Returns the time from which on open connections have proved to work,
    /// if bytes still arrive on them although the service is unreachable.
    pub fn works_since(&self, now: u64) -> Option<u64> {
        let since = self.unreachable_since?;
        let is_heard = self.heard_at > since;
        (is_heard && now < self.heard_at + MAX_QUIET_MS).then_some(since)
    }

    /// Returns the number of replicas to be probed now, and begins a round
    /// of probes if it is not 0.
    pub fn begin_probes(&mut self, now: u64) -> usize {
        // The first failure after a quiet time is probed at once.
        let is_recent = match self.is_unreachable() {
            true => now < self.probes_ended_at + UNREACHABLE_PROBE_PAUSE_MS,
            false => {
                self.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL_MS)
            }
        };
        if self.is_probing || is_recent {
            return 0;
        }
        let count = match (self.is_unreachable(), self.is_suspected) {
            (true, _) => PROBES_WHILE_UNREACHABLE,
            (false, true) => PROBES_AFTER_FAILURE,
            (false, false) if self.is_quiet(now) => PROBES_AFTER_SILENCE,
            (false, false) => return 0,
        };
        self.is_probing = true;
        self.is_suspected = false;
        self.probed_at = Some(now);
        count
    }

    /// Applies the results of the round of probes that began last; `asked` is
    /// the number of probes that it should have had.
    pub fn end_probes(
        &mut self,
        now: u64,
        asked: usize,
        probes: &[Probe],
    ) -> Option<Change> {
        self.is_probing = false;
        self.probes_ended_at = now;
        let began_at = self.probed_at.unwrap_or(now);
        // A busy replica answers late, but it sends something to others.
        let hears_others = self.heard_at >= began_at;
        let is_lost = |probe: &&Probe| match probe {
            Probe::Answered => false,
            Probe::Failed => true,
            Probe::Silent => !hears_others,
        };
        let lost = probes.iter().filter(is_lost).count();
        let reached = probes.len() - lost;
        let all_lost = lost > 0 && reached == 0;
        self.is_disconnected = probes.iter().all(|p| *p == Probe::Failed);
        match self.unreachable_since {
            None if all_lost && asked <= PROBES_AFTER_SILENCE => {
                // One replica may have crashed.
                self.is_suspected = true;
                self.probed_at = None;
                None
            }
            None if all_lost => {
                self.unreachable_since = Some(now);
                Some(Change::Lost)
            }
            None => {
                // The silence is the replicas', not the links'.
                self.waiting_since = now;
                None
            }
            Some(since) if 2 * reached >= probes.len() => {
                self.unreachable_since = None;
                self.is_suspected = false;
                self.waiting_since = now;
                Some(Change::Restored { after_ms: now - since })
            }
            Some(_) => None,
        }
    }
}
