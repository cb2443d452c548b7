//! Quotas of teams, when many nodes admit requests at the same time.
//!
//! Every node keeps a [`Meter`] for each team: a token bucket of the whole
//! quota. Requests that this node admits are deducted at once. Requests that
//! other nodes admit are deducted when those nodes report them. Reports carry
//! running totals, so the next report makes up for a lost one. Between two
//! reports, all nodes together can admit more than the quota. The bucket then
//! goes below zero, and all nodes refuse requests until it has refilled.
//!
//! What the other nodes have admitted since their last report is unknown. It
//! is estimated from their recent rate of use and the propagation delay of
//! reports, and that part of the bucket is held back. Without this, a flood at
//! seventy nodes overdraws the bucket by one second's worth of the quota in
//! total.
//!
//! # Large and small requests
//!
//! A bucket that admits every request that its level covers favours small
//! requests. Under a flood, they keep the level low, and it hardly ever covers
//! a long prompt. At two to six times the quota, one central bucket refuses 84
//! in 100 of the longest prompts, 61 of the others and 15 of the short tags
//! that are worth least for their tokens. So requests are admitted as long as
//! the bucket is not empty, and may leave a debt. All but the smallest and the
//! most urgent requests are then refused alike, 59 to 60 in 100 of each kind.
//! The smallest requests hardly count, and the most urgent ones are mostly
//! short questions. Both are admitted further into the debt, within
//! `USABLE_TOLERANCE` of the tolerance by which use may exceed the quota. Ten
//! nodes thus refuse 38 in 100 of what the requests are worth, where one
//! bucket with complete knowledge refuses 39.
//!
//! # Late reports
//!
//! When a flood begins, no node can know of it. All nodes then overdraw the
//! bucket together, and refuse requests until it has refilled. If all nodes
//! then admitted every request again, they would overdraw the bucket again and
//! again. With ten nodes, this stays within the tolerance. Where it would not,
//! each node paces itself for a while after a refusal: it admits no more than
//! its recent share of the rate. With 74 nodes and ten times the quota
//! requested, the maximum in any eight seconds falls from 11.1 to 9.1 seconds'
//! worth, where nine are intended. With ten nodes, pacing would only cost the
//! team: a request finds no room in the share of one node while other nodes
//! have some left.
//!
//! # Network partitions
//!
//! Nodes that are not heard may still serve. For each of them, an equal share
//! of the rate is withheld, so that both sides of a partition together stay
//! within the quota, and neither side is left without any. When the partition
//! heals and the other nodes report what they admitted in the meantime, the
//! withheld units are not deducted a second time. Otherwise this node would
//! refuse everything for as long as the partition lasted.
//!
//! # Nodes that start
//!
//! A node that starts does not know what has been used. If its bucket were
//! full, each of several nodes that start together would give out the quota
//! anew. So the node [joins](Meter::join) with an empty bucket and asks a node
//! with that knowledge for the [`Level`] of its bucket. It assumes that the
//! other nodes go on at the rate that it learns, until each of them has had
//! time to report its own use. Until it learns a level, it keeps to its share
//! of the rate, the only available bound when all nodes have started together.

mod pace;

use self::pace::{PACING_MS, Pace};
use crate::util::{common, position, upsert};

/// Time after the start of a node in which the first total from each other
/// node is not deducted, in ms: the starting node can't know when those units
/// were used.
const SETTLING_MS: u64 = 1500;
/// The same as a multiple of the mean propagation delay, where that is longer.
/// After two, every other node has had its turn to report, and one datagram
/// may be lost.
const SETTLING_DELAYS: f64 = 2.6;

/// Time after a partition heals or a stall ends in which units are still
/// offset against reports from other nodes, in ms: long enough for the first
/// datagram from each of them.
const OFFSET_MS: u64 = 1500;

/// What another node has reported.
#[derive(Clone, Debug)]
struct Peer {
    /// Incarnation of the node.
    node: u64,
    /// Running total that has been accounted for.
    accounted: u64,
    /// Whether the node has not been heard for a while.
    silent: bool,
    /// Whether its next report covers use from before this node received
    /// reports.
    is_stale: bool,
}

