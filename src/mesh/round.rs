//! Chooses the datagrams of a round and their recipients, without I/O.

use std::net::Ipv4Addr;

use rand::seq::IndexedRandom;

use super::{
    FANOUT, GREETING_INTERVAL_ROUNDS, LOAD_FANOUT,
    datagram::{Scope, without_evidence},
    role::{MAX_ADDRESSES, Role},
    table::{LocalReport, Node, Table},
};
use crate::{
    util::mix,
    wire::{Gossip, Peer},
};

/// Interval at which a standby node queries another node, in rounds.
const STANDBY_QUERY_INTERVAL_ROUNDS: u64 = 2;
/// Number of silent nodes up to which they are greeted in each round. If there
/// are more, they are greeted only every
/// [`GREETING_INTERVAL_ROUNDS`] rounds.
const MAX_SILENT_GREETED_EACH_ROUND: usize = 3;
/// Silent nodes that are greeted at a time: as many as receive a full datagram
/// in a round.
const GREETINGS_PER_ROUND: usize = FANOUT;
/// Number of heard nodes from which a standby node greets no seeds.
const MIN_HEARD_WITHOUT_SEEDS: usize = 4;
/// Time since the last report of a standby node within which it receives
/// urgent datagrams, in ms. Each standby node asks another node every 0.6 s.
const MAX_STANDBY_REPORT_AGE_MS: u64 = 10_000;
/// Standby nodes that receive an urgent datagram from one node. About forty
/// nodes send it, so that most of three hundred receive it once.
const URGENT_STANDBY_FANOUT: usize = 8;
/// Number of active nodes up to which callers are sent to all of them, in any
/// data centre, because each is a large part of the capacity.
const MAX_ACTIVE_FOR_ALL_CALLERS: usize = 24;
/// Minimum number of active nodes in a data centre for its callers to be sent
/// to no other one. With fewer, the loss of one leaves too much load to the
/// rest.
const MIN_ACTIVE_IN_DATA_CENTRE: usize = 4;

/// Time and kind of a round.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// This node's clock, in ms.
    pub now: u64,
    /// This node's wall-clock time, in ms since 1970.
    pub wall_ms: i64,
    /// Number of the last regular round.
    pub number: u64,
    /// Set for a round between two regular ones that spreads urgent
    /// information.
    pub is_urgent: bool,
}

/// A datagram and its recipients.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// Addresses of the recipients.
    pub to: Vec<Ipv4Addr>,
    /// Content of the datagram.
    pub gossip: Gossip,
}

impl Table {
    /// Returns the datagrams of one round.
    pub fn round(
        &mut self,
        round: Round,
        own: LocalReport,
        seeds: &[Ipv4Addr],
    ) -> Vec<Datagram> {
        let mut datagrams = match (self.is_member(), round.is_urgent) {
            (true, false) => self.member_round(round, own),
            (true, true) => self.urgent_member_round(round, own),
            (false, false) => self.standby_round(round, own),
            (false, true) => self.urgent_standby_round(round),
        };
        if let Some(greeting) = self.compose_greeting(round, seeds) {
            datagrams.push(greeting);
        }
        datagrams.retain(|datagram| !datagram.to.is_empty());
        datagrams
    }

    /// Sends a full datagram to some of the members, in turn, and only the
    /// requests in flight to the others. The counts of usage go to the leader
    /// in each round: where most of three hundred nodes have just started, all
    /// of them are members, and a turn takes longer than a report may wait.
    ///
    /// The latter takes a tenth of the bytes and contains what routing depends
    /// on, and the work by team where capacity is shared: with reports that are 0.5 s old instead of 0.15 s, forty nodes send
    /// requests to the same idle replicas.
    fn member_round(
        &mut self,
        round: Round,
        own: LocalReport,
    ) -> Vec<Datagram> {
        let mut gossip = self.compose(round.now, round.wall_ms, own);
        if self.is_leader() {
            gossip.held = self.held_of_silent(round.now);
        }
        let mut to = ips(self.members(round.now));
        let mut rest = Vec::new();
        let mut collectors = self.collectors(round.now);
        if to.len() > FANOUT {
            let from = (round.number as usize * FANOUT) % to.len();
            to.rotate_left(from);
            rest = to.split_off(FANOUT);
            rest.retain(|to| !collectors.contains(to));
            rest.truncate(LOAD_FANOUT - FANOUT);
        }
        let load = Gossip {
            from: gossip.from.clone(),
            under: gossip.under.clone(),
            team_work: gossip.team_work.clone(),
            speeds: gossip.speeds.clone(),
            wall_ms: gossip.wall_ms,
            scope: Scope::InFlight as u32,
            rollouts: gossip.rollouts.clone(),
            ..Gossip::default()
        };
        collectors.retain(|ip| !to.contains(ip));
        let counts = Gossip {
            usage: gossip.usage.clone(),
            counting: gossip.counting,
            held: gossip.held.clone(),
            ..load.clone()
        };
        let mut datagrams = self.split_by_usage(round, gossip, to);
        datagrams.push(Datagram { to: collectors, gossip: counts });
        if load.rollouts.is_none() {
            datagrams.push(Datagram { to: rest, gossip: load });
            return datagrams;
        }
        // The evidence of a roll-out reaches the nodes that can lead in each
        // round: a bad version gets requests until a leader has judged it.
        let leads = self.nodes_with_disk(round.now);
        let (leaders, rest) =
            rest.into_iter().partition(|to| leads.contains(to));
        let rollouts = load.rollouts.clone().map(without_evidence);
        let others = Gossip { rollouts, ..load.clone() };
        datagrams.push(Datagram { to: leaders, gossip: load });
        datagrams.push(Datagram { to: rest, gossip: others });
        datagrams
    }

