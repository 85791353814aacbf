//! Explains from a host's event log why a request ended as it did.
//!
//! The log has JSON lines, which docs/OPERATIONS.md lists. Text before the opening brace of a line,
//! such as that of a log collector, is ignored. The explanation has the lines of the request itself
//! first, then the state changes of the servers that it was sent to and of what else the host
//! depends on, with their times relative to the request's end.

use elmstream::code::Code;
use serde_json::Value;

/// Time before the end of a request from which state changes are shown, in milliseconds.
const WINDOW_BEFORE_MS: i64 = 60_000;
/// Time after the end of a request up to which state changes are shown, in milliseconds.
const WINDOW_AFTER_MS: i64 = 10_000;
/// Most state changes that are shown; the last ones are kept.
const STATE_CHANGES_MAX: usize = 16;

/// Line of a log: time in milliseconds since the Unix epoch, event name, and all fields.
#[derive(Clone, Debug)]
struct Line {
    unix_ms: i64,
    event: String,
    fields: Value,
}

/// Explains a request by its id, or the roll-outs of a service by its name, in lines of text.
/// `None` if the log has neither.
pub fn explain<'a>(log: impl Iterator<Item = &'a str>, request: &str) -> Option<Vec<String>> {
    let lines: Vec<Line> = log.filter_map(parse).collect();
    let own: Vec<&Line> = lines.iter().filter(|line| line.fields["id"] == request).collect();
    let Some(last) = own.last() else { return explain_rollouts(&lines, request) };
    let mut explanation = Vec::new();
    for line in &own {
        explanation.extend(describe_request(line));
    }
    explanation.push(format!("cause: {}", describe_cause(last)));
    let servers = tried_servers(last);
    let state_changes = lines.iter().filter(|line| is_relevant(line, last, &servers));
    let state_changes: Vec<String> =
        state_changes.map(|line| state_change(line, last.unix_ms)).collect();
    let omitted = state_changes.len().saturating_sub(STATE_CHANGES_MAX);
    explanation.push(match state_changes.is_empty() {
        true => "the log has no related state changes".to_owned(),
        false => "related state changes, relative to the request's end:".to_owned(),
    });
    explanation.extend(state_changes.into_iter().skip(omitted));
    Some(explanation)
}

/// Explains the roll-outs of a service. `None` if the log has none.
fn explain_rollouts(lines: &[Line], service: &str) -> Option<Vec<String>> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.event.starts_with("rollout") && line.fields["service"] == service)
        .collect();
    let last = own.last()?;
    let mut explanation: Vec<String> =
        own.iter().map(|line| state_change(line, last.unix_ms)).collect();
    explanation.drain(..explanation.len().saturating_sub(STATE_CHANGES_MAX));
    explanation.extend(own.iter().rev().find_map(|line| rollback_cause(&line.fields)));
    Some(explanation)
}

/// Describes why a version was rolled back. `None` if the line is not about a roll-back.
fn rollback_cause(fields: &Value) -> Option<String> {
    if fields["stage"] != "rolled_back" || fields["order"].is_null() {
        return None;
    }
    let Some(cause) = fields["cause"].as_object() else {
        let (good, bad) = (&fields["good"], &fields["bad"]);
        return Some(format!(
            "cause: the time limit was near, and {good} good and {bad} bad answers were too few to \
             accept the version, or its servers had too few slots"
        ));
    };
    let usual = cause.get("usual").and_then(Value::as_f64).unwrap_or(0.0) * 100.0;
    let field = |name: &str| cause.get(name).cloned().unwrap_or_default();
    let route = match field("route") {
        Value::String(route) => format!("on route {route}"),
        _ => "over all routes".to_owned(),
    };
    Some(format!(
        "cause: {} of {} answers of {} of its servers {route} failed or were slow; {usual:.0}% is \
         usual for the other versions",
        field("bad"),
        field("bad").as_u64().unwrap_or(0) + field("good").as_u64().unwrap_or(0),
        field("servers"),
    ))
}

/// Parses a line of a log. `None` if it has no event with a time.
fn parse(text: &str) -> Option<Line> {
    let fields: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let unix_ms = fields["unix_ms"].as_i64()?;
    let event = fields["event"].as_str()?.to_owned();
    Some(Line { unix_ms, event, fields })
}

/// Describes a line of the request itself.
fn describe_request(line: &Line) -> Vec<String> {
    let fields = &line.fields;
    let mut explanation = vec![format!(
        "{} with status {} after {} ms ({})",
        line.event,
        fields["status"],
        fields["took_ms"],
        code(fields)
    )];
    explanation.push(format!(
        "  route {}, service {}, configuration {}, last confirmed by the store {} ms before",
        fields["route"], fields["service"], fields["version"], fields["stale_ms"]
    ));
    if let Some(workspace) = fields["workspace"].as_str().filter(|name| !name.is_empty()) {
        explanation.push(format!("  of workspace {workspace}"));
    }
    if let Some(rate) = fields["rate_per_s"].as_f64() {
        let (burst, retry) = (&fields["burst"], &fields["retry_ms"]);
        explanation.push(format!(
            "  limit {rate} a second with a burst of {burst}, retry after {retry} ms"
        ));
    }
    if let Some(ended) = fields["servers_ended"].as_u64() {
        let (ago, own) = (&fields["last_s_ago"], &fields["own"]);
        explanation.push(format!(
            "  {ended} servers crashed under it, the last one {ago} s before; seen by this host: {own}"
        ));
    }
    if let Some(servers) = fields["servers"].as_u64() {
        let load = &fields["load_percent"];
        explanation
            .push(format!("  {servers} servers considered, {load}% of their slots occupied"));
    }
    if let Some(spared) = fields["spared"].as_u64().filter(|spared| *spared > 0) {
        explanation.push(format!("  {spared} servers left out because of back-off or their limit"));
    }
    for tried in fields["tried"].as_array().into_iter().flatten() {
        explanation.push(format!(
            "  sent to {}: {} after {} ms, {} requests there",
            tried["server"], tried["outcome"], tried["ms"], tried["occupied"]
        ));
    }
    explanation
}

