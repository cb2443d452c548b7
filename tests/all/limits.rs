//! Tests of quotas, retry budgets and placement in virtual time.

use azuremount::decide::{
    place::{
        Bounds, Load, Site, Target, compute_targets, estimate_initial_replicas,
    },
    quota::{Allowance, Meter},
    retry::{Bound, Window},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

// ---- Quotas ----------------------------------------------------------------

const RATE: f64 = 1000.0;

/// Entries that admit one team's requests and exchange reports at intervals.
struct Entries {
    meters: Vec<Meter>,
    admitted: Vec<(u64, u64)>,
    /// Side of a network partition on which each entry is; all entries are on
    /// one side when there is none.
    side: Vec<usize>,
    lag_ms: f64,
}

impl Entries {
    fn open(count: usize) -> Entries {
        let allowance = Allowance {
            rate: RATE,
            burst: RATE,
            heard: 1.0,
            propagation_delay_ms: 150.0,
            nodes: 9,
            tolerance: 0.0,
        };
        Entries {
            meters: vec![Meter::open(0, allowance); count],
            admitted: Vec::new(),
            side: vec![0; count],
            lag_ms: 150.0,
        }
    }

    fn allowance(&self, at: usize) -> Allowance {
        let same = self.side.iter().filter(|side| **side == self.side[at]);
        let heard = same.count() as f64 / self.side.len() as f64;
        Allowance {
            rate: RATE,
            burst: RATE,
            heard,
            propagation_delay_ms: self.lag_ms,
            nodes: self.side.len(),
            tolerance: 0.0,
        }
    }

    fn report_all(&mut self, now: u64) {
        self.report_from(now, |_| true);
    }

    /// Delivers the totals of the entries that `should_report` selects to all
    /// other entries.
    fn report_from(
        &mut self,
        now: u64,
        should_report: impl Fn(usize) -> bool,
    ) {
        if !(0..self.meters.len()).any(&should_report) {
            return;
        }
        let totals: Vec<u64> =
            self.meters.iter().map(Meter::admitted_total).collect();
        for at in 0..self.meters.len() {
            for (from, total) in totals.iter().enumerate() {
                if from != at && should_report(from) {
                    let is_reachable = self.side[from] == self.side[at];
                    // Totals from the other side of a partition stay at their
                    // last value.
                    let total = if is_reachable { *total } else { 0 };
                    self.meters[at].record_total(
                        now,
                        from as u64,
                        total,
                        is_reachable,
                    );
                }
            }
        }
    }

    fn admit(&mut self, now: u64, at: usize, cost: u64) {
        let allowance = self.allowance(at);
        if self.meters[at].admit(now, allowance, cost, false).is_ok() {
            self.admitted.push((now, cost));
        }
    }

    /// Returns the largest cost admitted in any window of `window` ms.
    fn max_admitted_in(&self, window_ms: u64) -> u64 {
        let sums = self.admitted.iter().map(|(from, _)| {
            let within = self
                .admitted
                .iter()
                .filter(|(at, _)| (*from..*from + window_ms).contains(at));
            within.map(|(_, cost)| cost).sum()
        });
        sums.max().unwrap_or(0)
    }
}

/// A team sends six times its quota to all entries, which exchange reports
/// every 300 ms and are partitioned for a while. What is admitted must stay
/// near the quota.
#[test]
fn a_flood_at_all_entries_stays_near_the_quota() {
    for (seed, is_partitioned) in (0..6).zip([false, true].into_iter().cycle())
    {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut entries = Entries::open(9);
        for now in 0..30_000u64 {
            if now % 300 == 0 {
                entries.report_all(now);
            }
            if is_partitioned && now == 10_000 {
                entries.side = (0..9).map(|at| at % 2).collect();
            }
            if now == 20_000 {
                entries.side = vec![0; 9];
            }
            let probability = RATE * 6.0 / 20.0 / 1000.0;
            if rng.random_bool(probability) {
                let at = rng.random_range(0..9);
                entries.admit(now, at, 20);
            }
        }
        let admitted = entries.max_admitted_in(8000) as f64;
        let bound = (RATE * 8.0 + RATE) * 1.1 + RATE * 0.5;
        assert!(admitted <= bound, "{admitted} admitted in 8 s, seed {seed}");
        let admitted: u64 =
            entries.admitted.iter().map(|(_, cost)| cost).sum();
        assert!(
            admitted as f64 >= RATE * 30.0 * 0.9,
            "only {admitted} admitted in 30 s"
        );
    }
}

/// Guards against a window that admits one second's quota too much. A team
/// that sent nothing starts to send six times its quota to seventy entries,
/// which exchange reports only every 1.5 s. The excess occurs when an entry
/// ignores what the others admit between their reports.
#[test]
fn a_flood_at_many_entries_stays_near_the_quota() {
    for seed in 0..4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut entries = Entries::open(70);
        entries.lag_ms = 750.0;
        for now in 0..30_000u64 {
            entries.report_from(now, |from| now % 1500 == from as u64 * 21);
            if now > 5000 && rng.random_bool(RATE * 6.0 / 20.0 / 1000.0) {
                let at = rng.random_range(0..70);
                entries.admit(now, at, 20);
            }
        }
        let admitted = entries.max_admitted_in(8000) as f64;
        let bound = (RATE * 8.0 + RATE) * 1.1 + RATE * 0.5;
        assert!(admitted <= bound, "{admitted} admitted in 8 s, seed {seed}");
    }
}

