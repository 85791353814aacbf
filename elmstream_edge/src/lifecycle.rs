//! Start and planned stop of a host.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use compio::net::{TcpListener, UdpSocket};
use elmstream_http::{Stop, Stopper, server};
use elmstream_steer::view::TABLES;
use elmstreamd::{clock, telemetry};
use serde_json::json;
use snafu::{ResultExt, Snafu};

use crate::{Edge, Source, callers, gate::Gate, peers, reader};

/// A host ends this long before its grace time does.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time that a caller's connection may rest before it is closed.
const REST: Duration = Duration::from_secs(20);

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
pub async fn run<S: Source>(
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
    edge.journal.write("start", json!({"host": host.name, "domain": host.domain}));
    for seed in &edge.settings.seeds {
        edge.steer.borrow_mut().suppose(clock::now(), *seed);
    }
    let source = Rc::new(source);
    spawn(peers::receive(edge.clone(), socket.clone()));
    spawn(peers::send(edge.clone(), socket.clone()));
    spawn(peers::tick(edge.clone()));
    spawn(announce(edge.clone(), source.clone()));
    for table in TABLES {
        spawn(reader::run(edge.clone(), source.clone(), table));
    }
    let (_until_the_end, never) = Stopper::new();
    let served = edge.clone();
    let gate = Gate::new(peers::SERVED);
    let peer = move |_, request| peers::serve(served.clone(), gate.clone(), request);
    spawn(async move {
        let _ = server::serve(peers_listener, None, never, peer).await;
    });
    let served = edge.clone();
    let caller = move |_, request| callers::serve(served.clone(), request);
    let options =
        server::Options { http2: false, head_timeout: REST, ..server::Options::default() };
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
    edge.steer.borrow_mut().leave();
    edge.journal.write("stop", json!({"host": host.name}));
    // The others hear of it at once, so that they name this host no more.
    for round in 0..2 {
        peers::beat(&edge, &socket, round).await;
    }
    let withdrawn = source.clone();
    let left = host.clone();
    spawn(async move {
        let _ = withdrawn.withdraw(&left).await;
    });
    let settings = edge.settings.stop;
    compio::time::sleep(Duration::from_millis(settings.notice_ms)).await;
    stopper.stop();
    let rest = Duration::from_millis(settings.grace_ms.saturating_sub(settings.notice_ms));
    let _ = compio::time::timeout(rest.saturating_sub(END_MARGIN), serving).await;
    edge.journal.write("stopped", json!({"host": host.name}));
    edge.journal.close();
    Ok(())
}

/// Learns which other hosts are written down, and writes this one down if it is not.
///
/// A host that was killed is still written down, so a restart of all of them reads
/// but does not write.
async fn announce<S: Source>(edge: Rc<Edge>, source: Rc<S>) {
    let hosts = loop {
        match source.hosts().await {
            Ok(hosts) => break hosts,
            Err(_) => start_pause(&edge).await,
        }
    };
    let host = &edge.settings.host;
    let written = hosts.contains(&host.peers);
    for address in hosts {
        edge.steer.borrow_mut().suppose(clock::now(), address);
    }
    while !written && source.announce(host).await.is_err() {
        start_pause(&edge).await;
    }
}

/// Waits before the store is asked once more.
async fn start_pause(edge: &Edge) {
    let pause = edge.steer.borrow().store_pause(clock::now());
    compio::time::sleep(Duration::from_micros(pause)).await;
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}
