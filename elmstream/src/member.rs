//! Entry hosts: what the host list says of them and when they were heard.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    id::{HostRef, Incarnation, Name},
    message::{Heartbeat, Lingering, ServiceLoad, Sighting},
    time::{MILLI, Time},
};

/// Time between a host's heartbeats, in microseconds.
pub const HEARTBEAT_INTERVAL: u64 = 500 * MILLI;
/// Silence after which a host counts as dead, in microseconds.
pub const LIVENESS_TIMEOUT: u64 = 1_500 * MILLI;
/// Silence after which a host gets no new requests, in microseconds: one
/// heartbeat is missing.
pub const ROUTING_TIMEOUT: u64 = 900 * MILLI;
/// Time for which a host that could not be reached gets no requests.
pub const UNREACHABLE_PAUSE: u64 = 500 * MILLI;
/// Time for which another host's word holds that a host is live.
pub const REPORTED_LIVENESS_TIMEOUT: u64 = 3_000 * MILLI;
/// Other hosts up to which each host sends heartbeats to each other one.
///
/// At about 450 bytes a second for each, more would exceed 13 KB a second. In a
/// larger fleet a host has [`crate::beat`]'s partners, and is told of others.
pub const FULL_MESH_PEERS_MAX: usize = 28;

/// Longest time for which an owner's refusal is taken to hold, in microseconds.
const REFUSAL_MAX: u64 = 100 * MILLI;
/// Least such time.
const REFUSAL_MIN: u64 = 5 * MILLI;
/// Share of the time after which asking again may help, as a divisor.
const REFUSAL_DIVISOR: u64 = 8;

/// What a request wants of an owner.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SlotDemand {
    /// A slot now, or within a time that is short against a shift.
    Immediate,
    /// A slot or a place in the queue.
    Queueable,
    /// A slot for a request of another home region.
    Shifted,
}

/// What the platform's host list says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ListStatus {
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
    pub list_status: ListStatus,
    /// The incarnation that was heard last.
    pub incarnation: Incarnation,
    /// When it was heard last.
    pub last_heard: Option<Time>,
    /// What a witness has told of it.
    pub reported: Option<ReportedSighting>,
    /// When the steward's group knew it as live.
    pub confirmed_live_at: Option<Time>,
    /// Whether the steward's group said last that it is out.
    pub reported_out: bool,
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
    pub unanswered: BTreeMap<Name, u32>,
    /// Until when it has nothing to give, by service and want.
    pub refused_until: BTreeMap<(Name, SlotDemand), Time>,
    /// Weight in look-ups, in thousandths.
    pub weight: u32,
    /// No request is sent there until then, since it could not be reached.
    pub avoid_until: Time,
}

/// What a witness has told of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportedSighting {
    /// When the witness heard it.
    pub heard_at: Time,
    /// The incarnation that it heard.
    pub incarnation: Incarnation,
    /// The epoch that the host had taken.
    pub epoch: u64,
    /// The round of the host's heartbeat.
    pub sequence: u64,
    /// Whether the host said that it is stopping.
    pub leaving: bool,
}

impl Member {
    /// Whether it was heard within [`SILENCE`], or others say within [`TOLD`]
    /// that it is live.
    pub fn is_live(&self, now: Time) -> bool {
        let is_vouched =
            self.confirmed_live_at.is_some_and(|at| now.since(at) < REPORTED_LIVENESS_TIMEOUT);
        self.is_heard_or_reported(now) || is_vouched
    }

    /// Whether this host or a witness that told it has heard it of late. What
    /// the steward's group says must rest on this alone: its hosts would else
    /// go on vouching to each other for a host that is dead.
    pub fn is_heard_or_reported(&self, now: Time) -> bool {
        let is_told = self
            .reported
            .as_ref()
            .is_some_and(|told| now.since(told.heard_at) < REPORTED_LIVENESS_TIMEOUT);
        self.is_heard(now) || is_told
    }

    /// Whether a message for all hosts is worth sending there: it is live, or
    /// listed and nothing is known of it, as of hosts of other regions.
    pub fn may_be_live(&self, now: Time) -> bool {
        let is_unknown =
            !self.has_known_incarnation() && self.confirmed_live_at.is_none() && !self.reported_out;
        self.is_live(now) || self.list_status == ListStatus::Live && is_unknown
    }

    /// Whether it was heard within [`SILENCE`], by this host itself.
    pub fn is_heard(&self, now: Time) -> bool {
        self.last_heard.is_some_and(|heard| now.since(heard) < LIVENESS_TIMEOUT)
    }

    /// What was told of it, if that is newer than what was heard.
    fn news(&self) -> Option<&ReportedSighting> {
        self.reported
            .as_ref()
            .filter(|told| self.last_heard.is_none_or(|heard| heard < told.heard_at))
    }

    /// The epoch that it is known to have taken.
    pub fn latest_epoch(&self) -> u64 {
        self.news().map_or(self.epoch, |told| told.epoch)
    }

    /// Its last round of heartbeats that is known.
    pub fn latest_sequence(&self) -> u64 {
        self.news().map_or(self.sequence, |told| told.sequence)
    }

