//! Reads and writes the datagrams that nodes exchange.

use super::{
    FANOUT,
    replica::State,
    role::Role,
    table::{
        Changes, LocalReport, NODE_RETENTION_MS, NODE_TIMEOUT_MS, Node, Table,
    },
};
use crate::{
    util::{common, position},
    wire::{Beat, Began, Gossip, Peer, RolloutReport, Sighting},
};

/// Time without heartbeats after which a replica is dropped, in ms. It is
/// longer than a network partition between a replica and control, during which
/// the replica goes on serving.
pub(super) const REPLICA_RETENTION_MS: u64 = 30_000;
/// Time for which a leaving or departed replica is remembered, in ms. It is
/// longer than a heartbeat can be delayed.
const TOMBSTONE_RETENTION_MS: u64 = 60_000;
/// Replicas with all their fields in one datagram, so that it fits an Ethernet
/// frame.
const REPLICAS_PER_DATAGRAM: usize = 12;
/// Heartbeats in one datagram, at 16 bytes each. Forty nodes relay those of
/// six hundred replicas, so about twenty are due at any time.
const BEATS_PER_DATAGRAM: usize = 32;
/// Nodes in one datagram besides the sender. With seventy nodes, each node is
/// thus reported five times a second. With a value of three, one node in a
/// hundred appeared silent at any time.
const PEERS_PER_DATAGRAM: usize = 6;
/// Nodes in an answer to a starting or standby node, besides those that it
/// needs to know.
const PEERS_PER_ANSWER: usize = 8;
/// Maximum number of needed nodes in an answer: active nodes of the asking
/// node's data centre and nodes with a disk. It bounds the length of the
/// datagram.
const MAX_NEEDED_PEERS_PER_ANSWER: usize = 24;
/// Maximum age of a node's last report for the node to be relayed, in ms. An
/// older report does not help to show that the node is live.
const MAX_RELAYED_PEER_AGE_MS: u64 = NODE_TIMEOUT_MS / 2;
/// Number of times that a standby node sends each heartbeat, each time to
/// another node, because one datagram may be lost.
const STANDBY_SENDS_PER_HEARTBEAT: u32 = 2;
/// Replicas that each datagram repeats in turn although the receiver probably
/// knows them, so that every gap is filled within seconds.
const REPEATED_REPLICAS_PER_DATAGRAM: usize = 3;

common! {
    copy
    /// The part of its sender's load that a datagram reports.
    pub(super) enum Scope {
        /// The whole load.
        All,
        /// No load.
        Nothing,
        /// Only the requests in flight.
        InFlight,
    }
}

impl Scope {
    fn of(scope: u32) -> Scope {
        match scope {
            0 => Scope::All,
            2 => Scope::InFlight,
            _ => Scope::Nothing,
        }
    }
}

/// Leaves out the evidence, which only nodes that can lead need.
pub(super) fn without_evidence(report: RolloutReport) -> RolloutReport {
    RolloutReport { evidence: Vec::new(), ..report }
}

