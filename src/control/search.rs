//! The order in which a call asks the control members, without I/O.
//!
//! Answers calls while some members are silent and the others refuse, as in an
//! election or after a loss of power. Only the leader executes a call, and any
//! member may be the leader at the next moment:
//!
//! - A member that has refused is asked again after [`RETRY_INTERVAL_MS`],
//!   whatever other attempts are open.
//! - A silent member isn't waited for: after the hedge delay the next one is
//!   asked as well, and the silent one may still answer.
//! - The leader that a refusal names is asked at once. If it is silent on the
//!   connection that was kept from former calls, that connection may have lost
//!   its other end, so the member is asked on a new one.

use std::net::SocketAddr;

use crate::util::common;

/// Time after which a member that has refused is asked again, in ms.
///
/// An election takes a second or more, and a refusal costs a member little.
pub const RETRY_INTERVAL_MS: u64 = 50;

common! {
    copy
    /// The connection on which a member is asked.
    pub enum Connection {
        /// The one that has answered former calls.
        Kept,
        /// One on which no former call was answered.
        New,
    }
}

#[derive(Debug)]
struct Candidate {
    address: SocketAddr,
    is_open_on_new: bool,
    refused_at: Option<u64>,
    asked_at: Option<u64>,
}

impl Candidate {
    fn new(address: SocketAddr) -> Candidate {
        Candidate {
            address,
            is_open_on_new: false,
            refused_at: None,
            asked_at: None,
        }
    }
}

/// The connection kept from former calls.
#[derive(Debug)]
struct Kept {
    address: SocketAddr,
    /// Whether this call may still be sent on it.
    is_unused: bool,
    is_open: bool,
    /// Time at which the call was sent on it, or at which an answer to another
    /// call arrived on it since.
    heard_at: u64,
}

/// The state of one call's search for the leader. Times are in ms since the
/// call began.
#[derive(Debug)]
pub struct Search {
    /// In the order in which members are asked first.
    candidates: Vec<Candidate>,
    kept: Kept,
    /// The leader that the newest refusal names.
    leader: Option<SocketAddr>,
    hedge_delay_ms: u64,
    ask_at: u64,
}

impl Search {
    /// Creates a search that begins with the member at `first`, on the
    /// connection kept from former calls if `is_kept` is set.
    pub fn open(
        first: SocketAddr,
        is_kept: bool,
        hedge_delay_ms: u64,
    ) -> Search {
        Search {
            candidates: vec![Candidate::new(first)],
            kept: Kept {
                address: first,
                is_unused: is_kept,
                is_open: false,
                heard_at: 0,
            },
            leader: None,
            hedge_delay_ms,
            ask_at: 0,
        }
    }

    /// Adds the members that the search doesn't know yet, in the order of the
    /// list, beginning after the member that is asked first.
    pub fn add_members(&mut self, members: &[SocketAddr]) {
        let first = self.candidates[0].address;
        let at = members.iter().position(|member| *member == first);
        let from = at.map_or(0, |at| at + 1);
        for member in members.iter().cycle().skip(from).take(members.len()) {
            if !self.candidates.iter().any(|old| old.address == *member) {
                self.candidates.push(Candidate::new(*member));
            }
        }
    }

    /// Records when an answer to any call arrived on the kept connection.
    pub fn record_heard(&mut self, at: u64) {
        self.kept.heard_at = self.kept.heard_at.max(at);
    }

    /// Returns the leader that the newest refusal names.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Returns the time at which a member may be asked next.
    pub fn next_ask_at(&self) -> u64 {
        self.ask_at
    }

    /// Returns the member to ask now, if any, and on which connection.
    pub fn ask(&mut self, now: u64) -> Option<(SocketAddr, Connection)> {
        if now < self.ask_at {
            return None;
        }
        let Some(at) = self.leader_to_ask(now).or_else(|| self.next(now))
        else {
            self.ask_at = now + RETRY_INTERVAL_MS;
            return None;
        };
        self.ask_at = now + self.hedge_delay_ms;
        let candidate = &mut self.candidates[at];
        candidate.asked_at = Some(now);
        if self.kept.is_unused && self.kept.address == candidate.address {
            self.kept.is_unused = false;
            self.kept.is_open = true;
            self.kept.heard_at = now;
            return Some((candidate.address, Connection::Kept));
        }
        candidate.is_open_on_new = true;
        Some((candidate.address, Connection::New))
    }

    /// Records that an attempt has ended without executing the call, and which
    /// leader the member named.
    pub fn record_end(
        &mut self,
        now: u64,
        address: SocketAddr,
        connection: Connection,
        leader: Option<SocketAddr>,
    ) {
        let mut candidates = self.candidates.iter_mut();
        let ended = candidates.find(|candidate| candidate.address == address);
        if let Some(candidate) = ended {
            candidate.refused_at = Some(now);
            candidate.is_open_on_new &= connection == Connection::Kept;
        }
        self.kept.is_open &= connection == Connection::New;
        if leader.is_some() || self.leader == Some(address) {
            self.leader = leader;
        }
        let delay_ms = match self.leader_to_ask(now) {
            Some(_) => 0,
            None => RETRY_INTERVAL_MS,
        };
        self.ask_at = self.ask_at.min(now + delay_ms);
    }

    fn leader_to_ask(&self, now: u64) -> Option<usize> {
        let leader = self.leader?;
        self.candidates.iter().position(|candidate| {
            candidate.address == leader && self.may_ask(now, candidate)
        })
    }

    /// Returns the member that was asked longest ago, or the one that is
    /// silent on the kept connection if another member is silent too.
    fn next(&self, now: u64) -> Option<usize> {
        if self.kept.is_open && !self.is_kept_silent(now) {
            return None;
        }
        // If another member is silent as well, the kept connection is as
        // likely to be at fault as the member.
        let is_retry = |candidate: &Candidate| {
            self.is_open_on_kept(candidate) && self.may_ask(now, candidate)
        };
        if self.candidates.iter().any(|candidate| candidate.is_open_on_new)
            && let Some(at) = self.candidates.iter().position(is_retry)
        {
            return Some(at);
        }
        let candidates = self.candidates.iter().enumerate();
        candidates
            .filter(|(_, candidate)| self.may_ask(now, candidate))
            .min_by_key(|(_, candidate)| candidate.asked_at)
            .map(|(at, _)| at)
    }

    fn may_ask(&self, now: u64, candidate: &Candidate) -> bool {
        let has_refused = candidate
            .refused_at
            .is_some_and(|at| now < at + RETRY_INTERVAL_MS);
        let may_answer = candidate.is_open_on_new
            || self.is_open_on_kept(candidate) && !self.is_kept_silent(now);
        !has_refused && !may_answer
    }

    fn is_open_on_kept(&self, candidate: &Candidate) -> bool {
        self.kept.is_open && self.kept.address == candidate.address
    }

    fn is_kept_silent(&self, now: u64) -> bool {
        now >= self.kept.heard_at + self.hedge_delay_ms
    }
}
