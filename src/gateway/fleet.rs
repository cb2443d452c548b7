//! The replicas of each service, with a router for each.
//!
//! Which replicas there are comes from the mesh; how loaded they are comes
//! from the requests that all nodes have under way, added up. What this node
//! sees itself goes before either: a replica whose heartbeats fail to arrive
//! but that answers is used, and one that fails requests is passed over.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::{
    memory::Memory,
    parts::{BLOCK_TOKENS, blocks_in, blocks_of_part, paths_of},
    plan::{Plan, Service},
};
use crate::{
    decide::{
        rate_limit::Part,
        retry::{Bound, Window},
        route::{
            Ask, Choice, Identity, Policy, Pool, Standing, Ticket, Weights,
        },
    },
    mesh::{
        load_lag_ms,
        table::{self, State, Table},
    },
    util::{common, name_hash, position, random_id},
    wire::{Cached, Under, Work},
};

/// A replica is used for this long after its last heartbeat, in ms: three of
/// them, and what one may be late.
const HEARTBEAT_LIMIT_MS: u64 = 4500;
/// A replica that answered this recently is used without heartbeats, in ms.
const ANSWERED_MS: u64 = 3000;
/// A replica that answered some request this recently is at work, in ms, and
/// another one that waits there may just stand in line.
const ANSWERING_MS: u64 = 1000;
/// Milliseconds to read a token of prompt, at first; the router learns it.
const TOKEN_MS: f32 = 0.02;
/// Milliseconds that a running request adds to the next one's first token:
/// a decoding step grows by some hundredths of a millisecond each, and a
/// first token takes a few dozen steps' time under load.
const BATCH_MS: f32 = 1.5;
/// How long an engine's request holds its slot at first, in ms.
const ENGINE_HOLD_MS: f32 = 1000.0;
/// How long a plain request holds its slot at first, in ms.
const PLAIN_HOLD_MS: f32 = 50.0;

common! {
    /// A replica that was chosen.
    pub struct Target {
        /// Its id.
        pub replica: String,
        /// Where it listens.
        pub address: SocketAddrV4,
        /// To be handed back.
        pub ticket: Ticket,
        /// Prompt tokens that it probably has in its cache.
        pub cached_tokens: u32,
        /// Where it should fetch more of the prompt.
        pub fetch_from: Option<SocketAddrV4>,
        /// Expected time to the first byte, in ms.
        pub predicted_ms: f32,
    }
}

common! {
    struct Place {
        /// The hash of its id, and its address: what shows that it has changed.
        key: (u64, u32, u32),
        replica: String,
        address: SocketAddrV4,
        answered_at: u64,
    }
}

common! {
    /// What keeps requests from the replicas of a service for now.
    pub struct Queue {
        /// Those that have named the rate that they take.
        pub replicas: usize,
        /// That of all of them, in requests a second.
        pub rate: f32,
        /// When it is a caller's turn, in ms.
        pub wait_ms: u64,
    }
}

#[derive(Debug)]
struct Routed {
    name: String,
    pool: Pool,
    /// Sorted by replica.
    places: Vec<Place>,
    repeats: Window,
    /// The weights are those of a planned service.
    planned: bool,
    /// When the last caller was told to come back whom no replica's limit had
    /// room for.
    queue_end: u64,
}

/// All services that have replicas or are planned.
#[derive(Debug)]
pub struct Fleet {
    data_centre: String,
    bound: Bound,
    /// Sorted by name.
    services: Vec<Routed>,
    /// What this node has sent to replicas lately, to be told, with the time.
    cached: Vec<(u64, Cached)>,
    /// What all nodes have.
    memory: Memory,
}

/// Callers that limits have no room for are told to come back within this
/// time, in ms: few wait longer.
const LONGEST_QUEUE_MS: u64 = 5000;
/// For so long a part that a replica was sent is told to the other nodes, in
/// ms: in several datagrams, as one may be lost and as not all nodes are told
/// in each round where there are many.
const TELL_MS: u64 = 1300;
/// Parts told in one datagram: what an active node with forty requests a second
/// sends in that time, in 1.8 kB.
const TOLD: usize = 64;

impl Fleet {
    /// Starts without replicas, in this data centre.
    pub fn open(data_centre: &str, bound: Bound) -> Fleet {
        let data_centre = data_centre.to_owned();
        Fleet {
            data_centre,
            bound,
            services: Vec::new(),
            cached: Vec::new(),
            memory: Memory::default(),
        }
    }

