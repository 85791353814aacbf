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
    pub fn names_limit(
        &mut self,
        now: Time,
        index: ServerIndex,
        limit: Option<RequestRate>,
    ) -> bool {
        let Some(entry) = self.servers.get_mut(index) else { return false };
        let new = entry.limited.hear(now, limit);
        if new {
            self.urgent = true;
            self.pick_limited(now);
        }
        new
    }

    /// Servers whose limit this host knows of.
    pub fn limited_servers(&self) -> usize {
        self.servers.all().filter(|(_, entry)| entry.limited.limit().is_some()).count()
    }

    /// Limits that servers named to this host; in a beat with many, others the next time.
    pub(crate) fn limits_told(&self, now: Time) -> Vec<LimitNotice> {
        let told = |entry: &ServerEntry| entry.limited.tell(now, entry.hash, entry.start());
        let mut limits: Vec<LimitNotice> =
            self.servers.all().filter_map(|(_, entry)| told(entry)).collect();
        if limits.len() > TOLD {
            let begin = self.number as usize * TOLD % limits.len();
            limits.rotate_left(begin);
            limits.truncate(TOLD);
        }
        limits
    }

    /// Takes in limits that servers named to another host; those that are new.
    pub(crate) fn hear_limits(
        &mut self,
        now: Time,
        told: &[LimitNotice],
    ) -> Vec<(String, Option<RequestRate>)> {
        let mut new = Vec::new();
        for told in told {
            let Some(entry) = self.servers.by_hash(told.server) else { continue };
            if entry.start() as u32 == told.start && entry.limited.hear_of(now, told) {
                new.push((entry.id.clone(), told.limit));
            }
        }
        if !new.is_empty() {
            self.pick_limited(now);
        }
        new
    }

    /// Finds out which servers with a limit this host may send to, and how fast, where that
    /// is due.
    pub(crate) fn pick_limited(&mut self, now: Time) {
        let due = self.servers.all().filter(|(_, entry)| entry.limited.due(now));
        let due: Vec<(ServerIndex, Kind)> = due
            .map(|(index, entry)| (index, (entry.server.service.clone(), entry.region.clone())))
            .collect();
        let part = self.heard as f64 / self.fleet.max(self.heard).max(1) as f64;
        let own = self.places.first().copied().unwrap_or_default();
        let mut candidates: HashMap<Kind, Vec<SenderCandidate>> = HashMap::new();
        for (index, kind) in due {
            let among = candidates.entry(kind);
            let among = among.or_insert_with_key(|kind| self.candidates(now, kind));
            if let Some(entry) = self.servers.get_mut(index) {
                entry.limited.pick(now, own, among, entry.hash, part);
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
        let own = self.counts.get(service).map_or(0, |count| count.value(now) as u32);
        let most = self.members.live(now).map(asked).max().unwrap_or(0).max(own);
        let near = |other: &str| other == region;
        let place = self.places.first().copied().unwrap_or_default();
        let own_weight = server_limit::sender_weight(own, most, near(&self.settings.host.region));
        let mut candidates = vec![SenderCandidate { place, weight: own_weight }];
        candidates.extend(self.members.live(now).map(|member| SenderCandidate {
            place: member.place,
            weight: server_limit::sender_weight(asked(member), most, near(&member.host.region)),
        }));
        // Of hosts that were only named nothing is known, so as much as possible is left
        // to them until they are heard.
        let weight = server_limit::sender_weight(most, most, true);
        candidates.extend(self.members.named().map(|place| SenderCandidate { place, weight }));
        candidates
    }

    /// Forgets limits that nobody has heard for long.
    pub(crate) fn forget_limits(&mut self, now: Time) {
        self.servers.all_mut().for_each(|entry| entry.limited.forget(now));
    }

    /// Hosts have come or gone.
    pub(crate) fn pick_all_limited(&mut self) {
        self.servers.all_mut().for_each(|entry| entry.limited.look_again());
    }
}
