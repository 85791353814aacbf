//! Methods of [`Steer`] that build the messages to other hosts, merge those received from them, and
//! periodically update what depends on which hosts are live.
//!
//! The methods do no input or output: the caller sends the returned messages.

use std::{collections::BTreeMap, net::SocketAddr};

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    cold_start,
    demand::{self, DecayingCount},
    digest::RequestDigest,
    domain_split::{self, SplitInput, TransferSize},
    hash,
    heartbeat::{Heartbeat, Message, Reachability, ServerLoad, TableStatus},
    members::{Member, Targets},
    placement::{Place, PlacementInput, ServicePlacement},
    poison::{PoisonChange, PoisonEvidence, ServerCrash},
    quota::AddressedBroadcast,
    server_limit::RequestRate,
    server_speed::{self, SpeedSource},
    servers::{AnswerTimes, ServerEntry},
    steer::{ServerState, StateChange, Steer},
    table_sync::SyncRequest,
    tally::{FractionBroadcast, UsageReply, UsageReport},
    view::{TABLES, Table},
};

/// Interval between two updates of the placements.
const PLACEMENT_INTERVAL: u64 = SECOND;
/// Time after a host's start in which it hears of all demand.
const DEMAND_LEARNED_TIME: u64 = 4 * SECOND;
/// Maximum number of servers in a heartbeat of which only the speed is reported.
const SPEEDS_PER_HEARTBEAT_MAX: usize = 128;
/// If a host reports at least this number of servers as silent, and these are most of the servers
/// that it reports, its own connectivity is doubted and the report not believed.
const MASS_SILENCE_SERVERS_MIN: usize = 4;

impl Steer {
    /// Adds an address at which another host may run. It receives heartbeats, but does not count as
    /// a live host before one arrives from it.
    pub fn add_peer_address(&mut self, now: Time, address: SocketAddr) {
        if address != self.settings.host.peers {
            self.members.add_unconfirmed(now, address);
        }
    }

    /// Addresses that receive the heartbeat of a round. `round` counts the rounds: hosts of other
    /// regions, hosts of other domains if these have a cost, and unreachable hosts are included only in
    /// some of them.
    pub fn targets(&mut self, now: Time, round: u64) -> Targets {
        let policy = &self.settings.policies.placement;
        let own_domain = policy.has_domain_cost().then_some(self.settings.host.domain.as_str());
        self.members.targets(now, round, self.hash, own_domain)
    }

    /// How far this host knows each table, in the order of [`TABLES`].
    pub fn table_statuses(&self, now: Time) -> [TableStatus; 3] {
        TABLES.map(|table| {
            let watermark = self.view.watermark(table);
            TableStatus {
                version: watermark.version,
                last_read: watermark.last_read,
                age_ms: self.view.age(now, table).unwrap_or_default() / MILLI,
                retained_digest: self.view.retained_digest(table),
                tombstone_floor: watermark.tombstone_floor,
                keys_digest: self.view.keys_digest(table),
            }
        })
    }

    /// Whether a change since the last heartbeat should reach the other hosts before the next
    /// regular round.
    pub fn has_urgent_news(&self) -> bool {
        self.urgent
    }

    /// Builds the next heartbeat and advances the heartbeat number.
    pub fn next_heartbeat(&mut self, now: Time) -> Heartbeat {
        self.heartbeat_number += 1;
        self.urgent = false;
        self.ready = self.serves();
        let loads = self.next_loads(now);
        let tables = self.table_statuses(now);
        let demand = self.demand(now);
        Heartbeat {
            demand,
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            number: self.heartbeat_number,
            ready: self.ready,
            leaving: self.leaving,
            // A host about to stop no longer counts as a reader, so that the next one takes over at
            // once.
            store_ms: (self.store_schedule.is_served() && !self.leaving).then_some(self.store_ms),
            tables,
            cut_services: self.cut_service_hashes(),
            loads,
            warm_keys: self.warm_keys.next_updates(),
            liveness: self.members.liveness_updates(now),
            fleet_size: self.possibly_running(now) as u32,
            crashes: self.poison.next_reports(now),
            limits: self.limit_notices(now),
            leaving_servers: self.leaving_notices(now),
            refusals: self.refusals.own_reports(now),
        }
    }

