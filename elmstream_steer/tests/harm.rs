//! Poison requests: which requests are refused, how soon all hosts refuse them, and how many
//! servers crash before that.

#[path = "support/harm.rs"]
mod fleets;
mod support;

use elmstream_steer::{
    Pick, Steer,
    digest::RequestDigest,
    model::Repeatability,
    poison::{PoisonChange, PoisonTracker, ServerCrash},
    servers::Outcome,
};
use fleets::{CopyLimit, CrashCounting, Fleet, RunStats, digest};
use quickcheck::{TestResult, quickcheck};
use support::{host, ms, ready, route, send, servers};

/// Time in which all hosts must know of a refusal: half of the 3 s after which a host counts as
/// connected again.
const REFUSED_BY_ALL_MS: u64 = 1_500;
const POISON: u64 = 1;
const UNIX_S: u64 = 1_000_000;

fn crash(request: u64, server: u64, generation: u8) -> ServerCrash {
    ServerCrash { digest: digest(request), server, generation, at_s: UNIX_S, voided: false }
}

fn refuses(host: &Steer, request: u64) -> bool {
    host.poison().refusal(&digest(request)).is_some()
}

/// Creates a fleet and lets its hosts exchange heartbeats for two seconds.
fn connected_fleet(hosts: usize, servers: usize, counting: CrashCounting, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, servers, counting, seed);
    while fleet.at_ms < 2_000 {
        fleet.step();
    }
    fleet
}

#[test]
fn all_hosts_refuse_a_request_soon_after_its_third_crash() {
    for hosts in [12, 75, 295, 1_205] {
        let mut fleet = connected_fleet(hosts, 40, CrashCounting::Generations, 1);
        let (now, unix_s) = (fleet.now(), fleet.unix_s());
        // One host observed all three crashes, as it retried the request and its caller came back.
        for server in 0..3 {
            let generations = fleet.hosts[0].poison().generation(&digest(POISON));
            fleet.hosts[0].on_server_crash(now, unix_s, digest(POISON), server, generations);
        }
        let began = fleet.at_ms;
        while fleet.hosts.iter().any(|host| !refuses(host, POISON)) {
            fleet.step();
            let took_ms = fleet.at_ms - began;
            assert!(
                took_ms <= REFUSED_BY_ALL_MS,
                "{hosts} hosts: not refused by all after {took_ms} ms"
            );
        }
        println!("{hosts} hosts: refused by all after {} ms", fleet.at_ms - began);
    }
}

/// Runs a poison request that comes `copies` at a time, every `every` milliseconds, beside harmless
/// requests.
fn run_poison_fleet(counting: CrashCounting, copies: usize, every: u64, seed: u64) -> RunStats {
    let mut fleet = connected_fleet(12, 40, counting, seed);
    run_poison(&mut fleet, copies, every);
    fleet.stats
}

fn run_poison(fleet: &mut Fleet, copies: usize, every: u64) {
    let until = fleet.at_ms + 20_000;
    let mut number = 1_000_000;
    while fleet.at_ms < until {
        if fleet.at_ms.is_multiple_of(every) {
            for _ in 0..copies {
                let host = fleet.random_below(12);
                fleet.send_request(host, digest(POISON), true);
            }
        }
        for _ in 0..4 {
            let host = fleet.random_below(12);
            number += 1;
            fleet.send_request(host, digest(number), false);
        }
        fleet.step();
    }
}

#[test]
fn poison_request_crashes_few_servers_at_any_rate() {
    for (copies, every) in [(1, 500), (1, 5_000), (2, 500), (2, 5_000), (3, 500), (3, 5_000)] {
        let mut worst = [RunStats::default(); 2];
        for seed in 0..8 {
            for (worst, counting) in
                worst.iter_mut().zip([CrashCounting::Generations, CrashCounting::Servers])
            {
                let stats = run_poison_fleet(counting, copies, every, seed);
                worst.crashed = worst.crashed.max(stats.crashed);
                worst.late = worst.late.max(stats.late);
                worst.refused = worst.refused.max(stats.refused);
                worst.lost = worst.lost.max(stats.lost);
            }
        }
        println!("{copies} copies each {every} ms: by generations {:?}", worst[0]);
        println!("{copies} copies each {every} ms: by servers     {:?}", worst[1]);
        assert!(worst[0].late <= 3, "{copies} copies each {every} ms: {:?}", worst[0]);
        assert_eq!(worst[0].refused, 0);
    }
}

