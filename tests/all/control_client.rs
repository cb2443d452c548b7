//! Calls to the control members while some of them are silent, refuse, or are
//! connected by a connection that is silent for good.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use azuremount::{
    control::client::Client,
    wire::{
        Change, Outcome, PlanQuery, PutPlan, Query, QueryReply, RecordUsage,
        SyncReply, SyncRequest, change,
        control_server::{Control, ControlServer},
        outcome, query, query_reply,
    },
};
use futures_util::future::join_all;
use tokio::{net::TcpListener, runtime::Runtime, time::sleep};
use tonic::{Request, Response, Status, transport::server::TcpIncoming};

use crate::relay::Relay;

/// Time for which a node reads the plan.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which the leader tries to commit counts of usage.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);

/// What a member does with calls.
#[derive(Clone, Copy, Debug)]
enum Conduct {
    /// Executes them, as the leader does.
    Lead,
    /// Refuses them and names the leader, if any.
    Refuse(Option<SocketAddr>),
    /// Leaves them unanswered.
    Ignore,
    /// Executes them after a delay.
    LeadSlowly(Duration),
}

/// A stand-in for a control member.
#[derive(Clone)]
struct Member {
    conduct: Arc<Mutex<Conduct>>,
    reads: Arc<AtomicUsize>,
    changes: Arc<AtomicUsize>,
}

impl Member {
    fn spawn(runtime: &Runtime, conduct: Conduct) -> (Member, SocketAddr) {
        let member = Member {
            conduct: Arc::new(Mutex::new(conduct)),
            reads: Arc::default(),
            changes: Arc::default(),
        };
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
        let listener = listener.unwrap();
        let address = listener.local_addr().unwrap();
        let service = ControlServer::new(member.clone());
        runtime.spawn(
            tonic::transport::Server::builder()
                .add_service(service)
                .serve_with_incoming(TcpIncoming::from(listener)),
        );
        (member, address)
    }

    fn set(&self, conduct: Conduct) {
        *self.conduct.lock().unwrap() = conduct;
    }

    async fn obey(&self) -> Result<(), Status> {
        let conduct = *self.conduct.lock().unwrap();
        match conduct {
            Conduct::Lead => Ok(()),
            Conduct::Refuse(leader) => {
                let mut status = Status::failed_precondition("not the leader");
                if let Some(leader) = leader {
                    let leader = leader.to_string().parse().unwrap();
                    status.metadata_mut().insert("azuremount-leader", leader);
                }
                Err(status)
            }
            Conduct::Ignore => std::future::pending().await,
            Conduct::LeadSlowly(delay) => {
                sleep(delay).await;
                Ok(())
            }
        }
    }
}

#[tonic::async_trait]
impl Control for Member {
    async fn propose(
        &self,
        _: Request<Change>,
    ) -> Result<Response<Outcome>, Status> {
        self.changes.fetch_add(1, Ordering::Relaxed);
        self.obey().await?;
        let kind = Some(outcome::Kind::Done(true));
        Ok(Response::new(Outcome { kind, ..Outcome::default() }))
    }

    async fn read(
        &self,
        _: Request<Query>,
    ) -> Result<Response<QueryReply>, Status> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.obey().await?;
        let plan = PutPlan { version: 7, source: Vec::new() };
        let kind = Some(query_reply::Kind::Plan(plan));
        Ok(Response::new(QueryReply { kind }))
    }

    async fn sync(
        &self,
        _: Request<SyncRequest>,
    ) -> Result<Response<SyncReply>, Status> {
        self.obey().await?;
        Ok(Response::new(SyncReply::default()))
    }
}

/// Members of which one leads, each behind a relay.
struct Cluster {
    runtime: Runtime,
    members: Vec<Member>,
    relays: Vec<Relay>,
    client: Client,
}

impl Cluster {
    /// Starts `count` members. The first one leads.
    fn open(count: usize) -> Cluster {
        let runtime = Runtime::new().unwrap();
        let (members, addresses): (Vec<Member>, Vec<SocketAddr>) = (0..count)
            .map(|_| Member::spawn(&runtime, Conduct::Refuse(None)))
            .unzip();
        let relays: Vec<Relay> = addresses
            .iter()
            .map(|address| Relay::spawn(&runtime, *address))
            .collect();
        let addresses: Vec<SocketAddr> =
            relays.iter().map(Relay::address).collect();
        let client = {
            let _guard = runtime.enter();
            Client::open(&addresses)
        };
        let cluster = Cluster { runtime, members, relays, client };
        cluster.elect(0);
        cluster
    }

    /// Makes one member the leader, which the others name.
    fn elect(&self, leader: usize) {
        let address = self.relays[leader].address();
        for (at, member) in self.members.iter().enumerate() {
            member.set(match at == leader {
                true => Conduct::Lead,
                false => Conduct::Refuse(Some(address)),
            });
        }
    }

    fn read(&self, limit: Duration) -> Result<(), String> {
        let plan = query::Kind::Plan(PlanQuery { held: 0 });
        let read = self.client.read(Query { kind: Some(plan) }, limit);
        let reply = self.runtime.block_on(read);
        reply.map(|_| ()).map_err(|error| error.to_string())
    }

