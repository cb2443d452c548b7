//! Explains from a node's log where a request was sent or why it was refused.
//!
//! Nodes that forward requests record them only in their log, which has a JSON
//! line for each decision with the values that it was based on. This module
//! describes in sentences what such a log says about one request, about all
//! requests with the same fingerprint, or about one replica.

use serde::Deserialize;

/// One line of a log; fields that the line lacks have their default value.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Line {
    timestamp: String,
    message: String,
    request: Option<String>,
    replica: Option<String>,
    team: Option<String>,
    verdict: Option<String>,
    status: Option<u16>,
    state: Option<u32>,
    after_ms: u64,
    retry_after_ms: u64,
    prompt_tokens: u64,
    cached: u64,
    fetches: bool,
    foretold_ms: Option<u64>,
    limit_ms: Option<u64>,
    ran: u32,
    turned_away: u32,
    cost: u64,
    bucket: Option<i64>,
    need: i64,
    unseen: i64,
    paced: bool,
    joining: bool,
    word_ms: u64,
    heard_percent: u64,
    fingerprint: Option<String>,
    part: Option<String>,
    crashes: Option<usize>,
    age_ms: u64,
    requests: usize,
    evidence: Option<String>,
    replicas: usize,
    backing_off: Option<usize>,
    backoff_ms: Option<u64>,
    resumes: Option<String>,
    service: Option<String>,
    version: Option<String>,
    source: Option<String>,
    outcome: Option<String>,
}

/// Describes what a log says about a request, a fingerprint, a part of prompts
/// or a replica, with one text for each matching line.
///
/// Lines that can't be parsed are skipped, as a log may begin or end in the
/// middle of a line.
pub fn explain<'a>(
    log: impl IntoIterator<Item = &'a str>,
    id: &str,
) -> Vec<String> {
    log.into_iter()
        .filter(|line| line.contains(id))
        // A log collector may put a prefix before the JSON.
        .filter_map(|line| line.find('{').map(|at| &line[at..]))
        .filter_map(|json| serde_json::from_str::<Line>(json).ok())
        .filter_map(|line| {
            let sentence = if line.request.as_deref() == Some(id) {
                describe_request(&line)
            } else if line.replica.as_deref() == Some(id) {
                describe_replica(&line)
            } else if line.fingerprint.as_deref() == Some(id)
                || line.part.as_deref() == Some(id)
                || line.resumes.as_deref() == Some(id)
            {
                describe_fingerprint(&line)
            } else {
                return None;
            };
            Some(format!("{} {sentence}", line.timestamp))
        })
        .collect()
}

fn describe_request(line: &Line) -> String {
    let after = line.after_ms;
    if line.source.is_some() || line.outcome.is_some() {
        return describe_resumption(line);
    }
    if let Some(bucket) = line.bucket {
        return describe_quota_refusal(line, bucket);
    }
    if let (Some(crashes), Some(part)) = (line.crashes, &line.part) {
        return format!(
            "Refused, not run: {crashes} replicas crashed under requests with \
             part {part} in their prompts, the last of them {} ms before. The \
             caller was told to come back in {} ms.",
            line.age_ms, line.retry_after_ms
        );
    }
    if let (Some(crashes), Some(fingerprint)) =
        (line.crashes, &line.fingerprint)
    {
        return format!(
            "Refused, not run: {crashes} replicas ended while they ran \
             requests with the same fingerprint ({fingerprint}), the last of \
             them {} ms before. The caller was told to come back in {} ms.",
            line.age_ms, line.retry_after_ms
        );
    }
    if let Some(backing_off) = line.backing_off {
        return format!(
            "Refused, not run: no replica accepts requests of this node now. \
             {backing_off} have requested a backoff, and {} have used up \
             their rate limits. The caller was told to come back in {} ms.",
            line.replicas, line.retry_after_ms
        );
    }
    if let (Some(foretold), Some(limit)) = (line.foretold_ms, line.limit_ms) {
        return format!(
            "Refused for load, not run: the best replica, {}, was predicted \
             to begin after {foretold} ms, beyond the limit of {limit} ms. \
             The caller was told to come back in {} ms.",
            line.replica.as_deref().unwrap_or("-"),
            line.retry_after_ms
        );
    }
    if let (Some(foretold), Some(replica)) = (line.foretold_ms, &line.replica)
    {
        let fetches = if line.fetches { ", and to fetch more" } else { "" };
        let version = line.version.as_deref().unwrap_or_default();
        let version = match version {
            "" => String::new(),
            version => format!(" (software version {version})"),
        };
        return format!(
            "Sent to replica {replica}{version}: of {} prompt tokens {} were expected \
             to be cached there{fetches}. Its answer began after {after} ms, \
             foretold were {foretold}. Before that, {} replicas may have run \
             the request, and {} rejected it. Status {}.",
            line.prompt_tokens,
            line.cached,
            line.ran,
            line.turned_away,
            line.status.unwrap_or(0)
        );
    }
    let replica = line.replica.as_deref();
    let at = replica.map_or(String::new(), |id| format!(" Replica {id}."));
    let verdict = line.verdict.as_deref();
    let ran = verdict.map_or(String::new(), |text| format!(" ({text})"));
    format!("{}{ran} After {after} ms.{at}", line.message)
}

