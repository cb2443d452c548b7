//! Endpoints that this entry may use, and a router for each service.

use tracing::info;

use crate::{
    backoff::{Backoffs, Notice},
    config::{Config, Kind},
    decide::route::{
        Availability, Choice, Identity, Policy, Pool, RouteRequest,
        UNKNOWN_VERSION, Weights,
    },
    util::{mix, name_hash, position, random_id},
    wire::{Endpoint, Load},
};

struct ServicePool {
    service: String,
    pool: Pool,
}

/// Endpoints and routers of one entry.
pub struct Fleet {
    /// Version of the endpoint list from control.
    version: u64,
    /// Sorted by id.
    endpoints: Vec<Endpoint>,
    /// Id and incarnation of endpoints that announced their departure to this
    /// entry, until control's list no longer contains them.
    announced_departures: Vec<(String, u64)>,
    pools: Vec<ServicePool>,
    backoffs: Backoffs,
    local_data_centre: String,
    peer_count: usize,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "fleet version {}", self.version)
    }
}

impl Fleet {
    /// Creates a fleet without endpoints, for an entry in
    /// `local_data_centre`.
    pub fn open(local_data_centre: &str) -> Fleet {
        Fleet {
            version: 0,
            endpoints: Vec::new(),
            announced_departures: Vec::new(),
            pools: Vec::new(),
            backoffs: Backoffs::default(),
            local_data_centre: local_data_centre.to_owned(),
            peer_count: 0,
        }
    }

    /// Returns the version of the last endpoint list from control.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the endpoint with an id, if it may receive requests.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        let at =
            position(&self.endpoints, id, |endpoint| endpoint.id.as_str());
        at.ok().map(|at| &self.endpoints[at])
    }

    /// Applies an endpoint list from control.
    pub fn set_endpoints(
        &mut self,
        version: u64,
        mut endpoints: Vec<Endpoint>,
        config: Option<&Config>,
    ) {
        endpoints.sort_by(|one, other| one.id.cmp(&other.id));
        // A list from before an endpoint's departure may arrive after the
        // departure was announced to this entry. The departure therefore
        // stays in force until a list no longer contains that incarnation.
        self.announced_departures.retain(|(id, incarnation)| {
            endpoints
                .iter()
                .any(|endpoint| endpoint.identity() == (id, *incarnation))
        });
        endpoints.retain(|endpoint| {
            let (id, incarnation) = endpoint.identity();
            !self
                .announced_departures
                .iter()
                .any(|(left_id, left)| left_id == id && *left == incarnation)
        });
        info!(
            target: "fleet",
            "Fleet version {version} has {} endpoints.", endpoints.len()
        );
        self.version = version;
        self.endpoints = endpoints;
        self.rebuild(config);
    }

    /// Removes an endpoint that announced its departure to this entry, before
    /// control's list reflects it.
    pub fn remove_departing(
        &mut self,
        id: &str,
        incarnation: u64,
        config: Option<&Config>,
    ) {
        self.announced_departures.push((id.to_owned(), incarnation));
        self.endpoints
            .retain(|endpoint| endpoint.identity() != (id, incarnation));
        self.rebuild(config);
    }

    /// Sets the number of other entries that serve.
    pub fn set_peers(&mut self, peer_count: usize) {
        self.peer_count = peer_count;
        for service_pool in &mut self.pools {
            service_pool.pool.set_peers(peer_count);
        }
    }

    /// Updates the routers from the endpoints and the configuration.
    pub fn rebuild(&mut self, config: Option<&Config>) {
        let Some(config) = config else { return };
        for service in &config.services {
            let replicas: Vec<Identity> = self
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
                    version: UNKNOWN_VERSION,
                    is_version_certain: false,
                })
                .collect();
            let local_data_centre = self.local_data_centre.clone();
            let pool = self.pool_or_insert(&service.name, service.kind);
            pool.set_policy(service.routing);
            pool.set_recompute_factor(
                service.recompute_percent as f32 / 100.0,
            );
            pool.set_replicas(&local_data_centre, &replicas);
            for endpoint in replicas {
                let (id, incarnation) = (endpoint.id, endpoint.incarnation);
                let until =
                    self.backoffs.until(backoff_key(&id, incarnation), 0);
                if let Some(pool) = self.pool(&service.name) {
                    pool.set_backoff(&id, incarnation, until);
                }
            }
        }
    }

    /// Records that an endpoint wants no requests until `until`.
    pub fn record_backoff(
        &mut self,
        now: u64,
        service: &str,
        choice: &Choice,
        until: u64,
    ) {
        let (id, incarnation) = (choice.id.as_str(), choice.incarnation);
        let key = backoff_key(id, incarnation);
        // The key names the incarnation.
        let notice = Notice { until, wall_ms: 0, born: 0 };
        let known = self.endpoints.iter().map(|endpoint| {
            let (id, incarnation) = endpoint.identity();
            backoff_key(id, incarnation)
        });
        let mut known: Vec<u64> = known.collect();
        known.sort_unstable();
        self.backoffs
            .expire(now, |endpoint| known.binary_search(&endpoint).is_ok());
        self.backoffs.record(now, key, notice);
        let until = self.backoffs.until(key, 0);
        if let Some(pool) = self.pool(service) {
            pool.set_backoff(id, incarnation, until);
        }
    }

    /// Returns the router of a service.
    pub fn pool(&mut self, service: &str) -> Option<&mut Pool> {
        let at = position(&self.pools, service, |service_pool| {
            service_pool.service.as_str()
        });
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

    /// Records loads that endpoints reported in heartbeats, here or through
    /// control.
    pub fn record_loads(&mut self, now: u64, loads: &[Load]) {
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

    fn pool_or_insert(&mut self, service: &str, kind: Kind) -> &mut Pool {
        let found = position(&self.pools, service, |service_pool| {
            service_pool.service.as_str()
        });
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
                pool.set_peers(self.peer_count);
                let service = service.to_owned();
                self.pools.insert(at, ServicePool { service, pool });
                at
            }
        };
        &mut self.pools[at].pool
    }
}

fn backoff_key(id: &str, incarnation: u64) -> u64 {
    mix(name_hash(id) ^ incarnation)
}
