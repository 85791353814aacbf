//! Heartbeats: to whom, with what, and what is learned from them.
//!
//! In a fleet of up to [`DIRECT_MAX`] other hosts each host sends to each other
//! one. In a larger one a host sends to
//!
//! - the witnesses of its group, which promise its lease;
//! - a few *partners* in its region and in the whole fleet, who send to it as
//!   well: a host routes requests to owners among its partners, and to others
//!   by the region's row;
//! - hosts that took over what it has released, for a while.
//!
//! Two witnesses of each group tell the steward's group of the hosts of theirs
//! ([`Sighting`]). The steward's group answers with the hosts that are out
//! ([`Digest`]), and witnesses pass that on to the hosts of their group. So the
//! steward knows each host of the region, each host knows which are live, and
//! what a host sends and gets does not grow with the fleet.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{HostRef, Name, ServiceId},
    member::{FULL_MESH_PEERS_MAX, HEARTBEAT_INTERVAL, Member, REPORTED_LIVENESS_TIMEOUT},
    message::{Command, Heartbeat, HeartbeatReply, LivenessDigest, ServiceLoad, Sighting},
    node::Node,
    time::{MILLI, SECOND, Time},
};

/// Least time between two rounds of heartbeats, in microseconds, so that hosts
/// that tell each other of an epoch do not set off a storm.
const BEAT_SOON: u64 = 40 * MILLI;
/// Partners in the own region, in a large fleet.
const REGION_PARTNERS: usize = 8;
/// Partners in the whole fleet, in a large fleet.
const FLEET_PARTNERS: usize = 4;
/// Witnesses of a group that report its hosts.
const REPORTERS: usize = 2;
/// Rounds from one report to the next while nothing moves.
const REPORT_ROUNDS: u64 = 2;
/// Time after an epoch is settled in which former owners tell the new ones
/// what they still have in flight.
const RELEASE_TOLD: u64 = 5 * SECOND;

/// The region's hosts that are out, and when that was so.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedDigest {
    as_of: Time,
    unavailable: Vec<Name>,
}

impl Node {
    /// Takes a heartbeat and answers it, as a witness too.
    pub fn on_heartbeat(&mut self, now: Time, beat: &Heartbeat) -> HeartbeatReply {
        let is_news = self.members.get(&beat.from.host).is_some_and(|m| m.epoch < beat.epoch);
        self.members.record_heartbeat(now, beat);
        self.note_revision(now, beat.revision);
        for sighting in &beat.sightings {
            self.members.record_sighting(now, sighting);
        }
        let same_region = self.region_name().is_some_and(|name| name == beat.region);
        let ours = (self.row.epoch, self.row.settled);
        let knows_newer = ours > (beat.epoch, beat.settled);
        if same_region && ours < (beat.epoch, beat.settled) {
            // The sender's answer to our next heartbeat brings its row.
            self.newer_row_host.get_or_insert(beat.from.host.clone());
            self.request_early_heartbeat();
        }
        if same_region && is_news && !self.row.settled && !self.is_small_fleet() {
            // The steward waits to hear who has taken the epoch.
            self.request_early_heartbeat();
        }
        let promises = same_region && self.witness.promises(&beat.region, beat.epoch);
        HeartbeatReply {
            from: self.settings.me.clone(),
            sequence: beat.sequence,
            promised_epoch: promises.then_some(beat.epoch),
            table_renewal: self.steward.table_renewal(&beat.from).filter(|_| same_region),
            revision: self.catalog.revision,
            row: (same_region && knows_newer).then(|| self.row.clone()),
            digest: same_region.then(|| self.digest(now)).flatten(),
        }
    }

