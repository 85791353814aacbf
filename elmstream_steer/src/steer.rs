//! State of one host and its decisions about requests.
//!
//! The `store_reads` module merges what the store returns, and `gossip` the messages of other
//! hosts.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    announcements::Announcements,
    budget::{Budgets, Withdrawal},
    demand::DecayingCount,
    digest::RequestDigest,
    domain_split::TransferSize,
    era::Retention,
    hash,
    homes::HomeRegions,
    host_registry::Registry,
    leaving::LeavingServers,
    lookup::{self, ReadyHost},
    members::Members,
    model::{EntryNumber, Limits, Route},
    observation::Observation,
    pick::{self, Pick, PickContext, PickRequest},
    placement::{OwnShares, ServicePlacement},
    poison::{PoisonChange, PoisonTracker},
    policies::Policies,
    quota::{self, QuotaDecision, Quotas},
    reader_rank::UNMEASURED_READ_MS,
    refusal_rate::ServiceRefusals,
    retry_worth::{RetryRequest, RetryWorth},
    returning_callers::ReturningCallers,
    rollout::{RolloutArm, RolloutStage},
    rollout_control::Rollouts,
    routes::RouteTable,
    server_speed::SpeedSource,
    servers::{Outcome, ServerIndex, ServerTable},
    settings::{Bounds, Settings},
    store_schedule::StoreSchedule,
    tally::FleetView,
    version::StoreVersion,
    view::{REQUIRED_TABLES, RowKey, Table, View},
    warm_keys::WarmKeys,
    workspaces::{Denial, PresentedKey, WorkspaceEntry, WorkspaceTable},
};

/// Largest part by which a back-off that a server asks for is lengthened.
const BACK_OFF_JITTER: f64 = 0.1;

/// State and decisions of one entry host.
///
/// All times are passed in by the caller, so that the state can be driven by a virtual clock.
#[derive(Debug)]
pub struct Steer {
    pub(crate) settings: Settings,
    pub(crate) hash: u64,
    /// Hash of the host's name and incarnation, which differs for each start.
    pub(crate) start_hash: u64,
    pub(crate) started: Time,
    pub(crate) view: View,
    pub(crate) routes: RouteTable,
    pub(crate) workspaces: WorkspaceTable,
    pub(crate) quotas: Quotas,
    pub(crate) evacuated: BTreeSet<String>,
    pub(crate) cold_settings: HashMap<String, (u64, f64)>,
    pub(crate) servers: ServerTable,
    pub(crate) leaving_servers: LeavingServers,
    pub(crate) demand_counts: HashMap<String, DecayingCount>,
    /// Bytes of requests and answers, by service.
    pub(crate) transfer_sizes: HashMap<String, TransferSize>,
    /// Division of each service's keys.
    pub(crate) placements: HashMap<String, ServicePlacement>,
    pub(crate) placements_updated_at: Time,
    pub(crate) warm_keys: WarmKeys,
    pub(crate) members: Members,
    pub(crate) budgets: Budgets,
    pub(crate) refusals: ServiceRefusals,
    pub(crate) poison: PoisonTracker,
    pub(crate) returning_callers: ReturningCallers,
    pub(crate) rollouts: Rollouts,
    pub(crate) heartbeat_number: u64,
    pub(crate) store_schedule: StoreSchedule,
    pub(crate) registry: Registry,
    /// Whether starting hosts contact this one first.
    pub(crate) is_seed: bool,
    /// Whether a peer that this host asked could not provide any table.
    pub(crate) has_uninformed_peer: bool,
    /// For each table, newer versions that other hosts have announced and this host lacks.
    pub(crate) announcements: [Announcements; 3],
    /// For each table, the version up to which this host has itself read the store.
    pub(crate) read_up_to: [StoreVersion; 3],
    /// Digests of retained rows that this host has already merged from others, as in
    /// [`crate::heartbeat::TableStatus::retained_digest`].
    pub(crate) merged_retained_digests: HashSet<u32>,
    pub(crate) store_ms: u16,
    pub(crate) ready: bool,
    /// Whether a change since the last heartbeat is to be sent without waiting for the next round.
    pub(crate) urgent: bool,
    pub(crate) leaving: bool,
    /// Until when servers whose entries the store removes stay in use, as they may have lost them
    /// in an outage of the store.
    pub(crate) lapses_at: Time,
    pub(crate) observation: Observation,
    /// Number of live hosts, including this one.
    pub(crate) live_hosts: usize,
    /// Number of live hosts in regions that are reachable, including this one.
    pub(crate) reachable_hosts: usize,
    /// Number of live hosts in this host's region, including this one.
    pub(crate) near_live_hosts: usize,
    /// Highest number of possibly running hosts that any live host reports, including this one.
    pub(crate) fleet_size: usize,
    /// Address hashes of hosts that may be running; the first one is this host's own.
    pub(crate) address_hashes: Vec<u64>,
}

