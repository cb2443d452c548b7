//! Admission by shares of the capacity that the replicas have.
//!
//! The decisions are in [`admission`](crate::decide::admission). A request
//! passes them after a replica was chosen for it, as the time to its first
//! token is known then.

use std::{
    str::FromStr,
    sync::{Mutex, MutexGuard},
};

use super::{
    Gateway,
    fleet::{Fleet, Target},
    forward::{AcceptedRequest, StreamVersion},
    refusal::{Cause, Refusal},
};
use crate::{
    decide::admission::{Controller, Reason, Request, Shortage, Total, Work},
    mesh::table::Table,
    metrics::{AdmissionRefusal, Service},
    util::{common, name_hash, position, random_id},
    wire::TeamWork,
};

/// Teams of services reported in one datagram, at 20 bytes each.
const MAX_REPORTED_TOTALS: usize = 32;

common! {
    copy
    /// How requests are refused while replicas are overloaded.
    pub enum Admission {
        /// By the predicted wait, as this node sees it.
        Off,
        /// By the teams' shares of the capacity, over all nodes.
        Shared,
    }
}

impl FromStr for Admission {
    type Err = String;

    fn from_str(text: &str) -> Result<Admission, String> {
        match text {
            "off" => Ok(Admission::Off),
            "shared" => Ok(Admission::Shared),
            _ => Err(format!("{text} is neither off nor shared")),
        }
    }
}

/// The controllers of all services.
#[derive(Debug)]
pub(super) struct Controllers {
    /// Sorted by service.
    services: Vec<Controlled>,
    /// Index of the first total in the next report.
    next_report: usize,
}

#[derive(Debug)]
struct Controlled {
    service: String,
    hash: u32,
    controller: Controller,
    /// Totals as last reported, with the number of reports since they
    /// changed.
    reported: Vec<(Total, u32)>,
}

impl Controllers {
    /// Returns the controllers if the nodes share the capacity.
    pub fn open(admission: Admission) -> Option<Mutex<Controllers>> {
        match admission {
            Admission::Off => None,
            Admission::Shared => Some(Mutex::new(Controllers {
                services: Vec::new(),
                next_report: 0,
            })),
        }
    }

    fn find_or_insert(&mut self, service: &str) -> &mut Controlled {
        let found =
            position(&self.services, service, |known| known.service.as_str());
        let at = found.unwrap_or_else(|at| {
            let controlled = Controlled {
                service: service.to_owned(),
                hash: short_hash(service),
                controller: Controller::open(random_id()),
                reported: Vec::new(),
            };
            self.services.insert(at, controlled);
            at
        });
        &mut self.services[at]
    }

    /// Returns the totals that have changed lately, and the others in turn.
    fn next_report(&mut self) -> Vec<TeamWork> {
        let mut all: Vec<(u32, TeamWork)> = Vec::new();
        for known in &mut self.services {
            for total in known.controller.totals() {
                let found =
                    position(&known.reported, &total.team, |(total, _)| {
                        &total.team
                    });
                let reports = match found {
                    Ok(at) => {
                        let (seen, reports) = &mut known.reported[at];
                        *reports = match *seen == total {
                            true => reports.saturating_add(1),
                            false => 0,
                        };
                        *seen = total;
                        *reports
                    }
                    Err(at) => {
                        known.reported.insert(at, (total, 0));
                        0
                    }
                };
                let work = TeamWork {
                    service: known.hash,
                    team: total.team,
                    demand: total.demand,
                    admitted: total.admitted,
                    finished: total.finished,
                };
                all.push((reports, work));
            }
        }
        if all.len() > MAX_REPORTED_TOTALS {
            let from = self.next_report % all.len();
            self.next_report = from + MAX_REPORTED_TOTALS / 2;
            all.rotate_left(from);
            all.sort_by_key(|(reports, _)| *reports);
            all.truncate(MAX_REPORTED_TOTALS);
        }
        all.into_iter().map(|(_, work)| work).collect()
    }
}

/// The work of an admitted request.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    request: Request,
    work: Work,
    /// When its first token arrived, in ms.
    started_at: Option<u64>,
}

