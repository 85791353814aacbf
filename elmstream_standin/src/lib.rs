//! Stand-ins for the systems around elmstream, for tests and load runs.
//!
//! [`platform`] stands for the platform's table service, object store and host
//! list, [`backend`] for a backend server, and [`caller`] generates load. Faults
//! of the platform and of backend servers are switched over HTTP at run time.
//! `docs/PROTOCOLS.md` describes the interfaces.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod backend;
pub mod caller;
pub mod platform;
pub mod reply;
pub mod report;
pub mod target;
