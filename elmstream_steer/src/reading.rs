//! Takes in what the store and the other hosts say of its tables.

use elmstream::time::{MILLI, Time};

use crate::{
    beat::{Known, Reading},
    readers,
    routes::RouteTable,
    steer::{Change, State, Steer},
    view::{Item, Key, Row, Table},
};

/// Servers that the store drops within this time after it was away may come back.
const AFTER_OUTAGE: u64 = 2_500 * MILLI;
/// A store that told nothing for this long was away.
const OUTAGE: u64 = 2_500 * MILLI;
/// How long a server that lapsed around an outage is still used.
const LAPSE: u64 = 2_200 * MILLI;
/// Added to the cold time of servers whose evacuation ends.
const RETURN_MARGIN_MS: u64 = 1_000;

impl Steer {
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
        self.pick_cold(now);
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
                self.urgent = true;
                changes.push(Change::Configuration(configuration.version));
            }
            (Key::Evacuation(domain), item) => {
                let begins = item.is_some();
                self.urgent = true;
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
                let state = if server.draining { State::Draining } else { State::Ready };
                self.urgent |= server.draining;
                changes.push(Change::Server(id.clone(), state));
            }
            (Key::Server(id), _) => {
                if now < self.lenient_until
                    && let Some(index) = self.servers.find(id)
                    && let Some(entry) = self.servers.get_mut(index)
                    && !entry.server.draining
                {
                    entry.lapses = Some(now + LAPSE);
                    changes.push(Change::Server(id.clone(), State::Lapsed));
                } else {
                    self.urgent = true;
                    self.remove(id);
                    changes.push(Change::Server(id.clone(), State::Gone));
                }
            }
            _ => {}
        }
    }

    pub(crate) fn remove(&mut self, id: &str) {
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
}
