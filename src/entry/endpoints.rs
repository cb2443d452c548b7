//! What endpoints tell an entry: that they are here, how busy, that they go.
//!
//! Endpoints come by themselves; nothing lists them. One announces itself at
//! any entry, then sends heartbeats there or at another one. Announcing and
//! leaving are put through the log, so that every entry learns of them, a new
//! leader too; heartbeats only keep the lease alive.
//!
//! # Orders
//!
//! An order to an endpoint rides on the answer to the endpoint's own
//! heartbeat. That fences engines that ignore fencing numbers: a control
//! leader that was replaced can't commit an order, an entry that was cut off
//! answers no heartbeat, and an answer that was held up in a frozen process
//! comes on a connection that the endpoint has given up.

use std::{sync::Mutex, time::Duration};

use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tracing::info;

use super::{
    refusal::Refusal,
    state::{Shared, State},
};
use crate::{
    control::roster::ENDPOINT_LEASE_MS,
    http_server::{Request, Response},
    util::upsert,
    verdict::Verdict,
    wire::{
        Announce, Change, Depart, Endpoint, EndpointRecord, Load, OrderRecord,
        change, endpoint_outcome, outcome,
    },
};

/// How often an endpoint should send a heartbeat, in ms.
const HEARTBEAT_MS: u64 = 1000;
/// How long control may take for an announcement or a leave.
const COMMIT_LIMIT: Duration = Duration::from_millis(1500);

