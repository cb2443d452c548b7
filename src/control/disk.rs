//! The data folder of a control member.
//!
//! ```text
//! identity    the incarnation of this folder, written once
//! log         frames: term, vote, and the entries after the snapshot
//! snapshot    one frame: the newest snapshot
//! ```
//!
//! A frame holds one batch: all data that one sync makes durable. The frame
//! header consists of the payload length, a CRC of the payload and a CRC of
//! the two preceding header fields. Each batch is a single frame, so that a
//! write torn by a power failure can only affect the last frame of the file.
//!
//! # Torn writes and damage
//!
//! [`Disk::open`] distinguishes a torn write from damage. Any part of the last
//! frame may be missing after a power failure, also of its header: a frame may
//! begin in a sector that was not written and end in one that was. A last
//! frame that is incomplete or fails its CRC at the end of the file, and an
//! invalid header that no intact frame follows, were never acknowledged; they
//! are truncated. An invalid frame before the end of the log was acknowledged,
//! and dropping it could lose a change. In this case opening fails with
//! [`Error::Damaged`]. An operator has to empty the folder; the member then
//! rejoins as a learner.

use std::{
    error, fmt,
    fs::{self, File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use prost::Message;

use super::raft::SavedState;
use crate::wire::{DiskBatch, HardState, LogEntry, Snapshot};

/// Length of a frame header: three 32-bit little-endian integers.
const HEADER_BYTES: usize = 12;

/// An error that makes the data folder unusable.
#[derive(Debug)]
pub enum Error {
    /// A file operation failed, such as a write to a full disk or a sync.
    Io {
        /// The operation that failed, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file holds data that this program did not write.
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the first invalid frame, in bytes.
        offset: u64,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io { operation, path, source } => {
                write!(out, "can't {operation} {}: {source}", path.display())
            }
            Error::Damaged { path, offset } => write!(
                out,
                "{} is damaged at byte {offset}, before its end; empty the \
                 data folder to rejoin as a learner",
                path.display()
            ),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Error::Io { source, .. } => Some(source),
            Error::Damaged { .. } => None,
        }
    }
}

/// An open data folder, locked against use by a second process.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    snapshot_bytes: u64,
    incarnation: u64,
}

impl Disk {
    /// Opens the folder, creates it if it does not exist, and reads its files.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when a file can't be read or created or another
    /// process holds the lock, and [`Error::Damaged`] as the module
    /// documentation describes.
    pub fn open(folder: &Path) -> Result<(Disk, SavedState), Error> {
        fs::create_dir_all(folder).map_err(io_error("create", folder))?;
        let incarnation = read_or_create_identity(folder)?;
        let snapshot = read_snapshot(&folder.join("snapshot"))?;
        let path = folder.join("log");
        let mut log = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(io_error("open", &path))?;
        // Two processes on one folder would interleave their frames. The
        // operating system releases the lock when the process ends, also
        // after a crash.
        log.try_lock().map_err(|error| Error::Io {
            operation: "lock",
            path: path.clone(),
            source: error.into(),
        })?;
        let mut bytes = Vec::new();
        log.read_to_end(&mut bytes).map_err(io_error("read", &path))?;
        let (batches, end) = read_frames(&path, &bytes)?;
        let (saved, is_half_installed) = replay(batches, snapshot);
        log.set_len(end as u64).map_err(io_error("truncate", &path))?;
        log.seek(SeekFrom::Start(end as u64))
            .map_err(io_error("seek in", &path))?;
        log.sync_all().map_err(io_error("sync", &path))?;
        sync_folder(folder)?;
        let mut disk = Disk {
            folder: folder.to_owned(),
            log,
            log_bytes: end as u64,
            snapshot_bytes: file_size(&folder.join("snapshot")),
            incarnation,
        };
        if is_half_installed {
            disk.replace_log(saved.hard_state, &saved.entries)?;
        }
        Ok((disk, saved))
    }

    /// Returns the incarnation: a random number drawn when the folder was
    /// created.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the size of the log, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Returns the size of the newest snapshot, in bytes; 0 without one.
    pub fn snapshot_bytes(&self) -> u64 {
        self.snapshot_bytes
    }

