//! The decisions of one host.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
};

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    beat::{Beat, Known, Load, Reading},
    budget::Budgets,
    choose::{self, Ask, Choice, Scene},
    demand::{Count, Division, Region},
    hash,
    lookup::{self, Ready},
    members::Members,
    model::{Limits, Route},
    readers,
    routes::RouteTable,
    servers::{Index, Outcome, ServerTable},
    settings::{Bounds, Settings},
    view::{Item, Key, Row, TABLES, Table, View},
    warmth::Warmth,
};

/// Servers that the store drops within this time after it was away may come back.
const AFTER_OUTAGE: u64 = 2_500 * MILLI;
/// A store that told nothing for this long was away.
const OUTAGE: u64 = 2_500 * MILLI;
/// How long a server that lapsed around an outage is still used.
const LAPSE: u64 = 2_200 * MILLI;
/// Time between two divisions of the requests among regions.
const DIVIDE: u64 = SECOND;
/// Added to the cold time of servers whose evacuation ends.
const RETURN_MARGIN_MS: u64 = 1_000;

/// What a host decides with.
#[derive(Debug)]
pub struct Steer {
    settings: Settings,
    hash: u64,
    /// Hash of this start.
    reader: u64,
    started: Time,
    view: View,
    routes: RouteTable,
    evacuated: BTreeSet<String>,
    cold: HashMap<String, (u64, f64)>,
    servers: ServerTable,
    counts: HashMap<String, Count>,
    divisions: HashMap<String, Division>,
    divided: Time,
    warmth: Warmth,
    members: Members,
    budgets: Budgets,
    number: u64,
    store: bool,
    store_ms: u16,
    ready: bool,
    leaving: bool,
    lenient_until: Time,
    live: Vec<u64>,
}

/// What a change of the view brought about, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration is in force.
    Configuration(u64),
    /// A failure domain is evacuated, or taken back.
    Evacuation(String, bool),
    /// A server came, changed or left.
    Server(String, &'static str),
}

impl Steer {
    /// A host that has just started and knows nothing.
    pub fn new(settings: Settings, now: Time) -> Steer {
        let hash = hash::of(&settings.host.name);
        let reader = hash::pair(hash, settings.incarnation);
        Steer {
            settings,
            hash,
            reader,
            started: now,
            view: View::default(),
            routes: RouteTable::default(),
            evacuated: BTreeSet::new(),
            cold: HashMap::new(),
            servers: ServerTable::default(),
            counts: HashMap::new(),
            divisions: HashMap::new(),
            divided: Time(0),
            warmth: Warmth::default(),
            members: Members::default(),
            budgets: Budgets::default(),
            number: 0,
            store: true,
            store_ms: readers::FAR_MS,
            ready: false,
            leaving: false,
            lenient_until: Time(0),
            live: vec![hash],
        }
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
        self.version().is_some() && !self.leaving && self.view.mark(Table::Servers).fresh.is_some()
    }

    /// The host is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    // Requests.

    /// Chooses the server of a request and counts it as sent.
    pub fn send(&mut self, now: Time, ask: &Ask<'_>) -> Choice {
        let cold_per_s = self.cold.get(ask.service).map_or(1.0, |(_, per_s)| *per_s);
        let host = &self.settings.host;
        let empty = Division::default();
        let scene = Scene {
            now,
            started: self.started,
            place: (&host.domain, &host.region),
            servers: &self.servers,
            evacuated: &self.evacuated,
            bounds: &self.settings.bounds,
            cold_per_s,
            hosts: &self.live,
            division: self.divisions.get(ask.service).unwrap_or(&empty),
            warmth: &self.warmth,
        };
        let choice = choose::choose(&scene, ask);
        if let Choice::Send(index) = choice
            && let Some(entry) = self.servers.get_mut(index)
        {
            entry.sent(now);
        }
        choice
    }

    /// Takes in what became of a request that was sent.
    pub fn done(&mut self, now: Time, index: Index, outcome: Outcome) {
        self.servers.done(now, index, outcome);
    }

    /// Takes in what a server said of its load.
    pub fn tell(&mut self, now: Time, index: Index, requests: u32) {
        if let Some(entry) = self.servers.get_mut(index) {
            entry.tell(now, requests);
        }
    }

