//! The other hosts of the fleet, as known from heartbeats and liveness updates.
//!
//! A round of heartbeats goes to a bounded number of hosts, so that the cost per host does not grow
//! with the fleet. In a small fleet that is every host. In a larger one the targets rotate, and
//! heartbeats also carry liveness updates about further hosts.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use elmstream::time::{MILLI, SECOND, Time};
use rustc_hash::FxHashMap;

use crate::{
    hash,
    heartbeat::{Heartbeat, LivenessUpdate, ServerLoad},
    settings::Host,
    version::StoreVersion,
    view::Table,
    warm_keys::HEARTBEATS_PER_UPDATE,
};

/// How long a host counts as live after its last heartbeat if each round reaches all hosts.
pub const LIVE_TIMEOUT: u64 = 1_200 * MILLI;
/// How long a host counts as live after its last heartbeat if the targets rotate.
pub(crate) const ROTATING_LIVE_TIMEOUT: u64 = 3_000 * MILLI;
/// How long the loads that a host reported count.
const LOADS_TIMEOUT: u64 = 1_200 * MILLI;
/// A region counts as lost when none of its hosts was heard for this long. Even in the largest
/// fleet a host receives heartbeats from each region several times a second.
pub const REGION_LOST_TIMEOUT: u64 = 1_200 * MILLI;
/// Largest number of hosts of the own region in a round of heartbeats.
pub const NEAR_FANOUT: usize = 32;
/// Number of addresses that have never answered in a round of heartbeats, if there are as many. They
/// also get what the region's known hosts leave of [`NEAR_FANOUT`].
const UNCONFIRMED_FANOUT_MIN: usize = 8;
/// Largest number of hosts of other regions in a round of heartbeats. Only one of
/// `ROUNDS_PER_FAR_ROUND` rounds goes to other regions.
pub const FAR_FANOUT: usize = 24;
const ROUNDS_PER_FAR_ROUND: u64 = 2;
/// Largest number of liveness updates in a heartbeat.
const LIVENESS_UPDATES_MAX: usize = 24;
/// Interval between heartbeats in a small fleet, its increase for each further host, and its upper
/// limit.
const HEARTBEAT_INTERVAL_MIN: u64 = 50 * MILLI;
const HEARTBEAT_INTERVAL_PER_HOST: u64 = 3 * MILLI;
const HEARTBEAT_INTERVAL_MAX: u64 = 900 * MILLI;
/// Longest interval between heartbeats to hosts of the region's other domains, if the settings give
/// domains a cost. Two of them and their delays are within the time for which a host counts as live
/// and its loads count, so that one may be lost.
const DOMAIN_HEARTBEAT_INTERVAL_MAX: u64 = 550 * MILLI;
/// Largest number of rounds of which one goes to the other domains. An update about warm keys is in
/// as many successive heartbeats.
const ROUNDS_PER_DOMAIN_ROUND_MAX: u64 = HEARTBEATS_PER_UPDATE as u64;
/// Largest number of other hosts in a small fleet.
const SMALL_FLEET_HOSTS: u64 = 12;

/// Hosts silent for this long count as unreachable and get heartbeats only in some rounds.
const UNREACHABLE_TIMEOUT: u64 = 20 * SECOND;
/// One in this many rounds also goes to unreachable hosts.
const ROUNDS_PER_UNREACHABLE_ROUND: u64 = 40;
/// Hosts silent for this long are forgotten. Regions may lose each other for hours and have to find
/// each other afterwards.
const FORGET_TIMEOUT: u64 = 24 * 3_600 * SECOND;
/// How long a silent host counts as possibly running, since regions can be partitioned for an hour.
const PARTITION_MAX: u64 = 2 * 3_600 * SECOND;
/// How long addresses that never answered are contacted.
const UNCONFIRMED_TIMEOUT: u64 = 15 * SECOND;