    /// Appends a batch to the log and syncs it.
    ///
    /// # Errors
    ///
    /// After any error the folder must not be written again: after a failed
    /// sync the kernel may have dropped the dirty pages, and the next sync
    /// would report success.
    pub fn append(
        &mut self,
        hard: Option<HardState>,
        entries: Vec<LogEntry>,
    ) -> Result<(), Error> {
        let frame = encode_frame(&DiskBatch { hard, entries });
        let path = self.folder.join("log");
        self.log.write_all(&frame).map_err(io_error("write", &path))?;
        self.log.sync_data().map_err(io_error("sync", &path))?;
        self.log_bytes += frame.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot, and replaces the log by `entries`, which follow
    /// the snapshot.
    ///
    /// The new snapshot is renamed into place before the new log. After a
    /// crash between the two renames, opening the folder completes the
    /// replacement.
    pub fn install(
        &mut self,
        snapshot: &Snapshot,
        hard: HardState,
        entries: &[LogEntry],
    ) -> Result<(), Error> {
        let frame = encode_frame(snapshot);
        self.replace("snapshot", &frame)?;
        self.snapshot_bytes = frame.len() as u64;
        self.replace_log(hard, entries)
    }

    fn replace_log(
        &mut self,
        hard: HardState,
        entries: &[LogEntry],
    ) -> Result<(), Error> {
        let batch = DiskBatch { hard: Some(hard), entries: entries.to_vec() };
        let frame = encode_frame(&batch);
        let log = self.replace("log", &frame)?;
        log.try_lock().map_err(|error| Error::Io {
            operation: "lock",
            path: self.folder.join("log"),
            source: error.into(),
        })?;
        self.log = log;
        self.log_bytes = frame.len() as u64;
        Ok(())
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> Result<File, Error> {
        replace(&self.folder, name, bytes)
    }
}

/// Returns the length of a file in bytes, 0 if it does not exist.
fn file_size(path: &Path) -> u64 {
    fs::metadata(path).map_or(0, |file| file.len())
}

/// Replaces a file atomically: writes and syncs a new file, renames it into
/// place and syncs the folder.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<File, Error> {
    let path = folder.join(name);
    let new = folder.join(format!("{name}.new"));
    let mut file = File::create(&new).map_err(io_error("create", &new))?;
    file.write_all(bytes).map_err(io_error("write", &new))?;
    file.sync_all().map_err(io_error("sync", &new))?;
    fs::rename(&new, &path).map_err(io_error("rename", &path))?;
    sync_folder(folder)?;
    Ok(file)
}

fn io_error<'a>(
    operation: &'static str,
    path: &'a Path,
) -> impl FnOnce(io::Error) -> Error + use<'a> {
    let path = path.to_owned();
    move |source| Error::Io { operation, path, source }
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    let opened = File::open(folder).map_err(io_error("open", folder))?;
    opened.sync_all().map_err(io_error("sync", folder))
}

fn read_or_create_identity(folder: &Path) -> Result<u64, Error> {
    let path = folder.join("identity");
    match fs::read(&path) {
        Ok(bytes) => {
            let bytes: [u8; 8] = bytes.try_into().map_err(|_| {
                Error::Damaged { path: path.clone(), offset: 0 }
            })?;
            Ok(u64::from_le_bytes(bytes))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            // With a new identity on an existing log, this member could vote
            // a second time under another incarnation.
            let log = folder.join("log");
            if log.exists() {
                return Err(Error::Damaged { path, offset: 0 });
            }
            let incarnation = crate::util::random_id();
            replace(folder, "identity", &incarnation.to_le_bytes())?;
            Ok(incarnation)
        }
        Err(source) => Err(Error::Io { operation: "read", path, source }),
    }
}

fn read_snapshot(path: &Path) -> Result<Option<Snapshot>, Error> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return Ok(None);
        }
        Err(source) => {
            let path = path.to_owned();
            return Err(Error::Io { operation: "read", path, source });
        }
    };
    let damaged = || Error::Damaged { path: path.to_owned(), offset: 0 };
    match next_frame(&bytes) {
        Frame::Intact(payload) => {
            Snapshot::decode(payload).map(Some).map_err(|_| damaged())
        }
        Frame::Torn | Frame::Damaged => Err(damaged()),
    }
}

