//! Faults of platform, backend servers, callers and operators, against real
//! daemons in one process. `docs/FAULTS.md` maps promises to these tests.

mod support;

use std::time::{Duration, Instant};

use elmstream_bench::{
    fleet::{free_address, get, send},
    operator::{Operator, in_force, reported_slots},
};
use elmstream_config::document::{Link, Once, Site};
use elmstream_http::{BoxError, body};
use elmstream_proto::{
    identity::{self, Identity},
    peer::{Open, Reply},
};
use elmstream_standin::{backend::Behaviour, platform::Faults};
use elmstreamd::peers::Peers;
use futures_util::future::join;
use http::{Method, Request};
use support::{request, with_fleet, with_headers};

/// Indexes of the small fleet's backend servers.
const RELEASE: [usize; 2] = [3, 4];

fn down() -> Faults {
    Faults { down: true, ..Faults::default() }
}

/// Behaviour of both servers of the release service.
async fn behave(running: &support::Running, behaviour: &Behaviour) {
    for index in RELEASE {
        running.fleet.set_behaviour(index, behaviour).await.unwrap();
    }
}

async fn release_runs(running: &support::Running) -> u64 {
    running.runs(RELEASE[0]).await + running.runs(RELEASE[1]).await
}

#[test]
fn operators_that_race_get_one_acceptance_and_one_conflict() {
    with_fleet(
        |_| {},
        async |running| {
            let mut other = Operator::connect(&running.fleet, 1).await.unwrap();
            let next = running.configuration.clone();
            let (a, b) = join(running.operator.apply(1, &next), other.apply(1, &next)).await;
            let mut codes = [a.unwrap().code, b.unwrap().code];
            codes.sort_unstable();
            assert_eq!(codes, [0, 2001]);
        },
    );
}

#[test]
fn a_write_whose_answer_is_lost_is_resolved_by_its_nonce() {
    with_fleet(
        |_| {},
        async |running| {
            let faults = Faults { lose_answers: 1, ..Faults::default() };
            running.fleet.set_faults("rows", &faults).await.unwrap();
            let reply = running.operator.apply(1, &running.configuration).await.unwrap();
            assert_eq!((reply.code, reply.revision), (0, 2), "{}", reply.message);
        },
    );
}

