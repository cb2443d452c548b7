//! Which ends of replicas a request is held responsible for.
//!
//! Not for those at which it can't have been, and not for those of an outage:
//! many replicas that end together, without another request that ends replicas
//! one after the other.

use super::{CRASHES, Crash, Quarantine, record::Record};

/// Replicas that end within this time of each other end together, in ms: nodes
/// notice it one after the other.
const TOGETHER_MS: u64 = 100;
/// The same of replicas that all had the request, in ms: less than it takes to
/// go on from one that it has ended to the next one.
pub(super) const AT_ONCE_MS: u64 = 20;
/// Nodes notice the end of a replica within this time of each other, in ms.
const NOTICE_LAG_MS: i64 = 300;
/// So many other replicas, and this part of its service's, have to end together
/// for another cause than the request.
const LEAST_TOGETHER: usize = 3;
/// See [`LEAST_TOGETHER`].
const PART_TOGETHER: f32 = 0.25;

impl Quarantine {
    /// How many replicas of a service have to end together for an outage.
    pub(super) fn least_of_outage(replicas: usize) -> usize {
        let part = (replicas as f32 * PART_TOGETHER) as usize;
        part.max(LEAST_TOGETHER)
    }

    /// Whether an end counts against a request, as it was there and `many`
    /// replicas make an outage.
    pub(super) fn counts(
        &self,
        own: &Record,
        crash: &Crash,
        many: usize,
    ) -> bool {
        self.was_there(crash) && !self.is_outage(own, crash, many)
    }

    /// Whether a request can have been at a replica when that ended.
    fn was_there(&self, crash: &Crash) -> bool {
        let ends = self.ends().filter(|one| one.replica == crash.replica);
        let moment = ends.map(|one| one.at).min();
        moment.is_none_or(|moment| crash.at <= moment + NOTICE_LAG_MS)
    }

    /// Whether `many` other replicas ended at the same time, so that the cause
    /// lies elsewhere: a data centre that lost its power takes a request to
    /// three ends that it has nothing to do with.
    fn is_outage(&self, own: &Record, crash: &Crash, many: usize) -> bool {
        let is_own =
            |replica| own.ends().any(|one: &Crash| one.replica == replica);
        let mut others: Vec<u64> = self
            .ends()
            .filter(|one| one.replica != crash.replica)
            .filter(|one| {
                let limit = match is_own(one.replica) {
                    true => AT_ONCE_MS,
                    false => TOGETHER_MS,
                };
                one.at.abs_diff(crash.at) <= limit
            })
            .map(|one| one.replica)
            .collect();
        others.sort_unstable();
        others.dedup();
        if others.len() < many {
            return false;
        }
        // Several such requests at a time would hide each other.
        let explained = self.explained_besides(own.fingerprint);
        others.retain(|one| explained.binary_search(one).is_err());
        others.len() >= many
    }

    /// Replicas that other requests have ended, sorted: those that were at ends
    /// at several different moments.
    fn explained_besides(&self, fingerprint: u64) -> Vec<u64> {
        let others = self.records.iter();
        let mut explained: Vec<u64> = others
            .filter(|one| one.fingerprint != fingerprint)
            .filter(|one| one.moments() >= CRASHES)
            .flat_map(|one| one.ends().map(|end| end.replica))
            .collect();
        explained.sort_unstable();
        explained
    }

    fn ends(&self) -> impl Iterator<Item = &Crash> {
        self.records.iter().flat_map(Record::ends)
    }
}
