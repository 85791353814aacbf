//! Start, operation and orderly stop of an entry host.
//!
//! The program that embeds the host is an adapter: it supplies the store and may have listeners of
//! its own.

use std::{io, net::SocketAddr, rc::Rc};

use compio::net::{TcpListener, UdpSocket};
use elmstream::time::MILLI;
use elmstream_http::{
    LocalBody, RequestBody, Stop, StopNotice, Stopper,
    server::{self, Aborted},
};
use elmstream_steer::view::TABLES;
use elmstreamd::{clock, telemetry};
use http::{Request, Response};
use serde_json::json;
use snafu::{ResultExt, Snafu};

use crate::{
    Edge, StoreSource, callers,
    concurrency_limit::ConcurrencyLimit,
    connections::{OpenConnections, caller_options},
    host_registry, peers,
    planned_stop::PlannedStop,
    poison, relay, rollout, shutdown, store_reader,
};

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address of a listener or of the socket for other hosts cannot be bound.
    #[snafu(display("E3003 {key} {address}: {source}"))]
    Listen {
        /// Name of the setting that contains the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}

/// Binds a TCP listener, for this crate or for an adapter's own endpoints.
///
/// `key` is the name of the setting that contains the address; it is part of the error.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { key, address })
}

/// Starts all tasks of the host, waits until it is to stop, and stops it.
///
/// `source` gives access to the store. The host begins to stop when `terminated` resolves: it
/// announces this to the other hosts, accepts connections of callers until the notice time is over,
/// and then waits for the requests in flight. Those still in flight just before the end get a final
/// response from the host itself. `stopper` and `stop` must be one pair; `stopper` is triggered
/// when the notice time is over, and `stop` then closes the listener for callers. An adapter may
/// give clones of `stop` to listeners of its own that are to close at that moment.
///
/// # Errors
///
/// The address of a listener or of the socket for other hosts cannot be bound.
pub async fn run<S: StoreSource>(
    edge: Rc<Edge>,
    source: S,
    stopper: Stopper,
    stop: Stop,
    terminated: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let host = edge.settings.host.clone();
    let socket = UdpSocket::bind(host.peers).await;
    let socket = Rc::new(socket.context(ListenSnafu { key: "host.peers", address: host.peers })?);
    let peers_listener = listen("host.peers", host.peers).await?;
    let callers_listener = listen("host.callers", host.callers).await?;
    edge.event_log.write("start", json!({"host": host.name, "domain": host.domain}));
    add_seeds(&edge);
    let source = Rc::new(source);
    spawn(peers::receive(edge.clone(), socket.clone()));
    spawn(peers::send(edge.clone(), socket.clone()));
    spawn(peers::tick(edge.clone(), socket.clone()));
    spawn(host_registry::run(edge.clone(), source.clone()));
    spawn(poison::run(edge.clone(), source.clone()));
    spawn(rollout::run(edge.clone(), source.clone()));
    for table in TABLES {
        spawn(store_reader::run(edge.clone(), source.clone(), table));
    }
    let (_until_the_end, never) = Stopper::new();
    let served = edge.clone();
    let row_limit = ConcurrencyLimit::new(peers::MAX_CONCURRENT_ROWS);
    let (abort_requests, aborting) = Stopper::new();
    let abort_relayed = aborting.clone();
    let peer = move |_, request| {
        serve_peer(served.clone(), row_limit.clone(), abort_relayed.clone(), request)
    };
    spawn(async move {
        let _ = server::serve(peers_listener, None, never, peer).await;
    });
    spawn(relay::check_paths(edge.clone()));
    let served = edge.clone();
    let caller = move |from: SocketAddr, request| {
        callers::serve(served.clone(), aborting.clone(), from.ip(), request)
    };
    let notice = StopNotice::default();
    let open = Rc::new(OpenConnections::default());
    let options = caller_options(&edge, &notice, &open);
    let serving = server::serve_with(callers_listener, options, stop, caller);
    let serving = compio::runtime::spawn(serving);

    if let Some(address) = edge.settings.metrics {
        let listener = listen("metrics", address).await?;
        spawn(async move {
            let page = move |_, _| async { Ok(telemetry::page()) };
            let (_until_the_end, never) = Stopper::new();
            let _ = server::serve(listener, None, never, page).await;
        });
    }

    terminated.await;
    // The deadlines of the stop count from this moment, so that delays do not add up.
    let stop_requested_at = clock::now();
    let stop_settings = &edge.settings.stop;
    let planned = PlannedStop::new(stop_requested_at, stop_settings);
    let notice_ends_at = stop_requested_at + stop_settings.notice_ms * MILLI;
    edge.stop.set(Some(planned));
    notice.announce();
    shutdown::announce(&edge, &socket).await;
    shutdown::drain(&edge, (notice_ends_at, planned), stopper, abort_requests, async {
        drop(serving.await);
        relay::until_idle(&edge).await;
    })
    .await;
    edge.event_log.write("stop_connections", open.log_fields());
    edge.event_log.write("stopped", json!({"host": host.name}));
    edge.event_log.close();
    Ok(())
}

/// Serves a request of another host: one that it relays, or one for table rows.
async fn serve_peer(
    edge: Rc<Edge>,
    row_limit: ConcurrencyLimit,
    aborting: Stop,
    request: Request<RequestBody>,
) -> Result<Response<LocalBody>, Aborted> {
    match relay::is_relayed(&request) {
        true => relay::serve(edge, aborting, request).await,
        false => peers::serve(edge, row_limit, request).await,
    }
}

/// Adds the configured seed hosts as peers; this host may be one of them.
fn add_seeds(edge: &Edge) {
    let mut steer = edge.steer.borrow_mut();
    steer.request_host_list();
    for seed in &edge.settings.seeds {
        if *seed == edge.settings.host.peers {
            steer.mark_as_seed();
        }
        steer.add_peer_address(clock::now(), *seed);
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}