/// Guards against exceeding a quota by a sixth, where little more than a tenth
/// is allowed. A team that used half of its quota suddenly sends ten times its
/// quota to all of 74 entries. What the entries admit before they receive each
/// other's reports is more than the rest of the window can compensate.
#[test]
fn a_sudden_flood_at_many_entries_stays_within_a_tenth() {
    let mut worst = 0.0_f64;
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut entries = Entries::open(74);
        entries.lag_ms = 750.0;
        for now in 0..24_000u64 {
            entries.report_from(now, |from| now % 1500 == from as u64 * 20);
            let factor = if now > 8000 { 10.0 } else { 0.5 };
            if rng.random_bool(RATE * factor / 20.0 / 1000.0) {
                let at = rng.random_range(0..74);
                entries.admit(now, at, 20);
            }
        }
        worst = worst.max(entries.max_admitted_in(8000) as f64);
    }
    let bound = (RATE * 8.0 + RATE) * 1.1 + RATE * 0.16;
    assert!(worst <= bound, "{worst} admitted in 8 s");
}

/// Guards against refusing nearly all requests of a team although its quota is
/// unused. The team floods all entries; then all of its requests arrive at one
/// entry that had received hardly any of them. The refusals occur when an
/// entry paces itself by its past share of the requests.
#[test]
fn a_flood_that_moves_to_one_entry_may_use_its_quota() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut entries = Entries::open(9);
    for now in 0..40_000u64 {
        if now % 300 == 0 {
            entries.report_all(now);
        }
        if rng.random_bool(RATE * 3.0 / 20.0 / 1000.0) {
            let has_moved = now > 20_000;
            let at = if has_moved { 8 } else { rng.random_range(0..8) };
            entries.admit(now, at, 20);
        }
    }
    let admitted = entries.admitted.iter().filter(|(at, _)| *at > 30_000);
    let admitted: u64 = admitted.map(|(_, cost)| cost).sum();
    assert!(
        admitted as f64 >= RATE * 10.0 * 0.8,
        "only {admitted} admitted in 10 s"
    );
}

/// Guards against quotas that are split evenly between entries: a team within
/// its quota must not be refused when all of its requests arrive at one entry.
#[test]
fn one_entry_may_use_the_whole_quota() {
    let mut entries = Entries::open(9);
    for now in (0..20_000).step_by(20) {
        entries.admit(now, 4, 20);
        if now % 300 == 0 {
            entries.report_all(now);
        }
    }
    assert_eq!(entries.admitted.len(), 1000);
}

/// Guards against a new entry that refuses all requests because it counts as
/// current what the others have admitted since their start.
#[test]
fn a_new_entry_ignores_earlier_admissions() {
    let allowance = Allowance {
        rate: RATE,
        burst: RATE,
        heard: 1.0,
        propagation_delay_ms: 150.0,
        nodes: 9,
        tolerance: 0.0,
    };
    let mut meter = Meter::open(0, allowance);
    meter.record_total(10, 7, 1_000_000, true);
    assert_eq!(meter.admit(20, allowance, 500, false), Ok(()));
    // Later increases of the other entries' totals count.
    meter.record_total(2000, 7, 1_002_000, true);
    assert!(meter.admit(2000, allowance, 500, false).is_err());
}

