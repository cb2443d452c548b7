//! The network side of a control member: tonic services and links to peers.

use std::{net::SocketAddr, time::Duration};

use prost::Message;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::timeout,
};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, server::TcpIncoming},
};

use super::{
    member::{Command, Failure},
    seat,
};
use crate::wire::{
    Change, Empty, Envelope, Envelopes, Outcome, ProbeReply, Query,
    QueryReply, SyncReply, SyncRequest,
    control_server::{Control, ControlServer},
    members_client::MembersClient,
    members_server::{Members, MembersServer},
};

/// Where a refusal says who leads.
pub const LEADER_HEADER: &str = "azuremount-leader";
/// A change that is not decided after this long is reported as unknown.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// A link on which one batch takes longer than this, and what its bytes may
/// take besides, is replaced by a new connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// What a link carries at least, in bytes a second: nearly half of the ten
/// megabits of the narrowest, as answers to callers pass there too.
const LEAST_BYTES_PER_S: f64 = 500_000.0;
/// Messages that wait for one peer; Raft repeats what is dropped.
const LINK_QUEUE: usize = 256;
/// The largest message: a snapshot has to fit.
pub const MESSAGE_LIMIT: usize = 256 * 1024 * 1024;

/// The services of one member.
#[derive(Clone, Debug)]
pub struct Service {
    thread: Thread,
}

/// How commands reach the member's thread.
#[derive(Clone, Debug)]
enum Thread {
    /// It lives as long as the process.
    Fixed(mpsc::Sender<Command>),
    /// It may be started anew, or not run at all for a while.
    Seat(seat::Handle),
}

impl Service {
    /// Answers with what the member's thread does.
    pub fn new(commands: mpsc::Sender<Command>) -> Service {
        Service { thread: Thread::Fixed(commands) }
    }

    /// As [`Service::new`], for a member whose thread may be started anew.
    pub fn of_seat(seat: seat::Handle) -> Service {
        Service { thread: Thread::Seat(seat) }
    }

    /// The service by which members reach each other.
    pub fn members(self) -> MembersServer<Service> {
        MembersServer::new(self).max_decoding_message_size(MESSAGE_LIMIT)
    }

    /// The service for all others.
    pub fn control(self) -> ControlServer<Service> {
        ControlServer::new(self)
            .max_decoding_message_size(MESSAGE_LIMIT)
            .max_encoding_message_size(MESSAGE_LIMIT)
    }

    async fn command(&self, command: Command) -> Result<(), Status> {
        let commands = match &self.thread {
            Thread::Fixed(commands) => commands.clone(),
            Thread::Seat(seat) => seat.commands().ok_or_else(|| {
                Status::failed_precondition("the member's disk is away")
            })?,
        };
        let sent = commands.send(command).await;
        sent.map_err(|_| Status::unavailable("the member is stopping"))
    }

    /// Serves until `stop` ends.
    pub async fn serve(
        self,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
    ) -> Result<(), tonic::transport::Error> {
        let members = self.clone().members();
        let control = self.control();
        tonic::transport::Server::builder()
            .http2_keepalive_interval(Some(Duration::from_secs(5)))
            .http2_keepalive_timeout(Some(Duration::from_secs(2)))
            .add_service(members)
            .add_service(control)
            .serve_with_incoming_shutdown(
                TcpIncoming::from(listener).with_nodelay(Some(true)),
                stop,
            )
            .await
    }

    async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<Result<T, Failure>>) -> Command,
    ) -> Result<Response<T>, Status> {
        let (answer, answered) = oneshot::channel();
        self.command(command(answer)).await?;
        match timeout(PROPOSE_TIMEOUT, answered).await {
            Ok(Ok(Ok(value))) => Ok(Response::new(value)),
            Ok(Ok(Err(failure))) => Err(status_of(failure)),
            Ok(Err(_)) | Err(_) => Err(Status::unknown("not decided in time")),
        }
    }
}

