//! Datagrams between nodes, as they are read and written.

use super::{
    FANOUT,
    replica::State,
    table::{FORGET_NODE_MS, News, Node, Own, Table},
};
use crate::{
    util::position,
    wire::{Began, Gossip, Peer, Sighting},
};

/// A replica without a heartbeat for this long is forgotten, in ms. Longer
/// than a cut between a replica and control, behind which it goes on serving.
const FORGET_REPLICA_MS: u64 = 30_000;
/// How long the mark of a replica that has left is kept, in ms: longer than a
/// heartbeat can be late.
const TOMBSTONE_MS: u64 = 60_000;
/// Replicas named in one datagram, so that it fits an Ethernet frame.
const REPLICAS_PER_DATAGRAM: usize = 12;
/// Nodes named in one datagram besides the sender, for the same reason.
const PEERS_PER_DATAGRAM: usize = 3;
/// Replicas in each datagram that the receiver probably knows, in turn, so
/// that every gap is filled within seconds.
const REPEATED_PER_DATAGRAM: usize = 3;

impl Table {
    /// Takes a datagram; `wall_ms` is this node's time of day.
    pub fn hear(&mut self, now: u64, wall_ms: i64, gossip: Gossip) -> News {
        let mut news = News::default();
        let Some(from) = gossip.from else { return news };
        if from.ip == self.me.ip {
            return news;
        }
        let (ip, incarnation) = (from.ip, from.incarnation);
        news.nodes |= self.hear_of(now, from, true);
        for peer in gossip.peers {
            news.nodes |= self.hear_of(now, peer, false);
        }
        if let Ok(at) = position(&self.nodes, &ip, |one| &one.says.ip) {
            let node = &mut self.nodes[at];
            if node.says.incarnation == incarnation {
                node.direct_at = now;
                node.under = gossip.under;
                node.spent = gossip.spent;
                node.work = gossip.work;
                node.unheard = gossip.unheard;
                node.lead_ms = gossip.wall_ms - wall_ms;
            }
        }
        for says in gossip.replicas {
            news.replicas |= self.sight(now, says, false);
        }
        self.counts.note(Began { node: incarnation, windows: gossip.usage });
        for hash in gossip.left {
            news.replicas |= self.hear_left(now, hash);
        }
        for relayed in gossip.relayed {
            self.counts.note(relayed);
        }
        news
    }

    fn hear_of(&mut self, now: u64, says: Peer, direct: bool) -> bool {
        if says.ip == self.me.ip {
            return false;
        }
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
                node.heard_at = now;
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
                    heard_at: now,
                    direct_at: 0,
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

    /// The next datagram.
    pub fn compose(&mut self, now: u64, wall_ms: i64, own: Own) -> Gossip {
        self.own_work.clone_from(&own.work);
        self.me.beat = self.me.beat.max(wall_ms as u64) + 1;
        let usage = self.counts.latest_of(self.me.incarnation);
        Gossip {
            from: Some(self.me.clone()),
            peers: self.next_peers(now),
            replicas: self.next_replicas(now),
            under: own.under,
            spent: own.spent,
            work: own.work,
            cached: own.cached,
            usage,
            wall_ms,
            left: self.lately_left(now),
            relayed: self.relayed(now),
            unheard: self.unheard(now).map(|node| node.says.ip).collect(),
            ..Gossip::default()
        }
    }

    fn next_peers(&mut self, now: u64) -> Vec<Peer> {
        let live: Vec<&Node> =
            self.nodes.iter().filter(|node| node.is_live(now)).collect();
        let count = live.len().min(PEERS_PER_DATAGRAM);
        let from = self.next_peer;
        self.next_peer = self.next_peer.wrapping_add(count);
        (0..count)
            .map(|step| live[(from + step) % live.len()].says.clone())
            .collect()
    }

    /// What is new first, then some of the rest in turn.
    ///
    /// News are told until every node had its turn. Told only once where
    /// nodes take turns, three of four nodes would know heartbeats by the
    /// turn of the rest alone, up to twelve seconds late with seventy nodes;
    /// each replica then seemed silent to some nodes at any time.
    fn next_replicas(&mut self, now: u64) -> Vec<Sighting> {
        let rounds = self.live(now).count().div_ceil(FANOUT).max(1) as u32;
        let mut told = Vec::new();
        for replica in &mut self.replicas {
            let left = replica.tell.min(rounds);
            if left > 0 && told.len() < REPLICAS_PER_DATAGRAM {
                replica.tell = left - 1;
                told.push(replica.aged(now));
            }
        }
        let count = self.replicas.len().min(REPEATED_PER_DATAGRAM);
        for _ in 0..count {
            self.next_replica = (self.next_replica + 1) % self.replicas.len();
            told.push(self.replicas[self.next_replica].aged(now));
        }
        told
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
