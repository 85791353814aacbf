//! Groups of witnesses.
//!
//! A region's row names one group of witnesses for about [`GROUP_HOSTS`] hosts.
//! The lease of a host is promised by a majority of its own group, so the load of
//! a witness stays bounded however many hosts the region has. A takeover fences a
//! majority of every group.
//!
//! The first group with a live witness is the *steward group*: its witnesses
//! receive the state of all hosts of the region, and its first live witness is
//! the steward.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{HostRef, Name};

/// Most witnesses in a group.
pub const GROUP_WITNESSES_MAX: usize = 5;
/// Hosts per group when groups are planned.
pub const GROUP_HOSTS: usize = 16;
/// Most hosts that one group may serve. With more hosts than that per group, the
/// groups are planned again.
pub const GROUP_HOSTS_MAX: usize = 29;
/// Fewest hosts per group; with fewer, the number of groups is planned again. A
/// single group always stays.
const GROUP_HOSTS_MIN: usize = 8;

/// Live host that may own backend servers or be a witness.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Host and incarnation.
    pub host: HostRef,
    /// Failure domain of the host.
    pub domain: Name,
    /// Whether it may own backend servers; a host that is leaving or draining may
    /// not.
    pub may_own: bool,
}

/// Witnesses that promise the leases of one group of hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The witnesses. Their number is odd, and each is in one group only.
    pub witnesses: Vec<HostRef>,
}

/// All witness groups of a region.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Groups(Vec<Group>);

impl Group {
    /// Whether `counts` holds for a majority of the witnesses.
    pub fn has_majority(&self, counts: impl Fn(&HostRef) -> bool) -> bool {
        let count = self.witnesses.iter().filter(|w| counts(w)).count();
        count > self.witnesses.len() / 2
    }

    /// Whether any incarnation of `host` is a witness of the group.
    pub fn has_witness(&self, host: &str) -> bool {
        self.witnesses.iter().any(|w| *w.host == *host)
    }
}

impl Groups {
    /// Group that promises the lease of `host`.
    pub fn group_of(&self, host: &str) -> Option<&Group> {
        self.0.get(self.group_index_of(host)?)
    }

    /// Index of the group that promises the lease of `host`.
    pub fn group_index_of(&self, host: &str) -> Option<usize> {
        let count = self.0.len() as u64;
        (count > 0).then(|| (xxh3_64(host.as_bytes()) % count) as usize)
    }

    /// Index of the group that `host` is a witness of.
    pub fn witnessed_group_index(&self, host: &str) -> Option<usize> {
        self.0.iter().position(|group| group.has_witness(host))
    }

    /// First group with a live witness.
    pub fn steward_group(&self, is_live: impl Fn(&Name) -> bool) -> Option<&Group> {
        self.0.iter().find(|group| group.witnesses.iter().any(|w| is_live(&w.host)))
    }

    /// Iterates over the groups.
    pub fn iter(&self) -> impl Iterator<Item = &Group> {
        self.0.iter()
    }

    /// Iterates over the witnesses of all groups.
    pub fn witnesses(&self) -> impl Iterator<Item = &HostRef> {
        self.0.iter().flat_map(|group| &group.witnesses)
    }

    /// Whether no group has a witness.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|group| group.witnesses.is_empty())
    }

    /// Whether `counts` holds for a majority of the witnesses of every group.
    pub fn each_has_majority(&self, counts: impl Fn(&HostRef) -> bool) -> bool {
        self.0.iter().all(|group| group.has_majority(&counts))
    }

    /// Plans the next groups: keeps live witnesses and fills vacancies with live
    /// hosts of the region.
    pub fn plan_next(&self, hosts: &[Candidate]) -> Groups {
        let count = self.group_count(hosts.len());
        let share = hosts.len().checked_div(count).unwrap_or(0);
        let size = odd_at_most(share.min(GROUP_WITNESSES_MAX));
        let mut planned: Vec<Group> = (0..count)
            .map(|index| self.0.get(index).cloned().unwrap_or_default())
            .map(|group| group.retain_live(hosts, size))
            .collect();
        for index in 0..count {
            while planned[index].witnesses.len() < size {
                let Some(next) = next_witness(&planned, index, hosts) else { break };
                planned[index].witnesses.push(next);
            }
        }
        Groups(planned)
    }

    /// Number of groups for this number of hosts. Keeps the present number while
    /// it fits.
    fn group_count(&self, hosts: usize) -> usize {
        let present = self.0.len();
        let fits = present > 0 && hosts <= present * GROUP_HOSTS_MAX;
        let is_large_enough = present == 1 || hosts >= present * GROUP_HOSTS_MIN;
        match (hosts, fits && is_large_enough) {
            (0, _) => 0,
            (_, true) => present,
            (..=GROUP_HOSTS_MAX, false) => 1,
            (_, false) => hosts.div_ceil(GROUP_HOSTS),
        }
    }
}

impl Group {
    fn retain_live(mut self, hosts: &[Candidate], size: usize) -> Group {
        let is_live = |w: &HostRef| hosts.iter().any(|c| c.host == *w && c.may_own);
        self.witnesses.retain(is_live);
        self.witnesses.truncate(size);
        self
    }
}

/// Next witness for a group: a host that is in no group yet. Prefers hosts that
/// may own servers, then failure domains with the fewest witnesses of the group.
fn next_witness(groups: &[Group], index: usize, hosts: &[Candidate]) -> Option<HostRef> {
    let domain = |w: &HostRef| hosts.iter().find(|c| c.host == *w).map(|c| &c.domain);
    let is_free = |c: &&Candidate| !groups.iter().any(|g| g.witnesses.contains(&c.host));
    let same_domain = |c: &Candidate| {
        let here = groups[index].witnesses.iter();
        here.filter(|w| domain(w) == Some(&c.domain)).count()
    };
    let free = hosts.iter().filter(is_free);
    free.min_by_key(|c| (!c.may_own, same_domain(c))).map(|c| c.host.clone())
}

/// Largest odd number up to `count`, or zero.
fn odd_at_most(count: usize) -> usize {
    if count.is_multiple_of(2) { count.saturating_sub(1) } else { count }
}
