//! Inherited servers: backend servers taken over from another owner, whose
//! requests may still run there.

use crate::{id::HostRef, lease::LEASE_LENGTH, message::Command, node::Node, time::Time};

/// Backend server that was taken over from another owner.
#[derive(Debug)]
pub(crate) struct InheritedServer {
    /// Former owner.
    pub(crate) from: Option<HostRef>,
    /// Epoch at which the owner changed.
    pub(crate) epoch: u64,
    /// When this host took the server over.
    pub(crate) taken_over_at: Time,
    /// Whether the former owner released the server, which it may do with
    /// requests in flight.
    pub(crate) released: bool,
    /// Requests in flight that the former owner last reported, and when.
    pub(crate) reported: Option<(u32, Time)>,
    /// Number of requests that the server last reported to be running.
    pub(crate) probed_requests: Option<u32>,
}

/// Whether requests of a service end no later than the lease of their owner.
///
/// A service with a longer deadline only begins its requests under the lease;
/// they may outlast it.
pub fn is_bounded_by_lease(deadline: u64) -> bool {
    deadline <= LEASE_LENGTH
}

impl Node {
    /// Reserves the slots that requests of former owners may still use.
    pub(crate) fn update_reserved_slots(&mut self, now: Time) {
        let mut inherited = std::mem::take(&mut self.inherited);
        inherited.retain(|name, inherited| {
            self.update_reported_requests(now, name, inherited);
            let count = self.reserved_slots(now, name, inherited);
            self.admissions.set_reserved(name, count);
            count > 0
        });
        self.inherited = inherited;
    }

    /// Records the number of requests that a server's former owner reports to be
    /// in flight.
    fn update_reported_requests(&self, now: Time, name: &str, inherited: &mut InheritedServer) {
        let Some(from) = &inherited.from else { return };
        let member = self.members.get(&from.host);
        let same_incarnation =
            member.filter(|m| m.incarnation == from.incarnation && m.is_heard(now));
        if let Some(member) = same_incarnation.filter(|m| m.epoch >= inherited.epoch) {
            let heard_at = member.last_heard.unwrap_or(now);
            inherited.reported = Some((member.lingering_at(name), heard_at));
        }
    }

    /// Number of slots that requests of a server's former owner may still use.
    ///
    /// The last report of the former owner stays valid for a lease, or for the
    /// deadline of the service if that is longer. Without a report, its requests
    /// have ended together with its lease, unless it released the server early or
    /// the deadline exceeds the lease. In these cases all slots count as used;
    /// with the longer deadline, the server's own count of running requests
    /// lowers that number.
    fn reserved_slots(&self, now: Time, name: &str, inherited: &InheritedServer) -> u32 {
        let is_other = inherited.from.as_ref().is_some_and(|from| *from != self.settings.me);
        let id = self.catalog.backend(name).filter(|_| is_other);
        let Some(backend) = id.map(|id| &self.catalog.backends[id.index()]) else { return 0 };
        let deadline = self.catalog.services[backend.service.index()].deadline;
        let is_bounded = is_bounded_by_lease(deadline);
        let (count, since) = match inherited.reported {
            Some(report) => report,
            None if is_bounded && !inherited.released => return 0,
            None => (backend.slots, inherited.taken_over_at),
        };
        if now.since(since) >= deadline.max(LEASE_LENGTH) {
            return 0;
        }
        let running = inherited.probed_requests.filter(|_| !is_bounded);
        let others_running = running.map(|n| n.saturating_sub(self.admissions.in_flight(name)));
        others_running.map_or(count, |others_running| others_running.min(count))
    }

    /// Records how many requests a backend server says that it runs.
    pub fn on_probe_reply(&mut self, backend: &str, running: u32) {
        if let Some(inherited) = self.inherited.get_mut(backend) {
            inherited.probed_requests = Some(running);
        }
    }

    /// Asks all inherited servers how many requests they run.
    pub(crate) fn probe_inherited_servers(&self, commands: &mut Vec<Command>) {
        commands.extend(self.inherited.keys().cloned().map(Command::Probe));
    }
}
