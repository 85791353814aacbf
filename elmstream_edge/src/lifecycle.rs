//! Start and planned stop of a host.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::{TcpListener, UdpSocket};
use elmstream_http::{Notice, Stop, Stopper, server};
use elmstream_steer::view::TABLES;
use elmstreamd::{clock, telemetry};
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};

use crate::{Edge, Source, callers, gate::Gate, peers, reader};

/// A host ends this long before its grace time does.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the host in which requests still in flight get an answer of
/// its own; a host with a tenth of a core is some 200 ms behind.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// Time that a caller's connection may rest at least before it is closed.
const REST: Duration = Duration::from_secs(20);
/// A connection rests this much longer than the configuration's limit, so that no
/// request of a caller who keeps to the limit crosses the close.
const REST_MARGIN: Duration = Duration::from_secs(5);

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
    let (ends, ending) = Stopper::new();
    let caller = move |_, request| callers::serve(served.clone(), ending.clone(), request);
    let notice = Notice::default();
    let open = Rc::new(Open::default());
    let options = caller_options(&edge, &notice, &open);
    let serving = server::serve_with(callers_listener, options, stop, caller);
    let mut serving = pin!(compio::runtime::spawn(serving));

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
    let asked = Instant::now();
    notice.give();
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
    let end = asked + Duration::from_millis(settings.grace_ms).saturating_sub(END_MARGIN);
    compio::time::sleep_until(asked + Duration::from_millis(settings.notice_ms)).await;
    stopper.stop();
    let last_answers = end.checked_sub(LAST_ANSWERS).unwrap_or(asked);
    let whole = compio::time::timeout_at(last_answers, serving.as_mut()).await.is_ok();
    ends.stop();
    let closed = whole || compio::time::timeout_at(end, serving).await.is_ok();
    edge.journal.write("stop_connections", open.told(closed));
    edge.journal.write("stopped", json!({"host": host.name}));
    edge.journal.close();
    Ok(())
}

/// Callers' connections as the stop found them.
#[derive(Debug, Default)]
struct Open {
    states: RefCell<BTreeMap<&'static str, u32>>,
    queued: Cell<u32>,
}

impl Open {
    fn add(&self, stopped: server::Stopped) {
        let state = stopped.state.name();
        metrics::counter!("elmstream_stop_connections", "state" => state).increment(1);
        *self.states.borrow_mut().entry(state).or_default() += 1;
        self.queued.set(self.queued.get() + u32::from(stopped.queued));
    }

    /// Fields of their line; `closed` says whether all have ended by themselves.
    fn told(&self, closed: bool) -> Value {
        json!({"states": *self.states.borrow(), "queued": self.queued.get(), "closed": closed})
    }
}

/// Time for which a caller's connection may rest, by the configuration's limit.
pub fn rest(limit: Duration) -> Duration {
    REST.max(limit.saturating_add(REST_MARGIN))
}

/// How callers are served.
fn caller_options(edge: &Rc<Edge>, notice: &Notice, open: &Rc<Open>) -> server::Options {
    let (edge, open) = (edge.clone(), open.clone());
    let rest = move || rest(Duration::from_millis(edge.steer.borrow().limits().idle_timeout_ms));
    server::Options {
        tls: None,
        http2: false,
        head_timeout: Rc::new(rest),
        notice: notice.clone(),
        observe: Rc::new(move |stopped| open.add(stopped)),
    }
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
