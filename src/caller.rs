//! Client library for callers.
//!
//! A [`Caller`] caches the list of entries for the announced time, switches to
//! the next entry when one does not answer, retries after the announced delay,
//! and resumes an interrupted answer at another entry. It retries a request
//! only after the verdict "not run", or if the request may be repeated. The
//! command line and the examples use it. `docs/CALLERS.md` describes the
//! protocol for clients in other languages.

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

/// Delay before a retry at the next entry.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Silence after which the caller switches to another entry.
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
    /// Name of the plain service.
    pub service: &'a str,
    /// Path after the service's name, with a leading slash.
    pub path: &'a str,
    /// Idempotency key, required if the call must not run twice.
    pub key: Option<&'a str>,
    /// Body of the POST request.
    pub body: Bytes,
}

enum Read {
    Whole,
    Broken,
    Refused(CallError, Duration),
}

impl Caller {
    /// Creates a caller that knows the addresses of some entries.
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

    /// Returns the entries to use, best first. Requests a new list if the
    /// cached one has expired.
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

    /// Switches to another entry and discards the cached list.
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

    /// Calls a plain service and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// Returns the last failure, with the verdict on all attempts.
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
                Err(failed) => (failed, Some(RETRY_DELAY)),
            };
            sent = sent.and(failed.verdict);
            let keyed = call.key.is_some();
            // The idempotency key keeps a retry from running twice.
            let again = failed.verdict == Verdict::NotRun || keyed;
            let wait = wait.unwrap_or(give_up - Instant::now() + RETRY_DELAY);
            if !again || Instant::now() + wait >= give_up {
                let text = failed.text;
                return Err(CallError::new(sent, text));
            }
            self.leave();
            sleep(wait).await;
        }
    }

    /// Makes a model call and passes each piece to `on_piece`.
    ///
    /// Returns the complete answer.
    ///
    /// # Errors
    ///
    /// Returns the last failure when `limit` has passed or a retry is
    /// pointless.
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
                    Read::Refused(failed, RETRY_DELAY)
                }
                // A model call may be repeated, under the same key.
                Err(_) => Read::Broken,
            };
            let wait = match read {
                Read::Whole => return Ok(pieces.concat()),
                Read::Broken => RETRY_DELAY,
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

/// Reads a streamed answer until it ends or is interrupted.
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
        return Read::Refused(failed, wait.unwrap_or(RETRY_DELAY));
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

/// Whether an answer is a refusal by the system, not one of the service.
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
