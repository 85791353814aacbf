//! Injects faults and ends them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream_steer::view::RowKey;

use crate::{
    callers::Hosts,
    connection_burst,
    faults::{Event, Fault},
    homes, late_writes, memory,
    process::Process,
    removals, server_signals, standstills, stop_load, versions,
    world::{SHOP, ServerMode, StoreMode, World},
};

/// Time for which a drained server still serves.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time after a restore within which servers register again, and time after which the store
/// drops servers that have left, in milliseconds.
const REWRITE_WINDOW_MS: u64 = 1_500;
const REMOVAL_DELAY_MS: u64 = 4_500;
/// Time between two checks whether a host has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks within which a host has to end: 4 s in all.
const MAX_EXIT_POLLS: u32 = 200;
/// A host with little processor time alternates between being frozen and running. Each
/// freeze exceeds the time within which a closing connection may race with a request.
const FROZEN_TIME: Duration = Duration::from_millis(330);
const RUNNING_TIME: Duration = Duration::from_millis(40);
/// Time that a host has to run before it is signalled to reload, in milliseconds: until it
/// listens for signals, any signal ends it.
const SIGNAL_READY_MS: u64 = 1_000;
/// Interval of the checks of hosts' memory while a server answers without end.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Signals in a burst. Together they take longer than a host needs to read its settings, so
/// that some arrive while it does.
const BURST_SIGNALS: u32 = 400;

/// Injects a fault, waits for its duration and ends it. `address` is where backend servers
/// listen.
pub async fn inject(world: &Rc<World>, hosts: &Hosts, event: Event, address: SocketAddr) {
    let duration = Duration::from_millis(event.duration_ms);
    let disturb = |n: usize| hosts.borrow_mut()[n].record_unplanned(world.now());
    match event.fault {
        Fault::Kill(n) => {
            disturb(n);
            hosts.borrow_mut()[n].kill();
            compio::time::sleep(duration).await;
            restart(world, hosts, n);
        }
        Fault::Freeze(n) => {
            disturb(n);
            hosts.borrow_mut()[n].signal("STOP");
            compio::time::sleep(duration).await;
            hosts.borrow_mut()[n].signal("CONT");
            disturb(n);
        }
        Fault::Terminate(n) => terminate(world, hosts, n).await,
        Fault::Starve(n) => starve(world, hosts, n, event.duration_ms).await,
        Fault::Reload(n) => reload(world, hosts, n, 1),
        Fault::ReloadBurst(n) => reload(world, hosts, n, BURST_SIGNALS),
        Fault::KillAll => {
            let host_count = hosts.borrow().len();
            (0..host_count).for_each(disturb);
            hosts.borrow_mut().iter_mut().for_each(Process::kill);
            compio::time::sleep(duration).await;
            (0..host_count).for_each(|n| restart(world, hosts, n));
        }
        Fault::Store(mode) => {
            let outage_id = world.begin_outage(mode);
            compio::time::sleep(duration).await;
            world.end_outage(outage_id);
        }
        Fault::Restore(backup_age_ms, rewrite_delay_ms) => {
            restore(world, duration, backup_age_ms, rewrite_delay_ms).await
        }
        Fault::MuteConnections => world.mute_connections(),
        Fault::RefuseHost(n) => {
            let name = hosts.borrow()[n].name();
            world.refused_host.replace(Some(name));
            compio::time::sleep(duration).await;
            world.refused_host.replace(None);
        }
        Fault::Server(n, mode) => {
            set_server_mode(world, n, mode);
            compio::time::sleep(duration).await;
            set_server_mode(world, n, ServerMode::Healthy);
        }
        Fault::Replace(n) => replace(world, n, address).await,
        Fault::Leave(n) => server_signals::leave(world, hosts, n, address).await,
        Fault::BackOff(n) => server_signals::back_off(world, hosts, n, duration).await,
        Fault::NameLimit(n) => server_signals::name_limit(world, hosts, n).await,
        Fault::RemoveServerAtStart(n) => {
            removals::remove_while_host_starts(world, hosts, n, duration, address).await
        }
        Fault::RemoveServerAfterStandstill(n) => {
            standstills::remove_after_standstill(world, hosts, n, address).await
        }
        Fault::AnswerWithoutEnd(n) => answer_without_end(world, hosts, n, duration).await,
        Fault::CompleteLate => late_writes::complete_late(world, address).await,
        Fault::ConnectionBurst(n) => connection_burst::open(world, hosts, n, duration).await,
        Fault::CutFromServers(n) => cut_from_servers(world, hosts, n, duration).await,
        Fault::RollOut(bad) => versions::roll_out(world, hosts, bad, address).await,
        Fault::MoveHomesBesideCut(n) => homes::move_beside_cut(world, hosts, n).await,
        Fault::Configure | Fault::MoveHomes => configure(world),
    }
}

