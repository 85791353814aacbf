//! Messages between entry hosts, and the commands that a host's decisions result
//! in.
//!
//! Messages are encoded by the order of their fields: fields must not be
//! reordered, added or removed.

use serde::{Deserialize, Serialize};

use crate::{
    allotment::Row,
    id::{HostRef, Name},
};

/// Load of one service at one owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: Name,
    /// Slots that the owner may use now.
    pub slots: u32,
    /// Slots in use.
    pub in_flight: u32,
    /// Requests that are queued for a slot.
    pub queued: u32,
}

/// Requests still in flight at a backend server that the sender no longer owns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lingering {
    /// Name of the backend server.
    pub backend: Name,
    /// Number of requests.
    pub count: u32,
}

/// Heartbeat: shows that the sender is live, reports what it owns, and asks
/// witnesses of its region to renew its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender of the heartbeat.
    pub from: HostRef,
    /// Failure domain of the sender.
    pub domain: Name,
    /// Region of the sender, whose allotment row `epoch` refers to.
    pub region: Name,
    /// Heartbeat round of the sender; rises by one with each round.
    pub sequence: u64,
    /// Epoch of the row that the sender acts on. It has dropped all ownership
    /// under earlier epochs.
    pub epoch: u64,
    /// Whether the sender knows that the epoch is settled.
    pub settled: bool,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Load of the services that the sender owns servers of.
    pub loads: Vec<ServiceLoad>,
    /// Requests in flight at servers that the sender no longer owns.
    pub lingering: Vec<Lingering>,
    /// Hosts whose leases the sender promises as a witness. Sent to the steward
    /// group only; empty in a fleet in which every host sends heartbeats to every
    /// other.
    pub sightings: Vec<Sighting>,
}

/// What a witness knows of a live host of its group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// The host and its last known incarnation.
    pub host: HostRef,
    /// Milliseconds since its last heartbeat.
    pub age_ms: u32,
    /// Epoch of the row that the host acts on.
    pub epoch: u64,
    /// Round of its last heartbeat.
    pub sequence: u64,
    /// Revision of the configuration in force there.
    pub revision: u64,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// Liveness of a region's hosts as known to the steward group: every host in the
/// platform's list is live, except those named here.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessDigest {
    /// Milliseconds since this information was current.
    pub age_ms: u32,
    /// Hosts that are silent or leaving.
    pub unavailable: Vec<Name>,
}

/// Lease renewal that was written to the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRenewal {
    /// Epoch of the row.
    pub epoch: u64,
    /// Heartbeat round in which the owner asked for the renewal.
    pub sequence: u64,
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Sender of the reply.
    pub from: HostRef,
    /// Heartbeat round that is answered.
    pub sequence: u64,
    /// Epoch at which the sender promises the renewal as a witness, or `None` if
    /// it doesn't.
    pub promised_epoch: Option<u64>,
    /// Last renewal of the receiver's lease through the table, as far as the
    /// sender knows.
    pub table_renewal: Option<TableRenewal>,
    /// Revision of the configuration in force at the sender of the reply.
    pub revision: u64,
    /// The region's allotment row, if the receiver's row is older.
    pub row: Option<Row>,
    /// Liveness of the region's hosts, in a fleet in which not every host sends
    /// heartbeats to every other.
    pub digest: Option<LivenessDigest>,
}

/// Sent by a steward: the witness must not promise renewals at `epoch` or earlier
/// any more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// Region whose row `epoch` refers to.
    pub region: Name,
    /// Highest epoch that is fenced.
    pub epoch: u64,
}

/// Confirmation of a fence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceReply {
    /// Witness that is fenced.
    pub from: HostRef,
    /// Region of the fence.
    pub region: Name,
    /// Epoch of the fence.
    pub epoch: u64,
}

/// Action that the caller of [`crate::node::Node`] has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send this heartbeat to the named host.
    Heartbeat(Name, Heartbeat),
    /// Send this fence to the named host.
    Fence(Name, Fence),
    /// Read the allotment row of the named region.
    ReadRow(Name),
    /// Write the row if its version in the table is still `expect`.
    WriteRow {
        /// Row to write.
        row: Row,
        /// Version that the write is conditional on; 0 if the row must not exist
        /// yet.
        expect: u64,
    },
    /// Continue the queued request with this number.
    Wake(u64),
    /// Ask the named backend server how many requests it runs, and pass the
    /// answer to [`crate::node::Node::on_probe_reply`].
    Probe(Name),
    /// Log and count this event.
    Event(Event),
}

/// State changes that are logged and counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// An allotment row was adopted: region, epoch, whether it is settled, number
    /// of backend servers that this host may act on.
    RowTaken(Name, u64, bool, usize),
    /// This host's lease expired.
    LeaseLapsed,
    /// This host holds its lease again.
    LeaseHeld,
    /// A host was live and no longer is.
    HostSilent(HostRef),
    /// A host became live.
    HostHeard(HostRef),
    /// This host proposes a row as steward: region, epoch, number of servers that
    /// change owners.
    RowProposed(Name, u64, usize),
}
