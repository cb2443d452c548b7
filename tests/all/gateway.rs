//! Tests of a gateway between callers and replicas that are plain TCP sockets,
//! so that a test controls every byte on the wire and can send invalid ones.

use std::{sync::atomic::Ordering, time::Duration};

use azuremount::wire::Sighting;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    departures::send_heartbeats,
    world::{
        CLOSE, HANG, Replica, TEST_TIMEOUT, TestNode, WAIT, ended, events,
        full, ids, is_whole, ok, read_answer, sighting, status,
    },
};

// ---- Requests from callers -------------------------------------------------

/// Guards against request smuggling: a server that ignores an unknown transfer
/// coding leaves the body unread, and parses and answers it as another
/// request.
#[tokio::test]
async fn unknown_transfer_coding_does_not_smuggle_a_request() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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

/// Guards against requests that are routed by a host that the caller did not
/// mean: a request with two Host headers, or none, is served, and one hop may
/// use the first host and another hop the last.
#[tokio::test]
async fn a_request_needs_exactly_one_host() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    for hosts in ["", "Host: here\r\nHost: here\r\n"] {
        let request = format!("GET /again/x HTTP/1.1\r\n{hosts}\r\n");
        let answer = world.exchange(&request).await;
        assert_eq!(status(&answer), "400", "{hosts:?}");
    }
}

/// Guards against two hops that disagree on where a body ends, because one of
/// them accepts a Content-Length that is not a plain number, or two of them.
#[tokio::test]
async fn invalid_content_lengths_are_refused() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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

/// Guards against buffering bodies that are refused anyway, because the length
/// is checked only after the whole body has arrived.
#[tokio::test]
async fn a_body_beyond_the_limit_is_refused_before_it_is_sent() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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

/// Guards against running out of memory, which kills the process with all its
/// requests, when many callers send long bodies at once and only the size of
/// each body is limited.
#[tokio::test]
async fn bodies_share_a_memory_budget_that_is_released() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let head = "POST /again/x HTTP/1.1\r\nHost: here\r\n\
                Content-Length: 10000\r\n\r\n";
    let mut clients = Vec::new();
    for _ in 0..3 {
        let mut client = TcpStream::connect(world.front).await.unwrap();
        let part = format!("{head}{}", "x".repeat(9900));
        client.write_all(part.as_bytes()).await.unwrap();
        clients.push(client);
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
    let answer =
        timeout(TEST_TIMEOUT, refused).await.expect("every body was accepted");
    assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
    drop(clients);
    let served = async {
        while status(&world.exchange(&whole).await) != "200" {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TEST_TIMEOUT, served)
        .await
        .expect("the memory was never released");
}

/// Guards against buffering a long answer, for which the caller has to wait: a
/// chunked answer has no length in its head, so the size has to be checked as
/// it arrives.
#[tokio::test]
async fn long_chunked_answer_is_streamed() {
    let replica = Replica::spawn(|_| {
        let chunk = format!("{:x}\r\n{}\r\n", 50_000, "y".repeat(50_000));
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut pieces = vec![head.to_owned()];
        pieces.extend(std::iter::repeat_n(chunk, 8));
        pieces.push(HANG.to_owned());
        pieces
    })
    .await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let mut client = TcpStream::connect(world.front).await.unwrap();
    let request = "GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
    client.write_all(request.as_bytes()).await.unwrap();
    let mut read = vec![0; 400_000];
    let all = timeout(TEST_TIMEOUT, client.read_exact(&mut read)).await;
    assert!(all.is_ok_and(|read| read.is_ok()), "not forwarded");
}

#[tokio::test]
async fn a_head_beyond_the_limit_is_refused() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let long = "x".repeat(20_000);
    let answer = world
        .exchange(&format!(
            "GET /again/x HTTP/1.1\r\nHost: here\r\nLong: {long}\r\n\r\n"
        ))
        .await;
    assert_eq!(status(&answer), "431");
}

/// Guards against connections that stay open until no more are accepted, when
/// callers stop within a request head and only complete requests time out.
#[tokio::test]
async fn caller_that_stalls_within_a_head_is_disconnected() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let answer = world.exchange("GET /again/x HTTP/1.1\r\nHos").await;
    assert_ne!(status(&answer), "200");
}

