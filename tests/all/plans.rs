//! What operators and callers rely on while plans change, at nodes with and
//! without a disk.

use std::{net::SocketAddr, time::Duration};

use azuremount::{
    gateway::plan::{Draft, Invalid},
    node::PutError,
    wire::PutPlan,
};
use futures_util::future::join_all;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    nodes::Site,
    world::{
        HANG, REPORT_INTERVAL, Replica, TEST_TIMEOUT, draft, ok, post,
        read_answer, sighting, status,
    },
};

/// Time after a plan is acknowledged in which it has to be in force.
const IN_FORCE_TIME: Duration = Duration::from_millis(2000);
/// Time after its route's timeout in which a request has to be answered.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// A route's timeout.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Parses a plan of these tests: its version, the name of its only public
/// route, the key of its team, and the timeout of its routes in ms.
fn read_plan(bytes: &[u8]) -> Result<Draft, Invalid> {
    let text = std::str::from_utf8(bytes).map_err(Invalid::unreadable)?;
    let words: Vec<&str> = text.split(' ').collect();
    let [version, name, key, timeout_ms] = words[..] else {
        return Err(Invalid::unreadable("not four words"));
    };
    let mut draft = draft(version.parse().map_err(Invalid::unreadable)?);
    draft
        .routes
        .retain(|route| route.prefix == "/again/" || route.prefix == "/team/");
    let prefix = format!("/{name}/");
    draft.routes[0].name = prefix.clone();
    draft.routes[0].prefix = prefix;
    for route in &mut draft.routes {
        route.timeout_ms = timeout_ms.parse().map_err(Invalid::unreadable)?;
    }
    draft.teams[0].keys = vec![key.to_owned()];
    draft.teams[0].quota = None;
    Ok(draft)
}

/// Submits a plan until it is acknowledged or refused for good.
async fn submit(site: &Site, at: usize, text: &str) -> Result<u64, PutError> {
    let put = async {
        loop {
            match site.node(at).put_plan(text.as_bytes()).await {
                Err(PutError::NotConfirmed(..)) => {
                    sleep(Duration::from_millis(50)).await;
                }
                decided => return decided,
            }
        }
    };
    timeout(TEST_TIMEOUT, put).await.expect("the plan was not decided")
}

async fn read_back(site: &Site, at: usize) -> PutPlan {
    let read = async {
        loop {
            if let Ok(plan) = site.node(at).read_plan().await {
                return plan;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TEST_TIMEOUT, read).await.expect("the plan was not read")
}

/// Returns the status of a request with a key.
async fn call(front: SocketAddr, path: &str, key: &str) -> String {
    let mut client = TcpStream::connect(front).await.unwrap();
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: here\r\nKey: {key}\r\n\r\n");
    client.write_all(request.as_bytes()).await.unwrap();
    status(&read_answer(&mut client).await).to_owned()
}

/// Waits until all nodes answer these requests, each a path and a key, with
/// these statuses.
async fn wait_for(site: &Site, limit: Duration, all: &[(&str, &str, &str)]) {
    let mut seen = String::new();
    let answered = async {
        for (number, node) in site.nodes().enumerate() {
            let front = node.front().unwrap();
            for (path, key, expected) in all {
                loop {
                    let answer = call(front, path, key).await;
                    if answer == *expected {
                        break;
                    }
                    seen = format!("{answer} for {path} at node {number}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    };
    let answered = timeout(limit, answered).await;
    assert!(answered.is_ok(), "{seen}");
}

/// Opens a site with a plan and a replica that all nodes know.
async fn open(plan: &str, replica: &Replica) -> Site {
    let site = Site::open_with_plans(4, 2, read_plan).await;
    submit(&site, 5, plan).await.unwrap();
    site.wait_until_all_serve().await;
    for node in site.nodes() {
        node.apply_heartbeat(sighting("r", replica.address, 0));
    }
    sleep(REPORT_INTERVAL).await;
    site
}

/// Guards against nodes that go on with routes and keys of an older plan, or
/// refuse those of the newest one.
#[tokio::test]
async fn routes_and_keys_of_an_acknowledged_plan_are_in_force_everywhere() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let site = open("1 first one 9000", &replica).await;
    let first = [("/first/x", "one", "200"), ("/team/x", "one", "200")];
    wait_for(&site, TEST_TIMEOUT, &first).await;
    submit(&site, 5, "2 second two 9000").await.unwrap();
    let second = [
        ("/second/x", "two", "200"),
        ("/first/x", "two", "404"),
        ("/team/x", "one", "401"),
        ("/team/x", "two", "200"),
    ];
    wait_for(&site, IN_FORCE_TIME, &second).await;
}

/// Guards against a plan that changes although its version doesn't, that is
/// replaced by an older or invalid one, or that is refused when it is sent
/// again.
#[tokio::test]
async fn an_acknowledged_plan_keeps_its_content() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let plan = "3 third three 9000";
    let site = open(plan, &replica).await;
    for at in 0..6 {
        for sent in [plan, "3 other four 9000", "2 older two 9000"] {
            assert_eq!(submit(&site, at, sent).await, Ok(3), "{sent} at {at}");
        }
        for sent in ["4 fourth", "4 fourth four 0"] {
            let refused = submit(&site, at, sent).await;
            let is_invalid = matches!(refused, Err(PutError::Invalid(_)));
            assert!(is_invalid, "{sent} at {at}: {refused:?}");
        }
    }
    for at in 0..6 {
        let read = read_back(&site, at).await;
        let source = String::from_utf8(read.source).unwrap();
        assert_eq!((read.version, source.as_str()), (3, plan), "node {at}");
    }
    let third = [
        ("/third/x", "three", "200"),
        ("/team/x", "three", "200"),
        ("/other/x", "three", "404"),
        ("/older/x", "three", "404"),
        ("/fourth/x", "three", "404"),
    ];
    wait_for(&site, IN_FORCE_TIME, &third).await;
}

/// Guards against requests that stay unanswered after their route's timeout
/// because no replica answers.
#[tokio::test]
async fn requests_are_answered_at_their_routes_timeout() {
    let replica = Replica::spawn(|_| vec![HANG.to_owned()]).await;
    let plan = format!("1 slow one {}", TIMEOUT.as_millis());
    let site = open(&plan, &replica).await;
    let requests = site.nodes().enumerate().map(|(number, node)| {
        let front = node.front().unwrap();
        let request = async move { post(front, "/slow/x", number, "x").await };
        timeout(TIMEOUT + ANSWER_TIME, request)
    });
    for answer in join_all(requests).await {
        let answer = answer.expect("not answered");
        assert!(status(&answer).starts_with('5'), "{answer}");
    }
}
