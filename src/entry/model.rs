//! Model requests: accepted, run to the end, wherever endpoints and entries
//! go meanwhile.
//!
//! A request runs in a task of its own, apart from the caller's connection.
//! [`run`] streams from one endpoint after the other until the answer is
//! whole. Each attempt resumes behind the last piece that the record has. An
//! endpoint that leaves lets its streams move: the new one is told where the
//! old one's KV cache can be fetched.

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
    dispatch::{Call, Failed},
    peers, plain,
    refusal::Refusal,
    requests::{New, Outcome, Owner, Record},
    state::Shared,
    suspects,
};
use crate::{
    config::Service,
    decide::{
        moving::{self, Stream},
        prefix,
        route::{Choice, RouteRequest},
    },
    fingerprint,
    metrics::Labels,
    util::random_id,
    verdict::Verdict,
    wire::Endpoint,
};

/// Names the piece behind which an endpoint shall resume.
const RESUME_FIELD: &str = "azuremount_resume";
/// Names the prompt's blocks, for cache events.
const BLOCKS_FIELD: &str = "azuremount_blocks";
/// Names the request, so that its KV cache can be asked for.
const REQUEST_HEADER: &str = "azuremount-request";
/// Where a new endpoint can fetch the KV cache.
const KV_HEADER: &str = "azuremount-kv-from";
/// Pause when there is no endpoint to try.
const NO_ENDPOINT_PAUSE: Duration = Duration::from_millis(100);
/// How long accepting may take, for the copy at the buddy.
const ACCEPT_LIMIT: Duration = Duration::from_secs(2);

/// Accepts a request: from here on it will be answered.
///
/// # Errors
///
/// A refusal; the request was not run.
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
        return same_request(known, &body);
    }
    state.keep_away(
        fingerprint_of(&caller.team, &service.name, &body),
        &service.name,
    )?;
    let arrived = state.now();
    let cost = f64::from(chat.prompt_tokens()) + chat.most as f64;
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
    let new = New {
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
        Err(known) => return same_request(known, &body),
    };
    let buddy = match peers::hold(state, &record).await {
        Ok(buddy) => buddy,
        Err(peers::Silent) => {
            state.requests.remove(&id);
            let text = "no other entry could take a copy";
            return Err(Refusal::later(text, 500));
        }
    };
    // It runs from here on. The answer's head goes out once the buddy knows
    // that the request was accepted: see the head of `peers`.
    let task = run_with(state.clone(), record.clone(), Some(permit));
    state.runtime.spawn(task);
    let mut changes = record.watch();
    let keep = peers::keep(state.clone(), record.clone(), buddy);
    state.runtime.spawn(keep);
    let known = async {
        while !record.is_accepted() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = timeout(ACCEPT_LIMIT, known).await;
    Ok(record)
}

fn fingerprint_of(team: &str, service: &str, body: &[u8]) -> u64 {
    fingerprint::of(&[team.as_bytes(), service.as_bytes(), body])
}

fn same_request(
    known: Arc<Record>,
    body: &[u8],
) -> Result<Arc<Record>, Refusal> {
    if known.body == body {
        return Ok(known);
    }
    Err(Refusal::bad(
        StatusCode::UNPROCESSABLE_ENTITY,
        "the key was used for another request",
    ))
}

/// Runs a request that was taken over from another entry.
pub async fn run(state: Shared, record: Arc<Record>) {
    run_with(state, record, None).await;
}

async fn run_with(
    state: Shared,
    record: Arc<Record>,
    _permit: Option<Permit>,
) {
    let began = state.now();
    let outcome = match Chat::parse(&record.body) {
        Ok(chat) => Run::open(&state, &record, &chat).finish().await,
        Err(text) => Outcome::Failed(text),
    };
    if record.owner() != Owner::Here {
        return;
    }
    if let Outcome::Failed(text) = &outcome {
        warn!(target: "model", "Gives up on {}: {text}.", record.id);
    }
    record.finish(state.now(), outcome);
    let labels =
        Labels { team: record.team.clone(), service: record.service.clone() };
    let seconds = state.now().saturating_sub(began) as f64 / 1000.0;
    state.metrics.latency.get_or_create(&labels).observe(seconds);
}

/// How one attempt at an endpoint ended.
enum Attempt {
    /// The answer is whole.
    Whole,
    /// The endpoint leaves; its KV cache may be fetched from there.
    Moving,
    /// The entry handed the request over.
    Stopped,
    /// The endpoint said that the request itself is wrong.
    Wrong(String),
    /// It failed, or went silent.
    Failed(Failed),
}

struct Run<'a> {
    fingerprint: u64,
    state: &'a Shared,
    record: &'a Arc<Record>,
    chat: &'a Chat,
    blocks: Vec<u64>,
    labels: Labels,
    avoid: Vec<(String, u64)>,
    kv_from: Option<String>,
    fresh: bool,
    began: u64,
}