    /// Takes over what the mesh knows now.
    pub fn refresh(&mut self, now: u64, table: &Table, plan: Option<&Plan>) {
        let usable = || {
            let replicas = table.replicas().iter();
            replicas.filter(|replica| replica.may_be_used(now))
        };
        let mut names: Vec<&str> = Vec::new();
        for replica in usable() {
            let name = replica.says.service.as_str();
            // There are a few services, and a thousand replicas of one.
            if !names.contains(&name) {
                names.push(name);
            }
        }
        for name in &names {
            let planned = plan.and_then(|plan| plan.service(name));
            let at = self.service_or_new(name, planned);
            let replicas = usable().filter(|one| one.says.service == *name);
            let near = &self.data_centre;
            let memory = &self.memory;
            self.services[at].refresh(now, near, replicas, table, memory);
        }
        self.memory.expire(now);
        for service in &mut self.services {
            if !names.contains(&service.name.as_str()) {
                service.pool.set_replicas(&self.data_centre, &[]);
                service.places.clear();
            }
        }
        let peers = table.entries(now);
        for service in &mut self.services {
            service.pool.set_peers(peers);
        }
    }

    fn service_or_new(
        &mut self,
        name: &str,
        planned: Option<&Service>,
    ) -> usize {
        let open =
            || Pool::open(Policy::Cost, weights_for(planned), random_id());
        match position(&self.services, name, |one| one.name.as_str()) {
            Ok(at) => {
                let routed = &mut self.services[at];
                if !routed.planned && planned.is_some() {
                    // Its replicas came before the plan; no request did.
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
                    repeats: Window::open(self.bound),
                    planned: planned.is_some(),
                    queue_end: 0,
                };
                self.services.insert(at, routed);
                at
            }
        }
    }

    fn find(&mut self, service: &str) -> Option<&mut Routed> {
        let at = position(&self.services, service, |one| one.name.as_str());
        at.ok().map(|at| &mut self.services[at])
    }

    /// Chooses a replica and counts the request as under way there.
    pub fn pick(
        &mut self,
        now: u64,
        service: &str,
        ask: &Ask<'_>,
    ) -> Option<Target> {
        let routed = self.find(service)?;
        let choice: Choice = routed.pool.pick(now, ask)?;
        let address = routed.address(&choice.id)?;
        let fetch_from = choice.fetch_from.and_then(|id| routed.address(&id));
        Some(Target {
            replica: choice.id,
            address,
            fetch_from,
            ticket: choice.ticket,
            cached_tokens: choice.cached_tokens,
            predicted_ms: choice.predicted_ms,
        })
    }

    /// Notes the parts of a prompt that a replica was sent and did not have.
    ///
    /// The last part is the request's own; nobody else will ask for it.
    pub fn note_sent(
        &mut self,
        now: u64,
        service: &str,
        target: &Target,
        parts: &[(u64, u32)],
    ) {
        let shared = parts.len().saturating_sub(1);
        let mut tokens = 0;
        for (path, part) in paths_of(parts).take(shared) {
            tokens += part;
            if tokens <= target.cached_tokens {
                continue;
            }
            let cached = Cached {
                service: name_hash(service),
                replica: name_hash(&target.replica),
                path,
                blocks: blocks_in(part),
            };
            self.cached.push((now, cached));
            self.memory.note(now, cached);
        }
    }

    /// The newest of what replicas have been sent, for the other nodes.
    pub fn take_cached(&mut self, now: u64) -> Vec<Cached> {
        self.cached.retain(|(at, _)| now < at + TELL_MS);
        let newest = self.cached.iter().rev().take(TOLD);
        newest.map(|(_, cached)| *cached).collect()
    }

    /// Takes note of what other nodes have sent to replicas.
    pub fn note_cached(&mut self, now: u64, cached: &[Cached]) {
        for one in cached {
            if !self.memory.note(now, *one) {
                continue;
            }
            let routed = self
                .services
                .iter_mut()
                .find(|routed| name_hash(&routed.name) == one.service);
            if let Some(routed) = routed {
                routed.pool.sent_elsewhere(one.replica, &blocks_of_part(one));
            }
        }
    }

    /// What replicas have been sent lately, by all nodes.
    pub fn cached(&self) -> Vec<Cached> {
        self.memory.all()
    }

    /// Counts a first sending to a service.
    pub fn sent(&mut self, now: u64, service: &str) {
        if let Some(routed) = self.find(service) {
            routed.repeats.sent(now);
        }
    }

    /// Counts a repeat at a service, if there may be one.
    pub fn repeat(&mut self, now: u64, service: &str, entries: usize) -> bool {
        self.find(service)
            .is_some_and(|routed| routed.repeats.repeat(now, entries))
    }