/// Fraction of the tolerance that a team may use. The rest covers what the
/// other nodes admit within one round of reports: with a tenth and a hundred
/// and forty thousand tokens of tolerance, ten nodes reach 0.94 of what is
/// allowed at six times the quota.
const USABLE_TOLERANCE: f64 = 0.8;
/// Mean propagation delay of reports within one round, in ms.
const MEAN_ROUND_DELAY_MS: f64 = 150.0;
/// Excess that all nodes together admit while reports are late, in quotas:
/// that of a sudden flood of six times the quota.
const FLOOD_EXCESS: f64 = 5.0;
/// Nodes pace themselves where late reports could exceed the tolerance at an
/// excess of this many quotas; the nodes can't know the size of a flood.
const PACED_FLOOD_EXCESS: f64 = 8.0;
/// Size from which a request counts as large, as a multiple of the mean size.
/// Large requests are all refused alike, whatever their size. At a higher
/// value, short requests take the units that long prompts lack.
const LARGE_SIZE_RATIO: f64 = 0.15;
/// Factor on the size of urgent requests.
const URGENT_SIZE_FACTOR: f64 = 0.1;
/// Weight of one more request in the mean size.
const MEAN_SIZE_WEIGHT: f64 = 0.03;

/// Token bucket of one team.
#[derive(Clone, Debug)]
pub struct Meter {
    level: f64,
    filled_at: u64,
    opened_at: u64,
    /// Whether the first total of each other node is deducted only some time
    /// after the bucket was opened, as it may contain old use until then.
    skips_first_totals: bool,
    /// Mean propagation delay of reports in ms, as of the last request.
    propagation_delay_ms: f64,
    /// Whether the use before this bucket was opened is unknown.
    is_joining: bool,
    /// Rate of use by other nodes, in units per ms, at the time this node
    /// learned it. They are assumed to go on at this rate until all of them
    /// have reported.
    learned_rate: Option<f64>,
    /// Reports of other nodes, sorted by node.
    peers: Vec<Peer>,
    /// Units admitted by this node since its start.
    own_total: u64,
    /// Units withheld for nodes that were not heard, and the time in ms until
    /// which they are offset against the reports of these nodes.
    withheld: f64,
    withheld_until: u64,
    /// Units that the quota granted while this node was stalled, and the time
    /// in ms until which they are offset against reports of other nodes.
    stall_units: f64,
    stall_units_until: u64,
    /// Rate of the quota in units a second, as of the last request.
    rate: f64,
    /// Units that other nodes have reported since the last refill, and their
    /// mean rate of use in units per ms.
    reported: f64,
    peers_rate: f64,
    /// Mean size of a request in units, including refused requests.
    mean_size: f64,
    pace: Pace,
}

/// Period over which the use of other nodes is averaged, in ms: two rounds of
/// reports from all other nodes, where there are many.
const USE_AVERAGING_MS: f64 = 3000.0;

/// Current limits of a team's use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Rate of the quota in units a second, for all nodes together.
    pub rate: f64,
    /// Maximum level of the bucket, in units.
    pub burst: f64,
    /// Fraction of the nodes that this node hears, itself included, from 0 to
    /// 1.
    pub heard: f64,
    /// Mean propagation delay until another node's use is known here, in ms.
    pub propagation_delay_ms: f64,
    /// Number of nodes that serve.
    pub nodes: usize,
    /// Units by which use may exceed the quota.
    pub tolerance: f64,
}

impl Allowance {
    /// Returns the excess that all nodes together admit because of late
    /// reports, in units, at a flood with an excess of `quotas` times the
    /// quota.
    fn unreported_excess(&self, quotas: f64) -> f64 {
        let delay_ms =
            (self.propagation_delay_ms - MEAN_ROUND_DELAY_MS).max(0.0);
        self.rate * delay_ms / 1000.0 * quotas
    }

    /// Returns the debt that a team may incur, in units.
    fn debt(&self) -> f64 {
        let usable = self.tolerance * USABLE_TOLERANCE;
        (usable - self.unreported_excess(FLOOD_EXCESS)).max(0.0)
    }

