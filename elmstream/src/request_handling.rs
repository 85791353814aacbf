//! Decisions about a request: look-up, routing, admission, limits and tickets.

use std::{net::IpAddr, sync::Arc};

use crate::{
    admission::{Admission, RunResult, Slot, SlotRequest},
    catalog::{Isolation, Service},
    code::Code,
    id::{Name, RegionId, ServiceId},
    inherited_servers::is_bounded_by_lease,
    lookup::{self, RankedHost},
    member::UNREACHABLE_PAUSE,
    message::ServiceLoad,
    node::Node,
    route::{self, Attempt},
    tickets::{Ticket, TicketDecision, TicketId},
    time::{MILLI, SECOND, Time},
};

/// Time between the end of the lease and the latest deadline under it, in
/// microseconds.
const LEASE_MARGIN: u64 = 50 * MILLI;
/// Shortest time that a request must have left to be dispatched, in microseconds.
const REMAINING_TIME_MIN: u64 = MILLI;

/// Refusal of a request that did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: Code,
    /// Time after which a retry may succeed, in microseconds; 0 if there is no
    /// estimate.
    pub retry_after: u64,
}

impl Refusal {
    pub(crate) fn new(code: Code, retry_after: u64) -> Refusal {
        Refusal { code, retry_after }
    }
}

/// Time limits for running a request at a backend server, counted from its
/// dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunWindow {
    /// The server must begin the request within this time in microseconds, since
    /// the lease does not cover a later start.
    pub begin_within: u64,
    /// The server must end the request within this time in microseconds.
    pub end_within: u64,
}

/// Request that a host sends to an owner.
#[derive(Clone, Debug)]
pub struct OwnerRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the caller's home region.
    pub home: &'a str,
    /// Time left until the deadline, in microseconds.
    pub deadline: u64,
    /// Longest time that the request may wait for a slot, in microseconds.
    pub max_wait: u64,
}

/// Answer of an owner to an [`OwnerRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerAnswer {
    /// Dispatch the request in this slot.
    Run(Slot),
    /// The request is queued under this number; wait for
    /// [`crate::message::Command::Wake`].
    Wait(u64),
    /// The request is refused and did not run.
    Refuse(Refusal),
}

impl Node {
    /// Home region of a client: that of its site, or this host's region if the
    /// client belongs to no site.
    pub fn home_region(&self, client: IpAddr) -> Option<RegionId> {
        let site = self.catalog.blocks.site(client);
        site.map(|id| self.catalog.sites[id.index()].home).or_else(|| self.region())
    }

    /// Ranks the entry hosts for a client and a service, best first.
    pub fn lookup(
        &mut self,
        now: Time,
        client: IpAddr,
        service: &str,
    ) -> Result<Arc<[RankedHost]>, Refusal> {
        if self.catalog.revision == 0 {
            return Err(Refusal::new(Code::NotReady, SECOND));
        }
        let unknown = Refusal::new(Code::UnknownService, 0);
        let id = self.catalog.service(service).ok_or(unknown)?;
        let site = self.catalog.blocks.site(client);
        if let Some(cached) = self.lookup_cache.get(&(site, id)) {
            return Ok(cached.clone());
        }
        let home = self.home_region(client).ok_or(Refusal::new(Code::NotReady, SECOND))?;
        let name = site.map_or("", |id| &self.catalog.sites[id.index()].name);
        let key = [name, service].join("/");
        let choices = lookup::rank_hosts(&self.catalog, &self.members, now, home, &key);
        let choices: Arc<[RankedHost]> = choices.into();
        self.lookup_cache.insert((site, id), choices.clone());
        Ok(choices)
    }

    /// Service that a request selects by the service header or else by `Host`.
    pub fn service_of(
        &self,
        header: Option<&str>,
        host: Option<&str>,
    ) -> Result<ServiceId, Refusal> {
        if self.catalog.revision == 0 {
            return Err(Refusal::new(Code::NotReady, SECOND));
        }
        let by_header = header.and_then(|name| self.catalog.service(name));
        let by_host = || host.and_then(|host| self.catalog.service_by_host(host));
        let found = if header.is_some() { by_header } else { by_host() };
        found.ok_or(Refusal::new(Code::UnknownService, 0))
    }

