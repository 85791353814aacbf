//! Decisions of an entry host in a fleet whose hosts send to any backend server.
//!
//! Pure: no I/O, no clock, no threads. Rows of the store, beats of the other
//! hosts, requests and time come in; choices and messages go out. `view` holds
//! what the store says, `servers` and `members` hold the entities, and `choose`,
//! `cold`, `budget`, `quota`, `readers`, `calls`, and `rollout` with `evidence`, `verdict` and
//! `steps`, are the systems over them. [`Steer`] ties them together for one host.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod beat;
pub mod budget;
pub mod calls;
pub mod choose;
pub mod cold;
pub mod demand;
pub mod digest;
pub mod era;
pub mod evidence;
pub mod harm;
pub mod hash;
pub mod hearing;
mod kept;
pub mod key;
pub mod leaving;
mod limiting;
pub mod lookup;
pub mod members;
pub mod model;
pub mod quota;
pub mod readers;
pub mod reading;
pub mod registry;
mod returning;
pub mod returns;
mod rolling;
pub mod rollout;
pub mod routes;
pub mod server;
pub mod server_limit;
pub mod servers;
pub mod settings;
pub mod start;
pub mod steer;
pub mod steps;
mod suspect;
pub mod tally;
pub mod telling;
pub mod usage;
pub mod verdict;
pub mod version;
pub mod view;
pub mod warmth;
pub mod workspaces;

pub use choose::{Ask, Choice, Refusal};
pub use rolling::RolloutWrite;
pub use settings::{Bounds, Host, Settings};
pub use steer::Steer;
