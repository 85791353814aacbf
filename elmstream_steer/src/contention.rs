//! Decides whose requests are refused when a service is short of slots.
//!
//! A service is short of slots while its requests in flight exceed a set fraction of its slots. The
//! part of its requests that is refused then grows with the load, up to what exceeds the slots. The
//! least urgent priority that is present is refused first, down to a floor, then the next one; the
//! most urgent one is never refused by this rule. Of one priority, first attempts are refused
//! before the requests of returning callers.
//!
//! Each host counts the priorities by itself: callers pick hosts by chance, so what a host receives
//! is a fair sample.

use std::{cell::Cell, collections::HashMap};

use elmstream::time::{MILLI, Time};

use crate::{hash, pick::PickRequest, policies::ContentionPolicy};

/// Time in which the counts of requests decay to 1/e, in microseconds.
const COUNT_DECAY_US: f64 = 3e6;
/// Time over which the load is averaged, in microseconds. What hosts know of each other's requests
/// is a heartbeat old; by the load of the moment all of them would admit and refuse in turns.
const LOAD_DECAY_US: f64 = 500.0 * MILLI as f64;
/// Decayed count of requests below which a class is not present at a service.
const PRESENT_COUNT_MIN: f64 = 0.05;
/// Number of requests that are assumed to have been sent before the first one.
const PRIOR_SENT: f64 = 5.0;
/// Factor on the longest accepted wait for each more urgent priority that is present.
const WAIT_FACTOR: f64 = 0.5;
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
}

impl Mix {
    /// Counts a request, and returns how much weight a load of now has in the average.
    fn count(&mut self, now: Time, class: Class) -> f64 {
        let passed = now.since(self.at) as f64;
        let kept = (-passed / COUNT_DECAY_US).exp();
        self.at = now;
        self.sent *= kept;
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

    /// Whether the request is refused because it is less urgent than others.
    pub fn is_refused(&self) -> bool {
        self.draw < self.refused_fraction()
    }

    /// Factor on the longest wait that the request accepts.
    pub fn wait_factor(&self) -> f64 {
        if self.draw >= 1.0 - self.urgency.floor {
            return 1.0;
        }
        let onset = shortage_onset(self.load.get(), self.policy.short_load);
        WAIT_FACTOR.powf(f64::from(self.urgency.more_urgent) * onset)
    }

    /// Time after which a refused caller should retry, in milliseconds: when the excess is expected
    /// to be served. `mean_ms` is the mean answer time.
    pub fn retry_ms(&self, mean_ms: f64) -> u64 {
        let excess_ms = (self.load.get() - self.policy.short_load).max(0.0) * mean_ms;
        let step = 1.0 + RETRY_STEP * f64::from(self.urgency.more_urgent);
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
        let remaining = self.refused_part() - refused_before;
        (remaining / share).clamp(0.0, 1.0 - floor)
    }

    fn refused_part(&self) -> f64 {
        refused_part(self.load.get(), self.policy.short_load, self.urgency.sent_part)
    }
}

/// Part of a service's requests that must be refused, 0 to 1.
///
/// The part that was sent recently led to the load of now, and is scaled by what the load exceeds
/// `short_load` by. Between `short_load` and all slots the refused part sets in gradually.
pub fn refused_part(load: f64, short_load: f64, sent_part: f64) -> f64 {
    let excess = 1.0 - sent_part * short_load / load.max(short_load).max(f64::MIN_POSITIVE);
    shortage_onset(load, short_load) * excess
}

/// How far the rule has set in at a load: from 0 up to `short_load` to 1 when all slots are taken.
fn shortage_onset(load: f64, short_load: f64) -> f64 {
    ((load - short_load) / (1.0 - short_load).max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
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
        let urgency = mix.urgency(class, policy.floor_share);
        self.draw_count += 1;
        let draw = hash::unit_interval(hash::combine(
            request.key,
            self.seed ^ hash::of(self.draw_count.to_le_bytes()),
        ));
        Some(Standing {
            policy,
            urgency,
            draw,
            load: Cell::new(mix.load),
            load_weight,
            remaining_ms: request.remaining_ms,
        })
    }

    /// Records whether a counted request of a service was sent to a server.
    pub fn record(&mut self, service: &str, standing: &Standing, sent: bool) {
        if let Some(mix) = self.mixes.get_mut(service) {
            mix.load = standing.load.get();
            mix.sent += f64::from(u8::from(sent));
        }
    }
}
