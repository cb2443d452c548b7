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

use super::{
    counts::Counts,
    mean_lag_ms,
    role::{DRAIN_MS, Keeper, Rate, Role, View},
};
pub use super::{
    lives::{life_name, replica_hash, replica_of},
    replica::{Replica, State},
};
use crate::{
    util::{common, mix, position},
    wire::{
        Began, Cached, Crash, Peer, RateLimit, RecordUsage, Spent, Success,
        Under, Work,
    },
};

/// A node that was not heard for this long is not handed out, in ms.
///
/// Six times the pause between two datagrams: several in a row may be lost.
pub const LIVE_MS: u64 = 1800;
/// The same at a node that stands by, in ms: it is told of the others each 0.6
/// s, of which several in a row may be lost.
const LIVE_FOR_STANDBY_MS: u64 = 3000;
/// A node that stands by and was not heard for so long is silent, in ms: it
/// asks one of a dozen others each 0.6 s.
const SILENT_STANDBY_MS: u64 = 20_000;
/// A node that was not heard directly for so many of its turns, and
/// [`LIVE_MS`], may well serve unheard behind a cut: two datagrams in a row
/// were lost, or it is.
const UNHEARD_TURNS: f64 = 3.2;
/// What a node that stands by takes from others' clocks is so old at most, in
/// ms: it hears one of them each 0.6 s.
const CLOCKS_FOR_STANDBY_MS: u64 = 10_000;
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
        /// When it was first known.
        pub(super) since: u64,
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
    pub(super) next_near: usize,
    pub(super) next_standby: usize,
    pub(super) next_silent: usize,
    /// How often this node has told its load.
    pub(super) told: u64,
    keeper: Keeper,
    rate: Rate,
    /// The others have not been told of this node's role yet.
    pub(super) has_new_role: bool,
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
    /// Requests at replicas that ended.
    pub crashes: Vec<Crash>,
    /// The same where it is not certain that the replica has ended.
    pub suspected: Vec<Crash>,
    /// Requests that have ended well after such crashes.
    pub successes: Vec<Success>,
    /// The rates of requests that replicas take.
    pub limits: Vec<RateLimit>,
    /// Callers' requests since the start.
    pub begun: u64,
}

