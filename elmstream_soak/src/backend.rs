//! Backend servers of a soak.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use elmstream_http::{LocalBody, body, server::Aborted};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::{
    listen, server_signals, versions, workspaces,
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
    let of_version = server.starts_with(versions::NEXT_VERSION_PREFIX);
    if of_version || server.starts_with(SHOP) {
        world.arrivals.record(versions::ALL_SERVERS, world.now());
        // A server that has ended gets nothing, however its requests are answered.
        if of_version || known.is_none() {
            world.arrivals.record(&server, world.now());
        }
    }
    let Some(mode) = known else {
        return Ok(status(StatusCode::MISDIRECTED_REQUEST));
    };
    if matches!(mode, ServerMode::BackingOff | ServerMode::Leaving | ServerMode::Limited) {
        world.arrivals.record(&server, world.now());
    }
    if matches!(mode, ServerMode::Full | ServerMode::BackingOff) {
        let mut refusal = status(StatusCode::SERVICE_UNAVAILABLE);
        if mode == ServerMode::BackingOff {
            server_signals::refuse_with_back_off(&mut refusal);
        }
        refusal.headers_mut().insert("elmstream-not-run", http::HeaderValue::from_static("1"));
        return Ok(refusal);
    }
    check(&world, &request, &id);
    world.ledger.borrow_mut().record_run(&id);
    if world.breaks("once") && id.ends_with("7") {
        world.ledger.borrow_mut().record_run(&id);
    }
    compio::time::sleep(WORK).await;
    match mode {
        ServerMode::Unresponsive => {
            compio::time::sleep(DARK).await;
            Err(Aborted)
        }
        ServerMode::Closing => Err(Aborted),
        ServerMode::FailingVersion if world.arrivals.times(&server).len().is_multiple_of(2) => {
            let mut failure = status(StatusCode::INTERNAL_SERVER_ERROR);
            if let Ok(value) = id.parse() {
                failure.headers_mut().insert("elmstream-request", value);
            }
            Ok(failure)
        }
        _ => {
            let echoed = if mode == ServerMode::MixingIds { "another" } else { &id };
            let told = if world.breaks("mixed") && id.ends_with("7") { "x" } else { &id };
            let mut response = Response::new(body::full(format!("{told} {server}")));
            if let Ok(value) = echoed.parse() {
                response.headers_mut().insert("elmstream-request", value);
            }
            response
                .headers_mut()
                .insert("elmstream-signature", http::HeaderValue::from_static("s"));
            server_signals::add_signal(mode, &mut response);
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
        ledger
            .add_violation(format!("{id} of workspace {wanted} ran under another name: {names:?}"));
    }
    if wanted == workspaces::UNSERVED_WORKSPACE {
        ledger.add_violation(format!("{id} ran outside the homes of its workspace"));
    }
    let shows = |value: &http::HeaderValue| {
        value.to_str().is_ok_and(|text| text.contains(workspaces::KEY_PREFIX))
    };
    if request.headers().values().any(shows) || world.breaks("key") {
        ledger.add_violation(format!("{id} was passed on with its key"));
    }
    if wanted == workspaces::LIMITED_WORKSPACE {
        let copies = if world.breaks("limit") { 20 } else { 1 };
        (0..copies).for_each(|_| ledger.record_limited_run(world.now()));
    }
}

fn status(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
