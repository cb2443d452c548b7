//! Benchmarks of the control members: commits, leader changes, configuration,
//! bytes sent, replay.
//!
//! ```text
//! cargo bench --bench control
//! ```
//!
//! The relays between the processes count bytes: TCP payload in both
//! directions, with HTTP/2 framing. CPU time and memory of each process come
//! from `/proc`.

#[path = "../tests/all/cluster.rs"]
#[allow(dead_code)]
mod cluster;
#[path = "../tests/all/relay.rs"]
#[allow(dead_code)]
mod relay;

use std::{
    fs,
    io::Write,
    time::{Duration, Instant},
};

use azuremount::{
    control::{
        disk::Disk,
        ledger::Ledger,
        raft::{Identity, Node, Timing},
    },
    wire::{Change, Claim, LogEntry, change},
};
use cluster::{Cluster, ClusterSpec, Role, TEST_TIMEOUT};
use prost::Message;

const BASE: &str = r#"
[system]
name = "bench"
[data_centres.a]
region = "r"
[data_centres.b]
region = "r"
[data_centres.c]
region = "r"
[data_centres.d]
region = "r"
[teams.red]
[services.model]
kind = "model"
[services.alerts]
kind = "plain"
"#;

fn open(controls: u8, entries: u8, models: u8) -> Cluster {
    let mut cluster = Cluster::open(ClusterSpec {
        controls,
        entries,
        models,
        plains: 0,
        base: BASE.to_owned(),
        sites: ["a", "b", "c", "d"].map(str::to_owned).to_vec(),
        // The default settings.
        control_flags: Vec::new(),
        model_flags: Vec::new(),
        plain_flags: Vec::new(),
        relay_endpoints: false,
    });
    cluster.apply_first();
    cluster.wait("all", |cluster| {
        let status = cluster.status();
        status.endpoints.len() == models as usize
            && status.entries.len() == entries as usize
            && status.entries.iter().all(|entry| entry.serving)
    });
    cluster
}

fn claim(number: u64) -> Change {
    Change::new(change::Kind::Claim(Claim {
        key: format!("bench-{number}"),
        digest: vec![7; 32],
        owner: "bench/1/1".to_owned(),
        team: "red".to_owned(),
    }))
}

