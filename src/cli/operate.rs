//! Implementation of the commands.

use std::{
    fs,
    io::Write,
    path::Path,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::{
    Apply, Call, Check, Drain, Explain, Failure, Release, Show, ShowRollout,
    StartRollout, Status, files, parse_addresses,
};
use crate::{
    caller::{Caller, PlainCall},
    config,
    control::{client::Client, server::connect},
    entry::dispatch::{self, CallError, Dispatcher},
    util::random_id,
    wire::{
        ApplyConfig, Change, ChangeRollout, ConfigReply, Depart, Empty,
        IssueOrder, PartRelease, Query, RolloutRecord, RolloutState,
        StatusReply, apply_outcome, change, claim_outcome,
        nodes_client::NodesClient, outcome, query, query_reply,
    },
};

/// Time after which a call to control fails.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that `--wait` waits for all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

fn control(flag: &Option<String>) -> Result<Client, Failure> {
    let members = parse_addresses(flag, "--control", "AZUREMOUNT_CONTROL")?;
    Ok(Client::open(&members))
}

fn failed(error: impl ToString) -> Failure {
    Failure::Failed(error.to_string())
}

pub fn check(arguments: &Check) -> Result<(), Failure> {
    let (base, overlays) = files::read(&arguments.folder)?;
    let configs = config::check(&base, &overlays).map_err(|problems| {
        let lines: Vec<String> =
            problems.iter().map(ToString::to_string).collect();
        Failure::Invalid(lines.join("\n"))
    })?;
    for config in configs {
        println!(
            "{}: {} services, {} teams",
            config.site,
            config.services.len(),
            config.teams.len()
        );
    }
    Ok(())
}

pub async fn apply(arguments: &Apply) -> Result<(), Failure> {
    let (base, overlays) = files::read(&arguments.folder)?;
    let control = control(&arguments.control)?;
    let change = Change::new(change::Kind::Apply(ApplyConfig {
        change_id: arguments.change_id.clone(),
        from_revision: arguments.from_revision,
        base: Some(base),
        overlays,
    }));
    // The change may be retried: control identifies it by its change id.
    let outcome = control
        .propose(change, CONTROL_TIMEOUT, true)
        .await
        .map_err(failed)?;
    let Some(outcome::Kind::Apply(applied)) = outcome.kind else {
        return Err(failed("control returned no outcome for the change"));
    };
    use apply_outcome::Result as Applied;
    match Applied::try_from(applied.result) {
        Ok(Applied::Accepted) => {
            println!("accepted as revision {}", applied.revision);
        }
        Ok(Applied::Stale) => {
            return Err(failed(format!(
                "not applied: made from revision {}, but {} is in force",
                arguments.from_revision, applied.revision
            )));
        }
        Ok(Applied::IdReused) => {
            return Err(failed(format!(
                "not applied: change id {:?} was used for another change",
                arguments.change_id
            )));
        }
        Ok(Applied::Invalid) => {
            return Err(Failure::Invalid(applied.errors.join("\n")));
        }
        Err(_) => return Err(failed("control returned an unknown outcome")),
    }
    if arguments.wait {
        wait_in_force(&control, applied.revision).await?;
        println!("in force at every serving entry");
    }
    Ok(())
}

async fn wait_in_force(
    control: &Client,
    revision: u64,
) -> Result<(), Failure> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let status = read_status(control).await?;
        // Also wait for entries that do not serve yet: such an entry may start
        // to serve with an older revision.
        let behind: Vec<&str> = status
            .entries
            .iter()
            .filter(|entry| entry.in_force < revision)
            .map(|entry| entry.id.as_str())
            .collect();
        if behind.is_empty() && !status.entries.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let text = format!("not yet in force at {}", behind.join(", "));
            return Err(failed(text));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

pub async fn show(arguments: &Show) -> Result<(), Failure> {
    let control = control(&arguments.control)?;
    let reply = read_config(&control).await?;
    let Some(base) = &reply.base else {
        return Err(failed("no configuration is in force yet"));
    };
    let overlay = config::overlay_for(&reply.overlays, &arguments.site)
        .ok_or_else(|| {
            failed(format!(
                "the configuration in force has no site {:?}",
                arguments.site
            ))
        })?;
    let text = config::effective(base, overlay)
        .map_err(|problems| failed(format!("{problems:?}")))?;
    println!("# revision {}", reply.revision);
    print!("{text}");
    Ok(())
}

pub async fn status(arguments: &Status) -> Result<(), Failure> {
    let control = control(&arguments.control)?;
    let status = read_status(&control).await?;
    println!(
        "revision {}, term {}, leader {}, committed {}",
        status.revision, status.term, status.leader, status.committed
    );
    println!(
        "control can lose {} more members and go on",
        status.survivable_losses
    );
    for member in &status.members {
        let role = if member.voter { "voter" } else { "learner" };
        println!(
            "member {} {} {role}, data folder {:016x}",
            member.id, member.address, member.incarnation
        );
    }
    for entry in &status.entries {
        let serving = if entry.serving { "serving" } else { "not serving" };
        println!(
            "entry {} {} {} {serving}, revision {}",
            entry.id, entry.address, entry.data_centre, entry.in_force
        );
    }
    for record in &status.endpoints {
        let Some(endpoint) = &record.endpoint else { continue };
        let state = match (record.departed, record.leaving) {
            (false, _) => "live",
            (true, true) => "left",
            (true, false) => "silent",
        };
        println!(
            "endpoint {} {} {} {} {state}",
            endpoint.id,
            endpoint.service,
            endpoint.data_centre,
            endpoint.address
        );
    }
    println!("{} claims kept", status.claims);
    let state = read_rollouts(&control).await?;
    for record in &state.records {
        if state.newest(&record.service) == Some(record) {
            print_rollout(record);
        }
    }
    Ok(())
}

pub async fn start_rollout(arguments: &StartRollout) -> Result<(), Failure> {
    let mut client = NodesClient::new(connect(arguments.node));
    let order = ChangeRollout {
        service: arguments.service.clone(),
        to: arguments.to.clone(),
        duration_ms: arguments.seconds.saturating_mul(1000),
        ..ChangeRollout::default()
    };
    let started = timeout(CONTROL_TIMEOUT, client.start_rollout(order)).await;
    let outcome = match started {
        Ok(Ok(outcome)) => outcome.into_inner(),
        Ok(Err(status)) => return Err(failed(status.message())),
        Err(_) => return Err(failed("the node did not answer in time")),
    };
    if let Some(record) = &outcome.record {
        print_rollout(record);
    }
    Ok(())
}

pub async fn show_rollout(arguments: &ShowRollout) -> Result<(), Failure> {
    let control = control(&arguments.control)?;
    let state = read_rollouts(&control).await?;
    let service = arguments.service.as_ref();
    let mut records = state
        .records
        .iter()
        .filter(|record| service.is_none_or(|name| record.service == *name))
        .peekable();
    if records.peek().is_none() {
        return Err(failed("no roll-out so far"));
    }
    records.for_each(print_rollout);
    Ok(())
}

fn print_rollout(record: &RolloutRecord) {
    let reason = match record.reason.as_str() {
        "" => String::new(),
        reason => format!(": {reason}"),
    };
    println!(
        "rollout {} {} to {} in {} s, step {}, {}{reason}",
        record.order,
        record.service,
        record.to,
        record.duration_ms / 1000,
        record.step,
        record.state_name()
    );
}

async fn read_rollouts(control: &Client) -> Result<RolloutState, Failure> {
    let query = Query { kind: Some(query::Kind::Rollouts(Empty {})) };
    let reply = control.read(query, CONTROL_TIMEOUT).await.map_err(failed)?;
    match reply.kind {
        Some(query_reply::Kind::Rollouts(state)) => Ok(state),
        // A member of an earlier version does not know the query.
        _ => Ok(RolloutState::default()),
    }
}

pub async fn drain(arguments: &Drain) -> Result<(), Failure> {
    let control = control(&arguments.control)?;
    let status = read_status(&control).await?;
    let endpoint = status
        .endpoints
        .iter()
        .filter(|record| !record.departed)
        .filter_map(|record| record.endpoint.as_ref())
        .find(|endpoint| endpoint.id == arguments.endpoint)
        .ok_or_else(|| {
            failed(format!("no live endpoint {:?}", arguments.endpoint))
        })?;
    let order = Change::new(change::Kind::Order(IssueOrder {
        endpoint: endpoint.id.clone(),
        action: "drain".to_owned(),
        argument: arguments.within_ms.to_string(),
        reason: arguments.reason.clone(),
    }));
    control.propose(order, CONTROL_TIMEOUT, true).await.map_err(failed)?;
    let depart = Change::new(change::Kind::Depart(Depart {
        id: endpoint.id.clone(),
        incarnation: endpoint.incarnation,
        leaving: true,
        within_ms: arguments.within_ms,
    }));
    control.propose(depart, CONTROL_TIMEOUT, true).await.map_err(failed)?;
    println!("{} gets no more work", endpoint.id);
    Ok(())
}

pub async fn release(arguments: &Release) -> Result<(), Failure> {
    let part = u64::from_str_radix(&arguments.part, 16).map_err(|_| {
        let part = &arguments.part;
        Failure::Invalid(format!("part {part:?} is not hexadecimal"))
    })?;
    let mut client = NodesClient::new(connect(arguments.node));
    let release = client.release(PartRelease { part });
    match timeout(CONTROL_TIMEOUT, release).await {
        Ok(Ok(_)) => {
            println!("{part:x} is sent to replicas again");
            Ok(())
        }
        Ok(Err(status)) => Err(failed(status.message())),
        Err(_) => Err(failed("the node did not answer in time")),
    }
}

pub async fn explain(arguments: &Explain) -> Result<(), Failure> {
    if let Some(path) = &arguments.log {
        return explain_log(path, &arguments.request);
    }
    let entries =
        parse_addresses(&arguments.entry, "--entry", "AZUREMOUNT_ENTRIES")?;
    let dispatcher = Dispatcher::open();
    let mut is_known = false;
    for address in entries {
        let call = dispatch::Call {
            address,
            method: Method::GET,
            path: format!("/v1/explain/{}", arguments.request),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let answer = dispatcher
            .send_repeatable(call, Duration::from_secs(2), true)
            .await;
        let Ok(answer) = answer else { continue };
        if !answer.status.is_success() {
            continue;
        }
        let value: Value =
            serde_json::from_slice(&answer.body).map_err(failed)?;
        is_known = true;
        println!("at {address}:");
        println!(
            "  {} for {}, {} ({} pieces), run by {}",
            text(&value["service"]),
            text(&value["team"]),
            text(&value["outcome"]),
            value["pieces"],
            text(&value["owner"]),
        );
        for decision in value["decisions"].as_array().into_iter().flatten() {
            println!("  - {}", text(decision));
        }
    }
    if arguments.control.is_some() {
        is_known |= explain_claim(arguments).await?;
    }
    if is_known { Ok(()) } else { Err(failed("no entry knows the request")) }
}

fn explain_log(path: &Path, id: &str) -> Result<(), Failure> {
    let log = fs::read_to_string(path).map_err(|error| {
        Failure::Invalid(format!("{}: {error}", path.display()))
    })?;
    let sentences = super::explain::explain(log.lines(), id);
    if sentences.is_empty() {
        let text = format!("{}: no line mentions {id}", path.display());
        return Err(Failure::Failed(text));
    }
    sentences.iter().for_each(|line| println!("{line}"));
    Ok(())
}

async fn explain_claim(arguments: &Explain) -> Result<bool, Failure> {
    let control = control(&arguments.control)?;
    let key = arguments.request.clone();
    let query = Query { kind: Some(query::Kind::Claim(key)) };
    let reply = control.read(query, CONTROL_TIMEOUT).await.map_err(failed)?;
    let Some(query_reply::Kind::Claim(claim)) = reply.kind else {
        return Ok(false);
    };
    use claim_outcome::State;
    match State::try_from(claim.state) {
        Ok(State::Held) => println!("claimed by {}, no answer", claim.owner),
        Ok(State::Settled) => {
            let status = claim.answer.map_or(0, |answer| answer.status);
            println!("claimed by {}, settled with {status}", claim.owner);
        }
        _ => return Ok(false),
    }
    Ok(true)
}

pub async fn call(arguments: &Call) -> Result<(), Failure> {
    let entries =
        parse_addresses(&arguments.entry, "--entry", "AZUREMOUNT_ENTRIES")?;
    let mut caller = Caller::open(&entries, &arguments.team);
    let generated_key = format!("call-{:016x}", random_id());
    let key = arguments.key.as_deref().unwrap_or(&generated_key);
    let limit = Duration::from_secs(arguments.seconds);
    let to_failure = |failed: CallError| {
        let verdict = failed.verdict.as_str();
        Failure::Failed(format!("{verdict}: {} (key {key})", failed.text))
    };
    if let Some((service, path)) = arguments.service.split_once('/') {
        let call = PlainCall {
            service,
            path: &format!("/{path}"),
            key: Some(key),
            body: Bytes::from(arguments.text.clone()),
        };
        let answer = caller.call(call, limit).await.map_err(to_failure)?;
        println!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(());
    }
    let body = json!({
        "model": arguments.service,
        "max_tokens": arguments.max_tokens,
        "messages": [{ "role": "user", "content": arguments.text }],
    });
    let print = |piece: &str| {
        print!("{piece}");
        let _ = std::io::stdout().flush();
    };
    caller.chat(&body, key, limit, print).await.map_err(to_failure)?;
    println!();
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

async fn read_status(control: &Client) -> Result<StatusReply, Failure> {
    let query = Query { kind: Some(query::Kind::Status(Empty {})) };
    let reply = control.read(query, CONTROL_TIMEOUT).await.map_err(failed)?;
    match reply.kind {
        Some(query_reply::Kind::Status(status)) => Ok(status),
        _ => Err(failed("control returned no status")),
    }
}

async fn read_config(control: &Client) -> Result<ConfigReply, Failure> {
    let query = Query { kind: Some(query::Kind::Config(Empty {})) };
    let reply = control.read(query, CONTROL_TIMEOUT).await.map_err(failed)?;
    match reply.kind {
        Some(query_reply::Kind::Config(config)) => Ok(config),
        _ => Err(failed("control returned no configuration")),
    }
}
