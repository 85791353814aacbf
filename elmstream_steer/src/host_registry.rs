//! The list of hosts in the store, by which hosts find each other when they start.
//!
//! The host that reads the store for all keeps it: it adds hosts that run and are not
//! listed, and takes out those that have been gone for long. So a host that stops or
//! starts writes nothing itself. A second keeper does no harm, as both write the same.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use elmstream::time::{MILLI, SECOND, Time};

use crate::{settings::Host, steer::Steer, view::Table};

/// Time from a host's start until it keeps the list, if it ranks first by then: hosts
/// have met, so that the first host of a new fleet writes down nearly all.
pub const FIRST_UPDATE_AFTER: u64 = 1_000 * MILLI;
/// Time between two looks of the keeper at the list. A fleet that loses all hosts within
/// this time of a host's first start finds that one by the seeds only.
pub const UPDATE_INTERVAL: u64 = 15 * SECOND;
/// A host is taken off the list after it has not been heard of for so long: regions lose
/// each other for an hour now and then, and should not write each other off and on.
pub const REMOVE_AFTER: u64 = 2 * 3_600 * SECOND;
/// Pause after a call that failed.
const PAUSE: u64 = 2 * SECOND;
/// The keeper must hear one of so many listed hosts to take any off the list.
const HEARD_PART: usize = 2;

/// A host as the store lists it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RegisteredHost {
    /// Its name.
    pub name: String,
    /// Where it takes messages of hosts.
    pub peers: SocketAddr,
}

/// What is to be changed in the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegistryEdit {
    /// Hosts that are to be listed.
    pub put: Vec<RegisteredHost>,
    /// Names that are to be taken off.
    pub remove: Vec<String>,
}

impl RegistryEdit {
    /// Whether nothing is to be changed.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.remove.is_empty()
    }
}

/// When a host looks at the list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Registry {
    /// Whether the host waits to be told where the others are.
    wanted: bool,
    /// When it last kept the list.
    kept: Option<Time>,
    /// When a call last failed.
    failed: Option<Time>,
}

impl Registry {
    /// The list may have lost what was written.
    pub(crate) fn invalidate(&mut self) {
        self.kept = None;
    }

    /// Whether the host knows where the others are, or was never to find out.
    pub(crate) fn is_known(&self) -> bool {
        !self.wanted
    }
}

impl Steer {
    /// This host is to find out where the others are; until then it counts on knowing few.
    pub fn request_host_list(&mut self) {
        self.registry.wanted = true;
    }

    /// Whether this host knows where the others are.
    pub fn has_host_list(&self) -> bool {
        self.registry.is_known()
    }

    /// Another host told of all that it knows.
    pub fn on_host_list(&mut self, now: Time, hosts: &[SocketAddr]) {
        for host in hosts {
            self.add_peer_address(now, *host);
        }
        self.registry.wanted = false;
    }

    /// Whether this host has to look at the list now.
    pub fn host_list_due(&self, now: Time) -> bool {
        let Registry { wanted, kept, failed } = self.registry;
        if failed.is_some_and(|at| now.since(at) < PAUSE) {
            return false;
        }
        let due = kept.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL);
        (wanted && self.startup().may_read(now)) || (due && self.maintains_host_list(now))
    }

    /// Whether this host reads the store for all, and has had time to meet the others.
    pub fn maintains_host_list(&self, now: Time) -> bool {
        now.since(self.started) >= FIRST_UPDATE_AFTER
            && !self.leaving
            && self.store_schedule.is_served()
            && self.read_context(now, Table::Rules).ranked_ahead == 0
    }

    /// The store told which hosts it lists; what is to be changed, if that is this host's.
    pub fn on_registered_hosts(&mut self, now: Time, listed: &[RegisteredHost]) -> RegistryEdit {
        let hosts: Vec<SocketAddr> = listed.iter().map(|host| host.peers).collect();
        self.on_host_list(now, &hosts);
        if !self.maintains_host_list(now) {
            return RegistryEdit::default();
        }
        self.registry.kept = Some(now);
        self.edit(now, listed)
    }

    /// A look at the list, or a change of it, failed.
    pub fn record_list_failure(&mut self, now: Time) {
        self.registry.failed = Some(now);
    }

    fn edit(&self, now: Time, listed: &[RegisteredHost]) -> RegistryEdit {
        let entry = |host: &Host| RegisteredHost { name: host.name.clone(), peers: host.peers };
        let live = self.members.live(now).filter(|member| !member.leaving);
        let mut running: Vec<RegisteredHost> = live.map(|member| entry(&member.host)).collect();
        running.push(entry(&self.settings.host));
        let listed_set: HashSet<&RegisteredHost> = listed.iter().collect();
        let put = running.iter().filter(|host| !listed_set.contains(host)).cloned().collect();
        if running.len() * HEARD_PART < listed.len() {
            return RegistryEdit { put, remove: Vec::new() };
        }
        let runs: HashSet<&str> = running.iter().map(|host| host.name.as_str()).collect();
        let heard: BTreeMap<&str, Time> = self
            .members
            .all()
            .map(|member| (member.host.name.as_str(), member.last_seen))
            .collect();
        let gone = |host: &&RegisteredHost| {
            let since = heard.get(host.name.as_str()).copied().unwrap_or(self.started);
            !runs.contains(host.name.as_str()) && now.since(since.max(self.started)) >= REMOVE_AFTER
        };
        let remove = listed.iter().filter(gone).map(|host| host.name.clone()).collect();
        RegistryEdit { put, remove }
    }
}
