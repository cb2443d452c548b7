//! Why a request went where it went, or was refused, by a node's log.
//!
//! Nodes that pass requests on keep no record of them but their log: a JSON
//! line a decision, with what decided it. This reads such a log and says in
//! words what its lines say of one request, of all that ask for the same, or of
//! one replica.

use serde::Deserialize;

/// One line of a log; what it does not have is empty.
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
    crashes: Option<usize>,
    age_ms: u64,
    requests: usize,
    evidence: Option<String>,
}

/// What a log says of a request, a fingerprint or a replica, a sentence a line
/// of it.
///
/// Lines that can't be read are passed over: a log may begin or end in the
/// middle of one.
pub fn explain<'a>(
    log: impl IntoIterator<Item = &'a str>,
    id: &str,
) -> Vec<String> {
    log.into_iter()
        .filter(|line| line.contains(id))
        // What stands before the JSON is whoever collected the log.
        .filter_map(|line| line.find('{').map(|at| &line[at..]))
        .filter_map(|json| serde_json::from_str::<Line>(json).ok())
        .filter_map(|line| {
            let told = if line.request.as_deref() == Some(id) {
                of_request(&line)
            } else if line.replica.as_deref() == Some(id) {
                of_replica(&line)
            } else if line.fingerprint.as_deref() == Some(id) {
                of_fingerprint(&line)
            } else {
                return None;
            };
            Some(format!("{} {told}", line.timestamp))
        })
        .collect()
}

fn of_request(line: &Line) -> String {
    let after = line.after_ms;
    if let Some(bucket) = line.bucket {
        return of_quota(line, bucket);
    }
    if let (Some(crashes), Some(fingerprint)) =
        (line.crashes, &line.fingerprint)
    {
        return format!(
            "Refused, not run: {crashes} replicas ended under requests for \
             the same ({fingerprint}), the last of them {} ms before. Told to \
             come back in {} ms.",
            line.age_ms, line.retry_after_ms
        );
    }
    if let (Some(foretold), Some(limit)) = (line.foretold_ms, line.limit_ms) {
        return format!(
            "Refused for load, not run: the best replica, {}, would have \
             begun after {foretold} ms, beyond the limit of {limit} ms. Told \
             to come back in {} ms.",
            line.replica.as_deref().unwrap_or("-"),
            line.retry_after_ms
        );
    }
    if let (Some(foretold), Some(replica)) = (line.foretold_ms, &line.replica)
    {
        let fetches = if line.fetches { ", and to fetch more" } else { "" };
        return format!(
            "Went to replica {replica}: of {} prompt tokens {} were taken to \
             be cached there{fetches}. Its answer began after {after} ms, \
             foretold were {foretold}. Before it {} replicas may have run it, \
             and {} turned it away. Status {}.",
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

fn of_quota(line: &Line, bucket: i64) -> String {
    let missing = line.need - bucket;
    let why = match line.paced {
        _ if line.joining => "this node had just started, did not know yet \
                              what others use, and has had its part"
            .into(),
        true => "the bucket has enough, but this node has had its part".into(),
        false => format!(
            "the bucket holds {bucket} where {} are needed, {} of them for \
             what other nodes have probably admitted since their last word, \
             {} ms ago on average",
            line.need, line.unseen, line.word_ms
        ),
    };
    let let_in = match line.paced || line.joining {
        true => "a pause, or another node".to_owned(),
        false => format!("{missing} units more"),
    };
    format!(
        "Refused for the quota of team {}, not run: it counts for {}; {why}. \
         {} in 100 of the nodes are heard. Let in by {let_in}; told to come \
         back in {} ms.",
        line.team.as_deref().unwrap_or("-"),
        line.cost,
        line.heard_percent,
        line.retry_after_ms
    )
}

fn of_fingerprint(line: &Line) -> String {
    match (&line.request, line.crashes) {
        (Some(request), _) => {
            format!("Request {request}: {}", of_request(line))
        }
        (None, Some(crashes)) => format!(
            "{} That was {crashes} by then, as this node knew; the last of \
             them {} ms before.",
            line.message, line.age_ms
        ),
        (None, None) => line.message.clone(),
    }
}

fn of_replica(line: &Line) -> String {
    match (line.state, &line.request) {
        (Some(0), _) => "Announced itself: it may be given work.".to_owned(),
        (Some(1), _) => "Said that it leaves: no new work.".to_owned(),
        (Some(_), _) => "Gone.".to_owned(),
        (None, Some(request)) if line.message.starts_with("Attempt") => {
            format!(
                "Failed request {request}, and is passed over for a while: {}",
                line.message
            )
        }
        (None, Some(request)) => {
            format!("Request {request}: {}", line.message)
        }
        (None, None) => match &line.evidence {
            Some(evidence) => format!(
                "Ended under {} requests of this node: {evidence}, {} ms after \
                 the first of them had broken off or was left.",
                line.requests, line.after_ms
            ),
            None => line.message.clone(),
        },
    }
}
