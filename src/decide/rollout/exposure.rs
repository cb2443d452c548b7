//! A node's part of the requests that a new version gets.
//!
//! Each node counts the attempts that it sends to the service and those that
//! it sends to the new version, and keeps the latter within the share of the
//! former plus its part of the slack. The sum over all nodes holds without
//! communication between them, also while nodes restart or are cut off.
//!
//! Only half of the slack is divided among the nodes. The parts are rounded to
//! whole requests at random, so that their sum holds on average, and the other
//! half covers the deviation from it. A process that was not running at the
//! order has no part of the slack, as the one before may have used it.
//!
//! The share is kept by route as well, so that frequent routes do not take
//! the share of rare ones.

use super::Bounds;
use crate::util::position;

/// Part of the slack that is divided among the nodes.
const DIVIDED_SLACK: f64 = 0.5;

/// Attempts of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u64,
    exposed: u64,
}

/// What a node has sent since the order.
#[derive(Clone, Debug)]
pub struct Exposure {
    bounds: Bounds,
    step: u32,
    /// This node's part of the slack.
    slack: f64,
    /// Part of a request that is added before an allowance is rounded down.
    rounding: f64,
    /// Since the order.
    total: Count,
    /// Since the present step.
    in_step: Count,
    /// Since the order, by the hash of the route's name.
    routes: Vec<(u64, Count)>,
}

impl Exposure {
    /// Begins to count. `entries` is the number of nodes that share the slack,
    /// `None` if this node has no part. `rounding`, from 0 to 1, should be
    /// drawn at random.
    pub fn open(
        bounds: Bounds,
        entries: Option<usize>,
        rounding: f64,
    ) -> Exposure {
        let slack = entries.map_or(0.0, |entries| {
            bounds.slack * DIVIDED_SLACK / entries.max(1) as f64
        });
        Exposure {
            bounds,
            step: 0,
            slack,
            rounding,
            total: Count::default(),
            in_step: Count::default(),
            routes: Vec::new(),
        }
    }

    /// Begins a step. What was not used in earlier ones is lost.
    pub fn set_step(&mut self, step: u32) {
        if step != self.step {
            self.step = step;
            self.in_step = Count::default();
        }
    }

    /// Returns true if the new version may get one more attempt.
    pub fn allows(&self, route: u64) -> bool {
        let share = self.bounds.share_of(self.step);
        if share >= 1.0 {
            return true;
        }
        if self.step > 0 {
            let allowed = share * self.in_step.sent as f64 + self.rounding;
            return (self.in_step.exposed + 1) as f64 <= allowed;
        }
        let used = self.total.exposed + 1;
        let allowed =
            share * self.total.sent as f64 + self.slack + self.rounding;
        let on_route = self.route(route);
        let allowed_on_route =
            share * on_route.sent as f64 + 1.0 + self.slack / 2.0;
        used as f64 <= allowed
            && (on_route.exposed + 1) as f64 <= allowed_on_route
    }

    /// Counts an attempt.
    pub fn record(&mut self, route: u64, is_new: bool) {
        for count in self.counts(route) {
            count.sent += 1;
            count.exposed += u64::from(is_new);
        }
    }

    /// Takes back an attempt that has not arrived at a replica.
    pub fn take_back(&mut self, route: u64, is_new: bool) {
        for count in self.counts(route) {
            count.sent = count.sent.saturating_sub(1);
            count.exposed = count.exposed.saturating_sub(u64::from(is_new));
        }
    }

    /// Returns the attempts sent to the service, and to the new version.
    pub fn totals(&self) -> (u64, u64) {
        (self.total.sent, self.total.exposed)
    }

    fn route(&self, route: u64) -> Count {
        let at = position(&self.routes, &route, |(known, _)| known);
        at.map_or(Count::default(), |at| self.routes[at].1)
    }

    fn counts(&mut self, route: u64) -> [&mut Count; 3] {
        let at = position(&self.routes, &route, |(known, _)| known);
        let at = at.unwrap_or_else(|at| {
            self.routes.insert(at, (route, Count::default()));
            at
        });
        [&mut self.total, &mut self.in_step, &mut self.routes[at].1]
    }
}
