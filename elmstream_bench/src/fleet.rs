//! A fleet in one process: stand-ins and daemons, each on a thread of its own.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU16, Ordering},
    thread::{self, JoinHandle},
    time::Duration,
};

use compio::{net::TcpListener, runtime::Runtime};
use elmstream_config::{
    Settings,
    settings::{Callers, Cluster, Listen, Logging, Operator, Platform, Role},
};
use elmstream_http::{Stop, Stopper, body, client};
use elmstream_proto::identity;
use elmstream_standin::{
    backend::{self, Behaviour, Seen},
    platform::{self, EntryHost, Faults, HostList},
};
use elmstreamd::lifecycle;
use futures_channel::oneshot;
use http_body_util::BodyExt;
use sha2::{Digest, Sha256};

/// The token of the fleet's operator.
const TOKEN: &str = "fleet-operator-token";
/// Time to live of look-ups in the fleet, in milliseconds.
const LOOKUP_TTL_MS: u64 = 1_000;
/// Time to reach a stand-in.
const REACH: Duration = Duration::from_secs(2);

/// Something that runs on a thread until it is stopped.
pub struct RunningThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Result<(), String>>>,
}

impl RunningThread {
    /// Runs `make(stop)` on a thread with a runtime of its own.
    pub fn start<F, M>(name: &str, make: M) -> RunningThread
    where
        M: FnOnce(Stop) -> F + Send + 'static,
        F: Future<Output = Result<(), String>>,
    {
        let (stop, stopped) = oneshot::channel();
        let body = move || {
            let runtime = Runtime::new().map_err(|e| e.to_string())?;
            runtime.block_on(async {
                let (stopper, stop) = Stopper::new();
                compio::runtime::spawn(async move {
                    let _ = stopped.await;
                    stopper.stop();
                })
                .detach();
                make(stop).await
            })
        };
        let thread = thread::Builder::new().name(name.into()).spawn(body);
        RunningThread { stop: Some(stop), thread: thread.ok() }
    }

    /// Asks it to stop, without waiting.
    pub fn request_stop(&mut self) {
        self.stop.take();
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Asks it to stop and waits for its end.
    pub fn stop(mut self) -> Result<(), String> {
        self.request_stop();
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            _ => Err("the thread panicked".into()),
        }
    }
}

/// An entry host of the fleet.
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    /// The running daemon.
    pub running: Option<RunningThread>,
}

/// A stand-in for a backend server.
pub struct BackendServer {
    /// Its name.
    pub name: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The running stand-in.
    pub running: RunningThread,
}

/// Stand-ins and daemons.
pub struct Fleet {
    /// Where the platform's stand-in listens.
    pub platform: SocketAddr,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub backends: Vec<BackendServer>,
    /// File with the authority's certificate.
    pub authority: PathBuf,
    /// File with the operator's token.
    pub token_file: PathBuf,
    key: PathBuf,
    platform_running: RunningThread,
}

/// The first port that is given out; all lie below the ports that the system
/// gives to outgoing connections.
const PORT_FIRST: u16 = 10_000;

/// A loopback address for TCP and UDP that nobody else uses.
///
/// Each process has an IP number of its own, made from its id, and gives out a
/// port once. A port that the system chose and that was closed again could be
/// taken by another connection before it is bound. Nor is the address tried: a
/// process that another thread starts meanwhile holds a copy of the trying socket
/// until it has become its program, and the address is taken for so long.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(PORT_FIRST);
    let [_, high, middle, low] = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), middle, low);
    SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::Relaxed)))
}

impl Fleet {
    /// Starts the platform's stand-in and writes key, certificate and token
    /// into `folder`.
    pub fn new(folder: &Path) -> io::Result<Fleet> {
        fs::create_dir_all(folder)?;
        let key_pem = identity::new_key().map_err(io::Error::other)?;
        let authority_pem = identity::authority_pem(&key_pem).map_err(io::Error::other)?;
        let (key, authority) = (folder.join("cluster.key"), folder.join("authority.pem"));
        let token_file = folder.join("token");
        fs::write(&key, key_pem)?;
        fs::write(&authority, authority_pem)?;
        fs::write(&token_file, TOKEN)?;
        let address = free_address();
        let platform_running = RunningThread::start("platform", move |stop| async move {
            let listener = TcpListener::bind(address).await.map_err(|e| e.to_string())?;
            platform::serve(listener, stop).await.map_err(|e| e.to_string())
        });
        let (hosts, backends) = (Vec::new(), Vec::new());
        Ok(Fleet {
            platform: address,
            hosts,
            backends,
            authority,
            token_file,
            key,
            platform_running,
        })
    }

    /// Starts a backend server's stand-in.
    pub fn add_backend(&mut self, name: &str, behaviour: Behaviour) -> SocketAddr {
        let address = free_address();
        let told = name.to_owned();
        let running = RunningThread::start(name, move |stop| async move {
            let listener = TcpListener::bind(address).await.map_err(|e| e.to_string())?;
            backend::serve(listener, told, behaviour, stop).await.map_err(|e| e.to_string())
        });
        self.backends.push(BackendServer { name: name.into(), address, running });
        address
    }

    /// Makes the settings of an entry host.
    pub fn settings(&self, name: &str, failure_domain: &str) -> Settings {
        let platform = format!("http://{}", self.platform);
        let digest = Sha256::digest(TOKEN.as_bytes());
        let token_sha256 = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        Settings {
            name: name.into(),
            failure_domain: failure_domain.into(),
            listen: Listen {
                callers: free_address(),
                peers: free_address(),
                operators: free_address(),
                metrics: None,
            },
            cluster: Cluster { key: self.key.clone() },
            platform: Platform {
                table: platform.clone(),
                objects: platform.clone(),
                hosts: format!("{platform}/hosts"),
                timeout_ms: 1_000,
            },
            operators: vec![Operator { name: "trial".into(), role: Role::Change, token_sha256 }],
            callers: Callers { lookup_ttl_ms: LOOKUP_TTL_MS, ..Callers::default() },
            logging: Logging::default(),
        }
    }

