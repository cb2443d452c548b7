//! The data folder of a control member.
//!
//! ```text
//! identity    the incarnation of this folder, written once
//! log         frames: term and vote, and entries behind the snapshot
//! snapshot    one frame: the newest snapshot
//! ```
//!
//! A frame is one batch: everything that one sync makes last. It starts with
//! a header of its length, a CRC of the payload and a CRC of the header
//! itself. A batch is a single frame so that a write torn by a power cut can
//! only ever be the last frame of the file.
//!
//! # Torn or damaged
//!
//! Opening tells the two apart. A last frame that ends early, or fails its
//! CRC at the very end of the file, or a tail of zeros, was never
//! acknowledged: it is cut. Anything wrong before that was acknowledged once,
//! and going on without it could lose a change: opening fails with
//! [`Error::Damaged`], and an operator has to empty the folder, after which
//! the member comes back as a learner.

use std::{
    error, fmt,
    fs::{self, File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use prost::Message;

use super::raft::SavedState;
use crate::wire::{DiskBatch, HardState, LogEntry, Snapshot};

const HEADER: usize = 12;

/// Why the data folder can't be used.
#[derive(Debug)]
pub enum Error {
    /// The system refused a file operation: a full disk, a failed sync.
    Io {
        /// What was being done.
        doing: &'static str,
        /// Which file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file holds something that was never written so.
    Damaged {
        /// Which file.
        path: PathBuf,
        /// At which byte.
        offset: u64,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io { doing, path, source } => {
                write!(out, "can't {doing} {}: {source}", path.display())
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

/// An open data folder. One process holds it at a time.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    snapshot_bytes: u64,
    incarnation: u64,
}

impl Disk {
    /// Opens the folder, making it if need be, and reads what it holds.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when a file can't be read or made, or another process
    /// holds the folder; [`Error::Damaged`] as the module head says.
    pub fn open(folder: &Path) -> Result<(Disk, SavedState), Error> {
        fs::create_dir_all(folder).map_err(failed("make", folder))?;
        let incarnation = open_identity(folder)?;
        let snapshot = read_snapshot(&folder.join("snapshot"))?;
        let path = folder.join("log");
        let mut log = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(failed("open", &path))?;
        // Two processes on one folder would interleave their frames. The
        // lock goes away with the process, however it ends.
        log.try_lock().map_err(|held| Error::Io {
            doing: "lock",
            path: path.clone(),
            source: held.into(),
        })?;
        let mut bytes = Vec::new();
        log.read_to_end(&mut bytes).map_err(failed("read", &path))?;
        let (batches, end) = read_frames(&path, &bytes)?;
        let saved = replay(batches, snapshot);
        log.set_len(end as u64).map_err(failed("cut", &path))?;
        log.seek(SeekFrom::Start(end as u64))
            .map_err(failed("seek in", &path))?;
        log.sync_all().map_err(failed("sync", &path))?;
        sync_folder(folder)?;
        let disk = Disk {
            folder: folder.to_owned(),
            log,
            log_bytes: end as u64,
            snapshot_bytes: size_of_file(&folder.join("snapshot")),
            incarnation,
        };
        Ok((disk, saved))
    }

    /// The random number made with this folder.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The size of the log, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// The size of the newest snapshot, in bytes; 0 without one.
    pub fn snapshot_bytes(&self) -> u64 {
        self.snapshot_bytes
    }

    /// Makes a batch last: returns once it is synced.
    ///
    /// # Errors
    ///
    /// After any error the folder must not be written again: a failed sync
    /// may have dropped the pages, and a second one would report success.
    pub fn append(
        &mut self,
        hard: Option<HardState>,
        entries: Vec<LogEntry>,
    ) -> Result<(), Error> {
        let frame = encode_frame(&DiskBatch { hard, entries });
        let path = self.folder.join("log");
        self.log.write_all(&frame).map_err(failed("write", &path))?;
        self.log.sync_data().map_err(failed("sync", &path))?;
        self.log_bytes += frame.len() as u64;
        Ok(())
    }

    /// Puts a snapshot in place, and cuts the log to what is behind it.
    ///
    /// The snapshot is renamed into place before the log is: after a crash
    /// between the two, the old log's entries below it are passed over.
    pub fn install(
        &mut self,
        snapshot: &Snapshot,
        hard: HardState,
        entries: &[LogEntry],
    ) -> Result<(), Error> {
        let frame = encode_frame(snapshot);
        self.replace("snapshot", &frame)?;
        self.snapshot_bytes = frame.len() as u64;
        let batch = DiskBatch { hard: Some(hard), entries: entries.to_vec() };
        let frame = encode_frame(&batch);
        let log = self.replace("log", &frame)?;
        log.try_lock().map_err(|held| Error::Io {
            doing: "lock",
            path: self.folder.join("log"),
            source: held.into(),
        })?;
        self.log = log;
        self.log_bytes = frame.len() as u64;
        Ok(())
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> Result<File, Error> {
        replace(&self.folder, name, bytes)
    }
}

/// How long a file is that may not be there.
fn size_of_file(path: &Path) -> u64 {
    fs::metadata(path).map_or(0, |file| file.len())
}

/// Writes a new file, syncs it, renames it into place, syncs the folder.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<File, Error> {
    let path = folder.join(name);
    let new = folder.join(format!("{name}.new"));
    let mut file = File::create(&new).map_err(failed("make", &new))?;
    file.write_all(bytes).map_err(failed("write", &new))?;
    file.sync_all().map_err(failed("sync", &new))?;
    fs::rename(&new, &path).map_err(failed("rename", &path))?;
    sync_folder(folder)?;
    Ok(file)
}

fn failed<'a>(
    doing: &'static str,
    path: &'a Path,
) -> impl FnOnce(io::Error) -> Error + use<'a> {
    let path = path.to_owned();
    move |source| Error::Io { doing, path, source }
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    let opened = File::open(folder).map_err(failed("open", folder))?;
    opened.sync_all().map_err(failed("sync", folder))
}

fn open_identity(folder: &Path) -> Result<u64, Error> {
    let path = folder.join("identity");
    match fs::read(&path) {
        Ok(bytes) => {
            let bytes: [u8; 8] = bytes.try_into().map_err(|_| {
                Error::Damaged { path: path.clone(), offset: 0 }
            })?;
            Ok(u64::from_le_bytes(bytes))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            // A log without an identity would let a member that forgot who
            // it was vote a second time under a new name's log.
            let log = folder.join("log");
            if log.exists() {
                return Err(Error::Damaged { path, offset: 0 });
            }
            let incarnation = crate::util::random_id();
            replace(folder, "identity", &incarnation.to_le_bytes())?;
            Ok(incarnation)
        }
        Err(source) => Err(Error::Io { doing: "read", path, source }),
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
            return Err(Error::Io { doing: "read", path, source });
        }
    };
    let damaged = || Error::Damaged { path: path.to_owned(), offset: 0 };
    match next_frame(&bytes) {
        Frame::Whole(payload) => {
            Snapshot::decode(payload).map(Some).map_err(|_| damaged())
        }
        Frame::Torn | Frame::Damaged => Err(damaged()),
    }
}

enum Frame<'a> {
    Whole(&'a [u8]),
    Torn,
    Damaged,
}

fn encode_frame(message: &impl Message) -> Vec<u8> {
    let payload = message.encode_to_vec();
    let mut frame = Vec::with_capacity(HEADER + payload.len());
    frame.extend((payload.len() as u32).to_le_bytes());
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(crc32fast::hash(&frame[..8]).to_le_bytes());
    frame.extend(payload);
    frame
}

fn next_frame(bytes: &[u8]) -> Frame<'_> {
    if bytes.len() < HEADER || bytes.iter().all(|byte| *byte == 0) {
        return Frame::Torn;
    }
    let word = |at: usize| {
        u32::from_le_bytes([
            bytes[at],
            bytes[at + 1],
            bytes[at + 2],
            bytes[at + 3],
        ])
    };
    if crc32fast::hash(&bytes[..8]) != word(8) {
        return Frame::Damaged;
    }
    let end = HEADER + word(0) as usize;
    if end > bytes.len() {
        return Frame::Torn;
    }
    let payload = &bytes[HEADER..end];
    if crc32fast::hash(payload) == word(4) {
        Frame::Whole(payload)
    } else if end == bytes.len() {
        Frame::Torn
    } else {
        Frame::Damaged
    }
}

/// Reads all frames; returns them and where the whole ones end.
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
            Frame::Whole(payload) => {
                let batch =
                    DiskBatch::decode(payload).map_err(|_| damaged())?;
                batches.push(batch);
                at += HEADER + payload.len();
            }
            Frame::Torn => break,
            Frame::Damaged => return Err(damaged()),
        }
    }
    Ok((batches, at))
}

fn replay(batches: Vec<DiskBatch>, snapshot: Option<Snapshot>) -> SavedState {
    let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let mut saved = SavedState { snapshot, ..SavedState::default() };
    for batch in batches {
        if let Some(hard) = batch.hard {
            saved.hard_state = hard;
        }
        for entry in batch.entries {
            if entry.index <= base {
                continue;
            }
            saved.entries.truncate((entry.index - base - 1) as usize);
            // An entry behind a gap belongs to a log that a snapshot
            // replaced before the process died.
            if entry.index == base + saved.entries.len() as u64 + 1 {
                saved.entries.push(entry);
            }
        }
    }
    saved
}
