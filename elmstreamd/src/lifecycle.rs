//! The daemon's start and its planned stop.

use std::{fs, io, net::SocketAddr, rc::Rc, time::Duration};

use compio::{net::TcpListener, tls::TlsAcceptor};
use elmstream_config::Settings;
use elmstream_http::{Stop, Stopper, server};
use elmstream_proto::{
    identity::{self, Identity},
    operators::operators_server::OperatorsServer,
};
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use snafu::{ResultExt, Snafu};

use crate::{
    callers, clock, configuration,
    daemon::Daemon,
    operators::OperatorService,
    peer_server,
    peers::Peers,
    platform::{HttpPlatform, PlatformError},
    signals::{SIGTERM, Signals},
    telemetry, ticker,
};

/// Time that a stopping host waits at most for its work to end.
const STOP_MAX: Duration = Duration::from_secs(3_600);
/// Pause between two looks at whether the host may exit.
const STOP_PAUSE: Duration = Duration::from_millis(50);
/// Time that a stopping host waits for others to take over what it owns.
const HAND_OVER_MAX: Duration = Duration::from_secs(10);
/// Time in which the other hosts hear that this one stops.
const LEAVE_MARGIN: Duration = Duration::from_millis(600);
/// Time in which the last heartbeats of a stopping host arrive.
const STOP_LINGER: Duration = Duration::from_millis(300);

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
    /// The signal that asks for a stop cannot be waited for.
    #[snafu(display("signals cannot be waited for: {source}"))]
    Signal {
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

/// Runs a daemon until SIGTERM, on this thread.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let mut terminations = Signals::new(SIGTERM).context(SignalSnafu)?;
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let (stopper, stop) = Stopper::new();
        compio::runtime::spawn(async move {
            // A wait that fails ends the daemon too, as nothing else could stop it.
            let _ = terminations.recv().await;
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
    if !daemon.knows_domain() {
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
    daemon.node.borrow_mut().begin_stop();
    daemon.node.borrow_mut().request_early_heartbeat();
    // Clients may use an answer of a look-up until its time to live is over,
    // and other hosts may give one until they hear of the stop.
    let ttl = Duration::from_millis(daemon.settings.callers.lookup_ttl_ms);
    compio::time::sleep(ttl + LEAVE_MARGIN).await;
    callers.stop();
    let finishing = async {
        let _ = serving.await;
        if compio::time::timeout(HAND_OVER_MAX, handed_over(daemon)).await.is_err() {
            // The table is out, so nobody can take over yet.
            log::warn!("ownership was not handed over in {HAND_OVER_MAX:?}");
            daemon.node.borrow_mut().abandon_ownership();
        }
        while !daemon.is_idle() {
            compio::time::sleep(STOP_PAUSE).await;
        }
    };
    if compio::time::timeout(STOP_MAX, finishing).await.is_err() {
        log::warn!("the stop did not finish in {STOP_MAX:?}");
    }
    // The others learn that nothing is owned here before the host is gone.
    daemon.node.borrow_mut().request_early_heartbeat();
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
    let platform = [platform()?, platform()?, platform()?];
    Ok(Rc::new(Daemon::new(settings, key, platform, peers)))
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
    let mut config = identity::server_config_from_pem(&chain, &key).context(KeySnafu)?;
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
    let mut config = identity.operator_server_config().context(KeySnafu)?;
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