fn code(fields: &Value) -> String {
    let number = fields["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    match number.and_then(Code::from_number) {
        Some(code) => format!("E{}: {}", code.number(), code.text()),
        None => "no code".to_owned(),
    }
}

/// Describes the cause in one sentence, given the last line of a request.
fn describe_cause(line: &Line) -> String {
    let fields = &line.fields;
    let outcomes: Vec<&str> = fields["tried"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|tried| tried["outcome"].as_str())
        .collect();
    let text = match (line.event.as_str(), outcomes.last().copied()) {
        ("refused", _) if fields["reason"] == "NoServer" => {
            "no server of the service can be used: all are gone, leaving, evacuated or unreachable"
        }
        ("refused", _) if fields["reason"] == "Spared" => {
            "each server that could run it asked this host for a back-off, or set a limit of which \
             this host's share is used up"
        }
        ("refused", _) => {
            "at each server that could run it the wait would have exceeded the route's objective"
        }
        ("no_route", _) if fields["status"] == 503 => {
            "no route matches, but this host's configuration was stale, so it could not answer 404"
        }
        ("no_route", _) => "no route of the configuration in force here matches",
        ("denied", _) if fields["status"] == 503 => {
            "no presented key is known, but this host's configuration was stale, so it could not \
             deny the request"
        }
        ("denied", _) => {
            "the route requires a key that the configuration in force here accepts, and the request \
             has none"
        }
        ("body_refused", _) if fields["code"] == 1121 => {
            "the host held as many bytes of requests as it may, so it did not read the body"
        }
        ("body_refused", _) => "its body did not arrive in its time; it did not run",
        ("harmful", _) => {
            "servers crashed one after another under requests with this content, so it is refused"
        }
        ("limited", _) if fields["status"] == 503 => {
            "the host had just started and did not know the others yet, so it could not keep the \
             limit"
        }
        ("limited", _) => "its workspace is over its limit, which counts the requests at all hosts",
        ("left", _) => "the caller closed the connection before the answer arrived",
        ("ended", _) => "the host was stopped, and the request had not ended within the grace time",
        ("answered", _) => "a server answered; the status is the server's",
        ("unknown", Some("silent")) => "the server did not answer within the request's time",
        ("unknown", Some("server_ended")) => {
            "the server crashed while it ran the request; it may have run"
        }
        ("unknown", Some("no_response")) => {
            "the connection failed before any response; the path to the server may be cut, and it \
             may have run"
        }
        ("unknown", Some("broken")) => {
            "the connection broke, or the answer was truncated or belonged to another request; it \
             may have run"
        }
        (_, Some("no_connection")) => "the server accepted no connection; it did not run",
        (_, Some("not_sent")) => {
            "its time ran out before a connection was established; it did not run"
        }
        (_, Some("full")) => "the server reported that it is full; it did not run",
        (_, Some("refused")) => "the server refused although it had free slots; it did not run",
        (_, Some("elsewhere")) => "another server has the address now; it did not run",
        ("not_run_budget", _) => "servers did not run it, and the retry budget was used up",
        _ => "unknown; see the lines of the request above",
    };
    text.to_owned()
}

/// Servers that the request was sent to.
fn tried_servers(line: &Line) -> Vec<String> {
    let tried = line.fields["tried"].as_array().into_iter().flatten();
    tried.filter_map(|tried| tried["server"].as_str().map(str::to_owned)).collect()
}

/// Whether a line is a state change that may have affected a request, given the last line of the
/// request and the servers that it was sent to.
fn is_relevant(line: &Line, request: &Line, servers: &[String]) -> bool {
    if line.unix_ms < request.unix_ms - WINDOW_BEFORE_MS
        || line.unix_ms > request.unix_ms + WINDOW_AFTER_MS
    {
        return false;
    }
    let is_tried = |value: &Value| value.as_str().is_some_and(|id| servers.iter().any(|s| s == id));
    match line.event.as_str() {
        "server" => is_tried(&line.fields["server"]),
        "servers" => line.fields["lost"].as_array().into_iter().flatten().any(is_tried),
        "host_heard" | "host_lost" | "refused" | "answered" | "unknown" | "left" | "ended"
        | "no_route" | "denied" | "limited" | "harmful" | "body_refused" | "slow_reader" => false,
        "refuses" | "server_ended" | "let_in_again" => {
            line.fields["content"] == request.fields["content"]
        }
        event => !event.starts_with("not_run"),
    }
}

/// Describes a state change, with its time relative to `unix_ms`.
fn state_change(line: &Line, unix_ms: i64) -> String {
    let mut fields = line.fields.clone();
    if let Some(fields) = fields.as_object_mut() {
        for shown_elsewhere in ["unix_ms", "event", "lost", "dropped"] {
            fields.remove(shown_elsewhere);
        }
    }
    let seconds = (line.unix_ms - unix_ms) as f64 / 1_000.0;
    format!("  {seconds:+.1} s {} {fields}", line.event)
}