    /// Starts an entry host. The host list is told by [`Fleet::list`].
    pub fn add_host(&mut self, name: &str, failure_domain: &str) {
        let settings = self.settings(name, failure_domain);
        let running = Some(start_host(settings.clone()));
        self.hosts.push(Host { settings, running });
    }

    /// Adds an entry host that runs as a process of its own, started by
    /// `start` from its settings file.
    pub fn add_process<T>(
        &mut self,
        name: &str,
        failure_domain: &str,
        start: impl FnOnce(&Path) -> io::Result<T>,
    ) -> io::Result<T> {
        let settings = self.settings(name, failure_domain);
        let file = self.key.with_file_name(format!("{name}.json"));
        fs::write(&file, serde_json::to_vec_pretty(&settings)?)?;
        self.hosts.push(Host { settings, running: None });
        start(&file)
    }

    /// Starts an entry host again, as another incarnation.
    pub fn restart_host(&mut self, index: usize) {
        let settings = self.hosts[index].settings.clone();
        self.hosts[index].running = Some(start_host(settings));
    }

    /// The host list with all hosts, those in `leaving` marked so.
    pub fn host_list(&self, leaving: &[&str]) -> HostList {
        let entry = |h: &Host| EntryHost {
            name: h.settings.name.clone(),
            failure_domain: h.settings.failure_domain.clone(),
            callers: h.settings.listen.callers.to_string(),
            peers: h.settings.listen.peers.to_string(),
            leaving: leaving.contains(&h.settings.name.as_str()),
        };
        HostList {
            entry_hosts: self.hosts.iter().map(entry).collect(),
            backend_servers_leaving: Vec::new(),
        }
    }

    /// Tells the platform's host list.
    pub async fn publish_host_list(&self, list: &HostList) -> io::Result<()> {
        let text = serde_json::to_vec(list)?;
        put(self.platform, "/hosts", text).await
    }

    /// Switches faults of a part of the platform: `rows`, `objects` or `hosts`.
    pub async fn set_faults(&self, part: &str, faults: &Faults) -> io::Result<()> {
        put(self.platform, &format!("/faults/{part}"), serde_json::to_vec(faults)?).await
    }

    /// Changes how a backend server behaves.
    pub async fn set_behaviour(&self, index: usize, behaviour: &Behaviour) -> io::Result<()> {
        let text = serde_json::to_vec(behaviour)?;
        put(self.backends[index].address, "/_standin/behaviour", text).await
    }

    /// What a backend server has seen.
    pub async fn seen(&self, index: usize) -> io::Result<Seen> {
        let bytes = get(self.backends[index].address, "/_standin/seen").await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Callers' addresses of the running hosts.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter(|h| h.running.is_some());
        running.map(|h| h.settings.listen.callers).collect()
    }

    /// Stops everything; daemons first.
    pub fn stop(mut self) -> Result<(), String> {
        for host in &mut self.hosts {
            if let Some(running) = &mut host.running {
                running.request_stop();
            }
        }
        for host in self.hosts {
            if let Some(running) = host.running {
                running.stop()?;
            }
        }
        for backend in self.backends {
            backend.running.stop()?;
        }
        self.platform_running.stop()
    }
}

fn start_host(settings: Settings) -> RunningThread {
    let name = settings.name.clone();
    RunningThread::start(&name, move |stop| async move {
        lifecycle::run_until(settings, stop).await.map_err(|e| e.to_string())
    })
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body; `None` if it was cut.
    pub body: Option<Vec<u8>>,
}

impl Answer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The number of the code, if the system answered itself.
    pub fn code(&self) -> Option<u16> {
        self.header("elmstream-code")?.parse().ok()
    }
}

/// Sends one request over a connection of its own.
pub async fn send(
    address: SocketAddr,
    request: http::Request<elmstream_http::LocalBody>,
) -> io::Result<Answer> {
    let mut sender = client::connect(address, REACH).await?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok().map(|body| body.to_bytes().to_vec());
    Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Calls a stand-in, again until it listens.
async fn call(
    address: SocketAddr,
    request: impl Fn() -> http::Request<elmstream_http::LocalBody>,
) -> io::Result<Vec<u8>> {
    let mut last = io::Error::from(io::ErrorKind::TimedOut);
    for _ in 0..CALL_TRIES {
        match client::connect(address, REACH).await {
            Ok(mut sender) => {
                let response = sender.send_request(request()).await.map_err(io::Error::other)?;
                let body = response.into_body().collect().await.map_err(io::Error::other)?;
                return Ok(body.to_bytes().to_vec());
            }
            Err(error) => last = error,
        }
        compio::time::sleep(CALL_PAUSE).await;
    }
    Err(last)
}

/// Tries to reach a stand-in that is starting.
const CALL_TRIES: u32 = 100;
/// Pause between two tries.
const CALL_PAUSE: Duration = Duration::from_millis(20);

async fn put(address: SocketAddr, path: &str, text: Vec<u8>) -> io::Result<()> {
    let request = || {
        let request = http::Request::put(path).header("host", address.to_string());
        request.body(body::full(text.clone())).expect("the path is valid")
    };
    call(address, request).await.map(drop)
}

/// Reads a page over HTTP.
pub async fn get(address: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let request = || {
        let request = http::Request::get(path).header("host", address.to_string());
        request.body(body::empty()).expect("the path is valid")
    };
    call(address, request).await
}
