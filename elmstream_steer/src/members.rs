//! The other hosts, as their beats show them.

use std::{collections::HashMap, net::SocketAddr};

use elmstream::time::{MILLI, SECOND, Time};

use crate::{
    beat::{Beat, Load},
    hash,
    settings::Host,
};

/// A host is live for this long after its last beat.
pub const LIVE: u64 = 1_200 * MILLI;
/// A silent host is tried only now and then after this long.
const LOST: u64 = 20 * SECOND;
/// One of so many rounds of beats goes to hosts that are lost.
const LOST_EVERY: u64 = 40;
/// A host that has been silent for this long is forgotten: regions may lose each
/// other for hours, and have to find each other again.
const FORGET: u64 = 24 * 3_600 * SECOND;
/// Known addresses that never answered are tried for this long.
const TRY: u64 = 15 * SECOND;

/// A host of the fleet other than this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// As it tells of itself.
    pub host: Host,
    /// Hash of its name.
    pub hash: u64,
    /// Number of its present start.
    pub incarnation: u64,
    /// Last number of a beat.
    pub number: u64,
    /// When it was last heard.
    pub heard: Time,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Shortest time in which it read all servers, in milliseconds; none if the
    /// store does not serve it now.
    pub store_ms: Option<u16>,
    /// Its requests in flight by server.
    pub loads: Vec<Load>,
    /// Requests that it took lately, by hash of the service.
    pub demand: Vec<(u32, u32)>,
}

/// All hosts that are known, by address for hosts.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: HashMap<SocketAddr, Member>,
    tried: HashMap<SocketAddr, Time>,
}

/// What a beat changed.
#[derive(Debug, Default)]
pub struct Heard {
    /// The host was not known, or not live.
    pub joined: bool,
    /// Loads that no longer count.
    pub before: Vec<Load>,
}

impl Members {
    /// An address that may be a host's.
    pub fn suppose(&mut self, now: Time, address: SocketAddr) {
        if !self.members.contains_key(&address) {
            self.tried.entry(address).or_insert(now);
        }
    }

    /// Takes a beat in; none if it is older than what is known.
    pub fn hear(&mut self, now: Time, beat: &Beat) -> Option<Heard> {
        let address = beat.host.peers;
        self.tried.remove(&address);
        let known = self.members.get(&address);
        let order = (beat.incarnation, beat.number);
        if known.is_some_and(|known| (known.incarnation, known.number) >= order) {
            return None;
        }
        let joined = known.is_none_or(|known| !known.live(now));
        let member = Member {
            host: beat.host.clone(),
            hash: hash::of(&beat.host.name),
            incarnation: beat.incarnation,
            number: beat.number,
            heard: now,
            ready: beat.ready,
            leaving: beat.leaving,
            store_ms: beat.store_ms,
            loads: beat.loads.clone(),
            demand: beat.demand.clone(),
        };
        let before = self.members.insert(address, member).map(|old| old.loads);
        Some(Heard { joined, before: before.unwrap_or_default() })
    }

    /// Drops the loads of silent hosts, and forgets those that are long silent.
    pub fn expire(&mut self, now: Time) {
        for member in self.members.values_mut().filter(|member| !member.live(now)) {
            member.loads.clear();
        }
        self.members.retain(|_, member| now.since(member.heard) < FORGET);
        self.tried.retain(|_, since| now.since(*since) < TRY);
    }

    /// Hosts that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.live(now))
    }

    /// All hosts that are known.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A host by its address.
    pub fn get(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(address)
    }

    /// Where the beats of a round go: hosts, and addresses that may be hosts'.
    pub fn addresses(&self, now: Time, round: u64) -> Vec<SocketAddr> {
        let all = round.is_multiple_of(LOST_EVERY);
        let due = self.members.iter().filter(|(_, member)| all || now.since(member.heard) < LOST);
        due.map(|(address, _)| address).chain(self.tried.keys()).copied().collect()
    }
}

impl Member {
    /// Whether it was heard lately.
    pub fn live(&self, now: Time) -> bool {
        now.since(self.heard) < LIVE
    }
}
