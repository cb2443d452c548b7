//! Records of model requests: order of pieces, visibility to callers,
//! notification of watchers.

use std::sync::Arc;

use azuremount::entry::requests::{NewRecord, Outcome, Owner, Record, Table};

fn record() -> Arc<Record> {
    let new = NewRecord {
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

/// Guards against a busy loop: an entry without a backup entry used a whole
/// core while a request ran. Its replication task made all pieces visible,
/// was woken by its own change notification and repeated this, because
/// watchers were notified even when nothing had changed.
#[test]
fn unchanged_records_notify_no_watcher() {
    let record = record();
    record.insert_piece(0, "a");
    record.make_visible(1, false);
    let changes = record.watch();
    record.make_visible(1, false);
    record.make_visible(usize::MAX, false);
    record.set_owner(Owner::Here);
    assert!(!changes.has_changed().expect("a record"));
    record.insert_piece(1, "b");
    assert!(changes.has_changed().expect("a record"));
}

#[test]
fn pieces_are_ordered_by_offset() {
    let record = record();
    assert_eq!(record.insert_piece(1, "b"), 0);
    assert!(record.has_gap());
    assert_eq!(record.insert_piece(0, "a"), 2);
    assert_eq!(record.insert_piece(0, "x"), 0);
    assert_eq!(record.text(), "ab");
}

/// Callers see only pieces that the backup entry has, and the outcome only
/// when all pieces are visible.
#[test]
fn callers_see_only_visible_pieces() {
    let record = record();
    record.insert_piece(0, "a");
    record.insert_piece(1, "b");
    record.finish(5, Outcome::Finished);
    assert!(record.view(0).pieces.is_empty());
    record.make_visible(1, true);
    let view = record.view(0);
    assert_eq!(view.pieces, ["a"]);
    assert_eq!(view.outcome, Outcome::Running);
    record.make_visible(2, true);
    assert_eq!(record.view(1).pieces, ["b"]);
    assert_eq!(record.view(1).outcome, Outcome::Finished);
}
