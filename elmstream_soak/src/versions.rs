//! Roll-outs of a good or bad version of the shop, with checks of the requests that both
//! versions get and of the decision.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream_steer::{
    rollout::{RolloutOrder, RolloutStage},
    view::{RowContent, RowKey},
};

use crate::{
    callers::Hosts,
    world::{SHOP, ServerMode, StoreMode, World},
};

/// Number of servers of the new version.
const NEXT_VERSION_SERVERS: u64 = 5;
/// Time from the order until the roll-out has to be decided, in milliseconds.
const DURATION_MS: u64 = 6_000;
/// Time between the order and the start of the servers.
const SERVER_START_DELAY: Duration = Duration::from_millis(200);
/// Fraction of the shop's requests that a bad version may get, and requests allowed on top.
const MAX_BAD_FRACTION: f64 = 0.1;
const BAD_REQUESTS_SLACK: f64 = 50.0;
/// Number of failures after which a bad version has to be rolled back, and time after them
/// from which it must get nothing more, in milliseconds.
const ROLL_BACK_FAILURES: usize = 50;
const ROLL_BACK_TIME_MS: u64 = 5_000;
/// Time before the order from which hosts have to be undisturbed for the decision to be
/// checked, in milliseconds.
const CALM_BEFORE_MS: u64 = 2_000;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Prefix of the ids of servers of a new version.
pub const NEXT_VERSION_PREFIX: &str = "next-";
/// Name under which all requests to the shop are recorded.
pub const ALL_SERVERS: &str = "all";

/// Version of a server, from its id.
pub fn version_of(id: &str) -> String {
    let parts = id.strip_prefix(NEXT_VERSION_PREFIX).and_then(|rest| rest.split_once('-'));
    parts.map_or("v1".to_owned(), |(_, ordered_ms)| format!("v-{ordered_ms}"))
}

/// Rolls out a version of the shop, bad or good, and checks what becomes of it. `address` is
/// where its servers listen.
pub async fn roll_out(world: &Rc<World>, hosts: &Hosts, bad: bool, address: SocketAddr) {
    let ordered_ms = world.now();
    let target = format!("v-{ordered_ms}");
    let order = RolloutOrder { target: target.clone(), duration_ms: DURATION_MS };
    world.put(RowKey::Rollout(SHOP.into()), Some(RowContent::Rollout(order)));
    compio::time::sleep(SERVER_START_DELAY).await;
    let servers: Vec<String> = (0..NEXT_VERSION_SERVERS)
        .map(|n| format!("{NEXT_VERSION_PREFIX}{n}-{ordered_ms}"))
        .collect();
    let mode = if bad { ServerMode::FailingVersion } else { ServerMode::NextVersion };
    for server in &servers {
        world.servers.borrow_mut().insert(server.clone(), mode);
        world.register_server(server, SHOP, address, false);
    }
    let was_calm = await_decision(world, hosts, ordered_ms, &target).await;
    let stage = stage(world, &target);
    if bad {
        check_bad_version(world, &servers, ordered_ms, was_calm, stage);
        remove_servers(world, &servers);
    } else {
        check_good_version(world, hosts, was_calm, stage).await;
    }
}

