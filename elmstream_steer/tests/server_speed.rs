//! What hosts make of servers that report how fast they work, in virtual time.
//!
//! The load: at any moment a sixth of the servers takes 2.5 times as long as usual, others every
//! 600 ms, and callers allow 2.5 times the usual answer time of a warm server. An answer that was
//! begun at a slow server is therefore late.

mod support;

use std::collections::BTreeMap;

use elmstream::time::{MILLI, Time};
use elmstream_steer::{
    Bounds, Pick, PickRequest, Steer, hash,
    heartbeat::{Reachability, ServerLoad},
    model::{Repeatability, Route},
    policies::{Policies, SpeedPolicy},
    server_speed::{ServerSpeed, SpeedSource},
    servers::{Outcome, ServerIndex},
};
use support::{domains, exchange_heartbeats, ms, pick_request, ready, route, send, server};

/// Time that a warm server takes as usual, and the time that callers allow, in milliseconds.
const WARM_MS: u64 = 160;
const ALLOWED_MS: u64 = 400;
/// Part of an answer time that does not depend on the server's speed, in milliseconds.
const TRANSIT_MS: u64 = 10;
/// Answer time of a server that does not know the key, in milliseconds.
const NOT_WARM_MS: u64 = 540;
/// Time for which a server works slowly, in milliseconds, and the time of work then, in percent.
const TURN_MS: u64 = 600;
const SLOW_PERCENT: u16 = 250;
/// Length of a play in milliseconds, and of its steps.
const PLAY_MS: u64 = 12_000;
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 200;
const SERVERS: usize = 12;
const KEYS: u64 = 48;
const DECAY_MS: u64 = 600;

/// Reports are used.
const REPORTS: SpeedPolicy = SpeedPolicy { report_decay_ms: DECAY_MS };

fn set_policy(host: &mut Steer, speed: SpeedPolicy) {
    let policies = Policies { speed, ..Policies::default() };
    host.reconfigure(domains(), Bounds::default(), policies);
}

/// Hosts of one region that use reports as the policy says, and know twelve servers.
fn fleet(hosts: usize, speed: SpeedPolicy) -> Vec<Steer> {
    let rows: Vec<_> = (0..SERVERS).map(|n| server(&format!("s-{n}"), "a1", 10)).collect();
    let mut fleet: Vec<Steer> = (0..hosts).map(|n| ready(n * 4, ms(0), rows.clone())).collect();
    fleet.iter_mut().for_each(|host| set_policy(host, speed));
    fleet
}

/// Percent of the usual time that work takes at a server.
fn percent(name: &str, at: u64) -> u16 {
    let server = hash::of(name);
    let turn = (at + server % TURN_MS) / TURN_MS;
    if hash::combine(server, turn).is_multiple_of(6) { SLOW_PERCENT } else { 100 }
}

/// A request that a server works on.
struct Running {
    due: u64,
    began: u64,
    host: usize,
    index: ServerIndex,
    was_warm: bool,
    kind: &'static str,
}

/// Requests by kind, and how many of them were answered late or refused.
#[derive(Default)]
struct Play {
    all: BTreeMap<&'static str, usize>,
    late: BTreeMap<&'static str, usize>,
}

impl Play {
    fn late_share(&self, kind: &str) -> f64 {
        let count = |counts: &BTreeMap<&'static str, usize>| counts.get(kind).copied();
        count(&self.late).unwrap_or(0) as f64 / count(&self.all).unwrap_or(1) as f64
    }
}

/// Makes the first two servers of each key warm for it at all hosts.
fn warm_up(fleet: &mut [Steer]) {
    let route = route(Repeatability::Safe, &[]);
    for host in fleet {
        for key in 0..KEYS {
            let mut tried = Vec::new();
            for _ in 0..2 {
                let request = PickRequest { tried: &tried, ..pick_request(&route, key) };
                let Pick::Send(index) = host.pick_server(ms(1), &request) else { panic!("idle") };
                host.record_outcome(ms(1), index, Outcome::NotSent);
                host.record_warm_key(ms(1), index, key);
                tried.push(index);
            }
        }
    }
}

