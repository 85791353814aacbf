//! Brings faults about, and ends them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use elmstream_steer::view::RowKey;

use crate::{
    callers::Hosts,
    faults::{Event, Fault},
    process::Process,
    server_signals, stop_load, versions,
    world::{SHOP, ServerMode, StoreMode, World},
};

/// Time that a drained server still serves.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time after the store's return in which servers write themselves down again, and after
/// which it drops those that have left, in milliseconds.
const WRITE_AGAIN: u64 = 1_500;
const LAPSES: u64 = 4_500;
/// Time between two looks at whether a host has ended.
const STEP: Duration = Duration::from_millis(20);
/// Looks that a host may take to end: 4 s.
const LOOKS: u32 = 200;
/// A host that gets little processor time stands still and runs by turns, so that it
/// is behind by more than what a closing connection may cross.
const STARVED: Duration = Duration::from_millis(330);
const RUNS: Duration = Duration::from_millis(40);
/// A host is told of changed settings only when it has run for this long, in
/// milliseconds: before it listens to signals, any of them ends it.
const LISTENS_MS: u64 = 1_000;
/// Signals in a row: together they take longer than a host needs to read its settings,
/// so that some come while it does.
const OFTEN: u32 = 400;

/// Brings a fault about, and ends it.
pub async fn inject(world: &Rc<World>, hosts: &Hosts, event: Event, address: SocketAddr) {
    let lasts = Duration::from_millis(event.duration_ms);
    let disturb = |n: usize| hosts.borrow_mut()[n].record_unplanned(world.now());
    match event.fault {
        Fault::Kill(n) => {
            disturb(n);
            hosts.borrow_mut()[n].kill();
            compio::time::sleep(lasts).await;
            restart(world, hosts, n);
        }
        Fault::Freeze(n) => {
            disturb(n);
            hosts.borrow_mut()[n].signal("STOP");
            compio::time::sleep(lasts).await;
            hosts.borrow_mut()[n].signal("CONT");
            disturb(n);
        }
        Fault::Terminate(n) => terminate(world, hosts, n).await,
        Fault::Starve(n) => starve(world, hosts, n, event.duration_ms).await,
        Fault::Reload(n) => reload(world, hosts, n, 1),
        Fault::ReloadBurst(n) => reload(world, hosts, n, OFTEN),
        Fault::KillAll => {
            let all = hosts.borrow().len();
            (0..all).for_each(disturb);
            hosts.borrow_mut().iter_mut().for_each(Process::kill);
            compio::time::sleep(lasts).await;
            (0..all).for_each(|n| restart(world, hosts, n));
        }
        Fault::Store(mode) => {
            let trouble = world.begin_outage(mode);
            compio::time::sleep(lasts).await;
            world.end_outage(trouble);
        }
        Fault::Restore(age, again) => restore(world, lasts, age, again).await,
        Fault::MuteConnections => world.mute_connections(),
        Fault::RefuseHost(n) => {
            let name = hosts.borrow()[n].name();
            world.refused_host.replace(Some(name));
            compio::time::sleep(lasts).await;
            world.refused_host.replace(None);
        }
        Fault::Server(n, mode) => {
            set(world, n, mode);
            compio::time::sleep(lasts).await;
            set(world, n, ServerMode::Healthy);
        }
        Fault::Replace(n) => replace(world, n, address).await,
        Fault::Leave(n) => server_signals::leave(world, hosts, n, address).await,
        Fault::BackOff(n) => server_signals::back_off(world, hosts, n, lasts).await,
        Fault::NameLimit(n) => server_signals::name_limit(world, hosts, n).await,
        Fault::RollOut(bad) => versions::roll_out(world, hosts, bad, address).await,
        Fault::Configure => {
            let next = world.ledger.borrow().newest_version() + 1;
            // A store that is away acknowledges nothing.
            if world.store_mode() != StoreMode::Closing {
                world.configure(next);
            }
        }
    }
}

/// The store is away and comes back from a copy; the servers write again within some time,
/// and the operator after another one. What nobody writes again lapses.
async fn restore(world: &Rc<World>, away: Duration, age: u64, again: u64) {
    let gone = world.now();
    let number = world.outages.borrow_mut().begin(gone);
    world.store_modes.borrow_mut().push((number, StoreMode::Closing));
    compio::time::sleep(away).await;
    world.restore_backup(gone.saturating_sub(age));
    world.store_modes.borrow_mut().retain(|(known, _)| *known != number);
    let back = world.now();
    let servers: Vec<RowKey> = world.lost_rows();
    for (place, key) in servers.iter().enumerate().filter(|(_, key)| **key != RowKey::Configuration)
    {
        let gone = world.written.borrow().get(key).is_none_or(Option::is_none);
        let after = if gone { LAPSES } else { place as u64 * 97 % WRITE_AGAIN };
        let (world, key) = (world.clone(), key.clone());
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(after)).await;
            world.rewrite(&key);
        })
        .detach();
    }
    compio::time::sleep(Duration::from_millis(again)).await;
    world.rewrite(&RowKey::Configuration);
    // Until then a host that starts cannot know what the store has lost, if all restarted.
    let now = world.now().max(back);
    world.outages.borrow_mut().end(number, now);
}

