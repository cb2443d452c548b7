//! Judges a version by what all nodes have counted.
//!
//! [`Sequential`] is the method in use. For each route and over all routes,
//! and for each [`Kind`] of badness, it adds up log-likelihood ratios: how much
//! more likely the new version's answers are if it is bad than if it is like
//! the old version at the same time. Sums that would fall below 0 stay there,
//! so that a version that turns bad late is noticed as soon as one that is bad
//! from the start. A version is good once the ratios since the order, without
//! that bound, are low enough.
//!
//! [`FixedWindow`] compares the versions at the end of each window of time. It
//! is not in use; tests compare the two methods on the same arrivals, with the
//! result in `docs/design/rollouts.md`.

use std::{collections::VecDeque, fmt};

use super::evidence::{INTERVALS, Key, Tallies, Tally};
use crate::util::{common, position};

/// Sum of log-likelihood ratios from which a version is bad. With four kinds
/// on five routes and over all of them, a version like the old one is found
/// bad in about one of a hundred roll-outs: `ln(24 / 0.01)` is 7.8.
const BAD_SCORE: f32 = 7.8;
/// Sum of log-likelihood ratios from which a version is good, over all routes:
/// a bad version has such a sum once in a hundred times.
const GOOD_SCORE: f32 = -4.6;
/// Highest sum at which a frequent route does not look bad. A route has fewer
/// answers, and one with many ordinary failures takes hundreds of answers to
/// be found good on its own: with [`GOOD_SCORE`] for each route, 8 of 20 good
/// versions were not judged in time at 60 requests a second.
const MAX_ROUTE_SCORE: f32 = 3.0;
/// Answers of the new version that a frequent route needs.
const MIN_ROUTE_ANSWERS: u32 = 6;
/// Part of the old version's answers from which a route is frequent.
const FREQUENT: f32 = 0.05;
/// Part of [`BAD_SCORE`] from which a version is not good.
const DOUBT: f32 = 0.5;
/// Minimum number of the old version's times to compare with.
const MIN_TIMES: u32 = 8;
/// Number of intervals above the old version's median from which an answer is
/// slow: 2 to 2.8 times as long.
const SLOW_INTERVALS: usize = 3;
/// Judgements before the present one whose answers show how slow the old
/// version is at the moment: 0.8 s.
const RECENT_JUDGEMENTS: usize = 4;
/// Intervals by which a time may grow if a size doubles: to twice as long.
const INTERVALS_PER_SIZE: u32 = 2;

common! {
    copy
    /// Kinds of badness.
    pub enum Kind {
        /// Answers that are failures.
        Failures,
        /// Answers that break off.
        Breaks,
        /// Answers that begin late.
        Late,
        /// Streams that take long.
        Long,
    }
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] =
        [Kind::Failures, Kind::Breaks, Kind::Late, Kind::Long];

    fn as_str(self) -> &'static str {
        match self {
            Kind::Failures => "failures",
            Kind::Breaks => "broken answers",
            Kind::Late => "late answers",
            Kind::Long => "long streams",
        }
    }

    /// Returns the lowest rate that the old version is assumed to have, and
    /// the part of its other answers that are bad at a bad version.
    ///
    /// A replica that crashes breaks off all of its answers at once, which are
    /// not independent, so that more of them are needed.
    fn rates(self) -> (f32, f32) {
        match self {
            Kind::Failures => (0.01, 0.12),
            Kind::Breaks => (0.05, 0.35),
            Kind::Late | Kind::Long => (0.03, 0.25),
        }
    }
}

common! {
    /// Bad answers of both versions that a judgement was made from.
    pub struct Finding {
        /// What is bad.
        pub kind: Kind,
        /// Hash of the route's name; `None` for all routes together.
        pub route: Option<u64>,
        /// Answers of the new version, and bad ones among them.
        pub new: (u32, u32),
        /// The same of the old version.
        pub old: (u32, u32),
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { kind, route, new, old } = self;
        let kind = kind.as_str();
        write!(
            out,
            "{kind}: {} of {} against {} of {}",
            new.1, new.0, old.1, old.0
        )?;
        match route {
            Some(route) => write!(out, " on route {route:016x}"),
            None => write!(out, " on all routes"),
        }
    }
}

