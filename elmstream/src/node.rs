//! State and decisions of one entry host, and the steps that run on each tick.

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

/// Time after which the configuration may be outdated unless the newest revision
/// was confirmed, in microseconds.
pub const CATALOG_FRESH_TIMEOUT: u64 = 10 * SECOND;

/// Settings that a node is created with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This host and its incarnation.
    pub me: HostRef,
    /// Failure domain of this host.
    pub domain: Name,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// State of one entry host and the decisions based on it.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) members: Members,
    pub(crate) admissions: Admissions,
    pub(crate) lease: Lease,
    pub(crate) row: Row,
    pub(crate) shift_buckets: HashMap<(Name, Name), TokenBucket>,
    /// Request limits of the links from other regions, by region.
    pub(crate) link_request_buckets: HashMap<Name, TokenBucket>,
    /// Byte limits of the links from other regions, by region.
    pub(crate) link_byte_buckets: HashMap<Name, TokenBucket>,
    pub(crate) retry_budgets: HashMap<ServiceId, RetryBudget>,
    pub(crate) tickets: TicketTable,
    pub(crate) rng: StdRng,
    pub(crate) leaving_backends: Vec<Name>,
    pub(crate) stopping: bool,
    /// Cached answers to look-ups by site and service, valid while the ranking
    /// digest is unchanged.
    pub(crate) lookup_cache: HashMap<(Option<SiteId>, ServiceId), Arc<[RankedHost]>>,
    lookup_cache_digest: u64,
    pub(crate) revision_confirmed_at: Option<Time>,
    /// When this host learned that the row's epoch is settled. Since then no
    /// other host uses its part of the caps.
    pub(crate) settled_at: Time,
    pub(crate) witness: Witness,
    pub(crate) steward: Steward,
    pub(crate) sequence: u64,
    pub(crate) last_heartbeat_at: Option<Time>,
    pub(crate) early_heartbeat: bool,
    /// Host that has shown a newer row. The next heartbeats go to it as well,
    /// since its reply contains the row.
    pub(crate) newer_row_host: Option<Name>,
    /// Hosts with which this host exchanges heartbeats in a large fleet.
    pub(crate) partners: Vec<Name>,
    /// Last digest of the steward group.
    pub(crate) liveness_digest: Option<ReceivedDigest>,
    lease_was_held: bool,
    pub(crate) inherited: BTreeMap<Name, InheritedServer>,
    /// Owners in the row by service, sorted and without duplicates. Filled in a
    /// large fleet only.
    pub(crate) row_owners: HashMap<ServiceId, Vec<HostRef>>,
}

impl Node {
    /// Creates a node without a configuration.
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

    /// This host and its incarnation.
    pub fn me(&self) -> &HostRef {
        &self.settings.me
    }

    /// Configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Allotment row of the region that this host acts on.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Lease of this host, the holder's side.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Entry hosts of the fleet, including this one.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Slots and queues of the backend servers that this host owns.
    pub fn admissions(&self) -> &Admissions {
        &self.admissions
    }

    /// Region of this host, or `None` if the configuration does not contain its
    /// failure domain.
    pub fn region(&self) -> Option<RegionId> {
        self.catalog.region_of_domain(&self.settings.domain)
    }

    /// Puts a configuration in force and returns `true`, or returns `false` if
    /// its revision is not higher than the present one.
    pub fn set_catalog(&mut self, now: Time, catalog: Arc<Catalog>) -> bool {
        if catalog.revision <= self.catalog.revision {
            return false;
        }
        let old_catalog = std::mem::replace(&mut self.catalog, catalog);
        self.remap_services(&old_catalog);
        self.lookup_cache.clear();
        self.revision_confirmed_at = Some(now);
        self.choose_partners();
        self.refresh_ownership(now);
        true
    }

    /// Clears the cached answers to look-ups if the ranking of hosts may have
    /// changed.
    fn refresh_lookup_cache(&mut self, now: Time) {
        let digest = lookup::ranking_digest(&self.catalog, &self.members, now);
        if digest != self.lookup_cache_digest {
            self.lookup_cache_digest = digest;
            self.lookup_cache.clear();
        }
    }

    /// Moves state that is indexed by service to the indexes of the new
    /// configuration.
    fn remap_services(&mut self, old_catalog: &Catalog) {
        let new_id = |id: ServiceId| self.catalog.service(&old_catalog.services[id.index()].name);
        self.admissions.remap_services(new_id);
        let budgets = std::mem::take(&mut self.retry_budgets);
        let moved = budgets.into_iter().filter_map(|(id, budget)| Some((new_id(id)?, budget)));
        self.retry_budgets = moved.collect();
    }

    /// Records that the configuration in force was confirmed as the newest
    /// revision.
    pub fn confirm_revision(&mut self, now: Time) {
        self.revision_confirmed_at = Some(now);
    }

