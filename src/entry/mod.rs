//! An entry serves callers over HTTP and forwards their requests to endpoints.
//! It stores nothing on disk.
//!
//! | module | purpose |
//! |---|---|
//! | [`callers`] | HTTP interface for callers |
//! | [`endpoints`] | HTTP interface for endpoints |
//! | [`sync`] | receives configuration, fleet and lease from control |
//! | [`fleet`] | endpoints, and a router for each service |
//! | [`admission`] | starts, queues or refuses requests |
//! | [`answers`] | sends model answers to callers, which may reconnect |
//! | [`claims`] | claims on idempotency keys in control's ledger |
//! | [`plain`] | calls to plain services, at most once if not repeatable |
//! | [`chat`] | parses and checks chat requests |
//! | [`model`] | runs model requests from acceptance to the end |
//! | [`suspects`] | requests that may have crashed endpoints |
//! | [`requests`] | table of the model requests that this entry knows |
//! | [`peers`] | replicates model requests to a second entry |
//! | [`dispatch`] | connections to endpoints |
//!
//! # Stopping
//!
//! [`Handle::shutdown`] performs a planned stop. Callers no longer receive the
//! entry's address, and the entry accepts no new requests. Running requests
//! have the configured drain time to finish. The entry then hands over the
//! remaining model requests to other entries. No request is cut off.

pub mod admission;
pub mod answers;
pub mod callers;
pub mod chat;
pub mod claims;
pub mod dispatch;
pub mod endpoints;
pub mod fleet;
pub mod model;
pub mod peers;
pub mod plain;
pub mod refusal;
pub mod requests;
pub mod state;
pub mod suspects;
pub mod sync;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time::sleep};
use tracing::{error, info, warn};

use self::{
    admission::Admission,
    dispatch::Dispatcher,
    endpoints::Renewals,
    fleet::Fleet,
    peers::Peers,
    requests::{Outcome, Owner, Table},
    state::{Board, Lease, Shared, State},
};
use crate::{
    board::Cell,
    control::client::Client,
    decide::{
        quarantine::{Quarantine, Subject},
        retry::Budget,
    },
    http_server::{self, Server},
    metrics::Metrics,
    settings,
    timer::Timer,
    util::random_id,
    wire::EntryInfo,
};

/// Interval at which waiting requests are started or refused.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a draining entry checks for running requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the drain in which callers can receive the rest of their
/// answers. Also the time limit for stopping the peer server.
const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Drain time of an entry that never received a configuration, in ms.
const DEFAULT_DRAIN_MS: u64 = 1000;

/// Handle to a running entry.
#[derive(Debug)]
pub struct Handle {
    state: Shared,
    server: Server,
    peers: JoinHandle<()>,
    stop_peers: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an entry.
///
/// The entry serves callers once it has a lease and a configuration.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn spawn(settings: &settings::Entry) -> io::Result<Handle> {
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    let peer_address = peer_listener.local_addr()?;
    let timer = Timer::spawn();
    let shared: Arc<std::sync::OnceLock<Shared>> = Arc::default();
    // The state contains the server's address, so the server is bound first
    // and receives the state later.
    let handler = {
        let shared = shared.clone();
        move |request| {
            let state = shared.get().cloned();
            async move {
                match state {
                    Some(state) => callers::serve(state, request).await,
                    None => starting_response(),
                }
            }
        }
    };
    let server =
        http_server::spawn(settings.listen, settings.threads, handler)?;
    let address = settings.advertise.unwrap_or(server.address());
    let info = EntryInfo {
        id: settings.id.clone(),
        incarnation: random_id(),
        address: address.to_string(),
        peer_address: peer_address.to_string(),
        data_centre: settings.data_centre.clone(),
        serving: false,
        in_force: 0,
    };
    let state = Arc::new(create_state(settings, info, timer));
    let _ = shared.set(state.clone());
    info!(target: "entry", "Starting entry {} at {address}.", state.info.id);
    let (stop_peers, mut stopped) = watch::channel(false);
    let peers = tokio::spawn({
        let state = state.clone();
        async move {
            let stop = async move {
                let _ = stopped.wait_for(|stop| *stop).await;
            };
            let served = peers::serve(state, peer_listener, stop).await;
            if let Err(failure) = served {
                error!(target: "entry", "Peer server failed: {failure}.");
            }
        }
    });
    let tasks = vec![
        tokio::spawn(sync::run(state.clone())),
        tokio::spawn(peers::adopt_orphans(state.clone())),
    ];
    let weak_state = Arc::downgrade(&state);
    state.timer.subscribe(ADMISSION_INTERVAL, move |_| {
        let Some(state) = weak_state.upgrade() else { return false };
        state.admission.tick(&state);
        true
    });
    Ok(Handle { state, server, peers, stop_peers, tasks })
}

