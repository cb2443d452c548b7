//! State of a replica, from its heartbeats and from reports of other nodes.

use crate::{
    util::common,
    wire::{Beat, Sighting},
};

/// Time for which other replicas may fetch from the cache of a leaving
/// replica, in ms. Replicas on reclaimed VMs stop after two to three seconds.
const LEAVING_CACHE_FETCH_MS: u64 = 2000;
/// Largest amount by which a heartbeat received through other nodes seems
/// younger than it is, in ms.
pub const MAX_HEARTBEAT_AGE_ERROR_MS: u64 = 150;
/// Longest time between two heartbeats that are on time, in ms: the interval
/// of 1,200 ms and the time that a call takes.
const ON_TIME_INTERVAL_MS: u64 = 1300;
/// Shortest time between two heartbeats of which the first was acknowledged in
/// time, in ms. A replica repeats a heartbeat that is not acknowledged within
/// a second.
const MIN_ACKNOWLEDGED_INTERVAL_MS: u64 = 1100;
/// Number of heartbeats in a row, each acknowledged and on time, after which
/// earlier lateness was a pause of the replica.
const MIN_STEADY_HEARTBEATS: u64 = 2;

common! {
    copy
    /// Whether a replica may be sent requests.
    pub enum State {
        /// It may be sent requests.
        Ready,
        /// It finishes its requests in flight.
        Leaving,
        /// It has departed.
        Departed,
    }
}

impl State {
    pub(super) fn from_u32(number: u32) -> State {
        match number {
            0 => State::Ready,
            1 => State::Leaving,
            _ => State::Departed,
        }
    }
}

common! {
    /// One incarnation of a replica.
    pub struct Replica {
        /// Its last heartbeat, in wire format.
        pub sighting: Sighting,
        /// Whether it may be sent requests.
        pub state: State,
        /// When its last heartbeat was received at any node, by this node's
        /// clock.
        pub heard_at: u64,
        /// Time by which its last heartbeat may have been late, in ms.
        pub lateness_ms: u64,
        /// Number of heartbeats in a row that were acknowledged and on time.
        pub steady_heartbeats: u64,
        /// When this node first learnt of it.
        pub first_seen_at: u64,
        /// When this node first learnt that it was leaving.
        pub leaving_since: u64,
        /// Set if it has not been heard since this node started: the time
        /// until which it is used all the same.
        pub remembered_until: Option<u64>,
        /// Number of datagrams that still include it first, because this node
        /// receives its heartbeats or because its state has changed.
        pub(super) pending_sends: u32,
        /// Number of these that include all its fields, because other nodes
        /// may not know them.
        pub(super) pending_full_sends: u32,
        /// Hash of its id.
        pub(super) hash: u64,
    }
}

impl Replica {
    /// Returns the number that identifies it between nodes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns true if it takes requests, or if it is leaving and other
    /// replicas can still fetch from its cache.
    pub fn is_usable(&self, now: u64) -> bool {
        if self.remembered_until.is_some_and(|until| now >= until) {
            return false;
        }
        match self.state {
            State::Ready => true,
            State::Leaving => {
                now < self.leaving_since + LEAVING_CACHE_FETCH_MS
            }
            State::Departed => false,
        }
    }

    /// Applies a heartbeat. Returns true if the state has changed.
    pub(super) fn apply_sighting(
        &mut self,
        sighting: Sighting,
        state: State,
        heard_at: u64,
        is_direct: bool,
    ) -> bool {
        let is_newer = sighting.sequence > self.sighting.sequence;
        if is_newer {
            self.record_heard(sighting.sequence, heard_at);
            self.remembered_until = None;
        }
        let has_new_state = state > self.state;
        if has_new_state {
            self.state = state;
            self.leaving_since = heard_at;
        }
        let mut differs = has_new_state;
        if is_newer && !sighting.service.is_empty() {
            differs |= self.differs_from(&sighting);
            let former = std::mem::replace(&mut self.sighting, sighting);
            // A node of an earlier version relays no software version. An
            // incarnation with a start time can't have changed it.
            if self.sighting.version.is_empty() && former.born != 0 {
                self.sighting.version = former.version;
            }
        }
        self.sighting.state = self.state as u32;
        if has_new_state || (is_newer && is_direct) {
            self.pending_sends = u32::MAX;
        }
        if has_new_state || (differs && is_direct) {
            self.pending_full_sends = u32::MAX;
        }
        has_new_state
    }

    /// Returns true if anything but the sequence number and the state has
    /// changed.
    fn differs_from(&self, sighting: &Sighting) -> bool {
        let known = &self.sighting;
        known.ip != sighting.ip
            || known.port != sighting.port
            || known.slots != sighting.slots
            || known.service != sighting.service
            || known.reclaimable != sighting.reclaimable
            || known.leaves_ms != sighting.leaves_ms
            || known.version != sighting.version
    }

    /// Applies a relayed heartbeat.
    pub(super) fn apply_beat(
        &mut self,
        now: u64,
        beat: &Beat,
        is_direct: bool,
    ) {
        if beat.sequence <= self.sighting.sequence
            || self.state != State::Ready
        {
            return;
        }
        let heard_at = now.saturating_sub(u64::from(beat.age_ms));
        self.record_heard(beat.sequence, heard_at);
        self.remembered_until = None;
        self.sighting.sequence = beat.sequence;
        if is_direct {
            self.pending_sends = u32::MAX;
        }
    }

    /// Records when a heartbeat was received.
    ///
    /// A heartbeat that arrives late was sent when it was due, perhaps before
    /// a crash. Those after it count as late too until they have caught up, or
    /// until several were steady: a replica whose heartbeats are long on their
    /// way is not acknowledged in time and repeats them sooner, and a replica
    /// that was silent for a while never catches up.
    fn record_heard(&mut self, sequence: u64, heard_at: u64) {
        let steps = sequence.saturating_sub(self.sighting.sequence);
        let due_ms = ON_TIME_INTERVAL_MS.saturating_mul(steps);
        let gap_ms = heard_at.saturating_sub(self.heard_at);
        self.lateness_ms = match self.remembered_until {
            Some(_) => 0,
            None => (self.lateness_ms + gap_ms).saturating_sub(due_ms),
        };
        let min_gap_ms = MIN_ACKNOWLEDGED_INTERVAL_MS.saturating_mul(steps);
        self.steady_heartbeats = match (min_gap_ms..=due_ms).contains(&gap_ms)
        {
            true => self.steady_heartbeats + steps,
            false => 0,
        };
        if self.steady_heartbeats >= MIN_STEADY_HEARTBEATS {
            self.lateness_ms = 0;
        }
        self.heard_at = self.heard_at.max(heard_at);
    }

    /// Returns a time at which this incarnation was still running.
    pub fn alive_at(&self) -> u64 {
        let error_ms = self.lateness_ms + MAX_HEARTBEAT_AGE_ERROR_MS;
        match self.remembered_until {
            Some(_) => 0,
            None => self.heard_at.saturating_sub(error_ms),
        }
    }

    /// Returns its last heartbeat with the present age.
    pub(super) fn last_beat(&self, now: u64) -> Beat {
        Beat {
            replica: self.hash,
            sequence: self.sighting.sequence,
            age_ms: now.saturating_sub(self.heard_at) as u32,
        }
    }

    /// Returns its fields for other nodes, with the present age.
    pub(super) fn to_sighting(&self, now: u64) -> Sighting {
        let age_ms = now.saturating_sub(self.heard_at);
        let remembered = self.remembered_until.is_some();
        Sighting { age_ms: age_ms as u32, remembered, ..self.sighting.clone() }
    }
}
