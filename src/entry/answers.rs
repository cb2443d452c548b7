//! Sends model answers to callers, as event streams or as whole responses.
//!
//! The answer comes from a record of this entry or from another entry. Sending
//! is independent of the request's execution: a caller that disconnects does
//! not stop the request, and a caller that reconnects can resume at any piece.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{
    peers,
    refusal::{Refusal, other_entries},
    requests::{Outcome, Owner, Record},
    state::{Shared, State},
};
use crate::{
    http_server::{Payload, Piece, Response},
    verdict::Verdict,
};

/// Maximum number of pieces buffered for a slow caller.
const MAX_BUFFERED_PIECES: usize = 64;
/// Maximum interval between two checks for a new owner of the record.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two attempts to fetch pieces from other entries.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an entry that knows the request after which the stream fails,
/// in ms.
///
/// It is longer than the owner's lease and the takeover by the backup entry
/// together.
const UNKNOWN_REQUEST_TIMEOUT_MS: u64 = 10_000;

fn event_stream(id: &str, pieces: mpsc::Receiver<Piece>) -> Response {
    let mut response =
        Response::bytes(StatusCode::OK, "text/event-stream", Bytes::new());
    response.body = Payload::Stream(pieces);
    response.set("azuremount-request", id);
    response.set("cache-control", "no-store");
    response
}

fn chunk_event(id: &str, model: &str, offset: usize, text: &str) -> Bytes {
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

fn done_event(offset: usize) -> Bytes {
    Bytes::from(format!("id: {offset}\ndata: [DONE]\n\n"))
}

fn error_event(text: &str, verdict: Verdict) -> Bytes {
    let data = json!({ "error": text, "verdict": verdict.as_str() });
    Bytes::from(format!("event: error\ndata: {data}\n\n"))
}

fn moved_event(state: &State, offset: usize) -> Bytes {
    let entries = other_entries(state);
    let data = json!({ "entries": entries, "from": offset });
    Bytes::from(format!("event: moved\ndata: {data}\n\n"))
}

/// Streams the answer of a request that this entry knows, from piece `from`
/// on.
pub fn stream_record(
    state: &Shared,
    record: Arc<Record>,
    from: usize,
) -> Response {
    let (sender, pieces) = mpsc::channel(MAX_BUFFERED_PIECES);
    let id = record.id.clone();
    let state = state.clone();
    state.runtime.clone().spawn(async move {
        // If the caller disconnects, this task ends and the request goes on.
        let _ = write_record(&state, &record, from, &sender).await;
    });
    event_stream(&id, pieces)
}

type Disconnected = mpsc::error::SendError<Piece>;

async fn write_record(
    state: &Shared,
    record: &Record,
    from: usize,
    sender: &mpsc::Sender<Piece>,
) -> Result<(), Disconnected> {
    let mut changes = record.watch();
    let started_here = record.owner() == Owner::Here;
    let mut offset = from;
    loop {
        let view = record.view(offset);
        for text in &view.pieces {
            let bytes = chunk_event(&record.id, &record.service, offset, text);
            sender.send(Piece::Data(bytes)).await?;
            offset += 1;
        }
        let final_event = match view.outcome {
            Outcome::Running => None,
            Outcome::Finished => Some(done_event(offset)),
            Outcome::Failed(text) => {
                Some(error_event(&text, Verdict::MayHaveRun))
            }
        };
        let handed_over = started_here && record.owner() != Owner::Here;
        let final_event = match (final_event, handed_over) {
            (None, true) => Some(moved_event(state, offset)),
            (final_event, _) => final_event,
        };
        if let Some(bytes) = final_event {
            sender.send(Piece::Data(bytes)).await?;
            return sender.send(Piece::End).await;
        }
        if view.pieces.is_empty() {
            let _ = timeout(OWNER_CHECK_INTERVAL, changes.changed()).await;
        }
    }
}

/// Streams the answer of a request that another entry knows, from piece `from`
/// on.
pub fn stream_remote(state: &Shared, id: String, from: usize) -> Response {
    let (sender, pieces) = mpsc::channel(MAX_BUFFERED_PIECES);
    let state = state.clone();
    let request_id = id.clone();
    state.runtime.clone().spawn(async move {
        let _ = write_remote(&state, &request_id, from, &sender).await;
    });
    event_stream(&id, pieces)
}

/// Fetches the pieces of a request from any entry that has them.
async fn write_remote(
    state: &Shared,
    id: &str,
    from: usize,
    sender: &mpsc::Sender<Piece>,
) -> Result<(), Disconnected> {
    let mut offset = from;
    // After the owner crashes, no entry may answer until its backup entry has
    // taken over.
    let mut last_reply_at = state.now();
    loop {
        let Some(reply) = peers::fetch(state, id, offset).await else {
            if state.now() > last_reply_at + UNKNOWN_REQUEST_TIMEOUT_MS {
                let text = "no entry knows the request any more";
                let bytes = error_event(text, Verdict::MayHaveRun);
                sender.send(Piece::Data(bytes)).await?;
                return sender.send(Piece::End).await;
            }
            sleep(FETCH_RETRY_INTERVAL).await;
            continue;
        };
        last_reply_at = state.now();
        for text in &reply.pieces {
            let bytes = chunk_event(id, &reply.service, offset, text);
            sender.send(Piece::Data(bytes)).await?;
            offset += 1;
        }
        let final_event = if reply.finished {
            Some(done_event(offset))
        } else if !reply.failure.is_empty() {
            Some(error_event(&reply.failure, Verdict::MayHaveRun))
        } else {
            None
        };
        if let Some(bytes) = final_event {
            sender.send(Piece::Data(bytes)).await?;
            return sender.send(Piece::End).await;
        }
    }
}

/// Waits until a request has finished and returns the whole answer.
///
/// # Errors
///
/// Returns a refusal if the request failed.
pub async fn wait_for_answer(
    state: &Shared,
    record: Arc<Record>,
) -> Result<Response, Refusal> {
    let mut changes = record.watch();
    loop {
        match record.view(0).outcome {
            Outcome::Finished => return Ok(record_response(&record)),
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
            return wait_for_remote_answer(state, &record).await;
        }
        let _ = timeout(OWNER_CHECK_INTERVAL, changes.changed()).await;
    }
}

/// Fetches the rest of the answer from the new owner, after the request has
/// been handed over, and returns the whole answer.
async fn wait_for_remote_answer(
    state: &Shared,
    record: &Record,
) -> Result<Response, Refusal> {
    let mut pieces = record.tail(0).pieces;
    while state.now() < record.deadline {
        let fetched = peers::fetch(state, &record.id, pieces.len()).await;
        let Some(reply) = fetched else {
            sleep(FETCH_RETRY_INTERVAL).await;
            continue;
        };
        pieces.extend(reply.pieces);
        if reply.finished {
            let text = pieces.concat();
            return Ok(completion_response(
                &record.id,
                &record.service,
                &text,
            ));
        }
        if !reply.failure.is_empty() {
            return Err(Refusal::may_have_run(reply.failure));
        }
    }
    Err(Refusal::may_have_run("its deadline has passed"))
}

fn record_response(record: &Record) -> Response {
    completion_response(&record.id, &record.service, &record.text())
}

fn completion_response(id: &str, model: &str, text: &str) -> Response {
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
