//! Backend servers that crash under poison requests, and callers that send such requests.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::net::TcpListener;
use elmstream_http::{LocalBody, RequestBody, Stopper, body, server, server::Aborted};
use elmstream_steer::view::RowKey;
use http::{HeaderValue, Request, Response};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    callers::{HostConnection, Hosts, RequestParams},
    workspaces::NAMES,
    world::World,
};

/// Name of the service whose servers crash.
pub const POISON_SERVICE: &str = "fragile";
/// First segment of the paths of this service's requests, and prefix of their ids.
pub const POISON_REQUEST_KIND: &str = "harm";
/// Prefix of the ids of poison requests.
pub const POISON_ID_PREFIX: &str = "harm-bad-";
/// Affinity key of poison requests; requests with other keys crash no server.
const POISON_KEY: u32 = 0;
/// Number of affinity keys of the service's requests.
const AFFINITY_KEYS: u32 = 6;
/// Number of servers running at a time.
const SERVER_COUNT: usize = 6;
/// Time that a request runs; a poison request crashes its server after it.
const RUN_TIME: Duration = Duration::from_millis(15);
/// Time after a crash until the store removes the server, and from then until its next
/// start.
const REMOVAL_DELAY: Duration = Duration::from_millis(400);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(70);
/// Fraction of requests that are poison.
const POISON_FRACTION: f64 = 0.3;
/// Time after a fault during which a host may not yet know which requests are poison, in
/// milliseconds.
const RECOVERY_MS: u64 = 4_000;

/// Starts the servers. Each one that crashes is started again under a new id.
pub fn start(world: &Rc<World>) {
    for number in 0..SERVER_COUNT {
        let world = world.clone();
        compio::runtime::spawn(async move {
            for start in 0u64.. {
                if let Err(error) =
                    run_server(&world, &format!("{POISON_SERVICE}-{number}-{start}")).await
                {
                    world.ledger.borrow_mut().add_violation(format!("no server: {error}"));
                    return;
                }
            }
        })
        .detach();
    }
}

/// Runs one start of a server until it crashes.
async fn run_server(world: &Rc<World>, id: &str) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address: SocketAddr = listener.local_addr()?;
    let crashed = Rc::new(Cell::new(false));
    let (stopper, stop) = Stopper::new();
    let (crash_flag, server, handler_world) = (crashed.clone(), id.to_owned(), world.clone());
    let handler = move |_, request| {
        answer(handler_world.clone(), crash_flag.clone(), server.clone(), request)
    };
    compio::runtime::spawn(server::serve(listener, None, stop, handler)).detach();
    world.register_server(id, POISON_SERVICE, address, false);
    while !crashed.get() {
        compio::time::sleep(RUN_TIME / 3).await;
    }
    stopper.stop();
    world.ledger.borrow_mut().record_crash(world.now());
    compio::time::sleep(REMOVAL_DELAY).await;
    world.put(RowKey::Server(id.into()), None);
    compio::time::sleep(RESTART_DELAY).await;
    Ok(())
}

async fn answer(
    world: Rc<World>,
    crashed: Rc<Cell<bool>>,
    server: String,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let id = request.headers().get("elmstream-request").and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    if crashed.get() {
        return Err(Aborted);
    }
    world.ledger.borrow_mut().record_run(&id);
    if id.starts_with(POISON_ID_PREFIX) {
        world.ledger.borrow_mut().record_poison_run(&id);
    }
    compio::time::sleep(RUN_TIME).await;
    if id.starts_with(POISON_ID_PREFIX) {
        crashed.set(true);
    }
    if crashed.get() {
        // When a process ends, its listener closes before its connections.
        compio::time::sleep(RUN_TIME).await;
        return Err(Aborted);
    }
    let mut response = Response::new(body::full(format!("{id} {server}")));
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("elmstream-request", value);
    }
    response.headers_mut().insert("elmstream-signature", HeaderValue::from_static("s"));
    Ok(response)
}

/// Sends requests, a fraction of them poison, until `until`, in milliseconds since the start
/// of the soak.
pub async fn run(world: Rc<World>, hosts: Hosts, number: u64, until: u64) {
    let mut random = StdRng::seed_from_u64(number);
    let mut count = 0u64;
    while world.now() < until {
        count += 1;
        let host = random.random_range(0..hosts.borrow().len());
        let is_poison = random.random_bool(POISON_FRACTION);
        let id = match is_poison {
            true => format!("{POISON_ID_PREFIX}{number}-{count}"),
            false => format!("{POISON_REQUEST_KIND}-{number}-{count}"),
        };
        let version = world.ledger.borrow().newest_version();
        let key = match is_poison {
            // Gives each poison request a different content, so that no host can recognize
            // it.
            true if world.breaks("harm") => AFFINITY_KEYS + count as u32,
            true => POISON_KEY,
            false => random.random_range(1..AFFINITY_KEYS),
        };
        let params = RequestParams { key, workspace: NAMES[0], key_version: version };
        if let Some(connection) = HostConnection::open(&world, &hosts, host).await {
            let undisturbed = world.now() > hosts.borrow()[host].disturbed_ms + RECOVERY_MS;
            if is_poison {
                let due = world.outages.borrow().due(world.ledger.borrow().third_crash_ms());
                let must_refuse =
                    undisturbed && due.is_some_and(|due| due + RECOVERY_MS < world.now());
                world.ledger.borrow_mut().record_poison_sent(&id, must_refuse);
            }
            connection.request(&world, &hosts, POISON_REQUEST_KIND, &id, params).await;
        }
        compio::time::sleep(REQUEST_PAUSE).await;
    }
}
