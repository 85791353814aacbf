//! Requests under which servers end: who is refused, and how soon by all hosts.

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
use fleets::{Apart, Figures, Fleet, Way, digest};
use quickcheck::{TestResult, quickcheck};
use support::{host, ms, ready, route, send, servers};

/// Time in which a host must know what another one found out: half of the least time
/// after which rules count a host as in touch again, 3 s.
const KNOWN_BY_ALL: u64 = 1_500;
const HARM: u64 = 1;
const UNIX_S: u64 = 1_000_000;

fn ending(request: u64, server: u64, generation: u8) -> ServerCrash {
    ServerCrash { digest: digest(request), server, generation, at_s: UNIX_S, voided: false }
}

fn refuses(host: &Steer, request: u64) -> bool {
    host.poison().refusal(&digest(request)).is_some()
}

/// Lets hosts meet.
fn met(hosts: usize, servers: usize, way: Way, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(hosts, servers, way, seed);
    while fleet.at < 2_000 {
        fleet.step();
    }
    fleet
}

#[test]
fn all_hosts_of_any_fleet_refuse_a_request_soon_after_its_third_server() {
    for hosts in [12, 75, 295, 1_205] {
        let mut fleet = met(hosts, 40, Way::Generations, 1);
        let (now, unix_s) = (fleet.now(), fleet.unix_s());
        // One host saw all three, as its request was sent again and its caller came back.
        for server in 0..3 {
            let known = fleet.hosts[0].poison().generation(&digest(HARM));
            fleet.hosts[0].on_server_crash(now, unix_s, digest(HARM), server, known);
        }
        let began = fleet.at;
        while fleet.hosts.iter().any(|host| !refuses(host, HARM)) {
            fleet.step();
            let took = fleet.at - began;
            assert!(took <= KNOWN_BY_ALL, "{hosts} hosts: not known by all after {took} ms");
        }
        println!("{hosts} hosts: known by all after {} ms", fleet.at - began);
    }
}

/// A harmful request that comes `copies` at a time, each some seconds, beside others.
fn harmful(way: Way, copies: usize, every: u64, seed: u64) -> Figures {
    let mut fleet = met(12, 40, way, seed);
    run_harmful(&mut fleet, copies, every);
    fleet.figures
}

fn run_harmful(fleet: &mut Fleet, copies: usize, every: u64) {
    let until = fleet.at + 20_000;
    let mut number = 1_000_000;
    while fleet.at < until {
        if fleet.at.is_multiple_of(every) {
            for _ in 0..copies {
                let host = fleet.draw(12);
                fleet.ask(host, digest(HARM), true);
            }
        }
        for _ in 0..4 {
            let host = fleet.draw(12);
            number += 1;
            fleet.ask(host, digest(number), false);
        }
        fleet.step();
    }
}

#[test]
fn a_harmful_request_ends_few_servers_however_it_comes() {
    for (copies, every) in [(1, 500), (1, 5_000), (2, 500), (2, 5_000), (3, 500), (3, 5_000)] {
        let mut worst = [Figures::default(); 2];
        for seed in 0..8 {
            for (worst, way) in worst.iter_mut().zip([Way::Generations, Way::Servers]) {
                let figures = harmful(way, copies, every, seed);
                worst.ended = worst.ended.max(figures.ended);
                worst.late = worst.late.max(figures.late);
                worst.refused = worst.refused.max(figures.refused);
                worst.lost = worst.lost.max(figures.lost);
            }
        }
        println!("{copies} copies each {every} ms: by generations {:?}", worst[0]);
        println!("{copies} copies each {every} ms: by servers     {:?}", worst[1]);
        assert!(worst[0].late <= 3, "{copies} copies each {every} ms: {:?}", worst[0]);
        assert_eq!(worst[0].refused, 0);
    }
}

/// Harmless requests that all are the same, while servers are killed.
fn hot(way: Way, kills: &[(u64, usize)], seed: u64) -> Figures {
    let mut fleet = met(12, 40, way, seed);
    run_hot(&mut fleet, kills);
    fleet.figures
}

fn run_hot(fleet: &mut Fleet, kills: &[(u64, usize)]) {
    let began = fleet.at;
    for (after, servers) in kills {
        fleet.kill_at(began + after, *servers);
    }
    while fleet.at < began + 10_000 {
        for _ in 0..8 {
            let host = fleet.draw(12);
            let request = fleet.draw(4) as u64 + 10;
            fleet.ask(host, digest(request), false);
        }
        fleet.step();
    }
}

