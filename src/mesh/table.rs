//! Holds what a node knows of other nodes and of replicas, without I/O.
//!
//! Every report has a counter of its originator: a node's `beat` or a
//! replica's `sequence`. A report with a lower counter is outdated and changes
//! nothing, however late it arrives and whichever node relays it.
//!
//! All nodes need to know within a second or two that a replica leaves. This
//! is therefore part of every datagram for a while, in eight bytes a replica:
//! when a data centre is reclaimed, dozens of replicas leave at once.
//!
//! `lives` handles the heartbeats of replicas, `datagram` reads and writes
//! datagrams.

use std::net::Ipv4Addr;

use super::{
    counts::{COUNTS_NO_MORE, Counts},
    datagram::Scope,
    history::History,
    mean_propagation_delay_ms,
    role::{DRAIN_DURATION_MS, Rate, Role, Selector, View},
};
pub use super::{
    lives::{Liveness, incarnation_id, record_key, replica_hash, replica_of},
    replica::{MAX_HEARTBEAT_AGE_ERROR_MS, Replica, State},
};
use crate::{
    control::seat,
    decide::origin::holder_rank,
    util::{common, mix, position},
    wire::{
        Began, Cached, Crash, CrashReport, Gossip, Held, Peer, RateLimit,
        RecordUsage, RolloutReport, Spent, Success, TeamWork, Under, Work,
    },
};

/// Time without reports after which a node is not live and is no longer handed
/// out, in ms.
///
/// It is six times the interval between two datagrams, because several in a
/// row may be lost.
pub const NODE_TIMEOUT_MS: u64 = 1800;
/// The same time on a standby node, in ms. It receives reports of the others
/// every 0.6 s, and several in a row may be lost.
const NODE_TIMEOUT_ON_STANDBY_MS: u64 = 3000;
/// Time without reports after which a standby node counts as silent, in ms. It
/// asks one of a dozen other nodes every 0.6 s.
const STANDBY_TIMEOUT_MS: u64 = 20_000;
/// Number of a node's turns without a direct datagram after which it counts as
/// unheard, though not before [`NODE_TIMEOUT_MS`]. Either two datagrams in a
/// row were lost, or the node may be serving behind a network partition.
const UNHEARD_TIMEOUT_TURNS: f64 = 3.2;
/// Maximum age of another node's clock reading on a standby node, in ms. It
/// hears one node every 0.6 s.
const MAX_CLOCK_AGE_ON_STANDBY_MS: u64 = 10_000;
/// Age up to which a node that becomes active keeps the reports of others, in
/// ms: one round, in which the nodes that have requests report to it anew.
const ACTIVATION_KNOWLEDGE_MS: u64 = 300;
/// Nodes that receive the counts of all nodes in each round. Two nodes with a
/// disk may be lost at once.
const COLLECTORS: usize = 3;
/// Windows before the current one that a leader may have to report yet.
const REPORTABLE_WINDOWS: u64 = 3;
/// Silent nodes whose counts a leader states in one datagram, at up to 90
/// bytes each.
const MAX_HELD_PER_DATAGRAM: usize = 48;
/// Datagrams in which a node with a disk answers with counts. A successor that
/// has just started lacks those of hundreds of nodes; the links of nodes
/// without a disk are slower.
const COUNT_ANSWERS_OF_DISK: usize = 8;
/// Time without reports after which a node is dropped, in ms.
///
/// Until then it is assumed to serve behind a network partition, and to use
/// its share of every quota there.
pub const NODE_RETENTION_MS: u64 = 60_000;

common! {
    /// Another node.
    pub struct Node {
        /// Its last report of itself.
        pub peer: Peer,
        /// When it sent its last known report, by this node's clock.
        pub heard_at: u64,
        /// When it was last heard directly, not through other nodes.
        pub heard_directly_at: u64,
        /// When this node first learnt of it.
        pub(super) first_seen_at: u64,
        /// Its requests in flight, by replica.
        pub(super) under: Vec<Under>,
        /// Its tokens admitted since its start, by team.
        pub(super) spent: Vec<Spent>,
        /// The work of its requests since its start, by service.
        pub(super) work: Vec<Work>,
        /// The same by team, and when that arrived.
        pub(super) team_work: (u64, Vec<TeamWork>),
        /// Nodes that it does not hear.
        pub(super) unheard: Vec<u32>,
        /// Its clock's lead over this node's, in ms.
        pub(super) clock_lead_ms: i64,
    }
}

