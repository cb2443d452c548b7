//! A soak: node programs as processes of their own between stand-ins for
//! callers, replicas, operators and the platform's API, with faults from a
//! seed. See docs/SOAK.md.

mod caller;
mod cloud;
mod fatal;
mod faults;
mod http;
mod limit;
mod operator;
mod promise;
mod proxy;
mod replica;
mod site;

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
    faults::Faults,
    http::call,
    promise::Ledger,
    proxy::Proxy,
    replica::Replica,
    site::{PORTS, Site},
};

/// The only service, team and key.
const SERVICE: &str = "app";
const TEAM: &str = "blue";
const KEY: &str = "sesame";
/// Replicas and callers of a run.
const REPLICAS: u64 = 4;
const CALLERS: u64 = 16;
/// How long a run may take to begin, and to be whole again at its end. Long
/// beyond what it takes: a busy machine must not fail a run.
const PATIENCE: Duration = Duration::from_secs(60);
/// Seeds that failed once, with the cause.
const REGRESSIONS: &str = include_str!("../regressions.txt");

/// Runs node programs under faults and checks what they promise.
#[derive(FromArgs)]
struct Arguments {
    /// the first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds (1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// play the seeds that failed once instead
    #[argh(switch)]
    regressions: bool,
    /// for how long faults are injected in each run (15)
    #[argh(option, default = "15")]
    seconds: u64,
    /// how many nodes (6)
    #[argh(option, default = "6")]
    nodes: usize,
    /// the node program (azuremount-node beside this one)
    #[argh(option)]
    program: Option<PathBuf>,
    /// keeps settings, disks and logs of seeds that fail here (a folder in
    /// the system's temporary one)
    #[argh(option)]
    folder: Option<PathBuf>,
}

/// What all parts of one run share.
#[derive(Debug)]
pub struct Shared {
    /// All choices follow from it.
    pub seed: u64,
    /// What was seen.
    pub ledger: Ledger,
    ips: Vec<Ipv4Addr>,
    fronts: OnceLock<Vec<Proxy>>,
    /// What replicas name.
    limits: limit::Limits,
    running: AtomicBool,
    judged: AtomicBool,
}

impl Shared {
    /// True until faults and callers stop.
    pub fn is_running(&self) -> bool {
        self.running.load(Ordering::Relaxed)
    }

    /// True once the last fault is over, and replicas name no other limits.
    pub fn is_judged(&self) -> bool {
        self.judged.load(Ordering::Relaxed)
    }

    fn any(&self, port: u16) -> SocketAddrV4 {
        let ip = self.ips.choose(&mut rand::rng());
        SocketAddrV4::new(*ip.expect("there are nodes"), port)
    }

    /// Where operators and replicas call some node.
    pub fn any_control(&self) -> SocketAddrV4 {
        self.any(PORTS.control)
    }

    /// Where callers ask some node for entries.
    pub fn any_directory(&self) -> SocketAddrV4 {
        self.any(PORTS.directory)
    }

    /// The proxies before the nodes' entries.
    pub fn fronts(&self) -> &[Proxy] {
        self.fronts.get().map_or(&[], Vec::as_slice)
    }

    /// The proxy before an entry.
    pub fn through_proxy(&self, entry: SocketAddrV4) -> SocketAddrV4 {
        let at = self.ips.iter().position(|ip| ip == entry.ip());
        let proxy = at.and_then(|at| self.fronts().get(at));
        proxy.map_or(entry, |proxy| proxy.address)
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
    let lines = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
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
    // Another net for each seed: connections of the last run linger.
    let net = 100 + (seed % 100) as u8;
    let api = SocketAddrV4::new(Ipv4Addr::new(127, net, 250, 1), 8225);
    let cloud = Proxy::spawn(api).await?;
    let count = arguments.nodes.max(site::DISKS);
    let site = Site::open(&program, &folder, net, count, cloud.address)?;
    let shared = Arc::new(Shared {
        seed,
        ledger: Ledger::open(),
        ips: site.nodes.iter().map(|node| node.ip).collect(),
        fronts: OnceLock::new(),
        limits: limit::Limits::default(),
        running: AtomicBool::new(true),
        judged: AtomicBool::new(false),
    });
    cloud::spawn(api, shared.clone()).await?;
    let row = play(arguments, shared.clone(), site, cloud).await?;
    if row.breaches == 0 {
        std::fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("seed {seed}: logs are kept in {}", folder.display());
    }
    Ok(row)
}

async fn play(
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
    begin(&shared).await;
    let mut tasks = Vec::new();
    for number in 1..=CALLERS {
        tasks.push(tokio::spawn(Caller::new(shared.clone(), number).run()));
    }
    for number in 0..2 {
        tasks.push(tokio::spawn(operator::change(shared.clone(), number)));
    }
    tasks.push(tokio::spawn(operator::read(shared.clone())));
    tasks.push(tokio::spawn(fatal::repeat(shared.clone())));
    tasks.push(tokio::spawn(limit::vary(shared.clone())));
    let mut faults = Faults::new(shared.clone(), site, replicas, cloud);
    let until = Instant::now() + Duration::from_secs(arguments.seconds);
    faults.play(until).await?;
    faults.refill().await?;
    // Callers go on while the nodes come back.
    recover(&shared, &mut faults).await;
    fatal::judge(&shared, &mut faults).await?;
    shared.judged.store(true, Ordering::Relaxed);
    limit::judge(&shared).await;
    shared.running.store(false, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            shared.ledger.breach(format!("a stand-in ended: {error}"));
        }
    }
    let breaches = shared.ledger.close().len();
    let (counts, p50_ms, p99_ms) = shared.ledger.sums();
    Ok(Row {
        seed: shared.seed,
        faults: faults.played.len(),
        served: counts.served,
        refused: counts.refused,
        failed: counts.failed,
        ended: shared.ledger.ends(),
        p50_ms,
        p99_ms,
        breaches,
    })
}

/// Puts the first configuration and waits until all nodes serve.
async fn begin(shared: &Arc<Shared>) {
    let until = Instant::now() + PATIENCE;
    while !operator::put(shared, 2).await {
        if Instant::now() > until {
            shared.ledger.breach("the first configuration".to_owned());
            return;
        }
    }
    while !all_whole(shared).await && Instant::now() < until {
        sleep(Duration::from_millis(100)).await;
    }
}

/// Waits until all nodes serve by the newest configuration.
async fn recover(shared: &Arc<Shared>, faults: &mut Faults) {
    let until = Instant::now() + PATIENCE;
    let last = (shared.ledger.newest_sent() / 2 + 1) * 2;
    while !operator::put(shared, last).await && Instant::now() < until {}
    while !all_whole(shared).await {
        faults.look();
        if Instant::now() > until {
            shared.ledger.breach("not whole again in a minute".to_owned());
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// True when every node is ready, reads the newest configuration, and serves
/// the route that only that one has.
async fn all_whole(shared: &Arc<Shared>) -> bool {
    let newest = shared.ledger.newest(Duration::ZERO);
    for ip in &shared.ips {
        let at = |port| SocketAddrV4::new(*ip, port);
        let ready = call(at(PORTS.ready), Method::GET, wire::READY, None);
        let read = call(at(PORTS.control), Method::GET, wire::GET, None);
        let ready = ready.await.is_ok_and(|(status, _)| status.is_success());
        let Ok((status, answer)) = read.await else { return false };
        if !ready || !status.is_success() {
            return false;
        }
        if !operator::judge(shared, newest, &answer) {
            return false;
        }
    }
    true
}
