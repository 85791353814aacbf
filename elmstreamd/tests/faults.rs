//! Faults of the platform, backend servers, callers and operators, against real daemons in one
//! process. `docs/FAULTS.md` maps guarantees to these tests.

mod support;

use std::time::{Duration, Instant};

use elmstream_bench::{
    fleet::{free_address, get, send},
    operator::{Operator, in_force, reported_slots},
};
use elmstream_config::document::{Link, OncePolicy, Site};
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

/// Indexes of the backend servers of the `release` service in the small fleet.
const RELEASE_SERVERS: [usize; 2] = [3, 4];

fn unavailable() -> Faults {
    Faults { down: true, ..Faults::default() }
}

/// Sets the behaviour of both servers of the `release` service.
async fn set_release_behaviour(running: &support::Running, behaviour: &Behaviour) {
    for index in RELEASE_SERVERS {
        running.fleet.set_behaviour(index, behaviour).await.unwrap();
    }
}

async fn release_run_count(running: &support::Running) -> u64 {
    running.runs(RELEASE_SERVERS[0]).await + running.runs(RELEASE_SERVERS[1]).await
}

#[test]
fn concurrent_changes_get_one_acceptance_and_one_conflict() {
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
fn write_with_lost_answer_is_resolved_by_nonce() {
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
fn platform_outage_refuses_changes_but_not_requests() {
    with_fleet(
        |_| {},
        async |running| {
            for part in ["rows", "objects", "hosts"] {
                running.fleet.set_faults(part, &unavailable()).await.unwrap();
            }
            let reply = running.operator.apply(1, &running.configuration).await.unwrap();
            assert_eq!(reply.code, 2006);
            let started_at = Instant::now();
            while started_at.elapsed() < Duration::from_secs(5) {
                let answer = running.send_to(0, request(Method::GET, "status", "r")).await;
                assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        },
    );
}

#[test]
fn host_started_during_table_outage_fetches_configuration_from_peer() {
    with_fleet(
        |_| {},
        async |running| {
            running.fleet.hosts[2].running.take().unwrap().stop().unwrap();
            running.fleet.set_faults("rows", &unavailable()).await.unwrap();
            running.fleet.set_faults("objects", &unavailable()).await.unwrap();
            running.fleet.restart_host(2);
            let mut operator = Operator::connect(&running.fleet, 2).await.unwrap();
            let wait = Duration::from_secs(8);
            let fetched = operator
                .wait_until(wait, "the revision of the other hosts", |s| s.revision == 1)
                .await;
            assert!(fetched.is_ok(), "{fetched:?}");
            let answer = running.send_to(2, request(Method::GET, "status", "r")).await;
            assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
        },
    );
}

/// Calls a second that the platform serves while all hosts restart.
const CALLS_PER_SECOND: u32 = 5;

#[test]
fn simultaneous_restart_recovers_with_rate_limited_platform() {
    with_fleet(
        |_| {},
        async |running| {
            let rate_limited = Faults { calls_per_second: CALLS_PER_SECOND, ..Faults::default() };
            for part in ["rows", "objects", "hosts"] {
                running.fleet.set_faults(part, &rate_limited).await.unwrap();
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
            let recovery_time =
                operator.wait_until(wait, "all servers are owned again", recovered).await.unwrap();
            println!("recovered after {recovery_time:?} with {CALLS_PER_SECOND} calls a second");
            let answer = running.send_to(2, request(Method::GET, "status", "r")).await;
            assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
        },
    );
}

#[test]
fn body_over_link_keeps_its_byte_limit() {
    const LIMIT: u64 = 400_000;
    let bounded = |c: &mut elmstream_config::Configuration| {
        // The service's only server is in the south; the callers are in the north.
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
        let started_at = Instant::now();
        let answer = running.send_to(0, upload.unwrap()).await;
        assert_eq!(answer.header("elmstream-outcome"), Some("ran"), "{answer:?}");
        // Only one of three services has a server in the south, and one host owns it, so the host
        // has the whole limit: the bucket's depth is sent at once, the rest at the limit less that
        // depth.
        assert!(started_at.elapsed() > Duration::from_millis(900), "{:?}", started_at.elapsed());
        assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
    });
}

#[test]
fn truncated_answer_is_never_passed_on_as_complete() {
    with_fleet(
        |_| {},
        async |running| {
            let truncate = Behaviour { truncate: true, ..Behaviour::default() };
            set_release_behaviour(running, &truncate).await;
            for host in 0..3 {
                let answer = running.send_to(host, request(Method::POST, "release", "cut")).await;
                assert_eq!(answer.body, None, "the truncation is visible through host {host}");
            }
        },
    );
}

#[test]
fn shed_request_is_not_run_and_hung_request_is_unknown() {
    with_fleet(
        |_| {},
        async |running| {
            set_release_behaviour(running, &Behaviour { shed: true, ..Behaviour::default() }).await;
            let answer = running.send_to(0, request(Method::POST, "release", "shed")).await;
            assert_eq!(answer.code(), Some(1113), "{answer:?}");
            assert_eq!(answer.header("elmstream-outcome"), Some("not-run"));
            assert!(answer.header("retry-after").is_some());
            assert_eq!(release_run_count(running).await, 0);

            set_release_behaviour(running, &Behaviour { hung: true, ..Behaviour::default() }).await;
            let started_at = Instant::now();
            let hung = with_headers(Method::POST, "release", &[("elmstream-timeout-ms", "300")]);
            let answer = running.send_to(0, hung).await;
            assert_eq!(answer.header("elmstream-outcome"), Some("unknown"), "{answer:?}");
            assert!(
                started_at.elapsed() < Duration::from_millis(1_500),
                "{:?}",
                started_at.elapsed()
            );
            assert_eq!(release_run_count(running).await, 1, "the request was dispatched once");
        },
    );
}

/// Gets a ticket for a service from an entry host.
async fn issue_ticket(running: &support::Running, host: usize, service: &str) -> String {
    let address = running.fleet.hosts[host].settings.listen.callers;
    let page = get(address, &format!("/v1/lookup?service={service}&tickets=1")).await.unwrap();
    let answer: serde_json::Value = serde_json::from_slice(&page).unwrap();
    answer["tickets"][0].as_str().unwrap().to_owned()
}

#[test]
fn repeated_request_with_ticket_never_runs_again() {
    with_fleet(
        |_| {},
        async |running| {
            let ticket = issue_ticket(running, 0, "release").await;
            let ticketed_request =
                || with_headers(Method::POST, "release", &[("elmstream-ticket", &ticket)]);
            let first = running.send_to(1, ticketed_request()).await;
            assert_eq!(
                first.header("elmstream-outcome"),
                Some("ran"),
                "forwarded to host 0: {first:?}"
            );
            for host in 0..3 {
                let repeated = running.send_to(host, ticketed_request()).await;
                assert_eq!(repeated.code(), Some(1305), "{repeated:?}");
                assert_eq!(repeated.header("elmstream-outcome"), Some("unknown"));
            }
            assert_eq!(release_run_count(running).await, 1);

            running.fleet.hosts[0].running.take().unwrap().stop().unwrap();
            let repeated = running.send_to(1, ticketed_request()).await;
            assert_eq!(repeated.code(), Some(1304), "the issuer is gone: {repeated:?}");
            assert_eq!(release_run_count(running).await, 1);
            let forged = ticket.replacen(|c: char| c.is_ascii_digit(), "a", 1);
            let bad = with_headers(Method::POST, "release", &[("elmstream-ticket", &forged)]);
            assert_eq!(running.send_to(1, bad).await.code(), Some(1301));
        },
    );
}

#[test]
fn claimed_request_runs_once_and_refused_one_can_be_retried() {
    let claim = |c: &mut elmstream_config::Configuration| c.services[1].once = OncePolicy::Claim;
    with_fleet(claim, async |running| {
        let without_request_id = with_headers(Method::POST, "release", &[]);
        assert_eq!(running.send_to(0, without_request_id).await.code(), Some(1001));

        set_release_behaviour(running, &Behaviour { shed: true, ..Behaviour::default() }).await;
        let refused = running.send_to(0, request(Method::POST, "release", "o-1")).await;
        assert_eq!(refused.header("elmstream-outcome"), Some("not-run"));
        set_release_behaviour(running, &Behaviour::default()).await;

        let faults = Faults { lose_answers: 1, ..Faults::default() };
        running.fleet.set_faults("rows", &faults).await.unwrap();
        let ran = running.send_to(1, request(Method::POST, "release", "o-1")).await;
        assert_eq!(ran.header("elmstream-outcome"), Some("ran"), "{ran:?}");
        let repeated = running.send_to(0, request(Method::POST, "release", "o-1")).await;
        assert_eq!(repeated.code(), Some(1306));
        assert_eq!(release_run_count(running).await, 1);

        running.fleet.set_faults("rows", &unavailable()).await.unwrap();
        let unknown = running.send_to(0, request(Method::POST, "release", "o-2")).await;
        assert_eq!(unknown.code(), Some(1307));
        assert_eq!(release_run_count(running).await, 1, "a request without a claim must not run");
    });
}

#[test]
fn invalid_input_gets_its_code_and_daemon_keeps_running() {
    with_fleet(
        |_| {},
        async |running| {
            let callers = running.fleet.hosts[0].settings.listen.callers;
            let unknown = running.send_to(0, request(Method::GET, "nobody", "r")).await;
            assert_eq!(unknown.code(), Some(1002));
            let timeout = with_headers(Method::GET, "status", &[("elmstream-timeout-ms", "soon")]);
            assert_eq!(running.send_to(0, timeout).await.code(), Some(1001));
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
            assert!(send(callers, short).await.is_err(), "the caller aborted its own request");

            let mut stream = compio::net::TcpStream::connect(callers).await.unwrap();
            use compio::io::AsyncWriteExt;
            stream.write_all("NONSENSE\r\n\r\n").await.unwrap();

            let after = running.send_to(0, request(Method::GET, "status", "r")).await;
            assert_eq!(after.header("elmstream-outcome"), Some("ran"), "{after:?}");
        },
    );
}

#[test]
fn wrong_token_and_invalid_configuration_change_nothing() {
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
fn host_without_cluster_key_is_refused() {
    with_fleet(
        |_| {},
        async |running| {
            let address = running.fleet.hosts[0].settings.listen.peers;
            let within = Duration::from_secs(2);
            let stranger = Identity::new(&identity::generate_key().unwrap()).unwrap();
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
fn operator_with_other_authority_trusts_no_host() {
    with_fleet(
        |_| {},
        async |running| {
            let other = running.fleet.authority.with_extension("other");
            let pem = identity::authority_pem(&identity::generate_key().unwrap()).unwrap();
            std::fs::write(&other, pem).unwrap();
            let right = std::mem::replace(&mut running.fleet.authority, other);
            let refused = Operator::connect(&running.fleet, 0).await;
            running.fleet.authority = right;
            assert!(refused.err().is_some_and(|e| e.contains("E4001")));
        },
    );
}
