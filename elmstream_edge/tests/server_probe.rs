//! Questions to servers about how fast they work, over real sockets.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use elmstream_edge::Edge;
use elmstream_steer::{
    model::Repeatability,
    policies::{Policies, SpeedPolicy},
    server_speed::SpeedSource,
    servers::ServerIndex,
    view::{RowContent, RowKey},
};
use elmstreamd::clock;
use support::{
    Received, Running, Store, backend, configuration, good, header, ip, run, send_request, server,
    settings, start_with, until,
};

/// Time allowed for a probe.
const TIMEOUT: Duration = Duration::from_millis(60);
/// Extra time that a request may take on a busy machine.
const SLACK: Duration = Duration::from_millis(150);
/// Age from which a server is asked again, and some more.
const REPORT_AGED: Duration = Duration::from_millis(130);
/// A path that servers answer late.
const LATE_PATH: &str = "/slow/health";
const PATH: &str = "/health";

/// Two servers, a host that knows that both are warm for the key, and what the servers say.
struct Two {
    host: Running,
    received: [Received; 2],
    percents: [Rc<Cell<u16>>; 2],
    _store: Store,
}

/// What a server answers: its id, load and speed on the health path, else to the request.
fn reply(head: &str, id: &str, percent: Option<u16>) -> Vec<u8> {
    let load = percent.map_or("0,0,4".into(), |percent| format!("0,0,4,{percent}"));
    let lines = format!("200 OK\r\nelmstream-server-id: {id}\r\nelmstream-load: {load}\r\n");
    let answer = String::from_utf8(good(head, "ok")).expect("text");
    answer.replacen("200 OK\r\n", &lines, 1).into_bytes()
}

fn is_probe(head: &str) -> bool {
    head.starts_with("GET /health") || head.starts_with("GET /slow/health")
}

