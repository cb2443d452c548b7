//! Requests that are kept from replicas, as they end those that run them.
//!
//! Some request ends each replica that begins to run it, and its caller sends
//! it again and again, each time under another id and at any node. Each time
//! it takes a replica away for seconds, with all that others had there. So
//! nodes remember which requests were under way at a replica that ended, by
//! what they ask for, and tell each other. Three such ends without a success
//! keep a request away.
//!
//! All that were under way are noted, as nobody can tell the one that did it
//! from those beside it. Three things tell them apart afterwards: bystanders
//! are at one end, not at three; they succeed elsewhere, and a success clears
//! whatever was noted before it, also where that becomes known later; and where
//! many replicas end together, that has another cause, and none of it counts,
//! unless other requests explain it that end replicas one after the other.
//!
//! An end has one moment, the earliest at which any node noticed it. A request
//! that broke off later was sent to a replica that was away already, as where a
//! relay accepts connections for it, and does not count.
//!
//! That a replica has ended is certain only seconds later. Until then an end is
//! suspected, and withdrawn as soon as the replica is heard. Suspected ends
//! count beside certain ones, for as long as it takes to be certain: a request
//! that ends replicas would otherwise end one after the other meanwhile.
//!
//! Whoever is kept away can't succeed any more, and may be a bystander after
//! all: what a team asks all the time is at every end of a service that fails
//! for another reason. So a request is tried again after a while, at one node
//! first; it is free if that ends well, and kept away for longer if not.
//!
//! Ways not taken: sending a suspect to a replica that has nothing else (there
//! is none to spare under load); refusing after two ends (a stream that went
//! on elsewhere is at two when a second replica ends by chance); the log of
//! control (a commit a crash, and none behind a cut).

mod outage;
mod record;
mod sound;
mod word;

pub use self::word::Word;
use self::{record::Record, sound::Sound};
use crate::util::{common, position};

/// Replicas that a request may end before it is kept away. A bystander may be at
/// two ends by chance, hardly ever at three.
pub const CRASHES: usize = 3;
/// How long a request is kept away after its third crash, in ms; each further
/// one doubles it. Three trials take fourteen minutes then, and cost no more
/// replicas than it took to find the request out.
const KEPT_MS: i64 = 120_000;
/// The longest that it is kept away before it is tried again, in ms.
const LONGEST_KEPT_MS: i64 = 3_600_000;
/// Between two trials of one request, in ms, at one node or at the next one:
/// longer than one takes to show how it ends, and all to be told.
const TRIAL_MS: i64 = 5000;
/// Crashes are remembered for so long after a request's last one, in ms:
/// beyond the longest time that it is kept away, so that one more crash is
/// enough after that.
const REMEMBER_MS: i64 = 2 * LONGEST_KEPT_MS;
/// A success is remembered for so long, in ms: longer than word of a crash
/// before it may go round.
const REMEMBER_SUCCESS_MS: i64 = 60_000;
/// How long an end is suspected, in ms: until it is certain or withdrawn.
const SUSPECTED_MS: i64 = 3500;
/// Requests remembered, in some 400 kB: those at sixty ends with thirty under
/// way at each.
const MOST: usize = 2048;
/// Crashes remembered of one request: what the longest time takes.
const MOST_CRASHES: usize = 8;

common! {
    copy
    /// A replica ended while a request was under way there.
    pub struct Crash {
        /// What the request asks for.
        pub fingerprint: u64,
        /// The replica's life.
        pub replica: u64,
        /// When, by this node's clock, in ms; less than none before its start.
        pub at: i64,
    }
}

common! {
    copy
    /// A request ended well.
    pub struct Success {
        /// What it asks for.
        pub fingerprint: u64,
        /// When, as for a crash.
        pub at: i64,
    }
}

common! {
    copy
    /// Why a request is kept away.
    pub struct Reason {
        /// Replicas that ended under it.
        pub crashes: usize,
        /// Since the last of them, in ms.
        pub age_ms: u64,
        /// Until it may be tried again, in ms; 0 from then on.
        pub wait_ms: u64,
        /// Whether all of the ends are certain.
        pub is_certain: bool,
    }
}

impl Reason {
    /// When it is worth to come back, in ms.
    pub fn retry_after_ms(&self) -> u64 {
        match self.is_certain {
            true => self.wait_ms.max(TRIAL_MS as u64),
            false => self.wait_ms,
        }
    }
}

common! {
    copy
    /// Who told of something.
    pub enum Source {
        /// This node saw it, or is the only one that was told.
        Own,
        /// A node that tells all others itself.
        Other,
    }
}

