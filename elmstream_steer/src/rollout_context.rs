//! What the fleet's store reader knows of a roll-out when it decides on the next stage.

use elmstream::time::{MILLI, Time};

use crate::{
    canary_analysis::CanaryAnalysis,
    rollout::{self, Rollout},
    rollout_control::RECENT_START,
    rollout_steps::StepContext,
    steer::Steer,
};

/// Fraction of the exposure slack that the last requests before the deadline may use.
const LAST_REQUESTS_SLACK_FRACTION: f64 = 0.5;

impl Steer {
    /// What the next stage of a service's roll-out depends on, as this host knows it; `unix_ms` is
    /// the wall clock in Unix milliseconds.
    pub(crate) fn step_context(
        &self,
        now: Time,
        unix_ms: u64,
        service: &str,
        rollout: &Rollout,
    ) -> StepContext {
        let analysis = self.rollouts.analyses.get(service);
        let since = |at: Time| now.since(at) / MILLI;
        let mut since_order_ms = since(rollout.learned_at);
        if rollout.learned_at.since(self.started) < RECENT_START
            && let Some((progress, _)) = &rollout.progress
        {
            let stored_age_ms = unix_ms.saturating_sub(progress.began_unix_ms);
            since_order_ms =
                since_order_ms.max(stored_age_ms.min(rollout.order.duration_ms.saturating_mul(2)));
        }
        let is_clear = analysis.is_none_or(CanaryAnalysis::is_clear);
        let few_requests_left =
            is_clear && self.few_requests_left(since_order_ms, service, rollout);
        let old_drained = analysis.is_some_and(|analysis| {
            let own = self
                .address_hashes
                .first()
                .is_some_and(|address_hash| analysis.has_drained_old(now, *address_hash));
            own && self
                .members
                .live(now)
                .all(|member| analysis.has_drained_old(now, member.address_hash))
        });
        StepContext {
            stage: rollout.stage(),
            since_order_ms,
            since_stage_ms: rollout.progress.as_ref().map_or(0, |(_, at)| since(*at)),
            duration_ms: rollout.order.duration_ms,
            longest_request_ms: self.longest_request_ms(service),
            propagation_ms: self.settings.bounds.configuration_ms,
            is_bad: analysis.is_some_and(|analysis| analysis.rejection().is_some()),
            trusted: analysis.is_some_and(CanaryAnalysis::is_trusted) || few_requests_left,
            routes_trusted: analysis.is_some_and(CanaryAnalysis::are_routes_trusted)
                || few_requests_left,
            old_drained,
            slots: self.slots(service, &rollout.order.target),
        }
    }

    /// Whether so few requests are expected until the deadline that a bad version could not receive
    /// too many.
    fn few_requests_left(&self, since_order_ms: u64, service: &str, rollout: &Rollout) -> bool {
        let old_answers =
            self.rollouts.analyses.get(service).map_or(0, CanaryAnalysis::old_answers);
        let left_ms = rollout.order.duration_ms.saturating_sub(since_order_ms);
        let reporting_fraction = (rollout::CANARY_SENDERS_MAX / self.fleet_size as f64).min(1.0);
        let answers_per_ms =
            f64::from(old_answers) / since_order_ms.max(1) as f64 / reporting_fraction;
        answers_per_ms * left_ms as f64
            <= self.settings.bounds.exposure_slack * LAST_REQUESTS_SLACK_FRACTION
    }

    /// Longest timeout of the service's routes, in milliseconds.
    fn longest_request_ms(&self, service: &str) -> u64 {
        let configuration = self.view.configuration().into_iter();
        let routes = configuration.flat_map(|configuration| &configuration.routes);
        let service_routes = routes.filter(|r| r.parts.iter().any(|part| part.service == service));
        service_routes.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Slots of a service's usable servers: of the given version, and of all others.
    fn slots(&self, service: &str, version: &str) -> (u32, u32) {
        let mut slots = (0u32, 0u32);
        for (_, entry) in self.servers.of_service(service).filter(|(_, entry)| !entry.is_leaving())
        {
            match entry.server.version == version {
                true => slots.0 = slots.0.saturating_add(entry.server.slots),
                false => slots.1 = slots.1.saturating_add(entry.server.slots),
            }
        }
        slots
    }
}
