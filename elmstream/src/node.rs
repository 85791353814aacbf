//! One entry host's decisions: its tables, and the systems that run each tick.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use rand::{SeedableRng, rngs::StdRng};

use crate::{
    admission::Admissions,
    allotment::Row,
    catalog::Catalog,
    heartbeat::ReceivedDigest,
    id::{HostRef, Name, RegionId, ServiceId, SiteId},
    inherited_servers::InheritedServer,
    lease::{Lease, Witness},
    lookup::{self, RankedHost},
    member::{ListedHost, Members},
    message::{Command, Event, Fence, FenceReply},
    retry_budget::RetryBudget,
    steward::{Steward, StoredRow, WriteOutcome},
    tickets::TicketTable,
    time::{SECOND, Time},
    token_bucket::TokenBucket,
};

/// Time without any sign of the newest revision after which a host may be
/// behind, in microseconds.
pub const CATALOG_FRESH_TIMEOUT: u64 = 10 * SECOND;

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
    pub(crate) shift_buckets: HashMap<(Name, Name), TokenBucket>,
    /// Requests over the links from other regions.
    pub(crate) link_request_buckets: HashMap<Name, TokenBucket>,
    /// Bytes over the links from other regions.
    pub(crate) link_byte_buckets: HashMap<Name, TokenBucket>,
    pub(crate) retry_budgets: HashMap<ServiceId, RetryBudget>,
    pub(crate) tickets: TicketTable,
    pub(crate) rng: StdRng,
    pub(crate) leaving_backends: Vec<Name>,
    pub(crate) stopping: bool,
    /// Answers to look-ups by site and service, until a host's state changes.
    pub(crate) lookup_cache: HashMap<(Option<SiteId>, ServiceId), Arc<[RankedHost]>>,
    lookup_cache_digest: u64,
    pub(crate) revision_confirmed_at: Option<Time>,
    /// When the row's epoch was learned to be settled; since then nobody else
    /// uses what this host owns at it.
    pub(crate) settled_at: Time,
    pub(crate) witness: Witness,
    pub(crate) steward: Steward,
    pub(crate) sequence: u64,
    pub(crate) last_heartbeat_at: Option<Time>,
    pub(crate) early_heartbeat: bool,
    /// A host that has shown a newer row and is to be asked for it.
    pub(crate) newer_row_host: Option<Name>,
    /// Hosts that this one and they send heartbeats to, in a large fleet.
    pub(crate) partners: Vec<Name>,
    /// What the steward's group told of the region's hosts.
    pub(crate) liveness_digest: Option<ReceivedDigest>,
    lease_was_held: bool,
    pub(crate) inherited: BTreeMap<Name, InheritedServer>,
    /// The row's owners by service, each once, in a large fleet.
    pub(crate) row_owners: HashMap<ServiceId, Vec<HostRef>>,
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
            link_request_buckets: HashMap::new(),
            link_byte_buckets: HashMap::new(),
            retry_budgets: HashMap::new(),
            tickets: TicketTable::default(),
            rng,
            leaving_backends: Vec::new(),
            stopping: false,
            lookup_cache: HashMap::new(),
            lookup_cache_digest: 0,
            revision_confirmed_at: None,
            settled_at: Time::default(),
            witness: Witness::default(),
            steward,
            sequence: 0,
            last_heartbeat_at: None,
            early_heartbeat: false,
            newer_row_host: None,
            partners: Vec::new(),
            liveness_digest: None,
            lease_was_held: false,
            inherited: BTreeMap::new(),
            row_owners: HashMap::new(),
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
        self.lookup_cache.clear();
        self.revision_confirmed_at = Some(now);
        self.choose_partners();
        self.refresh_ownership(now);
        true
    }

    /// Forgets answers to look-ups if a host's part in them has changed.
    fn forget_lookups(&mut self, now: Time) {
        let state = lookup::ranking_digest(&self.catalog, &self.members, now);
        if state != self.lookup_cache_digest {
            self.lookup_cache_digest = state;
            self.lookup_cache.clear();
        }
    }

    /// Carries what is kept by a service's index over to the new indexes.
    fn renumber(&mut self, old: &Catalog) {
        let new_id = |id: ServiceId| self.catalog.service(&old.services[id.index()].name);
        self.admissions.remap_services(new_id);
        let retries = std::mem::take(&mut self.retry_budgets);
        let moved = retries.into_iter().filter_map(|(id, budget)| Some((new_id(id)?, budget)));
        self.retry_budgets = moved.collect();
    }

    /// The newest revision was seen at the table.
    pub fn confirm_revision(&mut self, now: Time) {
        self.revision_confirmed_at = Some(now);
    }

    /// Whether this host may be behind the newest revision.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.revision_confirmed_at.is_none_or(|at| now.since(at) >= CATALOG_FRESH_TIMEOUT)
    }

    /// Takes the platform's host list.
    pub fn apply_host_list(
        &mut self,
        now: Time,
        hosts: Vec<ListedHost>,
        leaving_backends: Vec<Name>,
    ) {
        if self.members.apply_host_list(now, hosts) {
            self.choose_partners();
        }
        self.leaving_backends = leaving_backends;
        self.refresh_ownership(now);
    }

    /// Begins a planned stop: the host owns nothing new and leaves look-ups.
    pub fn begin_stop(&mut self) {
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
    pub fn abandon_ownership(&mut self) {
        let Row { epoch, region, .. } = std::mem::take(&mut self.row);
        self.row = Row { epoch, region, settled: true, ..Row::default() };
        self.admissions.set_owned(Time::default(), &self.catalog, &BTreeSet::new());
    }

    /// Runs every system once.
    pub fn tick(&mut self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        self.tickets.expire(now);
        self.watch_hosts(now, &mut commands);
        self.watch_lease(now, &mut commands);
        if self.is_heartbeat_due(now) {
            self.last_heartbeat_at = Some(now);
            self.early_heartbeat = false;
            self.send_heartbeats(now, &mut commands);
            self.record_own_heartbeat(now);
            self.probe_inherited_servers(&mut commands);
            lookup::step_weights(&mut self.members, now);
            self.forget_lookups(now);
        }
        self.run_steward(now, &mut commands);
        self.update_reserved_slots(now);
        self.wake_all(now, &mut commands);
        commands
    }

    /// Takes a steward's fence, as a witness.
    pub fn on_fence(&mut self, fence: &Fence) -> FenceReply {
        self.witness.fence(&fence.region, fence.epoch);
        FenceReply {
            from: self.settings.me.clone(),
            region: fence.region.clone(),
            epoch: fence.epoch,
        }
    }

    /// Takes a witness's answer to a fence, as steward.
    pub fn on_fence_reply(&mut self, reply: FenceReply) {
        self.steward.on_witness_fenced(reply.from, reply.epoch);
    }

    /// Takes the table's answer to a read of the row.
    pub fn on_row_read(&mut self, now: Time, stored: Option<StoredRow>) -> Vec<Command> {
        let mut commands = Vec::new();
        self.steward.on_row_read(stored);
        self.take_stored_row(now, &mut commands);
        commands
    }

    /// The table did not answer a read of the row.
    pub fn on_row_read_failed(&mut self) {
        self.steward.on_read_failed();
    }

    /// Takes the table's answer to a write of the row.
    pub fn on_row_written(&mut self, now: Time, outcome: WriteOutcome) -> Vec<Command> {
        let mut commands = Vec::new();
        self.steward.on_row_written(outcome);
        self.take_stored_row(now, &mut commands);
        if let Some(renewal) = self.steward.table_renewal(&self.settings.me) {
            self.lease.on_table_renewal(renewal);
        }
        commands
    }

    /// The name of this host's region.
    pub fn region_name(&self) -> Option<Name> {
        let region = self.region()?;
        Some(self.catalog.regions[region.index()].name.clone())
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
        if held != self.lease_was_held {
            self.lease_was_held = held;
            let event = if held { Event::LeaseHeld } else { Event::LeaseLapsed };
            commands.push(Command::Event(event));
        }
    }

    /// Brings the admission table in line with row, configuration and list.
    pub(crate) fn refresh_ownership(&mut self, now: Time) {
        let owned = self.row.owned_by(&self.settings.me);
        let owned: BTreeSet<Name> = owned.map(|(name, _)| name.clone()).collect();
        let before = self.admissions.owned();
        self.admissions.set_owned(now, &self.catalog, &owned);
        self.admissions.mark_draining(&self.leaving_backends);
        self.inherited.retain(|name, _| owned.contains(name));
        for name in owned.difference(&before) {
            let from = self.row.grants.get(name).and_then(|grant| grant.from.clone());
            let inherited = InheritedServer {
                from,
                epoch: self.row.epoch,
                since: now,
                released: self.row.released,
                reported: None,
                probed: None,
            };
            self.inherited.insert(name.clone(), inherited);
        }
        self.list_row_owners();
        self.update_reserved_slots(now);
    }

    /// Lists the owners that requests may go to although they are no partners.
    fn list_row_owners(&mut self) {
        let mut owners: HashMap<ServiceId, Vec<HostRef>> = HashMap::new();
        let grants = self.row.grants.iter().filter(|_| !self.is_small_fleet());
        for (name, grant) in grants {
            let (Some(id), Some(owner)) = (self.catalog.backend(name), &grant.owner) else {
                continue;
            };
            owners
                .entry(self.catalog.backends[id.index()].service)
                .or_default()
                .push(owner.clone());
        }
        for owners in owners.values_mut() {
            owners.sort();
            owners.dedup();
        }
        self.row_owners = owners;
    }

    fn wake_all(&mut self, now: Time, commands: &mut Vec<Command>) {
        let catalog = self.catalog.clone();
        for id in (0..catalog.services.len() as u32).map(ServiceId) {
            let woken = self.admissions.wake_waiting(now, &catalog, id);
            commands.extend(woken.into_iter().map(Command::Wake));
        }
    }
}
