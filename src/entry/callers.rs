//! What callers ask an entry: addresses, model calls, plain calls, answers.

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::json;

use super::{
    answers::{stream_record, stream_remote, whole_record},
    chat::Chat,
    endpoints, model, peers, plain,
    refusal::{Refusal, other_entries},
    requests::{Outcome, Owner},
    state::{Shared, State},
};
use crate::{
    config::{Kind, Service},
    http_server::{Request, Response},
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
    let chat = Chat::parse(&request.body)
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
