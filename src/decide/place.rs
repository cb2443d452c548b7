//! Computes how many replicas of an engine each data centre should have, and
//! how many of them on reclaimable VMs.
//!
//! Reclaimable replicas cost a fraction of ordinary replicas. All of them in
//! one data centre can be reclaimed at once, on seconds of notice, and no
//! others may be available anywhere for a long time. The number of reclaimable
//! replicas is therefore high enough that those of one data centre can be lost
//! and the rest still carries the load, with most of the caches that it
//! depends on. A shortage beyond that, for example when a second data centre
//! is lost before the first is back, is covered by ordinary replicas until
//! reclaimable ones serve in their place.
//!
//! The load is measured as the time that replicas need to compute prompts. The
//! number of requests in flight would be simpler, but it grows with every
//! delay: a momentary shortage of replicas would cause orders of far too many.
//!
//! # Why replicas are kept when the load is low
//!
//! The load depends on the replicas: a released replica loses its cache, and
//! the remaining replicas compute its prompts again. Sizing by the load of the
//! last seconds therefore has two stable states. Many replicas compute little,
//! so some are released; the remaining ones then have more to compute than
//! they can, and stay overloaded for half a minute while replacements warm up.
//! For this reason the remembered load decays slowly, the number of replicas
//! stays near the size that operators chose for the deployment, and small
//! differences are ignored.

use crate::util::common;

/// Target share of a replica's time spent on computing prompts, where all
/// entries know at once what the other entries send. At a fifth, a prompt
/// seldom finds another one before it; at a third, the 95th percentile of the
/// time to the first token doubles.
const PREFILL_SHARE: f32 = 0.4;
/// Target share where that knowledge takes [`FULL_LAG_MS`] or longer: entries
/// then select replicas nearly blindly, and prompts queue behind each other
/// although other replicas are idle.
const LAGGED_PREFILL_SHARE: f32 = 0.1;
/// Propagation delay of the other entries' requests at which
/// [`LAGGED_PREFILL_SHARE`] applies, in ms.
const FULL_LAG_MS: f32 = 1000.0;
/// Minimum number of replicas after a loss, over all data centres. With fewer,
/// the failure of one replica affects too large a share of the load.
const MIN_REPLICAS_AFTER_LOSS: f32 = 8.0;
/// Share of the initial replicas that always counts as needed: their caches
/// together hold the prompts that are requested.
const MIN_INITIAL_SHARE: f32 = 0.4;
/// Share of the initial replicas that counts as needed until a load is
/// measured: operators size a deployment with a little room. A system that
/// starts often starts under a rush of requests, and with cold caches.
const PRESUMED_INITIAL_SHARE: f32 = 0.85;
/// Share of the initial replicas that must remain after the loss of one data
/// centre: with the lost replicas go their caches, which hold the prompts of
/// roughly the last 15 s.
const INITIAL_SHARE_AFTER_LOSS: f32 = 0.8;
/// Time in which a past peak of the load halves, in ms. It is long compared
/// with the fluctuations of the load, and with the time that a new replica
/// takes to boot and to fill its cache.
const PEAK_HALF_LIFE_MS: f32 = 30_000.0;
/// Time after a node starts observing the load during which it releases no
/// replicas, in ms: the average of the load needs that time to become
/// meaningful.
const MIN_OBSERVATION_MS: u64 = 15_000;
/// Surplus of reclaimable replicas that is not released, as a share of the
/// target: the target fluctuates with the load, and a replica that is released
/// for it returns with a cold cache.
const MAX_SURPLUS_SHARE: f32 = 0.25;

/// Time constant of the moving average of the load, in ms.
const LOAD_AVERAGING_MS: f32 = 6000.0;
/// Load below which the service counts as idle, in replicas that only compute
/// prompts.
const MIN_LOAD: f32 = 0.05;
/// Share of all replicas that may be released at a time under load: the
/// prompts that they hold first have to be computed elsewhere.
const MAX_RELEASED_SHARE: f32 = 0.06;

common! {
    /// The replicas of one data centre.
    pub struct Site {
        /// Name of the data centre.
        pub data_centre: String,
        /// Serving reclaimable replicas.
        pub spot: u32,
        /// Serving ordinary replicas.
        pub ordinary: u32,
        /// Price of an ordinary replica.
        pub price: f64,
        /// No reclaimable replicas are available: an order was refused, or the
        /// existing ones are being reclaimed.
        pub spot_unavailable: bool,
    }
}

