//! Streams that callers resume.
//!
//! A caller whose stream broke off sends its request again, to any node, with
//! the id of the last event that it has and the id of the request that brought
//! the first one. The stream goes on at the service and at the software
//! version that began it, or the request is refused at once: the version is
//! never guessed.
//!
//! The answer to each request of such a stream is recorded under its own id as
//! well, as callers may name that one the next time.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};
use tracing::info;

use super::{
    Gateway,
    dialect::RequestInfo,
    forward::{AcceptedRequest, StreamVersion},
    origins::{Lookup, Recording, Source, latest_opening},
    plan::{RetryPolicy, Route, Team},
    refusal::{Refusal, id_text},
};
use crate::{
    decide::origin::{Origin, retention_ms, stream_key},
    mesh::table::Liveness,
    metrics::Resumption,
};

/// Retry delay sent to callers while nodes that may know where a stream began
/// do not reply, in ms: about the time in which nodes notice that others are
/// gone.
const UNANSWERED_RETRY_AFTER_MS: u64 = 500;
/// Retry delay sent to callers whose stream can't go on, in ms.
const LOST_RETRY_AFTER_MS: u64 = 1000;

/// Maximum time for which a stream waits for the heartbeat that confirms its
/// replica: one heartbeat interval, the time in which nodes learn of a
/// heartbeat, and its possible lateness. Callers disconnect after two seconds
/// without an event.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(1900);
/// Interval between two checks for such a heartbeat.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The incarnation that is believed to send a stream's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Begun {
    /// Its [`record_key`](crate::mesh::table::record_key).
    pub replica: u32,
    /// Latest time at which the connection to it was opened, in ms.
    pub opened_at: u64,
}

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obstacle {
    /// Some nodes that may know where it began did not reply.
    Unanswered,
    /// No node knows where it began.
    Unknown,
    /// It began at a replica whose version was not certain.
    Uncertain,
    /// Its replica may have restarted with another version before it began.
    Unconfirmed,
    /// Its service is no longer on the route.
    ServiceGone,
}

impl Obstacle {
    fn as_str(self) -> &'static str {
        match self {
            Obstacle::Unanswered => "unanswered",
            Obstacle::Unknown => "unknown",
            Obstacle::Uncertain => "uncertain",
            Obstacle::Unconfirmed => "unconfirmed",
            Obstacle::ServiceGone => "service_gone",
        }
    }

    fn refusal(self, route: &Route) -> Refusal {
        let (text, retry_after_ms) = match self {
            Obstacle::Unanswered => (
                "the nodes that know where the stream began do not reply",
                UNANSWERED_RETRY_AFTER_MS,
            ),
            Obstacle::Unknown => {
                ("it is not known where the stream began", LOST_RETRY_AFTER_MS)
            }
            Obstacle::Uncertain => (
                "it is not certain which software version began the stream",
                LOST_RETRY_AFTER_MS,
            ),
            Obstacle::Unconfirmed => (
                "the stream's replica may have restarted before it began",
                UNANSWERED_RETRY_AFTER_MS,
            ),
            Obstacle::ServiceGone => (
                "the stream's service is no longer on its route",
                LOST_RETRY_AFTER_MS,
            ),
        };
        let refusal = Refusal::retryable(text, retry_after_ms);
        Refusal { route: route.name.clone(), ..refusal }
    }
}

/// Why the events of an answer can't be sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unsettled {
    /// They come from another version than earlier ones, or from one that is
    /// not certain.
    OtherVersion,
    /// No heartbeat shows yet which version made them.
    Unconfirmed,
    /// Another node may have a wrong record of where the stream began.
    NotRecorded,
}

impl Unsettled {
    /// Returns the text for logs and callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Unsettled::OtherVersion => {
                "the replica's software version is not certain"
            }
            Unsettled::Unconfirmed => {
                "no heartbeat shows which version made the events"
            }
            Unsettled::NotRecorded => {
                "the stream's software version can't be recorded"
            }
        }
    }
}

/// Where a stream began, and how that is known.
struct Found {
    origin: Origin,
    source: String,
    age_ms: u64,
}

impl Gateway {
    /// Returns where the stream began that a request resumes, or `None` if the
    /// request resumes none.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the stream can't go on.
    pub(super) async fn origin_of(
        self: &Arc<Gateway>,
        route: &Route,
        team: Option<&Team>,
        request_info: &RequestInfo,
        deadline: Instant,
    ) -> Result<Option<Origin>, Refusal> {
        let resumes = request_info.resumes.as_deref();
        let is_resumed =
            resumes.is_some() || request_info.last_event.is_some();
        if route.retry_policy != RetryPolicy::Resumable || !is_resumed {
            return Ok(None);
        }
        let team = team.map_or("", |team| &team.name);
        let request = id_text(request_info.id.as_ref());
        let resumes_id = resumes.unwrap_or("");
        let found = self.locate(route, team, resumes_id, deadline).await;
        match found {
            Ok(Found { origin, source, age_ms }) => {
                info!(
                    target: "gateway",
                    request, resumes, source, age_ms,
                    service = origin.service,
                    version = origin.version,
                    "Resuming a stream."
                );
                Ok(Some(origin))
            }
            Err(obstacle) => {
                let outcome = obstacle.as_str();
                info!(
                    target: "gateway",
                    request, resumes, outcome,
                    "Stream can't be resumed."
                );
                self.count_resumption(outcome);
                Err(obstacle.refusal(route))
            }
        }
    }

