//! What a node knows of the other nodes and of the replicas, apart from I/O.
//!
//! Every statement carries a counter of the one who makes it: a node's `beat`
//! or a replica's `sequence`. A statement with a lower counter is old and
//! changes nothing, however late it comes and whoever passes it on.
//!
//! That a replica leaves is the one thing that all nodes must know within a
//! second or two. So it goes into every datagram for a while, in eight bytes:
//! when a data centre is reclaimed, dozens leave at once.
//!
//! What replicas say is taken in `lives`, datagrams are read and written in
//! `datagram`.

use std::net::Ipv4Addr;

use super::counts::Counts;
pub use super::{
    lives::{life_name, replica_hash, replica_of},
    replica::{Replica, State},
};
use crate::{
    util::common,
    wire::{Began, Cached, Peer, RecordUsage, Spent, Under, Work},
};

/// A node that was not heard for this long is not handed out, in ms.
///
/// Six times the pause between two datagrams: several in a row may be lost.
pub const LIVE_MS: u64 = 1800;
/// A node that was not heard for this long is forgotten, in ms.
///
/// Until then it is thought to serve behind a cut and to use its part of
/// every quota there.
pub const FORGET_NODE_MS: u64 = 60_000;

common! {
    /// Another node.
    pub struct Node {
        /// What it says of itself.
        pub says: Peer,
        /// When it last said something, by this node's clock.
        pub heard_at: u64,
        /// When it was last heard directly, not through others.
        pub direct_at: u64,
        /// Its requests under way, by replica.
        pub(super) under: Vec<Under>,
        /// Its tokens admitted since its start, by team.
        pub(super) spent: Vec<Spent>,
        /// The work of its requests since its start, by service.
        pub(super) work: Vec<Work>,
        /// Nodes that it does not hear.
        pub(super) unheard: Vec<u32>,
        /// Its clock's lead over this node's, in ms.
        pub(super) lead_ms: i64,
    }
}

/// The whole of it.
#[derive(Debug)]
pub struct Table {
    pub(super) me: Peer,
    pub(super) nodes: Vec<Node>,
    pub(super) replicas: Vec<Replica>,
    /// Requests that began at each node.
    pub(super) counts: Counts,
    /// Replicas that have left, by the hash of their ids, and when that was
    /// first known here; sorted.
    pub(super) left: Vec<(u64, u64)>,
    /// This node's work, as last told to the others.
    pub(super) own_work: Vec<Work>,
    pub(super) next_peer: usize,
    pub(super) next_replica: usize,
    pub(super) next_left: usize,
}

/// What this node adds to its datagrams from elsewhere.
#[derive(Clone, Debug, Default)]
pub struct Own {
    /// Requests under way, by replica.
    pub under: Vec<Under>,
    /// Tokens admitted since the start, by team.
    pub spent: Vec<Spent>,
    /// The work of the requests sent since the start, by service.
    pub work: Vec<Work>,
    /// Parts of prompts that replicas have been sent lately.
    pub cached: Vec<Cached>,
    /// Callers' requests since the start.
    pub begun: u64,
}

/// What a datagram changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// A replica appeared, or changed its state.
    pub replicas: bool,
    /// A node appeared.
    pub nodes: bool,
}

impl Table {
    /// Starts with nobody else.
    pub fn open(me: Peer) -> Table {
        Table {
            me,
            nodes: Vec::new(),
            replicas: Vec::new(),
            counts: Counts::default(),
            left: Vec::new(),
            own_work: Vec::new(),
            next_peer: 0,
            next_replica: 0,
            next_left: 0,
        }
    }

    /// What this node says of itself; the caller changes it in place.
    pub fn me(&mut self) -> &mut Peer {
        &mut self.me
    }

    /// This node's own statement.
    pub fn own(&self) -> &Peer {
        &self.me
    }

