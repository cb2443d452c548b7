//! Whether a replica has ended while requests were under way there.
//!
//! A replica may close one connection, lose one answer, be slow, be cut off
//! from this node, or end with all that it had. Only the last says something
//! about the requests that were there. Connections alone don't tell: while a
//! replica is away, its port may refuse them, a relay or a host that takes over
//! its address may accept and close them, or nothing may answer. What the
//! replica says of itself does:
//!
//! | seen | means |
//! |---|---|
//! | a new connection is refused | it has ended |
//! | another life of it speaks, or another replica at its address | it has ended |
//! | no heartbeat of it reaches any node, others' do | it has ended |
//! | it said that it leaves | nothing: it ends with what it has |
//! | it answers, or a heartbeat said later arrives | it lives |
//!
//! So a case is opened when a connection breaks or a replica has been silent
//! to a request for long, and watched until one of these is seen. Meanwhile the
//! end is suspected, where connections broke under requests that had been there
//! for a while.
//!
//! An end has one moment: the first connection to break, unless the replica was
//! heard after that. A request that was sent later was not there, whatever
//! became of its connection.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::sleep;
use tracing::info;

use super::{Gateway, fleet::Target};
use crate::{
    decide::quarantine::Crash,
    mesh::{lives::Fate, table::replica_hash},
};

/// Before a new connection is tried, so that a process that ends has closed
/// all that it had open, and all requests there have noticed.
const PAUSE: Duration = Duration::from_millis(20);
/// Between two looks at what is known of the replica.
const LOOK: Duration = Duration::from_millis(200);
/// A replica that has said nothing for so long after a connection to it broke
/// has ended, in ms: two heartbeats, one of which may be late or lost on its
/// way between nodes.
const UNHEARD_MS: u64 = 2600;
/// Nodes hear of a heartbeat through others, whose word seems so much younger
/// at most, in ms: one that was said before a replica ended does not show that
/// it lives.
const WORD_LAG_MS: u64 = 150;
/// A connection may be seen to break so much later than others to the same
/// replica, in ms, by a node that has much to do.
const NOTICE_LAG_MS: u64 = 50;
/// A request that was there for so long when its connection broke had probably
/// reached the replica, in ms: a relay that has lost it closes at once.
const LEAST_STAY_MS: u64 = 20;
/// A replica that was last heard so long before a request was sent may have
/// been away by then, in ms: a heartbeat, and what it may be late.
const HEARTBEAT_MS: u64 = 1500;
/// Requests remembered of one case: what runs at one replica for one node.
const MOST: usize = 64;

/// Requests that broke off or were left, by replica, until it is known why.
#[derive(Debug, Default)]
pub(super) struct Endings {
    open: Mutex<Vec<Case>>,
}

#[derive(Debug)]
struct Case {
    replica: String,
    stays: Vec<Stay>,
}

/// A request at a replica, as seen from this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stay {
    /// What it asked for.
    pub fingerprint: u64,
    /// When it was sent.
    pub began_at: u64,
    /// When something last came of it, or it was sent.
    pub heard_at: u64,
    /// When its connection broke or it was left.
    pub ended_at: u64,
    /// How it came to an end.
    pub sign: Sign,
}

impl Stay {
    /// The crash that it is held responsible for if the replica has ended.
    fn crash(&self, replica: &str, at: u64) -> Crash {
        Crash {
            fingerprint: self.fingerprint,
            replica: replica_hash(replica),
            at: at as i64,
        }
    }

    /// When something last came of it, if anything did.
    fn heard(&self) -> Option<u64> {
        (self.heard_at > self.began_at).then_some(self.heard_at)
    }

    /// Whether it had probably reached the replica.
    fn arrived(&self) -> bool {
        self.heard().is_some()
            || self.ended_at >= self.began_at + LEAST_STAY_MS
    }
}

/// What opens a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    /// The replica closed a connection before its answer was whole.
    Broken,
    /// It said nothing on one for long.
    Silent,
}

/// What became of the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Ended(&'static str),
    /// It lives, has left as it said, or nobody can tell.
    Nothing,
}

impl Endings {
    fn open(&self) -> MutexGuard<'_, Vec<Case>> {
        self.open.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Notes a request; true for the first one at a replica.
    fn add(&self, replica: &str, stay: Stay) -> bool {
        let mut open = self.open();
        let known = open.iter_mut().find(|one| one.replica == replica);
        if let Some(case) = known {
            if case.stays.len() < MOST {
                case.stays.push(stay);
            }
            return false;
        }
        open.push(Case { replica: replica.to_owned(), stays: vec![stay] });
        true
    }

    fn take(&self, replica: &str) -> Vec<Stay> {
        let mut open = self.open();
        let at = open.iter().position(|one| one.replica == replica);
        at.map(|at| open.swap_remove(at).stays).unwrap_or_default()
    }

    /// When a replica ended, if it has: when the first connection broke after
    /// which nothing came from it.
    fn moment(&self, replica: &str) -> Option<u64> {
        let open = self.open();
        let case = open.iter().find(|one| one.replica == replica)?;
        moment_of(&case.stays)
    }
}

