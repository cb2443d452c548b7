//! The model requests that an entry knows: its own, and copies for others.
//!
//! A [`Record`] outlives the caller's connection. Whoever runs the request
//! puts pieces in; whoever answers a caller reads them out by offset, now or
//! later. Pieces are matched by offset: one that comes twice is dropped, one
//! that comes early waits for those before it.
//!
//! # What callers may see
//!
//! A piece is shown only once the buddy entry has it too ([`Record::safe`]).
//! Otherwise an entry could show a piece and die, and the buddy, which knows
//! nothing of that piece, would have the model write another one in its
//! place: the caller would put two halves of different answers together.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use tokio::sync::watch;

use crate::util::{common, position};

/// How long a finished request can be read again, in ms.
pub const KEEP_MS: u64 = 10 * 60 * 1000;
/// How many requests are kept at most.
const KEEP_RECORDS: usize = 20_000;
/// Decisions that are remembered for one request.
const NOTES: usize = 64;
/// Pieces that may wait for an earlier one.
const EARLY_PIECES: usize = 1024;

common! {
    /// Who runs a request.
    pub enum Owner {
        /// This entry.
        Here,
        /// Another entry; this one has a copy.
        Elsewhere {
            /// The entry's id.
            id: String,
            /// The entry's incarnation.
            incarnation: u64,
            /// Whether the owner has said that it accepted the request.
            accepted: bool,
        },
        /// An entry that this one, which stops, has handed it to.
        HandedOver {
            /// That entry's address for callers.
            address: String,
        },
    }
}

common! {
    /// How far a request has come.
    pub enum Outcome {
        /// It runs, or waits to.
        Running,
        /// The answer is whole.
        Finished,
        /// It was given up on: why.
        Failed(String),
    }
}

#[derive(Debug)]
struct Content {
    pieces: Vec<String>,
    early: Vec<(u64, String)>,
    safe: usize,
    safe_end: bool,
    accepted: bool,
    outcome: Outcome,
    owner: Owner,
    ended_at: Option<u64>,
}

/// One request and its answer so far.
#[derive(Debug)]
pub struct Record {
    /// The caller's key, or one made here.
    pub id: String,
    /// The team.
    pub team: String,
    /// The model.
    pub service: String,
    /// The request's body, as the caller sent it.
    pub body: Bytes,
    /// By this entry's clock, in ms.
    pub deadline: u64,
    content: Mutex<Content>,
    changed: watch::Sender<u64>,
    notes: Mutex<Vec<String>>,
}

/// What a reader gets to see.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Pieces from the offset that was asked for.
    pub pieces: Vec<String>,
    /// Set once all pieces have been seen.
    pub outcome: Outcome,
}

