//! The replicas of each service, with a router for each service.
//!
//! The mesh provides the list of replicas. The load of a replica is the sum of
//! the requests that all nodes have in flight there. This node's own
//! observations take precedence over both: a replica whose heartbeats do not
//! arrive is used while it answers requests, and a replica that fails requests
//! is avoided.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::{
    memory::Memory,
    parts::{BLOCK_TOKENS, block_count, cached_blocks, path_hashes},
    plan::{Plan, Service},
};
use crate::{
    backoff::{Backoffs, Notice},
    decide::{
        rate_limit::Allocation,
        reach::{Change, Probe, Reach},
        retry::{Bound, Claim, Usage, Window},
        route::{
            Availability, Capacity, Choice, Identity, Policy, Pool,
            RouteRequest, Shortage, Status, Ticket, UNKNOWN_VERSION, Weights,
        },
        speed::{Allowance, Evidence, Report, Sender, Switch, Turn},
    },
    mesh::{
        load_propagation_delay_ms,
        table::{self, MAX_HEARTBEAT_AGE_ERROR_MS, State, Table},
    },
    util::{common, name_hash, position, random_id},
    wire::{Cached, Under, Work},
};

/// Time for which a replica is used after its last heartbeat, in ms: three
/// heartbeat intervals and the delay of a heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 4500;
/// Time for which a replica is used without heartbeats after it last began to
/// answer this node, in ms.
const ANSWER_VALIDITY_MS: u64 = 3000;
/// Time for which a replica counts as working after it last began to answer
/// this node, in ms. A request that waits there may just be queued.
const ACTIVITY_WINDOW_MS: u64 = 1000;
/// Time after a replica's last heartbeat for which it is certain to run the
/// software version that the heartbeat named, in ms: one heartbeat interval and
/// the time in which nodes learn of a heartbeat.
const VERSION_VALIDITY_MS: u64 = 2200;
/// Initial estimate of the time to read one prompt token, in ms; the router
/// learns the actual time.
const INITIAL_TOKEN_MS: f32 = 0.02;
/// Time by which each running request delays the first token of the next
/// request, in ms. Each one lengthens a decoding step by some hundredths of a
/// millisecond, and a first token takes a few dozen steps under load.
const BATCH_DELAY_MS: f32 = 1.5;
/// Initial estimate of the time for which a request to an engine holds its
/// slot, in ms.
const INITIAL_ENGINE_HOLD_MS: f32 = 1000.0;
/// Initial estimate of the time for which a plain request holds its slot, in
/// ms.
const INITIAL_PLAIN_HOLD_MS: f32 = 50.0;

common! {
    /// Replica chosen for an attempt.
    pub struct Target {
        /// Id of the replica.
        pub replica: String,
        /// Address that the replica listens on.
        pub address: SocketAddrV4,
        /// Ticket of the attempt, which the router takes back at its end.
        pub ticket: Ticket,
        /// Prompt tokens that the replica probably has in its cache.
        pub cached_tokens: u32,
        /// Address of the replica to fetch more of the prompt's cache from.
        pub fetch_from: Option<SocketAddrV4>,
        /// Predicted time to the first byte, in ms.
        pub predicted_ms: f32,
        /// Version of the replica's software; empty if unknown.
        pub version: String,
        /// Whether it is certain that the replica still runs that version.
        pub is_version_certain: bool,
    }
}

impl Target {
    /// Returns the version of the replica's software, or an empty text if it
    /// is not certain.
    pub fn certain_version(&self) -> &str {
        if self.is_version_certain { &self.version } else { "" }
    }
}

common! {
    /// Replicas of one service that are probed at the same time.
    pub struct ProbeRound {
        /// Name of the service.
        pub service: String,
        /// Number of replicas that should be probed, if there are as many.
        pub asked: usize,
        /// Ids and addresses of the replicas.
        pub replicas: Vec<(String, SocketAddrV4)>,
    }
}

common! {
    struct Place {
        /// Hash of the id, the address, and hash of the software version.
        /// Differs if the replica has changed.
        key: (u64, u32, u32, u64),
        replica: String,
        address: SocketAddrV4,
        /// Wall time at which the incarnation started, in ms.
        born: u64,
        /// Version of its software; empty if unknown.
        version: String,
        is_version_certain: bool,
        answered_at: u64,
        /// When a connection of this node to it last failed.
        failed_at: Option<u64>,
    }
}

#[derive(Debug)]
struct Routed {
    name: String,
    pool: Pool,
    /// Sorted by replica.
    places: Vec<Place>,
    retries: Window,
    reach: Reach,
    /// Whether the weights are those of a service in the plan.
    planned: bool,
}

