//! Admission of requests to backend servers by their owner.
//!
//! A backend server has one owner, the entry host that admits its requests. A
//! request needs a slot of a server of its service; if no slot is free, it waits
//! in a bounded queue of the service or is refused. A server that has just become
//! usable gets its slots gradually (slow start), and one that keeps failing gets no
//! requests for a while (outlier ejection).

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::{
    catalog::{Catalog, Service},
    code::Code,
    id::{Name, ServiceId},
    message::Lingering,
    time::{MILLI, SECOND, Time},
};

/// Consecutive failures after which a backend server is ejected.
const EJECTION_FAILURES: u32 = 5;
/// How long an ejected backend server gets no requests, in microseconds.
const EJECTION_TIME: u64 = 5 * SECOND;
/// An owner may eject at most its backend servers of a service divided by this at
/// once.
const EJECTED_SERVERS_DIVISOR: usize = 3;
/// A request is queued only if its expected wait is at most its deadline divided by
/// this.
/// A longer queue would not raise throughput: it would delay every request and
/// let more of them time out after they had waited.
const QUEUE_WAIT_DIVISOR: u64 = 3;
/// Inverse weight of a new sample in the mean run time.
const RUN_TIME_SAMPLE_DIVISOR: u64 = 8;
/// Mean run time assumed before the first sample, in microseconds.
const INITIAL_RUN_TIME: u64 = 5 * MILLI;

/// A backend server as seen by its owner.
#[derive(Clone, Debug)]
struct Server {
    service: ServiceId,
    slots: u32,
    in_flight: u32,
    /// Slots that requests of the former owner may still use.
    reserved: u32,
    /// Start of its slow start.
    serving_since: Time,
    draining: bool,
    owned: bool,
    failures: u32,
    ejected_until: Time,
}

impl Server {
    /// Slots that this host may use now: all but the reserved ones, and fewer
    /// during slow start.
    fn usable_slots(&self, now: Time, slow_start: u64) -> u32 {
        let usable = self.slots.saturating_sub(self.reserved);
        let age = now.since(self.serving_since);
        if age >= slow_start {
            return usable;
        }
        let ramped_slots = 1 + u64::from(self.slots) * age / slow_start.max(1);
        usable.min(ramped_slots as u32)
    }

    fn takes_work(&self, now: Time) -> bool {
        self.owned && !self.draining && now >= self.ejected_until
    }
}

/// Request for a slot of a service.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Whether the request's home region is not the region of this host. Such a
    /// request is never queued, and leaves slots free for requests of the own
    /// region.
    pub shifted: bool,
    /// Longest time that it may wait for a slot, in microseconds.
    pub max_wait: u64,
    /// Time left until its deadline, in microseconds.
    pub deadline: u64,
}

/// Slot that was taken for a request. It stays in use until
/// [`Admissions::release`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Slot {
    /// Backend server that runs the request.
    pub backend: Name,
}

/// Answer to a [`SlotRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run the request in this slot.
    Run(Slot),
    /// The request is queued under this number. Once
    /// [`Admissions::wake_waiting`] or [`Admissions::release`] returns the number,
    /// [`Admissions::take_granted`] returns the slot.
    Wait(u64),
    /// The request is refused with this code; a retry may succeed after this time
    /// in microseconds.
    Refuse(Code, u64),
}

/// How a run ended, as seen by the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// The backend server answered.
    Succeeded,
    /// The backend server shed the request, failed or could not be reached.
    Failed,
    /// The caller aborted it, or it hit its deadline.
    Cancelled,
}

/// Waiting requests and mean run time of one service.
#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<u64>,
    mean_run_time: u64,
}

/// The backend servers that this host owns, with the queues of their services.
///
/// Servers that it no longer owns are included while it has requests in flight at
/// them.
#[derive(Debug, Default)]
pub struct Admissions {
    servers: BTreeMap<Name, Server>,
    queues: HashMap<ServiceId, Queue>,
    granted: HashMap<u64, Slot>,
    last_number: u64,
}

impl Admissions {
    /// Sets the servers that this host owns. All slots of a newly owned server
    /// are reserved for requests of its former owner until
    /// [`Admissions::set_reserved`] is called.
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
                serving_since: now,
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