/// What is known of requests at replicas that ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    records: Vec<Record>,
    /// Requests that have ended well lately.
    sound: Sound,
    /// Crashes to be told, with the time when they became known here.
    crashes: Vec<(i64, Crash)>,
    /// The same of suspected ones.
    suspected: Vec<(i64, Crash)>,
    /// The same of successes.
    successes: Vec<(i64, Success)>,
}

impl Quarantine {
    /// Notes a crash; tells how many there are of its request now, or nothing
    /// if it is not news.
    pub fn crash(
        &mut self,
        now: i64,
        crash: Crash,
        source: Source,
    ) -> Option<usize> {
        if self.is_refuted(now, crash) {
            return None;
        }
        let at = self.record(crash.fingerprint);
        let record = &mut self.records[at];
        record.suspected.retain(|one| one.replica != crash.replica);
        if let Some(known) = record.of(crash.replica) {
            // The earliest that anybody tells is the moment of the end.
            known.at = known.at.min(crash.at);
            record.crashes.sort_by_key(|one| one.at);
            return None;
        }
        let after = record.crashes.partition_point(|one| one.at <= crash.at);
        record.crashes.insert(after, crash);
        if record.crashes.len() > MOST_CRASHES {
            record.crashes.remove(0);
        }
        let count = record.crashes.len();
        if source == Source::Own {
            self.crashes.push((now, crash));
        }
        self.bound(crash.fingerprint);
        Some(count)
    }

    /// Notes an end that is not certain; tells how many there are of its
    /// request with it, or nothing if it is not news.
    pub fn suspect(
        &mut self,
        now: i64,
        crash: Crash,
        source: Source,
    ) -> Option<usize> {
        if now >= crash.at + SUSPECTED_MS || self.is_refuted(now, crash) {
            return None;
        }
        let at = self.record(crash.fingerprint);
        let record = &mut self.records[at];
        let mut suspected = record.suspected.iter();
        let is_known = suspected.any(|one| one.replica == crash.replica);
        if is_known || record.of(crash.replica).is_some() {
            return None;
        }
        record.suspected.retain(|one| now < one.at + SUSPECTED_MS);
        if record.suspected.len() < MOST_CRASHES {
            record.suspected.push(crash);
        }
        let count = record.crashes.len() + record.suspected.len();
        if source == Source::Own {
            self.suspected.push((now, crash));
        }
        self.bound(crash.fingerprint);
        Some(count)
    }

    /// True where an end of a replica under a request is suspected.
    pub fn is_suspected(&self, fingerprint: u64) -> bool {
        let found = self.find(&fingerprint);
        found.is_ok_and(|at| !self.records[at].suspected.is_empty())
    }

    /// Withdraws what was suspected of replicas that were heard after it, as
    /// `is_heard` tells by the replica and the moment of its supposed end.
    pub fn withdraw(
        &mut self,
        fingerprint: u64,
        is_heard: impl Fn(u64, i64) -> bool,
    ) {
        let Ok(at) = self.find(&fingerprint) else { return };
        let record = &mut self.records[at];
        record.suspected.retain(|one| !is_heard(one.replica, one.at));
    }

    /// Whether a request has ended well since, so that a crash says nothing of
    /// it. Whoever told of the crash is told so.
    fn is_refuted(&mut self, now: i64, crash: Crash) -> bool {
        let fingerprint = crash.fingerprint;
        let known = self.find(&fingerprint).ok();
        let known = known.and_then(|at| self.records[at].succeeded_at);
        let last = known.max(self.sound.last(fingerprint));
        let Some(at) = last.filter(|at| crash.at <= *at) else {
            return false;
        };
        self.tell_success(now, Success { fingerprint, at });
        true
    }

    /// Notes that a request has ended well; tells how many crashes that
    /// clears, if any.
    pub fn succeed(
        &mut self,
        now: i64,
        success: Success,
        source: Source,
    ) -> Option<usize> {
        self.sound.note(success);
        // Nearly all requests have never been at a replica that ended.
        let at = self.find(&success.fingerprint).ok()?;
        let record = &mut self.records[at];
        let before = record.ends().count();
        record.suspected.retain(|one| one.at > success.at);
        record.crashes.retain(|one| one.at > success.at);
        let cleared = before - record.ends().count();
        if cleared == 0 {
            return None;
        }
        record.succeeded_at = record.succeeded_at.max(Some(success.at));
        let is_before = |one: &Crash| {
            one.fingerprint == success.fingerprint && one.at <= success.at
        };
        self.crashes.retain(|(_, one)| !is_before(one));
        self.suspected.retain(|(_, one)| !is_before(one));
        if source == Source::Own {
            self.tell_success(now, success);
        }
        Some(cleared)
    }

