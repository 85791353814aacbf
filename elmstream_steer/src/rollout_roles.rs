//! Roles of backend servers in roll-outs, and the choice of the servers that get canary requests.

use std::collections::BTreeMap;

use elmstream::time::Time;

use crate::{
    hash,
    rollout::{self, RolloutRole, RolloutStage},
    row::{RowContent, RowKey},
    server::ServerEntry,
    servers::ServerIndex,
    steer::Steer,
    table::Table,
};

impl Steer {
    /// Records the version of a server that was listed.
    pub(crate) fn record_version(&mut self, now: Time, service: &str, version: &str) {
        let first_read = self.view.watermark(Table::Servers).confirmed_at.is_none();
        self.rollouts.changed = true;
        self.rollouts.versions.record(now, service, version, first_read);
    }

    /// Assigns roles to servers if they may have changed.
    pub(crate) fn assign_rollout_roles(&mut self, now: Time) {
        if !self.rollouts.may_change_roles(now) {
            return;
        }
        self.rollouts.changed = false;
        let any_begun =
            self.rollouts.by_service.values().any(|r| r.is_active() && r.stage().is_some());
        if any_begun && !self.knows_progress(now) {
            self.rollouts.progress_stale_at = Some(now);
        }
        self.rollouts.versions.release(self.view.watermark(Table::Rules).confirmed_at);
        let canaries = self.canaries();
        let undecided_targets = self.undecided_without_order();
        let rollouts = &self.rollouts;
        for (index, entry) in self.servers.all_mut_indexed() {
            let (service, version) = (&entry.server.service, &entry.server.version);
            entry.rollout_role = match rollouts.get(service) {
                Some(rollout) => {
                    rollout.role(now, version, canaries.contains(&index), entry.known_since)
                }
                None if rollouts.versions.is_held(service, version) => RolloutRole::Excluded,
                None if undecided_targets.get(service).is_some_and(|target| target == version) => {
                    RolloutRole::Excluded
                }
                None => RolloutRole::Unaffected,
            };
        }
    }

    /// Versions whose order is gone though it was not completed, by service. They receive nothing:
    /// they may be bad, and a store restored from a backup may have lost the order.
    fn undecided_without_order(&self) -> BTreeMap<String, String> {
        let services = self.servers.services().filter(|name| self.rollouts.get(name).is_none());
        let undecided_targets = services.filter_map(|service| {
            match self.view.get(&RowKey::Progress(service.to_owned()))? {
                RowContent::Progress(progress) if progress.stage != RolloutStage::Completed => {
                    Some((service.to_owned(), progress.target.clone()))
                }
                _ => None,
            }
        });
        undecided_targets.collect()
    }

    /// Servers that receive canary requests: the first ones of the ordered version, ranked by a
    /// hash of server and order.
    fn canaries(&self) -> Vec<ServerIndex> {
        let mut canaries = Vec::new();
        for (service, rollout) in self.rollouts.by_service.iter().filter(|(_, r)| r.is_active()) {
            let target_version = &rollout.order.target;
            let is_target = |entry: &ServerEntry| {
                entry.server.version == *target_version && !entry.is_leaving()
            };
            let target_servers =
                self.servers.of_service(service).filter(|(_, entry)| is_target(entry));
            let mut ranked: Vec<(u64, ServerIndex)> = target_servers
                .map(|(index, entry)| (hash::combine(entry.hash, rollout.version.count), index))
                .collect();
            ranked.sort_unstable();
            let share = self.settings.bounds.exposure_share;
            let canary_count = rollout::canary_count(ranked.len(), share, self.fleet_size);
            canaries.extend(ranked.into_iter().take(canary_count).map(|(_, index)| index));
        }
        canaries
    }

    /// Whether servers of other versions receive nothing any more, whatever load the servers of the
    /// ordered version can take.
    pub(crate) fn traffic_shifted(&self, service: &str) -> bool {
        self.rollout_stage(service) == Some(RolloutStage::Shift(100))
    }
}
