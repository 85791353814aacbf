//! What a backend server says of itself beside its answer.

use elmstream_steer::{server_limit::PerSecond, servers::Index};
use elmstreamd::clock;
use http::response;
use serde_json::json;

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
}

/// A limit, as an answer names it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Said {
    /// It names none.
    #[default]
    None,
    /// Requests a second from all hosts together.
    Limit(PerSecond),
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
                let named = value.to_str().ok().and_then(PerSecond::parse);
                named.map_or(Said::Unreadable, Said::Limit)
            }
        };
        Hints { load, limit }
    }

    /// Takes them in; the answer must be known to be this server's.
    pub fn take(self, edge: &Edge, index: Index) {
        let now = clock::now();
        let mut steer = edge.steer.borrow_mut();
        if let Some(requests) = self.load {
            steer.tell(now, index, requests);
        }
        let limit = match self.limit {
            Said::None => None,
            Said::Limit(limit) => Some(limit),
            Said::Unreadable => {
                metrics::counter!("elmstream_server_limits_unreadable").increment(1);
                return;
            }
        };
        if steer.names_limit(now, index, limit)
            && let Some(entry) = steer.servers().get(index)
        {
            note_limit(edge, "itself", &entry.id, limit);
        }
    }
}

/// Writes down the limit that a server names, and who heard it.
pub fn note_limit(edge: &Edge, from: &str, server: &str, limit: Option<PerSecond>) {
    let fields = json!({"server": server, "per_s": limit.map(PerSecond::value), "from": from});
    edge.journal.belief("server_limit", fields);
}

/// Running and waiting requests of `running,waiting,slots`.
fn requests(load: &str) -> Option<u32> {
    let mut numbers = load.split(',').map(|part| part.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    Some(running.saturating_add(numbers.next()?.ok()?))
}
