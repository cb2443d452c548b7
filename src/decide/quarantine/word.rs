//! What nodes tell each other of requests at replicas that ended, and what is
//! kept on disks.

use std::cmp::Reverse;

use super::{Crash, Quarantine, Success, record::Record};
use crate::util::common;

/// For so long news are told, in ms: in four rounds of the mesh, as a datagram
/// may be lost.
const TELL_MS: i64 = 1300;
/// News told at a time, the newest: what is under way at one replica.
const TOLD: usize = 64;
/// Between two times that a request with several crashes is told, in ms, for
/// nodes that missed it behind a cut or have just started.
const AGAIN_MS: i64 = 2000;
/// Such requests told at a time.
const TOLD_AGAIN: usize = 4;
/// Crashes from which on a request is told again, and kept on disks.
const TOLD_FROM: usize = 2;
/// Such requests told to a node that starts, and kept on disks.
const MOST_TOLD: usize = 64;

common! {
    /// What is told to other nodes.
    #[derive(Default)]
    pub struct Word {
        /// Crashes.
        pub crashes: Vec<Crash>,
        /// Those that are not certain.
        pub suspected: Vec<Crash>,
        /// Successes that came after crashes.
        pub successes: Vec<Success>,
    }
}

impl Quarantine {
    /// What goes into the next datagrams: news, and now and then what is known
    /// of requests with several crashes.
    pub fn tell(&mut self, now: i64) -> Word {
        self.crashes.retain(|(at, _)| now < at + TELL_MS);
        self.successes.retain(|(at, _)| now < at + TELL_MS);
        self.suspected.retain(|(at, _)| now < at + TELL_MS);
        let newest = self.suspected.iter().rev().take(TOLD);
        let suspected = newest.map(|(_, one)| *one).collect();
        let newest = self.crashes.iter().rev().take(TOLD);
        let mut crashes: Vec<Crash> = newest.map(|(_, one)| *one).collect();
        let mut due: Vec<&mut Record> = self
            .records
            .iter_mut()
            .filter(|one| one.crashes.len() >= TOLD_FROM)
            .filter(|one| one.told_at.is_none_or(|at| now >= at + AGAIN_MS))
            .collect();
        // In turn, however many there are.
        due.sort_by_key(|one| one.told_at);
        for record in due.into_iter().take(TOLD_AGAIN) {
            record.told_at = Some(now);
            crashes.extend(&record.crashes);
        }
        let newest = self.successes.iter().rev().take(TOLD);
        let successes = newest.map(|(_, one)| *one).collect();
        Word { crashes, suspected, successes }
    }

    /// What a node that starts has to know, and what is kept on disks.
    pub fn several(&self) -> Word {
        let known = self.records.iter();
        let mut several: Vec<&Record> =
            known.filter(|one| one.crashes.len() >= TOLD_FROM).collect();
        several.sort_by_key(|one| Reverse(one.crashes.len()));
        let crashes = several
            .into_iter()
            .take(MOST_TOLD)
            .flat_map(|one| one.crashes.iter().copied())
            .collect();
        Word { crashes, suspected: Vec::new(), successes: Vec::new() }
    }

    pub(super) fn tell_success(&mut self, now: i64, success: Success) {
        let mut told = self.successes.iter();
        if !told.any(|(_, one)| one.fingerprint == success.fingerprint) {
            self.successes.push((now, success));
        }
    }
}
