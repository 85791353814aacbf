//! Which host a table is fetched from, in virtual time.

use std::net::{Ipv4Addr, SocketAddr};

use elmstream::time::{MILLI, SECOND, Time};
use elmstream_edge::fetch_schedule::{
    FAILED_HOST_PAUSE, FetchOutcome, FetchSchedule, HEDGE_DELAY, MAX_CONCURRENT_FETCHES,
    PROGRESS_CREDIT, RETRY_JITTER, RETRY_PAUSE,
};
use elmstream_steer::{
    heartbeat::TableStatus,
    version::StoreVersion,
    view::Table::{self, Rules, Servers},
};

const START: Time = Time(100 * SECOND);
/// Time after which a fetch from an unresponsive host fails.
const FETCH_TIMEOUT: u64 = 700 * MILLI;

/// Status of a host that knows a table up to a version.
fn status(count: u64) -> TableStatus {
    TableStatus { version: StoreVersion::new(0, count), ..TableStatus::default() }
}

/// Whether a status is newer than a version.
fn newer_than(count: u64) -> impl Fn(&TableStatus) -> bool {
    move |known| known.version > StoreVersion::new(0, count)
}

fn host(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, 1, number), 7_002))
}

fn schedule() -> FetchSchedule {
    FetchSchedule::new(7)
}

/// Offers of hosts whose heartbeats have just arrived, in this order.
fn offer_from(schedule: &mut FetchSchedule, now: Time, hosts: impl IntoIterator<Item = u8>) {
    for (moment, number) in hosts.into_iter().enumerate() {
        schedule.offer(now + moment as u64, Rules, host(number), &status(2));
    }
}

/// A host whose fetch has just failed.
fn fail(schedule: &mut FetchSchedule, now: Time, number: u8) {
    schedule.offer(now, Rules, host(number), &status(2));
    assert_eq!(schedule.next(now, Rules, newer_than(1)), Some(host(number)));
    schedule.on_fetch_ended(now, Rules, host(number), FetchOutcome::Failed);
}

/// Simulates heartbeats, every 50 ms, of `mute` unresponsive hosts and then of a healthy one,
/// whose fetch takes no time; returns the time until the healthy one is asked.
fn time_until_healthy(schedule: &mut FetchSchedule, from: Time, mute: u8, healthy: u8) -> u64 {
    let mut active: Vec<(Time, SocketAddr)> = Vec::new();
    for step in 0..500 {
        let now = from + step * 10 * MILLI;
        for (began, mute) in active.extract_if(.., |(began, _)| now.since(*began) >= FETCH_TIMEOUT)
        {
            assert!(now.since(began) >= FETCH_TIMEOUT);
            schedule.on_fetch_ended(now, Rules, mute, FetchOutcome::Failed);
        }
        if step % 5 == 0 {
            offer_from(schedule, now, [healthy].into_iter().chain(0..mute));
        }
        while let Some(asked) = schedule.next(now, Rules, newer_than(1)) {
            if asked == host(healthy) {
                schedule.on_fetch_ended(now, Rules, asked, FetchOutcome::Received);
                return now.since(from);
            }
            active.push((now, asked));
        }
    }
    panic!("the healthy host was never asked");
}

#[test]
fn host_of_the_latest_heartbeat_is_asked_first() {
    let mut schedule = schedule();
    offer_from(&mut schedule, START, [1, 2, 3]);
    let now = START + 10;
    assert_eq!(schedule.next(now, Rules, newer_than(1)), Some(host(3)));
    assert_eq!(schedule.next(now, Rules, newer_than(1)), None, "one fetch is enough at first");
}

#[test]
fn slow_fetches_run_in_parallel_up_to_a_limit() {
    let mut schedule = schedule();
    offer_from(&mut schedule, START, 0..10);
    let mut asked = 0;
    for turn in 0..10 {
        let now = START + 10 + turn * HEDGE_DELAY;
        asked += usize::from(schedule.next(now, Rules, newer_than(1)).is_some());
        assert_eq!(schedule.next(now, Rules, newer_than(1)), None);
    }
    assert_eq!(asked, MAX_CONCURRENT_FETCHES);
}

