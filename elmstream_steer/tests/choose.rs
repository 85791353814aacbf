//! Where requests go.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use elmstream_steer::{
    Pick, Steer,
    model::Repeatability,
    pick::RefusalReason,
    servers::{Outcome, ServerIndex},
    view::{Row, RowContent, RowKey, Table},
};
use support::{at, exchange_heartbeats, id, ms, ready, route, send, server, servers};

fn sent(steer: &mut Steer, at: u64, key: u64) -> Option<ServerIndex> {
    match send(steer, ms(at), &route(Repeatability::Safe, &[]), key) {
        Pick::Send(index) => Some(index),
        Pick::Refuse(_) => None,
    }
}

fn answered(steer: &mut Steer, at: u64, index: ServerIndex, key: u64) {
    let knew = steer.record_warm_key(ms(at), index, key);
    steer.record_outcome(ms(at), index, Outcome::Answered { micros: 50_000, was_warm: knew });
}

#[test]
fn a_key_stays_with_its_server_and_all_hosts_of_a_region_agree() {
    let mut fleet: Vec<Steer> = (0..8).map(|n| ready(n, ms(0), servers(3))).collect();
    exchange_heartbeats(ms(0), &mut fleet, |_, _| true);
    for key in 0..60 {
        let mut met = BTreeMap::<String, BTreeSet<String>>::new();
        for host in &mut fleet {
            let index = sent(host, 10, key).expect("all are idle");
            let region = host.settings().host.region.clone();
            met.entry(region).or_default().insert(id(host, index));
            answered(host, 11, index, key);
        }
        assert!(met.values().all(|servers| servers.len() == 1), "{met:?}");
    }
}

#[test]
fn a_region_with_few_servers_keeps_few_of_its_keys() {
    let mut rows = servers(0);
    rows.push(server("small", "a1", 10));
    rows.extend((0..9).map(|n| server(&format!("large-{n}"), "b1", 10)));
    let mut host = ready(0, ms(0), rows);
    let mut kept = 0;
    for key in 0..400 {
        let index = sent(&mut host, 10, key).expect("all are idle");
        kept += u32::from(id(&host, index) == "small");
        host.record_outcome(ms(11), index, Outcome::CallerGone);
    }
    // One of ten servers, and the demand of the regions is taken to be alike.
    assert!((60..160).contains(&kept), "{kept} of 400 keys");
}

