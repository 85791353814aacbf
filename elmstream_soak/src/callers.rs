//! Callers of a soak.

use std::{cell::RefCell, rc::Rc, time::Duration};

use elmstream_http::{body, client};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    ledger::Seen,
    process::Process,
    world::{PINS, World},
};

/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(12);
/// Time in which a connection must come up.
const CONNECT: Duration = Duration::from_millis(300);
/// Time in which an answer must come; the routes' time is 600 ms.
const ANSWER: Duration = Duration::from_millis(1_500);
/// A host and the store count as calm after this long without a fault.
const CALM_MS: u64 = 4_000;
/// A planned stop may cut nothing that was sent this long before or after it.
const STOP_MS: u64 = 200;

/// The hosts that callers use.
pub type Hosts = Rc<RefCell<Vec<Process>>>;

/// Sends requests until the time is over.
pub async fn run(world: Rc<World>, hosts: Hosts, number: u64, until: u64) {
    let mut random = StdRng::seed_from_u64(number);
    let mut count = 0u64;
    while world.now() < until {
        count += 1;
        let kind = ["safe", "once", "pin"][random.random_range(0..3)];
        let id = format!("{kind}-{number}-{count}");
        let host = random.random_range(0..hosts.borrow().len());
        request(&world, &hosts, host, kind, &id, random.random_range(0..40)).await;
        compio::time::sleep(PAUSE).await;
    }
}

async fn request(world: &Rc<World>, hosts: &Hosts, host: usize, kind: &str, id: &str, key: u32) {
    let (address, start) = {
        let hosts = hosts.borrow();
        (hosts[host].callers(), hosts[host].start)
    };
    let sent = world.now();
    let Ok(mut sender) = client::connect(address, CONNECT).await else {
        world.ledger.borrow_mut().count("no connection");
        return;
    };
    let request = Request::builder()
        .uri(format!("/{kind}/{key}"))
        .header("host", "soak.example")
        .header("elmstream-request", id)
        .header("elmstream-affinity", key)
        .header("elmstream-deadline", "1000");
    let Ok(request) = request.body(body::empty()) else { return };
    let exchange = async {
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&bytes).into_owned()))
    };
    let answer = compio::time::timeout(ANSWER, exchange).await;
    let mut ledger = world.ledger.borrow_mut();
    match answer {
        Ok(Some((StatusCode::OK, text))) => {
            let (told, server) = text.split_once(' ').unwrap_or((&text, ""));
            if told != id {
                ledger.violate(format!("{id} got the answer of {told}"));
            }
            ledger.answered(id, Seen::Success);
            let pin = server.strip_prefix("pin-").and_then(|pin| pin.parse().ok());
            if let Some(pin) = pin {
                let calm = calm(world, hosts, host);
                let pin = if world.breaks("back") { pin + PINS - 1 } else { pin };
                ledger.served_by((host, start), pin, PINS, sent, world.now(), calm);
            }
        }
        Ok(Some((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _))) => {
            ledger.answered(id, Seen::Refused);
        }
        Ok(Some(_)) => ledger.answered(id, Seen::Unknown),
        Ok(None) | Err(_) => {
            ledger.answered(id, Seen::Unknown);
            // Only a planned stop of an otherwise undisturbed host is judged.
            let hosts = hosts.borrow();
            let stopped = hosts[host].terminated.filter(|_| hosts[host].start == start);
            if let Some(at) = stopped
                && sent < at + STOP_MS
                && hosts[host].disturbed + CALM_MS < at
            {
                ledger.violate(format!("{id} was cut by a planned stop of host {host}"));
            }
        }
    }
}

/// Whether nothing was wrong for a while.
fn calm(world: &World, hosts: &Hosts, host: usize) -> bool {
    let now = world.now();
    let own = hosts.borrow()[host].disturbed;
    now > world.disturbed.get() + CALM_MS && now > own + CALM_MS && now > CALM_MS
}
