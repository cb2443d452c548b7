//! A stand-in model engine with batches, a prefix cache, resumption, and KV
//! export and import.
//!
//! The answer to a prompt is deterministic: piece `n` consists of the prompt's
//! checksum and `n`, so that a test can check an answer.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use azuremount::{
    decide::prefix::{BLOCK_TOKENS, hash_blocks},
    entry::{
        chat::Chat,
        dispatch::{Call, Dispatcher},
    },
    http_server::{Payload, Piece, Request, Response},
};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};
use tokio::{
    sync::{Mutex as AsyncMutex, Semaphore, mpsc},
    time::sleep,
};

use crate::{
    Flags,
    fault::{Fault, Faults},
};

/// Number of most recent requests whose KV cache can be fetched.
const MAX_KV_REQUESTS: usize = 256;

#[derive(Default)]
struct Counts {
    computed_tokens: u64,
    cached_tokens: u64,
    pieces: u64,
    requests: u64,
    wrong_resumes: u64,
}

#[derive(Default)]
struct Cache {
    /// Hashes of cached prompt blocks, least recently used first.
    blocks: VecDeque<u64>,
    added: Vec<u64>,
    evicted: Vec<u64>,
    kv: VecDeque<String>,
}

/// A stand-in model engine.
pub struct Engine {
    pub faults: Faults,
    flags: Flags,
    slots: Arc<Semaphore>,
    /// Held while a prompt is computed, so that prompts run one at a time.
    compute: AsyncMutex<()>,
    running: AtomicU32,
    waiting: AtomicU32,
    rejected: AtomicU32,
    counts: Mutex<Counts>,
    cache: Mutex<Cache>,
    dispatcher: Dispatcher,
}

struct Job {
    id: String,
    chat: Chat,
    blocks: Vec<u64>,
    resume: u64,
    imported: bool,
}

/// Returns the text of one piece of the answer to a prompt.
pub fn piece(prompt: &str, offset: u64) -> String {
    format!("{:08x}.{offset} ", crc32fast::hash(prompt.as_bytes()))
}

impl Engine {
    pub fn open(flags: &Flags) -> Engine {
        Engine {
            faults: Faults::default(),
            slots: Arc::new(Semaphore::new(flags.slots as usize)),
            compute: AsyncMutex::new(()),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            rejected: AtomicU32::new(0),
            counts: Mutex::default(),
            cache: Mutex::default(),
            dispatcher: Dispatcher::open(),
            flags: flags.clone(),
        }
    }

    pub fn load(&self) -> (u32, u32) {
        let running = self.running.load(Ordering::Relaxed);
        (running, self.waiting.load(Ordering::Relaxed))
    }

    pub fn stats(&self) -> Value {
        let counts = self.counts.lock().expect("counts");
        json!({
            "computed_tokens": counts.computed_tokens,
            "cached_tokens": counts.cached_tokens,
            "pieces": counts.pieces,
            "requests": counts.requests,
            "wrong_resumes": counts.wrong_resumes,
            "rejected": self.rejected.load(Ordering::Relaxed),
        })
    }

    /// Takes the blocks added and evicted since the last call.
    pub fn cache_events(&self) -> (Vec<u64>, Vec<u64>) {
        let mut cache = self.cache.lock().expect("cache");
        let added = std::mem::take(&mut cache.added);
        (added, std::mem::take(&mut cache.evicted))
    }

    pub async fn serve(self: &Arc<Engine>, request: Request) -> Response {
        if let Some(id) = request.uri.path().strip_prefix("/kv/") {
            return self.export(id);
        }
        let fault = match self.is_full() {
            true => Fault::Refuse,
            false => self.faults.get(),
        };
        if let Some(rejection) = fault.rejection() {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            return rejection;
        }
        let job = match self.read_job(&request).await {
            Ok(job) => job,
            Err(text) => {
                let body = json!({ "error": text });
                return Response::json(StatusCode::BAD_REQUEST, &body);
            }
        };
        self.counts.lock().expect("counts").requests += 1;
        let (send, pieces) = mpsc::channel(16);
        let (running, waiting) = self.load();
        let engine = self.clone();
        tokio::spawn(async move { engine.run(job, send).await });
        let mut response =
            Response::bytes(StatusCode::OK, "text/event-stream", Bytes::new());
        response.body = Payload::Stream(pieces);
        let load = running + waiting + 1;
        response.set("azuremount-load", &load.to_string());
        response
    }

