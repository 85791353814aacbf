//! Backend servers that leave, ask for back-off or announce a limit in their answers only,
//! with checks of the requests that they get afterwards.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use elmstream_steer::view::RowKey;
use http::{HeaderValue, Response, StatusCode};

use crate::{
    callers::Hosts,
    world::{SHOP, ServerMode, World},
};

/// Back-off that a server asks for, in seconds; longer than the time for which it refuses
/// requests.
const RETRY_AFTER_S: &str = "5";
/// Requests from one host that may reach a server during its back-off, including those
/// already under way when it asked.
const MAX_BACK_OFF_REQUESTS_PER_HOST: usize = 6;
/// Limit that a server announces, in requests a second.
const SERVER_LIMIT_PER_S: f64 = 4.0;
/// Window in which requests are counted, and time from the first announcement until hosts
/// have to respect the limit, in milliseconds.
const LIMIT_WINDOW_MS: u64 = 4_000;
const LIMIT_GRACE_MS: u64 = 2_000;
/// Requests allowed in a window: one and a half times the limit, and five more.
const MAX_REQUESTS_IN_WINDOW: usize = (SERVER_LIMIT_PER_S * 4.0 * 1.5) as usize + 5;
/// How long a server announces its limit.
const LIMIT_DURATION: Duration = Duration::from_millis(LIMIT_GRACE_MS + LIMIT_WINDOW_MS + 500);
/// Time after a server's first announcement after which it must get no more requests, and
/// time after which it stops.
const LEAVE_GRACE: Duration = Duration::from_millis(1_500);
const LEAVE_DURATION: Duration = Duration::from_millis(3_000);

/// Arrival times of requests, by server, in milliseconds since the start of the soak.
#[derive(Debug, Default)]
pub struct Arrivals(RefCell<BTreeMap<String, Vec<u64>>>);

impl Arrivals {
    /// Records that a request arrived at a server.
    pub fn record(&self, server: &str, now: u64) {
        self.0.borrow_mut().entry(server.to_owned()).or_default().push(now);
    }

    /// When requests arrived at a server.
    pub fn times(&self, server: &str) -> Vec<u64> {
        self.0.borrow().get(server).cloned().unwrap_or_default()
    }
}

/// Adds the server's announcement to an answer.
pub fn add_signal<B>(mode: ServerMode, response: &mut Response<B>) {
    let headers = response.headers_mut();
    match mode {
        ServerMode::Leaving => {
            headers.insert("elmstream-server-leaving", HeaderValue::from_static("1"));
        }
        ServerMode::Limited => {
            if let Ok(limit) = SERVER_LIMIT_PER_S.to_string().parse() {
                headers.insert("elmstream-server-limit", limit);
            }
        }
        _ => {}
    }
}

/// Turns an answer into a refusal that asks for back-off.
pub fn refuse_with_back_off<B>(response: &mut Response<B>) {
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert("retry-after", HeaderValue::from_static(RETRY_AFTER_S));
}

/// Whether any host had a fault or a restart at or after a time.
fn disturbed(hosts: &Hosts, since: u64) -> bool {
    hosts.borrow().iter().any(|host| host.disturbed_ms >= since)
}

/// Time before a server's first announcement in which hosts have to be undisturbed for the
/// check to count, in milliseconds.
const CALM_BEFORE_MS: u64 = 2_000;

/// A server refuses all requests for a while and asks for back-off.
pub async fn back_off(world: &Rc<World>, hosts: &Hosts, n: usize, duration: Duration) {
    let Some(server) = begin_signal(world, n, ServerMode::BackingOff) else { return };
    let (began_ms, before) = (world.now(), world.arrivals.times(&server).len());
    compio::time::sleep(duration).await;
    end_signal(world, &server);
    let got = world.arrivals.times(&server).len() - before;
    let allowed = MAX_BACK_OFF_REQUESTS_PER_HOST * hosts.borrow().len();
    let undisturbed = !disturbed(hosts, began_ms.saturating_sub(CALM_BEFORE_MS));
    if undisturbed || world.breaks("rest") {
        let got = if world.breaks("rest") { allowed + 1 } else { got };
        record_check(
            world,
            "rest judged",
            got > allowed,
            format!("{server} got {got} requests during its back-off"),
        );
    }
}

/// A server announces a limit for a while.
pub async fn name_limit(world: &Rc<World>, hosts: &Hosts, n: usize) {
    let Some(server) = begin_signal(world, n, ServerMode::Limited) else { return };
    let began_ms = world.now();
    compio::time::sleep(LIMIT_DURATION).await;
    end_signal(world, &server);
    if disturbed(hosts, began_ms.saturating_sub(CALM_BEFORE_MS)) && !world.breaks("need") {
        return;
    }
    let mut arrivals_ms = world.arrivals.times(&server);
    arrivals_ms.retain(|at| *at >= began_ms + LIMIT_GRACE_MS);
    let within = |from: &u64| {
        arrivals_ms.iter().filter(|at| (*from..from + LIMIT_WINDOW_MS).contains(at)).count()
    };
    let peak = arrivals_ms.iter().map(within).max().unwrap_or(0);
    let peak = if world.breaks("need") { MAX_REQUESTS_IN_WINDOW + 1 } else { peak };
    let text = format!(
        "{server} announced a limit and got {peak} requests, {MAX_REQUESTS_IN_WINDOW} are allowed"
    );
    record_check(world, "limit judged", peak > MAX_REQUESTS_IN_WINDOW, text);
}

/// A server leaves and announces this in its answers only; then it is removed. Another
/// server takes over.
pub async fn leave(world: &Rc<World>, hosts: &Hosts, n: usize, address: std::net::SocketAddr) {
    let Some(server) = begin_signal(world, n, ServerMode::Leaving) else { return };
    let began_ms = world.now();
    let new = format!("shop-{n}-{began_ms}");
    world.servers.borrow_mut().insert(new.clone(), ServerMode::Healthy);
    world.register_server(&new, SHOP, address, false);
    compio::time::sleep(LEAVE_GRACE).await;
    let before = world.arrivals.times(&server).len();
    compio::time::sleep(LEAVE_DURATION - LEAVE_GRACE).await;
    let late_requests = world.arrivals.times(&server).len() - before;
    let undisturbed = before > 0 && !disturbed(hosts, began_ms.saturating_sub(CALM_BEFORE_MS));
    if undisturbed || world.breaks("leave") {
        let late_requests = if world.breaks("leave") { 1 } else { late_requests };
        let text =
            format!("{server} had announced that it leaves and got {late_requests} requests more");
        record_check(world, "leaving judged", late_requests > 0, text);
    }
    world.put(RowKey::Server(server.clone()), None);
    world.servers.borrow_mut().remove(&server);
}

fn record_check(world: &World, what: &'static str, broken: bool, text: String) {
    let mut ledger = world.ledger.borrow_mut();
    ledger.count(what);
    if broken {
        ledger.add_violation(text);
    }
}

/// Sets the mode of the server of a number and returns its id; `None` if it is gone or not
/// healthy.
fn begin_signal(world: &World, n: usize, mode: ServerMode) -> Option<String> {
    let server = format!("shop-{n}");
    let mut servers = world.servers.borrow_mut();
    let current_mode =
        servers.get_mut(&server).filter(|current_mode| **current_mode == ServerMode::Healthy)?;
    *current_mode = mode;
    Some(server)
}

fn end_signal(world: &World, server: &str) {
    if let Some(current_mode) = world.servers.borrow_mut().get_mut(server) {
        *current_mode = ServerMode::Healthy;
    }
}
