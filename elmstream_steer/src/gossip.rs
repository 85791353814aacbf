//! Tells the other hosts what this one knows and does, and takes in what they say.

use std::{collections::BTreeMap, net::SocketAddr};

use elmstream::time::{SECOND, Time};

use crate::{
    cold_start,
    digest::RequestDigest,
    hash,
    heartbeat::{Heartbeat, Message, Reachability, ServerLoad, TableStatus},
    members::Targets,
    poison::{PoisonChange, PoisonEvidence, ServerCrash},
    quota::AddressedBroadcast,
    region_shares::{RegionDemand, RegionShares},
    server_limit::RequestRate,
    servers::{AnswerTimes, ServerEntry},
    steer::{PendingNews, ServerState, StateChange, Steer},
    table_sync::SyncRequest,
    tally::{FractionBroadcast, UsageReply, UsageReport},
    version::StoreVersion,
    view::{TABLES, Table},
};

/// Time between two divisions of the requests among regions.
const DIVIDE: u64 = SECOND;
/// Silent servers of one host from which on it is asked whether most are.
const DOUBTED: usize = 4;

impl Steer {
    /// An address at which another host may be.
    pub fn add_peer_address(&mut self, now: Time, address: SocketAddr) {
        if address != self.settings.host.peers {
            self.members.add_unconfirmed(now, address);
        }
    }

    /// Where the beats of a round go.
    pub fn targets(&mut self, now: Time, round: u64) -> Targets {
        self.members.targets(now, round, self.hash)
    }

    /// How far the tables are known.
    pub fn table_statuses(&self) -> [TableStatus; 3] {
        TABLES.map(|table| {
            let mark = self.view.watermark(table);
            TableStatus {
                version: mark.version,
                last_read: mark.last_read,
                retained_digest: self.view.retained_digest(table),
                tombstone_floor: mark.tombstone_floor,
                keys_digest: self.view.keys_digest(table),
            }
        })
    }

    /// Whether the other hosts should hear at once of what has changed.
    pub fn urgent(&self) -> bool {
        self.urgent
    }

    /// The next beat.
    pub fn next_heartbeat(&mut self, now: Time) -> Heartbeat {
        self.heartbeat_number += 1;
        self.urgent = false;
        self.ready = self.serves();
        let loads = self.servers.all().filter_map(|(_, entry)| {
            let hears = hears(now, entry, self.servers.answer_times(&entry.server.service));
            let load = ServerLoad {
                server: entry.hash as u32,
                in_flight: entry.own_in_flight.min(u16::MAX as u32) as u16,
                reachability: hears,
            };
            (entry.own_in_flight > 0 || hears != Reachability::Unreported).then_some(load)
        });
        let loads = loads.collect();
        let known = self.table_statuses();
        let counts = self.demand_counts.iter();
        let demand = counts.map(|(name, count)| (hash::of(name) as u32, count.value(now) as u32));
        let demand = demand.collect();
        Heartbeat {
            demand,
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            number: self.heartbeat_number,
            ready: self.ready,
            leaving: self.leaving,
            // The next one takes over at once from a host that is about to stop.
            store_ms: (self.store_schedule.is_served() && !self.leaving).then_some(self.store_ms),
            tables: known,
            loads,
            warm_keys: self.warm_keys.next_updates(),
            liveness: self.members.liveness_updates(now),
            fleet_size: self.may_run(now) as u32,
            crashes: self.poison.next_reports(now),
            limits: self.limit_notices(now),
            leaving_servers: self.leaving_notices(now),
        }
    }

    /// Hosts that may be running, this one included, as far as this host itself knows.
    fn may_run(&self, now: Time) -> usize {
        self.members.possibly_running(now) + 1
    }

    /// Reports of what workspaces asked of this host and of what it counted of roll-outs, and
    /// where they go; called each 100 ms.
    pub fn due_messages(&mut self, now: Time) -> Vec<(SocketAddr, Message)> {
        let due = self.with_quotas(now, |quotas, scene, table| quotas.due_reports(scene, table));
        let reports =
            due.into_iter().map(|due| (due.address_hash, Message::UsageReport(due.report)));
        let mut messages = self.addressed(reports.collect());
        messages.extend(self.due_broadcasts(now));
        messages.extend(self.rollout_reports(now));
        messages
    }

    /// What all hosts have to know of workspaces now, and where this host sends it.
    pub fn due_broadcasts(&mut self, now: Time) -> Vec<(SocketAddr, Message)> {
        let due = self.with_quotas(now, |quotas, scene, _| quotas.due_broadcasts(scene));
        self.spreading(due)
    }

    /// Takes in what all hosts have to know; where this host passes it on.
    pub fn on_broadcast(
        &mut self,
        now: Time,
        spread: &FractionBroadcast,
    ) -> Vec<(SocketAddr, Message)> {
        let due = self.with_quotas(now, |quotas, scene, _| quotas.on_broadcast(scene, spread));
        self.spreading(due)
    }

