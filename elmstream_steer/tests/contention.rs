//! Who is served when a service is short of slots.

#[path = "support/contention.rs"]
mod fleet;
mod support;

use elmstream_steer::{
    PickRequest,
    contention::{Contention, Demand, Level, WorkspaceRates, excess_to_refuse},
    hash,
    model::{Repeatability, Workspace},
    policies::ContentionPolicy,
    quota::Quotas,
    tally::{AdmitFraction, UsageReply},
    workspaces::{WorkspaceEntry, WorkspaceTable},
};
use fleet::{Fleet, Kind, SLOTS, WORK_MS};
use quickcheck::{QuickCheck, TestResult, quickcheck};
use support::{ms, pick_request, route};

const HOSTS: usize = 12;
/// Load of the service when no workspace is hot, as a fraction of the slots.
const USUAL_LOAD: f64 = 0.85;
/// Requests a second that the servers can answer.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 1_000.0 / WORK_MS as f64;

fn policy(enabled: bool) -> ContentionPolicy {
    ContentionPolicy { enabled, ..ContentionPolicy::default() }
}

/// Plays three equally frequent priorities that together ask for a multiple of the slots.
fn three_priorities(enabled: bool, load: f64, seed: u64) -> Vec<Kind> {
    let kind =
        |priority| Kind { priority, rate_per_s: CAPACITY_PER_S * load / 3.0, ..Kind::default() };
    Fleet::new(HOSTS, policy(enabled), (0..3).map(kind).collect(), seed).run(20_000)
}

/// What callers miss if less urgent requests are served at the expense of more urgent ones.
fn faults(kinds: &[Kind]) -> Vec<String> {
    let mut faults = Vec::new();
    for pair in kinds.windows(2) {
        if pair[0].served_part() < pair[1].served_part() {
            faults.push(format!("priority {} is served less", pair[0].priority));
        }
    }
    // An urgent caller is lost with its request; one in ten may be late, as at any busy service.
    if kinds[0].served_part() < 0.97 {
        faults.push(format!("{:.3} of the most urgent are served", kinds[0].served_part()));
    }
    if kinds[0].late_part() > 0.1 {
        faults.push(format!("{:.3} of the most urgent are late", kinds[0].late_part()));
    }
    if kinds.iter().any(|kind| kind.served_part() < ContentionPolicy::default().floor_share) {
        faults.push("a priority starves".into());
    }
    faults
}

#[test]
fn urgent_requests_are_served_first() {
    for seed in 0..3 {
        let kinds = three_priorities(true, 1.5, seed);
        assert_eq!(faults(&kinds), [""; 0], "{kinds:?}");
    }
}

#[test]
fn without_the_rule_urgent_requests_suffer() {
    for seed in 0..3 {
        let kinds = three_priorities(false, 1.5, seed);
        assert!(!faults(&kinds).is_empty(), "{kinds:?}");
    }
}

#[test]
fn nothing_is_refused_by_urgency_under_calm_load() {
    for kind in three_priorities(true, 0.5, 1) {
        assert_eq!(kind.less_urgent, 0, "{kind:?}");
    }
}

/// Plays 20 workspaces of the same usual rate, of which the first one asks for a multiple of it.
fn workspaces(enabled: bool, hot: f64, retries_at_once: bool, seed: u64) -> Vec<Kind> {
    let usual_per_s = CAPACITY_PER_S * USUAL_LOAD / 20.0;
    let kind = |number: usize| Kind {
        workspace: Some(format!("w-{number}")),
        rate_per_s: if number == 0 { usual_per_s * hot } else { usual_per_s },
        retries_at_once: retries_at_once && number == 0,
        ..Kind::default()
    };
    Fleet::new(HOSTS, policy(enabled), (0..20).map(kind).collect(), seed).run(20_000)
}

/// Fractions of the requests that are served in time, of the hot workspace and of the others.
fn in_time(kinds: &[Kind]) -> (f64, f64) {
    let of = |kinds: &[Kind]| {
        let served = kinds.iter().map(|kind| kind.served - kind.late).sum::<usize>();
        served as f64 / kinds.iter().map(|kind| kind.asked).sum::<usize>().max(1) as f64
    };
    (of(&kinds[..1]), of(&kinds[1..]))
}

/// Part of a workspace's attempts that is refused because it is above its share.
fn refused_for_share(kind: &Kind) -> f64 {
    let refused = kind.above_share as f64;
    refused / (refused + kind.served as f64)
}

#[test]
fn hot_workspace_gets_what_the_others_leave() {
    for seed in 0..3 {
        let kinds = workspaces(true, 6.0, false, seed);
        let (hot, others) = in_time(&kinds);
        // The others keep what a busy service gives, and the hot one is not shut out.
        assert!(others > 0.9, "{others:.3} of the others in time");
        assert!(hot > 0.2, "{hot:.3} of the hot workspace in time");
        let (_, others) = in_time(&workspaces(false, 6.0, false, seed));
        assert!(others < 0.9, "without the rule, {others:.3} of the others in time");
    }
}

