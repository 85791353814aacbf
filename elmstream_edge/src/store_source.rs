//! What an adapter to a store brings.

use std::time::Duration;

use elmstream_steer::{
    RolloutWrite,
    digest::RequestDigest,
    host_registry::{RegisteredHost, RegistryEdit},
    poison::ServerCrash,
    version::StoreVersion,
    view::{Row, Table},
};
use snafu::Snafu;

/// Time in which an answer of the store must come, beyond the wait that was asked for.
///
/// A store that takes fifty times its usual few milliseconds still answers within it.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a call to the store gave nothing.
#[derive(Debug, Snafu)]
pub enum SourceError {
    /// No answer in time, or a broken one.
    #[snafu(display("no answer: {cause}"))]
    Unreachable {
        /// What the transport said.
        cause: String,
        /// Whether the connection had been kept from an earlier call.
        reused: bool,
    },
    /// The store refused.
    #[snafu(display("refused with {status}"))]
    Refused {
        /// Its status.
        status: u16,
    },
    /// The answer is of an era of the store before the one that is known.
    #[snafu(display("answer of era {era}, {known} is known"))]
    Outdated {
        /// Era of the answer.
        era: u64,
        /// The newest one that the host knows of.
        known: u64,
    },
    /// The answer cannot be read.
    #[snafu(display("bad answer: {cause}"))]
    Malformed {
        /// What is wrong.
        cause: String,
    },
}

impl SourceError {
    /// Whether the call was made over a connection that had been kept, which may have
    /// fallen silent while new ones work.
    pub fn was_reused(&self) -> bool {
        matches!(self, SourceError::Unreachable { reused: true, .. })
    }
}

/// Rows of a table, and the store's version that they are of.
#[derive(Debug)]
pub struct StoreRows {
    /// The store's version, with the era that the answer names.
    pub version: StoreVersion,
    /// Rows; of a whole table only those that are there.
    pub rows: Vec<Row>,
    /// Keys of rows that cannot be read.
    pub unreadable: Vec<String>,
}

/// The list of hosts.
#[derive(Debug, Default)]
pub struct HostList {
    /// Hosts.
    pub listed: Vec<RegisteredHost>,
    /// Keys of rows that cannot be read.
    pub unreadable: Vec<String>,
}

/// Requests that are refused, as the store lists them.
#[derive(Debug, Default)]
pub struct RefusedList {
    /// Requests, each with the ends of servers that decided it.
    pub listed: Vec<(RequestDigest, Vec<ServerCrash>)>,
    /// Keys of rows that cannot be read.
    pub unreadable: Vec<String>,
}

/// A store with rules, servers, hosts and requests that are refused.
///
/// A call ends within its wait and [`ANSWER_TIMEOUT`] for each page. After one that failed no
/// kept connection is used.
pub trait StoreSource: 'static {
    /// All rows of a table, as they were at one version.
    ///
    /// Hosts take it that no change up to that version, or up to that of any row, is
    /// missing, and never ask for it again.
    fn read_all(&self, table: Table) -> impl Future<Output = Result<StoreRows, SourceError>>;

    /// Rows that changed after a version, as soon as there is one; none if the
    /// store no longer knows what changed, or has come back from a copy since.
    fn changes(
        &self,
        table: Table,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoreRows>, SourceError>>;

    /// The list of hosts.
    fn hosts(&self) -> impl Future<Output = Result<HostList, SourceError>>;

    /// Changes the list of hosts.
    fn edit_hosts(&self, edit: &RegistryEdit) -> impl Future<Output = Result<(), SourceError>>;

    /// The list of requests that are refused.
    fn refused_requests(&self) -> impl Future<Output = Result<RefusedList, SourceError>>;

    /// Lists one more, or takes one off if it comes without ends of servers.
    fn add_refused_request(
        &self,
        digest: &RequestDigest,
        endings: &[ServerCrash],
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Writes how far a roll-out has come, if neither that nor its order has changed since;
    /// the store's version of what was written, none if they have.
    fn write_rollout(
        &self,
        write: &RolloutWrite,
    ) -> impl Future<Output = Result<Option<StoreVersion>, SourceError>>;
}
