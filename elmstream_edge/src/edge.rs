//! The state of one host: its decisions, connections and event log.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use elmstream::time::MILLI;
use elmstream_http::Connections;
use elmstream_steer::{
    Steer,
    rollout::RolloutStage,
    settings,
    steer::{ServerState, StateChange, StoreRestored},
    view::RowKey,
};
use elmstreamd::clock;
use serde_json::{Value, json};

use crate::{
    backend::Pool, buffer_bound::BufferBound, connection_refusal, event_log::EventLog,
    planned_stop::PlannedStop, settings::Settings,
};

/// If more servers than this change at once, they are logged in one line.
const SERVERS_LOGGED_SINGLY_MAX: usize = 12;
/// Most servers or rows that one line lists by name.
const NAMES_PER_LINE_MAX: usize = 64;

/// One host. Tasks of the process share it by `Rc`; all run on one thread.
#[derive(Debug)]
pub struct Edge {
    /// The settings that the host was started with; [`Edge::reload`] does not change them.
    pub settings: Settings,
    /// What the host knows and decides.
    pub steer: RefCell<Steer>,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Idle connections to other hosts, for requests that these relay.
    pub relay_pool: Pool,
    /// Number of requests of other hosts that this host relays now.
    pub(crate) relaying: Cell<usize>,
    /// Bytes held for requests and answers.
    pub buffers: BufferBound,
    /// Connections of callers.
    pub connections: Rc<Connections>,
    /// The event log on standard output.
    pub event_log: EventLog,
    /// The planned stop, once it is requested.
    pub(crate) stop: Cell<Option<PlannedStop>>,
    /// Set when the list of refused requests must be read from the store again.
    pub(crate) reread_refused: Cell<bool>,
}

impl Edge {
    /// A host without any knowledge, which writes its event log to standard output.
    pub fn new(settings: Settings) -> Rc<Edge> {
        let event_log = EventLog::start(&settings.logging);
        Edge::with_event_log(settings, event_log)
    }

    /// Creates a host as [`Edge::new`] does, but with the given event log.
    pub fn with_event_log(settings: Settings, event_log: EventLog) -> Rc<Edge> {
        let steer = Steer::new(
            settings::Settings {
                host: settings.host.clone(),
                incarnation: clock::unix_ms(),
                domains: settings.domains.clone(),
                bounds: settings.bounds,
                policies: settings.policies,
            },
            clock::now(),
        );
        let answers_max = settings.resources.answer_bytes_max();
        let buffers = match settings.buffers.is_off() && answers_max == 0 {
            true => BufferBound::default(),
            false => BufferBound::new(settings.buffers.total_bytes).with_answers_max(answers_max),
        };
        let connections = Connections::new(
            settings.resources.connection_bounds(),
            connection_refusal::response(),
        );
        Rc::new(Edge {
            settings,
            steer: RefCell::new(steer),
            pool: Pool::new(buffers.clone()),
            relay_pool: Pool::new(buffers.clone()),
            relaying: Cell::new(0),
            buffers,
            connections: Rc::new(connections),
            event_log,
            stop: Cell::new(None),
            reread_refused: Cell::new(false),
        })
    }

    /// Applies changed failure domains, bounds and policies; addresses and names stay as they were
    /// until the host restarts.
    pub fn reload(&self, settings: &Settings) {
        let same_host = settings.host == self.settings.host;
        self.steer.borrow_mut().reconfigure(
            settings.domains.clone(),
            settings.bounds,
            settings.policies,
        );
        self.reread_refused.set(true);
        self.event_log.write("reload", json!({"host": settings.host.name, "same_host": same_host}));
    }

    /// Whether the host knows enough to serve callers.
    pub fn serves(&self) -> bool {
        self.steer.borrow().serves()
    }

    /// Addresses of entry hosts for callers in the failure domain `domain` of `region` that
    /// look up `name`.
    pub fn lookup(&self, name: &str, domain: &str, region: &str) -> Vec<SocketAddr> {
        self.steer.borrow().lookup(clock::now(), name, domain, region)
    }

    /// Logs the keys of rows of the store that cannot be read, and counts them.
    pub fn log_unreadable_rows(&self, table: &str, keys: &[String]) {
        if keys.is_empty() {
            return;
        }
        metrics::counter!("elmstream_rows_unreadable").increment(keys.len() as u64);
        let named: Vec<&String> = keys.iter().take(NAMES_PER_LINE_MAX).collect();
        let fields = json!({"table": table, "count": keys.len(), "keys": named});
        self.event_log.state_change("rows_unreadable", fields);
    }

