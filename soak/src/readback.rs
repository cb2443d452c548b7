//! The last stage of a run: a change is acknowledged, nodes are killed and
//! harmed right after it, and operators read the configuration back at node
//! after node.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use azuremount_platform::standin as wire;
use http::Method;
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{sleep, sleep_until, timeout},
};

use crate::{
    CONVERGENCE_TIMEOUT, Shared, all_nodes_serve,
    caller::Caller,
    faults::MIN_DISK_LOSS_INTERVAL,
    http::{Failed, Sender, connect, exchange},
    operator,
    site::{PORTS, Site},
};

/// Time from the start of the nodes until reads are judged: harmed nodes that
/// return have four seconds.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time by which a node with half-open connections starts before the others
/// with a disk, in ms.
const HEAD_START_MS: u64 = 300;
/// Time for which reads are judged.
const JUDGED_TIME: Duration = Duration::from_secs(8);
/// Time without a successful read, at one node or at all of them, from which on
/// it is a breach.
const MAX_READ_GAP: Duration = Duration::from_secs(4);
/// Time for which an operator waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Operators that read at node after node, and the pause between two reads.
const OPERATORS: usize = 3;
const OPERATOR_PAUSE: Duration = Duration::from_millis(60);
/// Nodes that are also read by themselves, and the pause between two reads.
const MAX_PROBED_NODES: usize = 12;
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Callers beside the reads.
const CALLERS: u64 = 4;
/// Share of the rounds in which two nodes take turns in standing still.
const TURNS_SHARE: f64 = 0.3;
/// Time from the start of the nodes until the first turn.
const FIRST_TURN_MS: u64 = 2000;
/// Time between two turns, and their lengths, in ms.
const BETWEEN_TURNS_MS: std::ops::Range<u64> = 1000..3000;
const TURN_MS: std::ops::Range<u64> = 300..1000;

/// The nodes that are killed after the acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    All,
    WithDisk,
    Leader,
    Nobody,
}

/// What happens to a node with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Harm {
    /// The node starts again without its data.
    EmptyDisk,
    /// The node stays away.
    Absent,
    /// The node stays away, and a listener at its address for other nodes
    /// accepts connections and never answers.
    SilentListener,
    /// The node starts this many ms after those without a disk, and before the
    /// others with one, so that it is likely to lead. Until then a listener at
    /// its address for other nodes accepts connections, which stay open and
    /// silent afterwards, as those to a machine that lost its power do.
    HalfOpen(u64),
    /// The process is suspended this many ms after its start.
    Suspended(u64),
}

/// A step of a harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Suspend,
    Continue,
    Start,
}

/// What happens in one round.
#[derive(Debug)]
struct Plan {
    killed: Killed,
    kill_after_ms: u64,
    down_ms: u64,
    harms: Vec<(usize, Harm)>,
    /// What is done to single nodes, with the time after the start of the
    /// others in ms.
    actions: Vec<(u64, usize, Action)>,
    /// Nodes that take turns in standing still.
    turns: Vec<usize>,
    /// Whether operators change nothing after the acknowledgement. A change
    /// makes the node that it is sent to replace a connection that is silent.
    is_quiet: bool,
    /// Whether no more nodes with a disk are harmed at the same time than may
    /// be lost. Otherwise, reads may fail.
    is_served: bool,
}

