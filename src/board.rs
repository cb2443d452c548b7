//! The blackboard: typed cells that a process's controllers read and write.
//!
//! Each cell has one writer; anybody reads. Reading gives the value as it was
//! put there, whole: a reader holds an [`Arc`] and never sees half a change.
//! `docs/DESIGN.md` has the table of who writes which cell.

use std::sync::Arc;

use tokio::sync::watch;

/// One value on the board.
#[derive(Debug)]
pub struct Cell<T>(watch::Sender<Arc<T>>);

/// Waits for a cell to change.
#[derive(Debug)]
pub struct Watch<T>(watch::Receiver<Arc<T>>);

impl<T> Cell<T> {
    /// Starts with a value.
    pub fn new(value: T) -> Cell<T> {
        Cell(watch::Sender::new(Arc::new(value)))
    }

    /// The value now.
    pub fn read(&self) -> Arc<T> {
        self.0.borrow().clone()
    }

    /// Replaces the value and wakes those that watch.
    pub fn write(&self, value: T) {
        self.0.send_replace(Arc::new(value));
    }

    /// Changes the value in place of writing a new one from outside.
    pub fn update(&self, change: impl FnOnce(&mut T))
    where
        T: Clone,
    {
        self.0.send_modify(|value| change(Arc::make_mut(value)));
    }

    /// Follows the cell from here on.
    pub fn watch(&self) -> Watch<T> {
        Watch(self.0.subscribe())
    }
}

impl<T> Watch<T> {
    /// Waits for the next change. Never ends once the cell is gone.
    pub async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// The value now.
    pub fn read(&mut self) -> Arc<T> {
        self.0.borrow_and_update().clone()
    }
}
