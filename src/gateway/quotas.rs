//! The quotas of teams, as far as this node knows their use.
//!
//! The decisions based on them are in [`quota`](crate::decide::quota). A
//! bucket is created when the plan names its team, not with the team's first
//! request. So the node already knows the use at other nodes when that request
//! arrives, and can report it to a node that starts.

use std::sync::{MutexGuard, atomic::Ordering};

use tracing::info;

use super::{
    Gateway,
    plan::{Plan, Quota},
    refusal::{Cause, Refusal},
};
use crate::{
    decide::quota::{Allowance, Level, Meter},
    mesh::{self, table::Table},
    util::{name_hash, position},
    wire::{self, Spent},
};

/// Time without a refresh from the mesh after which this node counts as having
/// stalled, in ms. Refreshes come every 300 ms, with or without messages.
const STALL_THRESHOLD_MS: u64 = 1000;
/// Time after its start for which a node may not know what other nodes use, in
/// ms. A bucket that is created later belongs to a new team.
const JOIN_PERIOD_MS: u64 = 5000;

/// Bucket of one team.
#[derive(Debug)]
struct Bucket {
    team: String,
    /// Hash of the name, which names the team in messages between nodes.
    hash: u64,
    meter: Meter,
}

/// Buckets of all teams at this node.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    /// Sorted by team.
    buckets: Vec<Bucket>,
    /// Levels last received from another node or the disk, for buckets that
    /// are created later.
    received: Vec<wire::Level>,
}

impl Quotas {
    fn find(&mut self, team: &str) -> Option<&mut Meter> {
        let at = position(&self.buckets, team, |bucket| bucket.team.as_str());
        at.ok().map(|at| &mut self.buckets[at].meter)
    }

    /// Returns the meter of a team's bucket, which is created if it is
    /// missing.
    ///
    /// `joins` is set if other nodes may have used some of the quota before
    /// this node started. Otherwise the team is new, and `table` has what
    /// nodes that learned of it earlier have admitted.
    fn open(
        &mut self,
        now: u64,
        team: &str,
        allowance: Allowance,
        joins: bool,
        table: Option<&Table>,
    ) -> &mut Meter {
        let found =
            position(&self.buckets, team, |bucket| bucket.team.as_str());
        let at = found.unwrap_or_else(|at| {
            let hash = name_hash(team);
            let mut meter = match joins {
                true => Meter::join(now, allowance),
                false => {
                    let mut meter = Meter::open(now, allowance);
                    if let Some(table) = table {
                        meter.deduct_first_totals(totals_of(table, now, hash));
                    }
                    meter
                }
            };
            let received =
                self.received.iter().find(|level| level.team == hash);
            if let Some(received) = received {
                meter.learn(now, from_wire(received));
            }
            let team = team.to_owned();
            self.buckets.insert(at, Bucket { team, hash, meter });
            at
        });
        &mut self.buckets[at].meter
    }

    fn record_usage(
        &mut self,
        now: u64,
        spent: &Spent,
        entry: u64,
        heard: bool,
    ) {
        let mut buckets = self.buckets.iter_mut();
        if let Some(bucket) = buckets.find(|bucket| bucket.hash == spent.team)
        {
            bucket.meter.record_total(now, entry, spent.tokens, heard);
        }
    }
}

/// Returns what each other node has admitted of a team's requests.
fn totals_of(
    table: &Table,
    now: u64,
    team: u64,
) -> impl Iterator<Item = (u64, u64)> {
    table.spent(now).filter_map(move |(node, spent, _)| {
        let spent = spent.iter().find(|spent| spent.team == team)?;
        Some((node, spent.tokens))
    })
}

fn from_wire(level: &wire::Level) -> Level {
    Level { units: level.units, used: level.used, is_paced: level.paced }
}

impl Gateway {
    fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Subtracts what other nodes have used, and creates buckets for new
    /// teams.
    pub(super) fn refresh_quotas(
        &self,
        now: u64,
        table: &Table,
        plan: Option<&Plan>,
    ) {
        self.detect_stall(now);
        let mut quotas = self.quotas();
        let reach = table.entry_counts(now);
        let joins = self.is_joining(now);
        for team in plan.map_or(&[][..], Plan::teams) {
            if let Some(quota) = team.quota {
                let allowance = self.allowance(quota, reach);
                let table = Some(table);
                quotas.open(now, &team.name, allowance, joins, table);
            }
        }
        for (entry, spent, heard) in table.spent(now) {
            for total in spent {
                quotas.record_usage(now, total, entry, heard);
            }
        }
    }

    /// Informs the quotas if this node has stalled until now.
    ///
    /// Also called before each request: the first request after a stall may
    /// come before the next refresh.
    fn detect_stall(&self, now: u64) {
        let before = self.quotas_refreshed_at.swap(now, Ordering::Relaxed);
        let stalled_ms = now.saturating_sub(before);
        if stalled_ms >= STALL_THRESHOLD_MS {
            for bucket in &mut self.quotas().buckets {
                bucket.meter.record_stall(now, stalled_ms);
            }
        }
    }

