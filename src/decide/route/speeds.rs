//! The speed of each replica in the decisions of a pool.
//!
//! [`crate::decide::speed`] has the evidence and the model. A pool feeds it
//! with the requests that it sent, keeps the resulting factor of each replica
//! for the next decisions, and chooses the replicas to try again.

use super::{Pool, Replica, RouteRequest, Ticket, is_eligible};
use crate::decide::speed::{
    Evidence, Features, Model, Pace, Report, Sender, Switch, Trusts, Turn,
    factor, readable_figure,
};

/// Interval at which the factors of all replicas are computed again, in ms: a
/// fraction of the time in which a figure relaxes.
const FACTOR_INTERVAL_MS: u64 = 50;
/// Time without evidence after which a replica that is considered slow is sent
/// a request to see whether it has recovered, in ms: half of the time within
/// which a recovery should show.
const RETRIAL_MS: u64 = 1000;
/// Share of the requests that may be used for that.
const RETRIAL_SHARE: f32 = 0.01;
/// Replicas are compared with the one that a quarter of them is faster than. A
/// single one that looks fast by chance makes no other one look slow.
const FAST_RANK_DIVISOR: usize = 4;
/// Most such requests that are saved up.
const MAX_RETRIAL_CREDIT: f32 = 2.0;
/// Load per usable slot up to which a replica is tried again.
const MAX_RETRIAL_LOAD: f32 = 0.75;

/// What a pool knows of the speed of its replicas as a whole.
#[derive(Debug)]
pub(super) struct Speeds {
    switch: Switch,
    /// Whether a replica has reported a figure.
    has_figures: bool,
    pub model: Model,
    pub pace: Pace,
    trusts: Trusts,
    /// Log of the relative time of the fast replicas.
    fast: f32,
    /// How much of the reported loads is still true, from 0 to 1.
    pub fresh: f32,
    updated_at: u64,
    credit: f32,
    /// Replicas that were declared slow or well, not yet logged.
    turns: Vec<(String, Turn, Evidence)>,
    logs: Vec<f32>,
}

impl Speeds {
    pub fn open(token_ms: f32, batch_ms: f32) -> Speeds {
        Speeds {
            switch: Switch::Auto,
            has_figures: false,
            model: Model::open(token_ms, batch_ms),
            pace: Pace::default(),
            trusts: Trusts::default(),
            fast: 0.0,
            fresh: 1.0,
            updated_at: 0,
            credit: 0.0,
            turns: Vec::new(),
            logs: Vec::new(),
        }
    }

    pub fn is_on(&self) -> bool {
        match self.switch {
            Switch::Auto => self.has_figures,
            Switch::On => true,
            Switch::Off => false,
        }
    }
}

impl Replica {
    /// Sets the factor on the replica's times. `fresh` is how much of the
    /// reported loads is still true.
    ///
    /// Where requests are shorter than load reports are old, nobody sees that
    /// the faster replicas fill up. The factor then thins out the requests in
    /// proportion, instead of raising a cost that all nodes avoid.
    fn set_slowness(&mut self, slowness: f32, fresh: f32) {
        self.slowness = slowness;
        self.cost_factor = match slowness == 1.0 {
            true => 1.0,
            false => slowness.powf(fresh),
        };
    }

    /// Returns the replica's speed: 1 if it is as fast as the pool, 0.5 if
    /// work takes twice as long there.
    pub fn speed(&self) -> f32 {
        1.0 / self.slowness
    }

    /// Returns the number of running requests beyond which one more costs more
    /// than it gains; at most the slots.
    pub fn usable_slots(&self) -> f32 {
        (self.identity.slots as f32).min(self.knee)
    }
}

impl Pool {
    /// Sets whether the speed of replicas counts.
    pub fn set_speed_switch(&mut self, switch: Switch) {
        self.speeds.switch = switch;
    }

    /// Whether the speed of replicas counts.
    pub fn has_speeds(&self) -> bool {
        self.speeds.is_on()
    }

    /// Returns the speed and the usable slots of each replica, in the order of
    /// their ids.
    pub fn speeds(&self) -> impl Iterator<Item = (&str, f32, f32)> {
        self.replicas.iter().map(|replica| {
            let id = replica.identity.id.as_str();
            (id, replica.speed(), replica.usable_slots())
        })
    }

