//! An entry host, which is a reverse proxy, that can send a request to any backend server.
//!
//! [`Edge`] holds the decisions of `elmstream_steer` and connects them to callers (`callers`,
//! `access`, `forward`), backend servers (`backend`, `server_hints`), the other hosts
//! (`peers`, `table_fetch`) and the store (`store_reader`, `rollout`, through a
//! [`StoreSource`] that an adapter implements).

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod access;
pub mod backend;
pub mod buffer_bound;
pub mod callers;
pub mod concurrency_limit;
mod connection_refusal;
pub mod connections;
mod counted_body;
pub mod edge;
pub mod event_log;
pub mod fetch_schedule;
pub mod forward;
pub mod headers;
mod host_registry;
pub mod lifecycle;
pub mod load_header;
mod outdated;
mod peer_rows;
pub mod peers;
mod planned_stop;
mod poison;
mod refusal_report;
mod relay;
mod relay_header;
pub mod request_digest;
pub mod resources;
mod rollout;
mod server_hints;
pub mod settings;
mod shutdown;
pub mod store_reader;
pub mod store_source;
mod table_fetch;
mod whole_body;

pub use edge::Edge;
pub use settings::Settings;
pub use store_source::{SourceError, StoreSource};
