//! Runs one soak, from starting its hosts to its report.

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
    gate, homes, injection, poison,
    process::{HostId, Process},
    store, watch,
    world::{MAX_HOSTS, PIN_SERVICES, SHOP, ServerMode, World},
};

/// Number of the shop's backend servers.
const SHOP_SERVERS: usize = 5;
/// Number of concurrent callers, and number of hosts for each of which one more caller is
/// added.
const BASE_CALLERS: usize = 8;
const HOSTS_PER_EXTRA_CALLER: usize = 4;
/// Number of callers that send poison requests.
const POISON_CALLERS: u64 = 3;
/// Number of hosts started at once. Each start takes processor time, and too many at once
/// would slow all of them down.
const HOSTS_PER_START_BATCH: usize = 10;
/// Time between two batches of starts, and time after the last one.
const START_BATCH_PAUSE: Duration = Duration::from_millis(200);
const STARTUP_WAIT: Duration = Duration::from_millis(800);
/// Time between two checks whether the next fault is due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which no host holds a request of a finished caller any more; longer than a
/// route's timeout.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults.
    pub seed: u64,
    /// Time during which faults are injected, in seconds.
    pub seconds: u64,
    /// Number of hosts.
    pub processes: usize,
    /// A rule that the soak breaks itself, to test that the checks detect it.
    pub broken: Option<String>,
    /// The program that runs hosts; the current one if `None`.
    pub program: Option<PathBuf>,
}

/// Result of a soak. Its `Display` output lists the violations, and the faults if the soak
/// failed.
#[derive(Debug)]
pub struct Report {
    seed: u64,
    events: Vec<Event>,
    counts: BTreeMap<&'static str, u64>,
    violations: Vec<String>,
}

impl Report {
    /// Whether no guarantee was violated and at least one request succeeded.
    pub fn passed(&self) -> bool {
        let served = self.counts.get("success").copied().unwrap_or(0);
        self.violations.is_empty() && served > 0
    }

    /// Number of occurrences by kind.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Violated guarantees.
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

/// Runs one soak with the faults of its seed for a given time. Errors of the soak itself are
/// reported as violations.
pub async fn run(options: &Options, time: Duration) -> Report {
    let fault_ms = time.as_millis() as u64;
    let events = faults::draw(options.seed, fault_ms, options.processes, SHOP_SERVERS);
    run_events(options, time, events).await
}

/// Runs one soak with the given faults, which have to be in order of time.
pub async fn run_events(options: &Options, time: Duration, events: Vec<Event>) -> Report {
    let fault_ms = time.as_millis() as u64;
    let world = World::new(options.broken.clone());
    if let Err(error) = drive(options, &world, &events, fault_ms).await {
        world.ledger.borrow_mut().add_violation(format!("the soak failed to run: {error}"));
    }
    let ledger = world.ledger.borrow();
    Report {
        seed: options.seed,
        events,
        counts: ledger.counts().clone(),
        violations: ledger.violations().to_vec(),
    }
}

async fn drive(
    options: &Options,
    world: &Rc<World>,
    events: &[Event],
    fault_ms: u64,
) -> io::Result<()> {
    if !(1..=MAX_HOSTS).contains(&options.processes) {
        return Err(io::Error::other(format!(
            "the number of hosts must be between 1 and {MAX_HOSTS}"
        )));
    }
    let store = store::start(world).await?;
    let servers = backend::start(world).await?;
    let address = gate::start(world.gate.clone(), servers).await?;
    let servers = (0..SHOP_SERVERS).map(|n| (format!("shop-{n}"), SHOP.to_owned()));
    let pins = (0..PIN_SERVICES).map(|n| (format!("pin-{n}"), format!("pin-{n}")));
    for (id, service) in servers.chain(pins) {
        world.servers.borrow_mut().insert(id.clone(), ServerMode::Healthy);
        world.register_server(&id, &service, address, false);
    }
    let homes_move = homes::move_with(events);
    world.homes_move.set(homes_move);
    if homes_move {
        for id in homes::servers() {
            world.servers.borrow_mut().insert(id.clone(), ServerMode::Healthy);
            world.register_server(&id, homes::SERVICE, address, false);
        }
    }
    poison::start(world);
    world.configure(1);
    static NEXT_SOAK: AtomicU8 = AtomicU8::new(0);
    let soak = NEXT_SOAK.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!("elmstream-soak-{}-{soak}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let program = options.program.clone().map_or_else(env::current_exe, Ok)?;
    let host_id = |number| HostId { soak, number, host_count: options.processes, homes_move };
    let new = |n| Process::new(host_id(n), store, folder.clone(), program.clone());
    let hosts: Hosts = Rc::new(RefCell::new((0..options.processes).map(new).collect()));
    let _ = world.hosts.set(Rc::downgrade(&hosts));
    for number in 0..options.processes {
        if number > 0 && number.is_multiple_of(HOSTS_PER_START_BATCH) {
            compio::time::sleep(START_BATCH_PAUSE).await;
        }
        hosts.borrow_mut()[number].start(world.now())?;
    }
    compio::time::sleep(STARTUP_WAIT).await;
    compio::runtime::spawn(watch::record_stalls(world.clone())).detach();
    compio::runtime::spawn(watch::take_backups(world.clone())).detach();
    let watch_task =
        compio::runtime::spawn(watch::restart_ended_hosts(world.clone(), hosts.clone()));
    let begin = world.now();
    let until = begin + fault_ms;
    let callers = BASE_CALLERS + options.processes / HOSTS_PER_EXTRA_CALLER;
    let run = |n, draw| callers::run(world.clone(), hosts.clone(), n, until, draw);
    let homed_callers = if homes_move { homes::CALLERS } else { 0 };
    let caller_tasks: Vec<_> = (0..callers as u64)
        .map(|n| run(n, callers::draw))
        .chain((0..homed_callers).map(|n| run(n, homes::draw)))
        .map(compio::runtime::spawn)
        .collect();
    let poison_tasks =
        (0..POISON_CALLERS).map(|n| poison::run(world.clone(), hosts.clone(), n, until));
    let poison_tasks: Vec<_> = poison_tasks.map(compio::runtime::spawn).collect();
    let mut fault_tasks: Vec<_> = Vec::new();
    for event in events {
        while world.now() < begin + event.at_ms {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let (world, hosts, event) = (world.clone(), hosts.clone(), *event);
        fault_tasks.push(compio::runtime::spawn(async move {
            injection::inject(&world, &hosts, event, address).await
        }));
    }
    for task in fault_tasks {
        let _ = task.await;
    }
    for task in caller_tasks.into_iter().chain(poison_tasks) {
        let _ = task.await;
    }
    drop(watch_task);
    compio::time::sleep(SETTLE_TIME).await;
    world.ledger.borrow_mut().check_lost_requests();
    let no_violations = world.ledger.borrow().violations().is_empty();
    hosts.borrow_mut().clear();
    if no_violations {
        fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("logs of the hosts are kept in {}", folder.display());
    }
    Ok(())
}
