//! The retry budget goes to the requests that would be lost, and stays within its bound.

use elmstream::time::{MILLI, Time};
use elmstream_steer::{
    Bounds, Pick, PickRequest, Steer,
    budget::Budgets,
    hash,
    model::Repeatability,
    policies::{Policies, RetryPolicy},
    retry_worth::{RetryRequest, RetryWorth, WORTHS},
    servers::{Outcome, ServerIndex},
    view::Row,
};
use refusing::{KINDS, Play};
use support::ms;

#[path = "support/refusing.rs"]
mod refusing;
mod support;

/// Ratio of the bound.
const RATIO: f64 = 0.2;
/// Hosts of a fleet, and the slack of its bound in retries.
const FLEETS: [(usize, f64); 6] =
    [(1, 60.0), (3, 60.0), (12, 64.0), (84, 218.0), (300, 630.0), (600, 630.0)];

/// Budgets of one host, of which a request uses one.
trait Spends {
    fn deposit(&mut self, now: Time, fleet: (usize, f64));
    fn spend(&mut self, now: Time, worth: RetryWorth) -> bool;
}

/// The budget with the order of spending.
struct Ordered(Budgets);

impl Spends for Ordered {
    fn deposit(&mut self, now: Time, fleet: (usize, f64)) {
        self.0.deposit_in_order(now, "s", RATIO, fleet.1, fleet.0);
    }

    fn spend(&mut self, now: Time, worth: RetryWorth) -> bool {
        self.0.record_asked(now, "s", worth);
        let allowed = self.0.can_withdraw_for("s", worth);
        assert_eq!(allowed && self.0.withdraw_for("s", worth), allowed, "a drawn retry stays");
        allowed
    }
}

/// A balance for each value, which breaks the bound.
struct Separate([Ordered; WORTHS.len()]);

impl Spends for Separate {
    fn deposit(&mut self, now: Time, fleet: (usize, f64)) {
        self.0.iter_mut().for_each(|budgets| budgets.deposit(now, fleet));
    }

    fn spend(&mut self, now: Time, worth: RetryWorth) -> bool {
        self.0[worth as usize].spend(now, worth)
    }
}

/// Retries and requests of a fleet in 2 s, after a time without retries in which the balances
/// reach their maximum. Each request asks for retries of all values as long as it gets any.
fn fleet_retries<B: Spends>(
    fleet: (usize, f64),
    requests: u64,
    new: impl Fn(u64) -> B,
) -> (f64, f64) {
    let (mut retries, mut total) = (0.0, 0.0);
    for host in 0..fleet.0 {
        let mut budgets = new(hash::of(format!("host-{host}")));
        for n in 0..500 {
            budgets.deposit(ms(n), fleet);
        }
        for n in 0..requests {
            let now = ms(1_000 + 2_000 * n / requests);
            total += 1.0;
            budgets.deposit(now, fleet);
            let mut draw = hash::combine(host as u64, n);
            for _ in 0..4 {
                draw = hash::combine(draw, 1);
                while budgets.spend(now, WORTHS[(draw % 3) as usize]) {
                    retries += 1.0;
                }
            }
        }
    }
    (retries, total)
}

#[test]
fn bound_holds_at_any_fleet_size() {
    for fleet in FLEETS {
        let requests = 4_000 / fleet.0 as u64;
        let (retries, total) = fleet_retries(fleet, requests, |seed| Ordered(Budgets::new(seed)));
        let allowed = total * RATIO + fleet.1;
        assert!(retries <= allowed, "{retries} of {allowed} by {} hosts", fleet.0);
        assert!(retries > allowed / 2.0, "{retries} of {allowed} by {} hosts", fleet.0);
        let separate = |seed| Separate([0, 1, 2].map(|n| Ordered(Budgets::new(seed ^ n))));
        let (retries, _) = fleet_retries(fleet, requests, separate);
        assert!(retries > allowed, "separate balances: {retries} of {allowed}");
    }
}

/// Served last chances and first attempts of a fleet in which nine first attempts and one last
/// chance ask for a retry in turn, one for each request.
fn served(
    (hosts, slack): (usize, f64),
    spend: impl Fn(&mut Budgets, RetryWorth, u64) -> bool,
) -> (u32, u32) {
    let (mut last_chances, mut others) = (0, 0);
    for host in 0..hosts {
        let mut budgets = Budgets::new(hash::of(format!("host-{host}")));
        let requests = 40_000 / hosts as u64;
        for n in 0..requests {
            let now = ms(30_000 * n / requests);
            budgets.deposit_in_order(now, "s", RATIO, slack, hosts);
            let (worth, count) = match n % 10 {
                9 => (RetryWorth::LastChance, &mut last_chances),
                _ => (RetryWorth::Deferrable, &mut others),
            };
            *count += u32::from(spend(&mut budgets, worth, now.0 / MILLI));
        }
    }
    (last_chances, others)
}

