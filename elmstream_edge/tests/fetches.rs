//! Whom a host asks for rows, in virtual time.

use std::net::{Ipv4Addr, SocketAddr};

use elmstream::time::{MILLI, SECOND, Time};
use elmstream_edge::fetch_schedule::{
    FAILED_HOST_PAUSE, FetchOutcome, FetchSchedule, HEDGE_DELAY, MAX_CONCURRENT_FETCHES,
    RETRY_JITTER, RETRY_PAUSE,
};
use elmstream_steer::{
    heartbeat::TableStatus,
    version::StoreVersion,
    view::Table::{self, Rules, Servers},
};

const START: Time = Time(100 * SECOND);
/// Time after which a fetch from a mute host is given up.
const FETCH: u64 = 700 * MILLI;

/// A host that knows a table up to a version.
fn knows(count: u64) -> TableStatus {
    TableStatus { version: StoreVersion::new(0, count), ..TableStatus::default() }
}

/// What is news to a host that knows a table up to a version.
fn newer_than(count: u64) -> impl Fn(&TableStatus) -> bool {
    move |known| known.version > StoreVersion::new(0, count)
}

fn host(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, 1, number), 7_002))
}

fn fetches() -> FetchSchedule {
    FetchSchedule::new(7)
}

/// Hosts whose beats have just come, each a moment after the one before.
fn offers(fetches: &mut FetchSchedule, now: Time, hosts: impl IntoIterator<Item = u8>) {
    for (moment, number) in hosts.into_iter().enumerate() {
        fetches.offer(now + moment as u64, Rules, host(number), &knows(2));
    }
}

/// A host whose fetch has just failed.
fn fail(fetches: &mut FetchSchedule, now: Time, number: u8) {
    fetches.offer(now, Rules, host(number), &knows(2));
    assert_eq!(fetches.next(now, Rules, newer_than(1)), Some(host(number)));
    fetches.on_fetch_ended(now, Rules, host(number), FetchOutcome::Failed);
}

/// Plays beats each 50 ms of mute hosts and then of a sound one, whose fetch takes no
/// time; the time until the sound one is asked.
fn until_sound(fetches: &mut FetchSchedule, from: Time, mute: u8, sound: u8) -> u64 {
    let mut under_way: Vec<(Time, SocketAddr)> = Vec::new();
    for step in 0..500 {
        let now = from + step * 10 * MILLI;
        for (began, mute) in under_way.extract_if(.., |(began, _)| now.since(*began) >= FETCH) {
            assert!(now.since(began) >= FETCH);
            fetches.on_fetch_ended(now, Rules, mute, FetchOutcome::Failed);
        }
        if step % 5 == 0 {
            offers(fetches, now, [sound].into_iter().chain(0..mute));
        }
        while let Some(asked) = fetches.next(now, Rules, newer_than(1)) {
            if asked == host(sound) {
                fetches.on_fetch_ended(now, Rules, asked, FetchOutcome::Received);
                return now.since(from);
            }
            under_way.push((now, asked));
        }
    }
    panic!("the sound host was never asked");
}

#[test]
fn the_host_whose_beat_came_last_is_asked_first() {
    let mut fetches = fetches();
    offers(&mut fetches, START, [1, 2, 3]);
    let now = START + 10;
    assert_eq!(fetches.next(now, Rules, newer_than(1)), Some(host(3)));
    assert_eq!(fetches.next(now, Rules, newer_than(1)), None, "one is enough at first");
}

#[test]
fn a_slow_fetch_stops_no_other_and_a_bounded_number_goes_on_at_once() {
    let mut fetches = fetches();
    offers(&mut fetches, START, 0..10);
    let mut asked = 0;
    for turn in 0..10 {
        let now = START + 10 + turn * HEDGE_DELAY;
        asked += usize::from(fetches.next(now, Rules, newer_than(1)).is_some());
        assert_eq!(fetches.next(now, Rules, newer_than(1)), None);
    }
    assert_eq!(asked, MAX_CONCURRENT_FETCHES);
}

#[test]
fn tables_are_fetched_beside_each_other() {
    let mut fetches = fetches();
    for table in [Rules, Servers] {
        fetches.offer(START, table, host(1), &knows(2));
    }
    assert_eq!(fetches.next(START, Rules, newer_than(1)), Some(host(1)));
    assert_eq!(fetches.next(START, Servers, newer_than(1)), Some(host(1)));
}

#[test]
fn what_is_known_meanwhile_is_not_asked_for() {
    let mut fetches = fetches();
    offers(&mut fetches, START, [1, 2]);
    assert_eq!(fetches.next(START + 10, Rules, newer_than(2)), None);
}

#[test]
fn one_that_knows_nothing_asks_whatever_the_version() {
    let mut fetches = fetches();
    fetches.offer(START, Rules, host(1), &knows(0));
    assert_eq!(fetches.next(START, Rules, |_| true), Some(host(1)));
}

#[test]
fn an_old_offer_is_not_taken() {
    let mut fetches = fetches();
    offers(&mut fetches, START, [1]);
    assert_eq!(fetches.next(START + 3 * SECOND, Rules, newer_than(1)), None);
}