/// A change of state, reported for logging.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// The configuration with this version came into force.
    Configuration(u64),
    /// The evacuation of a failure domain began (`true`) or ended (`false`).
    Evacuation(String, bool),
    /// A server was added, changed, left or became unreachable.
    Server(String, ServerState),
    /// A server began or ceased to work slowly, by its own reports.
    ServerSpeed {
        /// Id of the server.
        id: String,
        /// Whether it works slowly now.
        is_slow: bool,
        /// Expected time of work as a factor of the usual time.
        factor: f64,
    },
    /// This host's paths to the servers of a service count as cut, or no longer do.
    ServicePath {
        /// Name of the service.
        service: String,
        /// Whether they are cut.
        is_cut: bool,
    },
    /// A host, given by its name, is no longer live.
    HostLost(String),
    /// The store was restored from a backup.
    StoreRestored(StoreRestored),
    /// The store answers again after no host could read it.
    StoreAway {
        /// Age of this host's servers table, in microseconds.
        age_us: u64,
        /// The part of it in which this host did not run or heard no other host.
        unobserved_us: u64,
    },
    /// This host did not run for a while.
    Standstill {
        /// For how long, in microseconds.
        for_us: u64,
    },
    /// The parts of the own callers' requests that run in the host's place, in its region and
    /// elsewhere have changed much.
    Placement {
        /// Name of the service.
        service: String,
        /// The parts.
        shares: OwnShares,
    },
    /// Rows of a table were dropped because they had been deleted since they were read.
    RowsOutdated {
        /// The table.
        table: Table,
        /// Keys of the rows.
        keys: Vec<RowKey>,
    },
    /// The store completed an older entry of a server after a newer one, which stays in force.
    LateEntry {
        /// Id of the server.
        id: String,
        /// Number of the older entry.
        entry: EntryNumber,
        /// Number of the newest known entry.
        newest: EntryNumber,
    },
    /// The retention of a row against the store ended, and the row that the store holds came into
    /// force.
    RetentionEnded(RowKey),
    /// A rollout was ordered or withdrawn, or reached another stage.
    Rollout {
        /// Name of the service.
        service: String,
        /// Version to roll out; `None` if the order was withdrawn.
        target: Option<String>,
        /// Stage that the rollout has reached; `None` if it has not begun.
        stage: Option<RolloutStage>,
    },
}

impl StateChange {
    /// The change for rows that were dropped as deleted; `None` if there are none.
    pub(crate) fn rows_outdated(table: Table, keys: Vec<RowKey>) -> Option<StateChange> {
        (!keys.is_empty()).then_some(StateChange::RowsOutdated { table, keys })
    }
}

/// Effect of a restored store on one table, reported when the host first learns the table in the
/// new era.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRestored {
    /// The affected table.
    pub table: Table,
    /// Version up to which the table was known in the previous era.
    pub before: StoreVersion,
    /// Version up to which the table is known in the new era.
    pub version: StoreVersion,
    /// Number of state changes that the new contents caused.
    pub changed: usize,
    /// Rows of the earlier era that stay in force against the restored store.
    pub retained: Vec<RowKey>,
}

/// State of a backend server as seen by a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// Listed by the store and in use.
    Ready,
    /// Listed by the store as about to leave.
    Draining,
    /// No longer listed after an outage of the store; still used for a grace period.
    Lapsed,
    /// Not listed by the store.
    Gone,
    /// Listed with an entry that cannot be parsed.
    Unreadable,
    /// Another instance has started under the same id.
    Restarted,
    /// Does not answer, or accepts no connections.
    Silent,
    /// Answers again after it was silent.
    Answers,
}

impl ServerState {
    /// The state's name in the event log.
    pub fn name(self) -> &'static str {
        match self {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
            ServerState::Lapsed => "lapsed",
            ServerState::Gone => "gone",
            ServerState::Unreadable => "unreadable",
            ServerState::Restarted => "restarted",
            ServerState::Silent => "silent",
            ServerState::Answers => "answers",
        }
    }
}

