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
    faults::{self, Event},
    injection, poison,
    process::{HostId, Process},
    store, watch,
    world::{MAX_HOSTS, PIN_SERVICES, SHOP, ServerMode, World},
};

/// Backend servers of the shop.
const SERVERS: usize = 5;
/// Callers at once, beside one for each so many hosts.
const CALLERS: usize = 8;
const HOSTS_A_CALLER: usize = 4;
/// Callers of the service whose servers end.
const FRAGILE_CALLERS: u64 = 3;
/// Hosts that are started at once: a start takes some of the machine.
const STARTED_AT_ONCE: usize = 10;
/// Time between such starts, and after the last one.
const START_PAUSE: Duration = Duration::from_millis(200);
const STARTED: Duration = Duration::from_millis(800);
/// Time between two looks at what has to be done.
const STEP: Duration = Duration::from_millis(20);

/// Time after which no host has a request any more that a caller sent before; longer
/// than a route's time.
const SETTLED: Duration = Duration::from_millis(1_000);

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

    /// Numbers of things seen.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
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
                writeln!(
                    f,
                    "  {:6} ms, {:4} ms long: {:?}",
                    event.at_ms, event.duration_ms, event.fault
                )?;
            }
        }
        write!(f, "{}", if self.passed() { "passed" } else { "FAILED" })
    }
}

/// Runs one soak with the faults of its seed.
pub async fn run(options: &Options, time: Duration) -> Report {
    let millis = time.as_millis() as u64;
    let events = faults::draw(options.seed, millis, options.processes, SERVERS);
    run_events(options, time, events).await
}

/// Runs one soak with given faults, in order of their times.
pub async fn run_events(options: &Options, time: Duration, events: Vec<Event>) -> Report {
    let millis = time.as_millis() as u64;
    let world = World::new(options.broken.clone());
    if let Err(error) = play(options, &world, &events, millis).await {
        world.ledger.borrow_mut().add_violation(format!("the soak cannot run: {error}"));
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
    if !(1..=MAX_HOSTS).contains(&options.processes) {
        return Err(io::Error::other(format!("{MAX_HOSTS} hosts at most, one at least")));
    }
    let store = store::start(world).await?;
    let address = backend::start(world).await?;
    let servers = (0..SERVERS).map(|n| (format!("shop-{n}"), SHOP.to_owned()));
    let pins = (0..PIN_SERVICES).map(|n| (format!("pin-{n}"), format!("pin-{n}")));
    for (id, service) in servers.chain(pins) {
        world.servers.borrow_mut().insert(id.clone(), ServerMode::Healthy);
        world.register_server(&id, &service, address, false);
    }
    poison::start(world);
    world.configure(1);
    static SOAKS: AtomicU8 = AtomicU8::new(0);
    let soak = SOAKS.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!("elmstream-soak-{}-{soak}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let program = options.program.clone().map_or_else(env::current_exe, Ok)?;
    let place = |number| HostId { soak, number, host_count: options.processes };
    let new = |n| Process::new(place(n), store, folder.clone(), program.clone());
    let hosts: Hosts = Rc::new(RefCell::new((0..options.processes).map(new).collect()));
    for number in 0..options.processes {
        if number > 0 && number.is_multiple_of(STARTED_AT_ONCE) {
            compio::time::sleep(START_PAUSE).await;
        }
        hosts.borrow_mut()[number].start(world.now())?;
    }
    compio::time::sleep(STARTED).await;
    compio::runtime::spawn(watch::record_stalls(world.clone())).detach();
    compio::runtime::spawn(watch::take_backups(world.clone())).detach();
    let watching = compio::runtime::spawn(watch::restart_ended_hosts(world.clone(), hosts.clone()));
    let begin = world.now();
    let until = begin + millis;
    let callers = CALLERS + options.processes / HOSTS_A_CALLER;
    let calling: Vec<_> = (0..callers as u64)
        .map(|n| compio::runtime::spawn(callers::run(world.clone(), hosts.clone(), n, until)))
        .collect();
    let harming = (0..FRAGILE_CALLERS).map(|n| poison::run(world.clone(), hosts.clone(), n, until));
    let harming: Vec<_> = harming.map(compio::runtime::spawn).collect();
    let mut running: Vec<_> = Vec::new();
    for event in events {
        while world.now() < begin + event.at_ms {
            compio::time::sleep(STEP).await;
        }
        let (world, hosts, event) = (world.clone(), hosts.clone(), *event);
        running.push(compio::runtime::spawn(async move {
            injection::inject(&world, &hosts, event, address).await
        }));
    }
    for task in running {
        let _ = task.await;
    }
    for task in calling.into_iter().chain(harming) {
        let _ = task.await;
    }
    drop(watching);
    compio::time::sleep(SETTLED).await;
    world.ledger.borrow_mut().check_lost_requests();
    let kept = world.ledger.borrow().violations().is_empty();
    hosts.borrow_mut().clear();
    if kept {
        fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("logs of the hosts are kept in {}", folder.display());
    }
    Ok(())
}
