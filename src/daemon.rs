//! Start-up of both daemons: version, settings and logging.

use std::process::ExitCode;

use crate::{
    logs,
    settings::{self, Errors, Logs},
};

/// Prints the version, or validates the settings and starts logging.
///
/// # Errors
///
/// Returns the code to exit with at once: 0 after printing the version, 2
/// after printing the errors in the settings.
pub fn prepare<S>(
    name: &str,
    version: bool,
    checked: impl FnOnce() -> Result<S, Errors>,
    logs_of: impl Fn(&S) -> &Logs,
) -> Result<S, ExitCode> {
    if version {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    let wrong = ExitCode::from(settings::EXIT_SETTINGS);
    let settings = checked().map_err(|errors| {
        eprint!("{errors}");
        wrong
    })?;
    let logs = logs_of(&settings);
    if let Err(error) = logs::open(logs.format, &logs.level) {
        eprintln!("--log-level: {error}");
        return Err(wrong);
    }
    Ok(settings)
}
