//! What replicas say in their answers about further requests of this node.
//!
//! A replica may reject a request and ask this node to send it nothing for a
//! time, and it may announce that it leaves.

use tracing::{info, warn};

use super::{
    dialect::{AnswerInfo, Backoff},
    forward::AcceptedRequest,
    refusal::id_text,
};

impl AcceptedRequest {
    /// Logs and counts what an answer of a replica says about further
    /// requests.
    pub(super) fn log_notices(&self, replica: &str, answer: &AnswerInfo) {
        // Such an answer may be another replica's.
        if !answer.matches || answer.wrong_replica {
            return;
        }
        let request = id_text(self.request_info.id.as_ref());
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
            }
            Backoff::Unreadable => {
                metrics.unreadable.inc();
                warn!(
                    target: "gateway",
                    replica, request,
                    "Can't read the backoff in a response."
                );
            }
        }
        if answer.is_leaving {
            metrics.leaving_answers.inc();
            info!(
                target: "gateway",
                replica, request,
                "Replica announced in an answer that it leaves."
            );
        }
    }
}
