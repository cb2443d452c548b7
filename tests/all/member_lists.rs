//! The control members that a node asks, while its mesh lists few of them or
//! names a leader that is gone.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use azuremount::{
    control::seat,
    node,
    wire::{
        Change, Empty, Envelopes, Gossip, Outcome, Peer, ProbeReply, PutPlan,
        Query, QueryReply, SyncReply, SyncRequest,
        control_server::{Control, ControlServer},
        envelope::Body,
        members_server::{Members, MembersServer},
        query_reply,
    },
};
use prost::Message;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinSet,
    time::{sleep, timeout},
};
use tonic::{Request, Response, Status, transport::server::TcpIncoming};

use crate::world::{REPORT_INTERVAL, TEST_TIMEOUT, TempFolder, options};

/// The port for traffic between nodes.
const PORT: u16 = 7706;

/// A stand-in for the control member of another node.
#[derive(Clone, Default)]
struct Member {
    /// The leader that its refusals name; it leads if there is none.
    leader: Option<SocketAddrV4>,
    is_silent: Arc<AtomicBool>,
    /// Number of requests to join that it has received.
    joins: Arc<AtomicUsize>,
}

impl Member {
    async fn spawn(
        tasks: &mut JoinSet<()>,
        ip: Ipv4Addr,
        leader: Option<SocketAddrV4>,
    ) -> Member {
        let member = Member { leader, ..Member::default() };
        let listener = TcpListener::bind((ip, PORT)).await.unwrap();
        let server = tonic::transport::Server::builder()
            .add_service(ControlServer::new(member.clone()))
            .add_service(MembersServer::new(member.clone()));
        tasks.spawn(async move {
            let incoming = TcpIncoming::from(listener);
            server.serve_with_incoming(incoming).await.unwrap();
        });
        member
    }

    fn set_silent(&self, silent: bool) {
        self.is_silent.store(silent, Ordering::Relaxed);
    }

    async fn obey(&self) -> Result<(), Status> {
        if self.is_silent.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        let Some(leader) = self.leader else { return Ok(()) };
        let mut status = Status::failed_precondition("not the leader");
        let leader = leader.to_string().parse().unwrap();
        status.metadata_mut().insert("azuremount-leader", leader);
        Err(status)
    }
}

#[tonic::async_trait]
impl Control for Member {
    async fn propose(
        &self,
        _: Request<Change>,
    ) -> Result<Response<Outcome>, Status> {
        self.obey().await?;
        Ok(Response::new(Outcome::default()))
    }

    async fn read(
        &self,
        _: Request<Query>,
    ) -> Result<Response<QueryReply>, Status> {
        self.obey().await?;
        let kind = Some(query_reply::Kind::Plan(PutPlan::default()));
        Ok(Response::new(QueryReply { kind }))
    }

    async fn sync(
        &self,
        _: Request<SyncRequest>,
    ) -> Result<Response<SyncReply>, Status> {
        self.obey().await?;
        Ok(Response::new(SyncReply::default()))
    }
}

#[tonic::async_trait]
impl Members for Member {
    async fn deliver(
        &self,
        request: Request<Envelopes>,
    ) -> Result<Response<Empty>, Status> {
        let envelopes = request.into_inner().envelopes;
        let joins = envelopes
            .iter()
            .filter(|message| matches!(message.body, Some(Body::Join(_))));
        self.joins.fetch_add(joins.count(), Ordering::Relaxed);
        Ok(Response::new(Empty {}))
    }

    async fn probe(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<ProbeReply>, Status> {
        Err(Status::unimplemented("no probe"))
    }
}

/// Returns four addresses that no other test uses.
fn new_ips() -> [Ipv4Addr; 4] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let net = NEXT.fetch_add(1, Ordering::Relaxed);
    // Other runs of these tests may use the same machine.
    let process = 100 + std::process::id() % 40;
    let first = 127 << 24 | process << 16 | net << 8;
    [1, 2, 3, 4].map(|at| Ipv4Addr::from(first + at))
}

fn id_of(ip: Ipv4Addr) -> u64 {
    seat::member_id(SocketAddrV4::new(ip, PORT))
}

