//! State shared by the components of an entry: settings, board, clients,
//! tables.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::runtime::Handle;
use tracing::{info, warn};

use super::{
    admission::Admission, dispatch::Dispatcher, endpoints::Renewals,
    fleet::Fleet, peers::Peers, requests::Table,
};
use crate::{
    backoff::Backoff,
    board::Cell,
    config::Config,
    control::client::Client,
    decide::{
        quarantine::{Quarantine, Subject},
        retry::Budget,
        route::Choice,
    },
    metrics::Metrics,
    settings,
    timer::Timer,
    util::common,
    wire::{EndpointRecord, EntryInfo, OrderRecord},
};

common! {
    /// The configuration in force at this entry.
    pub struct InForce {
        /// Revision of the configuration; never decreases.
        pub revision: u64,
        /// The configuration, rendered for this entry's data centre.
        pub config: Config,
    }
}

common! {
    /// An entry's right to take new requests.
    pub struct Lease {
        /// End of the lease by the timer's clock, in ms.
        pub until: u64,
        /// Whether this entry has synced through a quorum of control since its
        /// start.
        pub fresh: bool,
    }
}

/// The cells through which the controllers of an entry exchange state.
#[derive(Debug)]
pub struct Board {
    /// The configuration in force. Written by `sync`.
    pub config: Cell<Option<InForce>>,
    /// The lease. Written by `sync`.
    pub lease: Cell<Lease>,
    /// All entries of the system, sorted by id. Written by `sync`.
    pub entries: Cell<Vec<EntryInfo>>,
    /// Endpoints that are leaving or have departed, sorted by id. Written by
    /// `endpoints`.
    pub departed: Cell<Vec<EndpointRecord>>,
    /// The latest order to each endpoint. Written by `sync`.
    pub orders: Cell<Vec<OrderRecord>>,
    /// Whether this entry is draining. Written by `drain`.
    pub draining: Cell<bool>,
}

/// State shared by the components of an entry.
#[derive(Debug)]
pub struct State {
    /// Settings, validated at start.
    pub settings: settings::Entry,
    /// This process, as it announces itself to control and other entries.
    /// `serving` and `in_force` are not updated here.
    pub info: EntryInfo,
    /// The entry's clock.
    pub timer: Timer,
    /// The cells shared by the controllers.
    pub board: Board,
    /// Client of the control members.
    pub control: Client,
    /// Endpoints, with a router for each service.
    pub fleet: Mutex<Fleet>,
    /// Endpoint heartbeats to forward to control.
    pub renewals: Renewals,
    /// Model requests that this entry knows.
    pub requests: Table,
    /// Links to the other entries.
    pub peers: Peers,
    /// Admission control.
    pub admission: Admission,
    /// Requests that may have crashed endpoints.
    pub quarantine: Mutex<Quarantine>,
    /// Parts of prompts that may have crashed endpoints.
    pub part_quarantine: Mutex<Quarantine>,
    /// The retry budget.
    pub retries: Mutex<Budget>,
    /// Sends requests to endpoints.
    pub dispatcher: Dispatcher,
    /// Metrics of this entry.
    pub metrics: Metrics,
    /// Runtime for tasks that must outlive a caller's connection.
    pub runtime: Handle,
}

/// Shared handle to the state.
pub type Shared = Arc<State>;

impl State {
    /// Returns the time of the timer's clock, in ms.
    pub fn now(&self) -> u64 {
        self.timer.now()
    }

    /// Locks the fleet. The guard must not be held across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Locks the quarantine of requests or of parts of prompts.
    pub fn quarantine(&self, subject: Subject) -> MutexGuard<'_, Quarantine> {
        let quarantine = match subject {
            Subject::Request => &self.quarantine,
            Subject::Part => &self.part_quarantine,
        };
        quarantine.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Locks the retry budget.
    pub fn retries(&self) -> MutexGuard<'_, Budget> {
        self.retries.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Records the backoff, if any, that an endpoint requested in an answer.
    pub fn record_backoff(
        &self,
        service: &str,
        choice: &Choice,
        backoff: Backoff,
    ) {
        let endpoint = &choice.id;
        let now = self.now();
        match backoff {
            Backoff::None => {}
            Backoff::Unreadable => {
                self.metrics.unreadable.inc();
                warn!(
                    target: "entry",
                    endpoint, "Can't read the backoff in a response."
                );
            }
            Backoff::Ms(backoff_ms) => {
                self.metrics.backoffs.inc();
                info!(
                    target: "entry",
                    endpoint, backoff_ms, "Endpoint requested a backoff."
                );
                let until = now.saturating_add(backoff_ms);
                self.fleet().record_backoff(now, service, choice, until);
            }
        }
    }

    /// Returns whether this entry holds a lease, and so may accept new
    /// requests.
    pub fn holds_lease(&self) -> bool {
        let lease = self.board.lease.read();
        lease.fresh && self.now() < lease.until
    }

    /// Returns whether this entry's address may be given to callers.
    pub fn is_serving(&self) -> bool {
        !*self.board.draining.read()
            && self.holds_lease()
            && self.board.config.read().is_some()
    }
}