/// Services that have or had replicas.
#[derive(Debug)]
pub struct Fleet {
    data_centre: String,
    bound: Bound,
    /// When the retry budgets began to count, if another process may have
    /// counted before.
    counts_retries_since: Option<u64>,
    /// Part of a retry that is added before allowances are rounded down.
    retry_rounding: f32,
    /// Sorted by name.
    services: Vec<Routed>,
    /// Parts that this node has sent to replicas lately, with the time, to be
    /// reported to other nodes.
    cached: Vec<(u64, Cached)>,
    /// Parts that all nodes have sent to replicas lately.
    memory: Memory,
    backoffs: Backoffs,
    speed_switch: Switch,
    /// Limits the bytes in which speeds are reported.
    allowance: Allowance,
    /// The last reports of speeds.
    speed_reports: Vec<Report>,
    /// The nodes that report speeds, sorted by address.
    speed_senders: Vec<(u32, u64)>,
}

/// Time for which a part sent to a replica is reported to the other nodes, in
/// ms. It spans several datagrams, as one may be lost and as not every node is
/// sent one in each round if there are many.
const REPORT_PERIOD_MS: u64 = 1300;
/// Parts reported in one datagram, in 1.8 kB: as many as an active node with
/// forty requests a second sends within the report period.
const MAX_REPORTED_PARTS: usize = 64;

impl Fleet {
    /// Creates a fleet without replicas, for a node in `data_centre`.
    pub fn open(data_centre: &str, bound: Bound) -> Fleet {
        let data_centre = data_centre.to_owned();
        Fleet {
            data_centre,
            bound,
            counts_retries_since: None,
            retry_rounding: rand::random_range(0.0..1.0),
            services: Vec::new(),
            cached: Vec::new(),
            memory: Memory::default(),
            backoffs: Backoffs::default(),
            speed_switch: Switch::Auto,
            allowance: Allowance::default(),
            speed_reports: Vec::new(),
            speed_senders: Vec::new(),
        }
    }

    /// Sets whether the speed of replicas counts.
    pub fn with_speed_switch(mut self, switch: Switch) -> Fleet {
        self.speed_switch = switch;
        self
    }

    /// Updates the services from the mesh table and the plan.
    pub fn refresh(&mut self, now: u64, table: &Table, plan: Option<&Plan>) {
        let usable = || {
            let replicas = table.replicas().iter();
            replicas.filter(|replica| replica.is_usable(now))
        };
        let mut names: Vec<&str> = Vec::new();
        for replica in usable() {
            let name = replica.sighting.service.as_str();
            // A linear search will do: there are few services, although one
            // may have a thousand replicas.
            if !names.contains(&name) {
                names.push(name);
            }
        }
        for name in &names {
            let planned = plan.and_then(|plan| plan.service(name));
            let at = self.service_or_new(name, planned);
            let replicas =
                usable().filter(|replica| replica.sighting.service == *name);
            let near = &self.data_centre;
            let memory = &self.memory;
            self.services[at].refresh(now, near, replicas, table, memory);
        }
        self.memory.expire(now);
        self.apply_backoffs(now, table);
        for service in &mut self.services {
            if !names.contains(&service.name.as_str()) {
                service.pool.set_replicas(&self.data_centre, &[]);
                service.places.clear();
            }
        }
        let recipients = table.members(now).count();
        self.allowance.set(table.nodes().len() + 1, recipients);
        let peers = table.live_entry_count(now);
        for service in &mut self.services {
            service.pool.set_peers(peers);
        }
    }

    /// Passes the backoffs in force on to the routers, whose replicas may be
    /// new incarnations.
    fn apply_backoffs(&mut self, now: u64, table: &Table) {
        if self.backoffs.is_empty() {
            return;
        }
        let key = |replica: &table::Replica| {
            backoff_key(replica.sighting.id.as_str())
        };
        let mut known: Vec<u64> = table.replicas().iter().map(key).collect();
        known.sort_unstable();
        self.backoffs
            .expire(now, |replica| known.binary_search(&replica).is_ok());
        for service in &mut self.services {
            for (at, place) in service.places.iter().enumerate() {
                let until = self
                    .backoffs
                    .until(backoff_key(&place.replica), place.born);
                service.pool.set_backoff_at(at, until);
            }
        }
    }

