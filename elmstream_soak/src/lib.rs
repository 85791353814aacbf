//! A fault soak: entry hosts run as real processes against a simulated store, simulated
//! backend servers and simulated callers. Faults are drawn from a seed, and the guarantees
//! are checked by what callers and backend servers observe.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod backend;
pub mod callers;
pub mod connection_burst;
pub mod departures;
pub mod faults;
pub mod gate;
pub mod homes;
pub mod host;
pub mod injection;
pub mod late_writes;
pub mod ledger;
pub mod listen;
pub mod memory;
pub mod outages;
pub mod poison;
pub mod process;
pub mod removals;
pub mod series;
pub mod server_signals;
pub mod soak;
pub mod standstills;
pub mod stop_load;
pub mod store;
pub mod store_client;
pub mod versions;
pub mod watch;
pub mod wire;
pub mod workspaces;
pub mod world;
