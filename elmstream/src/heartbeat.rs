//! Heartbeats: their recipients, their contents, and what is learned from them.
//!
//! In a fleet of up to [`FULL_MESH_PEERS_MAX`] other hosts, every host sends
//! heartbeats to every other. In a larger fleet, a host sends them to
//!
//! - the witnesses of its group, which promise its lease;
//! - a few *partners* in its region and in the whole fleet. Partnership is
//!   mutual. A host knows the load of its partners and prefers them as owners for
//!   requests; other owners are known from the region's row only;
//! - for a limited time, the hosts that took over servers from it.
//!
//! Two witnesses of each group report the hosts of their group to the steward
//! group ([`Sighting`]). The steward group answers with the unavailable hosts of
//! the region ([`LivenessDigest`]), and the witnesses pass this digest on to the
//! hosts of their groups. In this way the steward knows each host of the region
//! and each host knows which ones are live, while the number of messages for each
//! host does not grow with the fleet.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{HostRef, Name, ServiceId},
    member::{FULL_MESH_PEERS_MAX, HEARTBEAT_INTERVAL, Member, REPORTED_LIVENESS_TIMEOUT},
    message::{Command, Heartbeat, HeartbeatReply, LivenessDigest, ServiceLoad, Sighting},
    node::Node,
    time::{MILLI, SECOND, Time},
};

/// Shortest time between two heartbeat rounds, in microseconds. It prevents a
/// storm of messages when hosts notify each other of a new epoch.
const EARLY_HEARTBEAT_INTERVAL: u64 = 40 * MILLI;
/// Partners in the host's own region, in a large fleet.
const REGION_PARTNERS: usize = 8;
/// Partners in the whole fleet, in a large fleet.
const FLEET_PARTNERS: usize = 4;
/// Witnesses of each group that report its hosts to the steward group.
const REPORTERS_PER_GROUP: usize = 2;
/// Heartbeat rounds for each report while the row is settled.
const ROUNDS_PER_REPORT: u64 = 2;
/// Time after an epoch is settled for which former owners report their requests
/// in flight to the new owners, in microseconds.
const RELEASE_NOTICE_TIME: u64 = 5 * SECOND;

/// Last digest received from the steward group, directly or through witnesses.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedDigest {
    as_of: Time,
    unavailable: Vec<Name>,
}

