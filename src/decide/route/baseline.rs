//! Baseline policies against which the cost policy is measured.

use rand::RngExt;

use super::{Pool, Replica, RouteRequest, is_eligible};

impl Pool {
    pub(super) fn draw_where(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
        is_candidate: impl Fn(usize, &Replica) -> bool,
    ) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.replicas.len())
            .filter(|&at| {
                let replica = &self.replicas[at];
                is_eligible(now, replica, request) && is_candidate(at, replica)
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.rng.random_range(0..candidates.len())])
    }

    pub(super) fn pick_next_in_turn(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        for _ in 0..self.replicas.len() {
            self.last_in_turn = (self.last_in_turn + 1) % self.replicas.len();
            if is_eligible(now, &self.replicas[self.last_in_turn], request) {
                return Some(self.last_in_turn);
            }
        }
        None
    }

    pub(super) fn pick_least_outstanding(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        let least = self
            .replicas
            .iter()
            .filter(|replica| is_eligible(now, replica, request))
            .map(|replica| replica.own_in_flight)
            .min()?;
        self.draw_where(now, request, |_, replica| {
            replica.own_in_flight == least
        })
    }

    pub(super) fn pick_less_loaded_of_two(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) -> Option<usize> {
        let first = self.draw_where(now, request, |_, _| true)?;
        let second = self
            .draw_where(now, request, |at, _| at != first)
            .unwrap_or(first);
        let load = |at: usize| {
            let replica = &self.replicas[at];
            (replica.reported_load + replica.own_change)
                .max(replica.own_in_flight as f32)
        };
        Some(if load(second) < load(first) { second } else { first })
    }
}
