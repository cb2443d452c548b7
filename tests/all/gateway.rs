//! A gateway between raw clients and raw replicas.
//!
//! Both sides are plain TCP here, so that a test decides every byte that goes
//! over the wire, also the wrong ones.

use std::{sync::atomic::Ordering, time::Duration};

use azuremount::wire::Sighting;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::world::{
    CLOSE, HANG, PATIENCE, Replica, WAIT, World, ended, events, full, ids,
    is_whole, ok, read_answer, sighting, status,
};

// ---- What clients send ------------------------------------------------------

/// Symptom: one request is answered twice, and the second answer belongs to
/// bytes that the client sent as a body. Sequence: a request names an unknown
/// transfer coding; the body is left unread and parsed as the next request.
/// Cause: a server that takes a coding that it does not know for none.
#[tokio::test]
async fn an_unknown_transfer_coding_smuggles_nothing() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let inner = "GET /again/inner HTTP/1.1\r\nHost: here\r\n\r\n";
    let answer = world
        .exchange(&format!(
            "POST /again/x HTTP/1.1\r\nHost: here\r\n\
             Transfer-Encoding: xchunked\r\n\r\n{inner}"
        ))
        .await;
    assert_eq!(status(&answer), "400", "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert_eq!(replica.seen(), Vec::<String>::new());
}

/// Symptom: a request runs under a route that its client did not mean.
/// Sequence: it names two hosts, or none, and is served all the same. Cause:
/// the first or the last one counts, differently at each hop.
#[tokio::test]
async fn a_request_needs_exactly_one_host() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    for hosts in ["", "Host: here\r\nHost: here\r\n"] {
        let request = format!("GET /again/x HTTP/1.1\r\n{hosts}\r\n");
        let answer = world.exchange(&request).await;
        assert_eq!(status(&answer), "400", "{hosts:?}");
    }
}

/// Symptom: two hops disagree on where a body ends. Cause: lengths that are
/// no plain number, or two of them, are taken by one of the hops.
#[tokio::test]
async fn lengths_that_are_not_one_plain_number_are_refused() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    for length in ["+4", "-1", "4, 5", "0x4", "4\r\nContent-Length: 5"] {
        let request = format!(
            "POST /again/x HTTP/1.1\r\nHost: here\r\n\
             Content-Length: {length}\r\n\r\nabcd"
        );
        let answer = world.exchange(&request).await;
        assert_eq!(status(&answer), "400", "{length:?}");
    }
    assert_eq!(replica.seen(), Vec::<String>::new());
}

/// Symptom: memory grows with bodies that will be refused anyway. Cause: the
/// length is only looked at once the body is there.
#[tokio::test]
async fn a_body_beyond_the_limit_is_refused_before_it_is_sent() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let answer = world
        .exchange(
            "POST /again/x HTTP/1.1\r\nHost: here\r\n\
             Content-Length: 1073741824\r\n\r\n",
        )
        .await;
    assert_eq!(status(&answer), "413");
    let chunk = format!("{:x}\r\n{}\r\n", 6000, "x".repeat(6000));
    let answer = world
        .exchange(&format!(
            "POST /again/x HTTP/1.1\r\nHost: here\r\n\
             Transfer-Encoding: chunked\r\n\r\n{chunk}{chunk}"
        ))
        .await;
    assert_eq!(status(&answer), "413");
}

/// Symptom: the process is killed for its memory, with all its requests.
/// Sequence: many clients send long bodies at the same time, each within the
/// limit. Cause: only each body by itself was bounded.
#[tokio::test]
async fn bodies_are_bounded_together_and_room_is_given_back() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let head = "POST /again/x HTTP/1.1\r\nHost: here\r\n\
                Content-Length: 10000\r\n\r\n";
    let mut held = Vec::new();
    for _ in 0..3 {
        let mut client = TcpStream::connect(world.front).await.unwrap();
        let part = format!("{head}{}", "x".repeat(9900));
        client.write_all(part.as_bytes()).await.unwrap();
        held.push(client);
    }
    let whole = format!("{head}{}", "x".repeat(10_000));
    let refused = async {
        loop {
            let answer = world.exchange(&whole).await;
            if status(&answer) == "503" {
                return answer;
            }
        }
    };
    let answer = timeout(PATIENCE, refused).await.expect("all were taken");
    assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
    drop(held);
    let served = async {
        while status(&world.exchange(&whole).await) != "200" {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, served).await.expect("room was never given back");
}