#[test]
fn homes_bind_even_when_the_home_is_full() {
    let mut host = ready(0, ms(0), servers(1));
    let route = route(Repeatability::Safe, &["b"]);
    let mut refused = 0;
    for key in 0..200 {
        match send(&mut host, ms(10), &route, key) {
            Pick::Send(index) => assert!(id(&host, index).starts_with("s-b")),
            Pick::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Full);
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
}

#[test]
fn a_wait_beyond_the_objective_is_refused_at_once_with_when_to_come_back() {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let mut taken = 0;
    let refusal = loop {
        match send(&mut host, ms(10), &route(Repeatability::Once, &[]), taken) {
            Pick::Send(_) => taken += 1,
            Pick::Refuse(refusal) => break refusal,
        }
    };
    assert!((6..20).contains(&taken), "{taken} requests at 6 slots");
    assert!((100..=800).contains(&refusal.retry_ms));
}

#[test]
fn what_the_other_hosts_have_in_flight_counts() {
    let mut fleet: Vec<Steer> =
        (0..2).map(|n| ready(n, ms(0), vec![server("one", "a1", 10)])).collect();
    let mut taken = 0;
    while sent(&mut fleet[0], 10, taken).is_some() {
        taken += 1;
    }
    exchange_heartbeats(ms(20), &mut fleet, |_, _| true);
    assert!(sent(&mut fleet[1], 30, 1).is_none(), "the server is full for both");
    // Once the first host is silent, its requests are no longer counted.
    for at in (100..1_500).step_by(100) {
        fleet[1].tick(ms(at));
    }
    assert!(sent(&mut fleet[1], 1_500, 1).is_some());
}

#[test]
fn under_load_a_key_is_not_spread_to_servers_that_do_not_know_it() {
    let mut host = ready(0, ms(0), servers(3));
    let mut pairs = BTreeSet::new();
    let mut at = 10;
    // 120 keys on 12 servers of 6 slots, each known by the one that it met first.
    for round in 0..6 {
        let mut open = Vec::new();
        for key in 0..120 {
            at += 1;
            if let Some(index) = sent(&mut host, at, key) {
                pairs.insert((key, index));
                open.push((key, index));
            }
            if open.len() > 60 || round == 0 {
                let (key, index) = open.remove(0);
                answered(&mut host, at, index, key);
            }
        }
        for (key, index) in open {
            answered(&mut host, at, index, key);
        }
    }
    assert!(pairs.len() < 190, "{} pairs of 120 keys", pairs.len());
}

#[test]
fn what_a_server_knows_is_told_to_the_hosts_of_the_region() {
    // Hosts 0 and 1 are of one region, host 2 is of another one.
    let mut fleet: Vec<Steer> = (0..3).map(|n| ready(n, ms(0), servers(1))).collect();
    let key = 7;
    let first = sent(&mut fleet[0], 10, key).expect("all are idle");
    answered(&mut fleet[0], 11, first, key);
    let other = |index: &ServerIndex| *index != first;
    let region = fleet[0].settings().host.region.clone();
    let of_region = |host: &Steer| -> Vec<ServerIndex> {
        let entries = host.servers().all().filter(|(_, entry)| entry.region == region);
        entries.map(|(index, _)| index).collect()
    };
    let second = of_region(&fleet[0]).into_iter().find(other).expect("there are two");
    answered(&mut fleet[0], 12, second, key);
    let name = id(&fleet[0], second);
    let knows = |fleet: &[Steer], host: usize, at: u64| {
        let index = fleet[host].servers().find(&name).expect("it is known");
        fleet[host].is_warm(ms(at), index, key)
    };
    exchange_heartbeats(ms(20), &mut fleet, |from, to| from == 0 && to == 1);
    assert!(knows(&fleet, 1, 30));
    assert!(!knows(&fleet, 2, 30));
    // The beats that tell it may be lost, but not all of them.
    let mut fleet: Vec<Steer> = (0..2).map(|n| ready(n, ms(0), servers(1))).collect();
    answered(&mut fleet[0], 12, second, key);
    for (count, at) in (20..80).step_by(20).enumerate() {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| count == 2);
    }
    assert!(knows(&fleet, 1, 90));
}

#[test]
fn an_evacuated_domain_gets_nothing_and_is_cold_when_it_is_taken_back() {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let key = RowKey::Evacuation("a1".into());
    let row = Row::new(key.clone(), at(20), Some(RowContent::Evacuation));
    host.on_changes(ms(2_000), Table::Rules, vec![row]);
    assert!(sent(&mut host, 2_010, 1).is_none());
    let back = Row::new(key, at(21), None);
    host.on_changes(ms(4_000), Table::Rules, vec![back]);
    let taken = (4_010..5_000).step_by(10).filter(|at| sent(&mut host, *at, 1).is_some()).count();
    assert_eq!(taken, 1, "a cold server gets one request of a host in a second");
}

#[test]
fn a_server_that_does_not_answer_is_left_and_tried_by_repeatable_requests_only() {
    let rows = vec![server("dark", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let dark = host.servers().find("dark").expect("it is known");
    // All others are answered at once.
    let key = (0..50).find(|key| {
        let index = sent(&mut host, 10, *key).expect("both are idle");
        if index != dark {
            answered(&mut host, 11, index, *key);
        }
        index == dark
    });
    let key = key.expect("some key is of the dark server");
    let once = route(Repeatability::Once, &[]);
    let mut to_dark = 0;
    for at in (1_800..4_800).step_by(10) {
        if let Pick::Send(index) = send(&mut host, ms(at), &once, key) {
            to_dark += usize::from(index == dark);
            host.record_outcome(
                ms(at),
                index,
                Outcome::Answered { micros: 50_000, was_warm: true },
            );
        }
    }
    assert_eq!(to_dark, 0);
}

#[test]
fn a_server_that_refuses_connections_is_passed_over_for_a_while() {
    let rows = vec![server("closed", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let closed = host.servers().find("closed").expect("it is known");
    let key = (0..50).find(|key| sent(&mut host, 10, *key) == Some(closed)).expect("some key");
    host.record_outcome(ms(11), closed, Outcome::NoConnection);
    assert_ne!(sent(&mut host, 12, key), Some(closed));
}