    fn spreading(&self, due: Vec<AddressedBroadcast>) -> Vec<(SocketAddr, Message)> {
        self.addressed(
            due.into_iter()
                .map(|due| (due.address_hash, Message::FractionBroadcast(due.broadcast)))
                .collect(),
        )
    }

    /// Messages with the addresses that they go to, by the hashes of those.
    fn addressed(&self, messages: Vec<(u64, Message)>) -> Vec<(SocketAddr, Message)> {
        if messages.is_empty() {
            return Vec::new();
        }
        let addresses = self.members.by_address_hash();
        let messages = messages.into_iter();
        messages.filter_map(|(place, message)| Some((*addresses.get(&place)?, message))).collect()
    }

    /// Takes in a host's report; the answer to it.
    pub fn on_usage_report(&mut self, now: Time, report: &UsageReport) -> UsageReply {
        self.with_quotas(now, |quotas, scene, table| quotas.on_report(scene, table, report))
    }

    /// Takes in the answer to a report.
    pub fn on_usage_reply(&mut self, now: Time, verdict: &UsageReply) {
        self.quotas.on_reply(now, verdict);
    }

    /// Takes a beat in; the tables that its sender knows better.
    pub fn on_heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Option<HeartbeatNews> {
        if beat.host.peers == self.settings.host.peers {
            return None;
        }
        let heard = self.members.on_heartbeat(now, beat)?;
        self.count(&heard.previous_loads, false);
        self.count(&beat.loads, true);
        for word in beat.liveness.iter().filter(|word| word.host != self.hash as u32) {
            self.members.on_liveness_update(now, word);
        }
        for lesson in &beat.warm_keys {
            if let Some(index) = self.servers.index_by_hash(lesson.server) {
                self.warm_keys.merge(now, index, lesson.key);
            }
        }
        let mut wanted = Vec::new();
        for (table, known) in TABLES.into_iter().zip(beat.tables) {
            let mark = self.view.watermark(table);
            let Some(reading) = known.last_read else { continue };
            if self.needs_sync(table, &known) {
                wanted.push((table, self.sync_request(table)));
            }
            if mark.confirmed_at.is_none() || known.version > mark.version {
                self.lacks(now, table, known.version);
            } else if known.version == mark.version {
                self.view.confirm(now, table, known.version, reading);
                self.view.confirm_keys(table, &known);
            }
        }
        if heard.joined {
            self.poison.rebroadcast(now);
        }
        let refused = self.merge_crashes(now, &beat.crashes);
        let limits = self.merge_limit_notices(now, &beat.limits);
        let leaving = &beat.leaving_servers;
        let leaving =
            leaving.iter().filter_map(|told| self.on_leaving_notice(now, *told)).collect();
        Some(HeartbeatNews {
            joined: heard.joined,
            outdated_tables: wanted,
            refused,
            limits,
            leaving,
        })
    }

    /// Takes in ends of servers under requests; the requests that are refused from now on.
    pub fn merge_crashes(
        &mut self,
        now: Time,
        endings: &[ServerCrash],
    ) -> Vec<(RequestDigest, PoisonEvidence)> {
        let mut refused = Vec::new();
        for ending in endings {
            self.mark_server_crashed(now, ending.server);
            let turn = self.poison.merge(now, ending);
            // Each host tells it on at once, so that it takes a few hops in any fleet.
            self.urgent |= turn != PoisonChange::None;
            if let PoisonChange::Refused(harm) = turn {
                refused.push((ending.digest, harm));
            }
        }
        refused
    }

    /// Leaves a server whose start has ended, the first time that this is heard.
    ///
    /// Its entry stays in the store for some seconds; until then each host would find out
    /// by a failed connection of its own, which uses up a try of a request.
    pub(crate) fn mark_server_crashed(&mut self, now: Time, server: u64) {
        if self.poison.knows_crash(server) {
            return;
        }
        if let Some(entry) = self.servers.all_mut().find(|entry| entry.start_hash() == server) {
            entry.record_crash(now);
        }
    }

    /// Remembers since when others have known more, until this host knows as much.
    fn lacks(&mut self, now: Time, table: Table, version: StoreVersion) {
        let own = self.known_version(table);
        let behind = &mut self.pending_news[table as usize];
        if version > own && behind.is_none_or(|told| told.version <= own) {
            *behind = Some(PendingNews { version, told_at: now });
        }
    }

    fn count(&mut self, loads: &[ServerLoad], add: bool) {
        let believed = !hears_little(loads);
        for load in loads {
            let Some(entry) = self.servers.get_mut_by_hash(load.server) else { continue };
            let in_flight = u32::from(load.in_flight);
            let silent = u32::from(believed && load.reachability == Reachability::Silent);
            let answers = u32::from(load.reachability == Reachability::Answering);
            if add {
                entry.others_in_flight += in_flight;
                entry.silent_elsewhere += silent;
                entry.answers_elsewhere += answers;
            } else {
                entry.others_in_flight = entry.others_in_flight.saturating_sub(in_flight);
                entry.silent_elsewhere = entry.silent_elsewhere.saturating_sub(silent);
                entry.answers_elsewhere = entry.answers_elsewhere.saturating_sub(answers);
            }
        }
    }

