//! What teams may still use, as far as this node knows.
//!
//! What is decided by it stands in [`quota`](crate::decide::quota). Buckets
//! are opened with the plan, not with a team's first request, so that a node
//! knows what the others have used when that comes, and can tell a node that
//! starts.

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

/// A node that has not looked at the mesh for so long stood still, in ms: it
/// does so each 300 ms, whether it hears anything or not.
const STILL_MS: u64 = 1000;
/// A node that was started longer ago, in ms, knows what others use: teams
/// whose bucket it opens from then on are new.
const JOINING_MS: u64 = 5000;

/// One team's bucket.
#[derive(Debug)]
struct Bucket {
    team: String,
    /// What stands for the team between nodes.
    hash: u64,
    meter: Meter,
}

/// All buckets of a node.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    /// Sorted by team.
    buckets: Vec<Bucket>,
    /// What another node told before the plan was known here.
    told: Vec<wire::Level>,
}

impl Quotas {
    fn find(&mut self, team: &str) -> Option<&mut Meter> {
        let at = position(&self.buckets, team, |one| one.team.as_str());
        at.ok().map(|at| &mut self.buckets[at].meter)
    }

    /// A team's bucket, opened now if it was not.
    ///
    /// `joins` is set where others may have used some of it.
    fn open(
        &mut self,
        now: u64,
        team: &str,
        allowance: Allowance,
        joins: bool,
    ) -> &mut Meter {
        let found = position(&self.buckets, team, |one| one.team.as_str());
        let at = found.unwrap_or_else(|at| {
            let hash = name_hash(team);
            let mut meter = match joins {
                true => Meter::join(now, allowance),
                false => Meter::open(now, allowance),
            };
            let told = self.told.iter().find(|one| one.team == hash);
            if let Some(told) = told {
                meter.learn(now, level(told));
            }
            let team = team.to_owned();
            self.buckets.insert(at, Bucket { team, hash, meter });
            at
        });
        &mut self.buckets[at].meter
    }

    fn note(&mut self, now: u64, spent: &Spent, entry: u64, heard: bool) {
        let mut buckets = self.buckets.iter_mut();
        if let Some(one) = buckets.find(|one| one.hash == spent.team) {
            one.meter.note(now, entry, spent.tokens, heard);
        }
    }
}

fn level(told: &wire::Level) -> Level {
    Level { units: told.units, used: told.used, is_paced: told.paced }
}

impl Gateway {
    fn quotas(&self) -> MutexGuard<'_, Quotas> {
        self.quotas.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Takes what others have used, and opens buckets for new teams.
    pub(super) fn refresh_quotas(
        &self,
        now: u64,
        table: &Table,
        plan: Option<&Plan>,
    ) {
        self.notice_standstill(now);
        let mut quotas = self.quotas();
        let reach = table.reach(now);
        let joins = self.joins(now);
        for team in plan.map_or(&[][..], Plan::teams) {
            if let Some(quota) = team.quota {
                let allowance = self.allowance(quota, reach);
                quotas.open(now, &team.name, allowance, joins);
            }
        }
        for (entry, spent, heard) in table.spent(now) {
            for one in spent {
                quotas.note(now, one, entry, heard);
            }
        }
    }

    /// Tells the quotas if this node has stood still until now.
    ///
    /// Looked at before each request as well: the first one after a standstill
    /// may come before the mesh is looked at.
    fn notice_standstill(&self, now: u64) {
        let before = self.refreshed_at.swap(now, Ordering::Relaxed);
        let stood_ms = now.saturating_sub(before);
        if stood_ms >= STILL_MS {
            for one in &mut self.quotas().buckets {
                one.meter.stood_still(now, stood_ms);
            }
        }
    }

    /// Takes what others have used until now for old, as this node was not
    /// told of it.
    pub fn settle_quotas(&self) {
        let now = self.timer.now();
        for one in &mut self.quotas().buckets {
            one.meter.settle(now);
        }
    }

    /// Others may serve already: what they have used is not known yet.
    pub fn join_quotas(&self) {
        self.joins.store(true, Ordering::Relaxed);
    }

    fn joins(&self, now: u64) -> bool {
        self.joins.load(Ordering::Relaxed) && now < JOINING_MS
    }

    /// What this node has admitted since its start, by team.
    pub(super) fn spent(&self) -> Vec<Spent> {
        let quotas = self.quotas();
        let spent = quotas
            .buckets
            .iter()
            .map(|one| Spent { team: one.hash, tokens: one.meter.own() });
        spent.filter(|one| one.tokens > 0).collect()
    }

    /// What this node knows of the buckets, for one that starts and for disks.
    pub fn levels(&self) -> wire::Levels {
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

    /// Takes what another node or a disk knows of the buckets.
    pub fn learn_levels(&self, known: wire::Levels, from: &str) {
        let now = self.timer.now();
        let mut quotas = self.quotas();
        for told in &known.levels {
            let mut buckets = quotas.buckets.iter_mut();
            if let Some(one) = buckets.find(|one| one.hash == told.team) {
                one.meter.learn(now, level(told));
            }
        }
        info!(
            target: "gateway",
            teams = known.levels.len(),
            paced = known.levels.iter().filter(|one| one.paced).count(),
            "Knows from {from} what is left of quotas."
        );
        quotas.told = known.levels;
        drop(quotas);
        self.changed.send_replace(());
    }

    /// True unless this node has just started and does not know yet what
    /// others have used of a team's quota.
    pub(super) fn knows_quota(&self, team: &str) -> bool {
        let mut quotas = self.quotas();
        quotas.find(team).is_some_and(|meter| !meter.is_joining())
    }

    fn reach(&self) -> (usize, usize) {
        let now = self.timer.now();
        let mesh = self.mesh.get();
        mesh.map_or((1, 0), |mesh| mesh.table().reach(now))
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
            lag_ms: mesh::mean_lag_ms(entries),
            entries,
            tolerance: self
                .tolerance
                .units(quota.rate as f64, quota.burst.max(1) as f64),
        }
    }

    /// Admits a team's request.
    pub(super) fn admit(
        &self,
        team: &str,
        quota: Quota,
        cost: u64,
        urgent: bool,
    ) -> Result<(), Refusal> {
        let now = self.timer.now();
        self.notice_standstill(now);
        let allowance = self.allowance(quota, self.reach());
        let mut quotas = self.quotas();
        let meter = quotas.open(now, team, allowance, self.joins(now));
        meter.admit(now, allowance, cost, urgent).map_err(|shortage| {
            let cause = Cause::Quota {
                team: team.to_owned(),
                cost,
                shortage,
                word_ms: allowance.lag_ms as u64,
                heard: (allowance.heard * 100.0) as u64,
                joining: meter.is_joining(),
            };
            Refusal::quota(shortage.wait_ms, cause)
        })
    }

    /// Gives back what a request would have used, as it did not run.
    pub(super) fn give_back(&self, team: &str, cost: u64) {
        if let Some(meter) = self.quotas().find(team) {
            meter.give_back(cost);
        }
    }
}
