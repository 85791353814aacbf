//! Small stand-ins for what elmstream meets: the platform's table service,
//! object store and host list, backend servers, and a caller that loads.
//!
//! Each has faults that are switched over HTTP while it runs. Their interfaces
//! are written in `docs/PROTOCOLS.md`.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod backend;
pub mod caller;
pub mod platform;
pub mod reply;
pub mod report;
pub mod target;