    /// Whether the configuration in force may be outdated.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.revision_confirmed_at.is_none_or(|at| now.since(at) >= CATALOG_FRESH_TIMEOUT)
    }

    /// Applies the platform's host list. `leaving_backends` are the backend
    /// servers that it marks as leaving.
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

    /// Begins a planned stop: this host gets no new servers and is removed from
    /// look-ups.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Whether this host may act on a backend server now.
    pub fn is_owner(&self, now: Time) -> bool {
        let owns = self.row.owned_by(&self.settings.me).next().is_some();
        owns && self.lease.is_held(now)
    }

    /// Whether no request is in flight at this host's servers.
    pub fn is_idle(&self) -> bool {
        self.admissions.total_in_flight() == 0
    }

    /// Drops all ownership although no other host has taken the servers over.
    pub fn abandon_ownership(&mut self) {
        let Row { epoch, region, .. } = std::mem::take(&mut self.row);
        self.row = Row { epoch, region, settled: true, ..Row::default() };
        self.admissions.set_owned(Time::default(), &self.catalog, &BTreeSet::new());
    }

    /// Runs all periodic steps and returns the actions to carry out.
    pub fn tick(&mut self, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        self.tickets.expire(now);
        self.report_host_changes(now, &mut commands);
        self.report_lease_changes(now, &mut commands);
        if self.is_heartbeat_due(now) {
            self.last_heartbeat_at = Some(now);
            self.early_heartbeat = false;
            self.send_heartbeats(now, &mut commands);
            self.record_own_heartbeat(now);
            self.probe_inherited_servers(&mut commands);
            lookup::step_weights(&mut self.members, now);
            self.refresh_lookup_cache(now);
        }
        self.run_steward(now, &mut commands);
        self.update_reserved_slots(now);
        self.wake_waiting_requests(now, &mut commands);
        commands
    }

    /// Handles a fence from a steward, as a witness, and returns the reply.
    pub fn on_fence(&mut self, fence: &Fence) -> FenceReply {
        self.witness.fence(&fence.region, fence.epoch);
        FenceReply {
            from: self.settings.me.clone(),
            region: fence.region.clone(),
            epoch: fence.epoch,
        }
    }

    /// Handles a witness's reply to a fence, as the steward.
    pub fn on_fence_reply(&mut self, reply: FenceReply) {
        self.steward.on_witness_fenced(reply.from, reply.epoch);
    }

    /// Handles the result of reading the region's row; `None` if there is no row
    /// yet.
    pub fn on_row_read(&mut self, now: Time, stored: Option<StoredRow>) -> Vec<Command> {
        let mut commands = Vec::new();
        self.steward.on_row_read(stored);
        self.take_stored_row(now, &mut commands);
        commands
    }

    /// Handles a failed read of the region's row.
    pub fn on_row_read_failed(&mut self) {
        self.steward.on_read_failed();
    }

    /// Handles the result of writing the region's row.
    pub fn on_row_written(&mut self, now: Time, outcome: WriteOutcome) -> Vec<Command> {
        let mut commands = Vec::new();
        self.steward.on_row_written(outcome);
        self.take_stored_row(now, &mut commands);
        if let Some(renewal) = self.steward.table_renewal(&self.settings.me) {
            self.lease.on_table_renewal(renewal);
        }
        commands
    }

    /// Name of this host's region, or `None` if the configuration does not
    /// contain its failure domain.
    pub fn region_name(&self) -> Option<Name> {
        let region = self.region()?;
        Some(self.catalog.regions[region.index()].name.clone())
    }

    /// Reports hosts that became live or silent.
    fn report_host_changes(&mut self, now: Time, commands: &mut Vec<Command>) {
        for member in self.members.iter_mut() {
            let is_live = member.is_live(now);
            if is_live == member.was_live {
                continue;
            }
            member.was_live = is_live;
            let host = member.host_ref();
            let event = if is_live { Event::HostHeard(host) } else { Event::HostSilent(host) };
            commands.push(Command::Event(event));
        }
    }

    /// Reports when the lease expires or is held again.
    fn report_lease_changes(&mut self, now: Time, commands: &mut Vec<Command>) {
        let is_held = self.lease.is_held(now);
        if is_held != self.lease_was_held {
            self.lease_was_held = is_held;
            let event = if is_held { Event::LeaseHeld } else { Event::LeaseLapsed };
            commands.push(Command::Event(event));
        }
    }

    /// Updates the owned servers after a change of the row, the configuration or
    /// the host list.
    pub(crate) fn refresh_ownership(&mut self, now: Time) {
        let owned = self.row.owned_by(&self.settings.me);
        let owned: BTreeSet<Name> = owned.map(|(name, _)| name.clone()).collect();
        let owned_before = self.admissions.owned();
        self.admissions.set_owned(now, &self.catalog, &owned);
        self.admissions.mark_draining(&self.leaving_backends);
        self.inherited.retain(|name, _| owned.contains(name));
        for name in owned.difference(&owned_before) {
            let from = self.row.grants.get(name).and_then(|grant| grant.from.clone());
            let inherited = InheritedServer {
                from,
                epoch: self.row.epoch,
                taken_over_at: now,
                released: self.row.released,
                reported: None,
                probed_requests: None,
            };
            self.inherited.insert(name.clone(), inherited);
        }
        self.update_row_owners();
        self.update_reserved_slots(now);
    }

    /// Updates the list of owners that requests may be sent to although they are
    /// not partners.
    fn update_row_owners(&mut self) {
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

    fn wake_waiting_requests(&mut self, now: Time, commands: &mut Vec<Command>) {
        let catalog = self.catalog.clone();
        for id in (0..catalog.services.len() as u32).map(ServiceId) {
            let woken = self.admissions.wake_waiting(now, &catalog, id);
            commands.extend(woken.into_iter().map(Command::Wake));
        }
    }
}
