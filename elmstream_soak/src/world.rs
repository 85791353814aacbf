//! State shared by the parts of a soak: the store's contents and behaviour, the backend
//! servers' behaviour and the ledger.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process,
    rc::{Rc, Weak},
    time::Instant,
};

use elmstream_steer::{
    RolloutWrite,
    digest::RequestDigest,
    model::{Configuration, Limits, Repeatability, Route, Server, Service, WeightedService},
    poison::ServerCrash,
    version::StoreVersion,
    view::{Row, RowContent, RowKey},
};

use crate::{
    callers::{self, Hosts},
    departures::Departures,
    gate::Gate,
    homes,
    ledger::Ledger,
    outages::Outages,
    poison,
    process::Process,
    removals::Removals,
    server_signals::Arrivals,
    versions, workspaces,
};

/// Number of services that show the version of a configuration. A host that lags behind by
/// this many versions would seem to be ahead; at one configuration each 350 ms that takes 22
/// s.
pub const PIN_SERVICES: u64 = 64;
/// The service of all requests that do not show a version.
pub const SHOP: &str = "shop";
/// Port on which hosts of the first soak of this process accept callers.
const FIRST_CALLER_PORT: u16 = 7_301;
/// Port on which hosts of the first soak accept other hosts.
const FIRST_PEER_PORT: u16 = 7_302;
/// Number of soaks of one process that use different ports.
const PORT_SETS: u16 = 16;

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// Answers.
    #[default]
    Healthy,
    /// Refuses all requests.
    Refusing,
    /// Does not answer.
    Silent,
    /// Answers late.
    Slow,
    /// Closes all connections.
    Closing,
}

/// Behaviour of a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerMode {
    /// Answers.
    #[default]
    Healthy,
    /// Runs requests and does not answer.
    Unresponsive,
    /// Runs requests and closes the connection without an answer.
    Closing,
    /// Answers with the id of another request.
    MixingIds,
    /// Answers with a body without end.
    Endless,
    /// Refuses all requests.
    Full,
    /// Refuses all requests and asks for back-off.
    BackingOff,
    /// Answers and announces that it is leaving.
    Leaving,
    /// Answers and announces a limit.
    Limited,
    /// Answers, as a server of a version that is rolled out.
    NextVersion,
    /// Like [`NextVersion`](ServerMode::NextVersion), but every second answer is a failure.
    FailingVersion,
}

/// Time for which backups of the store are retained, in milliseconds.
const BACKUP_RETENTION_MS: u64 = 12_000;

/// Contents of the store at some time.
#[derive(Clone, Debug)]
pub struct Backup {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
    hosts: BTreeMap<String, SocketAddr>,
    refused_requests: BTreeMap<RequestDigest, Vec<ServerCrash>>,
}

