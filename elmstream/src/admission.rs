//! Admission at the owner: slots, the bounded queue, slow start, ejection.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::{
    catalog::{Catalog, Service},
    code::Code,
    id::{Name, ServiceId},
    message::Lingering,
    time::{MILLI, SECOND, Time},
};

/// Failures in a row after which a backend server is ejected.
const EJECT_AFTER: u32 = 5;
/// How long an ejected backend server gets nothing, in microseconds.
const EJECT_TIME: u64 = 5 * SECOND;
/// Of an owner's backend servers of a service at most this share is ejected.
const EJECT_DIVISOR: usize = 3;
/// A request is queued only if it may expect to wait for this share of its
/// deadline at most, as a divisor. A longer queue would serve as many, each
/// later, and give up on more of them after they have waited.
const QUEUE_DIVISOR: u64 = 3;
/// Weight of a new sample in the mean run time, as a divisor.
const MEAN_DIVISOR: u64 = 8;
/// Mean run time that is assumed before the first sample, in microseconds.
const MEAN_FIRST: u64 = 5 * MILLI;

/// A backend server as its owner sees it.
#[derive(Clone, Debug)]
struct Server {
    service: ServiceId,
    slots: u32,
    in_flight: u32,
    /// Slots that its former owner may still have in use.
    reserved: u32,
    /// When it began to take work, for slow start.
    since: Time,
    draining: bool,
    owned: bool,
    failures: u32,
    ejected_until: Time,
}

impl Server {
    /// Slots that may be in use now: all, or fewer in slow start.
    fn limit(&self, now: Time, slow_start: u64) -> u32 {
        let usable = self.slots.saturating_sub(self.reserved);
        let age = now.since(self.since);
        if age >= slow_start {
            return usable;
        }
        let grown = 1 + u64::from(self.slots) * age / slow_start.max(1);
        usable.min(grown as u32)
    }

    fn takes_work(&self, now: Time) -> bool {
        self.owned && !self.draining && now >= self.ejected_until
    }
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The service.
    pub service: ServiceId,
    /// Whether the request comes from another home region.
    pub shifted: bool,
    /// How long it may wait for a slot, in microseconds.
    pub max_wait: u64,
    /// Time left for the request, in microseconds.
    pub deadline: u64,
}

/// A slot that was given.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Slot {
    /// The backend server.
    pub backend: Name,
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run it there.
    Run(Slot),
    /// Wait; [`Admissions::granted`] gives the slot once the number is woken.
    Wait(u64),
    /// It is not run.
    Refuse(Code, u64),
}

/// How a run ended, as seen from the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// The backend server answered.
    Succeeded,
    /// It shed the request, failed or could not be reached.
    Failed,
    /// The caller or the deadline ended it.
    Cancelled,
}

/// Requests of one service that wait, and its mean run time.
#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<u64>,
    mean: u64,
}

/// All backend servers that this host owns, and the queues before them.
#[derive(Debug, Default)]
pub struct Admissions {
    servers: BTreeMap<Name, Server>,
    queues: HashMap<ServiceId, Queue>,
    granted: HashMap<u64, Slot>,
    next: u64,
}

impl Admissions {
    /// Takes over what this host owns now. A server that is new here has all
    /// its slots reserved until [`Admissions::reserve`] tells otherwise.
    pub fn set_owned(&mut self, now: Time, catalog: &Catalog, owned: &BTreeSet<Name>) {
        let was_owned = self.owned();
        for server in self.servers.values_mut() {
            server.owned = false;
        }
        for name in owned {
            let Some(id) = catalog.backend(name) else {
                continue;
            };
            let backend = &catalog.backends[id.index()];
            let server = self.servers.entry(name.clone()).or_insert_with(|| Server {
                service: backend.service,
                slots: backend.slots,
                in_flight: 0,
                reserved: backend.slots,
                since: now,
                draining: false,
                owned: true,
                failures: 0,
                ejected_until: Time::default(),
            });
            server.service = backend.service;
            server.slots = backend.slots;
            server.draining = catalog.is_draining(backend);
            if !server.owned && !was_owned.contains(name) {
                server.reserved = backend.slots;
            }
            server.owned = true;
        }
        self.servers.retain(|_, s| s.owned || s.in_flight > 0);
    }

