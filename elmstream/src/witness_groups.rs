//! Groups of witnesses.
//!
//! A region's row names one group of witnesses for about [`GROUP_HOSTS`] hosts.
//! A host's lease is promised by a majority of its own group, so a witness
//! answers a bounded number of hosts in a region of any size. A takeover
//! fences a majority of every group. The first group in which a host is live
//! is the *steward's group*: its witnesses are told of all hosts of the region,
//! and the first live one of them is the steward.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{HostRef, Name};

/// Witnesses in a group at most.
pub const GROUP_WITNESSES_MAX: usize = 5;
/// Hosts that one group serves when the groups are planned.
pub const GROUP_HOSTS: usize = 16;
/// Hosts of a region from which on there is more than one group, and hosts
/// that a group may come to serve before the groups are planned anew.
pub const GROUP_HOSTS_MAX: usize = 29;
/// Hosts below which a group is one too many.
const GROUP_HOSTS_MIN: usize = 8;

/// A host that may own or witness.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The host.
    pub host: HostRef,
    /// Its failure domain.
    pub domain: Name,
    /// Whether it may own; a host that leaves or drains may not.
    pub may_own: bool,
}

/// Witnesses that promise to a part of a region's hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The witnesses; an odd number, each in one group only.
    pub witnesses: Vec<HostRef>,
}

/// All groups of a region.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Groups(Vec<Group>);

impl Group {
    /// Whether a majority of the witnesses is such.
    pub fn has_majority(&self, is_such: impl Fn(&HostRef) -> bool) -> bool {
        let count = self.witnesses.iter().filter(|w| is_such(w)).count();
        count > self.witnesses.len() / 2
    }

    /// Whether a host is a witness, in whatever incarnation.
    pub fn has_witness(&self, host: &str) -> bool {
        self.witnesses.iter().any(|w| *w.host == *host)
    }
}

impl Groups {
    /// The group that serves a host.
    pub fn group_of(&self, host: &str) -> Option<&Group> {
        self.0.get(self.group_index_of(host)?)
    }

    /// The index of the group that serves a host.
    pub fn group_index_of(&self, host: &str) -> Option<usize> {
        let count = self.0.len() as u64;
        (count > 0).then(|| (xxh3_64(host.as_bytes()) % count) as usize)
    }

    /// The index of the group that a host is a witness of.
    pub fn witnessed_group_index(&self, host: &str) -> Option<usize> {
        self.0.iter().position(|group| group.has_witness(host))
    }

    /// The first group with a witness that is live.
    pub fn steward_group(&self, is_live: impl Fn(&Name) -> bool) -> Option<&Group> {
        self.0.iter().find(|group| group.witnesses.iter().any(|w| is_live(&w.host)))
    }

    /// The groups.
    pub fn iter(&self) -> impl Iterator<Item = &Group> {
        self.0.iter()
    }

    /// All witnesses.
    pub fn witnesses(&self) -> impl Iterator<Item = &HostRef> {
        self.0.iter().flat_map(|group| &group.witnesses)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|group| group.witnesses.is_empty())
    }

    /// Whether each group has a majority of such witnesses.
    pub fn each_has_majority(&self, is_such: impl Fn(&HostRef) -> bool) -> bool {
        self.0.iter().all(|group| group.has_majority(&is_such))
    }

    /// Keeps live witnesses and fills up from the live hosts of the region.
    pub fn plan_next(&self, hosts: &[Candidate]) -> Groups {
        let count = self.wanted(hosts.len());
        let share = hosts.len().checked_div(count).unwrap_or(0);
        let size = odd_at_most(share.min(GROUP_WITNESSES_MAX));
        let mut planned: Vec<Group> = (0..count)
            .map(|index| self.0.get(index).cloned().unwrap_or_default())
            .map(|group| group.keep_live(hosts, size))
            .collect();
        for index in 0..count {
            while planned[index].witnesses.len() < size {
                let Some(next) = next_witness(&planned, index, hosts) else { break };
                planned[index].witnesses.push(next);
            }
        }
        Groups(planned)
    }

    /// The number of groups for so many hosts; the present one if it will do.
    fn wanted(&self, hosts: usize) -> usize {
        let present = self.0.len();
        let fits = present > 0 && hosts <= present * GROUP_HOSTS_MAX;
        let is_full = present == 1 || hosts >= present * GROUP_HOSTS_MIN;
        match (hosts, fits && is_full) {
            (0, _) => 0,
            (_, true) => present,
            (..=GROUP_HOSTS_MAX, false) => 1,
            (_, false) => hosts.div_ceil(GROUP_HOSTS),
        }
    }
}

impl Group {
    fn keep_live(mut self, hosts: &[Candidate], size: usize) -> Group {
        let is_live = |w: &HostRef| hosts.iter().any(|c| c.host == *w && c.may_own);
        self.witnesses.retain(is_live);
        self.witnesses.truncate(size);
        self
    }
}

/// The next witness of a group: one that no group has, that stays, and whose
/// failure domain has the fewest witnesses of the group.
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

/// The largest odd number that is not above `count`.
fn odd_at_most(count: usize) -> usize {
    if count.is_multiple_of(2) { count.saturating_sub(1) } else { count }
}
