//! Runs a whole cluster as local processes, for scenarios and benches.
//!
//! Each process has its own address in 127.0.0.0/8 and keeps it across
//! restarts. Links between processes go through a [`Relay`], except that
//! entries may connect to endpoints directly: see
//! [`ClusterSpec::relay_endpoints`].

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

use azuremount::{
    control::client::{Client, Error},
    entry::dispatch::{Answer, Call, CallError, Dispatcher},
    wire::{
        ApplyConfig, Change, Empty, Outcome, Query, QueryReply, SourceFile,
        StatusReply, change, query, query_reply,
    },
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use serde_json::json;
use tokio::runtime::Runtime;

use super::relay::Relay;

/// Timeout of waits and calls, long enough that a busy machine does not fail
/// a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const PORT: u16 = 7700;
const PEER_PORT: u16 = 7701;

/// Name of the source of links to endpoints, which all entries share.
const ENTRIES: &str = "entries";

static CLUSTERS: AtomicU32 = AtomicU32::new(0);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Control,
    Entry,
    Model,
    Plain,
}

struct Process {
    role: Role,
    number: u8,
    child: Option<Child>,
    /// Flags in addition to those that the role requires.
    extra: Vec<String>,
}

/// Processes, configuration and flags of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    pub controls: u8,
    pub entries: u8,
    pub models: u8,
    pub plains: u8,
    pub base: String,
    pub sites: Vec<String>,
    pub control_flags: Vec<String>,
    pub model_flags: Vec<String>,
    pub plain_flags: Vec<String>,
    /// Whether entries connect to endpoints through a relay too.
    pub relay_endpoints: bool,
}

pub struct Cluster {
    pub runtime: Runtime,
    pub spec: ClusterSpec,
    pub dispatcher: Dispatcher,
    folder: PathBuf,
    network: (u8, u8),
    processes: BTreeMap<String, Process>,
    links: BTreeMap<(String, String), Relay>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn role_letter(role: Role) -> char {
    match role {
        Role::Control => 'c',
        Role::Entry => 'e',
        Role::Model => 'm',
        Role::Plain => 'p',
    }
}

/// Returns the second and third byte of a loopback /24 that is not in use.
fn free_network() -> (u8, u8) {
    let start = std::process::id();
    loop {
        let next = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let number = start.wrapping_mul(31).wrapping_add(next) % 50_000;
        let network = (10 + (number / 250) as u8, 1 + (number % 250) as u8);
        let first = Ipv4Addr::new(127, network.0, network.1, 1);
        if TcpListener::bind((first, PORT)).is_ok() {
            return network;
        }
    }
}

impl Cluster {
    /// Starts all processes.
    pub fn open(spec: ClusterSpec) -> Cluster {
        let network = free_network();
        let folder = std::env::temp_dir().join(format!(
            "azuremount-test-{}-{}-{}",
            std::process::id(),
            network.0,
            network.1
        ));
        fs::create_dir_all(&folder).expect("a folder for the cluster");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let mut cluster = Cluster {
            runtime,
            spec: spec.clone(),
            dispatcher: Dispatcher::open(),
            folder,
            network,
            processes: BTreeMap::new(),
            links: BTreeMap::new(),
        };
        for (role, count, flags) in [
            (Role::Control, spec.controls, &spec.control_flags),
            (Role::Entry, spec.entries, &Vec::new()),
            (Role::Model, spec.models, &spec.model_flags),
            (Role::Plain, spec.plains, &spec.plain_flags),
        ] {
            for number in 1..=count {
                let extra = flags.clone();
                let process = Process { role, number, child: None, extra };
                let name = format!("{}{number}", role_letter(role));
                cluster.processes.insert(name, process);
            }
        }
        let names: Vec<String> = cluster.processes.keys().cloned().collect();
        for name in names {
            cluster.start(&name);
        }
        cluster
    }

    fn ip(&self, name: &str) -> Ipv4Addr {
        let process = &self.processes[name];
        let host_offset = match process.role {
            Role::Control => 0,
            Role::Entry => 50,
            Role::Model => 100,
            Role::Plain => 200,
        };
        Ipv4Addr::new(
            127,
            self.network.0,
            self.network.1,
            host_offset + process.number,
        )
    }