    /// A server answered a request of a key; whether it was taken to know it.
    pub fn learn(&mut self, now: Time, index: Index, key: u64) -> bool {
        let knew = self.warmth.knows(now, index, key);
        self.warmth.learn(now, index, key);
        knew
    }

    /// A request of a service came, which earns a part of a repeat.
    pub fn earn(&mut self, now: Time, service: &str) {
        if let Some(count) = self.counts.get_mut(service) {
            count.add(now);
        } else {
            self.counts.entry(service.to_owned()).or_default().add(now);
        }
        let bounds = &self.settings.bounds;
        self.budgets.earn(service, bounds.retry_ratio, bounds.retry_slack, self.live.len());
    }

    /// Whether a request of a service may be sent once more.
    pub fn repeat(&mut self, service: &str) -> bool {
        self.budgets.spend(service)
    }

    // The store.

    /// Whether this host has to ask the store for a table now.
    pub fn must_read(&self, now: Time, table: Table) -> bool {
        let live = self.members.live(now);
        let served = live.filter_map(|member| Some((member.hash, member.store_ms?)));
        let rank = readers::rank((self.hash, self.store_ms), served);
        let rank = if self.store { rank } else { rank + 1 };
        let patience = readers::patience(table, rank, self.settings.bounds.configuration_ms);
        readers::due(now, self.view.mark(table).fresh, patience)
    }

    /// Whether the store served this host's last call.
    pub fn store_serves(&mut self, serves: bool) {
        self.store = serves;
    }

    /// All servers were read in this time.
    pub fn store_read_in(&mut self, millis: u64) {
        self.store_ms = self.store_ms.min(millis.min(u64::from(u16::MAX)) as u16);
    }

    /// All rows of a table as the store has them; what is not among them is gone.
    pub fn read_all(
        &mut self,
        now: Time,
        table: Table,
        version: u64,
        rows: Vec<Row>,
    ) -> Vec<Change> {
        if version < self.view.mark(table).version {
            return Vec::new();
        }
        let mut present: Vec<Key> = rows.iter().map(|row| row.key.clone()).collect();
        present.sort();
        let gone = self.view.missing(table, &present);
        let removed = gone.into_iter().map(|key| Row { key, version, item: None });
        let rows = rows.into_iter().chain(removed).collect();
        self.read(now, table, rows)
    }

    /// Rows that the store says have changed.
    pub fn read(&mut self, now: Time, table: Table, rows: Vec<Row>) -> Vec<Change> {
        let changes = self.take(now, table, rows);
        let reading = Reading { reader: self.reader, stamp: now.0 / MILLI };
        // The store's counter also rises with what does not matter, so the table's
        // version is that of its last row that did.
        self.view.confirm(now, table, 0, reading);
        changes
    }

    /// Rows that another host knows of, after the version that was known here.
    pub fn told(&mut self, now: Time, table: Table, known: Known, rows: Vec<Row>) -> Vec<Change> {
        let changes = self.take(now, table, rows);
        if let Some(reading) = known.reading {
            self.view.confirm(now, table, known.version, reading);
        }
        changes
    }

    fn take(&mut self, now: Time, table: Table, rows: Vec<Row>) -> Vec<Change> {
        let before = self.view.age(now, Table::Servers);
        if table == Table::Servers && before.is_some_and(|age| age > OUTAGE) {
            self.lenient_until = now + AFTER_OUTAGE;
        }
        let mut changes = Vec::new();
        for row in rows {
            let key = row.key.clone();
            if self.view.merge(now, row) {
                self.apply(now, &key, &mut changes);
            }
        }
        changes
    }

