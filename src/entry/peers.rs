//! Replication of accepted model requests to a second entry, the backup entry.
//!
//! Before a model request is accepted, another entry stores a copy of it, in
//! another data centre if possible. The owner then replicates the answer piece
//! by piece. When the owner drains, it hands the request over. When the owner
//! crashes, the backup entry takes the request over once control no longer
//! lists the owner.
//!
//! # Refused requests are not run
//!
//! If the acknowledgement of a copy is lost, the owner may refuse the request
//! while another entry still holds the copy. Therefore an entry takes over a
//! copy only after it has received the owner's first progress report, which
//! shows that the owner accepted the request.
//!
//! Progress reports of all requests with the same peer are sent in batches:
//! while one call is in flight, further reports queue for the next one.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};
use tonic::{
    Request, Response, Status,
    transport::{Channel, server::TcpIncoming},
};
use tracing::{info, warn};

use super::{
    model,
    requests::{NewRecord, Outcome, Owner, Record},
    state::{Shared, State},
};
use crate::{
    control::server::{MAX_MESSAGE_BYTES, connect},
    util::position,
    wire::{
        EntryInfo, FetchReply, FetchRequest, HoldReply, HoldRequest, Progress,
        ProgressAck, ProgressBatch, ProgressReply,
        peers_client::PeersClient,
        peers_server::{Peers as PeersService, PeersServer},
    },
};

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum time between two batches to one peer, in which further pieces
/// accumulate.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time for which a fetch waits for new pieces.
const MAX_FETCH_WAIT: Duration = Duration::from_millis(200);
/// Delay before looking for a backup entry again when none was found.
const BACKUP_RETRY_INTERVAL: Duration = Duration::from_millis(100);

type Report = (Progress, oneshot::Sender<ProgressAck>);

#[derive(Debug)]
struct Link {
    address: String,
    client: PeersClient<Channel>,
    reports: mpsc::Sender<Report>,
}

/// Links to the other entries, each opened on first use.
#[derive(Debug, Default)]
pub struct Peers {
    links: Mutex<Vec<Arc<Link>>>,
}

/// Error: no other entry completed the call in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

impl Peers {
    fn link(&self, owner: &EntryInfo, to: &str) -> Option<Arc<Link>> {
        let mut links =
            self.links.lock().unwrap_or_else(|held| held.into_inner());
        match position(&links, to, |link| link.address.as_str()) {
            Ok(at) => Some(links[at].clone()),
            Err(at) => {
                let address: SocketAddr = to.parse().ok()?;
                let client = open_client(address);
                let (reports, queue) = mpsc::channel(4096);
                let sender = ReportSender {
                    owner: owner.id.clone(),
                    incarnation: owner.incarnation,
                    address,
                    client: client.clone(),
                };
                tokio::spawn(sender.run(queue));
                let link =
                    Arc::new(Link { address: to.to_owned(), client, reports });
                links.insert(at, link.clone());
                Some(link)
            }
        }
    }

    /// Drops the link to a peer, so that the next use opens a new connection.
    fn drop_link(&self, to: &str) {
        let mut links =
            self.links.lock().unwrap_or_else(|held| held.into_inner());
        links.retain(|link| link.address != to);
    }
}