    /// Counts the others' requests anew, as servers and hosts come and go.
    fn recount(&mut self) {
        for entry in self.servers.all_mut() {
            entry.others_in_flight = 0;
            entry.silent_elsewhere = 0;
            entry.answers_elsewhere = 0;
        }
        let members = std::mem::take(&mut self.members);
        for member in members.all() {
            self.count(&member.loads, true);
        }
        self.members = members;
    }

    /// Divides each service's requests among the regions anew.
    fn divide(&mut self, now: Time) {
        if now.since(self.shares_updated) < DIVIDE {
            return;
        }
        self.shares_updated = now;
        let services: Vec<String> = self.servers.services().map(str::to_owned).collect();
        for service in services {
            let names = self.settings.domains.values();
            let mut regions: BTreeMap<String, RegionDemand> =
                names.map(|name| (name.clone(), RegionDemand::default())).collect();
            for (_, entry) in self.servers.of_service(&service) {
                let used = !entry.is_leaving() && !self.evacuated.contains(&entry.server.domain);
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
            if let Some(count) = self.demand_counts.get(&service) {
                let region = regions.entry(self.settings.host.region.clone()).or_default();
                region.demand += count.value(now);
            }
            self.region_shares.insert(service, RegionShares::new(&regions));
        }
    }

    fn count_hosts(&mut self, now: Time) {
        self.live_hosts = self.members.live(now).count() + 1;
        self.reachable = self.members.live_in_reachable_regions(now).count() + 1;
        let region = &self.settings.host.region;
        let near = self.members.live(now).filter(|member| member.host.region == *region);
        self.near_live = near.count() + 1;
        let told = self.members.live(now).map(|member| member.fleet_size as usize);
        self.fleet_size = told.max().unwrap_or(0).max(self.may_run(now));
        let places: Vec<u64> = self.address_hashes[..1]
            .iter()
            .copied()
            .chain(self.members.address_hashes(now))
            .collect();
        if places != self.address_hashes {
            self.address_hashes = places;
            self.invalidate_limit_senders();
        }
    }

    /// Finds out which cold servers this host may send to. Not at each request, as it
    /// takes a look at all hosts.
    pub(crate) fn elect_cold_senders(&mut self, now: Time) {
        for entry in self.servers.all_mut().filter(|entry| entry.is_cold(now)) {
            let per_s =
                self.cold_settings.get(&entry.server.service).map_or(1.0, |(_, per_s)| *per_s);
            let senders = cold_start::sender_count(&self.settings.bounds, per_s);
            entry.cold_sender = cold_start::is_sender(&self.address_hashes, entry.hash, senders);
        }
    }

    /// What time alone brings about; called every 100 ms or so.
    pub fn tick(&mut self, now: Time) -> Vec<StateChange> {
        let lost = self.members.expire(now);
        self.recount();
        self.count_hosts(now);
        self.elect_cold_senders(now);
        self.elect_limit_senders(now);
        self.divide(now);
        self.assign_rollout_roles(now);
        self.view.expire_tombstones(now);
        self.expire_leaving(now);
        self.expire_limits(now);
        let mut changes = self.end_retention(now);
        let lapsed =
            self.servers.all().filter(|(_, entry)| entry.lapses_at.is_some_and(|at| now >= at));
        let lapsed: Vec<String> = lapsed.map(|(_, entry)| entry.id.clone()).collect();
        for id in &lapsed {
            self.remove(id);
        }
        changes.extend(lost.into_iter().map(StateChange::HostLost));
        changes.extend(lapsed.into_iter().map(|id| StateChange::Server(id, ServerState::Gone)));
        let turned = self.servers.silence_changes(now).into_iter();
        changes.extend(turned.map(|(id, silent)| {
            StateChange::Server(id, if silent { ServerState::Silent } else { ServerState::Answers })
        }));
        changes
    }
}

/// What a host tells the others of a server: its silence, or that it answers if
/// others take it to be silent.
fn hears(now: Time, entry: &ServerEntry, pace: AnswerTimes) -> Reachability {
    if entry.is_silent(now, pace) {
        return Reachability::Silent;
    }
    match entry.silent_elsewhere > 0 && entry.answered_recently(now) {
        true => Reachability::Answering,
        false => Reachability::Unreported,
    }
}

/// Whether most servers are silent to the host that told this: its own ways are
/// more likely at fault than they are.
fn hears_little(loads: &[ServerLoad]) -> bool {
    let silent = loads.iter().filter(|load| load.reachability == Reachability::Silent).count();
    silent >= DOUBTED && silent * 2 > loads.len()
}

/// What a beat calls for.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatNews {
    /// The host is new, or back.
    pub joined: bool,
    /// Tables that its sender knows better, with what is known here.
    pub outdated_tables: Vec<(Table, SyncRequest)>,
    /// Requests that are refused from now on.
    pub refused: Vec<(RequestDigest, PoisonEvidence)>,
    /// Servers that name another limit, or none any more.
    pub limits: Vec<(String, Option<RequestRate>)>,
    /// Servers that are about to leave.
    pub leaving: Vec<String>,
}
