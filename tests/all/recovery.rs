//! Recovery of an acknowledged plan of realistic size on a site with six disks
//! and a few dozen nodes without one.

use std::{
    io::Write,
    sync::OnceLock,
    time::{Duration, Instant},
};

use azuremount::{
    control::{disk::Disk, ledger::Ledger},
    gateway::plan::{Draft, Invalid, Route, Team},
    node,
    wire::{Change, change},
};
use futures_util::future::join_all;
use prost::Message;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{sleep, timeout};

use crate::{
    nodes::Site,
    world::{TEST_TIMEOUT, TempFolder, draft},
};

/// Number of nodes with a disk, of which any two may lose it.
const DISKS: usize = 6;
const SURVIVABLE_LOSSES: usize = 2;
/// Number of nodes without a disk, which ask for the plan when they start.
const OTHERS: usize = 36;
/// The deployment's bound for serving again, and for reading the plan back.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// The deployment's bound for a member that came back with an empty disk.
const SYNC_TIME: Duration = Duration::from_secs(6);

/// Returns the text of a plan with 50 routes and 40 teams: its version in the
/// first line, and what does not compress well, such as keys, in the others.
fn plan_text(version: u64) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(version);
    let mut text = format!("{version}\n");
    for route in 0..50 {
        let path = rng.random::<u64>();
        text += &format!("route-{route} /services/{path:x}/ app 15000 2\n");
    }
    for team in 0..40 {
        let key = [rng.random::<u64>(), rng.random(), rng.random()];
        text += &format!("team-{team} {key:x?} 100 1000\n");
    }
    text.into_bytes()
}

/// Parses a plan of these tests.
fn read_large_plan(bytes: &[u8]) -> Result<Draft, Invalid> {
    let text = std::str::from_utf8(bytes).map_err(Invalid::unreadable)?;
    let version = text.lines().next().unwrap_or_default();
    let version = version.parse().map_err(Invalid::unreadable)?;
    let mut plan = draft(version);
    let route = plan.routes[0].clone();
    let team = plan.teams[0].clone();
    for line in text.lines().skip(1) {
        let mut words = line.split(' ');
        let name = words.next().unwrap_or_default().to_owned();
        let word = words.next().unwrap_or_default().to_owned();
        if name.starts_with("route") {
            let route = route.clone();
            plan.routes.push(Route { name, prefix: word, ..route });
        } else {
            let team = team.clone();
            plan.teams.push(Team { name, keys: vec![word], ..team });
        }
    }
    Ok(plan)
}

async fn submit_plan(node: &node::Handle, version: u64) {
    let accepted = async {
        while node.put_plan(&plan_text(version)).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, accepted).await.expect("plan not accepted");
}

/// Returns whether the member that starts with this data folder has the plan
/// of this version or a newer one in its log or snapshot.
fn holds_plan(folder: &TempFolder, version: u64) -> bool {
    let Ok((_, saved)) = Disk::open(&folder.0) else { return false };
    let snapshot = saved.snapshot.as_ref();
    let in_snapshot = snapshot
        .and_then(|snapshot| Ledger::decode(&snapshot.state))
        .is_some_and(|ledger| ledger.plan_version() >= version);
    in_snapshot
        || saved.entries.iter().any(|entry| {
            let change = Change::decode(entry.payload.as_slice());
            let kind = change.ok().and_then(|change| change.kind);
            matches!(kind, Some(change::Kind::PutPlan(plan))
                if plan.version >= version && !plan.source.is_empty())
        })
}

/// Submits a plan and returns the disks at the moment of its
/// acknowledgement.
async fn submit_and_copy(
    site: &Site,
    at: usize,
    version: u64,
) -> Vec<TempFolder> {
    submit_plan(site.node(at), version).await;
    (0..DISKS).map(|at| site.copy_disk(at)).collect()
}