impl Plan {
    fn draw(rng: &mut StdRng, site: &Site) -> Plan {
        let killed = match rng.random_range(0..10) {
            0..5 => Killed::All,
            5..7 => Killed::WithDisk,
            7..9 => Killed::Leader,
            _ => Killed::Nobody,
        };
        let (kill_after_ms, down_ms) =
            (rng.random_range(0..40), rng.random_range(100..800));
        let losses = site.max_disk_losses();
        let mut nodes: Vec<usize> = (0..site.disks).collect();
        nodes.shuffle(rng);
        let count = match rng.random_bool(0.8) {
            true => losses,
            false => rng.random_range(0..=losses),
        };
        let mut harms: Vec<(usize, Harm)> =
            nodes[..count].iter().map(|at| (*at, draw_harm(rng))).collect();
        let mut turns = Vec::new();
        if rng.random_bool(TURNS_SHARE) {
            turns = nodes[count..count + 2].to_vec();
            // Half of the rounds with turns are within what may be lost.
            if rng.random_bool(0.5) && harms.len() == losses {
                harms.pop();
            }
        }
        let mut actions = draw_turns(rng, &turns);
        let is_half_open = |harm: &Harm| matches!(harm, Harm::HalfOpen(_));
        // Silent connections to a node that does not lead harm no read.
        if let Some(leader) = site.leader()
            && !turns.contains(&leader)
            && !harms.iter().any(|(at, _)| *at == leader)
            && let Some(harm) =
                harms.iter_mut().find(|(_, harm)| is_half_open(harm))
        {
            harm.0 = leader;
        }
        let returns = harms.iter().filter_map(|(_, harm)| match harm {
            Harm::HalfOpen(after_ms) => Some(after_ms + HEAD_START_MS),
            _ => None,
        });
        let disk_delay_ms = returns.max().unwrap_or(0);
        for (at, harm) in &harms {
            match harm {
                Harm::Suspended(after_ms) => {
                    let due_ms = disk_delay_ms + after_ms;
                    actions.push((due_ms, *at, Action::Suspend));
                }
                Harm::HalfOpen(after_ms) => {
                    actions.push((*after_ms, *at, Action::Start));
                }
                _ => {}
            }
        }
        let stays_away = |at: usize| {
            harms.iter().any(|(one, harm)| {
                let starts =
                    matches!(harm, Harm::EmptyDisk | Harm::Suspended(_));
                *one == at && !starts
            })
        };
        for at in (0..site.disks).filter(|at| !stays_away(*at)) {
            actions.push((disk_delay_ms, at, Action::Start));
        }
        actions.sort_by_key(|(after_ms, ..)| *after_ms);
        let harmed = harms.len() + usize::from(!turns.is_empty());
        let is_served = harmed <= losses;
        Plan {
            killed,
            kill_after_ms,
            down_ms,
            harms,
            actions,
            turns,
            is_quiet: rng.random_bool(0.5),
            is_served,
        }
    }

    fn harm(&self, at: usize) -> Option<Harm> {
        let found = self.harms.iter().find(|(one, _)| *one == at);
        found.map(|(_, harm)| *harm)
    }

    /// Returns true if the node stays away, at least at first.
    fn is_away(&self, at: usize) -> bool {
        matches!(
            self.harm(at),
            Some(Harm::Absent | Harm::SilentListener | Harm::HalfOpen(_))
        )
    }

    /// Returns true if the node itself has to answer reads.
    fn is_sound(&self, at: usize) -> bool {
        let is_back = matches!(
            self.harm(at),
            None | Some(Harm::EmptyDisk | Harm::HalfOpen(_))
        );
        is_back && !self.turns.contains(&at)
    }
}

fn draw_harm(rng: &mut StdRng) -> Harm {
    match rng.random_range(0..6) {
        0 => Harm::EmptyDisk,
        1 => Harm::Absent,
        2 => Harm::SilentListener,
        3 => Harm::HalfOpen(rng.random_range(200..700)),
        4 => Harm::Suspended(rng.random_range(300..2500)),
        _ => Harm::Suspended(3000),
    }
}

fn draw_turns(rng: &mut StdRng, nodes: &[usize]) -> Vec<(u64, usize, Action)> {
    let mut actions = Vec::new();
    let end = (SETTLING_TIME + JUDGED_TIME).as_millis() as u64;
    let mut at_ms = FIRST_TURN_MS;
    for node in nodes.iter().cycle() {
        let until_ms = at_ms + rng.random_range(TURN_MS);
        if until_ms > end {
            break;
        }
        actions.push((at_ms, *node, Action::Suspend));
        actions.push((until_ms, *node, Action::Continue));
        at_ms = until_ms + rng.random_range(BETWEEN_TURNS_MS);
    }
    actions
}

/// Numbers of reads and the longest times without a successful one, in ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Successful reads.
    pub good: usize,
    /// Reads that failed at sound nodes.
    pub failed: usize,
    /// Longest time without a successful read at any node.
    pub gap_ms: u64,
    /// Longest time without a successful read at one sound node.
    pub node_gap_ms: u64,
}