#[test]
fn harmless_requests_that_all_are_the_same_are_never_refused_for_harm() {
    let rolling: Vec<(u64, usize)> = (1..30).map(|n| (n * 300, 1 + n as usize % 3)).collect();
    let troubles: [(&str, &[(u64, usize)]); 4] = [
        ("30 of 40 at once", &[(500, 30)]),
        ("30 of 40, again after 3 s", &[(500, 30), (3_500, 30)]),
        ("a few at a time", &rolling),
        ("all at once", &[(500, 40)]),
    ];
    let mut by_servers = 0;
    for (name, kills) in troubles {
        let mut sums = [Figures::default(); 2];
        for seed in 0..8 {
            for (sum, way) in sums.iter_mut().zip([Way::Generations, Way::Servers]) {
                let figures = hot(way, kills, seed);
                sum.refused += figures.refused;
                sum.lost += figures.lost;
                sum.answered += figures.answered;
            }
        }
        println!("{name}: by generations {:?}", sums[0]);
        println!("{name}: by servers     {:?}", sums[1]);
        assert_eq!(sums[0].refused, 0, "{name}");
        by_servers += sums[1].refused;
    }
    assert!(by_servers > 0, "counted by servers, some are refused");
}

/// Servers that end under a harmful request that comes as so many copies at once each 5 s,
/// its arrivals that were late, and the time that harmless ones wait for each other while
/// 30 of 40 servers are killed: the worst of three seeds.
fn copies(apart: Apart, attempts: usize, copies: usize) -> (usize, usize, u64) {
    let (mut ended, mut late, mut waited) = (0, 0, 0);
    for seed in 0..3 {
        let mut fleet = met(12, 40, Way::Generations, seed);
        (fleet.copies, fleet.attempts) = (apart, attempts);
        run_harmful(&mut fleet, copies, 5_000);
        ended = ended.max(fleet.figures.ended);
        late = late.max(fleet.figures.late);
        let mut hot = met(12, 40, Way::Generations, seed);
        (hot.copies, hot.attempts) = (apart, attempts);
        run_hot(&mut hot, &[(500, 30)]);
        waited = waited.max(hot.figures.waited);
    }
    (ended, late, waited)
}

/// Worst of eight seeds with 1, 3 and 6 copies at once of a request with two attempts, on
/// their own, one at a time of each host, and of the fleet: 3, 6, 12; 3, 6, 11 and 3, 5, 8
/// servers ended; harmless requests waited 0, 6.3 and 11.6 s for each other in all. With
/// one attempt 0, 3, 6 arrivals are late if each is on its own: more than three copies at
/// once are not bounded then.
#[test]
fn copies_one_at_a_time_of_each_host_spare_hardly_a_server_and_hold_up_others() {
    let (ended, late, waited) = copies(Apart::No, 2, 6);
    let (ended_apart, _, waited_apart) = copies(Apart::Host, 2, 6);
    println!(
        "{ended} ended, {late} late, {waited} ms; one at a time {ended_apart}, {waited_apart} ms"
    );
    let (least, ..) = copies(Apart::Fleet, 2, 6);
    println!("{least} ended if the whole fleet knew at once");
    assert!(late <= 3 && ended <= ended_apart + 1 && least <= ended);
    assert!(waited == 0 && waited_apart > 0);
}

#[test]
fn two_tellers_of_one_ending_count_once_and_a_server_that_ends_twice_counts_twice() {
    let mut one = host(0, ms(0));
    one.merge_crashes(ms(0), &[ending(HARM, 1, 1), ending(HARM, 1, 2), ending(HARM, 1, 3)]);
    assert!(!refuses(&one, HARM));
    one.merge_crashes(ms(1), &[ending(HARM, 2, 2), ending(HARM, 3, 3)]);
    assert!(refuses(&one, HARM));
}

#[test]
fn a_whole_answer_clears_a_request_at_all_hosts() {
    let (mut one, mut two) = (host(0, ms(0)), host(1, ms(0)));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(HARM), server, server as u8);
    }
    two.on_heartbeat(ms(10), &one.next_heartbeat(ms(10)));
    assert!(refuses(&one, HARM) && refuses(&two, HARM));
    two.poison_mut().record_answer(ms(20), &digest(HARM));
    one.on_heartbeat(ms(30), &two.next_heartbeat(ms(30)));
    assert!(!refuses(&one, HARM) && !refuses(&two, HARM));
    // Late news of the same endings brings nothing back.
    two.on_heartbeat(ms(40), &one.next_heartbeat(ms(40)));
    assert!(!refuses(&two, HARM));
}