common! {
    /// A judgement.
    pub enum Verdict {
        /// Neither is certain enough.
        Open,
        /// The version is good.
        Good,
        /// The version is bad.
        Bad(Finding),
    }
}

impl Verdict {
    /// Returns a name for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Verdict::Open => "open",
            Verdict::Good => "good",
            Verdict::Bad(_) => "bad",
        }
    }
}

/// Evidence of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    /// Sum of the log-likelihood ratios, kept from falling below 0.
    high: f32,
    /// Their whole sum.
    total: f32,
    new: (u32, u32),
    old: (u32, u32),
}

impl Score {
    fn add(&mut self, ratio: f32, new: (u32, u32), old: (u32, u32)) {
        self.high = (self.high + ratio).max(0.0);
        self.total += ratio;
        self.new = (self.new.0 + new.0, self.new.1 + new.1);
        self.old = old;
    }
}

type Scores = [Score; Kind::ALL.len()];

/// A sequential test by likelihood ratios.
#[derive(Clone, Debug, Default)]
pub struct Sequential {
    /// The tallies of the new version at the last judgement.
    seen: Tallies,
    /// Sorted by route.
    routes: Vec<(u64, Scores)>,
    overall: Scores,
    bad: Option<Finding>,
    /// The old version's tallies at the last judgements, the oldest first.
    recent: VecDeque<Tallies>,
}

impl Sequential {
    /// Judges the version by the present sums over all nodes. A bad version
    /// remains bad.
    pub fn judge(&mut self, sums: &Tallies) -> Verdict {
        if let Some(finding) = &self.bad {
            return Verdict::Bad(finding.clone());
        }
        let pressures = [true, false].map(|is_first| {
            let before = self.recent.front();
            Pressure::of(sums, before.unwrap_or(&self.seen), is_first)
        });
        let mut overall = [(0.0, (0, 0), (0, 0)); Kind::ALL.len()];
        for route in routes_of(sums) {
            let at = position(&self.routes, &route, |(known, _)| known);
            let at = at.unwrap_or_else(|at| {
                self.routes.insert(at, (route, Scores::default()));
                at
            });
            for (number, kind) in Kind::ALL.into_iter().enumerate() {
                let (ratio, new, old) =
                    self.ratio(sums, route, kind, &pressures);
                self.routes[at].1[number].add(ratio, new, old);
                let all = &mut overall[number];
                all.0 += ratio;
                all.1 = (all.1.0 + new.0, all.1.1 + new.1);
                all.2 = (all.2.0 + old.0, all.2.1 + old.1);
            }
        }
        for (score, (ratio, new, old)) in self.overall.iter_mut().zip(overall)
        {
            score.add(ratio, new, old);
        }
        self.seen = Tallies::default();
        let mut old = Tallies::default();
        for tally in sums.iter() {
            match tally.key.is_new {
                true => self.seen.add(tally),
                false => old.add(tally),
            }
        }
        self.recent.push_back(old);
        if self.recent.len() > RECENT_JUDGEMENTS {
            self.recent.pop_front();
        }
        self.bad = self.find_bad();
        match &self.bad {
            Some(finding) => Verdict::Bad(finding.clone()),
            None if self.is_good() => Verdict::Good,
            None => Verdict::Open,
        }
    }

    /// Returns the answers that each kind was judged by, over all routes.
    pub fn findings(&self) -> [Finding; Kind::ALL.len()] {
        std::array::from_fn(|number| {
            finding(Kind::ALL[number], None, &self.overall[number])
        })
    }

    /// Returns the highest sum of the ratios, over routes and kinds.
    pub fn highest(&self) -> f32 {
        let routes = self.routes.iter().flat_map(|(_, scores)| scores);
        let scores = routes.chain(&self.overall);
        scores.map(|score| score.high).fold(0.0, f32::max)
    }

    fn find_bad(&self) -> Option<Finding> {
        let overall = std::iter::once((None, &self.overall));
        let routes = self.routes.iter();
        let routes = routes.map(|(route, scores)| (Some(*route), scores));
        let all = overall.chain(routes).flat_map(|(route, scores)| {
            let kinds = Kind::ALL.into_iter().zip(scores);
            kinds.map(move |(kind, score)| (score, kind, route))
        });
        let worst = all.max_by(|one, other| {
            let (one, other) = (one.0.high, other.0.high);
            one.total_cmp(&other)
        });
        let (score, kind, route) = worst?;
        (score.high >= BAD_SCORE).then(|| finding(kind, route, score))
    }