    /// Treats what other nodes have used until now as old use, because this
    /// node received no reports of it while it was a standby.
    pub fn settle_quota_use(&self) {
        let now = self.timer.now();
        for bucket in &mut self.quotas().buckets {
            bucket.meter.skip_next_totals(now);
        }
    }

    /// Marks this node as joining: other nodes may serve already, and what
    /// they have used is not known yet.
    pub fn start_joining(&self) {
        self.joins.store(true, Ordering::Relaxed);
    }

    fn is_joining(&self, now: u64) -> bool {
        self.joins.load(Ordering::Relaxed) && now < JOIN_PERIOD_MS
    }

    /// Returns the tokens that this node has admitted since its start, by
    /// team.
    pub(super) fn spent(&self) -> Vec<Spent> {
        let quotas = self.quotas();
        let spent = quotas.buckets.iter().map(|bucket| Spent {
            team: bucket.hash,
            tokens: bucket.meter.admitted_total(),
        });
        spent.filter(|total| total.tokens > 0).collect()
    }

    /// Returns the known levels of the buckets, for a node that starts and for
    /// the disk.
    pub fn quota_levels(&self) -> wire::Levels {
        let now = self.timer.now();
        let reach = self.reach();
        let plan = self.plan.read();
        let teams = plan.as_ref().as_ref().map_or(&[][..], Plan::teams);
        let mut quotas = self.quotas();
        let levels = teams.iter().filter_map(|team| {
            let allowance = self.allowance(team.quota?, reach);
            let meter = quotas.find(&team.name)?;
            let level = meter.level(now, allowance)?;
            Some(wire::Level {
                team: name_hash(&team.name),
                units: level.units,
                used: level.used,
                paced: level.is_paced,
            })
        });
        wire::Levels { levels: levels.collect() }
    }

    /// Sets the levels of the buckets from another node or the disk, which
    /// `from` names.
    pub fn receive_quota_levels(&self, known: wire::Levels, from: &str) {
        let now = self.timer.now();
        let mut quotas = self.quotas();
        for level in &known.levels {
            let mut buckets = quotas.buckets.iter_mut();
            if let Some(bucket) =
                buckets.find(|bucket| bucket.hash == level.team)
            {
                bucket.meter.learn(now, from_wire(level));
            }
        }
        info!(
            target: "gateway",
            teams = known.levels.len(),
            paced = known.levels.iter().filter(|level| level.paced).count(),
            "Learned quota levels from {from}."
        );
        quotas.received = known.levels;
        drop(quotas);
        self.changed.send_replace(());
    }

    /// Whether this node knows what other nodes have used of a team's quota.
    /// It does not if it has just started.
    pub(super) fn knows_quota_use(&self, team: &str) -> bool {
        let mut quotas = self.quotas();
        quotas.find(team).is_some_and(|meter| !meter.is_joining())
    }

    fn reach(&self) -> (usize, usize) {
        let now = self.timer.now();
        let mesh = self.mesh.get();
        mesh.map_or((1, 0), |mesh| mesh.table().entry_counts(now))
    }

    fn allowance(
        &self,
        quota: Quota,
        (entries, unheard): (usize, usize),
    ) -> Allowance {
        Allowance {
            rate: quota.rate as f64,
            burst: quota.burst.max(1) as f64,
            heard: 1.0 - unheard as f64 / entries as f64,
            propagation_delay_ms: mesh::mean_propagation_delay_ms(entries),
            nodes: entries,
            tolerance: self
                .tolerance
                .units(quota.rate as f64, quota.burst.max(1) as f64),
        }
    }

    /// Admits a team's request, or refuses it if the quota does not cover it.
    pub(super) fn admit_by_quota(
        &self,
        team: &str,
        quota: Quota,
        cost: u64,
        urgent: bool,
    ) -> Result<(), Refusal> {
        let now = self.timer.now();
        self.detect_stall(now);
        let table = self.mesh.get().map(|mesh| mesh.table());
        let reach = table.as_ref().map(|table| table.entry_counts(now));
        let allowance = self.allowance(quota, reach.unwrap_or((1, 0)));
        let mut quotas = self.quotas();
        let joins = self.is_joining(now);
        let meter = quotas.open(now, team, allowance, joins, table.as_deref());
        drop(table);
        meter.admit(now, allowance, cost, urgent).map_err(|shortage| {
            let cause = Cause::Quota {
                team: team.to_owned(),
                cost,
                shortage,
                word_ms: allowance.propagation_delay_ms as u64,
                heard: (allowance.heard * 100.0) as u64,
                joining: meter.is_joining(),
            };
            Refusal::quota_exhausted(shortage.wait_ms, cause)
        })
    }

    /// Refunds the cost of a request that did not run.
    pub(super) fn refund_quota(&self, team: &str, cost: u64) {
        if let Some(meter) = self.quotas().find(team) {
            meter.give_back(cost);
        }
    }
}
