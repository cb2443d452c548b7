//! HTTP interface for endpoints: announcements, heartbeats, leave notices and
//! cache events.
//!
//! Endpoints register themselves; no configuration lists them. An endpoint
//! announces itself at any entry and then sends heartbeats to that entry or to
//! another one. Announcements and leave notices are committed to control's
//! log, so that every entry and every new leader receives them. Heartbeats
//! only renew the endpoint's lease.
//!
//! # Orders
//!
//! An entry sends an order to an endpoint only in its answer to the endpoint's
//! own heartbeat. This fences engines that ignore fencing numbers. A control
//! leader that has been replaced can't commit an order. An entry that is cut
//! off from control answers no heartbeat. An answer that was delayed in a
//! frozen process arrives on a connection that the endpoint has abandoned.

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

/// Interval at which an endpoint should send heartbeats, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 1000;
/// Time limit for committing an announcement or a leave notice.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Heartbeats since the last sync, at most one for each endpoint: the time at
/// which it arrived, and its load.
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
    /// Whether the endpoint checks fencing numbers: `checked` or `ignored`.
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

/// Returns the id of a record's endpoint, the key of the list of departed
/// endpoints.
pub fn endpoint_id(record: &EndpointRecord) -> &str {
    record.endpoint.as_ref().map_or("", |endpoint| &endpoint.id)
}

/// Answers `POST /v1/endpoints/{operation}`.
pub async fn serve(
    state: &Shared,
    operation: &str,
    request: &Request,
) -> Result<Response, Refusal> {
    match operation {
        "announce" => announce(state, parse_body(&request.body)?).await,
        "heartbeat" => heartbeat(state, parse_body(&request.body)?),
        "leave" => leave(state, parse_body(&request.body)?).await,
        "cache" => cache(state, parse_body(&request.body)?),
        _ => Err(Refusal::invalid(
            StatusCode::NOT_FOUND,
            "endpoints have announce, heartbeat, leave and cache",
        )),
    }
}

/// Takes the heartbeats that renew leases with the next sync, and adds the
/// time since their arrival to their age.
pub fn take_heartbeats(state: &Shared) -> Vec<Load> {
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
    let result = commit_change(state, kind).await?;
    if result == endpoint_outcome::Result::Departed as i32 {
        return Err(departed_refusal());
    }
    record_heartbeat(
        state,
        Load {
            endpoint: endpoint.id,
            incarnation: endpoint.incarnation,
            ..Load::default()
        },
    );
    Ok(lease_response(Vec::new()))
}

fn check_endpoint(state: &Shared, endpoint: &Endpoint) -> Result<(), Refusal> {
    let config = state.board.config.read();
    let Some(in_force) = config.as_ref() else {
        let text = "there is no configuration yet";
        return Err(Refusal::retryable(text, 1000));
    };
    let invalid =
        |text: String| Refusal::invalid(StatusCode::BAD_REQUEST, text);
    if endpoint.id.is_empty() || endpoint.id.len() > 128 {
        return Err(invalid("id must have 1 to 128 bytes".to_owned()));
    }
    if in_force.config.service(&endpoint.service).is_none() {
        return Err(invalid(format!("no service {:?}", endpoint.service)));
    }
    let data_centre = &endpoint.data_centre;
    let mut data_centres = in_force.config.data_centres.iter();
    if !data_centres.any(|configured| configured.name == *data_centre) {
        return Err(invalid(format!("no data centre {data_centre:?}")));
    }
    Ok(())
}

fn heartbeat(
    state: &Shared,
    body: HeartbeatBody,
) -> Result<Response, Refusal> {
    // Without a lease this entry can't know whether the endpoint has left and
    // can't forward the heartbeat. The endpoint has to use another entry.
    require_lease(state)?;
    if has_announced_departure(state, &body.id, body.incarnation) {
        return Err(departed_refusal());
    }
    let service = state
        .fleet()
        .endpoint(&body.id)
        .filter(|endpoint| endpoint.incarnation == body.incarnation)
        .map(|endpoint| endpoint.service.clone());
    let Some(service) = service else {
        return Err(Refusal::invalid(
            StatusCode::NOT_FOUND,
            "not announced, or silent for too long; announce again",
        ));
    };
    let config = state.board.config.read();
    let report_delay_ms = config
        .as_ref()
        .as_ref()
        .and_then(|in_force| in_force.config.service(&service))
        .map_or(0, |service| service.report_lag_ms);
    record_heartbeat(
        state,
        Load {
            endpoint: body.id.clone(),
            incarnation: body.incarnation,
            running: body.running,
            waiting: body.waiting,
            age_ms: report_delay_ms as u32,
        },
    );
    let orders = state.board.orders.read();
    let pending = orders
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
    Ok(lease_response(pending))
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
    info!(
        target: "endpoints",
        "Endpoint {} announced that it leaves.", body.id
    );
    let depart = Depart {
        id: body.id,
        incarnation: body.incarnation,
        leaving: true,
        within_ms: body.within_ms,
    };
    apply_leave_notice(state, &depart);
    let result = commit_change(state, change::Kind::Depart(depart)).await?;
    if result == endpoint_outcome::Result::Unknown as i32 {
        let text = "no such endpoint and incarnation";
        return Err(Refusal::invalid(StatusCode::NOT_FOUND, text));
    }
    Ok(Response::json(StatusCode::OK, &json!({ "left": true })))
}

