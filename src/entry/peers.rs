//! Copies of accepted model requests at a second entry, the buddy.
//!
//! Before a model request counts as accepted, another entry holds a copy of
//! it, in another data centre if there is one. The answer follows piece by
//! piece. When the owner stops it hands the request over; when it dies, the
//! buddy takes it over once control no longer lists the owner.
//!
//! # Not run means not run
//!
//! A copy whose acknowledgement was lost may lie at an entry that the owner
//! does not count on, for a request that it then refused. So a copy alone is
//! never taken over: only after the owner's first report, which says that it
//! accepted.
//!
//! Reports of all requests that go to one peer share their calls: while one
//! is under way the next ones gather.

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
    requests::{New, Outcome, Owner, Record},
    state::{Shared, State},
};
use crate::{
    control::server::{MESSAGE_LIMIT, connect},
    util::position,
    wire::{
        EntryInfo, FetchReply, FetchRequest, HoldReply, HoldRequest, Progress,
        ProgressAck, ProgressBatch, ProgressReply,
        peers_client::PeersClient,
        peers_server::{Peers as PeersService, PeersServer},
    },
};

/// How long a peer may take for one call.
const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Pause between two batches to one peer, for pieces to gather.
const PACE: Duration = Duration::from_millis(5);
/// How long a fetch waits for something new.
const FETCH_WAIT: Duration = Duration::from_millis(200);
/// Pause before looking for a buddy again when none answered.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

type Report = (Progress, oneshot::Sender<ProgressAck>);

#[derive(Debug)]
struct Link {
    address: String,
    client: PeersClient<Channel>,
    reports: mpsc::Sender<Report>,
}

/// Links to the other entries, each made when first used.
#[derive(Debug, Default)]
pub struct Peers {
    links: Mutex<Vec<Arc<Link>>>,
}

/// Another entry did not do what was asked of it in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silent;

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
                let pump = Pump {
                    owner: owner.id.clone(),
                    incarnation: owner.incarnation,
                    address,
                    client: client.clone(),
                };
                tokio::spawn(pump.run(queue));
                let link =
                    Arc::new(Link { address: to.to_owned(), client, reports });
                links.insert(at, link.clone());
                Some(link)
            }
        }
    }

    /// Drops a link, so that the next use makes a new connection.
    fn forget(&self, to: &str) {
        let mut links =
            self.links.lock().unwrap_or_else(|held| held.into_inner());
        links.retain(|link| link.address != to);
    }
}

fn open_client(address: SocketAddr) -> PeersClient<Channel> {
    PeersClient::new(connect(address))
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT)
}

/// Sends the reports of all requests that one peer holds.
struct Pump {
    owner: String,
    incarnation: u64,
    address: SocketAddr,
    client: PeersClient<Channel>,
}

impl Pump {
    async fn run(mut self, mut queue: mpsc::Receiver<Report>) {
        let mut waiting: Vec<Report> = Vec::new();
        while queue.recv_many(&mut waiting, 1024).await > 0 {
            let (items, answers): (Vec<_>, Vec<_>) = waiting.drain(..).unzip();
            let batch = ProgressBatch {
                owner: self.owner.clone(),
                owner_incarnation: self.incarnation,
                items,
            };
            let reply = timeout(CALL_LIMIT, self.client.report(batch)).await;
            match reply {
                Ok(Ok(reply)) => {
                    let acks = reply.into_inner().acks;
                    for (answer, ack) in answers.into_iter().zip(acks) {
                        let _ = answer.send(ack);
                    }
                }
                // Dropping the answers tells their requests to look for
                // another buddy. The connection may be silent for good.
                _ => self.client = open_client(self.address),
            }
            sleep(PACE).await;
        }
    }
}

/// Puts a first copy of a new request somewhere.
///
/// Returns the buddy's address, or `None` when this entry is the only one
/// that serves.
///
/// # Errors
///
/// When other entries are listed and none of them answered.
pub async fn hold(
    state: &State,
    record: &Record,
) -> Result<Option<String>, Silent> {
    let candidates = candidates(state, &record.id);
    if candidates.is_empty() {
        return Ok(None);
    }
    for address in candidates.iter().take(3) {
        if hold_at(state, record, address).await {
            return Ok(Some(address.clone()));
        }
    }
    Err(Silent)
}

async fn hold_at(state: &State, record: &Record, address: &str) -> bool {
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
    match timeout(CALL_LIMIT, client.hold(request)).await {
        Ok(Ok(reply)) => reply.into_inner().held,
        _ => {
            state.peers.forget(address);
            false
        }
    }
}

/// Peers that can hold a request, best first: other data centres before this
/// one, in an order that differs from request to request.
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

