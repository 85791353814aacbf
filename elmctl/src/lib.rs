//! Command-line tool with which operators configure, drain and inspect entry hosts.
//!
//! It is a library so that tests can call its parts.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod cli;
pub mod command;
pub mod connection;
pub mod error;
pub mod explain;
pub mod output;
