//! Orders of replicas, by the wishes of [`crate::decide::place`].

use tracing::{info, warn};

use super::{Error, Options, Order, Tools};
use crate::{
    decide::place::{
        Bounds, Load, Site, compute_targets, estimate_initial_replicas,
    },
    gateway::plan::{Plan, Scaling, Service},
    mesh::{
        mean_propagation_delay_ms,
        table::{Replica, State, Table},
    },
    util::{common, name_hash},
};

/// An order that was not met is given again after this long, in ms: longer
/// than replicas take to boot, as a rule, so that one that is under way is
/// not ordered twice.
const AGAIN_MS: u64 = 6000;
/// After a refusal, as none are to be had: when to ask again, in ms. Calls
/// to the platform cost something, and so do the seconds of the ordinary
/// replicas that stand in.
const REFUSED_MS: u64 = 2000;
/// For this long after a refusal or a notice a data centre counts as having
/// none, in ms: until one more order there has been decided.
const DRY_MS: u64 = 3000;

/// A replica that was not heard for this long does not count, in ms: four
/// heartbeats, and what they take to get round where there are many nodes.
const SILENT_MS: u64 = 6000;

common! {
    struct Given {
        order: Order,
        /// Not before this is it given again unchanged.
        again_at: u64,
        /// None are to be had until then, as far as known.
        dry_until: u64,
    }
}

/// What one leader has ordered.
#[derive(Debug, Default)]
pub struct Scaler {
    given: Vec<Given>,
    /// By service.
    loads: Vec<(String, Load)>,
}

impl Scaler {
    /// Follows the load, whether or not this node leads: one that has just
    /// begun to lead would otherwise order for a load that it can't know.
    pub fn observe(&mut self, tools: &Tools) {
        let held = tools.plan.read();
        let Some(plan) = held.as_ref() else { return };
        let now = tools.timer.now();
        let table = tools.mesh.table();
        for service in plan.services() {
            if service.scaling.is_some() {
                self.note_load(now, service, &table);
            }
        }
    }

    /// Forgets what was ordered, as somebody else may order since.
    pub fn forget_orders(&mut self) {
        self.given.clear();
    }

    /// Orders what is due.
    pub async fn look(&mut self, options: &Options, tools: &Tools) {
        let held = tools.plan.read();
        let Some(plan) = held.as_ref() else { return };
        let now = tools.timer.now();
        let due = self.due(now, plan, &tools.mesh.table());
        for (order, there) in due {
            let Some(badge) = tools.badge(options).await else { return };
            let result = tools.cloud.order(&badge, &order).await;
            let refused = result.is_err();
            log(&order, there, badge.fence, result);
            self.note(now, refused, order);
        }
    }

    /// Orders that are new, or were not met, with what there is now.
    fn due(&self, now: u64, plan: &Plan, table: &Table) -> Vec<(Order, u32)> {
        let mut due = Vec::new();
        for service in plan.services() {
            let Some(scaling) = &service.scaling else { continue };
            let known =
                self.loads.iter().find(|(known, _)| *known == service.name);
            let Some((_, load)) = known else { continue };
            let ready = ready_of(now, table, &service.name);
            let mut sites = sites(scaling, &ready);
            for site in &mut sites {
                let name = &site.data_centre;
                site.spot_unavailable = self.is_dry(now, &service.name, name)
                    || is_being_reclaimed(now, table, service, name);
            }
            let bounds = Bounds {
                min_replicas: scaling.min_replicas,
                max_replicas: scaling.max_replicas,
                has_spot: scaling.spot_price.is_some(),
                // Of all nodes, though only the active ones choose replicas:
                // see `sizing_lag_ms`.
                lag_ms: sizing_lag_ms(table),
            };
            for (target, site) in
                compute_targets(&sites, &bounds, load).iter().zip(&sites)
            {
                let kinds = [
                    (true, target.spot, site.spot),
                    (false, target.ordinary, site.ordinary),
                ];
                for (reclaimable, count, there) in kinds {
                    let order = Order {
                        service: service.name.clone(),
                        data_centre: target.data_centre.clone(),
                        reclaimable,
                        count,
                    };
                    if self.is_due(now, &order, there) {
                        due.push((order, there));
                    }
                }
            }
        }
        // What is bought first, what is let go last.
        due.sort_by_key(|(order, there)| order.count < *there);
        due
    }

