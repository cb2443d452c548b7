//! The soak test. Runs node programs as separate processes between stand-ins
//! for callers, replicas, operators and the platform's API, and injects faults
//! that a seed determines. See docs/SOAK.md.

mod caller;
mod cloud;
mod fatal;
mod faults;
mod http;
mod limit;
mod notice;
mod operator;
mod promise;
mod proxy;
mod readback;
mod replica;
mod silence;
mod site;
mod streams;

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use ::http::Method;
use argh::FromArgs;
use azuremount_platform::standin as wire;
use rand::seq::IndexedRandom;
use tabled::{Table, Tabled};
use tokio::time::sleep;

use crate::{
    caller::Caller,
    fatal::Fatal,
    faults::Faults,
    http::call,
    promise::Ledger,
    proxy::Proxy,
    replica::Replica,
    site::{PORTS, Site},
};

/// The only service, team and API key of a run.
const SERVICE: &str = "app";
const TEAM: &str = "blue";
const KEY: &str = "sesame";
/// Numbers of replicas and callers in a run.
const REPLICAS: u64 = 4;
const CALLERS: u64 = 16;
/// Time within which all nodes have to serve, at the start of a run and again
/// after the last fault. Far longer than needed, so that a busy machine does
/// not fail a run.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Seeds that failed in the past, with the cause.
const REGRESSION_SEEDS: &str = include_str!("../regressions.txt");

/// Runs node programs under faults and checks their guarantees.
#[derive(FromArgs)]
struct Arguments {
    /// the first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// run the seeds that failed in the past instead
    #[argh(switch)]
    regressions: bool,
    /// time for which each run injects faults, in seconds (15)
    #[argh(option, default = "15")]
    seconds: u64,
    /// number of nodes (6)
    #[argh(option, default = "6")]
    nodes: usize,
    /// number of nodes with a disk: 4, of which one may be lost, or 5 or 6, of
    /// which two may be (4)
    #[argh(option, default = "4")]
    disks: usize,
    /// rounds in which the configuration is read back after a fault (1)
    #[argh(option, default = "1")]
    readbacks: u64,
    /// run nothing but these rounds
    #[argh(switch)]
    only_readbacks: bool,
    /// keep settings, disks and logs of all seeds, not only of those that fail
    #[argh(switch)]
    keep: bool,
    /// path of the node program (azuremount-node in this program's folder)
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for settings, disks and logs, which are kept for seeds that fail
    /// (the system's temporary folder)
    #[argh(option)]
    folder: Option<PathBuf>,
}

/// State that all parts of one run share.
#[derive(Debug)]
pub struct Shared {
    /// Seed of the random choices.
    pub seed: u64,
    /// What the stand-ins observed.
    pub ledger: Ledger,
    ips: Vec<Ipv4Addr>,
    fronts: OnceLock<Vec<Proxy>>,
    /// Rate limits that replicas announce.
    limits: limit::Limits,
    /// Backoffs and departures that replicas say in their answers.
    notices: notice::AllNotices,
    /// Streams that callers resume.
    streams: streams::Streams,
    /// Replicas that are silent for a moment.
    silences: silence::Silences,
    /// When the run started.
    started: Instant,
    running: AtomicBool,
    changes_paused: AtomicBool,
    final_check: AtomicBool,
}

impl Shared {
    /// Returns true until faults and callers stop.
    pub fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns true once the last fault is over and what replicas say in their
    /// answers no longer varies.
    pub fn is_final_check(&self) -> bool {
        self.final_check.load(Ordering::Relaxed)
    }

    /// Returns true while operators change nothing.
    pub fn are_changes_paused(&self) -> bool {
        self.changes_paused.load(Ordering::Relaxed)
    }

    fn pause_changes(&self, paused: bool) {
        self.changes_paused.store(paused, Ordering::Relaxed);
    }

    fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
    }

    fn any(&self, port: u16) -> SocketAddrV4 {
        let ip = self.ips.choose(&mut rand::rng());
        SocketAddrV4::new(*ip.expect("there are nodes"), port)
    }

    /// Returns the address for operators and replicas at a random node.
    pub fn any_control(&self) -> SocketAddrV4 {
        self.any(PORTS.control)
    }

    /// Returns the address at a random node where callers look up entries.
    pub fn any_directory(&self) -> SocketAddrV4 {
        self.any(PORTS.directory)
    }

    /// Returns the proxies in front of the nodes' entries.
    pub fn fronts(&self) -> &[Proxy] {
        self.fronts.get().map_or(&[], Vec::as_slice)
    }

    /// Returns the number of an entry's node, and the address of the proxy in
    /// front of it.
    pub fn through_proxy(&self, entry: SocketAddrV4) -> (usize, SocketAddrV4) {
        let at = self.ips.iter().position(|ip| ip == entry.ip());
        let proxy = at.and_then(|at| self.fronts().get(at));
        let address = proxy.map_or(entry, |proxy| proxy.address);
        (at.unwrap_or(usize::MAX), address)
    }
}

#[derive(Tabled)]
struct Row {
    seed: u64,
    faults: usize,
    served: u64,
    refused: u64,
    failed: u64,
    ended: u32,
    p50_ms: u64,
    p99_ms: u64,
    reads: usize,
    unread: usize,
    gap_ms: u64,
    node_gap_ms: u64,
    breaches: usize,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut rows = Vec::new();
    for seed in seeds(&arguments) {
        match runtime.block_on(run(&arguments, seed)) {
            Ok(row) => rows.push(row),
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    let breaches: usize = rows.iter().map(|row| row.breaches).sum();
    println!("{}", Table::new(rows));
    println!("{breaches} breaches");
    ExitCode::from(u8::from(breaches > 0))
}

fn seeds(arguments: &Arguments) -> Vec<u64> {
    if !arguments.regressions {
        let first = arguments.seed;
        return (first..first + arguments.seeds).collect();
    }
    let lines = REGRESSION_SEEDS.lines().filter(|line| !line.starts_with('#'));
    let seeds = lines.filter_map(|line| line.split_whitespace().next());
    seeds.filter_map(|seed| seed.parse().ok()).collect()
}

async fn run(arguments: &Arguments, seed: u64) -> std::io::Result<Row> {
    let folder = match &arguments.folder {
        Some(folder) => folder.clone(),
        None => std::env::temp_dir(),
    };
    let name = format!("azuremount-soak-{}-{seed}", std::process::id());
    let folder = folder.join(name);
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("azuremount-node"),
    };
    // Each seed uses another network, because connections of the previous run
    // linger.
    let net = 100 + (seed % 100) as u8;
    let api = SocketAddrV4::new(Ipv4Addr::new(127, net, 250, 1), 8225);
    let cloud = Proxy::spawn(api).await?;
    let count = arguments.nodes.max(arguments.disks);
    let disks = arguments.disks;
    let site =
        Site::open(&program, &folder, net, count, disks, cloud.address)?;
    let shared = Arc::new(Shared {
        seed,
        ledger: Ledger::open(),
        ips: site.nodes.iter().map(|node| node.ip).collect(),
        fronts: OnceLock::new(),
        limits: limit::Limits::default(),
        notices: notice::AllNotices::default(),
        streams: streams::Streams::default(),
        silences: silence::Silences::default(),
        started: Instant::now(),
        running: AtomicBool::new(true),
        changes_paused: AtomicBool::new(false),
        final_check: AtomicBool::new(false),
    });
    cloud::spawn(api, shared.clone()).await?;
    let row = run_site(arguments, shared.clone(), site, cloud).await?;
    if row.breaches == 0 && !arguments.keep {
        std::fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("seed {seed}: logs are kept in {}", folder.display());
    }
    Ok(row)
}

async fn run_site(
    arguments: &Arguments,
    shared: Arc<Shared>,
    mut site: Site,
    cloud: Proxy,
) -> std::io::Result<Row> {
    let mut fronts = Vec::new();
    for ip in &shared.ips {
        let front = SocketAddrV4::new(*ip, PORTS.front);
        fronts.push(Proxy::spawn(front).await?);
    }
    let _ = shared.fronts.set(fronts);
    for at in 0..site.nodes.len() {
        site.start(at, true)?;
    }
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        replicas.push(Replica::spawn(shared.clone(), number).await?);
    }
    apply_first_config(&shared).await;
    let mut faults = Faults::new(shared.clone(), site, replicas, cloud);
    if !arguments.only_readbacks {
        let seconds = Duration::from_secs(arguments.seconds);
        inject_faults(&shared, &mut faults, seconds).await?;
        // Replicas that announce no limits and don't leave.
        faults.refill().await?;
        shared.running.store(true, Ordering::Relaxed);
    }
    let rounds = arguments.readbacks;
    let reads = readback::run(&shared, &mut faults.site, rounds).await?;
    let breaches = shared.ledger.close().len();
    let (counts, p50_ms, p99_ms) = shared.ledger.summary();
    Ok(Row {
        seed: shared.seed,
        faults: faults.injected.len(),
        served: counts.served,
        refused: counts.refused,
        failed: counts.failed,
        ended: Fatal::ALL
            .into_iter()
            .map(|fatal| shared.ledger.fatal_crashes(fatal))
            .sum(),
        p50_ms,
        p99_ms,
        reads: reads.good,
        unread: reads.failed,
        gap_ms: reads.gap_ms,
        node_gap_ms: reads.node_gap_ms,
        breaches,
    })
}

