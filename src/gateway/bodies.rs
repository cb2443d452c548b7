//! A memory budget shared by the bodies of all requests in flight.
//!
//! A limit for each body is not enough: two thousand connections with a body
//! of some megabytes each need many times a VM's memory, and the process would
//! be killed with all its requests. Bytes are counted as they arrive, so a
//! caller that only announces a long body takes no memory from other callers.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that one semaphore permit stands for.
const BYTES_PER_PERMIT: usize = 1024;

/// The memory that all bodies together may take.
#[derive(Debug)]
pub struct Budget {
    free: Arc<Semaphore>,
}

/// The memory reserved for one body, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    free: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
}

impl Budget {
    /// Creates a budget of `bytes`.
    pub fn open(bytes: usize) -> Budget {
        Budget { free: Arc::new(Semaphore::new(bytes / BYTES_PER_PERMIT)) }
    }

    /// Returns an empty reservation, to be grown as the body arrives.
    pub fn reserve(&self) -> Reservation {
        Reservation { free: self.free.clone(), held: None }
    }
}

impl Reservation {
    /// Grows the reservation to `bytes` in total. Returns false, without a
    /// change, when the budget does not allow it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.held.as_ref().map_or(0, |held| held.num_permits());
        let more =
            bytes.div_ceil(BYTES_PER_PERMIT).saturating_sub(held) as u32;
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
