//! Daemon of an entry host, a reverse proxy that owns backend servers by leases.
//!
//! The `elmstream` crate makes the decisions; this crate does the I/O. It is a library so that
//! several daemons can run in one process, each on its own thread.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod answer;
pub mod audit;
pub mod callers;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod forward;
pub mod history;
pub mod lifecycle;
pub mod logging;
pub mod operators;
pub mod owner;
pub mod paced;
pub mod peer_server;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod signals;
pub mod telemetry;
pub mod ticker;
pub mod tickets;
pub mod waits;
