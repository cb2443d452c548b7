//! How fast each replica of a service is, relative to the others.
//!
//! Two kinds of evidence are combined, as neither answers for the whole load:
//!
//! - *Figures.* A replica may report how long work takes at this moment, as
//!   a percentage of the usual time. A slowdown may last for half a second
//!   only, so a figure counts fully when it arrives and relaxes within some
//!   hundred ms towards the replica's mean figure.
//! - *Samples.* The time that a replica took, divided by what the pool's
//!   [`Model`] predicts for that prompt, its cached part and the load when it
//!   was sent. Samples show a difference that lasts for seconds. Size and
//!   queue are part of the prediction, so they don't count as slowness.
//!
//! A sample is taken relative to the figure that came with it. A figure that
//! is wrong all the time, in either direction, is therefore cancelled by the
//! samples. [`Trust`] measures how far changes of the figure agree with
//! samples, so that a figure that changes at random loses its influence.
//! Figures, samples and their sum are clamped.
//!
//! Other nodes' samples are kept by node and replica. A newer report replaces
//! the older one, so a report that arrives twice counts once.
//!
//! All logarithms are natural; `log_time` is the log of a time relative to
//! the pool's prediction, so that 0 is as predicted and 0.69 twice as long.

mod allowance;
mod model;
mod report;

pub use self::{
    allowance::Allowance,
    model::{Features, Model, Pace},
    report::{Report, Sender},
};
use crate::util::common;

common! {
    copy
    /// Whether the speed of replicas counts in routing.
    pub enum Switch {
        /// For a service whose replicas report figures.
        Auto,
        /// For all services.
        On,
        /// For none.
        Off,
    }
}

impl Switch {
    /// Returns the switch with that name.
    pub fn parse(name: &str) -> Option<Switch> {
        match name {
            "auto" => Some(Switch::Auto),
            "on" => Some(Switch::On),
            "off" => Some(Switch::Off),
            _ => None,
        }
    }
}

/// Time in which the weight of samples halves, in ms. A replica gets about
/// four requests a second from all nodes, so some twenty samples count: enough
/// to tell a replica that is half as fast, and few enough to follow a change.
const SAMPLE_HALF_LIFE_MS: f32 = 2000.0;
/// Weight of the assumption that a replica is as fast as the pool, in
/// samples. With two samples of a noisy service, most of the replicas would
/// otherwise look fast or slow.
const PRIOR_WEIGHT: f32 = 3.0;
/// Largest own weight, in samples.
const MAX_WEIGHT: f32 = 30.0;
/// Bounds of one sample, so that one request that was stuck is no more
/// evidence than a request that took ten times as long.
const SAMPLE_BOUNDS: (f32, f32) = (-1.4, 2.3);
/// How fast the weight of a sample falls with the change of the figure that
/// came with it: to a fifth at a figure of 250.
const INEXACTNESS: f32 = 2.2;
/// Distance from the mean beyond which a sample contradicts it: half as
/// long again or more.
const SURPRISE: f32 = 0.4;
/// Contradicting samples in a row, all in one direction, after which older
/// samples keep a fifth of their weight.
const MAX_SURPRISES: u8 = 2;
/// Time constant with which a figure relaxes to the replica's mean figure,
/// in ms: slowdowns of some 600 ms are seen 300 ms after they began on
/// average.
const FIGURE_RELAXATION_MS: f32 = 350.0;
/// Time constant of the mean figure, in ms, and of its relaxation to the usual
/// time when no figure arrives.
const MEAN_FIGURE_MS: f32 = 3000.0;
/// Bounds of a reported figure, in percent. A figure outside of
/// [`READABLE_FIGURES`] is no figure at all.
const FIGURE_BOUNDS: (f32, f32) = (40.0, 500.0);
const READABLE_FIGURES: (f32, f32) = (5.0, 100_000.0);
/// Bounds of a replica's time relative to the pool. Even with all evidence
/// wrong, a replica is sent its share when others have three times its work.
const TIME_BOUNDS: (f32, f32) = (-0.7, 1.6);
/// Differences up to this one count as none: chance makes half of it of
/// twenty samples of a noisy service.
const DEADBAND: f32 = 0.2;
/// Steps in which a larger difference counts. Replicas whose times are alike
/// must have equal costs. Otherwise all nodes, whose knowledge of each other's
/// requests is 0.3 s old, send to the one that is the fastest by a little.
const STEP: f32 = 0.25;
/// Largest difference that counts: three times as long.
const MAX_DIFFERENCE: f32 = 1.1;
/// Relative time from which a replica counts as slow, 1.5, and below which it
/// is well again, 1.2.
const SLOW_ABOVE: f32 = 0.405;
const WELL_BELOW: f32 = 0.182;
/// Samples from which a replica may count as slow.
const MIN_SLOW_WEIGHT: f32 = 4.0;
/// Other nodes' reports that are kept for one replica.
const MAX_HEARD: usize = 8;
/// Age from which another node's report is dropped, in ms.
const HEARD_RETENTION_MS: u64 = 15_000;

