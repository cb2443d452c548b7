//! Checks that a request passes before it is sent to a replica.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use super::{
    Gateway,
    bodies::Reservation,
    dialect::RequestInfo,
    forward::{AcceptedRequest, Attempts, StreamVersion},
    plan::{Limits, Plan, Route, Team},
    refusal::{Cause, Refusal},
};
use crate::{decide::quarantine::Identity, fingerprint};

/// Maximum time that a caller may pause within a body.
const BODY_FRAME_TIMEOUT: Duration = Duration::from_millis(3000);
/// Retry delay sent to callers while the memory for bodies is used up, in ms:
/// about the duration of the requests that hold the memory.
const BODY_MEMORY_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent to callers while the entry has no plan, in ms.
const NO_PLAN_RETRY_AFTER_MS: u64 = 300;
/// Retry delay sent to callers while the entry knows of a newer plan than its
/// own, in ms: the time in which it usually has it.
const OUTDATED_PLAN_RETRY_AFTER_MS: u64 = 300;

/// Checks a request, reads its body and charges its team's quota.
///
/// # Errors
///
/// Returns a refusal for the first check that fails. Nothing has been sent to
/// a replica then.
pub(super) async fn accept(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    request_info: RequestInfo,
    began: Instant,
) -> Result<AcceptedRequest, Refusal> {
    let host = host_of(&request)?;
    let read_plan = || {
        let current_plan = gateway.plan.read();
        current_plan.is_some().then_some(current_plan)
    };
    let current_plan = gateway.wait_at_start(read_plan).await;
    let Some(plan) = current_plan.as_deref().and_then(Option::as_ref) else {
        return Err(Refusal::retryable(
            "no plan here yet",
            NO_PLAN_RETRY_AFTER_MS,
        ));
    };
    if request_info.id.is_none() && gateway.dialect.requires_id() {
        let status = StatusCode::BAD_REQUEST;
        return Err(Refusal::invalid(status, "the request has no id"));
    }
    let path = request.uri().path();
    let Some(route) = plan.route(&host, path) else {
        let status = StatusCode::NOT_FOUND;
        let refusal = Refusal::invalid(status, "no route leads there");
        return Err(gateway.refuse_by_plan(plan, refusal));
    };
    let team = team_of(plan, route, &request_info)
        .map_err(|refusal| gateway.refuse_by_plan(plan, refusal))?;
    let limit = Duration::from_millis(
        request_info.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms),
    );
    let mut deadline = began + limit;
    if !route.retry_policy.is_stream() {
        // The replica is told how long its answer is waited for.
        deadline = gateway.stop.bound(deadline);
    }
    let origin =
        gateway.origin_of(route, team, &request_info, deadline).await?;
    let (service, version) = match origin {
        Some(origin) => (origin.service, StreamVersion::Only(origin.version)),
        None => (gateway.draw_service(route), StreamVersion::Any),
    };
    let resolved = Resolved {
        service,
        version,
        route: route.clone(),
        team: team.cloned(),
        deadline,
    };
    let accepted = receive(gateway, request, request_info, began, resolved);
    let accepted = accepted.await?;
    charge_quota(&accepted).await.map_err(|refusal| Refusal {
        route: accepted.route.name.clone(),
        ..refusal
    })?;
    Ok(accepted)
}

impl Gateway {
    /// Returns a refusal for good that follows from a plan. If a newer plan is
    /// known, that one may allow the request, so the caller is told to retry.
    fn refuse_by_plan(&self, plan: &Plan, refusal: Refusal) -> Refusal {
        let newest = self.newest_plan_version();
        let refusal = match newest > plan.version() {
            true => Refusal::retryable(
                "a newer plan is on its way",
                OUTDATED_PLAN_RETRY_AFTER_MS,
            ),
            false => refusal,
        };
        let cause = Cause::Plan { version: plan.version(), newest };
        Refusal { cause: Some(Box::new(cause)), ..refusal }
    }
}

/// How a request is to be handled, by its head.
pub(super) struct Resolved {
    pub route: Route,
    pub service: String,
    pub version: StreamVersion,
    pub team: Option<Team>,
    pub deadline: Instant,
}

