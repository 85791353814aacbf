//! The planned stop of a host.

use std::{pin::pin, rc::Rc, time::Duration};

use compio::net::UdpSocket;
use elmstream::time::{MILLI, Time};
use elmstream_http::Stopper;
use elmstreamd::waits;
use serde_json::json;

use crate::{Edge, peers};

/// A host ends this long before its grace time is over.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the host in which requests in flight get a final response from the
/// host itself; a host that gets a tenth of a core lags some 200 ms.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

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
/// `stop_requested_at` is when the stop was requested. `stopper` stops the listeners,
/// `abort_requests` the requests; `serving` resolves when all connections are closed.
pub(crate) async fn drain(
    edge: &Edge,
    stop_requested_at: Time,
    stopper: Stopper,
    abort_requests: Stopper,
    serving: impl Future<Output = ()>,
) {
    let settings = edge.settings.stop;
    let grace = Duration::from_millis(settings.grace_ms).saturating_sub(END_MARGIN);
    let last_responses_at =
        stop_requested_at + grace.saturating_sub(LAST_RESPONSES_TIME).as_micros() as u64;
    let end_at = stop_requested_at + grace.as_micros() as u64;
    waits::until(stop_requested_at + settings.notice_ms * MILLI).await;
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
