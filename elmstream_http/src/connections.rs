//! Bounds on a server's connections.
//!
//! An idle connection costs a socket and little memory, one with a request under way also the
//! buffers of its request. Both have a bound. If too many are open, the one that has been idle for
//! longest is closed. A request that would need a further busy connection is refused before
//! anything of it is kept.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::{Rc, Weak},
    task::Waker,
};

use bytes::Bytes;

/// Connections beyond the bound that are accepted in order to refuse their requests.
const REFUSED_OPEN_MAX: usize = 128;
/// Entries of ended idle periods that are kept at least before they are removed.
const ENDED_PERIODS_MIN: usize = 64;

/// Bounds on connections; 0 for none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionBounds {
    /// Most connections that are open at once.
    pub open: usize,
    /// Most connections that have a request under way at once, including a partly received head.
    pub busy: usize,
}

/// Counts the connections of a server, and holds them to their bounds.
#[derive(Debug, Default)]
pub struct Connections {
    bounds: ConnectionBounds,
    /// The response to a request beyond the bounds, as sent; the connection closes after it.
    refusal: Bytes,
    open: Cell<usize>,
    busy: Cell<usize>,
    busy_peak: Cell<usize>,
    refused: Cell<u64>,
    closed_idle: Cell<u64>,
    /// Idle periods in the order in which they began.
    idle: RefCell<VecDeque<Weak<IdlePeriod>>>,
}

/// A time in which a connection is idle; it ends when this is dropped.
#[derive(Debug, Default)]
pub(crate) struct IdlePeriod {
    close_requested: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl IdlePeriod {
    /// Whether the connection is to be closed; if not, `waker` is called once it is.
    pub(crate) fn poll_close_requested(&self, waker: &Waker) -> bool {
        if !self.close_requested.get() {
            self.waker.replace(Some(waker.clone()));
        }
        self.close_requested.get()
    }

    fn request_close(&self) {
        self.close_requested.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Connections {
    /// No connections yet. `refusal` is the response, as it is sent, to a request for which there is
    /// no room.
    pub fn new(bounds: ConnectionBounds, refusal: Bytes) -> Connections {
        Connections { bounds, refusal, ..Connections::default() }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Number of connections with a request under way.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Largest number of connections that had a request under way at once.
    pub fn busy_peak(&self) -> usize {
        self.busy_peak.get()
    }

    /// Number of requests refused for want of room.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Number of idle connections closed to make room.
    pub fn closed_idle(&self) -> u64 {
        self.closed_idle.get()
    }

    pub(crate) fn refusal(&self) -> Bytes {
        self.refusal.clone()
    }

    pub(crate) fn count_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Whether no further connection is to be accepted, not even to refuse its request.
    pub(crate) fn is_full(&self) -> bool {
        self.bounds.open > 0 && self.open.get() >= self.bounds.open + REFUSED_OPEN_MAX
    }

    /// Counts an accepted connection until the result is dropped. If it is one too many, the
    /// connection that has been idle for longest is closed; if none is idle, the request of the
    /// new one is to be refused.
    pub(crate) fn open_connection(self: &Rc<Connections>) -> OpenConnection {
        let is_over = self.bounds.open > 0 && self.open.get() >= self.bounds.open;
        self.open.set(self.open.get() + 1);
        let is_refused = is_over && !self.close_longest_idle();
        OpenConnection { connections: self.clone(), is_refused }
    }

    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        while let Some(period) = idle.pop_front() {
            if let Some(period) = period.upgrade() {
                drop(idle);
                self.closed_idle.set(self.closed_idle.get() + 1);
                period.request_close();
                return true;
            }
        }
        false
    }

    /// Begins an idle period of a connection.
    pub(crate) fn begin_idle(&self) -> Rc<IdlePeriod> {
        let period = Rc::new(IdlePeriod::default());
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= 2 * self.open.get() + ENDED_PERIODS_MIN {
            idle.retain(|period| period.strong_count() > 0);
        }
        idle.push_back(Rc::downgrade(&period));
        period
    }

    /// Counts a connection as busy until the result is dropped; `None` if there is no room.
    pub(crate) fn begin_busy(self: &Rc<Connections>) -> Option<BusyConnection> {
        let busy = self.busy.get();
        if self.bounds.busy > 0 && busy >= self.bounds.busy {
            return None;
        }
        self.busy.set(busy + 1);
        self.busy_peak.set(self.busy_peak.get().max(busy + 1));
        Some(BusyConnection(self.clone()))
    }
}

/// An open connection; dropping this ends the count.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Rc<Connections>,
    /// Whether its request is to be refused.
    pub(crate) is_refused: bool,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.set(self.connections.open.get() - 1);
    }
}

/// A connection with a request under way; dropping this ends the count.
#[derive(Debug)]
pub(crate) struct BusyConnection(Rc<Connections>);

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}
