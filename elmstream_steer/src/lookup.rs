//! Selects the entry hosts that are returned to callers.

use std::net::SocketAddr;

/// Minimum number of hosts in a failure domain. With fewer, the answer contains those of the whole
/// region, so that callers still have hosts to use if the domain is lost before their next lookup.
const DOMAIN_HOSTS_MIN: usize = 4;
/// Maximum number of addresses in one answer.
const ADDRESSES_MAX: usize = 64;

/// An entry host that is ready to serve callers.
#[derive(Clone, Debug)]
pub struct ReadyHost<'a> {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: &'a str,
    /// Region.
    pub region: &'a str,
}

/// Addresses of the entry hosts for callers in a failure domain, sorted.
///
/// These are the hosts of the failure domain if there are enough, else those of the region, else
/// those of the regions in `homes`, else all hosts.
pub fn entry_hosts(
    hosts: &[ReadyHost<'_>],
    domain: &str,
    region: &str,
    homes: &[String],
) -> Vec<SocketAddr> {
    let select = |includes: &dyn Fn(&ReadyHost<'_>) -> bool| -> Vec<SocketAddr> {
        let selected = hosts.iter().filter(|host| includes(host));
        selected.map(|host| host.callers).collect()
    };
    let mut found = select(&|host| host.domain == domain);
    if found.len() < DOMAIN_HOSTS_MIN {
        found = select(&|host| host.region == region);
    }
    if found.is_empty() {
        found = select(&|host| homes.iter().any(|home| home == host.region));
    }
    if found.is_empty() {
        found = select(&|_| true);
    }
    found.sort_unstable();
    found.truncate(ADDRESSES_MAX);
    found
}
