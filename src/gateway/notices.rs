//! What replicas say in their answers about further requests of this node.
//!
//! A replica may reject a request and ask this node to send it nothing for a
//! time, and it may announce that it leaves. Both are kept in the fleet, whose
//! routers then select other replicas.

use http::HeaderValue;
use tracing::{info, warn};

use super::{
    Gateway,
    dialect::{AnswerInfo, Backoff, Limit},
    forward::AcceptedRequest,
    refusal::id_text,
};
use crate::{
    backoff::NEVER,
    mesh::table::{self, Table},
    util::wall_ms,
};

impl Gateway {
    /// Returns the wall time, corrected by the clocks of the other nodes, in
    /// ms.
    pub(super) fn corrected_wall_ms(&self, table: &Table) -> u64 {
        let wall = wall_ms() as i64 + table.clock_offset(self.timer.now());
        wall.max(0) as u64
    }
}

impl AcceptedRequest {
    /// Records what an answer of a replica says about further requests.
    ///
    /// `retry_after` is the header that the backoff was read from.
    pub(super) fn record_notices(
        &self,
        replica: &str,
        answer: &AnswerInfo,
        retry_after: Option<&HeaderValue>,
    ) {
        // Such an answer may be another replica's.
        if !answer.matches || answer.wrong_replica {
            return;
        }
        let request = id_text(self.request_info.id.as_ref());
        self.record_brittle(replica, request, answer);
        let metrics = &self.gateway.metrics;
        match answer.backoff {
            Backoff::None => {}
            Backoff::Ms(backoff_ms) => {
                metrics.backoffs.inc();
                info!(
                    target: "gateway",
                    replica, request, backoff_ms,
                    "Replica requested a backoff."
                );
                let until = self.now().saturating_add(backoff_ms);
                self.record_backoff(replica, until);
            }
            Backoff::Unreadable => {
                metrics.unreadable.inc();
                warn!(
                    target: "gateway",
                    replica, request, value = ?retry_after,
                    "Can't read the backoff in a response."
                );
            }
        }
        if answer.is_leaving {
            metrics.leaving_answers.inc();
            self.record_departure(replica, request);
        }
    }

    /// Records how many rejections a second a replica bears.
    fn record_brittle(
        &self,
        replica: &str,
        request: &str,
        answer: &AnswerInfo,
    ) {
        let rejections_per_s = match answer.brittle {
            Limit::PerSecond(rate) => Some(rate),
            // A rejection may leave out what the replica bears.
            Limit::None if answer.not_run => return,
            Limit::None => None,
            Limit::Unreadable => {
                self.gateway.metrics.unreadable.inc();
                warn!(
                    target: "gateway",
                    replica, request,
                    "Can't read how many rejections a replica bears."
                );
                return;
            }
        };
        let mut fleet = self.gateway.fleet();
        if fleet.record_brittle(&self.service, replica, rejections_per_s) {
            info!(
                target: "gateway",
                replica, request, rejections_per_s,
                "Rejections that a replica bears changed."
            );
        }
    }

    /// Records that a replica leaves, here and for the other nodes.
    pub(super) fn record_departure(&self, replica: &str, request: &str) {
        // Heartbeats may be lost, and the replica's next one may still say
        // that it is ready. This node keeps to the announcement by itself.
        if !self.record_backoff(replica, NEVER) {
            return;
        }
        info!(
            target: "gateway",
            replica, request,
            "Replica announced in an answer that it leaves."
        );
        let gateway = &self.gateway;
        let Some(mesh) = gateway.mesh.get() else { return };
        let hash = table::replica_hash(replica);
        if mesh.table().apply_departure(self.now(), hash) {
            gateway.refresh();
            mesh.request_urgent_round();
        }
    }

    /// Records that a replica is sent nothing until `until`. Returns true if
    /// that is later than was known.
    fn record_backoff(&self, replica: &str, until: u64) -> bool {
        let gateway = &self.gateway;
        let wall_ms = match gateway.mesh.get() {
            Some(mesh) => gateway.corrected_wall_ms(&mesh.table()),
            None => wall_ms(),
        };
        let now = self.now();
        let mut fleet = gateway.fleet();
        let is_longer =
            fleet.record_backoff(now, &self.service, replica, until, wall_ms);
        let backing_off = fleet.backing_off(now);
        drop(fleet);
        gateway.metrics.backing_off_replicas.set(backing_off as i64);
        is_longer
    }
}