fn describe_resumption(line: &Line) -> String {
    let stream = match line.resumes.as_deref() {
        None | Some("") => "a stream that it doesn't name".to_owned(),
        Some(id) => format!("the stream of request {id}"),
    };
    if let Some(source) = &line.source {
        return format!(
            "Resumes {stream} at service {} and software version {}, by the \
             record of {source}, {} ms old.",
            line.service.as_deref().unwrap_or("-"),
            line.version.as_deref().unwrap_or("-"),
            line.age_ms
        );
    }
    let reason = match line.outcome.as_deref() {
        Some("unanswered") => {
            "nodes that may have its record did not reply in time"
        }
        Some("unknown") => {
            "no node has its record, and several software versions served or \
             may have served"
        }
        Some("uncertain") => {
            "it began at a replica that may just have restarted with another \
             software version"
        }
        Some("service_gone") => "its service is no longer on the route",
        _ => "the log doesn't say why",
    };
    format!("Can't resume {stream}, not run: {reason}.")
}

fn describe_quota_refusal(line: &Line, bucket: i64) -> String {
    let missing = line.need - bucket;
    let reason = match line.paced {
        _ if line.joining => "this node had just started, did not know yet \
                              what other nodes use, and has used its share"
            .into(),
        true => {
            "the bucket has enough, but this node has used its share".into()
        }
        false => format!(
            "the bucket holds {bucket} where {} are needed, {} of them for \
             what other nodes have probably admitted since their last \
             reports, {} ms ago on average",
            line.need, line.unseen, line.word_ms
        ),
    };
    let remedy = match line.paced || line.joining {
        true => "a pause, or another node".to_owned(),
        false => format!("{missing} units more"),
    };
    format!(
        "Refused for the quota of team {}, not run: it counts for {} units; \
         {reason}. This node receives reports from {} % of the nodes. Let in \
         by {remedy}; the caller was told to come back in {} ms.",
        line.team.as_deref().unwrap_or("-"),
        line.cost,
        line.heard_percent,
        line.retry_after_ms
    )
}

fn describe_fingerprint(line: &Line) -> String {
    match (&line.request, line.crashes) {
        (Some(request), _) => {
            format!("Request {request}: {}", describe_request(line))
        }
        (None, Some(crashes)) => format!(
            "{} That was {crashes} by then, as far as this node knew; the \
             last of them {} ms before.",
            line.message, line.age_ms
        ),
        (None, None) => line.message.clone(),
    }
}

fn describe_replica(line: &Line) -> String {
    match (line.state, &line.request) {
        (Some(0), _) => {
            "Announced itself: it may receive requests.".to_owned()
        }
        (Some(1), _) => {
            "Said that it leaves: it receives no new requests.".to_owned()
        }
        (Some(_), _) => "Gone.".to_owned(),
        (None, Some(request)) if line.message.starts_with("Attempt") => {
            format!(
                "Failed request {request}, and is passed over for a while: {}",
                line.message
            )
        }
        (None, Some(request)) => match line.backoff_ms {
            Some(backoff_ms) => format!(
                "Rejected request {request} and asked for no requests of \
                 this node for {backoff_ms} ms: it is passed over until then."
            ),
            None => format!("Request {request}: {}", line.message),
        },
        (None, None) => match &line.evidence {
            Some(evidence) => format!(
                "Ended under {} requests of this node: {evidence}, {} ms \
                 after the first of them broke off or was abandoned.",
                line.requests, line.after_ms
            ),
            None => line.message.clone(),
        },
    }
}
