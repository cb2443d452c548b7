//! Verdicts: whether a request may have run.
//!
//! Every refusal and every failure that a caller receives carries a
//! [`Verdict`], which determines what the caller may do next:
//!
//! | verdict | the caller may |
//! |---|---|
//! | `not run` | send it again, anywhere, at once or after `Retry-After` |
//! | `may have run` | ask for the outcome; a repeat could run it twice |
//! | `ran` | read the answer again by its key |
//!
//! A verdict only changes from `not run` to `may have run` to `ran`; see
//! [`Verdict::and`]. Once the first byte has been sent to an endpoint, a
//! request may have run.

use crate::util::common;

common! {
    copy
    /// Whether a request may have run.
    pub enum Verdict {
        /// No endpoint was sent any part of it.
        NotRun,
        /// It was sent, and the outcome is unknown.
        MayHaveRun,
        /// An endpoint answered it.
        Ran,
    }
}

impl Verdict {
    /// Name of the header and JSON field with a verdict.
    pub const HEADER: &'static str = "azuremount-verdict";

    /// Combines the verdicts of two attempts of one request.
    pub fn and(self, later: Verdict) -> Verdict {
        self.max(later)
    }

    /// Returns the text that callers receive.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not run",
            Verdict::MayHaveRun => "may have run",
            Verdict::Ran => "ran",
        }
    }

    /// Parses the text that [`Verdict::as_str`] returns.
    pub fn parse(text: &str) -> Option<Verdict> {
        let all = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
        all.into_iter().find(|verdict| verdict.as_str() == text)
    }

    /// Returns the number on the wire and on disk.
    pub fn as_u32(self) -> u32 {
        match self {
            Verdict::NotRun => 0,
            Verdict::MayHaveRun => 1,
            Verdict::Ran => 2,
        }
    }

    /// Converts a number from the wire. An unknown number counts as "may have
    /// run".
    pub fn from_u32(number: u32) -> Verdict {
        match number {
            0 => Verdict::NotRun,
            2 => Verdict::Ran,
            _ => Verdict::MayHaveRun,
        }
    }
}
