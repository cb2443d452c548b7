//! Admission by shared capacity: the controller alone, and real nodes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use azuremount::{
    decide::{
        admission::{
            Attempt, Controller, Reason, Repeats, Request, Total, max_min,
        },
        route::Capacity,
    },
    gateway::{
        self, Admission,
        plan::{Draft, Invalid, RetryPolicy, Route, Service, Team},
    },
    node,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Mutex,
    time::{Instant, sleep, timeout},
};

use crate::world::{
    TEST_TIMEOUT, TempFolder, apply_plan, draft, is_request, options,
    read_answer, sighting, status,
};

fn capacity(wait_ms: f32) -> Capacity {
    Capacity {
        replicas: 10.0,
        slots: 160.0,
        load: 150.0,
        wait_ms,
        busy: 1.0,
        token_ms: 0.02,
    }
}

fn request(team: u32, caller: u64) -> Request {
    Request {
        team,
        kind: 1,
        caller,
        priority: 1,
        target_ms: 1000.0,
        left_ms: 9000.0,
        tokens: 5000,
        predicted_ms: 300.0,
    }
}

/// Asks for `count` requests of a team in each of 40 steps of 50 ms. Returns
/// how many are admitted in the second half.
fn ask(
    controller: &mut Controller,
    teams: &[(u32, u64)],
    wait_ms: f32,
    nodes: usize,
) -> Vec<u64> {
    let mut admitted = vec![0; teams.len()];
    let mut caller = 1;
    for step in 1..=40 {
        let now = step * 50;
        controller.update(now, capacity(wait_ms), nodes);
        for (at, (team, count)) in teams.iter().enumerate() {
            for _ in 0..*count {
                caller += 1;
                let result = controller.admit(now, &request(*team, caller));
                admitted[at] += u64::from(result.is_ok() && step > 20);
            }
        }
    }
    admitted
}

/// Guards against shares that exceed the capacity or the demand.
#[test]
fn max_min_gives_to_others_what_one_leaves() {
    let parts = max_min(9.0, &[(1.0, 1.0), (10.0, 1.0), (10.0, 3.0)]);
    assert_eq!(parts, [1.0, 2.0, 6.0]);
    assert_eq!(max_min(0.0, &[(1.0, 1.0)]), [0.0]);
    assert_eq!(max_min(5.0, &[]), Vec::<f32>::new());
}

/// Guards against refusals by shares while the replicas have room.
#[test]
fn nothing_is_refused_while_nothing_waits() {
    let mut controller = Controller::open(1);
    let admitted = ask(&mut controller, &[(1, 50), (2, 1)], 0.0, 1);
    assert_eq!(admitted, [1000, 20]);
}

/// Guards against a node that takes the whole capacity when it knows nothing
/// of the other nodes.
#[test]
fn node_without_news_takes_its_share() {
    let alone = ask(&mut Controller::open(1), &[(1, 20)], 400.0, 1);
    let one_of_ten = ask(&mut Controller::open(1), &[(1, 20)], 400.0, 10);
    assert!(one_of_ten[0] * 4 < alone[0], "{one_of_ten:?} of {alone:?}");
    assert!(one_of_ten[0] > 0);
}

fn report(at: u64) -> Total {
    // 20 replicas' worth of work since time 0.
    let ms = at * 20;
    Total { team: 1, demand: ms, admitted: ms / 2, finished: ms / 2 }
}

/// Guards against demand that is lost with a datagram.
#[test]
fn lost_report_costs_nothing() {
    let demand = |skipped: u64| {
        let mut controller = Controller::open(1);
        for step in 1..=20 {
            let now = step * 100;
            if step != skipped {
                controller.record_report(now, 7, &[report(now)]);
            }
            controller.update(now, capacity(400.0), 2);
        }
        controller.room_and_demand().1
    };
    let (all, one_lost) = (demand(0), demand(10));
    assert!((all - one_lost).abs() < all / 20.0, "{all} {one_lost}");
    assert!((all - 20.0).abs() < 2.0, "{all}");
}

/// Guards against demand of before a freeze that is taken for the present.
#[test]
fn frozen_node_trusts_no_old_report() {
    let mut controller = Controller::open(1);
    for step in 1..=20 {
        let now = step * 100;
        controller.record_report(now, 7, &[report(now)]);
        controller.update(now, capacity(400.0), 2);
    }
    assert!(controller.room_and_demand().1 > 15.0);
    controller.update(4000, capacity(400.0), 2);
    assert!(controller.room_and_demand().1 < 1.0);
}

/// Guards against callers that gain by returning at once.
#[test]
fn early_return_is_refused_until_the_time_that_was_told() {
    let mut controller = Controller::open(1);
    ask(&mut controller, &[(1, 60)], 600.0, 1);
    let (caller, shortage) = (100_000..)
        .find_map(|caller| {
            let result = controller.admit(2000, &request(1, caller));
            result.err().map(|shortage| (caller, shortage))
        })
        .unwrap();
    let before: u64 = controller.totals().map(|total| total.demand).sum();
    for after in [0, 50, shortage.wait_ms - 30] {
        let again = controller.admit(2000 + after, &request(1, caller));
        let again = again.unwrap_err();
        assert_eq!(again.reason, Reason::Early);
        assert_eq!(again.wait_ms, shortage.wait_ms - after);
    }
    let after: u64 = controller.totals().map(|total| total.demand).sum();
    assert_eq!(before, after);
}

