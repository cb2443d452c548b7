//! Sends calls to endpoints over HTTP connections.
//!
//! [`Dispatcher::exchange`] and [`Dispatcher::open_raw`] return every response
//! as it is. The other methods that send a call return an error if the verdict
//! header of the response says that the endpoint did not run the request.
//!
//! [`Dispatcher::send_once`] is for calls that must not run twice. It opens a
//! new connection for each call and distinguishes two phases. Until the
//! connection is established nothing has been sent, so a failure is "not run".
//! From the first byte on, everything except an answer is "may have run". A
//! pooled connection can't separate the two phases, because the client library
//! may resend a request by itself.
//!
//! [`Dispatcher::open_repeatable`] and [`Dispatcher::send_repeatable`] are for
//! calls that may be repeated, and use pooled connections. A pooled connection
//! can have been silently dead for some time. An attempt after a failed one
//! therefore asks for a new connection.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
};
use tokio::{net::TcpStream, time::timeout};

use crate::{
    backoff::Backoff,
    outgoing::{Outgoing, is_final},
    verdict::Verdict,
};

/// Time limit for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a whole answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of the body of a call on a pooled connection, in bytes: it is
/// sent in one write. On a new connection, an answer that ends before the
/// endpoint has received the whole call is told from a complete one.
const MAX_POOLED_BODY_BYTES: usize = 16 * 1024;
/// Response header by which an endpoint says that it did not run the request.
pub const VERDICT_HEADER: &str = "azuremount-verdict";
/// Response header with the number of requests running and waiting at the
/// endpoint.
pub const LOAD_HEADER: &str = "azuremount-load";

/// A call that an endpoint did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Whether the endpoint may have run the request.
    pub verdict: Verdict,
    /// Description of the failure.
    pub text: String,
    /// The backoff that the endpoint requested with a rejection.
    pub backoff: Backoff,
}

impl CallError {
    /// Creates an error of a call that requested no backoff.
    pub fn new(verdict: Verdict, text: impl ToString) -> CallError {
        let text = text.to_string();
        CallError { verdict, text, backoff: Backoff::None }
    }

    fn not_run(text: impl ToString) -> CallError {
        CallError::new(Verdict::NotRun, text)
    }

    fn may_have_run(text: impl ToString) -> CallError {
        CallError::new(Verdict::MayHaveRun, text)
    }
}

/// A call to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, sent unchanged. They must not contain connection headers.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body of the answer.
    pub body: Bytes,
}

/// Sends calls to endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    pool: Client<HttpConnector, Full<Bytes>>,
}

impl Dispatcher {
    /// Creates a dispatcher without connections.
    pub fn open() -> Dispatcher {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = Client::builder(TokioExecutor::new())
            // Long enough that connections are reused. Short enough that a
            // device on the path has seldom dropped the connection's state.
            .pool_idle_timeout(Duration::from_secs(5))
            .pool_max_idle_per_host(64)
            .build(connector);
        Dispatcher { pool }
    }

    /// Sends a call exactly once, on a new connection, and waits for the
    /// complete answer.
    ///
    /// # Errors
    ///
    /// The verdict is "not run" if no connection could be established, and
    /// "may have run" for all other failures. Waiting longer than
    /// `silence_timeout` for the answer's head or for its body is a failure.
    pub async fn exchange(
        &self,
        call: Call,
        silence_timeout: Duration,
    ) -> Result<Answer, CallError> {
        let response = send_on_new_connection(&call, silence_timeout).await?;
        read_answer(response, silence_timeout).await
    }

    /// Sends a call as [`Dispatcher::exchange`] does, and checks the verdict
    /// header of the response.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::exchange`]. The verdict is also "not run" if the
    /// endpoint's response says so.
    pub async fn send_once(
        &self,
        call: Call,
        silence_timeout: Duration,
    ) -> Result<Answer, CallError> {
        let response = check_verdict(
            send_on_new_connection(&call, silence_timeout).await?,
        )?;
        read_answer(response, silence_timeout).await
    }

    /// Sends a call that may be repeated, and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::send_once`].
    pub async fn send_repeatable(
        &self,
        call: Call,
        silence_timeout: Duration,
        new_connection: bool,
    ) -> Result<Answer, CallError> {
        let response = self
            .open_repeatable(call, silence_timeout, new_connection)
            .await?;
        read_answer(response, silence_timeout).await
    }

