//! Messages that hosts exchange several times a second.

use serde::{Deserialize, Serialize};

use crate::{
    leaving::LeavingNotice,
    poison::ServerCrash,
    refusal_rate::RefusalReport,
    rollout_counts::RolloutReport,
    server_limit::LimitNotice,
    settings::Host,
    tally::{FractionBroadcast, UsageReply, UsageReport},
    version::StoreVersion,
    warm_keys::WarmKey,
};

/// One host's load on one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Hash of the server's id, truncated to 32 bits.
    pub server: u32,
    /// Number of requests in flight.
    pub in_flight: u16,
    /// Whether the server answers the sending host.
    pub reachability: Reachability,
    /// Time that work takes at the server in percent of the usual time, as the server reported it
    /// to the sending host; 0 if there is no recent report.
    pub speed_percent: u16,
    /// Time since that report was read, in units of 10 ms.
    pub speed_age: u8,
}

/// Reachability of a backend server as seen by one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reachability {
    /// Nothing to report.
    Unreported,
    /// Requests to the server stay unanswered.
    Silent,
    /// The server answers this host, although others report it as silent.
    Answering,
}

/// How far the sender knows a table of the store.
///
/// The age of the data is given as the last confirming read, stamped by the reader's own clock. If
/// hosts only passed on ages, each hop would lose the transmission time, and data passed around in a
/// cycle would never age. The age serves a receiver that has not seen a read of the reader before.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableStatus {
    /// Watermark of the table; the default version if the table is unknown.
    pub version: StoreVersion,
    /// Last store read that confirmed the version; `None` if the table is unknown.
    pub last_read: Option<StoreRead>,
    /// Time since that read as far as the sender can tell, in milliseconds.
    pub age_ms: u64,
    /// Digest of the rows retained from an earlier era of the store; 0 if there are none.
    pub retained_digest: u32,
    /// Lowest version from which all tombstones are known.
    pub tombstone_floor: StoreVersion,
    /// Digest of the keys of all rows that exist in the store.
    pub keys_digest: u32,
}

/// A read of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreRead {
    /// Hash that identifies the start of the host that read.
    pub reader: u64,
    /// Time of the read in milliseconds of the reader's clock.
    pub stamp_ms: u64,
}

/// Notice that another host is live.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessUpdate {
    /// Hash of the host's name, truncated to 32 bits.
    pub host: u32,
    /// Incarnation of the host, truncated to 32 bits.
    pub incarnation: u32,
    /// Highest heartbeat number that the host is known to have sent.
    pub number: u64,
    /// Whether the host serves callers.
    pub ready: bool,
    /// Whether the host is about to stop.
    pub leaving: bool,
}

/// Periodic message of a host to the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: Host,
    /// Number of the sender's start; a later start has a higher one.
    pub incarnation: u64,
    /// Sequence number, increasing with each heartbeat of one incarnation.
    pub number: u64,
    /// Whether the sender serves callers.
    pub ready: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Shortest time in which the sender read all servers, in milliseconds; `None` if the store
    /// does not currently serve it.
    pub store_ms: Option<u16>,
    /// How far the sender knows each table, in the order of [`crate::view::TABLES`].
    pub tables: [TableStatus; 3],
    /// Recent requests per service, with the hash of the service truncated to 32 bits.
    pub demand: Vec<(u32, u32)>,
    /// Services whose servers the sender does not reach, by the hash of the service truncated to 32
    /// bits.
    pub cut_services: Vec<u32>,
    /// The sender's requests in flight per server. Servers without requests and with nothing to
    /// report are omitted; a speed that is about the usual one is nothing to report.
    pub loads: Vec<ServerLoad>,
    /// Keys for which servers have recently become warm. Sent only within the sender's region.
    pub warm_keys: Vec<WarmKey>,
    /// Other hosts that are live. Sent only within the sender's region, and only in large fleets.
    pub liveness: Vec<LivenessUpdate>,
    /// Number of hosts, including the sender, that the sender does not know to have stopped.
    pub fleet_size: u32,
    /// Crashes of servers while they ran requests. Every host that learns of a crash repeats it for
    /// a while.
    pub crashes: Vec<ServerCrash>,
    /// Request limits that servers named to the sender, and those withdrawn.
    pub limits: Vec<LimitNotice>,
    /// Instances of servers that announced in answers that they are leaving.
    pub leaving_servers: Vec<LeavingNotice>,
    /// The sender's counts of refusals by servers with free slots, by service.
    pub refusals: Vec<RefusalReport>,
}

/// A datagram between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Periodic state of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Usage of workspaces at the sender.
    UsageReport(UsageReport),
    /// Answer to a usage report.
    UsageReply(UsageReply),
    /// Admit fractions of workspaces, for all hosts.
    FractionBroadcast(FractionBroadcast),
    /// Counts of a rollout at the sender.
    RolloutReport(Box<RolloutReport>),
}
