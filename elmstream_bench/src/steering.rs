//! A user's fleet under load: latency compared with an ideal queue and with baselines,
//! overload, drains, and the failure of a region.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elmstream_standin::{report::Report, target::Pick};

use crate::{
    cli::SteeringPart,
    experiment::with_fleet,
    fleet::Fleet,
    ideal,
    sizes::User,
    users::{LoadResult, UserFleet, mean_run_time},
};

/// Loads at which latency is measured, in percent of the capacity.
const LATENCY_LOADS_PERCENT: [u32; 3] = [50, 80, 95];
/// How long each load runs.
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// Load during drains and the failure of a region, in percent of the capacity.
const USUAL_LOAD_PERCENT: u32 = 70;
/// Time from the begin of the load until the region fails.
const REGION_FAILURE_DELAY: Duration = Duration::from_secs(5);
/// How long the load around the failure runs.
const REGION_FAILURE_LOAD_DURATION: Duration = Duration::from_secs(25);
/// Load under overload, in percent of the capacity.
const OVERLOAD_PERCENT: u32 = 300;
/// Number of entry hosts in a region.
const HOSTS_PER_REGION: usize = 4;
/// Time from the begin of a drain to the next one.
const DRAIN_INTERVAL: Duration = Duration::from_secs(6);

/// Runs one part of the measurements for a user, or all of them.
///
/// Fails if the fleet does not become ready or a load cannot run.
pub fn run(user: User, part: Option<SteeringPart>) -> Result<(), String> {
    with_fleet(async |fleet| measure(user, part, fleet).await)
}

async fn measure(user: User, part: Option<SteeringPart>, fleet: Fleet) -> Result<(), String> {
    let mut users = UserFleet::start(user, fleet).await?;
    let wants = |wanted| part.is_none_or(|part| part == wanted);
    if wants(SteeringPart::Latency) {
        for percent in LATENCY_LOADS_PERCENT {
            latency(&users, percent).await?;
        }
    }
    if wants(SteeringPart::Overload) {
        overload(&users).await?;
    }
    if wants(SteeringPart::Drains) {
        drains(&mut users).await?;
        users.undrain(3).await?;
    }
    if wants(SteeringPart::Region) {
        region_fails(&mut users).await?;
    }
    let UserFleet { fleet, daemons, operator, .. } = users;
    drop((operator, daemons));
    fleet.stop()
}

/// Latency of the first service at one load, compared with two baselines and the ideal
/// queue.
async fn latency(users: &UserFleet, percent: u32) -> Result<(), String> {
    println!("\nat {percent}% of capacity, {LOAD_DURATION:?} each");
    let demands = users.demands(percent);
    users.reset_backends().await?;
    for (what, pick) in [("random", Pick::Random), ("least loaded", Pick::LeastLoaded)] {
        let results = users.start_baseline_load(&demands, LOAD_DURATION, pick).finish().await?;
        print_latency(what, &service_report(&results, 0));
    }
    users.reset_backends().await?;
    let results =
        users.start_load(&demands, LOAD_DURATION, &format!("at{percent}")).finish().await?;
    let report = service_report(&results, 0);
    print_latency("elmstream", &report);
    let (waiting, twice) = users.limit_violations().await?;
    let slots: u32 = (0..users.user.regions.len()).map(|r| users.slots(r, 0)).sum();
    let rate: u32 = demands.iter().filter(|d| d.service == 0).map(|d| d.per_second).sum();
    let ideal = ideal::queue_latencies(slots as usize, f64::from(rate), mean_run_time());
    println!(
        "  ideal queue: p50 {} us, p99 {} us, p99.9 {} us; elmstream's p99 is {:.2} of it",
        ideal.value_at_quantile(0.5),
        ideal.value_at_quantile(0.99),
        ideal.value_at_quantile(0.999),
        report.latency.value_at_quantile(0.99) as f64 / ideal.value_at_quantile(0.99) as f64
    );
    println!(
        "  slots exceeded by {waiting}, run twice {twice}, all services {}",
        counts_text(&results)
    );
    Ok(())
}

/// The sum of one service's reports.
fn service_report(results: &[LoadResult], service: usize) -> Report {
    let mut sum = Report::default();
    for result in results.iter().filter(|s| s.demand.service == service) {
        sum.merge(&result.report);
    }
    sum
}

/// Counts over all services, as text.
fn counts_text(results: &[LoadResult]) -> String {
    let mut sum = Report::default();
    for result in results {
        sum.merge(&result.report);
    }
    let Report { sent, whole, wrong, cut, failed, refused, .. } = sum;
    format!(
        "{whole} of {sent} whole, wrong {wrong}, cut {cut}, failed {failed}, refused {refused:?}"
    )
}

fn print_latency(what: &str, report: &Report) {
    let at = |quantile| report.latency.value_at_quantile(quantile);
    println!(
        "  {what}: whole {} of {}, p50 {} us, p99 {} us, p99.9 {} us, refused {:?}",
        report.whole,
        report.sent,
        at(0.5),
        at(0.99),
        at(0.999),
        report.refused
    );
}

