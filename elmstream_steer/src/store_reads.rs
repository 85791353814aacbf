//! Takes in what the store and the other hosts say of its tables.

use elmstream::time::{MILLI, Time};

use crate::{
    era::LAPSE,
    hash,
    heartbeat::StoreRead,
    model::Server,
    reader_rank::{self, RankedReader},
    restore::AFTER_OUTAGE,
    routes::RouteTable,
    startup::StartupContext,
    steer::{PendingNews, ServerState, StateChange, Steer},
    store_schedule::{self, ReadContext, ReadReason},
    version::StoreVersion,
    view::{Row, RowContent, RowKey, Table},
    workspaces::WorkspaceTable,
};

/// A store that told nothing for this long was away.
const OUTAGE: u64 = 2_500 * MILLI;
/// Part of the bound on configurations for which a host can say that a route is not
/// there. News reach all hosts in a fleet that is well within half of it, and take up to
/// a quarter on their way.
const VOUCH_PART: f64 = 0.6;
/// Seed of the draw that a host makes at its start.
const START_SEED: u64 = 0x7374_6172;
/// Added to the cold time of servers whose evacuation ends.
const RETURN_MARGIN_MS: u64 = 1_000;

impl Steer {
    /// Whether this host has to ask the store for a table now, and why.
    pub fn due_read(&self, now: Time, table: Table) -> Option<ReadReason> {
        if self.rests(now, table) || table == Table::Rollouts && !self.has_active_rollouts() {
            return None;
        }
        self.store_schedule.due_read(now, table, &self.read_context(now, table))
    }

    /// Whether no host has a reason to ask yet, whatever its rank. That is so most of the
    /// time, and a rank takes a look at all hosts.
    fn rests(&self, now: Time, table: Table) -> bool {
        let first = reader_rank::read_delay(table, 0, self.settings.bounds.configuration_ms);
        let young = self.view.age(now, table).is_some_and(|age| age < first);
        young && self.store_schedule.is_served() && self.behind(table).is_none()
    }

    /// What the host goes by as long as it knows nothing.
    pub(crate) fn startup(&self) -> StartupContext {
        StartupContext {
            started_at: self.started,
            is_seed: self.is_seed || self.members.is_empty(),
            has_uninformed_peer: self.has_uninformed_peer,
            possible_hosts: self.address_hashes.len() as u64,
            draw: hash::unit_interval(hash::combine(self.start_hash, START_SEED)),
        }
    }

    pub(crate) fn read_context(&self, now: Time, table: Table) -> ReadContext {
        let staying = self.members.live(now).filter(|member| !member.leaving);
        let served = staying.filter_map(|member| {
            let place = (member.host.domain.as_str(), member.host.region.as_str());
            Some(RankedReader { host: member.hash, read_ms: member.store_ms?, location: place })
        });
        let place = (self.settings.host.domain.as_str(), self.settings.host.region.as_str());
        let own = RankedReader { host: self.hash, read_ms: self.store_ms, location: place };
        let ahead = match self.store_schedule.is_served() && !self.leaving {
            true => reader_rank::rank(own, served),
            false => served.count() as u64,
        };
        let mark = self.view.watermark(table);
        let behind = self.behind(table);
        let stamp = mark.last_read.map_or(0, |reading| reading.stamp);
        // A few hosts read how far a roll-out has come when it is ordered, not all that start.
        let fresh = match table {
            Table::Rollouts => mark.confirmed_at.or(self.active_rollout_since()),
            Table::Rules | Table::Servers => mark.confirmed_at,
        };
        ReadContext {
            confirmed_at: fresh,
            startup: self.startup(),
            draw: hash::unit_interval(hash::combine(self.start_hash, stamp)),
            ranked_ahead: ahead,
            live_hosts: self.live_hosts as u64,
            behind_since: behind.map(|told| told.told_at),
            bound_ms: self.settings.bounds.configuration_ms,
        }
    }

    /// Whether this host can say that a route is not there.
    ///
    /// A caller takes that for the last word. So a host says it only while its own
    /// knowledge is young, and none has told it of more.
    pub fn can_deny_routes(&self, now: Time) -> bool {
        let bound = self.settings.bounds.configuration_ms * MILLI;
        let most = (bound as f64 * VOUCH_PART) as u64;
        let young = self.view.age(now, Table::Rules).is_some_and(|age| age < most);
        young && self.behind(Table::Rules).is_none()
    }

    /// News of a table that this host was told of and still lacks.
    fn behind(&self, table: Table) -> Option<PendingNews> {
        self.pending_news[table as usize].filter(|told| told.version > self.known_version(table))
    }