    fn service_or_new(
        &mut self,
        name: &str,
        planned: Option<&Service>,
    ) -> usize {
        let switch = self.speed_switch;
        let open = || {
            let weights = weights_for(planned);
            let mut pool = Pool::open(Policy::Cost, weights, random_id());
            pool.set_speed_switch(switch);
            pool
        };
        match position(&self.services, name, |routed| routed.name.as_str()) {
            Ok(at) => {
                let routed = &mut self.services[at];
                if !routed.planned && planned.is_some() {
                    // The replicas were known before the plan, and no request
                    // has been routed yet.
                    routed.pool = open();
                    routed.places.clear();
                    routed.planned = true;
                }
                at
            }
            Err(at) => {
                let routed = Routed {
                    name: name.to_owned(),
                    pool: open(),
                    places: Vec::new(),
                    retries: Window::open(
                        self.bound,
                        self.counts_retries_since,
                        self.retry_rounding,
                    ),
                    reach: Reach::default(),
                    planned: planned.is_some(),
                };
                self.services.insert(at, routed);
                at
            }
        }
    }

    fn find(&mut self, service: &str) -> Option<&mut Routed> {
        self.find_at(service).map(|at| &mut self.services[at])
    }

    fn find_at(&self, service: &str) -> Option<usize> {
        position(&self.services, service, |routed| routed.name.as_str()).ok()
    }

    /// Chooses a replica and counts the request as in flight there.
    pub fn pick(
        &mut self,
        now: u64,
        service: &str,
        request: &RouteRequest<'_>,
    ) -> Option<Target> {
        let routed = self.find(service)?;
        let choice = routed.pool.pick(now, request)?;
        routed.target(now, choice)
    }

    /// Like [`Fleet::pick`], for a request that may be used to find out
    /// whether a slow replica has recovered.
    pub fn pick_or_retry_slow(
        &mut self,
        now: u64,
        service: &str,
        request: &RouteRequest<'_>,
    ) -> Option<Target> {
        let routed = self.find(service)?;
        let choice = match routed.pool.pick_retrial(now, request) {
            Some(choice) => choice,
            None => routed.pool.pick(now, request)?,
        };
        routed.target(now, choice)
    }

    /// Records the parts of a prompt that a replica was sent and did not have.
    ///
    /// The last part is left out: it belongs to this request alone, so no
    /// other request will contain it.
    pub fn record_sent_parts(
        &mut self,
        now: u64,
        service: &str,
        target: &Target,
        parts: &[(u64, u32)],
    ) {
        let shared = parts.len().saturating_sub(1);
        let mut tokens = 0;
        for (path, part) in path_hashes(parts).take(shared) {
            tokens += part;
            if tokens <= target.cached_tokens {
                continue;
            }
            let cached = Cached {
                service: name_hash(service),
                replica: name_hash(&target.replica),
                path,
                blocks: block_count(part),
            };
            self.cached.push((now, cached));
            self.memory.record(now, cached);
        }
    }

    /// Returns the newest parts sent to replicas, for the other nodes.
    pub fn next_cached_reports(&mut self, now: u64) -> Vec<Cached> {
        self.cached.retain(|(at, _)| now < at + REPORT_PERIOD_MS);
        let newest = self.cached.iter().rev().take(MAX_REPORTED_PARTS);
        newest.map(|(_, cached)| *cached).collect()
    }

    /// Records parts that other nodes have sent to replicas.
    pub fn record_cached_reports(&mut self, now: u64, cached: &[Cached]) {
        for part in cached {
            if !self.memory.record(now, *part) {
                continue;
            }
            let routed = self
                .services
                .iter_mut()
                .find(|routed| name_hash(&routed.name) == part.service);
            if let Some(routed) = routed {
                routed
                    .pool
                    .record_sent_by_others(part.replica, &cached_blocks(part));
            }
        }
    }

    /// Returns the parts that all nodes have sent to replicas lately.
    pub fn cached(&self) -> Vec<Cached> {
        self.memory.all()
    }

    /// Counts a first attempt at a service.
    pub fn record_first_attempt(&mut self, now: u64, service: &str) {
        if let Some(routed) = self.find(service) {
            routed.retries.record_first_attempt(now);
        }
    }

    /// Forgets all attempts: from now on, the retry budgets count as those of
    /// a process that has just started.
    pub fn restart_retries(&mut self, now: u64) {
        self.counts_retries_since = Some(now);
        for routed in &mut self.services {
            routed.retries =
                Window::open(self.bound, Some(now), self.retry_rounding);
        }
    }

    /// Counts a retry at a service if the retry budget allows one. Returns
    /// `None` for an unknown service.
    pub fn try_retry(
        &mut self,
        now: u64,
        service: &str,
        entries: Option<usize>,
    ) -> Option<Claim> {
        let routed = self.find(service)?;
        Some(routed.retries.try_retry(now, entries))
    }

    /// Takes back a retry that was counted at `at` and has not arrived at a
    /// replica.
    pub fn return_retry(&mut self, at: u64, service: &str) {
        if let Some(routed) = self.find(service) {
            routed.retries.return_retry(at);
        }
    }

