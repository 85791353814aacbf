//! Decisions on the path of a request: look-up, route, admission, limits.

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

/// Time between a lease's end and the last deadline under it, in microseconds.
const LEASE_MARGIN: u64 = 50 * MILLI;
/// Least time that a request must have left to be dispatched.
const DEADLINE_MIN: u64 = MILLI;

/// A refusal: the code, and when to come back in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When asking again may help.
    pub retry_after: u64,
}

impl Refusal {
    pub(crate) fn new(code: Code, retry_after: u64) -> Refusal {
        Refusal { code, retry_after }
    }
}

/// What a backend server is given for a request, from the dispatch on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunWindow {
    /// Microseconds after which it must not begin; the lease does not reach
    /// further.
    pub begin_within: u64,
    /// Microseconds after which it must have ended.
    pub end_within: u64,
}

/// A request as its owner sees it.
#[derive(Clone, Debug)]
pub struct OwnerRequest<'a> {
    /// The service's name.
    pub service: &'a str,
    /// The caller's home region.
    pub home: &'a str,
    /// Time left for the request, in microseconds.
    pub deadline: u64,
    /// How long it may wait for a slot, in microseconds.
    pub max_wait: u64,
}

/// The owner's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerAnswer {
    /// Dispatch to this backend server.
    Run(Slot),
    /// Wait for the wake-up with this number.
    Wait(u64),
    /// Refused; nothing ran.
    Refuse(Refusal),
}

impl Node {
    /// The caller's home region: that of its site, or else this host's.
    pub fn home_region(&self, client: IpAddr) -> Option<RegionId> {
        let site = self.catalog.blocks.site(client);
        site.map(|id| self.catalog.sites[id.index()].home).or_else(|| self.region())
    }

