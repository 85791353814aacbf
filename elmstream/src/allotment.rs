//! The allotment row of a region, and the plan for its next epoch.
//!
//! A row names the owner of each backend server and the part of every cap of the
//! region that goes with the server. Because a part moves together with its
//! server, the parts in use never sum to more than the whole while servers change
//! owners.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    catalog::{Backend, Catalog},
    id::{HostRef, Name, RegionId},
    token_bucket::PARTS_PER_WHOLE,
    witness_groups::{Candidate, Groups},
};

/// Moves that one epoch may make for balance alone, in any region.
pub const BALANCE_MOVES_MIN: usize = 4;
/// Backend servers of a region divided by the moves that one epoch may make for
/// balance alone, if that is more than [`BALANCE_MOVES_MIN`].
const BALANCE_MOVES_DIVISOR: usize = 16;

/// Ownership of one backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Owner at this epoch.
    pub owner: Option<HostRef>,
    /// Owner at the previous epoch.
    pub from: Option<HostRef>,
    /// Part of the region's caps at this epoch, in [`PARTS_PER_WHOLE`]ths.
    pub part: u32,
    /// Part of the region's caps at the previous epoch, in
    /// [`PARTS_PER_WHOLE`]ths.
    pub part_from: u32,
}

/// Lease renewal that was written to the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renewal {
    /// Owner whose lease was renewed.
    pub owner: HostRef,
    /// Heartbeat round in which the owner asked for the renewal.
    pub sequence: u64,
}

/// Allotment row of a region. Stored in the table as JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Name of the region.
    pub region: Name,
    /// Number of the row's version; rises with each change of owners or
    /// witnesses.
    pub epoch: u64,
    /// Whether no host acts under an earlier epoch any more.
    pub settled: bool,
    /// Whether the epoch was settled because the former owners released the moved
    /// servers, rather than because their leases expired.
    #[serde(default)]
    pub released: bool,
    /// Identifies the write, so that the writer can tell after a lost answer
    /// whether it took effect.
    pub nonce: u64,
    /// Witnesses that may promise renewals at this epoch.
    pub groups: Groups,
    /// Witnesses of the previous epoch, which have to be fenced.
    pub groups_from: Groups,
    /// Renewals through the table, used while witnesses are missing.
    #[serde(default)]
    pub renewals: Vec<Renewal>,
    /// Ownership by name of the backend server.
    pub grants: BTreeMap<Name, Grant>,
}

impl Row {
    /// Whether `host` may act on the backend server while it holds its lease.
    ///
    /// Until the epoch is settled, a host may act only on servers that it owned
    /// at the previous epoch as well.
    pub fn may_act(&self, host: &HostRef, backend: &str) -> bool {
        self.grants.get(backend).is_some_and(|grant| self.allows(host, grant))
    }

    /// Part of the caps that may be used now, in [`PARTS_PER_WHOLE`]ths. Until
    /// the epoch is settled this is the smaller of the old and the new part.
    pub fn effective_part(&self, grant: &Grant) -> u64 {
        match self.settled {
            true => u64::from(grant.part),
            false => u64::from(grant.part.min(grant.part_from)),
        }
    }

    /// Servers that `host` may act on, with their grants.
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

    /// Owners at this epoch.
    pub fn owners(&self) -> BTreeSet<HostRef> {
        self.grants.values().filter_map(|g| g.owner.clone()).collect()
    }

    /// Owners at the previous epoch, sorted and without duplicates.
    pub fn former_owners(&self) -> Vec<&HostRef> {
        let mut owners: Vec<_> = self.grants.values().filter_map(|g| g.from.as_ref()).collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Number of backend servers whose owner changes with this epoch.
    pub fn move_count(&self) -> usize {
        self.grants.values().filter(|g| g.owner != g.from).count()
    }

    fn allows(&self, host: &HostRef, grant: &Grant) -> bool {
        let owned = grant.owner.as_ref() == Some(host);
        owned && (self.settled || grant.from.as_ref() == Some(host))
    }
}

/// Plans the row of the next epoch, or returns `None` if the present row needs no
/// change.
///
/// `hosts` are the live hosts of the region, sorted by name.
pub fn plan_next_row(
    catalog: &Catalog,
    region: RegionId,
    row: &Row,
    hosts: &[Candidate],
) -> Option<Row> {
    let mut planner = Planner::new(catalog, region, hosts);
    let grants = planner.plan_grants(row);
    let groups = row.groups.plan_next(hosts);
    let unchanged = groups == row.groups
        && grants.len() == row.grants.len()
        && grants.iter().all(|(name, grant)| keeps_owner_and_part(row.grants.get(name), grant));
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

/// Whether a planned grant changes neither owner nor part.
fn keeps_owner_and_part(old: Option<&Grant>, new: &Grant) -> bool {
    old.is_some_and(|old| old.owner == new.owner && old.part == new.part)
}

/// Weight of a host for a key in rendezvous hashing.
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
    /// Slots assigned to each host so far.
    slots: HashMap<&'a HostRef, u32>,
    balance_moves: usize,
}

impl<'a> Planner<'a> {
    fn new(catalog: &'a Catalog, region: RegionId, hosts: &'a [Candidate]) -> Planner<'a> {
        Planner { catalog, region, hosts, slots: HashMap::new(), balance_moves: 0 }
    }

