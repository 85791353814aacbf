//! What hosts send each other when one fetches table rows from another.

use std::net::SocketAddr;

use elmstream_steer::{poison::ServerCrash, table_sync::TableRows};
use serde::{Deserialize, Serialize};

/// HTTP path from which other hosts fetch table rows.
pub(crate) const ROWS_PATH: &str = "/v1/rows";

/// Response to a request for rows: what a host knows beyond a version, and which hosts it
/// knows.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PeerRows {
    /// Rows of the requested table.
    pub table: TableRows,
    /// Addresses of hosts.
    pub hosts: Vec<SocketAddr>,
    /// Whether `hosts` holds all hosts that the sender knows, and the sender has the whole
    /// host list.
    pub all_hosts: bool,
    /// Crashes of servers under refused requests; sent only to hosts that start.
    pub crashes: Vec<ServerCrash>,
}
