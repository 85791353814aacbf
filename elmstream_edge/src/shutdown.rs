//! The planned stop of a host.

use std::{pin::pin, rc::Rc};

use compio::net::UdpSocket;
use elmstream::time::Time;
use elmstream_http::Stopper;
use elmstreamd::waits;
use serde_json::json;

use crate::{Edge, peers, planned_stop::PlannedStop};

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
