//! Settings of the `elmstreamd` daemon, and the configuration that operators maintain.
//!
//! [`Settings`] belong to one entry host and are read at start. The
//! [`Configuration`] is shared by all entry hosts: [`check`] validates it,
//! [`compile`] turns it into the catalog of the `elmstream` crate, and
//! [`difference`] computes and applies edits between two versions.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod check;
pub mod compile;
pub mod difference;
pub mod document;
pub mod error;
pub mod settings;

pub use document::Configuration;
pub use error::Error;
pub use settings::Settings;
