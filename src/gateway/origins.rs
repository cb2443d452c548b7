//! Keeps records of where streams began at other nodes, and finds them there.
//!
//! While a replica computes the first event of a stream, the node that answers
//! the request sends the record to two other nodes, which follow from a hash
//! of the request's id. The answer waits for a short time until one of them
//! has sent a receipt, so that the record is there before the caller has seen
//! an event. A node at which a caller resumes a stream asks the nodes that may
//! have the record.
//!
//! Another attempt changes the record. A node that has sent no receipt for the
//! change may still name the earlier attempt. That does no harm where both
//! have the same software version and a heartbeat shows that the replica that
//! answers has it. A replica of another version is asked only once all nodes
//! that may have the record have sent a receipt for one that names no version.
//!
//! Records and receipts are datagrams, as an exchange takes no connection. Lost
//! ones are sent again.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};
use tracing::info;

use super::{Gateway, upstream::CONNECT_TIMEOUT};
use crate::{
    decide::origin::{Origin, Record, Store},
    fingerprint,
    metrics::StreamRecord,
    wire::{self, Gossip, Receipt, StreamOrigin},
};

/// Number of other nodes that keep the record of a stream.
const HOLDERS: usize = 2;
/// Number of nodes that are asked for a record. It is larger than [`HOLDERS`]:
/// nodes that have joined meanwhile come before the holders in the order.
const ASKED_NODES: usize = 4;
/// Time after which a datagram without a reply is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(25);
/// The same once the receipts are late. A heartbeat may end the wait as well.
const LATE_RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that an answer waits for the receipt of its record. Without a
/// receipt the stream begins all the same, unless another node may have an
/// earlier version of the record that is wrong.
pub(super) const MAX_RECEIPT_WAIT: Duration = Duration::from_millis(100);
/// Maximum time of a lookup: two round trips between regions.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of items of one kind that are taken from a datagram.
const MAX_ITEMS_PER_DATAGRAM: usize = 64;
/// Records in one datagram when a node stops, so that it fits an Ethernet
/// frame.
const RECORDS_PER_DATAGRAM: usize = 16;
/// Maximum number of replies that are kept for one waiting request.
const MAX_REPLIES: usize = 32;

/// The records of this node, and the requests that wait for other nodes.
#[derive(Debug, Default)]
pub(super) struct Origins {
    store: Mutex<Store>,
    waiting: Mutex<Vec<Arc<Mailbox>>>,
    /// Set once the records have been handed over, when the node stops.
    is_handed_over: AtomicBool,
}

/// What other nodes have replied about one stream.
#[derive(Debug)]
struct Mailbox {
    stream: u64,
    replies: Mutex<Vec<Reply>>,
    arrived: Notify,
}

#[derive(Clone, Debug)]
struct Reply {
    from: Ipv4Addr,
    kind: ReplyKind,
}

impl Reply {
    fn is_receipt(&self, holder: Ipv4Addr, of: u32) -> bool {
        let is_kept = match self.kind {
            ReplyKind::Kept(sequence) => sequence == of,
            ReplyKind::Found(_) | ReplyKind::Unknown => false,
        };
        self.from == holder && is_kept
    }
}

#[derive(Clone, Debug)]
enum ReplyKind {
    /// The node keeps the record with this sequence number.
    Kept(u32),
    /// The node has this record.
    Found(Record),
    /// The node has no record.
    Unknown,
}

impl Origins {
    fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// Drops the records whose retention has passed.
    pub fn expire(&self, now: u64) {
        self.store().expire(now);
    }

    /// Delivers a reply. Returns false if nothing waits for it any longer.
    fn deliver(&self, from: Ipv4Addr, stream: u64, kind: ReplyKind) -> bool {
        let waiting = lock(&self.waiting);
        let mut is_awaited = false;
        for mailbox in waiting.iter().filter(|one| one.stream == stream) {
            is_awaited = true;
            let mut replies = lock(&mailbox.replies);
            let is_repeated = match kind {
                ReplyKind::Kept(sequence) => {
                    replies.iter().any(|one| one.is_receipt(from, sequence))
                }
                ReplyKind::Found(_) | ReplyKind::Unknown => false,
            };
            if replies.len() < MAX_REPLIES && !is_repeated {
                replies.push(Reply { from, kind: kind.clone() });
            }
            mailbox.arrived.notify_one();
        }
        is_awaited
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|held| held.into_inner())
}

