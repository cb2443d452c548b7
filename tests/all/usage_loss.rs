//! Usage that nodes have counted, and that the report lacks: nodes stop, are
//! killed or change their role, and datagrams are lost.
//!
//! Plays sixty and three hundred tables against each other, without I/O. Six
//! nodes can lead, forty-five take requests, the rest are on standby. Each
//! datagram takes 60 to 120 ms, and one in ten is lost, as on a full link.

use std::{collections::BTreeMap, net::Ipv4Addr};

use azuremount::{
    duty::usage::is_settled,
    mesh::{
        round::{Datagram, Round},
        table::{CountsQuery, LocalReport, Table},
    },
    wire::{Gossip, Peer},
};
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const DISKS: usize = 6;
const ACTIVE: usize = 45;
/// The same after a restart of most nodes: each is active at first.
const ALL_ACTIVE: usize = 200;
const TEAMS: u64 = 40;
const WINDOW_MS: u64 = 5000;
const ROUND_INTERVAL_MS: u64 = 300;
/// One in this number of datagrams is lost.
const DATAGRAMS_PER_LOSS: u32 = 10;
const REQUESTS_PER_S: u64 = 1300;
/// Nodes know each other from then on.
const TRAFFIC_AT_MS: u64 = 4000;
/// End of the window that is examined.
const WINDOW_END_MS: u64 = 10_000;
/// Time from the loss of a leader until its successor is elected.
const ELECTION_MS: u64 = 2000;
/// Time from the loss of a leader until its successor may report.
const SUCCESSION_MS: u64 = 5500;
/// Time from the end of a window until its report is due.
const REPORT_DUE_MS: u64 = 10_000;
/// Grace period that a stopping node has left after its last request.
const STOP_GRACE_MS: u64 = 1000;
/// Interval at which it sends its last counts.
const CONFIRMATION_INTERVAL_MS: u64 = 100;
/// Wall-clock time of the start.
const START_WALL_MS: u64 = 1_700_000_000_000;
/// The length of a received datagram is limited to this.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

struct Vm {
    table: Table,
    ip: u32,
    is_down: bool,
    takes_requests: bool,
    /// End of the grace period, of a node that stops.
    stops_by: Option<u64>,
    round: u64,
    sent_bytes: u64,
}

struct Site {
    now: u64,
    vms: Vec<Vm>,
    in_transit: BTreeMap<(u64, u64), (usize, u32, Gossip)>,
    sent_datagrams: u64,
    largest: usize,
    /// By how much the clock of the first leader is ahead, in ms.
    leader_clock_lead_ms: i64,
    /// Requests that began, by window.
    began: BTreeMap<u64, u64>,
    rng: StdRng,
}

fn window_of(now: u64) -> u64 {
    START_WALL_MS.wrapping_add(now) / WINDOW_MS
}

fn leader_id(ip: u32) -> u64 {
    u64::from(ip) << 16 | 7700
}

impl Site {
    fn open(nodes: usize, active: usize, seed: u64) -> Site {
        let vms = (0..nodes).map(|at| {
            let ip = 0x0a00_0000 + at as u32 + 1;
            let takes_requests = (DISKS..DISKS + active).contains(&at);
            let me = Peer {
                ip,
                incarnation: u64::from(ip) * 1000 + 1,
                data_centre: format!("dc-{}", at % 6),
                serving: true,
                has_disk: at < DISKS,
                link_mbps: 10,
                role: if takes_requests { 0 } else { 2 },
                ..Peer::default()
            };
            Vm {
                table: Table::open(me),
                ip,
                is_down: false,
                takes_requests,
                stops_by: None,
                round: 0,
                sent_bytes: 0,
            }
        });
        let mut site = Site {
            now: 0,
            vms: vms.collect(),
            in_transit: BTreeMap::new(),
            sent_datagrams: 0,
            largest: 0,
            leader_clock_lead_ms: 0,
            began: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        site.elect(0, 1);
        site
    }

    /// Makes a node the leader. The others learn of it from datagrams.
    fn elect(&mut self, at: usize, term: u64) {
        let leader = leader_id(self.vms[at].ip);
        let me = self.vms[at].table.own_peer_mut();
        (me.leader_term, me.leader) = (term, leader);
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            self.deliver_datagrams();
            self.begin_requests();
            for at in 0..self.vms.len() {
                self.send_last_counts(at);
                if (self.now + at as u64 * 37)
                    .is_multiple_of(ROUND_INTERVAL_MS)
                {
                    self.run_round(at);
                }
            }
        }
    }