#[test]
fn a_request_is_admitted_after_the_returned_wait() {
    let allowance = Allowance {
        rate: RATE,
        burst: RATE,
        heard: 1.0,
        propagation_delay_ms: 150.0,
        nodes: 9,
        tolerance: 0.0,
    };
    let mut meter = Meter::open(0, allowance);
    assert_eq!(meter.admit(0, allowance, 900, false), Ok(()));
    let wait = meter.admit(0, allowance, 600, false).unwrap_err().wait_ms;
    assert_eq!(meter.admit(wait + 1, allowance, 600, false), Ok(()));
}

// ---- Retry budgets ---------------------------------------------------------

/// In any window of ten seconds, the retries of all entries together stay
/// within ratio and slack at any pattern of arrivals. Compared with a plain
/// count.
#[test]
fn retries_stay_within_their_bound() {
    let bound = Bound { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut windows = vec![Window::open(bound, None, 0.0); 6];
        let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
        for now in (0..60_000u64).step_by(10) {
            let at = rng.random_range(0..6);
            let busy = (now / 7000) % 3;
            if rng.random_range(0..3) >= busy {
                windows[at].record_first_attempt(now);
                first_attempts.push(now);
            }
            if rng.random_bool(0.5)
                && windows[at].try_retry(now, Some(6)).is_granted
            {
                retries.push(now);
            }
        }
        let within = |all: &[u64], from: u64, until: u64| {
            all.iter().filter(|at| (from..until).contains(at)).count() as f32
        };
        for &from in &retries {
            let until = from + bound.window_ms;
            let count = within(&retries, from, until);
            let before = from.saturating_sub(bound.window_ms);
            let max_first_attempts = within(&first_attempts, from, until)
                .max(within(&first_attempts, before, from));
            let allowed = bound.ratio * max_first_attempts + bound.slack;
            assert!(
                count <= allowed,
                "{count} retries, {allowed} allowed, seed {seed}"
            );
        }
    }
}

// ---- Placement -------------------------------------------------------------

const BOUNDS: Bounds =
    Bounds { min_replicas: 1, max_replicas: 10, has_spot: true, lag_ms: 0.0 };

fn sites(spot: [u32; 4], ordinary: [u32; 4]) -> Vec<Site> {
    let prices = [1.0, 0.8, 1.25, 0.9];
    (0..4)
        .map(|at| Site {
            data_centre: format!("d{at}"),
            spot: spot[at],
            ordinary: ordinary[at],
            price: prices[at],
            spot_unavailable: false,
        })
        .collect()
}

/// Returns a load that keeps `computing` replicas computing prompts without
/// pause.
fn load(computing: f64) -> Load {
    let mut load = Load::open(0, 18);
    for second in 1..120u64 {
        let sent = (second as f64 * computing * 1000.0) as u64;
        load.record_sent(second * 1000, vec![(1, sent)]);
    }
    load
}

fn spots(targets: &[Target]) -> Vec<u32> {
    targets.iter().map(|target| target.spot).collect()
}

fn ordinaries(targets: &[Target]) -> u32 {
    targets.iter().map(|target| target.ordinary).sum()
}

/// After two data centres lose their reclaimable replicas without a reaction,
/// the remaining replicas still carry the load.
#[test]
fn two_reclaimed_data_centres_leave_enough_replicas() {
    let load = load(4.0);
    let targets = compute_targets(&sites([9; 4], [0; 4]), &BOUNDS, &load);
    let remaining: u32 = spots(&targets).iter().skip(2).sum();
    assert!(remaining as f32 * 0.4 >= 4.0, "{targets:?}");
    assert_eq!(ordinaries(&targets), 0);
}

/// Guards against too few replicas for many seconds after a reclaim, when
/// reclaimable replicas are unavailable in that data centre.
#[test]
fn ordinary_replicas_stand_in_for_reclaimed_ones() {
    let load = load(4.0);
    let mut after = sites([0, 0, 5, 5], [0; 4]);
    after[0].spot_unavailable = true;
    after[1].spot_unavailable = true;
    let targets = compute_targets(&after, &BOUNDS, &load);
    assert!(ordinaries(&targets) >= 3, "{targets:?}");
    // The cheapest data centre has most of them.
    let cheapest = targets[1].ordinary;
    assert!(targets.iter().all(|target| target.ordinary <= cheapest));
}

