//! Roll-outs of the shop: servers of another version come, good or bad, and what they and the
//! others get is judged from outside.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream_steer::{
    rollout::{RolloutOrder, RolloutStage},
    view::{RowContent, RowKey},
};

use crate::{
    callers::Hosts,
    world::{SHOP, ServerMode, StoreMode, World},
};

/// Servers of the version.
const SERVERS: u64 = 5;
/// Time from the order until it has to be decided, in milliseconds.
const DURATION: u64 = 6_000;
/// Time between the order and the servers' start.
const STARTED: Duration = Duration::from_millis(200);
/// Part of the shop's requests that a bad version may get, and requests on top.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// Bad answers after which, and time within which, it gets nothing more, in milliseconds.
const BAD: usize = 50;
const ROLLBACK: u64 = 5_000;
/// Time before the order from which on nothing must have been in trouble for the decision to
/// be due, in milliseconds.
const BEFORE: u64 = 2_000;
const LOOK: Duration = Duration::from_millis(50);
/// What the ids of servers of a version begin with.
pub const NEXT_VERSION_PREFIX: &str = "next-";
/// Where all of the shop's requests are counted.
pub const ALL_SERVERS: &str = "all";

/// The version of a server by its id.
pub fn version_of(id: &str) -> String {
    let began = id.strip_prefix(NEXT_VERSION_PREFIX).and_then(|rest| rest.split_once('-'));
    began.map_or("v1".to_owned(), |(_, began)| format!("v-{began}"))
}

/// Rolls the shop out, to a version that is bad or not.
pub async fn roll_out(world: &Rc<World>, hosts: &Hosts, bad: bool, address: SocketAddr) {
    let began = world.now();
    let target = format!("v-{began}");
    let order = RolloutOrder { target: target.clone(), duration_ms: DURATION };
    world.put(RowKey::Rollout(SHOP.into()), Some(RowContent::Rollout(order)));
    compio::time::sleep(STARTED).await;
    let servers: Vec<String> =
        (0..SERVERS).map(|n| format!("{NEXT_VERSION_PREFIX}{n}-{began}")).collect();
    let mode = if bad { ServerMode::FailingVersion } else { ServerMode::NextVersion };
    for server in &servers {
        world.servers.borrow_mut().insert(server.clone(), mode);
        world.register_server(server, SHOP, address, false);
    }
    let calm = watch(world, hosts, began, &target).await;
    let stage = stage(world, &target);
    if bad {
        judge_bad(world, &servers, began, calm, stage);
        leave(world, &servers);
    } else {
        judge_good(world, hosts, calm, stage).await;
    }
}

/// Waits for the decision; whether nothing was in trouble until then.
async fn watch(world: &World, hosts: &Hosts, began: u64, target: &str) -> bool {
    let (era, muted) = (world.era.get(), world.muted_until_ms.get());
    let mut calm = true;
    while world.now() < began + DURATION {
        let store =
            world.store_mode() == StoreMode::Healthy && world.refused_host.borrow().is_none();
        calm &= store && (world.era.get(), world.muted_until_ms.get()) == (era, muted);
        if stage(world, target) == Some(RolloutStage::Completed) {
            break;
        }
        compio::time::sleep(LOOK).await;
    }
    let since = began.saturating_sub(BEFORE);
    calm && hosts
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

fn judge_bad(
    world: &World,
    servers: &[String],
    began: u64,
    calm: bool,
    stage: Option<RolloutStage>,
) {
    let until = began + DURATION;
    let within = |server: &str| {
        let times = world.arrivals.times(server);
        times.into_iter().filter(|at| (began..until).contains(at)).collect::<Vec<u64>>()
    };
    let mut got: Vec<u64> = servers.iter().flat_map(|server| within(server)).collect();
    got.sort_unstable();
    let all = within(ALL_SERVERS).len();
    let most = all as f64 * SHARE + SLACK;
    let many = got.len() as f64 > most || world.breaks("exposure");
    let text = format!("a bad version got {} of {all} requests", got.len());
    judge(world, "exposure judged", many, text);
    // Every second answer is a failure.
    let late =
        got.get(2 * BAD).map_or(0, |bad| got.iter().filter(|at| **at > bad + ROLLBACK).count());
    judge(world, "roll-back judged", late > 0, format!("a bad version got {late} requests late"));
    if calm {
        let other = stage != Some(RolloutStage::RolledBack) || world.breaks("rolled_back");
        let text = format!("a bad version is {stage:?} when it has to be turned away");
        judge(world, "decision judged", other, text);
    }
}

/// The others are stopped without more ado, as soon as the roll-out is completed.
async fn judge_good(world: &World, hosts: &Hosts, calm: bool, stage: Option<RolloutStage>) {
    let completed = stage == Some(RolloutStage::Completed);
    if calm {
        let text = format!("a good version is {stage:?} when it has to be completed");
        judge(world, "decision judged", !completed || world.breaks("completed"), text);
    }
    if !completed {
        return;
    }
    let old: Vec<String> =
        world.servers.borrow().keys().filter(|id| id.starts_with(SHOP)).cloned().collect();
    let began = world.now();
    world.servers.borrow_mut().retain(|id, _| !old.contains(id));
    compio::time::sleep(Duration::from_millis(1_000)).await;
    let came = old.iter().flat_map(|id| world.arrivals.times(id)).filter(|at| *at > began).count();
    let undisturbed = hosts.borrow().iter().all(|host| host.disturbed_ms < began);
    let text = format!("servers that may be stopped got {came} requests");
    judge(world, "leaving the others judged", undisturbed && came > 0, text);
    leave(world, &old);
}

/// Servers end, and their entries go.
fn leave(world: &World, servers: &[String]) {
    for server in servers {
        world.put(RowKey::Server(server.clone()), None);
        world.servers.borrow_mut().remove(server);
    }
}

fn judge(world: &World, what: &'static str, broken: bool, text: String) {
    let mut ledger = world.ledger.borrow_mut();
    ledger.count(what);
    if broken {
        ledger.add_violation(text);
    }
}
