//! What hosts tell each other many times a second.

use serde::{Deserialize, Serialize};

use crate::{
    leaving::LeavingNotice,
    poison::ServerCrash,
    rollout_counts::RolloutReport,
    server_limit::LimitNotice,
    settings::Host,
    tally::{FractionBroadcast, UsageReply, UsageReport},
    version::StoreVersion,
    warm_keys::WarmKey,
};

/// One host's requests at one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLoad {
    /// Hash of the server's id, cut to 32 bits.
    pub server: u32,
    /// Requests in flight.
    pub in_flight: u16,
    /// What the host hears of it.
    pub reachability: Reachability,
}

/// What a host hears of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reachability {
    /// Nothing that others must know.
    Unreported,
    /// It waits for answers in vain.
    Silent,
    /// Answers, while others wait in vain.
    Answering,
}

/// How far a table of the store is known to the sender.
///
/// Hosts pass on who read the store last and when by that host's own clock, never
/// an age: an age would lose the time on the way with each host that passes it on,
/// and what goes in circles would never grow old.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableStatus {
    /// The store's version; 0 for nothing.
    pub version: StoreVersion,
    /// The last reading that confirmed it; none if nothing is known.
    pub last_read: Option<StoreRead>,
    /// Tells the rows in which an earlier era of the store holds on against this one from
    /// others; 0 if there are none.
    pub retained_digest: u32,
    /// Removals since this version of the store are known.
    pub tombstone_floor: StoreVersion,
    /// Tells the keys of the rows that are there from others.
    pub keys_digest: u32,
}

/// A reading of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreRead {
    /// Hash of the start of the host that read.
    pub reader: u64,
    /// When, in milliseconds of the reader's clock.
    pub stamp_ms: u64,
}

/// A host that another host knows to be live.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LivenessUpdate {
    /// Hash of its name, cut to 32 bits.
    pub host: u32,
    /// Number of its start, cut to 32 bits.
    pub incarnation: u32,
    /// Highest number of a beat that it is known to have sent.
    pub number: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A host's message to the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: Host,
    /// Number of its start.
    pub incarnation: u64,
    /// Rises with each beat of the start.
    pub number: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Shortest time in which it read all servers, in milliseconds; none if the
    /// store does not serve it now.
    pub store_ms: Option<u16>,
    /// How far it knows the tables, in the order of [`crate::view::TABLES`].
    pub tables: [TableStatus; 3],
    /// Requests that it took lately, by hash of the service, cut to 32 bits.
    pub demand: Vec<(u32, u32)>,
    /// Its requests in flight; servers without any, and nothing to say of, are left out.
    pub loads: Vec<ServerLoad>,
    /// Keys that servers have lately worked on; told in the sender's region only.
    pub warm_keys: Vec<WarmKey>,
    /// Other hosts that are live; told in the sender's region only, and in large
    /// fleets only.
    pub liveness: Vec<LivenessUpdate>,
    /// Hosts that the sender itself knows to be running or not to have stopped.
    pub fleet_size: u32,
    /// Ends of servers under requests, told for a while by all who learn of them.
    pub crashes: Vec<ServerCrash>,
    /// Limits that servers named to the sender, or no longer do.
    pub limits: Vec<LimitNotice>,
    /// Starts of servers that said in answers that they are about to leave.
    pub leaving_servers: Vec<LeavingNotice>,
}

/// A datagram between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// What a host knows and does.
    Heartbeat(Box<Heartbeat>),
    /// What workspaces asked of a host.
    UsageReport(UsageReport),
    /// The answer to a report.
    UsageReply(UsageReply),
    /// What all hosts have to know of workspaces.
    FractionBroadcast(FractionBroadcast),
    /// What a host counted of a roll-out.
    RolloutReport(Box<RolloutReport>),
}
