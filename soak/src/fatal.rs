//! Callers whose requests crash each replica that runs them. They send these
//! requests to random nodes under new ids for the whole run: one sends the same
//! request each time, the other one requests that have only a part of their
//! prompts in common.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use azuremount_platform::standin as wire;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::time::{sleep, timeout};

use crate::{
    KEY, Shared,
    faults::Faults,
    http::{Failed, connect},
};

/// Path of the fatal request.
const PATH: &str = "/again/fatal";
/// Id of the fatal part of prompts.
const PART: &str = "fa7a1";
/// Parts that all prompts share.
const COMMON_PARTS: &str = "c0:400,c1:200";
/// Number of parts that sound prompts take turns with.
const SOUND_PARTS: usize = 12;
/// Maximum number of further crashes after the nodes have to refuse what is
/// fatal, while they are connected.
const MAX_LATER_CRASHES: u32 = 3;
/// Time within which running, connected nodes have to learn of the crashes.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time until all nodes know new replicas.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);
/// Time for which the caller waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What crashes replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fatal {
    /// A request that is the same each time.
    Request,
    /// A part of prompts.
    Part,
}

impl Fatal {
    /// All of them.
    pub const ALL: [Fatal; 2] = [Fatal::Request, Fatal::Part];

    /// Returns what is fatal in a request, if anything is.
    pub fn find(path: &str, parts: &str) -> Option<Fatal> {
        let is_fatal = |part: &str| {
            part.split_once(':').is_some_and(|(id, _)| id == PART)
        };
        match path {
            PATH => Some(Fatal::Request),
            _ if parts.split(',').any(is_fatal) => Some(Fatal::Part),
            _ => None,
        }
    }

    /// Returns the number of crashes after which all nodes have to refuse it.
    fn max_crashes(self) -> u32 {
        match self {
            Fatal::Request => 3,
            Fatal::Part => 5,
        }
    }
}

/// Returns the parts of the sound prompt with this number.
pub fn sound_prompt(number: usize) -> String {
    let part = number % SOUND_PARTS;
    format!("{COMMON_PARTS},5a{part:02x}:150,{:x}:40", 1 << 32 | number)
}

/// Sends what is fatal to random nodes until the soak stops.
pub async fn repeat(shared: Arc<Shared>, fatal: Fatal) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0xfa7a1);
    let mut number = 0;
    while shared.is_running() {
        sleep(Duration::from_millis(rng.random_range(100..900))).await;
        if shared.silences.is_checked() {
            continue;
        }
        let proxy = shared.fronts().choose(&mut rng);
        let Some(front) = proxy.map(|proxy| proxy.address) else { continue };
        number += 1;
        // The replicas record the effect; the answer does not matter.
        let sent = send(&shared, fatal, front, number);
        let _ = timeout(REQUEST_TIMEOUT, sent).await;
    }
}

/// Sends what is fatal to each node after the last fault, and checks how many
/// of the new replicas it crashes.
pub async fn check_quarantine(
    shared: &Shared,
    faults: &mut Faults,
) -> std::io::Result<()> {
    sleep(PROPAGATION_TIME).await;
    for fatal in Fatal::ALL {
        let before = shared.ledger.fatal_crashes(fatal);
        if before < fatal.max_crashes() {
            continue;
        }
        faults.refill().await?;
        sleep(DISCOVERY_TIME).await;
        for round in 0..3 {
            for (at, proxy) in shared.fronts().iter().enumerate() {
                let number = 100_000 + round * 1000 + at as u64;
                let sent = send(shared, fatal, proxy.address, number);
                let _ = timeout(REQUEST_TIMEOUT, sent).await;
            }
        }
        let more = shared.ledger.fatal_crashes(fatal) - before;
        if more > MAX_LATER_CRASHES {
            let text = format!("{more} replicas more after {before}");
            shared.ledger.record_breach(format!("{fatal:?} has ended {text}"));
        }
    }
    Ok(())
}

async fn send(
    shared: &Shared,
    fatal: Fatal,
    front: SocketAddrV4,
    number: u64,
) -> Result<StatusCode, Failed> {
    let is_part = u8::from(fatal == Fatal::Part);
    let id =
        format!("fa7a{is_part:x}{:04x}{number:07x}", shared.seed & 0xffff);
    let (path, parts, body) = match fatal {
        Fatal::Request => {
            (PATH.to_owned(), String::new(), "the same each time".to_owned())
        }
        Fatal::Part => (
            format!("/stream/{number}"),
            format!("{COMMON_PARTS},{PART}:150,{:x}:40", 1 << 40 | number),
            format!("body {number}"),
        ),
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "here")
        .header("authorization", format!("Bearer {KEY}"))
        .header(wire::REQUEST_ID, id)
        .header(wire::PARTS, parts)
        .header(wire::DEADLINE, REQUEST_TIMEOUT.as_millis().to_string())
        .body(Full::new(Bytes::from(body)))?;
    let mut sender = connect(front).await?;
    Ok(sender.send_request(request).await?.status())
}
