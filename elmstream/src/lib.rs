//! The decisions of elmstream.
//!
//! Entities live in tables ([`catalog`], [`member`], [`allotment`]); systems
//! run over them on each tick and on each message. The crate is pure: it does
//! no I/O, reads no clock and starts no thread. Time, messages and table rows
//! come in as arguments, commands go out as values, so the same code runs in
//! the daemon, under property tests with a virtual clock, and in benchmarks.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod admission;
pub mod allotment;
pub mod block;
pub mod catalog;
pub mod code;
pub mod heartbeat;
pub mod id;
pub mod inherited_servers;
pub mod lease;
pub mod lookup;
pub mod member;
pub mod message;
pub mod node;
pub mod region_steward;
pub mod request_handling;
pub mod retry_budget;
pub mod route;
pub mod steward;
pub mod tickets;
pub mod time;
pub mod token_bucket;
pub mod traffic_limits;
pub mod witness_groups;