    fn is_good(&self) -> bool {
        let total = |scores: &Scores, kind: Kind| scores[kind as usize].total;
        let old_answers: u32 = self.overall[Kind::Failures as usize].old.0;
        let is_frequent = |scores: &&(u64, Scores)| {
            let answers = scores.1[Kind::Failures as usize].old.0;
            answers as f32 >= FREQUENT * old_answers as f32
        };
        let mut frequent = self.routes.iter().filter(is_frequent);
        self.highest() < BAD_SCORE * DOUBT
            && total(&self.overall, Kind::Failures) <= GOOD_SCORE
            && total(&self.overall, Kind::Late) <= GOOD_SCORE
            && frequent.all(|(_, scores)| {
                let failures = &scores[Kind::Failures as usize];
                failures.new.0 >= MIN_ROUTE_ANSWERS
                    && failures.total <= MAX_ROUTE_SCORE
                    && total(scores, Kind::Late) <= MAX_ROUTE_SCORE
            })
    }

    /// Returns the log-likelihood ratio of the new version's answers since the
    /// last judgement, these answers and the bad ones among them, and the same
    /// of the old version since the order.
    fn ratio(
        &self,
        sums: &Tallies,
        route: u64,
        kind: Kind,
        pressures: &[Pressure; 2],
    ) -> (f32, (u32, u32), (u32, u32)) {
        match kind {
            Kind::Failures | Kind::Breaks => {
                let old = count(sums, route, false, kind);
                let all = count(sums, route, true, kind);
                let seen = count(&self.seen, route, true, kind);
                let new = (
                    all.0.saturating_sub(seen.0),
                    all.1.saturating_sub(seen.1),
                );
                (log_ratio(kind, new, old, 0.0), new, old)
            }
            Kind::Late | Kind::Long => {
                let mut sum = (0.0, (0, 0), (0, 0));
                let new = sums.iter().filter(|tally| {
                    let key = &tally.key;
                    key.route == route
                        && key.is_new
                        && key.is_first() == (kind == Kind::Late)
                });
                for tally in new {
                    let Some((from, old)) = slow_from(sums, &tally.key) else {
                        continue;
                    };
                    let seen = self.seen.get(&tally.key);
                    let seen =
                        seen.map_or([0; INTERVALS], |tally| tally.times);
                    let fresh: [u32; INTERVALS] = std::array::from_fn(|at| {
                        tally.times[at].saturating_sub(seen[at])
                    });
                    let pressure = &pressures[usize::from(kind == Kind::Long)];
                    let from = from + pressure.shift;
                    let new = (fresh.iter().sum(), sum_from(&fresh, from));
                    sum.0 += log_ratio(kind, new, old, pressure.rate);
                    sum.1 = (sum.1.0 + new.0, sum.1.1 + new.1);
                    sum.2 = (sum.2.0 + old.0, sum.2.1 + old.1);
                }
                sum
            }
        }
    }
}

/// How much longer the old version takes at the moment than since the order.
///
/// A burst or a retry storm makes both versions slow at once. Compared with
/// the times since the order, 16 of 20 good versions were found slow in a
/// burst, and 20 of 20 in a retry storm, at 300 requests a second.
#[derive(Clone, Copy, Debug, Default)]
struct Pressure {
    /// By how many intervals its median is longer.
    shift: usize,
    /// Share of its answers that are slow beyond that.
    rate: f32,
}

impl Pressure {
    fn of(sums: &Tallies, before: &Tallies, is_first: bool) -> Pressure {
        // By how many intervals recent times are above the median of their
        // route and size.
        let mut shifts = [0; INTERVALS];
        let old = sums.iter().filter(|tally| {
            !tally.key.is_new && tally.key.is_first() == is_first
        });
        for tally in old {
            let Some(median) = median(&tally.times) else { continue };
            let seen = before.get(&tally.key);
            let seen = seen.map_or([0; INTERVALS], |tally| tally.times);
            for (at, count) in tally.times.iter().enumerate() {
                let recent = count.saturating_sub(seen[at]);
                shifts[at.saturating_sub(median)] += recent;
            }
        }
        let recent: u32 = shifts.iter().sum();
        if recent < MIN_TIMES {
            return Pressure::default();
        }
        let shift = median(&shifts).unwrap_or(0);
        let slow = sum_from(&shifts, shift + SLOW_INTERVALS);
        Pressure { shift, rate: slow as f32 / recent as f32 }
    }
}