#[test]
fn retries_at_once_lower_the_chances_of_their_workspace() {
    for seed in 0..3 {
        let polite = workspaces(true, 6.0, false, seed);
        let abusive = workspaces(true, 6.0, true, seed);
        assert!(refused_for_share(&abusive[0]) > refused_for_share(&polite[0]));
        let (_, others) = in_time(&abusive);
        assert!(others > 0.9, "{others:.3} of the others in time");
        let (_, others) = in_time(&workspaces(false, 6.0, true, seed));
        assert!(others < 0.9, "without the rule, {others:.3} of the others in time");
    }
}

#[test]
fn nobody_is_refused_for_shares_under_calm_load() {
    let kinds = workspaces(true, 1.0, false, 1);
    let calm: Vec<Kind> = kinds
        .into_iter()
        .map(|kind| Kind {
            rate_per_s: kind.rate_per_s / 2.0,
            asked: 0,
            served: 0,
            late: 0,
            above_share: 0,
            ..kind
        })
        .collect();
    for kind in Fleet::new(HOSTS, policy(true), calm, 1).run(20_000) {
        assert_eq!((kind.above_share, kind.less_urgent), (0, 0), "{kind:?}");
    }
}

/// Demands from drawn rates, with weights if each workspace has a limit.
fn demands(rates: &[(u16, u8)], weighted: bool) -> Vec<Demand> {
    let demand = |(rate, weight): &(u16, u8)| Demand {
        rate: f64::from(*rate % 5_000) + 0.1,
        weight: if weighted { f64::from(*weight) + 1.0 } else { 1.0 },
    };
    rates.iter().map(demand).collect()
}

type Refused = fn(&[Demand], f64) -> Vec<f64>;

/// Requests of each workspace a second that are refused for shares.
fn by_level(demands: &[Demand], excess: f64) -> Vec<f64> {
    let level = Level::for_excess(demands, excess);
    let refused = |one: &Demand| level.map_or(0.0, |level| level.excess_fraction(*one) * one.rate);
    demands.iter().map(refused).collect()
}

/// The same part of each workspace's requests, which is what a fleet without levels refuses.
fn in_proportion(demands: &[Demand], excess: f64) -> Vec<f64> {
    let total: f64 = demands.iter().map(|one| one.rate).sum();
    demands.iter().map(|one| one.rate * excess / total).collect()
}

/// Whether the admitted requests are as many as the service takes, and nobody with a lower
/// admitted rate for its weight than another one is refused anything.
fn shares_are_fair(refused: Refused, rates: &[(u16, u8)], weighted: bool, part: u8) -> bool {
    let demands = demands(rates, weighted);
    let total: f64 = demands.iter().map(|one| one.rate).sum();
    let excess = total * f64::from(part) / 256.0;
    let refused = refused(&demands, excess);
    let admitted = |n: usize| (demands[n].rate - refused[n]) / demands[n].weight;
    let highest = (0..demands.len()).map(admitted).fold(0.0, f64::max);
    let slack = 1e-6 * total;
    (refused.iter().sum::<f64>() - excess).abs() <= slack
        && (0..demands.len()).all(|n| refused[n] <= slack || admitted(n) >= highest - slack)
}

quickcheck! {
    fn nobody_below_the_level_is_refused(rates: Vec<(u16, u8)>, weighted: bool, part: u8) -> bool {
        shares_are_fair(by_level, &rates, weighted, part)
    }

    fn urgency_spares_workspaces_at_the_even_share(rate: u16, others: u8, part: u8) -> bool {
        let demands = vec![Demand { rate: f64::from(rate) + 1.0, weight: 1.0 }; others as usize + 1];
        let needed = (f64::from(rate) + 1.0) * f64::from(part) / 256.0;
        excess_to_refuse(&demands, needed, needed) <= 1e-6 * needed
            && (excess_to_refuse(&demands, needed, 0.0) - needed).abs() <= 1e-6 * needed
    }
}

#[test]
fn refusal_in_proportion_is_found_unfair() {
    assert!(!shares_are_fair(in_proportion, &[(100, 0), (600, 0)], false, 100));
}

/// What hosts know in a drawn fleet.
#[derive(Clone, Copy, Debug)]
struct Views {
    hosts: usize,
    /// Load that all callers ask for, as a multiple of the slots.
    demand: f64,
    /// Rate of the first of ten workspaces, as a multiple of the others'.
    hot: f64,
    /// Age of the load that hosts know, in steps of 50 ms.
    stale_steps: usize,
    /// One host in this many gets no reply of a tally; one in this many restarts.
    without_reply: usize,
    restarting: usize,
}

