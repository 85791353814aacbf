//! Start of a host, up to its end.

use std::{io, net::SocketAddr, rc::Rc};

use compio::net::{TcpListener, UdpSocket};
use elmstream_http::{Stop, StopNotice, Stopper, server};
use elmstream_steer::view::TABLES;
use elmstreamd::{clock, telemetry};
use serde_json::json;
use snafu::{ResultExt, Snafu};

use crate::{
    Edge, StoreSource, callers,
    concurrency_limit::ConcurrencyLimit,
    connections::{OpenConnections, caller_options},
    host_registry, peers, poison, rollout, shutdown, store_reader,
};

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("E3003 {key} {address}: {source}"))]
    Listen {
        /// Which setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Opens a listener of an adapter or of the host.
pub async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { key, address })
}

/// Starts everything that serves; returns when the host has stopped.
///
/// `terminated` resolves when the host is to stop. `stopper` ends the listeners of
/// the caller of this function as well, which wait for `stop`.
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
    meet(&edge);
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
    let gate = ConcurrencyLimit::new(peers::MAX_CONCURRENT_ROWS);
    let peer = move |_, request| peers::serve(served.clone(), gate.clone(), request);
    spawn(async move {
        let _ = server::serve(peers_listener, None, never, peer).await;
    });
    let served = edge.clone();
    let (ends, ending) = Stopper::new();
    let caller = move |from: SocketAddr, request| {
        callers::serve(served.clone(), ending.clone(), from.ip(), request)
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
    // All that follows is held against this moment: what is late adds nothing.
    let asked = clock::now();
    notice.announce();
    shutdown::tell(&edge, &socket).await;
    shutdown::end(&edge, asked, stopper, ends, async { drop(serving.await) }).await;
    edge.event_log.write("stop_connections", open.told());
    edge.event_log.write("stopped", json!({"host": host.name}));
    edge.event_log.close();
    Ok(())
}

/// Begins with the seeds, of which this host may be one.
fn meet(edge: &Edge) {
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
