//! HTTP interface for callers.
//!
//! It serves the addresses of entries, model calls, plain calls and answers by
//! key, and forwards the calls of endpoints to [`endpoints`].

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::json;

use super::{
    answers::{stream_record, stream_remote, wait_for_answer},
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

/// Header that names the team.
const TEAM_HEADER: &str = "azuremount-team";
/// Header with the time that the caller waits for the answer, in ms.
const DEADLINE_HEADER: &str = "azuremount-deadline-ms";
/// Header that names the request.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Maximum time until the deadline, in ms.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Caller and the properties of its request that the headers set.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name of a configured team.
    pub team: String,
    /// Deadline by this entry's clock, in ms.
    pub deadline: u64,
    /// Idempotency key that the caller chose.
    pub key: Option<String>,
}

/// Serves one HTTP request to an entry.
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
            return Err(Refusal::invalid(StatusCode::BAD_REQUEST, text));
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
            read_answer(state, key, &request).await
        }
        (&Method::GET, ["v1", "explain", key]) => explain(state, key),
        (&Method::POST, ["v1", "endpoints", operation]) => {
            endpoints::serve(state, operation, &request).await
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
            Err(Refusal::invalid(StatusCode::NOT_FOUND, text))
        }
    }
}

fn health(state: &State) -> Response {
    let status = match state.is_serving() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let config = state.board.config.read();
    let revision =
        config.as_ref().as_ref().map_or(0, |in_force| in_force.revision);
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

/// Lists the addresses of serving entries, this entry's own address first.
fn entries(state: &State) -> Response {
    let config = state.board.config.read();
    let keep_ms = config
        .as_ref()
        .as_ref()
        .map_or(1000, |in_force| in_force.config.system.keep_entries_ms);
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

/// Returns the routing decisions for a model request that this entry knows.
fn explain(state: &State, key: &str) -> Result<Response, Refusal> {
    let Some(record) = state.requests.get(key) else {
        let text = "this entry does not know the request";
        return Err(Refusal::invalid(StatusCode::NOT_FOUND, text));
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
        "decisions": record.decisions(),
    });
    Ok(Response::json(StatusCode::OK, &body))
}

/// Checks that this entry may accept the request, and that its service, team,
/// deadline and key are valid.
fn check_request(
    state: &State,
    request: &Request,
    service: &str,
    kind: Kind,
) -> Result<(Caller, Service), Refusal> {
    if *state.board.draining.read() {
        let text = "this entry is stopping; use another one";
        return Err(Refusal::retryable(text, 1));
    }
    if !state.holds_lease() {
        let text = "this entry is cut off from control; use another one";
        return Err(Refusal::retryable(text, 1));
    }
    let config = state.board.config.read();
    let Some(in_force) = config.as_ref() else {
        return Err(Refusal::retryable("there is no configuration yet", 1000));
    };
    let invalid =
        |text: String| Refusal::invalid(StatusCode::BAD_REQUEST, text);
    let Some(service) = in_force
        .config
        .service(service)
        .filter(|service| service.kind == kind)
    else {
        let text = format!("no such service: {service:?}");
        return Err(Refusal::invalid(StatusCode::NOT_FOUND, text));
    };
    let Some(team) = request.header(TEAM_HEADER) else {
        return Err(invalid(format!("the header {TEAM_HEADER} is missing")));
    };
    if in_force.config.team(team).is_none() {
        return Err(invalid(format!("no such team: {team:?}")));
    }
    let wait_ms = match request.header(DEADLINE_HEADER) {
        None => in_force.config.system.deadline_ms,
        Some(text) => text
            .parse()
            .ok()
            .filter(|wait_ms| (1..=MAX_DEADLINE_MS).contains(wait_ms))
            .ok_or_else(|| {
                invalid(format!(
                    "{DEADLINE_HEADER} {text:?} is not from 1 to \
                     {MAX_DEADLINE_MS}"
                ))
            })?,
    };
    let key = request.header(KEY_HEADER);
    if key.is_some_and(|key| !is_valid_key(key)) {
        return Err(invalid(format!(
            "{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} letters, digits, \
             dots, dashes or underscores"
        )));
    }
    let caller = Caller {
        team: team.to_owned(),
        deadline: state.now() + wait_ms,
        key: key.map(str::to_owned),
    };
    Ok((caller, service.clone()))
}

fn is_valid_key(key: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(allowed)
}

async fn plain_call(
    state: &Shared,
    service: &str,
    path: &str,
    request: Request,
) -> Result<Response, Refusal> {
    let (caller, service) =
        check_request(state, &request, service, Kind::Plain)?;
    plain::serve(state, caller, &service, path, request).await
}

async fn chat(state: &Shared, request: Request) -> Result<Response, Refusal> {
    let chat = Chat::parse(&request.body)
        .map_err(|text| Refusal::invalid(StatusCode::BAD_REQUEST, text))?;
    let (caller, service) =
        check_request(state, &request, &chat.model, Kind::Model)?;
    let body = request.body.clone();
    // Accepting runs in its own task, as for plain calls, so that it goes on
    // if the caller disconnects.
    let task = {
        let (state, chat) = (state.clone(), chat.clone());
        state.runtime.clone().spawn(async move {
            model::accept(&state, &caller, &service, &chat, body).await
        })
    };
    let record = match task.await {
        Ok(result) => result?,
        Err(_) => return Err(Refusal::may_have_run("the entry failed")),
    };
    if chat.stream {
        Ok(stream_record(state, record, 0))
    } else {
        wait_for_answer(state, record).await
    }
}

/// Answers `GET /v1/requests/{key}`. Any entry can serve it.
async fn read_answer(
    state: &Shared,
    key: &str,
    request: &Request,
) -> Result<Response, Refusal> {
    let from = match request.query("from") {
        None => 0,
        Some(text) => text.parse().map_err(|_| {
            let text = format!("from {text:?} is not a whole number");
            Refusal::invalid(StatusCode::BAD_REQUEST, text)
        })?,
    };
    if !is_valid_key(key) {
        let text = "that is not a key";
        return Err(Refusal::invalid(StatusCode::BAD_REQUEST, text));
    }
    if let Some(record) = state.requests.get(key) {
        return Ok(stream_record(state, record, from));
    }
    if peers::fetch(state, key, from).await.is_some() {
        return Ok(stream_remote(state, key.to_owned(), from));
    }
    plain::read_settled(state, key).await
}
