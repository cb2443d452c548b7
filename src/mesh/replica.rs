//! A replica, as its heartbeats and other nodes tell of it.

use crate::{
    util::common,
    wire::{Beat, Sighting},
};

/// For so long others may fetch from the cache of a replica that leaves, in
/// ms: reclaimed ones are gone after two to three seconds.
const FETCHABLE_MS: u64 = 2000;

common! {
    copy
    /// Whether a replica may be given work.
    pub enum State {
        /// It may.
        Ready,
        /// It finishes what it has.
        Leaving,
        /// It said goodbye.
        Gone,
    }
}

impl State {
    pub(super) fn from_u32(number: u32) -> State {
        match number {
            0 => State::Ready,
            1 => State::Leaving,
            _ => State::Gone,
        }
    }
}

common! {
    /// One incarnation of a replica.
    pub struct Replica {
        /// What it says of itself, as it goes over the wire.
        pub says: Sighting,
        /// Whether it may be given work.
        pub state: State,
        /// When its last heartbeat came in anywhere, by this node's clock.
        pub heard_at: u64,
        /// When it was first seen here.
        pub since: u64,
        /// When it was first seen leaving.
        pub left_at: u64,
        /// Not heard since this node started; until when it is used all the
        /// same.
        pub remembered_until: Option<u64>,
        /// In so many more datagrams it is told first: its heartbeats come in
        /// here, or its state has changed.
        pub(super) tell: u32,
        /// In so many of these it is told whole, as others may not know it.
        pub(super) tell_whole: u32,
        /// The hash of its id.
        pub(super) hash: u64,
    }
}

impl Replica {
    /// The number that stands for it between nodes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// True for one that takes requests, and for one that is leaving while
    /// others can still fetch from its cache.
    pub fn may_be_used(&self, now: u64) -> bool {
        if self.remembered_until.is_some_and(|until| now >= until) {
            return false;
        }
        match self.state {
            State::Ready => true,
            State::Leaving => now < self.left_at + FETCHABLE_MS,
            State::Gone => false,
        }
    }

    /// Takes a newer statement; true when its state has changed.
    pub(super) fn renew(
        &mut self,
        says: Sighting,
        state: State,
        heard_at: u64,
        direct: bool,
    ) -> bool {
        let newer = says.sequence > self.says.sequence;
        if newer {
            self.heard_at = self.heard_at.max(heard_at);
            self.remembered_until = None;
        }
        let moved = state > self.state;
        if moved {
            self.state = state;
            self.left_at = heard_at;
        }
        let mut differs = moved;
        if newer && !says.service.is_empty() {
            differs |= self.differs(&says);
            self.says = says;
        }
        self.says.state = self.state as u32;
        if moved || (newer && direct) {
            self.tell = u32::MAX;
        }
        if moved || (differs && direct) {
            self.tell_whole = u32::MAX;
        }
        moved
    }

    /// True where more is new than that it is still there.
    fn differs(&self, says: &Sighting) -> bool {
        let known = &self.says;
        known.ip != says.ip
            || known.port != says.port
            || known.slots != says.slots
            || known.service != says.service
            || known.reclaimable != says.reclaimable
            || known.leaves_ms != says.leaves_ms
    }

    /// Takes a heartbeat that was passed on.
    pub(super) fn beat(&mut self, now: u64, beat: &Beat, direct: bool) {
        if beat.sequence <= self.says.sequence || self.state != State::Ready {
            return;
        }
        let heard_at = now.saturating_sub(u64::from(beat.age_ms));
        self.heard_at = self.heard_at.max(heard_at);
        self.remembered_until = None;
        self.says.sequence = beat.sequence;
        if direct {
            self.tell = u32::MAX;
        }
    }

    /// Its last heartbeat, as it is told to others now.
    pub(super) fn last_beat(&self, now: u64) -> Beat {
        Beat {
            replica: self.hash,
            sequence: self.says.sequence,
            age_ms: now.saturating_sub(self.heard_at) as u32,
        }
    }

    /// As it is told to others now.
    pub(super) fn aged(&self, now: u64) -> Sighting {
        let age = now.saturating_sub(self.heard_at);
        let remembered = self.remembered_until.is_some();
        Sighting { age_ms: age as u32, remembered, ..self.says.clone() }
    }
}
