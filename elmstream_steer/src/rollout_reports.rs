//! Reports on roll-outs that hosts send to the first-ranked store reader, which analyses them for the
//! fleet.

use std::net::SocketAddr;

use elmstream::time::Time;

use crate::{
    canary_analysis::CanaryAnalysis,
    hash,
    heartbeat::Message,
    reader_rank::RankedReader,
    rollout::{Rollout, RolloutRole, RolloutStage},
    rollout_control::Rollouts,
    rollout_counts::RolloutReport,
    steer::Steer,
};

impl Steer {
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

    /// Canary analysis of a service, for logs and metrics; `None` if no report has come in.
    pub fn rollout_analysis(&self, service: &str) -> Option<&CanaryAnalysis> {
        self.rollouts.analyses.get(service)
    }
}
