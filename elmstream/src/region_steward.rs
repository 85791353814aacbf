//! A host's part in its region: the steward's view, its steps, and the row.

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
    /// Live hosts of the region, in the order of their names.
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
            let follows = self.reads_row_when_idle(now);
            if let Some(step) = follows.then(|| self.steward.tick_idle(now)).flatten() {
                self.do_step(now, step, commands);
            }
            return;
        }
        let hosts = self.candidates(now, region);
        let catalog = self.catalog.clone();
        let name = catalog.regions[region.index()].name.clone();
        let taken = self.taken();
        let gone = self.gone();
        let asked = self.asked();
        let view = StewardView {
            catalog: &catalog,
            region,
            region_name: &name,
            hosts: &hosts,
            epoch_taken_by: &taken,
            lost_witnesses: &gone,
            renewal_requests: &asked,
        };
        let steps = self.steward.tick(now, &view);
        for step in steps {
            self.do_step(now, step, commands);
        }
    }

    /// The last round in which each owner of the row's epoch asked.
    fn asked(&self) -> Vec<Renewal> {
        let epoch = self.steward.stored().map_or(0, |s| s.row.epoch);
        let owners = self.steward.stored().map(|s| s.row.owners()).unwrap_or_default();
        let at_epoch =
            self.members.iter().filter(|m| m.latest_epoch() == epoch && m.has_known_incarnation());
        let owners = at_epoch.filter(|m| owners.contains(&m.host_ref()));
        let renewal = |m: &Member| Renewal { owner: m.host_ref(), sequence: m.latest_sequence() };
        owners.map(renewal).collect()
    }

    /// Hosts that have taken the epoch that the steward works on.
    fn taken(&self) -> HashSet<HostRef> {
        let epoch = self.steward.stored().map_or(0, |s| s.row.epoch);
        let taken =
            self.members.iter().filter(|m| m.has_known_incarnation() && m.latest_epoch() >= epoch);
        let mut taken: HashSet<HostRef> = taken.map(Member::host_ref).collect();
        if self.row.epoch >= epoch {
            taken.insert(self.settings.me.clone());
        }
        taken
    }

    /// Witnesses of the row that can promise no more.
    fn gone(&self) -> HashSet<HostRef> {
        let Some(StoredRow { row, .. }) = self.steward.stored() else { return HashSet::new() };
        let witnesses = row.groups.witnesses().chain(row.groups_from.witnesses());
        witnesses.filter(|w| is_gone(&self.members, w)).cloned().collect()
    }

    fn do_step(&mut self, now: Time, step: StewardStep, commands: &mut Vec<Command>) {
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

    /// Takes the row that the steward part has from the table.
    pub(crate) fn take_stored_row(&mut self, now: Time, commands: &mut Vec<Command>) {
        let stored = self.steward.stored().filter(|s| s.version != 0);
        if let Some(row) = stored.map(|s| s.row.clone()) {
            self.take_row(now, row, commands);
        }
    }

    /// Takes a row if it is newer than the present one.
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
        let owned = self.row.owned_by(&self.settings.me).count();
        let Row { region, epoch, settled, .. } = &self.row;
        commands.push(Command::Event(Event::RowTaken(region.clone(), *epoch, *settled, owned)));
    }
}

/// Whether a witness is known to promise no more: another incarnation of it
/// was heard, or neither the host list nor a heartbeat knows it.
fn is_gone(members: &Members, host: &HostRef) -> bool {
    match members.get(&host.host) {
        None => true,
        Some(m) if m.has_known_incarnation() && m.host_ref() != *host => true,
        Some(m) => m.list_status == ListStatus::Absent,
    }
}
