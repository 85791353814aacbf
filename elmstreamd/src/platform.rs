//! The platform's services: table service, object store and host list. Each is a trait, with one
//! HTTP client that implements all three.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use cyper::Client;
use elmstream::{id::Name, member::ListedHost, steward::WriteOutcome};
use elmstream_config::settings;
use http::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json, value::RawValue};
use snafu::Snafu;

/// Reason why a call to the platform gave no result.
#[derive(Clone, Debug, Snafu)]
pub enum PlatformError {
    /// The service answered with an error status.
    #[snafu(display("the platform's service refused the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The service could not be reached or did not answer within the timeout.
    #[snafu(display("the platform's service did not answer: {reason}"))]
    NoAnswer {
        /// Description of the failure.
        reason: String,
    },
    /// The body of the answer does not have the documented form.
    #[snafu(display("the platform's answer is malformed: {reason}"))]
    Malformed {
        /// Description of the error.
        reason: String,
    },
}

/// A row of the table service, with its version.
#[derive(Clone, Debug, Deserialize)]
pub struct VersionedRow {
    /// Number that changes with each write. 0 stands for a row that does not exist.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

/// Table service: rows by key, with compare-and-swap writes.
#[async_trait(?Send)]
pub trait TableService {
    /// Reads a row. `None` if there is no such row.
    async fn read(&self, key: &str) -> Result<Option<VersionedRow>, PlatformError>;

    /// Writes a row if its version is `expect`; 0 means that the row must not exist.
    async fn write(&self, key: &str, value: &Value, expect: u64) -> WriteOutcome;
}

/// Object store: byte strings by key.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Reads an object. `None` if there is no such object.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Writes an object, and replaces one with this key.
    async fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError>;

    /// Returns the keys that begin with a prefix, in ascending order.
    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError>;
}

/// Content of the host list.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    /// All entry hosts, leaving ones included.
    pub entry_hosts: Vec<ListedHost>,
    /// Names of backend servers that are leaving.
    pub leaving: Vec<Name>,
}

/// Host list: the platform's list of entry hosts, and of backend servers that are leaving.
#[async_trait(?Send)]
pub trait HostList {
    /// Reads the list.
    async fn hosts(&self) -> Result<Hosts, PlatformError>;
}

/// HTTP client of the three services. `docs/PROTOCOLS.md` describes the requests.
#[derive(Debug)]
pub struct HttpPlatform {
    client: Client,
    settings: settings::Platform,
}

/// Answer of a service, with its whole body.
struct HttpAnswer {
    status: StatusCode,
    bytes: Vec<u8>,
}

#[derive(Deserialize)]
struct WriteReply {
    version: u64,
}

#[derive(Deserialize)]
struct ListReply {
    keys: Vec<String>,
}

#[derive(Deserialize)]
struct HostListReply<'a> {
    #[serde(borrow)]
    entry_hosts: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    backend_servers_leaving: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct HostEntry {
    name: Name,
    failure_domain: Name,
    callers: SocketAddr,
    peers: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

impl HttpPlatform {
    /// Creates a client of the services at the addresses in the settings.
    pub fn new(settings: settings::Platform) -> Result<HttpPlatform, PlatformError> {
        let built = Client::builder().no_proxy().build();
        let client = built.map_err(|e| PlatformError::NoAnswer { reason: e.to_string() })?;
        Ok(HttpPlatform { client, settings })
    }

    /// Sends a request and reads the whole answer, within the timeout of the settings.
    async fn call(
        &self,
        method: Method,
        url: String,
        body: Vec<u8>,
    ) -> Result<HttpAnswer, PlatformError> {
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        let no_answer = |reason: String| PlatformError::NoAnswer { reason };
        let exchange = async {
            let request = self.client.request(method, url).map_err(|e| no_answer(e.to_string()))?;
            let response = request.body(body).send().await.map_err(|e| no_answer(e.to_string()))?;
            let status = response.status();
            let bytes = response.bytes().await.map_err(|e| no_answer(e.to_string()))?;
            Ok(HttpAnswer { status, bytes: bytes.to_vec() })
        };
        let timed = compio::time::timeout(timeout, exchange).await;
        timed.unwrap_or_else(|_| Err(no_answer(format!("no answer within {timeout:?}"))))
    }
}

impl HttpAnswer {
    /// Returns the body of a success, `None` for status 404, else an error.
    fn into_body(self) -> Result<Option<Vec<u8>>, PlatformError> {
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

/// Parses the entries of a list; those that cannot be parsed are left out and do not affect the others.
fn parse_entries<T: DeserializeOwned>(entries: &[&RawValue]) -> Vec<T> {
    let parsed = entries.iter().filter_map(|entry| {
        let parsed = serde_json::from_str(entry.get());
        parsed.inspect_err(|error| log::warn!(error:%; "an entry of a list is malformed")).ok()
    });
    parsed.collect()
}

#[async_trait(?Send)]
impl TableService for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<VersionedRow>, PlatformError> {
        let url = format!("{}/rows/{key}", self.settings.table);
        let body = self.call(Method::GET, url, Vec::new()).await?.into_body()?;
        body.map(|bytes| parse(&bytes)).transpose()
    }

    async fn write(&self, key: &str, value: &Value, expect: u64) -> WriteOutcome {
        let url = format!("{}/rows/{key}", self.settings.table);
        let body = json!({ "expect": expect, "value": value }).to_string().into_bytes();
        match self.call(Method::PUT, url, body).await {
            Ok(answer) if answer.status.is_success() => {
                let written = parse::<WriteReply>(&answer.bytes);
                written.map_or(WriteOutcome::Unknown, |w| WriteOutcome::Written(w.version))
            }
            Ok(answer) if answer.status == StatusCode::CONFLICT => WriteOutcome::Conflict,
            // With a client error or 503, the service itself states that it did not write. Other
            // 5xx statuses may come from a gateway after the service wrote.
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
        self.call(Method::GET, url, Vec::new()).await?.into_body()
    }

    async fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let url = format!("{}/objects/{key}", self.settings.objects);
        self.call(Method::PUT, url, bytes).await?.into_body().map(drop)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let url = format!("{}/objects/?prefix={prefix}", self.settings.objects);
        let body = self.call(Method::GET, url, Vec::new()).await?.into_body()?;
        Ok(parse::<ListReply>(&body.unwrap_or_default())?.keys)
    }
}

#[async_trait(?Send)]
impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Hosts, PlatformError> {
        let url = self.settings.hosts.clone();
        let body = self.call(Method::GET, url, Vec::new()).await?.into_body()?;
        let body = body.unwrap_or_default();
        let list: HostListReply<'_> = parse(&body)?;
        let listed_host = |e: HostEntry| ListedHost {
            name: e.name,
            domain: e.failure_domain,
            callers: e.callers,
            peers: e.peers,
            leaving: e.leaving,
        };
        let entry_hosts = parse_entries(&list.entry_hosts).into_iter().map(listed_host).collect();
        Ok(Hosts { entry_hosts, leaving: parse_entries(&list.backend_servers_leaving) })
    }
}
