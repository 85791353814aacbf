//! The decisions of one host, and its requests.
//!
//! `store_reads` takes in the store, `gossip` the other hosts.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use elmstream::time::{SECOND, Time};

use crate::{
    budget::Budgets,
    digest::RequestDigest,
    era::Retention,
    hash,
    host_registry::Registry,
    leaving::LeavingServers,
    lookup::{self, ReadyHost},
    members::Members,
    model::{Limits, Route},
    pick::{self, Pick, PickContext, PickRequest},
    poison::{PoisonChange, PoisonTracker},
    quota::{self, QuotaDecision, Quotas},
    reader_rank::FAR_MS,
    region_shares::{DecayingCount, RegionShares},
    returning_callers::ReturningCallers,
    rollout::{RolloutArm, RolloutStage},
    rollout_control::Rollouts,
    routes::RouteTable,
    servers::{Outcome, ServerIndex, ServerTable},
    settings::{Bounds, Settings},
    store_schedule::StoreSchedule,
    tally::FleetView,
    version::StoreVersion,
    view::{REQUIRED_TABLES, RowKey, Table, View},
    warm_keys::WarmKeys,
    workspaces::{Denial, PresentedKey, WorkspaceEntry, WorkspaceTable},
};

/// Part of a rest by which it is longer at most.
const REST_SPREAD: f64 = 0.1;

/// What a host decides with.
#[derive(Debug)]
pub struct Steer {
    pub(crate) settings: Settings,
    pub(crate) hash: u64,
    /// Hash of this start.
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
    pub(crate) region_shares: HashMap<String, RegionShares>,
    pub(crate) shares_updated: Time,
    pub(crate) warm_keys: WarmKeys,
    pub(crate) members: Members,
    pub(crate) budgets: Budgets,
    pub(crate) poison: PoisonTracker,
    pub(crate) returning_callers: ReturningCallers,
    pub(crate) rollouts: Rollouts,
    pub(crate) heartbeat_number: u64,
    pub(crate) store_schedule: StoreSchedule,
    pub(crate) registry: Registry,
    /// Whether hosts that start ask this one first.
    pub(crate) is_seed: bool,
    /// Whether a host that this one asked could tell it nothing.
    pub(crate) has_uninformed_peer: bool,
    /// News of each table that others know and this host lacks.
    pub(crate) pending_news: [Option<PendingNews>; 3],
    /// Version of each table that this host has itself read the store up to.
    pub(crate) read_up_to: [StoreVersion; 3],
    /// What hosts told of that holds on from an earlier era, as
    /// [`crate::heartbeat::TableStatus::retained_digest`] names it.
    pub(crate) merged_retained: HashSet<u32>,
    pub(crate) store_ms: u16,
    pub(crate) ready: bool,
    /// News that hosts must not wait for have come since the last beat.
    pub(crate) urgent: bool,
    pub(crate) leaving: bool,
    pub(crate) lenient_until: Time,
    /// Hosts that are live, this one included.
    pub(crate) live_hosts: usize,
    /// Those of them whose regions are not lost.
    pub(crate) reachable: usize,
    /// Those of them that are in this host's region.
    pub(crate) near_live: usize,
    /// Hosts that may be running, this one included, as far as any live host knows.
    pub(crate) fleet_size: usize,
    /// Hashes of the addresses of hosts that may be running, with this one's first.
    pub(crate) address_hashes: Vec<u64>,
}

/// News that another host told of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingNews {
    /// Version of the table that the other host knows.
    pub(crate) version: StoreVersion,
    /// When it was first told.
    pub(crate) told_at: Time,
}

/// What a change of the view brought about, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// A configuration is in force.
    Configuration(u64),
    /// A failure domain is evacuated, or taken back.
    Evacuation(String, bool),
    /// A server came, changed, left or fell silent.
    Server(String, ServerState),
    /// A host is no longer heard of.
    HostLost(String),
    /// The store has come back from a copy.
    StoreRestored(StoreRestored),
    /// What held on from an earlier era of the store does no longer; what the store says is
    /// in force.
    RetentionEnded(RowKey),
    /// A service is to be rolled out to a version, or that has come so far.
    Rollout {
        /// The service.
        service: String,
        /// The version; none if the order was taken back.
        target: Option<String>,
        /// How far it has come; none if it has not begun.
        stage: Option<RolloutStage>,
    },
}

