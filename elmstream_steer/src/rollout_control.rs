//! Roll-outs as one host knows them: orders of operators and their progress, as the store has them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use elmstream::time::{SECOND, Time};

use crate::{
    budget::Budgets,
    canary_analysis::{AnalysisMethod, CanaryAnalysis},
    held_versions::Versions,
    rollout::{self, COMPLETED_EXCLUSION, Rollout, RolloutOrder, RolloutProgress, RolloutStage},
    rollout_counts::{Baselines, RolloutCounts},
    rollout_steps::StepPolicy,
    row::{RowContent, RowKey},
    steer::Steer,
    table::Table,
};

/// A host that learned of an order this soon after its own start takes the age of the order from
/// the stored progress, that is, from the host that saw the order first.
pub(crate) const RECENT_START: u64 = 3 * SECOND;

/// Roll-outs as one host knows them.
#[derive(Clone, Debug)]
pub(crate) struct Rollouts {
    pub by_service: BTreeMap<String, Rollout>,
    /// Budgets of canary requests, by service and route.
    pub canary_budgets: Budgets,
    pub counts: HashMap<String, RolloutCounts>,
    /// Routes of each service that callers requested at this host since the order.
    pub routes: HashMap<String, BTreeSet<String>>,
    pub baselines: Baselines,
    pub analyses: HashMap<String, CanaryAnalysis>,
    pub versions: Versions,
    /// Whether servers, orders or progress changed since roles were last assigned.
    pub changed: bool,
    /// When the progress was last too old to act on; `None` if it never was.
    pub progress_stale_at: Option<Time>,
    pub policies: (AnalysisMethod, StepPolicy),
}

impl Rollouts {
    pub fn new(seed: u64) -> Rollouts {
        Rollouts {
            by_service: BTreeMap::new(),
            canary_budgets: Budgets::new(seed),
            counts: HashMap::new(),
            routes: HashMap::new(),
            baselines: Baselines::default(),
            analyses: HashMap::new(),
            versions: Versions::default(),
            changed: false,
            progress_stale_at: None,
            policies: (AnalysisMethod::default(), StepPolicy::default()),
        }
    }

    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Whether roles of servers may change without new input, because time passes.
    pub fn may_change_roles(&self, now: Time) -> bool {
        let recent =
            |(_, since): &(RolloutProgress, Time)| now.since(*since) < COMPLETED_EXCLUSION + SECOND;
        let changes_with_time =
            |r: &Rollout| r.is_active() || r.progress.as_ref().is_some_and(recent);
        self.changed || self.versions.has_held() || self.by_service.values().any(changes_with_time)
    }
}

impl Steer {
    /// Replaces the analysis method and the step policy; used by simulations that compare them.
    pub fn set_rollout_policies(
        &mut self,
        analysis_method: AnalysisMethod,
        step_policy: StepPolicy,
    ) {
        self.rollouts.policies = (analysis_method, step_policy);
    }

    /// Applies a new, changed or removed order of a service.
    pub(crate) fn on_rollout_order(
        &mut self,
        now: Time,
        service: &str,
        order: Option<&RolloutOrder>,
    ) {
        self.rollouts.changed = true;
        self.urgent = true;
        let key = RowKey::Rollout(service.to_owned());
        let Some((order, version)) = order.zip(self.view.row_version(&key)) else {
            self.rollouts.by_service.remove(service);
            return;
        };
        let existing = self.rollouts.by_service.get_mut(service);
        // A store restored from a backup numbers its rows again, in a new era; the order is
        // unchanged.
        let carried_over = existing.filter(|k| k.order == *order && k.version.era < version.era);
        if let Some(existing) = carried_over {
            existing.version = version;
        } else {
            self.rollouts.counts.remove(service);
            self.rollouts.routes.remove(service);
            self.rollouts.analyses.remove(service);
            let canary_multiplier = rollout::canary_multiplier(self.hash, version, self.fleet_size);
            let new = Rollout {
                order: order.clone(),
                version,
                learned_at: now,
                progress: None,
                canary_multiplier,
            };
            self.rollouts.by_service.insert(service.to_owned(), new);
        }
        self.on_rollout_progress(now, service);
    }

    /// Stage of a service's roll-out; `None` if there is no order or it has not begun.
    pub fn rollout_stage(&self, service: &str) -> Option<RolloutStage> {
        self.rollouts.get(service)?.stage()
    }

    /// Applies the stored progress of a service's order. Returns the ordered version and the stage
    /// if the stage is new.
    pub(crate) fn on_rollout_progress(
        &mut self,
        now: Time,
        service: &str,
    ) -> Option<(String, RolloutStage)> {
        self.rollouts.changed = true;
        self.urgent = true;
        let rollout = self.rollouts.by_service.get_mut(service)?;
        let content = self.view.get(&RowKey::Progress(service.to_owned()));
        let Some(RowContent::Progress(progress)) = content else { return None };
        if !progress.belongs_to(&rollout.order, rollout.version) {
            return None;
        }
        let before = rollout.progress.as_ref().map(|(known, since)| (known.stage, *since));
        let since = before.filter(|(stage, _)| *stage == progress.stage);
        rollout.progress = Some((progress.clone(), since.map_or(now, |(_, since)| since)));
        since.is_none().then(|| (progress.target.clone(), progress.stage))
    }

    /// Whether any roll-out is undecided, so that its progress must be known.
    pub(crate) fn has_active_rollouts(&self) -> bool {
        self.rollouts.by_service.values().any(Rollout::is_active)
    }

    /// Since when this host has needed the progress of roll-outs; `None` if none is active.
    pub(crate) fn active_rollout_since(&self) -> Option<Time> {
        let active = self.rollouts.by_service.values().filter(|rollout| rollout.is_active());
        active.map(|rollout| rollout.learned_at).min()
    }

    /// Whether this host knows an order but has never confirmed the table of progress.
    pub fn awaits_rollout_progress(&self) -> bool {
        !self.rollouts.by_service.is_empty()
            && self.view.watermark(Table::Rollouts).confirmed_at.is_none()
    }

    /// Whether the progress of roll-outs is known recently enough to act on.
    pub(crate) fn knows_progress(&self, now: Time) -> bool {
        let max_age = rollout::max_progress_age(self.settings.bounds.rollback_ms);
        self.view.age(now, Table::Rollouts).is_some_and(|age| age < max_age)
    }
}
