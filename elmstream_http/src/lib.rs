//! HTTP clients and servers with `hyper` on `compio`, for single-threaded programs.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

pub mod body;
pub mod client;
mod connection;
pub mod connections;
pub mod executor;
mod plain_stream;
mod refusal;
pub mod request_body;
pub mod response_check;
pub mod server;
pub mod stop;
pub mod watched;

pub use body::{BoxError, LocalBody};
pub use connections::{ConnectionBounds, Connections};
pub use executor::LocalExecutor;
pub use plain_stream::PlainStream;
pub use request_body::RequestBody;
pub use response_check::ResponseFault;
pub use stop::{Stop, StopNotice, Stopper};
pub use watched::ConnectionState;
