//! The other hosts, as their beats and those of others show them.
//!
//! A round of beats goes to a bounded number of hosts, so that what a host spends
//! does not grow with the fleet. In a small fleet that is all of them. In a larger
//! one hosts take turns, and beats also tell which other hosts are live.

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
};

/// A host is live for this long after its last beat, if each round reaches it.
pub const LIVE_TIMEOUT: u64 = 1_200 * MILLI;
/// The same if rounds take turns.
const LIVE_IN_TURNS: u64 = 3_000 * MILLI;
/// How long the requests that a host told of count.
const LOADS: u64 = 1_200 * MILLI;
/// A region of which no host was heard for this long is lost: even in the largest fleet a
/// host hears some host of each region several times a second.
pub const REGION_LOST_TIMEOUT: u64 = 1_200 * MILLI;
/// Hosts of the own region that a round of beats goes to at most.
pub const NEAR_FANOUT: usize = 32;
/// Hosts of other regions that a round of beats goes to at most, and how often.
pub const FAR_FANOUT: usize = 24;
const FAR_EVERY: u64 = 2;
/// Hosts that one beat says are live at most.
const WORDS: usize = 24;
/// Time between two beats of a host in a small fleet, and for each host beyond.
const PAUSE: u64 = 50 * MILLI;
const PAUSE_STEP: u64 = 3 * MILLI;
const PAUSE_MAX: u64 = 900 * MILLI;
/// Hosts of a small fleet.
const SMALL: u64 = 12;

/// A silent host is tried only now and then after this long.
const LOST: u64 = 20 * SECOND;
/// One of so many rounds of beats goes to hosts that are lost.
const LOST_EVERY: u64 = 40;
/// A host that has been silent for this long is forgotten: regions may lose each
/// other for hours, and have to find each other again.
const FORGET: u64 = 24 * 3_600 * SECOND;
/// A silent host may be cut off and running for this long, as regions lose each other for
/// an hour now and then.
const CUT: u64 = 2 * 3_600 * SECOND;
/// Known addresses that never answered are tried for this long.
const TRY: u64 = 15 * SECOND;

/// Time between two beats of a host that knows so many others, in microseconds.
pub fn heartbeat_interval(hosts: usize) -> u64 {
    (PAUSE + PAUSE_STEP * (hosts as u64).saturating_sub(SMALL)).min(PAUSE_MAX)
}

/// A host of the fleet other than this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// As it tells of itself.
    pub host: Host,
    /// Hash of its name.
    pub hash: u64,
    /// Hash of its address for hosts.
    pub address_hash: u64,
    /// Number of its present start.
    pub incarnation: u64,
    /// Number of its last beat that came here.
    pub heartbeat_number: u64,
    /// When that came.
    pub last_heartbeat: Time,
    /// Highest number of a beat that it is known to have sent.
    pub newest_number: u64,
    /// When that was learned.
    pub last_seen: Time,
    /// How long it is live after that.
    live_timeout: u64,
    /// Last beat that went there.
    last_sent: Time,
    /// Whether it was live when time was last looked at.
    was_live: bool,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Shortest time in which it read all servers, in milliseconds; none if the
    /// store does not serve it now.
    pub store_ms: Option<u16>,
    /// Its requests in flight by server.
    pub loads: Vec<ServerLoad>,
    /// Requests that it took lately, by hash of the service.
    pub demand: Vec<(u32, u32)>,
    /// Hosts that it knows to be running or not to have stopped.
    pub fleet_size: u32,
}

/// All hosts that are known, by address for hosts.
#[derive(Clone, Debug, Default)]
pub struct Members {
    region: String,
    members: BTreeMap<SocketAddr, Member>,
    by_hash: HashMap<u32, SocketAddr>,
    /// When a host of each region was last heard itself.
    regions: HashMap<String, Time>,
    unconfirmed: BTreeMap<SocketAddr, UnconfirmedHost>,
    /// Hosts of the own region, and of the others, that beats go to.
    near: usize,
    far: usize,
    /// When the last beat's words were picked, and where the next one's begin.
    worded: Time,
    cursor: usize,
}

/// An address that may be a host's.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedHost {
    /// Hash of the address.
    address_hash: u64,
    /// Since when it has been tried.
    since: Time,
    /// Last beat that went there.
    sent: Time,
}

/// Where a round of beats goes.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// Hosts of the own region, and addresses that may be hosts'.
    pub near: Vec<SocketAddr>,
    /// Hosts of other regions.
    pub far: Vec<SocketAddr>,
}

/// What a beat changed.
#[derive(Debug, Default)]
pub struct HeartbeatEffect {
    /// The host was not known, or not live.
    pub joined: bool,
    /// Loads that no longer count.
    pub previous_loads: Vec<ServerLoad>,
}

impl Members {
    /// No hosts, as seen from a region.
    pub fn new(region: &str) -> Members {
        Members { region: region.to_owned(), ..Members::default() }
    }

