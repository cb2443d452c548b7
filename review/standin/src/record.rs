//! The record of a case: what was sent, answered and run, with the time.

use std::{fs, io, path::Path, sync::Mutex, time::Instant};

/// Lines with the time since the start of the case.
#[derive(Debug)]
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<String>>,
}

impl Default for Record {
    fn default() -> Record {
        Record { started_at: Instant::now(), lines: Mutex::default() }
    }
}

impl Record {
    /// Adds a line.
    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {}", text.as_ref());
        self.lines.lock().expect("no writer panics").push(line);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().expect("no writer panics");
        fs::write(path, lines.join("\n") + "\n")
    }
}