/// Callers who are lost otherwise get nearly all retries that they need, and the others the rest.
/// Guards as well against draws of first attempts that use up the fractions saved on hosts whose
/// maximum balance is below one retry.
#[test]
fn last_chances_are_served_first() {
    let in_order = |budgets: &mut Budgets, worth, at_ms| {
        let now = Time(at_ms * MILLI);
        budgets.record_asked(now, "s", worth);
        budgets.can_withdraw_for("s", worth) && budgets.withdraw_for("s", worth)
    };
    let as_they_come = |budgets: &mut Budgets, _, _| budgets.withdraw("s");
    for fleet in FLEETS {
        let (last_chances, others) = served(fleet, in_order);
        let (unordered, _) = served(fleet, as_they_come);
        // A maximum balance below one retry is the chance that any request gets one.
        let served_min = if fleet.1 / 2.0 < fleet.0 as f64 { 1_500 } else { 3_500 };
        assert!(last_chances >= served_min, "{last_chances} of 4,000 by {} hosts", fleet.0);
        assert!(others > 0, "no others by {} hosts", fleet.0);
        assert!(unordered < 1_000, "{unordered} without order by {} hosts", fleet.0);
    }
}

#[test]
fn unneeded_balance_is_free_to_all() {
    for hosts in [1, 12, 300] {
        let (mut ordered, mut plain) = (Budgets::new(7), Budgets::new(7));
        for n in 0..5_000 {
            let now = ms(n);
            ordered.deposit_in_order(now, "s", RATIO, 60.0, hosts);
            plain.deposit("s", RATIO, 60.0, hosts);
            if n % 3 == 0 {
                ordered.record_asked(now, "s", RetryWorth::Deferrable);
                let allowed = ordered.withdraw_for("s", RetryWorth::Deferrable);
                assert_eq!(allowed, plain.withdraw("s"), "request {n} at {hosts} hosts");
            }
        }
    }
}

#[test]
fn worth_follows_what_a_refusal_means_to_the_caller() {
    let first = RetryRequest {
        returning: false,
        may_have_run: false,
        priority: 2,
        remaining_ms: 2_000,
        retry_after_ms: 300,
        answer_ms: 150.0,
    };
    assert_eq!(RetryWorth::of(&first), RetryWorth::Deferrable);
    assert_eq!(RetryWorth::of(&RetryRequest { priority: 0, ..first }), RetryWorth::Urgent);
    let last_chances = [
        RetryRequest { returning: true, ..first },
        // A third of 300 ms is spent waiting, and an answer takes longer than the rest.
        RetryRequest { remaining_ms: 300, ..first },
        RetryRequest { answer_ms: 1_500.0, ..first },
    ];
    for request in last_chances {
        assert_eq!(RetryWorth::of(&request), RetryWorth::LastChance, "{request:?}");
    }
    // After an unknown result the caller does not wait.
    let unknown = RetryRequest { remaining_ms: 300, may_have_run: true, ..first };
    assert_eq!(RetryWorth::of(&unknown), RetryWorth::Deferrable);
    assert!(RetryWorth::LastChance > RetryWorth::Urgent);
}

/// All servers refuse 0.55 of what they get, with four of nine slots occupied, for 8.5 s. Callers
/// come back once. Without the order of spending, first attempts use up the budget, and more
/// callers are lost.
#[test]
fn fewer_callers_are_lost_when_all_servers_refuse_at_random() {
    let refuses = |_: &str| 0.55;
    let (before, after) = (Play::run(560, false, refuses), Play::run(560, true, refuses));
    for (kind, (name, _, _)) in KINDS.iter().enumerate() {
        let lost = (after.lost[kind], before.lost[kind]);
        assert!(lost.0 * 10 < lost.1 * 9, "{name}: {lost:?} lost with and without the order");
    }
    let shares = (after.lost_share(), before.lost_share());
    assert!(shares.0 < shares.1 * 0.8, "{shares:?} of the callers lost");
    let ([first, returned], [first_before, returned_before]) =
        (after.second_sends, before.second_sends);
    assert!(first < returned / 4 && first_before > returned_before, "{after:?} {before:?}");
    assert!((3.0..5.0).contains(&after.occupied_mean()), "{} slots", after.occupied_mean());
}

/// A third of the servers refuse 0.55 at random.
#[test]
fn servers_that_refuse_at_random_are_avoided() {
    let refuses = |id: &str| if id.ends_with("-0") { 0.55 } else { 0.0 };
    let (before, after) = (Play::run(360, false, refuses), Play::run(360, true, refuses));
    assert!(after.refused * 3 < before.refused * 2, "{after:?} {before:?}");
    assert!(after.lost_share() < before.lost_share(), "{after:?} {before:?}");
}

/// A host that knows its servers, and whose retries are spent by worth.
fn by_worth(number: usize, rows: Vec<Row>) -> Steer {
    let mut steer = support::ready(number, ms(0), rows);
    let policies = Policies { retries: RetryPolicy { by_worth: true }, ..Policies::default() };
    steer.reconfigure(support::domains(), Bounds::default(), policies);
    steer
}