    /// Returns what has been used of the retry budget of each service.
    pub fn retry_usage(
        &mut self,
        now: u64,
        entries: Option<usize>,
    ) -> impl Iterator<Item = (&str, Usage)> {
        self.services.iter_mut().map(move |routed| {
            let usage = routed.retries.usage(now, entries);
            (routed.name.as_str(), usage)
        })
    }

    /// Records that a replica began to answer, with the load that it
    /// announced.
    pub fn record_start(
        &mut self,
        now: u64,
        service: &str,
        target: &Target,
        load: Option<u32>,
    ) {
        let Some(routed) = self.find(service) else { return };
        routed.reach.record_heard(now);
        routed.pool.record_progress(now, target.ticket, true);
        if let Some(load) = load {
            routed.pool.record_load(now, &target.replica, 0, load, 0);
        }
        let at =
            position(&routed.places, &target.replica, |place| &place.replica);
        if let Ok(at) = at {
            routed.places[at].answered_at = now;
        }
    }

    /// Records the figure that a replica reported with an answer.
    pub fn record_figure(
        &mut self,
        now: u64,
        service: &str,
        replica: &str,
        percent: f32,
    ) {
        if let Some(routed) = self.find(service) {
            routed.pool.record_figure(now, replica, 0, percent);
        }
    }

    /// Returns the relative time to the beginning of an answer; see
    /// [`Pool::first_sample`].
    pub fn first_sample(
        &mut self,
        now: u64,
        service: &str,
        ticket: Ticket,
    ) -> Option<f32> {
        self.find(service)?.pool.first_sample(now, ticket)
    }

    /// Records a replica's relative time.
    pub fn record_sample(
        &mut self,
        now: u64,
        service: &str,
        ticket: Ticket,
        log_time: f32,
    ) {
        if let Some(routed) = self.find(service) {
            routed.pool.record_sample(now, ticket, log_time);
        }
    }

    /// Records the mean time between two pieces of a complete answer.
    pub fn record_gap(
        &mut self,
        now: u64,
        service: &str,
        ticket: Ticket,
        gap_ms: f32,
    ) {
        if let Some(routed) = self.find(service) {
            routed.pool.record_gap(now, ticket, gap_ms);
        }
    }

    /// Returns reports of the speed of replicas, as many as other nodes may be
    /// sent now. Those sent since a moment ago are repeated.
    pub fn next_speed_reports(&mut self, now: u64) -> Vec<u64> {
        if let Some(count) = self.allowance.next(now) {
            self.speed_reports.clear();
            for routed in &mut self.services {
                let most = count - self.speed_reports.len();
                let reports = routed.pool.take_reports(now, most);
                self.speed_reports.extend(reports);
            }
            self.allowance.spend(self.speed_reports.len());
        }
        self.speed_reports.iter().map(Report::pack).collect()
    }

    /// Records another node's reports of the speed of replicas.
    pub fn record_speed_reports(
        &mut self,
        now: u64,
        sender: Sender,
        packed: &[u64],
    ) {
        let senders = &mut self.speed_senders;
        match position(senders, &sender.ip, |(ip, _)| ip) {
            Ok(at) if senders[at].1 == sender.incarnation => {}
            Ok(at) => {
                senders[at].1 = sender.incarnation;
                for routed in &mut self.services {
                    routed.pool.forget_reports(sender.ip);
                }
            }
            Err(_) if packed.is_empty() => return,
            Err(at) => senders.insert(at, (sender.ip, sender.incarnation)),
        }
        if packed.is_empty() {
            return;
        }
        let reports: Vec<Report> =
            packed.iter().map(|one| Report::unpack(*one)).collect();
        for routed in &mut self.services {
            routed.pool.record_reports(now, sender, &reports);
        }
    }

    /// Returns the replicas that were declared slow or well, by service.
    pub fn take_speed_turns(
        &mut self,
    ) -> Vec<(String, String, Turn, Evidence)> {
        let mut all = Vec::new();
        for routed in &mut self.services {
            for (id, turn, evidence) in routed.pool.take_speed_turns() {
                all.push((routed.name.clone(), id, turn, evidence));
            }
        }
        all
    }

    /// Returns the number of replicas that are considered slow, by service
    /// where speeds count.
    pub fn slow_counts(
        &self,
        now: u64,
    ) -> impl Iterator<Item = (&str, usize)> {
        let on = self.services.iter().filter(|one| one.pool.has_speeds());
        on.map(move |routed| {
            let count = routed.pool.slow_replicas(now).count();
            (routed.name.as_str(), count)
        })
    }

    /// Records that a piece of a response arrived.
    pub fn record_progress(
        &mut self,
        now: u64,
        service: &str,
        ticket: Ticket,
    ) {
        if let Some(routed) = self.find(service) {
            routed.reach.record_heard(now);
            routed.pool.record_progress(now, ticket, false);
        }
    }

