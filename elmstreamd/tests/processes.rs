//! Kills, freezes and planned stops of daemons that run as processes.

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
    backend::{Behaviour, RequestStats},
    caller::{self, LoadPlan},
};
use http::{Method, Request};

/// Four hosts of one region, with their failure domains: enough for three witnesses.
const ENTRY_HOSTS: [(&str, &str); 4] =
    [("p1", "north-a"), ("p2", "north-b"), ("p3", "north-a"), ("p4", "north-b")];
/// Time for a takeover: detecting the failure, swapping the allotment row, waiting for the lease to
/// expire, and a margin.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// A fleet whose daemons run as processes, which are killed when this is dropped.
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
    /// Starts four hosts of one region and waits until each owns a server.
    async fn start() -> Processes {
        Processes::start_with_change(|_| {}).await
    }

    /// Starts four hosts of one region with a changed configuration.
    async fn start_with_change(change: impl FnOnce(&mut Configuration)) -> Processes {
        let one_region = |c: &mut Configuration| {
            c.backend_servers.retain(|b| b.failure_domain != "south-a");
            change(c);
        };
        let mut processes = Processes::start_with(&ENTRY_HOSTS, one_region).await;
        let each_owns_a_server = |s: &StatusReply| {
            let owns = |host: &str| s.ownership.iter().any(|o| o.owner.starts_with(host));
            s.settled && ENTRY_HOSTS.iter().all(|(host, _)| owns(&format!("{host}#")))
        };
        processes
            .operator
            .wait_until(TAKEOVER_TIMEOUT, "each host owns a server", each_owns_a_server)
            .await
            .unwrap();
        processes
    }

    /// Starts the given hosts with a changed configuration.
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

    /// Waits until a host owns no server any more and all slots have an owner; returns the time
    /// that it took.
    async fn wait_taken_over(&mut self, host: usize) -> Duration {
        let name = format!("{}#", ENTRY_HOSTS[host].0);
        let wanted = small::SLOTS_PER_SERVER * 4;
        let taken = |s: &StatusReply| {
            let still_owner = s.ownership.iter().any(|o| o.owner.starts_with(&name));
            let slots: u32 = s.services.iter().map(|s| s.slots).sum();
            !still_owner && s.settled && slots == wanted
        };
        self.operator.wait_until(TAKEOVER_TIMEOUT, "takeover", taken).await.unwrap()
    }

    /// A host other than the operator's, and the index of the server that it owns.
    async fn choose_victim(&mut self) -> (usize, usize) {
        let status = self.operator.status().await.unwrap();
        // The host is in north-a, where requests of the servers' services end before a takeover. A
        // server of north-b for uploads would still run them for the new owner.
        let victim = 2;
        let name = format!("{}#", ENTRY_HOSTS[victim].0);
        let owned = status.ownership.iter().find(|o| o.owner.starts_with(&name)).unwrap();
        let server = small::BACKENDS.iter().position(|b| b.0 == owned.backend_server).unwrap();
        assert_eq!(small::BACKENDS[server].2, ENTRY_HOSTS[victim].1);
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

/// Requests that must have been sent while the owner is dead, even on a busy machine.
const SENT_MIN: u32 = 10;

#[test]
fn killed_host_is_taken_over_while_others_serve() {
    Runtime::new().unwrap().block_on(async {
        let mut processes = Processes::start().await;
        let (victim, _) = processes.choose_victim().await;
        let started_at = Instant::now();
        processes.signal(victim, "-KILL");
        let (mut ran, mut sent) = (0, 0);
        while started_at.elapsed() < Duration::from_secs(2) {
            sent += 1;
            let callers = processes.fleet().hosts[0].settings.listen.callers;
            let get = Request::get("/").header("host", "t").header("elmstream-service", "status");
            let answer = send(callers, get.body(body::empty()).unwrap()).await.unwrap();
            ran += u32::from(answer.header("elmstream-outcome") == Some("ran"));
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        // Only a third must run, as fewer requests fit into the time on a busy machine.
        let served = sent >= SENT_MIN && ran * 3 > sent;
        assert!(served, "{ran} of {sent} requests ran while the owner was dead");
        let takeover_time = processes.wait_taken_over(victim).await + Duration::from_secs(2);
        println!("taken over after {takeover_time:?}");
    });
}

/// Requests that are sent to the host before it is frozen: more than it has slots.
const LATE_REQUESTS: u32 = 20;
/// Time that each of these requests runs, in milliseconds: long enough that most of them are still
/// queued when the host is frozen.
const LATE_RUN_MS: u64 = 1_500;
/// Time in which a host that woke up would run the requests that it still has.
const TIME_AFTER_WAKING: Duration = Duration::from_secs(2);

/// What the backend servers saw of a host that was frozen and woke up.
struct FreezeObservation {
    /// Time from the first request to the freeze.
    freeze_delay: Duration,
    /// What each server had seen when the host was taken over.
    before: Vec<RequestStats>,
    /// What each server had seen after the host had been awake for a while.
    after: Vec<RequestStats>,
}

impl FreezeObservation {
    /// Freezes `victim` once `running` of its requests run and the others wait, and wakes it after
    /// it was taken over.
    async fn freeze(
        processes: &mut Processes,
        victim: usize,
        service: &str,
        running: u32,
    ) -> FreezeObservation {
        for index in 0..small::BACKENDS.len() {
            let slow = Behaviour { run_ms: LATE_RUN_MS, ..Behaviour::default() };
            processes.fleet().set_behaviour(index, &slow).await.unwrap();
        }
        let started_at = Instant::now();
        let callers = processes.fleet().hosts[victim].settings.listen.callers;
        for number in 0..LATE_REQUESTS {
            let request = post(service, &format!("late-{number}"));
            compio::runtime::spawn(async move {
                let _ = send(callers, request).await;
            })
            .detach();
        }
        // A request that arrives after the freeze would be a new one to the host when it wakes.
        let all_arrived = |s: &StatusReply| {
            let has_arrived =
                |s: &ServiceStatus| s.in_flight == running && s.queued == LATE_REQUESTS - running;
            s.services.iter().any(|s| s.service == service && has_arrived(s))
        };
        processes
            .operator
            .wait_until(TAKEOVER_TIMEOUT, "all requests arrived", all_arrived)
            .await
            .unwrap();
        processes.signal(victim, "-STOP");
        let freeze_delay = started_at.elapsed();
        processes.wait_taken_over(victim).await;
        let before = seen_by_all(processes.fleet()).await;
        processes.signal(victim, "-CONT");
        compio::time::sleep(TIME_AFTER_WAKING).await;
        let after = seen_by_all(processes.fleet()).await;
        FreezeObservation { freeze_delay, before, after }
    }

    /// Checks what must hold wherever the requests were queued: nothing runs after the host woke
    /// up, no server gets more requests than it has slots, and no request runs twice.
    fn check(&self, service: &str) {
        let runs = |seen: &[RequestStats]| seen.iter().map(|s| s.runs).collect::<Vec<_>>();
        let (before, after) = (runs(&self.before), runs(&self.after));
        assert_eq!(after, before, "the former owner of {service} must run nothing after waking");
        let mut runs_of = HashMap::<&String, u32>::new();
        for seen in &self.after {
            assert!(seen.in_flight_max <= small::SLOTS_PER_SERVER, "{seen:?}");
            assert_eq!(seen.repeated, 0);
            for (id, runs) in &seen.ids {
                *runs_of.entry(id).or_default() += runs;
            }
        }
        // Each server only counts its own runs, so runs of a request are summed over all servers.
        assert!(runs_of.values().all(|&runs| runs == 1), "{runs_of:?}");
    }
}

async fn seen_by_all(fleet: &Fleet) -> Vec<RequestStats> {
    let mut all = Vec::new();
    for index in 0..small::BACKENDS.len() {
        all.push(fleet.seen(index).await.unwrap());
    }
    all
}

/// Assigns a backend server to another service.
fn set_service(c: &mut Configuration, server: &str, service: &str) {
    let server = c.backend_servers.iter_mut().find(|b| b.name == server).unwrap();
    server.service = service.into();
}

/// Guards against a host that runs queued requests after it was frozen, taken over and woken.
///
/// The frozen host owns the only server of its service, so that all requests wait there. With a
/// second owner in the region, the host would forward some of the requests to it, and that owner
/// would run them during the freeze, so that more than the host's 4 running requests are counted.
#[test]
fn frozen_host_runs_nothing_after_waking() {
    Runtime::new().unwrap().block_on(async {
        let sole_owner = |c: &mut Configuration| set_service(c, "status-2", "intake");
        let mut processes = Processes::start_with_change(sole_owner).await;
        let (victim, server) = processes.choose_victim().await;
        let service = small::BACKENDS[server].1;
        let observation =
            FreezeObservation::freeze(&mut processes, victim, service, small::SLOTS_PER_SERVER)
                .await;
        observation.check(service);
        let mut expected_runs = vec![0; small::BACKENDS.len()];
        expected_runs[server] = u64::from(small::SLOTS_PER_SERVER);
        let before: Vec<u64> = observation.before.iter().map(|s| s.runs).collect();
        let after = observation.freeze_delay;
        assert_eq!(
            before, expected_runs,
            "requests that ran before the freeze, {after:?} after the first request"
        );
    });
}

/// Guards against requests that run twice, or late, if a host is frozen after it forwarded some of
/// them. The other owner goes on to run what it admitted; requests that wait at the frozen host
/// itself never run.
#[test]
fn requests_forwarded_by_frozen_host_run_once_and_queued_ones_never() {
    Runtime::new().unwrap().block_on(async {
        let two_owners = |c: &mut Configuration| {
            set_service(c, "status-2", "intake");
            set_service(c, "release-1", "status");
        };
        let mut processes = Processes::start_with_change(two_owners).await;
        let (victim, server) = processes.choose_victim().await;
        // The host forwards requests only once it has learned of the other owner.
        let mut at_victim = Operator::connect(processes.fleet(), victim).await.unwrap();
        let both_known = |s: &StatusReply| {
            s.services
                .iter()
                .any(|s| s.service == "status" && s.slots == 2 * small::SLOTS_PER_SERVER)
        };
        at_victim.wait_until(TAKEOVER_TIMEOUT, "both owners known", both_known).await.unwrap();
        let observation = FreezeObservation::freeze(
            &mut processes,
            victim,
            "status",
            2 * small::SLOTS_PER_SERVER,
        )
        .await;
        observation.check("status");
        let (own, after) = (observation.before[server].runs, observation.freeze_delay);
        let running = u64::from(small::SLOTS_PER_SERVER);
        assert_eq!(
            own, running,
            "requests that ran there before the freeze, {after:?} after the first request"
        );
    });
}

#[test]
fn planned_stop_aborts_no_request_and_exits_with_0() {
    Runtime::new().unwrap().block_on(async {
        let mut processes = Processes::start().await;
        let (victim, server) = processes.choose_victim().await;
        let service = small::BACKENDS[server].1;
        let load = LoadPlan {
            lookup_hosts: processes
                .fleet()
                .hosts
                .iter()
                .map(|h| h.settings.listen.callers)
                .collect(),
            service: service.into(),
            per_second: 100,
            duration: Duration::from_secs(5),
            method: Method::POST,
            body_bytes: 1_000,
            id_prefix: "stop".into(),
            ..LoadPlan::default()
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

/// Hosts of two regions, with their failure domains. The operator's host is in the region that does
/// not fail.
const TWO_REGIONS: [(&str, &str); 4] =
    [("s1", "south-a"), ("s2", "south-a"), ("n1", "north-a"), ("n2", "north-b")];
/// Requests a second that the callers of region `north` send.
const REQUESTS_PER_SECOND: u32 = 280;
/// Most requests a second that may shift from `north` to `south`.
const SHIFT_CAP: u32 = 150;
/// Time in which the shift must have reached its full rate.
const SHIFT_TIMEOUT: Duration = Duration::from_secs(5);

/// Two servers of four slots in `north`, which run 400 requests of 20 ms a second, 70% of which
/// [`REQUESTS_PER_SECOND`] uses. `south` has as many slots and no load of its own.
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
fn region_failing_at_70_percent_load_shifts_up_to_the_cap() {
    Runtime::new().unwrap().block_on(async {
        let processes = Processes::start_with(&TWO_REGIONS, two_regions).await;
        for index in 0..3 {
            let slow = Behaviour { run_ms: 20, ..Behaviour::default() };
            processes.fleet().set_behaviour(index, &slow).await.unwrap();
        }
        let caller_addresses = |hosts: &[usize]| {
            let address = |&h: &usize| processes.fleet().hosts[h].settings.listen.callers;
            hosts.iter().map(address).collect::<Vec<_>>()
        };
        let load = |prefix: &str, seconds, targets| LoadPlan {
            targets,
            service: "status".into(),
            per_second: REQUESTS_PER_SECOND,
            duration: Duration::from_secs(seconds),
            method: Method::POST,
            body_bytes: 10,
            id_prefix: prefix.into(),
            ..LoadPlan::default()
        };
        // Callers use the entry hosts of `south`, so that they lose the servers of `north` but none
        // of their own connections.
        let before = caller::run(load("before", 3, caller_addresses(&[0, 1]))).await.summary();
        assert_eq!(before.whole, before.sent, "{before:?}");
        processes.signal(2, "-KILL");
        processes.signal(3, "-KILL");
        let during =
            caller::run(load("during", SHIFT_TIMEOUT.as_secs(), caller_addresses(&[0, 1])))
                .await
                .summary();
        let seen_before = processes.fleet().seen(2).await.unwrap();
        let after = caller::run(load("after", 5, caller_addresses(&[0, 1]))).await.summary();
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