/// What a datagram changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// A replica appeared, or changed its state.
    pub replicas: bool,
    /// One of them takes no more work.
    pub leaves: bool,
    /// A node appeared.
    pub nodes: bool,
    /// This node stood by, and callers are sent to it from now on.
    pub steps_in: bool,
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
            next_near: 0,
            next_standby: 0,
            next_silent: 0,
            told: 0,
            keeper: Keeper::open(),
            rate: Rate::default(),
            has_new_role: false,
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
        self.nodes.iter().filter(move |node| self.is_live(now, node))
    }

    /// Those of them that tell each other of their load.
    pub fn members(&self, now: u64) -> impl Iterator<Item = &Node> {
        self.live(now).filter(|node| Role::is_member(&node.says))
    }

    /// How many nodes serve, whatever their role, this one too.
    pub fn serving(&self) -> usize {
        self.nodes.iter().filter(|node| node.says.serving).count() + 1
    }

    /// How many others have callers' requests now.
    pub fn entries(&self, now: u64) -> usize {
        self.live(now).filter(|node| node.is_entry(now)).count()
    }

    fn is_live(&self, now: u64, node: &Node) -> bool {
        let limit = match self.is_member() {
            true => LIVE_MS,
            false => LIVE_FOR_STANDBY_MS,
        };
        now < node.heard_at + limit
    }

    // ---- Roles ------------------------------------------------------------

    /// True where this node tells others of its load, and they tell it.
    pub fn is_member(&self) -> bool {
        Role::is_member(&self.me)
    }

    /// True where callers are sent to this node.
    pub fn is_active(&self) -> bool {
        self.me.serving && Role::of(&self.me) == Role::Active
    }

    /// Decides anew whether this node takes callers' requests, of which it
    /// has had `begun` since its start; tells the role that it had if it has
    /// another one now.
    pub fn review(&mut self, now: u64, begun: u64) -> Option<Role> {
        self.me.rate = self.rate.note(now, begun);
        let before = Role::of(&self.me);
        let serving: Vec<&Node> =
            self.live(now).filter(|node| node.says.serving).collect();
        let near = |node: &&Node| node.says.data_centre == self.me.data_centre;
        let mut places: Vec<&str> = serving
            .iter()
            .map(|node| node.says.data_centre.as_str())
            .chain([self.me.data_centre.as_str()])
            .collect();
        places.sort_unstable();
        places.dedup();
        let others: u32 = serving
            .iter()
            .copied()
            .filter(near)
            .map(|one| one.says.rate)
            .sum();
        let view = View {
            near: serving
                .iter()
                .copied()
                .filter(near)
                .filter(|node| node.is_active())
                .map(|node| &node.says)
                .collect(),
            rate: self.me.rate + others,
            serving: serving.len() + 1,
            data_centres: places.len(),
        };
        let mut keeper = self.keeper;
        let role = keeper.review(now, &self.me, &view);
        self.keeper = keeper;
        if (before, role) == (Role::Standby, Role::Active) {
            // What it was told of the others is old: many have stepped back
            // since, and would count as cut off. Those that have requests tell
            // it so within a round.
            let since = now.saturating_sub(LIVE_MS / 2);
            self.nodes.retain(|node| node.heard_at >= since);
        }
        self.me.role = role as u32;
        self.has_new_role |= role != before;
        (role != before).then_some(before)
    }

    /// All replicas, also those that have left, sorted by id.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    // ---- Sums -------------------------------------------------------------

    /// Requests of other live nodes under way at each replica.
    pub fn loads(&self, now: u64) -> Loads {
        let mut sums: Vec<Under> =
            self.live(now).flat_map(|node| &node.under).copied().collect();
        sums.sort_unstable_by_key(|under| under.replica);
        sums.dedup_by(|one, sum| {
            let same = one.replica == sum.replica;
            if same {
                sum.count += one.count;
                sum.pending += one.pending;
            }
            same
        });
        Loads { sums }
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

    /// Tokens that each other node has admitted since its start, by team: the
    /// node's incarnation, the tokens, and whether it is heard now.
    pub fn spent(
        &self,
        now: u64,
    ) -> impl Iterator<Item = (u64, &[Spent], bool)> + '_ {
        let limit = self.unheard_ms(now);
        self.nodes.iter().map(move |node| {
            let heard = now < node.direct_at + limit;
            (node.says.incarnation, node.spent.as_slice(), heard)
        })
    }

    /// How many nodes that take callers' requests go before this one in what
    /// one of them has to do first: an order for each `subject`, which all find
    /// alike that hear each other.
    pub fn rank(&self, now: u64, subject: u64) -> usize {
        let place = |ip: u32| mix(subject ^ mix(ip.into()));
        let own = place(self.me.ip);
        let others = self.live(now).filter(|node| node.is_entry(now));
        others.filter(|node| place(node.says.ip) < own).count()
    }

    /// This node's place in the order of the active nodes for `subject`, from
    /// 0, and how many there are; `None` where it is not active.
    ///
    /// All find the same order that hear each other.
    pub fn place(&self, now: u64, subject: u64) -> Option<(usize, usize)> {
        if !self.is_active() {
            return None;
        }
        let place = |ip: u32| mix(subject ^ mix(ip.into()));
        let own = place(self.me.ip);
        let mut rank = 0;
        let mut nodes = 1;
        for node in self.live(now).filter(|node| node.is_active()) {
            nodes += 1;
            rank += usize::from(place(node.says.ip) < own);
        }
        Some((rank, nodes))
    }

    /// How many nodes take callers' requests, this one too, and how many of
    /// them are not heard directly at the moment although they may well do so.
    pub fn reach(&self, now: u64) -> (usize, usize) {
        let entries = self.nodes.iter().filter(|node| node.is_entry(now));
        (entries.count() + 1, self.unheard(now).count())
    }

    /// What to add to this node's time of day, in ms.
    ///
    /// The median over all nodes that were heard lately: a clock that jumps,
    /// or a third of them, does not move it.
    pub fn clock_offset(&self, now: u64) -> i64 {
        let limit = match self.is_member() {
            true => self.unheard_ms(now),
            false => CLOCKS_FOR_STANDBY_MS,
        };
        let heard = self
            .nodes
            .iter()
            .filter(|node| node.direct_at > 0 && now < node.direct_at + limit);
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
    ///
    /// A node that stands by can't tell: it hears one other at a time.
    pub(super) fn unheard(&self, now: u64) -> impl Iterator<Item = &Node> {
        let limit = self.unheard_ms(now);
        let can_tell = self.is_member();
        self.nodes.iter().filter(move |node| {
            let from = node.direct_at.max(node.since);
            can_tell && node.is_entry(now) && now >= from + limit
        })
    }

    /// Where nodes take turns, one is heard directly once in several rounds.
    fn unheard_ms(&self, now: u64) -> u64 {
        let turn_ms = 2.0 * mean_lag_ms(self.members(now).count() + 1);
        LIVE_MS.max((turn_ms * UNHEARD_TURNS) as u64)
    }

    /// What others should know although its node does not tell them itself.
    ///
    /// A node that was killed has told some of the others what began there
    /// since; a new leader that has just started itself is not among them.
    /// And behind a cut a node tells those that hear it, but not the leader.
    /// Without this the report would lack all of it.
    pub(super) fn relayed(&self, now: u64) -> Vec<Began> {
        let own = self.me.incarnation;
        self.counts.others(own, self.told, |incarnation| {
            let speaker = self
                .nodes
                .iter()
                .find(|node| node.says.incarnation == incarnation);
            match speaker {
                None => true,
                // It tells those that can lead itself, and no other one.
                Some(node) if Role::of(&node.says) == Role::Standby => {
                    now >= node.heard_at + SILENT_STANDBY_MS
                }
                Some(node) if !self.is_live(now, node) => true,
                // Only who can lead needs the counts.
                Some(node) => self
                    .live(now)
                    .filter(|other| other.says.has_disk)
                    .any(|other| other.unheard.contains(&node.says.ip)),
            }
        })
    }
}