impl Record {
    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn touch(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Follows changes to this record.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Notes a decision, for `azuremount explain`.
    pub fn note(&self, text: String) {
        let mut notes =
            self.notes.lock().unwrap_or_else(|held| held.into_inner());
        if notes.len() < NOTES {
            notes.push(text);
        }
    }

    /// The decisions so far, oldest first.
    pub fn notes(&self) -> Vec<String> {
        let notes = self.notes.lock().unwrap_or_else(|held| held.into_inner());
        notes.clone()
    }

    /// Who runs it.
    pub fn owner(&self) -> Owner {
        self.lock().owner.clone()
    }

    /// Hands it to another owner.
    pub fn set_owner(&self, owner: Owner) {
        let old = std::mem::replace(&mut self.lock().owner, owner.clone());
        if old != owner {
            self.touch();
        }
    }

    /// How far it has come.
    pub fn outcome(&self) -> Outcome {
        self.lock().outcome.clone()
    }

    /// How many pieces there are, in order and without a gap.
    pub fn len(&self) -> usize {
        self.lock().pieces.len()
    }

    /// True while there is no piece.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The answer so far.
    pub fn text(&self) -> String {
        self.lock().pieces.concat()
    }

    /// How many pieces callers may see.
    pub fn safe(&self) -> usize {
        self.lock().safe
    }

    /// Puts in a piece; returns how many the record has grown by.
    pub fn put(&self, offset: u64, text: &str) -> usize {
        let mut content = self.lock();
        let have = content.pieces.len() as u64;
        if offset < have || content.outcome != Outcome::Running {
            return 0;
        }
        if offset > have {
            let early = &mut content.early;
            let found = early.binary_search_by_key(&offset, |(at, _)| *at);
            if let Err(at) = found
                && early.len() < EARLY_PIECES
            {
                early.insert(at, (offset, text.to_owned()));
            }
            return 0;
        }
        content.pieces.push(text.to_owned());
        while let Some((at, _)) = content.early.first()
            && *at <= content.pieces.len() as u64
        {
            let (at, text) = content.early.remove(0);
            if at == content.pieces.len() as u64 {
                content.pieces.push(text);
            }
        }
        let grown = content.pieces.len() as u64 - have;
        drop(content);
        self.touch();
        grown as usize
    }

    /// True when a piece waits for one before it.
    pub fn has_gap(&self) -> bool {
        !self.lock().early.is_empty()
    }

    /// Forgets pieces that came early, as when their stream is given up.
    pub fn drop_early(&self) {
        self.lock().early.clear();
    }

    /// Ends it; the first end counts.
    pub fn finish(&self, now: u64, outcome: Outcome) {
        let mut content = self.lock();
        if content.outcome == Outcome::Running {
            content.outcome = outcome;
            content.ended_at = Some(now);
            content.early.clear();
        }
        drop(content);
        self.touch();
    }

    /// Lets callers see the first `pieces`, and the end if `end`.
    pub fn make_safe(&self, pieces: usize, end: bool) {
        let mut content = self.lock();
        let before = (content.safe, content.safe_end, content.accepted);
        content.safe = content.safe.max(pieces.min(content.pieces.len()));
        content.safe_end |= end;
        content.accepted = true;
        let after = (content.safe, content.safe_end, content.accepted);
        drop(content);
        // The keeper that marks pieces also watches the record: waking it for
        // nothing would have it mark them again, for ever.
        if after != before {
            self.touch();
        }
    }

    /// True once the buddy knows that the request was accepted.
    pub fn is_accepted(&self) -> bool {
        self.lock().accepted
    }

    /// What callers may see from `offset` on.
    pub fn view(&self, offset: usize) -> View {
        let content = self.lock();
        let from = offset.min(content.safe);
        let pieces = content.pieces[from..content.safe].to_vec();
        let all_seen = content.safe == content.pieces.len();
        let outcome = match content.safe_end && all_seen {
            true => content.outcome.clone(),
            false => Outcome::Running,
        };
        View { pieces, outcome }
    }

    /// Everything from `offset` on, safe or not, for the buddy.
    pub fn tail(&self, offset: usize) -> View {
        let content = self.lock();
        let from = offset.min(content.pieces.len());
        View {
            pieces: content.pieces[from..].to_vec(),
            outcome: content.outcome.clone(),
        }
    }
}

/// All requests known here.
#[derive(Debug, Default)]
pub struct Table(Mutex<Vec<Arc<Record>>>);

impl Table {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Record>>> {
        self.0.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// The request of that id.
    pub fn get(&self, id: &str) -> Option<Arc<Record>> {
        let records = self.lock();
        let at = position(&records, id, |record| record.id.as_str());
        at.ok().map(|at| records[at].clone())
    }

    /// Puts in a request, unless its id is taken: then that one, as `Err`.
    pub fn insert(&self, new: New<'_>) -> Result<Arc<Record>, Arc<Record>> {
        let mut records = self.lock();
        match position(&records, new.id, |record| record.id.as_str()) {
            Ok(at) => Err(records[at].clone()),
            Err(at) => {
                let record = Arc::new(new.record());
                records.insert(at, record.clone());
                Ok(record)
            }
        }
    }

    /// Takes a request out again: it was never accepted.
    pub fn remove(&self, id: &str) {
        self.lock().retain(|record| record.id != id);
    }

    /// The requests that `wanted` picks.
    pub fn select(
        &self,
        wanted: impl Fn(&Record) -> bool,
    ) -> Vec<Arc<Record>> {
        let records = self.lock();
        records.iter().filter(|record| wanted(record)).cloned().collect()
    }

    /// Drops requests that ended long ago, or the oldest when too many.
    pub fn prune(&self, now: u64) {
        let mut records = self.lock();
        let mut keep = KEEP_MS;
        loop {
            records.retain(|record| {
                let ended = record.lock().ended_at;
                ended.is_none_or(|at| now < at + keep)
            });
            if records.len() <= KEEP_RECORDS || keep < 1000 {
                return;
            }
            keep /= 2;
        }
    }
}

/// What a record starts from.
#[derive(Debug)]
pub struct New<'a> {
    /// Its key.
    pub id: &'a str,
    /// The team.
    pub team: &'a str,
    /// The model.
    pub service: &'a str,
    /// The caller's body.
    pub body: Bytes,
    /// By this entry's clock.
    pub deadline: u64,
    /// Who runs it.
    pub owner: Owner,
    /// The answer so far.
    pub pieces: Vec<String>,
}

impl New<'_> {
    fn record(self) -> Record {
        Record {
            id: self.id.to_owned(),
            team: self.team.to_owned(),
            service: self.service.to_owned(),
            body: self.body,
            deadline: self.deadline,
            content: Mutex::new(Content {
                pieces: self.pieces,
                early: Vec::new(),
                safe: 0,
                safe_end: false,
                accepted: false,
                outcome: Outcome::Running,
                owner: self.owner,
                ended_at: None,
            }),
            changed: watch::Sender::new(0),
            notes: Mutex::new(Vec::new()),
        }
    }
}
