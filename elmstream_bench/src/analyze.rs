//! Summarizes the event logs of entry hosts, to show what limits requests.
//!
//! Reads the JSON lines of any number of hosts in any order. For each service and window it
//! counts requests and tries; it also counts refusals by their reason and lists how long
//! servers were silent. Served requests are sampled and the rate of lines is limited, so the
//! figures compare with each other and are no totals; `dropped` counts the lines left out.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    fs, io,
};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Length of a window, in milliseconds; the users' own analysis uses the same length.
const WINDOW_MS: u64 = 2_000;
/// Maximum number of silences listed; the longest ones are.
const MAX_LISTED_SILENCES: usize = 12;

/// Why event logs cannot be analyzed.
#[derive(Debug, Snafu)]
pub enum AnalyzeError {
    /// A file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The files contain no line of an event log.
    #[snafu(display("no line of an event log in the files"))]
    Empty,
}

/// The analyzed fields of a line.
#[derive(Debug, Deserialize)]
struct LogLine {
    unix_ms: u64,
    event: String,
    service: Option<String>,
    reason: Option<String>,
    #[serde(default)]
    load_percent: u32,
    #[serde(default)]
    free: u32,
    #[serde(default)]
    returning: bool,
    #[serde(default)]
    tried: Vec<Try>,
    server: Option<String>,
    state: Option<String>,
    #[serde(default)]
    dropped: u64,
    /// Text before the JSON object: the host's name, if logs of several hosts were merged.
    #[serde(skip)]
    host: String,
}

impl LogLine {
    /// Parses a line; `None` if it is not part of an event log.
    fn parse(text: &str) -> Option<LogLine> {
        let at = text.find('{')?;
        let mut line: LogLine = serde_json::from_str(&text[at..]).ok()?;
        line.host = text[..at].split_whitespace().last().unwrap_or_default().to_owned();
        Some(line)
    }
}

/// One try of a request at a server.
#[derive(Debug, Deserialize)]
struct Try {
    server: String,
    outcome: String,
    ms: u64,
    knew: Option<bool>,
}

/// Requests of a service in one window.
#[derive(Debug, Default)]
struct Window {
    /// Number of requests by final event.
    requests: BTreeMap<String, u32>,
    /// Number of tries by outcome.
    tries: BTreeMap<String, u32>,
    /// Answers by servers that were warm for the key: number and total milliseconds.
    warm: (u32, u64),
    /// Answers by other servers: number and total milliseconds.
    cold: (u32, u64),
    /// Number of answers by server.
    servers: BTreeMap<String, u32>,
}

/// Refusals of a service for one reason.
#[derive(Debug, Default)]
struct Refusals {
    count: u32,
    /// Refusals while some server had a free slot.
    with_free: u32,
    /// Refusals of returning callers.
    returning: u32,
    /// Refusals by load of the service, in tenths of its slots.
    tenths: [u32; 11],
}

/// When a server fell silent, in Unix milliseconds, by server and observing host.
type SilentSince = BTreeMap<(String, String), u64>;

/// Summary of event logs.
#[derive(Debug, Default)]
pub struct Report {
    begin_ms: u64,
    windows: BTreeMap<(String, u64), Window>,
    refusals: BTreeMap<(String, String), Refusals>,
    /// Silences: length in milliseconds, server, observing host, and begin in Unix
    /// milliseconds.
    silences: Vec<(u64, String, String, u64)>,
    dropped: u64,
}

/// Reads and summarizes files of event logs.
///
/// Fails if a file cannot be read or no file contains a line of an event log.
pub fn read_files(paths: &[String]) -> Result<Report, AnalyzeError> {
    let mut text = String::new();
    for path in paths {
        text += &fs::read_to_string(path).context(ReadSnafu { path: path.clone() })?;
        text.push('\n');
    }
    Report::from_text(&text).ok_or(AnalyzeError::Empty)
}