    /// Brings the tables in line with a row of the view.
    fn apply(&mut self, now: Time, key: &Key, changes: &mut Vec<Change>) {
        let item = self.view.get(key).cloned();
        match (key, item) {
            (Key::Configuration, Some(Item::Configuration(configuration))) => {
                self.routes = RouteTable::new(&configuration);
                let services = configuration.services.iter();
                self.cold = services.map(|s| (s.name.clone(), (s.cold_ms, s.cold_per_s))).collect();
                changes.push(Change::Configuration(configuration.version));
            }
            (Key::Evacuation(domain), item) => {
                let begins = item.is_some();
                if begins {
                    self.evacuated.insert(domain.clone());
                } else if self.evacuated.remove(domain) {
                    self.take_back(now, domain);
                }
                changes.push(Change::Evacuation(domain.clone(), begins));
            }
            (Key::Server(id), Some(Item::Server(server))) => {
                let region = self.settings.domains.get(&server.domain);
                let region = region.cloned().unwrap_or_default();
                self.servers.put(now, id, &server, &region);
                let what = if server.draining { "draining" } else { "ready" };
                changes.push(Change::Server(id.clone(), what));
            }
            (Key::Server(id), _) => {
                if now < self.lenient_until
                    && let Some(index) = self.servers.find(id)
                    && let Some(entry) = self.servers.get_mut(index)
                    && !entry.server.draining
                {
                    entry.lapses = Some(now + LAPSE);
                    changes.push(Change::Server(id.clone(), "lapsed"));
                } else {
                    self.remove(id);
                    changes.push(Change::Server(id.clone(), "gone"));
                }
            }
            _ => {}
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(index) = self.servers.find(id) {
            self.warmth.forget(index);
        }
        self.servers.remove(id);
    }

    /// Servers of a failure domain that is taken back may have turned cold.
    fn take_back(&mut self, now: Time, domain: &str) {
        let cold = &self.cold;
        for entry in self.servers.all_mut().filter(|entry| entry.server.domain == domain) {
            let millis = cold.get(&entry.server.service).map_or(0, |(millis, _)| *millis);
            entry.keep_cold(now, millis + RETURN_MARGIN_MS);
        }
    }

    // The other hosts.

    /// An address at which another host may be.
    pub fn suppose(&mut self, now: Time, address: SocketAddr) {
        if address != self.settings.host.peers {
            self.members.suppose(now, address);
        }
    }

    /// Where beats go.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.addresses()
    }

    /// How far the tables are known.
    pub fn known(&self) -> [Known; 2] {
        TABLES.map(|table| {
            let mark = self.view.mark(table);
            Known { version: mark.version, reading: mark.reading }
        })
    }

    /// The next beat.
    pub fn beat(&mut self, now: Time) -> Beat {
        self.number += 1;
        self.ready = self.serves();
        let loads = self.servers.all().filter_map(|(_, entry)| {
            let silent = entry.silent(now, self.servers.pace(&entry.server.service));
            let load = Load {
                server: entry.hash as u32,
                in_flight: entry.own.min(u16::MAX as u32) as u16,
                silent,
            };
            (entry.own > 0 || silent).then_some(load)
        });
        let loads = loads.collect();
        let known = self.known();
        let counts = self.counts.iter();
        let demand = counts.map(|(name, count)| (hash::of(name) as u32, count.value(now) as u32));
        let demand = demand.collect();
        Beat {
            demand,
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            number: self.number,
            ready: self.ready,
            leaving: self.leaving,
            store_ms: self.store.then_some(self.store_ms),
            known,
            loads,
        }
    }

    /// Takes a beat in; the tables that its sender knows better.
    pub fn hear(&mut self, now: Time, beat: &Beat) -> Option<News> {
        if beat.host.peers == self.settings.host.peers {
            return None;
        }
        let heard = self.members.hear(now, beat)?;
        self.count(&heard.before, false);
        self.count(&beat.loads, true);
        if heard.joined {
            self.count_hosts(now);
        }
        let mut wanted = Vec::new();
        for (table, known) in TABLES.into_iter().zip(beat.known) {
            let mark = self.view.mark(table);
            let Some(reading) = known.reading else { continue };
            if mark.fresh.is_none() || known.version > mark.version {
                wanted.push((table, mark.version));
            } else if known.version == mark.version {
                self.view.confirm(now, table, known.version, reading);
            }
        }
        Some(News { joined: heard.joined, wanted })
    }