/// Keeps a request's buddy up to date until the request has ended.
pub async fn keep(
    state: Shared,
    record: Arc<Record>,
    mut buddy: Option<String>,
) {
    let mut changes = record.watch();
    let mut sent = 0;
    let mut first = true;
    loop {
        if record.owner() != Owner::Here {
            return;
        }
        let Some(address) = &buddy else {
            buddy = find_buddy(&state, &record).await;
            if buddy.is_none() && candidates(&state, &record.id).is_empty() {
                // Nobody else serves; the answer is as safe as it gets.
                let ended = record.outcome() != Outcome::Running;
                record.make_safe(usize::MAX, ended);
                if ended {
                    return;
                }
                let _ = timeout(LOOK_AGAIN, changes.changed()).await;
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
        let item = progress(&record.id, sent, &tail, false);
        match report(&state, address, item).await {
            Ok(ack) if ack.held => {
                first = false;
                sent = ack.pieces as usize;
                let all = sent >= record.len();
                record.make_safe(sent, ended && all);
                if ended && all {
                    return;
                }
            }
            Ok(_) => {
                // It took the request over, or lost it: it must not get a
                // second writer. Only an owner that is no longer listed is
                // taken over, so this entry has been given up by control.
                info!(target: "peers", "{address} has dropped {}.", record.id);
                buddy = None;
            }
            Err(Silent) => buddy = None,
        }
    }
}

async fn find_buddy(state: &Shared, record: &Record) -> Option<String> {
    match hold(state, record).await {
        Ok(buddy) => buddy,
        Err(Silent) => {
            sleep(LOOK_AGAIN).await;
            None
        }
    }
}

fn progress(
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

async fn report(
    state: &State,
    address: &str,
    item: Progress,
) -> Result<ProgressAck, Silent> {
    let link = state.peers.link(&state.info, address).ok_or(Silent)?;
    let (answer, answered) = oneshot::channel();
    link.reports.send((item, answer)).await.map_err(|_| Silent)?;
    match timeout(2 * CALL_LIMIT, answered).await {
        Ok(Ok(ack)) => Ok(ack),
        _ => {
            state.peers.forget(address);
            Err(Silent)
        }
    }
}

/// Hands a request over to another entry, which carries on with it.
///
/// Returns the new owner's address for callers.
pub async fn hand_over(state: &Shared, record: &Record) -> Option<String> {
    for address in candidates(state, &record.id) {
        if !hold_at(state, record, &address).await {
            continue;
        }
        let tail = record.tail(0);
        let item = progress(&record.id, 0, &tail, true);
        let ack = report(state, &address, item).await;
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

/// Takes over the requests of entries that control no longer lists.
pub async fn adopt_orphans(state: Shared) {
    let mut entries = state.board.entries.watch();
    loop {
        // New copies can come in for an owner that is already gone.
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
            warn!(target: "peers", "Takes over {}.", record.id);
            adopt(&state, record);
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

fn adopt(state: &Shared, record: Arc<Record>) {
    state.metrics.adopted.inc();
    record.note(format!("taken over by {}", state.info.id));
    record.set_owner(Owner::Here);
    state.runtime.spawn(keep(state.clone(), record.clone(), None));
    state.runtime.spawn(model::run(state.clone(), record));
}

/// Looks for a request at the other entries.
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
        match timeout(CALL_LIMIT, client.fetch(request)).await {
            Ok(Ok(reply)) => Some(reply.into_inner()),
            _ => {
                state.peers.forget(&entry.peer_address);
                None
            }
        }
    });
    let replies = futures_util::future::join_all(calls).await;
    let known = replies.into_iter().flatten().filter(|reply| reply.known);
    // A copy may lag behind the owner: the one that has most is the best.
    known.max_by_key(|reply| (reply.finished, reply.pieces.len()))
}

// ---- The other side ---------------------------------------------------------

/// Serves the other entries until `stop` ends.
pub async fn serve(
    state: Shared,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let service = PeersServer::new(Service { state })
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
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
    fn take_progress(
        &self,
        batch: &ProgressBatch,
        item: &Progress,
    ) -> ProgressAck {
        let Some(record) = self.state.requests.get(&item.id) else {
            return ProgressAck::default();
        };
        let ours = matches!(
            record.owner(),
            Owner::Elsewhere { id, incarnation, .. }
                if id == batch.owner && incarnation == batch.owner_incarnation
        );
        if !ours {
            return ProgressAck::default();
        }
        record.set_owner(Owner::Elsewhere {
            id: batch.owner.clone(),
            incarnation: batch.owner_incarnation,
            accepted: true,
        });
        for (at, piece) in item.pieces.iter().enumerate() {
            record.put(item.offset + at as u64, piece);
        }
        let now = self.state.now();
        if item.finished {
            record.finish(now, Outcome::Finished);
        } else if !item.failure.is_empty() {
            record.finish(now, Outcome::Failed(item.failure.clone()));
        }
        let ended = record.outcome() != Outcome::Running;
        record.make_safe(usize::MAX, ended);
        if item.handover && !ended {
            info!(target: "peers", "{} hands over {}.", batch.owner, item.id);
            adopt(&self.state, record.clone());
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
        let new = New {
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
            .map(|item| self.take_progress(&batch, item))
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
            let _ = timeout(FETCH_WAIT, changes.changed()).await;
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
