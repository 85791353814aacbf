//! Settings of an entry host, read from JSON.

use std::{collections::BTreeMap, fs, io, net::SocketAddr, path::Path};

use elmstream_steer::{
    policies::Policies,
    settings::{Bounds, Host},
};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

use crate::{headers::HeaderNames, resources::Resources};

/// All settings of a host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, addresses and location of the host.
    pub host: Host,
    /// Region of each failure domain.
    pub domains: BTreeMap<String, String>,
    /// Addresses of other hosts to contact at the start; some may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address on which metrics are served; they are not served if it is absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Names of headers.
    #[serde(default)]
    pub headers: HeaderNames,
    /// Limits and timeouts that all hosts of the fleet share.
    #[serde(default)]
    pub bounds: Bounds,
    /// Settings of the decisions under load.
    #[serde(default)]
    pub policies: Policies,
    /// Bounds on the bytes that the host holds.
    #[serde(default)]
    pub buffers: Buffers,
    /// Memory and file descriptors that the process may use.
    #[serde(default)]
    pub resources: Resources,
    /// How request digests are computed.
    #[serde(default)]
    pub content: Content,
    /// Timing of the planned stop.
    #[serde(default)]
    pub stop: Stop,
    /// Sampling and rate limits of the event log.
    #[serde(default)]
    pub logging: Logging,
}

/// How request digests are computed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Content {
    /// Key of the request digests; equal on all hosts. Without a key, a reader of log lines
    /// can test whether a guessed request was made.
    pub secret: String,
}

/// Bounds on the bytes that the host holds for callers and servers, and on the time that it holds
/// them for a caller that does not read.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Buffers {
    /// Bytes of requests and answers above which no further body of a request is read; 0 for no
    /// bound.
    pub total_bytes: u64,
    /// A caller's connection is closed if bytes of its answer wait in the host for this long
    /// because the caller has not read those before them, in milliseconds; 0 for no limit. A caller
    /// that reads 100 KB in this time is not closed.
    pub reader_timeout_ms: u64,
    /// Bytes of request bodies in flight to one server at which this host sends it no further
    /// request; 0 for no bound.
    pub server_bytes: u64,
}

impl Buffers {
    /// Whether neither held bytes nor readers are limited.
    pub fn is_off(&self) -> bool {
        self.total_bytes == 0 && self.reader_timeout_ms == 0
    }
}

/// Smallest bound on held bytes.
const TOTAL_BYTES_MIN: u64 = 1 << 20;
/// Least memory and file descriptors with which a host can work.
const MEMORY_BYTES_MIN: u64 = 32 << 20;
const FILE_DESCRIPTORS_MIN: u64 = 512;
/// Shortest time for which a caller may leave bytes unread, in milliseconds.
const READER_TIMEOUT_MS_MIN: u64 = 500;

/// Timing of the planned stop.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// Time between the stop notice to callers and the end of new connections, in
    /// milliseconds.
    pub notice_ms: u64,
    /// Time after the start of the stop from which on a request is sent only if it ends, at the
    /// latest by its deadline, before requests in flight are aborted, in milliseconds.
    pub last_send_ms: u64,
    /// Longest time from the start of the stop to the end of the process, in milliseconds.
    pub grace_ms: u64,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop { notice_ms: 1_500, last_send_ms: 3_000, grace_ms: 5_500 }
    }
}

/// Sampling and rate limits of the event log.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logging {
    /// One of this many served requests is logged; 0 logs none.
    pub sample: u64,
    /// Lines about requests logged each second; further ones are dropped and counted.
    pub lines_per_s: u32,
    /// Lines about state changes of servers and hosts logged each second; further ones are
    /// dropped and counted.
    pub beliefs_per_s: u32,
}

impl Default for Logging {
    fn default() -> Logging {
        Logging { sample: 256, lines_per_s: 20, beliefs_per_s: 50 }
    }
}