/// Waits until the roll-out is completed or its time is over. Returns whether neither the
/// store nor a host was disturbed until then.
async fn await_decision(world: &World, hosts: &Hosts, ordered_ms: u64, target: &str) -> bool {
    let (era, muted) = (world.era.get(), world.muted_until_ms.get());
    let mut was_calm = true;
    while world.now() < ordered_ms + DURATION_MS {
        let store_healthy =
            world.store_mode() == StoreMode::Healthy && world.refused_host.borrow().is_none();
        was_calm &= store_healthy && (world.era.get(), world.muted_until_ms.get()) == (era, muted);
        if stage(world, target) == Some(RolloutStage::Completed) {
            break;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    let since = ordered_ms.saturating_sub(CALM_BEFORE_MS);
    was_calm
        && hosts
            .borrow()
            .iter()
            .all(|host| host.disturbed_ms < since && host.stop_requested_ms.is_none())
}

fn stage(world: &World, target: &str) -> Option<RolloutStage> {
    let rows = world.rows.borrow();
    match &rows.get(&RowKey::Progress(SHOP.into()))?.content {
        Some(RowContent::Progress(progress)) if progress.target == target => Some(progress.stage),
        _ => None,
    }
}

fn check_bad_version(
    world: &World,
    servers: &[String],
    ordered_ms: u64,
    was_calm: bool,
    stage: Option<RolloutStage>,
) {
    let until = ordered_ms + DURATION_MS;
    let within = |server: &str| {
        let times = world.arrivals.times(server);
        times.into_iter().filter(|at| (ordered_ms..until).contains(at)).collect::<Vec<u64>>()
    };
    let mut arrivals_ms: Vec<u64> = servers.iter().flat_map(|server| within(server)).collect();
    arrivals_ms.sort_unstable();
    let all = within(ALL_SERVERS).len();
    let allowed = all as f64 * MAX_BAD_FRACTION + BAD_REQUESTS_SLACK;
    let exceeded = arrivals_ms.len() as f64 > allowed || world.breaks("exposure");
    let text = format!("a bad version got {} of {all} requests", arrivals_ms.len());
    record_check(world, "exposure judged", exceeded, text);
    // Every second answer of the version is a failure.
    let late_requests = arrivals_ms
        .get(2 * ROLL_BACK_FAILURES)
        .map_or(0, |bad| arrivals_ms.iter().filter(|at| **at > bad + ROLL_BACK_TIME_MS).count());
    record_check(
        world,
        "roll-back judged",
        late_requests > 0,
        format!("a bad version got {late_requests} requests late"),
    );
    if was_calm {
        let wrong_stage = stage != Some(RolloutStage::RolledBack) || world.breaks("rolled_back");
        let text = format!("a bad version is {stage:?} when it has to be rolled back");
        record_check(world, "decision judged", wrong_stage, text);
    }
}

/// Once the roll-out is completed, the servers of the old version are stopped at once and
/// must get no more requests.
async fn check_good_version(
    world: &World,
    hosts: &Hosts,
    was_calm: bool,
    stage: Option<RolloutStage>,
) {
    let completed = stage == Some(RolloutStage::Completed);
    if was_calm {
        let text = format!("a good version is {stage:?} when it has to be completed");
        record_check(world, "decision judged", !completed || world.breaks("completed"), text);
    }
    if !completed {
        return;
    }
    let old_servers: Vec<String> =
        world.servers.borrow().keys().filter(|id| id.starts_with(SHOP)).cloned().collect();
    let ordered_ms = world.now();
    world.servers.borrow_mut().retain(|id, _| !old_servers.contains(id));
    compio::time::sleep(Duration::from_millis(1_000)).await;
    let late_requests = old_servers
        .iter()
        .flat_map(|id| world.arrivals.times(id))
        .filter(|at| *at > ordered_ms)
        .count();
    let undisturbed = hosts.borrow().iter().all(|host| host.disturbed_ms < ordered_ms);
    let text =
        format!("servers of the old version got {late_requests} requests after the roll-out");
    record_check(world, "leaving the others judged", undisturbed && late_requests > 0, text);
    remove_servers(world, &old_servers);
}

/// Removes servers and their rows in the store.
fn remove_servers(world: &World, servers: &[String]) {
    for server in servers {
        world.put(RowKey::Server(server.clone()), None);
        world.servers.borrow_mut().remove(server);
    }
}

fn record_check(world: &World, what: &'static str, broken: bool, text: String) {
    let mut ledger = world.ledger.borrow_mut();
    ledger.count(what);
    if broken {
        ledger.add_violation(text);
    }
}
