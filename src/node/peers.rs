//! The TCP server for other nodes: plans, caches, replicas, quota use, and the
//! messages of the log.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures_util::{
    StreamExt,
    future::ready,
    stream::{self, BoxStream},
};
use tokio::net::TcpListener;
use tonic::{Request, Response, Status, transport::server::TcpIncoming};
use tracing::warn;

use super::{Node, RolloutError, RolloutOrder, lock};
use crate::{
    control::server::{MAX_MESSAGE_BYTES, Service},
    wire::{
        Caches, ChangeRollout, Empty, Levels, PartRelease, PutPlan,
        RolloutOutcome, RolloutState, Sightings,
        nodes_server::{Nodes, NodesServer},
    },
};

/// Longest duration of a roll-out, in ms: a week.
const MAX_ROLLOUT_MS: u64 = 7 * 24 * 60 * 60 * 1000;

/// Serves other nodes until this node stops.
pub(super) async fn serve(node: Arc<Node>, listener: TcpListener) {
    // The transport does not compress. Plans are packed once, when they are
    // submitted: compressing a plan for each of seventy nodes that fetched it
    // kept a leader busy for two seconds, and it lost its leadership. The
    // hashes in the other answers are not compressible.
    let nodes = NodesServer::new(PeerService { node: node.clone() })
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let seat = node.seat.clone().map(Service::for_dynamic_member);
    let mut stop_signal = node.stop_peer_server.subscribe();
    let stop = async move {
        // Never fails: `node` owns the sender.
        let _ = stop_signal.wait_for(|stops| *stops).await;
    };
    let served = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(5)))
        .http2_keepalive_timeout(Some(Duration::from_secs(2)))
        .add_service(nodes)
        .add_optional_service(seat.clone().map(Service::members))
        .add_optional_service(seat.map(Service::control))
        .serve_with_incoming_shutdown(
            TcpIncoming::from(listener).with_nodelay(Some(true)),
            stop,
        )
        .await;
    if let Err(error) = served {
        warn!(target: "node", "Server for other nodes failed: {error}.");
    }
}

/// Answers other nodes' calls.
struct PeerService {
    node: Arc<Node>,
}

#[tonic::async_trait]
impl Nodes for PeerService {
    type FetchStream = BoxStream<'static, Result<PutPlan, Status>>;

    async fn fetch(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Self::FetchStream>, Status> {
        let record = lock(&self.node.plan_record).clone();
        match record {
            Some(plan) => {
                let plan = Ok(PutPlan::clone(&plan));
                Ok(Response::new(stream::once(ready(plan)).boxed()))
            }
            None => Err(Status::not_found("no plan here yet")),
        }
    }

    async fn sighted(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Sightings>, Status> {
        let now = self.node.gateway.timer.now();
        let mesh = self.node.mesh.get();
        let replicas =
            mesh.map_or(Vec::new(), |mesh| mesh.table().usable(now));
        let whole = self.node.knows_caches.load(Ordering::Relaxed);
        let crashes = self.node.gateway.repeated_crashes();
        let parts = Some(self.node.gateway.repeated_part_crashes());
        let limits = self.node.gateway.rate_limit_reports();
        let sightings = Sightings { whole, replicas, crashes, limits, parts };
        Ok(Response::new(sightings))
    }

    async fn quotas(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Levels>, Status> {
        Ok(Response::new(self.node.gateway.quota_levels()))
    }

    async fn release(
        &self,
        request: Request<PartRelease>,
    ) -> Result<Response<Empty>, Status> {
        match self.node.gateway.release_part(request.into_inner().part) {
            true => Ok(Response::new(Empty {})),
            false => Err(Status::not_found("no replica crashed under it")),
        }
    }

    async fn rollouts(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<RolloutState>, Status> {
        let state = self.node.gateway.rollout_state();
        Ok(Response::new(RolloutState::clone(&state)))
    }

    async fn start_rollout(
        &self,
        request: Request<ChangeRollout>,
    ) -> Result<Response<RolloutOutcome>, Status> {
        if !self.node.gateway.has_rollouts() {
            return Err(Status::unimplemented("there are no roll-outs"));
        }
        let ChangeRollout { service, to, duration_ms, .. } =
            request.into_inner();
        if to.is_empty() || !(1000..=MAX_ROLLOUT_MS).contains(&duration_ms) {
            return Err(Status::invalid_argument(
                "the version is empty, or the time is not 1 s to a week",
            ));
        }
        let order = RolloutOrder { service, to, duration_ms };
        let started = self.node.start_rollout(order).await;
        let record = started.map_err(|error| match error {
            RolloutError::Invalid(text) => Status::invalid_argument(text),
            RolloutError::Conflict(text) => Status::already_exists(text),
            RolloutError::NotConfirmed(text) => Status::unavailable(text),
        })?;
        let record = Some(record);
        Ok(Response::new(RolloutOutcome {
            record,
            ..RolloutOutcome::default()
        }))
    }

    async fn recall(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Caches>, Status> {
        let whole = self.node.knows_caches.load(Ordering::Relaxed);
        let cached =
            if whole { self.node.gateway.cached() } else { Vec::new() };
        Ok(Response::new(Caches { whole, cached }))
    }
}