/// Why settings are rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("E3001 {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The text is not valid JSON, or has missing, unknown or mistyped keys.
    #[snafu(display("E3002 {source}"))]
    Parse {
        /// The cause, with the path of the key.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// A value is out of its range or contradicts another one.
    #[snafu(display("E3002 {key}: {problem}"))]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong.
        problem: &'static str,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its settings are rejected.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text =
            fs::read_to_string(path).context(ReadSnafu { path: path.display().to_string() })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// The settings are rejected.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut json).context(ParseSnafu)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let value = |key, problem| ValueSnafu { key, problem };
        let region = self.domains.get(&self.host.domain);
        ensure!(!self.host.name.is_empty(), value("host.name", "is empty"));
        ensure!(
            region == Some(&self.host.region),
            value("host.domain", "does not belong to host.region")
        );
        ensure!(
            self.stop.notice_ms < self.stop.grace_ms,
            value("stop.notice_ms", "is not less than stop.grace_ms")
        );
        ensure!(self.bounds.lookup_ttl_s > 0, value("bounds.lookup_ttl_s", "is 0"));
        ensure!(self.bounds.retry_ratio >= 0.0, value("bounds.retry_ratio", "is below 0"));
        ensure!(self.bounds.limit_window_s > 0, value("bounds.limit_window_s", "is 0"));
        ensure!(self.bounds.limit_overshoot >= 0.0, value("bounds.limit_overshoot", "is below 0"));
        ensure!(self.bounds.limit_slack >= 0.0, value("bounds.limit_slack", "is below 0"));
        let share = self.bounds.exposure_share;
        ensure!(
            (0.0..=1.0).contains(&share),
            value("bounds.exposure_share", "is not between 0 and 1")
        );
        ensure!(self.bounds.exposure_slack >= 0.0, value("bounds.exposure_slack", "is below 0"));
        ensure!(self.bounds.rollback_ms > 0, value("bounds.rollback_ms", "is 0"));
        self.check_buffers()?;
        self.check_resources()?;
        self.check_policies()?;
        let scheme = &self.headers.key_scheme;
        let one_word = !scheme.is_empty() && scheme.chars().all(|c| c.is_ascii_graphic());
        ensure!(one_word, value("headers.key_scheme", "is not a single word"));
        Ok(())
    }

    fn check_buffers(&self) -> Result<(), SettingsError> {
        let value = |key, problem| ValueSnafu { key, problem };
        let Buffers { total_bytes, reader_timeout_ms, server_bytes } = self.buffers;
        ensure!(
            total_bytes == 0 || total_bytes >= TOTAL_BYTES_MIN,
            value("buffers.total_bytes", "is below 1 MiB")
        );
        ensure!(
            reader_timeout_ms == 0 || reader_timeout_ms >= READER_TIMEOUT_MS_MIN,
            value("buffers.reader_timeout_ms", "is below 500")
        );
        ensure!(
            total_bytes == 0 || server_bytes <= total_bytes,
            value("buffers.server_bytes", "is above total_bytes")
        );
        Ok(())
    }

    fn check_resources(&self) -> Result<(), SettingsError> {
        let value = |key, problem| ValueSnafu { key, problem };
        let Resources { memory_bytes, file_descriptors } = self.resources;
        ensure!(
            memory_bytes == 0 || memory_bytes >= MEMORY_BYTES_MIN,
            value("resources.memory_bytes", "is below 32 MiB")
        );
        ensure!(
            file_descriptors == 0 || file_descriptors >= FILE_DESCRIPTORS_MIN,
            value("resources.file_descriptors", "is below 512")
        );
        Ok(())
    }

    fn check_policies(&self) -> Result<(), SettingsError> {
        let value = |key, problem| ValueSnafu { key, problem };
        let Policies { placement, .. } = &self.policies;
        let is_cost = |cost: f64| cost.is_finite() && cost >= 0.0;
        ensure!(
            is_cost(placement.domain_cost_ms),
            value("policies.placement.domain_cost_ms", "is below 0")
        );
        ensure!(
            is_cost(placement.domain_kb_cost_ms),
            value("policies.placement.domain_kb_cost_ms", "is below 0")
        );
        ensure!(
            is_cost(placement.region_cost_ms)
                && placement.region_cost_ms >= placement.domain_cost_ms,
            value("policies.placement.region_cost_ms", "is below domain_cost_ms")
        );
        ensure!(
            (0.0..=1.0).contains(&placement.own_load_max),
            value("policies.placement.own_load_max", "is not between 0 and 1")
        );
        Ok(())
    }
}