    /// A replica began to answer, with the load that it named.
    pub fn began(
        &mut self,
        now: u64,
        service: &str,
        target: &Target,
        load: Option<u32>,
    ) {
        let Some(routed) = self.find(service) else { return };
        routed.pool.progress(now, target.ticket, true);
        if let Some(load) = load {
            routed.pool.report(now, &target.replica, 0, load, 0);
        }
        let at = position(&routed.places, &target.replica, |one| &one.replica);
        if let Ok(at) = at {
            routed.places[at].answered_at = now;
        }
    }

    /// A piece of an answer came.
    pub fn progress(&mut self, now: u64, service: &str, ticket: Ticket) {
        if let Some(routed) = self.find(service) {
            routed.pool.progress(now, ticket, false);
        }
    }

    /// A request ended.
    pub fn end(
        &mut self,
        now: u64,
        service: &str,
        ticket: Ticket,
        started: bool,
        end: End,
    ) {
        let Some(routed) = self.find(service) else { return };
        match end {
            End::Well { held_ms } => {
                routed.pool.end(now, ticket, started, Some(held_ms as f32));
            }
            End::Failed | End::Broken => {
                routed.pool.end(now, ticket, started, None);
            }
            End::Left => routed.pool.abandon(ticket, now, started),
            End::Unsent => routed.pool.take_back(ticket, now),
        }
    }

    /// Takes this node's parts of the replicas' limits, sorted by replica.
    pub fn set_limits(&mut self, now: u64, parts: &[Part]) {
        for service in &mut self.services {
            service.pool.set_limits(now, parts);
        }
    }

    /// When a caller should come back whom no replica of a service may take
    /// now, for the rates that they have named; `None` where none has.
    pub fn queue(&mut self, now: u64, service: &str) -> Option<Queue> {
        let routed = self.find(service)?;
        let (replicas, rate) = routed.pool.limited()?;
        let own = rate / (routed.pool.peers() + 1.0);
        let step_ms = (1000.0 / own.max(f32::MIN_POSITIVE)) as u64;
        let end = routed.queue_end.max(now).saturating_add(step_ms);
        routed.queue_end = end.min(now + LONGEST_QUEUE_MS);
        let wait_ms = routed.queue_end - now;
        Some(Queue { replicas, rate, wait_ms })
    }

    /// The replica that a hash stands for, if it is known.
    pub fn name_of(&self, hash: u64) -> Option<&str> {
        let places = self.services.iter().flat_map(|one| &one.places);
        let mut found = places.filter(|place| place.key.0 == hash);
        found.next().map(|place| place.replica.as_str())
    }

    /// True when a replica of that hash may be given work.
    pub fn knows(&self, hash: u64) -> bool {
        self.name_of(hash).is_some()
    }

    /// Requests of this node under way, for the other nodes.
    pub fn under(&self) -> Vec<Under> {
        let pools = self.services.iter().flat_map(|one| one.pool.own());
        pools
            .filter(|(_, count, _)| *count > 0)
            .map(|(id, count, pending)| Under {
                replica: table::replica_hash(id),
                count,
                pending,
            })
            .collect()
    }

    /// The work of this node's requests since its start, by service.
    pub fn work(&self) -> Vec<Work> {
        self.services
            .iter()
            .map(|one| Work {
                service: name_hash(&one.name),
                ms: one.pool.work_ms(),
            })
            .filter(|work| work.ms > 0)
            .collect()
    }

    /// True when a replica has answered this node lately, whatever request.
    pub fn is_answering(
        &self,
        now: u64,
        service: &str,
        replica: &str,
    ) -> bool {
        now < self.answered_at(service, replica) + ANSWERING_MS
    }

    /// When a replica last began to answer this node; 0 if it never did.
    pub fn answered_at(&self, service: &str, replica: &str) -> u64 {
        let at = position(&self.services, service, |one| one.name.as_str());
        let Ok(at) = at else { return 0 };
        let places = &self.services[at].places;
        position(places, replica, |one| one.replica.as_str())
            .map_or(0, |at| places[at].answered_at)
    }

    /// True when a replica of that id may be given work.
    pub fn has(&self, replica: &str) -> bool {
        self.services.iter().any(|service| {
            position(&service.places, replica, |one| one.replica.as_str())
                .is_ok()
        })
    }

