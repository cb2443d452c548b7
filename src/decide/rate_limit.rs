//! The rate of requests that a replica takes, as it names it in its answers.
//!
//! A replica in need names the requests a second that it takes from all nodes
//! together, in each answer until it is well again. Answers overtake each
//! other, and other nodes tell what they were answered, so each statement has
//! the moment that it is known to hold for, and the newest one counts:
//!
//! - a limit, when the answer that names it came in;
//! - that there is none, when the request was sent that was answered without
//!   one: the replica may have written that answer at any moment since.

use crate::util::position;

/// A statement about one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The hash of its id.
    pub replica: u64,
    /// Requests a second from all nodes; `None` for any.
    pub rate: Option<f32>,
    /// Since when it is known to hold, in ms by this node's clock.
    pub at: i64,
}

/// What the replicas of all services have named.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// The newest of each replica that has named a limit; sorted by replica.
    statements: Vec<Statement>,
}

impl RateLimits {
    /// Takes a statement, and returns the one before it if this changes it.
    ///
    /// What is known of a replica that never named a limit is not kept.
    pub fn note(&mut self, statement: Statement) -> Option<Option<Statement>> {
        let replica = statement.replica;
        match position(&self.statements, &replica, |one| &one.replica) {
            Ok(at) if self.statements[at].at < statement.at => {
                let before = self.statements[at];
                self.statements[at] = statement;
                (before.rate != statement.rate).then_some(Some(before))
            }
            Ok(_) => None,
            Err(_) if statement.rate.is_none() => None,
            Err(at) => {
                self.statements.insert(at, statement);
                Some(None)
            }
        }
    }

    /// The rate that a replica takes, if it has a limit.
    pub fn rate(&self, replica: u64) -> Option<f32> {
        let found = position(&self.statements, &replica, |one| &one.replica);
        found.ok().and_then(|at| self.statements[at].rate)
    }

    /// Replicas that have a limit.
    pub fn len(&self) -> usize {
        self.statements.iter().filter(|one| one.rate.is_some()).count()
    }

    /// True when none has.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