/// Runs harmless requests with equal content while servers are killed.
fn run_harmless_fleet(counting: CrashCounting, kills: &[(u64, usize)], seed: u64) -> RunStats {
    let mut fleet = connected_fleet(12, 40, counting, seed);
    run_harmless(&mut fleet, kills);
    fleet.stats
}

fn run_harmless(fleet: &mut Fleet, kills: &[(u64, usize)]) {
    let began = fleet.at_ms;
    for (after, servers) in kills {
        fleet.kill_at(began + after, *servers);
    }
    while fleet.at_ms < began + 10_000 {
        for _ in 0..8 {
            let host = fleet.random_below(12);
            let request = fleet.random_below(4) as u64 + 10;
            fleet.send_request(host, digest(request), false);
        }
        fleet.step();
    }
}

#[test]
fn equal_harmless_requests_are_never_refused_as_poison() {
    let rolling: Vec<(u64, usize)> = (1..30).map(|n| (n * 300, 1 + n as usize % 3)).collect();
    let kill_plans: [(&str, &[(u64, usize)]); 4] = [
        ("30 of 40 at once", &[(500, 30)]),
        ("30 of 40, again after 3 s", &[(500, 30), (3_500, 30)]),
        ("a few at a time", &rolling),
        ("all at once", &[(500, 40)]),
    ];
    let mut refused_by_servers = 0;
    for (name, kills) in kill_plans {
        let mut sums = [RunStats::default(); 2];
        for seed in 0..8 {
            for (sum, counting) in
                sums.iter_mut().zip([CrashCounting::Generations, CrashCounting::Servers])
            {
                let stats = run_harmless_fleet(counting, kills, seed);
                sum.refused += stats.refused;
                sum.lost += stats.lost;
                sum.answered += stats.answered;
            }
        }
        println!("{name}: by generations {:?}", sums[0]);
        println!("{name}: by servers     {:?}", sums[1]);
        assert_eq!(sums[0].refused, 0, "{name}");
        refused_by_servers += sums[1].refused;
    }
    assert!(refused_by_servers > 0, "counting by servers must refuse some");
}

/// Sends `copies` copies of a poison request at once, every 5 s. Returns the highest number over
/// three seeds of: crashed servers, late arrivals, and the milliseconds that harmless requests wait
/// for each other while 30 of 40 servers are killed.
fn worst_of_copies(copy_limit: CopyLimit, attempts: usize, copies: usize) -> (usize, usize, u64) {
    let (mut crashed, mut late, mut waited_ms) = (0, 0, 0);
    for seed in 0..3 {
        let mut fleet = connected_fleet(12, 40, CrashCounting::Generations, seed);
        (fleet.copy_limit, fleet.attempts_max) = (copy_limit, attempts);
        run_poison(&mut fleet, copies, 5_000);
        crashed = crashed.max(fleet.stats.crashed);
        late = late.max(fleet.stats.late);
        let mut harmless = connected_fleet(12, 40, CrashCounting::Generations, seed);
        (harmless.copy_limit, harmless.attempts_max) = (copy_limit, attempts);
        run_harmless(&mut harmless, &[(500, 30)]);
        waited_ms = waited_ms.max(harmless.stats.waited_ms);
    }
    (crashed, late, waited_ms)
}

