//! Tracks the heartbeats of replicas, by incarnation.
//!
//! The state of an incarnation only moves from ready to leaving to departed.
//! The replica's next start is another incarnation, so a late heartbeat can't
//! bring back one that has departed. Incarnations of a replica are ordered by
//! start time, and the last one is current: see [`life_name`].

use super::{
    replica::{Replica, State},
    table::Table,
};
use crate::{
    util::{position, upsert},
    wire::Sighting,
};

/// Time for which a replica that is remembered from before this node started
/// is used without a heartbeat, in ms. It covers one heartbeat interval and
/// the delay of a heartbeat.
const REMEMBERED_MS: u64 = 2000;
/// Time for which every datagram lists a leaving or departed replica, in ms.
/// Several such datagrams reach each node in that time, also where many nodes
/// take turns.
const TELL_LEFT_MS: u64 = 2500;
/// Leaving or departed replicas in one datagram.
const LEFT_PER_DATAGRAM: usize = 64;
/// Silence of the current incarnation after which an incarnation with an
/// earlier start time replaces it, in ms. Before that, a heartbeat with an
/// earlier start time is taken for a late one of a former incarnation. After
/// that, the VM's clock has jumped back between the two starts. It is longer
/// than the usual delay of heartbeats; a replica whose clock has jumped back
/// is not used for that time.
const SILENT_LIFE_MS: u64 = 10_000;
/// Time after a departure notice without a start time during which the notice
/// also applies to an incarnation that is heard for the first time, in ms.
/// Heartbeats may be delayed by seconds.
const GOODBYE_MS: u64 = 3000;
/// Separates a replica's id from the start time of an incarnation.
const LIFE: char = '@';

/// What is known of an incarnation since a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A heartbeat was received.
    Lives,
    /// It announced that it leaves.
    Leaves,
    /// It was not heard, but another incarnation of its replica, or another
    /// replica at its address, was.
    Followed,
    /// It was not heard, but other replicas were.
    Silent,
    /// No replica was heard, so its silence proves nothing.
    Unknown,
}

/// Returns the id of a replica's incarnation that started at `born`, or the
/// replica's id if `born` is 0 (not reported).
///
/// A replica may restart under the same id without any knowledge of its
/// previous incarnation. Each incarnation is a separate replica here, so that
/// nothing that is stored by id (caches, load, failures, connections, holds)
/// passes from one incarnation to the next.
pub fn life_name(replica: &str, born: u64) -> String {
    if born == 0 && !replica.contains(LIFE) {
        return replica.to_owned();
    }
    format!("{replica}{LIFE}{born}")
}

/// Returns the replica id that is part of an incarnation's id.
pub fn replica_of(life: &str) -> &str {
    life.rsplit_once(LIFE).map_or(life, |(replica, _)| replica)
}

/// Returns the number that identifies an incarnation between nodes.
pub fn replica_hash(id: &str) -> u64 {
    crate::util::name_hash(id)
}