/// All that a node knows of other nodes and of replicas.
#[derive(Debug)]
pub struct Table {
    pub(super) me: Peer,
    pub(super) nodes: Vec<Node>,
    pub(super) replicas: Vec<Replica>,
    /// Requests that began at each node.
    pub(super) counts: Counts,
    /// Leaving and departed replicas, by the hash of their ids, and when this
    /// node first learnt of it. Sorted by hash.
    pub(super) departures: Vec<(u64, u64)>,
    /// Software versions that have served.
    pub(super) history: History,
    /// This node's work, as last reported to the others.
    pub(super) own_work: Vec<Work>,
    /// Ids of replicas of which datagrams have reported that they leave.
    pub(super) reported_departures: Vec<String>,
    pub(super) next_peer: usize,
    pub(super) next_replica: usize,
    pub(super) next_departure: usize,
    pub(super) next_old_departure: usize,
    pub(super) next_near_peer: usize,
    pub(super) next_standby: usize,
    pub(super) next_silent: usize,
    /// Number of times that this node has answered with counts.
    pub(super) counts_answered: u64,
    /// Nodes that hold the last counts of this node, once it stops.
    pub(super) confirmed_by: Option<Vec<u32>>,
    /// The window in which this node counts requests, or 0 if unknown.
    pub(super) window: u64,
    /// Number of reports of its load that this node has sent.
    pub(super) load_reports_sent: u64,
    selector: Selector,
    rate: Rate,
    /// Set while other nodes have not been notified of this node's new role.
    pub(super) has_new_role: bool,
}

/// What the node adds to its datagrams from outside the table.
#[derive(Clone, Debug, Default)]
pub struct LocalReport {
    /// Requests in flight, by replica.
    pub under: Vec<Under>,
    /// Tokens admitted since the start, by team.
    pub spent: Vec<Spent>,
    /// The work of the requests sent since the start, by service.
    pub work: Vec<Work>,
    /// The same by team; empty if nodes don't share capacity.
    pub team_work: Vec<TeamWork>,
    /// Parts of prompts that have been sent to replicas recently.
    pub cached: Vec<Cached>,
    /// Requests in flight at replicas that crashed.
    pub crashes: Vec<Crash>,
    /// Requests in flight at suspected crashes.
    pub suspected: Vec<Crash>,
    /// Requests that succeeded after such crashes.
    pub successes: Vec<Success>,
    /// The same for parts of prompts, if there is anything to report.
    pub parts: Option<CrashReport>,
    /// Rate limits that replicas have announced.
    pub limits: Vec<RateLimit>,
    /// What this node knows of the roll-outs that run.
    pub rollouts: Option<RolloutReport>,
    /// Evidence about the speed of replicas.
    pub speeds: Vec<u64>,
    /// Callers' requests since the start.
    pub begun: u64,
    /// The window in which requests are counted now.
    pub window: u64,
}

/// What has changed through a datagram or a new role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// A replica appeared, or changed its state.
    pub replicas: bool,
    /// One of these replicas takes no more requests.
    pub departures: bool,
    /// A node appeared or restarted.
    pub nodes: bool,
    /// This node was on standby and has become active.
    pub became_active: bool,
}

common! {
    /// What a datagram asks of counts.
    pub struct CountsQuery {
        /// The asking node's incarnation.
        pub incarnation: u64,
        /// What it holds of the counts of some nodes.
        pub held: Vec<Held>,
        /// Whether it makes usage reports, and lacks the counts of silent nodes
        /// that it doesn't know of.
        pub is_leader: bool,
        /// Whether it stops, and waits for its counts to be confirmed.
        pub stops: bool,
    }
}