/// Interval between heartbeats of a host with `hosts` other hosts as targets, in microseconds.
pub fn heartbeat_interval(hosts: usize) -> u64 {
    (HEARTBEAT_INTERVAL_MIN
        + HEARTBEAT_INTERVAL_PER_HOST * (hosts as u64).saturating_sub(SMALL_FLEET_HOSTS))
    .min(HEARTBEAT_INTERVAL_MAX)
}

/// Number of rounds of which one goes to the region's other domains, where these cost more than the
/// own one.
fn rounds_per_domain_round(hosts: usize) -> u64 {
    (DOMAIN_HEARTBEAT_INTERVAL_MAX / heartbeat_interval(hosts))
        .clamp(1, ROUNDS_PER_DOMAIN_ROUND_MAX)
}

/// Another host of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// The host's description of itself.
    pub host: Host,
    /// Hash of the host's name.
    pub hash: u64,
    /// Hash of the address at which the host receives messages of other hosts.
    pub address_hash: u64,
    /// Number of the host's current start.
    pub incarnation: u64,
    /// Number of the last heartbeat received directly.
    pub heartbeat_number: u64,
    /// When the last heartbeat was received directly.
    pub last_heartbeat: Time,
    /// Highest heartbeat number that the host is known to have sent.
    pub newest_number: u64,
    /// When the highest heartbeat number was learned.
    pub last_seen: Time,
    /// How long the host counts as live after `last_seen`, in microseconds.
    live_timeout: u64,
    /// When this host last sent it a heartbeat.
    last_sent: Time,
    /// Whether the host was live at the last call of [`Members::expire`].
    was_live: bool,
    /// Whether the host serves callers.
    pub ready: bool,
    /// Whether the host is about to stop.
    pub leaving: bool,
    /// Shortest time in which the host read all servers, in milliseconds; `None` if the store does
    /// not currently serve it.
    pub store_ms: Option<u16>,
    /// The host's requests in flight per server.
    pub loads: Vec<ServerLoad>,
    /// The host's recent requests, by hash of the service.
    pub demand: Vec<(u32, u32)>,
    /// Services whose servers the host does not reach, by hash.
    pub cut_services: Vec<u32>,
    /// Number of hosts that it considers possibly running.
    pub fleet_size: u32,
    /// Up to which version it knows the rules.
    pub rules_version: StoreVersion,
}

/// All known hosts, by their address for messages of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Members {
    region: String,
    members: BTreeMap<SocketAddr, Member>,
    by_hash: HashMap<u32, SocketAddr>,
    /// When a heartbeat of any host of a region was last received directly.
    region_last_seen: HashMap<String, Time>,
    unconfirmed: BTreeMap<SocketAddr, UnconfirmedHost>,
    /// Number of heartbeat targets in the own region and in others.
    near: usize,
    far: usize,
    /// When liveness updates were last picked, and where the next selection begins.
    updates_picked_at: Time,
    update_cursor: usize,
}

/// An address at which a host may run.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedHost {
    /// Hash of the address.
    address_hash: u64,
    /// When the address was added.
    added_at: Time,
    /// When a heartbeat was last sent there.
    last_sent: Time,
}

/// Receivers of a round of heartbeats.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Hosts of the own region, and unconfirmed addresses.
    pub near: Vec<SocketAddr>,
    /// Hosts of the other failure domains of the own region, if these have a round of their own.
    pub domains: Vec<SocketAddr>,
    /// Hosts of other regions.
    pub far: Vec<SocketAddr>,
}

/// Effect of a heartbeat.
#[derive(Debug, Default)]
pub struct HeartbeatEffect {
    /// Whether the host was unknown or not live before.
    pub joined: bool,
    /// Loads from the host's previous heartbeat, which the new ones replace.
    pub previous_loads: Vec<ServerLoad>,
}

impl Members {
    /// Creates an empty set as seen from a region.
    pub fn new(region: &str) -> Members {
        Members { region: region.to_owned(), ..Members::default() }
    }

    /// Adds an address at which a host may run, unless a host is known there.
    pub fn add_unconfirmed(&mut self, now: Time, address: SocketAddr) {
        if !self.members.contains_key(&address) {
            let unconfirmed = UnconfirmedHost {
                address_hash: hash::address(address),
                added_at: now,
                last_sent: Time(0),
            };
            self.unconfirmed.entry(address).or_insert(unconfirmed);
        }
    }