/// Applies a leave notice on this entry before it has been committed.
fn apply_leave_notice(state: &Shared, depart: &Depart) {
    let config = state.board.config.read();
    let config = config.as_ref().as_ref().map(|in_force| &in_force.config);
    let mut fleet = state.fleet();
    let endpoint = fleet
        .endpoint(&depart.id)
        .filter(|endpoint| endpoint.incarnation == depart.incarnation)
        .cloned();
    let Some(endpoint) = endpoint else { return };
    fleet.remove_departing(&depart.id, depart.incarnation, config);
    drop(fleet);
    let record = EndpointRecord {
        endpoint: Some(endpoint),
        departed: true,
        leaving: true,
        at_ms: 0,
        within_ms: depart.within_ms,
    };
    state.board.departed.update(|departed| {
        upsert(departed, record, endpoint_id);
    });
}

fn cache(state: &Shared, body: CacheBody) -> Result<Response, Refusal> {
    let parse_hashes = |texts: &[String]| -> Vec<u64> {
        let parsed =
            texts.iter().filter_map(|text| u64::from_str_radix(text, 16).ok());
        parsed.collect()
    };
    let (added, evicted) =
        (parse_hashes(&body.added), parse_hashes(&body.evicted));
    let mut fleet = state.fleet();
    let service =
        fleet.endpoint(&body.id).map(|endpoint| endpoint.service.clone());
    if let Some(service) = service
        && let Some(pool) = fleet.pool(&service)
    {
        pool.record_cached(&body.id, body.incarnation, &added);
        pool.record_evicted(&body.id, body.incarnation, &evicted);
    }
    Ok(Response::json(StatusCode::OK, &json!({})))
}

/// Whether an incarnation of an endpoint has announced that it leaves.
pub(super) fn has_announced_departure(
    state: &State,
    id: &str,
    incarnation: u64,
) -> bool {
    state.board.departed.read().iter().any(|record| {
        record.leaving
            && record.endpoint.as_ref().is_some_and(|endpoint| {
                endpoint.identity() == (id, incarnation)
            })
    })
}

fn require_lease(state: &Shared) -> Result<(), Refusal> {
    if state.holds_lease() {
        return Ok(());
    }
    Err(Refusal::retryable("this entry is cut off from control", 200))
}

fn record_heartbeat(state: &Shared, load: Load) {
    let now = state.now();
    let mut renewals =
        state.renewals.0.lock().unwrap_or_else(|held| held.into_inner());
    upsert(&mut renewals, (now, load.clone()), |(_, load)| {
        load.endpoint.as_str()
    });
    drop(renewals);
    state.fleet().record_loads(state.now(), &[load]);
}

async fn commit_change(
    state: &Shared,
    kind: change::Kind,
) -> Result<i32, Refusal> {
    let change = Change::new(kind);
    match state.control.propose(change, COMMIT_TIMEOUT, true).await {
        Ok(outcome) => match outcome.kind {
            Some(outcome::Kind::Endpoint(endpoint)) => Ok(endpoint.result),
            _ => Err(Refusal::retryable("control gave no answer", 200)),
        },
        Err(failure) => {
            let mut refusal = Refusal::retryable(failure.to_string(), 200);
            refusal.verdict = failure.verdict();
            Err(refusal)
        }
    }
}

fn departed_refusal() -> Refusal {
    Refusal {
        status: StatusCode::GONE,
        verdict: Verdict::NotRun,
        text: "this incarnation has left; come back with a new one".to_owned(),
        retry_after_ms: None,
    }
}

fn lease_response(orders: Vec<Value>) -> Response {
    let body = json!({
        "lease_ms": ENDPOINT_LEASE_MS,
        "heartbeat_ms": HEARTBEAT_INTERVAL_MS,
        "orders": orders,
    });
    Response::json(StatusCode::OK, &body)
}

fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| {
        let text = format!("the body is not as it should be: {error}");
        Refusal::invalid(StatusCode::BAD_REQUEST, text)
    })
}