/// Symptom: memory grows with a replica's answer, and the client waits for
/// all of it. Sequence: a long answer comes in chunks, without a length.
/// Cause: only the length in the head was compared to what is kept whole.
#[tokio::test]
async fn a_long_answer_in_chunks_is_passed_on_as_it_comes() {
    let replica = Replica::spawn(|_| {
        let chunk = format!("{:x}\r\n{}\r\n", 50_000, "y".repeat(50_000));
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut pieces = vec![head.to_owned()];
        pieces.extend(std::iter::repeat_n(chunk, 8));
        pieces.push(HANG.to_owned());
        pieces
    })
    .await;
    let world = World::open(&[("r", replica.address)]).await;
    let mut client = TcpStream::connect(world.front).await.unwrap();
    let request = "GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
    client.write_all(request.as_bytes()).await.unwrap();
    let mut read = vec![0; 400_000];
    let all = timeout(PATIENCE, client.read_exact(&mut read)).await;
    assert!(all.is_ok_and(|read| read.is_ok()), "not passed on");
}

#[tokio::test]
async fn a_head_beyond_the_limit_is_refused() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let long = "x".repeat(20_000);
    let answer = world
        .exchange(&format!(
            "GET /again/x HTTP/1.1\r\nHost: here\r\nLong: {long}\r\n\r\n"
        ))
        .await;
    assert_eq!(status(&answer), "431");
}

/// Symptom: the number of open connections grows until none is accepted.
/// Sequence: clients send half a head and then nothing. Cause: only whole
/// requests have a time limit.
#[tokio::test]
async fn a_client_that_stops_within_a_head_is_cut_off() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let answer = world.exchange("GET /again/x HTTP/1.1\r\nHos").await;
    assert_ne!(status(&answer), "200");
}

/// Symptom: requests on kept connections fail at random. Sequence: a client
/// reuses a connection after a pause that the limits allow; the server has
/// closed it. Cause: the limit for a head also runs while nothing is sent.
#[tokio::test]
async fn a_connection_may_be_idle_for_longer_than_a_head_may_take() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let mut stream = TcpStream::connect(world.front).await.unwrap();
    let request = b"GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
    for _ in 0..2 {
        stream.write_all(request).await.unwrap();
        assert_eq!(status(&read_answer(&mut stream).await), "200");
        // Twice the limit for a head, half of that for idle connections.
        sleep(Duration::from_millis(800)).await;
    }
}

/// Symptom: connections that nobody uses stay open for good. Sequence: a
/// client is answered and sends nothing more. Cause: the limit was set only
/// when the connection was next read, which nothing caused.
#[tokio::test]
async fn a_connection_that_stays_idle_is_closed() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let mut stream = TcpStream::connect(world.front).await.unwrap();
    let request = b"GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
    stream.write_all(request).await.unwrap();
    assert_eq!(status(&read_answer(&mut stream).await), "200");
    let mut buffer = [0; 64];
    let closed = timeout(PATIENCE, stream.read(&mut buffer)).await;
    assert_eq!(closed.expect("still open").unwrap(), 0);
}

/// Symptom: replicas work on answers that nobody reads. Sequence: a client
/// sends a request and closes; the replica is still at work. Cause: a server
/// that notices a close only when it next writes.
#[tokio::test]
async fn a_client_that_leaves_frees_the_replica() {
    for path in ["/again/x", "/once/x", "/stream/x", "/resume/x"] {
        let mut replica = Replica::spawn(|_| vec![HANG.to_owned()]).await;
        let world = World::open(&[("r", replica.address)]).await;
        let mut stream = TcpStream::connect(world.front).await.unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nHost: here\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        replica.next().await;
        drop(stream);
        let freed = async {
            while replica.closed.load(Ordering::Relaxed) == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(PATIENCE, freed).await.expect(path);
    }
}

/// As above, with a stream that has begun and then has nothing to say.
#[tokio::test]
async fn a_client_that_leaves_a_quiet_stream_frees_the_replica() {
    let replica = Replica::spawn(|_| {
        let mut pieces = events(1..=2);
        pieces.push(HANG.to_owned());
        pieces
    })
    .await;
    let world = World::open(&[("r", replica.address)]).await;
    let mut stream = TcpStream::connect(world.front).await.unwrap();
    let request = "GET /stream/x HTTP/1.1\r\nHost: here\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = [0; 64];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    drop(stream);
    let freed = async {
        while replica.closed.load(Ordering::Relaxed) == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, freed).await.expect("the replica still works");
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let replica = Replica::spawn(|head| {
        let path = head.split(' ').nth(1).unwrap_or("");
        ok(path)
    })
    .await;
    let world = World::open(&[("r", replica.address)]).await;
    let mut stream = TcpStream::connect(world.front).await.unwrap();
    let one = "GET /again/1 HTTP/1.1\r\nHost: here\r\n\r\n";
    let two = "GET /again/2 HTTP/1.1\r\nHost: here\r\n\r\n";
    stream.write_all(format!("{one}{two}").as_bytes()).await.unwrap();
    let mut read = String::new();
    while !read.contains("/again/2") {
        read += &read_answer(&mut stream).await;
    }
    assert!(read.find("/again/1") < read.find("/again/2"), "{read}");
}

/// Symptom: a client acts in the name of another team, or its key is seen by
/// a replica. Cause: headers that only the system may set are passed on.
#[tokio::test]
async fn only_the_system_says_whose_request_it_is() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let answer = world
        .exchange(
            "GET /team/x HTTP/1.1\r\nHost: here\r\nKey: sesame\r\n\
             Team: red\r\nConnection: other\r\nOther: 1\r\n\r\n",
        )
        .await;
    assert_eq!(status(&answer), "200");
    let head = replica.next().await;
    assert!(head.contains("team: blue"), "{head}");
    assert!(!head.contains("sesame") && !head.contains("red"), "{head}");
    assert!(!head.contains("other"), "{head}");
    let answer =
        world.exchange("GET /team/x HTTP/1.1\r\nHost: here\r\n\r\n").await;
    assert_eq!(status(&answer), "401");
    assert_eq!(replica.seen(), Vec::<String>::new());
}