    /// Returns whether each node keeps to its share after a refusal.
    fn is_paced(&self) -> bool {
        self.tolerance * USABLE_TOLERANCE
            < self.unreported_excess(PACED_FLOOD_EXCESS)
    }
}

/// Amount by which use may exceed a quota, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Fraction of what the quota allows in a window.
    pub fraction: f64,
    /// Additional units.
    pub units: f64,
    /// Length of the window, in ms.
    pub window_ms: f64,
}

impl Tolerance {
    /// Returns the tolerance in units, for a quota of `rate` units a second
    /// and a bucket of `burst` units.
    pub fn units(&self, rate: f64, burst: f64) -> f64 {
        let allowed = rate * self.window_ms / 1000.0 + burst;
        allowed * self.fraction + self.units
    }
}

common! {
    copy
    /// State of a team's bucket, as one node knows it.
    pub struct Level {
        /// Units in the bucket; negative for a debt.
        pub units: i64,
        /// Units a second that this and the other nodes have used recently.
        pub used: u64,
        /// Whether nodes keep to their shares.
        pub is_paced: bool,
    }
}

common! {
    copy
    /// Why a request is not admitted, with the values that decided it.
    pub struct Shortage {
        /// Time after which the request can be admitted, in ms, if no other
        /// request takes the units.
        pub wait_ms: u64,
        /// Units in the bucket; negative for a debt.
        pub level: i64,
        /// Units that the request needs in the bucket.
        pub need: i64,
        /// Part of `need` that other nodes are estimated to have admitted
        /// since their last reports.
        pub unseen: i64,
        /// Whether the bucket has enough units, but this node has used its
        /// share.
        pub paced: bool,
    }
}

impl Meter {
    /// Creates a full bucket.
    pub fn open(now: u64, allowance: Allowance) -> Meter {
        Meter {
            level: allowance.burst,
            filled_at: now,
            opened_at: now,
            skips_first_totals: true,
            propagation_delay_ms: allowance.propagation_delay_ms,
            is_joining: false,
            learned_rate: None,
            peers: Vec::new(),
            own_total: 0,
            withheld: 0.0,
            withheld_until: 0,
            stall_units: 0.0,
            stall_units_until: 0,
            rate: allowance.rate,
            reported: 0.0,
            peers_rate: 0.0,
            mean_size: 0.0,
            pace: Pace::default(),
        }
    }

    /// Creates an empty bucket, for a node that does not know what was used.
    ///
    /// The bucket admits the node's share of the rate until it
    /// [learns](Meter::learn) the level, or until the other nodes have had
    /// enough time to report their use.
    pub fn join(now: u64, allowance: Allowance) -> Meter {
        Meter {
            level: 0.0,
            is_joining: true,
            pace: Pace::join(allowance),
            ..Meter::open(now, allowance)
        }
    }

    /// Deducts what other nodes have admitted before this node learned of a
    /// team that is new to all of them, as far as the bucket covers it. From
    /// then on, the first total of each further node is deducted as well.
    ///
    /// Nodes learn of a new team at different moments. If each of them opened
    /// a full bucket, they would give out the burst several times. A total of a
    /// team that was removed and added again contains old use, which must not
    /// leave a debt.
    pub fn deduct_first_totals(
        &mut self,
        totals: impl Iterator<Item = (u64, u64)>,
    ) {
        let mut sum = 0.0;
        for (node, total) in totals {
            sum += total as f64;
            let (silent, is_stale) = (false, false);
            let peer = Peer { node, accounted: total, silent, is_stale };
            upsert(&mut self.peers, peer, |peer| &peer.node);
        }
        self.level = (self.level - sum).max(0.0);
        self.skips_first_totals = false;
    }

    /// Returns what this node knows of the bucket, if it knows enough.
    pub fn level(&mut self, now: u64, allowance: Allowance) -> Option<Level> {
        self.fill(now, allowance);
        let knows = now >= self.settled_at() || self.learned_rate.is_some();
        let unseen = self.peers_rate * allowance.propagation_delay_ms;
        knows.then_some(Level {
            units: self.level as i64,
            used: ((self.peers_rate + self.pace.own_rate()) * 1000.0) as u64,
            is_paced: now < self.pace.until || self.level < unseen,
        })
    }

