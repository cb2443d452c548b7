//! The blackboard: typed cells that a process's controllers read and write.
//!
//! Each cell has one writer and any number of readers. A read returns an
//! [`Arc`] to a complete value, so a reader never sees a partial change.
//! `docs/DESIGN.md` lists the writer of each cell.

use std::sync::Arc;

use tokio::sync::watch;

/// One value on the board.
#[derive(Debug)]
pub struct Cell<T>(watch::Sender<Arc<T>>);

/// Waits for a cell to change.
#[derive(Debug)]
pub struct Watch<T>(watch::Receiver<Arc<T>>);

impl<T> Cell<T> {
    /// Creates a cell that holds `value`.
    pub fn new(value: T) -> Cell<T> {
        Cell(watch::Sender::new(Arc::new(value)))
    }

    /// Returns the current value.
    pub fn read(&self) -> Arc<T> {
        self.0.borrow().clone()
    }

    /// Replaces the value and wakes all watchers.
    pub fn write(&self, value: T) {
        self.0.send_replace(Arc::new(value));
    }

    /// Modifies the value in place and wakes all watchers.
    pub fn update(&self, change: impl FnOnce(&mut T))
    where
        T: Clone,
    {
        self.0.send_modify(|value| change(Arc::make_mut(value)));
    }

    /// Returns a watcher of the changes from now on.
    pub fn watch(&self) -> Watch<T> {
        Watch(self.0.subscribe())
    }
}

impl<T> Watch<T> {
    /// Waits for the next change. Never returns once the cell has been dropped.
    pub async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the current value and marks it as seen.
    pub fn read(&mut self) -> Arc<T> {
        self.0.borrow_and_update().clone()
    }
}
