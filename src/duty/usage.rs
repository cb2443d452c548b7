//! Usage reports: how many requests of each team began in each window.
//!
//! A window's figure is put through the log before it is sent. Whoever
//! leads after that sends exactly the same figure again or nothing; a second
//! figure for the same window would be billed twice.

use std::time::Duration;

use tracing::{info, warn};

use super::{Options, Tools};
use crate::{
    util::wall_ms,
    wire::{Change, RecordUsage, UsageOutcome, change, outcome},
};

/// From the end of a window until its figure is made, in ms: what nodes count
/// takes a few datagrams to arrive, and the clock a few to agree on.
const SETTLE_MS: u64 = 2500;
/// From the end of a window until its figure is made all the same when some
/// nodes are not heard, in ms. Reports are due ten seconds after it; what is
/// left is for the log and a platform that is slow.
const LAST_MS: u64 = 7000;
/// Windows that a new leader looks back on.
const LOOK_BACK: u64 = 3;
/// How long putting a figure through the log may take.
const RECORD_LIMIT: Duration = Duration::from_millis(800);

/// What one leader has reported.
#[derive(Debug, Default)]
pub struct Reporter {
    /// The next window to report.
    next: Option<u64>,
}

impl Reporter {
    /// Reports the windows that are due.
    pub async fn look(&mut self, options: &Options, tools: &Tools) {
        let now = tools.timer.now();
        let offset = tools.mesh.table().clock_offset(now);
        let wall = (wall_ms() as i64 + offset).max(0) as u64;
        let settle_ms = match tools.mesh.table().hears_all_entries(now) {
            true => SETTLE_MS,
            false => LAST_MS,
        };
        let settled = wall.saturating_sub(settle_ms) / options.window_ms;
        let from = self.next.unwrap_or(settled.saturating_sub(LOOK_BACK));
        for window in from..settled {
            if !self.report(options, tools, window).await {
                return;
            }
            self.next = Some(window + 1);
        }
    }

    /// Reports one window; false to try again later.
    async fn report(
        &self,
        options: &Options,
        tools: &Tools,
        window: u64,
    ) -> bool {
        let counted = tools.mesh.table().usage(window);
        if counted.counts.is_empty() {
            return true;
        }
        let Some(recorded) = record(tools, counted).await else {
            return false;
        };
        // Asked again right before the call: recording takes its time.
        let Some(badge) = tools.badge(options).await else { return false };
        match tools.cloud.report(&badge, &recorded).await {
            Ok(()) => {
                info!(
                    target: "duty",
                    window,
                    fence = badge.fence,
                    teams = recorded.counts.len(),
                    "Reported usage."
                );
                true
            }
            Err(error) => {
                warn!(
                    target: "duty",
                    window,
                    fence = badge.fence,
                    "Usage not reported: {error}."
                );
                false
            }
        }
    }
}

/// Puts a figure through the log; gives the one that was recorded first.
async fn record(tools: &Tools, usage: RecordUsage) -> Option<RecordUsage> {
    let window = usage.window;
    let change = Change::new(change::Kind::RecordUsage(usage));
    match tools.control.propose(change, RECORD_LIMIT, true).await {
        Ok(outcome) => match outcome.kind {
            Some(outcome::Kind::Usage(UsageOutcome { recorded })) => recorded,
            _ => None,
        },
        Err(error) => {
            warn!(target: "duty", window, "Usage not recorded: {error}.");
            None
        }
    }
}