    /// This host's recent requests, by hash of the service.
    fn demand(&self, now: Time) -> Vec<(u32, u32)> {
        let counts = self.demand_counts.iter();
        let count_of = |count: &DecayingCount| count.value(now) as u32;
        counts.map(|(name, count)| (hash::of(name) as u32, count_of(count))).collect()
    }

    /// What this host reports of servers in its next heartbeat.
    fn next_loads(&self, now: Time) -> Vec<ServerLoad> {
        let max_age = self.settings.policies.speed.report_decay_ms * MILLI;
        let awaited = self.servers.awaited_by_service();
        let mut speeds_left = SPEEDS_PER_HEARTBEAT_MAX;
        let loads = self.servers.all().filter_map(|(_, entry)| {
            let times = self.servers.answer_times(&entry.server.service);
            let is_witness = self.servers.is_witness(entry, &awaited);
            let (speed_percent, speed_age) = entry.speed.passed_on(now, max_age).unwrap_or((0, 0));
            let load = ServerLoad {
                server: entry.hash as u32,
                in_flight: entry.own_in_flight.min(u16::MAX as u32) as u16,
                reachability: reachability(now, entry, times, is_witness),
                speed_percent,
                speed_age,
            };
            if reports_requests(&load) {
                return Some(load);
            }
            let is_news = speed_percent > 0 && server_speed::is_unusual(speed_percent);
            speeds_left = speeds_left.checked_sub(usize::from(is_news))?;
            is_news.then_some(load)
        });
        loads.collect()
    }

    /// Number of hosts, including this one, that this host itself considers possibly running. The
    /// size of the fleet is the highest such number of any live host.
    fn possibly_running(&self, now: Time) -> usize {
        self.members.possibly_running(now) + 1
    }

    /// Usage reports, admit fractions and rollout counts that are due, with their receivers. Called
    /// every 100 ms; includes [`Steer::due_broadcasts`].
    pub fn due_messages(&mut self, now: Time) -> Vec<(SocketAddr, Message)> {
        let due_reports =
            self.with_quotas(now, |quotas, context, table| quotas.due_reports(context, table));
        let reports =
            due_reports.into_iter().map(|due| (due.address_hash, Message::UsageReport(due.report)));
        let mut messages = self.resolve_addresses(reports.collect());
        messages.extend(self.due_broadcasts(now));
        messages.extend(self.rollout_reports(now));
        messages
    }

    /// Admit fractions that this host has to broadcast now, with their receivers. Also called after
    /// each usage report, as a workspace that goes over its limit is broadcast at once.
    pub fn due_broadcasts(&mut self, now: Time) -> Vec<(SocketAddr, Message)> {
        let broadcasts = self.with_quotas(now, |quotas, context, _| quotas.due_broadcasts(context));
        self.address_broadcasts(broadcasts)
    }

    /// Merges a broadcast of admit fractions. Returns the messages that forward it.
    pub fn on_broadcast(
        &mut self,
        now: Time,
        broadcast: &FractionBroadcast,
    ) -> Vec<(SocketAddr, Message)> {
        let onward =
            self.with_quotas(now, |quotas, context, _| quotas.on_broadcast(context, broadcast));
        self.address_broadcasts(onward)
    }

    fn address_broadcasts(
        &self,
        broadcasts: Vec<AddressedBroadcast>,
    ) -> Vec<(SocketAddr, Message)> {
        self.resolve_addresses(
            broadcasts
                .into_iter()
                .map(|due| (due.address_hash, Message::FractionBroadcast(due.broadcast)))
                .collect(),
        )
    }

    /// Replaces address hashes by addresses, dropping messages to unknown addresses.
    fn resolve_addresses(&self, messages: Vec<(u64, Message)>) -> Vec<(SocketAddr, Message)> {
        if messages.is_empty() {
            return Vec::new();
        }
        let addresses = self.members.by_address_hash();
        let messages = messages.into_iter();
        messages
            .filter_map(|(address_hash, message)| Some((*addresses.get(&address_hash)?, message)))
            .collect()
    }