enum Frame<'a> {
    Intact(&'a [u8]),
    Torn,
    Damaged,
}

fn encode_frame(message: &impl Message) -> Vec<u8> {
    let payload = message.encode_to_vec();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend((payload.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(crc32fast::hash(&frame[..8]).to_le_bytes());
    frame.extend(payload);
    frame
}

fn next_frame(bytes: &[u8]) -> Frame<'_> {
    let Some((length, checksum)) = read_header(bytes) else {
        return match has_intact_frame(bytes) {
            true => Frame::Damaged,
            false => Frame::Torn,
        };
    };
    let end = HEADER_BYTES + length;
    if end > bytes.len() {
        return Frame::Torn;
    }
    let payload = &bytes[HEADER_BYTES..end];
    if crc32fast::hash(payload) == checksum {
        Frame::Intact(payload)
    } else if end == bytes.len() {
        Frame::Torn
    } else {
        Frame::Damaged
    }
}

/// Returns the length and the CRC of the payload if the header is intact.
fn read_header(bytes: &[u8]) -> Option<(usize, u32)> {
    let header = bytes.first_chunk::<HEADER_BYTES>()?;
    let read_u32 = |at: usize| {
        u32::from_le_bytes([
            header[at],
            header[at + 1],
            header[at + 2],
            header[at + 3],
        ])
    };
    let is_intact = crc32fast::hash(&header[..8]) == read_u32(8);
    is_intact.then(|| (read_u32(0) as usize, read_u32(4)))
}

/// Whether an intact frame begins anywhere in `bytes`.
fn has_intact_frame(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| {
        let Some((length, checksum)) = read_header(&bytes[at..]) else {
            return false;
        };
        let payload = bytes.get(at + HEADER_BYTES..);
        let payload = payload.and_then(|rest| rest.get(..length));
        // No batch is empty.
        length > 0
            && payload.is_some_and(|bytes| crc32fast::hash(bytes) == checksum)
    })
}

/// Decodes all intact frames; returns their batches and the offset after
/// the last one.
fn read_frames(
    path: &Path,
    bytes: &[u8],
) -> Result<(Vec<DiskBatch>, usize), Error> {
    let mut batches = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let damaged =
            || Error::Damaged { path: path.to_owned(), offset: at as u64 };
        match next_frame(&bytes[at..]) {
            Frame::Intact(payload) => {
                let batch =
                    DiskBatch::decode(payload).map_err(|_| damaged())?;
                batches.push(batch);
                at += HEADER_BYTES + payload.len();
            }
            Frame::Torn => break,
            Frame::Damaged => return Err(damaged()),
        }
    }
    Ok((batches, at))
}

/// Returns the state that the batches and the snapshot result in, and whether
/// the log still has entries that the snapshot covers.
///
/// The latter is so after a crash between the renames of
/// [`Disk::install`]. The entries after the snapshot are then kept only if
/// the log agrees with the snapshot's last entry. Others were replaced, or
/// contradict the snapshot: they are of an older term, and with one of them as
/// its last entry the member would vote for a log that lacks an acknowledged
/// change.
fn replay(
    batches: Vec<DiskBatch>,
    snapshot: Option<Snapshot>,
) -> (SavedState, bool) {
    let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let base_term = snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
    let mut hard_state = HardState::default();
    let mut entries: Vec<LogEntry> = Vec::new();
    for batch in batches {
        hard_state = batch.hard.unwrap_or(hard_state);
        for entry in batch.entries {
            let first = entries.first().map_or(entry.index, |old| old.index);
            let position = entry.index.checked_sub(first);
            match position.map(|position| position as usize) {
                Some(at) if at <= entries.len() => entries.truncate(at),
                // The entries before a gap belong to a log that a snapshot
                // replaced before the process crashed.
                _ => entries.clear(),
            }
            entries.push(entry);
        }
    }
    let first = entries.first().map_or(base + 1, |entry| entry.index);
    let is_half_installed = first <= base;
    if is_half_installed {
        let agrees = entries
            .iter()
            .any(|entry| entry.index == base && entry.term == base_term);
        entries.retain(|entry| agrees && entry.index > base);
    } else if first > base + 1 {
        entries.clear();
    }
    (SavedState { hard_state, snapshot, entries }, is_half_installed)
}
