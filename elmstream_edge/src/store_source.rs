//! The interface that an adapter to a store implements.

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

/// Time in which the store must respond, beyond the wait that was requested.
///
/// A store that takes fifty times its usual few milliseconds still responds within it.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub enum SourceError {
    /// No complete response in time.
    #[snafu(display("no answer: {cause}"))]
    Unreachable {
        /// Error of the transport.
        cause: String,
        /// Whether the connection had been used for an earlier call.
        reused: bool,
    },
    /// The store refused the call.
    #[snafu(display("refused with {status}"))]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The response belongs to an earlier era of the store than the known one.
    #[snafu(display("answer of era {era}, {known} is known"))]
    Outdated {
        /// Era of the response.
        era: u64,
        /// Newest era that the host knows.
        known: u64,
    },
    /// The response cannot be parsed.
    #[snafu(display("bad answer: {cause}"))]
    Malformed {
        /// Error of the parser.
        cause: String,
    },
}

impl SourceError {
    /// Whether the call was made over a reused connection, which may have stopped responding
    /// while new ones work.
    pub fn was_reused(&self) -> bool {
        matches!(self, SourceError::Unreachable { reused: true, .. })
    }
}

/// Rows of a table and the store's version that they reflect.
#[derive(Debug)]
pub struct StoreRows {
    /// Version of the store, in the era that the response names.
    pub version: StoreVersion,
    /// Rows; a read of the whole table contains only existing ones.
    pub rows: Vec<Row>,
    /// Keys of rows that cannot be parsed.
    pub unreadable: Vec<String>,
}

/// The store's list of hosts.
#[derive(Debug, Default)]
pub struct HostList {
    /// Hosts.
    pub listed: Vec<RegisteredHost>,
    /// Keys of rows that cannot be parsed.
    pub unreadable: Vec<String>,
}

/// The list of refused requests.
#[derive(Debug, Default)]
pub struct RefusedList {
    /// Digests of refused requests, each with the crashes that led to its refusal; a
    /// readmitted request has none.
    pub listed: Vec<(RequestDigest, Vec<ServerCrash>)>,
    /// Keys of rows that cannot be parsed.
    pub unreadable: Vec<String>,
}

/// A store of rules, servers, roll-out progress, hosts and refused requests.
///
/// A call ends within its wait and [`ANSWER_TIMEOUT`] for each page. After a call that
/// failed, no connection that was open is used again.
pub trait StoreSource: 'static {
    /// Reads all rows of a table as of one version.
    ///
    /// Hosts rely on it that no change up to that version, or up to the version of any row,
    /// is missing: they never ask for such a change again.
    ///
    /// # Errors
    ///
    /// The store gave no usable response.
    fn read_all(&self, table: Table) -> impl Future<Output = Result<StoreRows, SourceError>>;

    /// Reads the rows that changed after a version, waiting up to `wait` for a change; `None`
    /// if the store no longer has that history, or was restored from a backup since.
    ///
    /// # Errors
    ///
    /// The store gave no usable response.
    fn changes(
        &self,
        table: Table,
        after: StoreVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoreRows>, SourceError>>;

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// The store gave no usable response.
    fn hosts(&self) -> impl Future<Output = Result<HostList, SourceError>>;

    /// Edits the list of hosts.
    ///
    /// # Errors
    ///
    /// The store gave no usable response; the edit may be applied in part.
    fn edit_hosts(&self, edit: &RegistryEdit) -> impl Future<Output = Result<(), SourceError>>;

    /// Reads the list of refused requests.
    ///
    /// # Errors
    ///
    /// The store gave no usable response.
    fn refused_requests(&self) -> impl Future<Output = Result<RefusedList, SourceError>>;

    /// Lists a refused request with its crashes, or removes it from the list if `crashes` is
    /// empty.
    ///
    /// # Errors
    ///
    /// The store gave no usable response; the change may still be applied.
    fn add_refused_request(
        &self,
        digest: &RequestDigest,
        crashes: &[ServerCrash],
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Writes the progress of a roll-out on condition that neither the progress nor the order
    /// has changed; returns the store's version of the write, `None` if the condition failed.
    ///
    /// # Errors
    ///
    /// The store gave no usable response; the write may still be applied.
    fn write_rollout(
        &self,
        write: &RolloutWrite,
    ) -> impl Future<Output = Result<Option<StoreVersion>, SourceError>>;
}