    /// Sends a call that may be repeated, and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::send_once`].
    pub async fn open_repeatable(
        &self,
        call: Call,
        silence_timeout: Duration,
        new_connection: bool,
    ) -> Result<Response<Incoming>, CallError> {
        if new_connection || call.body.len() > MAX_POOLED_BODY_BYTES {
            return check_verdict(
                send_on_new_connection(&call, silence_timeout).await?,
            );
        }
        let request = encode(&call, true).map_err(CallError::not_run)?;
        match timeout(silence_timeout, self.pool.request(request)).await {
            Ok(Ok(response)) => check_verdict(check_status(response)?),
            Ok(Err(error)) if error.is_connect() => {
                Err(CallError::not_run(error))
            }
            Ok(Err(error)) => Err(CallError::may_have_run(error)),
            Err(_) => Err(CallError::may_have_run("no answer in time")),
        }
    }

    /// Whether an address refuses connections, because no process listens
    /// there.
    ///
    /// Returns false if that can't be determined, for instance during a
    /// network partition.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        match connected.await {
            Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Sends a call on a new connection, and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::exchange`].
    pub async fn open_raw(
        &self,
        call: Call,
        silence_timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        send_on_new_connection(&call, silence_timeout).await
    }
}

type Sender = hyper::client::conn::http1::SendRequest<Full<Bytes>>;

/// Sends a call on a new connection, and waits for the answer's head.
async fn send_on_new_connection(
    call: &Call,
    silence_timeout: Duration,
) -> Result<Response<Incoming>, CallError> {
    let connected = timeout(CONNECT_TIMEOUT, connect(call.address)).await;
    let mut sender = match connected {
        Ok(Ok(sender)) => sender,
        Ok(Err(text)) => return Err(CallError::not_run(text)),
        Err(_) => return Err(CallError::not_run("connecting timed out")),
    };
    let request = encode(call, false).map_err(CallError::not_run)?;
    // From here on the endpoint may have received the request.
    match timeout(silence_timeout, sender.send_request(request)).await {
        Ok(Ok(response)) => check_status(response),
        Ok(Err(error)) => Err(CallError::may_have_run(error)),
        Err(_) => Err(CallError::may_have_run("no answer in time")),
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| format!("can't connect to {address}: {error}"))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(
        TokioIo::new(Outgoing::new(stream)),
    )
    .await
    .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        // The request itself returns the connection's error to the caller.
        let _ = connection.await;
    });
    Ok(sender)
}

fn encode(call: &Call, pooled: bool) -> Result<Request<Full<Bytes>>, String> {
    let uri = if pooled {
        format!("http://{}{}", call.address, call.path)
    } else {
        call.path.clone()
    };
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(uri)
        .body(Full::new(call.body.clone()))
        .map_err(|error| error.to_string())?;
    *request.headers_mut() = call.headers.clone();
    if let Ok(host) = call.address.to_string().parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    Ok(request)
}

/// Returns an error if the status is not that of an answer.
fn check_status(
    response: Response<Incoming>,
) -> Result<Response<Incoming>, CallError> {
    match is_final(response.status()) {
        true => Ok(response),
        false => Err(CallError::may_have_run("the status is invalid")),
    }
}

/// Returns an error if the endpoint says that it did not run the request.
fn check_verdict(
    response: Response<Incoming>,
) -> Result<Response<Incoming>, CallError> {
    let refused = response
        .headers()
        .get(VERDICT_HEADER)
        .is_some_and(|value| value == Verdict::NotRun.as_str());
    if refused {
        let status = response.status();
        let backoff = Backoff::parse(status, response.headers());
        let failed = CallError::not_run(format!("refused with {status}"));
        return Err(CallError { backoff, ..failed });
    }
    Ok(response)
}

async fn read_answer(
    response: Response<Incoming>,
    silence_timeout: Duration,
) -> Result<Answer, CallError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
    match timeout(silence_timeout, body).await {
        Ok(Ok(body)) => Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        }),
        // A partial answer is an error. The caller would take it for complete.
        Ok(Err(error)) => Err(CallError::may_have_run(error)),
        Err(_) => Err(CallError::may_have_run("the answer stalled")),
    }
}
