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
    pub fn suppose(&mut self, now: Time, address: SocketAddr) {
        if address != self.settings.host.peers {
            self.members.suppose(now, address);
        }
    }

    /// Where the beats of a round go.
    pub fn targets(&mut self, now: Time, round: u64) -> Targets {
        self.members.targets(now, round, self.hash)
    }

    /// How far the tables are known.
    pub fn known(&self) -> [TableStatus; 3] {
        TABLES.map(|table| {
            let mark = self.view.mark(table);
            TableStatus {
                version: mark.version,
                reading: mark.reading,
                held: self.view.held_digest(table),
                floor: mark.floor,
                keys: self.view.keys_digest(table),
            }
        })
    }

    /// Whether the other hosts should hear at once of what has changed.
    pub fn urgent(&self) -> bool {
        self.urgent
    }

    /// The next beat.
    pub fn beat(&mut self, now: Time) -> Heartbeat {
        self.number += 1;
        self.urgent = false;
        self.ready = self.serves();
        let loads = self.servers.all().filter_map(|(_, entry)| {
            let hears = hears(now, entry, self.servers.pace(&entry.server.service));
            let load = ServerLoad {
                server: entry.hash as u32,
                in_flight: entry.own.min(u16::MAX as u32) as u16,
                hears,
            };
            (entry.own > 0 || hears != Reachability::Nothing).then_some(load)
        });
        let loads = loads.collect();
        let known = self.known();
        let counts = self.counts.iter();
        let demand = counts.map(|(name, count)| (hash::of(name) as u32, count.value(now) as u32));
        let demand = demand.collect();
        Heartbeat {
            demand,
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            number: self.number,
            ready: self.ready,
            leaving: self.leaving,
            // The next one takes over at once from a host that is about to stop.
            store_ms: (self.calls.served() && !self.leaving).then_some(self.store_ms),
            known,
            loads,
            lessons: self.warmth.tell(),
            words: self.members.words(now),
            fleet: self.may_run(now) as u32,
            endings: self.harms.tell(now),
            limits: self.limits_told(now),
            leaving_servers: self.leavings_told(now),
        }
    }

    /// Hosts that may be running, this one included, as far as this host itself knows.
    fn may_run(&self, now: Time) -> usize {
        self.members.may_run(now) + 1
    }

    /// Reports of what workspaces asked of this host and of what it counted of roll-outs, and
    /// where they go; called each 100 ms.
    pub fn reports(&mut self, now: Time) -> Vec<(SocketAddr, Message)> {
        let due = self.with_quotas(now, |quotas, scene, table| quotas.reports(scene, table));
        let reports = due.into_iter().map(|due| (due.place, Message::Report(due.report)));
        let mut messages = self.addressed(reports.collect());
        messages.extend(self.tell_all(now));
        messages.extend(self.rollout_reports(now));
        messages
    }

    /// What all hosts have to know of workspaces now, and where this host sends it.
    pub fn tell_all(&mut self, now: Time) -> Vec<(SocketAddr, Message)> {
        let due = self.with_quotas(now, |quotas, scene, _| quotas.tell(scene));
        self.spreading(due)
    }

    /// Takes in what all hosts have to know; where this host passes it on.
    pub fn pass_on(&mut self, now: Time, spread: &FractionBroadcast) -> Vec<(SocketAddr, Message)> {
        let due = self.with_quotas(now, |quotas, scene, _| quotas.pass_on(scene, spread));
        self.spreading(due)
    }

    fn spreading(&self, due: Vec<AddressedBroadcast>) -> Vec<(SocketAddr, Message)> {
        self.addressed(
            due.into_iter().map(|due| (due.place, Message::Spread(due.spread))).collect(),
        )
    }

    /// Messages with the addresses that they go to, by the hashes of those.
    fn addressed(&self, messages: Vec<(u64, Message)>) -> Vec<(SocketAddr, Message)> {
        if messages.is_empty() {
            return Vec::new();
        }
        let addresses = self.members.by_place();
        let messages = messages.into_iter();
        messages.filter_map(|(place, message)| Some((*addresses.get(&place)?, message))).collect()
    }

    /// Takes in a host's report; the answer to it.
    pub fn sum_up(&mut self, now: Time, report: &UsageReport) -> UsageReply {
        self.with_quotas(now, |quotas, scene, table| quotas.sum_up(scene, table, report))
    }

    /// Takes in the answer to a report.
    pub fn judged(&mut self, now: Time, verdict: &UsageReply) {
        self.quotas.judged(now, verdict);
    }

    /// Takes a beat in; the tables that its sender knows better.
    pub fn hear(&mut self, now: Time, beat: &Heartbeat) -> Option<HeartbeatNews> {
        if beat.host.peers == self.settings.host.peers {
            return None;
        }
        let heard = self.members.hear(now, beat)?;
        self.count(&heard.before, false);
        self.count(&beat.loads, true);
        for word in beat.words.iter().filter(|word| word.host != self.hash as u32) {
            self.members.hear_of(now, word);
        }
        for lesson in &beat.lessons {
            if let Some(index) = self.servers.place(lesson.server) {
                self.warmth.hear(now, index, lesson.key);
            }
        }
        let mut wanted = Vec::new();
        for (table, known) in TABLES.into_iter().zip(beat.known) {
            let mark = self.view.mark(table);
            let Some(reading) = known.reading else { continue };
            if self.wants(table, &known) {
                wanted.push((table, self.asks(table)));
            }
            if mark.fresh.is_none() || known.version > mark.version {
                self.lacks(now, table, known.version);
            } else if known.version == mark.version {
                self.view.confirm(now, table, known.version, reading);
                self.view.agree(table, &known);
            }
        }
        if heard.joined {
            self.harms.tell_again(now);
        }
        let refused = self.hear_endings(now, &beat.endings);
        let limits = self.hear_limits(now, &beat.limits);
        let leaving = &beat.leaving_servers;
        let leaving = leaving.iter().filter_map(|told| self.hear_leaving(now, *told)).collect();
        Some(HeartbeatNews { joined: heard.joined, wanted, refused, limits, leaving })
    }

    /// Takes in ends of servers under requests; the requests that are refused from now on.
    pub fn hear_endings(
        &mut self,
        now: Time,
        endings: &[ServerCrash],
    ) -> Vec<(RequestDigest, PoisonEvidence)> {
        let mut refused = Vec::new();
        for ending in endings {
            self.leave_ended(now, ending.server);
            let turn = self.harms.hear(now, ending);
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
    pub(crate) fn leave_ended(&mut self, now: Time, server: u64) {
        if self.harms.knows_end(server) {
            return;
        }
        if let Some(entry) = self.servers.all_mut().find(|entry| entry.start() == server) {
            entry.end(now);
        }
    }

    /// Remembers since when others have known more, until this host knows as much.
    fn lacks(&mut self, now: Time, table: Table, version: StoreVersion) {
        let own = self.knows_up_to(table);
        let behind = &mut self.behind[table as usize];
        if version > own && behind.is_none_or(|told| told.version <= own) {
            *behind = Some(PendingNews { version, at: now });
        }
    }

    fn count(&mut self, loads: &[ServerLoad], add: bool) {
        let believed = !hears_little(loads);
        for load in loads {
            let Some(entry) = self.servers.by_hash(load.server) else { continue };
            let in_flight = u32::from(load.in_flight);
            let silent = u32::from(believed && load.hears == Reachability::Silence);
            let answers = u32::from(load.hears == Reachability::Answers);
            if add {
                entry.others += in_flight;
                entry.silent_elsewhere += silent;
                entry.answers_elsewhere += answers;
            } else {
                entry.others = entry.others.saturating_sub(in_flight);
                entry.silent_elsewhere = entry.silent_elsewhere.saturating_sub(silent);
                entry.answers_elsewhere = entry.answers_elsewhere.saturating_sub(answers);
            }
        }
    }

    /// Counts the others' requests anew, as servers and hosts come and go.
    fn recount(&mut self) {
        for entry in self.servers.all_mut() {
            entry.others = 0;
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
        if now.since(self.divided) < DIVIDE {
            return;
        }
        self.divided = now;
        let services: Vec<String> = self.servers.services().map(str::to_owned).collect();
        for service in services {
            let names = self.settings.domains.values();
            let mut regions: BTreeMap<String, RegionDemand> =
                names.map(|name| (name.clone(), RegionDemand::default())).collect();
            for (_, entry) in self.servers.of(&service) {
                let used = !entry.departs() && !self.evacuated.contains(&entry.server.domain);
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
            self.divisions.insert(service, RegionShares::new(&regions));
        }
    }

    fn count_hosts(&mut self, now: Time) {
        self.live = self.members.live(now).count() + 1;
        self.heard = self.members.heard(now).count() + 1;
        let region = &self.settings.host.region;
        let near = self.members.live(now).filter(|member| member.host.region == *region);
        self.near = near.count() + 1;
        let told = self.members.live(now).map(|member| member.fleet as usize);
        self.fleet = told.max().unwrap_or(0).max(self.may_run(now));
        let places: Vec<u64> =
            self.places[..1].iter().copied().chain(self.members.places(now)).collect();
        if places != self.places {
            self.places = places;
            self.pick_all_limited();
        }
    }

    /// Finds out which cold servers this host may send to. Not at each request, as it
    /// takes a look at all hosts.
    pub(crate) fn pick_cold(&mut self, now: Time) {
        for entry in self.servers.all_mut().filter(|entry| entry.cold(now)) {
            let per_s = self.cold.get(&entry.server.service).map_or(1.0, |(_, per_s)| *per_s);
            let senders = cold_start::senders(&self.settings.bounds, per_s);
            entry.cold_sender = cold_start::is_sender(&self.places, entry.hash, senders);
        }
    }

    /// What time alone brings about; called every 100 ms or so.
    pub fn tick(&mut self, now: Time) -> Vec<StateChange> {
        let lost = self.members.expire(now);
        self.recount();
        self.count_hosts(now);
        self.pick_cold(now);
        self.pick_limited(now);
        self.divide(now);
        self.stand(now);
        self.view.forget(now);
        self.forget_leavings(now);
        self.forget_limits(now);
        let mut changes = self.end_holds(now);
        let lapsed =
            self.servers.all().filter(|(_, entry)| entry.lapses.is_some_and(|at| now >= at));
        let lapsed: Vec<String> = lapsed.map(|(_, entry)| entry.id.clone()).collect();
        for id in &lapsed {
            self.remove(id);
        }
        changes.extend(lost.into_iter().map(StateChange::HostLost));
        changes.extend(lapsed.into_iter().map(|id| StateChange::Server(id, ServerState::Gone)));
        let turned = self.servers.turned(now).into_iter();
        changes.extend(turned.map(|(id, silent)| {
            StateChange::Server(id, if silent { ServerState::Silent } else { ServerState::Answers })
        }));
        changes
    }
}

/// What a host tells the others of a server: its silence, or that it answers if
/// others take it to be silent.
fn hears(now: Time, entry: &ServerEntry, pace: AnswerTimes) -> Reachability {
    if entry.silent(now, pace) {
        return Reachability::Silence;
    }
    match entry.silent_elsewhere > 0 && entry.well(now) {
        true => Reachability::Answers,
        false => Reachability::Nothing,
    }
}

/// Whether most servers are silent to the host that told this: its own ways are
/// more likely at fault than they are.
fn hears_little(loads: &[ServerLoad]) -> bool {
    let silent = loads.iter().filter(|load| load.hears == Reachability::Silence).count();
    silent >= DOUBTED && silent * 2 > loads.len()
}

/// What a beat calls for.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatNews {
    /// The host is new, or back.
    pub joined: bool,
    /// Tables that its sender knows better, with what is known here.
    pub wanted: Vec<(Table, SyncRequest)>,
    /// Requests that are refused from now on.
    pub refused: Vec<(RequestDigest, PoisonEvidence)>,
    /// Servers that name another limit, or none any more.
    pub limits: Vec<(String, Option<RequestRate>)>,
    /// Servers that are about to leave.
    pub leaving: Vec<String>,
}
