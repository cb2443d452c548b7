//! Nodes that learn of a newer plan while other nodes don't answer calls.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use azuremount::{
    control::client::Client,
    node,
    wire::{PlanQuery, Query, query, query_reply},
};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::world::{
    REPORT_INTERVAL, TEST_TIMEOUT, TempFolder, TestNode, apply_plan, options,
    post, report_node, status,
};

/// The port for traffic between nodes.
const PORT: u16 = 7703;
/// Time after a plan is acknowledged in which it has to be in force.
const IN_FORCE_TIME: Duration = Duration::from_millis(2000);
/// Number of silent nodes.
const SILENT: u32 = 12;

/// Nodes that report a plan and never answer a call, like ones that stop after
/// their last report.
struct SilentNodes {
    plan_version: Arc<AtomicU64>,
    _listeners: Vec<TcpListener>,
    _reports: JoinSet<()>,
}

impl SilentNodes {
    async fn spawn(ips: &[Ipv4Addr], to: Ipv4Addr) -> SilentNodes {
        let plan_version = Arc::new(AtomicU64::new(0));
        let mut listeners = Vec::new();
        let mut reports = JoinSet::new();
        for ip in ips {
            // Connections are established by the kernel, and never read.
            listeners.push(TcpListener::bind((*ip, PORT)).await.unwrap());
            let version = plan_version.clone();
            let version = move || version.load(Ordering::Relaxed);
            let at = SocketAddrV4::new(*ip, PORT);
            reports.spawn(report_node(at, to, version));
        }
        SilentNodes { plan_version, _listeners: listeners, _reports: reports }
    }

    fn report(&self, version: u64) {
        self.plan_version.store(version, Ordering::Relaxed);
    }
}

/// A leader, a node without a disk, and silent nodes that report to the latter.
struct Site {
    leader: node::Handle,
    node: node::Handle,
    silent: SilentNodes,
    _folder: TempFolder,
}

impl Site {
    async fn open(net: u32) -> Site {
        let ip = |at| Ipv4Addr::from(0x7f5a_0000 + (net << 8) + at);
        let folder = TempFolder::new();
        let leader = node::Options {
            folder: Some(folder.0.clone()),
            founds: true,
            ..options(ip(1), PORT, &[ip(1)])
        };
        let leader = node::spawn(leader).await.unwrap();
        let node = node::spawn(options(ip(2), PORT, &[ip(1)])).await.unwrap();
        apply_plan(&leader, 1).await;
        wait_for_plan(&node, 1, TEST_TIMEOUT).await;
        let ips: Vec<Ipv4Addr> = (3..3 + SILENT).map(ip).collect();
        let silent = SilentNodes::spawn(&ips, ip(2)).await;
        sleep(2 * REPORT_INTERVAL).await;
        Site { leader, node, silent, _folder: folder }
    }
}

fn plan_in_force(node: &node::Handle) -> u64 {
    let metrics = node.metrics();
    let line = metrics
        .lines()
        .find(|line| line.starts_with("azuremount_revision_in_force "));
    let value = line.and_then(|line| line.split(' ').nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

async fn wait_for_plan(node: &node::Handle, version: u64, limit: Duration) {
    let in_force = async {
        while plan_in_force(node) < version {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(limit, in_force).await.expect("plan not in force in time");
}

/// Guards against a plan that is in force late because nodes that reported it
/// don't answer: the node asked one at a time and waited for seconds.
#[tokio::test]
async fn a_plan_is_in_force_in_time_although_most_nodes_are_silent() {
    let site = Site::open(1).await;
    for version in 2..=5 {
        apply_plan(&site.leader, version).await;
        site.silent.report(version);
        wait_for_plan(&site.node, version, IN_FORCE_TIME).await;
    }
}

/// Guards against a plan that is in force late because all nodes that had
/// reported it first are silent, and those that report it later are not asked.
#[tokio::test]
async fn a_node_that_reports_a_plan_later_is_asked_as_well() {
    let site = Site::open(4).await;
    site.silent.report(2);
    sleep(2 * REPORT_INTERVAL).await;
    apply_plan(&site.leader, 2).await;
    wait_for_plan(&site.node, 2, IN_FORCE_TIME).await;
}

/// Guards against refusals for good by an outdated plan: a newer one may have
/// the route or the key, and the node knows that there is one.
#[tokio::test]
async fn an_unknown_route_is_refused_for_good_only_by_the_newest_plan() {
    let site = Site::open(2).await;
    let front = site.node.front().unwrap();
    let no_route = post(front, "/nowhere/x", 1, "").await;
    assert_eq!(status(&no_route), "404", "{no_route}");
    let no_key = post(front, "/team/x", 2, "").await;
    assert_eq!(status(&no_key), "401", "{no_key}");
    site.silent.report(9);
    let refused = async {
        loop {
            let answer = post(front, "/nowhere/x", 3, "").await;
            if status(&answer) == "503" {
                return answer;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    let refused = timeout(TEST_TIMEOUT, refused).await.expect("still 404");
    assert!(refused.to_lowercase().contains("\r\nretry-after: "), "{refused}");
    let no_key = post(front, "/team/x", 4, "").await;
    assert_eq!(status(&no_key), "503", "{no_key}");
}

/// Guards against reads of the plan that fail because the member that was
/// asked is silent, although another one would answer.
#[tokio::test]
async fn the_plan_is_read_in_time_although_a_member_is_silent() {
    let ip = Ipv4Addr::from(0x7f5a_0301);
    let silent = SocketAddr::from((ip, PORT));
    let _listener = TcpListener::bind(silent).await.unwrap();
    let world = TestNode::open(&[]).await;
    let SocketAddr::V4(front) = world.front else { panic!("IPv4 only") };
    let member = SocketAddr::V4(SocketAddrV4::new(*front.ip(), 7700));
    let client = Client::open(&[silent]);
    client.set_members(&[silent, member]);
    let plan = query::Kind::Plan(PlanQuery { held: 0 });
    let query = Query { kind: Some(plan) };
    let limit = Duration::from_millis(800);
    let reply = client.read(query, limit).await.expect("not read");
    let Some(query_reply::Kind::Plan(plan)) = reply.kind else {
        panic!("not a plan")
    };
    assert_eq!(plan.version, 1);
}
