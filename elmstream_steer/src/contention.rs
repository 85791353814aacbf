//! Decides whose requests are refused when a service is short of slots.
//!
//! A service is short of slots while its requests in flight exceed a set fraction of its slots. The
//! part of its requests that is refused then grows with the load, up to what keeps the load below
//! all slots. Workspaces above the max-min level (Bertsekas and Gallager, Data Networks, 1992) are cut down to
//! it first, each in proportion to its excess. While urgency can take the rest, the level does not
//! fall below the even share of the workspaces. Shares are equal, or in proportion to the
//! workspaces' limits `rate_per_s` if all of them have one. Requests without a workspace have no
//! level.
//!
//! Of what remains, the least urgent priority that is present is refused first, down to a floor,
//! then the next one; the most urgent one is never refused by this rule. Of one priority, first
//! attempts are refused before the requests of returning callers.
//!
//! Each host counts the priorities by itself: callers pick hosts by chance, so what a host receives
//! is a fair sample. A host that gets few requests sees only some of the workspaces, and then refuses
//! less than is needed.

use std::{cell::Cell, collections::HashMap};

use elmstream::time::{MILLI, Time};

use rustc_hash::FxHashMap;

use crate::{
    hash, pick::PickRequest, policies::ContentionPolicy, quota::Quotas, workspaces::WorkspaceTable,
};

/// Time in which the counts of requests decay to 1/e, in microseconds.
const COUNT_DECAY_US: f64 = 5e6;
/// Time over which the load is averaged, in microseconds. What hosts know of each other's requests
/// is a heartbeat old; by the load of the moment all of them would admit and refuse in turns.
const LOAD_DECAY_US: f64 = 500.0 * MILLI as f64;
/// Decayed count of requests below which a class is not present at a service.
const PRESENT_COUNT_MIN: f64 = 0.05;
/// Number of requests that are assumed to have been sent before the first one. More would hide from
/// a host with few requests how many of them are refused.
const PRIOR_SENT: f64 = 0.25;
/// Factor on the longest accepted wait for each more urgent priority that is present.
const WAIT_FACTOR: f64 = 0.5;
/// Time for which a computed level is used, in microseconds.
const LEVEL_REUSE_TIME: u64 = 100 * MILLI;
/// Bounds of the retry time, in milliseconds.
const RETRY_MIN_MS: f64 = 250.0;
const RETRY_MAX_MS: f64 = 800.0;
/// Part by which the retry time grows for each more urgent priority that is present.
const RETRY_STEP: f64 = 0.5;
/// Largest fraction of the remaining time that a retry time above the minimum may take.
const RETRY_REMAINING_FRACTION: f64 = 1.0 / 3.0;

/// Requests that are refused alike. A greater class is less urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Class {
    priority: u32,
    first_attempt: bool,
}

/// Recent requests of one service at this host.
#[derive(Clone, Debug, Default)]
struct Mix {
    /// Decayed counts by class, the most urgent first.
    counts: Vec<(Class, f64)>,
    /// Decayed count of the requests that were sent to a server.
    sent: f64,
    at: Time,
    /// Requests in flight for each slot, averaged.
    load: f64,
    /// Decayed counts of the requests by workspace.
    workspaces: FxHashMap<u64, f64>,
    level: Option<Level>,
    /// Part of the service's requests that is above the level, 0 to 1.
    fair_part: f64,
    level_at: Time,
}

/// Demand of one workspace at a service.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Requests a second from all hosts.
    pub rate: f64,
    /// Weight of its share.
    pub weight: f64,
}

/// Max-min level of the workspaces at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Requests a second above which a workspace of weight 1 is above its share.
    pub per_weight: f64,
    /// Requests a second of all workspaces above their shares.
    pub excess: f64,
}