/// A mailbox that receives replies until dropped.
struct Waiter {
    gateway: Arc<Gateway>,
    mailbox: Arc<Mailbox>,
}

impl Waiter {
    fn open(gateway: &Arc<Gateway>, stream: u64) -> Waiter {
        let mailbox = Arc::new(Mailbox {
            stream,
            replies: Mutex::default(),
            arrived: Notify::new(),
        });
        lock(&gateway.origins.waiting).push(mailbox.clone());
        Waiter { gateway: gateway.clone(), mailbox }
    }

    fn replies(&self) -> MutexGuard<'_, Vec<Reply>> {
        lock(&self.mailbox.replies)
    }

    /// Waits for the next reply. Returns false when none arrived in time.
    async fn next(&self, until: Instant) -> bool {
        timeout_at(until, self.mailbox.arrived.notified()).await.is_ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut waiting = lock(&self.gateway.origins.waiting);
        waiting.retain(|one| !Arc::ptr_eq(one, &self.mailbox));
    }
}

/// The record of one request's stream, until its first event is sent.
pub(super) struct Recording {
    waiter: Waiter,
    record: Option<Record>,
    keep_ms: u64,
    /// Nodes that were sent any version of the record.
    holders: Vec<Ipv4Addr>,
    /// Earlier records that name a version and that other nodes may have.
    former: Vec<Record>,
    /// Nodes that were sent one of these.
    former_holders: Vec<Ipv4Addr>,
}

impl Recording {
    pub fn open(
        gateway: &Arc<Gateway>,
        stream: u64,
        keep_ms: u64,
    ) -> Recording {
        Recording {
            waiter: Waiter::open(gateway, stream),
            record: None,
            keep_ms,
            holders: Vec::new(),
            former: Vec::new(),
            former_holders: Vec::new(),
        }
    }

    /// Records where the stream begins, if the next attempt succeeds:
    /// `replica` is the incarnation that the request is sent to.
    ///
    /// `opened_at` is when the attempt's connection was open, once there is
    /// one. A record from long before then may name an incarnation that was
    /// gone, so it is replaced.
    pub fn record(
        &mut self,
        origin: Origin,
        replica: u32,
        opened_at: Option<u64>,
    ) {
        let is_of_attempt = |record: &Record| {
            record.origin == origin
                && record.replica == replica
                && opened_at
                    .is_none_or(|at| at <= latest_opening(record.recorded_at))
        };
        if self.record.as_ref().is_some_and(is_of_attempt) {
            return;
        }
        let earlier = self.former.iter().find(|record| is_of_attempt(record));
        let recorded_at = earlier.map(|record| record.recorded_at);
        self.replace(origin, replica, recorded_at);
    }

    /// Replaces the record. An attempt that was on record before keeps its
    /// time.
    fn replace(
        &mut self,
        origin: Origin,
        replica: u32,
        recorded_at: Option<u64>,
    ) {
        let former = self.record.take();
        let sequence = former.as_ref().map_or(0, |record| record.sequence);
        // A stream whose version is not certain is never resumed.
        let former = former.filter(|record| !record.origin.version.is_empty());
        if let Some(former) = former {
            self.former.push(former);
            self.former_holders.clone_from(&self.holders);
        }
        let gateway = &self.waiter.gateway;
        let record = Record {
            stream: self.waiter.mailbox.stream,
            origin,
            replica,
            sequence: sequence + 1,
            recorded_at: recorded_at.unwrap_or(gateway.timer.now()),
            keep_ms: self.keep_ms,
        };
        gateway.origins.store().insert(record.clone());
        if self.holders.is_empty() {
            self.holders = gateway.origin_holders(record.stream, HOLDERS);
        }
        self.record = Some(record);
        self.send(&self.holders);
    }

    /// Returns the version that nodes may have on record, if there is one. It
    /// is empty if they may have different ones.
    pub fn version(&self) -> Option<&str> {
        let records = self.former.iter().chain(&self.record);
        let mut versions = records
            .map(|record| record.origin.version.as_str())
            .filter(|version| !version.is_empty());
        let first = versions.next()?;
        let is_same = versions.all(|version| version == first);
        Some(if is_same { first } else { "" })
    }