    /// Records that the replica of an attempt has been silent for long.
    pub fn record_silence(&mut self, now: u64, service: &str, ticket: Ticket) {
        if let Some(routed) = self.find(service) {
            routed.pool.record_silence(now, ticket);
        }
    }

    /// Records that a replica of a service sent something.
    pub fn record_heard(&mut self, now: u64, service: &str) {
        if let Some(routed) = self.find(service) {
            routed.reach.record_heard(now);
        }
    }

    /// Records that a connection to a replica of a service failed.
    pub fn record_connection_failure(
        &mut self,
        now: u64,
        service: &str,
        replica: &str,
    ) {
        let Some(routed) = self.find(service) else { return };
        routed.reach.record_failure();
        let at = position(&routed.places, replica, |place| &place.replica);
        if let Ok(at) = at {
            routed.places[at].failed_at = Some(now);
            routed.places[at].is_version_certain = false;
            routed.pool.doubt_version(replica, 0);
        }
    }

    /// Returns what is known of the connections to a service's replicas.
    pub fn reach(&self, service: &str) -> Option<&Reach> {
        let at =
            position(&self.services, service, |routed| routed.name.as_str());
        at.ok().map(|at| &self.services[at].reach)
    }

    /// Returns the hashes of the names of the services that this node does
    /// not reach, sorted.
    pub fn unreachable(&self) -> Vec<u64> {
        let mut hashes: Vec<u64> = self
            .services
            .iter()
            .filter(|routed| routed.reach.is_unreachable())
            .map(|routed| name_hash(&routed.name))
            .collect();
        hashes.sort_unstable();
        hashes
    }

    /// Returns the replicas to be probed now, by service, and begins these
    /// rounds of probes.
    pub fn begin_probes(&mut self, now: u64) -> Vec<ProbeRound> {
        let mut rounds = Vec::new();
        for routed in &mut self.services {
            let asked = routed.reach.begin_probes(now);
            if asked == 0 {
                continue;
            }
            let replicas = match routed.reach.is_unreachable() {
                true => routed.sample(now, asked),
                false => routed.latest_to_answer(now, asked),
            };
            let service = routed.name.clone();
            rounds.push(ProbeRound { service, asked, replicas });
        }
        rounds
    }

    /// Returns the ids and addresses of the `count` replicas that answered
    /// this node last, of those that may be sent requests.
    pub fn latest_to_answer(
        &mut self,
        now: u64,
        service: &str,
        count: usize,
    ) -> Vec<(String, SocketAddrV4)> {
        let Some(routed) = self.find(service) else { return Vec::new() };
        routed.latest_to_answer(now, count)
    }

    /// Applies the results of a round of probes.
    pub fn end_probes(
        &mut self,
        now: u64,
        round: &ProbeRound,
        probes: &[Probe],
    ) -> Option<Change> {
        let routed = self.find(&round.service)?;
        routed.reach.end_probes(now, round.asked, probes)
    }

    /// Records the end of an attempt.
    pub fn record_end(
        &mut self,
        now: u64,
        service: &str,
        ticket: Ticket,
        started: bool,
        outcome: Outcome,
    ) {
        let Some(routed) = self.find(service) else { return };
        routed.reach.record_end();
        match outcome {
            Outcome::Completed { held_ms } => {
                routed.pool.record_end(
                    now,
                    ticket,
                    started,
                    Some(held_ms as f32),
                );
            }
            Outcome::Failed | Outcome::Disconnected => {
                routed.pool.record_end(now, ticket, started, None);
            }
            Outcome::Abandoned | Outcome::BackedOff => {
                routed.pool.abandon(ticket, now, started)
            }
            Outcome::NotSent => routed.pool.cancel_unsent(ticket, now),
        }
    }

    /// Sets this node's shares of the replicas' rate limits, sorted by
    /// replica.
    pub fn set_rate_limits(&mut self, now: u64, parts: &[Allocation]) {
        for service in &mut self.services {
            service.pool.set_rate_limits(now, parts);
        }
    }

    /// Queues a caller for whom no replica of a service has room now; see
    /// [`Pool::enqueue`].
    pub fn enqueue(
        &mut self,
        now: u64,
        service: &str,
    ) -> Option<(Shortage, u64)> {
        self.find(service)?.pool.enqueue(now)
    }

    /// Records that a replica wants no requests until `until`, as it said at
    /// the wall time `wall_ms`. Returns true if that is later than was known.
    pub fn record_backoff(
        &mut self,
        now: u64,
        service: &str,
        replica: &str,
        until: u64,
        wall_ms: u64,
    ) -> bool {
        let Some(at) = self.find_at(service) else { return false };
        let routed = &mut self.services[at];
        let key = backoff_key(replica);
        let born = routed.born(replica);
        let before = self.backoffs.until(key, born);
        self.backoffs.record(now, key, Notice { until, wall_ms, born });
        let until = self.backoffs.until(key, born);
        routed.pool.set_backoff(replica, 0, until);
        until > before
    }