    /// Adopts the level that another node knows, unless this node knows it by
    /// now.
    pub fn learn(&mut self, now: u64, known: Level) {
        if now >= self.settled_at() {
            return;
        }
        let units = known.units as f64 - self.own_total as f64;
        self.level = match std::mem::take(&mut self.is_joining) {
            true => units,
            false => self.level.min(units),
        };
        // A refusal shows that all of the quota is in use, even if it has not
        // been reported yet.
        let min_rate = if known.is_paced { self.rate } else { 0.0 };
        self.peers_rate = min_rate.max(known.used as f64) / 1000.0;
        self.learned_rate = Some(self.peers_rate);
        let until = if known.is_paced { now + PACING_MS } else { 0 };
        self.pace.learn(self.peers_rate, until);
    }

    /// Returns whether only the node's share is admitted, for lack of
    /// knowledge.
    pub fn is_joining(&self) -> bool {
        self.is_joining
    }

    fn settled_at(&self) -> u64 {
        if !self.skips_first_totals {
            return self.opened_at;
        }
        let delays_ms = (self.propagation_delay_ms * SETTLING_DELAYS) as u64;
        self.opened_at + SETTLING_MS.max(delays_ms)
    }

    /// Returns the units admitted by this node since its start, to be reported
    /// to other nodes.
    pub fn admitted_total(&self) -> u64 {
        self.own_total
    }

    /// Marks the next total of each node as accounted for.
    ///
    /// A standby node has received no reports of what the other nodes have
    /// used. If their totals of several minutes were deducted from its bucket
    /// at once, they would leave a debt in which the node refuses everything
    /// for as long.
    pub fn skip_next_totals(&mut self, now: u64) {
        self.opened_at = now;
        self.skips_first_totals = true;
        for peer in &mut self.peers {
            peer.is_stale = true;
        }
    }

    /// Records the running total of another node, and whether that node is
    /// heard at the moment.
    pub fn record_total(
        &mut self,
        now: u64,
        node: u64,
        total: u64,
        heard: bool,
    ) {
        let settled_at = self.settled_at();
        let found = position(&self.peers, &node, |peer| &peer.node);
        let Ok(at) = found else {
            let at = found.unwrap_or_else(|at| at);
            let peer = Peer {
                node,
                accounted: total,
                silent: !heard,
                is_stale: false,
            };
            self.peers.insert(at, peer);
            if now >= settled_at {
                self.level -= total as f64;
            }
            return;
        };
        let peer = &mut self.peers[at];
        if !heard {
            peer.silent = true;
            return;
        }
        if std::mem::take(&mut peer.is_stale) {
            peer.accounted = peer.accounted.max(total);
            return;
        }
        let units = total.saturating_sub(peer.accounted) as f64;
        peer.accounted = peer.accounted.max(total);
        if self.learned_rate.is_some() && now < settled_at {
            return;
        }
        let withheld = match std::mem::take(&mut peer.silent) {
            true if now < self.withheld_until => units.min(self.withheld),
            _ => 0.0,
        };
        self.withheld -= withheld;
        let units = units - withheld;
        let stall_units =
            if now < self.stall_units_until { self.stall_units } else { 0.0 };
        let offset = units.min(stall_units);
        self.stall_units = stall_units - offset;
        let units = units - offset;
        self.level -= units;
        self.reported += units;
    }

    /// Records that this node was stalled for `for_ms`, for instance on a
    /// frozen VM.
    ///
    /// The reports on what other nodes admitted in the meantime arrive all at
    /// once. If they were deducted from a bucket that is capped at its burst,
    /// they would leave a debt of several seconds, and this node would refuse
    /// nearly everything while other nodes admit requests. If the bucket were
    /// filled to its burst before those reports arrive, this node alone would
    /// admit a burst that the other nodes have used. So the units that the
    /// quota granted during the stall are offset against the reports, and the
    /// rest is added to the bucket afterwards.
    pub fn record_stall(&mut self, now: u64, for_ms: u64) {
        self.filled_at = now;
        self.stall_units = self.rate * for_ms as f64 / 1000.0;
        self.stall_units_until = now + OFFSET_MS;
    }

