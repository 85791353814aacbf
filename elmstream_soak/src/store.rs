//! The store of a soak, with faults.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use elmstream_http::{LocalBody, body, server::Aborted};
use elmstream_steer::{
    RolloutWrite, digest::RequestDigest, poison::ServerCrash, version::StoreVersion, view::RowKey,
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::{
    listen,
    store_client::Page,
    world::{StoreMode, World},
};

/// Time that a slow store takes.
const SLOW: Duration = Duration::from_millis(300);
/// Time that a silent store keeps a call.
const SILENT: Duration = Duration::from_secs(5);
/// Time between two looks for changes.
const LOOK: Duration = Duration::from_millis(10);

/// Starts the store; its address.
pub async fn start(world: &Rc<World>) -> io::Result<SocketAddr> {
    listen::serve(world, answer).await
}

async fn answer(
    world: Rc<World>,
    opened: u64,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, Aborted> {
    let from = request.headers().get("from").and_then(|from| from.to_str().ok());
    let turned_away = from.is_some() && world.refused_host.borrow().as_deref() == from;
    match world.store_mode() {
        StoreMode::Closing => return Err(Aborted),
        StoreMode::Refusing => return Ok(refuse()),
        _ if turned_away => return Ok(refuse()),
        StoreMode::Slow => compio::time::sleep(SLOW).await,
        StoreMode::Silent | StoreMode::Healthy => {}
    }
    if !mute(&world, opened) {
        let era = world.era.get();
        let response = respond(&world, &request).await;
        if world.store_mode() == StoreMode::Closing || world.era.get() != era {
            return Err(Aborted);
        }
        // What was asked before a silence is not answered in it either.
        if !mute(&world, opened) {
            return Ok(response);
        }
    }
    compio::time::sleep(SILENT).await;
    Err(Aborted)
}

/// Whether nothing comes back on a connection that was opened at a time.
fn mute(world: &World, opened: u64) -> bool {
    world.store_mode() == StoreMode::Silent
        || world.muted_until_ms.get().is_some_and(|since| opened <= since)
}

async fn respond(world: &World, request: &Request<Incoming>) -> Response<LocalBody> {
    let query = request.uri().query().unwrap_or_default();
    let text = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    };
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let host: Option<SocketAddr> = text("host").parse().ok();
    match request.uri().path() {
        "/rows" => packed(&rows(world, number("table"), None)),
        "/changes" => {
            let mut waits = number("wait") / LOOK.as_millis() as u64;
            let era = world.era.get();
            while waits > 0
                && world.era.get() == era
                && rows(world, number("table"), Some(number("after"))).rows.is_empty()
            {
                compio::time::sleep(LOOK).await;
                waits -= 1;
            }
            // A version that was not given out in this history is refused.
            let after = number("after");
            let there = after <= world.version.get();
            packed(&there.then(|| rows(world, number("table"), Some(after))))
        }
        "/announce" => {
            let listed = host.map(|host| (text("name").to_owned(), host));
            world.registered_hosts.borrow_mut().extend(listed);
            packed(&())
        }
        "/withdraw" => {
            world.registered_hosts.borrow_mut().remove(text("name"));
            packed(&())
        }
        "/harmful" => {
            packed(&world.refused_requests.borrow().clone().into_iter().collect::<Vec<_>>())
        }
        "/list" => {
            list(world, text("content"), text("endings"));
            packed(&())
        }
        "/progress" => packed(&progress(world, text("write"))),
        _ => packed(&*world.registered_hosts.borrow()),
    }
}

/// Writes how far a roll-out has come, if nothing has changed since; the version of it.
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

/// Bytes that are written as hexadecimal digits.
fn bytes(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).ok());
    digits.map(|pair| u8::from_str_radix(pair?, 16).ok()).collect()
}

/// Lists a refused request, or takes it off if no endings come with it.
fn list(world: &World, content: &str, endings: &str) {
    let bytes = bytes(endings);
    let endings: Option<Vec<ServerCrash>> =
        bytes.and_then(|bytes| postcard::from_bytes(&bytes).ok());
    let Some((digest, endings)) = RequestDigest::from_hex(content).zip(endings) else { return };
    match endings.is_empty() {
        true => drop(world.refused_requests.borrow_mut().remove(&digest)),
        false => drop(world.refused_requests.borrow_mut().insert(digest, endings)),
    }
}

fn rows(world: &World, table: u64, after: Option<u64>) -> Page {
    let all = world.rows.borrow();
    let wanted = all.values().filter(|row| {
        let new = after.map_or(row.content.is_some(), |after| row.version.count > after);
        row.key.table() as u64 == table && new
    });
    Page { version: world.store_version(), rows: wanted.cloned().collect() }
}

fn packed<T: Serialize>(value: &T) -> Response<LocalBody> {
    Response::new(body::full(postcard::to_allocvec(value).unwrap_or_default()))
}

fn refuse() -> Response<LocalBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