/// What a host found as it first knew a table of a new era of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRestored {
    /// The table.
    pub table: Table,
    /// Version up to which the table was known in the era before.
    pub before: StoreVersion,
    /// The same in the new era.
    pub version: StoreVersion,
    /// Rows that are in force in another way since.
    pub changed: usize,
    /// Rows that hold on against what the store says.
    pub retained: Vec<RowKey>,
}

/// What a host believes of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// The store lists it.
    Ready,
    /// It is about to leave.
    Draining,
    /// The store lost it while it was away itself; it is still used for a while.
    Lapsed,
    /// The store does not list it.
    Gone,
    /// What the store says of it cannot be read.
    Unreadable,
    /// Another start has come under its id.
    Restarted,
    /// It does not answer, or takes no connection.
    Silent,
    /// It answers again.
    Answers,
}

impl ServerState {
    /// Its name in logs.
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
    /// A host that has just started and knows nothing.
    pub fn new(settings: Settings, now: Time) -> Steer {
        let hash = hash::of(&settings.host.name);
        let reader = hash::combine(hash, settings.incarnation);
        let members = Members::new(&settings.host.region);
        let place = hash::address(settings.host.peers);
        Steer {
            settings,
            hash,
            start_hash: reader,
            started: now,
            view: View::default(),
            routes: RouteTable::default(),
            workspaces: WorkspaceTable::default(),
            quotas: Quotas::new(reader, now),
            evacuated: BTreeSet::new(),
            cold_settings: HashMap::new(),
            servers: ServerTable::default(),
            leaving_servers: LeavingServers::default(),
            demand_counts: HashMap::new(),
            region_shares: HashMap::new(),
            shares_updated: Time(0),
            warm_keys: WarmKeys::default(),
            members,
            budgets: Budgets::new(reader),
            poison: PoisonTracker::default(),
            returning_callers: ReturningCallers::default(),
            rollouts: Rollouts::new(reader),
            heartbeat_number: 0,
            store_schedule: StoreSchedule::default(),
            registry: Registry::default(),
            is_seed: false,
            has_uninformed_peer: false,
            pending_news: [None; 3],
            read_up_to: [StoreVersion::default(); 3],
            merged_retained: HashSet::new(),
            store_ms: FAR_MS,
            ready: false,
            urgent: false,
            leaving: false,
            lenient_until: Time(0),
            live_hosts: 1,
            reachable: 1,
            near_live: 1,
            fleet_size: 1,
            address_hashes: vec![place],
        }
    }

    /// What an earlier era of the store said holds on for other times than usual.
    pub fn set_retention(&mut self, holds: Retention) {
        self.view.set_retention(holds);
    }

    /// Settings of the host.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Failure domains and bounds have changed.
    pub fn reconfigure(&mut self, domains: BTreeMap<String, String>, bounds: Bounds) {
        self.settings.domains = domains;
        self.settings.bounds = bounds;
    }

    /// What is known of the store.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The servers.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// The other hosts.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Version of the configuration in force; none if none is known.
    pub fn version(&self) -> Option<u64> {
        self.view.configuration().map(|configuration| configuration.version)
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> Limits {
        self.view.configuration().map(|configuration| configuration.limits).unwrap_or_default()
    }

    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.routes.find(host, path)
    }

    /// Whether callers can be served.
    pub fn serves(&self) -> bool {
        let knows =
            self.version().is_some() && self.view.watermark(Table::Servers).confirmed_at.is_some();
        // A host that starts during a roll-out does not know yet which servers are used.
        knows && !self.leaving && (self.ready || !self.awaits_rollout_progress())
    }

    /// Hosts that start ask this one first, so it does not wait for others itself.
    pub fn mark_as_seed(&mut self) {
        self.is_seed = true;
    }

    /// A host that this one asked knows nothing itself, or did not answer.
    pub fn record_uninformed_peer(&mut self) {
        self.has_uninformed_peer = true;
    }