    /// All other nodes that are remembered, sorted by address.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Other nodes that were heard lately.
    pub fn live(&self, now: u64) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |node| node.is_live(now))
    }

    /// All replicas, also those that have left, sorted by id.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    // ---- Sums -------------------------------------------------------------

    /// Requests of other live nodes under way at a replica, and the prompt
    /// tokens that it has yet to read for them.
    pub fn under(&self, now: u64, replica: u64) -> (u32, u32) {
        self.live(now)
            .flat_map(|node| &node.under)
            .filter(|under| under.replica == replica)
            .fold((0, 0), |sum, under| {
                (sum.0 + under.count, sum.1 + under.pending)
            })
    }

    /// The work that each node has sent to a service since its start, in ms
    /// of one replica, with the node's incarnation.
    pub fn work(&self, service: u64) -> Vec<(u64, u64)> {
        let others = self
            .nodes
            .iter()
            .map(|node| (node.says.incarnation, node.work.as_slice()));
        let own = (self.me.incarnation, self.own_work.as_slice());
        std::iter::once(own)
            .chain(others)
            .flat_map(|(node, work)| {
                let work = work.iter().filter(|one| one.service == service);
                work.map(move |one| (node, one.ms))
            })
            .collect()
    }

    /// Tokens that each other node has admitted for a team since its start:
    /// the node's incarnation, the tokens, and whether it is heard now.
    pub fn spent(
        &self,
        now: u64,
        team: u64,
    ) -> impl Iterator<Item = (u64, u64, bool)> + '_ {
        self.nodes.iter().flat_map(move |node| {
            let heard = now < node.direct_at + LIVE_MS;
            let spent = node.spent.iter().filter(move |one| one.team == team);
            spent.map(move |one| (node.says.incarnation, one.tokens, heard))
        })
    }

    /// How many nodes there are, this one too, and how many of them are not
    /// heard directly at the moment although they may well serve.
    pub fn reach(&self, now: u64) -> (usize, usize) {
        let serving = self.nodes.iter().filter(|node| node.says.serving);
        (serving.count() + 1, self.unheard(now).count())
    }

    /// What to add to this node's time of day, in ms.
    ///
    /// The median over all nodes that were heard lately: a clock that jumps,
    /// or a third of them, does not move it.
    pub fn clock_offset(&self, now: u64) -> i64 {
        let heard = self.nodes.iter().filter(|node| {
            node.direct_at > 0 && now < node.direct_at + LIVE_MS
        });
        let mut leads: Vec<i64> = heard.map(|node| node.lead_ms).collect();
        leads.push(0);
        leads.sort_unstable();
        leads[leads.len() / 2]
    }

    // ---- Usage ------------------------------------------------------------

    /// Counts a request that began here.
    pub fn count_began(&mut self, window: u64, team: &str) {
        self.counts.count(self.me.incarnation, window, team);
    }

    /// Requests that began in a window, anywhere, by team.
    pub fn usage(&self, window: u64) -> RecordUsage {
        self.counts.sum(window)
    }

    /// True when every node that may serve is heard.
    pub fn hears_all(&self, now: u64) -> bool {
        self.unheard(now).next().is_none()
    }

    /// Nodes that may well serve although they are not heard directly.
    pub(super) fn unheard(&self, now: u64) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |node| {
            node.says.serving && now >= node.direct_at + LIVE_MS
        })
    }

    /// What others should know although its node does not tell them itself.
    ///
    /// A node that was killed has told some of the others what began there
    /// since; a new leader that has just started itself is not among them.
    /// And behind a cut a node tells those that hear it, but not the leader.
    /// Without this the report would lack all of it.
    pub(super) fn relayed(&self, now: u64) -> Vec<Began> {
        self.counts.others(self.me.incarnation, |incarnation| {
            let speaker = self
                .nodes
                .iter()
                .find(|node| node.says.incarnation == incarnation);
            match speaker {
                None => true,
                Some(node) if !node.is_live(now) => true,
                Some(node) => self
                    .live(now)
                    .any(|other| other.unheard.contains(&node.says.ip)),
            }
        })
    }
}

impl Node {
    /// True while the node was heard lately.
    pub fn is_live(&self, now: u64) -> bool {
        now < self.heard_at + LIVE_MS
    }

    /// Its address.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::from(self.says.ip)
    }
}
