//! Methods of [`Steer`] for requests whose servers this host does not reach: which hosts may relay
//! them, and when the own paths are back.

use std::net::SocketAddr;

use elmstream::time::Time;

use crate::{
    hash, homes::Homes, members::Member, servers::ServerIndex, settings::Host, steer::Steer,
};

/// Number of hosts that one request may be relayed to, one after another.
const RELAYS_PER_REQUEST_MAX: usize = 2;

/// A host that may relay requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayHost {
    /// Its address for other hosts.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
}

impl Steer {
    /// Whether this host's paths to the servers of a service count as cut.
    pub fn is_cut(&self, service: &str) -> bool {
        self.servers.is_cut(service)
    }

    /// Hashes of the services that this host reports as cut.
    pub(crate) fn cut_service_hashes(&self) -> Vec<u32> {
        self.servers.cut_services().map(|service| hash::of(service) as u32).collect()
    }

    /// Up to two hosts that may relay a request to servers of a service,
    /// the best first; those of the own region come before others. `homes` are the regions in which
    /// the request may run; `draw` spreads requests over the hosts.
    pub fn relays(&self, now: Time, service: &str, homes: Homes<'_>, draw: u64) -> Vec<RelayHost> {
        let service = hash::of(service) as u32;
        let usable = |member: &&Member| {
            member.ready
                && !member.leaving
                && !member.cut_services.contains(&service)
                && homes.allow(&member.host.region)
        };
        let own_region = &self.settings.host.region;
        let mut found: Vec<(bool, u64, &Host)> = self
            .members
            .live(now)
            .filter(usable)
            .map(|member| {
                let order = hash::combine(draw, member.hash);
                (member.host.region != *own_region, order, &member.host)
            })
            .collect();
        found.sort_unstable_by_key(|(is_far, order, host)| (*is_far, *order, host.peers));
        let relay = |host: &Host| RelayHost { address: host.peers, region: host.region.clone() };
        found.into_iter().take(RELAYS_PER_REQUEST_MAX).map(|(.., host)| relay(host)).collect()
    }

    /// A server of each service that this host does not reach, by which to find out whether the paths
    /// are back. `draw` spreads the checks over the servers.
    pub fn path_checks(&self, draw: u64) -> Vec<ServerIndex> {
        let check = |service: &str| {
            let servers = self.servers.of_service(service);
            let servers = servers.filter(|(_, entry)| !entry.is_leaving());
            servers.min_by_key(|(_, entry)| hash::combine(draw, entry.hash)).map(|(index, _)| index)
        };
        self.servers.cut_services().filter_map(check).collect()
    }

    /// Records that a server accepted a connection, so that the paths to its service are not cut.
    pub fn record_path_back(&mut self, now: Time, index: ServerIndex) {
        let service = self.servers.get(index).map(|entry| entry.server.service.clone());
        if let Some(service) = service {
            self.servers.record_path_back(now, &service);
        }
    }
}
