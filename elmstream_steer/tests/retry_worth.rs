//! The retry budget goes to the requests that would be lost, and stays within its bound.

use elmstream::time::{MILLI, Time};
use elmstream_steer::{
    budget::Budgets,
    hash,
    retry_worth::{RetryRequest, RetryWorth, WORTHS},
};
use support::ms;

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