/// Returns the interval of the median of these times.
fn median(times: &[u32; INTERVALS]) -> Option<usize> {
    let timed: u32 = times.iter().sum();
    let mut below = 0;
    times.iter().position(|count| {
        below += count;
        timed > 0 && 2 * below >= timed
    })
}

fn finding(kind: Kind, route: Option<u64>, score: &Score) -> Finding {
    Finding { kind, route, new: score.new, old: score.old }
}

fn routes_of(sums: &Tallies) -> Vec<u64> {
    let mut routes: Vec<u64> =
        sums.iter().map(|tally| tally.key.route).collect();
    routes.dedup();
    routes
}

/// Returns the answers of a route, and the bad ones among them.
fn count(sums: &Tallies, route: u64, is_new: bool, kind: Kind) -> (u32, u32) {
    let tallies = sums.iter().filter(|tally| {
        let key = &tally.key;
        key.route == route && key.is_new == is_new && key.is_first()
    });
    tallies.fold((0, 0), |(answers, bad), tally| {
        let more = match kind {
            Kind::Failures => tally.failures,
            _ => tally.breaks,
        };
        (answers + tally.answers, bad + more)
    })
}

/// Returns the log-likelihood ratio of `new` answers and the bad ones among
/// them, given those of the old version.
///
/// The old version's rate is at least `lowest_rate`.
fn log_ratio(
    kind: Kind,
    new: (u32, u32),
    old: (u32, u32),
    lowest_rate: f32,
) -> f32 {
    if new.0 == 0 {
        return 0.0;
    }
    let (lowest, added) = kind.rates();
    // With few answers of the old version, its rate is assumed to be high, so
    // that ordinary failures at the start are not taken for bad ones.
    let rate = (old.1 as f32 + 1.0) / (old.0 as f32 + 10.0);
    let rate = rate.max(lowest_rate).clamp(lowest, 0.9);
    let bad_rate = rate + added * (1.0 - rate);
    let bad = new.1.min(new.0) as f32;
    let good = new.0 as f32 - bad;
    bad * (bad_rate / rate).ln()
        + good * ((1.0 - bad_rate) / (1.0 - rate)).ln()
}

/// Returns the interval from which an answer counted in `key` is slow, and how
/// many of the old version's times were counted and are slow by that.
///
/// Compares with the same step, with all steps if that has too few times, and
/// else with the nearest size. A larger one than that of the key may take
/// longer, by as much as the size.
fn slow_from(sums: &Tallies, key: &Key) -> Option<(usize, (u32, u32))> {
    let old = Key { is_new: false, ..*key };
    let same = sums.get(&old).filter(|tally| tally.timed() >= MIN_TIMES);
    let (times, distance) = match same {
        Some(tally) => (tally.times, 0),
        None => nearest(sums, key)?,
    };
    let timed: u32 = times.iter().sum();
    let median = median(&times)?;
    let allowance = (distance * INTERVALS_PER_SIZE) as usize;
    let from = median + SLOW_INTERVALS + allowance;
    Some((from, (timed, sum_from(&times, from))))
}

/// Returns the old version's times over all steps, for the nearest size with
/// enough of them, and by how many classes that size is smaller.
fn nearest(sums: &Tallies, key: &Key) -> Option<([u32; INTERVALS], u32)> {
    let mut classes: Vec<Tally> = Vec::new();
    for tally in sums.iter().filter(|tally| {
        let known = &tally.key;
        known.route == key.route
            && !known.is_new
            && known.is_first() == key.is_first()
    }) {
        match classes.last_mut() {
            Some(last) if last.key.class == tally.key.class => last.add(tally),
            _ => classes.push(tally.clone()),
        }
    }
    classes.retain(|tally| tally.timed() >= MIN_TIMES);
    let distance = |tally: &&Tally| tally.key.class.abs_diff(key.class);
    let found = classes.iter().min_by_key(distance)?;
    Some((found.times, key.class.saturating_sub(found.key.class)))
}

