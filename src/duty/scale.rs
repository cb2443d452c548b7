//! Orders replicas to reach the targets of [`crate::decide::place`].

use tracing::{info, warn};

use super::{Context, Error, Options, Order};
use crate::{
    decide::place::{
        Bounds, Load, Site, compute_targets, estimate_initial_replicas,
    },
    gateway::{
        plan::{Plan, Scaling, Service},
        rollouts,
    },
    mesh::{
        mean_propagation_delay_ms,
        table::{Replica, State, Table},
    },
    util::{common, name_hash},
};

/// Time after which an order that was not met is sent again, in ms. Replicas
/// usually boot in less time, so that a booting replica is not ordered twice.
const UNMET_ORDER_RETRY_MS: u64 = 6000;
/// Time after which an order that failed, usually because no replicas are
/// available, is sent again, in ms. Calls to the platform cost something, and
/// so do the ordinary replicas that substitute for reclaimable ones meanwhile.
const FAILED_ORDER_RETRY_MS: u64 = 2000;
/// Time for which a data centre counts as having no reclaimable replicas
/// available after a failed order or a departure there, in ms. It lasts until
/// the next order there has been decided.
const SPOT_UNAVAILABLE_MS: u64 = 3000;

/// Time without heartbeats after which a replica does not count, in ms: four
/// heartbeats and their propagation delay between many nodes.
const HEARTBEAT_TIMEOUT_MS: u64 = 6000;

common! {
    struct IssuedOrder {
        order: Order,
        /// Earliest time to send the same order again.
        retry_at: u64,
        /// Time until which such replicas are assumed to be unavailable.
        unavailable_until: u64,
    }
}

/// Orders replicas, and remembers the orders of this leader.
#[derive(Debug, Default)]
pub struct Scaler {
    issued: Vec<IssuedOrder>,
    /// The load of each service, by name.
    loads: Vec<(String, Load)>,
}

impl Scaler {
    /// Records the load, whether or not this node leads. Otherwise a new
    /// leader would place orders without knowing the load.
    pub fn observe(&mut self, context: &Context) {
        let plan_guard = context.plan.read();
        let Some(plan) = plan_guard.as_ref() else { return };
        let now = context.timer.now();
        let table = context.mesh.table();
        for service in plan.services() {
            if service.scaling.is_some() {
                let scaling = context.gateway.rollout_scaling(&service.name);
                self.record_load(now, service, &table, &scaling);
            }
        }
    }

    /// Forgets all orders, because another leader may have placed orders
    /// since.
    pub fn forget_orders(&mut self) {
        self.issued.clear();
    }

    /// Sends the orders that are due to the platform.
    pub async fn place_due_orders(
        &mut self,
        options: &Options,
        context: &Context,
    ) {
        let plan_guard = context.plan.read();
        let Some(plan) = plan_guard.as_ref() else { return };
        let now = context.timer.now();
        let counted = |service: &str| context.gateway.rollout_scaling(service);
        let due = self.due(now, plan, &context.mesh.table(), &counted);
        for (order, there) in due {
            let Some(token) = context.token(options).await else { return };
            let result = context.cloud.order(&token, &order).await;
            let refused = result.is_err();
            log(&order, there, token.fence, result);
            self.record_order(now, refused, order);
        }
    }