/// Submits a plan, and checks that more disks hold it at the moment of its
/// acknowledgement than may be lost.
async fn submit_and_count_copies(site: &Site, at: usize, version: u64) {
    let disks = submit_and_copy(site, at, version).await;
    let copies = disks.iter().filter(|disk| holds_plan(disk, version));
    let count = copies.count();
    assert!(count > SURVIVABLE_LOSSES, "plan {version} is on {count} disks");
}

/// Returns the member that leads.
async fn leader(site: &Site) -> usize {
    let leads = |at: &usize| {
        let metrics = site.node(*at).metrics();
        metrics.contains("azuremount_control_leads 1")
    };
    let elected = async {
        loop {
            match (0..DISKS).find(leads) {
                Some(at) => return at,
                None => sleep(Duration::from_millis(20)).await,
            }
        }
    };
    timeout(TEST_TIMEOUT, elected).await.expect("no leader")
}

/// Waits until each node returns this plan and serves by it; returns the time
/// that it took.
async fn read_back(site: &Site, version: u64) -> Duration {
    let started_at = Instant::now();
    let reads = site.nodes().map(|node| async move {
        loop {
            match node.read_plan().await {
                Ok(plan) if plan.version > 0 => return plan,
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    });
    let plans = timeout(RECOVERY_TIME, join_all(reads)).await;
    for plan in plans.expect("the plan is not read back in time") {
        assert_eq!(plan.version, version);
        assert!(plan.source == plan_text(version), "another text");
    }
    let ready = async {
        while !site.nodes().all(node::Handle::is_ready) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let left = RECOVERY_TIME.saturating_sub(started_at.elapsed());
    timeout(left, ready).await.expect("not all nodes have a plan in time");
    started_at.elapsed()
}

/// Appends what a power loss leaves of a frame that was being written: the
/// beginning of its header, and zeros where its other sectors were not
/// written.
fn tear_log(disk: &TempFolder) {
    let log = disk.0.join("log");
    let mut file = std::fs::OpenOptions::new().append(true).open(log).unwrap();
    file.write_all(&[0x50, 0x31, 0, 0, 0x9a, 0x77]).unwrap();
    file.write_all(&[0; 9000]).unwrap();
}

/// Runs the tests that start dozens of nodes one after the other.
async fn one_at_a_time() -> tokio::sync::MutexGuard<'static, ()> {
    static LOCK: OnceLock<tokio::sync::Mutex<()>> = OnceLock::new();
    LOCK.get_or_init(Default::default).lock().await
}

/// Guards against the loss of an acknowledged plan that too few disks held at
/// the moment of its acknowledgement: while members join for the first time,
/// with all members, with one stopped, with one back, and with one or two just
/// back with an empty disk.
///
/// The disks are copied right after the acknowledgement, so a member that
/// writes a few milliseconds later counts as well.
#[tokio::test]
async fn an_acknowledged_plan_is_on_more_disks_than_may_be_lost() {
    let mut site = Site::open_killable(DISKS, 2, read_large_plan).await;
    let mut version = 1;
    let mut next = || {
        version += 1;
        version
    };
    // The founder has one voter at first; others join meanwhile.
    for _ in 0..20 {
        submit_and_count_copies(&site, 7, next()).await;
    }
    site.wait_until_all_serve().await;
    for stopped in [leader(&site).await, 5] {
        site.stop(stopped).await;
        let at = 6 + stopped % 2;
        for _ in 0..3 {
            submit_and_count_copies(&site, at, next()).await;
        }
        site.start(stopped, false).await;
        for _ in 0..10 {
            submit_and_count_copies(&site, at, next()).await;
        }
    }
    for round in 0..2 {
        let leader = leader(&site).await;
        site.wipe(leader).await;
        for _ in 0..10 {
            submit_and_count_copies(&site, 6, next()).await;
        }
        site.wipe((leader + 1 + round) % DISKS).await;
        for _ in 0..30 {
            submit_and_count_copies(&site, 7, next()).await;
            sleep(Duration::from_millis(50)).await;
        }
        // Both are voters again before the next disks are lost.
        sleep(SYNC_TIME).await;
    }
}

/// Guards against a plan that is acknowledged by three of six disks, in the
/// second before a leader that has lost its majority notices it. Two of these
/// disks may be lost, and the other three members outvote the last one.
#[tokio::test]
async fn a_plan_is_not_acknowledged_by_half_of_the_disks() {
    let mut site = Site::open_killable(DISKS, 0, read_large_plan).await;
    submit_plan(site.node(0), 1).await;
    site.wait_until_all_serve().await;
    sleep(SYNC_TIME).await;
    let leader = leader(&site).await;
    let stopped = [1, 2, 3].map(|step| (leader + step) % DISKS);
    for at in stopped {
        site.stop(at).await;
    }
    let put = site.node(leader).put_plan(&plan_text(2)).await;
    assert!(put.is_err(), "acknowledged by three of six disks: {put:?}");
    for at in stopped {
        site.start(at, false).await;
    }
    submit_plan(site.node(leader), 3).await;
    read_back(&site, 3).await;
}

/// Guards against a plan that is lost, or comes back late, after all nodes
/// lost power right after its acknowledgement: with a frame half written on
/// each disk, with one voter that lacked the plan, and without the disks of
/// the leader and another member.
#[tokio::test]
async fn a_plan_is_read_back_in_time_after_power_and_two_disks_are_lost() {
    let _guard = one_at_a_time().await;
    let mut site = Site::open_killable(DISKS, OTHERS, read_large_plan).await;
    submit_plan(site.node(DISKS), 1).await;
    site.wait_until_all_serve().await;
    sleep(SYNC_TIME).await;
    for version in 2..=3 {
        let leader = leader(&site).await;
        if version > 2 {
            // This member keeps its disk and lacks the plan.
            site.stop((leader + 1) % DISKS).await;
        }
        let disks = submit_and_copy(&site, DISKS + 1, version).await;
        let lost = [leader, (leader + 2) % DISKS];
        let disks = disks.into_iter().enumerate().map(|(at, disk)| {
            tear_log(&disk);
            (!lost.contains(&at)).then_some(disk)
        });
        site.kill_all(disks.collect()).await;
        let took = read_back(&site, version).await;
        eprintln!("plan {version} read back after {took:?}");
        if version < 3 {
            sleep(SYNC_TIME).await;
        }
    }
}

/// Guards against a plan that is lost, or comes back late, after all
/// processes were killed right after its acknowledgement, while one member has
/// just come back with an empty disk; another disk is lost with the processes.
#[tokio::test]
async fn a_plan_is_read_back_in_time_after_all_are_killed_in_a_join() {
    let _guard = one_at_a_time().await;
    let mut site = Site::open_killable(DISKS, OTHERS, read_large_plan).await;
    submit_plan(site.node(DISKS), 1).await;
    site.wait_until_all_serve().await;
    sleep(SYNC_TIME).await;
    // From before the member is a learner until it is a voter again.
    for (round, delay_ms) in [0, 600, 1100].into_iter().enumerate() {
        if round > 0 {
            sleep(SYNC_TIME).await;
        }
        let version = 2 + round as u64;
        let leader = leader(&site).await;
        let joining = (leader + 1 + round % 5) % DISKS;
        site.wipe(joining).await;
        sleep(Duration::from_millis(delay_ms)).await;
        let disks = submit_and_copy(&site, DISKS + 1, version).await;
        // The leader's disk is lost, or another one, or none.
        let lost = match round % 3 {
            0 => Some(leader),
            1 => (0..DISKS).find(|at| ![leader, joining].contains(at)),
            _ => None,
        };
        let disks = disks
            .into_iter()
            .enumerate()
            .map(|(at, disk)| (Some(at) != lost).then_some(disk));
        site.kill_all(disks.collect()).await;
        let took = read_back(&site, version).await;
        eprintln!("delay {delay_ms} ms, read back after {took:?}");
    }
}