#[test]
fn a_host_that_was_away_is_told_again() {
    let mut fleet = met(12, 40, Way::Generations, 3);
    fleet.apart[5] = true;
    let (now, unix_s) = (fleet.now(), fleet.unix_s());
    for server in 0..3 {
        fleet.hosts[0].on_server_crash(now, unix_s, digest(HARM), server, server as u8);
    }
    let began = fleet.at;
    while fleet.at < began + 8_000 {
        fleet.step();
    }
    assert!(!refuses(&fleet.hosts[5], HARM));
    fleet.apart[5] = false;
    let back = fleet.at;
    while !refuses(&fleet.hosts[5], HARM) {
        fleet.step();
        assert!(fleet.at < back + KNOWN_BY_ALL, "not told after {} ms", fleet.at - back);
    }
}

#[test]
fn what_is_new_is_told_for_a_while_and_then_no_more() {
    let mut one = host(0, ms(0));
    one.on_server_crash(ms(0), UNIX_S, digest(HARM), 1, 0);
    assert_eq!(one.next_heartbeat(ms(100)).crashes.len(), 1);
    assert_eq!(one.next_heartbeat(ms(3_900)).crashes.len(), 1);
    assert!(one.next_heartbeat(ms(4_100)).crashes.is_empty());
    // It is void now, which is new.
    one.poison_mut().record_answer(ms(5_000), &digest(HARM));
    assert!(one.next_heartbeat(ms(5_100)).crashes[0].voided);
}

/// A harmless request was beside many servers that ended; then a release makes it harmful.
#[test]
fn a_request_that_was_cleared_often_is_still_known_when_it_becomes_harmful() {
    let mut one = host(0, ms(0));
    for server in 0..40u64 {
        one.on_server_crash(ms(server * 10_000), UNIX_S, digest(HARM), server, 0);
        one.poison_mut().record_answer(ms(server * 10_000 + 100), &digest(HARM));
    }
    assert!(!refuses(&one, HARM));
    for server in 40..43u64 {
        let known = one.poison().generation(&digest(HARM));
        one.on_server_crash(ms(500_000 + server), UNIX_S, digest(HARM), server, known);
    }
    assert!(refuses(&one, HARM));
}

#[test]
fn memory_is_bounded_and_refused_requests_stay() {
    let mut one = host(0, ms(0));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(HARM), server, server as u8);
    }
    for other in 0..20_000u64 {
        one.on_server_crash(ms(1), UNIX_S + other / 100, digest(100 + other), other, 0);
    }
    assert!(refuses(&one, HARM));
    let known = (0..20_000).filter(|other| one.poison().generation(&digest(100 + other)) > 0);
    assert!(known.count() <= 1_024);
    let beat = one.next_heartbeat(ms(2));
    let size = postcard::to_allocvec(&beat.crashes).expect("it can be written").len();
    assert!(size <= 500, "{size} bytes of a beat");
}

#[test]
fn what_is_past_is_forgotten_the_sooner_the_less_is_known() {
    let mut one = host(0, ms(0));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(HARM), server, server as u8);
    }
    one.on_server_crash(ms(0), UNIX_S, digest(2), 9, 0);
    one.poison_mut().expire(ms(0), UNIX_S + 3_600);
    assert!(refuses(&one, HARM), "callers come back for an hour");
    assert_eq!(one.poison().generation(&digest(2)), 0);
    one.poison_mut().expire(ms(0), UNIX_S + 25 * 3_600);
    assert!(one.poison().is_empty());
}

#[test]
fn a_request_that_an_operator_lets_in_again_is_so_everywhere() {
    let (mut one, mut two) = (host(0, ms(0)), host(1, ms(0)));
    for server in 0..3 {
        one.on_server_crash(ms(0), UNIX_S, digest(HARM), server, server as u8);
    }
    assert!(one.poison().pending_listings(ms(0))[0].decided_here);
    one.poison_mut().mark_listed(&digest(HARM));
    assert!(one.poison().pending_listings(ms(0)).is_empty());
    two.on_heartbeat(ms(10), &one.next_heartbeat(ms(10)));
    assert!(two.poison().pending_listings(ms(9_000)).is_empty(), "only who saw an ending lists it");
    // One that saw another one looks later whether it is listed.
    two.on_server_crash(ms(10), UNIX_S, digest(HARM), 9, 2);
    assert!(two.poison().pending_listings(ms(1_000)).is_empty());
    assert!(two.poison().pending_listings(ms(2_100)).iter().all(|due| !due.decided_here));
    assert!(!one.poison_mut().readmit(ms(20), &digest(2)), "it is not refused");
    assert!(one.poison_mut().readmit(ms(20), &digest(HARM)));
    two.on_heartbeat(ms(30), &one.next_heartbeat(ms(30)));
    assert!(!refuses(&one, HARM) && !refuses(&two, HARM));
}