fn open_client(address: SocketAddr) -> PeersClient<Channel> {
    PeersClient::new(connect(address))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Sends progress reports of all requests that one peer holds copies of.
struct ReportSender {
    owner: String,
    incarnation: u64,
    address: SocketAddr,
    client: PeersClient<Channel>,
}

impl ReportSender {
    async fn run(mut self, mut queue: mpsc::Receiver<Report>) {
        let mut waiting: Vec<Report> = Vec::new();
        while queue.recv_many(&mut waiting, 1024).await > 0 {
            let (items, answers): (Vec<_>, Vec<_>) = waiting.drain(..).unzip();
            let batch = ProgressBatch {
                owner: self.owner.clone(),
                owner_incarnation: self.incarnation,
                items,
            };
            let reply = timeout(CALL_TIMEOUT, self.client.report(batch)).await;
            match reply {
                Ok(Ok(reply)) => {
                    let acks = reply.into_inner().acks;
                    for (answer, ack) in answers.into_iter().zip(acks) {
                        let _ = answer.send(ack);
                    }
                }
                // Dropping the reply channels makes the requests look for
                // another backup entry. The connection is replaced because it
                // may never answer again.
                _ => self.client = open_client(self.address),
            }
            sleep(BATCH_INTERVAL).await;
        }
    }
}

/// Places a copy of a request at a backup entry.
///
/// Returns the backup entry's address, or `None` if no other entry is serving.
///
/// # Errors
///
/// Fails if other entries are serving, but none of the first three candidates
/// stored the copy.
pub async fn place_copy(
    state: &State,
    record: &Record,
) -> Result<Option<String>, Unavailable> {
    let candidates = candidates(state, &record.id);
    if candidates.is_empty() {
        return Ok(None);
    }
    for address in candidates.iter().take(3) {
        if place_copy_at(state, record, address).await {
            return Ok(Some(address.clone()));
        }
    }
    Err(Unavailable)
}

async fn place_copy_at(state: &State, record: &Record, address: &str) -> bool {
    let Some(link) = state.peers.link(&state.info, address) else {
        return false;
    };
    let request = HoldRequest {
        id: record.id.clone(),
        owner: state.info.id.clone(),
        owner_incarnation: state.info.incarnation,
        team: record.team.clone(),
        service: record.service.clone(),
        body: record.body.to_vec(),
        remaining_ms: record.deadline.saturating_sub(state.now()),
        pieces: record.tail(0).pieces,
    };
    let mut client = link.client.clone();
    match timeout(CALL_TIMEOUT, client.hold(request)).await {
        Ok(Ok(reply)) => reply.into_inner().held,
        _ => {
            state.peers.drop_link(address);
            false
        }
    }
}

/// Returns the addresses of peers that can hold a copy, in order of
/// preference: other data centres before this one, otherwise in an order that
/// depends on the request id.
fn candidates(state: &State, id: &str) -> Vec<String> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let entries = state.board.entries.read();
    let mut ranked: Vec<(bool, u64, &str)> = entries
        .iter()
        .filter(|entry| entry.serving && entry.id != state.info.id)
        .map(|entry| {
            let mut hasher = DefaultHasher::new();
            (id, &entry.id).hash(&mut hasher);
            let near = entry.data_centre == state.info.data_centre;
            (near, hasher.finish(), entry.peer_address.as_str())
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, address)| address.to_owned()).collect()
}

/// Replicates a request's progress to its backup entry until the request has
/// ended.
pub async fn replicate(
    state: Shared,
    record: Arc<Record>,
    mut backup: Option<String>,
) {
    let mut changes = record.watch();
    let mut sent = 0;
    let mut first = true;
    loop {
        if record.owner() != Owner::Here {
            return;
        }
        let Some(address) = &backup else {
            backup = find_backup(&state, &record).await;
            if backup.is_none() && candidates(&state, &record.id).is_empty() {
                // No other entry is serving, so the answer can't be
                // replicated: it becomes visible without a copy.
                let ended = record.outcome() != Outcome::Running;
                record.make_visible(usize::MAX, ended);
                if ended {
                    return;
                }
                let _ =
                    timeout(BACKUP_RETRY_INTERVAL, changes.changed()).await;
            }
            sent = 0;
            first = true;
            continue;
        };
        let tail = record.tail(sent);
        let ended = tail.outcome != Outcome::Running;
        if tail.pieces.is_empty() && !ended && !first {
            let _ = changes.changed().await;
            continue;
        }
        let item = build_progress(&record.id, sent, &tail, false);
        match send_report(&state, address, item).await {
            Ok(ack) if ack.held => {
                first = false;
                sent = ack.pieces as usize;
                let replicated = sent >= record.len();
                record.make_visible(sent, ended && replicated);
                if ended && replicated {
                    return;
                }
            }
            Ok(_) => {
                // The backup entry has taken the request over or lost it; the
                // copy must not get a second writer. Only requests of an
                // owner that is no longer listed are taken over, so after a
                // takeover control no longer lists this entry.
                info!(
                    target: "peers",
                    "Backup entry {address} no longer holds a copy of {}.",
                    record.id
                );
                backup = None;
            }
            Err(Unavailable) => backup = None,
        }
    }
}

async fn find_backup(state: &Shared, record: &Record) -> Option<String> {
    match place_copy(state, record).await {
        Ok(backup) => backup,
        Err(Unavailable) => {
            sleep(BACKUP_RETRY_INTERVAL).await;
            None
        }
    }
}

