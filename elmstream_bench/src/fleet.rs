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
    backend::{self, Behaviour, RequestStats},
    platform::{self, EntryHost, Faults, HostList},
};
use elmstreamd::lifecycle;
use futures_channel::oneshot;
use http_body_util::BodyExt;
use sha2::{Digest, Sha256};

/// The operator's token.
const OPERATOR_TOKEN: &str = "fleet-operator-token";
/// Lifetime of lookup answers in the fleet, in milliseconds.
const LOOKUP_TTL_MS: u64 = 1_000;
/// Time limit for connecting to a stand-in.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A task that runs on a thread of its own until it is stopped.
pub struct RunningThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Result<(), String>>>,
}

impl RunningThread {
    /// Runs `make(stop)` on a new thread with its own runtime.
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

    /// Asks the task to stop, without waiting.
    pub fn request_stop(&mut self) {
        self.stop.take();
    }

    /// Whether the thread has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Asks the task to stop and waits until it has ended.
    ///
    /// Fails if the task failed or panicked.
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
    /// Settings of the host.
    pub settings: Settings,
    /// The running daemon; `None` if it runs as a process of its own or was stopped.
    pub running: Option<RunningThread>,
}

/// A stand-in for a backend server.
pub struct BackendServer {
    /// Name of the server.
    pub name: String,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// The running stand-in.
    pub running: RunningThread,
}

/// Stand-ins and daemons that work together.
pub struct Fleet {
    /// Address of the platform's stand-in.
    pub platform: SocketAddr,
    /// Entry hosts, in the order in which they were added.
    pub hosts: Vec<Host>,
    /// Backend servers, in the order in which they were added.
    pub backends: Vec<BackendServer>,
    /// File with the certificate of the cluster's authority.
    pub authority: PathBuf,
    /// File with the operator's token.
    pub token_file: PathBuf,
    key: PathBuf,
    platform_running: RunningThread,
}

/// The first port that is given out. All ports given out lie below those that the system
/// uses for outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// A loopback address for TCP and UDP that is not in use.
///
/// Each process uses an IP address of its own, made from its process id, and gives out each
/// port once. A port chosen by the system and closed again could be taken by another
/// connection before it is bound. Nor is the address tested by binding it: a child process
/// started meanwhile by another thread holds a copy of the test socket until it has executed
/// its program, and the address stays in use until then.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), middle, low);
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

