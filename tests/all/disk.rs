//! The data folder: torn tails, damage, locks, full disks.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    path::PathBuf,
    process::{Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use azuremount::{
    control::{
        disk::{Disk, Error},
        raft::SavedState,
    },
    wire::{HardState, LogEntry, Membership, Snapshot},
};

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A folder that goes away with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("azuremount-disk-{}-{number}", std::process::id());
        Folder(std::env::temp_dir().join(name))
    }

    fn log(&self) -> PathBuf {
        self.0.join("log")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Opens the folder; its lock may linger for a moment.
///
/// Other tests start processes: between fork and exec a child shares this
/// process's open files, and with them the lock of a disk that is dropped
/// here meanwhile. The product itself starts no process.
fn open(folder: &Folder) -> Result<(Disk, SavedState), Error> {
    for _ in 0..500 {
        match Disk::open(&folder.0) {
            Err(Error::Io { doing: "lock", .. }) => {
                std::thread::sleep(std::time::Duration::from_millis(10));
            }
            opened => return opened,
        }
    }
    Disk::open(&folder.0)
}

fn entry(index: u64) -> LogEntry {
    LogEntry { index, term: 1, payload: format!("entry {index}").into() }
}

fn hard(term: u64) -> HardState {
    HardState { term, vote: 1, vote_incarnation: 7, commit: 0 }
}

fn write_ten(folder: &Folder) {
    let (mut disk, _) = open(folder).expect("a new folder");
    for index in 1..=10 {
        disk.append(Some(hard(index)), vec![entry(index)]).expect("a write");
    }
}

#[test]
fn what_was_appended_is_there_after_a_restart() {
    let folder = Folder::new();
    write_ten(&folder);
    let (disk, saved) = open(&folder).expect("a known folder");
    assert_eq!(saved.entries.len(), 10);
    assert_eq!(saved.hard_state, hard(10));
    let incarnation = disk.incarnation();
    drop(disk);
    let (disk, _) = open(&folder).expect("a known folder");
    assert_eq!(disk.incarnation(), incarnation);
}

#[test]
fn an_entry_whose_index_is_taken_replaces_the_tail() {
    let folder = Folder::new();
    write_ten(&folder);
    let (mut disk, _) = open(&folder).expect("a known folder");
    let new = LogEntry { index: 6, term: 2, payload: b"new".to_vec() };
    disk.append(None, vec![new]).expect("a write");
    drop(disk);
    let (_, saved) = open(&folder).expect("a known folder");
    let terms: Vec<u64> = saved.entries.iter().map(|one| one.term).collect();
    assert_eq!(terms, [1, 1, 1, 1, 1, 2]);
}

/// Symptom: a member does not start after a power cut. Sequence: the last
/// frame was written in part. Cause: a torn tail was taken for damage.
#[test]
fn a_torn_tail_is_cut_at_every_byte() {
    let folder = Folder::new();
    write_ten(&folder);
    let whole = fs::read(folder.log()).expect("the log");
    let frame = whole.len() / 10;
    for torn in 1..frame - 2 {
        fs::write(folder.log(), &whole[..whole.len() - torn]).expect("a cut");
        let (mut disk, saved) = open(&folder).expect("a torn tail");
        assert_eq!(saved.entries.len(), 9, "{torn} bytes torn off");
        disk.append(None, vec![entry(10)]).expect("a write behind the cut");
        drop(disk);
        let (_, saved) = open(&folder).expect("a mended log");
        assert_eq!(saved.entries.len(), 10);
    }
}

/// The file had grown before the power cut, its data had not been written.
#[test]
fn a_tail_of_zeros_is_cut() {
    let folder = Folder::new();
    write_ten(&folder);
    let mut log =
        OpenOptions::new().append(true).open(folder.log()).expect("the log");
    log.write_all(&[0; 5000]).expect("zeros");
    let (_, saved) = open(&folder).expect("zeros at the end");
    assert_eq!(saved.entries.len(), 10);
}

/// Symptom: acknowledged changes are gone after a restart. Sequence: a byte
/// in the middle of the log goes bad. Cause: everything behind the bad byte
/// was taken for a torn tail.
#[test]
fn damage_before_the_end_is_an_error_at_every_byte() {
    let folder = Folder::new();
    write_ten(&folder);
    let whole = fs::read(folder.log()).expect("the log");
    for at in 0..whole.len() * 9 / 10 - 12 {
        let mut bad = whole.clone();
        bad[at] ^= 0x41;
        fs::write(folder.log(), &bad).expect("a bad byte");
        let opened = open(&folder);
        assert!(
            matches!(opened, Err(Error::Damaged { .. })),
            "a bad byte {at} went unnoticed"
        );
    }
}

#[test]
fn a_snapshot_replaces_the_log_before_it() {
    let folder = Folder::new();
    write_ten(&folder);
    let (mut disk, _) = open(&folder).expect("a known folder");
    let snapshot = Snapshot {
        index: 8,
        term: 1,
        membership: Some(Membership::default()),
        state: b"state".to_vec(),
    };
    let left = [entry(9), entry(10)];
    disk.install(&snapshot, hard(3), &left).expect("a snapshot");
    disk.append(None, vec![entry(11)]).expect("a write");
    drop(disk);
    let (_, saved) = open(&folder).expect("a known folder");
    assert_eq!(saved.snapshot, Some(snapshot));
    assert_eq!(saved.entries, [entry(9), entry(10), entry(11)]);
    assert_eq!(saved.hard_state, hard(3));
}

/// The process died between putting the snapshot and the log in place.
#[test]
fn an_old_log_beside_a_new_snapshot_is_passed_over() {
    let folder = Folder::new();
    write_ten(&folder);
    let old = fs::read(folder.log()).expect("the log");
    let (mut disk, _) = open(&folder).expect("a known folder");
    let snapshot = Snapshot { index: 8, term: 1, ..Snapshot::default() };
    disk.install(&snapshot, hard(3), &[]).expect("a snapshot");
    drop(disk);
    fs::write(folder.log(), old).expect("the old log");
    let (_, saved) = open(&folder).expect("a known folder");
    assert_eq!(saved.entries, [entry(9), entry(10)]);
}

#[test]
fn a_second_process_can_not_open_the_folder() {
    let folder = Folder::new();
    let (_held, _) = open(&folder).expect("a new folder");
    let second = Disk::open(&folder.0);
    assert!(matches!(second, Err(Error::Io { doing: "lock", .. })));
}

/// A folder that lost its identity must not come back under a new name.
#[test]
fn a_log_without_an_identity_is_an_error() {
    let folder = Folder::new();
    write_ten(&folder);
    fs::remove_file(folder.0.join("identity")).expect("removed");
    let opened = open(&folder);
    assert!(matches!(opened, Err(Error::Damaged { .. })));
}

/// Symptom: a member with a full disk goes on and acknowledges what it did
/// not write. Sequence: the limit of a file's size is reached while changes
/// come in. The process must end with the exit code for its data folder, and
/// start again once there is room.
#[test]
fn a_full_disk_ends_the_process_honestly() {
    let folder = Folder::new();
    let listen = "127.0.0.1:0";
    // The signal that the limit brings is ignored, so that the write fails.
    let script = format!(
        "trap '' XFSZ; ulimit -f 1; exec {} --id 1 --listen {listen} \
         --members 1=127.0.0.1:9 --data-folder {} --heartbeat-ms 10 \
         --election-ms 50 --log-level error",
        env!("CARGO_BIN_EXE_azuremount-control"),
        folder.0.display()
    );
    // 800 bytes are there already; the first writes of the member, its
    // elections among them, reach the limit of one block.
    let (mut disk, _) = open(&folder).expect("a new folder");
    let member = azuremount::wire::Member {
        id: 1,
        incarnation: disk.incarnation(),
        address: "127.0.0.1:9".to_owned(),
        voter: true,
    };
    let list = azuremount::wire::change::Kind::Membership(
        azuremount::wire::Membership { members: vec![member] },
    );
    let first = LogEntry {
        index: 1,
        term: 1,
        payload: prost::Message::encode_to_vec(
            &azuremount::wire::Change::new(list),
        ),
    };
    let padding = LogEntry { index: 2, term: 1, payload: vec![7; 850] };
    disk.append(Some(hard(1)), vec![first, padding]).expect("a write");
    drop(disk);
    let output = Command::new("sh")
        .args(["-c", &script])
        .stdout(Stdio::null())
        .output()
        .expect("sh runs");
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{said}");
    assert!(said.contains("can't write"), "{said}");
    let (_, saved) = open(&folder).expect("a folder to go on with");
    assert_eq!(saved.entries.len(), 2);
}