    /// Ranks the entry hosts for a client and a service.
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
        if let Some(known) = self.lookup_cache.get(&(site, id)) {
            return Ok(known.clone());
        }
        let home = self.home_region(client).ok_or(Refusal::new(Code::NotReady, SECOND))?;
        let name = site.map_or("", |id| &self.catalog.sites[id.index()].name);
        let key = [name, service].join("/");
        let choices = lookup::rank_hosts(&self.catalog, &self.members, now, home, &key);
        let choices: Arc<[RankedHost]> = choices.into();
        self.lookup_cache.insert((site, id), choices.clone());
        Ok(choices)
    }

    /// The service that a request names.
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

    /// A service by index.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.catalog.services[id.index()]
    }

    /// The owners to ask for a request, in order.
    pub fn route(
        &mut self,
        now: Time,
        id: ServiceId,
        home: RegionId,
        deadline: u64,
    ) -> Result<Vec<Attempt>, Refusal> {
        let service = &self.catalog.services[id.index()];
        let isolated = self.is_isolated(now);
        if isolated && service.isolation == Isolation::Stop {
            return Err(Refusal::new(Code::Isolated, SECOND));
        }
        self.retry_budgets.entry(id).or_default().deposit(service.retry_percent);
        self.report_to_self(now, id);
        let me = &self.settings.me.host;
        let is_home = self.region() == Some(home);
        let row_owners =
            self.row_owners.get(&id).filter(|_| is_home).map_or(&[][..], Vec::as_slice);
        let may_shift = !isolated;
        let request =
            route::RouteRequest { service: id, home, deadline, me, may_shift, row_owners };
        let attempts =
            route::plan_attempts(&self.catalog, &self.members, now, &mut self.rng, &request);
        if attempts.is_empty() {
            let after = route::retry_after(&self.catalog, &self.members, now, &request);
            return Err(match after {
                Some(after) => Refusal::new(Code::NoCapacity, after),
                None => Refusal::new(Code::NoOwner, SECOND),
            });
        }
        Ok(attempts)
    }

    /// What this host owns of a service now, for others' choices.
    pub fn load(&self, now: Time, id: ServiceId) -> ServiceLoad {
        let (in_flight, slots) = self.admissions.usage(now, id);
        let slots = if self.lease.is_held(now) { slots } else { 0 };
        let service = self.service(id).name.clone();
        ServiceLoad { service, slots, in_flight, queued: self.admissions.queued(id) }
    }

    /// Brings this host's own entry up to date, which a heartbeat does for the
    /// others.
    fn report_to_self(&mut self, now: Time, id: ServiceId) {
        let load = self.load(now, id);
        if let Some(member) = self.members.get_mut(&self.settings.me.host) {
            member.update_load(load);
        }
    }

    /// Takes an owner's report that came with an answer.
    pub fn update_owner_load(&mut self, owner: &str, load: ServiceLoad) {
        if let Some(member) = self.members.get_mut(owner) {
            member.update_load(load);
        }
    }

    /// Notes that an owner had nothing to give.
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

    /// Spends one retry of the service's budget.
    pub fn withdraw_retry(&mut self, id: ServiceId) -> bool {
        self.retry_budgets.entry(id).or_default().withdraw()
    }

    /// Notes that a request was sent to an owner.
    pub fn record_sent(&mut self, owner: &str, service: &Name) {
        if let Some(member) = self.members.get_mut(owner) {
            *member.unanswered.entry(service.clone()).or_default() += 1;
        }
    }

    /// Notes that a host could not be reached.
    pub fn record_unreachable(&mut self, now: Time, host: &str) {
        if let Some(member) = self.members.get_mut(host) {
            member.avoid_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// Notes that an owner answered.
    pub fn record_answer(&mut self, owner: &str, service: &Name) {
        let member = self.members.get_mut(owner);
        if let Some(sent) = member.and_then(|m| m.unanswered.get_mut(service)) {
            *sent = sent.saturating_sub(1);
        }
    }

    /// Asks this host, as owner, to take a request.
    pub fn request_slot(&mut self, now: Time, ask: &OwnerRequest<'_>) -> OwnerAnswer {
        match self.try_ask(now, ask) {
            Ok(Admission::Run(slot)) => OwnerAnswer::Run(slot),
            Ok(Admission::Wait(number)) => OwnerAnswer::Wait(number),
            Ok(Admission::Refuse(code, after)) => OwnerAnswer::Refuse(Refusal::new(code, after)),
            Err(refusal) => OwnerAnswer::Refuse(refusal),
        }
    }

    /// The slot of a waiting request that was woken.
    pub fn take_granted_slot(&mut self, number: u64) -> Option<Slot> {
        self.admissions.take_granted(number)
    }

    /// A waiting request gives up. Returns the waiting requests to wake.
    pub fn cancel_wait(&mut self, now: Time, number: u64) -> Vec<u64> {
        match self.admissions.cancel_wait(number) {
            Some(slot) => self.finish_run(now, &slot, RunResult::Cancelled, 0),
            None => Vec::new(),
        }
    }

    /// Checks the lease at the moment of dispatch.
    pub fn dispatch(&self, now: Time, slot: &Slot, deadline: Time) -> Result<RunWindow, Refusal> {
        let owns = self.row.may_act(&self.settings.me, &slot.backend);
        let lease_end = self.lease.until() - LEASE_MARGIN;
        let backend = self.catalog.backend(&slot.backend);
        let service_id = backend.map(|id| self.catalog.backends[id.index()].service);
        let (Some(service_id), true, true) = (service_id, owns, now < lease_end) else {
            return Err(Refusal::new(Code::LeaseLapsed, SECOND));
        };
        let bounded = is_bounded_by_lease(self.service(service_id).deadline);
        let end = if bounded { deadline.min(lease_end) } else { deadline };
        // One that cannot end in time would waste a slot, and be "unknown".
        let mean = self.admissions.mean_run_time(service_id);
        if end.since(now) < DEADLINE_MIN.max(mean / 2) {
            return Err(Refusal::new(Code::DeadlineTooShort, 0));
        }
        Ok(RunWindow { begin_within: lease_end.min(end).since(now), end_within: end.since(now) })
    }

    /// A run has ended. Returns the waiting requests to wake.
    pub fn finish_run(&mut self, now: Time, slot: &Slot, result: RunResult, took: u64) -> Vec<u64> {
        let catalog = self.catalog.clone();
        self.admissions.release(now, &catalog, slot, result, took)
    }

    /// Issues tickets for a service.
    pub fn issue_tickets(
        &mut self,
        now: Time,
        service: &Name,
        count: u32,
        life: u64,
    ) -> Vec<Ticket> {
        let me = self.settings.me.clone();
        let issue = |_| self.tickets.issue(me.clone(), service.clone(), now + life);
        (0..count).map(issue).collect()
    }

    /// Decides on a try with a ticket that this incarnation issued.
    pub fn begin_ticket(&mut self, now: Time, ticket: &Ticket, service: &str) -> TicketDecision {
        self.tickets.begin(now, ticket, service)
    }

    /// A ticketed try has ended.
    pub fn end_ticket(&mut self, id: TicketId, not_run: bool) {
        self.tickets.end(id, not_run);
    }

    fn try_ask(&mut self, now: Time, ask: &OwnerRequest<'_>) -> Result<Admission, Refusal> {
        if self.stopping && !self.lease.is_held(now) {
            return Err(Refusal::new(Code::Stopping, 0));
        }
        if !self.lease.is_held(now) {
            return Err(Refusal::new(Code::LeaseLapsed, SECOND));
        }
        let unknown = Refusal::new(Code::UnknownService, 0);
        let id = self.catalog.service(ask.service).ok_or(unknown)?;
        let home = self.catalog.region(ask.home).ok_or(unknown)?;
        let here = self.region().ok_or(unknown)?;
        let shifted = home != here;
        let patience = ask.max_wait.min(ask.deadline);
        let request =
            SlotRequest { service: id, shifted, max_wait: patience, deadline: ask.deadline };
        if shifted {
            self.check_shift(now, id, home, here)?;
        }
        let service = &self.catalog.services[id.index()];
        let admission = self.admissions.request_slot(now, service, &request);
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
