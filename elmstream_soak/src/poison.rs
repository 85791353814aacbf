//! Servers that end under some requests, and callers who send these.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::net::TcpListener;
use elmstream_http::{LocalBody, Stopper, body, server, server::Aborted};
use elmstream_steer::view::RowKey;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    callers::{HostConnection, Hosts, RequestParams},
    workspaces::NAMES,
    world::World,
};

/// Their service.
pub const POISON_SERVICE: &str = "fragile";
/// First part of its requests' paths, and of their ids.
pub const POISON_REQUEST_KIND: &str = "harm";
/// How the ids of harmful ones begin.
pub const POISON_ID_PREFIX: &str = "harm-bad-";
/// Key of the harmful ones; others end no server.
const BAD_KEY: u32 = 0;
/// Keys of its requests.
const KEYS: u32 = 6;
/// Servers at a time.
const SERVERS: usize = 6;
/// Time that a request works, and after which a harmful one ends its server.
const WORK: Duration = Duration::from_millis(15);
/// Time after which the store loses a server that ended, and until another start.
const LAPSES: Duration = Duration::from_millis(400);
const BACK: Duration = Duration::from_millis(500);
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(70);
/// Part of the requests that are harmful.
const BAD_PART: f64 = 0.3;
/// Time after a fault in which a host may not know yet, in milliseconds.
const CALM_MS: u64 = 4_000;

/// Starts the servers; each that ends comes back as another start.
pub fn start(world: &Rc<World>) {
    for number in 0..SERVERS {
        let world = world.clone();
        compio::runtime::spawn(async move {
            for start in 0u64.. {
                if let Err(error) = one(&world, &format!("{POISON_SERVICE}-{number}-{start}")).await
                {
                    world.ledger.borrow_mut().add_violation(format!("no server: {error}"));
                    return;
                }
            }
        })
        .detach();
    }
}

/// One start of a server, to its end.
async fn one(world: &Rc<World>, id: &str) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address: SocketAddr = listener.local_addr()?;
    let ended = Rc::new(Cell::new(false));
    let (stopper, stop) = Stopper::new();
    let (seen, server, at) = (ended.clone(), id.to_owned(), world.clone());
    let handler = move |_, request| answer(at.clone(), seen.clone(), server.clone(), request);
    compio::runtime::spawn(server::serve(listener, None, stop, handler)).detach();
    world.register_server(id, POISON_SERVICE, address, false);
    while !ended.get() {
        compio::time::sleep(WORK / 3).await;
    }
    stopper.stop();
    world.ledger.borrow_mut().record_crash(world.now());
    compio::time::sleep(LAPSES).await;
    world.put(RowKey::Server(id.into()), None);
    compio::time::sleep(BACK).await;
    Ok(())
}

async fn answer(
    world: Rc<World>,
    ended: Rc<Cell<bool>>,
    server: String,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Aborted> {
    let id = request.headers().get("elmstream-request").and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    if ended.get() {
        return Err(Aborted);
    }
    world.ledger.borrow_mut().record_run(&id);
    if id.starts_with(POISON_ID_PREFIX) {
        world.ledger.borrow_mut().record_poison_run(&id);
    }
    compio::time::sleep(WORK).await;
    if id.starts_with(POISON_ID_PREFIX) {
        ended.set(true);
    }
    if ended.get() {
        // The end of a process closes its listener before its connections.
        compio::time::sleep(WORK).await;
        return Err(Aborted);
    }
    let mut response = Response::new(body::full(format!("{id} {server}")));
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("elmstream-request", value);
    }
    response.headers_mut().insert("elmstream-signature", HeaderValue::from_static("s"));
    Ok(response)
}

/// Sends requests until the time is over, harmful ones among them.
pub async fn run(world: Rc<World>, hosts: Hosts, number: u64, until: u64) {
    let mut random = StdRng::seed_from_u64(number);
    let mut count = 0u64;
    while world.now() < until {
        count += 1;
        let host = random.random_range(0..hosts.borrow().len());
        let bad = random.random_bool(BAD_PART);
        let id = match bad {
            true => format!("{POISON_ID_PREFIX}{number}-{count}"),
            false => format!("{POISON_REQUEST_KIND}-{number}-{count}"),
        };
        let version = world.ledger.borrow().newest_version();
        let key = match bad {
            // As if no host knew a harmful request when it comes again.
            true if world.breaks("harm") => KEYS + count as u32,
            true => BAD_KEY,
            false => random.random_range(1..KEYS),
        };
        let shows = RequestParams { key, workspace: NAMES[0], key_version: version };
        if let Some(line) = HostConnection::open(&world, &hosts, host).await {
            let calm = world.now() > hosts.borrow()[host].disturbed_ms + CALM_MS;
            if bad {
                let due = world.outages.borrow().due(world.ledger.borrow().third_crash_ms());
                let knows = calm && due.is_some_and(|due| due + CALM_MS < world.now());
                world.ledger.borrow_mut().record_poison_sent(&id, knows);
            }
            line.request(&world, &hosts, POISON_REQUEST_KIND, &id, shows).await;
        }
        compio::time::sleep(PAUSE).await;
    }
}
