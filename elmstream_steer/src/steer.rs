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
    pub(crate) reader: u64,
    pub(crate) started: Time,
    pub(crate) view: View,
    pub(crate) routes: RouteTable,
    pub(crate) workspaces: WorkspaceTable,
    pub(crate) quotas: Quotas,
    pub(crate) evacuated: BTreeSet<String>,
    pub(crate) cold: HashMap<String, (u64, f64)>,
    pub(crate) servers: ServerTable,
    pub(crate) leavings: LeavingServers,
    pub(crate) counts: HashMap<String, DecayingCount>,
    pub(crate) divisions: HashMap<String, RegionShares>,
    pub(crate) divided: Time,
    pub(crate) warmth: WarmKeys,
    pub(crate) members: Members,
    pub(crate) budgets: Budgets,
    pub(crate) harms: PoisonTracker,
    pub(crate) returns: ReturningCallers,
    pub(crate) rollouts: Rollouts,
    pub(crate) number: u64,
    pub(crate) calls: StoreSchedule,
    pub(crate) registry: Registry,
    /// Whether hosts that start ask this one first.
    pub(crate) asked_first: bool,
    /// Whether a host that this one asked could tell it nothing.
    pub(crate) untold: bool,
    /// News of each table that others know and this host lacks.
    pub(crate) behind: [Option<PendingNews>; 3],
    /// Version of each table that this host has itself read the store up to.
    pub(crate) covered: [StoreVersion; 3],
    /// What hosts told of that holds on from an earlier era, as
    /// [`crate::heartbeat::TableStatus::held`] names it.
    pub(crate) held_taken: HashSet<u32>,
    pub(crate) store_ms: u16,
    pub(crate) ready: bool,
    /// News that hosts must not wait for have come since the last beat.
    pub(crate) urgent: bool,
    pub(crate) leaving: bool,
    pub(crate) lenient_until: Time,
    /// Hosts that are live, this one included.
    pub(crate) live: usize,
    /// Those of them whose regions are not lost.
    pub(crate) heard: usize,
    /// Those of them that are in this host's region.
    pub(crate) near: usize,
    /// Hosts that may be running, this one included, as far as any live host knows.
    pub(crate) fleet: usize,
    /// Hashes of the addresses of hosts that may be running, with this one's first.
    pub(crate) places: Vec<u64>,
}