    /// Records how many rejections a second a replica bears; `None` if it
    /// bears any number. Returns true if that has changed.
    pub fn record_brittle(
        &mut self,
        service: &str,
        replica: &str,
        rejections_per_s: Option<f32>,
    ) -> bool {
        let Some(routed) = self.find(service) else { return false };
        routed.pool.set_brittle(replica, 0, rejections_per_s)
    }

    /// Records that a replica rejected a request for want of room.
    pub fn record_rejected(
        &mut self,
        now: u64,
        service: &str,
        ticket: Ticket,
    ) {
        if let Some(routed) = self.find(service) {
            routed.pool.record_rejected(now, ticket);
        }
    }

    /// Returns the number of replicas with a backoff in force.
    pub fn backing_off(&self, now: u64) -> usize {
        self.backoffs.count(now)
    }

    /// Returns the id of the replica with this hash, if it is known.
    pub fn name_of(&self, hash: u64) -> Option<&str> {
        let places = self.services.iter().flat_map(|routed| &routed.places);
        let mut found = places.filter(|place| place.key.0 == hash);
        found.next().map(|place| place.replica.as_str())
    }

    /// Whether the replica with this hash may be used.
    pub fn knows(&self, hash: u64) -> bool {
        self.name_of(hash).is_some()
    }

    /// Returns this node's requests in flight, for the other nodes.
    pub fn in_flight(&self) -> Vec<Under> {
        let pools =
            self.services.iter().flat_map(|routed| routed.pool.own_loads());
        pools
            .filter(|(_, count, _)| *count > 0)
            .map(|(id, count, pending)| Under {
                replica: table::replica_hash(id),
                count,
                pending,
            })
            .collect()
    }

    /// Returns the work of this node's requests since its start, by service.
    pub fn work(&self) -> Vec<Work> {
        self.services
            .iter()
            .map(|routed| Work {
                service: name_hash(&routed.name),
                ms: routed.pool.work_ms(),
            })
            .filter(|work| work.ms > 0)
            .collect()
    }

    /// Whether a replica has begun to answer any request of this node lately.
    pub fn is_answering(
        &self,
        now: u64,
        service: &str,
        replica: &str,
    ) -> bool {
        now < self.answered_at(service, replica) + ACTIVITY_WINDOW_MS
    }

    /// Returns when a replica last began to answer this node, or 0 if it never
    /// did.
    pub fn answered_at(&self, service: &str, replica: &str) -> u64 {
        let at =
            position(&self.services, service, |routed| routed.name.as_str());
        let Ok(at) = at else { return 0 };
        let places = &self.services[at].places;
        position(places, replica, |place| place.replica.as_str())
            .map_or(0, |at| places[at].answered_at)
    }

    /// Whether the replica with this id may be used.
    pub fn has_replica(&self, replica: &str) -> bool {
        self.services.iter().any(|service| {
            position(&service.places, replica, |place| place.replica.as_str())
                .is_ok()
        })
    }

    /// Returns the slots of a service's serving replicas with a software
    /// version, those of its other serving replicas, and the estimated number
    /// of requests in flight at all of them.
    pub fn slots_by_version(
        &mut self,
        service: &str,
        version: u64,
    ) -> (u32, u32, f32) {
        let Some(routed) = self.find(service) else { return (0, 0, 0.0) };
        let (of, others) = routed.pool.slots_by_version(version);
        (of, others, routed.pool.load())
    }

    /// Returns the number of this node's requests in flight at a service's
    /// replicas with other software versions than this one.
    pub fn in_flight_except(&mut self, service: &str, version: u64) -> u32 {
        let routed = self.find(service);
        routed.map_or(0, |routed| routed.pool.in_flight_except(version))
    }

    /// Returns true if a service's replicas have several software versions.
    pub fn has_several_versions(&mut self, service: &str) -> bool {
        let routed = self.find(service);
        routed.is_some_and(|routed| routed.pool.has_several_versions())
    }

    /// Returns what the replicas of a service can take now.
    pub fn capacity(&self, now: u64, service: &str) -> Option<Capacity> {
        let at = self.find_at(service)?;
        Some(self.services[at].pool.capacity(now))
    }

    /// Returns how many replicas of a service may be used, their slots, and
    /// the estimated number of requests in flight there.
    pub fn load(&self, service: &str) -> (usize, u32, f32) {
        let at =
            position(&self.services, service, |routed| routed.name.as_str());
        match at {
            Ok(at) => {
                let pool = &self.services[at].pool;
                (pool.len(), pool.slots(), pool.load())
            }
            Err(_) => (0, 0, 0.0),
        }
    }
}

