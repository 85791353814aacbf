//! What the parts of a soak share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process,
    rc::Rc,
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
    ledger::Ledger, outages::Outages, poison, server_signals::Arrivals, versions, workspaces,
};

/// Services with which a configuration shows its version. A host that lags by as many
/// versions would seem to be ahead; at one change each 350 ms that takes 22 s.
pub const PIN_SERVICES: u64 = 64;
/// The service of all other requests.
pub const SHOP: &str = "shop";
/// Port on which hosts of the first soak of this process take callers.
const CALLERS: u16 = 7_301;
/// Port on which they talk to each other.
const PEERS: u16 = 7_302;
/// Soaks of one process that do not share any address.
const SOAKS: u16 = 16;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Healthy,
    /// It refuses.
    Refusing,
    /// It does not answer.
    Silent,
    /// It answers late.
    Slow,
    /// It closes all connections.
    Closing,
}

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerMode {
    /// It answers.
    #[default]
    Healthy,
    /// It runs requests and never answers.
    Unresponsive,
    /// It runs requests and closes without an answer.
    Closing,
    /// It answers with the id of another request.
    MixingIds,
    /// It refuses.
    Full,
    /// It refuses, and asks for rest.
    BackingOff,
    /// It answers, and says that it is about to leave.
    Leaving,
    /// It answers, and names a limit.
    Limited,
    /// It answers, and is of a version that is rolled out.
    NextVersion,
    /// The same, and each second answer is a failure.
    FailingVersion,
}

/// For how long copies of the store are kept, in milliseconds.
const COPIES_MS: u64 = 12_000;

/// What the store held at some time.
#[derive(Clone, Debug)]
pub struct Backup {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
    hosts: BTreeMap<String, SocketAddr>,
    harmful: BTreeMap<RequestDigest, Vec<ServerCrash>>,
}

/// What a soak consists of.
#[derive(Debug)]
pub struct World {
    /// When it began.
    pub started: Instant,
    /// Rows of the store.
    pub rows: RefCell<BTreeMap<RowKey, Row>>,
    /// The store's counter.
    pub version: Cell<u64>,
    /// How often the store has come back from a copy.
    pub era: Cell<u64>,
    /// Hosts that are written down.
    pub registered_hosts: RefCell<BTreeMap<String, SocketAddr>>,
    /// Requests that are refused, with the ends of servers that decided it.
    pub refused_requests: RefCell<BTreeMap<RequestDigest, Vec<ServerCrash>>>,
    /// What the store held, by the time since the beginning, in milliseconds.
    pub backups: RefCell<BTreeMap<u64, Backup>>,
    /// What the operator and the servers have written, whatever the store has lost of it.
    pub written: RefCell<BTreeMap<RowKey, Option<RowContent>>>,
    /// When the store was in trouble.
    pub outages: RefCell<Outages>,
    /// The troubles that the store is in; it behaves as the latest one says.
    pub store_modes: RefCell<Vec<(usize, StoreMode)>>,
    /// Connections to the store that were opened up to this time are mute for good.
    pub muted_until_ms: Cell<Option<u64>>,
    /// Name of a host that the store turns away.
    pub refused_host: RefCell<Option<String>>,
    /// How each backend server behaves.
    pub servers: RefCell<BTreeMap<String, ServerMode>>,
    /// When requests came to servers that say something of themselves.
    pub arrivals: Arrivals,
    /// What was seen.
    pub ledger: RefCell<Ledger>,
    /// When the soak itself was late, and for how long, in milliseconds.
    pub stalls: RefCell<Vec<(u64, u64)>>,
    /// A rule that the soak itself breaks, to see that it notices.
    pub broken_rule: Option<String>,
}

impl World {
    /// An empty world.
    pub fn new(broken: Option<String>) -> Rc<World> {
        Rc::new(World {
            started: Instant::now(),
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
            ledger: RefCell::default(),
            stalls: RefCell::default(),
            broken_rule: broken,
        })
    }

    /// Milliseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// How the store behaves.
    pub fn store_mode(&self) -> StoreMode {
        self.store_modes.borrow().last().map(|(_, mode)| *mode).unwrap_or_default()
    }

    /// The store behaves badly from now on; the number by which that ends.
    pub fn begin_outage(&self, mode: StoreMode) -> usize {
        let number = self.outages.borrow_mut().begin(self.now());
        self.store_modes.borrow_mut().push((number, mode));
        number
    }

    /// The store does not behave badly in this way any more.
    pub fn end_outage(&self, number: usize) {
        self.outages.borrow_mut().end(number, self.now());
        self.store_modes.borrow_mut().retain(|(known, _)| *known != number);
    }

    /// The store's open connections go mute for good; new ones work.
    pub fn mute_connections(&self) {
        let now = self.now();
        self.muted_until_ms.set(Some(now));
        let mut troubles = self.outages.borrow_mut();
        let number = troubles.begin(now);
        troubles.end(number, now);
    }

