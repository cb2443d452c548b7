//! Datagrams between nodes, as they are read and written.

use super::{
    FANOUT,
    replica::State,
    role::Role,
    table::{FORGET_NODE_MS, LIVE_MS, News, Node, Own, Table},
};
use crate::{
    util::{common, position},
    wire::{Beat, Began, Gossip, Peer, Sighting},
};

/// A replica without a heartbeat for this long is forgotten, in ms. Longer
/// than a cut between a replica and control, behind which it goes on serving.
const FORGET_REPLICA_MS: u64 = 30_000;
/// How long the mark of a replica that has left is kept, in ms: longer than a
/// heartbeat can be late.
const TOMBSTONE_MS: u64 = 60_000;
/// Replicas named whole in one datagram, so that it fits an Ethernet frame.
const REPLICAS_PER_DATAGRAM: usize = 12;
/// Heartbeats told in one datagram, at 16 bytes each: forty nodes relay those
/// of six hundred replicas, so that some twenty are told at any time.
const BEATS_PER_DATAGRAM: usize = 32;
/// Nodes named in one datagram besides the sender. With seventy nodes each
/// is so heard of five times a second; with three, one in a hundred seemed
/// silent at any time.
const PEERS_PER_DATAGRAM: usize = 6;
/// Nodes named in an answer to one that starts or stands by, besides those
/// that it has to know.
const PEERS_IN_ANSWER: usize = 8;
/// Active nodes of its data centre that are named in an answer at most, for
/// the length of a datagram.
const NEAR_IN_ANSWER: usize = 24;
/// Nodes are passed on that were heard so recently, in ms: what is older helps
/// nobody to tell that they live.
const PASSED_ON_MS: u64 = LIVE_MS / 2;
/// A node that stands by tells each heartbeat so many times, each time to
/// another node: one datagram may be lost.
const TOLD_BY_STANDBY: u32 = 2;
/// Replicas in each datagram that the receiver probably knows, in turn, so
/// that every gap is filled within seconds.
const REPEATED_PER_DATAGRAM: usize = 3;

common! {
    copy
    /// What a datagram says of its sender's load.
    pub(super) enum Scope {
        /// All of it.
        All,
        /// Nothing.
        Nothing,
        /// Its requests under way.
        UnderWay,
    }
}

impl Scope {
    fn of(scope: u32) -> Scope {
        match scope {
            0 => Scope::All,
            2 => Scope::UnderWay,
            _ => Scope::Nothing,
        }
    }
}

impl Table {
    /// Takes a datagram; `wall_ms` is this node's time of day.
    pub fn hear(&mut self, now: u64, wall_ms: i64, gossip: Gossip) -> News {
        let mut news = News::default();
        let Some(from) = gossip.from else { return news };
        if from.ip == self.me.ip {
            return news;
        }
        let (ip, incarnation) = (from.ip, from.incarnation);
        // Whoever stands by tells one node what it hears from replicas; that
        // node tells the others as if it had heard it itself.
        let relays = self.is_member()
            && !from.has_disk
            && Role::of(&from) == Role::Standby;
        news.nodes |= self.hear_of(now, from, true);
        for peer in gossip.peers {
            news.nodes |= self.hear_of(now, peer, false);
        }
        if let Ok(at) = position(&self.nodes, &ip, |one| &one.says.ip) {
            let node = &mut self.nodes[at];
            if node.says.incarnation == incarnation {
                node.lead_ms = gossip.wall_ms - wall_ms;
                node.direct_at = now;
                let scope = Scope::of(gossip.scope);
                if scope != Scope::Nothing {
                    node.under = gossip.under;
                }
                if scope == Scope::All {
                    node.spent = gossip.spent;
                    node.work = gossip.work;
                    node.unheard = gossip.unheard;
                }
            }
        }
        for says in gossip.replicas {
            let leaves = State::from_u32(says.state) != State::Ready;
            let changed = self.sight(now, says, relays);
            news.replicas |= changed;
            news.leaves |= changed && leaves;
        }
        for beat in gossip.beats {
            self.hear_beat(now, &beat, relays);
        }
        self.counts.note(Began { node: incarnation, windows: gossip.usage });
        for hash in gossip.left {
            let changed = self.hear_left(now, hash);
            news.replicas |= changed;
            news.leaves |= changed;
        }
        for relayed in gossip.relayed {
            self.counts.note(relayed);
        }
        news
    }

