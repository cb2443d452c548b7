//! A control member whose disk hangs: its thread answers nothing meanwhile.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    process::Command as Process,
    time::Duration,
};

use azuremount::{
    control::{member::Command, seat, server::Service},
    timer::Timer,
    wire::{
        Change, Empty, Envelopes, Query, RecordUsage, change,
        control_server::Control, members_server::Members,
    },
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};
use tonic::{Code, Request};

use crate::world::{TEST_TIMEOUT, TempFolder};

/// Time for an answer, or for giving up on one.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// More changes than the log holds before it is compacted.
const CHANGES: u64 = 150;

/// A member that leads alone, and whose disk hangs.
struct Hung {
    seat: seat::Handle,
    folder: TempFolder,
}

/// Starts a member and waits until it leads alone.
async fn lead_alone(folder: &TempFolder) -> seat::Handle {
    let process = 60 + std::process::id() % 40;
    let ip = Ipv4Addr::from(127 << 24 | process << 16 | 1);
    let options = seat::Options {
        address: SocketAddrV4::new(ip, 7707),
        folder: folder.0.clone(),
        founds: true,
        min_voters: 1,
    };
    let seat = seat::spawn(options, Timer::spawn());
    let leads = async {
        while seat.leadership().await.is_none() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, leads).await.expect("not the leader");
    seat
}

impl Hung {
    /// Starts a member, and makes its disk hang in the compaction of the log.
    async fn open() -> Hung {
        let folder = TempFolder::new();
        let seat = lead_alone(&folder).await;
        // A write to a pipe without a reader blocks, as on a disk that hangs.
        let pipe = folder.0.join("snapshot.new");
        let made = Process::new("mkfifo").arg(&pipe).status().unwrap();
        assert!(made.success(), "no pipe");
        let commands = seat.commands().unwrap();
        for window in 0..CHANGES {
            let usage = RecordUsage { window, ..RecordUsage::default() };
            let change = Change::new(change::Kind::RecordUsage(usage));
            let (answer, _) = oneshot::channel();
            let command = Command::Propose(Box::new(change), answer);
            commands.send(command).await.unwrap();
        }
        let hung = Hung { seat, folder };
        let hangs = async { while hung.answers().await {} };
        timeout(TEST_TIMEOUT, hangs).await.expect("the disk doesn't hang");
        hung
    }

    /// Returns whether the member's thread handles commands.
    async fn answers(&self) -> bool {
        let (answer, answered) = oneshot::channel();
        let Some(commands) = self.seat.commands() else { return false };
        let _ = commands.try_send(Command::Probe(answer));
        timeout(Duration::from_millis(300), answered).await.is_ok()
    }

    /// Ends the hang.
    async fn release(&self) {
        let pipe = self.folder.0.join("snapshot.new");
        let read = move || std::fs::read(pipe).map(|_| ());
        tokio::task::spawn_blocking(read).await.unwrap().unwrap();
    }
}

/// Guards against a node that stands still because its member's disk hangs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_whose_disk_hangs_may_not_act() {
    let hung = Hung::open().await;
    let asked = timeout(ANSWER_TIMEOUT, hung.seat.leadership()).await;
    assert_eq!(asked, Ok(None), "waits for the disk");
    hung.release().await;
}

/// Guards against a leader that acts for the whole system with a right that
/// has expired, because its process stood still while it was answered.
#[tokio::test]
async fn a_leader_that_stood_still_may_not_act() {
    let folder = TempFolder::new();
    let seat = lead_alone(&folder).await;
    // The member may answer at once; the question has to be open.
    let asked = loop {
        let mut asked = Box::pin(seat.leadership());
        if timeout(Duration::ZERO, asked.as_mut()).await.is_err() {
            break asked;
        }
    };
    // The answer is read after the election timeout.
    std::thread::sleep(Duration::from_millis(1200));
    let asked = timeout(ANSWER_TIMEOUT, asked).await;
    assert_eq!(asked, Ok(None), "an outdated answer");
}

/// Guards against a node that doesn't stop in its grace period because its
/// member's disk hangs and the queue of commands is full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_whose_disk_hangs_is_stopped() {
    let hung = Hung::open().await;
    let commands = hung.seat.commands().unwrap();
    while commands.try_send(Command::Join(0)).is_ok() {}
    let stopped = timeout(ANSWER_TIMEOUT, hung.seat.stop()).await;
    assert!(stopped.is_ok(), "waits for the disk");
    hung.release().await;
}

/// Guards against calls that wait without a limit for a member whose queue of
/// commands is full, although it can tell that it has not run them.
#[tokio::test]
async fn a_call_to_a_member_with_a_full_queue_is_refused() {
    let (commands, _queue) = mpsc::channel(1);
    commands.try_send(Command::Join(0)).unwrap();
    let service = Service::new(commands);
    let read = service.read(Request::new(Query::default()));
    let read = timeout(ANSWER_TIMEOUT, read).await.expect("read waits");
    assert_eq!(read.unwrap_err().code(), Code::FailedPrecondition);
    let change = service.propose(Request::new(Change::default()));
    let change = timeout(ANSWER_TIMEOUT, change).await.expect("change waits");
    assert_eq!(change.unwrap_err().code(), Code::FailedPrecondition);
    let messages = service.deliver(Request::new(Envelopes::default()));
    let messages = timeout(ANSWER_TIMEOUT, messages).await;
    assert!(messages.expect("messages wait").is_err());
    let probe = service.probe(Request::new(Empty {}));
    let probe = timeout(ANSWER_TIMEOUT, probe).await;
    assert!(probe.expect("probe waits").is_err());
}
