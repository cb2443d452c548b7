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
//! The state of a replica's life only moves from ready to leaving to gone. Its
//! next start is another life; so a late heartbeat can't bring back one that
//! has left. Lives of one replica are ordered by when they began, and the last
//! one counts: see [`life_name`].

use std::net::Ipv4Addr;

pub use super::replica::{Replica, State};
use super::{FANOUT, counts::Counts};
use crate::{
    util::{common, position, upsert},
    wire::{
        Began, Cached, Gossip, Peer, RecordUsage, Sighting, Spent, Under, Work,
    },
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
/// A replica without a heartbeat for this long is forgotten, in ms. Longer
/// than a cut between a replica and control, behind which it goes on serving.
const FORGET_REPLICA_MS: u64 = 30_000;
/// A replica that is remembered from before this node started is used for so
/// long without a heartbeat, in ms: one of them, and what it may be late.
const REMEMBERED_MS: u64 = 2000;
/// How long the mark of a replica that has left is kept, in ms: longer than a
/// heartbeat can be late.
const TOMBSTONE_MS: u64 = 60_000;
/// For so long every datagram names a replica that has left, in ms: long
/// enough for several to reach each node, also where many nodes take turns.
const TELL_LEFT_MS: u64 = 2500;
/// Replicas that have left and are named in one datagram.
const LEFT_PER_DATAGRAM: usize = 64;
/// Replicas named in one datagram, so that it fits an Ethernet frame.
const REPLICAS_PER_DATAGRAM: usize = 12;
/// Nodes named in one datagram besides the sender, for the same reason.
const PEERS_PER_DATAGRAM: usize = 3;
/// Replicas in each datagram that the receiver probably knows, in turn, so
/// that every gap is filled within seconds.
const REPEATED_PER_DATAGRAM: usize = 3;
/// A life that began before the known one by its own word is late word of a
/// former life, unless the known one has been silent for so long, in ms: then
/// the clock of its VM has jumped back between the two. Longer than heartbeats
/// are late as a rule; a replica whose clock jumped back is unused as long.
const SILENT_LIFE_MS: u64 = 10_000;
/// A goodbye that doesn't tell which life says it is that of a life that is
/// first heard so soon after it, too, in ms: heartbeats are seconds late.
const GOODBYE_MS: u64 = 3000;
/// Stands between a replica's id and the birth of one of its lives.
const LIFE: char = '@';

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
        under: Vec<Under>,
        /// Its tokens admitted since its start, by team.
        spent: Vec<Spent>,
        /// The work of its requests since its start, by service.
        work: Vec<Work>,
        /// Nodes that it does not hear.
        unheard: Vec<u32>,
        /// Its clock's lead over this node's, in ms.
        lead_ms: i64,
    }
}

/// The whole of it.
#[derive(Debug)]
pub struct Table {
    me: Peer,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    /// Requests that began at each node.
    counts: Counts,
    /// Replicas that have left, by the hash of their ids, and when that was
    /// first known here; sorted.
    left: Vec<(u64, u64)>,
    /// This node's work, as last told to the others.
    own_work: Vec<Work>,
    next_peer: usize,
    next_replica: usize,
    next_left: usize,
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
}

/// What a datagram changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// A replica appeared, or changed its state.
    pub replicas: bool,
    /// A node appeared.
    pub nodes: bool,
}

/// What the life of a replica that began at `born` is called; 0 when that is
/// not told.
///
/// A replica may start again under its id, and knows nothing of before. Its
/// lives are different replicas here, so that nothing that is kept by name
/// (caches, load, failures, connections, holds) passes from one to the next.
pub fn life_name(replica: &str, born: u64) -> String {
    if born == 0 && !replica.contains(LIFE) {
        return replica.to_owned();
    }
    format!("{replica}{LIFE}{born}")
}

/// The replica that a life is one of, as it calls itself.
pub fn replica_of(life: &str) -> &str {
    life.rsplit_once(LIFE).map_or(life, |(replica, _)| replica)
}

