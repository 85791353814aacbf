//! Messages between entry hosts, and the commands that systems give.

use serde::{Deserialize, Serialize};

use crate::{
    allotment::Row,
    id::{HostRef, Name},
};

/// What an owner reports of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: Name,
    /// Slots that the owner may fill now.
    pub slots: u32,
    /// Slots that are filled.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

/// Requests still in flight at a backend server that their sender has released.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lingering {
    /// The backend server.
    pub backend: Name,
    /// How many.
    pub count: u32,
}

/// A heartbeat: it tells that the host is alive and what it owns, and asks a
/// witness of the same region to renew the sender's lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: HostRef,
    /// The sender's failure domain.
    pub domain: Name,
    /// The sender's region, whose row `epoch` is of.
    pub region: Name,
    /// Counts the sender's rounds.
    pub sequence: u64,
    /// The epoch that the sender has taken; it keeps nothing of an older one.
    pub epoch: u64,
    /// Whether the sender knows that the epoch is settled.
    pub settled: bool,
    /// The revision of the configuration in force at the sender.
    pub revision: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// What the sender owns, by service.
    pub loads: Vec<ServiceLoad>,
    /// What the sender has released and still has in flight.
    pub lingering: Vec<Lingering>,
    /// Hosts of the group that the sender is a witness of, for the steward's
    /// group; empty in a fleet where each host hears each other one.
    pub sightings: Vec<Sighting>,
}

/// What a witness has heard of a host of its group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// The host and the incarnation that was heard.
    pub host: HostRef,
    /// Milliseconds since it was heard.
    pub age_ms: u32,
    /// The epoch that it has taken.
    pub epoch: u64,
    /// The round of its heartbeat.
    pub sequence: u64,
    /// The revision in force there.
    pub revision: u64,
    /// Whether it says that it is stopping.
    pub leaving: bool,
}

/// What the steward's group knows of the hosts of its region: all that the
/// platform lists are live, but these.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessDigest {
    /// Milliseconds since this was so.
    pub age_ms: u32,
    /// Hosts that are silent or leave.
    pub unavailable: Vec<Name>,
}

/// A renewal that took effect in the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRenewal {
    /// The row's epoch.
    pub epoch: u64,
    /// The round in which the owner asked.
    pub sequence: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// The sender of the answer.
    pub from: HostRef,
    /// Which round is answered.
    pub sequence: u64,
    /// The epoch at which a witness promises the renewal.
    pub promised_epoch: Option<u64>,
    /// The last round of the asker that the table renewed.
    pub table_renewal: Option<TableRenewal>,
    /// The revision in force at the sender of the answer.
    pub revision: u64,
    /// The region's row, where the asker's is older.
    pub row: Option<Row>,
    /// The region's hosts, in a fleet where no host hears each other one.
    pub digest: Option<LivenessDigest>,
}

/// A steward's demand that a witness promises no more at `epoch`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// The region whose row the epoch is of.
    pub region: Name,
    /// The epoch.
    pub epoch: u64,
}

/// The answer of a witness that is fenced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceReply {
    /// The witness.
    pub from: HostRef,
    /// The region.
    pub region: Name,
    /// The epoch.
    pub epoch: u64,
}

/// What a system wants done outside the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a heartbeat to the named host.
    Heartbeat(Name, Heartbeat),
    /// Send a fence to the named host.
    Fence(Name, Fence),
    /// Read the region's allotment row.
    ReadRow(Name),
    /// Write the row if its version in the table is still `expect`.
    WriteRow {
        /// The row.
        row: Row,
        /// The version that the write is conditional on; 0 is "no row yet".
        expect: u64,
    },
    /// A queued request may go on.
    Wake(u64),
    /// Ask a backend server how many requests it runs; the answer goes to
    /// [`crate::node::Node::probed`].
    Probe(Name),
    /// Something an operator may ask about later.
    Event(Event),
}

/// Changes that are logged and counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A row was taken: region, epoch, settled, backend servers owned here.
    RowTaken(Name, u64, bool, usize),
    /// This host's lease lapsed.
    LeaseLapsed,
    /// This host holds its lease again.
    LeaseHeld,
    /// A host fell silent.
    HostSilent(HostRef),
    /// A host was heard for the first time, or again.
    HostHeard(HostRef),
    /// As steward, this host proposes a row: region, epoch, moves.
    RowProposed(Name, u64, usize),
}
