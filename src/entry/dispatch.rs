//! Connections to endpoints, and one call over them.
//!
//! [`Dispatcher::exchange`] and [`Dispatcher::open_raw`] hand back whatever the
//! other side says. The rest take it at its word when it says that it did not
//! run a request, and make that a failure.
//!
//! [`Dispatcher::once`] is for calls that must not run twice. It makes a
//! connection of its own and counts two steps apart: until the connection
//! stands nothing was sent, and a failure is "not run"; from the first byte
//! on, anything but an answer is "may have run". A pooled connection blurs
//! that line, because the client library may send a request again by itself.
//!
//! [`Dispatcher::open`] and [`Dispatcher::repeatable`] are for calls that may
//! be repeated, and use pooled connections. A pooled connection can have gone
//! silent for good without anybody noticing; so an attempt after a failed one
//! asks for a fresh connection.

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

use crate::verdict::Verdict;

/// How long a new connection may take.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// The longest answer of a plain call, in bytes.
pub const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
/// In an endpoint's answer: it did not run the request.
pub const REFUSED_HEADER: &str = "azuremount-verdict";
/// In an endpoint's answer: requests running and waiting there.
pub const LOAD_HEADER: &str = "azuremount-load";

/// A call that an endpoint did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Whether the endpoint may have run it.
    pub verdict: Verdict,
    /// What went wrong.
    pub text: String,
}

impl Failed {
    fn not_run(text: impl ToString) -> Failed {
        Failed { verdict: Verdict::NotRun, text: text.to_string() }
    }

    fn doubtful(text: impl ToString) -> Failed {
        Failed { verdict: Verdict::MayHaveRun, text: text.to_string() }
    }
}

/// A call to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where.
    pub address: SocketAddr,
    /// How.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Sent as they are; connection headers must not be among them.
    pub headers: HeaderMap,
    /// What.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The endpoint's status.
    pub status: StatusCode,
    /// The endpoint's headers.
    pub headers: HeaderMap,
    /// All of the body.
    pub body: Bytes,
}

/// Makes calls to endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    pool: Client<HttpConnector, Full<Bytes>>,
}

impl Dispatcher {
    /// Starts without connections.
    pub fn open() -> Dispatcher {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let pool = Client::builder(TokioExecutor::new())
            // Long enough to be of use, short enough that something in
            // between seldom has forgotten the connection.
            .pool_idle_timeout(Duration::from_secs(5))
            .pool_max_idle_per_host(64)
            .build(connector);
        Dispatcher { pool }
    }

    /// Sends a call exactly once, and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// "Not run" when no connection could be made; "may have run" for all
    /// else, silence for `silence` among it.
    pub async fn exchange(
        &self,
        call: Call,
        silence: Duration,
    ) -> Result<Answer, Failed> {
        let response = send_fresh(&call, silence).await?;
        whole(response, silence).await
    }

    /// As [`Dispatcher::exchange`], for the endpoint of a request.
    ///
    /// # Errors
    ///
    /// "Not run" also when the endpoint says so.
    pub async fn once(
        &self,
        call: Call,
        silence: Duration,
    ) -> Result<Answer, Failed> {
        let response = accepted(send_fresh(&call, silence).await?)?;
        whole(response, silence).await
    }

    /// Sends a call that may be repeated, and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::once`].
    pub async fn repeatable(
        &self,
        call: Call,
        silence: Duration,
        fresh: bool,
    ) -> Result<Answer, Failed> {
        let response = self.open_answer(call, silence, fresh).await?;
        whole(response, silence).await
    }

    /// Sends a call that may be repeated, and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::once`].
    pub async fn open_answer(
        &self,
        call: Call,
        silence: Duration,
        fresh: bool,
    ) -> Result<Response<Incoming>, Failed> {
        if fresh {
            return accepted(send_fresh(&call, silence).await?);
        }
        let request = encode(&call, true).map_err(Failed::not_run)?;
        match timeout(silence, self.pool.request(request)).await {
            Ok(Ok(response)) => accepted(response),
            Ok(Err(error)) if error.is_connect() => {
                Err(Failed::not_run(error))
            }
            Ok(Err(error)) => Err(Failed::doubtful(error)),
            Err(_) => Err(Failed::doubtful("no answer in time")),
        }
    }

    /// Whether nobody listens at an address any more.
    ///
    /// False as well where that can't be told, as behind a cut.
    pub async fn has_ended(&self, address: SocketAddr) -> bool {
        let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address));
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
        silence: Duration,
    ) -> Result<Response<Incoming>, Failed> {
        send_fresh(&call, silence).await
    }
}

type Sender = hyper::client::conn::http1::SendRequest<Full<Bytes>>;

/// Sends a call on a connection of its own, and waits for the answer's head.
async fn send_fresh(
    call: &Call,
    silence: Duration,
) -> Result<Response<Incoming>, Failed> {
    let connected = timeout(CONNECT_LIMIT, connect(call.address)).await;
    let mut sender = match connected {
        Ok(Ok(sender)) => sender,
        Ok(Err(text)) => return Err(Failed::not_run(text)),
        Err(_) => return Err(Failed::not_run("connecting timed out")),
    };
    let request = encode(call, false).map_err(Failed::not_run)?;
    // From here on the request may be at the endpoint.
    match timeout(silence, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(Failed::doubtful(error)),
        Err(_) => Err(Failed::doubtful("no answer in time")),
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| format!("can't connect to {address}: {error}"))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        // Its error reaches the caller through the request.
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

/// Takes an endpoint at its word when it says that it did not run a request.
fn accepted(
    response: Response<Incoming>,
) -> Result<Response<Incoming>, Failed> {
    let refused = response
        .headers()
        .get(REFUSED_HEADER)
        .is_some_and(|value| value == Verdict::NotRun.as_str());
    if refused {
        let status = response.status();
        return Err(Failed::not_run(format!("refused with {status}")));
    }
    Ok(response)
}

async fn whole(
    response: Response<Incoming>,
    silence: Duration,
) -> Result<Answer, Failed> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_LIMIT).collect();
    match timeout(silence, body).await {
        Ok(Ok(body)) => Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        }),
        // A part of an answer is none: the caller would take it for whole.
        Ok(Err(error)) => Err(Failed::doubtful(error)),
        Err(_) => Err(Failed::doubtful("the answer stalled")),
    }
}