fn build_progress(
    id: &str,
    offset: usize,
    tail: &super::requests::View,
    handover: bool,
) -> Progress {
    Progress {
        id: id.to_owned(),
        offset: offset as u64,
        pieces: tail.pieces.clone(),
        finished: tail.outcome == Outcome::Finished,
        failure: match &tail.outcome {
            Outcome::Failed(text) => text.clone(),
            Outcome::Running | Outcome::Finished => String::new(),
        },
        handover,
    }
}

async fn send_report(
    state: &State,
    address: &str,
    item: Progress,
) -> Result<ProgressAck, Unavailable> {
    let link = state.peers.link(&state.info, address).ok_or(Unavailable)?;
    let (answer, answered) = oneshot::channel();
    link.reports.send((item, answer)).await.map_err(|_| Unavailable)?;
    match timeout(2 * CALL_TIMEOUT, answered).await {
        Ok(Ok(ack)) => Ok(ack),
        _ => {
            state.peers.drop_link(address);
            Err(Unavailable)
        }
    }
}

/// Hands a request over to another entry, which continues it.
///
/// Returns the new owner's address for callers.
pub async fn hand_over(state: &Shared, record: &Record) -> Option<String> {
    for address in candidates(state, &record.id) {
        if !place_copy_at(state, record, &address).await {
            continue;
        }
        let tail = record.tail(0);
        let item = build_progress(&record.id, 0, &tail, true);
        let ack = send_report(state, &address, item).await;
        if ack.is_ok_and(|ack| ack.held) {
            let entries = state.board.entries.read();
            return entries
                .iter()
                .find(|entry| entry.peer_address == address)
                .map(|entry| entry.address.clone());
        }
    }
    None
}

/// Takes over running requests of entries that control no longer lists.
pub async fn adopt_orphans(state: Shared) {
    let mut entries = state.board.entries.watch();
    loop {
        // Copies can also arrive from an owner that is no longer listed, so
        // the check is repeated without a change of the list.
        let _ = timeout(Duration::from_millis(500), entries.changed()).await;
        if !state.holds_lease() {
            continue;
        }
        let listed = entries.read();
        let orphans = state.requests.select(|record| {
            record.outcome() == Outcome::Running
                && is_orphan(&record.owner(), &listed)
        });
        for record in orphans {
            warn!(
                target: "peers",
                "Taking over request {} from an entry that is not listed.",
                record.id
            );
            take_over(&state, record);
        }
        state.requests.prune(state.now());
    }
}

fn is_orphan(owner: &Owner, listed: &[EntryInfo]) -> bool {
    match owner {
        Owner::Elsewhere { id, incarnation, accepted: true } => !listed
            .iter()
            .any(|entry| entry.id == *id && entry.incarnation == *incarnation),
        Owner::Elsewhere { .. } | Owner::HandedOver { .. } | Owner::Here => {
            false
        }
    }
}

fn take_over(state: &Shared, record: Arc<Record>) {
    state.metrics.adopted.inc();
    record.log_decision(format!("taken over by {}", state.info.id));
    record.set_owner(Owner::Here);
    state.runtime.spawn(replicate(state.clone(), record.clone(), None));
    state.runtime.spawn(model::run(state.clone(), record));
}

/// Fetches a request from the other entries.
pub async fn fetch(
    state: &State,
    id: &str,
    offset: usize,
) -> Option<FetchReply> {
    let entries = state.board.entries.read();
    let others = entries.iter().filter(|entry| entry.id != state.info.id);
    let calls = others.map(|entry| async {
        let link = state.peers.link(&state.info, &entry.peer_address)?;
        let mut client = link.client.clone();
        let request =
            FetchRequest { id: id.to_owned(), offset: offset as u64 };
        match timeout(CALL_TIMEOUT, client.fetch(request)).await {
            Ok(Ok(reply)) => Some(reply.into_inner()),
            _ => {
                state.peers.drop_link(&entry.peer_address);
                None
            }
        }
    });
    let replies = futures_util::future::join_all(calls).await;
    let known = replies.into_iter().flatten().filter(|reply| reply.known);
    // A copy may lag behind the owner, so the most complete reply is used.
    known.max_by_key(|reply| (reply.finished, reply.pieces.len()))
}

