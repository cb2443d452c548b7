//! The policies that cost is measured against.

use rand::RngExt;

use super::{Ask, Pool, Replica, avoided};

impl Pool {
    pub(super) fn draw(
        &mut self,
        ask: &Ask<'_>,
        fits: impl Fn(usize, &Replica) -> bool,
    ) -> Option<usize> {
        let open: Vec<usize> = (0..self.replicas.len())
            .filter(|&at| {
                let replica = &self.replicas[at];
                !avoided(replica, ask) && fits(at, replica)
            })
            .collect();
        if open.is_empty() {
            return None;
        }
        Some(open[self.rng.random_range(0..open.len())])
    }

    pub(super) fn next_in_turn(&mut self, ask: &Ask<'_>) -> Option<usize> {
        for _ in 0..self.replicas.len() {
            self.turn = (self.turn + 1) % self.replicas.len();
            if !avoided(&self.replicas[self.turn], ask) {
                return Some(self.turn);
            }
        }
        None
    }

    pub(super) fn least_outstanding(
        &mut self,
        ask: &Ask<'_>,
    ) -> Option<usize> {
        let least = self
            .replicas
            .iter()
            .filter(|replica| !avoided(replica, ask))
            .map(|replica| replica.own)
            .min()?;
        self.draw(ask, |_, replica| replica.own == least)
    }

    pub(super) fn power_of_two(&mut self, ask: &Ask<'_>) -> Option<usize> {
        let first = self.draw(ask, |_, _| true)?;
        let second = self.draw(ask, |at, _| at != first).unwrap_or(first);
        let load = |at: usize| {
            let replica = &self.replicas[at];
            (replica.reported + replica.change).max(replica.own as f32)
        };
        Some(if load(second) < load(first) { second } else { first })
    }
}
