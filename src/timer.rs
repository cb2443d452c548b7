//! The process's one clock, and the service that wakes its parts.
//!
//! Parts do not sleep on their own: they subscribe, and are called with the
//! time. So the parts that decide anything take the time as an argument, and
//! a test can hand them any time it likes.
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
//! It goes on while the process is stopped, so that a lease runs out for a
//! process that is frozen.

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
    /// Starts the service on the running runtime.
    pub fn spawn() -> Timer {
        let (subscribe, new) = mpsc::unbounded_channel();
        let start = Instant::now();
        let task = tokio::spawn(run(start, new));
        Timer { start, subscribe, task: Arc::new(Task(task)) }
    }

    /// Milliseconds since the service started.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Calls `notify` every `period` with the time, until it returns false.
    ///
    /// It is called on the timer's task and must return at once.
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
    // Ticks that were missed are not made up for: a thawed process would
    // otherwise run its whole past at once.
    one.due = (one.due + one.period).max(now);
    (one.notify)(ms)
}
