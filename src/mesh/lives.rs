//! Tracks the heartbeats of replicas, by incarnation.
//!
//! The state of an incarnation only moves from ready to leaving to departed.
//! The replica's next start is another incarnation, so a late heartbeat can't
//! bring back one that has departed. Incarnations of a replica are ordered by
//! start time, and the last one is current: see [`incarnation_id`].

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
const REMEMBERED_REPLICA_TIMEOUT_MS: u64 = 2000;
/// Time for which every datagram lists a leaving or departed replica, in ms.
/// Several such datagrams reach each node in that time, also where many nodes
/// take turns.
const DEPARTURE_REPORT_MS: u64 = 2500;
/// Leaving or departed replicas in one datagram.
const DEPARTURES_PER_DATAGRAM: usize = 64;
/// Silence of the current incarnation after which an incarnation with an
/// earlier start time replaces it, in ms. Before that, a heartbeat with an
/// earlier start time is taken for a late one of a former incarnation. After
/// that, the VM's clock has jumped back between the two starts. It is longer
/// than the usual delay of heartbeats; a replica whose clock has jumped back
/// is not used for that time.
const CLOCK_JUMP_SILENCE_MS: u64 = 10_000;
/// Time after a departure notice without a start time during which the notice
/// also applies to an incarnation that is heard for the first time, in ms.
/// Heartbeats may be delayed by seconds.
const DEPARTURE_NOTICE_MS: u64 = 3000;
/// Silence of a replica up to which its next heartbeat is not overdue, in ms:
/// one heartbeat interval and the time in which nodes learn of a heartbeat.
const MAX_ON_TIME_SILENCE_MS: u64 = 1600;
/// Separates a replica's id from the start time of an incarnation.
const INCARNATION_SEPARATOR: char = '@';

/// What is known of an incarnation since a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A heartbeat was received.
    Alive,
    /// It announced that it leaves.
    Leaving,
    /// It was not heard, but another incarnation of its replica, or another
    /// replica at its address, was.
    Superseded,
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
pub fn incarnation_id(replica: &str, born: u64) -> String {
    if born == 0 && !replica.contains(INCARNATION_SEPARATOR) {
        return replica.to_owned();
    }
    format!("{replica}{INCARNATION_SEPARATOR}{born}")
}

/// Returns the replica id that is part of an incarnation's id.
pub fn replica_of(incarnation: &str) -> &str {
    incarnation
        .rsplit_once(INCARNATION_SEPARATOR)
        .map_or(incarnation, |(replica, _)| replica)
}

/// Returns the number that identifies an incarnation between nodes.
pub fn replica_hash(id: &str) -> u64 {
    crate::util::name_hash(id)
}

/// What heartbeats show of the incarnation that answered at a given time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It was still running later, so no other one can have answered.
    Confirmed,
    /// It is not known whether it was still running.
    Open,
    /// It was not heard since, but a later incarnation of this version was.
    Superseded(String),
    /// It is not known, or can't be told from another one.
    Unknown,
}

/// Returns the number that identifies an incarnation in the record of a
/// stream, never 0. It has 21 bits, so that a record fits its datagram; where
/// two replicas have the same number, neither is confirmed.
pub fn record_key(id: &str) -> u32 {
    (replica_hash(id) % 0x1f_ffff) as u32 + 1
}

impl Table {
    /// Returns what is known of the incarnation with a [`record_key`] that may
    /// have accepted a connection at `since`.
    pub fn liveness(&self, key: u32, since: u64) -> Liveness {
        let has_key = |known: &&Replica| record_key(&known.sighting.id) == key;
        let mut found = self.replicas.iter().filter(has_key);
        let (Some(own), None) = (found.next(), found.next()) else {
            return Liveness::Unknown;
        };
        if own.alive_at() > since {
            return Liveness::Confirmed;
        }
        let says = &own.sighting;
        let mut later = self.replicas.iter().filter(|known| {
            let is_at_address = (known.sighting.ip, known.sighting.port)
                == (says.ip, says.port);
            known.hash != own.hash
                && (replica_of(&known.sighting.id) == replica_of(&says.id)
                    || is_at_address)
                && known.first_seen_at >= own.first_seen_at
                && known.sighting.born >= says.born
        });
        let versions = |known: &Replica| known.sighting.version.clone();
        match (later.next().map(versions), later.next()) {
            (Some(version), None) => Liveness::Superseded(version),
            (Some(_), Some(_)) => Liveness::Unknown,
            (None, _) => Liveness::Open,
        }
    }

    /// Returns whether an incarnation's heartbeats are on time at `now`.
    pub fn is_on_time(&self, now: u64, key: u32) -> bool {
        let mut known = self.replicas.iter();
        known.any(|known| {
            record_key(&known.sighting.id) == key
                && known.remembered_until.is_none()
                && now < known.heard_at + MAX_ON_TIME_SILENCE_MS
        })
    }