impl Gateway {
    fn controllers(&self) -> Option<MutexGuard<'_, Controllers>> {
        let controllers = self.controllers.as_ref()?;
        Some(controllers.lock().unwrap_or_else(|held| held.into_inner()))
    }

    /// Returns the work of this node's requests, for the other nodes.
    pub(super) fn team_work(&self) -> Vec<TeamWork> {
        self.controllers().map_or_else(Vec::new, |mut all| all.next_report())
    }

    /// Applies what other nodes have reported, and the present capacity.
    pub(super) fn refresh_admission(
        &self,
        now: u64,
        table: &Table,
        fleet: &mut Fleet,
    ) {
        let Some(mut controllers) = self.controllers() else { return };
        let nodes = table.entry_counts(now).0;
        for known in &mut controllers.services {
            for (node, at, work) in table.team_work() {
                if at == 0 {
                    continue;
                }
                let totals: Vec<Total> = work
                    .iter()
                    .filter(|work| work.service == known.hash)
                    .map(|work| Total {
                        team: work.team,
                        demand: work.demand,
                        admitted: work.admitted,
                        finished: work.finished,
                    })
                    .collect();
                known.controller.record_report(at, node, &totals);
            }
            if let Some(capacity) = fleet.capacity(now, &known.service) {
                known.controller.update(now, capacity, nodes);
            }
            let (room, demand) = known.controller.room_and_demand();
            let service = Service { service: known.service.clone() };
            let metrics = &self.metrics;
            let gauge = metrics.admission_capacity.get_or_create(&service);
            gauge.set(f64::from(room));
            let gauge = metrics.admission_demand.get_or_create(&service);
            gauge.set(f64::from(demand));
        }
    }

    /// Applies the present capacity of a service if that is due.
    ///
    /// Refreshes lock the fleet first and the controllers last, so the
    /// controllers are not locked while the fleet is read.
    fn update_capacity(&self, now: u64, service: &str) {
        let is_due = self.controllers().is_some_and(|mut controllers| {
            controllers.find_or_insert(service).controller.is_due(now)
        });
        if !is_due {
            return;
        }
        let nodes =
            self.mesh.get().map_or(1, |mesh| mesh.table().entry_counts(now).0);
        let capacity = self.fleet().capacity(now, service);
        if let (Some(capacity), Some(mut controllers)) =
            (capacity, self.controllers())
        {
            let controlled = controllers.find_or_insert(service);
            controlled.controller.update(now, capacity, nodes);
        }
    }
}

impl AcceptedRequest {
    /// Refuses a request that the replicas have no capacity for.
    pub fn check_capacity(
        &mut self,
        target: &Target,
        tried: u32,
    ) -> Option<Refusal> {
        if self.gateway.controllers.is_none() {
            return self.check_predicted_wait(target, tried);
        }
        if tried > 0 || !self.route.retry_policy.is_stream() {
            return None;
        }
        let now = self.now();
        let gateway = self.gateway.clone();
        gateway.update_capacity(now, &self.service);
        let mut controllers = gateway.controllers()?;
        let controlled = controllers.find_or_insert(&self.service);
        let controller = &mut controlled.controller;
        let team = self.team.as_ref().map_or("", |team| &team.name);
        let left = self
            .deadline
            .saturating_duration_since(tokio::time::Instant::now());
        let request = Request {
            team: short_hash(team),
            kind: name_hash(&self.route.name),
            caller: self.identity.fingerprint,
            priority: self.priority(),
            target_ms: self.route.target_ms as f32,
            left_ms: left.as_millis() as f32,
            tokens: target.ticket.tokens(),
            predicted_ms: target.predicted_ms,
        };
        let is_resumed = self.version != StreamVersion::Any;
        let result = match is_resumed {
            true => Ok(controller.record_accepted(&request)),
            false => controller.admit(now, &request),
        };
        drop(controllers);
        match result {
            Ok(work) => {
                self.admitted =
                    Some(Admitted { request, work, started_at: None });
                None
            }
            Err(shortage) => Some(self.refuse_for(team, shortage)),
        }
    }

    fn refuse_for(&self, team: &str, shortage: Shortage) -> Refusal {
        let (reason, text) = match shortage.reason {
            Reason::Share => ("share", "the team has used up its share"),
            Reason::Late => ("late", "the replicas have too much to read"),
            Reason::Early => ("early", "the caller returned too early"),
        };
        let labels = AdmissionRefusal {
            team: team.to_owned(),
            service: self.service.clone(),
            reason,
        };
        let refusals = &self.gateway.metrics.admission_refusals;
        refusals.get_or_create(&labels).inc();
        let wait_ms = shortage.wait_ms;
        let cause = Cause::Admission { team: team.to_owned(), shortage };
        let cause = Some(Box::new(cause));
        Refusal { cause, ..Refusal::retryable(text, wait_ms) }
    }

    /// Counts the work of a request whose first token has arrived.
    pub fn record_first_token(&mut self) {
        let now = self.now();
        let after_ms = self.began.elapsed().as_millis() as f32;
        let Some(admitted) = &mut self.admitted else { return };
        if admitted.started_at.replace(now).is_some() {
            return;
        }
        if let Some(mut controllers) = self.gateway.controllers() {
            let controlled = controllers.find_or_insert(&self.service);
            controlled.controller.record_first_token(
                &admitted.request,
                admitted.work,
                after_ms,
            );
        }
    }

    /// Learns from an answer that is complete.
    pub fn record_written(&self) {
        let admitted = self.admitted.as_ref();
        let Some(started_at) = admitted.and_then(|one| one.started_at) else {
            return;
        };
        if let Some(mut controllers) = self.gateway.controllers() {
            let write_ms = self.now().saturating_sub(started_at) as f32;
            let controlled = controllers.find_or_insert(&self.service);
            controlled.controller.record_written(write_ms);
        }
    }
}

/// Returns the hash of a name in messages between nodes.
fn short_hash(name: &str) -> u32 {
    name_hash(name) as u32
}