/// Guards the decision to send copies of a suspected request independently. Limiting them to one at
/// a time in each host saves hardly a server, and delays harmless requests with equal content.
///
/// Worst of eight seeds with 1, 3 and 6 copies at once of a request with two attempts: 3, 6, 12
/// servers crash if copies are independent, 3, 6, 11 with one copy at a time in each host, 3, 5, 8
/// with one in the fleet; harmless requests wait 0, 6.3 and 11.6 s for each other in all. With one
/// attempt, 0, 3 and 6 arrivals of independent copies are late: more than three copies at once are
/// not bounded then.
#[test]
fn one_copy_per_host_saves_hardly_a_server_and_delays_others() {
    let (crashed, late, waited_ms) = worst_of_copies(CopyLimit::Unlimited, 2, 6);
    let (crashed_limited, _, waited_limited) = worst_of_copies(CopyLimit::Host, 2, 6);
    println!(
        "{crashed} crashed, {late} late, {waited_ms} ms; one at a time {crashed_limited}, {waited_limited} ms"
    );
    let (least, ..) = worst_of_copies(CopyLimit::Fleet, 2, 6);
    println!("{least} crashed with one copy in the fleet");
    assert!(late <= 3 && crashed <= crashed_limited + 1 && least <= crashed);
    assert!(waited_ms == 0 && waited_limited > 0);
}

#[test]
fn two_reports_of_one_crash_count_once_and_two_starts_count_twice() {
    let mut one = host(0, ms(0));
    one.merge_crashes(ms(0), &[crash(POISON, 1, 1), crash(POISON, 1, 2), crash(POISON, 1, 3)]);
    assert!(!refuses(&one, POISON));
    one.merge_crashes(ms(1), &[crash(POISON, 2, 2), crash(POISON, 3, 3)]);
    assert!(refuses(&one, POISON));
}

#[test]
fn complete_answer_clears_a_request_at_all_hosts() {
    let (mut one, mut two) = (host(0, ms(0)), host(1, ms(0)));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(POISON), server, server as u8);
    }
    two.on_heartbeat(ms(10), &one.next_heartbeat(ms(10)));
    assert!(refuses(&one, POISON) && refuses(&two, POISON));
    two.poison_mut().record_answer(ms(20), &digest(POISON));
    one.on_heartbeat(ms(30), &two.next_heartbeat(ms(30)));
    assert!(!refuses(&one, POISON) && !refuses(&two, POISON));
    // Late reports of the same crashes don't undo that.
    two.on_heartbeat(ms(40), &one.next_heartbeat(ms(40)));
    assert!(!refuses(&two, POISON));
}

#[test]
fn partitioned_host_learns_refusals_after_it_is_back() {
    let mut fleet = connected_fleet(12, 40, CrashCounting::Generations, 3);
    fleet.partitioned[5] = true;
    let (now, unix_s) = (fleet.now(), fleet.unix_s());
    for server in 0..3 {
        fleet.hosts[0].on_server_crash(now, unix_s, digest(POISON), server, server as u8);
    }
    let began = fleet.at_ms;
    while fleet.at_ms < began + 8_000 {
        fleet.step();
    }
    assert!(!refuses(&fleet.hosts[5], POISON));
    fleet.partitioned[5] = false;
    let back = fleet.at_ms;
    while !refuses(&fleet.hosts[5], POISON) {
        fleet.step();
        assert!(
            fleet.at_ms < back + REFUSED_BY_ALL_MS,
            "not refused {} ms after reconnecting",
            fleet.at_ms - back
        );
    }
}

#[test]
fn changes_are_reported_for_a_limited_time() {
    let mut one = host(0, ms(0));
    one.on_server_crash(ms(0), UNIX_S, digest(POISON), 1, 0);
    assert_eq!(one.next_heartbeat(ms(100)).crashes.len(), 1);
    assert_eq!(one.next_heartbeat(ms(3_900)).crashes.len(), 1);
    assert!(one.next_heartbeat(ms(4_100)).crashes.is_empty());
    // The crash is voided now, which is reported again.
    one.poison_mut().record_answer(ms(5_000), &digest(POISON));
    assert!(one.next_heartbeat(ms(5_100)).crashes[0].voided);
}