/// Starts two servers and a host; server `n` calls itself `ids[n]`. The servers answer on
/// `health_path` and report speeds if `reports`.
async fn two(ids: [&'static str; 2], health_path: &str, reports: bool) -> Two {
    let store = Store::default();
    let mut content = configuration(1, Repeatability::Safe);
    if let RowContent::Configuration(configuration) = &mut content {
        configuration.services[0].health_path = Some(health_path.into());
    }
    store.put(RowKey::Configuration, Some(content));
    let percents = [Rc::new(Cell::new(100)), Rc::new(Cell::new(100))];
    let mut received = Vec::new();
    for (n, percent) in percents.iter().cloned().enumerate() {
        let answer = move |head: &str| reply(head, ids[n], reports.then(|| percent.get()));
        let (address, seen) = backend(ip(), answer).await;
        store.put(RowKey::Server(format!("s-{n}")), Some(server(address)));
        received.push(seen);
    }
    let ip = ip();
    let mut settings = settings(ip, &[]);
    let probe_timeout_ms = TIMEOUT.as_millis() as u64;
    let speed = SpeedPolicy { report_decay_ms: 600, probe: true, probe_timeout_ms };
    settings.policies = Policies { speed, ..Policies::default() };
    let host = start_with(ip, settings, &store);
    assert!(until(Duration::from_secs(3), || host.edge.serves()).await, "the host is ready");
    let received = [received.remove(0), received.remove(0)];
    let two = Two { host, received, percents, _store: store };
    // The key's first request tells its hash, and opens a connection.
    two.get("warm-up").await;
    two.warm_both();
    two
}

impl Two {
    async fn get(&self, id: &str) -> support::Answer {
        send_request(self.host.callers, id, "/key").await.expect("an answer")
    }

    /// Makes both servers warm for the key of the requests.
    fn warm_both(&self) {
        let edge: &Edge = &self.host.edge;
        let key = elmstream_steer::hash::of("/key");
        let mut steer = edge.steer.borrow_mut();
        for n in 0..2 {
            let index = index(&steer, n);
            steer.record_warm_key(clock::now(), index, key);
        }
    }

    /// Number of probes and of other requests that a server received.
    fn counts(&self, n: usize) -> (usize, usize) {
        let requests = self.received[n].requests.borrow();
        let probes = requests.iter().filter(|head| is_probe(head)).count();
        (probes, requests.len() - probes)
    }

    fn percent_known(&self, n: usize) -> f64 {
        let steer = self.host.edge.steer.borrow();
        let entry = steer.servers().get(index(&steer, n)).expect("it is known");
        entry.speed.factor(clock::now(), 1_000_000_000)
    }
}

fn index(steer: &elmstream_steer::Steer, n: usize) -> ServerIndex {
    steer.servers().find(&format!("s-{n}")).expect("it is known")
}

#[test]
fn faster_of_two_warm_servers_gets_the_request() {
    run(async || {
        let two = two(["s-0", "s-1"], PATH, true).await;
        for turn in 0..8 {
            let (slow, fast) = (turn % 2, 1 - turn % 2);
            two.percents[slow].set(400);
            two.percents[fast].set(100);
            compio::time::sleep(REPORT_AGED).await;
            let before = [two.counts(0), two.counts(1)];
            assert_eq!(two.get(&format!("r-{turn}")).await.status, 200);
            let after = [two.counts(0), two.counts(1)];
            assert_eq!(after[fast].1, before[fast].1 + 1, "turn {turn}: the faster one got it");
            assert_eq!(after[slow].1, before[slow].1, "turn {turn}");
            assert_eq!(after[slow].0, before[slow].0 + 1, "turn {turn}: one question each");
        }
        let probes = two.received[0].requests.borrow();
        let probe = probes.iter().find(|head| is_probe(head)).expect("it was asked");
        assert_eq!(header(probe, "host"), "shop.example");
    });
}

/// Probes go over kept connections.
#[test]
fn probes_open_no_connection_while_one_is_kept() {
    run(async || {
        let two = two(["s-0", "s-1"], PATH, true).await;
        for number in 0..5 {
            compio::time::sleep(REPORT_AGED).await;
            two.get(&format!("r-{number}")).await;
        }
        for n in 0..2 {
            assert!(two.counts(n).0 >= 4, "server {n} was asked: {:?}", two.counts(n));
            assert_eq!(two.received[n].connections.get(), 1, "server {n}");
        }
    });
}

/// A probe without an answer in time delays the request by the timeout at most, and its late answer
/// is never taken for that of a request.
#[test]
fn late_answers_to_probes_delay_little_and_reach_no_caller() {
    run(async || {
        let two = two(["s-0", "s-1"], LATE_PATH, true).await;
        for number in 0..6 {
            compio::time::sleep(REPORT_AGED).await;
            let answer = two.get(&format!("r-{number}")).await;
            assert_eq!(answer.status, 200);
            let id = answer.headers.get("elmstream-request").expect("an id");
            assert_eq!(id, &format!("r-{number}"));
            assert!(answer.took < TIMEOUT + SLACK, "{:?}", answer.took);
        }
        // The probes' answers come meanwhile.
        compio::time::sleep(support::SLOW_RESPONSE_TIME + REPORT_AGED).await;
        assert!(two.counts(0).0 + two.counts(1).0 >= 4, "servers were asked");
        let answer = two.get("last").await;
        assert_eq!(answer.headers.get("elmstream-request").expect("an id"), "last");
        let steer = two.host.edge.steer.borrow();
        for (_, entry) in steer.servers().all() {
            assert_eq!(entry.failure_rate(clock::now()), 0.0, "it counts against nobody");
            assert!(entry.is_reachable(clock::now()));
        }
    });
}

/// An address may have gone to another server, whose speed says nothing about this one.
#[test]
fn answer_of_another_server_is_ignored() {
    run(async || {
        let two = two(["s-0", "other"], PATH, true).await;
        two.percents[1].set(900);
        {
            // Its own report, so that nothing but the probe can change it.
            let mut steer = two.host.edge.steer.borrow_mut();
            let index = index(&steer, 1);
            steer.record_server_speed(clock::now(), index, 100, SpeedSource::Answer);
            let first = steer.servers().find("s-0").expect("it is known");
            steer.record_server_speed(clock::now(), first, 50, SpeedSource::Answer);
        }
        two.percents[0].set(50);
        for number in 0..3 {
            compio::time::sleep(REPORT_AGED).await;
            two.get(&format!("r-{number}")).await;
        }
        assert!(two.counts(1).0 >= 2, "it was asked");
        assert_eq!(two.percent_known(1), 1.0);
        assert!(two.percent_known(0) < 0.6);
    });
}

#[test]
fn servers_that_report_no_speed_are_not_asked() {
    run(async || {
        let two = two(["s-0", "s-1"], PATH, false).await;
        for number in 0..4 {
            compio::time::sleep(REPORT_AGED).await;
            assert_eq!(two.get(&format!("r-{number}")).await.status, 200);
        }
        assert_eq!((two.counts(0).0, two.counts(1).0), (0, 0));
    });
}

/// A server that does not answer probes must not get more of them the more requests wait.
#[test]
fn server_is_asked_once_at_a_time() {
    run(async || {
        let two = two(["s-0", "s-1"], LATE_PATH, true).await;
        compio::time::sleep(REPORT_AGED).await;
        let before = [two.counts(0).0, two.counts(1).0];
        let requests = ["a", "b", "c", "d"].map(|id| two.get(id));
        for answer in futures_util::future::join_all(requests).await {
            assert_eq!(answer.status, 200);
        }
        let asked = two.counts(0).0 + two.counts(1).0;
        assert!(asked > before[0] + before[1], "servers were asked");
        for (n, before) in before.into_iter().enumerate() {
            assert!(two.counts(n).0 <= before + 1, "server {n}: {:?}", two.counts(n));
        }
    });
}

/// A request whose caller left while servers were asked is sent to none.
#[test]
fn nothing_is_sent_for_a_caller_that_left_during_the_probe() {
    run(async || {
        let two = two(["s-0", "s-1"], LATE_PATH, true).await;
        compio::time::sleep(REPORT_AGED).await;
        let asked = two.counts(0).0 + two.counts(1).0;
        let before = two.counts(0).1 + two.counts(1).1;
        let host = two.host.callers;
        let answer = support::send_request_within(host, "gone", "/key", TIMEOUT / 3).await;
        assert!(answer.is_none(), "the caller left before an answer");
        compio::time::sleep(TIMEOUT * 3).await;
        assert!(two.counts(0).0 + two.counts(1).0 > asked, "servers were asked");
        assert_eq!(two.counts(0).1 + two.counts(1).1, before);
    });
}
