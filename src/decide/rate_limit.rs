//! The rate of requests that a replica takes, as it names it in its answers.
//!
//! A replica in need names the requests a second that it takes from all nodes
//! together, in each answer until it is well again. Answers overtake each
//! other, and other nodes tell what they were answered, so each [`Statement`]
//! has the moment that it is known to hold for, and the newest one counts:
//!
//! - a limit, when the answer that names it came in;
//! - that there is none, when the request was sent that was answered without
//!   one: the replica may have written that answer at any moment since.
//!
//! # How nodes share a limit
//!
//! Nodes learn of each other's requests some tenths of a second late, in which
//! dozens of them could each send a request to a replica that takes one a
//! second. So a limit is divided: for each replica an order of the active
//! nodes, which all find alike, says which of them have a [`share`] of it. Each
//! of these spends its share by itself, from a [`Bucket`]. Few large shares
//! serve a node's callers better than many that give each node a request in a
//! minute; shares that are too few leave a limit unused where a node has fewer
//! requests than its share. While nodes disagree about who is active a replica
//! may get a share twice, so a share that a node comes into begins empty.
//!
//! Ways not taken: running totals as for quotas (all nodes see the same bucket
//! fill up and send together); asking one node for each request (a hop, and
//! more to decide when that node dies).

use crate::util::position;

/// Shares of a limit for each request a second, besides one. Each share can
/// give out one request at once, whatever its rate, so a small limit has few.
const SHARES_PER_RATE: f32 = 1.5;
/// The least that is sent to a replica, in requests a second: one that gets
/// nothing could never say that it takes more again.
const LEAST_PER_S: f32 = 0.1;
/// A share saves up what it gives in this time, in s, and one request: callers
/// come in no even pace.
const SAVED_S: f32 = 0.25;
/// That a replica has no limit any more is told for so long, in ms: longer than
/// old word of the limit goes round.
const LIFTED_MS: i64 = 10_000;
/// The limit of a replica that is not known here is kept for so long, in ms:
/// it may have been silent, or this node may have just started.
const UNKNOWN_MS: i64 = 60_000;
/// News are told in each datagram for so long, in ms: in four rounds of the
/// mesh, as a datagram may be lost.
const TELL_MS: i64 = 1300;
/// Statements in one datagram, at some 20 bytes each.
const TOLD: usize = 32;

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

/// What a statement has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The rate that was known before; `None` for any.
    pub before: Option<f32>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    statement: Statement,
    /// When its rate became known here.
    learned_at: i64,
}

/// What the replicas of all services have named.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// The newest of each replica that has named a limit; sorted by replica.
    known: Vec<Known>,
    next_told: usize,
}

impl RateLimits {
    /// Takes a statement; tells what it changes, if anything.
    ///
    /// That a replica which never named a limit has none is not kept.
    pub fn note(&mut self, now: i64, statement: Statement) -> Option<Change> {
        let new = Known { statement, learned_at: now };
        match self.find(statement.replica) {
            Ok(at) if self.known[at].statement.at < statement.at => {
                let before = self.known[at].statement.rate;
                if before == statement.rate {
                    self.known[at].statement = statement;
                    return None;
                }
                self.known[at] = new;
                Some(Change { before })
            }
            Ok(_) => None,
            Err(_) if statement.rate.is_none() => None,
            Err(at) => {
                self.known.insert(at, new);
                Some(Change { before: None })
            }
        }
    }

    /// The rate that a replica takes, if it has a limit.
    pub fn rate(&self, replica: u64) -> Option<f32> {
        let found = self.find(replica).ok();
        found.and_then(|at| self.known[at].statement.rate)
    }

    /// Replicas that have a limit, and the rates that they take; sorted.
    pub fn limited(&self) -> impl Iterator<Item = (u64, f32)> + '_ {
        self.statements().filter_map(|one| Some((one.replica, one.rate?)))
    }

    /// True when no replica has a limit.
    pub fn is_empty(&self) -> bool {
        self.limited().next().is_none()
    }

    /// What is told in the next datagram: news, and some of the rest in turn.
    pub fn tell(&mut self, now: i64) -> Vec<Statement> {
        let is_new = |one: &&Known| now < one.learned_at + TELL_MS;
        let news = self.known.iter().filter(is_new).take(TOLD);
        let mut told: Vec<Statement> = news.map(|one| one.statement).collect();
        let rest: Vec<Statement> = self
            .known
            .iter()
            .filter(|one| !is_new(one))
            .map(|one| one.statement)
            .collect();
        let count = rest.len().min(TOLD - told.len());
        let from = self.next_told;
        told.extend((0..count).map(|step| rest[(from + step) % rest.len()]));
        self.next_told = from.wrapping_add(count);
        told
    }

    /// All of it, for a node that starts.
    pub fn statements(&self) -> impl Iterator<Item = Statement> + '_ {
        self.known.iter().map(|one| one.statement)
    }

    /// Drops what is past its time.
    pub fn expire(&mut self, now: i64, is_known: impl Fn(u64) -> bool) {
        self.known.retain(|Known { statement, .. }| match statement.rate {
            None => now < statement.at + LIFTED_MS,
            Some(_) => {
                now < statement.at + UNKNOWN_MS || is_known(statement.replica)
            }
        });
    }

    fn find(&self, replica: u64) -> Result<usize, usize> {
        position(&self.known, &replica, |one| &one.statement.replica)
    }
}

/// The requests a second that one node may send to a replica that takes
/// `rate` from all: the node's `rank` in the order of the active ones, from 0,
/// and how many there are.
pub fn share(rate: f32, rank: usize, nodes: usize) -> f32 {
    let rate = rate.max(LEAST_PER_S);
    let shares = 1 + (rate * SHARES_PER_RATE) as usize;
    let shares = shares.clamp(1, nodes.max(1));
    if rank < shares { rate / shares as f32 } else { 0.0 }
}

/// One node's part of a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The hash of the replica's id.
    pub replica: u64,
    /// Requests a second that the replica takes from all nodes.
    pub limit: f32,
    /// Requests a second that this node may send it.
    pub share: f32,
}

/// What one node may still send to one replica: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    part: Part,
    level: f32,
    filled_at: u64,
}

impl Bucket {
    /// Begins empty.
    pub fn open(now: u64, part: Part) -> Bucket {
        Bucket { part, level: 0.0, filled_at: now }
    }

    /// Takes another limit, or another share of it.
    pub fn set(&mut self, now: u64, part: Part) {
        if self.part.share == 0.0 || part.share == 0.0 {
            *self = Bucket::open(now, part);
            return;
        }
        self.level = self.level(now);
        self.filled_at = now;
        self.part = part;
    }

    /// The requests a second that the replica takes from all nodes.
    pub fn limit(&self) -> f32 {
        self.part.limit
    }

    /// True when a request may be sent.
    pub fn has_room(&self, now: u64) -> bool {
        self.level(now) >= 1.0
    }

    /// Counts a request.
    pub fn take(&mut self, now: u64) {
        self.level = self.level(now) - 1.0;
        self.filled_at = now;
    }

    /// Takes back one that was not sent.
    pub fn give_back(&mut self) {
        self.level += 1.0;
    }

    fn level(&self, now: u64) -> f32 {
        let passed_s = now.saturating_sub(self.filled_at) as f32 / 1000.0;
        let most = 1.0 + self.part.share * SAVED_S;
        (self.level + passed_s * self.part.share).min(most)
    }
}