common! {
    /// Bounds on the replicas of one engine.
    pub struct Bounds {
        /// Minimum number of replicas of a data centre, both kinds together.
        pub min_replicas: u32,
        /// Maximum number of replicas of a data centre, both kinds together.
        pub max_replicas: u32,
        /// Whether reclaimable replicas exist at all.
        pub has_spot: bool,
        /// Mean propagation delay after which entries know what other entries
        /// have sent, in ms.
        pub lag_ms: f32,
    }
}

common! {
    /// Target number of replicas of each kind in one data centre.
    pub struct Target {
        /// Name of the data centre.
        pub data_centre: String,
        /// Reclaimable replicas.
        pub spot: u32,
        /// Ordinary replicas.
        pub ordinary: u32,
    }
}

/// The load that replicas are kept for: the share of their time that replicas
/// spend on computing prompts, summed over all replicas.
#[derive(Clone, Debug)]
pub struct Load {
    /// By node: prompt computation time that the node has sent to replicas
    /// since its start, in ms.
    sent: Vec<(u64, u64)>,
    updated_at: u64,
    average: f32,
    peak: f32,
    /// When the load was first observed, in ms.
    observed_since: u64,
    /// Whether the load ever exceeded [`MIN_LOAD`].
    has_had_load: bool,
    /// Replicas that were present before that.
    initial_replicas: u32,
}

impl Load {
    /// Starts from the replicas that are present, because no load has been
    /// measured yet.
    ///
    /// Starting from zero would release nearly all of them, right before the
    /// traffic for which they were ordered.
    pub fn open(now: u64, found: u32) -> Load {
        let mut load = Load {
            sent: Vec::new(),
            updated_at: now,
            average: 0.0,
            peak: 0.0,
            observed_since: now,
            has_had_load: false,
            initial_replicas: 0,
        };
        load.record_initial_replicas(found);
        load
    }

    /// Records the number of replicas that are present and were not ordered by
    /// this policy. It counts until there is a load: at the start, replicas
    /// announce themselves one after the other.
    pub fn record_initial_replicas(&mut self, found: u32) {
        if !self.has_had_load {
            self.initial_replicas = self.initial_replicas.max(found);
            self.peak = self
                .peak
                .max(found as f32 * PRESUMED_INITIAL_SHARE * PREFILL_SHARE);
        }
    }

    /// Records, by node, the prompt computation time sent since the start of
    /// the node, in ms.
    pub fn record_sent(&mut self, now: u64, sent: Vec<(u64, u64)>) {
        let elapsed_ms = now.saturating_sub(self.updated_at).max(1) as f32;
        let added_ms: u64 = sent
            .iter()
            .map(|(node, ms)| {
                let known = self.sent.iter().find(|(old, _)| old == node);
                // The time that a node had sent before its first report is not
                // part of the current load.
                known.map_or(0, |(_, old)| ms.saturating_sub(*old))
            })
            .sum();
        let weight = 1.0 - (-elapsed_ms / LOAD_AVERAGING_MS).exp();
        self.average += (added_ms as f32 / elapsed_ms - self.average) * weight;
        self.has_had_load |= self.average > MIN_LOAD;
        if self.has_had_load {
            let decay = (-elapsed_ms / PEAK_HALF_LIFE_MS
                * std::f32::consts::LN_2)
                .exp();
            self.peak = (self.peak * decay).max(self.average);
        }
        self.sent = sent;
        self.updated_at = now;
    }

    /// Returns the decayed peak load, in replicas that only compute prompts.
    pub fn peak(&self) -> f32 {
        self.peak
    }

    /// Returns true once the load has been observed for long enough to release
    /// replicas.
    fn can_release(&self) -> bool {
        self.updated_at >= self.observed_since + MIN_OBSERVATION_MS
    }

    /// Returns true while there is a load.
    pub fn is_busy(&self) -> bool {
        self.average > MIN_LOAD
    }
}

/// Returns how many replicas the operators sized the deployment to, as
/// estimated by a node that starts observing.
///
/// At the start of the system these are the ordinary replicas. A node that
/// starts later sees the reclaimable replicas that were ordered in their
/// place.
pub fn estimate_initial_replicas(
    ordinary: usize,
    spot: usize,
    sites: usize,
) -> u32 {
    let after_a_loss = (spot * sites.saturating_sub(1)) / sites.max(1);
    let initial = (after_a_loss as f32 / INITIAL_SHARE_AFTER_LOSS) as u32;
    initial.max(ordinary as u32)
}

