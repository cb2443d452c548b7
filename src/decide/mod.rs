//! Decisions, apart from any I/O: where a request goes, and whether it may.
//!
//! Nothing here has a clock, a socket or randomness of its own; the time and
//! seeds are passed in. The entries drive these types behind a mutex, and
//! `benches/` and the tests drive them directly.

pub mod admit;
pub mod moving;
pub mod place;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod retry;
pub mod route;