impl Report {
    /// Summarizes the lines of a text; `None` if it contains none of an event log. Text
    /// before a line's first brace and lines that cannot be parsed are ignored.
    pub fn from_text(text: &str) -> Option<Report> {
        let mut lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
        lines.sort_by_key(|line| line.unix_ms);
        let mut report = Report { begin_ms: lines.first()?.unix_ms, ..Report::default() };
        let mut silent = SilentSince::new();
        for line in &lines {
            report.dropped += line.dropped;
            match &line.service {
                Some(service) => report.record_request(service, line),
                None if line.event == "start" => silent.retain(|(_, host), _| *host != line.host),
                None => report.record_state_change(&mut silent, line),
            }
        }
        let end = lines.last()?.unix_ms;
        for ((server, host), since) in silent {
            report.silences.push((end - since, server, host, since));
        }
        report.silences.sort_by(|a, b| b.cmp(a));
        Some(report)
    }

    fn record_request(&mut self, service: &str, line: &LogLine) {
        let window = (line.unix_ms - self.begin_ms) / WINDOW_MS;
        let window = self.windows.entry((service.to_owned(), window)).or_default();
        *window.requests.entry(line.event.clone()).or_default() += 1;
        for tried in &line.tried {
            window.record_try(tried);
        }
        if let Some(reason) = line.reason.as_ref().filter(|_| line.event == "refused") {
            let key = (service.to_owned(), reason.clone());
            let refusals = self.refusals.entry(key).or_default();
            refusals.count += 1;
            refusals.with_free += u32::from(line.free > 0);
            refusals.returning += u32::from(line.returning);
            refusals.tenths[(line.load_percent / 10).min(10) as usize] += 1;
        }
    }

    fn record_state_change(&mut self, silent: &mut SilentSince, line: &LogLine) {
        let (Some(server), Some(state)) = (&line.server, &line.state) else { return };
        let key = (server.clone(), line.host.clone());
        if state == "silent" {
            silent.entry(key).or_insert(line.unix_ms);
        } else if let Some(since) = silent.remove(&key) {
            self.silences.push((line.unix_ms - since, key.0, key.1, since));
        }
    }

    /// The summary as text for a terminal.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let services: BTreeSet<&String> = self.windows.keys().map(|(service, _)| service).collect();
        for service in services {
            self.write_service(&mut text, service);
        }
        self.write_silences(&mut text);
        // Writing to a string does not fail.
        let _ = writeln!(text, "lines left out by the hosts: {}", self.dropped);
        text
    }

    fn write_service(&self, text: &mut String, service: &str) {
        let _ = writeln!(text, "service {service}");
        for ((name, reason), refusals) in &self.refusals {
            if name == service {
                let _ = writeln!(
                    text,
                    "  refused, {reason}: {}, of them {} with a slot free, {} of returning callers; by tenth of the load {:?}",
                    refusals.count, refusals.with_free, refusals.returning, refusals.tenths,
                );
            }
        }
        let _ =
            writeln!(text, "  second: requests; tries; mean ms with a warm key, with a cold one");
        for ((name, number), window) in &self.windows {
            if name == service {
                let second = number * WINDOW_MS / 1_000;
                let _ = writeln!(text, "  {second:>4}: {}", window.text());
            }
        }
    }

    fn write_silences(&self, text: &mut String) {
        let _ = writeln!(text, "longest silences, as observed by each host");
        for (length, server, host, since) in self.silences.iter().take(MAX_LISTED_SILENCES) {
            let at = (since - self.begin_ms) as f64 / 1_000.0;
            let _ = writeln!(
                text,
                "  {server} for {length} ms from second {at:.1}, reported by {host}"
            );
        }
    }
}

impl Window {
    fn record_try(&mut self, tried: &Try) {
        *self.tries.entry(tried.outcome.clone()).or_default() += 1;
        let Some(knew) = tried.knew else { return };
        let answers = if knew { &mut self.warm } else { &mut self.cold };
        answers.0 += 1;
        answers.1 += tried.ms;
        *self.servers.entry(tried.server.clone()).or_default() += 1;
    }

    fn text(&self) -> String {
        let list = |counts: &BTreeMap<String, u32>| {
            let each: Vec<String> =
                counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
            each.join(", ")
        };
        let mean = |(count, millis): (u32, u64)| match count {
            0 => "-".to_owned(),
            _ => format!("{} ({count})", millis / u64::from(count)),
        };
        let (warm, cold) = (mean(self.warm), mean(self.cold));
        let (requests, tries) = (list(&self.requests), list(&self.tries));
        let servers = self.servers.len();
        format!("{requests}; {tries}; {warm}, {cold}; {servers} servers")
    }
}
