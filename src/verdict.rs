//! What is known about whether a request ran.
//!
//! Every refusal and every failure that a caller sees carries a [`Verdict`].
//! It is the one thing a caller needs in order to decide what to do next:
//!
//! | verdict | the caller may |
//! |---|---|
//! | `not run` | send it again, anywhere, at once or after `Retry-After` |
//! | `may have run` | ask for the outcome; a repeat could run it twice |
//! | `ran` | read the answer again by its key |
//!
//! A verdict only ever moves from `not run` to `may have run` to `ran`: see
//! [`Verdict::and`]. The first byte that leaves for an endpoint is the line
//! between the first two.

use crate::util::common;

common! {
    copy
    /// Whether a request may have run.
    pub enum Verdict {
        /// No endpoint was sent any part of it.
        NotRun,
        /// It was sent, and what became of it is unknown.
        MayHaveRun,
        /// An endpoint answered it.
        Ran,
    }
}

impl Verdict {
    /// The header and JSON field that carry a verdict.
    pub const HEADER: &'static str = "azuremount-verdict";

    /// What is known after both were seen of one request.
    pub fn and(self, later: Verdict) -> Verdict {
        self.max(later)
    }

    /// The words used towards callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not run",
            Verdict::MayHaveRun => "may have run",
            Verdict::Ran => "ran",
        }
    }

    /// Reads the words that [`Verdict::as_str`] gives.
    pub fn parse(text: &str) -> Option<Verdict> {
        let all = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
        all.into_iter().find(|verdict| verdict.as_str() == text)
    }

    /// The number on the wire and on disk.
    pub fn as_u32(self) -> u32 {
        match self {
            Verdict::NotRun => 0,
            Verdict::MayHaveRun => 1,
            Verdict::Ran => 2,
        }
    }

    /// Reads a number off the wire. What is unknown may have run.
    pub fn from_u32(number: u32) -> Verdict {
        match number {
            0 => Verdict::NotRun,
            2 => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        }
    }
}