/// News that another host told of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingNews {
    /// Version of the table that the other host knows.
    pub(crate) version: StoreVersion,
    /// When it was first told.
    pub(crate) at: Time,
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
    StoreReturned(StoreRestored),
    /// What held on from an earlier era of the store does no longer; what the store says is
    /// in force.
    HoldEnded(RowKey),
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
    pub held: Vec<RowKey>,
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
            reader,
            started: now,
            view: View::default(),
            routes: RouteTable::default(),
            workspaces: WorkspaceTable::default(),
            quotas: Quotas::new(reader, now),
            evacuated: BTreeSet::new(),
            cold: HashMap::new(),
            servers: ServerTable::default(),
            leavings: LeavingServers::default(),
            counts: HashMap::new(),
            divisions: HashMap::new(),
            divided: Time(0),
            warmth: WarmKeys::default(),
            members,
            budgets: Budgets::new(reader),
            harms: PoisonTracker::default(),
            returns: ReturningCallers::default(),
            rollouts: Rollouts::new(reader),
            number: 0,
            calls: StoreSchedule::default(),
            registry: Registry::default(),
            asked_first: false,
            untold: false,
            behind: [None; 3],
            covered: [StoreVersion::default(); 3],
            held_taken: HashSet::new(),
            store_ms: FAR_MS,
            ready: false,
            urgent: false,
            leaving: false,
            lenient_until: Time(0),
            live: 1,
            heard: 1,
            near: 1,
            fleet: 1,
            places: vec![place],
        }
    }

    /// What an earlier era of the store said holds on for other times than usual.
    pub fn set_holds(&mut self, holds: Retention) {
        self.view.set_holds(holds);
    }

    /// Settings of the host.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Failure domains and bounds have changed.
    pub fn change(&mut self, domains: BTreeMap<String, String>, bounds: Bounds) {
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
        let knows = self.version().is_some() && self.view.mark(Table::Servers).fresh.is_some();
        // A host that starts during a roll-out does not know yet which servers are used.
        knows && !self.leaving && (self.ready || !self.lacks_progress())
    }

    /// Hosts that start ask this one first, so it does not wait for others itself.
    pub fn asked_first(&mut self) {
        self.asked_first = true;
    }

    /// A host that this one asked knows nothing itself, or did not answer.
    pub fn untold(&mut self) {
        self.untold = true;
    }

    /// The host is about to stop.
    pub fn leave(&mut self) {
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
    pub fn let_in(
        &self,
        now: Time,
        route: &Route,
        shown: PresentedKey,
    ) -> Result<Option<Rc<WorkspaceEntry>>, Denial> {
        self.workspaces.admit(route, shown, self.vouches(now))
    }

    /// Rules on a request of a workspace by its limit, and counts it if it is within.
    pub fn rule(&mut self, now: Time, member: &WorkspaceEntry) -> QuotaDecision {
        self.with_quotas(now, |quotas, scene, _| quotas.rule(scene, member))
    }

    /// A request that was within its limit is sent to one more server.
    pub fn sent_again(&mut self, now: Time, member: &WorkspaceEntry) {
        self.with_quotas(now, |quotas, scene, _| quotas.sent_again(scene, member));
    }

    /// A request that was within its limit was run by no server.
    pub fn not_run(&mut self, now: Time, member: &WorkspaceEntry) {
        self.with_quotas(now, |quotas, scene, _| quotas.not_run(scene, member));
    }

    /// Workspaces whose requests are held back, and those that nobody sums, for metrics.
    pub fn limits_seen(&self, now: Time) -> (usize, usize) {
        (self.quotas.held_back(now), self.quotas.unanswered())
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
            heard: FleetView { known: self.fleet, live: self.heard, near: self.near },
            hosts_known: self.registry.known(),
            places: &self.places,
        };
        act(&mut self.quotas, &scene, &self.workspaces)
    }

    // Requests.

    /// Chooses the server of a request and counts it as sent.
    pub fn send(&mut self, now: Time, ask: &PickRequest<'_>) -> Pick {
        let arm = self.arm(now, ask);
        let mut choice = self.choose(now, ask, arm);
        let falls_back =
            matches!(arm, RolloutArm::Canary | RolloutArm::Target) && !self.has_left(ask.service);
        if matches!(choice, Pick::Refuse(_)) && falls_back {
            choice = self.choose(now, ask, RolloutArm::Old);
        }
        if let Pick::Send(index) = choice
            && let Some(entry) = self.servers.get_mut(index)
        {
            entry.sent(now);
            self.sent_on_trial(ask.service, &ask.route.name, index);
        }
        choice
    }

    fn choose(&self, now: Time, ask: &PickRequest<'_>, arm: RolloutArm) -> Pick {
        let host = &self.settings.host;
        let empty = RegionShares::default();
        let scene = PickContext {
            arm,
            now,
            started: self.started,
            place: (&host.domain, &host.region),
            servers: &self.servers,
            evacuated: &self.evacuated,
            hosts: self.live,
            hosts_known: self.registry.known(),
            division: self.divisions.get(ask.service).unwrap_or(&empty),
            warmth: &self.warmth,
        };
        pick::pick_server(&scene, ask)
    }

    /// Takes in what became of a request that was sent.
    pub fn done(&mut self, now: Time, index: ServerIndex, outcome: Outcome) {
        self.servers.done(now, index, outcome);
    }

    /// Takes in what a server said of its load.
    pub fn tell(&mut self, now: Time, index: ServerIndex, requests: u32) {
        if let Some(entry) = self.servers.get_mut(index) {
            entry.tell(now, requests);
        }
    }

    /// A server said in an answer that it is about to leave; whether that is new.
    pub fn says_leaving(&mut self, now: Time, index: ServerIndex) -> bool {
        let start = self.servers.get(index).map(|entry| entry.start());
        start.is_some_and(|start| self.learn_leaving(now, start).is_some())
    }

    /// Whether what a server has said since it was chosen still lets a request go there.
    ///
    /// A connection may take 0.4 s to come up.
    pub fn lets_go(&self, now: Time, index: ServerIndex) -> bool {
        self.servers.get(index).is_some_and(|entry| !entry.leaving && !entry.rests(now))
    }

    /// A server turned a request away and wants nothing from this host for a time; whether
    /// it was not at rest before.
    pub fn asks_for_rest(&mut self, now: Time, index: ServerIndex, rest: Duration) -> bool {
        let Some(entry) = self.servers.get_mut(index) else { return false };
        // Servers that turn all hosts away at once do not get them all back at once.
        let draw = hash::unit_interval(hash::combine(self.hash, entry.hash ^ now.0));
        let spread = 1.0 + REST_SPREAD * draw;
        entry.rest(now, (rest.as_micros() as f64 * spread) as u64)
    }

    /// A server works on a request of a key; whether it was taken to know it.
    ///
    /// It counts as knowing it from then on, so that the key's next requests, from
    /// other hosts too, do not meet yet another server.
    pub fn learn(&mut self, now: Time, index: ServerIndex, key: u64) -> bool {
        let knew = self.warmth.knows(now, index, key);
        if let Some(entry) = self.servers.get(index) {
            self.warmth.learn(now, (index, entry.hash as u32), key);
        }
        knew
    }

    /// Whether a server is taken to know a key.
    pub fn knows(&self, now: Time, index: ServerIndex, key: u64) -> bool {
        self.warmth.knows(now, index, key)
    }

    /// A request of a service came, which earns a part of a repeat.
    pub fn earn(&mut self, now: Time, service: &str) {
        if let Some(count) = self.counts.get_mut(service) {
            count.add(now);
        } else {
            self.counts.entry(service.to_owned()).or_default().add(now);
        }
        let bounds = &self.settings.bounds;
        self.budgets.earn(service, bounds.retry_ratio, bounds.retry_slack, self.places.len());
    }

    /// Whether a request of a route, whose caller waits so many milliseconds, most
    /// likely comes from one who was refused before.
    pub fn returns(&mut self, now: Time, route: &str, left_ms: u64) -> bool {
        self.returns.returns(now, route, left_ms)
    }

    /// Whether the budget has a repeat left for a service.
    pub fn affords(&mut self, service: &str) -> bool {
        self.budgets.affords(service)
    }

    /// Spends a repeat of a service's budget, if there is one.
    pub fn repeat(&mut self, service: &str) -> bool {
        self.budgets.spend(service)
    }

    // Requests under which servers end.

    /// What is known of them.
    pub fn harms(&self) -> &PoisonTracker {
        &self.harms
    }

    /// The same, to be changed; what other hosts must know is told by [`Steer::ended`].
    pub fn harms_mut(&mut self) -> &mut PoisonTracker {
        &mut self.harms
    }

    /// A server ended under a request, which was sent when so many generations of
    /// endings were `known`.
    pub fn ended(
        &mut self,
        now: Time,
        unix_s: u64,
        digest: RequestDigest,
        server: u64,
        known: u8,
    ) -> PoisonChange {
        self.leave_ended(now, server);
        let turn = self.harms.ended(now, unix_s, digest, server, known);
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
