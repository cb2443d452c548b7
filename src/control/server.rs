//! The gRPC services of a control member and its links to peers.

use std::{net::SocketAddr, pin::pin, time::Duration};

use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use prost::Message;
use tokio::{
    net::TcpListener,
    sync::{
        mpsc::{self, error::SendTimeoutError},
        oneshot,
    },
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
    envelope::Body,
    members_client::MembersClient,
    members_server::{Members, MembersServer},
};

/// Metadata key under which a refusal names the leader's address.
pub const LEADER_HEADER: &str = "azuremount-leader";
/// Time after which the outcome of an undecided change or read is reported as
/// unknown.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a batch sent on a new connection times out, plus
/// [`transfer_time`] for its bytes; the batch is then dropped.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an acknowledgement after which a batch is sent on a new
/// connection as well, plus [`transfer_time`] for its bytes.
///
/// A leader's message and its answer use links of their own, which may both
/// have to notice that their connection is silent, one after the other, within
/// an election timeout.
const SEND_HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Time to wait for a place in the member's command queue, which is full only
/// if its disk hangs. Shorter than the timeouts of the callers, so that they
/// learn that the command was not run.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(300);
/// Throughput assumed for a link, in bytes per second.
///
/// Nearly half of the narrowest link, 10 Mbit/s, because answers to callers
/// share that link.
const MIN_LINK_BYTES_PER_S: f64 = 500_000.0;
/// Capacity of the message queue of one peer; Raft resends dropped messages.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Maximum number of batches in flight to one peer.
///
/// A batch a heartbeat interval for the time after which one times out. With
/// a single one, each message waited for the answer to the batch before it,
/// and a peer 0.25 s away confirmed rounds after more than a second.
const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// Bytes in flight to one peer from which on no other batch is sent. Batches
/// that shared a narrow link with a large one would time out.
const MAX_BYTES_IN_FLIGHT: usize = 16 * 1024;
/// Capacity of the queue of snapshots to one peer; the leader resends a
/// snapshot that is not acknowledged.
const MAX_QUEUED_SNAPSHOTS: usize = 1;
/// Maximum size of a message, in bytes; large enough for a snapshot.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024 * 1024;

/// The gRPC services of one member.
#[derive(Clone, Debug)]
pub struct Service {
    thread: Thread,
}

/// The sender of commands to the member's thread.
#[derive(Clone, Debug)]
enum Thread {
    /// A thread that runs as long as the process.
    Fixed(mpsc::Sender<Command>),
    /// A thread that may be restarted, or may not run for a while.
    Restartable(seat::Handle),
}

impl Service {
    /// Creates the services of a member whose thread runs as long as the
    /// process.
    pub fn new(commands: mpsc::Sender<Command>) -> Service {
        Service { thread: Thread::Fixed(commands) }
    }

    /// Like [`Service::new`], for a member whose thread may be restarted.
    pub fn for_dynamic_member(seat: seat::Handle) -> Service {
        Service { thread: Thread::Restartable(seat) }
    }

    /// Returns the service that other members call.
    pub fn members(self) -> MembersServer<Service> {
        MembersServer::new(self).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Returns the service that entries, nodes and operators call.
    pub fn control(self) -> ControlServer<Service> {
        ControlServer::new(self)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    async fn send_command(&self, command: Command) -> Result<(), Status> {
        let commands = match &self.thread {
            Thread::Fixed(commands) => commands.clone(),
            Thread::Restartable(seat) => seat.commands().ok_or_else(|| {
                Status::failed_precondition("the member's disk is away")
            })?,
        };
        let sent = commands.send_timeout(command, QUEUE_TIMEOUT).await;
        sent.map_err(|error| match error {
            SendTimeoutError::Timeout(_) => Status::failed_precondition(
                "the member's command queue is full",
            ),
            SendTimeoutError::Closed(_) => {
                Status::unavailable("the member is stopping")
            }
        })
    }

    /// Serves both services until `stop` completes.
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

    async fn execute<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<Result<T, Failure>>) -> Command,
    ) -> Result<Response<T>, Status> {
        let (answer, answered) = oneshot::channel();
        self.send_command(command(answer)).await?;
        match timeout(PROPOSE_TIMEOUT, answered).await {
            Ok(Ok(Ok(value))) => Ok(Response::new(value)),
            Ok(Ok(Err(failure))) => Err(to_status(failure)),
            Ok(Err(_)) | Err(_) => Err(Status::unknown("not decided in time")),
        }
    }
}

fn to_status(failure: Failure) -> Status {
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
        self.execute(|answer| Command::Propose(change, answer)).await
    }

    async fn read(
        &self,
        request: Request<Query>,
    ) -> Result<Response<QueryReply>, Status> {
        let query = request.into_inner();
        self.execute(|answer| Command::Read(query, answer)).await
    }

    async fn sync(
        &self,
        request: Request<SyncRequest>,
    ) -> Result<Response<SyncReply>, Status> {
        let request = Box::new(request.into_inner());
        self.execute(|answer| Command::Sync(request, answer)).await
    }
}

#[tonic::async_trait]
impl Members for Service {
    async fn deliver(
        &self,
        request: Request<Envelopes>,
    ) -> Result<Response<Empty>, Status> {
        let messages = request.into_inner().envelopes;
        self.send_command(Command::Deliver(messages)).await?;
        Ok(Response::new(Empty {}))
    }