fn median(times: &mut [f64]) -> f64 {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the median time of an append and sync of a claim's size, in ms.
fn measure_append_and_sync() -> f64 {
    let path = std::env::temp_dir()
        .join(format!("azuremount-sync-{}", std::process::id()));
    let mut file = fs::File::create(&path).expect("a file");
    let mut times: Vec<f64> = (0..500)
        .map(|_| {
            let started_at = Instant::now();
            file.write_all(&[7; 150]).expect("a write");
            file.sync_data().expect("a sync");
            started_at.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    fs::remove_file(&path).expect("removed");
    median(&mut times)
}

fn measure_commits(cluster: &Cluster) {
    let baseline = measure_append_and_sync();
    let client = cluster.control();
    let mut next = 0;
    let mut commit_one = || {
        next += 1;
        let started_at = Instant::now();
        let change = claim(next);
        let proposed = client.propose(change, TEST_TIMEOUT, true);
        cluster.runtime.block_on(proposed).expect("a claim");
        started_at.elapsed().as_secs_f64() * 1e3
    };
    let mut times: Vec<f64> = (0..500).map(|_| commit_one()).collect();
    let alone = median(&mut times);
    let p99 = times[times.len() * 99 / 100];
    println!(
        "commit alone: {alone:.2} ms (p99 {p99:.2}), bare append and sync \
         {baseline:.2} ms: {:.1} times",
        alone / baseline
    );
    for clients in [16_u64, 256] {
        let started_at = Instant::now();
        let client = std::sync::Arc::new(cluster.control());
        let count = 20 * clients.max(100);
        cluster.runtime.block_on(async {
            let tasks: Vec<_> = (0..clients)
                .map(|task| {
                    let client = client.clone();
                    tokio::spawn(async move {
                        for number in 0..count / clients {
                            let key =
                                1_000_000 * clients + 1000 * task + number;
                            let change = claim(key);
                            let done =
                                client.propose(change, TEST_TIMEOUT, true);
                            done.await.expect("a claim");
                        }
                    })
                })
                .collect();
            for task in tasks {
                task.await.expect("a task");
            }
        });
        let rate = count as f64 / started_at.elapsed().as_secs_f64();
        println!("commits, {clients} at once: {rate:.0}/s");
    }
}

fn measure_config_apply(cluster: &Cluster) {
    let mut times = Vec::new();
    for number in 0..30 {
        let from = cluster.status().revision;
        let config = cluster.config(&format!("force-{number}"), from, number);
        let started_at = Instant::now();
        let applied = cluster.propose(change::Kind::Apply(config));
        applied.expect("applied");
        loop {
            let status = cluster.status();
            let all = status.entries.iter();
            if all.clone().all(|entry| entry.in_force > from) {
                break;
            }
        }
        times.push(started_at.elapsed().as_secs_f64() * 1e3);
    }
    let worst = times.iter().copied().fold(0.0, f64::max);
    println!(
        "apply until reported in force at {} entries: median {:.0} ms, \
         worst {worst:.0} ms of 30",
        cluster.names(Role::Entry).len(),
        median(&mut times)
    );
}

fn measure_leader_changes(cluster: &mut Cluster) {
    let mut times = Vec::new();
    for number in 0..5 {
        let leader = cluster.leader();
        cluster.kill(&leader);
        let started_at = Instant::now();
        let change = claim(9_000_000_000 + number);
        let client = cluster.control();
        let proposed = client.propose(change, TEST_TIMEOUT, true);
        cluster.runtime.block_on(proposed).expect("a claim");
        times.push(started_at.elapsed().as_secs_f64() * 1e3);
        cluster.start(&leader);
        cluster
            .wait("repair", |cluster| cluster.status().survivable_losses > 0);
    }
    let worst = times.iter().copied().fold(0.0, f64::max);
    println!(
        "kill -9 of the leader until the next commit: median {:.0} ms, worst \
         {worst:.0} ms of 5 (election wait 500 to 1000 ms)",
        median(&mut times)
    );
}

/// Returns the CPU time of a process in seconds and its resident memory in
/// MiB.
fn usage(pid: u32) -> (f64, f64) {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"));
    let stat = stat.expect("a running process");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap_or(0.0);
    let status = fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("a running process");
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0.0);
    ((ticks(11) + ticks(12)) / 100.0, resident / 1024.0)
}

/// Measures how traffic, CPU time and memory grow with the number of entries
/// and replicas, without requests.
fn measure_slopes() {
    println!(
        "\n{:>7} {:>8} {:>6} {:>11} {:>10} {:>11} {:>10} {:>9} {:>9}",
        "entries",
        "replicas",
        "chg/s",
        "leader B/s",
        "leader %",
        "entry B/s",
        "entry %",
        "leader MB",
        "entry MB"
    );
    for (entries, models, changes) in [
        (4, 4, 0),
        (16, 4, 0),
        (48, 4, 0),
        (4, 16, 0),
        (4, 48, 0),
        (16, 4, 1),
        (48, 4, 1),
    ] {
        let mut cluster = open(3, entries, models);
        std::thread::sleep(Duration::from_secs(4));
        let leader = cluster.leader();
        let pids = [cluster.pid(&leader), cluster.pid("e1")];
        let before = pids.map(usage);
        let bytes = [
            cluster.carried_bytes(&leader),
            cluster.carried_control_bytes("e1"),
        ];
        let started_at = Instant::now();
        let mut revision = cluster.status().revision;
        while started_at.elapsed() < Duration::from_secs(8) {
            std::thread::sleep(Duration::from_millis(1000));
            if changes > 0 {
                let id = format!("slope-{revision}");
                let config = cluster.config(&id, revision, revision);
                let applied = cluster.propose(change::Kind::Apply(config));
                applied.expect("applied");
                revision += 1;
            }
        }
        let took = started_at.elapsed().as_secs_f64();
        let after = pids.map(usage);
        let share = |at: usize| (after[at].0 - before[at].0) / took * 100.0;
        let rate = |at: usize, now: u64| (now - bytes[at]) as f64 / took;
        println!(
            "{entries:7} {models:8} {changes:6} {:11.0} {:10.2} {:11.0} \
             {:10.2} {:9.1} {:9.1}",
            rate(0, cluster.carried_bytes(&leader)),
            share(0),
            rate(1, cluster.carried_control_bytes("e1")),
            share(1),
            after[0].1,
            after[1].1,
        );
    }
}

/// Measures how long a member takes to read its data folder, by log length.
fn measure_replay() {
    println!();
    for count in [1000_u64, 10_000, 100_000] {
        let folder = std::env::temp_dir()
            .join(format!("azuremount-replay-{}", std::process::id()));
        let (mut disk, _) = Disk::open(&folder).expect("a folder");
        let mut entries = Vec::new();
        for index in 1..=count {
            let payload = claim(index).encode_to_vec();
            entries.push(LogEntry { index, term: 1, payload });
            if entries.len() == 100 {
                let batch = std::mem::take(&mut entries);
                disk.append(None, batch).expect("a write");
            }
        }
        let bytes = disk.log_bytes();
        drop(disk);
        let started_at = Instant::now();
        let (disk, saved) = Disk::open(&folder).expect("a folder");
        let me = Identity { id: 1, incarnation: disk.incarnation() };
        let timing = Timing { heartbeat_ms: 100, election_timeout_ms: 500 };
        let log = saved.entries.clone();
        let node = Node::open(me, timing, 1, 0, saved);
        let mut ledger = Ledger::default();
        for entry in &log {
            ledger.apply(entry);
        }
        let replayed = started_at.elapsed().as_secs_f64() * 1e3;
        let started_at = Instant::now();
        let state = ledger.encode();
        let encoded = started_at.elapsed().as_secs_f64() * 1e3;
        println!(
            "replay of {count} claims ({:.1} MB): {replayed:.1} ms; snapshot \
             {:.1} MB in {encoded:.1} ms; {} in the log",
            bytes as f64 / 1e6,
            state.len() as f64 / 1e6,
            node.last_index()
        );
        fs::remove_dir_all(&folder).expect("removed");
    }
}

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    let is_selected = |name: &str| {
        selected.is_empty() || selected.iter().any(|arg| arg == name)
    };
    if is_selected("commits") {
        let mut cluster = open(3, 11, 4);
        measure_commits(&cluster);
        measure_config_apply(&cluster);
        measure_leader_changes(&mut cluster);
    }
    if is_selected("replay") {
        measure_replay();
    }
    if is_selected("slopes") {
        measure_slopes();
    }
}
