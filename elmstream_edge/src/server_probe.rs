//! Asks backend servers how fast they work, before the server of a request is picked.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    time::Duration,
};

use elmstream_http::{LocalBody, body};
use elmstream_steer::{PickRequest, server_speed::SpeedSource, servers::ServerIndex};
use elmstreamd::{clock, waits};
use futures_util::future::join_all;
use http::{HeaderValue, Request, Uri, header, response};

use crate::{backend::Exchange, callers::CallerRequest, edge::Edge, headers, server_hints};

/// Servers that are being asked; each is asked once at a time.
#[derive(Debug, Default)]
pub struct ProbesInFlight(RefCell<HashSet<ServerIndex>>);

/// A server to ask.
struct Probe<'a> {
    edge: &'a Edge,
    index: ServerIndex,
    id: String,
    address: SocketAddr,
    /// Whether the end of the probe was counted.
    ended: Cell<bool>,
}

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        self.edge.probes.0.borrow_mut().remove(&self.index);
    }
}

/// Asks the servers among which the request would be divided, and takes in what they answer within
/// the time allowed. A server that gives no answer is judged by what was known before.
pub async fn run(edge: &Edge, request: &CallerRequest, pick_request: &PickRequest<'_>) {
    let targets = edge.steer.borrow_mut().probe_targets(clock::now(), pick_request);
    let probes: Vec<Probe<'_>> =
        targets.into_iter().filter_map(|index| begin(edge, index)).collect();
    if probes.is_empty() {
        return;
    }
    let Some(path) = health_path(edge, &request.service) else { return };
    let host = request.headers.get(header::HOST);
    let timeout_ms = edge.steer.borrow().settings().policies.speed.probe_timeout_ms;
    let asking = join_all(probes.iter().map(|probe| ask(probe, &path, host)));
    waits::within_duration(Duration::from_millis(timeout_ms), asking).await;
    for _ in probes.iter().filter(|probe| !probe.ended.get()) {
        count_end("late");
    }
}

/// Marks a server as being asked; `None` if it is already or is gone.
fn begin(edge: &Edge, index: ServerIndex) -> Option<Probe<'_>> {
    let (id, address) = {
        let steer = edge.steer.borrow();
        let entry = steer.servers().get(index)?;
        (entry.id.clone(), entry.server.address)
    };
    let is_free = edge.probes.0.borrow_mut().insert(index);
    is_free.then(|| Probe { edge, index, id, address, ended: Cell::new(false) })
}

fn health_path(edge: &Edge, service: &str) -> Option<Uri> {
    edge.steer.borrow().health_path(service)?.parse().ok()
}

/// Asks one server and takes in its answer.
async fn ask(probe: &Probe<'_>, path: &Uri, host: Option<&HeaderValue>) {
    let Probe { edge, index, id, address, ended } = probe;
    let exchange = edge.pool.ask(id, *address, || Some(health_request(path, host))).await;
    let end = match exchange {
        Exchange::Whole(parts, _) => take_in(edge, *index, id, &parts),
        _ => "failed",
    };
    ended.set(true);
    count_end(end);
}

fn health_request(path: &Uri, host: Option<&HeaderValue>) -> Request<LocalBody> {
    let mut request = Request::new(body::empty());
    *request.uri_mut() = path.clone();
    if let Some(host) = host {
        request.headers_mut().insert(header::HOST, host.clone());
    }
    request
}

/// Takes in the answer to a probe; returns how the probe ended.
fn take_in(edge: &Edge, index: ServerIndex, id: &str, parts: &response::Parts) -> &'static str {
    let names = &edge.settings.headers;
    match headers::text(&parts.headers, &names.server_id) {
        Some(other) if other != id => return "other_server",
        None => return "failed",
        Some(_) => {}
    }
    let Some(load) = server_hints::read_load(names, parts) else { return "failed" };
    server_hints::apply_load(edge, index, load, SpeedSource::Probe);
    "answered"
}

fn count_end(end: &'static str) {
    metrics::counter!("elmstream_probes", "end" => end).increment(1);
}