    /// Replaces the record by one that names no version, and waits until no
    /// other node has one that does. Returns false if that takes too long.
    pub async fn withdraw(&mut self, until: Instant) -> bool {
        let Some(record) = &self.record else { return true };
        if !record.origin.version.is_empty() {
            let service = record.origin.service.clone();
            let version = String::new();
            self.replace(Origin { service, version }, 0, None);
        }
        let late_at = Instant::now() + MAX_RECEIPT_WAIT;
        while !self.is_replaced() {
            if Instant::now() >= until {
                self.log_unkept("Record of a stream not withdrawn in time.");
                return false;
            }
            let resend_at = Instant::now() + resend_interval(late_at);
            if !self.waiter.next(until.min(resend_at)).await {
                self.send(&self.holders_without_receipt());
            }
        }
        self.former.clear();
        true
    }

    fn send(&self, to: &[Ipv4Addr]) {
        let Some(record) = &self.record else { return };
        let recorded = vec![to_wire(record, record.recorded_at)];
        let message = wire::Origins { recorded, ..Default::default() };
        self.waiter.gateway.send_origins(to, message);
    }

    /// Waits for a limited time until the record is kept elsewhere, and until
    /// the deadline where another node may have an earlier version of it that
    /// is wrong. `is_confirmed` returns whether the replica that answers is
    /// known to have the version on record.
    ///
    /// Returns false if the stream must not begin.
    pub async fn wait_until_kept(
        &mut self,
        deadline: Instant,
        is_confirmed: impl Fn() -> bool,
    ) -> bool {
        let late_at = Instant::now() + MAX_RECEIPT_WAIT;
        let mut is_logged = false;
        loop {
            let is_safe = self.is_safe(&is_confirmed);
            if self.has_receipt() && is_safe {
                self.count("kept");
                return true;
            }
            let now = Instant::now();
            if now >= late_at && !is_logged {
                is_logged = true;
                self.log_unkept(
                    "Record of a stream not kept elsewhere in time.",
                );
            }
            if now >= late_at.min(deadline) && is_safe {
                self.count("unkept");
                return true;
            }
            if now >= deadline {
                self.count("outdated");
                return false;
            }
            let resend_at = now + resend_interval(late_at);
            if self.waiter.next(deadline.min(resend_at)).await {
                continue;
            }
            self.add_holder();
            self.send(&self.holders_without_receipt());
        }
    }

    /// Returns true if a node that has an earlier record can't let the stream
    /// go on at another software version.
    fn is_safe(&self, is_confirmed: impl Fn() -> bool) -> bool {
        let Some(record) = &self.record else { return true };
        let is_same_attempt = |former: &Record| {
            former.origin == record.origin
                && former.replica == record.replica
                && former.recorded_at == record.recorded_at
        };
        let mut others =
            self.former.iter().filter(|former| !is_same_attempt(former));
        let is_same_version =
            others.clone().all(|former| former.origin == record.origin);
        others.next().is_none()
            || is_same_version && is_confirmed()
            || self.is_replaced()
    }

    /// Returns true if the record is kept elsewhere and no other node has an
    /// earlier one.
    pub fn is_settled(&self) -> bool {
        self.has_receipt() && (self.former.is_empty() || self.is_replaced())
    }

    /// Sends the record until it is settled, at growing intervals, or until
    /// `until`.
    pub async fn send_until_settled(mut self, until: Instant) {
        let mut interval = LATE_RESEND_INTERVAL;
        while !self.is_settled() && Instant::now() < until {
            let resend_at = Instant::now() + interval;
            if !self.waiter.next(until.min(resend_at)).await {
                interval *= 2;
                self.add_holder();
                self.send(&self.holders_without_receipt());
            }
        }
    }

    /// Returns true if another node has sent a receipt, or if there is none
    /// that could.
    fn has_receipt(&self) -> bool {
        let missing = self.holders_without_receipt().len();
        missing < self.holders.len() || missing == 0
    }

