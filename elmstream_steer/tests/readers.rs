//! One host reads the store; another one takes over when its news stop.

mod support;

use elmstream::time::MILLI;
use elmstream_steer::{Steer, store_schedule::ReadReason, view::Table};
use support::{at, configuration, exchange_heartbeats, host, ms, ready, server, servers, store};

const HOSTS: usize = 12;

/// A fleet that rests; each host that must read does, if `served` says so. Gives
/// the calls in the time, and the highest age of what a host of `watched` knows.
fn rest(
    until: u64,
    served: impl Fn(usize, u64) -> bool,
    heard: impl Fn(usize, usize, u64) -> bool,
    watched: impl Fn(usize) -> bool,
) -> (usize, u64) {
    let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(2))).collect();
    let (mut calls, mut oldest) = (0, 0);
    for at in (0..until).step_by(20) {
        if at % 60 == 0 {
            exchange_heartbeats(ms(at), &mut fleet, |from, to| heard(from, to, at));
        }
        for (n, host) in fleet.iter_mut().enumerate() {
            let tables = [Table::Rules, Table::Servers];
            for table in tables {
                let Some(why) = host.due_read(ms(at), table) else { continue };
                calls += 1;
                if served(n, at) {
                    store::answered(host, ms(at), (table, why), Vec::new());
                } else {
                    store::failed(host, ms(at), table);
                }
            }
            if at > 3_000 && watched(n) {
                let age = host.view().age(ms(at), Table::Servers).unwrap_or(u64::MAX);
                oldest = oldest.max(age / MILLI);
            }
        }
    }
    (calls, oldest)
}

#[test]
fn one_host_reads_for_all() {
    let (calls, oldest) = rest(20_000, |_, _| true, |_, _, _| true, |_| true);
    assert!(calls <= 20 * 8, "{calls} calls in 20 s");
    assert!(oldest <= 700, "news were {oldest} ms old");
}

#[test]
fn whoever_reads_may_fall_silent_at_any_time() {
    for lost in 0..HOSTS {
        let heard = |from, to, at| at < 8_000 || (from != lost && to != lost);
        let (_, oldest) = rest(16_000, |n, at| n != lost || at < 8_000, heard, |n| n != lost);
        assert!(oldest <= 1_500, "news were {oldest} ms old without host {lost}");
    }
}

#[test]
fn a_third_of_the_hosts_may_be_turned_away() {
    let (_, oldest) = rest(16_000, |n, at| at < 5_000 || n % 3 != 0, |_, _, _| true, |_| true);
    assert!(oldest <= 1_500, "news were {oldest} ms old");
}

#[test]
fn a_store_that_is_down_is_not_crowded_and_soon_found_back() {
    let away = |at: u64| (5_000..15_000).contains(&at);
    let (calls, _) = rest(15_000, |_, at| !away(at), |_, _, _| true, |_| false);
    assert!(calls <= 10 * HOSTS * 3, "{calls} calls, most of them in 10 s of outage");
    let (_, oldest) = rest(30_000, |_, at| !away(at), |_, _, _| true, |_| true);
    assert!(oldest <= 11_800, "news were {oldest} ms old, the outage took 10 s");
}

#[test]
fn the_host_that_reads_the_store_fastest_reads() {
    for near in 0..HOSTS {
        let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(2))).collect();
        for (n, host) in fleet.iter_mut().enumerate() {
            host.record_read_time(if n == near { 4 } else { 75 });
        }
        exchange_heartbeats(ms(50), &mut fleet, |_, _| true);
        let reads = |n: &usize| fleet[*n].due_read(ms(700), Table::Servers).is_some();
        assert_eq!((0..HOSTS).filter(reads).collect::<Vec<_>>(), [near]);
    }
}

/// Age of what the youngest host knows, some time after the last reading, in a
/// fleet whose beats take a while on their way.
fn age_after(until: u64, delay: u64) -> u64 {
    let mut fleet: Vec<Steer> = (0..HOSTS).map(|n| ready(n, ms(0), servers(2))).collect();
    let mut on_the_way = Vec::new();
    for at in (0..until).step_by(5) {
        for (n, host) in fleet.iter_mut().enumerate() {
            if (at + 5 * n as u64).is_multiple_of(50) {
                on_the_way.push((at + delay, n, host.next_heartbeat(ms(at))));
            }
        }
        for (_, from, beat) in on_the_way.iter().filter(|(arrives, _, _)| *arrives == at) {
            for (to, host) in fleet.iter_mut().enumerate().filter(|(to, _)| to != from) {
                let _ = to;
                host.on_heartbeat(ms(at), beat);
            }
        }
        on_the_way.retain(|(arrives, _, _)| *arrives > at);
    }
    let age = |host: &Steer| host.view().age(ms(until), Table::Servers).unwrap_or(0) / MILLI;
    fleet.iter().map(age).min().unwrap_or(0)
}

#[test]
fn news_that_hosts_tell_each_other_grow_old_all_the_same() {
    for delay in [5, 35, 100] {
        let age = age_after(3_000, delay);
        assert!(age + 2 * delay + 100 >= 3_000, "{age} ms old after 3 s, with {delay} ms of delay");
    }
}

#[test]
fn a_host_that_claims_news_which_the_store_does_not_have_is_believed_once() {
    let mut host = ready(0, ms(0), servers(2));
    let mut other = ready(1, ms(0), servers(2));
    other.record_read_time(4);
    other.on_full_read(ms(0), Table::Rules, at(900), vec![configuration(7, 900)]);
    let mut calls = 0;
    for at in (20..20_000).step_by(20) {
        if at % 60 == 0 {
            host.on_heartbeat(ms(at), &other.next_heartbeat(ms(at)));
        }
        let Some(why) = host.due_read(ms(at), Table::Rules) else { continue };
        calls += usize::from(why == ReadReason::Behind);
        store::answered(&mut host, ms(at), (Table::Rules, why), Vec::new());
    }
    assert_eq!(calls, 1, "calls for news that are not there");
}

/// Two hosts start while a server goes: one reads the table just before, the other just
/// after. A whole reading does not show what is gone, so the second one has nothing to tell,
/// and the versions that both name are alike. The first one goes on to use the server.
#[test]
fn what_goes_between_the_first_readings_of_two_hosts_goes_at_both() {
    let (mut early, mut late) = (host(0, ms(0)), host(1, ms(0)));
    let there = vec![server("s", "a1", 62), server("t", "a2", 49)];
    early.on_full_read(ms(0), Table::Servers, at(64), there);
    late.on_full_read(ms(100), Table::Servers, at(66), vec![server("s", "a1", 62)]);
    let mut fleet = [early, late];
    for now in (200..10_000).step_by(100) {
        exchange_heartbeats(ms(now), &mut fleet, |_, _| true);
        for (to, from) in [(0, 1), (1, 0)] {
            let beat = fleet[from].next_heartbeat(ms(now));
            let Some(news) = fleet[to].on_heartbeat(ms(now), &beat) else { continue };
            for (table, version) in news.outdated_tables {
                let told = fleet[from].rows_for(ms(now), table, version);
                fleet[to].on_table_rows(ms(now), table, told);
            }
        }
    }
    let used = fleet.iter().filter(|host| host.servers().find("t").is_some()).count();
    assert_eq!(used, 0, "hosts that still use it after 10 s");
}
