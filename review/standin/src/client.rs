//! Clients and the operator.

use std::{
    io,
    net::{SocketAddrV4, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Connection, Head, body_length, message};

/// The key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// The name of the only tenant.
pub const TENANT: &str = "hule930";
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// Time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes one call on its own connection.
pub fn call(
    to: SocketAddrV4,
    method_and_path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = connect(to, timeout)?;
    let headers = [
        ("Host", to.to_string()),
        ("Content-Type", "application/json".to_owned()),
    ];
    let first_line = format!("{method_and_path} HTTP/1.1");
    connection.send(&message(&first_line, &headers, body))?;
    read_answer(&mut connection)
}

/// Opens a connection, on which each read has a timeout.
pub fn connect(to: SocketAddrV4, timeout: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&to.into(), CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(Connection::new(stream))
}

/// Reads a whole answer.
pub fn read_answer(
    connection: &mut Connection,
) -> io::Result<(Head, Vec<u8>)> {
    let head = connection.read_head()?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = connection.read_body(&head)?;
    Ok((head, body))
}

/// Returns the bytes of a client's request.
pub fn request(
    path: &str,
    id: &str,
    deadline: Duration,
    more: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", deadline.as_millis().to_string()),
        ("Authorization", format!("Bearer {KEY}")),
    ];
    headers.extend(more.iter().cloned());
    message(&format!("POST {path} HTTP/1.1"), &headers, body)
}

/// One event of a stream, as a client has received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id.
    pub number: u64,
    /// Its data.
    pub data: String,
}

/// What came of one client attempt at a stream.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// Status of the answer; 0 if there is none.
    pub status: u16,
    /// `Retry-After` of a refusal.
    pub retry_after: Option<Duration>,
    /// All whole events.
    pub events: Vec<Event>,
    /// Whether the answer is complete.
    pub is_complete: bool,
}

/// Sends a request on a stream route and reads its answer until it ends, breaks
/// off, or `until` has come.
pub fn stream(to: SocketAddrV4, request: &[u8], until: Instant) -> Streamed {
    let mut streamed = Streamed::default();
    // An error leaves what has arrived before it.
    let _ = read_stream(to, request, until, &mut streamed);
    streamed
}

fn read_stream(
    to: SocketAddrV4,
    request: &[u8],
    until: Instant,
    streamed: &mut Streamed,
) -> io::Result<()> {
    let left = until.saturating_duration_since(Instant::now());
    let mut connection = connect(to, left.max(Duration::from_millis(1)))?;
    connection.send(request)?;
    let head = connection.read_head()?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    streamed.status = head.status();
    streamed.retry_after = head
        .header("retry-after")
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs_f64);
    let mut left = body_length(&head);
    let mut text = String::new();
    while let Some(part) = connection.read_part(&head, &mut left)? {
        text += &String::from_utf8_lossy(&part);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| {
                let mut lines = event.lines();
                lines.find_map(|line| line.strip_prefix(name))
            };
            if let (Some(number), Some(data)) =
                (field("id: "), field("data: "))
                && let Ok(number) = number.parse()
            {
                let data = data.to_owned();
                streamed.events.push(Event { number, data });
            }
            text = rest.to_owned();
        }
        if Instant::now() >= until {
            return Ok(());
        }
    }
    streamed.is_complete = true;
    Ok(())
}
