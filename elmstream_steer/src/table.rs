//! The tables of a view.

use serde::{Deserialize, Serialize};

/// The tables of a view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Table {
    /// Configuration, evacuations and rollout orders.
    Rules,
    /// Backend servers.
    Servers,
    /// Progress of rollouts; read only while there are any.
    Rollouts,
}

impl Table {
    /// The table's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Table::Rules => "Rules",
            Table::Servers => "Servers",
            Table::Rollouts => "Rollouts",
        }
    }
}

/// All tables.
pub const TABLES: [Table; 3] = [Table::Rules, Table::Servers, Table::Rollouts];
/// Tables that each host has to know before it serves callers.
pub const REQUIRED_TABLES: [Table; 2] = [Table::Rules, Table::Servers];
