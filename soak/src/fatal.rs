//! A caller whose request crashes each replica that runs it. The caller sends
//! the request to random nodes under new ids for the whole run.

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
pub const PATH: &str = "/again/fatal";
/// Crashes after which all nodes have to quarantine the fatal request.
const QUARANTINE_CRASHES: u32 = 3;
/// Maximum number of further crashes after that, while the nodes are
/// connected.
const MAX_LATER_CRASHES: u32 = 3;
/// Time within which running, connected nodes have to learn of the crashes.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time until all nodes know new replicas.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);
/// Time for which the caller waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the fatal request to random nodes until the soak stops.
pub async fn repeat(shared: Arc<Shared>) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0xfa7a1);
    let mut number = 0;
    while shared.is_running() {
        sleep(Duration::from_millis(rng.random_range(100..900))).await;
        let proxy = shared.fronts().choose(&mut rng);
        let Some(front) = proxy.map(|proxy| proxy.address) else { continue };
        number += 1;
        // The replicas record the effect; the answer does not matter.
        let _ = timeout(REQUEST_TIMEOUT, send(&shared, front, number)).await;
    }
}

/// Sends the fatal request to each node after the last fault, and checks how
/// many of the new replicas it crashes.
pub async fn check_quarantine(
    shared: &Shared,
    faults: &mut Faults,
) -> std::io::Result<()> {
    sleep(PROPAGATION_TIME).await;
    let before = shared.ledger.fatal_crashes();
    if before < QUARANTINE_CRASHES {
        return Ok(());
    }
    faults.refill().await?;
    sleep(DISCOVERY_TIME).await;
    for round in 0..3 {
        for (at, proxy) in shared.fronts().iter().enumerate() {
            let number = 100_000 + round * 1000 + at as u64;
            let sent = send(shared, proxy.address, number);
            let _ = timeout(REQUEST_TIMEOUT, sent).await;
        }
    }
    let more = shared.ledger.fatal_crashes() - before;
    if more > MAX_LATER_CRASHES {
        let text = format!("{more} replicas more after {before}");
        shared.ledger.record_breach(format!("{PATH} has ended {text}"));
    }
    Ok(())
}

async fn send(
    shared: &Shared,
    front: SocketAddrV4,
    number: u64,
) -> Result<StatusCode, Failed> {
    let id = format!("fa7a1{:04x}{number:07x}", shared.seed & 0xffff);
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header("host", "here")
        .header("authorization", format!("Bearer {KEY}"))
        .header(wire::REQUEST_ID, id)
        .header(wire::DEADLINE, REQUEST_TIMEOUT.as_millis().to_string())
        .body(Full::new(Bytes::from_static(b"the same each time")))?;
    let mut sender = connect(front).await?;
    Ok(sender.send_request(request).await?.status())
}