    fn begin_requests(&mut self) {
        if self.now < TRAFFIC_AT_MS {
            return;
        }
        let due = |now: u64| now * REQUESTS_PER_S / 1000;
        let window = window_of(self.now);
        let able: Vec<usize> = (0..self.vms.len())
            .filter(|&at| self.vms[at].takes_requests)
            .collect();
        for _ in due(self.now - 1)..due(self.now) {
            let at = able[self.rng.random_range(0..able.len())];
            // A few teams are large.
            let team = self.rng.random_range(0..TEAMS);
            let team = team.min(self.rng.random_range(0..TEAMS));
            let team = format!("team{team:04}");
            self.vms[at].table.count_began(window, &team);
            *self.began.entry(window).or_default() += 1;
        }
    }

    fn deliver_datagrams(&mut self) {
        while let Some(first) = self.in_transit.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            let (to, from, gossip) = first.remove();
            if self.vms[to].is_down {
                continue;
            }
            let asker = gossip.from.clone().filter(|_| gossip.hello);
            let query = CountsQuery::of(&gossip);
            let (now, wall_ms) = (self.now, self.wall_ms());
            let table = &mut self.vms[to].table;
            table.receive(now, wall_ms, gossip);
            if let Some(query) = query {
                let answers = table.answer_counts(now, wall_ms, &query);
                for answer in answers {
                    self.send(to, from, answer);
                }
            }
            if let Some(asker) = asker {
                let own = self.own(to);
                let answer =
                    self.vms[to].table.answer(now, wall_ms, own, &asker);
                self.send(to, from, answer);
            }
        }
    }

    fn own(&self, at: usize) -> LocalReport {
        let lead_ms = if at == 0 { self.leader_clock_lead_ms } else { 0 };
        let window = window_of(self.now.wrapping_add_signed(lead_ms));
        LocalReport { window, ..LocalReport::default() }
    }

    fn wall_ms(&self) -> i64 {
        (START_WALL_MS + self.now) as i64
    }

    fn run_round(&mut self, at: usize) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let own = self.own(at);
        let seeds: Vec<Ipv4Addr> =
            self.vms[..3].iter().map(|vm| vm.ip.into()).collect();
        let vm = &mut self.vms[at];
        if vm.is_down {
            return;
        }
        vm.round += 1;
        let round = Round { now, wall_ms, number: vm.round, is_urgent: false };
        vm.table.expire(now);
        let leaders = vm.table.live(now);
        let leaders =
            leaders.map(|node| (node.peer.leader_term, node.peer.leader));
        let newest = leaders.max().unwrap_or_default();
        let me = vm.table.own_peer_mut();
        (me.leader_term, me.leader) = newest.max((me.leader_term, me.leader));
        for Datagram { to, gossip } in vm.table.round(round, own, &seeds) {
            for to in to {
                self.send(at, to.into(), gossip.clone());
            }
        }
    }

    fn send(&mut self, from: usize, to: u32, gossip: Gossip) {
        let Some(to) = self.vms.iter().position(|vm| vm.ip == to) else {
            return;
        };
        let length = gossip.encoded_len();
        self.largest = self.largest.max(length);
        let vm = &mut self.vms[from];
        vm.sent_bytes += length as u64;
        let from = vm.ip;
        if self.rng.random_range(0..DATAGRAMS_PER_LOSS) == 0 {
            return;
        }
        self.sent_datagrams += 1;
        let due = self.now + self.rng.random_range(60..120);
        self.in_transit.insert((due, self.sent_datagrams), (to, from, gossip));
    }

    fn kill(&mut self, at: usize) {
        self.vms[at].is_down = true;
        self.vms[at].takes_requests = false;
    }

    /// Stops a node in an orderly way right after a request: it stays up until
    /// its counts are confirmed, or its grace period ends.
    fn stop(&mut self, at: usize) {
        self.vms[at].table.own_peer_mut().serving = false;
        self.vms[at].takes_requests = false;
        self.vms[at].stops_by = Some(self.now + STOP_GRACE_MS);
    }

    fn send_last_counts(&mut self, at: usize) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let Some(end) = self.vms[at].stops_by else { return };
        if !(end - now).is_multiple_of(CONFIRMATION_INTERVAL_MS) {
            return;
        }
        let last = self.vms[at].table.last_counts(now, wall_ms);
        if last.is_none() || now >= end {
            self.vms[at].stops_by = None;
            self.kill(at);
        }
        for to in last.iter().flat_map(|(to, _)| to) {
            let gossip = last.as_ref().map(|(_, gossip)| gossip.clone());
            self.send(at, (*to).into(), gossip.unwrap_or_default());
        }
    }

    /// Returns what the node reports for a window, once it does so, and the
    /// number of requests that began.
    fn report(&mut self, at: usize, window: u64) -> (u64, u64) {
        loop {
            let (now, wall_ms) = (self.now, START_WALL_MS + self.now);
            let table = &self.vms[at].table;
            if is_settled(table, now, wall_ms, window, WINDOW_MS) {
                break;
            }
            self.run(now + 500);
        }
        let usage = self.vms[at].table.usage(window);
        let sum = usage.counts.iter().map(|count| count.count).sum();
        (sum, self.began.get(&window).copied().unwrap_or(0))
    }

    /// Checks the report of the window that ends at `WINDOW_END_MS`.
    fn check(&mut self, what: &str, seed: u64, leader: usize) {
        let window = window_of(WINDOW_END_MS) - 1;
        let (sum, began) = self.report(leader, window);
        let nodes = self.vms.len();
        let active = self.vms.iter().filter(|vm| vm.table.is_active()).count();
        println!(
            "{what}, {nodes} nodes, {active} active, seed {seed}: \
             {sum} of {began}, at {} ms",
            self.now - WINDOW_END_MS
        );
        assert!(self.now + 1000 < WINDOW_END_MS + REPORT_DUE_MS, "late");
        assert!(sum <= began, "{what}, {nodes} nodes, seed {seed}");
        assert!(
            sum * 100 >= began * 95,
            "{what}, {nodes} nodes, seed {seed}: {sum} of {began}"
        );
    }
}

