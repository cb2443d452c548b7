//! The signals on which a daemon shuts down gracefully.
//!
//! SIGHUP is one of them: a daemon has no settings to reload, and the default
//! action would end the process without answering its accepted requests.

use std::{future::Future, io};

use tokio::signal::unix::{SignalKind, signal};

/// Returns a future that resolves at the first SIGTERM, SIGINT or SIGHUP.
///
/// # Errors
///
/// Returns an error if the handlers can't be installed.
pub fn stop() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            _ = hangup.recv() => {}
        }
    })
}
