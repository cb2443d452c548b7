//! Logs why a member can't confirm reads or knows no leader.
//!
//! A read that no node can serve has one of three causes: the client does not
//! reach the leader, the leader can't confirm reads, or there is no leader.
//! The members' lines separate the latter two from the first, in which they
//! log nothing.

use tracing::warn;

use super::raft::Node;
use crate::wire::Member;

/// Age from which a read that is not confirmed counts as late, in ms.
///
/// A read takes a few ms. Operators wait 800 ms for it.
const LATE_READ_MS: u64 = 300;
/// Time without a leader after which a member logs it, in ms.
///
/// It begins one election timeout after the leader was last heard, so that
/// elections that succeed at once are not logged.
const NO_LEADER_WARNING_MS: u64 = 1000;
/// Minimum time between two lines on the same subject, in ms.
const LOG_INTERVAL_MS: u64 = 1000;

/// Observes one member at each tick.
#[derive(Debug, Default)]
pub(super) struct Monitor {
    /// The number of late reads since [`Monitor::take_late_reads`].
    late_reads: u64,
    checked_at: u64,
    reads_logged_at: Option<u64>,
    /// The first tick at which the member heard no leader.
    unled_since: Option<u64>,
    no_leader_logged_at: Option<u64>,
}

impl Monitor {
    /// Logs and counts what is missing at `now`.
    pub(super) fn check(&mut self, now: u64, node: &Node) {
        self.check_reads(now, node);
        self.check_leader(now, node);
        self.checked_at = now;
    }

    /// Returns the number of reads that have become late since the last call.
    pub(super) fn take_late_reads(&mut self) -> u64 {
        std::mem::take(&mut self.late_reads)
    }

    fn check_reads(&mut self, now: u64, node: &Node) {
        let Some(reads) = node.unconfirmed_reads(now, LATE_READ_MS) else {
            return;
        };
        let elapsed_ms = now.saturating_sub(self.checked_at);
        let new = reads
            .ages_ms
            .iter()
            .filter(|age_ms| **age_ms < LATE_READ_MS + elapsed_ms);
        self.late_reads += new.count() as u64;
        if !is_due(&mut self.reads_logged_at, now) {
            return;
        }
        warn!(
            target: "control",
            term = node.term(),
            reads = reads.ages_ms.len(),
            oldest_ms = reads.ages_ms.first(),
            missing = ?reads.missing,
            "Reads not confirmed."
        );
    }

    fn check_leader(&mut self, now: u64, node: &Node) {
        if node.hears_leader(now) {
            self.unled_since = None;
            return;
        }
        let since = *self.unled_since.get_or_insert(now);
        let unled_ms = now.saturating_sub(since);
        if unled_ms < NO_LEADER_WARNING_MS
            || !is_due(&mut self.no_leader_logged_at, now)
        {
            return;
        }
        let (voters, learners): (Vec<_>, Vec<_>) =
            node.members().iter().partition(|member| member.voter);
        let addresses = |members: &[&Member]| -> Vec<String> {
            members.iter().map(|member| member.address.clone()).collect()
        };
        let candidacy = node.candidacy();
        warn!(
            target: "control",
            term = node.term(),
            unled_ms,
            last_index = node.last_index(),
            voters = ?addresses(&voters),
            learners = ?addresses(&learners),
            pre_vote = candidacy.as_ref().map(|candidacy| candidacy.pre_vote),
            votes = ?candidacy.map(|candidacy| candidacy.votes),
            "No leader known."
        );
    }
}

/// Whether a line may be logged at `now`; notes that it was.
fn is_due(logged_at: &mut Option<u64>, now: u64) -> bool {
    let due = logged_at.is_none_or(|at| now >= at + LOG_INTERVAL_MS);
    if due {
        *logged_at = Some(now);
    }
    due
}