impl Level {
    /// The level above which workspaces ask for `excess` requests a second in all; `None` if
    /// nothing is above a level, or nothing needs to be.
    pub fn for_excess(demands: &[Demand], excess: f64) -> Option<Level> {
        if excess <= 0.0 || demands.is_empty() {
            return None;
        }
        let mut sorted = demands.to_vec();
        sorted.sort_by(|a, b| (b.rate / b.weight).total_cmp(&(a.rate / a.weight)));
        let (mut rate, mut weight) = (0.0, 0.0);
        let mut per_weight = 0.0;
        for (position, demand) in sorted.iter().enumerate() {
            (rate, weight) = (rate + demand.rate, weight + demand.weight);
            per_weight = ((rate - excess) / weight).max(0.0);
            if sorted.get(position + 1).is_none_or(|next| next.rate / next.weight <= per_weight) {
                break;
            }
        }
        Some(Level { per_weight, excess: excess.min(rate) })
    }

    /// Fraction of a workspace's requests that is above its share, 0 to 1.
    pub fn excess_fraction(&self, demand: Demand) -> f64 {
        (1.0 - self.per_weight * demand.weight / demand.rate.max(f64::MIN_POSITIVE)).max(0.0)
    }
}

/// Requests a second that are to be refused because of shares. `needed` is what must be refused
/// in all, and `by_urgency` the most of it that urgency can take.
pub fn excess_to_refuse(demands: &[Demand], needed: f64, by_urgency: f64) -> f64 {
    let (rate, weight) = demands
        .iter()
        .fold((0.0, 0.0), |(rate, weight), one| (rate + one.rate, weight + one.weight));
    let even = rate / weight;
    let above_even = demands.iter().map(|one| (one.rate - even * one.weight).max(0.0)).sum::<f64>();
    needed.min(above_even).max(needed - by_urgency).min(rate)
}

/// What the fleet knows of workspaces' requests.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceRates<'a> {
    /// Fleet-wide rates, as the tallies reply them.
    pub quotas: &'a Quotas,
    /// The workspaces in force.
    pub workspaces: &'a WorkspaceTable,
    /// Number of live hosts, including this one.
    pub live_hosts: usize,
}

impl Mix {
    /// Counts a request, and returns how much weight a load of now has in the average.
    fn count(&mut self, now: Time, class: Class) -> f64 {
        let passed = now.since(self.at) as f64;
        let kept = (-passed / COUNT_DECAY_US).exp();
        self.at = now;
        self.sent *= kept;
        self.workspaces.retain(|_, count| {
            *count *= kept;
            *count >= PRESENT_COUNT_MIN
        });
        self.counts.retain_mut(|(_, count)| {
            *count *= kept;
            *count >= PRESENT_COUNT_MIN
        });
        match self.counts.binary_search_by_key(&class, |(class, _)| *class) {
            Ok(position) => self.counts[position].1 += 1.0,
            Err(position) => self.counts.insert(position, (class, 1.0)),
        }
        1.0 - (-passed / LOAD_DECAY_US).exp()
    }