    /// Carries everything over to the services' new indexes. What belonged to a
    /// service that is gone waits until its callers give up.
    pub fn remap_services(&mut self, new_id: impl Fn(ServiceId) -> Option<ServiceId>) {
        let queues = std::mem::take(&mut self.queues);
        let moved = queues.into_iter().filter_map(|(id, queue)| Some((new_id(id)?, queue)));
        self.queues = moved.collect();
        for server in self.servers.values_mut() {
            server.service = new_id(server.service).unwrap_or(server.service);
        }
    }

    /// The servers that this host owns.
    pub fn owned(&self) -> BTreeSet<Name> {
        let owned = self.servers.iter().filter(|(_, s)| s.owned);
        owned.map(|(name, _)| name.clone()).collect()
    }

    /// Sets how many slots the former owner of a server may still use.
    pub fn set_reserved(&mut self, name: &str, count: u32) {
        if let Some(server) = self.servers.get_mut(name) {
            server.reserved = count.min(server.slots);
        }
    }

    /// Requests in flight at servers that this host has released.
    pub fn lingering(&self) -> Vec<Lingering> {
        let released = self.servers.iter().filter(|(_, s)| !s.owned && s.in_flight > 0);
        let lingering =
            |(name, s): (&Name, &Server)| Lingering { backend: name.clone(), count: s.in_flight };
        released.map(lingering).collect()
    }

    /// Marks backend servers that the host list calls leaving.
    pub fn mark_draining(&mut self, leaving: &[Name]) {
        for name in leaving {
            if let Some(server) = self.servers.get_mut(name) {
                server.draining = true;
            }
        }
    }

    /// Asks for a slot.
    pub fn request_slot(&mut self, now: Time, service: &Service, ask: &SlotRequest) -> Admission {
        let (in_use, slots) = self.usage(now, ask.service);
        if slots == 0 {
            return Admission::Refuse(Code::NoOwner, SECOND);
        }
        let limit = limit(service, slots, ask.shifted);
        let must_queue = self.queued(ask.service) > 0;
        let may_run = in_use < limit && !must_queue;
        if may_run && let Some(slot) = self.pick(now, ask.service, service.slow_start) {
            return Admission::Run(slot);
        }
        self.enqueue(service, ask, slots)
    }

    /// The slot of a waiting request that was woken.
    pub fn take_granted(&mut self, number: u64) -> Option<Slot> {
        self.granted.remove(&number)
    }

