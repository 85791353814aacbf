//! Backend servers of a soak.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use elmstream_http::{LocalBody, body, server::Aborted};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::{
    listen, needy, versions, workspaces,
    world::{SHOP, ServerMode, World},
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(8);
/// Time that a dark server holds a request.
const DARK: Duration = Duration::from_secs(5);

/// Starts a listener that stands for any number of servers; its address.
pub async fn start(world: &Rc<World>) -> io::Result<SocketAddr> {
    listen::serve(world, answer).await
}

async fn answer(
    world: Rc<World>,
    _opened: u64,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Aborted> {
    let field = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, server) = (field("elmstream-request"), field("elmstream-server"));
    let known = world.servers.borrow().get(&server).copied();
    let of_version = server.starts_with(versions::NEXT);
    if of_version || server.starts_with(SHOP) {
        world.arrivals.add(versions::ALL, world.now());
        // A server that has ended gets nothing, however its requests are answered.
        if of_version || known.is_none() {
            world.arrivals.add(&server, world.now());
        }
    }
    let Some(mode) = known else {
        return Ok(status(StatusCode::MISDIRECTED_REQUEST));
    };
    if matches!(mode, ServerMode::Resting | ServerMode::Leaving | ServerMode::Limited) {
        world.arrivals.add(&server, world.now());
    }
    if matches!(mode, ServerMode::Full | ServerMode::Resting) {
        let mut refusal = status(StatusCode::SERVICE_UNAVAILABLE);
        if mode == ServerMode::Resting {
            needy::turn_away(&mut refusal);
        }
        refusal.headers_mut().insert("elmstream-not-run", http::HeaderValue::from_static("1"));
        return Ok(refusal);
    }
    check(&world, &request, &id);
    world.ledger.borrow_mut().runs(&id);
    if world.breaks("once") && id.ends_with("7") {
        world.ledger.borrow_mut().runs(&id);
    }
    compio::time::sleep(WORK).await;
    match mode {
        ServerMode::Dark => {
            compio::time::sleep(DARK).await;
            Err(Aborted)
        }
        ServerMode::Cutting => Err(Aborted),
        ServerMode::Failing if world.arrivals.of(&server).len().is_multiple_of(2) => {
            let mut failure = status(StatusCode::INTERNAL_SERVER_ERROR);
            if let Ok(value) = id.parse() {
                failure.headers_mut().insert("elmstream-request", value);
            }
            Ok(failure)
        }
        _ => {
            let echoed = if mode == ServerMode::Mixing { "another" } else { &id };
            let told = if world.breaks("mixed") && id.ends_with("7") { "x" } else { &id };
            let mut response = Response::new(body::full(format!("{told} {server}")));
            if let Ok(value) = echoed.parse() {
                response.headers_mut().insert("elmstream-request", value);
            }
            response
                .headers_mut()
                .insert("elmstream-signature", http::HeaderValue::from_static("s"));
            needy::say(mode, &mut response);
            Ok(response)
        }
    }
}

/// Checks what a request shows of its workspace: the name alone, and never a key.
fn check(world: &World, request: &Request<Incoming>, id: &str) {
    let mut ledger = world.ledger.borrow_mut();
    let names: Vec<&[u8]> = request
        .headers()
        .get_all("elmstream-workspace")
        .iter()
        .map(|name| name.as_bytes())
        .collect();
    let wanted = request.uri().path().split('/').nth(2).unwrap_or_default();
    let named = if world.breaks("name") { "other" } else { wanted };
    if names != [named.as_bytes()] {
        ledger.violate(format!("{id} of workspace {wanted} ran under another name: {names:?}"));
    }
    if wanted == workspaces::AWAY {
        ledger.violate(format!("{id} ran outside the homes of its workspace"));
    }
    let shows = |value: &http::HeaderValue| {
        value.to_str().is_ok_and(|text| text.contains(workspaces::KEY_BEGINS))
    };
    if request.headers().values().any(shows) || world.breaks("key") {
        ledger.violate(format!("{id} was passed on with its key"));
    }
    if wanted == workspaces::LIMITED {
        let copies = if world.breaks("limit") { 20 } else { 1 };
        (0..copies).for_each(|_| ledger.limited_ran(world.now()));
    }
}

fn status(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
