//! Schema and typed messages of elmstream's own protocols.
//!
//! [`operators`] is generated from `proto/operators.proto`; [`peer`] are the
//! messages between entry hosts, [`header`] the names of HTTP headers,
//! [`identity`] how hosts prove themselves to each other.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod header;
pub mod identity;
pub mod peer;

/// The operators' RPCs, generated from `proto/operators.proto`.
#[allow(missing_docs, clippy::all)]
pub mod operators {
    include!("generated/elmstream.v1.rs");
}
