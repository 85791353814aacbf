//! Roll-outs at one host: roles of servers, the servers that a request may go to, counting and
//! reporting outcomes, and the progress that the store reader of the fleet writes next.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use elmstream::time::{MILLI, SECOND, Time};
use serde::{Deserialize, Serialize};

use crate::{
    PickRequest,
    budget::Budgets,
    canary_analysis::{AnalysisMethod, CanaryAnalysis, RejectionCause, route_hash},
    hash,
    heartbeat::Message,
    reader_rank::RankedReader,
    rollout::{
        self, CANARY_SHARE, COMPLETED_EXCLUSION, Rollout, RolloutArm, RolloutOrder,
        RolloutProgress, RolloutRole, RolloutStage,
    },
    rollout_counts::{Baselines, ObservedAnswer, RolloutCounts, RolloutReport},
    rollout_steps::{self, StepContext, StepPolicy},
    server::{Outcome, ServerEntry},
    servers::ServerIndex,
    steer::{StateChange, Steer},
    version::StoreVersion,
    view::{Row, RowContent, RowKey, Table},
};

/// A host that learned of an order this soon after its own start takes the age of the order from
/// the stored progress, that is, from the host that saw the order first.
const RECENT_START: u64 = 3 * SECOND;

/// Time without canary requests after the progress was too old to act on. A rejection that could
/// not be stored meanwhile is written and announced within it.
const STALE_PROGRESS_PAUSE: u64 = 2 * SECOND;
/// Fraction of the exposure slack that the last requests before the deadline may use.
const LAST_REQUESTS_SLACK_FRACTION: f64 = 0.5;
/// Highest number of routes of a service that have canary budgets of their own.
const CANARY_ROUTES_MAX: usize = 4;

/// Roll-outs as one host knows them.
#[derive(Clone, Debug)]
pub(crate) struct Rollouts {
    by_service: BTreeMap<String, Rollout>,
    /// Budgets of canary requests, by service and route.
    canary_budgets: Budgets,
    counts: HashMap<String, RolloutCounts>,
    /// Routes of each service that callers requested at this host since the order.
    routes: HashMap<String, BTreeSet<String>>,
    baselines: Baselines,
    analyses: HashMap<String, CanaryAnalysis>,
    versions: Versions,
    /// Whether servers, orders or progress changed since roles were last assigned.
    changed: bool,
    /// When the progress was last too old to act on; `None` if it never was.
    progress_stale_at: Option<Time>,
    policies: (AnalysisMethod, StepPolicy),
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

    fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Whether roles of servers may change without new input, because time passes.
    fn may_change_roles(&self, now: Time) -> bool {
        let recent =
            |(_, since): &(RolloutProgress, Time)| now.since(*since) < COMPLETED_EXCLUSION + SECOND;
        let changes_with_time =
            |r: &Rollout| r.is_active() || r.progress.as_ref().is_some_and(recent);
        self.changed || self.versions.has_held() || self.by_service.values().any(changes_with_time)
    }
}

/// Versions that servers of each service were seen with, and since when a version is held back. A
/// new version may belong to an order that this host has not learned of yet, so its servers receive
/// nothing until the rules are confirmed as of a later time.
#[derive(Clone, Debug, Default)]
struct Versions(HashMap<String, HashMap<String, Option<Time>>>);

impl Versions {
    fn record(&mut self, now: Time, service: &str, version: &str, first_read: bool) {
        let known = self.0.entry(service.to_owned()).or_default();
        if !known.contains_key(version) {
            let is_first = first_read || known.is_empty();
            known.insert(version.to_owned(), (!is_first).then_some(now));
        }
    }

    fn release(&mut self, rules_confirmed_at: Option<Time>) {
        for since in self.0.values_mut().flat_map(HashMap::values_mut) {
            if since.is_some_and(|since| {
                rules_confirmed_at.is_some_and(|confirmed_at| confirmed_at > since)
            }) {
                *since = None;
            }
        }
    }

    fn has_held(&self) -> bool {
        self.0.values().flat_map(HashMap::values).any(Option::is_some)
    }

    fn is_held(&self, service: &str, version: &str) -> bool {
        self.0.get(service).and_then(|known| known.get(version)).is_some_and(Option::is_some)
    }
}