fn sum_from(times: &[u32; INTERVALS], from: usize) -> u32 {
    times.iter().skip(from).sum()
}

/// A comparison at the end of each window of time, not in use.
#[derive(Clone, Debug)]
pub struct FixedWindow {
    window_ms: u64,
    ends_at: u64,
    at_start: Tallies,
    good_windows: u32,
}

/// Answers of the new version that a window needs.
const MIN_WINDOW_ANSWERS: u32 = 20;
/// Windows without a finding after which a version is good.
const GOOD_WINDOWS: u32 = 2;
/// Difference of the rates from which a version may be bad.
const MIN_DIFFERENCE: f32 = 0.1;
/// Standard deviations from which a difference counts: once in a hundred
/// windows without a cause.
const MIN_DEVIATIONS: f32 = 2.33;

impl FixedWindow {
    /// Begins the first window at `now`.
    pub fn open(now: u64, window_ms: u64) -> FixedWindow {
        FixedWindow {
            window_ms,
            ends_at: now + window_ms,
            at_start: Tallies::default(),
            good_windows: 0,
        }
    }

    /// Judges the version at the end of a window.
    pub fn judge(&mut self, now: u64, sums: &Tallies) -> Verdict {
        if now < self.ends_at {
            return Verdict::Open;
        }
        let counted = |is_new: bool, kind: Kind| {
            let of = |tallies: &Tallies| {
                let routes = routes_of(sums).into_iter();
                routes.fold((0, 0), |sum, route| {
                    let more = count(tallies, route, is_new, kind);
                    (sum.0 + more.0, sum.1 + more.1)
                })
            };
            let (all, before) = (of(sums), of(&self.at_start));
            (all.0 - before.0, all.1 - before.1)
        };
        let (new, old) =
            (counted(true, Kind::Failures), counted(false, Kind::Failures));
        if new.0 < MIN_WINDOW_ANSWERS {
            return Verdict::Open;
        }
        let mut found = Vec::new();
        found.push((Kind::Failures, new, old));
        let (new, old) =
            (counted(true, Kind::Breaks), counted(false, Kind::Breaks));
        found.push((Kind::Breaks, new, old));
        found.push(self.slow(sums));
        self.ends_at = now + self.window_ms;
        self.at_start = sums.clone();
        for (kind, new, old) in found {
            if is_higher(new, old) {
                return Verdict::Bad(Finding { kind, route: None, new, old });
            }
        }
        self.good_windows += 1;
        match self.good_windows >= GOOD_WINDOWS {
            true => Verdict::Good,
            false => Verdict::Open,
        }
    }

    fn slow(&self, sums: &Tallies) -> (Kind, (u32, u32), (u32, u32)) {
        let (mut new, mut old) = ((0, 0), (0, 0));
        let first = sums
            .iter()
            .filter(|tally| tally.key.is_new && tally.key.is_first());
        for tally in first {
            let Some((from, known)) = slow_from(sums, &tally.key) else {
                continue;
            };
            let before = self.at_start.get(&tally.key);
            let before = before.map_or([0; INTERVALS], |tally| tally.times);
            let fresh: [u32; INTERVALS] = std::array::from_fn(|at| {
                tally.times[at].saturating_sub(before[at])
            });
            new.0 += fresh.iter().sum::<u32>();
            new.1 += sum_from(&fresh, from);
            old = (old.0 + known.0, old.1 + known.1);
        }
        (Kind::Late, new, old)
    }
}

/// Returns true if the rate of `new` is higher than that of `old` by more than
/// chance.
fn is_higher(new: (u32, u32), old: (u32, u32)) -> bool {
    if new.0 == 0 || old.0 == 0 {
        return false;
    }
    let rate = |of: (u32, u32)| of.1 as f32 / of.0 as f32;
    let all = (new.1 + old.1) as f32 / (new.0 + old.0) as f32;
    let parts = 1.0 / new.0 as f32 + 1.0 / old.0 as f32;
    let deviation = (all * (1.0 - all) * parts).sqrt();
    let difference = rate(new) - rate(old);
    difference > MIN_DIFFERENCE && difference > MIN_DEVIATIONS * deviation
}
