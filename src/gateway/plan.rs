//! What operators tell a gateway: routes, services, teams, limits.
//!
//! A [`Plan`] is the product's own form of it. It is checked as a whole by
//! [`Plan::check`]; one that is refused is refused with every reason at once.
//! After that, lookups can't fail for a reason inside the plan.

use std::fmt;

use crate::util::{common, position};

common! {
    copy
    /// What may be repeated.
    pub enum Repeat {
        /// A request may run more than once.
        Idempotent,
        /// A request may run at most once.
        Once,
        /// As [`Repeat::Once`], and the answer is a stream of events.
        Stream,
        /// A stream that can go on at another replica after its last event.
        Resumable,
    }
}

impl Repeat {
    /// True when a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::Resumable)
    }

    /// True when the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Stream | Repeat::Resumable)
    }
}

common! {
    /// Where requests of one host and path prefix go.
    pub struct Route {
        /// For people.
        pub name: String,
        /// Lower case, without a port.
        pub host: String,
        /// Begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub repeat: Repeat,
        /// The longest that a request is kept, in ms.
        pub timeout_ms: u64,
        /// Answers within this time count in full, in ms.
        pub target_ms: u64,
        /// 0 is the most urgent.
        pub priority: u32,
        /// Services with their weights; one of them per request.
        pub split: Vec<(String, u64)>,
        /// Replicas that may run one request at most.
        pub attempts: u32,
        /// No key is asked for.
        pub public: bool,
    }
}

common! {
    /// How an engine's replicas are bought.
    pub struct Scaling {
        /// Replicas of each data centre, at least.
        pub least: u32,
        /// Replicas of each data centre, at most.
        pub most: u32,
        /// From the order until they serve, in ms.
        pub boot_ms: u64,
        /// A reclaimable replica's part of the full price; `None` when there
        /// are none.
        pub spot_price: Option<f64>,
        /// Price of a replica in each data centre, sorted by name.
        pub prices: Vec<(String, f64)>,
    }
}

common! {
    /// A set of replicas that run the same thing.
    pub struct Service {
        /// What replicas call it.
        pub name: String,
        /// Connections that a replica takes from all callers together; 0 for
        /// no limit.
        pub connections: u32,
        /// Requests that a replica runs at a time, if it is an engine.
        pub batch: Option<u32>,
        /// Tokens that an engine keeps in its cache.
        pub cache_tokens: u64,
        /// Tokens that one event of a stream holds, as a rule.
        pub tokens_per_event: u32,
        /// Milliseconds in which a replica fetches a cached token of a prompt
        /// from another one; `None` where it can't.
        pub fetch_ms: Option<f32>,
        /// Set where replicas are bought and released.
        pub scaling: Option<Scaling>,
    }
}

common! {
    /// Who sends requests.
    pub struct Team {
        /// What replicas are told.
        pub name: String,
        /// Any of these names the team.
        pub keys: Vec<String>,
        /// Goes before the route's.
        pub priority: Option<u32>,
        /// Set when the team's use is limited.
        pub quota: Option<Quota>,
    }
}

common! {
    copy
    /// How much a team may use, over all entries together.
    pub struct Quota {
        /// Units each second.
        pub rate: u64,
        /// Units that may be saved up.
        pub burst: u64,
        /// What one request counts for when it names no tokens; `None` when
        /// every request counts for one.
        pub plain_tokens: Option<u64>,
    }
}

common! {
    copy
    /// What a caller may send, and how slowly.
    pub struct Limits {
        /// Bytes of a request's head.
        pub head_bytes: usize,
        /// Bytes of a request's body.
        pub body_bytes: usize,
        /// For a whole head, in ms.
        pub head_ms: u64,
        /// Between two requests on a connection, in ms.
        pub idle_ms: u64,
    }
}

impl Default for Limits {
    /// For an entry that has no plan yet: those of the first users.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_ms: 3000,
            idle_ms: 15_000,
        }
    }
}

