//! Tests of server selection.

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

fn send_key(steer: &mut Steer, at: u64, key: u64) -> Option<ServerIndex> {
    match send(steer, ms(at), &route(Repeatability::Safe, &[]), key) {
        Pick::Send(index) => Some(index),
        Pick::Refuse(_) => None,
    }
}

fn answer(steer: &mut Steer, at: u64, index: ServerIndex, key: u64) {
    let was_warm = steer.record_warm_key(ms(at), index, key);
    steer.record_outcome(ms(at), index, Outcome::Answered { micros: 50_000, was_warm });
}

#[test]
fn hosts_of_a_region_send_a_key_to_one_server() {
    let mut fleet: Vec<Steer> = (0..8).map(|n| ready(n, ms(0), servers(3))).collect();
    exchange_heartbeats(ms(0), &mut fleet, |_, _| true);
    for key in 0..60 {
        let mut servers_by_region = BTreeMap::<String, BTreeSet<String>>::new();
        for host in &mut fleet {
            let index = send_key(host, 10, key).expect("all servers are idle");
            let region = host.settings().host.region.clone();
            servers_by_region.entry(region).or_default().insert(id(host, index));
            answer(host, 11, index, key);
        }
        assert!(
            servers_by_region.values().all(|servers| servers.len() == 1),
            "{servers_by_region:?}"
        );
    }
}

#[test]
fn region_with_few_servers_keeps_few_of_its_keys() {
    let mut rows = servers(0);
    rows.push(server("small", "a1", 10));
    rows.extend((0..9).map(|n| server(&format!("large-{n}"), "b1", 10)));
    let mut host = ready(0, ms(0), rows);
    let mut kept_keys = 0;
    for key in 0..400 {
        let index = send_key(&mut host, 10, key).expect("all servers are idle");
        kept_keys += u32::from(id(&host, index) == "small");
        host.record_outcome(ms(11), index, Outcome::CallerGone);
    }
    // One of ten servers, and equal demand is assumed for both regions.
    assert!((60..160).contains(&kept_keys), "{kept_keys} of 400 keys");
}