/// Applies a new configuration.
pub fn configure(world: &World) {
    let next = world.ledger.borrow().newest_version() + 1;
    // A store that closes all connections acknowledges nothing.
    if world.store_mode() != StoreMode::Closing {
        world.configure(next);
    }
}

/// Closes the store's connections for a while and then restores it from a backup. Servers
/// register again within a fixed time, the operator writes again after `rewrite_delay_ms`,
/// and rows that nobody writes again are removed.
async fn restore(world: &Rc<World>, outage: Duration, backup_age_ms: u64, rewrite_delay_ms: u64) {
    let outage_ms = world.now();
    let outage_id = world.outages.borrow_mut().begin(outage_ms);
    world.store_modes.borrow_mut().push((outage_id, StoreMode::Closing));
    compio::time::sleep(outage).await;
    world.restore_backup(outage_ms.saturating_sub(backup_age_ms));
    world.store_modes.borrow_mut().retain(|(current, _)| *current != outage_id);
    let restored_ms = world.now();
    let servers: Vec<RowKey> = world.lost_rows();
    for (index, key) in servers.iter().enumerate().filter(|(_, key)| **key != RowKey::Configuration)
    {
        let removed = world.written.borrow().get(key).is_none_or(Option::is_none);
        let after = if removed { REMOVAL_DELAY_MS } else { index as u64 * 97 % REWRITE_WINDOW_MS };
        let (world, key) = (world.clone(), key.clone());
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(after)).await;
            world.rewrite(&key);
        })
        .detach();
    }
    compio::time::sleep(Duration::from_millis(rewrite_delay_ms)).await;
    world.rewrite(&RowKey::Configuration);
    // A host that starts before this time cannot know what the store has lost, if all other
    // hosts were restarted as well.
    let now = world.now().max(restored_ms);
    world.outages.borrow_mut().end(outage_id, now);
}

/// Cuts the present start of a host from all backend servers for a while.
pub async fn cut_from_servers(world: &World, hosts: &Hosts, n: usize, duration: Duration) {
    let Some(process) = hosts.borrow()[n].process_id() else { return };
    world.ledger.borrow_mut().count("cut from servers");
    world.gate.cut(process);
    world.cut_since_ms.borrow_mut().insert(n, world.now());
    compio::time::sleep(duration).await;
    world.cut_since_ms.borrow_mut().remove(&n);
    world.gate.restore(process);
}

/// Lets a backend server answer without end for a while, and checks the memory of all hosts meanwhile.
async fn answer_without_end(world: &World, hosts: &Hosts, n: usize, duration: Duration) {
    world.ledger.borrow_mut().count("answers without end");
    set_server_mode(world, n, ServerMode::Endless);
    let end = world.now() + duration.as_millis() as u64;
    while world.now() < end {
        compio::time::sleep(MEMORY_CHECK_INTERVAL).await;
        let host_count = hosts.borrow().len();
        (0..host_count).for_each(|host| memory::check(world, hosts, host));
    }
    set_server_mode(world, n, ServerMode::Healthy);
}

/// Sets how a backend server behaves, if it is still registered.
fn set_server_mode(world: &World, n: usize, mode: ServerMode) {
    if let Some(current) = world.servers.borrow_mut().get_mut(&format!("shop-{n}")) {
        *current = mode;
    }
}

/// Kills a host if it runs, and starts it, as an unplanned restart.
pub fn restart(world: &World, hosts: &Hosts, n: usize) {
    hosts.borrow_mut()[n].record_unplanned(world.now());
    start(world, hosts, n);
}

fn start(world: &World, hosts: &Hosts, n: usize) {
    let mut hosts = hosts.borrow_mut();
    hosts[n].kill();
    hosts[n].disturbed_ms = world.now();
    if let Err(error) = hosts[n].start(world.now()) {
        world.ledger.borrow_mut().add_violation(format!("host {n} does not start: {error}"));
    }
}