/// Plays the load on three hosts, with a request each `interval` milliseconds.
fn play(speed: SpeedPolicy, interval: u64) -> Play {
    let mut fleet = fleet(3, speed);
    warm_up(&mut fleet);
    let mut running: Vec<Running> = Vec::new();
    let mut played = Play::default();
    let routes: [(&str, Route); 2] =
        [("read", route(Repeatability::Safe, &[])), ("write", route(Repeatability::Once, &[]))];
    for at in (10..PLAY_MS).step_by(STEP_MS as usize) {
        if at % HEARTBEAT_MS == 0 {
            exchange_heartbeats(ms(at), &mut fleet, |_, _| true);
        }
        let (due, rest) = running.into_iter().partition(|request| request.due <= at);
        running = rest;
        for request in due {
            answer(&mut fleet[request.host], &request, at, &mut played);
        }
        if at % interval == 0 {
            let number = at / interval;
            let host = number as usize % fleet.len();
            let (kind, route) = &routes[(number / 3) as usize % 2];
            let key = hash::combine(number, 7) % KEYS;
            *played.all.entry(kind).or_default() += 1;
            match begin(&mut fleet[host], host, at, (kind, route), key) {
                Some(request) => running.push(request),
                None => *played.late.entry(kind).or_default() += 1,
            }
        }
    }
    played
}

