//! Hints that a backend server sends about itself along with a response.

use std::time::Duration;

use elmstream_steer::{
    Steer, server_limit::RequestRate, server_speed::SpeedSource, servers::ServerIndex,
};
use elmstreamd::clock;
use http::{StatusCode, header, response};
use serde_json::{Value, json};

use crate::{
    edge::Edge,
    headers::{self, HeaderNames},
    load_header::{ReportedLoad, ReportedSpeed},
};

/// Hints of one response about its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hints {
    /// Load and speed; `None` if not sent.
    load: Option<ReportedLoad>,
    /// The server limit.
    limit: LimitHint,
    /// Whether the server is about to leave.
    leaving: bool,
    /// Back-off that the server asks of this host, if it refused the request.
    backoff: Option<Duration>,
}

/// A server limit, as a response states it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum LimitHint {
    /// The response states no limit.
    #[default]
    None,
    /// Requests a second from all hosts together.
    Limit(RequestRate),
    /// The value is not a number of requests.
    Unreadable,
}

impl Hints {
    /// Reads the hints from the head of a response.
    pub fn read(names: &HeaderNames, parts: &response::Parts) -> Hints {
        let load = headers::text(&parts.headers, &names.load).and_then(ReportedLoad::parse);
        let limit = match parts.headers.get(&names.server_limit) {
            None => LimitHint::None,
            Some(value) => {
                let named = value.to_str().ok().and_then(RequestRate::parse);
                named.map_or(LimitHint::Unreadable, LimitHint::Limit)
            }
        };
        let leaving = parts.headers.get(&names.server_leaving).is_some_and(|value| value != "0");
        Hints { load, limit, leaving, backoff: backoff(parts) }
    }

    /// Whether the server states that it has free slots.
    pub fn has_free_slots(&self) -> bool {
        self.load.is_some_and(|load| load.slots.is_some_and(|slots| load.requests < slots))
    }

    /// Applies the hints; the response must be known to be this server's. With
    /// [`SpeedSource::Answer`] its outcome must be recorded before anything else of the server.
    pub fn apply(self, edge: &Edge, index: ServerIndex, source: SpeedSource) {
        let now = clock::now();
        let mut steer = edge.steer.borrow_mut();
        if let Some(load) = self.load {
            apply_load(&mut steer, index, load, source);
        }
        if self.leaving && steer.on_server_leaving(now, index) {
            log_hint(edge, &steer, index, "server_leaving", json!({"from": "itself"}));
        }
        if let Some(backoff) = self.backoff
            && steer.on_server_backoff(now, index, backoff)
        {
            log_hint(
                edge,
                &steer,
                index,
                "server_rests",
                json!({"for_ms": backoff.as_millis() as u64}),
            );
        }
        let limit = match self.limit {
            LimitHint::None => None,
            LimitHint::Limit(limit) => Some(limit),
            LimitHint::Unreadable => {
                metrics::counter!("elmstream_server_limits_unreadable").increment(1);
                return;
            }
        };
        if steer.on_server_limit(now, index, limit)
            && let Some(entry) = steer.servers().get(index)
        {
            log_limit(edge, "itself", &entry.id, limit);
        }
    }
}

/// Takes in the load and the speed of a server.
fn apply_load(steer: &mut Steer, index: ServerIndex, load: ReportedLoad, source: SpeedSource) {
    let now = clock::now();
    steer.record_server_load(now, index, load.requests);
    match load.speed {
        ReportedSpeed::None => {}
        ReportedSpeed::Percent(percent) => {
            metrics::counter!("elmstream_speed_reports", "from" => "answer").increment(1);
            steer.record_server_speed(now, index, percent, source);
        }
        ReportedSpeed::Unreadable => {
            metrics::counter!("elmstream_speeds_unreadable").increment(1);
        }
    }
}

/// Logs a hint of a server.
fn log_hint(edge: &Edge, steer: &Steer, index: ServerIndex, event: &str, mut fields: Value) {
    fields["server"] = steer.servers().get(index).map(|entry| entry.id.as_str()).into();
    edge.event_log.state_change(event, fields);
}

/// Back-off from Retry-After in a response that refuses the request.
///
/// A date is ignored: it refers to a wall clock that the two machines need not share.
fn backoff(parts: &response::Parts) -> Option<Duration> {
    let refused =
        matches!(parts.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let retry_after = refused.then(|| headers::text(&parts.headers, &header::RETRY_AFTER))??;
    let seconds: f64 = retry_after.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().filter(|backoff| !backoff.is_zero())
}

/// Logs a server limit and the host that received it.
pub fn log_limit(edge: &Edge, from: &str, server: &str, limit: Option<RequestRate>) {
    let fields = json!({"server": server, "per_s": limit.map(RequestRate::value), "from": from});
    edge.event_log.state_change("server_limit", fields);
}