/// Key of the canary budget of a route.
fn budget_key(service: &str, route: &str) -> String {
    format!("{service} {route}")
}

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
    /// Replaces the analysis method and the step policy; used by simulations that compare them.
    pub fn set_rollout_policies(
        &mut self,
        analysis_method: AnalysisMethod,
        step_policy: StepPolicy,
    ) {
        self.rollouts.policies = (analysis_method, step_policy);
    }

    // Store updates.

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

    // Servers and requests.

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

    /// Whether the progress of roll-outs is known recently enough to act on.
    fn knows_progress(&self, now: Time) -> bool {
        let max_age = rollout::max_progress_age(self.settings.bounds.rollback_ms);
        self.view.age(now, Table::Rollouts).is_some_and(|age| age < max_age)
    }

    /// Whether servers of other versions receive nothing any more, whatever load the servers of the
    /// ordered version can take.
    pub(crate) fn traffic_shifted(&self, service: &str) -> bool {
        self.rollout_stage(service) == Some(RolloutStage::Shift(100))
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

    // Reports.

    /// Reports on roll-outs that are due, with their destination. If this host is the destination,
    /// it takes them in itself.
    pub(crate) fn rollout_reports(&mut self, now: Time) -> Vec<(SocketAddr, Message)> {
        let mut due = Vec::new();
        for (service, rollout) in &self.rollouts.by_service {
            let shifted = rollout.stage() == Some(RolloutStage::Shift(100));
            if rollout.is_active()
                && rollout.stage().is_some()
                && (rollout.canary_multiplier > 0.0 || shifted)
            {
                let report = self.report_of(service, rollout);
                due.push((service.clone(), report));
            }
        }
        let reader = if due.is_empty() { None } else { self.first_reader(now) };
        let mut messages = Vec::new();
        for (service, report) in due {
            let counts = self.rollouts.counts.entry(service).or_default();
            let Some(report) = counts.report(now, report) else { continue };
            match reader {
                None => self.on_rollout_report(now, report),
                Some(reader) => messages.push((reader, Message::RolloutReport(Box::new(report)))),
            }
        }
        messages
    }

    fn report_of(&self, service: &str, rollout: &Rollout) -> RolloutReport {
        let old = self
            .servers
            .of_service(service)
            .filter(|(_, entry)| entry.rollout_role == RolloutRole::Old);
        let in_flight: u32 = old.map(|(_, entry)| entry.own_in_flight).sum();
        RolloutReport {
            service: hash::of(service) as u32,
            order: rollout.version,
            address_hash: self.address_hashes.first().copied().unwrap_or_default(),
            start: self.start_hash,
            region: self.settings.host.region.clone(),
            target: Vec::new(),
            old: Vec::new(),
            stage: rollout.stage(),
            old_drained: rollout.stage() == Some(RolloutStage::Shift(100)) && in_flight == 0,
        }
    }

    /// Takes in a host's report on a roll-out.
    pub fn on_rollout_report(&mut self, now: Time, report: RolloutReport) {
        let Rollouts { by_service, analyses, policies, .. } = &mut self.rollouts;
        let service = by_service.iter().find(|(service, rollout)| {
            hash::of(service) as u32 == report.service && rollout.version == report.order
        });
        let Some((service, _)) = service else { return };
        let analysis =
            analyses.entry(service.clone()).or_insert_with(|| CanaryAnalysis::new(policies.0));
        analysis.on_report(now, report);
    }

    /// Peer address of the first-ranked store reader, which analyses reports and writes progress
    /// for the fleet; `None` if that is this host.
    fn first_reader(&self, now: Time) -> Option<SocketAddr> {
        let own = RankedReader { host: self.hash, read_ms: self.store_ms, location: ("", "") };
        let candidates = self.members.live(now).filter(|member| !member.leaving);
        let others = candidates.filter_map(|member| {
            let reader =
                RankedReader { host: member.hash, read_ms: member.store_ms?, location: ("", "") };
            Some((reader.order(), member.host.peers))
        });
        let first = others.min()?;
        let is_reader = self.store_schedule.is_served() && !self.leaving && own.order() < first.0;
        (!is_reader).then_some(first.1)
    }

    // Decisions for the fleet.

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

    fn step_context(
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

    /// Canary analysis of a service, for logs and metrics; `None` if no report has come in.
    pub fn rollout_analysis(&self, service: &str) -> Option<&CanaryAnalysis> {
        self.rollouts.analyses.get(service)
    }
}