    /// Returns true if no other node has an earlier version of the record.
    fn is_replaced(&self) -> bool {
        let missing = self.holders_without_receipt();
        !self.former_holders.iter().any(|holder| missing.contains(holder))
    }

    fn count(&self, outcome: &'static str) {
        let records = &self.waiter.gateway.metrics.stream_records;
        records.get_or_create(&StreamRecord { outcome }).inc();
    }

    fn log_unkept(&self, text: &'static str) {
        let missing = self.holders_without_receipt();
        let now = self.waiter.gateway.timer.now();
        let record = self.record.as_ref();
        info!(
            target: "gateway",
            stream = fingerprint::shown(self.waiter.mailbox.stream),
            sequence = record.map_or(0, |record| record.sequence),
            age_ms = record.map_or(0, |record| now - record.recorded_at),
            holders = self.holders.len(),
            missing = ?missing,
            "{text}"
        );
    }

    fn holders_without_receipt(&self) -> Vec<Ipv4Addr> {
        let sequence = self.record.as_ref().map_or(0, |one| one.sequence);
        let replies = self.waiter.replies();
        let has_receipt = |holder: &Ipv4Addr| {
            let mut replies = replies.iter();
            replies.any(|reply| reply.is_receipt(*holder, sequence))
        };
        let holders = self.holders.iter().copied();
        holders.filter(|holder| !has_receipt(holder)).collect()
    }

    /// Adds the next node of the order, as the holders do not reply.
    fn add_holder(&mut self) {
        let stream = self.waiter.mailbox.stream;
        let gateway = &self.waiter.gateway;
        let nodes = gateway.origin_holders(stream, ASKED_NODES);
        let mut others =
            nodes.into_iter().filter(|node| !self.holders.contains(node));
        self.holders.extend(others.next());
    }
}

/// Where a record was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// This node has it.
    Own,
    /// Another node has it.
    Node(Ipv4Addr),
}

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Lookup {
    /// The record.
    Found(Record, Source),
    /// No node that may have the record has one.
    Unknown,
    /// Some of the nodes that may have the record did not reply.
    Unanswered,
}

impl Gateway {
    /// Returns the nodes that keep the record of a stream, at most `count`.
    fn origin_holders(&self, stream: u64, count: usize) -> Vec<Ipv4Addr> {
        let Some(mesh) = self.mesh.get() else { return Vec::new() };
        mesh.table().origin_holders(self.timer.now(), stream, count)
    }

    fn send_origins(&self, to: &[Ipv4Addr], origins: wire::Origins) {
        let Some(mesh) = self.mesh.get() else { return };
        let origins = Some(origins);
        mesh.send(to, &Gossip { origins, ..Gossip::default() });
    }

    /// Finds out where a stream began: from this node's records, or from the
    /// nodes that may keep its record.
    pub(super) async fn find_origin(
        self: &Arc<Gateway>,
        stream: u64,
    ) -> Lookup {
        if let Some(record) = self.origins.store().get(stream) {
            return Lookup::Found(record.clone(), Source::Own);
        }
        let knows_nodes = || {
            let nodes = self.origin_holders(stream, ASKED_NODES);
            (!nodes.is_empty()).then_some(nodes)
        };
        let nodes = self.wait_at_start(knows_nodes).await.unwrap_or_default();
        let waiter = Waiter::open(self, stream);
        let until = Instant::now() + LOOKUP_TIMEOUT;
        let mut unanswered = nodes.clone();
        while !unanswered.is_empty() {
            let wanted = vec![stream];
            let message = wire::Origins { wanted, ..Default::default() };
            self.send_origins(&unanswered, message);
            let resend_at = Instant::now() + RESEND_INTERVAL;
            while !unanswered.is_empty()
                && waiter.next(until.min(resend_at)).await
            {
                let replies = waiter.replies();
                if let Some((record, from)) = newest_found(&replies) {
                    return Lookup::Found(record, Source::Node(from));
                }
                unanswered.retain(|node| {
                    !replies.iter().any(|reply| reply.from == *node)
                });
            }
            if Instant::now() >= until {
                break;
            }
        }
        match unanswered.is_empty() {
            true => Lookup::Unknown,
            false => Lookup::Unanswered,
        }
    }