/// Guards against releasing replicas that carry the load before their
/// replacements have booted.
#[test]
fn no_replica_is_released_before_its_replacement_serves() {
    let load = load(4.0);
    let start = sites([0; 4], [5, 5, 4, 4]);
    let targets = compute_targets(&start, &BOUNDS, &load);
    assert!(ordinaries(&targets) >= 14, "{targets:?}");
    assert!(spots(&targets).iter().all(|spot| *spot >= 5));
}

/// Guards against all caches being cold at once, as when all ordinary replicas
/// are released in the second in which reclaimable replicas are back.
#[test]
fn under_load_replicas_are_released_a_few_at_a_time() {
    let load = load(4.0);
    let reclaimable_back = sites([5; 4], [4, 4, 3, 3]);
    let targets = compute_targets(&reclaimable_back, &BOUNDS, &load);
    let released = 14 - ordinaries(&targets);
    assert!((1..=2).contains(&released), "{released} released at once");
}

/// Guards against orders of all available replicas during a shortage. They
/// occur when the load is measured by requests in flight, which accumulate
/// when replicas are few.
#[test]
fn the_target_does_not_grow_with_delays() {
    // The load is the same, however long the prompts wait to be computed.
    let with_enough =
        compute_targets(&sites([5; 4], [0; 4]), &BOUNDS, &load(4.0));
    let short = compute_targets(&sites([1; 4], [0; 4]), &BOUNDS, &load(4.0));
    assert_eq!(spots(&with_enough), spots(&short));
}

/// A new leader has not measured the load yet and keeps the replicas that are
/// present.
#[test]
fn present_replicas_are_kept_before_any_load() {
    let load = Load::open(0, 18);
    let targets =
        compute_targets(&sites([0; 4], [5, 5, 4, 4]), &BOUNDS, &load);
    assert!(spots(&targets).iter().sum::<u32>() >= 18, "{targets:?}");
}

/// Guards against meeting the first rush with four of eighteen replicas, when
/// the first observation takes place after only a fifth of them have announced
/// themselves.
#[test]
fn replicas_that_announce_themselves_late_count() {
    let mut load = Load::open(0, 3);
    load.record_sent(500, Vec::new());
    load.record_initial_replicas(18);
    load.record_sent(1000, Vec::new());
    assert!((load.peak() - Load::open(0, 18).peak()).abs() < 0.01);
}

/// Guards against a drop of requests served in time from 0.8 to 0.2 for twenty
/// seconds. Many replicas with warm caches compute little. If half of them are
/// released for that reason, their caches are lost and the remaining replicas
/// have more to compute than they can. This occurs when the number of replicas
/// follows the load of the last seconds, because the load depends on that
/// number.
#[test]
fn replicas_whose_caches_reduce_the_load_are_kept() {
    let mut load = Load::open(0, 140);
    let bounds = Bounds { max_replicas: 70, ..BOUNDS };
    let mut spot = [40; 4];
    for second in 1..=60u64 {
        // The caches fill up: the load falls from 50 replicas' time to 20.
        let computing = if second < 20 { 50 } else { 20 };
        let sent = second.min(20) * 50 + second.saturating_sub(20) * computing;
        load.record_sent(second * 1000, vec![(1, sent * 1000)]);
        let targets = compute_targets(&sites(spot, [0; 4]), &bounds, &load);
        for (at, target) in targets.iter().enumerate() {
            assert!(target.spot >= 37, "{second}: {targets:?}");
            spot[at] = target.spot;
        }
    }
}

/// Guards against ordering and releasing hundreds of replicas with cold caches
/// on a quiet day, which occurs when every change of the load by a hundredth
/// leads to a new order.
#[test]
fn a_fluctuating_load_causes_few_orders() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut load = Load::open(0, 140);
    let bounds = Bounds { max_replicas: 70, ..BOUNDS };
    let mut spot = [38; 4];
    let (mut orders, mut sent) = (0, 0);
    for half_second in 1..=120u64 {
        sent += rng.random_range(16_000..26_000_u64);
        load.record_sent(half_second * 500, vec![(1, sent)]);
        let targets = compute_targets(&sites(spot, [0; 4]), &bounds, &load);
        for (at, target) in targets.iter().enumerate() {
            orders += usize::from(target.spot != spot[at]);
            spot[at] = target.spot;
        }
    }
    assert!(orders <= 12, "{orders} orders in a minute");
}

