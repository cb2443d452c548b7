//! The clock of a process, and its timer service.
//!
//! Components don't sleep by themselves: they subscribe, and are called with
//! the time. Components that make decisions take the time as an argument, so a
//! test can pass any time.
//!
//! ```no_run
//! # async fn example() {
//! use std::time::Duration;
//!
//! let timer = azuremount::timer::Timer::spawn();
//! timer.subscribe(Duration::from_millis(100), |now| {
//!     println!("at {now} ms");
//!     true // false ends the subscription
//! });
//! # }
//! ```
//!
//! The clock counts milliseconds since the process started and never jumps.
//! It also advances while the process is stopped, so the leases of a suspended
//! process expire.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::mpsc, task::JoinHandle, time::sleep_until};

type Notify = Box<dyn FnMut(u64) -> bool + Send>;

struct Subscription {
    period: Duration,
    due: Instant,
    notify: Notify,
}

/// A running timer service; clones share it.
#[derive(Clone, Debug)]
pub struct Timer {
    start: Instant,
    subscribe: mpsc::UnboundedSender<Subscription>,
    task: Arc<Task>,
}

#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl std::fmt::Debug for Subscription {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "every {:?}", self.period)
    }
}

impl Timer {
    /// Spawns the service on the current runtime.
    pub fn spawn() -> Timer {
        let (subscribe, new) = mpsc::unbounded_channel();
        let start = Instant::now();
        let task = tokio::spawn(run(start, new));
        Timer { start, subscribe, task: Arc::new(Task(task)) }
    }

    /// Returns the time since the service started, in ms.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Calls `notify` every `period` with the time, until it returns false.
    ///
    /// It is called on the timer's task and must not block.
    pub fn subscribe(
        &self,
        period: Duration,
        notify: impl FnMut(u64) -> bool + Send + 'static,
    ) {
        debug_assert!(!self.task.0.is_finished(), "the timer has ended");
        let due = Instant::now() + period;
        let notify = Box::new(notify);
        // The receiver lives as long as the task that this handle holds.
        let _ = self.subscribe.send(Subscription { period, due, notify });
    }
}

async fn run(start: Instant, mut new: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    loop {
        let idle = Instant::now() + Duration::from_secs(3600);
        let due = subscriptions.iter().map(|one| one.due).min();
        tokio::select! {
            added = new.recv() => match added {
                Some(added) => subscriptions.push(added),
                None => return,
            },
            () = sleep_until(due.unwrap_or(idle).into()) => {
                let now = Instant::now();
                let ms = start.elapsed().as_millis() as u64;
                subscriptions.retain_mut(|one| fire(one, now, ms));
            }
        }
    }
}

fn fire(one: &mut Subscription, now: Instant, ms: u64) -> bool {
    if one.due > now {
        return true;
    }
    // Missed ticks are skipped. A process that was suspended would otherwise
    // run all of them at once.
    one.due = (one.due + one.period).max(now);
    (one.notify)(ms)
}
