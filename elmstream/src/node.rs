//! One entry host's decisions: its tables, and the systems that run each tick.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use rand::{SeedableRng, rngs::StdRng};

use crate::{
    admission::Admissions,
    allotment::{Candidate, Renewal, Row},
    cap::Bucket,
    catalog::Catalog,
    id::{HostRef, Name, RegionId, ServiceId, SiteId},
    inherit::Inherited,
    lease::{Lease, Witness},
    lookup::{self, Choice},
    member::{HEARTBEAT_FANOUT, HEARTBEAT_INTERVAL, Listed, ListedHost, Member, Members},
    message::{Command, Event, Fence, FenceReply, Heartbeat, HeartbeatReply, ServiceLoad},
    once::TicketTable,
    retry::RetryBudget,
    steward::{Step, Steward, Stored, View, WriteOutcome},
    time::{MILLI, SECOND, Time},
};

/// Time without any sign of the newest revision after which a host may be
/// behind, in microseconds.
pub const FRESH: u64 = 10 * SECOND;

/// Least time between two rounds of heartbeats, in microseconds, so that hosts
/// that tell each other of an epoch do not set off a storm.
const BEAT_SOON: u64 = 40 * MILLI;

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The host and its incarnation.
    pub me: HostRef,
    /// Its failure domain.
    pub domain: Name,
    /// Seed of its randomness.
    pub seed: u64,
}

/// All that one entry host knows and decides by.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) members: Members,
    pub(crate) admissions: Admissions,
    pub(crate) lease: Lease,
    pub(crate) row: Row,
    pub(crate) shift_buckets: HashMap<(Name, Name), Bucket>,
    pub(crate) link_buckets: HashMap<Name, Bucket>,
    pub(crate) retries: HashMap<ServiceId, RetryBudget>,
    pub(crate) tickets: TicketTable,
    pub(crate) rng: StdRng,
    pub(crate) leaving_backends: Vec<Name>,
    pub(crate) stopping: bool,
    /// Answers to look-ups by site and service, until a host's state changes.
    pub(crate) lookups: HashMap<(Option<SiteId>, ServiceId), Arc<[Choice]>>,
    lookups_of: u64,
    pub(crate) fresh_at: Option<Time>,
    /// When the row's epoch was learned to be settled; since then nobody else
    /// uses what this host owns at it.
    pub(crate) settled_at: Time,
    witness: Witness,
    steward: Steward,
    sequence: u64,
    beat_at: Option<Time>,
    beat_wanted: bool,
    was_held: bool,
    pub(crate) inherited: BTreeMap<Name, Inherited>,
}

impl Node {
    /// A node without configuration.
    pub fn new(settings: NodeSettings) -> Node {
        let rng = StdRng::seed_from_u64(settings.seed);
        let steward = Steward::new(settings.seed);
        Node {
            settings,
            catalog: Arc::default(),
            members: Members::default(),
            admissions: Admissions::default(),
            lease: Lease::default(),
            row: Row::default(),
            shift_buckets: HashMap::new(),
            link_buckets: HashMap::new(),
            retries: HashMap::new(),
            tickets: TicketTable::default(),
            rng,
            leaving_backends: Vec::new(),
            stopping: false,
            lookups: HashMap::new(),
            lookups_of: 0,
            fresh_at: None,
            settled_at: Time::default(),
            witness: Witness::default(),
            steward,
            sequence: 0,
            beat_at: None,
            beat_wanted: false,
            was_held: false,
            inherited: BTreeMap::new(),
        }
    }

    /// This host and incarnation.
    pub fn me(&self) -> &HostRef {
        &self.settings.me
    }

    /// The configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// The region's allotment row, as this host has taken it.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// The lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// The entry hosts.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The backend servers' slots.
    pub fn admissions(&self) -> &Admissions {
        &self.admissions
    }

    /// The region that this host's failure domain lies in.
    pub fn region(&self) -> Option<RegionId> {
        self.catalog.region_of_domain(&self.settings.domain)
    }