/// A life's number towards other nodes.
pub fn replica_hash(id: &str) -> u64 {
    crate::util::name_hash(id)
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

    // ---- Replicas ---------------------------------------------------------

    /// Takes a replica's statement; true when it is news to others.
    pub fn sight(&mut self, now: u64, says: Sighting, direct: bool) -> bool {
        if says.remembered {
            self.remember(now, says);
            return false;
        }
        let says = self.with_present_life(says);
        let heard_at = now.saturating_sub(u64::from(says.age_ms));
        if self.is_outlived(heard_at, &says) {
            return false;
        }
        self.forget_end(&says);
        self.end_former_lives(now, &says);
        let mut state = State::from_u32(says.state);
        let hash = replica_hash(&says.id);
        let left = self.has_left(hash) || self.said_goodbye(now, &says);
        if state != State::Ready {
            self.note_left(now, hash);
        } else if left {
            // Others have said so; this is from before.
            state = State::Leaving;
        }
        let found = position(&self.replicas, says.id.as_str(), |one| {
            one.says.id.as_str()
        });
        match found {
            Ok(at) => self.replicas[at].renew(says, state, heard_at, direct),
            Err(_) if state == State::Gone && says.service.is_empty() => {
                // A goodbye of somebody never seen: the mark keeps a late
                // heartbeat from bringing it in.
                self.add(now, says, state, heard_at, direct);
                true
            }
            Err(_) if says.service.is_empty() => false,
            Err(_) => {
                self.add(now, says, state, heard_at, direct);
                true
            }
        }
    }

    /// A goodbye that doesn't tell which life says it is the present one's.
    fn with_present_life(&self, says: Sighting) -> Sighting {
        if says.born != 0 || State::from_u32(says.state) != State::Gone {
            return says;
        }
        let lives = self.lives(replica_of(&says.id));
        let present =
            lives.max_by_key(|one| (one.state != State::Gone, one.says.born));
        match present {
            Some(life) => Sighting {
                id: life.says.id.clone(),
                born: life.says.born,
                ..says
            },
            None => says,
        }
    }

    /// The life that ends when this one speaks, if there is one.
    pub fn former_life(&self, says: &Sighting) -> Option<String> {
        self.present_besides(says).map(|one| one.says.id.clone())
    }

    /// Where the lives of a replica are.
    fn lives_at(&self, replica: &str) -> impl Iterator<Item = usize> + use<> {
        // A life that never told when it began is called as its replica is.
        let untold =
            position(&self.replicas, replica, |one| one.says.id.as_str());
        let told = format!("{replica}{LIFE}");
        let from = self
            .replicas
            .partition_point(|one| one.says.id.as_str() < told.as_str());
        let count = self.replicas[from..]
            .iter()
            .take_while(|one| one.says.id.starts_with(&told))
            .count();
        untold.ok().into_iter().chain(from..from + count)
    }

    fn lives(&self, replica: &str) -> impl Iterator<Item = &Replica> {
        self.lives_at(replica).map(|at| &self.replicas[at])
    }

    /// True for late word of a life that another one has followed; it was said
    /// at `said_at`.
    ///
    /// One that has ended counts again only when the one that ended it has been
    /// silent for long: then that was late word itself.
    fn is_outlived(&self, said_at: u64, says: &Sighting) -> bool {
        let has_ended = self.has_ended(says);
        match self.present_besides(says) {
            Some(present) => {
                (has_ended || present.says.born > says.born)
                    && said_at < present.heard_at + SILENT_LIFE_MS
            }
            None => has_ended,
        }
    }

    fn has_ended(&self, says: &Sighting) -> bool {
        says.born != 0
            && self.lives(replica_of(&says.id)).any(|one| {
                one.says.born == says.born && one.state == State::Gone
            })
    }

    /// The other life of a replica that has not ended; there is one at most,
    /// as each that speaks ends the others.
    fn present_besides(&self, says: &Sighting) -> Option<&Replica> {
        self.lives(replica_of(&says.id))
            .find(|one| one.says.born != says.born && one.state != State::Gone)
    }

    /// Lets a life begin anew that was ended by late word of another one.
    fn forget_end(&mut self, says: &Sighting) {
        if !self.has_ended(says) {
            return;
        }
        self.replicas.retain(|one| one.says.id != says.id);
        let hash = replica_hash(&says.id);
        self.left.retain(|(left, _)| *left != hash);
    }

    /// Ends the other lives of a replica of which one speaks.
    ///
    /// A replica that crashes and starts again says nothing of it. Its former
    /// life would be sent requests until it has been silent for seconds.
    fn end_former_lives(&mut self, now: u64, says: &Sighting) {
        let lives = self.lives_at(replica_of(&says.id));
        for at in lives {
            let one = &mut self.replicas[at];
            if one.says.born == says.born || one.state == State::Gone {
                continue;
            }
            one.state = State::Gone;
            one.says.state = State::Gone as u32;
            one.left_at = now;
            let hash = replica_hash(&one.says.id);
            self.note_left(now, hash);
        }
    }

    fn has_left(&self, hash: u64) -> bool {
        position(&self.left, &hash, |(hash, _)| hash).is_ok()
    }

    /// True for a life whose replica has just said goodbye without saying
    /// which life it was.
    fn said_goodbye(&self, now: u64, says: &Sighting) -> bool {
        if says.born == 0 {
            return false;
        }
        let hash = replica_hash(replica_of(&says.id));
        position(&self.left, &hash, |(hash, _)| hash)
            .is_ok_and(|at| now < self.left[at].1 + GOODBYE_MS)
    }

    /// Takes what is remembered of a replica from before this node started.
    ///
    /// After a loss of power to all nodes none of them knows any replica until
    /// its next heartbeat, and heartbeats reach one node each: requests are
    /// refused for most of a second although all replicas run. Using what was
    /// known before is safe, as requests name the replica that they are meant
    /// for, and another one at its address does not run them.
    pub fn remember(&mut self, now: u64, says: Sighting) {
        let known = self.lives(replica_of(&says.id)).next().is_some();
        let left = self.has_left(replica_hash(&says.id));
        let ready = State::from_u32(says.state) == State::Ready;
        if known || left || !ready || says.service.is_empty() {
            return;
        }
        let replica = Replica {
            says,
            state: State::Ready,
            heard_at: now,
            since: now,
            left_at: now,
            remembered_until: Some(now + REMEMBERED_MS),
            tell: 0,
        };
        upsert(&mut self.replicas, replica, |one| one.says.id.as_str());
    }

    /// The replicas that may be used, as they are told to a node that starts.
    pub fn usable(&self, now: u64) -> Vec<Sighting> {
        let usable = self.replicas.iter().filter(|replica| {
            replica.state == State::Ready && replica.may_be_used(now)
        });
        usable.map(|replica| replica.aged(now)).collect()
    }

    /// Notes that a replica has left; true when that is new.
    fn note_left(&mut self, now: u64, hash: u64) -> bool {
        match position(&self.left, &hash, |(hash, _)| hash) {
            Ok(_) => false,
            Err(at) => {
                self.left.insert(at, (hash, now));
                true
            }
        }
    }

    /// Takes word of a replica that has left; true when it was ready here.
    fn hear_left(&mut self, now: u64, hash: u64) -> bool {
        if !self.note_left(now, hash) {
            return false;
        }
        let ready = self.replicas.iter_mut().find(|one| {
            let replica = replica_of(&one.says.id);
            one.state == State::Ready
                && (replica_hash(&one.says.id) == hash
                    || replica_hash(replica) == hash)
        });
        let Some(replica) = ready else { return false };
        replica.state = State::Leaving;
        replica.says.state = State::Leaving as u32;
        replica.left_at = now;
        true
    }

    /// Replicas that have left lately, for a datagram; where they are more
    /// than fit, in turn.
    fn lately_left(&mut self, now: u64) -> Vec<u64> {
        let lately: Vec<u64> = self
            .left
            .iter()
            .filter(|(_, at)| now < at + TELL_LEFT_MS)
            .map(|(hash, _)| *hash)
            .collect();
        let count = lately.len().min(LEFT_PER_DATAGRAM);
        let from = self.next_left;
        self.next_left = self.next_left.wrapping_add(count);
        (0..count).map(|step| lately[(from + step) % lately.len()]).collect()
    }

    fn add(
        &mut self,
        now: u64,
        says: Sighting,
        state: State,
        heard_at: u64,
        direct: bool,
    ) {
        let replica = Replica {
            says,
            state,
            heard_at,
            since: now,
            left_at: now,
            remembered_until: None,
            // Whoever heard it directly tells all others. If those did so
            // too, a node that starts would be told everything by everybody.
            tell: if direct { u32::MAX } else { 0 },
        };
        upsert(&mut self.replicas, replica, |one| one.says.id.as_str());
    }

    // ---- Datagrams --------------------------------------------------------

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
            hello: false,
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
    fn unheard(&self, now: u64) -> impl Iterator<Item = &Node> {
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
    fn relayed(&self, now: u64) -> Vec<Began> {
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
