//! Simulated backend servers.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use elmstream_http::{LocalBody, RequestBody, body, server::Aborted};
use http::{Request, Response, StatusCode};

use crate::{
    homes, listen, process, server_signals, versions, workspaces,
    world::{SHOP, ServerMode, World},
};

/// Time that a request runs.
const RUN_TIME: Duration = Duration::from_millis(8);
/// Time for which an unresponsive server holds a request before it closes the connection.
const UNRESPONSIVE_HOLD: Duration = Duration::from_secs(5);

/// Size of the chunks of a body without end, and the interval between two.
const ENDLESS_CHUNK_BYTES: usize = 256 << 10;
const ENDLESS_CHUNK_INTERVAL: Duration = Duration::from_millis(2);

/// Starts one listener that serves as any number of backend servers, and returns its
/// address.
pub async fn start(world: &Rc<World>) -> io::Result<SocketAddr> {
    listen::serve(world, answer).await
}

async fn answer(
    world: Rc<World>,
    _opened: u64,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let header_value = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header_value("elmstream-request");
    let (server, sender) = process::server_and_sender(request.headers());
    homes::check_arrival(&world, &id, &server, sender);
    let registered_mode = world.servers.borrow().get(&server).copied();
    let is_next_version = server.starts_with(versions::NEXT_VERSION_PREFIX);
    if is_next_version || server.starts_with(SHOP) {
        world.arrivals.record(versions::ALL_SERVERS, world.now());
        // A stopped server must get no requests, whatever it would answer.
        if is_next_version || registered_mode.is_none() {
            world.arrivals.record(&server, world.now());
        }
    }
    let Some(mode) = registered_mode else {
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
    check_headers(&world, &request, &id);
    world.ledger.borrow_mut().record_run(&id);
    if world.breaks("once") && id.ends_with("7") {
        world.ledger.borrow_mut().record_run(&id);
    }
    compio::time::sleep(RUN_TIME).await;
    match mode {
        ServerMode::Unresponsive => {
            compio::time::sleep(UNRESPONSIVE_HOLD).await;
            Err(Aborted)
        }
        ServerMode::Closing => Err(Aborted),
        ServerMode::Endless => Ok(endless_answer(&id)),
        ServerMode::FailingVersion if world.arrivals.times(&server).len().is_multiple_of(2) => {
            let mut failure = status(StatusCode::INTERNAL_SERVER_ERROR);
            if let Ok(value) = id.parse() {
                failure.headers_mut().insert("elmstream-request", value);
            }
            Ok(failure)
        }
        _ => {
            let header_id = if mode == ServerMode::MixingIds { "another" } else { &id };
            let body_id = if world.breaks("mixed") && id.ends_with("7") { "x" } else { &id };
            let mut response = Response::new(body::full(format!("{body_id} {server}")));
            if let Ok(value) = header_id.parse() {
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

/// An answer with a body that never ends, at a rate that leaves the machine some time.
fn endless_answer(id: &str) -> Response<LocalBody> {
    let chunk = Bytes::from(vec![b'x'; ENDLESS_CHUNK_BYTES]);
    let chunks = futures_util::stream::unfold(chunk, |chunk| async move {
        compio::time::sleep(ENDLESS_CHUNK_INTERVAL).await;
        Some((Ok(chunk.clone()), chunk))
    });
    let mut response = Response::new(body::stream(Box::pin(chunks)));
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("elmstream-request", value);
    }
    response.headers_mut().insert("elmstream-signature", http::HeaderValue::from_static("s"));
    response
}

/// Checks a request's headers: they must carry the right workspace name, and no key.
fn check_headers(world: &World, request: &Request<RequestBody>, id: &str) {
    let mut ledger = world.ledger.borrow_mut();
    let names: Vec<&[u8]> = request
        .headers()
        .get_all("elmstream-workspace")
        .iter()
        .map(|name| name.as_bytes())
        .collect();
    let workspace = request.uri().path().split('/').nth(2).unwrap_or_default();
    let expected = match workspace {
        homes::NO_WORKSPACE => Vec::new(),
        _ if world.breaks("name") => vec!["other".as_bytes()],
        _ => vec![workspace.as_bytes()],
    };
    if names != expected {
        ledger.add_violation(format!(
            "{id} of workspace {workspace} ran under another name: {names:?}"
        ));
    }
    if workspace == workspaces::UNSERVED_WORKSPACE {
        ledger.add_violation(format!("{id} ran outside the homes of its workspace"));
    }
    let contains_key = |value: &http::HeaderValue| {
        value.to_str().is_ok_and(|text| text.contains(workspaces::KEY_PREFIX))
    };
    if request.headers().values().any(contains_key) || world.breaks("key") {
        ledger.add_violation(format!("{id} was forwarded with its key"));
    }
    if workspace == workspaces::LIMITED_WORKSPACE {
        let run_count = if world.breaks("limit") { 20 } else { 1 };
        (0..run_count).for_each(|_| ledger.record_limited_run(world.now()));
    }
}

fn status(status: StatusCode) -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