    /// Returns the address on which a process listens.
    pub fn address(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.ip(name), PORT))
    }

    pub fn names(&self, role: Role) -> Vec<String> {
        let processes = self.processes.iter();
        processes
            .filter(|(_, process)| process.role == role)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the address of the relay from one process to another, starting
    /// the relay on first use.
    fn link(&mut self, from: &str, to: &str) -> SocketAddr {
        let key = (from.to_owned(), to.to_owned());
        if let Some(relay) = self.links.get(&key) {
            return relay.address();
        }
        let relay = Relay::spawn(&self.runtime, self.address(to));
        let address = relay.address();
        self.links.insert(key, relay);
        address
    }

    fn links_to(&mut self, from: &str, role: Role) -> String {
        let names = self.names(role);
        let addresses: Vec<String> =
            names.iter().map(|to| self.link(from, to).to_string()).collect();
        addresses.join(",")
    }

    pub fn site(&self, number: u8) -> String {
        let at = (number as usize - 1) % self.spec.sites.len();
        self.spec.sites[at].clone()
    }

    /// Starts a process and waits until it listens.
    pub fn start(&mut self, name: &str) {
        let (role, number, extra) = {
            let process = &self.processes[name];
            (process.role, process.number, process.extra.clone())
        };
        let listen = self.address(name).to_string();
        let programs = programs();
        let (program, mut flags) = match role {
            Role::Control => {
                let members: Vec<String> = self
                    .names(Role::Control)
                    .iter()
                    .map(|to| {
                        let address = match to == name {
                            true => self.address(to),
                            false => self.link(name, to),
                        };
                        format!("{}={address}", &to[1..])
                    })
                    .collect();
                let data = self.data_folder(name);
                let flags = vec![
                    ("--id", number.to_string()),
                    ("--listen", listen),
                    ("--members", members.join(",")),
                    ("--data-folder", data.display().to_string()),
                    ("--heartbeat-ms", "100".to_owned()),
                    ("--election-ms", "500".to_owned()),
                ];
                (programs.join("azuremount-control"), flags)
            }
            Role::Entry => {
                let peer = SocketAddr::from((self.ip(name), PEER_PORT));
                let flags = vec![
                    ("--id", name.to_owned()),
                    ("--listen", listen),
                    ("--peer-listen", peer.to_string()),
                    ("--data-centre", self.site(number)),
                    ("--control", self.links_to(name, Role::Control)),
                ];
                (programs.join("azuremount-entry"), flags)
            }
            Role::Model | Role::Plain => {
                let (kind, service) = match role {
                    Role::Model => ("model", "model"),
                    _ => ("plain", "alerts"),
                };
                let runs = self.folder.join("runs");
                let advertise = match self.spec.relay_endpoints {
                    true => self.link(ENTRIES, name),
                    false => self.address(name),
                };
                let flags = vec![
                    ("--kind", kind.to_owned()),
                    ("--id", name.to_owned()),
                    ("--service", service.to_owned()),
                    ("--listen", listen),
                    ("--data-centre", self.site(number)),
                    ("--entries", self.links_to(name, Role::Entry)),
                    ("--runs", runs.display().to_string()),
                    ("--advertise", advertise.to_string()),
                ];
                (programs.join("examples/standin"), flags)
            }
        };
        let mut arguments = Vec::new();
        for (flag, value) in flags.drain(..) {
            arguments.extend([flag.to_owned(), value]);
        }
        arguments.extend(extra);
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log");
        let mut child = Command::new(&program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                panic!("{}: {error}; build all targets", program.display())
            });
        let mut line = String::new();
        let stdout = child.stdout.take().expect("output");
        let mut reader = BufReader::new(stdout);
        reader.read_line(&mut line).expect("a first line");
        std::thread::spawn(move || for _ in reader.lines() {});
        let process = self.processes.get_mut(name).expect("a process");
        process.child = Some(child);
    }

    pub fn restart_killed(&mut self) {
        let down: Vec<String> = self
            .processes
            .iter()
            .filter(|(_, process)| process.child.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in down {
            self.start(&name);
        }
    }

    fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("data-{name}"))
    }

    /// Returns how often plain stand-ins ran the request with this key,
    /// according to the file to which they append their runs.
    pub fn runs(&self, key: &str) -> usize {
        let text = fs::read_to_string(self.folder.join("runs"));
        let text = text.unwrap_or_default();
        text.lines().filter(|line| *line == key).count()
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.join(format!("{name}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    fn child(&mut self, name: &str) -> &mut Child {
        let process = self.processes.get_mut(name).expect("a known process");
        process.child.as_mut().expect("a running process")
    }

    pub fn is_running(&self, name: &str) -> bool {
        self.processes[name].child.is_some()
    }

    /// Returns whether a process was not killed and has not exited by itself.
    pub fn is_alive(&mut self, name: &str) -> bool {
        let child = self.processes.get_mut(name).unwrap().child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn pid(&mut self, name: &str) -> u32 {
        self.child(name).id()
    }

    /// Applies the first configuration.
    pub fn apply_first(&mut self) {
        let config = self.config("first", 0, 8000);
        let applied = self.propose(change::Kind::Apply(config));
        applied.expect("a first configuration");
    }

    fn signal(&mut self, name: &str, signal: &str) {
        let pid = self.child(name).id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.expect("kill runs").success(), "{signal} {name}");
    }

    /// Kills a process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self, name: &str) {
        let child = self.child(name);
        child.kill().expect("a process can be killed");
        child.wait().expect("an end");
        self.processes.get_mut(name).expect("known").child = None;
    }

    /// Waits until a process exits by itself and returns its exit code.
    pub fn wait_for_exit(&mut self, name: &str) -> Option<i32> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            let ended = self.child(name).try_wait().expect("a status");
            if let Some(status) = ended {
                self.processes.get_mut(name).expect("known").child = None;
                return status.code();
            }
            sleep(Duration::from_millis(20));
        }
        panic!("{name} did not exit in time");
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&mut self, name: &str) {
        self.signal(name, "-TERM");
    }

    /// Sends SIGHUP to a process.
    pub fn hang_up(&mut self, name: &str) {
        self.signal(name, "-HUP");
    }

    pub fn freeze(&mut self, name: &str) {
        self.signal(name, "-STOP");
    }

    pub fn thaw(&mut self, name: &str) {
        self.signal(name, "-CONT");
    }

    /// Removes the data folder of a stopped member.
    pub fn wipe(&mut self, name: &str) {
        fs::remove_dir_all(self.data_folder(name)).expect("a folder");
    }

    /// Silences or restores the links between a process and processes of a
    /// role, or all its links if `role` is `None`.
    pub fn cut(&mut self, name: &str, role: Option<Role>, silent: bool) {
        for ((from, to), relay) in &self.links {
            let other = match (from == name, to == name) {
                (true, _) => to,
                (_, true) => from,
                _ => continue,
            };
            let other_role =
                self.processes.get(other).map(|process| process.role);
            let role_matches = role.is_none() || role == other_role;
            if role_matches {
                relay.set_silent(silent);
            }
        }
    }

    /// Returns the number of bytes sent over all links of a process.
    pub fn carried_bytes(&self, name: &str) -> u64 {
        let links = self.links.iter();
        links
            .filter(|((from, to), _)| from == name || to == name)
            .map(|(_, relay)| relay.carried())
            .sum()
    }

    /// Returns the number of bytes sent over the links from a process to the
    /// control members.
    pub fn carried_control_bytes(&self, name: &str) -> u64 {
        let links = self.links.iter();
        links
            .filter(|((from, to), _)| from == name && to.starts_with('c'))
            .map(|(_, relay)| relay.carried())
            .sum()
    }

    /// Silences the open connections to a process permanently; new connections
    /// work.
    pub fn silence_open_connections(&self, name: &str) {
        for ((_, to), relay) in &self.links {
            if to == name {
                relay.forget_open();
            }
        }
    }

    // ---- Calls -------------------------------------------------------------

    pub fn control(&self) -> Client {
        let names = self.names(Role::Control);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        self.control_at(&names)
    }

    pub fn control_at(&self, names: &[&str]) -> Client {
        let addresses: Vec<SocketAddr> =
            names.iter().map(|name| self.address(name)).collect();
        let _guard = self.runtime.enter();
        Client::open(&addresses)
    }

    pub fn propose(&self, kind: change::Kind) -> Result<Outcome, Error> {
        let client = self.control();
        let change = Change::new(kind);
        self.runtime.block_on(client.propose(change, TEST_TIMEOUT, true))
    }

    pub fn query(&self, kind: query::Kind) -> Result<QueryReply, Error> {
        let client = self.control();
        let query = Query { kind: Some(kind) };
        self.runtime.block_on(client.read(query, TEST_TIMEOUT))
    }

    pub fn status(&self) -> StatusReply {
        let reply = self.query(query::Kind::Status(Empty {}));
        match reply.expect("control answers").kind {
            Some(query_reply::Kind::Status(status)) => status,
            _ => panic!("no status"),
        }
    }

    /// Reads the status from one member only. Returns `None` if it is not the
    /// leader or does not answer.
    pub fn status_of(&self, name: &str) -> Option<StatusReply> {
        let client = self.control_at(&[name]);
        let query = Query { kind: Some(query::Kind::Status(Empty {})) };
        let limit = Duration::from_millis(1);
        let reply = self.runtime.block_on(client.read(query, limit));
        match reply.ok()?.kind {
            Some(query_reply::Kind::Status(status)) => Some(status),
            _ => None,
        }
    }

    pub fn leader(&self) -> String {
        format!("c{}", self.status().leader)
    }

    /// Returns the cluster's configuration with the given drain time in ms.
    pub fn config(
        &self,
        change_id: &str,
        from: u64,
        drain: u64,
    ) -> ApplyConfig {
        let file = |name: String, text: String| SourceFile { name, text };
        let base = self
            .spec
            .base
            .replace("[system]", &format!("[system]\ndrain_ms = {drain}"));
        let overlays = self.spec.sites.iter().map(|site| {
            let text = format!("site = \"{site}\"\n");
            file(format!("sites/{site}.toml"), text)
        });
        ApplyConfig {
            change_id: change_id.to_owned(),
            from_revision: from,
            base: Some(file("base.toml".to_owned(), base)),
            overlays: overlays.collect(),
        }
    }

    /// Polls until a condition holds. Panics with its name if it does not hold
    /// in time.
    pub fn wait(&self, what: &str, mut holds: impl FnMut(&Cluster) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !holds(self) {
            if Instant::now() > deadline {
                for name in self.processes.keys() {
                    eprintln!("---- {name}\n{}", self.log(name));
                }
                panic!("condition {what} did not hold in time");
            }
            sleep(Duration::from_millis(20));
        }
    }

    /// Sends one HTTP call to a process, without retries.
    pub fn http(
        &self,
        name: &str,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Answer, CallError> {
        let mut map = HeaderMap::new();
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).expect("a value");
            map.append(*name, value);
        }
        let call = Call {
            address: self.address(name),
            method,
            path: path.to_owned(),
            headers: map,
            body: Bytes::from(body.to_owned()),
        };
        self.runtime.block_on(self.dispatcher.exchange(call, TEST_TIMEOUT))
    }

    pub fn get(&self, name: &str, path: &str) -> serde_json::Value {
        let answer = self.http(name, Method::GET, path, &[], "");
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Sets a fault of a stand-in endpoint.
    pub fn fault(&self, name: &str, fault: &str, at: Option<u64>) {
        let body = match at {
            Some(at) => json!({ "fault": fault, "at": at }),
            None => json!({ "fault": fault }),
        };
        let path = "/standin/fault";
        let answer =
            self.http(name, Method::POST, path, &[], &body.to_string());
        assert!(answer.expect("an answer").status.is_success(), "{body}");
    }
}

/// Returns the folder with the programs under test.
fn programs() -> PathBuf {
    let entry = PathBuf::from(env!("CARGO_BIN_EXE_azuremount-entry"));
    entry.parent().expect("a folder").to_owned()
}