/// State of a soak. Times are in milliseconds since its start.
#[derive(Debug)]
pub struct World {
    /// Start of the soak.
    pub started: Instant,
    /// The entry hosts, once they are known.
    pub hosts: OnceCell<Weak<RefCell<Vec<Process>>>>,
    /// Whether homes move with configurations.
    pub homes_move: Cell<bool>,
    /// Rows of the store.
    pub rows: RefCell<BTreeMap<RowKey, Row>>,
    /// The store's version counter.
    pub version: Cell<u64>,
    /// The store's era, which increases with each restore from a backup.
    pub era: Cell<u64>,
    /// Registered hosts: name and address for other hosts.
    pub registered_hosts: RefCell<BTreeMap<String, SocketAddr>>,
    /// Requests listed as refused, with the crashes that were the reason.
    pub refused_requests: RefCell<BTreeMap<RequestDigest, Vec<ServerCrash>>>,
    /// Backups of the store, by the time at which they were taken.
    pub backups: RefCell<BTreeMap<u64, Backup>>,
    /// Last content that the operator and the servers have written for each row, whatever
    /// the store has lost of it.
    pub written: RefCell<BTreeMap<RowKey, Option<RowContent>>>,
    /// Outages of the store.
    pub outages: RefCell<Outages>,
    /// Current outages of the store, by number; the last one determines its behaviour.
    pub store_modes: RefCell<Vec<(usize, StoreMode)>>,
    /// Connections to the store that were opened until this time never answer again.
    pub muted_until_ms: Cell<Option<u64>>,
    /// Name of a host whose requests the store refuses.
    pub refused_host: RefCell<Option<String>>,
    /// Behaviour of each backend server, by id.
    pub servers: RefCell<BTreeMap<String, ServerMode>>,
    /// When requests arrived at servers whose arrivals are checked.
    pub arrivals: Arrivals,
    /// Since when each host that is cut from all backend servers is, by its index.
    pub cut_since_ms: RefCell<BTreeMap<usize, u64>>,
    /// Connections between hosts and backend servers.
    pub gate: Rc<Gate>,
    /// Servers whose entries were removed without notice.
    pub removals: Removals,
    /// Servers whose entries were removed after a host stood still.
    pub unsaid_removals: Departures,
    /// Servers that said that they leave while an older heartbeat of theirs was under way.
    pub late_writes: Departures,
    /// What callers and backend servers observed.
    pub ledger: RefCell<Ledger>,
    /// Stalls of the soak itself: their end and their length.
    pub stalls: RefCell<Vec<(u64, u64)>>,
    /// A rule that the soak breaks itself, to test that the checks detect it.
    pub broken_rule: Option<String>,
}

impl World {
    /// A world without hosts, servers or rows.
    pub fn new(broken_rule: Option<String>) -> Rc<World> {
        Rc::new(World {
            started: Instant::now(),
            hosts: OnceCell::new(),
            homes_move: Cell::default(),
            rows: RefCell::default(),
            version: Cell::new(0),
            era: Cell::new(1),
            registered_hosts: RefCell::default(),
            refused_requests: RefCell::default(),
            backups: RefCell::default(),
            written: RefCell::default(),
            outages: RefCell::default(),
            store_modes: RefCell::default(),
            muted_until_ms: Cell::default(),
            refused_host: RefCell::default(),
            servers: RefCell::default(),
            arrivals: Arrivals::default(),
            cut_since_ms: RefCell::default(),
            gate: Rc::default(),
            removals: Removals::default(),
            unsaid_removals: Departures::default(),
            late_writes: Departures::default(),
            ledger: RefCell::default(),
            stalls: RefCell::default(),
            broken_rule,
        })
    }

    /// Milliseconds since the start of the soak.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Whether a host has been undisturbed for long enough to be judged.
    pub fn is_undisturbed(&self, host: usize) -> bool {
        let hosts: Option<Hosts> = self.hosts.get().and_then(Weak::upgrade);
        let disturbed_ms =
            hosts.and_then(|hosts| hosts.borrow().get(host).map(|host| host.disturbed_ms));
        disturbed_ms.is_some_and(|at| self.now() > at + callers::RECOVERY_MS)
    }

    /// Whether a host was cut from all servers for `millis` milliseconds or more at a time; `None` if no
    /// host was, or this one for a shorter time.
    pub fn is_cut_for(&self, host: usize, at_ms: u64, millis: u64) -> Option<bool> {
        let cut_since = self.cut_since_ms.borrow();
        let is_long = |since: &u64| at_ms >= since + millis;
        match cut_since.get(&host) {
            Some(since) => is_long(since).then_some(true),
            None => cut_since.values().any(is_long).then_some(false),
        }
    }

    /// Current behaviour of the store.
    pub fn store_mode(&self) -> StoreMode {
        self.store_modes.borrow().last().map(|(_, mode)| *mode).unwrap_or_default()
    }

    /// Begins an outage in which the store behaves in the given way; returns the number to
    /// pass to [`end_outage`](World::end_outage).
    pub fn begin_outage(&self, mode: StoreMode) -> usize {
        let number = self.outages.borrow_mut().begin(self.now());
        self.store_modes.borrow_mut().push((number, mode));
        number
    }