    /// Applies a heartbeat. Returns true if other nodes need to know of it.
    pub fn apply_sighting(
        &mut self,
        now: u64,
        sighting: Sighting,
        is_direct: bool,
    ) -> bool {
        if sighting.remembered {
            self.add_remembered(now, sighting);
            return false;
        }
        if self.is_repeated(&sighting) {
            return false;
        }
        let sighting = self.with_current_incarnation(sighting);
        let heard_at = now.saturating_sub(u64::from(sighting.age_ms));
        if self.is_late(heard_at, &sighting) {
            return false;
        }
        self.revive(&sighting);
        self.supersede_others(now, &sighting);
        let mut state = State::from_u32(sighting.state);
        let hash = replica_hash(&sighting.id);
        let has_departed = self.has_departure(hash)
            || self.has_departure_notice(now, &sighting);
        if state != State::Ready {
            self.record_departure(now, hash);
        } else if has_departed {
            // The departure is known already, so this heartbeat is older.
            state = State::Leaving;
        }
        let found = position(&self.replicas, sighting.id.as_str(), |known| {
            known.sighting.id.as_str()
        });
        match found {
            Ok(at) => {
                self.record_version(now, &sighting);
                self.replicas[at]
                    .apply_sighting(sighting, state, heard_at, is_direct)
            }
            Err(_)
                if state == State::Departed && sighting.service.is_empty() =>
            {
                // A departure notice of an unknown replica. Its entry keeps a
                // late heartbeat from adding the replica.
                self.add_replica(now, sighting, state, heard_at, is_direct);
                true
            }
            Err(_) if sighting.service.is_empty() => false,
            Err(_) => {
                self.add_replica(now, sighting, state, heard_at, is_direct);
                true
            }
        }
    }

    /// Returns true for a ready incarnation's heartbeat that is not newer than
    /// the known one. With many replicas, most of what nodes repeat to each
    /// other is of this kind.
    fn is_repeated(&self, sighting: &Sighting) -> bool {
        let found = position(&self.replicas, sighting.id.as_str(), |known| {
            known.sighting.id.as_str()
        });
        found.is_ok_and(|at| {
            let known = &self.replicas[at];
            known.state == State::Ready
                && State::from_u32(sighting.state) == State::Ready
                && sighting.born == known.sighting.born
                && sighting.sequence <= known.sighting.sequence
        })
    }

    /// Assigns a departure notice without a start time to the current
    /// incarnation.
    fn with_current_incarnation(&self, sighting: Sighting) -> Sighting {
        if sighting.born != 0
            || State::from_u32(sighting.state) != State::Departed
        {
            return sighting;
        }
        let incarnations = self.incarnations(replica_of(&sighting.id));
        let current = incarnations.max_by_key(|known| {
            (known.state != State::Departed, known.sighting.born)
        });
        match current {
            Some(current) => Sighting {
                id: current.sighting.id.clone(),
                born: current.sighting.born,
                ..sighting
            },
            None => sighting,
        }
    }

    /// Returns the incarnation that this heartbeat supersedes, if there is
    /// one.
    pub fn former_incarnation(&self, sighting: &Sighting) -> Option<String> {
        self.other_current(sighting).map(|known| known.sighting.id.clone())
    }

    /// Returns what is known of an incarnation since a given time, which must
    /// not be longer ago than replicas are remembered.
    pub fn fate(&self, incarnation: &str, since: u64) -> Fate {
        let heard = |known: &&Replica| known.heard_at > since;
        let found = position(&self.replicas, incarnation, |known| {
            known.sighting.id.as_str()
        });
        let Ok(at) = found else { return Fate::Unknown };
        let own = &self.replicas[at];
        let others =
            || self.replicas.iter().filter(|known| known.hash != own.hash);
        let supersedes = |known: &Replica| {
            let is_incarnation =
                replica_of(&known.sighting.id) == replica_of(incarnation);
            let address = (known.sighting.ip, known.sighting.port);
            is_incarnation || address == (own.sighting.ip, own.sighting.port)
        };
        let is_superseded = others()
            .filter(|known| {
                known.state == State::Ready
                    && known.first_seen_at > own.heard_at
            })
            .filter(heard)
            .any(supersedes);
        match own.state {
            // Its own announcement takes precedence over what was heard later.
            State::Leaving => Fate::Leaving,
            _ if is_superseded => Fate::Superseded,
            State::Departed => Fate::Leaving,
            State::Ready if heard(&own) => Fate::Alive,
            State::Ready if others().any(|known| heard(&known)) => {
                Fate::Silent
            }
            State::Ready => Fate::Unknown,
        }
    }

