//! Entry hosts: what the host list says of them and when they were heard.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    id::{HostRef, Incarnation, Name},
    message::{Heartbeat, Lingering, ServiceLoad},
    time::{MILLI, Time},
};

/// Time between a host's heartbeats, in microseconds.
pub const HEARTBEAT_INTERVAL: u64 = 500 * MILLI;
/// Silence after which a host counts as dead, in microseconds.
pub const SILENCE: u64 = 1_500 * MILLI;
/// Silence after which a host gets no new requests, in microseconds: one
/// heartbeat is missing.
pub const FRESH: u64 = 900 * MILLI;
/// Time for which a host that could not be reached gets no requests.
pub const AVOID: u64 = 500 * MILLI;
/// Hosts that a host sends heartbeats to, besides its region's witnesses.
///
/// At about 450 bytes a second for each, more would exceed 13 KB a second. In a
/// fleet of more hosts than this a host does not hear each other one in time;
/// `docs/CAPACITY.md` says what must be built then.
pub const HEARTBEAT_FANOUT: usize = 28;

/// What the platform's host list says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Listed {
    /// It does not name the host.
    #[default]
    Absent,
    /// It names the host as live.
    Live,
    /// It names the host as leaving.
    Leaving,
}

/// An entry of the host list that names an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// The host's name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it takes other entry hosts' connections.
    pub peers: SocketAddr,
    /// Whether the list calls it leaving.
    pub leaving: bool,
}

/// An entry host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it takes other entry hosts' connections.
    pub peers: SocketAddr,
    /// What the host list says.
    pub listed: Listed,
    /// The incarnation that was heard last.
    pub incarnation: Incarnation,
    /// When it was heard last.
    pub heard: Option<Time>,
    /// Whether it counted as live at the last tick.
    pub was_live: bool,
    /// Whether it says that it is stopping.
    pub leaving: bool,
    /// The epoch that it has taken.
    pub epoch: u64,
    /// The round of its last heartbeat.
    pub sequence: u64,
    /// The revision in force there.
    pub revision: u64,
    /// What it owns, as last reported.
    pub loads: Vec<ServiceLoad>,
    /// What it has released and still has in flight.
    pub lingering: Vec<Lingering>,
    /// Requests sent there since that report and not yet answered.
    pub sent: BTreeMap<Name, u32>,
    /// Weight in look-ups, in thousandths.
    pub weight: u32,
    /// No request is sent there until then, since it could not be reached.
    pub avoid_until: Time,
}

impl Member {
    /// Whether it was heard within [`SILENCE`].
    pub fn is_live(&self, now: Time) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < SILENCE)
    }

    /// Whether it was heard within [`FRESH`].
    pub fn is_fresh(&self, now: Time) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < FRESH)
    }

    /// Whether new work may go there.
    pub fn is_staying(&self) -> bool {
        !self.leaving && self.listed != Listed::Leaving
    }

    /// The host and its incarnation.
    pub fn host_ref(&self) -> HostRef {
        HostRef { host: self.name.clone(), incarnation: self.incarnation }
    }

    /// The last report on a service.
    pub fn load(&self, service: &str) -> Option<&ServiceLoad> {
        self.loads.iter().find(|load| &*load.service == service)
    }

    /// Requests that it still has in flight at a server that it has released.
    pub fn lingering_at(&self, backend: &str) -> u32 {
        let found = self.lingering.iter().find(|l| &*l.backend == backend);
        found.map_or(0, |l| l.count)
    }

    /// Slots believed free: those reported, less what was sent since.
    pub fn free(&self, service: &str) -> i64 {
        let Some(load) = self.load(service) else {
            return 0;
        };
        let sent = self.sent.get(service).copied().unwrap_or(0);
        i64::from(load.slots) - i64::from(load.in_flight + load.queued) - i64::from(sent)
    }
}

/// The table of entry hosts, by name.
#[derive(Debug, Default)]
pub struct Members {
    table: BTreeMap<Name, Member>,
}

impl Members {
    /// Takes a host list. Hosts that it does not name stay as absent, since
    /// the list lags, until they are silent as well.
    pub fn take_list(&mut self, now: Time, list: Vec<ListedHost>) {
        for member in self.table.values_mut() {
            member.listed = Listed::Absent;
        }
        for listed in list {
            let member = self.table.entry(listed.name.clone()).or_insert_with(|| new(&listed));
            member.domain = listed.domain;
            member.callers = listed.callers;
            member.peers = listed.peers;
            member.listed = if listed.leaving { Listed::Leaving } else { Listed::Live };
        }
        self.table.retain(|_, m| m.listed != Listed::Absent || m.is_live(now));
    }

    /// Takes a heartbeat. A host that no list has named yet is not known, and
    /// its heartbeat is answered all the same.
    pub fn heard(&mut self, now: Time, beat: &Heartbeat) {
        let Some(member) = self.table.get_mut(&beat.from.host) else {
            return;
        };
        member.incarnation = beat.from.incarnation;
        member.heard = Some(now);
        member.leaving = beat.leaving;
        member.epoch = beat.epoch;
        member.sequence = beat.sequence;
        member.revision = member.revision.max(beat.revision);
        member.loads.clone_from(&beat.loads);
        member.lingering.clone_from(&beat.lingering);
        member.sent.clear();
    }

    /// A host by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    /// A host by name, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.table.get_mut(name)
    }

    /// All hosts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    /// All hosts, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.table.values_mut()
    }
}

fn new(listed: &ListedHost) -> Member {
    Member {
        name: listed.name.clone(),
        domain: listed.domain.clone(),
        callers: listed.callers,
        peers: listed.peers,
        listed: Listed::Live,
        incarnation: Incarnation::default(),
        heard: None,
        was_live: false,
        leaving: false,
        epoch: 0,
        sequence: 0,
        revision: 0,
        loads: Vec::new(),
        lingering: Vec::new(),
        sent: BTreeMap::new(),
        weight: 0,
        avoid_until: Time::default(),
    }
}