    /// An address that may be a host's.
    pub fn add_unconfirmed(&mut self, now: Time, address: SocketAddr) {
        if !self.members.contains_key(&address) {
            let new =
                UnconfirmedHost { address_hash: hash::address(address), since: now, sent: Time(0) };
            self.unconfirmed.entry(address).or_insert(new);
        }
    }

    /// Takes a beat in; none if it is older than what is known.
    pub fn on_heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Option<HeartbeatEffect> {
        let address = beat.host.peers;
        self.unconfirmed.remove(&address);
        let known = self.members.get(&address);
        let order = (beat.incarnation, beat.number);
        if known.is_some_and(|known| (known.incarnation, known.heartbeat_number) >= order) {
            return None;
        }
        match self.regions.get_mut(&beat.host.region) {
            Some(heard) => *heard = now,
            None => drop(self.regions.insert(beat.host.region.clone(), now)),
        }
        let joined = known.is_none_or(|known| !known.is_live(now));
        let restarted = known.is_none_or(|known| known.incarnation != beat.incarnation);
        // Others may have told of a newer beat than this one, which then says more.
        let newer = known.filter(|known| !restarted && known.newest_number > beat.number);
        let newer =
            newer.map(|known| (known.newest_number, known.last_seen, known.ready, known.leaving));
        let (newest_number, last_seen, ready, leaving) =
            newer.unwrap_or((beat.number, now, beat.ready, beat.leaving));
        let member = Member {
            host: beat.host.clone(),
            hash: hash::of(&beat.host.name),
            address_hash: known.map_or_else(|| hash::address(address), |known| known.address_hash),
            incarnation: beat.incarnation,
            heartbeat_number: beat.number,
            last_heartbeat: now,
            newest_number,
            last_seen,
            live_timeout: self.patience(&beat.host.region),
            last_sent: known.map_or(Time(0), |known| known.last_sent),
            was_live: true,
            ready,
            leaving,
            store_ms: beat.store_ms,
            loads: beat.loads.clone(),
            demand: beat.demand.clone(),
            fleet_size: beat.fleet_size,
        };
        if known.is_none() {
            match member.host.region == self.region {
                true => self.near += 1,
                false => self.far += 1,
            }
            self.by_hash.insert(member.hash as u32, address);
        }
        let before = self.members.insert(address, member).map(|old| old.loads);
        Some(HeartbeatEffect { joined, previous_loads: before.unwrap_or_default() })
    }

    /// Takes in that another host heard of a host; one that is not known, or has
    /// started anew meanwhile, must be heard itself first.
    pub fn on_liveness_update(&mut self, now: Time, word: &LivenessUpdate) {
        let address = self.by_hash.get(&word.host);
        let Some(member) = address.and_then(|address| self.members.get_mut(address)) else {
            return;
        };
        if member.incarnation as u32 == word.incarnation && member.newest_number < word.number {
            member.newest_number = word.number;
            member.last_seen = now;
            member.ready = word.ready;
            member.leaving = word.leaving;
        }
    }

    /// Which hosts the next beat says are live; none if each round reaches all.
    ///
    /// Only those that told so themselves since the last beat: what is passed on from
    /// hand to hand is old.
    pub fn liveness_updates(&mut self, now: Time) -> Vec<LivenessUpdate> {
        if self.near <= NEAR_FANOUT && self.far <= FAR_FANOUT {
            return Vec::new();
        }
        let fresh = self.members.values().filter(|member| member.last_heartbeat >= self.worded);
        let fresh: Vec<&Member> = fresh.collect();
        let begin = self.cursor % fresh.len().max(1);
        let turn = fresh.iter().cycle().skip(begin).take(fresh.len().min(WORDS));
        let words = turn.map(|member| LivenessUpdate {
            host: member.hash as u32,
            incarnation: member.incarnation as u32,
            number: member.newest_number,
            ready: member.ready,
            leaving: member.leaving,
        });
        let words = words.collect();
        self.worded = now;
        self.cursor = self.cursor.wrapping_add(WORDS);
        words
    }

    /// How long hosts of a region are live after they were last heard of.
    fn patience(&self, region: &str) -> u64 {
        let all = match region == self.region {
            true => self.near <= NEAR_FANOUT,
            false => self.far <= FAR_FANOUT,
        };
        if all { LIVE_TIMEOUT } else { LIVE_IN_TURNS }
    }

    /// Drops the loads of silent hosts, and forgets those that are long silent; names
    /// of hosts that are no longer live.
    pub fn expire(&mut self, now: Time) -> Vec<String> {
        let mut lost = Vec::new();
        for member in self.members.values_mut() {
            let live = member.is_live(now);
            if member.was_live && !live {
                lost.push(member.host.name.clone());
            }
            member.was_live = live;
        }
        for member in
            self.members.values_mut().filter(|member| now.since(member.last_heartbeat) >= LOADS)
        {
            member.loads.clear();
        }
        self.members.retain(|_, member| now.since(member.last_seen) < FORGET);
        let members = &self.members;
        self.by_hash.retain(|_, address| members.contains_key(address));
        // Hosts that were replaced are remembered for long, but count no more.
        let due = self.members.values().filter(|member| now.since(member.last_seen) < LOST);
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            due.partition(|member| member.host.region == self.region);
        (self.near, self.far) = (near.len(), far.len());
        self.unconfirmed.retain(|_, tried| now.since(tried.since) < TRY);
        lost
    }