#[test]
fn tables_are_fetched_in_parallel() {
    let mut schedule = schedule();
    for table in [Rules, Servers] {
        schedule.offer(START, table, host(1), &status(2));
    }
    assert_eq!(schedule.next(START, Rules, newer_than(1)), Some(host(1)));
    assert_eq!(schedule.next(START, Servers, newer_than(1)), Some(host(1)));
}

#[test]
fn known_rows_are_not_fetched() {
    let mut schedule = schedule();
    offer_from(&mut schedule, START, [1, 2]);
    assert_eq!(schedule.next(START + 10, Rules, newer_than(2)), None);
}

#[test]
fn host_without_rows_fetches_any_version() {
    let mut schedule = schedule();
    schedule.offer(START, Rules, host(1), &status(0));
    assert_eq!(schedule.next(START, Rules, |_| true), Some(host(1)));
}

#[test]
fn expired_offer_is_ignored() {
    let mut schedule = schedule();
    offer_from(&mut schedule, START, [1]);
    assert_eq!(schedule.next(START + 3 * SECOND, Rules, newer_than(1)), None);
}

#[test]
fn successful_host_is_asked_again_after_its_next_heartbeat() {
    let mut schedule = schedule();
    offer_from(&mut schedule, START, [1]);
    assert_eq!(schedule.next(START, Rules, newer_than(1)), Some(host(1)));
    schedule.on_fetch_ended(START, Rules, host(1), FetchOutcome::Received);
    assert_eq!(schedule.next(START + SECOND, Rules, newer_than(1)), None);
    offer_from(&mut schedule, START + SECOND, [1]);
    assert_eq!(schedule.next(START + SECOND, Rules, newer_than(1)), Some(host(1)));
}

#[test]
fn refusing_host_is_asked_after_a_pause_and_others_at_once() {
    let mut schedule = schedule();
    offer_from(&mut schedule, START, [1, 2]);
    let now = START + 10;
    assert_eq!(schedule.next(now, Rules, newer_than(1)), Some(host(2)));
    let retry_at = schedule.on_fetch_ended(now, Rules, host(2), FetchOutcome::Refused);
    assert!(retry_at.since(now) >= RETRY_PAUSE && retry_at.since(now) < RETRY_PAUSE + RETRY_JITTER);
    assert_eq!(schedule.next(now, Rules, newer_than(1)), Some(host(1)));
    schedule.on_fetch_ended(now, Rules, host(1), FetchOutcome::Refused);
    assert_eq!(schedule.next(now, Rules, newer_than(1)), None);
    assert!(schedule.next(now + RETRY_PAUSE + RETRY_JITTER, Rules, newer_than(1)).is_some());
}

#[test]
fn refused_hosts_retry_at_different_times() {
    let retry_at = |seed| {
        let mut schedule = FetchSchedule::new(seed);
        offer_from(&mut schedule, START, [1]);
        schedule.next(START, Rules, newer_than(1));
        schedule.on_fetch_ended(START, Rules, host(1), FetchOutcome::Refused)
    };
    let mut times: Vec<Time> = (0..100).map(retry_at).collect();
    times.sort();
    let spread = times[99].since(times[0]);
    assert!(spread > RETRY_JITTER / 2, "spread over {spread} us only");
}

#[test]
fn failed_host_is_not_asked_while_others_offer() {
    let mut schedule = schedule();
    fail(&mut schedule, START, 1);
    for turn in 1..40 {
        let now = START + turn * 100 * MILLI;
        offer_from(&mut schedule, now, [2, 1]);
        if let Some(asked) = schedule.next(now, Rules, newer_than(1)) {
            assert_eq!(asked, host(2));
            schedule.on_fetch_ended(now, Rules, asked, FetchOutcome::Refused);
        }
    }
}

#[test]
fn failed_host_is_asked_if_no_other_offers() {
    let mut schedule = schedule();
    fail(&mut schedule, START, 1);
    let now = START + RETRY_PAUSE + RETRY_JITTER;
    assert_eq!(schedule.next(now, Rules, newer_than(1)), Some(host(1)));
}

