//! Rate limits that replicas announce in their answers.
//!
//! A replica under pressure announces the number of requests a second that it
//! accepts from all nodes together. It repeats the limit in each answer until
//! it recovers. Answers can overtake each other, and other nodes forward the
//! limits that they received, so each [`Observation`] carries the time from
//! which it is known to hold, and the newest one wins:
//!
//! - A limit holds from the time at which the answer with it arrived.
//! - The absence of a limit holds from the time at which the request was sent
//!   that was answered without one, because the replica may have written that
//!   answer at any time since then.
//!
//! # How nodes share a limit
//!
//! Nodes learn of each other's requests a few tenths of a second late. In that
//! time, dozens of nodes could each send a request to a replica that accepts
//! one a second. So a limit is divided: each replica has an order of the
//! active nodes, which every node computes alike, and the first nodes in that
//! order have a [`share`] of the limit. Each of these nodes spends its share
//! independently, from a [`Bucket`]. A few large shares serve callers better
//! than many shares that each allow a node one request a minute. Too few
//! shares leave part of a limit unused when a node has fewer requests than its
//! share allows. While nodes disagree on which nodes are active, a share may
//! be assigned twice, so the bucket of a newly assigned share starts empty.
//!
//! Alternatives rejected:
//!
//! - Running totals, as for quotas: all nodes see the same bucket fill up and
//!   send at the same time.
//! - Asking one node for permission for each request: this costs a hop, and
//!   needs more logic for the crash of that node.

use crate::util::position;

/// Number of shares for each request a second of a limit, in addition to the
/// first share. Each share can send one request at once, whatever its rate, so
/// a small limit has few shares.
const SHARES_PER_RATE: f32 = 1.5;
/// Minimum rate at which requests are sent to a replica, in requests a second.
/// A replica that receives no requests could never announce a higher limit.
const MIN_RATE_PER_S: f32 = 0.1;
/// Burst of a share: the requests that it allows in this time, in s, plus one
/// request. Callers do not send requests at an even pace.
const BURST_S: f32 = 0.25;
/// Time for which the end of a limit is kept and reported, in ms: longer than
/// outdated reports of the limit circulate.
const LIFTED_LIMIT_RETENTION_MS: i64 = 10_000;
/// Time for which the limit of a replica is kept that is not in the fleet of
/// this node, in ms. The replica may have been silent, or this node may have
/// just started.
const UNKNOWN_REPLICA_RETENTION_MS: i64 = 60_000;
/// Time for which a new observation is sent with every datagram, in ms: four
/// rounds of the mesh, as a datagram may be lost.
const NEW_OBSERVATION_MS: i64 = 1300;
/// Maximum number of observations in one datagram, at some 20 bytes each.
const MAX_DATAGRAM_OBSERVATIONS: usize = 32;

/// The rate limit of one replica, as of one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Hash of the replica's ID.
    pub replica: u64,
    /// Requests a second that the replica accepts from all nodes together;
    /// `None` without a limit.
    pub rate: Option<f32>,
    /// Time from which the limit is known to hold, in ms by this node's clock.
    pub at: i64,
}

/// The effect of a new observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Rate that was known before; `None` without a limit.
    pub before: Option<f32>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    observation: Observation,
    /// Time at which this node learned of the rate, in ms.
    learned_at: i64,
}

/// Known rate limits of the replicas of all services.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// Newest observation on each replica that has announced a limit, sorted by
    /// replica.
    records: Vec<Record>,
    next_index: usize,
}

impl RateLimits {
    /// Records an observation. Returns the change, if the rate has changed.
    ///
    /// The absence of a limit is not recorded for a replica that has never
    /// announced one.
    pub fn record(
        &mut self,
        now: i64,
        observation: Observation,
    ) -> Option<Change> {
        let record = Record { observation, learned_at: now };
        match self.find(observation.replica) {
            Ok(at) if self.records[at].observation.at < observation.at => {
                let before = self.records[at].observation.rate;
                if before == observation.rate {
                    self.records[at].observation = observation;
                    return None;
                }
                self.records[at] = record;
                Some(Change { before })
            }
            Ok(_) => None,
            Err(_) if observation.rate.is_none() => None,
            Err(at) => {
                self.records.insert(at, record);
                Some(Change { before: None })
            }
        }
    }

    /// Returns the limit of a replica in requests a second, if it has one.
    pub fn rate(&self, replica: u64) -> Option<f32> {
        let found = self.find(replica).ok();
        found.and_then(|at| self.records[at].observation.rate)
    }