/// Runs a case at both sizes with several seeds.
fn for_each_site(mut case: impl FnMut(&mut Site, u64)) {
    for (nodes, active) in [(60, ACTIVE), (300, ACTIVE), (300, ALL_ACTIVE)] {
        for seed in 1..=2 {
            case(&mut Site::open(nodes, active, seed), seed);
        }
    }
}

/// The nodes that stop or are killed in the tests: a third of those that take
/// requests.
fn third(site: &Site) -> Vec<usize> {
    let all = DISKS..site.vms.len();
    all.filter(|&at| site.vms[at].takes_requests).step_by(3).collect()
}

/// The same for most of the nodes that take requests, and of the others.
fn most(nodes: usize) -> impl Iterator<Item = usize> {
    (DISKS..nodes).filter(|at| at % 9 < 5)
}

/// Guards against a report that lacks the last requests of nodes that stop: the
/// one datagram with their counts is lost, or not due to go to the leader.
#[test]
fn counts_of_nodes_that_stop_are_reported() {
    for_each_site(|site, seed| {
        let third = third(site);
        for wave in 0..3 {
            site.run(WINDOW_END_MS - 1500 + wave * 600);
            let wave = third.iter().skip(wave as usize).step_by(3);
            wave.for_each(|&at| site.stop(at));
        }
        site.check("stopped", seed, 0);
    });
}

/// Like [`counts_of_nodes_that_stop_are_reported`], and the leader stops with
/// them.
#[test]
fn counts_of_nodes_that_stop_with_the_leader_are_reported() {
    for_each_site(|site, seed| {
        site.run(WINDOW_END_MS - 300);
        third(site).into_iter().for_each(|at| site.stop(at));
        site.stop(0);
        site.run(WINDOW_END_MS - 300 + ELECTION_MS);
        site.elect(1, 2);
        site.run(WINDOW_END_MS - 300 + SUCCESSION_MS);
        site.check("stopped with the leader", seed, 1);
    });
}

/// Guards against a report that is summed before the counts of killed nodes
/// have come from the nodes that have them. Only the requests of the last
/// round of a killed node are known to no other node.
#[test]
fn counts_of_killed_nodes_are_reported() {
    for_each_site(|site, seed| {
        site.run(WINDOW_END_MS - 100);
        most(site.vms.len()).for_each(|at| site.kill(at));
        site.check("killed", seed, 0);
    });
}

/// Like [`counts_of_killed_nodes_are_reported`], and the leader is killed with
/// them.
#[test]
fn counts_of_nodes_killed_with_the_leader_are_reported() {
    for_each_site(|site, seed| {
        site.run(WINDOW_END_MS - 100);
        most(site.vms.len()).for_each(|at| site.kill(at));
        site.kill(0);
        site.run(WINDOW_END_MS - 100 + ELECTION_MS);
        site.elect(1, 2);
        site.run(WINDOW_END_MS - 100 + SUCCESSION_MS);
        site.check("killed with the leader", seed, 1);
    });
}

