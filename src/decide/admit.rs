//! Admission: decides whether a request starts, waits or is refused at once.
//!
//! A [`Gate`] guards the endpoints of one service in one entry. Each team has
//! a share of the slots, proportional to its weight, and may borrow slots that
//! other teams leave unused. Waiting requests start by weighted fair queueing
//! over tokens: the team that has been served least for its weight goes first.
//! Within a team, the request with the earliest deadline goes first.
//!
//! # Borrowing and the reserve
//!
//! A team above its share starts a request only while more than a small
//! reserve of slots is free. Without the reserve, a large team fills every
//! slot with long requests, and the next request of a small team waits for one
//! of them to finish, however fair the queue is.
//!
//! # Immediate refusal
//!
//! A request whose predicted start lies after its deadline is refused on
//! arrival, with a time after which a retry is worthwhile. Queueing it would
//! end in the same refusal, only later, and would delay requests that can
//! still meet their deadlines.

use crate::util::{common, position};

/// Fraction of the slots that only teams below their share may use.
const RESERVE_FRACTION: f32 = 0.1;
/// Weight of a new hold time in its moving average.
const HOLD_AVERAGE_WEIGHT: f32 = 0.1;

common! {
    copy
    /// Identifies a waiting request.
    pub struct Ticket(u64);
}

common! {
    copy
    /// Decision about a request that arrives.
    pub enum Arrival {
        /// The request starts now.
        Start,
        /// The request waits until [`Gate::next`] returns its ticket.
        Wait(Ticket),
        /// The request is refused; a retry is worthwhile after this time, in
        /// ms.
        Refuse(u64),
    }
}

