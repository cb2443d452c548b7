//! Counts of answers, failures and times by software version.
//!
//! Times are counted by what they depend on besides the version: the route,
//! the step, and the size of the request. The size of the time to the first
//! piece is the number of prompt tokens that the replica probably has to
//! compute, so that a cold cache is compared with requests of the same size
//! and not taken for a slow version. The size of the whole time is the number
//! of answer tokens.

use crate::util::{common, position};

/// Number of intervals of a histogram. Each is longer than the one before by
/// the square root of 2.
pub const INTERVALS: usize = 32;
/// End of the first interval, in ms. Shorter times say more about the node
/// than about the replica.
const FIRST_INTERVAL_MS: f32 = 8.0;
/// Largest number of tallies that a node keeps of a roll-out. Routes beyond
/// that are not judged on their own.
pub const MAX_TALLIES: usize = 160;
/// Classes by size, for each of the two times.
const SIZES: u32 = 32;

common! {
    copy
    /// How an attempt ended.
    pub enum End {
        /// With a success.
        Good,
        /// With a failure.
        Failed,
        /// The replica broke off the answer.
        Broken,
        /// Its caller left, which says nothing but that it took so long.
        Left,
    }
}

common! {
    copy
    /// One attempt.
    pub struct Sample {
        /// Hash of the route's name.
        pub route: u64,
        /// The step of the roll-out.
        pub step: u32,
        /// Whether the replica had the version of the order.
        pub is_new: bool,
        /// Prompt tokens that the replica had to compute.
        pub prompt: u32,
        /// Answer tokens, 0 if that is not known.
        pub answer: u32,
        /// Time to the first piece of the answer, in ms.
        pub first_ms: Option<u32>,
        /// Time to the end of a stream, in ms.
        pub whole_ms: Option<u32>,
        /// How it ended.
        pub end: End,
    }
}

common! {
    copy
    /// What a tally counts.
    pub struct Key {
        /// Hash of the route's name.
        pub route: u64,
        /// Whether the replicas had the version of the order.
        pub is_new: bool,
        /// What is timed, and the size of the request.
        pub class: u32,
        /// The step of the roll-out.
        pub step: u32,
    }
}

impl Key {
    /// Returns true if the times are those to the first piece.
    pub fn is_first(&self) -> bool {
        self.class < SIZES
    }
}

common! {
    /// Counts of one kind of attempts.
    pub struct Tally {
        /// What is counted.
        pub key: Key,
        /// Answers, including failures.
        pub answers: u32,
        /// Failures.
        pub failures: u32,
        /// Answers that the replica broke off.
        pub breaks: u32,
        /// Histogram of the times.
        pub times: [u32; INTERVALS],
    }
}

impl Tally {
    /// Creates a tally without attempts.
    pub fn open(key: Key) -> Tally {
        Tally {
            key,
            answers: 0,
            failures: 0,
            breaks: 0,
            times: [0; INTERVALS],
        }
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Tally) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        self.breaks = self.breaks.saturating_add(other.breaks);
        for (time, other) in self.times.iter_mut().zip(other.times) {
            *time = time.saturating_add(other);
        }
    }

    /// Returns the number of times.
    pub fn timed(&self) -> u32 {
        self.times.iter().sum()
    }
}

/// Tallies, sorted by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tallies(Vec<Tally>);

impl Tallies {
    /// Counts an attempt.
    pub fn record(&mut self, sample: &Sample) {
        let Sample { route, step, is_new, .. } = *sample;
        let class = size_class(sample.prompt);
        let counted = u32::from(sample.end != End::Left);
        let Some(tally) = self.tally(Key { route, is_new, class, step })
        else {
            return;
        };
        tally.answers += counted;
        tally.failures += u32::from(sample.end == End::Failed);
        tally.breaks += u32::from(sample.end == End::Broken);
        // The time of a failure says nothing about how long an answer takes.
        if let Some(ms) = sample.first_ms
            && sample.end != End::Failed
        {
            tally.times[interval(ms)] += 1;
        }
        let Some(ms) = sample.whole_ms else { return };
        let class = SIZES + size_class(sample.answer);
        if let Some(tally) = self.tally(Key { route, is_new, class, step }) {
            tally.times[interval(ms)] += 1;
        }
    }

    /// Adds the counts of a tally.
    pub fn add(&mut self, tally: &Tally) {
        match position(&self.0, &tally.key, |known| &known.key) {
            Ok(at) => self.0[at].add(tally),
            Err(at) => self.0.insert(at, tally.clone()),
        }
    }

    /// Returns the tallies in the order of their keys.
    pub fn iter(&self) -> std::slice::Iter<'_, Tally> {
        self.0.iter()
    }

    /// Returns a tally.
    pub fn get(&self, key: &Key) -> Option<&Tally> {
        let at = position(&self.0, key, |known| &known.key);
        at.ok().map(|at| &self.0[at])
    }

    fn tally(&mut self, key: Key) -> Option<&mut Tally> {
        let at = match position(&self.0, &key, |known| &known.key) {
            Ok(at) => at,
            Err(_) if self.0.len() >= MAX_TALLIES => return None,
            Err(at) => {
                self.0.insert(at, Tally::open(key));
                at
            }
        };
        Some(&mut self.0[at])
    }
}

/// Returns the class of a number of tokens: one for each power of 2.
fn size_class(tokens: u32) -> u32 {
    (tokens.saturating_add(1)).ilog2().min(SIZES - 1)
}

/// Returns the interval of a time.
fn interval(ms: u32) -> usize {
    let ratio = ms as f32 / FIRST_INTERVAL_MS;
    match ratio < 1.0 {
        true => 0,
        false => ((2.0 * ratio.log2()) as usize + 1).min(INTERVALS - 1),
    }
}
