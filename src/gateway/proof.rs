//! Whether an answer is shown to be that to the request.
//!
//! A faulty replica may send an answer twice, and a connection may hold the
//! answer to an earlier request. An answer counts only if it has the id of the
//! request. A success also needs the replica's seal if an earlier answer of
//! the same incarnation had one. An answer that lacks its proof says nothing
//! about the request, also not that it was not run.

use std::sync::{Mutex, MutexGuard};

use http::StatusCode;

use super::{Gateway, dialect::AnswerInfo};
use crate::mesh::table::replica_hash;

/// The incarnations of replicas that have sealed an answer, as sorted hashes.
#[derive(Debug, Default)]
pub(super) struct Seals(Mutex<Vec<u64>>);

impl Seals {
    fn lock(&self) -> MutexGuard<'_, Vec<u64>> {
        self.0.lock().unwrap_or_else(|held| held.into_inner())
    }

    /// Removes the replicas for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(u64) -> bool) {
        self.lock().retain(|replica| keep(*replica));
    }
}

impl Gateway {
    /// Checks that an answer is that to the request.
    ///
    /// # Errors
    ///
    /// Returns what the answer lacks, for the log.
    pub(super) fn check_proof(
        &self,
        replica: &str,
        status: StatusCode,
        answer_info: &AnswerInfo,
    ) -> Result<(), &'static str> {
        if !answer_info.matches {
            return Err("the answer does not have the id of the request");
        }
        let replica = replica_hash(replica);
        let mut seals = self.seals.lock();
        match seals.binary_search(&replica) {
            Ok(_) if status.is_success() && !answer_info.is_sealed => {
                Err("the answer does not have the replica's seal")
            }
            Err(at) if answer_info.is_sealed => {
                seals.insert(at, replica);
                Ok(())
            }
            _ => Ok(()),
        }
    }
}