/// Guards against a report that lacks the counts of killed nodes because its
/// leader has just started and has heard none of them.
#[test]
fn a_leader_that_has_just_started_reports_counts_of_killed_nodes() {
    for_each_site(|site, seed| {
        site.run(WINDOW_END_MS - 100);
        most(site.vms.len()).for_each(|at| site.kill(at));
        site.kill(0);
        site.run(WINDOW_END_MS + 1000);
        let me = site.vms[1].table.own_peer().clone();
        let incarnation = me.incarnation + 1;
        site.vms[1].table = Table::open(Peer { incarnation, ..me });
        site.run(WINDOW_END_MS - 100 + ELECTION_MS);
        site.elect(1, 2);
        site.run(WINDOW_END_MS - 100 + SUCCESSION_MS);
        site.check("leader restarted", seed, 1);
    });
}

/// Guards against a report that lacks the requests of nodes that go on standby
/// and are killed soon after.
#[test]
fn counts_of_nodes_that_go_on_standby_are_reported() {
    for_each_site(|site, seed| {
        site.run(WINDOW_END_MS - 700);
        let third = third(site);
        for &at in &third {
            site.vms[at].table.own_peer_mut().role = 2;
        }
        site.run(WINDOW_END_MS - 100);
        third.into_iter().for_each(|at| site.kill(at));
        site.check("on standby", seed, 0);
    });
}

/// Guards against reports that lack whole windows because the clock of one node
/// jumps by a minute: until the node hears the other clocks, it counts requests
/// in a window to come, and all nodes drop the counts of the present ones.
#[test]
fn counts_outlive_a_clock_that_jumps() {
    let mut site = Site::open(60, ACTIVE, 1);
    site.run(WINDOW_END_MS - 1000);
    let jumped = window_of(site.now + 60_000);
    for _ in 0..10 {
        site.vms[DISKS].table.count_began(jumped, "team0001");
    }
    site.check("clock jumps", 1, 0);
}

/// Like [`counts_outlive_a_clock_that_jumps`]: the clock of the leader jumps
/// after nodes were killed, whose counts it then gets from the other nodes.
#[test]
fn counts_outlive_a_jump_of_the_clock_of_the_leader() {
    for jump_ms in [-60_000, 60_000] {
        let mut site = Site::open(60, ACTIVE, 1);
        site.run(WINDOW_END_MS - 100);
        most(60).for_each(|at| site.kill(at));
        site.run(WINDOW_END_MS + 500);
        site.leader_clock_lead_ms = jump_ms;
        site.run(WINDOW_END_MS + 1100);
        site.leader_clock_lead_ms = 0;
        site.check("clock of the leader jumps", 1, 0);
    }
}

/// Guards against datagrams that are too long to be received, where many teams
/// have requests and many nodes were killed.
#[test]
fn datagrams_with_the_counts_of_killed_nodes_can_be_received() {
    let mut site = Site::open(60, ACTIVE, 1);
    site.run(WINDOW_END_MS - 100);
    most(60).for_each(|at| site.kill(at));
    site.run(WINDOW_END_MS + 10_000);
    println!("largest datagram: {} bytes", site.largest);
    assert!(site.largest <= MAX_DATAGRAM_BYTES);
}

/// Guards against a cost of usage reports that grows with the site.
#[test]
fn a_node_sends_as_much_at_any_size() {
    let bytes_per_s = |nodes: usize| {
        let mut site = Site::open(nodes, ACTIVE, 1);
        site.run(WINDOW_END_MS);
        site.vms.iter_mut().for_each(|vm| vm.sent_bytes = 0);
        site.run(WINDOW_END_MS + 3000);
        let active = &site.vms[DISKS..DISKS + ACTIVE];
        let sent: u64 = active.iter().map(|vm| vm.sent_bytes).sum();
        let leader = site.vms[0].sent_bytes / 3;
        let each = sent / 3 / ACTIVE as u64;
        println!("{nodes} nodes: {each} B/s a node, the leader {leader}");
        most(nodes).for_each(|at| site.kill(at));
        site.vms.iter_mut().for_each(|vm| vm.sent_bytes = 0);
        site.run(site.now + 6000);
        let left = site.vms.iter().filter(|vm| vm.takes_requests);
        let (count, sent) = left
            .fold((0, 0), |(count, sum), vm| (count + 1, sum + vm.sent_bytes));
        let leader = site.vms[0].sent_bytes / 6;
        let left = sent / 6 / count;
        println!("  after kills: {left} B/s a node, the leader {leader}");
        each
    };
    let (few, many) = (bytes_per_s(60), bytes_per_s(300));
    assert!(many * 10 <= few * 13, "{few} and {many} B/s");
}
