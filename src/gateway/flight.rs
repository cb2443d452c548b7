//! A request under way at a replica, as the router counts it.

use std::sync::Arc;

use super::{
    Gateway,
    dialect::Answered,
    ending::{Sign, Stay},
    fleet::{End, Target},
    forward::Work,
};

/// A replica that has said nothing to a request for so long when that is given
/// up may have ended, in ms: beyond the pauses that an engine makes.
const SILENT_MS: u64 = 1000;

/// A request under way at a replica; counted until dropped.
pub(super) struct Flight {
    gateway: Arc<Gateway>,
    service: String,
    target: Target,
    fingerprint: u64,
    began_at: u64,
    /// When something last came of it.
    heard_at: u64,
    started: bool,
    /// An answer that is whole proves that its replica has survived it.
    proves: bool,
    /// What it will have ended as when it is dropped.
    pub end: End,
}

impl Flight {
    /// Counts it from here on.
    pub fn begin(work: &Work, target: &Target) -> Flight {
        Flight {
            gateway: work.gateway.clone(),
            service: work.service.clone(),
            target: target.clone(),
            fingerprint: work.fingerprint,
            began_at: work.now(),
            heard_at: work.now(),
            started: false,
            proves: false,
            // Dropped on the way when the client has left.
            end: End::Left,
        }
    }

    /// The answer began.
    ///
    /// `proves` is set where its end will show that the replica lived on: a
    /// failure may come before it has run, and an answer without a length
    /// looks whole when its replica ends.
    pub fn began(&mut self, answered: &Answered, proves: bool) {
        self.started = true;
        self.proves = proves;
        let now = self.gateway.timer.now();
        self.heard_at = now;
        let mut fleet = self.gateway.fleet();
        fleet.began(now, &self.service, &self.target, answered.load);
    }

    /// The answer was read to its end.
    pub fn finish(&mut self, failure: bool) {
        let now = self.gateway.timer.now();
        let held_ms = now.saturating_sub(self.began_at) as u32;
        if self.proves && !failure {
            self.gateway.note_success(self.fingerprint);
        }
        self.end = match failure {
            true => End::Failed,
            false => End::Well { held_ms },
        };
    }

    /// Something came.
    pub fn progress(&mut self) {
        let now = self.gateway.timer.now();
        self.heard_at = now;
        let ticket = self.target.ticket;
        self.gateway.fleet().progress(now, &self.service, ticket);
    }

    /// When it was begun, in ms.
    pub fn began_at(&self) -> u64 {
        self.began_at
    }

    /// The replica.
    pub fn replica(&self) -> &str {
        &self.target.replica
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.gateway.timer.now();
        let ticket = self.target.ticket;
        let mut fleet = self.gateway.fleet();
        fleet.end(now, &self.service, ticket, self.started, self.end);
        drop(fleet);
        let sign = match self.end {
            End::Broken => Sign::Broken,
            End::Failed | End::Left if now >= self.heard_at + SILENT_MS => {
                Sign::Silent
            }
            _ => return,
        };
        let stay = Stay {
            fingerprint: self.fingerprint,
            began_at: self.began_at,
            heard_at: self.heard_at,
            ended_at: now,
            sign,
        };
        self.gateway.examine(&self.service, &self.target, stay);
    }
}
