//! Who is told what in a round, apart from I/O.

use std::net::Ipv4Addr;

use rand::seq::IndexedRandom;

use super::{
    FANOUT, LOAD_FANOUT, SILENT_ROUNDS,
    datagram::Scope,
    role::{ADDRESSES, Role},
    table::{Node, Own, Table},
};
use crate::{
    util::mix,
    wire::{Gossip, Peer},
};

/// Every so many rounds a node that stands by asks another one.
const STANDBY_ROUNDS: u64 = 2;
/// Up to so many silent nodes are greeted in each round, more of them only each
/// [`SILENT_ROUNDS`].
const FEW_SILENT: usize = 3;
/// Silent nodes that are greeted at a time: as many as are told in a round.
const GREETED: usize = FANOUT;
/// A node that stands by and hears so many others needs no seeds.
const ENOUGH_HEARD: usize = 4;
/// Nodes that stand by are told what is urgent if they were heard within this
/// time, in ms: each asks another node each 0.6 s.
const STANDBY_MS: u64 = 10_000;
/// Nodes that stand by and are told what is urgent by one other: some forty
/// tell them, so that most of three hundred are told once.
const URGENT_STANDBYS: usize = 8;
/// Up to so many active nodes, callers are sent to all of them wherever they
/// are: each is a large part of what there is.
const FEW: usize = 24;
/// Active nodes that a data centre has to have for its callers to be sent to
/// no other: with fewer, one that dies leaves too much to the others.
const LEAST_NEAR: usize = 4;

/// When a round takes place, and why.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// This node's clock, in ms.
    pub now: u64,
    /// Its time of day, in ms since 1970.
    pub wall_ms: i64,
    /// Counts the regular rounds.
    pub number: u64,
    /// Between two regular ones, as something must be known everywhere.
    pub is_urgent: bool,
}

/// A datagram and those that it goes to.
#[derive(Clone, Debug)]
pub struct Sending {
    /// Where it goes.
    pub to: Vec<Ipv4Addr>,
    /// What it says.
    pub gossip: Gossip,
}

impl Table {
    /// The datagrams of one round.
    pub fn round(
        &mut self,
        round: Round,
        own: Own,
        seeds: &[Ipv4Addr],
    ) -> Vec<Sending> {
        let mut sendings = match (self.is_member(), round.is_urgent) {
            (true, false) => self.round_of_member(round, own),
            (true, true) => self.urgent_of_member(round, own),
            (false, false) => self.round_of_standby(round, own),
            (false, true) => self.urgent_of_standby(round),
        };
        if let Some(greeting) = self.greet(round, seeds) {
            sendings.push(greeting);
        }
        sendings.retain(|sending| !sending.to.is_empty());
        sendings
    }

    /// Tells some of the nodes that tell each other of their load everything,
    /// in turn, and the others where requests are under way.
    ///
    /// That is a tenth of the bytes, and what routing goes by: word that is
    /// 0.5 s old instead of 0.15 sends forty nodes to the same idle replicas.
    fn round_of_member(&mut self, round: Round, own: Own) -> Vec<Sending> {
        let gossip = self.compose(round.now, round.wall_ms, own);
        let mut to = ips(self.members(round.now));
        let mut rest = Vec::new();
        if to.len() > FANOUT {
            let from = (round.number as usize * FANOUT) % to.len();
            to.rotate_left(from);
            rest = to.split_off(FANOUT);
            rest.truncate(LOAD_FANOUT - FANOUT);
        }
        let load = Gossip {
            from: gossip.from.clone(),
            under: gossip.under.clone(),
            wall_ms: gossip.wall_ms,
            scope: Scope::UnderWay as u32,
            ..Gossip::default()
        };
        let mut sendings = self.with_usage_for_some(round, gossip, to);
        sendings.push(Sending { to: rest, gossip: load });
        sendings
    }

    /// Counts of usage are half of a datagram where there are many teams. Only
    /// nodes that can lead need them; one other node in turn gets them as
    /// well, so that they outlast the loss of all that can lead.
    fn with_usage_for_some(
        &self,
        round: Round,
        gossip: Gossip,
        to: Vec<Ipv4Addr>,
    ) -> Vec<Sending> {
        let disks = self.disks(round.now);
        let witness = round.number as usize % to.len().max(1);
        let witness = to.get(witness).copied();
        let (whole, part) = to
            .into_iter()
            .partition(|to| Some(*to) == witness || disks.contains(to));
        let slim = Gossip {
            usage: Vec::new(),
            relayed: Vec::new(),
            ..gossip.clone()
        };
        vec![Sending { to: whole, gossip }, Sending { to: part, gossip: slim }]
    }

    /// What is urgent goes to all that have requests at once, also where many
    /// take turns, and to some that stand by.
    fn urgent_of_member(&mut self, round: Round, own: Own) -> Vec<Sending> {
        let to = ips(self.members(round.now));
        if to.len() <= FANOUT {
            let gossip = self.compose(round.now, round.wall_ms, own);
            return self.with_usage_for_some(round, gossip, to);
        }
        let gossip = Gossip {
            crashes: own.crashes,
            suspected: own.suspected,
            successes: own.successes,
            limits: own.limits,
            ..self.compose_urgent(round.now, round.wall_ms)
        };
        let standbys = self.next_standbys(round.now);
        vec![
            Sending { to, gossip: gossip.clone() },
            Sending { to: standbys, gossip },
        ]
    }