#[test]
fn a_host_that_told_is_asked_again_only_after_its_next_beat() {
    let mut fetches = fetches();
    offers(&mut fetches, START, [1]);
    assert_eq!(fetches.next(START, Rules, newer_than(1)), Some(host(1)));
    fetches.on_fetch_ended(START, Rules, host(1), FetchOutcome::Received);
    assert_eq!(fetches.next(START + SECOND, Rules, newer_than(1)), None);
    offers(&mut fetches, START + SECOND, [1]);
    assert_eq!(fetches.next(START + SECOND, Rules, newer_than(1)), Some(host(1)));
}

#[test]
fn one_that_refused_is_asked_again_soon_and_others_at_once() {
    let mut fetches = fetches();
    offers(&mut fetches, START, [1, 2]);
    let now = START + 10;
    assert_eq!(fetches.next(now, Rules, newer_than(1)), Some(host(2)));
    let again = fetches.on_fetch_ended(now, Rules, host(2), FetchOutcome::Refused);
    assert!(again.since(now) >= RETRY_PAUSE && again.since(now) < RETRY_PAUSE + RETRY_JITTER);
    assert_eq!(fetches.next(now, Rules, newer_than(1)), Some(host(1)));
    fetches.on_fetch_ended(now, Rules, host(1), FetchOutcome::Refused);
    assert_eq!(fetches.next(now, Rules, newer_than(1)), None);
    assert!(fetches.next(now + RETRY_PAUSE + RETRY_JITTER, Rules, newer_than(1)).is_some());
}

#[test]
fn those_who_are_refused_together_come_back_apart() {
    let again = |seed| {
        let mut fetches = FetchSchedule::new(seed);
        offers(&mut fetches, START, [1]);
        fetches.next(START, Rules, newer_than(1));
        fetches.on_fetch_ended(START, Rules, host(1), FetchOutcome::Refused)
    };
    let mut times: Vec<Time> = (0..100).map(again).collect();
    times.sort();
    let spread = times[99].since(times[0]);
    assert!(spread > RETRY_JITTER / 2, "spread over {spread} us only");
}

#[test]
fn a_host_that_failed_is_not_asked_while_others_offer() {
    let mut fetches = fetches();
    fail(&mut fetches, START, 1);
    for turn in 1..40 {
        let now = START + turn * 100 * MILLI;
        offers(&mut fetches, now, [2, 1]);
        if let Some(asked) = fetches.next(now, Rules, newer_than(1)) {
            assert_eq!(asked, host(2));
            fetches.on_fetch_ended(now, Rules, asked, FetchOutcome::Refused);
        }
    }
}

#[test]
fn a_host_that_failed_is_asked_if_nobody_else_offers() {
    let mut fetches = fetches();
    fail(&mut fetches, START, 1);
    let now = START + RETRY_PAUSE + RETRY_JITTER;
    assert_eq!(fetches.next(now, Rules, newer_than(1)), Some(host(1)));
}

#[test]
fn a_host_that_failed_long_ago_is_asked_beside_the_others_and_holds_up_none() {
    let mut fetches = fetches();
    fail(&mut fetches, START, 1);
    let now = START + FAILED_HOST_PAUSE;
    offers(&mut fetches, now, [1]);
    assert_eq!(fetches.next(now, Rules, newer_than(1)), Some(host(1)));
    offers(&mut fetches, now, [2]);
    assert_eq!(fetches.next(now, Rules, newer_than(1)), Some(host(2)));
}

#[test]
fn a_host_that_tells_again_is_trusted_again() {
    let mut fetches = fetches();
    fail(&mut fetches, START, 1);
    let now = START + FAILED_HOST_PAUSE;
    fetches.offer(now, Servers, host(1), &knows(2));
    assert_eq!(fetches.next(now, Servers, newer_than(1)), Some(host(1)));
    fetches.on_fetch_ended(now, Servers, host(1), FetchOutcome::Received);
    offers(&mut fetches, now, [2, 1]);
    assert_eq!(fetches.next(now + 10, Rules, newer_than(1)), Some(host(1)));
}

#[test]
fn a_failure_counts_for_both_tables() {
    let mut fetches = fetches();
    fail(&mut fetches, START, 1);
    let servers: Table = Servers;
    fetches.offer(START, servers, host(2), &knows(2));
    fetches.offer(START + 1, servers, host(1), &knows(2));
    assert_eq!(fetches.next(START + 1, servers, newer_than(1)), Some(host(2)));
}

#[test]
fn mute_hosts_cost_a_hedge_each_once_and_nothing_then() {
    for mute in 0..=3 {
        let mut fetches = fetches();
        let first = until_sound(&mut fetches, START, mute, 9);
        assert!(first <= u64::from(mute) * HEDGE_DELAY + 10 * MILLI, "{mute} mute: {first} us");
        // What is under way at the end of a play goes on; it is given up here.
        for number in 0..mute {
            fetches.on_fetch_ended(START + SECOND, Rules, host(number), FetchOutcome::Failed);
        }
        for second in 2..30 {
            let later = until_sound(&mut fetches, START + second * SECOND, mute, 9);
            assert!(later <= 50 * MILLI, "{mute} mute, {second} s: {later} us");
            for number in 0..mute {
                fetches.on_fetch_ended(
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
fn after_a_cut_that_made_all_fail_all_get_their_turn() {
    let mut fetches = fetches();
    for number in [0, 1, 2, 9] {
        fail(&mut fetches, START, number);
    }
    let took = until_sound(&mut fetches, START + SECOND, 3, 9);
    assert!(took <= 3 * HEDGE_DELAY + 10 * MILLI, "it took {took} us");
}
