//! Tests of the data folder: torn writes, damage, locks, full disks.

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

static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

/// A folder that is removed at the end of the test.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> TempFolder {
        let number = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("azuremount-disk-{}-{number}", std::process::id());
        TempFolder(std::env::temp_dir().join(name))
    }

    fn log(&self) -> PathBuf {
        self.0.join("log")
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Opens the folder, and retries while it is still locked.
///
/// Other tests start processes. Between fork and exec, a child shares this
/// process's open files and with them the lock of a disk that this test drops
/// at that time. The daemons themselves start no processes.
fn open(folder: &TempFolder) -> Result<(Disk, SavedState), Error> {
    for _ in 0..500 {
        match Disk::open(&folder.0) {
            Err(Error::Io { operation: "lock", .. }) => {
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

fn write_ten_entries(folder: &TempFolder) {
    let (mut disk, _) = open(folder).expect("a new folder");
    for index in 1..=10 {
        disk.append(Some(hard(index)), vec![entry(index)]).expect("a write");
    }
}

#[test]
fn appended_entries_survive_a_restart() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let (disk, saved) = open(&folder).expect("a known folder");
    assert_eq!(saved.entries.len(), 10);
    assert_eq!(saved.hard_state, hard(10));
    let incarnation = disk.incarnation();
    drop(disk);
    let (disk, _) = open(&folder).expect("a known folder");
    assert_eq!(disk.incarnation(), incarnation);
}

#[test]
fn an_entry_with_an_existing_index_replaces_the_tail() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let (mut disk, _) = open(&folder).expect("a known folder");
    let new = LogEntry { index: 6, term: 2, payload: b"new".to_vec() };
    disk.append(None, vec![new]).expect("a write");
    drop(disk);
    let (_, saved) = open(&folder).expect("a known folder");
    let terms: Vec<u64> =
        saved.entries.iter().map(|entry| entry.term).collect();
    assert_eq!(terms, [1, 1, 1, 1, 1, 2]);
}

/// Guards against a member that does not start after a power failure because
/// a partly written last frame is treated as damage.
#[test]
fn a_frame_torn_at_any_byte_is_truncated() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let whole = fs::read(folder.log()).expect("the log");
    let frame = whole.len() / 10;
    for torn in 1..frame - 2 {
        fs::write(folder.log(), &whole[..whole.len() - torn])
            .expect("a truncated log");
        let (mut disk, saved) = open(&folder).expect("a torn tail");
        assert_eq!(saved.entries.len(), 9, "{torn} bytes torn off");
        disk.append(None, vec![entry(10)])
            .expect("a write after the truncation");
        drop(disk);
        let (_, saved) = open(&folder).expect("a repaired log");
        assert_eq!(saved.entries.len(), 10);
    }
}

/// A power failure can leave a file extended with its data not yet written.
#[test]
fn a_tail_of_zeros_is_truncated() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let mut log =
        OpenOptions::new().append(true).open(folder.log()).expect("the log");
    log.write_all(&[0; 5000]).expect("zeros");
    let (_, saved) = open(&folder).expect("zeros at the end");
    assert_eq!(saved.entries.len(), 10);
}

/// Guards against the loss of acknowledged changes when a byte in the middle
/// of the log is corrupted and all data after it is treated as a torn write.
#[test]
fn damage_before_the_end_is_an_error_at_every_byte() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let whole = fs::read(folder.log()).expect("the log");
    for at in 0..whole.len() * 9 / 10 - 12 {
        let mut corrupted = whole.clone();
        corrupted[at] ^= 0x41;
        fs::write(folder.log(), &corrupted).expect("a corrupted byte");
        let opened = open(&folder);
        assert!(
            matches!(opened, Err(Error::Damaged { .. })),
            "corruption of byte {at} was not detected"
        );
    }
}

#[test]
fn a_snapshot_replaces_the_log_before_it() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
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

/// Simulates a crash between the renames of the snapshot and the log.
#[test]
fn old_log_entries_that_a_new_snapshot_covers_are_skipped() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
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
    let folder = TempFolder::new();
    let (_held, _) = open(&folder).expect("a new folder");
    let second = Disk::open(&folder.0);
    assert!(matches!(second, Err(Error::Io { operation: "lock", .. })));
}

/// A folder that lost its identity must not get a new incarnation.
#[test]
fn a_log_without_an_identity_is_an_error() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    fs::remove_file(folder.0.join("identity")).expect("removed");
    let opened = open(&folder);
    assert!(matches!(opened, Err(Error::Damaged { .. })));
}