    /// Each second round asks one node, in the own data centre if it can be.
    fn round_of_standby(&mut self, round: Round, own: Own) -> Vec<Sending> {
        let me = u64::from(self.own().ip);
        if !(round.number + me).is_multiple_of(STANDBY_ROUNDS) {
            return Vec::new();
        }
        let near = self.own().data_centre.clone();
        let is_near = |node: &&Node| node.says.data_centre == near;
        let mut to = ips(self.members(round.now).filter(is_near));
        if to.is_empty() {
            to = ips(self.members(round.now));
        }
        let chosen = mix(round.number ^ (me << 32)) as usize;
        let asked = to.get(chosen % to.len().max(1)).copied();
        let gossip = self.compose(round.now, round.wall_ms, own);
        let has_usage = !gossip.usage.is_empty();
        let asking = Gossip {
            peers: Vec::new(),
            usage: Vec::new(),
            relayed: Vec::new(),
            hello: true,
            ..gossip.clone()
        };
        let mut sendings =
            vec![Sending { to: asked.into_iter().collect(), gossip: asking }];
        if has_usage {
            let to = self.disks(round.now);
            let gossip = Gossip { peers: Vec::new(), ..gossip };
            sendings.push(Sending { to, gossip });
        }
        sendings
    }

    /// Replicas that are new or leave have to be known to all that have
    /// requests, whoever they told; and that this node stands by from now on,
    /// as the others would take its silence for a fault.
    fn urgent_of_standby(&mut self, round: Round) -> Vec<Sending> {
        let gossip = self.compose_urgent(round.now, round.wall_ms);
        let has_new_role = std::mem::take(&mut self.has_new_role);
        if gossip.replicas.is_empty() && !has_new_role {
            return Vec::new();
        }
        // All that are known, whether heard at the moment or not: where
        // hundreds have just started, each hears a part of them.
        let known = self.nodes().iter();
        let to = ips(known.filter(|node| Role::is_member(&node.says)));
        vec![Sending { to, gossip }]
    }

    /// Asks nodes that are not heard, and seeds, whether they are there.
    ///
    /// A few at a time: asked all at once, three hundred nodes that had lost
    /// sight of each other would answer each other with more than their links
    /// bear, and so lose sight of each other.
    fn greet(&mut self, round: Round, seeds: &[Ipv4Addr]) -> Option<Sending> {
        let mut silent = self.silent(round.now, seeds);
        let is_due = round.number % SILENT_ROUNDS == 1;
        if !is_due && silent.len() > FEW_SILENT {
            return None;
        }
        if silent.len() > GREETED {
            let from = self.next_silent % silent.len();
            self.next_silent = from + GREETED;
            silent.rotate_left(from);
            silent.truncate(GREETED);
        }
        if silent.is_empty() {
            return None;
        }
        let gossip = self.compose_urgent(round.now, round.wall_ms);
        let gossip = Gossip { hello: true, ..gossip };
        Some(Sending { to: silent, gossip })
    }

    /// Nodes that should be heard and are not, and seeds. Who stands by is
    /// not greeted: it asks itself.
    fn silent(&self, now: u64, seeds: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let live = ips(self.live(now));
        if !self.is_member() && live.len() >= ENOUGH_HEARD {
            return Vec::new();
        }
        let me = Ipv4Addr::from(self.own().ip);
        let known = self.nodes().iter();
        let mut silent: Vec<Ipv4Addr> = known
            .filter(|node| Role::is_member(&node.says))
            .map(Node::ip)
            .chain(seeds.iter().copied())
            .filter(|ip| *ip != me && !live.contains(ip))
            .collect();
        silent.sort_unstable();
        silent.dedup();
        silent
    }

    /// Some of the nodes that stand by and were heard lately, in turn.
    fn next_standbys(&mut self, now: u64) -> Vec<Ipv4Addr> {
        let standbys = self.nodes().iter().filter(|node| {
            !Role::is_member(&node.says) && now < node.heard_at + STANDBY_MS
        });
        let standbys = ips(standbys);
        let count = standbys.len().min(URGENT_STANDBYS);
        let from = self.next_standby;
        self.next_standby = self.next_standby.wrapping_add(count);
        (0..count)
            .map(|step| standbys[(from + step) % standbys.len()])
            .collect()
    }

    /// Where callers in a data centre may connect: active nodes there, or any
    /// where too few are. Where there are few nodes, all of them.
    pub fn handed_out(&self, now: u64, near: Option<&str>) -> Vec<Ipv4Addr> {
        let own = self.is_active().then_some((self.own().ip, self.own()));
        let others = self.live(now).filter(|node| node.is_active());
        let others = others.map(|node| (node.says.ip, &node.says));
        let mut all: Vec<(u32, &Peer)> = own.into_iter().collect();
        all.extend(others);
        if all.len() > FEW {
            let same = |(_, says): &&(u32, &Peer)| {
                near.is_some_and(|near| says.data_centre == near)
            };
            if all.iter().filter(same).count() >= LEAST_NEAR {
                all.retain(|one| same(&one));
            }
        }
        if all.len() > ADDRESSES {
            // Each asker gets others, so that all have their part.
            let mut rng = rand::rng();
            all = all.sample(&mut rng, ADDRESSES).copied().collect();
        }
        all.into_iter().map(|(ip, _)| ip.into()).collect()
    }

    /// Nodes that can lead: only they make reports of usage.
    fn disks(&self, now: u64) -> Vec<Ipv4Addr> {
        ips(self.live(now).filter(|node| node.says.has_disk))
    }
}

fn ips<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<Ipv4Addr> {
    nodes.map(Node::ip).collect()
}