/// Guards against releasing a hundred replicas and their caches in the same
/// second, which occurs when the whole surplus over the target is released at
/// once after a minute of low load.
#[test]
fn surplus_reclaimable_replicas_are_released_a_few_at_a_time() {
    let load = load(4.0);
    let bounds = Bounds { max_replicas: 70, ..BOUNDS };
    let targets = compute_targets(&sites([60; 4], [0; 4]), &bounds, &load);
    assert!(spots(&targets).iter().all(|spot| (55..60).contains(spot)));
}

/// Guards against releasing replicas on a change of leader: a leader that has
/// just started has observed little of the load.
#[test]
fn a_node_that_has_just_started_releases_no_replicas() {
    let mut load = Load::open(0, estimate_initial_replicas(0, 160, 4));
    load.record_sent(500, vec![(1, 100)]);
    load.record_sent(5000, vec![(1, 2000)]);
    let bounds = Bounds { max_replicas: 70, ..BOUNDS };
    let targets = compute_targets(&sites([50; 4], [0; 4]), &bounds, &load);
    assert_eq!(spots(&targets), [50; 4]);
}

/// Guards against half of the ordered replicas arriving six seconds late in
/// the first rush. Ordinary replicas take up half of what a data centre may
/// have, and more reclaimable replicas are ordered than fit beside them. The
/// order must grow when the ordinary replicas have been released: an unchanged
/// order is not repeated at once.
#[test]
fn a_target_fits_beside_ordinary_replicas_and_grows_as_they_go() {
    let load = Load::open(0, 140);
    let bounds = Bounds { max_replicas: 70, lag_ms: 750.0, ..BOUNDS };
    let before = compute_targets(&sites([0; 4], [35; 4]), &bounds, &load);
    assert_eq!(spots(&before), [35; 4]);
    let after = compute_targets(&sites([35; 4], [0; 4]), &bounds, &load);
    assert!(spots(&after).iter().all(|spot| *spot > 35), "{after:?}");
}

/// Guards against prompts that queue behind each other while other replicas
/// are idle. Seventy entries know of each other's requests 0.75 s late and
/// therefore need more replicas than nine entries that know at once.
#[test]
fn a_longer_propagation_delay_needs_more_replicas() {
    let load = load(4.0);
    let long_delay = Bounds { lag_ms: 750.0, max_replicas: 70, ..BOUNDS };
    let no_delay = Bounds { max_replicas: 70, ..BOUNDS };
    let each = |bounds| {
        spots(&compute_targets(&sites([0; 4], [0; 4]), bounds, &load))
    };
    assert!(
        each(&long_delay)[0] * 10 >= each(&no_delay)[0] * 11,
        "{:?}",
        each(&long_delay)
    );
    // The number of ordinary replicas does not depend on the delay.
    let short = sites([2; 4], [0; 4]);
    let mut short = short;
    short.iter_mut().for_each(|site| site.spot_unavailable = true);
    let ordinary_count =
        |bounds| ordinaries(&compute_targets(&short, bounds, &load));
    assert_eq!(ordinary_count(&long_delay), ordinary_count(&no_delay));
}

/// A node that observes from the start and a node that sees only the ordered
/// replicas must arrive at the same target, and keep it from then on.
#[test]
fn ordered_replicas_show_the_initial_size() {
    for (count, sites) in [(18, 4), (140, 4), (140, 5), (10, 2)] {
        let kept = (count as f32 * 0.8).ceil() as usize;
        let each = kept.div_ceil(sites - 1);
        let again = estimate_initial_replicas(0, each * sites, sites);
        assert!(again >= count, "{again} of {count} at {sites}");
        let more = (again as f32 * 0.8).ceil() as usize;
        assert_eq!(more.div_ceil(sites - 1), each, "{count} at {sites}");
    }
}

#[test]
fn no_data_centre_exceeds_its_maximum() {
    for spot in 0..=10 {
        let mut short = sites([spot; 4], [3; 4]);
        short[0].spot_unavailable = true;
        for target in compute_targets(&short, &BOUNDS, &load(30.0)) {
            assert!(target.spot <= 10, "{target:?}");
            assert!(target.ordinary + spot <= 10, "{target:?}");
        }
    }
}