    /// The host is about to stop.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    // Workspaces.

    /// Workspaces of the configuration in force.
    pub fn workspaces(&self) -> &WorkspaceTable {
        &self.workspaces
    }

    /// The workspace of a request; none if its route is open and no key says so.
    ///
    /// # Errors
    ///
    /// The request is not let in.
    pub fn authenticate(
        &self,
        now: Time,
        route: &Route,
        shown: PresentedKey,
    ) -> Result<Option<Rc<WorkspaceEntry>>, Denial> {
        self.workspaces.authenticate(route, shown, self.can_deny_routes(now))
    }

    /// Rules on a request of a workspace by its limit, and counts it if it is within.
    pub fn admit(&mut self, now: Time, member: &WorkspaceEntry) -> QuotaDecision {
        self.with_quotas(now, |quotas, scene, _| quotas.admit(scene, member))
    }

    /// A request that was within its limit is sent to one more server.
    pub fn record_workspace_retry(&mut self, now: Time, member: &WorkspaceEntry) {
        self.with_quotas(now, |quotas, scene, _| quotas.record_retry(scene, member));
    }

    /// A request that was within its limit was run by no server.
    pub fn refund_workspace(&mut self, now: Time, member: &WorkspaceEntry) {
        self.with_quotas(now, |quotas, scene, _| quotas.refund(scene, member));
    }

    /// Workspaces whose requests are held back, and those that nobody sums, for metrics.
    pub fn quota_counts(&self, now: Time) -> (usize, usize) {
        (self.quotas.throttled_count(now), self.quotas.unanswered_count())
    }

