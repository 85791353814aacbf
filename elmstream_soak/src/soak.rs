//! One soak from start to report.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    env, fmt, fs, io,
    path::PathBuf,
    rc::Rc,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use crate::{
    backend,
    callers::{self, Hosts},
    faults::{self, Event, Fault},
    process::{Place, Process},
    store,
    world::{HOSTS_MAX, PINS, SHOP, ServerMode, StoreMode, World},
};

/// Backend servers of the shop.
const SERVERS: usize = 5;
/// Callers at once.
const CALLERS: u64 = 8;
/// Time that a drained server still serves.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time between two looks at what has to be done.
const STEP: Duration = Duration::from_millis(20);

/// What to soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Draws the faults.
    pub seed: u64,
    /// How long faults go on, in seconds.
    pub seconds: u64,
    /// Number of hosts.
    pub processes: usize,
    /// A rule that the soak breaks itself.
    pub broken: Option<String>,
    /// The program that runs hosts; this one if absent.
    pub program: Option<PathBuf>,
}

/// What came of it.
#[derive(Debug)]
pub struct Report {
    seed: u64,
    events: Vec<Event>,
    counts: BTreeMap<&'static str, u64>,
    violations: Vec<String>,
}

impl Report {
    /// Whether no promise was broken, and callers were served at all.
    pub fn passed(&self) -> bool {
        let served = self.counts.get("success").copied().unwrap_or(0);
        self.violations.is_empty() && served > 0
    }

    /// Broken promises.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {} faults, {:?}", self.seed, self.events.len(), self.counts)?;
        for violation in &self.violations {
            writeln!(f, "broken: {violation}")?;
        }
        if !self.passed() {
            for event in &self.events {
                writeln!(f, "  {:6} ms, {:4} ms long: {:?}", event.at, event.lasts, event.fault)?;
            }
        }
        write!(f, "{}", if self.passed() { "passed" } else { "FAILED" })
    }
}

/// Runs one soak.
pub async fn run(options: &Options, time: Duration) -> Report {
    let millis = time.as_millis() as u64;
    let events = faults::draw(options.seed, millis, options.processes, SERVERS);
    let world = World::new(options.broken.clone());
    if let Err(error) = play(options, &world, &events, millis).await {
        world.ledger.borrow_mut().violate(format!("the soak cannot run: {error}"));
    }
    let ledger = world.ledger.borrow();
    Report {
        seed: options.seed,
        events,
        counts: ledger.counts().clone(),
        violations: ledger.violations().to_vec(),
    }
}

