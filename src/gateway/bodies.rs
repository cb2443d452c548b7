//! Memory for the bodies of all requests under way, together.
//!
//! A limit for each body is not enough: two thousand connections times a body
//! of some megabytes is many times a VM's memory, and the process would be
//! killed with all its requests. Bytes are counted as they arrive, so a
//! client that only announces a long body takes nothing from the others.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes in one unit of the count.
const UNIT: usize = 1024;

/// What all bodies may take.
#[derive(Debug)]
pub struct Bodies {
    free: Arc<Semaphore>,
}

/// What one body takes, until dropped.
#[derive(Debug)]
pub struct Share {
    free: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
}

impl Bodies {
    /// Room for so many bytes.
    pub fn open(bytes: usize) -> Bodies {
        Bodies { free: Arc::new(Semaphore::new(bytes / UNIT)) }
    }

    /// A share, of nothing yet.
    pub fn share(&self) -> Share {
        Share { free: self.free.clone(), held: None }
    }
}

impl Share {
    /// Makes room for `bytes` in all; false when there is none.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.held.as_ref().map_or(0, |held| held.num_permits());
        let more = bytes.div_ceil(UNIT).saturating_sub(held) as u32;
        let Ok(more) = self.free.clone().try_acquire_many_owned(more) else {
            return false;
        };
        match &mut self.held {
            Some(held) => held.merge(more),
            None => self.held = Some(more),
        }
        true
    }
}
