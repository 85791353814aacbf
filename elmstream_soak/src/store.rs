//! The simulated store, with faults.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use elmstream_http::{LocalBody, RequestBody, body, server::Aborted};
use elmstream_steer::{
    RolloutWrite, digest::RequestDigest, poison::ServerCrash, version::StoreVersion, view::RowKey,
};
use http::{Request, Response, StatusCode};
use serde::Serialize;

use crate::{
    listen,
    store_client::Page,
    world::{StoreMode, World},
};

/// Delay of a slow store's answers.
const SLOW_DELAY: Duration = Duration::from_millis(300);
/// Time for which a silent store holds a request before it closes the connection.
const SILENT_HOLD: Duration = Duration::from_secs(5);
/// Time between two checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the store and returns its address.
pub async fn start(world: &Rc<World>) -> io::Result<SocketAddr> {
    listen::serve(world, answer).await
}

async fn answer(
    world: Rc<World>,
    opened_ms: u64,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    let from = request.headers().get("from").and_then(|from| from.to_str().ok());
    let host_refused = from.is_some() && world.refused_host.borrow().as_deref() == from;
    match world.store_mode() {
        StoreMode::Closing => return Err(Aborted),
        StoreMode::Refusing => return Ok(refuse()),
        _ if host_refused => return Ok(refuse()),
        StoreMode::Slow => compio::time::sleep(SLOW_DELAY).await,
        StoreMode::Silent | StoreMode::Healthy => {}
    }
    if !is_muted(&world, opened_ms) {
        let era = world.era.get();
        let response = respond(&world, &request).await;
        if world.store_mode() == StoreMode::Closing || world.era.get() != era {
            return Err(Aborted);
        }
        // A request that came before a silence is not answered during it either.
        if !is_muted(&world, opened_ms) {
            return Ok(response);
        }
    }
    compio::time::sleep(SILENT_HOLD).await;
    Err(Aborted)
}

/// Whether a connection opened at a time gets no answers.
fn is_muted(world: &World, opened_ms: u64) -> bool {
    world.store_mode() == StoreMode::Silent
        || world.muted_until_ms.get().is_some_and(|since| opened_ms <= since)
}

async fn respond(world: &World, request: &Request<RequestBody>) -> Response<LocalBody> {
    let query = request.uri().query().unwrap_or_default();
    let text = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    };
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let host: Option<SocketAddr> = text("host").parse().ok();
    match request.uri().path() {
        "/rows" => encoded(&rows(world, number("table"), None)),
        "/changes" => {
            let mut polls_left = number("wait") / POLL_INTERVAL.as_millis() as u64;
            let era = world.era.get();
            while polls_left > 0
                && world.era.get() == era
                && rows(world, number("table"), Some(number("after"))).rows.is_empty()
            {
                compio::time::sleep(POLL_INTERVAL).await;
                polls_left -= 1;
            }
            // A version that this era has not reached is refused.
            let after = number("after");
            let known = after <= world.version.get();
            encoded(&known.then(|| rows(world, number("table"), Some(after))))
        }
        "/announce" => {
            let listed = host.map(|host| (text("name").to_owned(), host));
            world.registered_hosts.borrow_mut().extend(listed);
            encoded(&())
        }
        "/withdraw" => {
            world.registered_hosts.borrow_mut().remove(text("name"));
            encoded(&())
        }
        "/harmful" => {
            encoded(&world.refused_requests.borrow().clone().into_iter().collect::<Vec<_>>())
        }
        "/list" => {
            update_refused(world, text("content"), text("endings"));
            encoded(&())
        }
        "/progress" => encoded(&progress(world, text("write"))),
        _ => encoded(&*world.registered_hosts.borrow()),
    }
}

/// Writes a roll-out's progress if neither it nor its order has changed since the expected
/// versions. Returns the new version of the store; `None` if the write is malformed or was
/// refused.
fn progress(world: &World, hex: &str) -> Option<StoreVersion> {
    let write: RolloutWrite = postcard::from_bytes(&bytes(hex)?).ok()?;
    let progress = RowKey::Progress(write.service.clone());
    let order = RowKey::Rollout(write.service.clone());
    if (world.row_count(&progress), world.row_count(&order)) != write.expected {
        return None;
    }
    world.record_progress(&write);
    Some(world.store_version())
}

/// Decodes hexadecimal digits; `None` if they are malformed.
fn bytes(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).ok());
    digits.map(|pair| u8::from_str_radix(pair?, 16).ok()).collect()
}

/// Adds a request to the list of refused ones, or removes it if `crashes` is empty.
/// Malformed arguments are ignored.
fn update_refused(world: &World, digest_hex: &str, crashes: &str) {
    let bytes = bytes(crashes);
    let crashes: Option<Vec<ServerCrash>> =
        bytes.and_then(|bytes| postcard::from_bytes(&bytes).ok());
    let Some((digest, crashes)) = RequestDigest::from_hex(digest_hex).zip(crashes) else { return };
    match crashes.is_empty() {
        true => drop(world.refused_requests.borrow_mut().remove(&digest)),
        false => drop(world.refused_requests.borrow_mut().insert(digest, crashes)),
    }
}

fn rows(world: &World, table: u64, after: Option<u64>) -> Page {
    let all = world.rows.borrow();
    let selected = all.values().filter(|row| {
        let changed = after.map_or(row.content.is_some(), |after| row.version.count > after);
        row.key.table() as u64 == table && changed
    });
    Page { version: world.store_version(), rows: selected.cloned().collect() }
}

fn encoded<T: Serialize>(value: &T) -> Response<LocalBody> {
    Response::new(body::full(postcard::to_allocvec(value).unwrap_or_default()))
}

fn refuse() -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
