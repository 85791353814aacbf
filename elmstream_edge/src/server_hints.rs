//! What a backend server says of itself beside its answer.

use std::time::Duration;

use elmstream_steer::{Steer, server_limit::RequestRate, servers::ServerIndex};
use elmstreamd::clock;
use http::{StatusCode, header, response};
use serde_json::{Value, json};

use crate::{
    edge::Edge,
    headers::{self, HeaderNames},
};

/// What one answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hints {
    /// Requests that it runs and that wait there; none if it does not say.
    load: Option<u32>,
    /// The limit that it names.
    limit: Said,
    /// Whether it is about to leave.
    leaving: bool,
    /// How long it wants nothing from this host, if it turned the request away.
    rest: Option<Duration>,
}

/// A limit, as an answer names it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Said {
    /// It names none.
    #[default]
    None,
    /// Requests a second from all hosts together.
    Limit(RequestRate),
    /// Something that is not a number of requests.
    Unreadable,
}

impl Hints {
    /// Reads them from an answer's head.
    pub fn read(names: &HeaderNames, parts: &response::Parts) -> Hints {
        let load = headers::text(&parts.headers, &names.load).and_then(requests);
        let limit = match parts.headers.get(&names.server_limit) {
            None => Said::None,
            Some(value) => {
                let named = value.to_str().ok().and_then(RequestRate::parse);
                named.map_or(Said::Unreadable, Said::Limit)
            }
        };
        let leaving = parts.headers.get(&names.server_leaving).is_some_and(|value| value != "0");
        Hints { load, limit, leaving, rest: rest(parts) }
    }

    /// Takes them in; the answer must be known to be this server's.
    pub fn take(self, edge: &Edge, index: ServerIndex) {
        let now = clock::now();
        let mut steer = edge.steer.borrow_mut();
        if let Some(requests) = self.load {
            steer.record_server_load(now, index, requests);
        }
        if self.leaving && steer.on_server_leaving(now, index) {
            note(edge, &steer, index, "server_leaving", json!({"from": "itself"}));
        }
        if let Some(rest) = self.rest
            && steer.on_server_backoff(now, index, rest)
        {
            note(edge, &steer, index, "server_rests", json!({"for_ms": rest.as_millis() as u64}));
        }
        let limit = match self.limit {
            Said::None => None,
            Said::Limit(limit) => Some(limit),
            Said::Unreadable => {
                metrics::counter!("elmstream_server_limits_unreadable").increment(1);
                return;
            }
        };
        if steer.on_server_limit(now, index, limit)
            && let Some(entry) = steer.servers().get(index)
        {
            note_limit(edge, "itself", &entry.id, limit);
        }
    }
}

/// Writes down what a server said of itself.
fn note(edge: &Edge, steer: &Steer, index: ServerIndex, event: &str, mut fields: Value) {
    fields["server"] = steer.servers().get(index).map(|entry| entry.id.as_str()).into();
    edge.event_log.state_change(event, fields);
}

/// How long a server wants nothing, in an answer by which it turns a request away.
///
/// A date is taken for nothing: it goes by a time of day that the two need not share.
fn rest(parts: &response::Parts) -> Option<Duration> {
    let turned_away =
        matches!(parts.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let told = turned_away.then(|| headers::text(&parts.headers, &header::RETRY_AFTER))??;
    let seconds: f64 = told.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().filter(|rest| !rest.is_zero())
}

/// Writes down the limit that a server names, and who heard it.
pub fn note_limit(edge: &Edge, from: &str, server: &str, limit: Option<RequestRate>) {
    let fields = json!({"server": server, "per_s": limit.map(RequestRate::value), "from": from});
    edge.event_log.state_change("server_limit", fields);
}

/// Running and waiting requests of `running,waiting,slots`.
fn requests(load: &str) -> Option<u32> {
    let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    Some(running.saturating_add(numbers.next()?.ok()?))
}
