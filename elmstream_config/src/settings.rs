//! Settings of the daemon, in JSON, each checked at the start.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{Error, SettingsUnreadableSnafu};

/// All settings of one entry host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry host's name, as in the platform's host list.
    pub name: String,
    /// The failure domain that it stands in.
    pub failure_domain: String,
    /// Where it listens.
    pub listen: Listen,
    /// The cluster's key.
    pub cluster: Cluster,
    /// The platform's services.
    pub platform: Platform,
    /// Who may read and change.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Callers' side.
    #[serde(default)]
    pub callers: Callers,
    /// Logs.
    #[serde(default)]
    pub logging: Logging,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, HTTP.
    pub callers: SocketAddr,
    /// For other entry hosts, QUIC.
    pub peers: SocketAddr,
    /// For operators, RPC over HTTP/2 and TLS.
    pub operators: SocketAddr,
    /// For `/metrics`, HTTP.
    pub metrics: Option<SocketAddr>,
}

/// The key that proves an entry host to the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// File with the cluster's private key, PEM.
    pub key: PathBuf,
}

/// The platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base of the table service's URLs.
    pub table: String,
    /// Base of the object store's URLs.
    pub objects: String,
    /// URL of the host list.
    pub hosts: String,
    /// Time after which a call is given up, in milliseconds.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Platform {
    fn default_timeout_ms() -> u64 {
        3_000
    }
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Read only.
    Read,
    /// Read and change.
    Change,
}

/// An operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name in the audit trail.
    pub name: String,
    /// What the operator may do.
    pub role: Role,
    /// SHA-256 of the token, in hexadecimal.
    pub token_sha256: String,
}

/// Settings of the callers' side.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// File with the certificate chain, PEM; TLS is off without it.
    pub certificate: Option<PathBuf>,
    /// File with the certificate's private key, PEM.
    pub key: Option<PathBuf>,
    /// Time that a look-up's answer may be cached, in milliseconds.
    pub lookup_ttl_ms: u64,
    /// Requests in flight at most, over all services.
    pub in_flight_max: u32,
}

impl Default for Callers {
    fn default() -> Callers {
        Callers { certificate: None, key: None, lookup_ttl_ms: 5_000, in_flight_max: 4_096 }
    }
}

/// Settings of the logs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logging {
    /// The least level that is written: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { level: "info".into() }
    }
}

/// Levels that a log may have.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Hexadecimal digits of a SHA-256.
const SHA256_DIGITS: usize = 64;

impl Settings {
    /// Reads settings from a file and checks them.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(path).context(SettingsUnreadableSnafu { path })?;
        Settings::parse(&text)
    }

    /// Reads settings and checks them.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        let mut source = serde_json::Deserializer::from_str(text);
        let parsed: Result<Settings, _> = serde_path_to_error::deserialize(&mut source);
        let settings = parsed.map_err(|error| {
            let path = error.path().to_string();
            let reason = error.inner().to_string();
            match reason.contains("socket address") {
                true => Error::SettingsAddress { path, reason },
                false => Error::SettingsInvalid { path, reason },
            }
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        require(!self.name.is_empty(), "name", "is empty")?;
        require(!self.failure_domain.is_empty(), "failure_domain", "is empty")?;
        for (key, url) in [
            ("table", &self.platform.table),
            ("objects", &self.platform.objects),
            ("hosts", &self.platform.hosts),
        ] {
            check_url(&format!("platform.{key}"), url)?;
        }
        check_file("cluster.key", Some(&self.cluster.key))?;
        check_file("callers.certificate", self.callers.certificate.as_deref())?;
        check_file("callers.key", self.callers.key.as_deref())?;
        let paired = self.callers.certificate.is_some() == self.callers.key.is_some();
        require(paired, "callers.key", "certificate and key go together")?;
        let known = LEVELS.contains(&self.logging.level.as_str());
        require(known, "logging.level", "must be off, error, warn, info, debug or trace")?;
        self.operators.iter().enumerate().try_for_each(|(i, o)| check_operator(i, o))
    }
}

fn require(holds: bool, path: &str, reason: &str) -> Result<(), Error> {
    if holds {
        return Ok(());
    }
    Err(Error::SettingsInvalid { path: path.into(), reason: reason.into() })
}

/// Platform addresses are `http://` and an IP number.
fn check_url(path: &str, url: &str) -> Result<(), Error> {
    let authority = url.strip_prefix("http://").and_then(|rest| rest.split('/').next());
    if authority.is_some_and(|a| a.parse::<SocketAddr>().is_ok()) {
        return Ok(());
    }
    let reason = format!("{url:?} is not http://ADDRESS:PORT with an IP number");
    Err(Error::SettingsAddress { path: path.into(), reason })
}

fn check_file(path: &str, file: Option<&Path>) -> Result<(), Error> {
    let Some(file) = file else { return Ok(()) };
    match fs::File::open(file) {
        Ok(_) => Ok(()),
        Err(e) => {
            let reason = format!("cannot open {}: {e}", file.display());
            Err(Error::SettingsFile { path: path.into(), reason })
        }
    }
}

fn check_operator(i: usize, operator: &Operator) -> Result<(), Error> {
    let digits = operator.token_sha256.chars();
    let is_hash =
        digits.clone().count() == SHA256_DIGITS && digits.clone().all(|c| c.is_ascii_hexdigit());
    let path = format!("operators[{i}].token_sha256");
    require(is_hash, &path, "must be 64 hexadecimal digits")
}