    /// Takes a configuration; a revision that is not higher is left alone.
    pub fn set_catalog(&mut self, now: Time, catalog: Arc<Catalog>) -> bool {
        if catalog.revision <= self.catalog.revision {
            return false;
        }
        let old = std::mem::replace(&mut self.catalog, catalog);
        self.renumber(&old);
        self.lookups.clear();
        self.fresh_at = Some(now);
        self.reown(now);
        true
    }

    /// Forgets answers to look-ups if a host's part in them has changed.
    fn forget_lookups(&mut self, now: Time) {
        let state = lookup::state(&self.catalog, &self.members, now);
        if state != self.lookups_of {
            self.lookups_of = state;
            self.lookups.clear();
        }
    }

    /// Carries what is kept by a service's index over to the new indexes.
    fn renumber(&mut self, old: &Catalog) {
        let new_id = |id: ServiceId| self.catalog.service(&old.services[id.index()].name);
        self.admissions.renumber(new_id);
        let retries = std::mem::take(&mut self.retries);
        let moved = retries.into_iter().filter_map(|(id, budget)| Some((new_id(id)?, budget)));
        self.retries = moved.collect();
    }

    /// The newest revision was seen at the table.
    pub fn seen_fresh(&mut self, now: Time) {
        self.fresh_at = Some(now);
    }

