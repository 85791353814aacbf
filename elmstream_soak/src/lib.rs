//! A fault soak: entry hosts as real processes, a stand-in store, backend servers
//! and callers, faults drawn from a seed, and checks of what callers and backend
//! servers see.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod backend;
pub mod callers;
pub mod faults;
pub mod host;
pub mod injection;
pub mod ledger;
pub mod listen;
pub mod outages;
pub mod poison;
pub mod process;
pub mod series;
pub mod server_signals;
pub mod soak;
pub mod stop_load;
pub mod store;
pub mod store_client;
pub mod versions;
pub mod watch;
pub mod wire;
pub mod workspaces;
pub mod world;
