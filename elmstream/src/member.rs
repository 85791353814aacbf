//! Entry hosts of the fleet: their entry in the host list, when they were last
//! seen, and their load.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    id::{HostRef, Incarnation, Name},
    message::{Heartbeat, Lingering, ServiceLoad, Sighting},
    time::{MILLI, Time},
};

/// Time between the heartbeats of a host, in microseconds.
pub const HEARTBEAT_INTERVAL: u64 = 500 * MILLI;
/// Time without a heartbeat after which a host is no longer live, in
/// microseconds.
pub const LIVENESS_TIMEOUT: u64 = 1_500 * MILLI;
/// Time without a heartbeat after which a host gets no new requests, in
/// microseconds. One missing heartbeat is enough.
pub const ROUTING_TIMEOUT: u64 = 900 * MILLI;
/// Time for which a host that could not be reached gets no requests, in
/// microseconds.
pub const UNREACHABLE_PAUSE: u64 = 500 * MILLI;
/// Time for which a host counts as live because another host reported it, in
/// microseconds.
pub const REPORTED_LIVENESS_TIMEOUT: u64 = 3_000 * MILLI;
/// Number of other hosts up to which every host sends heartbeats to every other.
///
/// A heartbeat exchange takes about 450 bytes a second for each other host, so
/// that more of them would exceed 13 KB a second. In a larger fleet, a host
/// exchanges heartbeats with the partners described in [`crate::heartbeat`] and
/// receives reports about the other hosts.
pub const FULL_MESH_PEERS_MAX: usize = 28;

/// Longest time for which a refusal of an owner is respected, in microseconds.
const REFUSAL_HOLD_MAX: u64 = 100 * MILLI;
/// Shortest time for which a refusal of an owner is respected, in microseconds.
const REFUSAL_HOLD_MIN: u64 = 5 * MILLI;
/// Retry time named in a refusal divided by the time for which the refusal is
/// respected.
const REFUSAL_HOLD_DIVISOR: u64 = 8;

/// Kind of admission that a request asks an owner for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SlotDemand {
    /// A slot at once, or after a wait that is short compared with a shift to
    /// another region.
    Immediate,
    /// A slot or a place in the queue.
    Queueable,
    /// A slot for a request whose home region is another one.
    Shifted,
}

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ListStatus {
    /// The list does not contain the host.
    #[default]
    Absent,
    /// The list contains the host as live.
    Live,
    /// The list contains the host as leaving.
    Leaving,
}

/// Entry host in the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: Name,
    /// Failure domain of the host.
    pub domain: Name,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for connections of other entry hosts.
    pub peers: SocketAddr,
    /// Whether the list marks the host as leaving.
    pub leaving: bool,
}

/// Everything that is known of one entry host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the host.
    pub name: Name,
    /// Failure domain of the host.
    pub domain: Name,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for connections of other entry hosts.
    pub peers: SocketAddr,
    /// State in the host list.
    pub list_status: ListStatus,
    /// Incarnation of the last heartbeat.
    pub incarnation: Incarnation,
    /// When the last heartbeat or reply was received.
    pub last_heard: Option<Time>,
    /// Last report of a witness about the host.
    pub reported: Option<ReportedSighting>,
    /// When the steward group last confirmed that the host is live.
    pub confirmed_live_at: Option<Time>,
    /// Whether the steward group's latest digest lists the host as unavailable.
    pub reported_unavailable: bool,
    /// Whether the host was live at the last tick.
    pub was_live: bool,
    /// Whether the host says that it is stopping.
    pub leaving: bool,
    /// Epoch of the row that the host acts on, by its last heartbeat.
    pub epoch: u64,
    /// Round of its last heartbeat.
    pub sequence: u64,
    /// Highest known revision of the configuration in force there.
    pub revision: u64,
    /// Last reported load, by service.
    pub loads: Vec<ServiceLoad>,
    /// Requests in flight at servers that the host no longer owns.
    pub lingering: Vec<Lingering>,
    /// Requests sent to the host since its last load report and not yet answered,
    /// by service.
    pub unanswered: BTreeMap<Name, u32>,
    /// When a refusal of the host stops being respected, by service and demand.
    pub refused_until: BTreeMap<(Name, SlotDemand), Time>,
    /// Weight in look-ups, in thousandths.
    pub weight: u32,
    /// No request is sent to the host before this time, because it could not be
    /// reached.
    pub avoid_until: Time,
}