/// Returns a figure as a log of the relative time, clamped; `None` for one
/// that can't be true.
pub fn readable_figure(percent: f32) -> Option<f32> {
    let (low, high) = READABLE_FIGURES;
    let is_readable = percent >= low && percent <= high;
    let (low, high) = FIGURE_BOUNDS;
    is_readable.then(|| (percent.clamp(low, high) / 100.0).ln())
}

/// Returns the part of a weight that is left after `age_ms`.
fn decay(age_ms: u64, half_life_ms: f32) -> f32 {
    (-(age_ms as f32) / half_life_ms * std::f32::consts::LN_2).exp()
}

/// How far figures agree with samples, from 0 to 1, as a regression of the
/// samples on the figures' changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trust {
    products: f32,
    squares: f32,
}

/// Share of the sums of a [`Trust`] that a new sample replaces.
const TRUST_FORGETTING: f32 = 0.005;
/// Weight of the assumption about figures, in squares: that of four samples
/// with a figure of 250.
const TRUST_PRIOR: f32 = 3.4;

impl Trust {
    /// Starts from an assumed share.
    fn open(share: f32) -> Trust {
        Trust { products: share * TRUST_PRIOR, squares: TRUST_PRIOR }
    }

    fn record(&mut self, change: f32, log_time: f32) {
        if change.abs() < 0.05 {
            return;
        }
        let keep = 1.0 - TRUST_FORGETTING;
        self.products = self.products * keep + change * log_time;
        self.squares = self.squares * keep + change * change;
    }

    /// Returns the share of a figure's change that shows in samples.
    pub fn share(&self) -> f32 {
        (self.products / self.squares.max(f32::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}

/// How far a service's figures are trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trusts {
    /// How far the figure that comes with an answer explains its time.
    pub explains: Trust,
    /// How far the figure that is known when a request is sent foretells its
    /// time. A true figure foretells little where it arrives late.
    pub foretells: Trust,
}

impl Default for Trusts {
    fn default() -> Trusts {
        // Figures are mostly true, and late.
        Trusts { explains: Trust::open(0.9), foretells: Trust::open(0.4) }
    }
}

/// A figure as it was reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Figure {
    log_time: f32,
    /// When it was measured, in ms; 0 if there was none.
    at: u64,
    mean: f32,
}

impl Figure {
    fn record(&mut self, at: u64, log_time: f32) {
        if self.at > 0 && at <= self.at {
            return;
        }
        let elapsed = match self.at {
            0 => MEAN_FIGURE_MS * 0.2,
            before => (at - before) as f32,
        };
        let weight = 1.0 - (-elapsed / MEAN_FIGURE_MS).exp();
        self.mean += (self.log_time - self.mean) * weight;
        self.log_time = log_time;
        self.at = at;
    }

    /// Returns what the figure says now: the last one at first, then the mean,
    /// then nothing.
    fn value(&self, now: u64) -> f32 {
        if self.at == 0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at) as f32;
        let fresh = (-age / FIGURE_RELAXATION_MS).exp();
        let usual = self.usual(now);
        usual + (self.log_time - usual) * fresh
    }

    /// Returns the mean figure, which relaxes to the usual time when no figure
    /// arrives.
    fn usual(&self, now: u64) -> f32 {
        let age = now.saturating_sub(self.at) as f32;
        self.mean * (-age / MEAN_FIGURE_MS).exp()
    }
}

/// Samples of one node at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Samples {
    mean: f32,
    weight: f32,
    at: u64,
    /// Samples in a row that contradict the mean, and whether they are higher.
    surprises: (u8, bool),
}