#[test]
fn host_with_an_old_failure_is_asked_without_delaying_others() {
    let mut schedule = schedule();
    fail(&mut schedule, START, 1);
    let now = START + FAILED_HOST_PAUSE;
    offer_from(&mut schedule, now, [1]);
    assert_eq!(schedule.next(now, Rules, newer_than(1)), Some(host(1)));
    offer_from(&mut schedule, now, [2]);
    assert_eq!(schedule.next(now, Rules, newer_than(1)), Some(host(2)));
}

#[test]
fn host_is_trusted_again_after_a_successful_fetch() {
    let mut schedule = schedule();
    fail(&mut schedule, START, 1);
    let now = START + FAILED_HOST_PAUSE;
    schedule.offer(now, Servers, host(1), &status(2));
    assert_eq!(schedule.next(now, Servers, newer_than(1)), Some(host(1)));
    schedule.on_fetch_ended(now, Servers, host(1), FetchOutcome::Received);
    offer_from(&mut schedule, now, [2, 1]);
    assert_eq!(schedule.next(now + 10, Rules, newer_than(1)), Some(host(1)));
}

#[test]
fn failure_counts_for_all_tables() {
    let mut schedule = schedule();
    fail(&mut schedule, START, 1);
    let servers: Table = Servers;
    schedule.offer(START, servers, host(2), &status(2));
    schedule.offer(START + 1, servers, host(1), &status(2));
    assert_eq!(schedule.next(START + 1, servers, newer_than(1)), Some(host(2)));
}

#[test]
fn unresponsive_hosts_cost_one_hedge_delay_each_once() {
    for mute in 0..=3 {
        let mut schedule = schedule();
        let first = time_until_healthy(&mut schedule, START, mute, 9);
        assert!(first <= u64::from(mute) * HEDGE_DELAY + 10 * MILLI, "{mute} mute: {first} us");
        // Fetches that are still active at the end of a simulation fail here.
        for number in 0..mute {
            schedule.on_fetch_ended(START + SECOND, Rules, host(number), FetchOutcome::Failed);
        }
        for second in 2..30 {
            let later = time_until_healthy(&mut schedule, START + second * SECOND, mute, 9);
            assert!(later <= 50 * MILLI, "{mute} mute, {second} s: {later} us");
            for number in 0..mute {
                schedule.on_fetch_ended(
                    START + (second + 1) * SECOND,
                    Rules,
                    host(number),
                    FetchOutcome::Failed,
                );
            }
        }
    }
}

#[test]
fn all_hosts_are_asked_after_a_cut_failed_them_all() {
    let mut schedule = schedule();
    for number in [0, 1, 2, 9] {
        fail(&mut schedule, START, number);
    }
    let took = time_until_healthy(&mut schedule, START + SECOND, 3, 9);
    assert!(took <= 3 * HEDGE_DELAY + 10 * MILLI, "it took {took} us");
}

#[test]
fn no_other_host_is_asked_while_the_rows_of_one_arrive() {
    let mut schedule = schedule();
    let mut asked = Vec::new();
    for step in 0..=100 {
        let now = START + step * 20 * MILLI;
        offer_from(&mut schedule, now, [1, 2, 3]);
        while let Some(host) = schedule.next(now, Rules, newer_than(1)) {
            asked.push((step * 20, host));
        }
        schedule.on_progress(now, Rules, asked[0].1);
        let by_now = 1 + usize::from(step * 20 * MILLI >= PROGRESS_CREDIT + HEDGE_DELAY);
        assert!(asked.len() >= by_now, "at {} ms: {asked:?}", step * 20);
    }
    assert!(asked[1].0 * MILLI >= PROGRESS_CREDIT, "{asked:?}");
}

#[test]
fn another_host_is_asked_when_rows_stop_arriving() {
    let mut schedule = schedule();
    offer_from(&mut schedule, START, [1, 2]);
    let first = schedule.next(START, Rules, newer_than(1)).expect("a host is asked");
    let stalled = START + 300 * MILLI;
    schedule.on_progress(stalled, Rules, first);
    let before = Time(stalled.0 + HEDGE_DELAY - 1);
    assert_eq!(schedule.next(before, Rules, newer_than(1)), None);
    assert!(schedule.next(stalled + HEDGE_DELAY, Rules, newer_than(1)).is_some());
}
