//! Counts the requests that began at each node, for usage reports.
//!
//! Each node counts its own requests by window and team and sends the totals,
//! which only grow. Duplicate, late and relayed datagrams therefore change
//! nothing, and the sum over all incarnations of all nodes is the correct
//! total.

use crate::{
    util::position,
    wire::{Began, RecordUsage, TeamCount},
};

/// Windows in each load report: the current window and the one that has just
/// ended, while the current one lasts.
const TOLD_WINDOWS: usize = 2;
/// Windows in an extended report, for nodes that have missed the regular ones.
const TOLD_AGAIN: usize = 4;
/// Every fourth load report is an extended one.
const AGAIN: u64 = 4;
/// Windows that are retained. Every usage report is due within fewer.
const REMEMBERED_WINDOWS: u64 = 8;
/// Other nodes whose counts are relayed in one datagram.
const RELAYED: usize = 3;

/// Counts of all nodes, by incarnation.
#[derive(Debug, Default)]
pub struct Counts {
    /// Sorted by node.
    began: Vec<Began>,
}

impl Counts {
    /// Counts one request that began at `node`.
    pub fn count(&mut self, node: u64, window: u64, team: &str) {
        let at = match position(&self.began, &node, |one| &one.node) {
            Ok(at) => at,
            Err(at) => {
                self.began.insert(at, Began { node, windows: Vec::new() });
                at
            }
        };
        let windows = &mut self.began[at].windows;
        let at = match position(windows, &window, |one| &one.window) {
            Ok(at) => at,
            Err(at) => {
                windows.insert(at, RecordUsage { window, counts: Vec::new() });
                at
            }
        };
        add(&mut windows[at].counts, team, 1);
    }

    /// Merges the counts that a node has sent.
    pub fn note(&mut self, new: Began) {
        if new.windows.is_empty() {
            return;
        }
        let at = match position(&self.began, &new.node, |one| &one.node) {
            Ok(at) => at,
            Err(at) => {
                self.began.insert(at, new);
                return;
            }
        };
        for window in new.windows {
            // The totals only grow, so a lower total comes from an older
            // datagram that was overtaken by a newer one.
            let windows = &mut self.began[at].windows;
            let found = position(windows, &window.window, |one| &one.window);
            match found {
                Ok(at) if total(&windows[at]) < total(&window) => {
                    windows[at] = window;
                }
                Ok(_) => {}
                Err(at) => windows.insert(at, window),
            }
        }
    }

    /// Returns the requests that began in a window at all nodes, by team.
    pub fn sum(&self, window: u64) -> RecordUsage {
        let mut counts: Vec<TeamCount> = Vec::new();
        let windows = self.began.iter().flat_map(|began| &began.windows);
        for count in windows
            .filter(|one| one.window == window)
            .flat_map(|one| &one.counts)
        {
            add(&mut counts, &count.team, count.count);
        }
        RecordUsage { window, counts }
    }

    /// Returns the newest windows of one node for load report `report_number`.
    pub fn latest_of(&self, node: u64, time: u64) -> Vec<RecordUsage> {
        let most = match time.is_multiple_of(AGAIN) {
            true => TOLD_AGAIN,
            false => TOLD_WINDOWS,
        };
        let at = position(&self.began, &node, |one| &one.node);
        at.map(|at| latest(&self.began[at], most)).unwrap_or_default()
    }

    /// Returns the newest windows of some nodes other than `own`. The nodes
    /// rotate with `report_number`, because a whole data centre of them may be
    /// silent.
    pub fn others(
        &self,
        own: u64,
        time: u64,
        wanted: impl Fn(u64) -> bool,
    ) -> Vec<Began> {
        let wanted: Vec<&Began> = self
            .began
            .iter()
            .filter(|began| began.node != own && wanted(began.node))
            .collect();
        let from = time as usize * RELAYED % wanted.len().max(1);
        let (before, after) = wanted.split_at(from);
        after
            .iter()
            .chain(before)
            .take(RELAYED)
            .map(|began| Began {
                node: began.node,
                windows: latest(began, TOLD_AGAIN),
            })
            .collect()
    }

    /// Drops windows for which all usage reports have been made.
    pub fn expire(&mut self) {
        let windows = self.began.iter().flat_map(|began| &began.windows);
        let newest = windows.map(|one| one.window).max().unwrap_or(0);
        let oldest = newest.saturating_sub(REMEMBERED_WINDOWS);
        for began in &mut self.began {
            began.windows.retain(|one| one.window >= oldest);
        }
        self.began.retain(|began| !began.windows.is_empty());
    }
}

fn add(counts: &mut Vec<TeamCount>, team: &str, count: u64) {
    match position(counts, team, |one| one.team.as_str()) {
        Ok(at) => counts[at].count += count,
        Err(at) => {
            counts.insert(at, TeamCount { team: team.to_owned(), count });
        }
    }
}

fn latest(began: &Began, most: usize) -> Vec<RecordUsage> {
    let skip = began.windows.len().saturating_sub(most);
    began.windows[skip..].to_vec()
}

fn total(window: &RecordUsage) -> u64 {
    window.counts.iter().map(|one| one.count).sum()
}
