//! One host: its decisions and what they are connected to.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use elmstream_steer::{Steer, settings, steer::Change};
use elmstreamd::clock;
use serde_json::json;

use crate::{backend::Pool, journal::Journal, settings::Settings};

/// One host.
#[derive(Debug)]
pub struct Edge {
    /// Its settings.
    pub settings: Settings,
    /// Its decisions.
    pub steer: RefCell<Steer>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// What it writes.
    pub journal: Journal,
}

impl Edge {
    /// A host that has just started.
    pub fn new(settings: Settings) -> Rc<Edge> {
        let steer = Steer::new(
            settings::Settings {
                host: settings.host.clone(),
                incarnation: clock::unix_ms(),
                domains: settings.domains.clone(),
                bounds: settings.bounds,
            },
            clock::now(),
        );
        let journal = Journal::start(settings.logging.sample, settings.logging.lines_per_s);
        Rc::new(Edge { settings, steer: RefCell::new(steer), pool: Pool::default(), journal })
    }

    /// Takes changed settings in; addresses and names stay as they were.
    pub fn reload(&self, settings: &Settings) {
        let kept = settings.host == self.settings.host;
        self.steer.borrow_mut().change(settings.domains.clone(), settings.bounds);
        self.journal.write("reload", json!({"host": settings.host.name, "same_host": kept}));
    }

    /// Whether callers can be served.
    pub fn serves(&self) -> bool {
        self.steer.borrow().serves()
    }

    /// Entry hosts for callers of a failure domain who want a host name.
    pub fn lookup(&self, name: &str, domain: &str, region: &str) -> Vec<SocketAddr> {
        self.steer.borrow().lookup(clock::now(), name, domain, region)
    }

    /// Writes down what the host has come to believe.
    pub fn note(&self, from: &str, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Configuration(version) => {
                    self.journal.write("configuration", json!({"version": version, "from": from}));
                }
                Change::Evacuation(domain, begins) => {
                    let fields = json!({"domain": domain, "begins": begins, "from": from});
                    self.journal.write("evacuation", fields);
                }
                Change::Server(id, state) => {
                    let fields = json!({"server": id, "state": state, "from": from});
                    self.journal.write("server", fields);
                }
            }
        }
    }
}