impl Table {
    /// Applies a received datagram. `wall_ms` is this node's wall-clock time.
    pub fn receive(
        &mut self,
        now: u64,
        wall_ms: i64,
        gossip: Gossip,
    ) -> Changes {
        let mut changes = Changes::default();
        let Some(from) = gossip.from else { return changes };
        if from.ip == self.me.ip {
            return changes;
        }
        let (ip, incarnation) = (from.ip, from.incarnation);
        // A standby node sends the heartbeats that it receives from replicas
        // to one node at a time. That node relays them as if it had received
        // them itself.
        let relays = self.is_member()
            && !from.has_disk
            && Role::of(&from) == Role::Standby;
        self.record_contact(now, &from);
        changes.nodes |= self.apply_peer(now, from, true);
        for peer in gossip.peers {
            changes.nodes |= self.apply_peer(now, peer, false);
        }
        if let Ok(at) = position(&self.nodes, &ip, |node| &node.peer.ip) {
            let node = &mut self.nodes[at];
            if node.peer.incarnation == incarnation {
                node.clock_lead_ms = gossip.wall_ms - wall_ms;
                node.heard_directly_at = now;
                let scope = Scope::of(gossip.scope);
                if scope != Scope::Nothing {
                    node.under = gossip.under;
                    node.team_work = (now, gossip.team_work);
                }
                if scope == Scope::All {
                    node.spent = gossip.spent;
                    node.work = gossip.work;
                    node.unheard = gossip.unheard;
                }
            }
        }
        for sighting in gossip.replicas {
            let leaves = State::from_u32(sighting.state) != State::Ready;
            let id = leaves.then(|| sighting.id.clone());
            let changed = self.apply_sighting(now, sighting, relays);
            changes.replicas |= changed;
            if changed && leaves {
                changes.departures = true;
                self.reported_departures.extend(id);
            }
        }
        for beat in gossip.beats {
            self.apply_beat(now, &beat, relays);
        }
        self.counts.record_final(incarnation, gossip.counting, &gossip.usage);
        self.counts.merge(Began { node: incarnation, windows: gossip.usage });
        let me = self.me.incarnation;
        let own = gossip.held.iter().find(|held| held.node == me);
        if own.is_some_and(|held| self.counts.is_covered_by(held))
            && let Some(confirmed_by) = &mut self.confirmed_by
        {
            confirmed_by.push(ip);
        }
        for hash in gossip.left {
            let changed = self.apply_departure(now, hash);
            changes.replicas |= changed;
            if changed {
                changes.departures = true;
                let replica = self.replicas.iter().find(|r| r.hash == hash);
                let id = replica.map(|replica| replica.sighting.id.clone());
                self.reported_departures.extend(id);
            }
        }
        for relayed in gossip.relayed {
            self.counts.merge(relayed);
        }
        changes
    }

    fn apply_beat(&mut self, now: u64, beat: &Beat, relays: bool) {
        let mut replicas = self.replicas.iter_mut();
        if let Some(known) =
            replicas.find(|replica| replica.hash == beat.replica)
        {
            known.apply_beat(now, beat, relays);
        }
    }

    fn apply_peer(&mut self, now: u64, peer: Peer, is_direct: bool) -> bool {
        if peer.ip == self.me.ip {
            return false;
        }
        // Subtracts the report's age. Counted from its arrival, a relayed
        // report of a dead node would keep that node live for as long as other
        // nodes relay it.
        let heard_at = now.saturating_sub(u64::from(peer.age_ms));
        let peer = Peer { age_ms: 0, ..peer };
        match position(&self.nodes, &peer.ip, |node| &node.peer.ip) {
            Ok(at) => {
                let node = &mut self.nodes[at];
                let is_restarted = node.peer.incarnation != peer.incarnation;
                // A beat is a wall-clock time, so it also grows across
                // restarts unless the clock has jumped back. In that case the
                // restarted node is accepted once it sends a datagram itself.
                let is_old = peer.beat <= node.peer.beat;
                if is_old && !(is_restarted && is_direct) {
                    return false;
                }
                node.heard_at = node.heard_at.max(heard_at);
                if is_restarted {
                    node.under.clear();
                    node.spent.clear();
                    node.work.clear();
                    node.team_work = (0, Vec::new());
                }
                node.peer = peer;
                is_restarted
            }
            Err(at) => {
                if self.live(now).next().is_none() {
                    // This node was alone, and may have been cut off.
                    self.history.record_gap(now);
                }
                let node = Node {
                    peer,
                    heard_at,
                    heard_directly_at: 0,
                    first_seen_at: now,
                    under: Vec::new(),
                    spent: Vec::new(),
                    work: Vec::new(),
                    team_work: (0, Vec::new()),
                    unheard: Vec::new(),
                    clock_lead_ms: 0,
                };
                self.nodes.insert(at, node);
                true
            }
        }
    }

