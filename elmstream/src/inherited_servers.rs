//! Servers that came from another owner, whose requests may still run there.

use crate::{id::HostRef, lease::LEASE_LENGTH, message::Command, node::Node, time::Time};

/// A server that came from another owner.
#[derive(Debug)]
pub(crate) struct InheritedServer {
    /// The former owner.
    pub(crate) from: Option<HostRef>,
    /// The epoch at which it changed hands.
    pub(crate) epoch: u64,
    /// When it was taken here.
    pub(crate) since: Time,
    /// Whether the former owner released it while it may have had requests.
    pub(crate) released: bool,
    /// The former owner's last word of its requests there, and when it came.
    pub(crate) reported: Option<(u32, Time)>,
    /// What the server said last of how many requests it runs.
    pub(crate) probed: Option<u32>,
}

/// Whether requests of a service end with their owner's lease.
///
/// Longer ones begin under the lease and may outlast it.
pub fn is_bounded_by_lease(deadline: u64) -> bool {
    deadline <= LEASE_LENGTH
}

impl Node {
    /// Keeps slots free that former owners' requests may still use.
    pub(crate) fn update_reserved_slots(&mut self, now: Time) {
        let mut inherited = std::mem::take(&mut self.inherited);
        inherited.retain(|name, inherited| {
            self.listen(now, name, inherited);
            let count = self.reserved(now, name, inherited);
            self.admissions.set_reserved(name, count);
            count > 0
        });
        self.inherited = inherited;
    }

    /// Notes what the former owner of a server says of its requests there.
    fn listen(&self, now: Time, name: &str, inherited: &mut InheritedServer) {
        let Some(from) = &inherited.from else { return };
        let member = self.members.get(&from.host);
        let same = member.filter(|m| m.incarnation == from.incarnation && m.is_heard(now));
        if let Some(member) = same.filter(|m| m.epoch >= inherited.epoch) {
            let heard = member.last_heard.unwrap_or(now);
            inherited.reported = Some((member.lingering_at(name), heard));
        }
    }

    /// Slots that a server's former owner may still use.
    ///
    /// A former owner that is heard tells them itself; its last word holds for
    /// a lease, or for the service's deadline if that is longer. Of one that
    /// was never heard, requests are over with its lease, unless it released
    /// the server or the deadline is longer: then all slots may be in use, and
    /// for the longer deadline the server itself is asked.
    fn reserved(&self, now: Time, name: &str, inherited: &InheritedServer) -> u32 {
        let is_other = inherited.from.as_ref().is_some_and(|from| *from != self.settings.me);
        let id = self.catalog.backend(name).filter(|_| is_other);
        let Some(backend) = id.map(|id| &self.catalog.backends[id.index()]) else { return 0 };
        let deadline = self.catalog.services[backend.service.index()].deadline;
        let bounded = is_bounded_by_lease(deadline);
        let (count, since) = match inherited.reported {
            Some(told) => told,
            None if bounded && !inherited.released => return 0,
            None => (backend.slots, inherited.since),
        };
        if now.since(since) >= deadline.max(LEASE_LENGTH) {
            return 0;
        }
        let running = inherited.probed.filter(|_| !bounded);
        let others = running.map(|n| n.saturating_sub(self.admissions.in_flight(name)));
        others.map_or(count, |others| others.min(count))
    }

    /// Takes a backend server's own word of how many requests it runs.
    pub fn on_probe_reply(&mut self, backend: &str, running: u32) {
        if let Some(inherited) = self.inherited.get_mut(backend) {
            inherited.probed = Some(running);
        }
    }

    /// Asks the servers whose former owners are silent.
    pub(crate) fn probe_inherited_servers(&self, commands: &mut Vec<Command>) {
        commands.extend(self.inherited.keys().cloned().map(Command::Probe));
    }
}
