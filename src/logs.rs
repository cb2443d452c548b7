//! Logging: each line is a short sentence with the name of the component.
//!
//! ```text
//! 2026-12-02T08:00:00Z  INFO control: Became leader of term 4.
//! ```

use std::{
    fmt,
    io::{self, Write},
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::Duration,
};

use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

use crate::util::common;

common! {
    copy
    /// Format of the log lines.
    pub enum Format {
        /// Text for people.
        Text,
        /// One JSON object per line.
        Json,
    }
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("{text:?} is neither text nor json")),
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Format::Text => "text",
            Format::Json => "json",
        })
    }
}

/// Starts logging to standard error, for the whole process.
///
/// `level` is a filter such as `info` or `warn,control=debug`.
///
/// # Errors
///
/// Returns an error if the filter is invalid or logging has already been
/// started.
pub fn open(format: Format, level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level)
        .map_err(|error| format!("{level:?} is no log filter: {error}"))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let started = match format {
        Format::Text => builder.with_ansi(false).try_init(),
        Format::Json => builder.json().try_init(),
    };
    started.map_err(|error| format!("can't start logging: {error}"))
}

/// Maximum number of lines that wait to be written: some seconds of logging.
const MAX_WAITING_LINES: usize = 2048;
/// Maximum number of lines written in a second: three times what a node logs
/// when it refuses all requests. Further lines would only repeat these.
const MAX_LINES_PER_SECOND: u64 = 300;
/// Interval between two writes, so that each write contains many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Starts logging JSON lines to standard output, on a separate thread.
///
/// Logging never blocks: when the queue is full, lines are dropped, and the
/// next batch ends with the number of dropped lines.
///
/// # Errors
///
/// Returns an error if the filter is invalid, the thread can't be started, or
/// logging has already been started.
pub fn open_lines(level: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(level)
        .map_err(|error| format!("{level:?} is no log filter: {error}"))?;
    let (queue, waiting) = sync_channel(MAX_WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let lines = Lines { queue, dropped: dropped.clone() };
    std::thread::Builder::new()
        .name("logs".into())
        .spawn(move || write_lines(&waiting, &dropped))
        .map_err(|error| format!("can't start the log thread: {error}"))?;
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(lines)
        .try_init()
        .map_err(|error| format!("can't start logging: {error}"))
}

/// Sends lines to the thread that writes them.
struct Lines {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// One line, sent when dropped.
struct Line<'a> {
    lines: &'a Lines,
    text: Vec<u8>,
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line { lines: self, text: Vec::new() }
    }
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let text = std::mem::take(&mut self.text);
        if let Err(TrySendError::Full(_)) = self.lines.queue.try_send(text) {
            self.lines.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut second = std::time::Instant::now();
    let mut written = 0;
    while let Ok(first) = waiting.recv() {
        if second.elapsed() >= Duration::from_secs(1) {
            second = std::time::Instant::now();
            written = 0;
        }
        let mut batch = Vec::new();
        for line in std::iter::once(first).chain(waiting.try_iter()) {
            if written < MAX_LINES_PER_SECOND {
                batch.extend_from_slice(&line);
                written += 1;
            } else {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = format!("{{\"dropped_lines\":{missing}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // A failure can't be reported: standard output is the only log.
        let _ = io::stdout().write_all(&batch);
        std::thread::sleep(WRITE_INTERVAL);
    }
}
