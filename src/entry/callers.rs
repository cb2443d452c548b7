//! What callers ask an entry: addresses, model calls, plain calls, answers.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::json;
use tokio::{sync::mpsc, time::timeout};

use super::{
    endpoints, model, peers, plain,
    refusal::{Refusal, other_entries},
    requests::{Outcome, Owner, Record},
    state::{Shared, State},
};
use crate::{
    config::{Kind, Service},
    http_server::{Payload, Piece, Request, Response},
    verdict::Verdict,
};

/// Names the team.
const TEAM_HEADER: &str = "azuremount-team";
/// Milliseconds that the caller is ready to wait.
const DEADLINE_HEADER: &str = "azuremount-deadline-ms";
/// Names the request.
const KEY_HEADER: &str = "idempotency-key";
/// The longest key.
const KEY_LIMIT: usize = 128;
/// The longest deadline.
const DEADLINE_LIMIT: u64 = 3_600_000;
/// Pieces that may wait for a slow reader.
const READ_AHEAD: usize = 64;
/// How often a reader looks whether the record's owner has changed.
const LOOK: std::time::Duration = std::time::Duration::from_secs(1);

/// Who asks, and what for.
#[derive(Clone, Debug)]
pub struct Caller {
    /// A team of the configuration.
    pub team: String,
    /// By this entry's clock, in ms.
    pub deadline: u64,
    /// The caller's own name for the request.
    pub key: Option<String>,
}

/// Answers any request to an entry.
pub async fn serve(state: Shared, request: Request) -> Response {
    let path = request.uri.path().to_owned();
    let result = route(&state, &path, request).await;
    result.unwrap_or_else(|refusal| refusal.respond(&state))
}

async fn route(
    state: &Shared,
    path: &str,
    request: Request,
) -> Result<Response, Refusal> {
    for name in [TEAM_HEADER, DEADLINE_HEADER, KEY_HEADER] {
        if request.repeats(name) {
            let text = format!("the header {name} stands there twice");
            return Err(Refusal::bad(StatusCode::BAD_REQUEST, text));
        }
    }
    let parts: Vec<&str> =
        path.trim_start_matches('/').splitn(4, '/').collect();
    match (&request.method, parts.as_slice()) {
        (&Method::GET, ["healthz"]) => Ok(health(state)),
        (&Method::GET, ["metrics"]) => Ok(metrics(state)),
        (&Method::GET, ["v1", "entries"]) => Ok(entries(state)),
        (&Method::POST, ["v1", "chat", "completions"]) => {
            chat(state, request).await
        }
        (&Method::GET, ["v1", "requests", key]) => {
            reread(state, key, &request).await
        }
        (&Method::GET, ["v1", "explain", key]) => explain(state, key),
        (&Method::POST, ["v1", "endpoints", what]) => {
            endpoints::serve(state, what, &request).await
        }
        (_, ["v1", "services", service, rest @ ..]) => {
            let rest = rest.first().copied().unwrap_or("");
            let query = match request.uri.query() {
                Some(query) => format!("?{query}"),
                None => String::new(),
            };
            let path = format!("/{rest}{query}");
            plain_call(state, service, &path, request).await
        }
        _ => {
            let text = format!("nothing is at {} {path}", request.method);
            Err(Refusal::bad(StatusCode::NOT_FOUND, text))
        }
    }
}

fn health(state: &State) -> Response {
    let status = match state.is_serving() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let config = state.board.config.read();
    let revision = config.as_ref().as_ref().map_or(0, |known| known.revision);
    let body = json!({
        "entry": state.info.id,
        "data_centre": state.info.data_centre,
        "serving": state.is_serving(),
        "lease": state.holds_lease(),
        "draining": *state.board.draining.read(),
        "revision": revision,
    });
    Response::json(status, &body)
}

fn metrics(state: &State) -> Response {
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let text = state.metrics.encode();
    Response::bytes(StatusCode::OK, kind, Bytes::from(text))
}

