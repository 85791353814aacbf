//! Types of elmstream's protocols.
//!
//! [`operators`] contains the operator RPCs, generated from
//! `proto/operators.proto`; [`peer`] the messages between entry hosts; [`header`]
//! the names of HTTP headers; and [`identity`] the keys, certificates and TLS
//! configurations.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod header;
pub mod identity;
pub mod peer;

/// Operator RPCs, generated from `proto/operators.proto`.
#[allow(missing_docs, clippy::all)]
pub mod operators {
    include!("generated/elmstream.v1.rs");
}