    /// Returns the replicas that have a limit, with their rates, sorted by
    /// replica.
    pub fn limited(&self) -> impl Iterator<Item = (u64, f32)> + '_ {
        self.observations().filter_map(|observation| {
            Some((observation.replica, observation.rate?))
        })
    }

    /// Returns whether no replica has a limit.
    pub fn is_empty(&self) -> bool {
        self.limited().next().is_none()
    }

    /// Returns the observations for the next datagram: all new ones, up to the
    /// maximum, and some of the others in turn.
    pub fn take_reports(&mut self, now: i64) -> Vec<Observation> {
        let is_new =
            |record: &&Record| now < record.learned_at + NEW_OBSERVATION_MS;
        let new =
            self.records.iter().filter(is_new).take(MAX_DATAGRAM_OBSERVATIONS);
        let mut sent: Vec<Observation> =
            new.map(|record| record.observation).collect();
        let rest: Vec<Observation> = self
            .records
            .iter()
            .filter(|record| !is_new(record))
            .map(|record| record.observation)
            .collect();
        let count = rest.len().min(MAX_DATAGRAM_OBSERVATIONS - sent.len());
        let start = self.next_index;
        sent.extend((0..count).map(|step| rest[(start + step) % rest.len()]));
        self.next_index = start.wrapping_add(count);
        sent
    }

    /// Returns all observations, for a node that starts.
    pub fn observations(&self) -> impl Iterator<Item = Observation> + '_ {
        self.records.iter().map(|record| record.observation)
    }

    /// Removes ended limits, and limits of unknown replicas, when their
    /// retention time has passed.
    pub fn expire(&mut self, now: i64, is_known: impl Fn(u64) -> bool) {
        self.records.retain(|Record { observation, .. }| {
            match observation.rate {
                None => now < observation.at + LIFTED_LIMIT_RETENTION_MS,
                Some(_) => {
                    now < observation.at + UNKNOWN_REPLICA_RETENTION_MS
                        || is_known(observation.replica)
                }
            }
        });
    }

    fn find(&self, replica: u64) -> Result<usize, usize> {
        position(&self.records, &replica, |record| &record.observation.replica)
    }
}

/// Returns the requests a second that one node may send to a replica that
/// accepts `rate` requests a second from all nodes. `rank` is the position of
/// the node in the order of the `nodes` active nodes, from 0.
pub fn share(rate: f32, rank: usize, nodes: usize) -> f32 {
    let rate = rate.max(MIN_RATE_PER_S);
    let shares = 1 + (rate * SHARES_PER_RATE) as usize;
    let shares = shares.clamp(1, nodes.max(1));
    if rank < shares { rate / shares as f32 } else { 0.0 }
}

/// One node's share of a replica's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allocation {
    /// Hash of the replica's ID.
    pub replica: u64,
    /// Requests a second that the replica accepts from all nodes together.
    pub limit: f32,
    /// Requests a second that this node may send to the replica.
    pub share: f32,
}

/// Token bucket for the requests that one node may send to one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    allocation: Allocation,
    level: f32,
    filled_at: u64,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn open(now: u64, allocation: Allocation) -> Bucket {
        Bucket { allocation, level: 0.0, filled_at: now }
    }

    /// Updates the limit and the share. The bucket becomes empty if the old or
    /// the new share is 0.
    pub fn set(&mut self, now: u64, allocation: Allocation) {
        if self.allocation.share == 0.0 || allocation.share == 0.0 {
            *self = Bucket::open(now, allocation);
            return;
        }
        self.level = self.level(now);
        self.filled_at = now;
        self.allocation = allocation;
    }

    /// Returns the requests a second that the replica accepts from all nodes
    /// together.
    pub fn limit(&self) -> f32 {
        self.allocation.limit
    }

    /// Returns whether a request may be sent.
    pub fn has_room(&self, now: u64) -> bool {
        self.level(now) >= 1.0
    }

    /// Takes the token for one request.
    pub fn take(&mut self, now: u64) {
        self.level = self.level(now) - 1.0;
        self.filled_at = now;
    }

    /// Puts back the token of a request that was not sent.
    pub fn give_back(&mut self) {
        self.level += 1.0;
    }

    fn level(&self, now: u64) -> f32 {
        let elapsed_s = now.saturating_sub(self.filled_at) as f32 / 1000.0;
        let capacity = 1.0 + self.allocation.share * BURST_S;
        (self.level + elapsed_s * self.allocation.share).min(capacity)
    }
}