    async fn probe(
        &self,
        _: Request<Empty>,
    ) -> Result<Response<ProbeReply>, Status> {
        let (answer, answered) = oneshot::channel();
        self.send_command(Command::Probe(answer)).await?;
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

/// Returns the time that a message of `bytes` bytes may take in addition to a
/// fixed timeout.
///
/// With a fixed timeout alone, a message too large for it would time out and
/// be resent from the start forever: a snapshot would never arrive, a change
/// would never be decided, and the receiver would appear to have crashed.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_LINK_BYTES_PER_S)
}

/// Returns a channel to `address` that connects on first use.
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

/// Asks a member for its identity and whether its data folder is empty.
pub async fn probe(address: SocketAddr) -> Option<ProbeReply> {
    let mut client = MembersClient::new(connect(address));
    let reply = timeout(SEND_TIMEOUT, client.probe(Empty {})).await;
    reply.ok()?.ok().map(Response::into_inner)
}

/// The message queues of one peer.
///
/// Snapshots have a queue and a connection of their own. Behind a snapshot
/// whose transfer takes longer than the election timeout, heartbeats would
/// arrive too late, and the term of the next leader would make the snapshot
/// outdated before it arrives.
#[derive(Debug)]
pub struct Link {
    queue: mpsc::Sender<Envelope>,
    snapshots: mpsc::Sender<Envelope>,
}

impl Link {
    /// Starts the tasks that send messages to `address` in batches.
    ///
    /// Batches that are in flight at the same time may arrive in any order.
    pub fn spawn(address: SocketAddr) -> Link {
        let (queue, waiting) = mpsc::channel(MAX_QUEUED_MESSAGES);
        tokio::spawn(run_link(address, waiting, MAX_BATCHES_IN_FLIGHT));
        let (snapshots, waiting) = mpsc::channel(MAX_QUEUED_SNAPSHOTS);
        tokio::spawn(run_link(address, waiting, 1));
        Link { queue, snapshots }
    }

    /// Queues a message, or drops it when the queue is full.
    pub fn send(&self, message: Envelope) {
        let queue = match &message.body {
            Some(Body::SnapshotRequest(_)) => &self.snapshots,
            _ => &self.queue,
        };
        let _ = queue.try_send(message);
    }
}

async fn run_link(
    address: SocketAddr,
    mut queue: mpsc::Receiver<Envelope>,
    max_in_flight: usize,
) {
    let mut client = open_members_client(address);
    let mut connection = 0_u64;
    let mut deliveries = FuturesUnordered::new();
    let mut bytes_in_flight = 0;
    let mut envelopes = Vec::new();
    loop {
        let may_send = deliveries.len() < max_in_flight
            && bytes_in_flight < MAX_BYTES_IN_FLIGHT;
        tokio::select! {
            count = queue.recv_many(&mut envelopes, 64), if may_send => {
                if count == 0 {
                    return;
                }
                let envelopes = std::mem::take(&mut envelopes);
                let batch = Envelopes { envelopes };
                let bytes = batch.encoded_len();
                bytes_in_flight += bytes;
                let client = client.clone();
                deliveries.push(async move {
                    let new = deliver(address, client, batch).await;
                    (connection, bytes, new)
                });
            }
            Some((used, bytes, new)) = deliveries.next() => {
                bytes_in_flight -= bytes;
                if let Some(new) = new
                    && used == connection
                {
                    client = new;
                    connection += 1;
                }
            }
        }
    }
}

fn open_members_client(address: SocketAddr) -> MembersClient<Channel> {
    MembersClient::new(connect(address))
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Sends a batch, on a new connection as well if `client` fails or does not
/// acknowledge it soon. Returns the new connection if it replaces `client`.
///
/// A connection whose state a middlebox has lost stays silent forever, while
/// new connections work. Kept in use, it would make the peer appear to have
/// crashed. A batch that arrives twice is harmless: Raft's messages are
/// idempotent.
async fn deliver(
    address: SocketAddr,
    mut client: MembersClient<Channel>,
    batch: Envelopes,
) -> Option<MembersClient<Channel>> {
    let sending = transfer_time(batch.encoded_len());
    let mut on_kept = pin!(client.deliver(batch.clone()));
    let first = timeout(SEND_HEDGE_DELAY + sending, &mut on_kept).await;
    if matches!(first, Ok(Ok(_))) {
        return None;
    }
    let new = open_members_client(address);
    let mut renewed = new.clone();
    let on_new = pin!(renewed.deliver(batch));
    let is_kept = async {
        if first.is_ok() {
            return on_new.await.map(|_| false);
        }
        match select(on_kept, on_new).await {
            Either::Left((Ok(_), _)) => Ok(true),
            Either::Left((Err(_), on_new)) => on_new.await.map(|_| false),
            Either::Right((Ok(_), _)) => Ok(false),
            Either::Right((Err(_), on_kept)) => on_kept.await.map(|_| true),
        }
    };
    match timeout(SEND_TIMEOUT + sending, is_kept).await {
        Ok(Ok(true)) => None,
        Ok(Ok(false)) => Some(new),
        Ok(Err(_)) | Err(_) => Some(open_members_client(address)),
    }
}
