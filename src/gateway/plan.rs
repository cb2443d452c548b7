//! The configuration of a gateway: routes, services, teams and limits.
//!
//! A [`Plan`] is the product's own form of the configuration.
//! [`Plan::check`] validates it as a whole and reports all faults at once, so
//! lookups in a plan can't fail because of the plan itself.

use std::fmt;

use crate::util::{common, position};

common! {
    copy
    /// Which retries a route allows, and whether its answers are streams.
    pub enum RetryPolicy {
        /// A request may run more than once.
        Idempotent,
        /// A request may run at most once.
        Once,
        /// As [`RetryPolicy::Once`], and the answer is an event stream.
        Stream,
        /// An event stream that another replica can resume after any event.
        Resumable,
    }
}

impl RetryPolicy {
    /// Returns true when a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::Resumable)
    }

    /// Returns the number on the wire.
    pub fn as_u32(self) -> u32 {
        self as u32
    }

    /// Converts a number from the wire. A request with an unknown number may
    /// run once only.
    pub fn from_u32(number: u32) -> RetryPolicy {
        let all = [
            RetryPolicy::Idempotent,
            RetryPolicy::Once,
            RetryPolicy::Stream,
            RetryPolicy::Resumable,
        ];
        let found = all.into_iter().find(|policy| policy.as_u32() == number);
        found.unwrap_or(RetryPolicy::Once)
    }

    /// Returns true when the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::Resumable)
    }
}

common! {
    /// How requests for one host and path prefix are handled.
    pub struct Route {
        /// Name, for operators and logs.
        pub name: String,
        /// Host in lower case, without a port.
        pub host: String,
        /// Path prefix, with a slash at both ends.
        pub prefix: String,
        /// Which retries are allowed.
        pub retry_policy: RetryPolicy,
        /// Time after which a request fails, in ms.
        pub timeout_ms: u64,
        /// Time within which an answer counts in full, in ms.
        pub target_ms: u64,
        /// Priority; 0 is the most urgent.
        pub priority: u32,
        /// Services with their weights. Each request goes to one of them.
        pub split: Vec<(String, u64)>,
        /// Maximum number of replicas that may run one request.
        pub max_attempts: u32,
        /// True when requests need no key.
        pub public: bool,
    }
}

common! {
    /// How an engine's replicas are bought.
    pub struct Scaling {
        /// Minimum number of replicas in each data centre.
        pub min_replicas: u32,
        /// Maximum number of replicas in each data centre.
        pub max_replicas: u32,
        /// Time from the order of a replica until it serves, in ms.
        pub boot_ms: u64,
        /// Price of a reclaimable replica as a fraction of the full price;
        /// `None` when there are no reclaimable replicas.
        pub spot_price: Option<f64>,
        /// Price of a replica in each data centre, sorted by data centre.
        pub prices: Vec<(String, f64)>,
    }
}

common! {
    /// A set of interchangeable replicas.
    pub struct Service {
        /// Name that replicas announce.
        pub name: String,
        /// Maximum number of connections to a replica, from all callers
        /// together; 0 for no limit.
        pub max_connections: u32,
        /// Number of requests that a replica runs at a time; `None` if it is
        /// not an engine.
        pub max_batch: Option<u32>,
        /// Capacity of an engine's prompt cache, in tokens.
        pub cache_tokens: u64,
        /// Usual number of tokens in one event of a stream.
        pub tokens_per_event: u32,
        /// Time in which a replica fetches one cached token of a prompt from
        /// another replica, in ms; `None` if it can't fetch.
        pub fetch_ms: Option<f32>,
        /// Path at which replicas answer at any time; `None` if there is none.
        pub probe_path: Option<String>,
        /// How replicas are bought and released, if they are.
        pub scaling: Option<Scaling>,
    }
}

common! {
    /// A customer, identified by its API keys.
    pub struct Team {
        /// Name, which is also sent to replicas.
        pub name: String,
        /// API keys, each of which identifies the team.
        pub keys: Vec<String>,
        /// Priority that overrides the route's.
        pub priority: Option<u32>,
        /// Limit on the team's usage, if any.
        pub quota: Option<Quota>,
    }
}

common! {
    copy
    /// Limit on a team's usage, over all entries together.
    pub struct Quota {
        /// Units that are added each second.
        pub rate: u64,
        /// Maximum number of unused units.
        pub burst: u64,
        /// Cost in tokens of a request that announces no tokens; `None` if the
        /// quota counts requests, each of which costs 1.
        pub default_tokens: Option<u64>,
    }
}

common! {
    copy
    /// Limits on the size and the duration of a caller's request.
    pub struct Limits {
        /// Maximum size of a request's head, in bytes.
        pub max_head_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub max_body_bytes: usize,
        /// Timeout for receiving a whole head, in ms.
        pub head_timeout_ms: u64,
        /// Maximum idle time between two requests on a connection, in ms.
        pub idle_timeout_ms: u64,
    }
}

