//! A fault soak: entry hosts as real processes, a stand-in store, backend servers
//! and callers, faults drawn from a seed, and checks of what callers and backend
//! servers see.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod aimed;
pub mod backend;
pub mod callers;
pub mod faults;
pub mod fragile;
pub mod host;
pub mod ledger;
pub mod listen;
pub mod needy;
pub mod process;
pub mod remote;
pub mod series;
pub mod soak;
pub mod store;
pub mod strike;
pub mod trouble;
pub mod versions;
pub mod watch;
pub mod wire;
pub mod workspaces;
pub mod world;
