//! What only one node does at a time, for the whole system.
//!
//! The leader of the log holds every duty; its term is the fencing number.
//! Not every platform checks that number, so two rules keep two leaders'
//! calls apart:
//!
//! - A leader calls only while a majority has confirmed it a moment ago, for
//!   less time than the shortest election. So it has stopped before another
//!   can lead.
//! - A new leader waits out [`Options::lease_ms`] before its first call. So a
//!   call of its predecessor that is still on its way arrives before.

pub mod scale;
pub mod usage;

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinHandle, time::sleep};

use crate::{
    board::Cell,
    control::{client::Client, member::Office, seat},
    gateway::plan::Plan,
    mesh,
    timer::Timer,
    util::common,
    wire::RecordUsage,
};

/// Pause between two looks at what is due. Well below the seconds within
/// which a report or an order is due.
const LOOK: Duration = Duration::from_millis(500);
/// Added to the lease: what a call may take on its way.
const MARGIN_MS: u64 = 500;

common! {
    /// How duties are done.
    pub struct Options {
        /// This node, as the platform is told.
        pub holder: String,
        /// For so long a predecessor's calls may still come in, in ms.
        pub lease_ms: u64,
        /// The length of a usage window, in ms.
        pub window_ms: u64,
        /// Whether usage is reported at all.
        pub reports_usage: bool,
        /// Whether replicas are ordered at all.
        pub orders_replicas: bool,
    }
}

common! {
    /// How many replicas of one kind a data centre should have.
    pub struct Order {
        /// Of which service.
        pub service: String,
        /// Where.
        pub data_centre: String,
        /// Whether they may be reclaimed.
        pub reclaimable: bool,
        /// How many, in all.
        pub count: u32,
    }
}

impl Order {
    /// True when both say how many there should be of the same replicas.
    pub fn is_for(&self, other: &Order) -> bool {
        self.service == other.service
            && self.data_centre == other.data_centre
            && self.reclaimable == other.reclaimable
    }
}

/// Who calls, with which fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Badge {
    /// The node's name.
    pub holder: String,
    /// Grows with each new holder.
    pub fence: u64,
}

/// Why a call to the platform had no effect, as far as known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It said no.
    Refused(u16),
    /// It did not answer, and may have taken the call.
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

/// The platform's own interface, as far as duties need it.
#[tonic::async_trait]
pub trait Cloud: Send + Sync + 'static {
    /// Reports the requests of each team that began in a window.
    ///
    /// # Errors
    ///
    /// When the platform did not take it; the same may be sent again.
    async fn report(
        &self,
        badge: &Badge,
        usage: &RecordUsage,
    ) -> Result<(), Error>;

    /// Orders replicas.
    ///
    /// # Errors
    ///
    /// When the platform has none, or did not answer; the same order may be
    /// given again.
    async fn order(&self, badge: &Badge, order: &Order) -> Result<(), Error>;
}

/// What duties work with.
#[derive(Clone)]
pub struct Tools {
    /// Whether this node may act.
    pub seat: seat::Handle,
    /// Puts figures through the log.
    pub control: Arc<Client>,
    /// What all nodes have counted.
    pub mesh: mesh::Handle,
    /// The plan in force.
    pub plan: Arc<Cell<Option<Plan>>>,
    /// The platform.
    pub cloud: Arc<dyn Cloud>,
    /// The clock.
    pub timer: Timer,
}

impl Tools {
    /// This node's badge, while it may act for the whole system.
    pub async fn badge(&self, options: &Options) -> Option<Badge> {
        let Office { term, held_ms, is_first } = self.seat.office().await?;
        // A leader waits until its predecessor's calls are surely over. The
        // first one of all has none: waiting would only pay for the ordinary
        // replicas that stand there until reclaimable ones have booted, for
        // three and a half seconds more.
        if !is_first && held_ms < options.lease_ms + MARGIN_MS {
            return None;
        }
        Some(Badge { holder: options.holder.clone(), fence: term })
    }
}

/// Running duties; they end when this is dropped.
#[derive(Debug)]
pub struct Handle(JoinHandle<()>);

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Does what is due whenever this node leads.
pub fn spawn(options: Options, tools: Tools) -> Handle {
    Handle(tokio::spawn(async move {
        let mut reporter = usage::Reporter::default();
        let mut scaler = scale::Scaler::default();
        loop {
            sleep(LOOK).await;
            scaler.observe(&tools);
            if tools.badge(&options).await.is_none() {
                reporter = usage::Reporter::default();
                scaler.forget_orders();
                continue;
            }
            if options.reports_usage {
                reporter.look(&options, &tools).await;
            }
            if options.orders_replicas {
                scaler.look(&options, &tools).await;
            }
        }
    }))
}