    /// Replicas of a service that may be given work, and requests thought to
    /// be under way at all of them.
    pub fn load(&self, service: &str) -> (usize, u32, f32) {
        let at = position(&self.services, service, |one| one.name.as_str());
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
    /// How a request ended at its replica.
    pub enum End {
        /// With a whole answer, after so many ms.
        Well {
            /// For how long it held its slot, in ms.
            held_ms: u32,
        },
        /// By a fault of the replica.
        Failed,
        /// The replica closed the connection before its answer was whole.
        Broken,
        /// For a reason that says nothing about the replica.
        Left,
        /// Before it was sent.
        Unsent,
    }
}

impl Routed {
    fn address(&self, replica: &str) -> Option<SocketAddrV4> {
        let at = position(&self.places, replica, |one| one.replica.as_str());
        at.ok().map(|at| self.places[at].address)
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
            let heard = now < replica.heard_at + HEARTBEAT_LIMIT_MS;
            heard || self.answered(now, &replica.says.id)
        };
        // Where no heartbeat comes through at all, the fault is more likely
        // on this side of the cut than at every replica.
        let mut fresh = replicas.clone().filter(is_fresh);
        let none = fresh.all(|replica| replica.state != State::Ready);
        let standing = |replica: &table::Replica| {
            standing(replica, none || is_fresh(&replica))
        };
        // Which replicas there are changes seldom: a comparison of numbers
        // then takes the place of a thousand names.
        let places = self.places.iter().map(|place| place.key);
        let is_same = places.eq(replicas.clone().map(key));
        if is_same {
            let standings: Vec<(Standing, u32, bool)> = replicas
                .clone()
                .map(|one| {
                    (standing(one), one.says.slots, one.says.reclaimable)
                })
                .collect();
            self.pool.set_standings(&standings);
        } else {
            let identities: Vec<Identity> = replicas
                .clone()
                .map(|replica| identity(replica, standing(replica)))
                .collect();
            self.pool.set_replicas(near, &identities);
            self.place(replicas.clone(), memory);
        }
        let lag_ms = load_lag_ms(table.reach(now).0) as u64;
        let loads = table.loads(now);
        for (at, replica) in replicas.enumerate() {
            // What others have sent to one that is new is not known yet.
            if now >= replica.since + lag_ms {
                let (load, pending) = loads.at(replica.hash());
                self.pool.report_others_at(now, at, load, pending, lag_ms);
            }
        }
    }

    /// Takes the addresses of replicas that have changed.
    fn place<'a>(
        &mut self,
        replicas: impl Iterator<Item = &'a table::Replica>,
        memory: &Memory,
    ) {
        let old = std::mem::take(&mut self.places);
        for replica in replicas {
            let says = &replica.says;
            let at = position(&old, &says.id, |one| &one.replica);
            self.places.push(Place {
                key: key(replica),
                replica: says.id.clone(),
                address: SocketAddrV4::new(
                    Ipv4Addr::from(says.ip),
                    says.port as u16,
                ),
                answered_at: at.map_or(0, |at| old[at].answered_at),
            });
            if at.is_err() {
                let hash = replica.hash();
                for cached in memory.of(hash) {
                    self.pool.sent_elsewhere(hash, &blocks_of_part(cached));
                }
            }
        }
    }

    fn answered(&self, now: u64, replica: &str) -> bool {
        position(&self.places, replica, |one| one.replica.as_str())
            .is_ok_and(|at| now < self.places[at].answered_at + ANSWERED_MS)
    }
}

fn key(replica: &table::Replica) -> (u64, u32, u32) {
    (replica.hash(), replica.says.ip, replica.says.port)
}

fn standing(replica: &table::Replica, is_heard: bool) -> Standing {
    match replica.state {
        State::Ready if is_heard => Standing::Serving,
        State::Ready => Standing::Silent,
        State::Leaving | State::Gone => Standing::Leaving,
    }
}

fn identity(replica: &table::Replica, standing: Standing) -> Identity {
    let says = &replica.says;
    Identity {
        id: says.id.clone(),
        incarnation: 0,
        data_centre: says.data_centre.clone(),
        slots: says.slots,
        reclaimable: says.reclaimable,
        price: 0,
        standing,
    }
}

fn weights_for(service: Option<&Service>) -> Weights {
    let engine = service.filter(|service| service.batch.is_some());
    let defaults = Weights::default();
    match engine {
        Some(engine) => Weights {
            token_ms: TOKEN_MS,
            hold_ms: ENGINE_HOLD_MS,
            batch_ms: BATCH_MS,
            reclaim_ms: 0.0,
            block_tokens: BLOCK_TOKENS,
            fetch_ms: engine.fetch_ms,
            blocks: (engine.cache_tokens / u64::from(BLOCK_TOKENS)) as u32,
            ..defaults
        },
        None => Weights {
            hold_ms: PLAIN_HOLD_MS,
            reclaim_ms: 0.0,
            tolerance_ms: 1.0,
            ..defaults
        },
    }
}
