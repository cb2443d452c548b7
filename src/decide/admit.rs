//! Which request may start now, which waits, and which is refused at once.
//!
//! A [`Gate`] stands before the endpoints of one service, in one entry. Each
//! team has a share of the slots by its weight, and may borrow what others
//! leave unused. Waiting requests start by weighted fair queueing over
//! tokens: the team that has had least for its weight goes first, and within
//! a team the earliest deadline.
//!
//! # Borrowing and the reserve
//!
//! A team above its share starts only while more than a small reserve of
//! slots is free. Without it, a large team fills every slot with long
//! requests, and the small team's next request waits for one of them to end,
//! however fair the queue is.
//!
//! # Refusing at once
//!
//! A request whose predicted start lies behind its deadline is refused when
//! it arrives, and told when it would be worth coming back. Letting it wait
//! would end in the same refusal, only later, and meanwhile would keep
//! requests from starting that can still be met.

use crate::util::{common, position};

/// The part of the slots that only teams below their share may use.
const RESERVE: f32 = 0.1;
/// The weight of one new holding time in the average.
const HOLD_SHARE: f32 = 0.1;

common! {
    copy
    /// A waiting request.
    pub struct Ticket(u64);
}

common! {
    copy
    /// What becomes of a request that arrives.
    pub enum Arrival {
        /// It may start now.
        Start,
        /// It waits; [`Gate::next`] will name it.
        Wait(Ticket),
        /// It was refused; worth coming back after so many ms.
        Refuse(u64),
    }
}