common! {
    copy
    /// How an attempt ended.
    pub enum Outcome {
        /// The response is complete.
        Completed {
            /// Time for which the request held its slot, in ms.
            held_ms: u32,
        },
        /// The replica failed.
        Failed,
        /// The replica closed the connection before the response was complete.
        Disconnected,
        /// The attempt was given up for a reason that says nothing about the
        /// replica.
        Abandoned,
        /// The replica rejected the request and requested a backoff.
        BackedOff,
        /// The request was not sent.
        NotSent,
    }
}

impl Routed {
    fn target(&mut self, now: u64, choice: Choice) -> Option<Target> {
        self.reach.record_begin(now);
        let place = self.place(&choice.id)?;
        let (address, version) = (place.address, place.version.clone());
        let is_version_certain = place.is_version_certain;
        let fetch_from = choice.fetch_from.and_then(|id| self.address(&id));
        Some(Target {
            replica: choice.id,
            address,
            fetch_from,
            ticket: choice.ticket,
            cached_tokens: choice.cached_tokens,
            predicted_ms: choice.predicted_ms,
            version,
            is_version_certain,
        })
    }

    fn place(&self, replica: &str) -> Option<&Place> {
        let at =
            position(&self.places, replica, |place| place.replica.as_str());
        at.ok().map(|at| &self.places[at])
    }

    fn address(&self, replica: &str) -> Option<SocketAddrV4> {
        self.place(replica).map(|place| place.address)
    }

    fn sample(
        &mut self,
        now: u64,
        count: usize,
    ) -> Vec<(String, SocketAddrV4)> {
        let ids = self.pool.sample(now, count, count);
        self.with_addresses(ids)
    }

    /// Returns the replicas that answered this node last. Of those that
    /// crashed lately, many may still be listed, and none answers.
    fn latest_to_answer(
        &mut self,
        now: u64,
        count: usize,
    ) -> Vec<(String, SocketAddrV4)> {
        let mut ids = self.pool.sample(now, count, usize::MAX);
        let answered_at = |id: &str| {
            let at = position(&self.places, id, |place| &place.replica);
            at.map_or(0, |at| self.places[at].answered_at)
        };
        ids.sort_by_cached_key(|id| std::cmp::Reverse(answered_at(id)));
        ids.truncate(count);
        self.with_addresses(ids)
    }

    fn with_addresses(&self, ids: Vec<String>) -> Vec<(String, SocketAddrV4)> {
        let with_address = |id: String| {
            let address = self.address(&id)?;
            Some((id, address))
        };
        ids.into_iter().filter_map(with_address).collect()
    }

    /// Returns the wall time at which a replica started, or 0.
    fn born(&self, replica: &str) -> u64 {
        self.place(replica).map_or(0, |place| place.born)
    }