    /// Whether this host may be behind the newest revision.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.fresh_at.is_none_or(|at| now.since(at) >= FRESH)
    }

    /// Takes the platform's host list.
    pub fn take_list(&mut self, now: Time, hosts: Vec<ListedHost>, leaving_backends: Vec<Name>) {
        self.members.take_list(now, hosts);
        self.leaving_backends = leaving_backends;
        self.reown(now);
    }

    /// Begins a planned stop: the host owns nothing new and leaves look-ups.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether this host owns a backend server under its lease.
    pub fn is_owner(&self, now: Time) -> bool {
        let owns = self.row.owned_by(&self.settings.me).next().is_some();
        owns && self.lease.is_held(now)
    }

    /// Whether nothing is in flight here.
    pub fn is_idle(&self) -> bool {
        self.admissions.total_in_flight() == 0
    }

    /// Gives up what this host owns, although nobody has taken it over.
    pub fn abandon(&mut self) {
        let Row { epoch, region, .. } = std::mem::take(&mut self.row);
        self.row = Row { epoch, region, settled: true, ..Row::default() };
        self.admissions.own(Time::default(), &self.catalog, &BTreeSet::new());
    }

    /// Has the next tick send heartbeats, because the others should know soon.
    pub fn beat_soon(&mut self) {
        self.beat_wanted = true;
    }

    /// Runs every system once.
    pub fn tick(&mut self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        self.tickets.expire(now);
        self.watch_hosts(now, &mut commands);
        self.watch_lease(now, &mut commands);
        if self.is_beat_due(now) {
            self.beat_at = Some(now);
            self.beat_wanted = false;
            self.send_heartbeats(now, &mut commands);
            self.hear_self(now);
            self.probe(&mut commands);
            lookup::step_weights(&mut self.members, now);
            self.forget_lookups(now);
        }
        self.run_steward(now, &mut commands);
        self.reserve(now);
        self.wake_all(now, &mut commands);
        commands
    }

    /// Takes a heartbeat and answers it, as a witness too.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> HeartbeatReply {
        self.members.heard(now, beat);
        self.note_revision(now, beat.revision);
        let same_region = self.region_name().is_some_and(|name| name == beat.region);
        let ours = (self.row.epoch, self.row.settled);
        let knows_newer = ours > (beat.epoch, beat.settled);
        if same_region && ours < (beat.epoch, beat.settled) {
            // The sender's answer to our next heartbeat brings its row.
            self.beat_soon();
        }
        let promises = same_region && self.witness.promises(&beat.region, beat.epoch);
        HeartbeatReply {
            from: self.settings.me.clone(),
            sequence: beat.sequence,
            promised: promises.then_some(beat.epoch),
            renewed: self.steward.renewed(&beat.from).filter(|_| same_region),
            revision: self.catalog.revision,
            row: (same_region && knows_newer).then(|| self.row.clone()),
        }
    }

    /// Takes the answer to a heartbeat of this host.
    pub fn heartbeat_reply(&mut self, now: Time, reply: &HeartbeatReply) -> Vec<Command> {
        let mut commands = Vec::new();
        self.note_revision(now, reply.revision);
        if let Some(epoch) = reply.promised {
            let witnesses = &self.row.witnesses;
            self.lease.promised(witnesses, &reply.from, epoch, reply.sequence);
        }
        if let Some(renewal) = reply.renewed {
            self.lease.renewed_by_table(renewal);
        }
        if let Some(row) = &reply.row {
            self.take_row(now, row.clone(), &mut commands);
        }
        commands
    }

    /// Takes a steward's fence, as a witness.
    pub fn fence(&mut self, fence: &Fence) -> FenceReply {
        self.witness.fence(&fence.region, fence.epoch);
        FenceReply {
            from: self.settings.me.clone(),
            region: fence.region.clone(),
            epoch: fence.epoch,
        }
    }

    /// Takes a witness's answer to a fence, as steward.
    pub fn fence_reply(&mut self, reply: FenceReply) {
        self.steward.fenced(reply.from, reply.epoch);
    }

    /// Takes the table's answer to a read of the row.
    pub fn row_read(&mut self, now: Time, stored: Option<Stored>) -> Vec<Command> {
        let mut commands = Vec::new();
        self.steward.row_read(stored);
        self.adopt_stored(now, &mut commands);
        commands
    }

    /// The table did not answer a read of the row.
    pub fn row_read_failed(&mut self) {
        self.steward.read_failed();
    }

    /// Takes the table's answer to a write of the row.
    pub fn row_written(&mut self, now: Time, outcome: WriteOutcome) -> Vec<Command> {
        let mut commands = Vec::new();
        self.steward.row_written(outcome);
        self.adopt_stored(now, &mut commands);
        if let Some(renewal) = self.steward.renewed(&self.settings.me) {
            self.lease.renewed_by_table(renewal);
        }
        commands
    }

    /// The name of this host's region.
    pub fn region_name(&self) -> Option<Name> {
        let region = self.region()?;
        Some(self.catalog.regions[region.index()].name.clone())
    }

    /// Whether this host acts as its region's steward now.
    pub fn is_steward(&self, now: Time) -> bool {
        let Some(region) = self.region() else {
            return false;
        };
        let candidates = self.candidates(now, region);
        let mut able = candidates.iter().filter(|c| c.may_own).chain(&candidates);
        able.next().is_some_and(|c| c.host == self.settings.me)
    }

    /// Notes a revision that another host has; one that is not above ours
    /// shows that we were not behind it.
    fn note_revision(&mut self, now: Time, revision: u64) {
        if revision > 0 && revision == self.catalog.revision {
            self.fresh_at = Some(now);
        }
    }

    fn is_beat_due(&self, now: Time) -> bool {
        let interval = if self.beat_wanted { BEAT_SOON } else { HEARTBEAT_INTERVAL };
        self.beat_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Reports hosts that fell silent or are heard again.
    fn watch_hosts(&mut self, now: Time, commands: &mut Vec<Command>) {
        for member in self.members.iter_mut() {
            let live = member.is_live(now);
            if live == member.was_live {
                continue;
            }
            member.was_live = live;
            let host = member.host_ref();
            let event = if live { Event::HostHeard(host) } else { Event::HostSilent(host) };
            commands.push(Command::Event(event));
        }
    }

    /// Reports a lease that lapsed or is held again.
    fn watch_lease(&mut self, now: Time, commands: &mut Vec<Command>) {
        let held = self.lease.is_held(now);
        if held != self.was_held {
            self.was_held = held;
            let event = if held { Event::LeaseHeld } else { Event::LeaseLapsed };
            commands.push(Command::Event(event));
        }
    }

    /// A host hears itself: it is a member like the others.
    fn hear_self(&mut self, now: Time) {
        if let Some(beat) = self.make_heartbeat(now) {
            self.members.heard(now, &beat);
        }
    }

    fn send_heartbeats(&mut self, now: Time, commands: &mut Vec<Command>) {
        let Some(beat) = self.make_heartbeat(now) else {
            return;
        };
        self.sequence += 1;
        let beat = Heartbeat { sequence: self.sequence, ..beat };
        self.lease.ask(now, self.row.epoch, self.sequence);
        self.promise_to_self(&beat);
        for name in self.heartbeat_targets() {
            commands.push(Command::Heartbeat(name, beat.clone()));
        }
    }

    /// A witness that is the owner itself promises at once.
    fn promise_to_self(&mut self, beat: &Heartbeat) {
        if self.witness.promises(&beat.region, beat.epoch) {
            let me = &self.settings.me;
            self.lease.promised(&self.row.witnesses, me, beat.epoch, beat.sequence);
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
        })
    }

    /// What this host owns, by service; nothing while its lease is not held.
    fn loads(&self, now: Time) -> Vec<ServiceLoad> {
        let held = self.lease.is_held(now);
        let ids = (0..self.catalog.services.len() as u32).map(ServiceId);
        let load = |id: ServiceId| {
            let (in_flight, slots) = self.admissions.usage(now, id);
            let service = self.catalog.services[id.index()].name.clone();
            let slots = if held { slots } else { 0 };
            ServiceLoad { service, slots, in_flight, queued: self.admissions.queued(id) }
        };
        ids.map(load).filter(|l| l.slots > 0 || l.in_flight > 0).collect()
    }

    /// The witnesses and the steward of the region, and then others up to the
    /// fan-out, those of the own region first, chosen anew with each round.
    fn heartbeat_targets(&self) -> Vec<Name> {
        let me = &self.settings.me.host;
        let mut targets: Vec<Name> = Vec::new();
        for witness in self.row.witnesses.iter().chain(&self.row.witnesses_from) {
            if witness.host != *me && !targets.contains(&witness.host) {
                targets.push(witness.host.clone());
            }
        }
        let others: Vec<&Member> = self.members.iter().filter(|m| m.name != *me).collect();
        let offset = self.sequence as usize * HEARTBEAT_FANOUT;
        for index in 0..others.len().min(HEARTBEAT_FANOUT) {
            let name = &others[(offset + index) % others.len()].name;
            if !targets.contains(name) {
                targets.push(name.clone());
            }
        }
        targets.retain(|name| self.members.get(name).is_some());
        targets
    }

    /// Live hosts of the region, in the order of their names.
    fn candidates(&self, now: Time, region: RegionId) -> Vec<Candidate> {
        let in_region = |m: &&Member| self.catalog.region_of_domain(&m.domain) == Some(region);
        let live = self.members.iter().filter(|m| m.is_live(now)).filter(in_region);
        let candidate = |m: &Member| Candidate {
            host: m.host_ref(),
            domain: m.domain.clone(),
            may_own: m.is_staying() && !self.catalog.draining_hosts.contains(&m.name),
        };
        live.map(candidate).collect()
    }

    fn run_steward(&mut self, now: Time, commands: &mut Vec<Command>) {
        let Some(region) = self.region() else { return };
        if !self.is_steward(now) {
            if let Some(step) = self.steward.idle(now) {
                self.do_step(now, step, commands);
            }
            return;
        }
        let hosts = self.candidates(now, region);
        let catalog = self.catalog.clone();
        let name = catalog.regions[region.index()].name.clone();
        let taken = self.taken();
        let gone = self.gone();
        let asked = self.asked();
        let view = View {
            catalog: &catalog,
            region,
            name: &name,
            hosts: &hosts,
            taken: &taken,
            gone: &gone,
            asked: &asked,
        };
        let steps = self.steward.tick(now, &view);
        for step in steps {
            self.do_step(now, step, commands);
        }
    }

    /// The last round in which each owner of the row's epoch asked.
    fn asked(&self) -> Vec<Renewal> {
        let epoch = self.steward.stored().map_or(0, |s| s.row.epoch);
        let owners = self.steward.stored().map(|s| s.row.owners()).unwrap_or_default();
        let at_epoch = self.members.iter().filter(|m| m.epoch == epoch && m.heard.is_some());
        let owners = at_epoch.filter(|m| owners.contains(&m.host_ref()));
        owners.map(|m| Renewal { owner: m.host_ref(), sequence: m.sequence }).collect()
    }

    /// Hosts that have taken the epoch that the steward works on.
    fn taken(&self) -> HashSet<HostRef> {
        let epoch = self.steward.stored().map_or(0, |s| s.row.epoch);
        let taken = self.members.iter().filter(|m| m.epoch >= epoch);
        let mut taken: HashSet<HostRef> = taken.map(Member::host_ref).collect();
        if self.row.epoch >= epoch {
            taken.insert(self.settings.me.clone());
        }
        taken
    }

    /// Witnesses of the epoch before that can promise no more.
    fn gone(&self) -> HashSet<HostRef> {
        let stored = self.steward.stored();
        let witnesses = stored.map_or(&[][..], |s| &s.row.witnesses_from);
        let gone = witnesses.iter().filter(|w| is_gone(&self.members, w));
        gone.cloned().collect()
    }

    fn do_step(&mut self, now: Time, step: Step, commands: &mut Vec<Command>) {
        match step {
            Step::Read => commands.extend(self.region_name().map(Command::ReadRow)),
            Step::Write { row, expect } => {
                let moves = row.moves();
                let event = Event::RowProposed(row.region.clone(), row.epoch, moves);
                commands.push(Command::Event(event));
                commands.push(Command::WriteRow { row, expect });
            }
            Step::Fence(witnesses, epoch) => self.send_fences(&witnesses, epoch, commands),
            Step::Settled(row) => self.take_row(now, row, commands),
        }
    }

    fn send_fences(&mut self, witnesses: &[HostRef], epoch: u64, commands: &mut Vec<Command>) {
        let Some(region) = self.region_name() else {
            return;
        };
        for witness in witnesses {
            let fence = Fence { region: region.clone(), epoch };
            if *witness == self.settings.me {
                let reply = self.fence(&fence);
                self.fence_reply(reply);
            } else {
                commands.push(Command::Fence(witness.host.clone(), fence));
            }
        }
    }

    /// Takes the row that the steward part has from the table.
    fn adopt_stored(&mut self, now: Time, commands: &mut Vec<Command>) {
        let stored = self.steward.stored().filter(|s| s.version != 0);
        if let Some(row) = stored.map(|s| s.row.clone()) {
            self.take_row(now, row, commands);
        }
    }

    /// Takes a row if it is newer than the present one.
    fn take_row(&mut self, now: Time, row: Row, commands: &mut Vec<Command>) {
        if !row.is_newer_than(&self.row) {
            return;
        }
        self.row = row;
        if self.row.settled {
            self.settled_at = now;
        }
        self.reown(now);
        self.beat_soon();
        let owned = self.row.owned_by(&self.settings.me).count();
        let Row { region, epoch, settled, .. } = &self.row;
        commands.push(Command::Event(Event::RowTaken(region.clone(), *epoch, *settled, owned)));
    }

    /// Brings the admission table in line with row, configuration and list.
    fn reown(&mut self, now: Time) {
        let owned = self.row.owned_by(&self.settings.me);
        let owned: BTreeSet<Name> = owned.map(|(name, _)| name.clone()).collect();
        let before = self.admissions.owned();
        self.admissions.own(now, &self.catalog, &owned);
        self.admissions.drain(&self.leaving_backends);
        self.inherited.retain(|name, _| owned.contains(name));
        for name in owned.difference(&before) {
            let from = self.row.grants.get(name).and_then(|grant| grant.from.clone());
            let inherited = Inherited {
                from,
                epoch: self.row.epoch,
                since: now,
                released: self.row.released,
                told: None,
                probed: None,
            };
            self.inherited.insert(name.clone(), inherited);
        }
        self.reserve(now);
    }

    fn wake_all(&mut self, now: Time, commands: &mut Vec<Command>) {
        let catalog = self.catalog.clone();
        for id in (0..catalog.services.len() as u32).map(ServiceId) {
            let woken = self.admissions.wake(now, &catalog, id);
            commands.extend(woken.into_iter().map(Command::Wake));
        }
    }
}

/// Whether a witness is known to promise no more: another incarnation of it
/// was heard, or neither the host list nor a heartbeat knows it.
fn is_gone(members: &Members, host: &HostRef) -> bool {
    match members.get(&host.host) {
        None => true,
        Some(m) if m.heard.is_some() && m.incarnation != host.incarnation => true,
        Some(m) => m.listed == Listed::Absent,
    }
}