/// Guards against random failures on reused connections: if the head timeout
/// also runs while a connection is idle, the server closes it although the
/// idle timeout has not passed.
#[tokio::test]
async fn a_connection_may_be_idle_for_longer_than_a_head_may_take() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let mut stream = TcpStream::connect(world.front).await.unwrap();
    let request = b"GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
    for _ in 0..2 {
        stream.write_all(request).await.unwrap();
        assert_eq!(status(&read_answer(&mut stream).await), "200");
        // Twice the head timeout, about half of the idle timeout.
        sleep(Duration::from_millis(800)).await;
    }
}

/// Guards against idle connections that stay open forever: after an answer
/// nothing polls the connection, so an idle timeout that is set on the next
/// read never starts.
#[tokio::test]
async fn a_connection_that_stays_idle_is_closed() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let mut stream = TcpStream::connect(world.front).await.unwrap();
    let request = b"GET /again/x HTTP/1.1\r\nHost: here\r\n\r\n";
    stream.write_all(request).await.unwrap();
    assert_eq!(status(&read_answer(&mut stream).await), "200");
    let mut buffer = [0; 64];
    let closed = timeout(TEST_TIMEOUT, stream.read(&mut buffer)).await;
    assert_eq!(closed.expect("the connection is still open").unwrap(), 0);
}

/// Guards against replicas that go on computing an answer after the caller has
/// closed the connection, because the server notices the close only on its
/// next write.
#[tokio::test]
async fn caller_disconnect_closes_the_replica_connection() {
    for path in ["/again/x", "/once/x", "/stream/x", "/resume/x"] {
        let mut replica = Replica::spawn(|_| vec![HANG.to_owned()]).await;
        let world = TestNode::open(&[("r", replica.address)]).await;
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
        timeout(TEST_TIMEOUT, freed).await.expect(path);
    }
}