    /// Plans the grants of all backend servers of the region.
    fn plan_grants(&mut self, row: &Row) -> BTreeMap<Name, Grant> {
        let catalog = self.catalog;
        let backends: Vec<_> = catalog.backends_in(self.region).map(|(_, b)| b).collect();
        let mut owners: Vec<Option<HostRef>> =
            backends.iter().map(|b| self.keep_owner(row, b)).collect();
        for (backend, owner) in backends.iter().zip(&mut owners) {
            if owner.is_none() {
                *owner = self.choose_owner(backend);
            }
        }
        self.balance(&backends, &mut owners);
        let parts = self.cap_parts(&backends);
        let entries = backends.iter().zip(owners).map(|(backend, owner)| {
            let old = row.grants.get(&backend.name).cloned().unwrap_or_default();
            let part = parts[&backend.name];
            let grant = Grant { owner, from: old.owner, part, part_from: old.part };
            (backend.name.clone(), grant)
        });
        let mut grants: BTreeMap<Name, Grant> = entries.collect();
        self.release_removed_servers(row, &mut grants);
        grants
    }

    /// Keeps a server that was removed from the configuration for one more epoch
    /// without an owner, so that its former owner must release it before the
    /// epoch is settled.
    fn release_removed_servers(&self, row: &Row, grants: &mut BTreeMap<Name, Grant>) {
        for (name, old) in &row.grants {
            if old.owner.is_none() || grants.contains_key(name) {
                continue;
            }
            let from = old.owner.clone();
            let grant = Grant { owner: None, from, part: 0, part_from: old.part };
            grants.insert(name.clone(), grant);
        }
    }

    /// Keeps the present owner if it is still eligible.
    fn keep_owner(&mut self, row: &Row, backend: &Backend) -> Option<HostRef> {
        let owner = row.grants.get(&backend.name)?.owner.as_ref()?;
        let index = self.eligible(backend).into_iter().find(|&i| self.hosts[i].host == *owner)?;
        self.add_slots(index, backend.slots);
        Some(owner.clone())
    }

    /// Chooses the eligible host with the fewest slots; rendezvous hashing breaks
    /// ties.
    fn choose_owner(&mut self, backend: &Backend) -> Option<HostRef> {
        let rank = |&i: &usize| {
            let host = &self.hosts[i].host;
            (self.planned_slots(i), u64::MAX - rendezvous_weight(&host.host, &backend.name))
        };
        let index = self.eligible(backend).into_iter().min_by_key(rank)?;
        self.add_slots(index, backend.slots);
        Some(self.hosts[index].host.clone())
    }

    /// Moves a limited number of backend servers from the hosts with most slots
    /// to those with the fewest.
    fn balance(&mut self, backends: &[&Backend], owners: &mut [Option<HostRef>]) {
        for (backend, owner) in backends.iter().zip(owners.iter_mut()) {
            if self.balance_moves >= BALANCE_MOVES_MIN.max(backends.len() / BALANCE_MOVES_DIVISOR) {
                return;
            }
            let Some(present) = owner.as_ref().and_then(|o| self.index_of(o)) else {
                continue;
            };
            let lightest =
                self.eligible(backend).into_iter().min_by_key(|&i| self.planned_slots(i));
            let Some(target) = lightest else { continue };
            if self.planned_slots(target) + 2 * backend.slots > self.planned_slots(present) {
                continue;
            }
            *self.slots.entry(&self.hosts[present].host).or_default() -= backend.slots;
            self.add_slots(target, backend.slots);
            *owner = Some(self.hosts[target].host.clone());
            self.balance_moves += 1;
        }
    }

    /// Indexes of the hosts that may own the backend server: those of its failure
    /// domain, or of the whole region if the domain has none.
    fn eligible(&self, backend: &Backend) -> Vec<usize> {
        let domain = &self.catalog.domains[backend.domain.index()].name;
        let able = |i: &usize| self.hosts[*i].may_own;
        let near: Vec<usize> = (0..self.hosts.len())
            .filter(able)
            .filter(|&i| self.hosts[i].domain == *domain)
            .collect();
        if near.is_empty() { (0..self.hosts.len()).filter(able).collect() } else { near }
    }

    /// Part of the caps for each backend server: its share of the slots of its
    /// service.
    fn cap_parts(&self, backends: &[&Backend]) -> HashMap<Name, u32> {
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

    fn planned_slots(&self, index: usize) -> u32 {
        self.slots.get(&self.hosts[index].host).copied().unwrap_or(0)
    }

    fn add_slots(&mut self, index: usize, slots: u32) {
        *self.slots.entry(&self.hosts[index].host).or_default() += slots;
    }
}