/// A harmless request was in flight at many servers that crashed; then a release of its service
/// makes it a poison request. Voided crashes must not fill the record and hide the new ones.
#[test]
fn request_cleared_often_is_still_refused_once_it_turns_poisonous() {
    let mut one = host(0, ms(0));
    for server in 0..40u64 {
        one.on_server_crash(ms(server * 10_000), UNIX_S, digest(POISON), server, 0);
        one.poison_mut().record_answer(ms(server * 10_000 + 100), &digest(POISON));
    }
    assert!(!refuses(&one, POISON));
    for server in 40..43u64 {
        let generations = one.poison().generation(&digest(POISON));
        one.on_server_crash(ms(500_000 + server), UNIX_S, digest(POISON), server, generations);
    }
    assert!(refuses(&one, POISON));
}

#[test]
fn memory_is_bounded_and_refused_requests_are_kept() {
    let mut one = host(0, ms(0));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(POISON), server, server as u8);
    }
    for other in 0..20_000u64 {
        one.on_server_crash(ms(1), UNIX_S + other / 100, digest(100 + other), other, 0);
    }
    assert!(refuses(&one, POISON));
    let kept = (0..20_000).filter(|other| one.poison().generation(&digest(100 + other)) > 0);
    assert!(kept.count() <= 1_024);
    let heartbeat = one.next_heartbeat(ms(2));
    let size = postcard::to_allocvec(&heartbeat.crashes).expect("crashes can be encoded").len();
    assert!(size <= 500, "{size} bytes of a heartbeat");
}

#[test]
fn suspects_expire_before_refused_requests() {
    let mut one = host(0, ms(0));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(POISON), server, server as u8);
    }
    one.on_server_crash(ms(0), UNIX_S, digest(2), 9, 0);
    one.poison_mut().expire(ms(0), UNIX_S + 3_600);
    assert!(refuses(&one, POISON), "callers may return for an hour");
    assert_eq!(one.poison().generation(&digest(2)), 0);
    one.poison_mut().expire(ms(0), UNIX_S + 25 * 3_600);
    assert!(one.poison().is_empty());
}

#[test]
fn readmitted_request_is_readmitted_at_all_hosts() {
    let (mut one, mut two) = (host(0, ms(0)), host(1, ms(0)));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(POISON), server, server as u8);
    }
    assert!(one.poison().pending_listings(ms(0))[0].decided_here);
    one.poison_mut().mark_listed(&digest(POISON));
    assert!(one.poison().pending_listings(ms(0)).is_empty());
    two.on_heartbeat(ms(10), &one.next_heartbeat(ms(10)));
    assert!(
        two.poison().pending_listings(ms(9_000)).is_empty(),
        "only a host that observed a crash lists it"
    );
    // A host that observed another crash checks later whether the request is listed.
    two.on_server_crash(ms(10), UNIX_S, digest(POISON), 9, 2);
    assert!(two.poison().pending_listings(ms(1_000)).is_empty());
    assert!(two.poison().pending_listings(ms(2_100)).iter().all(|due| !due.decided_here));
    assert!(!one.poison_mut().readmit(ms(20), &digest(2)), "request 2 was not refused");
    assert!(one.poison_mut().readmit(ms(20), &digest(POISON)));
    two.on_heartbeat(ms(30), &one.next_heartbeat(ms(30)));
    assert!(!refuses(&one, POISON) && !refuses(&two, POISON));
}

#[test]
fn digest_round_trips_through_hex() {
    let known = digest(0xfeed);
    assert_eq!(RequestDigest::from_hex(&known.hex()), Some(known));
    assert_eq!(RequestDigest::from_hex("00"), None);
    assert_eq!(RequestDigest::from_hex("+0000000000000000000000000000000"), None);
}

