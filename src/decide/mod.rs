//! Request routing and admission logic, free of I/O.
//!
//! Nothing in this module reads a clock, opens a socket or draws random
//! numbers: callers pass in the time and the seeds. Nodes and entries call
//! these types while holding a mutex; `benches/` and the tests call them
//! directly.

pub mod admission;
pub mod admit;
pub mod brittle;
pub mod moving;
pub mod origin;
pub mod place;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod reach;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod speed;