#[test]
fn full_home_region_does_not_spill_to_other_regions() {
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
fn request_that_would_wait_too_long_is_refused_with_a_retry_time() {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let mut accepted = 0;
    let refusal = loop {
        match send(&mut host, ms(10), &route(Repeatability::Once, &[]), accepted) {
            Pick::Send(_) => accepted += 1,
            Pick::Refuse(refusal) => break refusal,
        }
    };
    assert!((6..20).contains(&accepted), "{accepted} requests at 6 slots");
    assert!((100..=800).contains(&refusal.retry_ms));
}

#[test]
fn requests_in_flight_from_other_hosts_count() {
    let mut fleet: Vec<Steer> =
        (0..2).map(|n| ready(n, ms(0), vec![server("one", "a1", 10)])).collect();
    let mut accepted = 0;
    while send_key(&mut fleet[0], 10, accepted).is_some() {
        accepted += 1;
    }
    exchange_heartbeats(ms(20), &mut fleet, |_, _| true);
    assert!(send_key(&mut fleet[1], 30, 1).is_none(), "the server is full for both hosts");
    // Once the first host is silent, its requests no longer count.
    for at in (100..1_500).step_by(100) {
        fleet[1].tick(ms(at));
    }
    assert!(send_key(&mut fleet[1], 1_500, 1).is_some());
}

#[test]
fn loaded_service_does_not_spread_keys_to_servers_that_are_not_warm() {
    let mut host = ready(0, ms(0), servers(3));
    let mut pairs = BTreeSet::new();
    let mut at = 10;
    // 120 keys on 12 servers of 6 slots each; the first server of a key becomes warm for it.
    for round in 0..6 {
        let mut in_flight = Vec::new();
        for key in 0..120 {
            at += 1;
            if let Some(index) = send_key(&mut host, at, key) {
                pairs.insert((key, index));
                in_flight.push((key, index));
            }
            if in_flight.len() > 60 || round == 0 {
                let (key, index) = in_flight.remove(0);
                answer(&mut host, at, index, key);
            }
        }
        for (key, index) in in_flight {
            answer(&mut host, at, index, key);
        }
    }
    assert!(pairs.len() < 190, "{} pairs of 120 keys", pairs.len());
}

#[test]
fn warm_keys_reach_the_hosts_of_the_region() {
    // Hosts 0 and 1 are in one region, host 2 is in another.
    let mut fleet: Vec<Steer> = (0..3).map(|n| ready(n, ms(0), servers(1))).collect();
    let key = 7;
    let first = send_key(&mut fleet[0], 10, key).expect("all servers are idle");
    answer(&mut fleet[0], 11, first, key);
    let other = |index: &ServerIndex| *index != first;
    let region = fleet[0].settings().host.region.clone();
    let of_region = |host: &Steer| -> Vec<ServerIndex> {
        let entries = host.servers().all().filter(|(_, entry)| entry.region == region);
        entries.map(|(index, _)| index).collect()
    };
    let second = of_region(&fleet[0]).into_iter().find(other).expect("the region has two servers");
    answer(&mut fleet[0], 12, second, key);
    let name = id(&fleet[0], second);
    let is_warm = |fleet: &[Steer], host: usize, at: u64| {
        let index = fleet[host].servers().find(&name).expect("the server is known");
        fleet[host].is_warm(ms(at), index, key)
    };
    exchange_heartbeats(ms(20), &mut fleet, |from, to| from == 0 && to == 1);
    assert!(is_warm(&fleet, 1, 30));
    assert!(!is_warm(&fleet, 2, 30));
    // All but one of the heartbeats with the update may be lost.
    let mut fleet: Vec<Steer> = (0..2).map(|n| ready(n, ms(0), servers(1))).collect();
    answer(&mut fleet[0], 12, second, key);
    for (count, at) in (20..80).step_by(20).enumerate() {
        exchange_heartbeats(ms(at), &mut fleet, |_, _| count == 2);
    }
    assert!(is_warm(&fleet, 1, 90));
}

#[test]
fn evacuated_domain_gets_no_requests_and_is_cold_when_readmitted() {
    let mut host = ready(0, ms(0), vec![server("one", "a1", 10)]);
    let key = RowKey::Evacuation("a1".into());
    let row = Row::new(key.clone(), at(20), Some(RowContent::Evacuation));
    host.on_changes(ms(2_000), Table::Rules, vec![row]);
    assert!(send_key(&mut host, 2_010, 1).is_none());
    let readmission = Row::new(key, at(21), None);
    host.on_changes(ms(4_000), Table::Rules, vec![readmission]);
    let accepted =
        (4_010..5_000).step_by(10).filter(|at| send_key(&mut host, *at, 1).is_some()).count();
    assert_eq!(accepted, 1, "a host sends one request a second to a cold server");
}

#[test]
fn silent_server_gets_no_requests_that_run_at_most_once() {
    let rows = vec![server("dark", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let silent = host.servers().find("dark").expect("the server is known");
    // Requests to the other server are answered at once.
    let key = (0..50).find(|key| {
        let index = send_key(&mut host, 10, *key).expect("both servers are idle");
        if index != silent {
            answer(&mut host, 11, index, *key);
        }
        index == silent
    });
    let key = key.expect("some key belongs to the silent server");
    let once = route(Repeatability::Once, &[]);
    let mut sent_to_silent = 0;
    for at in (1_800..4_800).step_by(10) {
        if let Pick::Send(index) = send(&mut host, ms(at), &once, key) {
            sent_to_silent += usize::from(index == silent);
            host.record_outcome(
                ms(at),
                index,
                Outcome::Answered { micros: 50_000, was_warm: true },
            );
        }
    }
    assert_eq!(sent_to_silent, 0);
}

#[test]
fn server_that_refuses_connections_is_avoided() {
    let rows = vec![server("closed", "a1", 10), server("well", "a1", 10)];
    let mut host = ready(0, ms(0), rows);
    let closed = host.servers().find("closed").expect("the server is known");
    let key = (0..50)
        .find(|key| send_key(&mut host, 10, *key) == Some(closed))
        .expect("some key belongs to the server");
    host.record_outcome(ms(11), closed, Outcome::NoConnection);
    assert_ne!(send_key(&mut host, 12, key), Some(closed));
}
