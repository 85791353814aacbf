//! Writes of roll-out progress, which the store reader of the fleet makes.

use elmstream::time::Time;
use serde::{Deserialize, Serialize};

use crate::{
    canary_analysis::{CanaryAnalysis, RejectionCause},
    rollout::{Rollout, RolloutProgress, RolloutStage},
    rollout_steps,
    row::{Row, RowContent, RowKey},
    steer::{StateChange, Steer},
    table::Table,
    version::StoreVersion,
};

/// Conditional write of a roll-out's progress, made by the store reader of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutWrite {
    /// Service that is rolled out.
    pub service: String,
    /// Progress to write.
    pub progress: RolloutProgress,
    /// Store counters that the rows of the progress and of the order must have for the write to
    /// succeed; 0 for a row that must not exist.
    pub expected: (u64, u64),
    /// Why the version is rejected; `None` if the write doesn't reject it.
    pub cause: Option<RejectionCause>,
}

impl Steer {
    /// The next write of roll-out progress; `None` if nothing is due or another host is the writer.
    ///
    /// `unix_ms` is the wall clock in Unix milliseconds. It is stored so that hosts that start
    /// later know when the order came.
    pub fn due_rollout_write(&mut self, now: Time, unix_ms: u64) -> Option<RolloutWrite> {
        let idle = !self.has_active_rollouts() && !self.needs_rewrite();
        if idle || !self.knows_progress(now) || !self.maintains_host_list(now) {
            return None;
        }
        let services: Vec<String> = self.rollouts.by_service.keys().cloned().collect();
        services.into_iter().find_map(|service| self.due_write_of(now, unix_ms, &service))
    }

    /// Whether the progress of an order must be written again unchanged: the store lost it, or
    /// numbers the order's row differently.
    fn needs_rewrite(&self) -> bool {
        let order_renumbered = |rollout: &Rollout| {
            let progress = rollout.progress.as_ref();
            progress.is_some_and(|(progress, _)| progress.order != rollout.version)
        };
        self.view.has_retained(Table::Rollouts)
            || self.rollouts.by_service.values().any(order_renumbered)
    }

    fn due_write_of(&self, now: Time, unix_ms: u64, service: &str) -> Option<RolloutWrite> {
        let rollout = self.rollouts.get(service)?;
        let key = RowKey::Progress(service.to_owned());
        let stored = rollout.progress.as_ref().map(|(progress, _)| progress);
        let must_rewrite = stored
            .is_some_and(|stored| stored.order != rollout.version || self.view.is_retained(&key));
        let analysis = self.rollouts.analyses.get(service);
        let context = self.step_context(now, unix_ms, service, rollout);
        let due_stage = rollout_steps::next_stage(self.rollouts.policies.1, &context);
        let stage = due_stage.or(stored.filter(|_| must_rewrite).map(|stored| stored.stage))?;
        let since_order = context.since_order_ms;
        let progress = RolloutProgress {
            order: rollout.version,
            target: rollout.order.target.clone(),
            stage,
            began_unix_ms: stored.map_or(unix_ms.saturating_sub(since_order), |p| p.began_unix_ms),
        };
        let expected = (self.view.store_count(&key), rollout.version.count);
        let cause = analysis
            .and_then(CanaryAnalysis::rejection)
            .filter(|_| stage == RolloutStage::RolledBack)
            .cloned();
        Some(RolloutWrite { service: service.to_owned(), progress, expected, cause })
    }

    /// Applies a write that the store accepted; `version` is the store version of the written row.
    ///
    /// Other hosts are told of it once the table has been read again, which shows what else changed
    /// up to that version.
    pub fn on_rollout_written(
        &mut self,
        now: Time,
        write: &RolloutWrite,
        version: StoreVersion,
    ) -> Vec<StateChange> {
        let key = RowKey::Progress(write.service.clone());
        let content = Some(RowContent::Progress(write.progress.clone()));
        let mut changes = Vec::new();
        if self.view.merge_written(now, Row::new(key.clone(), version, content)) {
            self.apply_row(now, &key, &mut changes);
        }
        self.assign_rollout_roles(now);
        changes
    }
}
