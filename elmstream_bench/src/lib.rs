//! Measurements of elmstream: a fleet in one process, the guided trial, experiments on
//! running daemons, capacity slopes, and configurations of the users' sizes.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod analyze;
pub mod cli;
pub mod experiment;
pub mod fleet;
pub mod ideal;
pub mod operator;
pub mod process;
pub mod sizes;
pub mod slope;
pub mod small;
pub mod steering;
pub mod trial;
pub mod users;
