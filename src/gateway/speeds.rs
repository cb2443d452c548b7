//! Exchanges evidence about the speed of replicas, and logs what it shows.

use tracing::info;

use super::{Gateway, fleet::Fleet};
use crate::{
    decide::speed::{Sender, Turn},
    metrics::Service,
    wire::Peer,
};

impl Gateway {
    /// Records another node's evidence about the speed of replicas.
    pub fn receive_speeds(&self, from: &Peer, speeds: &[u64]) {
        let sender = Sender { ip: from.ip, incarnation: from.incarnation };
        let now = self.timer.now();
        self.fleet().record_speed_reports(now, sender, speeds);
    }

    /// Logs the replicas that have become slow or well, and counts them.
    pub(super) fn observe_speeds(&self, now: u64, fleet: &mut Fleet) {
        for (service, replica, turn, evidence) in fleet.take_speed_turns() {
            let text = match turn {
                Turn::Slow => "Replica is considered slow.",
                Turn::Well => "Replica is no longer considered slow.",
            };
            info!(
                target: "gateway",
                service, replica,
                speed = evidence.speed,
                own_samples = evidence.own_samples,
                heard_samples = evidence.heard_samples,
                figure = evidence.figure,
                trust = evidence.trust,
                age_ms = evidence.age_ms,
                "{text}"
            );
        }
        for (service, count) in fleet.slow_counts(now) {
            let labels = Service { service: service.to_owned() };
            let gauge = self.metrics.slow_replicas.get_or_create(&labels);
            gauge.set(count as i64);
        }
    }
}