    /// Returns whether an incarnation was heard since a given time, or
    /// announced that it leaves.
    pub fn was_heard_or_is_leaving(&self, hash: u64, since: u64) -> bool {
        let own = self.replicas.iter().find(|known| known.hash == hash);
        own.is_some_and(|known| {
            known.heard_at > since || known.state == State::Leaving
        })
    }

    /// Returns when an incarnation was last heard at any node, if it is known.
    pub fn last_heard(&self, incarnation: &str) -> Option<u64> {
        let found = position(&self.replicas, incarnation, |known| {
            known.sighting.id.as_str()
        });
        found.ok().map(|at| self.replicas[at].heard_at)
    }

    /// Returns the positions of a replica's incarnations.
    fn incarnation_positions(
        &self,
        replica: &str,
    ) -> impl Iterator<Item = usize> + use<> {
        // An incarnation that never reported its start time has the replica's
        // id.
        let without_start = position(&self.replicas, replica, |known| {
            known.sighting.id.as_str()
        });
        let prefix = format!("{replica}{INCARNATION_SEPARATOR}");
        let from = self.replicas.partition_point(|known| {
            known.sighting.id.as_str() < prefix.as_str()
        });
        let count = self.replicas[from..]
            .iter()
            .take_while(|known| known.sighting.id.starts_with(&prefix))
            .count();
        without_start.ok().into_iter().chain(from..from + count)
    }

    fn incarnations(&self, replica: &str) -> impl Iterator<Item = &Replica> {
        self.incarnation_positions(replica).map(|at| &self.replicas[at])
    }

    /// Returns true for a late heartbeat, sent at `sent_at`, of an incarnation
    /// that has been superseded.
    ///
    /// A departed incarnation becomes current again only when the one that
    /// superseded it has been silent for long, which shows that the heartbeat
    /// of the latter was the late one.
    fn is_late(&self, sent_at: u64, sighting: &Sighting) -> bool {
        let is_marked_departed = self.is_marked_departed(sighting);
        match self.other_current(sighting) {
            Some(current) => {
                (is_marked_departed || current.sighting.born > sighting.born)
                    && sent_at < current.heard_at + CLOCK_JUMP_SILENCE_MS
            }
            None => is_marked_departed,
        }
    }

    fn is_marked_departed(&self, sighting: &Sighting) -> bool {
        sighting.born != 0
            && self.incarnations(replica_of(&sighting.id)).any(|known| {
                known.sighting.born == sighting.born
                    && known.state == State::Departed
            })
    }

    /// Returns the replica's other incarnation that has not departed. There is
    /// at most one, because each heartbeat supersedes the other incarnations.
    fn other_current(&self, sighting: &Sighting) -> Option<&Replica> {
        self.incarnations(replica_of(&sighting.id)).find(|known| {
            known.sighting.born != sighting.born
                && known.state != State::Departed
        })
    }

    /// Revives an incarnation that was superseded by a late heartbeat of
    /// another one.
    fn revive(&mut self, sighting: &Sighting) {
        if !self.is_marked_departed(sighting) {
            return;
        }
        self.replicas.retain(|known| known.sighting.id != sighting.id);
        let hash = replica_hash(&sighting.id);
        self.departures.retain(|(departed, _)| *departed != hash);
    }

    /// Marks the replica's other incarnations as departed.
    ///
    /// A replica that crashes and restarts does not report the crash. Without
    /// this, requests would be sent to its former incarnation until that has
    /// been silent for seconds.
    fn supersede_others(&mut self, now: u64, sighting: &Sighting) {
        let incarnations =
            self.incarnation_positions(replica_of(&sighting.id));
        for at in incarnations {
            let replica = &mut self.replicas[at];
            if replica.sighting.born == sighting.born
                || replica.state == State::Departed
            {
                continue;
            }
            replica.state = State::Departed;
            replica.sighting.state = State::Departed as u32;
            replica.leaving_since = now;
            let hash = replica.hash;
            self.record_departure(now, hash);
        }
    }

    pub(super) fn has_departure(&self, hash: u64) -> bool {
        position(&self.departures, &hash, |(hash, _)| hash).is_ok()
    }

    /// Returns true if a departure notice without a start time has just been
    /// received for the replica.
    fn has_departure_notice(&self, now: u64, sighting: &Sighting) -> bool {
        if sighting.born == 0 {
            return false;
        }
        let hash = replica_hash(replica_of(&sighting.id));
        position(&self.departures, &hash, |(hash, _)| hash)
            .is_ok_and(|at| now < self.departures[at].1 + DEPARTURE_NOTICE_MS)
    }

