//! Which answers of endpoints count as such.

use std::{net::SocketAddr, time::Duration};

use azuremount::{
    entry::dispatch::{Answer, Call, CallError, Dispatcher},
    verdict::Verdict,
};
use http::{HeaderMap, Method};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
    time::sleep,
};

/// Receive buffer of an endpoint that does not read a call, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4096;
/// Body of a call that does not fit in the receive buffer, in bytes.
const LONG_BODY_BYTES: usize = 200_000;
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an endpoint that reads the first bytes of each call only, ends its
/// answer in order, and resets the connection afterwards.
async fn spawn_endpoint(answer: &'static str) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 512]).await;
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.shutdown().await;
                sleep(Duration::from_millis(200)).await;
            });
        }
    });
    address
}

/// Sends a call by each of the ways to an endpoint.
async fn send(
    address: SocketAddr,
    body: usize,
) -> [Result<Answer, CallError>; 3] {
    let dispatcher = Dispatcher::open();
    let call = Call {
        address,
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: vec![b'u'; body].into(),
    };
    let pooled =
        dispatcher.send_repeatable(call.clone(), SILENCE_TIMEOUT, false);
    [
        dispatcher.exchange(call.clone(), SILENCE_TIMEOUT).await,
        dispatcher.send_once(call.clone(), SILENCE_TIMEOUT).await,
        pooled.await,
    ]
}

fn check_no_answer(answers: [Result<Answer, CallError>; 3]) {
    for answer in answers {
        let verdict = answer.map_err(|error| error.verdict);
        assert!(matches!(verdict, Err(Verdict::MayHaveRun)), "{verdict:?}");
    }
}

/// Guards against a part of an endpoint's answer that is taken for all of it:
/// an answer without a length ends before the endpoint has received the call.
#[tokio::test]
async fn an_answer_that_ends_within_the_call_is_not_whole() {
    let answer = "HTTP/1.1 200 OK\r\n\r\npart of an answer";
    let address = spawn_endpoint(answer).await;
    check_no_answer(send(address, LONG_BODY_BYTES).await);
}

/// Guards against an endpoint's status that no caller can understand.
#[tokio::test]
async fn an_invalid_status_is_no_answer() {
    for answer in [
        "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Other\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
    ] {
        let address = spawn_endpoint(answer).await;
        check_no_answer(send(address, 1).await);
    }
}