    /// Moves all state to new ids of the services, after the configuration has
    /// changed. The queue of a removed service, for which `new_id` returns `None`,
    /// is dropped; its requests wait until their callers give up.
    pub fn remap_services(&mut self, new_id: impl Fn(ServiceId) -> Option<ServiceId>) {
        let queues = std::mem::take(&mut self.queues);
        let moved = queues.into_iter().filter_map(|(id, queue)| Some((new_id(id)?, queue)));
        self.queues = moved.collect();
        for server in self.servers.values_mut() {
            server.service = new_id(server.service).unwrap_or(server.service);
        }
    }

    /// Names of the owned servers.
    pub fn owned(&self) -> BTreeSet<Name> {
        let owned = self.servers.iter().filter(|(_, s)| s.owned);
        owned.map(|(name, _)| name.clone()).collect()
    }

    /// Sets the number of a server's slots that requests of its former owner may
    /// still use.
    pub fn set_reserved(&mut self, name: &str, count: u32) {
        if let Some(server) = self.servers.get_mut(name) {
            server.reserved = count.min(server.slots);
        }
    }

    /// This host's requests in flight at servers that it no longer owns.
    pub fn lingering(&self) -> Vec<Lingering> {
        let released = self.servers.iter().filter(|(_, s)| !s.owned && s.in_flight > 0);
        let lingering =
            |(name, s): (&Name, &Server)| Lingering { backend: name.clone(), count: s.in_flight };
        released.map(lingering).collect()
    }

    /// Stops new requests to backend servers that are leaving.
    pub fn mark_draining(&mut self, leaving: &[Name]) {
        for name in leaving {
            if let Some(server) = self.servers.get_mut(name) {
                server.draining = true;
            }
        }
    }

    /// Takes a slot for a request, queues the request or refuses it.
    pub fn request_slot(
        &mut self,
        now: Time,
        service: &Service,
        request: &SlotRequest,
    ) -> Admission {
        let (in_use, slots) = self.usage(now, request.service);
        if slots == 0 {
            return Admission::Refuse(Code::NoOwner, SECOND);
        }
        let limit = slot_limit(service, slots, request.shifted);
        let must_queue = self.queued(request.service) > 0;
        let may_run = in_use < limit && !must_queue;
        if may_run && let Some(slot) = self.take_slot(now, request.service, service.slow_start) {
            return Admission::Run(slot);
        }
        self.enqueue(service, request, slots)
    }

    /// Takes the slot that was granted to a queued request; `None` if none was, or
    /// if it was taken before.
    pub fn take_granted(&mut self, number: u64) -> Option<Slot> {
        self.granted.remove(&number)
    }