/// Sends requests of many keys, which the servers refuse with `requests` reported by each.
fn refuse(steer: &mut Steer, count: u64, requests: u32, outcome: Outcome) {
    let route = support::route(Repeatability::Safe, &[]);
    for n in 0..count {
        let now = ms(1_000 + n * 50);
        if let Pick::Send(server) = support::send(steer, now, &route, hash::combine(n, 1)) {
            steer.record_server_load(now, server, requests);
            steer.record_outcome(now, server, outcome);
        }
    }
}

fn rate(steer: &Steer) -> f64 {
    steer.refusal_rates(ms(2_000)).map(|(_, rate)| rate).sum()
}

#[test]
fn full_server_does_not_refuse_at_random() {
    let mut full = by_worth(0, support::servers(2));
    refuse(&mut full, 20, 6, Outcome::Full);
    assert_eq!(rate(&full), 0.0, "six of six slots");
    let mut random = by_worth(0, support::servers(2));
    refuse(&mut random, 20, 3, Outcome::Full);
    assert!(rate(&random) > 0.9, "{} with three of six slots", rate(&random));
    let mut stated = by_worth(0, support::servers(2));
    refuse(&mut stated, 20, 6, Outcome::RefusedWithFreeSlots);
    assert!(rate(&stated) > 0.9, "{} with free slots by its own answer", rate(&stated));
    let mut off = support::ready(0, ms(0), support::servers(2));
    refuse(&mut off, 20, 3, Outcome::Full);
    assert_eq!(rate(&off), 0.0, "not counted without the setting");
}

/// A full server gets nothing for a while; one that refused at random is used as before.
#[test]
fn only_full_servers_are_paused() {
    let rows = || vec![support::server("s", "a1", 10)];
    let route = support::route(Repeatability::Safe, &[]);
    for (requests, paused) in [(0, false), (6, true)] {
        let mut steer = by_worth(0, rows());
        refuse(&mut steer, 1, requests, Outcome::Full);
        let next = support::send(&mut steer, ms(1_010), &route, 1);
        assert_eq!(matches!(next, Pick::Refuse(_)), paused, "{requests} requests");
    }
}

/// A host that starts hears from the others that the service refuses at random.
#[test]
fn starting_host_knows_the_rate() {
    let mut hosts = vec![by_worth(0, support::servers(2)), by_worth(1, support::servers(2))];
    refuse(&mut hosts[0], 20, 3, Outcome::Full);
    support::exchange_heartbeats(ms(2_000), &mut hosts, |_, _| true);
    let retry_ms = |host: &mut Steer, at| {
        host.update_refusal_rates(ms(at));
        host.refused_retry_ms(ms(at), support::SERVICE, 300)
    };
    assert_eq!(retry_ms(&mut hosts[1], 2_000), 250, "it comes back soon");
    assert_eq!(retry_ms(&mut hosts[1], 8_000), 300, "old reports are dropped");
}

/// When a service refuses at random, its first choice stays, and a second send may go to any
/// server with spare slots whatever the load, but to no full one.
#[test]
fn second_send_of_a_service_that_refuses_goes_where_slots_are_free() {
    let route = support::route(Repeatability::Safe, &[]);
    let mut steer = by_worth(0, support::servers(1));
    let Pick::Send(first) = support::send(&mut steer, ms(500), &route, 5) else {
        panic!("servers are free");
    };
    steer.record_warm_key(ms(500), first, 5);
    steer.record_outcome(ms(500), first, Outcome::NotSent);
    refuse(&mut steer, 40, 3, Outcome::Full);
    let now = ms(3_000);
    assert_eq!(support::send(&mut steer, now, &route, 5), Pick::Send(first));
    let others: Vec<ServerIndex> =
        steer.servers().all().map(|(index, _)| index).filter(|index| *index != first).collect();
    for (free, full) in [(0, 6), (1, 6), (2, 6)] {
        for (n, index) in others.iter().enumerate() {
            steer.record_server_load(now, *index, if n == free { 4 } else { full });
        }
        let tried = [first];
        let request = PickRequest { tried: &tried, ..support::pick_request(&route, 5) };
        let Pick::Send(second) = steer.pick_server(now, &request) else {
            panic!("a server has spare slots");
        };
        assert_eq!(second, others[free]);
        steer.record_outcome(now, second, Outcome::NotSent);
    }
    others.iter().for_each(|index| steer.record_server_load(now, *index, 6));
    let request = PickRequest { tried: &[first], ..support::pick_request(&route, 5) };
    assert!(matches!(steer.pick_server(now, &request), Pick::Refuse(_)), "all others are full");
}

/// A rise and a fall of a service's rate are each reported once.
#[test]
fn changes_of_a_service_are_reported_once() {
    let mut steer = by_worth(0, support::servers(2));
    refuse(&mut steer, 20, 3, Outcome::Full);
    let mut changes = Vec::new();
    for n in 0..300 {
        changes.extend(steer.update_refusal_rates(ms(2_000 + n * 100)));
    }
    let refuses: Vec<bool> = changes.iter().map(|change| change.refuses).collect();
    assert_eq!(refuses, [true, false], "{changes:?}");
}