    /// The store answered this host's call for a table, which began at `asked`, with all
    /// up to `version`.
    ///
    /// That covers whatever other hosts told of before: they have it from the store.
    pub fn record_store_answer(
        &mut self,
        table: Table,
        why: ReadReason,
        asked: Time,
        version: StoreVersion,
    ) {
        self.store_schedule.record_answer(table, why == ReadReason::Check);
        self.view.mark_complete(table, version);
        let told = self.behind(table).filter(|told| told.told_at <= asked);
        let covered = &mut self.read_up_to[table as usize];
        let told = told.map_or(version, |told| told.version);
        *covered = version.max(*covered).max(told);
    }

    /// A call of this host for a table failed.
    pub fn record_store_failure(&mut self, now: Time, table: Table) {
        let draw = self.draw(now);
        self.store_schedule.record_failure(now, table, draw);
    }

    /// How long this host waits before it asks the store once more, in microseconds.
    pub fn store_retry_pause(&self, now: Time) -> u64 {
        store_schedule::retry_pause(self.live_hosts as u64, self.draw(now))
    }

    /// A number from 0 up to 1 that differs by host and time.
    fn draw(&self, now: Time) -> f64 {
        hash::unit_interval(hash::combine(self.start_hash, now.0))
    }

    /// Version of a table up to which this host knows all that matters.
    pub(crate) fn known_version(&self, table: Table) -> StoreVersion {
        self.view.watermark(table).version.max(self.read_up_to[table as usize])
    }

    /// All servers were read in this time.
    pub fn record_read_time(&mut self, millis: u64) {
        self.store_ms = self.store_ms.min(millis.min(u64::from(u16::MAX)) as u16);
    }

    /// All rows of a table as the store has them; what is not among them is gone.
    pub fn on_full_read(
        &mut self,
        now: Time,
        table: Table,
        version: StoreVersion,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        self.on_full_read_at(now, now, table, version, rows)
    }

    /// The same as the store had them at a moment.
    pub fn on_full_read_at(
        &mut self,
        now: Time,
        moment: Time,
        table: Table,
        version: StoreVersion,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        let before = self.view.watermark(table).version;
        if version < before {
            return Vec::new();
        }
        self.view.learn_era(version.era, version.count, None);
        let first = self.view.watermark(table).confirmed_at.is_none();
        let crossed = self.view.enter_era(now, table, version.era);
        let gone = if crossed { StoreVersion::absent(version.era) } else { version };
        let rows = self.with_tombstones(table, gone, rows);
        let mut changes = self.on_changes_at(now, moment, table, rows);
        if crossed || first {
            self.view.set_tombstone_floor(table, version);
        }
        self.view.mark_complete(table, version);
        if crossed {
            changes.push(self.store_restored(now, table, before, &changes));
        }
        changes
    }

    /// Rows of a whole table, and removals of what is not among them.
    pub(crate) fn with_tombstones(
        &self,
        table: Table,
        version: StoreVersion,
        mut rows: Vec<Row>,
    ) -> Vec<Row> {
        let mut present: Vec<RowKey> = rows.iter().map(|row| row.key.clone()).collect();
        present.sort();
        let gone = self.view.unlisted_keys(table, &present);
        rows.extend(gone.into_iter().map(|key| Row::new(key, version, None)));
        rows
    }

    /// Rows that the store says have changed.
    pub fn on_changes(&mut self, now: Time, table: Table, rows: Vec<Row>) -> Vec<StateChange> {
        self.on_changes_at(now, now, table, rows)
    }

    /// The same up to a moment. A host that stood still takes an answer in long after
    /// the store gave it, and must not pass it on as fresh.
    pub fn on_changes_at(
        &mut self,
        now: Time,
        moment: Time,
        table: Table,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        let changes = self.apply_rows(now, table, rows);
        let reading = StoreRead { reader: self.start_hash, stamp: moment.0 / MILLI };
        // The store's counter also rises with what does not matter, so the table's
        // version is that of its last row that did.
        let mark = self.view.watermark(table).version;
        self.view.confirm(now, table, mark, reading);
        changes
    }

    pub(crate) fn apply_rows(
        &mut self,
        now: Time,
        table: Table,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        let before = self.view.age(now, Table::Servers);
        if table == Table::Servers && before.is_some_and(|age| age > OUTAGE) {
            self.lenient_until = now + AFTER_OUTAGE;
        }
        let mut changes = Vec::new();
        for row in rows {
            let key = row.key.clone();
            if self.view.merge(now, row) {
                self.apply_row(now, &key, &mut changes);
            }
        }
        self.elect_cold_senders(now);
        self.assign_rollout_roles(now);
        changes
    }