    /// Ends an outage.
    pub fn end_outage(&self, number: usize) {
        self.outages.borrow_mut().end(number, self.now());
        self.store_modes.borrow_mut().retain(|(open, _)| *open != number);
    }

    /// Silences the store's open connections for good; new ones work.
    pub fn mute_connections(&self) {
        let now = self.now();
        self.muted_until_ms.set(Some(now));
        let mut outages = self.outages.borrow_mut();
        let number = outages.begin(now);
        outages.end(number, now);
    }

    /// Total length of the soak's own stalls since a time, in milliseconds.
    pub fn stall_ms_since(&self, since: u64) -> u64 {
        let stalls = self.stalls.borrow();
        let last = stalls.iter().rev().take_while(|(end, _)| *end >= since);
        last.map(|(_, millis)| *millis).sum()
    }

    /// Whether a rule is broken on purpose.
    pub fn breaks(&self, rule: &str) -> bool {
        self.broken_rule.as_deref() == Some(rule)
    }

    /// Current version of the store.
    pub fn store_version(&self) -> StoreVersion {
        StoreVersion::new(self.era.get(), self.version.get())
    }

    /// Takes a backup of the store.
    pub fn take_backup(&self) {
        let backup = Backup {
            rows: self.rows.borrow().clone(),
            version: self.version.get(),
            hosts: self.registered_hosts.borrow().clone(),
            refused_requests: self.refused_requests.borrow().clone(),
        };
        let now = self.now();
        let mut backups = self.backups.borrow_mut();
        backups.insert(now, backup);
        backups.retain(|made_ms, _| made_ms + BACKUP_RETENTION_MS >= now);
    }

    /// Restores the store from its last backup at or before a time, and begins a new era.
    /// Later writes are lost.
    pub fn restore_backup(&self, made_ms: u64) {
        let mut backups = self.backups.borrow_mut();
        // Later backups belong to the discarded history.
        backups.retain(|at, _| *at <= made_ms);
        let Some((_, backup)) = backups.last_key_value() else { return };
        self.rows.replace(backup.rows.clone());
        self.version.set(backup.version);
        self.registered_hosts.replace(backup.hosts.clone());
        self.refused_requests.replace(backup.refused_requests.clone());
        if !self.breaks("era") {
            self.era.set(self.era.get() + 1);
        }
        self.ledger.borrow_mut().count("store came back from a copy");
    }