    fn count(&mut self, loads: &[Load], add: bool) {
        for load in loads {
            let Some(entry) = self.servers.by_hash(load.server) else { continue };
            let (in_flight, silent) = (u32::from(load.in_flight), u32::from(load.silent));
            if add {
                entry.others += in_flight;
                entry.silent_elsewhere += silent;
            } else {
                entry.others = entry.others.saturating_sub(in_flight);
                entry.silent_elsewhere = entry.silent_elsewhere.saturating_sub(silent);
            }
        }
    }

    /// Counts the others' requests anew, as servers and hosts come and go.
    fn recount(&mut self) {
        for entry in self.servers.all_mut() {
            entry.others = 0;
            entry.silent_elsewhere = 0;
        }
        let members = std::mem::take(&mut self.members);
        for member in members.all() {
            self.count(&member.loads, true);
        }
        self.members = members;
    }

    /// Divides each service's requests among the regions anew.
    fn divide(&mut self, now: Time) {
        if now.since(self.divided) < DIVIDE {
            return;
        }
        self.divided = now;
        let services: Vec<String> = self.servers.services().map(str::to_owned).collect();
        for service in services {
            let names = self.settings.domains.values();
            let mut regions: BTreeMap<String, Region> =
                names.map(|name| (name.clone(), Region::default())).collect();
            for (_, entry) in self.servers.of(&service) {
                let used = !entry.server.draining && !self.evacuated.contains(&entry.server.domain);
                if used && let Some(region) = regions.get_mut(&entry.region) {
                    region.slots += f64::from(entry.server.slots);
                }
            }
            let hash = hash::of(&service) as u32;
            for member in self.members.all() {
                let told = member.demand.iter().find(|(service, _)| *service == hash);
                let region = regions.entry(member.host.region.clone()).or_default();
                region.demand += told.map_or(0.0, |(_, requests)| f64::from(*requests));
            }
            if let Some(count) = self.counts.get(&service) {
                let region = regions.entry(self.settings.host.region.clone()).or_default();
                region.demand += count.value(now);
            }
            self.divisions.insert(service, Division::new(&regions));
        }
    }

    fn count_hosts(&mut self, now: Time) {
        self.live.clear();
        self.live.push(self.hash);
        self.live.extend(self.members.live(now).map(|member| member.hash));
    }

    /// What time alone brings about; called every 100 ms or so.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        self.members.expire(now);
        self.recount();
        self.count_hosts(now);
        self.divide(now);
        self.view.forget(now);
        let lapsed =
            self.servers.all().filter(|(_, entry)| entry.lapses.is_some_and(|at| now >= at));
        let lapsed: Vec<String> = lapsed.map(|(_, entry)| entry.id.clone()).collect();
        for id in &lapsed {
            self.remove(id);
        }
        lapsed.into_iter().map(|id| Change::Server(id, "gone")).collect()
    }

    // Look-ups.

    /// Entry hosts for callers of a failure domain who want a host name.
    pub fn lookup(&self, now: Time, name: &str, domain: &str, region: &str) -> Vec<SocketAddr> {
        let own = &self.settings.host;
        let mut hosts: Vec<Ready<'_>> = Vec::new();
        if self.serves() {
            let (domain, region) = (own.domain.as_str(), own.region.as_str());
            hosts.push(Ready { callers: own.callers, domain, region });
        }
        for member in self.members.live(now).filter(|member| member.ready && !member.leaving) {
            let host = &member.host;
            let (domain, region) = (host.domain.as_str(), host.region.as_str());
            hosts.push(Ready { callers: host.callers, domain, region });
        }
        let configuration = self.view.configuration();
        let routes = configuration.into_iter().flat_map(|configuration| &configuration.routes);
        let homes = routes.filter(|route| route.host == name).flat_map(|route| &route.homes);
        let homes: Vec<String> = homes.cloned().collect();
        lookup::answer(&hosts, domain, region, &homes)
    }

    /// How old what is known of the store is, in microseconds.
    pub fn staleness(&self, now: Time) -> u64 {
        let ages = TABLES.map(|table| self.view.age(now, table).unwrap_or(60 * SECOND));
        ages[0].max(ages[1])
    }
}

/// What a beat calls for.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// The host is new, or back.
    pub joined: bool,
    /// Tables that its sender knows better, with the version known here.
    pub wanted: Vec<(Table, u64)>,
}