    /// Adds a replica that is remembered from before this node started.
    ///
    /// After a power loss at all nodes, no node knows any replica until its
    /// next heartbeat, and each heartbeat reaches one node only. Requests
    /// would be refused for most of a second although all replicas run. Using
    /// the remembered replicas is safe, because each request names the replica
    /// that it is meant for and another replica at its address does not run
    /// it.
    pub fn add_remembered(&mut self, now: u64, sighting: Sighting) {
        let is_known =
            self.incarnations(replica_of(&sighting.id)).next().is_some();
        let hash = replica_hash(&sighting.id);
        let has_departed = self.has_departure(hash);
        let is_ready = State::from_u32(sighting.state) == State::Ready;
        if is_known || has_departed || !is_ready || sighting.service.is_empty()
        {
            return;
        }
        self.record_version(now, &sighting);
        let replica = Replica {
            sighting,
            state: State::Ready,
            heard_at: now,
            lateness_ms: 0,
            steady_heartbeats: 0,
            first_seen_at: now,
            leaving_since: now,
            remembered_until: Some(now + REMEMBERED_REPLICA_TIMEOUT_MS),
            pending_sends: 0,
            pending_full_sends: 0,
            hash,
        };
        upsert(&mut self.replicas, replica, |known| {
            known.sighting.id.as_str()
        });
    }

    /// Returns the usable replicas, to send to a starting node.
    pub fn usable(&self, now: u64) -> Vec<Sighting> {
        let usable = self.replicas.iter().filter(|replica| {
            replica.state == State::Ready && replica.is_usable(now)
        });
        usable.map(|replica| replica.to_sighting(now)).collect()
    }

    /// Records that a replica is leaving or has departed. Returns true if that
    /// is new.
    pub(super) fn record_departure(&mut self, now: u64, hash: u64) -> bool {
        match position(&self.departures, &hash, |(hash, _)| hash) {
            Ok(_) => false,
            Err(at) => {
                self.departures.insert(at, (hash, now));
                true
            }
        }
    }

    /// Applies the news, of another node or from an answer of the replica,
    /// that a replica is leaving or has departed. Returns true if the replica
    /// was ready here.
    pub fn apply_departure(&mut self, now: u64, hash: u64) -> bool {
        if !self.record_departure(now, hash) {
            return false;
        }
        let ready = self.replicas.iter_mut().find(|known| {
            let replica = replica_of(&known.sighting.id);
            known.state == State::Ready
                && (known.hash == hash || replica_hash(replica) == hash)
        });
        let Some(replica) = ready else { return false };
        replica.state = State::Leaving;
        replica.sighting.state = State::Leaving as u32;
        replica.leaving_since = now;
        true
    }

    /// Returns replicas that have left recently, for a datagram. If they don't
    /// fit, they take turns.
    pub(super) fn next_departures(&mut self, now: u64) -> Vec<u64> {
        let recent = self.departures.iter();
        let recent = recent.filter(|(_, at)| now < at + DEPARTURE_REPORT_MS);
        let recent: Vec<u64> = recent.map(|(hash, _)| *hash).collect();
        let count = recent.len().min(DEPARTURES_PER_DATAGRAM);
        let from = self.next_departure;
        self.next_departure = self.next_departure.wrapping_add(count);
        (0..count).map(|step| recent[(from + step) % recent.len()]).collect()
    }

    /// Returns replicas that have left, for the answer to a node that may have
    /// missed the earlier datagrams. Those that have left recently come first,
    /// and the others take turns in the remaining places.
    pub(super) fn missed_departures(&mut self, now: u64) -> Vec<u64> {
        let mut left = self.next_departures(now);
        let older = self.departures.iter();
        let older = older.filter(|(_, at)| now >= at + DEPARTURE_REPORT_MS);
        let older: Vec<u64> = older.map(|(hash, _)| *hash).collect();
        let count = older.len().min(DEPARTURES_PER_DATAGRAM - left.len());
        let from = self.next_old_departure;
        self.next_old_departure = from.wrapping_add(count);
        let turn = (0..count).map(|step| older[(from + step) % older.len()]);
        left.extend(turn);
        left
    }

    fn add_replica(
        &mut self,
        now: u64,
        sighting: Sighting,
        state: State,
        heard_at: u64,
        is_direct: bool,
    ) {
        self.record_version(now, &sighting);
        let sends = if is_direct { u32::MAX } else { 0 };
        let replica = Replica {
            hash: replica_hash(&sighting.id),
            sighting,
            state,
            heard_at,
            lateness_ms: 0,
            steady_heartbeats: 0,
            first_seen_at: now,
            leaving_since: now,
            remembered_until: None,
            // Only the node that received the heartbeat directly sends it to
            // all other nodes. If the others did so too, every node would send
            // every replica to a node that starts.
            pending_sends: sends,
            pending_full_sends: sends,
        };
        upsert(&mut self.replicas, replica, |known| {
            known.sighting.id.as_str()
        });
    }
}