    fn hear_beat(&mut self, now: u64, beat: &Beat, relays: bool) {
        let mut replicas = self.replicas.iter_mut();
        if let Some(known) = replicas.find(|one| one.hash == beat.replica) {
            known.beat(now, beat, relays);
        }
    }

    fn hear_of(&mut self, now: u64, says: Peer, direct: bool) -> bool {
        if says.ip == self.me.ip {
            return false;
        }
        // Counted from now, word of a dead node that goes round would keep it
        // alive for as long as anybody passes it on.
        let heard_at = now.saturating_sub(u64::from(says.age_ms));
        let says = Peer { age_ms: 0, ..says };
        match position(&self.nodes, &says.ip, |one| &one.says.ip) {
            Ok(at) => {
                let node = &mut self.nodes[at];
                let restarted = node.says.incarnation != says.incarnation;
                // A beat is a time of day, so it grows across restarts too,
                // unless the clock has jumped back meanwhile: then the node
                // is believed as soon as it speaks for itself.
                let old = says.beat <= node.says.beat;
                if old && !(restarted && direct) {
                    return false;
                }
                node.heard_at = node.heard_at.max(heard_at);
                if restarted {
                    node.under.clear();
                    node.spent.clear();
                    node.work.clear();
                }
                node.says = says;
                restarted
            }
            Err(at) => {
                let node = Node {
                    says,
                    heard_at,
                    direct_at: 0,
                    since: now,
                    under: Vec::new(),
                    spent: Vec::new(),
                    work: Vec::new(),
                    unheard: Vec::new(),
                    lead_ms: 0,
                };
                self.nodes.insert(at, node);
                true
            }
        }
    }

    /// The next datagram to nodes that tell each other of their load.
    pub fn compose(&mut self, now: u64, wall_ms: i64, own: Own) -> Gossip {
        let (replicas, beats) = self.next_replicas(now);
        let gossip = self.word(now, wall_ms, replicas, beats);
        let peers = self.next_peers(now, PEERS_PER_DATAGRAM);
        Gossip { peers, ..self.with_load(now, gossip, own) }
    }

    /// What is urgent, and nothing else: who this node is, and which replicas
    /// are new or leave.
    pub(super) fn compose_urgent(&mut self, now: u64, wall_ms: i64) -> Gossip {
        let changed = self.replicas.iter().filter(|one| one.tell_whole > 0);
        let changed = changed.take(REPLICAS_PER_DATAGRAM);
        let replicas = changed.map(|one| one.aged(now)).collect();
        let gossip = self.word(now, wall_ms, replicas, Vec::new());
        Gossip { scope: Scope::Nothing as u32, ..gossip }
    }

    /// The answer to a node that greets.
    ///
    /// One that stands by is told whom callers may be sent to in its data
    /// centre, who can lead, and what is new of replicas; any other one what
    /// its own kind is told, and of more nodes.
    pub fn answer(
        &mut self,
        now: u64,
        wall_ms: i64,
        own: Own,
        asked: &Peer,
    ) -> Gossip {
        let replicas = self.repeated(now);
        let mut gossip = self.word(now, wall_ms, replicas, Vec::new());
        let told = self.replicas.iter().filter(|one| one.tell > 0);
        let told = told.take(BEATS_PER_DATAGRAM);
        gossip.beats = told.map(|one| one.last_beat(now)).collect();
        gossip.peers = self.peers_for(now, asked);
        match asked.has_disk || Role::of(asked) != Role::Standby {
            true => self.with_load(now, gossip, own),
            false => Gossip {
                scope: Scope::Nothing as u32,
                crashes: own.crashes,
                suspected: own.suspected,
                successes: own.successes,
                limits: own.limits,
                ..gossip
            },
        }
    }

