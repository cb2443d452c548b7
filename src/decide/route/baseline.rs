//! Baseline policies against which the cost policy is measured.

use rand::RngExt;

use super::{Pool, Replica, RouteRequest, is_excluded};

impl Pool {
    pub(super) fn draw_where(
        &mut self,
        request: &RouteRequest<'_>,
        is_eligible: impl Fn(usize, &Replica) -> bool,
    ) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.replicas.len())
            .filter(|&at| {
                let replica = &self.replicas[at];
                !is_excluded(replica, request) && is_eligible(at, replica)
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.rng.random_range(0..candidates.len())])
    }

    pub(super) fn pick_next_in_turn(
        &mut self,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        for _ in 0..self.replicas.len() {
            self.last_in_turn = (self.last_in_turn + 1) % self.replicas.len();
            if !is_excluded(&self.replicas[self.last_in_turn], request) {
                return Some(self.last_in_turn);
            }
        }
        None
    }

    pub(super) fn pick_least_outstanding(
        &mut self,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        let least = self
            .replicas
            .iter()
            .filter(|replica| !is_excluded(replica, request))
            .map(|replica| replica.own_in_flight)
            .min()?;
        self.draw_where(request, |_, replica| replica.own_in_flight == least)
    }

    pub(super) fn pick_less_loaded_of_two(
        &mut self,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        let first = self.draw_where(request, |_, _| true)?;
        let second =
            self.draw_where(request, |at, _| at != first).unwrap_or(first);
        let load = |at: usize| {
            let replica = &self.replicas[at];
            (replica.reported_load + replica.own_change)
                .max(replica.own_in_flight as f32)
        };
        Some(if load(second) < load(first) { second } else { first })
    }
}