/// Guards against a memory of refusals that grows with a retry storm.
#[test]
fn remembered_refusals_are_bounded() {
    let mut repeats = Repeats::default();
    for caller in 0..5000 {
        repeats.record(10, caller, 1000 + caller);
    }
    let known = (0..5000)
        .filter(|caller| repeats.attempt(10, *caller) != Attempt::First);
    assert_eq!(known.count(), 512);
}

// ---- Real nodes ------------------------------------------------------------

fn read_plan(bytes: &[u8]) -> Result<Draft, Invalid> {
    let text = std::str::from_utf8(bytes).map_err(Invalid::unreadable)?;
    let plan = draft(text.parse().map_err(Invalid::unreadable)?);
    let team = |name: &str| Team {
        name: name.to_owned(),
        keys: vec![name.to_owned()],
        priority: None,
        quota: None,
    };
    let route = plan.routes[0].clone();
    Ok(Draft {
        routes: vec![Route {
            name: "chat".to_owned(),
            prefix: "/chat/".to_owned(),
            retry_policy: RetryPolicy::Stream,
            target_ms: 500,
            priority: 1,
            public: false,
            ..route
        }],
        services: vec![Service {
            max_batch: Some(8),
            ..plan.services[0].clone()
        }],
        teams: vec![team("blue"), team("red")],
        ..plan
    })
}

/// Starts a replica that reads one prompt at a time, each for 40 ms.
async fn spawn_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let reader = Arc::new(Mutex::new(()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, reader.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, reader: Arc<Mutex<()>>) {
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        while !is_request(&read) {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => read.extend_from_slice(&buffer[..count]),
            }
        }
        let text = String::from_utf8_lossy(&read).to_ascii_lowercase();
        read.clear();
        if !text.starts_with("get ") {
            let _reading = reader.lock().await;
            sleep(Duration::from_millis(40)).await;
        }
        let id = text.split("\r\nid: ").nth(1).unwrap_or("0");
        let id = id.lines().next().unwrap_or("0");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\
             \r\n10\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn chat(front: SocketAddr, team: &str, id: u64) -> (String, Duration) {
    let began = Instant::now();
    let mut client = TcpStream::connect(front).await.unwrap();
    let body = format!("{team} {id}");
    let request = format!(
        "POST /chat/ HTTP/1.1\r\nHost: here\r\nId: {id}\r\nKey: {team}\r\n\
         Tokens: 2000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    client.write_all(request.as_bytes()).await.unwrap();
    let answer = read_answer(&mut client).await;
    (status(&answer).to_owned(), began.elapsed())
}

/// Returns how many of blue's requests are answered in time and how many are
/// answered late, while red sends six times as many as the replica can read.
async fn flood(base: u32, admission: Admission) -> (usize, usize) {
    let folder = TempFolder::new();
    let ips: Vec<Ipv4Addr> =
        (1..=2).map(|at| Ipv4Addr::from(base + at)).collect();
    let mut nodes = Vec::new();
    for (at, ip) in ips.iter().enumerate() {
        let own = options(*ip, 7700, &ips);
        let is_first = at == 0;
        let own = node::Options {
            folder: is_first.then(|| folder.0.clone()),
            founds: is_first,
            is_first_start: is_first,
            read_plan,
            gateway: gateway::Options { admission, ..own.gateway },
            ..own
        };
        nodes.push(node::spawn(own).await.unwrap());
    }
    apply_plan(&nodes[0], 1).await;
    let engine = spawn_engine().await;
    let mut sequence = 1;
    let ready = async {
        for node in &nodes {
            while !node.is_ready() {
                sleep(Duration::from_millis(10)).await;
            }
        }
        for node in &nodes {
            node.apply_heartbeat(sighting("r", engine, 0));
        }
        // Blue has a history before red begins.
        for id in 0..40 {
            let front = nodes[id % 2].front().unwrap();
            chat(front, "blue", id as u64).await;
            let _ = chat(front, "red", id as u64).await;
        }
    };
    timeout(TEST_TIMEOUT, ready).await.expect("the nodes are not ready");
    let mut blue = Vec::new();
    for id in 100..700_u64 {
        let front = nodes[id as usize % 2].front().unwrap();
        if id % 10 == 0 {
            let front = nodes[id as usize / 10 % 2].front().unwrap();
            blue.push(tokio::spawn(
                async move { chat(front, "blue", id).await },
            ));
        } else {
            tokio::spawn(async move { chat(front, "red", id).await });
        }
        if id % 100 == 0 {
            sequence += 1;
            for node in &nodes {
                let says = sighting("r", engine, 0);
                let says = azuremount::wire::Sighting { sequence, ..says };
                node.apply_heartbeat(says);
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    let (mut in_time, mut late) = (0, 0);
    for one in blue {
        let (status, after) = one.await.unwrap();
        let is_in_time = after < Duration::from_millis(500);
        in_time += usize::from(status == "200" && is_in_time);
        late += usize::from(status == "200" && !is_in_time);
    }
    (in_time, late)
}

/// Guards against a team that is late or refused because another one floods.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flood_of_one_team_leaves_the_other_in_time() {
    let with = flood(0x7f4e_0100, Admission::Shared).await;
    let without = flood(0x7f4e_0200, Admission::Off).await;
    println!("in time and late: {with:?} shared, {without:?} off");
    assert!(with.0 > without.0, "{with:?} {without:?}");
}