/// Reads the body of a request and checks that the request is not
/// quarantined.
pub(super) async fn receive(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    request_info: RequestInfo,
    began: Instant,
    resolved: Resolved,
) -> Result<AcceptedRequest, Refusal> {
    let Resolved { route, service, version, team, deadline } = resolved;
    let host = host_of(&request)?;
    let limits = gateway.limits();
    let (head, body) = request.into_parts();
    let mut reservation = gateway.bodies.reserve();
    let body = read_body(body, limits, deadline, &mut reservation).await?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let fingerprint = fingerprint::of(&[
        head.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        team.as_ref().map_or("", |team| &team.name).as_bytes(),
        &body,
    ]);
    let parts = request_info.shared_parts().iter();
    let parts = parts.map(|(part, _)| *part).collect();
    let identity = Identity::new(fingerprint, parts);
    let is_trial = gateway
        .check_quarantine(&identity, &service)
        .map_err(|refusal| Refusal { route: route.name.clone(), ..refusal })?;
    Ok(AcceptedRequest {
        gateway: gateway.clone(),
        route,
        service,
        version,
        begun: None,
        recording: None,
        is_settled: false,
        team,
        request_info,
        method: head.method,
        path: path.to_owned(),
        headers: remove_hop_by_hop_headers(head.headers),
        body,
        identity,
        is_trial,
        _reservation: reservation,
        began,
        deadline,
        attempts: Attempts::default(),
        pending: None,
        is_counted: false,
        claimed_at: None,
        forwarded: None,
        peers_tried: Vec::new(),
        admitted: None,
        chosen: None,
        _running: gateway.metrics.run(),
    })
}

async fn charge_quota(accepted: &AcceptedRequest) -> Result<(), Refusal> {
    let gateway = &accepted.gateway;
    let Some(team) = &accepted.team else { return Ok(()) };
    let Some(quota) = team.quota else { return Ok(()) };
    let cost = cost_of(&accepted.request_info, quota.default_tokens);
    let urgent = accepted.route.priority == 0;
    let quota_known = || gateway.knows_quota_use(&team.name).then_some(());
    gateway.wait_at_start(quota_known).await;
    gateway.admit_by_quota(&team.name, quota, cost, urgent)
}

/// Returns the host in lower case and without a port.
///
/// A request with several Host headers, or whose request line names another
/// host, is refused: the gateway and the replica could each use a different
/// one of the hosts.
fn host_of(request: &Request<Incoming>) -> Result<String, Refusal> {
    let bad_request =
        |text| Refusal::protocol_error(StatusCode::BAD_REQUEST, text);
    let mut hosts = request.headers().get_all(header::HOST).iter();
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(bad_request("needs one Host header"));
    };
    let host = host.to_str().map_err(|_| bad_request("unreadable Host"))?;
    if let Some(authority) = request.uri().authority()
        && !authority.as_str().eq_ignore_ascii_case(host)
    {
        return Err(bad_request("Host differs from the request line"));
    }
    if request.uri().path().is_empty() || request.method() == Method::CONNECT {
        return Err(bad_request("needs a path"));
    }
    let name = host.split(':').next().unwrap_or(host);
    Ok(name.to_ascii_lowercase())
}

fn team_of<'a>(
    plan: &'a Plan,
    route: &Route,
    request_info: &RequestInfo,
) -> Result<Option<&'a Team>, Refusal> {
    if route.public || !plan.requires_keys() {
        return Ok(None);
    }
    let team = request_info.key.as_deref().and_then(|key| plan.team(key));
    let status = StatusCode::UNAUTHORIZED;
    team.map(Some).ok_or(Refusal::invalid(status, "unknown key"))
}

/// Returns the units of quota that a request costs: its tokens, or 1 where the
/// quota counts requests.
pub(super) fn cost_of(
    request_info: &RequestInfo,
    default_tokens: Option<u64>,
) -> u64 {
    match (default_tokens, request_info.tokens) {
        (None, _) => 1,
        (Some(_), Some((prompt, answer))) => prompt + answer,
        (Some(plain), None) => plain,
    }
}

/// Reads a body to the end, within the limits and the shared memory budget.
async fn read_body(
    mut body: Incoming,
    limits: Limits,
    deadline: Instant,
    reservation: &mut Reservation,
) -> Result<Bytes, Refusal> {
    let too_long = || {
        Refusal::protocol_error(StatusCode::PAYLOAD_TOO_LARGE, "body too long")
    };
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(too_long());
    }
    let mut read = BytesMut::new();
    while !body.is_end_stream() {
        let until = deadline.min(Instant::now() + BODY_FRAME_TIMEOUT);
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => break,
            Ok(Some(Err(_))) => {
                let status = StatusCode::BAD_REQUEST;
                return Err(Refusal::protocol_error(status, "broken body"));
            }
            Err(_) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                return Err(Refusal::protocol_error(
                    status,
                    "the body stalled",
                ));
            }
        };
        if let Ok(data) = frame.into_data() {
            if read.len() + data.len() > limits.max_body_bytes {
                return Err(too_long());
            }
            if !reservation.grow(read.len() + data.len()) {
                let text = "too many bodies at once";
                let refusal =
                    Refusal::retryable(text, BODY_MEMORY_RETRY_AFTER_MS);
                return Err(Refusal { close: true, ..refusal });
            }
            read.extend_from_slice(&data);
        }
    }
    Ok(read.freeze())
}

/// Removes the headers that apply to a single connection (hop-by-hop headers).
pub(super) fn remove_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        // A caller must not be able to remove the header that requests are
        // routed by.
        if name != "host" {
            headers.remove(name.as_str());
        }
    }
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::PROXY_AUTHENTICATE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}