impl Fleet {
    /// Starts the platform's stand-in, and writes key, certificate and token into `folder`.
    ///
    /// Fails if the folder or a file cannot be written, or the key cannot be made.
    pub fn new(folder: &Path) -> io::Result<Fleet> {
        fs::create_dir_all(folder)?;
        let key_pem = identity::generate_key().map_err(io::Error::other)?;
        let authority_pem = identity::authority_pem(&key_pem).map_err(io::Error::other)?;
        let (key, authority) = (folder.join("cluster.key"), folder.join("authority.pem"));
        let token_file = folder.join("token");
        fs::write(&key, key_pem)?;
        fs::write(&authority, authority_pem)?;
        fs::write(&token_file, OPERATOR_TOKEN)?;
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

    /// Starts a stand-in for a backend server and returns its address.
    pub fn add_backend(&mut self, name: &str, behaviour: Behaviour) -> SocketAddr {
        let address = free_address();
        let server_name = name.to_owned();
        let running = RunningThread::start(name, move |stop| async move {
            let listener = TcpListener::bind(address).await.map_err(|e| e.to_string())?;
            backend::serve(listener, server_name, behaviour, stop).await.map_err(|e| e.to_string())
        });
        self.backends.push(BackendServer { name: name.into(), address, running });
        address
    }

    /// Makes the settings of an entry host, with free addresses.
    pub fn settings(&self, name: &str, failure_domain: &str) -> Settings {
        let platform = format!("http://{}", self.platform);
        let digest = Sha256::digest(OPERATOR_TOKEN.as_bytes());
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

    /// Starts an entry host. Other hosts learn of it by [`Fleet::publish_host_list`].
    pub fn add_host(&mut self, name: &str, failure_domain: &str) {
        let settings = self.settings(name, failure_domain);
        let running = Some(start_host(settings.clone()));
        self.hosts.push(Host { settings, running });
    }

    /// Adds an entry host that runs as a process of its own: `start` gets the path of its
    /// settings file and starts it.
    ///
    /// Fails if the file cannot be written or `start` fails.
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

    /// Starts an entry host again, as a new incarnation.
    pub fn restart_host(&mut self, index: usize) {
        let settings = self.hosts[index].settings.clone();
        self.hosts[index].running = Some(start_host(settings));
    }

    /// The list of all entry hosts; those named in `leaving` are marked as leaving.
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

    /// Puts a host list in force at the platform.
    pub async fn publish_host_list(&self, list: &HostList) -> io::Result<()> {
        let text = serde_json::to_vec(list)?;
        put(self.platform, "/hosts", text).await
    }

    /// Sets the faults of a part of the platform: `rows`, `objects` or `hosts`.
    pub async fn set_faults(&self, part: &str, faults: &Faults) -> io::Result<()> {
        put(self.platform, &format!("/faults/{part}"), serde_json::to_vec(faults)?).await
    }

    /// Changes the behaviour of a backend server.
    pub async fn set_behaviour(&self, index: usize, behaviour: &Behaviour) -> io::Result<()> {
        let text = serde_json::to_vec(behaviour)?;
        put(self.backends[index].address, "/_standin/behaviour", text).await
    }

    /// What a backend server has observed since it started.
    pub async fn seen(&self, index: usize) -> io::Result<RequestStats> {
        let bytes = get(self.backends[index].address, "/_standin/seen").await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Addresses on which the running hosts accept callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter(|h| h.running.is_some());
        running.map(|h| h.settings.listen.callers).collect()
    }

    /// Stops everything, daemons first.
    ///
    /// Fails with the first failure of a task.
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

/// An answer as a caller receives it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers.
    pub headers: http::HeaderMap,
    /// The body; `None` if it was incomplete.
    pub body: Option<Vec<u8>>,
}

impl Answer {
    /// The value of a header; `None` if it is absent or not ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The number of the result code, if the answer is elmstream's own.
    pub fn code(&self) -> Option<u16> {
        self.header("elmstream-code")?.parse().ok()
    }
}

/// Sends one request on a new connection.
///
/// Fails if the connection fails before the answer's head is complete.
pub async fn send(
    address: SocketAddr,
    request: http::Request<elmstream_http::LocalBody>,
) -> io::Result<Answer> {
    let mut sender = client::connect(address, CONNECT_TIMEOUT).await?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok().map(|body| body.to_bytes().to_vec());
    Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}

/// Sends a request to a stand-in, with retries until it listens.
async fn call(
    address: SocketAddr,
    request: impl Fn() -> http::Request<elmstream_http::LocalBody>,
) -> io::Result<Vec<u8>> {
    let mut last_error = io::Error::from(io::ErrorKind::TimedOut);
    for _ in 0..MAX_CALL_ATTEMPTS {
        match client::connect(address, CONNECT_TIMEOUT).await {
            Ok(mut sender) => {
                let response = sender.send_request(request()).await.map_err(io::Error::other)?;
                let body = response.into_body().collect().await.map_err(io::Error::other)?;
                return Ok(body.to_bytes().to_vec());
            }
            Err(error) => last_error = error,
        }
        compio::time::sleep(CALL_RETRY_PAUSE).await;
    }
    Err(last_error)
}

/// Maximum number of attempts to connect to a stand-in that is starting.
const MAX_CALL_ATTEMPTS: u32 = 100;
/// Pause between two attempts.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(20);

async fn put(address: SocketAddr, path: &str, text: Vec<u8>) -> io::Result<()> {
    let request = || {
        let request = http::Request::put(path).header("host", address.to_string());
        request.body(body::full(text.clone())).expect("the path is valid")
    };
    call(address, request).await.map(drop)
}

/// Sends a GET request to a stand-in, with retries until it listens, and returns the
/// answer's body.
pub async fn get(address: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let request = || {
        let request = http::Request::get(path).header("host", address.to_string());
        request.body(body::empty()).expect("the path is valid")
    };
    call(address, request).await
}
