//! Carries roll-outs out at one host: where servers stand, which of them a request may go to,
//! what is counted and reported, and what the host that writes for all writes next.

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
        self, CANARY_SHARE, Rollout, RolloutArm, RolloutOrder, RolloutProgress, RolloutRole,
        RolloutStage, STOPPED,
    },
    rollout_counts::{Baselines, ObservedAnswer, RolloutCounts, RolloutReport},
    rollout_steps::{self, StepContext, StepPolicy},
    server::{Outcome, ServerEntry},
    servers::ServerIndex,
    steer::{StateChange, Steer},
    version::StoreVersion,
    view::{RowContent, RowKey, Table},
};

/// A host that learned of an order this soon after its own start goes by when another one saw
/// it first.
const LATE_START: u64 = 3 * SECOND;

/// After the progress was too old to go by, a host sends nothing on trial for this long: a
/// verdict that nobody could write meanwhile is written and told first.
const RESUMED: u64 = 2 * SECOND;
/// Part of the slack on a bad version's requests that the last ones may use.
const FEW_PART: f64 = 0.5;
/// Routes of a service that are tried out at most.
const ROUTES: usize = 4;

/// Roll-outs as one host knows them.
#[derive(Clone, Debug)]
pub(crate) struct Rollouts {
    by_service: BTreeMap<String, Rollout>,
    /// What may be sent on trial, by service.
    exposures: Budgets,
    evidence: HashMap<String, RolloutCounts>,
    /// Routes of each service that callers have asked this host for since the order.
    routes: HashMap<String, BTreeSet<String>>,
    usuals: Baselines,
    judges: HashMap<String, CanaryAnalysis>,
    versions: Versions,
    /// Servers, orders or their progress have changed since servers were last looked at.
    changed: bool,
    /// When what is known of the progress was last too old to go by; none if it never was.
    stale: Option<Time>,
    ways: (AnalysisMethod, StepPolicy),
}

impl Rollouts {
    pub fn new(seed: u64) -> Rollouts {
        Rollouts {
            by_service: BTreeMap::new(),
            exposures: Budgets::new(seed),
            evidence: HashMap::new(),
            routes: HashMap::new(),
            usuals: Baselines::default(),
            judges: HashMap::new(),
            versions: Versions::default(),
            changed: false,
            stale: None,
            ways: (AnalysisMethod::default(), StepPolicy::default()),
        }
    }

    fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Where servers stand may change without news.
    fn moves(&self, now: Time) -> bool {
        let recent = |(_, since): &(RolloutProgress, Time)| now.since(*since) < STOPPED + SECOND;
        let going = |r: &Rollout| r.is_active() || r.progress.as_ref().is_some_and(recent);
        self.changed || self.versions.waits() || self.by_service.values().any(going)
    }
}

/// Versions that servers of each service have been seen with. A new one may be of an order
/// that this host has not heard of yet, so it waits until the rules are known as of a later
/// moment.
#[derive(Clone, Debug, Default)]
struct Versions(HashMap<String, HashMap<String, Option<Time>>>);

impl Versions {
    fn see(&mut self, now: Time, service: &str, version: &str, first_reading: bool) {
        let known = self.0.entry(service.to_owned()).or_default();
        if !known.contains_key(version) {
            let first = first_reading || known.is_empty();
            known.insert(version.to_owned(), (!first).then_some(now));
        }
    }

    fn accept(&mut self, rules_fresh: Option<Time>) {
        for since in self.0.values_mut().flat_map(HashMap::values_mut) {
            if since.is_some_and(|since| rules_fresh.is_some_and(|fresh| fresh > since)) {
                *since = None;
            }
        }
    }

    fn waits(&self) -> bool {
        self.0.values().flat_map(HashMap::values).any(Option::is_some)
    }

    fn holds_back(&self, service: &str, version: &str) -> bool {
        self.0.get(service).and_then(|known| known.get(version)).is_some_and(Option::is_some)
    }
}

/// Requests that are counted apart on trial.
fn kind(service: &str, route: &str) -> String {
    format!("{service} {route}")
}

/// What the host that writes for all has to write of a roll-out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutWrite {
    /// The service.
    pub service: String,
    /// What is to be written.
    pub progress: RolloutProgress,
    /// The store's counters that the rows of the progress and of the order must have; 0 for
    /// one that is not there.
    pub expected: (u64, u64),
    /// Why the version is turned away, if it is.
    pub cause: Option<RejectionCause>,
}

