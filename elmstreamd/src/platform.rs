//! The platform's services, one trait each, and their HTTP clients.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use cyper::Client;
use elmstream::{id::Name, member::ListedHost, steward::WriteOutcome};
use elmstream_config::settings;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use snafu::Snafu;

/// Why a call to the platform gave no result.
#[derive(Clone, Debug, Snafu)]
pub enum PlatformError {
    /// The service said that it cannot serve now.
    #[snafu(display("the platform's service refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No answer came in time, or the connection broke.
    #[snafu(display("the platform's service did not answer: {reason}"))]
    NoAnswer {
        /// What happened.
        reason: String,
    },
    /// The answer is not of the documented form.
    #[snafu(display("the platform's answer is malformed: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

/// A row and its version.
#[derive(Clone, Debug, Deserialize)]
pub struct VersionedRow {
    /// Changes with each write.
    pub version: u64,
    /// The row.
    pub value: Value,
}

/// The transactional table service.
#[async_trait(?Send)]
pub trait TableService {
    /// Reads a row; `None` is "no such row".
    async fn read(&self, key: &str) -> Result<Option<VersionedRow>, PlatformError>;

    /// Writes a row if its version is `expect`; 0 is "no such row".
    async fn write(&self, key: &str, value: &Value, expect: u64) -> WriteOutcome;
}

/// The object store.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Reads an object; `None` is "no such object".
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Writes an object.
    async fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError>;

    /// Keys that begin with a prefix, ascending.
    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError>;
}

/// What the host list says.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// Entry hosts.
    pub entry_hosts: Vec<ListedHost>,
    /// Backend servers that are leaving.
    pub leaving: Vec<Name>,
}

/// The platform's list of live and leaving hosts.
#[async_trait(?Send)]
pub trait HostList {
    /// Reads the list.
    async fn hosts(&self) -> Result<Hosts, PlatformError>;
}

/// All three over HTTP and JSON, as in `docs/PROTOCOLS.md`.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client,
    settings: settings::Platform,
}

struct Answer {
    status: StatusCode,
    bytes: Vec<u8>,
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<String>,
}

#[derive(Deserialize)]
struct List {
    entry_hosts: Vec<Entry>,
    #[serde(default)]
    backend_servers_leaving: Vec<Name>,
}

#[derive(Deserialize)]
struct Entry {
    name: Name,
    failure_domain: Name,
    callers: SocketAddr,
    peers: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

impl HttpPlatform {
    /// A client of the services that the settings name.
    pub fn new(settings: settings::Platform) -> Result<HttpPlatform, PlatformError> {
        let built = Client::builder().no_proxy().build();
        let client = built.map_err(|e| PlatformError::NoAnswer { reason: e.to_string() })?;
        Ok(HttpPlatform { client, settings })
    }

    async fn call(
        &self,
        method: Method,
        url: String,
        body: Vec<u8>,
    ) -> Result<Answer, PlatformError> {
        let within = Duration::from_millis(self.settings.timeout_ms);
        let silent = |reason: String| PlatformError::NoAnswer { reason };
        let sending = async {
            let request = self.client.request(method, url).map_err(|e| silent(e.to_string()))?;
            let response = request.body(body).send().await.map_err(|e| silent(e.to_string()))?;
            let status = response.status();
            let bytes = response.bytes().await.map_err(|e| silent(e.to_string()))?;
            Ok(Answer { status, bytes: bytes.to_vec() })
        };
        let timed = compio::time::timeout(within, sending).await;
        timed.unwrap_or_else(|_| Err(silent(format!("no answer in {within:?}"))))
    }
}

impl Answer {
    /// The body of a success, `None` for 404, else an error.
    fn found(self) -> Result<Option<Vec<u8>>, PlatformError> {
        match self.status {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(self.bytes)),
            status => Err(PlatformError::Refused { status: status.as_u16() }),
        }
    }
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|e| PlatformError::Malformed { reason: e.to_string() })
}

#[async_trait(?Send)]
impl TableService for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<VersionedRow>, PlatformError> {
        let url = format!("{}/rows/{key}", self.settings.table);
        let found = self.call(Method::GET, url, Vec::new()).await?.found()?;
        found.map(|bytes| parse(&bytes)).transpose()
    }

    async fn write(&self, key: &str, value: &Value, expect: u64) -> WriteOutcome {
        let url = format!("{}/rows/{key}", self.settings.table);
        let body = json!({ "expect": expect, "value": value }).to_string().into_bytes();
        match self.call(Method::PUT, url, body).await {
            Ok(answer) if answer.status.is_success() => {
                let written = parse::<Written>(&answer.bytes);
                written.map_or(WriteOutcome::Unknown, |w| WriteOutcome::Written(w.version))
            }
            Ok(answer) if answer.status == StatusCode::CONFLICT => WriteOutcome::Conflict,
            // A client error or an overload answer is the service's own word
            // that it did not take the write; 5xx of a gateway is not.
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => WriteOutcome::Refused,
            Ok(answer) if answer.status.is_client_error() => WriteOutcome::Refused,
            _ => WriteOutcome::Unknown,
        }
    }
}

#[async_trait(?Send)]
impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let url = format!("{}/objects/{key}", self.settings.objects);
        self.call(Method::GET, url, Vec::new()).await?.found()
    }

    async fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let url = format!("{}/objects/{key}", self.settings.objects);
        self.call(Method::PUT, url, bytes).await?.found().map(drop)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let url = format!("{}/objects/?prefix={prefix}", self.settings.objects);
        let found = self.call(Method::GET, url, Vec::new()).await?.found()?;
        Ok(parse::<Keys>(&found.unwrap_or_default())?.keys)
    }
}

#[async_trait(?Send)]
impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Hosts, PlatformError> {
        let url = self.settings.hosts.clone();
        let found = self.call(Method::GET, url, Vec::new()).await?.found()?;
        let list: List = parse(&found.unwrap_or_default())?;
        let listed = |e: Entry| ListedHost {
            name: e.name,
            domain: e.failure_domain,
            callers: e.callers,
            peers: e.peers,
            leaving: e.leaving,
        };
        let entry_hosts = list.entry_hosts.into_iter().map(listed).collect();
        Ok(Hosts { entry_hosts, leaving: list.backend_servers_leaving })
    }
}