impl Samples {
    fn weight(&self, now: u64) -> f32 {
        self.weight * decay(now.saturating_sub(self.at), SAMPLE_HALF_LIFE_MS)
    }

    fn record(&mut self, now: u64, log_time: f32, new: f32) {
        let distance = log_time - self.mean;
        let is_higher = distance > 0.0;
        self.surprises = match distance.abs() > SURPRISE {
            true if self.surprises.1 == is_higher => {
                (self.surprises.0 + 1, is_higher)
            }
            true => (1, is_higher),
            false => (0, is_higher),
        };
        let mut weight = self.weight(now);
        if self.surprises.0 >= MAX_SURPRISES {
            weight *= 0.2;
            self.surprises.0 = 0;
        }
        self.mean += distance * new / (weight + new);
        self.weight = (weight + new).min(MAX_WEIGHT);
        self.at = self.at.max(now);
    }
}

/// Another node's samples at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Heard {
    sender: Sender,
    samples: Samples,
}

common! {
    copy
    /// A replica is considered slow, or is well again.
    pub enum Turn {
        /// It has become slow.
        Slow,
        /// It is well again.
        Well,
    }
}

/// What is known of one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Speed {
    own: Samples,
    heard: Vec<Heard>,
    figure: Figure,
    is_slow: bool,
    /// How much other nodes would learn from a report.
    unsent: f32,
    /// The figure in the last report.
    sent_figure: f32,
    /// When the replica was last chosen to see if it has recovered.
    pub probed_at: u64,
}

/// The evidence about a replica, for logs and for the status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The replica's speed relative to the pool; 1 if nothing is known.
    pub speed: f32,
    /// Number of own samples that still count.
    pub own_samples: f32,
    /// Number of other nodes' samples that still count.
    pub heard_samples: f32,
    /// The last figure, in percent; 100 if there was none.
    pub figure: f32,
    /// Age of the newest evidence, in ms.
    pub age_ms: u64,
    /// How far the service's figures are trusted, from 0 to 1.
    pub trust: f32,
}

impl Speed {
    /// Records the figure of an answer that arrives now.
    pub fn record_figure(&mut self, now: u64, log_time: f32) {
        self.figure.record(now.max(1), log_time);
        let change = (self.figure.log_time - self.sent_figure).abs();
        if change > 0.2 {
            self.unsent += 4.0 * change;
        }
    }

    /// Records the relative time that a request of this node took. `foretold`
    /// is what [`Speed::foretold`] returned when it was sent.
    pub fn record_sample(
        &mut self,
        now: u64,
        trusts: &mut Trusts,
        log_time: f32,
        foretold: f32,
    ) {
        let (low, high) = SAMPLE_BOUNDS;
        let log_time = log_time.clamp(low, high);
        let is_fresh = now <= self.figure.at + FIGURE_RELAXATION_MS as u64;
        if is_fresh && self.own.weight(now) > 0.5 {
            let change = self.figure.log_time - self.figure.mean;
            let rest = log_time - self.own.mean;
            trusts.explains.record(change, rest);
            trusts.foretells.record(foretold, rest);
        }
        let explained = trusts.explains.share() * self.figure.value(now);
        // What a figure explains is not exact.
        let change = self.foretold(now) * INEXACTNESS;
        let weight = 1.0 / (1.0 + change * change);
        self.own.record(now, log_time - explained, weight);
        self.unsent += 0.5 + log_time.abs();
    }

    /// Returns how much more than usual the figure says now.
    pub fn foretold(&self, now: u64) -> f32 {
        self.figure.value(now) - self.figure.usual(now)
    }

    /// Records what another node reports.
    pub fn record_report(
        &mut self,
        now: u64,
        sender: Sender,
        report: &Report,
    ) {
        if let Some((log_time, age_ms)) = report.figure {
            let at = now.saturating_sub(age_ms).max(1);
            self.figure.record(at, log_time);
        }
        if report.weight <= 0.0 {
            return;
        }
        let samples = Samples {
            mean: report.log_time,
            weight: report.weight,
            at: now,
            surprises: (0, false),
        };
        let heard = Heard { sender, samples };
        self.heard.retain(|old| old.sender.ip != sender.ip);
        self.heard.retain(|old| now < old.samples.at + HEARD_RETENTION_MS);
        if self.heard.len() == MAX_HEARD {
            let weights = self.heard.iter().enumerate();
            let least = weights.min_by(|(_, one), (_, other)| {
                let (one, other) = (&one.samples, &other.samples);
                one.weight(now).total_cmp(&other.weight(now))
            });
            if let Some((at, _)) = least {
                self.heard.swap_remove(at);
            }
        }
        self.heard.push(heard);
    }

