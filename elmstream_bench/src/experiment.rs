//! Experiments on running daemons: added latency, throughput, the time until changes are in
//! force everywhere, and the cost of idle control traffic.

use std::{
    cell::Cell,
    env,
    net::SocketAddr,
    process,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use compio::runtime::Runtime;
use elmstream_config::Configuration;
use elmstream_http::{body, client};
use elmstream_standin::{backend::Behaviour, caller::LoadPlan, report::Summary};
use elmstreamd::telemetry;
use http::Request;
use http_body_util::BodyExt;

use crate::{
    fleet::Fleet,
    operator::{Operator, in_force},
    sizes::LEOBENTAL,
    small,
    trial::run_load,
};

/// How long each load runs.
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// Number of connections that saturate a host.
const SATURATING_CONNECTIONS: usize = 32;
/// Requests a second at which added latency is measured.
const LATENCY_RATE_PER_S: u32 = 2_000;
/// Number of changes that are timed.
const CHANGE_COUNT: usize = 20;
/// Time limit for reaching an awaited state.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);
/// Length of the idle period before and during the measurement of control traffic.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Runs a measurement with an empty fleet in a temporary folder, which is removed at the
/// end.
///
/// Fails if the fleet or the runtime cannot be created, or if the measurement fails.
pub fn with_fleet<T>(run: impl AsyncFnOnce(Fleet) -> Result<T, String>) -> Result<T, String> {
    let folder = env::temp_dir().join(format!("elmstream-experiment-{}", process::id()));
    let fleet = Fleet::new(&folder).map_err(|e| e.to_string())?;
    let runtime = Runtime::new().map_err(|e| e.to_string())?;
    let result = runtime.block_on(run(fleet));
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// Prints the latency that an entry host adds, and the throughput of one of its threads.
///
/// Fails if the fleet does not become ready or a load cannot run.
pub fn latency() -> Result<(), String> {
    with_fleet(async |mut fleet| {
        let mut configuration = small::configuration(&mut fleet);
        configuration.backend_servers.retain(|b| b.name == "status-1");
        configuration.backend_servers[0].slots = 64;
        fleet.add_host("host-1", "north-a");
        fleet.add_host("host-2", "north-b");
        fleet.set_behaviour(0, &Behaviour::default()).await.map_err(|e| e.to_string())?;
        let operator = small::make_ready(&fleet, &configuration).await?;
        drop(operator);
        let backend = fleet.backends[0].address;
        let (owner, other) =
            (fleet.hosts[0].settings.listen.callers, fleet.hosts[1].settings.listen.callers);
        // The targets take turns, so that a drift of the machine's speed affects all three.
        for _ in 0..ROUNDS {
            for (what, target) in [("direct", backend), ("owner", owner), ("other", other)] {
                let summary = timed_load(target).await?;
                println!(
                    "{what}: whole {} of {}, p50 {} us, p99 {} us",
                    summary.whole, summary.sent, summary.p50_us, summary.p99_us
                );
            }
        }
        for (what, target, path) in [
            ("requests, direct", backend, "/"),
            ("requests, by the owner", owner, "/"),
            ("look-ups", owner, "/v1/lookup?service=status"),
        ] {
            let before = telemetry::process_usage().processor_us;
            let rate = saturate(target, path).await?;
            let used = (telemetry::process_usage().processor_us - before) as f64 / 1e6;
            println!("{what}: {rate:.0} a second, {used:.1} core seconds in all threads");
        }
        fleet.stop()
    })
}

/// Rounds of the three loads.
const ROUNDS: usize = 3;

async fn timed_load(target: SocketAddr) -> Result<Summary, String> {
    let load = LoadPlan {
        targets: vec![target],
        service: "status".into(),
        per_second: LATENCY_RATE_PER_S,
        duration: LOAD_DURATION,
        id_prefix: "latency".into(),
        ..LoadPlan::default()
    };
    let loading = thread::spawn(move || run_load(load));
    while !loading.is_finished() {
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    loading.join().map_err(|_| "the load panicked")?
}

/// Sends requests as fast as the answers come, over a fixed number of connections. Returns
/// the successful requests a second.
async fn saturate(target: SocketAddr, path: &'static str) -> Result<f64, String> {
    let running = thread::spawn(move || -> Result<f64, String> {
        let runtime = Runtime::new().map_err(|e| e.to_string())?;
        runtime.block_on(async {
            let count = Rc::new(Cell::new(0u64));
            let begin = Instant::now();
            let loops = (0..SATURATING_CONNECTIONS)
                .map(|_| compio::runtime::spawn(send_on(target, path, count.clone())));
            for sending in loops.collect::<Vec<_>>() {
                let _ = sending.await;
            }
            Ok(count.get() as f64 / begin.elapsed().as_secs_f64())
        })
    });
    while !running.is_finished() {
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    running.join().map_err(|_| "the load panicked")?
}

/// Sends the requests of one connection, each after the answer to the previous one.
async fn send_on(target: SocketAddr, path: &'static str, count: Rc<Cell<u64>>) {
    let Ok(mut sender) = client::connect(target, STATE_TIMEOUT).await else { return };
    let end = Instant::now() + LOAD_DURATION;
    while Instant::now() < end {
        let request = Request::get(path).header("host", "t").header("elmstream-service", "status");
        let Ok(request) = request.body(body::empty()) else { return };
        let Ok(response) = sender.send_request(request).await else { return };
        let good = response.status().is_success();
        if response.into_body().collect().await.is_err() || sender.ready().await.is_err() {
            return;
        }
        count.set(count.get() + u64::from(good));
    }
}

/// Prints the cost of idle control traffic and the time until changes are in force, with the
/// given number of daemons.
///
/// Fails if the fleet does not reach an awaited state or a change is refused.
pub fn spread(hosts: usize) -> Result<(), String> {
    with_fleet(async |mut fleet| {
        let configuration = LEOBENTAL.configuration(|_| SocketAddr::from(([127, 0, 0, 1], 9)));
        let domains = LEOBENTAL.domains();
        for index in 0..hosts {
            fleet.add_host(&format!("host-{index:03}"), &domains[index % domains.len()]);
        }
        fleet.publish_host_list(&fleet.host_list(&[])).await.map_err(|e| e.to_string())?;
        let mut operator = Operator::connect(&fleet, 0).await?;
        operator.apply(0, &configuration).await?;
        operator
            .wait_until(STATE_TIMEOUT, "revision 1 everywhere", |s| in_force(s, 1, hosts))
            .await?;
        compio::time::sleep(IDLE_PERIOD).await;
        measure_idle(&mut operator, hosts).await?;
        measure_changes(&mut operator, configuration, hosts).await?;
        drop(operator);
        fleet.stop()
    })
}

async fn measure_idle(operator: &mut Operator, hosts: usize) -> Result<(), String> {
    let before = operator.status().await?.control.unwrap_or_default();
    compio::time::sleep(IDLE_PERIOD).await;
    let after = operator.status().await?.control.unwrap_or_default();
    let seconds = (after.uptime_us - before.uptime_us) as f64 / 1e6;
    let nodes = hosts as f64;
    println!(
        "{hosts} daemons at rest: {:.0} bytes/s of messages at one, {:.3}% of a core each, {:.2} MB each",
        (after.peer_bytes - before.peer_bytes) as f64 / seconds,
        (after.processor_us - before.processor_us) as f64 / seconds / 1e4 / nodes,
        after.resident_bytes as f64 / 1e6 / nodes
    );
    Ok(())
}

/// Times each change from the call until the queried host knows that it is in force on all
/// others. The time includes their reports, which take up to a heartbeat interval more than the
/// change itself.
async fn measure_changes(
    operator: &mut Operator,
    mut configuration: Configuration,
    hosts: usize,
) -> Result<(), String> {
    let mut times = Vec::new();
    for number in 1..=CHANGE_COUNT as u64 {
        configuration.shift_caps[0].per_second += 1;
        let begin = Instant::now();
        let reply = operator.apply(number, &configuration).await?;
        if reply.code != 0 {
            return Err(reply.message);
        }
        operator
            .wait_until(STATE_TIMEOUT, "the change", |s| in_force(s, number + 1, hosts))
            .await?;
        times.push(begin.elapsed());
    }
    times.sort();
    println!(
        "{hosts} daemons, {CHANGE_COUNT} changes known to be in force on all: median {:?}, worst {:?}",
        times[CHANGE_COUNT / 2],
        times[CHANGE_COUNT - 1]
    );
    Ok(())
}