impl Steer {
    /// Creates the state of a host that has just started and has no data.
    pub fn new(settings: Settings, now: Time) -> Steer {
        let hash = hash::of(&settings.host.name);
        let start_hash = hash::combine(hash, settings.incarnation);
        let members = Members::new(&settings.host.region);
        let own_address_hash = hash::address(settings.host.peers);
        let mut servers = ServerTable::default();
        servers.set_report_decay(settings.policies.speed.report_decay_ms * MILLI);
        Steer {
            settings,
            hash,
            start_hash,
            started: now,
            view: View::default(),
            routes: RouteTable::default(),
            workspaces: WorkspaceTable::default(),
            quotas: Quotas::new(start_hash, now),
            evacuated: BTreeSet::new(),
            cold_settings: HashMap::new(),
            servers,
            leaving_servers: LeavingServers::default(),
            demand_counts: HashMap::new(),
            transfer_sizes: HashMap::new(),
            placements: HashMap::new(),
            placements_updated_at: Time(0),
            warm_keys: WarmKeys::default(),
            members,
            budgets: Budgets::new(start_hash),
            refusals: ServiceRefusals::default(),
            poison: PoisonTracker::default(),
            returning_callers: ReturningCallers::default(),
            rollouts: Rollouts::new(start_hash),
            heartbeat_number: 0,
            store_schedule: StoreSchedule::default(),
            registry: Registry::default(),
            is_seed: false,
            has_uninformed_peer: false,
            announcements: Default::default(),
            read_up_to: [StoreVersion::default(); 3],
            merged_retained_digests: HashSet::new(),
            store_ms: UNMEASURED_READ_MS,
            ready: false,
            urgent: false,
            leaving: false,
            lapses_at: Time(0),
            observation: Observation::new(now),
            live_hosts: 1,
            reachable_hosts: 1,
            near_live_hosts: 1,
            fleet_size: 1,
            address_hashes: vec![own_address_hash],
        }
    }

    /// Replaces the default retention times of rows from an earlier era of the store.
    pub fn set_retention(&mut self, retention: Retention) {
        self.view.set_retention(retention);
    }

    /// Settings of the host.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies changed failure domains, bounds and policies.
    pub fn reconfigure(
        &mut self,
        domains: BTreeMap<String, String>,
        bounds: Bounds,
        policies: Policies,
    ) {
        self.servers.set_regions(&domains);
        self.settings.domains = domains;
        self.settings.bounds = bounds;
        self.settings.policies = policies;
        self.servers.set_report_decay(policies.speed.report_decay_ms * MILLI);
        if !policies.retries.by_worth {
            self.budgets.clear_order();
            self.refusals = ServiceRefusals::default();
        }
    }

    /// The store's contents as known to this host.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The backend servers.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// The other hosts.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Version of the configuration in force; `None` if no configuration is known.
    pub fn configuration_version(&self) -> Option<u64> {
        self.view.configuration().map(|configuration| configuration.version)
    }

    /// Limits on caller requests; the defaults if no configuration is known.
    pub fn limits(&self) -> Limits {
        self.view.configuration().map(|configuration| configuration.limits).unwrap_or_default()
    }