    /// Drops what a node reported before it restarted.
    pub fn forget_sender(&mut self, ip: u32) {
        self.heard.retain(|old| old.sender.ip != ip);
    }

    /// Returns what this node should report, and how much others learn by it.
    pub fn unsent(&self) -> f32 {
        self.unsent
    }

    /// Returns the report of this node's own samples, and counts it as sent.
    pub fn take_report(&mut self, now: u64, replica: u64) -> Report {
        self.unsent = 0.0;
        self.sent_figure = self.figure.log_time;
        let age_ms = now.saturating_sub(self.figure.at);
        Report {
            replica: Report::key(replica),
            figure: (self.figure.at > 0 && age_ms < report::MAX_AGE_MS)
                .then_some((self.figure.log_time, age_ms)),
            log_time: self.own.mean,
            weight: self.own.weight(now),
        }
    }

    /// Returns the mean of all samples and their weight.
    fn samples(&self, now: u64) -> (f32, f32) {
        let own = self.own.weight(now);
        let mut sum = self.own.mean * own;
        let mut weight = own;
        for heard in &self.heard {
            let heard_weight = heard.samples.weight(now);
            sum += heard.samples.mean * heard_weight;
            weight += heard_weight;
        }
        (sum / (weight + PRIOR_WEIGHT), weight)
    }

    /// Returns the log of the replica's time relative to the prediction.
    pub fn log_time(&self, now: u64, trusts: &Trusts) -> f32 {
        let usual = self.figure.usual(now);
        let figure = trusts.explains.share() * usual
            + trusts.foretells.share() * (self.figure.value(now) - usual);
        let (low, high) = TIME_BOUNDS;
        (self.samples(now).0 + figure).clamp(low, high)
    }

    /// Updates whether the replica counts as slow, given the time of the fast
    /// replicas. Momentary figures don't count.
    pub fn update_turn(
        &mut self,
        now: u64,
        trusts: &Trusts,
        fast: f32,
    ) -> Option<Turn> {
        let (mean, weight) = self.samples(now);
        let usual = trusts.explains.share() * self.figure.usual(now);
        let lasting = mean + usual - fast;
        let was_slow = self.is_slow;
        self.is_slow = match was_slow {
            true => lasting > WELL_BELOW,
            false => lasting > SLOW_ABOVE && weight >= MIN_SLOW_WEIGHT,
        };
        match (was_slow, self.is_slow) {
            (false, true) => Some(Turn::Slow),
            (true, false) => Some(Turn::Well),
            _ => None,
        }
    }

    /// Whether the replica is considered slow.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns when the replica last showed how fast it is.
    pub fn heard_at(&self) -> u64 {
        let heard = self.heard.iter().map(|heard| heard.samples.at);
        heard.max().unwrap_or(0).max(self.own.at)
    }

    /// Returns the evidence, given the time relative to the pool.
    pub fn evidence(&self, now: u64, trusts: &Trusts, time: f32) -> Evidence {
        let own_samples = self.own.weight(now);
        Evidence {
            speed: 1.0 / time.max(f32::MIN_POSITIVE),
            own_samples,
            heard_samples: self.samples(now).1 - own_samples,
            figure: 100.0 * self.figure.log_time.exp(),
            age_ms: now.saturating_sub(self.heard_at().max(self.figure.at)),
            trust: trusts.explains.share(),
        }
    }
}

/// Returns the factor on a replica's times, given their logs relative to the
/// prediction, its own and that of the fast replicas of the pool.
///
/// Only a difference between replicas is worth avoiding one: where all are
/// slow, all factors are 1. No factor is below 1, as all nodes would send to
/// the few replicas that had one.
pub fn factor(log_time: f32, fast: f32) -> f32 {
    let rest = (log_time - fast - DEADBAND).max(0.0);
    if rest == 0.0 {
        return 1.0;
    }
    ((rest / STEP).ceil() * STEP).min(MAX_DIFFERENCE).exp()
}