/// The heartbeats since the last sync: when each came, and its load.
#[derive(Debug, Default)]
pub struct Renewals(Mutex<Vec<(u64, Load)>>);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceBody {
    id: String,
    incarnation: u64,
    service: String,
    data_centre: String,
    address: std::net::SocketAddr,
    #[serde(default)]
    class: String,
    #[serde(default)]
    reclaimable: bool,
    /// `checked` or `ignored`.
    fencing: Fencing,
    #[serde(default)]
    slots: u32,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Fencing {
    Checked,
    Ignored,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HeartbeatBody {
    id: String,
    incarnation: u64,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    order_done: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaveBody {
    id: String,
    incarnation: u64,
    #[serde(default)]
    within_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CacheBody {
    id: String,
    incarnation: u64,
    #[serde(default)]
    added: Vec<String>,
    #[serde(default)]
    evicted: Vec<String>,
}

/// The key of a departed endpoint's record.
pub fn record_id(record: &EndpointRecord) -> &str {
    record.endpoint.as_ref().map_or("", |endpoint| &endpoint.id)
}

/// Answers `POST /v1/endpoints/{what}`.
pub async fn serve(
    state: &Shared,
    what: &str,
    request: &Request,
) -> Result<Response, Refusal> {
    match what {
        "announce" => announce(state, parse(&request.body)?).await,
        "heartbeat" => heartbeat(state, parse(&request.body)?),
        "leave" => leave(state, parse(&request.body)?).await,
        "cache" => cache(state, parse(&request.body)?),
        _ => Err(Refusal::bad(
            StatusCode::NOT_FOUND,
            "endpoints have announce, heartbeat, leave and cache",
        )),
    }
}

/// The leases to renew with the next sync.
pub fn renewed(state: &Shared) -> Vec<Load> {
    let now = state.now();
    let mut renewals =
        state.renewals.0.lock().unwrap_or_else(|held| held.into_inner());
    let taken = std::mem::take(&mut *renewals);
    let aged = taken.into_iter().map(|(at, mut load)| {
        load.age_ms += now.saturating_sub(at) as u32;
        load
    });
    aged.collect()
}

async fn announce(
    state: &Shared,
    body: AnnounceBody,
) -> Result<Response, Refusal> {
    require_lease(state)?;
    let endpoint = Endpoint {
        id: body.id,
        incarnation: body.incarnation,
        service: body.service,
        data_centre: body.data_centre,
        address: body.address.to_string(),
        class: body.class,
        reclaimable: body.reclaimable,
        checks_fencing: body.fencing == Fencing::Checked,
        slots: body.slots,
    };
    check_endpoint(state, &endpoint)?;
    let announce = Announce { endpoint: Some(endpoint.clone()) };
    let kind = change::Kind::Announce(announce);
    let result = commit(state, kind).await?;
    if result == endpoint_outcome::Result::Departed as i32 {
        return Err(gone());
    }
    note_renewal(
        state,
        Load {
            endpoint: endpoint.id,
            incarnation: endpoint.incarnation,
            ..Load::default()
        },
    );
    Ok(lease_answer(Vec::new()))
}

fn check_endpoint(state: &Shared, endpoint: &Endpoint) -> Result<(), Refusal> {
    let config = state.board.config.read();
    let Some(known) = config.as_ref() else {
        let text = "there is no configuration yet";
        return Err(Refusal::later(text, 1000));
    };
    let bad = |text: String| Refusal::bad(StatusCode::BAD_REQUEST, text);
    if endpoint.id.is_empty() || endpoint.id.len() > 128 {
        return Err(bad("id must have 1 to 128 bytes".to_owned()));
    }
    if known.config.service(&endpoint.service).is_none() {
        return Err(bad(format!("no service {:?}", endpoint.service)));
    }
    let data_centre = &endpoint.data_centre;
    let mut data_centres = known.config.data_centres.iter();
    if !data_centres.any(|one| one.name == *data_centre) {
        return Err(bad(format!("no data centre {data_centre:?}")));
    }
    Ok(())
}

fn heartbeat(
    state: &Shared,
    body: HeartbeatBody,
) -> Result<Response, Refusal> {
    // Without a lease this entry can't know whether the endpoint has left,
    // nor pass the heartbeat on: the endpoint has to go elsewhere.
    require_lease(state)?;
    if has_left(state, &body.id, body.incarnation) {
        return Err(gone());
    }
    let service = state
        .fleet()
        .endpoint(&body.id)
        .filter(|live| live.incarnation == body.incarnation)
        .map(|live| live.service.clone());
    let Some(service) = service else {
        return Err(Refusal::bad(
            StatusCode::NOT_FOUND,
            "not announced, or silent for too long; announce again",
        ));
    };
    let config = state.board.config.read();
    let lag_ms = config
        .as_ref()
        .as_ref()
        .and_then(|known| known.config.service(&service))
        .map_or(0, |service| service.report_lag_ms);
    note_renewal(
        state,
        Load {
            endpoint: body.id.clone(),
            incarnation: body.incarnation,
            running: body.running,
            waiting: body.waiting,
            age_ms: lag_ms as u32,
        },
    );
    let orders = state.board.orders.read();
    let due = orders
        .iter()
        .filter(|record| record.sequence > body.order_done)
        .filter(|record| {
            record
                .order
                .as_ref()
                .is_some_and(|order| order.endpoint == body.id)
        })
        .map(order_json)
        .collect();
    Ok(lease_answer(due))
}

fn order_json(record: &OrderRecord) -> Value {
    let order = record.order.clone().unwrap_or_default();
    json!({
        "term": record.term,
        "sequence": record.sequence,
        "action": order.action,
        "argument": order.argument,
        "reason": order.reason,
    })
}

async fn leave(state: &Shared, body: LeaveBody) -> Result<Response, Refusal> {
    info!(target: "endpoints", "{} leaves.", body.id);
    let depart = Depart {
        id: body.id,
        incarnation: body.incarnation,
        leaving: true,
        within_ms: body.within_ms,
    };
    mark_left(state, &depart);
    let result = commit(state, change::Kind::Depart(depart)).await?;
    if result == endpoint_outcome::Result::Unknown as i32 {
        let text = "no such endpoint and incarnation";
        return Err(Refusal::bad(StatusCode::NOT_FOUND, text));
    }
    Ok(Response::json(StatusCode::OK, &json!({ "left": true })))
}

/// Acts on a notice here, before it has been committed.
fn mark_left(state: &Shared, depart: &Depart) {
    let config = state.board.config.read();
    let config = config.as_ref().as_ref().map(|known| &known.config);
    let mut fleet = state.fleet();
    let endpoint = fleet
        .endpoint(&depart.id)
        .filter(|live| live.incarnation == depart.incarnation)
        .cloned();
    let Some(endpoint) = endpoint else { return };
    fleet.leave(&depart.id, depart.incarnation, config);
    drop(fleet);
    let record = EndpointRecord {
        endpoint: Some(endpoint),
        departed: true,
        leaving: true,
        at_ms: 0,
        within_ms: depart.within_ms,
    };
    state.board.departed.update(|departed| {
        upsert(departed, record, record_id);
    });
}

fn cache(state: &Shared, body: CacheBody) -> Result<Response, Refusal> {
    let read = |texts: &[String]| -> Vec<u64> {
        let parsed =
            texts.iter().filter_map(|text| u64::from_str_radix(text, 16).ok());
        parsed.collect()
    };
    let (added, evicted) = (read(&body.added), read(&body.evicted));
    let mut fleet = state.fleet();
    let service = fleet.endpoint(&body.id).map(|live| live.service.clone());
    if let Some(service) = service
        && let Some(pool) = fleet.pool(&service)
    {
        pool.record_cached(&body.id, body.incarnation, &added);
        pool.record_evicted(&body.id, body.incarnation, &evicted);
    }
    Ok(Response::json(StatusCode::OK, &json!({})))
}

/// True for an endpoint that has said that it leaves.
pub(super) fn has_left(state: &State, id: &str, incarnation: u64) -> bool {
    state.board.departed.read().iter().any(|record| {
        record.leaving
            && record
                .endpoint
                .as_ref()
                .is_some_and(|left| left.identity() == (id, incarnation))
    })
}

fn require_lease(state: &Shared) -> Result<(), Refusal> {
    if state.holds_lease() {
        return Ok(());
    }
    Err(Refusal::later("this entry is cut off from control", 200))
}

fn note_renewal(state: &Shared, load: Load) {
    let now = state.now();
    let mut renewals =
        state.renewals.0.lock().unwrap_or_else(|held| held.into_inner());
    upsert(&mut renewals, (now, load.clone()), |(_, one)| {
        one.endpoint.as_str()
    });
    drop(renewals);
    state.fleet().report(state.now(), &[load]);
}

async fn commit(state: &Shared, kind: change::Kind) -> Result<i32, Refusal> {
    let change = Change::new(kind);
    match state.control.propose(change, COMMIT_LIMIT, true).await {
        Ok(outcome) => match outcome.kind {
            Some(outcome::Kind::Endpoint(endpoint)) => Ok(endpoint.result),
            _ => Err(Refusal::later("control gave no answer", 200)),
        },
        Err(failure) => {
            let mut refusal = Refusal::later(failure.to_string(), 200);
            refusal.verdict = failure.verdict();
            Err(refusal)
        }
    }
}

fn gone() -> Refusal {
    Refusal {
        status: StatusCode::GONE,
        verdict: Verdict::NotRun,
        text: "this incarnation has left; come back with a new one".to_owned(),
        retry_after_ms: None,
    }
}

fn lease_answer(orders: Vec<Value>) -> Response {
    let body = json!({
        "lease_ms": ENDPOINT_LEASE_MS,
        "heartbeat_ms": HEARTBEAT_MS,
        "orders": orders,
    });
    Response::json(StatusCode::OK, &body)
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let text = format!("the body is not as it should be: {error}");
        Refusal::bad(StatusCode::BAD_REQUEST, text)
    })
}
