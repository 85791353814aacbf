//! The list of hosts in the store, by which starting hosts find the others.
//!
//! The host that reads the store for all maintains the list: it adds running hosts that are missing
//! and removes hosts that have been gone for long. Hosts that start or stop write nothing
//! themselves. Two maintainers at once do no harm, as both write the same entries.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use elmstream::time::{MILLI, SECOND, Time};

use crate::{settings::Host, steer::Steer, view::Table};

/// Time from a host's start until it may maintain the list. By then hosts have met, so that the
/// first host of a new fleet adds nearly all others.
pub const FIRST_UPDATE_AFTER: u64 = 1_000 * MILLI;
/// Interval at which the maintainer checks the list. If a fleet loses all hosts within this time of
/// a host's first start, that host can be found only through the seeds.
pub const UPDATE_INTERVAL: u64 = 15 * SECOND;
/// Time without contact after which a host is removed from the list. Regions may lose each other
/// for an hour, and should not remove and add each other's hosts repeatedly.
pub const REMOVE_AFTER: u64 = 2 * 3_600 * SECOND;
/// Pause after a failed call.
const RETRY_PAUSE: u64 = 2 * SECOND;
/// Number of listed hosts per running host above which the maintainer removes none, since it sees
/// too few hosts itself.
const LISTED_PER_LIVE_HOST_MAX: usize = 2;

/// A host as listed in the store.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RegisteredHost {
    /// Name of the host.
    pub name: String,
    /// Address at which it receives messages of other hosts.
    pub peers: SocketAddr,
}

/// Changes to be made to the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegistryEdit {
    /// Hosts to be added.
    pub put: Vec<RegisteredHost>,
    /// Names of hosts to be removed.
    pub remove: Vec<String>,
}

impl RegistryEdit {
    /// Whether there is nothing to change.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

/// Schedule of a host's calls for the list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Registry {
    /// Whether the host still has to learn where the others are.
    is_requested: bool,
    /// When the host last checked the list as its maintainer.
    updated_at: Option<Time>,
    /// When a call last failed.
    failed_at: Option<Time>,
}

impl Registry {
    /// Makes the maintainer check the list again, as entries may have been lost.
    pub(crate) fn invalidate(&mut self) {
        self.updated_at = None;
    }

    /// Whether the host knows where the others are, or never had to learn it.
    pub(crate) fn is_known(&self) -> bool {
        !self.is_requested
    }
}

impl Steer {
    /// Makes this host learn where the others are. Until then its decisions assume that it knows
    /// only a part of the fleet.
    pub fn request_host_list(&mut self) {
        self.registry.is_requested = true;
    }

    /// Whether this host knows where the others are.
    pub fn has_host_list(&self) -> bool {
        self.registry.is_known()
    }

    /// Adds the addresses that another host sent or that the store lists.
    pub fn on_host_list(&mut self, now: Time, hosts: &[SocketAddr]) {
        for host in hosts {
            self.add_peer_address(now, *host);
        }
        self.registry.is_requested = false;
    }

    /// Whether this host has to read the list now.
    pub fn host_list_due(&self, now: Time) -> bool {
        let Registry { is_requested, updated_at, failed_at } = self.registry;
        if failed_at.is_some_and(|at| now.since(at) < RETRY_PAUSE) {
            return false;
        }
        let due = updated_at.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL);
        (is_requested && self.startup().may_read(now)) || (due && self.maintains_host_list(now))
    }

    /// Whether this host is the first reader of the store and has had time to meet the others.
    pub fn maintains_host_list(&self, now: Time) -> bool {
        now.since(self.started) >= FIRST_UPDATE_AFTER
            && !self.leaving
            && self.store_schedule.is_served()
            && self.read_context(now, Table::Rules).ranked_ahead == 0
    }

    /// Merges the hosts that the store lists. Returns the changes to make, which are empty unless
    /// this host maintains the list.
    pub fn on_registered_hosts(&mut self, now: Time, listed: &[RegisteredHost]) -> RegistryEdit {
        let hosts: Vec<SocketAddr> = listed.iter().map(|host| host.peers).collect();
        self.on_host_list(now, &hosts);
        if !self.maintains_host_list(now) {
            return RegistryEdit::default();
        }
        self.registry.updated_at = Some(now);
        self.plan_edit(now, listed)
    }

    /// Records a failed read or change of the list.
    pub fn record_list_failure(&mut self, now: Time) {
        self.registry.failed_at = Some(now);
    }

    fn plan_edit(&self, now: Time, listed: &[RegisteredHost]) -> RegistryEdit {
        let registered =
            |host: &Host| RegisteredHost { name: host.name.clone(), peers: host.peers };
        let live = self.members.live(now).filter(|member| !member.leaving);
        let mut running: Vec<RegisteredHost> =
            live.map(|member| registered(&member.host)).collect();
        running.push(registered(&self.settings.host));
        let listed_hosts: HashSet<&RegisteredHost> = listed.iter().collect();
        let put = running.iter().filter(|host| !listed_hosts.contains(host)).cloned().collect();
        if running.len() * LISTED_PER_LIVE_HOST_MAX < listed.len() {
            return RegistryEdit { put, remove: Vec::new() };
        }
        let running_names: HashSet<&str> = running.iter().map(|host| host.name.as_str()).collect();
        let last_seen: BTreeMap<&str, Time> = self
            .members
            .all()
            .map(|member| (member.host.name.as_str(), member.last_seen))
            .collect();
        let is_gone = |host: &&RegisteredHost| {
            let seen_at = last_seen.get(host.name.as_str()).copied().unwrap_or(self.started);
            !running_names.contains(host.name.as_str())
                && now.since(seen_at.max(self.started)) >= REMOVE_AFTER
        };
        let remove = listed.iter().filter(is_gone).map(|host| host.name.clone()).collect();
        RegistryEdit { put, remove }
    }
}
