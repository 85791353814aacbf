//! Who is served when a service is short of slots.

#[path = "support/contention.rs"]
mod fleet;
mod support;

use elmstream_steer::policies::ContentionPolicy;
use fleet::{Fleet, Kind, SLOTS, WORK_MS};

const HOSTS: usize = 12;
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
