//! A caller whose request ends each replica that runs it, and that comes again
//! under new ids at any node, for as long as the run lasts.

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

/// Its path.
pub const PATH: &str = "/again/fatal";
/// Replicas that it may end before all nodes have to know.
const ENDS: u32 = 3;
/// Times that it may reach replicas after that, at nodes in touch.
const MORE: u32 = 3;
/// How soon nodes that run and hear each other have to know.
const CONTACT: Duration = Duration::from_secs(3);
/// Until all nodes know new replicas.
const KNOWN: Duration = Duration::from_millis(1500);
/// How long its caller waits.
const PATIENCE: Duration = Duration::from_secs(2);

/// Sends it until the soak stops.
pub async fn repeat(shared: Arc<Shared>) {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0xfa7a1);
    let mut number = 0;
    while shared.is_running() {
        sleep(Duration::from_millis(rng.random_range(100..900))).await;
        let proxy = shared.fronts().choose(&mut rng);
        let Some(front) = proxy.map(|proxy| proxy.address) else { continue };
        number += 1;
        // What comes of it is seen at the replicas.
        let _ = timeout(PATIENCE, send(&shared, front, number)).await;
    }
}

/// Sends it to each node, after the last fault, and counts what it ends of
/// replicas that are all new.
pub async fn judge(
    shared: &Shared,
    faults: &mut Faults,
) -> std::io::Result<()> {
    sleep(CONTACT).await;
    let before = shared.ledger.ends();
    if before < ENDS {
        return Ok(());
    }
    faults.refill().await?;
    sleep(KNOWN).await;
    for round in 0..3 {
        for (at, proxy) in shared.fronts().iter().enumerate() {
            let number = 100_000 + round * 1000 + at as u64;
            let sent = send(shared, proxy.address, number);
            let _ = timeout(PATIENCE, sent).await;
        }
    }
    let more = shared.ledger.ends() - before;
    if more > MORE {
        let text = format!("{more} replicas more after {before}");
        shared.ledger.breach(format!("{PATH} has ended {text}"));
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
        .header(wire::DEADLINE, PATIENCE.as_millis().to_string())
        .body(Full::new(Bytes::from_static(b"the same each time")))?;
    let mut sender = connect(front).await?;
    Ok(sender.send_request(request).await?.status())
}