fn status_of(failure: Failure) -> Status {
    match failure {
        Failure::NotLeader(address) => {
            let mut status = Status::failed_precondition("not the leader");
            if let Some(address) = address
                && let Ok(value) = address.parse()
            {
                status.metadata_mut().insert(LEADER_HEADER, value);
            }
            status
        }
        Failure::Unknown => Status::unknown("the leader changed"),
    }
}

#[tonic::async_trait]
impl Control for Service {
    async fn propose(
        &self,
        request: Request<Change>,
    ) -> Result<Response<Outcome>, Status> {
        let change = Box::new(request.into_inner());
        self.ask(|answer| Command::Propose(change, answer)).await
    }

    async fn read(
        &self,
        request: Request<Query>,
    ) -> Result<Response<QueryReply>, Status> {
        let query = request.into_inner();
        self.ask(|answer| Command::Read(query, answer)).await
    }

    async fn sync(
        &self,
        request: Request<SyncRequest>,
    ) -> Result<Response<SyncReply>, Status> {
        let request = Box::new(request.into_inner());
        self.ask(|answer| Command::Sync(request, answer)).await
    }
}

#[tonic::async_trait]
impl Members for Service {
    async fn deliver(
        &self,
        request: Request<Envelopes>,
    ) -> Result<Response<Empty>, Status> {
        let messages = request.into_inner().envelopes;
        self.command(Command::Deliver(messages)).await?;
        Ok(Response::new(Empty {}))
    }

    async fn probe(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<ProbeReply>, Status> {
        let (answer, answered) = oneshot::channel();
        self.command(Command::Probe(answer)).await?;
        match answered.await {
            Ok((identity, empty)) => Ok(Response::new(ProbeReply {
                id: identity.id,
                incarnation: identity.incarnation,
                empty,
            })),
            Err(_) => Err(Status::unavailable("the member is stopping")),
        }
    }
}

/// How much longer than a message of a few bytes one of `bytes` may take.
///
/// With one limit for all, a message that is too long for it is given up and
/// sent again from its start for good: a snapshot never arrives, a change is
/// never decided, and it looks as if the receiver were dead.
pub fn allowance(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / LEAST_BYTES_PER_S)
}

/// A connection that is made when first used.
pub fn connect(address: SocketAddr) -> Channel {
    Endpoint::from(
        http::Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query("/")
            .build()
            .unwrap_or_default(),
    )
    .connect_timeout(Duration::from_millis(500))
    .tcp_nodelay(true)
    .connect_lazy()
}

/// Asks a member who it is, and whether it is empty.
pub async fn probe(address: SocketAddr) -> Option<ProbeReply> {
    let mut client = MembersClient::new(connect(address));
    let reply = timeout(SEND_TIMEOUT, client.probe(Empty {})).await;
    reply.ok()?.ok().map(Response::into_inner)
}

/// Where messages for one peer wait.
#[derive(Debug)]
pub struct Link {
    queue: mpsc::Sender<Envelope>,
}

impl Link {
    /// Starts the task that sends to `address`, in order, in batches.
    pub fn spawn(address: SocketAddr) -> Link {
        let (queue, waiting) = mpsc::channel(LINK_QUEUE);
        tokio::spawn(run_link(address, waiting));
        Link { queue }
    }

    /// Queues a message, or drops it when too many wait.
    pub fn send(&self, message: Envelope) {
        let _ = self.queue.try_send(message);
    }
}

async fn run_link(address: SocketAddr, mut queue: mpsc::Receiver<Envelope>) {
    let open = || {
        MembersClient::new(connect(address))
            .max_encoding_message_size(MESSAGE_LIMIT)
    };
    let mut client = open();
    let mut envelopes = Vec::new();
    while queue.recv_many(&mut envelopes, 64).await > 0 {
        let batch = Envelopes { envelopes: std::mem::take(&mut envelopes) };
        let limit = SEND_TIMEOUT + allowance(batch.encoded_len());
        let sent = timeout(limit, client.deliver(batch)).await;
        if !matches!(sent, Ok(Ok(_))) {
            // A connection that something in between has forgotten stays
            // silent for good, while new ones work. Keeping it would look
            // like a dead peer; a new one is cheap.
            client = open();
        }
    }
}