    /// Handles another node's message, and returns the reply if there is one.
    pub(crate) fn receive_origins(
        &self,
        from: Ipv4Addr,
        message: wire::Origins,
    ) -> Option<wire::Origins> {
        let now = self.timer.now();
        let origins = &self.origins;
        let most = MAX_ITEMS_PER_DATAGRAM;
        let mut reply = wire::Origins::default();
        for recorded in message.recorded.into_iter().take(most) {
            let (stream, sequence) = (recorded.stream, recorded.sequence);
            origins.store().insert(from_wire(now, recorded));
            // Earlier versions of these records are at other nodes by now.
            if !origins.is_handed_over.load(Ordering::Relaxed) {
                reply.receipts.push(Receipt { stream, sequence });
            }
        }
        for stream in message.wanted.into_iter().take(most) {
            match origins.store().get(stream) {
                Some(record) => reply.found.push(to_wire(record, now)),
                None => reply.unknown.push(stream),
            }
        }
        for receipt in message.receipts.into_iter().take(most) {
            let kind = ReplyKind::Kept(receipt.sequence);
            if !origins.deliver(from, receipt.stream, kind) {
                self.metrics.late_receipts.inc();
            }
        }
        for found in message.found.into_iter().take(most) {
            let record = from_wire(now, found);
            let stream = record.stream;
            origins.deliver(from, stream, ReplyKind::Found(record));
        }
        for stream in message.unknown.into_iter().take(most) {
            origins.deliver(from, stream, ReplyKind::Unknown);
        }
        (reply != wire::Origins::default()).then_some(reply)
    }

    /// Sends the records of this node to all nodes that are asked for them once
    /// it has stopped. Some of these may have stopped just before.
    pub(crate) fn hand_over_origins(&self) {
        self.origins.is_handed_over.store(true, Ordering::Relaxed);
        let now = self.timer.now();
        let mut batches: Vec<(Ipv4Addr, Vec<StreamOrigin>)> = Vec::new();
        let records = self.origins.store().records().to_vec();
        for record in &records {
            for node in self.origin_holders(record.stream, ASKED_NODES) {
                let item = to_wire(record, now);
                match batches.iter_mut().find(|(to, _)| *to == node) {
                    Some((_, batch)) => batch.push(item),
                    None => batches.push((node, vec![item])),
                }
            }
        }
        for (node, batch) in batches {
            for recorded in batch.chunks(RECORDS_PER_DATAGRAM) {
                let recorded = recorded.to_vec();
                let message = wire::Origins { recorded, ..Default::default() };
                self.send_origins(&[node], message);
            }
        }
    }
}

/// Returns the time after which a datagram without a reply is sent again.
fn resend_interval(late_at: Instant) -> Duration {
    match Instant::now() < late_at {
        true => RESEND_INTERVAL,
        false => LATE_RESEND_INTERVAL,
    }
}

/// Returns the latest time at which the connection of a recorded attempt was
/// opened.
pub(super) fn latest_opening(recorded_at: u64) -> u64 {
    recorded_at + CONNECT_TIMEOUT.as_millis() as u64
}

fn newest_found(replies: &[Reply]) -> Option<(Record, Ipv4Addr)> {
    let found = replies.iter().filter_map(|reply| match &reply.kind {
        ReplyKind::Found(record) => Some((record.clone(), reply.from)),
        _ => None,
    });
    found.max_by_key(|(record, _)| record.sequence)
}

fn to_wire(record: &Record, now: u64) -> StreamOrigin {
    let age_ms = now.saturating_sub(record.recorded_at);
    StreamOrigin {
        stream: record.stream,
        service: record.origin.service.clone(),
        version: record.origin.version.clone(),
        replica: record.replica,
        sequence: record.sequence,
        age_ms: age_ms.min(u32::MAX.into()) as u32,
        keep_ms: record.keep_ms.min(u32::MAX.into()) as u32,
    }
}

fn from_wire(now: u64, says: StreamOrigin) -> Record {
    Record {
        stream: says.stream,
        origin: Origin { service: says.service, version: says.version },
        replica: says.replica,
        sequence: says.sequence,
        recorded_at: now.saturating_sub(says.age_ms.into()),
        keep_ms: says.keep_ms.into(),
    }
}
