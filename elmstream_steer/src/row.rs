//! Rows of a view as hosts send them to each other: key, version and content.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    hash,
    model::{Configuration, EntryNumber, Server},
    rollout::{RolloutOrder, RolloutProgress},
    table::Table,
    version::StoreVersion,
};

/// Key of a row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RowKey {
    /// The configuration.
    Configuration,
    /// The evacuation of a failure domain.
    Evacuation(String),
    /// A backend server, by its id.
    Server(String),
    /// The order to roll out a service.
    Rollout(String),
    /// The progress of a service's rollout.
    Progress(String),
}

impl RowKey {
    /// The table that contains the row.
    pub fn table(&self) -> Table {
        match self {
            RowKey::Configuration | RowKey::Evacuation(_) | RowKey::Rollout(_) => Table::Rules,
            RowKey::Progress(_) => Table::Rollouts,
            RowKey::Server(_) => Table::Servers,
        }
    }

    /// Hash of the key, equal on all hosts.
    pub(crate) fn hash(&self) -> u64 {
        hash::of(self.to_string())
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowKey::Configuration => write!(f, "configuration"),
            RowKey::Evacuation(domain) => write!(f, "evacuation of {domain}"),
            RowKey::Server(id) => write!(f, "server {id}"),
            RowKey::Rollout(service) => write!(f, "roll-out of {service}"),
            RowKey::Progress(service) => write!(f, "progress of {service}"),
        }
    }
}

/// Content of a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RowContent {
    /// A configuration.
    Configuration(Configuration),
    /// An evacuation is requested.
    Evacuation,
    /// A backend server.
    Server(Server),
    /// An entry that cannot be parsed; no server is used under its key.
    Unreadable,
    /// An order to roll out a service.
    Rollout(RolloutOrder),
    /// The progress of a rollout.
    Progress(RolloutProgress),
}

impl RowContent {
    /// Number of a server's entry; `None` for other contents.
    pub fn entry_number(&self) -> Option<EntryNumber> {
        match self {
            RowContent::Server(server) => Some(server.entry_number()),
            _ => None,
        }
    }
}

/// A row as sent between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// The store's version of the row's last significant change.
    pub version: StoreVersion,
    /// The content; `None` for a tombstone.
    pub content: Option<RowContent>,
    /// Counters at which the row existed before its deletion; `None` if it exists or they are
    /// unknown.
    pub removed_counters: RemovedCounters,
    /// Number of the server's newest known entry, if the row has none itself, as it was deleted or
    /// cannot be parsed.
    pub last_entry: Option<EntryNumber>,
}

/// A row in force that is retained against the store's content, as sent between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RetainedRow {
    /// The row in force.
    pub row: Row,
    /// Time since the store's content is known to be an older entry of the server, in milliseconds;
    /// `None` if the row is retained from an earlier era.
    pub late_ms: Option<u64>,
}

/// The store's counters at which a row existed before its deletion: that of its last significant
/// change and that of its last write.
pub type RemovedCounters = Option<[u64; 2]>;

impl Row {
    /// Creates a row as the store has it, without counters of a deletion.
    pub fn new(key: RowKey, version: StoreVersion, content: Option<RowContent>) -> Row {
        Row { key, version, content, removed_counters: None, last_entry: None }
    }

    /// Number of the server's newest entry known with this row.
    pub fn entry_number(&self) -> Option<EntryNumber> {
        self.content.as_ref().and_then(RowContent::entry_number).or(self.last_entry)
    }
}
