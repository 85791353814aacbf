//! The daemon of one entry host: its state, start and planned stop.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fs, io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use compio::{net::TcpListener, tls::TlsAcceptor};
use elmstream::{
    admission::Slot,
    code::Code,
    id::{HostRef, Incarnation, Name},
    node::{Node, NodeSettings},
    serve::Refusal,
    time::SECOND,
};
use elmstream_config::Settings;
use elmstream_http::{Stop, Stopper, server};
use elmstream_proto::{
    identity::{self, Identity},
    operators::operators_server::OperatorsServer,
};
use futures_channel::oneshot;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use snafu::{ResultExt, Snafu};

use crate::{
    callers, clock,
    configuration::{self, Current},
    history::History,
    operators::OperatorService,
    peer_server,
    peers::Peers,
    platform::{HostList, HttpPlatform, ObjectStore, PlatformError, TableService},
    pool::Pool,
    telemetry, ticker,
    tickets::TicketKey,
};

/// Time that a stopping host waits at most for its work to end.
const STOP_MAX: Duration = Duration::from_secs(3_600);
/// Pause between two looks at whether the host may exit.
const STOP_PAUSE: Duration = Duration::from_millis(50);
/// Time that a stopping host waits for others to take over what it owns.
const HAND_OVER_MAX: Duration = Duration::from_secs(10);
/// Time in which the last heartbeats of a stopping host arrive.
const STOP_LINGER: Duration = Duration::from_millis(300);
/// Pollers of the head row in each region.
const POLLERS: usize = 2;
/// Priorities that a service may have.
const PRIORITIES: u32 = 10;

/// Why the daemon cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The cluster's key cannot be read.
    #[snafu(display("E3004 cluster.key: {source}"))]
    KeyFile {
        /// The cause.
        source: io::Error,
    },
    /// The cluster's key or a certificate cannot be used.
    #[snafu(display("E3004 cluster.key or callers.certificate: {source}"))]
    Key {
        /// The cause.
        source: identity::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("E3003 listen.{key}: {source}"))]
    Listen {
        /// Which address.
        key: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The platform's client cannot be made.
    #[snafu(display("E3003 platform: {source}"))]
    Client {
        /// The cause.
        source: PlatformError,
    },
    /// The runtime cannot be started.
    #[snafu(display("the runtime cannot be started: {source}"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
    /// The configuration does not know the failure domain.
    #[snafu(display("E3005 failure_domain: the configuration knows no failure domain {name:?}"))]
    Domain {
        /// The failure domain.
        name: String,
    },
}

/// All state of a running daemon. It lives on one thread.
pub struct Daemon {
    /// The settings.
    pub settings: Settings,
    /// The decisions.
    pub node: RefCell<Node>,
    /// The platform's table service.
    pub table: Box<dyn TableService>,
    /// The platform's object store.
    pub objects: Box<dyn ObjectStore>,
    /// The platform's host list.
    pub hosts: Box<dyn HostList>,
    /// The other entry hosts.
    pub peers: Peers,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Requests that wait for a slot.
    pub wakers: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Recent requests.
    pub history: RefCell<History>,
    /// The configuration in force.
    pub current: RefCell<Current>,
    /// Signs tickets.
    pub ticket_key: TicketKey,
    requests: Cell<u64>,
    in_flight: Rc<Cell<u32>>,
    wants: Cell<bool>,
    want: RefCell<Option<oneshot::Sender<()>>>,
    bad_domain: Cell<bool>,
}