async fn play(
    options: &Options,
    world: &Rc<World>,
    events: &[Event],
    millis: u64,
) -> io::Result<()> {
    if !(1..=HOSTS_MAX).contains(&options.processes) {
        return Err(io::Error::other(format!("{HOSTS_MAX} hosts at most, one at least")));
    }
    let store = store::start(world).await?;
    let address = backend::start(world).await?;
    let servers = (0..SERVERS).map(|n| (format!("shop-{n}"), SHOP.to_owned()));
    let pins = (0..PINS).map(|n| (format!("pin-{n}"), format!("pin-{n}")));
    for (id, service) in servers.chain(pins) {
        world.servers.borrow_mut().insert(id.clone(), ServerMode::Well);
        world.serve(&id, &service, address, false);
    }
    world.configure(1);
    static SOAKS: AtomicU8 = AtomicU8::new(0);
    let soak = SOAKS.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!("elmstream-soak-{}-{soak}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let program = options.program.clone().map_or_else(env::current_exe, Ok)?;
    let place = |number| Place { soak, number, hosts: options.processes };
    let new = |n| Process::new(place(n), store, folder.clone(), program.clone());
    let hosts: Hosts = Rc::new(RefCell::new((0..options.processes).map(new).collect()));
    for host in hosts.borrow_mut().iter_mut() {
        host.start()?;
    }
    compio::time::sleep(Duration::from_millis(800)).await;
    let calling: Vec<_> = (0..CALLERS)
        .map(|n| compio::runtime::spawn(callers::run(world.clone(), hosts.clone(), n, millis)))
        .collect();
    let mut running: Vec<_> = Vec::new();
    for event in events {
        while world.now() < event.at {
            compio::time::sleep(STEP).await;
        }
        let (world, hosts, event) = (world.clone(), hosts.clone(), *event);
        running.push(compio::runtime::spawn(async move {
            strike(&world, &hosts, event, address).await
        }));
    }
    for task in running {
        let _ = task.await;
    }
    for task in calling {
        let _ = task.await;
    }
    let kept = world.ledger.borrow().violations().is_empty();
    hosts.borrow_mut().clear();
    if kept {
        fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("logs of the hosts are kept in {}", folder.display());
    }
    Ok(())
}

/// Brings a fault about, and ends it.
async fn strike(world: &Rc<World>, hosts: &Hosts, event: Event, address: std::net::SocketAddr) {
    let lasts = Duration::from_millis(event.lasts);
    let disturb = |n: usize| hosts.borrow_mut()[n].disturbed = world.now();
    match event.fault {
        Fault::Kill(n) => {
            disturb(n);
            hosts.borrow_mut()[n].kill();
            compio::time::sleep(lasts).await;
            restart(world, hosts, n);
        }
        Fault::Freeze(n) => {
            disturb(n);
            hosts.borrow()[n].signal("STOP");
            compio::time::sleep(lasts).await;
            hosts.borrow()[n].signal("CONT");
            disturb(n);
        }
        Fault::Terminate(n) => terminate(world, hosts, n).await,
        Fault::KillAll => {
            let all = hosts.borrow().len();
            hosts.borrow_mut().iter_mut().for_each(Process::kill);
            compio::time::sleep(lasts).await;
            (0..all).for_each(|n| restart(world, hosts, n));
        }
        Fault::Store(mode) => {
            world.store.set(mode);
            world.disturbed.set(world.now() + event.lasts);
            compio::time::sleep(lasts).await;
            world.store.set(StoreMode::Well);
            world.disturbed.set(world.now());
        }
        Fault::TurnAway(n) => {
            let name = hosts.borrow()[n].name();
            world.away.replace(Some(name));
            compio::time::sleep(lasts).await;
            world.away.replace(None);
        }
        Fault::Server(n, mode) => {
            let id = format!("shop-{n}");
            if let Some(known) = world.servers.borrow_mut().get_mut(&id) {
                *known = mode;
            }
            compio::time::sleep(lasts).await;
            if let Some(known) = world.servers.borrow_mut().get_mut(&id) {
                *known = ServerMode::Well;
            }
        }
        Fault::Replace(n) => replace(world, n, address).await,
        Fault::Configure => {
            let next = world.ledger.borrow().newest() + 1;
            world.configure(next);
        }
    }
}

/// Starts a host again.
fn restart(world: &World, hosts: &Hosts, n: usize) {
    let mut hosts = hosts.borrow_mut();
    hosts[n].kill();
    hosts[n].disturbed = world.now();
    if let Err(error) = hosts[n].start() {
        world.ledger.borrow_mut().violate(format!("host {n} does not start: {error}"));
    }
}

/// Asks a host to stop, waits for its end, and starts it again.
async fn terminate(world: &World, hosts: &Hosts, n: usize) {
    let asked = world.now();
    hosts.borrow_mut()[n].terminated = Some(asked);
    hosts.borrow()[n].signal("TERM");
    let mut waits = 200;
    while waits > 0 && !hosts.borrow_mut()[n].ended() {
        compio::time::sleep(STEP).await;
        waits -= 1;
    }
    let undisturbed = hosts.borrow()[n].disturbed < asked;
    if waits == 0 && undisturbed {
        world.ledger.borrow_mut().violate(format!("host {n} did not end in 4 s"));
    }
    restart(world, hosts, n);
}

/// A server drains and is gone; its address is another server's from then on.
async fn replace(world: &World, n: usize, address: std::net::SocketAddr) {
    let old = format!("shop-{n}");
    if !world.servers.borrow().contains_key(&old) {
        return;
    }
    let new = format!("shop-{n}-{}", world.now());
    world.servers.borrow_mut().insert(new.clone(), ServerMode::Well);
    world.serve(&new, SHOP, address, false);
    world.serve(&old, SHOP, address, true);
    compio::time::sleep(DRAIN).await;
    world.put(elmstream_steer::view::Key::Server(old.clone()), None);
    compio::time::sleep(DRAIN).await;
    world.servers.borrow_mut().remove(&old);
}
