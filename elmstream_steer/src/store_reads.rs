//! Scheduling of store reads, and merging of their results.

use elmstream::time::{MILLI, Time};

use crate::{
    era::LAPSE_TIMEOUT,
    hash,
    heartbeat::StoreRead,
    model::Server,
    reader_rank::{self, RankedReader},
    routes::RouteTable,
    startup::StartupContext,
    steer::{ServerState, StateChange, Steer},
    store_schedule::{self, ReadContext, ReadReason},
    version::StoreVersion,
    view::{Effect, Row, RowContent, RowKey, Table},
    workspaces::WorkspaceTable,
};

/// Age of the servers table above which the store is considered to have been away, without the time in
/// which this host could not have learned of a read.
const OUTAGE_AGE: u64 = 2_500 * MILLI;
/// Seed of the random number that a host draws at its start.
const START_SEED: u64 = 0x7374_6172;
/// Added to the cold time of servers whose evacuation ends.
const EVACUATION_END_COLD_MS: u64 = 1_000;

impl Steer {
    /// Whether this host has to read a table now, and why.
    pub fn due_read(&self, now: Time, table: Table) -> Option<ReadReason> {
        if self.is_read_premature(now, table)
            || table == Table::Rollouts && !self.has_active_rollouts()
        {
            return None;
        }
        let mut context = self.read_context(now, table);
        if self.store_schedule.is_acting_reader(now, table) {
            context.ranked_ahead = 0;
        }
        self.store_schedule.due_read(now, table, &context)
    }

    /// Whether no host has a reason to read yet, whatever its rank. This holds most of the time and
    /// is cheap to check, whereas ranking considers all hosts.
    fn is_read_premature(&self, now: Time, table: Table) -> bool {
        let first = reader_rank::read_delay(table, 0, self.settings.bounds.configuration_ms);
        let is_recent = self.view.age(now, table).is_some_and(|age| age < first);
        is_recent && self.store_schedule.is_served() && self.missing_update(table).is_none()
    }