/// Report of a witness about a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportedSighting {
    /// When the witness received the host's last heartbeat.
    pub heard_at: Time,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Epoch of the row that the host acts on.
    pub epoch: u64,
    /// Round of the host's last heartbeat.
    pub sequence: u64,
    /// Whether the host says that it is stopping.
    pub leaving: bool,
}

impl Member {
    /// Whether the host was heard within [`LIVENESS_TIMEOUT`], or was reported or
    /// confirmed as live within [`REPORTED_LIVENESS_TIMEOUT`].
    pub fn is_live(&self, now: Time) -> bool {
        let is_confirmed = self
            .confirmed_live_at
            .is_some_and(|heard_at| now.since(heard_at) < REPORTED_LIVENESS_TIMEOUT);
        self.is_heard_or_reported(now) || is_confirmed
    }

    /// Whether this host, or a witness that reported it, recently received a
    /// heartbeat of the host. The steward group must build its digests on this
    /// alone. If it also used confirmations, its hosts would keep confirming a
    /// dead host to each other.
    pub fn is_heard_or_reported(&self, now: Time) -> bool {
        let is_reported = self
            .reported
            .as_ref()
            .is_some_and(|report| now.since(report.heard_at) < REPORTED_LIVENESS_TIMEOUT);
        self.is_heard(now) || is_reported
    }

    /// Whether a message for all hosts should be sent to the host: it is live, or
    /// it is listed as live and nothing else is known of it, which is usual for
    /// hosts of other regions.
    pub fn may_be_live(&self, now: Time) -> bool {
        let is_unknown = !self.has_known_incarnation()
            && self.confirmed_live_at.is_none()
            && !self.reported_unavailable;
        self.is_live(now) || self.list_status == ListStatus::Live && is_unknown
    }

    /// Whether this host itself heard the host within [`LIVENESS_TIMEOUT`].
    pub fn is_heard(&self, now: Time) -> bool {
        self.last_heard.is_some_and(|heard_at| now.since(heard_at) < LIVENESS_TIMEOUT)
    }

    /// The witness's report, if it is newer than the last heartbeat.
    fn newer_report(&self) -> Option<&ReportedSighting> {
        self.reported
            .as_ref()
            .filter(|report| self.last_heard.is_none_or(|heard_at| heard_at < report.heard_at))
    }

    /// Latest known epoch of the row that the host acts on.
    pub fn latest_epoch(&self) -> u64 {
        self.newer_report().map_or(self.epoch, |report| report.epoch)
    }

    /// Latest known heartbeat round.
    pub fn latest_sequence(&self) -> u64 {
        self.newer_report().map_or(self.sequence, |report| report.sequence)
    }

    /// Whether the incarnation is known from a heartbeat or a report.
    pub fn has_known_incarnation(&self) -> bool {
        self.last_heard.is_some() || self.reported.is_some()
    }

    /// Whether the host was heard within [`ROUTING_TIMEOUT`], so that requests
    /// may be routed to it.
    pub fn is_routable(&self, now: Time) -> bool {
        self.last_heard.is_some_and(|heard_at| now.since(heard_at) < ROUTING_TIMEOUT)
    }

    /// Whether the host is neither stopping nor listed as leaving.
    pub fn takes_new_work(&self) -> bool {
        let leaving = self.newer_report().map_or(self.leaving, |report| report.leaving);
        !leaving && self.list_status != ListStatus::Leaving
    }

    /// The host with its latest known incarnation.
    pub fn host_ref(&self) -> HostRef {
        let incarnation = self.newer_report().map_or(self.incarnation, |report| report.incarnation);
        HostRef { host: self.name.clone(), incarnation }
    }

    /// Last reported load of a service.
    pub fn load(&self, service: &str) -> Option<&ServiceLoad> {
        self.loads.iter().find(|load| &*load.service == service)
    }

    /// Requests that the host has in flight at a server that it no longer owns.
    pub fn lingering_at(&self, backend: &str) -> u32 {
        let found = self.lingering.iter().find(|l| &*l.backend == backend);
        found.map_or(0, |l| l.count)
    }

    /// Updates the load of one service from a report that came with an answer.
    pub fn update_load(&mut self, load: ServiceLoad) {
        self.unanswered.remove(&load.service);
        match self.loads.iter_mut().find(|l| l.service == load.service) {
            Some(known) => *known = load,
            None => self.loads.push(load),
        }
    }

