//! HTTP clients and servers with `hyper` on `compio`, for single-threaded programs.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod body;
pub mod client;
pub mod executor;
pub mod server;
pub mod stop;
pub mod watched;
mod windowed;

pub use body::{BoxError, LocalBody};
pub use executor::LocalExecutor;
pub use stop::{Stop, StopNotice, Stopper};
pub use watched::ConnectionState;
pub use windowed::WindowedStream;
