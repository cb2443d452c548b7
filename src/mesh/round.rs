//! Who is told what in a round, apart from I/O.

use std::net::Ipv4Addr;

use super::{
    FANOUT, SILENT_ROUNDS,
    table::{Own, Table},
};
use crate::wire::{Gossip, Peer};

/// Addresses that callers are given at most.
const ADDRESSES: usize = 64;

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
        let now = round.now;
        let gossip = self.compose(now, round.wall_ms, own);
        let (mut live, silent) = self.split_nodes(now, seeds);
        // What is urgent goes to all at once, also where many take turns.
        let most = if round.is_urgent { usize::MAX } else { FANOUT };
        if live.len() > most {
            let from = (round.number as usize * most) % live.len();
            live.rotate_left(from);
            live.truncate(most);
        }
        let disks = self.disks(now);
        let witness = round.number as usize % live.len().max(1);
        let witness = live.get(witness).copied();
        let (whole, part): (Vec<_>, Vec<_>) = live
            .into_iter()
            .partition(|to| Some(*to) == witness || disks.contains(to));
        let slim = without_usage(&gossip);
        let mut sendings = vec![
            Sending { to: whole, gossip: gossip.clone() },
            Sending { to: part, gossip: slim },
        ];
        if round.number % SILENT_ROUNDS == 1 || silent.len() <= 3 {
            let gossip = Gossip { hello: true, ..gossip };
            sendings.push(Sending { to: silent, gossip });
        }
        sendings.retain(|sending| !sending.to.is_empty());
        sendings
    }

    /// The answer to a node that greets.
    pub fn answer(
        &mut self,
        now: u64,
        wall_ms: i64,
        own: Own,
        _asked: &Peer,
    ) -> Gossip {
        self.compose(now, wall_ms, own)
    }

    /// Where callers may connect.
    pub fn handed_out(&self, now: u64, _near: Option<&str>) -> Vec<Ipv4Addr> {
        let own = self.own();
        let live = self.live(now).filter(|node| node.says.serving);
        let mut handed: Vec<Ipv4Addr> = live.map(|node| node.ip()).collect();
        if own.serving {
            handed.insert(0, own.ip.into());
        }
        handed.truncate(ADDRESSES);
        handed
    }

    /// True where callers are sent to this node.
    pub fn is_active(&self) -> bool {
        let before =
            self.nodes().iter().filter(|one| one.says.ip < self.own().ip);
        before.count() < ADDRESSES
    }

    /// Nodes that can lead: only they make reports of usage.
    fn disks(&self, now: u64) -> Vec<Ipv4Addr> {
        let disks = self.live(now).filter(|node| node.says.has_disk);
        disks.map(|node| node.ip()).collect()
    }

    /// Nodes that are heard, and nodes and seeds that are not.
    fn split_nodes(
        &self,
        now: u64,
        seeds: &[Ipv4Addr],
    ) -> (Vec<Ipv4Addr>, Vec<Ipv4Addr>) {
        let live: Vec<Ipv4Addr> = self.live(now).map(|one| one.ip()).collect();
        let me = Ipv4Addr::from(self.own().ip);
        let mut silent: Vec<Ipv4Addr> = self
            .nodes()
            .iter()
            .map(|node| node.ip())
            .chain(seeds.iter().copied())
            .filter(|ip| *ip != me && !live.contains(ip))
            .collect();
        silent.sort_unstable();
        silent.dedup();
        (live, silent)
    }
}

/// A datagram without counts, which are half of it where there are many
/// teams. Besides those that can lead, one node in turn gets them as well, so
/// that they outlast the loss of all that can lead.
fn without_usage(gossip: &Gossip) -> Gossip {
    Gossip { usage: Vec::new(), relayed: Vec::new(), ..gossip.clone() }
}
