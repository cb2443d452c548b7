//! The endpoints as this entry sees them, with a router for each service.

use tracing::info;

use crate::{
    config::{Config, Kind},
    decide::route::{
        Availability, Choice, Identity, Policy, Pool, RouteRequest, Weights,
    },
    util::{position, random_id},
    wire::{Endpoint, Load},
};

struct ServicePool {
    service: String,
    pool: Pool,
}

/// Endpoints and routers.
pub struct Fleet {
    /// Version of the list that control sent.
    version: u64,
    /// Sorted by id.
    endpoints: Vec<Endpoint>,
    /// Left, as heard here before control said so: id and incarnation.
    left_here: Vec<(String, u64)>,
    pools: Vec<ServicePool>,
    near: String,
    peers: usize,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "fleet version {}", self.version)
    }
}

impl Fleet {
    /// Starts without endpoints, for an entry in `near`.
    pub fn open(near: &str) -> Fleet {
        Fleet {
            version: 0,
            endpoints: Vec::new(),
            left_here: Vec::new(),
            pools: Vec::new(),
            near: near.to_owned(),
            peers: 0,
        }
    }

    /// Version of the list that control sent last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The endpoint of that id, if it may be given work.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        let at =
            position(&self.endpoints, id, |endpoint| endpoint.id.as_str());
        at.ok().map(|at| &self.endpoints[at])
    }

    /// Takes the list that control sent.
    pub fn set_endpoints(
        &mut self,
        version: u64,
        mut endpoints: Vec<Endpoint>,
        config: Option<&Config>,
    ) {
        endpoints.sort_by(|one, other| one.id.cmp(&other.id));
        // Control's word that an endpoint left may still be on its way here
        // when an older list arrives; what was heard here stays in force
        // until a list no longer has that incarnation.
        self.left_here.retain(|(id, incarnation)| {
            endpoints.iter().any(|live| live.identity() == (id, *incarnation))
        });
        endpoints.retain(|live| {
            let (id, incarnation) = live.identity();
            !self
                .left_here
                .iter()
                .any(|(left, number)| left == id && *number == incarnation)
        });
        info!(
            target: "fleet",
            "Version {version} has {} endpoints.", endpoints.len()
        );
        self.version = version;
        self.endpoints = endpoints;
        self.rebuild(config);
    }

    /// Stops giving work to an endpoint, before control has said so.
    pub fn leave(
        &mut self,
        id: &str,
        incarnation: u64,
        config: Option<&Config>,
    ) {
        self.left_here.push((id.to_owned(), incarnation));
        self.endpoints.retain(|live| live.identity() != (id, incarnation));
        self.rebuild(config);
    }

    /// How many other entries there are.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
        for one in &mut self.pools {
            one.pool.set_peers(peers);
        }
    }

    /// Makes the routers anew, from endpoints and configuration.
    pub fn rebuild(&mut self, config: Option<&Config>) {
        let Some(config) = config else { return };
        for service in &config.services {
            let list: Vec<Identity> = self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.service == service.name)
                .map(|endpoint| Identity {
                    id: endpoint.id.clone(),
                    incarnation: endpoint.incarnation,
                    data_centre: endpoint.data_centre.clone(),
                    slots: match endpoint.slots {
                        0 => service.slots as u32,
                        slots => slots,
                    },
                    reclaimable: endpoint.reclaimable,
                    price: config
                        .class(&endpoint.class)
                        .map_or(0, |class| class.price),
                    availability: Availability::Serving,
                })
                .collect();
            let near = self.near.clone();
            let pool = self.pool_or_new(&service.name, service.kind);
            pool.set_policy(service.routing);
            pool.set_recompute_factor(
                service.recompute_percent as f32 / 100.0,
            );
            pool.set_replicas(&near, &list);
        }
    }

    /// The router of a service.
    pub fn pool(&mut self, service: &str) -> Option<&mut Pool> {
        let at = position(&self.pools, service, |one| one.service.as_str());
        at.ok().map(|at| &mut self.pools[at].pool)
    }

    /// Chooses an endpoint for a request.
    pub fn pick(
        &mut self,
        now: u64,
        service: &str,
        request: &RouteRequest<'_>,
    ) -> Option<(Endpoint, Choice)> {
        let choice = self.pool(service)?.pick(now, request)?;
        let endpoint = self.endpoint(&choice.id)?.clone();
        Some((endpoint, choice))
    }

    /// Takes loads that came through control.
    pub fn report(&mut self, now: u64, loads: &[Load]) {
        for load in loads {
            let Some(endpoint) = self.endpoint(&load.endpoint) else {
                continue;
            };
            let service = endpoint.service.clone();
            if let Some(pool) = self.pool(&service) {
                pool.record_load(
                    now,
                    &load.endpoint,
                    load.incarnation,
                    load.running + load.waiting,
                    u64::from(load.age_ms),
                );
            }
        }
    }

    fn pool_or_new(&mut self, service: &str, kind: Kind) -> &mut Pool {
        let found = position(&self.pools, service, |one| one.service.as_str());
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let weights = match kind {
                    Kind::Model => Weights::default(),
                    Kind::Plain => Weights {
                        hold_ms: 50.0,
                        batch_ms: 1.0,
                        ..Weights::default()
                    },
                };
                let mut pool = Pool::open(Policy::Cost, weights, random_id());
                pool.set_peers(self.peers);
                let service = service.to_owned();
                self.pools.insert(at, ServicePool { service, pool });
                at
            }
        };
        &mut self.pools[at].pool
    }
}