fn starting_response() -> http_server::Response {
    let body = serde_json::json!({
        "error": "the entry is starting",
        "verdict": "not run",
        "retry_after_ms": 100,
    });
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    http_server::Response::json(status, &body)
}

fn create_state(
    settings: &settings::Entry,
    info: EntryInfo,
    timer: Timer,
) -> State {
    State {
        board: Board {
            config: Cell::new(None),
            lease: Cell::new(Lease { until: 0, fresh: false }),
            entries: Cell::new(Vec::new()),
            departed: Cell::new(Vec::new()),
            orders: Cell::new(Vec::new()),
            draining: Cell::new(false),
        },
        control: Client::open(&settings.control),
        fleet: Mutex::new(Fleet::open(&settings.data_centre)),
        renewals: Renewals::default(),
        requests: Table::default(),
        peers: Peers::default(),
        admission: Admission::default(),
        quarantine: Mutex::default(),
        part_quarantine: Mutex::new(Quarantine::of(Subject::Part)),
        retries: Mutex::new(Budget::open(10, random_id())),
        dispatcher: Dispatcher::open(),
        metrics: Metrics::open(),
        runtime: tokio::runtime::Handle::current(),
        settings: settings.clone(),
        info,
        timer,
    }
}

impl Handle {
    /// Returns the address for callers and endpoints.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Drains and stops the entry, as described in the module documentation.
    pub async fn shutdown(self) {
        let state = &self.state;
        info!(target: "entry", "Draining; accepting no new requests.");
        state.board.draining.write(true);
        let config = state.board.config.read();
        let drain_ms =
            config.as_ref().as_ref().map_or(DEFAULT_DRAIN_MS, |in_force| {
                in_force.config.system.drain_ms
            });
        let drain_until = state.now() + drain_ms;
        while state.now() < drain_until && !is_idle(state) {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        hand_over_running(state).await;
        // Calls that can't be handed over end at the latest when their
        // endpoint's silence timeout expires.
        while state.metrics.running.get() > 0 {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        sleep(SHUTDOWN_GRACE_PERIOD).await;
        for task in &self.tasks {
            task.abort();
        }
        let _ = self.stop_peers.send(true);
        let _ = tokio::time::timeout(SHUTDOWN_GRACE_PERIOD, self.peers).await;
        let server = self.server;
        let stopped = tokio::task::spawn_blocking(|| server.shutdown());
        let _ = stopped.await;
        info!(target: "entry", "Stopped.");
    }
}

/// Whether no request runs on this entry and the backup entries have received
/// all pieces and the outcome of its model requests.
fn is_idle(state: &State) -> bool {
    let busy = state.requests.select(|record| {
        record.owner() == Owner::Here
            && record.view(usize::MAX).outcome == Outcome::Running
    });
    state.metrics.running.get() == 0 && busy.is_empty()
}

async fn hand_over_running(state: &Shared) {
    let running = state.requests.select(|record| {
        record.owner() == Owner::Here && record.outcome() == Outcome::Running
    });
    for record in running {
        match peers::hand_over(state, &record).await {
            Some(address) => {
                info!(
                    target: "entry",
                    "Handed request {} over to {address}.", record.id
                );
                record.set_owner(Owner::HandedOver { address });
            }
            None => {
                warn!(
                    target: "entry",
                    "No entry accepted request {}; waiting for its end here.",
                    record.id
                );
            }
        }
    }
}
