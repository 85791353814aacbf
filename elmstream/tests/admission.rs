//! Admission at an owner: queue, headroom, slow start, ejection and the retry
//! budget.

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
use support::{SLOTS_PER_SERVER, catalog, service};

/// A time long after the start, so that no server is in slow start by accident.
const NOW: Time = Time(1_000 * SECOND);

/// Admissions of a host that owns these servers, with no slot reserved.
fn owner(servers: &[&str]) -> Admissions {
    let mut admissions = Admissions::default();
    let owned: BTreeSet<Name> = servers.iter().map(|&name| name.into()).collect();
    admissions.set_owned(NOW, &catalog(1, &[]), &owned);
    servers.iter().for_each(|name| admissions.set_reserved(name, 0));
    admissions
}

fn slot_request(shifted: bool, max_wait: u64) -> SlotRequest {
    SlotRequest { service: ServiceId(0), shifted, max_wait, deadline: u64::MAX / 2 }
}

fn fill(admissions: &mut Admissions, shifted: bool) -> Vec<Slot> {
    let mut slots = Vec::new();
    while let Admission::Run(slot) =
        admissions.request_slot(NOW, &service(), &slot_request(shifted, 0))
    {
        slots.push(slot);
    }
    slots
}

#[test]
fn shifted_requests_leave_headroom_to_home_requests() {
    let mut policy = service();
    policy.headroom_percent = 50;
    let mut admissions = owner(&["na-0", "na-1"]);
    let run = |admissions: &mut Admissions, shifted| {
        matches!(
            admissions.request_slot(NOW, &policy, &slot_request(shifted, 0)),
            Admission::Run(_)
        )
    };
    assert!(run(&mut admissions, true) && run(&mut admissions, true));
    assert!(!run(&mut admissions, true), "two of the four slots are reserved for home requests");
    assert!(run(&mut admissions, false) && run(&mut admissions, false));
    assert!(!run(&mut admissions, false), "all slots are in use");
}

#[test]
fn queue_is_bounded_and_first_in_first_out() {
    let mut admissions = owner(&["na-0"]);
    let slots = fill(&mut admissions, false);
    assert_eq!(slots.len(), SLOTS_PER_SERVER as usize);
    let waiting: Vec<Admission> = (0..9)
        .map(|_| admissions.request_slot(NOW, &service(), &slot_request(false, SECOND)))
        .collect();
    let numbers: Vec<u64> = waiting
        .iter()
        .filter_map(|a| if let Admission::Wait(n) = a { Some(*n) } else { None })
        .collect();
    assert_eq!(numbers.len(), 8, "four requests are queued for each slot");
    assert!(matches!(waiting[8], Admission::Refuse(Code::NoCapacity, after) if after > 0));
    let woken = admissions.release(NOW, &catalog(1, &[]), &slots[0], RunResult::Succeeded, MILLI);
    assert_eq!(woken, numbers[..1]);
    assert!(admissions.take_granted(woken[0]).is_some());
    assert!(admissions.cancel_wait(numbers[1]).is_none(), "the request was not woken yet");
    let woken = admissions.release(NOW, &catalog(1, &[]), &slots[1], RunResult::Succeeded, MILLI);
    assert_eq!(woken, numbers[2..3]);
}

#[test]
fn request_that_cannot_wait_is_refused() {
    let mut admissions = owner(&["na-0"]);
    fill(&mut admissions, false);
    let answer = admissions.request_slot(NOW, &service(), &slot_request(false, 100));
    assert!(matches!(answer, Admission::Refuse(Code::NoCapacity, _)), "{answer:?}");
}

#[test]
fn new_server_is_limited_during_slow_start() {
    let mut policy = service();
    policy.slow_start = 10 * SECOND;
    let mut admissions = owner(&["na-0"]);
    let run = |admissions: &mut Admissions, now| {
        matches!(admissions.request_slot(now, &policy, &slot_request(false, 0)), Admission::Run(_))
    };
    assert!(run(&mut admissions, NOW));
    assert!(!run(&mut admissions, NOW), "only one of two slots is usable at first");
    assert!(run(&mut admissions, NOW + 10 * SECOND));
}

#[test]
fn at_most_a_third_of_servers_is_ejected() {
    let servers = ["na-0", "na-1", "na-2"];
    let mut admissions = owner(&servers);
    for _ in 0..60 {
        for slot in fill(&mut admissions, false) {
            admissions.release(NOW, &catalog(1, &[]), &slot, RunResult::Failed, MILLI);
        }
    }
    let (_, slots) = admissions.usage(NOW, ServiceId(0));
    assert_eq!(slots, 2 * SLOTS_PER_SERVER, "one of three servers is ejected although all fail");
    let (_, later) = admissions.usage(NOW + 6 * SECOND, ServiceId(0));
    assert_eq!(later, 3 * SLOTS_PER_SERVER, "the server is used again after the ejection time");
}

#[test]
fn retries_stay_within_budget_percentage() {
    let mut budget = RetryBudget::default();
    while budget.withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(10);
        retries += u32::from(budget.withdraw());
    }
    assert_eq!(retries, 100);
}