impl Steer {
    /// Judges and steps in other ways than usual.
    pub fn set_rollout_policies(&mut self, judging: AnalysisMethod, stepping: StepPolicy) {
        self.rollouts.ways = (judging, stepping);
    }

    // The store.

    /// An order has come, changed or gone.
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
        let known = self.rollouts.by_service.get_mut(service);
        // A store that came back from a copy counts anew; the order is the same.
        let same = known.filter(|k| k.order == *order && k.version.era < version.era);
        if let Some(known) = same {
            known.version = version;
        } else {
            self.rollouts.evidence.remove(service);
            self.rollouts.routes.remove(service);
            self.rollouts.judges.remove(service);
            let trials = rollout::canary_multiplier(self.hash, version, self.fleet_size);
            let new = Rollout {
                order: order.clone(),
                version,
                learned_at: now,
                progress: None,
                canary_multiplier: trials,
            };
            self.rollouts.by_service.insert(service.to_owned(), new);
        }
        self.on_rollout_progress(now, service);
    }

    /// How far the roll-out of a service has come; none if it has not begun.
    pub fn rollout_stage(&self, service: &str) -> Option<RolloutStage> {
        self.rollouts.get(service)?.stage()
    }

    /// The progress of a service's order may have changed; its version and stage if that is
    /// new.
    pub(crate) fn on_rollout_progress(
        &mut self,
        now: Time,
        service: &str,
    ) -> Option<(String, RolloutStage)> {
        self.rollouts.changed = true;
        self.urgent = true;
        let rollout = self.rollouts.by_service.get_mut(service)?;
        let item = self.view.get(&RowKey::Progress(service.to_owned()));
        let Some(RowContent::Progress(progress)) = item else { return None };
        if !progress.belongs_to(&rollout.order, rollout.version) {
            return None;
        }
        let before = rollout.progress.as_ref().map(|(known, since)| (known.stage, *since));
        let since = before.filter(|(stage, _)| *stage == progress.stage);
        rollout.progress = Some((progress.clone(), since.map_or(now, |(_, since)| since)));
        since.is_none().then(|| (progress.target.clone(), progress.stage))
    }

    /// Whether roll-outs are under way, so that their progress has to be known.
    pub(crate) fn has_active_rollouts(&self) -> bool {
        self.rollouts.by_service.values().any(Rollout::is_active)
    }

    /// Since when this host has had to know the progress of roll-outs.
    pub(crate) fn active_rollout_since(&self) -> Option<Time> {
        let going = self.rollouts.by_service.values().filter(|rollout| rollout.is_active());
        going.map(|rollout| rollout.learned_at).min()
    }

    /// Whether this host has an order of which it cannot know how far it has come.
    pub fn awaits_rollout_progress(&self) -> bool {
        !self.rollouts.by_service.is_empty()
            && self.view.watermark(Table::Rollouts).confirmed_at.is_none()
    }

    // Servers and requests.

    /// A server has been listed with a version.
    pub(crate) fn record_version(&mut self, now: Time, service: &str, version: &str) {
        let first = self.view.watermark(Table::Servers).confirmed_at.is_none();
        self.rollouts.changed = true;
        self.rollouts.versions.see(now, service, version, first);
    }

    /// Finds out where servers stand, if that may have changed.
    pub(crate) fn assign_rollout_roles(&mut self, now: Time) {
        if !self.rollouts.moves(now) {
            return;
        }
        self.rollouts.changed = false;
        let begun = self.rollouts.by_service.values().any(|r| r.is_active() && r.stage().is_some());
        if begun && !self.knows_progress(now) {
            self.rollouts.stale = Some(now);
        }
        self.rollouts.versions.accept(self.view.watermark(Table::Rules).confirmed_at);
        let firsts = self.canaries();
        let undecided = self.without_order();
        let rollouts = &self.rollouts;
        for (index, entry) in self.servers.all_mut_indexed() {
            let (service, version) = (&entry.server.service, &entry.server.version);
            entry.rollout_role = match rollouts.get(service) {
                Some(rollout) => {
                    rollout.role(now, version, firsts.contains(&index), entry.known_since)
                }
                None if rollouts.versions.holds_back(service, version) => RolloutRole::Excluded,
                None if undecided.get(service).is_some_and(|target| target == version) => {
                    RolloutRole::Excluded
                }
                None => RolloutRole::Unaffected,
            };
        }
    }

    /// Versions that were not rolled out to the end and whose order is gone, by service. They get
    /// nothing: they may be bad, and a store that came back from a copy may have lost the order.
    fn without_order(&self) -> BTreeMap<String, String> {
        let services = self.servers.services().filter(|name| self.rollouts.get(name).is_none());
        let undecided = services.filter_map(|service| {
            match self.view.get(&RowKey::Progress(service.to_owned()))? {
                RowContent::Progress(progress) if progress.stage != RolloutStage::Completed => {
                    Some((service.to_owned(), progress.target.clone()))
                }
                _ => None,
            }
        });
        undecided.collect()
    }

    /// Servers that get requests on trial: the first ones by a draw of the order.
    fn canaries(&self) -> Vec<ServerIndex> {
        let mut canaries = Vec::new();
        for (service, rollout) in self.rollouts.by_service.iter().filter(|(_, r)| r.is_active()) {
            let target = &rollout.order.target;
            let target =
                |entry: &ServerEntry| entry.server.version == *target && !entry.is_leaving();
            let all = self.servers.of_service(service).filter(|(_, entry)| target(entry));
            let mut ranked: Vec<(u64, ServerIndex)> = all
                .map(|(index, entry)| (hash::combine(entry.hash, rollout.version.count), index))
                .collect();
            ranked.sort_unstable();
            let share = self.settings.bounds.exposure_share;
            let most = rollout::canary_count(ranked.len(), share, self.fleet_size);
            canaries.extend(ranked.into_iter().take(most).map(|(_, index)| index));
        }
        canaries
    }

    /// Which servers a request may go to.
    pub(crate) fn pick_rollout_arm(&mut self, now: Time, ask: &PickRequest<'_>) -> RolloutArm {
        let PickRequest { service, key, route, .. } = *ask;
        if self.rollouts.by_service.is_empty() {
            return RolloutArm::Any;
        }
        let again = !ask.tried.is_empty();
        let rested = self.rollouts.stale.is_none_or(|stale| now.since(stale) >= RESUMED);
        let young = rested && self.knows_progress(now);
        let Rollouts { by_service, exposures, .. } = &mut self.rollouts;
        let Some(rollout) = by_service.get(service) else { return RolloutArm::Any };
        rollout.pick_arm(key, young, again, || exposures.can_withdraw(&kind(service, &route.name)))
    }

    /// Whether what is known of the progress of roll-outs is young enough to go by.
    fn knows_progress(&self, now: Time) -> bool {
        let most = rollout::max_progress_age(self.settings.bounds.rollback_ms);
        self.view.age(now, Table::Rollouts).is_some_and(|age| age < most)
    }

    /// Whether the servers of other versions get nothing more, whatever those of the ordered
    /// version can take.
    pub(crate) fn traffic_shifted(&self, service: &str) -> bool {
        self.rollout_stage(service) == Some(RolloutStage::Shift(100))
    }

    /// A request was sent to a server; on trial it is spent.
    pub(crate) fn record_canary_request(&mut self, service: &str, route: &str, index: ServerIndex) {
        let stage = self.rollout_stage(service);
        let standing = self.servers.get(index).map(|entry| entry.rollout_role);
        if stage == Some(RolloutStage::Canary) && standing == Some(RolloutRole::Canary) {
            self.rollouts.exposures.withdraw(&kind(service, route));
        }
    }

    /// What became of a request of a route counts for its service's roll-out.
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
        let sent = match outcome {
            Outcome::Answered { micros, .. } => Time(now.0.saturating_sub(micros)),
            _ => now,
        };
        let seen = ObservedAnswer {
            server: entry.hash as u32,
            route: route_hash(route),
            outcome,
            cold: entry.is_cold(sent),
            target: rollout.is_some_and(|r| entry.server.version == r.order.target),
        };
        let slow = match outcome {
            Outcome::Answered { micros, was_warm: knew } => {
                self.rollouts.usuals.is_slow(&seen, micros, knew)
            }
            _ => false,
        };
        let Some((rollout, stage)) = rollout.and_then(|r| Some((r, r.stage()?))) else { return };
        let evidence = self.rollouts.evidence.entry(service.to_owned()).or_default();
        let answered = evidence.count(&seen, slow);
        if answered && stage == RolloutStage::Canary && rollout.canary_multiplier > 0.0 {
            let service = service.to_owned();
            self.earn_trial(&service, route);
        }
    }

    /// An answer earns a part of a request on trial, shared out evenly among the routes, so
    /// that one with few requests is tried out as well.
    fn earn_trial(&mut self, service: &str, route: &str) {
        let bounds = &self.settings.bounds;
        let (slack, hosts) = (bounds.exposure_slack, self.address_hashes.len());
        let Rollouts { routes, exposures, by_service, .. } = &mut self.rollouts;
        let Some(rollout) = by_service.get(service) else { return };
        let routes = routes.entry(service.to_owned()).or_default();
        if routes.len() < ROUTES && routes.insert(route.to_owned()) {
            // A host that restarts may have used its part of the slack before.
            let ran = rollout.learned_at.since(self.started) >= LATE_START;
            let slack = if ran { slack * rollout.canary_multiplier / ROUTES as f64 } else { 0.0 };
            exposures.grant(&kind(service, route), slack, hosts);
        }
        let part = 1.0 / routes.len() as f64;
        let share = bounds.exposure_share * CANARY_SHARE * rollout.canary_multiplier * part;
        for route in routes.iter() {
            exposures.deposit(
                &kind(service, route),
                share,
                slack * rollout.canary_multiplier * part,
                hosts,
            );
        }
    }

    // Reports.

    /// Reports on roll-outs that are due, and where they go; this host's own are taken in.
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
        let judge = if due.is_empty() { None } else { self.first_reader(now) };
        let mut messages = Vec::new();
        for (service, report) in due {
            let evidence = self.rollouts.evidence.entry(service).or_default();
            let Some(report) = evidence.report(now, report) else { continue };
            match judge {
                None => self.on_rollout_report(now, report),
                Some(judge) => messages.push((judge, Message::RolloutReport(Box::new(report)))),
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
        let Rollouts { by_service, judges, ways, .. } = &mut self.rollouts;
        let service = by_service.iter().find(|(service, rollout)| {
            hash::of(service) as u32 == report.service && rollout.version == report.order
        });
        let Some((service, _)) = service else { return };
        let judge = judges.entry(service.clone()).or_insert_with(|| CanaryAnalysis::new(ways.0));
        judge.on_report(now, report);
    }

    /// Where the host is that reads, and writes, for all; none if that is this one.
    fn first_reader(&self, now: Time) -> Option<SocketAddr> {
        let own = RankedReader { host: self.hash, read_ms: self.store_ms, location: ("", "") };
        let served = self.members.live(now).filter(|member| !member.leaving);
        let others = served.filter_map(|member| {
            let reader =
                RankedReader { host: member.hash, read_ms: member.store_ms?, location: ("", "") };
            Some((reader.order(), member.host.peers))
        });
        let first = others.min()?;
        let reads = self.store_schedule.is_served() && !self.leaving && own.order() < first.0;
        (!reads).then_some(first.1)
    }

    // Decisions for all.

    /// What this host has to write of roll-outs now, if it writes for all.
    ///
    /// `unix_ms` is the time of day, by which hosts that start later know when an order came.
    pub fn due_rollout_write(&mut self, now: Time, unix_ms: u64) -> Option<RolloutWrite> {
        let idle = !self.has_active_rollouts() && !self.rewrites();
        if idle || !self.knows_progress(now) || !self.maintains_host_list(now) {
            return None;
        }
        let services: Vec<String> = self.rollouts.by_service.keys().cloned().collect();
        services.into_iter().find_map(|service| self.due_of(now, unix_ms, &service))
    }

    /// Whether the progress of some order has to be written again as it is.
    fn rewrites(&self) -> bool {
        let held = self.view.retained(Table::Rollouts);
        let again = |rollout: &Rollout| {
            let progress = rollout.progress.as_ref();
            progress.is_some_and(|(progress, _)| progress.order != rollout.version)
        };
        !held.is_empty() || self.rollouts.by_service.values().any(again)
    }

    fn due_of(&self, now: Time, unix_ms: u64, service: &str) -> Option<RolloutWrite> {
        let rollout = self.rollouts.get(service)?;
        let key = RowKey::Progress(service.to_owned());
        let known = rollout.progress.as_ref().map(|(progress, _)| progress);
        let lost = known
            .is_some_and(|known| known.order != rollout.version || self.view.is_retained(&key));
        let judge = self.rollouts.judges.get(service);
        let sight = self.sight(now, unix_ms, service, rollout);
        let next = rollout_steps::next_stage(self.rollouts.ways.1, &sight);
        let stage = next.or(known.filter(|_| lost).map(|known| known.stage))?;
        let since_order = sight.since_order_ms;
        let progress = RolloutProgress {
            order: rollout.version,
            target: rollout.order.target.clone(),
            stage,
            began_unix_ms: known.map_or(unix_ms.saturating_sub(since_order), |p| p.began_unix_ms),
        };
        let expected = (self.view.store_count(&key), rollout.version.count);
        let cause = judge
            .and_then(CanaryAnalysis::rejection)
            .filter(|_| stage == RolloutStage::RolledBack)
            .cloned();
        Some(RolloutWrite { service: service.to_owned(), progress, expected, cause })
    }

    /// Whether so few requests are left until the deadline that a version which is bad could
    /// not get too many.
    fn few(&self, since_order_ms: u64, service: &str, rollout: &Rollout) -> bool {
        let asked = self.rollouts.judges.get(service).map_or(0, CanaryAnalysis::old_answers);
        let left = rollout.order.duration_ms.saturating_sub(since_order_ms);
        let told = (rollout::SENDERS / self.fleet_size as f64).min(1.0);
        let rate = f64::from(asked) / since_order_ms.max(1) as f64 / told;
        rate * left as f64 <= self.settings.bounds.exposure_slack * FEW_PART
    }

    fn sight(&self, now: Time, unix_ms: u64, service: &str, rollout: &Rollout) -> StepContext {
        let judge = self.rollouts.judges.get(service);
        let since = |at: Time| now.since(at) / MILLI;
        let mut since_order_ms = since(rollout.learned_at);
        if rollout.learned_at.since(self.started) < LATE_START
            && let Some((progress, _)) = &rollout.progress
        {
            let told = unix_ms.saturating_sub(progress.began_unix_ms);
            since_order_ms = since_order_ms.max(told.min(2 * rollout.order.duration_ms));
        }
        let calm = judge.is_none_or(CanaryAnalysis::is_clear);
        let few = calm && self.few(since_order_ms, service, rollout);
        let others_left = judge.is_some_and(|judge| {
            let own =
                self.address_hashes.first().is_some_and(|place| judge.has_drained_old(now, *place));
            own && self
                .members
                .live(now)
                .all(|member| judge.has_drained_old(now, member.address_hash))
        });
        StepContext {
            stage: rollout.stage(),
            since_order_ms,
            since_stage_ms: rollout.progress.as_ref().map_or(0, |(_, at)| since(*at)),
            duration_ms: rollout.order.duration_ms,
            longest_request_ms: self.longest_ms(service),
            propagation_ms: self.settings.bounds.configuration_ms,
            is_bad: judge.is_some_and(|judge| judge.rejection().is_some()),
            trusted: judge.is_some_and(CanaryAnalysis::is_trusted) || few,
            routes_trusted: judge.is_some_and(CanaryAnalysis::are_routes_trusted) || few,
            old_drained: others_left,
            slots: self.slots(service, &rollout.order.target),
        }
    }

    /// The longest time that a request of a service may take, in milliseconds.
    fn longest_ms(&self, service: &str) -> u64 {
        let configuration = self.view.configuration().into_iter();
        let routes = configuration.flat_map(|configuration| &configuration.routes);
        let own = routes.filter(|r| r.parts.iter().any(|part| part.service == service));
        own.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Slots of a service's usable servers of a version, and of the others.
    fn slots(&self, service: &str, version: &str) -> (u32, u32) {
        let mut slots = (0, 0);
        for (_, entry) in self.servers.of_service(service).filter(|(_, entry)| !entry.is_leaving())
        {
            match entry.server.version == version {
                true => slots.0 += entry.server.slots,
                false => slots.1 += entry.server.slots,
            }
        }
        slots
    }

    /// The store took what was written; its counter for it.
    pub fn on_rollout_written(
        &mut self,
        now: Time,
        write: &RolloutWrite,
        version: StoreVersion,
    ) -> Vec<StateChange> {
        let key = RowKey::Progress(write.service.clone());
        let item = Some(RowContent::Progress(write.progress.clone()));
        self.apply_rows(now, Table::Rollouts, vec![crate::view::Row::new(key, version, item)])
    }

    /// Answers of the ordered version that are known here, and why it is bad if it is, for
    /// lines and metrics.
    pub fn rollout_analysis(&self, service: &str) -> Option<&CanaryAnalysis> {
        self.rollouts.judges.get(service)
    }
}