    /// Merges a host's usage report and returns the reply.
    pub fn on_usage_report(&mut self, now: Time, report: &UsageReport) -> UsageReply {
        self.with_quotas(now, |quotas, context, table| quotas.on_report(context, table, report))
    }

    /// Merges the reply to a usage report.
    pub fn on_usage_reply(&mut self, now: Time, reply: &UsageReply) {
        self.quotas.on_reply(now, reply);
    }

    /// Merges a heartbeat. Returns what the caller has to act on, or `None` if the heartbeat is
    /// outdated or this host's own.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<HeartbeatNews> {
        if heartbeat.host.peers == self.settings.host.peers {
            return None;
        }
        let effect = self.members.on_heartbeat(now, heartbeat)?;
        self.observation.hear(now);
        self.apply_loads(&effect.previous_loads, false);
        self.apply_loads(&heartbeat.loads, true);
        let speed_reports = self.merge_speeds(now, &heartbeat.loads);
        for update in heartbeat.liveness.iter().filter(|update| update.host != self.hash as u32) {
            self.members.on_liveness_update(now, update);
        }
        for warm_key in &heartbeat.warm_keys {
            if let Some(index) = self.servers.index_by_hash(warm_key.server) {
                self.warm_keys.merge(now, index, warm_key.key);
            }
        }
        let mut outdated_tables = Vec::new();
        for (table, status) in TABLES.into_iter().zip(heartbeat.tables) {
            let watermark = self.view.watermark(table);
            let Some(last_read) = status.last_read else { continue };
            if self.needs_sync(table, &status) {
                outdated_tables.push((table, self.sync_request(table)));
            }
            if watermark.confirmed_at.is_none() || status.version > watermark.version {
                let known = self.known_version(table);
                self.announcements[table as usize].record(now, status.version, known);
            } else if status.version == watermark.version {
                self.view.confirm(now, table, status.version, (last_read, status.age_ms));
                self.view.confirm_keys(table, &status);
            }
        }
        let sender = hash::of(&heartbeat.host.name) as u32;
        self.refusals.on_reports(now, sender, &heartbeat.refusals);
        if effect.joined {
            self.poison.rebroadcast(now);
        }
        let refused = self.merge_crashes(now, &heartbeat.crashes);
        let limits = self.merge_limit_notices(now, &heartbeat.limits);
        let leaving = &heartbeat.leaving_servers;
        let leaving =
            leaving.iter().filter_map(|notice| self.on_leaving_notice(now, *notice)).collect();
        Some(HeartbeatNews {
            joined: effect.joined,
            outdated_tables,
            refused,
            limits,
            leaving,
            speed_reports,
        })
    }

    /// Merges crashes of servers that another host reported or that the store lists. Returns the
    /// requests that are refused from now on because of them.
    pub fn merge_crashes(
        &mut self,
        now: Time,
        crashes: &[ServerCrash],
    ) -> Vec<(RequestDigest, PoisonEvidence)> {
        let mut refused = Vec::new();
        for crash in crashes {
            self.mark_server_crashed(now, crash.server);
            let change = self.poison.merge(now, crash);
            // Each host repeats the report at once, so that it spreads over a fleet of any size in
            // a few hops.
            self.urgent |= change != PoisonChange::None;
            if let PoisonChange::Refused(evidence) = change {
                refused.push((crash.digest, evidence));
            }
        }
        refused
    }

    /// Stops using a server instance that crashed, when its crash is first reported.
    ///
    /// The store keeps the server's entry for some seconds. Without this, each host would discover
    /// the crash by a failed connection of its own, which costs a request one of its attempts.
    pub(crate) fn mark_server_crashed(&mut self, now: Time, server: u64) {
        if self.poison.knows_crash(server) {
            return;
        }
        if let Some(entry) = self.servers.all_mut().find(|entry| entry.start_hash() == server) {
            entry.record_crash(now);
        }
    }

    /// Adds another host's load and reachability reports to the servers' sums, or subtracts them.
    fn apply_loads(&mut self, loads: &[ServerLoad], add: bool) {
        let is_believed = !reports_mass_silence(loads);
        for load in loads {
            let Some(entry) = self.servers.get_mut_by_hash(load.server) else { continue };
            let in_flight = u32::from(load.in_flight);
            let silent = u32::from(is_believed && load.reachability == Reachability::Silent);
            let answering = u32::from(load.reachability == Reachability::Answering);
            if add {
                entry.others_in_flight += in_flight;
                entry.silent_elsewhere += silent;
                entry.answers_elsewhere += answering;
            } else {
                entry.others_in_flight = entry.others_in_flight.saturating_sub(in_flight);
                entry.silent_elsewhere = entry.silent_elsewhere.saturating_sub(silent);
                entry.answers_elsewhere = entry.answers_elsewhere.saturating_sub(answering);
            }
        }
    }

    /// Takes in how fast servers told another host that they work. Returns the number of reports
    /// that are used.
    fn merge_speeds(&mut self, now: Time, loads: &[ServerLoad]) -> usize {
        let reports = loads.iter().filter(|load| load.speed_percent > 0);
        let used = reports.filter(|load| {
            let Some(index) = self.servers.index_by_hash(load.server) else { return false };
            let report = (load.speed_percent, server_speed::age_of(load.speed_age));
            self.servers.record_speed(now, index, report, SpeedSource::Host)
        });
        used.count()
    }

    /// Recalculates the other hosts' load on each server, as both servers and hosts come and go.
    fn recount_loads(&mut self) {
        for entry in self.servers.all_mut() {
            entry.others_in_flight = 0;
            entry.silent_elsewhere = 0;
            entry.answers_elsewhere = 0;
        }
        let members = std::mem::take(&mut self.members);
        for member in members.all() {
            self.apply_loads(&member.loads, true);
        }
        self.members = members;
    }

    /// Updates how each service's keys are divided. Returns the divisions that have changed much.
    fn update_placements(&mut self, now: Time) -> Vec<StateChange> {
        if now.since(self.placements_updated_at) < PLACEMENT_INTERVAL {
            return Vec::new();
        }
        self.placements_updated_at = now;
        let services: Vec<String> = self.servers.services().map(str::to_owned).collect();
        self.placements.retain(|service, _| services.contains(service));
        let mut changes = Vec::new();
        for service in services {
            let by_domain = self.splits_domains(now, &service);
            let places = self.places(now, &service, by_domain);
            let own = &self.settings.host;
            let own_place = place_name(&own.domain, &own.region, by_domain);
            let input = PlacementInput {
                places,
                own_place,
                own_load_max: self.settings.policies.placement.own_load_max,
                work_ms: self.servers.known_answer_times(&service).map(|times| times.warm_ms),
                by_domain,
                settled: now.since(self.started) >= DEMAND_LEARNED_TIME,
            };
            let mut placement = self.placements.remove(&service).unwrap_or_default();
            placement.update(input);
            if let Some(shares) = placement.news() {
                changes.push(StateChange::Placement { service: service.clone(), shares });
            }
            self.placements.insert(service, placement);
        }
        changes
    }

    /// Whether a service's keys are divided over failure domains from now on.
    fn splits_domains(&self, now: Time, service: &str) -> bool {
        let policy = &self.settings.policies.placement;
        let is_now = self.placements.get(service).is_some_and(ServicePlacement::is_by_domain);
        let mean_kb = self.transfer_sizes.get(service).and_then(TransferSize::mean_kb);
        let (Some(mean_kb), true) = (mean_kb, policy.has_domain_cost()) else { return is_now };
        let region = &self.settings.host.region;
        let domains = self.settings.domains.values().filter(|other| *other == region).count();
        let of_region = |member: &&Member| member.host.region == *region;
        let counts = self.members.all().filter(of_region);
        let service_hash = hash::of(service) as u32;
        let counts = counts.flat_map(|member| &member.demand);
        let near: f64 = counts
            .filter(|(service, _)| *service == service_hash)
            .map(|(_, count)| f64::from(*count))
            .sum();
        let own = self.demand_counts.get(service).map_or(0.0, |count| count.value(now));
        let input = SplitInput {
            mean_kb,
            domains,
            keys: domain_split::keys_of_region(
                now,
                (&self.servers, service),
                &self.warm_keys,
                region,
            ),
            rate_per_s: demand::rate_per_s(near + own),
            times: self.servers.answer_times(service),
        };
        domain_split::is_split(policy, input, is_now)
    }

    /// Demand and usable slots of each place for a service.
    fn places(&mut self, now: Time, service: &str, by_domain: bool) -> Vec<Place> {
        let mut places = BTreeMap::<String, Place>::new();
        let own = self.settings.host.clone();
        let mut domains = self.settings.domains.clone();
        domains.insert(own.domain.clone(), own.region.clone());
        for (domain, region) in &domains {
            let index = self.servers.domain_index(domain);
            let place = places.entry(place_name(domain, region, by_domain).to_owned());
            let place = place.or_default();
            place.region = region.clone();
            place.domains.push(index);
        }
        let times = self.servers.answer_times(service);
        // What a host with cut paths observes says nothing about the servers.
        let is_cut = self.servers.is_cut(service);
        let is_ejected = |entry: &ServerEntry| match is_cut {
            true => entry.is_reported_silent(now, self.live_hosts),
            false => entry.is_ejected(now, times, self.live_hosts),
        };
        for (_, entry) in self.servers.of_service(service) {
            let domain = &entry.server.domain;
            let usable = !entry.is_leaving() && !self.evacuated.contains(domain);
            if usable
                && !is_ejected(entry)
                && let Some(place) = places.get_mut(place_name(domain, &entry.region, by_domain))
            {
                place.slots += f64::from(entry.server.slots);
            }
        }
        let service_hash = hash::of(service) as u32;
        for member in self.members.all() {
            let reported = member.demand.iter().find(|(service, _)| *service == service_hash);
            let host = &member.host;
            if let Some((_, count)) = reported
                && let Some(place) =
                    places.get_mut(place_name(&host.domain, &host.region, by_domain))
            {
                place.demand_per_s += demand::rate_per_s(f64::from(*count));
            }
        }
        if let Some(count) = self.demand_counts.get(service)
            && let Some(place) = places.get_mut(place_name(&own.domain, &own.region, by_domain))
        {
            place.demand_per_s += demand::rate_per_s(count.value(now));
        }
        places.into_iter().map(|(name, place)| Place { name, ..place }).collect()
    }

    fn update_host_counts(&mut self, now: Time) {
        self.live_hosts = self.members.live(now).count() + 1;
        self.reachable_hosts = self.members.live_in_reachable_regions(now).count() + 1;
        let region = &self.settings.host.region;
        let near_live = self.members.live(now).filter(|member| member.host.region == *region);
        self.near_live_hosts = near_live.count() + 1;
        let reported = self.members.live(now).map(|member| member.fleet_size as usize);
        self.fleet_size = reported.max().unwrap_or(0).max(self.possibly_running(now));
        let address_hashes: Vec<u64> = self.address_hashes[..1]
            .iter()
            .copied()
            .chain(self.members.address_hashes(now))
            .collect();
        if address_hashes != self.address_hashes {
            self.address_hashes = address_hashes;
            self.invalidate_limit_senders();
        }
    }

    /// Updates which cold servers this host may send to. This considers all hosts and is therefore
    /// not done for each request.
    pub(crate) fn elect_cold_senders(&mut self, now: Time) {
        for entry in self.servers.all_mut().filter(|entry| entry.is_cold(now)) {
            let per_s =
                self.cold_settings.get(&entry.server.service).map_or(1.0, |(_, per_s)| *per_s);
            let senders = cold_start::sender_count(&self.settings.bounds, per_s);
            entry.cold_sender = cold_start::is_sender(&self.address_hashes, entry.hash, senders);
        }
    }

    /// Drops what has expired, such as silent hosts and tombstones, and updates what depends on
    /// time and on the live hosts. Called about every 100 ms. Returns the changes of state to be
    /// logged.
    pub fn tick(&mut self, now: Time) -> Vec<StateChange> {
        self.observation.step(now);
        let lost = self.members.expire(now);
        self.recount_loads();
        self.update_host_counts(now);
        self.elect_cold_senders(now);
        self.elect_limit_senders(now);
        let placements = self.update_placements(now);
        self.assign_rollout_roles(now);
        self.view.expire_tombstones(now);
        self.expire_leaving(now);
        self.expire_limits(now);
        let mut changes = self.end_retention(now);
        changes.extend(placements);
        let lapsed =
            self.servers.all().filter(|(_, entry)| entry.lapses_at.is_some_and(|at| now >= at));
        let lapsed: Vec<String> = lapsed.map(|(_, entry)| entry.id.clone()).collect();
        for id in &lapsed {
            self.remove_server(id);
        }
        let standstill = self.observation.take_standstill();
        changes.extend(standstill.map(|for_us| StateChange::Standstill { for_us }));
        changes.extend(lost.into_iter().map(StateChange::HostLost));
        changes.extend(lapsed.into_iter().map(|id| StateChange::Server(id, ServerState::Gone)));
        let silence_changes = self.servers.silence_changes(now).into_iter();
        changes.extend(silence_changes.map(|(id, silent)| {
            StateChange::Server(id, if silent { ServerState::Silent } else { ServerState::Answers })
        }));
        let path_changes = self.servers.path_changes().into_iter();
        changes.extend(
            path_changes.map(|(service, is_cut)| StateChange::ServicePath { service, is_cut }),
        );
        // Others must not relay requests to this host, or may do so again.
        self.urgent |=
            changes.iter().any(|change| matches!(change, StateChange::ServicePath { .. }));
        let speed_changes = self.servers.speed_changes(now).into_iter();
        changes.extend(speed_changes.map(|(id, is_slow, factor)| StateChange::ServerSpeed {
            id,
            is_slow,
            factor,
        }));
        changes
    }
}

