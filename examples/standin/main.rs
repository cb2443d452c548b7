//! A stand-in endpoint, either a model engine or a plain service, for the
//! quickstart, the tests and the measurements.
//!
//! ```text
//! cargo run --example standin -- --kind model --id gpu-1 \
//!     --service sathi-7b --data-centre barasat --entries 127.0.0.1:8001
//! ```
//!
//! The program implements the interface of `docs/ENDPOINTS.md`: it announces
//! itself, sends heartbeats with its load, and announces its departure on
//! SIGTERM. `POST /standin/fault` sets a fault, `GET /standin/stats` returns
//! the counts.

mod announce;
mod engine;
mod fault;
mod plain;

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use argh::FromArgs;
use azuremount::{
    http_server::{self, Request, Response},
    signal,
};
use http::StatusCode;
use serde_json::json;

/// A stand-in endpoint for tests and measurements.
#[derive(Clone, Debug, FromArgs)]
pub struct Flags {
    /// model or plain
    #[argh(option)]
    kind: String,
    /// the endpoint's id
    #[argh(option)]
    id: String,
    /// the service that the endpoint offers
    #[argh(option)]
    service: String,
    /// the endpoint's data centre
    #[argh(option)]
    data_centre: String,
    /// entries to announce to, as ip:port,ip:port (none: no announcement)
    #[argh(option, default = "String::new()")]
    entries: String,
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// address to announce (the address listened on)
    #[argh(option)]
    advertise: Option<SocketAddr>,
    /// class of the endpoint's VM
    #[argh(option, default = "String::new()")]
    class: String,
    /// the endpoint's VM may be reclaimed
    #[argh(switch)]
    reclaimable: bool,
    /// refuses orders with an old fencing number
    #[argh(switch)]
    checks_fencing: bool,
    /// maximum number of concurrent requests
    #[argh(option, default = "8")]
    slots: u32,
    /// time to generate one piece or run one plain call, in milliseconds
    #[argh(option, default = "10")]
    piece_ms: u64,
    /// time to compute one prompt token, in microseconds
    #[argh(option, default = "20")]
    prefill_us: u64,
    /// capacity of the prefix cache, in prompt blocks
    #[argh(option, default = "2000")]
    cache_blocks: usize,
    /// share of cache events that are lost, in percent
    #[argh(option, default = "20")]
    lost_events: u32,
    /// age of the load in heartbeats, in milliseconds
    #[argh(option, default = "0")]
    report_lag_ms: u64,
    /// maximum time between SIGTERM and exit, in milliseconds
    #[argh(option, default = "5000")]
    within_ms: u64,
    /// file to which each run of a plain call appends its key
    #[argh(option)]
    runs: Option<PathBuf>,
}

enum Kind {
    Model(Arc<engine::Engine>),
    Plain(Arc<plain::Plain>),
}

impl Kind {
    fn load(&self) -> (u32, u32) {
        match self {
            Kind::Model(engine) => engine.load(),
            Kind::Plain(plain) => plain.load(),
        }
    }

    async fn serve(&self, request: Request) -> Response {
        match self {
            Kind::Model(engine) => engine.serve(request).await,
            Kind::Plain(plain) => plain.serve(request).await,
        }
    }

    fn fault(&self, fault: fault::Fault) {
        match self {
            Kind::Model(engine) => engine.faults.set(fault),
            Kind::Plain(plain) => plain.faults.set(fault),
        }
    }

    fn stats(&self) -> serde_json::Value {
        match self {
            Kind::Model(engine) => engine.stats(),
            Kind::Plain(plain) => plain.stats(),
        }
    }

    fn cache_events(&self) -> (Vec<u64>, Vec<u64>) {
        match self {
            Kind::Model(engine) => engine.cache_events(),
            Kind::Plain(_) => (Vec::new(), Vec::new()),
        }
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let flags: Flags = argh::from_env();
    let kind = Arc::new(match flags.kind.as_str() {
        "model" => Kind::Model(Arc::new(engine::Engine::open(&flags))),
        _ => Kind::Plain(Arc::new(plain::Plain::open(&flags))),
    });
    let served = kind.clone();
    let server = http_server::spawn(flags.listen, 1, move |request| {
        let kind = served.clone();
        async move { route(&kind, request).await }
    })?;
    println!("listening {}", server.address());
    let stop = signal::stop()?;
    let address = flags.advertise.unwrap_or(server.address());
    let session = announce::Session::open(&flags, address);
    tokio::select! {
        () = session.run(&kind) => {}
        () = stop => session.leave(&kind).await,
    }
    Ok(())
}

async fn route(kind: &Kind, request: Request) -> Response {
    match request.uri.path() {
        "/standin/fault" => match serde_json::from_slice(&request.body) {
            Ok(fault) => {
                kind.fault(fault);
                Response::json(StatusCode::OK, &json!({}))
            }
            Err(error) => {
                let text = json!({ "error": error.to_string() });
                Response::json(StatusCode::BAD_REQUEST, &text)
            }
        },
        "/standin/stats" => Response::json(StatusCode::OK, &kind.stats()),
        _ => kind.serve(request).await,
    }
}
