//! All tests, in one binary: it links once, and its parts share helpers.

mod ledger;
mod raft;