    /// Takes the answer to a heartbeat of this host.
    pub fn on_heartbeat_reply(&mut self, now: Time, reply: &HeartbeatReply) -> Vec<Command> {
        let mut commands = Vec::new();
        self.members.record_reply(now, &reply.from);
        self.note_revision(now, reply.revision);
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
            self.take_digest(now, digest);
        }
        if let Some(row) = &reply.row {
            self.take_row(now, row.clone(), &mut commands);
        }
        commands
    }

    /// Has the next tick send heartbeats, because the others should know soon.
    pub fn request_early_heartbeat(&mut self) {
        self.early_heartbeat = true;
    }

    /// Whether this host acts as its region's steward now: it is the first
    /// live witness of the steward's group, or, where no witness is live, the
    /// first live host.
    pub fn is_steward(&self, now: Time) -> bool {
        let Some(region) = self.region() else {
            return false;
        };
        let me = &self.settings.me.host;
        let first = |is_able: &dyn Fn(&Name) -> bool| {
            let group = self.row.groups.steward_group(is_able)?;
            group.witnesses.iter().find(|w| is_able(&w.host)).map(|w| w.host == *me)
        };
        let is_able = |name: &Name| self.is_live(now, name) && self.may_own(name);
        if let Some(is_me) = first(&is_able).or_else(|| first(&|name| self.is_live(now, name))) {
            return is_me;
        }
        let candidates = self.candidates(now, region);
        let mut able = candidates.iter().filter(|c| c.may_own).chain(&candidates);
        able.next().is_some_and(|c| c.host == self.settings.me)
    }

    /// Notes a revision that another host has; one that is not above ours
    /// shows that we were not behind it.
    fn note_revision(&mut self, now: Time, revision: u64) {
        if revision > 0 && revision == self.catalog.revision {
            self.revision_confirmed_at = Some(now);
        }
    }

    pub(crate) fn is_heartbeat_due(&self, now: Time) -> bool {
        let interval = if self.early_heartbeat { BEAT_SOON } else { HEARTBEAT_INTERVAL };
        self.last_heartbeat_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// A host hears itself: it is a member like the others.
    pub(crate) fn record_own_heartbeat(&mut self, now: Time) {
        if let Some(beat) = self.make_heartbeat(now) {
            self.members.record_heartbeat(now, &beat);
        }
    }

    pub(crate) fn send_heartbeats(&mut self, now: Time, commands: &mut Vec<Command>) {
        let Some(beat) = self.make_heartbeat(now) else {
            return;
        };
        self.sequence += 1;
        let beat = Heartbeat { sequence: self.sequence, ..beat };
        self.lease.begin_round(now, self.row.epoch, self.sequence);
        self.promise_to_self(&beat);
        let reports_to = self.reports_to(now);
        let mut targets = self.heartbeat_targets(now);
        self.newer_row_host = None;
        if !reports_to.is_empty() {
            let report = Heartbeat { sightings: self.sightings(now), ..beat.clone() };
            targets.retain(|name| !reports_to.contains(name));
            let reports =
                reports_to.into_iter().map(|name| Command::Heartbeat(name, report.clone()));
            commands.extend(reports);
        }
        commands.extend(targets.into_iter().map(|name| Command::Heartbeat(name, beat.clone())));
    }

    /// A witness that is the owner itself promises at once.
    fn promise_to_self(&mut self, beat: &Heartbeat) {
        let me = &self.settings.me;
        if let Some(group) = self.row.groups.group_of(&me.host)
            && self.witness.promises(&beat.region, beat.epoch)
        {
            self.lease.on_promise(group, me, beat.epoch, beat.sequence);
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
            loads: self.loads(now),
            lingering: self.admissions.lingering(),
            sightings: Vec::new(),
        })
    }

    /// What this host owns, by service; nothing while its lease is not held.
    fn loads(&self, now: Time) -> Vec<ServiceLoad> {
        let ids = (0..self.catalog.services.len() as u32).map(ServiceId);
        ids.map(|id| self.load(now, id)).filter(|l| l.slots > 0 || l.in_flight > 0).collect()
    }

    /// Whether each host sends heartbeats to each other one.
    pub fn is_small_fleet(&self) -> bool {
        self.members.len() <= FULL_MESH_PEERS_MAX + 1
    }

    /// Whether this host reads the region's row at times, though it is not the
    /// steward: in a large fleet only the steward's group does, and a host that
    /// nobody has told of a row.
    pub(crate) fn reads_row_when_idle(&self, now: Time) -> bool {
        self.is_small_fleet() || self.row.groups.is_empty() || self.is_of_steward_group(now)
    }

    /// To whom this round's heartbeats go.
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
                targets.extend(self.heirs(now));
            }
        }
        targets.extend(self.newer_row_host.clone());
        targets.retain(|name| name != me && self.members.get(name).is_some());
        targets.sort();
        targets.dedup();
        targets
    }

    /// Hosts that took over what this one has released or is to release.
    fn heirs(&self, now: Time) -> Vec<Name> {
        let is_told = self.row.settled
            && now.since(self.settled_at) >= RELEASE_TOLD
            && self.admissions.lingering().is_empty();
        if is_told {
            return Vec::new();
        }
        let me = Some(&self.settings.me);
        let moved =
            self.row.grants.values().filter(|g| g.from.as_ref() == me && g.owner.as_ref() != me);
        moved.filter_map(|grant| Some(grant.owner.as_ref()?.host.clone())).collect()
    }

    /// The steward's group, if this host is to tell it of its own group now.
    fn reports_to(&self, now: Time) -> Vec<Name> {
        let groups = &self.row.groups;
        let me = &self.settings.me.host;
        let Some(own) = groups.witnessed_group_index(me).and_then(|index| groups.iter().nth(index))
        else {
            return Vec::new();
        };
        let is_due = !self.row.settled || self.sequence.is_multiple_of(REPORT_ROUNDS);
        let live = own.witnesses.iter().filter(|w| self.is_live(now, &w.host));
        let is_reporter = live.take(REPORTERS).any(|w| w.host == *me);
        if self.is_small_fleet() || !is_due || !is_reporter {
            return Vec::new();
        }
        let to = groups.steward_group(|name| self.is_live(now, name));
        let to = to.filter(|group| !group.has_witness(me));
        let names = to.into_iter().flat_map(|group| &group.witnesses).map(|w| w.host.clone());
        names.filter(|name| self.members.get(name).is_some()).collect()
    }

    /// The hosts of the group that this host is a witness of.
    fn sightings(&self, now: Time) -> Vec<Sighting> {
        let groups = &self.row.groups;
        let own = groups.witnessed_group_index(&self.settings.me.host);
        let is_served = |m: &&Member| {
            own.is_some() && groups.group_index_of(&m.name) == own && self.is_of_region(m)
        };
        let heard = self.members.iter().filter(|m| m.is_heard(now)).filter(is_served);
        let sighting = |m: &Member| Sighting {
            host: HostRef { host: m.name.clone(), incarnation: m.incarnation },
            age_ms: millis(now, m.last_heard.unwrap_or_default()),
            epoch: m.epoch,
            sequence: m.sequence,
            revision: m.revision,
            leaving: m.leaving,
        };
        heard.map(sighting).collect()
    }

    /// The region's hosts that are out: of the steward's group by own
    /// knowledge, of others as they were told.
    fn digest(&self, now: Time) -> Option<LivenessDigest> {
        if self.is_small_fleet() {
            return None;
        }
        if self.is_of_steward_group(now) {
            let is_out = |m: &&Member| !m.is_heard_or_reported(now) || !m.takes_new_work();
            let out = self.members.iter().filter(|m| self.is_of_region(m)).filter(is_out);
            return Some(LivenessDigest {
                age_ms: 0,
                unavailable: out.map(|m| m.name.clone()).collect(),
            });
        }
        let known = self
            .liveness_digest
            .as_ref()
            .filter(|out| now.since(out.as_of) < REPORTED_LIVENESS_TIMEOUT)?;
        Some(LivenessDigest {
            age_ms: millis(now, known.as_of),
            unavailable: known.unavailable.clone(),
        })
    }

    /// Whether this host is a witness of the steward's group.
    fn is_of_steward_group(&self, now: Time) -> bool {
        let group = self.row.groups.steward_group(|name| self.is_live(now, name));
        group.is_some_and(|group| group.has_witness(&self.settings.me.host))
    }

    /// Takes a digest, if it is newer than the last one.
    fn take_digest(&mut self, now: Time, digest: &LivenessDigest) {
        let at = now - u64::from(digest.age_ms) * MILLI;
        if self.liveness_digest.as_ref().is_some_and(|out| out.as_of >= at) {
            return;
        }
        let out = ReceivedDigest { as_of: at, unavailable: digest.unavailable.clone() };
        let region = self.region();
        for member in self.members.iter_mut() {
            if self.catalog.region_of_domain(&member.domain) == region {
                member.reported_out = out.unavailable.contains(&member.name);
                member.confirmed_live_at = (!member.reported_out).then_some(at);
            }
        }
        self.liveness_digest = Some(out);
    }

    /// Chooses partners anew, when hosts come or go.
    pub(crate) fn choose_partners(&mut self) {
        let me = &self.settings.me.host;
        let region: Vec<&Name> =
            self.members.iter().filter(|m| self.is_of_region(m)).map(|m| &m.name).collect();
        let fleet: Vec<&Name> = self.members.iter().map(|m| &m.name).collect();
        let mut partners = neighbours(region, me, REGION_PARTNERS);
        partners.extend(neighbours(fleet, me, FLEET_PARTNERS));
        self.partners = partners;
    }

    fn is_of_region(&self, member: &Member) -> bool {
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

/// Up to `count` neighbours on the ring of the hosts' hashes; two hosts are
/// each other's.
fn neighbours(mut names: Vec<&Name>, me: &Name, count: usize) -> Vec<Name> {
    names.sort_by_key(|name| (xxh3_64(name.as_bytes()), *name));
    let Some(place) = names.iter().position(|name| *name == me) else { return Vec::new() };
    let steps = 1..=(count / 2).min(names.len().saturating_sub(1));
    let around = steps.flat_map(|step| [place + step, place + names.len() - step]);
    around.map(|index| names[index % names.len()].clone()).collect()
}

/// Milliseconds from `earlier` to `now`.
fn millis(now: Time, earlier: Time) -> u32 {
    u32::try_from(now.since(earlier) / MILLI).unwrap_or(u32::MAX)
}
