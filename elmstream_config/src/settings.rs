//! Daemon settings in JSON, checked when they are loaded.

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
    /// Name of the failure domain that contains it.
    pub failure_domain: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Key shared by all entry hosts.
    pub cluster: Cluster,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Operators who may read or change state; none by default.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// How callers are served.
    #[serde(default)]
    pub callers: Callers,
    /// Logging.
    #[serde(default)]
    pub logging: Logging,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// QUIC for other entry hosts.
    pub peers: SocketAddr,
    /// RPC for operators, over HTTP/2 and TLS.
    pub operators: SocketAddr,
    /// HTTP for `/metrics`; `None` disables it.
    pub metrics: Option<SocketAddr>,
}

/// The key by which entry hosts authenticate each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// File with the cluster's private key in PEM.
    pub key: PathBuf,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the table service.
    pub table: String,
    /// Base URL of the object store.
    pub objects: String,
    /// URL of the host list.
    pub hosts: String,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Platform {
    fn default_timeout_ms() -> u64 {
        3_000
    }
}

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May read state.
    Read,
    /// May read and change state.
    Change,
}

/// An operator, authenticated by a token.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name in the audit trail.
    pub name: String,
    /// Permissions.
    pub role: Role,
    /// SHA-256 of the token, in hexadecimal.
    pub token_sha256: String,
}

/// How callers are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// File with the certificate chain in PEM; `None` disables TLS.
    pub certificate: Option<PathBuf>,
    /// File with the certificate's private key in PEM.
    pub key: Option<PathBuf>,
    /// Time for which callers may cache the answer to a look-up, in milliseconds.
    pub lookup_ttl_ms: u64,
    /// Maximum number of requests in flight, over all services.
    pub in_flight_max: u32,
}

impl Default for Callers {
    fn default() -> Callers {
        Callers { certificate: None, key: None, lookup_ttl_ms: 5_000, in_flight_max: 4_096 }
    }
}

/// Logging.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logging {
    /// Most detailed level that is logged: off, error, warn, info, debug or trace.
    pub level: String,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { level: "info".into() }
    }
}

/// Valid values of [`Logging::level`].
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Hexadecimal digits of a SHA-256 hash.
const SHA256_DIGITS: usize = 64;

impl Settings {
    /// Reads settings from a file and checks them.
    ///
    /// Returns [`Error::SettingsUnreadable`] if the file cannot be read, and
    /// otherwise the errors of [`Settings::parse`].
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(path).context(SettingsUnreadableSnafu { path })?;
        Settings::parse(&text)
    }

    /// Parses settings and checks them.
    ///
    /// Also opens the files that they name. Returns the first error found.
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
        let are_paired = self.callers.certificate.is_some() == self.callers.key.is_some();
        require(are_paired, "callers.key", "certificate and key must be set together")?;
        let is_known = LEVELS.contains(&self.logging.level.as_str());
        require(is_known, "logging.level", "must be off, error, warn, info, debug or trace")?;
        self.operators.iter().enumerate().try_for_each(|(i, o)| check_operator(i, o))
    }
}

fn require(condition: bool, path: &str, reason: &str) -> Result<(), Error> {
    if condition {
        return Ok(());
    }
    Err(Error::SettingsInvalid { path: path.into(), reason: reason.into() })
}

/// Checks that a platform URL is `http://` followed by an IP address and a port.
fn check_url(path: &str, url: &str) -> Result<(), Error> {
    let authority = url.strip_prefix("http://").and_then(|rest| rest.split('/').next());
    if authority.is_some_and(|a| a.parse::<SocketAddr>().is_ok()) {
        return Ok(());
    }
    let reason = format!("{url:?} is not http://ADDRESS:PORT with an IP address");
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