impl Node {
    /// Its address.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::from(self.says.ip)
    }
    /// True where callers are sent to it.
    pub fn is_active(&self) -> bool {
        self.says.serving && Role::of(&self.says) == Role::Active
    }

    /// True where callers' requests may come in.
    ///
    /// Who was draining and has been silent for longer than that takes stands
    /// by, and its word of it was lost.
    fn is_entry(&self, now: u64) -> bool {
        let may_be = match Role::of(&self.says) {
            Role::Active => true,
            Role::Draining => now < self.heard_at + DRAIN_MS,
            Role::Standby => false,
        };
        self.says.serving && may_be
    }

    /// As it is told to others.
    pub(super) fn aged(&self, now: u64) -> Peer {
        let age_ms = now.saturating_sub(self.heard_at) as u32;
        Peer { age_ms, ..self.says.clone() }
    }
}

/// Requests of other nodes, by replica.
#[derive(Clone, Debug)]
pub struct Loads {
    /// Sorted by replica.
    sums: Vec<Under>,
}

impl Loads {
    /// Requests under way at a replica, and the prompt tokens that it has yet
    /// to read for them.
    pub fn at(&self, replica: u64) -> (u32, u32) {
        let found = position(&self.sums, &replica, |under| &under.replica);
        found.map_or((0, 0), |at| (self.sums[at].count, self.sums[at].pending))
    }
}
