//! One host reads the store, and another takes over when its updates stop.

mod support;

use elmstream::time::MILLI;
use elmstream_steer::{Steer, store_schedule::ReadReason, view::Table};
use support::{at, configuration, exchange_heartbeats, host, ms, ready, server, servers, store};

const HOSTS: usize = 12;

/// Runs a fleet in which each host that is due reads the store; the call succeeds if `served`
/// holds. Returns the number of calls, and the highest age in milliseconds of the data at the hosts
/// in `watched`.
fn run_idle_fleet(
    until: u64,
    served: impl Fn(usize, u64) -> bool,
    is_received: impl Fn(usize, usize, u64) -> bool,
    watched: impl Fn(usize) -> bool,
) -> (usize, u64) {
    let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(2))).collect();
    let (mut calls, mut max_age) = (0, 0);
    for at in (0..until).step_by(20) {
        if at % 60 == 0 {
            exchange_heartbeats(ms(at), &mut fleet, |from, to| is_received(from, to, at));
        }
        for (n, host) in fleet.iter_mut().enumerate() {
            let tables = [Table::Rules, Table::Servers];
            for table in tables {
                let Some(reason) = host.due_read(ms(at), table) else { continue };
                calls += 1;
                if served(n, at) {
                    store::answered(host, ms(at), (table, reason), Vec::new());
                } else {
                    store::failed(host, ms(at), table);
                }
            }
            if at > 3_000 && watched(n) {
                let age = host.view().age(ms(at), Table::Servers).unwrap_or(u64::MAX);
                max_age = max_age.max(age / MILLI);
            }
        }
    }
    (calls, max_age)
}

#[test]
fn one_host_reads_for_the_fleet() {
    let (calls, max_age) = run_idle_fleet(20_000, |_, _| true, |_, _, _| true, |_| true);
    assert!(calls <= 20 * 8, "{calls} calls in 20 s");
    assert!(max_age <= 700, "data was {max_age} ms old");
}

#[test]
fn another_host_reads_after_the_reader_is_lost() {
    for lost in 0..HOSTS {
        let is_received = |from, to, at| at < 8_000 || (from != lost && to != lost);
        let (_, max_age) =
            run_idle_fleet(16_000, |n, at| n != lost || at < 8_000, is_received, |n| n != lost);
        assert!(max_age <= 1_500, "data was {max_age} ms old without host {lost}");
    }
}

#[test]
fn data_stays_recent_if_the_store_rejects_a_third_of_the_hosts() {
    let (_, max_age) =
        run_idle_fleet(16_000, |n, at| at < 5_000 || n % 3 != 0, |_, _, _| true, |_| true);
    assert!(max_age <= 1_500, "data was {max_age} ms old");
}

#[test]
fn unavailable_store_is_not_overloaded_and_its_recovery_is_noticed() {
    let is_down = |at: u64| (5_000..15_000).contains(&at);
    let (calls, _) = run_idle_fleet(15_000, |_, at| !is_down(at), |_, _, _| true, |_| false);
    assert!(calls <= 10 * HOSTS * 3, "{calls} calls, most of them in 10 s of outage");
    let (_, max_age) = run_idle_fleet(30_000, |_, at| !is_down(at), |_, _, _| true, |_| true);
    assert!(max_age <= 11_800, "data was {max_age} ms old, the outage took 10 s");
}

#[test]
fn fastest_host_reads_the_store() {
    for fastest in 0..HOSTS {
        let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(2))).collect();
        for (n, host) in fleet.iter_mut().enumerate() {
            host.record_read_time(if n == fastest { 4 } else { 75 });
        }
        exchange_heartbeats(ms(50), &mut fleet, |_, _| true);
        let reads = |n: &usize| fleet[*n].due_read(ms(700), Table::Servers).is_some();
        assert_eq!((0..HOSTS).filter(reads).collect::<Vec<_>>(), [fastest]);
    }
}

/// Age of the most recent data in a fleet, some time after the last read, if heartbeats arrive
/// after `delay` milliseconds.
fn youngest_age_after(until: u64, delay: u64) -> u64 {
    let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(2))).collect();
    let mut in_transit = Vec::new();
    for at in (0..until).step_by(5) {
        for (n, host) in fleet.iter_mut().enumerate() {
            if (at + 5 * n as u64).is_multiple_of(50) {
                in_transit.push((at + delay, n, host.next_heartbeat(ms(at))));
            }
        }
        for (_, from, heartbeat) in in_transit.iter().filter(|(arrives_at, _, _)| *arrives_at == at)
        {
            for (to, host) in fleet.iter_mut().enumerate().filter(|(to, _)| to != from) {
                let _ = to;
                host.on_heartbeat(ms(at), heartbeat);
            }
        }
        in_transit.retain(|(arrives_at, _, _)| *arrives_at > at);
    }
    let age = |host: &Steer| host.view().age(ms(until), Table::Servers).unwrap_or(0) / MILLI;
    fleet.iter().map(age).min().unwrap_or(0)
}

#[test]
fn relayed_data_keeps_its_age() {
    for delay in [5, 35, 100] {
        let age = youngest_age_after(3_000, delay);
        assert!(age + 2 * delay + 100 >= 3_000, "{age} ms old after 3 s, with {delay} ms of delay");
    }
}

#[test]
fn announced_version_missing_in_the_store_causes_one_read() {
    let mut host = ready(0, ms(0), servers(2));
    let mut other = ready(1, ms(0), servers(2));
    other.record_read_time(4);
    other.on_full_read(ms(0), Table::Rules, at(900), vec![configuration(7, 900)]);
    let mut calls = 0;
    for at in (20..20_000).step_by(20) {
        if at % 60 == 0 {
            host.on_heartbeat(ms(at), &other.next_heartbeat(ms(at)));
        }
        let Some(reason) = host.due_read(ms(at), Table::Rules) else { continue };
        calls += usize::from(reason == ReadReason::Behind);
        store::answered(&mut host, ms(at), (Table::Rules, reason), Vec::new());
    }
    assert_eq!(calls, 1, "calls for a version that the store does not have");
}

/// Guards against a server that is never removed: a server is deleted while two hosts start, and
/// one reads the table just before, the other just after. A full read does not show earlier
/// deletions, so the second host has no tombstone, yet both announce the same version. The first
/// host must still learn of the deletion.
#[test]
fn server_deleted_between_first_reads_of_two_hosts_is_removed_at_both() {
    let (mut early, mut late) = (host(0, ms(0)), host(1, ms(0)));
    let listed = vec![server("s", "a1", 62), server("t", "a2", 49)];
    early.on_full_read(ms(0), Table::Servers, at(64), listed);
    late.on_full_read(ms(100), Table::Servers, at(66), vec![server("s", "a1", 62)]);
    let mut fleet = [early, late];
    for now in (200..10_000).step_by(100) {
        exchange_heartbeats(ms(now), &mut fleet, |_, _| true);
        for (to, from) in [(0, 1), (1, 0)] {
            let heartbeat = fleet[from].next_heartbeat(ms(now));
            let Some(news) = fleet[to].on_heartbeat(ms(now), &heartbeat) else { continue };
            for (table, version) in news.outdated_tables {
                let rows = fleet[from].rows_for(ms(now), table, version);
                fleet[to].on_table_rows(ms(now), table, rows);
            }
        }
    }
    let using = fleet.iter().filter(|host| host.servers().find("t").is_some()).count();
    assert_eq!(using, 0, "hosts that still use the deleted server after 10 s");
}