#[test]
fn with_the_platform_down_requests_go_on_and_changes_are_refused() {
    with_fleet(
        |_| {},
        async |running| {
            for part in ["rows", "objects", "hosts"] {
                running.fleet.set_faults(part, &down()).await.unwrap();
            }
            let reply = running.operator.apply(1, &running.configuration).await.unwrap();
            assert_eq!(reply.code, 2006);
            let begin = Instant::now();
            while begin.elapsed() < Duration::from_secs(5) {
                let answer = running.ask(0, request(Method::GET, "status", "r")).await;
                assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        },
    );
}

#[test]
fn a_host_that_starts_with_the_table_down_gets_the_configuration_from_a_peer() {
    with_fleet(
        |_| {},
        async |running| {
            running.fleet.hosts[2].running.take().unwrap().stop().unwrap();
            running.fleet.set_faults("rows", &down()).await.unwrap();
            running.fleet.set_faults("objects", &down()).await.unwrap();
            running.fleet.restart_host(2);
            let mut operator = Operator::connect(&running.fleet, 2).await.unwrap();
            let wait = Duration::from_secs(8);
            let taken = operator.wait_until(wait, "the peers' revision", |s| s.revision == 1).await;
            assert!(taken.is_ok(), "{taken:?}");
            let answer = running.ask(2, request(Method::GET, "status", "r")).await;
            assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
        },
    );
}

/// Calls in a second that the platform takes while all hosts come back.
const SCARCE: u32 = 5;

#[test]
fn all_hosts_restarted_at_once_recover_from_a_platform_with_a_rate_limit() {
    with_fleet(
        |_| {},
        async |running| {
            let scarce = Faults { calls_per_second: SCARCE, ..Faults::default() };
            for part in ["rows", "objects", "hosts"] {
                running.fleet.set_faults(part, &scarce).await.unwrap();
            }
            for host in &mut running.fleet.hosts {
                host.running.as_mut().unwrap().request_stop();
            }
            for index in 0..running.fleet.hosts.len() {
                running.fleet.hosts[index].running.take().unwrap().stop().unwrap();
            }
            for index in 0..running.fleet.hosts.len() {
                running.fleet.restart_host(index);
            }
            let mut operator = Operator::connect(&running.fleet, 1).await.unwrap();
            let all: u32 = running.configuration.backend_servers.iter().map(|b| b.slots).sum();
            let wait = Duration::from_secs(20);
            let recovered = |s: &_| in_force(s, 1, 3) && reported_slots(s) == all;
            let took = operator.wait_until(wait, "all is owned again", recovered).await.unwrap();
            println!("recovered after {took:?} with {SCARCE} calls a second");
            let answer = running.ask(2, request(Method::GET, "status", "r")).await;
            assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
        },
    );
}

#[test]
fn a_body_crosses_a_link_at_its_limit() {
    const LIMIT: u64 = 400_000;
    let bounded = |c: &mut elmstream_config::Configuration| {
        // The service's only server stands in the south; callers are the north's.
        c.backend_servers.retain(|b| b.name != "release-1");
        c.sites.push(Site {
            name: "town".into(),
            home_region: "north".into(),
            blocks: vec!["127.0.0.0/8".parse().unwrap()],
        });
        c.links.push(Link {
            from: "north".into(),
            to: "south".into(),
            delay_us: 0,
            requests_per_second: 0,
            bytes_per_second: LIMIT,
        });
    };
    with_fleet(bounded, async |running| {
        let upload = Request::post("/")
            .header("host", "test")
            .header("elmstream-service", "release")
            .body(body::full(vec![7u8; LIMIT as usize]));
        let begin = Instant::now();
        let answer = running.ask(0, upload.unwrap()).await;
        assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
        // One service of three has a server in the south, and its owner has all
        // parts of its caps: it may use the whole limit, less the bucket's depth.
        assert!(begin.elapsed() > Duration::from_millis(900), "{:?}", begin.elapsed());
        assert!(begin.elapsed() < Duration::from_secs(2), "{:?}", begin.elapsed());
    });
}

#[test]
fn a_cut_answer_is_never_taken_as_whole() {
    with_fleet(
        |_| {},
        async |running| {
            let truncate = Behaviour { truncate: true, ..Behaviour::default() };
            behave(running, &truncate).await;
            for host in 0..3 {
                let answer = running.ask(host, request(Method::POST, "release", "cut")).await;
                assert_eq!(answer.body, None, "the cut is visible through host {host}");
            }
        },
    );
}

#[test]
fn a_server_that_sheds_gives_not_run_and_one_that_hangs_gives_unknown() {
    with_fleet(
        |_| {},
        async |running| {
            behave(running, &Behaviour { shed: true, ..Behaviour::default() }).await;
            let answer = running.ask(0, request(Method::POST, "release", "shed")).await;
            assert_eq!(answer.code(), Some(1113), "{answer:?}");
            assert_eq!(answer.header("elmstream-outcome"), Some("not-run"));
            assert!(answer.header("retry-after").is_some());
            assert_eq!(release_runs(running).await, 0);

            behave(running, &Behaviour { hung: true, ..Behaviour::default() }).await;
            let begin = Instant::now();
            let hung = with_headers(Method::POST, "release", &[("elmstream-timeout-ms", "300")]);
            let answer = running.ask(0, hung).await;
            assert_eq!(answer.header("elmstream-outcome"), Some("unknown"), "{answer:?}");
            assert!(begin.elapsed() < Duration::from_millis(1_500), "{:?}", begin.elapsed());
            assert_eq!(release_runs(running).await, 1, "it was dispatched once");
        },
    );
}

/// A ticket of an entry host for a service.
async fn ticket(running: &support::Running, host: usize, service: &str) -> String {
    let address = running.fleet.hosts[host].settings.listen.callers;
    let page = get(address, &format!("/v1/lookup?service={service}&tickets=1")).await.unwrap();
    let answer: serde_json::Value = serde_json::from_slice(&page).unwrap();
    answer["tickets"][0].as_str().unwrap().to_owned()
}

#[test]
fn a_second_try_with_a_ticket_never_runs_again() {
    with_fleet(
        |_| {},
        async |running| {
            let ticket = ticket(running, 0, "release").await;
            let try_it = || with_headers(Method::POST, "release", &[("elmstream-ticket", &ticket)]);
            let first = running.ask(1, try_it()).await;
            assert_eq!(
                first.header("elmstream-outcome"),
                Some("ran"),
                "brought to host 0: {first:?}"
            );
            for host in 0..3 {
                let again = running.ask(host, try_it()).await;
                assert_eq!(again.code(), Some(1305), "{again:?}");
                assert_eq!(again.header("elmstream-outcome"), Some("unknown"));
            }
            assert_eq!(release_runs(running).await, 1);

            running.fleet.hosts[0].running.take().unwrap().stop().unwrap();
            let again = running.ask(1, try_it()).await;
            assert_eq!(again.code(), Some(1304), "the issuer is gone: {again:?}");
            assert_eq!(release_runs(running).await, 1);
            let forged = ticket.replacen(|c: char| c.is_ascii_digit(), "a", 1);
            let bad = with_headers(Method::POST, "release", &[("elmstream-ticket", &forged)]);
            assert_eq!(running.ask(1, bad).await.code(), Some(1301));
        },
    );
}

#[test]
fn a_claim_row_lets_one_try_run_and_a_refused_one_be_tried_again() {
    let claim = |c: &mut elmstream_config::Configuration| c.services[1].once = Once::Claim;
    with_fleet(claim, async |running| {
        let nameless = with_headers(Method::POST, "release", &[]);
        assert_eq!(running.ask(0, nameless).await.code(), Some(1001));

        behave(running, &Behaviour { shed: true, ..Behaviour::default() }).await;
        let refused = running.ask(0, request(Method::POST, "release", "o-1")).await;
        assert_eq!(refused.header("elmstream-outcome"), Some("not-run"));
        behave(running, &Behaviour::default()).await;

        let faults = Faults { lose_answers: 1, ..Faults::default() };
        running.fleet.set_faults("rows", &faults).await.unwrap();
        let ran = running.ask(1, request(Method::POST, "release", "o-1")).await;
        assert_eq!(ran.header("elmstream-outcome"), Some("ran"), "{ran:?}");
        let again = running.ask(0, request(Method::POST, "release", "o-1")).await;
        assert_eq!(again.code(), Some(1306));
        assert_eq!(release_runs(running).await, 1);

        running.fleet.set_faults("rows", &down()).await.unwrap();
        let unknown = running.ask(0, request(Method::POST, "release", "o-2")).await;
        assert_eq!(unknown.code(), Some(1307));
        assert_eq!(release_runs(running).await, 1, "nothing runs without its claim");
    });
}

#[test]
fn bad_input_gets_its_code_and_the_daemon_stays_up() {
    with_fleet(
        |_| {},
        async |running| {
            let callers = running.fleet.hosts[0].settings.listen.callers;
            let unknown = running.ask(0, request(Method::GET, "nobody", "r")).await;
            assert_eq!(unknown.code(), Some(1002));
            let timeout = with_headers(Method::GET, "status", &[("elmstream-timeout-ms", "soon")]);
            assert_eq!(running.ask(0, timeout).await.code(), Some(1001));
            let giant = "x".repeat(200_000);
            let giant = with_headers(Method::GET, "status", &[("giant", &giant)]);
            assert_eq!(send(callers, giant).await.map(|a| a.status).unwrap_or(431), 431);

            let chunks: [Result<_, BoxError>; 2] = [Ok("half".into()), Err("cut".into())];
            let short = Request::post("/")
                .header("host", "test")
                .header("elmstream-service", "intake")
                .header("content-length", "100")
                .body(body::stream(futures_util::stream::iter(chunks)))
                .unwrap();
            assert!(send(callers, short).await.is_err(), "the caller cut its own request");

            let mut stream = compio::net::TcpStream::connect(callers).await.unwrap();
            use compio::io::AsyncWriteExt;
            stream.write_all("NONSENSE\r\n\r\n").await.unwrap();

            let after = running.ask(0, request(Method::GET, "status", "r")).await;
            assert_eq!(after.header("elmstream-outcome"), Some("ran"), "{after:?}");
        },
    );
}

#[test]
fn a_wrong_token_and_a_bad_configuration_change_nothing() {
    with_fleet(
        |_| {},
        async |running| {
            let token_file = running.fleet.token_file.with_extension("wrong");
            std::fs::write(&token_file, "guess").unwrap();
            let right = std::mem::replace(&mut running.fleet.token_file, token_file);
            let mut guest = Operator::connect(&running.fleet, 0).await.unwrap();
            running.fleet.token_file = right;
            let refused = guest.apply(1, &running.configuration).await.unwrap_err();
            assert!(refused.contains("E2004"), "{refused}");

            let mut bad = running.configuration.clone();
            bad.backend_servers[0].service = "nobody".into();
            let reply = running.operator.apply(1, &bad).await.unwrap();
            assert_eq!(reply.code, 3103, "{}", reply.message);
            let status = running.operator.status().await.unwrap();
            assert!(in_force(&status, 1, 3) && status.revision == 1);
        },
    );
}

#[test]
fn a_host_without_the_cluster_key_gets_nothing() {
    with_fleet(
        |_| {},
        async |running| {
            let address = running.fleet.hosts[0].settings.listen.peers;
            let within = Duration::from_secs(2);
            let stranger = Identity::new(&identity::new_key().unwrap()).unwrap();
            let peers = Peers::bind(free_address(), &stranger).await.unwrap();
            let refused = peers.exchange(&"host-1".into(), address, &Open::Fetch, within).await;
            assert!(refused.is_err(), "{refused:?}");

            let key =
                std::fs::read_to_string(&running.fleet.hosts[0].settings.cluster.key).unwrap();
            let known = Peers::bind(free_address(), &Identity::new(&key).unwrap()).await.unwrap();
            let reply = known.exchange(&"host-1".into(), address, &Open::Fetch, within).await;
            assert!(matches!(reply, Ok(Reply::Configuration(Some(_)))), "{reply:?}");
        },
    );
}

#[test]
fn a_tool_with_another_authority_trusts_no_host() {
    with_fleet(
        |_| {},
        async |running| {
            let other = running.fleet.authority.with_extension("other");
            let pem = identity::authority_pem(&identity::new_key().unwrap()).unwrap();
            std::fs::write(&other, pem).unwrap();
            let right = std::mem::replace(&mut running.fleet.authority, other);
            let refused = Operator::connect(&running.fleet, 0).await;
            running.fleet.authority = right;
            assert!(refused.err().is_some_and(|e| e.contains("E4001")));
        },
    );
}
