//! The signals that ask a daemon to stop in order.

use std::{future::Future, io};

use tokio::signal::unix::{SignalKind, signal};

/// Resolves at the first SIGTERM or SIGINT from now on.
///
/// # Errors
///
/// When the handlers can't be installed.
pub fn stop() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