/// The same for the requests of one case.
fn moment_of(stays: &[Stay]) -> Option<u64> {
    let heard = stays.iter().filter_map(Stay::heard);
    let heard_at = heard.max().unwrap_or(0);
    let broken = stays.iter().filter(|one| one.sign == Sign::Broken);
    let broken = broken.map(|one| one.ended_at);
    broken.filter(|at| *at >= heard_at).min()
}

/// The requests that were at a replica when it ended; `last` is when it was last
/// heard.
fn crashes(replica: &str, stays: &[Stay], last: Option<u64>) -> Vec<Crash> {
    let moment = moment_of(stays);
    let was_there = |one: &&Stay| {
        moment.is_none_or(|at| one.began_at <= at + NOTICE_LAG_MS)
            && last.is_none_or(|at| one.began_at <= at + HEARTBEAT_MS)
    };
    let dated = |one: &Stay| match one.sign {
        Sign::Broken => one.crash(replica, one.ended_at),
        // All that is known is that it ended after it was last heard.
        Sign::Silent => {
            let heard_at = last.unwrap_or(0).max(one.heard_at);
            one.crash(replica, heard_at.min(one.ended_at))
        }
    };
    stays.iter().filter(was_there).map(dated).collect()
}

/// From when on word of a replica shows that it lived at a moment.
pub(super) fn heard_after(at: i64) -> u64 {
    at.max(0) as u64 + WORD_LAG_MS
}

impl Gateway {
    /// A request broke off at a replica, or was left there unanswered: finds
    /// out whether the replica has ended.
    pub(super) fn examine(
        self: &Arc<Gateway>,
        service: &str,
        target: &Target,
        stay: Stay,
    ) {
        let is_first = self.endings.add(&target.replica, stay);
        let gateway = self.clone();
        let (service, target) = (service.to_owned(), target.clone());
        tokio::spawn(async move {
            if stay.sign == Sign::Broken && stay.arrived() {
                sleep(PAUSE).await;
                gateway.suspect_end(&target, stay);
            }
            if is_first {
                gateway.follow(&service, &target, stay).await;
            }
        });
    }

    /// Holds an end that is not certain against a request that was there.
    fn suspect_end(&self, target: &Target, stay: Stay) {
        let moment = self.endings.moment(&target.replica);
        let is_late =
            moment.is_none_or(|at| stay.began_at > at + NOTICE_LAG_MS);
        let since = heard_after(stay.ended_at as i64);
        let lives =
            matches!(self.fate(target, since), Fate::Lives | Fate::Leaves);
        if !is_late && !lives {
            self.suspect(stay.crash(&target.replica, stay.ended_at));
        }
    }

    /// Watches a replica until it is known what became of it.
    async fn follow(&self, service: &str, target: &Target, first: Stay) {
        let since = first.ended_at;
        let verdict = self.watch(service, target, first.sign, since).await;
        let replica = &target.replica;
        let stays = self.endings.take(replica);
        let Verdict::Ended(evidence) = verdict else { return };
        let table = self.mesh.get().map(|mesh| mesh.table());
        let last = table.and_then(|table| table.last_heard(replica));
        let crashes = crashes(replica, &stays, last);
        self.note_crashes(&crashes);
        self.metrics.ended_replicas.inc();
        info!(
            target: "gateway",
            replica,
            requests = crashes.len(),
            too_late = stays.len() - crashes.len(),
            evidence,
            after_ms = self.timer.now() - since,
            "Replica ended under requests."
        );
    }

    async fn watch(
        &self,
        service: &str,
        target: &Target,
        sign: Sign,
        since: u64,
    ) -> Verdict {
        let mut refused = false;
        if sign == Sign::Broken {
            sleep(PAUSE).await;
            let lines = &self.lines;
            refused = lines.has_ended(&target.replica, target.address).await;
        }
        loop {
            let now = self.timer.now();
            let is_over = now >= since + UNHEARD_MS;
            match self.fate(target, heard_after(since as i64)) {
                // It ends with what it still has: a long request would be at
                // the ends of all replicas that are replaced.
                Fate::Leaves => return Verdict::Nothing,
                Fate::Followed => return Verdict::Ended("another life"),
                _ if refused => return Verdict::Ended("refused"),
                Fate::Lives => return Verdict::Nothing,
                Fate::Unknown if is_over => return Verdict::Nothing,
                Fate::Silent if is_over => return Verdict::Ended("unheard"),
                Fate::Unknown | Fate::Silent => {}
            }
            if self.has_answered(service, &target.replica, since) {
                return Verdict::Nothing;
            }
            sleep(LOOK).await;
        }
    }

    fn fate(&self, target: &Target, since: u64) -> Fate {
        let Some(mesh) = self.mesh.get() else { return Fate::Unknown };
        mesh.table().fate(&target.replica, since)
    }

    fn has_answered(&self, service: &str, replica: &str, since: u64) -> bool {
        self.fleet().answered_at(service, replica) > since
    }
}