/// The addresses to use, this entry's first if it serves.
fn entries(state: &State) -> Response {
    let config = state.board.config.read();
    let keep_ms = config
        .as_ref()
        .as_ref()
        .map_or(1000, |known| known.config.system.keep_entries_ms);
    let mut addresses = Vec::new();
    if state.is_serving() {
        addresses.push(state.info.address.clone());
    }
    addresses.extend(other_entries(state));
    let body = json!({ "entries": addresses, "keep_ms": keep_ms });
    let mut response = Response::json(StatusCode::OK, &body);
    let seconds = keep_ms.div_ceil(1000);
    response.set("cache-control", &format!("max-age={seconds}"));
    response
}

/// Why a model request went where it went, as far as this entry knows.
fn explain(state: &State, key: &str) -> Result<Response, Refusal> {
    let Some(record) = state.requests.get(key) else {
        let text = "this entry does not know the request";
        return Err(Refusal::bad(StatusCode::NOT_FOUND, text));
    };
    let owner = match record.owner() {
        Owner::Here => state.info.id.clone(),
        Owner::Elsewhere { id, .. } => id,
        Owner::HandedOver { address } => address,
    };
    let outcome = match record.outcome() {
        Outcome::Running => "running".to_owned(),
        Outcome::Finished => "finished".to_owned(),
        Outcome::Failed(text) => format!("failed: {text}"),
    };
    let body = json!({
        "request": record.id,
        "team": record.team,
        "service": record.service,
        "owner": owner,
        "outcome": outcome,
        "pieces": record.len(),
        "decisions": record.notes(),
    });
    Ok(Response::json(StatusCode::OK, &body))
}

/// Checks what every request for a service has to say.
fn admit_caller(
    state: &State,
    request: &Request,
    service: &str,
    kind: Kind,
) -> Result<(Caller, Service), Refusal> {
    if *state.board.draining.read() {
        let text = "this entry is stopping; use another one";
        return Err(Refusal::later(text, 1));
    }
    if !state.holds_lease() {
        let text = "this entry is cut off from control; use another one";
        return Err(Refusal::later(text, 1));
    }
    let config = state.board.config.read();
    let Some(known) = config.as_ref() else {
        return Err(Refusal::later("there is no configuration yet", 1000));
    };
    let bad = |text: String| Refusal::bad(StatusCode::BAD_REQUEST, text);
    let Some(service) =
        known.config.service(service).filter(|one| one.kind == kind)
    else {
        let text = format!("no such service: {service:?}");
        return Err(Refusal::bad(StatusCode::NOT_FOUND, text));
    };
    let Some(team) = request.header(TEAM_HEADER) else {
        return Err(bad(format!("the header {TEAM_HEADER} is missing")));
    };
    if known.config.team(team).is_none() {
        return Err(bad(format!("no such team: {team:?}")));
    }
    let wait = match request.header(DEADLINE_HEADER) {
        None => known.config.system.deadline_ms,
        Some(text) => text
            .parse()
            .ok()
            .filter(|wait| (1..=DEADLINE_LIMIT).contains(wait))
            .ok_or_else(|| {
                bad(format!(
                    "{DEADLINE_HEADER} {text:?} is not from 1 to \
                     {DEADLINE_LIMIT}"
                ))
            })?,
    };
    let key = request.header(KEY_HEADER);
    if key.is_some_and(|key| !is_key(key)) {
        return Err(bad(format!(
            "{KEY_HEADER} must have 1 to {KEY_LIMIT} letters, digits, \
             dots, dashes or underscores"
        )));
    }
    let caller = Caller {
        team: team.to_owned(),
        deadline: state.now() + wait,
        key: key.map(str::to_owned),
    };
    Ok((caller, service.clone()))
}

fn is_key(key: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=KEY_LIMIT).contains(&key.len()) && key.bytes().all(allowed)
}

async fn plain_call(
    state: &Shared,
    service: &str,
    path: &str,
    request: Request,
) -> Result<Response, Refusal> {
    let (caller, service) =
        admit_caller(state, &request, service, Kind::Plain)?;
    plain::serve(state, caller, &service, path, request).await
}

