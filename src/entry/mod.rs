//! An entry: answers callers, forwards to endpoints, keeps nothing on disk.
//!
//! | module | does |
//! |---|---|
//! | [`callers`] | the HTTP interface towards callers |
//! | [`endpoints`] | the HTTP interface towards endpoints |
//! | [`sync`] | configuration, fleet and lease, from control |
//! | [`fleet`] | endpoints, with a router for each service |
//! | [`admission`] | who may start, who waits, who is refused |
//! | [`answers`] | writing model answers, for readers that come and go |
//! | [`claims`] | claims in control's ledger |
//! | [`plain`] | calls to plain services, at most once where it matters |
//! | [`chat`] | what is checked of a chat request |
//! | [`model`] | model requests, from acceptance to the end |
//! | [`suspects`] | requests that may have ended endpoints |
//! | [`requests`] | the model requests known here |
//! | [`peers`] | copies of requests at a second entry |
//! | [`dispatch`] | connections to endpoints |
//!
//! # Stopping
//!
//! [`Handle::shutdown`] is the whole of a planned stop. The entry is no longer
//! handed out and takes nothing new; what runs gets the configured time; what
//! still runs then is handed over to other entries. No request is cut off.

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
    decide::retry::Budget,
    http_server::{self, Server},
    metrics::Metrics,
    settings,
    timer::Timer,
    util::random_id,
    wire::EntryInfo,
};

/// How often waiting requests are looked at.
const ADMISSION_TICK: Duration = Duration::from_millis(20);
/// How often a stopping entry looks whether all has ended.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// After the drain: how long readers get to take what was written.
const LAST_WORDS: Duration = Duration::from_millis(300);
/// For an entry that never had a configuration.
const DEFAULT_DRAIN_MS: u64 = 1000;

/// A running entry.
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
/// It serves callers once it has a lease and a configuration.
///
/// # Errors
///
/// When an address can't be bound.
pub async fn spawn(settings: &settings::Entry) -> io::Result<Handle> {
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    let peer_address = peer_listener.local_addr()?;
    let timer = Timer::spawn();
    let shared: Arc<std::sync::OnceLock<Shared>> = Arc::default();
    // The server has to be bound before the state can name its address.
    let handler = {
        let shared = shared.clone();
        move |request| {
            let state = shared.get().cloned();
            async move {
                match state {
                    Some(state) => callers::serve(state, request).await,
                    None => not_ready(),
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
    let state = Arc::new(open_state(settings, info, timer));
    let _ = shared.set(state.clone());
    info!(target: "entry", "Entry {} starts at {address}.", state.info.id);
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
    let ticking = Arc::downgrade(&state);
    state.timer.subscribe(ADMISSION_TICK, move |_| {
        let Some(state) = ticking.upgrade() else { return false };
        state.admission.tick(&state);
        true
    });
    Ok(Handle { state, server, peers, stop_peers, tasks })
}

fn not_ready() -> http_server::Response {
    let body = serde_json::json!({
        "error": "the entry is starting",
        "verdict": "not run",
        "retry_after_ms": 100,
    });
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    http_server::Response::json(status, &body)
}

fn open_state(
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
    /// The address for callers and endpoints.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops in order: see the module head.
    pub async fn shutdown(self) {
        let state = &self.state;
        info!(target: "entry", "Stops taking requests.");
        state.board.draining.write(true);
        let config = state.board.config.read();
        let drain_ms = config
            .as_ref()
            .as_ref()
            .map_or(DEFAULT_DRAIN_MS, |known| known.config.system.drain_ms);
        let give_up = state.now() + drain_ms;
        while state.now() < give_up && !is_idle(state) {
            sleep(DRAIN_LOOK).await;
        }
        hand_over_rest(state).await;
        // Calls that can't be handed over end by their endpoint's silence at
        // the latest.
        while state.metrics.running.get() > 0 {
            sleep(DRAIN_LOOK).await;
        }
        sleep(LAST_WORDS).await;
        for task in &self.tasks {
            task.abort();
        }
        let _ = self.stop_peers.send(true);
        let _ = tokio::time::timeout(LAST_WORDS, self.peers).await;
        let server = self.server;
        let stopped = tokio::task::spawn_blocking(|| server.shutdown());
        let _ = stopped.await;
        info!(target: "entry", "Stopped.");
    }
}

/// True when nothing runs here, and all copies are up to date.
fn is_idle(state: &State) -> bool {
    let busy = state.requests.select(|record| {
        record.owner() == Owner::Here
            && record.view(usize::MAX).outcome == Outcome::Running
    });
    state.metrics.running.get() == 0 && busy.is_empty()
}

async fn hand_over_rest(state: &Shared) {
    let rest = state.requests.select(|record| {
        record.owner() == Owner::Here && record.outcome() == Outcome::Running
    });
    for record in rest {
        match peers::hand_over(state, &record).await {
            Some(address) => {
                info!(
                    target: "entry",
                    "Hands {} over to {address}.", record.id
                );
                record.set_owner(Owner::HandedOver { address });
            }
            None => {
                warn!(
                    target: "entry",
                    "Nobody takes {}; waits for its end.", record.id
                );
            }
        }
    }
}