/// One finished read.
#[derive(Debug)]
struct Read {
    at: usize,
    /// Whether an operator that goes from node to node made it.
    by_operator: bool,
    ended: Instant,
    failure: Option<String>,
}

/// The reads of one round.
#[derive(Debug)]
struct Reads {
    finished: Mutex<Vec<Read>>,
    is_open: AtomicBool,
}

impl Reads {
    fn finished(&self) -> MutexGuard<'_, Vec<Read>> {
        self.finished.lock().unwrap_or_else(|held| held.into_inner())
    }

    fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }
}

/// Runs `rounds` one after the other, beside callers and operators that change
/// the configuration. Returns what was read while reads were judged.
pub async fn run(
    shared: &Arc<Shared>,
    site: &mut Site,
    rounds: u64,
) -> io::Result<Summary> {
    let mut rng = StdRng::seed_from_u64(shared.seed ^ 0x4ead_bac4);
    let mut tasks = Vec::new();
    for number in 0..CALLERS {
        // Numbers that no caller of the stages before has.
        let caller = Caller::new(shared.clone(), 1000 + number);
        tasks.push(tokio::spawn(caller.run()));
    }
    for number in 0..2 {
        tasks.push(tokio::spawn(operator::change(shared.clone(), number)));
    }
    let mut all = Summary::default();
    for round in 0..rounds {
        if round > 0 {
            // A node whose disk was lost has to catch up before the next loss.
            sleep(MIN_DISK_LOSS_INTERVAL).await;
        }
        let plan = Plan::draw(&mut rng, site);
        let summary = run_round(shared, site, &plan).await?;
        all.good += summary.good;
        all.failed += summary.failed;
        if plan.is_served {
            all.gap_ms = all.gap_ms.max(summary.gap_ms);
            all.node_gap_ms = all.node_gap_ms.max(summary.node_gap_ms);
        }
    }
    shared.stop();
    for task in tasks {
        if let Err(error) = task.await {
            let text = format!("a stand-in task failed: {error}");
            shared.ledger.record_breach(text);
        }
    }
    Ok(all)
}

async fn run_round(
    shared: &Arc<Shared>,
    site: &mut Site,
    plan: &Plan,
) -> io::Result<Summary> {
    let reads = Arc::new(Reads {
        finished: Mutex::default(),
        is_open: AtomicBool::new(true),
    });
    let readers = spawn_readers(shared, &reads);
    let leader = site.leader();
    let version = (shared.ledger.newest_sent() / 2 + 1) * 2;
    let is_acknowledged = operator::put(shared, version).await;
    shared.pause_changes(plan.is_quiet);
    sleep(Duration::from_millis(plan.kill_after_ms)).await;
    let mut listeners = kill_and_harm(site, plan, leader).await?;
    sleep(Duration::from_millis(plan.down_ms)).await;
    // Actions start the nodes with a disk.
    for at in site.disks..site.nodes.len() {
        site.start(at, false)?;
    }
    let started = Instant::now();
    for (after_ms, at, action) in &plan.actions {
        let due = started + Duration::from_millis(*after_ms);
        sleep_until(due.into()).await;
        match action {
            Action::Suspend => site.signal(*at, Signal::SIGSTOP),
            Action::Continue => {
                shared.ledger.permit_late_calls();
                site.signal(*at, Signal::SIGCONT);
            }
            Action::Start => {
                if let Some(listener) = listeners.get_mut(at) {
                    listener.close().await;
                }
                site.start(*at, false)?;
            }
        }
    }
    let from = started + SETTLING_TIME;
    let until = from + JUDGED_TIME;
    sleep_until(until.into()).await;
    reads.is_open.store(false, Ordering::Relaxed);
    shared.pause_changes(false);
    for reader in readers {
        if let Err(error) = reader.await {
            let text = format!("a reader failed: {error}");
            shared.ledger.record_breach(text);
        }
    }
    println!(
        "seed {}: version {version} acknowledged: {is_acknowledged}, leader \
         {leader:?}, killed {:?} after {} ms, harmed {:?}, turns {:?}, \
         changes: {}",
        shared.seed,
        plan.killed,
        plan.kill_after_ms,
        plan.harms,
        plan.turns,
        !plan.is_quiet
    );
    let summary = judge(shared, plan, &reads.finished(), from, until);
    for listener in listeners.values_mut() {
        listener.close().await;
    }
    drop(listeners);
    restore(shared, site, plan).await?;
    Ok(summary)
}

