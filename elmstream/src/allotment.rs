//! The allotment row of a region, and the plan for its next epoch.
//!
//! A row says who owns each backend server, and with it which part of every
//! cap of the region its owner holds. As a part goes with its backend server,
//! parts never sum above the whole while servers move.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    catalog::{Backend, Catalog},
    id::{HostRef, Name, RegionId},
    token_bucket::PARTS_PER_WHOLE,
    witness_groups::{Candidate, Groups},
};

/// Moves per epoch that only serve balance, at least.
pub const BALANCE_MOVES_MIN: usize = 4;
/// Share of the backend servers that may move for balance, as a divisor.
const BALANCE_DIVISOR: usize = 16;

/// Who owns a backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The owner at this epoch.
    pub owner: Option<HostRef>,
    /// The owner at the epoch before.
    pub from: Option<HostRef>,
    /// Part of the region's caps, in [`WHOLE`]ths.
    pub part: u32,
    /// The part at the epoch before.
    pub part_from: u32,
}

/// A lease renewal that the table took.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renewal {
    /// The owner.
    pub owner: HostRef,
    /// The round of heartbeats in which it asked.
    pub sequence: u64,
}

/// The allotment row of a region.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The region.
    pub region: Name,
    /// Counts the changes of owners and witnesses.
    pub epoch: u64,
    /// Whether nobody acts by an older epoch any more.
    pub settled: bool,
    /// Whether it was settled because the former owners released what moved,
    /// rather than by waiting until their leases were over.
    #[serde(default)]
    pub released: bool,
    /// Names the write, so that a lost answer can be resolved.
    pub nonce: u64,
    /// Who may promise renewals at this epoch.
    pub groups: Groups,
    /// The witnesses of the epoch before, to be fenced.
    pub groups_from: Groups,
    /// Renewals through the table, while witnesses are missing.
    #[serde(default)]
    pub renewals: Vec<Renewal>,
    /// Grants by backend server.
    pub grants: BTreeMap<Name, Grant>,
}

impl Row {
    /// Whether `host` may act on the backend server under its lease.
    ///
    /// Before the epoch is settled only what a host had already may be used.
    pub fn may_act(&self, host: &HostRef, backend: &str) -> bool {
        self.grants.get(backend).is_some_and(|grant| self.allows(host, grant))
    }

    /// The part of the caps that the grant carries now.
    pub fn effective_part(&self, grant: &Grant) -> u64 {
        match self.settled {
            true => u64::from(grant.part),
            false => u64::from(grant.part.min(grant.part_from)),
        }
    }

    /// Grants that `host` may act on.
    pub fn owned_by<'a>(
        &'a self,
        host: &'a HostRef,
    ) -> impl Iterator<Item = (&'a Name, &'a Grant)> {
        self.grants.iter().filter(|(_, grant)| self.allows(host, grant))
    }

    /// Whether this row replaces `other`.
    pub fn is_newer_than(&self, other: &Row) -> bool {
        (self.epoch, self.settled) > (other.epoch, other.settled)
    }

    /// The owners.
    pub fn owners(&self) -> BTreeSet<HostRef> {
        self.grants.values().filter_map(|g| g.owner.clone()).collect()
    }

    /// Owners at the epoch before, each once.
    pub fn former_owners(&self) -> Vec<&HostRef> {
        let mut owners: Vec<_> = self.grants.values().filter_map(|g| g.from.as_ref()).collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Backend servers whose owner changes with this epoch.
    pub fn move_count(&self) -> usize {
        self.grants.values().filter(|g| g.owner != g.from).count()
    }

    fn allows(&self, host: &HostRef, grant: &Grant) -> bool {
        let owned = grant.owner.as_ref() == Some(host);
        owned && (self.settled || grant.from.as_ref() == Some(host))
    }
}

/// Works out the next row, or `None` if the present one will do.
///
/// `hosts` are the live hosts of the region, in the order of their names.
pub fn plan_next_row(
    catalog: &Catalog,
    region: RegionId,
    row: &Row,
    hosts: &[Candidate],
) -> Option<Row> {
    let mut planner = Planner::new(catalog, region, hosts);
    let grants = planner.grants(row);
    let groups = row.groups.plan_next(hosts);
    let unchanged = groups == row.groups
        && grants.len() == row.grants.len()
        && grants.iter().all(|(name, grant)| is_same(row.grants.get(name), grant));
    if unchanged {
        return None;
    }
    Some(Row {
        region: row.region.clone(),
        epoch: row.epoch + 1,
        settled: false,
        released: false,
        nonce: 0,
        groups,
        groups_from: row.groups.clone(),
        renewals: Vec::new(),
        grants,
    })
}

/// Whether a planned grant leaves owner and part as they are.
fn is_same(old: Option<&Grant>, new: &Grant) -> bool {
    old.is_some_and(|old| old.owner == new.owner && old.part == new.part)
}

/// Weight of a host for a key, for rendezvous hashing.
pub fn rendezvous_weight(host: &str, key: &str) -> u64 {
    let mut bytes = Vec::with_capacity(host.len() + key.len() + 1);
    bytes.extend_from_slice(host.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    xxh3_64(&bytes)
}

/// State of one planning run.
struct Planner<'a> {
    catalog: &'a Catalog,
    region: RegionId,
    hosts: &'a [Candidate],
    /// Slots given to each host so far.
    slots: HashMap<&'a HostRef, u32>,
    balance_moves: usize,
}