common! {
    copy
    /// How much the endpoints can take, as the entry sees it now.
    pub struct Room {
        /// Slots of all endpoints of the service.
        pub slots: u32,
        /// Requests thought to be at the endpoints, from all entries.
        pub load: u32,
        /// Entries that serve, this one too.
        pub entries: u32,
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: f32,
    /// The last moment at which starting makes sense.
    start_by: u64,
}

#[derive(Debug)]
struct Team {
    name: String,
    weight: f32,
    running: u32,
    /// Cost begun, divided by weight: the team's virtual time.
    virtual_time: f32,
    /// Sorted by `start_by`.
    waiting: Vec<Waiting>,
}

/// The admission of one service at one entry.
#[derive(Debug)]
pub struct Gate {
    teams: Vec<Team>,
    running: u32,
    next_ticket: u64,
    /// How long a request holds its slot, on average.
    hold_ms: f32,
    queue_limit: usize,
}

impl Gate {
    /// Starts with nothing running.
    ///
    /// `hold_ms` is the first guess at how long a request runs.
    pub fn open(hold_ms: f32) -> Gate {
        Gate {
            teams: Vec::new(),
            running: 0,
            next_ticket: 0,
            hold_ms,
            queue_limit: 1024,
        }
    }

    /// Sets the teams and their weights, and how many requests may wait.
    ///
    /// A team that is gone keeps its place until its requests have ended.
    pub fn set_teams<'a>(
        &mut self,
        teams: impl Iterator<Item = (&'a str, u64)>,
        queue_limit: usize,
    ) {
        self.queue_limit = queue_limit;
        for (name, weight) in teams {
            let at = self.team_or_new(name);
            self.teams[at].weight = weight.max(1) as f32;
        }
    }

    /// Requests of this entry that are running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait here.
    pub fn waiting(&self) -> usize {
        self.teams.iter().map(|team| team.waiting.len()).sum()
    }

    /// Takes a request that should have started by `start_by`.
    pub fn arrive(
        &mut self,
        now: u64,
        room: Room,
        team: &str,
        cost: f32,
        start_by: u64,
    ) -> Arrival {
        let at = self.team_or_new(team);
        // Nobody overtakes those who wait already, except a team that is
        // below its share and has nobody waiting.
        let open = self.teams[at].waiting.is_empty()
            && self.may_start(at, room)
            && (self.waiting() == 0 || self.below_share(at, room));
        if open {
            self.start(at, cost);
            return Arrival::Start;
        }
        let wait = self.predicted_wait(at, room);
        let left = start_by.saturating_sub(now);
        if wait > left || self.waiting() >= self.queue_limit {
            return Arrival::Refuse(wait.saturating_sub(left).max(1));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = Waiting { ticket, cost, start_by };
        let queue = &mut self.teams[at].waiting;
        let place = queue.partition_point(|one| one.start_by <= start_by);
        queue.insert(place, waiting);
        Arrival::Wait(ticket)
    }

    /// The next request that may start, if one may.
    pub fn next(&mut self, room: Room) -> Option<Ticket> {
        let at = (0..self.teams.len())
            .filter(|&at| !self.teams[at].waiting.is_empty())
            .filter(|&at| self.may_start(at, room))
            .min_by(|&one, &other| {
                let times = [one, other].map(|at| self.teams[at].virtual_time);
                times[0].total_cmp(&times[1])
            })?;
        let waiting = self.teams[at].waiting.remove(0);
        self.start(at, waiting.cost);
        Some(waiting.ticket)
    }

    /// Those who can no longer start in time, and when to come back, in ms.
    pub fn hopeless(&mut self, now: u64, room: Room) -> Vec<(Ticket, u64)> {
        let mut refused = Vec::new();
        for at in 0..self.teams.len() {
            let after = self.predicted_wait(at, room);
            self.teams[at].waiting.retain(|one| {
                let keep = now <= one.start_by;
                if !keep {
                    refused.push((one.ticket, after));
                }
                keep
            });
        }
        refused
    }

    /// Takes a waiting request out, as when its caller went away.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for team in &mut self.teams {
            let found =
                team.waiting.iter().position(|one| one.ticket == ticket);
            if let Some(at) = found {
                team.waiting.remove(at);
                return true;
            }
        }
        false
    }

    /// A request has ended after holding its slot for `held_ms`.
    pub fn done(&mut self, team: &str, held_ms: f32) {
        self.running = self.running.saturating_sub(1);
        self.hold_ms += (held_ms - self.hold_ms) * HOLD_SHARE;
        if let Ok(at) = self.find(team) {
            let team = &mut self.teams[at];
            team.running = team.running.saturating_sub(1);
        }
    }

    /// A request that was named by [`Gate::next`] never used its slot.
    pub fn unused(&mut self, team: &str) {
        self.done(team, self.hold_ms);
    }

    // ---- Rules --------------------------------------------------------------

    fn may_start(&self, at: usize, room: Room) -> bool {
        // Each entry may fill its part of the slots whatever the others do:
        // else an entry that is flooded would starve the teams of another.
        let part = room.slots as f32 / room.entries.max(1) as f32;
        if self.running == 0 {
            return true;
        }
        let free_here = part - self.running as f32;
        let free_all = room.slots as f32 - room.load as f32;
        let free = free_here.max(free_all);
        let reserve = (room.slots as f32 * RESERVE).max(1.0);
        if self.below_share(at, room) {
            free >= 1.0
        } else {
            free >= 1.0 + reserve
        }
    }

    /// True while a team has less than its weight's part of the slots.
    ///
    /// Idle teams count too: otherwise a team that is alone has all slots for
    /// its share, fills the reserve, and the next team to come has to wait.
    fn below_share(&self, at: usize, room: Room) -> bool {
        let part = room.slots as f32 / room.entries.max(1) as f32;
        let weights: f32 = self.teams.iter().map(|team| team.weight).sum();
        let share = part * self.teams[at].weight / weights;
        (self.teams[at].running as f32) < share
    }

    /// How long a new request of this team would wait, in ms.
    fn predicted_wait(&self, at: usize, room: Room) -> u64 {
        let part = room.slots as f32 / room.entries.max(1) as f32;
        let weights: f32 = self
            .teams
            .iter()
            .enumerate()
            .filter(|(other, team)| *other == at || !team.waiting.is_empty())
            .map(|(_, team)| team.weight)
            .sum();
        let share = part * self.teams[at].weight / weights;
        let ahead = self.teams[at].waiting.len() as f32 + 1.0;
        (ahead / share.max(0.1) * self.hold_ms) as u64
    }

    fn start(&mut self, at: usize, cost: f32) {
        // A team that was idle does not get to make up for it all at once.
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

    /// Keeps virtual times small: floats lose the small steps otherwise.
    fn rebase(&mut self) {
        let times = self.teams.iter().map(|team| team.virtual_time);
        let least = times.fold(f32::INFINITY, f32::min);
        if least > 1_000_000.0 {
            for team in &mut self.teams {
                team.virtual_time -= least;
            }
        }
    }

    fn find(&self, team: &str) -> Result<usize, usize> {
        position(&self.teams, team, |one| one.name.as_str())
    }

    fn team_or_new(&mut self, name: &str) -> usize {
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
