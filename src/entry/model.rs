//! Accepts model requests and runs them to completion, across departures and
//! crashes of endpoints and entries.
//!
//! Each request runs in its own task, independent of the caller's connection.
//! [`run`] streams from one endpoint after another until the answer is
//! complete. Each attempt resumes after the last piece in the record. Streams
//! of a leaving endpoint move to another endpoint, which is given the address
//! where it can fetch the old endpoint's KV cache.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyDataStream;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::{
    admission::{self, Permit},
    callers::Caller,
    chat::Chat,
    dispatch::{Call, CallError},
    peers, plain,
    refusal::Refusal,
    requests::{NewRecord, Outcome, Owner, Record},
    state::Shared,
};
use crate::{
    backoff::Backoff,
    config::Service,
    decide::{
        moving::{self, Stream},
        prefix,
        quarantine::Identity,
        route::{Choice, RouteRequest, VersionRule},
    },
    fingerprint,
    metrics::Labels,
    util::random_id,
    verdict::Verdict,
    wire::Endpoint,
};

/// Request field with the number and text of the pieces after which the
/// endpoint resumes.
const RESUME_FIELD: &str = "azuremount_resume";
/// Request field with the hashes of the prompt's blocks, for cache events.
const BLOCKS_FIELD: &str = "azuremount_blocks";
/// Header with the request's id, under which its KV cache can be fetched.
const REQUEST_HEADER: &str = "azuremount-request";
/// Header with the address and request id from which an endpoint can fetch
/// the KV cache.
const KV_HEADER: &str = "azuremount-kv-from";
/// Delay before looking for an endpoint again when none is available.
const NO_ENDPOINT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time to wait for the backup entry to learn that the request was accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts a request and starts to run it. An accepted request will be
/// answered.
///
/// # Errors
///
/// Returns a refusal if the request was not accepted; it was not run.
pub async fn accept(
    state: &Shared,
    caller: &Caller,
    service: &Service,
    chat: &Chat,
    body: bytes::Bytes,
) -> Result<Arc<Record>, Refusal> {
    let id = match &caller.key {
        Some(key) => key.clone(),
        None => format!("{}-{:016x}", state.info.id, random_id()),
    };
    if let Some(known) = state.requests.get(&id) {
        return check_same_body(known, &body);
    }
    let identity = identity_of(&caller.team, &service.name, &body, chat);
    state.check_quarantine(&identity, &service.name)?;
    let arrived = state.now();
    let cost = f64::from(chat.prompt_tokens()) + chat.max_pieces as f64;
    let permit = admission::admit(
        state,
        service,
        &caller.team,
        cost as f32,
        caller.deadline,
    );
    let permit = permit.await?;
    let labels =
        Labels { team: caller.team.clone(), service: service.name.clone() };
    let waited = state.now().saturating_sub(arrived) as f64 / 1000.0;
    state.metrics.queue_wait.get_or_create(&labels).observe(waited);
    let new = NewRecord {
        id: &id,
        team: &caller.team,
        service: &service.name,
        body: body.clone(),
        deadline: caller.deadline,
        owner: Owner::Here,
        pieces: Vec::new(),
    };
    let record = match state.requests.insert(new) {
        Ok(record) => record,
        Err(known) => return check_same_body(known, &body),
    };
    let backup = match peers::place_copy(state, &record).await {
        Ok(backup) => backup,
        Err(peers::Unavailable) => {
            state.requests.remove(&id);
            let text = "no other entry could take a copy";
            return Err(Refusal::retryable(text, 500));
        }
    };
    // The request runs from here on. The response head is sent once the
    // backup entry knows that the request was accepted (see the module
    // documentation of `peers`).
    let task = run_with(state.clone(), record.clone(), Some(permit));
    state.runtime.spawn(task);
    let mut changes = record.watch();
    let replication = peers::replicate(state.clone(), record.clone(), backup);
    state.runtime.spawn(replication);
    let accepted = async {
        while !record.is_accepted() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = timeout(ACCEPT_TIMEOUT, accepted).await;
    Ok(record)
}

fn identity_of(
    team: &str,
    service: &str,
    body: &[u8],
    chat: &Chat,
) -> Identity {
    let parts = [team.as_bytes(), service.as_bytes(), body];
    Identity::new(fingerprint::of(&parts), chat.shared_parts.clone())
}

fn check_same_body(
    known: Arc<Record>,
    body: &[u8],
) -> Result<Arc<Record>, Refusal> {
    if known.body == body {
        return Ok(known);
    }
    Err(Refusal::invalid(
        StatusCode::UNPROCESSABLE_ENTITY,
        "the key was used for another request",
    ))
}

/// Runs a request that this entry took over from another entry.
pub async fn run(state: Shared, record: Arc<Record>) {
    run_with(state, record, None).await;
}

async fn run_with(
    state: Shared,
    record: Arc<Record>,
    _permit: Option<Permit>,
) {
    let started_at = state.now();
    let outcome = match Chat::parse(&record.body) {
        Ok(chat) => Run::open(&state, &record, &chat).run_to_end().await,
        Err(text) => Outcome::Failed(text),
    };
    if record.owner() != Owner::Here {
        return;
    }
    if let Outcome::Failed(text) = &outcome {
        warn!(target: "model", "Request {} failed: {text}.", record.id);
    }
    record.finish(state.now(), outcome);
    let labels =
        Labels { team: record.team.clone(), service: record.service.clone() };
    let seconds = state.now().saturating_sub(started_at) as f64 / 1000.0;
    state.metrics.latency.get_or_create(&labels).observe(seconds);
}

/// Result of one attempt at an endpoint.
enum Attempt {
    /// The answer is complete.
    Completed,
    /// The endpoint is leaving; its KV cache can still be fetched from it.
    Moving,
    /// This entry no longer owns the request.
    NotOwner,
    /// The endpoint answered that the request itself is invalid.
    InvalidRequest(String),
    /// The attempt failed or timed out.
    Failed(CallError),
}

struct Run<'a> {
    identity: Identity,
    state: &'a Shared,
    record: &'a Arc<Record>,
    chat: &'a Chat,
    blocks: Vec<u64>,
    labels: Labels,
    excluded: Vec<(String, u64)>,
    kv_source: Option<String>,
    new_connection: bool,
    started_at: u64,
}

