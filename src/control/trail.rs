//! What became of the attempts of one call to the control members.
//!
//! The text of a failed call has to tell three cases apart: a connection that
//! stays silent although its member is well, a leader that doesn't answer,
//! and members that know no leader.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The members that a call has asked, with the outcome of the last attempt at
/// each.
#[derive(Debug)]
pub struct Trail {
    kept: (SocketAddr, Duration),
    attempts: Vec<Attempt>,
}

#[derive(Debug)]
struct Attempt {
    address: SocketAddr,
    asked_at: Instant,
    count: u32,
    failure: Option<Failure>,
}

#[derive(Debug)]
struct Failure {
    text: String,
    leader: Option<SocketAddr>,
}

impl Trail {
    /// Creates an empty trail. `kept` is the member whose connection is kept
    /// from former calls, and the age of that connection.
    pub fn open(kept: (SocketAddr, Duration)) -> Trail {
        Trail { kept, attempts: Vec::new() }
    }

    /// Records that a member is asked.
    pub fn record_ask(&mut self, address: SocketAddr) {
        let asked_at = Instant::now();
        match self.attempts.iter_mut().find(|old| old.address == address) {
            Some(attempt) => {
                attempt.asked_at = asked_at;
                attempt.count += 1;
                attempt.failure = None;
            }
            None => self.attempts.push(Attempt {
                address,
                asked_at,
                count: 1,
                failure: None,
            }),
        }
    }

    /// Records that the last attempt at a member failed, and which leader it
    /// named.
    pub fn record_failure(
        &mut self,
        address: SocketAddr,
        text: String,
        leader: Option<SocketAddr>,
    ) {
        let attempt =
            self.attempts.iter_mut().find(|old| old.address == address);
        if let Some(attempt) = attempt {
            attempt.failure = Some(Failure { text, leader });
        }
    }
}

impl fmt::Display for Trail {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.attempts.is_empty() {
            return out.write_str("no member was asked");
        }
        let (kept, age) = self.kept;
        for (at, attempt) in self.attempts.iter().enumerate() {
            let separator = if at == 0 { "" } else { ", " };
            write!(out, "{separator}{}", attempt.address)?;
            if attempt.address == kept {
                write!(out, " (connected for {} ms)", age.as_millis())?;
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