/// Counts a request as in flight until it is dropped.
pub struct Counted(Rc<Cell<u32>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Daemon {
    /// Counts a request in, or refuses it by its host's limit.
    pub fn count_request(&self) -> Result<Counted, Refusal> {
        if self.in_flight.get() >= self.settings.callers.in_flight_max {
            return Err(Refusal { code: Code::NoCapacity, retry_after: SECOND });
        }
        self.in_flight.set(self.in_flight.get() + 1);
        Ok(Counted(self.in_flight.clone()))
    }

    /// Whether a service of this priority still gets in: the last tenth of the
    /// host's limit is for priority 0 only, the last two for 0 and 1, and so on.
    pub fn admits_priority(&self, priority: u8) -> bool {
        let max = self.settings.callers.in_flight_max;
        let share = PRIORITIES.saturating_sub(u32::from(priority)).max(1);
        self.in_flight.get() <= max * share / PRIORITIES
    }

    /// A name for the next request.
    pub fn next_request(&self) -> u64 {
        self.requests.set(self.requests.get().wrapping_add(1));
        self.requests.get()
    }

    /// Where a backend server takes requests.
    pub fn backend_address(&self, slot: &Slot) -> Option<SocketAddr> {
        let node = self.node.borrow();
        let catalog = node.catalog();
        catalog.backend(&slot.backend).map(|id| catalog.backends[id.index()].address)
    }

    /// Where an entry host takes other hosts' connections.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.node.borrow().members().get(name).map(|m| m.peers)
    }

    /// Wakes requests that were given a slot.
    pub fn wake(&self, numbers: &[u64]) {
        let mut wakers = self.wakers.borrow_mut();
        for number in numbers {
            if let Some(waker) = wakers.remove(number) {
                let _ = waker.send(());
            }
        }
    }

    /// Live hosts besides this one.
    pub fn live_peers(&self) -> Vec<Name> {
        let now = clock::now();
        let node = self.node.borrow();
        let live = node.members().iter().filter(|m| m.is_live(now) && m.name != node.me().host);
        live.map(|m| m.name.clone()).collect()
    }

    /// The highest revision that any host has shown.
    pub fn highest_seen(&self) -> u64 {
        self.node.borrow().members().iter().map(|m| m.revision).max().unwrap_or(0)
    }

    /// Known hosts, those with the highest revision first, a few.
    pub fn newest_peers(&self) -> Vec<Name> {
        let node = self.node.borrow();
        let me = &node.me().host;
        let mut peers: Vec<_> = node.members().iter().filter(|m| m.name != *me).collect();
        peers.sort_by_key(|m| std::cmp::Reverse(m.revision));
        peers.iter().take(PEERS_ASKED).map(|m| m.name.clone()).collect()
    }

    /// Whether this host polls the head row for its region.
    pub fn is_poller(&self) -> bool {
        let now = clock::now();
        let node = self.node.borrow();
        let catalog = node.catalog();
        let region = node.region();
        let same = |domain: &str| catalog.region_of_domain(domain) == region;
        let live = node.members().iter().filter(|m| m.is_live(now) && same(&m.domain));
        region.is_none() || live.take(POLLERS).any(|m| m.name == node.me().host)
    }

    /// Asks the follower of the configuration to look at once.
    pub fn want_revision(&self) {
        self.wants.set(true);
        if let Some(want) = self.want.borrow_mut().take() {
            let _ = want.send(());
        }
    }

    /// Whether a look was asked for; asking is forgotten.
    pub fn wants_revision(&self) -> bool {
        self.wants.replace(false)
    }

    /// Waits until a look is asked for, at most so long.
    pub async fn wait_for_want(&self, at_most: Duration) {
        let (sender, wanted) = oneshot::channel();
        *self.want.borrow_mut() = Some(sender);
        if !self.wants.get() {
            let _ = compio::time::timeout(at_most, wanted).await;
        }
    }

    /// Notes whether the configuration knows this host's failure domain.
    pub fn check_domain(&self) {
        let known = self.node.borrow().region().is_some();
        self.bad_domain.set(!known);
        if !known {
            let code = Code::SettingsDomain;
            log::error!(code = code.number(), failure_domain = self.settings.failure_domain;
                "{}", code.text());
        }
    }
}

/// Hosts that are asked for the configuration at a time.
const PEERS_ASKED: usize = 3;

/// Runs a daemon until SIGTERM, on this thread.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let (stopper, stop) = Stopper::new();
        compio::runtime::spawn(async move {
            let _ = compio::signal::unix::signal(libc::SIGTERM).await;
            stopper.stop();
        })
        .detach();
        run_until(settings, stop).await
    })
}

/// Runs a daemon until the stop, then drains it.
pub async fn run_until(settings: Settings, stop: Stop) -> Result<(), StartError> {
    telemetry::start();
    clock::uptime_micros();
    let key = fs::read_to_string(&settings.cluster.key).context(KeyFileSnafu)?;
    let identity = Identity::new(&key).context(KeySnafu)?;
    let caller_tls = caller_tls(&settings)?;
    let callers_at = listen("callers", settings.listen.callers).await?;
    let operators_at = listen("operators", settings.listen.operators).await?;
    let metrics_at = match settings.listen.metrics {
        Some(address) => Some(listen("metrics", address).await?),
        None => None,
    };
    let daemon = build(settings, &identity, &key).await?;
    // The first look tells whether the failure domain is a known one.
    configuration::poll(&daemon).await;
    if daemon.bad_domain.get() {
        return DomainSnafu { name: daemon.settings.failure_domain.clone() }.fail();
    }
    let (ended, end) = Stopper::new();
    spawn(ticker::run(daemon.clone(), end.clone()));
    spawn(ticker::watch_hosts(daemon.clone(), end.clone()));
    spawn(ticker::follow_configuration(daemon.clone(), end.clone()));
    spawn(peer_server::run(daemon.clone()));
    spawn(serve_operators(daemon.clone(), operators_at, &identity, end.clone())?);
    if let Some(listener) = metrics_at {
        spawn(serve_metrics(listener, end.clone()));
    }
    let (callers_stopper, callers_stop) = Stopper::new();
    let serving = serve_callers(daemon.clone(), callers_at, caller_tls, callers_stop);
    let serving = compio::runtime::spawn(serving);
    log::info!(host = daemon.settings.name; "the daemon serves");
    stop.await;
    drain(&daemon, callers_stopper, serving).await;
    ended.stop();
    daemon.peers.close().await;
    log::info!("the daemon has stopped");
    Ok(())
}