    /// Brings the tables in line with a row of the view.
    pub(crate) fn apply_row(&mut self, now: Time, key: &RowKey, changes: &mut Vec<StateChange>) {
        let item = self.view.get(key).cloned();
        match (key, item) {
            (RowKey::Configuration, Some(RowContent::Configuration(configuration))) => {
                self.routes = RouteTable::new(&configuration);
                let workspaces = WorkspaceTable::new(&configuration);
                let before = std::mem::replace(&mut self.workspaces, workspaces);
                self.quotas.on_configuration(&self.settings.bounds, &self.workspaces, &before);
                let services = configuration.services.iter();
                self.cold_settings =
                    services.map(|s| (s.name.clone(), (s.cold_ms, s.cold_per_s))).collect();
                self.urgent = true;
                changes.push(StateChange::Configuration(configuration.version));
            }
            (RowKey::Evacuation(domain), item) => {
                let begins = item.is_some();
                self.urgent = true;
                if begins {
                    self.evacuated.insert(domain.clone());
                } else if self.evacuated.remove(domain) {
                    self.take_back(now, domain);
                }
                changes.push(StateChange::Evacuation(domain.clone(), begins));
            }
            (RowKey::Rollout(service), item) => {
                let order = match &item {
                    Some(RowContent::Rollout(order)) => Some(order),
                    _ => None,
                };
                self.on_rollout_order(now, service, order);
                let target = order.map(|order| order.target.clone());
                let stage = self.rollout_stage(service);
                changes.push(StateChange::Rollout { service: service.clone(), target, stage });
            }
            (RowKey::Progress(service), _) => {
                if let Some((target, stage)) = self.on_rollout_progress(now, service) {
                    let (target, stage) = (Some(target), Some(stage));
                    changes.push(StateChange::Rollout { service: service.clone(), target, stage });
                }
            }
            (RowKey::Server(id), Some(RowContent::Server(server))) => {
                self.record_version(now, &server.service, &server.version);
                let region = self.settings.domains.get(&server.domain);
                let region = region.cloned().unwrap_or_default();
                if self.started_anew(id, &server) {
                    // Nothing that was learned of the one before holds for this one.
                    self.forget_start(id);
                    changes.push(StateChange::Server(id.clone(), ServerState::Restarted));
                }
                let index = self.servers.insert(now, id, &server, &region);
                if let Some(entry) = self.servers.get_mut(index) {
                    // Its entry may have gone and come back, or be older than its word.
                    entry.leaving = self.leaving_servers.contains(entry.start_hash());
                }
                let state =
                    if server.draining { ServerState::Draining } else { ServerState::Ready };
                self.urgent |= server.draining;
                changes.push(StateChange::Server(id.clone(), state));
            }
            (RowKey::Server(id), Some(RowContent::Unreadable)) => {
                self.urgent = true;
                self.remove(id);
                changes.push(StateChange::Server(id.clone(), ServerState::Unreadable));
            }
            (RowKey::Server(id), _) => {
                if now < self.lenient_until
                    && let Some(index) = self.servers.find(id)
                    && let Some(entry) = self.servers.get_mut(index)
                    && !entry.is_leaving()
                {
                    entry.lapses_at = Some(now + LAPSE);
                    changes.push(StateChange::Server(id.clone(), ServerState::Lapsed));
                } else {
                    self.drop_server(id, changes);
                }
            }
            _ => {}
        }
    }

    /// Whether a server is another one than is known under its id.
    fn started_anew(&self, id: &str, server: &Server) -> bool {
        let known = self.servers.find(id).and_then(|index| self.servers.get(index));
        known.is_some_and(|known| {
            let known = &known.server;
            (known.born, known.address, &known.service)
                != (server.born, server.address, &server.service)
        })
    }

    pub(crate) fn drop_server(&mut self, id: &str, changes: &mut Vec<StateChange>) {
        self.urgent = true;
        self.remove(id);
        changes.push(StateChange::Server(id.to_owned(), ServerState::Gone));
    }

    /// Another start has come under a server's id.
    fn forget_start(&mut self, id: &str) {
        let known = self.servers.find(id).and_then(|index| self.servers.get(index));
        if let Some(start) = known.map(|entry| entry.start_hash()) {
            self.leaving_servers.forget(start);
        }
        self.remove(id);
    }

    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(index) = self.servers.find(id) {
            self.warm_keys.remove_server(index);
        }
        self.servers.remove(id);
    }

    /// Servers of a failure domain that is taken back may have turned cold.
    fn take_back(&mut self, now: Time, domain: &str) {
        let cold = &self.cold_settings;
        for entry in self.servers.all_mut().filter(|entry| entry.server.domain == domain) {
            let millis = cold.get(&entry.server.service).map_or(0, |(millis, _)| *millis);
            entry.extend_cold(now, millis + RETURN_MARGIN_MS);
        }
    }
}
