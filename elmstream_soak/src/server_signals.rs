//! Servers that say of themselves, in their answers alone, that they leave, want rest or
//! take no more than a limit; judged by what they got.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use elmstream_steer::view::RowKey;
use http::{HeaderValue, Response, StatusCode};

use crate::{
    callers::Hosts,
    world::{SHOP, ServerMode, World},
};

/// Rest that a server asks for; longer than it goes on turning requests away.
const REST: &str = "5";
/// Requests of one host that may reach a server in its rest, also those that were on their
/// way as it asked.
const IN_REST: usize = 6;
/// Limit that a server names, in requests a second.
const LIMIT: f64 = 4.0;
/// Window in which requests are counted, and time from the first word on within which hosts
/// have to keep to a limit, in milliseconds.
const WINDOW: u64 = 4_000;
const CONTACT: u64 = 2_000;
/// Requests in a window that are allowed: half as many again as the limit says, and five.
const ALLOWED: usize = (LIMIT * 4.0 * 1.5) as usize + 5;
/// How long a server goes on to name a limit.
const IN_NEED: Duration = Duration::from_millis(CONTACT + WINDOW + 500);
/// Time after a server's first word within which it gets nothing more, and after which it
/// ends.
const LEAVES: Duration = Duration::from_millis(1_500);
const ENDS: Duration = Duration::from_millis(3_000);

/// When requests came to servers that say something of themselves.
#[derive(Debug, Default)]
pub struct Arrivals(RefCell<BTreeMap<String, Vec<u64>>>);

impl Arrivals {
    /// A request has come.
    pub fn record(&self, server: &str, now: u64) {
        self.0.borrow_mut().entry(server.to_owned()).or_default().push(now);
    }

    /// When requests came to a server.
    pub fn times(&self, server: &str) -> Vec<u64> {
        self.0.borrow().get(server).cloned().unwrap_or_default()
    }
}

/// Adds to an answer what its server says of itself.
pub fn add_signal<B>(mode: ServerMode, response: &mut Response<B>) {
    let headers = response.headers_mut();
    match mode {
        ServerMode::Leaving => {
            headers.insert("elmstream-server-leaving", HeaderValue::from_static("1"));
        }
        ServerMode::Limited => {
            if let Ok(limit) = LIMIT.to_string().parse() {
                headers.insert("elmstream-server-limit", limit);
            }
        }
        _ => {}
    }
}

/// Turns a request away and asks for rest.
pub fn refuse_with_back_off<B>(response: &mut Response<B>) {
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert("retry-after", HeaderValue::from_static(REST));
}

/// Whether any host met something unplanned since a time, or is another start.
fn disturbed(hosts: &Hosts, since: u64) -> bool {
    hosts.borrow().iter().any(|host| host.disturbed_ms >= since)
}

/// Time before a server's first word from which on hosts have to be undisturbed, in
/// milliseconds.
const BEFORE: u64 = 2_000;

/// A server turns all requests away for a while and asks for rest.
pub async fn back_off(world: &Rc<World>, hosts: &Hosts, n: usize, lasts: Duration) {
    let Some(server) = begin(world, n, ServerMode::BackingOff) else { return };
    let (began, before) = (world.now(), world.arrivals.times(&server).len());
    compio::time::sleep(lasts).await;
    end(world, &server);
    let got = world.arrivals.times(&server).len() - before;
    let most = IN_REST * hosts.borrow().len();
    let calm = !disturbed(hosts, began.saturating_sub(BEFORE));
    if calm || world.breaks("rest") {
        let got = if world.breaks("rest") { most + 1 } else { got };
        judge(world, "rest judged", got > most, format!("{server} got {got} requests in its rest"));
    }
}

/// A server names a limit for a while.
pub async fn name_limit(world: &Rc<World>, hosts: &Hosts, n: usize) {
    let Some(server) = begin(world, n, ServerMode::Limited) else { return };
    let began = world.now();
    compio::time::sleep(IN_NEED).await;
    end(world, &server);
    if disturbed(hosts, began.saturating_sub(BEFORE)) && !world.breaks("need") {
        return;
    }
    let mut came = world.arrivals.times(&server);
    came.retain(|at| *at >= began + CONTACT);
    let within = |from: &u64| came.iter().filter(|at| (*from..from + WINDOW).contains(at)).count();
    let worst = came.iter().map(within).max().unwrap_or(0);
    let worst = if world.breaks("need") { ALLOWED + 1 } else { worst };
    let text = format!("{server} named a limit and got {worst} requests, {ALLOWED} are allowed");
    judge(world, "limit judged", worst > ALLOWED, text);
}

/// A server leaves and says so in its answers only; then it is gone, and another one comes.
pub async fn leave(world: &Rc<World>, hosts: &Hosts, n: usize, address: std::net::SocketAddr) {
    let Some(server) = begin(world, n, ServerMode::Leaving) else { return };
    let began = world.now();
    let new = format!("shop-{n}-{began}");
    world.servers.borrow_mut().insert(new.clone(), ServerMode::Healthy);
    world.register_server(&new, SHOP, address, false);
    compio::time::sleep(LEAVES).await;
    let before = world.arrivals.times(&server).len();
    compio::time::sleep(ENDS - LEAVES).await;
    let late = world.arrivals.times(&server).len() - before;
    let calm = before > 0 && !disturbed(hosts, began.saturating_sub(BEFORE));
    if calm || world.breaks("leave") {
        let late = if world.breaks("leave") { 1 } else { late };
        let text = format!("{server} had said that it leaves and got {late} requests more");
        judge(world, "leaving judged", late > 0, text);
    }
    world.put(RowKey::Server(server.clone()), None);
    world.servers.borrow_mut().remove(&server);
}

fn judge(world: &World, what: &'static str, broken: bool, text: String) {
    let mut ledger = world.ledger.borrow_mut();
    ledger.count(what);
    if broken {
        ledger.add_violation(text);
    }
}

/// The server by its number, if it is there and nothing else ails it.
fn begin(world: &World, n: usize, mode: ServerMode) -> Option<String> {
    let server = format!("shop-{n}");
    let mut servers = world.servers.borrow_mut();
    let known = servers.get_mut(&server).filter(|known| **known == ServerMode::Healthy)?;
    *known = mode;
    Some(server)
}

fn end(world: &World, server: &str) {
    if let Some(known) = world.servers.borrow_mut().get_mut(server) {
        *known = ServerMode::Healthy;
    }
}
