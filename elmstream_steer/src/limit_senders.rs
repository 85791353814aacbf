//! Limits of all backend servers that a host knows: notices, and the election of senders.

use std::collections::HashMap;

use elmstream::time::Time;

use crate::{
    hash,
    members::Member,
    server_limit::{self, LimitNotice, RequestRate, SenderCandidate},
    servers::{ServerEntry, ServerIndex},
    steer::Steer,
};

/// Highest number of server limits in one heartbeat.
const NOTICES_PER_HEARTBEAT_MAX: usize = 24;

/// Service and region of a group of servers.
type ServerGroup = (String, String);

impl Steer {
    /// Takes in the limit, or `None`, of a server's answer to this host. Returns whether it differs
    /// from the one before.
    pub fn on_server_limit(
        &mut self,
        now: Time,
        index: ServerIndex,
        limit: Option<RequestRate>,
    ) -> bool {
        let Some(entry) = self.servers.get_mut(index) else { return false };
        let changed = entry.server_limit.on_answer(now, limit);
        if changed {
            self.urgent = true;
            self.elect_limit_senders(now);
        }
        changed
    }

    /// Number of servers with a known limit.
    pub fn limited_servers(&self) -> usize {
        self.servers.all().filter(|(_, entry)| entry.server_limit.limit().is_some()).count()
    }

    /// Limits that servers set in answers to this host; if there are too many for one heartbeat,
    /// heartbeats carry them in rotation.
    pub(crate) fn limit_notices(&self, now: Time) -> Vec<LimitNotice> {
        let notice =
            |entry: &ServerEntry| entry.server_limit.notice(now, entry.hash, entry.start_hash());
        let mut notices: Vec<LimitNotice> =
            self.servers.all().filter_map(|(_, entry)| notice(entry)).collect();
        if notices.len() > NOTICES_PER_HEARTBEAT_MAX {
            let first = self.heartbeat_number as usize * NOTICES_PER_HEARTBEAT_MAX % notices.len();
            notices.rotate_left(first);
            notices.truncate(NOTICES_PER_HEARTBEAT_MAX);
        }
        notices
    }

    /// Merges the notices of another host. Returns ids and limits of servers whose limit is new.
    pub(crate) fn merge_limit_notices(
        &mut self,
        now: Time,
        notices: &[LimitNotice],
    ) -> Vec<(String, Option<RequestRate>)> {
        let mut changed = Vec::new();
        for notice in notices {
            let Some(entry) = self.servers.get_mut_by_hash(notice.server) else { continue };
            if entry.start_hash() as u32 == notice.start
                && entry.server_limit.on_notice(now, notice)
            {
                changed.push((entry.id.clone(), notice.limit));
            }
        }
        if !changed.is_empty() {
            self.elect_limit_senders(now);
        }
        changed
    }

    /// Determines to which servers with a limit this host may send, and how fast, where an election
    /// is due.
    pub(crate) fn elect_limit_senders(&mut self, now: Time) {
        let due = self.servers.all().filter(|(_, entry)| entry.server_limit.election_due(now));
        let due: Vec<(ServerIndex, ServerGroup)> = due
            .map(|(index, entry)| (index, (entry.server.service.clone(), entry.region.clone())))
            .collect();
        let reachable_fraction =
            self.reachable_hosts as f64 / self.fleet_size.max(self.reachable_hosts).max(1) as f64;
        let own_hash = self.address_hashes.first().copied().unwrap_or_default();
        let mut candidates_by_group: HashMap<ServerGroup, Vec<SenderCandidate>> = HashMap::new();
        for (index, group) in due {
            let candidates = candidates_by_group.entry(group);
            let candidates = candidates.or_insert_with_key(|group| self.candidates(now, group));
            if let Some(entry) = self.servers.get_mut(index) {
                entry.server_limit.elect(now, own_hash, candidates, entry.hash, reachable_fraction);
            }
        }
    }

    /// Hosts that may send to servers with a limit of one service and region.
    fn candidates(&self, now: Time, (service, region): &ServerGroup) -> Vec<SenderCandidate> {
        let service_hash = hash::of(service) as u32;
        let requests_of = |member: &Member| {
            let demand = member.demand.iter().find(|(service, _)| *service == service_hash);
            demand.map_or(0, |(_, requests)| *requests)
        };
        let own_requests =
            self.demand_counts.get(service).map_or(0, |count| count.value(now) as u32);
        let max_requests =
            self.members.live(now).map(requests_of).max().unwrap_or(0).max(own_requests);
        let is_near = |other: &str| other == region;
        let own_hash = self.address_hashes.first().copied().unwrap_or_default();
        let own_weight = server_limit::sender_weight(
            own_requests,
            max_requests,
            is_near(&self.settings.host.region),
        );
        let mut candidates = vec![SenderCandidate { address_hash: own_hash, weight: own_weight }];
        candidates.extend(self.members.live(now).map(|member| SenderCandidate {
            address_hash: member.address_hash,
            weight: server_limit::sender_weight(
                requests_of(member),
                max_requests,
                is_near(&member.host.region),
            ),
        }));
        // Nothing is known of the requests of unconfirmed hosts, so they get the highest weight
        // until they are confirmed.
        let weight = server_limit::sender_weight(max_requests, max_requests, true);
        candidates.extend(
            self.members
                .unconfirmed_hashes()
                .map(|address_hash| SenderCandidate { address_hash, weight }),
        );
        candidates
    }

    /// Drops limits that no host has received for long.
    pub(crate) fn expire_limits(&mut self, now: Time) {
        self.servers.all_mut().for_each(|entry| entry.server_limit.expire(now));
    }

    /// Makes elections due as hosts have joined or left.
    pub(crate) fn invalidate_limit_senders(&mut self) {
        self.servers.all_mut().for_each(|entry| entry.server_limit.invalidate());
    }
}