/// Kills and harms nodes. Returns the silent listeners by node.
async fn kill_and_harm(
    site: &mut Site,
    plan: &Plan,
    leader: Option<usize>,
) -> io::Result<BTreeMap<usize, SilentListener>> {
    let is_killed = |at: usize| {
        let is_named = match plan.killed {
            Killed::All => true,
            Killed::WithDisk => at < site.disks,
            Killed::Leader => Some(at) == leader,
            Killed::Nobody => false,
        };
        is_named || plan.harm(at) == Some(Harm::EmptyDisk) || plan.is_away(at)
    };
    let killed: Vec<usize> =
        (0..site.nodes.len()).filter(|at| is_killed(*at)).collect();
    // Signals all of them before waiting for the first one.
    for at in &killed {
        site.signal(*at, Signal::SIGKILL);
    }
    for at in &killed {
        site.kill(*at);
    }
    let mut listeners = BTreeMap::new();
    for (at, harm) in &plan.harms {
        match harm {
            Harm::EmptyDisk => site.wipe(*at)?,
            Harm::SilentListener | Harm::HalfOpen(_) => {
                let ip = site.nodes[*at].ip;
                let address = SocketAddrV4::new(ip, PORTS.peers);
                listeners.insert(*at, SilentListener::bind(address).await?);
            }
            Harm::Absent | Harm::Suspended(_) => {}
        }
    }
    Ok(listeners)
}

/// Accepts connections and never answers. They stay open until it is dropped.
#[derive(Debug)]
struct SilentListener {
    task: JoinHandle<()>,
    _open: Arc<Mutex<Vec<TcpStream>>>,
}

impl SilentListener {
    async fn bind(address: SocketAddrV4) -> io::Result<SilentListener> {
        let listener = TcpListener::bind(address).await?;
        let open = Arc::new(Mutex::new(Vec::new()));
        let accepted = open.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted
                    .lock()
                    .unwrap_or_else(|held| held.into_inner())
                    .push(stream);
            }
        });
        Ok(SilentListener { task, _open: open })
    }

    /// Stops listening. The address is free afterwards.
    async fn close(&mut self) {
        if self.task.is_finished() {
            return;
        }
        self.task.abort();
        // The result says only that the task was aborted.
        let _ = (&mut self.task).await;
    }
}

