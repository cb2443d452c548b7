//! Holds requests at the gates of `decide::admit` until they may start.

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

/// First guess at how long a request runs, in ms.
const HOLD_MS: f32 = 1000.0;

type Answer = oneshot::Sender<Result<(), u64>>;

struct Waiting {
    ticket: Ticket,
    team: String,
    answer: Answer,
}

struct Line {
    service: String,
    gate: Gate,
    waiting: Vec<Waiting>,
}

/// The gates of one entry, sorted by service.
#[derive(Default)]
pub struct Admission(Mutex<Vec<Line>>);

impl std::fmt::Debug for Admission {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("admission")
    }
}

/// The right to have one request at the endpoints; dropping it ends that.
#[derive(Debug)]
pub struct Permit {
    state: Shared,
    service: String,
    team: String,
    since: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.state.now();
        let held = now.saturating_sub(self.since) as f32;
        self.state.metrics.running.dec();
        let admission = &self.state.admission;
        admission.with(&self.state, &self.service, |line, room| {
            line.gate.finish(&self.team, held);
            advance(line, now, room);
        });
    }
}

/// Waits until the request may start.
///
/// # Errors
///
/// A refusal, at once, when it can't start before `start_by`.
pub async fn admit(
    state: &Shared,
    service: &Service,
    team: &str,
    cost: f32,
    start_by: u64,
) -> Result<Permit, Refusal> {
    let arrived = state.now();
    let (answer, answered) = oneshot::channel();
    let arrival = state.admission.with(state, &service.name, |line, room| {
        let arrival = line.gate.arrive(arrived, room, team, cost, start_by);
        if let Arrival::Wait(ticket) = arrival {
            let team = team.to_owned();
            let waiting = Waiting { ticket, team, answer };
            upsert(&mut line.waiting, waiting, |one| &one.ticket);
        }
        arrival
    });
    let permit = || {
        state.metrics.running.inc();
        Permit {
            state: state.clone(),
            service: service.name.clone(),
            team: team.to_owned(),
            since: state.now(),
        }
    };
    match arrival {
        Arrival::Start => Ok(permit()),
        Arrival::Refuse(after) => Err(too_busy(after)),
        Arrival::Wait(_) => match answered.await {
            Ok(Ok(())) => Ok(permit()),
            Ok(Err(after)) => Err(too_busy(after)),
            Err(_) => Err(too_busy(1000)),
        },
    }
}

fn too_busy(after_ms: u64) -> Refusal {
    Refusal {
        status: StatusCode::TOO_MANY_REQUESTS,
        verdict: Verdict::NotRun,
        text: "can't be met before its deadline".to_owned(),
        retry_after_ms: Some(after_ms),
    }
}

impl Admission {
    /// Takes teams and services from a configuration.
    pub fn configure(&self, config: &Config) {
        let mut lines = self.0.lock().unwrap_or_else(|held| held.into_inner());
        for service in &config.services {
            let at = line_of(&mut lines, &service.name);
            let teams = config
                .teams
                .iter()
                .map(|team| (team.name.as_str(), team.weight));
            let limit = service.queue as usize * service.slots as usize;
            lines[at].gate.set_teams(teams, limit.max(1));
        }
    }

    /// Starts whatever may start, and refuses what no longer can.
    pub fn tick(&self, state: &State) {
        let services: Vec<String> = {
            let lines = self.0.lock().unwrap_or_else(|held| held.into_inner());
            let busy = lines.iter().filter(|line| !line.waiting.is_empty());
            busy.map(|line| line.service.clone()).collect()
        };
        let now = state.now();
        for service in services {
            self.with(state, &service, |line, room| advance(line, now, room));
        }
    }

    fn with<T>(
        &self,
        state: &State,
        service: &str,
        act: impl FnOnce(&mut Line, Room) -> T,
    ) -> T {
        let room = room(state, service);
        let mut lines = self.0.lock().unwrap_or_else(|held| held.into_inner());
        let at = line_of(&mut lines, service);
        act(&mut lines[at], room)
    }
}

fn room(state: &State, service: &str) -> Room {
    let others = state
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
            entries: others + 1,
        },
        None => Room { slots: 0, load: 0, entries: others + 1 },
    }
}

fn line_of(lines: &mut Vec<Line>, service: &str) -> usize {
    match position(lines, service, |line| line.service.as_str()) {
        Ok(at) => at,
        Err(at) => {
            let line = Line {
                service: service.to_owned(),
                gate: Gate::open(HOLD_MS),
                waiting: Vec::new(),
            };
            lines.insert(at, line);
            at
        }
    }
}

fn advance(line: &mut Line, now: u64, room: Room) {
    for (ticket, after) in line.gate.remove_late(now, room) {
        answer(line, ticket, Err(after));
    }
    let mut room = room;
    while let Some(ticket) = line.gate.next(room) {
        // Its load will show up in the pool only once it is dispatched.
        room.load += 1;
        answer(line, ticket, Ok(()));
    }
}

fn answer(line: &mut Line, ticket: Ticket, result: Result<(), u64>) {
    let found = position(&line.waiting, &ticket, |one| &one.ticket);
    let Ok(at) = found else { return };
    let waiting = line.waiting.remove(at);
    let gone = waiting.answer.send(result).is_err();
    if gone && result.is_ok() {
        // The caller has gone: its slot must not stay taken.
        line.gate.release_unused(&waiting.team);
    }
}