    fn is_full(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) >= self.flags.slots * 8
    }

    fn export(&self, id: &str) -> Response {
        let cache = self.cache.lock().expect("cache");
        let status = match cache.kv.iter().any(|known| known == id) {
            true => StatusCode::OK,
            false => StatusCode::NOT_FOUND,
        };
        Response::json(status, &json!({}))
    }

    async fn read_job(&self, request: &Request) -> Result<Job, String> {
        let chat = Chat::parse(&request.body)?;
        let body: Value = serde_json::from_slice(&request.body)
            .map_err(|error| error.to_string())?;
        let resume = body["azuremount_resume"]["pieces"].as_u64();
        let text = body["azuremount_resume"]["text"].as_str().unwrap_or("");
        let resume = resume.unwrap_or(0);
        let expected: String =
            (0..resume).map(|offset| piece(&chat.prompt, offset)).collect();
        if text != expected {
            self.counts.lock().expect("counts").wrong_resumes += 1;
        }
        let imported = match request.header("azuremount-kv-from") {
            Some(from) => self.import(from).await,
            None => false,
        };
        Ok(Job {
            id: request.header("azuremount-request").unwrap_or("-").to_owned(),
            blocks: hash_blocks(chat.prompt.as_bytes()),
            chat,
            resume,
            imported,
        })
    }

    async fn import(&self, from: &str) -> bool {
        let Some((address, id)) = from.split_once(' ') else { return false };
        let Ok(address) = address.parse() else { return false };
        let call = Call {
            address,
            method: Method::GET,
            path: format!("/kv/{id}"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let limit = Duration::from_millis(500);
        let answer = self.dispatcher.send_repeatable(call, limit, true).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    async fn run(self: Arc<Engine>, job: Job, send: mpsc::Sender<Piece>) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.clone().acquire_owned().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        let _ = self.answer(&job, &send).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        drop(slot);
    }

    /// Streams the answer. An error means that the entry has closed the
    /// connection.
    async fn answer(
        &self,
        job: &Job,
        send: &mpsc::Sender<Piece>,
    ) -> Result<(), mpsc::error::SendError<Piece>> {
        let (prompt, cached) = self.prefill(job).await;
        self.keep_kv(&job.id);
        let mut usage = Some(json!({
            "prompt_tokens": prompt, "cached_tokens": cached,
        }));
        let mut order: Vec<u64> = (job.resume..job.chat.max_pieces).collect();
        if self.faults.get() == Fault::Shuffle {
            for pair in order.chunks_exact_mut(3) {
                pair.swap(0, 2);
            }
            let duplicated = order.iter().flat_map(|one| [*one, *one]);
            order = duplicated.collect();
        }
        for offset in order {
            let fault = self.faults.get();
            match fault {
                Fault::SilentAt(at) if offset >= at => {
                    send.closed().await;
                    return Ok(());
                }
                Fault::CutAt(at) if offset >= at => return Ok(()),
                Fault::DieAt(at) if offset >= at => std::process::exit(9),
                _ => {}
            }
            sleep(self.piece_duration(fault)).await;
            let mut data = json!({
                "choices": [{
                    "index": 0,
                    "delta": { "content": piece(&job.chat.prompt, offset) },
                }],
            });
            if let Some(usage) = usage.take() {
                data["usage"] = usage;
            }
            let event = format!("id: {offset}\ndata: {data}\n\n");
            send.send(Piece::Data(Bytes::from(event))).await?;
            self.counts.lock().expect("counts").pieces += 1;
        }
        let last = format!("id: {}\ndata: [DONE]\n\n", job.chat.max_pieces);
        send.send(Piece::Data(Bytes::from(last))).await?;
        send.send(Piece::End).await
    }

    /// Returns the time to generate one piece, which grows with the number of
    /// running requests.
    fn piece_duration(&self, fault: Fault) -> Duration {
        let running = self.running.load(Ordering::Relaxed);
        let base = Duration::from_millis(self.flags.piece_ms);
        let step = base + base * running / (4 * self.flags.slots);
        match fault {
            Fault::Slow(factor) => step * factor as u32,
            _ => step,
        }
    }

    /// Computes the prompt tokens that are not cached. Returns the numbers of
    /// all and of cached tokens.
    async fn prefill(&self, job: &Job) -> (u64, u64) {
        let prompt = u64::from(job.chat.prompt_tokens()) + job.resume;
        let cached = if job.imported {
            prompt
        } else {
            self.cached_tokens(&job.blocks).min(prompt)
        };
        let fresh = prompt - cached;
        {
            let _guard = self.compute.lock().await;
            sleep(Duration::from_micros(self.flags.prefill_us * fresh)).await;
        }
        self.cache_prompt(&job.blocks);
        let mut counts = self.counts.lock().expect("counts");
        counts.computed_tokens += fresh;
        counts.cached_tokens += cached;
        (prompt, cached)
    }

    fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let cache = self.cache.lock().expect("cache");
        let held = blocks
            .iter()
            .take_while(|block| cache.blocks.contains(block))
            .count();
        held as u64 * u64::from(BLOCK_TOKENS)
    }

    fn cache_prompt(&self, blocks: &[u64]) {
        let mut cache = self.cache.lock().expect("cache");
        // Inserts the start of a prompt last, so that it is evicted last.
        for &block in blocks.iter().rev() {
            let found = cache.blocks.iter().position(|held| *held == block);
            match found {
                Some(at) => {
                    cache.blocks.remove(at);
                }
                None => cache.added.push(block),
            }
            cache.blocks.push_back(block);
        }
        while cache.blocks.len() > self.flags.cache_blocks {
            if let Some(block) = cache.blocks.pop_front() {
                cache.evicted.push(block);
            }
        }
    }

    fn keep_kv(&self, id: &str) {
        let mut cache = self.cache.lock().expect("cache");
        cache.kv.push_back(id.to_owned());
        if cache.kv.len() > MAX_KV_REQUESTS {
            cache.kv.pop_front();
        }
    }
}
