//! One host: its decisions and what they are connected to.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use elmstream_steer::{
    Steer, settings,
    steer::{ServerState, StateChange, StoreRestored},
    view::RowKey,
};
use elmstreamd::clock;
use serde_json::{Value, json};

use crate::{backend::Pool, event_log::EventLog, rollout, settings::Settings};

/// More servers than these that change at once are written in one line.
const SERVERS_EACH: usize = 12;
/// Servers that such a line names at most.
const SERVERS_NAMED: usize = 64;

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
    pub event_log: EventLog,
    /// The list of refused requests is to be read again.
    pub(crate) reread_refused: Cell<bool>,
}

impl Edge {
    /// A host that has just started.
    pub fn new(settings: Settings) -> Rc<Edge> {
        let journal = EventLog::start(&settings.logging);
        Edge::with_event_log(settings, journal)
    }

    /// The same with a journal of its own.
    pub fn with_event_log(settings: Settings, journal: EventLog) -> Rc<Edge> {
        let steer = Steer::new(
            settings::Settings {
                host: settings.host.clone(),
                incarnation: clock::unix_ms(),
                domains: settings.domains.clone(),
                bounds: settings.bounds,
            },
            clock::now(),
        );
        Rc::new(Edge {
            settings,
            steer: RefCell::new(steer),
            pool: Pool::default(),
            event_log: journal,
            reread_refused: Cell::new(false),
        })
    }

    /// Takes changed settings in; addresses and names stay as they were.
    pub fn reload(&self, settings: &Settings) {
        let kept = settings.host == self.settings.host;
        self.steer.borrow_mut().reconfigure(settings.domains.clone(), settings.bounds);
        self.reread_refused.set(true);
        self.event_log.write("reload", json!({"host": settings.host.name, "same_host": kept}));
    }

    /// Whether callers can be served.
    pub fn serves(&self) -> bool {
        self.steer.borrow().serves()
    }

    /// Entry hosts for callers of a failure domain who want a host name.
    pub fn lookup(&self, name: &str, domain: &str, region: &str) -> Vec<SocketAddr> {
        self.steer.borrow().lookup(clock::now(), name, domain, region)
    }

    /// Writes down entries of the store that cannot be read.
    pub fn unreadable(&self, table: &str, keys: &[String]) {
        if keys.is_empty() {
            return;
        }
        metrics::counter!("elmstream_rows_unreadable").increment(keys.len() as u64);
        let named: Vec<&String> = keys.iter().take(SERVERS_NAMED).collect();
        let fields = json!({"table": table, "count": keys.len(), "keys": named});
        self.event_log.state_change("rows_unreadable", fields);
    }

    /// Writes down that the store has come back from a copy, and what holds on against it.
    fn store_returned(&self, from: &str, returned: &StoreRestored) {
        let StoreRestored { table, before, version, changed, retained: held } = returned;
        let rows: Vec<String> = held.iter().take(SERVERS_NAMED).map(RowKey::to_string).collect();
        let fields = json!({
            "table": table, "era": version.era, "era_before": before.era,
            "version": version.count, "version_before": before.count,
            "changed": changed, "held": held.len(), "rows": rows, "from": from,
        });
        self.event_log.write("store_returned", fields);
    }

    /// Writes down what the host has come to believe, and from whom, and leaves the
    /// connections to servers that are another start now.
    pub fn log_changes(&self, from: &str, changes: &[StateChange]) {
        for change in changes {
            if let StateChange::Server(id, ServerState::Restarted | ServerState::Unreadable) =
                change
            {
                self.pool.discard_connections(id);
            }
        }
        let servers = changes.iter().filter(|change| matches!(change, StateChange::Server(..)));
        let many = servers.count() > SERVERS_EACH;
        if many {
            self.event_log.write("servers", servers_at_once(from, changes));
        }
        for change in changes {
            match change {
                StateChange::Configuration(version) => {
                    self.event_log
                        .write("configuration", json!({"version": version, "from": from}));
                }
                StateChange::Evacuation(domain, begins) => {
                    let fields = json!({"domain": domain, "begins": begins, "from": from});
                    self.event_log.write("evacuation", fields);
                }
                StateChange::Server(..) if many => {}
                StateChange::Server(id, state) => {
                    let fields = json!({"server": id, "state": state.name(), "from": from});
                    self.event_log.state_change("server", fields);
                }
                StateChange::HostLost(host) => {
                    self.event_log.state_change("host_lost", json!({"host": host}));
                }
                StateChange::StoreRestored(returned) => self.store_returned(from, returned),
                StateChange::Rollout { service, target, stage } => {
                    let stage = stage.map(rollout::stage_text);
                    let fields = json!({
                        "service": service, "target": target, "stage": stage, "from": from,
                    });
                    self.event_log.write("rollout", fields);
                }
                StateChange::RetentionEnded(key) => {
                    self.event_log.write("hold_ended", json!({"row": key.to_string()}));
                }
            }
        }
    }
}

/// Many servers that changed at once in one line: how many by state, and which of
/// them may no longer be used.
fn servers_at_once(from: &str, changes: &[StateChange]) -> Value {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let mut lost: Vec<&str> = Vec::new();
    for change in changes {
        let StateChange::Server(id, state) = change else { continue };
        *counts.entry(state.name()).or_default() += 1;
        if !matches!(state, ServerState::Ready | ServerState::Answers | ServerState::Restarted)
            && lost.len() < SERVERS_NAMED
        {
            lost.push(id);
        }
    }
    json!({"from": from, "states": counts, "lost": lost})
}
