//! The caller's side: which entry to use, and what to do when it goes away.
//!
//! A [`Caller`] keeps the list of entries for as long as it was told to, goes
//! to the next one when an entry does not answer, comes back when a refusal
//! says so, and reads a broken answer on from another entry. It sends a
//! request again only after the verdict "not run", or when the request may be
//! repeated. The command line and the examples use it; callers in other
//! languages do the same by `docs/CALLERS.md`.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::{
    entry::dispatch::{Answer, Call, CallError, Dispatcher},
    verdict::Verdict,
};

/// Pause before asking the next entry.
const PAUSE: Duration = Duration::from_millis(100);
/// An entry that sends nothing for this long is left.
const SILENCE: Duration = Duration::from_secs(10);

/// Makes requests on behalf of one team.
#[derive(Debug)]
pub struct Caller {
    known: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    listed_until: Instant,
    at: usize,
    team: String,
    dispatcher: Dispatcher,
}

/// A request for [`Caller::call`].
#[derive(Clone, Debug)]
pub struct PlainCall<'a> {
    /// The plain service.
    pub service: &'a str,
    /// Path behind the service's name, with a slash.
    pub path: &'a str,
    /// Needed where the call may not be repeated.
    pub key: Option<&'a str>,
    /// The body of the POST.
    pub body: Bytes,
}

enum Read {
    Whole,
    Broken,
    Refused(CallError, Duration),
}

impl Caller {
    /// Starts from addresses that are known to have been entries.
    pub fn open(known: &[SocketAddr], team: &str) -> Caller {
        Caller {
            known: known.to_vec(),
            listed: Vec::new(),
            listed_until: Instant::now(),
            at: 0,
            team: team.to_owned(),
            dispatcher: Dispatcher::open(),
        }
    }

    /// The entries to use, best first; asks when the list is old.
    pub async fn entries(&mut self) -> Vec<SocketAddr> {
        if Instant::now() < self.listed_until && !self.listed.is_empty() {
            return self.listed.clone();
        }
        let mut ask = self.listed.clone();
        ask.extend(&self.known);
        for address in ask {
            let answer = self.get(address, "/v1/entries").await;
            let Ok(answer) = answer else { continue };
            let Ok(body) = serde_json::from_slice::<Value>(&answer.body)
            else {
                continue;
            };
            let entries: Vec<SocketAddr> = body["entries"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|entry| entry.as_str()?.parse().ok())
                .collect();
            if entries.is_empty() {
                continue;
            }
            let keep = body["keep_ms"].as_u64().unwrap_or(1000);
            self.listed = entries;
            self.listed_until = Instant::now() + Duration::from_millis(keep);
            return self.listed.clone();
        }
        self.known.clone()
    }

