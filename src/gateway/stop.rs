//! The end of the requests of a stopping node.
//!
//! A process that stops can't wait for every answer. Shortly before its end,
//! callers whose requests have no answer yet are told whether these may have
//! run. A connection that only closes would leave that open, also for requests
//! that never ran.

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// When a gateway stops waiting for answers, once it is stopping.
#[derive(Debug)]
pub(super) struct Stop {
    ends_at: watch::Sender<Option<Instant>>,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop { ends_at: watch::Sender::new(None) }
    }
}

impl Stop {
    /// Makes all requests end at a time, those in flight too.
    pub fn set(&self, ends_at: Instant) {
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Returns a deadline that is not after the end.
    pub fn bound(&self, deadline: Instant) -> Instant {
        self.ends_at.borrow().map_or(deadline, |end| deadline.min(end))
    }

    /// Waits for the end, forever if the gateway isn't stopping.
    pub async fn wait(&self) {
        let mut ends_at = self.ends_at.subscribe();
        // The sender is not dropped while `self` is borrowed.
        let ends_at = ends_at.wait_for(Option::is_some).await;
        if let Some(ends_at) = ends_at.ok().and_then(|at| *at) {
            sleep_until(ends_at).await;
        }
    }
}
