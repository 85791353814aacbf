//! A host's role in its region: running the steward, carrying out its steps, and
//! adopting rows.

use std::collections::HashSet;

use crate::{
    allotment::{Renewal, Row},
    id::{HostRef, RegionId},
    member::{ListStatus, Member, Members},
    message::{Command, Event, Fence},
    node::Node,
    steward::{StewardStep, StewardView, StoredRow},
    time::Time,
    witness_groups::Candidate,
};

impl Node {
    /// Live hosts of the region, sorted by name.
    pub(crate) fn candidates(&self, now: Time, region: RegionId) -> Vec<Candidate> {
        let in_region = |m: &&Member| self.catalog.region_of_domain(&m.domain) == Some(region);
        let live = self.members.iter().filter(|m| m.is_live(now) && m.has_known_incarnation());
        let candidate = |m: &Member| Candidate {
            host: m.host_ref(),
            domain: m.domain.clone(),
            may_own: self.may_own(&m.name),
        };
        live.filter(in_region).map(candidate).collect()
    }

    pub(crate) fn run_steward(&mut self, now: Time, commands: &mut Vec<Command>) {
        let Some(region) = self.region() else { return };
        if !self.is_steward(now) {
            let reads_row = self.reads_row_when_idle(now);
            if let Some(step) = reads_row.then(|| self.steward.tick_idle(now)).flatten() {
                self.run_step(now, step, commands);
            }
            return;
        }
        let hosts = self.candidates(now, region);
        let catalog = self.catalog.clone();
        let region_name = catalog.regions[region.index()].name.clone();
        let epoch_taken_by = self.hosts_at_epoch();
        let lost_witnesses = self.lost_witnesses();
        let renewal_requests = self.renewal_requests();
        let view = StewardView {
            catalog: &catalog,
            region,
            region_name: &region_name,
            hosts: &hosts,
            epoch_taken_by: &epoch_taken_by,
            lost_witnesses: &lost_witnesses,
            renewal_requests: &renewal_requests,
        };
        let steps = self.steward.tick(now, &view);
        for step in steps {
            self.run_step(now, step, commands);
        }
    }

    /// Last heartbeat round of each owner of the stored row's epoch, in which it
    /// asked for a renewal.
    fn renewal_requests(&self) -> Vec<Renewal> {
        let epoch = self.steward.stored().map_or(0, |s| s.row.epoch);
        let owners = self.steward.stored().map(|s| s.row.owners()).unwrap_or_default();
        let at_epoch =
            self.members.iter().filter(|m| m.latest_epoch() == epoch && m.has_known_incarnation());
        let owners = at_epoch.filter(|m| owners.contains(&m.host_ref()));
        let renewal = |m: &Member| Renewal { owner: m.host_ref(), sequence: m.latest_sequence() };
        owners.map(renewal).collect()
    }

    /// Hosts that have taken the epoch of the stored row.
    fn hosts_at_epoch(&self) -> HashSet<HostRef> {
        let epoch = self.steward.stored().map_or(0, |s| s.row.epoch);
        let epoch_taken_by =
            self.members.iter().filter(|m| m.has_known_incarnation() && m.latest_epoch() >= epoch);
        let mut epoch_taken_by: HashSet<HostRef> = epoch_taken_by.map(Member::host_ref).collect();
        if self.row.epoch >= epoch {
            epoch_taken_by.insert(self.settings.me.clone());
        }
        epoch_taken_by
    }

    /// Witnesses of the stored row that can never promise a renewal again.
    fn lost_witnesses(&self) -> HashSet<HostRef> {
        let Some(StoredRow { row, .. }) = self.steward.stored() else { return HashSet::new() };
        let witnesses = row.groups.witnesses().chain(row.groups_from.witnesses());
        witnesses.filter(|w| cannot_promise(&self.members, w)).cloned().collect()
    }

    fn run_step(&mut self, now: Time, step: StewardStep, commands: &mut Vec<Command>) {
        match step {
            StewardStep::Read => commands.extend(self.region_name().map(Command::ReadRow)),
            StewardStep::Write { row, expect } => {
                let moves = row.move_count();
                let event = Event::RowProposed(row.region.clone(), row.epoch, moves);
                commands.push(Command::Event(event));
                commands.push(Command::WriteRow { row, expect });
            }
            StewardStep::Fence(witnesses, epoch) => self.send_fences(&witnesses, epoch, commands),
            StewardStep::Settled(row) => self.take_row(now, row, commands),
        }
    }

    fn send_fences(&mut self, witnesses: &[HostRef], epoch: u64, commands: &mut Vec<Command>) {
        let Some(region) = self.region_name() else {
            return;
        };
        for witness in witnesses {
            let fence = Fence { region: region.clone(), epoch };
            if *witness == self.settings.me {
                let reply = self.on_fence(&fence);
                self.on_fence_reply(reply);
            } else {
                commands.push(Command::Fence(witness.host.clone(), fence));
            }
        }
    }

    /// Adopts the row that the steward last read or wrote, if it is newer.
    pub(crate) fn take_stored_row(&mut self, now: Time, commands: &mut Vec<Command>) {
        let stored = self.steward.stored().filter(|s| s.version != 0);
        if let Some(row) = stored.map(|s| s.row.clone()) {
            self.take_row(now, row, commands);
        }
    }

    /// Adopts a row if it is newer than the present one.
    pub(crate) fn take_row(&mut self, now: Time, row: Row, commands: &mut Vec<Command>) {
        if !row.is_newer_than(&self.row) {
            return;
        }
        self.row = row;
        if self.row.settled {
            self.settled_at = now;
        }
        self.refresh_ownership(now);
        self.request_early_heartbeat();
        let owned_count = self.row.owned_by(&self.settings.me).count();
        let Row { region, epoch, settled, .. } = &self.row;
        commands.push(Command::Event(Event::RowTaken(
            region.clone(),
            *epoch,
            *settled,
            owned_count,
        )));
    }
}

/// Whether a witness can never promise again: another incarnation of the host is
/// known, or the host is missing from the host list.
fn cannot_promise(members: &Members, host: &HostRef) -> bool {
    match members.get(&host.host) {
        None => true,
        Some(m) if m.has_known_incarnation() && m.host_ref() != *host => true,
        Some(m) => m.list_status == ListStatus::Absent,
    }
}