#[tokio::test]
async fn a_team_beyond_its_quota_is_told_when_to_come_back() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = World::open(&[("r", replica.address)]).await;
    let request = "GET /team/x HTTP/1.1\r\nHost: here\r\nKey: sesame\r\n\r\n";
    let mut answers = Vec::new();
    for _ in 0..5 {
        answers.push(world.exchange(request).await);
    }
    let served = answers.iter().filter(|one| status(one) == "200").count();
    assert!((3..5).contains(&served), "{served} of a burst of 3");
    let refused = answers.last().unwrap();
    assert_eq!(status(refused), "429");
    assert!(refused.contains("retry-after: "), "{refused}");
    assert!(refused.contains("azuremount-verdict: not run"), "{refused}");
}

// ---- What replicas do -------------------------------------------------------

/// Symptom: an offer is confirmed twice. Sequence: the replica reads the
/// request and closes without an answer; the request is sent again. Cause: a
/// close after the first byte is taken for "not run".
#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let mut one = Replica::spawn(|_| Vec::new()).await;
    let mut two = Replica::spawn(|_| Vec::new()).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    let answer = world.get("/once/x").await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert!(answer.contains("may have run"), "{answer}");
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

#[tokio::test]
async fn a_request_that_may_run_twice_is_sent_to_another_replica() {
    let one = Replica::spawn(|_| Vec::new()).await;
    let two = Replica::spawn(|_| ok("fine")).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    for _ in 0..4 {
        assert_eq!(status(&world.get("/again/x").await), "200");
    }
}

/// Symptom: a client is told "not run" of a request that ran, or is not told
/// when to come back. Here every replica proves that it did not run it.
#[tokio::test]
async fn a_request_that_nobody_ran_may_come_back() {
    let one = Replica::spawn(|_| full()).await;
    let two = Replica::spawn(|_| full()).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    let answer = world.get("/once/x").await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.contains("azuremount-verdict: not run"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
}

#[tokio::test]
async fn a_full_replica_is_passed_over_even_for_what_must_run_once() {
    let one = Replica::spawn(|_| full()).await;
    let two = Replica::spawn(|_| ok("fine")).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    for _ in 0..4 {
        assert_eq!(status(&world.get("/once/x").await), "200");
    }
}

/// Symptom: a client gets somebody else's answer. Sequence: a replica sends
/// an extra answer late, where the next one is expected. Cause: answers are
/// matched by their order alone.
#[tokio::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    let replica = Replica::spawn(|_| {
        vec![
            "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 6\r\n\r\nsecret"
                .to_owned(),
        ]
    })
    .await;
    let world = World::open(&[("r", replica.address)]).await;
    let request = "GET /once/x HTTP/1.1\r\nHost: here\r\nId: mine\r\n\r\n";
    let answer = world.exchange(request).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert!(!answer.contains("secret"), "{answer}");
}

/// Symptom: half an answer is taken for whole. Sequence: the replica breaks
/// off within its body. Cause: the head went out before the body was there.
#[tokio::test]
async fn a_broken_answer_is_never_passed_on_as_whole() {
    let broken = |_: &str| {
        vec![
            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".to_owned(),
            CLOSE.to_owned(),
        ]
    };
    let replica = Replica::spawn(broken).await;
    let world = World::open(&[("r", replica.address)]).await;
    let answer = world.get("/once/x").await;
    assert_eq!(status(&answer), "502", "{answer}");
}