impl Views {
    fn drawn(hosts: u16, demand: u8, stale: u8, faults: u8) -> Views {
        let hot = 6.0 + f64::from(demand % 7);
        Views {
            hosts: usize::from(hosts) % 300 + 1,
            // The other workspaces alone ask for 0.5 to 0.8 of the slots.
            demand: (0.5 + 0.3 * f64::from(demand) / 255.0) * (9.0 + hot) / 9.0,
            hot,
            stale_steps: usize::from(stale) % 6,
            without_reply: 2 + usize::from(faults) % 5,
            restarting: 5 + usize::from(faults) % 7,
        }
    }

    /// Plays 8 s, and returns the mean load of the last 4 s and the refused parts of the hot
    /// workspace and of the others.
    fn play(&self, policy: ContentionPolicy) -> (f64, f64, f64) {
        let (table, route) = (WorkspaceTable::default(), route(Repeatability::Once, &[]));
        let entries: Vec<WorkspaceEntry> =
            (0..10).map(|id| WorkspaceEntry { workspace: Workspace::default(), id }).collect();
        let mut hosts: Vec<(Contention, Quotas)> = (0..self.hosts as u64)
            .map(|seed| (Contention::new(seed), Quotas::new(seed, ms(0))))
            .collect();
        let per_step = (self.hosts * 6 / 20).max(20);
        let unit_per_s = per_step as f64 * 20.0 / (9.0 + self.hot);
        let (mut loads, mut sent_parts) = (vec![0.0], vec![1.0; 6]);
        let (mut asked, mut refused) = ([0.0; 2], [0.0; 2]);
        for step in 0..160 {
            let now = ms(step as u64 * 50);
            let known = loads[(loads.len() - 1).saturating_sub(self.stale_steps)];
            let mut sent = 0.0;
            for n in 0..per_step {
                let draw =
                    |seed| hash::unit_interval(hash::combine((step * per_step + n) as u64, seed));
                let number = (draw(1) * self.hosts as f64) as usize;
                let id = ((draw(2) * (9.0 + self.hot) - self.hot).max(-1.0) + 1.0) as usize;
                let (contention, quotas) = &mut hosts[number];
                if step == 60 && number.is_multiple_of(self.restarting) {
                    *contention = Contention::new(number as u64 + 1_000);
                }
                quotas.count_unlimited(now, &entries[id]);
                if !number.is_multiple_of(self.without_reply) {
                    let fractions = vec![AdmitFraction::new(id as u64, 1.0)];
                    let rates =
                        vec![if id == 0 { unit_per_s * self.hot } else { unit_per_s } as u32];
                    quotas.on_reply(now, &UsageReply { address_hash: 1, fractions, rates });
                }
                let request =
                    PickRequest { workspace: Some(id as u64), ..pick_request(&route, n as u64) };
                let rates = WorkspaceRates { quotas, workspaces: &table, live_hosts: self.hosts };
                let standing = contention.count(now, policy, &request, &rates);
                let is_refused = standing.is_some_and(|standing| {
                    standing.set_load(known);
                    contention.record(request.service, &standing, !standing.is_refused());
                    standing.is_refused()
                });
                sent += f64::from(u8::from(!is_refused));
                if step >= 80 {
                    asked[id.min(1)] += 1.0;
                    refused[id.min(1)] += f64::from(u8::from(is_refused));
                }
            }
            sent_parts.push(sent / per_step as f64);
            let recent = &sent_parts[sent_parts.len() - 6..];
            loads.push(self.demand * recent.iter().sum::<f64>() / 6.0);
        }
        let load = loads[81..].iter().sum::<f64>() / 80.0;
        (load, refused[0] / asked[0], refused[1] / asked[1])
    }

    /// Whether what is admitted fits into the slots and the floor, and the workspaces below their
    /// shares keep at least nine of ten requests.
    fn are_served_fairly(&self, policy: ContentionPolicy) -> bool {
        let (load, hot, others) = self.play(policy);
        load <= 1.0 + policy.floor_share && others <= 0.1 && others <= hot
    }
}

#[test]
fn shares_hold_whatever_hosts_know() {
    fn property(hosts: u16, demand: u8, stale: u8, faults: u8) -> TestResult {
        let views = Views::drawn(hosts, demand, stale, faults);
        match views.are_served_fairly(policy(true)) {
            true => TestResult::passed(),
            false => TestResult::error(format!("{views:?}: {:?}", views.play(policy(true)))),
        }
    }
    QuickCheck::new().tests(60).quickcheck(property as fn(u16, u8, u8, u8) -> TestResult);
}

#[test]
fn without_the_rule_the_slots_are_exceeded() {
    let views = Views::drawn(12, 200, 2, 0);
    assert!(!views.are_served_fairly(policy(false)));
}
