//! Startup of the daemon, and its planned stop.

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

/// Longest time that a stopping host waits for its requests to finish.
const STOP_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Interval at which a stopping host checks whether it may exit.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that a stopping host waits for others to take over its backend servers.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the other hosts learn from heartbeats that this one is stopping.
const STOP_GOSSIP_TIME: Duration = Duration::from_millis(600);
/// Time that a stopping host leaves its last heartbeats to arrive.
const LAST_HEARTBEATS_TIME: Duration = Duration::from_millis(300);

/// Reason why the daemon cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The file of the cluster key, the certificate or its private key cannot be read.
    #[snafu(display("E3004 cluster.key: {source}"))]
    KeyFile {
        /// Underlying error.
        source: io::Error,
    },
    /// The cluster key or the certificate for callers is invalid.
    #[snafu(display("E3004 cluster.key or callers.certificate: {source}"))]
    Key {
        /// Underlying error.
        source: identity::Error,
    },
    /// A listening address cannot be bound.
    #[snafu(display("E3003 listen.{key}: {source}"))]
    Listen {
        /// Key of the address in the `listen` settings.
        key: &'static str,
        /// Underlying error.
        source: io::Error,
    },
    /// The HTTP client for the platform's services cannot be created.
    #[snafu(display("E3003 platform: {source}"))]
    Client {
        /// Underlying error.
        source: PlatformError,
    },
    /// The asynchronous runtime cannot be started.
    #[snafu(display("the runtime cannot be started: {source}"))]
    Runtime {
        /// Underlying error.
        source: io::Error,
    },
    /// The handler of SIGTERM cannot be installed.
    #[snafu(display("the signal handler cannot be installed: {source}"))]
    Signal {
        /// Underlying error.
        source: io::Error,
    },
    /// The configuration in force has no failure domain with the name in the settings.
    #[snafu(display("E3005 failure_domain: the configuration has no failure domain {name:?}"))]
    Domain {
        /// Name of the failure domain.
        name: String,
    },
}

/// Runs a daemon on this thread until SIGTERM, and returns after the planned stop.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let mut terminations = Signals::new(SIGTERM).context(SignalSnafu)?;
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let (stopper, stop) = Stopper::new();
        compio::runtime::spawn(async move {
            // If waiting fails, the daemon stops as well, as no signal could stop it later.
            let _ = terminations.recv().await;
            stopper.stop();
        })
        .detach();
        run_until(settings, stop).await
    })
}

/// Runs a daemon until `stop` resolves, then drains it.
///
/// Fails if the settings cannot be used, an address cannot be bound, or the configuration does not
/// have this host's failure domain.
pub async fn run_until(settings: Settings, stop: Stop) -> Result<(), StartError> {
    telemetry::start();
    clock::uptime_micros();
    let key = fs::read_to_string(&settings.cluster.key).context(KeyFileSnafu)?;
    let identity = Identity::new(&key).context(KeySnafu)?;
    let caller_tls = caller_tls(&settings)?;
    let callers_listener = listen("callers", settings.listen.callers).await?;
    let operators_listener = listen("operators", settings.listen.operators).await?;
    let metrics_listener = match settings.listen.metrics {
        Some(address) => Some(listen("metrics", address).await?),
        None => None,
    };
    let daemon = build_daemon(settings, &identity, &key).await?;
    // The check of the failure domain needs the configuration.
    configuration::poll(&daemon).await;
    if !daemon.is_domain_configured() {
        return DomainSnafu { name: daemon.settings.failure_domain.clone() }.fail();
    }
    let (tasks_stopper, tasks_stop) = Stopper::new();
    spawn(ticker::run(daemon.clone(), tasks_stop.clone()));
    spawn(ticker::watch_hosts(daemon.clone(), tasks_stop.clone()));
    spawn(ticker::follow_configuration(daemon.clone(), tasks_stop.clone()));
    spawn(peer_server::run(daemon.clone()));
    spawn(serve_operators(daemon.clone(), operators_listener, &identity, tasks_stop.clone())?);
    if let Some(listener) = metrics_listener {
        spawn(serve_metrics(listener, tasks_stop.clone()));
    }
    let (callers_stopper, callers_stop) = Stopper::new();
    let serving = serve_callers(daemon.clone(), callers_listener, caller_tls, callers_stop);
    let serving = compio::runtime::spawn(serving);
    log::info!(host = daemon.settings.name; "the daemon serves");
    stop.await;
    drain(&daemon, callers_stopper, serving).await;
    tasks_stopper.stop();
    daemon.peers.close().await;
    log::info!("the daemon has stopped");
    Ok(())
}

/// Planned stop: leave the look-ups, stop taking requests, hand over ownership, and finish the
/// requests in flight.
async fn drain(
    daemon: &Rc<Daemon>,
    callers: Stopper,
    serving: compio::runtime::JoinHandle<io::Result<()>>,
) {
    log::info!("a planned stop begins");
    daemon.node.borrow_mut().begin_stop();
    daemon.node.borrow_mut().request_early_heartbeat();
    // Callers may use the response to a look-up for its time to live, and other hosts name this
    // host in look-ups until they learn of the stop.
    let ttl = Duration::from_millis(daemon.settings.callers.lookup_ttl_ms);
    compio::time::sleep(ttl + STOP_GOSSIP_TIME).await;
    callers.stop();
    let finishing = async {
        let _ = serving.await;
        if compio::time::timeout(HANDOVER_TIMEOUT, until_handed_over(daemon)).await.is_err() {
            // Other hosts cannot take over while the table service is unavailable.
            log::warn!("ownership was not handed over within {HANDOVER_TIMEOUT:?}");
            daemon.node.borrow_mut().abandon_ownership();
        }
        while !daemon.is_idle() {
            compio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    if compio::time::timeout(STOP_TIMEOUT, finishing).await.is_err() {
        log::warn!("requests in flight did not finish within {STOP_TIMEOUT:?}");
    }
    // Other hosts learn that this one owns nothing any more before it exits.
    daemon.node.borrow_mut().request_early_heartbeat();
    compio::time::sleep(LAST_HEARTBEATS_TIME).await;
}

/// Waits until this host owns no backend server.
async fn until_handed_over(daemon: &Daemon) {
    while daemon.node.borrow().is_owner(clock::now()) {
        compio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
}

/// Builds the daemon: binds the endpoint for other hosts and creates the platform's clients.
async fn build_daemon(
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

/// TLS acceptor for callers; `None` if the settings have no certificate.
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

/// Serves the operators' RPCs over HTTP/2 and TLS.
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
            let call = service.call(request);
            async move {
                let response = call.await?;
                Ok(response.map(elmstream_http::body::boxed))
            }
        })
        .await;
    })
}