    fn refresh<'a>(
        &mut self,
        now: u64,
        near: &str,
        replicas: impl Iterator<Item = &'a table::Replica> + Clone,
        table: &Table,
        memory: &Memory,
    ) {
        let is_fresh = |replica: &&table::Replica| {
            let is_heard = now < replica.heard_at + HEARTBEAT_TIMEOUT_MS;
            is_heard || self.has_answered(now, &replica.sighting.id)
        };
        // If no heartbeat arrives at all, this node is more likely cut off
        // than every replica down.
        let mut fresh = replicas.clone().filter(is_fresh);
        let none_fresh = fresh.all(|replica| replica.state != State::Ready);
        let availability = |replica: &table::Replica| {
            availability(replica, none_fresh || is_fresh(&replica))
        };
        // The list of replicas seldom changes. Comparing the numeric keys
        // avoids handling a thousand ids.
        let places = self.places.iter().map(|place| place.key);
        let is_same = places.eq(replicas.clone().map(key));
        if is_same {
            let statuses: Vec<Status> = replicas
                .clone()
                .map(|replica| Status {
                    availability: availability(replica),
                    slots: replica.sighting.slots,
                    reclaimable: replica.sighting.reclaimable,
                    is_version_certain: self.is_version_certain(now, replica),
                })
                .collect();
            for (place, status) in self.places.iter_mut().zip(&statuses) {
                place.is_version_certain = status.is_version_certain;
            }
            self.pool.set_statuses(&statuses);
        } else {
            let identities: Vec<Identity> = replicas
                .clone()
                .map(|replica| Identity {
                    is_version_certain: self.is_version_certain(now, replica),
                    ..identity(replica, availability(replica))
                })
                .collect();
            self.pool.set_replicas(near, &identities);
            self.set_places(now, replicas.clone(), memory);
        }
        let lag_ms =
            load_propagation_delay_ms(table.entry_counts(now).0) as u64;
        let loads = table.loads(now);
        for (at, replica) in replicas.enumerate() {
            // The requests that other nodes have sent to a new replica are not
            // known yet.
            if now >= replica.first_seen_at + lag_ms {
                let (load, pending) = loads.at(replica.hash());
                self.pool
                    .record_others_load_at(now, at, load, pending, lag_ms);
            }
        }
    }

    /// Replaces the list of replicas, and fills the index for new ones.
    fn set_places<'a>(
        &mut self,
        now: u64,
        replicas: impl Iterator<Item = &'a table::Replica>,
        memory: &Memory,
    ) {
        let places: Vec<&'a table::Replica> = replicas.collect();
        let certain: Vec<bool> = places
            .iter()
            .map(|replica| self.is_version_certain(now, replica))
            .collect();
        let old = std::mem::take(&mut self.places);
        for (replica, is_version_certain) in places.into_iter().zip(certain) {
            let says = &replica.sighting;
            let at = position(&old, &says.id, |place| &place.replica);
            self.places.push(Place {
                key: key(replica),
                replica: says.id.clone(),
                address: SocketAddrV4::new(
                    Ipv4Addr::from(says.ip),
                    says.port as u16,
                ),
                born: says.born,
                version: says.version.clone(),
                is_version_certain,
                answered_at: at.map_or(0, |at| old[at].answered_at),
                failed_at: at.ok().and_then(|at| old[at].failed_at),
            });
            if at.is_err() {
                let hash = replica.hash();
                for cached in memory.parts_of(hash) {
                    self.pool
                        .record_sent_by_others(hash, &cached_blocks(cached));
                }
            }
        }
    }

    /// Returns true if a replica still runs the software version that its last
    /// heartbeat named.
    ///
    /// A replica may restart with other software under its id and address, and
    /// does not check which version a request is meant for. The heartbeat must
    /// be recent, and newer than this node's last connection that failed.
    fn is_version_certain(&self, now: u64, replica: &table::Replica) -> bool {
        let failed_at =
            self.place(&replica.sighting.id).and_then(|place| place.failed_at);
        !replica.sighting.version.is_empty()
            && replica.remembered_until.is_none()
            && now < replica.heard_at + VERSION_VALIDITY_MS
            && failed_at.is_none_or(|at| {
                replica.heard_at > at + MAX_HEARTBEAT_AGE_ERROR_MS
            })
    }

    fn has_answered(&self, now: u64, replica: &str) -> bool {
        position(&self.places, replica, |place| place.replica.as_str())
            .is_ok_and(|at| {
                now < self.places[at].answered_at + ANSWER_VALIDITY_MS
            })
    }
}

fn key(replica: &table::Replica) -> (u64, u32, u32, u64) {
    let says = &replica.sighting;
    (replica.hash(), says.ip, says.port, name_hash(&says.version))
}

/// Returns the hash of the replica's id, without the incarnation.
fn backoff_key(replica: &str) -> u64 {
    name_hash(table::replica_of(replica))
}

fn availability(replica: &table::Replica, is_heard: bool) -> Availability {
    match replica.state {
        State::Ready if is_heard => Availability::Serving,
        State::Ready => Availability::Silent,
        State::Leaving | State::Departed => Availability::Leaving,
    }
}

fn identity(replica: &table::Replica, availability: Availability) -> Identity {
    let says = &replica.sighting;
    Identity {
        id: says.id.clone(),
        incarnation: 0,
        data_centre: says.data_centre.clone(),
        slots: says.slots,
        reclaimable: says.reclaimable,
        price: 0,
        availability,
        version: match says.version.as_str() {
            "" => UNKNOWN_VERSION,
            version => name_hash(version),
        },
        is_version_certain: false,
    }
}

fn weights_for(service: Option<&Service>) -> Weights {
    let engine = service.filter(|service| service.max_batch.is_some());
    let defaults = Weights::default();
    match engine {
        Some(engine) => Weights {
            token_ms: INITIAL_TOKEN_MS,
            hold_ms: INITIAL_ENGINE_HOLD_MS,
            batch_ms: BATCH_DELAY_MS,
            reclaim_ms: 0.0,
            block_tokens: BLOCK_TOKENS,
            fetch_token_ms: engine.fetch_ms,
            max_blocks_per_replica: (engine.cache_tokens
                / u64::from(BLOCK_TOKENS))
                as u32,
            ..defaults
        },
        None => Weights {
            hold_ms: INITIAL_PLAIN_HOLD_MS,
            reclaim_ms: 0.0,
            tolerance_ms: 1.0,
            ..defaults
        },
    }
}
