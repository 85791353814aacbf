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
    model::{Configuration, Limits, Part, Repeat, Route, Server, Service},
    view::{Item, Key, Row},
};

use crate::ledger::Ledger;

/// Services with which a configuration shows its version.
pub const PINS: u64 = 8;
/// The service of all other requests.
pub const SHOP: &str = "shop";
/// Port of callers, and of hosts.
pub const CALLERS: u16 = 7_301;
/// Port on which hosts talk to each other.
pub const PEERS: u16 = 7_302;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Well,
    /// It refuses.
    Down,
    /// It does not answer.
    Silent,
    /// It answers late.
    Slow,
}

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServerMode {
    /// It answers.
    #[default]
    Well,
    /// It runs requests and never answers.
    Dark,
    /// It runs requests and closes without an answer.
    Cutting,
    /// It answers with the id of another request.
    Mixing,
    /// It refuses.
    Full,
}

/// What a soak consists of.
#[derive(Debug)]
pub struct World {
    /// When it began.
    pub began: Instant,
    /// Rows of the store.
    pub rows: RefCell<BTreeMap<Key, Row>>,
    /// The store's counter.
    pub version: Cell<u64>,
    /// Hosts that are written down.
    pub hosts: RefCell<Vec<SocketAddr>>,
    /// How the store behaves, and which host it turns away.
    pub store: Cell<StoreMode>,
    /// Name of a host that the store turns away.
    pub away: RefCell<Option<String>>,
    /// How each backend server behaves.
    pub servers: RefCell<BTreeMap<String, ServerMode>>,
    /// What was seen.
    pub ledger: RefCell<Ledger>,
    /// When something was last wrong, in milliseconds since the beginning.
    pub disturbed: Cell<u64>,
    /// A rule that the soak itself breaks, to see that it notices.
    pub broken: Option<String>,
}

impl World {
    /// An empty world.
    pub fn new(broken: Option<String>) -> Rc<World> {
        Rc::new(World {
            began: Instant::now(),
            rows: RefCell::default(),
            version: Cell::new(0),
            hosts: RefCell::default(),
            store: Cell::default(),
            away: RefCell::default(),
            servers: RefCell::default(),
            ledger: RefCell::default(),
            disturbed: Cell::new(0),
            broken,
        })
    }

    /// Milliseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Whether a rule is left out on purpose.
    pub fn breaks(&self, rule: &str) -> bool {
        self.broken.as_deref() == Some(rule)
    }

    /// Writes a row, or removes it.
    pub fn put(&self, key: Key, item: Option<Item>) {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.rows.borrow_mut().insert(key.clone(), Row { key, version, item });
    }

    /// Puts a configuration in force.
    pub fn configure(&self, version: u64) {
        self.put(Key::Configuration, Some(Item::Configuration(configuration(version))));
        self.ledger.borrow_mut().configured(version, self.now());
    }

    /// Writes down a server.
    pub fn serve(&self, id: &str, service: &str, address: SocketAddr, draining: bool) {
        let server = Server {
            service: service.into(),
            address,
            domain: "a1".into(),
            slots: 8,
            draining,
            cold_ms: 0,
        };
        self.put(Key::Server(id.into()), Some(Item::Server(server)));
    }
}

/// Hosts of one soak at most.
pub const HOSTS_MAX: usize = 15;

/// The IP number of a host; soaks of one process do not share any.
pub fn ip(soak: u8, number: usize) -> IpAddr {
    let pid = process::id();
    let last = (soak % 16) * 16 + number as u8 + 1;
    IpAddr::V4(Ipv4Addr::new(127, 128 | (pid >> 8) as u8 & 63, pid as u8, last))
}

fn configuration(version: u64) -> Configuration {
    let pin = format!("pin-{}", version % PINS);
    let services = (0..PINS).map(|n| format!("pin-{n}")).chain([SHOP.to_owned()]);
    Configuration {
        version,
        routes: vec![
            route("/safe/", Repeat::Safe, SHOP),
            route("/once/", Repeat::Once, SHOP),
            route("/pin/", Repeat::Safe, &pin),
        ],
        services: services.map(|name| Service { name, cold_ms: 0, cold_per_s: 9.0 }).collect(),
        limits: Limits::default(),
    }
}

fn route(prefix: &str, repeat: Repeat, service: &str) -> Route {
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
        parts: vec![Part { service: service.into(), weight: 1.0 }],
    }
}