/// Guards against a member with a full disk that continues and acknowledges
/// data it did not write. The member reaches its file size limit while it
/// writes. The process must exit with the code for data folder errors, and
/// the folder must be usable again once there is space.
#[test]
fn a_full_disk_ends_the_process_with_an_error() {
    let folder = TempFolder::new();
    let listen = "127.0.0.1:0";
    // SIGXFSZ is ignored, so that the write fails with an error.
    let script = format!(
        "trap '' XFSZ; ulimit -f 1; exec {} --id 1 --listen {listen} \
         --members 1=127.0.0.1:9 --data-folder {} --heartbeat-ms 10 \
         --election-ms 50 --log-level error",
        env!("CARGO_BIN_EXE_azuremount-control"),
        folder.0.display()
    );
    // The log already holds over 800 bytes. The first writes of the member,
    // including those of its elections, reach the limit of one block.
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
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{stderr}");
    assert!(stderr.contains("can't write"), "{stderr}");
    let (_, saved) = open(&folder).expect("a usable folder");
    assert_eq!(saved.entries.len(), 2);
}

/// Returns the offset of the last frame of a log.
fn last_frame(bytes: &[u8]) -> usize {
    let mut at = 0;
    loop {
        let length: [u8; 4] = bytes[at..at + 4].try_into().expect("a header");
        let next = at + 12 + u32::from_le_bytes(length) as usize;
        if next == bytes.len() {
            return at;
        }
        at = next;
    }
}

/// Guards against a member that never starts again after a power failure
/// because a last frame of which only some sectors were written, so that its
/// header is invalid, is treated as damage. With it a majority is lost if
/// other disks are lost at the same time.
#[test]
fn a_last_frame_of_which_any_part_is_missing_is_truncated() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let whole = fs::read(folder.log()).expect("the log");
    let start = last_frame(&whole);
    for from in start..whole.len() {
        for to in [from + 1, from + 5, start + 12, whole.len()] {
            if to <= from || to > whole.len() {
                continue;
            }
            let mut torn = whole.clone();
            torn[from..to].fill(0);
            if torn == whole {
                continue;
            }
            fs::write(folder.log(), &torn).expect("a torn log");
            let opened = open(&folder);
            let (mut disk, saved) = opened.unwrap_or_else(|error| {
                panic!("bytes {from} to {to} missing: {error}")
            });
            assert_eq!(saved.entries.len(), 9, "{from} to {to} missing");
            disk.append(None, vec![entry(10)]).expect("a write");
            drop(disk);
            let (_, saved) = open(&folder).expect("a repaired log");
            assert_eq!(saved.entries.len(), 10);
        }
    }
}

/// Guards against a member that votes for a log without an acknowledged
/// change. It stops between the renames of a snapshot and the log, and an
/// entry that was replaced before the snapshot, and has an older term, becomes
/// its last one again.
#[test]
fn replaced_entries_stay_replaced_after_a_half_installed_snapshot() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let (mut disk, _) = open(&folder).expect("a known folder");
    let new = LogEntry { index: 8, term: 2, payload: b"new".to_vec() };
    disk.append(Some(hard(11)), vec![new]).expect("a write");
    let old = fs::read(folder.log()).expect("the log");
    let snapshot = Snapshot { index: 8, term: 2, ..Snapshot::default() };
    disk.install(&snapshot, hard(11), &[]).expect("a snapshot");
    drop(disk);
    fs::write(folder.log(), old).expect("the old log");
    let (_, saved) = open(&folder).expect("a known folder");
    assert_eq!(saved.entries, []);
}

/// Guards against a member whose log continues with entries that contradict
/// its snapshot. It receives the snapshot from a leader of a newer term and
/// stops between the renames of the snapshot and the log.
#[test]
fn entries_that_contradict_a_half_installed_snapshot_are_dropped() {
    let folder = TempFolder::new();
    write_ten_entries(&folder);
    let old = fs::read(folder.log()).expect("the log");
    let (mut disk, _) = open(&folder).expect("a known folder");
    let snapshot = Snapshot { index: 8, term: 5, ..Snapshot::default() };
    disk.install(&snapshot, hard(11), &[]).expect("a snapshot");
    drop(disk);
    fs::write(folder.log(), old).expect("the old log");
    let (mut disk, saved) = open(&folder).expect("a known folder");
    assert_eq!(saved.entries, []);
    let new = LogEntry { index: 9, term: 5, payload: b"new".to_vec() };
    disk.append(None, vec![new.clone()]).expect("a write");
    drop(disk);
    let (_, saved) = open(&folder).expect("a known folder");
    assert_eq!(saved.entries, [new]);
    assert_eq!(saved.hard_state, hard(10));
}