/// A planned stop: leave the look-ups, hand over, finish what is in flight.
async fn drain(
    daemon: &Rc<Daemon>,
    callers: Stopper,
    serving: compio::runtime::JoinHandle<io::Result<()>>,
) {
    log::info!("a planned stop begins");
    daemon.node.borrow_mut().stop();
    // Clients may use an answer of a look-up until its time to live is over.
    let ttl = Duration::from_millis(daemon.settings.callers.lookup_ttl_ms);
    compio::time::sleep(ttl).await;
    callers.stop();
    let finishing = async {
        let _ = serving.await;
        if compio::time::timeout(HAND_OVER_MAX, handed_over(daemon)).await.is_err() {
            // The table is out, so nobody can take over yet.
            log::warn!("ownership was not handed over in {HAND_OVER_MAX:?}");
            daemon.node.borrow_mut().abandon();
        }
        while !daemon.node.borrow().is_idle() {
            compio::time::sleep(STOP_PAUSE).await;
        }
    };
    if compio::time::timeout(STOP_MAX, finishing).await.is_err() {
        log::warn!("the stop did not finish in {STOP_MAX:?}");
    }
    // The others learn that nothing is owned here before the host is gone.
    daemon.node.borrow_mut().beat_soon();
    compio::time::sleep(STOP_LINGER).await;
}

/// Waits until this host owns nothing.
async fn handed_over(daemon: &Daemon) {
    while daemon.node.borrow().is_owner(clock::now()) {
        compio::time::sleep(STOP_PAUSE).await;
    }
}

async fn build(
    settings: Settings,
    identity: &Identity,
    key: &str,
) -> Result<Rc<Daemon>, StartError> {
    let peers = Peers::bind(settings.listen.peers, identity).await;
    let peers = peers.context(ListenSnafu { key: "peers" })?;
    let platform = || HttpPlatform::new(settings.platform.clone()).context(ClientSnafu);
    let incarnation = Incarnation(rand::random());
    let node = Node::new(NodeSettings {
        me: HostRef { host: settings.name.as_str().into(), incarnation },
        domain: settings.failure_domain.as_str().into(),
        seed: rand::random(),
    });
    Ok(Rc::new(Daemon {
        node: RefCell::new(node),
        table: Box::new(platform()?),
        objects: Box::new(platform()?),
        hosts: Box::new(platform()?),
        peers,
        pool: Pool::default(),
        wakers: RefCell::default(),
        history: RefCell::default(),
        current: RefCell::default(),
        ticket_key: TicketKey::new(key),
        requests: Cell::new(rand::random()),
        in_flight: Rc::default(),
        wants: Cell::new(false),
        want: RefCell::new(None),
        bad_domain: Cell::new(false),
        settings,
    }))
}

fn spawn(future: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(future).detach();
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { key })
}

/// TLS towards callers, if the settings name a certificate.
fn caller_tls(settings: &Settings) -> Result<Option<TlsAcceptor>, StartError> {
    let (Some(chain), Some(key)) = (&settings.callers.certificate, &settings.callers.key) else {
        return Ok(None);
    };
    let chain = fs::read(chain).context(KeyFileSnafu)?;
    let key = fs::read(key).context(KeyFileSnafu)?;
    let mut config = identity::server_of_files(&chain, &key).context(KeySnafu)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(Some(TlsAcceptor::from(std::sync::Arc::new(config))))
}

async fn serve_callers(
    daemon: Rc<Daemon>,
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    stop: Stop,
) -> io::Result<()> {
    server::serve(listener, tls, stop, move |client, request| {
        callers::handle(daemon.clone(), client, request)
    })
    .await
}

async fn serve_metrics(listener: TcpListener, stop: Stop) {
    let _ = server::serve(listener, None, stop, |_, _| async { Ok(telemetry::page()) }).await;
}

/// Serves operators over TLS.
fn serve_operators(
    daemon: Rc<Daemon>,
    listener: TcpListener,
    identity: &Identity,
    stop: Stop,
) -> Result<impl Future<Output = ()> + use<>, StartError> {
    let mut config = identity.operator_server().context(KeySnafu)?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    let tls = TlsAcceptor::from(std::sync::Arc::new(config));
    let service = TowerToHyperService::new(OperatorsServer::new(OperatorService::new(daemon)));
    Ok(async move {
        let _ = server::serve(listener, Some(tls), stop, move |_, request| {
            let answering = service.call(request);
            async move {
                let response = answering.await?;
                Ok(response.map(elmstream_http::body::boxed))
            }
        })
        .await;
    })
}
