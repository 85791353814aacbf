//! A host's part in its region: the steward's view, its steps, and the row.

use std::collections::HashSet;

use crate::{
    allotment::{Renewal, Row},
    group::Candidate,
    id::{HostRef, RegionId},
    member::{Listed, Member, Members},
    message::{Command, Event, Fence},
    node::Node,
    steward::{Step, Stored, View},
    time::Time,
};

impl Node {
    /// Live hosts of the region, in the order of their names.
    pub(crate) fn candidates(&self, now: Time, region: RegionId) -> Vec<Candidate> {
        let in_region = |m: &&Member| self.catalog.region_of_domain(&m.domain) == Some(region);
        let live = self.members.iter().filter(|m| m.is_live(now) && m.is_known());
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
            let follows = self.follows_row(now);
            if let Some(step) = follows.then(|| self.steward.idle(now)).flatten() {
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
        let view = View {
            catalog: &catalog,
            region,
            name: &name,
            hosts: &hosts,
            taken: &taken,
            gone: &gone,
            asked: &asked,
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
        let at_epoch = self.members.iter().filter(|m| m.known_epoch() == epoch && m.is_known());
        let owners = at_epoch.filter(|m| owners.contains(&m.host_ref()));
        let renewal = |m: &Member| Renewal { owner: m.host_ref(), sequence: m.known_sequence() };
        owners.map(renewal).collect()
    }

    /// Hosts that have taken the epoch that the steward works on.
    fn taken(&self) -> HashSet<HostRef> {
        let epoch = self.steward.stored().map_or(0, |s| s.row.epoch);
        let taken = self.members.iter().filter(|m| m.is_known() && m.known_epoch() >= epoch);
        let mut taken: HashSet<HostRef> = taken.map(Member::host_ref).collect();
        if self.row.epoch >= epoch {
            taken.insert(self.settings.me.clone());
        }
        taken
    }

    /// Witnesses of the row that can promise no more.
    fn gone(&self) -> HashSet<HostRef> {
        let Some(Stored { row, .. }) = self.steward.stored() else { return HashSet::new() };
        let witnesses = row.groups.witnesses().chain(row.groups_from.witnesses());
        witnesses.filter(|w| is_gone(&self.members, w)).cloned().collect()
    }

    fn do_step(&mut self, now: Time, step: Step, commands: &mut Vec<Command>) {
        match step {
            Step::Read => commands.extend(self.region_name().map(Command::ReadRow)),
            Step::Write { row, expect } => {
                let moves = row.moves();
                let event = Event::RowProposed(row.region.clone(), row.epoch, moves);
                commands.push(Command::Event(event));
                commands.push(Command::WriteRow { row, expect });
            }
            Step::Fence(witnesses, epoch) => self.send_fences(&witnesses, epoch, commands),
            Step::Settled(row) => self.take_row(now, row, commands),
        }
    }

    fn send_fences(&mut self, witnesses: &[HostRef], epoch: u64, commands: &mut Vec<Command>) {
        let Some(region) = self.region_name() else {
            return;
        };
        for witness in witnesses {
            let fence = Fence { region: region.clone(), epoch };
            if *witness == self.settings.me {
                let reply = self.fence(&fence);
                self.fence_reply(reply);
            } else {
                commands.push(Command::Fence(witness.host.clone(), fence));
            }
        }
    }

    /// Takes the row that the steward part has from the table.
    pub(crate) fn adopt_stored(&mut self, now: Time, commands: &mut Vec<Command>) {
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
        self.reown(now);
        self.beat_soon();
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
        Some(m) if m.is_known() && m.host_ref() != *host => true,
        Some(m) => m.listed == Listed::Absent,
    }
}
