//! The signals that ask a daemon to stop in order.
//!
//! SIGHUP is one of them: a daemon has no settings to read again, and a process
//! that it ends leaves the requests that it has accepted without an answer.

use std::{future::Future, io};

use tokio::signal::unix::{SignalKind, signal};

/// Resolves at the first SIGTERM, SIGINT or SIGHUP from now on.
///
/// # Errors
///
/// When the handlers can't be installed.
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