    /// A waiting request gives up. Its slot, if it was woken meanwhile, goes on.
    pub fn cancel_wait(&mut self, number: u64) -> Option<Slot> {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|&n| n != number);
        }
        self.granted.remove(&number)
    }

    /// A run has ended. Returns the waiting requests to wake.
    pub fn release(
        &mut self,
        now: Time,
        catalog: &Catalog,
        slot: &Slot,
        result: RunResult,
        took: u64,
    ) -> Vec<u64> {
        let Some(server) = self.servers.get_mut(&slot.backend) else {
            return Vec::new();
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        let service = server.service;
        match result {
            RunResult::Succeeded => {
                server.failures = 0;
                let queue = self.queues.entry(service).or_default();
                queue.sample(took);
            }
            RunResult::Failed => self.failed(now, &slot.backend),
            RunResult::Cancelled => {}
        }
        self.servers.retain(|_, s| s.owned || s.in_flight > 0);
        self.wake_waiting(now, catalog, service)
    }

    /// Hands free slots to waiting requests, first come first served.
    pub fn wake_waiting(&mut self, now: Time, catalog: &Catalog, id: ServiceId) -> Vec<u64> {
        let Some(service) = catalog.services.get(id.index()) else {
            return Vec::new();
        };
        let mut woken = Vec::new();
        loop {
            let (in_use, slots) = self.usage(now, id);
            if self.queued(id) == 0 || in_use >= limit(service, slots, false) {
                return woken;
            }
            let Some(slot) = self.pick(now, id, service.slow_start) else {
                return woken;
            };
            let queue = self.queues.entry(id).or_default();
            let number = queue.waiting.pop_front().expect("queued() is above zero");
            self.granted.insert(number, slot);
            woken.push(number);
        }
    }

    /// Slots in use, and slots that may be used, of a service.
    pub fn usage(&self, now: Time, service: ServiceId) -> (u32, u32) {
        let of_service = self.servers.values().filter(|s| s.service == service);
        of_service.fold((0, 0), |(in_use, slots), server| {
            let usable = if server.takes_work(now) { server.slots } else { 0 };
            (in_use + server.in_flight, slots + usable)
        })
    }

    /// Requests of a service that wait.
    pub fn queued(&self, service: ServiceId) -> u32 {
        self.queues.get(&service).map_or(0, |q| q.waiting.len() as u32)
    }

    /// Mean run time of a service's requests, in microseconds.
    pub fn mean_run_time(&self, service: ServiceId) -> u64 {
        self.queues.get(&service).map_or(MEAN_FIRST, Queue::mean)
    }

    /// Requests in flight at a backend server.
    pub fn in_flight(&self, backend: &str) -> u32 {
        self.servers.get(backend).map_or(0, |s| s.in_flight)
    }

    /// Requests in flight at all backend servers.
    pub fn total_in_flight(&self) -> u32 {
        self.servers.values().map(|s| s.in_flight).sum()
    }

    /// Whether some backend server has more in flight than it has slots.
    pub fn is_over_slots(&self) -> bool {
        self.servers.values().any(|s| s.owned && s.in_flight > s.slots)
    }

    /// Takes a slot at the server with the largest free share.
    fn pick(&mut self, now: Time, service: ServiceId, slow_start: u64) -> Option<Slot> {
        let able =
            self.servers.iter_mut().filter(|(_, s)| s.service == service && s.takes_work(now));
        let free = able.filter(|(_, s)| s.in_flight < s.limit(now, slow_start));
        let (name, server) = free.min_by_key(|(_, s)| {
            (s.in_flight * 100 / s.limit(now, slow_start).max(1), s.failures)
        })?;
        server.in_flight += 1;
        Some(Slot { backend: name.clone() })
    }

    /// Queues the request if it may expect a slot within its patience.
    fn enqueue(&mut self, service: &Service, ask: &SlotRequest, slots: u32) -> Admission {
        let queue = self.queues.entry(ask.service).or_default();
        let queued = queue.waiting.len() as u64;
        let mean = queue.mean();
        let expected = (queued + 1) * mean / u64::from(slots.max(1));
        let is_full = queued >= u64::from(service.queue_per_slot * slots);
        let is_late = expected > ask.max_wait.min(ask.deadline / QUEUE_DIVISOR);
        if ask.shifted || is_full || is_late {
            return Admission::Refuse(Code::NoCapacity, expected.max(mean));
        }
        self.next += 1;
        queue.waiting.push_back(self.next);
        Admission::Wait(self.next)
    }

    /// Counts a failure and ejects the server, unless too many are out already.
    fn failed(&mut self, now: Time, name: &str) {
        let Some(service) = self.servers.get(name).map(|s| s.service) else {
            return;
        };
        let of_service = || self.servers.values().filter(|s| s.service == service && s.owned);
        let ejected = of_service().filter(|s| now < s.ejected_until).count();
        let may_eject = ejected < of_service().count() / EJECT_DIVISOR;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.failures += 1;
        if server.failures >= EJECT_AFTER && may_eject {
            server.failures = 0;
            server.ejected_until = now + EJECT_TIME;
            server.since = now + EJECT_TIME;
        }
    }
}

impl Queue {
    fn mean(&self) -> u64 {
        if self.mean == 0 { MEAN_FIRST } else { self.mean }
    }

    fn sample(&mut self, took: u64) {
        let mean = self.mean();
        self.mean = (mean - mean / MEAN_DIVISOR + took / MEAN_DIVISOR).max(1);
    }
}

/// Slots that requests of this kind may use together.
///
/// Rounded down for each owner, so that the sum over a region's owners is
/// never above the policy's share.
fn limit(service: &Service, slots: u32, shifted: bool) -> u32 {
    let kept_back = if shifted { service.headroom_percent } else { 0 };
    let percent = service.load_limit_percent.saturating_sub(kept_back);
    slots * percent / 100
}
