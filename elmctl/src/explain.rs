//! Tells from a host's log why a request ended as it did.
//!
//! A log holds JSON lines (docs/OPERATIONS.md lists them); whatever a collector of
//! logs put before the brace of a line is left out. What the host wrote of the
//! request comes first, then what it believed of the servers that it tried and of
//! what it depends on, with the time before the request's end.

use elmstream::code::Code;
use serde_json::Value;

/// How long before and after the end of a request a belief is of interest.
const BEFORE_MS: i64 = 60_000;
const AFTER_MS: i64 = 10_000;
/// Beliefs that are printed at most; the last ones count.
const BELIEFS: usize = 16;

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    at: i64,
    event: String,
    fields: Value,
}

/// What the log says of a request, or of the roll-outs of a service; none if it knows neither.
pub fn explain<'a>(log: impl Iterator<Item = &'a str>, request: &str) -> Option<Vec<String>> {
    let lines: Vec<Line> = log.filter_map(parse).collect();
    let own: Vec<&Line> = lines.iter().filter(|line| line.fields["id"] == request).collect();
    let Some(last) = own.last() else { return rollouts(&lines, request) };
    let mut told = Vec::new();
    for line in &own {
        told.extend(of_request(line));
    }
    told.push(format!("cause: {}", cause(last)));
    let servers = servers(last);
    let beliefs = lines.iter().filter(|line| bears(line, last, &servers));
    let beliefs: Vec<String> = beliefs.map(|line| belief(line, last.at)).collect();
    let skipped = beliefs.len().saturating_sub(BELIEFS);
    told.push(match beliefs.is_empty() {
        true => "the log says nothing else that bears on it".to_owned(),
        false => "what the host believed, and when against the request's end:".to_owned(),
    });
    told.extend(beliefs.into_iter().skip(skipped));
    Some(told)
}

/// What the log says of the roll-outs of a service; none if it knows of none.
fn rollouts(lines: &[Line], service: &str) -> Option<Vec<String>> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.event.starts_with("rollout") && line.fields["service"] == service)
        .collect();
    let last = own.last()?;
    let mut told: Vec<String> = own.iter().map(|line| belief(line, last.at)).collect();
    told.drain(..told.len().saturating_sub(BELIEFS));
    told.extend(own.iter().rev().find_map(|line| rollback(&line.fields)));
    Some(told)
}

/// Why a version was turned away, in words; none if the line does not tell.
fn rollback(fields: &Value) -> Option<String> {
    if fields["stage"] != "rolled_back" || fields["order"].is_null() {
        return None;
    }
    let Some(cause) = fields["cause"].as_object() else {
        let (good, bad) = (&fields["good"], &fields["bad"]);
        return Some(format!(
            "cause: time was nearly over, and {good} good and {bad} bad answers were too few to \
             trust the version, or its servers had too few slots"
        ));
    };
    let usual = cause.get("usual").and_then(Value::as_f64).unwrap_or(0.0) * 100.0;
    let field = |name: &str| cause.get(name).cloned().unwrap_or_default();
    let route = match field("route") {
        Value::String(route) => format!("on route {route}"),
        _ => "over all routes".to_owned(),
    };
    Some(format!(
        "cause: {} of {} answers of {} of its servers {route} failed or were slow, where {usual:.0}% \
         count as usual by the other versions",
        field("bad"),
        field("bad").as_u64().unwrap_or(0) + field("good").as_u64().unwrap_or(0),
        field("servers"),
    ))
}

fn parse(text: &str) -> Option<Line> {
    let fields: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let at = fields["unix_ms"].as_i64()?;
    let event = fields["event"].as_str()?.to_owned();
    Some(Line { at, event, fields })
}

/// The request's own line, in words.
fn of_request(line: &Line) -> Vec<String> {
    let fields = &line.fields;
    let mut told = vec![format!(
        "{} with status {} after {} ms ({})",
        line.event,
        fields["status"],
        fields["took_ms"],
        code(fields)
    )];
    told.push(format!(
        "  route {}, service {}, configuration {}, the store confirmed {} ms before",
        fields["route"], fields["service"], fields["version"], fields["stale_ms"]
    ));
    if let Some(workspace) = fields["workspace"].as_str().filter(|name| !name.is_empty()) {
        told.push(format!("  of workspace {workspace}"));
    }
    if let Some(rate) = fields["rate_per_s"].as_f64() {
        let (burst, retry) = (&fields["burst"], &fields["retry_ms"]);
        told.push(format!("  limit {rate} a second and {burst} on top, come back in {retry} ms"));
    }
    if let Some(ended) = fields["servers_ended"].as_u64() {
        let (ago, own) = (&fields["last_s_ago"], &fields["own"]);
        told.push(format!(
            "  {ended} servers ended under it, the last one {ago} s before; seen by this host: {own}"
        ));
    }
    if let Some(servers) = fields["servers"].as_u64() {
        let load = &fields["load_percent"];
        told.push(format!("  {servers} servers weighed, {load}% of their slots occupied"));
    }
    if let Some(spared) = fields["spared"].as_u64().filter(|spared| *spared > 0) {
        told.push(format!("  {spared} servers left out for their rest or their limit"));
    }
    for tried in fields["tried"].as_array().into_iter().flatten() {
        told.push(format!(
            "  sent to {}: {} after {} ms, {} requests there",
            tried["server"], tried["outcome"], tried["ms"], tried["occupied"]
        ));
    }
    told
}