    /// Removes a request from its queue. Returns its slot if it was woken in the
    /// meantime; the caller has to release it.
    pub fn cancel_wait(&mut self, number: u64) -> Option<Slot> {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|&n| n != number);
        }
        self.granted.remove(&number)
    }

    /// Releases a slot after a run, and grants free slots to queued requests.
    /// Returns the numbers of the requests to wake.
    ///
    /// `run_time` is in microseconds; it counts only if the run succeeded.
    pub fn release(
        &mut self,
        now: Time,
        catalog: &Catalog,
        slot: &Slot,
        result: RunResult,
        run_time: u64,
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
                queue.record_run_time(run_time);
            }
            RunResult::Failed => self.record_failure(now, &slot.backend),
            RunResult::Cancelled => {}
        }
        self.servers.retain(|_, s| s.owned || s.in_flight > 0);
        self.wake_waiting(now, catalog, service)
    }

    /// Grants free slots to queued requests in order of arrival. Returns the
    /// numbers of the requests to wake.
    pub fn wake_waiting(&mut self, now: Time, catalog: &Catalog, id: ServiceId) -> Vec<u64> {
        let Some(service) = catalog.services.get(id.index()) else {
            return Vec::new();
        };
        let mut woken = Vec::new();
        loop {
            let (in_use, slots) = self.usage(now, id);
            if self.queued(id) == 0 || in_use >= slot_limit(service, slots, false) {
                return woken;
            }
            let Some(slot) = self.take_slot(now, id, service.slow_start) else {
                return woken;
            };
            let queue = self.queues.entry(id).or_default();
            let number = queue.waiting.pop_front().expect("queued() is above zero");
            self.granted.insert(number, slot);
            woken.push(number);
        }
    }

    /// Requests in flight at all servers of a service, and the total slots of those
    /// that take new requests. Reserved slots and slow start don't reduce the total.
    pub fn usage(&self, now: Time, service: ServiceId) -> (u32, u32) {
        let of_service = self.servers.values().filter(|s| s.service == service);
        of_service.fold((0, 0), |(in_use, slots), server| {
            let usable = if server.takes_work(now) { server.slots } else { 0 };
            (in_use + server.in_flight, slots + usable)
        })
    }

    /// Number of queued requests of a service.
    pub fn queued(&self, service: ServiceId) -> u32 {
        self.queues.get(&service).map_or(0, |q| q.waiting.len() as u32)
    }

    /// Moving average of the run time of a service's successful requests, in
    /// microseconds; an assumed value before the first one.
    pub fn mean_run_time(&self, service: ServiceId) -> u64 {
        self.queues.get(&service).map_or(INITIAL_RUN_TIME, Queue::mean_run_time)
    }

    /// This host's requests in flight at a backend server.
    pub fn in_flight(&self, backend: &str) -> u32 {
        self.servers.get(backend).map_or(0, |s| s.in_flight)
    }

    /// This host's requests in flight at all backend servers, including those that
    /// it no longer owns.
    pub fn total_in_flight(&self) -> u32 {
        self.servers.values().map(|s| s.in_flight).sum()
    }

    /// Whether an owned backend server has more requests in flight than slots.
    pub fn is_over_slots(&self) -> bool {
        self.servers.values().any(|s| s.owned && s.in_flight > s.slots)
    }

    /// Takes a slot at the server with the smallest share of its slots in use.
    fn take_slot(&mut self, now: Time, service: ServiceId, slow_start: u64) -> Option<Slot> {
        let able =
            self.servers.iter_mut().filter(|(_, s)| s.service == service && s.takes_work(now));
        let free = able.filter(|(_, s)| s.in_flight < s.usable_slots(now, slow_start));
        let (name, server) = free.min_by_key(|(_, s)| {
            (s.in_flight * 100 / s.usable_slots(now, slow_start).max(1), s.failures)
        })?;
        server.in_flight += 1;
        Some(Slot { backend: name.clone() })
    }

    /// Queues the request if its expected wait is short enough, else refuses it.
    fn enqueue(&mut self, service: &Service, request: &SlotRequest, slots: u32) -> Admission {
        let queue = self.queues.entry(request.service).or_default();
        let queued = queue.waiting.len() as u64;
        let mean_run_time = queue.mean_run_time();
        let expected = (queued + 1) * mean_run_time / u64::from(slots.max(1));
        let is_full = queued >= u64::from(service.queue_per_slot * slots);
        let is_late = expected > request.max_wait.min(request.deadline / QUEUE_WAIT_DIVISOR);
        if request.shifted || is_full || is_late {
            return Admission::Refuse(Code::NoCapacity, expected.max(mean_run_time));
        }
        self.last_number += 1;
        queue.waiting.push_back(self.last_number);
        Admission::Wait(self.last_number)
    }

    /// Counts a failure. Ejects the server after [`EJECTION_FAILURES`] in a row,
    /// unless too many servers of the service are ejected already.
    fn record_failure(&mut self, now: Time, name: &str) {
        let Some(service) = self.servers.get(name).map(|s| s.service) else {
            return;
        };
        let of_service = || self.servers.values().filter(|s| s.service == service && s.owned);
        let ejected = of_service().filter(|s| now < s.ejected_until).count();
        let may_eject = ejected < of_service().count() / EJECTED_SERVERS_DIVISOR;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.failures += 1;
        if server.failures >= EJECTION_FAILURES && may_eject {
            server.failures = 0;
            server.ejected_until = now + EJECTION_TIME;
            server.serving_since = now + EJECTION_TIME;
        }
    }
}

impl Queue {
    fn mean_run_time(&self) -> u64 {
        if self.mean_run_time == 0 { INITIAL_RUN_TIME } else { self.mean_run_time }
    }

    fn record_run_time(&mut self, run_time: u64) {
        let mean_run_time = self.mean_run_time();
        self.mean_run_time = (mean_run_time - mean_run_time / RUN_TIME_SAMPLE_DIVISOR
            + run_time / RUN_TIME_SAMPLE_DIVISOR)
            .max(1);
    }
}

/// Number of slots in use, by requests of any kind, from which a request gets no
/// slot. For shifted requests it is lower by the service's headroom.
///
/// It is rounded down for each owner, so that the sum over all owners of a region
/// stays within the service's load limit.
fn slot_limit(service: &Service, slots: u32, shifted: bool) -> u32 {
    let headroom_percent = if shifted { service.headroom_percent } else { 0 };
    let percent = service.load_limit_percent.saturating_sub(headroom_percent);
    slots * percent / 100
}