    /// What every datagram says.
    fn word(
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
            left: self.lately_left(now),
            ..Gossip::default()
        }
    }

    fn with_load(&mut self, now: u64, gossip: Gossip, own: Own) -> Gossip {
        self.own_work.clone_from(&own.work);
        self.told += 1;
        Gossip {
            under: own.under,
            spent: own.spent,
            work: own.work,
            cached: own.cached,
            crashes: own.crashes,
            suspected: own.suspected,
            successes: own.successes,
            limits: own.limits,
            usage: self.counts.latest_of(self.me.incarnation, self.told),
            relayed: self.relayed(now),
            unheard: self.unheard(now).map(|node| node.says.ip).collect(),
            ..gossip
        }
    }

    /// Some of the nodes that tell of their load, in turn.
    fn next_peers(&mut self, now: u64, most: usize) -> Vec<Peer> {
        let from = self.next_peer;
        self.next_peer = from.wrapping_add(most);
        let fresh: Vec<&Node> = self
            .members(now)
            .filter(|node| now < node.heard_at + PASSED_ON_MS)
            .collect();
        let count = fresh.len().min(most);
        (0..count)
            .map(|step| fresh[(from + step) % fresh.len()].aged(now))
            .collect()
    }

    fn peers_for(&mut self, now: u64, asked: &Peer) -> Vec<Peer> {
        let from = self.next_near;
        let needs = |node: &&Node| {
            let is_near = node.says.data_centre == asked.data_centre;
            node.says.has_disk || (is_near && node.is_active())
        };
        let needed: Vec<&Node> = self.members(now).filter(needs).collect();
        let count = needed.len().min(NEAR_IN_ANSWER);
        let mut peers: Vec<Peer> = (0..count)
            .map(|step| needed[(from + step) % needed.len()].aged(now))
            .collect();
        self.next_near = self.next_near.wrapping_add(count);
        peers.extend(self.next_peers(now, PEERS_IN_ANSWER));
        peers
    }

    /// What is new first, then some of the rest in turn: what others may not
    /// know whole, what they know by its heartbeat.
    ///
    /// News are told until every node had its turn. Told only once where
    /// nodes take turns, three of four nodes would know heartbeats by the
    /// turn of the rest alone, up to twelve seconds late with seventy nodes;
    /// each replica then seemed silent to some nodes at any time.
    fn next_replicas(&mut self, now: u64) -> (Vec<Sighting>, Vec<Beat>) {
        let rounds = match self.is_member() {
            true => self.members(now).count().div_ceil(FANOUT).max(1) as u32,
            false => TOLD_BY_STANDBY,
        };
        let mut whole = Vec::new();
        let mut beats = Vec::new();
        for replica in &mut self.replicas {
            let left = replica.tell.min(rounds);
            if left == 0 {
                continue;
            }
            let is_known = replica.tell_whole == 0;
            if is_known && beats.len() < BEATS_PER_DATAGRAM {
                replica.tell = left - 1;
                if replica.state == State::Ready {
                    beats.push(replica.last_beat(now));
                }
            } else if !is_known && whole.len() < REPLICAS_PER_DATAGRAM {
                replica.tell = left - 1;
                replica.tell_whole = replica.tell;
                whole.push(replica.aged(now));
            }
        }
        whole.extend(self.repeated(now));
        (whole, beats)
    }

    /// Some replicas in turn.
    fn repeated(&mut self, now: u64) -> Vec<Sighting> {
        let count = self.replicas.len().min(REPEATED_PER_DATAGRAM);
        let mut repeated = Vec::new();
        for _ in 0..count {
            self.next_replica = (self.next_replica + 1) % self.replicas.len();
            repeated.push(self.replicas[self.next_replica].aged(now));
        }
        repeated
    }

    /// Drops what is past its time.
    pub fn expire(&mut self, now: u64) {
        self.nodes.retain(|node| now < node.heard_at + FORGET_NODE_MS);
        self.replicas.retain(|replica| {
            if replica.remembered_until.is_some_and(|until| now >= until) {
                return false;
            }
            let keep = match replica.state {
                State::Ready => FORGET_REPLICA_MS,
                State::Leaving | State::Gone => TOMBSTONE_MS,
            };
            now < replica.heard_at + keep
        });
        self.left.retain(|(_, at)| now < at + TOMBSTONE_MS);
        self.counts.expire();
    }
}
