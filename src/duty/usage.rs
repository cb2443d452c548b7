//! Usage reports: the number of requests of each team that began in each
//! window.
//!
//! A window's counts are committed to the log before they are reported. Every
//! later leader reports exactly the same counts again or nothing. Reporting
//! other counts for the same window would bill it twice.

use std::time::Duration;

use tracing::{info, warn};

use super::{Context, Options};
use crate::{
    mesh::table::Table,
    util::wall_ms,
    wire::{Change, RecordUsage, UsageOutcome, change, outcome},
};

/// Time from the end of a window until its counts are summed, in ms. The
/// nodes' counts take a few datagrams to arrive, and the clocks a few to
/// agree.
const MIN_SETTLE_MS: u64 = 2500;
/// Time from the end of a window until its counts are summed even though some
/// nodes are silent, in ms. Reports are due ten seconds after the end of the
/// window; the rest is left for the log and a slow platform.
const MAX_SETTLE_MS: u64 = 7000;
/// Number of past windows that a new leader reports again.
const LOOK_BACK_WINDOWS: u64 = 3;
/// Timeout of committing a window's counts to the log.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reports usage, and remembers which windows this leader has reported.
#[derive(Debug, Default)]
pub struct Reporter {
    /// The next window to report.
    next: Option<u64>,
}

impl Reporter {
    /// Reports the windows that are due.
    pub async fn report_due_windows(
        &mut self,
        options: &Options,
        context: &Context,
    ) {
        let now = context.timer.now();
        let offset = context.mesh.table().clock_offset(now);
        let wall_time_ms = (wall_ms() as i64 + offset).max(0) as u64;
        let length_ms = options.window_ms;
        let settled_by = |settle_ms: u64| {
            wall_time_ms.saturating_sub(settle_ms) / length_ms
        };
        let oldest =
            settled_by(MAX_SETTLE_MS).saturating_sub(LOOK_BACK_WINDOWS);
        let from = self.next.unwrap_or(oldest);
        for window in from..settled_by(MIN_SETTLE_MS) {
            let is_settled = {
                let table = context.mesh.table();
                is_settled(&table, now, wall_time_ms, window, length_ms)
            };
            if !is_settled {
                return;
            }
            if !self.report(options, context, window).await {
                return;
            }
            self.next = Some(window + 1);
        }
    }

    /// Reports one window. Returns false if the report has to be retried.
    async fn report(
        &self,
        options: &Options,
        context: &Context,
        window: u64,
    ) -> bool {
        let now = context.timer.now();
        let (counted, nodes_missing) = {
            let table = context.mesh.table();
            let missing = table.nodes_with_missing_counts(now, window);
            (table.usage(window), missing)
        };
        if counted.counts.is_empty() {
            return true;
        }
        let Some(recorded) = record(context, counted).await else {
            return false;
        };
        // Checked again right before the call, because committing takes time.
        let Some(token) = context.token(options).await else { return false };
        match context.cloud.report(&token, &recorded).await {
            Ok(()) => {
                info!(
                    target: "duty",
                    window,
                    fence = token.fence,
                    teams = recorded.counts.len(),
                    nodes_missing,
                    "Reported usage."
                );
                true
            }
            Err(error) => {
                warn!(
                    target: "duty",
                    window,
                    fence = token.fence,
                    "Usage not reported: {error}."
                );
                false
            }
        }
    }
}

/// Returns true if the counts of a window that ended `MIN_SETTLE_MS` ago can
/// be summed: all nodes that may have some have sent their final ones, or the
/// report can't wait any longer.
pub fn is_settled(
    table: &Table,
    now: u64,
    wall_ms: u64,
    window: u64,
    window_ms: u64,
) -> bool {
    let end_ms = (window + 1) * window_ms;
    if wall_ms < end_ms + MIN_SETTLE_MS {
        return false;
    }
    wall_ms >= end_ms + MAX_SETTLE_MS
        || table.hears_all_entries(now)
            && table.nodes_with_missing_counts(now, window) == 0
}

/// Commits a window's counts to the log. Returns the counts that were
/// committed first for that window.
async fn record(context: &Context, usage: RecordUsage) -> Option<RecordUsage> {
    let window = usage.window;
    let change = Change::new(change::Kind::RecordUsage(usage));
    match context.control.propose(change, COMMIT_TIMEOUT, true).await {
        Ok(outcome) => match outcome.kind {
            Some(outcome::Kind::Usage(UsageOutcome { recorded })) => recorded,
            _ => None,
        },
        Err(error) => {
            warn!(target: "duty", window, "Usage not committed: {error}.");
            None
        }
    }
}