    /// Logs that the store was restored from a backup, and which rows are retained against
    /// it.
    fn log_store_restored(&self, from: &str, restored: &StoreRestored) {
        let StoreRestored { table, before, version, changed, retained } = restored;
        let rows: Vec<String> =
            retained.iter().take(NAMES_PER_LINE_MAX).map(RowKey::to_string).collect();
        let fields = json!({
            "table": table, "era": version.era, "era_before": before.era,
            "version": version.count, "version_before": before.count,
            "changed": changed, "held": retained.len(), "rows": rows, "from": from,
        });
        self.event_log.write("store_returned", fields);
    }

    /// Logs state changes and their source, and closes the idle connections to servers that
    /// have restarted.
    pub fn log_changes(&self, from: &str, changes: &[StateChange]) {
        for change in changes {
            if let StateChange::Server(id, ServerState::Restarted | ServerState::Unreadable) =
                change
            {
                self.pool.discard_connections(id);
            }
        }
        let servers = changes.iter().filter(|change| matches!(change, StateChange::Server(..)));
        let many = servers.count() > SERVERS_LOGGED_SINGLY_MAX;
        if many {
            self.event_log.write("servers", server_summary(from, changes));
        }
        for change in changes {
            match change {
                StateChange::Configuration(version) => {
                    let stale_ms = self.steer.borrow().staleness(clock::now()) / MILLI;
                    let fields = json!({"version": version, "from": from, "stale_ms": stale_ms});
                    self.event_log.write("configuration", fields);
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
                StateChange::ServerSpeed { id, is_slow, factor } => {
                    let factor = (factor * 100.0).round() / 100.0;
                    let fields = json!({"server": id, "slow": is_slow, "factor": factor});
                    self.event_log.state_change("server_speed", fields);
                }
                StateChange::ServicePath { service, is_cut } => {
                    metrics::gauge!("elmstream_service_cut", "service" => service.clone())
                        .set(f64::from(u8::from(*is_cut)));
                    let fields = json!({"service": service, "cut": is_cut});
                    self.event_log.state_change("service_path", fields);
                }
                StateChange::HostLost(host) => {
                    self.event_log.state_change("host_lost", json!({"host": host}));
                }
                StateChange::StoreRestored(restored) => self.log_store_restored(from, restored),
                StateChange::StoreAway { age_us, unobserved_us } => {
                    metrics::counter!("elmstream_store_outages").increment(1);
                    let fields = json!({
                        "age_ms": age_us / MILLI, "unobserved_ms": unobserved_us / MILLI, "from": from,
                    });
                    self.event_log.write("store_away", fields);
                }
                StateChange::Standstill { for_us } => {
                    metrics::counter!("elmstream_standstills").increment(1);
                    self.event_log.write("standstill", json!({"for_ms": for_us / MILLI}));
                }
                StateChange::Rollout { service, target, stage } => {
                    let stage = stage.map(RolloutStage::text);
                    let fields = json!({
                        "service": service, "target": target, "stage": stage, "from": from,
                    });
                    self.event_log.write("rollout", fields);
                }
                StateChange::Placement { service, shares } => {
                    let fields = json!({
                        "service": service, "own": shares.own, "near": shares.near,
                        "away": shares.away,
                    });
                    self.event_log.write("placement", fields);
                }
                StateChange::RowsOutdated { table, keys } => {
                    metrics::counter!("elmstream_rows_outdated").increment(keys.len() as u64);
                    let rows = keys.iter().take(NAMES_PER_LINE_MAX).map(RowKey::to_string);
                    let rows: Vec<String> = rows.collect();
                    let fields =
                        json!({"table": table, "count": keys.len(), "rows": rows, "from": from});
                    self.event_log.state_change("rows_outdated", fields);
                }
                StateChange::LateEntry { id, entry, newest } => {
                    metrics::counter!("elmstream_late_entries").increment(1);
                    let fields = json!({
                        "server": id, "entry": entry.entries, "newest": newest.entries,
                        "same_start": entry.born == newest.born, "from": from,
                    });
                    self.event_log.state_change("late_entry", fields);
                }
                StateChange::RetentionEnded(key) => {
                    self.event_log.write("hold_ended", json!({"row": key.to_string()}));
                }
            }
        }
    }
}

/// Summary of many changed servers: their number by state, and the names of those that may no
/// longer be used and of those that may be used now.
fn server_summary(from: &str, changes: &[StateChange]) -> Value {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let (mut lost, mut usable): (Vec<&str>, Vec<&str>) = (Vec::new(), Vec::new());
    for change in changes {
        let StateChange::Server(id, state) = change else { continue };
        *counts.entry(state.name()).or_default() += 1;
        let names = match state {
            ServerState::Ready | ServerState::Answers | ServerState::Restarted => &mut usable,
            _ => &mut lost,
        };
        if names.len() < NAMES_PER_LINE_MAX {
            names.push(id);
        }
    }
    json!({"from": from, "states": counts, "lost": lost, "usable": usable})
}