/// Sends a request.
fn begin(
    steer: &mut Steer,
    host: usize,
    at: u64,
    (kind, route): (&'static str, &Route),
    key: u64,
) -> Option<Running> {
    let Pick::Send(index) = send(steer, ms(at), route, key) else { return None };
    let was_warm = steer.record_warm_key(ms(at), index, key);
    let usual = if was_warm { WARM_MS } else { NOT_WARM_MS };
    let took = usual * u64::from(percent(&support::id(steer, index), at)) / 100 + TRANSIT_MS;
    Some(Running { due: at + took, began: at, host, index, was_warm, kind })
}

fn answer(steer: &mut Steer, request: &Running, at: u64, played: &mut Play) {
    let percent = percent(&support::id(steer, request.index), at);
    steer.record_server_speed(ms(at), request.index, percent, SpeedSource::Answer);
    let micros = (request.due - request.began) * MILLI;
    let outcome = Outcome::Answered { micros, was_warm: request.was_warm };
    steer.record_outcome(ms(at), request.index, outcome);
    if request.due - request.began > ALLOWED_MS {
        *played.late.entry(request.kind).or_default() += 1;
    }
}

/// If answers come more often than servers change, the reports with them and those of the other
/// hosts tell most slow moments: at least two late answers in five must be avoided.
#[test]
fn reports_of_busy_servers_avoid_late_answers() {
    let (without, with) = (play(SpeedPolicy::default(), 10), play(REPORTS, 10));
    for kind in ["read", "write"] {
        let (before, after) = (without.late_share(kind), with.late_share(kind));
        println!("{kind}: {before:.3} late without reports, {after:.3} with them");
        assert!(before > 0.1, "{kind}: the load makes answers late: {before:.3}");
        assert!(after < before * 0.6, "{kind}: {after:.3} late, {before:.3} without reports");
    }
}

#[test]
fn old_figure_goes_back_to_usual() {
    let mut speed = ServerSpeed::default();
    assert!(speed.on_report(ms(0), 300, 0));
    let decay = DECAY_MS * MILLI;
    assert_eq!(speed.factor(ms(0), decay), 3.0);
    let after_decay = speed.factor(ms(DECAY_MS), decay);
    assert!((after_decay - (1.0 + 2.0 / std::f64::consts::E)).abs() < 1e-9, "{after_decay}");
    assert!(speed.factor(ms(DECAY_MS * 8), decay) < 1.01);
    assert_eq!(speed.factor(ms(0), 0), 1.0, "with a decay of 0 reports are not used");
}

#[test]
fn implausible_figure_is_no_report() {
    let mut speed = ServerSpeed::default();
    assert!(speed.on_report(ms(0), 200, 0));
    for percent in [0, 10_001, u16::MAX] {
        assert!(!speed.on_report(ms(10), percent, 0));
    }
    assert_eq!(speed.factor(ms(0), DECAY_MS * MILLI), 2.0);
}

#[test]
fn older_report_never_replaces_a_newer_one() {
    let mut speed = ServerSpeed::default();
    assert!(speed.on_report(ms(100), 100, 0));
    assert!(!speed.on_report(ms(120), 250, 50 * MILLI));
    assert_eq!(speed.factor(ms(120), DECAY_MS * MILLI), 1.0);
    assert!(speed.on_report(ms(130), 250, 10 * MILLI));
    assert!(speed.factor(ms(130), DECAY_MS * MILLI) > 2.4);
}

/// Answers that take as long as the server reported with them say nothing more against it.
#[test]
fn one_cause_is_not_counted_twice() {
    let mut host = fleet(1, REPORTS).remove(0);
    let index = host.servers().find("s-0").expect("it is known");
    let mut now = ms(0);
    for n in 0..200 {
        now = ms(n * 10);
        host.record_server_speed(now, index, SLOW_PERCENT, SpeedSource::Answer);
        let micros = WARM_MS * MILLI * u64::from(SLOW_PERCENT) / 100;
        host.record_outcome(now, index, Outcome::Answered { micros, was_warm: true });
    }
    let slowness = slowness(&host, "s-0", now);
    assert!((2.4..2.6).contains(&slowness), "{slowness}");
    let times = host.servers().answer_times(support::SERVICE);
    assert!((times.warm_ms - WARM_MS as f64).abs() < 1.0, "{times:?}");
}

/// Records an answer that took 160 ms, with what the server reported with it.
fn record_answer(host: &mut Steer, index: ServerIndex, at: u64, percent: Option<u16>) {
    if let Some(percent) = percent {
        host.record_server_speed(ms(at), index, percent, SpeedSource::Answer);
    }
    let outcome = Outcome::Answered { micros: WARM_MS * MILLI, was_warm: true };
    host.record_outcome(ms(at), index, outcome);
}

fn warm_ms(host: &Steer) -> f64 {
    host.servers().answer_times(support::SERVICE).warm_ms
}

/// The answer times of a service count for all its servers, so a figure that one of them reports
/// wrongly must not move them beyond four times either way.
#[test]
fn effect_of_a_wrong_figure_on_answer_times_is_bounded() {
    let usual_ms = WARM_MS as f64;
    for (percent, expected_ms) in [(10_000, usual_ms / 4.0), (1, usual_ms * 4.0)] {
        let mut host = fleet(1, REPORTS).remove(0);
        let index = host.servers().find("s-0").expect("it is known");
        (0..300).for_each(|n| record_answer(&mut host, index, n * 10, Some(percent)));
        let warm_ms = warm_ms(&host);
        assert!((warm_ms / expected_ms - 1.0).abs() < 0.01, "{percent}: {warm_ms} ms");
    }
    // Figures within the bounds are used as they are.
    for percent in [25, 400] {
        let mut host = fleet(1, REPORTS).remove(0);
        let index = host.servers().find("s-0").expect("it is known");
        (0..300).for_each(|n| record_answer(&mut host, index, n * 10, Some(percent)));
        let expected_ms = usual_ms * 100.0 / f64::from(percent);
        let warm_ms = warm_ms(&host);
        assert!((warm_ms / expected_ms - 1.0).abs() < 0.01, "{percent}: {warm_ms} ms");
    }
}

/// What came with one answer says nothing about the time that another took.
#[test]
fn answers_use_no_figure_of_other_answers() {
    let mut host = fleet(1, REPORTS).remove(0);
    let index = host.servers().find("s-0").expect("it is known");
    (0..300).for_each(|n| record_answer(&mut host, index, n * 10, None));
    let usual_ms = warm_ms(&host);
    host.record_server_speed(ms(3_000), index, SLOW_PERCENT, SpeedSource::BrokenAnswer);
    assert!(slowness(&host, "s-0", ms(3_000)) > 2.4, "its speed is known all the same");
    record_answer(&mut host, index, 3_010, None);
    assert!((warm_ms(&host) - usual_ms).abs() < 0.1, "after an answer that broke off");
    record_answer(&mut host, index, 3_020, Some(SLOW_PERCENT));
    let after_report_ms = warm_ms(&host);
    assert!(after_report_ms < usual_ms - 1.0, "{after_report_ms} ms, {usual_ms} ms before");
    record_answer(&mut host, index, 3_030, None);
    assert!(warm_ms(&host) > after_report_ms, "the figure was used once");
    // One that comes with a refusal is not left for the next answer.
    host.record_server_speed(ms(3_040), index, SLOW_PERCENT, SpeedSource::Answer);
    host.record_outcome(ms(3_040), index, Outcome::Full);
    let before_ms = warm_ms(&host);
    record_answer(&mut host, index, 3_050, None);
    assert!(warm_ms(&host) > before_ms, "after a refusal");
}

fn slowness(host: &Steer, name: &str, now: Time) -> f64 {
    let index = host.servers().find(name).expect("it is known");
    host.servers().get(index).expect("it is known").slowness(now)
}

/// Hosts pass on what they read from a server themselves, with its age, and nothing that they heard
/// from another host, which would otherwise go around without end.
#[test]
fn hosts_pass_on_only_what_they_read_themselves() {
    let mut fleet = fleet(3, REPORTS);
    let index = fleet[0].servers().find("s-0").expect("it is known");
    fleet[0].record_server_speed(ms(100), index, SLOW_PERCENT, SpeedSource::Answer);
    exchange_heartbeats(ms(250), &mut fleet, |from, to| (from, to) == (0, 1));
    let (own, heard) = (slowness(&fleet[0], "s-0", ms(250)), slowness(&fleet[1], "s-0", ms(250)));
    assert!(own > 2.0 && (own - heard).abs() < 0.05, "{own}, {heard} elsewhere");
    exchange_heartbeats(ms(300), &mut fleet, |from, to| (from, to) == (1, 2));
    assert_eq!(slowness(&fleet[2], "s-0", ms(300)), 1.0);
    // A report that has lost most of its weight is not passed on.
    let late = ms(100 + DECAY_MS);
    assert!(fleet[0].next_heartbeat(late).loads.is_empty());
}

#[test]
fn usual_speeds_of_idle_servers_are_not_sent() {
    let mut host = fleet(1, REPORTS).remove(0);
    for (name, percent) in [("s-0", 100), ("s-1", 124), ("s-2", 125), ("s-3", 75)] {
        let index = host.servers().find(name).expect("it is known");
        host.record_server_speed(ms(100), index, percent, SpeedSource::Answer);
    }
    let loads = host.next_heartbeat(ms(110)).loads;
    let mut sent: Vec<(u16, u8)> =
        loads.iter().map(|load| (load.speed_percent, load.speed_age)).collect();
    sent.sort_unstable();
    assert_eq!(sent, [(75, 1), (125, 1)]);
}

/// A heartbeat must fit into a datagram of 16 KiB whatever servers report.
#[test]
fn heartbeat_with_all_servers_slow_stays_small() {
    let rows = (0..600).map(|n| server(&format!("s-{n}"), "a1", 10)).collect();
    let mut host = ready(0, ms(0), rows);
    set_policy(&mut host, REPORTS);
    let all: Vec<ServerIndex> = host.servers().all().map(|(index, _)| index).collect();
    for index in all {
        host.record_server_speed(ms(100), index, 10_000, SpeedSource::Answer);
    }
    let heartbeat = host.next_heartbeat(ms(600));
    assert_eq!(heartbeat.loads.len(), 128);
    let bytes = postcard::to_allocvec(&heartbeat).expect("a heartbeat can be serialized").len();
    assert!(bytes < 2_048, "{bytes} bytes");
}

/// Reports of speed alone must not make a host that is cut off look connected.
#[test]
fn speeds_do_not_count_as_servers_that_answer() {
    let mut hosts = fleet(2, REPORTS);
    let mut heartbeat = hosts[0].next_heartbeat(ms(100));
    let entry = |n: usize, reachability| ServerLoad {
        server: hash::of(format!("s-{n}")) as u32,
        in_flight: 0,
        reachability,
        speed_percent: SLOW_PERCENT,
        speed_age: 0,
    };
    heartbeat.loads = (0..4).map(|n| entry(n, Reachability::Silent)).collect();
    heartbeat.loads.extend((4..SERVERS).map(|n| entry(n, Reachability::Unreported)));
    hosts[1].on_heartbeat(ms(100), &heartbeat);
    assert!(hosts[1].servers().all().all(|(_, entry)| entry.silent_elsewhere == 0));
}