    async fn locate(
        self: &Arc<Gateway>,
        route: &Route,
        team: &str,
        resumes: &str,
        deadline: Instant,
    ) -> Result<Found, Obstacle> {
        let lookup = match resumes {
            "" => Lookup::Unknown,
            id => self.find_origin(stream_key(team, id.as_bytes())).await,
        };
        let found = match lookup {
            Lookup::Found(record, source) => {
                let begun = Begun {
                    replica: record.replica,
                    opened_at: latest_opening(record.recorded_at),
                };
                let version = &record.origin.version;
                let until = deadline.min(self.latest_wait());
                if !version.is_empty()
                    && !self.confirm(begun, version, until).await
                {
                    return Err(Obstacle::Unconfirmed);
                }
                let now = self.timer.now();
                Found {
                    age_ms: now.saturating_sub(record.recorded_at),
                    source: match source {
                        Source::Own => "own".to_owned(),
                        Source::Node(ip) => ip.to_string(),
                    },
                    origin: record.origin,
                }
            }
            Lookup::Unanswered => return Err(Obstacle::Unanswered),
            Lookup::Unknown => {
                let origin = self.only_origin(route);
                let origin = origin.ok_or(Obstacle::Unknown)?;
                let source = "only version".to_owned();
                Found { origin, source, age_ms: 0 }
            }
        };
        if found.origin.version.is_empty() {
            return Err(Obstacle::Uncertain);
        }
        let service = &found.origin.service;
        let mut split = route.split.iter();
        match split.any(|(name, weight)| name == service && *weight > 0) {
            true => Ok(found),
            false => Err(Obstacle::ServiceGone),
        }
    }

    /// Returns where each stream of a route began, if all replicas that served
    /// it within the lifetime of a stream are of one service and version.
    fn only_origin(&self, route: &Route) -> Option<Origin> {
        let now = self.timer.now();
        let mut split = route.split.iter().filter(|(_, weight)| *weight > 0);
        let (Some((service, _)), None) = (split.next(), split.next()) else {
            return None;
        };
        if self.route_changes.has_changed(now, route) {
            return None;
        }
        let table = self.mesh.get()?.table();
        let history_ms = retention_ms(route.timeout_ms);
        let version = table.only_version_within(now, service, history_ms)?;
        let version = version.to_owned();
        Some(Origin { service: service.clone(), version })
    }

    /// Returns until when a stream waits for facts that show its version.
    pub(super) fn latest_wait(&self) -> Instant {
        Instant::now() + MAX_CONFIRMATION_WAIT
    }

    /// Waits until a heartbeat shows that the believed incarnation accepted a
    /// connection. Returns false if another one may have accepted it, unless
    /// that has the same version.
    pub(super) async fn confirm(
        &self,
        begun: Begun,
        version: &str,
        until: Instant,
    ) -> bool {
        loop {
            if let Some(is_confirmed) = self.confirmation(begun, version) {
                return is_confirmed;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep(CONFIRMATION_POLL_INTERVAL).await;
        }
    }

    /// Returns whether heartbeats show that the incarnation that accepted a
    /// connection has the version, or `None` as long as they show nothing.
    fn confirmation(&self, begun: Begun, version: &str) -> Option<bool> {
        let table = self.mesh.get()?.table();
        match table.liveness(begun.replica, begun.opened_at) {
            Liveness::Confirmed => Some(true),
            Liveness::Superseded(later) => Some(later == version),
            // A node that has just started hears of replicas soon.
            Liveness::Open | Liveness::Unknown => None,
        }
    }

    fn count_resumption(&self, outcome: &'static str) {
        let label = Resumption { outcome };
        self.metrics.resumptions.get_or_create(&label).inc();
    }
}

impl AcceptedRequest {
    /// Records where the stream begins if the next attempt succeeds, unless an
    /// event has been sent. The node that the caller is connected to does so.
    pub fn record_origin(
        &mut self,
        version: &StreamVersion,
        replica: u32,
        opened_at: Option<u64>,
    ) {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        if self.is_settled || !is_resumable || self.forwarded.is_some() {
            return;
        }
        let Some(id) = &self.request_info.id else { return };
        let team = self.team.as_ref().map_or("", |team| &team.name);
        let recording = self.recording.get_or_insert_with(|| {
            let stream = stream_key(team, id.as_bytes());
            let keep_ms = retention_ms(self.route.timeout_ms);
            Recording::open(&self.gateway, stream, keep_ms)
        });
        let origin = Origin {
            service: self.service.clone(),
            version: version.certain().to_owned(),
        };
        recording.record(origin, replica, opened_at);
    }