/// Asks a host to stop, waits until it has ended, and starts it again. Records a violation
/// if the stop was not interrupted by a fault and failed.
async fn terminate(world: &Rc<World>, hosts: &Hosts, n: usize) {
    if hosts.borrow()[n].killed() {
        return;
    }
    hosts.borrow_mut()[n].signal("TERM");
    hosts.borrow_mut()[n].stop_requests += 1;
    if hosts.borrow()[n].stop_requested_ms.is_some() {
        // The task that requested the first stop waits for the host's end.
        return;
    }
    let requested_ms = world.now();
    hosts.borrow_mut()[n].stop_requested_ms = Some(requested_ms);
    let start_number = hosts.borrow()[n].start_number;
    compio::runtime::spawn(stop_load::send_around_notice_end(
        world.clone(),
        hosts.clone(),
        n,
        requested_ms,
    ))
    .detach();
    let mut polls_left = MAX_EXIT_POLLS;
    let exit = loop {
        if hosts.borrow()[n].start_number != start_number {
            // A fault killed the start that was asked to stop, and another one runs.
            return;
        }
        let exit = hosts.borrow_mut()[n].exit_status();
        if exit.is_some() || hosts.borrow()[n].killed() || polls_left == 0 {
            break exit;
        }
        compio::time::sleep(EXIT_POLL_INTERVAL).await;
        polls_left -= 1;
    };
    let undisturbed = hosts.borrow()[n].unplanned_ms.is_none_or(|at| at < requested_ms);
    if let Some(stop_problem) = stop_problem(exit, polls_left)
        && undisturbed
    {
        let since = world.now() - requested_ms;
        let Process { stop_requests, started_ms, .. } = hosts.borrow()[n];
        let text = format!(
            "host {n} {stop_problem}, {since} ms after its stop was requested at {requested_ms} ms, \
             {} ms after its start; requested {stop_requests} times",
            requested_ms - started_ms
        );
        world.ledger.borrow_mut().add_violation(text);
    }
    match exit {
        Some(_) => start(world, hosts, n),
        None => restart(world, hosts, n),
    }
}

/// Describes what was wrong with a planned stop; `None` if nothing was.
fn stop_problem(exit: Option<std::process::ExitStatus>, polls_left: u32) -> Option<String> {
    match exit {
        None if polls_left == 0 => Some("did not end in 4 s".into()),
        Some(status) if !status.success() => Some(format!("failed while stopping: {status}")),
        _ => None,
    }
}

/// Lets one start of a host run for about a ninth of the time.
async fn starve(world: &Rc<World>, hosts: &Hosts, n: usize, duration_ms: u64) {
    let until = world.now() + duration_ms;
    let start = hosts.borrow()[n].start_number;
    while world.now() < until && hosts.borrow()[n].start_number == start {
        hosts.borrow_mut()[n].disturbed_ms = world.now();
        stop_load::burst(world, hosts, n).await;
        hosts.borrow_mut()[n].signal("STOP");
        compio::time::sleep(FROZEN_TIME).await;
        hosts.borrow_mut()[n].signal("CONT");
        compio::time::sleep(RUNNING_TIME).await;
    }
    hosts.borrow_mut()[n].disturbed_ms = world.now();
}

/// Signals a host to reload its settings.
fn reload(world: &World, hosts: &Hosts, n: usize, times: u32) {
    let now = world.now();
    let mut hosts = hosts.borrow_mut();
    if now > hosts[n].started_ms + SIGNAL_READY_MS && !hosts[n].killed() {
        hosts[n].reloaded_ms = Some(now);
        hosts[n].repeat_signal("HUP", times);
    }
}

/// Drains a server and removes it. Its address belongs to another server from then on.
async fn replace(world: &World, n: usize, address: SocketAddr) {
    let old = format!("shop-{n}");
    if !world.servers.borrow().contains_key(&old) {
        return;
    }
    let new = format!("shop-{n}-{}", world.now());
    world.servers.borrow_mut().insert(new.clone(), ServerMode::Healthy);
    world.register_server(&new, SHOP, address, false);
    world.register_server(&old, SHOP, address, true);
    compio::time::sleep(DRAIN_TIME).await;
    world.put(RowKey::Server(old.clone()), None);
    compio::time::sleep(DRAIN_TIME).await;
    world.servers.borrow_mut().remove(&old);
}
