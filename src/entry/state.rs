//! What the parts of an entry share: settings, board, clients, tables.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::runtime::Handle;

use super::{
    admission::Admission, dispatch::Dispatcher, endpoints::Renewals,
    fleet::Fleet, peers::Peers, requests::Table,
};
use crate::{
    board::Cell,
    config::Config,
    control::client::Client,
    decide::{quarantine::Quarantine, retry::Budget},
    metrics::Metrics,
    settings,
    timer::Timer,
    util::common,
    wire::{EndpointRecord, EntryInfo, OrderRecord},
};

common! {
    /// The configuration in force here.
    pub struct InForce {
        /// Its revision; never goes down.
        pub revision: u64,
        /// Rendered for this entry's data centre.
        pub config: Config,
    }
}

common! {
    /// An entry's right to take new requests.
    pub struct Lease {
        /// By the timer's clock, in ms.
        pub until: u64,
        /// Whether a read through the quorum has been made since the start.
        pub fresh: bool,
    }
}

/// The cells that the controllers of one entry read and write.
#[derive(Debug)]
pub struct Board {
    /// Written by `sync`.
    pub config: Cell<Option<InForce>>,
    /// Written by `sync`.
    pub lease: Cell<Lease>,
    /// All entries of the system, sorted by id. Written by `sync`.
    pub entries: Cell<Vec<EntryInfo>>,
    /// Endpoints that have left, sorted by id. Written by `endpoints`.
    pub departed: Cell<Vec<EndpointRecord>>,
    /// Newest order to each endpoint. Written by `sync`.
    pub orders: Cell<Vec<OrderRecord>>,
    /// Written by `drain`.
    pub draining: Cell<bool>,
}

/// Everything that one entry's parts share.
#[derive(Debug)]
pub struct State {
    /// As checked at start.
    pub settings: settings::Entry,
    /// This process, as others know it; `serving` and `in_force` are not
    /// kept up to date here.
    pub info: EntryInfo,
    /// The clock.
    pub timer: Timer,
    /// What the controllers share.
    pub board: Board,
    /// The control members.
    pub control: Client,
    /// Endpoints and where to send.
    pub fleet: Mutex<Fleet>,
    /// Heartbeats to pass on to control.
    pub renewals: Renewals,
    /// Requests known here.
    pub requests: Table,
    /// The other entries.
    pub peers: Peers,
    /// Who may start.
    pub admission: Admission,
    /// Requests that may have ended endpoints.
    pub quarantine: Mutex<Quarantine>,
    /// How many retries there may be.
    pub retries: Mutex<Budget>,
    /// Connections to endpoints.
    pub dispatcher: Dispatcher,
    /// Counters.
    pub metrics: Metrics,
    /// Where work goes that must outlive a caller's connection.
    pub runtime: Handle,
}

/// How all parts hold the state.
pub type Shared = Arc<State>;

impl State {
    /// Milliseconds of the timer's clock.
    pub fn now(&self) -> u64 {
        self.timer.now()
    }

    /// The endpoints, locked; never held across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Requests that may have ended endpoints, locked.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// The retry budget, locked.
    pub fn retries(&self) -> MutexGuard<'_, Budget> {
        self.retries.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// True while this entry may take a new request.
    pub fn holds_lease(&self) -> bool {
        let lease = self.board.lease.read();
        lease.fresh && self.now() < lease.until
    }

    /// True for an entry that is to be handed out to callers.
    pub fn is_serving(&self) -> bool {
        !*self.board.draining.read()
            && self.holds_lease()
            && self.board.config.read().is_some()
    }
}