    /// Sends the counts of usage to some of the recipients only, because they
    /// are half of a datagram where there are many teams. Only nodes that can
    /// lead need them. One other node in turn receives them too, so that they
    /// survive the loss of all nodes that can lead.
    fn split_by_usage(
        &self,
        round: Round,
        gossip: Gossip,
        to: Vec<Ipv4Addr>,
    ) -> Vec<Datagram> {
        let nodes_with_disk = self.nodes_with_disk(round.now);
        let extra_recipient = round.number as usize % to.len().max(1);
        let extra_recipient = to.get(extra_recipient).copied();
        let (with_usage, others) = to.into_iter().partition(|to| {
            Some(*to) == extra_recipient || nodes_with_disk.contains(to)
        });
        let without_usage = Gossip {
            usage: Vec::new(),
            relayed: Vec::new(),
            counting: 0,
            rollouts: gossip.rollouts.clone().map(without_evidence),
            ..gossip.clone()
        };
        vec![
            Datagram { to: with_usage, gossip },
            Datagram { to: others, gossip: without_usage },
        ]
    }

    /// Sends urgent information at once to all members, also where regular
    /// datagrams take turns, and to some standby nodes.
    fn urgent_member_round(
        &mut self,
        round: Round,
        own: LocalReport,
    ) -> Vec<Datagram> {
        let to = ips(self.members(round.now));
        if to.len() <= FANOUT {
            let gossip = self.compose(round.now, round.wall_ms, own);
            return self.split_by_usage(round, gossip, to);
        }
        let gossip = Gossip {
            crashes: own.crashes,
            suspected: own.suspected,
            successes: own.successes,
            parts: own.parts,
            limits: own.limits,
            ..self.compose_urgent(round.now, round.wall_ms)
        };
        let standbys = self.next_standbys(round.now);
        vec![
            Datagram { to, gossip: gossip.clone() },
            Datagram { to: standbys, gossip },
        ]
    }

    /// Asks one node every second round, in this node's data centre if
    /// possible.
    fn standby_round(
        &mut self,
        round: Round,
        own: LocalReport,
    ) -> Vec<Datagram> {
        let me = u64::from(self.own_peer().ip);
        if !(round.number + me).is_multiple_of(STANDBY_QUERY_INTERVAL_ROUNDS) {
            return Vec::new();
        }
        let near = self.own_peer().data_centre.clone();
        let is_near = |node: &&Node| node.peer.data_centre == near;
        let mut to = ips(self.members(round.now).filter(is_near));
        if to.is_empty() {
            to = ips(self.members(round.now));
        }
        let chosen = mix(round.number ^ (me << 32)) as usize;
        let asked = to.get(chosen % to.len().max(1)).copied();
        let gossip = self.compose(round.now, round.wall_ms, own);
        let has_usage = !gossip.usage.is_empty() || gossip.rollouts.is_some();
        let query = Gossip {
            peers: Vec::new(),
            usage: Vec::new(),
            relayed: Vec::new(),
            counting: 0,
            hello: true,
            ..gossip.clone()
        };
        let mut datagrams =
            vec![Datagram { to: asked.into_iter().collect(), gossip: query }];
        if has_usage {
            let to = self.nodes_with_disk(round.now);
            let gossip = Gossip { peers: Vec::new(), ..gossip };
            datagrams.push(Datagram { to, gossip });
        }
        datagrams
    }

    /// Sends new and leaving replicas to all members, because these need to
    /// know them whichever node received the heartbeat. Also sends that this
    /// node is on standby from now on, because the other nodes would take its
    /// silence for a fault.
    fn urgent_standby_round(&mut self, round: Round) -> Vec<Datagram> {
        let gossip = self.compose_urgent(round.now, round.wall_ms);
        let has_new_role = std::mem::take(&mut self.has_new_role);
        if gossip.replicas.is_empty() && !has_new_role {
            return Vec::new();
        }
        // All known members, whether heard at the moment or not: where
        // hundreds of nodes have just started, each hears a part of them.
        let known = self.nodes().iter();
        let to = ips(known.filter(|node| Role::is_member(&node.peer)));
        vec![Datagram { to, gossip }]
    }