impl Default for Limits {
    /// Returns the limits of an entry that has no plan yet: those of the first
    /// users.
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A validated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    version: u64,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by name.
    teams: Vec<Team>,
    /// Keys, each with the index of its team, sorted by key.
    keys: Vec<(String, usize)>,
    limits: Limits,
}

/// A plan that has not been validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Version number that the operators assign.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services, in any order.
    pub services: Vec<Service>,
    /// Teams, in any order.
    pub teams: Vec<Team>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// All faults of a plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Invalid(Vec<String>);

impl Invalid {
    /// Creates the error of a plan that can't be parsed.
    pub fn unreadable(text: impl fmt::Display) -> Invalid {
        Invalid(vec![format!("can't be read: {text}")])
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0.join("; "))
    }
}

impl std::error::Error for Invalid {}

impl Plan {
    /// Validates a draft.
    ///
    /// # Errors
    ///
    /// Returns an error for version 0, unknown services, two routes with the
    /// same host and prefix, splits without weight, timeouts of 0, prefixes
    /// without slashes, keys of several teams, and duplicate names of services
    /// or teams.
    pub fn check(draft: Draft) -> Result<Plan, Invalid> {
        let Draft { version, mut routes, mut services, mut teams, limits } =
            draft;
        routes.sort_by(|left, right| {
            host_and_prefix(left).cmp(&host_and_prefix(right))
        });
        services.sort_by(|left, right| left.name.cmp(&right.name));
        teams.sort_by(|left, right| left.name.cmp(&right.name));
        let mut faults = Vec::new();
        if version == 0 {
            faults.push("version 0".to_owned());
        }
        for pair in services.windows(2) {
            if pair[0].name == pair[1].name {
                faults.push(format!("service {} twice", pair[0].name));
            }
        }
        for pair in routes.windows(2) {
            if host_and_prefix(&pair[0]) == host_and_prefix(&pair[1]) {
                let (host, prefix) = host_and_prefix(&pair[0]);
                faults.push(format!("two routes for {host}{prefix}"));
            }
        }
        for route in &routes {
            check_route(route, &services, &mut faults);
        }
        let keys = collect_keys(&teams, &mut faults);
        if !faults.is_empty() {
            return Err(Invalid(faults));
        }
        Ok(Plan { version, routes, services, teams, keys, limits })
    }

    /// Returns the version number that the operators assigned.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns all teams, sorted by name.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns true when requests need a key, except on public routes.
    pub fn requires_keys(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at =
            position(&self.services, name, |service| service.name.as_str());
        at.ok().map(|at| &self.services[at])
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// `host` is in lower case and has no port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        // Every prefix ends with a slash, so the number of lookups is the
        // number of slashes in the path, independent of the number of routes.
        path.rmatch_indices('/').find_map(|(at, _)| {
            let searched = (host, &path[..=at]);
            let found = self.routes.binary_search_by(|route| {
                host_and_prefix(route).cmp(&searched)
            });
            found.ok().map(|at| &self.routes[at])
        })
    }

    /// Returns the team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let at = position(&self.keys, key, |(key, _)| key.as_str()).ok()?;
        self.teams.get(self.keys[at].1)
    }
}

fn host_and_prefix(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

fn check_route(route: &Route, services: &[Service], faults: &mut Vec<String>) {
    let name = &route.name;
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        faults.push(format!(
            "route {name}: prefix {:?} needs a slash at both ends",
            route.prefix
        ));
    }
    if route.timeout_ms == 0 {
        faults.push(format!("route {name}: timeout 0"));
    }
    if route.split.iter().all(|(_, weight)| *weight == 0) {
        faults.push(format!("route {name}: weights add up to 0"));
    }
    for (service, _) in &route.split {
        if position(services, service, |service| &service.name).is_err() {
            faults.push(format!("route {name}: unknown service {service:?}"));
        }
    }
}

fn collect_keys(
    teams: &[Team],
    faults: &mut Vec<String>,
) -> Vec<(String, usize)> {
    let mut keys: Vec<(String, usize)> = teams
        .iter()
        .enumerate()
        .flat_map(|(at, team)| {
            team.keys.iter().map(move |key| (key.clone(), at))
        })
        .collect();
    keys.sort();
    for pair in keys.windows(2) {
        if pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1 {
            let names = [pair[0].1, pair[1].1].map(|at| &teams[at].name);
            faults.push(format!(
                "teams {} and {} share a key",
                names[0], names[1]
            ));
        }
    }
    for pair in teams.windows(2) {
        if pair[0].name == pair[1].name {
            faults.push(format!("team {} twice", pair[0].name));
        }
    }
    keys
}
