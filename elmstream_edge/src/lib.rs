//! An entry host that sends to any backend server.
//!
//! [`Edge`] holds the decisions of `elmstream_steer` and connects them: callers
//! (`callers`, `access`, `forward`), backend servers (`backend`, `hints`), the other hosts (`peers`, `fetch`)
//! and the store (`reader`, `rollout`, over a [`Source`] that an adapter brings).

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod access;
pub mod backend;
pub mod callers;
pub mod connections;
pub mod content;
pub mod edge;
mod fetch;
pub mod fetches;
pub mod forward;
pub mod gate;
mod harm;
pub mod headers;
mod hints;
pub mod journal;
pub mod lifecycle;
pub mod peers;
pub mod reader;
mod registry;
mod rollout;
pub mod settings;
pub mod source;
mod stop;

pub use edge::Edge;
pub use settings::Settings;
pub use source::{Source, SourceError};