impl CountsQuery {
    /// Returns what a datagram asks, if anything.
    pub fn of(gossip: &Gossip) -> Option<CountsQuery> {
        let from = gossip.from.as_ref()?;
        let leader = *seat::member_address(from.leader).ip();
        let is_leader = from.has_disk
            && u32::from(leader) == from.ip
            && (gossip.scope == Scope::All as u32 || gossip.counting > 0);
        let stops = gossip.counting == COUNTS_NO_MORE;
        (is_leader || stops || !gossip.held.is_empty()).then(|| CountsQuery {
            incarnation: from.incarnation,
            held: gossip.held.clone(),
            is_leader,
            stops,
        })
    }
}

impl Table {
    /// Starts without other nodes or replicas.
    pub fn open(me: Peer) -> Table {
        Table {
            me,
            nodes: Vec::new(),
            replicas: Vec::new(),
            counts: Counts::default(),
            departures: Vec::new(),
            history: History::default(),
            own_work: Vec::new(),
            reported_departures: Vec::new(),
            next_peer: 0,
            next_replica: 0,
            next_departure: 0,
            next_old_departure: 0,
            next_near_peer: 0,
            next_standby: 0,
            next_silent: 0,
            counts_answered: 0,
            confirmed_by: None,
            window: 0,
            load_reports_sent: 0,
            selector: Selector::open(),
            rate: Rate::default(),
            has_new_role: false,
        }
    }

    /// Returns this node's report of itself, to be changed in place.
    pub fn own_peer_mut(&mut self) -> &mut Peer {
        &mut self.me
    }

    /// Returns this node's report of itself.
    pub fn own_peer(&self) -> &Peer {
        &self.me
    }

