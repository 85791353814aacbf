//! How callers' connections are kept, and what became of them at a stop.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use elmstream_http::{StopNotice, server};
use serde_json::{Value, json};

use crate::Edge;

/// Time that a caller's connection may rest at least before it is closed.
const REST: Duration = Duration::from_secs(20);
/// A connection rests this much longer than the configuration's limit, so that no
/// request of a caller who keeps to the limit crosses the close.
const REST_MARGIN: Duration = Duration::from_secs(5);

/// Callers' connections as the stop found them.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    states: RefCell<BTreeMap<&'static str, u32>>,
    queued: Cell<u32>,
}

impl OpenConnections {
    fn add(&self, stopped: server::StoppedConnection) {
        let state = stopped.state.name();
        metrics::counter!("elmstream_stop_connections", "state" => state).increment(1);
        *self.states.borrow_mut().entry(state).or_default() += 1;
        self.queued.set(self.queued.get() + u32::from(stopped.queued));
    }

    /// Fields of their line.
    pub(crate) fn told(&self) -> Value {
        json!({"states": *self.states.borrow(), "queued": self.queued.get()})
    }
}

/// Time for which a caller's connection may rest, by the configuration's limit.
pub fn rest(limit: Duration) -> Duration {
    REST.max(limit.saturating_add(REST_MARGIN))
}

/// How callers are served.
pub(crate) fn caller_options(
    edge: &Rc<Edge>,
    notice: &StopNotice,
    open: &Rc<OpenConnections>,
) -> server::Options {
    let (edge, open) = (edge.clone(), open.clone());
    let rest = move || rest(Duration::from_millis(edge.steer.borrow().limits().idle_timeout_ms));
    server::Options {
        tls: None,
        http2: false,
        head_timeout: Rc::new(rest),
        notice: notice.clone(),
        observe: Rc::new(move |stopped| open.add(stopped)),
    }
}