/// Reports `peer` to `to` until the task ends.
async fn report(mut peer: Peer, to: Ipv4Addr) {
    let ip = Ipv4Addr::from(peer.ip);
    let socket = UdpSocket::bind((ip, PORT)).await.unwrap();
    loop {
        peer.beat += 1;
        let gossip = Gossip { from: Some(peer.clone()), ..Gossip::default() };
        let _ = socket.send_to(&gossip.encode_to_vec(), (to, PORT)).await;
        sleep(REPORT_INTERVAL).await;
    }
}

fn peer(ip: Ipv4Addr, has_disk: bool, leader: u64) -> Peer {
    Peer {
        ip: ip.into(),
        incarnation: 1,
        data_centre: "one".to_owned(),
        serving: true,
        keeps_origins: true,
        has_disk,
        leader,
        leader_term: u64::from(leader != 0),
        ..Peer::default()
    }
}

/// A node whose mesh hears a single other node, and not the leader.
struct Case {
    /// Whether the node under test has a member of the log.
    has_disk: bool,
    /// Whether the other node has one.
    reporter_has_disk: bool,
    /// Whether the other node names the leader. Otherwise only the seeds of
    /// the node under test do.
    names_leader: bool,
}

impl Case {
    /// Requires that the node reads the plan after the leader was silent.
    async fn check(&self) {
        let [own, reporter, leader, _] = new_ips();
        let mut tasks = JoinSet::new();
        let leader_address = SocketAddrV4::new(leader, PORT);
        let leads = Member::spawn(&mut tasks, leader, None).await;
        if self.reporter_has_disk {
            let hint = Some(leader_address);
            Member::spawn(&mut tasks, reporter, hint).await;
        }
        let (named, seed) = match self.names_leader {
            true => (id_of(leader), reporter),
            false => (0, leader),
        };
        let reported = peer(reporter, self.reporter_has_disk, named);
        tasks.spawn(report(reported, own));
        let folder = TempFolder::new();
        let node = node::spawn(node::Options {
            folder: self.has_disk.then(|| folder.0.clone()),
            ..options(own, PORT, &[seed])
        });
        let node = node.await.unwrap();
        let read = async {
            while node.read_plan().await.is_err() {
                sleep(REPORT_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, read).await.expect("never read");
        // Several reports that name this leader arrive.
        sleep(3 * REPORT_INTERVAL).await;
        leads.set_silent(true);
        let put = node.put_plan(b"3").await;
        assert!(put.is_err(), "{put:?}");
        leads.set_silent(false);
        for _ in 0..3 {
            let read = node.read_plan().await;
            assert!(read.is_ok(), "{read:?}");
        }
    }
}

/// Guards against a leader that no read reaches because the mesh doesn't list
/// it: the members that are listed name it in vain.
#[tokio::test]
async fn a_leader_that_the_mesh_does_not_list_is_asked() {
    let case =
        Case { has_disk: false, reporter_has_disk: true, names_leader: true };
    case.check().await;
}

/// Guards against a node with a disk that asks its own member only, because
/// its mesh lists no other one as live.
#[tokio::test]
async fn a_member_asks_others_although_the_mesh_lists_none() {
    for names_leader in [true, false] {
        let case =
            Case { has_disk: true, reporter_has_disk: false, names_leader };
        case.check().await;
    }
}

/// Guards against a member that never joins because the leader that its mesh
/// reports is gone, is the member itself, or isn't known.
#[tokio::test]
async fn a_joining_member_asks_others_than_the_reported_leader() {
    for case in ["gone", "itself", "unknown"] {
        let [own, reporter, _, gone] = new_ips();
        let mut tasks = JoinSet::new();
        let member = Member::spawn(&mut tasks, reporter, None).await;
        let leader = match case {
            "gone" => id_of(gone),
            "itself" => id_of(own),
            _ => 0,
        };
        tasks.spawn(report(peer(reporter, true, leader), own));
        let folder = TempFolder::new();
        let node = node::spawn(node::Options {
            folder: Some(folder.0.clone()),
            ..options(own, PORT, &[reporter])
        });
        let _node = node.await.unwrap();
        let asked = async {
            while member.joins.load(Ordering::Relaxed) == 0 {
                sleep(REPORT_INTERVAL).await;
            }
        };
        let asked = timeout(Duration::from_secs(10), asked).await;
        assert!(asked.is_ok(), "the leader is {case}: not asked");
    }
}