impl<'a> Run<'a> {
    fn open(
        state: &'a Shared,
        record: &'a Arc<Record>,
        chat: &'a Chat,
    ) -> Run<'a> {
        Run {
            fingerprint: fingerprint_of(
                &record.team,
                &record.service,
                &record.body,
            ),
            state,
            record,
            chat,
            blocks: prefix::hash_blocks(chat.prompt.as_bytes()),
            labels: Labels {
                team: record.team.clone(),
                service: record.service.clone(),
            },
            avoid: Vec::new(),
            kv_from: None,
            fresh: false,
            began: state.now(),
        }
    }

    async fn finish(mut self) -> Outcome {
        let mut attempt = 0;
        loop {
            if self.record.owner() != Owner::Here {
                return Outcome::Running;
            }
            if self.state.now() >= self.record.deadline {
                return Outcome::Failed("its deadline has passed".to_owned());
            }
            let Some((endpoint, choice)) = self.pick() else {
                // Those that failed once are better than none.
                self.avoid.clear();
                sleep(NO_ENDPOINT_PAUSE).await;
                continue;
            };
            self.record.note(format!(
                "sent to {} at piece {}: predicted {:.0} ms, {} of {} \
                 prompt tokens cached, {} endpoints avoided",
                endpoint.id,
                self.record.len(),
                choice.predicted_ms,
                choice.cached_tokens,
                self.chat.prompt_tokens(),
                self.avoid.len(),
            ));
            match self.attempt(&endpoint, &choice).await {
                Attempt::Whole => {
                    self.state.note_success(self.fingerprint);
                    self.state.retries().record_success();
                    return Outcome::Finished;
                }
                Attempt::Stopped => return Outcome::Running,
                Attempt::Wrong(text) => return Outcome::Failed(text),
                Attempt::Moving => {
                    info!(
                        target: "model",
                        "{} moves from {} at piece {}.",
                        self.record.id, endpoint.id, self.record.len()
                    );
                    self.state.metrics.moved.inc();
                    self.record.note(format!("{} leaves", endpoint.id));
                    let id = &self.record.id;
                    let address = &endpoint.address;
                    self.kv_from = Some(format!("{address} {id}"));
                }
                Attempt::Failed(failed) => {
                    info!(
                        target: "model",
                        "{} failed {} ({}): {}.",
                        endpoint.id,
                        self.record.id,
                        failed.verdict.as_str(),
                        failed.text
                    );
                    self.record.note(format!(
                        "{} failed ({}): {}",
                        endpoint.id,
                        failed.verdict.as_str(),
                        failed.text
                    ));
                    let state = self.state;
                    state
                        .note_failure(self.fingerprint, &endpoint, &failed)
                        .await;
                    let service = &self.record.service;
                    let kept = state.kept_away(self.fingerprint, service);
                    if let Some(reason) = kept {
                        return Outcome::Failed(suspects::told(reason));
                    }
                    self.avoid.push((endpoint.id, endpoint.incarnation));
                    self.fresh = true;
                    attempt += 1;
                    let wait = self.state.retries().wait_ms(attempt);
                    sleep(Duration::from_millis(wait)).await;
                }
            }
            self.record.drop_early();
        }
    }

    fn pick(&self) -> Option<(Endpoint, Choice)> {
        let ask = RouteRequest {
            tokens: self.chat.prompt_tokens(),
            block_ends: &[],
            blocks: &self.blocks,
            excluded: &self.avoid,
        };
        let now = self.state.now();
        self.state.fleet().pick(now, &self.record.service, &ask)
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
        let held = match result {
            Attempt::Failed(_) => None,
            _ => Some(now.saturating_sub(sent_at) as f32),
        };
        let mut fleet = self.state.fleet();
        if let Some(pool) = fleet.pool(&self.record.service) {
            pool.record_end(now, choice.ticket, started, held);
        }
        result
    }

    async fn stream(
        &mut self,
        endpoint: &Endpoint,
        choice: &Choice,
    ) -> Attempt {
        let Ok(address) = endpoint.address.parse() else {
            let text = "it has no usable address".to_owned();
            let verdict = Verdict::NotRun;
            return Attempt::Failed(Failed { verdict, text });
        };
        let call = self.call(address);
        let silence = self.silence();
        let opened =
            self.state.dispatcher.open_answer(call, silence, self.fresh);
        let response = match opened.await {
            Ok(response) => response,
            Err(failed) => return Attempt::Failed(failed),
        };
        // The old endpoint has handed its cache out by now, or never will.
        self.kv_from = None;
        let status = response.status();
        if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS
        {
            return Attempt::Wrong(format!("the engine said {status}"));
        }
        if !status.is_success() {
            let text = format!("the engine said {status}");
            let verdict = Verdict::MayHaveRun;
            return Attempt::Failed(Failed { verdict, text });
        }
        if let Some(load) = plain::load_of(response.headers()) {
            self.report_load(choice, load);
        }
        let body = BodyDataStream::new(response.into_body());
        let mut events = body.eventsource();
        let mut departed = self.state.board.departed.watch();
        let mut changes = self.record.watch();
        let resumed_at = self.record.len();
        let mut last_at = self.state.now();
        let mut first_at = None;
        let mut leaving = self.leaving(endpoint);
        loop {
            if let Some(left_ms) = leaving.take() {
                let stream = Stream {
                    pieces: (self.record.len() - resumed_at) as u64,
                    max_pieces: self
                        .chat
                        .most
                        .saturating_sub(resumed_at as u64),
                    streaming_ms: first_at
                        .map_or(0, |at| last_at.saturating_sub(at)),
                };
                if moving::should_move(stream, left_ms) {
                    return Attempt::Moving;
                }
            }
            let event = tokio::select! {
                event = timeout(silence, events.next()) => event,
                () = departed.changed() => {
                    leaving = self.leaving(endpoint);
                    continue;
                }
                _ = changes.changed() => {
                    if self.record.owner() != Owner::Here {
                        return Attempt::Stopped;
                    }
                    continue;
                }
            };
            let event = match event {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return broke_off(error),
                Ok(None) => return broke_off("the stream ended early"),
                Err(_) => return broke_off("the stream went silent"),
            };
            if event.data == "[DONE]" {
                return self.check_whole(&event.id);
            }
            let now = self.state.now();
            if self.take_piece(&event.id, &event.data, choice) {
                self.observe(now, last_at, first_at.is_none(), choice);
                last_at = now;
                first_at.get_or_insert(now);
            }
        }
    }

    /// Checks that a stream that says it is done left nothing out.
    fn check_whole(&self, id: &str) -> Attempt {
        let have = self.record.len();
        let total: usize = id.parse().unwrap_or(have);
        if have == total && !self.record.has_gap() {
            Attempt::Whole
        } else {
            broke_off(format!("{have} of {total} pieces came"))
        }
    }

    /// Puts a piece into the record; true if it was new.
    fn take_piece(&self, id: &str, data: &str, choice: &Choice) -> bool {
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            return false;
        };
        if let Some(usage) = value["usage"].as_object() {
            let number = |name: &str| {
                usage.get(name).and_then(Value::as_u64).unwrap_or(0)
            };
            self.count_recomputed(
                number("prompt_tokens"),
                number("cached_tokens"),
                choice,
            );
        }
        let text = value["choices"][0]["delta"]["content"].as_str();
        let Some(text) = text else { return false };
        let offset = match id.parse() {
            Ok(offset) => offset,
            // An engine that numbers nothing sends in order.
            Err(_) => self.record.len() as u64,
        };
        self.record.put(offset, text) > 0
    }

    fn count_recomputed(&self, prompt: u64, cached: u64, choice: &Choice) {
        let expected = match self.record.is_empty() {
            true => u64::from(choice.cached_tokens),
            // All of a resumed stream had been computed elsewhere.
            false => prompt,
        };
        let recomputed = expected.saturating_sub(cached);
        let histogram = &self.state.metrics.recomputed_tokens;
        histogram.get_or_create(&self.labels).observe(recomputed as f64);
    }

    fn observe(&self, now: u64, last_at: u64, first: bool, choice: &Choice) {
        let metrics = &self.state.metrics;
        if first && self.record.len() == 1 {
            let waited = now.saturating_sub(self.began) as f64 / 1000.0;
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

    fn report_load(&self, choice: &Choice, load: u32) {
        let now = self.state.now();
        let mut fleet = self.state.fleet();
        if let Some(pool) = fleet.pool(&self.record.service) {
            pool.record_load(now, &choice.id, choice.incarnation, load, 0);
        }
    }

    /// How long the endpoint goes on, if it has said that it leaves.
    fn leaving(&self, endpoint: &Endpoint) -> Option<u64> {
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

    fn silence(&self) -> Duration {
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
        let have = self.record.len();
        if have > 0 {
            body[RESUME_FIELD] =
                json!({ "pieces": have, "text": self.record.text() });
        }
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Ok(id) = HeaderValue::from_str(&self.record.id) {
            headers.insert(REQUEST_HEADER, id);
        }
        if let Some(from) = &self.kv_from
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

fn broke_off(text: impl ToString) -> Attempt {
    let verdict = Verdict::MayHaveRun;
    Attempt::Failed(Failed { verdict, text: text.to_string() })
}