impl Table {
    /// Applies a heartbeat. Returns true if other nodes need to know of it.
    pub fn sight(&mut self, now: u64, says: Sighting, direct: bool) -> bool {
        if says.remembered {
            self.remember(now, says);
            return false;
        }
        if self.says_nothing_new(&says) {
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
            // The departure is known already, so this heartbeat is older.
            state = State::Leaving;
        }
        let found = position(&self.replicas, says.id.as_str(), |one| {
            one.says.id.as_str()
        });
        match found {
            Ok(at) => self.replicas[at].renew(says, state, heard_at, direct),
            Err(_) if state == State::Gone && says.service.is_empty() => {
                // A departure notice of an unknown replica. Its entry keeps a
                // late heartbeat from adding the replica.
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

    /// Returns true for a ready incarnation's heartbeat that is not newer than
    /// the known one. With many replicas, most of what nodes repeat to each
    /// other is of this kind.
    fn says_nothing_new(&self, says: &Sighting) -> bool {
        let found = position(&self.replicas, says.id.as_str(), |one| {
            one.says.id.as_str()
        });
        found.is_ok_and(|at| {
            let known = &self.replicas[at];
            known.state == State::Ready
                && State::from_u32(says.state) == State::Ready
                && says.born == known.says.born
                && says.sequence <= known.says.sequence
        })
    }

    /// Assigns a departure notice without a start time to the current
    /// incarnation.
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

    /// Returns the incarnation that this heartbeat supersedes, if there is
    /// one.
    pub fn former_life(&self, says: &Sighting) -> Option<String> {
        self.present_besides(says).map(|one| one.says.id.clone())
    }

    /// Returns what is known of an incarnation since a given time, which must
    /// not be longer ago than replicas are remembered.
    pub fn fate(&self, life: &str, since: u64) -> Fate {
        let heard = |one: &&Replica| one.heard_at > since;
        let found = position(&self.replicas, life, |one| one.says.id.as_str());
        let Ok(at) = found else { return Fate::Unknown };
        let own = &self.replicas[at];
        let others =
            || self.replicas.iter().filter(|one| one.hash != own.hash);
        let follows = |one: &Replica| {
            let is_life = replica_of(&one.says.id) == replica_of(life);
            let place = (one.says.ip, one.says.port);
            is_life || place == (own.says.ip, own.says.port)
        };
        let is_followed = others()
            .filter(|one| {
                one.state == State::Ready && one.since > own.heard_at
            })
            .filter(heard)
            .any(follows);
        match own.state {
            // Its own announcement takes precedence over what was heard later.
            State::Leaving => Fate::Leaves,
            _ if is_followed => Fate::Followed,
            State::Gone => Fate::Leaves,
            State::Ready if heard(&own) => Fate::Lives,
            State::Ready if others().any(|one| heard(&one)) => Fate::Silent,
            State::Ready => Fate::Unknown,
        }
    }

    /// Returns whether an incarnation was heard since a given time, or
    /// announced that it leaves.
    pub fn has_spoken(&self, hash: u64, since: u64) -> bool {
        let own = self.replicas.iter().find(|one| one.hash == hash);
        own.is_some_and(|one| {
            one.heard_at > since || one.state == State::Leaving
        })
    }

    /// Returns when an incarnation was last heard at any node, if it is known.
    pub fn last_heard(&self, life: &str) -> Option<u64> {
        let found = position(&self.replicas, life, |one| one.says.id.as_str());
        found.ok().map(|at| self.replicas[at].heard_at)
    }

    /// Returns the positions of a replica's incarnations.
    fn lives_at(&self, replica: &str) -> impl Iterator<Item = usize> + use<> {
        // An incarnation that never reported its start time has the replica's
        // id.
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

    /// Returns true for a late heartbeat, sent at `said_at`, of an incarnation
    /// that has been superseded.
    ///
    /// A departed incarnation becomes current again only when the one that
    /// superseded it has been silent for long, which shows that the heartbeat
    /// of the latter was the late one.
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

    /// Returns the replica's other incarnation that has not departed. There is
    /// at most one, because each heartbeat supersedes the other incarnations.
    fn present_besides(&self, says: &Sighting) -> Option<&Replica> {
        self.lives(replica_of(&says.id))
            .find(|one| one.says.born != says.born && one.state != State::Gone)
    }

    /// Revives an incarnation that was superseded by a late heartbeat of
    /// another one.
    fn forget_end(&mut self, says: &Sighting) {
        if !self.has_ended(says) {
            return;
        }
        self.replicas.retain(|one| one.says.id != says.id);
        let hash = replica_hash(&says.id);
        self.left.retain(|(left, _)| *left != hash);
    }

    /// Marks the replica's other incarnations as departed.
    ///
    /// A replica that crashes and restarts does not report the crash. Without
    /// this, requests would be sent to its former incarnation until that has
    /// been silent for seconds.
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
            let hash = one.hash;
            self.note_left(now, hash);
        }
    }

    pub(super) fn has_left(&self, hash: u64) -> bool {
        position(&self.left, &hash, |(hash, _)| hash).is_ok()
    }

    /// Returns true if a departure notice without a start time has just been
    /// received for the replica.
    fn said_goodbye(&self, now: u64, says: &Sighting) -> bool {
        if says.born == 0 {
            return false;
        }
        let hash = replica_hash(replica_of(&says.id));
        position(&self.left, &hash, |(hash, _)| hash)
            .is_ok_and(|at| now < self.left[at].1 + GOODBYE_MS)
    }

    /// Adds a replica that is remembered from before this node started.
    ///
    /// After a power loss at all nodes, no node knows any replica until its
    /// next heartbeat, and each heartbeat reaches one node only. Requests
    /// would be refused for most of a second although all replicas run. Using
    /// the remembered replicas is safe, because each request names the replica
    /// that it is meant for and another replica at its address does not run
    /// it.
    pub fn remember(&mut self, now: u64, says: Sighting) {
        let known = self.lives(replica_of(&says.id)).next().is_some();
        let hash = replica_hash(&says.id);
        let left = self.has_left(hash);
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
            tell_whole: 0,
            hash,
        };
        upsert(&mut self.replicas, replica, |one| one.says.id.as_str());
    }

    /// Returns the usable replicas, to send to a starting node.
    pub fn usable(&self, now: u64) -> Vec<Sighting> {
        let usable = self.replicas.iter().filter(|replica| {
            replica.state == State::Ready && replica.may_be_used(now)
        });
        usable.map(|replica| replica.aged(now)).collect()
    }

    /// Records that a replica is leaving or has departed. Returns true if that
    /// is new.
    pub(super) fn note_left(&mut self, now: u64, hash: u64) -> bool {
        match position(&self.left, &hash, |(hash, _)| hash) {
            Ok(_) => false,
            Err(at) => {
                self.left.insert(at, (hash, now));
                true
            }
        }
    }

    /// Applies another node's report that a replica is leaving or has
    /// departed. Returns true if the replica was ready here.
    pub(super) fn hear_left(&mut self, now: u64, hash: u64) -> bool {
        if !self.note_left(now, hash) {
            return false;
        }
        let ready = self.replicas.iter_mut().find(|one| {
            let replica = replica_of(&one.says.id);
            one.state == State::Ready
                && (one.hash == hash || replica_hash(replica) == hash)
        });
        let Some(replica) = ready else { return false };
        replica.state = State::Leaving;
        replica.says.state = State::Leaving as u32;
        replica.left_at = now;
        true
    }

    /// Returns replicas that have left recently, for a datagram. If they don't
    /// fit, they take turns.
    pub(super) fn lately_left(&mut self, now: u64) -> Vec<u64> {
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
        let tell = if direct { u32::MAX } else { 0 };
        let replica = Replica {
            hash: replica_hash(&says.id),
            says,
            state,
            heard_at,
            since: now,
            left_at: now,
            remembered_until: None,
            // Only the node that received the heartbeat directly sends it to
            // all other nodes. If the others did so too, every node would send
            // every replica to a node that starts.
            tell,
            tell_whole: tell,
        };
        upsert(&mut self.replicas, replica, |one| one.says.id.as_str());
    }
}
