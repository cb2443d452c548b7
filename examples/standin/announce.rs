//! Announcement, heartbeats and departure of a stand-in endpoint.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use azuremount::entry::dispatch::{Answer, Call, Dispatcher};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use rand::RngExt;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{Flags, Kind};

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which an entry has to answer a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// The registration of this process with the entries.
pub struct Session {
    flags: Flags,
    address: SocketAddr,
    incarnation: u64,
    entries: Vec<SocketAddr>,
    at: AtomicUsize,
    dispatcher: Dispatcher,
}

impl Session {
    pub fn open(flags: &Flags, address: SocketAddr) -> Session {
        let entries = flags
            .entries
            .split(',')
            .filter(|text| !text.is_empty())
            .map(|text| text.parse().expect("entries are addresses"))
            .collect();
        Session {
            flags: flags.clone(),
            address,
            incarnation: rand::random::<u64>() >> 1 | 1,
            entries,
            at: AtomicUsize::new(0),
            dispatcher: Dispatcher::open(),
        }
    }

    /// Announces the endpoint and sends heartbeats until an entry answers
    /// that the endpoint is gone.
    pub async fn run(&self, kind: &Kind) {
        if self.entries.is_empty() {
            std::future::pending::<()>().await;
        }
        let mut announced = false;
        let mut loads: Vec<(Instant, (u32, u32))> = Vec::new();
        let mut done = 0;
        loop {
            if !announced {
                announced = self.announce().await;
                sleep(Duration::from_millis(50)).await;
                continue;
            }
            loads.push((Instant::now(), kind.load()));
            let lag = Duration::from_millis(self.flags.report_lag_ms);
            let (running, waiting) = loads
                .iter()
                .rev()
                .find(|(at, _)| at.elapsed() >= lag)
                .map_or((0, 0), |(_, load)| *load);
            if loads.len() > 100 {
                loads.remove(0);
            }
            let body = json!({
                "id": self.flags.id,
                "incarnation": self.incarnation,
                "running": running,
                "waiting": waiting,
                "order_done": done,
            });
            match self.post("heartbeat", &body).await {
                Some(answer) if answer.status == StatusCode::OK => {
                    done = self.carry_out_orders(&answer, done);
                    self.publish_cache(kind).await;
                    sleep(HEARTBEAT_INTERVAL).await;
                }
                Some(answer) if answer.status == StatusCode::NOT_FOUND => {
                    announced = false;
                }
                Some(answer) if answer.status == StatusCode::GONE => return,
                _ => self.next_entry().await,
            }
        }
    }

    async fn announce(&self) -> bool {
        let fencing =
            if self.flags.checks_fencing { "checked" } else { "ignored" };
        let body = json!({
            "id": self.flags.id,
            "incarnation": self.incarnation,
            "service": self.flags.service,
            "data_centre": self.flags.data_centre,
            "address": self.address.to_string(),
            "class": self.flags.class,
            "reclaimable": self.flags.reclaimable,
            "fencing": fencing,
            "slots": self.flags.slots,
        });
        let answer = self.post("announce", &body).await;
        let accepted =
            answer.is_some_and(|answer| answer.status == StatusCode::OK);
        if !accepted {
            self.next_entry().await;
        }
        accepted
    }

    /// Carries out orders, oldest first. Returns the highest sequence.
    fn carry_out_orders(&self, answer: &Answer, done: u64) -> u64 {
        let body: Value =
            serde_json::from_slice(&answer.body).unwrap_or_default();
        let mut last = done;
        for order in body["orders"].as_array().into_iter().flatten() {
            let sequence = order["sequence"].as_u64().unwrap_or(0);
            let old = sequence <= last;
            if old && self.flags.checks_fencing {
                continue;
            }
            println!("order {sequence} {}", order["action"]);
            last = last.max(sequence);
        }
        last
    }

    /// Sends the blocks added to and evicted from the cache to all entries,
    /// without the configured share of lost events.
    async fn publish_cache(&self, kind: &Kind) {
        let (mut added, mut evicted) = kind.cache_events();
        let lost = self.flags.lost_events;
        let keep = |_: &u64| rand::rng().random_range(0..100) >= lost;
        added.retain(keep);
        evicted.retain(keep);
        if added.is_empty() && evicted.is_empty() {
            return;
        }
        let hex = |blocks: Vec<u64>| -> Vec<String> {
            blocks.iter().map(|block| format!("{block:016x}")).collect()
        };
        let body = json!({
            "id": self.flags.id,
            "incarnation": self.incarnation,
            "added": hex(added),
            "evicted": hex(evicted),
        });
        for address in &self.entries {
            self.send(*address, "cache", &body).await;
        }
    }

    /// Announces the departure and waits until all requests have finished,
    /// for about `within_ms` at most.
    pub async fn leave(&self, kind: &Kind) {
        let deadline =
            Instant::now() + Duration::from_millis(self.flags.within_ms);
        let body = json!({
            "id": self.flags.id,
            "incarnation": self.incarnation,
            "within_ms": self.flags.within_ms,
        });
        while !self.entries.is_empty() && Instant::now() < deadline {
            let answer = self.post("leave", &body).await;
            if answer.is_some_and(|answer| answer.status.is_success()) {
                break;
            }
            self.next_entry().await;
        }
        // Requests that entries sent before they learned of the departure
        // still arrive.
        sleep(Duration::from_millis(300)).await;
        while kind.load() != (0, 0) && Instant::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn next_entry(&self) {
        self.at.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(100)).await;
    }

    async fn post(&self, what: &str, body: &Value) -> Option<Answer> {
        let at = self.at.load(Ordering::Relaxed) % self.entries.len();
        self.send(self.entries[at], what, body).await
    }

    async fn send(
        &self,
        address: SocketAddr,
        what: &str,
        body: &Value,
    ) -> Option<Answer> {
        let call = Call {
            address,
            method: Method::POST,
            path: format!("/v1/endpoints/{what}"),
            headers: HeaderMap::new(),
            body: Bytes::from(body.to_string()),
        };
        self.dispatcher.send_repeatable(call, CALL_TIMEOUT, true).await.ok()
    }
}
