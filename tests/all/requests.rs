//! Records of model requests: pieces, what callers may see, who is woken.

use std::sync::Arc;

use azuremount::entry::requests::{New, Outcome, Owner, Record, Table};

fn record() -> Arc<Record> {
    let new = New {
        id: "one",
        team: "red",
        service: "model",
        body: "{}".into(),
        deadline: 1000,
        owner: Owner::Here,
        pieces: Vec::new(),
    };
    Table::default().insert(new).expect("a new id")
}

/// Symptom: an entry without a second one to copy to takes a whole core as
/// long as a request runs. Sequence: its keeper marks all pieces as safe, is
/// woken by its own mark, and marks them again. Cause: marking woke everybody
/// also when nothing had changed.
#[test]
fn a_record_that_did_not_change_wakes_nobody() {
    let record = record();
    record.put(0, "a");
    record.make_safe(1, false);
    let changes = record.watch();
    record.make_safe(1, false);
    record.make_safe(usize::MAX, false);
    record.set_owner(Owner::Here);
    assert!(!changes.has_changed().expect("a record"));
    record.put(1, "b");
    assert!(changes.has_changed().expect("a record"));
}

#[test]
fn pieces_are_matched_by_offset() {
    let record = record();
    assert_eq!(record.put(1, "b"), 0);
    assert!(record.has_gap());
    assert_eq!(record.put(0, "a"), 2);
    assert_eq!(record.put(0, "x"), 0);
    assert_eq!(record.text(), "ab");
}

/// Callers see only what the buddy has; the end only when all is seen.
#[test]
fn callers_see_what_is_safe() {
    let record = record();
    record.put(0, "a");
    record.put(1, "b");
    record.finish(5, Outcome::Finished);
    assert!(record.view(0).pieces.is_empty());
    record.make_safe(1, true);
    let view = record.view(0);
    assert_eq!(view.pieces, ["a"]);
    assert_eq!(view.outcome, Outcome::Running);
    record.make_safe(2, true);
    assert_eq!(record.view(1).pieces, ["b"]);
    assert_eq!(record.view(1).outcome, Outcome::Finished);
}
