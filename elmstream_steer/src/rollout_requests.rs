//! Requests during roll-outs: the servers that each may go to, the budgets of canary requests, and
//! counting of outcomes, which fills these budgets.

use elmstream::time::{SECOND, Time};

use crate::{
    PickRequest,
    canary_analysis::route_hash,
    rollout::{CANARY_SHARE, RolloutArm, RolloutRole, RolloutStage},
    rollout_control::{RECENT_START, Rollouts},
    rollout_counts::ObservedAnswer,
    server::Outcome,
    servers::ServerIndex,
    steer::Steer,
};

/// Time without canary requests after the progress was too old to act on. A rejection that could
/// not be stored meanwhile is written and announced within it.
const STALE_PROGRESS_PAUSE: u64 = 2 * SECOND;
/// Highest number of routes of a service that have canary budgets of their own.
const CANARY_ROUTES_MAX: usize = 4;

/// Key of the canary budget of a route.
fn budget_key(service: &str, route: &str) -> String {
    format!("{service} {route}")
}

impl Steer {
    /// Servers that a request may go to.
    pub(crate) fn pick_rollout_arm(&mut self, now: Time, request: &PickRequest<'_>) -> RolloutArm {
        let PickRequest { service, key, route, .. } = *request;
        if self.rollouts.by_service.is_empty() {
            return RolloutArm::Any;
        }
        let is_retry = !request.tried.is_empty();
        let pause_is_over = self
            .rollouts
            .progress_stale_at
            .is_none_or(|progress_stale_at| now.since(progress_stale_at) >= STALE_PROGRESS_PAUSE);
        let progress_recent = pause_is_over && self.knows_progress(now);
        let Rollouts { by_service, canary_budgets, .. } = &mut self.rollouts;
        let Some(rollout) = by_service.get(service) else { return RolloutArm::Any };
        rollout.pick_arm(key, progress_recent, is_retry, || {
            canary_budgets.can_withdraw(&budget_key(service, &route.name))
        })
    }

    /// Records that a request was sent to a server; a canary request is withdrawn from its budget.
    pub(crate) fn record_canary_request(&mut self, service: &str, route: &str, index: ServerIndex) {
        let stage = self.rollout_stage(service);
        let role = self.servers.get(index).map(|entry| entry.rollout_role);
        if stage == Some(RolloutStage::Canary) && role == Some(RolloutRole::Canary) {
            self.rollouts.canary_budgets.withdraw(&budget_key(service, route));
        }
    }

    /// Counts the outcome of a request of a route for the roll-out of the server's service.
    pub fn count_rollout_outcome(
        &mut self,
        now: Time,
        index: ServerIndex,
        route: &str,
        outcome: Outcome,
    ) {
        let Some(entry) = self.servers.get(index) else { return };
        let service = entry.server.service.as_str();
        let rollout = self.rollouts.by_service.get(service).filter(|r| r.is_active());
        let sent_at = match outcome {
            Outcome::Answered { micros, .. } => Time(now.0.saturating_sub(micros)),
            _ => now,
        };
        let answer = ObservedAnswer {
            server: entry.hash as u32,
            route: route_hash(route),
            outcome,
            cold: entry.is_cold(sent_at),
            target: rollout.is_some_and(|r| entry.server.version == r.order.target),
        };
        let slow = match outcome {
            Outcome::Answered { micros, was_warm } => {
                self.rollouts.baselines.record_time(&answer, micros, was_warm)
            }
            _ => false,
        };
        let Some((rollout, stage)) = rollout.and_then(|r| Some((r, r.stage()?))) else { return };
        let counts = self.rollouts.counts.entry(service.to_owned()).or_default();
        let counted = counts.count(&answer, slow);
        if counted && stage == RolloutStage::Canary && rollout.canary_multiplier > 0.0 {
            let service = service.to_owned();
            self.deposit_canary(&service, route);
        }
    }

    /// Deposits a fraction of a canary request for an answer. The deposit is split evenly among the
    /// routes, so that a route with few requests is tested as well.
    fn deposit_canary(&mut self, service: &str, route: &str) {
        let bounds = &self.settings.bounds;
        let (slack, hosts) = (bounds.exposure_slack, self.address_hashes.len());
        let Rollouts { routes, canary_budgets, by_service, .. } = &mut self.rollouts;
        let Some(rollout) = by_service.get(service) else { return };
        let routes = routes.entry(service.to_owned()).or_default();
        if routes.len() < CANARY_ROUTES_MAX && routes.insert(route.to_owned()) {
            // A host that restarts may have used its share of the slack before, so it gets none.
            let ran_before = rollout.learned_at.since(self.started) >= RECENT_START;
            let slack = if ran_before {
                slack * rollout.canary_multiplier / CANARY_ROUTES_MAX as f64
            } else {
                0.0
            };
            canary_budgets.grant(&budget_key(service, route), slack, hosts);
        }
        let route_fraction = 1.0 / routes.len() as f64;
        let share =
            bounds.exposure_share * CANARY_SHARE * rollout.canary_multiplier * route_fraction;
        for route in routes.iter() {
            canary_budgets.deposit(
                &budget_key(service, route),
                share,
                slack * rollout.canary_multiplier * route_fraction,
                hosts,
            );
        }
    }
}