/// Everything that the operators say, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    version: u64,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by name.
    teams: Vec<Team>,
    /// Key and place of its team, sorted by key.
    keys: Vec<(String, usize)>,
    limits: Limits,
}

/// A plan as it was written, before it is checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The operators' number.
    pub version: u64,
    /// In any order.
    pub routes: Vec<Route>,
    /// In any order.
    pub services: Vec<Service>,
    /// In any order.
    pub teams: Vec<Team>,
    /// What callers may send.
    pub limits: Limits,
}

/// Everything that is wrong with a plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Invalid(Vec<String>);

impl Invalid {
    /// A plan that could not be read at all.
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
    /// Checks a draft.
    ///
    /// # Errors
    ///
    /// Unknown services, two routes in one place, splits without weight,
    /// timeouts of 0, prefixes without slashes, and keys or names that are
    /// there twice.
    pub fn check(draft: Draft) -> Result<Plan, Invalid> {
        let Draft { version, mut routes, mut services, mut teams, limits } =
            draft;
        routes.sort_by(|one, other| place_of(one).cmp(&place_of(other)));
        services.sort_by(|one, other| one.name.cmp(&other.name));
        teams.sort_by(|one, other| one.name.cmp(&other.name));
        let mut wrong = Vec::new();
        if version == 0 {
            wrong.push("version 0".to_owned());
        }
        for pair in services.windows(2) {
            if pair[0].name == pair[1].name {
                wrong.push(format!("service {} twice", pair[0].name));
            }
        }
        for pair in routes.windows(2) {
            if place_of(&pair[0]) == place_of(&pair[1]) {
                let (host, prefix) = place_of(&pair[0]);
                wrong.push(format!("two routes for {host}{prefix}"));
            }
        }
        for route in &routes {
            check_route(route, &services, &mut wrong);
        }
        let keys = keys_of(&teams, &mut wrong);
        if !wrong.is_empty() {
            return Err(Invalid(wrong));
        }
        Ok(Plan { version, routes, services, teams, keys, limits })
    }

    /// The operators' number.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// All routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All teams, sorted by name.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// True when requests need a key, but for public routes.
    pub fn asks_for_keys(&self) -> bool {
        !self.teams.is_empty()
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = position(&self.services, name, |one| one.name.as_str());
        at.ok().map(|at| &self.services[at])
    }

    /// The route with the longest prefix that begins `path`.
    ///
    /// `host` is in lower case and has no port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        // Every prefix ends with a slash: only as many lookups as the path
        // has slashes, however many routes there are.
        path.rmatch_indices('/').find_map(|(at, _)| {
            let place = (host, &path[..=at]);
            let found =
                self.routes.binary_search_by(|one| place_of(one).cmp(&place));
            found.ok().map(|at| &self.routes[at])
        })
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Team> {
        let at = position(&self.keys, key, |(key, _)| key.as_str()).ok()?;
        self.teams.get(self.keys[at].1)
    }
}

fn place_of(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

fn check_route(route: &Route, services: &[Service], wrong: &mut Vec<String>) {
    let name = &route.name;
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        wrong.push(format!(
            "route {name}: prefix {:?} needs a slash at both ends",
            route.prefix
        ));
    }
    if route.timeout_ms == 0 {
        wrong.push(format!("route {name}: timeout 0"));
    }
    if route.split.iter().all(|(_, weight)| *weight == 0) {
        wrong.push(format!("route {name}: weights add up to 0"));
    }
    for (service, _) in &route.split {
        if position(services, service, |one| &one.name).is_err() {
            wrong.push(format!("route {name}: unknown service {service:?}"));
        }
    }
}

fn keys_of(teams: &[Team], wrong: &mut Vec<String>) -> Vec<(String, usize)> {
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
            wrong.push(format!(
                "teams {} and {} share a key",
                names[0], names[1]
            ));
        }
    }
    for pair in teams.windows(2) {
        if pair[0].name == pair[1].name {
            wrong.push(format!("team {} twice", pair[0].name));
        }
    }
    keys
}