    /// Returns the next datagram to members, with this node's load.
    pub fn compose(
        &mut self,
        now: u64,
        wall_ms: i64,
        own: LocalReport,
    ) -> Gossip {
        let (replicas, beats) = self.next_replicas(now);
        let gossip = self.base_gossip(now, wall_ms, replicas, beats);
        let peers = self.next_peers(now, PEERS_PER_DATAGRAM);
        Gossip { peers, ..self.with_load(now, gossip, own) }
    }

    /// Returns a datagram with urgent information only: this node, and
    /// replicas that are new or have changed their state.
    pub(super) fn compose_urgent(&mut self, now: u64, wall_ms: i64) -> Gossip {
        let changed = self
            .replicas
            .iter()
            .filter(|replica| replica.pending_full_sends > 0);
        let changed = changed.take(REPLICAS_PER_DATAGRAM);
        let replicas =
            changed.map(|replica| replica.to_sighting(now)).collect();
        let gossip = self.base_gossip(now, wall_ms, replicas, Vec::new());
        Gossip { scope: Scope::Nothing as u32, ..gossip }
    }

    /// Returns the answer to a node that greets this one.
    ///
    /// A standby node receives the active nodes of its data centre, the nodes
    /// that can lead, and new information on replicas. Any other node receives
    /// what members receive, with more nodes. Both receive all departures: the
    /// asker may have been cut off while datagrams reported them.
    pub fn answer(
        &mut self,
        now: u64,
        wall_ms: i64,
        own: LocalReport,
        asker: &Peer,
    ) -> Gossip {
        let replicas = self.next_repeated(now);
        let mut gossip = self.base_gossip(now, wall_ms, replicas, Vec::new());
        let due =
            self.replicas.iter().filter(|replica| replica.pending_sends > 0);
        let due = due.take(BEATS_PER_DATAGRAM);
        gossip.beats = due.map(|replica| replica.last_beat(now)).collect();
        gossip.peers = self.peers_for(now, asker);
        gossip.left = self.missed_departures(now);
        match asker.has_disk || Role::of(asker) != Role::Standby {
            true => self.with_load(now, gossip, own),
            false => Gossip {
                scope: Scope::Nothing as u32,
                crashes: own.crashes,
                suspected: own.suspected,
                successes: own.successes,
                parts: own.parts,
                limits: own.limits,
                rollouts: own.rollouts.map(without_evidence),
                ..gossip
            },
        }
    }

    /// Returns a datagram with this node and its clock only.
    pub(super) fn bare_gossip(&mut self, wall_ms: i64) -> Gossip {
        self.me.beat = self.me.beat.max(wall_ms as u64) + 1;
        Gossip {
            from: Some(self.me.clone()),
            wall_ms,
            scope: Scope::Nothing as u32,
            ..Gossip::default()
        }
    }

    /// Returns the fields that every datagram has.
    fn base_gossip(
        &mut self,
        now: u64,
        wall_ms: i64,
        replicas: Vec<Sighting>,
        beats: Vec<Beat>,
    ) -> Gossip {
        self.me.beat = self.me.beat.max(wall_ms as u64) + 1;
        Gossip {
            from: Some(self.me.clone()),
            replicas,
            beats,
            wall_ms,
            left: self.next_departures(now),
            ..Gossip::default()
        }
    }

    fn with_load(
        &mut self,
        now: u64,
        gossip: Gossip,
        own: LocalReport,
    ) -> Gossip {
        self.own_work.clone_from(&own.work);
        self.load_reports_sent += 1;
        self.window = own.window;
        Gossip {
            under: own.under,
            spent: own.spent,
            work: own.work,
            team_work: own.team_work,
            cached: own.cached,
            crashes: own.crashes,
            suspected: own.suspected,
            successes: own.successes,
            parts: own.parts,
            limits: own.limits,
            rollouts: own.rollouts,
            speeds: own.speeds,
            usage: self
                .counts
                .latest_of(self.me.incarnation, self.load_reports_sent),
            counting: own.window,
            relayed: self.relayed(now),
            unheard: self.unheard(now).map(|node| node.peer.ip).collect(),
            ..gossip
        }
    }