/// As above, with a stream that has begun and then sends nothing.
#[tokio::test]
async fn caller_disconnect_from_a_silent_stream_closes_the_replica_connection()
{
    let replica = Replica::spawn(|_| {
        let mut pieces = events(1..=2);
        pieces.push(HANG.to_owned());
        pieces
    })
    .await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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
    timeout(TEST_TIMEOUT, freed)
        .await
        .expect("the replica's connection is still open");
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let replica = Replica::spawn(|head| {
        let path = head.split(' ').nth(1).unwrap_or("");
        ok(path)
    })
    .await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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

/// Guards against a caller that impersonates another team, or whose API key
/// reaches a replica, because headers that only the gateway may set are
/// forwarded.
#[tokio::test]
async fn callers_cannot_set_the_team_header() {
    let mut replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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
async fn request_over_the_quota_gets_a_retry_delay() {
    let replica = Replica::spawn(|_| ok("fine")).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let request = "GET /team/x HTTP/1.1\r\nHost: here\r\nKey: sesame\r\n\r\n";
    let mut answers = Vec::new();
    for _ in 0..5 {
        answers.push(world.exchange(request).await);
    }
    let served =
        answers.iter().filter(|answer| status(answer) == "200").count();
    assert!((3..5).contains(&served), "{served} of a burst of 3");
    let refused = answers.last().unwrap();
    assert_eq!(status(refused), "429");
    assert!(refused.contains("retry-after: "), "{refused}");
    assert!(refused.contains("azuremount-verdict: not run"), "{refused}");
}

// ---- Answers from replicas -------------------------------------------------

/// Guards against running a request twice, for example confirming an offer
/// twice: the replica reads the request and closes the connection without an
/// answer, and the gateway takes that for "not run" and retries.
#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again() {
    let mut one = Replica::spawn(|_| Vec::new()).await;
    let mut two = Replica::spawn(|_| Vec::new()).await;
    let world =
        TestNode::open(&[("one", one.address), ("two", two.address)]).await;
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
        TestNode::open(&[("one", one.address), ("two", two.address)]).await;
    for _ in 0..4 {
        assert_eq!(status(&world.get("/again/x").await), "200");
    }
}

/// Guards against a wrong "not run" verdict and a missing `Retry-After`. Here
/// every replica declares that it did not run the request.
#[tokio::test]
async fn request_that_no_replica_ran_gets_a_retry_delay() {
    let one = Replica::spawn(|_| full()).await;
    let two = Replica::spawn(|_| full()).await;
    let world =
        TestNode::open(&[("one", one.address), ("two", two.address)]).await;
    let answer = world.get("/once/x").await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.contains("azuremount-verdict: not run"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
}

#[tokio::test]
async fn non_idempotent_request_is_retried_after_a_full_replica() {
    let one = Replica::spawn(|_| full()).await;
    let two = Replica::spawn(|_| ok("fine")).await;
    let world =
        TestNode::open(&[("one", one.address), ("two", two.address)]).await;
    for _ in 0..4 {
        assert_eq!(status(&world.get("/once/x").await), "200");
    }
}

/// Guards against sending a caller the answer to another request: a replica
/// sends an extra answer late, and answers are matched only by their order.
#[tokio::test]
async fn answer_to_another_request_is_not_forwarded() {
    let replica = Replica::spawn(|_| {
        vec![
            "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 6\r\n\r\nsecret"
                .to_owned(),
        ]
    })
    .await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let request = "GET /once/x HTTP/1.1\r\nHost: here\r\nId: mine\r\n\r\n";
    let answer = world.exchange(request).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert!(!answer.contains("secret"), "{answer}");
}

/// Guards against a partial answer that looks complete: the replica closes the
/// connection within the body after the gateway has already forwarded the
/// head.
#[tokio::test]
async fn broken_answer_is_not_forwarded_as_complete() {
    let broken = |_: &str| {
        vec![
            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".to_owned(),
            CLOSE.to_owned(),
        ]
    };
    let replica = Replica::spawn(broken).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
    let answer = world.get("/once/x").await;
    assert_eq!(status(&answer), "502", "{answer}");
}

/// Opens a node that gets heartbeats of these replicas. A stream goes on only
/// once a heartbeat shows which incarnation began it.
async fn open_with_heartbeats(replicas: &[&Replica]) -> TestNode {
    let addresses = replicas.iter().map(|replica| replica.address).collect();
    let world = TestNode::open(&[]).await;
    tokio::spawn(send_heartbeats(world.node.clone(), addresses));
    sleep(Duration::from_millis(50)).await;
    world
}

/// Guards against streams that end early but look complete, and against
/// missing or duplicate events after a resume. The first replica stops within
/// event 4, and the second one resumes after event 3.
#[tokio::test]
async fn stream_resumes_after_the_last_whole_event() {
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
    let world = open_with_heartbeats(&[&one, &two]).await;
    let answer = world.get("/resume/x").await;
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5, 6], "{answer}");
    assert!(is_whole(&answer), "{answer}");
}

/// As above, where the answer has no length and ends with its connection: the
/// close alone does not show that the stream is complete.
#[tokio::test]
async fn stream_that_closes_within_an_event_is_resumed() {
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
    let world = open_with_heartbeats(&[&one, &two]).await;
    let answer = world.get("/resume/x").await;
    assert_eq!(ids(&answer), [1, 2], "{answer}");
    assert!(answer.contains("data: two"), "{answer}");
    assert!(is_whole(&answer), "{answer}");
}

/// As above, where the connection ends before the first event: such an answer
/// must not look like a complete stream.
#[tokio::test]
async fn stream_that_closes_before_its_first_event_is_sent_again() {
    let respond = |_: &str| {
        let pieces = ["HTTP/1.1 200 OK\r\n\r\n", CLOSE];
        pieces.map(str::to_owned).to_vec()
    };
    let empty = Replica::spawn(respond).await;
    let sound = Replica::spawn(|_| ended(events(1..=2))).await;
    let world =
        TestNode::open(&[("one", empty.address), ("two", sound.address)])
            .await;
    for _ in 0..4 {
        let answer = world.get("/resume/x").await;
        assert_eq!(ids(&answer), [1, 2], "{answer}");
        assert!(is_whole(&answer), "{answer}");
    }
    let world = TestNode::open(&[("one", empty.address)]).await;
    let answer = world.get("/stream/x").await;
    assert!(!is_whole(&answer), "{answer}");
}