    /// Service with this index.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.catalog.services[id.index()]
    }

    /// Owners to try for a request, in order. `deadline` is the time left in
    /// microseconds.
    pub fn route(
        &mut self,
        now: Time,
        id: ServiceId,
        home: RegionId,
        deadline: u64,
    ) -> Result<Vec<Attempt>, Refusal> {
        let unknown = Refusal::new(Code::UnknownService, 0);
        let service = self.catalog.services.get(id.index()).ok_or(unknown)?;
        let is_isolated = self.is_isolated(now);
        if is_isolated && service.isolation == Isolation::Stop {
            return Err(Refusal::new(Code::Isolated, SECOND));
        }
        self.retry_budgets.entry(id).or_default().deposit(service.retry_percent);
        self.refresh_own_load(now, id);
        let me = &self.settings.me.host;
        let is_home = self.region() == Some(home);
        let row_owners =
            self.row_owners.get(&id).filter(|_| is_home).map_or(&[][..], Vec::as_slice);
        let may_shift = !is_isolated;
        let request =
            route::RouteRequest { service: id, home, deadline, me, may_shift, row_owners };
        let attempts =
            route::plan_attempts(&self.catalog, &self.members, now, &mut self.rng, &request);
        if attempts.is_empty() {
            let retry_after = route::retry_after(&self.catalog, &self.members, now, &request);
            return Err(match retry_after {
                Some(retry_after) => Refusal::new(Code::NoCapacity, retry_after),
                None => Refusal::new(Code::NoOwner, SECOND),
            });
        }
        Ok(attempts)
    }

    /// Load of a service's servers at this host, as reported to other hosts.
    pub fn load(&self, now: Time, id: ServiceId) -> ServiceLoad {
        let (in_flight, slots) = self.admissions.usage(now, id);
        let slots = if self.lease.is_held(now) { slots } else { 0 };
        let service = self.service(id).name.clone();
        ServiceLoad { service, slots, in_flight, queued: self.admissions.queued(id) }
    }

    /// Updates this host's own entry in the table of members, as heartbeats do
    /// for other hosts.
    fn refresh_own_load(&mut self, now: Time, id: ServiceId) {
        let load = self.load(now, id);
        if let Some(member) = self.members.get_mut(&self.settings.me.host) {
            member.update_load(load);
        }
    }

    /// Records the load that an owner reported together with an answer.
    pub fn update_owner_load(&mut self, owner: &str, load: ServiceLoad) {
        if let Some(member) = self.members.get_mut(owner) {
            member.update_load(load);
        }
    }

    /// Records that an owner refused a request because it or a limit was full, so
    /// that it is left out for a short time.
    pub fn record_refusal(
        &mut self,
        now: Time,
        attempt: &Attempt,
        service: &Name,
        refusal: &Refusal,
    ) {
        let is_full =
            matches!(refusal.code, Code::NoCapacity | Code::ShiftCapped | Code::LinkLimited);
        if let Some(member) = self.members.get_mut(&attempt.owner.host).filter(|_| is_full) {
            member.record_refusal(now, service, attempt.demand, refusal.retry_after);
        }
    }

    /// Withdraws one retry from the service's budget. Returns `false` if the
    /// budget is used up.
    pub fn withdraw_retry(&mut self, id: ServiceId) -> bool {
        self.retry_budgets.entry(id).or_default().withdraw()
    }

    /// Records that a request was sent to an owner.
    pub fn record_sent(&mut self, owner: &str, service: &Name) {
        if let Some(member) = self.members.get_mut(owner) {
            *member.unanswered.entry(service.clone()).or_default() += 1;
        }
    }

    /// Records that a host could not be reached, so that it gets no requests for
    /// a short time.
    pub fn record_unreachable(&mut self, now: Time, host: &str) {
        if let Some(member) = self.members.get_mut(host) {
            member.avoid_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// Records that an owner answered a request.
    pub fn record_answer(&mut self, owner: &str, service: &Name) {
        let member = self.members.get_mut(owner);
        if let Some(sent) = member.and_then(|m| m.unanswered.get_mut(service)) {
            *sent = sent.saturating_sub(1);
        }
    }

    /// Asks this host, as the owner, for a slot.
    pub fn request_slot(&mut self, now: Time, request: &OwnerRequest<'_>) -> OwnerAnswer {
        match self.try_request_slot(now, request) {
            Ok(Admission::Run(slot)) => OwnerAnswer::Run(slot),
            Ok(Admission::Wait(number)) => OwnerAnswer::Wait(number),
            Ok(Admission::Refuse(code, retry_after)) => {
                OwnerAnswer::Refuse(Refusal::new(code, retry_after))
            }
            Err(refusal) => OwnerAnswer::Refuse(refusal),
        }
    }

    /// Slot of a queued request that was woken, returned once.
    pub fn take_granted_slot(&mut self, number: u64) -> Option<Slot> {
        self.admissions.take_granted(number)
    }

    /// Removes a queued request. Returns the numbers of the queued requests to
    /// wake.
    pub fn cancel_wait(&mut self, now: Time, number: u64) -> Vec<u64> {
        match self.admissions.cancel_wait(number) {
            Some(slot) => self.finish_run(now, &slot, RunResult::Cancelled, 0),
            None => Vec::new(),
        }
    }

    /// Checks at the moment of dispatch that this host may still act on the
    /// server, and returns the time limits of the run.
    pub fn dispatch(&self, now: Time, slot: &Slot, deadline: Time) -> Result<RunWindow, Refusal> {
        let is_owner = self.row.may_act(&self.settings.me, &slot.backend);
        let lease_end = self.lease.until() - LEASE_MARGIN;
        let backend = self.catalog.backend(&slot.backend);
        let service_id = backend.map(|id| self.catalog.backends[id.index()].service);
        let (Some(service_id), true, true) = (service_id, is_owner, now < lease_end) else {
            return Err(Refusal::new(Code::LeaseLapsed, SECOND));
        };
        let is_bounded = is_bounded_by_lease(self.service(service_id).deadline);
        let end = if is_bounded { deadline.min(lease_end) } else { deadline };
        // A request that cannot end in time would occupy a slot for nothing, and
        // its outcome would be unknown to the caller.
        let mean_run_time = self.admissions.mean_run_time(service_id);
        if end.since(now) < REMAINING_TIME_MIN.max(mean_run_time / 2) {
            return Err(Refusal::new(Code::DeadlineTooShort, 0));
        }
        Ok(RunWindow { begin_within: lease_end.min(end).since(now), end_within: end.since(now) })
    }

    /// Releases the slot of a run that has ended. Returns the numbers of the
    /// queued requests to wake.
    pub fn finish_run(
        &mut self,
        now: Time,
        slot: &Slot,
        result: RunResult,
        run_time: u64,
    ) -> Vec<u64> {
        let catalog = self.catalog.clone();
        self.admissions.release(now, &catalog, slot, result, run_time)
    }

    /// Issues `count` tickets for a service, valid for `lifetime` microseconds.
    pub fn issue_tickets(
        &mut self,
        now: Time,
        service: &Name,
        count: u32,
        lifetime: u64,
    ) -> Vec<Ticket> {
        let me = self.settings.me.clone();
        let issue = |_| self.tickets.issue(me.clone(), service.clone(), now + lifetime);
        (0..count).map(issue).collect()
    }

    /// Decides whether a request with a ticket of this incarnation may run.
    pub fn begin_ticket(&mut self, now: Time, ticket: &Ticket, service: &str) -> TicketDecision {
        self.tickets.begin(now, ticket, service)
    }

    /// Records that the attempt with a ticket ended.
    pub fn end_ticket(&mut self, id: TicketId, not_run: bool) {
        self.tickets.end(id, not_run);
    }

    fn try_request_slot(
        &mut self,
        now: Time,
        request: &OwnerRequest<'_>,
    ) -> Result<Admission, Refusal> {
        if self.stopping && !self.lease.is_held(now) {
            return Err(Refusal::new(Code::Stopping, 0));
        }
        if !self.lease.is_held(now) {
            return Err(Refusal::new(Code::LeaseLapsed, SECOND));
        }
        let unknown = Refusal::new(Code::UnknownService, 0);
        let id = self.catalog.service(request.service).ok_or(unknown)?;
        let home = self.catalog.region(request.home).ok_or(unknown)?;
        let here = self.region().ok_or(unknown)?;
        let shifted = home != here;
        let max_wait = request.max_wait.min(request.deadline);
        let slot_request =
            SlotRequest { service: id, shifted, max_wait, deadline: request.deadline };
        if shifted {
            self.check_shift(now, id, home, here)?;
        }
        let service = &self.catalog.services[id.index()];
        let admission = self.admissions.request_slot(now, service, &slot_request);
        if let (true, Admission::Run(slot)) = (shifted, &admission) {
            let slot = slot.clone();
            if let Err(refusal) = self.charge_shift(now, id, home, here) {
                self.finish_run(now, &slot, RunResult::Cancelled, 0);
                return Err(refusal);
            }
        }
        Ok(admission)
    }
}
