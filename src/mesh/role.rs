//! Which nodes take callers' requests, and which stand by.
//!
//! Choosing a replica is as good as what a node knows of the other nodes'
//! requests. That takes longer the more of them there are: three hundred nodes
//! that each choose for four requests a second know of each other three seconds
//! late on average, forty that choose for thirty do in a third of a second. So callers are
//! sent to a few nodes of their own data centre, as many as its requests need.
//! The others stand by: they know who is active, and take over when too few
//! are.
//!
//! Nobody decides for another node. Each compares itself with those that it
//! hears, by an order that all find alike, and says what it is. Where nodes
//! know different things for a while there are some too many or too few
//! active ones; both mend themselves, and each node serves whoever asks it.
//!
//! | role | is handed out | tells and hears load | becomes |
//! |---|---|---|---|
//! | active | yes | yes | draining, after 3 s among too many |
//! | draining | no | yes, as callers keep addresses | standby after 10 s, at once if it has had no requests |
//! | standby | no | no | active, while there are too few |
//!
//! VMs with a disk come last in the order: what a fault does to the replicated
//! log then does nothing to callers, where there are enough other nodes.

use crate::{util::common, wire::Peer};

/// Addresses that callers are given at most; an answer has no room for more.
pub const ADDRESSES: usize = 64;
/// Up to so many nodes all are active: they hear each other in two rounds, and
/// each that is lost would otherwise leave few.
const ALL_ACTIVE: usize = 24;
/// Active nodes that there are at least, over all data centres: one that is
/// lost then takes three in a hundred requests under way with it.
const LEAST: usize = 32;
/// Requests each second that are planned for one node: with bodies of 10 KB
/// that is 3 of 10 Mbit/s each way, and 0.04 of a core where VMs have 0.12. A
/// rush of twice that is borne until more nodes have become active.
const REQUESTS: u32 = 40;
/// How long there have to be too many active nodes before one steps back, in
/// ms: nodes that have just started know few of the others.
const EXCESS_MS: u64 = 3000;
/// How long a node still takes part after it has stepped back, in ms: callers
/// keep an address for three times as long as they are told, and their
/// requests take some seconds.
pub(super) const DRAIN_MS: u64 = 10_000;
/// How long there have to be too few before the first standby steps in, in
/// ms: it is told of the others each 0.6 s, and one answer may be lost.
const MISSING_MS: u64 = 900;
/// In this time the part of the standbys that may step in doubles, in ms: how
/// long word of the first one takes to reach the others.
const STEP_MS: u64 = 300;
/// The part of the standbys that step in at once for each that is missing.
const FIRST_PART: f64 = 1.0 / 64.0;
/// Over which a rising rate of requests is averaged, in ms.
const RISE_MS: f64 = 1000.0;
/// Over which a falling one is, in ms: as many nodes as the last peak needed
/// stay for the next one.
const FALL_MS: f64 = 20_000.0;

common! {
    copy
    /// What a node does with callers' requests.
    pub enum Role {
        /// Callers are sent to it.
        Active,
        /// Callers are no longer sent to it, and some still come.
        Draining,
        /// It takes over when too few are active.
        Standby,
    }
}

impl Role {
    /// The role that a node states.
    pub fn of(says: &Peer) -> Role {
        match says.role {
            0 => Role::Active,
            1 => Role::Draining,
            _ => Role::Standby,
        }
    }

    /// True for nodes that tell each other of their load: all that may have
    /// requests, and those that can lead.
    pub fn is_member(says: &Peer) -> bool {
        says.has_disk || Role::of(says) != Role::Standby
    }
}

/// What a node goes by, as far as it knows.
#[derive(Clone, Debug, Default)]
pub struct View<'a> {
    /// Active nodes of its data centre that are heard, without itself.
    pub near: Vec<&'a Peer>,
    /// Requests each second in its data centre, with its own.
    pub rate: u32,
    /// Nodes that serve, with itself.
    pub serving: usize,
    /// Data centres that there are nodes in.
    pub data_centres: usize,
}

impl View<'_> {
    /// How many nodes of the data centre should be active.
    fn wanted(&self) -> usize {
        if self.serving <= ALL_ACTIVE {
            return usize::MAX;
        }
        let base = LEAST.div_ceil(self.data_centres.max(1));
        base.max(self.rate.div_ceil(REQUESTS) as usize)
    }
}

