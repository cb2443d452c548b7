//! Replicas: heartbeats, and a server that hands each request to the case.

use std::{
    io,
    net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    client::call,
    http::{Connection, Head},
    record::Record,
};

/// Interval between two heartbeats, as the settings state it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the wall time in ms since 1970.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}

/// What a replica says of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its id, which it keeps when it starts again.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Handles one request on a connection. An error closes the connection.
pub type Handler =
    Arc<dyn Fn(&mut Connection, &Head, &[u8]) -> io::Result<()> + Send + Sync>;

/// One incarnation of a replica.
#[derive(Debug)]
pub struct Replica {
    /// The address that it serves.
    pub address: SocketAddrV4,
    is_running: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Replica {
    /// Starts a replica. It serves `address`, or a free port if there is none.
    /// Its first heartbeat arrives after `first_heartbeat_delay`.
    pub fn spawn(
        identity: Identity,
        address: Option<SocketAddrV4>,
        nodes: Vec<SocketAddrV4>,
        first_heartbeat_delay: Duration,
        record: Arc<Record>,
        handler: Handler,
    ) -> io::Result<Replica> {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let listener = TcpListener::bind(address.unwrap_or(any))?;
        let port = listener.local_addr()?.port();
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        listener.set_nonblocking(true)?;
        let is_running = Arc::new(AtomicBool::new(true));
        let open = Arc::new(Mutex::new(Vec::new()));
        let replica = Replica {
            address,
            is_running: is_running.clone(),
            open: open.clone(),
        };
        let born = now_ms();
        let Identity { id, version, .. } = &identity;
        record.note(format!("replica {id} {version} starts at {address}"));
        let beats = is_running.clone();
        thread::spawn(move || {
            thread::sleep(first_heartbeat_delay);
            let mut sequence = 0;
            while beats.load(Ordering::Relaxed) {
                sequence += 1;
                send_heartbeat(&identity, address, born, sequence, &nodes);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        thread::spawn(move || {
            while is_running.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().expect("no holder panics").push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(head)) = connection.read_head() {
                        let Ok(body) = connection.read_body(&head) else {
                            break;
                        };
                        if handler(&mut connection, &head, &body).is_err() {
                            break;
                        }
                    }
                    let _ = connection.stream().shutdown(Shutdown::Both);
                });
            }
        });
        Ok(replica)
    }

    /// Ends the replica without notice: its port and all its connections are
    /// closed.
    pub fn crash(&self) {
        self.is_running.store(false, Ordering::Relaxed);
        // The listener is closed within a few milliseconds.
        thread::sleep(Duration::from_millis(10));
        let mut open = self.open.lock().expect("no holder panics");
        for stream in open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Sends a heartbeat to one node after the other until it is acknowledged.
fn send_heartbeat(
    identity: &Identity,
    address: SocketAddrV4,
    born: u64,
    sequence: u64,
    nodes: &[SocketAddrV4],
) {
    let Identity { id, service, version, slots } = identity;
    let body = format!(
        r#"{{"Service":"{service}","Address":"{address}","Zone":"one",
"Version":"{version}","Slots":{slots},"State":"ready","ColdLeftMs":0,
"Seq":{sequence},"born":{born}}}"#
    );
    let path = format!("POST /-/Instances.Heartbeat/{id}");
    let first = crate::unique_number() as usize % nodes.len();
    for step in 0..nodes.len() {
        let node = nodes[(first + step) % nodes.len()];
        let answer = call(node, &path, body.as_bytes(), HEARTBEAT_TIMEOUT);
        if answer.is_ok_and(|(head, _)| head.status() == 200) {
            return;
        }
    }
}