    async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Answer, CallError> {
        let call = Call {
            address,
            method: Method::GET,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let limit = Duration::from_secs(2);
        self.dispatcher.send_repeatable(call, limit, true).await
    }

    /// Goes on to another entry, and asks for a new list.
    fn leave(&mut self) {
        self.at += 1;
        self.listed_until = Instant::now();
    }

    async fn entry(&mut self) -> SocketAddr {
        let entries = self.entries().await;
        entries[self.at % entries.len()]
    }

    fn headers(&self, key: Option<&str>, left: Duration) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        };
        set("azuremount-team", &self.team);
        let left = left.as_millis().max(1).to_string();
        set("azuremount-deadline-ms", &left);
        set("content-type", "application/json");
        if let Some(key) = key {
            set("idempotency-key", key);
        }
        headers
    }

    /// Calls a plain service and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// The last failure, with what is known of whether the request ran.
    pub async fn call(
        &mut self,
        call: PlainCall<'_>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let give_up = Instant::now() + limit;
        let mut sent = Verdict::NotRun;
        loop {
            let left = give_up.saturating_duration_since(Instant::now());
            let request = Call {
                address: self.entry().await,
                method: Method::POST,
                path: format!("/v1/services/{}{}", call.service, call.path),
                headers: self.headers(call.key, left),
                body: call.body.clone(),
            };
            let result = self.dispatcher.exchange(request, left).await;
            let (failed, wait) = match result {
                Ok(answer) if !is_refusal(&answer) => return Ok(answer),
                Ok(answer) => refusal_of(&answer),
                Err(failed) => (failed, Some(PAUSE)),
            };
            sent = sent.and(failed.verdict);
            let keyed = call.key.is_some();
            // With a key the system itself keeps a repeat from running.
            let again = failed.verdict == Verdict::NotRun || keyed;
            let wait = wait.unwrap_or(give_up - Instant::now() + PAUSE);
            if !again || Instant::now() + wait >= give_up {
                let text = failed.text;
                return Err(CallError::new(sent, text));
            }
            self.leave();
            sleep(wait).await;
        }
    }

    /// Makes a model call and hands each piece to `on_piece`.
    ///
    /// Returns the whole answer.
    ///
    /// # Errors
    ///
    /// The last failure, once `limit` is over or repeating makes no sense.
    pub async fn chat(
        &mut self,
        body: &Value,
        key: &str,
        limit: Duration,
        mut on_piece: impl FnMut(&str),
    ) -> Result<String, CallError> {
        let give_up = Instant::now() + limit;
        let mut body = body.clone();
        body["stream"] = json!(true);
        let mut pieces: Vec<String> = Vec::new();
        let mut accepted = false;
        loop {
            let address = self.entry().await;
            let left = give_up.saturating_duration_since(Instant::now());
            let call = if accepted {
                Call {
                    address,
                    method: Method::GET,
                    path: format!("/v1/requests/{key}?from={}", pieces.len()),
                    headers: HeaderMap::new(),
                    body: Bytes::new(),
                }
            } else {
                Call {
                    address,
                    method: Method::POST,
                    path: "/v1/chat/completions".to_owned(),
                    headers: self.headers(Some(key), left),
                    body: body.to_string().into(),
                }
            };
            let opened = self.dispatcher.open_raw(call, SILENCE);
            let read = match opened.await {
                Ok(response) => {
                    let before = pieces.len();
                    let read =
                        read_stream(response, &mut pieces, &mut on_piece);
                    let read = read.await;
                    accepted |=
                        pieces.len() > before || matches!(read, Read::Broken);
                    read
                }
                Err(failed) if failed.verdict == Verdict::NotRun => {
                    Read::Refused(failed, PAUSE)
                }
                // A model call may be repeated, under the same key.
                Err(_) => Read::Broken,
            };
            let wait = match read {
                Read::Whole => return Ok(pieces.concat()),
                Read::Broken => PAUSE,
                Read::Refused(failed, wait) => {
                    if failed.verdict == Verdict::MayHaveRun
                        && failed.text.contains("nothing is known")
                    {
                        accepted = false;
                    }
                    if Instant::now() + wait >= give_up {
                        return Err(failed);
                    }
                    wait
                }
            };
            if Instant::now() + wait >= give_up {
                let text = "its time is over";
                return Err(CallError::new(Verdict::MayHaveRun, text));
            }
            self.leave();
            sleep(wait).await;
        }
    }
}

/// Reads a streamed answer to its end, or to where it breaks off.
async fn read_stream(
    response: Response<Incoming>,
    pieces: &mut Vec<String>,
    on_piece: &mut impl FnMut(&str),
) -> Read {
    if response.status() != StatusCode::OK {
        let (head, body) = response.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes());
        let answer = Answer {
            status: head.status,
            headers: head.headers,
            body: body.unwrap_or_default(),
        };
        let (failed, wait) = refusal_of(&answer);
        return Read::Refused(failed, wait.unwrap_or(PAUSE));
    }
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    loop {
        let next = timeout(SILENCE, events.next()).await;
        let Ok(Some(Ok(event))) = next else { return Read::Broken };
        if event.event == "error" {
            let failed = failed_of(event.data.as_bytes());
            return Read::Refused(failed, SILENCE * 1000);
        }
        if event.event == "moved" {
            return Read::Broken;
        }
        if event.data == "[DONE]" {
            let whole = event.id.parse() == Ok(pieces.len());
            return if whole { Read::Whole } else { Read::Broken };
        }
        take_event(&event, pieces, on_piece);
    }
}

fn take_event(
    event: &Event,
    pieces: &mut Vec<String>,
    on_piece: &mut impl FnMut(&str),
) {
    let Ok(value) = serde_json::from_str::<Value>(&event.data) else {
        return;
    };
    let text = value["choices"][0]["delta"]["content"].as_str();
    if let Some(text) = text
        && event.id.parse() == Ok(pieces.len())
    {
        on_piece(text);
        pieces.push(text.to_owned());
    }
}

/// True for an answer of the system rather than of the service.
fn is_refusal(answer: &Answer) -> bool {
    answer
        .headers
        .get(Verdict::HEADER)
        .is_some_and(|value| value != Verdict::Ran.as_str())
}

fn refusal_of(answer: &Answer) -> (CallError, Option<Duration>) {
    let failed = failed_of(&answer.body);
    let value: Value =
        serde_json::from_slice(&answer.body).unwrap_or_default();
    let wait = value["retry_after_ms"].as_u64().map(Duration::from_millis);
    (failed, wait)
}

fn failed_of(body: &[u8]) -> CallError {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let verdict = value["verdict"].as_str().and_then(Verdict::parse);
    let text = value["error"].as_str().unwrap_or("no reason given");
    CallError::new(verdict.unwrap_or(Verdict::MayHaveRun), text)
}
