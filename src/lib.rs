//! azuremount serves language models and plain services from many small edge
//! sites on cheap, reclaimable VMs.
//!
//! The library contains all logic; the programs only parse arguments and call
//! it. Two components run as daemons:
//!
//! - [`control`] keeps the replicated log on the few VMs with a disk: the
//!   configuration, claims on requests that must not run twice, and the fleet
//!   of endpoints.
//! - [`entry`] runs on every entry VM. It answers callers, forwards requests to
//!   endpoints, and stores nothing on disk.
//!
//! [`node`] combines a [`gateway`], which forwards requests unchanged, with a
//! member of the replicated log on VMs with a disk; [`mesh`] connects nodes.
//!
//! The decision algorithms are separate from all I/O: [`control::raft`],
//! [`control::ledger`], [`config`] and [`decide`] use no clock, socket or
//! entropy source, and are tested against naive implementations.
//!
//! `docs/DESIGN.md` explains the choices; `docs/GLOSSARY.md` defines the
//! terms.

pub mod backoff;
pub mod board;
mod bounded;
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
mod outgoing;
pub mod packing;
pub mod settings;
pub mod signal;
pub mod timer;
mod util;
pub mod verdict;
pub mod wire;

pub use util::wall_ms;