    /// Returns some of the members, in turn.
    fn next_peers(&mut self, now: u64, max_peers: usize) -> Vec<Peer> {
        let from = self.next_peer;
        self.next_peer = from.wrapping_add(max_peers);
        let fresh: Vec<&Node> = self
            .members(now)
            .filter(|node| now < node.heard_at + MAX_RELAYED_PEER_AGE_MS)
            .collect();
        let count = fresh.len().min(max_peers);
        (0..count)
            .map(|step| fresh[(from + step) % fresh.len()].to_peer(now))
            .collect()
    }

    fn peers_for(&mut self, now: u64, asker: &Peer) -> Vec<Peer> {
        let from = self.next_near_peer;
        let is_needed = |node: &&Node| {
            let is_near = node.peer.data_centre == asker.data_centre;
            node.peer.has_disk || (is_near && node.is_active())
        };
        let needed: Vec<&Node> = self.members(now).filter(is_needed).collect();
        let count = needed.len().min(MAX_NEEDED_PEERS_PER_ANSWER);
        let mut peers: Vec<Peer> = (0..count)
            .map(|step| needed[(from + step) % needed.len()].to_peer(now))
            .collect();
        self.next_near_peer = self.next_near_peer.wrapping_add(count);
        peers.extend(self.next_peers(now, PEERS_PER_ANSWER));
        peers
    }

    /// Returns new information first, then some other replicas in turn: with
    /// all fields for replicas that other nodes may not know, and as a
    /// heartbeat for the rest.
    ///
    /// New information is sent until every node has had its turn. If it were
    /// sent only once although nodes take turns, three of four nodes would
    /// learn of heartbeats only when the replica is repeated, up to twelve
    /// seconds late with seventy nodes. Each replica would then appear silent
    /// to some nodes at any time.
    fn next_replicas(&mut self, now: u64) -> (Vec<Sighting>, Vec<Beat>) {
        let sends = match self.is_member() {
            true => self.members(now).count().div_ceil(FANOUT).max(1) as u32,
            false => STANDBY_SENDS_PER_HEARTBEAT,
        };
        let mut full = Vec::new();
        let mut beats = Vec::new();
        for replica in &mut self.replicas {
            let remaining = replica.pending_sends.min(sends);
            if remaining == 0 {
                continue;
            }
            let is_known = replica.pending_full_sends == 0;
            if is_known && beats.len() < BEATS_PER_DATAGRAM {
                replica.pending_sends = remaining - 1;
                if replica.state == State::Ready {
                    beats.push(replica.last_beat(now));
                }
            } else if !is_known && full.len() < REPLICAS_PER_DATAGRAM {
                replica.pending_sends = remaining - 1;
                replica.pending_full_sends = replica.pending_sends;
                full.push(replica.to_sighting(now));
            }
        }
        full.extend(self.next_repeated(now));
        (full, beats)
    }

    /// Returns some replicas, in turn.
    fn next_repeated(&mut self, now: u64) -> Vec<Sighting> {
        let count = self.replicas.len().min(REPEATED_REPLICAS_PER_DATAGRAM);
        let mut repeated = Vec::new();
        for _ in 0..count {
            self.next_replica = (self.next_replica + 1) % self.replicas.len();
            repeated.push(self.replicas[self.next_replica].to_sighting(now));
        }
        repeated
    }

    /// Drops nodes, replicas and counts whose retention has passed.
    pub fn expire(&mut self, now: u64) {
        self.update_history(now);
        self.nodes.retain(|node| now < node.heard_at + NODE_RETENTION_MS);
        self.replicas.retain(|replica| {
            if replica.remembered_until.is_some_and(|until| now >= until) {
                return false;
            }
            let retention_ms = match replica.state {
                State::Ready => REPLICA_RETENTION_MS,
                State::Leaving | State::Departed => TOMBSTONE_RETENTION_MS,
            };
            now < replica.heard_at + retention_ms
        });
        self.departures.retain(|(_, at)| now < at + TOMBSTONE_RETENTION_MS);
        if self.window > 0 {
            self.counts.expire(self.window);
        }
    }
}
