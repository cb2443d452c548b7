//! Decides which nodes take callers' requests and which are on standby.
//!
//! The choice of a replica is as good as the node's knowledge of the requests
//! of other nodes. The propagation delay of that knowledge grows with the
//! number of nodes. Three hundred nodes that each route four requests a second
//! learn of each other's requests after three seconds on average; with forty
//! nodes that each route thirty, it takes a third of a second. Callers are
//! therefore sent to a few nodes of their own data centre, as many as its
//! requests need. The other nodes are on standby: they know the active nodes,
//! and become active when there are too few.
//!
//! There is no coordinator. Each node compares itself with the nodes that it
//! hears, by an order that is the same at every node, and announces its own
//! role. While nodes have different information there may be too many or too
//! few active nodes; both cases correct themselves, and each node serves every
//! caller that connects to it.
//!
//! | role | handed out to callers | exchanges load | next role |
//! |---|---|---|---|
//! | active | yes | yes | draining, after 3 s with too many active nodes |
//! | draining | no | yes, as callers keep addresses | standby after 10 s, at once if it has had no requests |
//! | standby | no | no | active, while there are too few |
//!
//! VMs with a disk come last in the order. A fault of the replicated log then
//! does not affect callers, provided that there are enough other nodes.

use crate::{util::common, wire::Peer};

/// Maximum number of addresses in an answer to a caller; an answer has no room
/// for more.
pub const MAX_ADDRESSES: usize = 64;
/// Number of nodes up to which all are active. They hear each other within two
/// rounds, and with fewer active nodes each loss would leave few.
const ALL_ACTIVE_MAX_NODES: usize = 24;
/// Minimum number of active nodes over all data centres. The loss of one node
/// then affects three in a hundred requests in flight.
const MIN_ACTIVE_NODES: usize = 32;
/// Requests each second that are planned for one node. With bodies of 10 KB
/// that takes 3 of 10 Mbit/s each way, and 0.04 of a core on VMs that have
/// 0.12. A node can take twice that rate until more nodes have become active.
const REQUESTS_PER_S_PER_NODE: u32 = 40;
/// Time with too many active nodes before one of them stops being active, in
/// ms. Nodes that have just started know few of the others.
const DEACTIVATION_DELAY_MS: u64 = 3000;
/// Time for which a node drains, in ms. Callers keep an address for three
/// times as long as they are told, and their requests take some seconds.
pub(super) const DRAIN_DURATION_MS: u64 = 10_000;
/// Time with too few active nodes before the first standby node becomes
/// active, in ms. It receives reports of the others every 0.6 s, and one
/// answer may be lost.
const ACTIVATION_DELAY_MS: u64 = 900;
/// Time in which the share of standby nodes that may become active doubles, in
/// ms. It is the propagation delay of the first one's report to the others.
const ACTIVATION_DOUBLING_MS: u64 = 300;
/// Share of the standby nodes that become active at once for each missing
/// node.
const INITIAL_ACTIVATION_SHARE: f64 = 1.0 / 64.0;
/// Time constant of the average of a rising request rate, in ms.
const RATE_RISE_TIME_CONSTANT_MS: f64 = 1000.0;
/// Time constant of the average of a falling request rate, in ms. It keeps as
/// many nodes as the last peak needed for the next one.
const RATE_FALL_TIME_CONSTANT_MS: f64 = 20_000.0;

common! {
    copy
    /// What a node does with callers' requests.
    pub enum Role {
        /// Callers are sent to it.
        Active,
        /// Callers are no longer sent to it, but some still connect.
        Draining,
        /// It becomes active when there are too few active nodes.
        Standby,
    }
}

impl Role {
    /// Returns the role that a node announces.
    pub fn of(peer: &Peer) -> Role {
        match peer.role {
            0 => Role::Active,
            1 => Role::Draining,
            _ => Role::Standby,
        }
    }

    /// Returns true for members, which exchange reports of their load: all
    /// nodes that may have requests, and those that can lead.
    pub fn is_member(peer: &Peer) -> bool {
        peer.has_disk || Role::of(peer) != Role::Standby
    }
}

/// What a node knows when it decides on its role.
#[derive(Clone, Debug, Default)]
pub struct View<'a> {
    /// Other active nodes of its data centre that it hears.
    pub near: Vec<&'a Peer>,
    /// Requests each second in its data centre, including its own.
    pub rate: u32,
    /// Number of nodes that serve, including itself.
    pub serving: usize,
    /// Number of data centres that have nodes.
    pub data_centres: usize,
}

impl View<'_> {
    /// Returns how many nodes of the data centre should be active.
    fn target_active(&self) -> usize {
        if self.serving <= ALL_ACTIVE_MAX_NODES {
            return usize::MAX;
        }
        let base = MIN_ACTIVE_NODES.div_ceil(self.data_centres.max(1));
        base.max(self.rate.div_ceil(REQUESTS_PER_S_PER_NODE) as usize)
    }
}