async fn chat(state: &Shared, request: Request) -> Result<Response, Refusal> {
    let chat = model::Chat::parse(&request.body)
        .map_err(|text| Refusal::bad(StatusCode::BAD_REQUEST, text))?;
    let (caller, service) =
        admit_caller(state, &request, &chat.model, Kind::Model)?;
    let body = request.body.clone();
    // Apart from the caller's connection, as for plain calls.
    let task = {
        let (state, chat) = (state.clone(), chat.clone());
        state.runtime.clone().spawn(async move {
            model::accept(&state, &caller, &service, &chat, body).await
        })
    };
    let record = match task.await {
        Ok(result) => result?,
        Err(_) => return Err(Refusal::doubtful("the entry failed")),
    };
    if chat.stream {
        Ok(stream_record(state, record, 0))
    } else {
        whole_record(state, record).await
    }
}

/// Answers `GET /v1/requests/{key}`, on whichever entry it comes in.
async fn reread(
    state: &Shared,
    key: &str,
    request: &Request,
) -> Result<Response, Refusal> {
    let from = match request.query("from") {
        None => 0,
        Some(text) => text.parse().map_err(|_| {
            let text = format!("from {text:?} is not a whole number");
            Refusal::bad(StatusCode::BAD_REQUEST, text)
        })?,
    };
    if !is_key(key) {
        let text = "that is not a key";
        return Err(Refusal::bad(StatusCode::BAD_REQUEST, text));
    }
    if let Some(record) = state.requests.get(key) {
        return Ok(stream_record(state, record, from));
    }
    if peers::fetch(state, key, from).await.is_some() {
        return Ok(stream_remote(state, key.to_owned(), from));
    }
    plain::reread(state, key).await
}

// ---- Writing answers ----------------------------------------------------------

fn event_stream(id: &str, pieces: mpsc::Receiver<Piece>) -> Response {
    let mut response =
        Response::bytes(StatusCode::OK, "text/event-stream", Bytes::new());
    response.body = Payload::Stream(pieces);
    response.set("azuremount-request", id);
    response.set("cache-control", "no-store");
    response
}

fn chunk(id: &str, model: &str, offset: usize, text: &str) -> Bytes {
    let data = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{
            "index": 0,
            "delta": { "content": text },
            "finish_reason": null,
        }],
    });
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n"))
}

fn done(offset: usize) -> Bytes {
    Bytes::from(format!("id: {offset}\ndata: [DONE]\n\n"))
}

fn failure(text: &str, verdict: Verdict) -> Bytes {
    let data = json!({ "error": text, "verdict": verdict.as_str() });
    Bytes::from(format!("event: error\ndata: {data}\n\n"))
}

fn moved(state: &State, offset: usize) -> Bytes {
    let entries = other_entries(state);
    let data = json!({ "entries": entries, "from": offset });
    Bytes::from(format!("event: moved\ndata: {data}\n\n"))
}

fn stream_record(
    state: &Shared,
    record: Arc<Record>,
    from: usize,
) -> Response {
    let (send, pieces) = mpsc::channel(READ_AHEAD);
    let id = record.id.clone();
    let state = state.clone();
    state.runtime.clone().spawn(async move {
        // A reader that has gone away ends the task, not the request.
        let _ = write_record(&state, &record, from, &send).await;
    });
    event_stream(&id, pieces)
}

type Gone = mpsc::error::SendError<Piece>;

async fn write_record(
    state: &Shared,
    record: &Record,
    from: usize,
    send: &mpsc::Sender<Piece>,
) -> Result<(), Gone> {
    let mut changes = record.watch();
    let started_here = record.owner() == Owner::Here;
    let mut offset = from;
    loop {
        let view = record.view(offset);
        for text in &view.pieces {
            let bytes = chunk(&record.id, &record.service, offset, text);
            send.send(Piece::Data(bytes)).await?;
            offset += 1;
        }
        let last = match view.outcome {
            Outcome::Running => None,
            Outcome::Finished => Some(done(offset)),
            Outcome::Failed(text) => Some(failure(&text, Verdict::MayHaveRun)),
        };
        let handed_over = started_here && record.owner() != Owner::Here;
        let last = match (last, handed_over) {
            (None, true) => Some(moved(state, offset)),
            (last, _) => last,
        };
        if let Some(bytes) = last {
            send.send(Piece::Data(bytes)).await?;
            return send.send(Piece::End).await;
        }
        if view.pieces.is_empty() {
            let _ = timeout(LOOK, changes.changed()).await;
        }
    }
}