quickcheck! {
    /// Hosts that receive the same crashes in any order, each any number of times, agree.
    fn order_of_reports_does_not_matter(reports: Vec<(u8, u8, u8, bool)>, seed: u64) -> TestResult {
        let crashes: Vec<ServerCrash> = reports
            .iter()
            .map(|(request, server, generation, voided)| ServerCrash {
                voided: *voided,
                ..crash(u64::from(request % 3), u64::from(server % 8), 1 + generation % 3)
            })
            .collect();
        let mut shuffled = crashes.clone();
        shuffled.extend(crashes.iter().copied());
        shuffled.sort_by_key(|crash| {
            elmstream_steer::hash::combine(seed, crash.server << 8 | u64::from(crash.generation))
        });
        let (mut one, mut two) = (host(0, ms(0)), host(1, ms(0)));
        one.merge_crashes(ms(0), &crashes);
        two.merge_crashes(ms(0), &shuffled);
        let agree = (0..3).all(|request| {
            refuses(&one, request) == refuses(&two, request)
                && one.poison().generation(&digest(request)) == two.poison().generation(&digest(request))
        });
        TestResult::from_bool(agree)
    }
}

#[test]
fn raised_generations_and_refusals_are_urgent() {
    let mut host = host(0, ms(0));
    host.next_heartbeat(ms(0));
    assert_eq!(host.on_server_crash(ms(0), UNIX_S, digest(POISON), 1, 0), PoisonChange::None);
    assert!(!host.has_urgent_news());
    assert_eq!(
        host.on_server_crash(ms(0), UNIX_S, digest(POISON), 2, 1),
        PoisonChange::GenerationRaised
    );
    assert!(host.has_urgent_news());
    assert!(matches!(
        host.on_server_crash(ms(0), UNIX_S, digest(POISON), 3, 2),
        PoisonChange::Refused(_)
    ));
}

/// A crash is not a failure of the server in its failure rate, and all hosts stop using the server
/// at once.
#[test]
fn crashed_server_is_avoided_by_all_hosts_at_once() {
    let mut hosts: Vec<Steer> = (0..2).map(|n| ready(n, ms(0), servers(1))).collect();
    let route = route(Repeatability::Safe, &[]);
    let Pick::Send(index) = send(&mut hosts[0], ms(0), &route, 7) else { panic!("no server") };
    let start = hosts[0].servers().get(index).expect("server is listed").start_hash();
    hosts[0].record_outcome(ms(10), index, Outcome::ServerCrashed);
    hosts[0].on_server_crash(ms(10), UNIX_S, digest(POISON), start, 0);
    let heartbeat = hosts[0].next_heartbeat(ms(10));
    hosts[1].on_heartbeat(ms(20), &heartbeat);
    for host in &mut hosts {
        let pick = send(host, ms(30), &route, 7);
        let Pick::Send(other) = pick else { panic!("no other server") };
        assert_ne!(host.servers().get(other).expect("server is listed").start_hash(), start);
        let crashed = host.servers().all().find(|(_, entry)| entry.start_hash() == start);
        let (_, crashed) = crashed.expect("server is still listed");
        assert_eq!(crashed.failure_rate(ms(30)), 0.0);
        assert!(!crashed.is_silent(ms(30), host.servers().answer_times("shop")));
    }
}

/// The host that executes an operator's order may not have received the last crash yet, while
/// another host already refuses the request. The crash must not undo the readmission when it
/// arrives.
#[test]
fn readmission_holds_at_a_host_that_is_behind() {
    let digest = RequestDigest::from_hex(&"a1".repeat(16)).expect("a digest");
    let crash = |server| ServerCrash {
        digest,
        server,
        generation: server as u8,
        at_s: UNIX_S,
        voided: false,
    };
    for behind in 0..=3 {
        let (mut behind_host, mut other) = (PoisonTracker::default(), PoisonTracker::default());
        for server in 1..=3 {
            other.merge(ms(0), &crash(server));
        }
        for server in 1..=behind {
            behind_host.merge(ms(0), &crash(server));
        }
        behind_host.readmit(ms(10), &digest);
        behind_host.expire(ms(15), UNIX_S);
        for report in other.next_reports(ms(20)) {
            behind_host.merge(ms(20), &report);
        }
        for report in behind_host.next_reports(ms(30)) {
            other.merge(ms(30), &report);
        }
        for host in [&behind_host, &other] {
            assert!(host.is_cleared(&digest), "{behind} crashes known: {host:?}");
        }
    }
}
