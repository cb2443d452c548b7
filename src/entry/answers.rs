//! Writing model answers: as events, or whole; from here, or from elsewhere.
//!
//! A reader is apart from the run that it follows: one that goes away ends
//! nothing, and one that comes back goes on at any piece.

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

/// Pieces that may wait for a slow reader.
const READ_AHEAD: usize = 64;
/// How often a reader looks whether the record's owner has changed.
const LOOK: Duration = Duration::from_secs(1);
/// Pause before asking the other entries again.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// How long nobody may know a request before its reader gives up, in ms.
///
/// Longer than an owner's lease and its takeover by the buddy.
const UNKNOWN_MS: u64 = 10_000;

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

/// Streams a request known here, from a piece on.
pub fn stream_record(
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

/// Streams a request that another entry knows, from a piece on.
pub fn stream_remote(state: &Shared, id: String, from: usize) -> Response {
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
            if state.now() > silent_since + UNKNOWN_MS {
                let text = "no entry knows the request any more";
                let bytes = failure(text, Verdict::MayHaveRun);
                send.send(Piece::Data(bytes)).await?;
                return send.send(Piece::End).await;
            }
            sleep(ASK_AGAIN).await;
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

/// Waits for the end of a request, for a caller that wants no pieces.
///
/// # Errors
///
/// When the request was given up on.
pub async fn whole_record(
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
            sleep(ASK_AGAIN).await;
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
