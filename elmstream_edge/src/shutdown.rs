//! The planned stop of a host.

use std::{pin::pin, rc::Rc, time::Duration};

use compio::net::UdpSocket;
use elmstream::time::{MILLI, Time};
use elmstream_http::Stopper;
use elmstreamd::waits;
use serde_json::json;

use crate::{Edge, peers};

/// A host ends this long before its grace time does.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the host in which requests still in flight get an answer of
/// its own; a host with a tenth of a core is some 200 ms behind.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Tells the others that this host stops.
pub(crate) async fn tell(edge: &Rc<Edge>, socket: &UdpSocket) {
    edge.steer.borrow_mut().start_leaving();
    edge.event_log.write("stop", json!({"host": edge.settings.host.name}));
    // The others hear of it at once, so that they name this host no more.
    for round in 0..2 {
        peers::beat(edge, socket, round).await;
    }
}

/// Lets callers go: after the notice no new ones are taken, and just before the end
/// those that still wait get their last answers.
///
/// `asked` is when the stop was asked for. `stopper` ends the listeners, `ends` the
/// requests; `serving` resolves when all connections are closed.
pub(crate) async fn end(
    edge: &Edge,
    asked: Time,
    stopper: Stopper,
    ends: Stopper,
    serving: impl Future<Output = ()>,
) {
    let settings = edge.settings.stop;
    let grace = Duration::from_millis(settings.grace_ms).saturating_sub(END_MARGIN);
    let last_answers = asked + grace.saturating_sub(LAST_ANSWERS).as_micros() as u64;
    let end = asked + grace.as_micros() as u64;
    waits::until(asked + settings.notice_ms * MILLI).await;
    stopper.stop();
    let mut serving = pin!(serving);
    if waits::within(last_answers, serving.as_mut()).await.is_some() {
        return;
    }
    ends.stop();
    if waits::within(end, serving).await.is_none() {
        edge.event_log.write("stop_unfinished", json!({"host": edge.settings.host.name}));
    }
}
