//! What servers of one host's tables name as limits: told, heard, and shared out.

use std::collections::HashMap;

use elmstream::time::Time;

use crate::{
    hash,
    members::Member,
    server_limit::{self, LimitNotice, RequestRate, SenderCandidate},
    servers::{ServerEntry, ServerIndex},
    steer::Steer,
};

/// Limits of servers that one beat tells at most.
const TOLD: usize = 24;

/// A service, and a region that servers of it are in.
type Kind = (String, String);

impl Steer {
    /// A server named a limit in an answer, or none; whether that is another one than before.
    pub fn on_server_limit(
        &mut self,
        now: Time,
        index: ServerIndex,
        limit: Option<RequestRate>,
    ) -> bool {
        let Some(entry) = self.servers.get_mut(index) else { return false };
        let new = entry.server_limit.on_answer(now, limit);
        if new {
            self.urgent = true;
            self.elect_limit_senders(now);
        }
        new
    }

    /// Servers whose limit this host knows of.
    pub fn limited_servers(&self) -> usize {
        self.servers.all().filter(|(_, entry)| entry.server_limit.limit().is_some()).count()
    }

    /// Limits that servers named to this host; in a beat with many, others the next time.
    pub(crate) fn limit_notices(&self, now: Time) -> Vec<LimitNotice> {
        let told =
            |entry: &ServerEntry| entry.server_limit.notice(now, entry.hash, entry.start_hash());
        let mut limits: Vec<LimitNotice> =
            self.servers.all().filter_map(|(_, entry)| told(entry)).collect();
        if limits.len() > TOLD {
            let begin = self.heartbeat_number as usize * TOLD % limits.len();
            limits.rotate_left(begin);
            limits.truncate(TOLD);
        }
        limits
    }

    /// Takes in limits that servers named to another host; those that are new.
    pub(crate) fn merge_limit_notices(
        &mut self,
        now: Time,
        told: &[LimitNotice],
    ) -> Vec<(String, Option<RequestRate>)> {
        let mut new = Vec::new();
        for told in told {
            let Some(entry) = self.servers.get_mut_by_hash(told.server) else { continue };
            if entry.start_hash() as u32 == told.start && entry.server_limit.on_notice(now, told) {
                new.push((entry.id.clone(), told.limit));
            }
        }
        if !new.is_empty() {
            self.elect_limit_senders(now);
        }
        new
    }

    /// Finds out which servers with a limit this host may send to, and how fast, where that
    /// is due.
    pub(crate) fn elect_limit_senders(&mut self, now: Time) {
        let due = self.servers.all().filter(|(_, entry)| entry.server_limit.election_due(now));
        let due: Vec<(ServerIndex, Kind)> = due
            .map(|(index, entry)| (index, (entry.server.service.clone(), entry.region.clone())))
            .collect();
        let part =
            self.reachable_hosts as f64 / self.fleet_size.max(self.reachable_hosts).max(1) as f64;
        let own = self.address_hashes.first().copied().unwrap_or_default();
        let mut candidates: HashMap<Kind, Vec<SenderCandidate>> = HashMap::new();
        for (index, kind) in due {
            let among = candidates.entry(kind);
            let among = among.or_insert_with_key(|kind| self.candidates(now, kind));
            if let Some(entry) = self.servers.get_mut(index) {
                entry.server_limit.elect(now, own, among, entry.hash, part);
            }
        }
    }

    /// Hosts that may send to servers of a kind that named limits.
    fn candidates(&self, now: Time, (service, region): &Kind) -> Vec<SenderCandidate> {
        let hash = hash::of(service) as u32;
        let asked = |member: &Member| {
            let told = member.demand.iter().find(|(service, _)| *service == hash);
            told.map_or(0, |(_, requests)| *requests)
        };
        let own = self.demand_counts.get(service).map_or(0, |count| count.value(now) as u32);
        let most = self.members.live(now).map(asked).max().unwrap_or(0).max(own);
        let near = |other: &str| other == region;
        let place = self.address_hashes.first().copied().unwrap_or_default();
        let own_weight = server_limit::sender_weight(own, most, near(&self.settings.host.region));
        let mut candidates = vec![SenderCandidate { address_hash: place, weight: own_weight }];
        candidates.extend(self.members.live(now).map(|member| SenderCandidate {
            address_hash: member.address_hash,
            weight: server_limit::sender_weight(asked(member), most, near(&member.host.region)),
        }));
        // Of hosts that were only named nothing is known, so as much as possible is left
        // to them until they are heard.
        let weight = server_limit::sender_weight(most, most, true);
        candidates.extend(
            self.members
                .unconfirmed_hashes()
                .map(|place| SenderCandidate { address_hash: place, weight }),
        );
        candidates
    }

    /// Forgets limits that nobody has heard for long.
    pub(crate) fn expire_limits(&mut self, now: Time) {
        self.servers.all_mut().for_each(|entry| entry.server_limit.expire(now));
    }

    /// Hosts have come or gone.
    pub(crate) fn invalidate_limit_senders(&mut self) {
        self.servers.all_mut().for_each(|entry| entry.server_limit.invalidate());
    }
}
