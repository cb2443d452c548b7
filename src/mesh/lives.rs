//! What replicas say of themselves: one after the other, and of each of their
//! lives.
//!
//! The state of a replica's life only moves from ready to leaving to gone. Its
//! next start is another life; so a late heartbeat can't bring back one that
//! has left. Lives of one replica are ordered by when they began, and the last
//! one counts: see [`life_name`].

use super::{
    replica::{Replica, State},
    table::Table,
};
use crate::{
    util::{position, upsert},
    wire::Sighting,
};

/// A replica that is remembered from before this node started is used for so
/// long without a heartbeat, in ms: one of them, and what it may be late.
const REMEMBERED_MS: u64 = 2000;
/// For so long every datagram names a replica that has left, in ms: long
/// enough for several to reach each node, also where many nodes take turns.
const TELL_LEFT_MS: u64 = 2500;
/// Replicas that have left and are named in one datagram.
const LEFT_PER_DATAGRAM: usize = 64;
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

/// What is known of a life since some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was heard.
    Lives,
    /// It said that it leaves.
    Leaves,
    /// Another life of its replica, or another replica at its address, was
    /// heard, and it was not.
    Followed,
    /// It was not heard, and others were.
    Silent,
    /// No replica was heard, so that this says nothing.
    Unknown,
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
    /// Takes a replica's statement; true when it is news to others.
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

    /// True for what a life that is ready has said before: most of what nodes
    /// repeat to each other, where there are many replicas.
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

    /// What is known of a life since a moment that is not longer ago than
    /// replicas are remembered.
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
            // What it said of itself goes before what came after it.
            State::Leaving => Fate::Leaves,
            _ if is_followed => Fate::Followed,
            State::Gone => Fate::Leaves,
            State::Ready if heard(&own) => Fate::Lives,
            State::Ready if others().any(|one| heard(&one)) => Fate::Silent,
            State::Ready => Fate::Unknown,
        }
    }

    /// Whether a life was heard since a moment, or said that it leaves.
    pub fn has_spoken(&self, hash: u64, since: u64) -> bool {
        let own = self.replicas.iter().find(|one| one.hash == hash);
        own.is_some_and(|one| {
            one.heard_at > since || one.state == State::Leaving
        })
    }

    /// When a life was last heard anywhere, if it is known.
    pub fn last_heard(&self, life: &str) -> Option<u64> {
        let found = position(&self.replicas, life, |one| one.says.id.as_str());
        found.ok().map(|at| self.replicas[at].heard_at)
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
            let hash = one.hash;
            self.note_left(now, hash);
        }
    }

    pub(super) fn has_left(&self, hash: u64) -> bool {
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

    /// The replicas that may be used, as they are told to a node that starts.
    pub fn usable(&self, now: u64) -> Vec<Sighting> {
        let usable = self.replicas.iter().filter(|replica| {
            replica.state == State::Ready && replica.may_be_used(now)
        });
        usable.map(|replica| replica.aged(now)).collect()
    }

    /// Notes that a replica has left; true when that is new.
    pub(super) fn note_left(&mut self, now: u64, hash: u64) -> bool {
        match position(&self.left, &hash, |(hash, _)| hash) {
            Ok(_) => false,
            Err(at) => {
                self.left.insert(at, (hash, now));
                true
            }
        }
    }

    /// Takes word of a replica that has left; true when it was ready here.
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

    /// Replicas that have left lately, for a datagram; where they are more
    /// than fit, in turn.
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
            // Whoever heard it directly tells all others. If those did so
            // too, a node that starts would be told everything by everybody.
            tell,
            tell_whole: tell,
        };
        upsert(&mut self.replicas, replica, |one| one.says.id.as_str());
    }
}
