//! Logs: short sentences, each with the prefix of the part that speaks.
//!
//! ```text
//! 2026-12-02T08:00:00Z  INFO control: Leads term 4.
//! ```

use std::{fmt, str::FromStr};

use tracing_subscriber::EnvFilter;

use crate::util::common;

common! {
    copy
    /// How a log line is written.
    pub enum Format {
        /// For people.
        Text,
        /// One JSON object a line.
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
/// When the filter can't be read, or logging was started before.
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