/// A backend server behaves in another way, if it is still there.
fn set(world: &World, n: usize, mode: ServerMode) {
    if let Some(known) = world.servers.borrow_mut().get_mut(&format!("shop-{n}")) {
        *known = mode;
    }
}

/// Ends a host if it runs, and starts it; what is not planned.
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

/// Asks a host to stop, waits for its end, and starts it again.
async fn terminate(world: &Rc<World>, hosts: &Hosts, n: usize) {
    if hosts.borrow()[n].killed() {
        return;
    }
    hosts.borrow_mut()[n].signal("TERM");
    hosts.borrow_mut()[n].stop_requests += 1;
    if hosts.borrow()[n].stop_requested_ms.is_some() {
        // It was asked before, and whoever did that waits for its end.
        return;
    }
    let asked = world.now();
    hosts.borrow_mut()[n].stop_requested_ms = Some(asked);
    compio::runtime::spawn(stop_load::send_around_notice_end(
        world.clone(),
        hosts.clone(),
        n,
        asked,
    ))
    .detach();
    let mut looks = LOOKS;
    let ended = loop {
        let ended = hosts.borrow_mut()[n].exit_status();
        if ended.is_some() || hosts.borrow()[n].killed() || looks == 0 {
            break ended;
        }
        compio::time::sleep(STEP).await;
        looks -= 1;
    };
    let undisturbed = hosts.borrow()[n].unplanned_ms.is_none_or(|at| at < asked);
    if let Some(problem) = problem(ended, looks)
        && undisturbed
    {
        let since = world.now() - asked;
        let Process { stop_requests: asks, started_ms: started, .. } = hosts.borrow()[n];
        let text = format!(
            "host {n} {problem}, {since} ms after it was asked at {asked} ms, {} ms after its \
             start; asked {asks} times",
            asked - started
        );
        world.ledger.borrow_mut().add_violation(text);
    }
    match ended {
        Some(_) => start(world, hosts, n),
        None => restart(world, hosts, n),
    }
}

/// What is wrong with the end of a planned stop.
fn problem(ended: Option<std::process::ExitStatus>, looks: u32) -> Option<String> {
    match ended {
        None if looks == 0 => Some("did not end in 4 s".into()),
        Some(status) if !status.success() => Some(format!("did not stop but broke off: {status}")),
        _ => None,
    }
}

/// A start of a host gets a ninth of the time.
async fn starve(world: &Rc<World>, hosts: &Hosts, n: usize, lasts: u64) {
    let until = world.now() + lasts;
    let start = hosts.borrow()[n].start_number;
    while world.now() < until && hosts.borrow()[n].start_number == start {
        hosts.borrow_mut()[n].disturbed_ms = world.now();
        stop_load::burst(world, hosts, n).await;
        hosts.borrow_mut()[n].signal("STOP");
        compio::time::sleep(STARVED).await;
        hosts.borrow_mut()[n].signal("CONT");
        compio::time::sleep(RUNS).await;
    }
    hosts.borrow_mut()[n].disturbed_ms = world.now();
}

/// Tells a host that its settings have changed.
fn reload(world: &World, hosts: &Hosts, n: usize, times: u32) {
    let now = world.now();
    let mut hosts = hosts.borrow_mut();
    if now > hosts[n].started_ms + LISTENS_MS && !hosts[n].killed() {
        hosts[n].reloaded_ms = Some(now);
        hosts[n].repeat_signal("HUP", times);
    }
}

/// A server drains and is gone; its address is another server's from then on.
async fn replace(world: &World, n: usize, address: SocketAddr) {
    let old = format!("shop-{n}");
    if !world.servers.borrow().contains_key(&old) {
        return;
    }
    let new = format!("shop-{n}-{}", world.now());
    world.servers.borrow_mut().insert(new.clone(), ServerMode::Healthy);
    world.register_server(&new, SHOP, address, false);
    world.register_server(&old, SHOP, address, true);
    compio::time::sleep(DRAIN).await;
    world.put(RowKey::Server(old.clone()), None);
    compio::time::sleep(DRAIN).await;
    world.servers.borrow_mut().remove(&old);
}