    /// Whether its incarnation is known.
    pub fn has_known_incarnation(&self) -> bool {
        self.last_heard.is_some() || self.reported.is_some()
    }

    /// Whether it was heard within [`FRESH`].
    pub fn is_routable(&self, now: Time) -> bool {
        self.last_heard.is_some_and(|heard| now.since(heard) < ROUTING_TIMEOUT)
    }

    /// Whether new work may go there.
    pub fn takes_new_work(&self) -> bool {
        let leaving = self.news().map_or(self.leaving, |told| told.leaving);
        !leaving && self.list_status != ListStatus::Leaving
    }

    /// The host and its incarnation, as last heard or told.
    pub fn host_ref(&self) -> HostRef {
        let incarnation = self.news().map_or(self.incarnation, |told| told.incarnation);
        HostRef { host: self.name.clone(), incarnation }
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

    /// Takes a report on one service that came with an answer.
    pub fn update_load(&mut self, load: ServiceLoad) {
        self.unanswered.remove(&load.service);
        match self.loads.iter_mut().find(|l| l.service == load.service) {
            Some(known) => *known = load,
            None => self.loads.push(load),
        }
    }

    /// Notes a refusal, and when asking again may help, in microseconds.
    pub fn record_refusal(
        &mut self,
        now: Time,
        service: &Name,
        want: SlotDemand,
        retry_after: u64,
    ) {
        let holds = (retry_after / REFUSAL_DIVISOR).clamp(REFUSAL_MIN, REFUSAL_MAX);
        self.refused_until.insert((service.clone(), want), now + holds);
    }

    /// Until when it has nothing to give for a want.
    pub fn refused_until(&self, service: &Name, want: SlotDemand) -> Time {
        self.refused_until.get(&(service.clone(), want)).copied().unwrap_or_default()
    }

    /// Slots believed free: those reported, less what was sent since.
    pub fn free_slots(&self, service: &str) -> i64 {
        let Some(load) = self.load(service) else {
            return 0;
        };
        let sent = self.unanswered.get(service).copied().unwrap_or(0);
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
    /// the list lags, until they are silent as well. Tells whether hosts came
    /// or went.
    pub fn apply_host_list(&mut self, now: Time, list: Vec<ListedHost>) -> bool {
        let before: Vec<Name> = self.table.keys().cloned().collect();
        for member in self.table.values_mut() {
            member.list_status = ListStatus::Absent;
        }
        for listed in list {
            let member = self.table.entry(listed.name.clone()).or_insert_with(|| new(&listed));
            member.domain = listed.domain;
            member.callers = listed.callers;
            member.peers = listed.peers;
            member.list_status =
                if listed.leaving { ListStatus::Leaving } else { ListStatus::Live };
        }
        self.table.retain(|_, m| m.list_status != ListStatus::Absent || m.is_live(now));
        !before.iter().eq(self.table.keys())
    }

    /// Takes what a witness has heard of a host.
    pub fn record_sighting(&mut self, now: Time, sighting: &Sighting) {
        let Some(member) = self.table.get_mut(&sighting.host.host) else { return };
        let at = now - u64::from(sighting.age_ms) * MILLI;
        if member.reported.as_ref().is_some_and(|told| told.heard_at >= at) {
            return;
        }
        member.revision = member.revision.max(sighting.revision);
        member.reported = Some(ReportedSighting {
            heard_at: at,
            incarnation: sighting.host.incarnation,
            epoch: sighting.epoch,
            sequence: sighting.sequence,
            leaving: sighting.leaving,
        });
    }

    /// Takes an answer of a host as a sign that it is live.
    pub fn record_reply(&mut self, now: Time, from: &HostRef) {
        if let Some(member) = self.table.get_mut(&from.host)
            && member.incarnation == from.incarnation
        {
            member.last_heard = Some(now);
        }
    }

    /// How many hosts there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Takes a heartbeat. A host that no list has named yet is not known, and
    /// its heartbeat is answered all the same.
    pub fn record_heartbeat(&mut self, now: Time, beat: &Heartbeat) {
        let Some(member) = self.table.get_mut(&beat.from.host) else {
            return;
        };
        member.incarnation = beat.from.incarnation;
        member.last_heard = Some(now);
        member.leaving = beat.leaving;
        member.epoch = beat.epoch;
        member.sequence = beat.sequence;
        member.revision = member.revision.max(beat.revision);
        member.loads.clone_from(&beat.loads);
        member.lingering.clone_from(&beat.lingering);
        member.unanswered.clear();
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
        list_status: ListStatus::Live,
        incarnation: Incarnation::default(),
        last_heard: None,
        reported: None,
        confirmed_live_at: None,
        reported_out: false,
        was_live: false,
        leaving: false,
        epoch: 0,
        sequence: 0,
        revision: 0,
        loads: Vec::new(),
        lingering: Vec::new(),
        unanswered: BTreeMap::new(),
        refused_until: BTreeMap::new(),
        weight: 0,
        avoid_until: Time::default(),
    }
}