/// Guards against streams whose answers have no length and that are cut off or
/// doubled although they are complete. Their ends reach the caller as the end
/// of the answer, and the caller's connection serves further requests.
#[tokio::test]
async fn complete_answers_that_end_with_their_connection_are_whole() {
    let mut replica = Replica::spawn(|head| {
        let body = match head.starts_with("GET /resume/") {
            true => "id: 1\ndata: one\n\nid: 2\ndata: two\n\n",
            false => "no event",
        };
        let head = "HTTP/1.0 200 OK\r\n\r\n".to_owned();
        vec![head, body.to_owned(), CLOSE.to_owned()]
    })
    .await;
    let world = TestNode::open(&[("one", replica.address)]).await;
    let mut caller = TcpStream::connect(world.front).await.unwrap();
    for path in ["/resume/x", "/again/x", "/once/x", "/resume/y"] {
        let request = format!("GET {path} HTTP/1.1\r\nHost: here\r\n\r\n");
        caller.write_all(request.as_bytes()).await.unwrap();
        let answer = read_answer(&mut caller).await;
        assert_eq!(status(&answer), "200", "{answer}");
        assert!(is_whole(&answer), "{answer}");
        match path.starts_with("/resume/") {
            true => assert_eq!(ids(&answer), [1, 2], "{answer}"),
            false => assert!(answer.contains("no event"), "{answer}"),
        }
    }
    assert_eq!(replica.seen().len(), 4, "a request ran twice");
}

/// As above, on a route whose streams can't be resumed: the caller's answer
/// must be visibly incomplete, and the request must not run a second time.
#[tokio::test]
async fn broken_stream_without_resume_is_visibly_incomplete() {
    let respond = |_: &str| {
        let mut pieces = events(1..=3);
        pieces.push(CLOSE.to_owned());
        pieces
    };
    let mut one = Replica::spawn(respond).await;
    let mut two = Replica::spawn(respond).await;
    let world =
        TestNode::open(&[("one", one.address), ("two", two.address)]).await;
    let answer = world.get("/stream/x").await;
    assert_eq!(ids(&answer), [1, 2, 3], "{answer}");
    assert!(!is_whole(&answer), "{answer}");
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

/// Guards against sending requests to a leaving replica: an older heartbeat
/// arrives after the one that announces the departure, and is taken for the
/// replica's latest state.
#[tokio::test]
async fn leaving_replica_gets_no_requests() {
    let mut one = Replica::spawn(|_| ok("one")).await;
    let mut two = Replica::spawn(|_| ok("two")).await;
    let world =
        TestNode::open(&[("one", one.address), ("two", two.address)]).await;
    let leaving = 1;
    let heartbeat = sighting("one", one.address, leaving);
    world.node.apply_heartbeat(Sighting { sequence: 7, ..heartbeat });
    world.node.apply_heartbeat(sighting("one", one.address, 0));
    world.node.apply_heartbeat(Sighting {
        sequence: 8,
        ..sighting("one", one.address, 0)
    });
    for _ in 0..6 {
        assert_eq!(status(&world.get("/once/x").await), "200");
    }
    assert_eq!(one.seen().len(), 0);
    assert_eq!(two.seen().len(), 6);
}

/// Guards against reused connections that carry bytes of an old body: a
/// replica answers before it has read a long body, and the connection is
/// returned to the pool.
#[tokio::test]
async fn connection_is_not_reused_after_an_early_answer_to_a_long_body() {
    let early = |_: &str| ok("early");
    let mut replica = Replica::spawn(early).await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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

/// Guards against a shutdown that cuts off requests in flight: the node is
/// shut down while a request runs, and the replica answers afterwards.
#[tokio::test]
async fn a_stop_finishes_what_runs() {
    let mut replica = Replica::spawn(|_| {
        let mut pieces = ok("fine");
        pieces.insert(0, WAIT.to_owned());
        pieces
    })
    .await;
    let world = TestNode::open(&[("r", replica.address)]).await;
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
