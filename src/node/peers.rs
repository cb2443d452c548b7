//! What nodes ask each other over TCP: plans, and the log's own messages.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::{
    net::TcpListener,
    time::{Instant, timeout},
};
use tonic::{
    Request, Response, Status,
    codec::{CompressionEncoding, SingleMessageCompressionOverride},
    transport::server::TcpIncoming,
};
use tracing::{info, warn};

use super::{Node, lock};
use crate::{
    control::server::{MESSAGE_LIMIT, Service, connect},
    wire::{
        Caches, Empty, PutPlan, Sightings,
        nodes_client::NodesClient,
        nodes_server::{Nodes, NodesServer},
    },
};

/// How long fetching a plan from a peer may take.
const FETCH_LIMIT: Duration = Duration::from_millis(1000);

/// Fetches a newer plan from a peer.
pub(super) async fn fetch(node: Arc<Node>, from: Ipv4Addr) {
    let address = SocketAddr::from((from, node.peer_port));
    let mut client = NodesClient::new(connect(address))
        .accept_compressed(CompressionEncoding::Gzip)
        .max_decoding_message_size(MESSAGE_LIMIT);
    let asked = Instant::now();
    match timeout(FETCH_LIMIT, client.fetch(Empty {})).await {
        Ok(Ok(reply)) => {
            let plan = reply.into_inner();
            info!(
                target: "node",
                plan = plan.version,
                bytes = plan.source.len(),
                after_ms = asked.elapsed().as_millis() as u64,
                "Plan from {from}."
            );
            node.adopt(Arc::new(plan));
        }
        Ok(Err(status)) => {
            let text = status.message();
            warn!(target: "node", "No plan from {from}: {text}.");
        }
        Err(_) => warn!(target: "node", "No plan from {from}: silent."),
    }
    node.fetching.store(false, Ordering::Relaxed);
}

/// Serves other nodes until this one stops.
pub(super) async fn serve(node: Arc<Node>, listener: TcpListener) {
    // A plan of some thousand routes is a tenth as long compressed; dozens of
    // nodes fetch it at once over links of ten megabits.
    let nodes = NodesServer::new(PeerService { node: node.clone() })
        .send_compressed(CompressionEncoding::Gzip)
        .max_encoding_message_size(MESSAGE_LIMIT);
    let seat = node.seat.clone().map(Service::of_seat);
    let mut last = node.last.subscribe();
    let stop = async move {
        // The sender lives as long as the node.
        let _ = last.wait_for(|last| *last).await;
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
        warn!(target: "node", "The server for peers ended: {error}.");
    }
}

/// What other nodes may ask.
struct PeerService {
    node: Arc<Node>,
}

#[tonic::async_trait]
impl Nodes for PeerService {
    async fn fetch(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<PutPlan>, Status> {
        let held = lock(&self.node.source).clone();
        match held {
            Some(plan) => Ok(Response::new(PutPlan::clone(&plan))),
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
        Ok(Response::new(Sightings { whole, replicas }))
    }

    async fn recall(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Caches>, Status> {
        let whole = self.node.knows_caches.load(Ordering::Relaxed);
        let cached =
            if whole { self.node.gateway.cached() } else { Vec::new() };
        let mut reply = Response::new(Caches { whole, cached });
        // Hashes don't get shorter, and trying costs a VM with an eighth of a
        // core a tenth of a second while all others ask too.
        reply
            .extensions_mut()
            .insert(SingleMessageCompressionOverride::Disable);
        Ok(reply)
    }
}