    /// Returns whether the replica that an attempt was sent to is the
    /// incarnation that nodes knew, and waits for the heartbeat that shows it.
    pub async fn is_confirmed(&self, begun: Option<Begun>) -> bool {
        let Some(begun) = begun else { return true };
        let StreamVersion::Only(version) = &self.version else {
            return true;
        };
        let until = self.deadline.min(self.gateway.latest_wait());
        self.gateway.confirm(begun, version, until).await
    }

    /// Returns whether the version on record sent the events of a stream that
    /// has just broken off.
    ///
    /// A replica that crashes is never heard again. Where no other version is
    /// known and its heartbeats were on time until now, it is taken for the
    /// one that began the stream.
    pub async fn is_origin_confirmed(&self) -> bool {
        let (true, Some(begun)) = (self.is_settled, self.begun) else {
            return true;
        };
        if let Some(mesh) = self.gateway.mesh.get() {
            let now = self.now();
            let table = mesh.table();
            let only = table.only_version(now, &self.service);
            let only = only.map(StreamVersion::of);
            if only.as_ref() == Some(&self.version)
                && table.is_on_time(now, begun.replica)
            {
                return true;
            }
        }
        self.is_confirmed(Some(begun)).await
    }

    /// Logs that events of a replica were not sent on.
    pub fn log_unconfirmed(&self, replica: &str) {
        self.gateway.metrics.unconfirmed_replicas.inc();
        info!(
            target: "gateway",
            request = id_text(self.request_info.id.as_ref()),
            replica,
            "Events not sent on: no heartbeat shows which version made them."
        );
    }

    /// Counts a stream that can't go on now, although it is known where it
    /// began.
    pub fn record_unserved_resumption(&self) {
        if self.version != StreamVersion::Any && self.forwarded.is_none() {
            self.gateway.count_resumption("not_served");
        }
    }

    /// Returns the version to which the next attempt is limited: the one that
    /// the stream's events come from, or the one that other nodes may have on
    /// record from an earlier attempt.
    pub fn attempt_version(&self) -> StreamVersion {
        let recorded = self.recording.as_ref().and_then(Recording::version);
        match (&self.version, recorded) {
            (StreamVersion::Any, Some(version)) => StreamVersion::of(version),
            (version, _) => version.clone(),
        }
    }

    /// Lets the next attempt be at any version, if no other node has a record
    /// any longer that names the version of an earlier one. Waits for that
    /// until `until`.
    pub async fn lift_version_limit(&mut self, until: Instant) -> bool {
        let until = until.min(self.deadline);
        match &mut self.recording {
            Some(recording) if self.version == StreamVersion::Any => {
                recording.withdraw(until).await
            }
            _ => true,
        }
    }

    /// Settles the version that the events of the answer come from, before its
    /// caller sees the first one.
    ///
    /// # Errors
    ///
    /// Returns why the stream must not begin: the events would come from
    /// another version than earlier ones, or another version may still be on
    /// record.
    pub async fn settle_version(
        &mut self,
        version: &StreamVersion,
        begun: Option<Begun>,
    ) -> Result<(), Unsettled> {
        let is_resumable = self.route.retry_policy == RetryPolicy::Resumable;
        if self.is_settled || !is_resumable {
            return Ok(());
        }
        let is_resumed = self.version != StreamVersion::Any;
        if is_resumed && self.version != *version {
            return Err(Unsettled::OtherVersion);
        }
        if is_resumed && !self.is_confirmed(begun).await {
            let chosen = self.chosen.as_ref();
            self.log_unconfirmed(chosen.map_or("", |one| &one.replica));
            return Err(Unsettled::Unconfirmed);
        }
        let replica = begun.map_or(0, |begun| begun.replica);
        let opened_at = begun.map(|begun| begun.opened_at);
        self.record_origin(version, replica, opened_at);
        if let Some(mut recording) = self.recording.take() {
            let gateway = &self.gateway;
            let is_confirmed = || match begun {
                // The node that forwarded the answer has confirmed it.
                None => true,
                Some(begun) => gateway
                    .confirmation(begun, version.certain())
                    .unwrap_or(false),
            };
            let kept = recording.wait_until_kept(self.deadline, is_confirmed);
            if !kept.await {
                return Err(Unsettled::NotRecorded);
            }
            if !recording.is_settled() {
                tokio::spawn(recording.send_until_settled(self.deadline));
            }
        }
        if is_resumed && self.forwarded.is_none() {
            self.gateway.count_resumption("resumed");
        }
        self.version = version.clone();
        self.begun = begun.filter(|_| !is_resumed);
        self.is_settled = true;
        Ok(())
    }
}
