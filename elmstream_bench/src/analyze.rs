//! What binds, from the JSON lines of hosts.
//!
//! Reads the lines of any number of hosts, in any order, and tells by window and service
//! what became of requests and tries, what refusals rested on, and which servers were
//! out of use. Served requests are sampled and lines are bounded, so figures compare
//! with each other, not with all requests; `dropped` tells how many lines are missing.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    fs, io,
};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Length of a window, in milliseconds; the users' bench judges by the same.
const WINDOW_MS: u64 = 2_000;
/// Spans of silence that are listed at most, the longest ones.
const SPANS: usize = 12;

/// Why lines cannot be analyzed.
#[derive(Debug, Snafu)]
pub enum AnalyzeError {
    /// A file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The files hold no line of a host.
    #[snafu(display("no line of a host in the files"))]
    Empty,
}

/// A line, as far as it is looked at.
#[derive(Debug, Deserialize)]
struct Line {
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
    tried: Vec<Tried>,
    server: Option<String>,
    state: Option<String>,
    #[serde(default)]
    dropped: u64,
    /// What stands before the line: the host's name, if lines of several are put together.
    #[serde(skip)]
    host: String,
}

impl Line {
    /// A line of a host; none if it is something else.
    fn parse(text: &str) -> Option<Line> {
        let at = text.find('{')?;
        let mut line: Line = serde_json::from_str(&text[at..]).ok()?;
        line.host = text[..at].split_whitespace().last().unwrap_or_default().to_owned();
        Some(line)
    }
}

/// A try at a server.
#[derive(Debug, Deserialize)]
struct Tried {
    server: String,
    outcome: String,
    ms: u64,
    knew: Option<bool>,
}

/// What became of a service's requests in one window.
#[derive(Debug, Default)]
struct Window {
    /// Requests by what they came to.
    requests: BTreeMap<String, u32>,
    /// Tries by outcome.
    tries: BTreeMap<String, u32>,
    /// Answers of servers that were taken to know the key, and their milliseconds.
    knowing: (u32, u64),
    /// The same of the others.
    unknowing: (u32, u64),
    /// Answers by server.
    servers: BTreeMap<String, u32>,
}

/// Refusals of one service for one reason.
#[derive(Debug, Default)]
struct Refusals {
    count: u32,
    /// Those with a slot free at some server.
    with_free: u32,
    /// Those of callers who came back.
    returning: u32,
    /// By occupied tenth of the slots.
    tenths: [u32; 11],
}

/// Since when servers have been silent, by server and host.
type Silent = BTreeMap<(String, String), u64>;

/// What lines tell.
#[derive(Debug, Default)]
pub struct Report {
    begin: u64,
    windows: BTreeMap<(String, u64), Window>,
    refusals: BTreeMap<(String, String), Refusals>,
    /// Spans of silence: length in milliseconds, server, host that said so, when it began.
    silences: Vec<(u64, String, String, u64)>,
    dropped: u64,
}

/// Reads files of lines.
pub fn read_files(paths: &[String]) -> Result<Report, AnalyzeError> {
    let mut text = String::new();
    for path in paths {
        text += &fs::read_to_string(path).context(ReadSnafu { path: path.clone() })?;
        text.push('\n');
    }
    Report::from_text(&text).ok_or(AnalyzeError::Empty)
}

impl Report {
    /// What a text of lines tells; none if it holds none. What stands before the first
    /// brace of a line, and lines that are not a host's, are passed over.
    pub fn from_text(text: &str) -> Option<Report> {
        let mut lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
        lines.sort_by_key(|line| line.unix_ms);
        let mut report = Report { begin: lines.first()?.unix_ms, ..Report::default() };
        let mut silent = Silent::new();
        for line in &lines {
            report.dropped += line.dropped;
            match &line.service {
                Some(service) => report.request(service, line),
                None if line.event == "start" => silent.retain(|(_, host), _| *host != line.host),
                None => report.belief(&mut silent, line),
            }
        }
        let end = lines.last()?.unix_ms;
        for ((server, host), since) in silent {
            report.silences.push((end - since, server, host, since));
        }
        report.silences.sort_by(|a, b| b.cmp(a));
        Some(report)
    }

    fn request(&mut self, service: &str, line: &Line) {
        let window = (line.unix_ms - self.begin) / WINDOW_MS;
        let window = self.windows.entry((service.to_owned(), window)).or_default();
        *window.requests.entry(line.event.clone()).or_default() += 1;
        for tried in &line.tried {
            window.take(tried);
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

    fn belief(&mut self, silent: &mut Silent, line: &Line) {
        let (Some(server), Some(state)) = (&line.server, &line.state) else { return };
        let key = (server.clone(), line.host.clone());
        if state == "silent" {
            silent.entry(key).or_insert(line.unix_ms);
        } else if let Some(since) = silent.remove(&key) {
            self.silences.push((line.unix_ms - since, key.0, key.1, since));
        }
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let services: BTreeSet<&String> = self.windows.keys().map(|(service, _)| service).collect();
        for service in services {
            self.service(&mut text, service);
        }
        self.silent(&mut text);
        // Writing to a string does not fail.
        let _ = writeln!(text, "lines that were left out by the hosts: {}", self.dropped);
        text
    }

    fn service(&self, text: &mut String, service: &str) {
        let _ = writeln!(text, "service {service}");
        for ((name, reason), refusals) in &self.refusals {
            if name == service {
                let _ = writeln!(
                    text,
                    "  refused, {reason}: {}, of them {} with a slot free, {} came back; by tenth of the load {:?}",
                    refusals.count, refusals.with_free, refusals.returning, refusals.tenths,
                );
            }
        }
        let _ = writeln!(text, "  second: requests; tries; mean ms if the key was known, if not");
        for ((name, number), window) in &self.windows {
            if name == service {
                let second = number * WINDOW_MS / 1_000;
                let _ = writeln!(text, "  {second:>4}: {}", window.text());
            }
        }
    }

    fn silent(&self, text: &mut String) {
        let _ = writeln!(text, "longest silences, as each host saw them");
        for (length, server, host, since) in self.silences.iter().take(SPANS) {
            let at = (since - self.begin) as f64 / 1_000.0;
            let _ =
                writeln!(text, "  {server} for {length} ms from second {at:.1}, said by {host}");
        }
    }
}

impl Window {
    fn take(&mut self, tried: &Tried) {
        *self.tries.entry(tried.outcome.clone()).or_default() += 1;
        let Some(knew) = tried.knew else { return };
        let meetings = if knew { &mut self.knowing } else { &mut self.unknowing };
        meetings.0 += 1;
        meetings.1 += tried.ms;
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
        let (knowing, unknowing) = (mean(self.knowing), mean(self.unknowing));
        let (requests, tries) = (list(&self.requests), list(&self.tries));
        let servers = self.servers.len();
        format!("{requests}; {tries}; {knowing}, {unknowing}; {servers} servers")
    }
}