    fn propose(&self, limit: Duration, retry: bool) -> Result<(), String> {
        let usage = change::Kind::RecordUsage(RecordUsage::default());
        let change = Change::new(usage);
        let propose = self.client.propose(change, limit, retry);
        let outcome = self.runtime.block_on(propose);
        outcome.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Returns the number of changes that a member was sent.
    fn changes(&self, at: usize) -> usize {
        self.members[at].changes.load(Ordering::Relaxed)
    }
}

/// Guards against a node that can't read the plan any more once its connection
/// to the leader is silent for good: the other members name that leader, which
/// the client has asked already.
#[test]
fn reads_succeed_although_the_connection_to_the_leader_is_silent() {
    for count in [4, 5, 6, 1] {
        let cluster = Cluster::open(count);
        cluster.read(READ_TIMEOUT).expect("not read before the silence");
        cluster.relays[0].forget_open();
        for read in 1..=3 {
            let result = cluster.read(READ_TIMEOUT);
            assert_eq!(result, Ok(()), "read {read} of {count} members");
        }
    }
}

/// Guards against a read that gives up on members that have refused once, as
/// during an election, while another member is silent.
#[test]
fn a_member_that_refused_is_asked_again_while_another_is_silent() {
    for count in [4, 5, 6] {
        let cluster = Cluster::open(count);
        for member in &cluster.members {
            member.set(Conduct::Refuse(None));
        }
        cluster.members[0].set(Conduct::Ignore);
        let leader = cluster.members[2].clone();
        cluster.runtime.spawn(async move {
            sleep(Duration::from_millis(400)).await;
            leader.set(Conduct::Lead);
        });
        let started_at = Instant::now();
        let result = cluster.read(Duration::from_secs(3));
        let after = started_at.elapsed();
        assert_eq!(result, Ok(()), "{count} members, after {after:?}");
    }
}

/// Guards against a read that fails because each of the members asked first
/// is silent, although the leader answers.
#[test]
fn reads_succeed_although_two_members_are_silent() {
    for count in [4, 5, 6] {
        let cluster = Cluster::open(count);
        cluster.elect(count - 1);
        cluster.members[0].set(Conduct::Ignore);
        cluster.members[1].set(Conduct::Ignore);
        let result = cluster.read(READ_TIMEOUT);
        assert_eq!(result, Ok(()), "{count} members");
    }
}

/// Guards against usage that isn't committed in time once the connection to
/// the leader is silent for good.
#[test]
fn changes_succeed_although_the_connection_to_the_leader_is_silent() {
    for count in [4, 5, 6, 1] {
        let cluster = Cluster::open(count);
        let before = cluster.propose(COMMIT_TIMEOUT, true);
        before.expect("not committed before the silence");
        cluster.relays[0].forget_open();
        for change in 1..=3 {
            let result = cluster.propose(COMMIT_TIMEOUT, true);
            assert_eq!(result, Ok(()), "change {change} of {count} members");
        }
    }
}

/// Guards against a change that isn't committed because the member asked first
/// is silent.
#[test]
fn changes_succeed_although_a_member_is_silent() {
    for count in [4, 5, 6] {
        let cluster = Cluster::open(count);
        cluster.elect(count - 1);
        cluster.members[0].set(Conduct::Ignore);
        let result = cluster.propose(COMMIT_TIMEOUT, true);
        assert_eq!(result, Ok(()), "{count} members");
    }
}

/// Guards against a change that may run only once and is sent twice, as the
/// first member was silent.
#[test]
fn a_change_that_may_run_once_is_sent_once() {
    let cluster = Cluster::open(4);
    cluster.propose(COMMIT_TIMEOUT, false).expect("not committed");
    cluster.relays[0].forget_open();
    let result = cluster.propose(Duration::from_secs(2), false);
    let text = result.expect_err("sent again");
    assert!(text.contains("may have run"), "{text}");
    let sent: usize = (0..4).map(|at| cluster.changes(at)).sum();
    assert_eq!(sent, 1, "sent again");
}

/// Guards against members that get a connection from each call while they elect
/// a leader.
#[test]
fn concurrent_calls_share_connections_while_no_member_leads() {
    const CALLS: usize = 100;
    let cluster = Cluster::open(4);
    for member in &cluster.members {
        member.set(Conduct::Refuse(None));
    }
    cluster.runtime.block_on(async {
        let calls = (0..CALLS).map(|_| {
            let plan = query::Kind::Plan(PlanQuery { held: 0 });
            cluster.client.read(Query { kind: Some(plan) }, READ_TIMEOUT)
        });
        join_all(calls).await
    });
    let opened: u64 = cluster.relays.iter().map(Relay::opened).sum();
    assert!(opened < CALLS as u64, "{opened} connections");
}

/// Guards against a busy leader that gets each change twice because it takes
/// long to commit it.
#[test]
fn a_change_is_sent_once_to_a_leader_that_is_slow() {
    let cluster = Cluster::open(4);
    let delay = Duration::from_millis(700);
    cluster.members[0].set(Conduct::LeadSlowly(delay));
    let result = cluster.propose(Duration::from_secs(2), true);
    assert_eq!(result, Ok(()));
    assert_eq!(cluster.changes(0), 1);
}

/// Guards against reads that fail, or load a leader that takes half a second to
/// answer, because each attempt is given up for another one.
#[test]
fn a_slow_leader_answers_one_of_few_attempts() {
    let cluster = Cluster::open(4);
    let delay = Duration::from_millis(500);
    cluster.members[0].set(Conduct::LeadSlowly(delay));
    assert_eq!(cluster.read(READ_TIMEOUT), Ok(()));
    let reads = cluster.members[0].reads.load(Ordering::Relaxed);
    assert!(reads <= 2, "{reads} reads at the leader");
}