/// Injects faults beside callers and operators, and checks what has to hold
/// after the last one.
async fn inject_faults(
    shared: &Arc<Shared>,
    faults: &mut Faults,
    duration: Duration,
) -> std::io::Result<()> {
    let mut tasks = Vec::new();
    for number in 1..=CALLERS {
        tasks.push(tokio::spawn(Caller::new(shared.clone(), number).run()));
    }
    for number in 0..2 {
        tasks.push(tokio::spawn(operator::change(shared.clone(), number)));
    }
    tasks.push(tokio::spawn(operator::read(shared.clone())));
    for fatal in Fatal::ALL {
        tasks.push(tokio::spawn(fatal::repeat(shared.clone(), fatal)));
    }
    tasks.push(tokio::spawn(limit::vary_rate_limits(shared.clone())));
    tasks.push(tokio::spawn(notice::vary(shared.clone())));
    tasks.push(tokio::spawn(silence::vary(shared.clone())));
    let until = Instant::now() + duration;
    faults.inject_until(until).await?;
    faults.refill().await?;
    // Callers keep sending requests while the nodes recover.
    recover(shared, faults).await;
    fatal::check_quarantine(shared, faults).await?;
    silence::check(shared).await;
    shared.final_check.store(true, Ordering::Relaxed);
    tokio::join!(limit::check_compliance(shared), notice::check(shared));
    shared.stop();
    for task in tasks {
        if let Err(error) = task.await {
            shared
                .ledger
                .record_breach(format!("a stand-in task failed: {error}"));
        }
    }
    shared.streams.check(&shared.ledger);
    Ok(())
}

/// Applies the first configuration and waits until all nodes serve.
async fn apply_first_config(shared: &Arc<Shared>) {
    let until = Instant::now() + CONVERGENCE_TIMEOUT;
    while !operator::put(shared, 2).await {
        if Instant::now() > until {
            shared.ledger.record_breach(
                "the first configuration was not acknowledged within 60 s"
                    .to_owned(),
            );
            return;
        }
    }
    while !all_nodes_serve(shared).await && Instant::now() < until {
        sleep(Duration::from_millis(100)).await;
    }
}

/// Applies a last configuration and waits until all nodes serve with it.
async fn recover(shared: &Arc<Shared>, faults: &mut Faults) {
    let until = Instant::now() + CONVERGENCE_TIMEOUT;
    let last = (shared.ledger.newest_sent() / 2 + 1) * 2;
    while !operator::put(shared, last).await && Instant::now() < until {}
    while !all_nodes_serve(shared).await {
        faults.schedule_restarts();
        if Instant::now() > until {
            shared.ledger.record_breach(
                "not all nodes served again within 60 s".to_owned(),
            );
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Returns true when every node is ready and returns the newest acknowledged
/// configuration.
async fn all_nodes_serve(shared: &Arc<Shared>) -> bool {
    let newest = shared.ledger.newest_acknowledged(Duration::ZERO);
    for ip in &shared.ips {
        let at = |port| SocketAddrV4::new(*ip, port);
        let ready = call(at(PORTS.ready), Method::GET, wire::READY, None);
        let read = call(at(PORTS.control), Method::GET, wire::GET, None);
        let ready = ready.await.is_ok_and(|(status, _)| status.is_success());
        let Ok((status, answer)) = read.await else { return false };
        if !ready || !status.is_success() {
            return false;
        }
        if !operator::check_config(shared, newest, &answer) {
            return false;
        }
    }
    true
}