impl Node {
    /// Handles a heartbeat, also as a witness, and returns the reply.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> HeartbeatReply {
        let sender_took_epoch =
            self.members.get(&heartbeat.from.host).is_some_and(|m| m.epoch < heartbeat.epoch);
        self.members.record_heartbeat(now, heartbeat);
        self.confirm_own_revision(now, heartbeat.revision);
        for sighting in &heartbeat.sightings {
            self.members.record_sighting(now, sighting);
        }
        let same_region = self.region_name().is_some_and(|name| name == heartbeat.region);
        let own_version = (self.row.epoch, self.row.settled);
        let has_newer_row = own_version > (heartbeat.epoch, heartbeat.settled);
        if same_region && own_version < (heartbeat.epoch, heartbeat.settled) {
            // The reply to our next heartbeat contains the sender's row.
            self.newer_row_host.get_or_insert(heartbeat.from.host.clone());
            self.request_early_heartbeat();
        }
        if same_region && sender_took_epoch && !self.row.settled && !self.is_small_fleet() {
            // The steward waits for reports of the hosts that have taken the
            // epoch.
            self.request_early_heartbeat();
        }
        let promises = same_region && self.witness.promises(&heartbeat.region, heartbeat.epoch);
        HeartbeatReply {
            from: self.settings.me.clone(),
            sequence: heartbeat.sequence,
            promised_epoch: promises.then_some(heartbeat.epoch),
            table_renewal: self.steward.table_renewal(&heartbeat.from).filter(|_| same_region),
            revision: self.catalog.revision,
            row: (same_region && has_newer_row).then(|| self.row.clone()),
            digest: same_region.then(|| self.digest(now)).flatten(),
        }
    }

    /// Handles the reply to a heartbeat of this host.
    pub fn on_heartbeat_reply(&mut self, now: Time, reply: &HeartbeatReply) -> Vec<Command> {
        let mut commands = Vec::new();
        self.members.record_reply(now, &reply.from);
        self.confirm_own_revision(now, reply.revision);
        let group = self.row.groups.group_of(&self.settings.me.host);
        if let (Some(epoch), Some(group)) = (reply.promised_epoch, group)
            && epoch == self.row.epoch
        {
            self.lease.on_promise(group, &reply.from, epoch, reply.sequence);
        }
        if let Some(renewal) = reply.table_renewal {
            self.lease.on_table_renewal(renewal);
        }
        if let Some(digest) = &reply.digest {
            self.on_liveness_digest(now, digest);
        }
        if let Some(row) = &reply.row {
            self.take_row(now, row.clone(), &mut commands);
        }
        commands
    }

    /// Requests that the next ticks send heartbeats early, because other hosts
    /// wait for the news.
    pub fn request_early_heartbeat(&mut self) {
        self.early_heartbeat = true;
    }

    /// Whether this host is the steward of its region. The steward is the first
    /// live witness of the steward group, preferably one that may own servers, or
    /// the first live host if no witness is live.
    pub fn is_steward(&self, now: Time) -> bool {
        let Some(region) = self.region() else {
            return false;
        };
        let me = &self.settings.me.host;
        let first_is_me = |is_able: &dyn Fn(&Name) -> bool| {
            let group = self.row.groups.steward_group(is_able)?;
            group.witnesses.iter().find(|w| is_able(&w.host)).map(|w| w.host == *me)
        };
        let is_able = |name: &Name| self.is_live(now, name) && self.may_own(name);
        if let Some(is_me) =
            first_is_me(&is_able).or_else(|| first_is_me(&|name| self.is_live(now, name)))
        {
            return is_me;
        }
        let candidates = self.candidates(now, region);
        let mut able = candidates.iter().filter(|c| c.may_own).chain(&candidates);
        able.next().is_some_and(|c| c.host == self.settings.me)
    }

    /// Confirms the configuration of this host if another host has the same
    /// revision.
    fn confirm_own_revision(&mut self, now: Time, revision: u64) {
        if revision > 0 && revision == self.catalog.revision {
            self.revision_confirmed_at = Some(now);
        }
    }

    pub(crate) fn is_heartbeat_due(&self, now: Time) -> bool {
        let interval =
            if self.early_heartbeat { EARLY_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
        self.last_heartbeat_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Records this host's own state in the table of members.
    pub(crate) fn record_own_heartbeat(&mut self, now: Time) {
        if let Some(heartbeat) = self.make_heartbeat(now) {
            self.members.record_heartbeat(now, &heartbeat);
        }
    }

    pub(crate) fn send_heartbeats(&mut self, now: Time, commands: &mut Vec<Command>) {
        let Some(heartbeat) = self.make_heartbeat(now) else {
            return;
        };
        self.sequence += 1;
        let heartbeat = Heartbeat { sequence: self.sequence, ..heartbeat };
        self.lease.begin_round(now, self.row.epoch, self.sequence);
        self.promise_to_self(&heartbeat);
        let report_targets = self.report_targets(now);
        let mut targets = self.heartbeat_targets(now);
        self.newer_row_host = None;
        if !report_targets.is_empty() {
            let report = Heartbeat { sightings: self.sightings(now), ..heartbeat.clone() };
            targets.retain(|name| !report_targets.contains(name));
            let reports =
                report_targets.into_iter().map(|name| Command::Heartbeat(name, report.clone()));
            commands.extend(reports);
        }
        commands
            .extend(targets.into_iter().map(|name| Command::Heartbeat(name, heartbeat.clone())));
    }

    /// Promises this host's own lease if it is a witness of its own group.
    fn promise_to_self(&mut self, heartbeat: &Heartbeat) {
        let me = &self.settings.me;
        if let Some(group) = self.row.groups.group_of(&me.host)
            && self.witness.promises(&heartbeat.region, heartbeat.epoch)
        {
            self.lease.on_promise(group, me, heartbeat.epoch, heartbeat.sequence);
        }
    }

    fn make_heartbeat(&self, now: Time) -> Option<Heartbeat> {
        Some(Heartbeat {
            from: self.settings.me.clone(),
            domain: self.settings.domain.clone(),
            region: self.region_name()?,
            sequence: self.sequence,
            epoch: self.row.epoch,
            settled: self.row.settled,
            revision: self.catalog.revision,
            leaving: self.stopping,
            loads: self.own_loads(now),
            lingering: self.admissions.lingering(),
            sightings: Vec::new(),
        })
    }

    /// Load of the services that this host owns servers of. The slots are zero
    /// while it does not hold its lease.
    fn own_loads(&self, now: Time) -> Vec<ServiceLoad> {
        let ids = (0..self.catalog.services.len() as u32).map(ServiceId);
        ids.map(|id| self.load(now, id)).filter(|l| l.slots > 0 || l.in_flight > 0).collect()
    }

    /// Whether every host sends heartbeats to every other.
    pub fn is_small_fleet(&self) -> bool {
        self.members.len() <= FULL_MESH_PEERS_MAX + 1
    }

    /// Whether this host polls the region's row although it is not the steward.
    /// In a large fleet only the steward group does, and hosts that have no row
    /// yet.
    pub(crate) fn reads_row_when_idle(&self, now: Time) -> bool {
        self.is_small_fleet() || self.row.groups.is_empty() || self.is_in_steward_group(now)
    }

    /// Recipients of the next heartbeat round.
    fn heartbeat_targets(&self, now: Time) -> Vec<Name> {
        let me = &self.settings.me.host;
        let groups = [&self.row.groups, &self.row.groups_from];
        let witnesses = groups.into_iter().filter_map(|groups| groups.group_of(me));
        let mut targets: Vec<Name> =
            witnesses.flat_map(|g| &g.witnesses).map(|w| w.host.clone()).collect();
        match self.is_small_fleet() {
            true => targets.extend(self.members.iter().map(|m| m.name.clone())),
            false => {
                targets.extend(self.partners.iter().cloned());
                targets.extend(self.takeover_hosts(now));
            }
        }
        targets.extend(self.newer_row_host.clone());
        targets.retain(|name| name != me && self.members.get(name).is_some());
        targets.sort();
        targets.dedup();
        targets
    }

    /// Hosts that took over servers which this host has released or has to
    /// release.
    fn takeover_hosts(&self, now: Time) -> Vec<Name> {
        let is_done = self.row.settled
            && now.since(self.settled_at) >= RELEASE_NOTICE_TIME
            && self.admissions.lingering().is_empty();
        if is_done {
            return Vec::new();
        }
        let me = Some(&self.settings.me);
        let moved =
            self.row.grants.values().filter(|g| g.from.as_ref() == me && g.owner.as_ref() != me);
        moved.filter_map(|grant| Some(grant.owner.as_ref()?.host.clone())).collect()
    }

    /// Witnesses of the steward group, if this host has to report its own group
    /// to them in this round.
    fn report_targets(&self, now: Time) -> Vec<Name> {
        let groups = &self.row.groups;
        let me = &self.settings.me.host;
        let Some(own_group) =
            groups.witnessed_group_index(me).and_then(|index| groups.iter().nth(index))
        else {
            return Vec::new();
        };
        let is_due = !self.row.settled || self.sequence.is_multiple_of(ROUNDS_PER_REPORT);
        let live = own_group.witnesses.iter().filter(|w| self.is_live(now, &w.host));
        let is_reporter = live.take(REPORTERS_PER_GROUP).any(|w| w.host == *me);
        if self.is_small_fleet() || !is_due || !is_reporter {
            return Vec::new();
        }
        let group = groups.steward_group(|name| self.is_live(now, name));
        let group = group.filter(|group| !group.has_witness(me));
        let names = group.into_iter().flat_map(|group| &group.witnesses).map(|w| w.host.clone());
        names.filter(|name| self.members.get(name).is_some()).collect()
    }

    /// Live hosts of the group that this host is a witness of.
    fn sightings(&self, now: Time) -> Vec<Sighting> {
        let groups = &self.row.groups;
        let own_group = groups.witnessed_group_index(&self.settings.me.host);
        let is_served = |m: &&Member| {
            own_group.is_some()
                && groups.group_index_of(&m.name) == own_group
                && self.is_in_own_region(m)
        };
        let heard = self.members.iter().filter(|m| m.is_heard(now)).filter(is_served);
        let sighting = |m: &Member| Sighting {
            host: HostRef { host: m.name.clone(), incarnation: m.incarnation },
            age_ms: age_ms(now, m.last_heard.unwrap_or_default()),
            epoch: m.epoch,
            sequence: m.sequence,
            revision: m.revision,
            leaving: m.leaving,
        };
        heard.map(sighting).collect()
    }

    /// Unavailable hosts of the region: a witness of the steward group uses its
    /// own knowledge, other hosts pass on the last digest that they received.
    fn digest(&self, now: Time) -> Option<LivenessDigest> {
        if self.is_small_fleet() {
            return None;
        }
        if self.is_in_steward_group(now) {
            let is_unavailable = |m: &&Member| !m.is_heard_or_reported(now) || !m.takes_new_work();
            let unavailable =
                self.members.iter().filter(|m| self.is_in_own_region(m)).filter(is_unavailable);
            return Some(LivenessDigest {
                age_ms: 0,
                unavailable: unavailable.map(|m| m.name.clone()).collect(),
            });
        }
        let received = self
            .liveness_digest
            .as_ref()
            .filter(|received| now.since(received.as_of) < REPORTED_LIVENESS_TIMEOUT)?;
        Some(LivenessDigest {
            age_ms: age_ms(now, received.as_of),
            unavailable: received.unavailable.clone(),
        })
    }

    /// Whether this host is a witness of the steward group.
    fn is_in_steward_group(&self, now: Time) -> bool {
        let group = self.row.groups.steward_group(|name| self.is_live(now, name));
        group.is_some_and(|group| group.has_witness(&self.settings.me.host))
    }

    /// Applies a digest if it is newer than the last one.
    fn on_liveness_digest(&mut self, now: Time, digest: &LivenessDigest) {
        let as_of = now - u64::from(digest.age_ms) * MILLI;
        if self.liveness_digest.as_ref().is_some_and(|received| received.as_of >= as_of) {
            return;
        }
        let received = ReceivedDigest { as_of, unavailable: digest.unavailable.clone() };
        let region = self.region();
        for member in self.members.iter_mut() {
            if self.catalog.region_of_domain(&member.domain) == region {
                member.reported_unavailable = received.unavailable.contains(&member.name);
                member.confirmed_live_at = (!member.reported_unavailable).then_some(as_of);
            }
        }
        self.liveness_digest = Some(received);
    }

    /// Selects the partners. Called when the set of members changes.
    pub(crate) fn choose_partners(&mut self) {
        let me = &self.settings.me.host;
        let region_names: Vec<&Name> =
            self.members.iter().filter(|m| self.is_in_own_region(m)).map(|m| &m.name).collect();
        let fleet_names: Vec<&Name> = self.members.iter().map(|m| &m.name).collect();
        let mut partners = ring_neighbours(region_names, me, REGION_PARTNERS);
        partners.extend(ring_neighbours(fleet_names, me, FLEET_PARTNERS));
        self.partners = partners;
    }

    fn is_in_own_region(&self, member: &Member) -> bool {
        self.catalog.region_of_domain(&member.domain) == self.region()
    }

    fn is_live(&self, now: Time, name: &str) -> bool {
        self.members.get(name).is_some_and(|m| m.is_live(now))
    }

    pub(crate) fn may_own(&self, name: &str) -> bool {
        let stays = self.members.get(name).is_some_and(Member::takes_new_work);
        stays && !self.catalog.draining_hosts.iter().any(|drained| **drained == *name)
    }
}

/// Returns up to `count` neighbours of `me` on the ring of hashed host names. The
/// relation is mutual.
fn ring_neighbours(mut names: Vec<&Name>, me: &Name, count: usize) -> Vec<Name> {
    names.sort_by_key(|name| (xxh3_64(name.as_bytes()), *name));
    let Some(position) = names.iter().position(|name| *name == me) else { return Vec::new() };
    let steps = 1..=(count / 2).min(names.len().saturating_sub(1));
    let indexes = steps.flat_map(|step| [position + step, position + names.len() - step]);
    indexes.map(|index| names[index % names.len()].clone()).collect()
}

/// Milliseconds from `earlier` to `now`.
fn age_ms(now: Time, earlier: Time) -> u32 {
    u32::try_from(now.since(earlier) / MILLI).unwrap_or(u32::MAX)
}