    /// The context for a host that has no data yet.
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
            let location = (member.host.domain.as_str(), member.host.region.as_str());
            Some(RankedReader { host: member.hash, read_ms: member.store_ms?, location })
        });
        let location = (self.settings.host.domain.as_str(), self.settings.host.region.as_str());
        let own = RankedReader { host: self.hash, read_ms: self.store_ms, location };
        let ranked_ahead = match self.store_schedule.is_served() && !self.leaving {
            true => reader_rank::rank(own, served),
            false => served.count() as u64,
        };
        let watermark = self.view.watermark(table);
        let missing_update = self.missing_update(table);
        let stamp_ms = watermark.last_read.map_or(0, |last_read| last_read.stamp_ms);
        // When a rollout is ordered, a few hosts read its progress first, not all hosts as at
        // startup.
        let confirmed_at = match table {
            Table::Rollouts => watermark.confirmed_at.or(self.active_rollout_since()),
            Table::Rules | Table::Servers => watermark.confirmed_at,
        };
        ReadContext {
            confirmed_at,
            startup: self.startup(),
            draw: hash::unit_interval(hash::combine(self.start_hash, stamp_ms)),
            ranked_ahead,
            live_hosts: self.live_hosts as u64,
            behind_since: missing_update.map(|update| update.reported_at),
            bound_ms: self.settings.bounds.configuration_ms,
        }
    }

    /// Records that the store answered a read of this host, begun at `began`, with everything up to
    /// `version`.
    ///
    /// The read covers whatever other hosts announced before it began, as they have it from the
    /// store.
    pub fn record_store_answer(
        &mut self,
        table: Table,
        reason: ReadReason,
        began: Time,
        version: StoreVersion,
    ) {
        self.store_schedule.record_answer(began, table, reason);
        self.view.mark_complete(table, version);
        let announced = self.announcements[table as usize].newest_at(began).unwrap_or(version);
        let read_up_to = &mut self.read_up_to[table as usize];
        *read_up_to = version.max(*read_up_to).max(announced);
    }

    /// Records that a read of this host failed.
    pub fn record_store_failure(&mut self, now: Time, table: Table) {
        let draw = self.draw(now);
        self.store_schedule.record_failure(now, table, draw);
    }

    /// Pause of this host before it calls the store again after a failure, in microseconds.
    pub fn store_retry_pause(&self, now: Time) -> u64 {
        store_schedule::retry_pause(self.live_hosts as u64, self.draw(now))
    }

    /// A number from 0 up to 1 that differs by host and time.
    fn draw(&self, now: Time) -> f64 {
        hash::unit_interval(hash::combine(self.start_hash, now.0))
    }

    /// Version of a table up to which this host knows all significant changes.
    pub(crate) fn known_version(&self, table: Table) -> StoreVersion {
        self.view.watermark(table).version.max(self.read_up_to[table as usize])
    }

    /// Records the duration of a read of all servers, in milliseconds.
    pub fn record_read_time(&mut self, read_ms: u64) {
        self.store_ms = self.store_ms.min(read_ms.min(u64::from(u16::MAX)) as u16);
    }

    /// Merges a full read of a table. Rows that are not in it are deleted.
    pub fn on_full_read(
        &mut self,
        now: Time,
        table: Table,
        version: StoreVersion,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        self.on_full_read_at(now, now, table, version, rows)
    }

    /// Merges a full read that shows the store's state at `read_at`.
    pub fn on_full_read_at(
        &mut self,
        now: Time,
        read_at: Time,
        table: Table,
        version: StoreVersion,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        let before = self.view.watermark(table).version;
        let complete_before = self.view.watermark(table).complete_version();
        if version < complete_before {
            return Vec::new();
        }
        self.view.learn_era(version.era, version.count, None);
        let crossed = self.view.enter_era(now, table, version.era);
        let tombstone_version = if crossed { StoreVersion::absent(version.era) } else { version };
        let rows = self.with_tombstones(table, tombstone_version, rows);
        let mut changes = self.merge_read(now, read_at, table, rows);
        // Rows that were both added and deleted since are not shown.
        if complete_before < version {
            self.view.set_tombstone_floor(table, version);
        }
        self.view.mark_complete(table, version);
        if crossed {
            changes.push(self.store_restored(now, table, before, &changes));
        }
        changes
    }

    /// Adds tombstones for all rows of the table that are not in `rows`.
    pub(crate) fn with_tombstones(
        &self,
        table: Table,
        version: StoreVersion,
        mut rows: Vec<Row>,
    ) -> Vec<Row> {
        let mut present: Vec<RowKey> = rows.iter().map(|row| row.key.clone()).collect();
        present.sort();
        let deleted = self.view.unlisted_keys(table, &present);
        rows.extend(deleted.into_iter().map(|key| Row::new(key, version, None)));
        rows
    }

    /// Merges rows that changed since the previous read.
    pub fn on_changes(&mut self, now: Time, table: Table, rows: Vec<Row>) -> Vec<StateChange> {
        self.on_changes_at(now, now, table, rows)
    }

    /// Merges changes up to `read_at`. A host that was suspended may process an answer long after
    /// the store sent it, and must not pass it on as recent.
    pub fn on_changes_at(
        &mut self,
        now: Time,
        read_at: Time,
        table: Table,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        // Another host's table may have arrived since the read.
        let (rows, deleted) = self.view.split_deleted(rows);
        let mut changes = self.merge_read(now, read_at, table, rows);
        changes.extend(StateChange::rows_outdated(table, deleted));
        changes
    }

    /// Merges rows that the store returned at `read_at`.
    fn merge_read(
        &mut self,
        now: Time,
        read_at: Time,
        table: Table,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        let changes = self.apply_rows(now, table, rows);
        let read = StoreRead { reader: self.start_hash, stamp_ms: read_at.0 / MILLI };
        // Insignificant changes also advance the store's counter, so the version of the last
        // significant row is used.
        let version = self.view.watermark(table).version;
        self.view.confirm(now, table, version, (read, now.since(read_at) / MILLI));
        changes
    }

    pub(crate) fn apply_rows(
        &mut self,
        now: Time,
        table: Table,
        rows: Vec<Row>,
    ) -> Vec<StateChange> {
        self.observation.step(now);
        let mut changes = Vec::new();
        if table == Table::Servers
            && let Some(outage) = self.ended_outage(now)
        {
            self.lapses_at = now + LAPSE_TIMEOUT;
            changes.push(outage);
        }
        for row in rows {
            let key = row.key.clone();
            match self.view.merge(now, row) {
                Effect::Changed => self.apply_row(now, &key, &mut changes),
                Effect::Outdated => self.report_late_entry(&key, &mut changes),
                Effect::Nothing | Effect::Recorded => {}
            }
        }
        self.elect_cold_senders(now);
        self.assign_rollout_roles(now);
        changes
    }

    /// Reports that the store completed an older entry of a server after a newer one.
    fn report_late_entry(&mut self, key: &RowKey, changes: &mut Vec<StateChange>) {
        let RowKey::Server(id) = key else { return };
        if let Some((entry, newest)) = self.view.late_entry(key) {
            // Hosts that do not know the newer entry need it from this one.
            self.urgent = true;
            changes.push(StateChange::LateEntry { id: id.clone(), entry, newest });
        }
    }

    /// The outage of the store that ends with rows that arrive now; `None` if there was none.
    fn ended_outage(&self, now: Time) -> Option<StateChange> {
        let confirmed_at = self.view.watermark(Table::Servers).confirmed_at?;
        let age_us = now.since(confirmed_at);
        let expects_others = !self.members.is_empty();
        let unobserved_us = self.observation.unobserved_since(confirmed_at, now, expects_others);
        (age_us.saturating_sub(unobserved_us) > OUTAGE_AGE)
            .then_some(StateChange::StoreAway { age_us, unobserved_us })
    }

    /// Updates the host's state after a row of the view changed.
    pub(crate) fn apply_row(&mut self, now: Time, key: &RowKey, changes: &mut Vec<StateChange>) {
        let content = self.view.get(key).cloned();
        match (key, content) {
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
            (RowKey::Evacuation(domain), content) => {
                let is_evacuated = content.is_some();
                self.urgent = true;
                if is_evacuated {
                    self.evacuated.insert(domain.clone());
                } else if self.evacuated.remove(domain) {
                    self.extend_cold_times(now, domain);
                }
                changes.push(StateChange::Evacuation(domain.clone(), is_evacuated));
            }
            (RowKey::Rollout(service), content) => {
                let order = match &content {
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
            (RowKey::Server(id), Some(RowContent::Server(server))) if server.is_usable(id) => {
                self.record_version(now, &server.service, &server.version);
                let region = self.settings.domains.get(&server.domain);
                let region = region.cloned().unwrap_or_default();
                if self.is_other_instance(id, &server) {
                    // What was learned about the previous instance does not apply to this one.
                    self.remove_previous_instance(id);
                    changes.push(StateChange::Server(id.clone(), ServerState::Restarted));
                }
                let index = self.servers.insert(now, id, &server, &region);
                if let Some(entry) = self.servers.get_mut(index) {
                    // The entry may have been deleted and added again, or predate the announcement.
                    entry.leaving = self.leaving_servers.contains(entry.start_hash());
                }
                let state =
                    if server.draining { ServerState::Draining } else { ServerState::Ready };
                self.urgent |= server.draining;
                changes.push(StateChange::Server(id.clone(), state));
            }
            // A host of an earlier version may have passed an unusable entry on as a server's.
            (RowKey::Server(id), Some(_)) => {
                self.urgent = true;
                self.remove_server(id);
                changes.push(StateChange::Server(id.clone(), ServerState::Unreadable));
            }
            (RowKey::Server(id), _) => {
                if now < self.lapses_at
                    && let Some(index) = self.servers.find(id)
                    && let Some(entry) = self.servers.get_mut(index)
                    && !entry.is_leaving()
                {
                    entry.lapses_at = Some(self.lapses_at);
                    changes.push(StateChange::Server(id.clone(), ServerState::Lapsed));
                } else {
                    self.drop_server(id, changes);
                }
            }
            _ => {}
        }
    }

    /// Whether an entry describes another server instance than the one known under its id.
    fn is_other_instance(&self, id: &str, server: &Server) -> bool {
        let known = self.servers.find(id).and_then(|index| self.servers.get(index));
        known.is_some_and(|known| {
            let known = &known.server;
            (known.born, known.address, &known.service)
                != (server.born, server.address, &server.service)
        })
    }

    pub(crate) fn drop_server(&mut self, id: &str, changes: &mut Vec<StateChange>) {
        self.urgent = true;
        self.remove_server(id);
        changes.push(StateChange::Server(id.to_owned(), ServerState::Gone));
    }

    /// Removes the previous instance of a server that was replaced under its id.
    fn remove_previous_instance(&mut self, id: &str) {
        let known = self.servers.find(id).and_then(|index| self.servers.get(index));
        if let Some(start_hash) = known.map(|entry| entry.start_hash()) {
            self.leaving_servers.forget(start_hash);
        }
        self.remove_server(id);
    }

    pub(crate) fn remove_server(&mut self, id: &str) {
        if let Some(index) = self.servers.find(id) {
            self.warm_keys.remove_server(index);
        }
        self.servers.remove(id);
    }

    /// Extends the cold time of a failure domain's servers, which may have become cold during the
    /// evacuation.
    fn extend_cold_times(&mut self, now: Time, domain: &str) {
        let settings = &self.cold_settings;
        for entry in self.servers.all_mut().filter(|entry| entry.server.domain == domain) {
            let cold_ms = settings.get(&entry.server.service).map_or(0, |(cold_ms, _)| *cold_ms);
            entry.extend_cold(now, cold_ms.saturating_add(EVACUATION_END_COLD_MS));
        }
    }
}
