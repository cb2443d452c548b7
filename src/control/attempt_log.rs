//! The outcomes of one call's attempts, for the text of its error.
//!
//! The text has to tell three cases apart: a connection that stays silent
//! although its member runs, a leader that doesn't answer, and members that
//! know no leader.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::search::Connection;

/// Why an attempt failed.
#[derive(Debug)]
pub struct Failure {
    /// Whether the member answered.
    pub is_answer: bool,
    /// Whether the member may have appended the change.
    pub maybe_appended: bool,
    /// What the member or the connection reported.
    pub text: String,
    /// The leader that the member named.
    pub leader: Option<SocketAddr>,
}

impl Failure {
    /// Returns the failure of an attempt that was not answered in time.
    pub fn timed_out() -> Failure {
        Failure {
            is_answer: false,
            maybe_appended: true,
            text: "timed out".to_owned(),
            leader: None,
        }
    }
}

/// The connections on which a call has asked members, with the outcome of the
/// last attempt on each.
#[derive(Debug)]
pub struct AttemptLog {
    kept_age: Duration,
    attempts: Vec<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    address: SocketAddr,
    connection: Connection,
    asked_at: Instant,
    count: u32,
    failure: Option<Failure>,
}

impl AttemptLog {
    /// Creates an empty log. `kept_age` is the age of the connection that is
    /// kept from former calls.
    pub fn open(kept_age: Duration) -> AttemptLog {
        AttemptLog { kept_age, attempts: Vec::new() }
    }

    /// Returns the number of connections on which members were asked.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Records that a member is asked.
    pub fn record_ask(&mut self, address: SocketAddr, connection: Connection) {
        let asked_at = Instant::now();
        match self.position(address, connection) {
            Some(at) => {
                let attempt = &mut self.attempts[at];
                attempt.asked_at = asked_at;
                attempt.count += 1;
                attempt.failure = None;
            }
            None => self.attempts.push(Attempt {
                address,
                connection,
                asked_at,
                count: 1,
                failure: None,
            }),
        }
    }

    /// Records that the last attempt at a member has failed.
    pub fn record_end(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        failure: Failure,
    ) {
        if let Some(at) = self.position(address, connection) {
            self.attempts[at].failure = Some(failure);
        }
    }

    fn position(
        &self,
        address: SocketAddr,
        connection: Connection,
    ) -> Option<usize> {
        self.attempts.iter().position(|attempt| {
            (attempt.address, attempt.connection) == (address, connection)
        })
    }
}

impl fmt::Display for AttemptLog {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.attempts.is_empty() {
            return out.write_str("no member was asked");
        }
        for (at, attempt) in self.attempts.iter().enumerate() {
            let separator = if at == 0 { "" } else { ", " };
            write!(out, "{separator}{}", attempt.address)?;
            if attempt.connection == Connection::Kept {
                let age_ms = self.kept_age.as_millis();
                write!(out, " (connected for {age_ms} ms)")?;
            }
            match &attempt.failure {
                Some(failure) => {
                    write!(out, ": {}", failure.text)?;
                    if let Some(leader) = failure.leader {
                        write!(out, ", names {leader}")?;
                    }
                }
                None => {
                    let silent_ms = attempt.asked_at.elapsed().as_millis();
                    write!(out, ": silent for {silent_ms} ms")?;
                }
            }
            if attempt.count > 1 {
                write!(out, " (attempt {})", attempt.count)?;
            }
        }
        Ok(())
    }
}
