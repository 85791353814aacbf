//! Idle timeouts of callers' connections, and their states at a planned stop.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use elmstream_http::{StopNotice, server};
use serde_json::{Value, json};

use crate::Edge;

/// Shortest time for which a caller's connection may be idle.
const IDLE_TIMEOUT_MIN: Duration = Duration::from_secs(20);
/// A connection is closed this much later than the configured limit, so that no request of a
/// caller that respects the limit crosses the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Counts of callers' connections by their state at the stop.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    states: RefCell<BTreeMap<&'static str, u32>>,
    queued: Cell<u32>,
}

impl OpenConnections {
    fn record(&self, stopped: server::StoppedConnection) {
        let state = stopped.state.name();
        metrics::counter!("elmstream_stop_connections", "state" => state).increment(1);
        *self.states.borrow_mut().entry(state).or_default() += 1;
        self.queued.set(self.queued.get() + u32::from(stopped.queued));
    }

    /// Fields of the `stop_connections` event.
    pub(crate) fn log_fields(&self) -> Value {
        json!({"states": *self.states.borrow(), "queued": self.queued.get()})
    }
}

/// Time for which a caller's connection may be idle, from the configured limit.
pub fn idle_timeout(limit: Duration) -> Duration {
    IDLE_TIMEOUT_MIN.max(limit.saturating_add(IDLE_TIMEOUT_MARGIN))
}

/// Server options of the callers' listener.
pub(crate) fn caller_options(
    edge: &Rc<Edge>,
    notice: &StopNotice,
    open: &Rc<OpenConnections>,
) -> server::Options {
    let (edge, open) = (edge.clone(), open.clone());
    let unread_timeout = match edge.settings.buffers.reader_timeout_ms {
        0 => None,
        millis => Some(Duration::from_millis(millis)),
    };
    let noticing = edge.clone();
    let idle_timeout =
        move || idle_timeout(Duration::from_millis(edge.steer.borrow().limits().idle_timeout_ms));
    server::Options {
        tls: None,
        http2: false,
        head_timeout: Rc::new(idle_timeout),
        notice: notice.clone(),
        observe: Rc::new(move |stopped| open.record(stopped)),
        unread_timeout,
        on_unread: Rc::new(move |caller| slow_reader_closed(&noticing, caller)),
    }
}

/// Records that a caller's connection was closed because the caller did not read.
fn slow_reader_closed(edge: &Edge, caller: SocketAddr) {
    metrics::counter!("elmstream_slow_readers_closed").increment(1);
    let fields = json!({"caller": caller.ip(), "held": edge.buffers.held()});
    edge.event_log.request("slow_reader", fields);
}
