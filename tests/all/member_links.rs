//! Links between control members that lose their open connections.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use azuremount::{
    control::{self, client::Client},
    logs, settings,
    wire::{Empty, Member, Query, StatusReply, query, query_reply},
};
use tokio::{net::TcpListener, runtime::Runtime, time::sleep};

use crate::{
    relay::Relay,
    world::{TEST_TIMEOUT, TempFolder},
};

/// Time for which a node reads the plan.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Members in one process, each with relays of its own to the others.
struct Cluster {
    runtime: Runtime,
    members: Vec<control::Handle>,
    relays: Vec<Relay>,
    client: Client,
    _folders: Vec<TempFolder>,
}

impl Cluster {
    /// Starts members and waits until one leads.
    fn open(count: usize) -> Cluster {
        let runtime = Runtime::new().unwrap();
        let addresses: Vec<SocketAddr> = (0..count)
            .map(|_| {
                let bound = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
                bound.unwrap().local_addr().unwrap()
            })
            .collect();
        let folders: Vec<TempFolder> =
            (0..count).map(|_| TempFolder::new()).collect();
        let mut relays = Vec::new();
        let mut members = Vec::new();
        for from in 0..count {
            let list = addresses.iter().enumerate().map(|(to, address)| {
                let address = match to == from {
                    true => *address,
                    false => {
                        relays.push(Relay::spawn(&runtime, *address));
                        relays[relays.len() - 1].address()
                    }
                };
                Member {
                    id: to as u64 + 1,
                    incarnation: 0,
                    address: address.to_string(),
                    voter: true,
                }
            });
            let settings = settings::Control {
                id: from as u64 + 1,
                listen: addresses[from],
                members: list.collect(),
                data_folder: folders[from].0.clone(),
                heartbeat_ms: 150,
                election_ms: 1000,
                snapshot_entries: 100,
                logs: settings::Logs {
                    format: logs::Format::Text,
                    level: "warn".to_owned(),
                },
            };
            let member = runtime.block_on(control::spawn(&settings));
            members.push(member.unwrap());
        }
        let client = {
            let _guard = runtime.enter();
            Client::open(&addresses)
        };
        let cluster =
            Cluster { runtime, members, relays, client, _folders: folders };
        let started_at = Instant::now();
        while cluster.status().is_err() {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "no leader");
            cluster.wait(Duration::from_millis(50));
        }
        cluster
    }

    fn status(&self) -> Result<StatusReply, String> {
        let query = Query { kind: Some(query::Kind::Status(Empty {})) };
        let reply =
            self.runtime.block_on(self.client.read(query, READ_TIMEOUT));
        match reply.map_err(|error| error.to_string())?.kind {
            Some(query_reply::Kind::Status(status)) => Ok(status),
            _ => Err("no status".to_owned()),
        }
    }

    fn wait(&self, time: Duration) {
        self.runtime.block_on(async { sleep(time).await });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for member in self.members.drain(..) {
            self.runtime.block_on(member.shutdown());
        }
    }
}

/// Guards against a leader that is deposed as all connections between members
/// lose their other end at once: each of two directions noticed it in turn, so
/// that no answer arrived within an election timeout.
#[test]
fn the_leader_stays_when_all_connections_between_members_are_silent() {
    for count in [4, 5, 6] {
        let cluster = Cluster::open(count);
        let before = cluster.status().expect("no status before the silence");
        for _ in 0..2 {
            for relay in &cluster.relays {
                relay.forget_open();
            }
            let until = Instant::now() + Duration::from_secs(3);
            while Instant::now() < until {
                let status = cluster.status();
                let status = status.unwrap_or_else(|error| {
                    panic!("{count} members: {error}")
                });
                assert_eq!(
                    (status.leader, status.term),
                    (before.leader, before.term),
                    "{count} members"
                );
                cluster.wait(Duration::from_millis(50));
            }
        }
    }
}