/// Returns the target of each data centre, in the order of `sites`.
pub fn compute_targets(
    sites: &[Site],
    bounds: &Bounds,
    load: &Load,
) -> Vec<Target> {
    let need = needed_replicas(load);
    let count = sites.len().max(1) as u32;
    if !bounds.has_spot {
        let per_site = need
            .div_ceil(count)
            .clamp(bounds.min_replicas, bounds.max_replicas);
        return sites
            .iter()
            .map(|site| new_target(site, 0, per_site))
            .collect();
    }
    let surviving_sites = (count - 1).max(1);
    let after_loss = (load.initial_replicas as f32 * INITIAL_SHARE_AFTER_LOSS)
        .ceil() as u32;
    let for_prefill =
        (load.peak() / prefill_share(bounds.lag_ms)).ceil() as u32;
    let per_site = need
        .max(after_loss)
        .max(for_prefill)
        .div_ceil(surviving_sites)
        .clamp(bounds.min_replicas, bounds.max_replicas);
    // While reclaimable replicas are unavailable: enough for one more loss.
    let total = (need * count).div_ceil(surviving_sites).min(per_site * count);
    let max_kept =
        per_site + ((per_site as f32 * MAX_SURPLUS_SHARE) as u32).max(1);
    let mut targets: Vec<Target> = sites
        .iter()
        .map(|site| {
            // Where some data centres lack replicas, the load has moved to the
            // others, which therefore keep what they have.
            let has_shortage = sites.iter().any(|other| other.spot < per_site);
            let keeps_all =
                has_shortage || site.spot <= max_kept || !load.can_release();
            let release = if keeps_all { 0 } else { max_released(site.spot) };
            let kept = (site.spot - release).min(bounds.max_replicas);
            // Both kinds share the bound. An order beyond it would not be met.
            // The target rises again once ordinary replicas have been
            // released.
            let room =
                bounds.max_replicas.saturating_sub(site.ordinary).max(1);
            new_target(site, per_site.min(room).max(kept), 0)
        })
        .collect();
    // Reclaimable replicas that will probably serve soon.
    let expected_spot: u32 = sites
        .iter()
        .map(|site| {
            if site.spot_unavailable {
                site.spot.min(per_site)
            } else {
                per_site
            }
        })
        .sum();
    let serving_spot: u32 =
        sites.iter().map(|site| site.spot.min(per_site)).sum();
    let present: u32 = sites.iter().map(|site| site.ordinary).sum();
    let mut kept_ordinary = present.min(total.saturating_sub(serving_spot));
    if load.is_busy() {
        kept_ordinary =
            kept_ordinary.max(present.saturating_sub(max_released(total)));
    }
    let ordinary = total.saturating_sub(expected_spot).max(kept_ordinary);
    distribute_ordinary(ordinary, sites, bounds, &mut targets);
    targets
}

/// Returns how many of `count` replicas may be released at a time.
fn max_released(count: u32) -> u32 {
    (count as f32 * MAX_RELEASED_SHARE).ceil() as u32
}

/// Returns the target share of a reclaimable replica's time spent on computing
/// prompts.
///
/// Reclaimable replicas are cheap enough to add more of them against the waits
/// that a propagation delay causes. The ordinary replicas that stand in for
/// them are not.
fn prefill_share(lag_ms: f32) -> f32 {
    let lag_share = (lag_ms / FULL_LAG_MS).min(1.0);
    PREFILL_SHARE + (LAGGED_PREFILL_SHARE - PREFILL_SHARE) * lag_share
}

fn new_target(site: &Site, spot: u32, ordinary: u32) -> Target {
    Target { data_centre: site.data_centre.clone(), spot, ordinary }
}

/// Distributes ordinary replicas over the data centres: existing replicas
/// stay, and new ones are assigned one by one in turn, cheapest data centre
/// first.
fn distribute_ordinary(
    wanted: u32,
    sites: &[Site],
    bounds: &Bounds,
    targets: &mut [Target],
) {
    let room = |site: &Site| bounds.max_replicas.saturating_sub(site.spot);
    let mut remaining = wanted;
    for (site, target) in sites.iter().zip(&mut *targets) {
        target.ordinary = site.ordinary.min(room(site)).min(remaining);
        remaining -= target.ordinary;
    }
    let mut by_price: Vec<usize> = (0..sites.len()).collect();
    by_price.sort_by(|&left, &right| {
        sites[left].price.total_cmp(&sites[right].price)
    });
    while remaining > 0 {
        let before = remaining;
        for &at in &by_price {
            if remaining > 0 && targets[at].ordinary < room(&sites[at]) {
                targets[at].ordinary += 1;
                remaining -= 1;
            }
        }
        if remaining == before {
            return;
        }
    }
}

fn needed_replicas(load: &Load) -> u32 {
    let cached = load.initial_replicas as f32 * MIN_INITIAL_SHARE;
    (load.peak() / PREFILL_SHARE)
        .max(MIN_REPLICAS_AFTER_LOSS)
        .max(cached)
        .ceil() as u32
}
