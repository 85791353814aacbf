//! Kills, freezes and planned stops of real processes.

#[allow(dead_code)]
mod support;

use std::{
    collections::HashMap,
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use compio::runtime::Runtime;
use elmstream_bench::{
    fleet::{Fleet, send},
    operator::Operator,
    process::Daemons,
    small,
};
use elmstream_config::Configuration;
use elmstream_http::body;
use elmstream_proto::operators::{ServiceStatus, StatusReply};
use elmstream_standin::{
    backend::{Behaviour, Seen},
    caller::{self, Load},
};
use http::{Method, Request};

/// Four hosts of one region, so that three witnesses are named.
const HOSTS: [(&str, &str); 4] =
    [("p1", "north-a"), ("p2", "north-b"), ("p3", "north-a"), ("p4", "north-b")];
/// Time for a takeover: silence, a swap, a lease of waiting, and a margin.
const TAKEOVER_MAX: Duration = Duration::from_secs(10);

/// Daemons as processes. They are killed when this is dropped.
struct Processes {
    fleet: Option<Fleet>,
    daemons: Daemons,
    operator: Operator,
    folder: PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.daemons = Daemons::default();
        if let Some(fleet) = self.fleet.take() {
            let _ = fleet.stop();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Processes {
    /// Four hosts of one region, each of which owns a server.
    async fn start() -> Processes {
        Processes::start_changed(|_| {}).await
    }

    /// The same, with a change of the configuration.
    async fn start_changed(change: impl FnOnce(&mut Configuration)) -> Processes {
        let one_region = |c: &mut Configuration| {
            c.backend_servers.retain(|b| b.failure_domain != "south-a");
            change(c);
        };
        let mut processes = Processes::start_with(&HOSTS, one_region).await;
        let each_owns = |s: &StatusReply| {
            let owns = |host: &str| s.ownership.iter().any(|o| o.owner.starts_with(host));
            s.settled && HOSTS.iter().all(|(host, _)| owns(&format!("{host}#")))
        };
        processes.operator.wait_until(TAKEOVER_MAX, "each host owns one", each_owns).await.unwrap();
        processes
    }

    async fn start_with(
        hosts: &[(&str, &str)],
        change: impl FnOnce(&mut Configuration),
    ) -> Processes {
        support::show_panics();
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder =
            env::temp_dir().join(format!("elmstream-processes-{}-{number}", process::id()));
        let mut fleet = Fleet::new(&folder).unwrap();
        let mut configuration = small::configuration(&mut fleet);
        change(&mut configuration);
        let mut daemons = Daemons::default();
        let program = Path::new(env!("CARGO_BIN_EXE_elmstreamd"));
        for (name, domain) in hosts {
            daemons.start(&mut fleet, program, name, domain).unwrap();
        }
        let operator = small::make_ready(&fleet, &configuration).await.unwrap();
        Processes { fleet: Some(fleet), daemons, operator, folder }
    }

    fn fleet(&self) -> &Fleet {
        self.fleet.as_ref().unwrap()
    }

    fn signal(&self, host: usize, name: &str) {
        self.daemons.signal(host, name).unwrap();
    }

    /// Waits until none of a host's servers is named as its own any more.
    async fn wait_taken_over(&mut self, host: usize) -> Duration {
        let name = format!("{}#", HOSTS[host].0);
        let wanted = small::SLOTS_PER_SERVER * 4;
        let taken = |s: &StatusReply| {
            let named = s.ownership.iter().any(|o| o.owner.starts_with(&name));
            let slots: u32 = s.services.iter().map(|s| s.slots).sum();
            !named && s.settled && slots == wanted
        };
        self.operator.wait_until(TAKEOVER_MAX, "takeover", taken).await.unwrap()
    }

    /// A host besides the operator's, and the index of the server it owns.
    async fn owner(&mut self) -> (usize, usize) {
        let status = self.operator.status().await.unwrap();
        // It stands in north-a, whose servers' services end requests before a
        // takeover; an uploading one of north-b would hand them to the new owner.
        let victim = 2;
        let name = format!("{}#", HOSTS[victim].0);
        let owned = status.ownership.iter().find(|o| o.owner.starts_with(&name)).unwrap();
        let server = small::BACKENDS.iter().position(|b| b.0 == owned.backend_server).unwrap();
        assert_eq!(small::BACKENDS[server].2, HOSTS[victim].1);
        (victim, server)
    }
}

fn post(service: &str, id: &str) -> Request<elmstream_http::LocalBody> {
    Request::post("/")
        .header("host", "test")
        .header("elmstream-service", service)
        .header("elmstream-request-id", id)
        .body(body::full("panel"))
        .unwrap()
}

/// Requests that even a busy machine has to get through while the owner is dead.
const ASKED_MIN: u32 = 10;

#[test]
fn a_killed_host_is_taken_over_and_the_others_serve_on() {
    Runtime::new().unwrap().block_on(async {
        let mut processes = Processes::start().await;
        let (victim, _) = processes.owner().await;
        let begin = Instant::now();
        processes.signal(victim, "-KILL");
        let (mut ran, mut asked) = (0, 0);
        while begin.elapsed() < Duration::from_secs(2) {
            asked += 1;
            let callers = processes.fleet().hosts[0].settings.listen.callers;
            let get = Request::get("/").header("host", "t").header("elmstream-service", "status");
            let answer = send(callers, get.body(body::empty()).unwrap()).await.unwrap();
            ran += u32::from(answer.header("elmstream-outcome") == Some("ran"));
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        // A part, as on a busy machine fewer requests fit into the time.
        let served = asked >= ASKED_MIN && ran * 3 > asked;
        assert!(served, "{ran} of {asked} requests ran while the owner was dead");
        let took = processes.wait_taken_over(victim).await + Duration::from_secs(2);
        println!("taken over after {took:?}");
    });
}

/// Requests that are sent through the host that is frozen: more than its slots.
const LATE: u32 = 20;
/// Time that each of them runs, in milliseconds: so long that most still wait
/// when the host is frozen.
const LATE_RUN_MS: u64 = 1_500;
/// Time for a host that woke to do what it still would.
const AWAKE: Duration = Duration::from_secs(2);

/// What the backend servers saw of a host that was frozen and woke.
struct Woken {
    /// Time from the first request to the freeze.
    frozen_after: Duration,
    /// What each server saw until the host was taken over.
    before: Vec<Seen>,
    /// The same once the host had been awake for a while.
    after: Vec<Seen>,
}

impl Woken {
    /// Freezes `victim` once so many of its requests run and the others wait,
    /// and wakes it after it was taken over.
    async fn of(processes: &mut Processes, victim: usize, service: &str, running: u32) -> Woken {
        for index in 0..small::BACKENDS.len() {
            let slow = Behaviour { run_ms: LATE_RUN_MS, ..Behaviour::default() };
            processes.fleet().set_behaviour(index, &slow).await.unwrap();
        }
        let begin = Instant::now();
        let callers = processes.fleet().hosts[victim].settings.listen.callers;
        for number in 0..LATE {
            let request = post(service, &format!("late-{number}"));
            compio::runtime::spawn(async move {
                let _ = send(callers, request).await;
            })
            .detach();
        }
        // One that is still on its way would be new to the host when it wakes.
        let all_there = |s: &StatusReply| {
            let is_there = |s: &ServiceStatus| s.in_flight == running && s.queued == LATE - running;
            s.services.iter().any(|s| s.service == service && is_there(s))
        };
        processes.operator.wait_until(TAKEOVER_MAX, "all there", all_there).await.unwrap();
        processes.signal(victim, "-STOP");
        let frozen_after = begin.elapsed();
        processes.wait_taken_over(victim).await;
        let before = all_seen(processes.fleet()).await;
        processes.signal(victim, "-CONT");
        compio::time::sleep(AWAKE).await;
        let after = all_seen(processes.fleet()).await;
        Woken { frozen_after, before, after }
    }

    /// What holds however the requests lay: nothing runs after the host woke, no
    /// server gets more than its slots, and none of the requests runs twice.
    fn check(&self, service: &str) {
        let runs = |seen: &[Seen]| seen.iter().map(|s| s.runs).collect::<Vec<_>>();
        let (before, after) = (runs(&self.before), runs(&self.after));
        assert_eq!(after, before, "the late holder of {service} ran nothing after it woke");
        let mut runs_of = HashMap::<&String, u32>::new();
        for seen in &self.after {
            assert!(seen.in_flight_max <= small::SLOTS_PER_SERVER, "{seen:?}");
            assert_eq!(seen.repeated, 0);
            for (id, runs) in &seen.ids {
                *runs_of.entry(id).or_default() += runs;
            }
        }
        // A server knows only its own; a second run may be another's.
        assert!(runs_of.values().all(|&runs| runs == 1), "{runs_of:?}");
    }
}

async fn all_seen(fleet: &Fleet) -> Vec<Seen> {
    let mut all = Vec::new();
    for index in 0..small::BACKENDS.len() {
        all.push(fleet.seen(index).await.unwrap());
    }
    all
}

/// Lets a backend server serve another service.
fn serve(c: &mut Configuration, server: &str, service: &str) {
    let server = c.backend_servers.iter_mut().find(|b| b.name == server).unwrap();
    server.service = service.into();
}

/// The frozen host owns the only server of its service, so all requests wait there.
///
/// With a second owner in the region, 12 runs were counted for 4: the host had
/// heard of that owner and sent it some of the requests; four of them ran there
/// at once and four more after the freeze, as a live owner runs what it admitted.
#[test]
fn a_frozen_host_that_wakes_runs_nothing_more() {
    Runtime::new().unwrap().block_on(async {
        let alone = |c: &mut Configuration| serve(c, "status-2", "intake");
        let mut processes = Processes::start_changed(alone).await;
        let (victim, server) = processes.owner().await;
        let service = small::BACKENDS[server].1;
        let woken = Woken::of(&mut processes, victim, service, small::SLOTS_PER_SERVER).await;
        woken.check(service);
        let mut only_running = vec![0; small::BACKENDS.len()];
        only_running[server] = u64::from(small::SLOTS_PER_SERVER);
        let before: Vec<u64> = woken.before.iter().map(|s| s.runs).collect();
        let after = woken.frozen_after;
        assert_eq!(before, only_running, "what ran when it froze, {after:?} after the first");
    });
}

/// The frozen host passed a part of its requests on to another owner, which goes
/// on to run what it admitted; what waits at the frozen host itself never runs.
#[test]
fn what_a_frozen_host_passed_on_runs_once_and_the_rest_never() {
    Runtime::new().unwrap().block_on(async {
        let of_two_owners = |c: &mut Configuration| {
            serve(c, "status-2", "intake");
            serve(c, "release-1", "status");
        };
        let mut processes = Processes::start_changed(of_two_owners).await;
        let (victim, server) = processes.owner().await;
        // A host that has not heard of the other owner keeps all for itself.
        let mut at_victim = Operator::connect(processes.fleet(), victim).await.unwrap();
        let both_known = |s: &StatusReply| {
            s.services
                .iter()
                .any(|s| s.service == "status" && s.slots == 2 * small::SLOTS_PER_SERVER)
        };
        at_victim.wait_until(TAKEOVER_MAX, "both owners known", both_known).await.unwrap();
        let woken = Woken::of(&mut processes, victim, "status", 2 * small::SLOTS_PER_SERVER).await;
        woken.check("status");
        let (own, after) = (woken.before[server].runs, woken.frozen_after);
        let running = u64::from(small::SLOTS_PER_SERVER);
        assert_eq!(own, running, "what ran there when it froze, {after:?} after the first");
    });
}

#[test]
fn a_planned_stop_cuts_nothing_and_exits_with_0() {
    Runtime::new().unwrap().block_on(async {
        let mut processes = Processes::start().await;
        let (victim, server) = processes.owner().await;
        let service = small::BACKENDS[server].1;
        let load = Load {
            ask: processes.fleet().hosts.iter().map(|h| h.settings.listen.callers).collect(),
            service: service.into(),
            per_second: 100,
            duration: Duration::from_secs(5),
            method: Method::POST,
            body_bytes: 1_000,
            prefix: "stop".into(),
            ..Load::default()
        };
        let loading = compio::runtime::spawn(caller::run(load));
        compio::time::sleep(Duration::from_secs(1)).await;
        processes.signal(victim, "-TERM");
        let summary = loading.await.unwrap().summary();
        assert_eq!(summary.whole, summary.sent, "{summary:?}");
        let status = processes.daemons.wait(victim).unwrap();
        assert_eq!(status.code(), Some(0));
    });
}

/// Hosts of two regions; the operator's stands in the one that lives on.
const TWO_REGIONS: [(&str, &str); 4] =
    [("s1", "south-a"), ("s2", "south-a"), ("n1", "north-a"), ("n2", "north-b")];
/// Requests a second that the callers of the north send.
const DEMAND: u32 = 280;
/// Requests in any second that may shift from north to south.
const SHIFT_CAP: u32 = 150;
/// Time in which the shift must stand.
const SHIFT_IN: Duration = Duration::from_secs(5);

/// Demand of the north at 70% of its 400 requests a second: two servers of four
/// slots, 20 ms a request. South has as much, and nothing to do.
fn two_regions(c: &mut Configuration) {
    c.backend_servers.retain(|b| b.service == "status");
    let mut second = c.backend_servers[2].clone();
    second.name = "status-4".into();
    second.slots = 4;
    c.backend_servers.push(second);
    c.shift_caps.retain(|cap| cap.service == "status");
    c.shift_caps.iter_mut().for_each(|cap| cap.per_second = SHIFT_CAP);
    c.sites.push(elmstream_config::document::Site {
        name: "town".into(),
        home_region: "north".into(),
        blocks: vec!["127.0.0.0/8".parse().unwrap()],
    });
}

#[test]
fn a_region_that_fails_at_70_percent_shifts_up_to_the_cap() {
    Runtime::new().unwrap().block_on(async {
        let processes = Processes::start_with(&TWO_REGIONS, two_regions).await;
        for index in 0..3 {
            let slow = Behaviour { run_ms: 20, ..Behaviour::default() };
            processes.fleet().set_behaviour(index, &slow).await.unwrap();
        }
        let ask = |hosts: &[usize]| {
            let address = |&h: &usize| processes.fleet().hosts[h].settings.listen.callers;
            hosts.iter().map(address).collect::<Vec<_>>()
        };
        let load = |prefix: &str, seconds, targets| Load {
            targets,
            service: "status".into(),
            per_second: DEMAND,
            duration: Duration::from_secs(seconds),
            method: Method::POST,
            body_bytes: 10,
            prefix: prefix.into(),
            ..Load::default()
        };
        // Callers use the south's entry hosts, so that only the servers' region
        // fails for them, and none of their own connections.
        let before = caller::run(load("before", 3, ask(&[0, 1]))).await.summary();
        assert_eq!(before.whole, before.sent, "{before:?}");
        processes.signal(2, "-KILL");
        processes.signal(3, "-KILL");
        let during = caller::run(load("during", SHIFT_IN.as_secs(), ask(&[0, 1]))).await.summary();
        let seen_before = processes.fleet().seen(2).await.unwrap();
        let after = caller::run(load("after", 5, ask(&[0, 1]))).await.summary();
        let seen = processes.fleet().seen(2).await.unwrap();
        let rate = (seen.runs - seen_before.runs) as f64 / 5.0;
        println!("in the first 5 s: {during:?}\nafter them: {after:?}\nshifts a second: {rate}");
        assert!(rate <= f64::from(SHIFT_CAP), "{rate}");
        assert!(rate >= 0.9 * f64::from(SHIFT_CAP), "{rate}");
        assert_eq!((after.wrong, after.cut, after.failed), (0, 0, 0), "{after:?}");
        assert_eq!(seen.repeated, 0);
        assert!(seen.in_flight_max <= 2 * small::SLOTS_PER_SERVER, "{seen:?}");
        let known = [1101, 1102, 1103, 1104].map(|code| after.refused.get(&code).copied());
        let known: u64 = known.into_iter().flatten().sum();
        assert_eq!(after.whole + known, after.sent, "the rest is refused as not run: {after:?}");
    });
}