/// The role of one node, with the times that decide on its next one.
#[derive(Clone, Copy, Debug)]
pub struct Selector {
    role: Role,
    /// Since when there are too many active nodes and this one is in excess.
    excess_since: Option<u64>,
    /// Since when there are too few active nodes.
    missing_since: Option<u64>,
    /// When this node began to drain.
    draining_since: u64,
}

impl Selector {
    /// Starts as active, because no other node is known yet.
    pub fn open() -> Selector {
        Selector {
            role: Role::Active,
            excess_since: None,
            missing_since: None,
            draining_since: 0,
        }
    }

    /// Updates and returns the role.
    pub fn update(&mut self, now: u64, me: &Peer, view: &View<'_>) -> Role {
        let target = view.target_active();
        self.role = match self.role {
            Role::Active => self.stay_or_drain(now, me, view, target),
            Role::Draining | Role::Standby => {
                self.wait_or_activate(now, me, view, target)
            }
        };
        self.role
    }

    fn stay_or_drain(
        &mut self,
        now: u64,
        me: &Peer,
        view: &View<'_>,
        target: usize,
    ) -> Role {
        let preceding = view.near.iter().filter(|peer| rank(peer) < rank(me));
        if preceding.count() < target {
            self.excess_since = None;
            return Role::Active;
        }
        let since = *self.excess_since.get_or_insert(now);
        if now < since + DEACTIVATION_DELAY_MS {
            return Role::Active;
        }
        self.excess_since = None;
        self.missing_since = None;
        self.draining_since = now;
        // A node without requests has none to drain. Without this, hundreds of
        // nodes that start at the same time would send each other reports of
        // no load.
        match me.rate {
            0 => Role::Standby,
            _ => Role::Draining,
        }
    }

    /// Standby nodes don't know each other, so each derives a position from
    /// its address. A small share of them becomes active at once, and the
    /// share doubles with each step until there are enough active nodes.
    /// Without that, all standby nodes of a data centre would become active
    /// for one lost node.
    fn wait_or_activate(
        &mut self,
        now: u64,
        me: &Peer,
        view: &View<'_>,
        target: usize,
    ) -> Role {
        let missing = target.saturating_sub(view.near.len());
        if missing == 0 {
            self.missing_since = None;
            return self.drain_or_stand_by(now);
        }
        let since = *self.missing_since.get_or_insert(now);
        // A node that is not heard for a moment only is not replaced.
        if now < since + ACTIVATION_DELAY_MS {
            return self.drain_or_stand_by(now);
        }
        let doublings = ((now - since - ACTIVATION_DELAY_MS)
            / ACTIVATION_DOUBLING_MS)
            .min(20);
        let share = INITIAL_ACTIVATION_SHARE
            * missing as f64
            * (1u64 << doublings) as f64;
        if activation_position(me) > share {
            return self.drain_or_stand_by(now);
        }
        self.missing_since = None;
        Role::Active
    }

    fn drain_or_stand_by(&self, now: u64) -> Role {
        match self.role {
            Role::Draining
                if now < self.draining_since + DRAIN_DURATION_MS =>
            {
                Role::Draining
            }
            _ => Role::Standby,
        }
    }
}

/// Returns the position in the order in which nodes of a data centre become
/// active.
fn rank(peer: &Peer) -> (bool, u64) {
    (peer.has_disk, crate::util::mix(u64::from(peer.ip)))
}

/// Returns a standby node's position among those that may become active, from
/// 0 to 1. It does not depend on the rank: the first nodes by rank are active
/// already, so the low positions would all be taken.
fn activation_position(peer: &Peer) -> f64 {
    let hash = crate::util::mix(!u64::from(peer.ip));
    hash as f64 / u64::MAX as f64
}

/// Moving average of callers' requests each second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    begun: u64,
    updated_at: u64,
    mean: f64,
}

impl Rate {
    /// Adds the running total of requests. Returns the average, rounded up.
    pub fn update(&mut self, now: u64, begun: u64) -> u32 {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        if elapsed_ms <= 0.0 {
            return self.mean.ceil() as u32;
        }
        let rate =
            begun.saturating_sub(self.begun) as f64 * 1000.0 / elapsed_ms;
        let time_constant_ms = if rate > self.mean {
            RATE_RISE_TIME_CONSTANT_MS
        } else {
            RATE_FALL_TIME_CONSTANT_MS
        };
        self.mean += (rate - self.mean)
            * (1.0 - (-elapsed_ms / time_constant_ms).exp());
        (self.begun, self.updated_at) = (begun, now);
        // Less than one request in a few seconds counts as no load.
        (self.mean - 0.1).max(0.0).ceil() as u32
    }
}