// ---- Server ----------------------------------------------------------------

/// Serves calls of the other entries until `stop` completes.
pub async fn serve(
    state: Shared,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let service = PeersServer::new(Service { state })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(5)))
        .http2_keepalive_timeout(Some(Duration::from_secs(2)))
        .add_service(service)
        .serve_with_incoming_shutdown(
            TcpIncoming::from(listener).with_nodelay(Some(true)),
            stop,
        )
        .await
}

struct Service {
    state: Shared,
}

impl Service {
    fn apply_progress(
        &self,
        batch: &ProgressBatch,
        item: &Progress,
    ) -> ProgressAck {
        let Some(record) = self.state.requests.get(&item.id) else {
            return ProgressAck::default();
        };
        let from_owner = matches!(
            record.owner(),
            Owner::Elsewhere { id, incarnation, .. }
                if id == batch.owner && incarnation == batch.owner_incarnation
        );
        if !from_owner {
            return ProgressAck::default();
        }
        record.set_owner(Owner::Elsewhere {
            id: batch.owner.clone(),
            incarnation: batch.owner_incarnation,
            accepted: true,
        });
        for (at, piece) in item.pieces.iter().enumerate() {
            record.insert_piece(item.offset + at as u64, piece);
        }
        let now = self.state.now();
        if item.finished {
            record.finish(now, Outcome::Finished);
        } else if !item.failure.is_empty() {
            record.finish(now, Outcome::Failed(item.failure.clone()));
        }
        let ended = record.outcome() != Outcome::Running;
        record.make_visible(usize::MAX, ended);
        if item.handover && !ended {
            info!(
                target: "peers",
                "Entry {} hands over request {}.", batch.owner, item.id
            );
            take_over(&self.state, record.clone());
        }
        ProgressAck { held: true, pieces: record.len() as u64 }
    }
}

#[tonic::async_trait]
impl PeersService for Service {
    async fn hold(
        &self,
        request: Request<HoldRequest>,
    ) -> Result<Response<HoldReply>, Status> {
        let hold = request.into_inner();
        if *self.state.board.draining.read() {
            return Ok(Response::new(HoldReply { held: false }));
        }
        let owner = Owner::Elsewhere {
            id: hold.owner.clone(),
            incarnation: hold.owner_incarnation,
            accepted: false,
        };
        let new = NewRecord {
            id: &hold.id,
            team: &hold.team,
            service: &hold.service,
            body: hold.body.into(),
            deadline: self.state.now() + hold.remaining_ms,
            owner: owner.clone(),
            pieces: hold.pieces,
        };
        let held = match self.state.requests.insert(new) {
            Ok(_) => true,
            Err(known) => matches!(
                known.owner(),
                Owner::Elsewhere { id, incarnation, .. }
                    if id == hold.owner
                        && incarnation == hold.owner_incarnation
            ),
        };
        Ok(Response::new(HoldReply { held }))
    }

    async fn report(
        &self,
        request: Request<ProgressBatch>,
    ) -> Result<Response<ProgressReply>, Status> {
        let batch = request.into_inner();
        let acks = batch
            .items
            .iter()
            .map(|item| self.apply_progress(&batch, item))
            .collect();
        Ok(Response::new(ProgressReply { acks }))
    }

    async fn fetch(
        &self,
        request: Request<FetchRequest>,
    ) -> Result<Response<FetchReply>, Status> {
        let request = request.into_inner();
        let Some(record) = self.state.requests.get(&request.id) else {
            return Ok(Response::new(FetchReply::default()));
        };
        let offset = request.offset as usize;
        let mut changes = record.watch();
        let mut view = record.view(offset);
        if view.pieces.is_empty() && view.outcome == Outcome::Running {
            let _ = timeout(MAX_FETCH_WAIT, changes.changed()).await;
            view = record.view(offset);
        }
        let failure = match &view.outcome {
            Outcome::Failed(text) => text.clone(),
            Outcome::Running | Outcome::Finished => String::new(),
        };
        Ok(Response::new(FetchReply {
            known: true,
            service: record.service.clone(),
            offset: request.offset,
            pieces: view.pieces,
            finished: view.outcome == Outcome::Finished,
            failure,
        }))
    }
}