/// Symptom: a stream ends early and looks complete, or events are missing or
/// doubled after it went on elsewhere. Sequence: the first replica dies in
/// the middle of event 4; the second goes on behind event 3.
#[tokio::test]
async fn a_stream_goes_on_behind_the_last_whole_event() {
    let respond = |head: &str| {
        if head.contains("last: 3") {
            return ended(events(4..=6));
        }
        let mut pieces = events(1..=3);
        pieces.push("e\r\nid: 4\ndata: pi\r\n".to_owned());
        pieces.push(CLOSE.to_owned());
        pieces
    };
    let one = Replica::spawn(respond).await;
    let two = Replica::spawn(respond).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    let answer = world.get("/resume/x").await;
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5, 6], "{answer}");
    assert!(is_whole(&answer), "{answer}");
}

/// As above, where the answer has no length and ends with its connection: the
/// close alone does not say that the stream is whole.
#[tokio::test]
async fn a_stream_that_closes_within_an_event_goes_on() {
    let respond = |head: &str| {
        let mut pieces = vec!["HTTP/1.1 200 OK\r\n\r\n".to_owned()];
        pieces.push(match head.contains("last: 1") {
            true => "id: 2\ndata: two\n\n".to_owned(),
            false => "id: 1\ndata: one\n\nid: 2\nda".to_owned(),
        });
        pieces.push(CLOSE.to_owned());
        pieces
    };
    let one = Replica::spawn(respond).await;
    let two = Replica::spawn(respond).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    let answer = world.get("/resume/x").await;
    assert_eq!(ids(&answer), [1, 2], "{answer}");
    assert!(answer.contains("data: two"), "{answer}");
    assert!(is_whole(&answer), "{answer}");
}

/// As above on a route whose streams can't be resumed: what the client got
/// must look cut off, and nothing runs a second time.
#[tokio::test]
async fn a_broken_stream_looks_broken() {
    let respond = |_: &str| {
        let mut pieces = events(1..=3);
        pieces.push(CLOSE.to_owned());
        pieces
    };
    let mut one = Replica::spawn(respond).await;
    let mut two = Replica::spawn(respond).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    let answer = world.get("/stream/x").await;
    assert_eq!(ids(&answer), [1, 2, 3], "{answer}");
    assert!(!is_whole(&answer), "{answer}");
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

/// Symptom: a replica that is leaving goes on getting requests. Sequence: it
/// says that it leaves; a heartbeat from before that arrives late. Cause: the
/// late one counts as its newest word.
#[tokio::test]
async fn a_leaving_replica_stays_left_alone() {
    let mut one = Replica::spawn(|_| ok("one")).await;
    let mut two = Replica::spawn(|_| ok("two")).await;
    let world =
        World::open(&[("one", one.address), ("two", two.address)]).await;
    let leaving = 1;
    let says = sighting("one", one.address, leaving);
    world.node.sight(Sighting { sequence: 7, ..says });
    world.node.sight(sighting("one", one.address, 0));
    world
        .node
        .sight(Sighting { sequence: 8, ..sighting("one", one.address, 0) });
    for _ in 0..6 {
        assert_eq!(status(&world.get("/once/x").await), "200");
    }
    assert_eq!(one.seen().len(), 0);
    assert_eq!(two.seen().len(), 6);
}

/// Symptom: a connection that is used again carries bytes of an old body.
/// Sequence: a replica answers before it has read a long body and keeps the
/// connection. Cause: the connection goes back to the idle ones.
#[tokio::test]
async fn an_early_answer_to_a_long_body_costs_the_connection() {
    let early = |_: &str| ok("early");
    let mut replica = Replica::spawn(early).await;
    let world = World::open(&[("r", replica.address)]).await;
    let body = "x".repeat(9000);
    let request = format!(
        "POST /again/x HTTP/1.1\r\nHost: here\r\n\
         Content-Length: 9000\r\n\r\n{body}"
    );
    for _ in 0..3 {
        assert_eq!(status(&world.exchange(&request).await), "200");
    }
    for head in replica.seen() {
        assert!(head.starts_with("POST /again/x HTTP/1.1"), "{head}");
    }
}

/// Symptom: a stop cuts requests off. Sequence: a request runs; the node is
/// told to stop; the replica answers after that.
#[tokio::test]
async fn a_stop_finishes_what_runs() {
    let mut replica = Replica::spawn(|_| {
        let mut pieces = ok("fine");
        pieces.insert(0, WAIT.to_owned());
        pieces
    })
    .await;
    let world = World::open(&[("r", replica.address)]).await;
    let mut stream = TcpStream::connect(world.front).await.unwrap();
    let request = b"GET /once/x HTTP/1.1\r\nHost: here\r\n\r\n";
    stream.write_all(request).await.unwrap();
    replica.next().await;
    let node = world.node.clone();
    let stopping = tokio::spawn(async move {
        node.shutdown(Duration::from_secs(8)).await;
    });
    let answer = read_answer(&mut stream).await;
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(!world.node.is_ready());
    stopping.await.unwrap();
}