    /// Hosts that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> + Clone {
        self.members.values().filter(move |member| member.is_live(now))
    }

    /// Hosts that were heard lately in regions that are not lost.
    pub fn live_in_reachable_regions(&self, now: Time) -> impl Iterator<Item = &Member> + Clone {
        let lost = move |region: &str| {
            self.regions.get(region).is_none_or(|heard| now.since(*heard) >= REGION_LOST_TIMEOUT)
        };
        self.live(now)
            .filter(move |member| member.host.region == self.region || !lost(&member.host.region))
    }

    /// Hashes of the addresses of hosts that may be running: those that were heard lately
    /// and those that were named lately and not heard yet.
    ///
    /// A host that has just started is told at once where the others are, but it takes
    /// seconds until it has heard them.
    pub fn address_hashes(&self, now: Time) -> impl Iterator<Item = u64> {
        let live = self.live(now).map(|member| member.address_hash);
        live.chain(self.unconfirmed_hashes())
    }

    /// Hashes of the addresses of hosts that were named lately and not heard yet.
    pub fn unconfirmed_hashes(&self) -> impl Iterator<Item = u64> {
        self.unconfirmed.values().map(|tried| tried.address_hash)
    }

    /// Other hosts that may be running: all that did not say that they stop, for as long as
    /// a host that is silent may only be cut off, and those named lately.
    pub fn possibly_running(&self, now: Time) -> usize {
        let heard = self.members.values().filter(|member| {
            member.is_live(now) || (!member.leaving && now.since(member.last_seen) < CUT)
        });
        heard.count() + self.unconfirmed.len()
    }

    /// Addresses of hosts by the hashes of those.
    pub fn by_address_hash(&self) -> FxHashMap<u64, SocketAddr> {
        let heard = self.members.iter().map(|(address, member)| (member.address_hash, *address));
        let tried = self.unconfirmed.iter().map(|(address, tried)| (tried.address_hash, *address));
        heard.chain(tried).collect()
    }

    /// Whether no other host has been named or heard.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && self.unconfirmed.is_empty()
    }

    /// Addresses of all hosts that were heard lately, or named lately and not heard yet.
    pub fn contact_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let heard = self.members.iter().filter(|(_, member)| now.since(member.last_seen) < LOST);
        heard.map(|(address, _)| *address).chain(self.unconfirmed.keys().copied()).collect()
    }

    /// Hosts that beats go to.
    pub fn target_count(&self) -> usize {
        self.near + self.far
    }

    /// All hosts that are known.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A host by its address.
    pub fn get(&self, address: &SocketAddr) -> Option<&Member> {
        self.members.get(address)
    }

    /// Where the beats of a round go: those that have waited longest come first.
    ///
    /// `own` tells hosts apart, so that not all of them turn to the same ones.
    pub fn targets(&mut self, now: Time, round: u64, own: u64) -> Targets {
        let all = round.is_multiple_of(LOST_EVERY);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (address, member) in &self.members {
            if all || now.since(member.last_seen) < LOST {
                let list = if member.host.region == self.region { &mut near } else { &mut far };
                list.push((member.last_sent, hash::combine(own, member.hash), *address));
            }
        }
        let place = |tried: &UnconfirmedHost| hash::combine(own, tried.address_hash);
        near.extend(self.unconfirmed.iter().map(|(a, tried)| (tried.sent, place(tried), *a)));
        let near = self.pick(now, near, NEAR_FANOUT);
        // Each second round goes to the own region only.
        let far =
            if round.is_multiple_of(FAR_EVERY) { self.pick(now, far, FAR_FANOUT) } else { vec![] };
        Targets { near, far }
    }

    fn pick(
        &mut self,
        now: Time,
        mut list: Vec<(Time, u64, SocketAddr)>,
        most: usize,
    ) -> Vec<SocketAddr> {
        if list.len() > most {
            list.sort_unstable();
            list.truncate(most);
        }
        let picked: Vec<SocketAddr> = list.into_iter().map(|(.., address)| address).collect();
        for address in &picked {
            if let Some(member) = self.members.get_mut(address) {
                member.last_sent = now;
            } else if let Some(tried) = self.unconfirmed.get_mut(address) {
                tried.sent = now;
            }
        }
        picked
    }

    /// Some of the known hosts' addresses, others for each `turn`.
    pub fn sample(&self, turn: usize, most: usize) -> Vec<SocketAddr> {
        let count = self.members.len();
        let turned = self.members.keys().cycle().skip(turn % count.max(1));
        turned.take(count.min(most)).copied().collect()
    }
}

impl Member {
    /// Whether it was heard lately.
    pub fn is_live(&self, now: Time) -> bool {
        now.since(self.last_seen) < self.live_timeout
    }
}