    /// Finds the route for a host name and path.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.routes.find(host, path)
    }

    /// Home regions of a request to a host name and path of the workspace with an id, if the
    /// configuration in force is newer than the one that `known` is of.
    pub fn newer_homes(
        &self,
        target: (&str, &str),
        workspace: Option<u64>,
        known: &HomeRegions,
    ) -> Option<HomeRegions> {
        let version = self.configuration_version().filter(|version| *version > known.version)?;
        Some(known.updated(version, (&self.routes, &self.workspaces), target, workspace))
    }

    /// Whether the host can serve callers.
    pub fn serves(&self) -> bool {
        let knows = self.configuration_version().is_some()
            && self.view.watermark(Table::Servers).confirmed_at.is_some();
        // During a rollout, a starting host must first learn which servers are in use.
        knows && !self.leaving && (self.ready || !self.awaits_rollout_progress())
    }

    /// Marks this host as one that starting hosts contact first. It reads the store itself instead
    /// of waiting for peers.
    pub fn mark_as_seed(&mut self) {
        self.is_seed = true;
    }

    /// Records that a peer could not provide any table or did not answer.
    pub fn record_uninformed_peer(&mut self) {
        self.has_uninformed_peer = true;
    }

    /// Records that the host is about to stop.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    // Workspaces.

    /// Workspaces of the configuration in force.
    pub fn workspaces(&self) -> &WorkspaceTable {
        &self.workspaces
    }

    /// Finds the workspace of a request; `None` if the route is open and the request has no key
    /// that identifies a workspace, or if there are no workspaces.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not admitted.
    pub fn authenticate(
        &self,
        now: Time,
        route: &Route,
        presented_key: PresentedKey,
    ) -> Result<Option<Rc<WorkspaceEntry>>, Denial> {
        self.workspaces.authenticate(route, presented_key, self.can_deny_routes(now))
    }

    /// Decides whether a workspace's limit admits a request, and counts the request if it does.
    pub fn admit(&mut self, now: Time, workspace: &WorkspaceEntry) -> QuotaDecision {
        self.with_quotas(now, |quotas, context, _| quotas.admit(context, workspace))
    }

    /// Counts an additional attempt of an admitted request at another server.
    pub fn record_workspace_retry(&mut self, now: Time, workspace: &WorkspaceEntry) {
        self.with_quotas(now, |quotas, context, _| quotas.record_retry(context, workspace));
    }

    /// Returns the usage of an admitted request that no server ran.
    pub fn refund_workspace(&mut self, now: Time, workspace: &WorkspaceEntry) {
        self.with_quotas(now, |quotas, context, _| quotas.refund(context, workspace));
    }

    /// Number of throttled workspaces and of workspaces whose usage reports are unanswered, for
    /// metrics.
    pub fn quota_counts(&self, now: Time) -> (usize, usize) {
        (self.quotas.throttled_count(now), self.quotas.unanswered_count())
    }

    /// Runs `action` with the quotas, their current context and the workspaces.
    pub(crate) fn with_quotas<T>(
        &mut self,
        now: Time,
        action: impl FnOnce(&mut Quotas, &quota::QuotaContext<'_>, &WorkspaceTable) -> T,
    ) -> T {
        let context = quota::QuotaContext {
            now,
            bounds: &self.settings.bounds,
            fleet: FleetView {
                possibly_running: self.fleet_size,
                live: self.reachable_hosts,
                near_live: self.near_live_hosts,
            },
            hosts_known: self.registry.is_known(),
            address_hashes: &self.address_hashes,
        };
        action(&mut self.quotas, &context, &self.workspaces)
    }

    // Requests.

    /// Picks the server for a request and counts the request as sent.
    ///
    /// If no server of the canary or the target version accepts a request, the old version is tried
    /// unless all traffic has shifted.
    pub fn pick_server(&mut self, now: Time, request: &PickRequest<'_>) -> Pick {
        let arm = self.pick_rollout_arm(now, request);
        let mut picked = self.pick_from_arm(now, request, arm);
        let falls_back = matches!(arm, RolloutArm::Canary | RolloutArm::Target)
            && !self.traffic_shifted(request.service);
        if matches!(picked, Pick::Refuse(_)) && falls_back {
            picked = self.pick_from_arm(now, request, RolloutArm::Old);
        }
        if let Pick::Send(index) = picked
            && let Some(entry) = self.servers.get_mut(index)
        {
            entry.record_sent(now, self.warm_keys.is_warm(now, index, request.key));
            self.record_canary_request(request.service, &request.route.name, index);
        }
        picked
    }

    fn pick_from_arm(&self, now: Time, request: &PickRequest<'_>, arm: RolloutArm) -> Pick {
        pick::pick_server(&self.pick_context(now, request.service, arm), request)
    }

    /// State that the selection of a service's server depends on.
    pub(crate) fn pick_context(
        &self,
        now: Time,
        service: &str,
        arm: RolloutArm,
    ) -> PickContext<'_> {
        let host = &self.settings.host;
        PickContext {
            rollout_arm: arm,
            now,
            started: self.started,
            location: (&host.domain, &host.region),
            servers: &self.servers,
            evacuated: &self.evacuated,
            live_hosts: self.live_hosts,
            hosts_known: self.registry.is_known(),
            placement: self.placements.get(service),
            policy: self.settings.policies.placement,
            warm_keys: &self.warm_keys,
            refusals: self.refusal_outlook(now, service),
        }
    }

    /// Parts of the own callers' requests by where they run, by service.
    pub fn placement_shares(&self) -> impl Iterator<Item = (&str, OwnShares)> {
        self.placements.iter().map(|(service, placement)| (service.as_str(), placement.shares()))
    }

    /// Records the outcome of a request that was sent to a server.
    pub fn record_outcome(&mut self, now: Time, index: ServerIndex, outcome: Outcome) {
        let outcome = self.refusal_outcome(now, index, outcome);
        self.count_refusal(now, index, outcome);
        self.servers.record_outcome(now, index, outcome);
    }

    /// Counts `bytes` of a request's body as in flight to a server, which gets no further requests
    /// while it holds `bytes_max` or more; 0 for no bound.
    pub fn add_body_in_flight(&mut self, index: ServerIndex, bytes: u64, bytes_max: u64) {
        if let Some(entry) = self.servers.get_mut(index) {
            entry.add_body_in_flight(bytes, bytes_max);
        }
    }

    /// Takes back [`Steer::add_body_in_flight`] after the request.
    pub fn remove_body_in_flight(&mut self, index: ServerIndex, bytes: u64) {
        if let Some(entry) = self.servers.get_mut(index) {
            entry.remove_body_in_flight(bytes);
        }
    }

    /// Records the load that a server reported, in requests.
    pub fn record_server_load(&mut self, now: Time, index: ServerIndex, requests: u32) {
        if let Some(entry) = self.servers.get_mut(index) {
            entry.record_load(now, requests);
        }
    }

    /// Records how fast a server reported to this host that it works, in percent of the usual time.
    /// The report that comes with an answer is recorded before the outcome of the request.
    pub fn record_server_speed(
        &mut self,
        now: Time,
        index: ServerIndex,
        percent: u16,
        source: SpeedSource,
    ) {
        self.servers.record_speed(now, index, (percent, 0), source);
    }

    /// Records that a server announced in an answer that it is leaving. Returns whether this is
    /// new.
    pub fn on_server_leaving(&mut self, now: Time, index: ServerIndex) -> bool {
        let start = self.servers.get(index).map(|entry| entry.start_hash());
        start.is_some_and(|start| self.record_leaving(now, start).is_some())
    }

    /// Whether a server still accepts a request that was assigned to it earlier.
    ///
    /// It may have announced that it is leaving or asked for a back-off since, as opening a
    /// connection can take 0.4 s.
    pub fn still_accepts(&self, now: Time, index: ServerIndex) -> bool {
        self.servers.get(index).is_some_and(|entry| !entry.leaving && !entry.is_backing_off(now))
    }

    /// Records that a server refused a request and asked this host to back off for `pause`. Returns
    /// whether the server was not already in a back-off.
    pub fn on_server_backoff(&mut self, now: Time, index: ServerIndex, pause: Duration) -> bool {
        let Some(entry) = self.servers.get_mut(index) else { return false };
        // Spreads the end of the back-off over hosts, so that a server that refused all of them is
        // not sent all their requests at once.
        let fraction = hash::unit_interval(hash::combine(self.hash, entry.hash ^ now.0));
        let stretch = 1.0 + BACK_OFF_JITTER * fraction;
        entry.back_off(now, (pause.as_micros() as f64 * stretch) as u64)
    }

    /// Marks a server as warm for a key that it is processing. Returns whether it was warm before.
    ///
    /// The mark is set before the answer arrives, so that the key's next requests, including those
    /// at other hosts, go to this server instead of warming another one.
    pub fn record_warm_key(&mut self, now: Time, index: ServerIndex, key: u64) -> bool {
        let was_warm = self.warm_keys.is_warm(now, index, key);
        if let Some(entry) = self.servers.get(index) {
            self.warm_keys.record(now, (index, entry.hash as u32), key);
        }
        was_warm
    }

    /// Whether a server is considered warm for a key.
    pub fn is_warm(&self, now: Time, index: ServerIndex, key: u64) -> bool {
        self.warm_keys.is_warm(now, index, key)
    }

    /// Records the bytes of the bodies of a request of a service and of its answer.
    pub fn record_transfer(&mut self, service: &str, bytes: u64) {
        if let Some(size) = self.transfer_sizes.get_mut(service) {
            size.record(bytes);
        } else {
            let mut size = TransferSize::default();
            size.record(bytes);
            self.transfer_sizes.insert(service.to_owned(), size);
        }
    }

    /// Counts a request of a service, which deposits a fraction of a retry into the service's
    /// budget.
    pub fn deposit_retry(&mut self, now: Time, service: &str) {
        if let Some(count) = self.demand_counts.get_mut(service) {
            count.add(now);
        } else {
            self.demand_counts.entry(service.to_owned()).or_default().add(now);
        }
        let Bounds { retry_ratio: ratio, retry_slack: slack, .. } = self.settings.bounds;
        let hosts = self.address_hashes.len();
        match self.settings.policies.retries.by_worth {
            true => self.budgets.deposit_in_order(now, service, ratio, slack, hosts),
            false => self.budgets.deposit(service, ratio, slack, hosts),
        }
    }

    /// Whether a request, whose caller waits `remaining_ms` milliseconds for an answer, most likely
    /// comes from a caller that was refused before.
    pub fn is_returning(&mut self, now: Time, route: &str, remaining_ms: u64) -> bool {
        self.returning_callers.is_returning(now, route, remaining_ms)
    }

    /// Value of a second send of a request that was sent to the servers in `request.tried`.
    pub fn retry_worth(
        &self,
        request: &PickRequest<'_>,
        may_have_run: bool,
        retry_after_ms: u64,
    ) -> RetryWorth {
        RetryWorth::of(&RetryRequest {
            returning: request.returning,
            may_have_run,
            priority: request.priority,
            remaining_ms: request.remaining_ms,
            retry_after_ms,
            answer_ms: self.servers.answer_times(request.service).mean_ms,
        })
    }

    /// Whether a service's retry budget allows a retry to a request of a value. To be called once
    /// for each second send, as it counts the requests that need one.
    pub fn can_retry(&mut self, now: Time, service: &str, worth: RetryWorth) -> bool {
        self.budgets.record_asked(now, service, worth);
        self.budgets.can_withdraw_for(service, worth)
    }

    /// Takes one retry from a service's budget. Returns whether one was available.
    pub fn withdraw_retry(&mut self, service: &str, worth: RetryWorth) -> bool {
        self.budgets.withdraw_for(service, worth)
    }

    /// Takes one retry as [`Steer::withdraw_retry`] does, in a form that can be returned; `None` if
    /// none was available.
    pub fn take_retry(&mut self, service: &str, worth: RetryWorth) -> Option<Withdrawal> {
        self.budgets.take_for(service, worth)
    }

    /// Returns a retry to a service's budget that was taken and not made.
    pub fn return_retry(&mut self, service: &str, withdrawal: Withdrawal) {
        self.budgets.give_back(service, withdrawal);
    }

    // Requests that crash servers.

    /// Crashes of servers and the requests suspected of causing them.
    pub fn poison(&self) -> &PoisonTracker {
        &self.poison
    }

    /// Mutable access to [`Steer::poison`]. Crashes go through [`Steer::on_server_crash`], which
    /// also informs the other hosts.
    pub fn poison_mut(&mut self) -> &mut PoisonTracker {
        &mut self.poison
    }

    /// Records that a server crashed while it ran a request. `known_generations` is the number of
    /// crash generations that were known when the request was sent.
    pub fn on_server_crash(
        &mut self,
        now: Time,
        unix_s: u64,
        digest: RequestDigest,
        server: u64,
        known_generations: u8,
    ) -> PoisonChange {
        self.mark_server_crashed(now, server);
        let change = self.poison.record_crash(now, unix_s, digest, server, known_generations);
        self.urgent |= change != PoisonChange::None;
        change
    }

    // Lookups.

    /// Addresses of entry hosts for callers in a failure domain that look up a host name.
    pub fn lookup(&self, now: Time, name: &str, domain: &str, region: &str) -> Vec<SocketAddr> {
        let own = &self.settings.host;
        let mut hosts: Vec<ReadyHost<'_>> = Vec::new();
        if self.serves() {
            let (domain, region) = (own.domain.as_str(), own.region.as_str());
            hosts.push(ReadyHost { callers: own.callers, domain, region });
        }
        for member in self.members.live(now).filter(|member| member.ready && !member.leaving) {
            let host = &member.host;
            let (domain, region) = (host.domain.as_str(), host.region.as_str());
            hosts.push(ReadyHost { callers: host.callers, domain, region });
        }
        let configuration = self.view.configuration();
        let routes = configuration.into_iter().flat_map(|configuration| &configuration.routes);
        let homes = routes.filter(|route| route.host == name).flat_map(|route| &route.homes);
        let homes: Vec<String> = homes.cloned().collect();
        lookup::entry_hosts(&hosts, domain, region, &homes)
    }

    /// Age of this host's knowledge of the store in microseconds: that of its oldest required
    /// table.
    pub fn staleness(&self, now: Time) -> u64 {
        let ages = REQUIRED_TABLES.map(|table| self.view.age(now, table).unwrap_or(60 * SECOND));
        ages[0].max(ages[1])
    }
}