impl<'a> Planner<'a> {
    fn new(catalog: &'a Catalog, region: RegionId, hosts: &'a [Candidate]) -> Planner<'a> {
        Planner { catalog, region, hosts, slots: HashMap::new(), balance_moves: 0 }
    }

    /// Grants for each backend server of the region.
    fn grants(&mut self, row: &Row) -> BTreeMap<Name, Grant> {
        let catalog = self.catalog;
        let backends: Vec<_> = catalog.backends_in(self.region).map(|(_, b)| b).collect();
        let mut owners: Vec<Option<HostRef>> = backends.iter().map(|b| self.keep(row, b)).collect();
        for (backend, owner) in backends.iter().zip(&mut owners) {
            if owner.is_none() {
                *owner = self.place(backend);
            }
        }
        self.balance(&backends, &mut owners);
        let parts = self.parts(&backends);
        let entries = backends.iter().zip(owners).map(|(backend, owner)| {
            let old = row.grants.get(&backend.name).cloned().unwrap_or_default();
            let part = parts[&backend.name];
            let grant = Grant { owner, from: old.owner, part, part_from: old.part };
            (backend.name.clone(), grant)
        });
        let mut grants: BTreeMap<Name, Grant> = entries.collect();
        self.release_removed(row, &mut grants);
        grants
    }

    /// Keeps a server that is no longer configured for one epoch without an
    /// owner, so that its former owner counts among those who must release.
    fn release_removed(&self, row: &Row, grants: &mut BTreeMap<Name, Grant>) {
        for (name, old) in &row.grants {
            if old.owner.is_none() || grants.contains_key(name) {
                continue;
            }
            let from = old.owner.clone();
            let grant = Grant { owner: None, from, part: 0, part_from: old.part };
            grants.insert(name.clone(), grant);
        }
    }

    /// The present owner, if it is still a good one.
    fn keep(&mut self, row: &Row, backend: &Backend) -> Option<HostRef> {
        let owner = row.grants.get(&backend.name)?.owner.as_ref()?;
        let index = self.eligible(backend).into_iter().find(|&i| self.hosts[i].host == *owner)?;
        self.add(index, backend.slots);
        Some(owner.clone())
    }

    /// The eligible host with the fewest slots, ties by rendezvous hashing.
    fn place(&mut self, backend: &Backend) -> Option<HostRef> {
        let rank = |&i: &usize| {
            let host = &self.hosts[i].host;
            (self.load(i), u64::MAX - rendezvous_weight(&host.host, &backend.name))
        };
        let index = self.eligible(backend).into_iter().min_by_key(rank)?;
        self.add(index, backend.slots);
        Some(self.hosts[index].host.clone())
    }

    /// Moves a few backend servers from the fullest hosts to the emptiest.
    fn balance(&mut self, backends: &[&Backend], owners: &mut [Option<HostRef>]) {
        for (backend, owner) in backends.iter().zip(owners.iter_mut()) {
            if self.balance_moves >= BALANCE_MOVES_MIN.max(backends.len() / BALANCE_DIVISOR) {
                return;
            }
            let Some(present) = owner.as_ref().and_then(|o| self.index_of(o)) else {
                continue;
            };
            let lightest = self.eligible(backend).into_iter().min_by_key(|&i| self.load(i));
            let Some(target) = lightest else { continue };
            if self.load(target) + 2 * backend.slots > self.load(present) {
                continue;
            }
            *self.slots.entry(&self.hosts[present].host).or_default() -= backend.slots;
            self.add(target, backend.slots);
            *owner = Some(self.hosts[target].host.clone());
            self.balance_moves += 1;
        }
    }

    /// Hosts that may own the backend server: those of its failure domain, or
    /// of the region if the domain has none left.
    fn eligible(&self, backend: &Backend) -> Vec<usize> {
        let domain = &self.catalog.domains[backend.domain.index()].name;
        let able = |i: &usize| self.hosts[*i].may_own;
        let near: Vec<usize> = (0..self.hosts.len())
            .filter(able)
            .filter(|&i| self.hosts[i].domain == *domain)
            .collect();
        if near.is_empty() { (0..self.hosts.len()).filter(able).collect() } else { near }
    }

    /// Parts of the caps: each backend server's share of its service's slots.
    fn parts(&self, backends: &[&Backend]) -> HashMap<Name, u32> {
        let mut totals: HashMap<_, u64> = HashMap::new();
        for backend in backends {
            *totals.entry(backend.service).or_default() += u64::from(backend.slots);
        }
        let part = |b: &&Backend| {
            let total = totals[&b.service].max(1);
            (b.name.clone(), (PARTS_PER_WHOLE * u64::from(b.slots) / total) as u32)
        };
        backends.iter().map(part).collect()
    }

    fn index_of(&self, host: &HostRef) -> Option<usize> {
        self.hosts.iter().position(|c| c.host == *host)
    }

    fn load(&self, index: usize) -> u32 {
        self.slots.get(&self.hosts[index].host).copied().unwrap_or(0)
    }

    fn add(&mut self, index: usize, slots: u32) {
        *self.slots.entry(&self.hosts[index].host).or_default() += slots;
    }
}