    /// Does something with the quotas and what they rest on.
    pub(crate) fn with_quotas<T>(
        &mut self,
        now: Time,
        act: impl FnOnce(&mut Quotas, &quota::QuotaContext<'_>, &WorkspaceTable) -> T,
    ) -> T {
        let scene = quota::QuotaContext {
            now,
            bounds: &self.settings.bounds,
            fleet: FleetView {
                possibly_running: self.fleet_size,
                live: self.reachable,
                near_live: self.near_live,
            },
            hosts_known: self.registry.is_known(),
            address_hashes: &self.address_hashes,
        };
        act(&mut self.quotas, &scene, &self.workspaces)
    }

    // Requests.

    /// Chooses the server of a request and counts it as sent.
    pub fn pick_server(&mut self, now: Time, ask: &PickRequest<'_>) -> Pick {
        let arm = self.pick_rollout_arm(now, ask);
        let mut choice = self.choose(now, ask, arm);
        let falls_back = matches!(arm, RolloutArm::Canary | RolloutArm::Target)
            && !self.traffic_shifted(ask.service);
        if matches!(choice, Pick::Refuse(_)) && falls_back {
            choice = self.choose(now, ask, RolloutArm::Old);
        }
        if let Pick::Send(index) = choice
            && let Some(entry) = self.servers.get_mut(index)
        {
            entry.record_sent(now);
            self.record_canary_request(ask.service, &ask.route.name, index);
        }
        choice
    }

    fn choose(&self, now: Time, ask: &PickRequest<'_>, arm: RolloutArm) -> Pick {
        let host = &self.settings.host;
        let empty = RegionShares::default();
        let scene = PickContext {
            rollout_arm: arm,
            now,
            started: self.started,
            location: (&host.domain, &host.region),
            servers: &self.servers,
            evacuated: &self.evacuated,
            live_hosts: self.live_hosts,
            hosts_known: self.registry.is_known(),
            region_shares: self.region_shares.get(ask.service).unwrap_or(&empty),
            warm_keys: &self.warm_keys,
        };
        pick::pick_server(&scene, ask)
    }

    /// Takes in what became of a request that was sent.
    pub fn record_outcome(&mut self, now: Time, index: ServerIndex, outcome: Outcome) {
        self.servers.record_outcome(now, index, outcome);
    }

    /// Takes in what a server said of its load.
    pub fn record_server_load(&mut self, now: Time, index: ServerIndex, requests: u32) {
        if let Some(entry) = self.servers.get_mut(index) {
            entry.record_load(now, requests);
        }
    }

    /// A server said in an answer that it is about to leave; whether that is new.
    pub fn on_server_leaving(&mut self, now: Time, index: ServerIndex) -> bool {
        let start = self.servers.get(index).map(|entry| entry.start_hash());
        start.is_some_and(|start| self.record_leaving(now, start).is_some())
    }

    /// Whether what a server has said since it was chosen still lets a request go there.
    ///
    /// A connection may take 0.4 s to come up.
    pub fn still_accepts(&self, now: Time, index: ServerIndex) -> bool {
        self.servers.get(index).is_some_and(|entry| !entry.leaving && !entry.is_backing_off(now))
    }

    /// A server turned a request away and wants nothing from this host for a time; whether
    /// it was not at rest before.
    pub fn on_server_backoff(&mut self, now: Time, index: ServerIndex, rest: Duration) -> bool {
        let Some(entry) = self.servers.get_mut(index) else { return false };
        // Servers that turn all hosts away at once do not get them all back at once.
        let draw = hash::unit_interval(hash::combine(self.hash, entry.hash ^ now.0));
        let spread = 1.0 + REST_SPREAD * draw;
        entry.back_off(now, (rest.as_micros() as f64 * spread) as u64)
    }

    /// A server works on a request of a key; whether it was taken to know it.
    ///
    /// It counts as knowing it from then on, so that the key's next requests, from
    /// other hosts too, do not meet yet another server.
    pub fn record_warm_key(&mut self, now: Time, index: ServerIndex, key: u64) -> bool {
        let knew = self.warm_keys.is_warm(now, index, key);
        if let Some(entry) = self.servers.get(index) {
            self.warm_keys.record(now, (index, entry.hash as u32), key);
        }
        knew
    }

    /// Whether a server is taken to know a key.
    pub fn is_warm(&self, now: Time, index: ServerIndex, key: u64) -> bool {
        self.warm_keys.is_warm(now, index, key)
    }

    /// A request of a service came, which earns a part of a repeat.
    pub fn deposit_retry(&mut self, now: Time, service: &str) {
        if let Some(count) = self.demand_counts.get_mut(service) {
            count.add(now);
        } else {
            self.demand_counts.entry(service.to_owned()).or_default().add(now);
        }
        let bounds = &self.settings.bounds;
        self.budgets.deposit(
            service,
            bounds.retry_ratio,
            bounds.retry_slack,
            self.address_hashes.len(),
        );
    }

    /// Whether a request of a route, whose caller waits so many milliseconds, most
    /// likely comes from one who was refused before.
    pub fn is_returning(&mut self, now: Time, route: &str, left_ms: u64) -> bool {
        self.returning_callers.is_returning(now, route, left_ms)
    }

    /// Whether the budget has a repeat left for a service.
    pub fn can_retry(&mut self, service: &str) -> bool {
        self.budgets.can_withdraw(service)
    }

    /// Spends a repeat of a service's budget, if there is one.
    pub fn withdraw_retry(&mut self, service: &str) -> bool {
        self.budgets.withdraw(service)
    }

    // Requests under which servers end.

    /// What is known of them.
    pub fn poison(&self) -> &PoisonTracker {
        &self.poison
    }

    /// The same, to be changed; what other hosts must know is told by [`Steer::on_server_crash`].
    pub fn poison_mut(&mut self) -> &mut PoisonTracker {
        &mut self.poison
    }

    /// A server ended under a request, which was sent when so many generations of
    /// endings were `known`.
    pub fn on_server_crash(
        &mut self,
        now: Time,
        unix_s: u64,
        digest: RequestDigest,
        server: u64,
        known: u8,
    ) -> PoisonChange {
        self.mark_server_crashed(now, server);
        let turn = self.poison.record_crash(now, unix_s, digest, server, known);
        self.urgent |= turn != PoisonChange::None;
        turn
    }

    // Look-ups.

    /// Entry hosts for callers of a failure domain who want a host name.
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

    /// How old what is known of the store is, in microseconds.
    pub fn staleness(&self, now: Time) -> u64 {
        let ages = REQUIRED_TABLES.map(|table| self.view.age(now, table).unwrap_or(60 * SECOND));
        ages[0].max(ages[1])
    }
}
