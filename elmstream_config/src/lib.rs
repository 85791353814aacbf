//! Settings of the daemon and the operators' configuration: types, checks,
//! canonical form and difference.

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
