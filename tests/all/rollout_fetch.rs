//! Nodes that learn of a newer state of the roll-outs while other nodes don't
//! answer calls.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use azuremount::{
    gateway, node,
    wire::{
        Caches, ChangeRollout, Empty, Gossip, Levels, PartRelease, Peer,
        PutPlan, RolloutOutcome, RolloutState, Sightings,
        nodes_server::{Nodes, NodesServer},
    },
};
use futures_util::stream::{BoxStream, StreamExt};
use prost::Message;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time::{interval, sleep, timeout},
};
use tonic::{Request, Response, Status, transport::server::TcpIncoming};

use crate::{
    rollouts::BOUNDS,
    world::{options, read_plan},
};

/// The port for traffic between nodes.
const PORT: u16 = 7708;
/// Number of nodes that report the state and don't answer.
const SILENT: u32 = 6;
/// Version of the state that all other nodes obey.
const VERSION: u64 = 4;
/// Time in which a node obeys the state that others report.
const OBEY_TIME: Duration = Duration::from_secs(3);

/// A node that sends the state of the roll-outs, and nothing else.
struct Holder;

fn nothing<T>() -> Result<Response<T>, Status> {
    Err(Status::unimplemented("only roll-outs"))
}

#[tonic::async_trait]
impl Nodes for Holder {
    type FetchStream = BoxStream<'static, Result<PutPlan, Status>>;

    async fn rollouts(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<RolloutState>, Status> {
        let version = VERSION;
        Ok(Response::new(RolloutState { version, ..RolloutState::default() }))
    }

    async fn fetch(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Self::FetchStream>, Status> {
        Ok(Response::new(futures_util::stream::empty().boxed()))
    }

    async fn quotas(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Levels>, Status> {
        nothing()
    }

    async fn recall(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Caches>, Status> {
        nothing()
    }

    async fn sighted(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<Sightings>, Status> {
        nothing()
    }

    async fn release(
        &self,
        _: Request<PartRelease>,
    ) -> Result<Response<Empty>, Status> {
        nothing()
    }

    async fn start_rollout(
        &self,
        _: Request<ChangeRollout>,
    ) -> Result<Response<RolloutOutcome>, Status> {
        nothing()
    }
}

/// Reports the state to `to`, and notes which one `to` reports to this node.
async fn report(
    ip: Ipv4Addr,
    to: Ipv4Addr,
    every: Duration,
    obeyed: Arc<AtomicU64>,
) {
    let socket = UdpSocket::bind((ip, PORT)).await.unwrap();
    let mut peer = Peer {
        ip: ip.into(),
        incarnation: 1,
        data_centre: "one".to_owned(),
        serving: true,
        keeps_origins: true,
        rollouts: VERSION + 1,
        ..Peer::default()
    };
    let mut reports = interval(every);
    let mut buffer = vec![0; 64 * 1024];
    loop {
        tokio::select! {
            _ = reports.tick() => {
                peer.beat += 1;
                let from = Some(peer.clone());
                let gossip = Gossip { from, ..Gossip::default() };
                let bytes = gossip.encode_to_vec();
                let _ = socket.send_to(&bytes, (to, PORT)).await;
            }
            Ok((length, _)) = socket.recv_from(&mut buffer) => {
                let gossip = Gossip::decode(&buffer[..length]).unwrap();
                if let Some(from) = gossip.from.filter(|from| {
                    from.ip == u32::from(to)
                }) {
                    obeyed.store(from.rollouts, Ordering::Relaxed);
                }
            }
        }
    }
}

/// Guards against a roll-out that a node obeys late, because the nodes that
/// report it most often don't answer and are asked one at a time.
#[tokio::test]
async fn a_rollout_is_obeyed_in_time_although_most_nodes_are_silent() {
    // Other runs of these tests may use the same machine.
    let process = 140 + std::process::id() % 40;
    let ip = |at: u32| Ipv4Addr::from(127 << 24 | process << 16 | at);
    let obeyed = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    let mut listeners = Vec::new();
    for at in 3..3 + SILENT {
        // Connections are established by the kernel, and never read.
        listeners.push(TcpListener::bind((ip(at), PORT)).await.unwrap());
        let every = Duration::from_millis(10);
        tasks.spawn(report(ip(at), ip(1), every, Arc::default()));
    }
    let listener = TcpListener::bind((ip(2), PORT)).await.unwrap();
    let holder = tonic::transport::Server::builder()
        .add_service(NodesServer::new(Holder));
    tasks.spawn(async move {
        let incoming = TcpIncoming::from(listener);
        holder.serve_with_incoming(incoming).await.unwrap();
    });
    let every = Duration::from_millis(200);
    tasks.spawn(report(ip(2), ip(1), every, obeyed.clone()));
    let defaults = options(ip(1), PORT, &[ip(2)]);
    let rollouts = Some(BOUNDS);
    let node = node::spawn(node::Options {
        gateway: gateway::Options { rollouts, ..defaults.gateway.clone() },
        read_plan,
        ..defaults
    });
    let _node = node.await.unwrap();
    let obeys = async {
        while obeyed.load(Ordering::Relaxed) <= VERSION {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(OBEY_TIME, obeys).await.expect("not obeyed in time");
}