    /// Greets silent nodes and seeds, which answer if they run.
    ///
    /// A few nodes are greeted at a time. If three hundred nodes that had lost
    /// contact greeted each other all at once, the answers would exceed the
    /// capacity of their links, and so they would lose contact again.
    fn compose_greeting(
        &mut self,
        round: Round,
        seeds: &[Ipv4Addr],
    ) -> Option<Datagram> {
        let mut silent = self.silent(round.now, seeds);
        let is_due = round.number % GREETING_INTERVAL_ROUNDS == 1;
        if !is_due && silent.len() > MAX_SILENT_GREETED_EACH_ROUND {
            return None;
        }
        if silent.len() > GREETINGS_PER_ROUND {
            let from = self.next_silent % silent.len();
            self.next_silent = from + GREETINGS_PER_ROUND;
            silent.rotate_left(from);
            silent.truncate(GREETINGS_PER_ROUND);
        }
        if silent.is_empty() {
            return None;
        }
        let gossip = self.compose_urgent(round.now, round.wall_ms);
        let gossip = Gossip { hello: true, ..gossip };
        Some(Datagram { to: silent, gossip })
    }

    /// Returns nodes that should be heard and are not, and seeds. Standby
    /// nodes are not greeted, because they ask other nodes themselves.
    fn silent(&self, now: u64, seeds: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let live = ips(self.live(now));
        if !self.is_member() && live.len() >= MIN_HEARD_WITHOUT_SEEDS {
            return Vec::new();
        }
        let me = Ipv4Addr::from(self.own_peer().ip);
        let known = self.nodes().iter();
        let mut silent: Vec<Ipv4Addr> = known
            .filter(|node| Role::is_member(&node.peer))
            .map(Node::ip)
            .chain(seeds.iter().copied())
            .filter(|ip| *ip != me && !live.contains(ip))
            .collect();
        silent.sort_unstable();
        silent.dedup();
        silent
    }

    /// Returns some of the standby nodes that were heard recently, in turn.
    /// Each node begins with others, so that the nodes that send the same
    /// information reach most standby nodes together.
    fn next_standbys(&mut self, now: u64) -> Vec<Ipv4Addr> {
        let standbys = self.nodes().iter().filter(|node| {
            !Role::is_member(&node.peer)
                && now < node.heard_at + MAX_STANDBY_REPORT_AGE_MS
        });
        let standbys = ips(standbys);
        let count = standbys.len().min(URGENT_STANDBY_FANOUT);
        let offset = mix(u64::from(self.own_peer().ip)) as usize;
        let from = self.next_standby.wrapping_add(offset);
        self.next_standby = self.next_standby.wrapping_add(count);
        (0..count)
            .map(|step| standbys[from.wrapping_add(step) % standbys.len()])
            .collect()
    }

    /// Returns the nodes that callers in a data centre may connect to: the
    /// active nodes there, or those of all data centres if too few are there
    /// or there are few active nodes in all.
    pub fn caller_addresses(
        &self,
        now: u64,
        near: Option<&str>,
    ) -> Vec<Ipv4Addr> {
        let own =
            self.is_active().then_some((self.own_peer().ip, self.own_peer()));
        let others = self.live(now).filter(|node| node.is_active());
        let others = others.map(|node| (node.peer.ip, &node.peer));
        let mut all: Vec<(u32, &Peer)> = own.into_iter().collect();
        all.extend(others);
        // Callers of a node without a path to the replicas are served through
        // another node, which takes longer and breaks more often.
        let reaches_all =
            |(_, peer): &(u32, &Peer)| peer.unreachable.is_empty();
        if all.iter().any(reaches_all) {
            all.retain(reaches_all);
        }
        if all.len() > MAX_ACTIVE_FOR_ALL_CALLERS {
            let is_near = |(_, peer): &&(u32, &Peer)| {
                near.is_some_and(|near| peer.data_centre == near)
            };
            if all.iter().filter(is_near).count() >= MIN_ACTIVE_IN_DATA_CENTRE
            {
                all.retain(|item| is_near(&item));
            }
        }
        if all.len() > MAX_ADDRESSES {
            // Each caller gets a random sample, so that all nodes get their
            // share.
            let mut rng = rand::rng();
            all = all.sample(&mut rng, MAX_ADDRESSES).copied().collect();
        }
        all.into_iter().map(|(ip, _)| ip.into()).collect()
    }

    /// Returns the active nodes that reach the replicas of a service, by the
    /// hash of its name.
    pub fn nodes_reaching(
        &self,
        now: u64,
        service: u64,
    ) -> impl Iterator<Item = &Node> {
        self.live(now).filter(move |node| {
            node.is_active() && !node.peer.unreachable.contains(&service)
        })
    }

    /// Returns the nodes that can lead, which alone make usage reports.
    fn nodes_with_disk(&self, now: u64) -> Vec<Ipv4Addr> {
        ips(self.live(now).filter(|node| node.peer.has_disk))
    }
}

fn ips<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<Ipv4Addr> {
    nodes.map(Node::ip).collect()
}
