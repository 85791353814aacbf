//! The guided trial: the whole path of requests in one process, with a report.
//!
//! Three entry hosts in two regions serve reads, requests that must not be repeated, and
//! uploads, while a backend server is drained and an entry host is stopped. The trial fails
//! if a check does.

use std::{
    env, process, thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use compio::runtime::Runtime;
use elmstream_standin::{
    caller::{self, LoadPlan},
    report::Summary,
};
use http::Method;

use crate::{
    fleet::Fleet,
    operator::Operator,
    small::{self, BACKENDS, HOSTS, SLOTS_PER_SERVER},
};

/// How long each load runs.
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// Time from the begin of the loads until the drain.
const DRAIN_DELAY: Duration = Duration::from_secs(3);
/// Time from the begin of the loads until an entry host is stopped.
const STOP_DELAY: Duration = Duration::from_secs(5);
/// Time after which a drained backend server must get no new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the stop of an entry host.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Index of the backend server that is drained.
const DRAINED_BACKEND: usize = 0;
/// Index of the entry host that is stopped.
const STOPPED_HOST: usize = 1;

/// A check in the report.
struct Check {
    what: String,
    holds: bool,
}

/// Runs the trial and prints its report.
///
/// Fails if the fleet does not become ready or a check does not hold.
pub fn run() -> Result<(), String> {
    let folder = env::temp_dir().join(format!("elmstream-trial-{}", process::id()));
    let fleet = Fleet::new(&folder).map_err(|e| e.to_string())?;
    let runtime = Runtime::new().map_err(|e| e.to_string())?;
    let result = runtime.block_on(run_trial(fleet));
    let _ = std::fs::remove_dir_all(&folder);
    let checks = result?;
    println!("\nchecks");
    for check in &checks {
        println!("  {} {}", if check.holds { "holds" } else { "FAILS" }, check.what);
    }
    match checks.iter().all(|c| c.holds) {
        true => Ok(()),
        false => Err("a check does not hold".into()),
    }
}

async fn run_trial(mut fleet: Fleet) -> Result<Vec<Check>, String> {
    let configuration = small::start_fleet(&mut fleet);
    let mut operator = small::make_ready(&fleet, &configuration).await?;
    let loads = start_loads(&fleet);
    let mut checks = Vec::new();
    compio::time::sleep(DRAIN_DELAY).await;
    checks.push(drain_backend(&mut operator).await?);
    let drained_at = unix_ms();
    compio::time::sleep(STOP_DELAY - DRAIN_DELAY).await;
    checks.push(stop_host(&mut fleet).await);
    check_loads(loads, &mut checks)?;
    check_backends(&fleet, drained_at, &mut checks).await?;
    fleet.stop()?;
    Ok(checks)
}

type LoadThread = thread::JoinHandle<Result<Summary, String>>;

/// Starts loads of reads, of requests that must not be repeated, and of uploads, each on a
/// thread.
fn start_loads(fleet: &Fleet) -> Vec<(&'static str, LoadThread)> {
    let load = |service: &str, per_second, method, body_bytes| LoadPlan {
        lookup_hosts: fleet.caller_addresses(),
        service: service.into(),
        per_second,
        duration: LOAD_DURATION,
        method,
        body_bytes,
        id_prefix: service.into(),
        ..LoadPlan::default()
    };
    let plans = [
        ("reads", load("status", 300, Method::GET, 0)),
        ("releases", load("release", 100, Method::POST, 200)),
        ("uploads", load("intake", 4, Method::POST, 2 << 20)),
    ];
    let start = |(what, load)| (what, thread::spawn(move || run_load(load)));
    plans.into_iter().map(start).collect()
}

/// Runs a load to its end on a runtime of its own.
///
/// Fails if the runtime cannot be created.
pub fn run_load(load: LoadPlan) -> Result<Summary, String> {
    let runtime = Runtime::new().map_err(|e| e.to_string())?;
    Ok(runtime.block_on(caller::run(load)).summary())
}

async fn drain_backend(operator: &mut Operator) -> Result<Check, String> {
    let name = BACKENDS[DRAINED_BACKEND].0;
    let reply = operator.drain(1, "backend-server", name).await?;
    let what = format!("the drain of {name} is accepted as revision {}", reply.revision);
    Ok(Check { what, holds: reply.code == 0 })
}

/// Stops a host as planned and measures how long that takes.
async fn stop_host(fleet: &mut Fleet) -> Check {
    let name = HOSTS[STOPPED_HOST].0;
    let begin = Instant::now();
    let Some(mut running) = fleet.hosts[STOPPED_HOST].running.take() else {
        return Check { what: format!("{name} runs"), holds: false };
    };
    running.request_stop();
    while !running.has_ended() && begin.elapsed() < STOP_TIMEOUT {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    let ended = running.has_ended();
    let holds = ended && running.stop().is_ok();
    Check { what: format!("{name} stopped as planned after {:?}", begin.elapsed()), holds }
}

fn check_loads(loads: Vec<(&str, LoadThread)>, checks: &mut Vec<Check>) -> Result<(), String> {
    for (what, load_thread) in loads {
        let summary = load_thread.join().map_err(|_| "a load panicked")??;
        println!(
            "{what}: {} sent, p50 {} us, p99 {} us, p99.9 {} us",
            summary.sent, summary.p50_us, summary.p99_us, summary.p999_us
        );
        let holds = summary.whole == summary.sent && summary.sent > 0;
        let counts = format!(
            "{} of {} whole, wrong {}, cut {}, refused {:?}, failed {}",
            summary.whole,
            summary.sent,
            summary.wrong,
            summary.cut,
            summary.refused,
            summary.failed
        );
        checks.push(Check {
            what: format!("{what}: every answer is whole and its own ({counts})"),
            holds,
        });
    }
    Ok(())
}

async fn check_backends(
    fleet: &Fleet,
    drained_at: u64,
    checks: &mut Vec<Check>,
) -> Result<(), String> {
    let (mut repeated, mut max_in_flight) = (0, 0);
    let mut ids = std::collections::HashMap::new();
    for (index, (name, ..)) in BACKENDS.iter().enumerate() {
        let seen = fleet.seen(index).await.map_err(|e| e.to_string())?;
        repeated += seen.repeated;
        max_in_flight = max_in_flight.max(seen.in_flight_max);
        for (id, runs) in seen.ids {
            *ids.entry(id).or_insert(0) += runs;
        }
        if index == DRAINED_BACKEND {
            let late = seen.last_begin_ms.saturating_sub(drained_at);
            let what = format!("{name} got its last request {late} ms after the drain");
            checks.push(Check { what, holds: u128::from(late) <= DRAIN_TIMEOUT.as_millis() });
        }
    }
    let twice = ids.values().filter(|runs| **runs > 1).count() as u64 + repeated;
    checks.push(Check { what: format!("requests run twice: {twice}"), holds: twice == 0 });
    let what = format!(
        "most requests at one backend server at a time: {max_in_flight} of {SLOTS_PER_SERVER} slots"
    );
    checks.push(Check { what, holds: max_in_flight <= SLOTS_PER_SERVER });
    Ok(())
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