#[test]
fn a_digest_is_read_as_it_is_written() {
    let known = digest(0xfeed);
    assert_eq!(RequestDigest::from_hex(&known.hex()), Some(known));
    assert_eq!(RequestDigest::from_hex("00"), None);
    assert_eq!(RequestDigest::from_hex("+0000000000000000000000000000000"), None);
}

quickcheck! {
    /// Hosts that hear the same endings in any order, each any number of times, agree.
    fn the_order_of_news_does_not_matter(news: Vec<(u8, u8, u8, bool)>, seed: u64) -> TestResult {
        let endings: Vec<ServerCrash> = news
            .iter()
            .map(|(request, server, generation, void)| ServerCrash {
                voided: *void,
                ..ending(u64::from(request % 3), u64::from(server % 8), 1 + generation % 3)
            })
            .collect();
        let mut shuffled = endings.clone();
        shuffled.extend(endings.iter().copied());
        shuffled.sort_by_key(|known| {
            elmstream_steer::hash::combine(seed, known.server << 8 | u64::from(known.generation))
        });
        let (mut one, mut two) = (host(0, ms(0)), host(1, ms(0)));
        one.merge_crashes(ms(0), &endings);
        two.merge_crashes(ms(0), &shuffled);
        let agree = (0..3).all(|request| {
            refuses(&one, request) == refuses(&two, request)
                && one.poison().generation(&digest(request)) == two.poison().generation(&digest(request))
        });
        TestResult::from_bool(agree)
    }
}

#[test]
fn what_matters_is_told_at_once() {
    let mut one = host(0, ms(0));
    one.next_heartbeat(ms(0));
    assert_eq!(one.on_server_crash(ms(0), UNIX_S, digest(HARM), 1, 0), PoisonChange::None);
    assert!(!one.urgent());
    assert_eq!(
        one.on_server_crash(ms(0), UNIX_S, digest(HARM), 2, 1),
        PoisonChange::GenerationRaised
    );
    assert!(one.urgent());
    assert!(matches!(
        one.on_server_crash(ms(0), UNIX_S, digest(HARM), 3, 2),
        PoisonChange::Refused(_)
    ));
}

/// An end is no failure of the server, and all leave it at once.
#[test]
fn a_server_that_ended_is_left_by_all_hosts_at_once() {
    let mut hosts: Vec<Steer> = (0..2).map(|n| ready(n, ms(0), servers(1))).collect();
    let route = route(Repeatability::Safe, &[]);
    let Pick::Send(index) = send(&mut hosts[0], ms(0), &route, 7) else { panic!("a server") };
    let start = hosts[0].servers().get(index).expect("it was chosen").start_hash();
    hosts[0].record_outcome(ms(10), index, Outcome::ServerCrashed);
    hosts[0].on_server_crash(ms(10), UNIX_S, digest(HARM), start, 0);
    let told = hosts[0].next_heartbeat(ms(10));
    hosts[1].on_heartbeat(ms(20), &told);
    for host in &mut hosts {
        let chosen = send(host, ms(30), &route, 7);
        let Pick::Send(other) = chosen else { panic!("another server") };
        assert_ne!(host.servers().get(other).expect("it was chosen").start_hash(), start);
        let ended = host.servers().all().find(|(_, entry)| entry.start_hash() == start);
        let (_, ended) = ended.expect("it is still listed");
        assert_eq!(ended.failure_rate(ms(30)), 0.0);
        assert!(!ended.is_silent(ms(30), host.servers().answer_times("shop")));
    }
}

/// The host that reads an operator's word may not have heard the last ending yet: a request is
/// refused elsewhere since a moment ago.
#[test]
fn an_operator_lets_a_request_in_for_good_at_a_host_that_is_behind() {
    let digest = RequestDigest::from_hex(&"a1".repeat(16)).expect("a digest");
    let ending = |server| ServerCrash {
        digest,
        server,
        generation: server as u8,
        at_s: UNIX_S,
        voided: false,
    };
    for behind in 0..=3 {
        let (mut reads, mut other) = (PoisonTracker::default(), PoisonTracker::default());
        for server in 1..=3 {
            other.merge(ms(0), &ending(server));
        }
        for server in 1..=behind {
            reads.merge(ms(0), &ending(server));
        }
        reads.readmit(ms(10), &digest);
        reads.expire(ms(15), UNIX_S);
        for told in other.next_reports(ms(20)) {
            reads.merge(ms(20), &told);
        }
        for told in reads.next_reports(ms(30)) {
            other.merge(ms(30), &told);
        }
        for host in [&reads, &other] {
            assert!(host.is_cleared(&digest), "{behind} endings known: {host:?}");
        }
    }
}