/// Load at several times the capacity: goodput, and latency of refusals.
async fn overload(users: &UserFleet) -> Result<(), String> {
    println!("\nat {OVERLOAD_PERCENT}% of capacity, {LOAD_DURATION:?}");
    users.reset_backends().await?;
    let results =
        users.start_load(&users.demands(OVERLOAD_PERCENT), LOAD_DURATION, "over").finish().await?;
    for service in 0..users.user.services.len() {
        let report = service_report(&results, service);
        let capacity: u32 = (0..users.user.regions.len()).map(|r| users.capacity(r, service)).sum();
        // The first second fills the queues, the last ones empty them.
        let seconds = &report.seconds[1..report.seconds.len() - 1];
        let whole: u64 = seconds.iter().map(|s| s.whole).sum();
        let goodput = whole as f64 / seconds.len() as f64;
        println!(
            "  {}: {goodput:.0} of {capacity} a second whole ({:.1}%), p99 {} us; refusals p50 {} us, p99 {} us; {:?}",
            users.user.services[service].0,
            100.0 * goodput / f64::from(capacity),
            report.latency.value_at_quantile(0.99),
            report.refusal_latency.value_at_quantile(0.5),
            report.refusal_latency.value_at_quantile(0.99),
            report.refused
        );
    }
    let (waiting, twice) = users.limit_violations().await?;
    println!("  slots exceeded by {waiting}, run twice {twice}, {}", counts_text(&results));
    Ok(())
}

/// Drains an instance, a failure domain and an entry host, one after the other, under load.
async fn drains(users: &mut UserFleet) -> Result<(), String> {
    println!("\ndrains at {USUAL_LOAD_PERCENT}% of capacity");
    let load = users.start_load(&users.demands(USUAL_LOAD_PERCENT), 3 * DRAIN_INTERVAL, "drain");
    compio::time::sleep(Duration::from_secs(1)).await;
    let instance = users.instances(0, 0)[0];
    let name = users.configuration.backend_servers[instance].name.clone();
    drain(users, 1, "backend-server", &name, vec![instance]).await?;
    let domain = users.user.domains()[2].clone();
    let servers = users.configuration.backend_servers.iter().enumerate();
    let in_domain = servers.filter(|(_, b)| b.failure_domain == domain).map(|(i, _)| i).collect();
    drain(users, 2, "failure-domain", &domain, in_domain).await?;
    let begin = Instant::now();
    let host = 1;
    users.daemons.signal(host, "-TERM").map_err(|e| e.to_string())?;
    while users.daemons.exit_status(host).map_err(|e| e.to_string())?.is_none() {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("  an entry host stopped after {:?}", begin.elapsed());
    let results = load.finish().await?;
    println!("  {}", counts_text(&results));
    Ok(())
}

/// Drains an entity and prints when its last request began, after the drain was accepted.
async fn drain(
    users: &mut UserFleet,
    revision: u64,
    kind: &str,
    name: &str,
    servers: Vec<usize>,
) -> Result<(), String> {
    let reply = users.operator.drain(revision, kind, name).await?;
    if reply.code != 0 {
        return Err(reply.message);
    }
    let accepted = unix_ms();
    compio::time::sleep(DRAIN_INTERVAL).await;
    let (mut last, mut in_flight) = (0, 0);
    for index in servers {
        let seen = users.fleet.seen(index).await.map_err(|e| e.to_string())?;
        last = last.max(seen.last_begin_ms);
        in_flight += seen.in_flight;
    }
    let delay_ms = last.saturating_sub(accepted);
    println!("  {kind} {name}: last request {delay_ms} ms after the acceptance, {in_flight} left");
    Ok(())
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Kills all entry hosts of the first region under load.
async fn region_fails(users: &mut UserFleet) -> Result<(), String> {
    println!(
        "\nthe first region's hosts are killed at {USUAL_LOAD_PERCENT}% of capacity, after {REGION_FAILURE_DELAY:?}"
    );
    users.reset_backends().await?;
    let demands = users.demands(USUAL_LOAD_PERCENT);
    let load = users.start_load(&demands, REGION_FAILURE_LOAD_DURATION, "fail");
    compio::time::sleep(REGION_FAILURE_DELAY).await;
    for host in 0..HOSTS_PER_REGION {
        // One of them may have been stopped by the drains before.
        let _ = users.daemons.signal(host, "-KILL");
    }
    let results = load.finish().await?;
    for service in 0..users.user.services.len() {
        let allowed = allowed_shift(users, service);
        let of_region = |region| {
            move |s: &&LoadResult| s.demand.region == region && s.demand.service == service
        };
        let Some(failed) = results.iter().find(of_region(0)) else { continue };
        let others: Vec<&LoadResult> = results
            .iter()
            .filter(|s| s.demand.region != 0 && s.demand.service == service)
            .collect();
        let whole: Vec<u64> = failed.report.seconds.iter().map(|s| s.whole).collect();
        let completed: u64 = others.iter().map(|s| s.report.whole).sum();
        let sent: u64 = others.iter().map(|s| s.report.sent).sum();
        println!(
            "  {}: {} a second, allowed to shift {allowed}; whole by second {whole:?}; the other regions' own: {completed} of {sent}",
            users.user.services[service].0, failed.demand.per_second
        );
    }
    let (waiting, twice) = users.limit_violations().await?;
    println!("  slots exceeded by {waiting}, run twice {twice}, {}", counts_text(&results));
    Ok(())
}

/// Requests a second of the first region that shift caps, headroom and the surviving regions'
/// own load leave room for.
fn allowed_shift(users: &UserFleet, service: usize) -> u32 {
    let c = &users.configuration;
    let policy = &c.services[service];
    let name = |region: usize| users.user.regions[region];
    let free_capacity = |region: usize| {
        let usable = policy.load_limit_percent.saturating_sub(policy.headroom_percent);
        let free =
            users.capacity(region, service) * usable.saturating_sub(USUAL_LOAD_PERCENT) / 100;
        let cap = c.shift_caps.iter().find(|cap| {
            cap.service == policy.name && cap.from == name(0) && cap.to == name(region)
        });
        free.min(cap.map_or(0, |cap| cap.per_second))
    };
    (1..users.user.regions.len()).map(free_capacity).sum()
}