common! {
    copy
    /// Capacity of the endpoints as the entry sees it now.
    pub struct Room {
        /// Slots of all endpoints of the service.
        pub slots: u32,
        /// Estimated requests in flight at the endpoints, from all entries.
        pub load: u32,
        /// Number of entries that serve, including this one.
        pub entries: u32,
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: f32,
    /// Latest time at which the request may start, in ms.
    start_by: u64,
}

#[derive(Debug)]
struct Team {
    name: String,
    weight: f32,
    running: u32,
    /// Cost of the started requests divided by the weight.
    virtual_time: f32,
    /// Sorted by `start_by`.
    waiting: Vec<Waiting>,
}

/// Admission control of one service in one entry.
#[derive(Debug)]
pub struct Gate {
    teams: Vec<Team>,
    running: u32,
    next_ticket: u64,
    /// Moving average of the time that a request holds its slot.
    hold_ms: f32,
    max_waiting: usize,
}

impl Gate {
    /// Creates a gate without running requests.
    ///
    /// `hold_ms` is the initial estimate of how long a request runs.
    pub fn open(hold_ms: f32) -> Gate {
        Gate {
            teams: Vec::new(),
            running: 0,
            next_ticket: 0,
            hold_ms,
            max_waiting: 1024,
        }
    }

    /// Sets the teams' weights and the maximum number of waiting requests.
    ///
    /// A team that is missing from `teams` keeps its weight and its requests.
    pub fn set_teams<'a>(
        &mut self,
        teams: impl Iterator<Item = (&'a str, u64)>,
        max_waiting: usize,
    ) {
        self.max_waiting = max_waiting;
        for (name, weight) in teams {
            let at = self.find_or_insert_team(name);
            self.teams[at].weight = weight.max(1) as f32;
        }
    }

    /// Number of running requests of this entry.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.teams.iter().map(|team| team.waiting.len()).sum()
    }

    /// Starts, queues or refuses a request that must start by `start_by`.
    pub fn arrive(
        &mut self,
        now: u64,
        room: Room,
        team: &str,
        cost: f32,
        start_by: u64,
    ) -> Arrival {
        let at = self.find_or_insert_team(team);
        // A new request may not overtake waiting ones, unless its team is
        // below its share and has none waiting.
        let can_start = self.teams[at].waiting.is_empty()
            && self.can_start(at, room)
            && (self.waiting() == 0 || self.is_below_share(at, room));
        if can_start {
            self.start(at, cost);
            return Arrival::Start;
        }
        let wait_ms = self.predicted_wait_ms(at, room);
        let left_ms = start_by.saturating_sub(now);
        if wait_ms > left_ms || self.waiting() >= self.max_waiting {
            return Arrival::Refuse(wait_ms.saturating_sub(left_ms).max(1));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = Waiting { ticket, cost, start_by };
        let queue = &mut self.teams[at].waiting;
        let position =
            queue.partition_point(|other| other.start_by <= start_by);
        queue.insert(position, waiting);
        Arrival::Wait(ticket)
    }

    /// Starts and returns the next waiting request, if one can start.
    pub fn next(&mut self, room: Room) -> Option<Ticket> {
        let at = (0..self.teams.len())
            .filter(|&at| !self.teams[at].waiting.is_empty())
            .filter(|&at| self.can_start(at, room))
            .min_by(|&left, &right| {
                let times =
                    [left, right].map(|at| self.teams[at].virtual_time);
                times[0].total_cmp(&times[1])
            })?;
        let waiting = self.teams[at].waiting.remove(0);
        self.start(at, waiting.cost);
        Some(waiting.ticket)
    }

    /// Removes requests that can no longer start in time. Returns each with
    /// the time after which a retry is worthwhile, in ms.
    pub fn remove_late(&mut self, now: u64, room: Room) -> Vec<(Ticket, u64)> {
        let mut refused = Vec::new();
        for at in 0..self.teams.len() {
            let retry_after_ms = self.predicted_wait_ms(at, room);
            self.teams[at].waiting.retain(|request| {
                let can_start = now <= request.start_by;
                if !can_start {
                    refused.push((request.ticket, retry_after_ms));
                }
                can_start
            });
        }
        refused
    }

    /// Removes a waiting request, for instance when its caller disconnects.
    /// Returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for team in &mut self.teams {
            let found = team
                .waiting
                .iter()
                .position(|request| request.ticket == ticket);
            if let Some(at) = found {
                team.waiting.remove(at);
                return true;
            }
        }
        false
    }

    /// Records that a request has finished after holding its slot for
    /// `held_ms`.
    pub fn finish(&mut self, team: &str, held_ms: f32) {
        self.running = self.running.saturating_sub(1);
        self.hold_ms += (held_ms - self.hold_ms) * HOLD_AVERAGE_WEIGHT;
        if let Ok(at) = self.find(team) {
            let team = &mut self.teams[at];
            team.running = team.running.saturating_sub(1);
        }
    }

    /// Releases the slot of a request that [`Gate::next`] returned but that
    /// never started, for instance because its caller disconnected.
    pub fn release_unused(&mut self, team: &str) {
        self.finish(team, self.hold_ms);
    }

    // ---- Scheduling --------------------------------------------------------

    fn can_start(&self, at: usize, room: Room) -> bool {
        // An entry may fill its part of the slots regardless of the load from
        // other entries. Otherwise an entry that is flooded would starve the
        // teams of another entry.
        let entry_slots = room.slots as f32 / room.entries.max(1) as f32;
        if self.running == 0 {
            return true;
        }
        let free_here = entry_slots - self.running as f32;
        let free_all = room.slots as f32 - room.load as f32;
        let free = free_here.max(free_all);
        let reserve = (room.slots as f32 * RESERVE_FRACTION).max(1.0);
        if self.is_below_share(at, room) {
            free >= 1.0
        } else {
            free >= 1.0 + reserve
        }
    }

    /// Whether a team runs fewer requests than its share of the slots.
    ///
    /// Idle teams count towards the total weight. Otherwise a team that is
    /// alone has all slots as its share and fills the reserve, and the next
    /// team that sends a request has to wait.
    fn is_below_share(&self, at: usize, room: Room) -> bool {
        let entry_slots = room.slots as f32 / room.entries.max(1) as f32;
        let weights: f32 = self.teams.iter().map(|team| team.weight).sum();
        let share = entry_slots * self.teams[at].weight / weights;
        (self.teams[at].running as f32) < share
    }

    /// Predicted wait of a new request of this team, in ms.
    fn predicted_wait_ms(&self, at: usize, room: Room) -> u64 {
        let entry_slots = room.slots as f32 / room.entries.max(1) as f32;
        let weights: f32 = self
            .teams
            .iter()
            .enumerate()
            .filter(|(other, team)| *other == at || !team.waiting.is_empty())
            .map(|(_, team)| team.weight)
            .sum();
        let share = entry_slots * self.teams[at].weight / weights;
        let ahead = self.teams[at].waiting.len() as f32 + 1.0;
        (ahead / share.max(0.1) * self.hold_ms) as u64
    }

    fn start(&mut self, at: usize, cost: f32) {
        // A team that was idle must not catch up all at once, so its virtual
        // time rises to the lowest one of the active teams.
        let floor = self
            .teams
            .iter()
            .filter(|team| team.running > 0 || !team.waiting.is_empty())
            .map(|team| team.virtual_time)
            .fold(f32::INFINITY, f32::min);
        let team = &mut self.teams[at];
        if team.running == 0 && floor.is_finite() {
            team.virtual_time = team.virtual_time.max(floor);
        }
        team.virtual_time += cost / team.weight;
        team.running += 1;
        self.running += 1;
        self.rebase();
    }

    /// Keeps virtual times small, because large floats lose small increments.
    fn rebase(&mut self) {
        let times = self.teams.iter().map(|team| team.virtual_time);
        let lowest = times.fold(f32::INFINITY, f32::min);
        if lowest > 1_000_000.0 {
            for team in &mut self.teams {
                team.virtual_time -= lowest;
            }
        }
    }

    fn find(&self, team: &str) -> Result<usize, usize> {
        position(&self.teams, team, |other| other.name.as_str())
    }

    fn find_or_insert_team(&mut self, name: &str) -> usize {
        match self.find(name) {
            Ok(at) => at,
            Err(at) => {
                let team = Team {
                    name: name.to_owned(),
                    weight: 1.0,
                    running: 0,
                    virtual_time: 0.0,
                    waiting: Vec::new(),
                };
                self.teams.insert(at, team);
                at
            }
        }
    }
}