    /// Returns all other nodes that are remembered, sorted by address.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns the other nodes that were heard recently.
    pub fn live(&self, now: u64) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |node| self.is_live(now, node))
    }

    /// Returns the live nodes that exchange reports of their load.
    pub fn members(&self, now: u64) -> impl Iterator<Item = &Node> {
        self.live(now).filter(|node| Role::is_member(&node.peer))
    }

    /// Returns the number of nodes that serve, in any role, including this
    /// one.
    pub fn serving_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.peer.serving).count() + 1
    }

    /// Returns the number of other live nodes that may have callers' requests.
    pub fn live_entry_count(&self, now: u64) -> usize {
        self.live(now).filter(|node| node.is_entry(now)).count()
    }

    fn is_live(&self, now: u64, node: &Node) -> bool {
        let timeout_ms = match self.is_member() {
            true => NODE_TIMEOUT_MS,
            false => NODE_TIMEOUT_ON_STANDBY_MS,
        };
        now < node.heard_at + timeout_ms
    }

    // ---- Roles ------------------------------------------------------------

    /// Returns true if this node exchanges reports of its load with others.
    pub fn is_member(&self) -> bool {
        Role::is_member(&self.me)
    }

    /// Returns true if callers are sent to this node.
    pub fn is_active(&self) -> bool {
        self.me.serving && Role::of(&self.me) == Role::Active
    }

    /// Updates this node's role, given the number of callers' requests `begun`
    /// since its start. Returns the former role if it has changed.
    pub fn update_role(&mut self, now: u64, begun: u64) -> Option<Role> {
        self.me.rate = self.rate.update(now, begun);
        let before = Role::of(&self.me);
        let serving: Vec<&Node> =
            self.live(now).filter(|node| node.peer.serving).collect();
        let is_near =
            |node: &&Node| node.peer.data_centre == self.me.data_centre;
        let mut data_centres: Vec<&str> = serving
            .iter()
            .map(|node| node.peer.data_centre.as_str())
            .chain([self.me.data_centre.as_str()])
            .collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let others: u32 = serving
            .iter()
            .copied()
            .filter(is_near)
            .map(|node| node.peer.rate)
            .sum();
        let view = View {
            near: serving
                .iter()
                .copied()
                .filter(is_near)
                .filter(|node| node.is_active())
                .map(|node| &node.peer)
                .collect(),
            rate: self.me.rate + others,
            serving: serving.len() + 1,
            data_centres: data_centres.len(),
        };
        let mut selector = self.selector;
        let role = selector.update(now, &self.me, &view);
        self.selector = selector;
        if (before, role) == (Role::Standby, Role::Active) {
            // The known reports of other nodes are old: many of these nodes
            // have stopped being active since, and would count as cut off.
            // Nodes that have requests report to this node within a round.
            let since = now.saturating_sub(ACTIVATION_KNOWLEDGE_MS);
            self.nodes.retain(|node| node.heard_at >= since);
            self.history.record_gap(now);
        }
        self.me.role = role as u32;
        self.has_new_role |= role != before;
        (role != before).then_some(before)
    }

    /// Returns all replicas, including those that have departed, sorted by id.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Returns the ids of the replicas of which datagrams have reported, since
    /// the last call, that they leave.
    pub fn take_reported_departures(&mut self) -> Vec<String> {
        std::mem::take(&mut self.reported_departures)
    }

    // ---- Sums -------------------------------------------------------------

    /// Returns the requests in flight of other live nodes at each replica.
    pub fn loads(&self, now: u64) -> Loads {
        let mut sums: Vec<Under> =
            self.live(now).flat_map(|node| &node.under).copied().collect();
        sums.sort_unstable_by_key(|under| under.replica);
        sums.dedup_by(|next, sum| {
            let is_same = next.replica == sum.replica;
            if is_same {
                sum.count += next.count;
                sum.pending += next.pending;
            }
            is_same
        });
        Loads { sums }
    }

    /// Returns the work that each node has sent to a service since its start,
    /// in ms of one replica, with the node's incarnation.
    pub fn work(&self, service: u64) -> Vec<(u64, u64)> {
        let others = self
            .nodes
            .iter()
            .map(|node| (node.peer.incarnation, node.work.as_slice()));
        let own = (self.me.incarnation, self.own_work.as_slice());
        std::iter::once(own)
            .chain(others)
            .flat_map(|(node, work)| {
                let work = work.iter().filter(|item| item.service == service);
                work.map(move |item| (node, item.ms))
            })
            .collect()
    }

    /// Returns the tokens that each other node has admitted since its start,
    /// by team: the node's incarnation, the tokens, and whether it is heard
    /// now.
    pub fn spent(
        &self,
        now: u64,
    ) -> impl Iterator<Item = (u64, &[Spent], bool)> + '_ {
        let timeout_ms = self.unheard_timeout_ms(now);
        self.nodes.iter().map(move |node| {
            let is_heard = now < node.heard_directly_at + timeout_ms;
            (node.peer.incarnation, node.spent.as_slice(), is_heard)
        })
    }

    /// Returns the work of each other node since its start, by service and
    /// team: the node's incarnation, when its report arrived, and the work.
    pub fn team_work(&self) -> impl Iterator<Item = (u64, u64, &[TeamWork])> {
        self.nodes.iter().map(|node| {
            let (at, work) = &node.team_work;
            (node.peer.incarnation, *at, work.as_slice())
        })
    }

    /// Returns this node's rank in the order for `subject`, among the nodes
    /// that take callers' requests: the number of nodes that act before it.
    /// Nodes that hear each other find the same order.
    pub fn entry_rank(&self, now: u64, subject: u64) -> usize {
        let order = |ip: u32| mix(subject ^ mix(ip.into()));
        let own = order(self.me.ip);
        let others = self.live(now).filter(|node| node.is_entry(now));
        others.filter(|node| order(node.peer.ip) < own).count()
    }

    /// Returns the other nodes that keep the record of a stream, at most
    /// `count`. Nodes that know the same others find the same ones.
    pub fn origin_holders(
        &self,
        now: u64,
        stream: u64,
        count: usize,
    ) -> Vec<Ipv4Addr> {
        let members = self.members(now);
        let mut nodes: Vec<u32> = members
            .filter(|node| node.peer.keeps_origins)
            .map(|node| node.peer.ip)
            .collect();
        nodes.sort_unstable_by_key(|ip| {
            std::cmp::Reverse(holder_rank(stream, *ip))
        });
        nodes.truncate(count);
        nodes.into_iter().map(Ipv4Addr::from).collect()
    }

    /// Returns the software version of a service's replicas if all that this
    /// node remembers, also those that have departed, have the same one and no
    /// node can know of others.
    pub fn only_version(&self, now: u64, service: &str) -> Option<&str> {
        if !self.is_member() || !self.hears_all_entries(now) {
            return None;
        }
        let mut versions = self
            .replicas
            .iter()
            .filter(|replica| replica.sighting.service == service)
            .map(|replica| replica.sighting.version.as_str());
        let first = versions.next().filter(|version| !version.is_empty())?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Returns this node's position in the order of the active nodes for
    /// `subject`, from 0, and the number of active nodes. Returns `None` if
    /// this node is not active.
    ///
    /// Nodes that hear each other find the same order.
    pub fn active_rank(
        &self,
        now: u64,
        subject: u64,
    ) -> Option<(usize, usize)> {
        if !self.is_active() {
            return None;
        }
        let order = |ip: u32| mix(subject ^ mix(ip.into()));
        let own = order(self.me.ip);
        let mut rank = 0;
        let mut nodes = 1;
        for node in self.live(now).filter(|node| node.is_active()) {
            nodes += 1;
            rank += usize::from(order(node.peer.ip) < own);
        }
        Some((rank, nodes))
    }

    /// Returns the number of nodes that take callers' requests, including this
    /// one, and how many of them are not heard directly at the moment although
    /// they may be serving.
    pub fn entry_counts(&self, now: u64) -> (usize, usize) {
        let entries = self.nodes.iter().filter(|node| node.is_entry(now));
        (entries.count() + 1, self.unheard(now).count())
    }

    /// Returns the highest number of entries that another node reports.
    pub fn most_entries_reported(&self) -> usize {
        let reported = self.nodes.iter().map(|node| node.peer.entries);
        reported.max().unwrap_or(0) as usize
    }

    /// Returns the correction for this node's wall clock, in ms.
    ///
    /// It is the median over all nodes that were heard recently, so it does
    /// not move when one clock, or a third of them, jumps.
    pub fn clock_offset(&self, now: u64) -> i64 {
        let timeout_ms = match self.is_member() {
            true => self.unheard_timeout_ms(now),
            false => MAX_CLOCK_AGE_ON_STANDBY_MS,
        };
        let heard = self.nodes.iter().filter(|node| {
            node.heard_directly_at > 0
                && now < node.heard_directly_at + timeout_ms
        });
        let mut leads: Vec<i64> =
            heard.map(|node| node.clock_lead_ms).collect();
        leads.push(0);
        leads.sort_unstable();
        leads[leads.len() / 2]
    }

    // ---- Usage ------------------------------------------------------------

    /// Counts a request that began at this node.
    pub fn count_began(&mut self, window: u64, team: &str) {
        self.counts.count_request(self.me.incarnation, window, team);
    }

    /// Returns the requests that began in a window at all nodes, by team.
    pub fn usage(&self, window: u64) -> RecordUsage {
        self.counts.sum(window)
    }

    /// Returns the number of nodes whose counts for a window may be incomplete
    /// here.
    ///
    /// That a node is heard says nothing of its counts: only some datagrams
    /// have them, and these are lost or late as others are.
    pub fn nodes_with_missing_counts(&self, now: u64, window: u64) -> usize {
        let entries = self.nodes.iter().filter(|node| node.is_entry(now));
        let mut nodes: Vec<u64> = entries
            .map(|node| node.peer.incarnation)
            .chain(self.counts.recent(window))
            .filter(|node| *node != self.me.incarnation)
            .filter(|node| !self.counts.is_final(*node, window))
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes.len()
    }

    /// Returns the nodes that receive the counts of this node in each round:
    /// the leader, which reports them, and the next nodes that can lead.
    pub(super) fn collectors(&self, now: u64) -> Vec<Ipv4Addr> {
        let leader = self.leader_ip();
        let able = self.live(now).filter(|node| node.peer.has_disk);
        let mut able: Vec<u32> = able.map(|node| node.peer.ip).collect();
        let from = able.partition_point(|ip| *ip < leader);
        let count = able.len().max(1);
        able.rotate_left(from % count);
        able.truncate(COLLECTORS);
        able.into_iter().map(Ipv4Addr::from).collect()
    }

    fn leader_ip(&self) -> u32 {
        (*seat::member_address(self.me.leader).ip()).into()
    }

    /// Returns what this node, if it leads, holds of the counts of nodes that
    /// it does not hear, in windows that are yet to be reported.
    pub(super) fn held_of_silent(&self, now: u64) -> Vec<Held> {
        let oldest = self.oldest_reportable_window();
        let mut held = self.counts.all_held(oldest, |incarnation| {
            incarnation != self.me.incarnation
                && !self.is_heard_directly(now, incarnation)
        });
        if held.len() > MAX_HELD_PER_DATAGRAM {
            let step = MAX_HELD_PER_DATAGRAM * self.load_reports_sent as usize;
            let count = held.len();
            held.rotate_left(step % count);
            held.truncate(MAX_HELD_PER_DATAGRAM);
        }
        held
    }

    fn oldest_reportable_window(&self) -> u64 {
        self.window.saturating_sub(REPORTABLE_WINDOWS)
    }

    fn is_heard_directly(&self, now: u64, incarnation: u64) -> bool {
        self.nodes.iter().any(|node| {
            node.peer.incarnation == incarnation
                && now < node.heard_directly_at + NODE_TIMEOUT_MS
        })
    }

    /// Returns true if this node leads, so that it makes usage reports.
    pub(super) fn is_leader(&self) -> bool {
        self.me.has_disk && self.leader_ip() == self.me.ip
    }

    /// Returns true if another node has to relay the counts of an incarnation.
    fn needs_relay(&self, now: u64, incarnation: u64) -> bool {
        let originator = self
            .nodes
            .iter()
            .find(|node| node.peer.incarnation == incarnation);
        match originator {
            None => true,
            // It sends its counts to the nodes that can lead, and to no other
            // node.
            Some(node) if Role::of(&node.peer) == Role::Standby => {
                now >= node.heard_at + STANDBY_TIMEOUT_MS
            }
            Some(node) if !self.is_live(now, node) => true,
            // Only nodes that can lead need the counts.
            Some(node) => self
                .live(now)
                .filter(|other| other.peer.has_disk)
                .any(|other| other.unheard.contains(&node.peer.ip)),
        }
    }

    /// Returns true if every node that may serve is heard.
    pub fn hears_all_entries(&self, now: u64) -> bool {
        self.unheard(now).next().is_none()
    }

    /// Returns the nodes that may be serving although they are not heard
    /// directly.
    ///
    /// A standby node can't tell, because it hears one node at a time.
    pub(super) fn unheard(&self, now: u64) -> impl Iterator<Item = &Node> {
        let timeout_ms = self.unheard_timeout_ms(now);
        let can_tell = self.is_member();
        self.nodes.iter().filter(move |node| {
            let from = node.heard_directly_at.max(node.first_seen_at);
            can_tell && node.is_entry(now) && now >= from + timeout_ms
        })
    }

    /// Returns the time without direct datagrams after which a node is
    /// unheard, in ms. Where nodes take turns, a node is heard directly only
    /// once in several rounds.
    pub(super) fn unheard_timeout_ms(&self, now: u64) -> u64 {
        let turn_ms =
            2.0 * mean_propagation_delay_ms(self.members(now).count() + 1);
        NODE_TIMEOUT_MS.max((turn_ms * UNHEARD_TIMEOUT_TURNS) as u64)
    }

    /// Returns counts of other nodes that this node relays.
    ///
    /// A node that was killed has reported its last counts to some nodes only,
    /// to which a leader that has just started does not belong. Behind a
    /// network partition, a node reports to the nodes that hear it, but not to
    /// the leader. Without relaying, the usage report would lack these counts.
    pub(super) fn relayed(&self, now: u64) -> Vec<Began> {
        let own = self.me.incarnation;
        self.counts.relayed(own, self.load_reports_sent, |incarnation| {
            self.needs_relay(now, incarnation)
        })
    }

    /// Returns the answers to a node that has stated what it holds of the
    /// counts of some nodes, or that stops and has sent its last counts.
    pub fn answer_counts(
        &mut self,
        now: u64,
        wall_ms: i64,
        asker: &CountsQuery,
    ) -> Vec<Gossip> {
        let mut answers = Vec::new();
        if !asker.held.is_empty() || asker.is_leader {
            let max_datagrams = match self.me.has_disk {
                true => COUNT_ANSWERS_OF_DISK,
                false => 1,
            };
            let missing = self.counts.missing(
                &asker.held,
                self.counts_answered,
                max_datagrams,
                self.oldest_reportable_window(),
                |node| {
                    asker.is_leader
                        && node != asker.incarnation
                        && node != self.me.incarnation
                        && self.needs_relay(now, node)
                },
            );
            self.counts_answered += u64::from(!missing.is_empty());
            let missing = missing.into_iter();
            answers.extend(
                missing.map(|relayed| Gossip { relayed, ..Gossip::default() }),
            );
        }
        if asker.stops && self.me.has_disk {
            let held = self.counts.held(asker.incarnation);
            let held = held.into_iter().collect();
            answers.push(Gossip { held, ..Gossip::default() });
        }
        for answer in &mut answers {
            let gossip = self.bare_gossip(wall_ms);
            answer.from = gossip.from;
            answer.wall_ms = gossip.wall_ms;
            answer.scope = gossip.scope;
        }
        answers
    }

    /// Returns the last counts of this node, which counts no more requests, and
    /// the nodes that have not confirmed them. Returns `None` once all nodes
    /// that make usage reports have done so.
    pub fn last_counts(
        &mut self,
        now: u64,
        wall_ms: i64,
    ) -> Option<(Vec<Ipv4Addr>, Gossip)> {
        let mut to = self.collectors(now);
        let confirmed_by = self.confirmed_by.get_or_insert_default();
        to.retain(|ip| !confirmed_by.contains(&u32::from(*ip)));
        let usage = self.counts.latest_of(self.me.incarnation, 0);
        if to.is_empty() || usage.is_empty() {
            return None;
        }
        let counting = COUNTS_NO_MORE;
        let gossip = self.bare_gossip(wall_ms);
        Some((to, Gossip { usage, counting, ..gossip }))
    }
}

