//! Counts the requests that began at each node, for usage reports.
//!
//! Each node counts its own requests by window and team and sends the totals,
//! which only grow. Duplicate, late and relayed datagrams therefore change
//! nothing, and the sum over all incarnations of all nodes is the correct
//! total.

use crate::{
    util::position,
    wire::{Began, Held, HeldWindow, RecordUsage, TeamCount},
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

/// Value of [`crate::wire::Gossip::counting`] of a node that counts no more
/// requests.
pub const COUNTS_NO_MORE: u64 = u64::MAX;

/// Counts of all nodes, by incarnation.
#[derive(Debug, Default)]
pub struct Counts {
    /// Sorted by node.
    began: Vec<Began>,
    /// Sorted by node.
    finals: Vec<Final>,
}

/// What an incarnation of a node has declared final.
#[derive(Debug)]
struct Final {
    node: u64,
    /// Windows of which this node has the final counts, sorted.
    windows: Vec<u64>,
    /// Set once the incarnation counts no more requests.
    has_stopped: bool,
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

    /// Records that a datagram with the counts `usage` of a node was sent
    /// while the node counted requests in the window `counting`.
    ///
    /// A datagram leaves out the oldest windows, whose counts may have been in
    /// datagrams that were lost.
    pub fn record_final(
        &mut self,
        node: u64,
        counting: u64,
        usage: &[RecordUsage],
    ) {
        if counting == 0 {
            return;
        }
        let at = match position(&self.finals, &node, |known| &known.node) {
            Ok(at) => at,
            Err(at) => {
                let windows = Vec::new();
                let known = Final { node, windows, has_stopped: false };
                self.finals.insert(at, known);
                at
            }
        };
        let known = &mut self.finals[at];
        let oldest = match usage.len() < REPORTED_WINDOWS {
            true => 0,
            false => usage[0].window,
        };
        let until = match counting {
            COUNTS_NO_MORE => {
                known.has_stopped = true;
                usage.last().map_or(0, |usage| usage.window + 1)
            }
            counting => counting,
        };
        for window in oldest.max(until.saturating_sub(RETAINED_WINDOWS))..until
        {
            if let Err(at) = known.windows.binary_search(&window) {
                known.windows.insert(at, window);
            }
        }
    }

    /// Returns true if this node has the final counts of an incarnation for a
    /// window.
    pub fn is_final(&self, node: u64, window: u64) -> bool {
        let at = position(&self.finals, &node, |known| &known.node);
        at.is_ok_and(|at| {
            let known = &self.finals[at];
            let is_past = || match position(&self.began, &node, |b| &b.node) {
                Ok(at) => {
                    let last = self.began[at].windows.last();
                    last.is_none_or(|usage| usage.window < window)
                }
                Err(_) => true,
            };
            known.windows.binary_search(&window).is_ok()
                || known.has_stopped && is_past()
        })
    }

    /// Returns the incarnations that have counts in a window or the one before.
    pub fn recent(&self, window: u64) -> impl Iterator<Item = u64> {
        let recent = window.saturating_sub(1)..=window;
        self.began.iter().filter_map(move |began| {
            let mut windows = began.windows.iter();
            windows
                .any(|usage| recent.contains(&usage.window))
                .then_some(began.node)
        })
    }

    /// Returns the requests of an incarnation that this node knows of.
    pub fn held(&self, node: u64) -> Option<Held> {
        let at = position(&self.began, &node, |began| &began.node).ok()?;
        Some(held(&self.began[at]))
    }

    /// Returns the requests that this node knows of for the incarnations that
    /// are `wanted` and have counts in the window `oldest` or later.
    pub fn all_held(
        &self,
        oldest: u64,
        wanted: impl Fn(u64) -> bool,
    ) -> Vec<Held> {
        let recent = self.began.iter().filter(|began| is_since(began, oldest));
        recent.filter(|began| wanted(began.node)).map(held).collect()
    }

    /// Returns true if another node holds all counts of an incarnation that
    /// this node has.
    pub fn is_covered_by(&self, theirs: &Held) -> bool {
        let at = position(&self.began, &theirs.node, |began| &began.node);
        at.is_ok_and(|at| lacking(&self.began[at], Some(theirs)).is_none())
    }

    /// Returns counts that a node lacks, given what it holds of the silent
    /// nodes that it knows of, in parts for one datagram each, at most
    /// `max_datagrams`. Counts of incarnations that it doesn't know of are
    /// returned only if these are `wanted` and have counts in the window
    /// `oldest` or later. The incarnations rotate with
    /// `number`.
    pub fn missing(
        &self,
        theirs: &[Held],
        number: u64,
        max_datagrams: usize,
        oldest: u64,
        wanted: impl Fn(u64) -> bool,
    ) -> Vec<Vec<Began>> {
        let known =
            |began: &Began| theirs.iter().find(|held| held.node == began.node);
        let (listed, others): (Vec<&Began>, Vec<&Began>) =
            self.began.iter().partition(|began| known(began).is_some());
        let listed = listed
            .into_iter()
            .filter_map(|began| lacking(began, known(began)));
        let others = others
            .into_iter()
            .filter(|began| is_since(began, oldest) && wanted(began.node));
        let others = others.filter_map(|began| lacking(began, None));
        let mut missing: Vec<Began> = listed.collect();
        let mut others: Vec<Began> = others.collect();
        let max_nodes = max_datagrams * RELAYED_NODES_PER_DATAGRAM;
        for part in [&mut missing, &mut others] {
            let count = part.len().max(1) as u64;
            let from = number.wrapping_mul(max_nodes as u64) % count;
            part.rotate_left(from as usize);
        }
        missing.extend(others);
        missing.truncate(max_nodes);
        let parts = missing.chunks(RELAYED_NODES_PER_DATAGRAM);
        parts.map(<[Began]>::to_vec).collect()
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

    /// Drops windows that are far from `current`, the window in which this node
    /// counts requests.
    ///
    /// The windows of other nodes don't matter: a node whose clock has jumped
    /// reports one that is to come. If this node's clock has jumped, the others
    /// send their counts again.
    pub fn expire(&mut self, current: u64) {
        let oldest = current.saturating_sub(RETAINED_WINDOWS);
        let retained = oldest..=current.saturating_add(RETAINED_WINDOWS);
        for began in &mut self.began {
            began.windows.retain(|usage| retained.contains(&usage.window));
        }
        self.began.retain(|began| !began.windows.is_empty());
        for known in &mut self.finals {
            known.windows.retain(|window| retained.contains(window));
        }
        let began = &self.began;
        self.finals.retain(|known| {
            !known.windows.is_empty()
                || position(began, &known.node, |began| &began.node).is_ok()
        });
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

fn is_since(began: &Began, oldest: u64) -> bool {
    began.windows.last().is_some_and(|usage| usage.window >= oldest)
}

fn held(began: &Began) -> Held {
    let windows = began
        .windows
        .iter()
        .map(|usage| HeldWindow { window: usage.window, total: total(usage) });
    Held { node: began.node, windows: windows.collect() }
}

/// Returns the newest windows whose counts another node lacks.
fn lacking(began: &Began, theirs: Option<&Held>) -> Option<Began> {
    let known = |window: u64| {
        let windows = theirs.map(|held| held.windows.as_slice());
        let mut windows = windows.unwrap_or_default().iter();
        windows.find(|held| held.window == window).map_or(0, |held| held.total)
    };
    let newest = latest(began, EXTENDED_REPORT_WINDOWS).into_iter();
    let windows: Vec<RecordUsage> =
        newest.filter(|usage| known(usage.window) < total(usage)).collect();
    (!windows.is_empty()).then_some(Began { node: began.node, windows })
}

fn latest(began: &Began, max_windows: usize) -> Vec<RecordUsage> {
    let skip = began.windows.len().saturating_sub(max_windows);
    began.windows[skip..].to_vec()
}

fn total(window: &RecordUsage) -> u64 {
    window.counts.iter().map(|count| count.count).sum()
}