    /// Records a refusal. `retry_after` is the time in microseconds after which a
    /// retry may succeed.
    pub fn record_refusal(
        &mut self,
        now: Time,
        service: &Name,
        demand: SlotDemand,
        retry_after: u64,
    ) {
        let hold = (retry_after / REFUSAL_HOLD_DIVISOR).clamp(REFUSAL_HOLD_MIN, REFUSAL_HOLD_MAX);
        self.refused_until.insert((service.clone(), demand), now + hold);
    }

    /// When a refusal of this demand stops being respected; the zero time if
    /// there was none.
    pub fn refused_until(&self, service: &Name, demand: SlotDemand) -> Time {
        self.refused_until.get(&(service.clone(), demand)).copied().unwrap_or_default()
    }

    /// Estimate of the free slots: those reported free, less the requests sent
    /// since. Negative if the host is overcommitted.
    pub fn free_slots(&self, service: &str) -> i64 {
        let Some(load) = self.load(service) else {
            return 0;
        };
        let sent = self.unanswered.get(service).copied().unwrap_or(0);
        i64::from(load.slots) - i64::from(load.in_flight + load.queued) - i64::from(sent)
    }
}

/// Table of the entry hosts by name.
#[derive(Debug, Default)]
pub struct Members {
    table: BTreeMap<Name, Member>,
}

impl Members {
    /// Applies a host list and returns whether hosts were added or removed.
    ///
    /// A host that is missing from the list stays until it is silent as well,
    /// because the list may lag behind.
    pub fn apply_host_list(&mut self, now: Time, list: Vec<ListedHost>) -> bool {
        let before: Vec<Name> = self.table.keys().cloned().collect();
        for member in self.table.values_mut() {
            member.list_status = ListStatus::Absent;
        }
        for listed in list {
            let member =
                self.table.entry(listed.name.clone()).or_insert_with(|| new_member(&listed));
            member.domain = listed.domain;
            member.callers = listed.callers;
            member.peers = listed.peers;
            member.list_status =
                if listed.leaving { ListStatus::Leaving } else { ListStatus::Live };
        }
        self.table.retain(|_, m| m.list_status != ListStatus::Absent || m.is_live(now));
        !before.iter().eq(self.table.keys())
    }

    /// Records a witness's report about a host. An older report than the present
    /// one is ignored.
    pub fn record_sighting(&mut self, now: Time, sighting: &Sighting) {
        let Some(member) = self.table.get_mut(&sighting.host.host) else { return };
        let heard_at = now - u64::from(sighting.age_ms) * MILLI;
        if member.reported.as_ref().is_some_and(|report| report.heard_at >= heard_at) {
            return;
        }
        member.revision = member.revision.max(sighting.revision);
        member.reported = Some(ReportedSighting {
            heard_at,
            incarnation: sighting.host.incarnation,
            epoch: sighting.epoch,
            sequence: sighting.sequence,
            leaving: sighting.leaving,
        });
    }

    /// Records a reply of a host, which shows that it is live.
    pub fn record_reply(&mut self, now: Time, from: &HostRef) {
        if let Some(member) = self.table.get_mut(&from.host)
            && member.incarnation == from.incarnation
        {
            member.last_heard = Some(now);
        }
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Records a heartbeat. A sender that no host list has named yet is ignored
    /// here; its heartbeat is answered nevertheless.
    pub fn record_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        let Some(member) = self.table.get_mut(&heartbeat.from.host) else {
            return;
        };
        member.incarnation = heartbeat.from.incarnation;
        member.last_heard = Some(now);
        member.leaving = heartbeat.leaving;
        member.epoch = heartbeat.epoch;
        member.sequence = heartbeat.sequence;
        member.revision = member.revision.max(heartbeat.revision);
        member.loads.clone_from(&heartbeat.loads);
        member.lingering.clone_from(&heartbeat.lingering);
        member.unanswered.clear();
    }

    /// Looks up a host by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    /// Looks up a host by name for a change.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.table.get_mut(name)
    }

    /// All hosts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    /// All hosts in the order of their names, for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.table.values_mut()
    }
}

fn new_member(listed: &ListedHost) -> Member {
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
        reported_unavailable: false,
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