impl<'a> Run<'a> {
    fn open(
        state: &'a Shared,
        record: &'a Arc<Record>,
        chat: &'a Chat,
    ) -> Run<'a> {
        Run {
            identity: identity_of(
                &record.team,
                &record.service,
                &record.body,
                chat,
            ),
            state,
            record,
            chat,
            blocks: prefix::hash_blocks(chat.prompt.as_bytes()),
            labels: Labels {
                team: record.team.clone(),
                service: record.service.clone(),
            },
            excluded: Vec::new(),
            kv_source: None,
            new_connection: false,
            started_at: state.now(),
        }
    }

    async fn run_to_end(mut self) -> Outcome {
        let mut attempt = 0;
        loop {
            if self.record.owner() != Owner::Here {
                return Outcome::Running;
            }
            if self.state.now() >= self.record.deadline {
                return Outcome::Failed("its deadline has passed".to_owned());
            }
            let Some((endpoint, choice)) = self.pick() else {
                // No other endpoint is available, so endpoints that failed
                // earlier are tried again.
                self.excluded.clear();
                sleep(NO_ENDPOINT_RETRY_INTERVAL).await;
                continue;
            };
            self.record.log_decision(format!(
                "sent to {} at piece {}: predicted {:.0} ms, {} of {} \
                 prompt tokens cached, {} endpoints avoided",
                endpoint.id,
                self.record.len(),
                choice.predicted_ms,
                choice.cached_tokens,
                self.chat.prompt_tokens(),
                self.excluded.len(),
            ));
            match self.attempt(&endpoint, &choice).await {
                Attempt::Completed => {
                    self.state.record_success(&self.identity);
                    self.state.retries().record_success();
                    return Outcome::Finished;
                }
                Attempt::NotOwner => return Outcome::Running,
                Attempt::InvalidRequest(text) => return Outcome::Failed(text),
                Attempt::Moving => {
                    info!(
                        target: "model",
                        "Request {} moves away from endpoint {} at piece {}.",
                        self.record.id, endpoint.id, self.record.len()
                    );
                    self.state.metrics.moved.inc();
                    self.record
                        .log_decision(format!("{} leaves", endpoint.id));
                    let id = &self.record.id;
                    let address = &endpoint.address;
                    self.kv_source = Some(format!("{address} {id}"));
                }
                Attempt::Failed(failed) => {
                    info!(
                        target: "model",
                        "Endpoint {} failed request {} ({}): {}.",
                        endpoint.id,
                        self.record.id,
                        failed.verdict.as_str(),
                        failed.text
                    );
                    self.record.log_decision(format!(
                        "{} failed ({}): {}",
                        endpoint.id,
                        failed.verdict.as_str(),
                        failed.text
                    ));
                    let state = self.state;
                    state
                        .investigate_failure(
                            &self.identity,
                            &endpoint,
                            &failed,
                        )
                        .await;
                    let service = &self.record.service;
                    if let Some(text) =
                        state.quarantine_text(&self.identity, service)
                    {
                        return Outcome::Failed(text);
                    }
                    self.excluded.push((endpoint.id, endpoint.incarnation));
                    self.new_connection = true;
                    attempt += 1;
                    let wait = self.state.retries().wait_ms(attempt);
                    sleep(Duration::from_millis(wait)).await;
                }
            }
            self.record.drop_out_of_order();
        }
    }

    fn pick(&self) -> Option<(Endpoint, Choice)> {
        let request = RouteRequest {
            tokens: self.chat.prompt_tokens(),
            block_ends: &[],
            blocks: &self.blocks,
            excluded: &self.excluded,
            version: VersionRule::Any,
        };
        let now = self.state.now();
        self.state.fleet().pick(now, &self.record.service, &request)
    }

    async fn attempt(
        &mut self,
        endpoint: &Endpoint,
        choice: &Choice,
    ) -> Attempt {
        let sent_at = self.state.now();
        let resumed_at = self.record.len();
        let result = self.stream(endpoint, choice).await;
        let now = self.state.now();
        let started = self.record.len() > resumed_at;
        let (duration_ms, backoff) = match &result {
            Attempt::Failed(failed) => (None, failed.backoff),
            _ => (Some(now.saturating_sub(sent_at) as f32), Backoff::None),
        };
        let service = &self.record.service;
        self.state.record_backoff(service, choice, backoff);
        let mut fleet = self.state.fleet();
        if let Some(pool) = fleet.pool(service) {
            match backoff.replaces_penalty() {
                true => pool.abandon(choice.ticket, now, started),
                false => {
                    pool.record_end(now, choice.ticket, started, duration_ms);
                }
            }
        }
        drop(fleet);
        result
    }

    async fn stream(
        &mut self,
        endpoint: &Endpoint,
        choice: &Choice,
    ) -> Attempt {
        let Ok(address) = endpoint.address.parse() else {
            let text = "it has no usable address".to_owned();
            return Attempt::Failed(CallError::new(Verdict::NotRun, text));
        };
        let call = self.call(address);
        let silence = self.silence_timeout();
        let opened = self.state.dispatcher.open_repeatable(
            call,
            silence,
            self.new_connection,
        );
        let response = match opened.await {
            Ok(response) => response,
            Err(failed) => return Attempt::Failed(failed),
        };
        // The old endpoint has sent its KV cache by now, or will not send it
        // at all.
        self.kv_source = None;
        let status = response.status();
        if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS
        {
            return Attempt::InvalidRequest(format!(
                "the engine said {status}"
            ));
        }
        if !status.is_success() {
            let text = format!("the engine said {status}");
            let failed = CallError::new(Verdict::MayHaveRun, text);
            let backoff = Backoff::parse(status, response.headers());
            return Attempt::Failed(CallError { backoff, ..failed });
        }
        if let Some(load) = plain::parse_load(response.headers()) {
            self.record_load(choice, load);
        }
        let body = BodyDataStream::new(response.into_body());
        let mut events = body.eventsource();
        let mut departed = self.state.board.departed.watch();
        let mut changes = self.record.watch();
        let resumed_at = self.record.len();
        let mut last_at = self.state.now();
        let mut first_at = None;
        let mut remaining = self.remaining_ms(endpoint);
        loop {
            if let Some(remaining_ms) = remaining.take() {
                let stream = Stream {
                    pieces: (self.record.len() - resumed_at) as u64,
                    max_pieces: self
                        .chat
                        .max_pieces
                        .saturating_sub(resumed_at as u64),
                    streaming_ms: first_at
                        .map_or(0, |at| last_at.saturating_sub(at)),
                };
                if moving::should_move(stream, remaining_ms) {
                    return Attempt::Moving;
                }
            }
            let event = tokio::select! {
                event = timeout(silence, events.next()) => event,
                () = departed.changed() => {
                    remaining = self.remaining_ms(endpoint);
                    continue;
                }
                _ = changes.changed() => {
                    if self.record.owner() != Owner::Here {
                        return Attempt::NotOwner;
                    }
                    continue;
                }
            };
            let event = match event {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return interrupted(error),
                Ok(None) => return interrupted("the stream ended early"),
                Err(_) => return interrupted("the stream went silent"),
            };
            if event.data == "[DONE]" {
                return self.check_complete(&event.id);
            }
            let now = self.state.now();
            if self.insert_piece(&event.id, &event.data, choice) {
                self.observe_piece(now, last_at, first_at.is_none(), choice);
                last_at = now;
                first_at.get_or_insert(now);
            }
        }
    }

    /// Checks that no piece is missing at the end of a stream.
    fn check_complete(&self, id: &str) -> Attempt {
        let piece_count = self.record.len();
        let total: usize = id.parse().unwrap_or(piece_count);
        if piece_count == total && !self.record.has_gap() {
            Attempt::Completed
        } else {
            interrupted(format!("{piece_count} of {total} pieces came"))
        }
    }

    /// Inserts a piece into the record. Returns whether the record grew.
    fn insert_piece(&self, id: &str, data: &str, choice: &Choice) -> bool {
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            return false;
        };
        if let Some(usage) = value["usage"].as_object() {
            let number = |name: &str| {
                usage.get(name).and_then(Value::as_u64).unwrap_or(0)
            };
            self.observe_recomputed(
                number("prompt_tokens"),
                number("cached_tokens"),
                choice,
            );
        }
        let text = value["choices"][0]["delta"]["content"].as_str();
        let Some(text) = text else { return false };
        let offset = match id.parse() {
            Ok(offset) => offset,
            // An engine that does not number its pieces sends them in order.
            Err(_) => self.record.len() as u64,
        };
        self.record.insert_piece(offset, text) > 0
    }

    fn observe_recomputed(&self, prompt: u64, cached: u64, choice: &Choice) {
        let expected = match self.record.is_empty() {
            true => u64::from(choice.cached_tokens),
            // The whole prompt of a resumed stream was already computed at
            // another endpoint.
            false => prompt,
        };
        let recomputed = expected.saturating_sub(cached);
        let histogram = &self.state.metrics.recomputed_tokens;
        histogram.get_or_create(&self.labels).observe(recomputed as f64);
    }

    fn observe_piece(
        &self,
        now: u64,
        last_at: u64,
        first: bool,
        choice: &Choice,
    ) {
        let metrics = &self.state.metrics;
        if first && self.record.len() == 1 {
            let waited = now.saturating_sub(self.started_at) as f64 / 1000.0;
            let histogram = metrics.first_token.get_or_create(&self.labels);
            histogram.observe(waited);
        } else {
            let gap = now.saturating_sub(last_at) as f64 / 1000.0;
            let histogram = metrics.between_tokens.get_or_create(&self.labels);
            histogram.observe(gap);
        }
        let mut fleet = self.state.fleet();
        if let Some(pool) = fleet.pool(&self.record.service) {
            pool.record_progress(now, choice.ticket, first);
        }
    }

    fn record_load(&self, choice: &Choice, load: u32) {
        let now = self.state.now();
        let mut fleet = self.state.fleet();
        if let Some(pool) = fleet.pool(&self.record.service) {
            pool.record_load(now, &choice.id, choice.incarnation, load, 0);
        }
    }

    /// Returns for how long the endpoint still serves, in ms, if it has
    /// announced that it leaves.
    fn remaining_ms(&self, endpoint: &Endpoint) -> Option<u64> {
        let departed = self.state.board.departed.read();
        let found = departed.iter().find(|record| {
            record.leaving
                && record
                    .endpoint
                    .as_ref()
                    .is_some_and(|left| left.identity() == endpoint.identity())
        });
        found.map(|record| record.within_ms)
    }

    fn silence_timeout(&self) -> Duration {
        let config = self.state.board.config.read();
        let configured = config
            .as_ref()
            .as_ref()
            .and_then(|known| known.config.service(&self.record.service))
            .map_or(5000, |service| service.silence_ms);
        Duration::from_millis(configured)
    }

    fn call(&self, address: SocketAddr) -> Call {
        let mut body = self.chat.body.clone();
        body["stream"] = json!(true);
        body[BLOCKS_FIELD] = self
            .blocks
            .iter()
            .map(|block| format!("{block:016x}"))
            .collect::<Vec<_>>()
            .into();
        let piece_count = self.record.len();
        if piece_count > 0 {
            body[RESUME_FIELD] =
                json!({ "pieces": piece_count, "text": self.record.text() });
        }
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Ok(id) = HeaderValue::from_str(&self.record.id) {
            headers.insert(REQUEST_HEADER, id);
        }
        if let Some(from) = &self.kv_source
            && let Ok(from) = HeaderValue::from_str(from)
        {
            headers.insert(KV_HEADER, from);
        }
        Call {
            address,
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            headers,
            body: body.to_string().into(),
        }
    }
}

fn interrupted(text: impl ToString) -> Attempt {
    Attempt::Failed(CallError::new(Verdict::MayHaveRun, text))
}