    fn note_load(&mut self, now: u64, service: &Service, table: &Table) {
        let name = &service.name;
        let ready = ready_of(now, table, name);
        if ready.is_empty() {
            return;
        }
        let spot = ready.iter().filter(|one| one.sighting.reclaimable).count();
        let scaling = service.scaling.as_ref();
        let sites = scaling.map_or(1, |scaling| scaling.prices.len());
        let found = estimate_initial_replicas(ready.len() - spot, spot, sites);
        let known = self.loads.iter().position(|(known, _)| known == name);
        let at = known.unwrap_or_else(|| {
            let load = Load::open(now, found);
            self.loads.push((name.clone(), load));
            self.loads.len() - 1
        });
        let load = &mut self.loads[at].1;
        load.record_initial_replicas(found);
        load.record_sent(now, table.work(name_hash(name)));
    }

    fn is_due(&self, now: u64, order: &Order, there: u32) -> bool {
        let given = self.given.iter().find(|one| one.order.is_for(order));
        match given {
            Some(given) if given.order.count == order.count => {
                there != order.count && now >= given.again_at
            }
            Some(_) => true,
            None => there != order.count,
        }
    }

    fn is_dry(&self, now: u64, service: &str, data_centre: &str) -> bool {
        self.given.iter().any(|one| {
            one.order.reclaimable
                && one.order.service == service
                && one.order.data_centre == data_centre
                && now < one.dry_until
        })
    }

    fn note(&mut self, now: u64, refused: bool, order: Order) {
        let (wait, dry) =
            if refused { (REFUSED_MS, DRY_MS) } else { (AGAIN_MS, 0) };
        let given =
            Given { order, again_at: now + wait, dry_until: now + dry };
        let old =
            self.given.iter().position(|one| one.order.is_for(&given.order));
        match old {
            Some(at) => self.given[at] = given,
            None => self.given.push(given),
        }
    }
}

/// How late entries would know of each other if all nodes were.
///
/// Active nodes know of each other sooner, and few replicas would do for that
/// once all are warm. But a start with cold caches needs more.
fn sizing_lag_ms(table: &Table) -> f32 {
    mean_propagation_delay_ms(table.serving_count()) as f32
}

/// The replicas of a service that take requests.
///
/// One that has crashed says nothing. Counted for as long as it is remembered
/// it would not be replaced for half a minute.
fn ready_of<'a>(
    now: u64,
    table: &'a Table,
    service: &str,
) -> Vec<&'a Replica> {
    table
        .replicas()
        .iter()
        .filter(|one| one.state == State::Ready)
        .filter(|one| one.remembered_until.is_none())
        .filter(|one| now < one.heard_at + SILENT_MS)
        .filter(|one| one.sighting.service == service)
        .collect()
}

/// True while a data centre's reclaimable replicas are being taken away: as
/// many are leaving as stay, or more.
///
/// Replicas do not always say that they leave for good, and orders of this
/// node take away a few at a time.
fn is_being_reclaimed(
    now: u64,
    table: &Table,
    service: &Service,
    data_centre: &str,
) -> bool {
    let there = table.replicas().iter().filter(|one| {
        one.sighting.reclaimable
            && one.sighting.service == service.name
            && one.sighting.data_centre == data_centre
    });
    let (mut leaving, mut ready) = (0, 0);
    for replica in there {
        match replica.state {
            State::Ready => ready += 1,
            _ if now < replica.leaving_since + DRY_MS => leaving += 1,
            _ => {}
        }
    }
    leaving > 0 && leaving >= ready
}

fn sites(scaling: &Scaling, ready: &[&Replica]) -> Vec<Site> {
    let count = |data_centre: &str, reclaimable: bool| {
        ready
            .iter()
            .filter(|one| one.sighting.data_centre == data_centre)
            .filter(|one| one.sighting.reclaimable == reclaimable)
            .count() as u32
    };
    scaling
        .prices
        .iter()
        .map(|(data_centre, price)| Site {
            data_centre: data_centre.clone(),
            spot: count(data_centre, true),
            ordinary: count(data_centre, false),
            price: *price,
            spot_unavailable: false,
        })
        .collect()
}

fn log(order: &Order, there: u32, fence: u64, result: Result<(), Error>) {
    let Order { service, data_centre, reclaimable, count } = order;
    match result {
        Ok(()) => info!(
            target: "duty",
            service, data_centre, reclaimable, count, there, fence,
            "Ordered replicas."
        ),
        Err(error) => warn!(
            target: "duty",
            service, data_centre, reclaimable, count, there, fence,
            "Replicas not ordered: {error}."
        ),
    }
}