    /// Returns the evidence about each replica that is considered slow.
    pub fn slow_replicas(
        &self,
        now: u64,
    ) -> impl Iterator<Item = (&str, Evidence)> {
        let slow = self.replicas.iter().filter(|one| one.pace.is_slow());
        slow.map(move |replica| {
            let id = replica.identity.id.as_str();
            let evidence = &replica.pace;
            let trusts = &self.speeds.trusts;
            (id, evidence.evidence(now, trusts, replica.slowness))
        })
    }

    /// Returns the replicas that were declared slow or well since the last
    /// call.
    pub fn take_speed_turns(&mut self) -> Vec<(String, Turn, Evidence)> {
        std::mem::take(&mut self.speeds.turns)
    }

    /// Records the fourth load figure of an answer: how long work takes at the
    /// replica now, in percent of the usual time.
    pub fn record_figure(
        &mut self,
        now: u64,
        id: &str,
        incarnation: u64,
        percent: f32,
    ) {
        if self.speeds.switch == Switch::Off {
            return;
        }
        let Some(log_time) = readable_figure(percent) else { return };
        let Some(at) = self.find(id, incarnation) else { return };
        self.speeds.has_figures = true;
        self.replicas[at].pace.record_figure(now, log_time);
        self.update_factor(now, at);
    }

    /// Returns the log of the time since a request was sent, relative to what
    /// was predicted; `None` while nothing is predicted.
    ///
    /// Called when the answer begins. A sample that makes the replica look
    /// slow may be recorded at once, any other one when the answer is known to
    /// be right: a replica that fails fast is not fast.
    pub fn first_sample(&mut self, now: u64, ticket: Ticket) -> Option<f32> {
        if !self.speeds.is_on() {
            return None;
        }
        let at = self.position_of(ticket)?;
        let elapsed_ms = now.saturating_sub(ticket.begun_at) as f32;
        let features = ticket.features();
        let log_time = self.speeds.model.log_time(&features, elapsed_ms);
        let slowness = self.replicas[at].slowness;
        self.speeds.model.record(&features, elapsed_ms, slowness);
        log_time
    }

    /// Records a sample of a replica's relative time.
    pub fn record_sample(&mut self, now: u64, ticket: Ticket, log_time: f32) {
        if !self.speeds.is_on() {
            return;
        }
        let Some(at) = self.position_of(ticket) else { return };
        let speed = &mut self.replicas[at].pace;
        let foretold = f32::from(ticket.foretold_64ths) / 64.0;
        let trusts = &mut self.speeds.trusts;
        speed.record_sample(now, trusts, log_time, foretold);
        self.update_factor(now, at);
    }

    /// Records the mean time between two pieces of a complete answer.
    pub fn record_gap(&mut self, now: u64, ticket: Ticket, gap_ms: f32) {
        if !self.speeds.is_on() {
            return;
        }
        let Some(at) = self.position_of(ticket) else { return };
        let replica = &self.replicas[at];
        let load = (ticket.features().load + self.estimate(replica)) / 2.0;
        let predicted = self.speeds.pace.predict(load);
        let gap_ms = gap_ms.max(0.05);
        self.speeds.pace.record(load, gap_ms / replica.slowness);
        if let Some(predicted) = predicted {
            let log_time = (gap_ms / predicted.max(0.05)).ln();
            self.record_sample(now, ticket, log_time);
        }
    }

    /// Records another node's reports. Reports on unknown replicas and on
    /// former incarnations are ignored.
    pub fn record_reports(
        &mut self,
        now: u64,
        sender: Sender,
        reports: &[Report],
    ) {
        if self.speeds.switch == Switch::Off {
            return;
        }
        for report in reports {
            let low = u64::from(report.replica) << 32;
            let at =
                self.numbers_by_hash.partition_point(|(hash, _)| *hash < low);
            let Some((hash, number)) = self.numbers_by_hash.get(at) else {
                continue;
            };
            if Report::key(*hash) != report.replica {
                continue;
            }
            let Some(&Some(at)) = self.positions.get(*number as usize) else {
                continue;
            };
            self.speeds.has_figures |= report.figure.is_some();
            self.replicas[at].pace.record_report(now, sender, report);
            self.update_factor(now, at);
        }
    }

    /// Drops what a node reported before it restarted.
    pub fn forget_reports(&mut self, ip: u32) {
        for replica in &mut self.replicas {
            replica.pace.forget_sender(ip);
        }
    }

