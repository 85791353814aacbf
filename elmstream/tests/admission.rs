//! Admission at an owner: queue, headroom, slow start, ejection, retries.

#[allow(dead_code)]
mod support;

use std::collections::BTreeSet;

use elmstream::{
    admission::{Admission, Admissions, RunResult, Slot, SlotRequest},
    code::Code,
    id::{Name, ServiceId},
    retry_budget::RetryBudget,
    time::{MILLI, SECOND, Time},
};
use support::{SLOTS, catalog, service};

/// A moment long after the start, so that nothing is cold by chance.
const NOW: Time = Time(1_000 * SECOND);

/// An owner of so many servers, with no slot reserved.
fn owner(servers: &[&str]) -> Admissions {
    let mut admissions = Admissions::default();
    let owned: BTreeSet<Name> = servers.iter().map(|&name| name.into()).collect();
    admissions.set_owned(NOW, &catalog(1, &[]), &owned);
    servers.iter().for_each(|name| admissions.set_reserved(name, 0));
    admissions
}

fn ask(shifted: bool, patience: u64) -> SlotRequest {
    SlotRequest { service: ServiceId(0), shifted, max_wait: patience, deadline: u64::MAX / 2 }
}

fn fill(admissions: &mut Admissions, shifted: bool) -> Vec<Slot> {
    let mut slots = Vec::new();
    while let Admission::Run(slot) = admissions.request_slot(NOW, &service(), &ask(shifted, 0)) {
        slots.push(slot);
    }
    slots
}

#[test]
fn shifts_leave_the_headroom_free_and_the_home_region_may_use_it() {
    let mut policy = service();
    policy.headroom_percent = 50;
    let mut admissions = owner(&["na-0", "na-1"]);
    let run = |admissions: &mut Admissions, shifted| {
        matches!(admissions.request_slot(NOW, &policy, &ask(shifted, 0)), Admission::Run(_))
    };
    assert!(run(&mut admissions, true) && run(&mut admissions, true));
    assert!(!run(&mut admissions, true), "half of four slots is kept back");
    assert!(run(&mut admissions, false) && run(&mut admissions, false));
    assert!(!run(&mut admissions, false), "all slots are in use");
}

#[test]
fn a_queue_is_bounded_and_served_in_order() {
    let mut admissions = owner(&["na-0"]);
    let slots = fill(&mut admissions, false);
    assert_eq!(slots.len(), SLOTS as usize);
    let waiting: Vec<Admission> =
        (0..9).map(|_| admissions.request_slot(NOW, &service(), &ask(false, SECOND))).collect();
    let numbers: Vec<u64> = waiting
        .iter()
        .filter_map(|a| if let Admission::Wait(n) = a { Some(*n) } else { None })
        .collect();
    assert_eq!(numbers.len(), 8, "four for each slot");
    assert!(matches!(waiting[8], Admission::Refuse(Code::NoCapacity, after) if after > 0));
    let woken = admissions.release(NOW, &catalog(1, &[]), &slots[0], RunResult::Succeeded, MILLI);
    assert_eq!(woken, numbers[..1]);
    assert!(admissions.take_granted(woken[0]).is_some());
    assert!(admissions.cancel_wait(numbers[1]).is_none(), "it had no slot yet");
    let woken = admissions.release(NOW, &catalog(1, &[]), &slots[1], RunResult::Succeeded, MILLI);
    assert_eq!(woken, numbers[2..3]);
}

#[test]
fn a_request_without_patience_is_refused_at_once() {
    let mut admissions = owner(&["na-0"]);
    fill(&mut admissions, false);
    let answer = admissions.request_slot(NOW, &service(), &ask(false, 100));
    assert!(matches!(answer, Admission::Refuse(Code::NoCapacity, _)), "{answer:?}");
}

#[test]
fn a_cold_server_starts_slowly() {
    let mut policy = service();
    policy.slow_start = 10 * SECOND;
    let mut admissions = owner(&["na-0"]);
    let run = |admissions: &mut Admissions, now| {
        matches!(admissions.request_slot(now, &policy, &ask(false, 0)), Admission::Run(_))
    };
    assert!(run(&mut admissions, NOW));
    assert!(!run(&mut admissions, NOW), "one of two slots at first");
    assert!(run(&mut admissions, NOW + 10 * SECOND));
}

#[test]
fn ejection_leaves_most_servers_in() {
    let servers = ["na-0", "na-1", "na-2"];
    let mut admissions = owner(&servers);
    for _ in 0..60 {
        for slot in fill(&mut admissions, false) {
            admissions.release(NOW, &catalog(1, &[]), &slot, RunResult::Failed, MILLI);
        }
    }
    let (_, slots) = admissions.usage(NOW, ServiceId(0));
    assert_eq!(slots, 2 * SLOTS, "one of three is out although all fail");
    let (_, later) = admissions.usage(NOW + 6 * SECOND, ServiceId(0));
    assert_eq!(later, 3 * SLOTS, "and comes back");
}

#[test]
fn retries_are_a_small_share_of_first_tries() {
    let mut budget = RetryBudget::default();
    while budget.withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(10);
        retries += u32::from(budget.withdraw());
    }
    assert_eq!(retries, 100);
}