    /// Returns the orders that are new or were not met, each with the number
    /// of replicas that are ready now.
    fn due(
        &self,
        now: u64,
        plan: &Plan,
        table: &Table,
        counted: &dyn Fn(&str) -> rollouts::Scaling,
    ) -> Vec<(Order, u32)> {
        let mut due = Vec::new();
        for service in plan.services() {
            let Some(scaling) = &service.scaling else { continue };
            let known =
                self.loads.iter().find(|(known, _)| *known == service.name);
            let Some((_, load)) = known else { continue };
            let counted = counted(&service.name);
            if counted == rollouts::Scaling::Paused {
                continue;
            }
            let is_on_trial = matches!(counted, rollouts::Scaling::OnTrial(_));
            let ready = ready_replicas(now, table, &service.name, &counted);
            let mut sites = sites(scaling, &ready);
            for site in &mut sites {
                let name = &site.data_centre;
                site.spot_unavailable =
                    self.is_spot_unavailable(now, &service.name, name)
                        || is_being_reclaimed(now, table, service, name);
            }
            let bounds = Bounds {
                min_replicas: scaling.min_replicas,
                max_replicas: scaling.max_replicas,
                has_spot: scaling.spot_price.is_some(),
                // The delay between all nodes, although only active nodes
                // choose replicas: see `sizing_propagation_delay_ms`.
                lag_ms: sizing_propagation_delay_ms(table),
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
                    // The replicas of a roll-out are the operator's: an order
                    // must not release any of either version.
                    let releases = is_on_trial && count < there;
                    if !releases && self.is_due(now, &order, there) {
                        due.push((order, there));
                    }
                }
            }
        }
        // Orders that add replicas come first, those that remove some last.
        due.sort_by_key(|(order, there)| order.count < *there);
        due
    }

    fn record_load(
        &mut self,
        now: u64,
        service: &Service,
        table: &Table,
        counted: &rollouts::Scaling,
    ) {
        let name = &service.name;
        let ready = ready_replicas(now, table, name, counted);
        if ready.is_empty() {
            return;
        }
        let spot = ready
            .iter()
            .filter(|replica| replica.sighting.reclaimable)
            .count();
        let scaling = service.scaling.as_ref();
        let sites = scaling.map_or(1, |scaling| scaling.prices.len());
        let initial =
            estimate_initial_replicas(ready.len() - spot, spot, sites);
        let known = self.loads.iter().position(|(known, _)| known == name);
        let at = known.unwrap_or_else(|| {
            let load = Load::open(now, initial);
            self.loads.push((name.clone(), load));
            self.loads.len() - 1
        });
        let load = &mut self.loads[at].1;
        load.record_initial_replicas(initial);
        load.record_sent(now, table.work(name_hash(name)));
    }

    fn is_due(&self, now: u64, order: &Order, there: u32) -> bool {
        let issued =
            self.issued.iter().find(|issued| issued.order.is_for(order));
        match issued {
            Some(issued) if issued.order.count == order.count => {
                there != order.count && now >= issued.retry_at
            }
            Some(_) => true,
            None => there != order.count,
        }
    }

    fn is_spot_unavailable(
        &self,
        now: u64,
        service: &str,
        data_centre: &str,
    ) -> bool {
        self.issued.iter().any(|issued| {
            issued.order.reclaimable
                && issued.order.service == service
                && issued.order.data_centre == data_centre
                && now < issued.unavailable_until
        })
    }

    fn record_order(&mut self, now: u64, refused: bool, order: Order) {
        let (wait_ms, unavailable_ms) = if refused {
            (FAILED_ORDER_RETRY_MS, SPOT_UNAVAILABLE_MS)
        } else {
            (UNMET_ORDER_RETRY_MS, 0)
        };
        let issued = IssuedOrder {
            order,
            retry_at: now + wait_ms,
            unavailable_until: now + unavailable_ms,
        };
        let old =
            self.issued.iter().position(|old| old.order.is_for(&issued.order));
        match old {
            Some(at) => self.issued[at] = issued,
            None => self.issued.push(issued),
        }
    }
}

/// Returns the propagation delay of reports if all serving nodes were active,
/// in ms.
///
/// Reports spread faster between the active nodes alone, and fewer replicas
/// would suffice for that delay once all caches are warm. But a start with
/// cold caches needs more replicas.
fn sizing_propagation_delay_ms(table: &Table) -> f32 {
    mean_propagation_delay_ms(table.serving_count()) as f32
}

/// Returns the replicas of a service that take requests.
///
/// A crashed replica sends no heartbeats. If it counted until the mesh table
/// drops it, it would not be replaced for half a minute.
fn ready_replicas<'a>(
    now: u64,
    table: &'a Table,
    service: &str,
    counted: &rollouts::Scaling,
) -> Vec<&'a Replica> {
    let is_counted = |replica: &&Replica| match counted {
        rollouts::Scaling::OnTrial(version)
        | rollouts::Scaling::Without(version) => {
            replica.sighting.version != *version
        }
        rollouts::Scaling::All | rollouts::Scaling::Paused => true,
    };
    table
        .replicas()
        .iter()
        .filter(|replica| replica.state == State::Ready)
        .filter(|replica| replica.remembered_until.is_none())
        .filter(|replica| now < replica.heard_at + HEARTBEAT_TIMEOUT_MS)
        .filter(|replica| replica.sighting.service == service)
        .filter(is_counted)
        .collect()
}

/// Returns true while the platform reclaims a data centre's replicas: at least
/// as many reclaimable replicas are leaving as remain.
///
/// Replicas do not always announce that they leave for good, and orders of
/// this node remove a few at a time, so a few departures are no sign of a
/// reclaim.
fn is_being_reclaimed(
    now: u64,
    table: &Table,
    service: &Service,
    data_centre: &str,
) -> bool {
    let candidates = table.replicas().iter().filter(|replica| {
        replica.sighting.reclaimable
            && replica.sighting.service == service.name
            && replica.sighting.data_centre == data_centre
    });
    let (mut leaving, mut ready) = (0, 0);
    for replica in candidates {
        match replica.state {
            State::Ready => ready += 1,
            _ if now < replica.leaving_since + SPOT_UNAVAILABLE_MS => {
                leaving += 1
            }
            _ => {}
        }
    }
    leaving > 0 && leaving >= ready
}

fn sites(scaling: &Scaling, ready: &[&Replica]) -> Vec<Site> {
    let count = |data_centre: &str, reclaimable: bool| {
        ready
            .iter()
            .filter(|replica| replica.sighting.data_centre == data_centre)
            .filter(|replica| replica.sighting.reclaimable == reclaimable)
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
