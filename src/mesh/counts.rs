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
const REPORTED_WINDOWS: usize = 2;
/// Windows in an extended report, for nodes that have missed the regular ones.
const EXTENDED_REPORT_WINDOWS: usize = 4;
/// Interval between extended reports, in load reports.
const EXTENDED_REPORT_INTERVAL: u64 = 4;
/// Windows that are retained. Every usage report is due within fewer.
const RETAINED_WINDOWS: u64 = 8;
/// Other nodes whose counts are relayed in one datagram.
const RELAYED_NODES_PER_DATAGRAM: usize = 3;

/// Counts of all nodes, by incarnation.
#[derive(Debug, Default)]
pub struct Counts {
    /// Sorted by node.
    began: Vec<Began>,
}

impl Counts {
    /// Counts one request that began at `node`.
    pub fn count_request(&mut self, node: u64, window: u64, team: &str) {
        let at = match position(&self.began, &node, |began| &began.node) {
            Ok(at) => at,
            Err(at) => {
                self.began.insert(at, Began { node, windows: Vec::new() });
                at
            }
        };
        let windows = &mut self.began[at].windows;
        let at = match position(windows, &window, |usage| &usage.window) {
            Ok(at) => at,
            Err(at) => {
                windows.insert(at, RecordUsage { window, counts: Vec::new() });
                at
            }
        };
        add(&mut windows[at].counts, team, 1);
    }

    /// Merges the counts that a node has sent.
    pub fn merge(&mut self, new: Began) {
        if new.windows.is_empty() {
            return;
        }
        let at = match position(&self.began, &new.node, |began| &began.node) {
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
            let found =
                position(windows, &window.window, |usage| &usage.window);
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
            .filter(|usage| usage.window == window)
            .flat_map(|usage| &usage.counts)
        {
            add(&mut counts, &count.team, count.count);
        }
        RecordUsage { window, counts }
    }

    /// Returns the newest windows of one node for load report `report_number`.
    pub fn latest_of(
        &self,
        node: u64,
        report_number: u64,
    ) -> Vec<RecordUsage> {
        let max_windows =
            match report_number.is_multiple_of(EXTENDED_REPORT_INTERVAL) {
                true => EXTENDED_REPORT_WINDOWS,
                false => REPORTED_WINDOWS,
            };
        let at = position(&self.began, &node, |began| &began.node);
        at.map(|at| latest(&self.began[at], max_windows)).unwrap_or_default()
    }

    /// Returns the newest windows of some nodes other than `own`. The nodes
    /// rotate with `report_number`, because a whole data centre of them may be
    /// silent.
    pub fn relayed(
        &self,
        own: u64,
        report_number: u64,
        wanted: impl Fn(u64) -> bool,
    ) -> Vec<Began> {
        let wanted: Vec<&Began> = self
            .began
            .iter()
            .filter(|began| began.node != own && wanted(began.node))
            .collect();
        let from = report_number as usize * RELAYED_NODES_PER_DATAGRAM
            % wanted.len().max(1);
        let (before, after) = wanted.split_at(from);
        after
            .iter()
            .chain(before)
            .take(RELAYED_NODES_PER_DATAGRAM)
            .map(|began| Began {
                node: began.node,
                windows: latest(began, EXTENDED_REPORT_WINDOWS),
            })
            .collect()
    }

    /// Drops windows for which all usage reports have been made.
    pub fn expire(&mut self) {
        let windows = self.began.iter().flat_map(|began| &began.windows);
        let newest = windows.map(|usage| usage.window).max().unwrap_or(0);
        let oldest = newest.saturating_sub(RETAINED_WINDOWS);
        for began in &mut self.began {
            began.windows.retain(|usage| usage.window >= oldest);
        }
        self.began.retain(|began| !began.windows.is_empty());
    }
}

fn add(counts: &mut Vec<TeamCount>, team: &str, count: u64) {
    match position(counts, team, |count| count.team.as_str()) {
        Ok(at) => counts[at].count += count,
        Err(at) => {
            counts.insert(at, TeamCount { team: team.to_owned(), count });
        }
    }
}

fn latest(began: &Began, max_windows: usize) -> Vec<RecordUsage> {
    let skip = began.windows.len().saturating_sub(max_windows);
    began.windows[skip..].to_vec()
}

fn total(window: &RecordUsage) -> u64 {
    window.counts.iter().map(|count| count.count).sum()
}