/// The place of a failure domain: the domain itself, or its region if keys are not divided over
/// domains.
fn place_name<'a>(domain: &'a str, region: &'a str, by_domain: bool) -> &'a str {
    if by_domain { domain } else { region }
}

/// Reachability of a server to report: silent, or answering if other hosts consider it silent.
/// Silence is not reported while this host's own paths may be the cause.
fn reachability(
    now: Time,
    entry: &ServerEntry,
    answer_times: AnswerTimes,
    is_witness: bool,
) -> Reachability {
    if entry.is_silent(now, answer_times) {
        return if is_witness { Reachability::Silent } else { Reachability::Unreported };
    }
    match entry.silent_elsewhere > 0 && entry.answered_recently(now) {
        true => Reachability::Answering,
        false => Reachability::Unreported,
    }
}

/// Whether a host reports requests in flight or the reachability, not only the speed.
fn reports_requests(load: &ServerLoad) -> bool {
    load.in_flight > 0 || load.reachability != Reachability::Unreported
}

/// Whether most servers are silent to the reporting host, in which case its own connectivity is the
/// more likely fault.
fn reports_mass_silence(loads: &[ServerLoad]) -> bool {
    let silent = loads.iter().filter(|load| load.reachability == Reachability::Silent).count();
    silent >= MASS_SILENCE_SERVERS_MIN
        && silent * 2 > loads.iter().filter(|load| reports_requests(load)).count()
}

/// What the caller of [`Steer::on_heartbeat`] has to act on; the rest of the heartbeat is already
/// merged.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatNews {
    /// The sender was unknown or not live before.
    pub joined: bool,
    /// Tables of which the sender has something that this host lacks, each with the request that
    /// fetches it from the sender.
    pub outdated_tables: Vec<(Table, SyncRequest)>,
    /// Digests of the requests that are refused from now on, because servers crash under them.
    pub refused: Vec<(RequestDigest, PoisonEvidence)>,
    /// Ids of servers that changed the request rate that they accept, with the new rate; `None` if
    /// the server no longer limits it.
    pub limits: Vec<(String, Option<RequestRate>)>,
    /// Ids of servers of which this host did not know yet that they are about to leave.
    pub leaving: Vec<String>,
    /// Number of reports of how fast servers work that are used from now on.
    pub speed_reports: usize,
}