/// Brings back all nodes, and waits until they serve.
async fn restore(
    shared: &Arc<Shared>,
    site: &mut Site,
    plan: &Plan,
) -> io::Result<()> {
    for (at, _) in &plan.harms {
        shared.ledger.permit_late_calls();
        site.signal(*at, Signal::SIGCONT);
    }
    for text in site.take_unexpected_exits() {
        shared.ledger.record_breach(text);
    }
    for at in 0..site.nodes.len() {
        site.start(at, false)?;
    }
    let until = Instant::now() + CONVERGENCE_TIMEOUT;
    while !all_nodes_serve(shared).await {
        if Instant::now() > until {
            let text = "not all nodes served within 60 s of a read-back";
            shared.ledger.record_breach(text.to_owned());
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

fn spawn_readers(
    shared: &Arc<Shared>,
    reads: &Arc<Reads>,
) -> Vec<JoinHandle<()>> {
    let count = shared.ips.len();
    let operators = (0..OPERATORS).map(|number| {
        let first = number * count / OPERATORS;
        tokio::spawn(read_in_turn(shared.clone(), reads.clone(), first))
    });
    let probed = 0..count.min(MAX_PROBED_NODES);
    let probes = probed.map(|at| {
        tokio::spawn(read_at_one(shared.clone(), reads.clone(), at))
    });
    operators.chain(probes).collect()
}

/// Reads at node after node, each time over a new connection.
async fn read_in_turn(shared: Arc<Shared>, reads: Arc<Reads>, first: usize) {
    let mut at = first;
    while reads.is_open() {
        let mut connection = None;
        read(&shared, &reads, at, true, &mut connection).await;
        at = (at + 1) % shared.ips.len();
        sleep(OPERATOR_PAUSE).await;
    }
}

/// Reads at one node over one connection, until it is gone.
async fn read_at_one(shared: Arc<Shared>, reads: Arc<Reads>, at: usize) {
    let mut connection = None;
    while reads.is_open() {
        read(&shared, &reads, at, false, &mut connection).await;
        sleep(PROBE_PAUSE).await;
    }
}

async fn read(
    shared: &Shared,
    reads: &Reads,
    at: usize,
    by_operator: bool,
    connection: &mut Option<Sender>,
) {
    let min_version = shared.ledger.newest_acknowledged(Duration::ZERO);
    let to = SocketAddrV4::new(shared.ips[at], PORTS.control);
    let failure = match timeout(ANSWER_TIMEOUT, ask(to, connection)).await {
        Ok(Ok(answer)) => {
            operator::check_config(shared, min_version, &answer);
            None
        }
        Ok(Err(error)) => Some(error.0),
        Err(_) => Some("no answer in 1 s".to_owned()),
    };
    let ended = Instant::now();
    reads.finished().push(Read { at, by_operator, ended, failure });
}

async fn ask(
    to: SocketAddrV4,
    connection: &mut Option<Sender>,
) -> Result<Value, Failed> {
    let mut sender = match connection.take() {
        Some(kept) if !kept.is_closed() => kept,
        _ => connect(to).await?,
    };
    let (status, answer) =
        exchange(&mut sender, to, Method::GET, wire::GET, None).await?;
    *connection = Some(sender);
    match status.is_success() {
        true => Ok(answer),
        false => Err(Failed(status.as_u16().to_string())),
    }
}

/// Counts the reads that ended from `from` to `until`, and checks the times
/// without a successful one.
fn judge(
    shared: &Shared,
    plan: &Plan,
    reads: &[Read],
    from: Instant,
    until: Instant,
) -> Summary {
    let reads: Vec<&Read> = reads
        .iter()
        .filter(|read| (from..until).contains(&read.ended))
        .collect();
    let gap = |is_counted: &dyn Fn(&Read) -> bool| {
        let good = reads.iter().filter(|read| read.failure.is_none());
        let mut ends: Vec<Instant> = good
            .filter(|read| is_counted(read))
            .map(|read| read.ended)
            .chain([from, until])
            .collect();
        ends.sort();
        let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap_or_default()
    };
    let all_gap = gap(&|read| read.by_operator);
    let probed = 0..shared.ips.len().min(MAX_PROBED_NODES);
    let node_gaps = probed
        .filter(|at| plan.is_sound(*at))
        .map(|at| (gap(&|read| read.at == at && !read.by_operator), at));
    let (node_gap, node) = node_gaps.max().unwrap_or_default();
    let mut failures: BTreeMap<(usize, &str), usize> = BTreeMap::new();
    for read in &reads {
        if let Some(failure) = &read.failure
            && plan.is_sound(read.at)
        {
            *failures.entry((read.at, failure)).or_default() += 1;
        }
    }
    let good = reads.iter().filter(|read| read.failure.is_none()).count();
    let failed = failures.values().sum();
    println!(
        "seed {}: {good} reads, {failed} failed at sound nodes {failures:?}, \
         {} ms without one, {} ms at node {node}, judged: {}",
        shared.seed,
        all_gap.as_millis(),
        node_gap.as_millis(),
        plan.is_served
    );
    if plan.is_served && all_gap >= MAX_READ_GAP {
        let text = format!("no read succeeded for {} ms", all_gap.as_millis());
        shared.ledger.record_breach(text);
    }
    if plan.is_served && node_gap >= MAX_READ_GAP {
        let ms = node_gap.as_millis();
        let text = format!("no read succeeded at node {node} for {ms} ms");
        shared.ledger.record_breach(text);
    }
    Summary {
        good,
        failed,
        gap_ms: all_gap.as_millis() as u64,
        node_gap_ms: node_gap.as_millis() as u64,
    }
}