    /// Part of the requests that are of workspaces, 0 to 1.
    fn named_part(&self) -> f64 {
        let total: f64 = self.counts.iter().map(|(_, count)| count).sum();
        (self.workspaces.values().sum::<f64>() / total.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// The largest part of the requests that is refused by urgency, 0 to 1.
    fn refusable_part(&self, floor_share: f64) -> f64 {
        let total: f64 = self.counts.iter().map(|(_, count)| count).sum();
        let most_urgent = self.counts.first().map(|(class, _)| class.priority);
        let by_priority =
            self.counts.chunk_by(|(one, _), (other, _)| one.priority == other.priority);
        let less_urgent = by_priority.filter(|all| Some(all[0].0.priority) != most_urgent);
        let refusable = less_urgent.map(|all| {
            all.iter().map(|(_, count)| count).sum::<f64>() * (1.0 - floor_of(all, floor_share))
        });
        refusable.sum::<f64>() / total.max(f64::MIN_POSITIVE)
    }

    /// How urgent a class is among those that are present.
    fn urgency(&self, class: Class, floor_share: f64) -> Urgency {
        let total: f64 = self.counts.iter().map(|(_, count)| count).sum();
        let mut urgency = Urgency {
            refused_before: 0.0,
            sent_part: (self.sent + PRIOR_SENT) / (total - 1.0 + PRIOR_SENT),
            share: 0.0,
            floor: 0.0,
            more_urgent: 0,
        };
        for priority in self.counts.chunk_by(|(one, _), (other, _)| one.priority == other.priority)
        {
            let floor = floor_of(priority, floor_share);
            for (other, count) in priority {
                if *other > class {
                    urgency.refused_before += count / total * (1.0 - floor);
                } else if *other == class {
                    (urgency.share, urgency.floor) = (count / total, floor);
                }
            }
            let is_more_urgent = priority.iter().all(|(other, _)| other.priority < class.priority);
            urgency.more_urgent += u32::from(is_more_urgent);
        }
        urgency
    }
}

/// Fraction of the attempts of one priority that is served however short the slots are. As callers
/// come back, it is a fraction of the first attempts.
fn floor_of(counts: &[(Class, f64)], floor_share: f64) -> f64 {
    let all: f64 = counts.iter().map(|(_, count)| count).sum();
    let first = counts.iter().filter(|(class, _)| class.first_attempt);
    let first: f64 = first.map(|(_, count)| count).sum();
    if first > 0.0 { floor_share * first / all } else { floor_share }
}

/// Urgency of a class of requests at a service.
#[derive(Clone, Copy, Debug)]
struct Urgency {
    /// Part of the service's requests that is refused before any of this class, 0 to 1.
    refused_before: f64,
    /// Part of the service's recent requests that was sent to a server, 0 to 1.
    sent_part: f64,
    /// Part of the service's requests that is of this class, 0 to 1.
    share: f64,
    /// Fraction of this class that is never refused by the rule, 0 to 1.
    floor: f64,
    /// Number of more urgent priorities that are present.
    more_urgent: u32,
}

/// How a request stands among the others of its service.
#[derive(Clone, Debug)]
pub struct Standing {
    policy: ContentionPolicy,
    urgency: Urgency,
    /// Random draw of the request, from 0 up to 1.
    draw: f64,
    /// Part of the service's requests that is above workspaces' shares, 0 to 1.
    fair_part: f64,
    /// Fraction of this workspace's requests that is above its share, and the share in requests a
    /// second.
    above_share: Option<(f64, f64)>,
    /// Average load of the service, as [`Standing::set_load`] describes.
    load: Cell<f64>,
    /// Weight of the present load in it, 0 to 1.
    load_weight: f64,
    remaining_ms: u64,
}

impl Standing {
    /// Takes the service's present load into account: the number of requests in flight for each
    /// slot that the request may use. Above 1, requests wait.
    pub fn set_load(&self, load: f64) {
        self.load.set(self.load.get() + (load - self.load.get()) * self.load_weight);
    }

    /// Whether the request is refused because its workspace is above its share, or because others
    /// are more urgent.
    pub fn is_refused(&self) -> bool {
        self.draw < self.excess_fraction() || self.urgency_draw() < self.refused_fraction()
    }

    /// The workspace's share in requests a second, if it is above it.
    pub fn level(&self) -> Option<f64> {
        self.above_share.map(|(_, share)| share)
    }

    /// Fraction of the workspace's requests that is refused because of its share.
    fn excess_fraction(&self) -> f64 {
        let Some((excess, _)) = self.above_share else { return 0.0 };
        excess * (self.refused_part() / self.fair_part.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// The draw of a request that is within its workspace's share, from 0 up to 1.
    fn urgency_draw(&self) -> f64 {
        let excess = self.excess_fraction();
        (self.draw - excess) / (1.0 - excess).max(f64::MIN_POSITIVE)
    }

    /// Factor on the longest wait that the request accepts.
    pub fn wait_factor(&self) -> f64 {
        if self.above_share.is_none() && self.draw >= 1.0 - self.urgency.floor {
            return 1.0;
        }
        let onset = shortage_onset(self.load.get(), self.policy.short_load);
        let steps = self.urgency.more_urgent + u32::from(self.above_share.is_some());
        WAIT_FACTOR.powf(f64::from(steps) * onset)
    }

    /// Time after which a refused caller should retry, in milliseconds: when the excess is expected
    /// to be served. `mean_ms` is the mean answer time.
    pub fn retry_ms(&self, mean_ms: f64) -> u64 {
        let excess_ms = (self.load.get() - self.policy.short_load).max(0.0) * mean_ms;
        let step = 1.0 + RETRY_STEP * f64::from(self.urgency.more_urgent) + self.excess_fraction();
        let retry = ((RETRY_MIN_MS + excess_ms) * step).clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        let remaining = self.remaining_ms as f64 * RETRY_REMAINING_FRACTION;
        retry.min(remaining.max(RETRY_MIN_MS)) as u64
    }

    /// Fraction of the request's class that is refused.
    fn refused_fraction(&self) -> f64 {
        let Urgency { refused_before, share, floor, more_urgent, .. } = self.urgency;
        if more_urgent == 0 || share <= 0.0 {
            return 0.0;
        }
        let by_urgency = (self.refused_part() - self.fair_part).max(0.0);
        let remaining = by_urgency / (1.0 - self.fair_part).max(f64::MIN_POSITIVE) - refused_before;
        (remaining / share).clamp(0.0, 1.0 - floor)
    }

    fn refused_part(&self) -> f64 {
        refused_part(self.load.get(), self.policy.short_load, self.urgency.sent_part)
    }
}

/// Part of a service's requests that must be refused, 0 to 1.
///
/// The part that was sent recently led to the load of now; scaled, it leads to a load halfway
/// between `short_load` and all slots, whatever callers ask for.
pub fn refused_part(load: f64, short_load: f64, sent_part: f64) -> f64 {
    let excess = 1.0 - sent_part * target_load(short_load) / load.max(f64::MIN_POSITIVE);
    (shortage_onset(load, short_load) * excess).max(0.0)
}

/// How far the rule has set in at a load: from 0 up to `short_load` to 1 at the target.
fn shortage_onset(load: f64, short_load: f64) -> f64 {
    let span = target_load(short_load) - short_load;
    ((load - short_load) / span.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}

fn target_load(short_load: f64) -> f64 {
    short_load + (1.0 - short_load).max(0.0) / 2.0
}

/// What a host knows of the requests that compete for slots.
#[derive(Clone, Debug)]
pub struct Contention {
    /// Differs between starts of hosts.
    seed: u64,
    /// Number of draws so far; varies the next one.
    draw_count: u64,
    /// Recent requests by service.
    mixes: HashMap<String, Mix>,
}

impl Contention {
    /// State of a host that has just started; `seed` differs between starts.
    pub fn new(seed: u64) -> Contention {
        Contention { seed, draw_count: 0, mixes: HashMap::new() }
    }

    /// Counts a request and returns how it stands among the others; `None` if the rule does not
    /// apply to it, as it is switched off or the request was sent before.
    pub fn count(
        &mut self,
        now: Time,
        policy: ContentionPolicy,
        request: &PickRequest<'_>,
        rates: &WorkspaceRates<'_>,
    ) -> Option<Standing> {
        if !policy.enabled || !request.tried.is_empty() {
            return None;
        }
        if !self.mixes.contains_key(request.service) {
            self.mixes.insert(request.service.to_owned(), Mix::default());
        }
        let mix = self.mixes.get_mut(request.service)?;
        let class = Class { priority: request.priority, first_attempt: !request.returning };
        let load_weight = mix.count(now, class);
        if let Some(workspace) = request.workspace {
            *mix.workspaces.entry(workspace).or_default() += 1.0;
        }
        let urgency = mix.urgency(class, policy.floor_share);
        if now.since(mix.level_at) >= LEVEL_REUSE_TIME {
            self.update_level(now, policy, request.service, rates);
        }
        let mix = self.mixes.get(request.service)?;
        let fair_part = mix.fair_part;
        let above_share = mix.level.zip(request.workspace).and_then(|(level, workspace)| {
            let demand = self.demand(now, mix, workspace, rates, 1.0);
            let excess = level.excess_fraction(demand);
            (excess > 0.0).then_some((excess, level.per_weight * demand.weight))
        });
        self.draw_count += 1;
        let draw = hash::unit_interval(hash::combine(
            request.key,
            self.seed ^ hash::of(self.draw_count.to_le_bytes()),
        ));
        Some(Standing {
            policy,
            urgency,
            draw,
            fair_part,
            above_share,
            load: Cell::new(mix.load),
            load_weight,
            remaining_ms: request.remaining_ms,
        })
    }

    /// Level of each service; `None` if no workspace is above its share.
    pub fn levels(&self) -> impl Iterator<Item = (&str, Option<f64>)> {
        self.mixes
            .iter()
            .map(|(service, mix)| (service.as_str(), mix.level.map(|level| level.per_weight)))
    }

    fn update_level(
        &mut self,
        now: Time,
        policy: ContentionPolicy,
        service: &str,
        rates: &WorkspaceRates<'_>,
    ) {
        let Some(mix) = self.mixes.get(service) else { return };
        let least = Class { priority: 0, first_attempt: false };
        let sent_part = mix.urgency(least, policy.floor_share).sent_part;
        let refused = refused_part(mix.load, policy.short_load, sent_part);
        let level = (refused > 0.0).then(|| {
            let ids = mix.workspaces.keys();
            let demands: Vec<Demand> =
                ids.map(|id| self.demand(now, mix, *id, rates, 0.0)).collect();
            let named: f64 = demands.iter().map(|demand| demand.rate).sum();
            let total = named / mix.named_part().max(f64::MIN_POSITIVE);
            let by_urgency = mix.refusable_part(policy.floor_share) * total;
            let excess = excess_to_refuse(&demands, refused * total, by_urgency);
            let level = Level::for_excess(&demands, excess)?;
            Some((level, (level.excess / total).min(1.0)))
        });
        let level = level.flatten();
        if let Some(mix) = self.mixes.get_mut(service) {
            mix.level = level.map(|(level, _)| level);
            mix.fair_part = level.map_or(0.0, |(_, part)| part);
            mix.level_at = now;
        }
    }

    /// A workspace's demand at a service. Its fleet-wide rate is divided over services as its
    /// requests at this host are. Without a fresh rate, all hosts are taken to get what this one
    /// does, apart from `excluded` requests: the one that is decided on says nothing of the rate.
    fn demand(
        &self,
        now: Time,
        mix: &Mix,
        id: u64,
        rates: &WorkspaceRates<'_>,
        excluded: f64,
    ) -> Demand {
        let here = mix.workspaces.get(&id).copied().unwrap_or_default();
        let everywhere: f64 = self.mixes.values().filter_map(|mix| mix.workspaces.get(&id)).sum();
        let rate = rates.quotas.fleet_rate(now, id).map_or_else(
            || (here - excluded).max(0.0) * 1e6 / COUNT_DECAY_US * rates.live_hosts as f64,
            |rate| rate * here / everywhere.max(f64::MIN_POSITIVE),
        );
        let all_limited = rates.workspaces.all().all(|entry| entry.workspace.rate_per_s > 0.0);
        let limit = rates.workspaces.get(id).map(|entry| entry.workspace.rate_per_s);
        Demand { rate, weight: limit.filter(|_| all_limited).unwrap_or(1.0) }
    }

    /// Records whether a counted request of a service was sent to a server.
    pub fn record(&mut self, service: &str, standing: &Standing, sent: bool) {
        if let Some(mix) = self.mixes.get_mut(service) {
            mix.load = standing.load.get();
            mix.sent += f64::from(u8::from(sent));
        }
    }
}
