//! The planned stop of a host.

use std::{pin::pin, rc::Rc, time::Duration};

use compio::net::UdpSocket;
use elmstream::time::{MILLI, Time};
use elmstream_http::Stopper;
use elmstreamd::waits;
use serde_json::json;

use crate::{Edge, peers, settings::Stop};

/// A host ends this long before its grace time is over.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the host in which requests in flight get a final response from the
/// host itself; a host that gets a tenth of a core lags some 200 ms.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    /// From when on only requests are sent that end before `last_responses_at`.
    last_send_at: Time,
    /// When requests in flight get a final response from the host itself.
    last_responses_at: Time,
    /// When the host ends.
    end_at: Time,
}

impl PlannedStop {
    /// The times of a stop that was requested at `requested_at`.
    pub(crate) fn new(requested_at: Time, settings: &Stop) -> PlannedStop {
        let grace = Duration::from_millis(settings.grace_ms).saturating_sub(END_MARGIN);
        let last_responses = grace.saturating_sub(LAST_RESPONSES_TIME);
        PlannedStop {
            last_send_at: requested_at + settings.last_send_ms * MILLI,
            last_responses_at: requested_at + last_responses.as_micros() as u64,
            end_at: requested_at + grace.as_micros() as u64,
        }
    }

    /// Whether a request with a deadline may still be sent. Others would be aborted while a server
    /// runs them, and their callers could not know whether they had run.
    pub(crate) fn allows_send(&self, now: Time, deadline: Time) -> bool {
        now < self.last_send_at || deadline <= self.last_responses_at
    }
}

/// Announces to the other hosts that this host is leaving.
pub(crate) async fn announce(edge: &Rc<Edge>, socket: &UdpSocket) {
    edge.steer.borrow_mut().start_leaving();
    edge.event_log.write("stop", json!({"host": edge.settings.host.name}));
    // Announces it immediately, so that the others stop naming this host in look-ups.
    for round in 0..2 {
        peers::send_heartbeat(edge, socket, round).await;
    }
}

/// Ends the service of callers: new connections are accepted until the notice time is over,
/// and requests that are then still in flight get their final response just before the end.
///
/// The notice time is over at `notice_ends_at`. `stopper` stops the listeners,
/// `abort_requests` the requests; `serving` resolves when all connections are closed.
pub(crate) async fn drain(
    edge: &Edge,
    (notice_ends_at, stop): (Time, PlannedStop),
    stopper: Stopper,
    abort_requests: Stopper,
    serving: impl Future<Output = ()>,
) {
    let PlannedStop { last_responses_at, end_at, .. } = stop;
    waits::until(notice_ends_at).await;
    stopper.stop();
    let mut serving = pin!(serving);
    if waits::within(last_responses_at, serving.as_mut()).await.is_some() {
        return;
    }
    abort_requests.stop();
    if waits::within(end_at, serving).await.is_none() {
        edge.event_log.write("stop_unfinished", json!({"host": edge.settings.host.name}));
    }
}