fn code(fields: &Value) -> String {
    let number = fields["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    match number.and_then(Code::from_number) {
        Some(code) => format!("E{}: {}", code.number(), code.text()),
        None => "no code".to_owned(),
    }
}

/// The cause in one sentence.
fn cause(line: &Line) -> String {
    let fields = &line.fields;
    let outcomes: Vec<&str> = fields["tried"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|tried| tried["outcome"].as_str())
        .collect();
    let text = match (line.event.as_str(), outcomes.last().copied()) {
        ("refused", _) if fields["reason"] == "NoServer" => {
            "no server of the service may be used: all are gone, leaving, evacuated or unreachable"
        }
        ("refused", _) if fields["reason"] == "Spared" => {
            "each server that may take it asked this host for rest, or named a limit of which \
             this host's part is used up"
        }
        ("refused", _) => {
            "at each server that may take it the wait would have outlasted the route's objective"
        }
        ("no_route", _) if fields["status"] == 503 => {
            "no route fits, but what this host knew was old, so it said that it cannot tell"
        }
        ("no_route", _) => "no route of the configuration in force here fits",
        ("denied", _) if fields["status"] == 503 => {
            "no key that it shows is known, but what this host knew was old, so it cannot tell"
        }
        ("denied", _) => {
            "the route asks for a key, and the configuration in force here lets none in"
        }
        ("harmful", _) => {
            "servers ended one after another under requests with this content, so no other gets it"
        }
        ("limited", _) if fields["status"] == 503 => {
            "the host had just started and did not know the others yet, so it kept no limit"
        }
        ("limited", _) => "its workspace is over its limit, which all hosts keep together",
        ("left", _) => "the caller left before the answer came",
        ("ended", _) => "the host was stopped, and its grace time was over before the request was",
        ("answered", _) => "a server answered; the status is its own",
        ("unknown", Some("silent")) => "the server did not answer in the request's time",
        ("unknown", Some("server_ended")) => "the server ended under it; it may have run",
        ("unknown", Some("broken")) => {
            "the connection broke, or the answer was cut or another request's; it may have run"
        }
        (_, Some("no_connection")) => "the server took no connection; it did not run",
        (_, Some("not_sent")) => "its time was over before a connection came up; it did not run",
        (_, Some("full")) => "the server said that it is full; it did not run",
        (_, Some("elsewhere")) => "another server has the address now; it did not run",
        ("not_run_budget", _) => "servers did not run it, and the retry budget was used up",
        _ => "its lines tell all that is known",
    };
    text.to_owned()
}

fn servers(line: &Line) -> Vec<String> {
    let tried = line.fields["tried"].as_array().into_iter().flatten();
    tried.filter_map(|tried| tried["server"].as_str().map(str::to_owned)).collect()
}

/// Whether a line tells what a request rested on, whose last line is given.
fn bears(line: &Line, request: &Line, servers: &[String]) -> bool {
    if line.at < request.at - BEFORE_MS || line.at > request.at + AFTER_MS {
        return false;
    }
    let named = |value: &Value| value.as_str().is_some_and(|id| servers.iter().any(|s| s == id));
    match line.event.as_str() {
        "server" => named(&line.fields["server"]),
        "servers" => line.fields["lost"].as_array().into_iter().flatten().any(named),
        "host_heard" | "host_lost" | "refused" | "answered" | "unknown" | "left" | "ended"
        | "no_route" | "denied" | "limited" | "harmful" => false,
        "refuses" | "server_ended" | "let_in_again" => {
            line.fields["content"] == request.fields["content"]
        }
        event => !event.starts_with("not_run"),
    }
}

fn belief(line: &Line, at: i64) -> String {
    let mut fields = line.fields.clone();
    if let Some(fields) = fields.as_object_mut() {
        for known in ["unix_ms", "event", "lost", "dropped"] {
            fields.remove(known);
        }
    }
    let seconds = (line.at - at) as f64 / 1_000.0;
    format!("  {seconds:+.1} s {} {fields}", line.event)
}
