//! Duties: tasks for the whole system that only one node performs at a time.
//!
//! The leader of the log performs all duties; its term is the fencing token.
//! Not every platform checks the token, so two rules prevent calls of two
//! leaders from overlapping:
//!
//! - A leader calls the platform only while the last confirmation by a
//!   majority is more recent than the shortest election time-out. So it has
//!   stopped calling before another leader can be elected.
//! - A new leader waits for [`Options::lease_ms`] before its first call, so
//!   that a call of its predecessor that is still in transit arrives first.

pub mod scale;
pub mod usage;

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinHandle, time::sleep};

use crate::{
    board::Cell,
    control::{client::Client, member::Leadership, seat},
    gateway::{Gateway, plan::Plan},
    mesh,
    timer::Timer,
    util::common,
    wire::RecordUsage,
};

/// Interval between checks for due work. It is well below the seconds within
/// which a report or an order is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum transit time of a call, which is added to the lease, in ms.
const MAX_CALL_TRANSIT_MS: u64 = 500;

common! {
    /// Configuration of the duties.
    pub struct Options {
        /// The name of this node in calls to the platform.
        pub holder: String,
        /// Time for which calls of a predecessor may still arrive, in ms.
        pub lease_ms: u64,
        /// The length of a usage window, in ms.
        pub window_ms: u64,
        /// Whether this node reports usage.
        pub reports_usage: bool,
        /// Whether this node orders replicas.
        pub orders_replicas: bool,
    }
}

common! {
    /// The number of replicas of one kind that a data centre should have.
    pub struct Order {
        /// The service of the replicas.
        pub service: String,
        /// The data centre of the replicas.
        pub data_centre: String,
        /// Whether the platform may reclaim the replicas.
        pub reclaimable: bool,
        /// The total number of replicas, not the change.
        pub count: u32,
    }
}

impl Order {
    /// Returns true if both orders set the number of the same replicas.
    pub fn is_for(&self, other: &Order) -> bool {
        self.service == other.service
            && self.data_centre == other.data_centre
            && self.reclaimable == other.reclaimable
    }
}

/// Identifies the caller of the platform, with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencingToken {
    /// The node's name.
    pub holder: String,
    /// The fencing token, which increases with each new holder.
    pub fence: u64,
}

/// The reason why a call to the platform is not known to have had an effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The platform refused the call with this HTTP status.
    Refused(u16),
    /// The platform did not answer, and may have executed the call.
    Silent(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Refused(status) => write!(out, "refused with {status}"),
            Error::Silent(text) => write!(out, "no answer: {text}"),
        }
    }
}

impl std::error::Error for Error {}

/// The part of the platform's interface that duties call.
#[tonic::async_trait]
pub trait Cloud: Send + Sync + 'static {
    /// Reports the number of requests of each team that began in a window.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not accept the report. The same
    /// report may be sent again.
    async fn report(
        &self,
        token: &FencingToken,
        usage: &RecordUsage,
    ) -> Result<(), Error>;

    /// Orders replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform has no such replicas or did not
    /// answer. The same order may be sent again.
    async fn order(
        &self,
        token: &FencingToken,
        order: &Order,
    ) -> Result<(), Error>;
}

/// The parts of the node that duties use.
#[derive(Clone)]
pub struct Context {
    /// This node's member of the log, which decides whether it may act.
    pub seat: seat::Handle,
    /// Proposes usage records to the log.
    pub control: Arc<Client>,
    /// The mesh, with the request counts of all nodes.
    pub mesh: mesh::Handle,
    /// The plan in force.
    pub plan: Arc<Cell<Option<Plan>>>,
    /// The platform.
    pub cloud: Arc<dyn Cloud>,
    /// The clock.
    pub timer: Timer,
    /// The gateway, which knows the roll-outs.
    pub gateway: Arc<Gateway>,
}

impl Context {
    /// Returns this node's fencing token while it may act for the whole
    /// system.
    pub async fn token(&self, options: &Options) -> Option<FencingToken> {
        let Leadership { term, leading_ms, is_first } =
            self.seat.leadership().await?;
        // A leader waits until no call of its predecessor can be in transit.
        // The first leader of a cluster has no predecessor. If it waited, the
        // ordinary replicas that serve until reclaimable ones have booted
        // would be paid for three and a half seconds longer.
        if !is_first && leading_ms < options.lease_ms + MAX_CALL_TRANSIT_MS {
            return None;
        }
        Some(FencingToken { holder: options.holder.clone(), fence: term })
    }
}

/// A handle to the running duties, which stop when it is dropped.
#[derive(Debug)]
pub struct Handle(JoinHandle<()>);

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts the task that performs due duties while this node leads.
pub fn spawn(options: Options, context: Context) -> Handle {
    Handle(tokio::spawn(async move {
        let mut reporter = usage::Reporter::default();
        let mut scaler = scale::Scaler::default();
        loop {
            sleep(CHECK_INTERVAL).await;
            scaler.observe(&context);
            if context.token(&options).await.is_none() {
                reporter = usage::Reporter::default();
                scaler.forget_orders();
                continue;
            }
            if options.reports_usage {
                reporter.report_due_windows(&options, &context).await;
            }
            if options.orders_replicas {
                scaler.place_due_orders(&options, &context).await;
            }
        }
    }))
}