    /// Merges a heartbeat. Returns `None` if it is older than the last one received.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<HeartbeatEffect> {
        let address = heartbeat.host.peers;
        self.unconfirmed.remove(&address);
        let known = self.members.get(&address);
        let order = (heartbeat.incarnation, heartbeat.number);
        if known.is_some_and(|known| (known.incarnation, known.heartbeat_number) >= order) {
            return None;
        }
        match self.region_last_seen.get_mut(&heartbeat.host.region) {
            Some(seen_at) => *seen_at = now,
            None => drop(self.region_last_seen.insert(heartbeat.host.region.clone(), now)),
        }
        let joined = known.is_none_or(|known| !known.is_live(now));
        let restarted = known.is_none_or(|known| known.incarnation != heartbeat.incarnation);
        // A liveness update may have announced a later heartbeat than this one; its state is then
        // the newer one.
        let newer = known.filter(|known| !restarted && known.newest_number > heartbeat.number);
        let newer =
            newer.map(|known| (known.newest_number, known.last_seen, known.ready, known.leaving));
        let (newest_number, last_seen, ready, leaving) =
            newer.unwrap_or((heartbeat.number, now, heartbeat.ready, heartbeat.leaving));
        let member = Member {
            host: heartbeat.host.clone(),
            hash: hash::of(&heartbeat.host.name),
            address_hash: known.map_or_else(|| hash::address(address), |known| known.address_hash),
            incarnation: heartbeat.incarnation,
            heartbeat_number: heartbeat.number,
            last_heartbeat: now,
            newest_number,
            last_seen,
            live_timeout: self.region_live_timeout(&heartbeat.host.region),
            last_sent: known.map_or(Time(0), |known| known.last_sent),
            was_live: true,
            ready,
            leaving,
            store_ms: heartbeat.store_ms,
            loads: heartbeat.loads.clone(),
            demand: heartbeat.demand.clone(),
            cut_services: heartbeat.cut_services.clone(),
            fleet_size: heartbeat.fleet_size,
            rules_version: heartbeat.tables[Table::Rules as usize].version,
        };
        if known.is_none() {
            match member.host.region == self.region {
                true => self.near += 1,
                false => self.far += 1,
            }
            self.by_hash.insert(member.hash as u32, address);
        }
        let previous = self.members.insert(address, member).map(|old| old.loads);
        Some(HeartbeatEffect { joined, previous_loads: previous.unwrap_or_default() })
    }

    /// Merges a liveness update from another host. It is ignored for hosts that are unknown or have
    /// another incarnation, which must be heard directly first.
    pub fn on_liveness_update(&mut self, now: Time, update: &LivenessUpdate) {
        let address = self.by_hash.get(&update.host);
        let Some(member) = address.and_then(|address| self.members.get_mut(address)) else {
            return;
        };
        if member.incarnation as u32 == update.incarnation && member.newest_number < update.number {
            member.newest_number = update.number;
            member.last_seen = now;
            member.ready = update.ready;
            member.leaving = update.leaving;
        }
    }

    /// Liveness updates for the next heartbeat; empty if each round reaches all hosts.
    ///
    /// Only hosts heard directly since the last heartbeat are included, as information relayed over
    /// several hops is old.
    pub fn liveness_updates(&mut self, now: Time) -> Vec<LivenessUpdate> {
        if self.near <= NEAR_FANOUT && self.far <= FAR_FANOUT {
            return Vec::new();
        }
        let recent =
            self.members.values().filter(|member| member.last_heartbeat >= self.updates_picked_at);
        let recent: Vec<&Member> = recent.collect();
        let start = self.update_cursor % recent.len().max(1);
        let picked = recent.iter().cycle().skip(start).take(recent.len().min(LIVENESS_UPDATES_MAX));
        let updates = picked.map(|member| LivenessUpdate {
            host: member.hash as u32,
            incarnation: member.incarnation as u32,
            number: member.newest_number,
            ready: member.ready,
            leaving: member.leaving,
        });
        let updates = updates.collect();
        self.updates_picked_at = now;
        self.update_cursor = self.update_cursor.wrapping_add(LIVENESS_UPDATES_MAX);
        updates
    }

    /// How long hosts of a region count as live after they were last seen, in microseconds.
    fn region_live_timeout(&self, region: &str) -> u64 {
        let all = match region == self.region {
            true => self.near <= NEAR_FANOUT,
            false => self.far <= FAR_FANOUT,
        };
        if all { LIVE_TIMEOUT } else { ROTATING_LIVE_TIMEOUT }
    }

    /// Drops the loads of silent hosts and forgets hosts that have been silent for long. Returns
    /// the names of hosts that are no longer live.
    pub fn expire(&mut self, now: Time) -> Vec<String> {
        let mut lost = Vec::new();
        for member in self.members.values_mut() {
            let live = member.is_live(now);
            if member.was_live && !live {
                lost.push(member.host.name.clone());
            }
            member.was_live = live;
        }
        for member in self
            .members
            .values_mut()
            .filter(|member| now.since(member.last_heartbeat) >= LOADS_TIMEOUT)
        {
            member.loads.clear();
        }
        self.members.retain(|_, member| now.since(member.last_seen) < FORGET_TIMEOUT);
        let members = &self.members;
        self.by_hash.retain(|_, address| members.contains_key(address));
        // Replaced hosts are remembered for long but are no longer counted as targets.
        let due = self
            .members
            .values()
            .filter(|member| now.since(member.last_seen) < UNREACHABLE_TIMEOUT);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            due.partition(|member| member.host.region == self.region);
        (self.near, self.far) = (near.len(), far.len());
        self.unconfirmed
            .retain(|_, unconfirmed| now.since(unconfirmed.added_at) < UNCONFIRMED_TIMEOUT);
        lost
    }

    /// Live hosts.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> + Clone {
        self.members.values().filter(move |member| member.is_live(now))
    }

    /// Live hosts in regions that are not lost.
    pub fn live_in_reachable_regions(&self, now: Time) -> impl Iterator<Item = &Member> + Clone {
        let is_lost = move |region: &str| {
            self.region_last_seen
                .get(region)
                .is_none_or(|seen_at| now.since(*seen_at) >= REGION_LOST_TIMEOUT)
        };
        self.live(now).filter(move |member| {
            member.host.region == self.region || !is_lost(&member.host.region)
        })
    }

    /// Address hashes of hosts that may be running: live hosts and unconfirmed ones.
    ///
    /// A host that has just started learns at once where the others are, but it takes seconds until
    /// it has heard from all of them.
    pub fn address_hashes(&self, now: Time) -> impl Iterator<Item = u64> {
        let live = self.live(now).map(|member| member.address_hash);
        live.chain(self.unconfirmed_hashes())
    }

    /// Address hashes of unconfirmed hosts.
    pub fn unconfirmed_hashes(&self) -> impl Iterator<Item = u64> {
        self.unconfirmed.values().map(|unconfirmed| unconfirmed.address_hash)
    }

    /// Number of other hosts that may be running: those that did not announce a stop, for as long
    /// as their silence may be due to a partition, and unconfirmed ones.
    pub fn possibly_running(&self, now: Time) -> usize {
        let running = self.members.values().filter(|member| {
            member.is_live(now) || (!member.leaving && now.since(member.last_seen) < PARTITION_MAX)
        });
        running.count() + self.unconfirmed.len()
    }

    /// Addresses of all known hosts by address hash.
    pub fn by_address_hash(&self) -> FxHashMap<u64, SocketAddr> {
        let members = self.members.iter().map(|(address, member)| (member.address_hash, *address));
        let unconfirmed = self
            .unconfirmed
            .iter()
            .map(|(address, unconfirmed)| (unconfirmed.address_hash, *address));
        members.chain(unconfirmed).collect()
    }

    /// Whether no other host is known or suspected.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && self.unconfirmed.is_empty()
    }

    /// Addresses of all hosts that are reachable or unconfirmed.
    pub fn contact_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let members = self
            .members
            .iter()
            .filter(|(_, member)| now.since(member.last_seen) < UNREACHABLE_TIMEOUT);
        members.map(|(address, _)| *address).chain(self.unconfirmed.keys().copied()).collect()
    }

    /// Number of hosts that regularly get heartbeats.
    pub fn target_count(&self) -> usize {
        self.near + self.far
    }

    /// All known hosts.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Finds a host by its address.
    pub fn get(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(address)
    }

    /// Picks the receivers of a round of heartbeats, those first that have waited longest.
    ///
    /// `own_hash` differs by host, so that hosts do not all pick the same receivers. If `own_domain`
    /// is given, hosts of the region's other domains are included only in some of the rounds.
    pub fn targets(
        &mut self,
        now: Time,
        round: u64,
        own_hash: u64,
        own_domain: Option<&str>,
    ) -> Targets {
        let includes_unreachable = round.is_multiple_of(ROUNDS_PER_UNREACHABLE_ROUND);
        let (mut near, mut domains, mut far) = (Vec::new(), Vec::new(), Vec::new());
        let own_domain = own_domain.filter(|_| self.near <= NEAR_FANOUT);
        for (address, member) in &self.members {
            if includes_unreachable || now.since(member.last_seen) < UNREACHABLE_TIMEOUT {
                let list = match member.host.region == self.region {
                    false => &mut far,
                    true if own_domain.is_some_and(|own| own != member.host.domain) => &mut domains,
                    true => &mut near,
                };
                list.push((member.last_sent, hash::combine(own_hash, member.hash), *address));
            }
        }
        let order =
            |unconfirmed: &UnconfirmedHost| hash::combine(own_hash, unconfirmed.address_hash);
        let unconfirmed = self.unconfirmed.iter();
        let unconfirmed = unconfirmed
            .map(|(address, unconfirmed)| (unconfirmed.last_sent, order(unconfirmed), *address))
            .collect();
        let mut near = self.pick(now, near, NEAR_FANOUT);
        let unconfirmed_max = (NEAR_FANOUT - near.len()).max(UNCONFIRMED_FANOUT_MIN);
        near.extend(self.pick(now, unconfirmed, unconfirmed_max));
        let domains = match round.is_multiple_of(rounds_per_domain_round(self.target_count())) {
            true => self.pick(now, domains, NEAR_FANOUT),
            false => vec![],
        };
        // The other rounds stay within the own region.
        let far = if round.is_multiple_of(ROUNDS_PER_FAR_ROUND) {
            self.pick(now, far, FAR_FANOUT)
        } else {
            vec![]
        };
        Targets { near, domains, far }
    }

    fn pick(
        &mut self,
        now: Time,
        mut candidates: Vec<(Time, u64, SocketAddr)>,
        max: usize,
    ) -> Vec<SocketAddr> {
        if candidates.len() > max {
            candidates.sort_unstable();
            candidates.truncate(max);
        }
        let picked: Vec<SocketAddr> = candidates.into_iter().map(|(.., address)| address).collect();
        for address in &picked {
            if let Some(member) = self.members.get_mut(address) {
                member.last_sent = now;
            } else if let Some(unconfirmed) = self.unconfirmed.get_mut(address) {
                unconfirmed.last_sent = now;
            }
        }
        picked
    }

    /// Addresses of up to `max` known hosts, rotated by `turn`.
    pub fn sample(&self, turn: usize, max: usize) -> Vec<SocketAddr> {
        let count = self.members.len();
        let rotated = self.members.keys().cycle().skip(turn % count.max(1));
        rotated.take(count.min(max)).copied().collect()
    }
}

impl Member {
    /// Whether the host was last seen within its timeout.
    pub fn is_live(&self, now: Time) -> bool {
        now.since(self.last_seen) < self.live_timeout
    }
}
