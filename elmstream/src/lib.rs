//! Decision logic of entry hosts that own backend servers by leases.
//!
//! An entry host is a reverse proxy: it forwards callers' requests to backend servers.
//! Each backend server of a region has one owner: the entry host that admits its
//! requests. Entry hosts hold their servers under leases ([`lease`]), a region's
//! allotment row names the owners ([`allotment`]), and a steward changes that row
//! ([`steward`]). Requests are routed to owners ([`route`]), which queue and
//! admit them ([`admission`]).
//!
//! All state of one entry host is in [`node::Node`]. The crate does no I/O, reads
//! no clock and starts no thread: time, messages and table rows come in as
//! arguments, and commands go out as values ([`message::Command`]). The daemon,
//! the property tests with a virtual clock and the benchmarks therefore run
//! identical code.

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
