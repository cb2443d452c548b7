//! Queues requests until the [`Gate`] of their service lets them start.

use std::sync::Mutex;

use http::StatusCode;
use tokio::sync::oneshot;

use super::{
    refusal::Refusal,
    state::{Shared, State},
};
use crate::{
    config::{Config, Service},
    decide::admit::{Arrival, Gate, Room, Ticket},
    util::{position, upsert},
    verdict::Verdict,
};

/// Initial estimate of how long a request holds its slot, in ms.
const INITIAL_HOLD_MS: f32 = 1000.0;

type DecisionSender = oneshot::Sender<Result<(), u64>>;

struct Waiting {
    ticket: Ticket,
    team: String,
    sender: DecisionSender,
}

struct ServiceQueue {
    service: String,
    gate: Gate,
    waiting: Vec<Waiting>,
}

/// Gates and waiting requests of one entry, sorted by service.
#[derive(Default)]
pub struct Admission(Mutex<Vec<ServiceQueue>>);

impl std::fmt::Debug for Admission {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("admission")
    }
}

/// Permission to run one request at the endpoints.
///
/// Dropping it releases the slot.
#[derive(Debug)]
pub struct Permit {
    state: Shared,
    service: String,
    team: String,
    started_at: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.state.now();
        let held_ms = now.saturating_sub(self.started_at) as f32;
        self.state.metrics.running.dec();
        let admission = &self.state.admission;
        admission.with(&self.state, &self.service, |queue, room| {
            queue.gate.finish(&self.team, held_ms);
            decide_waiting(queue, now, room);
        });
    }
}

/// Waits until the request may start.
///
/// # Errors
///
/// Returns a refusal as soon as the request is predicted not to start before
/// `start_by`.
pub async fn admit(
    state: &Shared,
    service: &Service,
    team: &str,
    cost: f32,
    start_by: u64,
) -> Result<Permit, Refusal> {
    let arrived_at = state.now();
    let (sender, decision) = oneshot::channel();
    let arrival = state.admission.with(state, &service.name, |queue, room| {
        let arrival =
            queue.gate.arrive(arrived_at, room, team, cost, start_by);
        if let Arrival::Wait(ticket) = arrival {
            let team = team.to_owned();
            let waiting = Waiting { ticket, team, sender };
            upsert(&mut queue.waiting, waiting, |waiting| &waiting.ticket);
        }
        arrival
    });
    let permit = || {
        state.metrics.running.inc();
        Permit {
            state: state.clone(),
            service: service.name.clone(),
            team: team.to_owned(),
            started_at: state.now(),
        }
    };
    match arrival {
        Arrival::Start => Ok(permit()),
        Arrival::Refuse(after_ms) => Err(deadline_refusal(after_ms)),
        Arrival::Wait(_) => match decision.await {
            Ok(Ok(())) => Ok(permit()),
            Ok(Err(after_ms)) => Err(deadline_refusal(after_ms)),
            Err(_) => Err(deadline_refusal(1000)),
        },
    }
}

fn deadline_refusal(after_ms: u64) -> Refusal {
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        verdict: Verdict::NotRun,
        text: "can't be met before its deadline".to_owned(),
        retry_after_ms: Some(after_ms),
    }
}

impl Admission {
    /// Applies the teams and services of a configuration.
    pub fn configure(&self, config: &Config) {
        let mut queues =
            self.0.lock().unwrap_or_else(|held| held.into_inner());
        for service in &config.services {
            let at = queue_index(&mut queues, &service.name);
            let teams = config
                .teams
                .iter()
                .map(|team| (team.name.as_str(), team.weight));
            let max_waiting = service.queue as usize * service.slots as usize;
            queues[at].gate.set_teams(teams, max_waiting.max(1));
        }
    }

    /// Starts the waiting requests that may start, and refuses those that can
    /// no longer start in time.
    pub fn tick(&self, state: &State) {
        let services: Vec<String> = {
            let queues =
                self.0.lock().unwrap_or_else(|held| held.into_inner());
            let busy = queues.iter().filter(|queue| !queue.waiting.is_empty());
            busy.map(|queue| queue.service.clone()).collect()
        };
        let now = state.now();
        for service in services {
            self.with(state, &service, |queue, room| {
                decide_waiting(queue, now, room)
            });
        }
    }

    fn with<T>(
        &self,
        state: &State,
        service: &str,
        operation: impl FnOnce(&mut ServiceQueue, Room) -> T,
    ) -> T {
        let room = current_room(state, service);
        let mut queues =
            self.0.lock().unwrap_or_else(|held| held.into_inner());
        let at = queue_index(&mut queues, service);
        operation(&mut queues[at], room)
    }
}

fn current_room(state: &State, service: &str) -> Room {
    let other_count = state
        .board
        .entries
        .read()
        .iter()
        .filter(|entry| entry.serving && entry.id != state.info.id)
        .count() as u32;
    let mut fleet = state.fleet();
    match fleet.pool(service) {
        Some(pool) => Room {
            slots: pool.slots(),
            load: pool.load() as u32,
            entries: other_count + 1,
        },
        None => Room { slots: 0, load: 0, entries: other_count + 1 },
    }
}

fn queue_index(queues: &mut Vec<ServiceQueue>, service: &str) -> usize {
    match position(queues, service, |queue| queue.service.as_str()) {
        Ok(at) => at,
        Err(at) => {
            let queue = ServiceQueue {
                service: service.to_owned(),
                gate: Gate::open(INITIAL_HOLD_MS),
                waiting: Vec::new(),
            };
            queues.insert(at, queue);
            at
        }
    }
}

fn decide_waiting(queue: &mut ServiceQueue, now: u64, room: Room) {
    for (ticket, after_ms) in queue.gate.remove_late(now, room) {
        send_decision(queue, ticket, Err(after_ms));
    }
    let mut room = room;
    while let Some(ticket) = queue.gate.next(room) {
        // The pool counts the request only once it is dispatched.
        room.load += 1;
        send_decision(queue, ticket, Ok(()));
    }
}

fn send_decision(
    queue: &mut ServiceQueue,
    ticket: Ticket,
    result: Result<(), u64>,
) {
    let found = position(&queue.waiting, &ticket, |waiting| &waiting.ticket);
    let Ok(at) = found else { return };
    let waiting = queue.waiting.remove(at);
    let disconnected = waiting.sender.send(result).is_err();
    if disconnected && result.is_ok() {
        // The caller has disconnected, so the slot is released.
        queue.gate.release_unused(&waiting.team);
    }
}