    /// For how long the soak itself was late after a time, in milliseconds.
    pub fn stall_ms_since(&self, since: u64) -> u64 {
        let stalls = self.stalls.borrow();
        let last = stalls.iter().rev().take_while(|(end, _)| *end >= since);
        last.map(|(_, millis)| *millis).sum()
    }

    /// Whether a rule is left out on purpose.
    pub fn breaks(&self, rule: &str) -> bool {
        self.broken_rule.as_deref() == Some(rule)
    }

    /// The store's version.
    pub fn store_version(&self) -> StoreVersion {
        StoreVersion::new(self.era.get(), self.version.get())
    }

    /// Keeps what the store holds.
    pub fn take_backup(&self) {
        let copied = Backup {
            rows: self.rows.borrow().clone(),
            version: self.version.get(),
            hosts: self.registered_hosts.borrow().clone(),
            harmful: self.refused_requests.borrow().clone(),
        };
        let now = self.now();
        let mut copies = self.backups.borrow_mut();
        copies.insert(now, copied);
        copies.retain(|made, _| made + COPIES_MS >= now);
    }

    /// The store comes back from what it held at a time; what was written since is gone.
    pub fn restore_backup(&self, made: u64) {
        let mut copies = self.backups.borrow_mut();
        // What was copied later is of a history that is gone.
        copies.retain(|at, _| *at <= made);
        let Some((_, copied)) = copies.last_key_value() else { return };
        self.rows.replace(copied.rows.clone());
        self.version.set(copied.version);
        self.registered_hosts.replace(copied.hosts.clone());
        self.refused_requests.replace(copied.harmful.clone());
        if !self.breaks("era") {
            self.era.set(self.era.get() + 1);
        }
        self.ledger.borrow_mut().count("store came back from a copy");
    }

    /// Keys of what was written and is not in the store as it was.
    pub fn lost_rows(&self) -> Vec<RowKey> {
        let rows = self.rows.borrow();
        let held = |key: &RowKey| rows.get(key).and_then(|row| row.content.clone());
        let written = self.written.borrow();
        written
            .iter()
            .filter(|(key, item)| held(key) != **item)
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// The operator or a server writes a row again as it meant it.
    pub fn rewrite(&self, key: &RowKey) {
        let item = self.written.borrow().get(key).cloned().flatten();
        let there = self.rows.borrow().get(key).is_some_and(|row| row.content.is_some());
        if item.is_some() || there {
            self.put(key.clone(), item);
        }
    }

    /// Writes a row, or removes it.
    pub fn put(&self, key: RowKey, item: Option<RowContent>) {
        self.written.borrow_mut().insert(key.clone(), item.clone());
        if self.store_mode() == StoreMode::Closing {
            // It is written again once the store is back.
            return;
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        let version = self.store_version();
        self.rows.borrow_mut().insert(key.clone(), Row::new(key, version, item));
    }

    /// Puts a configuration in force.
    pub fn configure(&self, version: u64) {
        self.put(RowKey::Configuration, Some(RowContent::Configuration(configuration(version))));
        self.ledger.borrow_mut().record_configuration(version, self.now());
    }

    /// The store's counter for a row; 0 if it is not there.
    pub fn row_count(&self, key: &RowKey) -> u64 {
        let rows = self.rows.borrow();
        let row = rows.get(key).filter(|row| row.content.is_some());
        row.map_or(0, |row| row.version.count)
    }

    /// A host wrote how far a roll-out has come.
    pub fn record_progress(&self, write: &RolloutWrite) {
        let key = RowKey::Progress(write.service.clone());
        self.put(key, Some(RowContent::Progress(write.progress.clone())));
    }

    /// Writes down a server.
    pub fn register_server(&self, id: &str, service: &str, address: SocketAddr, draining: bool) {
        let written = self.written.borrow().get(&RowKey::Server(id.into())).cloned();
        let entries = match written {
            Some(Some(RowContent::Server(server))) => server.entries + 1,
            _ => 1,
        };
        let server = Server {
            service: service.into(),
            address,
            domain: "a1".into(),
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

/// Hosts of one soak at most, as a few hundred processes are what a machine is to bear.
pub const MAX_HOSTS: usize = 200;

/// The IP number of a host; soaks of other processes do not share it.
fn ip(number: usize) -> IpAddr {
    let pid = process::id();
    IpAddr::V4(Ipv4Addr::new(127, 128 | (pid >> 8) as u8 & 63, pid as u8, number as u8 + 1))
}

/// Where callers reach a host of a soak.
pub fn caller_address(soak: u8, number: usize) -> SocketAddr {
    SocketAddr::new(ip(number), CALLERS + 2 * (u16::from(soak) % SOAKS))
}

/// Where hosts reach a host of a soak.
pub fn peer_address(soak: u8, number: usize) -> SocketAddr {
    SocketAddr::new(ip(number), PEERS + 2 * (u16::from(soak) % SOAKS))
}

fn configuration(version: u64) -> Configuration {
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

fn route(prefix: &str, repeat: Repeatability, service: &str) -> Route {
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