impl Node {
    /// Returns its address.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::from(self.peer.ip)
    }
    /// Returns true if callers are sent to it.
    pub fn is_active(&self) -> bool {
        self.peer.serving && Role::of(&self.peer) == Role::Active
    }

    /// Returns true if callers' requests may come in at the node.
    ///
    /// A draining node that has been silent for longer than a drain takes is
    /// on standby, and its report of that was lost.
    fn is_entry(&self, now: u64) -> bool {
        let may_have_requests = match Role::of(&self.peer) {
            Role::Active => true,
            Role::Draining => now < self.heard_at + DRAIN_DURATION_MS,
            Role::Standby => false,
        };
        self.peer.serving && may_have_requests
    }

    /// Returns its report for other nodes, with the present age.
    pub(super) fn to_peer(&self, now: u64) -> Peer {
        let age_ms = now.saturating_sub(self.heard_at) as u32;
        Peer { age_ms, ..self.peer.clone() }
    }
}

/// Requests of other nodes in flight, by replica.
#[derive(Clone, Debug)]
pub struct Loads {
    /// Sorted by replica.
    sums: Vec<Under>,
}

impl Loads {
    /// Returns the requests in flight at a replica, and the prompt tokens that
    /// it has yet to read for them.
    pub fn at(&self, replica: u64) -> (u32, u32) {
        let found = position(&self.sums, &replica, |under| &under.replica);
        found.map_or((0, 0), |at| (self.sums[at].count, self.sums[at].pending))
    }
}