    /// Keys of rows whose content in the store is not the last one written.
    pub fn lost_rows(&self) -> Vec<RowKey> {
        let rows = self.rows.borrow();
        let stored = |key: &RowKey| rows.get(key).and_then(|row| row.content.clone());
        let written = self.written.borrow();
        written
            .iter()
            .filter(|(key, content)| stored(key) != **content)
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Writes a row again as the operator or the server last wrote it.
    pub fn rewrite(&self, key: &RowKey) {
        let content = self.written.borrow().get(key).cloned().flatten();
        let present = self.rows.borrow().get(key).is_some_and(|row| row.content.is_some());
        if content.is_some() || present {
            self.put(key.clone(), content);
        }
    }

    /// Writes a row, or a tombstone if `content` is `None`.
    pub fn put(&self, key: RowKey, content: Option<RowContent>) {
        // A writer repeats what a closing store does not take, once it is back.
        self.written.borrow_mut().insert(key.clone(), content.clone());
        self.complete(key, content);
    }

    /// Completes a write, whatever was written since.
    pub fn complete(&self, key: RowKey, content: Option<RowContent>) {
        if self.store_mode() == StoreMode::Closing {
            return;
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        let version = self.store_version();
        self.rows.borrow_mut().insert(key.clone(), Row::new(key, version, content));
    }

    /// Applies a configuration version.
    pub fn configure(&self, version: u64) {
        let configuration = configuration(version, self.homes_move.get());
        self.put(RowKey::Configuration, Some(RowContent::Configuration(configuration)));
        self.ledger.borrow_mut().record_configuration(version, self.now());
    }

    /// Version counter of a row; 0 if the row does not exist.
    pub fn row_count(&self, key: &RowKey) -> u64 {
        let rows = self.rows.borrow();
        let row = rows.get(key).filter(|row| row.content.is_some());
        row.map_or(0, |row| row.version.count)
    }

    /// Writes the progress of a roll-out, as reported by a host.
    pub fn record_progress(&self, write: &RolloutWrite) {
        let key = RowKey::Progress(write.service.clone());
        self.put(key, Some(RowContent::Progress(write.progress.clone())));
    }

    /// Registers a backend server, or registers it again with a changed `draining`.
    pub fn register_server(&self, id: &str, service: &str, address: SocketAddr, draining: bool) {
        let written = self.written.borrow().get(&RowKey::Server(id.into())).cloned();
        let entries = match written {
            Some(Some(RowContent::Server(server))) => server.entries + 1,
            _ => 1,
        };
        let server = Server {
            service: service.into(),
            address,
            domain: homes::domain(homes::region_of_server(id)),
            slots: 8,
            draining,
            cold_ms: 0,
            born: 0,
            entries,
            version: versions::version_of(id),
        };
        self.put(RowKey::Server(id.into()), Some(RowContent::Server(server)));
    }
}

/// Maximum number of hosts in a soak; a machine cannot run more than a few hundred
/// processes.
pub const MAX_HOSTS: usize = 200;

/// IP address of a host; soaks of other processes use other addresses.
fn ip(number: usize) -> IpAddr {
    let pid = process::id();
    IpAddr::V4(Ipv4Addr::new(127, 128 | (pid >> 8) as u8 & 63, pid as u8, number as u8 + 1))
}

/// Address on which a host of a soak accepts callers.
pub fn caller_address(soak: u8, number: usize) -> SocketAddr {
    SocketAddr::new(ip(number), FIRST_CALLER_PORT + 2 * (u16::from(soak) % PORT_SETS))
}

/// Address on which a host of a soak accepts other hosts.
pub fn peer_address(soak: u8, number: usize) -> SocketAddr {
    SocketAddr::new(ip(number), FIRST_PEER_PORT + 2 * (u16::from(soak) % PORT_SETS))
}

fn configuration(version: u64, homes_move: bool) -> Configuration {
    let stationary = stationary_configuration(version);
    if !homes_move {
        return stationary;
    }
    let Configuration { mut routes, mut services, mut workspaces, .. } = stationary;
    routes.extend(homes::routes(version));
    services.push(Service { name: homes::SERVICE.into(), cold_ms: 0, cold_per_s: 9.0 });
    workspaces.push(homes::workspace(version));
    Configuration { routes, services, workspaces, ..stationary }
}

fn stationary_configuration(version: u64) -> Configuration {
    let pin = format!("pin-{}", version % PIN_SERVICES);
    let services = (0..PIN_SERVICES)
        .map(|n| format!("pin-{n}"))
        .chain([SHOP.to_owned(), poison::POISON_SERVICE.to_owned()]);
    Configuration {
        version,
        routes: vec![
            route("/safe/", Repeatability::Safe, SHOP),
            route("/once/", Repeatability::Once, SHOP),
            route("/pin/", Repeatability::Safe, &pin),
            route("/harm/", Repeatability::Safe, poison::POISON_SERVICE),
        ],
        services: services.map(|name| Service { name, cold_ms: 0, cold_per_s: 9.0 }).collect(),
        limits: Limits::default(),
        workspaces: workspaces::workspaces_of_version(version),
    }
}

/// A route of all requests whose path has a prefix.
pub fn route(prefix: &str, repeat: Repeatability, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "soak.example".into(),
        prefix: prefix.into(),
        repeat,
        attempts: 2,
        timeout_ms: 600,
        objective_ms: 200,
        priority: 0,
        affinity: true,
        homes: Vec::new(),
        parts: vec![WeightedService { service: service.into(), weight: 1.0 }],
        open: false,
    }
}
