//! azuremount serves language models and plain services from many small edge
//! sites on cheap, reclaimable VMs.
//!
//! The library holds everything; the programs beside it are thin. Two parts
//! run as daemons:
//!
//! - [`control`] keeps the replicated log on the few VMs with a disk:
//!   configuration, claims on requests that must not run twice, and the fleet
//!   of endpoints.
//! - [`entry`] runs on every entry VM. It answers callers, forwards to
//!   endpoints, and keeps nothing on disk.
//!
//! What they decide by stands apart from all I/O: [`control::raft`],
//! [`control::ledger`], [`config`] and [`decide`] have no clock, socket or
//! randomness of their own, and are tested against naive versions.
//!
//! `docs/DESIGN.md` argues the choices; `docs/GLOSSARY.md` lists the words.

pub mod backoff;
pub mod board;
pub mod caller;
pub mod cli;
pub mod config;
pub mod control;
pub mod daemon;
pub mod decide;
pub mod duty;
pub mod entry;
mod fingerprint;
pub mod gateway;
pub mod http_server;
pub mod logs;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod packing;
pub mod settings;
pub mod signal;
pub mod timer;
mod util;
pub mod verdict;
pub mod wire;

pub use util::wall_ms;