fn stream_remote(state: &Shared, id: String, from: usize) -> Response {
    let (send, pieces) = mpsc::channel(READ_AHEAD);
    let state = state.clone();
    let name = id.clone();
    state.runtime.clone().spawn(async move {
        let _ = write_remote(&state, &name, from, &send).await;
    });
    event_stream(&id, pieces)
}

/// Reads a request from whichever entry has it, piece by piece.
async fn write_remote(
    state: &Shared,
    id: &str,
    from: usize,
    send: &mpsc::Sender<Piece>,
) -> Result<(), Gone> {
    let mut offset = from;
    // While an owner dies and its buddy has not taken over, nobody may
    // answer for a moment.
    let mut silent_since = state.now();
    loop {
        let Some(reply) = peers::fetch(state, id, offset).await else {
            if state.now() > silent_since + 10_000 {
                let text = "no entry knows the request any more";
                let bytes = failure(text, Verdict::MayHaveRun);
                send.send(Piece::Data(bytes)).await?;
                return send.send(Piece::End).await;
            }
            tokio::time::sleep(LOOK / 5).await;
            continue;
        };
        silent_since = state.now();
        for text in &reply.pieces {
            let bytes = chunk(id, &reply.service, offset, text);
            send.send(Piece::Data(bytes)).await?;
            offset += 1;
        }
        let last = if reply.finished {
            Some(done(offset))
        } else if !reply.failure.is_empty() {
            Some(failure(&reply.failure, Verdict::MayHaveRun))
        } else {
            None
        };
        if let Some(bytes) = last {
            send.send(Piece::Data(bytes)).await?;
            return send.send(Piece::End).await;
        }
    }
}

async fn whole_record(
    state: &Shared,
    record: Arc<Record>,
) -> Result<Response, Refusal> {
    let mut changes = record.watch();
    loop {
        match record.view(0).outcome {
            Outcome::Finished => return Ok(whole_answer(&record)),
            Outcome::Failed(text) => {
                return Err(Refusal {
                    status: StatusCode::GATEWAY_TIMEOUT,
                    verdict: Verdict::MayHaveRun,
                    text,
                    retry_after_ms: Some(1000),
                });
            }
            Outcome::Running => {}
        }
        if record.owner() != Owner::Here {
            return whole_elsewhere(state, &record).await;
        }
        let _ = timeout(LOOK, changes.changed()).await;
    }
}

/// The caller asked for one answer, and the request has been handed over
/// meanwhile: fetches the rest from the new owner.
async fn whole_elsewhere(
    state: &Shared,
    record: &Record,
) -> Result<Response, Refusal> {
    let mut pieces = record.tail(0).pieces;
    while state.now() < record.deadline {
        let fetched = peers::fetch(state, &record.id, pieces.len()).await;
        let Some(reply) = fetched else {
            tokio::time::sleep(LOOK / 5).await;
            continue;
        };
        pieces.extend(reply.pieces);
        if reply.finished {
            let text = pieces.concat();
            return Ok(whole_text(&record.id, &record.service, &text));
        }
        if !reply.failure.is_empty() {
            return Err(Refusal::doubtful(reply.failure));
        }
    }
    Err(Refusal::doubtful("its deadline has passed"))
}

fn whole_answer(record: &Record) -> Response {
    whole_text(&record.id, &record.service, &record.text())
}

fn whole_text(id: &str, model: &str, text: &str) -> Response {
    let body = json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
    });
    let mut response = Response::json(StatusCode::OK, &body);
    response.set("azuremount-request", id);
    response.set(Verdict::HEADER, Verdict::Ran.as_str());
    response
}