/// One node's role, and since when it should be another.
#[derive(Clone, Copy, Debug)]
pub struct Keeper {
    role: Role,
    /// Too many are active since then, and this one is among those.
    excess_since: Option<u64>,
    /// Too few are active since then.
    missing_since: Option<u64>,
    /// When this one stepped back.
    drains_since: u64,
}

impl Keeper {
    /// Starts active, as nobody else is known yet.
    pub fn open() -> Keeper {
        Keeper {
            role: Role::Active,
            excess_since: None,
            missing_since: None,
            drains_since: 0,
        }
    }

    /// Decides anew.
    pub fn review(&mut self, now: u64, me: &Peer, view: &View<'_>) -> Role {
        let wanted = view.wanted();
        self.role = match self.role {
            Role::Active => self.stay_or_drain(now, me, view, wanted),
            Role::Draining | Role::Standby => {
                self.wait_or_step_in(now, me, view, wanted)
            }
        };
        self.role
    }

    fn stay_or_drain(
        &mut self,
        now: u64,
        me: &Peer,
        view: &View<'_>,
        wanted: usize,
    ) -> Role {
        let before = view.near.iter().filter(|one| rank(one) < rank(me));
        if before.count() < wanted {
            self.excess_since = None;
            return Role::Active;
        }
        let since = *self.excess_since.get_or_insert(now);
        if now < since + EXCESS_MS {
            return Role::Active;
        }
        self.excess_since = None;
        self.missing_since = None;
        self.drains_since = now;
        // Whoever has had no request has none to drain. When all start at the
        // same time, hundreds would else tell each other of no load.
        match me.rate {
            0 => Role::Standby,
            _ => Role::Draining,
        }
    }

    /// Standbys don't know each other, so each draws its place from its
    /// address: a small part of them steps in at once, twice as many with each
    /// step, until there are enough. Without that all standbys of a data
    /// centre would become active for one that was lost.
    fn wait_or_step_in(
        &mut self,
        now: u64,
        me: &Peer,
        view: &View<'_>,
        wanted: usize,
    ) -> Role {
        let missing = wanted.saturating_sub(view.near.len());
        if missing == 0 {
            self.missing_since = None;
            return self.drain_on(now);
        }
        let since = *self.missing_since.get_or_insert(now);
        // One that is only unheard for a moment is not replaced.
        if now < since + MISSING_MS {
            return self.drain_on(now);
        }
        let steps = ((now - since - MISSING_MS) / STEP_MS).min(20);
        let part = FIRST_PART * missing as f64 * (1u64 << steps) as f64;
        if place(me) > part {
            return self.drain_on(now);
        }
        self.missing_since = None;
        Role::Active
    }

    fn drain_on(&self, now: u64) -> Role {
        match self.role {
            Role::Draining if now < self.drains_since + DRAIN_MS => {
                Role::Draining
            }
            _ => Role::Standby,
        }
    }
}

/// The order in which nodes of a data centre become active.
fn rank(says: &Peer) -> (bool, u64) {
    (says.has_disk, crate::util::mix(u64::from(says.ip)))
}

/// A standby's place from 0 to 1 among those that step in. Not by its rank:
/// the first by rank are active already, so their places would all be taken.
fn place(says: &Peer) -> f64 {
    let drawn = crate::util::mix(!u64::from(says.ip));
    drawn as f64 / u64::MAX as f64
}

/// Callers' requests each second, on average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    begun: u64,
    at: u64,
    mean: f64,
}

impl Rate {
    /// Takes the running total; returns the average, rounded up.
    pub fn note(&mut self, now: u64, begun: u64) -> u32 {
        let passed = now.saturating_sub(self.at) as f64;
        if passed <= 0.0 {
            return self.mean.ceil() as u32;
        }
        let new = begun.saturating_sub(self.begun) as f64 * 1000.0 / passed;
        let over = if new > self.mean { RISE_MS } else { FALL_MS };
        self.mean += (new - self.mean) * (1.0 - (-passed / over).exp());
        (self.begun, self.at) = (begun, now);
        // Less than one request in a few seconds is no load.
        (self.mean - 0.1).max(0.0).ceil() as u32
    }
}