    /// Why a request is kept from replicas, if it is; `replicas` tells how many
    /// its service has.
    pub fn keeps(
        &self,
        now: i64,
        fingerprint: u64,
        replicas: impl FnOnce() -> usize,
    ) -> Option<Reason> {
        let at = self.find(&fingerprint).ok()?;
        let record = &self.records[at];
        let suspected = record.suspected.iter();
        let suspected: Vec<&Crash> =
            suspected.filter(|one| now < one.at + SUSPECTED_MS).collect();
        if record.crashes.len() + suspected.len() < CRASHES {
            return None;
        }
        let many = Quarantine::least_of_outage(replicas());
        let counts = |one: &Crash| self.counts(record, one, many);
        let certain = record.crashes.iter().filter(|one| counts(one)).count();
        let age_ms = |at: i64| (now - at).max(0) as u64;
        if certain >= CRASHES {
            let last = record.crashes.last()?;
            let wait_ms = (last.at + kept_ms(certain) - now).max(0) as u64;
            return Some(Reason {
                crashes: certain,
                age_ms: age_ms(last.at),
                wait_ms,
                is_certain: true,
            });
        }
        let mut suspected: Vec<i64> = suspected
            .into_iter()
            .filter(|one| counts(one))
            .map(|one| one.at)
            .collect();
        suspected.sort_unstable();
        // It is free once so many of them are past that too few are left.
        let spare = (certain + suspected.len()).checked_sub(CRASHES)?;
        let until = suspected[spare] + SUSPECTED_MS;
        Some(Reason {
            crashes: certain + suspected.len(),
            age_ms: age_ms(*suspected.last()?),
            wait_ms: (until - now).max(0) as u64,
            is_certain: false,
        })
    }

    /// Whether this node tries a request again that it keeps away for `reason`.
    ///
    /// `rank` tells how many nodes go before it: each waits for the one before,
    /// so that a request that is as bad as ever ends one replica, not one for
    /// each node.
    pub fn try_again(
        &mut self,
        now: i64,
        fingerprint: u64,
        reason: Reason,
        rank: usize,
    ) -> bool {
        if !reason.is_certain {
            return false;
        }
        let Ok(at) = self.find(&fingerprint) else { return false };
        let record = &mut self.records[at];
        let Some(last) = record.crashes.last() else { return false };
        let due = last.at + kept_ms(reason.crashes) + TRIAL_MS * rank as i64;
        let rests = record.tried_at.is_some_and(|at| now < at + TRIAL_MS);
        let tries = now >= due && !rests;
        if tries {
            record.tried_at = Some(now);
        }
        tries
    }

    /// Drops what is past its time.
    pub fn expire(&mut self, now: i64) {
        self.sound.expire(now);
        self.records.retain(|record| {
            let crash = record.crashes.last();
            let mut suspected = record.suspected.iter();
            crash.is_some_and(|one| now < one.at + REMEMBER_MS)
                || suspected.any(|one| now < one.at + SUSPECTED_MS)
                || record
                    .succeeded_at
                    .is_some_and(|at| now < at + REMEMBER_SUCCESS_MS)
        });
    }

    /// Requests that are remembered to have ended well.
    pub fn remembered(&self) -> usize {
        self.sound.count()
    }

    /// Requests that something is known of.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True while nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn find(&self, fingerprint: &u64) -> Result<usize, usize> {
        position(&self.records, fingerprint, |one| &one.fingerprint)
    }

    fn record(&mut self, fingerprint: u64) -> usize {
        self.find(&fingerprint).unwrap_or_else(|at| {
            let record = Record {
                fingerprint,
                crashes: Vec::new(),
                suspected: Vec::new(),
                succeeded_at: None,
                told_at: None,
                tried_at: None,
            };
            self.records.insert(at, record);
            at
        })
    }

    /// Forgets the request with the fewest crashes, the oldest of these, where
    /// there are too many; never the one that was just noted.
    fn bound(&mut self, newest: u64) {
        if self.records.len() <= MOST {
            return;
        }
        let least = self
            .records
            .iter()
            .enumerate()
            .filter(|(_, one)| one.fingerprint != newest)
            .min_by_key(|(_, one)| {
                (one.crashes.len(), one.crashes.last().map(|last| last.at))
            });
        if let Some((at, _)) = least {
            self.records.remove(at);
        }
    }
}

/// How long a request with so many crashes is kept away, in ms.
fn kept_ms(crashes: usize) -> i64 {
    let more = crashes.saturating_sub(CRASHES);
    (KEPT_MS << more).min(LONGEST_KEPT_MS)
}
