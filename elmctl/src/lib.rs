//! The operators' command-line tool, as a library.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod cli;
pub mod command;
pub mod connection;
pub mod error;
pub mod explain;
pub mod output;
