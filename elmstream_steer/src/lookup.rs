//! Which entry hosts callers are told to use.

use std::net::SocketAddr;

/// Hosts of one failure domain that are enough for its callers: with fewer, they are
/// told those of the region too, so that a lost domain leaves them somewhere to go
/// before they look up again.
const ENOUGH: usize = 4;
/// Addresses in one answer.
const MOST: usize = 64;

/// A host that serves callers.
#[derive(Clone, Debug)]
pub struct ReadyHost<'a> {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: &'a str,
    /// Region.
    pub region: &'a str,
}

/// Addresses for callers of a failure domain, near hosts only.
///
/// Hosts of the failure domain if there are enough, else of the region, else of
/// the regions in `homes`, else all.
pub fn entry_hosts(
    hosts: &[ReadyHost<'_>],
    domain: &str,
    region: &str,
    homes: &[String],
) -> Vec<SocketAddr> {
    let pick = |keep: &dyn Fn(&ReadyHost<'_>) -> bool| -> Vec<SocketAddr> {
        let kept = hosts.iter().filter(|host| keep(host));
        kept.map(|host| host.callers).collect()
    };
    let mut found = pick(&|host| host.domain == domain);
    if found.len() < ENOUGH {
        found = pick(&|host| host.region == region);
    }
    if found.is_empty() {
        found = pick(&|host| homes.iter().any(|home| home == host.region));
    }
    if found.is_empty() {
        found = pick(&|_| true);
    }
    found.sort_unstable();
    found.truncate(MOST);
    found
}
