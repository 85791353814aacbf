//! Idle timeouts of callers' connections, and their states at a planned stop.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use elmstream::time::{SECOND, Time};
use elmstream_http::{StopNotice, server};
use serde_json::{Value, json};

use crate::Edge;

/// Shortest time for which a caller's connection may be idle.
const IDLE_TIMEOUT_MIN: Duration = Duration::from_secs(20);
/// A connection is closed this much later than the configured limit, so that no request of a
/// caller that respects the limit crosses the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// A head may take this much longer than the configured limit, as its parts may be retransmitted.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Shortest interval between two lines about refused requests.
const REPORT_INTERVAL: u64 = SECOND;

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

/// Time in which a head must be complete once its first byte has arrived, from the configured limit.
pub fn head_timeout(limit: Duration) -> Duration {
    limit.saturating_add(HEAD_TIMEOUT_MARGIN)
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
    let (noticing, failing) = (edge.clone(), edge.clone());
    let head_timeout = {
        let edge = edge.clone();
        move || head_timeout(Duration::from_millis(edge.steer.borrow().limits().header_timeout_ms))
    };
    let connections = edge.connections.clone();
    let idle_timeout =
        move || idle_timeout(Duration::from_millis(edge.steer.borrow().limits().idle_timeout_ms));
    server::Options {
        tls: None,
        http2: false,
        idle_timeout: Rc::new(idle_timeout),
        head_timeout: Rc::new(head_timeout),
        connections,
        notice: notice.clone(),
        observe: Rc::new(move |stopped| open.record(stopped)),
        unread_timeout,
        on_unread: Rc::new(move |caller| slow_reader_closed(&noticing, caller)),
        on_error: Rc::new(move |caller, error| connection_failed(&failing, caller, error)),
    }
}

/// Reports callers' connections to metrics, and requests refused for want of room to the event log.
#[derive(Debug, Default)]
pub(crate) struct ConnectionReport {
    refused: u64,
    closed_idle: u64,
    logged_at: Option<Time>,
    logged_refused: u64,
}

impl ConnectionReport {
    /// Updates the metrics; logs at most once in [`REPORT_INTERVAL`].
    pub(crate) fn update(&mut self, edge: &Edge, now: Time) {
        let connections = &edge.connections;
        let (open, busy) = (connections.open(), connections.busy());
        metrics::gauge!("elmstream_caller_connections", "state" => "open").set(open as f64);
        metrics::gauge!("elmstream_caller_connections", "state" => "busy").set(busy as f64);
        let (refused, closed_idle) = (connections.refused(), connections.closed_idle());
        metrics::counter!("elmstream_requests", "outcome" => "connections_full")
            .increment(refused - self.refused);
        metrics::counter!("elmstream_idle_connections_closed")
            .increment(closed_idle - self.closed_idle);
        (self.refused, self.closed_idle) = (refused, closed_idle);
        let is_due = self.logged_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if refused > self.logged_refused && is_due {
            let fields = json!({
                "open": open, "busy": busy, "refused": refused - self.logged_refused,
                "idle_closed": closed_idle,
            });
            edge.event_log.write("connections_full", fields);
            (self.logged_at, self.logged_refused) = (Some(now), refused);
        }
    }
}

/// Records that a caller's connection was closed because the caller did not read.
fn slow_reader_closed(edge: &Edge, caller: SocketAddr) {
    metrics::counter!("elmstream_slow_readers_closed").increment(1);
    let fields = json!({"caller": caller.ip(), "held": edge.buffers.held()});
    edge.event_log.request("slow_reader", fields);
}

/// Records that a caller's connection failed: why, if the caller did not just leave.
fn connection_failed(edge: &Edge, caller: SocketAddr, error: &hyper::Error) {
    let cause = match error {
        error if error.is_parse() => "parse",
        error if error.is_timeout() => "timeout",
        error if error.is_incomplete_message() => "incomplete",
        _ => "other",
    };
    metrics::counter!("elmstream_caller_connections_failed", "cause" => cause).increment(1);
    if error.is_parse() || error.is_timeout() {
        let fields = json!({"caller": caller.ip(), "error": error.to_string()});
        edge.event_log.request("connection_failed", fields);
    }
}