    /// Admits a request of `cost` units, or returns when it can be retried.
    ///
    /// A request that costs more than the burst is admitted once the bucket is
    /// full.
    ///
    /// # Errors
    ///
    /// Returns the missing units, and the time until they are available.
    pub fn admit(
        &mut self,
        now: u64,
        allowance: Allowance,
        cost: u64,
        urgent: bool,
    ) -> Result<(), Shortage> {
        self.fill(now, allowance);
        let units = cost as f64;
        let weight = if urgent { URGENT_SIZE_FACTOR } else { 1.0 };
        let size = (self.relative_size(units) * weight).min(1.0);
        // A smaller request may go further into debt, but no request may
        // exceed the permitted debt.
        let debt = allowance.debt();
        let floor = (-debt * (1.0 - size)).max(units - debt);
        let unseen = self.peers_rate * allowance.propagation_delay_ms;
        let need = (floor + unseen).min(allowance.burst);
        let new_shortage = |wait_ms: u64, paced| Shortage {
            wait_ms,
            level: self.level as i64,
            need: need as i64,
            unseen: unseen as i64,
            paced,
        };
        if self.level < need {
            let rate = (allowance.rate * allowance.heard).max(1.0);
            let wait_ms = (need - self.level) / rate * 1000.0;
            let shortage =
                new_shortage((wait_ms as u64).clamp(1, 60_000), false);
            self.pace.until = now + PACING_MS;
            return Err(shortage);
        }
        if (allowance.is_paced() || self.is_joining)
            && let Err(wait_ms) = self.pace.check(now, allowance, units, size)
        {
            let shortage = new_shortage(wait_ms, true);
            self.pace.until = now + PACING_MS;
            return Err(shortage);
        }
        self.pace.take(now, units);
        self.level -= units;
        self.own_total += cost;
        Ok(())
    }

    /// Returns the size of a request relative to the team's other requests;
    /// from 1 on it is large.
    fn relative_size(&mut self, units: f64) -> f64 {
        if self.mean_size == 0.0 {
            self.mean_size = units;
        }
        self.mean_size += (units - self.mean_size) * MEAN_SIZE_WEIGHT;
        units / (self.mean_size * LARGE_SIZE_RATIO).max(1.0)
    }

    /// Puts the units of a request that did not run back into the bucket.
    pub fn give_back(&mut self, cost: u64) {
        self.level += cost as f64;
        self.own_total = self.own_total.saturating_sub(cost);
    }

    fn fill(&mut self, now: u64, allowance: Allowance) {
        self.rate = allowance.rate;
        self.propagation_delay_ms = allowance.propagation_delay_ms;
        if now >= self.settled_at() {
            self.is_joining = false;
            self.learned_rate = None;
        }
        self.pace.is_joining = self.is_joining;
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        self.filled_at = now;
        if elapsed_s > 0.0 {
            let elapsed_ms = elapsed_s * 1000.0;
            let weight = 1.0 - (-elapsed_ms / USE_AVERAGING_MS).exp();
            let reported = std::mem::take(&mut self.reported);
            let peers_used = match self.learned_rate {
                Some(rate) => rate * elapsed_ms,
                None => reported,
            };
            if self.learned_rate.is_some() {
                self.level -= peers_used;
            }
            self.peers_rate +=
                (peers_used / elapsed_ms - self.peers_rate) * weight;
            self.pace.advance(elapsed_ms, peers_used, allowance);
        }
        if now >= self.withheld_until {
            self.withheld = 0.0;
        }
        if now >= self.stall_units_until {
            self.level += std::mem::take(&mut self.stall_units);
        }
        if allowance.heard < 1.0 {
            let missing = allowance.rate * (1.0 - allowance.heard);
            self.withheld += missing * elapsed_s;
            self.withheld_until = now + OFFSET_MS;
        }
        let rate = match self.is_joining {
            true => self.pace.rate(allowance) * 1000.0,
            false => allowance.rate * allowance.heard,
        };
        self.level = (self.level + rate * elapsed_s).min(allowance.burst);
    }
}