    /// Returns up to `most` reports of this node's evidence, the most
    /// informative ones first.
    pub fn take_reports(&mut self, now: u64, most: usize) -> Vec<Report> {
        if !self.speeds.is_on() || most == 0 {
            return Vec::new();
        }
        let mut due: Vec<(f32, usize)> = self
            .replicas
            .iter()
            .enumerate()
            .map(|(at, replica)| (replica.pace.unsent(), at))
            .filter(|(unsent, _)| *unsent > 0.0)
            .collect();
        due.sort_unstable_by(|one, other| other.0.total_cmp(&one.0));
        due.truncate(most);
        due.into_iter()
            .map(|(_, at)| {
                let replica = &mut self.replicas[at];
                replica.pace.take_report(now, replica.id_hash)
            })
            .collect()
    }

    /// Selects a replica that is considered slow and has shown nothing for a
    /// while, if a request can be spared for it.
    ///
    /// Without such requests, a replica that nobody sends to could not show
    /// that it has recovered. They may be late, so callers don't use this for
    /// the most urgent requests.
    pub fn pick_retrial(
        &mut self,
        now: u64,
        request: &RouteRequest<'_>,
    ) -> Option<super::Choice> {
        if !self.speeds.is_on() || self.policy != super::Policy::Cost {
            return None;
        }
        let credit = self.speeds.credit + RETRIAL_SHARE;
        self.speeds.credit = credit.min(MAX_RETRIAL_CREDIT);
        if self.speeds.credit < 1.0 {
            return None;
        }
        self.update_risks(now);
        let due = |replica: &&Replica| {
            let shown_at = replica.pace.heard_at().max(replica.pace.probed_at);
            replica.pace.is_slow()
                && now >= shown_at + RETRIAL_MS
                && is_eligible(now, replica, request)
                && self.estimate(replica)
                    < MAX_RETRIAL_LOAD * replica.usable_slots()
        };
        let found = self.replicas.iter().enumerate();
        let (at, _) = found
            .filter(|(_, replica)| due(replica))
            .min_by_key(|(_, replica)| replica.pace.heard_at())?;
        self.speeds.credit -= 1.0;
        self.replicas[at].pace.probed_at = now;
        self.picked_at = now;
        self.match_prefix(now, request);
        Some(self.assign(now, at, request))
    }

    /// Computes the factors of all replicas again if that is due.
    pub(super) fn update_factors(&mut self, now: u64) {
        let is_due = now >= self.speeds.updated_at + FACTOR_INTERVAL_MS;
        if !self.speeds.is_on() || !is_due || self.replicas.is_empty() {
            return;
        }
        self.speeds.updated_at = now;
        let mut logs = std::mem::take(&mut self.speeds.logs);
        logs.clear();
        let trusts = self.speeds.trusts;
        let all = self.replicas.iter();
        logs.extend(all.map(|one| one.pace.log_time(now, &trusts)));
        let mut sorted = logs.clone();
        let rank = sorted.len() / FAST_RANK_DIVISOR;
        let (_, fast, _) = sorted.select_nth_unstable_by(rank, f32::total_cmp);
        let fast = *fast;
        self.speeds.fast = fast;
        for (replica, log_time) in self.replicas.iter_mut().zip(&logs) {
            replica.set_slowness(factor(*log_time, fast), self.speeds.fresh);
            replica.knee =
                self.speeds.pace.usable_slots(replica.identity.slots);
            if let Some(turn) = replica.pace.update_turn(now, &trusts, fast) {
                let time = replica.slowness;
                let evidence = replica.pace.evidence(now, &trusts, time);
                let id = replica.identity.id.clone();
                self.speeds.turns.push((id, turn, evidence));
            }
        }
        self.speeds.logs = logs;
    }

    fn update_factor(&mut self, now: u64, at: usize) {
        let replica = &mut self.replicas[at];
        let log_time = replica.pace.log_time(now, &self.speeds.trusts);
        let slowness = factor(log_time, self.speeds.fast);
        replica.set_slowness(slowness, self.speeds.fresh);
    }
}

impl Ticket {
    /// Returns what was known of the request when it was sent.
    fn features(&self) -> Features {
        Features {
            tokens: self.tokens as f32,
            pending: self.pending as f32,
            load: self.load_sixteenths as f32 / 16.0,
            queue_ms: self.queue_ms as f32,
        }
    }
}
